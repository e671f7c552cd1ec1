"""The notice board's events: the list of servers and its changes, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fennelcove.errors import OperatorError
from fennelcove.interface import ListEntry, ListMode, ListUpdate, ServerState
from fennelcove.node.address import Address, parse_address

STANDINGS = {"up": ServerState.ACTIVE, "draining": ServerState.LEAVING, "removed": ServerState.LEFT}
MOST_HOSTS = 100_000
MOST_NUMBER = 1e18  # beyond it, or not a number at all, what is counted from it is no whole number any more


class DiscoveryError(OperatorError):
    """The notice board's answer is not what one tells; nothing of it was used."""

    code = "board-unreadable"
    advice = "See what the board answers; the node goes on by the last list that it could read"


@dataclass(frozen=True, slots=True)
class DiscoveryEvent:
    """One event: an update of the list, with the address of each of its servers."""

    rev: int
    update: ListUpdate
    dials: dict[str, Address]


@dataclass(frozen=True, slots=True)
class DiscoveryStream:
    """Events up to a number; `others` are the numbers of those that are not about servers."""

    rev: int
    notices: tuple[DiscoveryEvent, ...]
    others: frozenset[int] = frozenset()

    @classmethod
    def parse(cls, tree: Any) -> DiscoveryStream:
        """Whole or not at all.

        Raises:
            BoardError: it is malformed anywhere.
        """
        notices, rev = _value(tree, "notices", list), _value(tree, "rev", int)
        if rev < 0:
            raise DiscoveryError(f"found {rev}", "field rev")
        if not all(isinstance(item, dict) for item in notices):
            raise DiscoveryError("found an event that is none", "field notices")
        others = frozenset(_value(item, "rev", int) for item in notices if "pool" not in item)
        return cls(rev, tuple(_notice(item) for item in notices if "pool" in item), others)

    @property
    def last(self) -> int:
        """The number to ask after next."""
        return max(self.rev, *(notice.rev for notice in self.notices), 0)

    def misses(self, watch: int) -> bool:
        """Whether a number between `watch` and the last is not among those told."""
        numbers = {notice.rev for notice in self.notices} | self.others
        return sum(watch < rev <= self.last for rev in numbers) != self.last - watch

    def after(self, watch: int, gapless: bool) -> tuple[DiscoveryEvent, ...] | None:
        """What is new to who has all events up to `watch`, each once and in the order of their numbers; None
        where it does not follow: the numbers began anew, one is missing from those that leave none out, or
        there are changes of a list never told."""
        told: dict[int, DiscoveryEvent] = {}
        for notice in self.notices:
            if notice.rev > watch:
                told.setdefault(notice.rev, notice)
        news = tuple(told[rev] for rev in sorted(told))
        wholes = [i for i, notice in enumerate(news) if notice.update.mode is ListMode.FULL]
        if wholes:
            return (_folded(news[wholes[-1] :]),)
        if not watch:
            return None if self.last else ()
        return None if self.last < watch or (gapless and self.misses(watch)) else news


def _folded(news: tuple[DiscoveryEvent, ...]) -> DiscoveryEvent:
    """A whole list and the changes after it as one whole list: told one by one, a server that only a change
    names was off the list for a moment, and what is known of it and the connections to it were given up."""
    if len(news) == 1:
        return news[0]
    entries = {entry.address: entry for notice in news for entry in notice.update.entries}
    dials = {name: dial for notice in news for name, dial in notice.dials.items()}
    listed = tuple(entry for entry in entries.values() if entry.standing is not ServerState.LEFT)
    return DiscoveryEvent(news[-1].rev, ListUpdate(ListMode.FULL, listed), dials)


def _notice(tree: Any) -> DiscoveryEvent:
    pool = _value(tree, "pool", dict)
    hosts = _value(pool, "hosts", list)
    if len(hosts) > MOST_HOSTS:
        raise DiscoveryError(f"found {len(hosts)}", "field hosts")
    mode = ListMode.FULL if _value(pool, "whole", bool) else ListMode.INCREMENTAL
    entries = tuple(_entry(host) for host in hosts)
    dials = {e.address: _dial(host) for e, host in zip(entries, hosts, strict=True)}
    return DiscoveryEvent(_value(tree, "rev", int), ListUpdate(mode, entries), dials)


def _dial(tree: Any) -> Address:
    try:
        address = parse_address(tree.get("dial"))
    except ValueError as error:
        raise DiscoveryError(str(error)) from None
    # A host name with such characters raises more than OSError where it is dialled, and ends that thread.
    if not address.host.isascii() or not address.host.isprintable() or " " in address.host:
        raise DiscoveryError(f"no address: {address.host!r}", "field dial")
    return address


def _entry(tree: Any) -> ListEntry:
    standing = STANDINGS.get(_value(tree, "health", str))
    if standing is None:
        raise DiscoveryError(f"found an unknown value: {tree['health']!r}", "field health")
    return ListEntry(
        address=_value(tree, "host", str),
        zone=_value(tree, "site", str),
        kind=_value(tree, "class", str),
        cell=_value(tree, "block", int),
        standing=standing,
        weight=_number(tree, "share", 1.0),
        started_us=round(_number(tree, "born_ms", 0.0) * 1000),
    )


def _value(tree: Any, key: str, kind: type) -> Any:
    value = tree.get(key) if isinstance(tree, dict) else None
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise DiscoveryError(f"found no {kind.__name__}", f"field {key}")
    return value


def _number(tree: Any, key: str, default: float) -> float:
    value = tree.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= MOST_NUMBER:
        raise DiscoveryError("found no number", f"field {key}")
    return float(value)
