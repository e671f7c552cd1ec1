"""Power losses of whole fleets with network faults: the rules hold and service recovers."""

from __future__ import annotations

import tempfile
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from fennelcove.scenarios.script import Day, FaultSpec, NetworkFault, PowerLoss, read

from tests.fleetdays import played

replace = msgspec.structs.replace
POWER = PowerLoss(boxes_back_s=[0.5, 2.0], fronts_back_s=[0.5, 2.0], lists_back_s=0.5)


def split(day: Day) -> Day:
    """One zone is partitioned from the other from before the restart until long after it."""
    cut = NetworkFault(sender="hall-a", taker="hall-b", how="silent")
    lose = NetworkFault(sender="fronts", taker="fronts", how="reorder", share=0.5)
    troubles = [
        FaultSpec(at_s=5, what="power", power=POWER),
        FaultSpec(at_s=5.5, what="between", for_s=8, between=cut),
        FaultSpec(at_s=5.5, what="between", for_s=12, value=300, between=lose),
    ]
    return replace(day, troubles=troubles)


def lists(day: Day) -> Day:
    """The list service restarts last and knows only the list from before."""
    power = replace(POWER, lists_back_s=6.0, lists_before=True, lists_learn_s=4.0, folders=["kept", "gone"])
    return replace(day, troubles=[FaultSpec(at_s=5, what="power", power=power)])


def twice(day: Day) -> Day:
    """The power is lost again while servers are cold; then a front is paused."""
    troubles = [
        FaultSpec(at_s=4, what="power", power=POWER),
        FaultSpec(at_s=7.5, what="power", power=replace(POWER, folders=["torn", "kept"])),
        FaultSpec(at_s=11, what="front-stop", for_s=3, fronts=[1]),
    ]
    return replace(day, troubles=troubles)


DAYS: dict[str, Callable[[Day], Day]] = {
    "loss": lambda day: day,
    "split": split,
    "lists": lists,
    "twice": twice,
}


class PowerTest(unittest.TestCase):
    def test_a_fleet_comes_back_from_each_loss_with_every_rule_kept(self) -> None:
        days = {name: change(read("power-short")) for name, change in DAYS.items()}
        with tempfile.TemporaryDirectory() as folder:
            found = played(days, folder, 3)
        for name, verdict in found.items():
            with self.subTest(day=name):
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
