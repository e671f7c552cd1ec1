"""Session ids that cannot be guessed, and the id of one incarnation of a process."""

from __future__ import annotations

import hashlib
import os


class SessionIds:
    """Issues ids: a count, authenticated under the key of this incarnation.

    Whoever has an id may see and release its session. The key comes from the operating system, not from the
    seed of the settings: two incarnations of one front must not give servers the same ids.

    Attributes:
        boot_id: the id of this incarnation.
    """

    def __init__(self, key: bytes | None = None) -> None:
        self.key = key or os.urandom(32)
        self.boot_id = hashlib.blake2s(b"boot", key=self.key, digest_size=6).hexdigest()
        self.issued_count = 0

    def next_id(self) -> str:
        """A new id: the count and 24 hexadecimal characters."""
        self.issued_count += 1
        return self._format_id(self.issued_count)

    def _format_id(self, count: int) -> str:
        digest = hashlib.blake2s(count.to_bytes(8, "big"), key=self.key, digest_size=12).hexdigest()
        return f"{count:x}-{digest}"

    def is_issued_here(self, session_id: str) -> bool:
        """Whether the id was issued in this incarnation."""
        head = session_id.partition("-")[0]
        try:
            count = int(head, 16)
        except ValueError:
            return False
        return 0 < count <= self.issued_count and session_id == self._format_id(count)
