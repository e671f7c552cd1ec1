"""Exponential backoff with a ceiling, and jitter over the upper half of each delay."""

from __future__ import annotations

from dataclasses import dataclass

MAX_DOUBLINGS = 16  # keeps the power small; every ceiling is reached long before


@dataclass(frozen=True, slots=True)
class Backoff:
    """The delays between retries, in microseconds: each twice the one before, up to a ceiling."""

    initial_us: int
    max_us: int

    def delay_us(self, doublings: int) -> int:
        """The delay after so many doublings of the initial one, without jitter."""
        bounded = min(max(0, doublings), MAX_DOUBLINGS)
        return min(self.max_us, self.initial_us << bounded)

    def jittered_delay_us(self, doublings: int, draw: float) -> int:
        """The delay after so many doublings, spread over its upper half.

        Args:
            doublings: how often the initial delay was doubled.
            draw: a random number, from 0 up to 1.
        """
        return round(self.delay_us(doublings) * (0.5 + draw / 2))
