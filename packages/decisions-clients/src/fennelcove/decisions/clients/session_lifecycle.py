"""The life cycle of one session at the front: which response is pending, and what follows from each event.

The placement policy decides where a session is placed. This table decides that its client gets exactly one
response, that whatever a server began for nobody is released, and what the policy is notified of. It is the
front's half of the policy's rules 1 and 2.
"""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class SessionState(Enum):
    """The state of a session at the front."""

    ASKED = auto()  # a response is pending, no attempt is in flight
    JOINING = auto()  # a response is pending, one attempt is in flight
    PLAYING = auto()  # established: responded to, and played by a server
    ABANDONED = auto()  # nobody waits any more, one attempt is in flight
    ENDED = auto()


class SessionEvent(Enum):
    """What happens to a session."""

    JOIN = auto()  # the policy: start an attempt
    THROTTLE = auto()  # the policy: reject the set-up, which is safe
    TERMINATE = auto()  # the policy: fail the set-up, since a rejection would not be safe
    SERVED = auto()  # the server began to play, in time
    SERVED_LATE = auto()  # the server began to play after its attempt had been given up
    FAILED = auto()  # the attempt ended otherwise
    VIEWER_GONE = auto()  # the client disconnected
    RELEASED = auto()  # released by the client or its server, or expired
    BOX_LOST = auto()  # its server is gone, or no longer knows the session
    STOPPED = auto()  # this front stops and can wait no longer


class SessionAction(Enum):
    """What the core carries out, in order."""

    SEND_JOIN = auto()
    ANSWER_PLAYING = auto()
    ANSWER_THROTTLED = auto()
    ANSWER_TERMINATED = auto()
    ANSWER_STOPPED = auto()
    TELL_STARTED = auto()  # notify the policy: the attempt was served
    TELL_FAILED = auto()  # notify the policy: the attempt failed
    TELL_FINISHED = auto()  # notify the policy: the session has finished
    TELL_LOST = auto()  # notify the policy: its server was lost
    TELL_GONE = auto()  # notify the policy: its client is gone
    RELEASE_BOX = auto()
    FORGET = auto()  # discard the session


RESPONSES = frozenset(
    {
        SessionAction.ANSWER_PLAYING,
        SessionAction.ANSWER_THROTTLED,
        SessionAction.ANSWER_TERMINATED,
        SessionAction.ANSWER_STOPPED,
    }
)

_REJECT = (SessionAction.ANSWER_THROTTLED, SessionAction.FORGET)
_FAIL = (SessionAction.ANSWER_TERMINATED, SessionAction.FORGET)
_GIVE_UP_ATTEMPT = (SessionAction.RELEASE_BOX, SessionAction.TELL_FAILED)
_FINISH = (SessionAction.RELEASE_BOX, SessionAction.TELL_FINISHED, SessionAction.FORGET)
_LOSE = (SessionAction.TELL_LOST, SessionAction.FORGET)

TRANSITIONS: TransitionTable[SessionState, SessionEvent, SessionAction] = TransitionTable(
    {
        (SessionState.ASKED, SessionEvent.JOIN): Transition(SessionState.JOINING, (SessionAction.SEND_JOIN,)),
        (SessionState.ASKED, SessionEvent.THROTTLE): Transition(SessionState.ENDED, _REJECT),
        (SessionState.ASKED, SessionEvent.TERMINATE): Transition(SessionState.ENDED, _FAIL),
        (SessionState.JOINING, SessionEvent.SERVED): Transition(
            SessionState.PLAYING, (SessionAction.TELL_STARTED, SessionAction.ANSWER_PLAYING)
        ),
        # The server plays for an attempt that no longer counts: released before another attempt starts.
        (SessionState.JOINING, SessionEvent.SERVED_LATE): Transition(SessionState.ASKED, _GIVE_UP_ATTEMPT),
        (SessionState.JOINING, SessionEvent.FAILED): Transition(SessionState.ASKED, _GIVE_UP_ATTEMPT),
        (SessionState.JOINING, SessionEvent.VIEWER_GONE): Transition(
            SessionState.ABANDONED, (SessionAction.TELL_GONE,)
        ),
        (SessionState.JOINING, SessionEvent.STOPPED): Transition(
            SessionState.ABANDONED, (SessionAction.ANSWER_STOPPED, SessionAction.TELL_GONE)
        ),
        # Nobody plays it: what the server began would hold capacity until the server's own time limit.
        (SessionState.ABANDONED, SessionEvent.SERVED): Transition(SessionState.ENDED, _FINISH),
        (SessionState.ABANDONED, SessionEvent.SERVED_LATE): Transition(SessionState.ENDED, _FINISH),
        (SessionState.ABANDONED, SessionEvent.FAILED): Transition(SessionState.ENDED, _FINISH),
        (SessionState.PLAYING, SessionEvent.RELEASED): Transition(SessionState.ENDED, _FINISH),
        (SessionState.PLAYING, SessionEvent.VIEWER_GONE): Transition(SessionState.ENDED, _FINISH),
        # A server that lost it needs no release; one that is only unreachable ends it by its own time limit.
        (SessionState.PLAYING, SessionEvent.BOX_LOST): Transition(SessionState.ENDED, _LOSE),
    },
    unlisted=Unlisted.IGNORE,
)

# A tenth of the client's time-out is kept for the response's way back, as a tenth of every size is held back.
RESPONSE_RESERVE_FRACTION = 0.1


def transition(state: SessionState, event: SessionEvent) -> tuple[SessionState, tuple[SessionAction, ...]]:
    """The next state and the actions to carry out; an event that is late or repeated changes nothing."""
    found = TRANSITIONS.apply(state, event)
    return found.state, found.actions


def time_to_answer_us(client_timeout_us: int) -> int:
    """How long the front may work on a request whose client waits so long."""
    return max(1, round(client_timeout_us * (1 - RESPONSE_RESERVE_FRACTION)))


def honest_timeout_us(stated_us: int | None, service_class_timeout_us: int) -> int:
    """The client time-out that counts: the stated one, up to that of the service class; else the latter."""
    if stated_us is None:
        return service_class_timeout_us
    return max(1, min(stated_us, service_class_timeout_us))
