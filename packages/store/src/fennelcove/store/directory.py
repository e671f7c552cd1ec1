"""The folder of a store, locked by one process: recovery of base file and journal, commits, checkpoints."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Sequence
from pathlib import Path

from fennelcove.decisions.recovery.write_behind import Change
from fennelcove.errors import OperatorError
from fennelcove.store import journal
from fennelcove.store.base import BASE_FILE_NAME, BaseFile, BaseFileError
from fennelcove.store.files import LocalFiles
from fennelcove.store.journal import Journal, RecoveredJournal
from fennelcove.store.records import Batch, Damage, FrameFault

LOCK_FILE_NAME = "lock"
LOCK_FILE_MODE = 0o600
MAX_HOLDER_BYTES = 200
CHECKPOINT_JOURNAL_BYTES = 4_000_000  # a checkpoint is due at this size
MEGABYTE = 1_000_000


class StoreError(OperatorError):
    """The folder of a store is locked by another process, not writable, or has no usable base file."""

    code = "store-unusable"
    advice = (
        "Check the folder's permissions and which process locks it; "
        "a front without `store` in its settings persists nothing"
    )


class FolderLock:
    """An exclusive lock on a folder; the lock file names the holder."""

    def __init__(self, folder: str) -> None:
        """Create the folder if it does not exist, and lock it.

        Raises:
            StoreError: the folder is not writable, or locked by another process.
        """
        path = Path(folder)
        try:
            path.mkdir(parents=True, exist_ok=True)
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            self.descriptor = os.open(path / LOCK_FILE_NAME, flags, LOCK_FILE_MODE)
        except OSError as error:
            raise StoreError(f"found no writable folder ({error.strerror})", folder) from None
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = self._holder()
            self.release()
            raise StoreError(
                f"found it locked by {holder}", folder, "configure a separate folder for each front"
            ) from None

    def _holder(self) -> str:
        raw = os.pread(self.descriptor, MAX_HOLDER_BYTES, 0)
        return raw.decode("utf-8", "replace").strip() or "another process"

    def write_holder(self, holder: str) -> None:
        """Write the holder's name and process id to the lock file.

        Raises:
            OSError: the file can't be written.
        """
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, f"{holder}, process {os.getpid()}\n".encode(), 0)

    def release(self) -> None:
        """Unlock the folder."""
        os.close(self.descriptor)


class Store:
    """An open store, for use by one thread at a time.

    `values` is the current content, also of batches that only the journal contains.
    """

    def __init__(self, folder: str, max_mb: int, holder: str) -> None:
        """Lock a folder, recover its content, and make a checkpoint.

        Args:
            folder: its path; the folder is created if it does not exist.
            max_mb: the largest size of the base file, in megabytes.
            holder: the name of this front, for the lock file.

        Raises:
            StoreError: the path is not a folder, or the folder is locked by another process, is not writable,
                or has no usable base file.
        """
        self.folder = folder
        self.lock = FolderLock(folder)
        self.base = self._open_base(max_mb, holder)
        self.files = LocalFiles(folder)
        self.corrupt_keys: list[bytes] = []  # keys whose values in the base are corrupt
        self.values: dict[bytes, bytes] = {}
        try:
            self.recovered = self._load()
            self.journal = Journal(self.files, self.base.sequence)
            self._checkpoint_recovered()
        except OSError as error:
            self.close()
            raise StoreError(f"found the folder not writable ({error.strerror})", folder) from None

    def _open_base(self, max_mb: int, holder: str) -> BaseFile:
        try:
            self.lock.write_holder(holder)
            return BaseFile(self.folder, max_mb * MEGABYTE)
        except BaseFileError as error:
            self.lock.release()
            raise StoreError(error.sentence, self.folder, error.suggestion) from None
        except OSError as error:
            self.lock.release()
            raise StoreError(str(error), self.folder) from None

    def _load(self) -> RecoveredJournal:
        for key, value in self.base.items():
            if value is None:
                self.corrupt_keys.append(key)
            else:
                self.values[key] = value
        recovered = journal.recover(self.files, self.base.sequence)
        for batch in recovered.batches:
            self._apply_entries(batch.entries)
        return recovered

    def _apply_entries(self, entries: Iterable[Change]) -> None:
        for key, value in entries:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value

    def _checkpoint_recovered(self) -> None:
        """Apply the recovered batches to the base file, and start an empty journal."""
        batches = self.recovered.batches
        merged = _merge(batches)
        sequence = batches[-1].number if batches else self.base.sequence
        deleted: list[Change] = [(key, None) for key in self.corrupt_keys if key not in merged]
        self.base.apply([*merged.items(), *deleted], sequence)
        self._start_journal(sequence)

    def _start_journal(self, sequence: int) -> None:
        """Create an empty journal file, then delete the others."""
        new_journal = Journal(self.files, sequence)
        new_journal.create()
        self.journal = new_journal
        for file in self.files.list_names():
            is_journal = journal.preceding_sequence(file) is not None
            if is_journal and file != new_journal.file_name:
                self.files.remove(file)
        self.files.sync_folder()

    def commit(self, entries: Sequence[Change]) -> int:
        """Commit changes atomically; they are durable once this returns.

        Returns:
            The sequence number of their batch.

        Raises:
            OSError: none of the changes was committed.
        """
        sequence = self.journal.commit(entries)
        self._apply_entries(entries)
        return sequence

    @property
    def needs_checkpoint(self) -> bool:
        """Whether the journal is large enough for a checkpoint."""
        return self.journal.byte_count >= CHECKPOINT_JOURNAL_BYTES

    def checkpoint(self) -> None:
        """Apply the journal to the base file, and start an empty journal.

        Raises:
            OSError: the checkpoint failed; the current journal stays in use.
        """
        sequence = self.journal.sequence
        batches = journal.recover(self.files, self.base.sequence).batches
        self.base.apply(_merge(batches).items(), sequence)
        self._start_journal(sequence)

    def close(self) -> None:
        """Close all files and unlock the folder; committed changes are durable even without this call."""
        self.base.close()
        self.files.close()
        self.lock.release()


def _merge(batches: Iterable[Batch]) -> dict[bytes, bytes | None]:
    """The newest value of each key in the batches; None for a deleted key."""
    merged: dict[bytes, bytes | None] = {}
    for batch in batches:
        merged.update(batch.entries)
    return merged


def verify_folder(folder: str) -> list[str]:
    """List the corrupt records of a folder, each with its location. No process may have the store open.

    Raises:
        StoreError: the folder contains no store, or the store can't be read.
    """
    if not (Path(folder) / BASE_FILE_NAME).exists():
        raise StoreError("found no store in this folder", folder)
    try:
        base = BaseFile(folder, MEGABYTE, read_only=True)
    except BaseFileError as error:
        raise StoreError(error.happened, error.where, error.suggestion) from None
    files = LocalFiles(folder)
    try:
        problems = [f"{BASE_FILE_NAME}: {key!r}: altered" for key, value in base.items() if value is None]
        for file, damage in journal.recover(files, base.sequence).damages:
            problems.append(f"{file}: byte {damage.offset}: {_describe(damage)}")
        return problems
    finally:
        base.close()
        files.close()


def _describe(damage: Damage) -> str:
    description = damage.fault.value
    if damage.detail:
        description += f" ({damage.detail})"
    if damage.fault is FrameFault.TRUNCATED:
        description += "; the write was interrupted and never acknowledged"
    return description
