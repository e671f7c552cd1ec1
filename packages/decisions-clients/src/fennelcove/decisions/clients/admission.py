"""Admission control of the front: bounds on connections, pending requests, sessions and buffered bytes.

Beyond a bound, requests are rejected at once with a Retry-After; nothing is queued without a bound.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Never

from fennelcove.decisions.clients.wait_window import WaitWindow
from fennelcove.state_machine import Transition, TransitionTable


class AdmissionState(Enum):
    """Whether the front accepts new work; member names appear in the status response."""

    OPEN = auto()
    DRAINING = auto()  # by an operator's command: no new work, sessions continue, and it can be undone
    STOPPING = auto()


class AdmissionEvent(Enum):
    """A command of an operator or of the shutdown; member names appear in logs."""

    DRAIN = auto()
    UNDRAIN = auto()
    STOP = auto()


STATE_TRANSITIONS: TransitionTable[AdmissionState, AdmissionEvent, Never] = TransitionTable(
    {
        (AdmissionState.OPEN, AdmissionEvent.DRAIN): Transition(AdmissionState.DRAINING),
        (AdmissionState.OPEN, AdmissionEvent.UNDRAIN): Transition(AdmissionState.OPEN),
        (AdmissionState.OPEN, AdmissionEvent.STOP): Transition(AdmissionState.STOPPING),
        (AdmissionState.DRAINING, AdmissionEvent.DRAIN): Transition(AdmissionState.DRAINING),
        (AdmissionState.DRAINING, AdmissionEvent.UNDRAIN): Transition(AdmissionState.OPEN),
        (AdmissionState.DRAINING, AdmissionEvent.STOP): Transition(AdmissionState.STOPPING),
        # A shutdown can't be undone.
        (AdmissionState.STOPPING, AdmissionEvent.DRAIN): Transition(AdmissionState.STOPPING),
        (AdmissionState.STOPPING, AdmissionEvent.UNDRAIN): Transition(AdmissionState.STOPPING),
        (AdmissionState.STOPPING, AdmissionEvent.STOP): Transition(AdmissionState.STOPPING),
    }
)


class AdmissionRequest(Enum):
    """What requires admission; member names appear in counters."""

    CONNECTION = auto()
    REQUEST = auto()  # a set-up, which counts until it gets its response
    SUBSCRIPTION = auto()  # a session, which counts for as long as it plays


class AdmissionDecision(Enum):
    """The decision on an admission request; member names appear in counters."""

    LET_IN = auto()
    FULL = auto()  # respond with 503 at once: a bound is reached
    DRAINING = auto()  # respond with 503 at once: use another front
    CLOSING = auto()  # respond with 503 at once: this front is stopping


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """The upper bounds of a front."""

    connections: int
    pending_requests: int
    sessions: int
    buffered_bytes: int


# The decisions by the front's state, before any bound is checked.
ADMISSION_RULES: dict[tuple[AdmissionState, AdmissionRequest], AdmissionDecision] = {
    (AdmissionState.OPEN, AdmissionRequest.CONNECTION): AdmissionDecision.LET_IN,
    (AdmissionState.OPEN, AdmissionRequest.REQUEST): AdmissionDecision.LET_IN,
    (AdmissionState.OPEN, AdmissionRequest.SUBSCRIPTION): AdmissionDecision.LET_IN,
    # Clients with sessions at this front still poll, fetch and release.
    (AdmissionState.DRAINING, AdmissionRequest.CONNECTION): AdmissionDecision.LET_IN,
    (AdmissionState.DRAINING, AdmissionRequest.REQUEST): AdmissionDecision.DRAINING,
    (AdmissionState.DRAINING, AdmissionRequest.SUBSCRIPTION): AdmissionDecision.DRAINING,
    (AdmissionState.STOPPING, AdmissionRequest.CONNECTION): AdmissionDecision.CLOSING,
    (AdmissionState.STOPPING, AdmissionRequest.REQUEST): AdmissionDecision.CLOSING,
    (AdmissionState.STOPPING, AdmissionRequest.SUBSCRIPTION): AdmissionDecision.CLOSING,
}

WAIT_SMOOTHING = 16  # requests over which the wait is averaged, as in the placement policy
MIN_RETRY_AFTER_US = 1_000_000  # Retry-After counts whole seconds, so a shorter wait can't be expressed
MIN_SETUP_US = 1000.0  # duration of a set-up at a front without other requests
MAX_RECONNECT_SPAN_US = 30_000_000
PRESSURE_THRESHOLD = 0.5  # above this fraction of the connections, idle ones get shorter time-outs
MIN_TIMEOUT_FRACTION = 0.1
US_PER_S = 1_000_000


class AdmissionController:
    """Decides on admission requests, and counts what was admitted.

    The caller supplies times and holds the lock.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self.limits = limits
        self.state = AdmissionState.OPEN
        self.connections = 0
        self.pending_requests = 0
        self.sessions = 0
        self.buffered_bytes = 0
        self.average_wait_us = 0.0
        self.rejected_count = 0

    def admit(self, entry: AdmissionRequest) -> AdmissionDecision:
        """Decide on a request; an admitted one is counted."""
        decision = ADMISSION_RULES[self.state, entry]
        if decision is AdmissionDecision.LET_IN and not self._has_capacity(entry):
            decision = AdmissionDecision.FULL
        if decision is AdmissionDecision.LET_IN:
            self._count(entry)
        else:
            self.rejected_count += 1
        return decision

    def _has_capacity(self, entry: AdmissionRequest) -> bool:
        if self.buffered_bytes >= self.limits.buffered_bytes:
            return False
        if entry is AdmissionRequest.CONNECTION:
            return self.connections < self.limits.connections
        if entry is AdmissionRequest.REQUEST:
            return self.pending_requests < self.limits.pending_requests
        return self.sessions < self.limits.sessions

    def _count(self, entry: AdmissionRequest) -> None:
        if entry is AdmissionRequest.CONNECTION:
            self.connections += 1
        elif entry is AdmissionRequest.REQUEST:
            self.pending_requests += 1
        else:
            self.sessions += 1

    def on_connection_closed(self) -> None:
        """Count an admitted connection as closed."""
        self.connections -= 1

    def on_request_answered(self, waited_us: int) -> None:
        """Count an admitted request as answered after this wait."""
        self.pending_requests -= 1
        self.average_wait_us += (waited_us - self.average_wait_us) / WAIT_SMOOTHING

    def on_session_closed(self) -> None:
        """Count an admitted session as closed."""
        self.sessions -= 1

    def reserve_buffer(self, more_bytes: int) -> bool:
        """Count bytes that were read and are not yet processed; negative numbers count processed bytes.

        Returns:
            False where the bytes must be dropped, since they would exceed the bound.
        """
        if more_bytes > 0 and self.buffered_bytes + more_bytes > self.limits.buffered_bytes:
            return False
        self.buffered_bytes += more_bytes
        return True

    def apply(self, event: AdmissionEvent) -> AdmissionState:
        """Drain, reopen or stop the front; return its new state."""
        self.state = STATE_TRANSITIONS.apply(self.state, event).state
        return self.state

    def retry_after_us(self, draw: float, max_wait_us: int | None) -> int:
        """The Retry-After of a rejected request, in microseconds.

        It is the time in which the requests that wait now will have been served, spread at random over up to
        twice that time, so that clients rejected at the same moment do not return at the same moment.

        Args:
            draw: a random number, from 0 up to 1.
            max_wait_us: the longest wait that clients accept; None for any.
        """
        wait_us = max(MIN_RETRY_AFTER_US, 2 * self.average_wait_us) * (1 + draw)
        if max_wait_us is not None:
            wait_us = min(wait_us, max(max_wait_us, MIN_RETRY_AFTER_US))
        return round(wait_us)

    def connection_timeout_us(self, limit_us: int) -> int:
        """The time-out of an idle or slow connection, which is shorter the more connections are in use.

        Otherwise a few hundred connections that send a byte a second would exclude all other clients. The
        time-out falls from the configured one, at half of the connections, to a tenth of it at all of them.
        """
        utilization = self.connections / self.limits.connections
        if utilization <= PRESSURE_THRESHOLD:
            return limit_us
        residual = max(0.0, (1 - utilization) / (1 - PRESSURE_THRESHOLD))
        fraction = MIN_TIMEOUT_FRACTION + (1 - MIN_TIMEOUT_FRACTION) * residual
        return max(1, round(limit_us * fraction))


def retry_after_s(wait_us: int) -> int:
    """A wait as Retry-After counts it (RFC 9110 section 10.2.3): whole seconds, rounded up, at least one."""
    return max(1, -(-wait_us // US_PER_S))


def reconnect_window_us(connections: int, average_wait_us: float) -> WaitWindow:
    """When the clients of a stopping front should reconnect elsewhere.

    The window is as long as a front takes to serve that many set-ups one after another, so that the
    resumed sessions do not overload it.
    """
    span_us = max(MIN_RETRY_AFTER_US, round(connections * max(average_wait_us, MIN_SETUP_US)))
    return WaitWindow(MIN_RETRY_AFTER_US, MIN_RETRY_AFTER_US + min(span_us, MAX_RECONNECT_SPAN_US))
