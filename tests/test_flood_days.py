"""Overload of fleets with network faults: rules and budgets hold, and service recovers afterwards."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.decisions.fleet.shared_quotas import BURST_S
from fennelcove.scenarios.script import Crowd, Day, read

from tests.fleetdays import played

SHORT = {"from_s": 5.0, "to_s": 9.0}


def short(day: Day) -> Day:
    """Shorten a scenario to half of its time and half of its load, to run it on every change."""
    crowds = [
        msgspec.structs.replace(crowd, per_s=crowd.per_s / 2, to_s=14.0) if not crowd.from_s else _peak(crowd)
        for crowd in day.crowds
    ]
    troubles = [msgspec.structs.replace(trouble, at_s=6.0, for_s=2.5) for trouble in day.troubles]
    boxes = day.boxes[:6]
    return msgspec.structs.replace(day, crowds=crowds, troubles=troubles, boxes=boxes, seconds=16.0)


def _peak(crowd: Crowd) -> Crowd:
    return msgspec.structs.replace(crowd, per_s=crowd.per_s / 2, **SHORT)


def further(records: list[dict[str, Any]]) -> list[int]:
    """Times in microseconds at which attempts after a session's first reached their servers."""
    return [record["t_us"] for record in records if record["what"] == "set_up" and record["join"] > 0]


class FloodTest(unittest.TestCase):
    def assert_within_budgets(self, day: Day, records: list[dict[str, Any]]) -> None:
        """Check the further attempts and list requests of all fronts, counted where they arrive."""
        told = day.front.overload
        assert told is not None
        times = further(records)
        saved = max(day.fronts, BURST_S * told.further_joins_s)
        for from_us in times:
            within = [time for time in times if from_us <= time < from_us + 4_000_000]
            # Each front may send one more, and slow servers receive attempts later than they were sent.
            assert len(within) <= 5 * told.further_joins_s + saved + day.fronts
        calls = next(r for r in records if r["what"] == "carried").get("connections fronts lists", 0)
        assert calls > day.fronts
        assert calls <= day.seconds * told.list_calls_s + 2 * day.fronts

    def test_floods_keep_every_rule_and_nothing_stays_collapsed(self) -> None:
        names = ("flood-sums", "flood-kill", "flood-split", "flood-slow-box")
        with tempfile.TemporaryDirectory() as folder:
            days = {name: short(read(name)) for name in names}
            found = played(days, folder, 2, beside=1)
            lines = Path(folder, "flood-sums.jsonl").read_text("utf-8").splitlines()
        self.assert_within_budgets(days["flood-sums"], [json.loads(line) for line in lines])
        for name, verdict in found.items():
            with self.subTest(day=name):
                assert verdict["broken"] == []
                assert verdict["fleet"]["pushed_over"] == 0
                # After the crowd has left, requests are served again, though some clients still retry.
                last = verdict["fleet"]["seconds"][12:14]
                assert sum(second["played"] for second in last) > 0


if __name__ == "__main__":
    unittest.main()
