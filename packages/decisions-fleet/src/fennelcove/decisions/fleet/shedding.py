"""Load shedding by the fleet: the level that its load calls for, and what each level rejects.

Established sessions are never shed. The first to be rejected are clients that retry before their Retry-After
has passed, then first attempts of low priority weight, then first attempts while clients with a due queue
ticket wait. A rejection is immediate, and carries a ticket that every front honours. Fronts that receive the
same figures reach the same level; one that is cut off assumes that the others see what it sees. The level
rises at once and falls slowly. The fraction that is admitted by priority follows the rate that servers are
found to accept, so that a level without a crowd empties itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from fennelcove.decisions.clients.waiting_room import TicketStatus
from fennelcove.decisions.fleet.fleet_load import FleetTotals

MIN_REQUESTS = 8  # in a summary's time; fewer are no signal
UNMET_ELEVATED = 0.15  # fractions of requests that were not served
UNMET_HIGH = 0.4
UNMET_CRITICAL = 0.7
CALM_WINDOWS_PER_STEP_DOWN = 8  # a crowd that pauses for a moment has not gone


class SheddingLevel(IntEnum):
    """How much is shed, from nothing upwards; status pages show the names."""

    NONE = 0
    REPEATS = 1  # retries before their time are rejected
    LEAST = 2  # and first attempts are admitted by priority
    FIRSTS = 3  # and first attempts wait while tickets are due


class LoadSignal(Enum):
    """How overloaded the fleet is, by the fraction of requests that were not served."""

    NORMAL = auto()
    ELEVATED = auto()
    HIGH = auto()
    CRITICAL = auto()


class SheddingAction(Enum):
    """What happens to a request."""

    PASS = auto()
    BY_BENEFIT = auto()  # admitted by its priority weight
    TURN = auto()  # rejected


# The level that each signal calls for: reached at once from below, step by step from above.
TARGET_LEVELS: dict[LoadSignal, SheddingLevel] = {
    LoadSignal.NORMAL: SheddingLevel.NONE,
    LoadSignal.ELEVATED: SheddingLevel.REPEATS,
    LoadSignal.HIGH: SheddingLevel.LEAST,
    LoadSignal.CRITICAL: SheddingLevel.FIRSTS,
}

ACTIONS: dict[tuple[SheddingLevel, TicketStatus], SheddingAction] = {
    **{(SheddingLevel.NONE, status): SheddingAction.PASS for status in TicketStatus},
    (SheddingLevel.REPEATS, TicketStatus.FIRST): SheddingAction.PASS,
    (SheddingLevel.REPEATS, TicketStatus.DUE): SheddingAction.PASS,
    (SheddingLevel.REPEATS, TicketStatus.LATE): SheddingAction.PASS,
    (SheddingLevel.REPEATS, TicketStatus.AGAIN): SheddingAction.BY_BENEFIT,
    (SheddingLevel.REPEATS, TicketStatus.EARLY): SheddingAction.TURN,
    (SheddingLevel.REPEATS, TicketStatus.INVENTED): SheddingAction.TURN,
    (SheddingLevel.LEAST, TicketStatus.FIRST): SheddingAction.BY_BENEFIT,
    (SheddingLevel.LEAST, TicketStatus.DUE): SheddingAction.PASS,
    (SheddingLevel.LEAST, TicketStatus.LATE): SheddingAction.PASS,
    (SheddingLevel.LEAST, TicketStatus.AGAIN): SheddingAction.TURN,
    (SheddingLevel.LEAST, TicketStatus.EARLY): SheddingAction.TURN,
    (SheddingLevel.LEAST, TicketStatus.INVENTED): SheddingAction.TURN,
    # A client whose ticket is due is never passed over for one without a ticket.
    (SheddingLevel.FIRSTS, TicketStatus.FIRST): SheddingAction.BY_BENEFIT,
    (SheddingLevel.FIRSTS, TicketStatus.DUE): SheddingAction.PASS,
    (SheddingLevel.FIRSTS, TicketStatus.LATE): SheddingAction.BY_BENEFIT,
    (SheddingLevel.FIRSTS, TicketStatus.AGAIN): SheddingAction.TURN,
    (SheddingLevel.FIRSTS, TicketStatus.EARLY): SheddingAction.TURN,
    (SheddingLevel.FIRSTS, TicketStatus.INVENTED): SheddingAction.TURN,
}


def load_signal(totals: FleetTotals) -> LoadSignal:
    """The signal that the fleet's load gives."""
    unmet = totals.unmet
    if totals.asked < MIN_REQUESTS or unmet < UNMET_ELEVATED:
        return LoadSignal.NORMAL
    if unmet < UNMET_HIGH:
        return LoadSignal.ELEVATED
    if unmet < UNMET_CRITICAL:
        return LoadSignal.HIGH
    return LoadSignal.CRITICAL


@dataclass(slots=True)
class SheddingPolicy:
    """The level of one front, moved once each window."""

    level: SheddingLevel = SheddingLevel.NONE
    calm_windows: int = 0  # in a row, that called for a lower level
    changes: int = 0

    def window(self, totals: FleetTotals) -> bool:
        """Handle the end of a window; whether the level has changed."""
        level = self._next_level(TARGET_LEVELS[load_signal(totals)])
        if level is self.level:
            return False
        self.level = level
        self.changes += 1
        return True

    def _next_level(self, target: SheddingLevel) -> SheddingLevel:
        if target >= self.level:
            self.calm_windows = 0
            return target
        self.calm_windows += 1
        if self.calm_windows < CALM_WINDOWS_PER_STEP_DOWN:
            return self.level
        self.calm_windows = 0
        return SheddingLevel(self.level - 1)

    def act(self, status: TicketStatus) -> SheddingAction:
        """What happens to a request with a ticket of this status."""
        return ACTIONS[self.level, status]
