"""Recovery after a start: admission, trust in the snapshot, and allocation of slots in slow start."""

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


class RecoveryAdmissionTest(unittest.TestCase):
    def test_without_a_gate_the_front_waits_for_the_list_and_the_servers_within_a_limit(self) -> None:
        admission = RecoveryAdmission(0)
        admission.on_endpoints_listed({"x", "y"}, 10)
        admission.on_server_settled("x", 20)
        assert admission.state is RecoveryState.ASKING
        admission.on_server_settled("y", 30)
        assert admission.state is RecoveryState.OPEN
        without_list = RecoveryAdmission(0)
        assert without_list.remaining_us(recovery_admission.ENDPOINT_LIST_TIMEOUT_US) == 0
        without_list.apply(RecoveryEvent.TIMED_OUT, recovery_admission.ENDPOINT_LIST_TIMEOUT_US)
        assert without_list.state is RecoveryState.OPEN

    def test_a_silent_server_delays_only_accounted_requests_and_only_until_the_limit(self) -> None:
        admission = RecoveryAdmission(0, True, 4 * SECOND)
        admission.on_endpoints_listed({"x", "silent"}, 10)
        admission.on_server_settled("x", 20)
        admission.advance(False, 20 + recovery_admission.GREETING_TIMEOUT_US)
        assert admission.state is RecoveryState.SETTLING
        assert admission.decide(RequestKind.PLAIN) is not AdmissionDecision.RETRY_LATER
        assert admission.decide(RequestKind.ACCOUNTED) is AdmissionDecision.RETRY_LATER
        admission.advance(
            False, 20 + recovery_admission.GREETING_TIMEOUT_US + recovery_admission.SETTLING_TIMEOUT_US
        )
        assert admission.decide(RequestKind.ACCOUNTED) is AdmissionDecision.ADMIT

    def test_every_state_ends_in_open_even_without_further_input(self) -> None:
        """All sequences of six inputs, each followed by silence: no state outlasts its time limit."""
        servers, count = ["x", "y"], 0
        inputs = ("listed", "x", "y", "warming_up", "warm")
        for sequence in product(inputs, repeat=6):
            admission, now_us = RecoveryAdmission(0, True, 2 * SECOND), 0
            for input_name in sequence:
                now_us += SECOND // 3
                if input_name == "listed":
                    admission.on_endpoints_listed(set(servers), now_us)
                elif input_name in servers:
                    admission.on_server_settled(input_name, now_us)
                admission.advance(input_name == "warming_up", now_us)
            for _ in range(3):
                now_us += 30 * SECOND
                admission.advance(False, now_us)
            assert admission.state is RecoveryState.OPEN, sequence
            count += 1
        assert count == 5**6

    def test_accounted_requests_are_not_admitted_before_sessions_are_settled(self) -> None:
        for (state, kind), decision in recovery_admission.ADMISSION_RULES.items():
            is_settled = state in (RecoveryState.RATIONED, RecoveryState.OPEN)
            if kind is RequestKind.ACCOUNTED and not is_settled:
                assert decision is AdmissionDecision.RETRY_LATER
        assert set(recovery_admission.ADMISSION_RULES) == set(product(RecoveryState, RequestKind))

    def test_servers_that_keep_crashing_do_not_ration_without_end(self) -> None:
        admission = RecoveryAdmission(0, True, 4 * SECOND)
        admission.on_endpoints_listed({"x"}, 10)
        admission.on_server_settled("x", 20)
        assert admission.advance(True, 30)
        assert admission.state is RecoveryState.RATIONED
        admission.apply(
            RecoveryEvent.TIMED_OUT, 30 + recovery_admission.MAX_RATIONED_SLOW_STARTS * 4 * SECOND
        )
        assert admission.state is RecoveryState.OPEN


