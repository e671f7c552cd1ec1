"""Health checks of servers, divided among the fronts, and when a server counts as down for all of them.

A server is checked by a few fronts, chosen by a rendezvous hash over the fronts that are considered alive;
the others rely on their reports. The number of probes that a server receives thus depends on its health and
not on the size of the fleet. A server is down for the whole fleet once a quorum of its checkers has recently
reported it as unhealthy, so a single front with a bad network path avoids the server for itself only. While
fronts disagree on which fronts are alive, a server may have more checkers than intended, but never fewer live
ones than each front counts. Times are in microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from hashlib import blake2b
from heapq import nsmallest
from typing import NamedTuple
from zlib import crc32

from fennelcove.state_machine import Transition, TransitionTable

CHECKERS_PER_SERVER = 3
UNHEALTHY_QUORUM = 2  # checkers whose reports take a server out of service for all fronts
HEALTHY_PROBE_INTERVAL_US = 4_000_000  # for each checker
SUSPECT_PROBE_INTERVAL_US = 500_000
MAX_PROBE_INTERVAL_US = 4_000_000
# A checker repeats its report at every probe. A report is valid for longer than two of the longest intervals,
# because one may be lost: with 8 s between probes and a lifetime of 6 s, a server that was down counted as
# healthy between two reports.
REPORT_LIFETIME_US = 2 * MAX_PROBE_INTERVAL_US + 1_000_000
RECENTLY_SERVED_US = 1_000_000  # a server that served this front within this time is not down for it
MAX_SERVERS = 10_000


class ProbeView(Enum):
    """A server's health as one checker sees it."""

    HEALTHY = auto()
    SUSPECT = auto()  # one probe has failed; the next one follows soon
    UNHEALTHY = auto()


class ProbeResult(Enum):
    """How a probe ended."""

    ANSWERED = auto()
    FAILED = auto()


TRANSITIONS: TransitionTable[ProbeView, ProbeResult, None] = TransitionTable(
    {
        **{(view, ProbeResult.ANSWERED): Transition(ProbeView.HEALTHY) for view in ProbeView},
        (ProbeView.HEALTHY, ProbeResult.FAILED): Transition(ProbeView.SUSPECT),
        (ProbeView.SUSPECT, ProbeResult.FAILED): Transition(ProbeView.UNHEALTHY),
        (ProbeView.UNHEALTHY, ProbeResult.FAILED): Transition(ProbeView.UNHEALTHY),
    }
)


def rendezvous_weight(server: str, front: int) -> bytes:
    """The weight that ranks a front as a checker of a server; it is the same in every process."""
    return blake2b(f"{server}\0{front}".encode(), digest_size=8).digest()


def chosen_checkers(
    server: str, live_fronts: Iterable[int], max_checkers: int = CHECKERS_PER_SERVER
) -> tuple[int, ...]:
    """The checkers of a server, chosen from the fronts that are alive."""
    return tuple(
        nsmallest(max_checkers, live_fronts, key=lambda front: (rendezvous_weight(server, front), front))
    )


class HealthVerdict(IntEnum):
    """What a front reports about a server."""

    HEALTHY = 0
    UNHEALTHY = 1
    ATTEMPT_FAILED = 2  # no verdict: an attempt got no response, and the checkers should probe at once


@dataclass(frozen=True, slots=True)
class HealthReport:
    """The message by which one front reports a server's health to the others."""

    server_hash: int  # see `hash_address`
    verdict: HealthVerdict
    sequence: int  # of one checker's reports, only the one with the highest number is used


def hash_address(server: str) -> int:
    """The four-byte hash of a server's address.

    Two servers with the same hash are taken out of service together, and returned to it together.
    """
    return crc32(server.encode())


class CheckerReport(NamedTuple):
    """The newest verdict of one checker."""

    is_unhealthy: bool
    sequence: int
    received_us: int


@dataclass(slots=True)
class WatchedServer:
    """One front's own checks of a server, and the reports of its other checkers."""

    view: ProbeView = ProbeView.HEALTHY
    probe_interval_us: int = HEALTHY_PROBE_INTERVAL_US
    probe_due_us: int = 0  # 0 before the first probe is scheduled
    reports: dict[int, CheckerReport] = field(default_factory=dict)  # by the index of the checker
    unhealthy_report_until_us: int = 0  # when this front's last unhealthy report expires at the others
    served_us: int | None = None  # when it last served an attempt of this front
    check_requested_us: int = -SUSPECT_PROBE_INTERVAL_US  # when this front last requested probes of it
    probed_us: int = -SUSPECT_PROBE_INTERVAL_US  # when this front last probed it

    def on_probe_completed(self, result: ProbeResult, now_us: int) -> None:
        """Apply the result of a probe and schedule the next one."""
        self.view = TRANSITIONS.apply(self.view, result).state
        if self.view is ProbeView.HEALTHY:
            self.probe_interval_us = HEALTHY_PROBE_INTERVAL_US
        elif self.view is ProbeView.SUSPECT:
            self.probe_interval_us = SUSPECT_PROBE_INTERVAL_US
        else:
            self.probe_interval_us = min(2 * self.probe_interval_us, MAX_PROBE_INTERVAL_US)
        if result is ProbeResult.FAILED:
            self.probe_due_us = min(self.probe_due_us, now_us + self.probe_interval_us)


