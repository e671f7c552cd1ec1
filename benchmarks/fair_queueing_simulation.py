"""Simulates how the slots of servers are shared among tenants, with fair queueing and with simpler policies.

    python -m benchmarks.fair_queueing_simulation [--fronts 12,50,200,1000]
                                  [--variants first,limit,line,fair] [--seeds 5]
                                  [--days calm,hog,spread,hop,names,slow,shift,pair] [--seconds 12]

Each front has four slots at each of six servers (three from 200 fronts on). Eight tenants request titles with
two replicas each and together need three fifths of the slots. From the third second on one of them, the noisy
tenant, sends ten times as many requests, half of them for titles with ten times the service time.

Scenarios (`--days`):
    calm: no noisy tenant.
    hog: as above.
    spread: the other tenants use only a third of the fronts.
    hop: half of the noisy tenant's requests go to one front, then to the next one.
    names: the noisy tenant uses a thousand tenant names, while the other tenants have configured weights.
    slow: all titles are slow, and there is no noisy tenant.
    shift: the slow titles become fast in the second half.
    pair: two tenants each want more than there is, one at all fronts, the other at a third of them.

Variants:
    first: without this package: first come, first served; rejected at once if no slot is free.
    line: as `first`, but requests may wait.
    limit: as `first`, and no tenant has more than a quarter of a server's slots.
    fair: the modules of `packages/fair-queueing`, unchanged.

Fronts report the granted slot time to each other within groups of 50; messages take 1 to 30 ms, and one in
twenty is lost. Printed are the waits and the share of served requests of the other tenants, the share of
served requests and the share of the slot time of the noisy tenant, and the share of idle slot time; each as
median (range) over seeds.
"""

from __future__ import annotations

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import median

from fennelcove.fair_queueing import usage_gossip
from fennelcove.fair_queueing.usage_gossip import UsageGossip, UsageReport
from fennelcove.fair_queueing.virtual_time import TenantWeights
from fennelcove.fair_queueing.wait_queue import Waiter, WaitQueue
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent

from benchmarks.event_scheduler import EventScheduler

SLOTS_PER_SERVER, SERVICE_TIME_US, SLOW_FACTOR = 4, 100_000, 10
TENANT_COUNT, NOISY_TENANT, GOSSIP_GROUP_SIZE = 8, 1, 50
NOISE_START_US, CLIENT_TIMEOUT_US, MAX_SERVICE_TIME_US = 3_000_000, 1_500_000, 1_200_000
TENANT_LIMIT_SHARE = 0.25


@dataclass(frozen=True)
class SimulationCase:
    """Parameters of a simulation."""

    variant: str = "fair"
    scenario: str = "hog"
    fronts: int = 12
    seconds: float = 12.0
    seed: int = 1
    server_count: int = 6
    with_gossip: bool = True
    message_loss: float = 0.05

    @property
    def arrivals_per_s(self) -> float:
        """Normal request rate of all eight tenants together, which needs three fifths of the slots."""
        return 0.6 * self.fronts * self.server_count * SLOTS_PER_SERVER * 1e6 / SERVICE_TIME_US


@dataclass
class TenantResult:
    """Results of one tenant."""

    requested: int = 0
    served: int = 0
    waits_us: list[int] = field(default_factory=list)
    slot_us: int = 0


@dataclass(slots=True, eq=False)
class SimulatedRequest(Waiter):
    """A request, with its real tenant and whether its title is slow."""

    owner: int = 0
    is_slow: bool = False


@dataclass
class SimulatedFront:
    """One front: its fair queue, its usage reports, and its queue without fairness (variant `line`)."""

    index: int
    queue: WaitQueue
    gossip: UsageGossip
    plain_queue: list[SimulatedRequest] = field(default_factory=list)


