"""Who is turned away first when the fleet has not room for all: one ladder, climbed by what all are asked.

Never what plays. First those who do not wait as they were told, then first tries of the lesser benefits, then
first tries where somebody waits whose time has come. What is turned away is answered at once, with a place
that every front honours. Fronts that hear the same figures stand on the same step; one that is cut off takes
the others for its own likes. Steps are taken up fast and down slowly, and the share by which benefits step
back follows the pace that boxes are found to take, so that a step without a crowd empties itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

from fennelcove.decisions.fleet.fleet_load import FleetTotals
from fennelcove.decisions.clients.waiting_room import TicketStatus

MIN_REQUESTS = 8  # requests in a summary's time that say nothing
UNMET_ELEVATED = 0.15
UNMET_HIGH = 0.4
UNMET_CRITICAL = 0.7
CALM_WINDOWS_PER_STEP_DOWN = (
    8  # windows without need before a step down: a crowd that draws breath has not gone
)


class SheddingLevel(IntEnum):
    """The step that the fleet stands on."""

    NONE = 0
    REPEATS = 1  # those who come before their time are kept to it
    LEAST = 2  # first tries step back by benefit
    FIRSTS = 3  # first tries wait while places fall due


class LoadSignal(Enum):
    """What a summary's time shows."""

    NORMAL = auto()
    ELEVATED = auto()
    HIGH = auto()
    CRITICAL = auto()


class SheddingAction(Enum):
    """What becomes of one that asks."""

    PASS = auto()
    BY_BENEFIT = auto()
    TURN = auto()


# The step that each sign asks for; up at once, down one step after `FALLS` windows.
TARGET_LEVELS: dict[LoadSignal, SheddingLevel] = {
    LoadSignal.NORMAL: SheddingLevel.NONE,
    LoadSignal.ELEVATED: SheddingLevel.REPEATS,
    LoadSignal.HIGH: SheddingLevel.LEAST,
    LoadSignal.CRITICAL: SheddingLevel.FIRSTS,
}

ACTIONS: dict[tuple[SheddingLevel, TicketStatus], SheddingAction] = {
    **{(SheddingLevel.NONE, who): SheddingAction.PASS for who in TicketStatus},
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
    # One whose place has come is never passed over for one without.
    (SheddingLevel.FIRSTS, TicketStatus.FIRST): SheddingAction.BY_BENEFIT,
    (SheddingLevel.FIRSTS, TicketStatus.DUE): SheddingAction.PASS,
    (SheddingLevel.FIRSTS, TicketStatus.LATE): SheddingAction.BY_BENEFIT,
    (SheddingLevel.FIRSTS, TicketStatus.AGAIN): SheddingAction.TURN,
    (SheddingLevel.FIRSTS, TicketStatus.EARLY): SheddingAction.TURN,
    (SheddingLevel.FIRSTS, TicketStatus.INVENTED): SheddingAction.TURN,
}


def load_signal(totals: FleetTotals) -> LoadSignal:
    """What the fleet's figures show."""
    if totals.asked < MIN_REQUESTS or totals.unmet < UNMET_ELEVATED:
        return LoadSignal.NORMAL
    if totals.unmet < UNMET_HIGH:
        return LoadSignal.ELEVATED
    return LoadSignal.HIGH if totals.unmet < UNMET_CRITICAL else LoadSignal.CRITICAL


@dataclass(slots=True)
class SheddingPolicy:
    """Where one front stands on it."""

    level: SheddingLevel = SheddingLevel.NONE
    calm_windows: int = 0  # windows in a row that asked for a lower step
    changes: int = 0

    def window(self, totals: FleetTotals) -> bool:
        """One more window is closed; whether the step has changed."""
        wanted = TARGET_LEVELS[load_signal(totals)]
        if wanted >= self.level:
            self.calm_windows = 0
            if wanted is self.level:
                return False
            self.level = wanted
        else:
            self.calm_windows += 1
            if self.calm_windows < CALM_WINDOWS_PER_STEP_DOWN:
                return False
            self.level, self.calm_windows = SheddingLevel(self.level - 1), 0
        self.changes += 1
        return True

    def act(self, who: TicketStatus) -> SheddingAction:
        """What becomes of one that stands so."""
        return ACTIONS[self.level, who]
