"""How many places may be out at once: the limits, and whether a set of places is within them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto


@dataclass(frozen=True, slots=True)
class Location:
    """A front or a server: where it is, and what it serves."""

    zone: int
    capacity: float = 1.0  # in the same unit for all places of a kind
    load: float = 0.0  # at present, in the unit of the capacity
    titles: frozenset[int] = field(default_factory=frozenset)  # that a server stores
    is_warm: bool = True  # not warming up


@dataclass(frozen=True, slots=True)
class DisruptionLimit:
    """How many places of one kind may be out at once."""

    total: int
    per_zone: int
    per_title: int = 1 << 15  # replicas of one title
    capacity_margin: float = 0.1  # ratio of the remaining capacity that the present load has to leave free


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """The limits of a fleet; the same in the settings of all fronts."""

    fronts: DisruptionLimit
    servers: DisruptionLimit


class ExceededLimit(Enum):
    """Which limit a set of places exceeds."""

    TOTAL = auto()
    ZONE = auto()
    TITLE_REPLICAS = auto()
    LAST_WARM_REPLICA = auto()  # of a title
    LOAD = auto()


class DisruptionMap:
    """All places of one kind, with their totals: made once for each list of places, used for each request."""

    def __init__(self, places: Mapping[int, Location]) -> None:
        """Add up the places."""
        self.places = dict(places)
        self.load = sum(location.load for location in places.values())
        self.capacity = sum(location.capacity for location in places.values())
        self.warm_replicas = Counter(
            title for location in places.values() if location.is_warm for title in location.titles
        )

    def exceeded_limit(
        self, limit: DisruptionLimit, place: int, others: Collection[int]
    ) -> ExceededLimit | None:
        """The first limit that taking a place out exceeds, besides all others that are out; None for none.

        Limits of zones and titles that the place has no part in are not checked: a crash elsewhere must not
        hold up a place that has nothing to do with it.
        """
        return next(self._exceeded_limits(limit, place, frozenset(others) | {place}), None)

    def _exceeded_limits(
        self, limit: DisruptionLimit, place: int, disrupted: frozenset[int]
    ) -> Iterator[ExceededLimit]:
        if len(disrupted) > limit.total:
            yield ExceededLimit.TOTAL
        location = self.places.get(place)
        if location is None:
            return  # a place that is not listed has no zone, no titles and no load
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
        """Whether a title of the location would have no warm replica left."""
        disrupted_warm = Counter(
            title for other in listed if other.is_warm for title in other.titles & location.titles
        )
        return any(self.warm_replicas[title] <= disrupted_warm[title] for title in location.titles)
