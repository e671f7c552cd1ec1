"""Server selection: the highest rung that some replica can serve, and a draw by utilization factors there."""

from math import inf

from fennelcove.placement.records import Placement, ScoredServer, Server, Servers, Session
from fennelcove.placement.state import RESERVE, PolicyState

UTILIZATION_EXPONENT, NETWORK_BOTTLENECK_THRESHOLD = 0.5, 1.0  # n and r of the design page


def utilization_factor(residual_share: float) -> float:
    return residual_share**-UTILIZATION_EXPONENT if residual_share > 0 else inf


def update_residuals(state: PolicyState, replicas: Servers) -> None:
    """Set what is free of links, uplinks and streams once for all rungs: thousands may retry at once."""
    rates = [state.rate_kb(session, session.rung) for session in state.playing_sessions()]
    mean_rate_kb = sum(rates) / len(rates) if rates else inf
    for server in replicas:
        server.residual_link = state.residual_link(server)
        others_kb = 0.0 if server.link.report is None else state.others_kb(server)  # guesses fill no streams
        streams = len(server.sessions) + others_kb / mean_rate_kb
        server.residual_streams = 1 - (streams + 1) / server.max_streams if server.max_streams else 1.0
    for rack in dict.fromkeys(server.rack for server in replicas):
        rack.residual_uplink = 1 - RESERVE - state.uplink_utilization(rack)


def utilization_factors(server: Server, rate_kb: float, usable_reserve: float = 0.0) -> tuple[float, float]:
    link = server.residual_link + usable_reserve - rate_kb / server.link.capacity_kb
    uplink = server.rack.residual_uplink + usable_reserve - rate_kb / server.rack.uplink.capacity_kb
    return utilization_factor(min(link, server.residual_streams)), utilization_factor(uplink)


def choose_placement(state: PolicyState, session: Session, top: int, replicas: Servers) -> Placement | None:
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
    floor = session.service_class.min_rung
    for rung in range(top, floor - 1, -1):
        usable_reserve = RESERVE if rung == floor else 0.0  # the lowest rung may use the reserve
        rate_kb = state.rate_kb(session, rung)
        scored = [(server, *utilization_factors(server, rate_kb, usable_reserve)) for server in replicas]
        if feasible := [row for row in scored if row[1] < inf and row[2] < inf]:
            return Placement(draw_server(state, feasible), rung)
    return None


def draw_server(state: PolicyState, feasible: list[ScoredServer]) -> Server:
    """Draw uniformly where the network is the bottleneck, else by the inverse of the server's factor."""
    if sum(network for _, _, network in feasible) > NETWORK_BOTTLENECK_THRESHOLD * sum(
        factor for _, factor, _ in feasible
    ):
        return state.random_source.choice(feasible)[0]
    return state.random_source.choices(feasible, [1 / factor for _, factor, _ in feasible])[0][0]
