"""A simulation of a fleet of placement policies and of servers that warm up; counts attempts when sent."""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, sqrt
from random import Random
from typing import Any

from fennelcove import platform_settings as settings_reader
from fennelcove.interface import (
    AttemptCompleted,
    ListEntry,
    ListMode,
    ListUpdate,
    Outcome,
    Request,
    ServerState,
)
from fennelcove.placement import PlacementPolicy

from tests.helpers import SECOND_US, Recorder
from tests.node_harness import SETTINGS

START_US = 1_000 * SECOND_US
ATTEMPT_DURATION_US = SECOND_US // 20
# Outcomes of attempts that fail, and whether the set-up reached the server.
REACHES_SERVER = {
    Outcome.REJECTED: True,
    Outcome.SERVER_ERROR: True,
    Outcome.CONNECTION_LOST: True,
    Outcome.NO_ANSWER: True,
    Outcome.NO_CONNECTION: False,
    Outcome.NOT_SENT: False,
}


@dataclass(frozen=True)
class WarmUpSettings:
    """The settings on servers that warm up after their start."""

    warm_up_ms: int = 8000
    start_capacity: float = 0.5
    overload_factor: float = 2.0
    window_ms: int = 3000
    capacity: int = 40

    def platform_settings(self, fronts: int, index: int, servers: int = 1) -> dict[str, Any]:
        """The settings of the front with this index."""
        rules = {
            "RampTimeMs": self.warm_up_ms,
            "StartCapacity": self.start_capacity,
            "FallMultiple": self.overload_factor,
            "TipAfterMs": self.window_ms,
        }
        family = {
            **SETTINGS["FamilyInfo"],
            "KindStreams": [self.capacity],
            "KbPerWeight": 1e9,
            "AllLinksKb": 1e9,
            "Places": servers,
        }
        return {**SETTINGS, "Balancers": fronts, "Index": index, "Rules": rules, "FamilyInfo": family}

    def allowed_attempts(self, age_us: int) -> float:
        """The number N of attempts that a server of this age withstands in one window."""
        capacity_share = self.start_capacity + (1 - self.start_capacity) * age_us / (1000 * self.warm_up_ms)
        return self.overload_factor * self.capacity / self.warm_up_ms * capacity_share * self.window_ms


@dataclass(frozen=True)
class Scenario:
    """The size of a fleet, its load and its faults."""

    settings: WarmUpSettings
    fronts: int
    cold: int = 1  # servers that start within `spread_us` from the beginning
    warm: int = 0  # servers that have already warmed up
    spread_us: int = 0
    request_count: int = 4000  # during the warm-up
    quiet_us: int = 0  # no requests arrive for so long; those that were due arrive together at its end
    uneven: bool = False  # some fronts receive more requests than others
    # How long attempts wait for a connection. "random": up to 1 s each; "batched": until the next full
    # second; "delayed": until 1 s after the quiet time, so that the first ones are sent together.
    dial_delay: str = "none"
    restart_fraction: float = 0.0  # of the fleet, every `restart_us`
    restart_us: int = 1_600_000
    down_us: int = 0
    late_fraction: float = 0.0  # of the fleet, which learns of the start of servers 1 to 3 s late
    failure_fraction: float = 0.0  # of attempts at cold servers; at warm ones twice as many fail
    failures: tuple[Outcome, ...] = tuple(REACHES_SERVER)
    seed: int = 1


@dataclass
class Window:
    """The attempts at one server in one window."""

    count: int = 0
    informed: int = 0  # of those, sent by fronts that knew of the server's start
    allowed: float = 0.0
    excess: float = -1e9  # over N, in units of sqrt(N) + 1

    @property
    def text(self) -> str:
        """The counts for a failure message."""
        return f"{self.count} attempts ({self.informed} from informed fronts) against N = {self.allowed:.1f}"


@dataclass
class SentAttempts:
    """The attempts that reached one server: when, and whether their front knew of its start."""

    at_us: list[int] = field(default_factory=list)
    informed: list[bool] = field(default_factory=list)


