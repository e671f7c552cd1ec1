"""The store: every crash point, flipped bits, full and slow disks, two holders, memories aged and dropped."""

from __future__ import annotations

import errno
import os
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from fennelcove.cli.main import main
from fennelcove.clock import ManualClock, SystemClock
from fennelcove.decisions.recovery import snapshot, write_behind
from fennelcove.decisions.recovery.snapshot import RecordVerdict, ServerRecord
from fennelcove.decisions.recovery.write_behind import (
    WriteBehindQueue,
    WriterAction,
    WriterEvent,
    WriterState,
)
from fennelcove.emulators.disk import EmulatedDisk, PowerCut
from fennelcove.interface import BudgetSnapshot, Outcome, ServerSnapshot
from fennelcove.placement.attempts import within_retry_budget
from fennelcove.placement.health import record_outcome
from fennelcove.settings.schema import StoreSettings
from fennelcove.store import journal, records
from fennelcove.store.directory import Store, StoreError, verify_folder
from fennelcove.store.journal import Journal
from fennelcove.store.records import Batch, Damage, FrameFault
from fennelcove.store.writer import StoreWriter
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.rig import FrontTestCase, wait_for

SECOND = 1_000_000


class Life:
    """One life of a writer on a disk that forgets: commits batches, folds at stated ones."""

    def __init__(self, disk: EmulatedDisk, base: list[int]) -> None:
        self.disk, self.base = disk, base
        self.acknowledged = base[0]
        self.history: list[Batch] = []

    def run(self, steps: str) -> None:
        found = journal.recover(self.disk, self.base[0])
        last = found.batches[-1].number if found.batches else self.base[0]
        self.acknowledged = last
        self.base[0] = last  # the base takes in what was found, as one transaction
        self.renew(last)
        for step in steps:
            if step == "c":
                self.acknowledged = self.journal.commit([(b"key%d" % self.journal.sequence, b"v" * 20)])
            else:
                self.base[0] = self.journal.sequence
                self.renew(self.journal.sequence)

    def renew(self, number: int) -> None:
        self.journal = Journal(self.disk, number)
        self.journal.create()
        for file in self.disk.list_names():
            if journal.preceding_sequence(file) is not None and file != self.journal.file_name:
                self.disk.remove(file)
        self.disk.sync_folder()


class CrashTest(unittest.TestCase):
    def lives(
        self, steps: str, files: dict[str, bytes], base: int
    ) -> Iterator[tuple[int, dict[str, bytes], int]]:
        """Each power cut in a life: what was acknowledged, and each thing that the next one may find."""
        total = EmulatedDisk(files)
        Life(total, [base]).run(steps)
        for cut_at in range(total.calls + 1):
            disk, number = EmulatedDisk(files, cut_at), [base]
            life = Life(disk, number)
            with suppress(PowerCut):
                life.run(steps)
            for left in disk.after_power_cut():
                yield life.acknowledged, left, number[0]

    def test_every_power_cut_leaves_a_beginning_that_holds_all_that_was_acknowledged(self) -> None:
        states = 0
        for steps in ("ccc", "ccfc", "cfcfc", "fcc", "ccccfccfccc", "ffccff", "cfcfcfcfcfcf"):
            for acknowledged, left, base in self.lives(steps, {}, 0):
                self.sound(acknowledged, left, base)
                states += 1
        assert states > 300

    def test_and_a_second_power_cut_in_the_repair_as_well(self) -> None:
        states = 0
        for acknowledged, left, base in self.lives("ccfc", {}, 0):
            for again, last, number in self.lives("cfc", left, base):
                assert again >= acknowledged
                self.sound(again, last, number)
                states += 1
        assert states > 400

    def sound(self, acknowledged: int, left: dict[str, bytes], base: int) -> None:
        found = journal.recover(EmulatedDisk(left), base)
        numbers = [batch.number for batch in found.batches]
        assert numbers == list(range(base + 1, base + 1 + len(numbers)))
        for batch in found.batches:
            assert batch.entries == [(b"key%d" % (batch.number - 1), b"v" * 20)]
        reached = numbers[-1] if numbers else base
        assert reached >= acknowledged, (sorted(left), found.damages)

    def test_a_disk_that_runs_full_keeps_what_it_took_and_goes_on_later(self) -> None:
        disk = EmulatedDisk(capacity_bytes=400)
        log = Journal(disk, 0)
        log.create()
        made = 0
        with self.assertRaises(OSError) as caught:
            for _ in range(100):
                made = log.commit([(b"k", b"v" * 30)])
        assert caught.exception.errno == errno.ENOSPC
        disk.capacity_bytes = 10_000
        assert log.commit([(b"k", b"later")]) == made + 1
        found = journal.recover(disk, 0)
        assert (len(found.batches), found.damages) == (made + 1, [])


