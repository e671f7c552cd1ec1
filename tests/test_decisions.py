"""Decision modules of the running front: complete tables, bounds, and the failure behind each rule."""

from __future__ import annotations

import unittest
from typing import Any

from fennelcove.decisions.clients import admission, session_expiry, session_lifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionAction, SessionEvent, SessionState
from fennelcove.decisions.operators import graceful_shutdown
from fennelcove.decisions.playback import migration, segment_routing
from fennelcove.decisions.recovery import reconciliation
from fennelcove.decisions.recovery.reconciliation import SessionClaim
from fennelcove.decisions.servers import (
    attempt_exchange,
    command_queue,
    endpoint_list,
    event_stream,
    load_signals,
)
from fennelcove.decisions.servers.attempt_exchange import ExchangeEvent, ExchangeState
from fennelcove.decisions.servers.load_signals import ClientHints, ServerHints
from fennelcove.interface import Effect, ListEntry, ListMode, Outcome, ServerState
from fennelcove.placement import SHORT_DELIVERY_WINDOW_US
from hypothesis import given, settings
from hypothesis import strategies as st

SECOND = 1_000_000
RATES = (100.0, 200.0, 400.0)


class SessionLifecycleTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(list(SessionEvent)), max_size=30))
    @settings(max_examples=500, deadline=None)
    def test_no_order_of_events_answers_a_client_twice(self, events: list[SessionEvent]) -> None:
        state, responses, open_attempts, established_count, is_gone = SessionState.REQUESTED, 0, 0, 0, False
        for event in events:
            before = state
            state, actions = session_lifecycle.transition(state, event)
            responses += len(session_lifecycle.RESPONSES.intersection(actions))
            open_attempts += SessionAction.SEND_ATTEMPT in actions
            if before in (SessionState.ATTEMPTING, SessionState.ABANDONED) and state not in (
                SessionState.ATTEMPTING,
                SessionState.ABANDONED,
            ):
                open_attempts -= 1
            assert open_attempts <= 1
            established_count += state is SessionState.ESTABLISHED and before is not SessionState.ESTABLISHED
            is_gone |= before is SessionState.ATTEMPTING and event is SessionEvent.CLIENT_DISCONNECTED
            if state is SessionState.CLOSED and before is not SessionState.CLOSED:
                assert actions[-1] is SessionAction.DISCARD
                assert responses or is_gone, "session closed without a response"
        assert responses <= 1
        assert established_count <= 1

    def test_an_attempt_that_no_client_waits_for_releases_its_server(self) -> None:
        for event in (
            SessionEvent.ATTEMPT_SERVED,
            SessionEvent.ATTEMPT_SERVED_LATE,
            SessionEvent.ATTEMPT_FAILED,
        ):
            assert (
                SessionAction.RELEASE_SERVER in session_lifecycle.transition(SessionState.ABANDONED, event)[1]
            )
        assert (
            session_lifecycle.transition(SessionState.ATTEMPTING, SessionEvent.ATTEMPT_SERVED_LATE)[1][0]
            == SessionAction.RELEASE_SERVER
        )

    def test_a_client_may_shorten_its_timeout_but_not_extend_it(self) -> None:
        assert session_lifecycle.effective_timeout_us(None, 5) == 5
        assert session_lifecycle.effective_timeout_us(3, 5) == 3
        assert session_lifecycle.effective_timeout_us(9, 5) == 5
        assert session_lifecycle.processing_time_us(1000) == 900


