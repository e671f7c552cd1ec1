"""Admission while a front recovers after a start: what it waits for, and which requests it admits meanwhile.

First the sessions that are still established are reconciled. Then sessions that can be set up again are
admitted, and last those that are paid once or hold seats, once the existing ones are known. While most
servers are warming up, requests are admitted by priority weight. Every state has a time limit, which applies
even if servers do not respond, and no front waits for another front. Times are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class RecoveryState(Enum):
    """The progress of the recovery; status pages show the names of the members."""

    DARK = auto()  # no endpoint list yet
    ASKING = auto()  # servers are queried for their sessions
    SETTLING = auto()  # some servers have not responded in time
    RATIONED = auto()  # most servers are warming up
    OPEN = auto()


class RecoveryEvent(Enum):
    """An event that advances the recovery."""

    ENDPOINTS_LISTED = auto()
    ALL_SERVERS_SETTLED = auto()  # each server has listed its sessions, or certainly holds none
    TIMED_OUT = auto()  # the time limit of the state has passed
    MOSTLY_WARMING_UP = auto()  # more than half of the fleet's capacity is warming up
    MOSTLY_WARM = auto()


TRANSITIONS: TransitionTable[RecoveryState, RecoveryEvent, None] = TransitionTable(
    {
        (RecoveryState.DARK, RecoveryEvent.ENDPOINTS_LISTED): Transition(RecoveryState.ASKING),
        # Without a list the front can only reject, but a response is better than a refused connection.
        (RecoveryState.DARK, RecoveryEvent.TIMED_OUT): Transition(RecoveryState.OPEN),
        (RecoveryState.ASKING, RecoveryEvent.ALL_SERVERS_SETTLED): Transition(RecoveryState.OPEN),
        (RecoveryState.ASKING, RecoveryEvent.TIMED_OUT): Transition(RecoveryState.SETTLING),
        (RecoveryState.SETTLING, RecoveryEvent.ALL_SERVERS_SETTLED): Transition(RecoveryState.OPEN),
        (RecoveryState.SETTLING, RecoveryEvent.TIMED_OUT): Transition(RecoveryState.OPEN),
        (RecoveryState.OPEN, RecoveryEvent.MOSTLY_WARMING_UP): Transition(RecoveryState.RATIONED),
        # The front was opened without a list.
        (RecoveryState.OPEN, RecoveryEvent.ENDPOINTS_LISTED): Transition(RecoveryState.ASKING),
        (RecoveryState.RATIONED, RecoveryEvent.MOSTLY_WARM): Transition(RecoveryState.OPEN),
        (RecoveryState.RATIONED, RecoveryEvent.TIMED_OUT): Transition(RecoveryState.OPEN),
    },
    unlisted=Unlisted.IGNORE,
)


class RequestKind(Enum):
    """What a service class requires before a session of it may be set up."""

    PLAIN = auto()
    ACCOUNTED = auto()  # paid once, or with seats: existing sessions must be known first


class AdmissionDecision(Enum):
    """What to do with a request."""

    ADMIT = auto()
    BY_PRIORITY = auto()  # admit by priority weight while the title's replicas are warming up
    RETRY_LATER = auto()  # reject at once, with a Retry-After


ADMISSION_RULES: dict[tuple[RecoveryState, RequestKind], AdmissionDecision] = {
    **{
        (state, kind): AdmissionDecision.RETRY_LATER
        for state in (RecoveryState.DARK, RecoveryState.ASKING)
        for kind in RequestKind
    },
    (RecoveryState.SETTLING, RequestKind.PLAIN): AdmissionDecision.BY_PRIORITY,
    (RecoveryState.SETTLING, RequestKind.ACCOUNTED): AdmissionDecision.RETRY_LATER,
    **{(RecoveryState.RATIONED, kind): AdmissionDecision.BY_PRIORITY for kind in RequestKind},
    **{(RecoveryState.OPEN, kind): AdmissionDecision.ADMIT for kind in RequestKind},
}

GATED_STATES = (RecoveryState.SETTLING, RecoveryState.RATIONED)
SETTLED_STATES = (RecoveryState.RATIONED, RecoveryState.OPEN)

ENDPOINT_LIST_TIMEOUT_US = 3_000_000
SAVED_LIST_FALLBACK_US = 1_000_000  # if the discovery service is silent for longer, the saved list is used
GREETING_TIMEOUT_US = 1_000_000  # a server that hangs must not block admission for long
SETTLING_TIMEOUT_US = 10_000_000  # by then the event stream's rule declares a silent server's sessions lost
MAX_RATIONED_SLOW_STARTS = 2  # limits rationing in a fleet whose servers keep crashing
MAX_HISTORY = 16


@dataclass(slots=True)
class RecoveryAdmission:
    """The recovery of one front.

    If it is not gated, requests wait until the front is open, sessions are reconciled after that, and nothing
    is rationed.
    """

    state_entered_us: int
    is_gated: bool = False
    slow_start_us: int = 0
    state: RecoveryState = RecoveryState.DARK
    unsettled_servers: set[str] = field(default_factory=set)  # servers that have not listed their sessions
    has_endpoint_list: bool = False
    history: list[tuple[RecoveryState, int]] = field(default_factory=list)  # states with their start times

    def apply(self, event: RecoveryEvent, now_us: int) -> bool:
        """Handle an event; return whether the state has changed."""
        state = TRANSITIONS.apply(self.state, event).state
        if event is RecoveryEvent.ENDPOINTS_LISTED:
            if self.has_endpoint_list:
                return False
            self.has_endpoint_list = True
        if not self.is_gated and state in GATED_STATES:
            state = RecoveryState.OPEN
        if state is self.state:
            return False
        self.state = state
        self.state_entered_us = now_us
        self.history = [*self.history[1 - MAX_HISTORY :], (state, now_us)]
        return True

    def on_endpoints_listed(self, servers: set[str], now_us: int) -> None:
        """Handle an endpoint list; all but the first are ignored."""
        if not self.has_endpoint_list:
            self.unsettled_servers = set(servers)
            self.apply(RecoveryEvent.ENDPOINTS_LISTED, now_us)
            self._check_settled(now_us)

    def on_server_settled(self, server: str, now_us: int) -> None:
        """Record that a server has listed its sessions, or holds none."""
        self.unsettled_servers.discard(server)
        self._check_settled(now_us)

    def _check_settled(self, now_us: int) -> None:
        if not self.unsettled_servers:
            self.apply(RecoveryEvent.ALL_SERVERS_SETTLED, now_us)

    def advance(self, is_warming_up: bool, now_us: int) -> bool:
        """Advance the clock; return whether the state has changed.

        Args:
            is_warming_up: whether more than half of the fleet's capacity is on servers that are warming up.
            now_us: the current time.
        """
        has_timed_out = False
        if self.state is not RecoveryState.OPEN and self.remaining_us(now_us) == 0:
            has_timed_out = self.apply(RecoveryEvent.TIMED_OUT, now_us)
        event = RecoveryEvent.MOSTLY_WARMING_UP if is_warming_up else RecoveryEvent.MOSTLY_WARM
        return self.apply(event, now_us) or has_timed_out

    def remaining_us(self, now_us: int) -> int:
        """How long the current state may still last."""
        return max(0, self.state_entered_us + self._time_limit_us() - now_us)

    def _time_limit_us(self) -> int:
        limits = {
            RecoveryState.DARK: ENDPOINT_LIST_TIMEOUT_US,
            RecoveryState.ASKING: GREETING_TIMEOUT_US,
            RecoveryState.SETTLING: SETTLING_TIMEOUT_US,
            RecoveryState.RATIONED: MAX_RATIONED_SLOW_STARTS * self.slow_start_us,
            RecoveryState.OPEN: 0,
        }
        return limits[self.state]

    def decide(self, kind: RequestKind) -> AdmissionDecision:
        """The decision on a request that arrives now."""
        return ADMISSION_RULES[self.state, kind] if self.is_gated else AdmissionDecision.ADMIT

    @property
    def is_settled(self) -> bool:
        """Whether the reconciliation of established sessions has ended, completely or by time-out."""
        return self.state in SETTLED_STATES
