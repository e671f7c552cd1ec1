"""The core's part that tells connections what happens to what they own; the core's lock is round it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import Session, SessionView
from fennelcove.decisions.clients.session_ownership import SessionOwnerships
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.timeline.model import Change


@dataclass(frozen=True, slots=True)
class RungNotification:
    """The rung or the highest one is another."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class MigrationNotification:
    """Another box plays it."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class EndNotification:
    """It has ended."""

    id: str
    reason: str


@dataclass(frozen=True, slots=True)
class TakeoverNotification:
    """Another connection has it."""

    id: str


@dataclass(frozen=True, slots=True)
class ContentNotification:
    """Its lesson was changed."""

    id: str
    change_id: str
    state: str


@dataclass(frozen=True, slots=True)
class StormNotification:
    """The front's storm phase."""

    state: str


Notification = (
    RungNotification
    | MigrationNotification
    | EndNotification
    | TakeoverNotification
    | ContentNotification
    | StormNotification
)


class Mailbox(Protocol):
    """One connection, as the core sees it. `put` never waits."""

    def put(self, news: Notification, number: int) -> None: ...

    def __hash__(self) -> int: ...


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """What became of a claim: the state and numbers, or why not."""

    view: SessionView | None
    sequence: int = 0
    missed_count: int | None = None
    reason: str = ""


class ClientNotifier:
    """Who owns what, and who is told what. A connection owns `most` subscriptions; with passes in force what
    one client's is no other may claim."""

    def __init__(
        self,
        context: CoreContext,
        max_sessions: int,
        requires_token: bool,
        lifecycle: SessionLifecycle,
        expiry: SessionExpiry,
        view_of: Callable[[Session], SessionView],
    ) -> None:
        self.context = context
        self.max_sessions = max_sessions
        self.requires_token = requires_token
        self.lifecycle = lifecycle
        self.expiry = expiry
        self.view_of = view_of
        self.ownerships: SessionOwnerships[Mailbox] = SessionOwnerships()
        self.mailboxes: set[Mailbox] = set()

    def register(self, mailbox: Mailbox) -> None:
        """A connection opens."""
        with self.context.lock:
            self.mailboxes.add(mailbox)

    def unregister(self, mailbox: Mailbox) -> list[str]:
        """A connection is gone; what it leaves plays on until the silence limit, for whoever claims it."""
        with self.context.lock:
            self.mailboxes.discard(mailbox)
            orphans = self.ownerships.left(mailbox)
            if orphans:
                self.context.tally("orphaned")
            return orphans

    def claim(self, mailbox: Mailbox, id: str, client: str, seen: int | None) -> ClaimResult:
        """A connection claims what plays; with passes, only its own client's."""
        with self.context.lock:
            session = self.lifecycle.playing(id)
            if session is None:
                return ClaimResult(None, reason=self.lifecycle.close_reasons.get(id, ""))
            owner = session.ask.client if session.ask is not None else ""
            if self.requires_token and owner and owner != client:
                return ClaimResult(None, reason="it is another client's")
            claim = self.ownerships.claim(id, mailbox, self.max_sessions)
            if not claim.given:
                return ClaimResult(None, reason=claim.why)
            if claim.loser is not None:
                self.context.tally("taken")
                claim.loser.put(TakeoverNotification(id), self.ownerships.held[id].number)
            self.expiry.hear(id, self.context.now_us())
            holding = self.ownerships.held[id]
            return ClaimResult(self.view_of(session), holding.number, holding.missed(seen))

    def release(self, mailbox: Mailbox, id: str) -> bool:
        """A connection ends what it owns; it hears of the end by its answer alone."""
        with self.context.lock:
            if not self.owns(mailbox, id):
                return False
            self.ownerships.ended(id)
            return self.lifecycle.release(id, "released by its viewer")

    def on_activity(self, mailbox: Mailbox) -> None:
        """A connection gave a sign of life: what it owns is watched."""
        with self.context.lock:
            now_us = self.context.now_us()
            for id in self.ownerships.owned.get(mailbox, ()):
                self.expiry.hear(id, now_us)

    def owns(self, mailbox: Mailbox, id: str) -> bool:
        """Whether a subscription is this connection's."""
        return id in self.ownerships.owned.get(mailbox, ())

    # What the core's other parts tell.

    def on_rung_changed(self, session: Session) -> None:
        """The rung in force, or the highest one, is another."""
        owner, number = self.ownerships.news(session.id)
        if owner is not None:
            owner.put(RungNotification(self.view_of(session)), number)

    def on_migrated(self, session: Session) -> None:
        """Another box plays it."""
        owner, number = self.ownerships.news(session.id)
        if owner is not None:
            owner.put(MigrationNotification(self.view_of(session)), number)

    def on_session_closed(self, session: Session) -> None:
        """It has ended."""
        holding = self.ownerships.held.get(session.id)
        number = holding.number + 1 if holding is not None else 0
        owner = self.ownerships.ended(session.id)
        if owner is not None:
            owner.put(EndNotification(session.id, session.close_reason or "released"), number)

    def stitched(self, change: Change, state: str) -> None:
        """An author's change was made or taken back."""
        for id in list(self.ownerships.held):
            session = self.lifecycle.held.get(id)
            if session is not None and change.target.meets(session.title, session.service_class, id):
                owner, number = self.ownerships.news(id)
                if owner is not None:
                    owner.put(ContentNotification(id, change.id, state), number)

    def on_storm_state_changed(self, phase: str) -> None:
        """The storm phase is another: every connection hears of it."""
        for mailbox in self.mailboxes:
            mailbox.put(StormNotification(phase), 0)
