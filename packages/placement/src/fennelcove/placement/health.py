"""Health of servers: circuit breakers that follow the outcomes of this front's own attempts."""

from math import inf

from fennelcove.interface import CellLoad, Outcome
from fennelcove.placement.load_polling import notify_shard_owner
from fennelcove.placement.records import Health, HealthAction, Server, SessionState
from fennelcove.placement.state import PolicyState
from fennelcove.state_machine import Transition, TransitionTable, Unlisted

MAX_STRIKES = 8
ADMITTING_STATES = (Health.WELL, Health.TRIAL)  # the circuit breaker lets attempts through
FAULTS = (Outcome.SERVER_ERROR, Outcome.REJECTED, Outcome.NO_ANSWER)
CONNECTION_FAULTS = (Outcome.NO_CONNECTION, Outcome.CONNECTION_LOST)


def is_healthy(state: PolicyState, server: Server) -> bool:
    """Whether an attempt may be sent to a server; a suspension that has run out is ended."""
    if server.health is Health.SHUT and state.now_us >= server.suspended_until_us:
        server.health = Health.TRIAL
    is_trial_pending = any(session.state is SessionState.JOINING for session in server.sessions)
    return server.health is Health.WELL or (server.health is Health.TRIAL and not is_trial_pending)


def record_outcome(state: PolicyState, server: Server, outcome: Outcome) -> None:
    """Apply the outcome of an attempt to its server's circuit breaker."""
    transition = HEALTH_TRANSITIONS.apply(server.health, outcome)
    server.health = transition.state
    for action in transition.actions:
        action(state, server)


def remove_strike(state: PolicyState, server: Server) -> None:
    """Count a success against the earlier faults of a server."""
    server.strikes = max(0, server.strikes - 1)


def suspend(state: PolicyState, server: Server) -> None:
    """Suspend a server, for twice as long with each strike, and report it as full to other fronts."""
    base_pause_us = min(item.latency_objective_us for item in state.settings.service_classes.values())
    server.suspended_until_us = state.now_us + min(
        base_pause_us * 2 ** (server.strikes + 1), state.settings.warm_up_us
    )
    server.strikes = min(server.strikes + 1, MAX_STRIKES)
    notify_shard_owner(state, server.cell, loads=(CellLoad(server.cell, inf, None, 0),))


def mark_restarted(state: PolicyState, server: Server) -> None:
    """Have a server warm up before the list reports its restart; its last slow-start turn stays used."""
    server.started_us = server.last_attempt_us = state.now_us
    server.link.report = None


HEALTH_TRANSITIONS: TransitionTable[Health, Outcome, HealthAction] = TransitionTable(
    {
        (Health.SHUT, Outcome.SERVED): Transition(Health.SHUT, (remove_strike,)),
        **{
            (health, Outcome.SERVED): Transition(Health.WELL, (remove_strike,)) for health in ADMITTING_STATES
        },
        **{
            (health, fault): Transition(Health.SHUT, (suspend,))
            for health in ADMITTING_STATES
            for fault in FAULTS
        },
        **{
            (Health.SHUT, connection_fault): Transition(Health.SHUT, (mark_restarted,))
            for connection_fault in CONNECTION_FAULTS
        },
        **{
            (health, connection_fault): Transition(Health.SHUT, (mark_restarted, suspend))
            for health in ADMITTING_STATES
            for connection_fault in CONNECTION_FAULTS
        },
    },
    unlisted=Unlisted.IGNORE,
)
