"""Violations found by the outage checks."""

from __future__ import annotations

from dataclasses import dataclass

# Beside the six rules: more fronts or servers were out of service than allowed; a fault or outcome that the
# scenario requires did not occur.
TOO_MANY_OUT_RULE = 10
MISSING_FAULT_RULE = 11


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation; `front` may also name a server."""

    rule: int
    t_us: int
    front: str
    reason: str
