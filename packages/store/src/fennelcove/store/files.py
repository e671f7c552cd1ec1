"""The files below the journal: real ones, and the interface that a simulated disk stands in for."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """One folder. Whatever is not synced may be lost, in part and in any order."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, raw: bytes) -> None: ...

    def cut(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...

    def remove(self, name: str) -> None: ...


class LocalFiles:
    """A folder of this machine.

    Raises:
        OSError: from every call, as the machine says.
    """

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self.descriptors: dict[str, int] = {}

    def names(self) -> list[str]:
        return sorted(item.name for item in self.folder.iterdir())

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def _descriptor(self, name: str) -> int:
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, 0o600)
        return self.descriptors[name]

    def append(self, name: str, raw: bytes) -> None:
        left = memoryview(raw)
        while left:
            left = left[os.write(self._descriptor(name), left) :]

    def cut(self, name: str, size: int) -> None:
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        os.fsync(self._descriptor(name))

    def sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        self._close_descriptor(name)
        (self.folder / name).unlink()

    def _close_descriptor(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Give every descriptor back."""
        for name in list(self.descriptors):
            with suppress(OSError):
                self._close_descriptor(name)
