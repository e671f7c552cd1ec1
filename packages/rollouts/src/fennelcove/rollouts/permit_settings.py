"""The settings of disruption permits for one kind of place."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.rollouts.disruption_budget import DisruptionLimit
from fennelcove.rollouts.messages import PlaceKind

# Allowance for different clock rates and for the delay of a process between a check and its action.
MAX_CLOCK_DRIFT = 0.05


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """The permit settings for one kind of place. Only `front_index` differs between fronts."""

    kind: PlaceKind
    front_count: int
    front_index: int
    limit: DisruptionLimit
    permit_window_us: int = 2_000_000  # how long after a request votes count and the drain may begin
    health_timeout_us: int = 2_000_000  # a place without an observation for this long is unavailable
    drain_visible_us: int = 0  # time until all fronts have observed a server's drain

    @property
    def majority(self) -> int:
        """The smallest number of fronts that is more than half of all."""
        return self.front_count // 2 + 1

    @property
    def permit_expiry_us(self) -> int:
        """Time after a vote when the requester can no longer count it or begin a drain because of it."""
        return round(self.permit_window_us * (1 + MAX_CLOCK_DRIFT))
