"""Health checks of servers, divided among the fronts, and when a server counts as down for all of them.

A server is checked by a few fronts, chosen by a rendezvous hash over the fronts that are taken to be alive;
the others rely on their reports. So the probes that a server receives grow with its trouble, not with the
fleet. A front whose own network path is bad can avoid a server for itself alone: down for all is what a
quorum of its checkers reports, by reports that are recent. Fronts that disagree on which fronts are alive may
have more checkers for a server for a while, never fewer that are alive than each of them counts. Times are in
microseconds.
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
UNHEALTHY_QUORUM = 2  # checkers whose reports take a server out of service for all
HEALTHY_PROBE_INTERVAL_US = 4_000_000  # of one checker
SUSPECT_PROBE_INTERVAL_US = 500_000
MAX_PROBE_INTERVAL_US = 4_000_000
# A checker repeats its report at every probe. Longer than two of the longest intervals, for a report that is
# lost: with 8 s between probes and 6 s for a report, a server that was down became healthy again.
REPORT_LIFETIME_US = 2 * MAX_PROBE_INTERVAL_US + 1_000_000
RECENTLY_SERVED_US = 1_000_000  # a server that served this front so recently is not down for it
MAX_SERVERS = 10_000


class ProbeView(Enum):
    """A server's health as one checker sees it."""

    HEALTHY = auto()
    SUSPECT = auto()  # one probe has failed: the next follows soon
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
    """The weight by which fronts are ranked for a server; the same in every process."""
    return blake2b(f"{server}\0{front}".encode(), digest_size=8).digest()


def chosen_checkers(
    server: str, live_fronts: Iterable[int], max_checkers: int = CHECKERS_PER_SERVER
) -> tuple[int, ...]:
    """The checkers of a server among the fronts that are alive."""
    return tuple(
        nsmallest(max_checkers, live_fronts, key=lambda front: (rendezvous_weight(server, front), front))
    )


class HealthVerdict(IntEnum):
    """What a front reports of a server."""

    HEALTHY = 0
    UNHEALTHY = 1  # unhealthy
    ATTEMPT_FAILED = 2  # no verdict: an attempt was not answered there, and its checkers should probe at once


@dataclass(frozen=True, slots=True)
class HealthReport:
    """The message by which one front reports a server's health to the others."""

    server_hash: int  # its hash, see `mark`
    verdict: HealthVerdict
    sequence: int  # the sequence number: of one checker's reports the highest counts


def hash_address(server: str) -> int:
    """The hash of a server's address, in four bytes.

    Two servers with the same hash are taken out of service together, and back together.
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
    probe_due_us: int = 0  # 0 before the first probe is planned
    reports: dict[int, CheckerReport] = field(default_factory=dict)
    unhealthy_report_until_us: int = 0  # until then others may hold an unhealthy report of this front
    served_us: int | None = None  # when it last served an attempt of this front
    check_requested_us: int = -SUSPECT_PROBE_INTERVAL_US  # when this front last asked for probes of it
    probed_us: int = -SUSPECT_PROBE_INTERVAL_US  # when this front last probed it

    def on_probe_completed(self, result: ProbeResult, now_us: int) -> None:
        """Take in a probe's result and plan the next probe."""
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
        # Above all of an earlier incarnation, whose reports others may still hold.
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
        """The servers that this front should probe now; each is planned again from now.

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
                # First probes are spread over an interval: after a partition all would begin at once.
                watched.probe_due_us = now_us + round(draw * SUSPECT_PROBE_INTERVAL_US)
            if now_us >= watched.probe_due_us:
                watched.probe_due_us = now_us + watched.probe_interval_us
                watched.probed_us = now_us
                due_servers.append(server)
        return due_servers

    def on_probe_completed(self, server: str, result: ProbeResult, now_us: int) -> CheckerReport:
        """Handle the end of a probe of this front; its own report from now on."""
        watched = self._watched(server)
        watched.on_probe_completed(result, now_us)
        self.sequence += 1
        is_unhealthy = watched.view is ProbeView.UNHEALTHY
        report = CheckerReport(is_unhealthy, self.sequence, now_us)
        watched.reports[self.index] = report
        return report

    def report(self, server: str, now_us: int) -> HealthReport | None:
        """The report to send after a probe: that a server is unhealthy, or is so no more.

        None where no other front can hold an unhealthy report of this one: a calm fleet sends nothing.
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
        """Handle an attempt of this front that was not answered; the message that asks for probes, if due.

        So an outage is found within the time of a probe and not at the next regular one. One message from one
        front in a while is enough.
        """
        watched = self._watched(server)
        if now_us < watched.check_requested_us + SUSPECT_PROBE_INTERVAL_US:
            return None
        watched.check_requested_us = now_us
        self.on_probe_requested(server, now_us)
        return HealthReport(hash_address(server), HealthVerdict.ATTEMPT_FAILED, self.sequence)

    def on_probe_requested(self, server: str, now_us: int) -> None:
        """Bring the next probe forward, as some front's attempt failed there.

        However many fronts ask, a checker probes at most every `SUSPECT_PROBE_INTERVAL_US`, and one to which
        the server is unhealthy already keeps its own interval.
        """
        watched = self._watched(server)
        if watched.view is ProbeView.HEALTHY and watched.probe_due_us:
            earliest_us = watched.probed_us + SUSPECT_PROBE_INTERVAL_US
            watched.probe_due_us = max(now_us, min(watched.probe_due_us, earliest_us))

    def on_attempt_served(self, server: str, now_us: int) -> None:
        """Handle an attempt of this front that was served: that outweighs the reports of others."""
        self._watched(server).served_us = now_us

    # Reports of others.

    def on_report(self, sender: int, server: str, is_unhealthy: bool, sequence: int, now_us: int) -> None:
        """Handle another front's report; one that is duplicated or overtaken is ignored."""
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
        # With fewer fronts alive than the quorum, all of them have to agree.
        return unhealthy_count >= min(UNHEALTHY_QUORUM, len(checkers))
