"""What a judge of who is out has to hold against a day."""

from __future__ import annotations

from dataclasses import dataclass

OUT = 10  # no rule of the six: more taken out than may be
STRUCK = 11  # what the day was played for did not happen


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing; `front` may name a box as well."""

    rule: int
    t_us: int
    front: str
    reason: str
