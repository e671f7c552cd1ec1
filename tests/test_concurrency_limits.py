"""Concurrency limits: histograms merge alike at every front, a limit rises only after a trial and falls fast,
lowering a limit needs no majority, and lent slots never exceed the limit."""

from __future__ import annotations

import threading
import unittest
from itertools import pairwise
from random import Random
from typing import Any

import msgspec
from fennelcove import limit_messages
from fennelcove.concurrency_limits import adaptive_limit, erlang, persisted
from fennelcove.concurrency_limits.adaptive_limit import AdaptiveLimit, LimitSettings
from fennelcove.concurrency_limits.latency_histogram import (
    GossipedHistograms,
    HistogramRow,
    ObservedLatency,
    OwnHistograms,
    class_bounds_us,
    class_of,
    quantile_us,
)
from fennelcove.concurrency_limits.limit_decay import HALF_LIFE_US, decayed_limit
from fennelcove.concurrency_limits.limit_transitions import (
    TRANSITIONS,
    LimitAction,
    LimitSignal,
    LimitState,
)
from fennelcove.concurrency_limits.quorum import (
    VOTE_VALIDITY_US,
    QuorumAgreement,
    QuorumVote,
    home_slots,
    other_homes,
    voters_of,
)
from fennelcove.concurrency_limits.quota_loans import LOAN_US, QuotaLoans
from fennelcove.concurrency_limits.replica import LimitReport, Replica
from fennelcove.concurrency_limits.workload_shape import MAX_SHAPES, shape_name, shape_of, shape_share
from fennelcove.core.learned_limits import LearnedLimits, ListedServer
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Resource
from fennelcove.scenarios import slots as slot_checker
from fennelcove.settings.schema import Instance, ServiceClassSettings, SlotSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import concurrency_limits_model_check, concurrency_limits_simulation

MINUTE_US = 60_000_000


def histogram_row(
    service_ms: float, count: int, shape: int = 0, requested: int | None = None
) -> HistogramRow:
    return HistogramRow(
        shape, count if requested is None else requested, 0, 0, ((class_of(service_ms * 1000), count),), ()
    )


def observed_latency(
    service_ms: float, count: float, has_waits: bool = False, unanswered: float = 0.0
) -> ObservedLatency:
    """Measurements of two seconds."""
    waiting_times = {class_of(500_000): count / 5} if has_waits else {}
    return ObservedLatency(count, 0.0, unanswered, {class_of(service_ms * 1000): count}, waiting_times)


class LatencyHistogramTest(unittest.TestCase):
    def test_a_duration_lies_within_the_bounds_of_its_class(self) -> None:
        for us in (0, 999, 1000, 1001, 54_321, 1_000_000, 30_000_000):
            low, high = class_bounds_us(class_of(us))
            assert low <= us + 1
            assert high * 1.000001 >= us

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_merging_rows_does_not_depend_on_order_or_duplicates(self, seed: int) -> None:
        rng = Random(seed)
        sent = [
            (
                front,
                incarnation,
                sequence,
                histogram_row(rng.randrange(1, 900), rng.randrange(1, 30), rng.randrange(3)),
            )
            for front in range(4)
            for incarnation, sequence in ((1, 1), (1, 2), (2, 1))
        ]
        results = []
        for _ in range(3):
            order = sent + rng.sample(sent, 5)
            rng.shuffle(order)
            gossip = GossipedHistograms()
            for received in order:
                gossip.on_row(*received, now_us=0)
            merged = gossip.merged(0)
            results.append(
                {shape: (s.requested, sorted(s.service_times.items())) for shape, s in sorted(merged.items())}
            )
        # Only the newest row of each front and shape counts. The order of float additions affects rounding.
        for other in results[1:]:
            assert other.keys() == results[0].keys()
            for shape in other:
                self.assertAlmostEqual(other[shape][0], results[0][shape][0])
                for (class1, count1), (class2, count2) in zip(
                    other[shape][1], results[0][shape][1], strict=True
                ):
                    assert class1 == class2
                    self.assertAlmostEqual(count1, count2)

    def test_a_front_that_reports_a_hundred_times_more_does_not_move_the_median_beyond_the_others(
        self,
    ) -> None:
        gossip = GossipedHistograms()
        for front, service_ms in ((0, 90), (1, 100), (2, 110)):
            gossip.on_row(front, 1, 1, histogram_row(service_ms, 20), 0)
        gossip.on_row(3, 1, 1, histogram_row(30_000, 2000, requested=60_000), 0)
        merged = gossip.merged(0)[0]
        median = quantile_us(merged.service_times, 0.5)
        assert median is not None
        assert median < 140000
        assert merged.requested <= 2 * 60

    def test_expired_windows_are_discarded(self) -> None:
        own = OwnHistograms()
        own.current_of(0).add_service_time(5)
        own.close_windows(1)
        assert len(own.rows(9)) == 1
        own.close_windows(4)
        assert own.rows(9) == ()


