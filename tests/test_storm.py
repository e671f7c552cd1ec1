"""Retry storms: detection, the virtual queue with its tickets, concurrency limits, counts and recordings."""

from __future__ import annotations

import random
import tempfile
import unittest
from itertools import product
from pathlib import Path

from click.testing import CliRunner
from fennelcove.cli.main import main
from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.core.core import Core
from fennelcove.core.requests import SessionRequest, SessionResponse
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.core.session_ids import SessionIds
from fennelcove.daemon import key_file
from fennelcove.decisions.clients import count_min_sketch, retry_storm, waiting_room
from fennelcove.decisions.clients.count_min_sketch import CountMinSketch
from fennelcove.decisions.clients.retry_storm import RetryStormDetector, StormSignal, StormState
from fennelcove.decisions.clients.waiting_room import (
    AvailableCapacity,
    QueueDecision,
    QueueTicket,
    TicketStatus,
    WaitingQueue,
)
from fennelcove.decisions.servers.aimd_limit import MIN_LIMIT, AimdLimits
from fennelcove.emulators.recorder import Record
from fennelcove.interface import Outcome
from fennelcove.log import silent
from fennelcove.scenarios import plots, replays
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings, RetryStormSettings
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.front_case import SETTINGS, recorded_ports

SECOND = 1_000_000
KEY, OTHER = keyed_mac(b"k" * 32), keyed_mac(b"o" * 32)
REQUESTED = ("viewer", "title", "room")
STEPS = st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 40), st.booleans(), st.floats(0, 0.99))


class RetryStormDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.detector = RetryStormDetector(0)
        self.now_us = 0

    def run_window(self, requests: int, rejected: int = 0, admitted: int | None = None) -> StormState:
        window = self.detector.window
        window.request_count, window.rejected_count = requests, rejected
        window.admitted_count = requests if admitted is None else admitted
        self.now_us += retry_storm.WINDOW_US
        self.detector.advance(self.now_us)
        return self.detector.state

    def run_calm_windows(self, requests: int = 4, windows: int = 20) -> None:
        for _ in range(windows):
            self.run_window(requests)

    def test_a_storm_rises_outlasts_a_short_pause_settles_and_ends(self) -> None:
        self.run_calm_windows()
        states = [self.run_window(80, 40) for _ in range(3)]
        assert states == [StormState.RISING, StormState.RISING, StormState.STORM]
        assert self.run_window(4) is StormState.STORM
        assert self.run_window(80, 2, 4) is StormState.STORM
        for _ in range(retry_storm.CALM_WINDOWS):
            state = self.run_window(4)
        assert state is StormState.SETTLING
        assert self.run_window(80, 40) is StormState.STORM
        for _ in range(retry_storm.CALM_WINDOWS + retry_storm.SETTLING_WINDOWS):
            state = self.run_window(4)
        assert state is StormState.CALM

    def test_an_ordinary_peak_and_a_lost_server_are_no_storm(self) -> None:
        self.run_calm_windows()
        for requests in (8, 16, 32, 64, 64, 64):
            assert self.run_window(requests) is not StormState.STORM
        self.run_calm_windows(64, 200)
        for _ in range(20):
            assert self.run_window(64, 20) is not StormState.STORM

    def test_no_false_alarm_in_a_hundred_steady_and_varying_evenings(self) -> None:
        false_alarms = 0
        for seed in range(100):
            rng, detector, now_us = random.Random(seed), RetryStormDetector(0), 0
            for i in range(240):
                rate = 4 * (1 + (i / 60 if seed % 2 else 0.5 * (i % 20 > 10)))
                requests = sum(rng.random() < rate / 40 for _ in range(40))
                detector.window.request_count = detector.window.admitted_count = requests
                detector.window.rejected_count = sum(rng.random() < 0.05 for _ in range(requests))
                now_us += retry_storm.WINDOW_US
                detector.advance(now_us)
                false_alarms += detector.state is StormState.STORM
        assert false_alarms == 0

    def test_every_state_returns_to_calm(self) -> None:
        # Each state under each signal, which then persists, at the rates of arrivals that cause it.
        for state, (requests, rejected) in product(
            StormState, ((0, 0), (4, 0), (4, 4), (400, 0), (400, 400))
        ):
            self.detector, self.now_us = RetryStormDetector(0), 0
            self.run_calm_windows()
            self.detector.state = state
            for _ in range(5000):
                if self.run_window(requests, rejected) is StormState.CALM:
                    break
            else:
                self.fail(f"{state} never ended with {requests} requests and {rejected} rejections a window")

    def test_a_stall_counts_as_a_bounded_number_of_empty_windows(self) -> None:
        self.run_calm_windows()
        self.detector.advance(self.now_us + 10**12)
        assert self.detector.state is StormState.CALM

    def test_every_transition_leaves_its_state(self) -> None:
        for (state, _), transition in retry_storm.TRANSITIONS.items():
            assert transition.state is not state
            assert transition.after_windows > 0
        assert all(weight > 0 for weight in retry_storm.BASELINE_WEIGHTS.values())
        assert set(waiting_room.DECISIONS) == {
            (status, capacity) for status in TicketStatus for capacity in AvailableCapacity
        }
        assert len(StormSignal) == 4


