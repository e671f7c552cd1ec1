"""Answer deadlines of set-up requests: a sorted queue with one timer for all of them."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.node.model import Session

# Client timeouts reach an hour, and a timer set for that long would outlive the request that it was set for.
MAX_TIMER_US = 1_000_000


class Deadlines:
    """Answer deadlines of one node; used with its lock held."""

    def __init__(self, clock: Clock, timers: Timers, on_timer: Callable[[], None]) -> None:
        """Create an empty queue; `on_timer` is called when a deadline may have passed."""
        self.clock = clock
        self.timers = timers
        self.on_timer = on_timer
        # Sorted for bisection: the deadline in microseconds, and the session's id.
        self.entries: list[tuple[int, bytes]] = []
        self.timer_at_us: int | None = None  # when the timer falls due; None if none is set

    def add(self, session: Session, after_us: int) -> bool:
        """Set a session's deadline; False if no timer can be set, so that it may be missed."""
        session.answer_deadline_us = self.clock.now_us() + after_us
        if not self._ensure_timer(session.answer_deadline_us):
            return False
        insort(self.entries, (session.answer_deadline_us, session.id))
        return True

    def drop(self, session: Session) -> None:
        """Remove a session that is answered or closed; no effect if it has no deadline."""
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
