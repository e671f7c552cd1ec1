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
WINDOWS = 4  # that a row covers
COVER_US = WINDOW_US * WINDOWS
STALE_US = 2 * COVER_US  # an older row says nothing any more
STEPS = 4  # classes a doubling
FIRST_US = 1000
LAST = 63  # the class of all that is longer
MOST_COUNT = 255  # in one class of a row
MOST_ASKED = 65_535
MOST_PART = 1 / 3  # of what a fleet's counts weigh, what a single front's may

Classes = tuple[tuple[int, int], ...]  # class, count


def class_of(us: float) -> int:
    """The class of a time."""
    if us < FIRST_US:
        return 0
    return min(LAST, int(STEPS * log2(us / FIRST_US)) + 1)


def edges_us(number: int) -> tuple[float, float]:
    """Between which times a class lies."""
    if number <= 0:
        return 0.0, FIRST_US
    return FIRST_US * 2 ** ((number - 1) / STEPS), FIRST_US * 2 ** (number / STEPS)


@dataclass(frozen=True, slots=True)
class Row:
    """What one front saw of one box and shape in `COVER_US`."""

    shape: int
    asked: int  # wishes for a slot
    denied: int  # that got none in time
    lost: int  # joins that ended without an answer
    holds: Classes  # of joins that ended
    waits: Classes  # of joins that got a slot after a wait


@dataclass(slots=True)
class LatencyHistogram:
    """Counts of one box and shape, open to more."""

    asked: int = 0
    denied: int = 0
    lost: int = 0
    holds: dict[int, int] = field(default_factory=dict)
    waits: dict[int, int] = field(default_factory=dict)

    def hold(self, number: int) -> None:
        """A join has ended."""
        self.holds[number] = self.holds.get(number, 0) + 1

    def wait(self, number: int) -> None:
        """A join has got its slot."""
        self.waits[number] = self.waits.get(number, 0) + 1


@dataclass(slots=True)
class OwnHistograms:
    """One front's counts of one box. The caller hands in times."""

    open: dict[int, LatencyHistogram] = field(default_factory=dict)
    past: deque[dict[int, LatencyHistogram]] = field(default_factory=lambda: deque(maxlen=WINDOWS))

    def tally(self, shape: int) -> LatencyHistogram:
        """The open counts of a shape."""
        return self.open.setdefault(shape, LatencyHistogram())

    def close(self, windows: int) -> None:
        """So many windows have passed."""
        for _ in range(min(windows, WINDOWS)):
            self.past.append(self.open)
            self.open = {}

    @property
    def empty(self) -> bool:
        """Nothing was seen lately."""
        return not self.open and not any(self.past)

    def rows(self, most: int) -> tuple[Row, ...]:
        """What to tell: the shapes that hold slots for longest first, at most so many."""
        sums: dict[int, LatencyHistogram] = {}
        for window in self.past:
            for shape, seen in window.items():
                total = sums.setdefault(shape, LatencyHistogram())
                total.asked += seen.asked
                total.denied += seen.denied
                total.lost += seen.lost
                for into, counts in ((total.holds, seen.holds), (total.waits, seen.waits)):
                    for number, count in counts.items():
                        into[number] = into.get(number, 0) + count
        rows = [
            Row(
                shape,
                min(total.asked, MOST_ASKED),
                min(total.denied, MOST_ASKED),
                min(total.lost, MOST_ASKED),
                _bounded(total.holds),
                _bounded(total.waits),
            )
            for shape, total in sums.items()
        ]
        return tuple(sorted(rows, key=lambda row: (-held_us(row.holds), row.shape))[:most])


def _bounded(counts: Mapping[int, int]) -> Classes:
    return tuple((number, min(counts[number], MOST_COUNT)) for number in sorted(counts))


def held_us(counts: Iterable[tuple[int, float]]) -> float:
    """How long all together, each at the middle of its class."""
    return sum(count * sum(edges_us(number)) / 2 for number, count in counts)


def many(counts: Iterable[tuple[int, float]]) -> float:
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
            low, high = edges_us(number)
            return low + (high - low) * left / counts[number]
        left -= counts[number]
    return edges_us(max(counts))[1]


@dataclass(slots=True)
class ObservedLatency:
    """A fleet's figures of one box and shape."""

    asked: float = 0.0
    denied: float = 0.0
    lost: float = 0.0
    holds: dict[int, float] = field(default_factory=dict)
    waits: dict[int, float] = field(default_factory=dict)

    @property
    def ended(self) -> float:
        """Joins that ended."""
        return sum(self.holds.values())

    @property
    def mean_us(self) -> float:
        """Of the hold times."""
        return held_us(self.holds.items()) / self.ended if self.holds else 0.0

    def add(self, other: ObservedLatency) -> None:
        """Of another time, or another front, as well."""
        self.asked += other.asked
        self.denied += other.denied
        self.lost += other.lost
        for into, counts in ((self.holds, other.holds), (self.waits, other.waits)):
            for number, count in counts.items():
                into[number] = into.get(number, 0.0) + count


@dataclass(slots=True)
class GossipedHistograms:
    """The newest rows of each front about one box."""

    rows: dict[tuple[int, int], tuple[int, int, Row, int]] = field(default_factory=dict)

    def hear(self, sender: int, life: int, number: int, row: Row, now_us: int) -> bool:
        """A row has come; whether it is news."""
        known = self.rows.get((sender, row.shape))
        if known is not None and (life, number) <= known[:2]:
            return False  # doubled, late, or of a life that is over
        self.rows[sender, row.shape] = (life, number, row, now_us)
        return True

    def forget(self, now_us: int) -> None:
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
    ended = [many(row.holds) for row in rows]
    asked = [float(row.asked) for row in rows]
    for row, factor, less in zip(rows, _factors(ended), _factors(asked), strict=True):
        seen.asked += row.asked * less
        seen.denied += min(row.denied, row.asked) * less
        seen.lost += min(row.lost, many(row.holds)) * factor
        for into, counts in ((seen.holds, row.holds), (seen.waits, row.waits)):
            for number, count in counts:
                into[number] = into.get(number, 0.0) + count * factor
    return seen


def _factors(counts: list[float]) -> list[float]:
    """By how much each front's counts are scaled down."""
    total = sum(counts)
    if sum(count > 0 for count in counts) < 3:
        return [1.0] * len(counts)
    largest = max(counts)
    most = max(sorted(counts)[-2], (total - largest) * MOST_PART / (1 - MOST_PART))
    return [min(1.0, most / count) if count else 1.0 for count in counts]
