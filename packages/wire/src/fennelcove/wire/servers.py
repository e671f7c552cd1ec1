"""Messages between a front and the media servers ("boxes"), over HTTP/1.1 with JSON bodies.

    PUT    /v1/joins/{subscription}/{join}        set up; 201 plays, 503 of type turned-away never ran
    PUT    /v1/joins/{subscription}/{join}/rung   change the rung; 204
    PUT    /v1/joins/{subscription}/{join}/mark   store a text for the front; 204
    GET    /media/{title}/{rung}/{number}.m4s     a segment, for players; init.mp4 in place of the number
    DELETE /v1/joins/{subscription}/{join}        release; 204, also if the server has no such attempt
    GET    /v1/feed?front={name}                  text/event-stream of hello, report and ended

On the wire, a session is a "subscription" and an attempt is a "join".

A release may overtake the set-up that it cancels: the server must remember it and not start that attempt
afterwards. A repeated set-up carries the same Idempotency-Key, which is the session's id. Load is reported as
CMSD in every response and in every report.
"""

from __future__ import annotations

from msgspec import Struct


class JoinOrder(Struct, frozen=True, kw_only=True):
    """The body of a set-up; the rate is in kB/s."""

    front: str
    title: str
    room_type: str
    rung: int
    rate_kb: float


class RungOrder(Struct, frozen=True):
    """The body of a change of rung; the rate is in kB/s."""

    rung: int
    rate_kb: float


class Held(Struct, frozen=True):
    """An attempt that a server plays, with what a front needs to adopt it after losing its state."""

    subscription: str
    join: int
    title: str
    room_type: str
    rung: int
    mark: str = ""


class Mark(Struct, frozen=True):
    """The body of `PUT /v1/joins/{subscription}/{join}/mark`: a text that `hello` repeats."""

    mark: str


class Ended(Struct, frozen=True):
    """An attempt that a server no longer plays."""

    subscription: str
    join: int


class Hello(Struct, frozen=True):
    """The first event of a feed.

    Attributes:
        boot: Identifies this incarnation of the server process.
        held: The attempts that it plays for the front.
        up_ms: How long the process has been running; None if the server does not report it.
    """

    boot: str
    held: list[Held]
    up_ms: float | None = None


class Report(Struct, frozen=True):
    """A server's load.

    Attributes:
        cmsd: A CMSD-Dynamic value.
        delivered: The share of the rates that the server delivers; None unless it falls short.
    """

    cmsd: str
    delivered: float | None = None


HELLO, REPORT, ENDED = "hello", "report", "ended"
TURNED_AWAY = "urn:fennelcove:box:turned-away"


def join_path(session_id: str, attempt: int) -> str:
    """The path of an attempt."""
    return f"/v1/joins/{session_id}/{attempt}"
