"""By when each set-up that is open must have its answer: in order, and with one timer for them all."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

from fennelcove.clock import Clock
from fennelcove.clock.timers import Timers
from fennelcove.node.model import Session

LOOK_US = 1_000_000  # a timer set for longer would outlive what it was set for: client timeouts reach an hour


class Deadlines:
    """Those of one node; its lock is held."""

    def __init__(self, clock: Clock, timers: Timers, due: Callable[[], None]) -> None:
        self.clock = clock
        self.timers = timers
        self.due = due  # called when one may have come
        self.order: list[tuple[int, bytes]] = []
        self.look_at_us: int | None = None  # when the timer falls due, where one is set

    def add(self, session: Session, after_us: int) -> bool:
        """False where no timer can be had, and with it no certain answer."""
        session.answer_by_us = self.clock.now_us() + after_us
        if not self._look(session.answer_by_us):
            return False
        insort(self.order, (session.answer_by_us, session.id))
        return True

    def drop(self, session: Session) -> None:
        """It has its answer, or wants none."""
        entry = (session.answer_by_us, session.id)
        at = bisect_left(self.order, entry)
        if at < len(self.order) and self.order[at] == entry:
            del self.order[at]

    def passed(self) -> list[bytes]:
        """Take out those that have come, and look again for the next."""
        now_us = self.clock.now_us()
        if self.look_at_us is not None and self.look_at_us <= now_us:
            self.look_at_us = None
        at = bisect_left(self.order, (now_us + 1, b""))
        found, self.order[:at] = [id for _, id in self.order[:at]], []
        if self.order:
            self._look(self.order[0][0])
        return found

    def _look(self, at_us: int) -> bool:
        now_us = self.clock.now_us()
        at_us = min(at_us, now_us + LOOK_US)
        if self.look_at_us is not None and self.look_at_us <= at_us:
            return True
        if not self.timers.after(at_us - now_us, self.due):
            return False
        self.look_at_us = at_us
        return True
