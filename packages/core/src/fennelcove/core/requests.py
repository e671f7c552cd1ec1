"""Requests, responses and sessions as exchanged between the core and the network code.

Times are integers in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fennelcove.decisions.clients.session_lifecycle import SessionState
from fennelcove.decisions.servers.load_signals import ClientHints, ServerHints
from fennelcove.interface import Outcome


class ResponseKind(Enum):
    """How a session request is answered; the values are those of the client API."""

    PLAYING = "playing"
    REJECTED = "throttled"
    FAILED = "terminated"
    KEY_SPENT = "spent"  # the session of this idempotency key was established and has been closed
    KEY_REUSED = "reused"  # this idempotency key was used for a different request


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A client's request for a session.

    Attributes:
        title: The name of a configured title.
        service_class: The name of a configured service class.
        requested_top_rung: The highest rung that the client accepts; None for no limit.
        client_timeout_us: How long the client waits for the response; None for the service class's default.
        hints: The client's CMCD hints.
        client: The client's own id (CMCD `sid`); empty if it sent none.
        is_retry: Whether the client marks this request as a retry.
        queue_ticket: The queue ticket from an earlier rejection.
        idempotency_key: The client's key for this request; requests with the same key run only once.
        tenant: The name of the client's tenant.
        expected_watch_us: The client's estimate of how long it will watch.
    """

    title: str
    service_class: str
    requested_top_rung: int | None = None
    client_timeout_us: int | None = None
    hints: ClientHints = field(default_factory=ClientHints)
    client: str = ""
    is_retry: bool = False
    queue_ticket: str | None = None
    idempotency_key: str = ""
    tenant: str = ""
    expected_watch_us: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt.

    Attributes:
        outcome: How the attempt ended.
        hints: The load hints in the server's response; None if it had none.
        duration_us: How long the attempt took.
    """

    outcome: Outcome
    hints: ServerHints | None
    duration_us: int


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """The target of an attempt.

    Attributes:
        server: The server's address.
        attempt: The attempt's number within the session, as sent to the server.
        policy_id: The placement policy's id of the session.
        policy_attempt: The attempt's number within that id, as the placement policy counts.
    """

    server: str
    attempt: int
    policy_id: str
    policy_attempt: int


class SessionStateError(RuntimeError):
    """A session's fields do not match its state: a bug in fennelcove, to be reported with the log."""


