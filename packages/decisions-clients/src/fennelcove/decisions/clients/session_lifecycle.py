"""The life of one subscription at the door: who is owed an answer, and what follows from each thing that
happens.

The module decides where a subscription goes; this table decides that it is answered exactly once, that what a
box began for nobody is released, and what the module is told. It has the door's half of rules 1 and 2.
"""

from __future__ import annotations

from enum import Enum, auto


class SessionState(Enum):
    """Where a subscription stands at the door."""

    ASKED = auto()  # an answer is owed, no join is out
    JOINING = auto()  # an answer is owed, one join is out
    PLAYING = auto()  # answered; a box plays it
    ABANDONED = auto()  # nobody waits any more, one join is out
    ENDED = auto()


class SessionEvent(Enum):
    """What happens to a subscription."""

    JOIN = auto()  # the module: send a join
    THROTTLE = auto()  # the module: a refusal is safe
    TERMINATE = auto()  # the module: an error, a refusal would not be safe
    SERVED = auto()  # the box began to play, in time
    SERVED_LATE = auto()  # the box began to play when its join had been given up
    FAILED = auto()  # the join ended otherwise
    VIEWER_GONE = auto()  # the viewer hung up
    RELEASED = auto()  # the viewer, its box or its silence ended it
    BOX_LOST = auto()  # its box is gone, or knows it no more
    STOPPED = auto()  # this front ends and can wait no longer


class SessionAction(Enum):
    """What the core does about it, in order."""

    SEND_JOIN = auto()
    ANSWER_PLAYING = auto()
    ANSWER_THROTTLED = auto()
    ANSWER_TERMINATED = auto()
    ANSWER_STOPPED = auto()
    TELL_STARTED = auto()
    TELL_FAILED = auto()
    TELL_FINISHED = auto()
    TELL_LOST = auto()
    TELL_GONE = auto()
    RELEASE_BOX = auto()
    FORGET = auto()


RESPONSES = frozenset(
    {
        SessionAction.ANSWER_PLAYING,
        SessionAction.ANSWER_THROTTLED,
        SessionAction.ANSWER_TERMINATED,
        SessionAction.ANSWER_STOPPED,
    }
)

Row = tuple[SessionState, tuple[SessionAction, ...]]

TRANSITIONS: dict[tuple[SessionState, SessionEvent], Row] = {
    (SessionState.ASKED, SessionEvent.JOIN): (SessionState.JOINING, (SessionAction.SEND_JOIN,)),
    (SessionState.ASKED, SessionEvent.THROTTLE): (
        SessionState.ENDED,
        (SessionAction.ANSWER_THROTTLED, SessionAction.FORGET),
    ),
    (SessionState.ASKED, SessionEvent.TERMINATE): (
        SessionState.ENDED,
        (SessionAction.ANSWER_TERMINATED, SessionAction.FORGET),
    ),
    (SessionState.JOINING, SessionEvent.SERVED): (
        SessionState.PLAYING,
        (SessionAction.TELL_STARTED, SessionAction.ANSWER_PLAYING),
    ),
    # The box plays for a join that no longer counts: taken back before another join goes out.
    (SessionState.JOINING, SessionEvent.SERVED_LATE): (
        SessionState.ASKED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FAILED),
    ),
    (SessionState.JOINING, SessionEvent.FAILED): (
        SessionState.ASKED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FAILED),
    ),
    (SessionState.JOINING, SessionEvent.VIEWER_GONE): (SessionState.ABANDONED, (SessionAction.TELL_GONE,)),
    (SessionState.JOINING, SessionEvent.STOPPED): (
        SessionState.ABANDONED,
        (SessionAction.ANSWER_STOPPED, SessionAction.TELL_GONE),
    ),
    # Nobody watches: what the box began would hold a place until its own limit.
    (SessionState.ABANDONED, SessionEvent.SERVED): (
        SessionState.ENDED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FINISHED, SessionAction.FORGET),
    ),
    (SessionState.ABANDONED, SessionEvent.SERVED_LATE): (
        SessionState.ENDED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FINISHED, SessionAction.FORGET),
    ),
    (SessionState.ABANDONED, SessionEvent.FAILED): (
        SessionState.ENDED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FINISHED, SessionAction.FORGET),
    ),
    (SessionState.PLAYING, SessionEvent.RELEASED): (
        SessionState.ENDED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FINISHED, SessionAction.FORGET),
    ),
    (SessionState.PLAYING, SessionEvent.VIEWER_GONE): (
        SessionState.ENDED,
        (SessionAction.RELEASE_BOX, SessionAction.TELL_FINISHED, SessionAction.FORGET),
    ),
    # A box that lost it needs no release; one that is only out of reach ends it by its own limit.
    (SessionState.PLAYING, SessionEvent.BOX_LOST): (
        SessionState.ENDED,
        (SessionAction.TELL_LOST, SessionAction.FORGET),
    ),
}


def transition(stage: SessionState, event: SessionEvent) -> Row:
    """The next stage and what to do; a cue that comes too late or twice changes nothing."""
    return TRANSITIONS.get((stage, event), (stage, ()))


# A tenth of the client's own time-out is kept for the answer's way back, as a tenth of every size is held
# back.
RESPONSE_RESERVE_FRACTION = 0.1


def time_to_answer_us(client_timeout_us: int) -> int:
    """How long the front may work on a request whose viewer waits so long."""
    return max(1, round(client_timeout_us * (1 - RESPONSE_RESERVE_FRACTION)))


def honest_timeout_us(stated_us: int | None, room_timeout_us: int) -> int:
    """The client timeout that counts: what the viewer states, its room type's at most, or that where it is
    silent."""
    return room_timeout_us if stated_us is None else max(1, min(stated_us, room_timeout_us))
