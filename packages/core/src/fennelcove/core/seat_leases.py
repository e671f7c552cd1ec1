"""The core's part that keeps seats which expire; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Mapping

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import Session
from fennelcove.decisions.clients.seat_leases import SeatAction, SeatLeases

KEY_PREFIX = b"seat/"


class SeatLeaseManager:
    """Seats of one front."""

    def __init__(self, context: CoreContext, catalogue: Catalogue, lifecycle: SessionLifecycle) -> None:
        self.context = context
        self.catalogue = catalogue
        self.lifecycle = lifecycle
        self.leases = SeatLeases()
        self.pending_restore: dict[str, bytes] = {}

    def duration_us(self, service_class: str) -> int:
        """For how long a seat of a room type lasts; 0 for as long as it plays."""
        return round(self.catalogue.service_classes[service_class].seat_ms * 1000)

    def on_session_established(self, session: Session) -> None:
        """A subscription plays: set up, moved, or adopted from an earlier life."""
        length_us = self.duration_us(session.service_class)
        if not length_us:
            return
        wall_us = self.context.wall_us()
        raw = self.pending_restore.pop(session.id, None)
        if raw is not None and self.leases.restore(session.id, raw, length_us, wall_us):
            return
        self.leases.take(session.id, (session.title, session.service_class), length_us, wall_us)

    def remaining_us(self, id: str) -> int | None:
        """For how long a seat lasts; None for one that does not expire."""
        seat = self.leases.held.get(id)
        return None if seat is None else max(0, seat.until_us - self.context.wall_us())

    def renew(self, id: str, key: str) -> int | None:
        """A viewer keeps its seat; how long it lasts now, None where it has none."""
        with self.context.lock:
            step = self.leases.renew(id, key, self.context.wall_us())
            self.context.tally(f"seats_{step.act.name.lower()}")
            return None if step.act is SeatAction.REFUSE else self.remaining_us(id)

    def on_session_closed(self, session: Session) -> None:
        """A subscription has ended."""
        self.leases.release(session.id, self.context.wall_us())

    def close_expired(self) -> None:
        """End what has not been renewed."""
        with self.context.lock:
            for step in self.leases.expired(self.context.wall_us()):
                self.context.tally("seats_expired")
                self.lifecycle.release(step.id, "its seat was not renewed")

    # For the store.

    def kept(self) -> list[tuple[bytes, bytes]]:
        """What outlives this life."""
        found = [(KEY_PREFIX + id.encode(), raw) for id, raw in self.leases.kept()]
        return found + [(KEY_PREFIX + id.encode(), raw) for id, raw in self.pending_restore.items()]

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Seats of an earlier life wait for their subscriptions, which the boxes tell of."""
        self.pending_restore = {
            name.removeprefix(KEY_PREFIX).decode("utf-8", "replace"): raw
            for name, raw in values.items()
            if name.startswith(KEY_PREFIX)
        }

    def on_recovered(self) -> None:
        """Every box has greeted: seats whose subscriptions play no more are nobody's."""
        self.pending_restore.clear()
