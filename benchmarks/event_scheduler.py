"""A discrete-event scheduler for simulations: calls run in the order of their simulated times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Callback = Callable[[], None]


class EventScheduler:
    """Scheduled calls, the earliest first; calls at the same time run in the order they were scheduled in."""

    def __init__(self, now_us: int = 0) -> None:
        self.now_us = now_us
        self.order = count()
        self.scheduled: list[tuple[int, int, Callback]] = []

    def at(self, time_us: int, call: Callback) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self.scheduled, (time_us, next(self.order), call))

    def after(self, us: float, call: Callback) -> None:
        """Schedule a call `us` microseconds from now."""
        self.at(self.now_us + round(us), call)

    def run(self, end_us: int) -> None:
        """Run all calls that are due before `end_us`."""
        while self.scheduled and self.scheduled[0][0] < end_us:
            self.now_us, _, call = heapq.heappop(self.scheduled)
            call()
