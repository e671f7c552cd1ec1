"""How many joins a box takes: figures merge alike, a number rises only while it is proven and falls fast, no
majority is needed to be careful, and lent slots never pass the whole."""

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
from fennelcove.scenarios import slots as day_slots
from fennelcove.settings.schema import Instance, RoomTypeSettings, SlotSettings
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import slots_sim, slots_worlds

MINUTE = 60_000_000


def row(hold_ms: float, count: int, shape: int = 0, asked: int | None = None) -> HistogramRow:
    return HistogramRow(
        shape, count if asked is None else asked, 0, 0, ((class_of(hold_ms * 1000), count),), ()
    )


def seen(hold_ms: float, count: float, waits: bool = False, lost: float = 0.0) -> ObservedLatency:
    """Figures of two seconds."""
    waited = {class_of(500_000): count / 5} if waits else {}
    return ObservedLatency(count, 0.0, lost, {class_of(hold_ms * 1000): count}, waited)


class CountsTest(unittest.TestCase):
    def test_a_time_lies_between_the_edges_of_its_class(self) -> None:
        for us in (0, 999, 1000, 1001, 54_321, 1_000_000, 30_000_000):
            low, high = class_bounds_us(class_of(us))
            assert low <= us + 1
            assert high * 1.000001 >= us

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_rows_merge_alike_in_any_order_and_number(self, seed: int) -> None:
        chance = Random(seed)
        sent = [
            (front, life, number, row(chance.randrange(1, 900), chance.randrange(1, 30), chance.randrange(3)))
            for front in range(4)
            for life, number in ((1, 1), (1, 2), (2, 1))
        ]
        found = []
        for _ in range(3):
            order = sent + chance.sample(sent, 5)
            chance.shuffle(order)
            heard = GossipedHistograms()
            for one in order:
                heard.on_row(*one, now_us=0)
            merged = heard.merged(0)
            found.append(
                {shape: (s.requested, sorted(s.service_times.items())) for shape, s in sorted(merged.items())}
            )
        # Rows of one shape are the newest of each front; sums of floats in another order differ by rounding.
        for other in found[1:]:
            assert other.keys() == found[0].keys()
            for shape in other:
                self.assertAlmostEqual(other[shape][0], found[0][shape][0])
                for (c1, n1), (c2, n2) in zip(other[shape][1], found[0][shape][1], strict=True):
                    assert c1 == c2
                    self.assertAlmostEqual(n1, n2)

    def test_one_that_tells_a_hundred_times_more_does_not_move_the_median_out_of_the_others(self) -> None:
        heard = GossipedHistograms()
        for front, hold_ms in ((0, 90), (1, 100), (2, 110)):
            heard.on_row(front, 1, 1, row(hold_ms, 20), 0)
        heard.on_row(3, 1, 1, row(30_000, 2000, asked=60_000), 0)
        merged = heard.merged(0)[0]
        median = quantile_us(merged.service_times, 0.5)
        assert median is not None
        assert median < 140000
        assert merged.requested <= 2 * 60

    def test_windows_that_are_over_are_forgotten(self) -> None:
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
    def test_what_is_needed_is_enough_and_one_fewer_is_not(self, rate: float, hold_s: float) -> None:
        slots = erlang.required_slots(rate, hold_s, 0.0, 0.05)
        assert erlang.waiting_probability(slots, rate * hold_s) <= 0.05
        if slots > 1:
            assert erlang.waiting_probability(slots - 1, rate * hold_s) > 0.05


class Driver:
    """A learner that is the whole panel, and a box that answers as it is told."""

    def __init__(self, whole: int = 16, **terms: int) -> None:
        self.now_us = MINUTE
        self.learner = AdaptiveLimit(LimitSettings(**terms), whole, self.now_us)
        self.acts: list[LimitAction] = []

    def run(self, seconds: float, figures: dict[int, ObservedLatency] | None) -> list[LimitAction]:
        """The same figures for so long."""
        acts = []
        for _ in range(round(seconds * 2)):
            self.now_us += 500_000
            acts.append(self.learner.on_window_closed(figures or {}, self.learner.limit, self.now_us))
        return [act for act in acts if act is not LimitAction.KEEP]


