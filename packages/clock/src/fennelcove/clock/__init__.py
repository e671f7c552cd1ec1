"""The one source of time: whole microseconds since some fixed moment, never going back."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def now_us(self) -> int:
        """Microseconds since some fixed moment; never goes back."""
        ...

    def wall_us(self) -> int:
        """Microseconds since 1970, for what people and manifests call a time; it may be set back."""
        ...


class SystemClock:
    """The machine's monotonic clock; every process of one machine reads the same.

    Its wall clock may be set off by some microseconds, for scenarios that try what a wrong clock does.
    """

    def __init__(self, wall_off_us: int = 0) -> None:
        self.wall_off_us = wall_off_us

    def now_us(self) -> int:
        """As `Clock.now_us`."""
        return time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """As `Clock.wall_us`, with the set-off added."""
        return time.time_ns() // 1000 + self.wall_off_us


class ManualClock:
    """A clock that moves only when told, for tests and emulation."""

    def __init__(self, now_us: int = 0, wall_from_us: int = 0) -> None:
        self._now_us = now_us
        self._wall_from_us = wall_from_us

    def now_us(self) -> int:
        """As `Clock.now_us`."""
        return self._now_us

    def wall_us(self) -> int:
        """As `Clock.wall_us`, moved with the monotonic time."""
        return self._wall_from_us + self._now_us

    def advance(self, by_us: int) -> None:
        """Move on by so many microseconds."""
        if by_us < 0:
            raise ValueError(f"a clock never goes back: {by_us} us")
        self._now_us += by_us
