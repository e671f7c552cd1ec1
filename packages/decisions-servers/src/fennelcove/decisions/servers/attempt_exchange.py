"""What one join's exchange with a box proves: from each socket event to an outcome of the interface.

Only what provably never reached the box whole counts as never run (rule 2): a connection never made, a
request of which the last byte was never handed to the kernel, and the box's own word. Everything after that
may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.interface import Effect, Outcome


class ExchangeState(Enum):
    """How far the exchange has come."""

    CONNECTING = auto()
    WRITING = auto()
    WAITING = auto()  # the whole request is out, no byte has come back
    READING = auto()
    COMPLETED = auto()


class ExchangeEvent(Enum):
    """What the socket showed."""

    CONNECTED = auto()
    REFUSED = auto()  # refused, unreachable, or no descriptor left
    WROTE = auto()  # the last byte was handed over
    BYTES = auto()  # first bytes of an answer
    CLOSED = auto()  # closed or reset by the box
    TIMED_OUT = auto()
    GARBAGE = auto()  # an answer that is no HTTP
    STARTED = auto()  # the box plays
    TURNED_AWAY = auto()  # the box says that it never looked at it
    ERROR = auto()  # any other answer


Row = tuple[ExchangeState, Outcome | None]

_ANSWERS: dict[ExchangeEvent, Row] = {
    ExchangeEvent.STARTED: (ExchangeState.COMPLETED, Outcome.SERVED),
    ExchangeEvent.TURNED_AWAY: (ExchangeState.COMPLETED, Outcome.TURNED_AWAY),
    ExchangeEvent.ERROR: (ExchangeState.COMPLETED, Outcome.SERVER_ERROR),
    ExchangeEvent.GARBAGE: (ExchangeState.COMPLETED, Outcome.SERVER_ERROR),
}

TRANSITIONS: dict[tuple[ExchangeState, ExchangeEvent], Row] = {
    (ExchangeState.CONNECTING, ExchangeEvent.CONNECTED): (ExchangeState.WRITING, None),
    (ExchangeState.CONNECTING, ExchangeEvent.REFUSED): (ExchangeState.COMPLETED, Outcome.NO_CONNECTION),
    (ExchangeState.CONNECTING, ExchangeEvent.TIMED_OUT): (ExchangeState.COMPLETED, Outcome.NO_CONNECTION),
    (ExchangeState.CONNECTING, ExchangeEvent.CLOSED): (ExchangeState.COMPLETED, Outcome.NO_CONNECTION),
    (ExchangeState.WRITING, ExchangeEvent.WROTE): (ExchangeState.WAITING, None),
    # The box has at most a part of the request, whose framing tells it so: it can't have acted on it.
    (ExchangeState.WRITING, ExchangeEvent.CLOSED): (ExchangeState.COMPLETED, Outcome.NO_CONNECTION),
    (ExchangeState.WRITING, ExchangeEvent.TIMED_OUT): (ExchangeState.COMPLETED, Outcome.NO_CONNECTION),
    (ExchangeState.WAITING, ExchangeEvent.BYTES): (ExchangeState.READING, None),
    (ExchangeState.WAITING, ExchangeEvent.CLOSED): (ExchangeState.COMPLETED, Outcome.CONNECTION_LOST),
    (ExchangeState.WAITING, ExchangeEvent.TIMED_OUT): (ExchangeState.COMPLETED, Outcome.NO_ANSWER),
    (ExchangeState.READING, ExchangeEvent.CLOSED): (ExchangeState.COMPLETED, Outcome.CONNECTION_LOST),
    (ExchangeState.READING, ExchangeEvent.TIMED_OUT): (ExchangeState.COMPLETED, Outcome.NO_ANSWER),
    **{(ExchangeState.READING, seen): row for seen, row in _ANSWERS.items()},
    (ExchangeState.WAITING, ExchangeEvent.GARBAGE): _ANSWERS[ExchangeEvent.GARBAGE],
}


class Exchange:
    """One join on its way."""

    def __init__(self) -> None:
        self.state = ExchangeState.CONNECTING
        self.outcome: Outcome | None = None

    def see(self, seen: ExchangeEvent) -> Outcome | None:
        """Move on by what the socket showed; the outcome once there is one."""
        row = TRANSITIONS.get((self.state, seen))
        if row is not None:
            self.state, self.outcome = row
        return self.outcome


def may_need_release(outcome: Outcome) -> bool:
    """Whether the box may hold something for a join that ended so."""
    return outcome in (
        Outcome.SERVED,
        Outcome.SERVER_ERROR,
        Outcome.NO_ANSWER,
        Outcome.CONNECTION_LOST,
        Outcome.CALLED_OFF,
    )


def may_reuse_connection(effect: Effect) -> bool:
    """Whether a kept connection may carry this join.

    A kept connection can be closed by the box in the instant of writing, and then nobody knows whether the
    join ran. That costs a free or guarded room type a repeat; a single-shot one would be lost to its viewer.
    """
    return effect is not Effect.SINGLE_SHOT


@dataclass(frozen=True, slots=True)
class AttemptTimeouts:
    """Limits of one join's parts, each from its start, in microseconds."""

    connect_us: int
    first_byte_us: int
    whole_us: int


def attempt_timeouts(allow_us: int) -> AttemptTimeouts:
    """The parts of a join's allowance.

    Half for the connection: on the networks that a front serves a connection that takes longer is one that
    will not come, and failing it early proves that nothing ran. An eighth is left between the first byte and
    the last.
    """
    whole_us = max(1, allow_us)
    return AttemptTimeouts(max(1, whole_us // 2), max(1, whole_us - whole_us // 8), whole_us)
