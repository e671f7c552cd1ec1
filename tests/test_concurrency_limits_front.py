"""A complete front that learns the concurrency limit of its server: the limit is never exceeded, with a wait
queue or without, and the learned limit survives a restart."""

from __future__ import annotations

import tempfile
import unittest
from typing import Any

from fennelcove.concurrency_limits import persisted
from fennelcove.emulators.media_server import SetUpTimes
from fennelcove.settings.schema import FairQueueingSettings, SlotSettings, StoreSettings
from fennelcove.settings.validation import find_violations

from tests.front_case import FrontTestCase, wait_for


class LearnedLimitFrontTest(FrontTestCase):
    SERVER_COUNT = 1

    def slots_status(self) -> Any:
        return self.front.core.status().to_json_fields()["slots"]

    def test_the_limit_is_not_exceeded_and_the_rest_is_rejected_at_once(self) -> None:
        self.start_system(slots=SlotSettings(start=2, most=2))
        self.servers[0].set_up_times = SetUpTimes(200)
        # A front that just started has no share of a server until its first window closes; without this wait
        # all eight requests were rejected.
        address = self.servers[0].address
        wait_for(lambda: self.slots_status()["boxes"].get(address, {}).get("here"), "a share of the server")
        responses = self.request_concurrently(8)
        assert self.max_setups_in_flight() == 2
        rejected = [response for response in responses if response.status == 503]
        assert len(rejected) + sum(response.status == 201 for response in responses) == 8
        assert rejected
        assert all(response.head.get(b"retry-after") for response in rejected)
        server = self.slots_status()["boxes"][self.servers[0].address]
        assert (server["whole"], server["out"]) == (2, 0)
        wait_for(
            lambda: self.slots_status()["boxes"][self.servers[0].address]["holds_ms"],
            "a learned service time",
        )

    def test_with_a_wait_queue_all_are_served_and_the_limit_is_not_exceeded(self) -> None:
        self.start_system(
            slots=SlotSettings(start=2, most=2), fair=FairQueueingSettings(slots=2, wait_ms=10_000.0)
        )
        # Set before any request: compared with an immediate set-up, all others would count as long.
        self.servers[0].set_up_times = SetUpTimes(50)
        address = self.servers[0].address
        # A front that just started has no share of a server until its first window closes; earlier requests
        # are rejected.
        wait_for(lambda: self.slots_status()["boxes"].get(address, {}).get("here"), "a share of the server")
        self.request_session()  # a request without any history counts as long
        self.recorder.records.clear()
        responses = self.request_concurrently(8)
        assert {response.status for response in responses} == {201}
        assert self.max_setups_in_flight() == 2

    def test_the_limit_is_stored_for_the_next_start(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.start_system(slots=SlotSettings(), store=StoreSettings(folder=folder))
            self.request_session()
            wait_for(lambda: self.slots_status()["boxes"], "a listed server")
            self.front.stop()
            values = self.front.core.snapshots.stored
            raw = values[persisted.KEY_PREFIX + self.servers[0].address.encode()]
            assert persisted.restore_limit(raw, "k", 0, 16, self.clock.wall_us()) == 16

    def test_settings_require_loans_that_outlast_attempts_and_a_consistent_minimum(self) -> None:
        self.start_system(start=False, slots=SlotSettings(loan_ms=4000.0, start=1, least=2))
        errors = [line for line in find_violations(self.settings) if line.startswith("slots.")]
        assert len(errors) == 2


if __name__ == "__main__":
    unittest.main()
