"""The session interface for players: request and response bodies. Rates in kB/s, times in milliseconds.

On the wire, a session is a "subscription", a server a "box", and a service class a "room type".
"""

from __future__ import annotations

from datetime import datetime
from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

# Version of the HTTP and WebSocket interfaces; a breaking change requires a step (`fennelcove api diff`).
VERSION = "1.0.0"


class SetUp(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`POST /v1/subscriptions`: request a session.

    The title may be sent as CMCD `cid` instead. Requests with the same `key`, chosen by the player, count
    once. `tenant` is the customer to which the session is attributed, `watch_ms` an estimate of how long it
    will play.
    """

    room_type: Annotated[str, Meta(min_length=1, max_length=64)]
    title: Annotated[str, Meta(min_length=1, max_length=64)] | None = None
    top_rung: Annotated[int, Meta(ge=0, le=1000)] | None = None
    client_timeout_ms: Annotated[float, Meta(gt=0, le=86_400_000)] | None = None
    cmcd: dict[str, Any] | None = None
    retry: bool = False
    tenant: Annotated[str, Meta(max_length=64)] = ""
    watch_ms: Annotated[float, Meta(gt=0, le=86_400_000)] | None = None
    place: Annotated[str, Meta(max_length=400)] | None = None
    key: Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")] | None = None


class TopRung(Struct, frozen=True, forbid_unknown_fields=True):
    """`PUT /v1/subscriptions/{id}/rung`: the highest rung that the player wants from now on."""

    top_rung: Annotated[int, Meta(ge=0, le=1000)]


class Playing(Struct, frozen=True, kw_only=True):
    """The state of a playing session."""

    id: str
    state: str
    title: str
    room_type: str
    box: str
    rung: int
    top_rung: int
    rate_kb: float
    poll_after_ms: float
    joins: int | UnsetType = UNSET
    seat_for_ms: float | UnsetType = UNSET


class SeatRenewal(Struct, frozen=True, forbid_unknown_fields=True):
    """`POST /v1/subscriptions/{id}/seat`: renew a seat lease, once per `key`."""

    key: Annotated[str, Meta(min_length=1, max_length=64)] | None = None


class SeatState(Struct, frozen=True, kw_only=True):
    """How long the lease of a seat remains valid."""

    subscription: str
    seat_for_ms: float


class Rung(Struct, frozen=True, kw_only=True):
    """The current rung."""

    rung: int
    top_rung: int
    rate_kb: float


class Problem(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Problem details (RFC 9457), with machine-readable hints for what to do next."""

    type: str
    title: str
    status: int
    detail: str = ""
    instance: str = ""
    retry_after_ms: float | None = None
    may_have_run: bool | None = None
    reason: str | None = None
    latest_ms: float | None = None
    place: str | None = None


PROBLEM_KINDS: dict[str, tuple[int, str]] = {
    "throttled": (503, "No room now; come back later"),
    "terminated": (504, "The subscription could not be set up"),
    "malformed": (400, "The request can't be read"),
    "unknown-title": (404, "No such title"),
    "unknown-room-type": (422, "No such room type"),
    "unknown-subscription": (404, "No such subscription"),
    "no-seat": (409, "It holds no seat that expires"),
    "not-entitled": (403, "The pass does not name this title"),
    "spent": (410, "The set-up under this key has played and ended"),
    "reused-key": (422, "This key stands for another set-up"),
    "not-yours": (409, "This subscription can't be had here"),
    "ended": (410, "The subscription has ended"),
    "unknown-path": (404, "Nothing is served here"),
    "wrong-method": (405, "Not by this method"),
    "not-json": (415, "The body must be application/json"),
    "too-slow": (408, "The request came too slowly"),
    "no-pass": (401, "A pass is needed"),
    "no-key": (401, "A key is needed"),
    "not-permitted": (403, "This key does not permit it"),
    "unknown-change": (404, "No such change"),
    "refused-change": (422, "The change can't be made"),
    "not-carried-out": (409, "The order was not carried out"),
    "not-shown": (404, "The player was not shown this"),
    "moving": (503, "Its box is being changed; ask again at once"),
    "failed": (500, "This front failed to answer properly"),
}


# Kinds that also occur with other statuses than their default.
PROBLEM_STATUSES: dict[str, tuple[int, ...]] = {
    "terminated": (502, 504),
    "malformed": (400, 411, 413, 417, 431, 501, 503, 505),
    "refused-change": (409, 422),
    "no-key": (401, 409, 503),
}


def problem(
    kind: str,
    detail: str = "",
    status: int | None = None,
    instance: str = "",
    retry_after_ms: float | None = None,
    may_have_run: bool | None = None,
) -> Problem:
    """Problem details of one of `PROBLEM_KINDS`."""
    default_status, title = PROBLEM_KINDS[kind]
    return Problem(
        type=f"urn:fennelcove:problem:{kind}",
        title=title,
        status=status or default_status,
        detail=detail,
        instance=instance,
        retry_after_ms=retry_after_ms,
        may_have_run=may_have_run,
    )


class ChangeOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`POST /v1/changes`: an author's change. Times as `12.5`, `37/3` or `1:02:03.25`; `wall` as RFC 3339."""

    id: Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
    kind: Literal["insert", "replace", "cut"]
    title: Annotated[str, Meta(min_length=1, max_length=64)]
    room_type: Annotated[str, Meta(max_length=64)] | None = None
    subscription: Annotated[str, Meta(max_length=64)] | None = None
    clip: Annotated[str, Meta(max_length=64)] | None = None
    at: Annotated[str, Meta(max_length=40)] | None = None
    until: Annotated[str, Meta(max_length=40)] | None = None
    wall: datetime | None = None


class ChangeState(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A change: `made`, `stands` (already made) or `withdrawn`; and how many players it has reached."""

    id: str
    state: str
    version: int
    author: str = ""
    kind: str = ""
    title: str = ""
    room_type: str | None = None
    subscription: str | None = None
    clip: str | None = None
    at: str | None = None
    until: str | None = None
    wall: str | None = None
    players_shown: int = 0
    players_ahead: int = 0