@dataclass(slots=True, eq=False)
class Session:
    """A client's session, from its request until it is closed.

    Attributes:
        floor_rung: The lowest rung that its service class allows.
        rates_kb: The rate of each rung in kB per second.
        requested_top_rung: The highest rung that the client accepts.
        received_us: When the request was received.
        deadline_us: When the front stops trying to establish the session.
        top_rung: The highest rung that the client's measured throughput and the server's hints allow.
        rung: The rung at which the session plays.
        attempt_count: The number of attempts started.
        current_target: The attempt that the session plays on; None before it is established.
        pending_target: The attempt in progress, for the set-up or for a migration; None if there is none.
        pending_rung: The rung of the attempt in progress.
        is_orphaned: Whether its server is lost and a migration to another server is in progress.
        attempt_sent_us: When the pending attempt was sent; -1 if it was blocked.
        request: The client's request; None for a session adopted from an earlier incarnation.
        may_exist_on_server: Whether the server may have the session, so that it has to be released there.
        next_step: What to do next; taken by the code that processes the session's request.
    """

    id: str
    service_class: str
    title: str
    floor_rung: int
    rates_kb: tuple[float, ...]
    requested_top_rung: int
    received_us: int
    deadline_us: int
    state: SessionState = SessionState.REQUESTED
    top_rung: int = 0
    rung: int = 0
    attempt_count: int = 0
    current_target: AttemptTarget | None = None
    pending_target: AttemptTarget | None = None
    pending_rung: int = 0
    is_orphaned: bool = False
    migration_count: int = 0
    attempt_sent_us: int = -1
    request: SessionRequest | None = None
    last_result: AttemptResult | None = None
    may_exist_on_server: bool = False
    established_us: int = 0
    close_reason: str = ""
    next_step: NextStep | None = None

    @property
    def server(self) -> str:
        """The server that plays the session, else that of the pending attempt, else empty."""
        target = self.current_target or self.pending_target
        return target.server if target is not None else ""

    def required_result(self) -> AttemptResult:
        """Return the result of the last attempt.

        Raises:
            SessionStateError: No attempt has ended yet.
        """
        if self.last_result is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) has no attempt result")
        return self.last_result

    def required_current_target(self) -> AttemptTarget:
        """Return the attempt that the session plays on.

        Raises:
            SessionStateError: The session is not established.
        """
        if self.current_target is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) is not played by any server")
        return self.current_target

    def required_pending_target(self) -> AttemptTarget:
        """Return the target of the pending attempt.

        Raises:
            SessionStateError: No attempt is pending.
        """
        if self.pending_target is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) has no pending attempt")
        return self.pending_target

    def take_pending_target(self) -> AttemptTarget:
        """Return the target of the pending attempt, which has ended, and clear it.

        Raises:
            SessionStateError: No attempt is pending.
        """
        target = self.required_pending_target()
        self.pending_target = None
        return target

    def activate_pending_target(self) -> AttemptTarget:
        """Make the pending attempt, which was served, the current one and return its target.

        Raises:
            SessionStateError: No attempt is pending.
        """
        target = self.take_pending_target()
        self.current_target = target
        self.rung = self.pending_rung
        return target

    def take_step(self) -> NextStep:
        """Return the next step and clear it.

        Raises:
            SessionStateError: There is no next step.
        """
        step = self.take_step_if_ready()
        if step is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) has no next step")
        return step

    def take_step_if_ready(self) -> NextStep | None:
        """Return the next step, or None if there is none, and clear it."""
        step, self.next_step = self.next_step, None
        return step


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send this attempt now and report its result.

    Attributes:
        is_blocked: Whether a limit forbids the attempt, which is then reported as not sent.
    """

    session: Session
    attempt: int
    server: str
    rung: int
    timeout_us: int
    is_blocked: bool = False


@dataclass(frozen=True, slots=True)
class SessionResponse:
    """Answer the client now.

    Attributes:
        kind: How the request is answered.
        reason: Why it was rejected or failed.
        retry_after_us: After how long the client may retry.
        retry_until_us: For how long from now the queue ticket is valid.
        queue_ticket: A signed ticket to retry with.
        ticket_status: The status of the ticket that the client sent, where tickets decide on admission.
    """

    kind: ResponseKind
    reason: str
    retry_after_us: int = 0
    retry_until_us: int = 0
    queue_ticket: str = ""
    ticket_status: str = ""


class Wakeup(Protocol):
    """Wakes a request that waits for a slot.

    Attributes:
        reader: A file descriptor that becomes readable when the request is to wake up.
    """

    reader: int

    def notify(self) -> None:
        """Make the descriptor readable."""

    def close(self) -> None:
        """Close the descriptor."""


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """Wait for the wake-up, at most until the deadline; no attempt has been sent yet."""

    session: Session
    deadline_us: int
    wakeup: Wakeup


NextStep = SendAttempt | SessionResponse | WaitForSlot


@dataclass(frozen=True, slots=True)
class SessionView:
    """The part of a session's state that its client may see.

    Attributes:
        rate_kb: The rate of its rung in kB per second.
        poll_interval_us: How often the client should poll so that the session does not expire.
        seat_remaining_us: The time left on its seat lease; None if the seat does not expire.
    """

    id: str
    title: str
    service_class: str
    server: str
    rung: int
    top_rung: int
    rate_kb: float
    poll_interval_us: int
    seat_remaining_us: int | None = None


class EventLogger(Protocol):
    """Writes structured events to the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event with its fields."""
