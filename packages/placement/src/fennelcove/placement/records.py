"""Records of the placement policy; the other modules make the decisions."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from fennelcove.interface import CellLoad, Effects, ServerState, ServiceClass, Settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from fennelcove.placement.state import LinkLoad, PolicyState


class SessionState(Enum):
    """State of a session, from its request to its end."""

    WAITING = auto()  # for a placement, or for the loads polled before it
    JOINING = auto()  # an attempt is in progress
    PLAYING = auto()
    ABANDONED = auto()  # its client disconnected while an attempt was in progress
    ENDED = auto()


class SessionEvent(Enum):
    """Event of the session state machine."""

    TRY = auto()  # place it now
    PLACED = auto()  # an attempt has been sent
    NO_ROOM = auto()  # no replica is feasible, and a rejection is safe
    STUCK = auto()  # no replica is feasible, and a rejection is not safe
    STARTED = auto()  # the attempt succeeded
    FAILED = auto()  # the attempt ended, and its session may be placed again
    FINISHED = auto()  # the session ended with its attempt
    CLIENT_GONE = auto()  # the client disconnected before the session played


class Health(Enum):
    """State of a server's circuit breaker, which follows the outcomes of this front's own attempts."""

    WELL = auto()  # closed: attempts are sent
    SHUT = auto()  # open: the server is suspended
    TRIAL = auto()  # half open: one attempt at a time is sent


@dataclass(slots=True, eq=False)
class Rack:
    """Servers that share an uplink."""

    uplink: LinkLoad
    servers: list[Server] = field(default_factory=list)  # in the order in which they were first listed
    loaded_servers: list[Server] = field(default_factory=list)  # with this front's sessions; same order
    # Servers that this front has contacted, or whose load was reported.
    known_servers: dict[Server, None] = field(default_factory=dict)
    capacity_kb: float = 0.0  # total link capacity of its servers
    own_kb: float | None = None  # rate of this front's sessions; None if it must be summed again
    residual_uplink: float = 0.0  # free share of the uplink, for the current request


@dataclass(slots=True, eq=False)
class Server:
    """What the front knows about one server, across restarts of that server."""

    address: str
    zone: str
    cell: int
    rack: Rack
    max_streams: int  # sessions that it can serve at once; 0 if not known
    link: LinkLoad
    started_us: int
    sequence: int  # position in the order in which servers were first listed
    state: ServerState = ServerState.ACTIVE
    last_attempt_us: int | None = None
    health: Health = Health.WELL
    strikes: int = 0  # faults less later successes; each doubles the suspension
    suspended_until_us: int = 0  # end of the suspension
    sessions: dict[Session, None] = field(default_factory=dict)  # of this front, by start of their attempt
    own_kb: float = 0.0  # rate of this front's sessions
    is_in_rack: bool = False  # whether its rack's servers include it
    is_loaded: bool = False  # whether its rack's loaded servers include it
    next_probe_us: int | None = None
    probe_interval_us: int = 0
    waiting_sessions: dict[Session, None] = field(default_factory=dict)  # those that wait for its polled load
    residual_link: float = 0.0  # free share of the link, for the current request
    residual_streams: float = 0.0  # free share of the streams, for the current request


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to set a session up on a server."""

    server: Server
    sent_us: int
    may_have_run: bool = True  # the server may have carried it out
    has_server_error: bool = False  # it ended in a server error that is not counted against the server yet


@dataclass(slots=True, eq=False)
class Session:
    """A session of this front, from its request to its end."""

    id: str
    service_class: ServiceClass
    title: int
    cells: tuple[int, ...]  # cells whose servers store the title
    top_rung: int  # highest rung that its client can use
    requested_us: int  # when it was requested
    deadline_us: int  # end of the client's timeout
    expected_play_us: int | None = None  # how long it is expected to play
    quota_share: float = 1.0  # share of its utility that counts under its tenant's quota
    state: SessionState = SessionState.WAITING
    rung: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    has_report: bool = False  # a report on its server's link was received
    awaited: dict[Server, None] | None = None  # servers whose polled load it waits for; None before the poll
    started_us: int = 0

    @property
    def server(self) -> Server:
        """The server of the last attempt."""
        return self.attempts[-1].server


class Placement(NamedTuple):
    """Server and rung chosen for a session."""

    server: Server
    rung: int


Servers: TypeAlias = list[Server]
HealthAction: TypeAlias = "Callable[[PolicyState, Server], None]"
SessionAction: TypeAlias = "Callable[[PolicyState, Session], SessionEvent | None]"
Loads: TypeAlias = tuple[CellLoad, ...]
SentRates: TypeAlias = tuple[tuple[int, int], ...]
"""Rates just assigned to cells, as pairs of a cell and kB/s."""

ScoredServer: TypeAlias = tuple[Server, float, float]
"""A server, its utilization factor and that of its network."""


@dataclass(slots=True, eq=False)
class LinkReport:
    """Last load report on a server's link or a rack's uplink, and the rates assigned since."""

    capacity_kb: float
    report: float | None = None  # reported load, as a share of the capacity
    as_of_us: int = 0  # time of the reported measurement
    full_until_us: int = 0  # end of the time in which short delivery marks the link as full
    # Rates assigned since the report: pairs of time and kB/s, in order of time. Bounded, since some links are
    # never reported.
    unreported: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=4096))
    unreported_kb: float = 0.0  # their sum


@dataclass(eq=False)
class PolicyRecords:
    """Configuration and recorded state of one front's policy."""

    settings: Settings
    effects: Effects
    created_us: int
    now_us: int  # time of the current event
    servers: dict[str, Server] = field(default_factory=dict)  # by address
    replicas: dict[int, list[Server]] = field(default_factory=dict)  # servers by cell
    contacted: dict[Server, None] = field(default_factory=dict)  # servers that got an attempt or a session
    sessions: dict[str, Session] = field(default_factory=dict)  # by id
    seats: dict[tuple[int, ServiceClass], int] = field(default_factory=dict)  # sessions by title and class
    polling_sessions: dict[Session, None] = field(default_factory=dict)  # sessions that await polled loads
    request_times: deque[int] = field(default_factory=deque)  # times of requests, for the retry budget
    retry_times: deque[int] = field(default_factory=deque)  # times of retries, for the retry budget
    title_request_times_us: dict[int, deque[int]] = field(default_factory=dict)  # latest, by title
    # Draining and departed servers whose state or sessions changed since the last list, and departed ones
    # that started less than a warm-up ago.
    changed_inactive_servers: dict[Server, None] = field(default_factory=dict)
    listed_count: int = 0  # number of servers that were ever listed
    list_is_fresh: bool = False  # a server list newer than the saved one was received
    failed_list_polls: int = 0  # consecutive failures
    kb_per_stream: float = 0.0  # link capacity per stream, used if the list gives no weights
    mean_offered_utility: float = 0.0  # moving average over requests
    cached_mean: float = 0.0  # mean utilization of the links, and the time for which it was computed
    cached_mean_at_us: int = -1
    class_utilities: dict[ServiceClass, float] = field(default_factory=dict)  # weights, and their time
    class_utilities_at_us: int = -1
