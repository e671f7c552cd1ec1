"""The checks of tenants, on built recordings: each violation is found, and each fault that did not occur."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios import tenants
from fennelcove.scenarios.tenants import TenantResult

MS = 1000
TENANT_TERMS = {
    "hog": "hog",
    "from_s": 0,
    "served": 0.9,
    "wait_ms": 300,
    "fills": 2,
    "slots": 2,
    "cut": False,
    "stopped": False,
    "hops": False,
}


class RecordingBuilder:
    """Builds a recording with one server and clients whose attempts start after a given wait."""

    def __init__(self, **terms: Any) -> None:
        self.records: list[Record] = [
            {"t_us": 0, "what": "terms", "tenants": {**TENANT_TERMS, **terms}},
            {"t_us": 0, "what": "front_started", "front": "front-0", "address": "f0"},
            {"t_us": 0, "what": "day_began"},
        ]
        self.count = 0

    def add(self, at_ms: float, what: str, **fields: Any) -> None:
        self.records.append({"t_us": round(at_ms * MS), "what": what, **fields})

    def add_served(self, tenant: str, at_ms: float, wait_ms: float = 5, service_ms: float = 50) -> None:
        """Add a client that is served."""
        self.count += 1
        name, id = f"v{self.count}", f"s{self.count}"
        attempt = {"box": "b", "front": "front-0", "subscription": id, "join": 0}
        self.add(at_ms, "asked", viewer=name, number=0, front="f0", tenant=tenant)
        self.add(at_ms + wait_ms, "set_up", **attempt)
        completed_ms = at_ms + wait_ms + service_ms
        self.add(completed_ms, "set_up_over", **attempt, how="started")
        self.add(completed_ms + 1, "answered", viewer=name, number=0, status=201, subscription=id)

    def add_rejected(self, tenant: str, at_ms: float) -> None:
        """Add a client that is rejected."""
        self.count += 1
        self.add(at_ms, "asked", viewer=f"v{self.count}", number=0, front="f0", tenant=tenant)
        self.add(at_ms + 1, "answered", viewer=f"v{self.count}", number=0, status=503, subscription=None)

    def check(self) -> TenantResult:
        return tenants.check_tenants(sorted(self.records, key=lambda record: record["t_us"]))


def clean_recording(**terms: Any) -> RecordingBuilder:
    """A hog that sends four times the requests, two slots in use, and no violation."""
    recording = RecordingBuilder(**terms)
    for i in range(8):
        recording.add_served("near", i * 1000)
        for k in range(4):
            recording.add_served("hog", i * 1000 + k * 60)
    return recording


class TenantChecksTest(unittest.TestCase):
    def assert_violation(self, recording: RecordingBuilder, rule: int, part: str) -> None:
        violations = recording.check().violations
        assert {violation.rule for violation in violations} == {rule}, violations
        assert part in violations[0].reason

    def test_a_clean_recording_has_no_violations(self) -> None:
        found = clean_recording().check()
        assert found.violations == []
        rows = {row.name: row for row in found.shown.tenants}
        assert (found.shown.most_out, rows["hog"].asked, rows["near"].served) == (2, 32, 1.0)
        self.assertAlmostEqual(rows["hog"].slot_s, 1.6)

    def test_more_attempts_in_flight_than_slots_over_all_fronts(self) -> None:
        recording = clean_recording()
        recording.add_served("hog", 20)
        self.assert_violation(recording, tenants.SLOTS_RULE, "3 attempts in flight at b")

    def test_another_tenant_that_waits_too_long(self) -> None:
        recording = clean_recording()
        recording.add_served("near", 20_000, wait_ms=400)
        self.assert_violation(recording, tenants.WAITS_RULE, "waits of 400")

    def test_another_tenant_that_is_rejected(self) -> None:
        recording = clean_recording()
        for i in range(2):
            recording.add_rejected("near", 20_000 + i)
        self.assert_violation(recording, tenants.SERVED_SHARE_RULE, "served 0.8")

    def test_a_recording_without_overload_is_a_violation(self) -> None:
        recording = RecordingBuilder()
        for i in range(8):
            recording.add_served("near", i * 1000)
            recording.add_served("hog", i * 1000 + 10)
        self.assert_violation(recording, tenants.MISSING_FAULT_RULE, "the hog sent 8 requests")

    def test_slots_never_filled_and_faults_that_did_not_occur(self) -> None:
        self.assert_violation(
            clean_recording(fills=3, slots=4), tenants.MISSING_FAULT_RULE, "never more than 2"
        )
        self.assert_violation(clean_recording(cut=True), tenants.MISSING_FAULT_RULE, "no network fault")
        self.assert_violation(clean_recording(hops=True), tenants.MISSING_FAULT_RULE, "one front only")
        recording = clean_recording(stopped=True)
        recording.add(500, "front_paused", front="front-0")
        recording.add(700, "front_continued", front="front-0")
        self.assert_violation(
            recording, tenants.MISSING_FAULT_RULE, "no front was paused while it used slots"
        )


if __name__ == "__main__":
    unittest.main()
