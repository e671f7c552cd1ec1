"""The core's part that sees storms, gives out places and bounds set-ups at boxes; the core's lock is round
it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import blake3

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.requests import ResponseKind, SessionResponse, SessionRequest, Session
from fennelcove.decisions.clients import waiting_room
from fennelcove.decisions.clients.count_min_sketch import CountMinSketch
from fennelcove.decisions.servers.aimd_limit import AimdLimits
from fennelcove.decisions.clients.waiting_room import (
    QueueTicket,
    WaitingQueue,
    WaitingRoom,
    QueueDecision,
    TicketStatus,
)
from fennelcove.decisions.clients.retry_storm import RetryStormDetector
from fennelcove.interface import Outcome
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import StormSettings

MAC_BYTES = 16


def mac(key: bytes) -> Callable[[bytes], bytes]:
    """A keyed MAC of 16 bytes; the key has 32."""
    return lambda data: blake3.blake3(data, key=key).digest(MAC_BYTES)


class RetryStormGuard:
    """One front's weather, its queue of places, its boxes' limits, and its keys, the newest first; `own` is
    the key of this life. `turned` hears of each new phase."""

    def __init__(
        self,
        context: CoreContext,
        settings: StormSettings,
        own: bytes,
        catalogue: Catalogue,
        front: PlacementPolicy,
        turned: Callable[[str], None],
    ) -> None:
        self.context = context
        self.settings = settings
        self.catalogue = catalogue
        self.front = front
        self.turned = turned
        now_us = context.now_us()
        self.weather = RetryStormDetector(now_us)
        self.queues = WaitingRoom()
        self.limits = AimdLimits()
        self.clients = CountMinSketch(mac(blake3.blake3(b"clients", key=own).digest()), now_us)
        self.tokens = CountMinSketch(mac(blake3.blake3(b"tokens", key=own).digest()), now_us)
        self.macs = [mac(blake3.blake3(b"places", key=own).digest())]
        # Where a whole fleet sheds, it rules in place of this front's own weather.
        self.ruler: Callable[[SessionRequest, TicketStatus, WaitingQueue, int], QueueDecision] | None = None
        self.ended: Callable[[str, bool], None] = lambda service_class, served: None
        self.sheds: Callable[[], bool] = lambda: False
        self.attempted: Callable[[str, Outcome], None] = lambda server, outcome: None

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Keys that outlive this process; the first seals, all are known."""
        if keys:
            self.macs = [mac(key) for key in keys]

    def before(self, ask: SessionRequest, now_us: int) -> SessionResponse | None:
        """A viewer asks: the answer to give at once, or None where the module is to be asked."""
        phase, last = self.weather.phase, self.weather.window
        self.weather.advance(now_us)
        queue = self.queues.of(ask.title, now_us)
        if self.weather.phase is not phase:
            self.turned(self.weather.phase.name.lower())
            self.context.notice(
                "storm_phase",
                phase=self.weather.phase.name.lower(),
                was=phase.name.lower(),
                usual=round(self.weather.usual, 1),
                pace=round(queue.pace, 1),
                asked=last.asked,
                refused=last.refused,
            )
        window = self.weather.window
        window.asked += 1
        tries = self.clients.add(ask.client, now_us) if ask.client else 1
        held = self._held(ask)
        who = self._standing(ask, held, ask.again or tries > 1, now_us)
        self.context.tally(f"storm_{who.name.lower()}")
        ruling = QueueDecision.LET_IN
        if self.ruler is not None:
            ruling = self.ruler(ask, who, queue, now_us)
        elif self.settings.damping and self.weather.damped():
            ruling = waiting_room.TRANSITIONS[who, queue.room]
        if ruling is QueueDecision.BY_PACE:
            admitted = queue.admit(who, queue.cost(self.catalogue.service_classes[ask.service_class].benefit))
            ruling = QueueDecision.LET_IN if admitted else waiting_room.TURNED_AWAY[who]
        if ruling is QueueDecision.LET_IN:
            window.let_in += 1
            queue.let_in += 1
            return None
        if ruling is QueueDecision.KEEP_PLACE:
            assert held is not None
            return replace(self._kept(ask, held), standing=who.name.lower())
        placed = self._place(ask, queue, "many ask at once; this is your place", now_us, ruling, held)
        return replace(placed, standing=who.name.lower())

    def _held(self, ask: SessionRequest) -> QueueTicket | None:
        return waiting_room.verify_ticket(ask.place, self.macs) if ask.place else None

    def _standing(
        self, ask: SessionRequest, place: QueueTicket | None, again: bool, now_us: int
    ) -> TicketStatus:
        asked = (ask.client, ask.title, ask.service_class)
        who = waiting_room.ticket_status(place, bool(ask.place), again, asked, self.context.wall_us())
        if who in (TicketStatus.DUE, TicketStatus.LATE) and self.tokens.add(ask.place or "", now_us) > 1:
            return TicketStatus.INVENTED  # one place, shown again: it has been used, or handed round
        return who

    def _kept(self, ask: SessionRequest, place: QueueTicket) -> SessionResponse:
        wall_us = self.context.wall_us()
        # Told the few moments that were left, one that comes too early came again and again, and used up its
        # tries (10 of 38 watched); Retry-After could not say them either.
        wait_us = max(waiting_room.LEAST_WAIT_US, place.earliest_us - wall_us)
        latest_us = max(wait_us + waiting_room.SPAN_LEAST_US, place.latest_us - wall_us)
        return SessionResponse(
            ResponseKind.THROTTLED, "your place is not due yet", wait_us, latest_us, ask.place or ""
        )

    def _place(
        self,
        ask: SessionRequest,
        queue: WaitingQueue,
        why: str,
        now_us: int,
        ruling: QueueDecision,
        held: QueueTicket | None,
    ) -> SessionResponse:
        most_us = self.front.settings.retry_after_us
        draw, vain = self.context.rng.random(), 0
        if ruling is QueueDecision.NEXT_PLACE:
            vain = held.vain + 1 if held is not None else 1
            wait_us, latest_us = queue.soon(draw, vain)
        else:
            wait_us, latest_us = queue.promise(now_us, most_us, draw, ruling is QueueDecision.NEW_PLACE)
        wall_us = self.context.wall_us()
        place = QueueTicket(
            ask.client, ask.title, ask.service_class, wall_us + wait_us, wall_us + latest_us, vain
        )
        return SessionResponse(
            ResponseKind.THROTTLED, why, wait_us, latest_us, waiting_room.sign_ticket(place, self.macs[0])
        )

    def refused(self, session: Session, why: str, wait_us: int) -> SessionResponse:
        """The module throttles: with a place while a storm lasts, else as it says."""
        self.weather.window.refused += 1
        now_us = self.context.now_us()
        queue = self.queues.of(session.title, now_us)
        queue.refused += 1
        self.ended(session.service_class, False)
        if session.ask is None or not (self.sheds() or (self.settings.damping and self.weather.damped())):
            return SessionResponse(ResponseKind.THROTTLED, why, wait_us)
        # Only a place whose time had come was let in to be refused.
        held = self._held(session.ask)
        again = session.ask.again or bool(session.ask.place)
        who = TicketStatus.DUE if held is not None else TicketStatus.AGAIN if again else TicketStatus.FIRST
        return self._place(session.ask, queue, why, now_us, waiting_room.TURNED_AWAY[who], held)

    def enter(self, server: str) -> bool:
        """Whether a box may have one more set-up under way; one that may is counted."""
        if not self.settings.box_limits or self.limits.enter(server):
            return True
        self.context.tally("joins_held_back")
        return False

    def on_attempt_completed(self, session: Session, server: str, outcome: Outcome, now_us: int) -> None:
        """A set-up has ended."""
        if session.out_sent_us >= 0:
            self.limits.leave(server, outcome, session.out_sent_us, now_us)
        session.out_sent_us = -1
        self.queues.of(session.title, now_us).served += outcome is Outcome.SERVED
        if outcome is Outcome.SERVED:
            self.ended(session.service_class, True)
        self.attempted(server, outcome)

    def status(self) -> dict[str, object]:
        """Figures for an operator."""
        weather = self.weather
        return {
            "phase": weather.phase.name.lower(),
            "usual": round(weather.usual, 2),
            "changes": weather.changes,
            "paces": {
                title: round(pace, 2) for title, pace in self.queues.waiting(self.context.now_us()).items()
            },
            "sign": weather.sign.name.lower(),
        }
