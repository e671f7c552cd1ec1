"""Admits set-up requests, and sends answers that do not depend on the placement policy."""

from __future__ import annotations

from fennelcove.interface import ClientGone, Request
from fennelcove.node import session_states
from fennelcove.node.deadlines import Deadlines
from fennelcove.node.model import Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.node.session_guard import SessionGuard
from fennelcove.node.session_states import SessionActions, SessionEvent

MAX_SESSIONS = 10_000  # of one node, in all states
MAX_DESCRIPTION_BYTES = 16_777_216  # of all set-up requests without an answer together
ANSWER_GRACE_US = 20_000  # after a client's timeout for an answer of the policy; the platform allows 50 ms


class SessionAdmission:
    """Ensures that each set-up request is answered in time or at shutdown; used with the node's lock held."""

    def __init__(
        self, context: NodeContext, deadlines: Deadlines, guard: SessionGuard, actions: SessionActions
    ) -> None:
        """Admit requests until `shut_down`."""
        self._guard = guard
        self._context = context
        self._deadlines = deadlines
        self._actions = actions
        self._is_shut_down = False

    def has_capacity_for(self, description: bytes) -> bool:
        """Whether the node may hold another session, with this description until it is answered."""
        if len(self._context.sessions) >= MAX_SESSIONS:
            return False
        return self._context.description_bytes + len(description) <= MAX_DESCRIPTION_BYTES

    def admit(self, session: Session, request: Request) -> None:
        """Register a session, and pass its validated set-up request to the policy."""
        if not self._guard.may_start(session):
            return  # the open session with the same id is answered
        self._context.sessions[session.id] = session
        self._context.description_bytes += len(session.description)
        if session.client is not None:
            session.client.open_sessions[session] = None
        if self._is_shut_down:
            self._answer_at_shutdown(session)  # the process ends before a server could answer
        elif self._deadlines.add(session, request.timeout_us + ANSWER_GRACE_US):
            self._actions.notify_policy(request)
        else:
            session_states.apply_event(self._actions, session, SessionEvent.REJECTED)

    def answer_overdue(self) -> None:
        """Answer requests that the policy has not answered in time, for example because of a fault in it."""
        for id in self._deadlines.take_passed():
            session = self._context.sessions.get(id)
            if session is None:
                continue
            if session_states.apply_event(self._actions, session, SessionEvent.ABORTED):
                transitions = self._context.metrics.transitions_of(session.id)
                self._context.logger(
                    "answered_late", id=session.key, attempts=session.attempts, transitions=transitions
                )

    def shut_down(self) -> int:
        """Answer all open requests, and from now on each new one immediately.

        Returns:
            How many requests were answered.
        """
        self._is_shut_down = True
        # Pending sessions first: the capacity freed by an ended attempt would let the policy attempt them.
        sessions = sorted(
            self._context.sessions.values(), key=lambda session: session.state is SessionState.ATTEMPTING
        )
        return sum(self._answer_at_shutdown(session) for session in sessions)

    def _answer_at_shutdown(self, session: Session) -> bool:
        """Reject a request that was never sent to a server, so that a retry is safe; fail any other."""
        if session.state is not SessionState.PENDING or session.attempts:
            return session_states.apply_event(self._actions, session, SessionEvent.ABORTED)
        session.retry_after_us = self._context.config.settings.retry_after_us or 0
        session_states.apply_event(self._actions, session, SessionEvent.REJECTED)
        self._actions.notify_policy(ClientGone(session.key))
        return True
