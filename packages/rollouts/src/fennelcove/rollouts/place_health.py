"""Which places are unavailable, by what one front observes of them."""

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
    _cached_until_us: int = 0  # no other place times out before

    def observe(self, place: int, view: HealthView, timeout_us: int, now_us: int) -> bool:
        """Take in an observation; False where a later one is known already."""
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
        """Forget all other places."""
        for place in self.views.keys() - places:
            del self.views[place]
        self._cached_until_us = 0

    def unavailable(self, places: Collection[int], timeout_us: int, now_us: int) -> set[int]:
        """Those of the places that do not serve, or that were last observed longer ago than the timeout."""
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
