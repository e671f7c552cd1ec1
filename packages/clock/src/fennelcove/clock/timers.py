"""The timers of one front: scheduled calls, and the thread that runs them."""

from __future__ import annotations

import heapq
import threading
from collections.abc import Callable

from fennelcove.clock import Clock

MAX_TIMERS = 100_000


class Timers:
    """A heap of one-time calls. `run` is called by the thread that runs them; `stop` ends it.

    `on_failure` gets the exception of a call that fails; without it, the exception ends `run`.
    """

    def __init__(self, clock: Clock, on_failure: Callable[[Exception], None] | None = None) -> None:
        self.clock = clock
        self.on_failure = on_failure
        self.due: list[tuple[int, int, Callable[[], None]]] = []  # a heap of time, sequence number and call
        self.count = 0
        self.stopped = False
        self.changed = threading.Condition()

    def after(self, delay_us: int, call: Callable[[], None]) -> bool:
        """Schedule a call after this delay; False where the bound is reached and it is not scheduled."""
        with self.changed:
            if len(self.due) >= MAX_TIMERS:
                return False
            self.count += 1
            heapq.heappush(self.due, (self.clock.now_us() + delay_us, self.count, call))
            self.changed.notify()
            return True

    def ready(self) -> list[Callable[[], None]]:
        """Remove and return the calls that are due."""
        now_us, calls = self.clock.now_us(), list[Callable[[], None]]()
        with self.changed:
            while self.due and self.due[0][0] <= now_us:
                calls.append(heapq.heappop(self.due)[2])
        return calls

    def run(self) -> None:
        """Run the calls when they are due, until `stop` is called."""
        while not self.stopped:
            for call in self.ready():
                try:
                    call()
                except Exception as error:  # a call that fails must not prevent the others
                    if self.on_failure is None:
                        raise
                    self.on_failure(error)
            with self.changed:
                if not self.stopped and (not self.due or self.due[0][0] > self.clock.now_us()):
                    wait_us = self.due[0][0] - self.clock.now_us() if self.due else 1_000_000
                    self.changed.wait(min(1.0, max(0.0, wait_us / 1e6)))

    def stop(self) -> None:
        """End `run` soon; calls that are not due by then are not made."""
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
