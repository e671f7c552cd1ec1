"""Notifies client connections of what happens to their sessions; the core's lock guards it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import Session, SessionView
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.session_views import SessionViews
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.session_ownership import SessionOwnerships
from fennelcove.timeline.model import Change


@dataclass(frozen=True, slots=True)
class RungNotification:
    """The session's rung, or its highest one, has changed."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class MigrationNotification:
    """Another server plays the session."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class EndNotification:
    """The session was closed."""

    id: str
    reason: str


@dataclass(frozen=True, slots=True)
class TakeoverNotification:
    """Another connection owns the session now."""

    id: str


@dataclass(frozen=True, slots=True)
class ContentNotification:
    """An author changed what the session plays, or withdrew a change."""

    id: str
    change_id: str
    state: str


@dataclass(frozen=True, slots=True)
class StormNotification:
    """The retry-storm state of the front has changed."""

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
    """One client connection."""

    def put(self, notification: Notification, sequence: int) -> None:
        """Queue a notification with its number within the session; never blocks."""

    def __hash__(self) -> int:
        """Hash by identity."""


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The session that a connection claimed, or why it may not own it.

    Attributes:
        sequence: the number of the session's last notification.
        missed_count: how many notifications the connection has not seen; None where that is unknown.
    """

    view: SessionView | None
    sequence: int = 0
    missed_count: int | None = None
    reason: str = ""


class ClientNotifier:
    """Knows which connection owns which session.

    Attributes:
        max_sessions: how many sessions one connection may own.
        requires_token: whether only the client that requested a session may claim it.
    """

    def __init__(
        self,
        context: CoreContext,
        lifecycle: SessionLifecycle,
        expiry: SessionExpiry,
        views: SessionViews,
        *,
        max_sessions: int,
        requires_token: bool,
    ) -> None:
        self.context = context
        self.max_sessions = max_sessions
        self.requires_token = requires_token
        self.lifecycle = lifecycle
        self.expiry = expiry
        self.views = views
        self.ownerships: SessionOwnerships[Mailbox] = SessionOwnerships()
        self.mailboxes: set[Mailbox] = set()

    def register(self, mailbox: Mailbox) -> None:
        """A connection opened."""
        with self.context.lock:
            self.mailboxes.add(mailbox)

    def unregister(self, mailbox: Mailbox) -> list[str]:
        """A connection closed; the ids of its sessions, which anybody may claim until they expire."""
        with self.context.lock:
            self.mailboxes.discard(mailbox)
            unowned_ids = self.ownerships.on_disconnected(mailbox)
            if unowned_ids:
                self.context.increment("orphaned")
            return unowned_ids

    def claim(self, mailbox: Mailbox, session_id: str, client: str, seen_sequence: int | None) -> ClaimResult:
        """Make a connection the owner of an established session; its former owner is notified.

        Args:
            mailbox: the connection.
            session_id: the session.
            client: the client that the connection's token names.
            seen_sequence: the last notification of that session which the client has seen.
        """
        with self.context.lock:
            session = self.lifecycle.find_established(session_id)
            if session is None:
                return ClaimResult(None, reason=self.lifecycle.close_reasons.get(session_id, ""))
            owner = session.request.client if session.request is not None else ""
            if self.requires_token and owner and owner != client:
                return ClaimResult(None, reason="it is another client's")
            claim = self.ownerships.claim(session_id, mailbox, self.max_sessions)
            if not claim.is_granted:
                return ClaimResult(None, reason=claim.reason)
            ownership = self.ownerships.by_session[session_id]
            if claim.displaced_owner is not None:
                self.context.increment("taken")
                claim.displaced_owner.put(TakeoverNotification(session_id), ownership.update_count)
            self.expiry.on_activity(session_id, self.context.now_us())
            view = self.views.view_of(session)
            return ClaimResult(view, ownership.update_count, ownership.missed_updates(seen_sequence))

    def release(self, mailbox: Mailbox, session_id: str) -> bool:
        """Close a session that the connection owns, without a notification; False where it owns none."""
        with self.context.lock:
            if not self.owns(mailbox, session_id):
                return False
            self.ownerships.on_session_closed(session_id)
            return self.lifecycle.release(session_id, "released by its viewer")

    def on_activity(self, mailbox: Mailbox) -> None:
        """A connection is alive: its sessions do not expire."""
        with self.context.lock:
            now_us = self.context.now_us()
            for session_id in self.ownerships.by_owner.get(mailbox, ()):
                self.expiry.on_activity(session_id, now_us)

    def owns(self, mailbox: Mailbox, session_id: str) -> bool:
        """Whether a connection owns a session."""
        return session_id in self.ownerships.by_owner.get(mailbox, ())

    # Events of the core.

    def on_rung_changed(self, session: Session) -> None:
        """A session's rung, or its highest one, has changed."""
        owner, sequence = self.ownerships.on_update(session.id)
        if owner is not None:
            owner.put(RungNotification(self.views.view_of(session)), sequence)

    def on_migrated(self, session: Session) -> None:
        """Another server plays a session."""
        owner, sequence = self.ownerships.on_update(session.id)
        if owner is not None:
            owner.put(MigrationNotification(self.views.view_of(session)), sequence)

    def on_session_closed(self, session: Session) -> None:
        """A session was closed."""
        ownership = self.ownerships.by_session.get(session.id)
        sequence = ownership.update_count + 1 if ownership is not None else 0
        owner = self.ownerships.on_session_closed(session.id)
        if owner is not None:
            owner.put(EndNotification(session.id, session.close_reason or "released"), sequence)

    def on_content_changed(self, change: Change, state: str) -> None:
        """An author's change was made, or withdrawn."""
        for session_id in list(self.ownerships.by_session):
            session = self.lifecycle.sessions.get(session_id)
            if session is None:
                continue
            if not change.target.matches(session.title, session.service_class, session_id):
                continue
            owner, sequence = self.ownerships.on_update(session_id)
            if owner is not None:
                owner.put(ContentNotification(session_id, change.id, state), sequence)

    def on_storm_state_changed(self, state: str) -> None:
        """The retry-storm state of the front has changed: notify every connection."""
        for mailbox in self.mailboxes:
            mailbox.put(StormNotification(state), 0)
