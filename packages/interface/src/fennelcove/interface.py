"""Wire-free types: what a front is told, and what it may ask for. Times are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Protocol


class Effect(Enum):
    """What a repeated set-up does to a viewer of the room type."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class Scope(Enum):
    """The servers that recognise a guarded set-up as a repeat."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a join ended."""

    SERVED = "served"
    SERVER_ERROR = "server_error"
    TURNED_AWAY = "turned_away"
    NO_ANSWER = "no_answer"
    NO_CONNECTION = "no_connection"
    CONNECTION_LOST = "connection_lost"
    CALLED_OFF = "called_off"
    NOT_SENT = "not_sent"


class ServerState(Enum):
    """What the list says of a server."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


class ListMode(Enum):
    """How a list update relates to the list held so far."""

    INCREMENTAL = "INCREMENTAL"
    FULL = "FULL"
    SAVED = "SAVED"
    FAILED = "FAILED"


class ReportKind(IntEnum):
    """What a note on a playing subscription tells."""

    DELIVERED = 1
    RUNG = 2
    LINK = 3
    UPLINK = 4


@dataclass(frozen=True, slots=True, eq=False)
class ServiceClass:
    """The terms of one room type."""

    latency_objective_us: int
    priority_weight: float
    effect: Effect
    scope: Scope
    key_ttl_us: int
    scale: float
    floor: int
    seats: int


@dataclass(frozen=True, slots=True, eq=False)
class Settings:
    """What a front is told at its start; an optional figure that is absent is None."""

    service_classes: dict[str, ServiceClass]
    fronts: int
    index: int
    zone: str
    ladder_kb: tuple[float, ...]
    ladder_worth: tuple[float, ...]
    kind_streams: dict[str, int]
    kb_per_weight: float
    all_links_kb: float
    sizes_listed: bool
    racks: int
    cells: int
    uplink_kb: float
    uplinks_told: bool
    seen_after_us: int
    reports_every_us: int
    guard: float
    cross_zone_price: float
    send_cap: int | None
    retry_after_us: int | None
    must_ask: bool
    ask_within_us: int | None
    start_capacity: float
    ramp_us: int
    budget_free: float | None
    budget_ratio: float
    budget_span_us: int
    probe_price: float | None = None  # of a subscription's benefit, for each; None: none may be sent
    peer_price: float | None = None  # of a subscription's benefit, for each full message; None: none
    reports_unasked: bool = True  # joins and plays bring reports
    # Of each tenant, requests a second over all fronts that count in full.
    quotas: dict[str, float] = field(default_factory=dict)
    over_quota_worth: float = 1.0  # what a request past its tenant's quota counts, of its benefit
    worst_class_weight: float = 0.0  # what the worst served room type counts, over what the whole counts
    cold_slack_us: int = 0  # by how much past its pace a cold server falls over, as time at that pace
    switch_cost_us: int = 0  # of a room type's benefit, for each change of rung while it plays


@dataclass(frozen=True, slots=True, eq=False)
class ListEntry:
    """One server as the list names it."""

    address: str
    zone: str
    kind: str
    cell: int
    standing: ServerState
    weight: float
    started_us: int


@dataclass(frozen=True, slots=True, eq=False)
class ListUpdate:
    """News of the server list; no entries come with a failed call."""

    mode: ListMode
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Request:
    """A viewer asks for a subscription."""

    id: str
    service_class: str
    title: int
    first_cell: int
    cell_count: int
    top_rung: int
    timeout_us: int
    tenant: str = ""  # the customer that it counts for
    returned: bool = False  # not the viewer's first try
    watch_guess_us: int | None = None  # from its start; of a handover, from now


@dataclass(frozen=True, slots=True, eq=False)
class Handover:
    """A subscription that already plays when the front starts."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True, eq=False)
class SessionStarted:
    """The viewer watches."""

    id: str
    attempt: int
    duration_us: int


@dataclass(frozen=True, slots=True, eq=False)
class LoadReport:
    """What an answer says of its server; a value that it does not give is None."""

    link: float | None
    uplink: float | None


@dataclass(frozen=True, slots=True, eq=False)
class ProbeCompleted:
    """The end of a probe: it passed where the outcome is SERVED."""

    server: str
    outcome: Outcome
    duration_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class CellLoad:
    """What a front knows of the server in a cell: shares asked, None where unknown, and their age."""

    cell: int
    link: float | None
    uplink: float | None
    age_us: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another front: the cells that it asks about, what it knows of some, or what it has just
    sent to some (cell, kB a second)."""

    sender: int
    asks: tuple[int, ...] = ()
    loads: tuple[CellLoad, ...] = ()
    attempts: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True, slots=True, eq=False)
class AttemptCompleted:
    """A join is over; finished says that the subscription needs no further answer."""

    id: str
    attempt: int
    outcome: Outcome
    is_finished: bool
    report: LoadReport | None


@dataclass(frozen=True, slots=True, eq=False)
class SessionReport:
    """A figure about the server of a playing subscription."""

    id: str
    server: str
    kind: ReportKind
    level: float


@dataclass(frozen=True, slots=True, eq=False)
class TopRungChanged:
    """The viewer's best rung is another from now on, by its own measure or its server's word."""

    id: str
    top_rung: int


@dataclass(frozen=True, slots=True, eq=False)
class MigrationRequested:
    """A playing subscription wants a second home; it is told of under a new id, and ends under the old
    one."""

    id: str
    new_id: str
    timeout_us: int


@dataclass(frozen=True, slots=True, eq=False)
class ClientGone:
    """Nobody waits for this subscription any more."""

    id: str


@dataclass(frozen=True, slots=True, eq=False)
class ServerSnapshot:
    """Of a server's same life, known to an earlier life of this front; None for never."""

    server: str
    strikes: int
    suspended_for_us: int
    last_attempt_ago_us: int | None


@dataclass(frozen=True, slots=True)
class BudgetSnapshot:
    """How long ago requests were taken and further joins sent in an earlier life of this front."""

    request_ages_us: tuple[int, ...]
    retry_ages_us: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the front asked for."""

    name: int


Event = (
    ListUpdate
    | Request
    | Handover
    | SessionStarted
    | AttemptCompleted
    | SessionReport
    | TopRungChanged
    | MigrationRequested
    | ClientGone
    | TimerFired
    | ServerSnapshot
    | BudgetSnapshot
    | ProbeCompleted
    | PeerMessage
)


class TimerName(IntEnum):
    """The timers that a front may set."""

    POLL_LIST = auto()
    PROBE = auto()
    HELD = auto()


class Effects(Protocol):
    """What a front may ask of the program round it."""

    def start_attempt(self, id: str, server: str, timeout_us: int) -> None: ...

    def set_rung(self, id: str, rung: int) -> None: ...

    def reject(self, id: str, retry_after_us: int) -> None: ...

    def fail(self, id: str) -> None: ...

    def migrate(self, id: str) -> None: ...

    def probe(self, server: str) -> None: ...

    def send_peer_message(self, front: int, message: PeerMessage) -> None: ...

    def set_timer(self, name: int, delay_us: int) -> None: ...

    def watch_list(self) -> None: ...

    def fetch_list(self) -> None: ...
