"""What front and box say to each other over HTTP/1.1 with JSON bodies.

    PUT    /v1/joins/{subscription}/{join}        set up; 201 plays, 503 of type turned-away never ran
    PUT    /v1/joins/{subscription}/{join}/rung   change the rung; 204
    PUT    /v1/joins/{subscription}/{join}/mark   keep a text for the front; 204
    GET    /media/{title}/{rung}/{number}.m4s     a segment, for players; init.mp4 in place of the number
    DELETE /v1/joins/{subscription}/{join}        release; 204, also where nothing is held
    GET    /v1/feed?front={name}                  text/event-stream of hello, report and ended

A release may overtake the set-up that it takes back: a box must remember it and not begin that join
afterwards. A repeated set-up carries the same Idempotency-Key, the subscription's id. Load travels as CMSD in
every answer and in every report.
"""

from __future__ import annotations

from msgspec import Struct


class JoinOrder(Struct, frozen=True, kw_only=True):
    """The body of a set-up; the rate in kB a second."""

    front: str
    title: str
    room_type: str
    rung: int
    rate_kb: float


class RungOrder(Struct, frozen=True):
    """The body of a change of rung."""

    rung: int
    rate_kb: float


class Held(Struct, frozen=True):
    """One join that a box holds, with what a front needs that has lost its memory; the rate in kB a
    second.
    """

    subscription: str
    join: int
    title: str
    room_type: str
    rung: int
    mark: str = ""


class Mark(Struct, frozen=True):
    """The body of `PUT /v1/joins/{subscription}/{join}/mark`: a text that the box keeps and names in its
    greeting.
    """

    mark: str


class Ended(Struct, frozen=True):
    """One join that a box holds no more."""

    subscription: str
    join: int


class Hello(Struct, frozen=True):
    """The first event of a feed: this life of the box's process, what it holds for the front, and for how
    long the process has been up, where it says so.
    """

    boot: str
    held: list[Held]
    up_ms: float | None = None


class Report(Struct, frozen=True):
    """A box's load: a CMSD-Dynamic value, and the share of the rates that it delivers while that is short."""

    cmsd: str
    delivered: float | None = None


HELLO, REPORT, ENDED = "hello", "report", "ended"
TURNED_AWAY = "urn:fennelcove:box:turned-away"


def join_path(session_id: str, attempt: int) -> str:
    """Where one join is addressed."""
    return f"/v1/joins/{session_id}/{attempt}"
