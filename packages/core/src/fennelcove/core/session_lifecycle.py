"""The core's table of subscriptions and how one moves on; the core's lock is round all of it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import AttemptResult, AttemptTarget, Session
from fennelcove.decisions.servers import load_signals
from fennelcove.decisions.clients import session_lifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionAction, SessionEvent, SessionState
from fennelcove.interface import AttemptCompleted
from fennelcove.placement import PlacementPolicy

MAX_CLOSE_REASONS = 10_000  # ended subscriptions of which the reason is still told


class SessionLifecycle:
    """What this front holds, by its own ids and by the module's. Attach `acts` before the first cue: they
    reach every part, and every part reaches this table."""

    def __init__(self, context: CoreContext, policy: PlacementPolicy) -> None:
        self.context = context
        self.policy = policy
        self.held: dict[str, Session] = {}
        self.by_module: dict[str, Session] = {}  # the module calls a subscription that moves by another id
        self.close_reasons: OrderedDict[str, str] = OrderedDict()
        self.actions: Mapping[SessionAction, Callable[[Session], None]] = {}

    def add(self, session: Session) -> None:
        """A subscription is held from now on."""
        self.held[session.id] = self.by_module[session.id] = session

    def playing(self, id: str) -> Session | None:
        """The subscription of that id, where it plays."""
        session = self.held.get(id)
        return session if session is not None and session.state is SessionState.PLAYING else None

    def apply(self, session: Session, event: SessionEvent) -> None:
        """Move a subscription on by the table, and do what follows."""
        session.state, acts = session_lifecycle.transition(session.state, event)
        for act in acts:
            self.actions[act](session)

    def release(self, id: str, why: str) -> bool:
        """End what plays; False where nothing does."""
        with self.context.lock:
            session = self.playing(id)
            if session is None:
                return False
            session.close_reason = why
            self.apply(session, SessionEvent.RELEASED)
            return True

    def report_attempt(self, place: AttemptTarget, end: AttemptResult, finished: bool) -> None:
        """The module hears how a join ended."""
        report = load_signals.load_report(end.hints) if end.hints is not None and not finished else None
        event = AttemptCompleted(place.policy_id, place.policy_attempt, end.outcome, finished, report)
        self.policy.handle(event, self.context.now_us())
        if finished:
            self.by_module.pop(place.policy_id, None)

    def remove(self, session: Session) -> None:
        """A subscription is held no more."""
        self.held.pop(session.id, None)
        self.by_module.pop(session.id, None)

    def remember_close_reason(self, session: Session) -> None:
        """Why it ended can still be asked for a while."""
        if session.close_reason:
            self.close_reasons[session.id] = session.close_reason
            if len(self.close_reasons) > MAX_CLOSE_REASONS:
                self.close_reasons.popitem(last=False)
