"""The session interface over WebSocket: every message of either side, as JSON with its `type`.

Requests carry a `ref` of the player's choice, and the one answer to each carries it back. News come without
being asked for; `number` counts those of one subscription, so that one that resumes knows what it missed.
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
    """Unknown fields are refused by name."""


class Hello(_ClientMessage, frozen=True, kw_only=True, tag="hello"):
    """A pass, from a player that could not send it as a header field; answered by `welcome`."""

    ref: Ref
    token: Token


class Renew(_ClientMessage, frozen=True, kw_only=True, tag="renew"):
    """A newer pass of the same client; answered by `renewed`."""

    ref: Ref
    token: Token


class AskSetUp(_ClientMessage, frozen=True, kw_only=True, tag="set-up"):
    """A subscription, as over HTTP; answered by `playing`, `throttled` or `terminated`."""

    ref: Ref
    ask: SetUp


class Resume(_ClientMessage, frozen=True, kw_only=True, tag="resume"):
    """A subscription that plays, claimed for this connection; `seen` is the last news' number. Answered by
    `resumed`.
    """

    ref: Ref
    subscription: Id
    seen: Annotated[int, Meta(ge=0)] | None = None


class Release(_ClientMessage, frozen=True, kw_only=True, tag="release"):
    """The end of a subscription; answered by `released`."""

    ref: Ref
    subscription: Id


class SetTop(_ClientMessage, frozen=True, kw_only=True, tag="set-top"):
    """The highest rung wanted from now on; answered by `state`."""

    ref: Ref
    subscription: Id
    top_rung: Annotated[int, Meta(ge=0, le=1000)]


class RenewSeat(_ClientMessage, frozen=True, kw_only=True, tag="renew-seat"):
    """A seat that expires, kept for longer; under one `key` it is renewed once. Answered by `seat`."""

    ref: Ref
    subscription: Id
    key: Annotated[str, Meta(min_length=1, max_length=64)] | None = None


class Report(_ClientMessage, frozen=True, kw_only=True, tag="report"):
    """A player's CMCD (CTA-5004); not answered."""

    subscription: Id
    cmcd: dict[str, Any]


Request = Hello | Renew | AskSetUp | Resume | Release | SetTop | RenewSeat | Report


class _FrontMessage(Struct, frozen=True, kw_only=True, tag_field="type", omit_defaults=True):
    """What the front says."""


class Welcome(_FrontMessage, frozen=True, kw_only=True, tag="welcome"):
    """The connection is open; without `ref` it says so of itself."""

    front: str
    boot: str
    subscriptions_most: int
    silent_ms: float  # a connection that says nothing for so long, pongs included, is taken for lost
    pass_needed: bool
    ref: str | None = None
    client: str | None = None
    pass_for_ms: float | None = None


class Renewed(_FrontMessage, frozen=True, kw_only=True, tag="renewed"):
    """The newer pass is in force."""

    ref: str
    pass_for_ms: float


class ToldPlaying(_FrontMessage, frozen=True, kw_only=True, tag="playing"):
    """It plays, and its news come on this connection."""

    ref: str
    number: int
    state: Playing
    took_ms: float


class ToldState(_FrontMessage, frozen=True, kw_only=True, tag="state"):
    """The state of a subscription."""

    ref: str
    state: Playing


class Resumed(_FrontMessage, frozen=True, kw_only=True, tag="resumed"):
    """It is this connection's from now on. `missed` counts the news not seen; unset where that can't be told.
    The state holds all that they said.
    """

    ref: str
    number: int
    state: Playing
    missed: int | UnsetType = UNSET


class SeatKept(_FrontMessage, frozen=True, kw_only=True, tag="seat"):
    """For how long the seat lasts now."""

    ref: str
    subscription: str
    seat_for_ms: float


class Released(_FrontMessage, frozen=True, kw_only=True, tag="released"):
    """It has ended."""

    ref: str
    subscription: str


class Throttled(_FrontMessage, frozen=True, kw_only=True, tag="throttled"):
    """Not now: come back between the two times, and send `place` as it is."""

    ref: str
    detail: str
    retry_after_ms: float
    latest_ms: float | None = None
    place: str | None = None
    subscription: str | None = None  # what was tried; it plays nowhere


class Terminated(_FrontMessage, frozen=True, kw_only=True, tag="terminated"):
    """It could not be set up, and a join may have run."""

    ref: str
    detail: str
    may_have_run: bool = True
    subscription: str | None = None


class Fault(_FrontMessage, frozen=True, kw_only=True, tag="fault"):
    """A request that can't be acted on; kinds as over HTTP. Without `ref` none could be read."""

    kind: str
    title: str
    detail: str = ""
    ref: str | None = None


class RungChanged(_FrontMessage, frozen=True, kw_only=True, tag="rung"):
    """The rung in force is another."""

    subscription: str
    number: int
    rung: int
    top_rung: int
    rate_kb: float


class Moved(_FrontMessage, frozen=True, kw_only=True, tag="moved"):
    """Another box plays it."""

    subscription: str
    number: int
    box: str
    rung: int
    rate_kb: float


class Ended(_FrontMessage, frozen=True, kw_only=True, tag="ended"):
    """It has ended, and not by this connection."""

    subscription: str
    number: int
    detail: str


class Taken(_FrontMessage, frozen=True, kw_only=True, tag="taken"):
    """Another connection has claimed it."""

    subscription: str
    number: int


class Stitched(_FrontMessage, frozen=True, kw_only=True, tag="stitched"):
    """An author has changed its lesson; the next manifest shows it."""

    subscription: str
    number: int
    change: str
    state: str


class Weather(_FrontMessage, frozen=True, kw_only=True, tag="weather"):
    """This front's storm phase is another."""

    phase: str


class PassEnds(_FrontMessage, frozen=True, kw_only=True, tag="pass-ends"):
    """The pass is soon over; renew it to ask for more. What plays goes on."""

    in_ms: float


class Leaving(_FrontMessage, frozen=True, kw_only=True, tag="leaving"):
    """This front is ending. What plays goes on at its boxes; come back between the two times and resume."""

    reconnect_after_ms: float
    reconnect_before_ms: float


Told = (
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

# Which answers each request may have; for the descriptions, and for players generated from them.
ANSWERS: dict[type[Struct], tuple[type[Struct], ...]] = {
    Hello: (Welcome, Fault),
    Renew: (Renewed, Fault),
    AskSetUp: (ToldPlaying, Throttled, Terminated, Fault),
    Resume: (Resumed, Fault),
    Release: (Released, Fault),
    SetTop: (ToldState, Fault),
    RenewSeat: (SeatKept, Fault),
    Report: (),
}
NEWS: tuple[type[Struct], ...] = (
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
