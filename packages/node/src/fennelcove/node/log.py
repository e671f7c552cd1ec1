"""The node's log: one JSON line an event on standard output, by the standard library alone."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from contextlib import suppress

EventLogger = Callable[..., None]


def event_logger(name: str) -> EventLogger:
    """A function that logs one event with its fields."""

    def notice(event: str, **fields: object) -> None:
        line = {"at": round(time.time(), 3), "node": name, "event": event, **fields}
        # Any thread tells here, and it must not end because nobody takes the log any more.
        with suppress(OSError, ValueError):
            sys.stdout.write(json.dumps(line, default=str) + "\n")
            sys.stdout.flush()

    return notice
