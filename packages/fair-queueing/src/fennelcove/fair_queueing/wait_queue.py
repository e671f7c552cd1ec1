"""Who waits for a slot at a box, who has the next, and who is told at once that waiting is in vain.

A set-up waits for a slot at any box that holds its title. The slot that comes free at a box goes to the
tenant with the least tag there that is within its part, within a tenant to its oldest. Long holds never take
the last slots of a box, so that short ones pass whatever the slow ones do. Nobody waits for longer than its
join and its answer still fit in after it, nor longer than is stated.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fennelcove.fair_queueing.service_time import ServiceTimeEstimate, ServiceTimeEstimator, Shape
from fennelcove.fair_queueing.virtual_time import SlotHold, VirtualTimeScheduler, TenantTerms
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent, WaiterState, transition

LONG_HOLD_RESERVE_DIVISOR = 4  # one slot in so many, and one at least, is never given to a long hold
LENDING_RESERVE_DIVISOR = 4  # one slot in so many of a title's holders is not lent while others come
MAX_SERVERS = 4096  # with tags; the one that nobody held for longest goes
MIN_RETRY_AFTER_US = 100_000  # before one that is refused should come back


@dataclass(slots=True, eq=False)
class Waiter:
    """One set-up's wish."""

    id: str
    tenant: int
    shape: Shape
    title: str
    servers: tuple[str, ...]  # that hold its title
    arrived_us: int
    deadline_us: int  # its viewer hears nothing after this
    guess: ServiceTimeEstimate
    sequence: int = 0
    state: WaiterState = WaiterState.NEW

    def apply(self, event: WaiterEvent) -> WaiterAction:
        """Move on by the table."""
        self.state, act = transition(self.state, event)
        return act


@dataclass(slots=True)
class QueueDecision:
    """What becomes of a new wish, and of whom it pushes out."""

    act: WaiterAction
    wait_us: int = 0  # of a refusal: when to come back
    crowded: Waiter | None = None


