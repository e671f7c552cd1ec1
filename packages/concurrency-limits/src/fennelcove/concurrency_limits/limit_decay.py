"""The decay of a learned limit that no measurement confirms any more."""

from __future__ import annotations

from math import ceil

HALF_LIFE_US = 600_000_000  # in which half of what exceeds the initial limit is given up


def decayed_limit(limit: int, initial_limit: int, age_us: int) -> int:
    """What is left of a limit that was last confirmed `age_us` ago.

    A limit that does not exceed the initial one stays as it is.
    """
    if limit <= initial_limit:
        return limit
    remaining_share: float = 2 ** -(age_us / HALF_LIFE_US)
    return initial_limit + ceil((limit - initial_limit) * remaining_share)
