"""A bounded send queue of one connection, in which newer state replaces older state (conflation).

A slow reader gets every response, but only the newest value of each state that changes. When the queue is
full, the connection is closed: the reader will not catch up, and its sessions wait for it to reconnect.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from enum import Enum, auto
from typing import Generic, TypeVar

Item = TypeVar("Item")

MAX_ITEMS = 64


class PutResult(Enum):
    """The result of adding an item."""

    QUEUED = auto()
    REPLACED = auto()  # it replaced an older item with the same key
    OVERFLOWED = auto()  # the queue is full: the connection must be closed


class ConflatingQueue(Generic[Item]):
    """One connection's items in order; the caller holds the lock."""

    def __init__(self, max_items: int = MAX_ITEMS) -> None:
        self.max_items = max_items
        self.items: OrderedDict[Hashable, Item] = OrderedDict()
        self.next_key = 0
        self.has_overflowed = False

    def put(self, item: Item, key: Hashable | None = None) -> PutResult:
        """Enqueue an item; it takes the position of a queued one with the same key, which it replaces."""
        if self.has_overflowed:
            return PutResult.OVERFLOWED
        if key is not None and key in self.items:
            self.items[key] = item
            return PutResult.REPLACED
        if len(self.items) >= self.max_items:
            self.has_overflowed = True
            return PutResult.OVERFLOWED
        self.next_key += 1
        self.items[key if key is not None else self.next_key] = item
        return PutResult.QUEUED

    def drain(self) -> list[Item]:
        """Remove and return all items."""
        items = list(self.items.values())
        self.items.clear()
        return items
