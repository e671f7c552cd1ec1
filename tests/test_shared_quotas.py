"""Shared quotas and shared health checks: model checks, randomized runs and planted faults."""

from __future__ import annotations

import copy
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

from fennelcove import messages
from fennelcove.decisions.fleet import health_checks, shared_quotas
from fennelcove.decisions.fleet.health_checks import (
    HealthCheckAssignment,
    HealthReport,
    ProbeResult,
    chosen_checkers,
)
from fennelcove.decisions.fleet.shared_quotas import (
    BorrowedQuota,
    Quota,
    QuotaRequest,
    QuotaTransfer,
    Resource,
)
from hypothesis import given, settings
from hypothesis import strategies as st

STEP_US = shared_quotas.LOAN_US // 2
TOTAL_RATE = 6.0


@dataclass
class FleetModel:
    """A few fronts and the messages in flight between them."""

    quota_type: type[Quota] = Quota
    size: int = 3
    now_us: int = 0
    incarnation_count: int = 0
    quotas: dict[int, Quota] = field(default_factory=dict)
    in_flight: list[tuple[int, int, QuotaRequest | QuotaTransfer]] = field(default_factory=list)

    def start_front(self, index: int) -> None:
        self.incarnation_count += 1
        self.quotas[index] = self.quota_type(
            Resource.PROBE,
            TOTAL_RATE,
            self.size,
            index,
            self.incarnation_count,
            self.now_us,
            demand=TOTAL_RATE if index == 0 else 0.0,
        )

    def total_rate(self) -> float:
        return sum(quota.rate(self.now_us) for quota in self.quotas.values())

    def deliver(self, position: int, keep: bool) -> None:
        """Deliver one message; with `keep` it stays in flight and may be delivered again."""
        sender, recipient, message = self.in_flight[position] if keep else self.in_flight.pop(position)
        quota = self.quotas.get(recipient)
        if quota is None:
            return
        if isinstance(message, QuotaRequest):
            loan = quota.on_request(sender, message, self.now_us)
            if loan is not None:
                self.in_flight.append((recipient, sender, loan))
        else:
            quota.on_transfer(sender, message, self.now_us)

    def next_states(self) -> Iterator[FleetModel]:
        """All possible next states.

        Time passes; a message is delivered, duplicated or lost; a front requests capacity, crashes or starts.
        """
        for choice in ("time", *range(len(self.in_flight))):
            for fate in ("deliver", "duplicate", "lose") if choice != "time" else ("",):
                after = copy.deepcopy(self)
                if choice == "time":
                    after.now_us += STEP_US
                elif fate == "lose":
                    after.in_flight.pop(int(choice))
                else:
                    after.deliver(int(choice), fate == "duplicate")
                yield after
        for index in range(2):
            after = copy.deepcopy(self)
            if index in after.quotas:
                del after.quotas[index]
            else:
                after.start_front(index)
            yield after
        if 0 in self.quotas and len(self.in_flight) < 3:
            for lender in (1, 2):
                after = copy.deepcopy(self)
                quota = after.quotas[0]
                quota.demand = TOTAL_RATE
                draw = (lender - 1) / 2
                requests = quota.next_requests(draw, after.now_us)
                after.in_flight += [(0, other, message) for other, message in requests[:1]]
                yield after

    def key(self) -> object:
        """The state with relative times and numbers, so that equivalent states have equal keys."""
        quotas = tuple(
            (
                index,
                min(self.now_us - quota.started_us, 3 * STEP_US),
                tuple(
                    sorted(
                        (borrower, loan.rate, loan.until_us - self.now_us)
                        for borrower, loan in quota.lent.items()
                    )
                ),
                tuple(
                    sorted(
                        (lender, rate, until_us - self.now_us)
                        for lender, (rate, until_us) in quota.borrowed.items()
                        if until_us > self.now_us
                    )
                ),
                tuple(
                    (lender, self.now_us - sent_us) for lender, _, sent_us in quota.pending_requests.values()
                ),
                min(self.now_us - quota.requested_us, STEP_US),
            )
            for index, quota in sorted(self.quotas.items())
        )
        current = {index: (quota.incarnation, quota.sequence) for index, quota in self.quotas.items()}
        in_flight = tuple(
            sorted(
                (
                    sender,
                    recipient,
                    type(message).__name__,
                    message.incarnation
                    == current.get(sender if isinstance(message, QuotaRequest) else recipient, (0, 0))[0],
                    message.sequence
                    - current.get(sender if isinstance(message, QuotaRequest) else recipient, (0, 0))[1],
                    message.rate,
                )
                for sender, recipient, message in self.in_flight
            )
        )
        return quotas, in_flight


