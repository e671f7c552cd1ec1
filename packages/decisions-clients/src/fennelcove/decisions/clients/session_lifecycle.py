"""The life cycle of one session at the front: which response is pending, and the actions for each event.

The placement policy decides where a session is placed. This table ensures that its client gets exactly one
response, that sessions which a server started without a client are released, and that the policy is notified.
It is the front's part of the policy's rules 1 and 2.
"""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class SessionState(Enum):
    """The state of a session at the front."""

    REQUESTED = auto()  # a response is pending, no attempt is in flight
    ATTEMPTING = auto()  # a response is pending, one attempt is in flight
    ESTABLISHED = auto()  # the response is sent, and a server plays the session
    ABANDONED = auto()  # no response is pending any more, one attempt is in flight
    CLOSED = auto()


class SessionEvent(Enum):
    """An event of a session."""

    ATTEMPT_STARTED = auto()  # the policy starts an attempt
    SETUP_REJECTED = auto()  # the policy rejects the set-up, which is safe
    SETUP_FAILED = auto()  # the policy fails the set-up, since a rejection would not be safe
    ATTEMPT_SERVED = auto()  # the server started to play in time
    ATTEMPT_SERVED_LATE = auto()  # the server started to play after its attempt had been cancelled
    ATTEMPT_FAILED = auto()  # the attempt ended in any other way
    CLIENT_DISCONNECTED = auto()
    RELEASED = auto()  # by the client or the server, or by expiry
    SERVER_LOST = auto()  # the server is down, or no longer knows the session
    FRONT_STOPPED = auto()  # this front stops and can't wait any longer


class SessionAction(Enum):
    """An action that the core carries out."""

    SEND_ATTEMPT = auto()
    RESPOND_ESTABLISHED = auto()
    RESPOND_REJECTED = auto()
    RESPOND_FAILED = auto()
    RESPOND_STOPPED = auto()
    NOTIFY_POLICY_SERVED = auto()
    NOTIFY_POLICY_ATTEMPT_FAILED = auto()
    NOTIFY_POLICY_CLOSED = auto()
    NOTIFY_POLICY_SERVER_LOST = auto()
    NOTIFY_POLICY_CLIENT_GONE = auto()
    RELEASE_SERVER = auto()  # release the session at its server
    DISCARD = auto()  # discard the front's own state of the session


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
_CANCEL_ATTEMPT = (SessionAction.RELEASE_SERVER, SessionAction.NOTIFY_POLICY_ATTEMPT_FAILED)
_CLOSE = (SessionAction.RELEASE_SERVER, SessionAction.NOTIFY_POLICY_CLOSED, SessionAction.DISCARD)
_SERVER_LOST = (SessionAction.NOTIFY_POLICY_SERVER_LOST, SessionAction.DISCARD)

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
        # The server plays for an attempt that was cancelled: released before another attempt starts.
        (SessionState.ATTEMPTING, SessionEvent.ATTEMPT_SERVED_LATE): Transition(
            SessionState.REQUESTED, _CANCEL_ATTEMPT
        ),
        (SessionState.ATTEMPTING, SessionEvent.ATTEMPT_FAILED): Transition(
            SessionState.REQUESTED, _CANCEL_ATTEMPT
        ),
        (SessionState.ATTEMPTING, SessionEvent.CLIENT_DISCONNECTED): Transition(
            SessionState.ABANDONED, (SessionAction.NOTIFY_POLICY_CLIENT_GONE,)
        ),
        (SessionState.ATTEMPTING, SessionEvent.FRONT_STOPPED): Transition(
            SessionState.ABANDONED, (SessionAction.RESPOND_STOPPED, SessionAction.NOTIFY_POLICY_CLIENT_GONE)
        ),
        # No client plays the session, which would occupy capacity until the server's own time limit.
        (SessionState.ABANDONED, SessionEvent.ATTEMPT_SERVED): Transition(SessionState.CLOSED, _CLOSE),
        (SessionState.ABANDONED, SessionEvent.ATTEMPT_SERVED_LATE): Transition(SessionState.CLOSED, _CLOSE),
        (SessionState.ABANDONED, SessionEvent.ATTEMPT_FAILED): Transition(SessionState.CLOSED, _CLOSE),
        (SessionState.ESTABLISHED, SessionEvent.RELEASED): Transition(SessionState.CLOSED, _CLOSE),
        (SessionState.ESTABLISHED, SessionEvent.CLIENT_DISCONNECTED): Transition(SessionState.CLOSED, _CLOSE),
        # A server that lost the session needs no release; an unreachable one ends it by its own time limit.
        (SessionState.ESTABLISHED, SessionEvent.SERVER_LOST): Transition(SessionState.CLOSED, _SERVER_LOST),
    },
    unlisted=Unlisted.IGNORE,
)

# The part of the client's time-out that is reserved for the transfer of the response.
RESPONSE_RESERVE_FRACTION = 0.1  # the same fraction as the policy reserves of every capacity


def transition(state: SessionState, event: SessionEvent) -> tuple[SessionState, tuple[SessionAction, ...]]:
    """The next state and the actions to carry out, in order; a late or repeated event changes nothing."""
    found = TRANSITIONS.apply(state, event)
    return found.state, found.actions


def processing_time_us(client_timeout_us: int) -> int:
    """How long the front may process a request whose client has this time-out."""
    return max(1, round(client_timeout_us * (1 - RESPONSE_RESERVE_FRACTION)))


def effective_timeout_us(stated_us: int | None, service_class_timeout_us: int) -> int:
    """A client's time-out: the stated one, limited to that of its service class, which is the default."""
    if stated_us is None:
        return service_class_timeout_us
    return max(1, min(stated_us, service_class_timeout_us))
