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
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        expiry: SessionExpiry,
        commands: CommandDispatcher,
        server_registry: ServerRegistry,
        seat_leases: SeatLeaseManager,
        notifier: ClientNotifier,
    ) -> None:
        self.context = context
        self.policy = policy
        self.lifecycle = lifecycle
        self.expiry = expiry
        self.commands = commands
        self.server_registry = server_registry
        self.seat_leases = seat_leases
        self.notifier = notifier
        self.close_listeners: tuple[Callable[[Session], None], ...] = ()
        self.handlers: Mapping[SessionAction, Callable[[Session], None]] = {
            SessionAction.SEND_JOIN: self._keep_prepared_step,
            SessionAction.ANSWER_PLAYING: self._respond_playing,
            SessionAction.ANSWER_THROTTLED: self._count_rejected,
            SessionAction.ANSWER_TERMINATED: self._count_failed,
            SessionAction.ANSWER_STOPPED: self._respond_shutting_down,
            SessionAction.TELL_STARTED: self._on_established,
            SessionAction.TELL_FAILED: self._on_attempt_failed,
            SessionAction.TELL_FINISHED: self._on_finished,
            SessionAction.TELL_LOST: self._on_server_lost,
            SessionAction.TELL_GONE: self._on_client_gone,
            SessionAction.RELEASE_BOX: self._release_at_server,
            SessionAction.FORGET: self.close,
        }

    def _keep_prepared_step(self, session: Session) -> None:
        """The step itself is what the door takes."""

    def _respond_playing(self, session: Session) -> None:
        session.step = SessionResponse(ResponseKind.PLAYING, "")
        self.context.tally("playing")

    def _count_rejected(self, session: Session) -> None:
        self.context.tally("throttled")

    def _count_failed(self, session: Session) -> None:
        self.context.tally("terminated")

    def _respond_shutting_down(self, session: Session) -> None:
        policy_session = self.policy.sessions.get(session.id)
        if policy_session is not None and self.policy.may_reject(policy_session):
            # The time to come back is the one that the module would name.
            wait_us = self.policy.settings.retry_after_us or 0
            session.step = SessionResponse(ResponseKind.THROTTLED, "this front is stopping", wait_us)
            self.context.tally("throttled")
        else:
            session.step = SessionResponse(
                ResponseKind.FAILED, "this front is stopping and the join may have run"
            )
            self.context.tally("terminated")

    def _on_established(self, session: Session) -> None:
        now_us = self.context.now_us()
        end, place = session.last_result, session.pending_target
        assert end is not None and place is not None
        session.home, session.pending_target, session.rung = place, None, session.pending_rung
        self.policy.handle(SessionStarted(place.policy_id, place.policy_attempt, end.duration_us), now_us)
        session.established_us = now_us
        self.expiry.begin(session.id, now_us)
        self.server_registry.on_session_established(session)
        self.seat_leases.on_session_established(session)
        if end.hints is not None:
            self.server_registry.forward_hints(session, end.hints)
            if end.hints.most_kbit is not None:
                top = load_signals.highest_rung(session.rates_kb, end.hints.most_kbit, session.floor)
                if top < session.top:
                    self.set_top_rung(session, top)

    def set_top_rung(self, session: Session, top: int) -> None:
        """The viewer's best rung is another."""
        session.top = top
        self.notifier.on_rung_changed(session)
        if session.home is not None and not session.adrift:
            self.policy.handle(TopRungChanged(session.home.policy_id, top), self.context.now_us())

    def _on_attempt_failed(self, session: Session) -> None:
        assert session.last_result is not None and session.pending_target is not None
        place, session.pending_target = session.pending_target, None
        self.lifecycle.report_attempt(place, session.last_result, False)

    def _on_finished(self, session: Session) -> None:
        place = session.home or session.pending_target
        assert session.last_result is not None and place is not None
        self.lifecycle.report_attempt(place, session.last_result, True)

    def _on_server_lost(self, session: Session) -> None:
        session.close_reason = session.close_reason or "its box was lost"
        self.context.tally("lost")
        if session.home is not None and not session.adrift:
            self.lifecycle.report_attempt(session.home, AttemptResult(Outcome.CONNECTION_LOST, None, 0), True)

    def _on_client_gone(self, session: Session) -> None:
        self.policy.handle(ClientGone(session.id), self.context.now_us())

    def _release_at_server(self, session: Session) -> None:
        place = session.home or session.pending_target
        if session.may_be_held_by_server and place is not None and not session.adrift:
            self.commands.send(place, session, None)

    def close(self, session: Session) -> None:
        """Hold nothing of it any more."""
        for over in self.close_listeners:
            over(session)
