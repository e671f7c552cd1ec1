"""Order of return after a start, what is believed of before, and who gets the few turns of cold boxes."""

from __future__ import annotations

import unittest
from itertools import product

import msgspec

from fennelcove.decisions.fleet import comeback, ration, trust
from fennelcove.decisions.fleet.comeback import Comeback, Cue, Kind, Let, Phase
from fennelcove.decisions.fleet.ration import Demand, Ration
from fennelcove.decisions.fleet.trust import Age, Evidence, Fact, Loss, Use
from fennelcove.decisions.kept import recovery

SECOND = 1_000_000


class ComebackTest(unittest.TestCase):
    def test_a_door_that_waits_does_so_for_list_and_boxes_but_never_for_ever(self) -> None:
        start = Comeback(0)
        start.listed({"x", "y"}, 10)
        start.settled("x", 20)
        self.assertIs(start.phase, Phase.ASKING)
        start.settled("y", 30)
        self.assertIs(start.phase, Phase.OPEN)
        late = Comeback(0)
        self.assertEqual(late.left_us(comeback.LIST_WAIT_US), 0)
        late.cue(Cue.TIME, comeback.LIST_WAIT_US)
        self.assertIs(late.phase, Phase.OPEN)

    def test_a_box_that_stays_silent_holds_back_only_what_needs_its_account_and_not_for_ever(self) -> None:
        start = Comeback(0, True, 4 * SECOND)
        start.listed({"x", "silent"}, 10)
        start.settled("x", 20)
        start.advance(False, 20 + comeback.GREET_WAIT_US)
        self.assertIs(start.phase, Phase.SETTLING)
        self.assertIsNot(start.entry(Kind.PLAIN), Let.WAIT)
        self.assertIs(start.entry(Kind.ACCOUNTED), Let.WAIT)
        start.advance(False, 20 + comeback.GREET_WAIT_US + comeback.SETTLE_US)
        self.assertIs(start.entry(Kind.ACCOUNTED), Let.IN)

    def test_from_every_phase_the_door_opens_whoever_stays_silent(self) -> None:
        """Every order of inputs up to six long, then silence: no phase outlasts its limit."""
        boxes, count = ["x", "y"], 0
        moves = ("listed", "x", "y", "cold", "warm")
        for order in product(moves, repeat=6):
            start, now_us = Comeback(0, True, 2 * SECOND), 0
            for move in order:
                now_us += SECOND // 3
                if move == "listed":
                    start.listed(set(boxes), now_us)
                elif move in boxes:
                    start.settled(move, now_us)
                start.advance(move == "cold", now_us)
            for _ in range(3):
                now_us += 30 * SECOND
                start.advance(False, now_us)
            self.assertIs(start.phase, Phase.OPEN, order)
            count += 1
        self.assertEqual(count, 5**6)

    def test_nothing_with_accounts_comes_in_before_they_are_settled(self) -> None:
        for (phase, kind), let in comeback.ENTRY.items():
            settled = phase in (Phase.RATIONED, Phase.OPEN)
            if kind is Kind.ACCOUNTED and not settled:
                self.assertIs(let, Let.WAIT)
        self.assertEqual(set(comeback.ENTRY), set(product(Phase, Kind)))

    def test_boxes_that_fall_again_and_again_do_not_ration_for_ever(self) -> None:
        start = Comeback(0, True, 4 * SECOND)
        start.listed({"x"}, 10)
        start.settled("x", 20)
        self.assertTrue(start.advance(True, 30))
        self.assertIs(start.phase, Phase.RATIONED)
        start.cue(Cue.TIME, 30 + comeback.RATIONED_RAMPS * 4 * SECOND)
        self.assertIs(start.phase, Phase.OPEN)


