"""The invariants of a session: checked at its start, attempts, answer, release and connection's close.

Each step that could lose a request or execute it twice is checked first. A violation is prevented or made
harmless, counted, and logged with the session's transitions; in a correct node there are none.
"""

from __future__ import annotations

from enum import Enum

from fennelcove.interface import Effect, ServerState
from fennelcove.node.metrics import Metric
from fennelcove.node.model import ClientLink, Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.placement import PlacementPolicy


class Invariant(Enum):
    """The invariants; their values are written to the log and the metrics."""

    STARTED_ONCE = "started_once"  # a set-up does not replace an open one with the same id
    SENT_WHILE_OPEN = "sent_while_open"  # no set-up is sent after its request was answered or cancelled
    ONE_ATTEMPT = "one_attempt"  # only one attempt is in flight, and none is sent twice
    SERVER_LISTED = "server_listed"  # no set-up is sent to a server that drains or is off the list
    REPEATED_WITH_PROOF = "repeated_with_proof"  # a single-shot set-up is repeated only if never executed
    REJECTED_WITH_PROOF = "rejected_with_proof"  # a retry of it is called safe only then
    ANSWERED_ONCE = "answered_once"
    ANSWERED_BEFORE_CLOSE = "answered_before_close"  # the node closes no connection with an unanswered set-up
    RELEASE_KEPT = "release_kept"  # a session's release is sent or queued, never dropped


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

        After its client's timeout it may not, which is no violation: the connection opened as the timeout
        passed, while the timer that ends the attempt still waits for the lock.
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
        """Whether the answer may state that a retry is safe."""
        is_safe = not (session.may_have_run and self._is_single_shot(session))
        return self._require(Invariant.REJECTED_WITH_PROOF, session, holds=is_safe)

    def check_close(self, client: ClientLink) -> None:
        """Check that every set-up request on a connection that the node closes has been answered."""
        for session in client.open_sessions:
            self._require(Invariant.ANSWERED_BEFORE_CLOSE, session, holds=False)

    def check_release(self, session: Session, *, is_queued: bool) -> None:
        """Check that a release that could not be sent is queued for the client's next connection."""
        self._require(Invariant.RELEASE_KEPT, session, holds=is_queued)

    def _is_single_shot(self, session: Session) -> bool:
        service_class = self._context.config.settings.service_classes.get(session.service_class)
        return service_class is not None and service_class.effect is Effect.SINGLE_SHOT

    def _require(self, invariant: Invariant, session: Session, *, holds: bool) -> bool:
        """Return `holds`; if it is False, count the violation and log the 1st, 2nd, 4th, 8th and so on."""
        if not holds:
            metrics = self._context.metrics
            metrics.count(Metric.VIOLATION, invariant.value)
            if metrics.counts[Metric.VIOLATION][invariant.value].bit_count() == 1:
                transitions = metrics.transitions_of(session.id)
                self._context.logger(
                    "invariant_violated", invariant=invariant.value, id=session.key, transitions=transitions
                )
        return holds
