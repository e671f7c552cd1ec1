"""Rungs: rationed to newcomers; of those that play lowered where all is asked, raised into lasting room."""

from fennelcove.placement.records import Server, Session, SessionState
from fennelcove.placement.state import HOLD_BACK, PolicyState, record_sent

LIFT_MARGIN = 1.5 * HOLD_BACK  # left free beyond it when raising, or rungs flutter past the page's 3 steps


def rationed_top_rung(state: PolicyState, session: Session, replicas: list[Server]) -> int:
    """While subscriptions playing there wait for steps earning twice as much, newcomers do without."""
    # A front of many has none there; then all that it holds stand for those that others hold there.
    others = [other for server in replicas for other in server.sessions] or state.sessions.values()
    wanted = max((utility_per_kb(state, other, other.rung + 1) for other in others
                  if other.life is SessionState.PLAYING and other.rung < other.top), default=0.0)
    tops = range(session.top, session.service_class.floor, -1)
    return next((top for top in tops if utility_per_kb(state, session, top) >= wanted / 2),
                min(session.top, session.service_class.floor))


def utility_per_kb(state: PolicyState, session: Session, rung: int, change: int = 0) -> float:
    """What the step up to this rung earns for each kB a second, with what changing costs or saves."""
    more = state.settings.ladder_worth[rung] - state.settings.ladder_worth[rung - 1]
    more += change * state.settings.switch_cost_us / max(state.remaining_play_us(session), 1.0)
    kb = state.rate_kb(session, rung) - state.rate_kb(session, rung - 1)
    return state.class_utility(session.service_class) * session.share * more / max(kb, 1e-9)


def repays_switch(state: PolicyState, session: Session, rung: int, price: float = 0.0) -> bool:
    """Whether raising earns more in the time left than the change, and this part of a typical play."""
    more = state.settings.ladder_worth[rung] - state.settings.ladder_worth[session.rung]
    return more * state.remaining_play_us(session) > state.settings.switch_cost_us + price * state.typical_watch_us


def set_rungs(state: PolicyState, plan: dict[Session, int]) -> None:
    for session, rung in plan.items():
        state.record_rate_change(session, state.rate_kb(session, rung) - state.rate_kb(session, session.rung))
        session.rung = rung
        state.effects.set_rung(session.id, rung)


def relieve_overload(state: PolicyState, asked: float, servers: list[Server], others: int) -> None:
    """Short delivery costs more than a rung, so this front takes its own share of the excess off."""
    if asked <= 1:
        return
    part = 1 - (1 - HOLD_BACK) / asked
    for server in servers if others else ():  # they heard the same; waiting to see them ease would cut twice
        record_sent(server, -part * state.others_kb(server), state.now_us)
    lower_rungs(state, servers, part)


def adapt_rungs(state: PolicyState, server: Server, others: int | None) -> None:
    relieve_overload(state, state.link_asked(server), [server], others or 0)
    relieve_overload(state, state.uplink_utilization(server.rack), server.rack.servers, others or 0)
    raise_rungs(state, server, others)


def lower_rungs(state: PolicyState, servers: list[Server], part: float) -> None:
    """Take this part off what plays on these servers, the steps that earn least first."""
    # Ranked among all that this front holds, or many fronts of one each lower dear and cheap steps alike.
    playing = [session for session in state.sessions.values() if session.life is SessionState.PLAYING]
    steps = sorted((utility_per_kb(state, session, rung, 1), i, -rung, session) for i, session in enumerate(playing)
                   for rung in range(session.service_class.floor + 1, session.rung + 1))
    need_kb, least = part * sum(state.rate_kb(session, session.rung) for session in playing), state.rng()
    plan = dict[Session, int]()
    for _, _, below, session in steps:
        step_kb = state.rate_kb(session, -below) - state.rate_kb(session, -below - 1)
        if need_kb <= least * step_kb:
            break  # a step larger than what is left is taken by chance, or each front would take one
        if plan.get(session, session.rung) == -below:
            plan[session] = -below - 1
            need_kb -= step_kb
    set_rungs(state, {session: rung for session, rung in plan.items() if session.server in servers})


def raise_rungs(state: PolicyState, server: Server, others: int | None) -> None:
    """Lasting room goes to the steps that earn most; a front's share is its share of what is asked."""
    uplink, own_kb, others_kb = server.rack.uplink, server.own_kb, state.others_kb(server)
    link_kb = (state.residual_link(server) - LIFT_MARGIN) * server.link.size_kb
    uplink_asked_kb = state.uplink_utilization(server.rack) * uplink.size_kb
    uplink_kb = (1 - HOLD_BACK - LIFT_MARGIN) * uplink.size_kb - uplink_asked_kb
    link_share = own_kb / max(own_kb + others_kb, 1.0)
    uplink_share = own_kb / max(own_kb, uplink_asked_kb, 1.0)
    room_kb, budget_kb = min(link_kb, uplink_kb), min(link_kb * link_share, uplink_kb * uplink_share)
    if others is None:
        budget_kb = room_kb  # nobody else heard this, or takes any of it now
    steps = sorted(((utility_per_kb(state, session, rung), i, -rung, session) for i,
                    session in enumerate(server.sessions)
                    if session.life is SessionState.PLAYING
                    for rung in range(session.rung + 1, session.top + 1)
                    if repays_switch(state, session, session.top)), reverse=True)
    plan, spent_kb, least = dict[Session, int](), 0.0, state.rng()
    for _, _, below, session in steps:
        more = state.rate_kb(session, -below) - state.rate_kb(session, -below - 1)
        if (plan.get(session, session.rung) == -below - 1 and more < room_kb - spent_kb
                and least * more < budget_kb - spent_kb):
            plan[session] = -below  # a step may be more than the share: then chance decides which front takes it
            spent_kb += more
    if others and spent_kb:
        record_sent(server, min(spent_kb, budget_kb) * others_kb / own_kb, state.now_us)
    set_rungs(state, plan)
