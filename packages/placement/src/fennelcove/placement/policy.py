"""One session front: a host calls handle(event, now_us) in order, and the front answers by its Effects."""

from collections.abc import Callable
from typing import Any

from fennelcove.interface import (ClientGone, Effect, Event, Handover, AttemptCompleted, ListUpdate,
                                  MigrationRequested, SessionReport,
                                  Outcome, PeerMessage, ProbeCompleted, ServerSnapshot, Request,
                                  BudgetSnapshot, SessionStarted, TimerFired,
                                  TimerName, TopRungChanged)
from fennelcove.placement import (attempts, bitrate_adaptation, health, observations, quotas,
                                  server_selection, session_transitions, slow_start, utilization)
from fennelcove.placement.records import Session, SessionEvent, SessionState
from fennelcove.placement.state import PolicyState, observe_load

SESSION_EVENTS = (SessionStarted, AttemptCompleted, SessionReport, TopRungChanged,
          ClientGone)  # subscription; passed over once it has ended
NEVER_STARTED = (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class PlacementPolicy(PolicyState):
    # What hosts and watchers ask beside the events, each answered where it is decided.
    weigh, factors, draw = utilization.update_residuals, staticmethod(
        utilization.factors), server_selection.draw_server
    lower_rungs, raise_rungs, set_rungs, apply_event = bitrate_adaptation.lower_rungs, bitrate_adaptation.raise_rungs, bitrate_adaptation.set_rungs, session_transitions.apply_event
    is_cold, has_slow_start_turn, turns, quota_share = slow_start.is_warming_up, slow_start.has_slow_start_turn, slow_start.turns, quotas.quota_share
    is_well, record_outcome, open_attempt, close_attempt = health.is_well, health.record_outcome, attempts.open_attempt, attempts.close_attempt
    within_retry_budget, may_reject, held_due = attempts.within_retry_budget, attempts.may_reject, observations.on_poll_timeout

    def handle(self, event: Event, now_us: int) -> None:
        self.now_us = now_us
        if not isinstance(event, SESSION_EVENTS):
            EVENT_HANDLERS[type(event)](self, event)
        elif session := self.sessions.get(event.id):
            SESSION_EVENT_HANDLERS[type(event)](self, session, event)

    def on_request(self, event: Request) -> None:
        if self.settings.budget_free is not None:
            self.taken.append(self.now_us)
        session = self.open_session(event)
        session.share = self.quota_share(event)
        self.mean_offered_utility += (session.service_class.priority_weight
                         * self.settings.ladder_worth[session.top] - self.mean_offered_utility) / 16
        self.apply_event(session, SessionEvent.TRY)

    def open_session(self, event: Request) -> Session:
        service_class, most = self.settings.service_classes[event.service_class], self.settings.cells
        cells = tuple((event.first_cell + i) % most for i in range(min(event.cell_count, most)))
        session = self.sessions[event.id] = Session(
            event.id, service_class, event.title, cells, event.top_rung, self.now_us,
                                                    self.now_us + event.timeout_us,
            event.watch_guess_us, rung=min(service_class.floor, event.top_rung))
        return session

    def on_handover(self, event: Handover) -> None:
        session = self.open_session(event.request)
        session.life, session.noted, session.started_us = SessionState.PLAYING, True, self.now_us
        self.open_attempt(session, self.servers[event.server])
        observations.plan_probe(self, session.server)

    def on_migration_requested(self, event: MigrationRequested) -> None:
        """A second home before the first ends; earlier joins go along, so that each guard counts them."""
        old = self.sessions[event.id]
        past = [attempt for attempt in old.attempts if attempt.may_have_run and (
            attempt is old.attempts[-1] or old.service_class.effect is not Effect.FREE)]
        session = self.sessions[event.new_id] = Session(
            event.new_id, old.service_class, old.title, old.cells, old.top, self.now_us,
            self.now_us + event.timeout_us, old.watch_guess_us, rung=old.rung, attempts=past)
        self.apply_event(session, SessionEvent.TRY)

    def on_budget_snapshot(self, event: BudgetSnapshot) -> None:
        # A budget that began anew with each life would be a budget no longer.
        self.taken.extendleft(self.now_us - ago for ago in reversed(event.request_ages_us))
        self.further.extendleft(self.now_us - ago for ago in reversed(event.retry_ages_us))

    def on_session_started(self, session: Session, event: SessionStarted) -> None:
        self.record_outcome(session.server, Outcome.SERVED)
        # What every server answers with an error speaks of the request: such viewers shut all servers.
        for attempt in [attempt for attempt in session.attempts if attempt.has_server_error]:
            attempt.has_server_error = False
            self.record_outcome(attempt.server, Outcome.SERVER_ERROR)
        session.started_us = self.now_us
        self.apply_event(session, SessionEvent.STARTED)
        observations.plan_probe(self, session.server)

    def on_top_rung_changed(self, session: Session, event: TopRungChanged) -> None:
        """What a viewer can't use leaves its link at once; raising it waits for room, as elsewhere."""
        session.top = max(event.top_rung, session.service_class.floor)
        if session.life is SessionState.PLAYING and session.rung > session.top:
            self.set_rungs({session: session.top})

    def on_attempt_completed(self, session: Session, event: AttemptCompleted) -> None:
        if event.attempt >= len(session.attempts):
            return
        attempt, playing = session.attempts[event.attempt], session.life is SessionState.PLAYING
        attempt.may_have_run, attempt.has_server_error = event.outcome not in NEVER_STARTED, event.outcome is Outcome.SERVER_ERROR
        if event.outcome is Outcome.NOT_SENT and len(
            session.attempts) > 1 and attempt.sent_us in self.further:
            self.further.remove(attempt.sent_us)
        self.close_attempt(session, attempt)
        if not attempt.has_server_error and (not playing or event.outcome is Outcome.CONNECTION_LOST):
            self.record_outcome(attempt.server, event.outcome)
        if playing:
            self.typical_watch_us += (self.now_us - session.started_us - self.typical_watch_us) / 8
            for server in attempt.server.rack.servers:
                self.raise_rungs(server, 0)  # what has ended makes room at once; notes may be late or stay out
        elif event.report:
            # Most servers hold none of one front of many: such answers, as old as notes, are all it hears.
            observe_load(attempt.server, event.report, attempt.sent_us - self.settings.seen_after_us)
        self.apply_event(session, SessionEvent.FINISHED if event.is_finished else SessionEvent.FAILED)


TIMER_HANDLERS: dict[int, Callable[[PlacementPolicy], None]] = {
    TimerName.POLL_LIST: observations.poll_endpoint_list, TimerName.PROBE: observations.on_probe_timer,
    TimerName.HELD: PlacementPolicy.held_due}

EVENT_HANDLERS: dict[type, Callable[[PlacementPolicy, Any], None]] = {
    Request: PlacementPolicy.on_request, Handover: PlacementPolicy.on_handover,
    MigrationRequested: PlacementPolicy.on_migration_requested, BudgetSnapshot: PlacementPolicy.on_budget_snapshot,
    ListUpdate: observations.on_list, ServerSnapshot: observations.on_server_snapshot,
    ProbeCompleted: observations.on_probe_completed,
    PeerMessage: observations.on_peer_message, TimerFired: lambda front, event: TIMER_HANDLERS[event.name](front)}

SESSION_EVENT_HANDLERS: dict[type, Callable[[PlacementPolicy, Session, Any], None]] = {
    SessionStarted: PlacementPolicy.on_session_started, AttemptCompleted: PlacementPolicy.on_attempt_completed,
    SessionReport: observations.on_session_report,
    TopRungChanged: PlacementPolicy.on_top_rung_changed, ClientGone: lambda front, session,
    _: front.apply_event(session, SessionEvent.CLIENT_GONE)}
