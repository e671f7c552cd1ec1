"""Data model of the node: attempts, sessions, servers, and the interfaces of their connections."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fennelcove.decisions.servers.connection_loss import ConnectionLossTracker
from fennelcove.interface import LoadReport, Outcome
from fennelcove.node.address import Address
from fennelcove.node.server_outbox import ServerOutbox, SessionMessage, UnconfirmedMessages


class SessionState(Enum):
    """State of a session, from its set-up request to its end."""

    PENDING = 1  # waits for the placement policy's decision
    ATTEMPTING = 2  # an attempt is in flight at a server
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
    abandoned_ids: set[bytes]  # ids of abandoned set-ups that may still be answered here
    last_received_us: int  # when data was last received
    opened_us: int
    keepalive_sent_us: int | None  # when the keepalive request without an answer was sent
    is_overdue: bool  # it is still being opened, after the settings' timeout
    unconfirmed: UnconfirmedMessages  # returned to the server's outbox when the connection closes

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

    def deliver(self, message: SessionMessage) -> bool:
        """Send a message about a session without waiting; False if the connection has failed."""
        ...

    def send_queued_messages(self) -> None:
        """Send the messages of the server's outbox."""
        ...

    def send_keepalive(self) -> None:
        """Send a keepalive request."""
        ...

    def answer_keepalive(self) -> None:
        """Answer a keepalive request of the server."""
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
    open_sessions: dict[Session, None]  # sessions whose set-up request has no answer yet
    established_sessions: dict[Session, None]
    recent_clients: dict[str, None]  # ids of clients that sent requests here; many may share an address
    withdrawn_ids: set[bytes]  # ids of set-up requests that were cancelled before their processing began
    is_closed: bool

    def has_left(self) -> bool:
        """Whether the client has closed the connection, as far as the kernel knows."""
        ...

    def send(self, data: bytes) -> bool:
        """Send a message without waiting; False if the kernel did not accept all of it."""
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
    confirmed_us: int = 0  # when the server last sent a message about the session that it established
    is_sent: bool = False  # at least a part of its set-up request was passed to the kernel
    report: LoadReport | None = None


@dataclass(slots=True, eq=False)
class Session:
    """A client's session, from its set-up request until it is closed."""

    id: bytes
    name: str  # the id in the client's spelling
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
    is_answered: bool = False  # the set-up request has been answered
    may_have_run: bool = False  # a server may have executed an earlier attempt
    retry_after_us: int = 0  # sent to a client that is rejected; 0 sends no delay
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
            RuntimeError: there is none; the caller has assumed a wrong state of the session.
        """
        if self.attempt is None:
            raise RuntimeError(f"session {self.key} has no attempt in state {self.state.name}")
        return self.attempt


@dataclass(slots=True, eq=False)
class Server:
    """A server of the discovery service's list; after it has gone, another server may get its address."""

    name: str
    address: Address
    listed: bool = True
    started_us: int = 0  # start of its process by the server list, Unix time; 0 for long ago or unknown
    links: dict[ServerLink, None] = field(default_factory=dict)
    established: dict[Session, None] = field(default_factory=dict)
    outbox: ServerOutbox = field(default_factory=ServerOutbox)
    outcome_counts: Counter[Outcome] = field(default_factory=Counter)  # of attempts and sessions here
    connection_loss: ConnectionLossTracker = field(default_factory=ConnectionLossTracker)
    next_dial_us: int = 0  # no dial before this time, while dials fail
    last_closed_us: int = 0  # when its last connection closed
    # A connection was closed before all its data was read: the server repeats its last messages on the next.
    needs_redial: bool = False
    is_interrupted: bool = False  # the server ended the last connection, and none has been opened since
    last_message_us: int = 0  # when the server last sent anything
    # When a connection was closed because the server did not answer on it; 0 after the server has sent
    # something since. Until then it may not have noticed the close, and may send its next messages there.
    unanswered_close_us: int = 0

    @property
    def needs_link(self) -> bool:
        """Whether a connection is needed, to receive the ends of sessions or to send queued messages."""
        return bool(self.established or self.outbox)

    def take_message(self, session: bytes) -> SessionMessage | None:
        """Remove and return the message about a session that the server may not have read, or None."""
        candidates = [self.outbox.take(session), *(link.unconfirmed.take(session) for link in self.links)]
        return next((message for message in candidates if message is not None), None)

    @property
    def prompt_links(self) -> list[ServerLink]:
        """Its connections that are open, or being opened and not overdue."""
        return [link for link in self.links if not link.is_overdue]
