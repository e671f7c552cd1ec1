"""The store: power cuts at each disk call, corrupt bytes, full disks, locking, recovery after a restart."""

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

from tests.front_case import FrontTestCase, wait_for

SECOND = 1_000_000


class WriterRun:
    """One run of a writer on an emulated disk.

    Args:
        disk: the disk, which may lose power during the run.
        base: the sequence number of the base, as a list of one item, since it survives a power cut.
    """

    def __init__(self, disk: EmulatedDisk, base: list[int]) -> None:
        self.disk, self.base = disk, base
        self.acknowledged = base[0]
        self.history: list[Batch] = []

    def run(self, steps: str) -> None:
        """Recover the journal; then commit a batch for each `c`, and make a checkpoint for each `f`."""
        found = journal.recover(self.disk, self.base[0])
        last_sequence = found.batches[-1].number if found.batches else self.base[0]
        self.acknowledged = last_sequence
        self.base[0] = last_sequence  # the recovered batches are applied to the base in one transaction
        self.start_journal(last_sequence)
        for step in steps:
            if step == "c":
                self.acknowledged = self.journal.commit([(b"key%d" % self.journal.sequence, b"v" * 20)])
            else:
                self.base[0] = self.journal.sequence
                self.start_journal(self.journal.sequence)

    def start_journal(self, number: int) -> None:
        self.journal = Journal(self.disk, number)
        self.journal.create()
        for file in self.disk.list_names():
            if journal.preceding_sequence(file) is not None and file != self.journal.file_name:
                self.disk.remove(file)
        self.disk.sync_folder()


class CrashTest(unittest.TestCase):
    def runs_with_power_cut(
        self, steps: str, files: dict[str, bytes], base: int
    ) -> Iterator[tuple[int, dict[str, bytes], int]]:
        """Cut the power at each disk call of a run.

        Yields:
            The last acknowledged sequence number, files that may be found afterwards, and the base's sequence
            number.
        """
        full_run_disk = EmulatedDisk(files)
        WriterRun(full_run_disk, [base]).run(steps)
        for cut_at in range(full_run_disk.calls + 1):
            disk, number = EmulatedDisk(files, cut_at), [base]
            writer_run = WriterRun(disk, number)
            with suppress(PowerCut):
                writer_run.run(steps)
            for files_after in disk.after_power_cut():
                yield writer_run.acknowledged, files_after, number[0]

    def test_every_power_cut_leaves_a_prefix_with_all_acknowledged_batches(self) -> None:
        states = 0
        for steps in ("ccc", "ccfc", "cfcfc", "fcc", "ccccfccfccc", "ffccff", "cfcfcfcfcfcf"):
            for acknowledged, files_after, base in self.runs_with_power_cut(steps, {}, 0):
                self.check_recovery(acknowledged, files_after, base)
                states += 1
        assert states > 300

    def test_a_second_power_cut_during_recovery_loses_no_acknowledged_batch(self) -> None:
        states = 0
        for acknowledged, files_after, base in self.runs_with_power_cut("ccfc", {}, 0):
            for second_acknowledged, files_after_second, number in self.runs_with_power_cut(
                "cfc", files_after, base
            ):
                assert second_acknowledged >= acknowledged
                self.check_recovery(second_acknowledged, files_after_second, number)
                states += 1
        assert states > 400

    def check_recovery(self, acknowledged: int, files_after: dict[str, bytes], base: int) -> None:
        found = journal.recover(EmulatedDisk(files_after), base)
        numbers = [batch.number for batch in found.batches]
        assert numbers == list(range(base + 1, base + 1 + len(numbers)))
        for batch in found.batches:
            assert batch.entries == [(b"key%d" % (batch.number - 1), b"v" * 20)]
        reached = numbers[-1] if numbers else base
        assert reached >= acknowledged, (sorted(files_after), found.damages)

    def test_a_full_disk_keeps_committed_batches_and_accepts_more_once_there_is_space(self) -> None:
        disk = EmulatedDisk(capacity_bytes=400)
        disk_journal = Journal(disk, 0)
        disk_journal.create()
        last_sequence = 0
        with self.assertRaises(OSError) as caught:
            for _ in range(100):
                last_sequence = disk_journal.commit([(b"k", b"v" * 30)])
        assert caught.exception.errno == errno.ENOSPC
        disk.capacity_bytes = 10_000
        assert disk_journal.commit([(b"k", b"later")]) == last_sequence + 1
        found = journal.recover(disk, 0)
        assert (len(found.batches), found.damages) == (last_sequence + 1, [])


