"""The invariants of a session: one guard for its start, attempts, answer, release and connection's end.

Each step that could lose a request or run it twice asks the guard first. A step that would break an invariant
is refused or made harmless, counted, and logged with the session's transitions: a correct node takes none.
"""

from __future__ import annotations

from enum import Enum

from fennelcove.interface import Effect, ServerState
from fennelcove.node.metrics import Metric
from fennelcove.node.model import ClientLink, Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.placement import PlacementPolicy


class Invariant(Enum):
    """What must hold; the values stand in the log and in the metrics."""

    STARTED_ONCE = "started_once"  # no set-up replaces another that is open under its id
    SENT_WHILE_OPEN = "sent_while_open"  # nothing is sent to a server after a request's answer or end
    ONE_ATTEMPT = "one_attempt"  # nor while an attempt before it is in flight
    SERVER_LISTED = "server_listed"  # nor to a server that drains or has left the list
    REPEATED_WITH_PROOF = "repeated_with_proof"  # a single-shot set-up is repeated only if it never ran
    REJECTED_WITH_PROOF = "rejected_with_proof"  # and called harmless only then
    ANSWERED_ONCE = "answered_once"
    ANSWERED_BEFORE_CLOSE = "answered_before_close"  # the node closes no connection with an open set-up
    RELEASE_KEPT = "release_kept"  # the release of a session is sent or kept, never dropped


class SessionGuard:
    """Checks the invariants; used with the node's lock held."""

    def __init__(self, context: NodeContext, policy: PlacementPolicy) -> None:
        """Check the sessions of this context."""
        self._context = context
        self._policy = policy

    def may_start(self, session: Session) -> bool:
        """Whether a set-up request may be accepted."""
        is_free = session.id not in self._context.sessions
        return self._require(Invariant.STARTED_ONCE, session, holds=is_free)

    def may_send(self, session: Session) -> bool:
        """Whether the session's current attempt may be sent to its server now.

        Past its client's timeout it may not, which breaks no invariant: its connection was made as the time
        ran out, and the timer that ends the attempt waits for the lock.
        """
        attempt = session.current_attempt
        entry = self._policy.servers.get(attempt.server.name)
        is_open = session.state is SessionState.ATTEMPTING and not session.is_answered
        deadline_us = session.answer_deadline_us
        is_in_time = not deadline_us or self._context.clock.now_us() <= deadline_us
        is_listed = entry is not None and entry.state is ServerState.ACTIVE
        is_repeatable = not (session.may_have_run and self._is_single_shot(session))
        return (
            is_in_time
            and self._require(Invariant.SENT_WHILE_OPEN, session, holds=is_open)
            and self._require(Invariant.ONE_ATTEMPT, session, holds=not attempt.is_sent)
            and self._require(Invariant.SERVER_LISTED, session, holds=is_listed)
            and self._require(Invariant.REPEATED_WITH_PROOF, session, holds=is_repeatable)
        )

    def may_answer(self, session: Session) -> bool:
        """Whether the set-up request may be answered."""
        return self._require(Invariant.ANSWERED_ONCE, session, holds=not session.is_answered)

    def may_reject(self, session: Session) -> bool:
        """Whether the answer may call a retry harmless."""
        is_safe = not (session.may_have_run and self._is_single_shot(session))
        return self._require(Invariant.REJECTED_WITH_PROOF, session, holds=is_safe)

    def check_close(self, client: ClientLink) -> None:
        """Check that the node closes a connection only once its set-ups are answered."""
        for session in client.open_sessions:
            self._require(Invariant.ANSWERED_BEFORE_CLOSE, session, holds=False)

    def check_release(self, session: Session, *, is_queued: bool) -> None:
        """Check that a release which could not be sent is kept for the client's next connection."""
        self._require(Invariant.RELEASE_KEPT, session, holds=is_queued)

    def _is_single_shot(self, session: Session) -> bool:
        service_class = self._context.config.settings.service_classes.get(session.service_class)
        return service_class is not None and service_class.effect is Effect.SINGLE_SHOT

    def _require(self, invariant: Invariant, session: Session, *, holds: bool) -> bool:
        """Count and log a broken invariant."""
        if not holds:
            metrics = self._context.metrics
            metrics.count(Metric.VIOLATION, invariant.value)
            if metrics.counts[Metric.VIOLATION][invariant.value].bit_count() == 1:  # the 1st, 2nd, 4th, ...
                transitions = metrics.transitions_of(session.id)
                self._context.logger(
                    "invariant_violated", invariant=invariant.value, id=session.key, transitions=transitions
                )
        return holds
