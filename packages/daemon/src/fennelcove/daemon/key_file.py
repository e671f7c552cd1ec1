"""Files of signing keys: one key a line, `hexadecimal milliseconds-since-1970`, the newest last.

The newest key signs. A key that it supersedes is accepted for one more hour, longer than any queue ticket
is valid.
"""

from __future__ import annotations

import os
import secrets
from pathlib import Path

from fennelcove.errors import OperatorError

OVERLAP_MS = 3_600_000  # longer than the lifetime of a queue ticket
KEY_BYTES = 32


class KeyFileError(OperatorError):
    """A key file can't be read or written, or contains no key."""

    code = "key-file-unusable"
    advice = "Give all fronts that share keys the same file, readable only by the user that the front runs as"


def load(path: str, wall_ms: int) -> list[bytes]:
    """Read the keys that are in use, the newest first.

    Raises:
        KeyFileError: the file is unreadable, or a line is not a key.
    """
    try:
        lines = Path(path).read_text("ascii").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(
            f"found no readable key file ({error})", path, "fennelcove storm key makes one"
        ) from None
    dated_keys: list[tuple[int, bytes]] = []
    for number, line in enumerate(lines, 1):
        text, _, created = line.strip().partition(" ")
        try:
            key, created_ms = bytes.fromhex(text), int(created)
        except ValueError:
            key, created_ms = b"", 0
        if len(key) != KEY_BYTES:
            raise KeyFileError(
                f"found no key of {KEY_BYTES} bytes with its creation time",
                f"{path}:{number}",
                "remove the line",
            )
        dated_keys.append((created_ms, key))
    dated_keys.sort(reverse=True)
    # A key is superseded when the next is made; the newest never expires.
    active_keys = [
        key for i, (_, key) in enumerate(dated_keys) if i == 0 or wall_ms - dated_keys[i - 1][0] < OVERLAP_MS
    ]
    if not active_keys:
        raise KeyFileError("found no key", path, "fennelcove storm key makes one")
    return active_keys


def rotate(path: str, wall_ms: int) -> int:
    """Add a new key, remove keys that are no longer accepted, and return the number of keys.

    The file is replaced atomically.

    Raises:
        KeyFileError: the existing file is not a key file, or the file can't be written.
    """
    file_path = Path(path)
    keys = load(path, wall_ms) if file_path.exists() else []
    lines = (
        []
        if not keys
        else [
            line
            for line in file_path.read_text("ascii").splitlines()
            if bytes.fromhex(line.split()[0]) in keys
        ]
    )
    lines.append(f"{secrets.token_hex(KEY_BYTES)} {wall_ms}")
    temporary_path = file_path.with_name(file_path.name + ".new")
    try:
        descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        with os.fdopen(descriptor, "w", encoding="ascii") as file:
            file.write("\n".join(lines) + "\n")
            file.flush()
            os.fsync(file.fileno())
        temporary_path.replace(file_path)
    except OSError as error:
        raise KeyFileError(f"found no way to write the key file ({error.strerror})", path) from None
    return len(lines)
