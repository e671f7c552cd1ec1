"""The base file: the values as of a sequence number, in an LMDB environment, each with its checksum.

LMDB writes new pages before it changes its root, so after a crash either the old or the new root is in
place. The checksums detect values that were corrupted on the disk later.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Iterator
from pathlib import Path

import lmdb
from fennelcove.decisions.recovery.write_behind import Change
from fennelcove.errors import OperatorError
from fennelcove.store.records import CHECKSUM_BYTES, FORMAT_VERSION, checksum

SEQUENCE_KEY = b"\x00number"  # its value is the format and the sequence number
FORMAT_BYTES = 4
SEQUENCE_BYTES = 8
BASE_FILE_NAME = "base.lmdb"
FILE_MODE = 0o600
MAX_READERS = 8
MOVE_AWAY_ADVICE = "move it away to start with an empty store"


class BaseFileError(OperatorError):
    """The base file of a store can't be opened, read or copied."""

    code = "store-base-unusable"
    advice = (
        "`fennelcove store verify` lists corrupt records; "
        "docs/operate/storage.md describes what is lost without the file"
    )


class BaseFile:
    """An open base file; `sequence` is the number of the newest batch that it contains."""

    def __init__(self, folder: str, max_bytes: int, *, read_only: bool = False) -> None:
        """Open the base file of a folder.

        Args:
            folder: the store's folder.
            max_bytes: the largest size of the file.
            read_only: open an existing file for reading only.

        Raises:
            BaseFileError: the file can't be opened, or has another format.
        """
        path = Path(folder) / BASE_FILE_NAME
        try:
            self.environment = lmdb.open(
                str(path),
                map_size=max_bytes,
                subdir=False,
                lock=True,
                readonly=read_only,
                create=not read_only,
                max_readers=MAX_READERS,
                mode=FILE_MODE,
            )
        except lmdb.Error as error:
            raise BaseFileError(f"found no usable base file ({error})", str(path), MOVE_AWAY_ADVICE) from None
        self.sequence = self._read_sequence(str(path))

    def _read_sequence(self, path: str) -> int:
        with self.environment.begin() as transaction:
            raw = transaction.get(SEQUENCE_KEY)
        if not raw:
            return 0
        found = int.from_bytes(raw[:FORMAT_BYTES], "big")
        if found != FORMAT_VERSION:
            self.environment.close()
            raise BaseFileError(f"found format {found}, expected {FORMAT_VERSION}", path, MOVE_AWAY_ADVICE)
        return int.from_bytes(raw[FORMAT_BYTES : FORMAT_BYTES + SEQUENCE_BYTES], "big")

    def apply(self, entries: Iterable[Change], sequence: int) -> None:
        """Apply the changes up to and including the batch `sequence`, in one transaction.

        Raises:
            OSError: the file is full or can't be written; none of the changes was applied.
        """
        version = FORMAT_VERSION.to_bytes(FORMAT_BYTES, "big") + sequence.to_bytes(SEQUENCE_BYTES, "big")
        try:
            with self.environment.begin(write=True) as transaction:
                for key, value in entries:
                    if value is None:
                        transaction.delete(key)
                    else:
                        transaction.put(key, checksum(key + value) + value)
                transaction.put(SEQUENCE_KEY, version)
        except lmdb.Error as error:
            code = errno.ENOSPC if isinstance(error, lmdb.MapFullError) else errno.EIO
            raise OSError(code, str(error)) from None
        self.sequence = sequence

    def items(self) -> Iterator[tuple[bytes, bytes | None]]:
        """Every key with its value, or with None if the value is corrupt."""
        with self.environment.begin() as transaction:
            for key, raw in transaction.cursor():
                if key == SEQUENCE_KEY:
                    continue
                value = bytes(raw[CHECKSUM_BYTES:])
                is_valid = checksum(bytes(key) + value) == raw[:CHECKSUM_BYTES]
                yield bytes(key), value if is_valid else None

    def copy_to(self, path: str) -> None:
        """Write a compacted copy to a file.

        Raises:
            BaseFileError: the copy can't be written.
        """
        try:
            self.environment.copy(path, compact=True)
        except lmdb.Error as error:
            raise BaseFileError(f"found that the copy can't be written ({error})", str(path)) from None

    def byte_count(self) -> int:
        """The size of the pages in use, in bytes."""
        info = self.environment.info()
        return int((info["last_pgno"] + 1) * self.environment.stat()["psize"])

    def close(self) -> None:
        """Close the environment."""
        self.environment.close()
