"""Clocks: the source of monotonic and wall time for all other code, in whole microseconds."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def now_us(self) -> int:
        """The monotonic time: microseconds since an arbitrary fixed moment, which never decreases."""
        ...

    def wall_us(self) -> int:
        """The wall time: microseconds since 1970, for people and manifests; it may be set back."""
        ...


class SystemClock:
    """The machine's monotonic clock, which is the same for all processes of a machine, and its wall clock.

    The wall clock may have an offset in microseconds, for scenarios with a wrong clock.
    """

    def __init__(self, wall_offset_us: int = 0) -> None:
        self.wall_offset_us = wall_offset_us

    def now_us(self) -> int:
        """As `Clock.now_us`."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """As `Clock.wall_us`, with the offset added."""
        return time.time_ns() // 1000 + self.wall_offset_us


class ManualClock:
    """A clock that only moves when `advance` is called, for tests and emulators."""

    def __init__(self, now_us: int = 0, wall_start_us: int = 0) -> None:
        self._now_us = now_us
        self._wall_from_us = wall_start_us

    def now_us(self) -> int:
        """As `Clock.now_us`."""
        return self._now_us

    def wall_us(self) -> int:
        """As `Clock.wall_us`; it advances with the monotonic time."""
        return self._wall_from_us + self._now_us

    def advance(self, by_us: int) -> None:
        """Advance the clock by this number of microseconds."""
        if by_us < 0:
            raise ValueError(f"a monotonic clock can't be set back: {by_us} us")
        self._now_us += by_us