class Simulation:
    """One simulation."""

    def __init__(self, case: SimulationCase) -> None:
        self.case = case
        self.rng = Random(f"{case.seed}/{case.scenario}")
        self.events = EventScheduler()
        self.ids = count()
        self.results: dict[int, TenantResult] = {}
        self.slow_factor = SLOW_FACTOR
        self.busy_us = 0
        self.in_flight: Counter[tuple[int, str]] = Counter()
        self.max_in_flight: Counter[tuple[int, str]] = Counter()
        self.in_flight_by_tenant: Counter[tuple[int, str, int]] = Counter()
        # An operator protects known tenants against invented tenant names by configuring their weights.
        weights = {tenant: 1.0 for tenant in range(2, TENANT_COUNT + 1)} if case.scenario == "names" else {}
        self.fronts = [
            SimulatedFront(
                i,
                WaitQueue(lambda server, now_us: SLOTS_PER_SERVER, TenantWeights(weights)),
                UsageGossip(incarnation=1),
            )
            for i in range(case.fronts)
        ]

    # Load.

    def run(self) -> Simulation:
        """Run the simulation and return it."""
        case = self.case
        if case.scenario == "pair":
            # Both tenants want more than there is, one at all fronts, the other at a third of them.
            self._start_arrivals(2, case.arrivals_per_s, 0)
            self._start_arrivals(NOISY_TENANT, 3 * case.arrivals_per_s, 0, is_noisy=True)
        for tenant in range(1, TENANT_COUNT + 1) if case.scenario != "pair" else ():
            tenant_rate_per_s = case.arrivals_per_s / TENANT_COUNT
            # A tenth as many slow requests, or a third as many at a third of the fronts, need as many slots.
            tenant_rate_per_s /= {"slow": SLOW_FACTOR, "spread": 3}.get(case.scenario, 1)
            if tenant != NOISY_TENANT:
                self._start_arrivals(tenant, tenant_rate_per_s, 0)
        factor = 0 if case.scenario in ("slow", "calm", "pair") else 10
        if factor:
            self._start_arrivals(
                NOISY_TENANT, case.arrivals_per_s / TENANT_COUNT * factor, NOISE_START_US, is_noisy=True
            )
        if case.with_gossip:
            for front in self.fronts:
                self.events.after(
                    int(self.rng.random() * usage_gossip.WINDOW_US), lambda f=front: self._send_report(f)
                )
        if case.scenario == "shift":
            self.events.after(int(case.seconds * 5e5), self._end_slowness)
        self.events.run(int(case.seconds * 1e6))
        return self

    def _end_slowness(self) -> None:
        """Make all titles fast."""
        self.slow_factor = 1

    def _start_arrivals(
        self, tenant: int, arrivals_per_s: float, start_us: int, is_noisy: bool = False
    ) -> None:
        def on_arrival() -> None:
            self.events.after(max(1, round(self.rng.expovariate(arrivals_per_s) * 1e6)), on_arrival)
            self._on_arrival(tenant, is_noisy)

        self.events.after(start_us + round(self.rng.expovariate(arrivals_per_s) * 1e6), on_arrival)

    def _pick_front(self, tenant: int, is_noisy: bool) -> SimulatedFront:
        case, now_us = self.case, self.events.now_us
        if case.scenario in ("spread", "pair") and not is_noisy:
            return self.fronts[self.rng.randrange(max(1, case.fronts // 3))]
        if case.scenario == "hop" and is_noisy:
            current = now_us // 500_000 % case.fronts  # the target front changes every half second
            return self.fronts[current if self.rng.random() < 0.5 else self.rng.randrange(case.fronts)]
        return self.fronts[self.rng.randrange(case.fronts)]

    def _on_arrival(self, tenant: int, is_noisy: bool) -> None:
        case, now_us = self.case, self.events.now_us
        front = self._pick_front(tenant, is_noisy)
        queue = front.queue
        title = self.rng.randrange(case.server_count * 2)
        is_slow = (
            is_noisy and case.scenario != "pair" and self.rng.random() < 0.5
        ) or case.scenario == "slow"
        servers = tuple(f"box-{(title + i) % case.server_count}" for i in range(2))
        tenant_name = tenant
        if is_noisy and case.scenario == "names":
            tenant_name = 1000 + self.rng.randrange(1000)
        shape = ("room", 0, True)
        title_name = f"{'slow' if is_slow else 'title'}-{title}"
        waiter = SimulatedRequest(
            str(next(self.ids)),
            queue.tenant_weights.accounted_tenant(tenant_name),
            shape,
            title_name,
            servers,
            now_us,
            now_us + CLIENT_TIMEOUT_US,
            queue.service_times.estimate(shape, title_name),
            owner=tenant,
            is_slow=is_slow,
        )
        self._result_of(tenant).requested += now_us > NOISE_START_US
        if case.variant == "fair":
            self._on_arrival_fair(front, waiter)
        else:
            self._on_arrival_plain(front, waiter)

    def _result_of(self, tenant: int) -> TenantResult:
        return self.results.setdefault(tenant, TenantResult())

    # Variant `fair`.

    def _on_arrival_fair(self, front: SimulatedFront, waiter: SimulatedRequest) -> None:
        decision = front.queue.request_slot(waiter, self.events.now_us)
        if decision.action is WaiterAction.PLACE:
            self._place(front, waiter)
        elif decision.action is WaiterAction.WAIT:
            deadline_us = front.queue.wait_deadline_us(waiter)
            self.events.after(
                max(0, deadline_us - self.events.now_us), lambda: self._on_wait_deadline(front, waiter)
            )

    def _on_wait_deadline(self, front: SimulatedFront, waiter: SimulatedRequest) -> None:
        front.queue.cancel(waiter, WaiterEvent.NO_TIME)

    def _place(self, front: SimulatedFront, waiter: SimulatedRequest) -> None:
        now_us, queue = self.events.now_us, front.queue
        eligible = [server for server in waiter.servers if queue.may_acquire(waiter, server, now_us)]
        if not eligible:
            waiter.apply(WaiterEvent.NO_SERVER)
            return
        server = min(eligible, key=lambda name: (self.in_flight[front.index, name], self.rng.random()))
        key = waiter.id, 0
        queue.try_acquire(server, key, waiter.tenant, waiter.estimate, now_us)
        waiter.apply(WaiterEvent.PLACED)
        service_us = self._on_attempt_started(front, server, waiter)

        def on_completion() -> None:
            released = queue.release(server, key, self.events.now_us)
            waiter.apply(WaiterEvent.SLOT_RELEASED)
            assert released is not None
            queue.service_times.observe(waiter.shape, waiter.title, waiter.tenant, service_us)
            front.gossip.record_usage(int(server[4:]), waiter.tenant, service_us)
            self._on_attempt_ended(front, server, waiter, service_us)
            while (next_waiter := queue.grant_next(server, self.events.now_us)) is not None:
                assert isinstance(next_waiter, SimulatedRequest)
                self._place(front, next_waiter)

        self.events.after(service_us, on_completion)

    def _send_report(self, front: SimulatedFront) -> None:
        self.events.after(usage_gossip.WINDOW_US, lambda: self._send_report(front))
        front.queue.reporting_front_count = front.gossip.reporting_front_count(self.events.now_us)
        report = front.gossip.next_report()
        if report is None or self.case.variant != "fair":
            return
        group_start = front.index // GOSSIP_GROUP_SIZE * GOSSIP_GROUP_SIZE
        for receiver in self.fronts[group_start : group_start + GOSSIP_GROUP_SIZE]:
            if receiver is not front and self.rng.random() >= self.case.message_loss:
                delay_us = int(self.rng.uniform(1_000, 30_000))
                self.events.after(
                    delay_us, lambda receiver=receiver: self._on_report(receiver, front.index, report)
                )

    def _on_report(self, front: SimulatedFront, sender: int, report: UsageReport) -> None:
        now_us = self.events.now_us
        names = [f"box-{i}" for i in range(self.case.server_count)]
        for row in front.gossip.on_report(sender, report, SLOTS_PER_SERVER, now_us):
            front.queue.add_remote_usage(names[row.server], row.tenant, row.used_us, now_us)

    # Variants `first`, `line` and `limit`.

    def _may_start(self, front: SimulatedFront, server: str, waiter: SimulatedRequest) -> bool:
        if self.in_flight[front.index, server] >= SLOTS_PER_SERVER:
            return False
        if self.case.variant != "limit":
            return True
        tenant_in_flight = sum(
            n for (f, s, t), n in self.in_flight_by_tenant.items() if s == server and t == waiter.tenant and n
        )
        return tenant_in_flight < max(1, TENANT_LIMIT_SHARE * SLOTS_PER_SERVER * self.case.fronts)

    def _on_arrival_plain(self, front: SimulatedFront, waiter: SimulatedRequest) -> None:
        if not self._place_plain(front, waiter) and self.case.variant == "line":
            front.plain_queue.append(waiter)
            self.events.after(front.queue.max_wait_us, lambda: self._on_wait_deadline_plain(front, waiter))

    def _on_wait_deadline_plain(self, front: SimulatedFront, waiter: SimulatedRequest) -> None:
        if waiter in front.plain_queue:
            front.plain_queue.remove(waiter)

    def _place_plain(self, front: SimulatedFront, waiter: SimulatedRequest) -> bool:
        eligible = [server for server in waiter.servers if self._may_start(front, server, waiter)]
        if not eligible:
            return False
        server = min(eligible, key=lambda name: (self.in_flight[front.index, name], self.rng.random()))
        self.in_flight_by_tenant[front.index, server, waiter.tenant] += 1
        service_us = self._on_attempt_started(front, server, waiter)

        def on_completion() -> None:
            self.in_flight_by_tenant[front.index, server, waiter.tenant] -= 1
            self._on_attempt_ended(front, server, waiter, service_us)
            for waiting in list(front.plain_queue):
                if server in waiting.servers and self._place_plain(front, waiting):
                    front.plain_queue.remove(waiting)
                    return

        self.events.after(service_us, on_completion)
        return True

    # Measurements.

    def _on_attempt_started(self, front: SimulatedFront, server: str, waiter: SimulatedRequest) -> int:
        self.in_flight[front.index, server] += 1
        self.max_in_flight[front.index, server] = max(
            self.max_in_flight[front.index, server], self.in_flight[front.index, server]
        )
        if waiter.arrived_us > NOISE_START_US:
            self._result_of(waiter.owner).waits_us.append(self.events.now_us - waiter.arrived_us)
        factor = self.slow_factor if waiter.is_slow else 1
        return min(
            MAX_SERVICE_TIME_US,
            max(1000, round(factor * SERVICE_TIME_US * self.rng.lognormvariate(-0.08, 0.4))),
        )

    def _on_attempt_ended(self, front: SimulatedFront, server: str, waiter: Waiter, service_us: int) -> None:
        self.in_flight[front.index, server] -= 1
        result = self._result_of(waiter.owner)
        if self.events.now_us > NOISE_START_US:
            result.slot_us += service_us
        response_us = self.events.now_us - waiter.arrived_us
        result.served += waiter.arrived_us > NOISE_START_US and response_us <= CLIENT_TIMEOUT_US

    def summary(self) -> dict[str, float]:
        """Summarize what the other tenants and the noisy tenant got."""
        others = [result for tenant, result in self.results.items() if tenant != NOISY_TENANT]
        waits = sorted(wait for result in others for wait in result.waits_us) or [0]
        noisy = self.results.get(NOISY_TENANT, TenantResult())
        available_us = (
            (self.case.seconds * 1e6 - NOISE_START_US)
            * SLOTS_PER_SERVER
            * self.case.server_count
            * self.case.fronts
        )
        used_us = sum(result.slot_us for result in self.results.values())
        return {
            "p50_ms": waits[len(waits) // 2] / 1000,
            "p99_ms": waits[min(len(waits) - 1, len(waits) * 99 // 100)] / 1000,
            "served": sum(s.served for s in others) / max(1, sum(s.requested for s in others)),
            "noisy_served": noisy.served / max(1, noisy.requested),
            "noisy_share": noisy.slot_us / max(1, used_us),
            "idle": 1 - used_us / available_us,
        }


def run_case(case: SimulationCase) -> dict[str, float]:
    """Run one case and return its summary."""
    return Simulation(case).run().summary()


def median_and_range(values: list[float], digits: int) -> str:
    """Format the median and the range of values."""
    return f"{median(values):.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def main() -> None:
    """Print a row for each case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12,50,200,1000")
    parser.add_argument("--variants", default="first,limit,line,fair")
    parser.add_argument("--days", default="calm,hog,spread,hop,names,slow,shift,pair")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--beside", type=int, default=2)
    options = parser.parse_args()
    cases = [
        SimulationCase(variant, scenario, int(fronts), options.seconds, seed, 3 if int(fronts) >= 200 else 6)
        for fronts in options.fronts.split(",")
        for scenario in options.days.split(",")
        for variant in options.variants.split(",")
        for seed in range(1, options.seeds + 1)
    ]
    print(
        "fronts day    variant  "
        + "  ".join(
            f"{title:>21}" for title in ("p50 ms", "p99 ms", "served", "noisy served", "noisy share", "idle")
        )
    )
    with ProcessPoolExecutor(options.beside) as pool:
        results = pool.map(run_case, cases)
        for start in range(0, len(cases), options.seeds):
            case, rows = cases[start], [next(results) for _ in range(options.seeds)]
            cells = [
                median_and_range([row[name] for row in rows], 0 if name.endswith("ms") else 3)
                for name in rows[0]
            ]
            print(
                f"{case.fronts:6} {case.scenario:6} {case.variant:8} "
                + "  ".join(f"{cell:>21}" for cell in cells),
                flush=True,
            )


if __name__ == "__main__":
    main()