class RecordsTest(unittest.TestCase):
    def encode_batches(self, count: int) -> bytes:
        return b"".join(records.encode_frame(Batch(1, n, [(b"k%d" % n, b"v")])) for n in range(1, count + 1))

    @given(st.integers(0, 2000), st.integers(1, 255))
    @settings(max_examples=200, deadline=None)
    def test_a_corrupt_byte_is_located_and_nothing_after_it_is_used(self, at: int, flip: int) -> None:
        raw = bytearray(self.encode_batches(8))
        at %= len(raw)
        raw[at] ^= flip
        *good, damage = records.decode_frames(bytes(raw), 0)
        assert isinstance(damage, Damage)
        assert damage.offset <= at
        assert [item.number for item in good if isinstance(item, Batch)] == list(range(1, len(good) + 1))
        assert len(good) == sum(1 for n in range(1, 9) if len(self.encode_batches(n)) <= at)

    @given(st.binary(max_size=300))
    @settings(max_examples=200, deadline=None)
    def test_arbitrary_bytes_are_decoded_without_an_exception(self, raw: bytes) -> None:
        for item in records.decode_frames(raw, 0):
            assert isinstance(item, Damage)

    def test_an_unsupported_format_and_a_gap_are_reported(self) -> None:
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

    def open_store(self) -> Store:
        return Store(self.folder, 8, "front-t")

    def test_committed_changes_survive_a_restart_with_and_without_a_checkpoint(self) -> None:
        store = self.open_store()
        store.commit([(b"a", b"1"), (b"b", b"2")])
        store.checkpoint()
        store.commit([(b"b", None), (b"c", b"3")])
        store.close()
        for _ in range(2):
            store = self.open_store()
            assert store.values == {b"a": b"1", b"c": b"3"}
            assert len([name for name in os.listdir(self.folder) if name.startswith("journal")]) == 1
            store.close()
        assert verify_folder(self.folder) == []

    def test_a_second_process_is_rejected_with_the_name_of_the_lock_holder(self) -> None:
        store = self.open_store()
        with self.assertRaises(StoreError) as caught:
            Store(self.folder, 8, "front-2")
        assert f"front-t, process {os.getpid()}" in str(caught.exception)
        store.close()
        self.open_store().close()

    def test_unusable_folders_are_rejected(self) -> None:
        file = Path(self.folder) / "file"
        file.write_text("x")
        for folder in (str(file), str(file / "under")):
            with self.assertRaises(StoreError):
                Store(folder, 8, "front-t")
        with self.assertRaises(StoreError):
            verify_folder(str(Path(self.folder) / "none"))
        (Path(self.folder) / "base.lmdb").write_bytes(b"no base" * 1000)
        with self.assertRaises(StoreError):
            self.open_store()

    def test_corrupt_records_are_located_and_never_used(self) -> None:
        store = self.open_store()
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
        journal_path = Path(self.folder) / file
        journal_path.write_bytes(journal_path.read_bytes()[:-3])
        problems = verify_folder(self.folder)
        assert len(problems) == 2
        assert "box/3" in problems[0]
        assert f"{file}: byte 0: cut short" in problems[1]
        result = CliRunner().invoke(main, ["store", "verify", self.folder])
        assert (result.exit_code, result.output.splitlines()[-1]) == (1, "2 bad")
        store = self.open_store()
        assert sorted(store.values) == [b"box/0", b"box/1", b"box/2", b"box/4"]
        assert store.corrupt_keys == [b"box/3"]
        store.close()
        assert verify_folder(self.folder) == [], "the next start leaves no corrupt record behind"

    def test_a_full_base_fails_the_checkpoint_and_loses_nothing(self) -> None:
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

    def test_the_store_commands(self) -> None:
        store = self.open_store()
        record = ServerRecord(SECOND, 1, 0, 3 * SECOND, 3 * SECOND)
        import msgspec

        store.commit([(b"box/127.0.0.1:9", msgspec.msgpack.encode(record)), (b"x", b"y")])
        result = CliRunner().invoke(main, ["store", "inspect", self.folder])
        assert result.exit_code == 2, "locked by this process"
        store.close()
        result = CliRunner().invoke(main, ["store", "inspect", self.folder])
        assert "box 127.0.0.1:9: started 1970-01-01 00:00:01, 1 strikes" in result.output
        result = CliRunner().invoke(main, ["store", "export", self.folder])
        assert '"strikes":1' in result.output
        assert CliRunner().invoke(main, ["store", "compact", self.folder]).exit_code == 0
        store = self.open_store()
        assert len(store.values) == 2
        store.close()


