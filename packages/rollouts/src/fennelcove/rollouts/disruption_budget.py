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
    room: float = 1.0  # what it can carry; the unit is the same for all of a kind
    load: float = 0.0  # what it carries now
    titles: frozenset[int] = field(default_factory=frozenset)  # that a box holds
    warm: bool = True


@dataclass(frozen=True, slots=True)
class Limit:
    """How many of one kind may be out at once."""

    whole: int
    zone: int
    replicas: int = 1 << 15  # of one title
    margin: float = 0.1  # of the room that stays, what the load of now has to leave


@dataclass(frozen=True, slots=True)
class Limits:
    """Of a fleet; the same in the settings of all fronts."""

    fronts: Limit
    servers: Limit


class Past(Enum):
    """Which limit would be passed."""

    WHOLE = auto()
    HALL = auto()
    HOLDERS = auto()
    LAST = auto()  # the last warm holder of a title
    LOAD = auto()


class DisruptionMap:
    """All places of one kind, with what adds up over them: looked at for each ask, made for each list."""

    def __init__(self, places: Mapping[int, Location]) -> None:
        self.places = dict(places)
        self.load = sum(place.load for place in places.values())
        self.room = sum(place.room for place in places.values())
        self.warm = Counter(title for place in places.values() if place.warm for title in place.titles)

    def past(self, limit: Limit, place: int, others: Collection[int]) -> Past | None:
        """The first limit that this place passes beside all others that are out; None where it passes none.

        Limits of halls and titles that the place has no part in are not looked at: what crashed elsewhere
        must not keep back what it has nothing to do with.
        """
        return next(self._past(limit, place, frozenset(others) | {place}), None)

    def _past(self, limit: Limit, place: int, out: frozenset[int]) -> Iterator[Past]:
        if len(out) > limit.whole:
            yield Past.WHOLE
        one = self.places.get(place)
        if one is None:
            return  # one that the list does not name has no hall, no titles and no load
        named = [self.places[at] for at in out if at in self.places]
        if sum(other.zone == one.zone for other in named) > limit.zone:
            yield Past.HALL
        replicas = Counter(title for other in named for title in other.titles & one.titles)
        if max(replicas.values(), default=0) > limit.replicas:
            yield Past.HOLDERS
        # Of a title that nobody holds warm there is no last warm holder; taking out a cold one harms nobody.
        warm = Counter(title for other in named if other.warm for title in other.titles & one.titles)
        if one.warm and any(self.warm[title] <= warm[title] for title in one.titles):
            yield Past.LAST
        if self.load > (1 - limit.margin) * (self.room - sum(other.room for other in named)):
            yield Past.LOAD
