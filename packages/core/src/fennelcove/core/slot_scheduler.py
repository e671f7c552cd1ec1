"""Fair sharing of the servers' slots among tenants; callers hold the core's lock.

A set-up is queued here before the placement policy receives it. When a slot becomes free, the thread that
released it passes the set-up to the policy, which chooses a rung and one of the servers with free slots; the
waiting thread is then woken and takes its next step. No attempt is sent for a queued set-up, so it is
cancelled by removing it from the queue.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import asdict, replace

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.requests import NextStep, ResponseKind, Session, SessionResponse, WaitForSlot, Wakeup
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.slot_requests import (
    AttemptKey,
    SlotInUse,
    SlotRequest,
    WorkloadEstimator,
    established_shape,
    queued_waiters,
    server_key,
    tenant_key,
)
from fennelcove.core.slot_status import slot_status
from fennelcove.decisions.clients.session_lifecycle import SessionEvent
from fennelcove.fair_queueing.usage_gossip import WINDOW_US, UsageGossip, UsageReport
from fennelcove.fair_queueing.virtual_time import TenantWeights
from fennelcove.fair_queueing.wait_queue import WaitQueue
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent
from fennelcove.interface import Outcome, Request
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import FairQueueingSettings, Instance

__all__ = ["WINDOW_US", "SlotScheduler"]

# Outcomes whose duration is the time that a server's slot is occupied.
MEASURED_OUTCOMES = (
    Outcome.SERVED,
    Outcome.NO_ANSWER,
    Outcome.SERVER_ERROR,
    Outcome.CONNECTION_LOST,
)
REJECTION_REASONS = {
    WaiterEvent.NO_TIME: "every slot at its boxes is in use; it would be answered too late",
    WaiterEvent.CROWDED: "too many of its tenant's wait",
    WaiterEvent.STOPPED: "this front is stopping",
}


def equal_quota(slots: int, instance: Instance, server: str) -> int:
    """Return a front's equal quota of a server's slots.

    Slots that do not divide evenly go to different fronts at different servers. The quotas of unreachable
    fronts are not redistributed.
    """
    rank = (instance.index + server_key(server)) % instance.fronts
    has_extra_slot = rank < slots % instance.fronts
    return slots // instance.fronts + has_extra_slot


class SlotScheduler:
    """One front's slots.

    The owner may assign the callbacks `quota_of` (returns this front's quota of a server's slots),
    `publish_waiting_count` (called with the number of set-ups that wait for a server) and `broadcast` (sends
    a usage report to the other fronts). It calls `close_window` every `WINDOW_US`.
    """

    def __init__(
        self,
        context: CoreContext,
        settings: FairQueueingSettings,
        instance: Instance,
        catalogue: Catalogue,
        policy: PlacementPolicy,
        lifecycle: SessionLifecycle,
        new_wakeup: Callable[[], Wakeup],
    ) -> None:
        self._context = context
        self._slots_per_server = settings.slots
        self._policy = policy
        self._lifecycle = lifecycle
        self._new_wakeup = new_wakeup
        self.quota_of: Callable[[str, int], int] = lambda server, _now_us: equal_quota(
            settings.slots, instance, server
        )
        self.publish_waiting_count: Callable[[str, int], None] = lambda _server, _waiting: None
        self.broadcast: Callable[[UsageReport], None] = lambda _report: None
        self._gossip = UsageGossip(incarnation=context.wall_us() // 1000)
        weights = {tenant_key(tenant.name): tenant.weight for tenant in settings.weights}
        tenant_weights = TenantWeights(weights, settings.strangers)
        max_wait_us = round(settings.wait_ms * 1000)
        self._queue = WaitQueue(
            lambda server, now_us: self.quota_of(server, now_us),
            tenant_weights,
            max_wait_us,
            settings.waiting,
        )
        self._requests: dict[str, SlotRequest] = {}  # by session
        self._in_use: dict[AttemptKey, SlotInUse] = {}
        self._servers: dict[int, str] = {}  # by key
        self._workloads = WorkloadEstimator(self._queue, catalogue, policy)

    # Calls from the core.

    def admit(self, session: Session, request: Request) -> None:
        """Pass a set-up to the policy or queue it; either way the session gets its next step."""
        now_us = self._context.now_us()
        slot_request = self._workloads.new_request(session, request, now_us)
        waiter = slot_request.waiter
        self._requests[session.id] = slot_request
        if not waiter.servers:
            waiter.apply(WaiterEvent.SLOT_GRANTED)
            self._place(slot_request)
            return
        self._enqueue(slot_request, now_us)
        if session.next_step is None:
            slot_request.wakeup = self._new_wakeup()
            session.next_step = WaitForSlot(
                session, self._queue.wait_deadline_us(waiter), slot_request.wakeup
            )
            self._context.increment("slots_waited")
        self._publish_demand(waiter.servers)

    def waits_for_other_servers(self, session: Session) -> bool:
        """Return whether a set-up waits for busy servers, after the policy rejected those with free slots."""
        slot_request = self._requests.get(session.id)
        if slot_request is None or not slot_request.is_placing:
            return False
        now_us, waiter = self._context.now_us(), slot_request.waiter
        busy_servers = tuple(
            server for server in waiter.servers if not self._queue.may_acquire(waiter, server, now_us)
        )
        waiter.apply(WaiterEvent.NO_SERVER)
        if not busy_servers:
            return False
        retry = replace(waiter, servers=busy_servers)
        retry.apply(WaiterEvent.REQUEUED)
        if self._queue.request_slot(retry, now_us).action is not WaiterAction.WAIT:
            return False
        slot_request.waiter = retry
        return True

    def may_use_server(self, policy_session_id: str, server: str) -> bool:
        """Return whether the policy may choose a server for an attempt of a session now."""
        session = self._lifecycle.by_policy_id.get(policy_session_id)
        if session is None:
            return True
        now_us, slot_request = self._context.now_us(), self._requests.get(session.id)
        if slot_request is not None and slot_request.is_placing:
            return self._queue.may_acquire(slot_request.waiter, server, now_us)
        expected_hold = self._workloads.expected_hold(session, slot_request)
        return self._queue.has_free_slot(server, expected_hold.is_long, now_us)

    def try_acquire(self, session: Session, server: str, attempt: int) -> bool:
        """Acquire a slot for an attempt that is about to be sent; return False if none is free."""
        now_us, slot_request = self._context.now_us(), self._requests.get(session.id)
        tenant = self._workloads.tenant_of(session)
        shape = slot_request.waiter.shape if slot_request is not None else established_shape(session)
        key = AttemptKey(session.id, attempt)
        expected_hold = self._workloads.expected_hold(session, slot_request)
        if not self._queue.try_acquire(server, key, tenant, expected_hold, now_us):
            self._context.increment("slots_missed")
            return False
        self._in_use[key] = SlotInUse(server, shape, session.title, tenant)
        if slot_request is not None:
            slot_request.waiter.apply(WaiterEvent.PLACED)
        return True

    def release(self, session: Session, attempt: int, outcome: Outcome) -> None:
        """Release the slot of an attempt that has ended, if it has one."""
        key, now_us = AttemptKey(session.id, attempt), self._context.now_us()
        slot = self._in_use.pop(key, None)
        if slot is None:
            return
        hold = self._queue.release(slot.server, key, now_us)
        if hold is None:
            return
        held_us = now_us - hold.acquired_us
        if outcome in MEASURED_OUTCOMES:
            self._queue.service_times.observe(slot.shape, slot.title, slot.tenant, held_us)
        self._gossip.record_usage(server_key(slot.server), slot.tenant, held_us)
        slot_request = self._requests.get(session.id)
        if slot_request is not None:
            slot_request.waiter.apply(WaiterEvent.SLOT_RELEASED)
            if outcome is Outcome.SERVED:
                del self._requests[session.id]

    def on_set_up_ended(self, session: Session) -> None:
        """Remove the set-up of a session that is established or closed."""
        slot_request = self._requests.pop(session.id, None)
        if slot_request is not None:
            self._queue.cancel(slot_request.waiter, WaiterEvent.HUNG_UP)

    def discard(self, session: Session) -> None:
        """Remove a session's set-up and release its slots, after an error in one of its steps."""
        self.on_set_up_ended(session)
        for key in [key for key in self._in_use if key.session_id == session.id]:
            self.release(session, key.attempt, Outcome.NOT_SENT)

    def assign_free_slots(self) -> None:
        """Assign free slots to the set-ups that wait for them."""
        now_us = self._context.now_us()
        wanted = dict.fromkeys(server for waiter in queued_waiters(self._queue) for server in waiter.servers)
        for server in wanted:
            while (waiter := self._queue.grant_next(server, now_us)) is not None:
                self._place(self._requests[waiter.id])
                self._publish_demand(waiter.servers)

    def on_quota_increased(self) -> None:
        """Handle a possible increase of this front's quota at some server."""
        with self._context.lock:
            self.assign_free_slots()

    # The queue.

    def _publish_demand(self, servers: Iterable[str]) -> None:
        for server in servers:
            waiting = sum(server in waiter.servers for waiter in queued_waiters(self._queue))
            self.publish_waiting_count(server, waiting)

    def _enqueue(self, slot_request: SlotRequest, now_us: int) -> None:
        decision = self._queue.request_slot(slot_request.waiter, now_us)
        if decision.evicted is not None:
            self._reject(self._requests[decision.evicted.id], WaiterEvent.CROWDED)
        if decision.action is WaiterAction.PLACE:
            self._place(slot_request)
        elif decision.action is WaiterAction.REJECT:
            self._reject(slot_request, WaiterEvent.NO_TIME, decision.retry_after_us)

    def _place(self, slot_request: SlotRequest) -> None:
        """Let the placement policy choose a server for a set-up."""
        session, now_us = slot_request.session, self._context.now_us()
        slot_request.is_placing = True
        timeout_us = max(1, session.deadline_us - now_us)
        try:
            self._policy.handle(replace(slot_request.request, timeout_us=timeout_us), now_us)
        except Exception as error:
            if slot_request.wakeup is None:
                raise  # on the request's own thread, which handles it
            # On another request's thread, which must not fail because of this set-up.
            self._context.log_event("slot_placement_failed", subscription=session.id, reason=repr(error))
            self._policy.sessions.pop(session.id, None)
            self._reject(slot_request, WaiterEvent.NO_TIME)
        slot_request.is_placing = False
        if session.next_step is not None:
            slot_request.wake()

    def _reject(self, slot_request: SlotRequest, event: WaiterEvent, wait_us: int | None = None) -> None:
        """Reject a set-up for which no attempt was sent, with a time after which to retry."""
        session, now_us = slot_request.session, self._context.now_us()
        if wait_us is None:
            wait_us = self._queue.retry_after_us(slot_request.waiter, now_us)
        self._queue.cancel(slot_request.waiter, event)
        max_wait_us = self._policy.settings.retry_after_us
        wait_us = round(wait_us * (1 + self._context.rng.random()))
        if max_wait_us is not None:
            wait_us = min(wait_us, max_wait_us)
        self._context.increment(f"slots_refused_{event.name.lower()}")
        session.next_step = SessionResponse(ResponseKind.REJECTED, REJECTION_REASONS[event], wait_us)
        self._lifecycle.apply(session, SessionEvent.SETUP_REJECTED)
        slot_request.wake()

    # Calls from the waiting thread.

    def end_wait(self, step: WaitForSlot, event: WaiterEvent | None) -> NextStep | None:
        """End a wait and return the next step; None if the client has disconnected.

        Args:
            step: The step that made the thread wait.
            event: What ended the wait; None for its wake-up.
        """
        with self._context.lock:
            session = step.session
            slot_request = self._requests.get(session.id)
            if session.next_step is None and slot_request is not None:
                if event is WaiterEvent.HUNG_UP:
                    self._context.increment("slots_hung_up")
                    self._queue.cancel(slot_request.waiter, event)
                    self._lifecycle.apply(session, SessionEvent.SETUP_REJECTED)
                else:
                    self._reject(slot_request, event or WaiterEvent.NO_TIME)
            if slot_request is not None:
                self._publish_demand(slot_request.waiter.servers)
            next_step, session.next_step = session.next_step, None
            step.wakeup.close()
            return next_step

    # Other fronts.

    def close_window(self) -> None:
        """Close a window: send the tenants' usage to the other fronts without waiting for them."""
        with self._context.lock:
            now_us = self._context.now_us()
            self._queue.reporting_front_count = self._gossip.reporting_front_count(now_us)
            # Rebuilt from the queue, which is bounded: a separate table grew with every server ever used.
            self._servers = {server_key(server): server for server in self._queue.schedulers}
            report = self._gossip.next_report()
            self.assign_free_slots()  # other fronts' usage decays over time, which may free slots
        if report is not None:
            self.broadcast(report)

    def on_usage_report(self, sender: int, report: UsageReport) -> None:
        """Apply another front's usage report."""
        with self._context.lock:
            now_us = self._context.now_us()
            for row in self._gossip.on_report(sender, report, self._slots_per_server, now_us):
                server = self._servers.get(row.server)
                if server is not None:
                    self._queue.add_remote_usage(server, row.tenant, row.used_us, now_us)

    def status(self) -> dict[str, object]:
        """Return the figures of the `fair` section of the status JSON."""
        with self._context.lock:
            return asdict(slot_status(self._queue, self._workloads.tenant_names, self._context.now_us()))
