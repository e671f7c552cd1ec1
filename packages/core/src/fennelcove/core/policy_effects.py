"""Executes the decisions of the placement policy; callers of the policy hold the core's lock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fennelcove.core.attempt_slots import AttemptSlots
from fennelcove.core.client_notifier import ClientNotifier
from fennelcove.core.command_queue import CommandDispatcher
from fennelcove.core.context import CoreContext
from fennelcove.core.ports import EndpointListSource
from fennelcove.core.probe_coordinator import ProbeCoordinator
from fennelcove.core.requests import (
    AttemptTarget,
    ResponseKind,
    SendAttempt,
    Session,
    SessionResponse,
)
from fennelcove.core.retry_storm_guard import RetryStormGuard
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.session_migrations import SessionMigrations
from fennelcove.decisions.clients.session_lifecycle import SessionEvent, SessionState
from fennelcove.interface import PeerMessage, TimerFired
from fennelcove.placement import PlacementPolicy

NOT_SENT_US = -1
"""`Session.attempt_sent_us` of a blocked attempt."""

RetryBudget = Callable[[], bool]
"""Takes one retry from the budget; returns False if the budget is exhausted."""


@dataclass(frozen=True, slots=True)
class EffectTargets:
    """The components that the effects act on; created after the policy, which they depend on."""

    policy: PlacementPolicy
    lifecycle: SessionLifecycle
    commands: CommandDispatcher
    probes: ProbeCoordinator
    notifier: ClientNotifier
    migrations: SessionMigrations
    retry_storms: RetryStormGuard
    slots: AttemptSlots
    endpoint_list: EndpointListSource


class PolicyEffects:
    """Implements `fennelcove.interface.Effects`. The targets must be bound before any event."""

    def __init__(self, context: CoreContext) -> None:
        self.context = context
        self._targets: EffectTargets
        self._retry_budget: RetryBudget | None = None

    def bind(self, targets: EffectTargets) -> None:
        """Set the components that the effects act on."""
        self._targets = targets

    def set_retry_budget(self, budget: RetryBudget) -> None:
        """Limit retries to this budget."""
        self._retry_budget = budget

    def start_attempt(self, id: str, server: str, allow_us: int) -> None:
        """Send an attempt of a session to a server, with a timeout of `allow_us`."""
        targets = self._targets
        session = targets.lifecycle.by_policy_id[id]
        policy_attempt = len(targets.policy.sessions[id].attempts) - 1
        target = AttemptTarget(server, session.attempt_count, id, policy_attempt)
        session.pending_target = target
        session.attempt_count += 1
        self.context.increment("joins")
        is_blocked = not self._may_send(session, target)
        now_us = self.context.now_us()
        session.attempt_sent_us = NOT_SENT_US if is_blocked else now_us
        if session.current_target is not None:
            targets.migrations.send_attempt(_send_attempt(session, target, allow_us, is_blocked=is_blocked))
            return
        timeout_us = max(1, min(allow_us, session.deadline_us - now_us))
        session.next_step = _send_attempt(session, target, timeout_us, is_blocked=is_blocked)
        targets.lifecycle.apply(session, SessionEvent.ATTEMPT_STARTED)

    def _may_send(self, session: Session, target: AttemptTarget) -> bool:
        """Acquire retry budget, server limit and slot in this order; return False if one is exhausted."""
        is_retry = session.attempt_count > 1
        if is_retry and self._retry_budget is not None and not self._retry_budget():
            return False
        if not self._targets.retry_storms.try_start_set_up(target.server):
            return False
        return self._targets.slots.acquire(session, target.server, target.attempt)

    def set_rung(self, id: str, rung: int) -> None:
        """Set the rung of a session, or that of its pending attempt if the id is a migration's."""
        session = self._targets.lifecycle.by_policy_id[id]
        if session.current_target is None or session.current_target.policy_id != id:
            session.pending_rung = rung
            return
        has_changed = session.rung != rung
        session.rung = rung
        if session.state is not SessionState.ESTABLISHED:
            return
        if has_changed:
            self._targets.notifier.on_rung_changed(session)
        if not session.is_orphaned:
            self._targets.commands.send(session.current_target, session, rung)

    def reject(self, id: str, wait_us: int) -> None:
        """Reject a session for which there is no server; its client may retry after `wait_us`."""
        targets = self._targets
        session = targets.lifecycle.by_policy_id[id]
        if session.current_target is not None:
            targets.migrations.on_attempt_rejected(session, id)
            return
        if targets.slots.is_waiting(session):
            return
        reason = "no further holder may be tried" if session.attempt_count else "no holder has room"
        session.next_step = targets.retry_storms.reject(session, reason, wait_us)
        targets.lifecycle.apply(session, SessionEvent.SETUP_REJECTED)

    def fail(self, id: str) -> None:
        """Fail a session whose attempt may have taken effect and must not be repeated."""
        session = self._targets.lifecycle.by_policy_id[id]
        if session.current_target is not None:
            self._targets.migrations.on_attempt_rejected(session, id)
            return
        session.next_step = SessionResponse(
            ResponseKind.FAILED, "a join may have run and must not be repeated"
        )
        self._targets.lifecycle.apply(session, SessionEvent.SETUP_FAILED)

    def migrate(self, id: str) -> None:
        """Log that the policy suggests migrating a session."""
        self.context.log_event("migration_suggested", subscription=id)

    def probe(self, server: str) -> None:
        """Request a server's load."""
        self._targets.probes.probe(server)

    def send_peer_message(self, front: int, message: PeerMessage) -> None:
        """Send a message to another front; it may be lost."""
        self._targets.probes.send_peer_message(front, message)

    def set_timer(self, name: int, delay_us: int) -> None:
        """Send the policy a timer event after a delay."""
        self.context.timers.after(delay_us, lambda: self._on_timer(name))

    def _on_timer(self, name: int) -> None:
        with self.context.lock:
            self._targets.policy.handle(TimerFired(name), self.context.now_us())
            self._targets.probes.wake_waiting()

    def watch_list(self) -> None:
        """Keep a stream of the endpoint list open."""
        self._targets.endpoint_list.watch()

    def fetch_list(self) -> None:
        """Request the endpoint list once."""
        self._targets.endpoint_list.fetch()


def _send_attempt(
    session: Session, target: AttemptTarget, timeout_us: int, *, is_blocked: bool
) -> SendAttempt:
    return SendAttempt(session, target.attempt, target.server, session.pending_rung, timeout_us, is_blocked)
