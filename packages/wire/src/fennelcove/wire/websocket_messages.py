"""The session interface over WebSocket: the messages of both sides, as JSON objects with a `type`.

A request carries a `ref` chosen by the player, and its one answer repeats it. Notifications are sent without
a request; `number` is their sequence number within the session, from which a resuming player learns how many
it has missed.

On the wire, a session is a "subscription" and an access token is a "pass".
"""

from __future__ import annotations

from typing import Annotated, Any

from fennelcove.wire.sessions import Playing, SetUp
from msgspec import UNSET, Meta, Struct, UnsetType

SUBPROTOCOL = "fennelcove.session.v1"
PATH = "/v1/session"

Ref = Annotated[str, Meta(min_length=1, max_length=64)]
Id = Annotated[str, Meta(min_length=1, max_length=64)]
Token = Annotated[str, Meta(max_length=800)]


class _ClientMessage(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, tag_field="type"):
    """A message of a client; unknown fields are rejected by name."""


class Hello(_ClientMessage, frozen=True, kw_only=True, tag="hello"):
    """An access token, from a player that could not send it in a header field; answered by `welcome`."""

    ref: Ref
    token: Token


class Renew(_ClientMessage, frozen=True, kw_only=True, tag="renew"):
    """A newer access token of the same client; answered by `renewed`."""

    ref: Ref
    token: Token


class AskSetUp(_ClientMessage, frozen=True, kw_only=True, tag="set-up"):
    """Request a session, as over HTTP; answered by `playing`, `throttled` or `terminated`."""

    ref: Ref
    ask: SetUp


class Resume(_ClientMessage, frozen=True, kw_only=True, tag="resume"):
    """Claim a playing session; `seen` is the number of the last notification. Answered by `resumed`."""

    ref: Ref
    subscription: Id
    seen: Annotated[int, Meta(ge=0)] | None = None


class Release(_ClientMessage, frozen=True, kw_only=True, tag="release"):
    """Release a session; answered by `released`."""

    ref: Ref
    subscription: Id


class SetTop(_ClientMessage, frozen=True, kw_only=True, tag="set-top"):
    """Set the highest rung that the player wants from now on; answered by `state`."""

    ref: Ref
    subscription: Id
    top_rung: Annotated[int, Meta(ge=0, le=1000)]


class RenewSeat(_ClientMessage, frozen=True, kw_only=True, tag="renew-seat"):
    """Renew a seat lease, once per `key`; answered by `seat`."""

    ref: Ref
    subscription: Id
    key: Annotated[str, Meta(min_length=1, max_length=64)] | None = None


class Report(_ClientMessage, frozen=True, kw_only=True, tag="report"):
    """A player's CMCD (CTA-5004); not answered."""

    subscription: Id
    cmcd: dict[str, Any]


Request = Hello | Renew | AskSetUp | Resume | Release | SetTop | RenewSeat | Report


class _FrontMessage(Struct, frozen=True, kw_only=True, tag_field="type", omit_defaults=True):
    """A message of the front."""


class Welcome(_FrontMessage, frozen=True, kw_only=True, tag="welcome"):
    """The connection is open, or `hello` was accepted; without `ref` it answers no request."""

    front: str
    boot: str
    subscriptions_most: int
    silent_ms: float  # a connection without any data, pongs included, for this long is considered lost
    pass_needed: bool
    ref: str | None = None
    client: str | None = None
    pass_for_ms: float | None = None


class Renewed(_FrontMessage, frozen=True, kw_only=True, tag="renewed"):
    """The newer access token is in use."""

    ref: str
    pass_for_ms: float


class ToldPlaying(_FrontMessage, frozen=True, kw_only=True, tag="playing"):
    """The session is playing, and its notifications are sent on this connection."""

    ref: str
    number: int
    state: Playing
    took_ms: float


class ToldState(_FrontMessage, frozen=True, kw_only=True, tag="state"):
    """The state of a session."""

    ref: str
    state: Playing


