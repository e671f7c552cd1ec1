"""Graceful shutdown of a front: no new work, a response to every pending request, and a time limit.

Sessions continue at their servers. Pending requests may use the remaining time, less the part that is
reserved for their responses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted

# The fraction of the time limit that is reserved for responses after the last attempt is cancelled.
RESPONSE_FRACTION = 0.25


class ShutdownState(Enum):
    """The progress of the shutdown."""

    RUNNING = auto()
    DRAINING = auto()  # no new work, attempts in flight may complete
    RESPONDING = auto()  # attempts are cancelled, responses are sent
    STOPPED = auto()


class ShutdownEvent(Enum):
    """An event that advances the shutdown."""

    REQUESTED = auto()  # by a signal or an operator
    IDLE = auto()  # no response is pending any more
    DEADLINE_REACHED = auto()  # the time limit of the state


class ShutdownAction(Enum):
    """An action that the caller carries out."""

    STOP_ACCEPTING = auto()
    CANCEL_ATTEMPTS = auto()  # those in flight
    CLOSE_CONNECTIONS = auto()  # all of them


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
        # A second signal comes from an operator who does not want to wait any longer.
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

# The fraction of the time limit at which a state ends; the other states have no time limit.
_END_FRACTIONS = {ShutdownState.DRAINING: 1 - RESPONSE_FRACTION, ShutdownState.RESPONDING: 1.0}


@dataclass(slots=True)
class GracefulShutdown:
    """The shutdown of one front within a time limit; times in microseconds."""

    time_limit_us: int
    state: ShutdownState = ShutdownState.RUNNING
    requested_us: int = 0  # when it was requested

    def apply(self, event: ShutdownEvent, now_us: int) -> tuple[ShutdownAction, ...]:
        """Apply an event; return the actions to carry out, in order. An unexpected event changes nothing."""
        transition = TRANSITIONS.apply(self.state, event)
        if self.state is ShutdownState.RUNNING and event is ShutdownEvent.REQUESTED:
            self.requested_us = now_us
        self.state = transition.state
        return transition.actions

    def remaining_us(self, now_us: int) -> int:
        """How long the current state may still last."""
        end_us = self.requested_us + round(self.time_limit_us * _END_FRACTIONS.get(self.state, 0.0))
        return max(0, end_us - now_us)
