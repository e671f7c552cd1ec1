"""Access tokens of clients, which state who may open how many sessions, and until when.

Tokens are signed, so that a front can verify them without a request to another service.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

import msgspec
from fennelcove.decisions.clients import signed_tokens
from fennelcove.decisions.clients.signed_tokens import Mac
from msgspec import Struct

MAX_TOKEN_CHARS = 800
RENEWAL_NOTICE_FRACTION = 0.25  # of a token's lifetime: its holder is notified to renew it in that last part
MAX_RENEWAL_NOTICE_US = 60_000_000


class AccessToken(Struct, frozen=True, array_like=True):
    """A client's token, valid between two wall times in microseconds; encoded by the order of its fields."""

    client: str
    from_us: int
    until_us: int
    most: int = 8  # the maximum number of concurrent sessions
    titles: tuple[str, ...] = ()  # the titles that its holder may play; empty for all titles


class TokenStatus(Enum):
    """Whether a token is valid."""

    VALID = auto()
    EXPIRING = auto()  # valid, but expires soon
    NOT_YET = auto()
    EXPIRED = auto()
    FORGED = auto()  # not signed with this front's keys, or altered
    MISSING = auto()


class Permission(Enum):
    """What a client wants to do with its token."""

    CREATE_SESSION = auto()
    CLAIM_SESSION = auto()  # claim an established session
    CONTINUE_SESSION = auto()  # continue its own sessions


# Whether each permission is granted. A session continues past the expiry of its token: the token states who
# may open sessions, not how long they last.
ACCESS_RULES: dict[tuple[TokenStatus, Permission], bool] = {
    (TokenStatus.VALID, Permission.CREATE_SESSION): True,
    (TokenStatus.VALID, Permission.CLAIM_SESSION): True,
    (TokenStatus.VALID, Permission.CONTINUE_SESSION): True,
    (TokenStatus.EXPIRING, Permission.CREATE_SESSION): True,
    (TokenStatus.EXPIRING, Permission.CLAIM_SESSION): True,
    (TokenStatus.EXPIRING, Permission.CONTINUE_SESSION): True,
    (TokenStatus.NOT_YET, Permission.CREATE_SESSION): False,
    (TokenStatus.NOT_YET, Permission.CLAIM_SESSION): False,
    (TokenStatus.NOT_YET, Permission.CONTINUE_SESSION): False,
    (TokenStatus.EXPIRED, Permission.CREATE_SESSION): False,
    (TokenStatus.EXPIRED, Permission.CLAIM_SESSION): False,
    (TokenStatus.EXPIRED, Permission.CONTINUE_SESSION): True,
    (TokenStatus.FORGED, Permission.CREATE_SESSION): False,
    (TokenStatus.FORGED, Permission.CLAIM_SESSION): False,
    (TokenStatus.FORGED, Permission.CONTINUE_SESSION): False,
    (TokenStatus.MISSING, Permission.CREATE_SESSION): False,
    (TokenStatus.MISSING, Permission.CLAIM_SESSION): False,
    (TokenStatus.MISSING, Permission.CONTINUE_SESSION): False,
}

STATUS_DESCRIPTIONS: dict[TokenStatus, str] = {
    TokenStatus.VALID: "valid",
    TokenStatus.EXPIRING: "valid, and soon over",
    TokenStatus.NOT_YET: "not valid yet; check the clock of whoever made it",
    TokenStatus.EXPIRED: "expired; get a new one",
    TokenStatus.FORGED: "none that this front's keys made",
    TokenStatus.MISSING: "missing; send Authorization: Bearer and a pass, or hello with one",
}


@dataclass(frozen=True, slots=True)
class PresentedToken:
    """A token as a client presented it, and its status."""

    status: TokenStatus
    token: AccessToken | None = None

    def has_permission(self, demand: Permission) -> bool:
        """Whether the token's holder has this permission."""
        return ACCESS_RULES[self.status, demand]


def sign_access_token(token: AccessToken, mac: Mac) -> str:
    """The token as signed text."""
    return signed_tokens.sign(msgspec.json.encode(token), mac)


def verify_access_token(text: str | None, macs: Sequence[Mac], wall_us: int) -> PresentedToken:
    """Verify the text that a client presents at this wall time."""
    if not text:
        return PresentedToken(TokenStatus.MISSING)
    token = _verify(text, macs)
    if token is None:
        return PresentedToken(TokenStatus.FORGED)
    return PresentedToken(status_at(token, wall_us), token)


def _verify(text: str, macs: Sequence[Mac]) -> AccessToken | None:
    raw = signed_tokens.verify(text, macs, MAX_TOKEN_CHARS)
    if raw is None:
        return None
    try:
        return msgspec.json.decode(raw, type=AccessToken)
    except msgspec.MsgspecError:
        return None


def status_at(token: AccessToken, wall_us: int) -> TokenStatus:
    """The status of a correctly signed token at this wall time."""
    if wall_us < token.from_us:
        return TokenStatus.NOT_YET
    if wall_us >= token.until_us:
        return TokenStatus.EXPIRED
    return TokenStatus.EXPIRING if wall_us >= renewal_due_us(token) else TokenStatus.VALID


def renewal_due_us(token: AccessToken) -> int:
    """The wall time from which the token's holder should renew it."""
    notice_period_us = round((token.until_us - token.from_us) * RENEWAL_NOTICE_FRACTION)
    return token.until_us - min(MAX_RENEWAL_NOTICE_US, notice_period_us)


def may_replace(old: AccessToken | None, new: AccessToken) -> bool:
    """Whether a token may replace another one on a connection.

    Both must belong to the same client; otherwise the connection's sessions would pass to another client.
    """
    return old is None or old.client == new.client
