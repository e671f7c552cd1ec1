"""Keys of places in a file: one a line, `hexadecimal milliseconds-since-1970`, the newest last.

A new key seals at once; older ones are known for an hour more, longer than any place lasts.
"""

from __future__ import annotations

import os
import secrets
from pathlib import Path

from fennelcove.errors import OperatorError

OVERLAP_MS = 3_600_000
KEY_BYTES = 32


class KeyFileError(OperatorError):
    """A file of keys can't be read or written, or holds none."""

    code = "key-file-unusable"
    advice = "Fronts that share keys need the same file; it must be readable for the front's user alone"


def load(path: str, wall_ms: int) -> list[bytes]:
    """The keys in use, the newest first.

    Raises:
        KeyFileError: unreadable, or a line that is no key.
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
                f"found no key of {KEY_BYTES} bytes and its time", f"{path}:{number}", "remove the line"
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
    """Add a new key and drop those whose overlap is over; how many there are now. Whole or not at all.

    Raises:
        KeyFileError: a file that is there and is no key file, or can't be written.
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
        raise KeyFileError(f"found no writable place ({error.strerror})", path) from None
    return len(lines)