def search(quota_type: type[Quota], max_states: int) -> tuple[int, float]:
    """Search states breadth first until one exceeds the total.

    Returns:
        The number of states, and the largest sum of rates in any of them.
    """
    model = FleetModel(quota_type)
    for index in range(model.size):
        model.start_front(index)
    model.now_us = 2 * shared_quotas.LOAN_US  # all fronts have finished recovering
    seen, frontier, largest = {model.key()}, [model], model.total_rate()
    while frontier and len(seen) < max_states and largest <= TOTAL_RATE + 1e-9:
        next_frontier = []
        for state in frontier:
            for after in state.next_states():
                key = after.key()
                if key not in seen and len(seen) < max_states:
                    seen.add(key)
                    next_frontier.append(after)
                    largest = max(largest, after.total_rate())
        frontier = next_frontier
    return len(seen), largest


class CountsLoanFromReceipt(Quota):
    """A planted fault: a loan counts from when it is received."""

    def on_transfer(self, sender: int, loan: QuotaTransfer, now_us: int) -> None:
        if loan.incarnation == self.incarnation:
            self.borrowed[sender] = BorrowedQuota(loan.rate, now_us + shared_quotas.LOAN_US)


class IgnoresEarlierLoans(Quota):
    """A planted fault: a new incarnation uses its full share at once."""

    @property
    def recovering_until_us(self) -> int:
        return self.started_us


class ReclaimsLoanEarly(Quota):
    """A planted fault: a lender counts a loan as its own again before the loan has ended."""

    def rate(self, now_us: int) -> float:
        reclaimed = sum(loan.rate for loan in self.lent.values() if now_us >= loan.until_us - STEP_US)
        return super().rate(now_us) + reclaimed


class ModelCheckTest(unittest.TestCase):
    def test_rates_never_exceed_the_total_in_any_explored_state(self) -> None:
        state_count, largest = search(Quota, 2000)
        assert state_count >= 2000
        assert largest <= TOTAL_RATE + 1e-09

    def test_planted_faults_are_found(self) -> None:
        for fault in (CountsLoanFromReceipt, IgnoresEarlierLoans, ReclaimsLoanEarly):
            with self.subTest(fault.__name__):
                assert search(fault, 6000)[1] > TOTAL_RATE + 1e-09


class QuotaTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_acquired_units_stay_within_the_total_rate_and_the_burst(self, seed: int) -> None:
        rng, model = Random(seed), FleetModel(size=4)
        for index in range(4):
            model.start_front(index)
        acquired_us: list[int] = []
        start_count = 4
        for _ in range(400):
            model.now_us += 25_000
            for index, quota in list(model.quotas.items()):
                while rng.random() < (0.8 if index == 0 else 0.1) and quota.try_acquire(model.now_us):
                    acquired_us.append(model.now_us)
                model.in_flight += [
                    (index, lender, message)
                    for lender, message in quota.next_requests(rng.random(), model.now_us)
                ]
            if rng.random() < 0.01:
                model.start_front(rng.randrange(4))
                start_count += 1
            rng.shuffle(model.in_flight)
            for _ in range(min(len(model.in_flight), rng.randrange(4))):
                if rng.random() < 0.3:
                    model.in_flight.pop()
                else:
                    model.deliver(len(model.in_flight) - 1, rng.random() < 0.1)
        burst = max(4.0, shared_quotas.BURST_S * TOTAL_RATE)
        for position, from_us in enumerate(acquired_us):
            within_a_second = [at_us for at_us in acquired_us[position:] if at_us < from_us + 1_000_000]
            assert len(within_a_second) <= TOTAL_RATE + burst + start_count

    def test_idle_fronts_lend_to_a_busy_one(self) -> None:
        model = FleetModel(size=3)
        for index in range(3):
            model.start_front(index)
        model.now_us = 2 * shared_quotas.LOAN_US
        busy = model.quotas[0]
        busy.advance(model.now_us)
        busy.demand = TOTAL_RATE
        model.in_flight = [(0, lender, message) for lender, message in busy.next_requests(0.0, model.now_us)]
        while model.in_flight:
            model.deliver(0, keep=False)
        assert busy.rate(model.now_us) > 2 * busy.equal_share
        self.assertAlmostEqual(model.total_rate(), TOTAL_RATE)
        assert busy.wait_us(model.now_us) == 0

    def test_quota_messages_round_trip_and_truncated_ones_are_rejected(self) -> None:
        for message in (
            QuotaRequest(1 << 40, 7, Resource.PROBE, 2.5),
            QuotaTransfer(1 << 41, 9, Resource.LIST_CALL, 0.125),
        ):
            raw = messages.encode_quota_message(message)
            assert messages.decode_quota_message(raw) == message
            for length in range(len(raw)):
                assert messages.decode_quota_message(raw[:length]) is None


