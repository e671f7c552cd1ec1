"""The queue of requests that wait for a slot: which one gets the next slot, and which is rejected at once.

A request waits for a slot at any replica of its title. A slot that becomes free goes to the tenant with the
lowest start tag at that server, tenants within their fair share first; within a tenant the oldest request
goes first. Long holds never use the last slots of a server, so slow requests cannot block short ones. No
request waits longer than the configured maximum, or than its deadline allows for attempt and response.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fennelcove.fair_queueing.service_time import RequestShape, ServiceTimeEstimate
from fennelcove.fair_queueing.slot_allocator import SlotAllocator
from fennelcove.fair_queueing.virtual_time import VirtualTimeScheduler
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent, WaiterState, transition

# One slot in this many of a title's replicas is not lent while other tenants are active.
LENDING_RESERVE_DIVISOR = 4
MIN_RETRY_AFTER_US = 100_000


@dataclass(slots=True, eq=False)
class Waiter:
    """One session request that needs a slot. Times are in microseconds."""

    id: str
    tenant: int
    shape: RequestShape
    title: str
    servers: tuple[str, ...]  # the replicas of its title
    arrived_us: int
    deadline_us: int  # the client accepts no response after this
    estimate: ServiceTimeEstimate
    sequence: int = 0
    state: WaiterState = WaiterState.NEW

    def apply(self, event: WaiterEvent) -> WaiterAction:
        """Move to the next state; return the action to carry out."""
        self.state, action = transition(self.state, event)
        return action


@dataclass(slots=True)
class QueueDecision:
    """What to do with a new request, and the waiting request that it evicted."""

    action: WaiterAction
    retry_after_us: int = 0  # Retry-After of a rejected request
    evicted: Waiter | None = None


class _Rank(NamedTuple):
    """Sort key of waiting requests: the lowest is granted a slot first."""

    is_over_share: bool
    start_tag: float
    sequence: int


@dataclass(slots=True)
class WaitQueue(SlotAllocator):
    """All waiting requests of one front, and its slots in use.

    The caller passes in times and holds the lock.
    """

    max_wait_us: int = 200_000
    max_waiting: int = 256
    waiting_by_tenant: dict[int, dict[str, Waiter]] = field(default_factory=dict)  # by id, the oldest first
    waiting_count: int = 0
    sequence: int = 0  # of the latest request

    def may_acquire(self, waiter: Waiter, server: str, now_us: int) -> bool:
        """Whether a request may acquire a slot at a server now."""
        return self.has_free_slot(server, waiter.estimate.is_long, now_us) and self._is_within_share(
            waiter, now_us
        )

    def request_slot(self, waiter: Waiter, now_us: int) -> QueueDecision:
        """Decide on a new request: grant a slot, let it wait, or reject it."""
        self.sequence += 1
        waiter.sequence = self.sequence
        if any(self.may_acquire(waiter, server, now_us) for server in waiter.servers):
            # This overtakes no other request: a waiting one that may use this slot would already have it.
            return QueueDecision(waiter.apply(WaiterEvent.SLOT_GRANTED))
        expected_us = self.expected_wait_us(waiter, now_us)
        retry_after_us = max(MIN_RETRY_AFTER_US, expected_us)
        if now_us + expected_us > self.wait_deadline_us(waiter):
            return QueueDecision(waiter.apply(WaiterEvent.NO_TIME), retry_after_us)
        evicted = None
        if self.waiting_count >= self.max_waiting:
            evicted = self._eviction_victim(waiter)
            if evicted is waiter:
                return QueueDecision(waiter.apply(WaiterEvent.CROWDED), retry_after_us)
            self._remove(evicted)
            evicted.apply(WaiterEvent.CROWDED)
        self.waiting_by_tenant.setdefault(waiter.tenant, {})[waiter.id] = waiter
        self.waiting_count += 1
        return QueueDecision(waiter.apply(WaiterEvent.NO_SLOT), 0, evicted)

    def wait_deadline_us(self, waiter: Waiter) -> int:
        """Return the time until which a request may wait."""
        latest_start_us = waiter.deadline_us - waiter.estimate.upper_bound_us
        return min(waiter.arrived_us + self.max_wait_us, latest_start_us)

    def expected_wait_us(self, waiter: Waiter, now_us: int) -> int:
        """Estimate the wait of a request: the work ahead of it by the tags, divided by its usable slots."""
        own_queued_us = _expected_work_us(self.waiting_by_tenant.get(waiter.tenant, {}).values())
        share = self.fair_share(waiter.servers, waiter.tenant, now_us)
        usable_slots = share.total_slots
        if waiter.estimate.is_long:
            unreserved_slots = share.total_slots - len(waiter.servers)
            usable_slots = min(unreserved_slots, max(1, int(share.fair_slots)))
        if usable_slots <= 0:
            return waiter.deadline_us - waiter.arrived_us
        work_ahead_us = min(
            (self._work_ahead_us(waiter, server, own_queued_us, now_us) for server in waiter.servers),
            default=0.0,
        )
        return round(work_ahead_us / usable_slots)

    def grant_next(self, server: str, now_us: int) -> Waiter | None:
        """Grant a free slot at a server to a waiting request, and remove it from the queue.

        Returns:
            The request to place now; None if no slot is free, or no waiting request may use it.
        """
        if not self.waiting_count or not self.has_free_slot(server, False, now_us):
            return None
        scheduler = self.scheduler(server)
        best: Waiter | None = None
        best_rank: _Rank | None = None
        for waiters in self.waiting_by_tenant.values():
            candidate = self._oldest_eligible(waiters.values(), server, now_us)
            if candidate is None:
                continue
            rank = self._rank(candidate, scheduler, now_us)
            if best_rank is None or rank < best_rank:
                best, best_rank = candidate, rank
        if best is not None:
            self._remove(best)
            best.apply(WaiterEvent.SLOT_GRANTED)
        return best

    def cancel(self, waiter: Waiter, event: WaiterEvent) -> WaiterAction:
        """Remove a request that stops waiting; no effect on the queue if it no longer waits."""
        if waiter.state is WaiterState.WAITING:
            self._remove(waiter)
        return waiter.apply(event)

    def expired(self, now_us: int) -> list[Waiter]:
        """Return the requests whose wait deadline has passed."""
        return [
            waiter
            for waiters in self.waiting_by_tenant.values()
            for waiter in waiters.values()
            if now_us >= self.wait_deadline_us(waiter)
        ]

    def retry_after_us(self, waiter: Waiter, now_us: int) -> int:
        """Return the Retry-After of a rejected request: the time until the work ahead of it is done."""
        return max(MIN_RETRY_AFTER_US, self.expected_wait_us(waiter, now_us))

    def _is_within_share(self, waiter: Waiter, now_us: int) -> bool:
        """Whether a request may use a free slot without harm to tenants that are within their share.

        The number of long holds is limited to their tenant's share of the title's replicas, but one may
        always run: a lent slot must be reclaimable within one hold, and a long hold would occupy it for too
        long. Short holds may borrow, but leave a reserve; otherwise each new request of another tenant would
        have to wait until a slot is released.
        """
        schedulers = [self.schedulers[server] for server in waiter.servers if server in self.schedulers]
        if waiter.estimate.is_long:
            long_us = self.service_times.long_threshold_us()
            long_holds = sum(each.long_hold_count(long_us, now_us, waiter.tenant) for each in schedulers)
            return long_holds < max(1.0, self.fair_share(waiter.servers, waiter.tenant, now_us).fair_slots)
        total_slots = sum(self.slot_limit(server, now_us) for server in waiter.servers)
        free_slots = total_slots - sum(each.slots_in_use for each in schedulers)
        if free_slots > total_slots // LENDING_RESERVE_DIVISOR:
            return True
        within_share = self.tenants_within_share(waiter.servers, waiter.tenant, now_us)
        # A tenant with a waiting request needs no reserve, as its tag gives it the next slot.
        return waiter.tenant in within_share or all(
            tenant in self.waiting_by_tenant for tenant in within_share
        )

    def _eviction_victim(self, newcomer: Waiter) -> Waiter:
        """Return the newest request of the tenant with the most waiting requests.

        This is the newcomer itself if it belongs to that tenant.
        """
        largest = max(
            self.waiting_by_tenant,
            key=lambda tenant: (len(self.waiting_by_tenant[tenant]), tenant == newcomer.tenant),
        )
        return (
            newcomer
            if largest == newcomer.tenant
            else next(reversed(self.waiting_by_tenant[largest].values()))
        )

    def _work_ahead_us(self, waiter: Waiter, server: str, own_queued_us: int, now_us: int) -> float:
        """Return the slot time ahead of a new request by the tags of one server."""
        scheduler = self.scheduler(server)
        own_queued_tag = own_queued_us / self.tenant_weights.weight(waiter.tenant)
        tag = scheduler.start_tag(waiter.tenant, now_us) + own_queued_tag
        work_ahead_us = float(own_queued_us)
        for tenant, waiters in self.waiting_by_tenant.items():
            if tenant == waiter.tenant:
                continue
            lead_us = (tag - scheduler.start_tag(tenant, now_us)) * self.tenant_weights.weight(tenant)
            if lead_us >= 0:
                oldest = next(iter(waiters.values()))
                queued_us = _expected_work_us(waiters.values())
                work_ahead_us += min(queued_us, lead_us + oldest.estimate.expected_us)
        return work_ahead_us

    def _oldest_eligible(self, waiters: Iterable[Waiter], server: str, now_us: int) -> Waiter | None:
        """Return the first request, of those given in order of age, that may use a slot at a server."""
        for waiter in waiters:
            if server in waiter.servers and self.may_acquire(waiter, server, now_us):
                return waiter
        return None

    def _rank(self, waiter: Waiter, scheduler: VirtualTimeScheduler, now_us: int) -> _Rank:
        is_over_share = False
        if self.reporting_front_count:  # without other fronts the tags alone suffice
            within_share = self.tenants_within_share(waiter.servers, waiter.tenant, now_us)
            is_over_share = waiter.tenant not in within_share
        return _Rank(is_over_share, scheduler.start_tag(waiter.tenant, now_us), waiter.sequence)

    def _remove(self, waiter: Waiter) -> None:
        waiters = self.waiting_by_tenant[waiter.tenant]
        del waiters[waiter.id]
        if not waiters:
            del self.waiting_by_tenant[waiter.tenant]
        self.waiting_count -= 1


def _expected_work_us(waiters: Iterable[Waiter]) -> int:
    return sum(waiter.estimate.expected_us for waiter in waiters)
