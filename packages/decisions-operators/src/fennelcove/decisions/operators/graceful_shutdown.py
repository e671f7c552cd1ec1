"""Graceful shutdown of a front: no new work, a response to everything pending, and an end by a set time.

Sessions go on at their servers. Pending requests are given the time that is left, less what their responses
need.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted

# The fraction of the time limit that is kept for responses after the last attempt is given up.
RESPONSE_FRACTION = 0.25


class ShutdownState(Enum):
    """How far the shutdown has come."""

    RUNNING = auto()
    DRAINING = auto()  # no new work, attempts in flight may complete
    RESPONDING = auto()  # attempts are given up, responses are sent
    STOPPED = auto()  # stopped


class ShutdownEvent(Enum):
    """What advances it."""

    REQUESTED = auto()  # requested, by a signal or an operator
    IDLE = auto()  # no response is pending any more
    DEADLINE_REACHED = auto()  # the time limit of the state is reached


class ShutdownAction(Enum):
    """What the caller carries out."""

    STOP_ACCEPTING = auto()
    CANCEL_ATTEMPTS = auto()  # cancel the attempts in flight
    CLOSE_CONNECTIONS = auto()  # close all connections


TRANSITIONS: TransitionTable[ShutdownState, ShutdownEvent, ShutdownAction] = TransitionTable(
    {
        (ShutdownState.RUNNING, ShutdownEvent.REQUESTED): Transition(
            ShutdownState.DRAINING, (ShutdownAction.STOP_ACCEPTING,)
        ),
        (ShutdownState.DRAINING, ShutdownEvent.IDLE): Transition(
            ShutdownState.STOPPED, (ShutdownAction.CLOSE_CONNECTIONS,)
        ),
        (ShutdownState.DRAINING, ShutdownEvent.DEADLINE_REACHED): Transition(
            ShutdownState.RESPONDING, (ShutdownAction.CANCEL_ATTEMPTS,)
        ),
        # A second signal comes from an operator who will wait no longer.
        (ShutdownState.DRAINING, ShutdownEvent.REQUESTED): Transition(
            ShutdownState.RESPONDING, (ShutdownAction.CANCEL_ATTEMPTS,)
        ),
        (ShutdownState.RESPONDING, ShutdownEvent.IDLE): Transition(
            ShutdownState.STOPPED, (ShutdownAction.CLOSE_CONNECTIONS,)
        ),
        (ShutdownState.RESPONDING, ShutdownEvent.DEADLINE_REACHED): Transition(
            ShutdownState.STOPPED, (ShutdownAction.CLOSE_CONNECTIONS,)
        ),
        (ShutdownState.RESPONDING, ShutdownEvent.REQUESTED): Transition(
            ShutdownState.STOPPED, (ShutdownAction.CLOSE_CONNECTIONS,)
        ),
    },
    unlisted=Unlisted.IGNORE,
)

# The fraction of the time limit at which a state ends; the other states have no time.
_END_FRACTIONS = {ShutdownState.DRAINING: 1 - RESPONSE_FRACTION, ShutdownState.RESPONDING: 1.0}


@dataclass(slots=True)
class GracefulShutdown:
    """The shutdown of one front, which may take `stop_us`; times in microseconds."""

    time_limit_us: int
    state: ShutdownState = ShutdownState.RUNNING
    requested_us: int = 0  # when it was requested

    def apply(self, event: ShutdownEvent, now_us: int) -> tuple[ShutdownAction, ...]:
        """Apply an event; the actions to carry out, in order. An event out of place changes nothing."""
        transition = TRANSITIONS.apply(self.state, event)
        if self.state is ShutdownState.RUNNING and event is ShutdownEvent.REQUESTED:
            self.requested_us = now_us
        self.state = transition.state
        return transition.actions

    def remaining_us(self, now_us: int) -> int:
        """How long the current state may still take."""
        end_us = self.requested_us + round(self.time_limit_us * _END_FRACTIONS.get(self.state, 0.0))
        return max(0, end_us - now_us)