class StoreWriterTest(unittest.TestCase):
    class FakeStore:
        """Stands in for a store; each commit fails with the next of `faults`, until there are none."""

        folder = "x"
        needs_checkpoint = False

        def __init__(self) -> None:
            self.faults: list[int] = []
            self.contents: dict[bytes, bytes | None] = {}
            self.is_closed = False

        def commit(self, batch: list[tuple[bytes, bytes | None]]) -> int:
            if self.faults:
                raise OSError(self.faults.pop(), "no")
            self.contents.update(batch)
            return 1

        def close(self) -> None:
            self.is_closed = True

    def test_after_a_full_disk_has_space_again_the_newest_values_are_written(self) -> None:
        disk, logged_events = self.FakeStore(), list[str]()
        disk.faults = [errno.ENOSPC]
        writer = StoreWriter(disk, SystemClock(), lambda event, **fields: logged_events.append(event))  # type: ignore[arg-type]
        writer.queue.backoff_us = 1000
        writer.start()
        writer.enqueue([(b"a", b"1")])
        writer.enqueue([(b"a", b"2"), (b"b", b"1")])
        wait_for(lambda: disk.contents == {b"a": b"2", b"b": b"1"}, "both values written")
        writer.stop(5 * SECOND)
        assert (logged_events, disk.is_closed) == (["store_space_exhausted", "store_write_recovered"], True)

    def test_stop_writes_queued_changes_and_does_not_wait_for_a_failed_disk(self) -> None:
        for faults, expected_contents in (([], {b"a": b"1"}), ([errno.EIO], {})):
            disk = self.FakeStore()
            disk.faults = list(faults)
            writer = StoreWriter(disk, SystemClock(), lambda event, **fields: None)  # type: ignore[arg-type]
            writer.start()
            writer.enqueue([(b"a", b"1")])
            writer.stop(5 * SECOND)
            assert disk.contents == expected_contents
            assert not writer.thread.is_alive()

    def test_the_transition_table_is_complete_and_every_state_can_recover(self) -> None:
        assert set(write_behind.TRANSITIONS) == {
            (state, event) for state in WriterState for event in WriterEvent
        }
        for state in WriterState:
            after = write_behind.TRANSITIONS.apply(state, WriterEvent.WRITTEN)
            assert after.state is WriterState.WRITING
            for event in (WriterEvent.NO_SPACE, WriterEvent.FAILED):
                assert WriterAction.BACK_OFF in write_behind.TRANSITIONS.apply(state, event).actions

    @given(
        st.lists(
            st.tuples(st.sampled_from(["put", "take", "full", "fail"]), st.integers(0, 5), st.integers(0, 9))
        )
    )
    @settings(max_examples=150, deadline=None)
    def test_the_newest_value_of_each_key_is_written_last(self, script: list[tuple[str, int, int]]) -> None:
        queue, now_us = WriteBehindQueue(), 0
        newest: dict[bytes, bytes] = {}
        disk: dict[bytes, bytes | None] = {}
        for i, (step, key, _) in enumerate(script):
            now_us += 1000
            if step == "put":
                name, value = b"%d" % key, b"%d" % i
                queue.put(name, value, now_us)
                newest[name] = value
                continue
            batch = queue.next_batch(now_us)
            if step == "take":
                disk.update(batch)
                queue.on_write_completed(WriterEvent.WRITTEN, now_us)
            else:
                queue.requeue(batch)
                queue.on_write_completed(
                    WriterEvent.NO_SPACE if step == "full" else WriterEvent.FAILED, now_us
                )
                assert queue.backoff_us <= write_behind.MAX_BACKOFF_US
        disk.update(queue.next_batch(now_us))
        assert disk == newest

    def test_the_number_of_pending_keys_is_bounded(self) -> None:
        queue = WriteBehindQueue()
        for i in range(write_behind.MAX_PENDING_KEYS + 500):
            queue.put(b"%d" % i, b"", 0)
        assert (len(queue.pending), queue.dropped_count) == (write_behind.MAX_PENDING_KEYS, 500)


