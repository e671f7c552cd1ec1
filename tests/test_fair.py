"""Fair queueing of slots: bounds between any two backlogged tenants, independence of tenant numbers, reports
of other fronts that merge alike in any order, and simulated fleets with one tenant that overloads them."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from fennelcove.fair_queueing import usage_gossip
from fennelcove.fair_queueing import waiter as waiter_states
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

from benchmarks.fair_sim import Case, World

SECOND = 1_000_000
SHAPE = ("room", 0, True)
QUICK = settings(max_examples=40, deadline=None, derandomize=True, phases=(Phase.generate,))


def waiter(name: str, tenant: int, hold_us: int, now_us: int = 0, boxes: tuple[str, ...] = ("b",)) -> Waiter:
    guess = ServiceTimeEstimate(hold_us, hold_us, False)
    return Waiter(name, tenant, SHAPE, "title", boxes, now_us, now_us + 10 * SECOND, guess)


def served(weights: dict[int, float], holds: dict[int, int], slots: int, seconds: float) -> dict[int, int]:
    """The slot-time of tenants who all want more than there is, at one box; each has one wish waiting."""
    queue = WaitQueue(lambda box, now_us: slots, TenantWeights(weights), max_wait_us=10**9)
    got, out, now_us, number = dict.fromkeys(weights, 0), list[tuple[int, str, int]](), 0, 0
    while now_us < seconds * SECOND:
        for tenant in weights:
            while len(queue.waiting_by_tenant.get(tenant, {})) < 1:
                number += 1
                wish = waiter(f"{number}", tenant, holds[tenant], now_us)
                if queue.request_slot(wish, now_us).action is WaiterAction.PLACE:
                    queue.try_acquire("b", (wish.id, 0), tenant, wish.estimate, now_us)
                    out.append((now_us + holds[tenant], wish.id, tenant))
        now_us, name, tenant = min(out)
        out.remove((now_us, name, tenant))
        got[tenant] += holds[tenant]
        queue.release("b", (name, 0), now_us)
        while (following := queue.grant_next("b", now_us)) is not None:
            queue.try_acquire("b", (following.id, 0), following.tenant, following.estimate, now_us)
            out.append((now_us + holds[following.tenant], following.id, following.tenant))
    return got


class SharesTest(unittest.TestCase):
    @QUICK
    @given(
        st.lists(st.tuples(st.floats(0.5, 4), st.integers(20_000, 400_000)), min_size=2, max_size=6),
        st.integers(1, 6),
    )
    def test_any_two_who_want_more_differ_by_a_bound(
        self, tenants: list[tuple[float, int]], slots: int
    ) -> None:
        # Fails where a hold counts as one whatever it lasted, or where its charge is not corrected.
        weights = {i + 1: weight for i, (weight, _) in enumerate(tenants)}
        holds = {i + 1: hold for i, (_, hold) in enumerate(tenants)}
        got = served(weights, holds, slots, 8)
        # Fair queueing with so many slots out at once: each may be that many holds ahead of another.
        most = max(holds[tenant] / weights[tenant] for tenant in weights)
        for a in weights:
            for b in weights:
                apart = abs(got[a] / weights[a] - got[b] / weights[b])
                assert apart <= 2 * (slots + 1) * most, (weights, holds, got)

    def test_who_was_idle_has_saved_nothing_up(self) -> None:
        shares = VirtualTimeScheduler(TenantWeights())
        for i in range(50):
            shares.acquire((f"{i}", 0), 1, 100_000, i * 100_000, is_long=False)
            shares.release((f"{i}", 0), (i + 1) * 100_000)
        now_us = 50 * 100_000
        assert shares.start_tag(2, now_us) == shares.virtual_time
        assert shares.start_tag(1, now_us) - shares.start_tag(2, now_us) <= 100000

    def test_a_hold_that_does_not_end_is_charged_while_it_lasts(self) -> None:
        # A slot leaked by a box that never answers would be free of charge until it ends.
        shares = VirtualTimeScheduler(TenantWeights())
        shares.acquire(("leaked", 0), 1, 100_000, 0, is_long=False)
        soon = shares.start_tag(1, SECOND)
        assert shares.start_tag(1, 5 * SECOND) >= soon + 4 * SECOND

    def test_a_slot_given_back_twice_counts_once(self) -> None:
        shares = VirtualTimeScheduler(TenantWeights())
        shares.acquire(("a", 0), 1, 100_000, 0, is_long=False)
        assert shares.release(("a", 0), 50000) is not None
        assert shares.release(("a", 0), 60000) is None
        assert shares.slots_in_use == 0

    def test_a_thousand_names_do_not_grow_the_table(self) -> None:
        shares, rng = VirtualTimeScheduler(TenantWeights()), Random(1)
        for i in range(5000):
            now_us = i * 1000
            shares.acquire((f"{i}", 0), 1 + rng.randrange(1000), 50_000, now_us, is_long=False)
            if i >= 8:
                shares.release((f"{i - 8}", 0), now_us)
        assert len(shares.accounts) <= MAX_TENANTS + 1
        assert shares.slots_in_use == 8
        assert sum(account.slots_in_use for account in shares.accounts.values()) == 8

    def test_where_tenants_are_named_strangers_are_one(self) -> None:
        terms = TenantWeights({7: 2.0}, 0.5)
        assert (terms.accounted_tenant(7), terms.accounted_tenant(8), terms.accounted_tenant(9)) == (
            7,
            OTHER_TENANTS,
            OTHER_TENANTS,
        )
        assert (terms.weight(7), terms.weight(OTHER_TENANTS)) == (2.0, 0.5)

    def test_other_weights_count_from_when_they_are_told(self) -> None:
        queue = WaitQueue(lambda box, now_us: 1, TenantWeights({1: 1.0, 2: 1.0}))
        queue.try_acquire("b", ("a", 0), 1, ServiceTimeEstimate(100_000, 100_000, False), 0)
        before = queue.scheduler("b").accounts[1].finish_tag
        queue.set_tenant_weights(TenantWeights({1: 4.0, 2: 1.0}))
        queue.release("b", ("a", 0), 100_000)
        queue.try_acquire("b", ("c", 0), 1, ServiceTimeEstimate(100_000, 100_000, False), 100_000)
        self.assertAlmostEqual(queue.scheduler("b").accounts[1].finish_tag - before, 25_000)


class HoldsTest(unittest.TestCase):
    def learned(self, times: dict[str, int], tenants: dict[int, str]) -> ServiceTimeEstimator:
        holds = ServiceTimeEstimator()
        for _ in range(20):
            for tenant, title in tenants.items():
                holds.observe(SHAPE, title, tenant, times[title])
        return holds

    def test_what_nothing_is_known_of_is_long(self) -> None:
        assert ServiceTimeEstimator().estimate(SHAPE, "new") == ServiceTimeEstimate(
            DEFAULT_SERVICE_TIME_US, 2 * DEFAULT_SERVICE_TIME_US, True
        )

    def test_one_that_comes_with_slow_titles_does_not_make_slow_the_usual(self) -> None:
        holds = self.learned({"slow": 900_000, "fast": 50_000}, {1: "slow", 2: "fast", 3: "fast"})
        assert holds.estimate(SHAPE, "slow").is_long
        assert not holds.estimate(SHAPE, "fast").is_long

    def test_where_all_are_slow_nothing_is_long(self) -> None:
        holds = self.learned({"slow": 900_000}, {1: "slow", 2: "slow"})
        assert not holds.estimate(SHAPE, "slow").is_long

    def test_a_tenfold_change_is_followed_within_few_holds(self) -> None:
        holds = self.learned({"fast": 50_000}, {1: "fast", 2: "fast"})
        for _ in range(8):
            holds.observe(SHAPE, "fast", 1, 500_000)
        assert holds.estimate(SHAPE, "fast").expected_us > 400000

    def test_titles_and_tenants_are_bounded(self) -> None:
        holds = ServiceTimeEstimator()
        for i in range(5000):
            holds.observe((f"room-{i}", 0, True), f"title-{i}", i, 1000)
        assert len(holds.titles) <= 1024
        assert len(holds.tenants) <= 64
        assert len(holds.shapes) <= 64


class LineTest(unittest.TestCase):
    def queue(self, slots: int = 2, **changes: int) -> WaitQueue:
        queue = WaitQueue(lambda box, now_us: slots, **changes)  # type: ignore[arg-type]
        for tenant in (1, 2):
            for _ in range(8):
                queue.service_times.observe(SHAPE, "fast", tenant, 50_000)
        return queue

    def ask(self, queue: WaitQueue, name: str, tenant: int, long: bool = False, now_us: int = 0) -> Waiter:
        wish = waiter(name, tenant, 500_000 if long else 50_000, now_us)
        wish.estimate = replace(wish.estimate, is_long=long)
        if queue.request_slot(wish, now_us).action is WaiterAction.PLACE:
            assert queue.try_acquire("b", (name, 0), tenant, wish.estimate, now_us)
            wish.apply(WaiterEvent.PLACED)
        return wish

    def test_long_holds_never_have_all_slots(self) -> None:
        queue = self.queue(4)
        stages = [self.ask(queue, f"{i}", 1, long=True).state for i in range(6)]
        assert stages.count(WaiterState.HOLDING) == 4 - reserved_slots(4)
        assert self.ask(queue, "short", 2).state is WaiterState.HOLDING

    def test_one_that_hangs_up_frees_its_place_and_no_slot(self) -> None:
        queue = self.queue()
        held = [self.ask(queue, f"{i}", 1) for i in range(2)]
        waits = self.ask(queue, "waits", 1)
        assert waits.state is WaiterState.WAITING
        assert queue.cancel(waits, WaiterEvent.HUNG_UP) is WaiterAction.DROP
        assert (queue.waiting_count, queue.scheduler("b").slots_in_use) == (0, 2)
        assert queue.cancel(held[0], WaiterEvent.HUNG_UP) is WaiterAction.NOTHING
        assert queue.scheduler("b").slots_in_use == 2

    def test_waiting_in_vain_is_refused_at_once_with_a_time(self) -> None:
        queue = self.queue(max_wait_us=100_000)
        rulings = [queue.request_slot(waiter(f"{i}", 1, 50_000), 0) for i in range(2)]
        for i in range(2):
            queue.try_acquire("b", (f"{i}", 0), 1, ServiceTimeEstimate(50_000, 50_000, False), 0)
        rulings = [queue.request_slot(waiter(f"w{i}", 1, 50_000), 0) for i in range(12)]
        refused = [ruling for ruling in rulings if ruling.action is WaiterAction.REJECT]
        assert 0 < len(refused) < 12
        assert all(ruling.retry_after_us >= 100000 for ruling in refused)

    def test_no_wish_outlasts_its_answer(self) -> None:
        queue = self.queue(max_wait_us=10**9)
        for i in range(2):
            self.ask(queue, f"{i}", 1)
        wish = waiter("tight", 2, 50_000)
        wish.deadline_us = 120_000
        queue.request_slot(wish, 0)
        assert queue.wait_deadline_us(wish) == 70000
        assert queue.expired(70000) == [wish]

    def test_a_full_line_sheds_the_newest_of_whoever_has_most_in_it(self) -> None:
        queue = self.queue(max_waiting=4, max_wait_us=10**9)
        for i in range(2):
            self.ask(queue, f"{i}", 1)
        hog = [self.ask(queue, f"hog-{i}", 1) for i in range(4)]
        assert self.ask(queue, "hog-late", 1).state is WaiterState.CLOSED
        assert self.ask(queue, "other", 2).state is WaiterState.WAITING
        assert hog[-1].state is WaiterState.CLOSED
        assert queue.waiting_count == 4

    def test_every_stage_and_cue_is_settled_and_what_is_over_stays_over(self) -> None:
        for cue in set(WaiterEvent) - {WaiterEvent.REQUEUED}:
            assert waiter_states.transition(WaiterState.CLOSED, cue) == (
                WaiterState.CLOSED,
                WaiterAction.NOTHING,
            )
        # A wish that waits must end by each of these, or it would be owed an answer for ever.
        for cue in (
            WaiterEvent.SLOT_GRANTED,
            WaiterEvent.NO_TIME,
            WaiterEvent.CROWDED,
            WaiterEvent.STOPPED,
            WaiterEvent.HUNG_UP,
        ):
            assert waiter_states.transition(WaiterState.WAITING, cue)[0] is not WaiterState.WAITING

    @QUICK
    @given(st.integers(0, 1 << 30), st.permutations(range(1, 6)))
    def test_names_do_not_matter(self, seed: int, names: list[int]) -> None:
        def order(names: list[int]) -> list[str]:
            rng, queue, found = Random(seed), WaitQueue(lambda box, now_us: 2, max_wait_us=10**9), []
            out: list[str] = []
            for i in range(60):
                now_us, tenant = i * 10_000, names[rng.randrange(5)]
                wish = waiter(f"{i}", tenant, 20_000 + 10_000 * rng.randrange(5), now_us)
                if queue.request_slot(wish, now_us).action is WaiterAction.PLACE:
                    queue.try_acquire("b", (wish.id, 0), tenant, wish.estimate, now_us)
                    out.append(wish.id)
                if out and rng.random() < 0.6:
                    queue.release("b", (out.pop(0), 0), now_us)
                    while (following := queue.grant_next("b", now_us)) is not None:
                        queue.try_acquire(
                            "b", (following.id, 0), following.tenant, following.estimate, now_us
                        )
                        out.append(following.id)
                        found.append(following.id)
            return found

        assert order(names) == order([1, 2, 3, 4, 5])


class ToldTest(unittest.TestCase):
    def words(self, rng: Random) -> list[UsageReport]:
        """What one front tells in two lives."""
        found = []
        for life in (1, 2):
            teller = UsageGossip(life)
            for _ in range(8):
                for _ in range(rng.randrange(4)):
                    teller.record_usage(rng.randrange(3), rng.randrange(1, 4), rng.randrange(1, 50_000))
                if (said := teller.next_report()) is not None:
                    found.append(said)
        return found

    @QUICK
    @given(st.integers(0, 1 << 30))
    def test_words_merge_alike_in_any_order_and_number(self, seed: int) -> None:
        rng = Random(seed)
        words = self.words(rng)
        ends = []
        for _ in range(3):
            order = words + rng.choices(words, k=6)
            rng.shuffle(order)
            hears = UsageGossip()
            for said in order:
                hears.on_report(1, said, 10**9, SECOND)
            teller = hears.remote_fronts[1]
            ends.append((teller.incarnation, {key: r.max_used_us for key, r in teller.usage.items()}))
        assert ends[0] == ends[1]
        assert ends[0] == ends[2]

    def test_what_grew_is_told_once_whatever_is_lost_or_doubled(self) -> None:
        # Fails where a doubled word is added twice, or a lost one is lost for good.
        for seed in range(20):
            rng, teller, hears = Random(seed), UsageGossip(1), UsageGossip(2)
            teller.record_usage(1, 1, 1)
            first = teller.next_report()
            assert first is not None
            hears.on_report(1, first, 4, 0)
            whole = 0
            for i in range(1, 60):
                teller.record_usage(1, 1, 20_000)
                said = teller.next_report()
                assert said is not None
                for _ in range(rng.choice((0, 1, 1, 2)) if i < 59 else 1):
                    whole += sum(row.used_us for row in hears.on_report(1, said, 4, i * 250_000))
            assert whole == 59 * 20000

    def test_one_that_tells_more_than_all_slots_could_give_is_taken_at_that(self) -> None:
        hears = UsageGossip()
        hears.on_report(1, UsageReport(1, 1, (UsageRow(1, 1, 0),)), 4, 0)
        found = hears.on_report(1, UsageReport(1, 2, (UsageRow(1, 1, 10**12),)), 4, SECOND)
        assert found == [UsageRow(1, 1, 4 * SECOND)]

    def test_sums_of_a_thousand_names_are_bounded(self) -> None:
        teller = UsageGossip()
        for i in range(5000):
            teller.record_usage(1, i + 1, 10)
        assert len(teller.local_usage) <= usage_gossip.MAX_ENTRIES
        assert len((teller.next_report() or UsageReport(0, 0, ())).rows) <= usage_gossip.MAX_ROWS


class WorldTest(unittest.TestCase):
    """Whole evenings in simulated time, of the decisions as they are."""

    def figures(self, **case: object) -> dict[str, float]:
        return World(Case(fronts=4, seconds=8, **case)).play().figures()  # type: ignore[arg-type]

    def test_neighbours_of_a_hog_keep_what_they_had(self) -> None:
        alone, beside = self.figures(day="calm"), self.figures(day="hog")
        assert beside["served"] >= 0.95 * alone["served"]
        assert self.figures(day="hog", variant="first")["served"] < 0.6

    def test_one_spread_over_all_fronts_gets_no_more_than_the_rest_of_them(self) -> None:
        deaf, heard = self.figures(day="pair", tell=False), self.figures(day="pair")
        # One comes to a third of the fronts, one to all: by itself each front would halve its slots.
        assert heard["hog_part"] < deaf["hog_part"] - 0.05

    def test_a_front_never_has_more_out_than_its_part(self) -> None:
        world = World(Case(fronts=4, seconds=6, day="hop")).play()
        assert max(world.most_out.values()) <= 4


if __name__ == "__main__":
    unittest.main()
