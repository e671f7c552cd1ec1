"""What each operation of the HTTP door takes and answers: beside the route table, and checked against it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from fennelcove.wire import sessions
from msgspec import Struct

JSON, PROBLEM = "application/json", "application/problem+json"
HLS, DASH = "application/vnd.apple.mpegurl", "application/dash+xml"


@dataclass(frozen=True, slots=True)
class Answer:
    """One status: what it says, and the body's type, or the media types of a body that is no JSON."""

    says: str
    body: Any = None
    media: tuple[str, ...] = (JSON,)
    headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation; `problems` are kinds of `wire.sessions.PROBLEM_KINDS`."""

    summary: str
    answers: dict[int, Answer]
    problems: tuple[str, ...] = ()
    body: type[Struct] | None = None
    query: dict[str, str] = field(default_factory=dict)
    cmcd: bool = False
    sealed: bool = False  # a command with a body that is not described
    security: str = ""  # "pass" or "author"


HINTS = ("CMSD-Static", "CMSD-Dynamic")
GONE = ("unknown-subscription", "ended")
OPERATIONS: dict[str, Operation] = {
    "setUp": Operation(
        "Ask for a subscription",
        {201: Answer("It plays", sessions.Playing, headers=("Location", *HINTS))},
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
        cmcd=True,
        security="pass",
    ),
    "state": Operation(
        "The state of a subscription",
        {200: Answer("Its state", sessions.Playing, headers=HINTS)},
        GONE,
        cmcd=True,
    ),
    "release": Operation("End a subscription", {204: Answer("It has ended")}, GONE),
    "rung": Operation(
        "The rung in force", {200: Answer("The rung", sessions.Rung, headers=HINTS)}, GONE, cmcd=True
    ),
    "setTop": Operation(
        "State the highest rung wanted",
        {200: Answer("The rung", sessions.Rung, headers=HINTS)},
        (*GONE, "malformed"),
        sessions.TopRung,
        cmcd=True,
    ),
    "renewSeat": Operation(
        "Keep a seat that expires",
        {200: Answer("For how long it lasts", sessions.SeatState)},
        (*GONE, "malformed", "no-seat"),
        sessions.SeatRenewal,
        cmcd=True,
    ),
    "manifest": Operation(
        "A manifest at the rung in force",
        {200: Answer("HLS or MPEG-DASH", None, (HLS, DASH), HINTS)},
        (*GONE, "unknown-title"),
        query={"interstitials": "1 at the first manifest: stitched clips come apart from the lesson"},
        cmcd=True,
    ),
    "segment": Operation(
        "Where a segment is to be had",
        {307: Answer("At this box", None, (), ("Location", *HINTS))},
        (*GONE, "not-shown", "moving"),
        cmcd=True,
    ),
    "asset": Operation(
        "The playlist of a clip told apart",
        {200: Answer("HLS", None, (HLS,), HINTS)},
        (*GONE, "not-shown"),
        cmcd=True,
    ),
    "assetSegment": Operation(
        "Where a clip's segment is to be had",
        {307: Answer("At this box", None, (), ("Location", *HINTS))},
        (*GONE, "not-shown", "moving"),
        cmcd=True,
    ),
    "init": Operation(
        "Where an initialisation is to be had",
        {307: Answer("At this box", None, (), ("Location", *HINTS))},
        (*GONE, "not-shown", "moving"),
        cmcd=True,
    ),
    "submitChange": Operation(
        "Make a change to a lesson",
        {
            200: Answer("It stands already", sessions.ChangeState),
            201: Answer("It is made", sessions.ChangeState, headers=("Location",)),
        },
        ("malformed", "refused-change", "no-key", "not-permitted"),
        sessions.ChangeOrder,
        security="author",
    ),
    "listChanges": Operation(
        "All changes",
        {200: Answer("The changes", list[sessions.ChangeState])},
        ("no-key", "not-permitted"),
        query={"title": "only this title's"},
        security="author",
    ),
    "showChange": Operation(
        "One change",
        {200: Answer("The change", sessions.ChangeState)},
        ("unknown-change", "no-key", "not-permitted"),
        security="author",
    ),
    "withdrawChange": Operation(
        "Take a change back",
        {200: Answer("It is withdrawn", sessions.ChangeState)},
        ("unknown-change", "no-key", "not-permitted"),
        security="author",
    ),
    "status": Operation("Figures for an operator", {200: Answer("Figures", dict[str, Any])}),
    "command": Operation(
        "An operator's command, sealed (Fennelcove-Command)",
        {200: Answer("What is so from now on", dict[str, Any])},
        ("no-key", "not-permitted", "not-carried-out", "malformed", "failed"),
        sealed=True,
    ),
    "openapi": Operation("This description", {200: Answer("OpenAPI 3.1", dict[str, Any])}),
    "asyncapi": Operation("The other door's description", {200: Answer("AsyncAPI 3.0", dict[str, Any])}),
}
