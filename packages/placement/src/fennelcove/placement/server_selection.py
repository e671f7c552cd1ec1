"""Server selection: the highest rung that a replica can serve, and a draw weighted by utilization factors."""

from math import inf

from fennelcove.placement.records import Placement, ScoredServer, Server, Servers, Session
from fennelcove.placement.state import RESERVE, PolicyState

UTILIZATION_EXPONENT, NETWORK_BOTTLENECK_THRESHOLD = 0.5, 1.0  # n and r on the design page


def utilization_factor(residual_share: float) -> float:
    """Factor that grows as the free share of a resource shrinks; infinite if nothing is free."""
    return residual_share**-UTILIZATION_EXPONENT if residual_share > 0 else inf


def update_residuals(state: PolicyState, replicas: Servers) -> None:
    """Compute the free shares of links, uplinks and streams.

    Once for all rungs, since thousands of sessions may retry at once.
    """
    rates = [state.rate_kb(session, session.rung) for session in state.playing_sessions()]
    mean_rate_kb = sum(rates) / len(rates) if rates else inf
    for server in replicas:
        server.residual_link = state.residual_link(server)
        # Without a report, the assumed load of other fronts fills no streams.
        others_kb = 0.0 if server.link.report is None else state.others_kb(server)
        streams = len(server.sessions) + others_kb / mean_rate_kb
        server.residual_streams = 1 - (streams + 1) / server.max_streams if server.max_streams else 1.0
    for rack in dict.fromkeys(server.rack for server in replicas):
        rack.residual_uplink = 1 - RESERVE - state.uplink_utilization(rack)


def utilization_factors(server: Server, rate_kb: float, usable_reserve: float = 0.0) -> tuple[float, float]:
    """Utilization factors of a server and of its network after a rate is added."""
    link = server.residual_link + usable_reserve - rate_kb / server.link.capacity_kb
    uplink = server.rack.residual_uplink + usable_reserve - rate_kb / server.rack.uplink.capacity_kb
    return utilization_factor(min(link, server.residual_streams)), utilization_factor(uplink)


def choose_placement(state: PolicyState, session: Session, top: int, replicas: Servers) -> Placement | None:
    """Place in the front's zone, unless a higher rung elsewhere is worth the cross-zone price."""
    local_replicas = [server for server in replicas if server.zone == state.settings.zone]
    local, any_zone = (
        place_highest(state, session, top, local_replicas),
        place_highest(state, session, top, replicas),
    )
    if local is None or any_zone is None:
        return local or any_zone
    gain = state.settings.rung_utilities[any_zone.rung] - state.settings.rung_utilities[local.rung]
    price = state.settings.cross_zone_price * state.mean_offered_utility
    return any_zone if gain * session.service_class.priority_weight > price else local


def place_highest(state: PolicyState, session: Session, top: int, replicas: Servers) -> Placement | None:
    """Place at the highest feasible rung; None if no rung is feasible."""
    floor = session.service_class.min_rung
    for rung in range(top, floor - 1, -1):
        usable_reserve = RESERVE if rung == floor else 0.0  # the lowest rung may use the reserve
        rate_kb = state.rate_kb(session, rung)
        scored = [(server, *utilization_factors(server, rate_kb, usable_reserve)) for server in replicas]
        if feasible := [row for row in scored if row[1] < inf and row[2] < inf]:
            return Placement(draw_server(state, feasible), rung)
    return None


def draw_server(state: PolicyState, feasible: list[ScoredServer]) -> Server:
    """Draw uniformly if the network is the bottleneck, else weighted by the inverse of the factor."""
    if sum(network for _, _, network in feasible) > NETWORK_BOTTLENECK_THRESHOLD * sum(
        factor for _, factor, _ in feasible
    ):
        return state.random_source.choice(feasible)[0]
    return state.random_source.choices(feasible, [1 / factor for _, factor, _ in feasible])[0][0]
