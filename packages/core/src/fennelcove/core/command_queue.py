"""The core's part that holds what boxes are to be told; the core's lock is round all of it."""

from __future__ import annotations

from collections.abc import Callable

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import AttemptTarget, Session
from fennelcove.decisions.servers.command_queue import Command, CommandQueue


class CommandDispatcher:
    """Orders in the lines of their boxes, `most` of them. Attach `may_tell` and `ready` first."""

    def __init__(self, context: CoreContext, most: int) -> None:
        self.context = context
        self.queue = CommandQueue(most)
        self.may_tell: Callable[[str], bool] = lambda server: True
        self.ready: Callable[[], None] = lambda: None

    def send(self, place: AttemptTarget, session: Session, rung: int | None) -> None:
        """A box is to do this as soon as it can, unless it must hear nothing more from here."""
        self.send_to(place.server, session.id, place.attempt, rung)

    def send_to(self, server: str, id: str, attempt: int, rung: int | None) -> None:
        """As `tell`, for what may have no session any more."""
        self.put(Command(server, id, attempt, rung))

    def put(self, order: Command) -> None:
        """An order in the line of its box, unless the box must hear nothing more from here."""
        if self.may_tell(order.server):
            self.queue.add(order)
            self.ready()

    def next_command(self) -> tuple[Command | None, int | None]:
        """The next order for a box, or how long to wait for one (None: until there is one)."""
        with self.context.lock:
            now_us = self.context.now_us()
            order = self.queue.take(now_us)
            return order, None if order is not None else self.queue.wait_us(now_us)

    def on_command_completed(self, order: Command, carried_out: bool) -> None:
        """An order was carried out, or was not."""
        with self.context.lock:
            self.queue.done(order, carried_out, self.context.now_us())
