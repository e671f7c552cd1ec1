"""Types between the placement policy and its host: settings, events and effects.

They know no wire. Times are whole microseconds, rates are kB a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Protocol


class Effect(Enum):
    """What a repeated set-up does to a client: whether it is idempotent."""

    FREE = "free"  # harmless
    GUARDED = "guarded"  # harmless where the idempotency key is recognised
    SINGLE_SHOT = "single_shot"  # never to be sent twice


class Scope(Enum):
    """The servers that recognise the idempotency key of a guarded set-up."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    SERVER_ERROR = "server_error"
    REJECTED = "turned_away"  # the server rejected it
    NO_ANSWER = "no_answer"
    NO_CONNECTION = "no_connection"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "called_off"  # its client has gone
    NOT_SENT = "not_sent"  # the host could not send it


class ServerState(Enum):
    """A server's state on the server list."""

    ACTIVE = "active"
    LEAVING = "leaving"  # it drains
    LEFT = "left"


class ListMode(Enum):
    """How a list update relates to the list so far."""

    INCREMENTAL = "INCREMENTAL"  # changed entries only
    FULL = "FULL"
    SAVED = "SAVED"  # a full list of before a restart
    FAILED = "FAILED"  # the request of a list failed


class ReportKind(IntEnum):
    """What a report on a playing session measures."""

    DELIVERED = 1  # share of its rate that is delivered
    RUNG = 2  # its rung
    LINK = 3  # utilization of its server's link
    UPLINK = 4  # utilization of its rack's uplink


@dataclass(frozen=True, slots=True, eq=False)
class ServiceClass:
    """The terms of one service class."""

    latency_objective_us: int  # from a request to the start of its session
    priority_weight: float  # utility of a session at full quality
    effect: Effect
    scope: Scope
    key_ttl_us: int  # how long servers keep an idempotency key
    rate_scale: float  # its rates over those of the ladder
    min_rung: int  # lowest rung
    seats: int  # sessions of a title at once; 0: any number


@dataclass(frozen=True, slots=True, eq=False)
class Settings:
    """Settings that a front gets at its start; an optional one that is absent is None."""

    service_classes: dict[str, ServiceClass]
    front_count: int  # how many there are
    front_index: int  # of this one among them
    zone: str  # where this front runs
    ladder_kb: tuple[float, ...]  # rate of each rung, before a class's scale
    rung_utilities: tuple[float, ...]  # utility of each rung, over that of full quality
    streams_by_kind: dict[str, int]  # sessions that a server can serve at once, by its kind
    kb_per_weight: float  # link capacity for each unit of a server's weight
    total_links_kb: float  # link capacity of all servers
    has_listed_sizes: bool  # the list gives weights
    rack_count: int  # how many there are; a cell belongs to one
    cell_count: int  # how many there are
    uplink_kb: float  # capacity of a rack's uplink; 0: not stated
    reports_uplinks: bool  # load reports give the uplink's utilization
    report_delay_us: int  # age of a report when it comes
    report_interval_us: int  # interval of reports
    rejects_at: float  # threshold from which servers reject set-ups; 0: they reject none
    cross_zone_price: float  # over the mean utility of a request
    max_attempts: int | None  # attempts of a session at most
    retry_after_us: int | None  # longest Retry-After of a rejection
    must_poll_list: bool  # a server list comes only when it is polled
    list_poll_window_us: int | None  # how old the list may get
    start_capacity: float  # of a server that has just started, over its full capacity
    warm_up_us: int  # how long a server warms up
    retry_base: float | None  # retries within the span that need no requests; None: no retry budget
    retry_ratio: float  # retries for each request within the span
    retry_window_us: int
    probe_price: float | None = None  # over a session's utility, for each probe; None: none may be sent
    peer_price: float | None = None  # over a session's utility, for each full message; None: none may be sent
    has_unsolicited_reports: bool = True  # attempts and sessions bring load reports
    quotas: dict[str, float] = field(default_factory=dict)  # requests a second over all fronts, by tenant
    over_quota_utility: float = 1.0  # what a request past its tenant's quota counts, over its utility
    worst_class_weight: float = 0.0  # of the worst served class in the goal, over the weight of the whole
    slow_start_slack_us: int = 0  # how far ahead of its slow-start pace a warming server may be
    rung_switch_cost_us: int = 0  # playing time that each change of rung costs


