"""The records of a front's snapshot: their format, and which of them are still used after a restart.

A snapshot contains how often each server failed and when it last got an attempt, the used part of the retry
budget, and the usual arrival rate. All times are wall times, since the monotonic clock may start again from
zero; they are converted to ages when the snapshot is read. Loads are not stored: servers report the sessions
that they hold, and with a stored load these were counted twice (0.70 of the responses within two seconds of a
restart were successful, 0.75 without a store, 0.77 with a store that contains no loads).

The records are stored by position (`array_like`). The attribute names of `ServerRecord` and `FrontRecord` are
keys in the JSON lines of `fennelcove store export`, and so must not change either.
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

FORMAT_VERSION = 2  # of the records; a snapshot without a version has format 1
UNSUPPORTED_FORMAT = 0
FORMAT_KEY = b"format"
MAX_BUDGET_TIMES = 4096  # of each kind in a front's record

RecordT = TypeVar("RecordT")


class ServerRecord(Struct, frozen=True, array_like=True):
    """The record of a server; wall times in microseconds, 0 for never."""

    started_us: int  # when its process started
    strikes: int  # how often it failed
    shut_until_us: int  # when its exclusion ends
    joined_us: int  # when this front last sent it an attempt
    heard_us: int  # when this record was last known to be valid


class FrontRecord(Struct, frozen=True, array_like=True):
    """The record of the front itself; wall times in microseconds."""

    written_us: int
    taken_us: list[int]  # requests in the retry budget's window
    further_us: list[int]  # retries in that window
    usual: float  # the usual number of arrivals in half a second
    seen: int  # the number of windows from which the usual rate was derived
    # The following fields were added in format 2.
    life: int = 0  # the incarnation of this front; 0 if it has no peers
    lives: list[int] = []  # the incarnations of all fronts by index, as last received
    list_version: int = -1  # the version of the endpoint list


class EndpointRecord(Struct, frozen=True, array_like=True):
    """A server of the current endpoint list."""

    address: str
    zone: str
    kind: str
    cell: int
    standing: str  # its state in the list
    weight: float
    started_us: int  # wall time; 0 for long ago


class EndpointListRecord(Struct, frozen=True, array_like=True):
    """The current endpoint list, for a start at which no discovery service responds."""

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
    """A snapshot's records in the current format.

    Records of format 1 are not changed: the fields that format 2 adds are at their end and get their default
    values. A snapshot of a newer program version is not used at all.
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
    """Decode the record of a server; None for invalid bytes."""
    return _decode(raw, ServerRecord)


def read_front(raw: bytes) -> FrontRecord | None:
    """Decode the record of the front; None for invalid bytes."""
    return _decode(raw, FrontRecord)


def read_list(raw: bytes) -> EndpointListRecord | None:
    """Decode the record of the endpoint list; None for invalid bytes."""
    return _decode(raw, EndpointListRecord)


class RecordVerdict(Enum):
    """Whether a server's record is used, and the reason if it is not; logs show the names of the members."""

    USED = auto()
    NOT_LISTED = auto()
    NEW_LIFE = auto()  # the server's process has restarted, and retains nothing of the previous one
    TOO_OLD = auto()
    CLOCK_BACK = auto()  # the time of the record is in the future: its age is unknown
    UNREADABLE = auto()


@dataclass(frozen=True, slots=True)
class RecoveredServer:
    """A server's record with relative times in microseconds; None for never."""

    strikes: int
    shut_for_us: int  # how long its exclusion still lasts
    last_attempt_ago_us: int | None


def evaluate_record(
    record: ServerRecord | None, started_us: int | None, wall_us: int
) -> tuple[RecordVerdict, RecoveredServer | None]:
    """Whether the record of a server is used, and the values to use.

    Args:
        record: the record; None for one that can't be decoded.
        started_us: the wall time at which the server's process started according to the endpoint list; None
            if the list does not contain the server, 0 for long ago.
        wall_us: the current wall time.
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
    """The ages in microseconds of the entries within a budget's window, the oldest first.

    An entry in the future, after the clock was set back, counts as spent now, so that the budget does not
    refill.
    """
    ages_us = [max(0, wall_us - time_us) for time_us in times_us]
    return sorted((age_us for age_us in ages_us if age_us < window_us), reverse=True)


def record_changes(new: Iterable[tuple[bytes, bytes]], saved: dict[bytes, bytes]) -> list[Change]:
    """The changes that turn the stored records into the new ones; None deletes a key."""
    wanted = dict(new)
    changes: list[Change] = [(key, raw) for key, raw in wanted.items() if saved.get(key) != raw]
    changes += [(key, None) for key in saved if key not in wanted]
    return changes
