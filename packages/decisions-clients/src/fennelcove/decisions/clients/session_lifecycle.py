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

    REQUESTED = auto()  # a response is pending, no attempt is in flight
    ATTEMPTING = auto()  # a response is pending, one attempt is in flight
    ESTABLISHED = auto()  # established: responded to, and played by a server
    ABANDONED = auto()  # nobody waits any more, one attempt is in flight
    CLOSED = auto()


class SessionEvent(Enum):
    """What happens to a session."""

    ATTEMPT_STARTED = auto()  # the policy: start an attempt
    SETUP_REJECTED = auto()  # the policy: reject the set-up, which is safe
    SETUP_FAILED = auto()  # the policy: fail the set-up, since a rejection would not be safe
    ATTEMPT_SERVED = auto()  # the server began to play, in time
    ATTEMPT_SERVED_LATE = auto()  # the server began to play after its attempt had been given up
    ATTEMPT_FAILED = auto()  # the attempt ended otherwise
    CLIENT_DISCONNECTED = auto()  # the client disconnected
    RELEASED = auto()  # released by the client or its server, or expired
    SERVER_LOST = auto()  # its server is gone, or no longer knows the session
    FRONT_STOPPED = auto()  # this front stops and can wait no longer


class SessionAction(Enum):
    """What the core carries out, in order."""

    SEND_ATTEMPT = auto()
    RESPOND_ESTABLISHED = auto()
    RESPOND_REJECTED = auto()
    RESPOND_FAILED = auto()
    RESPOND_STOPPED = auto()
    NOTIFY_POLICY_SERVED = auto()  # notify the policy: the attempt was served
    NOTIFY_POLICY_ATTEMPT_FAILED = auto()  # notify the policy: the attempt failed
    NOTIFY_POLICY_CLOSED = auto()  # notify the policy: the session has finished
    NOTIFY_POLICY_SERVER_LOST = auto()  # notify the policy: its server was lost
    NOTIFY_POLICY_CLIENT_GONE = auto()  # notify the policy: its client is gone
    RELEASE_SERVER = auto()
    DISCARD = auto()  # discard the session


RESPONSES = frozenset(
    {
        SessionAction.RESPOND_ESTABLISHED,
        SessionAction.RESPOND_REJECTED,
        SessionAction.RESPOND_FAILED,
        SessionAction.RESPOND_STOPPED,
    }
)

_REJECT = (SessionAction.RESPOND_REJECTED, SessionAction.DISCARD)
_FAIL = (SessionAction.RESPOND_FAILED, SessionAction.DISCARD)
_GIVE_UP_ATTEMPT = (SessionAction.RELEASE_SERVER, SessionAction.NOTIFY_POLICY_ATTEMPT_FAILED)
_FINISH = (SessionAction.RELEASE_SERVER, SessionAction.NOTIFY_POLICY_CLOSED, SessionAction.DISCARD)
_LOSE = (SessionAction.NOTIFY_POLICY_SERVER_LOST, SessionAction.DISCARD)

TRANSITIONS: TransitionTable[SessionState, SessionEvent, SessionAction] = TransitionTable(
    {
        (SessionState.REQUESTED, SessionEvent.ATTEMPT_STARTED): Transition(
            SessionState.ATTEMPTING, (SessionAction.SEND_ATTEMPT,)
        ),
        (SessionState.REQUESTED, SessionEvent.SETUP_REJECTED): Transition(SessionState.CLOSED, _REJECT),
        (SessionState.REQUESTED, SessionEvent.SETUP_FAILED): Transition(SessionState.CLOSED, _FAIL),
        (SessionState.ATTEMPTING, SessionEvent.ATTEMPT_SERVED): Transition(
            SessionState.ESTABLISHED, (SessionAction.NOTIFY_POLICY_SERVED, SessionAction.RESPOND_ESTABLISHED)
        ),
        # The server plays for an attempt that no longer counts: released before another attempt starts.
        (SessionState.ATTEMPTING, SessionEvent.ATTEMPT_SERVED_LATE): Transition(
            SessionState.REQUESTED, _GIVE_UP_ATTEMPT
        ),
        (SessionState.ATTEMPTING, SessionEvent.ATTEMPT_FAILED): Transition(
            SessionState.REQUESTED, _GIVE_UP_ATTEMPT
        ),
        (SessionState.ATTEMPTING, SessionEvent.CLIENT_DISCONNECTED): Transition(
            SessionState.ABANDONED, (SessionAction.NOTIFY_POLICY_CLIENT_GONE,)
        ),
        (SessionState.ATTEMPTING, SessionEvent.FRONT_STOPPED): Transition(
            SessionState.ABANDONED, (SessionAction.RESPOND_STOPPED, SessionAction.NOTIFY_POLICY_CLIENT_GONE)
        ),
        # Nobody plays it: what the server began would hold capacity until the server's own time limit.
        (SessionState.ABANDONED, SessionEvent.ATTEMPT_SERVED): Transition(SessionState.CLOSED, _FINISH),
        (SessionState.ABANDONED, SessionEvent.ATTEMPT_SERVED_LATE): Transition(SessionState.CLOSED, _FINISH),
        (SessionState.ABANDONED, SessionEvent.ATTEMPT_FAILED): Transition(SessionState.CLOSED, _FINISH),
        (SessionState.ESTABLISHED, SessionEvent.RELEASED): Transition(SessionState.CLOSED, _FINISH),
        (SessionState.ESTABLISHED, SessionEvent.CLIENT_DISCONNECTED): Transition(
            SessionState.CLOSED, _FINISH
        ),
        # A server that lost it needs no release; one that is only unreachable ends it by its own time limit.
        (SessionState.ESTABLISHED, SessionEvent.SERVER_LOST): Transition(SessionState.CLOSED, _LOSE),
    },
    unlisted=Unlisted.IGNORE,
)

# A tenth of the client's time-out is kept for the response's way back, as a tenth of every size is held back.
RESPONSE_RESERVE_FRACTION = 0.1


def transition(state: SessionState, event: SessionEvent) -> tuple[SessionState, tuple[SessionAction, ...]]:
    """The next state and the actions to carry out; an event that is late or repeated changes nothing."""
    found = TRANSITIONS.apply(state, event)
    return found.state, found.actions


def processing_time_us(client_timeout_us: int) -> int:
    """How long the front may work on a request whose client waits so long."""
    return max(1, round(client_timeout_us * (1 - RESPONSE_RESERVE_FRACTION)))


def effective_timeout_us(stated_us: int | None, service_class_timeout_us: int) -> int:
    """The client time-out that counts: the stated one, up to that of the service class; else the latter."""
    if stated_us is None:
        return service_class_timeout_us
    return max(1, min(stated_us, service_class_timeout_us))
