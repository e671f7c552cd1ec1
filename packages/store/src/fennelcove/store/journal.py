"""The journal: files of synced batches, each file named by the sequence number before its first batch.

A checkpoint applies all batches to the base file, then creates a new journal file, and only then deletes the
old one. So the base and the journal together contain every acknowledged batch at any time.
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
    """The name of the journal file whose first batch follows the sequence number `after`."""
    return f"{FILE_NAME_PREFIX}{after:0{SEQUENCE_DIGITS}d}{FILE_NAME_SUFFIX}"


def preceding_sequence(file: str) -> int | None:
    """The sequence number before a file's first batch; None if it is not a journal file."""
    digits = file.removeprefix(FILE_NAME_PREFIX).removesuffix(FILE_NAME_SUFFIX)
    has_affixes = file == f"{FILE_NAME_PREFIX}{digits}{FILE_NAME_SUFFIX}"
    is_number = digits.isdigit() and len(digits) == SEQUENCE_DIGITS
    return int(digits) if has_affixes and is_number else None


class FileDamage(NamedTuple):
    """The damage at which the reading of a journal file stopped."""

    file: str
    damage: Damage


@dataclass(frozen=True, slots=True)
class RecoveredJournal:
    """The batches in a folder's journal files after a sequence number, and the damage found."""

    batches: list[Batch]
    damages: list[FileDamage] = field(default_factory=list)


def recover(files: Files, after: int) -> RecoveredJournal:
    """Read all complete batches after the sequence number `after`, up to the first gap or damage."""
    recovered = RecoveredJournal([])
    last = after
    for file in files.list_names():
        preceding = preceding_sequence(file)
        if preceding is None:
            continue
        if preceding > last:
            gap = f"begins after batch {preceding}, but the last batch found is {last}"
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
        # A truncated frame is an interrupted write that was never acknowledged: the next file may continue.
        if damage.fault is not FrameFault.TRUNCATED:
            break
    return recovered


class Journal:
    """The journal file that new batches are appended to."""

    def __init__(self, files: Files, after: int) -> None:
        """Use the file whose first batch follows the sequence number `after`; call `create` first."""
        self.files = files
        self.sequence = after  # the sequence number of the newest batch
        self.file_name = file_name(after)
        self.byte_count = 0

    def create(self) -> None:
        """Create an empty file.

        An existing file of this name is truncated: none of its batches was acknowledged.

        Raises:
            OSError: the file could not be created or synced.
        """
        if self.file_name in self.files.list_names():
            self.files.truncate(self.file_name, 0)
        self.files.append(self.file_name, b"")
        self.files.sync(self.file_name)
        self.files.sync_folder()

    def commit(self, entries: Sequence[Change]) -> int:
        """Append one batch and sync the file; the batch is durable once this returns.

        Returns:
            The sequence number of the batch.

        Raises:
            OSError: the batch was not committed. The file is truncated to its size before, so that the next
                batch does not follow a partial one.
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
