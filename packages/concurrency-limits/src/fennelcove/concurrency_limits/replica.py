"""One front's copy of the fleet's concurrency limits for all servers; the entry point of this package.

The caller passes in times and random numbers, sends the messages and holds the lock. Servers are identified
by keys that are the same at every front. A server at the same address with another start time is another
server, and reports about it are ignored until it is in this front's list of servers as well.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median_low

from fennelcove.concurrency_limits.adaptive_limit import AdaptiveLimit, LimitSettings
from fennelcove.concurrency_limits.latency_histogram import WINDOW_US, HistogramRow
from fennelcove.concurrency_limits.persisted import is_same_start
from fennelcove.concurrency_limits.quorum import QuorumAgreement, QuorumVote, voters_of
from fennelcove.concurrency_limits.quota_loans import LOAN_US, QuotaLoans
from fennelcove.concurrency_limits.server_limits import ReportOrigin, ServerLimits, initial_limit_of_kind
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer

MAX_SERVERS = 10_000
MAX_INCARNATION_RECIPIENTS = 64  # fronts notified of this incarnation at a time


@dataclass(frozen=True, slots=True)
class LimitReport:
    """A report about one server, and the fronts to send it to."""

    recipients: tuple[int, ...]
    server: int
    started_us: int  # start time of the server by the sender's clock, 0 if it started long ago
    rows: tuple[HistogramRow, ...] = ()
    vote: QuorumVote | None = None


@dataclass(slots=True)
class Replica:
    """One front's concurrency limits. Call `close_windows` every `WINDOW_US`."""

    settings: LimitSettings
    fronts: int
    index: int
    incarnation: int  # of this front
    now_us: int
    loan_us: int = LOAN_US
    sequence: int = 0  # sequence number of the last reports
    servers: dict[int, ServerLimits] = field(default_factory=dict)
    # Fronts that may still use slots that an earlier incarnation of this front lent to them.
    unacknowledged: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Assume that all other fronts still use loans of an earlier incarnation."""
        self.unacknowledged = set(range(self.fronts)) - {self.index}

    # Incarnations.

    def incarnation_recipients(self) -> tuple[int, ...]:
        """The fronts to notify that this incarnation has started, until they acknowledge it."""
        return tuple(sorted(self.unacknowledged)[:MAX_INCARNATION_RECIPIENTS])

    def on_incarnation_started(self, sender: int, now_us: int) -> bool:
        """Handle the restart of another front.

        Returns:
            Whether to acknowledge it: this front no longer uses any slots that it lent before.
        """
        if not _is_other_front(sender, self.fronts, self.index):
            return False
        # A list, so that all() does not stop early: the loans of every server must be updated.
        return all([server.loans.on_incarnation_started(sender, now_us) for server in self.servers.values()])

    def on_incarnation_acknowledged(self, sender: int, incarnation: int) -> bool:
        """Handle an acknowledgement of this incarnation.

        Returns:
            Whether all fronts have acknowledged it, so that the home slots may be used and lent from now on.
        """
        if incarnation != self.incarnation or sender not in self.unacknowledged:
            return False
        self.unacknowledged.discard(sender)
        for server in self.servers.values():
            server.loans.quota.is_cleared = not self.unacknowledged
        return not self.unacknowledged

    # The list of servers.

    def on_server_listed(
        self,
        key: int,
        kind: str,
        started_us: int,
        now_us: int,
        stored_limit: int | None = None,
        is_warming_up: bool = False,
    ) -> bool:
        """Handle a server in the list of servers.

        Args:
            key: key of the server's address and kind.
            kind: kind of the server's hardware.
            started_us: its start time, 0 if it started long ago or the time is unknown.
            now_us: current time.
            stored_limit: initial limit from the store, if there is one.
            is_warming_up: whether to use the initial limit of the settings instead of its kind's.

        Returns:
            Whether it is a new server.
        """
        known = self.servers.get(key)
        if known is None:
            if len(self.servers) >= MAX_SERVERS:
                return False
        elif known.kind == kind and (not started_us or is_same_start(known.started_us, started_us)):
            return False  # the same server; the list may no longer include its start time
        limit = stored_limit
        if limit is None:
            limit = self.settings.start
            if not is_warming_up:
                limit = initial_limit_of_kind(self.servers.values(), kind, self.settings.start)
        # Loans and attempts in flight belong to the address, so a replacement server inherits them.
        loans = None if known is None else known.loans
        self.servers[key] = self._new_server(key, kind, started_us, limit, loans, now_us)
        return True

    def _new_server(
        self, key: int, kind: str, started_us: int, limit: int, loans: QuotaLoans | None, now_us: int
    ) -> ServerLimits:
        voters = voters_of(key, self.fronts)
        agreement = QuorumAgreement(voters, limit, self.settings.start, now_us)
        if loans is None:
            loans = QuotaLoans(key, self.fronts, self.index, self.incarnation, now_us, self.loan_us)
        loans.quota.is_cleared = not self.unacknowledged
        loans.set_limit(limit, now_us)
        server = ServerLimits(key, kind, started_us, agreement, loans)
        if self.index in voters:
            server.adaptive_limit = AdaptiveLimit(self.settings, limit, now_us)
        return server

    def remove_servers(self, keys: Iterable[int]) -> None:
        """Remove servers that are no longer listed."""
        for key in keys:
            self.servers.pop(key, None)

    # Queries.

    def max_in_flight(self, key: int, now_us: int, max_duration_us: int = 0, shape: int | None = None) -> int:
        """How many attempts this front may have in flight at a server, in total or of one shape.

        The next attempt lasts at most `max_duration_us`. An unknown server has no slots.
        """
        server = self.servers.get(key)
        return 0 if server is None else server.max_in_flight(now_us, max_duration_us, shape)

    def connection_target(self, key: int, now_us: int) -> int:
        """How many connections to keep open to a server, including idle ones."""
        server = self.servers.get(key)
        return 0 if server is None else server.connection_target(now_us)

    def median_service_us(self, key: int, shape: int) -> float | None:
        """The median service time of a shape at a server.

        If it was not measured there, the median of the servers of its kind, or else of all servers, is used.
        """
        server = self.servers.get(key)
        if server is not None and shape in server.median_service_us:
            return server.median_service_us[shape]
        kind = server.kind if server is not None else ""
        measured = [other for other in self.servers.values() if shape in other.median_service_us]
        of_kind = [other for other in measured if other.kind == kind]
        medians_us = [other.median_service_us[shape] for other in of_kind or measured]
        return median_low(medians_us) if medians_us else None

    # Attempts of this front. Attempts at an unknown server are ignored.

    def set_waiting(self, key: int, waiting: int) -> None:
        """Set how many attempts wait for a slot at a server."""
        server = self.servers.get(key)
        if server is not None:
            server.loans.waiting = waiting

    def on_attempt_started(
        self, key: int, shape: int, now_us: int, max_duration_us: int, waited_us: int = 0
    ) -> None:
        """Count an attempt in flight that waited for its slot and lasts at most `max_duration_us`."""
        server = self.servers.get(key)
        if server is not None:
            server.on_attempt_started(shape, now_us, max_duration_us, waited_us)

    def on_attempt_ended(self, key: int, shape: int, held_us: int, answered: bool | None) -> None:
        """Count the end of an attempt; `answered` is None if its duration says nothing about the server."""
        server = self.servers.get(key)
        if server is not None:
            server.on_attempt_ended(shape, held_us, answered)

    def on_attempt_denied(self, key: int, shape: int) -> None:
        """Count an attempt that got no slot in time."""
        server = self.servers.get(key)
        if server is not None:
            server.on_attempt_denied(shape)

    # Reports.

    def close_windows(self, now_us: int) -> list[LimitReport]:
        """Close the windows that have passed, update all limits, and return the reports to send."""
        windows = (now_us - self.now_us) // WINDOW_US
        if windows <= 0:
            return []
        self.now_us += windows * WINDOW_US
        self.sequence += 1
        origin = ReportOrigin(self.index, self.incarnation, self.sequence)
        reports: list[LimitReport] = []
        for server in self.servers.values():
            reports += _close_windows(server, windows, origin, self.fronts, now_us)
        return reports

    def on_report(
        self, sender: int, incarnation: int, sequence: int, report: LimitReport, now_us: int
    ) -> bool:
        """Handle another front's report; returns whether more attempts may be in flight now."""
        server = self.servers.get(report.server)
        if server is None or not _is_other_front(sender, self.fronts, self.index):
            return False
        if not server.is_same_server(report.started_us, now_us):
            return False
        origin = ReportOrigin(sender, incarnation, sequence)
        if report.rows:
            server.on_rows(report.rows, origin, now_us)
        return report.vote is not None and server.on_vote(report.vote, origin, now_us)

    # Loans.

    def exchange_slots(
        self, draw: float, now_us: int, keys: Iterable[int] | None = None
    ) -> list[tuple[int, int, QuotaRequest | QuotaTransfer]]:
        """The requests for slots and the returns to send now.

        Args:
            draw: random number from 0 to 1.
            now_us: current time.
            keys: keys of the servers, None for all.

        Returns:
            For each message its recipient, the server's key, and the message.
        """
        messages: list[tuple[int, int, QuotaRequest | QuotaTransfer]] = []
        for key in self.servers if keys is None else keys:
            loans = self.servers[key].loans
            if loans.waiting:
                messages += [(to, key, request) for to, request in loans.request_slots(draw, now_us)]
            if loans.may_return:
                messages += [(to, key, transfer) for to, transfer in loans.return_slots(now_us)]
        return messages

    def on_request(self, sender: int, key: int, request: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Handle another front's request for slots; returns the loan to send, or None."""
        server = self.servers.get(key)
        return server.loans.on_request(sender, request, now_us) if server is not None else None

    def on_transfer(self, sender: int, key: int, transfer: QuotaTransfer, now_us: int) -> bool:
        """Handle another front's loan or return; returns whether more attempts may be in flight now."""
        server = self.servers.get(key)
        return server is not None and server.loans.on_transfer(sender, transfer, now_us)


def _is_other_front(sender: int, fronts: int, index: int) -> bool:
    return 0 <= sender < fronts and sender != index


def _close_windows(
    server: ServerLimits, windows: int, origin: ReportOrigin, fronts: int, now_us: int
) -> list[LimitReport]:
    """Close a server's windows, update its limit, and return the reports to send about it."""
    reports: list[LimitReport] = []
    rows = server.close_windows(windows)
    voters = tuple(front for front in server.agreement.voters if front != origin.front)
    if rows and voters:
        reports.append(LimitReport(voters, server.key, server.started_us, rows=rows))
    if server.adaptive_limit is not None:
        vote = server.propose(server.adaptive_limit, rows, origin, now_us)
        recipients = server.vote_recipients(fronts, origin.front, now_us)
        if recipients:
            reports.append(LimitReport(recipients, server.key, server.started_us, vote=vote))
    server.update_limit(now_us)
    return reports
