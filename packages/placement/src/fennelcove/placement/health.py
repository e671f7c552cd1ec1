"""Health: what this front's own joins tell of a server, and when it is tried again."""

from collections.abc import Callable
from math import inf

from fennelcove.interface import CellLoad, Outcome
from fennelcove.placement.observations import notify_block_keeper
from fennelcove.placement.records import Server, Health, SessionState
from fennelcove.placement.state import PolicyState


def is_well(state: PolicyState, server: Server) -> bool:
    if server.health is Health.SHUT and state.now_us >= server.shut_until_us:
        server.health = Health.TRIAL
    joining = any(session.life is SessionState.JOINING for session in server.sessions)
    return server.health is Health.WELL or (server.health is Health.TRIAL and not joining)


def record_outcome(state: PolicyState, server: Server, outcome: Outcome) -> None:
    server.health, effects = HEALTH_TRANSITIONS.get((server.health, outcome), (server.health, ()))
    for effect in effects:
        effect(state, server)


def remove_strike(state: PolicyState, server: Server) -> None:
    server.strikes = max(0, server.strikes - 1)


def suspend(state: PolicyState, server: Server) -> None:
    latency_objective = min(service_class.latency_objective_us
                            for service_class in state.settings.service_classes.values())
    server.shut_until_us = state.now_us + min(latency_objective * 2 ** (server.strikes + 1),
                                              state.settings.ramp_us)
    server.strikes = min(server.strikes + 1, 8)
    # Nobody else need try it to find the same, until a younger report says that it has room.
    notify_block_keeper(state, server.cell, loads=(CellLoad(server.cell, inf, None, 0),))


def mark_restarted(state: PolicyState, server: Server) -> None:
    """It may come back cold, before the list says so; turns are drawn anew, and this one stays used."""
    server.started_us, server.last_attempt_us, server.link.asked = state.now_us, state.now_us, None


HEALTH_TRANSITIONS: dict[tuple[Health, Outcome], tuple[Health, tuple[Callable[[PolicyState, Server], None], ...]]] = {
    **{(health, Outcome.SERVED): (health if health is Health.SHUT else Health.WELL, (remove_strike,))
       for health in Health}, **{(health, outcome): (Health.SHUT, (suspend,))
       for health in (Health.WELL, Health.TRIAL)
       for outcome in (Outcome.SERVER_ERROR, Outcome.TURNED_AWAY, Outcome.NO_ANSWER)},
    **{(health, outcome): (Health.SHUT, (mark_restarted,) if health is Health.SHUT else (mark_restarted, suspend))
       for health in Health for outcome in (Outcome.NO_CONNECTION, Outcome.CONNECTION_LOST)}, }
