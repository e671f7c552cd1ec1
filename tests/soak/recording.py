"""Recordings: one JSON object per line for each event, with its Unix time in seconds."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

Event = dict[str, Any]


class Recorder:
    """Appends the events of one process to a file.

    The file is buffered, because one write per event would slow down the emulators.
    """

    def __init__(self, path: Path, source: str) -> None:
        self.file = path.open("w", encoding="utf-8", buffering=1 << 16)
        self.source = source

    def __call__(self, event: str, **fields: Any) -> float:
        """Record an event with the current time, and return the time."""
        now = time.time()
        self.file.write(json.dumps({"t": now, "by": self.source, "event": event, **fields}) + "\n")
        return now

    def flush(self) -> None:
        self.file.flush()


def read(folder: Path) -> list[Event]:
    """Read all recordings in a folder; events are sorted by time, incomplete lines skipped."""
    events: list[Event] = []
    for path in sorted(folder.glob("*.rec")):
        lines = path.read_text(encoding="utf-8").split("\n")
        events += [json.loads(line) for line in lines if line.endswith("}")]
    return sorted(events, key=lambda each: each["t"])