class ErlangTest(unittest.TestCase):
    def test_known_values(self) -> None:
        self.assertAlmostEqual(erlang.waiting_probability(10, 8.0), 0.4092, places=3)
        self.assertAlmostEqual(erlang.waiting_probability(1, 0.5), 0.5)
        assert erlang.waiting_probability(4, 4.0) == 1.0

    @settings(max_examples=60, deadline=None)
    @given(st.floats(0.1, 200), st.floats(0.01, 2))
    def test_required_slots_are_the_smallest_sufficient_number(self, rate: float, hold_s: float) -> None:
        slots = erlang.required_slots(rate, hold_s, 0.0, 0.05)
        assert erlang.waiting_probability(slots, rate * hold_s) <= 0.05
        if slots > 1:
            assert erlang.waiting_probability(slots - 1, rate * hold_s) > 0.05


class AdaptiveLimitDriver:
    """Drives an adaptive limit that is the only voter, with given measurements of its server."""

    def __init__(self, limit: int = 16, **settings_changes: int) -> None:
        self.now_us = MINUTE_US
        self.learner = AdaptiveLimit(LimitSettings(**settings_changes), limit, self.now_us)
        self.actions: list[LimitAction] = []

    def run(self, seconds: float, observed: dict[int, ObservedLatency] | None) -> list[LimitAction]:
        """Close windows with the same measurements for some seconds; returns the actions other than KEEP."""
        actions = []
        for _ in range(round(seconds * 2)):
            self.now_us += 500_000
            actions.append(self.learner.on_window_closed(observed or {}, self.learner.limit, self.now_us))
        return [action for action in actions if action is not LimitAction.KEEP]


