"""Who of many gets the few turns that cold boxes give: by benefit, and what the others are promised.

The module places whoever it is asked for. While turns are scarce, whoever comes first would have them, and
hasty viewers come first. Here the lesser benefits step back by as much as the greater ones need.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from math import exp

DEMAND_WINDOW_US = 2_000_000  # over which demand is counted: a viewer's pause between two tries
OVERADMISSION_FACTOR = 1.5  # times the pace is let in: not each finds its turn open
MIN_ADMITTED_FRACTION = 0.1  # of those who step back are let in all the same, so that none is shut out whole
MAX_TITLES = 1024
LEAST_WAIT_US = 1_000_000  # Retry-After counts whole seconds
MAX_RETRY_AFTER_US = 30_000_000


@dataclass(slots=True)
class TitleDemand:
    """What is asked for one title, by benefit, and what was promised to those sent away."""

    now_us: int
    requests_by_weight: dict[float, float] = field(default_factory=dict)
    promised_turns: float = 0.0

    def advance(self, now_us: int, pace: float) -> None:
        """Time passes: counts fade, promises fall due at the pace."""
        seconds = max(0, now_us - self.now_us) / 1e6
        fade = exp(-seconds * 1e6 / DEMAND_WINDOW_US)
        self.requests_by_weight = {
            priority_weight: count * fade
            for priority_weight, count in self.requests_by_weight.items()
            if count * fade > 0.01
        }
        self.promised_turns = max(0.0, self.promised_turns - pace * seconds)
        self.now_us = max(now_us, self.now_us)

    def record_request(self, priority_weight: float) -> None:
        """One more asks."""
        self.requests_by_weight[priority_weight] = self.requests_by_weight.get(priority_weight, 0.0) + 1.0

    def admitted_fraction(self, priority_weight: float, pace: float) -> float:
        """The share of those of this benefit that may be let in at a pace of set-ups a second."""
        per_s = 1e6 / DEMAND_WINDOW_US
        greater = (
            sum(count for other, count in self.requests_by_weight.items() if other > priority_weight) * per_s
        )
        own = max(self.requests_by_weight.get(priority_weight, 0.0) * per_s, 1e-9)
        return min(1.0, max(MIN_ADMITTED_FRACTION, (OVERADMISSION_FACTOR * pace - greater) / own))

    def retry_after_us(self, pace: float, most_us: int | None, draw: float) -> int:
        """When one that is sent away should come again: behind those before it, within what may be told."""
        self.promised_turns += 1.0
        longest = MAX_RETRY_AFTER_US if most_us is None else max(LEAST_WAIT_US, most_us)
        wait_us = self.promised_turns / pace * 1e6 if pace > 0 else longest
        if wait_us > longest:
            wait_us = longest * (0.5 + draw / 2)
        return max(LEAST_WAIT_US, round(wait_us))


class SlowStartAllocation:
    """One front's demands, a bounded number of titles; the one longest unasked is forgotten first."""

    def __init__(self) -> None:
        self.demands: OrderedDict[str, TitleDemand] = OrderedDict()

    def ask(
        self, title: str, priority_weight: float, pace: float, most_us: int | None, now_us: int, draw: float
    ) -> int | None:
        """One asks for a title whose holders are cold and give this front `pace` turns a second together.

        Returns:
            None where it is let in, or the wait to tell it, in microseconds.
        """
        demand = self.demands.get(title)
        if demand is None:
            demand = self.demands[title] = TitleDemand(now_us)
            if len(self.demands) > MAX_TITLES:
                self.demands.popitem(last=False)
        self.demands.move_to_end(title)
        demand.advance(now_us, pace)
        demand.record_request(priority_weight)
        if draw < demand.admitted_fraction(priority_weight, pace):
            return None
        return demand.retry_after_us(pace, most_us, draw)
