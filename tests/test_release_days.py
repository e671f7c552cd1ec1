"""Rollouts over fleets: no more fronts are out than allowed, though a front hangs, fails or is killed.

Guards against a permit that two fronts use, a halted plan that continues, and a plan that ends with its
leader.
"""

from __future__ import annotations

import tempfile
import unittest
from typing import Any

import msgspec
from fennelcove.scenarios.script import Crowd, FaultSpec, RolloutRequirements, Scenario, VersionSpec, read

from tests.fleet_scenarios import run_scenarios

replace = msgspec.structs.replace


def start_command(*arguments: str) -> FaultSpec:
    options = ("--wanted", "2", "--before", "1", "--soak-s", "0.5")
    return FaultSpec(at_s=1.5, what="order", for_s=6, order=["release", "start", *options, *arguments])


def shortened(
    scenario: Scenario,
    seconds: float,
    release: RolloutRequirements,
    *fault_specs: FaultSpec,
    version: VersionSpec | None,
) -> Scenario:
    """Reduce a scenario to three fronts instead of five, with fewer clients."""
    crowds: list[Crowd] = [
        replace(crowd, to_s=seconds - 3, per_s=0.6 * crowd.per_s) for crowd in scenario.crowds
    ]
    return replace(
        scenario,
        seconds=seconds,
        fronts=3,
        service_floor=0.5,
        crowds=crowds,
        release=release,
        versions=[version] if version is not None else [],
        troubles=list(fault_specs),
    )


def scenarios() -> dict[str, Scenario]:
    scenario = read("release")
    rollback_command = FaultSpec(at_s=3, until="off", what="order", for_s=5, order=["release", "back"])
    write_off_arguments = ["write-off", "front", "2", "front-0", "front-1"]
    return {
        "leader": shortened(
            scenario,
            20,
            RolloutRequirements(wanted=2, ends="all"),
            start_command("--out-s", "20"),
            FaultSpec(at_s=2, until="out-1", what="front-kill", leader=True, for_s=1.5),
            version=None,
        ),
        "hung": shortened(
            scenario,
            16,
            # The canary hangs: if it were a later front, a slow host could halt the plan before that.
            RolloutRequirements(wanted=2, ends="none", lost=[2], most=1),
            start_command("--out-s", "4"),
            FaultSpec(at_s=2, until="halted", what="order", for_s=4, order=write_off_arguments),
            rollback_command,
            version=VersionSpec(number=2, hangs=[2]),
        ),
        "refused": shortened(
            scenario,
            14,
            RolloutRequirements(wanted=2, ends="none", most=1),
            start_command("--out-s", "15"),
            FaultSpec(at_s=2, until="halted", what="order", for_s=5, order=["release", "back"]),
            version=VersionSpec(number=2, refused=True),
        ),
    }


class RolloutScenarioTest(unittest.TestCase):
    def test_each_rollout_ends_as_expected_within_its_limits(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            verdicts = run_scenarios(scenarios(), folder, 3, parallel=3)
        for name, verdict in verdicts.items():
            with self.subTest(day=name):
                self.check(verdict)

    def check(self, verdict: dict[str, Any]) -> None:
        assert verdict["broken"] == []
        assert verdict["outs"]["most_taken"] == 1
        assert verdict["fleet"]["pushed_over"] == 0


if __name__ == "__main__":
    unittest.main()
