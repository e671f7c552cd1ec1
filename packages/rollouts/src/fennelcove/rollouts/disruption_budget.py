"""How many may be out: the limits, and whether a set of places out is within them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto


@dataclass(frozen=True, slots=True)
class Location:
    """A front or a box, as the settings or the list have it."""

    zone: int
    capacity: float = 1.0  # what it can carry; the unit is the same for all of a kind
    load: float = 0.0  # what it carries now
    titles: frozenset[int] = field(default_factory=frozenset)  # that a box holds
    is_warm: bool = True


@dataclass(frozen=True, slots=True)
class DisruptionLimit:
    """How many of one kind may be out at once."""

    total: int
    per_zone: int
    per_title: int = 1 << 15  # of one title
    capacity_margin: float = 0.1  # of the room that stays, what the load of now has to leave


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Of a fleet; the same in the settings of all fronts."""

    fronts: DisruptionLimit
    servers: DisruptionLimit


class ExceededLimit(Enum):
    """Which limit would be passed."""

    TOTAL = auto()
    ZONE = auto()
    TITLE_REPLICAS = auto()
    LAST_WARM_REPLICA = auto()  # the last warm holder of a title
    LOAD = auto()


class DisruptionMap:
    """All places of one kind, with what adds up over them: looked at for each ask, made for each list."""

    def __init__(self, places: Mapping[int, Location]) -> None:
        self.places = dict(places)
        self.load = sum(place.load for place in places.values())
        self.capacity = sum(place.capacity for place in places.values())
        self.warm_replicas = Counter(
            title for place in places.values() if place.is_warm for title in place.titles
        )

    def exceeded_limit(
        self, limit: DisruptionLimit, place: int, others: Collection[int]
    ) -> ExceededLimit | None:
        """The first limit that this place passes beside all others that are out; None where it passes none.

        Limits of halls and titles that the place has no part in are not looked at: what crashed elsewhere
        must not keep back what it has nothing to do with.
        """
        return next(self._exceeded_limits(limit, place, frozenset(others) | {place}), None)

    def _exceeded_limits(
        self, limit: DisruptionLimit, place: int, out: frozenset[int]
    ) -> Iterator[ExceededLimit]:
        if len(out) > limit.total:
            yield ExceededLimit.TOTAL
        one = self.places.get(place)
        if one is None:
            return  # one that the list does not name has no hall, no titles and no load
        named = [self.places[at] for at in out if at in self.places]
        if sum(other.zone == one.zone for other in named) > limit.per_zone:
            yield ExceededLimit.ZONE
        replicas = Counter(title for other in named for title in other.titles & one.titles)
        if max(replicas.values(), default=0) > limit.per_title:
            yield ExceededLimit.TITLE_REPLICAS
        # Of a title that nobody holds warm there is no last warm holder; taking out a cold one harms nobody.
        warm = Counter(title for other in named if other.is_warm for title in other.titles & one.titles)
        if one.is_warm and any(self.warm_replicas[title] <= warm[title] for title in one.titles):
            yield ExceededLimit.LAST_WARM_REPLICA
        if self.load > (1 - limit.capacity_margin) * (self.capacity - sum(other.capacity for other in named)):
            yield ExceededLimit.LOAD
