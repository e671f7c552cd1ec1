"""The ledger of content changes on disk: hashed lines, synced before the author gets a response.

Lines that a crash truncated, or whose hash does not match, are skipped and logged.
"""

from __future__ import annotations

import os
import threading
from fractions import Fraction
from pathlib import Path

import blake3
import msgspec
from fennelcove.core.requests import EventLogger
from fennelcove.timeline.model import Change, ChangeKind, ChangeTarget
from msgspec import Struct


class _Record(Struct, frozen=True, kw_only=True):
    version: int
    made: bool
    id: str
    author: str
    title: str
    room_type: str | None
    subscription: str | None
    kind: str
    clip: str | None
    at: str | None
    until: str | None
    wall_us: int | None


_DECODER: msgspec.json.Decoder[_Record] = msgspec.json.Decoder(_Record)


def _fraction_text(at: Fraction | None) -> str | None:
    return None if at is None else str(at)


def _fraction(text: str | None) -> Fraction | None:
    return None if text is None else Fraction(text)


class LedgerFile:
    """Reads and appends one ledger file; without a path nothing is stored."""

    def __init__(self, path: str | None, log_event: EventLogger) -> None:
        self.path = Path(path) if path is not None else None
        self.log_event = log_event
        self.lock = threading.Lock()

    def load(self) -> list[tuple[Change, bool]]:
        """All changes and withdrawals, ordered by ledger version; True marks a change, False a withdrawal."""
        if self.path is None or not self.path.exists():
            return []
        records = []
        for number, line in enumerate(self.path.read_bytes().split(b"\n"), 1):
            if not line:
                continue
            line_hash, _, body = line.partition(b" ")
            try:
                if line_hash.decode("ascii", "replace") != blake3.blake3(body).hexdigest()[:16]:
                    raise ValueError("the hash does not match")
                records.append(_DECODER.decode(body))
            except (msgspec.MsgspecError, ValueError) as error:
                self.log_event("ledger_line_passed_over", file=str(self.path), line=number, reason=str(error))
        return [
            (_change(record), record.made) for record in sorted(records, key=lambda record: record.version)
        ]

    def append(self, change: Change, made: bool, version: int) -> None:
        """Append a change or a withdrawal and sync it to the disk.

        Raises:
            OSError: the line could not be written; the change is in force, but will be lost on restart.
        """
        if self.path is None:
            return
        target = change.target
        record = _Record(
            version=version,
            made=made,
            id=change.id,
            author=change.author,
            title=target.title,
            room_type=target.service_class,
            subscription=target.session_id,
            kind=change.kind.value,
            clip=change.clip,
            at=_fraction_text(change.start_s),
            until=_fraction_text(change.end_s),
            wall_us=change.wall_us,
        )
        body = msgspec.json.encode(record)
        with self.lock, self.path.open("ab") as file:
            if file.tell() and not self._ends_with_newline():
                file.write(b"\n")  # otherwise a truncated line would corrupt this one too
            file.write(blake3.blake3(body).hexdigest()[:16].encode() + b" " + body + b"\n")
            file.flush()
            os.fsync(file.fileno())

    def _ends_with_newline(self) -> bool:
        assert self.path is not None
        with self.path.open("rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) == b"\n"


def _change(record: _Record) -> Change:
    return Change(
        record.id,
        record.author,
        ChangeTarget(record.title, record.room_type, record.subscription),
        ChangeKind(record.kind),
        record.clip,
        _fraction(record.at),
        _fraction(record.until),
        record.wall_us,
    )
