"""Storms seen, damped and settled: tables that end, places that can't be made up, counts that stay small."""

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
from fennelcove.settings.schema import FrontSettings, StormSettings
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.rig import SETTINGS, recorded_ports

SECOND = 1_000_000
KEY, OTHER = keyed_mac(b"k" * 32), keyed_mac(b"o" * 32)
ASKED = ("viewer", "title", "room")
STEPS = st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 40), st.booleans(), st.floats(0, 0.99))


class WeatherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.weather = RetryStormDetector(0)
        self.now_us = 0

    def window(self, asked: int, refused: int = 0, let_in: int | None = None) -> StormState:
        window = self.weather.window
        window.request_count, window.rejected_count = asked, refused
        window.admitted_count = asked if let_in is None else let_in
        self.now_us += retry_storm.WINDOW_US
        self.weather.advance(self.now_us)
        return self.weather.state

    def calm(self, pace: int = 4, windows: int = 20) -> None:
        for _ in range(windows):
            self.window(pace)

    def test_a_storm_rises_holds_through_a_breath_settles_and_ends(self) -> None:
        self.calm()
        phases = [self.window(80, 40) for _ in range(3)]
        assert phases == [StormState.RISING, StormState.RISING, StormState.STORM]
        assert self.window(4) is StormState.STORM
        assert self.window(80, 2, 4) is StormState.STORM
        for _ in range(retry_storm.CALM_WINDOWS):
            phase = self.window(4)
        assert phase is StormState.SETTLING
        assert self.window(80, 40) is StormState.STORM
        for _ in range(retry_storm.CALM_WINDOWS + retry_storm.SETTLING_WINDOWS):
            phase = self.window(4)
        assert phase is StormState.CALM

    def test_a_lawful_peak_and_a_lost_box_are_no_storm(self) -> None:
        self.calm()
        for asked in (8, 16, 32, 64, 64, 64):
            assert self.window(asked) is not StormState.STORM
        self.calm(64, 200)
        for _ in range(20):
            assert self.window(64, 20) is not StormState.STORM

    def test_no_false_alarm_in_a_hundred_quiet_and_swinging_evenings(self) -> None:
        alarms = 0
        for evening in range(100):
            chance, weather, now_us = random.Random(evening), RetryStormDetector(0), 0
            for i in range(240):
                pace = 4 * (1 + (i / 60 if evening % 2 else 0.5 * (i % 20 > 10)))
                asked = sum(chance.random() < pace / 40 for _ in range(40))
                weather.window.request_count = weather.window.admitted_count = asked
                weather.window.rejected_count = sum(chance.random() < 0.05 for _ in range(asked))
                now_us += retry_storm.WINDOW_US
                weather.advance(now_us)
                alarms += weather.state is StormState.STORM
        assert alarms == 0

    def test_no_state_fails_to_come_back_to_calm(self) -> None:
        # Every phase under every sign held for ever, arrivals at whatever pace goes with it.
        for phase, (asked, refused) in product(StormState, ((0, 0), (4, 0), (4, 4), (400, 0), (400, 400))):
            self.weather, self.now_us = RetryStormDetector(0), 0
            self.calm()
            self.weather.state = phase
            for _ in range(5000):
                if self.window(asked, refused) is StormState.CALM:
                    break
            else:
                self.fail(f"{phase} never ended at {asked} asked, {refused} refused")

    def test_a_stall_is_so_many_empty_windows_and_no_more(self) -> None:
        self.calm()
        self.weather.advance(self.now_us + 10**12)
        assert self.weather.state is StormState.CALM

    def test_the_table_has_no_row_that_stays(self) -> None:
        for (phase, _), rule in retry_storm.TRANSITIONS.items():
            assert rule.state is not phase
            assert rule.after_windows > 0
        assert all(weight > 0 for weight in retry_storm.BASELINE_WEIGHTS.values())
        assert set(waiting_room.DECISIONS) == {
            (who, room) for who in TicketStatus for room in AvailableCapacity
        }
        assert len(StormSignal) == 4