class Resumed(_FrontMessage, frozen=True, kw_only=True, tag="resumed"):
    """The session belongs to this connection from now on.

    `missed` counts the notifications that were not seen; it is absent if that is unknown. `state` includes
    everything that they contained.
    """

    ref: str
    number: int
    state: Playing
    missed: int | UnsetType = UNSET


class SeatKept(_FrontMessage, frozen=True, kw_only=True, tag="seat"):
    """How long the seat lease remains valid."""

    ref: str
    subscription: str
    seat_for_ms: float


class Released(_FrontMessage, frozen=True, kw_only=True, tag="released"):
    """The session was released."""

    ref: str
    subscription: str


class Throttled(_FrontMessage, frozen=True, kw_only=True, tag="throttled"):
    """Rejected for now: retry between the two times, and send `place` unchanged."""

    ref: str
    detail: str
    retry_after_ms: float
    latest_ms: float | None = None
    place: str | None = None
    subscription: str | None = None  # the session that was attempted; it is not playing


class Terminated(_FrontMessage, frozen=True, kw_only=True, tag="terminated"):
    """The session could not be set up, and an attempt may have run."""

    ref: str
    detail: str
    may_have_run: bool = True
    subscription: str | None = None


class Fault(_FrontMessage, frozen=True, kw_only=True, tag="fault"):
    """A request that can't be processed; kinds as over HTTP. Without `ref`, none could be read."""

    kind: str
    title: str
    detail: str = ""
    ref: str | None = None


class RungChanged(_FrontMessage, frozen=True, kw_only=True, tag="rung"):
    """The session's rung has changed."""

    subscription: str
    number: int
    rung: int
    top_rung: int
    rate_kb: float


class Moved(_FrontMessage, frozen=True, kw_only=True, tag="moved"):
    """Another server plays the session now."""

    subscription: str
    number: int
    box: str
    rung: int
    rate_kb: float


class Ended(_FrontMessage, frozen=True, kw_only=True, tag="ended"):
    """The session has ended, but was not released by this connection."""

    subscription: str
    number: int
    detail: str


class Taken(_FrontMessage, frozen=True, kw_only=True, tag="taken"):
    """Another connection has claimed the session."""

    subscription: str
    number: int


class Stitched(_FrontMessage, frozen=True, kw_only=True, tag="stitched"):
    """An author has changed the session's content; the next manifest shows it."""

    subscription: str
    number: int
    change: str
    state: str


class Weather(_FrontMessage, frozen=True, kw_only=True, tag="weather"):
    """The retry-storm phase of this front has changed."""

    phase: str


class PassEnds(_FrontMessage, frozen=True, kw_only=True, tag="pass-ends"):
    """The access token expires soon; renew it to make further requests. Playing sessions continue."""

    in_ms: float


class Leaving(_FrontMessage, frozen=True, kw_only=True, tag="leaving"):
    """This front is stopping.

    Playing sessions continue on their servers; reconnect between the two times and resume.
    """

    reconnect_after_ms: float
    reconnect_before_ms: float


FrontMessage = (
    Welcome
    | Renewed
    | ToldPlaying
    | ToldState
    | Resumed
    | Released
    | SeatKept
    | Throttled
    | Terminated
    | Fault
    | RungChanged
    | Moved
    | Ended
    | Taken
    | Stitched
    | Weather
    | PassEnds
    | Leaving
)

# The answers that each request may have; for the descriptions, and for players generated from them.
RESPONSE_TYPES: dict[type[Struct], tuple[type[Struct], ...]] = {
    Hello: (Welcome, Fault),
    Renew: (Renewed, Fault),
    AskSetUp: (ToldPlaying, Throttled, Terminated, Fault),
    Resume: (Resumed, Fault),
    Release: (Released, Fault),
    SetTop: (ToldState, Fault),
    RenewSeat: (SeatKept, Fault),
    Report: (),
}
NOTIFICATION_TYPES: tuple[type[Struct], ...] = (
    Welcome,
    RungChanged,
    Moved,
    Ended,
    Taken,
    Stitched,
    Weather,
    PassEnds,
    Leaving,
    Fault,
)
