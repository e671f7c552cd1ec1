"""State machines of a drain and of each client that is being drained."""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class DrainState(Enum):
    """The state of a drain."""

    OPEN = auto()  # accepts sessions: the drain has not begun, or was cancelled
    CLOSING = auto()  # some clients have not been notified yet
    EMPTYING = auto()  # all clients have been notified; some are still connected
    EMPTY = auto()  # no client is connected


class DrainEvent(Enum):
    """Events that change the state of a drain."""

    BEGIN = auto()
    ALL_NOTIFIED = auto()
    RETRY_QUEUED = auto()  # a notified client could not leave and will be notified again
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
    """The state of a client of the draining front or server."""

    PRESENT = auto()
    NOTIFIED = auto()  # was asked to leave, or its session is being moved
    GONE = auto()  # left, moved or disconnected


class ClientEvent(Enum):
    """Events that change the state of a client."""

    NOTIFIED = auto()
    FAILED = auto()  # the notification or the move failed
    LEFT = auto()
    DEADLINE_PASSED = auto()


class DrainAction(Enum):
    """Actions that the caller carries out for a client or a pending request."""

    NOTIFY = auto()  # ask a client to reconnect elsewhere (drain of a front)
    MOVE = auto()  # move a session to another server (drain of a server)
    CLOSE = auto()  # close the client's connection
    REJECT = auto()  # reject a pending request


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
