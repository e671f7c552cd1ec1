"""A fleet of decision modules before cold servers: all that they send, counted at the moment of the send."""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, sqrt
from random import Random
from typing import Any

from fennelcove import facts
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

from tests.helpers import SECOND, Recorder
from tests.node_harness import SETTINGS

BORN_US = 1_000 * SECOND
ANSWER_US = SECOND // 20
# How joins end where they are to fail, and whether their set-up reached the server at all.
FAILURES = {
    Outcome.REJECTED: True,
    Outcome.SERVER_ERROR: True,
    Outcome.CONNECTION_LOST: True,
    Outcome.NO_ANSWER: True,
    Outcome.NO_CONNECTION: False,
    Outcome.NOT_SENT: False,
}


@dataclass(frozen=True)
class Terms:
    """What the settings say of cold servers."""

    ramp_ms: int = 8000
    start_capacity: float = 0.5
    fall_multiple: float = 2.0
    tip_ms: int = 3000
    places: int = 40

    def tree(self, fronts: int, index: int, cells: int = 1) -> dict[str, Any]:
        rules = {
            "RampTimeMs": self.ramp_ms,
            "StartCapacity": self.start_capacity,
            "FallMultiple": self.fall_multiple,
            "TipAfterMs": self.tip_ms,
        }
        family = {
            **SETTINGS["FamilyInfo"],
            "KindStreams": [self.places],
            "KbPerWeight": 1e9,
            "AllLinksKb": 1e9,
            "Places": cells,
        }
        return {**SETTINGS, "Balancers": fronts, "Index": index, "Rules": rules, "FamilyInfo": family}

    def allowed(self, age_us: int) -> float:
        """N: what may come there in the time that the settings name."""
        warmed = self.start_capacity + (1 - self.start_capacity) * age_us / (1000 * self.ramp_ms)
        return self.fall_multiple * self.places / self.ramp_ms * warmed * self.tip_ms


@dataclass(frozen=True)
class Case:
    """One fleet, and what happens to it."""

    terms: Terms
    fronts: int
    cold: int = 1  # servers that start at the beginning, within `spread_us`
    warm: int = 0  # servers that have long been there
    spread_us: int = 0
    asks: int = 4000  # requests during the warm-up
    quiet_us: int = 0  # nothing is asked for so long; what was held back comes in one moment
    uneven: bool = False
    # "drawn": up to 1 s, of each join; "lumped": all of a second leave in one instant; "held": none comes up
    # for a second from the end of the quiet on, and then all do at once, as those after them.
    dial: str = "none"
    restart_part: float = 0.0  # of the fleet, each `restart_us`
    restart_us: int = 1_600_000
    down_us: int = 0
    late_part: float = 0.0  # of the fleet is told of the start only 1 to 3 s later
    fail_part: float = 0.0
    failures: tuple[Outcome, ...] = tuple(FAILURES)
    seed: int = 1


@dataclass
class Worst:
    """The fullest window of one server."""

    count: int = 0
    told: int = 0
    allowed: float = 0.0
    over: float = -1e9  # past N, in roots of N + 1

    @property
    def text(self) -> str:
        return f"{self.count} ({self.told} of fronts that were told) against N = {self.allowed:.1f}"


@dataclass
class Sent:
    at_us: list[int] = field(default_factory=list)
    told: list[bool] = field(default_factory=list)


