"""Expiry of silent sessions, whose clients have neither polled nor released them within a time-out."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

POLLS_PER_TIMEOUT = 3  # a session expires after this number of missed polls in a row


@dataclass(slots=True, eq=False)
class ExpiryEntry:
    """The last activity of one established session; times in microseconds."""

    session_id: str
    last_activity_us: int
    is_closed: bool = False


class ExpiryDeadline(NamedTuple):
    """When to check an entry again; the sequence number prevents comparisons between entries."""

    due_us: int
    sequence: int
    entry: ExpiryEntry


class SessionExpiry:
    """Finds silent sessions without examining all of them.

    A heap orders the entries by the time at which they would expire. Activity only updates the entry itself;
    the heap is corrected when the entry reaches its top.
    """

    def __init__(self, timeout_us: int) -> None:
        self.timeout_us = timeout_us
        self.entries: dict[str, ExpiryEntry] = {}
        self.deadlines: list[ExpiryDeadline] = []
        self.push_count = 0

    def add(self, session_id: str, now_us: int) -> None:
        """Add a session that has just been established."""
        entry = self.entries[session_id] = ExpiryEntry(session_id, now_us)
        self._schedule(entry)

    def on_activity(self, session_id: str, now_us: int) -> None:
        """Record activity of a session's client."""
        if session_id in self.entries:
            self.entries[session_id].last_activity_us = now_us

    def remove(self, session_id: str) -> None:
        """Remove a session that is closed."""
        entry = self.entries.pop(session_id, None)
        if entry is not None:
            entry.is_closed = True

    def _schedule(self, entry: ExpiryEntry) -> None:
        self.push_count += 1
        due_us = entry.last_activity_us + self.timeout_us
        heapq.heappush(self.deadlines, ExpiryDeadline(due_us, self.push_count, entry))

    def pop_expired(self, now_us: int) -> list[str]:
        """Remove and return the sessions that have been silent for too long."""
        expired: list[str] = []
        while self.deadlines and self.deadlines[0].due_us <= now_us:
            entry = heapq.heappop(self.deadlines).entry
            if entry.is_closed:
                continue
            if entry.last_activity_us + self.timeout_us <= now_us:
                self.remove(entry.session_id)
                expired.append(entry.session_id)
            else:
                self._schedule(entry)
        return expired

    def poll_interval_us(self) -> int:
        """How often clients should poll, so that one or two lost responses do not expire a session."""
        return max(1, self.timeout_us // POLLS_PER_TIMEOUT)
