"""The node's log: one JSON line per event on standard output; uses the standard library only."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from contextlib import suppress

EventLogger = Callable[..., None]


def event_logger(name: str) -> EventLogger:
    """Return a function that logs one event with its fields, under this node's name."""

    def log_event(event: str, **fields: object) -> None:
        line = {"at": round(time.time(), 3), "node": name, "event": event, **fields}
        # Any thread may log, and must not end because the reader of the log has gone.
        with suppress(OSError, ValueError):
            sys.stdout.write(json.dumps(line, default=str) + "\n")
            sys.stdout.flush()

    return log_event
