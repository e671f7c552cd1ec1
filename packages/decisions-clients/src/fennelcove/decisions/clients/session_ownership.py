"""Which connection owns a session: claims, lost connections, and two connections that claim the same session.

A session plays at a server and does not depend on a connection. When a connection is lost, its sessions are
orphaned. Until they time out, a client that presents a session's id may claim the session, and then is its
only owner. If two connections claim one session, the later one owns it: the earlier one has mostly been lost
without notice.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Generic, NamedTuple, TypeVar

from fennelcove.state_machine import Transition, TransitionTable

Owner = TypeVar("Owner", bound=Hashable)


class OwnershipState(Enum):
    """Who owns a session."""

    UNOWNED = auto()  # never claimed: set up over HTTP, or before a restart of this front
    OWNED = auto()
    ORPHANED = auto()  # its connection was lost
    CLOSED = auto()


class OwnershipEvent(Enum):
    """An event that concerns the ownership."""

    CLAIMED = auto()  # by a connection that does not own the session
    RECLAIMED = auto()  # by the connection that owns it
    DISCONNECTED = auto()  # the owner's connection was lost
    CLOSED = auto()


class OwnershipAction(Enum):
    """An action that the caller carries out."""

    ASSIGN = auto()  # make the claiming connection the owner
    NOTIFY_DISPLACED = auto()  # notify the previous owner that it has lost the session
    NOTIFY_CLOSED = auto()
    REJECT = auto()


TRANSITIONS: TransitionTable[OwnershipState, OwnershipEvent, OwnershipAction] = TransitionTable(
    {
        (OwnershipState.UNOWNED, OwnershipEvent.CLAIMED): Transition(
            OwnershipState.OWNED, (OwnershipAction.ASSIGN,)
        ),
        (OwnershipState.UNOWNED, OwnershipEvent.RECLAIMED): Transition(
            OwnershipState.OWNED, (OwnershipAction.ASSIGN,)
        ),
        (OwnershipState.UNOWNED, OwnershipEvent.DISCONNECTED): Transition(OwnershipState.UNOWNED),
        (OwnershipState.UNOWNED, OwnershipEvent.CLOSED): Transition(OwnershipState.CLOSED),
        (OwnershipState.OWNED, OwnershipEvent.CLAIMED): Transition(
            OwnershipState.OWNED, (OwnershipAction.NOTIFY_DISPLACED, OwnershipAction.ASSIGN)
        ),
        (OwnershipState.OWNED, OwnershipEvent.RECLAIMED): Transition(
            OwnershipState.OWNED, (OwnershipAction.ASSIGN,)
        ),
        (OwnershipState.OWNED, OwnershipEvent.DISCONNECTED): Transition(OwnershipState.ORPHANED),
        (OwnershipState.OWNED, OwnershipEvent.CLOSED): Transition(
            OwnershipState.CLOSED, (OwnershipAction.NOTIFY_CLOSED,)
        ),
        (OwnershipState.ORPHANED, OwnershipEvent.CLAIMED): Transition(
            OwnershipState.OWNED, (OwnershipAction.ASSIGN,)
        ),
        (OwnershipState.ORPHANED, OwnershipEvent.RECLAIMED): Transition(
            OwnershipState.OWNED, (OwnershipAction.ASSIGN,)
        ),
        (OwnershipState.ORPHANED, OwnershipEvent.DISCONNECTED): Transition(OwnershipState.ORPHANED),
        (OwnershipState.ORPHANED, OwnershipEvent.CLOSED): Transition(OwnershipState.CLOSED),
        (OwnershipState.CLOSED, OwnershipEvent.CLAIMED): Transition(
            OwnershipState.CLOSED, (OwnershipAction.REJECT,)
        ),
        (OwnershipState.CLOSED, OwnershipEvent.RECLAIMED): Transition(
            OwnershipState.CLOSED, (OwnershipAction.REJECT,)
        ),
        (OwnershipState.CLOSED, OwnershipEvent.DISCONNECTED): Transition(OwnershipState.CLOSED),
        (OwnershipState.CLOSED, OwnershipEvent.CLOSED): Transition(OwnershipState.CLOSED),
    }
)


@dataclass(slots=True)
class SessionOwnership(Generic[Owner]):
    """One session's owner, and the number of its latest update."""

    session_id: str
    state: OwnershipState = OwnershipState.UNOWNED
    owner: Owner | None = None
    update_count: int = 0

    def apply(self, event: OwnershipEvent) -> tuple[OwnershipAction, ...]:
        """Apply an event; the actions to carry out, in order."""
        transition = TRANSITIONS.apply(self.state, event)
        self.state = transition.state
        return transition.actions

    def missed_updates(self, seen: int | None) -> int | None:
        """How many updates a client that reconnects has missed; None where that is unknown.

        A number higher than the latest one was assigned before this front restarted.
        """
        if seen is None or seen > self.update_count:
            return None
        return self.update_count - seen


