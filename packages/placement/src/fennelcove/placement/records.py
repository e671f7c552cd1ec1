"""Plain records of the placement policy: fields only; every decision is made in the policy's modules."""

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
    """Where a session is on its way from request to end."""

    WAITING = auto()  # for a placement, or for polled loads before it
    JOINING = auto()  # an attempt is out
    PLAYING = auto()
    ABANDONED = auto()  # its client has gone while an attempt is out
    ENDED = auto()


class SessionEvent(Enum):
    """What moves a session on."""

    TRY = auto()  # place it now
    PLACED = auto()  # an attempt has been sent
    NO_ROOM = auto()  # no replica is feasible, and a rejection is safe
    STUCK = auto()  # no replica is feasible, and a rejection is not safe
    STARTED = auto()
    FAILED = auto()
    FINISHED = auto()
    CLIENT_GONE = auto()


class Health(Enum):
    """Whether this front's own attempts let a server be tried; a circuit breaker's state."""

    WELL = auto()  # closed: it may be tried
    SHUT = auto()  # open: suspended
    TRIAL = auto()  # half open: tried with one attempt at a time


@dataclass(slots=True, eq=False)
class Rack:
    """Servers that share an uplink."""

    uplink: LinkLoad
    servers: list[Server] = field(default_factory=list)  # in the order in which they were first listed
    loaded_servers: list[Server] = field(default_factory=list)  # with sessions of this front, in that order
    # Those that were contacted, or whose load was reported.
    known_servers: dict[Server, None] = field(default_factory=dict)
    capacity_kb: float = 0.0  # of the links of its servers together
    own_kb: float | None = None  # rate of this front's sessions; None where it has to be summed anew
    residual_uplink: float = 0.0  # free share of the uplink, for the request in hand


@dataclass(slots=True, eq=False)
class Server:
    """What the front knows of one server, over all restarts of the server."""

    address: str
    zone: str
    cell: int
    rack: Rack
    max_streams: int  # sessions that it can serve at once; 0 where the list gives none
    link: LinkLoad
    started_us: int
    sequence: int  # its place in the order in which servers were first listed
    state: ServerState = ServerState.ACTIVE
    last_attempt_us: int | None = None
    health: Health = Health.WELL
    strikes: int = 0  # faults in a row, less those made good; each doubles the suspension
    shut_until_us: int = 0  # end of the suspension
    sessions: dict[Session, None] = field(default_factory=dict)  # of this front, in order
    own_kb: float = 0.0  # rate of this front's sessions
    is_in_rack: bool = False  # whether its rack's servers include it
    is_loaded: bool = False  # whether its rack's loaded servers include it
    next_probe_us: int | None = None
    probe_interval_us: int = 0
    waiting_sessions: dict[Session, None] = field(default_factory=dict)  # those that await its load
    residual_link: float = 0.0  # free share of the link, for the request in hand
    residual_streams: float = 0.0  # free share of the streams, for the request in hand


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to set a session up on a server."""

    server: Server
    sent_us: int
    may_have_run: bool = True  # the server may have carried it out
    has_server_error: bool = False  # it ended in an error that counts against no server yet


@dataclass(slots=True, eq=False)
class Session:
    """A session of this front, from its request to its end."""

    id: str
    service_class: ServiceClass
    title: int
    cells: tuple[int, ...]  # where replicas of the title are
    top_rung: int  # highest rung that its client can use
    requested_us: int  # when it was requested
    deadline_us: int  # when the client gives up
    expected_play_us: int | None = None  # how long it is expected to play
    quota_share: float = 1.0  # part of its utility that counts, by its tenant's quota
    state: SessionState = SessionState.WAITING
    rung: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    has_report: bool = False  # a report on its link has come
    awaited: dict[Server, None] | None = None  # servers whose load it awaits; None before it polls
    started_us: int = 0

    @property
    def server(self) -> Server:
        """The server of the last attempt."""
        return self.attempts[-1].server


class Placement(NamedTuple):
    """Where a session is to be served, and at which rung."""

    server: Server
    rung: int


Servers: TypeAlias = list[Server]
HealthAction: TypeAlias = "Callable[[PolicyState, Server], None]"
SessionAction: TypeAlias = "Callable[[PolicyState, Session], SessionEvent | None]"
Loads: TypeAlias = tuple[CellLoad, ...]
SentRates: TypeAlias = tuple[tuple[int, int], ...]
"""Rates that were just sent to cells, as pairs of a cell and kB a second."""

ScoredServer: TypeAlias = tuple[Server, float, float]
"""A server with its utilization factor and that of its network."""


@dataclass(slots=True, eq=False)
class LinkReport:
    """The last report on a server's link or a rack's uplink, in shares of its size, and later sends."""

    capacity_kb: float
    report: float | None = None  # reported share
    as_of_us: int = 0  # when the report was true
    full_until_us: int = 0  # until when short delivery marks the link as full
    # Sends since the report, by time, in kB a second; a link that is never reported must not grow for ever.
    unreported: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=4096))
    unreported_kb: float = 0.0  # their sum


@dataclass(eq=False)
class PolicyRecords:
    """What one front was given and has recorded so far."""

    settings: Settings
    effects: Effects
    created_us: int
    now_us: int  # time of the event in hand
    servers: dict[str, Server] = field(default_factory=dict)  # by address
    replicas: dict[int, list[Server]] = field(default_factory=dict)  # servers by cell
    contacted: dict[Server, None] = field(default_factory=dict)  # servers that got an attempt or a session
    sessions: dict[str, Session] = field(default_factory=dict)  # by id
    seats: dict[tuple[int, ServiceClass], int] = field(default_factory=dict)  # sessions by title and class
    polling_sessions: dict[Session, None] = field(default_factory=dict)  # sessions that await polled loads
    request_times: deque[int] = field(default_factory=deque)  # times of requests, for the retry budget
    retry_times: deque[int] = field(default_factory=deque)  # times of retries, for the retry budget
    title_request_times_us: dict[int, deque[int]] = field(default_factory=dict)  # latest, by title
    # Servers that drain or have left the list, whose state or sessions changed since the last list, and those
    # that left too lately to be forgotten.
    changed_inactive_servers: dict[Server, None] = field(default_factory=dict)
    listed_count: int = 0  # servers that were ever listed
    list_is_fresh: bool = False  # a server list later than the saved one has come
    failed_list_polls: int = 0  # in a row
    kb_per_stream: float = 0.0  # link capacity for each stream, where the list gives no sizes
    mean_offered_utility: float = 0.0  # moving average over requests
    cached_mean: float = 0.0  # mean utilization, and the time that it was computed for
    cached_mean_at_us: int = -1
    class_utilities: dict[ServiceClass, float] = field(default_factory=dict)  # and their time
    class_utilities_at_us: int = -1
