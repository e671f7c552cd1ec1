"""For how long a set-up will hold its slot, learned from those before it, and which holds are long.

A shape (room type, band of rungs, warm or cold) has a mean and a spread, and each title of it its own. A
hold is long by what is usual for tenants, each counted once: one that comes ten times over with slow titles
does not make slow the usual, and where all are slow nothing is long. What nothing is known of counts as long.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

LEARNS = 1 / 4  # a tenfold change is followed within four holds
WORST_FADES = 1 / 64  # of the longest of a shape, with each that is shorter
LONG_TIMES = 4.0  # of the usual: a hold that keeps a slot for as long as four others
LEAST_USUAL_US = 5_000  # under it times are those of threads that wake up
FIRST_US = 100_000  # a guess where nothing is known
MOST_TITLES = 1024
MOST_TENANTS = 64
MOST_SHAPES = 64

Key = TypeVar("Key")
Shape = tuple[str, int, bool]  # room type, band of rungs, some holder is warm


@dataclass(frozen=True, slots=True)
class ServiceTimeEstimate:
    """What is expected of a hold, in microseconds."""

    us: int
    most_us: int  # with its spread: for what must still fit
    long: bool


@dataclass(slots=True)
class Mean:
    """A mean that follows, and its mean spread."""

    value: float
    spread: float
    worst: float  # of late

    def learn(self, found: float) -> None:
        self.worst = max(found, self.worst * (1 - WORST_FADES))
        self.spread += (abs(found - self.value) - self.spread) * LEARNS
        self.value += (found - self.value) * LEARNS


@dataclass(slots=True)
class ServiceTimeEstimator:
    """What one front has learned of hold times; every table is bounded, the oldest goes first."""

    shapes: OrderedDict[Shape, Mean] = field(default_factory=OrderedDict)
    titles: OrderedDict[tuple[Shape, str], Mean] = field(default_factory=OrderedDict)
    tenants: OrderedDict[int, Mean] = field(default_factory=OrderedDict)

    def guess(self, shape: Shape, title: str) -> ServiceTimeEstimate:
        """What a set-up will take."""
        known = self.titles.get((shape, title))
        mean = known or self.shapes.get(shape)
        if mean is None:
            return ServiceTimeEstimate(FIRST_US, 2 * FIRST_US, True)
        most_us = mean.value + 2 * mean.spread
        # Of a title that nobody asked for yet the worst of its shape is feared.
        feared_us = mean.value if known is not None else mean.worst
        return ServiceTimeEstimate(
            max(1, round(mean.value)), max(1, round(most_us)), feared_us > self.long_us()
        )

    def long_us(self) -> float:
        """From where on a hold is long."""
        usual = sorted(mean.value for mean in self.tenants.values())
        if not usual:
            return 0.0
        return LONG_TIMES * max(LEAST_USUAL_US, usual[(len(usual) - 1) // 2])

    def learn(self, shape: Shape, title: str, tenant: int, held_us: int) -> None:
        """A slot was held for so long."""
        _learn(self.shapes, shape, held_us, MOST_SHAPES)
        _learn(self.titles, (shape, title), held_us, MOST_TITLES)
        _learn(self.tenants, tenant, held_us, MOST_TENANTS)


def _learn(table: OrderedDict[Key, Mean], key: Key, held_us: int, most: int) -> None:
    found = table.get(key)
    if found is None:
        table[key] = Mean(held_us, held_us / 2, held_us)
        if len(table) > most:
            table.popitem(last=False)
    else:
        found.learn(held_us)
        table.move_to_end(key)