class RecordsTest(unittest.TestCase):
    def raw(self, count: int) -> bytes:
        return b"".join(records.encode_frame(Batch(1, n, [(b"k%d" % n, b"v")])) for n in range(1, count + 1))

    @given(st.integers(0, 2000), st.integers(1, 255))
    @settings(max_examples=200, deadline=None)
    def test_a_flipped_byte_is_named_and_nothing_after_it_is_used(self, at: int, flip: int) -> None:
        raw = bytearray(self.raw(8))
        at %= len(raw)
        raw[at] ^= flip
        *good, last = records.decode_frames(bytes(raw), 0)
        assert isinstance(last, Damage)
        assert last.offset <= at
        assert [item.number for item in good if isinstance(item, Batch)] == list(range(1, len(good) + 1))
        assert len(good) == sum(1 for n in range(1, 9) if len(self.raw(n)) <= at)

    @given(st.binary(max_size=300))
    @settings(max_examples=200, deadline=None)
    def test_any_bytes_are_read_without_an_error(self, raw: bytes) -> None:
        for item in records.decode_frames(raw, 0):
            assert isinstance(item, Damage)

    def test_another_format_and_a_gap_are_told(self) -> None:
        for batch, fault in (
            (Batch(2, 1, []), FrameFault.UNSUPPORTED_FORMAT),
            (Batch(1, 3, []), FrameFault.OUT_OF_ORDER),
        ):
            (found,) = records.decode_frames(records.encode_frame(batch), 0)
            assert isinstance(found, Damage)
            assert found.fault is fault


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def opened(self) -> Store:
        return Store(self.folder, 8, "front-t")

    def test_what_is_committed_is_there_in_the_next_life_folded_or_not(self) -> None:
        store = self.opened()
        store.commit([(b"a", b"1"), (b"b", b"2")])
        store.checkpoint()
        store.commit([(b"b", None), (b"c", b"3")])
        store.close()
        for _ in range(2):
            store = self.opened()
            assert store.values == {b"a": b"1", b"c": b"3"}
            assert len([name for name in os.listdir(self.folder) if name.startswith("journal")]) == 1
            store.close()
        assert verify_folder(self.folder) == []

    def test_a_second_holder_is_refused_with_the_firsts_name(self) -> None:
        store = self.opened()
        with self.assertRaises(StoreError) as caught:
            Store(self.folder, 8, "front-2")
        assert f"front-t, process {os.getpid()}" in str(caught.exception)
        store.close()
        self.opened().close()

    def test_places_that_can_not_be_folders(self) -> None:
        file = Path(self.folder) / "file"
        file.write_text("x")
        for folder in (str(file), str(file / "under")):
            with self.assertRaises(StoreError):
                Store(folder, 8, "front-t")
        with self.assertRaises(StoreError):
            verify_folder(str(Path(self.folder) / "none"))
        (Path(self.folder) / "base.lmdb").write_bytes(b"no base" * 1000)
        with self.assertRaises(StoreError):
            self.opened()

    def test_bad_records_are_named_by_their_place_and_never_used(self) -> None:
        store = self.opened()
        store.commit([(b"box/%d" % i, b"value-%d" % i * 20) for i in range(5)])
        store.checkpoint()
        store.commit([(b"late", b"in the journal")])
        file = store.journal.file_name
        store.close()
        base = Path(self.folder) / "base.lmdb"
        raw = bytearray(base.read_bytes())
        at = raw.index(b"value-3" * 20)
        raw[at + 9] ^= 1
        base.write_bytes(bytes(raw))
        log = Path(self.folder) / file
        log.write_bytes(log.read_bytes()[:-3])
        told = verify_folder(self.folder)
        assert len(told) == 2
        assert "box/3" in told[0]
        assert f"{file}: byte 0: cut short" in told[1]
        run = CliRunner().invoke(main, ["store", "verify", self.folder])
        assert (run.exit_code, run.output.splitlines()[-1]) == (1, "2 bad")
        store = self.opened()
        assert sorted(store.values) == [b"box/0", b"box/1", b"box/2", b"box/4"]
        assert store.corrupt_keys == [b"box/3"]
        store.close()
        assert verify_folder(self.folder) == [], "the next life begins sound"

    def test_a_base_that_is_full_refuses_and_keeps_what_it_has(self) -> None:
        store = Store(self.folder, 1, "front-t")
        store.commit([(b"a", b"1")])
        store.checkpoint()
        store.commit([(b"k%d" % i, os.urandom(4000)) for i in range(400)])
        with self.assertRaises(OSError) as caught:
            store.checkpoint()
        assert caught.exception.errno == errno.ENOSPC
        assert len(store.values) == 401
        store.close()
        store = Store(self.folder, 8, "front-t")
        assert len(store.values) == 401
        store.close()

    def test_the_commands(self) -> None:
        store = self.opened()
        memory = ServerRecord(SECOND, 1, 0, 3 * SECOND, 3 * SECOND)
        import msgspec

        store.commit([(b"box/127.0.0.1:9", msgspec.msgpack.encode(memory)), (b"x", b"y")])
        run = CliRunner().invoke(main, ["store", "inspect", self.folder])
        assert run.exit_code == 2, "held by this process"
        store.close()
        run = CliRunner().invoke(main, ["store", "inspect", self.folder])
        assert "box 127.0.0.1:9: started 1970-01-01 00:00:01, 1 strikes" in run.output
        run = CliRunner().invoke(main, ["store", "export", self.folder])
        assert '"strikes":1' in run.output
        assert CliRunner().invoke(main, ["store", "compact", self.folder]).exit_code == 0
        store = self.opened()
        assert len(store.values) == 2
        store.close()


