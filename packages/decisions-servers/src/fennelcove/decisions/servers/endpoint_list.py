"""Which news of the server list counts: versions in order, whole or not at all, and nothing plainly wrong.

The module takes lists as they come; this stands before it because a stream can be cut, repeat itself, or
carry a list that would take every box away.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto

from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerState

MAX_SERVERS = 10_000
# A restart told out of order must not make a box older than it is.
_DRAIN_PROGRESS = {ServerState.ACTIVE: 0, ServerState.LEAVING: 1, ServerState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """One message of the list service: a whole list, or changes on top of the version before it."""

    version: int
    base_version: int | None  # None for a whole list
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


def merge_entries(entries: tuple[ListEntry, ...]) -> tuple[ListEntry, ...]:
    """Each box once: of two entries the more careful standing and the later start count."""
    found: dict[str, ListEntry] = {}
    for entry in entries:
        other = found.get(entry.address)
        if other is not None:
            standing = max(entry.standing, other.standing, key=_DRAIN_PROGRESS.__getitem__)
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
        entries = merge_entries(news.entries)
        if news.base_version is None:
            self.cells.clear()
        self.cells.update((entry.address, (entry.cell, entry.kind)) for entry in entries)
        self.version = news.version
        mode = ListMode.FULL if news.base_version is None else ListMode.INCREMENTAL
        return ListVerdict(ListDecision.TAKEN, update=ListUpdate(mode, entries))

    def _check_order(self, news: EndpointListUpdate) -> ListVerdict | None:
        if self.version is not None and news.version <= self.version:
            return ListVerdict(ListDecision.OLD)
        if news.base_version is not None and news.base_version != self.version:
            return ListVerdict(ListDecision.GAP)
        return None

    def _check_has_active(self, news: EndpointListUpdate) -> ListVerdict | None:
        # A whole list without one box to play on takes every viewer's lesson away: a fault far likelier than
        # a fleet that is gone, and joins will tell if it is.
        if news.base_version is None and not any(
            entry.standing is ServerState.ACTIVE for entry in news.entries
        ):
            return ListVerdict(
                ListDecision.REFUSED, "a whole list that names no active box; the last list stays"
            )
        return None

    def _check_size(self, news: EndpointListUpdate) -> ListVerdict | None:
        if len(news.entries) > MAX_SERVERS:
            return ListVerdict(
                ListDecision.REFUSED, f"{len(news.entries)} boxes, at most {MAX_SERVERS} will do"
            )
        return None

    def _check_placements(self, news: EndpointListUpdate) -> ListVerdict | None:
        places: dict[str, tuple[int, str]] = {} if news.base_version is None else dict(self.cells)
        for entry in news.entries:
            place = (entry.cell, entry.kind)
            if places.setdefault(entry.address, place) != place:
                return ListVerdict(ListDecision.REFUSED, f"box {entry.address} in two cells or of two kinds")
        return None


VIOLATION_CHECKS: tuple[Callable[[EndpointListTracker, EndpointListUpdate], ListVerdict | None], ...] = (
    EndpointListTracker._check_order,
    EndpointListTracker._check_size,
    EndpointListTracker._check_has_active,
    EndpointListTracker._check_placements,
)


SILENCE_US = 10_000_000  # the service beats every second: so long without is a connection that is dead
INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 5_000_000


def pause_us(failures: int, draw: float) -> int:
    """How long to wait before calling the list service again: doubling, with full jitter over the upper half.

    Args:
        failures: calls failed in a row.
        draw: chance, from 0 up to 1.
    """
    longest = min(MAX_BACKOFF_US, INITIAL_BACKOFF_US * (1 << min(failures, 16)))
    return round(longest * (0.5 + draw / 2))
