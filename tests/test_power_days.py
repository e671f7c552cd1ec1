"""Power losses of whole fleets with network faults: the rules hold and service recovers."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from fennelcove.scenarios.script import FaultSpec, NetworkFault, PowerLoss, Scenario, read

from tests.fleet_scenarios import run_scenarios

replace = msgspec.structs.replace
POWER_LOSS = PowerLoss(boxes_back_s=[0.5, 2.0], fronts_back_s=[0.5, 2.0], lists_back_s=0.5)


def partition_zones(scenario: Scenario) -> Scenario:
    """One zone is partitioned from the other from before the restart until long after it."""
    partition = NetworkFault(sender="hall-a", taker="hall-b", how="silent")
    reordering = NetworkFault(sender="fronts", taker="fronts", how="reorder", share=0.5)
    fault_specs = [
        FaultSpec(at_s=5, what="power", power=POWER_LOSS),
        FaultSpec(at_s=5.5, what="between", for_s=8, between=partition),
        FaultSpec(at_s=5.5, what="between", for_s=12, value=300, between=reordering),
    ]
    return replace(scenario, troubles=fault_specs)


def restart_lists_last(scenario: Scenario) -> Scenario:
    """The list service restarts last and knows only the list from before."""
    power = replace(
        POWER_LOSS, lists_back_s=6.0, lists_before=True, lists_learn_s=4.0, folders=["kept", "gone"]
    )
    return replace(scenario, troubles=[FaultSpec(at_s=5, what="power", power=power)])


def lose_power_twice(scenario: Scenario) -> Scenario:
    """The power is lost again while servers are cold; then a front is paused."""
    fault_specs = [
        FaultSpec(at_s=4, what="power", power=POWER_LOSS),
        FaultSpec(at_s=7.5, what="power", power=replace(POWER_LOSS, folders=["torn", "kept"])),
        FaultSpec(at_s=11, what="front-stop", for_s=3, fronts=[1]),
    ]
    return replace(scenario, troubles=fault_specs)


CHANGES: dict[str, Callable[[Scenario], Scenario]] = {
    "loss": lambda scenario: scenario,
    "split": partition_zones,
    "lists": restart_lists_last,
    "twice": lose_power_twice,
}


class PowerLossScenarioTest(unittest.TestCase):
    def test_a_fleet_recovers_from_each_power_loss_and_breaks_no_rule(self) -> None:
        scenarios = {name: change(read("power-short")) for name, change in CHANGES.items()}
        with tempfile.TemporaryDirectory() as folder:
            verdicts = run_scenarios(scenarios, folder, 3)
        for name, verdict in verdicts.items():
            with self.subTest(scenario=name):
                self.check(verdict)

    def check(self, verdict: dict[str, Any]) -> None:
        assert verdict["broken"] == [], f"rig late by up to {verdict['rig_late_ms']:.0f} ms"
        fleet = verdict["fleet"]
        assert fleet["pushed_over"] == 0
        assert fleet["returns"][-1]["first_share"] > 0.1
        assert sum(second["played"] for second in fleet["seconds"][-6:]) > 0
        assert fleet["connections"] > 0


if __name__ == "__main__":
    unittest.main()
