"""Estimates of service time: how long an attempt will hold its slot, and which holds are long.

Each request shape (service class, bitrate band, warm or cold replicas) has a running mean and deviation, and
so has each title within a shape. A hold is long relative to the median over tenants, each counted once: one
tenant that sends many requests for slow titles does not make slow holds typical, and if all holds are slow,
none is long. A request without any history counts as long.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TypeVar

LEARNING_RATE = 1 / 4  # the mean follows a tenfold change within four holds
MAX_DECAY = 1 / 64  # the recent maximum of a shape decays by this fraction with each shorter hold
LONG_FACTOR = 4.0  # a hold is long if it blocks a slot for longer than this many typical holds
MIN_TYPICAL_US = 5_000  # shorter times measure thread wake-ups, not servers
DEFAULT_SERVICE_TIME_US = 100_000  # the estimate without any history
MAX_TITLES = 1024
MAX_TENANTS = 64
MAX_SHAPES = 64

Key = TypeVar("Key")
RequestShape = tuple[str, int, bool]  # service class, bitrate band, whether some replica is warm


@dataclass(frozen=True, slots=True)
class ServiceTimeEstimate:
    """The expected service time of one hold, in microseconds."""

    expected_us: int
    upper_bound_us: int  # mean and two deviations: to check that an attempt fits before a deadline
    is_long: bool


@dataclass(slots=True)
class RunningMean:
    """Exponentially weighted mean and mean deviation of service times, with a decaying maximum."""

    mean_us: float
    mean_deviation_us: float
    recent_max_us: float

    def observe(self, service_time_us: float) -> None:
        """Add one measured service time."""
        self.recent_max_us = max(service_time_us, self.recent_max_us * (1 - MAX_DECAY))
        deviation_us = abs(service_time_us - self.mean_us)
        self.mean_deviation_us += (deviation_us - self.mean_deviation_us) * LEARNING_RATE
        self.mean_us += (service_time_us - self.mean_us) * LEARNING_RATE


@dataclass(slots=True)
class ServiceTimeEstimator:
    """Service times measured by one front. Each table is bounded and evicts its oldest entry."""

    shapes: OrderedDict[RequestShape, RunningMean] = field(default_factory=OrderedDict)
    titles: OrderedDict[tuple[RequestShape, str], RunningMean] = field(default_factory=OrderedDict)
    tenants: OrderedDict[int, RunningMean] = field(default_factory=OrderedDict)

    def estimate(self, shape: RequestShape, title: str) -> ServiceTimeEstimate:
        """Estimate the service time of a request for a title."""
        title_mean = self.titles.get((shape, title))
        mean = title_mean or self.shapes.get(shape)
        if mean is None:
            return ServiceTimeEstimate(DEFAULT_SERVICE_TIME_US, 2 * DEFAULT_SERVICE_TIME_US, is_long=True)
        # A title without history may be as slow as the slowest recent one of its shape.
        pessimistic_us = mean.mean_us if title_mean is not None else mean.recent_max_us
        upper_bound_us = mean.mean_us + 2 * mean.mean_deviation_us
        return ServiceTimeEstimate(
            expected_us=max(1, round(mean.mean_us)),
            upper_bound_us=max(1, round(upper_bound_us)),
            is_long=pessimistic_us > self.long_threshold_us(),
        )

    def long_threshold_us(self) -> float:
        """The service time above which a hold is long, in microseconds."""
        tenant_means = sorted(mean.mean_us for mean in self.tenants.values())
        if not tenant_means:
            return 0.0
        lower_median_us = tenant_means[(len(tenant_means) - 1) // 2]
        return LONG_FACTOR * max(MIN_TYPICAL_US, lower_median_us)

    def observe(self, shape: RequestShape, title: str, tenant: int, held_us: int) -> None:
        """Record for how long a finished attempt held its slot."""
        _observe(self.shapes, shape, held_us, MAX_SHAPES)
        _observe(self.titles, (shape, title), held_us, MAX_TITLES)
        _observe(self.tenants, tenant, held_us, MAX_TENANTS)


def _observe(table: OrderedDict[Key, RunningMean], key: Key, held_us: int, max_entries: int) -> None:
    mean = table.get(key)
    if mean is not None:
        mean.observe(held_us)
        table.move_to_end(key)
        return
    table[key] = RunningMean(mean_us=held_us, mean_deviation_us=held_us / 2, recent_max_us=held_us)
    if len(table) > max_entries:
        table.popitem(last=False)
