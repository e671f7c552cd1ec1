"""Connections to servers: one thread each, and at most one set-up request in flight on each.

A server's answer may be corrupted, cut off or missing, and then the connection is unusable for everything
else in flight on it. With one set-up per connection, only the set-up with the faulty answer is lost.
"""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from typing import Protocol

from fennelcove.decisions.servers.connection_loss import (
    MIN_REDIAL_DELAY_US,
    UNCONFIRMED_LOSS_US,
    DialResult,
)
from fennelcove.interface import LoadReport, Outcome
from fennelcove.isup import writer
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter, ProtocolError
from fennelcove.isup.reader import Reader
from fennelcove.node.config import Config
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.metrics import Metric, NodeMetrics
from fennelcove.node.model import Attempt, ConnectionState, Server, ServerLink, Session
from fennelcove.node.node_lock import NodeLock
from fennelcove.node.server_outbox import SessionMessage, UnconfirmedMessages
from fennelcove.node.socket_calls import poll_peer_events, send_now, wait_until_connected

READ_BYTES = 16_384
MAX_DIAL_US = UNCONFIRMED_LOSS_US  # of an overdue dial; by then the sessions that it is for count as lost
NO_SESSION_ID = bytes(8)
KEEPALIVE_REQUEST_CAUSE = b"\0"
KEEPALIVE_ANSWER_CAUSE = b"\1"


class SendGuard(Protocol):
    """The invariants that are checked before a set-up request is sent."""

    def may_send(self, session: Session) -> bool:
        """Whether the session's current attempt may be sent to its server now."""
        ...


class ConnectionOwner(Protocol):
    """Receives the messages and the state changes of connections to servers.

    Every method but `now_us` is called with `lock` held.
    """

    config: Config
    lock: NodeLock
    descriptors: DescriptorBudget
    metrics: NodeMetrics

    @property
    def guard(self) -> SendGuard:
        """The guard of sessions' invariants."""
        ...

    def now_us(self) -> int:
        """Return the Unix time in microseconds; monotonic."""
        ...

    def supervise(self, server: Server) -> None:
        """Include a server in the periodic checks."""
        ...

    def queue_message(self, server: Server, message: SessionMessage) -> None:
        """Queue a message for the server's next connection."""
        ...

    def on_server_message(self, link: ServerLink, message: Message) -> None:
        """Handle a message from a server."""
        ...

    def on_attempt_completed(self, session: Session, outcome: Outcome, report: LoadReport | None) -> None:
        """Handle the outcome of a session's current attempt."""
        ...

    def accepts_attempts(self, server: Server) -> bool:
        """Whether the server list allows new attempts at this server."""
        ...

    def is_still_wanted(self, session: Session) -> bool:
        """Whether a set-up that waited for its connection is still to be sent; closes the session if not."""
        ...

    def on_dial_failed(self, server: Server, refused: bool) -> None:
        """Handle a connection to a server that could not be made."""
        ...

    def may_stay_overdue(self, server: Server) -> bool:
        """Whether a dial to this server may go on after its timeout."""
        ...


