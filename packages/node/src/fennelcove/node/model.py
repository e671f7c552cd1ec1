"""What the node holds, by lifetime: an attempt, a session, a server, and their connections."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fennelcove.decisions.servers.connection_loss import ConnectionLossTracker
from fennelcove.interface import LoadReport, Outcome
from fennelcove.node.address import Address

SessionState = Enum("SessionState", "OPEN JOINING STANDING OVER")
ConnectionState = Enum("ConnectionState", "DIALLING OPEN CLOSED")


class ServerLink(Protocol):
    """A link to a server, as whoever has something to send there knows it."""

    server: Server
    address: Address
    phase: ConnectionState
    carried: Session | None  # whose set-up is out
    given_up: set[bytes]
    heard_us: int
    opened_us: int
    tested_us: int | None

    @property
    def idle(self) -> bool: ...

    def carry(self, session: Session) -> None: ...

    def ended(self) -> bool: ...

    def send(self, data: bytes) -> bool: ...

    def test(self) -> None: ...

    def answer_test(self) -> None: ...

    def give_up(self, session: Session) -> None: ...

    def done(self) -> None: ...

    def close(self, outcome: Outcome) -> None: ...


class ClientLink(Protocol):
    """A viewer's connection, as whoever has something to say there knows it."""

    peer: str
    open: dict[Session, None]
    standing: dict[Session, None]
    figures: dict[str, None]  # of the viewers that lately spoke here; many clients may share an address
    withdrawn: set[bytes]  # set-ups taken back before anything was begun for them
    closed: bool

    def left(self) -> bool: ...

    def send(self, data: bytes) -> bool: ...

    def shut(self) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One join, on the link that carries it."""

    server: Server
    number: int
    sent_us: int
    allow_us: int
    link: ServerLink | None = None
    outcome: Outcome = Outcome.NO_ANSWER
    report: LoadReport | None = None


@dataclass(slots=True, eq=False)
class Session:
    """From its set-up until it is over; `viewer` is the connection of its set-up while that is open."""

    id: bytes
    name: str  # the id as its viewer wrote it
    cseq: str
    service_class: str
    title: str
    description: bytes
    viewer: ClientLink | None
    peer: str
    state: SessionState = SessionState.OPEN
    rung: int | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    answer: bytes = b""
    wait_us: int = 0  # what a throttled viewer is told to keep away for
    answer_by_us: int = 0
    figure: str = ""  # its viewer's

    @property
    def key(self) -> str:
        """What the module calls it."""
        return self.id.hex()


@dataclass(slots=True, eq=False)
class Server:
    """A host of the notice board: another one may get its address once it has gone."""

    name: str
    address: Address
    listed: bool = True
    started_us: int = 0  # its process, as the board tells; 0 for long ago
    links: dict[ServerLink, None] = field(default_factory=dict)
    standing: dict[Session, None] = field(default_factory=dict)
    # What could not be sent for want of an open link; the next one that opens takes it along.
    unsent: deque[bytes] = field(default_factory=lambda: deque(maxlen=256))
    seen: Counter[Outcome] = field(default_factory=Counter)  # how joins and what they started ended here
    parting: ConnectionLossTracker = field(default_factory=ConnectionLossTracker)
    dial_at_us: int = 0  # not before, while dials fail
    left_us: int = 0  # when its last link ended
    # A connection was closed before its end was read: what the server told there last comes on the next one.
    dial_anew: bool = False

    @property
    def needs_link(self) -> bool:
        """What ends there is told on any open link, and on the next that is opened."""
        return bool(self.standing or self.unsent)