class LearnerTest(unittest.TestCase):
    def test_every_phase_has_an_act_for_what_figures_may_say(self) -> None:
        read = set(LimitSignal) - {
            LimitSignal.NOT_AGREED,
            LimitSignal.BACKOFF_ENDED,
            LimitSignal.FALL_DID_NOT_HELP,
        }
        for phase in LimitState:
            for sign in read:
                assert (phase, sign) in TRANSITIONS
        assert set(adaptive_limit.ACTIONS) == set(LimitAction)

    def test_it_rises_in_small_steps_and_stops_where_nobody_waits(self) -> None:
        driver = Driver(8)
        driver.run(6, {0: seen(100, 100)})
        wholes = [driver.learner.limit]
        for _ in range(40):
            busy = {0: seen(100, 600, waits=True)}  # 30 joins in a hold time and some: 40 and more are needed
            driver.run(0.5, busy)
            if driver.learner.limit != wholes[-1]:
                wholes.append(driver.learner.limit)
        assert wholes[-1] > 30
        for before, after in pairwise(wholes):
            assert after - before <= max(1, before // adaptive_limit.FAR_RISE_DIVISOR)
        assert driver.run(20, {0: seen(100, 60)}) == []

    def test_a_rise_that_makes_holds_longer_is_taken_back_and_none_follows_at_once(self) -> None:
        driver = Driver(20)
        busy = {0: seen(100, 600, waits=True)}
        driver.run(6, {0: seen(100, 600)})
        while driver.learner.state is not LimitState.PROVING:
            driver.run(0.5, busy)
        before = driver.learner.previous_limit
        acts = driver.run(5, {0: seen(220, 600, waits=True)})
        assert acts[0] == LimitAction.TAKE_BACK
        assert driver.learner.limit <= before
        assert LimitAction.RISE not in acts

    def test_it_falls_within_seconds_and_never_under_the_least(self) -> None:
        driver = Driver(64)
        driver.run(10, {0: seen(100, 400)})
        for _ in range(16):
            driver.run(0.5, {0: seen(100 * driver.learner.limit / 16, 400)})  # its knee is at 16 now
        assert driver.learner.limit <= 32
        for factor in (2, 4, 8, 16, 32, 64):
            driver.run(8, {0: seen(400 * factor, 400)})
            assert driver.learner.limit >= driver.learner.settings.min_limit

    def test_a_box_made_slow_by_others_is_not_fallen_for_without_end(self) -> None:
        driver = Driver(40)
        driver.run(20, {0: seen(100, 400)})
        acts = driver.run(60, {0: seen(300, 400)})  # whatever is out, from now on
        assert LimitAction.LEARN_ANEW in acts
        assert acts.count(LimitAction.FALL) <= 3
        assert driver.learner.limit >= 30

    def test_one_slow_shape_among_fast_is_no_slow_box(self) -> None:
        driver = Driver(40)
        driver.run(20, {0: seen(100, 400), 1: seen(2000, 20)})
        for share in (60, 120, 200):  # ever more of the long ones are asked for
            assert LimitAction.FALL not in driver.run(10, {0: seen(100, 400), 1: seen(2000, share)})

    def test_a_slow_shape_leaves_what_the_others_need(self) -> None:
        parts = {0: 10, 1: 30}
        assert shape_share(40, parts, 1) == 30
        assert shape_share(20, parts, 1) == 15
        assert shape_share(60, parts, 1) == 50  # what is idle is used
        assert shape_share(1, parts, 1) == 1

    def test_joins_that_are_not_answered_bring_it_down_however_short_the_rest_are(self) -> None:
        driver = Driver(40)
        driver.run(10, {0: seen(100, 400)})
        acts = driver.run(30, {0: seen(100, 100, lost=50)})
        assert acts[0] == LimitAction.HALVE
        assert LimitAction.LEARN_ANEW not in acts
        assert driver.learner.limit < 10

    def test_a_quiet_hour_ages_it_to_the_first_number_and_not_under(self) -> None:
        driver = Driver(100, start=16)
        driver.run(20, {0: seen(100, 400)})
        driver.run(600, None)
        assert driver.learner.limit < 75
        driver.run(3000, None)
        assert driver.learner.limit <= 20
        assert driver.learner.limit >= 16
        assert decayed_limit(5, 16, MINUTE) == 5

    def test_a_heavy_tail_alone_brings_no_fall(self) -> None:
        chance, driver, falls = Random(5), Driver(40), 0
        for _ in range(300):
            held: dict[int, float] = {}
            for _ in range(100):
                number = class_of(100_000 * chance.lognormvariate(0, 1.2))
                held[number] = held.get(number, 0.0) + 1
            falls += driver.run(2, {0: ObservedLatency(100, 0, 0, held, {})}).count(LimitAction.FALL)
        assert falls <= 2

    def test_a_full_box_is_looked_at_with_fewer_out_and_then_gets_them_back(self) -> None:
        driver = Driver(40)
        driver.run(10, {0: seen(100, 400)})
        acts = driver.run(45, {0: seen(140, 400, waits=True)})
        assert LimitAction.DIP in acts
        assert LimitAction.TAKE_BACK in acts
        assert driver.learner.limit == 40

    def test_what_the_others_do_not_want_is_given_up(self) -> None:
        learner, now = AdaptiveLimit(LimitSettings(), 16, MINUTE), MINUTE
        learner.limit, learner.state, learner.last_action_us = 22, LimitState.PROVING, now
        for _ in range(20):
            now += 500_000
            learner.on_window_closed({}, 16, now)
        assert learner.limit == 16


class AgreedTest(unittest.TestCase):
    def agreed(self, size: int = 5, whole: int = 10) -> QuorumAgreement:
        return QuorumAgreement(tuple(range(size)), whole, 10, MINUTE)

    def test_a_majority_raises_and_fewer_do_not(self) -> None:
        agreed = self.agreed()
        for sender in (0, 1):
            agreed.on_vote(sender, 1, 1, QuorumVote(20), MINUTE)
        assert agreed.advance(MINUTE) == 10
        agreed.on_vote(2, 1, 1, QuorumVote(15), MINUTE)
        assert agreed.advance(MINUTE) == 15

    def test_a_liar_neither_raises_nor_lowers(self) -> None:
        for lie in (1, 10_000):
            agreed = self.agreed()
            for sender in range(4):
                agreed.on_vote(sender, 1, 1, QuorumVote(20), MINUTE)
            agreed.on_vote(4, 1, 1, QuorumVote(lie), MINUTE)
            assert agreed.advance(MINUTE) == 20

    def test_the_smaller_half_falls_with_whom_it_hears_and_never_rises(self) -> None:
        agreed = self.agreed()
        for sender in range(5):
            agreed.on_vote(sender, 1, 1, QuorumVote(20), MINUTE)
        agreed.advance(MINUTE)
        now = MINUTE + VOTE_VALIDITY_US + 1
        for sender in (0, 1):
            agreed.on_vote(sender, 1, 2, QuorumVote(40), now)
        assert agreed.advance(now) == 20
        for sender in (0, 1):
            agreed.on_vote(sender, 1, 3, QuorumVote(6), now)
        assert agreed.advance(now) == 6

    def test_doubled_late_and_foreign_words_say_nothing(self) -> None:
        agreed = self.agreed(3)
        for sender in range(3):
            agreed.on_vote(sender, 2, 5, QuorumVote(8), MINUTE)
        for life, number in ((2, 5), (2, 4), (1, 99)):
            assert not agreed.on_vote(0, life, number, QuorumVote(30), MINUTE)
        assert not agreed.on_vote(9, 9, 9, QuorumVote(30), MINUTE)
        assert agreed.advance(MINUTE) == 8

    @settings(max_examples=100, deadline=None)
    @given(
        st.integers(0, 1 << 32), st.integers(1, 60), st.lists(st.integers(0, 200), min_size=60, max_size=60)
    )
    def test_homes_add_up_to_no_more_than_the_largest_number(
        self, box: int, fronts: int, wholes: list[int]
    ) -> None:
        parts = [home_slots(box, wholes[i], fronts, i) for i in range(fronts)]
        assert sum(parts) <= max(wholes[:fronts])
        same = [home_slots(box, 50, fronts, i) for i in range(fronts)]
        assert sum(same) == 50
        others = {i for i in range(1, fronts) if same[i]}
        assert set(other_homes(box, 50, fronts, 0)) == others

    def test_a_panel_is_the_same_for_all_and_bounded(self) -> None:
        assert voters_of(5, 12) == tuple(range(12))
        assert len(set(voters_of(5, 1000))) == 15
        assert voters_of(5, 1000) != voters_of(6, 1000)


class LotTest(unittest.TestCase):
    def lots(self, fronts: int, whole: int) -> list[QuotaLoans]:
        found = [QuotaLoans(0, fronts, i, 1, 0) for i in range(fronts)]
        for lot in found:
            lot.quota.is_cleared = True
            lot.set_limit(whole, 0)
        return found

    def test_three_of_twelve_get_what_the_others_have_to_spare_and_give_it_back(self) -> None:
        lots, now = self.lots(12, 48), 0
        for _ in range(30):
            now += 300_000
            for busy in lots[:3]:
                busy.waiting = 20 - busy.in_flight
                busy.max_in_flight(now, 1_000_000)
                for to, ask in busy.request_slots(now / 1e7, now):
                    loan = lots[to].on_request(busy.index, ask, now)
                    if loan is not None:
                        busy.on_transfer(to, loan, now)
        assert sum(lot.max_in_flight(now) for lot in lots[:3]) > 36
        assert sum(lot.max_in_flight(now) for lot in lots) <= 48
        for busy in lots[:3]:
            busy.waiting = 0
            for to, back in busy.return_slots(now):
                lots[to].on_transfer(busy.index, back, now)
        assert sum(lot.max_in_flight(now) for lot in lots) == 48

    def test_a_borrowed_slot_carries_only_what_ends_in_time(self) -> None:
        lots = self.lots(3, 6)
        lots[0].waiting = 4
        for to, ask in lots[0].request_slots(0.0, 0):
            loan = lots[to].on_request(0, ask, 0)
            assert loan is not None
            lots[0].on_transfer(to, loan, 0)
        assert lots[0].max_in_flight(0, LOAN_US) == 6
        assert lots[0].max_in_flight(1, LOAN_US) == 2

    def test_a_new_life_waits_until_all_have_answered_or_loans_are_over(self) -> None:
        lot = QuotaLoans(0, 3, 0, 2, 0)
        lot.set_limit(9, 0)
        assert lot.max_in_flight(0) == 0
        assert lot.max_in_flight(round(LOAN_US * 1.2)) == 3
        lot.quota.is_cleared = True
        assert lot.max_in_flight(0) == 3


class MemberTest(unittest.TestCase):
    def member(self, fronts: int = 3, index: int = 0) -> Replica:
        member = Replica(LimitSettings(start=9), fronts, index, 1, MINUTE)
        member.on_server_listed(7, "kind", 0, MINUTE)
        return member

    def test_a_box_replaced_at_its_address_begins_anew_and_the_old_ones_rows_are_passed_over(self) -> None:
        member = self.member()
        member.servers[7].agreement.limit = 40
        member.servers[7].median_service_us[0] = 1.0
        assert not member.on_server_listed(7, "kind", 0, MINUTE)
        assert member.on_server_listed(7, "kind", MINUTE, MINUTE, is_warming_up=True)
        assert member.servers[7].agreement.limit == 9
        assert member.servers[7].median_service_us == {}
        for sender in (1, 2):
            member.on_report(sender, 1, 1, LimitReport((0,), 7, 0, vote=QuorumVote(40)), MINUTE)
        assert member.servers[7].agreement.limit == 9
        member.on_report(1, 1, 1, LimitReport((0,), 7, 0, rows=(row(100, 9),)), MINUTE)
        assert member.servers[7].gossip.rows == {}

    def test_a_box_begins_at_half_of_what_its_kind_takes(self) -> None:
        member = self.member()
        for name in (8, 9):
            member.on_server_listed(name, "kind", 0, MINUTE)
        for name, whole in ((7, 40), (8, 60), (9, 90)):
            member.servers[name].agreement.limit = whole
            learner = member.servers[name].adaptive_limit
            assert learner is not None
            learner.is_measured = True
        member.on_server_listed(10, "kind", 0, MINUTE)
        member.on_server_listed(11, "other", 0, MINUTE)
        assert member.servers[10].agreement.limit == 30
        assert member.servers[11].agreement.limit == 9

    def test_links_follow_what_is_used(self) -> None:
        member = self.member()
        member.unacknowledged.clear()
        member.servers[7].loans.quota.is_cleared = True
        assert member.connection_target(7, MINUTE) == 1
        for _ in range(3):
            member.on_attempt_started(7, 0, MINUTE, 1_000_000)
        assert member.connection_target(7, MINUTE) == 3
        for _ in range(3):
            member.on_attempt_ended(7, 0, 1000, True)
        member.close_windows(MINUTE + 30 * 500_000)
        assert member.connection_target(7, MINUTE) == 1

    def test_a_life_is_cleared_by_all_and_by_answers_to_it_alone(self) -> None:
        member = self.member()
        assert member.incarnation_recipients() == (1, 2)
        assert not member.on_incarnation_acknowledged(1, 1)
        assert not member.on_incarnation_acknowledged(2, 9)
        assert member.max_in_flight(7, MINUTE) == 0
        assert member.on_incarnation_acknowledged(2, 1)
        assert member.max_in_flight(7, MINUTE) == 3

    def test_shapes_are_a_few_dozen_with_names(self) -> None:
        found = {
            shape_of(room, rung, 5, ready) for room in range(20) for rung in range(5) for ready in (0, 1)
        }
        assert len(found) == MAX_SHAPES
        assert shape_name(shape_of(1, 4, 5, True), ("news", "live")) == "live high ready"


class MessagesTest(unittest.TestCase):
    now_us = 100 * MINUTE

    def told(self, boxes: int) -> list[LimitReport]:
        full = HistogramRow(
            3, 65_535, 2, 1, tuple((c, 255) for c in range(40)), tuple((c, 9) for c in range(9))
        )
        return [
            LimitReport(
                (1,),
                1000 + box,
                self.now_us - MINUTE if box % 2 else 0,
                (full, row(20, 3)),
                QuorumVote(77, ((3, 5),)),
            )
            for box in range(boxes)
        ]

    def test_all_survives_its_bytes_in_messages_of_a_datagram(self) -> None:
        parts = limit_messages.encode(1 << 40, 9, self.told(12), self.now_us)
        assert all(len(part) <= limit_messages.MAX_BYTES for part in parts)
        found: list[LimitReport] = []
        for part in parts:
            read = limit_messages.decode(part, self.now_us)
            assert read is not None
            assert read[:2] == (1 << 40, 9)
            found += read[2]
        assert sum(len(one.rows) for one in found) == 24
        assert [one.vote for one in found if one.vote] == [QuorumVote(77, ((3, 5),))] * 12
        assert found[0].rows[0] == self.told(1)[0].rows[0]
        assert {one.started_us for one in found} == {0, self.now_us - MINUTE}

    def test_rows_of_a_later_version_are_passed_over_and_cut_ones_refused(self) -> None:
        raw = limit_messages.encode(1, 2, self.told(1)[:1], self.now_us)[1]  # words: short
        later = raw[: limit_messages.HEAD.size] + bytes([9, 3, 1, 2, 3]) + raw[limit_messages.HEAD.size :]
        read = limit_messages.decode(later, self.now_us)
        assert read is not None
        assert [one.vote for one in read[2]] == [QuorumVote(77, ((3, 5),))]
        for part in limit_messages.encode(1, 2, self.told(1), self.now_us):
            for cut in range(len(part)):
                read = limit_messages.decode(part[:cut], self.now_us)
                assert read is None or len(read[2]) < 2

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=256))
    def test_no_bytes_do_harm(self, raw: bytes) -> None:
        for kind in limit_messages.KINDS:
            book = learned_book()
            book.on_message(1, bytes([kind]) + raw)

    def test_trades_survive_their_bytes(self) -> None:
        for said in (QuotaRequest(1 << 40, 7, Resource.SLOT, 3.0), QuotaTransfer(5, 9, Resource.SLOT, 0.0)):
            assert limit_messages.decode_slot_message(limit_messages.encode_slot_message(12, said)) == (
                12,
                said,
            )