@dataclass(frozen=True, slots=True)
class OwnershipClaim(Generic[Owner]):
    """The result of a claim."""

    is_granted: bool
    reason: str = ""  # of a rejection
    displaced_owner: Owner | None = None  # the previous owner, if it loses the session


class OwnershipUpdate(NamedTuple, Generic[Owner]):
    """The owner to notify of an update of a session, and the update's number."""

    owner: Owner | None
    number: int


@dataclass(slots=True)
class SessionOwnerships(Generic[Owner]):
    """All sessions that have been claimed, and the sessions of each connection."""

    by_session: dict[str, SessionOwnership[Owner]] = field(default_factory=dict)
    by_owner: dict[Owner, set[str]] = field(default_factory=dict)

    def claim(self, session_id: str, owner: Owner, max_sessions: int) -> OwnershipClaim[Owner]:
        """Claim an established session for a connection that may own up to `max_sessions`."""
        ownership = self.by_session.get(session_id) or SessionOwnership(session_id)
        previous_owner = ownership.owner
        is_reclaim = previous_owner == owner
        if not is_reclaim and len(self.by_owner.get(owner, ())) >= max_sessions:
            return OwnershipClaim(
                False, f"this connection holds {max_sessions} subscriptions, the most it may"
            )
        actions = ownership.apply(OwnershipEvent.RECLAIMED if is_reclaim else OwnershipEvent.CLAIMED)
        displaced = previous_owner if OwnershipAction.NOTIFY_DISPLACED in actions else None
        if displaced is not None:
            self.by_owner[displaced].discard(session_id)
        is_granted = OwnershipAction.ASSIGN in actions
        if is_granted:
            self._assign(ownership, owner)
        return OwnershipClaim(is_granted, "", displaced)

    def _assign(self, ownership: SessionOwnership[Owner], owner: Owner) -> None:
        ownership.owner = owner
        self.by_session[ownership.session_id] = ownership
        self.by_owner.setdefault(owner, set()).add(ownership.session_id)

    def on_disconnected(self, owner: Owner) -> list[str]:
        """Remove a lost connection; return the sessions that it orphans."""
        orphans = sorted(self.by_owner.pop(owner, ()))
        for session_id in orphans:
            ownership = self.by_session[session_id]
            ownership.apply(OwnershipEvent.DISCONNECTED)
            ownership.owner = None
        return orphans

    def on_session_closed(self, session_id: str) -> Owner | None:
        """Remove a closed session; return the owner to notify."""
        ownership = self.by_session.pop(session_id, None)
        if ownership is None:
            return None
        actions = ownership.apply(OwnershipEvent.CLOSED)
        owner = ownership.owner
        ownership.owner = None
        if owner is not None:
            self.by_owner[owner].discard(session_id)
        return owner if OwnershipAction.NOTIFY_CLOSED in actions else None

    def on_update(self, session_id: str) -> OwnershipUpdate[Owner]:
        """Assign the next number to an update of a session; return it with the owner to notify."""
        ownership = self.by_session.get(session_id)
        if ownership is None:
            return OwnershipUpdate(None, 0)
        ownership.update_count += 1
        return OwnershipUpdate(ownership.owner, ownership.update_count)
