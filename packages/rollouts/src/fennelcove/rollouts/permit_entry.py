"""The state of one place in a grantor's book: which request it is promised to, and how far that is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.rollouts.messages import PermitRequest
from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class PermitState(Enum):
    """What a grantor holds of a place."""

    FREE = auto()
    PROMISED = auto()  # the requester may still be counting votes
    GRANTED = auto()  # the requester has its permit, or may have
    UNKNOWN = auto()  # this incarnation does not know what the previous one promised
    WRITTEN_OFF = auto()  # does not count until it is observed to serve


class PermitEvent(Enum):
    """What happens to a place."""

    PROMISED = auto()
    SETTLED = auto()  # the requester has its majority, or no longer counts votes
    RELEASED = auto()  # the request is released, or the place has returned
    SEEN_SERVING = auto()  # by an observation that is later than any drain that may have been permitted
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
    """A place in a grantor's book, with the request that it is promised to."""

    state: PermitState
    requester: int = 0  # index of the front
    incarnation: int = 0  # of the requester
    request_number: int = 0
    since_us: int = 0  # when it was promised or written off, or this incarnation began

    def is_for(self, requester: int, request: PermitRequest) -> bool:
        """Whether it is promised to this very request."""
        same_front = (self.requester, self.incarnation) == (requester, request.incarnation)
        return same_front and self.request_number == request.number
