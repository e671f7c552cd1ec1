"""Names for subscriptions that nobody can guess, and for one life of a process."""

from __future__ import annotations

import hashlib
import os


class SessionIds:
    """Hands out ids: a count under a key of this life, so that none comes twice and none can be guessed.

    An id lets its holder see and release the subscription. The key is no decision's chance: it comes from the
    system, not from the seed, or two lives of one front would give boxes the same ids.
    """

    def __init__(self, key: bytes | None = None) -> None:
        self.key = key or os.urandom(32)
        self.boot_id = hashlib.blake2s(b"boot", key=self.key, digest_size=6).hexdigest()
        self.issued_count = 0

    def next_id(self) -> str:
        """A new id, 24 hexadecimal characters behind the count."""
        self.issued_count += 1
        return self._format_id(self.issued_count)

    def _format_id(self, count: int) -> str:
        mark = hashlib.blake2s(count.to_bytes(8, "big"), key=self.key, digest_size=12).hexdigest()
        return f"{count:x}-{mark}"

    def is_issued_here(self, id: str) -> bool:
        """Whether the id was made in this life."""
        head = id.partition("-")[0]
        try:
            count = int(head, 16)
        except ValueError:
            return False
        return 0 < count <= self.issued_count and id == self._format_id(count)
