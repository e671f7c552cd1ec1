"""The view of a session that its client receives."""

from __future__ import annotations

from fennelcove.core.requests import Session, SessionView
from fennelcove.core.seat_leases import SeatLeaseManager
from fennelcove.decisions.clients.session_expiry import SessionExpiry


class SessionViews:
    """Builds clients' views of their sessions."""

    def __init__(self, expiry: SessionExpiry, seat_leases: SeatLeaseManager) -> None:
        self.expiry = expiry
        self.seat_leases = seat_leases

    def view_of(self, session: Session) -> SessionView:
        """Return the session as its client may see it now."""
        return SessionView(
            session.id,
            session.title,
            session.service_class,
            session.server,
            session.rung,
            session.top_rung,
            session.rates_kb[session.rung],
            self.expiry.poll_interval_us(),
            self.seat_leases.remaining_us(session.id),
        )
