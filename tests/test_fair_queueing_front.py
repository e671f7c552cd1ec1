"""A complete front whose servers have few slots: which requests wait, which gets the next slot, which leave
the queue, and what the servers receive."""

from __future__ import annotations

import threading
import unittest
from typing import Any

from fennelcove import usage_messages
from fennelcove.emulators.clients import Response
from fennelcove.emulators.media_server import SetUpTimes
from fennelcove.fair_queueing.usage_gossip import UsageReport, UsageRow
from fennelcove.settings.schema import FairQueueingSettings, SlotSettings, TenantWeight
from fennelcove.settings.validation import find_violations

from tests.front_case import FrontTestCase, wait_for


class WaitQueueFrontTest(FrontTestCase):
    SERVER_COUNT = 1

    def start_with_fair_queue(self, service_ms: float, **changes: Any) -> None:
        self.start_system(fair=FairQueueingSettings(**{"slots": 2, "wait_ms": 10_000.0, **changes}))
        self.request_session()  # a request without any history counts as long, and never gets the last slot
        self.servers[0].set_up_times = SetUpTimes(service_ms)
        self.request_session()
        self.recorder.records.clear()

    def scheduler(self) -> Any:
        return self.front.core.slots.scheduler

    def test_requests_beyond_the_slots_wait_and_the_slots_are_not_exceeded(self) -> None:
        self.start_with_fair_queue(50)
        responses = self.request_concurrently(8)
        assert {response.status for response in responses} == {201}
        assert self.max_setups_in_flight() == 2
        assert self.scheduler().status()["out"] == 0

    def test_hopeless_requests_are_rejected_with_retry_after_and_send_nothing(self) -> None:
        self.start_with_fair_queue(300, wait_ms=20.0)
        responses = self.request_concurrently(6, service_class="once")
        rejected = [response for response in responses if response.status == 503]
        assert rejected
        assert all(response.head.get(b"retry-after") for response in rejected)
        # This service class permits one attempt: a rejected request was never sent to a server.
        assert len(self.find_records("set_up")) == 6 - len(rejected)

    def test_a_disconnected_client_leaves_the_queue_and_the_slots_unchanged(self) -> None:
        self.start_with_fair_queue(600)
        in_flight = [threading.Thread(target=self.request_session) for _ in range(2)]
        for thread in in_flight:
            thread.start()
        wait_for(lambda: self.scheduler().status()["out"] == 2, "both slots in use")
        client = self.new_client()
        waiting = threading.Thread(target=lambda: self._send_interrupted_request(client))
        waiting.start()
        wait_for(lambda: self.scheduler().status()["waiting"] == 1, "one waiting request")
        assert client.sock is not None
        client.sock.shutdown(2)
        waiting.join()
        wait_for(lambda: self.scheduler().status()["waiting"] == 0, "an empty queue")
        for thread in in_flight:
            thread.join()
        assert len(self.find_records("set_up")) == 2
        assert self.scheduler().status()["out"] == 0

    def _send_interrupted_request(self, client: Any) -> None:
        try:
            self.request_session(client=client)
        except Exception as error:
            assert type(error).__name__ == "Unanswered"

    def test_a_stopping_front_answers_all_waiting_requests(self) -> None:
        self.start_with_fair_queue(1500)
        responses: list[Response] = []
        threads = [
            threading.Thread(target=lambda: responses.append(self.request_session())) for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        wait_for(lambda: self.scheduler().status()["waiting"] == 2, "two waiting requests")
        self.front.cancel_pending_attempts()
        for thread in threads:
            thread.join()
        assert sorted(response.status for response in responses)[-2:] == [503, 503]

    def test_a_tenant_within_its_share_goes_before_one_that_used_more(self) -> None:
        self.start_with_fair_queue(100)
        self.request_concurrently(6, tenant="noisy")
        rest = [threading.Thread(target=lambda: self.request_session(tenant="noisy")) for _ in range(6)]
        for thread in rest:
            thread.start()
        wait_for(lambda: self.scheduler().status()["waiting"] >= 4, "waiting requests of the noisy tenant")
        self.request_session(tenant="other")
        before = self.scheduler().status()["waiting"]
        for thread in rest:
            thread.join()
        assert before >= 1  # in order of arrival, all of the noisy tenant would have gone first


class LearnedLimitTest(FrontTestCase):
    SERVER_COUNT = 1

    def test_a_learned_limit_replaces_the_configured_one(self) -> None:
        # Fifty slots are configured, and at most two are learned: a queue that used the configured number
        # would grant slots to all eight requests, and the learned limit would then reject six of them.
        learned = SlotSettings(start=2, least=2, most=2)
        self.start_system(fair=FairQueueingSettings(slots=50, wait_ms=10_000.0), slots=learned)
        # Set before any request: compared with an immediate set-up, all others would count as long.
        self.servers[0].set_up_times = SetUpTimes(60)
        address = self.servers[0].address
        # A front that just started has no share of a server until its first window closes; earlier requests
        # are rejected.
        status: Any = lambda: self.front.core.status().to_json_fields()  # noqa: E731
        wait_for(lambda: status()["slots"]["boxes"].get(address, {}).get("here"), "a share of the server")
        self.request_session()
        threads = [threading.Thread(target=self.request_session) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(self.find_records("set_up_over", how="started")) == 9
        assert self.max_setups_in_flight() <= 2


class SettingsTest(FrontTestCase):
    SERVER_COUNT = 1

    def test_a_duplicate_tenant_name_is_rejected(self) -> None:
        self.start_system(
            start=False,
            fair=FairQueueingSettings(slots=2, weights=[TenantWeight(name="a"), TenantWeight(name="a")]),
        )
        assert any("fair.weights[1].name" in line for line in find_violations(self.settings))
        without_duplicate = self.make_settings(fair=FairQueueingSettings(slots=2))
        assert [line for line in find_violations(without_duplicate) if "fair" in line] == []


class UsageMessagesTest(unittest.TestCase):
    def test_reports_round_trip_and_truncated_messages_are_rejected(self) -> None:
        rows = tuple(UsageRow(i, i + 1, i * 10**12) for i in range(40))
        parts = usage_messages.encode(UsageReport(1 << 40, 7, rows))
        decoded = [usage_messages.decode(part) for part in parts]
        assert tuple(row for report in decoded if report for row in report.rows) == rows
        for length in range(len(parts[0])):
            assert usage_messages.decode(parts[0][:length]) != decoded[0]


if __name__ == "__main__":
    unittest.main()
