"""File operations of the journal: the interface, which an emulated disk implements too, and local files."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class Files(Protocol):
    """The files of one folder. Writes that are not synced may be lost, in part and in any order."""

    def list_names(self) -> list[str]:
        """The names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """The content of a file."""

    def append(self, name: str, raw: bytes) -> None:
        """Append bytes to a file, which is created if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""

    def sync(self, name: str) -> None:
        """Flush the content of a file to the disk."""

    def sync_folder(self) -> None:
        """Flush the folder to the disk, so that created and removed file names are durable."""

    def remove(self, name: str) -> None:
        """Delete a file."""


class LocalFiles:
    """The files of a local folder, as described at `Files`.

    Raises:
        OSError: from every method, as the operating system reports it.
    """

    def __init__(self, folder: str) -> None:
        """Use the files of an existing folder."""
        self.folder = Path(folder)
        self.descriptors: dict[str, int] = {}

    def list_names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(item.name for item in self.folder.iterdir())

    def read(self, name: str) -> bytes:
        """The content of a file."""
        return (self.folder / name).read_bytes()

    def _descriptor(self, name: str) -> int:
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, FILE_MODE)
        return self.descriptors[name]

    def append(self, name: str, raw: bytes) -> None:
        """Append bytes to a file, which is created if it does not exist."""
        remaining = memoryview(raw)
        while remaining:
            written = os.write(self._descriptor(name), remaining)
            remaining = remaining[written:]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Flush the content of a file to the disk."""
        os.fsync(self._descriptor(name))

    def sync_folder(self) -> None:
        """Flush the folder to the disk, so that created and removed file names are durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Delete a file."""
        self._close_descriptor(name)
        (self.folder / name).unlink()

    def _close_descriptor(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Close all descriptors."""
        for name in list(self.descriptors):
            with suppress(OSError):
                self._close_descriptor(name)