class AttemptExchangeTest(unittest.TestCase):
    def outcome(self, *events: ExchangeEvent) -> Outcome | None:
        exchange = attempt_exchange.AttemptExchange()
        for event in events:
            exchange.apply(event)
        return exchange.outcome

    def test_each_sequence_of_events_has_its_outcome(self) -> None:
        sent = (ExchangeEvent.CONNECTED, ExchangeEvent.REQUEST_WRITTEN)
        for events, outcome in (
            ((ExchangeEvent.CONNECT_FAILED,), Outcome.NO_CONNECTION),
            ((ExchangeEvent.TIMED_OUT,), Outcome.NO_CONNECTION),
            ((ExchangeEvent.CONNECTED, ExchangeEvent.CLOSED), Outcome.NO_CONNECTION),
            ((*sent, ExchangeEvent.CLOSED), Outcome.CONNECTION_LOST),
            ((*sent, ExchangeEvent.TIMED_OUT), Outcome.NO_ANSWER),
            ((*sent, ExchangeEvent.RESPONSE_STARTED, ExchangeEvent.CLOSED), Outcome.CONNECTION_LOST),
            ((*sent, ExchangeEvent.RESPONSE_STARTED, ExchangeEvent.TIMED_OUT), Outcome.NO_ANSWER),
            ((*sent, ExchangeEvent.RESPONSE_STARTED, ExchangeEvent.REJECTED), Outcome.REJECTED),
            ((*sent, ExchangeEvent.RESPONSE_STARTED, ExchangeEvent.SERVER_ERROR), Outcome.SERVER_ERROR),
            ((*sent, ExchangeEvent.RESPONSE_STARTED, ExchangeEvent.MALFORMED_RESPONSE), Outcome.SERVER_ERROR),
            ((*sent, ExchangeEvent.RESPONSE_STARTED, ExchangeEvent.PLAYBACK_STARTED), Outcome.SERVED),
        ):
            assert self.outcome(*events) is outcome

    @given(st.lists(st.sampled_from(list(ExchangeEvent)), max_size=10))
    def test_the_outcome_never_changes(self, events: list[ExchangeEvent]) -> None:
        exchange = attempt_exchange.AttemptExchange()
        first: Outcome | None = None
        for event in events:
            outcome = exchange.apply(event)
            first = first or outcome
            assert outcome is first
        assert (first is not None) == (exchange.state is ExchangeState.COMPLETED)

    def test_only_an_attempt_that_cannot_have_run_needs_no_release(self) -> None:
        no_release = {outcome for outcome in Outcome if not attempt_exchange.may_need_release(outcome)}
        assert no_release == {Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
        assert not attempt_exchange.may_reuse_connection(Effect.SINGLE_SHOT)

    @given(st.integers(-5, 10**9))
    def test_each_timeout_is_within_the_next_longer_one(self, allowed_us: int) -> None:
        timeouts = attempt_exchange.attempt_timeouts(allowed_us)
        assert 0 < timeouts.connect_us <= timeouts.first_byte_us <= timeouts.total_us <= max(1, allowed_us)


class LoadSignalsTest(unittest.TestCase):
    def test_duress_counts_as_a_full_link_whatever_utilization_is_reported(self) -> None:
        report = load_signals.load_report(ServerHints(link_utilization=0.1, is_in_duress=True))
        assert report is not None
        assert report.link == 1.0
        assert load_signals.load_report(ServerHints()) is None

    def test_top_rung_by_hints_is_neither_below_the_lowest_rung_nor_above_the_stated_one(self) -> None:
        assert load_signals.top_rung(RATES, 2, 0, ClientHints(top_kbit=1600)) == 1
        assert load_signals.top_rung(RATES, 2, 0, ClientHints(measured_kbit=1700)) == 0
        assert load_signals.top_rung(RATES, 2, 1, ClientHints(measured_kbit=10)) == 1
        assert load_signals.top_rung(RATES, 0, 1, ClientHints(measured_kbit=10)) == 0
        assert load_signals.top_rung(RATES, 9, 0, ClientHints()) == 2
        assert load_signals.top_rung(RATES, 2, 0, ClientHints(top_kbit=0, measured_kbit=0)) == 2

    def test_top_rung_falls_at_once_and_rises_only_with_a_margin(self) -> None:
        assert load_signals.adjusted_top_rung(RATES, 2, 2, 0, ClientHints(measured_kbit=1000)) == 0
        assert load_signals.adjusted_top_rung(RATES, 2, 0, 0, ClientHints(measured_kbit=1800)) == 0
        assert load_signals.adjusted_top_rung(RATES, 2, 0, 0, ClientHints(measured_kbit=2200)) == 1
        assert load_signals.adjusted_top_rung(RATES, 2, 0, 0, ClientHints()) == 2

    def test_one_starving_client_is_no_sign_of_a_slow_server_but_a_majority_is(self) -> None:
        monitor = load_signals.DeliveryMonitor()
        monitor.observe("a", 0.5, 10)
        assert monitor.delivered_fraction(0) is None
        monitor.observe("b", 0.7, 11)
        self.assertAlmostEqual(monitor.delivered_fraction(0) or 0, 0.6)
        monitor.observe("c", None, 12)
        monitor.observe("d", None, 12)
        assert monitor.delivered_fraction(0) is None
        assert monitor.delivered_fraction(12) is None
        for i in range(1000):
            monitor.observe(f"x{i}", None, 20)
        assert len(monitor.observations) == load_signals.MAX_CLIENTS

    def test_starving_fraction_stays_within_its_bounds(self) -> None:
        assert load_signals.starving_delivered_fraction(ClientHints(measured_kbit=1), 100) is None
        for kbit in (None, 0.0, 1.0, 800.0, 1e9):
            fraction = load_signals.starving_delivered_fraction(
                ClientHints(measured_kbit=kbit, is_starved=True), 100
            )
            assert fraction is not None
            assert 0.1 <= fraction < 0.98


def entry(
    address: str, state: ServerState = ServerState.ACTIVE, started_us: int = 0, cell: int = 0
) -> ListEntry:
    return ListEntry(address, "here", "kind", cell, state, 1.0, started_us)


class EndpointListTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = endpoint_list.EndpointListTracker()
        assert self.apply(5, None, entry("a"), entry("b")).decision is endpoint_list.ListDecision.TAKEN

    def apply(self, version: int, base: int | None, *entries: ListEntry) -> endpoint_list.ListVerdict:
        return self.tracker.apply(endpoint_list.EndpointListUpdate(version, base, entries))

    def test_old_versions_and_gaps_are_rejected(self) -> None:
        assert self.apply(5, None, entry("a")).decision is endpoint_list.ListDecision.OLD
        assert self.apply(7, 6, entry("a")).decision is endpoint_list.ListDecision.GAP
        verdict = self.apply(6, 5, entry("a", ServerState.LEAVING))
        assert verdict.update is not None
        assert verdict.update.mode is ListMode.INCREMENTAL

    def test_of_duplicate_entries_the_more_cautious_one_counts(self) -> None:
        verdict = self.apply(
            6, None, entry("a", ServerState.ACTIVE, 9), entry("a", ServerState.LEAVING), entry("b")
        )
        assert verdict.update is not None
        by_address = {item.address: item for item in verdict.update.entries}
        assert (len(by_address), by_address["a"].state, by_address["a"].started_us) == (
            2,
            ServerState.LEAVING,
            9,
        )

    def test_a_list_with_no_active_server_or_with_a_server_in_two_cells_changes_nothing(self) -> None:
        for entries in ((), (entry("a", ServerState.LEFT),), (entry("a"), entry("a", cell=2))):
            verdict = self.apply(9, None, *entries)
            assert verdict.decision is endpoint_list.ListDecision.REFUSED
            assert verdict.reason
        assert self.apply(6, 5, entry("a", cell=3)).decision is endpoint_list.ListDecision.REFUSED
        assert self.tracker.version == 5

    def test_backoff_grows_and_stays_bounded(self) -> None:
        backoffs = [endpoint_list.backoff_us(failures, 0.0) for failures in range(200)]
        assert backoffs == sorted(backoffs)
        assert endpoint_list.backoff_us(500, 1.0) <= endpoint_list.MAX_BACKOFF_US


class AdmissionTest(unittest.TestCase):
    def controller(self) -> admission.AdmissionController:
        return admission.AdmissionController(
            admission.AdmissionLimits(connections=4, pending_requests=2, sessions=3, buffered_bytes=100)
        )

    def test_each_limit_rejects_at_once_and_admits_again(self) -> None:
        controller = self.controller()
        for kind, limit in (
            (admission.AdmissionRequest.CONNECTION, 4),
            (admission.AdmissionRequest.REQUEST, 2),
            (admission.AdmissionRequest.SUBSCRIPTION, 3),
        ):
            decisions = [controller.admit(kind) for _ in range(limit + 1)]
            assert decisions == [admission.AdmissionDecision.LET_IN] * limit + [
                admission.AdmissionDecision.FULL
            ]
        controller.on_connection_closed()
        assert controller.admit(admission.AdmissionRequest.CONNECTION) is admission.AdmissionDecision.LET_IN
        controller.apply(admission.AdmissionEvent.STOP)
        assert controller.admit(admission.AdmissionRequest.REQUEST) is admission.AdmissionDecision.CLOSING

    def test_buffered_bytes_are_limited_over_all_connections(self) -> None:
        controller = self.controller()
        assert controller.reserve_buffer(100)
        assert not controller.reserve_buffer(1)
        assert controller.admit(admission.AdmissionRequest.CONNECTION) is admission.AdmissionDecision.FULL
        assert controller.reserve_buffer(-100)
        assert controller.admit(admission.AdmissionRequest.CONNECTION) is admission.AdmissionDecision.LET_IN

    def test_connection_timeout_falls_as_connections_run_out(self) -> None:
        controller = self.controller()
        timeouts_us = []
        for _ in range(4):
            controller.admit(admission.AdmissionRequest.CONNECTION)
            timeouts_us.append(controller.connection_timeout_us(1000))
        assert timeouts_us == [1000, 1000, 550, 100]

    def test_retry_after_is_spread_within_the_limit_of_the_client(self) -> None:
        controller = self.controller()
        assert controller.retry_after_us(0.0, None) == SECOND
        assert controller.retry_after_us(0.5, 1200000) == 1200000
        assert [admission.retry_after_s(us) for us in (0, 1, SECOND, SECOND + 1)] == [1, 1, 1, 2]


class EventStreamTest(unittest.TestCase):
    def test_repeated_refusals_prove_a_loss_and_one_disconnect_does_not(self) -> None:
        stream = event_stream.StreamLifecycle()
        assert stream.apply(event_stream.StreamEvent.SESSIONS_HELD, 0) == (
            event_stream.StreamAction.OPEN_STREAM,
        )
        stream.on_hello("one", 1)
        assert stream.apply(event_stream.StreamEvent.DISCONNECTED, 2) == (
            event_stream.StreamAction.SCHEDULE_RETRY,
        )
        actions: tuple[event_stream.StreamAction, ...] = ()
        for _ in range(event_stream.REFUSALS_PROVING_LOSS):
            assert event_stream.StreamAction.FAIL_ALL_SESSIONS not in actions
            assert stream.apply(event_stream.StreamEvent.RETRY_DUE, 3) == (
                event_stream.StreamAction.OPEN_STREAM,
            )
            actions = stream.apply(event_stream.StreamEvent.REFUSED, 4)
        assert event_stream.StreamAction.FAIL_ALL_SESSIONS in actions

    def test_a_silence_as_long_as_reports_are_retained_proves_a_loss(self) -> None:
        stream = event_stream.StreamLifecycle()
        stream.apply(event_stream.StreamEvent.SESSIONS_HELD, 0)
        assert event_stream.StreamAction.FAIL_ALL_SESSIONS not in stream.apply(
            event_stream.StreamEvent.DISCONNECTED, SHORT_DELIVERY_WINDOW_US - 1
        )
        stream.apply(event_stream.StreamEvent.RETRY_DUE, SHORT_DELIVERY_WINDOW_US)
        assert event_stream.StreamAction.FAIL_ALL_SESSIONS in stream.apply(
            event_stream.StreamEvent.DISCONNECTED, SHORT_DELIVERY_WINDOW_US
        )

    def test_a_restarted_server_fails_the_sessions_that_it_does_not_list(self) -> None:
        stream = event_stream.StreamLifecycle()
        stream.apply(event_stream.StreamEvent.SESSIONS_HELD, 0)
        assert stream.on_hello("one", 1) == (event_stream.StreamAction.FAIL_UNLISTED_SESSIONS,)
        stream.apply(event_stream.StreamEvent.DISCONNECTED, 2)
        stream.apply(event_stream.StreamEvent.RETRY_DUE, 3)
        assert stream.on_hello("two", 4) == (event_stream.StreamAction.FAIL_UNLISTED_SESSIONS,)
        assert stream.apply(event_stream.StreamEvent.NO_SESSIONS_HELD, 5) == (
            event_stream.StreamAction.SCHEDULE_CLOSE,
        )
        assert stream.apply(event_stream.StreamEvent.SESSIONS_HELD, 6) == ()
        assert stream.apply(event_stream.StreamEvent.EXPIRED, 7) == ()
        stream.apply(event_stream.StreamEvent.NO_SESSIONS_HELD, 8)
        assert stream.apply(event_stream.StreamEvent.EXPIRED, 9) == (
            event_stream.StreamAction.CLOSE_STREAM,
            event_stream.StreamAction.DISCARD,
        )
        assert stream.apply(event_stream.StreamEvent.RETRY_DUE, 10) == ()

    def test_backoff_is_bounded(self) -> None:
        stream = event_stream.StreamLifecycle(failures=500)
        assert stream.backoff_us(1.0) <= event_stream.MAX_BACKOFF_US


class SessionExpiryTest(unittest.TestCase):
    def test_only_inactive_sessions_expire_and_only_once(self) -> None:
        expiry = session_expiry.SessionExpiry(300)
        for id in "abc":
            expiry.add(id, 0)
        expiry.on_activity("a", 200)
        expiry.remove("b")
        assert expiry.pop_expired(299) == []
        assert expiry.pop_expired(300) == ["c"]
        assert expiry.pop_expired(499) == []
        assert expiry.pop_expired(500) == ["a"]
        assert (expiry.pop_expired(10**9), expiry.entries, expiry.deadlines) == ([], {}, [])
        assert expiry.poll_interval_us() == 100


def command(server: str, id: str, rung: int | None, attempt: int = 0) -> command_queue.Command:
    return command_queue.Command(server, id, attempt, rung)


class CommandQueueTest(unittest.TestCase):
    def test_a_later_rung_replaces_an_earlier_one_and_a_release_replaces_both(self) -> None:
        queue = command_queue.CommandQueue(10)
        for rung in (1, 2, None, 3):
            queue.add(command("x", "a", rung))
        popped = queue.pop_ready(0)
        assert popped is not None
        assert popped.rung is None
        assert queue.pop_ready(0) is None

    def test_a_server_that_hangs_blocks_one_sender_and_servers_take_turns(self) -> None:
        queue = command_queue.CommandQueue(10)
        for server in "xxxy":
            queue.add(command(server, f"{server}{queue.count}", 1))
        first, second = queue.pop_ready(0), queue.pop_ready(0)
        assert first is not None and second is not None
        assert (first.server, second.server, queue.pop_ready(0)) == ("x", "y", None)
        queue.complete(first, False, 0)
        assert queue.pop_ready(0) is None
        assert queue.wait_us(0) == command_queue.INITIAL_BACKOFF_US
        assert queue.pop_ready(command_queue.INITIAL_BACKOFF_US) is first

    def test_tries_are_limited_and_leave_no_entry_behind(self) -> None:
        queue, now_us = command_queue.CommandQueue(10), 0
        queue.add(command("x", "a", None))
        for _ in range(command_queue.MAX_TRIES):
            now_us += command_queue.MAX_BACKOFF_US
            popped = queue.pop_ready(now_us)
            assert popped is not None
            queue.complete(popped, False, now_us)
        assert (queue.count, queue.dropped_count, len(queue.by_server)) == (0, 1, 0)

    def test_over_the_limit_rungs_are_dropped_before_releases(self) -> None:
        queue = command_queue.CommandQueue(2)
        queue.add(command("x", "a", None))
        queue.add(command("x", "b", 1))
        queue.add(command("x", "c", None))
        remaining = {popped.session_id for popped in self.drain(queue)}
        assert (remaining, queue.dropped_count) == ({"a", "c"}, 1)

    def drain(self, queue: command_queue.CommandQueue) -> list[command_queue.Command]:
        drained = []
        while (popped := queue.pop_ready(0)) is not None:
            drained.append(popped)
            queue.complete(popped, True, 0)
        assert (queue.count, len(queue.by_server)) == (0, 0)
        return drained

    @given(st.lists(st.tuples(st.sampled_from("xyz"), st.sampled_from("abc"), st.integers(-1, 3))))
    def test_the_count_is_the_number_of_queued_commands(self, added: list[tuple[str, str, int]]) -> None:
        queue = command_queue.CommandQueue(4)
        for server, id, rung in added:
            queue.add(command(server, id, None if rung < 0 else rung))
            assert queue.count == sum(len(pending.commands) for pending in queue.by_server.values())
            assert queue.count <= 4
        self.drain(queue)


class GracefulShutdownTest(unittest.TestCase):
    def test_every_sequence_ends_by_the_deadline(self) -> None:
        shutdown = graceful_shutdown.GracefulShutdown(1000)
        assert shutdown.apply(graceful_shutdown.ShutdownEvent.REQUESTED, 50) == (
            graceful_shutdown.ShutdownAction.STOP_ACCEPTING,
        )
        assert shutdown.remaining_us(50) == 750
        assert shutdown.apply(graceful_shutdown.ShutdownEvent.DEADLINE_REACHED, 800) == (
            graceful_shutdown.ShutdownAction.CANCEL_ATTEMPTS,
        )
        assert shutdown.remaining_us(800) == 250
        assert shutdown.apply(graceful_shutdown.ShutdownEvent.DEADLINE_REACHED, 1050) == (
            graceful_shutdown.ShutdownAction.CLOSE_CONNECTIONS,
        )
        assert shutdown.apply(graceful_shutdown.ShutdownEvent.REQUESTED, 1051) == ()

    def test_an_idle_front_stops_at_once(self) -> None:
        shutdown = graceful_shutdown.GracefulShutdown(1000)
        shutdown.apply(graceful_shutdown.ShutdownEvent.REQUESTED, 0)
        assert shutdown.apply(graceful_shutdown.ShutdownEvent.IDLE, 1) == (
            graceful_shutdown.ShutdownAction.CLOSE_CONNECTIONS,
        )
        assert shutdown.state is graceful_shutdown.ShutdownState.STOPPED


class MigrationTest(unittest.TestCase):
    def test_a_migration_has_one_attempt_at_a_time_and_one_end(self) -> None:
        session = migration.SessionMigration("a", 1.0)
        assert session.apply(migration.MigrationEvent.SERVER_DRAINING) == (migration.MigrationAction.ENQUEUE,)
        assert session.apply(migration.MigrationEvent.SERVER_DRAINING) == ()
        assert session.apply(migration.MigrationEvent.TURN_GRANTED) == (
            migration.MigrationAction.SELECT_SERVER,
        )
        assert session.apply(migration.MigrationEvent.TURN_GRANTED) == ()
        assert session.apply(migration.MigrationEvent.SERVER_LOST) == (
            migration.MigrationAction.REPORT_SERVER_LOST,
        )
        assert session.apply(migration.MigrationEvent.ESTABLISHED) == (
            migration.MigrationAction.SWITCH_SERVER,
        )
        assert not session.is_server_lost

    def test_without_another_server_a_session_stays_and_a_lost_one_ends(self) -> None:
        staying, lost = migration.SessionMigration("a", 1.0), migration.SessionMigration("b", 1.0)
        for event in (migration.MigrationEvent.SERVER_DRAINING, migration.MigrationEvent.TURN_GRANTED):
            staying.apply(event)
        assert staying.apply(migration.MigrationEvent.NO_SERVER_FOUND) == (
            migration.MigrationAction.RETRY_LATER,
        )
        assert staying.apply(migration.MigrationEvent.GRACE_EXPIRED) == (
            migration.MigrationAction.KEEP_SERVER,
        )
        assert lost.apply(migration.MigrationEvent.SERVER_LOST) == (
            migration.MigrationAction.SELECT_SERVER,
            migration.MigrationAction.REPORT_SERVER_LOST,
        )
        assert lost.apply(migration.MigrationEvent.NO_SERVER_FOUND) == (
            migration.MigrationAction.END_SESSION,
        )
        assert lost.apply(migration.MigrationEvent.ESTABLISHED) == ()
        assert not migration.may_reestablish(Effect.SINGLE_SHOT)
        # A restarted front adopted a session and set it up again after its idempotency key had expired
        # (scenario release-hall, seed 3).
        assert not migration.may_reestablish(Effect.GUARDED, is_adopted=True)
        assert migration.may_reestablish(Effect.GUARDED)
        assert migration.may_reestablish(Effect.FREE, is_adopted=True)

    def test_a_session_that_stayed_ends_when_its_server_leaves_the_list(self) -> None:
        # Otherwise its player keeps requesting segments for which no server may be named.
        session = migration.SessionMigration("a", 1.0)
        for event in (
            migration.MigrationEvent.SERVER_DRAINING,
            migration.MigrationEvent.TURN_GRANTED,
            migration.MigrationEvent.NO_SERVER_FOUND,
            migration.MigrationEvent.GRACE_EXPIRED,
        ):
            session.apply(event)
        assert session.apply(migration.MigrationEvent.SERVER_DELISTED) == (migration.MigrationAction.ENQUEUE,)
        assert session.apply(migration.MigrationEvent.GRACE_EXPIRED) == (
            migration.MigrationAction.END_SESSION,
        )

    def test_turns_go_by_time_then_benefit_and_are_limited(self) -> None:
        queue = migration.MigrationQueue(2, 1000)
        migrations = [
            migration.SessionMigration(name, benefit)
            for name, benefit in (("low", 1.0), ("high", 3.0), ("mid", 2.0))
        ]
        for session in migrations:
            session.apply(migration.MigrationEvent.SERVER_DRAINING)
            queue.add(session, 0)
        ready, expired = queue.take_ready(0)
        assert ([session.session_id for session in ready], expired) == (["high", "mid"], [])
        assert queue.take_ready(1) == ([], [])
        queue.on_turn_finished()
        assert [session.session_id for session in queue.take_ready(1)[0]] == ["low"]

    def test_after_nine_tenths_of_the_grace_period_no_turn_is_granted(self) -> None:
        queue, session = migration.MigrationQueue(1, 1000), migration.SessionMigration("a", 1.0)
        session.apply(migration.MigrationEvent.SERVER_DRAINING)
        queue.add(session, 0)
        assert queue.take_ready(900) == ([], [session])

    def test_a_migration_to_be_retried_waits_for_the_retry_delay(self) -> None:
        queue, session = (
            migration.MigrationQueue(1, 10 * migration.RETRY_DELAY_US),
            migration.SessionMigration("a", 1.0),
        )
        session.apply(migration.MigrationEvent.SERVER_DRAINING)
        queue.add(session, 0)
        queue.take_ready(0)
        session.apply(migration.MigrationEvent.TURN_GRANTED)
        session.apply(migration.MigrationEvent.NO_SERVER_FOUND)
        queue.on_turn_finished()
        queue.retry_later(session, 0)
        assert queue.take_ready(migration.RETRY_DELAY_US - 1) == ([], [])
        assert queue.take_ready(migration.RETRY_DELAY_US) == ([session], [])


class SegmentRoutingTest(unittest.TestCase):
    def candidates(self, **changes: Any) -> segment_routing.SegmentCandidates:
        defaults = {
            "home_server": "h",
            "home_has_media": True,
            "replicas": ("o", "p"),
            "lower_rung_replicas": ("l",),
            "slate_server": "s",
        }
        return segment_routing.SegmentCandidates(**{**defaults, **changes})

    def test_sources_are_used_in_order(self) -> None:
        source = segment_routing.SegmentSource
        for candidates, tried, expected in (
            (self.candidates(), (), (source.HOME, "h")),
            (self.candidates(), ("h",), (source.OTHER, "o")),
            (self.candidates(), ("h", "o"), (source.OTHER, "p")),
            (self.candidates(home_has_media=False), (), (source.OTHER, "o")),
            (self.candidates(home_server=None), (), (source.OTHER, "o")),
            (self.candidates(replicas=()), ("h",), (source.LOWER, "l")),
            (self.candidates(replicas=(), lower_rung_replicas=()), ("h",), (source.SLATE, "s")),
            (
                self.candidates(replicas=(), lower_rung_replicas=(), slate_server=None),
                ("h",),
                (source.NONE, ""),
            ),
            (
                self.candidates(home_server=None, replicas=(), lower_rung_replicas=(), slate_server=None),
                (),
                (source.WAIT, ""),
            ),
        ):
            route = segment_routing.route_clip_segment(candidates, tried)
            assert (route.source, route.server) == expected

    def test_a_title_segment_comes_from_the_home_server_or_waits_for_one(self) -> None:
        assert segment_routing.route_title_segment(self.candidates()).server == "h"
        assert (
            segment_routing.route_title_segment(self.candidates(home_server=None)).source
            is segment_routing.SegmentSource.WAIT
        )


class ReconciliationTest(unittest.TestCase):
    def claim(
        self,
        known: reconciliation.KnownSession | None = None,
        is_own_incarnation: bool = False,
        is_servable: bool = True,
        has_free_seat: bool = True,
    ) -> SessionClaim:
        return reconciliation.classify_claim("x", 2, known, is_own_incarnation, is_servable, has_free_seat)

    def test_every_attempt_that_a_server_lists_has_one_meaning(self) -> None:
        established, attempting = SessionState.ESTABLISHED, SessionState.ATTEMPTING
        for expected, claim in (
            (
                SessionClaim.CURRENT,
                self.claim(reconciliation.KnownSession(established, 2, "x"), is_own_incarnation=True),
            ),
            (
                SessionClaim.IN_FLIGHT,
                self.claim(reconciliation.KnownSession(attempting, 2, "x"), is_own_incarnation=True),
            ),
            (
                SessionClaim.OVERTAKEN,
                self.claim(reconciliation.KnownSession(attempting, 3, "y"), is_own_incarnation=True),
            ),
            (SessionClaim.ENDED_HERE, self.claim(None, is_own_incarnation=True)),
            (SessionClaim.ORPHAN, self.claim()),
            (SessionClaim.ORPHAN_OLDER, self.claim(reconciliation.KnownSession(established, 3, "y"))),
            (SessionClaim.ORPHAN_NEWER, self.claim(reconciliation.KnownSession(established, 1, "y"))),
            (SessionClaim.UNFIT, self.claim(is_servable=False)),
            (SessionClaim.SURPLUS, self.claim(has_free_seat=False)),
        ):
            assert claim is expected
        assert set(reconciliation.CLAIM_ACTIONS) == set(SessionClaim)


if __name__ == "__main__":
    unittest.main()
