"""Bitrate adaptation: rungs of new sessions, lowered on overloaded links, raised into lasting capacity."""

from fennelcove.placement.records import Rack, Server, Session, SessionState
from fennelcove.placement.state import RAISE_MARGIN, RESERVE, PolicyState, record_sent


def initial_top_rung(state: PolicyState, session: Session, replicas: list[Server]) -> int:
    """Highest rung whose step has at least half the utility per kB/s of the best step that others wait for.

    The others are this front's sessions on the replicas, or all of its sessions if there are none there.
    """
    others = [other for server in replicas for other in server.sessions] or state.sessions.values()
    best_waiting_utility = max(
        (
            utility_per_kb(state, other, other.rung + 1)
            for other in others
            if other.state is SessionState.PLAYING and other.rung < other.top_rung
        ),
        default=0.0,
    )
    floor = session.service_class.min_rung
    return next(
        (
            rung
            for rung in range(session.top_rung, floor, -1)
            if utility_per_kb(state, session, rung) >= best_waiting_utility / 2
        ),
        min(session.top_rung, floor),
    )


def utility_per_kb(state: PolicyState, session: Session, rung: int, *, is_lowering: bool = False) -> float:
    """Utility of the step up to a rung per kB/s; a lowering also costs a switch of rungs."""
    gain = state.settings.rung_utilities[rung] - state.settings.rung_utilities[rung - 1]
    if is_lowering:
        gain += state.settings.rung_switch_cost_us / max(state.remaining_play_us(session), 1.0)
    rate_kb = state.rate_kb(session, rung) - state.rate_kb(session, rung - 1)
    return state.class_utility(session.service_class) * session.quota_share * gain / max(rate_kb, 1e-9)


def repays_switch(state: PolicyState, session: Session, rung: int, price: float = 0.0) -> bool:
    """Whether the gain of a raise in the time left exceeds the cost of the switch and a price.

    The price is per typical playing time.
    """
    gain = state.settings.rung_utilities[rung] - state.settings.rung_utilities[session.rung]
    cost_us = state.settings.rung_switch_cost_us + price * state.typical_play_us
    return gain * state.remaining_play_us(session) > cost_us


def set_rungs(state: PolicyState, rungs: dict[Session, int]) -> None:
    """Change the rungs of sessions, and notify the host."""
    for session, rung in rungs.items():
        state.change_rung(session, rung)
        state.effects.set_rung(session.id, rung)


def relieve_link(state: PolicyState, server: Server, load: float, other_fronts: int) -> None:
    """Take this front's part of an overload off a server's link.

    Short delivery costs more than a lower rung.
    """
    if load <= 1:
        return
    excess = 1 - (1 - RESERVE) / load
    if other_fronts:  # they got the same report, and relieve the link too
        record_relief(state, server, excess)
    lower_rungs(state, [server], excess)


def relieve_uplink(state: PolicyState, rack: Rack, load: float, other_fronts: int) -> None:
    """Take this front's part of an overload off a rack's uplink."""
    if load <= 1:
        return
    excess = 1 - (1 - RESERVE) / load
    if other_fronts:
        known = [server for server in rack.known_servers if server.is_in_rack]
        # One entry for all links without a report: an entry for each of thousands exhausted the memory.
        unknown_kb = max(0.0, rack.capacity_kb - sum(server.link.capacity_kb for server in known))
        rack.uplink.record_sent(-excess * state.mean_utilization() * unknown_kb, state.now_us)
        for server in known:
            record_relief(state, server, excess)
    lower_rungs(state, [server for server in rack.loaded_servers if server.is_in_rack], excess)


def record_relief(state: PolicyState, server: Server, excess: float) -> None:
    """Record that other fronts lower their load on a server by a share."""
    relief_kb = -excess * state.others_kb(server)
    server.rack.uplink.record_sent(relief_kb, state.now_us)
    if server.link.report is not None:  # else it counts with the mean utilization
        server.link.record_sent(relief_kb, state.now_us)


def adapt_rungs(state: PolicyState, server: Server, other_fronts: int | None) -> None:
    """Adapt rungs to a report of a server's load.

    The report went to `other_fronts` other fronts too; None: it answers a probe of this front.
    """
    relieve_link(state, server, state.link_utilization(server), other_fronts or 0)
    relieve_uplink(state, server.rack, state.uplink_utilization(server.rack), other_fronts or 0)
    raise_rungs(state, server, other_fronts)


def lower_rungs(state: PolicyState, servers: list[Server], excess: float) -> None:
    """Take a share of the load off servers.

    The steps of least utility come first, ranked among all sessions of this front.
    """
    playing = state.playing_sessions()
    steps = sorted(
        (utility_per_kb(state, session, rung, is_lowering=True), index, -rung, rung, session)
        for index, session in enumerate(playing)
        for rung in range(session.service_class.min_rung + 1, session.rung + 1)
    )
    excess_kb = excess * sum(state.rate_kb(session, session.rung) for session in playing)
    uniform_draw, rungs = state.draw_uniform(), dict[Session, int]()
    for _, _, _, rung, session in steps:
        step_kb = state.rate_kb(session, rung) - state.rate_kb(session, rung - 1)
        if excess_kb <= uniform_draw * step_kb:
            break  # a step larger than the rest is taken with a probability, else each front would take one
        if rungs.get(session, session.rung) == rung:
            rungs[session] = rung - 1
            excess_kb -= step_kb
    members = set(servers)
    set_rungs(state, {session: rung for session, rung in rungs.items() if session.server in members})


def raise_rungs(state: PolicyState, server: Server, other_fronts: int | None) -> None:
    """Assign lasting capacity to the steps of most utility.

    If other fronts got the report too, this front's part is its share of the load.
    """
    uplink, own_kb, others_kb = server.rack.uplink, server.own_kb, state.others_kb(server)
    link_kb = (state.residual_link(server) - RAISE_MARGIN) * server.link.capacity_kb
    uplink_load_kb = state.uplink_utilization(server.rack) * uplink.capacity_kb
    uplink_kb = (1 - RESERVE - RAISE_MARGIN) * uplink.capacity_kb - uplink_load_kb
    residual_kb = budget_kb = min(link_kb, uplink_kb)
    if other_fronts is not None:  # they raise rungs into the same capacity
        link_share = own_kb / max(own_kb + others_kb, 1.0)
        budget_kb = min(link_kb * link_share, uplink_kb * own_kb / max(own_kb, uplink_load_kb, 1.0))
    steps = sorted(
        (
            (utility_per_kb(state, session, rung), index, -rung, rung, session)
            for index, session in enumerate(server.sessions)
            if session.state is SessionState.PLAYING
            for rung in range(session.rung + 1, session.top_rung + 1)
            if repays_switch(state, session, session.top_rung)
        ),
        reverse=True,
    )
    uniform_draw, rungs, spent_kb = state.draw_uniform(), dict[Session, int](), 0.0
    for _, _, _, rung, session in steps:
        step_kb = state.rate_kb(session, rung) - state.rate_kb(session, rung - 1)
        fits = step_kb < residual_kb - spent_kb and uniform_draw * step_kb < budget_kb - spent_kb
        if fits and rungs.get(session, session.rung) == rung - 1:
            # A step larger than the budget is taken with a probability, so that about one front takes it.
            rungs[session] = rung
            spent_kb += step_kb
    if other_fronts and spent_kb:
        record_sent(server, min(spent_kb, budget_kb) * others_kb / own_kb, state.now_us)
    set_rungs(state, rungs)
