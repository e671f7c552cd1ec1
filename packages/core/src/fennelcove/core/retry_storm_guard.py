"""Damps retry storms: detects them, hands out waiting-room tickets, and bounds set-ups at each server.

The core's lock is held around every call.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace

import blake3

from fennelcove.core.context import Catalogue, CoreContext
from fennelcove.core.requests import ResponseKind, Session, SessionRequest, SessionResponse
from fennelcove.decisions.clients import waiting_room
from fennelcove.decisions.clients.count_min_sketch import CountMinSketch
from fennelcove.decisions.clients.retry_storm import RetryStormDetector, StormState
from fennelcove.decisions.clients.waiting_room import (
    QueueDecision,
    QueueTicket,
    TicketStatus,
    WaitingQueue,
    WaitingRoom,
)
from fennelcove.decisions.servers.aimd_limit import AimdLimits
from fennelcove.interface import Outcome
from fennelcove.placement import PlacementPolicy
from fennelcove.settings.schema import StormSettings

MAC_BYTES = 16

AdmissionRule = Callable[[SessionRequest, TicketStatus, WaitingQueue, int], QueueDecision]


def mac(key: bytes) -> Callable[[bytes], bytes]:
    """Return a function that computes a MAC of `MAC_BYTES` bytes under a key of 32 bytes."""
    return lambda data: blake3.blake3(data, key=key).digest(MAC_BYTES)


@dataclass(frozen=True, slots=True)
class StormStatus:
    """The `storm` section of the status; the field names are keys of the status JSON."""

    phase: str
    usual: float
    changes: int
    paces: dict[str, float]
    sign: str


class RetryStormGuard:
    """One front's storm detector, waiting room, and limits of set-ups at servers.

    Load shedding of a whole fleet assigns `ruler` (decides in place of this front's own detector), `ended`
    (takes whether an admitted request of a service class was served) and `sheds` (whether rejected requests
    get tickets). `attempted` takes the outcome of each attempt at a server.
    """

    def __init__(
        self,
        context: CoreContext,
        settings: StormSettings,
        own: bytes,
        catalogue: Catalogue,
        front: PlacementPolicy,
        turned: Callable[[str], None],
    ) -> None:
        """Create a guard.

        Args:
            context: What all parts of the core share.
            settings: The settings of storms.
            own: The key of this incarnation.
            catalogue: Service classes and titles.
            front: The placement policy.
            turned: Takes the name of each new state of the detector.
        """
        self._context = context
        self._settings = settings
        self._catalogue = catalogue
        self._policy = front
        self._on_state_changed = turned
        now_us = context.now_us()
        self.weather = RetryStormDetector(now_us)
        self.waiting_room = WaitingRoom()
        self._limits = AimdLimits()
        self._client_counts = CountMinSketch(_derived_mac(b"clients", own), now_us)
        self._ticket_counts = CountMinSketch(_derived_mac(b"tokens", own), now_us)
        self._macs = [_derived_mac(b"places", own)]  # the first signs tickets, all verify
        self.ruler: AdmissionRule | None = None
        self.ended: Callable[[str, bool], None] = lambda _service_class, _was_served: None
        self.sheds: Callable[[], bool] = lambda: False
        self.attempted: Callable[[str, Outcome], None] = lambda _server, _outcome: None

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Use keys that outlive this process; the first signs tickets, all verify them."""
        if keys:
            self._macs = [mac(key) for key in keys]

    # Admission.

    def before(self, ask: SessionRequest, now_us: int) -> SessionResponse | None:
        """Return the response to give a request at once, or None where the placement policy decides."""
        queue = self._advance(ask.title, now_us)
        window = self.weather.window
        window.asked += 1
        tries = self._client_counts.add(ask.client, now_us) if ask.client else 1
        ticket = self._ticket_of(ask)
        status = self._ticket_status(ask, ticket, ask.again or tries > 1, now_us)
        self._context.tally(f"storm_{status.name.lower()}")
        decision = self._decide(ask, status, queue, now_us)
        if decision is QueueDecision.LET_IN:
            window.let_in += 1
            queue.let_in += 1
            return None
        if decision is QueueDecision.KEEP_PLACE and ticket is not None:
            response = self._not_yet_due(ask, ticket)
        else:
            reason = "many ask at once; this is your place"
            response = self._with_ticket(ask, queue, reason, now_us, decision, ticket)
        return replace(response, standing=status.name.lower())

    def _advance(self, title: str, now_us: int) -> WaitingQueue:
        """Move the detector on by time, log a new state, and return the title's queue."""
        state, closed_window = self.weather.phase, self.weather.window
        self.weather.advance(now_us)
        queue = self.waiting_room.of(title, now_us)
        if self.weather.phase is not state:
            self._on_state_changed(self.weather.phase.name.lower())
            self._log_state(state, queue.pace, closed_window.asked, closed_window.refused)
        return queue

    def _log_state(self, state_before: StormState, pace: float, asked: int, refused: int) -> None:
        self._context.notice(
            "storm_phase",
            phase=self.weather.phase.name.lower(),
            was=state_before.name.lower(),
            usual=round(self.weather.usual, 1),
            pace=round(pace, 1),
            asked=asked,
            refused=refused,
        )

    def _decide(
        self, ask: SessionRequest, status: TicketStatus, queue: WaitingQueue, now_us: int
    ) -> QueueDecision:
        decision = QueueDecision.LET_IN
        if self.ruler is not None:
            decision = self.ruler(ask, status, queue, now_us)
        elif self._settings.damping and self.weather.damped():
            decision = waiting_room.TRANSITIONS[status, queue.room]
        if decision is not QueueDecision.BY_PACE:
            return decision
        service_class = self._catalogue.service_classes[ask.service_class]
        if queue.admit(status, queue.cost(service_class.benefit)):
            return QueueDecision.LET_IN
        return waiting_room.TURNED_AWAY[status]

    def _ticket_of(self, ask: SessionRequest) -> QueueTicket | None:
        return waiting_room.verify_ticket(ask.place, self._macs) if ask.place else None

    def _ticket_status(
        self, ask: SessionRequest, ticket: QueueTicket | None, is_retry: bool, now_us: int
    ) -> TicketStatus:
        requested = (ask.client, ask.title, ask.service_class)
        wall_us = self._context.wall_us()
        status = waiting_room.ticket_status(ticket, bool(ask.place), is_retry, requested, wall_us)
        is_usable = status in (TicketStatus.DUE, TicketStatus.LATE)
        if is_usable and self._ticket_counts.add(ask.place or "", now_us) > 1:
            return TicketStatus.INVENTED  # the ticket was used before, or passed on to others
        return status

    # Responses.

    def _not_yet_due(self, ask: SessionRequest, ticket: QueueTicket) -> SessionResponse:
        """Return the response to a request that comes before its ticket's time."""
        wall_us = self._context.wall_us()
        # With the short time that was left as its wait, a client that came too early came again and again and
        # used up its tries (10 of 38 observed); Retry-After cannot express such times either.
        wait_us = max(waiting_room.LEAST_WAIT_US, ticket.earliest_us - wall_us)
        latest_us = max(wait_us + waiting_room.SPAN_LEAST_US, ticket.latest_us - wall_us)
        reason = "your place is not due yet"
        return SessionResponse(ResponseKind.THROTTLED, reason, wait_us, latest_us, ask.place or "")

    def _with_ticket(
        self,
        ask: SessionRequest,
        queue: WaitingQueue,
        reason: str,
        now_us: int,
        decision: QueueDecision,
        ticket: QueueTicket | None,
    ) -> SessionResponse:
        """Return a rejection with a new ticket."""
        draw, vain_tries = self._context.rng.random(), 0
        if decision is QueueDecision.NEXT_PLACE:
            vain_tries = ticket.vain + 1 if ticket is not None else 1
            wait_us, latest_us = queue.soon(draw, vain_tries)
        else:
            max_wait_us = self._policy.settings.retry_after_us
            is_new = decision is QueueDecision.NEW_PLACE
            wait_us, latest_us = queue.promise(now_us, max_wait_us, draw, is_new)
        wall_us = self._context.wall_us()
        new_ticket = QueueTicket(
            ask.client, ask.title, ask.service_class, wall_us + wait_us, wall_us + latest_us, vain_tries
        )
        token = waiting_room.sign_ticket(new_ticket, self._macs[0])
        return SessionResponse(ResponseKind.THROTTLED, reason, wait_us, latest_us, token)

    def refused(self, session: Session, why: str, wait_us: int) -> SessionResponse:
        """Return the response to a request that the policy rejects; during a storm it has a ticket."""
        self.weather.window.refused += 1
        now_us = self._context.now_us()
        queue = self.waiting_room.of(session.title, now_us)
        queue.refused += 1
        self.ended(session.service_class, False)
        ask = session.ask
        if ask is None or not self._gives_tickets():
            return SessionResponse(ResponseKind.THROTTLED, why, wait_us)
        ticket = self._ticket_of(ask)
        decision = waiting_room.TURNED_AWAY[_rejected_status(ask, ticket)]
        return self._with_ticket(ask, queue, why, now_us, decision, ticket)

    def _gives_tickets(self) -> bool:
        return self.sheds() or (self._settings.damping and self.weather.damped())

    # Attempts.

    def enter(self, server: str) -> bool:
        """Count a set-up at a server; return False where it has as many under way as it may."""
        if not self._settings.box_limits or self._limits.enter(server):
            return True
        self._context.tally("joins_held_back")
        return False

    def on_attempt_completed(self, session: Session, server: str, outcome: Outcome, now_us: int) -> None:
        """Count the end of a set-up at a server."""
        if session.out_sent_us >= 0:
            self._limits.leave(server, outcome, session.out_sent_us, now_us)
        session.out_sent_us = -1
        was_served = outcome is Outcome.SERVED
        self.waiting_room.of(session.title, now_us).served += was_served
        if was_served:
            self.ended(session.service_class, True)
        self.attempted(server, outcome)

    def status(self) -> dict[str, object]:
        """Return the figures of the `storm` section of the status JSON."""
        detector = self.weather
        paces = self.waiting_room.waiting(self._context.now_us())
        status = StormStatus(
            phase=detector.phase.name.lower(),
            usual=round(detector.usual, 2),
            changes=detector.changes,
            paces={title: round(pace, 2) for title, pace in paces.items()},
            sign=detector.sign.name.lower(),
        )
        return asdict(status)


def _derived_mac(purpose: bytes, key: bytes) -> Callable[[bytes], bytes]:
    """Return a MAC under a key of its own for a purpose."""
    return mac(blake3.blake3(purpose, key=key).digest())


def _rejected_status(ask: SessionRequest, ticket: QueueTicket | None) -> TicketStatus:
    """Return the status of an admitted request that the policy rejects."""
    if ticket is not None:
        return TicketStatus.DUE  # it was admitted, so its ticket's time had come
    if ask.again or ask.place:
        return TicketStatus.AGAIN
    return TicketStatus.FIRST
