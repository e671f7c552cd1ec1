"""Settings of one customer do not affect another: separately, in sequence, and interleaved."""

from __future__ import annotations

import itertools
import signal
import unittest
from collections.abc import Iterator
from random import Random
from typing import Any

from fennelcove import platform_settings as settings_reader
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

from tests.helpers import SECOND_US, Recorder
from tests.node_harness import SETTINGS, FakeServer, NodeProcess, wait_until

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


class IndependentPoliciesTest(unittest.TestCase):
    def run_front(self, platform_settings: dict[str, Any], seed: int) -> Iterator[list[tuple[Any, ...]]]:
        """Run a front under some load, and yield all its effects so far after each step."""
        settings = settings_reader.read_settings(platform_settings)[0]
        effects, rng, service_classes = Recorder(), Random(seed), list(settings.service_classes)
        front = PlacementPolicy(settings, seed, effects, 100 * SECOND_US)
        entries = tuple(
            ListEntry(
                f"s{i}",
                settings.zone,
                platform_settings["Kinds"][i % 2],
                i,
                ServerState.ACTIVE,
                1.0,
                (i % 3) * 45 * SECOND_US,
            )
            for i in range(6)
        )
        front.handle(ListUpdate(ListMode.FULL, entries), 100 * SECOND_US)
        for number in range(300):
            now_us = 100 * SECOND_US + number * 30_000
            request = Request(
                str(number),
                service_classes[number % len(service_classes)],
                number % 7,
                number % 6,
                3,
                2,
                2 * SECOND_US,
                tenant="school",
            )
            front.handle(request, now_us)
            if number % 3 and (session := front.sessions.get(str(number))) is not None and session.attempts:
                front.handle(SessionStarted(session.id, 0, 1000), now_us + 1000)
            elif session := front.sessions.get(str(number)):
                outcome = rng.choice((Outcome.SERVER_ERROR, Outcome.REJECTED, Outcome.CONNECTION_LOST))
                report = LoadReport(rng.random(), None)
                front.handle(AttemptCompleted(session.id, 0, outcome, False, report), now_us + 1000)
            yield effects.calls

    def test_interleaved_policies_do_the_same_as_separate_ones(self) -> None:
        alone = {}
        for name, platform_settings in (("north", NORTH), ("south", SOUTH), ("north again", NORTH)):
            for calls in self.run_front(platform_settings, 5):
                alone[name] = calls
        assert alone["north"] == alone["north again"]
        assert alone["north"] != alone["south"]
        assert len(alone["south"]) > 100
        for north, south in zip(self.run_front(NORTH, 5), self.run_front(SOUTH, 5), strict=True):
            interleaved = (list(north), list(south))
        assert interleaved == (alone["north"], alone["south"])

    def test_settings_that_only_another_customer_names_keep_their_defaults(self) -> None:
        plain = settings_reader.read_settings(SETTINGS)[0]
        settings_reader.read_settings(NORTH), settings_reader.read_settings(SOUTH)
        after = settings_reader.read_settings(SETTINGS)[0]
        for name in type(plain).__slots__:
            if name != "service_classes":  # its values are compared by identity
                assert getattr(plain, name) == getattr(after, name), name
        assert list(after.service_classes) == ["recorded"]
        assert settings_reader.connection_settings({**NORTH, "Allowed": {}}).connect_us == 0


SESSION_NUMBERS = itertools.count(1)


class CustomSettingsNode(NodeProcess):
    """A node with the given settings."""

    def __init__(self, settings: dict[str, Any], server: FakeServer) -> None:
        self.settings = settings
        super().__init__(server)

    def write_config(self) -> None:
        self.config["settings"] = self.settings
        super().write_config()


class IndependentProcessesTest(unittest.TestCase):
    def start_node(self, settings: dict[str, Any]) -> CustomSettingsNode:
        """Start a node that ends with the test."""
        server = FakeServer("s0", 0)
        self.addCleanup(server.listener.close)
        node = CustomSettingsNode(settings, server)
        self.addCleanup(node.close)
        return node

    def answer_statuses(self, node: CustomSettingsNode, *requests: tuple[str, int]) -> list[int]:
        """The statuses of set-ups, each with a service class and a highest rung."""
        client, statuses = node.connect_client(), list[int]()
        with client.sock:
            for service_class, top in requests:
                routing = f"home:0;copies:4;top:{top}"
                client.set_up(
                    f"{next(SESSION_NUMBERS):016x}", routing=routing, **{"Call-Kind": service_class}
                )
                statuses.append(client.receive_response().status)
        return statuses

    def test_two_processes_and_a_reloaded_file_of_another_customer(self) -> None:
        requests = (("lesson", 2), ("exam", 4), ("exam", 2))
        north, south = self.start_node(NORTH), self.start_node(SOUTH)
        assert self.answer_statuses(north, *requests) == [200, 451, 200]
        assert self.answer_statuses(south, *requests) == [451, 200, 200]
        # From a reloaded file the node applies only the discovery address, so that settings are never mixed.
        north.settings = SOUTH
        north.write_config()
        poll_count = north.discovery.poll_count
        north.send_signal(signal.SIGHUP)
        wait_until(lambda: north.discovery.poll_count > poll_count + 2, "polls after the signal")
        assert self.answer_statuses(north, *requests) == [200, 451, 200]


if __name__ == "__main__":
    unittest.main()