def learned_book(index: int = 0, fronts: int = 3) -> LearnedLimits:
    rooms = [RoomTypeSettings(name="live", objective_ms=500, client_timeout_ms=2000)]
    told, clock = SlotSettings(start=9), FixedClock()
    instance = Instance(index=index, fronts=fronts)
    book = LearnedLimits(
        told, rooms, 4, instance, 1, clock, Random(1), threading.RLock(), lambda event, **_: None
    )
    book.list_servers = lambda: [ListedServer("box:1", "big", 0, False)]
    return book


class FixedClock:
    """Time stands until it is moved."""

    now = MINUTE

    def now_us(self) -> int:
        return self.now

    def wall_us(self) -> int:
        return self.now + 10**15


class BookTest(unittest.TestCase):
    def fleet(self, fronts: int = 3) -> list[LearnedLimits]:
        books = [learned_book(i, fronts) for i in range(fronts)]
        for i, book in enumerate(books):
            book.send = lambda to, raw, i=i: books[to].on_message(i, raw)  # type: ignore[misc]
        for _ in range(2):
            for book in books:
                book.clock.now += 500_000  # type: ignore[attr-defined]
                book.close_window()
        return books

    def test_fronts_clear_each_other_lend_and_never_take_one_too_many(self) -> None:
        books = self.fleet()
        shape = books[0].workload_shape("live", 3, "box:1")
        taken = 0
        for _ in range(8):
            while books[0].try_acquire("box:1", shape, 1_000_000):
                taken += 1
            assert not books[0].has_free_slot("box:1")
            books[0].clock.now += 150_000  # type: ignore[attr-defined]
            books[0].exchange_quota()
        assert taken >= 7
        while books[1].try_acquire("box:1", shape, 1_000_000) or books[2].try_acquire(
            "box:1", shape, 1_000_000
        ):
            taken += 1
        assert taken == 9
        books[0].on_attempt_ended("box:1", shape, 100_000, True)
        assert books[0].try_acquire("box:1", shape, 1000000)

    def test_a_line_is_not_forgotten_with_those_that_were_passed_over(self) -> None:
        book = self.fleet(1)[0]
        book.set_waiting_count("box:1", 3)
        while book.has_free_slot("box:1"):
            book.try_acquire("box:1", 0, 1_000_000)
        book.clock.now += 500_000  # type: ignore[attr-defined]
        book.close_window()
        assert book.replica.servers[book.server_keys["box:1"]].loans.waiting == 3
        book.set_waiting_count("box:1", 0)
        assert book.replica.servers[book.server_keys["box:1"]].loans.waiting == 0

    def test_a_box_that_no_list_names_takes_none_and_one_that_is_gone_neither(self) -> None:
        book = self.fleet(1)[0]
        assert book.has_free_slot("box:1")
        assert not book.has_free_slot("box:2")
        book.list_servers = lambda: []
        book.clock.now += 500_000  # type: ignore[attr-defined]
        book.close_window()
        assert not book.has_free_slot("box:1")
        assert book.status()["boxes"] == {}

    def test_what_is_kept_is_taken_up_by_the_next_life(self) -> None:
        book = self.fleet(1)[0]
        book.replica.servers[book.server_keys["box:1"]].agreement.limit = 50
        values = dict(book.snapshot_records())
        after = learned_book(0, 1)
        after.clock.now += 500_000  # type: ignore[attr-defined]
        after.restore(values)
        after.close_window()
        found = after.replica.servers[after.server_keys["box:1"]].agreement.limit
        assert found > 45
        assert found <= 50

    def test_holds_of_joins_that_say_nothing_are_not_learned(self) -> None:
        book = self.fleet(1)[0]
        shape = book.workload_shape("live", 0, "box:1")
        for answered in (None, None, True):
            book.try_acquire("box:1", shape, 1_000_000)
            book.on_attempt_ended("box:1", shape, 40_000 if answered else 1, answered)
        book.clock.now += 500_000  # type: ignore[attr-defined]
        book.close_window()
        found = book.median_hold_us("box:1", shape)
        assert found is not None
        assert found > 30000


