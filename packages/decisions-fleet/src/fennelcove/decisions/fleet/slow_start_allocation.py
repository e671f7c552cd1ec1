"""Allocation of the few session slots that servers offer in slow start: by priority weight.

The placement policy places every request that it receives, so while slots are scarce the clients that retry
fastest would get all of them. This module rejects as many requests of low priority weight as those of higher
weight need, and each rejected request gets a Retry-After later than those rejected before it. Times are in
microseconds, rates in session slots a second.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp

DEMAND_WINDOW_US = 2_000_000  # the time between two attempts of a client
OVERADMISSION_FACTOR = 1.5  # not every admitted request gets a slot
MIN_ADMITTED_FRACTION = 0.1  # of each weight, so that none starves
MAX_TITLES = 1024
MIN_RETRY_AFTER_US = 1_000_000  # Retry-After counts whole seconds
MAX_RETRY_AFTER_US = 30_000_000
NEGLIGIBLE_COUNT = 0.01
NEGLIGIBLE_RATE = 1e-9
MICROSECONDS_PER_SECOND = 1e6


@dataclass(slots=True)
class TitleDemand:
    """The demand for one title by priority weight, and the slots promised to rejected requests."""

    now_us: int
    requests_by_weight: dict[float, float] = field(default_factory=dict)  # decaying counts
    promised_slots: float = 0.0

    def advance(self, now_us: int, rate: float) -> None:
        """Advance the clock: counts decay, and promised slots are used up at the rate of slots."""
        seconds = max(0, now_us - self.now_us) / MICROSECONDS_PER_SECOND
        decay = exp(-seconds * MICROSECONDS_PER_SECOND / DEMAND_WINDOW_US)
        self.requests_by_weight = {
            weight: count * decay
            for weight, count in self.requests_by_weight.items()
            if count * decay > NEGLIGIBLE_COUNT
        }
        self.promised_slots = max(0.0, self.promised_slots - rate * seconds)
        self.now_us = max(now_us, self.now_us)

    def record_request(self, priority_weight: float) -> None:
        """Count a request."""
        self.requests_by_weight[priority_weight] = self.requests_by_weight.get(priority_weight, 0.0) + 1.0

    def admitted_fraction(self, priority_weight: float, rate: float) -> float:
        """The fraction of requests of this weight that may be admitted."""
        per_second = MICROSECONDS_PER_SECOND / DEMAND_WINDOW_US
        higher_counts = (
            count for weight, count in self.requests_by_weight.items() if weight > priority_weight
        )
        higher_rate = sum(higher_counts) * per_second
        own_rate = max(self.requests_by_weight.get(priority_weight, 0.0) * per_second, NEGLIGIBLE_RATE)
        left_over = OVERADMISSION_FACTOR * rate - higher_rate
        return min(1.0, max(MIN_ADMITTED_FRACTION, left_over / own_rate))

    def retry_after_us(self, rate: float, max_us: int | None, draw: float) -> int:
        """The Retry-After of a rejected request: later than those before it, within the limit.

        Args:
            rate: slots a second.
            max_us: the maximum Retry-After; None for the default.
            draw: a random number from 0 to 1, which spreads the requests that exceed the limit.
        """
        self.promised_slots += 1.0
        limit_us = MAX_RETRY_AFTER_US if max_us is None else max(MIN_RETRY_AFTER_US, max_us)
        wait_us: float = limit_us
        if rate > 0:
            wait_us = self.promised_slots / rate * MICROSECONDS_PER_SECOND
        if wait_us > limit_us:
            wait_us = limit_us * (0.5 + draw / 2)
        return max(MIN_RETRY_AFTER_US, round(wait_us))


class SlowStartAllocation:
    """The demand for the most recently requested titles at one front."""

    def __init__(self) -> None:
        self.demands: OrderedDict[str, TitleDemand] = OrderedDict()

    def retry_after_us(
        self, title: str, priority_weight: float, rate: float, max_us: int | None, now_us: int, draw: float
    ) -> int | None:
        """Handle a request for a title whose replicas are warming up.

        Args:
            title: the title.
            priority_weight: the weight of the request's service class.
            rate: the slots a second that all replicas together offer this front.
            max_us: the maximum Retry-After; None for the default.
            now_us: the current time.
            draw: a random number from 0 to 1.

        Returns:
            None if the request is admitted, else its Retry-After in microseconds.
        """
        demand = self._demand(title, now_us)
        demand.advance(now_us, rate)
        demand.record_request(priority_weight)
        if draw < demand.admitted_fraction(priority_weight, rate):
            return None
        return demand.retry_after_us(rate, max_us, draw)

    def _demand(self, title: str, now_us: int) -> TitleDemand:
        demand = self.demands.get(title)
        if demand is None:
            demand = self.demands[title] = TitleDemand(now_us)
            if len(self.demands) > MAX_TITLES:
                self.demands.popitem(last=False)
        self.demands.move_to_end(title)
        return demand
