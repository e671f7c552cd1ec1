"""Expiring leases of seats; the core's lock guards them."""

from __future__ import annotations

from collections.abc import Mapping

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.requests import Session
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients.seat_leases import SeatAction, SeatLeases

KEY_PREFIX = b"seat/"  # of leases in the store


class SeatLeaseManager:
    """Grants, renews and expires a front's seat leases.

    Attributes:
        pending_restore: Stored leases of sessions that no server has reported yet, by session id.
    """

    def __init__(self, context: CoreContext, catalogue: Catalogue, lifecycle: SessionLifecycle) -> None:
        self.context = context
        self.catalogue = catalogue
        self.lifecycle = lifecycle
        self.leases = SeatLeases()
        self.pending_restore: dict[str, bytes] = {}

    def duration_us(self, service_class: str) -> int:
        """Return the lease duration of a service class's seats; 0 if they do not expire."""
        return round(self.catalogue.service_classes[service_class].seat_ms * 1000)

    def on_session_established(self, session: Session) -> None:
        """Grant a session its lease, or restore the one stored by an earlier incarnation."""
        duration_us = self.duration_us(session.service_class)
        if not duration_us:
            return
        wall_us = self.context.wall_us()
        stored = self.pending_restore.pop(session.id, None)
        if stored is not None and self.leases.restore(session.id, stored, duration_us, wall_us):
            return
        self.leases.acquire(session.id, (session.title, session.service_class), duration_us, wall_us)

    def remaining_us(self, session_id: str) -> int | None:
        """Return the time left on a session's lease; None if it has none."""
        lease = self.leases.seats.get(session_id)
        return None if lease is None else max(0, lease.expires_wall_us - self.context.wall_us())

    def renew(self, session_id: str, key: str) -> int | None:
        """Renew a session's lease; return the time left on it, or None if the session has none."""
        with self.context.lock:
            decision = self.leases.renew(session_id, key, self.context.wall_us())
            self.context.increment(f"seats_{decision.action.name.lower()}")
            return None if decision.action is SeatAction.REFUSE else self.remaining_us(session_id)

    def on_session_closed(self, session: Session) -> None:
        """Release the session's lease."""
        self.leases.release(session.id, self.context.wall_us())

    def close_expired(self) -> None:
        """Close the sessions whose leases have expired; called periodically."""
        with self.context.lock:
            for expired in self.leases.pop_expired(self.context.wall_us()):
                self.context.increment("seats_expired")
                self.lifecycle.release(expired.session_id, "its seat was not renewed")

    def persisted_entries(self) -> list[tuple[bytes, bytes]]:
        """Return the leases as keys and values for the store."""
        leased = [(KEY_PREFIX + id.encode(), value) for id, value in self.leases.encode_entries()]
        pending = [(KEY_PREFIX + id.encode(), value) for id, value in self.pending_restore.items()]
        return leased + pending

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Load stored leases; each takes effect when a server reports its session."""
        self.pending_restore = {
            name.removeprefix(KEY_PREFIX).decode("utf-8", "replace"): value
            for name, value in values.items()
            if name.startswith(KEY_PREFIX)
        }

    def on_recovered(self) -> None:
        """Drop the stored leases of unreported sessions, as every server has reported its sessions."""
        self.pending_restore.clear()
