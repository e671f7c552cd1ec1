"""Paces the sessions that a drain sends to other fronts or servers, by the rate that each offers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class AvailableTarget:
    """The target that can take the next session first; `target` is None if none offers capacity."""

    target: int | None
    at_us: int


@dataclass(slots=True)
class AvailableCapacity:
    """The offered capacity of each target. No target gets more sessions per second than it offers."""

    available_at_us: dict[int, int] = field(default_factory=dict)  # by target: when it can take a session
    interval_us: dict[int, int] = field(default_factory=dict)  # by target: time between two sessions

    def update(self, capacities: Mapping[int, float], now_us: int) -> None:
        """Replace the offered capacities, in sessions per second by target."""
        self.interval_us = {
            target: round(US_PER_S / capacity) for target, capacity in capacities.items() if capacity > 0
        }
        known_us = self.available_at_us
        self.available_at_us = {target: known_us.get(target, now_us) for target in self.interval_us}

    def earliest(self, now_us: int) -> AvailableTarget:
        """Return the target that can take a session first."""
        if not self.available_at_us:
            return AvailableTarget(None, now_us)
        candidates = [(max(now_us, at_us), target) for target, at_us in self.available_at_us.items()]
        at_us, target = min(candidates)
        return AvailableTarget(target, at_us)

    def reserve(self, target: int, at_us: int) -> None:
        """Reserve the capacity for one session that goes to a target at `at_us`."""
        self.available_at_us[target] = at_us + self.interval_us[target]
