"""Connections from clients: one thread each, and a timeout on every wait."""

from __future__ import annotations

import select
import socket
from contextlib import suppress
from enum import IntEnum
from typing import Protocol

from fennelcove.clock import Clock
from fennelcove.node import client_requests, session_states
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.metrics import Metric
from fennelcove.node.model import ClientLink, Session
from fennelcove.node.node_lock import NodeLock
from fennelcove.node.pending_notifications import PendingNotifications
from fennelcove.node.receive_queue import ReadAheadLimit, ReceiveQueue, read_ahead_limit
from fennelcove.node.socket_calls import poll_peer_events, send_now, set_receive_timeout
from fennelcove.rtsp import writer
from fennelcove.rtsp.messages import ProtocolError

READ_BYTES = 16_384
MESSAGE_TIMEOUT_US = 2_000_000  # from accept, or from a message's first byte, until the message is complete
IDLE_TIMEOUT_US = 10_000_000  # of a connection without an open or established session
DRAIN_TIMEOUT_US = 500_000  # for each read of data that arrives after the end, and for all of them together
DRAIN_READ_BYTES = 65_536
# No new connection is evicted earlier: its first message may still be in transit. At the lowest configurable
# limit 150 connections a second are still admitted, so hundreds that send nothing are evicted within 3 s.
EVICTION_GRACE_US = 20_000
# Places that connections in use leave to new ones: one in eight, but at least three.
MIN_RESERVED_FOR_NEW = 3
RESERVED_FOR_NEW_DIVISOR = 8
PEER_GONE_EVENTS = select.POLLRDHUP | select.POLLERR


class EvictionClass(IntEnum):
    """Unused connections in the order in which they give way to new ones."""

    CLOSED = 1  # only drained
    SILENT = 2  # some clients open hundreds of connections and never send
    ANSWERED = 3  # its client may use it again, or opens another one
    NEW = 4  # its first message may still be in transit; new connections wait until it is silent


class CloseGuard(session_states.Guard, Protocol):
    """The invariants that are checked when a connection is closed."""

    def check_close(self, client: ClientLink) -> None:
        """Check that every set-up request on a connection that the node closes has been answered."""
        ...


class ClientSessions(client_requests.SessionService, Protocol):
    """The session manager, as connections from clients use it."""

    lock: NodeLock
    clock: Clock
    connections: ConnectionTable
    descriptors: DescriptorBudget

    @property
    def guard(self) -> CloseGuard:
        """The guard of sessions' invariants."""
        ...


