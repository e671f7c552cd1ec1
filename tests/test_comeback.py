"""Order of return after a start, what is believed of before, and who gets the few turns of cold boxes."""

from __future__ import annotations

import unittest
from itertools import product

import msgspec
from fennelcove.decisions.fleet import recovery_admission, slow_start_allocation, snapshot_trust
from fennelcove.decisions.fleet.recovery_admission import (
    AdmissionDecision,
    RecoveryAdmission,
    RecoveryEvent,
    RecoveryState,
    RequestKind,
)
from fennelcove.decisions.fleet.slow_start_allocation import SlowStartAllocation, TitleDemand
from fennelcove.decisions.fleet.snapshot_trust import Evidence, FactKind, LossKind, SnapshotAge, SnapshotUse
from fennelcove.decisions.recovery import snapshot

SECOND = 1_000_000


class ComebackTest(unittest.TestCase):
    def test_a_door_that_waits_does_so_for_list_and_boxes_but_never_for_ever(self) -> None:
        start = RecoveryAdmission(0)
        start.on_endpoints_listed({"x", "y"}, 10)
        start.on_server_settled("x", 20)
        assert start.state is RecoveryState.ASKING
        start.on_server_settled("y", 30)
        assert start.state is RecoveryState.OPEN
        late = RecoveryAdmission(0)
        assert late.remaining_us(recovery_admission.ENDPOINT_LIST_TIMEOUT_US) == 0
        late.apply(RecoveryEvent.TIMED_OUT, recovery_admission.ENDPOINT_LIST_TIMEOUT_US)
        assert late.state is RecoveryState.OPEN

    def test_a_box_that_stays_silent_holds_back_only_what_needs_its_account_and_not_for_ever(self) -> None:
        start = RecoveryAdmission(0, True, 4 * SECOND)
        start.on_endpoints_listed({"x", "silent"}, 10)
        start.on_server_settled("x", 20)
        start.advance(False, 20 + recovery_admission.GREETING_TIMEOUT_US)
        assert start.state is RecoveryState.SETTLING
        assert start.decide(RequestKind.PLAIN) is not AdmissionDecision.RETRY_LATER
        assert start.decide(RequestKind.ACCOUNTED) is AdmissionDecision.RETRY_LATER
        start.advance(
            False, 20 + recovery_admission.GREETING_TIMEOUT_US + recovery_admission.SETTLING_TIMEOUT_US
        )
        assert start.decide(RequestKind.ACCOUNTED) is AdmissionDecision.ADMIT

    def test_from_every_phase_the_door_opens_whoever_stays_silent(self) -> None:
        """Every order of inputs up to six long, then silence: no phase outlasts its limit."""
        boxes, count = ["x", "y"], 0
        moves = ("listed", "x", "y", "cold", "warm")
        for order in product(moves, repeat=6):
            start, now_us = RecoveryAdmission(0, True, 2 * SECOND), 0
            for move in order:
                now_us += SECOND // 3
                if move == "listed":
                    start.on_endpoints_listed(set(boxes), now_us)
                elif move in boxes:
                    start.on_server_settled(move, now_us)
                start.advance(move == "cold", now_us)
            for _ in range(3):
                now_us += 30 * SECOND
                start.advance(False, now_us)
            assert start.state is RecoveryState.OPEN, order
            count += 1
        assert count == 5**6

    def test_nothing_with_accounts_comes_in_before_they_are_settled(self) -> None:
        for (phase, kind), let in recovery_admission.ADMISSION_RULES.items():
            settled = phase in (RecoveryState.RATIONED, RecoveryState.OPEN)
            if kind is RequestKind.ACCOUNTED and not settled:
                assert let is AdmissionDecision.RETRY_LATER
        assert set(recovery_admission.ADMISSION_RULES) == set(product(RecoveryState, RequestKind))

    def test_boxes_that_fall_again_and_again_do_not_ration_for_ever(self) -> None:
        start = RecoveryAdmission(0, True, 4 * SECOND)
        start.on_endpoints_listed({"x"}, 10)
        start.on_server_settled("x", 20)
        assert start.advance(True, 30)
        assert start.state is RecoveryState.RATIONED
        start.apply(RecoveryEvent.TIMED_OUT, 30 + recovery_admission.MAX_RATIONED_SLOW_STARTS * 4 * SECOND)
        assert start.state is RecoveryState.OPEN


