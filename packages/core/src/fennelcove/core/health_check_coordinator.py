"""Health checks of servers, shared with the other fronts; acquires the core's lock."""

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

CHECK_INTERVAL_US = 100_000  # interval at which `run_checks` is called
UNANSWERED = (Outcome.NO_ANSWER, Outcome.NO_CONNECTION, Outcome.CONNECTION_LOST)


@dataclass(frozen=True, slots=True)
class HealthCheckStatus:
    """The `watchers` section of the status; the field names are keys of the status JSON.

    Attributes:
        gone: The servers that the fronts agree are down.
        probes: The number of probes started.
        kept_away: How often a server was rejected for an attempt because it is down.
    """

    gone: list[str]
    probes: int
    kept_away: int


class HealthCheckCoordinator:
    """One front's health checks.

    The owner assigns `broadcast` (sends a report to the other fronts) and `start_probe` (starts a probe of a
    server; returns False if it cannot). It calls `run_checks` every `CHECK_INTERVAL_US`, and
    `on_probe_completed` once for each probe that was started.
    """

    def __init__(
        self,
        index: int,
        front_count: int,
        first_report_number: int,
        listed_servers: Callable[[], Iterable[str]],
        live_fronts: Callable[[], Iterable[int]],
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
        log: EventLogger,
    ) -> None:
        self._checks = HealthCheckAssignment(index, front_count, first_report_number)
        self._listed_servers = listed_servers
        self._live_fronts = live_fronts
        self._clock = clock
        self._rng = rng
        self._lock = lock
        self._log = log
        self._servers: dict[int, str] = {}  # the listed servers by key
        self._down: set[str] = set()  # servers that the fronts agreed were down, at the last check
        self._probe_count = 0
        self._rejection_count = 0
        self.broadcast: Callable[[HealthReport], None] = lambda _report: None
        self.start_probe: Callable[[str], bool] = lambda _server: False

    def run_checks(self) -> None:
        """Start the probes that are due and return without waiting for them.

        A probe that cannot be started is skipped, as other fronts check the same server.
        """
        with self._lock:
            now_us = self._clock.now_us()
            self._servers = {health_checks.hash_address(server): server for server in self._listed_servers()}
            live_fronts = list(self._live_fronts())
            due = self._checks.due_probes(self._servers.values(), live_fronts, self._rng.random(), now_us)
            self._update_down(live_fronts, now_us)
        for server in due:
            is_started = self.start_probe(server)
            self._probe_count += is_started

    def _update_down(self, live_fronts: list[int], now_us: int) -> None:
        """Update the servers that the fronts agree are down, and log the changes."""
        down = {
            server for server in self._servers.values() if self._checks.is_down(server, live_fronts, now_us)
        }
        for server in sorted(down ^ self._down):
            event = "server_marked_gone" if server in down else "server_marked_back"
            self._log(event, box=server)
        self._down = down

    def on_probe_completed(self, event: ProbeCompleted) -> None:
        """Handle the end of a probe."""
        with self._lock:
            now_us = self._clock.now_us()
            result = ProbeResult.ANSWERED if event.outcome is Outcome.SERVED else ProbeResult.FAILED
            self._checks.on_probe_completed(event.server, result, now_us)
            report = self._checks.report(event.server, now_us)
        if report is not None:
            self.broadcast(report)

    def on_report(self, sender: int, report: HealthReport) -> None:
        """Handle another front's report."""
        with self._lock:
            server = self._servers.get(report.server_hash)
            if server is None:
                return
            now_us = self._clock.now_us()
            if report.verdict is HealthVerdict.ATTEMPT_FAILED:
                self._checks.on_probe_requested(server, now_us)
            else:
                is_unhealthy = report.verdict is HealthVerdict.UNHEALTHY
                self._checks.on_report(sender, server, is_unhealthy, report.sequence, now_us)

    def on_attempt_ended(self, server: str, outcome: Outcome) -> None:
        """Handle the end of an attempt of this front at a server."""
        with self._lock:
            now_us = self._clock.now_us()
            if outcome is Outcome.SERVED:
                self._checks.on_attempt_served(server, now_us)
            report = self._checks.on_attempt_failed(server, now_us) if outcome in UNANSWERED else None
        if report is not None:
            self.broadcast(report)

    def may_use_server(self, id: str, server: str) -> bool:
        """Return whether the policy may send an attempt to a server."""
        with self._lock:
            is_down = self._checks.is_down(server, self._live_fronts(), self._clock.now_us())
            self._rejection_count += is_down
            return not is_down

    def status(self) -> dict[str, object]:
        """Return the figures of the `watchers` section of the status JSON."""
        with self._lock:
            status = HealthCheckStatus(
                gone=sorted(self._down), probes=self._probe_count, kept_away=self._rejection_count
            )
            return asdict(status)
