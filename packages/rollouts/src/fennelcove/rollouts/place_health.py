"""Tracks which places are unavailable, as observed by one front."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class HealthView:
    """The latest observation of a place: its state at `as_of_us` or later."""

    is_serving: bool
    as_of_us: int


@dataclass(slots=True)
class PlaceHealth:
    """The latest observation of each place, with a cache of the places that are unavailable."""

    views: dict[int, HealthView] = field(default_factory=dict)
    _unavailable: set[int] = field(default_factory=set)
    _cached_until_us: int = 0  # before this time no further place times out

    def observe(self, place: int, view: HealthView, timeout_us: int, now_us: int) -> bool:
        """Record an observation; return False if a later one is already known."""
        known = self.views.get(place)
        if known is not None and view.as_of_us < known.as_of_us:
            return False
        self.views[place] = view
        expires_us = view.as_of_us + timeout_us
        if view.is_serving and now_us < expires_us:
            self._unavailable.discard(place)
            self._cached_until_us = min(self._cached_until_us, expires_us)
        else:
            self._unavailable.add(place)
        return True

    def retain(self, places: Collection[int]) -> None:
        """Remove all places that are not among the given ones."""
        for place in self.views.keys() - places:
            del self.views[place]
        self._cached_until_us = 0

    def unavailable(self, places: Collection[int], timeout_us: int, now_us: int) -> set[int]:
        """Return the places that do not serve, or whose last observation is older than the timeout."""
        if now_us >= self._cached_until_us:
            expiries_us = [view.as_of_us + timeout_us for view in self.views.values() if view.is_serving]
            pending_us = [at_us for at_us in expiries_us if now_us < at_us]
            self._unavailable = {
                place for place in places if not self._is_available(place, timeout_us, now_us)
            }
            self._cached_until_us = min(pending_us, default=now_us + timeout_us)
        return self._unavailable

    def _is_available(self, place: int, timeout_us: int, now_us: int) -> bool:
        view = self.views.get(place)
        return view is not None and view.is_serving and now_us < view.as_of_us + timeout_us
