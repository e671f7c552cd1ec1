"""Types shared by the placement policy and its host: settings, events and effects.

They do not depend on a wire format. Times are integers in microseconds, rates are in kB/s.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Protocol


class Effect(Enum):
    """Whether a set-up is idempotent: the effect of sending it again."""

    FREE = "free"  # harmless
    GUARDED = "guarded"  # harmless where the idempotency key is recognised
    SINGLE_SHOT = "single_shot"  # must not be sent twice


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
    CANCELLED = "called_off"  # the client disconnected
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
    SAVED = "SAVED"  # a full list saved before a restart
    FAILED = "FAILED"  # the request for a list failed


class ReportKind(IntEnum):
    """What a report on a playing session measures."""

    DELIVERED = 1  # share of its rate that is delivered
    RUNG = 2  # its rung
    LINK = 3  # utilization of its server's link
    UPLINK = 4  # utilization of its rack's uplink


@dataclass(frozen=True, slots=True, eq=False)
class ServiceClass:
    """Objectives and limits of one service class."""

    latency_objective_us: int  # from a request to the start of its session
    priority_weight: float  # utility of a session at full quality
    effect: Effect
    scope: Scope
    key_ttl_us: int  # how long servers remember an idempotency key
    rate_scale: float  # its rates, relative to those of the ladder
    min_rung: int  # lowest rung that its sessions may have
    seats: int  # concurrent sessions of a title; 0: unlimited


@dataclass(frozen=True, slots=True, eq=False)
class Settings:
    """Settings that a front receives at its start; an absent optional one is None."""

    service_classes: dict[str, ServiceClass]
    front_count: int
    front_index: int  # index of this front among all fronts
    zone: str  # zone of this front
    ladder_kb: tuple[float, ...]  # rate of each rung, before a class's scale
    rung_utilities: tuple[float, ...]  # utility of each rung, relative to full quality
    streams_by_kind: dict[str, int]  # concurrent sessions of a server, by its kind
    kb_per_weight: float  # link capacity per unit of a server's weight
    total_links_kb: float  # total link capacity of all servers
    has_listed_sizes: bool  # the server list contains weights
    rack_count: int  # each cell belongs to one rack
    cell_count: int
    uplink_kb: float  # capacity of a rack's uplink; 0: not stated
    reports_uplinks: bool  # load reports contain the uplink's utilization
    report_delay_us: int  # age of a report on arrival
    report_interval_us: int
    rejects_at: float  # threshold from which servers reject set-ups; 0: they reject none
    cross_zone_price: float  # relative to the mean utility of a request
    max_attempts: int | None  # attempts per session; None: unlimited
    retry_after_us: int | None  # longest Retry-After of a rejection; None: not allowed
    must_poll_list: bool  # the server list is sent only when polled
    list_poll_window_us: int | None  # highest age that the list may reach
    start_capacity: float  # of a server that has just started, relative to its full capacity
    warm_up_us: int  # duration of a server's slow start
    retry_base: float | None  # retries within the window that are always allowed; None: no retry budget
    retry_ratio: float  # further retries for each request within the window
    retry_window_us: int
    probe_price: float | None = None  # per probe, relative to a session's utility; None: not allowed
    peer_price: float | None = None  # per full message, relative to a session's utility; None: not allowed
    has_unsolicited_reports: bool = True  # load reports arrive with attempts and sessions
    quotas: dict[str, float] = field(default_factory=dict)  # requests per second over all fronts, by tenant
    over_quota_utility: float = 1.0  # share of utility that counts for a request over its tenant's quota
    worst_class_weight: float = 0.0  # of the worst-served class in the goal, relative to the total
    slow_start_slack_us: int = 0  # how far a server may be ahead of its slow-start pace
    rung_switch_cost_us: int = 0  # cost of a rung change, as playing time


@dataclass(frozen=True, slots=True, eq=False)
class ListEntry:
    """One server on the list."""

    address: str
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float  # of its link; 1.0 if the list contains none
    started_us: int  # 0: unknown, long ago


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
    tenant: str = ""  # the tenant whose quota it counts against
    is_repeat: bool = False  # the client has requested it before
    expected_play_us: int | None = None  # from the start of the session; for a handover, from now


@dataclass(frozen=True, slots=True, eq=False)
class Handover:
    """A session that is already playing when the front starts."""

    request: Request
    server: str


@dataclass(frozen=True, slots=True, eq=False)
class SessionStarted:
    """An attempt has succeeded: the session is playing."""

    id: str
    attempt: int
    duration_us: int


@dataclass(frozen=True, slots=True, eq=False)
class LoadReport:
    """Utilization of a server's link and its rack's uplink; None if not reported."""

    link: float | None
    uplink: float | None


@dataclass(frozen=True, slots=True, eq=False)
class ProbeCompleted:
    """A probe has ended; it succeeded if the outcome is SERVED."""

    server: str
    outcome: Outcome
    duration_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class CellLoad:
    """Load of the server in a cell, as known to a front: utilizations, None if unknown, and their age."""

    cell: int
    link: float | None
    uplink: float | None
    age_us: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message between two fronts.

    It polls for the loads of cells, answers with loads, or announces rates just assigned to cells.
    """

    sender: int
    polled_cells: tuple[int, ...] = ()
    loads: tuple[CellLoad, ...] = ()
    sent_rates: tuple[tuple[int, int], ...] = ()  # pairs of a cell and kB a second


@dataclass(frozen=True, slots=True, eq=False)
class AttemptCompleted:
    """An attempt has ended; if `is_finished`, its session has ended too."""

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
    """The highest rung that a client can use has changed, as measured by the client or its server."""

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
    """The client of a session that is not playing yet has disconnected."""

    id: str


@dataclass(frozen=True, slots=True, eq=False)
class ServerSnapshot:
    """State of a server from before this front's own restart; the server has not restarted since."""

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
    """Actions that a policy requests from its host."""

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
        """Deliver a `TimerFired` with the name of a `TimerName` after a delay."""

    def watch_list(self) -> None:
        """Subscribe to the server list."""

    def fetch_list(self) -> None:
        """Request a full server list once."""
