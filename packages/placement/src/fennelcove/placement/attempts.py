"""Attempts to set a session up: whether and where one may be sent, its time-out and its bookkeeping."""

from fennelcove.interface import Effect, Scope, ServerState, ServiceClass
from fennelcove.placement.load_polling import notify_shard_owner
from fennelcove.placement.quotas import anticipate_title_surge
from fennelcove.placement.records import Attempt, Server, Session
from fennelcove.placement.slow_start import has_slow_start_turn, is_warming_up
from fennelcove.placement.state import PolicyState


def may_attempt(state: PolicyState, session: Session) -> bool:
    """Whether the session may send an attempt to any server now (rules 1, 2, 5 and 6)."""
    service_class, max_attempts = session.service_class, state.settings.max_attempts
    is_impossible = (
        state.now_us >= session.deadline_us
        or session.top_rung < service_class.min_rung
        or (max_attempts and len(session.attempts) >= max_attempts)
        or 0 < service_class.seats <= state.seats.get((session.title, service_class), 0)
        or (service_class.effect is Effect.SINGLE_SHOT and may_have_run(session))
    )
    return not is_impossible and (not session.attempts or within_retry_budget(state))


def may_have_run(session: Session) -> bool:
    """Whether a server may have carried out any of the session's attempts."""
    return any(attempt.may_have_run for attempt in session.attempts)


def within_retry_budget(state: PolicyState) -> bool:
    """Whether the retry budget of the last `retry_window_us` allows another retry."""
    settings = state.settings
    if settings.retry_base is None:
        return True
    for times_us in (state.request_times, state.retry_times):
        while times_us and times_us[0] < state.now_us - settings.retry_window_us:
            times_us.popleft()
    return len(state.retry_times) + 1 <= settings.retry_base + settings.retry_ratio * len(state.request_times)


def may_use_server(state: PolicyState, session: Session, server: Server) -> bool:
    """Whether the session may send an attempt to this server (rules 2, 3 and 4)."""
    is_awaiting_turn = is_warming_up(state, server) and not has_slow_start_turn(state, server)
    is_already_tried = any(attempt.server is server for attempt in session.attempts)
    is_usable = server.state is ServerState.ACTIVE and not is_awaiting_turn and not is_already_tried
    if not is_usable or not state.may_use(session.id, server.address):
        return False
    return session.service_class.effect is not Effect.GUARDED or all(
        is_repeat_safe(state, session.service_class, attempt, server)
        for attempt in session.attempts
        if attempt.may_have_run
    )


def is_repeat_safe(state: PolicyState, service_class: ServiceClass, attempt: Attempt, server: Server) -> bool:
    """Whether a server still recognises the idempotency key of an earlier attempt."""
    same_scope = {
        Scope.ZONE: attempt.server.zone == server.zone,
        Scope.CELL: attempt.server.cell == server.cell,
    }
    is_key_valid = state.now_us - attempt.sent_us < service_class.key_ttl_us
    return is_key_valid and same_scope.get(service_class.scope, True)


def may_reject(state: PolicyState, session: Session) -> bool:
    """Whether a rejection is safe: no attempt may have run, or a repeat does no harm on any server."""
    is_recognised_everywhere = (
        session.service_class.effect is Effect.GUARDED and session.service_class.scope is Scope.ALL
    )
    return (
        session.service_class.effect is Effect.FREE or is_recognised_everywhere or not may_have_run(session)
    )


def open_attempt(state: PolicyState, session: Session, server: Server) -> None:
    """Record a new attempt, and count its seat and its rate."""
    session.attempts.append(Attempt(server, state.now_us))
    server.sessions[session] = None
    mark_changed_if_inactive(state, server)
    state.record_contact(server)
    seat = (session.title, session.service_class)
    state.seats[seat] = state.seats.get(seat, 0) + 1
    state.record_rate_change(session, state.rate_kb(session, session.rung))


def mark_changed_if_inactive(state: PolicyState, server: Server) -> None:
    """Have the next list update revisit a draining or departed server whose sessions have changed."""
    if server.state is not ServerState.ACTIVE:
        state.changed_inactive_servers[server] = None


def close_attempt(state: PolicyState, session: Session, attempt: Attempt) -> None:
    """Release the seat and the rate of an attempt that has ended."""
    attempt.server.sessions.pop(session, None)
    mark_changed_if_inactive(state, attempt.server)
    seat = (session.title, session.service_class)
    state.seats[seat] -= 1
    if not state.seats[seat]:  # clients choose the titles: empty entries would accumulate without limit
        del state.seats[seat]
    state.record_rate_change(session, -state.rate_kb(session, session.rung))


def send_attempt(state: PolicyState, session: Session, server: Server, rung: int) -> None:
    """Send an attempt at a rung, and count it in the retry budget and in the loads."""
    if session.attempts and state.settings.retry_base is not None:
        state.retry_times.append(state.now_us)
    session.rung, server.last_attempt_us = rung, state.now_us
    rate_kb = state.rate_kb(session, rung)
    open_attempt(state, session, server)
    if len(session.attempts) == 1:  # a retry is not another request for the title
        anticipate_title_surge(state, session, rate_kb)
    notify_shard_owner(state, server.cell, rates=((server.cell, round(rate_kb)),))
    state.effects.set_rung(session.id, rung)
    state.effects.start_attempt(session.id, server.address, attempt_timeout_us(state, session))


def attempt_timeout_us(state: PolicyState, session: Session) -> int:
    """Half of the time left to the latency objective, so that another replica can still meet it.

    It is at least a quarter of the objective, but never ends after the client's timeout.
    """
    objective_us = session.service_class.latency_objective_us
    left_us = max(session.requested_us + objective_us - state.now_us, objective_us // 2)
    return max(1, min(left_us // 2, session.deadline_us - state.now_us))
