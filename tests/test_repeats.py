"""Set-ups under a viewer's key: sent twice they count once, through either door and across a restart."""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path
from typing import Any

from fennelcove.decisions.clients.idempotency import (
    RETENTION_US,
    TRANSITIONS,
    IdempotencyTable,
    KeyAction,
    KeyEvent,
    KeyName,
    KeyState,
)
from fennelcove.emulators.clients import Unanswered
from fennelcove.emulators.sockets import SocketPlayer
from fennelcove.settings.schema import StoreSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.rig import WholePath, wait_for

NAME = KeyName("client", "key")


class TableTest(unittest.TestCase):
    def test_it_is_total_and_a_set_up_runs_from_free_alone(self) -> None:
        assert set(TRANSITIONS) == {(stage, cue) for stage in KeyState for cue in KeyEvent}
        running = [
            stage
            for stage in KeyState
            if TRANSITIONS.apply(stage, KeyEvent.REQUESTED).actions == (KeyAction.RUN,)
        ]
        assert running == [KeyState.UNUSED]
        for stage in (KeyState.CLOSED, KeyState.INDETERMINATE):
            assert {TRANSITIONS.apply(stage, cue).state for cue in KeyEvent} == {
                stage
            }, "there is no way back"
        assert (
            TRANSITIONS.apply(KeyState.IN_PROGRESS, KeyEvent.RESTARTED_NOT_REPEATABLE).state
            is KeyState.INDETERMINATE
        )

    @given(st.lists(st.sampled_from(list(KeyEvent)), max_size=40), st.booleans())
    @settings(max_examples=200)
    def test_what_may_have_run_never_runs_again(self, cues: list[KeyEvent], safe: bool) -> None:
        repeats, runs, doubtful = IdempotencyTable(), 0, False
        for i, cue in enumerate(cues):
            if cue is KeyEvent.REQUESTED:
                found = repeats.request(NAME, "t/r", safe, i)
                assert found is not None
                if found[0] is KeyAction.RUN:
                    assert not doubtful
                    runs += 1
                    repeats.attach_session(NAME, f"s{runs}")
                continue
            before = repeats.keys[NAME].state if NAME in repeats.keys else KeyState.UNUSED
            repeats.apply(NAME, cue, i)
            doubtful |= before is KeyState.IN_PROGRESS and cue in (
                KeyEvent.OUTCOME_UNKNOWN,
                KeyEvent.ESTABLISHED,
                KeyEvent.RESTARTED_NOT_REPEATABLE,
            )

    def test_keys_are_forgotten_in_time_and_in_number_and_what_runs_is_not(self) -> None:
        repeats = IdempotencyTable()
        repeats.request(("c", "runs"), "t/r", True, 0)
        for i in range(200):
            repeats.request(("c", f"k{i}"), "t/r", True, i)
            repeats.apply(("c", f"k{i}"), KeyEvent.OUTCOME_UNKNOWN, i)
        for i in range(200):
            repeats.request(("d", f"k{i}"), "t/r", True, RETENTION_US + 1000 + i)
        assert ("c", "runs") in repeats.keys
        assert sum(name[0] == "c" for name in repeats.keys) < 60

    def test_a_key_for_something_else(self) -> None:
        repeats = IdempotencyTable()
        repeats.request(NAME, "t/r", True, 0)
        assert repeats.request(NAME, "other/r", True, 0) is None
        repeats.apply(NAME, KeyEvent.FAILED_SAFELY, 0)
        assert repeats.request(NAME, "other/r", True, 0) is not None

    def test_bytes_that_are_no_key(self) -> None:
        repeats = IdempotencyTable()
        for raw in (b"", b"x", b"\x95\x63\xa1a\xa1b\x00\xc3"):
            assert not repeats.restore(NAME, raw, 0)
        assert repeats.keys == {}


