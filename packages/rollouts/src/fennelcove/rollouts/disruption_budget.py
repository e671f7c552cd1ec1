"""Limits on how many places may be unavailable at once, and the check of a set of places against them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto


@dataclass(frozen=True, slots=True)
class Location:
    """The location of a front or a server, its capacity, and the titles that it stores."""

    zone: int
    capacity: float = 1.0  # in a unit that is the same for all places of a kind
    load: float = 0.0  # current load, in the unit of the capacity
    titles: frozenset[int] = field(default_factory=frozenset)  # that a server stores
    is_warm: bool = True  # False while it is warming up


@dataclass(frozen=True, slots=True)
class DisruptionLimit:
    """How many places of one kind may be unavailable at once."""

    total: int
    per_zone: int
    per_title: int = 1 << 15  # maximum unavailable replicas of one title
    capacity_margin: float = 0.1  # fraction of the remaining capacity that has to stay free of load


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """The disruption limits of a fleet, configured alike at all fronts."""

    fronts: DisruptionLimit
    servers: DisruptionLimit


class ExceededLimit(Enum):
    """The limit that a set of unavailable places exceeds."""

    TOTAL = auto()
    ZONE = auto()
    TITLE_REPLICAS = auto()
    LAST_WARM_REPLICA = auto()  # a title would have no warm replica left
    LOAD = auto()


class DisruptionMap:
    """All places of one kind, with totals that are computed once and used for each request."""

    def __init__(self, places: Mapping[int, Location]) -> None:
        """Compute the totals of the places."""
        self.places = dict(places)
        self.load = sum(location.load for location in places.values())
        self.capacity = sum(location.capacity for location in places.values())
        self.warm_replicas = Counter(
            title for location in places.values() if location.is_warm for title in location.titles
        )

    def exceeded_limit(
        self, limit: DisruptionLimit, place: int, others: Collection[int]
    ) -> ExceededLimit | None:
        """Return the first limit that is exceeded if a place is drained in addition to `others`, or None.

        The limits of other zones and of titles that the place doesn't store are not checked, so that a crash
        elsewhere does not block an unrelated drain.
        """
        return next(self._exceeded_limits(limit, place, frozenset(others) | {place}), None)

    def _exceeded_limits(
        self, limit: DisruptionLimit, place: int, disrupted: frozenset[int]
    ) -> Iterator[ExceededLimit]:
        if len(disrupted) > limit.total:
            yield ExceededLimit.TOTAL
        location = self.places.get(place)
        if location is None:
            return  # an unlisted place has no known zone, titles or load
        listed = [self.places[index] for index in disrupted if index in self.places]
        if sum(other.zone == location.zone for other in listed) > limit.per_zone:
            yield ExceededLimit.ZONE
        replicas = Counter(title for other in listed for title in other.titles & location.titles)
        if max(replicas.values(), default=0) > limit.per_title:
            yield ExceededLimit.TITLE_REPLICAS
        if location.is_warm and self._has_last_warm_replica(location, listed):
            yield ExceededLimit.LAST_WARM_REPLICA
        remaining = self.capacity - sum(other.capacity for other in listed)
        if self.load > (1 - limit.capacity_margin) * remaining:
            yield ExceededLimit.LOAD

    def _has_last_warm_replica(self, location: Location, listed: list[Location]) -> bool:
        """Return whether a title at the location would have no warm replica left."""
        disrupted_warm = Counter(
            title for other in listed if other.is_warm for title in other.titles & location.titles
        )
        return any(self.warm_replicas[title] <= disrupted_warm[title] for title in location.titles)
