"""The load of the fleet as a whole, estimated from short summaries that fronts exchange.

A summary counts the requests of one front in the last windows, by service class, and has a sequence number.
Only the newest summary of each front is used, so the estimate does not depend on the order in which summaries
arrive, or on duplicates. A front without a recent summary is assumed to have the same load as this one; with
no summary at all, the fleet's load is this front's times the number of fronts. A summary far larger than the
others is capped.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

WINDOW_US = 500_000
WINDOWS_PER_SUMMARY = 4  # together as long as the time between two attempts of a client
STALE_US = 3 * WINDOW_US * WINDOWS_PER_SUMMARY // 2  # an older summary is ignored
MAX_MEDIAN_MULTIPLE = 8  # the busiest of four fronts, with a third of all clients, stays far below it
MAX_COUNT = 65_535  # a counter of a summary has two bytes
MIN_SUMMARIES_FOR_CAP = 3


class ClassLoad(NamedTuple):
    """The counts of one service class."""

    requested: int
    served: int
    rejected: int

    def scaled(self, factor: float) -> ClassLoad:
        """The counts multiplied by a factor, rounded."""
        return ClassLoad(*(round(count * factor) for count in self))

    def capped(self) -> ClassLoad:
        """The counts, limited to what a summary can hold."""
        return ClassLoad(*(min(count, MAX_COUNT) for count in self))


NO_LOAD = ClassLoad(0, 0, 0)


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """One front's load in `WINDOWS_PER_SUMMARY` windows, by service class in the order of the settings."""

    incarnation: int  # the sender's incarnation
    sequence: int  # the sequence number within the incarnation
    class_loads: tuple[ClassLoad, ...]


class ReceivedSummary(NamedTuple):
    """A peer's newest summary and when it arrived."""

    summary: LoadSummary
    received_us: int


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """The fleet's load as one front estimates it."""

    class_loads: tuple[ClassLoad, ...]
    reporting_peers: int  # peers with a recent summary

    @property
    def requested(self) -> int:
        """Requests of all service classes."""
        return sum(requested for requested, _, _ in self.class_loads)

    @property
    def unmet_fraction(self) -> float:
        """The fraction of requests that were not served."""
        requested = self.requested
        if not requested:
            return 0.0
        served = sum(served for _, served, _ in self.class_loads)
        return max(0.0, 1 - served / requested)


def sum_loads(loads: Sequence[tuple[ClassLoad, ...]], class_count: int) -> tuple[ClassLoad, ...]:
    """The sums by service class; a missing class counts as no load."""
    padded = [row + (NO_LOAD,) * (class_count - len(row)) for row in loads]
    return tuple(
        ClassLoad(
            sum(row[index][0] for row in padded),
            sum(row[index][1] for row in padded),
            sum(row[index][2] for row in padded),
        )
        for index in range(class_count)
    )


def _total_requested(loads: tuple[ClassLoad, ...]) -> int:
    return sum(requested for requested, _, _ in loads)


def _cap_outliers(
    own: tuple[ClassLoad, ...], peers: list[tuple[ClassLoad, ...]]
) -> list[tuple[ClassLoad, ...]]:
    """The peers' loads, each scaled down to at most `MAX_MEDIAN_MULTIPLE` times the median of all fronts."""
    requested = [_total_requested(loads) for loads in [own, *peers]]
    if len(requested) < MIN_SUMMARIES_FOR_CAP:
        return peers
    cap = MAX_MEDIAN_MULTIPLE * max(1.0, median(requested))
    return [
        loads if count <= cap else tuple(ClassLoad(*load).scaled(cap / count) for load in loads)
        for loads, count in zip(peers, requested[1:], strict=True)
    ]


@dataclass(slots=True)
class _OpenCounts:
    """The counts of one service class in the current window."""

    requested: int = 0
    served: int = 0
    rejected: int = 0


@dataclass(slots=True)
class FleetLoadEstimator:
    """Estimates the fleet's load from one front's own counts and its peers' summaries.

    The caller supplies times and holds the lock.
    """

    class_count: int
    window_start_us: int
    incarnation: int = 0
    sequence: int = 0
    open_window: list[_OpenCounts] = field(default_factory=list)
    closed_windows: deque[tuple[ClassLoad, ...]] = field(
        default_factory=lambda: deque(maxlen=WINDOWS_PER_SUMMARY)
    )
    peer_summaries: dict[int, ReceivedSummary] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._open_window()

    def _open_window(self) -> None:
        self.open_window = [_OpenCounts() for _ in range(self.class_count)]

    def record_requested(self, service_class: int) -> None:
        """Count a request."""
        self.open_window[service_class].requested += 1

    def record_served(self, service_class: int) -> None:
        """Count an established session."""
        self.open_window[service_class].served += 1

    def record_rejected(self, service_class: int) -> None:
        """Count a rejection by the ingress or by the placement policy."""
        self.open_window[service_class].rejected += 1

    def advance(self, now_us: int) -> bool:
        """Close the windows that have passed; return whether there were any."""
        passed = (now_us - self.window_start_us) // WINDOW_US
        if passed <= 0:
            return False
        for _ in range(min(passed, WINDOWS_PER_SUMMARY)):
            self.closed_windows.append(
                tuple(
                    ClassLoad(counts.requested, counts.served, counts.rejected) for counts in self.open_window
                )
            )
            self._open_window()
        self.window_start_us += passed * WINDOW_US
        self.sequence += 1
        return True

    def own_load(self) -> tuple[ClassLoad, ...]:
        """This front's load in the closed windows."""
        return sum_loads(list(self.closed_windows), self.class_count)

    def summary(self) -> LoadSummary:
        """The summary to send to the other fronts."""
        loads = tuple(load.capped() for load in self.own_load())
        return LoadSummary(self.incarnation, self.sequence, loads)

    def on_summary(self, sender: int, summary: LoadSummary, now_us: int) -> bool:
        """Handle a peer's summary; return whether it is newer than the known one."""
        known = self.peer_summaries.get(sender)
        if known is not None:
            known_version = (known.summary.incarnation, known.summary.sequence)
            if (summary.incarnation, summary.sequence) <= known_version:
                return False  # duplicated or delayed
        self.peer_summaries[sender] = ReceivedSummary(summary, now_us)
        return True

    def totals(self, fronts: int, now_us: int) -> FleetTotals:
        """The estimated load of a fleet with this number of fronts."""
        own = self.own_load()
        recent = [
            summary.class_loads
            for summary, received_us in self.peer_summaries.values()
            if now_us - received_us <= STALE_US
        ]
        peers = _cap_outliers(own, recent)
        unknown_fronts = max(0, fronts - 1 - len(peers))
        loads = sum_loads([own, *peers, *[own] * unknown_fronts], self.class_count)
        return FleetTotals(loads, len(peers))
