"""The records of a front in the store: their keys and their encoding.

Times in records are wall-clock times, rounded so that a record changes only when its content does.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from fennelcove.core.front_incarnations import FrontIncarnations
from fennelcove.decisions.clients.retry_storm import RetryStormDetector
from fennelcove.decisions.recovery import snapshot
from fennelcove.decisions.recovery.snapshot import (
    EndpointListRecord,
    EndpointRecord,
    FrontRecord,
    ServerRecord,
)
from fennelcove.interface import ListEntry, ServerState
from fennelcove.placement import PlacementPolicy, Server

SERVER_KEY_PREFIX, FRONT_KEY, LIST_KEY, FORMAT_KEY = b"box/", b"front", b"list", b"format"
MILLISECOND_US = 1000
SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US
NO_LIST_VERSION = -1
_ENCODER = msgspec.msgpack.Encoder()


def server_key(address: str) -> bytes:
    """Return the key of a server's record."""
    return SERVER_KEY_PREFIX + address.encode()


def address_of(key: bytes) -> str:
    """Return the address that a server's record belongs to."""
    return key[len(SERVER_KEY_PREFIX) :].decode("utf-8", "replace")


def server_record(server: Server, now_us: int, wall_us: int) -> bytes:
    """Encode the state of a server."""

    def to_wall_us(at_us: int) -> int:
        # Whole milliseconds: converting the same time twice, from two clocks, must give the same value.
        return round((wall_us - (now_us - at_us)) / MILLISECOND_US) * MILLISECOND_US

    last_attempt_us = server.last_attempt_us
    record = ServerRecord(
        to_wall_us(server.started_us),
        server.strikes,
        to_wall_us(server.suspended_until_us) if server.suspended_until_us > now_us else 0,
        to_wall_us(last_attempt_us) if last_attempt_us is not None else 0,
        # Whole minutes: with the exact time every server's record would change each second.
        wall_us // MINUTE_US * MINUTE_US,
    )
    return _ENCODER.encode(record)


def front_record(
    policy: PlacementPolicy,
    detector: RetryStormDetector,
    incarnations: FrontIncarnations,
    list_version: int | None,
    now_us: int,
    wall_us: int,
) -> bytes:
    """Encode the front's spent budgets, usual load and known incarnations."""

    def to_wall_us(times_us: Iterable[int]) -> list[int]:
        return [wall_us - (now_us - at_us) for at_us in times_us][-snapshot.MAX_BUDGET_TIMES :]

    record = FrontRecord(
        wall_us // SECOND_US * SECOND_US,
        to_wall_us(policy.request_times),
        to_wall_us(policy.retry_times),
        detector.baseline,
        detector.calm_window_count,
        incarnations.own,
        list(incarnations.by_front),
        NO_LIST_VERSION if list_version is None else list_version,
    )
    return _ENCODER.encode(record)


def list_record(entries: Iterable[ListEntry], list_version: int | None, now_us: int, wall_us: int) -> bytes:
    """Encode the endpoint list in force."""
    servers = [_list_row(entry, now_us, wall_us) for entry in entries]
    return _ENCODER.encode(EndpointListRecord(list_version or 0, servers))


def _list_row(entry: ListEntry, now_us: int, wall_us: int) -> EndpointRecord:
    started_us = 0  # long ago
    if entry.started_us:
        started_us = round((wall_us - (now_us - entry.started_us)) / SECOND_US) * SECOND_US
    return EndpointRecord(
        entry.address,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.state.value,
        entry.weight,
        started_us,
    )


def list_entry(server: EndpointRecord) -> ListEntry:
    """Return the endpoint-list entry of a stored server, which counts as started long ago."""
    return ListEntry(
        server.address,
        server.zone,
        server.kind,
        server.cell,
        ServerState(server.standing),
        server.weight,
        0,
    )
