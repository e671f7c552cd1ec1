"""How far a front that has restarted trusts its snapshot: by kind of fact, by what else was lost, and by age.

The snapshot is not used for facts that have a better source. Servers list the sessions that they hold. Start
times come from the servers and from the endpoint list, and the later one is used. The number of fronts comes
from the settings, and only a majority may lower it (`membership`). Tickets and idempotency keys of clients
remain valid for their own lifetimes, whatever was lost.

The loss of a whole fleet is inferred from evidence and never configured: from servers whose processes started
after the snapshot was written, and from other fronts with new incarnations. If the others know a later
incarnation than the one that wrote the snapshot, it is not the newest but was restored from a copy.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto

MAX_AGE_US = 600_000_000  # older observations of a server or of the arrival rate are no evidence
CLOCK_TOLERANCE_US = 1_500_000  # records of one moment differ by the errors of the endpoint list and a clock


class FactKind(Enum):
    """A fact in the snapshot that a loss may have invalidated."""

    STRIKES = auto()  # how often a server failed
    LAST_ATTEMPT = auto()  # when this front last sent a server an attempt
    RETRY_BUDGET = auto()  # retries spent
    ARRIVAL_RATE = auto()  # the usual arrival rate
    ENDPOINT_LIST = auto()


class LossKind(IntEnum):
    """What was lost according to the evidence; each kind includes the one before. Logs show the names."""

    SELF = 0  # this front
    FRONTS = 1  # most fronts
    SERVER = 2  # this front, and the server that the fact is about
    ALL = 3  # fronts and servers


class SnapshotAge(IntEnum):
    """How old the snapshot is; logs show the names."""

    FRESH = 0
    UNKNOWN = 1  # the clock was set back
    OLD = 2  # older than `MAX_AGE_US`, or from a copy of an older snapshot


class SnapshotUse(IntEnum):
    """How a fact is used; each value trusts it less than the one before."""

    USE = 0
    LOWER_BOUND = 1
    CONFIRM = 2  # only after the server that it is about has confirmed it
    DROP = 3


@dataclass(frozen=True, slots=True)
class UseByAge:
    """How a fact is used after one kind of loss, by the snapshot's age."""

    fresh: SnapshotUse
    unknown: SnapshotUse
    old: SnapshotUse

    def at(self, age: SnapshotAge) -> SnapshotUse:
        """The use at this age."""
        if age is SnapshotAge.FRESH:
            return self.fresh
        return self.unknown if age is SnapshotAge.UNKNOWN else self.old


_TRUST_FRESH = UseByAge(SnapshotUse.USE, SnapshotUse.DROP, SnapshotUse.DROP)
_TRUST_UNLESS_OLD = UseByAge(SnapshotUse.USE, SnapshotUse.USE, SnapshotUse.DROP)
_LOWER_BOUND_UNLESS_OLD = UseByAge(SnapshotUse.LOWER_BOUND, SnapshotUse.LOWER_BOUND, SnapshotUse.DROP)
_LOWER_BOUND_IF_UNKNOWN = UseByAge(SnapshotUse.USE, SnapshotUse.LOWER_BOUND, SnapshotUse.USE)
_CONFIRM_UNLESS_OLD = UseByAge(SnapshotUse.CONFIRM, SnapshotUse.CONFIRM, SnapshotUse.DROP)
_DROP = UseByAge(SnapshotUse.DROP, SnapshotUse.DROP, SnapshotUse.DROP)


# Each row has one entry for each kind of loss, from SELF to ALL.
TRUST_RULES: dict[FactKind, tuple[UseByAge, ...]] = {
    # A server's failures say nothing about its next process, and are dropped if their age is unknown.
    FactKind.STRIKES: (_TRUST_FRESH, _TRUST_FRESH, _DROP, _DROP),
    # A restarted server has none of its previous sessions, so its slow start counts from its own start.
    FactKind.LAST_ATTEMPT: (_TRUST_FRESH, _TRUST_FRESH, _DROP, _DROP),
    # A clock error must not refill the budget: with an unknown age, all of it counts as spent just now.
    FactKind.RETRY_BUDGET: (_LOWER_BOUND_IF_UNKNOWN,) * len(LossKind),
    # After the loss of other fronts each remaining one has more clients: if their rate were taken as the
    # usual one, a retry storm would go undetected.
    FactKind.ARRIVAL_RATE: (
        _TRUST_UNLESS_OLD,
        _LOWER_BOUND_UNLESS_OLD,
        _TRUST_UNLESS_OLD,
        _LOWER_BOUND_UNLESS_OLD,
    ),
    # A server of a saved list must confirm its address before it gets sessions; the addresses in an old copy
    # may belong to other machines by now.
    FactKind.ENDPOINT_LIST: (_CONFIRM_UNLESS_OLD,) * len(LossKind),
}


def snapshot_use(fact: FactKind, loss: LossKind, age: SnapshotAge) -> SnapshotUse:
    """How a fact of the snapshot is used."""
    return TRUST_RULES[fact][loss].at(age)


@dataclass(frozen=True, slots=True)
class Evidence:
    """What a starting front has observed so far; wall times in microseconds."""

    observed_servers: int = 0
    restarted_servers: int = 0  # whose processes started after the snapshot was written
    observed_fronts: int = 0  # other fronts from which a message was received
    restarted_fronts: int = 0  # whose incarnations differ from those in the snapshot
    saved_incarnation: int = 0  # of this front when it wrote the snapshot; 0 where it is not recorded
    latest_known_incarnation: int = 0  # the latest one that others knew under this front's index
    written_us: int = 0  # when the snapshot was written; 0 for no snapshot
    wall_us: int = 0  # the current time


def infer_loss(evidence: Evidence) -> LossKind:
    """What was lost: a kind counts as lost if more than half of its observed members have restarted."""
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