class TrustTest(unittest.TestCase):
    def test_what_is_older_or_lost_more_is_never_believed_more(self) -> None:
        assert set(snapshot_trust.TRUST_RULES) == set(FactKind)
        for fact, rows in snapshot_trust.TRUST_RULES.items():
            assert len(rows) == len(LossKind)
            for loss, age in product(LossKind, SnapshotAge):
                if fact is not FactKind.RETRY_BUDGET:  # an old budget is spent by its own span
                    older = snapshot_trust.snapshot_use(
                        fact, loss, SnapshotAge(min(age + 1, SnapshotAge.OLD))
                    )
                    assert older >= snapshot_trust.snapshot_use(fact, loss, age)
                worse = snapshot_trust.snapshot_use(fact, LossKind.ALL, age)
                assert worse >= snapshot_trust.snapshot_use(fact, LossKind.SELF, age)

    def test_a_fleet_that_was_lost_is_told_from_a_front_by_what_is_heard(self) -> None:
        assert (
            snapshot_trust.infer_loss(Evidence(observed_servers=9, restarted_servers=1, observed_fronts=5))
            is LossKind.SELF
        )
        assert (
            snapshot_trust.infer_loss(
                Evidence(observed_servers=9, restarted_servers=8, observed_fronts=5, restarted_fronts=5)
            )
            is LossKind.ALL
        )
        assert snapshot_trust.infer_loss(Evidence(observed_servers=9, restarted_servers=8)) is LossKind.ALL
        assert (
            snapshot_trust.infer_loss(Evidence(observed_servers=9, observed_fronts=5, restarted_fronts=4))
            is LossKind.FRONTS
        )
        assert snapshot_trust.infer_loss(Evidence()) is LossKind.SELF

    def test_a_folder_is_old_where_others_know_a_later_life_and_unknown_where_a_clock_went_back(self) -> None:
        fresh = Evidence(
            written_us=100 * SECOND, wall_us=103 * SECOND, saved_incarnation=7, latest_known_incarnation=7
        )
        assert snapshot_trust.snapshot_age(fresh) is SnapshotAge.FRESH
        copied = Evidence(
            written_us=100 * SECOND, wall_us=103 * SECOND, saved_incarnation=7, latest_known_incarnation=9
        )
        assert snapshot_trust.snapshot_age(copied) is SnapshotAge.OLD
        back = Evidence(written_us=3700 * SECOND, wall_us=100 * SECOND)
        assert snapshot_trust.snapshot_age(back) is SnapshotAge.UNKNOWN
        assert (
            snapshot_trust.snapshot_use(FactKind.STRIKES, LossKind.SELF, SnapshotAge.UNKNOWN)
            is SnapshotUse.DROP
        )
        assert snapshot_trust.snapshot_age(Evidence(wall_us=SECOND)) is SnapshotAge.OLD

    def test_records_of_the_first_format_are_read_and_newer_ones_are_not_guessed_at(self) -> None:
        first = msgspec.msgpack.encode([5 * SECOND, [1], [2], 3.5, 9])
        old = snapshot.migrate_records({b"front": first})
        front = snapshot.read_front(old[b"front"])
        assert front is not None
        assert (front.usual, front.seen, front.life, front.list_version) == (3.5, 9, 0, -1)
        assert snapshot.migrate_records({b"front": first, b"format": b"3"}) == {}
        assert snapshot.migrate_records({b"front": first, b"format": b"2"}) == {b"front": first}


class RationTest(unittest.TestCase):
    def test_the_lesser_benefit_steps_back_by_what_the_greater_needs(self) -> None:
        demand = TitleDemand(0)
        for _ in range(20):
            demand.record_request(3.0)
            demand.record_request(1.0)
        asked = 20 * SECOND / slow_start_allocation.DEMAND_WINDOW_US
        assert demand.admitted_fraction(3.0, asked) == 1.0
        assert demand.admitted_fraction(1.0, asked) < 0.6
        assert demand.admitted_fraction(1.0, asked / 10) == slow_start_allocation.MIN_ADMITTED_FRACTION
        assert demand.admitted_fraction(1.0, 10 * asked) == 1.0

    def test_waits_that_are_told_follow_the_pace_and_stay_within_what_may_be_told(self) -> None:
        demand = TitleDemand(0)
        waits = [demand.retry_after_us(2.0, None, 0.5) for _ in range(10)]
        assert waits == sorted(waits)
        assert waits[-1] == 5 * SECOND
        demand.advance(4 * SECOND, 2.0)
        assert demand.retry_after_us(2.0, None, 0.5) < waits[-1]
        capped = [demand.retry_after_us(0.1, 2 * SECOND, draw / 10) for draw in range(10)]
        assert max(capped) <= 2 * SECOND
        assert min(capped) >= SECOND

    def test_titles_are_bounded(self) -> None:
        held = SlowStartAllocation()
        for number in range(slow_start_allocation.MAX_TITLES + 50):
            held.retry_after_us(f"t{number}", 1.0, 1.0, None, 0, 0.0)
        assert len(held.demands) == slow_start_allocation.MAX_TITLES


if __name__ == "__main__":
    unittest.main()
