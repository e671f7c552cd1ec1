"""The door's decision modules: tables whole, bounds kept, and the failure that each row stands against."""

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
from fennelcove.placement import MARK_US
from hypothesis import given, settings
from hypothesis import strategies as st

SECOND = 1_000_000
RATES = (100.0, 200.0, 400.0)


class SessionsTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(list(SessionEvent)), max_size=30))
    @settings(max_examples=500, deadline=None)
    def test_whatever_happens_in_whatever_order_nobody_is_answered_twice(
        self, cues: list[SessionEvent]
    ) -> None:
        stage, answers, joins_out, played, gone = SessionState.REQUESTED, 0, 0, 0, False
        for cue in cues:
            before = stage
            stage, acts = session_lifecycle.transition(stage, cue)
            answers += len(session_lifecycle.RESPONSES.intersection(acts))
            joins_out += SessionAction.SEND_ATTEMPT in acts
            if before in (SessionState.ATTEMPTING, SessionState.ABANDONED) and stage not in (
                SessionState.ATTEMPTING,
                SessionState.ABANDONED,
            ):
                joins_out -= 1
            assert joins_out <= 1
            played += stage is SessionState.ESTABLISHED and before is not SessionState.ESTABLISHED
            gone |= before is SessionState.ATTEMPTING and cue is SessionEvent.CLIENT_DISCONNECTED
            if stage is SessionState.CLOSED and before is not SessionState.CLOSED:
                assert acts[-1] is SessionAction.DISCARD
                assert answers or gone, "ended without a word"
        assert answers <= 1
        assert played <= 1

    def test_what_plays_for_nobody_is_released(self) -> None:
        for cue in (
            SessionEvent.ATTEMPT_SERVED,
            SessionEvent.ATTEMPT_SERVED_LATE,
            SessionEvent.ATTEMPT_FAILED,
        ):
            assert (
                SessionAction.RELEASE_SERVER in session_lifecycle.transition(SessionState.ABANDONED, cue)[1]
            )
        assert (
            session_lifecycle.transition(SessionState.ATTEMPTING, SessionEvent.ATTEMPT_SERVED_LATE)[1][0]
            == SessionAction.RELEASE_SERVER
        )

    def test_the_viewer_may_shorten_its_patience_and_not_stretch_it(self) -> None:
        assert session_lifecycle.effective_timeout_us(None, 5) == 5
        assert session_lifecycle.effective_timeout_us(3, 5) == 3
        assert session_lifecycle.effective_timeout_us(9, 5) == 5
        assert session_lifecycle.processing_time_us(1000) == 900


