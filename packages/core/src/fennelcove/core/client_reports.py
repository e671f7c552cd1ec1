"""Processes the reports of established sessions' clients and closes sessions of silent clients."""

from __future__ import annotations

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import Session, SessionView
from fennelcove.core.server_record import ServerRecord
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.core.server_reports import ServerReports
from fennelcove.core.session_actions import SessionActions
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.session_views import SessionViews
from fennelcove.decisions.clients.session_expiry import SessionExpiry
from fennelcove.decisions.clients.session_lifecycle import SessionEvent
from fennelcove.decisions.servers import load_signals
from fennelcove.decisions.servers.load_signals import ClientHints


class ClientReports:
    """Handles client reports, which keep sessions alive and limit their rungs."""

    def __init__(
        self,
        context: CoreContext,
        lifecycle: SessionLifecycle,
        expiry: SessionExpiry,
        server_registry: ServerRegistry,
        reports: ServerReports,
        actions: SessionActions,
        views: SessionViews,
    ) -> None:
        self.context = context
        self.lifecycle = lifecycle
        self.expiry = expiry
        self.server_registry = server_registry
        self.reports = reports
        self.actions = actions
        self.views = views

    def on_report(
        self, session_id: str, hints: ClientHints, requested_top_rung: int | None = None
    ) -> SessionView | None:
        """Handle a client report; return the session, or None if it is not established."""
        with self.context.lock:
            session = self.lifecycle.find_established(session_id)
            if session is None:
                return None
            now_us = self.context.now_us()
            self.expiry.on_activity(session_id, now_us)
            if requested_top_rung is not None:
                session.requested_top_rung = min(requested_top_rung, len(session.rates_kb) - 1)
            self._observe(session, hints, now_us)
            return self.views.view_of(session)

    def _observe(self, session: Session, hints: ClientHints, now_us: int) -> None:
        """Attribute buffer starvation to the server if its clients agree on it, else to the client's link."""
        server = self._server_of(session)
        starving_share = load_signals.starving_delivered_fraction(hints, session.rates_kb[session.rung])
        if server is not None:
            server.delivery.observe(session.id, starving_share, now_us)
            self.reports.evaluate_delivery(server, now_us)
        if starving_share is None or server is None or not server.is_blamed:
            self._adjust_top_rung(session, hints)

    def _server_of(self, session: Session) -> ServerRecord | None:
        return None if session.is_orphaned else self.server_registry.records.get(session.server)

    def _adjust_top_rung(self, session: Session, hints: ClientHints) -> None:
        top_rung = load_signals.adjusted_top_rung(
            session.rates_kb, session.requested_top_rung, session.top_rung, session.floor_rung, hints
        )
        if top_rung != session.top_rung:
            self.actions.set_top_rung(session, top_rung)

    def close_silent_sessions(self) -> None:
        """Close the sessions whose clients have been silent for too long; called periodically."""
        with self.context.lock:
            for session_id in self.expiry.pop_expired(self.context.now_us()):
                session = self.lifecycle.sessions.get(session_id)
                if session is not None:
                    session.close_reason = "its viewer fell silent"
                    self.context.increment("silent")
                    self.lifecycle.apply(session, SessionEvent.RELEASED)
