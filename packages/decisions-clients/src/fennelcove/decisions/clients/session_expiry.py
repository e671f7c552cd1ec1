"""Who still watches: a viewer that neither asks nor releases is taken to have left after a stated silence."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

ASKS_IN_SILENCE = 3  # polls that must be missed in a row


@dataclass(slots=True, eq=False)
class ExpiryEntry:
    """One playing subscription's sign of life; times in microseconds."""

    id: str
    heard_us: int
    over: bool = False


class SessionExpiry:
    """Finds the silent without looking at everybody: each watch waits in a heap for the time it would be
    due."""

    def __init__(self, silent_us: int) -> None:
        self.silent_us = silent_us
        self.watches: dict[str, ExpiryEntry] = {}
        self.due: list[tuple[int, int, ExpiryEntry]] = []
        self.count = 0

    def begin(self, id: str, now_us: int) -> None:
        """A subscription plays from now on."""
        watch = self.watches[id] = ExpiryEntry(id, now_us)
        self._push(watch)

    def hear(self, id: str, now_us: int) -> None:
        """Its viewer gave a sign of life."""
        if id in self.watches:
            self.watches[id].heard_us = now_us

    def end(self, id: str) -> None:
        """It has ended."""
        watch = self.watches.pop(id, None)
        if watch is not None:
            watch.over = True

    def _push(self, watch: ExpiryEntry) -> None:
        self.count += 1
        heapq.heappush(self.due, (watch.heard_us + self.silent_us, self.count, watch))

    def silent(self, now_us: int) -> list[str]:
        """Those that have been silent for too long, each named once."""
        found: list[str] = []
        while self.due and self.due[0][0] <= now_us:
            _, _, watch = heapq.heappop(self.due)
            if watch.over:
                continue
            if watch.heard_us + self.silent_us <= now_us:
                self.end(watch.id)
                found.append(watch.id)
            else:
                self._push(watch)
        return found

    def poll_every_us(self) -> int:
        """How often viewers are told to ask, so that one lost answer or two end nothing."""
        return max(1, self.silent_us // ASKS_IN_SILENCE)
