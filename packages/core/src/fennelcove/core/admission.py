"""Admission control of a front: which connections, requests and sessions it accepts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fennelcove.core.context import CoreContext
from fennelcove.core.requests import ResponseKind, Session, SessionRequest, SessionResponse
from fennelcove.decisions.clients.admission import (
    AdmissionController,
    AdmissionDecision,
    AdmissionEvent,
    AdmissionRequest,
)
from fennelcove.placement import PlacementPolicy

AdmissionRule = Callable[[SessionRequest, int], SessionResponse | None]
"""Takes a request and the time in microseconds; returns a rejection, or None to accept."""

REJECTION_REASONS = {
    AdmissionDecision.FULL: "this front holds all that it can",
    AdmissionDecision.DRAINING: "this front drains; another has room",
    AdmissionDecision.CLOSING: "this front is stopping",
}


@dataclass(frozen=True, slots=True)
class AdmissionStatus:
    """The admission state of a front; the field names are keys of its JSON.

    Attributes:
        front: The front's name.
        phase: The state of its admission control.
        held: The number of sessions.
        waiting: The number of pending requests.
    """

    front: str
    phase: str
    held: int
    waiting: int


class Admission:
    """Applies the configured limits and, to requests, the admission rules in their order."""

    def __init__(
        self, context: CoreContext, front_name: str, controller: AdmissionController, policy: PlacementPolicy
    ) -> None:
        self.context = context
        self.front_name = front_name
        self.controller = controller
        self.policy = policy
        self._rules: list[AdmissionRule] = []

    def add_rule(self, rule: AdmissionRule) -> None:
        """Add a rule that is checked after the others."""
        self._rules.append(rule)

    def add_first_rule(self, rule: AdmissionRule) -> None:
        """Add a rule that is checked before the others."""
        self._rules.insert(0, rule)

    def try_admit(self, kind: AdmissionRequest) -> SessionResponse | None:
        """Admit and count a connection, request or session; return the rejection if it is not admitted."""
        with self.context.lock:
            decision = self.controller.admit(kind)
            if decision is AdmissionDecision.LET_IN:
                return None
            self.context.increment(f"refused_{kind.name.lower()}_{decision.name.lower()}")
            reason = REJECTION_REASONS[decision]
            return SessionResponse(ResponseKind.REJECTED, reason, self.retry_after_us())

    def try_admit_request(self, request: SessionRequest, now_us: int) -> SessionResponse | None:
        """Admit and count a request and its session; the caller holds the core's lock."""
        rejection = self.try_admit(AdmissionRequest.REQUEST)
        if rejection is not None:
            return rejection
        rejection = self.try_admit(AdmissionRequest.SUBSCRIPTION)
        if rejection is not None:
            self.controller.on_request_answered(0)
            return rejection
        rejection = self._first_rejection(request, now_us)
        if rejection is not None:
            self.controller.on_request_answered(0)
            self.controller.on_session_closed()
            self.context.increment("damped")
        return rejection

    def _first_rejection(self, request: SessionRequest, now_us: int) -> SessionResponse | None:
        for rule in self._rules:
            rejection = rule(request, now_us)
            if rejection is not None:
                return rejection
        return None

    def retry_after_us(self) -> int:
        """Return a randomised time after which a rejected client should retry."""
        with self.context.lock:
            draw = self.context.rng.random()
            return self.controller.retry_after_us(draw, self.policy.settings.retry_after_us)

    def stop(self) -> None:
        """Reject everything from now on, as the front shuts down."""
        with self.context.lock:
            self.controller.apply(AdmissionEvent.STOP)

    def change_state(self, event: AdmissionEvent) -> AdmissionStatus:
        """Drain this front or readmit clients, by an operator's command; return the new status."""
        with self.context.lock:
            state = self.controller.apply(event).name.lower()
            self.context.log_event("admission_state_changed", turn=event.name.lower(), phase=state)
            return AdmissionStatus(
                self.front_name, state, self.controller.sessions, self.controller.pending_requests
            )

    def reserve_buffer(self, more_bytes: int) -> bool:
        """Count bytes that are read but not processed yet; return False if they exceed the limit."""
        with self.context.lock:
            return self.controller.reserve_buffer(more_bytes)

    def effective_timeout_us(self, limit_us: int) -> int:
        """Return how long an idle or slow connection may stay open under the current load."""
        with self.context.lock:
            return self.controller.connection_timeout_us(limit_us)

    def on_connection_closed(self) -> None:
        """Stop counting a connection that was admitted."""
        with self.context.lock:
            self.controller.on_connection_closed()

    def on_request_answered(self, session: Session) -> None:
        """Stop counting an admitted request, whose response is ready to be written."""
        with self.context.lock:
            self.controller.on_request_answered(self.context.now_us() - session.received_us)

    def on_session_closed(self, session: Session) -> None:
        """Stop counting a session."""
        self.controller.on_session_closed()
