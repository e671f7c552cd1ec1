"""The core's part that keeps seats which expire; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Mapping

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.core.requests import Session
from fennelcove.decisions.clients.seat_leases import SeatAction, SeatLeases

SEAT = b"seat/"


class SeatLeaseManager:
    """Seats of one front."""

    def __init__(self, context: CoreContext, catalogue: Catalogue, lifecycle: SessionLifecycle) -> None:
        self.context = context
        self.catalogue = catalogue
        self.lifecycle = lifecycle
        self.seats = SeatLeases()
        self.unread: dict[str, bytes] = {}

    def length_us(self, service_class: str) -> int:
        """For how long a seat of a room type lasts; 0 for as long as it plays."""
        return round(self.catalogue.service_classes[service_class].seat_ms * 1000)

    def plays(self, session: Session) -> None:
        """A subscription plays: set up, moved, or adopted from an earlier life."""
        length_us = self.length_us(session.service_class)
        if not length_us:
            return
        wall_us = self.context.wall_us()
        raw = self.unread.pop(session.id, None)
        if raw is not None and self.seats.restore(session.id, raw, length_us, wall_us):
            return
        self.seats.take(session.id, (session.title, session.service_class), length_us, wall_us)

    def left_us(self, id: str) -> int | None:
        """For how long a seat lasts; None for one that does not expire."""
        seat = self.seats.held.get(id)
        return None if seat is None else max(0, seat.until_us - self.context.wall_us())

    def renew(self, id: str, key: str) -> int | None:
        """A viewer keeps its seat; how long it lasts now, None where it has none."""
        with self.context.lock:
            step = self.seats.renew(id, key, self.context.wall_us())
            self.context.tally(f"seats_{step.act.name.lower()}")
            return None if step.act is SeatAction.REFUSE else self.left_us(id)

    def over(self, session: Session) -> None:
        """A subscription has ended."""
        self.seats.release(session.id, self.context.wall_us())

    def sweep(self) -> None:
        """End what has not been renewed."""
        with self.context.lock:
            for step in self.seats.expired(self.context.wall_us()):
                self.context.tally("seats_expired")
                self.lifecycle.release(step.id, "its seat was not renewed")

    # For the store.

    def kept(self) -> list[tuple[bytes, bytes]]:
        """What outlives this life."""
        found = [(SEAT + id.encode(), raw) for id, raw in self.seats.kept()]
        return found + [(SEAT + id.encode(), raw) for id, raw in self.unread.items()]

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Seats of an earlier life wait for their subscriptions, which the boxes tell of."""
        self.unread = {
            name.removeprefix(SEAT).decode("utf-8", "replace"): raw
            for name, raw in values.items()
            if name.startswith(SEAT)
        }

    def opened(self) -> None:
        """Every box has greeted: seats whose subscriptions play no more are nobody's."""
        self.unread.clear()
