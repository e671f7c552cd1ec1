"""The states of a drain and of each client in it, with their transitions."""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class DrainState(Enum):
    """The state of a drain."""

    OPEN = auto()  # not begun, or cancelled
    CLOSING = auto()  # some clients have not been notified
    EMPTYING = auto()  # all clients have been notified, some are still present
    EMPTY = auto()


class DrainEvent(Enum):
    """What changes the state of a drain."""

    BEGIN = auto()
    ALL_NOTIFIED = auto()
    RETRY_QUEUED = auto()  # a client that was notified could not leave
    LAST_GONE = auto()
    CANCELLED = auto()


DRAIN_TRANSITIONS: TransitionTable[DrainState, DrainEvent, None] = TransitionTable(
    {
        (DrainState.OPEN, DrainEvent.BEGIN): Transition(DrainState.CLOSING),
        (DrainState.CLOSING, DrainEvent.ALL_NOTIFIED): Transition(DrainState.EMPTYING),
        (DrainState.EMPTYING, DrainEvent.RETRY_QUEUED): Transition(DrainState.CLOSING),
        (DrainState.CLOSING, DrainEvent.LAST_GONE): Transition(DrainState.EMPTY),
        (DrainState.EMPTYING, DrainEvent.LAST_GONE): Transition(DrainState.EMPTY),
        **{(state, DrainEvent.CANCELLED): Transition(DrainState.OPEN) for state in DrainState},
    },
    unlisted=Unlisted.IGNORE,
)


class ClientState(Enum):
    """The state of a client of the front or server that drains."""

    PRESENT = auto()
    NOTIFIED = auto()  # to leave, or its move is under way
    GONE = auto()  # left, moved or closed


class ClientEvent(Enum):
    """What happens to a client."""

    NOTIFIED = auto()
    FAILED = auto()  # it could not be notified, or its move failed
    LEFT = auto()
    DEADLINE_PASSED = auto()


class DrainAction(Enum):
    """What is to be done with a client or a request."""

    NOTIFY = auto()  # ask the client of a front to reconnect elsewhere
    MOVE = auto()  # move the session of a server
    CLOSE = auto()
    REJECT = auto()  # a pending request


CLIENT_TRANSITIONS: TransitionTable[ClientState, ClientEvent, DrainAction] = TransitionTable(
    {
        (ClientState.PRESENT, ClientEvent.NOTIFIED): Transition(ClientState.NOTIFIED, (DrainAction.NOTIFY,)),
        (ClientState.PRESENT, ClientEvent.LEFT): Transition(ClientState.GONE),
        (ClientState.PRESENT, ClientEvent.DEADLINE_PASSED): Transition(
            ClientState.GONE, (DrainAction.CLOSE,)
        ),
        (ClientState.NOTIFIED, ClientEvent.FAILED): Transition(ClientState.PRESENT),
        (ClientState.NOTIFIED, ClientEvent.LEFT): Transition(ClientState.GONE),
        (ClientState.NOTIFIED, ClientEvent.DEADLINE_PASSED): Transition(
            ClientState.GONE, (DrainAction.CLOSE,)
        ),
    },
    unlisted=Unlisted.IGNORE,
)
