"""Histograms of service and waiting times, as one front counts them and as a fleet merges them.

Histogram classes are logarithmic, four to each doubling, from a millisecond to about a minute: a median is
accurate to a tenth, and a row fits a datagram. A row contains what one front measured of one server and shape
in the last windows, and is sent with the front's incarnation and a sequence number. Only the newest row of
each front counts, so the merged result does not depend on the order of rows or on duplicates.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log2

WINDOW_US = 500_000
WINDOWS_PER_ROW = 4
ROW_SPAN_US = WINDOW_US * WINDOWS_PER_ROW
ROW_VALIDITY_US = 2 * ROW_SPAN_US  # from the time of receipt
CLASSES_PER_DOUBLING = 4
FIRST_CLASS_US = 1000  # the upper bound of class 0
LAST_CLASS = 63  # contains all longer times
MAX_CLASS_COUNT = 255  # in one class of a row
MAX_REQUESTED = 65_535
MAX_FRONT_WEIGHT = 1 / 3  # largest part of the fleet's counts that one front may contribute
MIN_FRONTS_TO_WEIGH = 3  # with fewer reporting fronts, counts are not scaled down

ClassCounts = tuple[tuple[int, int], ...]  # class index, count


def class_of(duration_us: float) -> int:
    """The index of the histogram class that contains a duration."""
    if duration_us < FIRST_CLASS_US:
        return 0
    doublings = log2(duration_us / FIRST_CLASS_US)
    return min(LAST_CLASS, int(CLASSES_PER_DOUBLING * doublings) + 1)


def class_bounds_us(class_index: int) -> tuple[float, float]:
    """The lower and the upper bound of a histogram class."""
    if class_index <= 0:
        return 0.0, FIRST_CLASS_US
    lower_us = FIRST_CLASS_US * 2 ** ((class_index - 1) / CLASSES_PER_DOUBLING)
    upper_us = FIRST_CLASS_US * 2 ** (class_index / CLASSES_PER_DOUBLING)
    return lower_us, upper_us


@dataclass(frozen=True, slots=True)
class HistogramRow:
    """What one front measured of one server and shape in `ROW_SPAN_US`."""

    shape: int
    requested: int  # requests for a slot
    denied: int  # requests that got no slot in time
    unanswered: int  # attempts that ended without an answer
    service_times: ClassCounts  # of completed attempts, answered or not
    waiting_times: ClassCounts  # of attempts that waited and then got a slot


@dataclass(slots=True)
class LatencyHistogram:
    """One front's counts of one server and shape, in one or several windows."""

    requested: int = 0
    denied: int = 0
    unanswered: int = 0
    service_times: dict[int, int] = field(default_factory=dict)  # count by class index
    waiting_times: dict[int, int] = field(default_factory=dict)

    def add_service_time(self, class_index: int) -> None:
        """Count a completed attempt, by the class of its service time."""
        self.service_times[class_index] = self.service_times.get(class_index, 0) + 1

    def add_waiting_time(self, class_index: int) -> None:
        """Count an attempt that got a slot, by the class of its waiting time."""
        self.waiting_times[class_index] = self.waiting_times.get(class_index, 0) + 1

    def add(self, other: LatencyHistogram) -> None:
        """Add the counts of another window."""
        self.requested += other.requested
        self.denied += other.denied
        self.unanswered += other.unanswered
        _add_counts(self.service_times, other.service_times)
        _add_counts(self.waiting_times, other.waiting_times)

    def to_row(self, shape: int) -> HistogramRow:
        """The counts as a row, each limited to the maximum that a message can represent."""
        return HistogramRow(
            shape=shape,
            requested=min(self.requested, MAX_REQUESTED),
            denied=min(self.denied, MAX_REQUESTED),
            unanswered=min(self.unanswered, MAX_REQUESTED),
            service_times=_bounded_counts(self.service_times),
            waiting_times=_bounded_counts(self.waiting_times),
        )


def _add_counts(total: dict[int, int], counts: Mapping[int, int]) -> None:
    for class_index, count in counts.items():
        total[class_index] = total.get(class_index, 0) + count


def _bounded_counts(counts: Mapping[int, int]) -> ClassCounts:
    return tuple((class_index, min(counts[class_index], MAX_CLASS_COUNT)) for class_index in sorted(counts))


@dataclass(slots=True)
class OwnHistograms:
    """One front's histograms of one server, by window."""

    current: dict[int, LatencyHistogram] = field(default_factory=dict)  # by shape
    closed: deque[dict[int, LatencyHistogram]] = field(default_factory=lambda: deque(maxlen=WINDOWS_PER_ROW))

    def current_of(self, shape: int) -> LatencyHistogram:
        """The histogram of a shape in the current window."""
        return self.current.setdefault(shape, LatencyHistogram())

    def close_windows(self, windows: int) -> None:
        """Close the current window, and add empty ones if several have passed."""
        for _ in range(min(windows, WINDOWS_PER_ROW)):
            self.closed.append(self.current)
            self.current = {}

    def rows(self, max_rows: int) -> tuple[HistogramRow, ...]:
        """The rows of the closed windows, at most `max_rows`, in descending order of total service time."""
        totals: dict[int, LatencyHistogram] = {}
        for window in self.closed:
            for shape, histogram in window.items():
                totals.setdefault(shape, LatencyHistogram()).add(histogram)
        rows = [total.to_row(shape) for shape, total in totals.items()]
        rows.sort(key=lambda row: (-total_us(row.service_times), row.shape))
        return tuple(rows[:max_rows])


