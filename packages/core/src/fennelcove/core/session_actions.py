"""The core's part that carries out what the table of subscriptions says; the core's lock is round it."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.context import CoreContext
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import ResponseKind, SessionResponse, AttemptResult, Session
from fennelcove.decisions.servers import load_signals
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.session_lifecycle import SessionAction
from fennelcove.interface import ClientGone, Outcome, SessionStarted, TopRungChanged
from fennelcove.placement import PlacementPolicy


class SessionActions:
    """The acts of one front. Attach `over`: who hears of an end, in that order."""

    def __init__(
        self,
        context: CoreContext,
        front: PlacementPolicy,
        lifecycle: SessionLifecycle,
        presence: SessionExpiry,
        orders: CommandDispatcher,
        book: ServerRegistry,
        seats: SeatLeaseManager,
        pushes: ClientNotifier,
    ) -> None:
        self.context = context
        self.front = front
        self.lifecycle = lifecycle
        self.presence = presence
        self.orders = orders
        self.book = book
        self.seats = seats
        self.pushes = pushes
        self.over: tuple[Callable[[Session], None], ...] = ()
        self.acts: Mapping[SessionAction, Callable[[Session], None]] = {
            SessionAction.SEND_JOIN: self._send_attempt,
            SessionAction.ANSWER_PLAYING: self._answer_playing,
            SessionAction.ANSWER_THROTTLED: self._answer_rejected,
            SessionAction.ANSWER_TERMINATED: self._answer_failed,
            SessionAction.ANSWER_STOPPED: self._answer_stopped,
            SessionAction.TELL_STARTED: self._tell_started,
            SessionAction.TELL_FAILED: self._tell_failed,
            SessionAction.TELL_FINISHED: self._tell_finished,
            SessionAction.TELL_LOST: self._tell_lost,
            SessionAction.TELL_GONE: self._tell_gone,
            SessionAction.RELEASE_BOX: self._release_server,
            SessionAction.FORGET: self.forget,
        }

    def _send_attempt(self, session: Session) -> None:
        """The step itself is what the door takes."""

    def _answer_playing(self, session: Session) -> None:
        session.step = SessionResponse(ResponseKind.PLAYING, "")
        self.context.tally("playing")

    def _answer_rejected(self, session: Session) -> None:
        self.context.tally("throttled")

    def _answer_failed(self, session: Session) -> None:
        self.context.tally("terminated")

    def _answer_stopped(self, session: Session) -> None:
        policy_session = self.front.sessions.get(session.id)
        if policy_session is not None and self.front.may_reject(policy_session):
            # The time to come back is the one that the module would name.
            wait_us = self.front.settings.retry_after_us or 0
            session.step = SessionResponse(ResponseKind.THROTTLED, "this front is stopping", wait_us)
            self.context.tally("throttled")
        else:
            session.step = SessionResponse(
                ResponseKind.TERMINATED, "this front is stopping and the join may have run"
            )
            self.context.tally("terminated")

    def _tell_started(self, session: Session) -> None:
        now_us = self.context.now_us()
        end, place = session.end, session.out
        assert end is not None and place is not None
        session.home, session.out, session.rung = place, None, session.out_rung
        self.front.handle(SessionStarted(place.module_id, place.module_attempt, end.took_us), now_us)
        session.playing_since_us = now_us
        self.presence.begin(session.id, now_us)
        self.book.plays(session)
        self.seats.plays(session)
        if end.says is not None:
            self.book.notes(session, end.says)
            if end.says.most_kbit is not None:
                top = load_signals.highest_rung(session.rates_kb, end.says.most_kbit, session.floor)
                if top < session.top:
                    self.tell_top(session, top)

    def tell_top(self, session: Session, top: int) -> None:
        """The viewer's best rung is another."""
        session.top = top
        self.pushes.rung(session)
        if session.home is not None and not session.adrift:
            self.front.handle(TopRungChanged(session.home.module_id, top), self.context.now_us())

    def _tell_failed(self, session: Session) -> None:
        assert session.end is not None and session.out is not None
        place, session.out = session.out, None
        self.lifecycle.tell_end(place, session.end, False)

    def _tell_finished(self, session: Session) -> None:
        place = session.home or session.out
        assert session.end is not None and place is not None
        self.lifecycle.tell_end(place, session.end, True)

    def _tell_lost(self, session: Session) -> None:
        session.ended_because = session.ended_because or "its box was lost"
        self.context.tally("lost")
        if session.home is not None and not session.adrift:
            self.lifecycle.tell_end(session.home, AttemptResult(Outcome.CONNECTION_LOST, None, 0), True)

    def _tell_gone(self, session: Session) -> None:
        self.front.handle(ClientGone(session.id), self.context.now_us())

    def _release_server(self, session: Session) -> None:
        place = session.home or session.out
        if session.server_may_hold and place is not None and not session.adrift:
            self.orders.tell(place, session, None)

    def forget(self, session: Session) -> None:
        """Hold nothing of it any more."""
        for over in self.over:
            over(session)