class RecoveryTest(unittest.TestCase):
    WALL = 1_800_000_000 * SECOND

    def record(self, **changes: Any) -> ServerRecord:
        started, joined, heard = (self.WALL - seconds * SECOND for seconds in (900, 7, 5))
        base = ServerRecord(started, 3, self.WALL + SECOND, joined, heard)
        return ServerRecord(
            **{name: changes.get(name, getattr(base, name)) for name in base.__struct_fields__}
        )

    def evaluate(self, record: ServerRecord | None, started_us: int | None = 0, later_s: float = 0.0) -> Any:
        return snapshot.evaluate_record(record, started_us, self.WALL + round(later_s * SECOND))

    def test_each_verdict(self) -> None:
        verdict, recovered = self.evaluate(self.record())
        assert verdict is RecordVerdict.USED
        assert recovered == snapshot.RecoveredServer(3, SECOND, 7 * SECOND)
        assert self.evaluate(None)[0] is RecordVerdict.UNREADABLE
        assert self.evaluate(self.record(), None)[0] is RecordVerdict.NOT_LISTED
        assert self.evaluate(self.record(), self.WALL - 2 * SECOND)[0] is RecordVerdict.NEW_LIFE
        assert self.evaluate(self.record(), self.WALL - 900 * SECOND)[0] is RecordVerdict.USED
        assert self.evaluate(self.record(), later_s=3600)[0] is RecordVerdict.TOO_OLD
        assert self.evaluate(self.record(), later_s=-3600)[0] is RecordVerdict.CLOCK_BACK
        _, recovered = self.evaluate(self.record(joined_us=0, shut_until_us=0))
        assert recovered == snapshot.RecoveredServer(3, 0, None)

    @given(
        st.integers(-(10**10), 10**10),
        st.lists(st.integers(0, 2 * 10**10), max_size=50),
        st.integers(0, 10**9),
    )
    @settings(max_examples=150)
    def test_a_clock_change_never_refills_the_retry_budget(
        self, shift: int, times: list[int], span: int
    ) -> None:
        wall_us = 10**10
        ages = snapshot.budget_ages_us(times, wall_us + shift, span)
        assert all(0 <= age < max(span, 1) for age in ages)
        assert ages == sorted(ages, reverse=True)
        if span and shift <= 0:
            # The clock was set back: every entry that counted before still counts.
            assert len(ages) >= len(snapshot.budget_ages_us(times, wall_us, span))

    def test_malformed_records_are_not_read(self) -> None:
        for raw in (b"", b"x", b"\x90", b"\x93abc"):
            assert snapshot.read_server(raw) is None
            assert snapshot.read_front(raw) is None

    def test_only_changed_records_are_written(self) -> None:
        found = snapshot.record_changes([(b"a", b"1"), (b"b", b"2")], {b"a": b"1", b"b": b"0", b"c": b"3"})
        assert found == [(b"b", b"2"), (b"c", None)]


class RestartTest(FrontTestCase):
    """Restarts of a front that has a store, on real sockets."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = StoreSettings(folder=str(Path(folder.name) / "store"))
        self.start_system(
            store=self.store, rules={"budget_free": 2.0, "budget_ratio": 0.0, "budget_span_ms": 60_000.0}
        )

    def restart_front(self) -> None:
        self.front.stop()
        assert verify_folder(self.store.folder) == []
        self.front = self.start_front()

    def test_strikes_last_attempts_and_the_spent_budget_survive_a_restart(self) -> None:
        self.request_session()
        policy = self.front.core.policy
        server = policy.servers[self.listed_servers[0].address]
        with self.front.core.lock:
            for _ in range(2):
                record_outcome(policy, server, Outcome.NO_ANSWER)
            server.last_attempt_us = policy.now_us
            policy.retry_times.extend([policy.now_us] * 2)
            (
                self.front.core.retry_storms.detector.baseline,
                self.front.core.retry_storms.detector.calm_window_count,
            ) = 7.5, 40
            strikes_before = server.strikes
        policy_before = self.front.core.policy
        self.restart_front()
        policy = self.front.core.policy
        assert policy is not policy_before
        server = policy.servers[self.listed_servers[0].address]
        assert server.strikes == strikes_before
        assert server.last_attempt_us is not None
        assert not within_retry_budget(policy)
        assert self.front.core.retry_storms.detector.calm_window_count > 39

    def test_the_record_of_a_server_that_restarted_meanwhile_is_not_used(self) -> None:
        policy = self.front.core.policy
        server = policy.servers[self.listed_servers[0].address]
        with self.front.core.lock:
            server.strikes = 4
        self.front.stop()
        self.listed_servers[0] = replace(self.listed_servers[0], started_us=self.clock.now_us())
        self.list_service.publish(self.listed_servers[0])
        self.front = self.start_front()
        assert self.front.core.policy.servers[self.listed_servers[0].address].strikes == 0

    def test_a_front_without_a_store_works(self) -> None:
        self.front.stop()
        self.settings = self.make_settings()
        self.front = self.start_front()
        assert self.front.store_writer is None
        assert self.request_session().status == 201


class SnapshotEventsTest(unittest.TestCase):
    def test_snapshots_of_unknown_servers_are_ignored_and_budget_times_keep_their_order(self) -> None:
        from fennelcove.clock.timers import Timers
        from fennelcove.core.core import Core
        from fennelcove.settings.reader import parse
        from fennelcove.settings.schema import FrontSettings

        from tests.front_case import SETTINGS, recorded_ports

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
