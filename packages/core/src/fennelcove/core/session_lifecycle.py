"""The sessions of a front and their state transitions, guarded by the core's lock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import AttemptResult, AttemptTarget, Session
from fennelcove.decisions.clients import session_lifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionAction, SessionEvent, SessionState
from fennelcove.decisions.servers import load_signals
from fennelcove.interface import AttemptCompleted
from fennelcove.placement import PlacementPolicy

MAX_CLOSE_REASONS = 10_000

ActionHandlers = Mapping[SessionAction, Callable[[Session], None]]
"""The handler of each action of the transition table."""


class SessionLifecycle:
    """Finds sessions by id and applies events to them. The action handlers must be bound before any event.

    Attributes:
        sessions: Sessions by their id.
        by_policy_id: Sessions by the policy's id; a migration has an id of its own.
        close_reasons: Why recent sessions were closed, by session id; limited to `MAX_CLOSE_REASONS`.
    """

    def __init__(self, context: CoreContext, policy: PlacementPolicy) -> None:
        self.context = context
        self.policy = policy
        self.sessions: dict[str, Session] = {}
        self.by_policy_id: dict[str, Session] = {}
        self.close_reasons: OrderedDict[str, str] = OrderedDict()
        self._handlers: ActionHandlers = {}

    def bind(self, handlers: ActionHandlers) -> None:
        """Set the handlers of the transition table's actions."""
        self._handlers = handlers

    def add(self, session: Session) -> None:
        """Add a new session."""
        self.sessions[session.id] = session
        self.by_policy_id[session.id] = session

    def find_established(self, session_id: str) -> Session | None:
        """Return the session with that id if it is established, else None."""
        session = self.sessions.get(session_id)
        is_established = session is not None and session.state is SessionState.ESTABLISHED
        return session if is_established else None

    def apply(self, session: Session, event: SessionEvent) -> None:
        """Move a session to its next state and execute the actions of the transition."""
        session.state, actions = session_lifecycle.transition(session.state, event)
        for action in actions:
            self._handlers[action](session)

    def release(self, session_id: str, reason: str) -> bool:
        """Close an established session; return False if there is none with that id."""
        with self.context.lock:
            session = self.find_established(session_id)
            if session is None:
                return False
            session.close_reason = reason
            self.apply(session, SessionEvent.RELEASED)
            return True

    def report_attempt(self, target: AttemptTarget, result: AttemptResult, *, is_finished: bool) -> None:
        """Report the result of an attempt to the policy.

        Args:
            target: The target of the attempt.
            result: How it ended.
            is_finished: Whether the policy has no more decisions to make about the session.
        """
        report = None
        if result.hints is not None and not is_finished:
            report = load_signals.load_report(result.hints)
        event = AttemptCompleted(target.policy_id, target.policy_attempt, result.outcome, is_finished, report)
        self.policy.handle(event, self.context.now_us())
        if is_finished:
            self.by_policy_id.pop(target.policy_id, None)

    def remove(self, session: Session) -> None:
        """Remove a closed session from the tables."""
        self.sessions.pop(session.id, None)
        self.by_policy_id.pop(session.id, None)

    def close_reason(self, session_id: str) -> str | None:
        """Return why a session was closed, or None if that is no longer known."""
        with self.context.lock:
            return self.close_reasons.get(session_id)

    def record_close_reason(self, session: Session) -> None:
        """Store why a session was closed, for clients that ask later; the oldest reasons are evicted."""
        if session.close_reason:
            self.close_reasons[session.id] = session.close_reason
            if len(self.close_reasons) > MAX_CLOSE_REASONS:
                self.close_reasons.popitem(last=False)
