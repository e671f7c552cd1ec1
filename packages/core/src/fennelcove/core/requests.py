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
    TERMINATED = "terminated"
    SPENT = "spent"  # under this key a set-up has played and ended
    REUSED = "reused"  # this key stands for another set-up


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer asks for a subscription; the names are known to the settings."""

    title: str
    service_class: str
    stated_top: int | None = None
    client_timeout_us: int | None = None
    says: ClientHints = field(default_factory=ClientHints)
    client: str = ""  # the viewer's own name for itself (CMCD sid)
    again: bool = False  # it marks this as a further try
    place: str | None = None
    key: str = ""  # the viewer's own name for this set-up: sent twice it counts once
    tenant: str = ""
    watch_guess_us: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a join ended, what its box said in the answer, and how long it took."""

    outcome: Outcome
    says: ServerHints | None
    took_us: int


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """One join's place: its box, its number on the wire, and what the module calls it."""

    server: str
    attempt: int
    module_id: str
    module_attempt: int


@dataclass(slots=True, eq=False)
class Session:
    """One subscription at the door."""

    id: str
    service_class: str
    title: str
    floor: int
    rates_kb: tuple[float, ...]
    stated_top: int
    asked_us: int
    give_up_us: int
    stage: SessionState = SessionState.ASKED
    top: int = 0
    rung: int = 0
    attempts: int = 0
    home: AttemptTarget | None = None  # where it plays
    out: AttemptTarget | None = None  # where a join is out: the first home, or a second one while it moves
    out_rung: int = 0
    adrift: bool = False  # its home is gone and another is being made
    moves: int = 0
    out_sent_us: int = -1  # when the join that is out was sent; -1 for one that was not
    ask: SessionRequest | None = None
    end: AttemptResult | None = None
    server_may_hold: bool = False
    playing_since_us: int = 0
    ended_because: str = ""
    step: NextStep | None = None

    @property
    def server(self) -> str:
        """The box of its home, or else of the join that is out."""
        place = self.home or self.out
        return place.server if place is not None else ""


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send this join now; report its end."""

    session: Session
    attempt: int
    server: str
    rung: int
    allow_us: int
    blocked: bool = False  # the box has as many under way as it may: not to be sent


@dataclass(frozen=True, slots=True)
class SessionResponse:
    """Answer the viewer now; nothing more is owed."""

    answer: ResponseKind
    why: str
    wait_us: int = 0
    latest_us: int = 0  # of a place: the end of its span
    place: str = ""
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
    until_us: int
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
    top: int
    rate_kb: float
    poll_every_us: int
    seat_us: int | None = None  # for how long its seat lasts, where that ends


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
