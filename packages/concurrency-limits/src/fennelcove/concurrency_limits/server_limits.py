"""The state that one front has about one server: its limit, its share of the slots, and its measurements."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median_low

from fennelcove.concurrency_limits.adaptive_limit import AdaptiveLimit
from fennelcove.concurrency_limits.latency_histogram import (
    GossipedHistograms,
    HistogramRow,
    OwnHistograms,
    class_of,
    quantile_us,
)
from fennelcove.concurrency_limits.persisted import START_TOLERANCE_US, is_same_start
from fennelcove.concurrency_limits.quorum import MAX_SHAPE_LIMITS, QuorumAgreement, QuorumVote
from fennelcove.concurrency_limits.quota_loans import QuotaLoans
from fennelcove.concurrency_limits.workload_shape import shape_share

MAX_ROWS = 12  # in a report about one server
INITIAL_SHARE_OF_KIND = 0.5  # initial limit of a new server, relative to the median limit of its kind
MAX_REPORTED_AGE_US = 65_535_000_000  # a server of this age is reported as started long ago
SMALL_FLEET = 32  # largest number of fronts at which votes are sent to all of them
REPORTER_VALIDITY_US = 60_000_000  # how long votes are sent to a front after it reported measurements


@dataclass(frozen=True, slots=True)
class ReportOrigin:
    """Sender and sequence number of a report."""

    front: int
    incarnation: int
    sequence: int  # unique within the incarnation


@dataclass(slots=True)
class ServerLimits:
    """The state that one front has about one server. The caller passes in times."""

    key: int  # the same at every front
    kind: str
    started_us: int  # start time of the server, 0 if it started long ago
    agreement: QuorumAgreement
    loans: QuotaLoans
    own_histograms: OwnHistograms = field(default_factory=OwnHistograms)
    gossip: GossipedHistograms = field(default_factory=GossipedHistograms)  # used by voters only
    adaptive_limit: AdaptiveLimit | None = None  # set for voters only
    reporters: dict[int, int] = field(default_factory=dict)  # time of the last measurements, by front
    median_service_us: dict[int, float] = field(default_factory=dict)  # median service times, by shape
    peak_in_flight: int = 0  # largest number of attempts in flight, reduced by one in each window

    # Limits.

    def max_in_flight(self, now_us: int, max_duration_us: int, shape: int | None) -> int:
        """How many attempts this front may have in flight, in total or of one shape."""
        slots = self.loans.max_in_flight(now_us, max_duration_us)
        if shape is None or slots <= 1:
            return slots
        return shape_share(slots, self._own_shape_limits(slots, now_us), shape)

    def _own_shape_limits(self, slots: int, now_us: int) -> Mapping[int, int]:
        """This front's share of the slots that each shape requires, rounded up."""
        limit = max(1, self.agreement.limit)
        required = self.agreement.shape_limits(now_us)
        return {shape: -(-required_slots * slots // limit) for shape, required_slots in required.items()}

    def connection_target(self, now_us: int) -> int:
        """How many connections to keep open, including idle ones."""
        return max(self.loans.in_flight, min(self.loans.max_in_flight(now_us), self.peak_in_flight + 1))

    def update_limit(self, now_us: int) -> bool:
        """Put the agreed limit into force here; returns whether it is higher than before."""
        before = self.agreement.limit
        self.loans.set_limit(self.agreement.advance(now_us), now_us)
        return self.agreement.limit > before

    # Attempts.

    def on_attempt_started(self, shape: int, now_us: int, max_duration_us: int, waited_us: int) -> None:
        """Count an attempt in flight that waited for its slot for `waited_us`."""
        self.loans.on_attempt_started(now_us, max_duration_us)
        self.peak_in_flight = max(self.peak_in_flight, self.loans.in_flight)
        histogram = self.own_histograms.current_of(shape)
        histogram.requested += 1
        if waited_us > 0:
            histogram.add_waiting_time(class_of(waited_us))

    def on_attempt_ended(self, shape: int, held_us: int, answered: bool | None) -> None:
        """Count the end of an attempt; `answered` is None if its duration says nothing about the server."""
        self.loans.on_attempt_ended()
        if answered is None:
            return
        histogram = self.own_histograms.current_of(shape)
        histogram.add_service_time(class_of(held_us))
        histogram.unanswered += not answered

    def on_attempt_denied(self, shape: int) -> None:
        """Count an attempt that got no slot in time."""
        histogram = self.own_histograms.current_of(shape)
        histogram.requested += 1
        histogram.denied += 1

    # Measurements and votes.

    def close_windows(self, windows: int) -> tuple[HistogramRow, ...]:
        """Close the windows that have passed, and return the rows to report."""
        self.own_histograms.close_windows(windows)
        self.peak_in_flight = max(self.loans.in_flight, self.peak_in_flight - windows)
        rows = self.own_histograms.rows(MAX_ROWS)
        for row in rows:
            median_us = quantile_us(dict(row.service_times), 0.5)
            if median_us is not None:
                self.median_service_us[row.shape] = median_us
        return rows

    def propose(
        self, learner: AdaptiveLimit, rows: Iterable[HistogramRow], origin: ReportOrigin, now_us: int
    ) -> QuorumVote:
        """Update this front's proposal from all measurements, including its own rows, and vote for it."""
        self._add_rows(rows, origin, now_us)
        self.gossip.remove_stale(now_us)
        learner.on_window_closed(self.gossip.merged(now_us), self.agreement.limit, now_us)
        self.median_service_us.update(learner.samples.median_service_us)
        largest_first = sorted(learner.shape_limits.items(), key=lambda limit: (-limit[1], limit[0]))
        vote = QuorumVote(learner.limit, tuple(largest_first[:MAX_SHAPE_LIMITS]))
        self._add_vote(vote, origin, now_us)
        return vote

    def on_rows(self, rows: Iterable[HistogramRow], origin: ReportOrigin, now_us: int) -> None:
        """Handle the measurements of another front; only voters use them."""
        if self.adaptive_limit is None:
            return
        self.reporters[origin.front] = now_us
        self._add_rows(rows, origin, now_us)

    def on_vote(self, vote: QuorumVote, origin: ReportOrigin, now_us: int) -> bool:
        """Handle the vote of another front; returns whether the limit in force is higher than before."""
        return self._add_vote(vote, origin, now_us) and self.update_limit(now_us)

    def _add_rows(self, rows: Iterable[HistogramRow], origin: ReportOrigin, now_us: int) -> None:
        for row in rows:
            self.gossip.on_row(origin.front, origin.incarnation, origin.sequence, row, now_us)

    def _add_vote(self, vote: QuorumVote, origin: ReportOrigin, now_us: int) -> bool:
        return self.agreement.on_vote(origin.front, origin.incarnation, origin.sequence, vote, now_us)

    def vote_recipients(self, fronts: int, index: int, now_us: int) -> tuple[int, ...]:
        """The other fronts to send this front's vote to.

        In a small fleet these are all fronts, otherwise the voters and the fronts that use the server.
        """
        if fronts <= SMALL_FLEET:
            return tuple(front for front in range(fronts) if front != index)
        self.reporters = {
            front: reported_us
            for front, reported_us in self.reporters.items()
            if now_us - reported_us <= REPORTER_VALIDITY_US
        }
        return tuple(sorted({*self.agreement.voters, *self.reporters} - {index}))

    def is_same_server(self, started_us: int, now_us: int) -> bool:
        """Whether a report is about this server, not another one at the same address."""
        return is_same_start(
            _reported_start_us(self.started_us, now_us), _reported_start_us(started_us, now_us)
        )


def _reported_start_us(started_us: int, now_us: int) -> int:
    """The start time for a comparison: 0 if either front may report the age as the maximum."""
    is_recent = now_us - started_us < MAX_REPORTED_AGE_US - START_TOLERANCE_US
    return started_us if is_recent else 0


def initial_limit_of_kind(servers: Iterable[ServerLimits], kind: str, min_limit: int) -> int:
    """The initial limit of a new server, from the limits of the measured servers of its kind."""
    limits = [
        server.agreement.limit
        for server in servers
        if server.kind == kind and server.adaptive_limit is not None and server.adaptive_limit.is_measured
    ]
    if not limits:
        return min_limit
    return max(min_limit, round(INITIAL_SHARE_OF_KIND * median_low(limits)))
