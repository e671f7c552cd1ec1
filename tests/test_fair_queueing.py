"""Fair queueing of slots: the difference between any two backlogged tenants is bounded, tenant numbers do not
matter, reports of other fronts merge alike in any order, and a noisy tenant does not harm the others."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from fennelcove.fair_queueing import usage_gossip
from fennelcove.fair_queueing import waiter as waiter_module
from fennelcove.fair_queueing.service_time import (
    DEFAULT_SERVICE_TIME_US,
    ServiceTimeEstimate,
    ServiceTimeEstimator,
)
from fennelcove.fair_queueing.slot_allocator import reserved_slots
from fennelcove.fair_queueing.usage_gossip import UsageGossip, UsageReport, UsageRow
from fennelcove.fair_queueing.virtual_time import (
    MAX_TENANTS,
    OTHER_TENANTS,
    TenantWeights,
    VirtualTimeScheduler,
)
from fennelcove.fair_queueing.wait_queue import Waiter, WaitQueue
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent, WaiterState
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from benchmarks.fair_queueing_simulation import Simulation, SimulationCase

SECOND_US = 1_000_000
SHAPE = ("room", 0, True)
FAST_SETTINGS = settings(max_examples=40, deadline=None, derandomize=True, phases=(Phase.generate,))


def new_waiter(
    name: str, tenant: int, hold_us: int, now_us: int = 0, servers: tuple[str, ...] = ("b",)
) -> Waiter:
    estimate = ServiceTimeEstimate(hold_us, hold_us, False)
    return Waiter(name, tenant, SHAPE, "title", servers, now_us, now_us + 10 * SECOND_US, estimate)


def served_slot_time(
    weights: dict[int, float], holds: dict[int, int], slots: int, seconds: float
) -> dict[int, int]:
    """The slot time of backlogged tenants at one server; each always has one waiting request."""
    queue = WaitQueue(lambda server, now_us: slots, TenantWeights(weights), max_wait_us=10**9)
    slot_time_us, in_flight, now_us, request_count = (
        dict.fromkeys(weights, 0),
        list[tuple[int, str, int]](),
        0,
        0,
    )
    while now_us < seconds * SECOND_US:
        for tenant in weights:
            while len(queue.waiting_by_tenant.get(tenant, {})) < 1:
                request_count += 1
                request = new_waiter(f"{request_count}", tenant, holds[tenant], now_us)
                if queue.request_slot(request, now_us).action is WaiterAction.PLACE:
                    queue.try_acquire("b", (request.id, 0), tenant, request.estimate, now_us)
                    in_flight.append((now_us + holds[tenant], request.id, tenant))
        now_us, name, tenant = min(in_flight)
        in_flight.remove((now_us, name, tenant))
        slot_time_us[tenant] += holds[tenant]
        queue.release("b", (name, 0), now_us)
        while (granted := queue.grant_next("b", now_us)) is not None:
            queue.try_acquire("b", (granted.id, 0), granted.tenant, granted.estimate, now_us)
            in_flight.append((now_us + holds[granted.tenant], granted.id, granted.tenant))
    return slot_time_us


class VirtualTimeSchedulerTest(unittest.TestCase):
    @FAST_SETTINGS
    @given(
        st.lists(st.tuples(st.floats(0.5, 4), st.integers(20_000, 400_000)), min_size=2, max_size=6),
        st.integers(1, 6),
    )
    def test_slot_time_of_any_two_backlogged_tenants_differs_by_a_bound(
        self, tenants: list[tuple[float, int]], slots: int
    ) -> None:
        # Fails if holds count the same whatever their duration, or if the charge is not corrected.
        weights = {i + 1: weight for i, (weight, _) in enumerate(tenants)}
        holds = {i + 1: hold for i, (_, hold) in enumerate(tenants)}
        slot_time_us = served_slot_time(weights, holds, slots, 8)
        # With this many slots in use at once, a tenant may be as many holds ahead of another.
        longest_weighted_hold_us = max(holds[tenant] / weights[tenant] for tenant in weights)
        for a in weights:
            for b in weights:
                difference_us = abs(slot_time_us[a] / weights[a] - slot_time_us[b] / weights[b])
                assert difference_us <= 2 * (slots + 1) * longest_weighted_hold_us, (
                    weights,
                    holds,
                    slot_time_us,
                )

    def test_an_idle_tenant_accumulates_no_credit(self) -> None:
        scheduler = VirtualTimeScheduler(TenantWeights())
        for i in range(50):
            scheduler.acquire((f"{i}", 0), 1, 100_000, i * 100_000, is_long=False)
            scheduler.release((f"{i}", 0), (i + 1) * 100_000)
        now_us = 50 * 100_000
        assert scheduler.start_tag(2, now_us) == scheduler.virtual_time
        assert scheduler.start_tag(1, now_us) - scheduler.start_tag(2, now_us) <= 100000

    def test_a_hold_that_does_not_end_is_charged_while_it_lasts(self) -> None:
        # Otherwise a slot at a server that never answers would not be charged until it is released.
        scheduler = VirtualTimeScheduler(TenantWeights())
        scheduler.acquire(("leaked", 0), 1, 100_000, 0, is_long=False)
        first_tag = scheduler.start_tag(1, SECOND_US)
        assert scheduler.start_tag(1, 5 * SECOND_US) >= first_tag + 4 * SECOND_US

    def test_a_slot_released_twice_counts_once(self) -> None:
        scheduler = VirtualTimeScheduler(TenantWeights())
        scheduler.acquire(("a", 0), 1, 100_000, 0, is_long=False)
        assert scheduler.release(("a", 0), 50000) is not None
        assert scheduler.release(("a", 0), 60000) is None
        assert scheduler.slots_in_use == 0

    def test_a_thousand_tenants_do_not_exceed_the_account_limit(self) -> None:
        scheduler, rng = VirtualTimeScheduler(TenantWeights()), Random(1)
        for i in range(5000):
            now_us = i * 1000
            scheduler.acquire((f"{i}", 0), 1 + rng.randrange(1000), 50_000, now_us, is_long=False)
            if i >= 8:
                scheduler.release((f"{i - 8}", 0), now_us)
        assert len(scheduler.accounts) <= MAX_TENANTS + 1
        assert scheduler.slots_in_use == 8
        assert sum(account.slots_in_use for account in scheduler.accounts.values()) == 8

    def test_unlisted_tenants_share_one_account_if_weights_are_configured(self) -> None:
        tenant_weights = TenantWeights({7: 2.0}, 0.5)
        assert (
            tenant_weights.accounted_tenant(7),
            tenant_weights.accounted_tenant(8),
            tenant_weights.accounted_tenant(9),
        ) == (
            7,
            OTHER_TENANTS,
            OTHER_TENANTS,
        )
        assert (tenant_weights.weight(7), tenant_weights.weight(OTHER_TENANTS)) == (2.0, 0.5)

    def test_new_weights_apply_from_when_they_are_set(self) -> None:
        queue = WaitQueue(lambda server, now_us: 1, TenantWeights({1: 1.0, 2: 1.0}))
        queue.try_acquire("b", ("a", 0), 1, ServiceTimeEstimate(100_000, 100_000, False), 0)
        before = queue.scheduler("b").accounts[1].finish_tag
        queue.set_tenant_weights(TenantWeights({1: 4.0, 2: 1.0}))
        queue.release("b", ("a", 0), 100_000)
        queue.try_acquire("b", ("c", 0), 1, ServiceTimeEstimate(100_000, 100_000, False), 100_000)
        self.assertAlmostEqual(queue.scheduler("b").accounts[1].finish_tag - before, 25_000)


class ServiceTimeEstimatorTest(unittest.TestCase):
    def trained_estimator(
        self, service_times_us: dict[str, int], tenants: dict[int, str]
    ) -> ServiceTimeEstimator:
        estimator = ServiceTimeEstimator()
        for _ in range(20):
            for tenant, title in tenants.items():
                estimator.observe(SHAPE, title, tenant, service_times_us[title])
        return estimator

    def test_a_request_without_history_is_long(self) -> None:
        assert ServiceTimeEstimator().estimate(SHAPE, "new") == ServiceTimeEstimate(
            DEFAULT_SERVICE_TIME_US, 2 * DEFAULT_SERVICE_TIME_US, True
        )

    def test_one_tenant_with_slow_titles_does_not_make_slow_holds_typical(self) -> None:
        estimator = self.trained_estimator(
            {"slow": 900_000, "fast": 50_000}, {1: "slow", 2: "fast", 3: "fast"}
        )
        assert estimator.estimate(SHAPE, "slow").is_long
        assert not estimator.estimate(SHAPE, "fast").is_long

    def test_if_all_holds_are_slow_none_is_long(self) -> None:
        estimator = self.trained_estimator({"slow": 900_000}, {1: "slow", 2: "slow"})
        assert not estimator.estimate(SHAPE, "slow").is_long

    def test_the_estimate_follows_a_tenfold_change_within_a_few_holds(self) -> None:
        estimator = self.trained_estimator({"fast": 50_000}, {1: "fast", 2: "fast"})
        for _ in range(8):
            estimator.observe(SHAPE, "fast", 1, 500_000)
        assert estimator.estimate(SHAPE, "fast").expected_us > 400000

    def test_titles_and_tenants_are_bounded(self) -> None:
        estimator = ServiceTimeEstimator()
        for i in range(5000):
            estimator.observe((f"room-{i}", 0, True), f"title-{i}", i, 1000)
        assert len(estimator.titles) <= 1024
        assert len(estimator.tenants) <= 64
        assert len(estimator.shapes) <= 64


class WaitQueueTest(unittest.TestCase):
    def queue(self, slots: int = 2, **changes: int) -> WaitQueue:
        queue = WaitQueue(lambda server, now_us: slots, **changes)  # type: ignore[arg-type]
        for tenant in (1, 2):
            for _ in range(8):
                queue.service_times.observe(SHAPE, "fast", tenant, 50_000)
        return queue

    def request_slot_for(
        self, queue: WaitQueue, name: str, tenant: int, is_long: bool = False, now_us: int = 0
    ) -> Waiter:
        request = new_waiter(name, tenant, 500_000 if is_long else 50_000, now_us)
        request.estimate = replace(request.estimate, is_long=is_long)
        if queue.request_slot(request, now_us).action is WaiterAction.PLACE:
            assert queue.try_acquire("b", (name, 0), tenant, request.estimate, now_us)
            request.apply(WaiterEvent.PLACED)
        return request

    def test_long_holds_never_use_all_slots(self) -> None:
        queue = self.queue(4)
        states = [self.request_slot_for(queue, f"{i}", 1, is_long=True).state for i in range(6)]
        assert states.count(WaiterState.HOLDING) == 4 - reserved_slots(4)
        assert self.request_slot_for(queue, "short", 2).state is WaiterState.HOLDING

    def test_a_disconnected_client_leaves_the_queue_and_frees_no_slot(self) -> None:
        queue = self.queue()
        in_flight_requests = [self.request_slot_for(queue, f"{i}", 1) for i in range(2)]
        waiting = self.request_slot_for(queue, "waits", 1)
        assert waiting.state is WaiterState.WAITING
        assert queue.cancel(waiting, WaiterEvent.HUNG_UP) is WaiterAction.DROP
        assert (queue.waiting_count, queue.scheduler("b").slots_in_use) == (0, 2)
        assert queue.cancel(in_flight_requests[0], WaiterEvent.HUNG_UP) is WaiterAction.NOTHING
        assert queue.scheduler("b").slots_in_use == 2

    def test_a_request_that_would_wait_too_long_is_rejected_at_once_with_retry_after(self) -> None:
        queue = self.queue(max_wait_us=100_000)
        decisions = [queue.request_slot(new_waiter(f"{i}", 1, 50_000), 0) for i in range(2)]
        for i in range(2):
            queue.try_acquire("b", (f"{i}", 0), 1, ServiceTimeEstimate(50_000, 50_000, False), 0)
        decisions = [queue.request_slot(new_waiter(f"w{i}", 1, 50_000), 0) for i in range(12)]
        rejected = [decision for decision in decisions if decision.action is WaiterAction.REJECT]
        assert 0 < len(rejected) < 12
        assert all(decision.retry_after_us >= 100000 for decision in rejected)

    def test_no_request_waits_until_its_response_would_be_late(self) -> None:
        queue = self.queue(max_wait_us=10**9)
        for i in range(2):
            self.request_slot_for(queue, f"{i}", 1)
        request = new_waiter("tight", 2, 50_000)
        request.deadline_us = 120_000
        queue.request_slot(request, 0)
        assert queue.wait_deadline_us(request) == 70000
        assert queue.expired(70000) == [request]

    def test_a_full_queue_evicts_the_newest_request_of_the_largest_tenant(self) -> None:
        queue = self.queue(max_waiting=4, max_wait_us=10**9)
        for i in range(2):
            self.request_slot_for(queue, f"{i}", 1)
        noisy_requests = [self.request_slot_for(queue, f"noisy-{i}", 1) for i in range(4)]
        assert self.request_slot_for(queue, "noisy-last", 1).state is WaiterState.CLOSED
        assert self.request_slot_for(queue, "other", 2).state is WaiterState.WAITING
        assert noisy_requests[-1].state is WaiterState.CLOSED
        assert queue.waiting_count == 4

    def test_closed_requests_stay_closed_and_waiting_ones_leave_that_state(self) -> None:
        for event in set(WaiterEvent) - {WaiterEvent.REQUEUED}:
            assert waiter_module.transition(WaiterState.CLOSED, event) == (
                WaiterState.CLOSED,
                WaiterAction.NOTHING,
            )
        # Each of these events must end the wait, or the client would never get a response.
        for event in (
            WaiterEvent.SLOT_GRANTED,
            WaiterEvent.NO_TIME,
            WaiterEvent.CROWDED,
            WaiterEvent.STOPPED,
            WaiterEvent.HUNG_UP,
        ):
            assert waiter_module.transition(WaiterState.WAITING, event)[0] is not WaiterState.WAITING

    @FAST_SETTINGS
    @given(st.integers(0, 1 << 30), st.permutations(range(1, 6)))
    def test_tenant_numbers_do_not_affect_the_order(self, seed: int, tenant_numbers: list[int]) -> None:
        def order(numbers: list[int]) -> list[str]:
            rng, queue, granted_order = (
                Random(seed),
                WaitQueue(lambda server, now_us: 2, max_wait_us=10**9),
                [],
            )
            in_flight: list[str] = []
            for i in range(60):
                now_us, tenant = i * 10_000, numbers[rng.randrange(5)]
                request = new_waiter(f"{i}", tenant, 20_000 + 10_000 * rng.randrange(5), now_us)
                if queue.request_slot(request, now_us).action is WaiterAction.PLACE:
                    queue.try_acquire("b", (request.id, 0), tenant, request.estimate, now_us)
                    in_flight.append(request.id)
                if in_flight and rng.random() < 0.6:
                    queue.release("b", (in_flight.pop(0), 0), now_us)
                    while (granted := queue.grant_next("b", now_us)) is not None:
                        queue.try_acquire("b", (granted.id, 0), granted.tenant, granted.estimate, now_us)
                        in_flight.append(granted.id)
                        granted_order.append(granted.id)
            return granted_order

        assert order(tenant_numbers) == order([1, 2, 3, 4, 5])


class UsageGossipTest(unittest.TestCase):
    def reports(self, rng: Random) -> list[UsageReport]:
        """The reports of one front in two incarnations."""
        sent = []
        for incarnation in (1, 2):
            sender = UsageGossip(incarnation)
            for _ in range(8):
                for _ in range(rng.randrange(4)):
                    sender.record_usage(rng.randrange(3), rng.randrange(1, 4), rng.randrange(1, 50_000))
                if (report := sender.next_report()) is not None:
                    sent.append(report)
        return sent

    @FAST_SETTINGS
    @given(st.integers(0, 1 << 30))
    def test_merging_reports_does_not_depend_on_order_or_duplicates(self, seed: int) -> None:
        rng = Random(seed)
        reports = self.reports(rng)
        results = []
        for _ in range(3):
            order = reports + rng.choices(reports, k=6)
            rng.shuffle(order)
            receiver = UsageGossip()
            for report in order:
                receiver.on_report(1, report, 10**9, SECOND_US)
            sender = receiver.remote_fronts[1]
            results.append((sender.incarnation, {key: r.max_used_us for key, r in sender.usage.items()}))
        assert results[0] == results[1]
        assert results[0] == results[2]

    def test_usage_is_counted_once_despite_lost_and_duplicate_reports(self) -> None:
        # Fails if a duplicate report is added twice, or if the usage in a lost report is never counted.
        for seed in range(20):
            rng, sender, receiver = Random(seed), UsageGossip(1), UsageGossip(2)
            sender.record_usage(1, 1, 1)
            first = sender.next_report()
            assert first is not None
            receiver.on_report(1, first, 4, 0)
            total_us = 0
            for i in range(1, 60):
                sender.record_usage(1, 1, 20_000)
                report = sender.next_report()
                assert report is not None
                for _ in range(rng.choice((0, 1, 1, 2)) if i < 59 else 1):
                    total_us += sum(row.used_us for row in receiver.on_report(1, report, 4, i * 250_000))
            assert total_us == 59 * 20000

    def test_reported_usage_is_capped_at_what_all_slots_could_grant(self) -> None:
        receiver = UsageGossip()
        receiver.on_report(1, UsageReport(1, 1, (UsageRow(1, 1, 0),)), 4, 0)
        growth = receiver.on_report(1, UsageReport(1, 2, (UsageRow(1, 1, 10**12),)), 4, SECOND_US)
        assert growth == [UsageRow(1, 1, 4 * SECOND_US)]

    def test_totals_of_a_thousand_tenants_are_bounded(self) -> None:
        sender = UsageGossip()
        for i in range(5000):
            sender.record_usage(1, i + 1, 10)
        assert len(sender.local_usage) <= usage_gossip.MAX_ENTRIES
        assert len((sender.next_report() or UsageReport(0, 0, ())).rows) <= usage_gossip.MAX_ROWS


class SimulationTest(unittest.TestCase):
    """Simulated fleets that run the package unchanged."""

    def summary(self, **case: object) -> dict[str, float]:
        return Simulation(SimulationCase(fronts=4, seconds=8, **case)).run().summary()  # type: ignore[arg-type]

    def test_other_tenants_keep_their_service_beside_a_noisy_one(self) -> None:
        without_noise, with_noise = self.summary(scenario="calm"), self.summary(scenario="hog")
        assert with_noise["served"] >= 0.95 * without_noise["served"]
        assert self.summary(scenario="hog", variant="first")["served"] < 0.6

    def test_a_tenant_at_all_fronts_gets_no_more_than_one_at_a_third_of_them(self) -> None:
        without_gossip, with_gossip = (
            self.summary(scenario="pair", with_gossip=False),
            self.summary(scenario="pair"),
        )
        # One tenant uses a third of the fronts, the other uses all. Without gossip each front of that third
        # divides its slots equally.
        assert with_gossip["noisy_share"] < without_gossip["noisy_share"] - 0.05

    def test_a_front_never_exceeds_its_slots(self) -> None:
        simulation = Simulation(SimulationCase(fronts=4, seconds=6, scenario="hop")).run()
        assert max(simulation.max_in_flight.values()) <= 4


if __name__ == "__main__":
    unittest.main()