class AdaptiveLimitTest(unittest.TestCase):
    def test_every_state_has_a_transition_for_each_measurement_signal(self) -> None:
        measurement_signals = set(LimitSignal) - {
            LimitSignal.NOT_AGREED,
            LimitSignal.BACKOFF_ENDED,
            LimitSignal.FALL_DID_NOT_HELP,
        }
        for state in LimitState:
            for signal in measurement_signals:
                assert (state, signal) in TRANSITIONS
        assert set(adaptive_limit.ACTIONS) == set(LimitAction)

    def test_limit_rises_in_small_steps_until_nothing_waits(self) -> None:
        driver = AdaptiveLimitDriver(8)
        driver.run(6, {0: observed_latency(100, 100)})
        limits = [driver.learner.limit]
        for _ in range(40):
            # The offered load is 30 attempts, so 40 slots or more are required.
            busy = {0: observed_latency(100, 600, has_waits=True)}
            driver.run(0.5, busy)
            if driver.learner.limit != limits[-1]:
                limits.append(driver.learner.limit)
        assert limits[-1] > 30
        for before, after in pairwise(limits):
            assert after - before <= max(1, before // adaptive_limit.FAR_RISE_DIVISOR)
        assert driver.run(20, {0: observed_latency(100, 60)}) == []

    def test_a_rise_that_lengthens_service_times_is_reverted_and_not_repeated_at_once(self) -> None:
        driver = AdaptiveLimitDriver(20)
        busy = {0: observed_latency(100, 600, has_waits=True)}
        driver.run(6, {0: observed_latency(100, 600)})
        while driver.learner.state is not LimitState.PROVING:
            driver.run(0.5, busy)
        before = driver.learner.previous_limit
        actions = driver.run(5, {0: observed_latency(220, 600, has_waits=True)})
        assert actions[0] == LimitAction.TAKE_BACK
        assert driver.learner.limit <= before
        assert LimitAction.RISE not in actions

    def test_limit_falls_within_seconds_but_not_below_the_minimum(self) -> None:
        driver = AdaptiveLimitDriver(64)
        driver.run(10, {0: observed_latency(100, 400)})
        for _ in range(16):
            # Service times are those of a server with its knee at 16.
            driver.run(0.5, {0: observed_latency(100 * driver.learner.limit / 16, 400)})
        assert driver.learner.limit <= 32
        for factor in (2, 4, 8, 16, 32, 64):
            driver.run(8, {0: observed_latency(400 * factor, 400)})
            assert driver.learner.limit >= driver.learner.settings.min_limit

    def test_limit_is_not_lowered_forever_if_other_load_slows_the_server(self) -> None:
        driver = AdaptiveLimitDriver(40)
        driver.run(20, {0: observed_latency(100, 400)})
        # From now on service times are long, however few attempts are in flight.
        actions = driver.run(60, {0: observed_latency(300, 400)})
        assert LimitAction.LEARN_ANEW in actions
        assert actions.count(LimitAction.FALL) <= 3
        assert driver.learner.limit >= 30

    def test_a_growing_share_of_a_slow_shape_does_not_look_like_overload(self) -> None:
        driver = AdaptiveLimitDriver(40)
        driver.run(20, {0: observed_latency(100, 400), 1: observed_latency(2000, 20)})
        for share in (60, 120, 200):  # number of requests of the slow shape
            assert LimitAction.FALL not in driver.run(
                10, {0: observed_latency(100, 400), 1: observed_latency(2000, share)}
            )

    def test_a_slow_shape_leaves_the_slots_that_others_require(self) -> None:
        shape_limits = {0: 10, 1: 30}
        assert shape_share(40, shape_limits, 1) == 30
        assert shape_share(20, shape_limits, 1) == 15
        assert shape_share(60, shape_limits, 1) == 50  # slots that the other shape does not require
        assert shape_share(1, shape_limits, 1) == 1

    def test_unanswered_attempts_lower_the_limit_even_if_others_are_fast(self) -> None:
        driver = AdaptiveLimitDriver(40)
        driver.run(10, {0: observed_latency(100, 400)})
        actions = driver.run(30, {0: observed_latency(100, 100, unanswered=50)})
        assert actions[0] == LimitAction.HALVE
        assert LimitAction.LEARN_ANEW not in actions
        assert driver.learner.limit < 10

    def test_without_measurements_the_limit_decays_to_the_initial_one(self) -> None:
        driver = AdaptiveLimitDriver(100, start=16)
        driver.run(20, {0: observed_latency(100, 400)})
        driver.run(600, None)
        assert driver.learner.limit < 75
        driver.run(3000, None)
        assert driver.learner.limit <= 20
        assert driver.learner.limit >= 16
        assert decayed_limit(5, 16, MINUTE_US) == 5

    def test_heavy_tailed_service_times_alone_do_not_lower_the_limit(self) -> None:
        rng, driver, falls = Random(5), AdaptiveLimitDriver(40), 0
        for _ in range(300):
            service_times: dict[int, float] = {}
            for _ in range(100):
                class_index = class_of(100_000 * rng.lognormvariate(0, 1.2))
                service_times[class_index] = service_times.get(class_index, 0.0) + 1
            falls += driver.run(2, {0: ObservedLatency(100, 0, 0, service_times, {})}).count(LimitAction.FALL)
        assert falls <= 2

    def test_a_full_server_is_probed_with_a_lower_limit_which_is_then_restored(self) -> None:
        driver = AdaptiveLimitDriver(40)
        driver.run(10, {0: observed_latency(100, 400)})
        actions = driver.run(45, {0: observed_latency(140, 400, has_waits=True)})
        assert LimitAction.DIP in actions
        assert LimitAction.TAKE_BACK in actions
        assert driver.learner.limit == 40

    def test_a_proposal_that_is_not_agreed_is_withdrawn(self) -> None:
        learner, now = AdaptiveLimit(LimitSettings(), 16, MINUTE_US), MINUTE_US
        learner.limit, learner.state, learner.last_action_us = 22, LimitState.PROVING, now
        for _ in range(20):
            now += 500_000
            learner.on_window_closed({}, 16, now)
        assert learner.limit == 16


class QuorumAgreementTest(unittest.TestCase):
    def agreement(self, size: int = 5, limit: int = 10) -> QuorumAgreement:
        return QuorumAgreement(tuple(range(size)), limit, 10, MINUTE_US)

    def test_only_a_majority_raises_the_limit(self) -> None:
        agreement = self.agreement()
        for sender in (0, 1):
            agreement.on_vote(sender, 1, 1, QuorumVote(20), MINUTE_US)
        assert agreement.advance(MINUTE_US) == 10
        agreement.on_vote(2, 1, 1, QuorumVote(15), MINUTE_US)
        assert agreement.advance(MINUTE_US) == 15

    def test_one_dishonest_voter_neither_raises_nor_lowers_the_limit(self) -> None:
        for false_limit in (1, 10_000):
            agreement = self.agreement()
            for sender in range(4):
                agreement.on_vote(sender, 1, 1, QuorumVote(20), MINUTE_US)
            agreement.on_vote(4, 1, 1, QuorumVote(false_limit), MINUTE_US)
            assert agreement.advance(MINUTE_US) == 20

    def test_a_minority_partition_may_lower_but_not_raise_the_limit(self) -> None:
        agreement = self.agreement()
        for sender in range(5):
            agreement.on_vote(sender, 1, 1, QuorumVote(20), MINUTE_US)
        agreement.advance(MINUTE_US)
        now = MINUTE_US + VOTE_VALIDITY_US + 1
        for sender in (0, 1):
            agreement.on_vote(sender, 1, 2, QuorumVote(40), now)
        assert agreement.advance(now) == 20
        for sender in (0, 1):
            agreement.on_vote(sender, 1, 3, QuorumVote(6), now)
        assert agreement.advance(now) == 6

    def test_duplicate_reordered_and_foreign_votes_are_ignored(self) -> None:
        agreement = self.agreement(3)
        for sender in range(3):
            agreement.on_vote(sender, 2, 5, QuorumVote(8), MINUTE_US)
        for incarnation, sequence in ((2, 5), (2, 4), (1, 99)):
            assert not agreement.on_vote(0, incarnation, sequence, QuorumVote(30), MINUTE_US)
        assert not agreement.on_vote(9, 9, 9, QuorumVote(30), MINUTE_US)
        assert agreement.advance(MINUTE_US) == 8

    @settings(max_examples=100, deadline=None)
    @given(
        st.integers(0, 1 << 32), st.integers(1, 60), st.lists(st.integers(0, 200), min_size=60, max_size=60)
    )
    def test_home_slots_add_up_to_at_most_the_largest_limit(
        self, server: int, fronts: int, limits: list[int]
    ) -> None:
        shares = [home_slots(server, limits[i], fronts, i) for i in range(fronts)]
        assert sum(shares) <= max(limits[:fronts])
        equal_limit_shares = [home_slots(server, 50, fronts, i) for i in range(fronts)]
        assert sum(equal_limit_shares) == 50
        others = {i for i in range(1, fronts) if equal_limit_shares[i]}
        assert set(other_homes(server, 50, fronts, 0)) == others

    def test_voters_are_the_same_for_all_and_bounded(self) -> None:
        assert voters_of(5, 12) == tuple(range(12))
        assert len(set(voters_of(5, 1000))) == 15
        assert voters_of(5, 1000) != voters_of(6, 1000)


class QuotaLoansTest(unittest.TestCase):
    def fronts_loans(self, fronts: int, limit: int) -> list[QuotaLoans]:
        created = [QuotaLoans(0, fronts, i, 1, 0) for i in range(fronts)]
        for front_loans in created:
            front_loans.quota.is_cleared = True
            front_loans.set_limit(limit, 0)
        return created

    def test_three_busy_fronts_of_twelve_borrow_idle_slots_and_return_them(self) -> None:
        fronts_loans, now = self.fronts_loans(12, 48), 0
        for _ in range(30):
            now += 300_000
            for busy in fronts_loans[:3]:
                busy.waiting = 20 - busy.in_flight
                busy.max_in_flight(now, 1_000_000)
                for lender, request in busy.request_slots(now / 1e7, now):
                    loan = fronts_loans[lender].on_request(busy.index, request, now)
                    if loan is not None:
                        busy.on_transfer(lender, loan, now)
        assert sum(front_loans.max_in_flight(now) for front_loans in fronts_loans[:3]) > 36
        assert sum(front_loans.max_in_flight(now) for front_loans in fronts_loans) <= 48
        for busy in fronts_loans[:3]:
            busy.waiting = 0
            for lender, transfer in busy.return_slots(now):
                fronts_loans[lender].on_transfer(busy.index, transfer, now)
        assert sum(front_loans.max_in_flight(now) for front_loans in fronts_loans) == 48

    def test_a_borrowed_slot_is_used_only_for_attempts_that_end_before_the_loan(self) -> None:
        fronts_loans = self.fronts_loans(3, 6)
        fronts_loans[0].waiting = 4
        for lender, request in fronts_loans[0].request_slots(0.0, 0):
            loan = fronts_loans[lender].on_request(0, request, 0)
            assert loan is not None
            fronts_loans[0].on_transfer(lender, loan, 0)
        assert fronts_loans[0].max_in_flight(0, LOAN_US) == 6
        assert fronts_loans[0].max_in_flight(1, LOAN_US) == 2

    def test_a_restarted_front_waits_for_acknowledgements_or_the_end_of_loans(self) -> None:
        front_loans = QuotaLoans(0, 3, 0, 2, 0)
        front_loans.set_limit(9, 0)
        assert front_loans.max_in_flight(0) == 0
        assert front_loans.max_in_flight(round(LOAN_US * 1.2)) == 3
        front_loans.quota.is_cleared = True
        assert front_loans.max_in_flight(0) == 3


class ReplicaTest(unittest.TestCase):
    def replica(self, fronts: int = 3, index: int = 0) -> Replica:
        replica = Replica(LimitSettings(start=9), fronts, index, 1, MINUTE_US)
        replica.on_server_listed(7, "kind", 0, MINUTE_US)
        return replica

    def test_a_replacement_server_starts_afresh_and_reports_about_the_old_one_are_ignored(self) -> None:
        replica = self.replica()
        replica.servers[7].agreement.limit = 40
        replica.servers[7].median_service_us[0] = 1.0
        assert not replica.on_server_listed(7, "kind", 0, MINUTE_US)
        assert replica.on_server_listed(7, "kind", MINUTE_US, MINUTE_US, is_warming_up=True)
        assert replica.servers[7].agreement.limit == 9
        assert replica.servers[7].median_service_us == {}
        for sender in (1, 2):
            replica.on_report(sender, 1, 1, LimitReport((0,), 7, 0, vote=QuorumVote(40)), MINUTE_US)
        assert replica.servers[7].agreement.limit == 9
        replica.on_report(1, 1, 1, LimitReport((0,), 7, 0, rows=(histogram_row(100, 9),)), MINUTE_US)
        assert replica.servers[7].gossip.rows == {}

    def test_a_new_server_starts_with_half_the_median_limit_of_its_kind(self) -> None:
        replica = self.replica()
        for key in (8, 9):
            replica.on_server_listed(key, "kind", 0, MINUTE_US)
        for key, limit in ((7, 40), (8, 60), (9, 90)):
            replica.servers[key].agreement.limit = limit
            learner = replica.servers[key].adaptive_limit
            assert learner is not None
            learner.is_measured = True
        replica.on_server_listed(10, "kind", 0, MINUTE_US)
        replica.on_server_listed(11, "other", 0, MINUTE_US)
        assert replica.servers[10].agreement.limit == 30
        assert replica.servers[11].agreement.limit == 9

    def test_connection_target_follows_attempts_in_flight(self) -> None:
        replica = self.replica()
        replica.unacknowledged.clear()
        replica.servers[7].loans.quota.is_cleared = True
        assert replica.connection_target(7, MINUTE_US) == 1
        for _ in range(3):
            replica.on_attempt_started(7, 0, MINUTE_US, 1_000_000)
        assert replica.connection_target(7, MINUTE_US) == 3
        for _ in range(3):
            replica.on_attempt_ended(7, 0, 1000, True)
        replica.close_windows(MINUTE_US + 30 * 500_000)
        assert replica.connection_target(7, MINUTE_US) == 1

    def test_an_incarnation_is_cleared_by_acknowledgements_of_it_from_all_fronts(self) -> None:
        replica = self.replica()
        assert replica.incarnation_recipients() == (1, 2)
        assert not replica.on_incarnation_acknowledged(1, 1)
        assert not replica.on_incarnation_acknowledged(2, 9)
        assert replica.max_in_flight(7, MINUTE_US) == 0
        assert replica.on_incarnation_acknowledged(2, 1)
        assert replica.max_in_flight(7, MINUTE_US) == 3

    def test_shapes_are_bounded_and_have_names(self) -> None:
        shapes = {
            shape_of(service_class, rung, 5, is_ready)
            for service_class in range(20)
            for rung in range(5)
            for is_ready in (0, 1)
        }
        assert len(shapes) == MAX_SHAPES
        assert shape_name(shape_of(1, 4, 5, True), ("news", "live")) == "live high ready"


class MessagesTest(unittest.TestCase):
    now_us = 100 * MINUTE_US

    def reports(self, server_count: int) -> list[LimitReport]:
        full_row = HistogramRow(
            3, 65_535, 2, 1, tuple((i, 255) for i in range(40)), tuple((i, 9) for i in range(9))
        )
        return [
            LimitReport(
                (1,),
                1000 + server,
                self.now_us - MINUTE_US if server % 2 else 0,
                (full_row, histogram_row(20, 3)),
                QuorumVote(77, ((3, 5),)),
            )
            for server in range(server_count)
        ]

    def test_reports_round_trip_in_messages_that_fit_a_datagram(self) -> None:
        parts = limit_messages.encode(1 << 40, 9, self.reports(12), self.now_us)
        assert all(len(part) <= limit_messages.MAX_BYTES for part in parts)
        decoded: list[LimitReport] = []
        for part in parts:
            message = limit_messages.decode(part, self.now_us)
            assert message is not None
            assert message[:2] == (1 << 40, 9)
            decoded += message[2]
        assert sum(len(report.rows) for report in decoded) == 24
        assert [report.vote for report in decoded if report.vote] == [QuorumVote(77, ((3, 5),))] * 12
        assert decoded[0].rows[0] == self.reports(1)[0].rows[0]
        assert {report.started_us for report in decoded} == {0, self.now_us - MINUTE_US}

    def test_unknown_row_kinds_are_skipped_and_truncated_messages_rejected(self) -> None:
        raw = limit_messages.encode(1, 2, self.reports(1)[:1], self.now_us)[1]  # the part with the votes
        with_unknown_row = (
            raw[: limit_messages.HEAD.size] + bytes([9, 3, 1, 2, 3]) + raw[limit_messages.HEAD.size :]
        )
        message = limit_messages.decode(with_unknown_row, self.now_us)
        assert message is not None
        assert [report.vote for report in message[2]] == [QuorumVote(77, ((3, 5),))]
        for part in limit_messages.encode(1, 2, self.reports(1), self.now_us):
            for length in range(len(part)):
                message = limit_messages.decode(part[:length], self.now_us)
                assert message is None or len(message[2]) < 2

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=256))
    def test_arbitrary_bytes_do_no_harm(self, raw: bytes) -> None:
        for kind in limit_messages.KINDS:
            limits = learned_limits()
            limits.on_message(1, bytes([kind]) + raw)

    def test_slot_messages_round_trip(self) -> None:
        for message in (
            QuotaRequest(1 << 40, 7, Resource.SLOT, 3.0),
            QuotaTransfer(5, 9, Resource.SLOT, 0.0),
        ):
            assert limit_messages.decode_slot_message(limit_messages.encode_slot_message(12, message)) == (
                12,
                message,
            )


