"""What a front remembers of its last life: what is worth keeping, how old it is, and when it is dropped.

Kept are how often a box failed and when it was last given work, what was spent of the join budget, and the
usual pace. All are stamped with wall time, since the monotonic clock may begin anew; what is read back is an
age. Loads are not kept: what boxes still play is told by them at greeting and counted again, and together
with the load that it was part of it was counted twice (0.70 of answers played within two seconds of a
restart, 0.75 without a store, 0.77 with one that keeps no loads).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto

import msgspec
from msgspec import Struct

from fennelcove.decisions.fleet.snapshot_trust import MAX_AGE_US, CLOCK_TOLERANCE_US

MOST_TIMES = 4096


class ServerMemory(Struct, frozen=True, array_like=True):
    """One box; wall times in microseconds, 0 for never."""

    started_us: int  # its process
    strikes: int
    shut_until_us: int
    joined_us: int  # when this front last gave it work
    heard_us: int  # when any of this was last known


class FrontMemory(Struct, frozen=True, array_like=True):
    """The front itself; wall times in microseconds."""

    written_us: int
    taken_us: list[int]  # requests in the budget's span
    further_us: list[int]  # further joins in it
    usual: float  # arrivals in half a second
    seen: int  # windows that the usual pace was learned from
    # From here on of format 2; a record of format 1 ends before.
    life: int = 0  # of this front, as the others know it; 0 where it has no company
    lives: list[int] = []  # of all fronts by index, as last heard
    list_version: int = -1


class KeptServer(Struct, frozen=True, array_like=True):
    """A box of the list in force."""

    address: str
    zone: str
    kind: str
    cell: int
    standing: str
    weight: float
    started_us: int  # wall time; 0 for long ago


class KeptList(Struct, frozen=True, array_like=True):
    """The list in force, for a start at which no list service answers."""

    version: int
    boxes: list[KeptServer]


FORMAT = 2  # of what is kept; a folder that does not say has the first


def format_of(values: Mapping[bytes, bytes]) -> int:
    """Which format a folder's records have; 0 for one that is newer than this program or can't be read."""
    raw = values.get(b"format")
    if raw is None:
        return 1
    return int(raw) if raw.isdigit() and 1 <= int(raw) <= FORMAT else 0


def migrated(values: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """A folder's records in today's format.

    Records of format 1 stand as they are: what format 2 adds is at their end, and read as not known. One of a
    newer program is not guessed at: what it learned is learned anew.
    """
    if format_of(values) == 0:
        return {}
    return {key: raw for key, raw in values.items() if key != b"format"}


def read_list(raw: bytes) -> KeptList | None:
    """As `read_box`."""
    try:
        return msgspec.msgpack.decode(raw, type=KeptList)
    except msgspec.MsgspecError:
        return None


class RecordVerdict(Enum):
    """What becomes of a box's memory."""

    USED = auto()
    NOT_LISTED = auto()
    NEW_LIFE = auto()  # its process started anew: it carries nothing of the last
    TOO_OLD = auto()
    CLOCK_BACK = auto()  # it was written later than now: no age can be told
    UNREADABLE = auto()


@dataclass(frozen=True, slots=True)
class RecoveredServer:
    """A box's memory as ages in microseconds, fit for the module; None for never."""

    strikes: int
    shut_for_us: int
    last_attempt_ago_us: int | None


def read_server(raw: bytes) -> ServerMemory | None:
    """A memory as it was kept; None for what is none."""
    try:
        return msgspec.msgpack.decode(raw, type=ServerMemory)
    except msgspec.MsgspecError:
        return None


def read_front(raw: bytes) -> FrontMemory | None:
    """As `read_box`."""
    try:
        return msgspec.msgpack.decode(raw, type=FrontMemory)
    except msgspec.MsgspecError:
        return None


def rule(
    memory: ServerMemory | None, started_us: int | None, wall_us: int
) -> tuple[RecordVerdict, RecoveredServer | None]:
    """What a memory of a box is worth.

    Args:
        memory: as it was kept.
        started_us: the wall time at which the list says that the box's process started; None where it
            lists no such box, 0 where that is long ago.
        wall_us: now.
    """
    if memory is None:
        return RecordVerdict.UNREADABLE, None
    if started_us is None:
        return RecordVerdict.NOT_LISTED, None
    newest_us = memory.heard_us
    if newest_us > wall_us + CLOCK_TOLERANCE_US:
        return RecordVerdict.CLOCK_BACK, None
    if started_us > memory.started_us + CLOCK_TOLERANCE_US and started_us > newest_us:
        return RecordVerdict.NEW_LIFE, None
    if wall_us - newest_us > MAX_AGE_US:
        return RecordVerdict.TOO_OLD, None
    return RecordVerdict.USED, RecoveredServer(
        memory.strikes,
        max(0, memory.shut_until_us - wall_us),
        max(0, wall_us - memory.joined_us) if memory.joined_us else None,
    )


def spent(times_us: Sequence[int], wall_us: int, span_us: int) -> list[int]:
    """How long ago, in microseconds, what still counts in a budget's span was spent; the oldest first.

    What a clock that went back puts into the future counts as spent now: a budget must not come back by it.
    """
    ages = [max(0, wall_us - at) for at in times_us]
    return sorted((age for age in ages if age < span_us), reverse=True)


def changed(new: Iterable[tuple[bytes, bytes]], kept: dict[bytes, bytes]) -> list[tuple[bytes, bytes | None]]:
    """What has to be written so that the kept is the new; what is no longer there is taken out."""
    wanted = dict(new)
    found: list[tuple[bytes, bytes | None]] = [
        (key, raw) for key, raw in wanted.items() if kept.get(key) != raw
    ]
    found += [(key, None) for key in kept if key not in wanted]
    return found
