"""Settings of one customer serve nobody else: apart, one after the other, and beside each other."""

from __future__ import annotations

import itertools
import signal
import unittest
from collections.abc import Iterator
from random import Random
from typing import Any

from fennelcove import facts
from fennelcove.interface import (
    AttemptCompleted,
    ListEntry,
    ListMode,
    ListUpdate,
    LoadReport,
    Outcome,
    Request,
    ServerState,
    SessionStarted,
)
from fennelcove.placement import PlacementPolicy

from tests.helpers import SECOND, Recorder
from tests.node_harness import SETTINGS, NodeRig, StandInServer, eventually

NORTH: dict[str, Any] = {
    **SETTINGS,
    "Balancers": 3,
    "Index": 1,
    "Zone": "north",
    "Kinds": ["small", "large"],
    "Lanes": [
        {"Name": "lesson", "AimMs": 1500, "HardLimitMs": 3000, "Effect": "free", "Importance": 1},
        {"Name": "exam", "AimMs": 900, "HardLimitMs": 1200, "Effect": "single_shot", "Importance": 9},
    ],
    "FamilyInfo": {
        **SETTINGS["FamilyInfo"],
        "KindStreams": [4, 9],
        "Places": 6,
        "Racks": 2,
        "SwitchCostS": 3,
    },
    "Rules": {"RampTimeMs": 9000, "StartCapacity": 0.3, "FallMultiple": 3, "TipAfterMs": 2000},
    "Tenants": [{"Name": "school", "QuotaPerS": 2}],
    "OverShareWorth": 0.1,
}
SOUTH: dict[str, Any] = {
    **SETTINGS,
    "Balancers": 2,
    "Zone": "south",
    "Kinds": ["large", "small"],
    "Lanes": [{"Name": "exam", "AimMs": 8000, "HardLimitMs": 20_000, "Effect": "guarded", "KeyTtlMs": 700}],
    "FamilyInfo": {
        **SETTINGS["FamilyInfo"],
        "LevelKb": [10, 20, 40, 90, 300],
        "WorthByRung": [0.1, 0.2, 0.5, 0.8, 1.0],
        "KindStreams": [30, 2],
        "Places": 6,
        "Guard": 1,
    },
    "Rules": {
        "RampTimeMs": 700,
        "StartCapacity": 0.9,
        "BudgetFree": 2,
        "ExtraRatio": 0.5,
        "ResendSpanMs": 900,
    },
    "Allowed": {"SendCap": 2, "RetryAfter": True, "MaxRetryAfterMs": 60},
}


class BesideEachOtherTest(unittest.TestCase):
    def play(self, tree: dict[str, Any], seed: int) -> Iterator[list[tuple[Any, ...]]]:
        """One front under some load, a step at a time; at each, all that it has asked for so far."""
        settings = facts.read_settings(tree)[0]
        said, draws, rooms = Recorder(), Random(seed), list(settings.service_classes)
        front = PlacementPolicy(settings, seed, said, 100 * SECOND)
        entries = tuple(
            ListEntry(
                f"s{i}",
                settings.zone,
                tree["Kinds"][i % 2],
                i,
                ServerState.ACTIVE,
                1.0,
                (i % 3) * 45 * SECOND,
            )
            for i in range(6)
        )
        front.handle(ListUpdate(ListMode.FULL, entries), 100 * SECOND)
        for number in range(300):
            now_us = 100 * SECOND + number * 30_000
            request = Request(
                str(number),
                rooms[number % len(rooms)],
                number % 7,
                number % 6,
                3,
                2,
                2 * SECOND,
                tenant="school",
            )
            front.handle(request, now_us)
            if number % 3 and (sub := front.sessions.get(str(number))) is not None and sub.attempts:
                front.handle(SessionStarted(sub.id, 0, 1000), now_us + 1000)
            elif sub := front.sessions.get(str(number)):
                outcome = draws.choice((Outcome.SERVER_ERROR, Outcome.REJECTED, Outcome.CONNECTION_LOST))
                report = LoadReport(draws.random(), None)
                front.handle(AttemptCompleted(sub.id, 0, outcome, False, report), now_us + 1000)
            yield said.calls

    def test_each_does_beside_the_other_what_it_does_alone(self) -> None:
        alone = {}
        for name, tree in (("north", NORTH), ("south", SOUTH), ("north again", NORTH)):
            for calls in self.play(tree, 5):
                alone[name] = calls
        assert alone["north"] == alone["north again"]
        assert alone["north"] != alone["south"]
        assert len(alone["south"]) > 100
        for north, south in zip(self.play(NORTH, 5), self.play(SOUTH, 5), strict=True):
            beside = (list(north), list(south))
        assert beside == (alone["north"], alone["south"])

    def test_what_one_names_and_the_other_does_not_is_as_if_nobody_named_it(self) -> None:
        plain = facts.read_settings(SETTINGS)[0]
        facts.read_settings(NORTH), facts.read_settings(SOUTH)
        after = facts.read_settings(SETTINGS)[0]
        for name in type(plain).__slots__:
            if name != "service_classes":  # whose types are equal to themselves alone
                assert getattr(plain, name) == getattr(after, name), name
        assert list(after.service_classes) == ["recorded"]
        assert facts.connection_settings({**NORTH, "Allowed": {}}).connect_us == 0


SESSION_NUMBERS = itertools.count(1)


class Node(NodeRig):
    """A node under some settings."""

    def __init__(self, settings: dict[str, Any], server: StandInServer) -> None:
        self.settings = settings
        super().__init__(server)

    def write(self) -> None:
        self.config["settings"] = self.settings
        super().write()


class ProcessesTest(unittest.TestCase):
    def node(self, settings: dict[str, Any]) -> Node:
        server = StandInServer("s0", 0)
        self.addCleanup(server.listener.close)
        node = Node(settings, server)
        self.addCleanup(node.close)
        return node

    def answers(self, node: Node, *asks: tuple[str, int]) -> list[int]:
        caller, found = node.caller(), list[int]()
        with caller.sock:
            for room, top in asks:
                routing = f"home:0;copies:4;top:{top}"
                caller.set_up(f"{next(SESSION_NUMBERS):016x}", routing=routing, **{"Call-Kind": room})
                found.append(caller.answer().status)
        return found

    def test_two_processes_and_a_file_that_names_another_customer(self) -> None:
        asks = (("lesson", 2), ("exam", 4), ("exam", 2))
        north, south = self.node(NORTH), self.node(SOUTH)
        assert self.answers(north, *asks) == [200, 451, 200]
        assert self.answers(south, *asks) == [451, 200, 200]
        # Of a file read anew the node takes its board alone: half of another's settings are nobody's.
        north.settings = SOUTH
        north.write()
        polls = north.board.polls
        north.signal(signal.SIGHUP)
        eventually(lambda: north.board.polls > polls + 2, "polls after the signal")
        assert self.answers(north, *asks) == [200, 451, 200]


if __name__ == "__main__":
    unittest.main()
