"""The core on a clock that the test moves: instants that real sockets meet only by luck."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove import log
from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.core.core import Core
from fennelcove.core.ports import CorePorts
from fennelcove.core.requests import (
    AttemptResult,
    NextStep,
    ResponseKind,
    SendAttempt,
    Session,
    SessionRequest,
    SessionResponse,
)
from fennelcove.core.session_ids import SessionIds
from fennelcove.decisions.clients.session_lifecycle import SessionState
from fennelcove.decisions.servers.endpoint_list import EndpointListUpdate
from fennelcove.decisions.servers.load_signals import ClientHints, ServerHints
from fennelcove.interface import ListEntry, Outcome, ServerState
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings
from fennelcove.wire.boxes import Held

from tests.rig import SETTINGS

MS = 1000


class Ports:
    """The sides towards boxes and list, written down."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.calls.append((name, *args))


class CoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(10_000 * MS)
        self.timers = Timers(self.clock)
        settings = parse(SETTINGS, FrontSettings, "test")
        self.ports = Ports()
        ports = CorePorts(self.ports, self.ports, self.ports)
        self.core = Core(settings, self.clock, self.timers, log.silent, ports, SessionIds(b"k" * 32))
        entries = tuple(ListEntry(f"b{i}:1", "zone", "k", i, ServerState.ACTIVE, 1.0, 0) for i in range(3))
        self.core.discovery.on_list(EndpointListUpdate(1, None, entries))
        for i in range(3):
            self.core.server_registry.on_hello(f"b{i}:1", i + 1, f"boot{i}", [])

    def ask(self, room: str = "free", **changes: Any) -> tuple[Session, SendAttempt]:
        outcome = self.core.request_session(SessionRequest("t1", room, **changes))
        session, step = outcome.session, outcome.step
        assert session is not None and isinstance(step, SendAttempt)
        return session, step

    def over(self, step: SendAttempt, outcome: Outcome, says: ServerHints | None = None) -> NextStep | None:
        return self.core.on_attempt_completed(
            step.session, step.attempt, AttemptResult(outcome, says, 5 * MS)
        )

    def play(self, room: str = "free", **changes: Any) -> Session:
        session, step = self.ask(room, **changes)
        answered = self.over(step, Outcome.SERVED)
        assert isinstance(answered, SessionResponse) and answered.kind is ResponseKind.PLAYING
        return session

    def orders(self) -> list[tuple[str, int | None]]:
        found = []
        while (order := self.core.commands.next_command()[0]) is not None:
            found.append((order.session_id, order.rung))
            self.core.commands.on_command_completed(order, is_successful=True)
        return found

    def test_the_status_keeps_the_names_and_the_order_of_its_json(self) -> None:
        self.core.status_reporter.add_section("zeta", lambda: 1)
        self.core.status_reporter.add_section("alpha", lambda: None)
        names = "front boot phase connections waiting held boxes_playing orders_waiting sockets list_version"
        names += " list_age_ms storm counts watch zeta alpha"
        assert list(self.core.status().to_json_fields()) == names.split()

    def test_served_in_the_very_instant_of_the_timeout_counts_as_given_up(self) -> None:
        session, step = self.ask(client_timeout_us=1000 * MS)
        assert session.deadline_us == self.clock.now_us() + 900 * MS
        self.clock.advance(900 * MS)
        answered = self.over(step, Outcome.SERVED)
        assert isinstance(answered, SessionResponse)
        assert answered.kind is ResponseKind.REJECTED
        assert self.orders() == [(session.id, None)]
        assert not self.core.policy.sessions

    def test_served_one_microsecond_before_it_plays(self) -> None:
        _, step = self.ask(client_timeout_us=1000 * MS)
        self.clock.advance(900 * MS - 1)
        answered = self.over(step, Outcome.SERVED)
        assert isinstance(answered, SessionResponse)
        assert answered.kind is ResponseKind.PLAYING

    def test_a_second_end_of_one_join_says_nothing(self) -> None:
        session, step = self.ask()
        self.over(step, Outcome.SERVED)
        assert self.over(step, Outcome.SERVED) is None
        assert self.over(step, Outcome.CONNECTION_LOST) is None
        assert session.state is SessionState.ESTABLISHED

    def test_single_shot_is_never_sent_again_once_it_may_have_run(self) -> None:
        _, step = self.ask("once")
        answered = self.over(step, Outcome.NO_ANSWER)
        assert isinstance(answered, SessionResponse)
        assert answered.kind is ResponseKind.FAILED
        _, step = self.ask("once")
        assert isinstance(self.over(step, Outcome.NO_CONNECTION), SendAttempt)

    def test_an_abandoned_join_that_is_served_is_released(self) -> None:
        session, step = self.ask()
        self.core.on_client_gone(session)
        assert self.over(step, Outcome.SERVED) is None
        assert self.orders() == [(session.id, None)]
        assert (self.core.sessions, self.core.policy.sessions) == ({}, {})

    def test_what_began_while_a_greeting_was_under_way_is_not_lost_by_it(self) -> None:
        # A greeting made before the set-up ended does not name it; losing it would end a lesson that plays.
        first = self.play()
        box = self.core.server_registry.records[first.server]
        opened, generation = box.stream_opened_us, box.generation
        self.clock.advance(1)
        session, step = self.ask()
        while step.server != first.server:
            self.over(step, Outcome.SERVED)
            session, step = self.ask()
        self.over(step, Outcome.SERVED)
        assert session.established_us > opened
        self.core.server_registry.on_hello(
            first.server, generation, "boot", [Held(first.id, 0, "t1", "free", 2)]
        )
        assert session.id in self.core.sessions
        assert first.id in self.core.sessions

    def test_a_box_that_names_what_ended_here_is_told_to_let_go_and_not_believed(self) -> None:
        session = self.play()
        keeps = self.play()
        while keeps.server != session.server:
            keeps = self.play()
        self.core.release(session.id, "done")
        self.orders()
        generation = self.core.server_registry.records[keeps.server].generation
        held = [Held(item.id, 0, "t1", "free", 2) for item in (session, keeps)]
        self.core.server_registry.on_hello(keeps.server, generation, "boot", held)
        assert self.orders() == [(session.id, None)]
        assert session.id not in self.core.sessions

    def test_reports_of_a_feed_that_was_closed_count_for_nothing(self) -> None:
        session = self.play()
        generation = self.core.server_registry.records[session.server].generation
        self.core.server_registry.on_load_report(
            session.server, generation - 1, ServerHints(link_utilization=1.5), None
        )
        assert self.core.policy.servers[session.server].link.report is None
        self.core.server_registry.on_load_report(
            session.server, generation, ServerHints(link_utilization=0.4), None
        )
        assert self.core.policy.servers[session.server].link.report == 0.4

    def test_a_boxs_ceiling_lowers_the_rung_at_once(self) -> None:
        session, step = self.ask()
        self.over(step, Outcome.SERVED, ServerHints(max_kbit=1700.0))
        assert (session.top_rung, session.rung) == (1, 1)
        assert self.orders() == [(session.id, 1)]

    def test_a_viewers_own_short_link_lowers_it_and_blames_no_box(self) -> None:
        session = self.play()
        view = self.core.on_client_report(session.id, ClientHints(measured_kbit=1000.0, is_starved=True))
        assert view is not None
        assert view.rung == 0
        assert self.core.policy.servers[session.server].link.full_until_us == 0

    def test_a_silent_viewer_is_let_go(self) -> None:
        session = self.play()
        self.clock.advance(59_999 * MS)
        self.core.client_reports.close_silent_sessions()
        assert session.id in self.core.sessions
        self.clock.advance(1 * MS)
        self.core.client_reports.close_silent_sessions()
        assert self.core.close_reason(session.id) == "its viewer fell silent"
        assert self.orders() == [(session.id, None)]
        assert (self.core.admission_controller.sessions, self.core.policy.sessions) == (0, {})

    def test_a_decision_that_fails_keeps_no_place_and_no_memory(self) -> None:
        # Each such request used to keep its place: after 4,000 of them a front refused everybody.
        def fails(_: object, now_us: int) -> None:
            raise ZeroDivisionError

        self.core.policy.handle = fails  # type: ignore[method-assign,assignment]
        with self.assertRaises(ZeroDivisionError):
            self.core.request_session(SessionRequest("t1", "free"))
        gate = self.core.admission_controller
        assert (gate.pending_requests, gate.sessions, self.core.sessions) == (0, 0, {})

    def test_a_session_that_fails_while_it_plays_is_released(self) -> None:
        session = self.play()
        self.core.discard(session)
        assert self.orders() == [(session.id, None)]
        assert (self.core.admission_controller.sessions, self.core.sessions) == (0, {})
        assert self.core.server_registry.records[session.server].sessions == {}

    def test_a_box_on_which_nothing_plays_for_a_while_is_let_go(self) -> None:
        session = self.play()
        self.core.release(session.id, "done")
        self.clock.advance(20_000 * MS)
        for call in self.timers.ready():
            call()
        assert self.core.server_registry.records == {}

    def test_a_gap_in_the_changes_asks_for_a_whole_list(self) -> None:
        self.core.discovery.on_list(EndpointListUpdate(9, 8, ()))
        assert ("fetch",) in self.ports.calls

    def test_an_id_of_another_life_is_not_mine(self) -> None:
        names = SessionIds(b"a" * 32)
        mine = names.next_id()
        assert names.is_issued_here(mine)
        assert not SessionIds(b"b" * 32).is_issued_here(mine)
        for other in ("", "zz", "1-" + "0" * 24, f"2{mine[1:]}"):
            assert not names.is_issued_here(other)

    def test_timers_come_in_order_and_one_fault_does_not_end_them(self) -> None:
        seen: list[object] = []
        timers = Timers(self.clock, seen.append)
        timers.after(20, lambda: seen.append("late"))
        timers.after(10, lambda: seen.append("early"))
        self.clock.advance(10)
        for call in timers.ready():
            call()
        assert seen == ["early"]


if __name__ == "__main__":
    unittest.main()
