"""Records of the node: an attempt, a session, a server, and the interfaces of their connections."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fennelcove.decisions.servers.connection_loss import ConnectionLossTracker
from fennelcove.interface import LoadReport, Outcome
from fennelcove.node.address import Address

MAX_UNSENT_MESSAGES = 256  # per server without an open connection; the oldest are dropped first


class SessionState(Enum):
    """Where a session is between its set-up request and its end."""

    PENDING = 1  # waits for the placement policy's decision
    ATTEMPTING = 2  # an attempt is under way at a server
    ESTABLISHED = 3  # plays at a server
    CLOSED = 4


class ConnectionState(Enum):
    """State of a connection to a server."""

    DIALLING = 1
    OPEN = 2
    CLOSED = 3


class ServerLink(Protocol):
    """A connection to a server, as its users see it."""

    server: Server
    address: Address
    state: ConnectionState
    dispatched_session: Session | None  # the session whose set-up request is in flight
    abandoned_ids: set[bytes]  # ids of abandoned set-ups for which an answer may still arrive
    last_received_us: int  # when data was last received
    opened_us: int
    keepalive_sent_us: int | None  # when the unanswered liveness probe was sent

    @property
    def is_idle(self) -> bool:
        """Open, with no set-up request in flight."""
        ...

    def dispatch(self, session: Session) -> None:
        """Send the session's set-up request, now or once the connection is open."""
        ...

    def is_ended_by_server(self) -> bool:
        """Whether the kernel has seen the server's end of the stream or a reset."""
        ...

    def send(self, data: bytes) -> bool:
        """Send a message without waiting; False where the connection has failed."""
        ...

    def send_keepalive(self) -> None:
        """Send a liveness probe."""
        ...

    def answer_keepalive(self) -> None:
        """Answer a liveness probe of the server."""
        ...

    def abandon(self, session: Session) -> None:
        """Abandon the session's set-up request."""
        ...

    def on_set_up_completed(self) -> None:
        """Record that the server has answered the set-up request in flight."""
        ...

    def close(self, outcome: Outcome) -> None:
        """Close the connection; the attempt in flight on it ends with `outcome`."""
        ...


class ClientLink(Protocol):
    """A connection from a client, as its users see it."""

    peer: str  # the client's address
    open_sessions: dict[Session, None]  # set-up requests without an answer
    established_sessions: dict[Session, None]  # established sessions
    recent_clients: dict[str, None]  # ids of the clients lately seen here; many may share an address
    withdrawn_ids: set[bytes]  # set-up requests cancelled before any work was begun for them
    is_closed: bool

    def has_left(self) -> bool:
        """Whether the client has closed the connection, as far as the kernel knows."""
        ...

    def send(self, data: bytes) -> bool:
        """Send a message without waiting; False where not all of it was accepted."""
        ...

    def disconnect(self) -> None:
        """Close the connection."""
        ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to set a session up at a server."""

    server: Server
    number: int
    sent_us: int
    timeout_us: int  # timeout, counted from `sent_us`
    link: ServerLink | None = None  # the connection in use until the session is established
    outcome: Outcome = Outcome.NO_ANSWER
    is_sent: bool = False  # its set-up request was handed to the kernel, in part at least
    report: LoadReport | None = None


@dataclass(slots=True, eq=False)
class Session:
    """A client's session, from its set-up request until it is closed."""

    id: bytes
    name: str  # the id as the client wrote it
    cseq: str
    service_class: str
    title: str
    description: bytes  # the body of the set-up request
    client: ClientLink | None  # the connection of the set-up request, while that is open
    peer: str
    state: SessionState = SessionState.PENDING
    rung: int | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    answer: bytes = b""  # the body of the server's answer
    is_answered: bool = False  # the set-up request has its answer
    may_have_run: bool = False  # an attempt that has ended may have been carried out
    retry_after_us: int = 0  # sent to a client that is rejected; 0 for none
    answer_deadline_us: int = 0
    client_id: str = ""

    @property
    def key(self) -> str:
        """The session's id in the placement policy."""
        return self.id.hex()

    @property
    def current_attempt(self) -> Attempt:
        """The attempt in flight, or the one that established the session.

        Raises:
            RuntimeError: there is none; the caller has mistaken the session's state.
        """
        if self.attempt is None:
            raise RuntimeError(f"session {self.key} has no attempt in state {self.state.name}")
        return self.attempt


@dataclass(slots=True, eq=False)
class Server:
    """A server of the discovery service's list; its address may pass to another server once it has gone."""

    name: str
    address: Address
    listed: bool = True
    started_us: int = 0  # start of its process by the list, Unix time; 0 for long ago
    links: dict[ServerLink, None] = field(default_factory=dict)
    established: dict[Session, None] = field(default_factory=dict)
    # Messages for which no connection was open; sent as soon as one is.
    unsent: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_UNSENT_MESSAGES))
    outcome_counts: Counter[Outcome] = field(default_factory=Counter)  # of attempts and sessions here
    connection_loss: ConnectionLossTracker = field(default_factory=ConnectionLossTracker)
    next_dial_us: int = 0  # no dial before this time, while dials fail
    last_closed_us: int = 0  # when its last connection closed
    # A connection was closed before it was read to its end: the server repeats its last messages on the next.
    needs_redial: bool = False
    is_interrupted: bool = False  # it ended the last connection, and none has been opened since
    last_message_us: int = 0  # when it last sent anything
    # When a connection was closed on which it did not answer; 0 once it has sent something since. Until then
    # it may not know of that end, and what it tells next goes there.
    unanswered_close_us: int = 0

    @property
    def needs_link(self) -> bool:
        """Whether a connection must be open, for the ends of sessions or for unsent messages."""
        return bool(self.established or self.unsent)
