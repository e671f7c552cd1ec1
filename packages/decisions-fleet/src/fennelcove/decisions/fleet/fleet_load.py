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
WINDOWS_PER_SUMMARY = 4  # that a summary covers: a viewer's pause between two tries
STALE_US = 3 * WINDOW_US * WINDOWS_PER_SUMMARY // 2  # a summary older than this says nothing any more
MAX_MEDIAN_MULTIPLE = (
    8  # the median of all: the busiest of four fronts with a third of all viewers is far under it
)
MAX_COUNT = 65_535

ClassLoad = tuple[int, int, int]  # asked, served, turned away
NO_LOAD: ClassLoad = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """What one front saw in `WINDOWS` windows, by room type in the settings' order."""

    life: int
    number: int
    rows: tuple[ClassLoad, ...]


@dataclass(frozen=True, slots=True)
class FleetTotals:
    """The fleet's figures as one front knows them."""

    class_loads: tuple[ClassLoad, ...]
    heard: int  # other fronts whose summary is young enough

    @property
    def asked(self) -> int:
        """Of all room types."""
        return sum(row[0] for row in self.class_loads)

    @property
    def unmet(self) -> float:
        """The share of what was asked that was not served."""
        served = sum(row[1] for row in self.class_loads)
        return max(0.0, 1 - served / self.asked) if self.asked else 0.0


def sum_loads(rows: Sequence[tuple[ClassLoad, ...]], size: int) -> tuple[ClassLoad, ...]:
    """Row by row; missing ones count as nothing."""
    padded = [row + (NO_LOAD,) * (size - len(row)) for row in rows]
    return tuple(
        (sum(row[i][0] for row in padded), sum(row[i][1] for row in padded), sum(row[i][2] for row in padded))
        for i in range(size)
    )


@dataclass(slots=True)
class FleetLoadEstimator:
    """One front's own counts, and what it has heard. The caller hands in times and holds the lock."""

    class_count: int  # room types
    window_start_us: int
    incarnation: int = 0
    sequence: int = 0
    open_window: list[list[int]] = field(default_factory=list)
    closed_windows: deque[tuple[ClassLoad, ...]] = field(
        default_factory=lambda: deque(maxlen=WINDOWS_PER_SUMMARY)
    )
    peer_summaries: dict[int, tuple[LoadSummary, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.open_window = [[0, 0, 0] for _ in range(self.class_count)]

    def asked(self, service_class: int) -> None:
        """One asks."""
        self.open_window[service_class][0] += 1

    def served(self, service_class: int) -> None:
        """One plays."""
        self.open_window[service_class][1] += 1

    def turned(self, service_class: int) -> None:
        """One is sent away, at the door or by the module."""
        self.open_window[service_class][2] += 1

    def advance(self, now_us: int) -> bool:
        """Close the windows that have passed; whether one has."""
        passed = (now_us - self.window_start_us) // WINDOW_US
        if passed <= 0:
            return False
        for _ in range(min(passed, WINDOWS_PER_SUMMARY)):
            self.closed_windows.append(tuple((row[0], row[1], row[2]) for row in self.open_window))
            self.open_window = [[0, 0, 0] for _ in range(self.class_count)]
        self.window_start_us += passed * WINDOW_US
        self.sequence += 1
        return True

    def own_load(self) -> tuple[ClassLoad, ...]:
        """What this front saw in the windows that are closed."""
        return sum_loads(list(self.closed_windows), self.class_count)

    def summary(self) -> LoadSummary:
        """What to tell the others."""
        rows = tuple(
            (min(row[0], MAX_COUNT), min(row[1], MAX_COUNT), min(row[2], MAX_COUNT))
            for row in self.own_load()
        )
        return LoadSummary(self.incarnation, self.sequence, rows)

    def hear(self, sender: int, said: LoadSummary, now_us: int) -> bool:
        """A summary has come; whether it is news."""
        known = self.peer_summaries.get(sender)
        if known is not None and (said.life, said.number) <= (known[0].life, known[0].number):
            return False  # doubled, late, or last minute's told again
        self.peer_summaries[sender] = (said, now_us)
        return True

    def totals(self, fronts: int, now_us: int) -> FleetTotals:
        """The whole fleet's figures, where there may be so many fronts."""
        own = self.own_load()
        young = [said.rows for said, at_us in self.peer_summaries.values() if now_us - at_us <= STALE_US]
        asked = [sum(row[0] for row in rows) for rows in [own, *young]]
        if len(asked) > 2:
            most = MAX_MEDIAN_MULTIPLE * max(1.0, median(asked))
            young = [
                rows if count <= most else _scaled(rows, most / count)
                for rows, count in zip(young, asked[1:], strict=True)
            ]
        unheard = max(0, fronts - 1 - len(young))
        rows = sum_loads([own, *young, *[own] * unheard], self.class_count)
        return FleetTotals(rows, len(young))


def _scaled(rows: tuple[ClassLoad, ...], factor: float) -> tuple[ClassLoad, ...]:
    return tuple((round(row[0] * factor), round(row[1] * factor), round(row[2] * factor)) for row in rows)