class SnapshotTrustTest(unittest.TestCase):
    def test_an_older_snapshot_or_a_greater_loss_is_never_trusted_more(self) -> None:
        assert set(snapshot_trust.TRUST_RULES) == set(FactKind)
        for fact, uses_by_loss in snapshot_trust.TRUST_RULES.items():
            assert len(uses_by_loss) == len(LossKind)
            for loss, age in product(LossKind, SnapshotAge):
                if fact is not FactKind.RETRY_BUDGET:  # an old budget expires by its own window
                    use_if_older = snapshot_trust.snapshot_use(
                        fact, loss, SnapshotAge(min(age + 1, SnapshotAge.OLD))
                    )
                    assert use_if_older >= snapshot_trust.snapshot_use(fact, loss, age)
                all_lost = snapshot_trust.snapshot_use(fact, LossKind.ALL, age)
                assert all_lost >= snapshot_trust.snapshot_use(fact, LossKind.SELF, age)

    def test_the_loss_of_a_fleet_is_inferred_from_the_observed_restarts(self) -> None:
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

    def test_a_snapshot_is_old_if_a_later_incarnation_is_known_and_unknown_if_the_clock_was_set_back(
        self,
    ) -> None:
        fresh = Evidence(
            written_us=100 * SECOND, wall_us=103 * SECOND, saved_incarnation=7, latest_known_incarnation=7
        )
        assert snapshot_trust.snapshot_age(fresh) is SnapshotAge.FRESH
        copied = Evidence(
            written_us=100 * SECOND, wall_us=103 * SECOND, saved_incarnation=7, latest_known_incarnation=9
        )
        assert snapshot_trust.snapshot_age(copied) is SnapshotAge.OLD
        clock_set_back = Evidence(written_us=3700 * SECOND, wall_us=100 * SECOND)
        assert snapshot_trust.snapshot_age(clock_set_back) is SnapshotAge.UNKNOWN
        assert (
            snapshot_trust.snapshot_use(FactKind.STRIKES, LossKind.SELF, SnapshotAge.UNKNOWN)
            is SnapshotUse.DROP
        )
        assert snapshot_trust.snapshot_age(Evidence(wall_us=SECOND)) is SnapshotAge.OLD

    def test_records_of_the_first_format_are_read_and_those_of_a_newer_one_are_not(self) -> None:
        first_format = msgspec.msgpack.encode([5 * SECOND, [1], [2], 3.5, 9])
        migrated = snapshot.migrate_records({b"front": first_format})
        front = snapshot.read_front(migrated[b"front"])
        assert front is not None
        assert (front.usual, front.seen, front.life, front.list_version) == (3.5, 9, 0, -1)
        assert snapshot.migrate_records({b"front": first_format, b"format": b"3"}) == {}
        assert snapshot.migrate_records({b"front": first_format, b"format": b"2"}) == {b"front": first_format}


class SlowStartAllocationTest(unittest.TestCase):
    def test_lower_weights_yield_the_slots_that_higher_weights_need(self) -> None:
        demand = TitleDemand(0)
        for _ in range(20):
            demand.record_request(3.0)
            demand.record_request(1.0)
        requests_per_s = 20 * SECOND / slow_start_allocation.DEMAND_WINDOW_US
        assert demand.admitted_fraction(3.0, requests_per_s) == 1.0
        assert demand.admitted_fraction(1.0, requests_per_s) < 0.6
        assert (
            demand.admitted_fraction(1.0, requests_per_s / 10) == slow_start_allocation.MIN_ADMITTED_FRACTION
        )
        assert demand.admitted_fraction(1.0, 10 * requests_per_s) == 1.0

    def test_retry_after_follows_the_slot_rate_and_stays_within_the_limit(self) -> None:
        demand = TitleDemand(0)
        retry_afters_us = [demand.retry_after_us(2.0, None, 0.5) for _ in range(10)]
        assert retry_afters_us == sorted(retry_afters_us)
        assert retry_afters_us[-1] == 5 * SECOND
        demand.advance(4 * SECOND, 2.0)
        assert demand.retry_after_us(2.0, None, 0.5) < retry_afters_us[-1]
        limited_us = [demand.retry_after_us(0.1, 2 * SECOND, draw / 10) for draw in range(10)]
        assert max(limited_us) <= 2 * SECOND
        assert min(limited_us) >= SECOND

    def test_the_number_of_titles_is_bounded(self) -> None:
        allocation = SlowStartAllocation()
        for number in range(slow_start_allocation.MAX_TITLES + 50):
            allocation.retry_after_us(f"t{number}", 1.0, 1.0, None, 0, 0.0)
        assert len(allocation.demands) == slow_start_allocation.MAX_TITLES


if __name__ == "__main__":
    unittest.main()
