"""Fleet-wide load shedding: summaries merge in any order, levels recover, due tickets are admitted."""

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


def load_summary(sequence: int, requested: int, served: int, incarnation: int = 1) -> LoadSummary:
    return LoadSummary(incarnation, sequence, ((requested, served, requested - served),))


class FleetLoadTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_summaries_merge_the_same_in_any_order_and_repeated(self, seed: int) -> None:
        rng = Random(seed)
        sent = [
            (front, load_summary(sequence, rng.randrange(50), rng.randrange(20), rng.choice((1, 2))))
            for front in range(1, 5)
            for sequence in range(1, 6)
        ]
        results = []
        for _ in range(3):
            received = sent + rng.sample(sent, 8)
            rng.shuffle(received)
            estimator = FleetLoadEstimator(1, 0)
            for front, summary in received:
                estimator.on_summary(front, summary, 0)
            results.append({front: estimator.peer_summaries[front][0] for front in estimator.peer_summaries})
        assert results[0] == results[1]
        assert results[0] == results[2]

    def test_fronts_without_a_summary_count_with_this_fronts_own_load(self) -> None:
        estimator = FleetLoadEstimator(2, 0)
        for _ in range(10):
            estimator.record_requested(1)
        estimator.advance(WINDOW)
        assert estimator.totals(4, WINDOW).class_loads == ((0, 0, 0), (40, 0, 0))
        estimator.on_summary(1, LoadSummary(1, 1, ((6, 6, 0), (0, 0, 0))), WINDOW)
        assert estimator.totals(4, WINDOW).class_loads == ((6, 6, 0), (30, 0, 0))
        assert estimator.totals(4, WINDOW + 2 * fleet_load.STALE_US).reporting_peers == 0

    def test_outlier_summary_is_capped(self) -> None:
        estimator = FleetLoadEstimator(1, 0)
        for _ in range(10):
            estimator.record_requested(0)
        estimator.advance(WINDOW)
        for front, requested in ((1, 10), (2, 12), (3, 1000)):
            estimator.on_summary(front, load_summary(1, requested, 0), WINDOW)
        assert estimator.totals(4, WINDOW).requested <= 10 + 10 + 12 + fleet_load.MAX_MEDIAN_MULTIPLE * 11

    def test_summary_codec_round_trips_and_rejects_truncated_messages(self) -> None:
        summary = LoadSummary(1 << 40, 9, ((1, 2, 3), (40_000, 5, 6)))
        payload = messages.encode_load_summary(summary)
        assert messages.decode_load_summary(payload) == summary
        assert messages.decode(0, payload) is None
        for length in range(len(payload)):
            assert messages.decode_load_summary(payload[:length]) != summary


def fleet_totals(requested: int, served: int) -> FleetTotals:
    return FleetTotals(((requested, served, requested - served),), 0)


class SheddingPolicyTest(unittest.TestCase):
    def test_every_level_has_an_action_per_ticket_status_and_admits_due_tickets(self) -> None:
        for level in SheddingLevel:
            for status in TicketStatus:
                assert (level, status) in shedding.ACTIONS
            assert shedding.ACTIONS[level, TicketStatus.DUE] is SheddingAction.ADMIT

    def test_level_rises_at_once_and_falls_step_by_step(self) -> None:
        for totals in (fleet_totals(100, 70), fleet_totals(100, 45), fleet_totals(100, 10)):
            policy = SheddingPolicy()
            policy.on_window_closed(totals)
            highest = policy.level
            assert highest is shedding.TARGET_LEVELS[shedding.load_signal(totals)]
            window_count = 0
            while policy.level is not SheddingLevel.NONE:
                policy.on_window_closed(fleet_totals(100, 99))
                window_count += 1
            assert window_count == highest * shedding.CALM_WINDOWS_PER_STEP_DOWN

    def test_fluctuating_load_does_not_make_the_level_oscillate(self) -> None:
        policy, rng = SheddingPolicy(), Random(4)
        for _ in range(400):
            policy.on_window_closed(fleet_totals(100, rng.choice((55, 65, 80))))
        assert policy.change_count < 12

    def test_few_requests_give_no_load_signal(self) -> None:
        assert shedding.load_signal(fleet_totals(shedding.MIN_REQUESTS - 1, 0)) is LoadSignal.NORMAL


if __name__ == "__main__":
    unittest.main()
