"""The core on a manual clock: exact timings that tests with real sockets cannot reproduce."""

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
from fennelcove.wire.servers import Held

from tests.front_case import SETTINGS

MS = 1000


class RecordingPorts:
    """Records the core's calls to servers, the list service and the migration sender."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *args: self.calls.append((name, *args))


class CoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(10_000 * MS)
        self.timers = Timers(self.clock)
        settings = parse(SETTINGS, FrontSettings, "test")
        self.ports = RecordingPorts()
        ports = CorePorts(self.ports, self.ports, self.ports)
        self.core = Core(settings, self.clock, self.timers, log.silent, ports, SessionIds(b"k" * 32))
        entries = tuple(ListEntry(f"b{i}:1", "zone", "k", i, ServerState.ACTIVE, 1.0, 0) for i in range(3))
        self.core.discovery.on_list(EndpointListUpdate(1, None, entries))
        for i in range(3):
            self.core.server_registry.on_hello(f"b{i}:1", i + 1, f"boot{i}", [])

    def request(self, service_class: str = "free", **changes: Any) -> tuple[Session, SendAttempt]:
        outcome = self.core.request_session(SessionRequest("t1", service_class, **changes))
        session, step = outcome.session, outcome.step
        assert session is not None and isinstance(step, SendAttempt)
        return session, step

    def complete(
        self, step: SendAttempt, outcome: Outcome, hints: ServerHints | None = None
    ) -> NextStep | None:
        return self.core.on_attempt_completed(
            step.session, step.attempt, AttemptResult(outcome, hints, 5 * MS)
        )

    def establish(self, service_class: str = "free", **changes: Any) -> Session:
        session, step = self.request(service_class, **changes)
        response = self.complete(step, Outcome.SERVED)
        assert isinstance(response, SessionResponse) and response.kind is ResponseKind.PLAYING
        return session

    def sent_commands(self) -> list[tuple[str, int | None]]:
        sent = []
        while (command := self.core.commands.next_command()[0]) is not None:
            sent.append((command.session_id, command.rung))
            self.core.commands.on_command_completed(command, is_successful=True)
        return sent

    def test_status_json_has_fixed_field_names_and_order(self) -> None:
        self.core.status_reporter.add_section("zeta", lambda: 1)
        self.core.status_reporter.add_section("alpha", lambda: None)
        field_names = (
            "front boot phase connections waiting held boxes_playing orders_waiting sockets list_version"
        )
        field_names += " list_age_ms storm counts watch zeta alpha"
        assert list(self.core.status().to_json_fields()) == field_names.split()

    def test_attempt_served_exactly_at_the_deadline_counts_as_timed_out(self) -> None:
        session, step = self.request(client_timeout_us=1000 * MS)
        assert session.deadline_us == self.clock.now_us() + 900 * MS
        self.clock.advance(900 * MS)
        response = self.complete(step, Outcome.SERVED)
        assert isinstance(response, SessionResponse)
        assert response.kind is ResponseKind.REJECTED
        assert self.sent_commands() == [(session.id, None)]
        assert not self.core.policy.sessions

    def test_attempt_served_one_microsecond_before_the_deadline_is_established(self) -> None:
        _, step = self.request(client_timeout_us=1000 * MS)
        self.clock.advance(900 * MS - 1)
        response = self.complete(step, Outcome.SERVED)
        assert isinstance(response, SessionResponse)
        assert response.kind is ResponseKind.PLAYING

    def test_repeated_completion_of_an_attempt_is_ignored(self) -> None:
        session, step = self.request()
        self.complete(step, Outcome.SERVED)
        assert self.complete(step, Outcome.SERVED) is None
        assert self.complete(step, Outcome.CONNECTION_LOST) is None
        assert session.state is SessionState.ESTABLISHED

    def test_single_shot_attempt_is_not_retried_once_it_may_have_run(self) -> None:
        _, step = self.request("once")
        response = self.complete(step, Outcome.NO_ANSWER)
        assert isinstance(response, SessionResponse)
        assert response.kind is ResponseKind.FAILED
        _, step = self.request("once")
        assert isinstance(self.complete(step, Outcome.NO_CONNECTION), SendAttempt)

    def test_attempt_served_after_the_client_left_is_released(self) -> None:
        session, step = self.request()
        self.core.on_client_gone(session)
        assert self.complete(step, Outcome.SERVED) is None
        assert self.sent_commands() == [(session.id, None)]
        assert (self.core.sessions, self.core.policy.sessions) == ({}, {})

    def test_session_established_during_a_session_report_is_not_lost(self) -> None:
        # The server may build its session report before the set-up completes, so that the report lacks the
        # session. Treating the session as lost would end it while it plays.
        first = self.establish()
        server = self.core.server_registry.records[first.server]
        opened_us, generation = server.stream_opened_us, server.generation
        self.clock.advance(1)
        session, step = self.request()
        while step.server != first.server:
            self.complete(step, Outcome.SERVED)
            session, step = self.request()
        self.complete(step, Outcome.SERVED)
        assert session.established_us > opened_us
        self.core.server_registry.on_hello(
            first.server, generation, "boot", [Held(first.id, 0, "t1", "free", 2)]
        )
        assert session.id in self.core.sessions
        assert first.id in self.core.sessions

    def test_reported_session_that_was_closed_here_is_released_and_not_adopted(self) -> None:
        session = self.establish()
        other = self.establish()
        while other.server != session.server:
            other = self.establish()
        self.core.release(session.id, "done")
        self.sent_commands()
        generation = self.core.server_registry.records[other.server].generation
        held = [Held(item.id, 0, "t1", "free", 2) for item in (session, other)]
        self.core.server_registry.on_hello(other.server, generation, "boot", held)
        assert self.sent_commands() == [(session.id, None)]
        assert session.id not in self.core.sessions

    def test_load_reports_of_an_earlier_stream_are_ignored(self) -> None:
        session = self.establish()
        generation = self.core.server_registry.records[session.server].generation
        self.core.server_registry.on_load_report(
            session.server, generation - 1, ServerHints(link_utilization=1.5), None
        )
        assert self.core.policy.servers[session.server].link.report is None
        self.core.server_registry.on_load_report(
            session.server, generation, ServerHints(link_utilization=0.4), None
        )
        assert self.core.policy.servers[session.server].link.report == 0.4

    def test_server_bitrate_limit_lowers_the_rung_at_once(self) -> None:
        session, step = self.request()
        self.complete(step, Outcome.SERVED, ServerHints(max_kbit=1700.0))
        assert (session.top_rung, session.rung) == (1, 1)
        assert self.sent_commands() == [(session.id, 1)]

    def test_slow_client_link_lowers_the_rung_without_blaming_the_server(self) -> None:
        session = self.establish()
        view = self.core.on_client_report(session.id, ClientHints(measured_kbit=1000.0, is_starved=True))
        assert view is not None
        assert view.rung == 0
        assert self.core.policy.servers[session.server].link.full_until_us == 0

    def test_session_of_a_silent_client_is_closed(self) -> None:
        session = self.establish()
        self.clock.advance(59_999 * MS)
        self.core.client_reports.close_silent_sessions()
        assert session.id in self.core.sessions
        self.clock.advance(1 * MS)
        self.core.client_reports.close_silent_sessions()
        assert self.core.close_reason(session.id) == "its viewer fell silent"
        assert self.sent_commands() == [(session.id, None)]
        assert (self.core.admission_controller.sessions, self.core.policy.sessions) == (0, {})

    def test_failed_placement_releases_its_admission_and_state(self) -> None:
        # Each failed request used to stay admitted: after 4,000 of them a front rejected every request.
        def fail(_: object, now_us: int) -> None:
            raise ZeroDivisionError

        self.core.policy.handle = fail  # type: ignore[method-assign,assignment]
        with self.assertRaises(ZeroDivisionError):
            self.core.request_session(SessionRequest("t1", "free"))
        admission = self.core.admission_controller
        assert (admission.pending_requests, admission.sessions, self.core.sessions) == (0, 0, {})

    def test_discarded_established_session_is_released_at_its_server(self) -> None:
        session = self.establish()
        self.core.discard(session)
        assert self.sent_commands() == [(session.id, None)]
        assert (self.core.admission_controller.sessions, self.core.sessions) == (0, {})
        assert self.core.server_registry.records[session.server].sessions == {}

    def test_record_of_an_idle_server_expires(self) -> None:
        session = self.establish()
        self.core.release(session.id, "done")
        self.clock.advance(20_000 * MS)
        for call in self.timers.ready():
            call()
        assert self.core.server_registry.records == {}

    def test_gap_in_list_changes_requests_the_complete_list(self) -> None:
        self.core.discovery.on_list(EndpointListUpdate(9, 8, ()))
        assert ("fetch",) in self.ports.calls

    def test_ids_of_other_incarnations_are_not_recognised(self) -> None:
        session_ids = SessionIds(b"a" * 32)
        own_id = session_ids.next_id()
        assert session_ids.is_issued_here(own_id)
        assert not SessionIds(b"b" * 32).is_issued_here(own_id)
        for other in ("", "zz", "1-" + "0" * 24, f"2{own_id[1:]}"):
            assert not session_ids.is_issued_here(other)

    def test_timers_fire_in_order(self) -> None:
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