def learned_limits(index: int = 0, fronts: int = 3) -> LearnedLimits:
    service_classes = [ServiceClassSettings(name="live", objective_ms=500, client_timeout_ms=2000)]
    slot_settings, clock = SlotSettings(start=9), FixedClock()
    instance = Instance(index=index, fronts=fronts)
    limits = LearnedLimits(
        slot_settings,
        service_classes,
        4,
        instance,
        1,
        clock,
        Random(1),
        threading.RLock(),
        lambda event, **_: None,
    )
    limits.list_servers = lambda: [ListedServer("box:1", "big", 0, False)]
    return limits


class FixedClock:
    """A clock that advances only when a test sets it."""

    now = MINUTE_US

    def now_us(self) -> int:
        return self.now

    def wall_us(self) -> int:
        return self.now + 10**15


class LearnedLimitsTest(unittest.TestCase):
    def fleet(self, fronts: int = 3) -> list[LearnedLimits]:
        fleet_limits = [learned_limits(i, fronts) for i in range(fronts)]
        for i, limits in enumerate(fleet_limits):
            limits.send = lambda recipient, raw, i=i: fleet_limits[recipient].on_message(i, raw)  # type: ignore[misc]
        for _ in range(2):
            for limits in fleet_limits:
                limits.clock.now += 500_000  # type: ignore[attr-defined]
                limits.close_window()
        return fleet_limits

    def test_fronts_lend_slots_and_never_exceed_the_limit(self) -> None:
        fleet_limits = self.fleet()
        shape = fleet_limits[0].workload_shape("live", 3, "box:1")
        acquired = 0
        for _ in range(8):
            while fleet_limits[0].try_acquire("box:1", shape, 1_000_000):
                acquired += 1
            assert not fleet_limits[0].has_free_slot("box:1")
            fleet_limits[0].clock.now += 150_000  # type: ignore[attr-defined]
            fleet_limits[0].exchange_quota()
        assert acquired >= 7
        while fleet_limits[1].try_acquire("box:1", shape, 1_000_000) or fleet_limits[2].try_acquire(
            "box:1", shape, 1_000_000
        ):
            acquired += 1
        assert acquired == 9
        fleet_limits[0].on_attempt_ended("box:1", shape, 100_000, True)
        assert fleet_limits[0].try_acquire("box:1", shape, 1000000)

    def test_waiting_count_survives_denied_attempts(self) -> None:
        limits = self.fleet(1)[0]
        limits.set_waiting_count("box:1", 3)
        while limits.has_free_slot("box:1"):
            limits.try_acquire("box:1", 0, 1_000_000)
        limits.clock.now += 500_000  # type: ignore[attr-defined]
        limits.close_window()
        assert limits.replica.servers[limits.server_keys["box:1"]].loans.waiting == 3
        limits.set_waiting_count("box:1", 0)
        assert limits.replica.servers[limits.server_keys["box:1"]].loans.waiting == 0

    def test_an_unlisted_or_removed_server_has_no_slots(self) -> None:
        limits = self.fleet(1)[0]
        assert limits.has_free_slot("box:1")
        assert not limits.has_free_slot("box:2")
        limits.list_servers = lambda: []
        limits.clock.now += 500_000  # type: ignore[attr-defined]
        limits.close_window()
        assert not limits.has_free_slot("box:1")
        assert limits.status()["boxes"] == {}

    def test_a_stored_limit_is_restored_after_a_restart(self) -> None:
        limits = self.fleet(1)[0]
        limits.replica.servers[limits.server_keys["box:1"]].agreement.limit = 50
        values = dict(limits.snapshot_records())
        restarted = learned_limits(0, 1)
        restarted.clock.now += 500_000  # type: ignore[attr-defined]
        restarted.restore(values)
        restarted.close_window()
        restored = restarted.replica.servers[restarted.server_keys["box:1"]].agreement.limit
        assert restored > 45
        assert restored <= 50

    def test_attempts_that_do_not_measure_the_server_are_not_learned(self) -> None:
        limits = self.fleet(1)[0]
        shape = limits.workload_shape("live", 0, "box:1")
        for answered in (None, None, True):
            limits.try_acquire("box:1", shape, 1_000_000)
            limits.on_attempt_ended("box:1", shape, 40_000 if answered else 1, answered)
        limits.clock.now += 500_000  # type: ignore[attr-defined]
        limits.close_window()
        median_us = limits.median_hold_us("box:1", shape)
        assert median_us is not None
        assert median_us > 30000


