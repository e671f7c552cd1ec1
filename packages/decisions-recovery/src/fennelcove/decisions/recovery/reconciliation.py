"""Reconciliation of the sessions that servers name after a front has restarted.

Sessions stay established while a front is away, and servers name the sessions that they hold when it greets
them. Each attempt that a server names is kept, adopted under its old id, or released, so that clients' polls
are answered, seats are counted once, and no session is served that nobody watches. In which order service is
resumed meanwhile is decided in `fennelcove.decisions.fleet.recovery_admission`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.decisions.clients.session_lifecycle import SessionState


class SessionClaim(Enum):
    """What an attempt that a server names is to this front; status counters show the names."""

    CURRENT = auto()  # established there, by this front's own state
    IN_FLIGHT = auto()  # the attempt that is in flight now
    OVERTAKEN = auto()  # an attempt that was given up and followed by another
    ENDED_HERE = auto()  # of this incarnation, and closed
    ORPHAN = auto()  # of an earlier incarnation
    ORPHAN_OLDER = auto()  # of an earlier incarnation, and a later attempt of its session is known
    ORPHAN_NEWER = auto()  # of an earlier incarnation, and an older attempt of its session was adopted
    UNFIT = auto()  # of an earlier incarnation, and no longer permitted by the settings
    SURPLUS = auto()  # of an earlier incarnation, and all seats are taken


class ClaimAction(Enum):
    """What to do with a claim."""

    KEEP = auto()
    ADOPT = auto()
    ADOPT_INSTEAD = auto()  # adopt it, and release the older attempt first
    RELEASE = auto()


CLAIM_ACTIONS: dict[SessionClaim, ClaimAction] = {
    SessionClaim.CURRENT: ClaimAction.KEEP,
    SessionClaim.IN_FLIGHT: ClaimAction.KEEP,
    SessionClaim.OVERTAKEN: ClaimAction.RELEASE,
    SessionClaim.ENDED_HERE: ClaimAction.RELEASE,
    SessionClaim.ORPHAN: ClaimAction.ADOPT,
    SessionClaim.ORPHAN_OLDER: ClaimAction.RELEASE,
    SessionClaim.ORPHAN_NEWER: ClaimAction.ADOPT_INSTEAD,
    SessionClaim.UNFIT: ClaimAction.RELEASE,
    SessionClaim.SURPLUS: ClaimAction.RELEASE,
}


@dataclass(frozen=True, slots=True)
class KnownSession:
    """What this front knows of the session that a server names."""

    state: SessionState
    attempt: int
    server: str


def classify_claim(
    server: str,
    attempt: int,
    known: KnownSession | None,
    is_own_incarnation: bool,
    is_servable: bool,
    has_free_seat: bool,
) -> SessionClaim:
    """Classify one attempt that a server names.

    Args:
        server: the address of the server that names it.
        attempt: its number.
        known: what this front knows of its session, if anything.
        is_own_incarnation: the session's id was made in this incarnation.
        is_servable: the settings have its title and service class, and permit its bitrate rung.
        has_free_seat: one more session of its title and service class may be held.
    """
    if known is not None and known.attempt == attempt and known.server == server:
        is_established = known.state is SessionState.ESTABLISHED
        return SessionClaim.CURRENT if is_established else SessionClaim.IN_FLIGHT
    if is_own_incarnation:
        return SessionClaim.ENDED_HERE if known is None else SessionClaim.OVERTAKEN
    if not is_servable:
        return SessionClaim.UNFIT
    if known is not None:
        return SessionClaim.ORPHAN_NEWER if attempt > known.attempt else SessionClaim.ORPHAN_OLDER
    return SessionClaim.ORPHAN if has_free_seat else SessionClaim.SURPLUS
