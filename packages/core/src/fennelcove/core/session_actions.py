"""Executes the actions of the session transition table; the caller holds the core's lock."""

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
"""Called with a session that has been closed."""


class SessionActions:
    """The action handlers of a front's sessions.

    Attributes:
        handlers: The handler of each action.
        close_listeners: Called with each closed session, in this order.
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
            SessionAction.SEND_ATTEMPT: self._on_attempt_ready,
            SessionAction.RESPOND_ESTABLISHED: self._respond_established,
            SessionAction.RESPOND_REJECTED: self._count_rejected,
            SessionAction.RESPOND_FAILED: self._count_failed,
            SessionAction.RESPOND_STOPPED: self._respond_shutting_down,
            SessionAction.NOTIFY_POLICY_SERVED: self._on_established,
            SessionAction.NOTIFY_POLICY_ATTEMPT_FAILED: self._on_attempt_failed,
            SessionAction.NOTIFY_POLICY_CLOSED: self._on_finished,
            SessionAction.NOTIFY_POLICY_SERVER_LOST: self._on_server_lost,
            SessionAction.NOTIFY_POLICY_CLIENT_GONE: self._on_client_gone,
            SessionAction.RELEASE_SERVER: self._release_at_server,
            SessionAction.DISCARD: self.close,
        }

    def _on_attempt_ready(self, session: Session) -> None:
        """Do nothing: the attempt already is the session's next step."""

    def _respond_established(self, session: Session) -> None:
        session.next_step = SessionResponse(ResponseKind.PLAYING, "")
        self.context.increment("playing")

    def _count_rejected(self, session: Session) -> None:
        self.context.increment("throttled")

    def _count_failed(self, session: Session) -> None:
        self.context.increment("terminated")

    def _respond_shutting_down(self, session: Session) -> None:
        policy_session = self.policy.sessions.get(session.id)
        if policy_session is not None and self.policy.may_reject(policy_session):
            # The retry interval that the policy would give.
            retry_after_us = self.policy.settings.retry_after_us or 0
            session.next_step = SessionResponse(
                ResponseKind.REJECTED, "this front is stopping", retry_after_us
            )
            self._count_rejected(session)
        else:
            session.next_step = SessionResponse(
                ResponseKind.FAILED, "this front is stopping and the join may have run"
            )
            self._count_failed(session)

    def _on_established(self, session: Session) -> None:
        now_us = self.context.now_us()
        result = session.required_result()
        target = session.activate_pending_target()
        started = SessionStarted(target.policy_id, target.policy_attempt, result.duration_us)
        self.policy.handle(started, now_us)
        session.established_us = now_us
        self.expiry.add(session.id, now_us)
        self.server_registry.on_session_established(session)
        self.seat_leases.on_session_established(session)
        if result.hints is not None:
            self._apply_server_hints(session, result.hints)

    def _apply_server_hints(self, session: Session, hints: ServerHints) -> None:
        self.reports.forward_hints(session, hints)
        if hints.max_kbit is None:
            return
        top_rung = load_signals.highest_fitting_rung(session.rates_kb, hints.max_kbit, session.floor_rung)
        if top_rung < session.top_rung:
            self.set_top_rung(session, top_rung)

    def set_top_rung(self, session: Session, top_rung: int) -> None:
        """Change the highest rung of an established session; notify the client and the policy."""
        session.top_rung = top_rung
        self.notifier.on_rung_changed(session)
        if session.current_target is not None and not session.is_orphaned:
            self.policy.handle(
                TopRungChanged(session.current_target.policy_id, top_rung), self.context.now_us()
            )

    def _on_attempt_failed(self, session: Session) -> None:
        result = session.required_result()
        self.lifecycle.report_attempt(session.take_pending_target(), result, is_finished=False)

    def _on_finished(self, session: Session) -> None:
        result = session.required_result()
        target = session.current_target or session.required_pending_target()
        self.lifecycle.report_attempt(target, result, is_finished=True)

    def _on_server_lost(self, session: Session) -> None:
        session.close_reason = session.close_reason or "its box was lost"
        self.context.increment("lost")
        if session.current_target is not None and not session.is_orphaned:
            lost = AttemptResult(Outcome.CONNECTION_LOST, None, 0)
            self.lifecycle.report_attempt(session.current_target, lost, is_finished=True)

    def _on_client_gone(self, session: Session) -> None:
        self.policy.handle(ClientGone(session.id), self.context.now_us())

    def _release_at_server(self, session: Session) -> None:
        target = session.current_target or session.pending_target
        if session.may_exist_on_server and target is not None and not session.is_orphaned:
            self.commands.send(target, session, None)

    def close(self, session: Session) -> None:
        """Remove all state of a session by calling the close listeners."""
        for on_session_closed in self.close_listeners:
            on_session_closed(session)
