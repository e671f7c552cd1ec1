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

    LISTED = auto()
    GREETED = auto()  # the last box has said what it holds, or surely holds nothing
    TIME = auto()
    COLD = auto()  # most places are on cold boxes
    WARM = auto()


TRANSITIONS: dict[tuple[RecoveryState, RecoveryEvent], RecoveryState] = {
    (RecoveryState.DARK, RecoveryEvent.LISTED): RecoveryState.ASKING,
    # Without a list the front can only throttle, but it answers: that is better than a refused connection.
    (RecoveryState.DARK, RecoveryEvent.TIME): RecoveryState.OPEN,
    (RecoveryState.ASKING, RecoveryEvent.GREETED): RecoveryState.OPEN,
    (RecoveryState.ASKING, RecoveryEvent.TIME): RecoveryState.SETTLING,
    (RecoveryState.SETTLING, RecoveryEvent.GREETED): RecoveryState.OPEN,
    (RecoveryState.SETTLING, RecoveryEvent.TIME): RecoveryState.OPEN,
    (RecoveryState.OPEN, RecoveryEvent.COLD): RecoveryState.RATIONED,
    (RecoveryState.OPEN, RecoveryEvent.LISTED): RecoveryState.ASKING,  # it was opened for want of a list
    (RecoveryState.RATIONED, RecoveryEvent.WARM): RecoveryState.OPEN,
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
    WAIT = auto()  # refused at once, with a time to come back


ENTRY: dict[tuple[RecoveryState, RequestKind], AdmissionDecision] = {
    **{
        (phase, kind): AdmissionDecision.WAIT
        for phase in (RecoveryState.DARK, RecoveryState.ASKING)
        for kind in RequestKind
    },
    (RecoveryState.SETTLING, RequestKind.PLAIN): AdmissionDecision.RATIONED,
    (RecoveryState.SETTLING, RequestKind.ACCOUNTED): AdmissionDecision.WAIT,
    **{(RecoveryState.RATIONED, kind): AdmissionDecision.RATIONED for kind in RequestKind},
    **{(RecoveryState.OPEN, kind): AdmissionDecision.IN for kind in RequestKind},
}

LIST_WAIT_US = 3_000_000
SAVED_AFTER_US = 1_000_000  # so long the list service has before the kept list stands in
GREET_WAIT_US = 1_000_000  # a box that hangs must not keep the front away for long
SETTLE_US = 10_000_000  # past it what plays at a silent box is lost by the rule of its feed as well
RATIONED_RAMPS = 2  # a fleet whose boxes fall again and again is not rationed for ever


@dataclass(slots=True)
class RecoveryAdmission:
    """The start of one front; times in microseconds. Not `ordered`: who asks waits at the door until it is
    open, accounts are settled while it is, and nobody is rationed."""

    began_us: int
    ordered: bool = False
    ramp_us: int = 0
    phase: RecoveryState = RecoveryState.DARK
    due: set[str] = field(default_factory=set)
    was_listed: bool = False
    entered: list[tuple[RecoveryState, int]] = field(
        default_factory=list
    )  # each phase, and when; a bounded few

    def apply(self, event: RecoveryEvent, now_us: int) -> bool:
        """Move on; whether it did."""
        after = TRANSITIONS.get((self.phase, event), self.phase)
        if event is RecoveryEvent.LISTED and self.was_listed:
            return False
        self.was_listed |= event is RecoveryEvent.LISTED
        if not self.ordered and after in (RecoveryState.SETTLING, RecoveryState.RATIONED):
            after = RecoveryState.OPEN
        if after is self.phase:
            return False
        self.phase, self.began_us = after, now_us
        self.entered = [*self.entered[-15:], (after, now_us)]
        return True

    def listed(self, servers: set[str], now_us: int) -> None:
        """The first list names these boxes."""
        if not self.was_listed:
            self.due = set(servers)
            self.apply(RecoveryEvent.LISTED, now_us)
            self.settled("", now_us)

    def settled(self, server: str, now_us: int) -> None:
        """A box has said what it holds, or holds nothing."""
        self.due.discard(server)
        if not self.due:
            self.apply(RecoveryEvent.GREETED, now_us)

    def advance(self, cold: bool, now_us: int) -> bool:
        """Time passes; `cold` where most places are on cold boxes. Whether a phase has ended."""
        moved = False
        if self.phase is not RecoveryState.OPEN and self.left_us(now_us) == 0:
            moved = self.apply(RecoveryEvent.TIME, now_us)
        return self.apply(RecoveryEvent.COLD if cold else RecoveryEvent.WARM, now_us) or moved

    def left_us(self, now_us: int) -> int:
        """How long this phase may still take."""
        limits = {
            RecoveryState.DARK: LIST_WAIT_US,
            RecoveryState.ASKING: GREET_WAIT_US,
            RecoveryState.SETTLING: SETTLE_US,
            RecoveryState.RATIONED: RATIONED_RAMPS * self.ramp_us,
            RecoveryState.OPEN: 0,
        }
        return max(0, self.began_us + limits[self.phase] - now_us)

    def entry(self, kind: RequestKind) -> AdmissionDecision:
        """What becomes of one that asks now."""
        return ENTRY[self.phase, kind] if self.ordered else AdmissionDecision.IN

    @property
    def accounted(self) -> bool:
        """Whether what plays is known as well as it will be."""
        return self.phase in (RecoveryState.RATIONED, RecoveryState.OPEN)
