"""Which news of the server list counts: versions in order, whole or not at all, and nothing plainly wrong.

The module takes lists as they come; this stands before it because a stream can be cut, repeat itself, or
carry a list that would take every box away.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerState

MOST_SERVERS = 10_000
# A restart told out of order must not make a box older than it is.
_CAREFUL = {ServerState.ACTIVE: 0, ServerState.LEAVING: 1, ServerState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """One message of the list service: a whole list, or changes on top of the version before it."""

    version: int
    base: int | None  # None for a whole list
    entries: tuple[ListEntry, ...]


class ListDecision(Enum):
    """What became of a message."""

    TAKEN = auto()
    OLD = auto()  # says less than what is held
    GAP = auto()  # changes are missing in between: a whole list is needed
    REFUSED = auto()


@dataclass(frozen=True, slots=True)
class ListVerdict:
    """A ruling, with the reason where it is a refusal, or the update to hand on."""

    ruling: ListDecision
    reason: str = ""
    update: ListUpdate | None = None


def merged(entries: tuple[ListEntry, ...]) -> tuple[ListEntry, ...]:
    """Each box once: of two entries the more careful standing and the later start count."""
    found: dict[str, ListEntry] = {}
    for entry in entries:
        other = found.get(entry.address)
        if other is not None:
            standing = max(entry.standing, other.standing, key=_CAREFUL.__getitem__)
            entry = replace(entry, standing=standing, started_us=max(entry.started_us, other.started_us))
        found[entry.address] = entry
    return tuple(found.values())


class EndpointListTracker:
    """Holds which version of the list is in force."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.cells: dict[str, tuple[int, str]] = {}

    def rule(self, news: EndpointListUpdate) -> ListVerdict:
        """Rule on a message; only what is TAKEN changes anything."""
        for check in VIOLATION_CHECKS:
            verdict = check(self, news)
            if verdict is not None:
                return verdict
        entries = merged(news.entries)
        if news.base is None:
            self.cells.clear()
        self.cells.update((entry.address, (entry.cell, entry.kind)) for entry in entries)
        self.version = news.version
        mode = ListMode.FULL if news.base is None else ListMode.INCREMENTAL
        return ListVerdict(ListDecision.TAKEN, update=ListUpdate(mode, entries))

    def _in_order(self, news: EndpointListUpdate) -> ListVerdict | None:
        if self.version is not None and news.version <= self.version:
            return ListVerdict(ListDecision.OLD)
        if news.base is not None and news.base != self.version:
            return ListVerdict(ListDecision.GAP)
        return None

    def _names_some(self, news: EndpointListUpdate) -> ListVerdict | None:
        # A whole list without one box to play on takes every viewer's lesson away: a fault far likelier than
        # a fleet that is gone, and joins will tell if it is.
        if news.base is None and not any(entry.standing is ServerState.ACTIVE for entry in news.entries):
            return ListVerdict(
                ListDecision.REFUSED, "a whole list that names no active box; the last list stays"
            )
        return None

    def _fits(self, news: EndpointListUpdate) -> ListVerdict | None:
        if len(news.entries) > MOST_SERVERS:
            return ListVerdict(
                ListDecision.REFUSED, f"{len(news.entries)} boxes, at most {MOST_SERVERS} will do"
            )
        return None

    def _agrees(self, news: EndpointListUpdate) -> ListVerdict | None:
        places: dict[str, tuple[int, str]] = {} if news.base is None else dict(self.cells)
        for entry in news.entries:
            place = (entry.cell, entry.kind)
            if places.setdefault(entry.address, place) != place:
                return ListVerdict(ListDecision.REFUSED, f"box {entry.address} in two cells or of two kinds")
        return None


VIOLATION_CHECKS: tuple[Callable[[EndpointListTracker, EndpointListUpdate], ListVerdict | None], ...] = (
    EndpointListTracker._in_order,
    EndpointListTracker._fits,
    EndpointListTracker._names_some,
    EndpointListTracker._agrees,
)


SILENCE_US = 10_000_000  # the service beats every second: so long without is a connection that is dead
FIRST_PAUSE_US = 100_000
MOST_PAUSE_US = 5_000_000


def pause_us(failures: int, draw: float) -> int:
    """How long to wait before calling the list service again: doubling, with full jitter over the upper half.

    Args:
        failures: calls failed in a row.
        draw: chance, from 0 up to 1.
    """
    longest = min(MOST_PAUSE_US, FIRST_PAUSE_US * (1 << min(failures, 16)))
    return round(longest * (0.5 + draw / 2))
