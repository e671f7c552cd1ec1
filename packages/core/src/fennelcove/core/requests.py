"""What passes between the core and what stands round it: asks, steps and views. Times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fennelcove.decisions.servers.load_signals import ServerHints, ClientHints
from fennelcove.decisions.clients.session_lifecycle import SessionState
from fennelcove.interface import Outcome


class ResponseKind(Enum):
    """How a request for a subscription was answered."""

    PLAYING = "playing"
    THROTTLED = "throttled"
    FAILED = "terminated"
    KEY_SPENT = "spent"  # under this key a set-up has played and ended
    KEY_REUSED = "reused"  # this key stands for another set-up


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer asks for a subscription; the names are known to the settings."""

    title: str
    service_class: str
    requested_top_rung: int | None = None
    client_timeout_us: int | None = None
    hints: ClientHints = field(default_factory=ClientHints)
    client: str = ""  # the viewer's own name for itself (CMCD sid)
    again: bool = False  # it marks this as a further try
    place: str | None = None
    idempotency_key: str = ""  # the viewer's own name for this set-up: sent twice it counts once
    tenant: str = ""
    expected_watch_us: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a join ended, what its box said in the answer, and how long it took."""

    outcome: Outcome
    hints: ServerHints | None
    duration_us: int


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """One join's place: its box, its number on the wire, and what the module calls it."""

    server: str
    attempt: int
    policy_id: str
    policy_attempt: int


@dataclass(slots=True, eq=False)
class Session:
    """One subscription at the door."""

    id: str
    service_class: str
    title: str
    floor: int
    rates_kb: tuple[float, ...]
    requested_top_rung: int
    received_us: int
    give_up_us: int
    state: SessionState = SessionState.ASKED
    top: int = 0
    rung: int = 0
    attempt_count: int = 0
    home: AttemptTarget | None = None  # where it plays
    pending_target: AttemptTarget | None = (
        None  # where a join is out: the first home, or a second one while it moves
    )
    pending_rung: int = 0
    adrift: bool = False  # its home is gone and another is being made
    migration_count: int = 0
    out_sent_us: int = -1  # when the join that is out was sent; -1 for one that was not
    ask: SessionRequest | None = None
    last_result: AttemptResult | None = None
    may_be_held_by_server: bool = False
    established_us: int = 0
    close_reason: str = ""
    step: NextStep | None = None

    @property
    def server(self) -> str:
        """The box of its home, or else of the join that is out."""
        place = self.home or self.pending_target
        return place.server if place is not None else ""


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send this join now; report its end."""

    session: Session
    attempt: int
    server: str
    rung: int
    timeout_us: int
    is_blocked: bool = False  # the box has as many under way as it may: not to be sent


@dataclass(frozen=True, slots=True)
class SessionResponse:
    """Answer the viewer now; nothing more is owed."""

    kind: ResponseKind
    reason: str
    retry_after_us: int = 0
    retry_until_us: int = 0  # of a place: the end of its span
    queue_ticket: str = ""
    standing: str = ""  # how the viewer stood, where places decided


class Wakeup(Protocol):
    """What wakes a set-up that waits; its descriptor is readable from then on."""

    reader: int

    def ring(self) -> None: ...

    def close(self) -> None: ...


@dataclass(frozen=True, slots=True)
class WaitForSlot:
    """Wait until the bell rings, and no longer than until then; nothing has left yet."""

    session: Session
    deadline_us: int
    bell: Wakeup


NextStep = SendAttempt | SessionResponse | WaitForSlot


@dataclass(frozen=True, slots=True)
class SessionView:
    """What a viewer may know of its subscription."""

    id: str
    title: str
    service_class: str
    server: str
    rung: int
    top_rung: int
    rate_kb: float
    poll_interval_us: int
    seat_remaining_us: int | None = None  # for how long its seat lasts, where that ends


class ServerGateway(Protocol):
    """What the core asks of the side that talks to boxes; none of it may wait."""

    def open_feed(self, server: str, generation: int) -> None: ...

    def close_feed(self, server: str) -> None: ...

    def orders_ready(self) -> None: ...


class EndpointListSource(Protocol):
    """What the core asks of the side that talks to the list service; none of it may wait."""

    def fetch(self) -> None: ...

    def watch(self) -> None: ...


class EventLogger(Protocol):
    """What the core tells for the log: one event name, with what belongs to it."""

    def __call__(self, event: str, **fields: object) -> None: ...
