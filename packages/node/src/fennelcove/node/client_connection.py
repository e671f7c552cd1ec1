"""Viewers' connections: one thread each, whole messages in, and a limit on every wait."""

from __future__ import annotations

import select
import socket
import threading
from collections import deque
from contextlib import suppress
from typing import Protocol

from fennelcove.clock import Clock
from fennelcove.node import request_validation
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.receive_queue import ReceiveQueue
from fennelcove.node.server_connection import set_receive_timeout, send_now
from fennelcove.node.model import ClientLink, Session
from fennelcove.rtsp import writer
from fennelcove.rtsp.messages import ProtocolError

READ_BYTES = 16_384
MESSAGE_TIMEOUT_US = (
    2_000_000  # from a connection's start, or a message's first byte, until the message is whole
)
IDLE_TIMEOUT_US = 10_000_000  # with nothing open or standing
DRAIN_TIMEOUT_US = 500_000  # of what still comes after the end, for one read and for all of them
DRAIN_READ_BYTES = 65_536  # a read
NOTIFICATION_TTL_US = 8_000_000  # what a viewer must hear of an end is kept so long for its next connection,
MAX_PENDING_PEERS = 64  # of so many peers,
MAX_PENDING_PER_PEER = 256  # and so much for each
# Who has only just come has its first message on the way: none goes to make room before so long. At the least
# limit the places for new ones still pass on 150 a second, so hundreds that say nothing are gone within 3 s.
EVICTION_GRACE_US = 20_000
MIN_RESERVED_FOR_NEW = 3  # places that busy connections leave to new ones, at least,
RESERVED_FOR_NEW_DIVISOR = 8  # and one in so many


class ClientSessions(request_validation.Counter, Protocol):
    """What viewers' connections lead to."""

    lock: threading.Lock
    clock: Clock
    connections: ConnectionTable
    descriptors: DescriptorBudget


