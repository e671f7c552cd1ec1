"""The journal: batches appended and synced, in files that each begin after a number in their name.

A new file is begun when the base has taken in all before it; the old one goes only after that. So at every
moment base and journals together hold everything that was acknowledged.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from fennelcove.store.files import Files
from fennelcove.store.records import (
    FORMAT_VERSION,
    Batch,
    Damage,
    Entry,
    FrameFault,
    encode_frame,
    decode_frames,
)

PREFIX, SUFFIX = "journal-", ".log"


def file_name(after: int) -> str:
    """The file whose first batch follows this number."""
    return f"{PREFIX}{after:020d}{SUFFIX}"


def preceding_sequence(file: str) -> int | None:
    """The number before a file's first batch; None for what is no journal."""
    digits = file.removeprefix(PREFIX).removesuffix(SUFFIX)
    whole = file == f"{PREFIX}{digits}{SUFFIX}"
    return int(digits) if whole and digits.isdigit() and len(digits) == 20 else None


@dataclass(frozen=True, slots=True)
class RecoveredJournal:
    """What a folder's journals hold past a number: batches, and what stopped the reading, file by file."""

    batches: list[Batch]
    damages: list[tuple[str, Damage]] = field(default_factory=list)


def recover(files: Files, after: int) -> RecoveredJournal:
    """Every whole batch past `after`, without a gap."""
    batches: list[Batch] = []
    damages: list[tuple[str, Damage]] = []
    last = after
    for file in files.names():
        begins = preceding_sequence(file)
        if begins is None:
            continue
        if begins > last:
            damages.append(
                (file, Damage(0, FrameFault.OUT_OF_ORDER, f"begins after {begins}, found up to {last}"))
            )
            break
        stopped = False
        for item in decode_frames(files.read(file), begins):
            if isinstance(item, Damage):
                damages.append((file, item))
                stopped = item.fault is not FrameFault.CUT_SHORT
            elif item.number == last + 1:
                batches.append(item)
                last = item.number
        if stopped:
            break
    return RecoveredJournal(batches, damages)


class Journal:
    """The file that is written now."""

    def __init__(self, files: Files, after: int) -> None:
        self.files = files
        self.number = after
        self.file_name = file_name(after)
        self.byte_count = 0

    def create(self) -> None:
        """Begin this file, empty; whatever lies under its name was never acknowledged.

        Raises:
            OSError: the disk says no.
        """
        if self.file_name in self.files.names():
            self.files.cut(self.file_name, 0)
        self.files.append(self.file_name, b"")
        self.files.sync(self.file_name)
        self.files.sync_folder()

    def commit(self, entries: Sequence[Entry]) -> int:
        """Append one batch and sync it: once this returns it is never lost; its number.

        Raises:
            OSError: it is not in force. What was written of it is cut off again, so that the next one does
                not follow a torn one.
        """
        raw = encode_frame(Batch(FORMAT_VERSION, self.number + 1, list(entries)))
        try:
            self.files.append(self.file_name, raw)
            self.files.sync(self.file_name)
        except OSError:
            self.files.cut(self.file_name, self.byte_count)
            raise
        self.byte_count += len(raw)
        self.number += 1
        return self.number
