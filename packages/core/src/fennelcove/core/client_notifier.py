"""Notifies client connections of events of their sessions; the core's lock guards it."""

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
    """The session's rung or its highest allowed rung has changed."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class MigrationNotification:
    """The session has migrated to another server."""

    view: SessionView


@dataclass(frozen=True, slots=True)
class EndNotification:
    """The session was closed."""

    id: str
    reason: str


@dataclass(frozen=True, slots=True)
class TakeoverNotification:
    """Another connection has become the session's owner."""

    id: str


@dataclass(frozen=True, slots=True)
class ContentNotification:
    """An author's change to the session's content was made or withdrawn."""

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
    """The notification queue of a client connection."""

    def put(self, notification: Notification, sequence: int) -> None:
        """Queue a notification with its sequence number within the session; never blocks."""

    def __hash__(self) -> int:
        """Hash by identity."""


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of a connection's claim to a session.

    Attributes:
        view: The session; None if the claim was denied.
        sequence: The sequence number of the session's last notification.
        missed_count: How many notifications the client has not seen; None if that is unknown.
        reason: Why the claim was denied.
    """

    view: SessionView | None
    sequence: int = 0
    missed_count: int | None = None
    reason: str = ""


class ClientNotifier:
    """Tracks which connection owns which session, and sends it the session's notifications.

    Attributes:
        max_sessions: How many sessions a connection may own.
        requires_token: Whether only the client that requested a session may claim it.
        mailboxes: The mailboxes of all open connections.
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
        """Add the mailbox of a new connection."""
        with self.context.lock:
            self.mailboxes.add(mailbox)

    def unregister(self, mailbox: Mailbox) -> list[str]:
        """Remove the mailbox of a closed connection.

        Returns:
            The ids of its sessions, which other connections may claim until they expire.
        """
        with self.context.lock:
            self.mailboxes.discard(mailbox)
            unowned_ids = self.ownerships.on_disconnected(mailbox)
            if unowned_ids:
                self.context.increment("orphaned")
            return unowned_ids

    def claim(self, mailbox: Mailbox, session_id: str, client: str, seen_sequence: int | None) -> ClaimResult:
        """Make a connection the owner of an established session; its former owner is notified.

        Args:
            mailbox: The connection's mailbox.
            session_id: The session's id.
            client: The client that the connection's token names.
            seen_sequence: The sequence number of the last notification that the client has seen.
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
        """Close a session of a connection without notifying it; return False if it is not the owner."""
        with self.context.lock:
            if not self.owns(mailbox, session_id):
                return False
            self.ownerships.on_session_closed(session_id)
            return self.lifecycle.release(session_id, "released by its viewer")

    def on_activity(self, mailbox: Mailbox) -> None:
        """Reset the expiry of a connection's sessions, as the connection is alive."""
        with self.context.lock:
            now_us = self.context.now_us()
            for session_id in self.ownerships.by_owner.get(mailbox, ()):
                self.expiry.on_activity(session_id, now_us)

    def owns(self, mailbox: Mailbox, session_id: str) -> bool:
        """Return whether a connection owns a session."""
        return session_id in self.ownerships.by_owner.get(mailbox, ())

    # Events from the core.

    def on_rung_changed(self, session: Session) -> None:
        """Notify a session's owner that its rung or highest allowed rung has changed."""
        owner, sequence = self.ownerships.on_update(session.id)
        if owner is not None:
            owner.put(RungNotification(self.views.view_of(session)), sequence)

    def on_migrated(self, session: Session) -> None:
        """Notify a session's owner that it has migrated to another server."""
        owner, sequence = self.ownerships.on_update(session.id)
        if owner is not None:
            owner.put(MigrationNotification(self.views.view_of(session)), sequence)

    def on_session_closed(self, session: Session) -> None:
        """Notify a session's owner that it was closed."""
        ownership = self.ownerships.by_session.get(session.id)
        sequence = ownership.update_count + 1 if ownership is not None else 0
        owner = self.ownerships.on_session_closed(session.id)
        if owner is not None:
            owner.put(EndNotification(session.id, session.close_reason or "released"), sequence)

    def on_content_changed(self, change: Change, state: str) -> None:
        """Notify the owners of the sessions that an author's change affects."""
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
        """Notify every connection that the front's retry-storm state has changed."""
        for mailbox in self.mailboxes:
            mailbox.put(StormNotification(state), 0)
