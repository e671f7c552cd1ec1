"""Ids of sessions whose client left while a server may have executed them."""

from __future__ import annotations

MAX_IDS = 16_384
RETENTION_US = 60_000_000


class RecentIds:
    """A set of ids, each remembered for a limited time; the oldest give way when it is full.

    A client that comes again under the id of a session that a server may have executed would have it executed
    twice. Each request has a new id, a client's retry too.
    """

    def __init__(self) -> None:
        """Start with no id."""
        self._added_us: dict[bytes, int] = {}  # by id, oldest first

    def __len__(self) -> int:
        """The number of ids that are remembered."""
        return len(self._added_us)

    def add(self, id: bytes, now_us: int) -> None:
        """Remember an id from now on."""
        self._added_us.pop(id, None)
        if len(self._added_us) >= MAX_IDS:
            del self._added_us[next(iter(self._added_us))]
        self._added_us[id] = now_us

    def contains(self, id: bytes, now_us: int) -> bool:
        """Whether an id is remembered."""
        added_us = self._added_us.get(id)
        return added_us is not None and now_us - added_us <= RETENTION_US

    def expire(self, now_us: int) -> None:
        """Forget the ids whose time has passed."""
        for id, added_us in list(self._added_us.items()):
            if now_us - added_us <= RETENTION_US:
                break
            del self._added_us[id]
