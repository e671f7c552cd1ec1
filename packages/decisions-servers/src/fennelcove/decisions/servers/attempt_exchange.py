"""Derives the outcome of an attempt, as the policy interface defines it, from socket events.

An attempt counts as not executed only if the server provably did not receive the complete request or did not
process it: the connection was not established, the last byte of the request was not passed to the kernel, or
the server rejected the request. In every other case it may have been executed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.interface import Effect, Outcome
from fennelcove.state_machine import Transition, TransitionTable, Unlisted

CONNECT_FRACTION = 2  # divisor: half of the attempt's time may be used for the connection
LAST_BYTES_FRACTION = 8  # divisor: an eighth of it is left between the first and the last response byte


class ExchangeState(Enum):
    """The progress of the exchange."""

    CONNECTING = auto()
    WRITING = auto()
    WAITING = auto()  # the complete request is sent, no byte of the response has arrived
    READING = auto()
    COMPLETED = auto()


class ExchangeEvent(Enum):
    """An event of the socket, or a response."""

    CONNECTED = auto()
    CONNECT_FAILED = auto()  # refused, unreachable, or no file descriptor left
    REQUEST_WRITTEN = auto()  # the last byte of the request was passed to the kernel
    RESPONSE_STARTED = auto()  # the first bytes of a response arrived
    CLOSED = auto()  # closed or reset by the server
    TIMED_OUT = auto()
    MALFORMED_RESPONSE = auto()  # the response is not HTTP
    PLAYBACK_STARTED = auto()  # the server plays
    REJECTED = auto()  # the server rejected the attempt without processing it
    SERVER_ERROR = auto()  # any other response


def _completed(outcome: Outcome) -> Transition[ExchangeState, Outcome]:
    return Transition(ExchangeState.COMPLETED, (outcome,))


# A transition to `COMPLETED` has the outcome of the attempt as its only action.
TRANSITIONS: TransitionTable[ExchangeState, ExchangeEvent, Outcome] = TransitionTable(
    {
        (ExchangeState.CONNECTING, ExchangeEvent.CONNECTED): Transition(ExchangeState.WRITING),
        (ExchangeState.CONNECTING, ExchangeEvent.CONNECT_FAILED): _completed(Outcome.NO_CONNECTION),
        (ExchangeState.CONNECTING, ExchangeEvent.TIMED_OUT): _completed(Outcome.NO_CONNECTION),
        (ExchangeState.CONNECTING, ExchangeEvent.CLOSED): _completed(Outcome.NO_CONNECTION),
        (ExchangeState.WRITING, ExchangeEvent.REQUEST_WRITTEN): Transition(ExchangeState.WAITING),
        # The server has at most a part of the request, as its framing shows, so it can't have executed it.
        (ExchangeState.WRITING, ExchangeEvent.CLOSED): _completed(Outcome.NO_CONNECTION),
        (ExchangeState.WRITING, ExchangeEvent.TIMED_OUT): _completed(Outcome.NO_CONNECTION),
        (ExchangeState.WAITING, ExchangeEvent.RESPONSE_STARTED): Transition(ExchangeState.READING),
        (ExchangeState.WAITING, ExchangeEvent.CLOSED): _completed(Outcome.CONNECTION_LOST),
        (ExchangeState.WAITING, ExchangeEvent.TIMED_OUT): _completed(Outcome.NO_ANSWER),
        (ExchangeState.WAITING, ExchangeEvent.MALFORMED_RESPONSE): _completed(Outcome.SERVER_ERROR),
        (ExchangeState.READING, ExchangeEvent.CLOSED): _completed(Outcome.CONNECTION_LOST),
        (ExchangeState.READING, ExchangeEvent.TIMED_OUT): _completed(Outcome.NO_ANSWER),
        (ExchangeState.READING, ExchangeEvent.PLAYBACK_STARTED): _completed(Outcome.SERVED),
        (ExchangeState.READING, ExchangeEvent.REJECTED): _completed(Outcome.REJECTED),
        (ExchangeState.READING, ExchangeEvent.SERVER_ERROR): _completed(Outcome.SERVER_ERROR),
        (ExchangeState.READING, ExchangeEvent.MALFORMED_RESPONSE): _completed(Outcome.SERVER_ERROR),
    },
    unlisted=Unlisted.IGNORE,
)


class AttemptExchange:
    """The request and response of one attempt."""

    def __init__(self) -> None:
        self.state = ExchangeState.CONNECTING
        self.outcome: Outcome | None = None

    def apply(self, event: ExchangeEvent) -> Outcome | None:
        """Apply an event; return the attempt's outcome, or None while there is none."""
        transition = TRANSITIONS.apply(self.state, event)
        self.state = transition.state
        if transition.actions:
            (self.outcome,) = transition.actions
        return self.outcome


def may_need_release(outcome: Outcome) -> bool:
    """Whether the server may hold resources for an attempt that ended with this outcome."""
    return outcome in (
        Outcome.SERVED,
        Outcome.SERVER_ERROR,
        Outcome.NO_ANSWER,
        Outcome.CONNECTION_LOST,
        Outcome.CANCELLED,
    )


def may_reuse_connection(effect: Effect) -> bool:
    """Whether an attempt may be sent on a pooled connection.

    The server can close a pooled connection at the moment of writing, and then it is unknown whether the
    attempt was executed. For a free or guarded service class that costs a retry; a single-shot attempt could
    not be retried.
    """
    return effect is not Effect.SINGLE_SHOT


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Limits of one attempt, each from its start, in microseconds."""

    connect_us: int
    first_byte_us: int
    total_us: int


def attempt_timeouts(allowed_us: int) -> AttemptTimeouts:
    """Divide the time that an attempt may take.

    Half of it is for the connection: on the networks between fronts and servers, a connection that takes
    longer is not established at all, and an early failure proves that nothing was executed. An eighth is left
    between the first and the last byte of the response.
    """
    total_us = max(1, allowed_us)
    connect_us = max(1, total_us // CONNECT_FRACTION)
    first_byte_us = max(1, total_us - total_us // LAST_BYTES_FRACTION)
    return AttemptTimeouts(connect_us, first_byte_us, total_us)
