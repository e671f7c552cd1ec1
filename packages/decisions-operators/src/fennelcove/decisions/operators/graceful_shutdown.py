"""How a front ends: nothing new, everything held is answered, and by a stated time it is over.

What plays goes on at its boxes; what waits is given the time that is left, less what its answer needs.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

RESPONSE_FRACTION = 0.25  # of the time to stop, kept for answers after the last join is given up


class ShutdownState(Enum):
    """How far the end has come."""

    RUNNING = auto()
    DRAINING = auto()  # nothing new, joins that are out may end
    RESPONDING = auto()  # joins are given up, answers go out
    OVER = auto()


class ShutdownEvent(Enum):
    """What moves it on."""

    ASKED = auto()  # a signal, or an operator
    IDLE = auto()  # nobody waits for an answer any more
    TIME = auto()  # this phase's time is up


class ShutdownAction(Enum):
    """What follows."""

    STOP_ACCEPTING = auto()
    GIVE_UP_JOINS = auto()
    CLOSE_ALL = auto()


TRANSITIONS: dict[tuple[ShutdownState, ShutdownEvent], tuple[ShutdownState, tuple[ShutdownAction, ...]]] = {
    (ShutdownState.RUNNING, ShutdownEvent.ASKED): (ShutdownState.DRAINING, (ShutdownAction.STOP_ACCEPTING,)),
    (ShutdownState.DRAINING, ShutdownEvent.IDLE): (ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)),
    (ShutdownState.DRAINING, ShutdownEvent.TIME): (ShutdownState.RESPONDING, (ShutdownAction.GIVE_UP_JOINS,)),
    # A second signal is an operator who will wait no longer.
    (ShutdownState.DRAINING, ShutdownEvent.ASKED): (
        ShutdownState.RESPONDING,
        (ShutdownAction.GIVE_UP_JOINS,),
    ),
    (ShutdownState.RESPONDING, ShutdownEvent.IDLE): (ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)),
    (ShutdownState.RESPONDING, ShutdownEvent.TIME): (ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)),
    (ShutdownState.RESPONDING, ShutdownEvent.ASKED): (ShutdownState.OVER, (ShutdownAction.CLOSE_ALL,)),
}


@dataclass(slots=True)
class GracefulShutdown:
    """The end of one front; times in microseconds."""

    stop_us: int
    phase: ShutdownState = ShutdownState.RUNNING
    asked_us: int = 0

    def apply(self, event: ShutdownEvent, now_us: int) -> tuple[ShutdownAction, ...]:
        """Move on; what follows, in order."""
        row = TRANSITIONS.get((self.phase, event))
        if row is None:
            return ()
        if self.phase is ShutdownState.RUNNING:
            self.asked_us = now_us
        self.phase, acts = row
        return acts

    def left_us(self, now_us: int) -> int:
        """How long this phase may still take."""
        share = {ShutdownState.DRAINING: 1 - RESPONSE_FRACTION, ShutdownState.RESPONDING: 1.0}.get(
            self.phase, 0.0
        )
        return max(0, self.asked_us + round(self.stop_us * share) - now_us)
