"""Records the events that the emulators observe, each with its time."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.clock import Clock

Record = dict[str, Any]


class Recorder:
    """Collects the records of all emulators of one scenario in one sequence."""

    def __init__(self, clock: Clock, retain: bool = True) -> None:
        self.clock = clock
        self.retain = retain  # False for an emulator that runs indefinitely: its memory use must not grow
        self.began_us = clock.now_us()
        self.records: list[Record] = []
        self.lock = threading.Lock()

    def note(self, what: str, **fields: Any) -> None:
        """Add a record of kind `what` with the current time."""
        if not self.retain:
            return
        with self.lock:
            self.records.append({"t_us": self.clock.now_us() - self.began_us, "what": what, **fields})

    def count(self, what: str) -> int:
        """Return the number of records of one kind."""
        with self.lock:
            return sum(1 for record in self.records if record["what"] == what)


def save(records: list[Record], path: str) -> None:
    """Write the records to a file, one JSON object per line."""
    Path(path).write_bytes(b"".join(msgspec.json.encode(record) + b"\n" for record in records))


def load(path: str) -> list[Record]:
    """Read the records of a file.

    Raises:
        OSError: The file can't be read.
        ValueError: A line is not a record; the message names the line number.
    """
    records = []
    for number, line in enumerate(Path(path).read_bytes().splitlines(), 1):
        try:
            record = msgspec.json.decode(line)
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}:{number}: {error}") from None
        if not isinstance(record, dict) or "what" not in record or "t_us" not in record:
            raise ValueError(f"{path}:{number}: not a record: `what` and `t_us` are required")
        records.append(record)
    return records
