"""A clock of its own for simulations: calls in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Call = Callable[[], None]


class Events:
    """What is due, earliest first; of two at one time the one planned first."""

    def __init__(self, now_us: int = 0) -> None:
        self.now_us = now_us
        self.order = count()
        self.due: list[tuple[int, int, Call]] = []

    def at(self, time_us: int, call: Call) -> None:
        heapq.heappush(self.due, (time_us, next(self.order), call))

    def after(self, us: float, call: Call) -> None:
        self.at(self.now_us + round(us), call)

    def run(self, end_us: int) -> None:
        while self.due and self.due[0][0] < end_us:
            self.now_us, _, call = heapq.heappop(self.due)
            call()
