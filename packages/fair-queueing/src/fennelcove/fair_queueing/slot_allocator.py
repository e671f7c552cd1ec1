"""The slots of one front at all servers: how many are free, which tenants use them, and their fair shares."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelcove.fair_queueing.service_time import ServiceTimeEstimate, ServiceTimeEstimator
from fennelcove.fair_queueing.virtual_time import SlotHold, TenantWeights, VirtualTimeScheduler

LONG_HOLD_RESERVE_DIVISOR = 4  # one slot in this many, and at least one, is never used for a long hold
MAX_SERVERS = 4096  # with a scheduler; the oldest one without a slot in use is evicted


@dataclass(frozen=True, slots=True)
class SlotShare:
    """A tenant's fair share of the slots at some servers."""

    fair_slots: float
    total_slots: int


@dataclass(slots=True)
class SlotAllocator:
    """Slots in use and tenant accounts by server. The caller passes in times and holds the lock."""

    slot_limit: Callable[[str, int], int]  # this front's number of slots, by server and time
    tenant_weights: TenantWeights = field(default_factory=TenantWeights)
    service_times: ServiceTimeEstimator = field(default_factory=ServiceTimeEstimator, kw_only=True)
    schedulers: dict[str, VirtualTimeScheduler] = field(default_factory=dict, kw_only=True)
    reporting_front_count: int = field(default=0, kw_only=True)  # other fronts that reported recently

    def scheduler(self, server: str) -> VirtualTimeScheduler:
        """Return the scheduler of a server; create it if there is none."""
        scheduler = self.schedulers.get(server)
        if scheduler is None:
            if len(self.schedulers) >= MAX_SERVERS:
                self._evict_idle_scheduler()
            scheduler = self.schedulers[server] = VirtualTimeScheduler(self.tenant_weights)
        return scheduler

    def set_tenant_weights(self, weights: TenantWeights) -> None:
        """Use other weights from now on; earlier charges do not change."""
        self.tenant_weights = weights
        for scheduler in self.schedulers.values():
            scheduler.tenant_weights = weights

    def has_free_slot(self, server: str, is_long: bool, now_us: int) -> bool:
        """Whether a hold of this kind could start at a server now, for any tenant."""
        slots = self.slot_limit(server, now_us)
        scheduler = self.schedulers.get(server)
        slots_in_use = 0 if scheduler is None else scheduler.slots_in_use
        if slots_in_use >= slots:
            return False
        if not is_long:
            return True
        long_holds = (
            0
            if scheduler is None
            else scheduler.long_hold_count(self.service_times.long_threshold_us(), now_us)
        )
        return long_holds < slots - reserved_slots(slots)

    def try_acquire(
        self, server: str, key: tuple[str, int], tenant: int, estimate: ServiceTimeEstimate, now_us: int
    ) -> bool:
        """Acquire a slot for an attempt; False if none is free for it."""
        if not self.has_free_slot(server, estimate.is_long, now_us):
            return False
        scheduler = self.scheduler(server)
        scheduler.acquire(key, tenant, estimate.expected_us, now_us, is_long=estimate.is_long)
        return True

    def release(self, server: str, key: tuple[str, int], now_us: int) -> SlotHold | None:
        """Release the slot of a completed attempt; None if it holds none."""
        scheduler = self.schedulers.get(server)
        return scheduler.release(key, now_us) if scheduler is not None else None

    def add_remote_usage(self, server: str, tenant: int, used_us: int, now_us: int) -> None:
        """Record slot time that other fronts granted to a tenant at a server."""
        self.scheduler(server).add_remote_usage(tenant, used_us, now_us)

    def tenants_within_share(self, servers: tuple[str, ...], tenant: int, now_us: int) -> set[int]:
        """Return which of the recently active tenants, and `tenant`, used less than their fair share.

        Usage and slots include those of all fronts that reported recently.
        """
        total_slots = 0
        used_slots = {tenant: 0.0}
        for server in servers:
            total_slots += self.slot_limit(server, now_us)
            scheduler = self.schedulers.get(server)
            if scheduler is None:
                continue
            for active in scheduler.active_tenants(now_us):
                used_slots[active] = used_slots.get(active, 0.0) + scheduler.mean_slots_used(active, now_us)
        weights = {known: self.tenant_weights.weight(known) for known in used_slots}
        slots_per_weight = total_slots * (1 + self.reporting_front_count) / sum(weights.values())
        return {known for known, used in used_slots.items() if used < slots_per_weight * weights[known]}

    def fair_share(self, servers: tuple[str, ...], tenant: int, now_us: int) -> SlotShare:
        """Return the share of a tenant in this front's slots, among the recently active tenants."""
        total_slots = 0
        weights = {tenant: self.tenant_weights.weight(tenant)}
        for server in servers:
            total_slots += self.slot_limit(server, now_us)
            scheduler = self.schedulers.get(server)
            if scheduler is None:
                continue
            for active in scheduler.active_tenants(now_us):
                weights[active] = self.tenant_weights.weight(active)
        return SlotShare(total_slots * weights[tenant] / sum(weights.values()), total_slots)

    def _evict_idle_scheduler(self) -> None:
        idle = next(
            (server for server, scheduler in self.schedulers.items() if not scheduler.slots_in_use), None
        )
        if idle is not None:
            del self.schedulers[idle]


def reserved_slots(slots: int) -> int:
    """Return how many of a server's slots no long hold may use.

    A single slot is not reserved, or a long hold could never start there.
    """
    return max(1, slots // LONG_HOLD_RESERVE_DIVISOR) if slots > 1 else 0
