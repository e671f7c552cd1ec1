"""Reconciliation of the sessions that servers report after a front has restarted.

Sessions stay established while a front is down, and servers report the sessions that they hold when the front
connects to them. Each reported attempt is retained, adopted under its old id, or released, so that clients'
polls get a response, seats are counted once, and no session is served without a client. The order in which
service is resumed meanwhile is decided in `fennelcove.decisions.fleet.recovery_admission`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.decisions.clients.session_lifecycle import SessionState


class SessionClaim(Enum):
    """The classification of a reported attempt; status counters show the names of the members."""

    CURRENT = auto()  # established at that server according to this front's own state
    IN_FLIGHT = auto()  # the attempt that is in flight now
    OVERTAKEN = auto()  # an attempt that was cancelled and followed by another one
    ENDED_HERE = auto()  # of this incarnation, and closed
    ORPHAN = auto()  # of an earlier incarnation
    ORPHAN_OLDER = auto()  # of an earlier incarnation, and a later attempt of its session is known
    ORPHAN_NEWER = auto()  # of an earlier incarnation, and an older attempt of its session was adopted
    UNFIT = auto()  # of an earlier incarnation, and no longer permitted by the settings
    SURPLUS = auto()  # of an earlier incarnation, and all seats are occupied


class ClaimAction(Enum):
    """What to do with a reported attempt."""

    KEEP = auto()
    ADOPT = auto()
    ADOPT_INSTEAD = auto()  # release the older attempt first, then adopt this one
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
    """What this front knows about a session that a server reports."""

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
    """Classify an attempt that a server reports.

    Args:
        server: the address of the server that reports it.
        attempt: the number of the attempt.
        known: what this front knows about its session, if anything.
        is_own_incarnation: whether the session's id was created in this incarnation.
        is_servable: whether the settings contain its title and service class, and permit its rung.
        has_free_seat: whether another session of its title and service class may be held.
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
