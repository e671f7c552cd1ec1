"""Feasibility and scores: the utilization factors of holders, infinite where the room is short."""

from math import inf

from fennelcove.placement.records import Server, SessionState
from fennelcove.placement.state import HOLD_BACK, PolicyState

EXPONENT = 0.5  # n of the design page


def utilization_factor(share_left: float) -> float:
    return share_left ** -EXPONENT if share_left > 0 else inf


def update_residuals(state: PolicyState, replicas: list[Server]) -> None:
    """Residues and streams, once for all rungs: thousands of viewers may come again in one moment."""
    playing = [state.rate_kb(session, session.rung) for session in state.sessions.values(
        ) if session.life is SessionState.PLAYING]
    # Guesses fill no streams: one at half a link, by low rates, shut a new front to everybody.
    stream_kb = sum(playing) / len(playing) if playing else inf
    for server in replicas:
        server.residual_link = state.residual_link(server)
        others_kb = 0.0 if server.link.asked is None else state.others_kb(server)
        used = len(server.sessions) + others_kb / stream_kb
        server.residual_streams = 1 - (used + 1) / server.streams_most if server.streams_most else 1.0
    for rack in dict.fromkeys(server.rack for server in replicas):
        rack.residual_uplink = 1 - HOLD_BACK - state.uplink_utilization(rack)


def factors(server: Server, kb: float, spare: float = 0.0) -> tuple[float, float]:
    """Server UF and network UF of a request for so many kB a second."""
    link = server.residual_link + spare - kb / server.link.size_kb
    uplink = server.rack.residual_uplink + spare - kb / server.rack.uplink.size_kb
    return utilization_factor(min(link, server.residual_streams)), utilization_factor(uplink)
