"""Plain records of the placement policy: fields only, every decision stands in the policy's files."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from fennelcove.interface import ServerState, ServiceClass

if TYPE_CHECKING:
    from fennelcove.placement.state import LinkLoad

# Where a subscription stands, what moves it on, and what this front's own joins tell of a server.
SessionState = Enum("SessionState", "WAITING JOINING PLAYING ABANDONED ENDED")
SessionEvent = Enum("SessionEvent", "TRY PLACED NO_ROOM STUCK STARTED FAILED FINISHED CLIENT_GONE")
Health = Enum("Health", "WELL SHUT TRIAL")


@dataclass(slots=True, eq=False)
class Rack:
    uplink: LinkLoad
    servers: list[Server] = field(default_factory=list)
    residual_uplink: float = 0.0  # the uplink's residue for the request in hand


@dataclass(slots=True, eq=False)
class Server:
    """What the front holds on one server, over all the server's lives."""

    address: str
    zone: str
    cell: int
    rack: Rack
    streams_most: int
    link: LinkLoad
    started_us: int
    standing: ServerState = ServerState.ACTIVE
    last_attempt_us: int | None = None
    health: Health = Health.WELL
    strikes: int = 0
    shut_until_us: int = 0
    sessions: dict[Session, None] = field(default_factory=dict)
    own_kb: float = 0.0
    next_probe_us: int | None = None
    probe_interval_us: int = 0
    waiting_sessions: dict[Session, None] = field(default_factory=dict)  # of thousands held, those to tell
    residual_link: float = 0.0  # the residues for the request in hand
    residual_streams: float = 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_us: int
    may_have_run: bool = True
    has_server_error: bool = False


@dataclass(slots=True, eq=False)
class Session:
    id: str
    service_class: ServiceClass
    title: int
    cells: tuple[int, ...]
    top: int
    taken_us: int
    timeout_us: int
    watch_guess_us: int | None = None
    share: float = 1.0  # of its benefit that is counted on
    life: SessionState = SessionState.WAITING
    rung: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    noted: bool = False
    asked: dict[Server, None] | None = None  # of whom it awaits news; None before it asks
    started_us: int = 0

    @property
    def server(self) -> Server:
        return self.attempts[-1].server
