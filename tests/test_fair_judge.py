"""The checks of tenants, on built recordings: each violation is found, and each fault that did not occur."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios import tenants
from fennelcove.scenarios.tenants import TenantResult

MS = 1000
BAR = {
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


class Made:
    """Builds a recording with one server and clients whose attempts start after a given wait."""

    def __init__(self, **bar: Any) -> None:
        self.records: list[Record] = [
            {"t_us": 0, "what": "terms", "tenants": {**BAR, **bar}},
            {"t_us": 0, "what": "front_started", "front": "front-0", "address": "f0"},
            {"t_us": 0, "what": "day_began"},
        ]
        self.count = 0

    def add(self, at_ms: float, what: str, **fields: Any) -> None:
        self.records.append({"t_us": round(at_ms * MS), "what": what, **fields})

    def play(self, tenant: str, at_ms: float, wait_ms: float = 5, hold_ms: float = 50) -> None:
        """Add a client that is served."""
        self.count += 1
        name, id = f"v{self.count}", f"s{self.count}"
        join = {"box": "b", "front": "front-0", "subscription": id, "join": 0}
        self.add(at_ms, "asked", viewer=name, number=0, front="f0", tenant=tenant)
        self.add(at_ms + wait_ms, "set_up", **join)
        over_ms = at_ms + wait_ms + hold_ms
        self.add(over_ms, "set_up_over", **join, how="started")
        self.add(over_ms + 1, "answered", viewer=name, number=0, status=201, subscription=id)

    def turn_away(self, tenant: str, at_ms: float) -> None:
        """Add a client that is rejected."""
        self.count += 1
        self.add(at_ms, "asked", viewer=f"v{self.count}", number=0, front="f0", tenant=tenant)
        self.add(at_ms + 1, "answered", viewer=f"v{self.count}", number=0, status=503, subscription=None)

    def judged(self) -> TenantResult:
        return tenants.check_tenants(sorted(self.records, key=lambda record: record["t_us"]))


def evening(**bar: Any) -> Made:
    """A hog that sends four times the requests, two slots in use, and no violation."""
    made = Made(**bar)
    for i in range(8):
        made.play("near", i * 1000)
        for k in range(4):
            made.play("hog", i * 1000 + k * 60)
    return made


class TenantsTest(unittest.TestCase):
    def assert_breaks(self, made: Made, rule: int, part: str) -> None:
        faults = made.judged().violations
        assert {fault.rule for fault in faults} == {rule}, faults
        assert part in faults[0].reason

    def test_an_evening_as_it_should_be_breaks_nothing(self) -> None:
        found = evening().judged()
        assert found.violations == []
        rows = {row.name: row for row in found.shown.tenants}
        assert (found.shown.most_out, rows["hog"].asked, rows["near"].served) == (2, 32, 1.0)
        self.assertAlmostEqual(rows["hog"].slot_s, 1.6)

    def test_more_out_than_slots_over_all_fronts(self) -> None:
        made = evening()
        made.play("hog", 20)
        self.assert_breaks(made, tenants.SLOTS_RULE, "3 attempts in flight at b")

    def test_a_neighbour_that_waits_too_long(self) -> None:
        made = evening()
        made.play("near", 20_000, wait_ms=400)
        self.assert_breaks(made, tenants.WAITS_RULE, "waits of 400")

    def test_a_neighbour_that_is_refused(self) -> None:
        made = evening()
        for i in range(2):
            made.turn_away("near", 20_000 + i)
        self.assert_breaks(made, tenants.SERVED_SHARE_RULE, "served 0.8")

    def test_a_day_without_a_hog_shows_nothing(self) -> None:
        made = Made()
        for i in range(8):
            made.play("near", i * 1000)
            made.play("hog", i * 1000 + 10)
        self.assert_breaks(made, tenants.STRUCK, "the hog sent 8 requests")

    def test_slots_that_were_never_filled_a_cut_and_a_stop_that_were_not_made(self) -> None:
        self.assert_breaks(evening(fills=3, slots=4), tenants.STRUCK, "never more than 2")
        self.assert_breaks(evening(cut=True), tenants.STRUCK, "no network fault")
        self.assert_breaks(evening(hops=True), tenants.STRUCK, "one front only")
        made = evening(stopped=True)
        made.add(500, "front_paused", front="front-0")
        made.add(700, "front_continued", front="front-0")
        self.assert_breaks(made, tenants.STRUCK, "no front was paused while it used slots")


if __name__ == "__main__":
    unittest.main()
