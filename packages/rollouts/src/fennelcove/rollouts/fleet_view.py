"""The state of the fleet as observed by the leader of a rollout."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fennelcove.rollouts.messages import Heartbeat
from fennelcove.rollouts.permit_grantor import Grantor


@dataclass(frozen=True, slots=True)
class FleetView:
    """A snapshot of the state of all fronts."""

    size: int
    leader_index: int
    heartbeats: Mapping[int, Heartbeat]  # the newest of each front, including the leader
    unavailable: frozenset[int]  # excluding those written off
    written_off: frozenset[int]
    unavailable_since_us: Mapping[int, int]

    def fronts_with(self, version: int) -> list[int]:
        """Return the available fronts that run a version."""
        return [i for i, one in self.heartbeats.items() if self._is_counted(i) and one.version == version]

    def fronts_without(self, version: int) -> list[int]:
        """Return the available fronts that run another version."""
        return [i for i, one in self.heartbeats.items() if self._is_counted(i) and one.version != version]

    def _is_counted(self, index: int) -> bool:
        return index not in self.unavailable and index not in self.written_off

    @property
    def expected_count(self) -> int:
        """The number of fronts that are not written off."""
        return self.size - len(self.written_off)


def view_fleet(grantor: Grantor, unavailable_since_us: Mapping[int, int], now_us: int) -> FleetView:
    """Return what this front observes of the fleet now; `grantor` is its grantor of front permits."""
    settings = grantor.settings
    return FleetView(
        settings.front_count,
        settings.front_index,
        grantor.heartbeats,
        frozenset(grantor.unavailable_places(now_us)),
        frozenset(grantor.written_off_places()),
        unavailable_since_us,
    )
