"""Exponential backoff with a ceiling, and jitter over the upper half of each delay."""

from __future__ import annotations

from dataclasses import dataclass

MAX_DOUBLINGS = 16  # limits the shift; every ceiling is reached with fewer doublings


@dataclass(frozen=True, slots=True)
class Backoff:
    """The delays between retries in microseconds; each is twice the one before, up to a ceiling."""

    initial_us: int
    max_us: int

    def delay_us(self, doublings: int) -> int:
        """The delay after this number of doublings of the initial delay, without jitter."""
        bounded = min(max(0, doublings), MAX_DOUBLINGS)
        return min(self.max_us, self.initial_us << bounded)

    def jittered_delay_us(self, doublings: int, draw: float) -> int:
        """The delay after this number of doublings, with jitter over its upper half.

        Args:
            doublings: how often the initial delay is doubled.
            draw: a random number, from 0 up to 1.
        """
        return round(self.delay_us(doublings) * (0.5 + draw / 2))
