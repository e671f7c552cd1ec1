"""Requests, responses and sessions that pass between the core and the programs around it.

Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fennelcove.decisions.clients.session_lifecycle import SessionState
from fennelcove.decisions.servers.load_signals import ClientHints, ServerHints
from fennelcove.interface import Outcome


class ResponseKind(Enum):
    """How a request for a session is answered; the values are those of the client API."""

    PLAYING = "playing"
    REJECTED = "throttled"
    FAILED = "terminated"
    KEY_SPENT = "spent"  # the session under this idempotency key was established and has been closed
    KEY_REUSED = "reused"  # this idempotency key belongs to another request


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A client requests a session; title and service class are names that the settings know.

    Attributes:
        client: the client's own id (CMCD `sid`); empty where it gives none.
        is_retry: whether the client marks this as a retry.
        queue_ticket: the queue ticket of an earlier rejection.
        idempotency_key: the client's own key for this request; sent twice, the request runs once.
        expected_watch_us: for how long the client will watch, by its own estimate.
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
    """How an attempt ended, the load hints in the server's response, and how long it took."""

    outcome: Outcome
    hints: ServerHints | None
    duration_us: int


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """Where one attempt goes.

    Attributes:
        attempt: its number within the session, as the server sees it.
        policy_id: the id under which the placement policy knows the session.
        policy_attempt: its number as the placement policy counts.
    """

    server: str
    attempt: int
    policy_id: str
    policy_attempt: int


class SessionStateError(RuntimeError):
    """A session lacks what its state requires; a fault of this program, to be reported with the log."""


@dataclass(slots=True, eq=False)
class Session:
    """One session of a client, from its request until it is closed.

    Attributes:
        floor_rung: the lowest rung that its service class allows.
        rates_kb: the rate of each rung, in kB a second.
        received_us: when the request was received.
        deadline_us: when the front stops trying to establish it.
        top_rung: the highest rung that the client's own measure allows.
        attempt_count: how many attempts were started.
        current_target: where it plays.
        pending_target: where an attempt is pending, the first one or that of a migration.
        is_orphaned: whether its server is lost and a migration to another one is under way.
        attempt_sent_us: when the pending attempt was sent; -1 where it was blocked.
        next_step: what to do next; taken by whoever runs the session's request.
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
        """The server where it plays, or else the one of its pending attempt; empty for neither."""
        target = self.current_target or self.pending_target
        return target.server if target is not None else ""

    def required_result(self) -> AttemptResult:
        """The result of its last attempt.

        Raises:
            SessionStateError: no attempt has ended yet.
        """
        if self.last_result is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) has no attempt result")
        return self.last_result

    def required_current_target(self) -> AttemptTarget:
        """Where it plays.

        Raises:
            SessionStateError: it is not established.
        """
        if self.current_target is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) is not played by any server")
        return self.current_target

    def required_pending_target(self) -> AttemptTarget:
        """The target of the pending attempt.

        Raises:
            SessionStateError: no attempt is pending.
        """
        if self.pending_target is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) has no pending attempt")
        return self.pending_target

    def take_pending_target(self) -> AttemptTarget:
        """Take the target of the pending attempt, which has ended.

        Raises:
            SessionStateError: no attempt is pending.
        """
        target = self.required_pending_target()
        self.pending_target = None
        return target

    def activate_pending_target(self) -> AttemptTarget:
        """Play where the pending attempt was served, at the rung of that attempt.

        Raises:
            SessionStateError: no attempt is pending.
        """
        target = self.take_pending_target()
        self.current_target = target
        self.rung = self.pending_rung
        return target

    def take_step(self) -> NextStep:
        """Take the next step, once.

        Raises:
            SessionStateError: there is none.
        """
        step = self.take_step_if_ready()
        if step is None:
            raise SessionStateError(f"session {self.id} ({self.state.name}) has no next step")
        return step

    def take_step_if_ready(self) -> NextStep | None:
        """Take the next step, once; None where there is none."""
        step, self.next_step = self.next_step, None
        return step


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send this attempt now and report its result.

    Attributes:
        is_blocked: a limit forbids it: report it as not sent.
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
        retry_after_us: after how long the client may retry.
        retry_until_us: until when its queue ticket is valid, counted from now.
        queue_ticket: a signed ticket to retry with.
        ticket_status: how the client's own ticket was judged, where tickets decide.
    """

    kind: ResponseKind
    reason: str
    retry_after_us: int = 0
    retry_until_us: int = 0
    queue_ticket: str = ""
    ticket_status: str = ""


class Wakeup(Protocol):
    """Wakes a request that waits for a slot; its descriptor is readable from then on."""

    reader: int

    def ring(self) -> None:
        """Make the descriptor readable."""

    def close(self) -> None:
        """Close the descriptor."""


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """Wait for the wake-up, at most until the deadline; nothing has been sent yet."""

    session: Session
    deadline_us: int
    wakeup: Wakeup


NextStep = SendAttempt | SessionResponse | WaitForSlot


@dataclass(frozen=True, slots=True)
class SessionView:
    """What a client may know of its session.

    Attributes:
        rate_kb: the rate of its rung, in kB a second.
        poll_interval_us: how often the client should poll to keep the session.
        seat_remaining_us: for how long its seat lease lasts; None where that does not expire.
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
    """Writes one event, with its fields, to the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event."""