class KeeperTest(unittest.TestCase):
    class Disk:
        """In a store's place: says what it is told to."""

        folder = "x"
        needs_checkpoint = False

        def __init__(self) -> None:
            self.faults: list[int] = []
            self.kept: dict[bytes, bytes | None] = {}
            self.closed = False

        def commit(self, batch: list[tuple[bytes, bytes | None]]) -> int:
            if self.faults:
                raise OSError(self.faults.pop(), "no")
            self.kept.update(batch)
            return 1

        def close(self) -> None:
            self.closed = True

    def test_a_disk_full_and_free_again_gets_the_newest(self) -> None:
        disk, told = self.Disk(), list[str]()
        disk.faults = [errno.ENOSPC]
        keeper = StoreWriter(disk, SystemClock(), lambda event, **fields: told.append(event))  # type: ignore[arg-type]
        keeper.queue.backoff_us = 1000
        keeper.start()
        keeper.enqueue([(b"a", b"1")])
        keeper.enqueue([(b"a", b"2"), (b"b", b"1")])
        wait_for(lambda: disk.kept == {b"a": b"2", b"b": b"1"}, "both")
        keeper.stop(5 * SECOND)
        assert (told, disk.closed) == (["store_space_exhausted", "store_write_recovered"], True)

    def test_what_waits_is_written_at_the_end_and_a_dead_disk_does_not_hold_it_up(self) -> None:
        for faults, kept in (([], {b"a": b"1"}), ([errno.EIO], {})):
            disk = self.Disk()
            disk.faults = list(faults)
            keeper = StoreWriter(disk, SystemClock(), lambda event, **fields: None)  # type: ignore[arg-type]
            keeper.start()
            keeper.enqueue([(b"a", b"1")])
            keeper.stop(5 * SECOND)
            assert disk.kept == kept
            assert not keeper.thread.is_alive()

    def test_the_table_is_total_and_every_state_comes_back(self) -> None:
        assert set(write_behind.TRANSITIONS) == {(state, cue) for state in WriterState for cue in WriterEvent}
        for state in WriterState:
            after = write_behind.TRANSITIONS.apply(state, WriterEvent.WRITTEN)
            assert after.state is WriterState.WRITING
            for cue in (WriterEvent.NO_SPACE, WriterEvent.FAILED):
                assert WriterAction.BACK_OFF in write_behind.TRANSITIONS.apply(state, cue).actions

    @given(
        st.lists(
            st.tuples(st.sampled_from(["put", "take", "full", "fail"]), st.integers(0, 5), st.integers(0, 9))
        )
    )
    @settings(max_examples=150, deadline=None)
    def test_the_newest_of_each_key_is_what_is_written_last(self, script: list[tuple[str, int, int]]) -> None:
        waiting, now_us = WriteBehindQueue(), 0
        newest: dict[bytes, bytes] = {}
        disk: dict[bytes, bytes | None] = {}
        for i, (what, key, _) in enumerate(script):
            now_us += 1000
            if what == "put":
                name, value = b"%d" % key, b"%d" % i
                waiting.put(name, value, now_us)
                newest[name] = value
                continue
            batch = waiting.next_batch(now_us)
            if what == "take":
                disk.update(batch)
                waiting.on_write_completed(WriterEvent.WRITTEN, now_us)
            else:
                waiting.requeue(batch)
                waiting.on_write_completed(
                    WriterEvent.NO_SPACE if what == "full" else WriterEvent.FAILED, now_us
                )
                assert waiting.backoff_us <= write_behind.MAX_BACKOFF_US
        disk.update(waiting.next_batch(now_us))
        assert disk == newest

    def test_the_table_of_what_waits_is_bounded(self) -> None:
        waiting = WriteBehindQueue()
        for i in range(write_behind.MAX_PENDING_KEYS + 500):
            waiting.put(b"%d" % i, b"", 0)
        assert (len(waiting.pending), waiting.dropped_count) == (write_behind.MAX_PENDING_KEYS, 500)