class TrustTest(unittest.TestCase):
    def test_what_is_older_or_lost_more_is_never_believed_more(self) -> None:
        self.assertEqual(set(trust.TABLE), set(Fact))
        for fact, rows in trust.TABLE.items():
            self.assertEqual(len(rows), len(Loss))
            for loss, age in product(Loss, Age):
                if fact is not Fact.BUDGET:  # an old budget is spent by its own span
                    older = trust.use(fact, loss, Age(min(age + 1, Age.OLD)))
                    self.assertGreaterEqual(older, trust.use(fact, loss, age))
                worse = trust.use(fact, Loss.ALL, age)
                self.assertGreaterEqual(worse, trust.use(fact, Loss.SELF, age))

    def test_a_fleet_that_was_lost_is_told_from_a_front_by_what_is_heard(self) -> None:
        self.assertIs(trust.loss(Evidence(boxes=9, boxes_new=1, fronts=5)), Loss.SELF)
        self.assertIs(trust.loss(Evidence(boxes=9, boxes_new=8, fronts=5, fronts_new=5)), Loss.ALL)
        self.assertIs(trust.loss(Evidence(boxes=9, boxes_new=8)), Loss.ALL)
        self.assertIs(trust.loss(Evidence(boxes=9, fronts=5, fronts_new=4)), Loss.FRONTS)
        self.assertIs(trust.loss(Evidence()), Loss.SELF)

    def test_a_folder_is_old_where_others_know_a_later_life_and_unknown_where_a_clock_went_back(self) -> None:
        fresh = Evidence(written_us=100 * SECOND, wall_us=103 * SECOND, kept_life=7, known_life=7)
        self.assertIs(trust.age(fresh), Age.FRESH)
        copied = Evidence(written_us=100 * SECOND, wall_us=103 * SECOND, kept_life=7, known_life=9)
        self.assertIs(trust.age(copied), Age.OLD)
        back = Evidence(written_us=3700 * SECOND, wall_us=100 * SECOND)
        self.assertIs(trust.age(back), Age.UNKNOWN)
        self.assertIs(trust.use(Fact.STRIKES, Loss.SELF, Age.UNKNOWN), Use.DROP)
        self.assertIs(trust.age(Evidence(wall_us=SECOND)), Age.OLD)

    def test_records_of_the_first_format_are_read_and_newer_ones_are_not_guessed_at(self) -> None:
        first = msgspec.msgpack.encode([5 * SECOND, [1], [2], 3.5, 9])
        old = recovery.migrated({b"front": first})
        front = recovery.read_front(old[b"front"])
        assert front is not None
        self.assertEqual((front.usual, front.seen, front.life, front.list_version), (3.5, 9, 0, -1))
        self.assertEqual(recovery.migrated({b"front": first, b"format": b"3"}), {})
        self.assertEqual(recovery.migrated({b"front": first, b"format": b"2"}), {b"front": first})


class RationTest(unittest.TestCase):
    def test_the_lesser_benefit_steps_back_by_what_the_greater_needs(self) -> None:
        demand = Demand(0)
        for _ in range(20):
            demand.ask(3.0)
            demand.ask(1.0)
        asked = 20 * SECOND / ration.SPAN_US
        self.assertEqual(demand.part(3.0, asked), 1.0)
        self.assertLess(demand.part(1.0, asked), 0.6)
        self.assertEqual(demand.part(1.0, asked / 10), ration.LEAST)
        self.assertEqual(demand.part(1.0, 10 * asked), 1.0)

    def test_waits_that_are_told_follow_the_pace_and_stay_within_what_may_be_told(self) -> None:
        demand = Demand(0)
        waits = [demand.wait_us(2.0, None, 0.5) for _ in range(10)]
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[-1], 5 * SECOND)
        demand.advance(4 * SECOND, 2.0)
        self.assertLess(demand.wait_us(2.0, None, 0.5), waits[-1])
        capped = [demand.wait_us(0.1, 2 * SECOND, draw / 10) for draw in range(10)]
        self.assertLessEqual(max(capped), 2 * SECOND)
        self.assertGreaterEqual(min(capped), SECOND)

    def test_titles_are_bounded(self) -> None:
        held = Ration()
        for number in range(ration.MOST_TITLES + 50):
            held.ask(f"t{number}", 1.0, 1.0, None, 0, 0.0)
        self.assertEqual(len(held.titles), ration.MOST_TITLES)


if __name__ == "__main__":
    unittest.main()
