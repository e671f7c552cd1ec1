"""Unguessable session ids, and the id of a front's incarnation."""

from __future__ import annotations

import hashlib
import os


class SessionIds:
    """Issues session ids: a counter, authenticated under the key of this incarnation.

    An id authorises its bearer to see and release the session. The key is taken from the operating system's
    random numbers, not from the configured seed: two incarnations of a front must not issue the same ids.

    Attributes:
        boot_id: The id of this incarnation.
    """

    def __init__(self, key: bytes | None = None) -> None:
        self.key = key or os.urandom(32)
        self.boot_id = hashlib.blake2s(b"boot", key=self.key, digest_size=6).hexdigest()
        self.issued_count = 0

    def next_id(self) -> str:
        """Return a new id: the counter, followed by 24 hexadecimal digits of its MAC."""
        self.issued_count += 1
        return self._format_id(self.issued_count)

    def _format_id(self, count: int) -> str:
        digest = hashlib.blake2s(count.to_bytes(8, "big"), key=self.key, digest_size=12).hexdigest()
        return f"{count:x}-{digest}"

    def is_issued_here(self, session_id: str) -> bool:
        """Return whether the id was issued by this incarnation."""
        head = session_id.partition("-")[0]
        try:
            count = int(head, 16)
        except ValueError:
            return False
        return 0 < count <= self.issued_count and session_id == self._format_id(count)
