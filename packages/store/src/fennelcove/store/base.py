"""The base: everything up to a number, in an lmdb environment, each value with its checksum.

lmdb writes new pages and changes its root last, so a crash leaves the old root or the new one; the checksum
is for what a disk does later.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import lmdb

from fennelcove.errors import OperatorError
from fennelcove.store.records import CHECKSUM_BYTES, FORMAT_VERSION, Entry, checksum

SEQUENCE_KEY = b"\x00number"
FILE = "base.lmdb"
RECREATE_ADVICE = "move it away to begin anew"


class BaseFileError(OperatorError):
    """A store's base file can't be used or copied."""

    code = "store-base-unusable"
    advice = (
        "`fennelcove store verify` names bad records; docs/operate/storage.md tells what is lost without it"
    )


class BaseFile:
    """One environment. `most_bytes` bounds its file."""

    def __init__(self, folder: str, most_bytes: int, read_only: bool = False) -> None:
        path = Path(folder) / FILE
        try:
            self.environment = lmdb.open(
                str(path),
                map_size=most_bytes,
                subdir=False,
                lock=True,
                readonly=read_only,
                create=not read_only,
                max_readers=8,
                mode=0o600,
            )
        except lmdb.Error as error:
            raise BaseFileError(f"found no usable base ({error})", str(path), RECREATE_ADVICE) from None
        with self.environment.begin() as view:
            raw = view.get(SEQUENCE_KEY)
        found = int.from_bytes(raw[:4], "big") if raw else FORMAT_VERSION
        if found != FORMAT_VERSION:
            self.environment.close()
            raise BaseFileError(f"found format {found}, this is {FORMAT_VERSION}", str(path), RECREATE_ADVICE)
        self.sequence = int.from_bytes(raw[4:12], "big") if raw else 0

    def apply(self, entries: Iterable[Entry], number: int) -> None:
        """Take in changes, up to and with a number, in one transaction.

        Raises:
            OSError: the base is full or can't be written; nothing of it is in force.
        """
        try:
            with self.environment.begin(write=True) as change:
                for key, value in entries:
                    if value is None:
                        change.delete(key)
                    else:
                        change.put(key, checksum(key + value) + value)
                change.put(SEQUENCE_KEY, FORMAT_VERSION.to_bytes(4, "big") + number.to_bytes(8, "big"))
        except lmdb.Error as error:
            raise OSError(28 if isinstance(error, lmdb.MapFullError) else 5, str(error)) from None
        self.sequence = number

    def items(self) -> Iterator[tuple[bytes, bytes | None]]:
        """Every key with its value; None where the value is not what was written."""
        with self.environment.begin() as view:
            for key, raw in view.cursor():
                if key == SEQUENCE_KEY:
                    continue
                value = bytes(raw[CHECKSUM_BYTES:])
                yield bytes(key), value if checksum(bytes(key) + value) == raw[:CHECKSUM_BYTES] else None

    def copy(self, path: str) -> None:
        """A compacted copy, whole, into one file."""
        try:
            self.environment.copy(path, compact=True)
        except lmdb.Error as error:
            raise BaseFileError(f"found no way to write it ({error})", str(path)) from None

    def size(self) -> int:
        """Bytes of its pages in use."""
        info = self.environment.info()
        return int((info["last_pgno"] + 1) * self.environment.stat()["psize"])

    def close(self) -> None:
        """Give the environment back."""
        self.environment.close()
