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

ENDED_KEPT = 10_000  # ended subscriptions of which the reason is still told


class SessionLifecycle:
    """What this front holds, by its own ids and by the module's. Attach `acts` before the first cue: they
    reach every part, and every part reaches this table."""

    def __init__(self, context: CoreContext, front: PlacementPolicy) -> None:
        self.context = context
        self.front = front
        self.held: dict[str, Session] = {}
        self.by_module: dict[str, Session] = {}  # the module calls a subscription that moves by another id
        self.ended: OrderedDict[str, str] = OrderedDict()
        self.acts: Mapping[SessionAction, Callable[[Session], None]] = {}

    def begin(self, session: Session) -> None:
        """A subscription is held from now on."""
        self.held[session.id] = self.by_module[session.id] = session

    def playing(self, id: str) -> Session | None:
        """The subscription of that id, where it plays."""
        session = self.held.get(id)
        return session if session is not None and session.stage is SessionState.PLAYING else None

    def apply(self, session: Session, event: SessionEvent) -> None:
        """Move a subscription on by the table, and do what follows."""
        session.stage, acts = session_lifecycle.transition(session.stage, event)
        for act in acts:
            self.acts[act](session)

    def release(self, id: str, why: str) -> bool:
        """End what plays; False where nothing does."""
        with self.context.lock:
            session = self.playing(id)
            if session is None:
                return False
            session.ended_because = why
            self.apply(session, SessionEvent.RELEASED)
            return True

    def tell_end(self, place: AttemptTarget, end: AttemptResult, finished: bool) -> None:
        """The module hears how a join ended."""
        report = load_signals.load_report(end.says) if end.says is not None and not finished else None
        event = AttemptCompleted(place.module_id, place.module_attempt, end.outcome, finished, report)
        self.front.handle(event, self.context.now_us())
        if finished:
            self.by_module.pop(place.module_id, None)

    def drop(self, session: Session) -> None:
        """A subscription is held no more."""
        self.held.pop(session.id, None)
        self.by_module.pop(session.id, None)

    def remember(self, session: Session) -> None:
        """Why it ended can still be asked for a while."""
        if session.ended_because:
            self.ended[session.id] = session.ended_because
            if len(self.ended) > ENDED_KEPT:
                self.ended.popitem(last=False)
