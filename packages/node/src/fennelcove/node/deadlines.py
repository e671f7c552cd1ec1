"""Deadlines of the answers to set-up requests, in order and with one timer for all of them."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.node.model import Session

# A timer set for longer would outlive the requests that it was set for: client timeouts reach an hour.
MAX_TIMER_US = 1_000_000


class Deadlines:
    """Answer deadlines of one node; used with its lock held."""

    def __init__(self, clock: Clock, timers: Timers, on_timer: Callable[[], None]) -> None:
        """Create an empty queue; `on_timer` is called when a deadline may have passed."""
        self.clock = clock
        self.timers = timers
        self.on_timer = on_timer
        # Tuples for the sake of bisection: the deadline in microseconds, and the session's id.
        self.entries: list[tuple[int, bytes]] = []
        self.timer_at_us: int | None = None  # when the timer falls due, where one is set

    def add(self, session: Session, after_us: int) -> bool:
        """Set a session's deadline; False where no timer can be had, and with it no certain answer."""
        session.answer_deadline_us = self.clock.now_us() + after_us
        if not self._ensure_timer(session.answer_deadline_us):
            return False
        insort(self.entries, (session.answer_deadline_us, session.id))
        return True

    def drop(self, session: Session) -> None:
        """Remove a session that is answered or closed; without effect where it has no deadline."""
        entry = (session.answer_deadline_us, session.id)
        index = bisect_left(self.entries, entry)
        if index < len(self.entries) and self.entries[index] == entry:
            del self.entries[index]

    def take_passed(self) -> list[bytes]:
        """Remove and return the ids of the sessions whose deadline has passed, and set the next timer."""
        now_us = self.clock.now_us()
        if self.timer_at_us is not None and self.timer_at_us <= now_us:
            self.timer_at_us = None
        passed_count = bisect_left(self.entries, (now_us + 1, b""))
        passed = [id for _, id in self.entries[:passed_count]]
        del self.entries[:passed_count]
        if self.entries:
            self._ensure_timer(self.entries[0][0])
        return passed

    def _ensure_timer(self, at_us: int) -> bool:
        now_us = self.clock.now_us()
        at_us = min(at_us, now_us + MAX_TIMER_US)
        if self.timer_at_us is not None and self.timer_at_us <= at_us:
            return True
        if not self.timers.after(at_us - now_us, self.on_timer):
            return False
        self.timer_at_us = at_us
        return True