class JoinsTest(unittest.TestCase):
    def end(self, *seen: ExchangeEvent) -> Outcome | None:
        exchange = attempt_exchange.AttemptExchange()
        for one in seen:
            exchange.apply(one)
        return exchange.outcome

    def test_what_each_event_proves(self) -> None:
        sent = (ExchangeEvent.CONNECTED, ExchangeEvent.REQUEST_WRITTEN)
        for seen, outcome in (
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
            assert self.end(*seen) is outcome

    @given(st.lists(st.sampled_from(list(ExchangeEvent)), max_size=10))
    def test_once_over_nothing_changes_it(self, seen: list[ExchangeEvent]) -> None:
        exchange = attempt_exchange.AttemptExchange()
        first: Outcome | None = None
        for one in seen:
            outcome = exchange.apply(one)
            first = first or outcome
            assert outcome is first
        assert (first is not None) == (exchange.state is ExchangeState.COMPLETED)

    def test_only_what_surely_never_ran_needs_no_release(self) -> None:
        free = {outcome for outcome in Outcome if not attempt_exchange.may_need_release(outcome)}
        assert free == {Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT}
        assert not attempt_exchange.may_reuse_connection(Effect.SINGLE_SHOT)

    @given(st.integers(-5, 10**9))
    def test_times_fit_into_each_other(self, allow_us: int) -> None:
        times = attempt_exchange.attempt_timeouts(allow_us)
        assert 0 < times.connect_us <= times.first_byte_us <= times.total_us <= max(1, allow_us)


class HearingTest(unittest.TestCase):
    def test_duress_is_a_full_link_whatever_stands_beside_it(self) -> None:
        report = load_signals.load_report(ServerHints(link_utilization=0.1, is_in_duress=True))
        assert report is not None
        assert report.link == 1.0
        assert load_signals.load_report(ServerHints()) is None

    def test_top_rung_by_hints_never_under_the_floor_nor_over_what_was_stated(self) -> None:
        assert load_signals.top_rung(RATES, 2, 0, ClientHints(top_kbit=1600)) == 1
        assert load_signals.top_rung(RATES, 2, 0, ClientHints(measured_kbit=1700)) == 0
        assert load_signals.top_rung(RATES, 2, 1, ClientHints(measured_kbit=10)) == 1
        assert load_signals.top_rung(RATES, 0, 1, ClientHints(measured_kbit=10)) == 0
        assert load_signals.top_rung(RATES, 9, 0, ClientHints()) == 2
        assert load_signals.top_rung(RATES, 2, 0, ClientHints(top_kbit=0, measured_kbit=0)) == 2

    def test_down_at_once_up_only_with_a_margin(self) -> None:
        assert load_signals.adjusted_top_rung(RATES, 2, 2, 0, ClientHints(measured_kbit=1000)) == 0
        assert load_signals.adjusted_top_rung(RATES, 2, 0, 0, ClientHints(measured_kbit=1800)) == 0
        assert load_signals.adjusted_top_rung(RATES, 2, 0, 0, ClientHints(measured_kbit=2200)) == 1
        assert load_signals.adjusted_top_rung(RATES, 2, 0, 0, ClientHints()) == 2

    def test_one_starving_viewer_blames_no_box_and_a_majority_does(self) -> None:
        ear = load_signals.DeliveryMonitor()
        ear.observe("a", 0.5, 10)
        assert ear.delivered_fraction(0) is None
        ear.observe("b", 0.7, 11)
        self.assertAlmostEqual(ear.delivered_fraction(0) or 0, 0.6)
        ear.observe("c", None, 12)
        ear.observe("d", None, 12)
        assert ear.delivered_fraction(0) is None
        assert ear.delivered_fraction(12) is None
        for i in range(1000):
            ear.observe(f"x{i}", None, 20)
        assert len(ear.observations) == load_signals.MAX_CLIENTS

    def test_starving_share_stays_between_its_bounds(self) -> None:
        assert load_signals.starving_delivered_fraction(ClientHints(measured_kbit=1), 100) is None
        for kbit in (None, 0.0, 1.0, 800.0, 1e9):
            share = load_signals.starving_delivered_fraction(
                ClientHints(measured_kbit=kbit, is_starved=True), 100
            )
            assert share is not None
            assert 0.1 <= share < 0.98


def entry(
    address: str, standing: ServerState = ServerState.ACTIVE, started_us: int = 0, cell: int = 0
) -> ListEntry:
    return ListEntry(address, "here", "kind", cell, standing, 1.0, started_us)


class ListingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keeper = endpoint_list.EndpointListTracker()
        assert self.rule(5, None, entry("a"), entry("b")).decision is endpoint_list.ListDecision.TAKEN

    def rule(self, version: int, base: int | None, *entries: ListEntry) -> endpoint_list.ListVerdict:
        return self.keeper.apply(endpoint_list.EndpointListUpdate(version, base, entries))

    def test_order(self) -> None:
        assert self.rule(5, None, entry("a")).decision is endpoint_list.ListDecision.OLD
        assert self.rule(7, 6, entry("a")).decision is endpoint_list.ListDecision.GAP
        taken = self.rule(6, 5, entry("a", ServerState.LEAVING))
        assert taken.update is not None
        assert taken.update.mode is ListMode.INCREMENTAL

    def test_a_list_that_names_a_box_twice_counts_the_careful_one(self) -> None:
        taken = self.rule(
            6, None, entry("a", ServerState.ACTIVE, 9), entry("a", ServerState.LEAVING), entry("b")
        )
        assert taken.update is not None
        found = {item.address: item for item in taken.update.entries}
        assert (len(found), found["a"].state, found["a"].started_us) == (2, ServerState.LEAVING, 9)

    def test_a_list_that_names_none_or_a_box_in_two_places_changes_nothing(self) -> None:
        for news in ((), (entry("a", ServerState.LEFT),), (entry("a"), entry("a", cell=2))):
            verdict = self.rule(9, None, *news)
            assert verdict.decision is endpoint_list.ListDecision.REFUSED
            assert verdict.reason
        assert self.rule(6, 5, entry("a", cell=3)).decision is endpoint_list.ListDecision.REFUSED
        assert self.keeper.version == 5

    def test_pauses_grow_and_stay_bounded(self) -> None:
        pauses = [endpoint_list.backoff_us(failures, 0.0) for failures in range(200)]
        assert pauses == sorted(pauses)
        assert endpoint_list.backoff_us(500, 1.0) <= endpoint_list.MAX_BACKOFF_US


class AdmissionTest(unittest.TestCase):
    def gate(self) -> admission.AdmissionController:
        return admission.AdmissionController(
            admission.AdmissionLimits(connections=4, pending_requests=2, sessions=3, buffered_bytes=100)
        )

    def test_each_bound_refuses_at_once_and_opens_again(self) -> None:
        gate = self.gate()
        for kind, most in (
            (admission.AdmissionRequest.CONNECTION, 4),
            (admission.AdmissionRequest.REQUEST, 2),
            (admission.AdmissionRequest.SUBSCRIPTION, 3),
        ):
            rulings = [gate.admit(kind) for _ in range(most + 1)]
            assert rulings == [admission.AdmissionDecision.LET_IN] * most + [admission.AdmissionDecision.FULL]
        gate.on_connection_closed()
        assert gate.admit(admission.AdmissionRequest.CONNECTION) is admission.AdmissionDecision.LET_IN
        gate.apply(admission.AdmissionEvent.STOP)
        assert gate.admit(admission.AdmissionRequest.REQUEST) is admission.AdmissionDecision.CLOSING

    def test_bytes_are_bounded_over_all_connections(self) -> None:
        gate = self.gate()
        assert gate.reserve_buffer(100)
        assert not gate.reserve_buffer(1)
        assert gate.admit(admission.AdmissionRequest.CONNECTION) is admission.AdmissionDecision.FULL
        assert gate.reserve_buffer(-100)
        assert gate.admit(admission.AdmissionRequest.CONNECTION) is admission.AdmissionDecision.LET_IN

    def test_patience_falls_as_connections_run_out(self) -> None:
        gate = self.gate()
        seen = []
        for _ in range(4):
            gate.admit(admission.AdmissionRequest.CONNECTION)
            seen.append(gate.connection_timeout_us(1000))
        assert seen == [1000, 1000, 550, 100]

    def test_times_to_come_back_spread_and_keep_to_the_clients_limit(self) -> None:
        gate = self.gate()
        assert gate.retry_after_us(0.0, None) == SECOND
        assert gate.retry_after_us(0.5, 1200000) == 1200000
        assert [admission.retry_after_s(us) for us in (0, 1, SECOND, SECOND + 1)] == [1, 1, 1, 2]


class FeedsTest(unittest.TestCase):
    def test_refused_again_and_again_proves_a_loss_and_one_cut_does_not(self) -> None:
        feed = event_stream.StreamLifecycle()
        assert feed.apply(event_stream.StreamEvent.SESSIONS_HELD, 0) == (
            event_stream.StreamAction.OPEN_STREAM,
        )
        feed.on_hello("one", 1)
        assert feed.apply(event_stream.StreamEvent.DISCONNECTED, 2) == (
            event_stream.StreamAction.SCHEDULE_RETRY,
        )
        acts: tuple[event_stream.StreamAction, ...] = ()
        for _ in range(event_stream.REFUSALS_PROVING_LOSS):
            assert event_stream.StreamAction.FAIL_ALL_SESSIONS not in acts
            assert feed.apply(event_stream.StreamEvent.RETRY_DUE, 3) == (
                event_stream.StreamAction.OPEN_STREAM,
            )
            acts = feed.apply(event_stream.StreamEvent.REFUSED, 4)
        assert event_stream.StreamAction.FAIL_ALL_SESSIONS in acts

    def test_silence_as_long_as_a_mark_proves_a_loss(self) -> None:
        feed = event_stream.StreamLifecycle()
        feed.apply(event_stream.StreamEvent.SESSIONS_HELD, 0)
        assert event_stream.StreamAction.FAIL_ALL_SESSIONS not in feed.apply(
            event_stream.StreamEvent.DISCONNECTED, MARK_US - 1
        )
        feed.apply(event_stream.StreamEvent.RETRY_DUE, MARK_US)
        assert event_stream.StreamAction.FAIL_ALL_SESSIONS in feed.apply(
            event_stream.StreamEvent.DISCONNECTED, MARK_US
        )

    def test_another_life_of_the_box_loses_what_it_does_not_name(self) -> None:
        feed = event_stream.StreamLifecycle()
        feed.apply(event_stream.StreamEvent.SESSIONS_HELD, 0)
        assert feed.on_hello("one", 1) == (event_stream.StreamAction.FAIL_UNLISTED_SESSIONS,)
        feed.apply(event_stream.StreamEvent.DISCONNECTED, 2)
        feed.apply(event_stream.StreamEvent.RETRY_DUE, 3)
        assert feed.on_hello("two", 4) == (event_stream.StreamAction.FAIL_UNLISTED_SESSIONS,)
        assert feed.apply(event_stream.StreamEvent.NO_SESSIONS_HELD, 5) == (
            event_stream.StreamAction.SCHEDULE_CLOSE,
        )
        assert feed.apply(event_stream.StreamEvent.SESSIONS_HELD, 6) == ()
        assert feed.apply(event_stream.StreamEvent.EXPIRED, 7) == ()
        feed.apply(event_stream.StreamEvent.NO_SESSIONS_HELD, 8)
        assert feed.apply(event_stream.StreamEvent.EXPIRED, 9) == (
            event_stream.StreamAction.CLOSE_STREAM,
            event_stream.StreamAction.DISCARD,
        )
        assert feed.apply(event_stream.StreamEvent.RETRY_DUE, 10) == ()

    def test_pauses_are_bounded(self) -> None:
        feed = event_stream.StreamLifecycle(failures=500)
        assert feed.backoff_us(1.0) <= event_stream.MAX_BACKOFF_US


class PresenceTest(unittest.TestCase):
    def test_only_the_silent_are_named_and_once(self) -> None:
        watch = session_expiry.SessionExpiry(300)
        for id in "abc":
            watch.add(id, 0)
        watch.on_activity("a", 200)
        watch.remove("b")
        assert watch.pop_expired(299) == []
        assert watch.pop_expired(300) == ["c"]
        assert watch.pop_expired(499) == []
        assert watch.pop_expired(500) == ["a"]
        assert (watch.pop_expired(10**9), watch.entries, watch.deadlines) == ([], {}, [])
        assert watch.poll_interval_us() == 100


def order(box: str, id: str, rung: int | None, join: int = 0) -> command_queue.Command:
    return command_queue.Command(box, id, join, rung)


class OrdersTest(unittest.TestCase):
    def test_the_later_rung_counts_and_a_release_beats_both(self) -> None:
        orders = command_queue.CommandQueue(10)
        for rung in (1, 2, None, 3):
            orders.add(order("x", "a", rung))
        taken = orders.pop_ready(0)
        assert taken is not None
        assert taken.rung is None
        assert orders.pop_ready(0) is None

    def test_a_box_that_hangs_holds_one_sender_and_boxes_take_turns(self) -> None:
        orders = command_queue.CommandQueue(10)
        for box in "xxxy":
            orders.add(order(box, f"{box}{orders.count}", 1))
        first, second = orders.pop_ready(0), orders.pop_ready(0)
        assert first is not None and second is not None
        assert (first.server, second.server, orders.pop_ready(0)) == ("x", "y", None)
        orders.complete(first, False, 0)
        assert orders.pop_ready(0) is None
        assert orders.wait_us(0) == command_queue.INITIAL_BACKOFF_US
        assert orders.pop_ready(command_queue.INITIAL_BACKOFF_US) is first

    def test_tries_end_and_nothing_is_left_behind(self) -> None:
        orders, now_us = command_queue.CommandQueue(10), 0
        orders.add(order("x", "a", None))
        for _ in range(command_queue.MAX_TRIES):
            now_us += command_queue.MAX_BACKOFF_US
            taken = orders.pop_ready(now_us)
            assert taken is not None
            orders.complete(taken, False, now_us)
        assert (orders.count, orders.dropped_count, len(orders.by_server)) == (0, 1, 0)

    def test_past_the_bound_rungs_go_before_releases(self) -> None:
        orders = command_queue.CommandQueue(2)
        orders.add(order("x", "a", None))
        orders.add(order("x", "b", 1))
        orders.add(order("x", "c", None))
        left = {taken.session_id for taken in self.drain(orders)}
        assert (left, orders.dropped_count) == ({"a", "c"}, 1)

    def drain(self, orders: command_queue.CommandQueue) -> list[command_queue.Command]:
        found = []
        while (taken := orders.pop_ready(0)) is not None:
            found.append(taken)
            orders.complete(taken, True, 0)
        assert (orders.count, len(orders.by_server)) == (0, 0)
        return found

    @given(st.lists(st.tuples(st.sampled_from("xyz"), st.sampled_from("abc"), st.integers(-1, 3))))
    def test_the_count_is_what_is_held(self, added: list[tuple[str, str, int]]) -> None:
        orders = command_queue.CommandQueue(4)
        for box, id, rung in added:
            orders.add(order(box, id, None if rung < 0 else rung))
            assert orders.count == sum(len(line.commands) for line in orders.by_server.values())
            assert orders.count <= 4
        self.drain(orders)


class StoppingTest(unittest.TestCase):
    def test_each_way_through_ends_by_the_stated_time(self) -> None:
        stop = graceful_shutdown.GracefulShutdown(1000)
        assert stop.apply(graceful_shutdown.ShutdownEvent.REQUESTED, 50) == (
            graceful_shutdown.ShutdownAction.STOP_ACCEPTING,
        )
        assert stop.remaining_us(50) == 750
        assert stop.apply(graceful_shutdown.ShutdownEvent.DEADLINE_REACHED, 800) == (
            graceful_shutdown.ShutdownAction.CANCEL_ATTEMPTS,
        )
        assert stop.remaining_us(800) == 250
        assert stop.apply(graceful_shutdown.ShutdownEvent.DEADLINE_REACHED, 1050) == (
            graceful_shutdown.ShutdownAction.CLOSE_CONNECTIONS,
        )
        assert stop.apply(graceful_shutdown.ShutdownEvent.REQUESTED, 1051) == ()

    def test_idle_ends_it_at_once(self) -> None:
        stop = graceful_shutdown.GracefulShutdown(1000)
        stop.apply(graceful_shutdown.ShutdownEvent.REQUESTED, 0)
        assert stop.apply(graceful_shutdown.ShutdownEvent.IDLE, 1) == (
            graceful_shutdown.ShutdownAction.CLOSE_CONNECTIONS,
        )
        assert stop.state is graceful_shutdown.ShutdownState.STOPPED


class MoveTest(unittest.TestCase):
    def test_a_move_has_one_join_out_and_one_end_whatever_happens(self) -> None:
        held = migration.SessionMigration("a", 1.0)
        assert held.apply(migration.MigrationEvent.SERVER_DRAINING) == (migration.MigrationAction.ENQUEUE,)
        assert held.apply(migration.MigrationEvent.SERVER_DRAINING) == ()
        assert held.apply(migration.MigrationEvent.TURN_GRANTED) == (migration.MigrationAction.SELECT_SERVER,)
        assert held.apply(migration.MigrationEvent.TURN_GRANTED) == ()
        assert held.apply(migration.MigrationEvent.SERVER_LOST) == (
            migration.MigrationAction.REPORT_SERVER_LOST,
        )
        assert held.apply(migration.MigrationEvent.ESTABLISHED) == (migration.MigrationAction.SWITCH_SERVER,)
        assert not held.is_server_lost

    def test_without_a_place_what_plays_stays_and_what_is_lost_ends(self) -> None:
        staying, adrift = migration.SessionMigration("a", 1.0), migration.SessionMigration("b", 1.0)
        for cue in (migration.MigrationEvent.SERVER_DRAINING, migration.MigrationEvent.TURN_GRANTED):
            staying.apply(cue)
        assert staying.apply(migration.MigrationEvent.NO_SERVER_FOUND) == (
            migration.MigrationAction.RETRY_LATER,
        )
        assert staying.apply(migration.MigrationEvent.GRACE_EXPIRED) == (
            migration.MigrationAction.KEEP_SERVER,
        )
        assert adrift.apply(migration.MigrationEvent.SERVER_LOST) == (
            migration.MigrationAction.SELECT_SERVER,
            migration.MigrationAction.REPORT_SERVER_LOST,
        )
        assert adrift.apply(migration.MigrationEvent.NO_SERVER_FOUND) == (
            migration.MigrationAction.END_SESSION,
        )
        assert adrift.apply(migration.MigrationEvent.ESTABLISHED) == ()
        assert not migration.may_reestablish(Effect.SINGLE_SHOT)
        # Adopted after a restart it was set up again past its key's time (day release-hall, seed 3).
        assert not migration.may_reestablish(Effect.GUARDED, is_adopted=True)
        assert migration.may_reestablish(Effect.GUARDED)
        assert migration.may_reestablish(Effect.FREE, is_adopted=True)

    def test_what_stays_ends_when_its_box_has_left_the_list(self) -> None:
        # Its player would ask for ever for segments that nobody may name to it.
        held = migration.SessionMigration("a", 1.0)
        for cue in (
            migration.MigrationEvent.SERVER_DRAINING,
            migration.MigrationEvent.TURN_GRANTED,
            migration.MigrationEvent.NO_SERVER_FOUND,
            migration.MigrationEvent.GRACE_EXPIRED,
        ):
            held.apply(cue)
        assert held.apply(migration.MigrationEvent.SERVER_DELISTED) == (migration.MigrationAction.ENQUEUE,)
        assert held.apply(migration.MigrationEvent.GRACE_EXPIRED) == (migration.MigrationAction.END_SESSION,)

    def test_turns_go_by_time_then_benefit_and_so_many_at_once(self) -> None:
        turns = migration.MigrationQueue(2, 1000)
        moves = [
            migration.SessionMigration(name, benefit)
            for name, benefit in (("low", 1.0), ("high", 3.0), ("mid", 2.0))
        ]
        for one in moves:
            one.apply(migration.MigrationEvent.SERVER_DRAINING)
            turns.add(one, 0)
        turn, over = turns.take_ready(0)
        assert ([one.session_id for one in turn], over) == (["high", "mid"], [])
        assert turns.take_ready(1) == ([], [])
        turns.on_turn_finished()
        assert [one.session_id for one in turns.take_ready(1)[0]] == ["low"]

    def test_past_nine_tenths_of_the_grace_no_turn_is_given(self) -> None:
        turns, held = migration.MigrationQueue(1, 1000), migration.SessionMigration("a", 1.0)
        held.apply(migration.MigrationEvent.SERVER_DRAINING)
        turns.add(held, 0)
        assert turns.take_ready(900) == ([], [held])

    def test_a_move_put_back_waits_its_pause(self) -> None:
        turns, held = (
            migration.MigrationQueue(1, 10 * migration.RETRY_DELAY_US),
            migration.SessionMigration("a", 1.0),
        )
        held.apply(migration.MigrationEvent.SERVER_DRAINING)
        turns.add(held, 0)
        turns.take_ready(0)
        held.apply(migration.MigrationEvent.TURN_GRANTED)
        held.apply(migration.MigrationEvent.NO_SERVER_FOUND)
        turns.on_turn_finished()
        turns.retry_later(held, 0)
        assert turns.take_ready(migration.RETRY_DELAY_US - 1) == ([], [])
        assert turns.take_ready(migration.RETRY_DELAY_US) == ([held], [])


class SourceTest(unittest.TestCase):
    def offer(self, **changes: Any) -> segment_routing.SegmentCandidates:
        base = {
            "home_server": "h",
            "home_has_media": True,
            "replicas": ("o", "p"),
            "lower_rung_replicas": ("l",),
            "slate_server": "s",
        }
        return segment_routing.SegmentCandidates(**{**base, **changes})

    def test_sources_in_their_order(self) -> None:
        source = segment_routing.SegmentSource
        for offer, tried, pick in (
            (self.offer(), (), (source.HOME, "h")),
            (self.offer(), ("h",), (source.OTHER, "o")),
            (self.offer(), ("h", "o"), (source.OTHER, "p")),
            (self.offer(home_has_media=False), (), (source.OTHER, "o")),
            (self.offer(home_server=None), (), (source.OTHER, "o")),
            (self.offer(replicas=()), ("h",), (source.LOWER, "l")),
            (self.offer(replicas=(), lower_rung_replicas=()), ("h",), (source.SLATE, "s")),
            (self.offer(replicas=(), lower_rung_replicas=(), slate_server=None), ("h",), (source.NONE, "")),
            (
                self.offer(home_server=None, replicas=(), lower_rung_replicas=(), slate_server=None),
                (),
                (source.WAIT, ""),
            ),
        ):
            found = segment_routing.route_clip_segment(offer, tried)
            assert (found.source, found.server) == pick

    def test_the_lesson_comes_from_its_place_or_waits_for_one(self) -> None:
        assert segment_routing.route_title_segment(self.offer()).server == "h"
        assert (
            segment_routing.route_title_segment(self.offer(home_server=None)).source
            is segment_routing.SegmentSource.WAIT
        )


class AdoptionTest(unittest.TestCase):
    def claim(
        self,
        known: reconciliation.KnownSession | None = None,
        mine: bool = False,
        fits: bool = True,
        seat: bool = True,
    ) -> SessionClaim:
        return reconciliation.classify_claim("x", 2, known, mine, fits, seat)

    def test_every_join_that_a_box_names_has_one_meaning(self) -> None:
        playing, joining = SessionState.ESTABLISHED, SessionState.ATTEMPTING
        for claim, found in (
            (SessionClaim.CURRENT, self.claim(reconciliation.KnownSession(playing, 2, "x"), mine=True)),
            (SessionClaim.IN_FLIGHT, self.claim(reconciliation.KnownSession(joining, 2, "x"), mine=True)),
            (SessionClaim.OVERTAKEN, self.claim(reconciliation.KnownSession(joining, 3, "y"), mine=True)),
            (SessionClaim.ENDED_HERE, self.claim(None, mine=True)),
            (SessionClaim.ORPHAN, self.claim()),
            (SessionClaim.ORPHAN_OLDER, self.claim(reconciliation.KnownSession(playing, 3, "y"))),
            (SessionClaim.ORPHAN_NEWER, self.claim(reconciliation.KnownSession(playing, 1, "y"))),
            (SessionClaim.UNFIT, self.claim(fits=False)),
            (SessionClaim.SURPLUS, self.claim(seat=False)),
        ):
            assert found is claim
        assert set(reconciliation.CLAIM_ACTIONS) == set(SessionClaim)


if __name__ == "__main__":
    unittest.main()
