"""Events of the discovery service (the platform's notice board): server lists and changes, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fennelcove.errors import OperatorError
from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerState
from fennelcove.node.address import Address, parse_address

SERVER_STATES = {"up": ServerState.ACTIVE, "draining": ServerState.LEAVING, "removed": ServerState.LEFT}
MAX_SERVERS = 100_000
MAX_NUMBER = 1e18  # beyond it, or with NaN, no whole number can be computed from the value


class DiscoveryError(OperatorError):
    """The discovery service's response is malformed; nothing of it was used."""

    code = "board-unreadable"
    advice = "See what the board answers; the node goes on by the last list that it could read"


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """An update of the server list, with the address of each of its servers."""

    revision: int
    update: ListUpdate
    addresses: dict[str, Address]


@dataclass(frozen=True, slots=True)
class DiscoveryBatch:
    """Events up to a revision; `other_revisions` are those of events that are not about servers."""

    revision: int
    events: tuple[DiscoveryEvent, ...]
    other_revisions: frozenset[int] = frozenset()

    @classmethod
    def parse(cls, tree: Any) -> DiscoveryBatch:
        """Parse a JSON tree: all of it, or none.

        Raises:
            DiscoveryError: it is malformed anywhere.
        """
        notices, rev = _typed_field(tree, "notices", list), _typed_field(tree, "rev", int)
        if rev < 0:
            raise DiscoveryError(f"found {rev}", "field rev")
        if not all(isinstance(item, dict) for item in notices):
            raise DiscoveryError("found an event that is none", "field notices")
        others = frozenset(_typed_field(item, "rev", int) for item in notices if "pool" not in item)
        return cls(rev, tuple(_parse_event(item) for item in notices if "pool" in item), others)

    @property
    def last_revision(self) -> int:
        """The revision to poll after next."""
        return max(self.revision, *(event.revision for event in self.events), 0)

    def has_gap_after(self, revision: int) -> bool:
        """Whether a revision after `revision`, up to the last, is missing from the batch."""
        numbers = {event.revision for event in self.events} | self.other_revisions
        last = self.last_revision
        return sum(revision < rev <= last for rev in numbers) != last - revision

    def events_after(self, revision: int, gapless: bool) -> tuple[DiscoveryEvent, ...] | None:
        """Return the events after revision `revision`, each once and in order.

        Args:
            revision: the last revision that has been applied; 0 if none has.
            gapless: whether the service leaves no revision out.

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
    """Return a full update and the changes after it as one full update.

    Applied one by one, a server that only a change names was off the list for a moment, and its state and
    connections were dropped.
    """
    if len(events) == 1:
        return events[0]
    entries = {entry.address: entry for event in events for entry in event.update.entries}
    addresses = {name: dial for event in events for name, dial in event.addresses.items()}
    listed = tuple(entry for entry in entries.values() if entry.state is not ServerState.LEFT)
    return DiscoveryEvent(events[-1].revision, ListUpdate(ListMode.FULL, listed), addresses)


def _parse_event(tree: Any) -> DiscoveryEvent:
    pool = _typed_field(tree, "pool", dict)
    hosts = _typed_field(pool, "hosts", list)
    if len(hosts) > MAX_SERVERS:
        raise DiscoveryError(f"found {len(hosts)}", "field hosts")
    mode = ListMode.FULL if _typed_field(pool, "whole", bool) else ListMode.INCREMENTAL
    entries = tuple(_parse_entry(host) for host in hosts)
    addresses = {e.address: _parse_server_address(host) for e, host in zip(entries, hosts, strict=True)}
    return DiscoveryEvent(_typed_field(tree, "rev", int), ListUpdate(mode, entries), addresses)


def _parse_server_address(tree: Any) -> Address:
    try:
        address = parse_address(tree.get("dial"))
    except ValueError as error:
        raise DiscoveryError(str(error)) from None
    # A host name with such characters raises more than OSError where it is dialled, and ends that thread.
    if not address.host.isascii() or not address.host.isprintable() or " " in address.host:
        raise DiscoveryError(f"no address: {address.host!r}", "field dial")
    return address


def _parse_entry(tree: Any) -> ListEntry:
    state = SERVER_STATES.get(_typed_field(tree, "health", str))
    if state is None:
        raise DiscoveryError(f"found an unknown value: {tree['health']!r}", "field health")
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
        raise DiscoveryError(f"found no {kind.__name__}", f"field {key}")
    return value


def _number_field(tree: Any, key: str, default: float) -> float:
    value = tree.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MAX_NUMBER:
        raise DiscoveryError("found no number", f"field {key}")
    return float(value)