class HealthCheckAssignment:
    """The health checks of one front.

    The caller supplies times, randomness and the fronts that are alive, and transports reports.
    """

    def __init__(self, index: int, front_count: int, first_sequence: int = 0) -> None:
        self.index = index
        self.front_count = front_count
        self.servers: OrderedDict[str, WatchedServer] = OrderedDict()
        # Higher than any number of an earlier incarnation, whose reports other fronts may still store.
        self.sequence = first_sequence

    def _watched(self, server: str) -> WatchedServer:
        watched = self.servers.get(server)
        if watched is None:
            watched = self.servers[server] = WatchedServer()
            if len(self.servers) > MAX_SERVERS:
                self.servers.popitem(last=False)
        self.servers.move_to_end(server)
        return watched

    # Probing.

    def due_probes(
        self, servers: Iterable[str], live_fronts: Iterable[int], draw: float, now_us: int
    ) -> list[str]:
        """The servers that this front should probe now; the next probe of each is scheduled.

        Args:
            servers: the servers of the endpoint list.
            live_fronts: the indices of the fronts that are alive.
            draw: a random number from 0 to 1.
            now_us: the present time.
        """
        candidates = sorted(set(live_fronts) | {self.index})
        due_servers = []
        for server in servers:
            if self.index not in chosen_checkers(server, candidates):
                continue
            watched = self._watched(server)
            if not watched.probe_due_us:
                # First probes are spread over an interval; otherwise all start at once after a partition.
                watched.probe_due_us = now_us + round(draw * SUSPECT_PROBE_INTERVAL_US)
            if now_us >= watched.probe_due_us:
                watched.probe_due_us = now_us + watched.probe_interval_us
                watched.probed_us = now_us
                due_servers.append(server)
        return due_servers

    def on_probe_completed(self, server: str, result: ProbeResult, now_us: int) -> CheckerReport:
        """Handle the result of this front's probe; return the report that it leads to."""
        watched = self._watched(server)
        watched.on_probe_completed(result, now_us)
        self.sequence += 1
        is_unhealthy = watched.view is ProbeView.UNHEALTHY
        report = CheckerReport(is_unhealthy, self.sequence, now_us)
        watched.reports[self.index] = report
        return report

    def report(self, server: str, now_us: int) -> HealthReport | None:
        """The report to send after a probe: that the server is unhealthy, or that it has recovered.

        None where no other front can have an unhealthy report of this one that is still valid, so that
        nothing is sent while all servers are healthy.
        """
        watched = self._watched(server)
        verdict = HealthVerdict.HEALTHY
        if watched.view is ProbeView.UNHEALTHY:
            verdict = HealthVerdict.UNHEALTHY
            watched.unhealthy_report_until_us = now_us + REPORT_LIFETIME_US
        if now_us >= watched.unhealthy_report_until_us:
            return None
        return HealthReport(hash_address(server), verdict, self.sequence)

    # Attempts.

    def on_attempt_failed(self, server: str, now_us: int) -> HealthReport | None:
        """Handle an attempt of this front that got no response; return the request for probes, if one is due.

        The checkers then detect an outage within one probe's time instead of at the next regular probe. Each
        front sends at most one request for a server within `SUSPECT_PROBE_INTERVAL_US`.
        """
        watched = self._watched(server)
        if now_us < watched.check_requested_us + SUSPECT_PROBE_INTERVAL_US:
            return None
        watched.check_requested_us = now_us
        self.on_probe_requested(server, now_us)
        return HealthReport(hash_address(server), HealthVerdict.ATTEMPT_FAILED, self.sequence)

    def on_probe_requested(self, server: str, now_us: int) -> None:
        """Bring the next probe forward, because an attempt of some front failed at the server.

        Regardless of how many fronts ask, a checker probes at most every `SUSPECT_PROBE_INTERVAL_US`; one
        that already sees the server as suspect or unhealthy does not change its interval.
        """
        watched = self._watched(server)
        if watched.view is ProbeView.HEALTHY and watched.probe_due_us:
            earliest_us = watched.probed_us + SUSPECT_PROBE_INTERVAL_US
            watched.probe_due_us = max(now_us, min(watched.probe_due_us, earliest_us))

    def on_attempt_served(self, server: str, now_us: int) -> None:
        """Handle an attempt of this front that was served; for a while this overrides the others' reports."""
        self._watched(server).served_us = now_us

    # Reports of other fronts.

    def on_report(self, sender: int, server: str, is_unhealthy: bool, sequence: int, now_us: int) -> None:
        """Handle another front's report; a duplicate, or one older than the known report, is ignored."""
        if not 0 <= sender < self.front_count or sender == self.index:
            return
        watched = self._watched(server)
        known = watched.reports.get(sender)
        is_newer = (
            known is None or sequence > known.sequence or now_us - known.received_us > REPORT_LIFETIME_US
        )
        if is_newer:
            watched.reports[sender] = CheckerReport(is_unhealthy, sequence, now_us)

    def is_down(self, server: str, live_fronts: Iterable[int], now_us: int) -> bool:
        """Whether a quorum of the server's checkers reports it as unhealthy."""
        watched = self.servers.get(server)
        if watched is None:
            return False
        if watched.served_us is not None and now_us - watched.served_us <= RECENTLY_SERVED_US:
            return False
        checkers = chosen_checkers(server, set(live_fronts) | {self.index})
        unhealthy_count = sum(
            report.is_unhealthy
            for front, report in watched.reports.items()
            if front in checkers and now_us - report.received_us <= REPORT_LIFETIME_US
        )
        # Where fewer fronts than the quorum are alive, all of them have to agree.
        return unhealthy_count >= min(UNHEALTHY_QUORUM, len(checkers))
