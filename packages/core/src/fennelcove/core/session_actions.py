"""Carries out the actions of the session transition table; the core's lock guards it."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.context import CoreContext
from fennelcove.core.requests import AttemptResult, ResponseKind, Session, SessionResponse
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.server_reports import ServerReports
from fennelcove.core.session_lifecycle import ActionHandlers, SessionLifecycle
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.session_lifecycle import SessionAction
from fennelcove.decisions.servers import load_signals
from fennelcove.decisions.servers.load_signals import ServerHints
from fennelcove.interface import ClientGone, Outcome, SessionStarted, TopRungChanged
from fennelcove.placement import PlacementPolicy

CloseListener = Callable[[Session], None]
"""Receives a session that has been closed."""


class SessionActions:
    """The action handlers of one front's sessions.

    Attributes:
        handlers: what carries out each action.
        close_listeners: receive each closed session, in this order.
    """

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
        reports: ServerReports,
        close_listeners: tuple[CloseListener, ...],
    ) -> None:
        self.context = context
        self.policy = policy
        self.lifecycle = lifecycle
        self.expiry = expiry
        self.commands = commands
        self.server_registry = server_registry
        self.seat_leases = seat_leases
        self.notifier = notifier
        self.reports = reports
        self.close_listeners = close_listeners
        self.handlers: ActionHandlers = {
            SessionAction.SEND_JOIN: self._keep_step,
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

    def _keep_step(self, session: Session) -> None:
        """The attempt is the session's next step already; whoever runs the request takes it."""

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
            # The same time to retry after as the policy would give.
            retry_after_us = self.policy.settings.retry_after_us or 0
            session.step = SessionResponse(ResponseKind.THROTTLED, "this front is stopping", retry_after_us)
            self._count_rejected(session)
        else:
            session.step = SessionResponse(
                ResponseKind.FAILED, "this front is stopping and the join may have run"
            )
            self._count_failed(session)

    def _on_established(self, session: Session) -> None:
        now_us = self.context.now_us()
        result = session.required_result()
        target = session.play_at_pending_target()
        started = SessionStarted(target.policy_id, target.policy_attempt, result.duration_us)
        self.policy.handle(started, now_us)
        session.established_us = now_us
        self.expiry.begin(session.id, now_us)
        self.server_registry.on_session_established(session)
        self.seat_leases.on_session_established(session)
        if result.hints is not None:
            self._apply_server_hints(session, result.hints)

    def _apply_server_hints(self, session: Session, hints: ServerHints) -> None:
        self.reports.forward_hints(session, hints)
        if hints.most_kbit is None:
            return
        top_rung = load_signals.highest_rung(session.rates_kb, hints.most_kbit, session.floor)
        if top_rung < session.top:
            self.set_top_rung(session, top_rung)

    def set_top_rung(self, session: Session, top_rung: int) -> None:
        """Change the highest rung of an established session; notifies client and policy."""
        session.top = top_rung
        self.notifier.on_rung_changed(session)
        if session.home is not None and not session.adrift:
            self.policy.handle(TopRungChanged(session.home.policy_id, top_rung), self.context.now_us())

    def _on_attempt_failed(self, session: Session) -> None:
        result = session.required_result()
        self.lifecycle.report_attempt(session.take_pending_target(), result, is_finished=False)

    def _on_finished(self, session: Session) -> None:
        result = session.required_result()
        target = session.home or session.required_pending_target()
        self.lifecycle.report_attempt(target, result, is_finished=True)

    def _on_server_lost(self, session: Session) -> None:
        session.close_reason = session.close_reason or "its box was lost"
        self.context.tally("lost")
        if session.home is not None and not session.adrift:
            lost = AttemptResult(Outcome.CONNECTION_LOST, None, 0)
            self.lifecycle.report_attempt(session.home, lost, is_finished=True)

    def _on_client_gone(self, session: Session) -> None:
        self.policy.handle(ClientGone(session.id), self.context.now_us())

    def _release_at_server(self, session: Session) -> None:
        target = session.home or session.pending_target
        if session.may_be_held_by_server and target is not None and not session.adrift:
            self.commands.send(target, session, None)

    def close(self, session: Session) -> None:
        """Remove every trace of a session, part by part."""
        for on_session_closed in self.close_listeners:
            on_session_closed(session)