class ClientConnection:
    """One connection from a client.

    Its thread calls `run` without the manager's lock; every other public method is called with it held.
    """

    def __init__(self, manager: ClientSessions, sock: socket.socket, peer: str) -> None:
        self.manager = manager
        self.sock = sock
        self.descriptor = manager.descriptors.register_open(DescriptorUse.ACCEPT, sock)
        self.peer = peer
        self.open_sessions: dict[Session, None] = {}
        self.established_sessions: dict[Session, None] = {}
        self.receive_queue = ReceiveQueue()
        self.receive_timeout_us = 0
        self.recent_clients: dict[str, None] = {}
        self.withdrawn_ids: set[bytes] = set()
        self.accepted_us = manager.clock.now_us()
        self.has_sent_message = False
        # Its thread is processing data that it has read; it checks `is_closed` before it reads again.
        self.is_busy = False
        self.is_ended_by_client = False
        self.is_finishing = False  # the node shuts down, and has shut down the receiving side itself
        self.is_closed = False
        self.end_reason = "disconnected"

    @property
    def is_unused(self) -> bool:
        """Whether it has neither open nor established sessions, so that it may be closed."""
        return not self.open_sessions and not self.established_sessions

    def eviction_class(self, now_us: int) -> EvictionClass:
        """How readily it gives way to a new connection while it is unused."""
        if self.is_closed:
            return EvictionClass.CLOSED
        if self.has_sent_message:
            return EvictionClass.ANSWERED
        is_new = now_us < self.accepted_us + EVICTION_GRACE_US
        return EvictionClass.NEW if is_new else EvictionClass.SILENT

    @property
    def has_unread_data(self) -> bool:
        """Whether data has arrived that its thread has not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def send(self, data: bytes) -> bool:
        """Send a message without waiting; the client is disconnected if the kernel's send buffer is full.

        Returns:
            Whether the kernel accepted all of the message.
        """
        if not self.is_closed and not send_now(self.sock, data):
            self.disconnect()
        return not self.is_closed

    def has_left(self) -> bool:
        """Whether the client has closed, as far as the kernel knows; data may still be unread."""
        if self.is_ended_by_client or self.is_closed:
            return True
        if self.is_finishing:  # the node itself ended the stream, which proves nothing about the client
            return False
        try:
            return bool(poll_peer_events(self.sock) & PEER_GONE_EVENTS)
        except (OSError, ValueError):
            return False

    def disconnect(self) -> None:
        """Disconnect the client; the connection's thread closes the descriptor."""
        self.is_closed = True
        if not self.is_busy:  # else its thread checks `is_closed`, and must still be able to drain
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def finish_reading(self) -> None:
        """Shut down the receiving side; the thread still reads what has already arrived."""
        self.is_finishing = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def run(self) -> None:
        """Receive until the connection ends; the body of the connection's thread."""
        try:
            self._receive()
        except OSError:
            self.is_ended_by_client = True  # reset or broken
            self.end_reason = "reset"
        except ProtocolError as error:
            self.end_reason = f"unreadable_{error.status}"
            with self.manager.lock:
                client_requests.answer_open_requests(self.manager, self)
                self.send(writer.response(error.status))
        finally:
            with self.manager.lock:
                self.manager.metrics.count(Metric.CLIENT_CONNECTION_CLOSED, self.end_reason)
                if not (self.is_ended_by_client or self.has_left()):
                    self.manager.guard.check_close(self)
                self.is_closed = True
                client_requests.on_client_gone(self.manager, self)
            self._drain()
            with self.manager.lock:
                self.manager.connections.remove(self)
            self.descriptor.close()

    def _drain(self) -> None:
        """Shut down the sending side, then read and discard what still arrives until the drain times out.

        Closing a socket with unread data resets the connection, and the reset destroys the answer that was
        just sent.
        """
        self.is_busy = False  # an eviction may end the drain early
        deadline_us = self.manager.clock.now_us() + DRAIN_TIMEOUT_US
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            set_receive_timeout(self.sock, DRAIN_TIMEOUT_US)
            while self.sock.recv(DRAIN_READ_BYTES) and self.manager.clock.now_us() < deadline_us:
                pass

    def _receive(self) -> None:
        """Process received data until the connection ends or times out."""
        deadline_us = self.manager.clock.now_us() + MESSAGE_TIMEOUT_US
        while not self.is_closed and not self.is_ended_by_client:
            remaining_us = deadline_us - self.manager.clock.now_us()
            if remaining_us <= 0 and self._may_time_out():
                data = self._receive_at_deadline()
                if data is None:
                    return
            else:
                if remaining_us <= 0:
                    remaining_us = IDLE_TIMEOUT_US
                    deadline_us += IDLE_TIMEOUT_US
                self._limit_receive(remaining_us)
                data = self._receive_or_time_out()
                if data is None:
                    continue
            if not data:
                self.is_ended_by_client = True
                self.end_reason = "shutdown" if self.is_finishing else "client_left"
                return
            deadline_us = self._process(data, deadline_us)

    def _may_time_out(self) -> bool:
        """Whether no complete message has arrived, one is incomplete, or no session is left."""
        return not self.receive_queue.is_empty or not self.has_sent_message or self.is_unused

    def _limit_receive(self, remaining_us: int) -> None:
        """Set the socket's receive timeout, unless the present one is close enough, to save a system call."""
        if not remaining_us <= self.receive_timeout_us <= remaining_us + MESSAGE_TIMEOUT_US // 2:
            self.receive_timeout_us = remaining_us
            set_receive_timeout(self.sock, remaining_us)

    def _process(self, data: bytes, deadline_us: int) -> int:
        """Process what was read, and return the new deadline.

        Raises:
            ProtocolError: the data is malformed.
        """
        queue = self.receive_queue
        begins_message = queue.is_empty
        queue.limit = self.manager.connections.read_ahead_limit()
        queue.feed(data)
        has_processed = self._process_messages()
        queue.raise_failure()
        if queue.is_empty:
            return self.manager.clock.now_us() + IDLE_TIMEOUT_US
        if (begins_message or has_processed) and self.has_sent_message:
            return self.manager.clock.now_us() + MESSAGE_TIMEOUT_US
        return deadline_us

    def _receive_or_time_out(self) -> bytes | None:
        """Return what arrives next; empty at the end of the stream, None if nothing arrives in time."""
        self.is_busy = False  # before `is_closed` is read: `disconnect` sets `is_closed`, then reads this
        try:
            if self.is_closed:
                return None
            # Peeked, not read: an eviction must see the data either in the kernel or by `is_busy`.
            self.sock.recv(1, socket.MSG_PEEK)
            self.is_busy = True
            return self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None
        finally:
            self.is_busy = True

    def _receive_at_deadline(self) -> bytes | None:
        """Return the data that has arrived at the deadline; if there is none, close the connection.

        Returns:
            The data, to be processed; None if the connection is closed. What arrives after that is not
            processed: the client sends it again on another connection.
        """
        with self.manager.lock:
            data = self._receive_available()
            if data is None:
                client_requests.answer_open_requests(self.manager, self)
                self.is_closed = True
                self.end_reason = "timed_out"
        return data

    def _receive_available(self) -> bytes | None:
        """Return what has arrived, without waiting; None if nothing has, empty at the end of the stream."""
        try:
            return self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _process_messages(self) -> bool:
        """Process the queued messages, acquiring the lock for each one.

        A flood on one connection must not block the others. Before each message, the data that has arrived
        after it is read: no session may be started for a client that has left or withdrawn its request while
        earlier messages were processed or waited for the lock.

        Returns:
            Whether a message was processed.
        """
        queue = self.receive_queue
        has_processed = False
        while queue.messages:
            with self.manager.lock:
                following = self._receive_following()
                if not following:
                    has_processed = self.has_sent_message = True
                    self._process_next()
            if following:
                queue.feed(following)
        return has_processed

    def _process_next(self) -> None:
        queue = self.receive_queue
        message = queue.pop()
        is_abandoned = self.is_ended_by_client or self.is_closed or queue.is_withdrawn(message)
        client_requests.on_client_message(self.manager, self, message, is_abandoned)

    def _receive_following(self) -> bytes | None:
        """Return what has arrived after the queued messages; the end of the stream is handled at once."""
        if self.is_ended_by_client or self.is_closed:
            return None
        if self.receive_queue.is_full:
            following = b"" if self.has_left() else None
        else:
            following = self._receive_available()
        if following != b"":
            return following
        if self.is_finishing:
            return None
        self.is_ended_by_client = True
        client_requests.on_client_gone(self.manager, self)
        return following