class Fleet:
    """Plays one case on a clock of its own."""

    def __init__(self, case: Case) -> None:
        self.case, self.random = case, Random(case.seed)
        self.now_us, self.count = BORN_US, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.cells = case.cold + case.warm
        gap_us = case.spread_us // max(1, case.cold)
        self.born = {f"cold{i}": BORN_US + i * gap_us for i in range(case.cold)}
        self.sent = {name: Sent() for name in self.born}
        self.restarts = 0
        late = set(self.random.sample(range(case.fronts), round(case.late_part * case.fronts)))
        self.lag_us = [
            self.random.randint(SECOND, 3 * SECOND) if i in late else 0 for i in range(case.fronts)
        ]
        self.made = [self.front(i) for i in range(case.fronts)]
        self.up_at_us = [0] * case.fronts

    def front(self, index: int) -> PlacementPolicy:
        """A fresh instance, as one that starts now: it has the whole list as the board tells it by now."""
        tree = self.case.terms.tree(self.case.fronts, index, self.cells)
        made = PlacementPolicy(
            facts.read_settings(tree)[0], self.random.randrange(2**32), Recorder(), self.now_us
        )
        made.handle(ListUpdate(ListMode.FULL, self.listed(index)), self.now_us)
        return made

    def listed(self, index: int) -> tuple[ListEntry, ...]:
        names = [f"warm{i}" for i in range(self.case.warm)] + list(self.born)
        return tuple(
            ListEntry(name, "here", "kind", cell, ServerState.ACTIVE, 1.0, self.start_told(index, name))
            for cell, name in enumerate(names)
        )

    def start_told(self, index: int, name: str) -> int:
        """The start of a server as this front was told by now; it may still take it for its last life."""
        born_us = self.born.get(name, 0)
        return born_us if self.now_us >= born_us + self.lag_us[index] else 0

    def at(self, at_us: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at_us, self.count, call))

    def play(self) -> Fleet:
        case, end_us = self.case, BORN_US + self.case.spread_us + 1000 * self.case.terms.ramp_ms
        for index, lag_us in enumerate(self.lag_us):
            for born_us in self.born.values():
                self.at(born_us + lag_us, lambda i=index: self.tell_list(i))  # type: ignore[misc]
        weights = [1.0] * case.fronts
        if case.uneven:
            weights = [4.0 if i == 0 else float(i % 2 == 0) for i in range(case.fronts)]
        for index in self.random.choices(range(case.fronts), weights, k=case.asks):
            at_us = self.random.randrange(BORN_US, end_us)
            self.at(max(at_us, BORN_US + case.quiet_us), lambda i=index: self.ask(i))  # type: ignore[misc]
        if case.restart_part:
            self.at(BORN_US + case.quiet_us + case.restart_us, self.restart)
        while self.heap and self.heap[0][0] < end_us + 2 * SECOND:
            self.now_us, _, call = heapq.heappop(self.heap)
            call()
        return self

    def tell_list(self, index: int) -> None:
        self.made[index].handle(ListUpdate(ListMode.INCREMENTAL, self.listed(index)), self.now_us)

    def restart(self) -> None:
        fronts = self.case.fronts
        first, self.restarts = self.restarts, self.restarts + max(1, ceil(fronts * self.case.restart_part))
        for number in range(first, min(self.restarts, fronts)):
            self.up_at_us[number] = self.now_us + self.case.down_us
            self.at(self.up_at_us[number], lambda i=number: self.start(i))  # type: ignore[misc]
        if self.restarts < fronts:
            self.at(self.now_us + self.case.restart_us, self.restart)

    def start(self, index: int) -> None:
        self.made[index] = self.front(index)

    def ask(self, index: int) -> None:
        if self.now_us < self.up_at_us[index]:
            return
        self.count += 1
        first = self.random.randrange(self.cells)
        front, id = self.made[index], str(self.count)
        front.handle(Request(id, "recorded", first, first, min(3, self.cells), 0, 3 * SECOND), self.now_us)
        self.join(index, front, id)

    def join(self, index: int, front: PlacementPolicy, id: str) -> None:
        """A join that the module has just asked for, if it has: sent when its dial is through."""
        if (sub := front.sessions.get(id)) is None or not sub.attempts:
            return
        number, server = len(sub.attempts) - 1, sub.server.address
        told = server in self.born and self.start_told(index, server) > 0
        sent_us = {
            "none": self.now_us,
            "drawn": self.now_us + self.random.randint(0, SECOND),
            "lumped": -(-self.now_us // SECOND) * SECOND,
            "held": max(self.now_us, BORN_US + self.case.quiet_us + SECOND),
        }[self.case.dial]
        outcome, arrives = Outcome.CANCELLED, True
        if self.random.random() < (self.case.fail_part if server in self.born else 2 * self.case.fail_part):
            outcome = self.random.choice(self.case.failures)
            arrives = FAILURES[outcome]
        if arrives and server in self.born:
            self.at(sent_us, lambda: self.send(server, told))
        self.at(sent_us + ANSWER_US, lambda: self.over(index, front, id, number, outcome))

    def send(self, server: str, told: bool) -> None:
        if self.now_us >= self.born[server]:  # what came before went to its last life
            self.sent[server].at_us.append(self.now_us)
            self.sent[server].told.append(told)

    def over(self, index: int, front: PlacementPolicy, id: str, number: int, outcome: Outcome) -> None:
        if self.made[index] is not front:
            return  # it has ended since
        front.handle(AttemptCompleted(id, number, outcome, outcome is Outcome.CANCELLED, None), self.now_us)
        self.join(index, front, id)

    def worst(self) -> Worst:
        """The window that comes nearest to N + 2 roots of N + 2, of those of fronts that were told alone."""
        found = Worst()
        for row in self.windows():
            if row.over > found.over:
                found = row
        return found

    def windows(self) -> list[Worst]:
        """Each sliding window that ends at a send to a server that is still cold."""
        rows, terms = list[Worst](), self.case.terms
        for name, sent in self.sent.items():
            for i, at_us in enumerate(sent.at_us):
                age_us = at_us - self.born[name]
                if age_us >= 1000 * terms.ramp_ms:
                    break
                first = bisect_right(sent.at_us, at_us - 1000 * terms.tip_ms)
                told, allowed = sum(sent.told[first : i + 1]), terms.allowed(age_us)
                over = (told - allowed) / (sqrt(allowed) + 1)
                rows.append(Worst(i + 1 - first, told, allowed, over))
        return rows

    def broken(self) -> Worst | None:
        """The first fall of a server, where over two thirds of it came from fronts that had been told."""
        for row in self.windows():
            if row.count > row.allowed + 3 * sqrt(row.allowed) + 3:
                return row if row.told > 2 / 3 * row.count else None
        return None
