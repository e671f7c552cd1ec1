"""The settings of disruption permits for one kind of place."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.rollouts.disruption_budget import DisruptionLimit
from fennelcove.rollouts.messages import PlaceKind

# By how much two clocks may differ in rate, and a process be delayed between a check and its action.
MAX_CLOCK_DRIFT = 0.05


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """The settings of permits for one kind of place, the same at all fronts but for `front_index`."""

    kind: PlaceKind
    front_count: int
    front_index: int
    limit: DisruptionLimit
    permit_window_us: int = 2_000_000  # from a request, how long votes count and the drain may begin
    health_timeout_us: int = 2_000_000  # a place without an observation for so long is unavailable
    drain_visible_us: int = 0  # until when all fronts see that a server drains

    @property
    def majority(self) -> int:
        """How many fronts are more than half of them."""
        return self.front_count // 2 + 1

    @property
    def permit_expiry_us(self) -> int:
        """How long after its vote a grantor knows that the requester neither counts it nor begins by it."""
        return round(self.permit_window_us * (1 + MAX_CLOCK_DRIFT))
