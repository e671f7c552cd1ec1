"""What a front that has just started believes of its folder: each kind of fact by what died meanwhile, and by
its age as far as clocks can tell.

Facts that others know better are not asked of the folder at all: what plays and who has a seat is told by the
boxes, since when a box is up by itself and by the list, whichever says less, and how many fronts there are
by the settings, of which only a majority that hears may take away (`company`). What was promised to viewers,
keys and places, stands by its own time whatever died.

That a whole fleet was lost is told by evidence, never by a flag: boxes whose processes began after the last
word of the folder, other fronts in new lives. A folder that others know a later life than is not the newest:
it was restored from a copy.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

MAX_AGE_US = 600_000_000  # past it what a box or a crowd did says nothing
CLOCK_TOLERANCE_US = 1_500_000  # two accounts of one moment differ by a list's and a clock's error


class FactKind(Enum):
    """What the folder may know that something can have made untrue."""

    STRIKES = auto()  # how often a box failed
    LAST_JOIN = auto()  # when this front last gave a box work
    BUDGET = auto()  # further joins spent
    PACE = auto()  # the usual arrivals
    LIST = auto()  # which boxes there are


class LossKind(IntEnum):
    """What died, as far as the evidence goes; each says more than the one before."""

    SELF = 0  # this front
    FRONTS = 1  # most fronts
    SERVER = 2  # this front, and the box that the fact is about
    ALL = 3  # fronts and boxes


class SnapshotAge(IntEnum):
    """How old a fact is."""

    FRESH = 0
    UNKNOWN = 1  # a clock went back, or there is none to compare with
    OLD = 2  # past its time, or from a copy of an older folder


class SnapshotUse(IntEnum):
    """What is done with it; each trusts less than the one before."""

    USE = 0
    AT_LEAST = 1  # it may be more by now
    CONFIRM = 2  # only once whoever it is about has spoken
    DROP = 3


# Each row: by loss from SELF to ALL, and in it by age from FRESH to OLD.
U, L, A, D = SnapshotUse.USE, SnapshotUse.AT_LEAST, SnapshotUse.CONFIRM, SnapshotUse.DROP
TRUST_RULES: dict[FactKind, tuple[tuple[SnapshotUse, SnapshotUse, SnapshotUse], ...]] = {
    # What a box did wrong says nothing of its next process, and nothing where no clock tells since when.
    FactKind.STRIKES: ((U, D, D), (U, D, D), (D, D, D), (D, D, D)),
    # A process that began anew carries nothing of its last life: its turns are counted from its start.
    FactKind.LAST_JOIN: ((U, D, D), (U, D, D), (D, D, D), (D, D, D)),
    # A budget must not come back by a clock: without an age all of it counts as spent just now.
    FactKind.BUDGET: ((U, L, U), (U, L, U), (U, L, U), (U, L, U)),
    # With other fronts gone more come to each: taken for the usual, the crowd after a loss would be a storm.
    FactKind.PACE: ((U, U, D), (L, L, D), (U, U, D), (L, L, D)),
    # Boxes of a kept list are asked before they get work; a copy from long ago names others' machines.
    FactKind.LIST: ((A, A, D), (A, A, D), (A, A, D), (A, A, D)),
}


def use(fact: FactKind, loss: LossKind, age: SnapshotAge) -> SnapshotUse:
    """What becomes of a fact out of the folder."""
    return TRUST_RULES[fact][loss][age]


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a start has found so far; counts of what was heard, wall times in microseconds."""

    observed_servers: int = 0
    restarted_servers: int = 0  # whose processes began after the folder's last word
    observed_fronts: int = 0  # others that were heard
    restarted_fronts: int = 0  # in another life than the folder knows
    saved_incarnation: int = 0  # this front's life that wrote the folder; 0 where it does not say
    latest_known_incarnation: int = (
        0  # the latest life under its index that others have heard of, before this one
    )
    written_us: int = 0  # the folder's last word; 0 for no folder
    wall_us: int = 0


def loss(found: Evidence) -> LossKind:
    """What died, by the evidence: more than half of those heard. Of what was not heard nothing is claimed."""
    servers = 2 * found.restarted_servers > found.observed_servers
    fronts = 2 * found.restarted_fronts > found.observed_fronts
    if servers and (fronts or not found.observed_fronts):
        return LossKind.ALL
    return LossKind.FRONTS if fronts else LossKind.SELF


def age(found: Evidence) -> SnapshotAge:
    """How old the folder is."""
    if not found.written_us or (
        found.saved_incarnation and found.latest_known_incarnation > found.saved_incarnation
    ):
        return SnapshotAge.OLD
    if found.written_us > found.wall_us + CLOCK_TOLERANCE_US:
        return SnapshotAge.UNKNOWN
    return SnapshotAge.OLD if found.wall_us - found.written_us > MAX_AGE_US else SnapshotAge.FRESH
