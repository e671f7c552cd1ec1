"""Load shedding by the fleet: the shedding level for a load, and which requests each level rejects.

Established sessions are never shed. The first to be rejected are clients that retry before their Retry-After
has passed, then first attempts of low priority weight, then first attempts while clients with a due queue
ticket wait. A rejection is immediate, and carries a ticket that every front accepts. Fronts that receive the
same load figures reach the same level; a front that is cut off assumes that the others have the same load as
itself. The level rises at once and falls slowly. The fraction of requests that is admitted by priority
follows the rate that servers accept, so that a level without an overload behind it falls again by itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from fennelcove.decisions.clients.waiting_room import TicketStatus
from fennelcove.decisions.fleet.fleet_load import FleetTotals

MIN_REQUESTS = 8  # within the time of a summary; fewer are not significant
UNMET_ELEVATED = 0.15  # fraction of requests that were not served
UNMET_HIGH = 0.4
UNMET_CRITICAL = 0.7
CALM_WINDOWS_PER_STEP_DOWN = 8  # a short pause does not mean that the overload has ended


class SheddingLevel(IntEnum):
    """How much is shed, in ascending order; status pages show the names of the members."""

    NONE = 0
    REPEATS = 1  # early retries are rejected
    LEAST = 2  # in addition, first attempts are admitted by priority
    FIRSTS = 3  # in addition, first attempts wait while tickets are due


class LoadSignal(Enum):
    """How overloaded the fleet is, measured by the fraction of requests that were not served."""

    NORMAL = auto()
    ELEVATED = auto()
    HIGH = auto()
    CRITICAL = auto()


class SheddingAction(Enum):
    """What to do with a request."""

    ADMIT = auto()
    BY_PRIORITY = auto()  # admit by priority weight
    REJECT = auto()


# The target level for each signal: a higher one is reached at once, a lower one step by step.
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
    # A client whose ticket is due always takes precedence over one without a ticket.
    (SheddingLevel.FIRSTS, TicketStatus.FIRST): SheddingAction.BY_PRIORITY,
    (SheddingLevel.FIRSTS, TicketStatus.DUE): SheddingAction.ADMIT,
    (SheddingLevel.FIRSTS, TicketStatus.LATE): SheddingAction.BY_PRIORITY,
    (SheddingLevel.FIRSTS, TicketStatus.AGAIN): SheddingAction.REJECT,
    (SheddingLevel.FIRSTS, TicketStatus.EARLY): SheddingAction.REJECT,
    (SheddingLevel.FIRSTS, TicketStatus.INVENTED): SheddingAction.REJECT,
}


def load_signal(totals: FleetTotals) -> LoadSignal:
    """The signal for the fleet's load."""
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
    """The shedding level of one front, updated once in each window."""

    level: SheddingLevel = SheddingLevel.NONE
    calm_windows: int = 0  # consecutive windows with a lower target level
    change_count: int = 0

    def on_window_closed(self, totals: FleetTotals) -> bool:
        """Handle the end of a window; return whether the level has changed."""
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
        """The action for a request with a ticket of this status."""
        return ACTIONS[self.level, status]
