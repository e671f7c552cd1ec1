"""The core's part that moves subscriptions from box to box; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.context import CoreContext
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import AttemptResult, SendAttempt, Session
from fennelcove.decisions.servers import attempt_exchange
from fennelcove.decisions.playback import migration
from fennelcove.decisions.playback.migration import (
    MigrationAction,
    MigrationEvent,
    SessionMigration,
    MigrationTurns,
)
from fennelcove.decisions.clients.session_lifecycle import SessionEvent as SessionCue
from fennelcove.decisions.clients.session_lifecycle import SessionState
from fennelcove.interface import MigrationRequested, Outcome, ServerState, SessionStarted
from fennelcove.placement import PlacementPolicy


class MigrationSender(Protocol):
    """Who carries out the joins of moves; `send` must not wait and says whether there was room for it."""

    def send(self, step: SendAttempt) -> bool: ...


class SessionMigrations:
    """Every playing subscription's standing towards its box; `at_once` of them move. Attach `port` first."""

    def __init__(
        self,
        context: CoreContext,
        max_concurrent: int,
        grace_us: int,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        commands: CommandDispatcher,
        server_registry: ServerRegistry,
        retry_storms: RetryStormGuard,
        notifier: ClientNotifier,
    ) -> None:
        self.context = context
        self.grace_us = grace_us
        self.turns = MigrationTurns(max_concurrent, grace_us)
        self.policy = policy
        self.lifecycle = lifecycle
        self.commands = commands
        self.server_registry = server_registry
        self.retry_storms = retry_storms
        self.notifier = notifier
        self.port: MigrationSender
        self.returned: Callable[[Session, int, Outcome], None] = lambda session, attempt, outcome: None
        self.migrations: dict[str, SessionMigration] = {}
        self.drained: dict[str, int] = {}  # boxes told to drain or gone, and when
        self.gone: set[str] = set()  # those of them that have left
        self.actions: dict[MigrationAction, Callable[[Session, SessionMigration], None]] = {
            MigrationAction.QUEUE: self._queue,
            MigrationAction.ASK_MODULE: self._request_target,
            MigrationAction.SWITCH: self._switch,
            MigrationAction.TELL_FAILED: self._report_failed,
            MigrationAction.TELL_LOST: self._report_lost,
            MigrationAction.PAUSE: self._schedule_retry,
            MigrationAction.STAY: self._give_up,
            MigrationAction.END: self._close_session,
        }

    def may_tell(self, server: str) -> bool:
        """Whether a box may still hear from this front: not past the grace after it was told to drain."""
        told_us = self.drained.get(server)
        return told_us is None or self.context.now_us() - told_us < self.grace_us

    def on_list(self, now_us: int) -> None:
        """A list was taken: which boxes drain, and whose subscriptions should go."""
        servers = self.policy.servers
        for address, server in servers.items():
            if server.standing is ServerState.ACTIVE:
                if self.drained.pop(address, None) is not None:
                    self._apply_to_server(address, MigrationEvent.CALM)
                self.gone.discard(address)
            elif server.standing is ServerState.LEFT and address not in self.gone:
                self.drained.setdefault(address, now_us)
                self.gone.add(address)
                self._apply_to_server(address, MigrationEvent.GONE)
            elif address not in self.drained:
                self.drained[address] = now_us
                self._apply_to_server(address, MigrationEvent.TOLD)
        for address in [address for address in self.drained if address not in servers]:
            del self.drained[address]
            self.gone.discard(address)

    def _apply_to_server(self, address: str, event: MigrationEvent) -> None:
        server = self.server_registry.records.get(address)
        for session in list(server.sessions.values()) if server is not None else ():
            self._apply(session, event)

    def on_server_lost(self, session: Session) -> None:
        """Its box is gone with it; another may take it over where that is safe."""
        if session.state is not SessionState.PLAYING:
            return
        effect = self.policy.settings.service_classes[session.service_class].effect
        if (
            session.home is None
            or not migration.may_rescue(effect, adopted=session.ask is None)
            or session.home.policy_id not in self.policy.sessions
        ):
            self.lifecycle.apply(session, SessionCue.BOX_LOST)
            return
        self._apply(session, MigrationEvent.LOST)

    def on_session_closed(self, session: Session) -> None:
        """The subscription has ended; a join that is out elsewhere is taken back when it ends."""
        held = self.migrations.pop(session.id, None)
        if held is not None:
            if held.stage is migration.MigrationState.MAKING and not held.lost:
                self.turns.finished()
            held.apply(MigrationEvent.ENDED)

    def run_due(self) -> None:
        """Give turns; called as turns come free, and every so often."""
        with self.context.lock:
            turn, over = self.turns.take(self.context.now_us())
            for due, event in [
                *((due, MigrationEvent.TURN) for due in turn),
                *((due, MigrationEvent.TIME) for due in over),
            ]:
                session = self.lifecycle.held.get(due.id)
                if session is not None:
                    self._apply(session, event)
                elif event is MigrationEvent.TURN:
                    self.turns.finished()

    def _apply(self, session: Session, event: MigrationEvent) -> None:
        if not self.turns.at_once:
            if event is MigrationEvent.LOST:  # moves are switched off by the settings: what is lost has ended
                self.lifecycle.apply(session, SessionCue.BOX_LOST)
            return
        held = self.migrations.get(session.id)
        if held is None:
            priority_weight = self.policy.settings.service_classes[session.service_class].priority_weight
            held = self.migrations[session.id] = SessionMigration(session.id, priority_weight)
        for act in held.apply(event):
            self.actions[act](session, held)

    # What follows.

    def _queue(self, session: Session, held: SessionMigration) -> None:
        self.turns.add(held, self.context.now_us())
        self.context.timers.after(0, self.run_due)

    def _request_target(self, session: Session, held: SessionMigration) -> None:
        assert session.home is not None
        session.migration_count += 1
        module_id = f"{session.id}~{session.migration_count}"
        self.lifecycle.by_module[module_id] = session
        self.context.tally("moves_tried")
        timeout_us = max(1, self.grace_us)
        self.policy.handle(
            MigrationRequested(session.home.policy_id, module_id, timeout_us), self.context.now_us()
        )

    def send_attempt(self, step: SendAttempt) -> None:
        """The module names a second home: the join goes to the movers."""
        if not self.port.send(step):
            # The core is inside the module's own step: it hears of the end a moment later.
            end = AttemptResult(Outcome.NOT_SENT, None, 0)
            self.context.timers.after(0, lambda: self.on_attempt_completed(step, end))

    def on_attempt_refused(self, session: Session, module_id: str) -> None:
        """The module finds no place now."""
        self.lifecycle.by_module.pop(module_id, None)
        session.pending_target = None
        held = self.migrations.get(session.id)
        if held is not None and not held.lost:
            self.turns.finished()
        self._apply(session, MigrationEvent.REFUSED)

    def on_attempt_completed(self, step: SendAttempt, end: AttemptResult) -> None:
        """A join of a move has ended."""
        with self.context.lock:
            session = step.session
            out = session.pending_target
            self.context.tally(f"move_joins_{end.outcome.value}")
            self.retry_storms.on_attempt_completed(session, step.server, end.outcome, self.context.now_us())
            self.returned(session, step.attempt, end.outcome)
            held = self.migrations.get(session.id)
            mine = out is not None and out.attempt == step.attempt
            if held is None or not mine or held.stage is not migration.MigrationState.MAKING:
                # It ended meanwhile: whatever the box began is for nobody.
                if attempt_exchange.may_need_release(end.outcome):
                    self.commands.send_to(step.server, session.id, step.attempt, None)
                if out is not None and mine:
                    session.pending_target = None
                    self.lifecycle.report_attempt(out, end, True)
                return
            session.last_result = end
            if end.outcome is Outcome.SERVED:
                self._apply(session, MigrationEvent.MADE)
            else:
                if attempt_exchange.may_need_release(end.outcome):
                    self.commands.send_to(step.server, session.id, step.attempt, None)
                self._apply(session, MigrationEvent.FAILED)

    def _switch(self, session: Session, held: SessionMigration) -> None:
        old, new, end = session.home, session.pending_target, session.last_result
        assert old is not None and new is not None and end is not None
        now_us = self.context.now_us()
        if not session.adrift:
            self.turns.finished()
        self.server_registry.on_session_closed(session)
        session.home, session.pending_target, session.rung = new, None, session.pending_rung
        self.policy.handle(SessionStarted(new.policy_id, new.policy_attempt, end.duration_us), now_us)
        session.established_us = now_us
        if not session.adrift:
            self.lifecycle.report_attempt(old, AttemptResult(Outcome.SERVED, None, 0), True)
            self.commands.send(old, session, None)
        session.adrift = False
        self.server_registry.on_session_established(session)
        if end.hints is not None:
            self.server_registry.forward_hints(session, end.hints)
        self.notifier.on_migrated(session)
        self.context.tally("moves_made")
        self.context.notice(
            "subscription_moved",
            subscription=session.id,
            from_box=old.server,
            box=new.server,
            rung=session.rung,
            waited_ms=(now_us - held.since_us) / 1000 if held.since_us else 0.0,
        )
        self.context.timers.after(0, self.run_due)

    def _report_failed(self, session: Session, held: SessionMigration) -> None:
        assert session.last_result is not None and session.pending_target is not None
        place, session.pending_target = session.pending_target, None
        self.lifecycle.report_attempt(place, session.last_result, False)

    def _report_lost(self, session: Session, held: SessionMigration) -> None:
        if session.state is not SessionState.PLAYING or session.home is None or session.adrift:
            return
        self.server_registry.on_session_closed(session)
        session.adrift = True
        self.context.tally("adrift")
        self.lifecycle.report_attempt(session.home, AttemptResult(Outcome.CONNECTION_LOST, None, 0), True)

    def _schedule_retry(self, session: Session, held: SessionMigration) -> None:
        self.turns.put_back(held, self.context.now_us())
        self.context.timers.after(migration.RETRY_US, self.run_due)

    def _give_up(self, session: Session, held: SessionMigration) -> None:
        self.context.tally("moves_given_up")
        self.context.notice("move_given_up", subscription=session.id, box=session.server)

    def _close_session(self, session: Session, held: SessionMigration) -> None:
        what = "was lost" if held.lost else "has left"
        session.close_reason = f"its box {what}, and no other may take it"
        self.lifecycle.apply(session, SessionCue.BOX_LOST)
