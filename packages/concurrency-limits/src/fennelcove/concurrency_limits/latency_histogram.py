"""Wait and hold times in logarithmic classes, as one front counts them and as a fleet's merge.

Four classes a doubling, from a millisecond to about a minute: a median is then known to a tenth, and a row
fits a datagram. A row says what one front saw of one box and shape in the last windows, under a life and a
number; the newest of each front counts, so rows merge alike in whatever order, and however often, they come.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log2

WINDOW_US = 500_000
WINDOWS_PER_ROW = 4  # that a row covers
ROW_SPAN_US = WINDOW_US * WINDOWS_PER_ROW
STALE_US = 2 * ROW_SPAN_US  # an older row says nothing any more
CLASSES_PER_DOUBLING = 4  # classes a doubling
FIRST_CLASS_US = 1000
LAST_CLASS = 63  # the class of all that is longer
MAX_CLASS_COUNT = 255  # in one class of a row
MAX_REQUESTED = 65_535
MAX_FRONT_WEIGHT = 1 / 3  # of what a fleet's counts weigh, what a single front's may

ClassCounts = tuple[tuple[int, int], ...]  # class, count


def class_of(us: float) -> int:
    """The class of a time."""
    if us < FIRST_CLASS_US:
        return 0
    return min(LAST_CLASS, int(CLASSES_PER_DOUBLING * log2(us / FIRST_CLASS_US)) + 1)


def class_bounds_us(number: int) -> tuple[float, float]:
    """Between which times a class lies."""
    if number <= 0:
        return 0.0, FIRST_CLASS_US
    return FIRST_CLASS_US * 2 ** ((number - 1) / CLASSES_PER_DOUBLING), FIRST_CLASS_US * 2 ** (
        number / CLASSES_PER_DOUBLING
    )


@dataclass(frozen=True, slots=True)
class Row:
    """What one front saw of one box and shape in `COVER_US`."""

    shape: int
    requested: int  # wishes for a slot
    denied: int  # that got none in time
    unanswered: int  # joins that ended without an answer
    service_times: ClassCounts  # of joins that ended
    waiting_times: ClassCounts  # of joins that got a slot after a wait


@dataclass(slots=True)
class LatencyHistogram:
    """Counts of one box and shape, open to more."""

    requested: int = 0
    denied: int = 0
    unanswered: int = 0
    service_times: dict[int, int] = field(default_factory=dict)
    waiting_times: dict[int, int] = field(default_factory=dict)

    def add_service_time(self, number: int) -> None:
        """A join has ended."""
        self.service_times[number] = self.service_times.get(number, 0) + 1

    def add_waiting_time(self, number: int) -> None:
        """A join has got its slot."""
        self.waiting_times[number] = self.waiting_times.get(number, 0) + 1


@dataclass(slots=True)
class OwnHistograms:
    """One front's counts of one box. The caller hands in times."""

    current: dict[int, LatencyHistogram] = field(default_factory=dict)
    closed: deque[dict[int, LatencyHistogram]] = field(default_factory=lambda: deque(maxlen=WINDOWS_PER_ROW))

    def current_of(self, shape: int) -> LatencyHistogram:
        """The open counts of a shape."""
        return self.current.setdefault(shape, LatencyHistogram())

    def close_windows(self, windows: int) -> None:
        """So many windows have passed."""
        for _ in range(min(windows, WINDOWS_PER_ROW)):
            self.closed.append(self.current)
            self.current = {}

    @property
    def is_empty(self) -> bool:
        """Nothing was seen lately."""
        return not self.current and not any(self.closed)

    def rows(self, most: int) -> tuple[Row, ...]:
        """What to tell: the shapes that hold slots for longest first, at most so many."""
        sums: dict[int, LatencyHistogram] = {}
        for window in self.closed:
            for shape, seen in window.items():
                total = sums.setdefault(shape, LatencyHistogram())
                total.requested += seen.requested
                total.denied += seen.denied
                total.unanswered += seen.unanswered
                for into, counts in (
                    (total.service_times, seen.service_times),
                    (total.waiting_times, seen.waiting_times),
                ):
                    for number, count in counts.items():
                        into[number] = into.get(number, 0) + count
        rows = [
            Row(
                shape,
                min(total.requested, MAX_REQUESTED),
                min(total.denied, MAX_REQUESTED),
                min(total.unanswered, MAX_REQUESTED),
                _bounded(total.service_times),
                _bounded(total.waiting_times),
            )
            for shape, total in sums.items()
        ]
        return tuple(sorted(rows, key=lambda row: (-total_us(row.service_times), row.shape))[:most])


