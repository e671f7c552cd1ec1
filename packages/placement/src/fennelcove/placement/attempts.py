"""Joins: the guards of the rules, what a join sent or ended counts for, and how long it may take."""

from fennelcove.interface import Effect, ServiceClass, Scope, ServerState
from fennelcove.placement.slow_start import has_slow_start_turn, is_warming_up
from fennelcove.placement.quotas import anticipate_title_surge
from fennelcove.placement.observations import notify_block_keeper
from fennelcove.placement.records import Server, Attempt, Session
from fennelcove.placement.state import PolicyState


def may_attempt(state: PolicyState, session: Session) -> bool:
    """Rules 1, 2, 5 and 6: whether any join may be sent now."""
    service_class, cap = session.service_class, state.settings.send_cap
    return not (state.now_us >= session.timeout_us or session.top < service_class.floor
                or (cap and cap <= len(session.attempts))
                or 0 < service_class.seats <= state.seats.get((session.title, service_class), 0)
                or (service_class.effect is Effect.SINGLE_SHOT
                    and any(attempt.may_have_run for attempt in session.attempts))
                or (session.attempts and not within_retry_budget(state)))


def within_retry_budget(state: PolicyState) -> bool:
    if state.settings.budget_free is None:
        return True
    for times in (state.taken, state.further):
        while times and times[0] < state.now_us - state.settings.budget_span_us:
            times.popleft()
    earned = state.settings.budget_free + state.settings.budget_ratio * len(state.taken)
    return len(state.further) + 1 <= earned


def may_use_server(state: PolicyState, session: Session, server: Server) -> bool:
    """Rules 2, 3 and 4: whether this server may get this join."""
    cold = is_warming_up(state, server) and not has_slow_start_turn(state, server)
    again = any(attempt.server is server for attempt in session.attempts)
    if cold or server.standing is not ServerState.ACTIVE or again or not state.free(session.id,
        server.address):
        return False
    return session.service_class.effect is not Effect.GUARDED or all(
        same_scope(state, session.service_class, attempt, server) for attempt in session.attempts
        if attempt.may_have_run)


def same_scope(state: PolicyState, service_class: ServiceClass, attempt: Attempt, server: Server) -> bool:
    same = {Scope.ZONE: attempt.server.zone == server.zone, Scope.CELL: attempt.server.cell == server.cell}
    return same.get(service_class.scope, True) and state.now_us - attempt.sent_us < service_class.key_ttl_us


def may_reject(state: PolicyState, session: Session) -> bool:
    keyed = session.service_class.effect is Effect.GUARDED and session.service_class.scope is Scope.ALL
    return session.service_class.effect is Effect.FREE or keyed or not any(attempt.may_have_run
        for attempt in session.attempts)


def open_attempt(state: PolicyState, session: Session, server: Server) -> None:
    session.attempts.append(Attempt(server, state.now_us))
    server.sessions[session] = None
    state.contacted[server] = None
    state.seats[session.title, session.service_class] = state.seats.get(
        (session.title, session.service_class), 0) + 1
    state.record_rate_change(session, state.rate_kb(session, session.rung))


def close_attempt(state: PolicyState, session: Session, attempt: Attempt) -> None:
    attempt.server.sessions.pop(session, None)
    state.seats[session.title, session.service_class] -= 1
    state.record_rate_change(session, -state.rate_kb(session, session.rung))


def send_attempt(state: PolicyState, session: Session, server: Server, rung: int) -> None:
    if session.attempts and state.settings.budget_free is not None:
        state.further.append(state.now_us)
    session.rung, server.last_attempt_us, kb = rung, state.now_us, state.rate_kb(session, rung)
    open_attempt(state, session, server)
    if len(session.attempts) == 1:  # a further join of one request is no further request for its title
        anticipate_title_surge(state, session, kb)
    notify_block_keeper(state, server.cell, attempts=((server.cell, round(kb)),))
    state.effects.set_rung(session.id, rung)
    state.effects.start_attempt(session.id, server.address, attempt_timeout_us(state, session))


def attempt_timeout_us(state: PolicyState, session: Session) -> int:
    """Half of what is left to the join objective, so that another holder can still make it."""
    left_us = session.taken_us + session.service_class.latency_objective_us - state.now_us
    return max(1, min(max(left_us, session.service_class.latency_objective_us // 2) // 2,
                      session.timeout_us - state.now_us))
