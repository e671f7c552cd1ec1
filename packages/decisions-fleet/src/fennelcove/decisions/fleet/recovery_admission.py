"""In which order service returns after a start: what is waited for, how long, and who may come in meanwhile.

No phase lasts longer than its limit, whoever stays silent: no front waits for one that is gone, and none for
another front. What still plays is settled first; then what may be set up again; then what is paid once or
has seats, when its accounts are safe; and while most boxes are cold, by benefit.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto


class RecoveryState(Enum):
    """How far a start has come."""

    DARK = auto()  # no list
    ASKING = auto()  # boxes are asked what they hold
    SETTLING = auto()  # some have not said
    RATIONED = auto()  # most are cold
    OPEN = auto()


class RecoveryEvent(Enum):
    """What moves it on."""

    ENDPOINTS_LISTED = auto()
    ALL_SERVERS_SETTLED = auto()  # the last box has said what it holds, or surely holds nothing
    TIME = auto()
    MOSTLY_WARMING_UP = auto()  # most places are on cold boxes
    MOSTLY_WARM = auto()


TRANSITIONS: dict[tuple[RecoveryState, RecoveryEvent], RecoveryState] = {
    (RecoveryState.DARK, RecoveryEvent.ENDPOINTS_LISTED): RecoveryState.ASKING,
    # Without a list the front can only throttle, but it answers: that is better than a refused connection.
    (RecoveryState.DARK, RecoveryEvent.TIME): RecoveryState.OPEN,
    (RecoveryState.ASKING, RecoveryEvent.ALL_SERVERS_SETTLED): RecoveryState.OPEN,
    (RecoveryState.ASKING, RecoveryEvent.TIME): RecoveryState.SETTLING,
    (RecoveryState.SETTLING, RecoveryEvent.ALL_SERVERS_SETTLED): RecoveryState.OPEN,
    (RecoveryState.SETTLING, RecoveryEvent.TIME): RecoveryState.OPEN,
    (RecoveryState.OPEN, RecoveryEvent.MOSTLY_WARMING_UP): RecoveryState.RATIONED,
    (
        RecoveryState.OPEN,
        RecoveryEvent.ENDPOINTS_LISTED,
    ): RecoveryState.ASKING,  # it was opened for want of a list
    (RecoveryState.RATIONED, RecoveryEvent.MOSTLY_WARM): RecoveryState.OPEN,
    (RecoveryState.RATIONED, RecoveryEvent.TIME): RecoveryState.OPEN,
}


class RequestKind(Enum):
    """What a room type needs before it may be set up."""

    PLAIN = auto()
    ACCOUNTED = auto()  # paid once, or with seats: whoever holds one must be known first


class AdmissionDecision(Enum):
    """What becomes of one that asks."""

    IN = auto()
    RATIONED = auto()  # by benefit, as long as its holders are cold
    RETRY_LATER = auto()  # refused at once, with a time to come back


ADMISSION_RULES: dict[tuple[RecoveryState, RequestKind], AdmissionDecision] = {
    **{
        (phase, kind): AdmissionDecision.RETRY_LATER
        for phase in (RecoveryState.DARK, RecoveryState.ASKING)
        for kind in RequestKind
    },
    (RecoveryState.SETTLING, RequestKind.PLAIN): AdmissionDecision.RATIONED,
    (RecoveryState.SETTLING, RequestKind.ACCOUNTED): AdmissionDecision.RETRY_LATER,
    **{(RecoveryState.RATIONED, kind): AdmissionDecision.RATIONED for kind in RequestKind},
    **{(RecoveryState.OPEN, kind): AdmissionDecision.IN for kind in RequestKind},
}

ENDPOINT_LIST_TIMEOUT_US = 3_000_000
SAVED_AFTER_US = 1_000_000  # so long the list service has before the kept list stands in
GREETING_TIMEOUT_US = 1_000_000  # a box that hangs must not keep the front away for long
SETTLING_TIMEOUT_US = 10_000_000  # past it what plays at a silent box is lost by the rule of its feed as well
MAX_RATIONED_SLOW_STARTS = 2  # a fleet whose boxes fall again and again is not rationed for ever


@dataclass(slots=True)
class RecoveryAdmission:
    """The start of one front; times in microseconds. Not `ordered`: who asks waits at the door until it is
    open, accounts are settled while it is, and nobody is rationed."""

    state_entered_us: int
    is_gated: bool = False
    slow_start_us: int = 0
    phase: RecoveryState = RecoveryState.DARK
    due: set[str] = field(default_factory=set)
    has_endpoint_list: bool = False
    entered: list[tuple[RecoveryState, int]] = field(
        default_factory=list
    )  # each phase, and when; a bounded few

    def apply(self, event: RecoveryEvent, now_us: int) -> bool:
        """Move on; whether it did."""
        after = TRANSITIONS.get((self.phase, event), self.phase)
        if event is RecoveryEvent.ENDPOINTS_LISTED and self.has_endpoint_list:
            return False
        self.has_endpoint_list |= event is RecoveryEvent.ENDPOINTS_LISTED
        if not self.is_gated and after in (RecoveryState.SETTLING, RecoveryState.RATIONED):
            after = RecoveryState.OPEN
        if after is self.phase:
            return False
        self.phase, self.state_entered_us = after, now_us
        self.entered = [*self.entered[-15:], (after, now_us)]
        return True

    def listed(self, servers: set[str], now_us: int) -> None:
        """The first list names these boxes."""
        if not self.has_endpoint_list:
            self.due = set(servers)
            self.apply(RecoveryEvent.ENDPOINTS_LISTED, now_us)
            self.settled("", now_us)

    def settled(self, server: str, now_us: int) -> None:
        """A box has said what it holds, or holds nothing."""
        self.due.discard(server)
        if not self.due:
            self.apply(RecoveryEvent.ALL_SERVERS_SETTLED, now_us)

    def advance(self, cold: bool, now_us: int) -> bool:
        """Time passes; `cold` where most places are on cold boxes. Whether a phase has ended."""
        moved = False
        if self.phase is not RecoveryState.OPEN and self.left_us(now_us) == 0:
            moved = self.apply(RecoveryEvent.TIME, now_us)
        return (
            self.apply(RecoveryEvent.MOSTLY_WARMING_UP if cold else RecoveryEvent.MOSTLY_WARM, now_us)
            or moved
        )

    def left_us(self, now_us: int) -> int:
        """How long this phase may still take."""
        limits = {
            RecoveryState.DARK: ENDPOINT_LIST_TIMEOUT_US,
            RecoveryState.ASKING: GREETING_TIMEOUT_US,
            RecoveryState.SETTLING: SETTLING_TIMEOUT_US,
            RecoveryState.RATIONED: MAX_RATIONED_SLOW_STARTS * self.slow_start_us,
            RecoveryState.OPEN: 0,
        }
        return max(0, self.state_entered_us + limits[self.phase] - now_us)

    def entry(self, kind: RequestKind) -> AdmissionDecision:
        """What becomes of one that asks now."""
        return ADMISSION_RULES[self.phase, kind] if self.is_gated else AdmissionDecision.IN

    @property
    def accounted(self) -> bool:
        """Whether what plays is known as well as it will be."""
        return self.phase in (RecoveryState.RATIONED, RecoveryState.OPEN)
