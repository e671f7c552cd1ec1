"""Messages of the endpoint list service.

GET /v1/list                     the full list as JSON
GET /v1/list/stream?since={n}    text/event-stream: the full list or the changes since n, then updates
"""

from __future__ import annotations

from typing import Annotated, Literal

from fennelcove.decisions.servers.endpoint_list import EndpointListUpdate
from fennelcove.interface import ListEntry, ServerState
from msgspec import Meta, Struct


class ListedBox(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A server; `age_ms` is the time since its process started, absent if that is long ago."""

    address: Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9A-Za-z._-]+:[0-9]{1,5}$")]
    zone: Annotated[str, Meta(min_length=1, max_length=64)]
    kind: Annotated[str, Meta(min_length=1, max_length=64)]
    cell: Annotated[int, Meta(ge=0, le=1_000_000)]
    state: Literal["active", "leaving", "left"]
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    age_ms: Annotated[float, Meta(ge=0)] | None = None


class ListMessage(Struct, frozen=True, kw_only=True):
    """A full list, or the changes since version `base`."""

    version: Annotated[int, Meta(ge=0)]
    boxes: list[ListedBox]
    base: Annotated[int, Meta(ge=0)] | None = None


def to_endpoint_list_update(message: ListMessage, now_us: int) -> EndpointListUpdate:
    """Convert the message, with start times on the front's own clock.

    Ages are relative to the time of sending, so clocks of different machines are never compared. A transit
    delay makes a server look younger, which is the safe direction.
    """
    entries = tuple(
        ListEntry(
            server.address,
            server.zone,
            server.kind,
            server.cell,
            ServerState(server.state),
            server.weight,
            0 if server.age_ms is None else max(1, now_us - round(server.age_ms * 1000)),
        )
        for server in message.boxes
    )
    return EndpointListUpdate(message.version, message.base, entries)
