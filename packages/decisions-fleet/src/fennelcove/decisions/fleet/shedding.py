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

    ADMIT = auto()
    BY_PRIORITY = auto()  # admitted by its priority weight
    REJECT = auto()  # rejected


# The level that each signal calls for: reached at once from below, step by step from above.
TARGET_LEVELS: dict[LoadSignal, SheddingLevel] = {
    LoadSignal.NORMAL: SheddingLevel.NONE,
    LoadSignal.ELEVATED: SheddingLevel.REPEATS,
    LoadSignal.HIGH: SheddingLevel.LEAST,
    LoadSignal.CRITICAL: SheddingLevel.FIRSTS,
}

ACTIONS: dict[tuple[SheddingLevel, TicketStatus], SheddingAction] = {
    **{(SheddingLevel.NONE, status): SheddingAction.ADMIT for status in TicketStatus},
    (SheddingLevel.REPEATS, TicketStatus.FIRST): SheddingAction.ADMIT,
    (SheddingLevel.REPEATS, TicketStatus.DUE): SheddingAction.ADMIT,
    (SheddingLevel.REPEATS, TicketStatus.LATE): SheddingAction.ADMIT,
    (SheddingLevel.REPEATS, TicketStatus.AGAIN): SheddingAction.BY_PRIORITY,
    (SheddingLevel.REPEATS, TicketStatus.EARLY): SheddingAction.REJECT,
    (SheddingLevel.REPEATS, TicketStatus.INVENTED): SheddingAction.REJECT,
    (SheddingLevel.LEAST, TicketStatus.FIRST): SheddingAction.BY_PRIORITY,
    (SheddingLevel.LEAST, TicketStatus.DUE): SheddingAction.ADMIT,
    (SheddingLevel.LEAST, TicketStatus.LATE): SheddingAction.ADMIT,
    (SheddingLevel.LEAST, TicketStatus.AGAIN): SheddingAction.REJECT,
    (SheddingLevel.LEAST, TicketStatus.EARLY): SheddingAction.REJECT,
    (SheddingLevel.LEAST, TicketStatus.INVENTED): SheddingAction.REJECT,
    # A client whose ticket is due is never passed over for one without a ticket.
    (SheddingLevel.FIRSTS, TicketStatus.FIRST): SheddingAction.BY_PRIORITY,
    (SheddingLevel.FIRSTS, TicketStatus.DUE): SheddingAction.ADMIT,
    (SheddingLevel.FIRSTS, TicketStatus.LATE): SheddingAction.BY_PRIORITY,
    (SheddingLevel.FIRSTS, TicketStatus.AGAIN): SheddingAction.REJECT,
    (SheddingLevel.FIRSTS, TicketStatus.EARLY): SheddingAction.REJECT,
    (SheddingLevel.FIRSTS, TicketStatus.INVENTED): SheddingAction.REJECT,
}


def load_signal(totals: FleetTotals) -> LoadSignal:
    """The signal that the fleet's load gives."""
    unmet = totals.unmet_fraction
    if totals.requested < MIN_REQUESTS or unmet < UNMET_ELEVATED:
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
    change_count: int = 0

    def on_window_closed(self, totals: FleetTotals) -> bool:
        """Handle the end of a window; whether the level has changed."""
        level = self._next_level(TARGET_LEVELS[load_signal(totals)])
        if level is self.level:
            return False
        self.level = level
        self.change_count += 1
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

    def action_for(self, status: TicketStatus) -> SheddingAction:
        """What happens to a request with a ticket of this status."""
        return ACTIONS[self.level, status]
