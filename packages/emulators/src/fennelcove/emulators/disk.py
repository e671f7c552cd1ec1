"""A stand-in disk that forgets: what was not synced is lost, torn or out of order when the power goes."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import product


class PowerCut(Exception):
    """The power goes at this call."""


@dataclass(slots=True)
class FileState:
    """One file: what is on the platters, and the writes since, in order."""

    synced: bytes = b""
    is_name_durable: bool = False  # its name is on the platters
    pending: list[tuple[int, bytes | None]] = field(
        default_factory=list
    )  # an offset and bytes; None cuts there

    def current(self) -> bytes:
        """As this life sees it."""
        return apply_writes(self.synced, self.pending)


def apply_writes(raw: bytes, writes: list[tuple[int, bytes | None]]) -> bytes:
    """A file after some writes; a hole reads as zeros."""
    for offset, data in writes:
        raw = (
            raw[:offset]
            if data is None
            else raw[:offset].ljust(offset, b"\0") + data + raw[offset + len(data) :]
        )
    return raw


class StandInDisk:
    """One folder; counts every call, and cuts the power at a stated one."""

    def __init__(
        self, files: dict[str, bytes] | None = None, cut_at: int | None = None, most: int = 10**9
    ) -> None:
        self.files = {name: FileState(raw, True) for name, raw in (files or {}).items()}
        self.removed: dict[str, FileState] = {}  # removed, and the folder not synced since
        self.cut_at = cut_at
        self.most = most
        self.calls = 0

    def _count_call(self) -> None:
        self.calls += 1
        if self.cut_at is not None and self.calls > self.cut_at:
            raise PowerCut

    def list_names(self) -> list[str]:
        """As a folder lists them."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """As this life sees it."""
        return self.files[name].current()

    def append(self, name: str, raw: bytes) -> None:
        """At the end, synced or not; past the disk's size as much as fits, then ENOSPC."""
        self._count_call()
        file = self.files.setdefault(name, FileState())
        offset = len(file.current())
        room = self.most - sum(len(item.current()) for item in self.files.values())
        if raw[:room]:
            file.pending.append((offset, raw[: max(0, room)]))
        if len(raw) > room:
            raise OSError(errno.ENOSPC, "No space left on device")

    def truncate(self, name: str, size: int) -> None:
        """Shorten."""
        self._count_call()
        self.files[name].pending.append((size, None))

    def sync(self, name: str) -> None:
        """All of it is on the platters; its name may not be."""
        self._count_call()
        file = self.files[name]
        file.synced, file.pending = file.current(), []

    def sync_folder(self) -> None:
        """All names are on the platters."""
        self._count_call()
        for file in self.files.values():
            file.is_name_durable = True
        self.removed.clear()

    def remove(self, name: str) -> None:
        """A name is gone, once the folder is synced."""
        self._count_call()
        file = self.files.pop(name)
        if file.is_name_durable:
            self.removed[name] = file

    def after_power_cut(self) -> Iterator[dict[str, bytes]]:
        """What the next life may find: each file with none, all, the first half torn, or only the last of its
        unsynced writes; names that were not synced there or not, removed ones there or not.
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
