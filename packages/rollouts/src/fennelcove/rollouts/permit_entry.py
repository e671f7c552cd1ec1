"""A grantor's entry for one place: the request that it is promised to, and the state of that promise."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.rollouts.messages import PermitRequest
from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class PermitState(Enum):
    """The state of a place at one grantor."""

    FREE = auto()
    PROMISED = auto()  # the requester may still be counting votes
    GRANTED = auto()  # the requester has its permit, or may have it
    UNKNOWN = auto()  # the previous incarnation may have promised it
    WRITTEN_OFF = auto()  # an operator excluded it until it is observed to serve


class PermitEvent(Enum):
    """Events that change the state of a place."""

    PROMISED = auto()
    SETTLED = auto()  # the requester has its majority, or no longer counts votes
    RELEASED = auto()  # the request is released, or the place serves again
    SEEN_SERVING = auto()  # observed after any permitted drain would have become visible
    WRITTEN_OFF = auto()


TRANSITIONS: TransitionTable[PermitState, PermitEvent, None] = TransitionTable(
    {
        **{(state, PermitEvent.PROMISED): Transition(PermitState.PROMISED) for state in PermitState},
        **{(state, PermitEvent.WRITTEN_OFF): Transition(PermitState.WRITTEN_OFF) for state in PermitState},
        (PermitState.PROMISED, PermitEvent.SETTLED): Transition(PermitState.GRANTED),
        (PermitState.PROMISED, PermitEvent.RELEASED): Transition(PermitState.FREE),
        (PermitState.GRANTED, PermitEvent.RELEASED): Transition(PermitState.FREE),
        (PermitState.GRANTED, PermitEvent.SEEN_SERVING): Transition(PermitState.FREE),
        (PermitState.UNKNOWN, PermitEvent.SEEN_SERVING): Transition(PermitState.FREE),
        (PermitState.WRITTEN_OFF, PermitEvent.SEEN_SERVING): Transition(PermitState.FREE),
    },
    unlisted=Unlisted.IGNORE,
)
PROMISED_STATES = (PermitState.PROMISED, PermitState.GRANTED)
OCCUPIED_STATES = (PermitState.PROMISED, PermitState.GRANTED, PermitState.UNKNOWN)


@dataclass(slots=True)
class PermitEntry:
    """A place at one grantor, with the request that it is promised to."""

    state: PermitState
    requester: int = 0  # index of the requesting front
    incarnation: int = 0  # of the requester
    request_number: int = 0
    since_us: int = 0  # when it was promised or written off, or this incarnation began

    def is_for(self, requester: int, request: PermitRequest) -> bool:
        """Return whether the entry belongs to this request of this front."""
        same_front = (self.requester, self.incarnation) == (requester, request.incarnation)
        return same_front and self.request_number == request.number
