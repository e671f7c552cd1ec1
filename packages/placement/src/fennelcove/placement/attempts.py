"""Joins: the guards of the rules, what a join sent or ended counts for, and how long it may take."""

from fennelcove.interface import Effect, ServiceClass, Scope, ServerState
from fennelcove.placement.slow_start import slow_start_turn, is_warming_up
from fennelcove.placement.quotas import expect_crowd
from fennelcove.placement.observations import notify_block_keeper
from fennelcove.placement.records import Server, Attempt, Session
from fennelcove.placement.state import PolicyState


def may_attempt(known: PolicyState, session: Session) -> bool:
    """Rules 1, 2, 5 and 6: whether any join may be sent now."""
    service_class, cap = session.service_class, known.settings.send_cap
    return not (known.now_us >= session.timeout_us or session.top < service_class.floor
                or (cap and cap <= len(session.attempts))
                or 0 < service_class.seats <= known.seats.get((session.title, service_class), 0)
                or (service_class.effect is Effect.SINGLE_SHOT
                    and any(attempt.may_have_run for attempt in session.attempts))
                or (session.attempts and not within_retry_budget(known)))


def within_retry_budget(known: PolicyState) -> bool:
    if known.settings.budget_free is None:
        return True
    for times in (known.taken, known.further):
        while times and times[0] < known.now_us - known.settings.budget_span_us:
            times.popleft()
    earned = known.settings.budget_free + known.settings.budget_ratio * len(known.taken)
    return len(known.further) + 1 <= earned


def may_use_server(known: PolicyState, session: Session, server: Server) -> bool:
    """Rules 2, 3 and 4: whether this server may get this join."""
    cold = is_warming_up(known, server) and not slow_start_turn(known, server)
    again = any(attempt.server is server for attempt in session.attempts)
    if cold or server.standing is not ServerState.ACTIVE or again or not known.free(session.id,
        server.address):
        return False
    return session.service_class.effect is not Effect.GUARDED or all(
        same_scope(known, session.service_class, attempt, server) for attempt in session.attempts
        if attempt.may_have_run)


def same_scope(known: PolicyState, service_class: ServiceClass, attempt: Attempt, server: Server) -> bool:
    same = {Scope.ZONE: attempt.server.zone == server.zone, Scope.CELL: attempt.server.cell == server.cell}
    return same.get(service_class.scope, True) and known.now_us - attempt.sent_us < service_class.key_ttl_us


def may_reject(known: PolicyState, session: Session) -> bool:
    keyed = session.service_class.effect is Effect.GUARDED and session.service_class.scope is Scope.ALL
    return session.service_class.effect is Effect.FREE or keyed or not any(attempt.may_have_run
        for attempt in session.attempts)


def open_attempt(known: PolicyState, session: Session, server: Server) -> None:
    session.attempts.append(Attempt(server, known.now_us))
    server.sessions[session] = None
    known.met[server] = None
    known.seats[session.title, session.service_class] = known.seats.get(
        (session.title, session.service_class), 0) + 1
    known.count_sent(session, known.rate(session, session.rung))


def close_attempt(known: PolicyState, session: Session, attempt: Attempt) -> None:
    attempt.server.sessions.pop(session, None)
    known.seats[session.title, session.service_class] -= 1
    known.count_sent(session, -known.rate(session, session.rung))


def send_attempt(known: PolicyState, session: Session, server: Server, rung: int) -> None:
    if session.attempts and known.settings.budget_free is not None:
        known.further.append(known.now_us)
    session.rung, server.last_attempt_us, kb = rung, known.now_us, known.rate(session, rung)
    open_attempt(known, session, server)
    if len(session.attempts) == 1:  # a further join of one request is no further request for its title
        expect_crowd(known, session, kb)
    notify_block_keeper(known, server.cell, attempts=((server.cell, round(kb)),))
    known.effects.set_rung(session.id, rung)
    known.effects.start_attempt(session.id, server.address, attempt_timeout_us(known, session))


def attempt_timeout_us(known: PolicyState, session: Session) -> int:
    """Half of what is left to the join objective, so that another holder can still make it."""
    left_us = session.taken_us + session.service_class.latency_objective_us - known.now_us
    return max(1, min(max(left_us, session.service_class.latency_objective_us // 2) // 2,
                      session.timeout_us - known.now_us))
