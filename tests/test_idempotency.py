"""Idempotency keys: a repeated set-up runs once, over HTTP and WebSocket and across restarts."""

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
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.settings.schema import StoreSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.front_case import FrontTestCase, wait_for

NAME = KeyName("client", "key")


class IdempotencyTableTest(unittest.TestCase):
    def test_table_is_total_and_only_an_unused_key_runs_a_set_up(self) -> None:
        assert set(TRANSITIONS) == {(state, event) for state in KeyState for event in KeyEvent}
        running = [
            state
            for state in KeyState
            if TRANSITIONS.apply(state, KeyEvent.REQUESTED).actions == (KeyAction.RUN,)
        ]
        assert running == [KeyState.UNUSED]
        for final in (KeyState.CLOSED, KeyState.INDETERMINATE):
            assert {TRANSITIONS.apply(final, event).state for event in KeyEvent} == {
                final
            }, "the state is final"
        assert (
            TRANSITIONS.apply(KeyState.IN_PROGRESS, KeyEvent.RESTARTED_NOT_REPEATABLE).state
            is KeyState.INDETERMINATE
        )

    @given(st.lists(st.sampled_from(list(KeyEvent)), max_size=40), st.booleans())
    @settings(max_examples=200)
    def test_set_up_that_may_have_run_never_runs_again(
        self, events: list[KeyEvent], repeatable: bool
    ) -> None:
        table, run_count, may_have_run = IdempotencyTable(), 0, False
        for i, event in enumerate(events):
            if event is KeyEvent.REQUESTED:
                found = table.request(NAME, "t/r", repeatable, i)
                assert found is not None
                if found[0] is KeyAction.RUN:
                    assert not may_have_run
                    run_count += 1
                    table.attach_session(NAME, f"s{run_count}")
                continue
            before = table.keys[NAME].state if NAME in table.keys else KeyState.UNUSED
            table.apply(NAME, event, i)
            may_have_run |= before is KeyState.IN_PROGRESS and event in (
                KeyEvent.OUTCOME_UNKNOWN,
                KeyEvent.ESTABLISHED,
                KeyEvent.RESTARTED_NOT_REPEATABLE,
            )

    def test_keys_expire_by_age_and_number_but_running_ones_do_not(self) -> None:
        table = IdempotencyTable()
        table.request(("c", "runs"), "t/r", True, 0)
        for i in range(200):
            table.request(("c", f"k{i}"), "t/r", True, i)
            table.apply(("c", f"k{i}"), KeyEvent.OUTCOME_UNKNOWN, i)
        for i in range(200):
            table.request(("d", f"k{i}"), "t/r", True, RETENTION_US + 1000 + i)
        assert ("c", "runs") in table.keys
        assert sum(name[0] == "c" for name in table.keys) < 60

    def test_key_of_another_request_is_rejected_until_it_failed_safely(self) -> None:
        table = IdempotencyTable()
        table.request(NAME, "t/r", True, 0)
        assert table.request(NAME, "other/r", True, 0) is None
        table.apply(NAME, KeyEvent.FAILED_SAFELY, 0)
        assert table.request(NAME, "other/r", True, 0) is not None

    def test_malformed_stored_keys_are_not_restored(self) -> None:
        table = IdempotencyTable()
        for raw in (b"", b"x", b"\x95\x63\xa1a\xa1b\x00\xc3"):
            assert not table.restore(NAME, raw, 0)
        assert table.keys == {}


class IdempotencyFrontTest(FrontTestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.start_system(store=StoreSettings(folder=str(Path(directory.name) / "store")))

    def request_with_key(self, key: str = "k1", service_class: str = "free", **fields: Any) -> Any:
        return self.request_session(service_class, key=key, cmcd={"sid": "v"}, **fields)

    def test_repeated_request_gets_the_session_and_after_its_end_a_410(self) -> None:
        first, repeated = self.request_with_key(), self.request_with_key(retry=True)
        assert (first.status, repeated.status) == (201, 201)
        assert first.body["id"] == repeated.body["id"]
        assert len(self.find_records("set_up")) == 1
        self.get(f"/v1/subscriptions/{first.body['id']}", method="DELETE")
        closed = self.request_with_key()
        assert (closed.status, closed.body["type"]) == (410, "urn:fennelcove:problem:spent")
        assert self.request_with_key("k2").status == 201
        assert self.request_with_key("k2", "keyed").status == 422

    def test_ten_concurrent_requests_with_one_key_are_one_set_up(self) -> None:
        for server in self.servers:
            server.faults.slow_ms = 200.0
        import threading

        responses: list[Any] = []
        threads = [
            threading.Thread(target=lambda: responses.append(self.request_with_key())) for _ in range(10)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(response.status for response in responses)
        assert (len(responses), statuses[0]) == (10, 201)
        assert set(statuses) <= {201, 503}
        assert len(self.find_records("set_up")) == 1
        assert self.front.core.admission_controller.sessions == 1

    def test_session_whose_websocket_response_was_lost_is_found_over_http(self) -> None:
        for server in self.servers:
            server.faults.slow_ms = 150.0
        first = WebSocketClient(self.front.http_server.address, self.clock, random.Random(1))
        request = {"room_type": "free", "title": "t1", "key": "k9", "cmcd": {"sid": "v"}}
        first.send_message("set-up", ask=request)
        self.wait_for_records("set_up_over")
        wait_for(lambda: self.front.core.notifier.ownerships.by_session, "the session to start")
        first.hang_up()
        wait_for(lambda: not self.front.websocket_server.sessions, "the connection to close")
        repeated = self.request_with_key("k9")
        assert repeated.status == 201
        assert len(self.find_records("set_up")) == 1

    def test_rejected_request_may_be_repeated(self) -> None:
        established = [self.request_session("few").body["id"] for _ in range(2)]
        assert self.request_with_key(service_class="few").status == 503
        self.get(f"/v1/subscriptions/{established[0]}", method="DELETE")
        assert self.request_with_key(service_class="few").status == 201

    def test_set_up_that_may_have_run_is_not_repeated_after_the_front_is_killed(self) -> None:
        for server in self.servers:
            server.faults.hang = True
        with self.assertRaises(Unanswered):
            raw = b'{"room_type":"once","title":"t1","key":"k1","cmcd":{"sid":"v"}}'
            self.new_client().ask(
                "POST", "/v1/subscriptions", [("Content-Type", "application/json")], raw, 0.5
            )
        self.wait_for_records("set_up")
        writer = self.front.store_writer
        assert writer is not None
        writer.enqueue(self.front.core.snapshots.collect_changes())
        wait_for(
            lambda: not writer.queue.pending and any(b"k1" in key for key in list(writer.store.values)),
            "the key to be stored",
        )
        values = dict(writer.store.values)
        for server in self.servers:
            server.faults.hang = False
        self.front.stop()
        self.settings = self.make_settings()
        self.front = self.start_front()
        # The records as the killed process left them, not those that the clean stop wrote.
        self.front.core.snapshots.restore(values)
        response = self.request_with_key("k1", "once")
        assert response.status in (502, 504)
        assert len(self.find_records("set_up")) == 1

    def test_session_is_found_by_its_key_after_a_restart(self) -> None:
        id = self.request_with_key().body["id"]
        self.front.stop()
        self.front = self.start_front()
        repeated = self.request_with_key()
        assert (repeated.status, repeated.body["id"]) == (201, id)
        assert len(self.find_records("set_up")) == 1


if __name__ == "__main__":
    unittest.main()