def _bounded(counts: Mapping[int, int]) -> ClassCounts:
    return tuple((number, min(counts[number], MAX_CLASS_COUNT)) for number in sorted(counts))


def total_us(counts: Iterable[tuple[int, float]]) -> float:
    """How long all together, each at the middle of its class."""
    return sum(count * sum(class_bounds_us(number)) / 2 for number, count in counts)


def total_count(counts: Iterable[tuple[int, float]]) -> float:
    """How many in all classes."""
    return sum(count for _, count in counts)


def quantile_us(counts: Mapping[int, float], share: float) -> float | None:
    """The time that such a share does not pass; None of nothing."""
    total = sum(counts.values())
    if total <= 0:
        return None
    left = share * total
    for number in sorted(counts):
        if left <= counts[number]:
            low, high = class_bounds_us(number)
            return low + (high - low) * left / counts[number]
        left -= counts[number]
    return class_bounds_us(max(counts))[1]


@dataclass(slots=True)
class ObservedLatency:
    """A fleet's figures of one box and shape."""

    requested: float = 0.0
    denied: float = 0.0
    unanswered: float = 0.0
    service_times: dict[int, float] = field(default_factory=dict)
    waiting_times: dict[int, float] = field(default_factory=dict)

    @property
    def completed(self) -> float:
        """Joins that ended."""
        return sum(self.service_times.values())

    @property
    def mean_service_time_us(self) -> float:
        """Of the hold times."""
        return total_us(self.service_times.items()) / self.completed if self.service_times else 0.0

    def add(self, other: ObservedLatency) -> None:
        """Of another time, or another front, as well."""
        self.requested += other.requested
        self.denied += other.denied
        self.unanswered += other.unanswered
        for into, counts in (
            (self.service_times, other.service_times),
            (self.waiting_times, other.waiting_times),
        ):
            for number, count in counts.items():
                into[number] = into.get(number, 0.0) + count


@dataclass(slots=True)
class GossipedHistograms:
    """The newest rows of each front about one box."""

    rows: dict[tuple[int, int], tuple[int, int, Row, int]] = field(default_factory=dict)

    def on_row(self, sender: int, life: int, number: int, row: Row, now_us: int) -> bool:
        """A row has come; whether it is news."""
        known = self.rows.get((sender, row.shape))
        if known is not None and (life, number) <= known[:2]:
            return False  # doubled, late, or of a life that is over
        self.rows[sender, row.shape] = (life, number, row, now_us)
        return True

    def remove_stale(self, now_us: int) -> None:
        """Rows that say nothing any more; what is left is bounded by fronts and shapes."""
        self.rows = {key: known for key, known in self.rows.items() if now_us - known[3] <= STALE_US}

    def merged(self, now_us: int) -> dict[int, ObservedLatency]:
        """The fleet's figures by shape. Where three or more speak none weighs more than a third, or than the
        next: its counts are scaled down, so that a median stays between the others' quartiles whatever it
        says."""
        young: dict[int, list[Row]] = {}
        for (_, shape), (_, _, row, heard_us) in self.rows.items():
            if now_us - heard_us <= STALE_US:
                young.setdefault(shape, []).append(row)
        return {shape: _merge(rows) for shape, rows in young.items()}


def _merge(rows: list[Row]) -> ObservedLatency:
    seen = ObservedLatency()
    ended = [total_count(row.service_times) for row in rows]
    asked = [float(row.requested) for row in rows]
    for row, factor, less in zip(rows, _factors(ended), _factors(asked), strict=True):
        seen.requested += row.requested * less
        seen.denied += min(row.denied, row.requested) * less
        seen.unanswered += min(row.unanswered, total_count(row.service_times)) * factor
        for into, counts in (
            (seen.service_times, row.service_times),
            (seen.waiting_times, row.waiting_times),
        ):
            for number, count in counts:
                into[number] = into.get(number, 0.0) + count * factor
    return seen


def _factors(counts: list[float]) -> list[float]:
    """By how much each front's counts are scaled down."""
    total = sum(counts)
    if sum(count > 0 for count in counts) < 3:
        return [1.0] * len(counts)
    largest = max(counts)
    most = max(sorted(counts)[-2], (total - largest) * MAX_FRONT_WEIGHT / (1 - MAX_FRONT_WEIGHT))
    return [min(1.0, most / count) if count else 1.0 for count in counts]
