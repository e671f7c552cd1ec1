"""How far a front that has restarted trusts its snapshot: by kind of fact, by what else was lost, and by age.

The snapshot is not consulted for facts that others know better: servers name the sessions that they hold,
servers and the endpoint list give their start times, of which the later counts, and the settings give the
number of fronts, which only a majority may lower (`membership`). Tickets and idempotency keys that clients
hold stay valid by their own times, whatever was lost.

The loss of a whole fleet is inferred from evidence, never from a flag: servers whose processes started after
the snapshot was written, and other fronts in new incarnations. A snapshot of an incarnation older than one
that the others know is not the newest: it was restored from a copy.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

MAX_AGE_US = 600_000_000  # beyond it, past behaviour of a server or a crowd is no evidence
CLOCK_TOLERANCE_US = 1_500_000  # two accounts of one moment differ by the errors of a list and a clock


class FactKind(Enum):
    """A fact of the snapshot that a loss can have made untrue."""

    STRIKES = auto()  # how often a server failed
    LAST_ATTEMPT = auto()  # when this front last sent a server an attempt
    RETRY_BUDGET = auto()  # retries spent
    ARRIVAL_RATE = auto()  # the usual arrival rate
    ENDPOINT_LIST = auto()  # the endpoint list


class LossKind(IntEnum):
    """What was lost as far as the evidence goes; each kind includes the one before. Logs show the names."""

    SELF = 0  # this front
    FRONTS = 1  # most fronts
    SERVER = 2  # this front, and the server that the fact is about
    ALL = 3  # fronts and servers


class SnapshotAge(IntEnum):
    """How old the snapshot is; logs show the names."""

    FRESH = 0
    UNKNOWN = 1  # a clock went back
    OLD = 2  # beyond its time, or from a copy of an older snapshot


class SnapshotUse(IntEnum):
    """How a fact is used; each value trusts it less than the one before."""

    USE = 0
    LOWER_BOUND = 1  # as a lower bound
    CONFIRM = 2  # only once its subject has confirmed it
    DROP = 3


@dataclass(frozen=True, slots=True)
class UseByAge:
    """How a fact is used after one kind of loss."""

    fresh: SnapshotUse
    unknown: SnapshotUse
    old: SnapshotUse

    def at(self, age: SnapshotAge) -> SnapshotUse:
        """The use at an age."""
        if age is SnapshotAge.FRESH:
            return self.fresh
        return self.unknown if age is SnapshotAge.UNKNOWN else self.old


_TRUST_FRESH = UseByAge(SnapshotUse.USE, SnapshotUse.DROP, SnapshotUse.DROP)
_TRUST_UNLESS_OLD = UseByAge(SnapshotUse.USE, SnapshotUse.USE, SnapshotUse.DROP)
_LOWER_BOUND_UNLESS_OLD = UseByAge(SnapshotUse.LOWER_BOUND, SnapshotUse.LOWER_BOUND, SnapshotUse.DROP)
_LOWER_BOUND_IF_UNKNOWN = UseByAge(SnapshotUse.USE, SnapshotUse.LOWER_BOUND, SnapshotUse.USE)
_CONFIRM_UNLESS_OLD = UseByAge(SnapshotUse.CONFIRM, SnapshotUse.CONFIRM, SnapshotUse.DROP)
_DROP = UseByAge(SnapshotUse.DROP, SnapshotUse.DROP, SnapshotUse.DROP)


# Each row: by loss, from SELF to ALL.
TRUST_RULES: dict[FactKind, tuple[UseByAge, ...]] = {
    # Failures of a server do not concern its next process, nor any where no clock shows since when.
    FactKind.STRIKES: (_TRUST_FRESH, _TRUST_FRESH, _DROP, _DROP),
    # A restarted process has none of its previous sessions: its slow start counts from its start.
    FactKind.LAST_ATTEMPT: (_TRUST_FRESH, _TRUST_FRESH, _DROP, _DROP),
    # A budget must not refill by a clock: without an age all of it counts as spent just now.
    FactKind.RETRY_BUDGET: (_LOWER_BOUND_IF_UNKNOWN,) * len(LossKind),
    # With other fronts lost, more clients come to each: as the usual rate, that crowd would hide a storm.
    FactKind.ARRIVAL_RATE: (
        _TRUST_UNLESS_OLD,
        _LOWER_BOUND_UNLESS_OLD,
        _TRUST_UNLESS_OLD,
        _LOWER_BOUND_UNLESS_OLD,
    ),
    # Servers of a saved list are asked before they get sessions; an old copy names machines of others.
    FactKind.ENDPOINT_LIST: (_CONFIRM_UNLESS_OLD,) * len(LossKind),
}


def snapshot_use(fact: FactKind, loss: LossKind, age: SnapshotAge) -> SnapshotUse:
    """How a fact of the snapshot is used."""
    return TRUST_RULES[fact][loss].at(age)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a start has observed so far; wall times in microseconds."""

    observed_servers: int = 0
    restarted_servers: int = 0  # whose processes started after the snapshot was written
    observed_fronts: int = 0  # other fronts that sent something
    restarted_fronts: int = 0  # in another incarnation than the snapshot knows
    saved_incarnation: int = 0  # of this front, that wrote the snapshot; 0 where it is not recorded
    latest_known_incarnation: int = 0  # that others knew under this front's index before this one
    written_us: int = 0  # when the snapshot was written; 0 for no snapshot
    wall_us: int = 0


def infer_loss(evidence: Evidence) -> LossKind:
    """What was lost: more than half of those observed. Of what was not observed nothing is concluded."""
    servers_lost = 2 * evidence.restarted_servers > evidence.observed_servers
    fronts_lost = 2 * evidence.restarted_fronts > evidence.observed_fronts
    if servers_lost and (fronts_lost or not evidence.observed_fronts):
        return LossKind.ALL
    return LossKind.FRONTS if fronts_lost else LossKind.SELF


def snapshot_age(evidence: Evidence) -> SnapshotAge:
    """How old the snapshot is."""
    if not evidence.written_us:
        return SnapshotAge.OLD
    is_copy = evidence.latest_known_incarnation > evidence.saved_incarnation
    if evidence.saved_incarnation and is_copy:
        return SnapshotAge.OLD
    if evidence.written_us > evidence.wall_us + CLOCK_TOLERANCE_US:
        return SnapshotAge.UNKNOWN
    is_expired = evidence.wall_us - evidence.written_us > MAX_AGE_US
    return SnapshotAge.OLD if is_expired else SnapshotAge.FRESH
