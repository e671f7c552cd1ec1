"""Damps retry storms: detects them, issues waiting-room tickets, and limits set-ups at each server.

The caller of every method holds the core's lock.
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
from fennelcove.settings.schema import RetryStormSettings

MAC_BYTES = 16

# Takes a request, its ticket's status, its title's queue and the time in microseconds.
AdmissionRule = Callable[[SessionRequest, TicketStatus, WaitingQueue, int], QueueDecision]


def keyed_mac(key: bytes) -> Callable[[bytes], bytes]:
    """Return a function that computes a MAC of `MAC_BYTES` bytes under a key of 32 bytes."""
    return lambda data: blake3.blake3(data, key=key).digest(MAC_BYTES)


@dataclass(frozen=True, slots=True)
class StormStatus:
    """The `storm` section of the status; the field names are keys of the status JSON.

    Attributes:
        phase: The state of the storm detector.
        usual: The usual number of requests per window.
        changes: How often the state has changed.
        paces: The admission rate of each title with a backlog.
        sign: The detector's last signal.
    """

    phase: str
    usual: float
    changes: int
    paces: dict[str, float]
    sign: str


class RetryStormGuard:
    """One front's storm detector, waiting room, and limits of set-ups at servers.

    Fleet-wide load shedding assigns `admission_rule` (decides in place of this front's own detector),
    `on_request_ended` (called with a service class and whether an admitted request of it was served) and
    `is_shedding` (returns whether rejected requests get tickets). `on_server_attempt_ended` is called with
    the outcome of each attempt at a server.
    """

    def __init__(
        self,
        context: CoreContext,
        settings: RetryStormSettings,
        incarnation_key: bytes,
        catalogue: Catalogue,
        policy: PlacementPolicy,
        on_state_changed: Callable[[str], None],
    ) -> None:
        """Create a guard.

        Args:
            context: The environment that all components of the core share.
            settings: The settings of retry-storm damping.
            incarnation_key: The secret key of this incarnation.
            catalogue: Service classes and titles.
            policy: The placement policy.
            on_state_changed: Called with the name of each new state of the detector.
        """
        self._context = context
        self._settings = settings
        self._catalogue = catalogue
        self._policy = policy
        self._on_state_changed = on_state_changed
        now_us = context.now_us()
        self.detector = RetryStormDetector(now_us)
        self.waiting_room = WaitingRoom()
        self._limits = AimdLimits()
        self._client_counts = CountMinSketch(_derived_mac(b"clients", incarnation_key), now_us)
        self._ticket_counts = CountMinSketch(_derived_mac(b"tokens", incarnation_key), now_us)
        self._macs = [
            _derived_mac(b"places", incarnation_key)
        ]  # the first one signs tickets, all of them verify
        self.admission_rule: AdmissionRule | None = None
        self.on_request_ended: Callable[[str, bool], None] = lambda _service_class, _was_served: None
        self.is_shedding: Callable[[], bool] = lambda: False
        self.on_server_attempt_ended: Callable[[str, Outcome], None] = lambda _server, _outcome: None

    def use_keys(self, keys: Sequence[bytes]) -> None:
        """Use keys that outlive this process; the first one signs tickets, all of them verify."""
        if keys:
            self._macs = [keyed_mac(key) for key in keys]

    # Admission.

    def check_request(self, request: SessionRequest, now_us: int) -> SessionResponse | None:
        """Return the rejection of a request, or None if it goes to the placement policy."""
        queue = self._advance(request.title, now_us)
        window = self.detector.window
        window.request_count += 1
        request_count = self._client_counts.add(request.client, now_us) if request.client else 1
        ticket = self._ticket_of(request)
        status = self._ticket_status(request, ticket, request.is_retry or request_count > 1, now_us)
        self._context.increment(f"storm_{status.name.lower()}")
        decision = self._decide(request, status, queue, now_us)
        if decision is QueueDecision.ADMIT:
            window.admitted_count += 1
            queue.admitted_count += 1
            return None
        if decision is QueueDecision.KEEP_TICKET and ticket is not None:
            response = self._rejection_with_same_ticket(request, ticket)
        else:
            reason = "many ask at once; this is your place"
            response = self._rejection_with_new_ticket(request, queue, reason, now_us, decision, ticket)
        return replace(response, ticket_status=status.name.lower())

    def _advance(self, title: str, now_us: int) -> WaitingQueue:
        """Advance the detector by time, log a new state, and return the title's queue."""
        state, closed_window = self.detector.state, self.detector.window
        self.detector.advance(now_us)
        queue = self.waiting_room.queue_for(title, now_us)
        if self.detector.state is not state:
            self._on_state_changed(self.detector.state.name.lower())
            self._log_state(
                state, queue.rate_per_s, closed_window.request_count, closed_window.rejected_count
            )
        return queue

    def _log_state(self, state_before: StormState, rate: float, requested: int, rejected: int) -> None:
        self._context.log_event(
            "storm_phase",
            phase=self.detector.state.name.lower(),
            was=state_before.name.lower(),
            usual=round(self.detector.baseline, 1),
            pace=round(rate, 1),
            asked=requested,
            refused=rejected,
        )

    def _decide(
        self, request: SessionRequest, status: TicketStatus, queue: WaitingQueue, now_us: int
    ) -> QueueDecision:
        decision = QueueDecision.ADMIT
        if self.admission_rule is not None:
            decision = self.admission_rule(request, status, queue, now_us)
        elif self._settings.damping and self.detector.is_damping():
            decision = waiting_room.DECISIONS[status, queue.capacity]
        if decision is not QueueDecision.ADMIT_AT_RATE:
            return decision
        service_class = self._catalogue.service_classes[request.service_class]
        if queue.admit(status, queue.cost(service_class.benefit)):
            return QueueDecision.ADMIT
        return waiting_room.REJECTED_DECISIONS[status]

    def _ticket_of(self, request: SessionRequest) -> QueueTicket | None:
        return waiting_room.verify_ticket(request.queue_ticket, self._macs) if request.queue_ticket else None

    def _ticket_status(
        self, request: SessionRequest, ticket: QueueTicket | None, is_retry: bool, now_us: int
    ) -> TicketStatus:
        requested = (request.client, request.title, request.service_class)
        wall_us = self._context.wall_us()
        status = waiting_room.ticket_status(ticket, bool(request.queue_ticket), is_retry, requested, wall_us)
        is_usable = status in (TicketStatus.DUE, TicketStatus.LATE)
        if is_usable and self._ticket_counts.add(request.queue_ticket or "", now_us) > 1:
            return TicketStatus.INVENTED  # the ticket was used before, or shared with other clients
        return status

    # Responses.

    def _rejection_with_same_ticket(self, request: SessionRequest, ticket: QueueTicket) -> SessionResponse:
        """Return the response to a request that arrives before its ticket's window."""
        wall_us = self._context.wall_us()
        # At least the minimum wait: given only the remaining time, clients that were too early retried again
        # and again until their retries were used up (10 of 38 observed). Retry-After cannot express such
        # short times either.
        wait_us = max(waiting_room.MIN_WAIT_US, ticket.earliest_us - wall_us)
        latest_us = max(wait_us + waiting_room.MIN_WINDOW_US, ticket.latest_us - wall_us)
        reason = "your place is not due yet"
        return SessionResponse(ResponseKind.REJECTED, reason, wait_us, latest_us, request.queue_ticket or "")

    def _rejection_with_new_ticket(
        self,
        request: SessionRequest,
        queue: WaitingQueue,
        reason: str,
        now_us: int,
        decision: QueueDecision,
        ticket: QueueTicket | None,
    ) -> SessionResponse:
        """Return a rejection with a new ticket."""
        draw, rejection_count = self._context.rng.random(), 0
        if decision is QueueDecision.EARLY_TICKET:
            rejection_count = ticket.vain + 1 if ticket is not None else 1
            wait_us, latest_us = queue.early_window(draw, rejection_count)
        else:
            max_wait_us = self._policy.settings.retry_after_us
            is_new = decision is QueueDecision.NEW_TICKET
            wait_us, latest_us = queue.reserve_window(now_us, max_wait_us, draw, is_new)
        wall_us = self._context.wall_us()
        new_ticket = QueueTicket(
            request.client,
            request.title,
            request.service_class,
            wall_us + wait_us,
            wall_us + latest_us,
            rejection_count,
        )
        token = waiting_room.sign_ticket(new_ticket, self._macs[0])
        return SessionResponse(ResponseKind.REJECTED, reason, wait_us, latest_us, token)

    def reject(self, session: Session, reason: str, wait_us: int) -> SessionResponse:
        """Return the response to a request that the policy rejects; during a storm it includes a ticket."""
        self.detector.window.rejected_count += 1
        now_us = self._context.now_us()
        queue = self.waiting_room.queue_for(session.title, now_us)
        queue.rejected_count += 1
        self.on_request_ended(session.service_class, False)
        request = session.request
        if request is None or not self._issues_tickets():
            return SessionResponse(ResponseKind.REJECTED, reason, wait_us)
        ticket = self._ticket_of(request)
        decision = waiting_room.REJECTED_DECISIONS[_rejected_status(request, ticket)]
        return self._rejection_with_new_ticket(request, queue, reason, now_us, decision, ticket)

    def _issues_tickets(self) -> bool:
        return self.is_shedding() or (self._settings.damping and self.detector.is_damping())

    # Attempts.

    def try_start_set_up(self, server: str) -> bool:
        """Count a set-up at a server; return False if the server is at its limit of concurrent set-ups."""
        if not self._settings.box_limits or self._limits.try_acquire(server):
            return True
        self._context.increment("joins_held_back")
        return False

    def on_attempt_completed(self, session: Session, server: str, outcome: Outcome, now_us: int) -> None:
        """Handle the end of a set-up at a server."""
        if session.attempt_sent_us >= 0:
            self._limits.release(server, outcome, session.attempt_sent_us, now_us)
        session.attempt_sent_us = -1
        was_served = outcome is Outcome.SERVED
        self.waiting_room.queue_for(session.title, now_us).served_count += was_served
        if was_served:
            self.on_request_ended(session.service_class, True)
        self.on_server_attempt_ended(server, outcome)

    def status(self) -> dict[str, object]:
        """Return the figures of the `storm` section of the status JSON."""
        detector = self.detector
        rates = self.waiting_room.backlogged_rates(self._context.now_us())
        status = StormStatus(
            phase=detector.state.name.lower(),
            usual=round(detector.baseline, 2),
            changes=detector.transition_count,
            paces={title: round(rate, 2) for title, rate in rates.items()},
            sign=detector.signal.name.lower(),
        )
        return asdict(status)


def _derived_mac(purpose: bytes, key: bytes) -> Callable[[bytes], bytes]:
    """Return a MAC function whose key is derived from `key` for a purpose."""
    return keyed_mac(blake3.blake3(purpose, key=key).digest())


def _rejected_status(request: SessionRequest, ticket: QueueTicket | None) -> TicketStatus:
    """Return the status of an admitted request that the policy rejects."""
    if ticket is not None:
        return TicketStatus.DUE  # it was admitted, so its ticket's window had begun
    if request.is_retry or request.queue_ticket:
        return TicketStatus.AGAIN
    return TicketStatus.FIRST