class FleetSimulation:
    """Simulates one scenario in virtual time."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.random = scenario, Random(scenario.seed)
        self.now_us, self.count = START_US, 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.server_count = scenario.cold + scenario.warm
        gap_us = scenario.spread_us // max(1, scenario.cold)
        self.started_us = {f"cold{i}": START_US + i * gap_us for i in range(scenario.cold)}
        self.sent = {name: SentAttempts() for name in self.started_us}
        self.restarted_count = 0
        late = set(
            self.random.sample(range(scenario.fronts), round(scenario.late_fraction * scenario.fronts))
        )
        self.lag_us = [
            self.random.randint(SECOND_US, 3 * SECOND_US) if i in late else 0 for i in range(scenario.fronts)
        ]
        self.policies = [self.create_policy(i) for i in range(scenario.fronts)]
        self.available_at_us = [0] * scenario.fronts

    def create_policy(self, index: int) -> PlacementPolicy:
        """The policy of a front that starts now, with the complete list as discovery publishes it by now."""
        platform_settings = self.scenario.settings.platform_settings(
            self.scenario.fronts, index, self.server_count
        )
        policy = PlacementPolicy(
            settings_reader.read_settings(platform_settings)[0],
            self.random.randrange(2**32),
            Recorder(),
            self.now_us,
        )
        policy.handle(ListUpdate(ListMode.FULL, self.server_list(index)), self.now_us)
        return policy

    def server_list(self, index: int) -> tuple[ListEntry, ...]:
        """The list of servers as this front knows it by now."""
        names = [f"warm{i}" for i in range(self.scenario.warm)] + list(self.started_us)
        return tuple(
            ListEntry(name, "here", "kind", cell, ServerState.ACTIVE, 1.0, self.known_start_us(index, name))
            for cell, name in enumerate(names)
        )

    def known_start_us(self, index: int, name: str) -> int:
        """When a server started, as far as this front knows; 0 if it only knows the previous incarnation."""
        started_us = self.started_us.get(name, 0)
        return started_us if self.now_us >= started_us + self.lag_us[index] else 0

    def schedule(self, at_us: int, call: Callable[[], None]) -> None:
        """Call a function at this time."""
        self.count += 1
        heapq.heappush(self.events, (at_us, self.count, call))

    def run(self) -> FleetSimulation:
        """Run the scenario to its end."""
        scenario, end_us = (
            self.scenario,
            START_US + self.scenario.spread_us + 1000 * self.scenario.settings.warm_up_ms,
        )
        for index, lag_us in enumerate(self.lag_us):
            for started_us in self.started_us.values():
                self.schedule(started_us + lag_us, lambda i=index: self.update_list(i))  # type: ignore[misc]
        weights = [1.0] * scenario.fronts
        if scenario.uneven:
            weights = [4.0 if i == 0 else float(i % 2 == 0) for i in range(scenario.fronts)]
        for index in self.random.choices(range(scenario.fronts), weights, k=scenario.request_count):
            at_us = self.random.randrange(START_US, end_us)
            self.schedule(max(at_us, START_US + scenario.quiet_us), lambda i=index: self.request_session(i))  # type: ignore[misc]
        if scenario.restart_fraction:
            self.schedule(START_US + scenario.quiet_us + scenario.restart_us, self.restart)
        while self.events and self.events[0][0] < end_us + 2 * SECOND_US:
            self.now_us, _, call = heapq.heappop(self.events)
            call()
        return self

    def update_list(self, index: int) -> None:
        """Send the current list to a front."""
        self.policies[index].handle(ListUpdate(ListMode.INCREMENTAL, self.server_list(index)), self.now_us)

    def restart(self) -> None:
        """Restart the next part of the fleet."""
        fronts = self.scenario.fronts
        first, self.restarted_count = (
            self.restarted_count,
            self.restarted_count + max(1, ceil(fronts * self.scenario.restart_fraction)),
        )
        for number in range(first, min(self.restarted_count, fronts)):
            self.available_at_us[number] = self.now_us + self.scenario.down_us
            self.schedule(self.available_at_us[number], lambda i=number: self.start(i))  # type: ignore[misc]
        if self.restarted_count < fronts:
            self.schedule(self.now_us + self.scenario.restart_us, self.restart)

    def start(self, index: int) -> None:
        """Replace a front's policy by a new one."""
        self.policies[index] = self.create_policy(index)

    def request_session(self, index: int) -> None:
        """Request a session from a front, unless it is restarting."""
        if self.now_us < self.available_at_us[index]:
            return
        self.count += 1
        first = self.random.randrange(self.server_count)
        front, id = self.policies[index], str(self.count)
        front.handle(
            Request(id, "recorded", first, first, min(3, self.server_count), 0, 3 * SECOND_US), self.now_us
        )
        self.follow_attempt(index, front, id)

    def follow_attempt(self, index: int, front: PlacementPolicy, id: str) -> None:
        """Simulate the attempt that the policy has just started, if any: sent once its dial has finished."""
        if (session := front.sessions.get(id)) is None or not session.attempts:
            return
        number, server = len(session.attempts) - 1, session.server.address
        informed = server in self.started_us and self.known_start_us(index, server) > 0
        sent_us = {
            "none": self.now_us,
            "random": self.now_us + self.random.randint(0, SECOND_US),
            "batched": -(-self.now_us // SECOND_US) * SECOND_US,
            "delayed": max(self.now_us, START_US + self.scenario.quiet_us + SECOND_US),
        }[self.scenario.dial_delay]
        outcome, reaches_server = Outcome.CANCELLED, True
        if self.random.random() < (
            self.scenario.failure_fraction
            if server in self.started_us
            else 2 * self.scenario.failure_fraction
        ):
            outcome = self.random.choice(self.scenario.failures)
            reaches_server = REACHES_SERVER[outcome]
        if reaches_server and server in self.started_us:
            self.schedule(sent_us, lambda: self.record_arrival(server, informed))
        self.schedule(
            sent_us + ATTEMPT_DURATION_US, lambda: self.complete_attempt(index, front, id, number, outcome)
        )

    def record_arrival(self, server: str, informed: bool) -> None:
        """Count an attempt that arrives at a server which warms up."""
        if self.now_us >= self.started_us[server]:  # earlier ones reached the previous incarnation
            self.sent[server].at_us.append(self.now_us)
            self.sent[server].informed.append(informed)

    def complete_attempt(
        self, index: int, front: PlacementPolicy, id: str, number: int, outcome: Outcome
    ) -> None:
        """Report an attempt's outcome to the policy, and simulate the next attempt if it starts one."""
        if self.policies[index] is not front:
            return  # the front has restarted meanwhile
        front.handle(AttemptCompleted(id, number, outcome, outcome is Outcome.CANCELLED, None), self.now_us)
        self.follow_attempt(index, front, id)

    def fullest_window(self) -> Window:
        """The window whose count of attempts from informed fronts comes nearest to N + 2 sqrt(N) + 2."""
        fullest = Window()
        for window in self.windows():
            if window.excess > fullest.excess:
                fullest = window
        return fullest

    def windows(self) -> list[Window]:
        """Each sliding window that ends when an attempt reaches a server which still warms up."""
        windows, settings = list[Window](), self.scenario.settings
        for name, sent in self.sent.items():
            for i, at_us in enumerate(sent.at_us):
                age_us = at_us - self.started_us[name]
                if age_us >= 1000 * settings.warm_up_ms:
                    break
                first = bisect_right(sent.at_us, at_us - 1000 * settings.window_ms)
                informed, allowed = sum(sent.informed[first : i + 1]), settings.allowed_attempts(age_us)
                excess = (informed - allowed) / (sqrt(allowed) + 1)
                windows.append(Window(i + 1 - first, informed, allowed, excess))
        return windows

    def first_overload(self) -> Window | None:
        """The first overload of a server, if informed fronts sent over two thirds of the attempts."""
        for window in self.windows():
            if window.count > window.allowed + 3 * sqrt(window.allowed) + 3:
                return window if window.informed > 2 / 3 * window.count else None
        return None
