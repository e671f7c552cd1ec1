"""Admission of set-up requests, and the answers that are sent without the placement policy."""

from __future__ import annotations

from fennelcove.interface import ClientGone, Request
from fennelcove.node import session_states
from fennelcove.node.deadlines import Deadlines
from fennelcove.node.model import Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.node.session_guard import SessionGuard
from fennelcove.node.session_states import SessionActions, SessionEvent

ANSWER_GRACE_US = 20_000  # past a client's timeout the policy may still answer, of 50 ms that are allowed


class SessionAdmission:
    """Answers each set-up request in time, at the latest at shutdown; used with the node's lock held."""

    def __init__(
        self, context: NodeContext, deadlines: Deadlines, guard: SessionGuard, actions: SessionActions
    ) -> None:
        """Admit requests until `shut_down`."""
        self._guard = guard
        self._context = context
        self._deadlines = deadlines
        self._actions = actions
        self._is_shut_down = False

    def admit(self, session: Session, request: Request) -> None:
        """Register a session, and pass its valid set-up request to the policy."""
        if not self._guard.may_start(session):
            return  # its connection gets the answer of the one that is open
        self._context.sessions[session.id] = session
        if session.client is not None:
            session.client.open_sessions[session] = None
        if self._is_shut_down:
            self._answer_at_shutdown(session)  # the process is gone before a server could answer
        elif self._deadlines.add(session, request.timeout_us + ANSWER_GRACE_US):
            self._actions.notify_policy(request)
        else:
            session_states.apply_event(self._actions, session, SessionEvent.REJECTED)

    def answer_overdue(self) -> None:
        """Answer requests that the policy has not answered in time, as after a fault of its own."""
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
        """Answer all requests that are still unanswered, and from now on each one at once.

        Returns:
            How many were answered.
        """
        self._is_shut_down = True
        # Pending ones go first: the capacity that an ended attempt leaves would let the policy attempt them.
        sessions = sorted(
            self._context.sessions.values(), key=lambda session: session.state is SessionState.ATTEMPTING
        )
        return sum(self._answer_at_shutdown(session) for session in sessions)

    def _answer_at_shutdown(self, session: Session) -> bool:
        """Reject what was never sent to a server, which is harmless to retry; fail any other."""
        if session.state is not SessionState.PENDING or session.attempts:
            return session_states.apply_event(self._actions, session, SessionEvent.ABORTED)
        session.retry_after_us = self._context.config.settings.retry_after_us or 0
        session_states.apply_event(self._actions, session, SessionEvent.REJECTED)
        self._actions.notify_policy(ClientGone(session.key))
        return True