class RecoveryTest(unittest.TestCase):
    WALL = 1_800_000_000 * SECOND

    def memory(self, **changes: Any) -> ServerRecord:
        started, joined, heard = (self.WALL - seconds * SECOND for seconds in (900, 7, 5))
        base = ServerRecord(started, 3, self.WALL + SECOND, joined, heard)
        return ServerRecord(
            **{name: changes.get(name, getattr(base, name)) for name in base.__struct_fields__}
        )

    def rule(self, memory: ServerRecord | None, started_us: int | None = 0, later_s: float = 0.0) -> Any:
        return snapshot.evaluate_record(memory, started_us, self.WALL + round(later_s * SECOND))

    def test_each_verdict(self) -> None:
        verdict, recalled = self.rule(self.memory())
        assert verdict is RecordVerdict.USED
        assert recalled == snapshot.RecoveredServer(3, SECOND, 7 * SECOND)
        assert self.rule(None)[0] is RecordVerdict.UNREADABLE
        assert self.rule(self.memory(), None)[0] is RecordVerdict.NOT_LISTED
        assert self.rule(self.memory(), self.WALL - 2 * SECOND)[0] is RecordVerdict.NEW_LIFE
        assert self.rule(self.memory(), self.WALL - 900 * SECOND)[0] is RecordVerdict.USED
        assert self.rule(self.memory(), later_s=3600)[0] is RecordVerdict.TOO_OLD
        assert self.rule(self.memory(), later_s=-3600)[0] is RecordVerdict.CLOCK_BACK
        _, recalled = self.rule(self.memory(joined_us=0, shut_until_us=0))
        assert recalled == snapshot.RecoveredServer(3, 0, None)

    @given(
        st.integers(-(10**10), 10**10),
        st.lists(st.integers(0, 2 * 10**10), max_size=50),
        st.integers(0, 10**9),
    )
    @settings(max_examples=150)
    def test_a_budget_never_comes_back_by_a_clock(self, shift: int, times: list[int], span: int) -> None:
        wall_us = 10**10
        ages = snapshot.budget_ages_us(times, wall_us + shift, span)
        assert all(0 <= age < max(span, 1) for age in ages)
        assert ages == sorted(ages, reverse=True)
        if span and shift <= 0:
            # A clock that went back: whatever still counted counts on.
            assert len(ages) >= len(snapshot.budget_ages_us(times, wall_us, span))

    def test_bytes_that_are_no_memory(self) -> None:
        for raw in (b"", b"x", b"\x90", b"\x93abc"):
            assert snapshot.read_server(raw) is None
            assert snapshot.read_front(raw) is None

    def test_only_what_changed_is_written(self) -> None:
        found = snapshot.record_changes([(b"a", b"1"), (b"b", b"2")], {b"a": b"1", b"b": b"0", b"c": b"3"})
        assert found == [(b"b", b"2"), (b"c", None)]


