"""Service times of one server, collected until there are enough and compared with a recent baseline.

The baseline of a shape is the lowest median service time of the last minute, which is divided into buckets of
some seconds. Service times and baselines are separate for each shape, so that neither a change in the mix of
requests nor one slow shape among fast ones looks like an overloaded server.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import log, sqrt

from fennelcove.concurrency_limits import erlang
from fennelcove.concurrency_limits.latency_histogram import (
    ROW_SPAN_US,
    ObservedLatency,
    class_of,
    quantile_us,
)

MIN_SAMPLES = 12  # completed attempts; with fewer, measurements are not conclusive
MIN_SHAPE_SAMPLES = 4  # completed attempts of a shape; with fewer, its gradient is ignored
BUCKET_US = 6_000_000
BUCKETS = 10  # the baseline covers a minute
MEDIAN_ERROR_FACTOR = 1.25  # standard error of a median, relative to that of a mean
US_PER_S = 1e6
QUARTILE_RANGE_SIGMAS = 1.35  # interquartile range of a normal distribution, in standard deviations


@dataclass(frozen=True, slots=True)
class BaselineBucket:
    """The median service times of one bucket, by shape."""

    closed_us: int
    median_us: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class RequiredSlots:
    """The number of slots of a server that keeps waiting times short."""

    total: int  # if all shapes share the slots
    by_shape: dict[int, int]  # if each shape had slots of its own


@dataclass(slots=True)
class LatencySamples:
    """Measurements of one server since the last action, and its baseline. The caller passes in times."""

    by_shape: dict[int, ObservedLatency] = field(default_factory=dict)  # since the last action
    span_us: int = 0  # time span of the measurements in `by_shape`
    median_service_us: dict[int, float] = field(default_factory=dict)  # by shape
    current_bucket: dict[int, ObservedLatency] = field(default_factory=dict)
    bucket_opened_us: int = 0
    baselines: deque[BaselineBucket] = field(default_factory=lambda: deque(maxlen=BUCKETS))

    @property
    def completed(self) -> float:
        """Weighted number of completed attempts, answered or not."""
        return sum(latency.completed for latency in self.by_shape.values())

    @property
    def unanswered(self) -> float:
        """Weighted number of attempts that ended without an answer."""
        return sum(latency.unanswered for latency in self.by_shape.values())

    def add(self, observed: Mapping[int, ObservedLatency], now_us: int) -> None:
        """Add the measurements of one row's time span.

        Spans must not overlap, so that each attempt counts once.
        """
        self.span_us += ROW_SPAN_US
        for shape, latency in observed.items():
            self.by_shape.setdefault(shape, ObservedLatency()).add(latency)
            self.current_bucket.setdefault(shape, ObservedLatency()).add(latency)
        medians = {shape: quantile_us(latency.service_times, 0.5) for shape, latency in self.by_shape.items()}
        self.median_service_us = {shape: median for shape, median in medians.items() if median is not None}
        if self._has_first_bucket() or now_us - self.bucket_opened_us >= BUCKET_US:
            self.close_bucket(now_us)

    def _has_first_bucket(self) -> bool:
        """Whether this is the first bucket, and it has enough attempts to be closed early."""
        completed = sum(latency.completed for latency in self.current_bucket.values())
        return not self.baselines and completed >= 2 * MIN_SAMPLES

    def clear(self) -> None:
        """Discard the measurements but not the baseline."""
        self.by_shape = {}
        self.span_us = 0

    def discard_baseline(self, now_us: int) -> None:
        """Restart the baseline with the current bucket."""
        self.baselines.clear()
        self.close_bucket(now_us)

    def close_bucket(self, now_us: int) -> None:
        """Add the current bucket to the baseline, and start another."""
        while self.baselines and now_us - self.baselines[0].closed_us >= BUCKET_US * BUCKETS:
            self.baselines.popleft()
        medians_us = {}
        for shape, latency in self.current_bucket.items():
            median = quantile_us(latency.service_times, 0.5)
            if median is not None and latency.completed >= MIN_SAMPLES:
                # Compensates for noise: the lowest of ten medians is below the true median by chance alone.
                medians_us[shape] = median * (1 + median_uncertainty(latency))
        self.baselines.append(BaselineBucket(now_us, medians_us))
        self.current_bucket = {}
        self.bucket_opened_us = now_us

    def baseline_us(self, shape: int) -> float | None:
        """The lowest median service time of a shape in the baseline; None if it was not measured."""
        medians_us = [bucket.median_us[shape] for bucket in self.baselines if shape in bucket.median_us]
        return min(medians_us) if medians_us else None

    def gradient(self) -> float | None:
        """The ratio of current service times to the baseline; None if there are too few samples.

        Shapes are weighted by their completed attempts. If they were weighted by slot time, the few long
        attempts, whose median is uncertain, would outweigh all others.
        """
        total = weight = 0.0
        for shape, median_us in self.median_service_us.items():
            baseline_us = self.baseline_us(shape)
            completed = self.by_shape[shape].completed
            if baseline_us is not None and completed >= MIN_SHAPE_SAMPLES:
                total += completed * median_us / baseline_us
                weight += completed
        return total / weight if weight else None

    def uncertainty(self) -> float:
        """The relative uncertainty of the medians, weighted by completed attempts; requires at least one."""
        weighted = sum(latency.completed * median_uncertainty(latency) for latency in self.by_shape.values())
        return weighted / self.completed

    def late_share(self, max_wait_us: int) -> float:
        """The share of requests for a slot that waited longer than `max_wait_us` or got no slot."""
        requested = sum(latency.requested for latency in self.by_shape.values())
        if not requested:
            return 0.0
        first_late_class = class_of(max_wait_us)
        late = sum(_late_count(latency, first_late_class) for latency in self.by_shape.values())
        return min(1.0, late / requested)

    def required_slots(self, max_wait_us: int, max_late_share: float) -> RequiredSlots:
        """The slots with which at most `max_late_share` of the requests wait longer than `max_wait_us`."""
        span_s = self.span_us / US_PER_S
        max_wait_s = max_wait_us / US_PER_S
        used = {
            shape: latency
            for shape, latency in self.by_shape.items()
            if latency.completed and latency.requested
        }
        rates = {shape: latency.requested / span_s for shape, latency in used.items()}
        means_s = {shape: latency.mean_service_time_us / US_PER_S for shape, latency in used.items()}
        by_shape = {
            shape: erlang.required_slots(rates[shape], means_s[shape], max_wait_s, max_late_share)
            for shape in used
        }
        total_rate = sum(rates.values())
        if not total_rate:
            return RequiredSlots(0, by_shape)
        mean_s = sum(rates[shape] * means_s[shape] for shape in used) / total_rate
        total = erlang.required_slots(total_rate, mean_s, max_wait_s, max_late_share)
        return RequiredSlots(total, by_shape)


def _late_count(latency: ObservedLatency, first_late_class: int) -> float:
    late = sum(
        count for class_index, count in latency.waiting_times.items() if class_index >= first_late_class
    )
    return latency.denied + late


def median_uncertainty(latency: ObservedLatency) -> float:
    """The relative uncertainty of a median service time, from its quartiles, assuming a lognormal."""
    low_us = quantile_us(latency.service_times, 0.25)
    high_us = quantile_us(latency.service_times, 0.75)
    if not low_us or not high_us:
        return 1.0
    return MEDIAN_ERROR_FACTOR * log(high_us / low_us) / QUARTILE_RANGE_SIGMAS / sqrt(latency.completed)
