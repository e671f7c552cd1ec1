"""Counts of what a node does and why, and the latest transitions of its sessions.

Both are bounded: counts by the enumerations they count, transitions by a ring. A log line reports the counts
every ten seconds in which they have changed; a session's transitions are logged where it was answered late or
one of its invariants is broken.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum

from fennelcove.clock import Clock
from fennelcove.node.log import EventLogger

REPORT_INTERVAL_US = 10_000_000
MAX_TRANSITIONS = 2_048  # of all sessions together
SLOW_EVENT_US = 50_000  # the time limits of the platform have this much tolerance


class Metric(Enum):
    """What is counted; each count has a reason beside it."""

    ANSWER = "answers"  # by status
    UNDELIVERED_ANSWER = "undelivered_answers"  # by status; the client had closed its connection
    ATTEMPT = "attempts"  # by outcome; that of the session for one that was established
    CLIENT_CONNECTION_CLOSED = "client_connections_closed"  # by reason
    SERVER_CONNECTION_CLOSED = "server_connections_closed"  # by the outcome of a set-up in flight
    RELEASE_DEFERRED = "releases_deferred"  # by party; no connection to it was open
    SLOW_EVENT = "slow_events"  # by thread; an event held the lock for longer than `SLOW_EVENT_US`
    VIOLATION = "violations"  # by invariant


@dataclass(frozen=True, slots=True)
class RecordedTransition:
    """One transition of a session."""

    at_us: int
    session: bytes
    event: str
    state: str


class NodeMetrics:
    """Metrics of one node; used with its lock held."""

    def __init__(self, clock: Clock, logger: EventLogger) -> None:
        """Start with empty counts."""
        self._clock = clock
        self._logger = logger
        self.counts: dict[Metric, Counter[str]] = {metric: Counter() for metric in Metric}
        self.max_event_us = 0  # the longest that one event has held the lock
        self._transitions: deque[RecordedTransition] = deque(maxlen=MAX_TRANSITIONS)
        self._reported_us = clock.now_us()
        self._reported_total = 0

    def count(self, metric: Metric, reason: str) -> None:
        """Count one occurrence."""
        self.counts[metric][reason] += 1

    def record_transition(self, session: bytes, event: str, state: str) -> None:
        """Remember a session's transition to a state."""
        self._transitions.append(RecordedTransition(self._clock.now_us(), session, event, state))

    def transitions_of(self, session: bytes) -> list[str]:
        """The remembered transitions of one session, oldest first."""
        now_us = self._clock.now_us()
        return [
            f"{(each.at_us - now_us) // 1000} ms: {each.event} -> {each.state}"
            for each in self._transitions
            if each.session == session
        ]

    def record_duration(self, thread: str, duration_us: int) -> bool:
        """Record how long a thread has held the lock for one event.

        Returns:
            Whether it was so long that it is to be logged.
        """
        self.max_event_us = max(self.max_event_us, duration_us)
        if duration_us < SLOW_EVENT_US:
            return False
        self.count(Metric.SLOW_EVENT, thread)
        return self.counts[Metric.SLOW_EVENT][thread].bit_count() == 1  # the 1st, 2nd, 4th, 8th, ...

    def log_slow_event(self, thread: str, duration_us: int) -> None:
        """Log an event that has held the lock for long; the lock is not held."""
        self._logger("event_handled_slowly", thread=thread, duration_us=duration_us)

    def report(self) -> None:
        """Log the counts, if they have changed since the last report and that is long enough ago."""
        now_us = self._clock.now_us()
        total = sum(counter.total() for counter in self.counts.values())
        if total == self._reported_total or now_us - self._reported_us < REPORT_INTERVAL_US:
            return
        self._reported_us, self._reported_total = now_us, total
        self._logger("metrics_reported", **self.fields())

    def fields(self) -> dict[str, object]:
        """The counts as fields of a log line; those that are empty are left out."""
        found: dict[str, object] = {
            metric.value: dict(counter) for metric, counter in self.counts.items() if counter
        }
        return found | {"max_event_us": self.max_event_us}