class RestartTest(FrontTestCase):
    """A front that remembers, on real sockets."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = StoreSettings(folder=str(Path(folder.name) / "store"))
        self.start_system(
            store=self.store, rules={"budget_free": 2.0, "budget_ratio": 0.0, "budget_span_ms": 60_000.0}
        )

    def again(self) -> None:
        self.front.stop()
        assert verify_folder(self.store.folder) == []
        self.front = self.start_front()

    def test_loads_strikes_and_spent_budget_outlive_the_process(self) -> None:
        self.ask()
        module = self.front.core.policy
        server = module.servers[self.known[0].address]
        with self.front.core.lock:
            for _ in range(2):
                record_outcome(module, server, Outcome.NO_ANSWER)
            server.last_attempt_us = module.now_us
            module.retry_times.extend([module.now_us] * 2)
            (
                self.front.core.retry_storms.detector.baseline,
                self.front.core.retry_storms.detector.calm_window_count,
            ) = 7.5, 40
            strikes = server.strikes
        before = self.front.core.policy
        self.again()
        module = self.front.core.policy
        assert module is not before
        server = module.servers[self.known[0].address]
        assert server.strikes == strikes
        assert server.last_attempt_us is not None
        assert not within_retry_budget(module)
        assert self.front.core.retry_storms.detector.calm_window_count > 39

    def test_a_box_that_started_anew_meanwhile_is_not_taken_for_what_it_was(self) -> None:
        module = self.front.core.policy
        server = module.servers[self.known[0].address]
        with self.front.core.lock:
            server.strikes = 4
        self.front.stop()
        self.known[0] = replace(self.known[0], started_us=self.clock.now_us())
        self.lists.publish(self.known[0])
        self.front = self.start_front()
        assert self.front.core.policy.servers[self.known[0].address].strikes == 0

    def test_without_a_store_nothing_is_remembered_and_nothing_is_different(self) -> None:
        self.front.stop()
        self.settings = self.changed()
        self.front = self.start_front()
        assert self.front.keeper is None
        assert self.ask().status == 201


class ModuleTest(unittest.TestCase):
    def test_memories_of_servers_unknown_are_passed_over_and_budgets_keep_their_order(self) -> None:
        from fennelcove.clock.timers import Timers
        from fennelcove.core.core import Core
        from fennelcove.settings.reader import parse
        from fennelcove.settings.schema import FrontSettings

        from tests.rig import SETTINGS, recorded_ports

        clock = ManualClock(100 * SECOND, 10**15)
        core = Core(
            parse(SETTINGS, FrontSettings, "test"),
            clock,
            Timers(clock),
            lambda event, **fields: None,
            recorded_ports(),
        )
        core.policy.handle(ServerSnapshot("nobody", 1, 1, 1), clock.now_us())
        core.policy.handle(BudgetSnapshot((30, 20, 10), (5,)), clock.now_us())
        assert list(core.policy.request_times) == [clock.now_us() - ago for ago in (30, 20, 10)]
        assert list(core.policy.retry_times) == [clock.now_us() - 5]


if __name__ == "__main__":
    unittest.main()
