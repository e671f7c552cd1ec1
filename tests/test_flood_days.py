"""Overload of fleets with network faults: rules and budgets hold, and service recovers afterwards."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.decisions.fleet.shared_quotas import BURST_S
from fennelcove.scenarios.script import Crowd, Scenario, read

from tests.fleet_scenarios import run_scenarios

PEAK_TIMES = {"from_s": 5.0, "to_s": 9.0}


def shortened(scenario: Scenario) -> Scenario:
    """Shorten a scenario to half of its time and half of its load, to run it on every change."""
    crowds = [
        msgspec.structs.replace(crowd, per_s=crowd.per_s / 2, to_s=14.0)
        if not crowd.from_s
        else _shortened_peak(crowd)
        for crowd in scenario.crowds
    ]
    fault_specs = [
        msgspec.structs.replace(fault_spec, at_s=6.0, for_s=2.5) for fault_spec in scenario.troubles
    ]
    servers = scenario.boxes[:6]
    return msgspec.structs.replace(scenario, crowds=crowds, troubles=fault_specs, boxes=servers, seconds=16.0)


def _shortened_peak(crowd: Crowd) -> Crowd:
    return msgspec.structs.replace(crowd, per_s=crowd.per_s / 2, **PEAK_TIMES)


def further_attempt_times(records: list[dict[str, Any]]) -> list[int]:
    """Times in microseconds at which attempts after a session's first reached their servers."""
    return [record["t_us"] for record in records if record["what"] == "set_up" and record["join"] > 0]


class OverloadScenarioTest(unittest.TestCase):
    def check_budgets(self, scenario: Scenario, records: list[dict[str, Any]]) -> None:
        """Check the further attempts and list requests of all fronts, counted where they arrive."""
        overload = scenario.front.overload
        assert overload is not None
        times = further_attempt_times(records)
        burst = max(scenario.fronts, BURST_S * overload.further_joins_s)
        for from_us in times:
            attempts_in_window = [time for time in times if from_us <= time < from_us + 4_000_000]
            # Each front may send one more, and slow servers receive attempts later than they were sent.
            assert len(attempts_in_window) <= 5 * overload.further_joins_s + burst + scenario.fronts
        list_requests = next(r for r in records if r["what"] == "carried").get("connections fronts lists", 0)
        assert list_requests > scenario.fronts
        assert list_requests <= scenario.seconds * overload.list_calls_s + 2 * scenario.fronts

    def test_overload_breaks_no_rule_and_service_recovers(self) -> None:
        names = ("flood-sums", "flood-kill", "flood-split", "flood-slow-box")
        with tempfile.TemporaryDirectory() as folder:
            scenarios = {name: shortened(read(name)) for name in names}
            verdicts = run_scenarios(scenarios, folder, 2, parallel=1)
            lines = Path(folder, "flood-sums.jsonl").read_text("utf-8").splitlines()
        self.check_budgets(scenarios["flood-sums"], [json.loads(line) for line in lines])
        for name, verdict in verdicts.items():
            with self.subTest(scenario=name):
                assert verdict["broken"] == []
                assert verdict["fleet"]["pushed_over"] == 0
                # After the crowd has left, requests are served again, though some clients still retry.
                last_seconds = verdict["fleet"]["seconds"][12:14]
                assert sum(second["played"] for second in last_seconds) > 0


if __name__ == "__main__":
    unittest.main()