class ClientConnection:
    """One connection. All but `run` is called with the desk's lock held."""

    def __init__(self, desk: ClientSessions, sock: socket.socket, peer: str) -> None:
        self.manager = desk
        self.sock = sock
        self.descriptor = desk.descriptors.register_open(DescriptorUse.ACCEPT, sock)
        self.peer = peer
        self.open: dict[Session, None] = {}
        self.standing: dict[Session, None] = {}
        self.receive_queue = ReceiveQueue()
        self.figures: dict[str, None] = {}
        self.withdrawn: set[bytes] = set()
        self.accepted_us = desk.clock.now_us()
        self.has_sent_message = False
        self.is_busy = False  # its thread acts on what was read, and looks at `closed` before it reads again
        self.is_ended_by_client = False  # its viewer has closed
        self.is_finishing = False  # the node ends, and has shut the reading side by itself
        self.closed = False

    @property
    def is_unused(self) -> bool:
        """Nothing hangs on it: it may be closed."""
        return not self.open and not self.standing

    @property
    def has_unread_data(self) -> bool:
        """Something has come that its thread has not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def send(self, data: bytes) -> bool:
        """A viewer that lets the kernel's buffer fill with short messages is cut off, not waited for; False
        where it has not got all of this one."""
        if not self.closed and not send_now(self.sock, data):
            self.shut()
        return not self.closed

    def left(self) -> bool:
        """Whether its viewer has closed, as far as the kernel knows: bytes may lie unread before the end."""
        if self.is_ended_by_client or self.closed:
            return True
        if self.is_finishing:  # this end of the stream is the node's own, and says nothing of its viewer
            return False
        poll = select.poll()
        try:
            poll.register(self.sock, select.POLLRDHUP)
            return any(events & (select.POLLRDHUP | select.POLLERR) for _, events in poll.poll(0))
        except (OSError, ValueError):
            return False

    def shut(self) -> None:
        """End it; its thread does the rest."""
        self.closed = True
        if not self.is_busy:  # else its thread sees `closed` by itself, and a read side shut can't be drained
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def finish_reading(self) -> None:
        """Let its thread read what has come already and then find the end."""
        self.is_finishing = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def run(self) -> None:
        """Read until the connection ends."""
        try:
            self._receive()
        except OSError:
            self.is_ended_by_client = True  # broken
        except ProtocolError as error:
            with self.manager.lock:
                self.send(writer.answer(error.status))
        finally:
            with self.manager.lock:
                self.closed = True
                request_validation.viewer_gone(self.manager, self)
            self._drain()
            with self.manager.lock:
                self.manager.connections.remove(self)
            self.descriptor.close()

    def _drain(self) -> None:
        """A socket closed with bytes unread resets its connection, and the reset destroys the answer that was
        just written: say that nothing more comes, and read what still does, for a while."""
        self.is_busy = False  # whoever needs the room may cut it short
        until_us = self.manager.clock.now_us() + DRAIN_TIMEOUT_US
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            set_receive_timeout(self.sock, DRAIN_TIMEOUT_US)
            while self.sock.recv(DRAIN_READ_BYTES) and self.manager.clock.now_us() < until_us:
                pass

    def _receive(self) -> None:
        inbox = self.receive_queue
        limit_us = 0
        until_us = self.manager.clock.now_us() + MESSAGE_TIMEOUT_US
        while not self.closed and not self.is_ended_by_client:
            left_us = until_us - self.manager.clock.now_us()
            if left_us <= 0 and (not inbox.is_empty or not self.has_sent_message or self.is_unused):
                # Never said anything whole, stopped in the middle of it, or has nothing left here.
                data = self._receive_at_deadline()
                if data is None:
                    return
            else:
                if left_us <= 0:
                    left_us = IDLE_TIMEOUT_US
                    until_us += IDLE_TIMEOUT_US
                # Set anew only where it matters: most reads find the limit that they need.
                if not left_us <= limit_us <= left_us + MESSAGE_TIMEOUT_US // 2:
                    limit_us = left_us
                    set_receive_timeout(self.sock, limit_us)
                data = self._receive_or_time_out()
                if data is None:
                    continue
            if not data:
                self.is_ended_by_client = True
                return
            began = inbox.is_empty
            inbox.feed(data)
            began |= self._process_messages()
            inbox.raise_failure()
            if inbox.is_empty:
                until_us = self.manager.clock.now_us() + IDLE_TIMEOUT_US
            elif began and self.has_sent_message:
                until_us = self.manager.clock.now_us() + MESSAGE_TIMEOUT_US

    def _receive_or_time_out(self) -> bytes | None:
        """What comes next; None where nothing has in time."""
        self.is_busy = False  # before the look at `closed`: whoever shuts it looks after setting that
        try:
            if self.closed:
                return None
            # Only looked at: taken out before `busy` is set, what has come would be seen nowhere.
            self.sock.recv(1, socket.MSG_PEEK)
            self.is_busy = True
            return self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None
        finally:
            self.is_busy = True

    def _receive_at_deadline(self) -> bytes | None:
        """What has come just as the limit struck, to be acted on; None where nothing has, and then nothing
        will be: its viewer sends it once more elsewhere, and is served there."""
        with self.manager.lock:
            data = self._receive_available()
            self.closed |= data is None
        return data

    def _receive_available(self) -> bytes | None:
        """What has come by now; None where nothing has, and empty where the end has."""
        try:
            return self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _process_messages(self) -> bool:
        """Act on what has come, one message a turn of the lock: a flood on one connection must not hold up
        the others. Before each, look what has come behind it: nothing may be begun for a viewer that has
        left, or has given up, while the messages before that were acted on or waited for the lock."""
        inbox = self.receive_queue
        acted = False
        while inbox.messages:
            with self.manager.lock:
                more = self._receive_following()
                if not more:
                    acted = self.has_sent_message = True
                    message = inbox.pop()
                    gone = self.is_ended_by_client or self.closed or inbox.is_withdrawn(message)
                    request_validation.hear(self.manager, self, message, gone)
            if more:
                inbox.feed(more)
        return acted

    def _receive_following(self) -> bytes | None:
        """What has come behind the messages that are being acted on; an end is acted on at once."""
        if self.is_ended_by_client or self.closed:
            return None
        more = self._receive_available() if not self.receive_queue.is_full else b"" if self.left() else None
        if more == b"" and self.is_finishing:
            return None
        if more == b"":
            self.is_ended_by_client = True
            request_validation.viewer_gone(self.manager, self)
        return more


class ConnectionTable:
    """The open connections, oldest first, bounded."""

    def __init__(self, most: int) -> None:
        self.max_connections = most
        self.max_connections_in_use = max(
            1, most - max(MIN_RESERVED_FOR_NEW, most // RESERVED_FOR_NEW_DIVISOR)
        )  # for those that carry something
        self.connections: dict[ClientConnection, None] = {}
        self.connections_by_peer: dict[str, dict[ClientConnection, None]] = {}
        self.pending_notifications: dict[str, deque[tuple[int, bytes]]] = {}

    def add(self, viewer: ClientConnection) -> bool:
        """False where there is no room for it, even with others closed that nothing hangs on."""
        if len(self.connections) >= self.max_connections:
            # None but those that never stop sending: one of them goes all the same.
            out = self._eviction_candidate() or next(
                (v for v in self.connections if v.is_unused and not v.closed), None
            )
            if out is None:
                return False
            out.shut()
            self.remove(out)
        self.connections[viewer] = None
        self.connections_by_peer.setdefault(viewer.peer, {})[viewer] = None
        return True

    def _eviction_candidate(self) -> ClientConnection | None:
        """Who goes to make room: those that are only drained first, then those that have said nothing, since
        some open connections by the hundred and never do. One from which something has come is about to
        carry it, and what waits to be read would go without an answer."""
        spare = [v for v in self.connections if v.is_unused and (v.closed or not v.is_busy)]
        spare.sort(key=lambda v: (not v.closed, v.has_sent_message))
        # `unread` first: what is taken out meanwhile has set `busy` before.
        return next((v for v in spare if v.closed or not (v.has_unread_data or v.is_busy)), None)

    def evict_one(self) -> None:
        """Close one that may go, where there is one."""
        out = self._eviction_candidate()
        if out is not None:
            out.shut()
            self.remove(out)

    def admission_delay_us(self, now_us: int) -> int:
        """How long a new connection waits before another goes for it."""
        if len(self.connections) < self.max_connections:
            return 0
        out = self._eviction_candidate()
        if out is None:  # those that carry nothing are being read just now
            return EVICTION_GRACE_US
        return (
            0 if out.has_sent_message or out.closed else max(0, out.accepted_us + EVICTION_GRACE_US - now_us)
        )

    def seated(self, viewer: ClientLink) -> bool:
        """Whether something may be open on this connection: were all of them busy, a new one would have to be
        closed without an answer, and so would the platform's test."""
        return (
            bool(viewer.open or viewer.standing)
            or sum(not v.is_unused for v in self.connections) < self.max_connections_in_use
        )

    def remove(self, viewer: ClientConnection) -> None:
        self.connections.pop(viewer, None)
        same = self.connections_by_peer.get(viewer.peer)
        if same is not None:
            same.pop(viewer, None)
            if not same:
                del self.connections_by_peer[viewer.peer]

    def other(self, peer: str, figure: str = "") -> ClientConnection | None:
        """Any open connection of this peer's; one on which this viewer has spoken, where there is one, or
        else one that has spoken at all: clients that share an address must not get each other's ends."""
        same = sorted(
            self.connections_by_peer.get(peer, ()),
            key=lambda v: (figure not in v.figures, not v.has_sent_message),
        )
        return next((v for v in same if not v.left()), None)

    def defer(self, peer: str, data: bytes, now_us: int) -> None:
        """Keep this for the peer's next connection. With none open just then, as after a reset, the end of
        what stood was told to nobody, and its viewer waited for good."""
        if peer in self.pending_notifications or len(self.pending_notifications) < MAX_PENDING_PEERS:
            self.pending_notifications.setdefault(peer, deque(maxlen=MAX_PENDING_PER_PEER)).append(
                (now_us, data)
            )

    def deliver(self, viewer: ClientLink) -> None:
        """Send what is owed to this connection's peer; what it can't be sent stays for the next."""
        said = self.pending_notifications.get(viewer.peer, deque())
        while said and not viewer.left() and viewer.send(said[0][1]):
            said.popleft()
        if not said:
            self.pending_notifications.pop(viewer.peer, None)

    def expire(self, now_us: int) -> None:
        """What is owed for too long does nobody any good."""
        for peer, said in list(self.pending_notifications.items()):
            while said and now_us - said[0][0] > NOTIFICATION_TTL_US:
                said.popleft()
            if not said:
                del self.pending_notifications[peer]