class QueueTicketTest(unittest.TestCase):
    def ticket(self) -> QueueTicket:
        return QueueTicket(*REQUESTED, 10 * SECOND, 12 * SECOND)

    def test_a_ticket_is_valid_under_any_key_in_use_and_for_its_client_only(self) -> None:
        token = waiting_room.sign_ticket(self.ticket(), OTHER)
        assert waiting_room.verify_ticket(token, [KEY, OTHER]) == self.ticket()
        assert waiting_room.verify_ticket(token, [KEY]) is None
        assert len(token) < waiting_room.MAX_TICKET_CHARS
        for requested in (("x", "title", "room"), ("viewer", "x", "room"), ("viewer", "title", "x")):
            assert (
                waiting_room.ticket_status(self.ticket(), True, True, requested, 11 * SECOND)
                is TicketStatus.INVENTED
            )

    @given(st.text(max_size=60), st.integers(0, 500))
    @settings(max_examples=200)
    def test_neither_any_text_nor_an_altered_ticket_is_accepted(self, text: str, position: int) -> None:
        assert waiting_room.verify_ticket(text, [KEY]) is None
        token = waiting_room.sign_ticket(self.ticket(), KEY)
        position %= len(token)
        altered = token[:position] + ("A" if token[position] != "A" else "B") + token[position + 1 :]
        verified = waiting_room.verify_ticket(altered, [KEY])
        # The last character of a base64 part may have unused bits.
        assert verified in (None, self.ticket())

    def test_ticket_status_by_time(self) -> None:
        for at_s, status in (
            (9, TicketStatus.EARLY),
            (10, TicketStatus.DUE),
            (12, TicketStatus.DUE),
            (13, TicketStatus.LATE),
        ):
            assert waiting_room.ticket_status(self.ticket(), True, True, REQUESTED, at_s * SECOND) is status
        assert waiting_room.ticket_status(None, False, False, REQUESTED, 0) is TicketStatus.FIRST
        assert waiting_room.ticket_status(None, False, True, REQUESTED, 0) is TicketStatus.AGAIN
        assert waiting_room.ticket_status(None, True, True, REQUESTED, 0) is TicketStatus.INVENTED
        assert len(waiting_room.DECISIONS) == len(TicketStatus) * len(AvailableCapacity)
        rate_limited = {
            status
            for (status, _), decision in waiting_room.DECISIONS.items()
            if decision is QueueDecision.ADMIT_AT_RATE
        }
        assert rate_limited <= set(waiting_room.REJECTED_DECISIONS)
        assert (
            waiting_room.DECISIONS[TicketStatus.INVENTED, AvailableCapacity.AVAILABLE]
            is QueueDecision.UNRESERVED_TICKET
        )

    def test_unreserved_windows_do_not_delay_later_ones(self) -> None:
        queue = WaitingQueue(0, rate_per_s=5.0)
        before = queue.reserve_window(0, None, 0.5)[0]
        for _ in range(50):
            queue.reserve_window(0, None, 0.5, is_reserved=False)
        assert queue.reserve_window(0, None, 0.5)[0] - before == SECOND // 5

    @given(
        st.lists(st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 40), st.booleans(), st.floats(0, 0.99)))
    )
    @settings(max_examples=150)
    def test_windows_lie_ahead_within_bounds_and_buckets_are_never_negative(
        self, steps: list[tuple[int, int, bool, float]]
    ) -> None:
        now_us = 0
        queue = WaitingQueue(now_us)
        for elapsed_us, served, is_first, draw in steps:
            now_us += elapsed_us
            queue.served_count += served
            queue.admitted_count, queue.rejected_count = 1.0, float(is_first)
            queue.advance(now_us)
            queue.admit(TicketStatus.FIRST if is_first else TicketStatus.DUE, queue.cost(draw * 10))
            assert 1 / waiting_room.MAX_COST <= queue.cost(draw) <= waiting_room.MAX_COST
            wait, latest = queue.early_window(draw, served)
            assert waiting_room.MIN_WAIT_US <= wait < latest
            assert wait <= waiting_room.MAX_WAIT_US
            for max_wait_us in (None, 2 * SECOND):
                earliest, latest = queue.reserve_window(now_us, max_wait_us, draw)
                assert earliest >= waiting_room.MIN_WAIT_US
                assert earliest < latest
                assert earliest <= (waiting_room.MAX_WAIT_US if max_wait_us is None else max_wait_us)
            assert min(queue.first_tries.tokens, queue.retries.tokens) >= 0.0

    def test_neither_first_tries_nor_retries_starve(self) -> None:
        queue, admitted = WaitingQueue(0, rate_per_s=10.0), {TicketStatus.FIRST: 0, TicketStatus.DUE: 0}
        for i in range(1, 401):
            queue.served_count += 2 if i % 2 else 3
            queue.admitted_count, queue.rejected_count = 4.0, 2.0
            queue.advance(i * SECOND // 4)
            for status in (TicketStatus.DUE, TicketStatus.FIRST) * 10:
                admitted[status] += queue.admit(status)
        total = sum(admitted.values())
        assert min(admitted.values()) > 0.35 * total
        assert total < 1.3 * 1000

    def test_the_rate_finds_available_capacity_within_seconds_and_falls_to_the_served_rate(self) -> None:
        # When the rate was limited to that of a calm period, clients were rejected although there was
        # capacity: 138 of 200 were served, 185 without a limit.
        queue = WaitingQueue(0, rate_per_s=2.0)
        for i in range(1, 17):
            queue.admitted_count = 4.0
            queue.advance(i * SECOND // 4)
        assert queue.rate_per_s > 30
        for i in range(17, 40):
            queue.served_count += 2
            queue.admitted_count, queue.rejected_count = 4.0, 2.0
            queue.advance(i * SECOND // 4)
        assert 9.0 < queue.rate_per_s < 10.1, queue.rate_per_s

    def test_many_rejected_clients_get_windows_at_the_rate_and_not_all_at_one_moment(self) -> None:
        queue = WaitingQueue(0, rate_per_s=20.0)
        waits = [queue.reserve_window(0, None, 0.5)[0] for _ in range(130)]
        counts_by_second = [
            sum(1 for wait in waits if at * SECOND <= wait < (at + 1) * SECOND) for at in range(1, 20)
        ]
        assert max(counts_by_second) <= 21
        # Waits beyond the maximum are spread over its upper half.
        spread_waits = [queue.reserve_window(0, None, (i % 50) / 50)[0] for i in range(400)][50:]
        assert min(spread_waits) >= waiting_room.MAX_WAIT_US // 2
        assert max(spread_waits) <= waiting_room.MAX_WAIT_US
        spread_counts = [
            sum(1 for wait in spread_waits if at * SECOND <= wait < (at + 1) * SECOND) for at in range(4, 8)
        ]
        assert max(spread_counts) < 2 * min(spread_counts)


class AimdLimitsTest(unittest.TestCase):
    def test_many_failures_at_once_decrease_the_limit_once_and_growth_is_slow_after_that(self) -> None:
        limits = AimdLimits()
        acquired = 0
        while limits.try_acquire("b"):
            acquired += 1
        for _ in range(acquired):
            limits.release("b", Outcome.NO_ANSWER, 0, 10)
        server_limit = limits.servers["b"]
        self.assertAlmostEqual(server_limit.limit, acquired * 0.7)
        assert server_limit.in_flight == 0
        before = server_limit.limit
        limits.try_acquire("b")
        limits.release("b", Outcome.SERVED, 20, 30)
        assert server_limit.limit - before < 0.2

    @given(st.lists(st.tuples(st.booleans(), st.sampled_from(list(Outcome)))))
    def test_the_limit_is_at_least_one_and_every_acquired_set_up_is_counted(
        self, steps: list[tuple[bool, Outcome]]
    ) -> None:
        limits, in_flight = AimdLimits(), 0
        for now_us, (acquires, outcome) in enumerate(steps, 1):
            if acquires:
                in_flight += limits.try_acquire("b")
            elif in_flight:
                limits.release("b", outcome, now_us - 1, now_us)
                in_flight -= 1
        if "b" in limits.servers:
            assert limits.servers["b"].limit >= MIN_LIMIT
            assert limits.servers["b"].in_flight == in_flight

    def test_idle_servers_beyond_the_bound_are_evicted(self) -> None:
        limits = AimdLimits()
        for i in range(10_050):
            limits.try_acquire(f"b{i}")
            limits.release(f"b{i}", Outcome.SERVED, 0, 0)
        assert len(limits.servers) <= 10001


class CountMinSketchTest(unittest.TestCase):
    def test_counts_are_never_too_low_rarely_too_high_and_memory_is_constant(self) -> None:
        counts = CountMinSketch(KEY, 0)
        for i in range(20_000):
            counts.add(f"v{i}", 0)
        size = len(counts.current) + len(counts.previous)
        assert size == 2 * count_min_sketch.WIDTH * count_min_sketch.DEPTH
        too_high = sum(counts.add(f"n{i}", 0) > 1 + 2 * 21_000 / count_min_sketch.WIDTH for i in range(1000))
        assert too_high < 1000 / 2**count_min_sketch.DEPTH
        assert (min(counts.add("v7", 0) for _ in range(1)) >= 2) is True

    def test_counts_of_past_windows_expire(self) -> None:
        counts = CountMinSketch(KEY, 0)
        counts.add("a", 0)
        assert counts.add("a", count_min_sketch.WINDOW_US) == 2
        assert counts.add("a", 5 * count_min_sketch.WINDOW_US) == 1


class ReplayTest(unittest.TestCase):
    def recording(self) -> list[Record]:
        request = {"what": "asked", "room_type": "free", "title": "t", "timeout_ms": 900.0, "viewer": "v"}
        response = {"what": "answered", "viewer": "v", "subscription": None, "rung": None}
        return [
            {"t_us": 2 * SECOND, "what": "front_started", "front": "f"},
            {"t_us": 3 * SECOND, "number": 0, **request},
            {"t_us": 3 * SECOND + 5, "number": 0, "status": 503, "wait_ms": 1500.0, **response},
            {"t_us": 5 * SECOND, "number": 1, **request},
            {"t_us": 5 * SECOND + 5, "number": 1, "status": 201, "wait_ms": None, **response},
        ]

    def test_only_first_tries_are_replayed_since_clients_retry_by_themselves(self) -> None:
        (at_s, name, habits), *others = replays.arrivals(self.recording(), 5, 2.0)
        assert (at_s, name, habits.title, habits.timeout_s, habits.retries) == (1.0, "v", "t", 0.9, 5)
        assert others == []

    def test_the_series_and_plots_of_a_recording(self) -> None:
        series = replays.series(self.recording())
        assert [value for _, value in series["asked"]] == [0, 0, 0, 1, 0, 1]
        assert series["come-back times told"] == [(3.000005, 1.5)]
        with tempfile.TemporaryDirectory() as folder:
            for file in plots.draw(self.recording(), folder):
                assert Path(file).stat().st_size > 1000

    def test_the_explanation_of_a_log(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "log"
            log.write_text(
                '{"event":"storm_phase","was":"rising","phase":"storm","asked":80,'
                '"usual":4,"refused":40,"pace":9}\n'
                'no json\n{"event":"subscription_turned_away","standing":"invented",'
                '"wait_ms":1500,"client":"v9"}\n'
            )
            output = CliRunner().invoke(main, ["storm", "explain", str(log)]).output
        assert "rising -> storm: 80 asked in the last window (usual 4)" in output
        assert "v9: its place was made up" in output
        assert "turned away at the door with a place: 1" in output


class StormAdmissionTest(unittest.TestCase):
    """A core in a retry storm, on a manual clock."""

    def setUp(self) -> None:
        self.clock = ManualClock(10 * SECOND, 10**15)
        self.core = self.new_core(b"k")
        self.core.retry_storms.detector.state = StormState.STORM
        self.core.retry_storms.waiting_room.by_title["t1"] = WaitingQueue(
            10 * SECOND, rate_per_s=0.5, is_rejecting=True
        )

    def new_core(self, key: bytes) -> Core:
        front_settings = replace(
            parse(SETTINGS, FrontSettings, "test"), storm=RetryStormSettings(damping=True)
        )
        return Core(
            front_settings, self.clock, Timers(self.clock), silent, recorded_ports(), SessionIds(key * 32)
        )

    def request(self, client: str, ticket: str | None = None, is_retry: bool = True) -> SessionResponse:
        outcome = self.core.request_session(
            SessionRequest("t1", "free", client=client, is_retry=is_retry, queue_ticket=ticket)
        )
        session, response = outcome.session, outcome.step
        assert isinstance(response, SessionResponse)
        assert (self.core.admission_controller.pending_requests, self.core.admission_controller.sessions) == (
            1 if session else 0,
            0,
        )
        if session is not None:
            self.core.on_response_ready(session)
        return response

    def test_a_ticket_is_retained_while_early_accepted_when_due_and_only_once(self) -> None:
        first = self.request("v")
        assert first.ticket_status == "again"
        early = self.request("v", first.queue_ticket)
        assert (early.ticket_status, early.queue_ticket, early.retry_after_us) == (
            "early",
            first.queue_ticket,
            first.retry_after_us,
        )
        self.clock.advance(first.retry_after_us)
        self.core.retry_storms.detector.window_started_us = self.clock.now_us()
        due = self.request("v", first.queue_ticket)
        # This is the response of the placement policy, so the request was admitted.
        assert (due.ticket_status, due.reason) == ("", "no holder has room")
        assert self.request("v", first.queue_ticket).ticket_status == "invented"

    def test_a_client_rejected_after_its_wait_gets_an_early_window_and_higher_weights_cost_less(self) -> None:
        queue = self.core.retry_storms.waiting_room.by_title["t1"]
        for _ in range(40):
            queue.reserve_window(self.clock.now_us(), None, 0.5)
        first = self.request("v")
        self.clock.advance(first.retry_after_us)
        self.core.retry_storms.detector.window_started_us = self.clock.now_us()
        due = self.request("v", first.queue_ticket)
        # This is the response of the placement policy, so the request was admitted.
        assert (due.ticket_status, due.reason) == ("", "no holder has room")
        assert due.retry_after_us <= 2 * waiting_room.MIN_WAIT_US
        costs = [queue.cost(priority_weight) for priority_weight in (1.0, 3.0) * 200][-2:]
        self.assertAlmostEqual(costs[0] / costs[1], 3.0, delta=0.1)

    def test_with_available_capacity_a_first_try_is_admitted_beyond_the_rate(self) -> None:
        # When first tries were limited to the rate, clients were rejected although servers had capacity: 147
        # of 200 were served, 191 without a limit.
        self.core.retry_storms.waiting_room.by_title["t1"].is_rejecting = False
        assert self.request("new", is_retry=False).reason == "no holder has room"
        assert self.request("hasty").ticket_status == "again"

    def test_tickets_of_another_client_and_forged_ones_are_not_accepted(self) -> None:
        ticket = self.request("v").queue_ticket
        assert self.request("w", ticket).ticket_status == "invented"
        assert self.request("w", "bWFkZQ.dXA").ticket_status == "invented"
        assert self.core.counts["storm_invented"] == 2

    def test_a_restarted_front_with_the_same_key_accepts_tickets_of_its_previous_incarnation(self) -> None:
        self.core.retry_storms.use_keys([b"p" * 32])
        ticket = self.request("v").queue_ticket
        self.core = self.new_core(b"n")
        self.core.retry_storms.detector.state = StormState.STORM
        self.core.retry_storms.use_keys([b"q" * 32, b"p" * 32])
        assert self.request("v", ticket).ticket_status == "early"

    def test_without_a_storm_all_requests_are_passed_to_the_policy(self) -> None:
        self.core.retry_storms.detector.state = StormState.CALM
        for i in range(50):
            assert self.request(f"v{i % 3}").reason == "no holder has room"
        assert "damped" not in self.core.counts


class KeyFileTest(unittest.TestCase):
    def test_a_key_file_is_created_rotated_with_an_overlap_and_expires(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "keys")
            with self.assertRaises(key_file.KeyFileError):
                key_file.load(path, 0)
            assert CliRunner().invoke(main, ["storm", "key", path]).exit_code == 0
            created_ms = int(Path(path).read_text().split()[1])
            first_keys = key_file.load(path, created_ms)
            assert key_file.rotate(path, created_ms + 1000) == 2
            overlapping_keys = key_file.load(path, created_ms + 1000)
            assert (len(overlapping_keys), overlapping_keys[1]) == (2, first_keys[0])
            expired_ms = created_ms + 1000 + key_file.OVERLAP_MS
            assert key_file.load(path, expired_ms) == overlapping_keys[:1]
            assert Path(path).stat().st_mode & 63 == 0
            Path(path).write_text("zz 1\n")
            with self.assertRaises(key_file.KeyFileError):
                key_file.load(path, expired_ms)


if __name__ == "__main__":
    unittest.main()
