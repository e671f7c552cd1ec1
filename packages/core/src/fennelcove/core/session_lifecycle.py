"""The sessions of one front and their state transitions; the core's lock guards them."""

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
"""What carries out each action of the transition table."""


class SessionLifecycle:
    """Finds sessions by id and applies events to them. Bind the action handlers before the first event.

    Attributes:
        sessions: sessions by their id.
        by_policy_id: sessions by the id under which the policy knows them; a migration has one of its own.
        close_reasons: why the sessions closed last were closed, by session id.
    """

    def __init__(self, context: CoreContext, policy: PlacementPolicy) -> None:
        self.context = context
        self.policy = policy
        self.sessions: dict[str, Session] = {}
        self.by_policy_id: dict[str, Session] = {}
        self.close_reasons: OrderedDict[str, str] = OrderedDict()
        self._handlers: ActionHandlers = {}

    def bind(self, handlers: ActionHandlers) -> None:
        """Let these handlers carry out the actions of the transition table."""
        self._handlers = handlers

    def add(self, session: Session) -> None:
        """Add a new session."""
        self.sessions[session.id] = session
        self.by_policy_id[session.id] = session

    def find_established(self, session_id: str) -> Session | None:
        """The session of that id, if it is established."""
        session = self.sessions.get(session_id)
        is_established = session is not None and session.state is SessionState.ESTABLISHED
        return session if is_established else None

    def apply(self, session: Session, event: SessionEvent) -> None:
        """Move a session to its next state and carry out the actions of that transition."""
        session.state, actions = session_lifecycle.transition(session.state, event)
        for action in actions:
            self._handlers[action](session)

    def release(self, session_id: str, reason: str) -> bool:
        """Close an established session; False where there is none of that id."""
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
            target: where the attempt went.
            result: how it ended.
            is_finished: whether the policy has nothing more to decide about that session.
        """
        report = None
        if result.hints is not None and not is_finished:
            report = load_signals.load_report(result.hints)
        event = AttemptCompleted(target.policy_id, target.policy_attempt, result.outcome, is_finished, report)
        self.policy.handle(event, self.context.now_us())
        if is_finished:
            self.by_policy_id.pop(target.policy_id, None)

    def remove(self, session: Session) -> None:
        """Remove a closed session."""
        self.sessions.pop(session.id, None)
        self.by_policy_id.pop(session.id, None)

    def close_reason(self, session_id: str) -> str | None:
        """Why a session was closed, where that is still known."""
        with self.context.lock:
            return self.close_reasons.get(session_id)

    def record_close_reason(self, session: Session) -> None:
        """Keep the reason for a while, so that clients can still ask for it."""
        if session.close_reason:
            self.close_reasons[session.id] = session.close_reason
            if len(self.close_reasons) > MAX_CLOSE_REASONS:
                self.close_reasons.popitem(last=False)