class ServerConnection:
    """One connection to a server. Every method but `run` is called with the manager's lock held."""

    def __init__(self, manager: ConnectionOwner, server: Server) -> None:
        self.manager = manager
        self.server = server
        self.address = server.address  # the server may be listed at another address while this is open
        self.state = ConnectionState.DIALLING
        self.sock: socket.socket | None = None
        self.dispatched_session: Session | None = None  # the session whose set-up is in flight
        self.abandoned_ids: set[bytes] = set()  # ids of abandoned set-ups that may still be answered here
        self.last_received_us = self.opened_us = manager.now_us()
        self.keepalive_sent_us: int | None = None
        self.is_overdue = False  # still dialling after the timeout; the attempt that waited for it has failed
        self.is_dialling = False  # its thread is dialling, with a descriptor open even if the state is CLOSED
        self.descriptor = manager.descriptors.reserve(DescriptorUse.SERVER)
        self.unconfirmed = UnconfirmedMessages()
        self.is_read_to_end = False  # every message that the server has sent here has been handled
        server.links[self] = None
        manager.supervise(server)

    @property
    def is_idle(self) -> bool:
        """Whether it is open with no set-up in flight."""
        return self.state is ConnectionState.OPEN and self.dispatched_session is None

    def is_ended_by_server(self) -> bool:
        """Whether the server has closed or reset the stream, even if the thread has not read that yet.

        Data sent after that is lost, and a lost set-up must be treated as one that may have been executed.
        """
        return self.sock is not None and poll_peer_events(self.sock) != 0

    def start(self) -> None:
        """Start to dial in a new thread; if no thread can be started, the connection is closed at once."""
        self.is_dialling = True
        try:
            threading.Thread(target=self.run, name="server", daemon=True).start()
        except RuntimeError:
            self.is_dialling = False
            self.close(Outcome.NOT_SENT)

    def dispatch(self, session: Session) -> None:
        """Send this session's set-up, now or as soon as the connection is open."""
        self.dispatched_session = session
        if self.state is ConnectionState.OPEN:
            self._send_set_up(session)

    def _send_set_up(self, session: Session) -> None:
        assert session.attempt is not None
        if not self.manager.guard.may_send(session):
            self._complete_attempt(Outcome.NOT_SENT)
            return
        # A message about an earlier session of this id must not reach the server after the set-up.
        earlier = self.server.take_message(session.id)
        if earlier is not None and not self.deliver(earlier, Outcome.NOT_SENT):
            self.manager.queue_message(self.server, earlier)
            return
        session.attempt.is_sent = True
        parameters = self._set_up_parameters(session, session.attempt)
        # If the kernel accepts only a part, the connection is closed: no server receives a complete set-up.
        self.send(writer.message(MessageKind.SET_UP, session.id, *parameters), Outcome.NOT_SENT)

    def _set_up_parameters(self, session: Session, attempt: Attempt) -> list[tuple[Parameter, bytes]]:
        deadline_us = attempt.sent_us + attempt.timeout_us
        remaining_ms = max(1, (deadline_us - self.manager.now_us()) // 1000)
        parameters = [
            (Parameter.SERVICE_CLASS, session.service_class.encode()),
            (Parameter.TITLE, session.title.encode()),
            (Parameter.TIMEOUT_MS, b"%d" % remaining_ms),
        ]
        if session.rung is not None:
            parameters.append((Parameter.RUNG, b"%d" % session.rung))
        parameters.append((Parameter.DESCRIPTION, session.description))
        return parameters

    def send(self, data: bytes, failure_outcome: Outcome = Outcome.CONNECTION_LOST) -> bool:
        """Send a short message without waiting; the connection is closed if the kernel does not accept it.

        Args:
            data: the complete message.
            failure_outcome: the outcome of the set-up in flight, if the message can't be sent.

        Returns:
            Whether the connection is still open.
        """
        if self.state is ConnectionState.OPEN and self.sock is not None and not send_now(self.sock, data):
            self.close(failure_outcome)
        return self.state is ConnectionState.OPEN

    def deliver(self, message: SessionMessage, failure_outcome: Outcome = Outcome.CONNECTION_LOST) -> bool:
        """Send a message about a session; it is queued again if the connection ends before it is confirmed.

        Args:
            message: the message; if it can't be sent it is not queued.
            failure_outcome: the outcome of the set-up in flight, if the message can't be sent.

        Returns:
            Whether the connection is still open.
        """
        if not self.send(message.data, failure_outcome):
            return False
        self.unconfirmed.on_sent(message)
        return True

    def send_keepalive(self) -> None:
        """Send a keepalive request."""
        self.keepalive_sent_us = self.manager.now_us()
        self.unconfirmed.on_keepalive_sent()
        self.send(
            writer.message(MessageKind.KEEPALIVE, NO_SESSION_ID, (Parameter.CAUSE, KEEPALIVE_REQUEST_CAUSE))
        )

    def answer_keepalive(self) -> None:
        """Answer the server's keepalive request."""
        self.send(
            writer.message(
                MessageKind.KEEPALIVE_ANSWER, NO_SESSION_ID, (Parameter.CAUSE, KEEPALIVE_ANSWER_CAUSE)
            )
        )

    def abandon(self, session: Session) -> None:
        """Abandon the set-up in flight; an answer that still arrives for it is ignored."""
        if self.dispatched_session is session:
            self.dispatched_session = None
            self.abandoned_ids.add(session.id)
            self.send(writer.release(session.id, Cause.OK))

    def on_set_up_completed(self) -> None:
        """Record that the server has answered the set-up in flight, and so has read all earlier releases."""
        if self.dispatched_session is not None:
            self.unconfirmed.take(self.dispatched_session.id)
        self.dispatched_session = None
        self.abandoned_ids.clear()

    def close(self, outcome: Outcome) -> None:
        """Close the connection.

        Args:
            outcome: the outcome of the set-up in flight, if there is one.
        """
        if self.state is ConnectionState.CLOSED:
            return
        if self.state is ConnectionState.OPEN and not self.is_read_to_end:
            self.server.needs_redial = True
            if outcome is Outcome.NO_ANSWER or self.keepalive_sent_us is not None:
                self.server.unanswered_close_us = self.manager.now_us()
        self.manager.metrics.count(Metric.SERVER_CONNECTION_CLOSED, f"{self.state.name}_{outcome.name}")
        self.state = ConnectionState.CLOSED
        self.server.links.pop(self, None)
        for message in self.unconfirmed.take_all():
            self.manager.queue_message(self.server, message)
        self.server.last_closed_us = self.manager.now_us()
        if not self.is_dialling or self.is_overdue:  # an overdue dial is ended below
            self.descriptor.release_reservation()
        session, self.dispatched_session = self.dispatched_session, None
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread, which closes the descriptor
        if session is not None:
            self.manager.on_attempt_completed(session, outcome, None)

    def run(self) -> None:
        """Dial, then receive until the connection ends; the body of the connection's thread."""
        sock = self._connect()
        if sock is None:
            return
        is_reset = False
        try:
            self._receive(sock)
        except ConnectionResetError:
            is_reset = True
        except (OSError, ProtocolError):
            pass  # broken or unparsable: nothing more can be received
        finally:
            with self.manager.lock:
                if is_reset and self.state is ConnectionState.OPEN:
                    self.server.connection_loss.on_reset()
                self.server.is_interrupted |= self.state is ConnectionState.OPEN
                self.close(Outcome.CONNECTION_LOST)
                self.sock = None
            self.descriptor.close()

    def _connect(self) -> socket.socket | None:
        """Open the socket and connect it; None if there is no connection to receive from."""
        timeout_us = self.manager.config.connection_settings.connect_us
        try:
            sock = self.descriptor.open_socket(timeout_us)
        except OSError:
            self._on_no_descriptor()
            return None
        try:
            sock.settimeout(timeout_us / 1e6)
            try:
                sock.connect((self.address.host, self.address.port))
            except TimeoutError:
                if not self._stay_overdue(sock):
                    raise
                wait_until_connected(sock, MAX_DIAL_US - timeout_us)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self._on_connect_failed(error)
            return None
        return self._on_connected(sock)

    def _on_no_descriptor(self) -> None:
        """Close the connection; a missing descriptor proves nothing about the server.

        If it were not closed here, the connection would stay in the server's table for good and keep a server
        with established sessions from getting another one.
        """
        with self.manager.lock:
            self._on_dial_finished()
            self.server.next_dial_us = self.manager.now_us() + MIN_REDIAL_DELAY_US
            self.close(Outcome.NOT_SENT)

    def _stay_overdue(self, sock: socket.socket) -> bool:
        """Fail the attempt that waits for this dial, but go on dialling; False if the dial has to end."""
        with self.manager.lock:
            if self.state is not ConnectionState.DIALLING or not self.manager.may_stay_overdue(self.server):
                return False
            self.is_overdue, self.sock = True, sock
            self._complete_attempt(Outcome.NO_CONNECTION)
            self.manager.on_dial_failed(self.server, refused=False)
            return True

    def _on_connect_failed(self, error: OSError) -> None:
        with self.manager.lock:
            self.sock = None
        self.descriptor.close()
        is_refused = isinstance(error, ConnectionRefusedError)
        with self.manager.lock:
            self._on_dial_finished()
            if self.state is ConnectionState.DIALLING:
                self.close(Outcome.NO_CONNECTION)
                if is_refused or not self.is_overdue:  # that it was not made in time is recorded already
                    self.manager.on_dial_failed(self.server, is_refused)

    def _on_connected(self, sock: socket.socket) -> socket.socket | None:
        """Open the connection; None if it was closed while its thread dialled."""
        with self.manager.lock:
            self._on_dial_finished()
            self.is_overdue, self.sock = False, None
            if self.state is ConnectionState.DIALLING:
                self.state, self.sock, self.last_received_us = (
                    ConnectionState.OPEN,
                    sock,
                    self.manager.now_us(),
                )
                self.opened_us = self.last_received_us
                self.server.is_interrupted = False
                self.server.connection_loss.on_dial_completed(DialResult.CONNECTED, self.last_received_us)
                self._on_opened()
                return sock
        self.descriptor.close()
        return None

    def _on_dial_finished(self) -> None:
        """Release the descriptor's reservation if the connection was closed while its thread dialled.

        An abandoned dial keeps its descriptor open until the dial ends, and has to be counted until then:
        otherwise dials to unreachable servers exceed the node's descriptor budget.
        """
        self.is_dialling = False
        if self.state is ConnectionState.CLOSED:
            self.descriptor.release_reservation()

    def _on_opened(self) -> None:
        """Send the messages and the set-up that waited for the connection."""
        if self.is_ended_by_server():
            # The server has closed it already: a set-up sent now would count as possibly executed.
            self._complete_attempt(Outcome.NO_CONNECTION)
            return
        # If a queued message can't be sent, the waiting set-up was not sent either.
        self.send_queued_messages(Outcome.NOT_SENT)
        if not self.manager.accepts_attempts(self.server) or self.address != self.server.address:
            # The list has changed during the dial: a slow dial may outlast the grace period, and another
            # server may have the address by now. The connection stays open for the established sessions.
            self._complete_attempt(Outcome.NOT_SENT)
        elif self.dispatched_session is not None:
            self._send_waiting_set_up()

    def send_queued_messages(self, failure_outcome: Outcome = Outcome.CONNECTION_LOST) -> None:
        """Send the messages of the server's outbox; those that can't be sent stay there."""
        outbox = self.server.outbox
        while outbox and self.state is ConnectionState.OPEN:
            message = outbox.take_first()
            if not self.deliver(message, failure_outcome):
                self.manager.queue_message(self.server, message)

    def _send_waiting_set_up(self) -> None:
        session, self.dispatched_session = self.dispatched_session, None
        if session is not None and self.manager.is_still_wanted(session):
            self.dispatched_session = session
            self._send_set_up(session)

    def _complete_attempt(self, outcome: Outcome) -> None:
        """Report the outcome of the set-up in flight, if there is one; the connection stays open."""
        session, self.dispatched_session = self.dispatched_session, None
        if session is not None:
            self.manager.on_attempt_completed(session, outcome, None)

    def _receive(self, sock: socket.socket) -> None:
        """Handle messages until the server closes the stream."""
        reader = Reader()
        while data := sock.recv(READ_BYTES):
            reader.feed(data)
            with self.manager.lock:
                self._handle_messages(reader)
        self.is_read_to_end = True

    def _handle_messages(self, reader: Reader) -> None:
        self.last_received_us, self.keepalive_sent_us = self.manager.now_us(), None
        self.server.connection_loss.on_received(self.last_received_us)
        self.server.last_message_us = self.last_received_us
        # All messages are handled even if one of them closes the connection: a release may be among the rest.
        while (message := reader.next()) is not None:
            if message.kind is MessageKind.RELEASE_COMPLETE:
                self.unconfirmed.take(message.session)
            elif message.kind is MessageKind.KEEPALIVE_ANSWER:
                self.unconfirmed.on_keepalive_answered()
            self.manager.on_server_message(self, message)
