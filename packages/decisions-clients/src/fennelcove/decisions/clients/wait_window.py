"""The time window in which a client should retry or reconnect, as waits from now."""

from __future__ import annotations

from typing import NamedTuple


class WaitWindow(NamedTuple):
    """The earliest and the latest wait, in microseconds from now."""

    earliest_us: int
    latest_us: int
