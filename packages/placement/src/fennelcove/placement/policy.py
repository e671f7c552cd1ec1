"""Policy of one session front: a host calls `handle` for each event in order, and carries out the effects."""

from collections.abc import Callable
from typing import Any

from fennelcove.interface import (
    AttemptCompleted,
    BudgetSnapshot,
    ClientGone,
    Effect,
    Event,
    Handover,
    ListUpdate,
    MigrationRequested,
    Outcome,
    PeerMessage,
    ProbeCompleted,
    Request,
    ServerSnapshot,
    SessionReport,
    SessionStarted,
    TimerFired,
    TimerName,
    TopRungChanged,
)
from fennelcove.placement import attempts, health, load_reports, server_list, server_selection, slow_start
from fennelcove.placement.bitrate_adaptation import raise_rungs, set_rungs
from fennelcove.placement.load_polling import schedule_probe
from fennelcove.placement.quotas import quota_share
from fennelcove.placement.records import Session, SessionEvent, SessionState
from fennelcove.placement.session_transitions import apply_event
from fennelcove.placement.state import PolicyState, observe_load

SESSION_EVENTS = (SessionStarted, AttemptCompleted, SessionReport, TopRungChanged, ClientGone)
NEVER_STARTED = (Outcome.REJECTED, Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class PlacementPolicy(PolicyState):
    """Places sessions and adapts their rungs.

    Hosts pass events to `handle`, and may use the functions assigned below as methods.
    """

    update_residuals = server_selection.update_residuals
    utilization_factors = staticmethod(server_selection.utilization_factors)
    draw_server = server_selection.draw_server
    is_healthy = health.is_healthy
    is_warming_up, elapsed_turns = slow_start.is_warming_up, slow_start.elapsed_turns
    open_attempt, close_attempt = attempts.open_attempt, attempts.close_attempt
    may_reject = attempts.may_reject
    on_poll_timeout = load_reports.on_poll_timeout

    def handle(self, event: Event, now_us: int) -> None:
        """Handle an event; those of sessions that have ended are ignored."""
        self.now_us = now_us
        if not isinstance(event, SESSION_EVENTS):
            EVENT_HANDLERS[type(event)](self, event)
        elif session := self.sessions.get(event.id):
            SESSION_EVENT_HANDLERS[type(event)](self, session, event)

    def on_request(self, event: Request) -> None:
        """Add a requested session, and place it."""
        if self.settings.retry_base is not None:
            self.request_times.append(self.now_us)
        session = self.add_session(event)
        session.quota_share = quota_share(self, event)
        utility = session.service_class.priority_weight * self.settings.rung_utilities[session.top_rung]
        self.mean_offered_utility += (utility - self.mean_offered_utility) / 16
        apply_event(self, session, SessionEvent.TRY)

    def add_session(self, event: Request) -> Session:
        """Add a session, at the lowest rung of its class."""
        service_class = self.settings.service_classes[event.service_class]
        cell_count = self.settings.cell_count
        cells = tuple((event.first_cell + i) % cell_count for i in range(min(event.cell_count, cell_count)))
        session = self.sessions[event.id] = Session(
            event.id,
            service_class,
            event.title,
            cells,
            event.top_rung,
            self.now_us,
            self.now_us + event.timeout_us,
            event.expected_play_us,
        )
        session.rung = min(service_class.min_rung, event.top_rung)
        return session

    def on_handover(self, event: Handover) -> None:
        """Add a session that plays already, on its server."""
        session = self.add_session(event.request)
        session.state, session.has_report, session.started_us = SessionState.PLAYING, True, self.now_us
        attempts.open_attempt(self, session, self.servers[event.server])
        schedule_probe(self, session.server)

    def on_migration_requested(self, event: MigrationRequested) -> None:
        """Place a session under a new id; attempts that may have run are copied, so that rules count them."""
        old = self.sessions[event.id]
        counted = old.attempts[-1:] if old.service_class.effect is Effect.FREE else old.attempts
        previous_attempts = [attempt for attempt in counted if attempt.may_have_run]
        session = self.sessions[event.new_id] = Session(
            event.new_id,
            old.service_class,
            old.title,
            old.cells,
            old.top_rung,
            self.now_us,
            self.now_us + event.timeout_us,
            old.expected_play_us,
            rung=old.rung,
            attempts=previous_attempts,
        )
        apply_event(self, session, SessionEvent.TRY)

    def on_budget_snapshot(self, event: BudgetSnapshot) -> None:
        """Restore the requests and retries that were counted before a restart."""
        self.request_times.extendleft(self.now_us - age_us for age_us in reversed(event.request_ages_us))
        self.retry_times.extendleft(self.now_us - age_us for age_us in reversed(event.retry_ages_us))

    def on_session_started(self, session: Session, event: SessionStarted) -> None:
        """Record the outcomes of a session's attempts, now that one has succeeded."""
        health.record_outcome(self, session.server, Outcome.SERVED)
        # An error counts against its server only if another one serves the request: else the request is the
        # likely cause.
        for attempt in [attempt for attempt in session.attempts if attempt.has_server_error]:
            attempt.has_server_error = False
            health.record_outcome(self, attempt.server, Outcome.SERVER_ERROR)
        session.started_us = self.now_us
        apply_event(self, session, SessionEvent.STARTED)
        schedule_probe(self, session.server)

    def on_top_rung_changed(self, session: Session, event: TopRungChanged) -> None:
        """Lower a playing session to its new highest rung at once."""
        session.top_rung = max(event.top_rung, session.service_class.min_rung)  # a raise waits for capacity
        if session.state is SessionState.PLAYING and session.rung > session.top_rung:
            set_rungs(self, {session: session.top_rung})

    def on_attempt_completed(self, session: Session, event: AttemptCompleted) -> None:
        """Release an attempt that has ended, record its outcome, and advance its session."""
        if event.attempt >= len(session.attempts):
            return
        attempt, is_playing = session.attempts[event.attempt], session.state is SessionState.PLAYING
        attempt.may_have_run = event.outcome not in NEVER_STARTED
        attempt.has_server_error = event.outcome is Outcome.SERVER_ERROR
        is_unsent_retry = event.outcome is Outcome.NOT_SENT and len(session.attempts) > 1
        if is_unsent_retry and attempt.sent_us in self.retry_times:
            self.retry_times.remove(attempt.sent_us)
        attempts.close_attempt(self, session, attempt)
        if not attempt.has_server_error and (not is_playing or event.outcome is Outcome.CONNECTION_LOST):
            health.record_outcome(self, attempt.server, event.outcome)
        if is_playing:
            self.typical_play_us += (self.now_us - session.started_us - self.typical_play_us) / 8
            for server in list(attempt.server.rack.loaded_servers):
                if server.is_in_rack and server.sessions:
                    raise_rungs(self, server, 0)  # the capacity is free now; reports may be late or missing
        elif event.report:
            observe_load(attempt.server, event.report, attempt.sent_us - self.settings.report_delay_us)
        apply_event(self, session, SessionEvent.FINISHED if event.is_finished else SessionEvent.FAILED)


TIMER_HANDLERS: dict[int, Callable[[PlacementPolicy], None]] = {
    TimerName.POLL_LIST: server_list.poll_endpoint_list,
    TimerName.PROBE: load_reports.on_probe_timer,
    TimerName.POLL_DEADLINE: load_reports.on_poll_timeout,
}
EVENT_HANDLERS: dict[type, Callable[[PlacementPolicy, Any], None]] = {
    Request: PlacementPolicy.on_request,
    Handover: PlacementPolicy.on_handover,
    MigrationRequested: PlacementPolicy.on_migration_requested,
    BudgetSnapshot: PlacementPolicy.on_budget_snapshot,
    ServerSnapshot: server_list.on_server_snapshot,
    ListUpdate: server_list.on_list,
    ProbeCompleted: load_reports.on_probe_completed,
    PeerMessage: load_reports.on_peer_message,
    TimerFired: lambda policy, event: TIMER_HANDLERS[event.name](policy),
}
SESSION_EVENT_HANDLERS: dict[type, Callable[[PlacementPolicy, Session, Any], None]] = {
    SessionStarted: PlacementPolicy.on_session_started,
    SessionReport: load_reports.on_session_report,
    AttemptCompleted: PlacementPolicy.on_attempt_completed,
    TopRungChanged: PlacementPolicy.on_top_rung_changed,
    ClientGone: lambda policy, session, _: apply_event(policy, session, SessionEvent.CLIENT_GONE),
}
