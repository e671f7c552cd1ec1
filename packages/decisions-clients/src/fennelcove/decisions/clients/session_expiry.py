"""Who still watches: a viewer that neither asks nor releases is taken to have left after a stated silence."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

POLLS_PER_TIMEOUT = 3  # polls that must be missed in a row


@dataclass(slots=True, eq=False)
class ExpiryEntry:
    """One playing subscription's sign of life; times in microseconds."""

    session_id: str
    last_activity_us: int
    is_closed: bool = False


class SessionExpiry:
    """Finds the silent without looking at everybody: each watch waits in a heap for the time it would be
    due."""

    def __init__(self, silent_us: int) -> None:
        self.silent_us = silent_us
        self.entries: dict[str, ExpiryEntry] = {}
        self.deadlines: list[tuple[int, int, ExpiryEntry]] = []
        self.push_count = 0

    def begin(self, id: str, now_us: int) -> None:
        """A subscription plays from now on."""
        watch = self.entries[id] = ExpiryEntry(id, now_us)
        self._schedule(watch)

    def hear(self, id: str, now_us: int) -> None:
        """Its viewer gave a sign of life."""
        if id in self.entries:
            self.entries[id].last_activity_us = now_us

    def end(self, id: str) -> None:
        """It has ended."""
        watch = self.entries.pop(id, None)
        if watch is not None:
            watch.is_closed = True

    def _schedule(self, watch: ExpiryEntry) -> None:
        self.push_count += 1
        heapq.heappush(self.deadlines, (watch.last_activity_us + self.silent_us, self.push_count, watch))

    def silent(self, now_us: int) -> list[str]:
        """Those that have been silent for too long, each named once."""
        found: list[str] = []
        while self.deadlines and self.deadlines[0][0] <= now_us:
            _, _, watch = heapq.heappop(self.deadlines)
            if watch.is_closed:
                continue
            if watch.last_activity_us + self.silent_us <= now_us:
                self.end(watch.session_id)
                found.append(watch.session_id)
            else:
                self._schedule(watch)
        return found

    def poll_every_us(self) -> int:
        """How often viewers are told to ask, so that one lost answer or two end nothing."""
        return max(1, self.silent_us // POLLS_PER_TIMEOUT)
