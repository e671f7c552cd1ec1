"""What waits to be sent to one connection: a bounded line in which newer state takes the place of older.

A player that reads slowly is owed each answer, and of what changes only the newest. Past the bound it is cut
off: one that can't take that much will not catch up, and its subscriptions wait for it to come back.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from enum import Enum, auto
from typing import Generic, TypeVar

Item = TypeVar("Item")

MAX_ITEMS = 64


class PutResult(Enum):
    """What became of an item."""

    QUEUED = auto()
    REPLACED = auto()  # an older one of the same matter is gone
    OVER = auto()  # no room: the connection must be cut off


class ConflatingQueue(Generic[Item]):
    """One connection's line, in order; the caller holds the lock."""

    def __init__(self, most: int = MAX_ITEMS) -> None:
        self.max_items = most
        self.items: OrderedDict[Hashable, Item] = OrderedDict()
        self.next_key = 0
        self.over = False

    def put(self, item: Item, matter: Hashable | None = None) -> PutResult:
        """One more; items of one matter replace each other where they stand, those of none never."""
        if self.over:
            return PutResult.OVER
        if matter is not None and matter in self.items:
            self.items[matter] = item
            return PutResult.REPLACED
        if len(self.items) >= self.max_items:
            self.over = True
            return PutResult.OVER
        self.next_key += 1
        self.items[matter if matter is not None else self.next_key] = item
        return PutResult.QUEUED

    def take(self) -> list[Item]:
        """All that waits."""
        found = list(self.items.values())
        self.items.clear()
        return found
