"""Writes down what passed on the stand-ins' sockets: one record an event, with the time it was seen."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.clock import Clock

Record = dict[str, Any]


class Recorder:
    """Collects records from every stand-in of one day, in one order."""

    def __init__(self, clock: Clock, keep: bool = True) -> None:
        self.clock = clock
        self.keep = keep  # a stand-in that runs without end must not grow without end
        self.began_us = clock.now_us()
        self.records: list[Record] = []
        self.lock = threading.Lock()

    def note(self, what: str, **fields: Any) -> None:
        """Write one record down, now."""
        if not self.keep:
            return
        with self.lock:
            self.records.append({"t_us": self.clock.now_us() - self.began_us, "what": what, **fields})

    def count(self, what: str) -> int:
        """How many records of one kind there are."""
        with self.lock:
            return sum(1 for record in self.records if record["what"] == what)


def save(records: list[Record], path: str) -> None:
    """One JSON object a line."""
    Path(path).write_bytes(b"".join(msgspec.json.encode(record) + b"\n" for record in records))


def load(path: str) -> list[Record]:
    """The records of a file.

    Raises:
        OSError: the file can't be read.
        ValueError: a line is no record; its number is named.
    """
    records = []
    for number, line in enumerate(Path(path).read_bytes().splitlines(), 1):
        try:
            record = msgspec.json.decode(line)
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}:{number}: {error}") from None
        if not isinstance(record, dict) or "what" not in record or "t_us" not in record:
            raise ValueError(f"{path}:{number}: no record with `what` and `t_us`")
        records.append(record)
    return records