@dataclass(frozen=True, slots=True, eq=False)
class ListEntry:
    """One server on the list."""

    address: str
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float  # of its link; 1.0 where the list gives none
    started_us: int  # 0: not known, long ago


@dataclass(frozen=True, slots=True, eq=False)
class ListUpdate:
    """An update of the server list; one that failed has no entries."""

    mode: ListMode
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Request:
    """A client requests a session."""

    id: str
    service_class: str
    title: int
    first_cell: int
    cell_count: int
    top_rung: int
    timeout_us: int
    tenant: str = ""  # whose quota it counts against
    is_repeat: bool = False  # the client has requested it before
    expected_play_us: int | None = None  # from its start; of a handover, from now


@dataclass(frozen=True, slots=True, eq=False)
class Handover:
    """A session that already plays when the front starts."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True, eq=False)
class SessionStarted:
    """An attempt has succeeded: the session plays."""

    id: str
    attempt: int
    duration_us: int


@dataclass(frozen=True, slots=True, eq=False)
class LoadReport:
    """Utilization of a server's link and its rack's uplink; None where it is not reported."""

    link: float | None
    uplink: float | None


@dataclass(frozen=True, slots=True, eq=False)
class ProbeCompleted:
    """The end of a probe; it succeeded where the outcome is SERVED."""

    server: str
    outcome: Outcome
    duration_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class CellLoad:
    """What a front knows of the server in a cell: utilizations, None where unknown, and their age."""

    cell: int
    link: float | None
    uplink: float | None
    age_us: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another front.

    It polls for the loads of cells, answers with loads, or announces rates that were just sent to cells.
    """

    sender: int
    polled_cells: tuple[int, ...] = ()
    loads: tuple[CellLoad, ...] = ()
    sent_rates: tuple[tuple[int, int], ...] = ()  # pairs of a cell and kB a second


@dataclass(frozen=True, slots=True, eq=False)
class AttemptCompleted:
    """An attempt has ended; where `is_finished`, its session has ended too."""

    id: str
    attempt: int
    outcome: Outcome
    is_finished: bool
    report: LoadReport | None


@dataclass(frozen=True, slots=True, eq=False)
class SessionReport:
    """A measurement of a playing session or of its server."""

    id: str
    server: str
    kind: ReportKind
    level: float


@dataclass(frozen=True, slots=True, eq=False)
class TopRungChanged:
    """The highest rung that a client can use has changed, by its own measurement or its server's."""

    id: str
    top_rung: int


@dataclass(frozen=True, slots=True, eq=False)
class MigrationRequested:
    """A playing session needs another server.

    It is placed under a new id, and ends under the old one.
    """

    id: str
    new_id: str
    timeout_us: int


@dataclass(frozen=True, slots=True, eq=False)
class ClientGone:
    """The client of a session that does not play yet has gone."""

    id: str


@dataclass(frozen=True, slots=True, eq=False)
class ServerSnapshot:
    """What this front knew of a server before its own restart; the server has not restarted since."""

    server: str
    strikes: int
    suspended_for_us: int
    last_attempt_ago_us: int | None


@dataclass(frozen=True, slots=True)
class BudgetSnapshot:
    """Ages of the requests and retries that this front counted before its restart."""

    request_ages_us: tuple[int, ...]
    retry_ages_us: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of the policy has fired."""

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
    """The timers that a policy sets."""

    POLL_LIST = auto()  # poll for the server list again
    PROBE = auto()  # a server's probe is due
    POLL_DEADLINE = auto()  # a session has waited long enough for polled loads


class Effects(Protocol):
    """What a policy requests of its host."""

    def start_attempt(self, id: str, server: str, timeout_us: int) -> None:
        """Send an attempt to set a session up on a server."""

    def set_rung(self, id: str, rung: int) -> None:
        """Set a session's rung."""

    def reject(self, id: str, retry_after_us: int) -> None:
        """Answer a request with a rejection and its Retry-After."""

    def fail(self, id: str) -> None:
        """Answer a request with an error: a rejection would not be safe."""

    def migrate(self, id: str) -> None:
        """Request the migration of a session."""

    def probe(self, server: str) -> None:
        """Send a probe to a server."""

    def send_peer_message(self, front: int, message: PeerMessage) -> None:
        """Send a message to another front."""

    def set_timer(self, name: int, delay_us: int) -> None:
        """Have a `TimerFired` of a `TimerName` come after a delay."""

    def watch_list(self) -> None:
        """Subscribe to the server list."""

    def fetch_list(self) -> None:
        """Request a full server list once."""