class HealthChecksTest(unittest.TestCase):
    def test_only_the_chosen_fronts_probe_and_the_next_in_rank_takes_over(self) -> None:
        all_fronts = range(8)
        before = chosen_checkers("server", all_fronts)
        assert len(before) == health_checks.CHECKERS_PER_SERVER
        rest = [front for front in all_fronts if front != before[0]]
        after = chosen_checkers("server", rest)
        assert after[:2] == before[1:]
        checks = HealthCheckAssignment(after[2], 8)
        assert checks.due_probes(["server"], all_fronts, 0.0, 1) == []
        assert checks.due_probes(["server"], rest, 0.0, 1) == ["server"]

    def test_any_front_indices_in_any_order_give_the_same_number_of_checkers(self) -> None:
        for indices in (range(5), range(20, 25), (3, 1, 4, 15, 9)):
            assert len(set(chosen_checkers("server", indices))) == health_checks.CHECKERS_PER_SERVER
            assert chosen_checkers("server", indices) == chosen_checkers("server", reversed(list(indices)))

    def test_one_report_does_not_take_a_server_down_and_a_quorum_does(self) -> None:
        all_fronts = range(6)
        first, second, _ = chosen_checkers("server", all_fronts)
        other = next(front for front in all_fronts if front not in chosen_checkers("server", all_fronts))
        checks = HealthCheckAssignment(other, 6)
        checks.on_report(first, "server", True, 1, 0)
        checks.on_report(other, "server", True, 1, 0)  # received under the front's own index: ignored
        assert not checks.is_down("server", all_fronts, 0)
        checks.on_report(second, "server", True, 1, 0)
        assert checks.is_down("server", all_fronts, 0)
        assert not checks.is_down("server", all_fronts, health_checks.REPORT_LIFETIME_US + 1)
        checks.on_report(second, "server", False, 2, 0)
        checks.on_report(second, "server", True, 1, 0)  # older than the one before, and delayed
        assert not checks.is_down("server", all_fronts, 0)

    def test_a_failed_probe_is_repeated_soon_and_a_down_server_is_probed_with_backoff(self) -> None:
        checks, now, probed_us = HealthCheckAssignment(0, 1), 1, []
        checks.due_probes(["server"], (0,), 0.0, now)
        for _ in range(400):
            now += 100_000
            if checks.due_probes(["server"], (0,), 0.0, now):
                probed_us.append(now)
                checks.on_probe_completed("server", ProbeResult.FAILED, now)
        intervals = [later - earlier for earlier, later in pairwise(probed_us)]
        assert intervals[0] < health_checks.HEALTHY_PROBE_INTERVAL_US
        assert intervals[-1] == health_checks.MAX_PROBE_INTERVAL_US
        assert intervals == sorted(intervals)
        assert checks.is_down("server", (0,), probed_us[-1])

    def test_a_down_server_stays_down_for_others_between_two_probes(self) -> None:
        # With reports that expired before the checker's next probe, the fleet sent attempts to the server
        # again in each gap.
        all_fronts = range(5)
        first, second, _ = chosen_checkers("server", all_fronts)
        other = next(front for front in all_fronts if front not in chosen_checkers("server", all_fronts))
        checks_by_front = {front: HealthCheckAssignment(front, 5) for front in (first, second)}
        observer, now = HealthCheckAssignment(other, 5), 1
        down = []
        while now < 60_000_000:
            for front, checks in checks_by_front.items():
                if checks.due_probes(["server"], all_fronts, 0.0, now):
                    checks.on_probe_completed("server", ProbeResult.FAILED, now)
                    message = checks.report("server", now)
                    if message is not None and message.verdict is health_checks.HealthVerdict.UNHEALTHY:
                        observer.on_report(front, "server", True, message.sequence, now)
            down.append(observer.is_down("server", all_fronts, now))
            now += 100_000
        first_down = down.index(True)
        assert first_down < 60
        assert all(down[first_down:])

    def test_a_failed_attempt_brings_the_next_probe_forward_and_many_do_so_only_once(self) -> None:
        # Probes of healthy servers are seconds apart: with these alone, most fronts had sent an attempt to a
        # server that hung before the outage was detected.
        checks, now = HealthCheckAssignment(0, 1), 1
        assert checks.due_probes(["server"], (0,), 0.0, now) == ["server"]
        checks.on_probe_completed("server", ProbeResult.ANSWERED, now)
        now += health_checks.SUSPECT_PROBE_INTERVAL_US
        probe_request = checks.on_attempt_failed("server", now)
        assert probe_request is not None
        assert probe_request == HealthReport(
            health_checks.hash_address("server"), health_checks.HealthVerdict.ATTEMPT_FAILED, 1
        )
        assert messages.decode_health_report(messages.encode_health_report(probe_request)) == probe_request
        assert checks.on_attempt_failed("server", now + 1) is None
        assert checks.due_probes(["server"], (0,), 0.0, now) == ["server"]
        for _ in range(100):
            checks.on_probe_requested("server", now)
            assert (
                checks.due_probes(["server"], (0,), 0.0, now + health_checks.SUSPECT_PROBE_INTERVAL_US - 1)
                == []
            )
        checks.on_probe_completed("server", ProbeResult.FAILED, now)
        assert checks.report("server", now) is None

    def test_a_server_that_served_this_front_recently_is_not_down_for_it(self) -> None:
        all_fronts = range(5)
        other = next(front for front in all_fronts if front not in chosen_checkers("server", all_fronts))
        checks = HealthCheckAssignment(other, 5)
        for front in chosen_checkers("server", all_fronts):
            checks.on_report(front, "server", True, 1, 0)
        assert checks.is_down("server", all_fronts, 0)
        checks.on_attempt_served("server", 0)
        assert not checks.is_down("server", all_fronts, health_checks.RECENTLY_SERVED_US)
        assert checks.is_down("server", all_fronts, health_checks.RECENTLY_SERVED_US + 1)

    def test_a_recovery_is_reported_for_as_long_as_an_unhealthy_report_may_be_valid(self) -> None:
        # If a single healthy report is lost, the unhealthy one before it would remain valid.
        checks, now = HealthCheckAssignment(0, 1), 1
        for _ in range(2):
            checks.due_probes(["server"], (0,), 0.0, now)
            checks.on_probe_completed("server", ProbeResult.FAILED, now)
        assert checks.report("server", now) is not None
        checks.on_probe_completed("server", ProbeResult.ANSWERED, now)
        for later_us in (1, health_checks.REPORT_LIFETIME_US - 1):
            message = checks.report("server", now + later_us)
            assert (message.verdict if message else None) is health_checks.HealthVerdict.HEALTHY
        assert checks.report("server", now + health_checks.REPORT_LIFETIME_US) is None

    def test_altered_health_reports_are_rejected(self) -> None:
        raw = messages.encode_health_report(HealthReport(7, health_checks.HealthVerdict.UNHEALTHY, 1 << 60))
        assert messages.decode_health_report(raw[:-1]) is None
        assert messages.decode_health_report(raw[:5] + b"\t" + raw[6:]) is None
        assert messages.decode_health_report(b"") is None

    def test_with_all_checkers_down_the_next_ones_probe_at_once(self) -> None:
        all_fronts = set(range(7))
        now = 10_000_000
        original_checkers = set(chosen_checkers("server", all_fronts))
        live_fronts = all_fronts - original_checkers
        probing = [
            front
            for front in live_fronts
            if HealthCheckAssignment(front, 7).due_probes(["server"], live_fronts, 0.0, now)
        ]
        assert sorted(probing) == sorted(chosen_checkers("server", live_fronts))


if __name__ == "__main__":
    unittest.main()
