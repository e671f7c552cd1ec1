"""The decay of a learned limit that is no longer confirmed by measurements."""

from __future__ import annotations

from math import ceil

HALF_LIFE_US = 600_000_000  # of the part of a limit above the initial limit


def decayed_limit(limit: int, initial_limit: int, age_us: int) -> int:
    """The value of a limit `age_us` after it was last confirmed.

    Only the part above the initial limit decays; a limit at or below it does not change.
    """
    if limit <= initial_limit:
        return limit
    remaining_share: float = 2 ** -(age_us / HALF_LIFE_US)
    return initial_limit + ceil((limit - initial_limit) * remaining_share)
