"""What a fleet as a whole is asked, serves and turns away, from short summaries that fronts tell each other.

A summary says what one front saw in the last seconds, by room type, and has a number. The newest of each
front counts: so they merge alike in whatever order, and however often, they come. A front that is not heard
is taken to see what this one sees, so that with no word from anybody the fleet is this front times all that
there may be. One that tells many times more than the others is taken at a bound.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median

WINDOW_US = 500_000
WINDOWS = 4  # that a summary covers: a viewer's pause between two tries
STALE_US = 3 * WINDOW_US * WINDOWS // 2  # a summary older than this says nothing any more
MOST_TIMES = 8  # the median of all: the busiest of four fronts with a third of all viewers is far under it
MOST_COUNT = 65_535

Row = tuple[int, int, int]  # asked, served, turned away
NOTHING: Row = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """What one front saw in `WINDOWS` windows, by room type in the settings' order."""

    life: int
    number: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """The fleet's figures as one front knows them."""

    rows: tuple[Row, ...]
    heard: int  # other fronts whose summary is young enough

    @property
    def asked(self) -> int:
        """Of all room types."""
        return sum(row[0] for row in self.rows)

    @property
    def unmet(self) -> float:
        """The share of what was asked that was not served."""
        served = sum(row[1] for row in self.rows)
        return max(0.0, 1 - served / self.asked) if self.asked else 0.0


def plus(rows: Sequence[tuple[Row, ...]], size: int) -> tuple[Row, ...]:
    """Row by row; missing ones count as nothing."""
    padded = [row + (NOTHING,) * (size - len(row)) for row in rows]
    return tuple(
        (sum(row[i][0] for row in padded), sum(row[i][1] for row in padded), sum(row[i][2] for row in padded))
        for i in range(size)
    )


@dataclass(slots=True)
class FleetLoadEstimator:
    """One front's own counts, and what it has heard. The caller hands in times and holds the lock."""

    size: int  # room types
    now_us: int
    life: int = 0
    number: int = 0
    counts: list[list[int]] = field(default_factory=list)
    past: deque[tuple[Row, ...]] = field(default_factory=lambda: deque(maxlen=WINDOWS))
    others: dict[int, tuple[LoadSummary, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.counts = [[0, 0, 0] for _ in range(self.size)]

    def asked(self, service_class: int) -> None:
        """One asks."""
        self.counts[service_class][0] += 1

    def served(self, service_class: int) -> None:
        """One plays."""
        self.counts[service_class][1] += 1

    def turned(self, service_class: int) -> None:
        """One is sent away, at the door or by the module."""
        self.counts[service_class][2] += 1

    def advance(self, now_us: int) -> bool:
        """Close the windows that have passed; whether one has."""
        passed = (now_us - self.now_us) // WINDOW_US
        if passed <= 0:
            return False
        for _ in range(min(passed, WINDOWS)):
            self.past.append(tuple((row[0], row[1], row[2]) for row in self.counts))
            self.counts = [[0, 0, 0] for _ in range(self.size)]
        self.now_us += passed * WINDOW_US
        self.number += 1
        return True

    def own(self) -> tuple[Row, ...]:
        """What this front saw in the windows that are closed."""
        return plus(list(self.past), self.size)

    def summary(self) -> LoadSummary:
        """What to tell the others."""
        rows = tuple(
            (min(row[0], MOST_COUNT), min(row[1], MOST_COUNT), min(row[2], MOST_COUNT)) for row in self.own()
        )
        return LoadSummary(self.life, self.number, rows)

    def hear(self, sender: int, said: LoadSummary, now_us: int) -> bool:
        """A summary has come; whether it is news."""
        known = self.others.get(sender)
        if known is not None and (said.life, said.number) <= (known[0].life, known[0].number):
            return False  # doubled, late, or last minute's told again
        self.others[sender] = (said, now_us)
        return True

    def totals(self, fronts: int, now_us: int) -> FleetTotals:
        """The whole fleet's figures, where there may be so many fronts."""
        own = self.own()
        young = [said.rows for said, at_us in self.others.values() if now_us - at_us <= STALE_US]
        asked = [sum(row[0] for row in rows) for rows in [own, *young]]
        if len(asked) > 2:
            most = MOST_TIMES * max(1.0, median(asked))
            young = [
                rows if count <= most else _scaled(rows, most / count)
                for rows, count in zip(young, asked[1:], strict=True)
            ]
        unheard = max(0, fronts - 1 - len(young))
        rows = plus([own, *young, *[own] * unheard], self.size)
        return FleetTotals(rows, len(young))


def _scaled(rows: tuple[Row, ...], factor: float) -> tuple[Row, ...]:
    return tuple((round(row[0] * factor), round(row[1] * factor), round(row[2] * factor)) for row in rows)
