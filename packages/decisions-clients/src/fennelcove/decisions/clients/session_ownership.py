"""Which connection a subscription belongs to: claims, lost connections, and two that claim the same one.

A subscription plays on a box, not on a connection. A connection that is lost orphans what it owned; until the
silence limit ends an orphan, whoever shows its id may claim it, from then on alone. Of two that claim one the
later has it: the earlier is mostly a connection that is dead and does not know it yet.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Generic, TypeVar

Owner = TypeVar("Owner", bound=Hashable)


class OwnershipState(Enum):
    """Where a subscription stands."""

    UNOWNED = auto()  # nobody claimed it on a connection: it was set up over HTTP, or by an earlier life
    OWNED = auto()
    ORPHANED = auto()  # its connection was lost
    CLOSED = auto()


class OwnershipEvent(Enum):
    """What happens to it."""

    CLAIMED = auto()  # by a connection that does not own it
    RECLAIMED = auto()  # by the one that does
    DISCONNECTED = auto()  # its connection is gone
    CLOSED = auto()


class OwnershipAction(Enum):
    """What follows."""

    ASSIGN = auto()  # it is the claimant's from now on
    NOTIFY_DISPLACED = auto()  # the owner of before loses it
    NOTIFY_CLOSED = auto()
    REJECT = auto()


TRANSITIONS: dict[
    tuple[OwnershipState, OwnershipEvent], tuple[OwnershipState, tuple[OwnershipAction, ...]]
] = {
    (OwnershipState.UNOWNED, OwnershipEvent.CLAIMED): (OwnershipState.OWNED, (OwnershipAction.ASSIGN,)),
    (OwnershipState.UNOWNED, OwnershipEvent.RECLAIMED): (OwnershipState.OWNED, (OwnershipAction.ASSIGN,)),
    (OwnershipState.UNOWNED, OwnershipEvent.DISCONNECTED): (OwnershipState.UNOWNED, ()),
    (OwnershipState.UNOWNED, OwnershipEvent.CLOSED): (OwnershipState.CLOSED, ()),
    (OwnershipState.OWNED, OwnershipEvent.CLAIMED): (
        OwnershipState.OWNED,
        (OwnershipAction.NOTIFY_DISPLACED, OwnershipAction.ASSIGN),
    ),
    (OwnershipState.OWNED, OwnershipEvent.RECLAIMED): (OwnershipState.OWNED, (OwnershipAction.ASSIGN,)),
    (OwnershipState.OWNED, OwnershipEvent.DISCONNECTED): (OwnershipState.ORPHANED, ()),
    (OwnershipState.OWNED, OwnershipEvent.CLOSED): (OwnershipState.CLOSED, (OwnershipAction.NOTIFY_CLOSED,)),
    (OwnershipState.ORPHANED, OwnershipEvent.CLAIMED): (OwnershipState.OWNED, (OwnershipAction.ASSIGN,)),
    (OwnershipState.ORPHANED, OwnershipEvent.RECLAIMED): (OwnershipState.OWNED, (OwnershipAction.ASSIGN,)),
    (OwnershipState.ORPHANED, OwnershipEvent.DISCONNECTED): (OwnershipState.ORPHANED, ()),
    (OwnershipState.ORPHANED, OwnershipEvent.CLOSED): (OwnershipState.CLOSED, ()),
    (OwnershipState.CLOSED, OwnershipEvent.CLAIMED): (OwnershipState.CLOSED, (OwnershipAction.REJECT,)),
    (OwnershipState.CLOSED, OwnershipEvent.RECLAIMED): (OwnershipState.CLOSED, (OwnershipAction.REJECT,)),
    (OwnershipState.CLOSED, OwnershipEvent.DISCONNECTED): (OwnershipState.CLOSED, ()),
    (OwnershipState.CLOSED, OwnershipEvent.CLOSED): (OwnershipState.CLOSED, ()),
}


@dataclass(slots=True)
class SessionOwnership(Generic[Owner]):
    """One subscription's owner, and how many news there were of it."""

    session_id: str
    state: OwnershipState = OwnershipState.UNOWNED
    owner: Owner | None = None
    number: int = 0

    def missed(self, seen: int | None) -> int | None:
        """How many news one that comes back has not seen; None where that can't be told.

        A number beyond ours was given by an earlier life of this front.
        """
        if seen is None or seen > self.number:
            return None
        return self.number - seen


@dataclass(frozen=True, slots=True)
class OwnershipClaim(Generic[Owner]):
    """What became of a claim."""

    given: bool
    why: str = ""
    loser: Owner | None = None


@dataclass(slots=True)
class SessionOwnerships(Generic[Owner]):
    """All subscriptions that were ever on a connection, and each connection's own."""

    held: dict[str, SessionOwnership[Owner]] = field(default_factory=dict)
    owned: dict[Owner, set[str]] = field(default_factory=dict)

    def claim(self, id: str, owner: Owner, most: int) -> OwnershipClaim[Owner]:
        """A connection claims a subscription that plays; it may own `most`."""
        holding = self.held.get(id) or SessionOwnership(id)
        again = holding.owner == owner
        if not again and len(self.owned.get(owner, ())) >= most:
            return OwnershipClaim(False, f"this connection holds {most} subscriptions, the most it may")
        before = holding.owner
        holding.state, acts = TRANSITIONS[
            holding.state, OwnershipEvent.RECLAIMED if again else OwnershipEvent.CLAIMED
        ]
        loser = before if OwnershipAction.NOTIFY_DISPLACED in acts else None
        if loser is not None:
            self.owned[loser].discard(id)
        if OwnershipAction.ASSIGN in acts:
            self.held[id], holding.owner = holding, owner
            self.owned.setdefault(owner, set()).add(id)
        return OwnershipClaim(OwnershipAction.ASSIGN in acts, "", loser)

    def left(self, owner: Owner) -> list[str]:
        """A connection is gone; what it leaves behind."""
        orphans = sorted(self.owned.pop(owner, ()))
        for id in orphans:
            holding = self.held[id]
            holding.state, _ = TRANSITIONS[holding.state, OwnershipEvent.DISCONNECTED]
            holding.owner = None
        return orphans

    def ended(self, id: str) -> Owner | None:
        """A subscription has ended; who is to be told."""
        holding = self.held.pop(id, None)
        if holding is None:
            return None
        holding.state, acts = TRANSITIONS[holding.state, OwnershipEvent.CLOSED]
        owner, holding.owner = holding.owner, None
        if owner is not None:
            self.owned[owner].discard(id)
        return owner if OwnershipAction.NOTIFY_CLOSED in acts else None

    def news(self, id: str) -> tuple[Owner | None, int]:
        """There is news of a subscription: who is to be told, and the news' number."""
        holding = self.held.get(id)
        if holding is None:
            return None, 0
        holding.number += 1
        return holding.owner, holding.number
