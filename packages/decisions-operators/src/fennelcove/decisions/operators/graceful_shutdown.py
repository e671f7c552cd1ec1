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
    OVER = auto()  # stopped


class ShutdownEvent(Enum):
    """What advances it."""

    ASKED = auto()  # requested, by a signal or an operator
    IDLE = auto()  # no response is pending any more
    TIME = auto()  # the time limit of the state is reached


class ShutdownAction(Enum):
    """What the caller carries out."""

    STOP_ACCEPTING = auto()
    GIVE_UP_JOINS = auto()  # cancel the attempts in flight
    CLOSE_ALL = auto()  # close all connections


TRANSITIONS: TransitionTable[ShutdownState, ShutdownEvent, ShutdownAction] = TransitionTable(
    {
        (ShutdownState.RUNNING, ShutdownEvent.ASKED): Transition(
            ShutdownState.DRAINING, (ShutdownAction.STOP_ACCEPTING,)
        ),
        (ShutdownState.DRAINING, ShutdownEvent.IDLE): Transition(
            ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)
        ),
        (ShutdownState.DRAINING, ShutdownEvent.TIME): Transition(
            ShutdownState.RESPONDING, (ShutdownAction.GIVE_UP_JOINS,)
        ),
        # A second signal comes from an operator who will wait no longer.
        (ShutdownState.DRAINING, ShutdownEvent.ASKED): Transition(
            ShutdownState.RESPONDING, (ShutdownAction.GIVE_UP_JOINS,)
        ),
        (ShutdownState.RESPONDING, ShutdownEvent.IDLE): Transition(
            ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)
        ),
        (ShutdownState.RESPONDING, ShutdownEvent.TIME): Transition(
            ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)
        ),
        (ShutdownState.RESPONDING, ShutdownEvent.ASKED): Transition(
            ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)
        ),
    },
    unlisted=Unlisted.IGNORE,
)

# The fraction of the time limit at which a state ends; the other states have no time.
_END_FRACTIONS = {ShutdownState.DRAINING: 1 - RESPONSE_FRACTION, ShutdownState.RESPONDING: 1.0}


@dataclass(slots=True)
class GracefulShutdown:
    """The shutdown of one front, which may take `stop_us`; times in microseconds."""

    stop_us: int
    phase: ShutdownState = ShutdownState.RUNNING
    asked_us: int = 0  # when it was requested

    def apply(self, event: ShutdownEvent, now_us: int) -> tuple[ShutdownAction, ...]:
        """Apply an event; the actions to carry out, in order. An event out of place changes nothing."""
        transition = TRANSITIONS.apply(self.phase, event)
        if self.phase is ShutdownState.RUNNING and event is ShutdownEvent.ASKED:
            self.asked_us = now_us
        self.phase = transition.state
        return transition.actions

    def left_us(self, now_us: int) -> int:
        """How long the current state may still take."""
        end_us = self.asked_us + round(self.stop_us * _END_FRACTIONS.get(self.phase, 0.0))
        return max(0, end_us - now_us)