class StoredLimitTest(unittest.TestCase):
    def test_a_stored_limit_decays_with_age_and_is_used_for_the_same_server_only(self) -> None:
        wall = 10**15
        raw = msgspec.msgpack.encode(persisted.StoredLimit("big", wall - 10**9, 80, wall))
        assert persisted.restore_limit(raw, "big", wall - 10**9, 16, wall) == 80
        later = persisted.restore_limit(raw, "big", wall - 10**9, 16, wall + HALF_LIFE_US)
        assert later == 48
        assert persisted.restore_limit(raw, "big", wall - 10**8, 16, wall) is None
        assert persisted.restore_limit(raw, "small", wall - 10**9, 16, wall) is None
        assert persisted.restore_limit(raw[:-1], "big", wall - 10**9, 16, wall) is None
        assert persisted.restore_limit(raw, "big", wall - 10**9, 16, wall - 1) is None


class SlotCheckerTest(unittest.TestCase):
    """The checker of attempts in flight, which evaluates the records of the servers."""

    def records(
        self, in_flight: int, late: int, *more: dict[str, object], faults: tuple[str, ...] = ()
    ) -> Any:
        slot_terms = {"over": 2.0, "learn_s": 5.0, "late": 0.1}
        records: list[dict[str, object]] = [
            {"what": "terms", "t_us": 0, "slots": slot_terms, "troubles": list(faults)},
            {"what": "knee", "t_us": 0, "box": "a", "knee": 4},
            {"what": "day_began", "t_us": 0},
        ]
        for number in range(100):
            at_us = 10_000_000 + number // in_flight * 1_000_000
            how = "front_closed" if number < late else "started"
            records.append({"what": "set_up", "t_us": at_us, "box": "a"})
            records.append({"what": "set_up_over", "t_us": at_us + 500_000, "box": "a", "how": how})
        return sorted([*records, *more], key=lambda record: int(str(record["t_us"])))

    def rules(self, records: Any) -> list[int]:
        return sorted({fault.rule for fault in slot_checker.check_attempt_slots(records)[1]})

    def test_attempts_in_flight_are_checked_against_the_knee(self) -> None:
        result, faults = slot_checker.check_attempt_slots(self.records(8, 0))
        assert (result.most, faults) == ({"a": 8}, [])
        assert self.rules(self.records(9, 0)) == [slot_checker.KNEE_RULE]
        # Nothing is checked until there was time to learn the limit, also after the knee changed.
        knee = {"what": "knee", "t_us": 9_000_000, "box": "a", "knee": 1}
        assert self.rules(self.records(100, 0, knee)) == []
        assert self.rules(self.records(4, 0, knee)) == [slot_checker.KNEE_RULE]

    def test_the_share_of_cancelled_attempts_is_checked(self) -> None:
        assert self.rules(self.records(4, 10)) == []
        assert self.rules(self.records(4, 11)) == [slot_checker.CANCELLED_SHARE_RULE]

    def test_a_scenario_whose_fault_did_not_occur_fails(self) -> None:
        fault_record = {"what": "fault", "t_us": 0, "on": True}
        carried = {"what": "carried", "t_us": 99_000_000, "lost datagrams fronts fronts": 5}
        shift = {"what": "trouble", "t_us": 11_000_000, "kind": "knee"}
        lies = {"what": "lies", "t_us": 99_000_000, "sent": 4}
        for name, evidence in (
            ("between", (fault_record, carried)),
            ("knee", (shift,)),
            ("slots-lie", (lies,)),
        ):
            assert self.rules(self.records(4, 0, faults=(name,))) == [slot_checker.MISSING_FAULT_RULE]
            assert self.rules(self.records(4, 0, *evidence, faults=(name,))) == []


class ModelCheckTest(unittest.TestCase):
    def test_random_walks_find_no_violation(self) -> None:
        states, violation = concurrency_limits_model_check.search(60, 300, 3)
        assert violation == ""
        assert states == 18000

    def test_planted_faults_are_detected(self) -> None:
        for fault in ("any-word", "from-receipt", "backs-used"):
            with self.subTest(fault), concurrency_limits_model_check.planted_fault(fault):
                assert concurrency_limits_model_check.search(400, 300, 1)[1] != ""


class SimulationTest(unittest.TestCase):
    def test_limit_follows_a_halved_knee_and_no_server_crashes(self) -> None:
        sim = concurrency_limits_simulation.Simulation("learned", "shift", 4, 1, 1)
        sim.run(50_000_000)
        before = sim.total_limit(0)
        assert before >= 0.75 * sim.knees[0]
        sim.run(75_000_000)
        assert sim.total_limit(0) < before
        assert sim.total_limit(0) <= 2 * sim.servers[0].knee
        assert sim.servers[0].crashes == 0


if __name__ == "__main__":
    unittest.main()
