"""What the list service says.

GET /v1/list                     the whole list as JSON
GET /v1/list/stream?since={n}    text/event-stream: a whole list or changes since n, then changes as they
come
"""

from __future__ import annotations

from typing import Annotated, Literal

from fennelcove.decisions.servers.endpoint_list import EndpointListUpdate
from fennelcove.interface import ListEntry, ServerState
from msgspec import Meta, Struct


class ListedBox(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One box; `age_ms` since its process started, absent where that is long ago."""

    address: Annotated[str, Meta(min_length=3, max_length=64, pattern=r"^[0-9A-Za-z._-]+:[0-9]{1,5}$")]
    zone: Annotated[str, Meta(min_length=1, max_length=64)]
    kind: Annotated[str, Meta(min_length=1, max_length=64)]
    cell: Annotated[int, Meta(ge=0, le=1_000_000)]
    state: Literal["active", "leaving", "left"]
    weight: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    age_ms: Annotated[float, Meta(ge=0)] | None = None


class ListMessage(Struct, frozen=True, kw_only=True):
    """A whole list, or with `base` what changed since that version."""

    version: Annotated[int, Meta(ge=0)]
    boxes: list[ListedBox]
    base: Annotated[int, Meta(ge=0)] | None = None


def news(message: ListMessage, now_us: int) -> EndpointListUpdate:
    """The message on the front's own clock.

    Ages count from the sending, so that no two machines' clocks are compared; a slow way makes a box look
    younger, which is the careful side.
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
