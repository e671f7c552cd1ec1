"""What failed dials say of what stands at a box that tells nothing of its own.

A refused connection comes from the machine: the process there is gone, and what it held with it. One that is
not made in time says only that the path is silent: a partition looks the same from here, and what stands
behind it stands on. Such a box is given up when the list has dropped it, or once nothing has been heard of it
for as long as an end may go untold.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Never

from fennelcove.state_machine import Transition, TransitionTable, Unlisted

# Of the 8 s in which a viewer must hear of an end, which is no earlier than the last sign of life.
UNCONFIRMED_LOSS_US = 7_000_000


class DialResult(Enum):
    """How a dial ended."""

    MADE = auto()
    REFUSED = auto()
    SILENT = auto()


class EndpointKnowledge(Enum):
    """What else is known of the box."""

    LISTED = auto()  # and heard of before: its path may be cut
    NEVER_REACHED = auto()  # nothing yet that an end could be counted from
    DELISTED = auto()  # the list names it no more


class LossState(Enum):
    """How its dials stand."""

    REACHABLE = auto()
    SUSPECTED = auto()  # one has failed, which may be chance
    REFUSING = auto()
    UNRESPONSIVE = auto()


TRANSITIONS: TransitionTable[LossState, DialResult, Never] = TransitionTable(
    {
        **{(state, DialResult.MADE): Transition(LossState.REACHABLE) for state in LossState},
        (LossState.REACHABLE, DialResult.REFUSED): Transition(LossState.SUSPECTED),
        (LossState.REACHABLE, DialResult.SILENT): Transition(LossState.SUSPECTED),
        (LossState.SUSPECTED, DialResult.REFUSED): Transition(LossState.REFUSING),
        (LossState.SUSPECTED, DialResult.SILENT): Transition(LossState.UNRESPONSIVE),
        (LossState.UNRESPONSIVE, DialResult.REFUSED): Transition(LossState.REFUSING),
        (LossState.REFUSING, DialResult.SILENT): Transition(LossState.UNRESPONSIVE),
    },
    unlisted=Unlisted.IGNORE,
)

# How long after the last sign what stands there is over; None: as soon as the stage is reached.
LOST_STATES: dict[tuple[LossState, EndpointKnowledge], int | None] = {
    **{(LossState.REFUSING, known): None for known in EndpointKnowledge},
    (LossState.UNRESPONSIVE, EndpointKnowledge.DELISTED): None,
    (LossState.UNRESPONSIVE, EndpointKnowledge.NEVER_REACHED): None,
    (LossState.UNRESPONSIVE, EndpointKnowledge.LISTED): UNCONFIRMED_LOSS_US,
}


@dataclass(slots=True)
class ConnectionLossTracker:
    """One box; times in microseconds."""

    state: LossState = LossState.REACHABLE
    last_received_us: int | None = None  # the last sign of life

    def dialled(self, dial: DialResult, now_us: int) -> None:
        """A dial has ended."""
        self.state = TRANSITIONS.apply(self.state, dial).state
        if dial is DialResult.MADE:
            self.last_received_us = now_us

    def heard(self, now_us: int) -> None:
        """Anything has come from there."""
        self.state, self.last_received_us = LossState.REACHABLE, now_us

    def over(self, listed: bool, now_us: int) -> bool:
        """Whether what stands there is to be taken for ended."""
        known = (
            EndpointKnowledge.DELISTED
            if not listed
            else EndpointKnowledge.NEVER_REACHED
            if self.last_received_us is None
            else EndpointKnowledge.LISTED
        )
        if (self.state, known) not in LOST_STATES:
            return False
        after_us = LOST_STATES[self.state, known]
        return after_us is None or self.last_received_us is None or now_us - self.last_received_us >= after_us
