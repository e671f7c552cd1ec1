"""The parameters and responses of each operation of the HTTP API.

The description is generated from them and from the route table, which must name the same operations.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from fennelcove.wire import sessions
from msgspec import Struct

JSON_MEDIA_TYPE, PROBLEM_MEDIA_TYPE = "application/json", "application/problem+json"
HLS_MEDIA_TYPE, DASH_MEDIA_TYPE = "application/vnd.apple.mpegurl", "application/dash+xml"


@dataclass(frozen=True, slots=True)
class Response:
    """The response with one status.

    Attributes:
        description: the description of the response.
        body: the type of a JSON body; None for another body or none.
        media: the media types of the body, if it is not JSON; empty for no body.
        headers: the names of the header fields.
    """

    description: str
    body: Any = None
    media: tuple[str, ...] = (JSON_MEDIA_TYPE,)
    headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation; `problems` are problem kinds in `wire.sessions.KINDS`."""

    summary: str
    responses: dict[int, Response]
    problems: tuple[str, ...] = ()
    body: type[Struct] | None = None
    query: dict[str, str] = field(default_factory=dict)
    accepts_cmcd: bool = False
    is_signed: bool = False  # a signed command, whose body is not described
    security: str = ""  # "pass" or "author"


CMSD_HEADERS = ("CMSD-Static", "CMSD-Dynamic")
SESSION_GONE_PROBLEMS = ("unknown-subscription", "ended")
OPERATIONS: dict[str, Operation] = {
    "setUp": Operation(
        "Set up a session",
        {201: Response("The session plays", sessions.Playing, headers=("Location", *CMSD_HEADERS))},
        (
            "throttled",
            "terminated",
            "malformed",
            "unknown-title",
            "unknown-room-type",
            "no-pass",
            "failed",
            "spent",
            "reused-key",
            "not-entitled",
        ),
        sessions.SetUp,
        accepts_cmcd=True,
        security="pass",
    ),
    "state": Operation(
        "The state of a session",
        {200: Response("The state of the session", sessions.Playing, headers=CMSD_HEADERS)},
        SESSION_GONE_PROBLEMS,
        accepts_cmcd=True,
    ),
    "release": Operation("End a session", {204: Response("The session has ended")}, SESSION_GONE_PROBLEMS),
    "rung": Operation(
        "The current rung",
        {200: Response("The rung", sessions.Rung, headers=CMSD_HEADERS)},
        SESSION_GONE_PROBLEMS,
        accepts_cmcd=True,
    ),
    "setTop": Operation(
        "Set the highest rung that the player wants",
        {200: Response("The rung", sessions.Rung, headers=CMSD_HEADERS)},
        (*SESSION_GONE_PROBLEMS, "malformed"),
        sessions.TopRung,
        accepts_cmcd=True,
    ),
    "renewSeat": Operation(
        "Renew the lease of a seat",
        {200: Response("The time until the lease expires", sessions.SeatState)},
        (*SESSION_GONE_PROBLEMS, "malformed", "no-seat"),
        sessions.SeatRenewal,
        accepts_cmcd=True,
    ),
    "manifest": Operation(
        "A manifest for the current rung",
        {200: Response("HLS or MPEG-DASH", None, (HLS_MEDIA_TYPE, DASH_MEDIA_TYPE), CMSD_HEADERS)},
        (*SESSION_GONE_PROBLEMS, "unknown-title"),
        query={"interstitials": "1 in the first request: inserted clips are played as HLS interstitials"},
        accepts_cmcd=True,
    ),
    "segment": Operation(
        "The URL of a segment",
        {307: Response("A redirect to the server", None, (), ("Location", *CMSD_HEADERS))},
        (*SESSION_GONE_PROBLEMS, "not-shown", "moving"),
        accepts_cmcd=True,
    ),
    "asset": Operation(
        "The playlist of an interstitial clip",
        {200: Response("HLS", None, (HLS_MEDIA_TYPE,), CMSD_HEADERS)},
        (*SESSION_GONE_PROBLEMS, "not-shown"),
        accepts_cmcd=True,
    ),
    "assetSegment": Operation(
        "The URL of a segment of a clip",
        {307: Response("A redirect to the server", None, (), ("Location", *CMSD_HEADERS))},
        (*SESSION_GONE_PROBLEMS, "not-shown", "moving"),
        accepts_cmcd=True,
    ),
    "init": Operation(
        "The URL of an initialization segment",
        {307: Response("A redirect to the server", None, (), ("Location", *CMSD_HEADERS))},
        (*SESSION_GONE_PROBLEMS, "not-shown", "moving"),
        accepts_cmcd=True,
    ),
    "submitChange": Operation(
        "Submit a change of a title",
        {
            200: Response("The change exists already", sessions.ChangeState),
            201: Response("The change was created", sessions.ChangeState, headers=("Location",)),
        },
        ("malformed", "refused-change", "no-key", "not-permitted"),
        sessions.ChangeOrder,
        security="author",
    ),
    "listChanges": Operation(
        "List all changes",
        {200: Response("The changes", list[sessions.ChangeState])},
        ("no-key", "not-permitted"),
        query={"title": "only the changes of this title"},
        security="author",
    ),
    "showChange": Operation(
        "Show a change",
        {200: Response("The change", sessions.ChangeState)},
        ("unknown-change", "no-key", "not-permitted"),
        security="author",
    ),
    "withdrawChange": Operation(
        "Withdraw a change",
        {200: Response("The change is withdrawn", sessions.ChangeState)},
        ("unknown-change", "no-key", "not-permitted"),
        security="author",
    ),
    "status": Operation(
        "Status and metrics for operators", {200: Response("Status and metrics", dict[str, Any])}
    ),
    "command": Operation(
        "A signed command of an operator (header Fennelcove-Command)",
        {200: Response("The state after the command", dict[str, Any])},
        ("no-key", "not-permitted", "not-carried-out", "malformed", "failed"),
        is_signed=True,
    ),
    "openapi": Operation("This description", {200: Response("OpenAPI 3.1", dict[str, Any])}),
    "asyncapi": Operation(
        "The description of the WebSocket API", {200: Response("AsyncAPI 3.0", dict[str, Any])}
    ),
}
