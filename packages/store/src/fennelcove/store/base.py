"""The base file: all changes up to a sequence number, in an LMDB environment, each value with its checksum.

LMDB writes new pages first and changes its root last, so a crash leaves the old root or the new one; the
checksums detect what a disk alters later.
"""

from __future__ import annotations

import errno
from collections.abc import Iterable, Iterator
from pathlib import Path

import lmdb
from fennelcove.decisions.recovery.write_behind import Change
from fennelcove.errors import OperatorError
from fennelcove.store.records import CHECKSUM_BYTES, FORMAT_VERSION, checksum

SEQUENCE_KEY = b"\x00number"  # holds the format and the sequence number
FORMAT_BYTES = 4
SEQUENCE_BYTES = 8
BASE_FILE_NAME = "base.lmdb"
FILE_MODE = 0o600
MAX_READERS = 8
MOVE_AWAY_ADVICE = "move it away to begin anew"


class BaseFileError(OperatorError):
    """A store's base file can't be used or copied."""

    code = "store-base-unusable"
    advice = (
        "`fennelcove store verify` names bad records; docs/operate/storage.md tells what is lost without it"
    )


class BaseFile:
    """An open base file."""

    def __init__(self, folder: str, max_bytes: int, *, read_only: bool = False) -> None:
        """Open the base file of a folder.

        Args:
            folder: the store's folder.
            max_bytes: the largest size of the file.
            read_only: open an existing file without the right to write.

        Raises:
            BaseFileError: it can't be opened, or has another format.
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
            raise BaseFileError(f"found no usable base ({error})", str(path), MOVE_AWAY_ADVICE) from None
        self.sequence = self._read_sequence(str(path))

    def _read_sequence(self, path: str) -> int:
        with self.environment.begin() as transaction:
            raw = transaction.get(SEQUENCE_KEY)
        if not raw:
            return 0
        found = int.from_bytes(raw[:FORMAT_BYTES], "big")
        if found != FORMAT_VERSION:
            self.environment.close()
            raise BaseFileError(f"found format {found}, this is {FORMAT_VERSION}", path, MOVE_AWAY_ADVICE)
        return int.from_bytes(raw[FORMAT_BYTES : FORMAT_BYTES + SEQUENCE_BYTES], "big")

    def apply(self, entries: Iterable[Change], sequence: int) -> None:
        """Apply changes, up to and including a sequence number, in one transaction.

        Raises:
            OSError: the file is full or can't be written; none of the changes is in force.
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
        """Every key with its value; None where the value is not what was written."""
        with self.environment.begin() as transaction:
            for key, raw in transaction.cursor():
                if key == SEQUENCE_KEY:
                    continue
                value = bytes(raw[CHECKSUM_BYTES:])
                is_valid = checksum(bytes(key) + value) == raw[:CHECKSUM_BYTES]
                yield bytes(key), value if is_valid else None

    def copy_to(self, path: str) -> None:
        """Write a compacted copy into one file.

        Raises:
            BaseFileError: it can't be written.
        """
        try:
            self.environment.copy(path, compact=True)
        except lmdb.Error as error:
            raise BaseFileError(f"found no way to write it ({error})", str(path)) from None

    def byte_count(self) -> int:
        """The bytes of the pages in use."""
        info = self.environment.info()
        return int((info["last_pgno"] + 1) * self.environment.stat()["psize"])

    def close(self) -> None:
        """Close the environment."""
        self.environment.close()
