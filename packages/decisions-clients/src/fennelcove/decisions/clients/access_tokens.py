"""Passes of viewers: who may ask, until when, for how many subscriptions at once; sealed, so that no front
asks anybody."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

import msgspec
from msgspec import Struct

from fennelcove.decisions.clients import signed_tokens
from fennelcove.decisions.clients.signed_tokens import Mac

MAX_TOKEN_CHARS = 800
RENEWAL_NOTICE_FRACTION = 0.25  # of its whole time: from then on its holder is told to renew
MAX_RENEWAL_NOTICE_US = 60_000_000


class AccessToken(Struct, frozen=True, array_like=True):
    """Who may ask, between which wall times in microseconds, and how many subscriptions it may hold."""

    client: str
    from_us: int
    until_us: int
    most: int = 8
    titles: tuple[str, ...] = ()  # the titles that its holder may see; none named is any


class TokenStatus(Enum):
    """What a pass is worth now."""

    VALID = auto()
    RENEW = auto()  # valid, and soon over
    NOT_YET = auto()
    EXPIRED = auto()
    INVENTED = auto()  # none of ours, or altered
    MISSING = auto()


class Demand(Enum):
    """What is asked with it."""

    ASK = auto()  # a new subscription
    CLAIM = auto()  # one that plays already
    CONTINUE_SESSION = auto()  # to go on with what it has


# Whether it is let in. What plays goes on past the end of its pass: the pass said who may ask, not for how
# long a lesson lasts.
ACCESS_RULES: dict[tuple[TokenStatus, Demand], bool] = {
    (TokenStatus.VALID, Demand.ASK): True,
    (TokenStatus.VALID, Demand.CLAIM): True,
    (TokenStatus.VALID, Demand.CONTINUE_SESSION): True,
    (TokenStatus.RENEW, Demand.ASK): True,
    (TokenStatus.RENEW, Demand.CLAIM): True,
    (TokenStatus.RENEW, Demand.CONTINUE_SESSION): True,
    (TokenStatus.NOT_YET, Demand.ASK): False,
    (TokenStatus.NOT_YET, Demand.CLAIM): False,
    (TokenStatus.NOT_YET, Demand.CONTINUE_SESSION): False,
    (TokenStatus.EXPIRED, Demand.ASK): False,
    (TokenStatus.EXPIRED, Demand.CLAIM): False,
    (TokenStatus.EXPIRED, Demand.CONTINUE_SESSION): True,
    (TokenStatus.INVENTED, Demand.ASK): False,
    (TokenStatus.INVENTED, Demand.CLAIM): False,
    (TokenStatus.INVENTED, Demand.CONTINUE_SESSION): False,
    (TokenStatus.MISSING, Demand.ASK): False,
    (TokenStatus.MISSING, Demand.CLAIM): False,
    (TokenStatus.MISSING, Demand.CONTINUE_SESSION): False,
}

WORDS: dict[TokenStatus, str] = {
    TokenStatus.VALID: "valid",
    TokenStatus.RENEW: "valid, and soon over",
    TokenStatus.NOT_YET: "not valid yet; check the clock of whoever made it",
    TokenStatus.EXPIRED: "expired; get a new one",
    TokenStatus.INVENTED: "none that this front's keys made",
    TokenStatus.MISSING: "missing; send Authorization: Bearer and a pass, or hello with one",
}


@dataclass(frozen=True, slots=True)
class PresentedToken:
    """A pass as it was shown, and what it is worth."""

    standing: TokenStatus
    held: AccessToken | None = None

    def may(self, demand: Demand) -> bool:
        """Whether it lets its holder in for this."""
        return ACCESS_RULES[self.standing, demand]


def seal(held: AccessToken, mac: Mac) -> str:
    """A pass as a token."""
    return signed_tokens.sign(msgspec.json.encode(held), mac)


def show(token: str | None, macs: Sequence[Mac], wall_us: int) -> PresentedToken:
    """What a token is worth at this wall time."""
    if not token:
        return PresentedToken(TokenStatus.MISSING)
    raw = signed_tokens.verify(token, macs, MAX_TOKEN_CHARS)
    try:
        held = msgspec.json.decode(raw, type=AccessToken) if raw is not None else None
    except msgspec.MsgspecError:
        held = None
    if held is None:
        return PresentedToken(TokenStatus.INVENTED)
    return PresentedToken(at(held, wall_us), held)


def at(held: AccessToken, wall_us: int) -> TokenStatus:
    """What a pass that is ours is worth at this wall time."""
    if wall_us < held.from_us:
        return TokenStatus.NOT_YET
    if wall_us >= held.until_us:
        return TokenStatus.EXPIRED
    return TokenStatus.RENEW if wall_us >= notice_us(held) else TokenStatus.VALID


def notice_us(held: AccessToken) -> int:
    """The wall time from which its holder should renew."""
    span = round((held.until_us - held.from_us) * RENEWAL_NOTICE_FRACTION)
    return held.until_us - min(MAX_RENEWAL_NOTICE_US, span)


def renews(old: AccessToken | None, new: AccessToken) -> bool:
    """Whether a pass may take another's place on a connection: it must be the same client's, or what that
    one holds would change hands."""
    return old is None or old.client == new.client
