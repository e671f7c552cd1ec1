"""When the other fronts or servers can take one more session, by the rate that each offers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class AvailableTarget:
    """Who can take the next session, and from when on; `target` is None where nobody offers capacity."""

    target: int | None
    at_us: int


@dataclass(slots=True)
class AvailableCapacity:
    """The capacity that others offer: none is given more sessions a second than it offers."""

    available_at_us: dict[int, int] = field(default_factory=dict)  # when each can take the next session
    interval_us: dict[int, int] = field(default_factory=dict)  # between two sessions of each

    def update(self, capacities: Mapping[int, float], now_us: int) -> None:
        """Replace what others offer, in sessions a second."""
        self.interval_us = {
            target: round(US_PER_S / capacity) for target, capacity in capacities.items() if capacity > 0
        }
        known_us = self.available_at_us
        self.available_at_us = {target: known_us.get(target, now_us) for target in self.interval_us}

    def earliest(self, now_us: int) -> AvailableTarget:
        """Who can take a session first."""
        if not self.available_at_us:
            return AvailableTarget(None, now_us)
        candidates = [(max(now_us, at_us), target) for target, at_us in self.available_at_us.items()]
        at_us, target = min(candidates)
        return AvailableTarget(target, at_us)

    def reserve(self, target: int, at_us: int) -> None:
        """Count a session that goes to a target at a time."""
        self.available_at_us[target] = at_us + self.interval_us[target]