@dataclass(slots=True)
class WaitQueue:
    """All that wait at one front, and all slots that it has out. The caller hands in times and holds the
    lock; `part` says how many slots this front has at a box now."""

    slot_limit: Callable[[str, int], int]
    terms: TenantTerms = field(default_factory=TenantTerms)
    max_wait_us: int = 200_000
    max_waiting: int = 256
    holds: ServiceTimeEstimator = field(default_factory=ServiceTimeEstimator)
    servers: dict[str, VirtualTimeScheduler] = field(default_factory=dict)
    waiting: dict[int, dict[str, Waiter]] = field(default_factory=dict)  # by tenant, the oldest first
    heard: int = 0  # other fronts whose word is young
    count: int = 0
    sequence: int = 0

    # Slots.

    def scheduler(self, server: str) -> VirtualTimeScheduler:
        """One box's tags."""
        found = self.servers.get(server)
        if found is None:
            if len(self.servers) >= MAX_SERVERS:
                idle = next((name for name, shares in self.servers.items() if not shares.out), None)
                if idle is not None:
                    del self.servers[idle]
            found = self.servers[server] = VirtualTimeScheduler(self.terms)
        return found

    def set_tenant_weights(self, terms: TenantTerms) -> None:
        """Other weights from now on; what was charged stays charged."""
        self.terms = terms
        for shares in self.servers.values():
            shares.tenant_weights = terms

    def free(self, server: str, long: bool, now_us: int) -> bool:
        """Whether a hold of this kind could begin at a box now, whosever it is."""
        part = self.slot_limit(server, now_us)
        shares = self.servers.get(server)
        if (0 if shares is None else shares.out) >= part:
            return False
        if not long:
            return True
        return (
            0 if shares is None else shares.long_hold_count(self.holds.long_us(), now_us)
        ) < part - reserved_slots(part)

    def open_to(self, waiter: Waiter, server: str, now_us: int) -> bool:
        """Whether this one could have a slot there now."""
        return self.free(server, waiter.guess.long, now_us) and self._is_within_share(waiter, now_us)

    def _is_within_share(self, waiter: Waiter, now_us: int) -> bool:
        """Long holds stay within their tenant's own part of its title's holders, and one at least: what is
        lent of others' idle parts must be won back within one hold, and a long one gives nothing back. Of
        what is lent to short ones a little stays free, or each newcomer would wait for somebody's end."""
        known = [self.servers[server] for server in waiter.servers if server in self.servers]
        if waiter.guess.long:
            long_us = self.holds.long_us()
            held = sum(shares.long_hold_count(long_us, now_us, waiter.tenant) for shares in known)
            return held < max(1.0, self._own_share(waiter, now_us)[0])
        slots = sum(self.slot_limit(server, now_us) for server in waiter.servers)
        if slots - sum(shares.out for shares in known) > slots // LENDING_RESERVE_DIVISOR:
            return True
        within = self.tenants_within_share(waiter.servers, waiter.tenant, now_us)
        # One with a wish in line needs no slot kept for it: it has the next by its tag.
        return waiter.tenant in within or all(tenant in self.waiting for tenant in within)

    def tenants_within_share(self, servers: tuple[str, ...], tenant: int, now_us: int) -> set[int]:
        """Which tenants that had slots at these boxes of late, and this one, are within their part of them,
        at all fronts that are heard."""
        slots, used = 0, {tenant: 0.0}
        for server in servers:
            slots += self.slot_limit(server, now_us)
            shares = self.servers.get(server)
            for known in shares.active(now_us) if shares is not None else ():
                assert shares is not None
                used[known] = used.get(known, 0.0) + shares.used(known, now_us)
        weights = {known: self.terms.weight(known) for known in used}
        each = slots * (1 + self.heard) / sum(weights.values())
        return {known for known, had in used.items() if had < each * weights[known]}

    def _own_share(self, waiter: Waiter, now_us: int) -> tuple[float, int]:
        """How many slots of its title's holders are its tenant's, among those that had some of late; and how
        many there are."""
        slots, weights = 0, {waiter.tenant: self.terms.weight(waiter.tenant)}
        for server in waiter.servers:
            slots += self.slot_limit(server, now_us)
            shares = self.servers.get(server)
            for tenant in shares.active(now_us) if shares is not None else ():
                weights[tenant] = self.terms.weight(tenant)
        return slots * weights[waiter.tenant] / sum(weights.values()), slots

    def take(
        self, server: str, key: tuple[str, int], tenant: int, guess: ServiceTimeEstimate, now_us: int
    ) -> bool:
        """One join is to go out; False where there is no slot for it."""
        if not self.free(server, guess.long, now_us):
            return False
        self.scheduler(server).acquire(key, tenant, guess.expected_us, guess.long, now_us)
        return True

    def give_back(self, server: str, key: tuple[str, int], now_us: int) -> SlotHold | None:
        """A join is over; None where it held no slot, or gave it back before."""
        shares = self.servers.get(server)
        return shares.release(key, now_us) if shares is not None else None

    # Waiting.

    def ask(self, waiter: Waiter, now_us: int) -> QueueDecision:
        """A set-up wants a slot."""
        self.sequence += 1
        waiter.sequence = self.sequence
        if any(self.open_to(waiter, server, now_us) for server in waiter.servers):
            # Nobody who waits could use it, or it would have it already.
            return QueueDecision(waiter.apply(WaiterEvent.TURN))
        expected_us = self.expected_wait_us(waiter, now_us)
        if now_us + expected_us > self.due_us(waiter):
            return QueueDecision(waiter.apply(WaiterEvent.NO_TIME), max(MIN_RETRY_AFTER_US, expected_us))
        crowded = None
        if self.count >= self.max_waiting:
            crowded = self._eviction_victim(waiter)
            if crowded is waiter:
                return QueueDecision(waiter.apply(WaiterEvent.CROWDED), max(MIN_RETRY_AFTER_US, expected_us))
            self._remove(crowded)
            crowded.apply(WaiterEvent.CROWDED)
        self.waiting.setdefault(waiter.tenant, {})[waiter.id] = waiter
        self.count += 1
        return QueueDecision(waiter.apply(WaiterEvent.NO_SLOT), 0, crowded)

    def _eviction_victim(self, newcomer: Waiter) -> Waiter:
        """The newest of the tenant that has most waiting: the newcomer where it is of that tenant."""
        most = max(self.waiting, key=lambda tenant: (len(self.waiting[tenant]), tenant == newcomer.tenant))
        return newcomer if most == newcomer.tenant else next(reversed(self.waiting[most].values()))

    def due_us(self, waiter: Waiter) -> int:
        """Until when it makes sense to wait."""
        return min(waiter.arrived_us + self.max_wait_us, waiter.deadline_us - waiter.guess.upper_bound_us)

    def expected_wait_us(self, waiter: Waiter, now_us: int) -> int:
        """How long it will wait: the work that goes before it by the tags, over the slots of its holders."""
        mine = sum(one.guess.expected_us for one in self.waiting.get(waiter.tenant, {}).values())
        part, slots = self._own_share(waiter, now_us)
        if waiter.guess.long:
            slots = min(slots - len(waiter.servers), max(1, int(part)))
        if slots <= 0:
            return waiter.deadline_us - waiter.arrived_us
        least = min(
            (self._work_ahead_us(waiter, server, mine, now_us) for server in waiter.servers), default=0.0
        )
        return round(least / slots)

    def _work_ahead_us(self, waiter: Waiter, server: str, mine: int, now_us: int) -> float:
        """The slot-time that goes before a newcomer by the tags of one box."""
        shares = self.scheduler(server)
        turn = shares.start_tag(waiter.tenant, now_us) + mine / self.terms.weight(waiter.tenant)
        ahead = float(mine)
        for tenant, others in self.waiting.items():
            if tenant != waiter.tenant:
                lead = (turn - shares.start_tag(tenant, now_us)) * self.terms.weight(tenant)
                if lead >= 0:
                    work = sum(one.guess.expected_us for one in others.values())
                    ahead += min(work, lead + next(iter(others.values())).guess.expected_us)
        return ahead

    def next(self, server: str, now_us: int) -> Waiter | None:
        """Who has the slot that is free at a box now; it waits no longer."""
        if not self.count or not self.free(server, False, now_us):
            return None
        shares = self.scheduler(server)
        best: tuple[bool, float, int] | None = None
        found: Waiter | None = None
        for tenant, mine in self.waiting.items():
            first = next(
                (one for one in mine.values() if server in one.servers and self.open_to(one, server, now_us)),
                None,
            )
            if first is not None:
                # By itself a front has the tags, and no need of what fades.
                over = bool(self.heard) and tenant not in self.tenants_within_share(
                    first.servers, tenant, now_us
                )
                rank = over, shares.start_tag(tenant, now_us), first.sequence
                if best is None or rank < best:
                    best, found = rank, first
        if found is not None:
            self._remove(found)
            found.apply(WaiterEvent.TURN)
        return found

    def leave(self, waiter: Waiter, event: WaiterEvent) -> WaiterAction:
        """One that waits has hung up, or waits no longer; nothing where it had its turn meanwhile."""
        if waiter.state is WaiterState.WAITING:
            self._remove(waiter)
        return waiter.apply(event)

    def expired(self, now_us: int) -> list[Waiter]:
        """Those for whom it makes no sense any more to wait."""
        return [one for mine in self.waiting.values() for one in mine.values() if now_us >= self.due_us(one)]

    def come_back_us(self, waiter: Waiter, now_us: int) -> int:
        """When one that is refused should come back: once what waits of its tenant has gone."""
        return max(MIN_RETRY_AFTER_US, self.expected_wait_us(waiter, now_us))

    def _remove(self, waiter: Waiter) -> None:
        mine = self.waiting[waiter.tenant]
        del mine[waiter.id]
        if not mine:
            del self.waiting[waiter.tenant]
        self.count -= 1

    # Other fronts.

    def advance(self, server: str, tenant: int, given_us: int, now_us: int) -> None:
        """Others gave a tenant so much slot-time at a box."""
        self.scheduler(server).add_remote_usage(tenant, given_us, now_us)


def reserved_slots(part: int) -> int:
    """Of so many slots, how many no long hold may have; of a single one none, or it would never run."""
    return max(1, part // LONG_HOLD_RESERVE_DIVISOR) if part > 1 else 0
