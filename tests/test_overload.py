"""Shedding as one: summaries merge alike in any order, the ladder is left again, nobody due passed over."""

from __future__ import annotations

import unittest
from random import Random

from fennelcove import messages
from fennelcove.decisions.clients.waiting_room import TicketStatus
from fennelcove.decisions.fleet import fleet_load, shedding
from fennelcove.decisions.fleet.fleet_load import FleetLoadEstimator, FleetTotals, LoadSummary
from fennelcove.decisions.fleet.shedding import LoadSignal, SheddingAction, SheddingLevel, SheddingPolicy
from hypothesis import given, settings
from hypothesis import strategies as st

WINDOW = fleet_load.WINDOW_US


def said(number: int, asked: int, served: int, life: int = 1) -> LoadSummary:
    return LoadSummary(life, number, ((asked, served, asked - served),))


class BurdenTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_summaries_merge_alike_in_any_order_and_number(self, seed: int) -> None:
        chance = Random(seed)
        sent = [
            (front, said(number, chance.randrange(50), chance.randrange(20), chance.choice((1, 2))))
            for front in range(1, 5)
            for number in range(1, 6)
        ]
        results = []
        for _ in range(3):
            order = sent + chance.sample(sent, 8)
            chance.shuffle(order)
            held = FleetLoadEstimator(1, 0)
            for front, summary in order:
                held.on_summary(front, summary, 0)
            results.append({front: held.peer_summaries[front][0] for front in held.peer_summaries})
        assert results[0] == results[1]
        assert results[0] == results[2]

    def test_fronts_that_are_not_heard_are_taken_for_ones_own_likes(self) -> None:
        held = FleetLoadEstimator(2, 0)
        for _ in range(10):
            held.record_requested(1)
        held.advance(WINDOW)
        assert held.totals(4, WINDOW).class_loads == ((0, 0, 0), (40, 0, 0))
        held.on_summary(1, LoadSummary(1, 1, ((6, 6, 0), (0, 0, 0))), WINDOW)
        assert held.totals(4, WINDOW).class_loads == ((6, 6, 0), (30, 0, 0))
        assert held.totals(4, WINDOW + 2 * fleet_load.STALE_US).reporting_peers == 0

    def test_one_that_tells_a_hundred_times_more_is_taken_at_a_bound(self) -> None:
        held = FleetLoadEstimator(1, 0)
        for _ in range(10):
            held.record_requested(0)
        held.advance(WINDOW)
        for front, asked in ((1, 10), (2, 12), (3, 1000)):
            held.on_summary(front, said(1, asked, 0), WINDOW)
        assert held.totals(4, WINDOW).requested <= 10 + 10 + 12 + fleet_load.MAX_MEDIAN_MULTIPLE * 11

    def test_a_summary_survives_its_bytes_and_cut_ones_are_refused(self) -> None:
        summary = LoadSummary(1 << 40, 9, ((1, 2, 3), (40_000, 5, 6)))
        raw = messages.encode_load_summary(summary)
        assert messages.decode_load_summary(raw) == summary
        assert messages.decode(0, raw) is None
        for cut in range(len(raw)):
            assert messages.decode_load_summary(raw[:cut]) != summary


def figures(asked: int, served: int) -> FleetTotals:
    return FleetTotals(((asked, served, asked - served),), 0)


class LadderTest(unittest.TestCase):
    def test_every_step_has_an_answer_for_everyone_and_passes_whose_time_has_come(self) -> None:
        for level in SheddingLevel:
            for who in TicketStatus:
                assert (level, who) in shedding.ACTIONS
            assert shedding.ACTIONS[level, TicketStatus.DUE] is SheddingAction.ADMIT

    def test_it_is_climbed_at_once_and_left_again_step_by_step(self) -> None:
        for worst in (figures(100, 70), figures(100, 45), figures(100, 10)):
            ladder = SheddingPolicy()
            ladder.on_window_closed(worst)
            top = ladder.level
            assert top is shedding.TARGET_LEVELS[shedding.load_signal(worst)]
            windows = 0
            while ladder.level is not SheddingLevel.NONE:
                ladder.on_window_closed(figures(100, 99))
                windows += 1
            assert windows == top * shedding.CALM_WINDOWS_PER_STEP_DOWN

    def test_figures_that_waver_do_not_make_it_swing(self) -> None:
        ladder, chance = SheddingPolicy(), Random(4)
        for _ in range(400):
            ladder.on_window_closed(figures(100, chance.choice((55, 65, 80))))
        assert ladder.change_count < 12

    def test_few_requests_say_nothing(self) -> None:
        assert shedding.load_signal(figures(shedding.MIN_REQUESTS - 1, 0)) is LoadSignal.NORMAL


if __name__ == "__main__":
    unittest.main()
