"""The records of a front's snapshot: their format, and which of them are still used after a restart.

A snapshot holds how often each server failed and when it last got an attempt, what was spent of the retry
budget, and the usual arrival rate. All times are wall times, since the monotonic clock may start anew; what
is read back is an age. Loads are not saved: servers name the sessions that they hold, and these are counted
again; together with a saved load that included them they counted twice (0.70 of answers were served within
two seconds of a restart, 0.75 without a store, 0.77 with one that saves no loads).

The records are stored by position (`array_like`). The attribute names of `ServerMemory` and `FrontMemory` are
keys of the JSON lines of `fennelcove store export`, and so are fixed as well.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import TypeVar

import msgspec
from fennelcove.decisions.fleet.snapshot_trust import CLOCK_TOLERANCE_US, MAX_AGE_US
from fennelcove.decisions.recovery.write_behind import Change
from msgspec import Struct

FORMAT_VERSION = 2  # of the records; a snapshot without a format has the first
UNSUPPORTED_FORMAT = 0
FORMAT_KEY = b"format"
MAX_BUDGET_TIMES = 4096  # of each kind in a front's record

RecordT = TypeVar("RecordT")


class ServerRecord(Struct, frozen=True, array_like=True):
    """The record of a server; wall times in microseconds, 0 for never."""

    started_us: int  # its process
    strikes: int
    shut_until_us: int  # until when it is excluded
    joined_us: int  # when this front last sent it an attempt
    heard_us: int  # when any of this was last known


class FrontRecord(Struct, frozen=True, array_like=True):
    """The record of the front itself; wall times in microseconds."""

    written_us: int
    taken_us: list[int]  # requests in the retry budget's window
    further_us: list[int]  # retries in it
    usual: float  # arrivals in half a second
    seen: int  # windows that the usual arrival rate was learned from
    # From here on of format 2; a record of format 1 ends before.
    life: int = 0  # the incarnation of this front; 0 where it has no peers
    lives: list[int] = []  # the incarnations of all fronts by index, as last heard
    list_version: int = -1


class EndpointRecord(Struct, frozen=True, array_like=True):
    """A server of the endpoint list in force."""

    address: str
    zone: str
    kind: str
    cell: int
    standing: str
    weight: float
    started_us: int  # wall time; 0 for long ago


class EndpointListRecord(Struct, frozen=True, array_like=True):
    """The endpoint list in force, for a start at which no discovery service answers."""

    version: int
    servers: list[EndpointRecord]


def format_of(values: Mapping[bytes, bytes]) -> int:
    """The format of a snapshot's records; `UNSUPPORTED_FORMAT` for a newer or unreadable one."""
    raw = values.get(FORMAT_KEY)
    if raw is None:
        return 1
    is_supported = raw.isdigit() and 1 <= int(raw) <= FORMAT_VERSION
    return int(raw) if is_supported else UNSUPPORTED_FORMAT


def migrate_records(values: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
    """A snapshot's records in the present format.

    Records of format 1 stay as they are: the fields that format 2 adds are at their end, and are read as
    unknown. A snapshot of a newer program is not used at all: what it learned is learned anew.
    """
    if format_of(values) == UNSUPPORTED_FORMAT:
        return {}
    return {key: raw for key, raw in values.items() if key != FORMAT_KEY}


def _decode(raw: bytes, record_type: type[RecordT]) -> RecordT | None:
    try:
        return msgspec.msgpack.decode(raw, type=record_type)
    except msgspec.MsgspecError:
        return None


def read_server(raw: bytes) -> ServerRecord | None:
    """Decode the record of a server; None for what is none."""
    return _decode(raw, ServerRecord)


def read_front(raw: bytes) -> FrontRecord | None:
    """Decode the record of the front; None for what is none."""
    return _decode(raw, FrontRecord)


def read_list(raw: bytes) -> EndpointListRecord | None:
    """Decode the record of the endpoint list; None for what is none."""
    return _decode(raw, EndpointListRecord)


class RecordVerdict(Enum):
    """Whether the record of a server is used, and if not, why; logs show the names."""

    USED = auto()
    NOT_LISTED = auto()
    NEW_LIFE = auto()  # its process has restarted, and has nothing of the previous one
    TOO_OLD = auto()
    CLOCK_BACK = auto()  # it was written later than now: its age is unknown
    UNREADABLE = auto()


@dataclass(frozen=True, slots=True)
class RecoveredServer:
    """The record of a server as ages in microseconds; None for never."""

    strikes: int
    shut_for_us: int
    last_attempt_ago_us: int | None


def evaluate_record(
    record: ServerRecord | None, started_us: int | None, wall_us: int
) -> tuple[RecordVerdict, RecoveredServer | None]:
    """Whether the record of a server is used, and what it yields.

    Args:
        record: the record; None for one that can't be read.
        started_us: the wall time at which the server's process started by the endpoint list; None where the
            list has no such server, 0 where that is long ago.
        wall_us: the present wall time.
    """
    if record is None:
        return RecordVerdict.UNREADABLE, None
    if started_us is None:
        return RecordVerdict.NOT_LISTED, None
    if record.heard_us > wall_us + CLOCK_TOLERANCE_US:
        return RecordVerdict.CLOCK_BACK, None
    if started_us > record.started_us + CLOCK_TOLERANCE_US and started_us > record.heard_us:
        return RecordVerdict.NEW_LIFE, None
    if wall_us - record.heard_us > MAX_AGE_US:
        return RecordVerdict.TOO_OLD, None
    return RecordVerdict.USED, _recovered(record, wall_us)


def _recovered(record: ServerRecord, wall_us: int) -> RecoveredServer:
    last_attempt_ago_us = None
    if record.joined_us:
        last_attempt_ago_us = max(0, wall_us - record.joined_us)
    return RecoveredServer(record.strikes, max(0, record.shut_until_us - wall_us), last_attempt_ago_us)


def budget_ages_us(times_us: Sequence[int], wall_us: int, window_us: int) -> list[int]:
    """The ages, in microseconds, of what still counts in a budget's window; the oldest first.

    What a clock that went back puts into the future counts as spent now: a budget must not refill by it.
    """
    ages_us = [max(0, wall_us - time_us) for time_us in times_us]
    return sorted((age_us for age_us in ages_us if age_us < window_us), reverse=True)


def record_changes(new: Iterable[tuple[bytes, bytes]], saved: dict[bytes, bytes]) -> list[Change]:
    """The changes that turn the saved records into the new ones; None deletes a key."""
    wanted = dict(new)
    changes: list[Change] = [(key, raw) for key, raw in wanted.items() if saved.get(key) != raw]
    changes += [(key, None) for key in saved if key not in wanted]
    return changes
