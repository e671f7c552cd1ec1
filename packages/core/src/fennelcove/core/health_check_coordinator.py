"""The core's part that watches boxes with the other fronts. It is handed what it needs, and the lock that is
round it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.fleet import health_checks
from fennelcove.decisions.fleet.health_checks import (
    ProbeResult,
    HealthVerdict,
    HealthCheckAssignment,
    HealthReport,
)
from fennelcove.interface import Outcome, ProbeCompleted

LOOK_US = 100_000  # how often it is looked whether a probe is due
UNANSWERED = (Outcome.NO_ANSWER, Outcome.NO_CONNECTION, Outcome.CONNECTION_LOST)


class HealthCheckCoordinator:
    """One front's watches. Attach `post` and `ask`; call `look` every `LOOK_US`, `probed` once for each probe
    that `ask` has taken."""

    def __init__(
        self,
        index: int,
        fronts: int,
        first: int,
        listed: Callable[[], Iterable[str]],
        living: Callable[[], Iterable[int]],
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
        notice: EventLogger,
    ) -> None:
        self.watchers = HealthCheckAssignment(index, fronts, first)
        self.listed = listed
        self.living = living
        self.clock = clock
        self.rng = rng
        self.lock = lock
        self.notice = notice
        self.servers: dict[int, str] = {}  # on the list, by their marks
        self.shut: set[str] = set()  # what was gone for all at the last look
        self.probes = self.kept_away = 0
        self.post: Callable[[HealthReport], None] = lambda said: None
        self.ask: Callable[[str], bool] = lambda server: False

    def look(self) -> None:
        """Probe what is due. What is asked waits for nobody; a probe for which there is no room is left out:
        the box's other watchers stand in."""
        with self.lock:
            now_us = self.clock.now_us()
            self.servers = {health_checks.mark(server): server for server in self.listed()}
            living = list(self.living())
            due = self.watchers.due(self.servers.values(), living, self.rng.random(), now_us)
            gone = {server for server in self.servers.values() if self.watchers.gone(server, living, now_us)}
            for server in sorted(gone ^ self.shut):
                self.notice("box_gone_for_all" if server in gone else "box_back_for_all", box=server)
            self.shut = gone
        for server in due:
            self.probes += self.ask(server)

    def probed(self, event: ProbeCompleted) -> None:
        """A probe is over."""
        with self.lock:
            now_us = self.clock.now_us()
            seen = ProbeResult.ANSWERED if event.outcome is Outcome.SERVED else ProbeResult.FAILED
            self.watchers.probed(event.server, seen, now_us)
            said = self.watchers.tells(event.server, now_us)
        if said is not None:
            self.post(said)

    def hear(self, sender: int, said: HealthReport) -> None:
        """Another front's word has come."""
        with self.lock:
            server = self.servers.get(said.server)
            if server is None:
                return
            if said.tells is HealthVerdict.FAILED_ME:
                self.watchers.urge(server, self.clock.now_us())
            else:
                self.watchers.hear(
                    sender, server, said.tells is HealthVerdict.ILL, said.number, self.clock.now_us()
                )

    def attempted(self, server: str, outcome: Outcome) -> None:
        """A join of this front has ended there."""
        with self.lock:
            now_us = self.clock.now_us()
            if outcome is Outcome.SERVED:
                self.watchers.served(server, now_us)
            said = self.watchers.failed(server, now_us) if outcome in UNANSWERED else None
        if said is not None:
            self.post(said)

    def free(self, id: str, server: str) -> bool:
        """As `rules.Front.free`: whether a join may go there."""
        with self.lock:
            gone = self.watchers.gone(server, self.living(), self.clock.now_us())
            self.kept_away += gone
            return not gone

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        with self.lock:
            return {"gone": sorted(self.shut), "probes": self.probes, "kept_away": self.kept_away}
