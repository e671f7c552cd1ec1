"""Validation of the messages of the endpoint list service: ordered versions, no gaps, and plausible contents.

The placement policy applies every list that it receives. This module checks messages first, because a stream
can be interrupted, repeat messages, or deliver a list that would remove every server.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from fennelcove.decisions.servers.backoff import Backoff
from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerState

MAX_SERVERS = 10_000
# The service sends a heartbeat every second, so a connection that is silent for this long is broken.
STREAM_IDLE_TIMEOUT_US = 10_000_000
INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 5_000_000
BACKOFF = Backoff(INITIAL_BACKOFF_US, MAX_BACKOFF_US)
MIN_FETCH_TIMEOUT_US = 1_000_000
MAX_FETCH_TIMEOUT_US = 30_000_000
_FETCH_TIMEOUT = Backoff(MIN_FETCH_TIMEOUT_US, MAX_FETCH_TIMEOUT_US)

# The progress of a server's removal from the fleet: of two entries for one server, the more advanced counts.
_DRAIN_PROGRESS = {ServerState.ACTIVE: 0, ServerState.LEAVING: 1, ServerState.LEFT: 2}


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A message of the list service: a full list, or changes relative to the previous version."""

    version: int
    base_version: int | None  # None for a full list
    entries: tuple[ListEntry, ...]

    @property
    def is_full(self) -> bool:
        """Whether the message holds the full list."""
        return self.base_version is None


class ListDecision(Enum):
    """The decision on a message; member names appear in counters."""

    TAKEN = auto()
    OLD = auto()  # not newer than the current version
    GAP = auto()  # changes in between are missing: the full list is needed
    REFUSED = auto()


@dataclass(frozen=True, slots=True)
class ListVerdict:
    """The decision on a message, with the reason for a refusal or the update for the policy."""

    decision: ListDecision
    reason: str = ""
    update: ListUpdate | None = None


@dataclass(frozen=True, slots=True)
class ServerPlacement:
    """The cell and kind of a server, which never change while it is listed."""

    cell: int
    kind: str


def _refused(reason: str) -> ListVerdict:
    return ListVerdict(ListDecision.REFUSED, reason)


def merge_entries(entries: tuple[ListEntry, ...]) -> tuple[ListEntry, ...]:
    """Merge the entries for each server into one, with the state furthest from active and the latest start.

    The latest start counts because restarts that arrive out of order must not make a server seem older.
    """
    merged: dict[str, ListEntry] = {}
    for entry in entries:
        other = merged.get(entry.address)
        merged[entry.address] = entry if other is None else _merge_pair(entry, other)
    return tuple(merged.values())


def _merge_pair(entry: ListEntry, other: ListEntry) -> ListEntry:
    state = max(entry.state, other.state, key=_DRAIN_PROGRESS.__getitem__)
    return replace(entry, state=state, started_us=max(entry.started_us, other.started_us))


class EndpointListTracker:
    """Tracks the current version of the endpoint list."""

    def __init__(self) -> None:
        self.version: int | None = None
        self.placements: dict[str, ServerPlacement] = {}

    def apply(self, message: EndpointListUpdate) -> ListVerdict:
        """Decide on a message; one that is refused or ignored changes nothing."""
        for check in (self._check_order, _check_size, _check_has_active, self._check_placements):
            verdict = check(message)
            if verdict is not None:
                return verdict
        entries = merge_entries(message.entries)
        if message.is_full:
            self.placements.clear()
        self.placements.update((entry.address, ServerPlacement(entry.cell, entry.kind)) for entry in entries)
        self.version = message.version
        mode = ListMode.FULL if message.is_full else ListMode.INCREMENTAL
        return ListVerdict(ListDecision.TAKEN, update=ListUpdate(mode, entries))

    def kind_of(self, address: str) -> str:
        """The listed kind of a server; empty if it was never listed."""
        placement = self.placements.get(address)
        return placement.kind if placement is not None else ""

    def _check_order(self, message: EndpointListUpdate) -> ListVerdict | None:
        if self.version is not None and message.version <= self.version:
            return ListVerdict(ListDecision.OLD)
        if not message.is_full and message.base_version != self.version:
            return ListVerdict(ListDecision.GAP)
        return None

    def _check_placements(self, message: EndpointListUpdate) -> ListVerdict | None:
        placements = {} if message.is_full else dict(self.placements)
        for entry in message.entries:
            placement = ServerPlacement(entry.cell, entry.kind)
            if placements.setdefault(entry.address, placement) != placement:
                return _refused(f"server {entry.address} is listed in two cells or with two kinds")
        return None


def _check_size(message: EndpointListUpdate) -> ListVerdict | None:
    if len(message.entries) > MAX_SERVERS:
        return _refused(f"{len(message.entries)} servers, the maximum is {MAX_SERVERS}")
    return None


def _check_has_active(message: EndpointListUpdate) -> ListVerdict | None:
    # A full list without an active server would end every session. A fault of the list service is far more
    # likely than the loss of the whole fleet, which failed attempts would show anyway.
    if message.is_full and not any(entry.state is ServerState.ACTIVE for entry in message.entries):
        return _refused("a full list without an active server; the last list stays in force")
    return None


@dataclass(slots=True)
class FetchTimeout:
    """How long the list service may take to answer a request for the complete list.

    It doubles with each request that times out: with the same limit every time, a service that is late by
    more than that would never be heard. It is the minimum again after an answer within the minimum.
    """

    _doublings: int = 0

    @property
    def current_us(self) -> int:
        """The timeout of the next request, in microseconds."""
        return _FETCH_TIMEOUT.delay_us(self._doublings)

    def on_timed_out(self) -> None:
        """Record a request that was not answered in time."""
        if self.current_us < MAX_FETCH_TIMEOUT_US:
            self._doublings += 1

    def on_answered(self, duration_us: int) -> None:
        """Record how long an answer has taken."""
        if duration_us < MIN_FETCH_TIMEOUT_US:
            self._doublings = 0


def backoff_us(failures: int, draw: float) -> int:
    """The delay before the next call of the list service.

    Args:
        failures: the number of calls that failed in a row.
        draw: a random number, from 0 up to 1, for jitter.
    """
    return BACKOFF.jittered_delay_us(failures, draw)
