"""What the door lets in: bounds on connections, waiting requests and buffered bytes, and how patient it is.

Past a bound the answer is an immediate refusal with a time to come back; nothing is queued that can't be
bounded.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class AdmissionState(Enum):
    """How the front stands towards new work."""

    OPEN = auto()
    DRAINING = auto()  # an operator wants nothing new here; what is held goes on, and it may be opened again
    STOPPING = auto()


class AdmissionEvent(Enum):
    """What an operator, or the end, does with it."""

    DRAIN = auto()
    UNDRAIN = auto()
    STOP = auto()


STATE_TRANSITIONS: dict[tuple[AdmissionState, AdmissionEvent], AdmissionState] = {
    (AdmissionState.OPEN, AdmissionEvent.DRAIN): AdmissionState.DRAINING,
    (AdmissionState.OPEN, AdmissionEvent.UNDRAIN): AdmissionState.OPEN,
    (AdmissionState.OPEN, AdmissionEvent.STOP): AdmissionState.STOPPING,
    (AdmissionState.DRAINING, AdmissionEvent.DRAIN): AdmissionState.DRAINING,
    (AdmissionState.DRAINING, AdmissionEvent.UNDRAIN): AdmissionState.OPEN,
    (AdmissionState.DRAINING, AdmissionEvent.STOP): AdmissionState.STOPPING,
    # There is no way back from an end.
    (AdmissionState.STOPPING, AdmissionEvent.DRAIN): AdmissionState.STOPPING,
    (AdmissionState.STOPPING, AdmissionEvent.UNDRAIN): AdmissionState.STOPPING,
    (AdmissionState.STOPPING, AdmissionEvent.STOP): AdmissionState.STOPPING,
}


class Entry(Enum):
    """What asks to be let in."""

    CONNECTION = auto()
    REQUEST = auto()  # a set-up that will wait for its answer
    SUBSCRIPTION = auto()  # one more to hold while it plays


class AdmissionDecision(Enum):
    """What the door does."""

    LET_IN = auto()
    FULL = auto()  # answer 503 at once: a bound is reached
    DRAINING = auto()  # answer 503 at once: go to another front
    CLOSING = auto()  # answer 503 at once: this front is stopping


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """The most of each that the front holds."""

    connections: int
    pending_requests: int
    sessions: int
    buffered_bytes: int


# The refusals that come before anything is counted.
ADMISSION_RULES: dict[tuple[AdmissionState, Entry], AdmissionDecision] = {
    (AdmissionState.OPEN, Entry.CONNECTION): AdmissionDecision.LET_IN,
    (AdmissionState.OPEN, Entry.REQUEST): AdmissionDecision.LET_IN,
    (AdmissionState.OPEN, Entry.SUBSCRIPTION): AdmissionDecision.LET_IN,
    # Those who play here still poll, fetch and release.
    (AdmissionState.DRAINING, Entry.CONNECTION): AdmissionDecision.LET_IN,
    (AdmissionState.DRAINING, Entry.REQUEST): AdmissionDecision.DRAINING,
    (AdmissionState.DRAINING, Entry.SUBSCRIPTION): AdmissionDecision.DRAINING,
    (AdmissionState.STOPPING, Entry.CONNECTION): AdmissionDecision.CLOSING,
    (AdmissionState.STOPPING, Entry.REQUEST): AdmissionDecision.CLOSING,
    (AdmissionState.STOPPING, Entry.SUBSCRIPTION): AdmissionDecision.CLOSING,
}

WAIT_SMOOTHING = 16  # as the module smooths what it averages over requests
MIN_RETRY_AFTER_US = 1_000_000  # Retry-After counts whole seconds: less can't be told to every client
MIN_SETUP_US = 1000.0  # what an answer costs a front that is not waiting for anybody
MAX_RECONNECT_SPAN_US = 30_000_000
PRESSURE_THRESHOLD = 0.5  # from this share of the connections on, idle ones are given less time
MIN_TIMEOUT_FRACTION = 0.1


class AdmissionController:
    """Counts what is inside and rules on what wants in. The caller hands in times and holds the lock."""

    def __init__(self, bounds: AdmissionLimits) -> None:
        self.limits = bounds
        self.phase = AdmissionState.OPEN
        self.connections = self.waiting = self.held = self.buffered_bytes = 0
        self.typical_wait_us = 0.0
        self.rejected_count = 0

    def ask(self, entry: Entry) -> AdmissionDecision:
        """Rule, and count what is let in."""
        ruling = ADMISSION_RULES[self.phase, entry]
        if ruling is AdmissionDecision.LET_IN and not self._has_capacity(entry):
            ruling = AdmissionDecision.FULL
        if ruling is not AdmissionDecision.LET_IN:
            self.rejected_count += 1
        elif entry is Entry.CONNECTION:
            self.connections += 1
        elif entry is Entry.REQUEST:
            self.waiting += 1
        else:
            self.held += 1
        return ruling

    def _has_capacity(self, entry: Entry) -> bool:
        bounds = self.limits
        return {
            Entry.CONNECTION: self.connections < bounds.connections,
            Entry.REQUEST: self.waiting < bounds.pending_requests,
            Entry.SUBSCRIPTION: self.held < bounds.sessions,
        }[entry] and self.buffered_bytes < bounds.buffered_bytes

    def connection_closed(self) -> None:
        """One that was let in has gone."""
        self.connections -= 1

    def request_answered(self, waited_us: int) -> None:
        """A set-up that was let in has its answer."""
        self.waiting -= 1
        self.typical_wait_us += (waited_us - self.typical_wait_us) / WAIT_SMOOTHING

    def session_ended(self) -> None:
        """One that was held has ended."""
        self.held -= 1

    def buffer(self, more_bytes: int) -> bool:
        """Count bytes read and not yet acted on; False where they must not be kept."""
        if more_bytes > 0 and self.buffered_bytes + more_bytes > self.limits.buffered_bytes:
            return False
        self.buffered_bytes += more_bytes
        return True

    def turn(self, turn: AdmissionEvent) -> AdmissionState:
        """Drained, opened again or ended; the phase from now on."""
        self.phase = STATE_TRANSITIONS[self.phase, turn]
        return self.phase

    def come_back_us(self, draw: float, most_us: int | None) -> int:
        """When one that was turned away at the door should ask again, in microseconds.

        The time in which those that wait now will have gone, spread over as much again by chance, so that
        those turned away in one moment don't return in one.
        """
        wait_us = max(MIN_RETRY_AFTER_US, 2 * self.typical_wait_us) * (1 + draw)
        return round(min(wait_us, max(most_us, MIN_RETRY_AFTER_US)) if most_us is not None else wait_us)

    def patience_us(self, limit_us: int) -> int:
        """How long an idle or slow connection may stay: less as the connections run out.

        Five hundred connections that send a byte a second would hold the door against everybody else; the
        limit falls from the stated one at half the connections to a tenth of it at all of them.
        """
        fill = self.connections / self.limits.connections
        if fill <= PRESSURE_THRESHOLD:
            return limit_us
        left = max(0.0, (1 - fill) / (1 - PRESSURE_THRESHOLD))
        return max(1, round(limit_us * (MIN_TIMEOUT_FRACTION + (1 - MIN_TIMEOUT_FRACTION) * left)))


def retry_after_s(wait_us: int) -> int:
    """A wait as Retry-After counts it (RFC 9110 section 10.2.3): whole seconds, never earlier than meant."""
    return max(1, -(-wait_us // 1_000_000))


def reconnect_span_us(connections: int, typical_wait_us: float) -> tuple[int, int]:
    """Between which waits those who hold connections should come back to a front that ends, in microseconds.

    The time in which a front answers that many set-ups one after another: so many resumptions cost no more.
    """
    span_us = max(MIN_RETRY_AFTER_US, round(connections * max(typical_wait_us, MIN_SETUP_US)))
    return MIN_RETRY_AFTER_US, MIN_RETRY_AFTER_US + min(span_us, MAX_RECONNECT_SPAN_US)
