"""What a front that has just started takes over: boxes play on while a front is away, and say what they hold.

A front keeps no state on disk (yet); the servers' greetings are its memory. Each attempt that a server names
is kept,
taken over under its old id, or released, so that viewers' polls go on being answered, seats are counted once,
and nothing plays for nobody. In which order service returns meanwhile is ruled on in `fleet/comeback.py`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.decisions.clients.session_lifecycle import SessionState


class SessionClaim(Enum):
    """What a join that a box names is to this front."""

    CURRENT = auto()  # plays there, by this front's own knowledge
    IN_FLIGHT = auto()  # the join that is out now
    OVERTAKEN = auto()  # a join that was given up; another came after it
    ENDED_HERE = auto()  # of this life, and over
    ORPHAN = auto()  # of an earlier life
    ORPHAN_OLDER = auto()  # of an earlier life, and a later join of it is known already
    ORPHAN_NEWER = auto()  # of an earlier life, and an older join of it was taken over
    UNFIT = auto()  # of an earlier life, and the settings know its title, room type or rung no more
    SURPLUS = auto()  # of an earlier life, and its seats are all taken


class ClaimAction(Enum):
    """What follows."""

    KEEP = auto()
    ADOPT = auto()
    ADOPT_INSTEAD = auto()  # release the older one first
    RELEASE = auto()


TRANSITIONS: dict[SessionClaim, ClaimAction] = {
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
    """What this front holds under the id that a box names."""

    state: SessionState
    attempt: int
    server: str


def claim(
    server: str, attempt: int, known: KnownSession | None, mine: bool, fits: bool, seat_free: bool
) -> SessionClaim:
    """Sort one join that a box names.

    Args:
        box: the address of the box that names it.
        join: its number.
        known: what is held under its id, if anything.
        mine: the id was made in this life.
        fits: the settings know its title, its room type, and its rung is none under the floor.
        seat_free: one more of its title and room type may be held.
    """
    if known is not None and known.attempt == attempt and known.server == server:
        return SessionClaim.CURRENT if known.state is SessionState.PLAYING else SessionClaim.IN_FLIGHT
    if mine:
        return SessionClaim.ENDED_HERE if known is None else SessionClaim.OVERTAKEN
    if not fits:
        return SessionClaim.UNFIT
    if known is not None:
        return SessionClaim.ORPHAN_NEWER if attempt > known.attempt else SessionClaim.ORPHAN_OLDER
    return SessionClaim.ORPHAN if seat_free else SessionClaim.SURPLUS
