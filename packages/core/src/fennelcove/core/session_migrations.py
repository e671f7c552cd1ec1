"""Migrates established sessions between servers; the core's lock guards its state."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fennelcove.core.attempt_slots import AttemptSlots
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.context import CoreContext
from fennelcove.core.draining_servers import DrainingServers
from fennelcove.core.ports import MigrationSender
from fennelcove.core.requests import AttemptResult, AttemptTarget, SendAttempt, Session
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.server_reports import ServerReports
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionEvent, SessionState
from fennelcove.decisions.playback import migration
from fennelcove.decisions.playback.migration import (
    MigrationAction,
    MigrationEvent,
    MigrationQueue,
    MigrationState,
    SessionMigration,
)
from fennelcove.interface import MigrationRequested, Outcome, SessionStarted
from fennelcove.placement import PlacementPolicy


class SessionMigrations:
    """Migrates the sessions of servers that drain, leave or are lost.

    Attributes:
        queue: The migrations that wait for their turn; limits how many run at once.
        migrations: The migration state of each open session that has had one, by session id.
    """

    def __init__(
        self,
        context: CoreContext,
        sender: MigrationSender,
        max_concurrent: int,
        draining: DrainingServers,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        commands: CommandDispatcher,
        server_registry: ServerRegistry,
        reports: ServerReports,
        retry_storms: RetryStormGuard,
        slots: AttemptSlots,
        notifier: ClientNotifier,
    ) -> None:
        self.context = context
        self.sender = sender
        self.draining = draining
        self.queue = MigrationQueue(max_concurrent, draining.grace_us)
        self.policy = policy
        self.lifecycle = lifecycle
        self.commands = commands
        self.server_registry = server_registry
        self.reports = reports
        self.retry_storms = retry_storms
        self.slots = slots
        self.notifier = notifier
        self.migrations: dict[str, SessionMigration] = {}
        self._handlers: Mapping[MigrationAction, Callable[[Session, SessionMigration], None]] = {
            MigrationAction.ENQUEUE: self._enqueue,
            MigrationAction.SELECT_SERVER: self._request_target,
            MigrationAction.SWITCH_SERVER: self._switch_server,
            MigrationAction.REPORT_ATTEMPT_FAILED: self._report_attempt_failed,
            MigrationAction.REPORT_SERVER_LOST: self._report_server_lost,
            MigrationAction.RETRY_LATER: self._schedule_retry,
            MigrationAction.KEEP_SERVER: self._abandon,
            MigrationAction.END_SESSION: self._close_session,
        }

    def on_list(self, now_us: int) -> None:
        """Handle a new endpoint list: migrate sessions away from servers that now drain."""
        for change in self.draining.update(self.policy.servers, now_us):
            server = self.server_registry.records.get(change.address)
            sessions = list(server.sessions.values()) if server is not None else ()
            for session in sessions:
                self._apply(session, change.event)

    def on_server_lost(self, session: Session) -> None:
        """Migrate a session whose server is lost if that is safe; close it otherwise."""
        if session.state is not SessionState.ESTABLISHED:
            return
        if _may_reestablish(session, self.policy):
            self._apply(session, MigrationEvent.SERVER_LOST)
        else:
            self.lifecycle.apply(session, SessionEvent.SERVER_LOST)

    def on_session_closed(self, session: Session) -> None:
        """Remove a session's migration; a pending attempt is released at its server when it ends."""
        state = self.migrations.pop(session.id, None)
        if state is not None:
            if state.state is MigrationState.ESTABLISHING and not state.is_server_lost:
                self.queue.on_turn_finished()
            state.apply(MigrationEvent.SESSION_ENDED)

    def run_due(self) -> None:
        """Start the migrations that are due and end those past their grace period; called periodically."""
        with self.context.lock:
            started, expired = self.queue.take_ready(self.context.now_us())
            for migration_state in started:
                session = self.lifecycle.sessions.get(migration_state.session_id)
                if session is not None:
                    self._apply(session, MigrationEvent.TURN_GRANTED)
                else:
                    self.queue.on_turn_finished()
            for migration_state in expired:
                session = self.lifecycle.sessions.get(migration_state.session_id)
                if session is not None:
                    self._apply(session, MigrationEvent.GRACE_EXPIRED)

    def _apply(self, session: Session, event: MigrationEvent) -> None:
        is_disabled = not self.queue.max_concurrent
        if is_disabled:
            if event is MigrationEvent.SERVER_LOST:
                self.lifecycle.apply(session, SessionEvent.SERVER_LOST)
            return
        state = self.migrations.get(session.id)
        if state is None:
            service_class = self.policy.settings.service_classes[session.service_class]
            state = SessionMigration(session.id, service_class.priority_weight)
            self.migrations[session.id] = state
        for action in state.apply(event):
            self._handlers[action](session, state)

    # Migration attempts.

    def send_attempt(self, step: SendAttempt) -> None:
        """Send an attempt to the server that the policy has chosen."""
        if not self.sender.send(step):
            # Reported from a timer, as the policy is still handling the event that led here.
            result = AttemptResult(Outcome.NOT_SENT, None, 0)
            self.context.timers.after(0, lambda: self.on_attempt_completed(step, result))

    def on_attempt_rejected(self, session: Session, policy_id: str) -> None:
        """Handle that the policy has found no server."""
        self.lifecycle.by_policy_id.pop(policy_id, None)
        session.pending_target = None
        state = self.migrations.get(session.id)
        if state is not None and not state.is_server_lost:
            self.queue.on_turn_finished()
        self._apply(session, MigrationEvent.NO_SERVER_FOUND)

    def on_attempt_completed(self, step: SendAttempt, result: AttemptResult) -> None:
        """Handle the end of a migration attempt."""
        with self.context.lock:
            session = step.session
            pending = session.pending_target
            self.context.increment(f"move_joins_{result.outcome.value}")
            now_us = self.context.now_us()
            self.retry_storms.on_attempt_completed(session, step.server, result.outcome, now_us)
            self.slots.release(session, step.attempt, result.outcome)
            self.slots.assign_free_slots()
            target = pending if pending is not None and pending.attempt == step.attempt else None
            state = self.migrations.get(session.id)
            is_attempting = state is not None and state.state is MigrationState.ESTABLISHING
            if target is None or not is_attempting:
                self._discard_result(step, target, result)
                return
            session.last_result = result
            if result.outcome is Outcome.SERVED:
                self._apply(session, MigrationEvent.ESTABLISHED)
            else:
                self.commands.release_after(step, result.outcome)
                self._apply(session, MigrationEvent.ATTEMPT_FAILED)

    def _discard_result(self, step: SendAttempt, target: AttemptTarget | None, result: AttemptResult) -> None:
        """Release an attempt at its server whose migration ended before the attempt did."""
        self.commands.release_after(step, result.outcome)
        if target is not None:
            step.session.pending_target = None
            self.lifecycle.report_attempt(target, result, is_finished=True)

    # Actions of the transition table.

    def _enqueue(self, session: Session, state: SessionMigration) -> None:
        self.queue.add(state, self.context.now_us())
        self.context.timers.after(0, self.run_due)

    def _request_target(self, session: Session, state: SessionMigration) -> None:
        current = session.required_current_target()
        session.migration_count += 1
        policy_id = f"{session.id}~{session.migration_count}"
        self.lifecycle.by_policy_id[policy_id] = session
        self.context.increment("moves_tried")
        timeout_us = max(1, self.draining.grace_us)
        request = MigrationRequested(current.policy_id, policy_id, timeout_us)
        self.policy.handle(request, self.context.now_us())

    def _switch_server(self, session: Session, state: SessionMigration) -> None:
        old = session.required_current_target()
        result = session.required_result()
        now_us = self.context.now_us()
        if not session.is_orphaned:
            self.queue.on_turn_finished()
        self.server_registry.on_session_closed(session)
        new = session.activate_pending_target()
        started = SessionStarted(new.policy_id, new.policy_attempt, result.duration_us)
        self.policy.handle(started, now_us)
        session.established_us = now_us
        if not session.is_orphaned:
            served = AttemptResult(Outcome.SERVED, None, 0)
            self.lifecycle.report_attempt(old, served, is_finished=True)
            self.commands.send(old, session, None)
        session.is_orphaned = False
        self.server_registry.on_session_established(session)
        if result.hints is not None:
            self.reports.forward_hints(session, result.hints)
        self.notifier.on_migrated(session)
        self.context.increment("moves_made")
        self._log_migrated(session, old.server, state)
        self.context.timers.after(0, self.run_due)

    def _log_migrated(self, session: Session, old_server: str, state: SessionMigration) -> None:
        waited_us = session.established_us - state.enqueued_at_us if state.enqueued_at_us else 0
        self.context.log_event(
            "session_migrated",
            subscription=session.id,
            from_box=old_server,
            box=session.server,
            rung=session.rung,
            waited_ms=waited_us / 1000,
        )

    def _report_attempt_failed(self, session: Session, state: SessionMigration) -> None:
        result = session.required_result()
        self.lifecycle.report_attempt(session.take_pending_target(), result, is_finished=False)

    def _report_server_lost(self, session: Session, state: SessionMigration) -> None:
        if (
            session.state is not SessionState.ESTABLISHED
            or session.current_target is None
            or session.is_orphaned
        ):
            return
        self.server_registry.on_session_closed(session)
        session.is_orphaned = True
        self.context.increment("adrift")
        lost = AttemptResult(Outcome.CONNECTION_LOST, None, 0)
        self.lifecycle.report_attempt(session.current_target, lost, is_finished=True)

    def _schedule_retry(self, session: Session, state: SessionMigration) -> None:
        self.queue.retry_later(state, self.context.now_us())
        self.context.timers.after(migration.RETRY_DELAY_US, self.run_due)

    def _abandon(self, session: Session, state: SessionMigration) -> None:
        self.context.increment("moves_given_up")
        self.context.log_event("migration_abandoned", subscription=session.id, box=session.server)

    def _close_session(self, session: Session, state: SessionMigration) -> None:
        cause = "was lost" if state.is_server_lost else "has left"
        session.close_reason = f"its box {cause}, and no other may take it"
        self.lifecycle.apply(session, SessionEvent.SERVER_LOST)


def _may_reestablish(session: Session, policy: PlacementPolicy) -> bool:
    """Return whether a session whose server is lost may be established again on another one."""
    effect = policy.settings.service_classes[session.service_class].effect
    return (
        session.current_target is not None
        and migration.may_reestablish(effect, is_adopted=session.request is None)
        and session.current_target.policy_id in policy.sessions
    )
