"""Checks the health of servers together with the other fronts; takes the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from random import Random

from fennelcove.clock import Clock
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.fleet import health_checks
from fennelcove.decisions.fleet.health_checks import (
    HealthCheckAssignment,
    HealthReport,
    HealthVerdict,
    ProbeResult,
)
from fennelcove.interface import Outcome, ProbeCompleted

LOOK_US = 100_000  # interval of calls of `look`
UNANSWERED = (Outcome.NO_ANSWER, Outcome.NO_CONNECTION, Outcome.CONNECTION_LOST)


@dataclass(frozen=True, slots=True)
class HealthCheckStatus:
    """The `watchers` section of the status; the field names are keys of the status JSON."""

    gone: list[str]
    probes: int
    kept_away: int


class HealthCheckCoordinator:
    """One front's health checks.

    The owner assigns `post` (sends a report to the other fronts) and `ask` (starts a probe of a server; False
    where it cannot). It calls `look` every `LOOK_US`, and `probed` once for each probe that was started.
    """

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
        self._checks = HealthCheckAssignment(index, fronts, first)
        self._listed_servers = listed
        self._living_fronts = living
        self._clock = clock
        self._rng = rng
        self._lock = lock
        self._log = notice
        self._servers: dict[int, str] = {}  # the listed servers by key
        self._gone: set[str] = set()  # servers that the fronts agreed were gone, at the last look
        self._probe_count = 0
        self._rejection_count = 0
        self.post: Callable[[HealthReport], None] = lambda _report: None
        self.ask: Callable[[str], bool] = lambda _server: False

    def look(self) -> None:
        """Start the probes that are due; returns without waiting for them.

        A probe that cannot be started is left out: the other fronts that check the server make up for it.
        """
        with self._lock:
            now_us = self._clock.now_us()
            self._servers = {health_checks.mark(server): server for server in self._listed_servers()}
            living = list(self._living_fronts())
            due = self._checks.due(self._servers.values(), living, self._rng.random(), now_us)
            self._update_gone(living, now_us)
        for server in due:
            is_started = self.ask(server)
            self._probe_count += is_started

    def _update_gone(self, living: list[int], now_us: int) -> None:
        """Update which servers the fronts agree are gone, and log the changes."""
        gone = {server for server in self._servers.values() if self._checks.gone(server, living, now_us)}
        for server in sorted(gone ^ self._gone):
            event = "server_marked_gone" if server in gone else "server_marked_back"
            self._log(event, box=server)
        self._gone = gone

    def probed(self, event: ProbeCompleted) -> None:
        """Handle the end of a probe."""
        with self._lock:
            now_us = self._clock.now_us()
            result = ProbeResult.ANSWERED if event.outcome is Outcome.SERVED else ProbeResult.FAILED
            self._checks.probed(event.server, result, now_us)
            report = self._checks.tells(event.server, now_us)
        if report is not None:
            self.post(report)

    def hear(self, sender: int, said: HealthReport) -> None:
        """Handle another front's report."""
        with self._lock:
            server = self._servers.get(said.server)
            if server is None:
                return
            now_us = self._clock.now_us()
            if said.tells is HealthVerdict.FAILED_ME:
                self._checks.urge(server, now_us)
            else:
                is_ill = said.tells is HealthVerdict.ILL
                self._checks.hear(sender, server, is_ill, said.number, now_us)

    def attempted(self, server: str, outcome: Outcome) -> None:
        """Count the end of an attempt of this front at a server."""
        with self._lock:
            now_us = self._clock.now_us()
            if outcome is Outcome.SERVED:
                self._checks.served(server, now_us)
            report = self._checks.failed(server, now_us) if outcome in UNANSWERED else None
        if report is not None:
            self.post(report)

    def free(self, id: str, server: str) -> bool:
        """Return whether an attempt may go to a server, as `PlacementPolicy.free` asks."""
        with self._lock:
            is_gone = self._checks.gone(server, self._living_fronts(), self._clock.now_us())
            self._rejection_count += is_gone
            return not is_gone

    def status(self) -> dict[str, object]:
        """Return the figures of the `watchers` section of the status JSON."""
        with self._lock:
            status = HealthCheckStatus(
                gone=sorted(self._gone), probes=self._probe_count, kept_away=self._rejection_count
            )
            return asdict(status)
