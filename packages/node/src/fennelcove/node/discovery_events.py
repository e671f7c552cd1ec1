"""Parses events of the discovery service (the platform's notice board): server lists and their changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fennelcove.errors import OperatorError
from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerState
from fennelcove.node.address import Address, parse_address

SERVER_STATES = {"up": ServerState.ACTIVE, "draining": ServerState.LEAVING, "removed": ServerState.LEFT}
MAX_SERVERS = 100_000
MAX_NUMBER = 1e18  # larger values and NaN may fail to convert to an integer


class DiscoveryError(OperatorError):
    """The discovery service's response is malformed, and no part of it was used."""

    code = "board-unreadable"
    advice = "Check what the discovery service answers; the node keeps the last list that it could read"


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """An update of the server list, with the address of each of its servers."""

    revision: int
    update: ListUpdate
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class DiscoveryBatch:
    """Events up to a revision; `other_revisions` are the revisions of events that do not concern servers."""

    revision: int
    events: tuple[DiscoveryEvent, ...]
    other_revisions: frozenset[int] = frozenset()

    @classmethod
    def parse(cls, tree: Any) -> DiscoveryBatch:
        """Parse a JSON tree completely.

        Raises:
            DiscoveryError: any part of it is malformed.
        """
        notices, rev = _typed_field(tree, "notices", list), _typed_field(tree, "rev", int)
        if rev < 0:
            raise DiscoveryError(f"negative revision {rev}", "field rev")
        if not all(isinstance(item, dict) for item in notices):
            raise DiscoveryError("an event is not a JSON object", "field notices")
        others = frozenset(_typed_field(item, "rev", int) for item in notices if "pool" not in item)
        return cls(rev, tuple(_parse_event(item) for item in notices if "pool" in item), others)

    @property
    def last_revision(self) -> int:
        """The highest revision of the batch, after which to poll next."""
        return max(self.revision, *(event.revision for event in self.events), 0)

    def has_gap_after(self, revision: int) -> bool:
        """Whether any revision after `revision`, up to the last one, is missing from the batch."""
        numbers = {event.revision for event in self.events} | self.other_revisions
        last = self.last_revision
        return sum(revision < rev <= last for rev in numbers) != last - revision

    def events_after(self, revision: int, gapless: bool) -> tuple[DiscoveryEvent, ...] | None:
        """Return the events after a revision in order, without duplicates.

        Args:
            revision: the last applied revision; 0 if there is none.
            gapless: whether the service numbers its events without gaps.

        Returns:
            The events; None if they do not continue the list at `revision`: the service has restarted its
            revisions, one is missing, or no full update was ever received.
        """
        by_revision: dict[int, DiscoveryEvent] = {}
        for event in self.events:
            if event.revision > revision:
                by_revision.setdefault(event.revision, event)
        events = tuple(by_revision[rev] for rev in sorted(by_revision))
        full_update_indexes = [i for i, event in enumerate(events) if event.update.mode is ListMode.FULL]
        if full_update_indexes:
            return (_merge_into_full_update(events[full_update_indexes[-1] :]),)
        if not revision:
            return None if self.last_revision else ()
        return None if self.last_revision < revision or (gapless and self.has_gap_after(revision)) else events


def _merge_into_full_update(events: tuple[DiscoveryEvent, ...]) -> DiscoveryEvent:
    """Merge a full update and the changes after it into one full update.

    If they were applied one by one, a server named only by a change would be off the list for a moment, and
    its state and connections would be dropped.
    """
    if len(events) == 1:
        return events[0]
    entries = {entry.address: entry for event in events for entry in event.update.entries}
    addresses = {name: address for event in events for name, address in event.addresses.items()}
    listed = tuple(entry for entry in entries.values() if entry.state is not ServerState.LEFT)
    return DiscoveryEvent(events[-1].revision, ListUpdate(ListMode.FULL, listed), addresses)


def _parse_event(tree: Any) -> DiscoveryEvent:
    pool = _typed_field(tree, "pool", dict)
    hosts = _typed_field(pool, "hosts", list)
    if len(hosts) > MAX_SERVERS:
        raise DiscoveryError(f"{len(hosts)} servers, at most {MAX_SERVERS} are allowed", "field hosts")
    mode = ListMode.FULL if _typed_field(pool, "whole", bool) else ListMode.INCREMENTAL
    entries = tuple(_parse_entry(host) for host in hosts)
    addresses = {e.address: _parse_server_address(host) for e, host in zip(entries, hosts, strict=True)}
    return DiscoveryEvent(_typed_field(tree, "rev", int), ListUpdate(mode, entries), addresses)


def _parse_server_address(tree: Any) -> Address:
    try:
        address = parse_address(tree.get("dial"))
    except ValueError as error:
        raise DiscoveryError(str(error)) from None
    # Dialling a host name with other characters raises more than OSError, which would end the thread.
    if not address.host.isascii() or not address.host.isprintable() or " " in address.host:
        raise DiscoveryError(f"invalid host name: {address.host!r}", "field dial")
    return address


def _parse_entry(tree: Any) -> ListEntry:
    state = SERVER_STATES.get(_typed_field(tree, "health", str))
    if state is None:
        raise DiscoveryError(f"unknown value: {tree['health']!r}", "field health")
    return ListEntry(
        address=_typed_field(tree, "host", str),
        zone=_typed_field(tree, "site", str),
        kind=_typed_field(tree, "class", str),
        cell=_typed_field(tree, "block", int),
        state=state,
        weight=_number_field(tree, "share", 1.0),
        started_us=round(_number_field(tree, "born_ms", 0.0) * 1000),
    )


def _typed_field(tree: Any, key: str, kind: type) -> Any:
    value = tree.get(key) if isinstance(tree, dict) else None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise DiscoveryError(f"not of type {kind.__name__}", f"field {key}")
    return value


def _number_field(tree: Any, key: str, default: float) -> float:
    value = tree.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
        raise DiscoveryError("not a number in the allowed range", f"field {key}")
    return float(value)