class RepeatsPathTest(WholePath):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.begin(store=StoreSettings(folder=str(Path(folder.name) / "store")))

    def keyed(self, key: str = "k1", room: str = "free", **more: Any) -> Any:
        return self.ask(room, key=key, cmcd={"sid": "v"}, **more)

    def test_the_same_one_again_gets_what_plays_and_later_that_it_is_spent(self) -> None:
        first, again = self.keyed(), self.keyed(retry=True)
        assert (first.status, again.status) == (201, 201)
        assert first.body["id"] == again.body["id"]
        assert len(self.seen("set_up")) == 1
        self.get(f"/v1/subscriptions/{first.body['id']}", method="DELETE")
        spent = self.keyed()
        assert (spent.status, spent.body["type"]) == (410, "urn:fennelcove:problem:spent")
        assert self.keyed("k2").status == 201
        assert self.keyed("k2", "keyed").status == 422

    def test_ten_tries_at_once_are_one_set_up_each_answered_once(self) -> None:
        for box in self.boxes:
            box.faults.slow_ms = 200.0
        import threading

        found: list[Any] = []
        threads = [threading.Thread(target=lambda: found.append(self.keyed())) for _ in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(heard.status for heard in found)
        assert (len(found), statuses[0]) == (10, 201)
        assert set(statuses) <= {201, 503}
        assert len(self.seen("set_up")) == 1
        assert self.front.core.admission_controller.sessions == 1

    def test_a_viewer_that_never_heard_finds_it_through_the_other_door(self) -> None:
        for box in self.boxes:
            box.faults.slow_ms = 150.0
        first = SocketPlayer(self.front.door.address, self.clock, random.Random(1))
        ask = {"room_type": "free", "title": "t1", "key": "k9", "cmcd": {"sid": "v"}}
        first.tell("set-up", ask=ask)
        self.wait_seen("set_up_over")
        wait_for(lambda: self.front.core.notifier.ownerships.by_session, "its start")
        first.hang_up()
        wait_for(lambda: not self.front.sockets.sessions, "the connection's end")
        again = self.keyed("k9")
        assert again.status == 201
        assert len(self.seen("set_up")) == 1

    def test_a_refused_one_may_be_asked_again(self) -> None:
        taken = [self.ask("few").body["id"] for _ in range(2)]
        assert self.keyed(room="few").status == 503
        self.get(f"/v1/subscriptions/{taken[0]}", method="DELETE")
        assert self.keyed(room="few").status == 201

    def test_one_that_may_have_run_is_never_repeated_though_the_front_is_killed(self) -> None:
        for box in self.boxes:
            box.faults.hang = True
        with self.assertRaises(Unanswered):
            raw = b'{"room_type":"once","title":"t1","key":"k1","cmcd":{"sid":"v"}}'
            self.player().ask("POST", "/v1/subscriptions", [("Content-Type", "application/json")], raw, 0.5)
        self.wait_seen("set_up")
        keeper = self.front.keeper
        assert keeper is not None
        keeper.enqueue(self.front.core.snapshots.collect_changes())
        wait_for(
            lambda: not keeper.queue.pending and any(b"k1" in key for key in list(keeper.store.values)),
            "the key kept",
        )
        values = dict(keeper.store.values)
        for box in self.boxes:
            box.faults.hang = False
        self.front.stop()
        self.settings = self.changed()
        self.front = self.new_front()
        self.front.core.snapshots.restore(values)  # as the killed life left it, not as the stopped one did
        heard = self.keyed("k1", "once")
        assert heard.status in (502, 504)
        assert len(self.seen("set_up")) == 1

    def test_what_plays_is_found_by_its_key_after_a_restart(self) -> None:
        id = self.keyed().body["id"]
        self.front.stop()
        self.front = self.new_front()
        again = self.keyed()
        assert (again.status, again.body["id"]) == (201, id)
        assert len(self.seen("set_up")) == 1


if __name__ == "__main__":
    unittest.main()
