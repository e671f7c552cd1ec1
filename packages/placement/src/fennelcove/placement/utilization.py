"""Feasibility and scores: the utilization factors of holders, infinite where the room is short."""

from math import inf

from fennelcove.placement.records import Server, SessionState
from fennelcove.placement.state import HOLD_BACK, PolicyState

EXPONENT = 0.5  # n of the design page


def utilization(share_left: float) -> float:
    return share_left ** -EXPONENT if share_left > 0 else inf


def update_residuals(known: PolicyState, replicas: list[Server]) -> None:
    """Residues and streams, once for all rungs: thousands of viewers may come again in one moment."""
    playing = [known.rate(session, session.rung) for session in known.sessions.values(
        ) if session.life is SessionState.PLAYING]
    # Guesses fill no streams: one at half a link, by low rates, shut a new front to everybody.
    stream_kb = sum(playing) / len(playing) if playing else inf
    for server in replicas:
        server.left = known.link_left(server)
        others_kb = 0.0 if server.link.asked is None else known.others_kb(server)
        used = len(server.sessions) + others_kb / stream_kb
        server.streams_left = 1 - (used + 1) / server.streams_most if server.streams_most else 1.0
    for rack in dict.fromkeys(server.rack for server in replicas):
        rack.left = 1 - HOLD_BACK - known.uplink_asked(rack)


def factors(server: Server, kb: float, spare: float = 0.0) -> tuple[float, float]:
    """Server UF and network UF of a request for so many kB a second."""
    link = server.left + spare - kb / server.link.size_kb
    uplink = server.rack.left + spare - kb / server.rack.uplink.size_kb
    return utilization(min(link, server.streams_left)), utilization(uplink)