class ConnectionTable:
    """The open connections from clients, oldest first, up to a maximum; guarded by the manager's lock."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        reserved = max(MIN_RESERVED_FOR_NEW, max_connections // RESERVED_FOR_NEW_DIVISOR)
        self.max_connections_in_use = max(1, max_connections - reserved)
        self.connections: dict[ClientConnection, None] = {}
        self.connections_by_peer: dict[str, dict[ClientConnection, None]] = {}
        self.pending_notifications = PendingNotifications()

    def add(self, connection: ClientConnection) -> bool:
        """Add a connection; if the table is full, an unused one is evicted first.

        Returns:
            False if the table is full of connections in use.
        """
        if len(self.connections) >= self.max_connections:
            # If every unused connection is still sending, the oldest of them is evicted.
            now_us = connection.manager.clock.now_us()
            evicted = self._eviction_candidate(now_us) or self._oldest_unused()
            if evicted is None:
                return False
            self._evict(evicted)
        self.connections[connection] = None
        self.connections_by_peer.setdefault(connection.peer, {})[connection] = None
        return True

    def _oldest_unused(self) -> ClientConnection | None:
        candidates = (each for each in self.connections if each.is_unused and not each.is_closed)
        return next(candidates, None)

    def _eviction_candidate(self, now_us: int) -> ClientConnection | None:
        """Return the connection to evict, by `EvictionClass`, and of one class the oldest.

        A connection with unread data is kept, since the request in it would get no answer.
        """
        candidates = [
            each for each in self.connections if each.is_unused and (each.is_closed or not each.is_busy)
        ]
        candidates.sort(key=lambda each: each.eviction_class(now_us))
        return next((each for each in candidates if each.is_closed or _has_nothing_to_process(each)), None)

    def _evict(self, connection: ClientConnection) -> None:
        connection.disconnect()
        self.remove(connection)

    def evict_one(self, now_us: int) -> None:
        """Evict an unused connection, if there is one."""
        candidate = self._eviction_candidate(now_us)
        if candidate is not None:
            self._evict(candidate)

    def admission_delay_us(self, now_us: int) -> int:
        """Return how long a new connection waits before another is evicted for it, in microseconds."""
        if len(self.connections) < self.max_connections:
            return 0
        candidate = self._eviction_candidate(now_us)
        if candidate is None:  # every unused connection is sending just now
            return EVICTION_GRACE_US
        if candidate.eviction_class(now_us) is not EvictionClass.NEW:
            return 0
        return candidate.accepted_us + EVICTION_GRACE_US - now_us

    def may_hold_sessions(self, connection: ClientLink) -> bool:
        """Whether this connection may have open or established sessions.

        If all connections had some, a new one would have to be closed without an answer, and health checks of
        the platform would fail.
        """
        if connection.open_sessions or connection.established_sessions:
            return True
        return sum(not each.is_unused for each in self.connections) < self.max_connections_in_use

    def read_ahead_limit(self) -> ReadAheadLimit:
        """How much each connection may read ahead; needs no lock."""
        return read_ahead_limit(len(self.connections))

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection; removing it again has no effect."""
        self.connections.pop(connection, None)
        same_peer = self.connections_by_peer.get(connection.peer)
        if same_peer is not None:
            same_peer.pop(connection, None)
            if not same_peer:
                del self.connections_by_peer[connection.peer]

    def find_connection(self, peer: str, client_id: str = "") -> ClientConnection | None:
        """Return an open connection of this peer, or None.

        Preferred is one on which the client `client_id` has sent a request, then one on which any message was
        received: clients that share an address must not receive each other's notifications.
        """
        same_peer = sorted(
            self.connections_by_peer.get(peer, ()),
            key=lambda each: (client_id not in each.recent_clients, not each.has_sent_message),
        )
        return next((each for each in same_peer if not each.has_left()), None)

    def defer(self, peer: str, data: bytes, now_us: int) -> bool:
        """Queue a message for the peer's next connection; False if it was dropped."""
        return self.pending_notifications.defer(peer, data, now_us)

    def deliver(self, connection: ClientLink) -> None:
        """Send the messages that are queued for this connection's peer."""
        self.pending_notifications.deliver(connection)

    def expire(self, now_us: int) -> None:
        """Drop the messages whose time to live has passed."""
        self.pending_notifications.expire(now_us)


def _has_nothing_to_process(connection: ClientConnection) -> bool:
    """Whether it has no unread data and its thread is not processing any.

    The unread data is checked first: before the thread reads any, it sets `is_busy`.
    """
    return not (connection.has_unread_data or connection.is_busy)