class KeptTest(unittest.TestCase):
    def test_it_is_taken_up_aged_and_by_the_same_box_alone(self) -> None:
        wall = 10**15
        raw = msgspec.msgpack.encode(persisted.StoredLimit("big", wall - 10**9, 80, wall))
        assert persisted.restore_limit(raw, "big", wall - 10**9, 16, wall) == 80
        later = persisted.restore_limit(raw, "big", wall - 10**9, 16, wall + HALF_LIFE_US)
        assert later == 48
        assert persisted.restore_limit(raw, "big", wall - 10**8, 16, wall) is None
        assert persisted.restore_limit(raw, "small", wall - 10**9, 16, wall) is None
        assert persisted.restore_limit(raw[:-1], "big", wall - 10**9, 16, wall) is None
        assert persisted.restore_limit(raw, "big", wall - 10**9, 16, wall - 1) is None


class JudgeTest(unittest.TestCase):
    """What the judge of joins out holds against a day, from boxes' records alone."""

    def records(
        self, at_once: int, late: int, *more: dict[str, object], troubles: tuple[str, ...] = ()
    ) -> Any:
        told = {"over": 2.0, "learn_s": 5.0, "late": 0.1}
        records: list[dict[str, object]] = [
            {"what": "terms", "t_us": 0, "slots": told, "troubles": list(troubles)},
            {"what": "knee", "t_us": 0, "box": "a", "knee": 4},
            {"what": "day_began", "t_us": 0},
        ]
        for number in range(100):
            at_us = 10_000_000 + number // at_once * 1_000_000
            how = "front_closed" if number < late else "started"
            records.append({"what": "set_up", "t_us": at_us, "box": "a"})
            records.append({"what": "set_up_over", "t_us": at_us + 500_000, "box": "a", "how": how})
        return sorted([*records, *more], key=lambda record: int(str(record["t_us"])))

    def rules(self, records: Any) -> list[int]:
        return sorted({fault.rule for fault in day_slots.slots(records)[1]})

    def test_joins_out_are_counted_at_boxes_and_held_against_the_knee(self) -> None:
        shown, faults = day_slots.slots(self.records(8, 0))
        assert (shown.most, faults) == ({"a": 8}, [])
        assert self.rules(self.records(9, 0)) == [day_slots.OVER]
        # Before it could be learned nothing is held against it; after a knee's change there is time again.
        knee = {"what": "knee", "t_us": 9_000_000, "box": "a", "knee": 1}
        assert self.rules(self.records(100, 0, knee)) == []
        assert self.rules(self.records(4, 0, knee)) == [day_slots.OVER]

    def test_joins_given_up_are_held_against_it(self) -> None:
        assert self.rules(self.records(4, 10)) == []
        assert self.rules(self.records(4, 11)) == [day_slots.LATE]

    def test_a_day_whose_fault_has_not_struck_fails(self) -> None:
        fault = {"what": "fault", "t_us": 0, "on": True}
        carried = {"what": "carried", "t_us": 99_000_000, "lost datagrams fronts fronts": 5}
        shift = {"what": "trouble", "t_us": 11_000_000, "kind": "knee"}
        lies = {"what": "lies", "t_us": 99_000_000, "sent": 4}
        for name, struck in (("between", (fault, carried)), ("knee", (shift,)), ("slots-lie", (lies,))):
            assert self.rules(self.records(4, 0, troubles=(name,))) == [day_slots.STRUCK]
            assert self.rules(self.records(4, 0, *struck, troubles=(name,))) == []


class WorldsTest(unittest.TestCase):
    def test_in_no_small_world_is_there_one_too_many(self) -> None:
        seen_worlds, worst = slots_worlds.search(60, 300, 3)
        assert worst == ""
        assert seen_worlds == 18000

    def test_planted_faults_are_found(self) -> None:
        for fault in ("any-word", "from-receipt", "backs-used"):
            with self.subTest(fault), slots_worlds.planted(fault):
                assert slots_worlds.search(400, 300, 1)[1] != ""


class FleetTest(unittest.TestCase):
    def test_the_number_follows_a_knee_that_halves_and_no_box_is_pushed_over(self) -> None:
        sim = slots_sim.Sim("learned", "shift", 4, 1, 1)
        sim.run(50_000_000)
        before = sim.number(0)
        assert before >= 0.75 * sim.knees[0]
        sim.run(75_000_000)
        assert sim.number(0) < before
        assert sim.number(0) <= 2 * sim.boxes[0].knee
        assert sim.boxes[0].falls == 0


if __name__ == "__main__":
    unittest.main()
