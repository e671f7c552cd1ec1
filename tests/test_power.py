"""Whole fleets of processes with faults between them: the rules hold, service returns, the verdict stands."""

from __future__ import annotations

import threading
import unittest
from collections.abc import Callable

import msgspec

from fennelcove.day.judge import Verdict, judge
from fennelcove.day.player import DayPlayer
from fennelcove.day.script import Between, Day, Power, Trouble, read
from fennelcove.standins.recorder import Record

replace = msgspec.structs.replace
POWER = Power(boxes_back_s=[0.5, 2.0], fronts_back_s=[0.5, 2.0], lists_back_s=0.5)


def split(day: Day) -> Day:
    """One hall is cut off from the other from before the return until long after it."""
    cut = Between(sender="hall-a", taker="hall-b", how="silent")
    lose = Between(sender="fronts", taker="fronts", how="reorder", share=0.5)
    troubles = [
        Trouble(at_s=5, what="power", power=POWER),
        Trouble(at_s=5.5, what="between", for_s=8, between=cut),
        Trouble(at_s=5.5, what="between", for_s=12, value=300, between=lose),
    ]
    return replace(day, troubles=troubles)


def lists(day: Day) -> Day:
    """The list service is last, and knows only what was before."""
    power = replace(POWER, lists_back_s=6.0, lists_before=True, lists_learn_s=4.0, folders=["kept", "gone"])
    return replace(day, troubles=[Trouble(at_s=5, what="power", power=power)])


def twice(day: Day) -> Day:
    """The power goes again while boxes are cold; then a front stands still."""
    troubles = [
        Trouble(at_s=4, what="power", power=POWER),
        Trouble(at_s=7.5, what="power", power=replace(POWER, folders=["torn", "kept"])),
        Trouble(at_s=11, what="front-stop", for_s=3, fronts=[1]),
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
        found: dict[str, list[Record]] = {}

        def play(name: str) -> None:
            found[name] = DayPlayer(DAYS[name](read("power-short")), 3).play()

        for pair in (("loss", "split"), ("lists", "twice")):
            threads = [threading.Thread(target=play, args=(name,)) for name in pair]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        self.assertEqual(set(found), set(DAYS))
        for name, records in found.items():
            with self.subTest(day=name):
                self.check(judge(records), records)

    def check(self, verdict: Verdict, records: list[Record]) -> None:
        self.assertEqual(verdict.broken, [])
        assert verdict.fleet is not None
        self.assertEqual(verdict.fleet.pushed_over, 0)
        last = verdict.fleet.returns[-1]
        self.assertGreater(last.first_share, 0.1)
        self.assertGreater(sum(second.played for second in verdict.fleet.seconds[-6:]), 0)
        self.assertGreater(verdict.fleet.connections, 0)
        again = judge(msgspec.json.decode(msgspec.json.encode(records)))
        self.assertEqual(again, verdict)


if __name__ == "__main__":
    unittest.main()
