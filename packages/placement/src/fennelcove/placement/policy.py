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

OF_ONE = (SessionStarted, AttemptCompleted, SessionReport, TopRungChanged,
          ClientGone)  # subscription; passed over once it has ended
NEVER_RAN = (Outcome.TURNED_AWAY, Outcome.NO_CONNECTION, Outcome.NOT_SENT)


class PlacementPolicy(PolicyState):
    # What hosts and watchers ask beside the events, each answered where it is decided.
    weigh, factors, draw = utilization.update_residuals, staticmethod(
        utilization.factors), server_selection.draw_server
    lower, lift, carry_out, step = bitrate_adaptation.lower, bitrate_adaptation.lift, bitrate_adaptation.carry_out, session_transitions.apply_event
    is_cold, cold_turn, turns, inside = slow_start.is_warming_up, slow_start.slow_start_turn, slow_start.turns, quotas.inside
    is_well, judge, open_attempt, close_attempt = health.is_well, health.judge, attempts.open_attempt, attempts.close_attempt
    in_budget, may_reject, held_due = attempts.within_retry_budget, attempts.may_reject, observations.on_poll_timeout

    def handle(self, event: Event, now_us: int) -> None:
        self.now_us = now_us
        if not isinstance(event, OF_ONE):
            EVENT_HANDLERS[type(event)](self, event)
        elif session := self.sessions.get(event.id):
            SESSION_EVENT_HANDLERS[type(event)](self, session, event)

    def on_request(self, event: Request) -> None:
        if self.settings.budget_free is not None:
            self.taken.append(self.now_us)
        session = self.take(event)
        session.share = self.inside(event)
        self.offered += (session.service_class.priority_weight
                         * self.settings.ladder_worth[session.top] - self.offered) / 16
        self.step(session, SessionEvent.TRY)

    def take(self, event: Request) -> Session:
        service_class, most = self.settings.service_classes[event.service_class], self.settings.cells
        cells = tuple((event.first_cell + i) % most for i in range(min(event.cell_count, most)))
        session = self.sessions[event.id] = Session(
            event.id, service_class, event.title, cells, event.top_rung, self.now_us,
                                                    self.now_us + event.timeout_us,
            event.watch_guess_us, rung=min(service_class.floor, event.top_rung))
        return session

    def on_handover(self, event: Handover) -> None:
        session = self.take(event.request)
        session.life, session.noted, session.started_us = SessionState.PLAYING, True, self.now_us
        self.open_attempt(session, self.servers[event.server])
        observations.plan_probe(self, session.server)

    def on_move(self, event: MigrationRequested) -> None:
        """A second home before the first ends; earlier joins go along, so that each guard counts them."""
        old = self.sessions[event.id]
        past = [attempt for attempt in old.attempts if attempt.may_have_run and (
            attempt is old.attempts[-1] or old.service_class.effect is not Effect.FREE)]
        session = self.sessions[event.new_id] = Session(
            event.new_id, old.service_class, old.title, old.cells, old.top, self.now_us,
            self.now_us + event.timeout_us, old.watch_guess_us, rung=old.rung, attempts=past)
        self.step(session, SessionEvent.TRY)

    def on_spent(self, event: BudgetSnapshot) -> None:
        # A budget that began anew with each life would be a budget no longer.
        self.taken.extendleft(self.now_us - ago for ago in reversed(event.taken_ago_us))
        self.further.extendleft(self.now_us - ago for ago in reversed(event.further_ago_us))

    def on_started(self, session: Session, event: SessionStarted) -> None:
        self.judge(session.server, Outcome.SERVED)
        # What every server answers with an error speaks of the request: such viewers shut all servers.
        for attempt in [attempt for attempt in session.attempts if attempt.erred]:
            attempt.erred = False
            self.judge(attempt.server, Outcome.SERVER_ERROR)
        session.started_us = self.now_us
        self.step(session, SessionEvent.STARTED)
        observations.plan_probe(self, session.server)

    def on_top(self, session: Session, event: TopRungChanged) -> None:
        """What a viewer can't use leaves its link at once; raising it waits for room, as elsewhere."""
        session.top = max(event.top_rung, session.service_class.floor)
        if session.life is SessionState.PLAYING and session.rung > session.top:
            self.carry_out({session: session.top})

    def on_attempt_completed(self, session: Session, event: AttemptCompleted) -> None:
        if event.attempt >= len(session.attempts):
            return
        attempt, playing = session.attempts[event.attempt], session.life is SessionState.PLAYING
        attempt.may_have_run, attempt.erred = event.outcome not in NEVER_RAN, event.outcome is Outcome.SERVER_ERROR
        if event.outcome is Outcome.NOT_SENT and len(
            session.attempts) > 1 and attempt.sent_us in self.further:
            self.further.remove(attempt.sent_us)
        self.close_attempt(session, attempt)
        if not attempt.erred and (not playing or event.outcome is Outcome.CONNECTION_LOST):
            self.judge(attempt.server, event.outcome)
        if playing:
            self.typical_watch_us += (self.now_us - session.started_us - self.typical_watch_us) / 8
            for server in attempt.server.rack.servers:
                self.lift(server, 0)  # what has ended makes room at once; notes may be late or stay out
        elif event.report:
            # Most servers hold none of one front of many: such answers, as old as notes, are all it hears.
            observe_load(attempt.server, event.report, attempt.sent_us - self.settings.seen_after_us)
        self.step(session, SessionEvent.FINISHED if event.finished else SessionEvent.FAILED)


TIMER_HANDLERS: dict[int, Callable[[PlacementPolicy], None]] = {
    TimerName.ASK_LIST: observations.poll_endpoint_list, TimerName.PROBE: observations.probe_due,
    TimerName.HELD: PlacementPolicy.held_due}

EVENT_HANDLERS: dict[type, Callable[[PlacementPolicy, Any], None]] = {
    Request: PlacementPolicy.on_request, Handover: PlacementPolicy.on_handover,
    MigrationRequested: PlacementPolicy.on_move, BudgetSnapshot: PlacementPolicy.on_spent,
    ListUpdate: observations.on_list, ServerSnapshot: observations.on_remembered,
    ProbeCompleted: observations.on_probed,
    PeerMessage: observations.on_peer, TimerFired: lambda front, event: TIMER_HANDLERS[event.name](front)}

SESSION_EVENT_HANDLERS: dict[type, Callable[[PlacementPolicy, Session, Any], None]] = {
    SessionStarted: PlacementPolicy.on_started, AttemptCompleted: PlacementPolicy.on_attempt_completed,
    SessionReport: observations.on_session_report,
    TopRungChanged: PlacementPolicy.on_top, ClientGone: lambda front, session,
    _: front.step(session, SessionEvent.CLIENT_GONE)}
