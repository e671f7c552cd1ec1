"""The audit file of operator commands: a hash chain, so that later edits can be detected.

Each line begins with the hash of the previous line's hash and its own JSON object.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path

import blake3
import msgspec

HASH_CHARS = 32


class AuditFile:
    """Appends records to one audit file; without a path nothing is written."""

    def __init__(self, path: str | None) -> None:
        self.path = Path(path) if path is not None else None
        self.lock = threading.Lock()
        self.last = self._read_last_hash()

    def _read_last_hash(self) -> str:
        if self.path is None or not self.path.exists():
            return ""
        lines = self.path.read_bytes().splitlines()
        return lines[-1][:HASH_CHARS].decode("ascii", "replace") if lines else ""

    def append(self, **fields: object) -> None:
        """Append a record and sync it to the disk.

        Raises:
            OSError: the record could not be written.
        """
        if self.path is None:
            return
        with self.lock:
            body = msgspec.json.encode(fields)
            line_hash = blake3.blake3(self.last.encode() + body).hexdigest()[:HASH_CHARS]
            descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            try:
                os.write(descriptor, line_hash.encode() + b" " + body + b"\n")
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            self.last = line_hash


def check(path: str) -> int | None:
    """Verify an audit file; return the number of the first line that was altered, or None."""
    last = ""
    for number, line in enumerate(Path(path).read_bytes().splitlines(), 1):
        line_hash, _, body = line.partition(b" ")
        if blake3.blake3(last.encode() + body).hexdigest()[:HASH_CHARS].encode() != line_hash:
            return number
        last = line_hash.decode()
    return None
