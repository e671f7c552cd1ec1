"""Access tokens of clients: who may open how many sessions, until when.

They are signed, so that a front verifies them without asking anybody.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

import msgspec
from msgspec import Struct

from fennelcove.decisions.clients import signed_tokens
from fennelcove.decisions.clients.signed_tokens import Mac

MAX_TOKEN_CHARS = 800
RENEWAL_NOTICE_FRACTION = 0.25  # of a token's whole time: its holder is notified to renew it from then on
MAX_RENEWAL_NOTICE_US = 60_000_000


class AccessToken(Struct, frozen=True, array_like=True):
    """A client's token, valid between two wall times in microseconds; encoded by the order of its fields."""

    client: str
    from_us: int
    until_us: int
    most: int = 8  # the maximum number of sessions at once
    titles: tuple[str, ...] = ()  # the titles that its holder may play; none named is any


class TokenStatus(Enum):
    """Whether a token is valid."""

    VALID = auto()
    RENEW = auto()  # valid, and expires soon
    NOT_YET = auto()
    EXPIRED = auto()
    INVENTED = auto()  # not signed by this front's keys, or altered
    MISSING = auto()


class Demand(Enum):
    """What a client wants to do with its token."""

    ASK = auto()  # open a session
    CLAIM = auto()  # claim an established session
    CONTINUE_SESSION = auto()  # go on with its sessions


# Whether it is allowed. A session goes on past the expiry of its token: the token states who may open
# sessions, not for how long they last.
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
    """A token as a client presented it, and its status."""

    standing: TokenStatus
    held: AccessToken | None = None

    def may(self, demand: Demand) -> bool:
        """Whether the token's holder is allowed to do this."""
        return ACCESS_RULES[self.standing, demand]


def seal(token: AccessToken, mac: Mac) -> str:
    """The signed text of a token."""
    return signed_tokens.sign(msgspec.json.encode(token), mac)


def show(text: str | None, macs: Sequence[Mac], wall_us: int) -> PresentedToken:
    """Verify the text that a client presents, at this wall time."""
    if not text:
        return PresentedToken(TokenStatus.MISSING)
    token = _verify(text, macs)
    if token is None:
        return PresentedToken(TokenStatus.INVENTED)
    return PresentedToken(at(token, wall_us), token)


def _verify(text: str, macs: Sequence[Mac]) -> AccessToken | None:
    raw = signed_tokens.verify(text, macs, MAX_TOKEN_CHARS)
    if raw is None:
        return None
    try:
        return msgspec.json.decode(raw, type=AccessToken)
    except msgspec.MsgspecError:
        return None


def at(token: AccessToken, wall_us: int) -> TokenStatus:
    """The status of a correctly signed token at this wall time."""
    if wall_us < token.from_us:
        return TokenStatus.NOT_YET
    if wall_us >= token.until_us:
        return TokenStatus.EXPIRED
    return TokenStatus.RENEW if wall_us >= notice_us(token) else TokenStatus.VALID


def notice_us(token: AccessToken) -> int:
    """The wall time from which the token's holder should renew it."""
    notice_period_us = round((token.until_us - token.from_us) * RENEWAL_NOTICE_FRACTION)
    return token.until_us - min(MAX_RENEWAL_NOTICE_US, notice_period_us)


def renews(old: AccessToken | None, new: AccessToken) -> bool:
    """Whether a token may replace another on a connection.

    It must be the same client's: otherwise the sessions of the connection would change hands.
    """
    return old is None or old.client == new.client
