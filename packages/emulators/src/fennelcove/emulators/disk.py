"""An emulated disk: on a power failure, unsynced writes are lost, torn or reordered."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import product


class PowerCut(Exception):
    """The power fails at this call."""


@dataclass(slots=True)
class FileState:
    """One file: its durable content, and the unsynced writes in order."""

    synced: bytes = b""
    is_name_durable: bool = False  # its directory entry is synced
    # offset and data; None truncates the file there
    pending: list[tuple[int, bytes | None]] = field(default_factory=list)

    def current(self) -> bytes:
        """Return the content that the running process reads."""
        return apply_writes(self.synced, self.pending)


def apply_writes(raw: bytes, writes: list[tuple[int, bytes | None]]) -> bytes:
    """Return the content of a file after some writes; holes read as zeros."""
    for offset, data in writes:
        raw = (
            raw[:offset]
            if data is None
            else raw[:offset].ljust(offset, b"\0") + data + raw[offset + len(data) :]
        )
    return raw


class EmulatedDisk:
    """One directory; counts the calls and raises `PowerCut` after `cut_at` of them."""

    def __init__(
        self, files: dict[str, bytes] | None = None, cut_at: int | None = None, capacity_bytes: int = 10**9
    ) -> None:
        self.files = {name: FileState(raw, True) for name, raw in (files or {}).items()}
        self.removed: dict[str, FileState] = {}  # removed, but the directory is not synced yet
        self.cut_at = cut_at
        self.capacity_bytes = capacity_bytes
        self.calls = 0

    def _count_call(self) -> None:
        self.calls += 1
        if self.cut_at is not None and self.calls > self.cut_at:
            raise PowerCut

    def list_names(self) -> list[str]:
        """Return the file names, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Return the content that the running process reads."""
        return self.files[name].current()

    def append(self, name: str, raw: bytes) -> None:
        """Append to a file; on a full disk write as much as fits and raise ENOSPC."""
        self._count_call()
        file = self.files.setdefault(name, FileState())
        offset = len(file.current())
        room = self.capacity_bytes - sum(len(item.current()) for item in self.files.values())
        if raw[:room]:
            file.pending.append((offset, raw[: max(0, room)]))
        if len(raw) > room:
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to this size."""
        self._count_call()
        self.files[name].pending.append((size, None))

    def sync(self, name: str) -> None:
        """Make the content of a file durable, but not its directory entry."""
        self._count_call()
        file = self.files[name]
        file.synced, file.pending = file.current(), []

    def sync_folder(self) -> None:
        """Make all directory entries and removals durable."""
        self._count_call()
        for file in self.files.values():
            file.is_name_durable = True
        self.removed.clear()

    def remove(self, name: str) -> None:
        """Remove a file; durable once the directory is synced."""
        self._count_call()
        file = self.files.pop(name)
        if file.is_name_durable:
            self.removed[name] = file

    def after_power_cut(self) -> Iterator[dict[str, bytes]]:
        """Yield the directory contents that may be found after a power failure.

        Each file has its synced content, all of its unsynced writes, a prefix of them with the next one torn,
        or only the last one. Unsynced directory entries and removals may or may not have taken effect.
        """
        choices: list[list[tuple[str, bytes | None]]] = []
        for name, file in {**self.removed, **self.files}.items():
            outcomes: list[tuple[str, bytes | None]] = [
                (name, state) for state in dict.fromkeys(_states(file))
            ]
            if not file.is_name_durable or name in self.removed:
                outcomes.append((name, None))
            choices.append(outcomes)
        for picked in product(*choices):
            yield {name: raw for name, raw in picked if raw is not None}


def _states(file: FileState) -> Iterator[bytes]:
    yield file.synced
    yield file.current()
    for i, (offset, data) in enumerate(file.pending):
        yield apply_writes(file.synced, file.pending[:i])
        if data is not None and len(data) > 1:
            yield apply_writes(file.synced, [*file.pending[:i], (offset, data[: len(data) // 2])])
            yield apply_writes(file.synced, [*file.pending[:i], (offset, data[:-1])])
    if len(file.pending) > 1:
        yield apply_writes(file.synced, file.pending[-1:])
