"""Counters of a node's events by reason, and the latest transitions of its sessions.

Both are bounded: counters by the enumerations that they count, transitions by a ring buffer. If the counters
have changed they are logged, at most every ten seconds. A session's transitions are logged if it was answered
late or violates an invariant.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum

from fennelcove.clock import Clock
from fennelcove.node.log import EventLogger

REPORT_INTERVAL_US = 10_000_000
MAX_TRANSITIONS = 2_048  # of all sessions together
SLOW_EVENT_US = 50_000  # the tolerance of the platform's time limits


class Metric(Enum):
    """The counters; each occurrence is counted under a reason."""

    ANSWER = "answers"  # by status
    UNDELIVERED_ANSWER = "undelivered_answers"  # by status; the client had closed its connection
    ATTEMPT = "attempts"  # by outcome; the session's outcome if the attempt established it
    CLIENT_CONNECTION_CLOSED = "client_connections_closed"  # by reason
    SERVER_CONNECTION_CLOSED = "server_connections_closed"  # by state and outcome of a set-up in flight
    RELEASE_DEFERRED = "releases_deferred"  # by party, client or server; no connection to it was open
    MESSAGE_DROPPED = "messages_dropped"  # by `DropReason`; a server never got a release or a rung
    SLOW_EVENT = "slow_events"  # by thread; an event held the lock for longer than `SLOW_EVENT_US`
    VIOLATION = "violations"  # by invariant
    DISCOVERY_POLL = "discovery_polls"  # by `PollFailure`; polls answered in time are not counted


class DropReason(Enum):
    """Why a message for a server without a connection was dropped; the values are reasons of a metric."""

    EXPIRED = "expired"  # no connection came up within its time to live
    LIMIT = "limit"  # too many messages waited for this server


class PollFailure(Enum):
    """Why a poll of discovery was not answered in time; the values are reasons of a metric."""

    UNREACHABLE = "unreachable"  # no connection, or it ended before the complete response
    OVERDUE = "overdue"  # no complete response in time
    ANSWERED_LATE = "answered_late"  # of the overdue ones, those whose response arrived in the end
    INVALID = "invalid"  # a complete response that can't be applied


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
        """Start with all counters at zero."""
        self._clock = clock
        self._logger = logger
        self.counts: dict[Metric, Counter[str]] = {metric: Counter() for metric in Metric}
        self.max_event_us = 0  # the longest duration for which one event has held the lock
        self._transitions: deque[RecordedTransition] = deque(maxlen=MAX_TRANSITIONS)
        self._reported_us = clock.now_us()
        self._reported_total = 0

    def count(self, metric: Metric, reason: str) -> None:
        """Count one occurrence under a reason."""
        self.counts[metric][reason] += 1

    def record_transition(self, session: bytes, event: str, state: str) -> None:
        """Record a session's transition to a state, caused by an event."""
        self._transitions.append(RecordedTransition(self._clock.now_us(), session, event, state))

    def transitions_of(self, session: bytes) -> list[str]:
        """The recorded transitions of one session, oldest first, with their times relative to now."""
        now_us = self._clock.now_us()
        return [
            f"{(each.at_us - now_us) // 1000} ms: {each.event} -> {each.state}"
            for each in self._transitions
            if each.session == session
        ]

    def record_duration(self, thread: str, duration_us: int) -> bool:
        """Record how long a thread has held the lock for one event.

        Returns:
            Whether to log it: of the slow ones on a thread, the 1st, 2nd, 4th, 8th and so on.
        """
        self.max_event_us = max(self.max_event_us, duration_us)
        if duration_us < SLOW_EVENT_US:
            return False
        self.count(Metric.SLOW_EVENT, thread)
        return self.counts[Metric.SLOW_EVENT][thread].bit_count() == 1

    def log_slow_event(self, thread: str, duration_us: int) -> None:
        """Log a slow event; called after the lock was released."""
        self._logger("event_handled_slowly", thread=thread, duration_us=duration_us)

    def report(self) -> None:
        """Log the counters if they have changed and the report interval has passed."""
        now_us = self._clock.now_us()
        total = sum(counter.total() for counter in self.counts.values())
        if total == self._reported_total or now_us - self._reported_us < REPORT_INTERVAL_US:
            return
        self._reported_us, self._reported_total = now_us, total
        self._logger("metrics_reported", **self.fields())

    def fields(self) -> dict[str, object]:
        """The counters as fields of a log line, without empty ones."""
        found: dict[str, object] = {
            metric.value: dict(counter) for metric, counter in self.counts.items() if counter
        }
        return found | {"max_event_us": self.max_event_us}
