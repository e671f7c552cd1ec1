"""Whether the sessions at a server that reports nothing about them are lost, by how dials to it end.

A refused connection comes from the machine itself: the process there is gone, and its sessions with it. A
connection that is not made in time shows only that the path is silent: behind a partition the sessions may
go on. Such a server's sessions are lost once the endpoint list no longer names it, or once nothing has been
received from it for as long as clients may go without notice of an end.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Never

from fennelcove.state_machine import Transition, TransitionTable, Unlisted

# Of the 8 s within which a client must be notified of an end, counted from the last byte received.
UNCONFIRMED_LOSS_US = 7_000_000


class DialResult(Enum):
    """How a dial ended."""

    CONNECTED = auto()
    REFUSED = auto()
    TIMED_OUT = auto()  # it timed out


class EndpointKnowledge(Enum):
    """What else is known of the server."""

    LISTED = auto()  # listed, and something was received from it before: its path may be cut
    NEVER_REACHED = auto()  # nothing was received that a time could be counted from
    DELISTED = auto()  # the endpoint list no longer names it


class LossState(Enum):
    """What the latest dials show."""

    REACHABLE = auto()
    SUSPECTED = auto()  # one dial has failed, or an open connection has gone silent, which may be chance
    REFUSING = auto()
    UNRESPONSIVE = auto()


TRANSITIONS: TransitionTable[LossState, DialResult, Never] = TransitionTable(
    {
        **{(state, DialResult.CONNECTED): Transition(LossState.REACHABLE) for state in LossState},
        (LossState.REACHABLE, DialResult.REFUSED): Transition(LossState.SUSPECTED),
        (LossState.REACHABLE, DialResult.TIMED_OUT): Transition(LossState.SUSPECTED),
        (LossState.SUSPECTED, DialResult.REFUSED): Transition(LossState.REFUSING),
        (LossState.SUSPECTED, DialResult.TIMED_OUT): Transition(LossState.UNRESPONSIVE),
        (LossState.UNRESPONSIVE, DialResult.REFUSED): Transition(LossState.REFUSING),
        (LossState.REFUSING, DialResult.TIMED_OUT): Transition(LossState.UNRESPONSIVE),
    },
    unlisted=Unlisted.IGNORE,
)

# The states in which sessions are lost, and how long after the last byte received (None: at once).
LOST_AFTER_US: dict[tuple[LossState, EndpointKnowledge], int | None] = {
    **{(LossState.REFUSING, knowledge): None for knowledge in EndpointKnowledge},
    (LossState.UNRESPONSIVE, EndpointKnowledge.DELISTED): None,
    (LossState.UNRESPONSIVE, EndpointKnowledge.NEVER_REACHED): None,
    (LossState.UNRESPONSIVE, EndpointKnowledge.LISTED): UNCONFIRMED_LOSS_US,
}


@dataclass(slots=True)
class ConnectionLossTracker:
    """One server's dials; times in microseconds."""

    state: LossState = LossState.REACHABLE
    last_received_us: int | None = None

    def on_dial_completed(self, result: DialResult, now_us: int) -> None:
        """Record how a dial ended."""
        self.state = TRANSITIONS.apply(self.state, result).state
        if result is DialResult.CONNECTED:
            self.last_received_us = now_us

    def on_keepalive_timeout(self) -> None:
        """Record that an open connection has gone silent: as much evidence as a dial that timed out."""
        self.state = TRANSITIONS.apply(self.state, DialResult.TIMED_OUT).state

    @property
    def is_suspected(self) -> bool:
        """Whether one more dial decides whether the server is there."""
        return self.state is LossState.SUSPECTED

    def on_received(self, now_us: int) -> None:
        """Record that something was received from the server."""
        self.state = LossState.REACHABLE
        self.last_received_us = now_us

    def is_lost(self, listed: bool, now_us: int) -> bool:
        """Whether the sessions at the server are to be treated as lost."""
        reason = (self.state, self._knowledge(is_listed=listed))
        if reason not in LOST_AFTER_US:
            return False
        lost_after_us = LOST_AFTER_US[reason]
        if lost_after_us is None or self.last_received_us is None:
            return True
        return now_us - self.last_received_us >= lost_after_us

    def _knowledge(self, *, is_listed: bool) -> EndpointKnowledge:
        if not is_listed:
            return EndpointKnowledge.DELISTED
        if self.last_received_us is None:
            return EndpointKnowledge.NEVER_REACHED
        return EndpointKnowledge.LISTED