def total_us(counts: Iterable[tuple[int, float]]) -> float:
    """The sum of all durations, each estimated by the middle of its class."""
    return sum(count * sum(class_bounds_us(class_index)) / 2 for class_index, count in counts)


def total_count(counts: Iterable[tuple[int, float]]) -> float:
    """The total number of durations."""
    return sum(count for _, count in counts)


def quantile_us(counts: Mapping[int, float], share: float) -> float | None:
    """The duration that a `share` of all durations does not exceed, interpolated; None if there are none."""
    total = sum(counts.values())
    if total <= 0:
        return None
    remaining = share * total
    for class_index in sorted(counts):
        if remaining <= counts[class_index]:
            lower_us, upper_us = class_bounds_us(class_index)
            return lower_us + (upper_us - lower_us) * remaining / counts[class_index]
        remaining -= counts[class_index]
    _, upper_us = class_bounds_us(max(counts))
    return upper_us


@dataclass(slots=True)
class ObservedLatency:
    """The fleet's measurements of one server and shape; counts are weighted, so they are not integers."""

    requested: float = 0.0
    denied: float = 0.0
    unanswered: float = 0.0
    service_times: dict[int, float] = field(default_factory=dict)  # weighted count by class index
    waiting_times: dict[int, float] = field(default_factory=dict)

    @property
    def completed(self) -> float:
        """Weighted number of completed attempts, answered or not."""
        return sum(self.service_times.values())

    @property
    def mean_service_time_us(self) -> float:
        """The mean service time, 0 if no attempt was completed."""
        return total_us(self.service_times.items()) / self.completed if self.service_times else 0.0

    def add(self, other: ObservedLatency) -> None:
        """Add the measurements of another time span."""
        self.requested += other.requested
        self.denied += other.denied
        self.unanswered += other.unanswered
        _add_weighted(self.service_times, other.service_times.items(), 1.0)
        _add_weighted(self.waiting_times, other.waiting_times.items(), 1.0)


def _add_weighted(total: dict[int, float], counts: Iterable[tuple[int, float]], weight: float) -> None:
    for class_index, count in counts:
        total[class_index] = total.get(class_index, 0.0) + count * weight


@dataclass(frozen=True, slots=True)
class _ReceivedRow:
    """The newest row of one front for a shape."""

    incarnation: int  # of the sender
    sequence: int  # unique within the incarnation
    row: HistogramRow
    received_us: int

    def is_valid(self, now_us: int) -> bool:
        return now_us - self.received_us <= ROW_VALIDITY_US


@dataclass(slots=True)
class GossipedHistograms:
    """The newest rows of each front about one server, at most one for each front and shape."""

    rows: dict[tuple[int, int], _ReceivedRow] = field(default_factory=dict)  # by sender and shape

    def on_row(self, sender: int, incarnation: int, sequence: int, row: HistogramRow, now_us: int) -> bool:
        """Handle a received row, unless it is a duplicate, reordered, or of an earlier incarnation.

        Returns:
            Whether it is newer than the last one.
        """
        latest = self.rows.get((sender, row.shape))
        if latest is not None and (incarnation, sequence) <= (latest.incarnation, latest.sequence):
            return False
        self.rows[sender, row.shape] = _ReceivedRow(incarnation, sequence, row, now_us)
        return True

    def remove_stale(self, now_us: int) -> None:
        """Remove the rows that are no longer valid."""
        self.rows = {key: received for key, received in self.rows.items() if received.is_valid(now_us)}

    def merged(self, now_us: int) -> dict[int, ObservedLatency]:
        """The fleet's measurements by shape.

        If three or more fronts report, the counts of one that exceeds both a third of the total and the next
        largest front are scaled down. So the median stays between the other fronts' quartiles, whatever one
        front reports.
        """
        rows_by_shape: dict[int, list[HistogramRow]] = {}
        for (_, shape), received in self.rows.items():
            if received.is_valid(now_us):
                rows_by_shape.setdefault(shape, []).append(received.row)
        return {shape: _merge(rows) for shape, rows in rows_by_shape.items()}


def _merge(rows: list[HistogramRow]) -> ObservedLatency:
    merged = ObservedLatency()
    completed = [total_count(row.service_times) for row in rows]
    requested = [float(row.requested) for row in rows]
    weights = zip(_weights(completed), _weights(requested), strict=True)
    for row, (completed_weight, requested_weight) in zip(rows, weights, strict=True):
        merged.requested += row.requested * requested_weight
        merged.denied += min(row.denied, row.requested) * requested_weight
        merged.unanswered += min(row.unanswered, total_count(row.service_times)) * completed_weight
        _add_weighted(merged.service_times, row.service_times, completed_weight)
        _add_weighted(merged.waiting_times, row.waiting_times, completed_weight)
    return merged


def _weights(counts: list[float]) -> list[float]:
    """The factor by which each front's counts are multiplied."""
    reporting = sum(count > 0 for count in counts)
    if reporting < MIN_FRONTS_TO_WEIGH:
        return [1.0] * len(counts)
    others = sum(counts) - max(counts)
    second_largest = sorted(counts)[-2]
    max_count = max(second_largest, others * MAX_FRONT_WEIGHT / (1 - MAX_FRONT_WEIGHT))
    return [min(1.0, max_count / count) if count else 1.0 for count in counts]