class PlacesTest(unittest.TestCase):
    def place(self) -> QueueTicket:
        return QueueTicket(*ASKED, 10 * SECOND, 12 * SECOND)

    def test_a_place_is_known_under_any_key_in_use_and_to_its_owner_alone(self) -> None:
        token = waiting_room.sign_ticket(self.place(), OTHER)
        assert waiting_room.verify_ticket(token, [KEY, OTHER]) == self.place()
        assert waiting_room.verify_ticket(token, [KEY]) is None
        assert len(token) < waiting_room.MAX_TICKET_CHARS
        for asked in (("x", "title", "room"), ("viewer", "x", "room"), ("viewer", "title", "x")):
            assert (
                waiting_room.ticket_status(self.place(), True, True, asked, 11 * SECOND)
                is TicketStatus.INVENTED
            )

    @given(st.text(max_size=60), st.integers(0, 500))
    @settings(max_examples=200)
    def test_no_text_and_no_changed_letter_is_a_place(self, text: str, at: int) -> None:
        assert waiting_room.verify_ticket(text, [KEY]) is None
        token = waiting_room.sign_ticket(self.place(), KEY)
        at %= len(token)
        changed = token[:at] + ("A" if token[at] != "A" else "B") + token[at + 1 :]
        found = waiting_room.verify_ticket(changed, [KEY])
        # The last letter of a part may hold bits that stand for nothing.
        assert found in (None, self.place())

    def test_standings_by_time(self) -> None:
        for at, who in (
            (9, TicketStatus.EARLY),
            (10, TicketStatus.DUE),
            (12, TicketStatus.DUE),
            (13, TicketStatus.LATE),
        ):
            assert waiting_room.ticket_status(self.place(), True, True, ASKED, at * SECOND) is who
        assert waiting_room.ticket_status(None, False, False, ASKED, 0) is TicketStatus.FIRST
        assert waiting_room.ticket_status(None, False, True, ASKED, 0) is TicketStatus.AGAIN
        assert waiting_room.ticket_status(None, True, True, ASKED, 0) is TicketStatus.INVENTED
        assert len(waiting_room.DECISIONS) == len(TicketStatus) * len(AvailableCapacity)
        paced = {
            who
            for (who, _), ruling in waiting_room.DECISIONS.items()
            if ruling is QueueDecision.ADMIT_AT_RATE
        }
        assert paced <= set(waiting_room.REJECTED_DECISIONS)
        assert (
            waiting_room.DECISIONS[TicketStatus.INVENTED, AvailableCapacity.AVAILABLE]
            is QueueDecision.UNRESERVED_TICKET
        )

    def test_a_place_for_one_that_may_hold_one_already_moves_nobody_back(self) -> None:
        queue = WaitingQueue(0, rate_per_s=5.0)
        before = queue.reserve_window(0, None, 0.5)[0]
        for _ in range(50):
            queue.reserve_window(0, None, 0.5, is_reserved=False)
        assert queue.reserve_window(0, None, 0.5)[0] - before == SECOND // 5

    @given(
        st.lists(st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 40), st.booleans(), st.floats(0, 0.99)))
    )
    @settings(max_examples=150)
    def test_promises_lie_ahead_within_bounds_and_buckets_never_below_nothing(
        self, steps: list[tuple[int, int, bool, float]]
    ) -> None:
        now_us = 0
        queue = WaitingQueue(now_us)
        for gap, served, first, draw in steps:
            now_us += gap
            queue.served_count += served
            queue.admitted_count, queue.rejected_count = 1.0, float(first)
            queue.advance(now_us)
            queue.admit(TicketStatus.FIRST if first else TicketStatus.DUE, queue.cost(draw * 10))
            assert 1 / waiting_room.MAX_COST <= queue.cost(draw) <= waiting_room.MAX_COST
            wait, latest = queue.early_window(draw, served)
            assert waiting_room.MIN_WAIT_US <= wait < latest
            assert wait <= waiting_room.MAX_WAIT_US
            for most_us in (None, 2 * SECOND):
                earliest, latest = queue.reserve_window(now_us, most_us, draw)
                assert earliest >= waiting_room.MIN_WAIT_US
                assert earliest < latest
                assert earliest <= (waiting_room.MAX_WAIT_US if most_us is None else most_us)
            assert min(queue.first_tries.tokens, queue.retries.tokens) >= 0.0

    def test_neither_first_tries_nor_those_who_come_back_starve(self) -> None:
        queue, taken = WaitingQueue(0, rate_per_s=10.0), {TicketStatus.FIRST: 0, TicketStatus.DUE: 0}
        for i in range(1, 401):
            queue.served_count += 2 if i % 2 else 3
            queue.admitted_count, queue.rejected_count = 4.0, 2.0
            queue.advance(i * SECOND // 4)
            for who in (TicketStatus.DUE, TicketStatus.FIRST) * 10:
                taken[who] += queue.admit(who)
        total = sum(taken.values())
        assert min(taken.values()) > 0.35 * total
        assert total < 1.3 * 1000

    def test_the_pace_finds_room_within_seconds_and_falls_to_what_is_served(self) -> None:
        # Held to what a calm had asked for, it kept out viewers for whom there was room: 138 of 200 watched,
        # 185 without.
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

    def test_a_crowd_is_told_to_come_back_at_the_pace_and_not_in_one_moment(self) -> None:
        queue = WaitingQueue(0, rate_per_s=20.0)
        waits = [queue.reserve_window(0, None, 0.5)[0] for _ in range(130)]
        seconds = [sum(1 for wait in waits if at * SECOND <= wait < (at + 1) * SECOND) for at in range(1, 20)]
        assert max(seconds) <= 21
        # Further off than can be foreseen, they are spread over the second half of what can be.
        far = [queue.reserve_window(0, None, (i % 50) / 50)[0] for i in range(400)][50:]
        assert min(far) >= waiting_room.MAX_WAIT_US // 2
        assert max(far) <= waiting_room.MAX_WAIT_US
        thirds = [sum(1 for wait in far if at * SECOND <= wait < (at + 1) * SECOND) for at in range(4, 8)]
        assert max(thirds) < 2 * min(thirds)


class LimitsTest(unittest.TestCase):
    def test_many_failures_at_once_cut_once_and_growth_is_slow_after(self) -> None:
        limits = AimdLimits()
        entered = 0
        while limits.try_acquire("b"):
            entered += 1
        for _ in range(entered):
            limits.release("b", Outcome.NO_ANSWER, 0, 10)
        held = limits.servers["b"]
        self.assertAlmostEqual(held.limit, entered * 0.7)
        assert held.in_flight == 0
        before = held.limit
        limits.try_acquire("b")
        limits.release("b", Outcome.SERVED, 20, 30)
        assert held.limit - before < 0.2

    @given(st.lists(st.tuples(st.booleans(), st.sampled_from(list(Outcome)))))
    def test_never_under_one_and_never_more_out_than_let_in(self, steps: list[tuple[bool, Outcome]]) -> None:
        limits, out = AimdLimits(), 0
        for now_us, (enter, outcome) in enumerate(steps, 1):
            if enter:
                out += limits.try_acquire("b")
            elif out:
                limits.release("b", outcome, now_us - 1, now_us)
                out -= 1
        if "b" in limits.servers:
            assert limits.servers["b"].limit >= MIN_LIMIT
            assert limits.servers["b"].in_flight == out

    def test_boxes_long_unheard_are_forgotten(self) -> None:
        limits = AimdLimits()
        for i in range(10_050):
            limits.try_acquire(f"b{i}")
            limits.release(f"b{i}", Outcome.SERVED, 0, 0)
        assert len(limits.servers) <= 10001


class CountsTest(unittest.TestCase):
    def test_never_too_low_seldom_too_high_and_the_memory_stays(self) -> None:
        counts = CountMinSketch(KEY, 0)
        for i in range(20_000):
            counts.add(f"v{i}", 0)
        size = len(counts.current) + len(counts.previous)
        assert size == 2 * count_min_sketch.WIDTH * count_min_sketch.DEPTH
        over = sum(counts.add(f"n{i}", 0) > 1 + 2 * 21_000 / count_min_sketch.WIDTH for i in range(1000))
        assert over < 1000 / 2**count_min_sketch.DEPTH
        assert (min(counts.add("v7", 0) for _ in range(1)) >= 2) is True

    def test_what_is_long_past_counts_no_more(self) -> None:
        counts = CountMinSketch(KEY, 0)
        counts.add("a", 0)
        assert counts.add("a", count_min_sketch.WINDOW_US) == 2
        assert counts.add("a", 5 * count_min_sketch.WINDOW_US) == 1


class ReplayTest(unittest.TestCase):
    def recording(self) -> list[Record]:
        asked = {"what": "asked", "room_type": "free", "title": "t", "timeout_ms": 900.0, "viewer": "v"}
        told = {"what": "answered", "viewer": "v", "subscription": None, "rung": None}
        return [
            {"t_us": 2 * SECOND, "what": "front_started", "front": "f"},
            {"t_us": 3 * SECOND, "number": 0, **asked},
            {"t_us": 3 * SECOND + 5, "number": 0, "status": 503, "wait_ms": 1500.0, **told},
            {"t_us": 5 * SECOND, "number": 1, **asked},
            {"t_us": 5 * SECOND + 5, "number": 1, "status": 201, "wait_ms": None, **told},
        ]

    def test_first_tries_are_played_again_and_further_ones_come_of_themselves(self) -> None:
        (at_s, name, habits), *rest = replays.arrivals(self.recording(), 5, 2.0)
        assert (at_s, name, habits.title, habits.timeout_s, habits.retries) == (1.0, "v", "t", 0.9, 5)
        assert rest == []

    def test_what_plots_show(self) -> None:
        found = replays.series(self.recording())
        assert [value for _, value in found["asked"]] == [0, 0, 0, 1, 0, 1]
        assert found["come-back times told"] == [(3.000005, 1.5)]
        with tempfile.TemporaryDirectory() as folder:
            for file in plots.draw(self.recording(), folder):
                assert Path(file).stat().st_size > 1000

    def test_a_log_told_in_words(self) -> None:
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


class StormDoorTest(unittest.TestCase):
    """A core in a storm, on a clock that the test moves."""

    def setUp(self) -> None:
        self.clock = ManualClock(10 * SECOND, 10**15)
        self.core = self.made(b"k")
        self.core.retry_storms.detector.state = StormState.STORM
        self.core.retry_storms.waiting_room.by_title["t1"] = WaitingQueue(
            10 * SECOND, rate_per_s=0.5, is_rejecting=True
        )

    def made(self, key: bytes) -> Core:
        told = replace(parse(SETTINGS, FrontSettings, "test"), storm=StormSettings(damping=True))
        return Core(told, self.clock, Timers(self.clock), silent, recorded_ports(), SessionIds(key * 32))

    def ask(self, client: str, place: str | None = None, again: bool = True) -> SessionResponse:
        outcome = self.core.request_session(
            SessionRequest("t1", "free", client=client, is_retry=again, queue_ticket=place)
        )
        session, step = outcome.session, outcome.step
        assert isinstance(step, SessionResponse)
        assert (self.core.admission_controller.pending_requests, self.core.admission_controller.sessions) == (
            1 if session else 0,
            0,
        )
        if session is not None:
            self.core.on_response_ready(session)
        return step

    def test_a_place_is_kept_while_it_is_early_honoured_when_due_and_once(self) -> None:
        first = self.ask("v")
        assert first.ticket_status == "again"
        early = self.ask("v", first.queue_ticket)
        assert (early.ticket_status, early.queue_ticket, early.retry_after_us) == (
            "early",
            first.queue_ticket,
            first.retry_after_us,
        )
        self.clock.advance(first.retry_after_us)
        self.core.retry_storms.detector.window_started_us = self.clock.now_us()
        let_in = self.ask("v", first.queue_ticket)
        assert (let_in.ticket_status, let_in.reason) == ("", "no holder has room")  # the module was asked
        assert self.ask("v", first.queue_ticket).ticket_status == "invented"

    def test_one_that_waited_in_vain_is_among_the_next_and_one_of_more_benefit_pays_less(self) -> None:
        queue = self.core.retry_storms.waiting_room.by_title["t1"]
        for _ in range(40):
            queue.reserve_window(self.clock.now_us(), None, 0.5)
        first = self.ask("v")
        self.clock.advance(first.retry_after_us)
        self.core.retry_storms.detector.window_started_us = self.clock.now_us()
        due = self.ask("v", first.queue_ticket)
        assert (due.ticket_status, due.reason) == ("", "no holder has room")  # the module was asked
        assert due.retry_after_us <= 2 * waiting_room.MIN_WAIT_US
        costs = [queue.cost(benefit) for benefit in (1.0, 3.0) * 200][-2:]
        self.assertAlmostEqual(costs[0] / costs[1], 3.0, delta=0.1)

    def test_while_there_is_room_a_first_try_is_let_in_past_any_pace(self) -> None:
        # Held to the pace, they were turned away for whom boxes had room: 147 of 200 watched, 191 without.
        self.core.retry_storms.waiting_room.by_title["t1"].is_rejecting = False
        assert self.ask("new", again=False).reason == "no holder has room"
        assert self.ask("hasty").ticket_status == "again"

    def test_another_viewers_place_and_a_made_up_one_are_worth_nothing(self) -> None:
        place = self.ask("v").queue_ticket
        assert self.ask("w", place).ticket_status == "invented"
        assert self.ask("w", "bWFkZQ.dXA").ticket_status == "invented"
        assert self.core.counts["storm_invented"] == 2

    def test_a_front_that_restarts_with_the_same_key_knows_the_places_of_its_last_life(self) -> None:
        self.core.retry_storms.use_keys([b"p" * 32])
        place = self.ask("v").queue_ticket
        self.core = self.made(b"n")
        self.core.retry_storms.detector.state = StormState.STORM
        self.core.retry_storms.use_keys([b"q" * 32, b"p" * 32])
        assert self.ask("v", place).ticket_status == "early"

    def test_in_calm_nobody_is_held_up(self) -> None:
        self.core.retry_storms.detector.state = StormState.CALM
        for i in range(50):
            assert self.ask(f"v{i % 3}").reason == "no holder has room"
        assert "damped" not in self.core.counts


class KeyFileTest(unittest.TestCase):
    def test_made_rotated_with_overlap_and_expired(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "keys")
            with self.assertRaises(key_file.KeyFileError):
                key_file.load(path, 0)
            assert CliRunner().invoke(main, ["storm", "key", path]).exit_code == 0
            made = int(Path(path).read_text().split()[1])
            old = key_file.load(path, made)
            assert key_file.rotate(path, made + 1000) == 2
            both = key_file.load(path, made + 1000)
            assert (len(both), both[1]) == (2, old[0])
            later = made + 1000 + key_file.OVERLAP_MS
            assert key_file.load(path, later) == both[:1]
            assert Path(path).stat().st_mode & 63 == 0
            Path(path).write_text("zz 1\n")
            with self.assertRaises(key_file.KeyFileError):
                key_file.load(path, later)


if __name__ == "__main__":
    unittest.main()
