"""The journal: batches appended and synced to files, each named by the sequence number that precedes it.

A new file is created once the base has applied all before it; the old one is deleted only after that. So at
every moment base and journal together hold everything that was acknowledged.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from fennelcove.decisions.recovery.write_behind import Change
from fennelcove.store.files import Files
from fennelcove.store.records import (
    FORMAT_VERSION,
    Batch,
    Damage,
    FrameFault,
    decode_frames,
    encode_frame,
)

FILE_NAME_PREFIX, FILE_NAME_SUFFIX = "journal-", ".log"
SEQUENCE_DIGITS = 20


def file_name(after: int) -> str:
    """The name of the file whose first batch follows this sequence number."""
    return f"{FILE_NAME_PREFIX}{after:0{SEQUENCE_DIGITS}d}{FILE_NAME_SUFFIX}"


def preceding_sequence(file: str) -> int | None:
    """The sequence number before a file's first batch; None for what is no journal file."""
    digits = file.removeprefix(FILE_NAME_PREFIX).removesuffix(FILE_NAME_SUFFIX)
    has_affixes = file == f"{FILE_NAME_PREFIX}{digits}{FILE_NAME_SUFFIX}"
    is_number = digits.isdigit() and len(digits) == SEQUENCE_DIGITS
    return int(digits) if has_affixes and is_number else None


class FileDamage(NamedTuple):
    """What stopped the reading of a journal file."""

    file: str
    damage: Damage


@dataclass(frozen=True, slots=True)
class RecoveredJournal:
    """The batches that a folder's journal files hold past a sequence number, and the damage found."""

    batches: list[Batch]
    damages: list[FileDamage] = field(default_factory=list)


def recover(files: Files, after: int) -> RecoveredJournal:
    """Read every whole batch past the sequence number `after`, without a gap."""
    recovered = RecoveredJournal([])
    last = after
    for file in files.list_names():
        preceding = preceding_sequence(file)
        if preceding is None:
            continue
        if preceding > last:
            gap = f"begins after {preceding}, found up to {last}"
            recovered.damages.append(FileDamage(file, Damage(0, FrameFault.OUT_OF_ORDER, gap)))
            break
        damage: Damage | None = None
        for item in decode_frames(files.read(file), preceding):
            if isinstance(item, Damage):
                damage = item
            elif item.number == last + 1:
                recovered.batches.append(item)
                last = item.number
        if damage is None:
            continue
        recovered.damages.append(FileDamage(file, damage))
        # A frame that is cut short is the end of a write that was never acknowledged.
        if damage.fault is not FrameFault.TRUNCATED:
            break
    return recovered


class Journal:
    """The journal file that is written now."""

    def __init__(self, files: Files, after: int) -> None:
        """Use the file whose first batch follows a sequence number; `create` it before the first commit."""
        self.files = files
        self.sequence = after  # the sequence number of the newest batch
        self.file_name = file_name(after)
        self.byte_count = 0

    def create(self) -> None:
        """Create the file, empty; a file that has its name already was never acknowledged.

        Raises:
            OSError: the disk failed.
        """
        if self.file_name in self.files.list_names():
            self.files.truncate(self.file_name, 0)
        self.files.append(self.file_name, b"")
        self.files.sync(self.file_name)
        self.files.sync_folder()

    def commit(self, entries: Sequence[Change]) -> int:
        """Append one batch and sync it: once this returns it is durable.

        Returns:
            Its sequence number.

        Raises:
            OSError: it is not in force. What was written of it is truncated, so that the next batch does not
                follow a torn one.
        """
        raw = encode_frame(Batch(FORMAT_VERSION, self.sequence + 1, list(entries)))
        try:
            self.files.append(self.file_name, raw)
            self.files.sync(self.file_name)
        except OSError:
            self.files.truncate(self.file_name, self.byte_count)
            raise
        self.byte_count += len(raw)
        self.sequence += 1
        return self.sequence
