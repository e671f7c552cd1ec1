"""Decides whether the sessions at a silent server are lost, from the results of connection attempts (dials).

A process that ends resets its connections and refuses new ones; its sessions end with it. A refused
connection alone does not show that: a server that holds as many connections as it takes refuses further ones
too, and its sessions go on. A connection that times out shows only that the path is interrupted: behind a
partition the sessions may continue. Sessions at such a server count as lost once the endpoint list no longer
contains it, or once nothing has been received from it for the time within which clients must be notified of
a session's end. Where sessions are handed over while the server is silent, that time begins with the
hand-over: the connection may only be late.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Never

from fennelcove.state_machine import Transition, TransitionTable, Unlisted

# Counted from the last byte received or a later hand-over; a client must be notified of an end within 8 s.
UNCONFIRMED_LOSS_US = 7_000_000
MIN_REDIAL_DELAY_US = 300_000
MAX_REDIAL_DELAY_US = 4_800_000  # if no session waits to be heard from, only messages to be sent


class DialResult(Enum):
    """The result of a dial."""

    CONNECTED = auto()
    REFUSED = auto()
    TIMED_OUT = auto()


class EndpointKnowledge(Enum):
    """What else is known about the server."""

    LISTED = auto()  # listed, and reached before: its path may be interrupted
    NEVER_REACHED = auto()  # nothing was ever received, so its first connection may only be late
    DELISTED = auto()  # reached before, and no longer in the endpoint list
    RESET = auto()  # it has reset its latest connection, as a process does that ends


class LossState(Enum):
    """The server's state according to the latest dials."""

    REACHABLE = auto()
    SUSPECTED = auto()  # one dial has failed, or an open connection has gone silent; it may be accidental
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

# The states in which sessions are lost, and the time of silence after which they are (None: at once).
LOST_AFTER_US: dict[tuple[LossState, EndpointKnowledge], int | None] = {
    (LossState.REFUSING, EndpointKnowledge.DELISTED): None,
    (LossState.REFUSING, EndpointKnowledge.RESET): None,
    (LossState.REFUSING, EndpointKnowledge.NEVER_REACHED): UNCONFIRMED_LOSS_US,
    (LossState.REFUSING, EndpointKnowledge.LISTED): UNCONFIRMED_LOSS_US,
    (LossState.UNRESPONSIVE, EndpointKnowledge.DELISTED): None,
    (LossState.UNRESPONSIVE, EndpointKnowledge.NEVER_REACHED): UNCONFIRMED_LOSS_US,
    (LossState.UNRESPONSIVE, EndpointKnowledge.LISTED): UNCONFIRMED_LOSS_US,
    (LossState.UNRESPONSIVE, EndpointKnowledge.RESET): UNCONFIRMED_LOSS_US,
}


@dataclass(slots=True)
class ConnectionLossTracker:
    """Tracks the dials to one server; times in microseconds."""

    state: LossState = LossState.REACHABLE
    last_received_us: int | None = None
    failed_dials: int = 0  # in succession
    was_reset: bool = False  # the server has reset its latest connection
    handed_over_us: int | None = None  # when the first of its present sessions was handed over

    def on_dial_completed(self, result: DialResult, now_us: int) -> None:
        """Record the result of a dial."""
        self.state = TRANSITIONS.apply(self.state, result).state
        self.failed_dials += 1
        if result is DialResult.CONNECTED:
            self.failed_dials = 0
            self.was_reset = False
            self.last_received_us = now_us

    def on_reset(self) -> None:
        """Record that the server has reset a connection."""
        self.was_reset = True

    def on_keepalive_timeout(self) -> None:
        """Record that an open connection has gone silent, which counts as a dial that timed out."""
        self.state = TRANSITIONS.apply(self.state, DialResult.TIMED_OUT).state

    @property
    def is_suspected(self) -> bool:
        """Whether the next dial decides if the server is reachable."""
        return self.state is LossState.SUSPECTED

    def has_process_ended(self, *, is_listed: bool) -> bool:
        """Whether the server's process has ended, so that it holds no session any more."""
        reason = (self.state, self._knowledge(is_listed=is_listed))
        return self.state is LossState.REFUSING and LOST_AFTER_US[reason] is None

    def redial_delay_us(self, *, has_sessions: bool) -> int:
        """The time from a failed dial to the next: constant while sessions wait, else growing."""
        if has_sessions:
            return MIN_REDIAL_DELAY_US
        delay_us = MIN_REDIAL_DELAY_US << min(max(0, self.failed_dials - 1), 10)
        return min(delay_us, MAX_REDIAL_DELAY_US)

    def on_received(self, now_us: int) -> None:
        """Record that something was received from the server."""
        self.state = LossState.REACHABLE
        self.last_received_us = now_us

    def on_first_handover(self, now_us: int) -> None:
        """Record that a session was handed over at the server, which had none until then."""
        self.handed_over_us = now_us

    def is_lost(self, listed: bool, now_us: int) -> bool:
        """Whether the sessions at the server count as lost."""
        reason = (self.state, self._knowledge(is_listed=listed))
        if reason not in LOST_AFTER_US:
            return False
        lost_after_us = LOST_AFTER_US[reason]
        if lost_after_us is None:
            return True
        silent_since_us = max(self.last_received_us or 0, self.handed_over_us or 0)
        return now_us - silent_since_us >= lost_after_us

    def _knowledge(self, *, is_listed: bool) -> EndpointKnowledge:
        if self.last_received_us is None:
            return EndpointKnowledge.NEVER_REACHED
        if not is_listed:
            return EndpointKnowledge.DELISTED
        return EndpointKnowledge.RESET if self.was_reset else EndpointKnowledge.LISTED
