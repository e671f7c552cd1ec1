"""A store's folder: one holder at a time, base and journal read together, folded together when it is time."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Sequence
from pathlib import Path

from fennelcove.errors import OperatorError
from fennelcove.store import journal
from fennelcove.store.base import FILE, BaseFile, BaseFileError
from fennelcove.store.files import LocalFiles
from fennelcove.store.journal import RecoveredJournal, Journal
from fennelcove.store.records import Damage, Entry, FrameFault

LOCK_FILE_NAME = "lock"
JOURNAL_FOLD_BYTES = 4_000_000  # of journal: from here on it is folded into the base
MEGABYTE = 1_000_000


class StoreError(OperatorError):
    """A store's folder can't be used: held by another, not writable, or not ours."""

    code = "store-unusable"
    advice = (
        "Check the folder's rights and who holds it; a front without `store` in its settings keeps nothing"
    )


class Store:
    """An open folder. Belongs to one thread at a time.

    Raises:
        StoreError: from its constructor: held by another, not a folder, not writable, or not ours.
    """

    def __init__(self, folder: str, most_mb: int, replica: str) -> None:
        self.folder = folder
        self.max_mb = most_mb
        here = Path(folder)
        try:
            here.mkdir(parents=True, exist_ok=True)
            self.lock_descriptor = os.open(
                here / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
        except OSError as error:
            raise StoreError(f"found no folder that can be written ({error.strerror})", folder) from None
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            other = (
                os.pread(self.lock_descriptor, 200, 0).decode("utf-8", "replace").strip() or "another process"
            )
            os.close(self.lock_descriptor)
            raise StoreError(
                f"found it held by {other}", folder, "give each front a folder of its own"
            ) from None
        try:
            os.ftruncate(self.lock_descriptor, 0)
            os.pwrite(self.lock_descriptor, f"{replica}, process {os.getpid()}\n".encode(), 0)
            self.base = BaseFile(folder, most_mb * MEGABYTE)
        except BaseFileError as error:
            os.close(self.lock_descriptor)
            raise StoreError(error.sentence, folder, error.cure) from None
        except OSError as error:
            os.close(self.lock_descriptor)
            raise StoreError(str(error), folder) from None
        self.files = LocalFiles(folder)
        self.unsound: list[bytes] = []
        self.values: dict[bytes, bytes] = {}
        try:
            self.found = self._load()
            self.journal = Journal(self.files, self.base.sequence)
            self._fold_recovered()
        except OSError as error:
            self.close()
            raise StoreError(f"found it not writable ({error.strerror})", folder) from None

    def _load(self) -> RecoveredJournal:
        for key, value in self.base.items():
            if value is None:
                self.unsound.append(key)
            else:
                self.values[key] = value
        found = journal.recover(self.files, self.base.sequence)
        for batch in found.batches:
            for key, value in batch.entries:
                self._apply_entry(key, value)
        return found

    def _apply_entry(self, key: bytes, value: bytes | None) -> None:
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = value

    def _fold_recovered(self) -> None:
        """Fold what was found into the base and begin an empty journal, the old ones last."""
        merged: dict[bytes, bytes | None] = {}
        for batch in self.found.batches:
            merged.update(batch.entries)
        number = self.found.batches[-1].number if self.found.batches else self.base.sequence
        self.base.apply(
            [*merged.items(), *((key, None) for key in self.unsound if key not in merged)], number
        )
        self._start_journal(number)

    def _start_journal(self, number: int) -> None:
        fresh = Journal(self.files, number)
        fresh.create()
        self.journal = fresh
        for file in self.files.names():
            begins = journal.preceding_sequence(file)
            if begins is not None and file != fresh.file_name:
                self.files.remove(file)
        self.files.sync_folder()

    def commit(self, entries: Sequence[Entry]) -> int:
        """Make changes together; once this returns they are never lost.

        Raises:
            OSError: nothing of them is in force.
        """
        number = self.journal.commit(entries)
        for key, value in entries:
            self._apply_entry(key, value)
        return number

    @property
    def heavy(self) -> bool:
        """Whether the journal should be folded."""
        return self.journal.byte_count >= JOURNAL_FOLD_BYTES

    def fold(self) -> None:
        """Take the journal into the base and begin an empty one.

        Raises:
            OSError: the journal stands as it was.
        """
        number = self.journal.number
        merged: dict[bytes, bytes | None] = {}
        for batch in journal.recover(self.files, self.base.sequence).batches:
            merged.update(batch.entries)
        self.base.apply(merged.items(), number)
        self._start_journal(number)

    def close(self) -> None:
        """Give the folder back; a clean end needs no repair, and a missing one loses nothing."""
        self.base.close()
        self.files.close()
        os.close(self.lock_descriptor)


def verify(folder: str) -> list[str]:
    """Each bad record of a folder that nobody holds, with its place.

    Raises:
        StoreError: there is none, or it can't be read.
    """
    if not (Path(folder) / FILE).exists():
        raise StoreError("found no store there", folder)
    try:
        base = BaseFile(folder, MEGABYTE, read_only=True)
    except BaseFileError as error:
        raise StoreError(error.happened, error.where, error.cure) from None
    files = LocalFiles(folder)
    try:
        told = [f"{FILE}: {key!r}: altered" for key, value in base.items() if value is None]
        for file, damage in journal.recover(files, base.sequence).damages:
            told.append(f"{file}: byte {damage.at}: {_describe(damage)}")
        return told
    finally:
        base.close()
        files.close()


def _describe(damage: Damage) -> str:
    tail = "; the end of a write that never was whole" if damage.fault is FrameFault.CUT_SHORT else ""
    return f"{damage.fault.value}{f' ({damage.detail})' if damage.detail else ''}{tail}"
