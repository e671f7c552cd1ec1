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
from fennelcove.node.server_connection import receive_limit, send_now
from fennelcove.node.model import ClientLink, Session
from fennelcove.rtsp import writer
from fennelcove.rtsp.messages import ProtocolError

READ_BYTES = 16_384
MESSAGE_US = 2_000_000  # from a connection's start, or a message's first byte, until the message is whole
IDLE_US = 10_000_000  # with nothing open or standing
DRAIN_US = 500_000  # of what still comes after the end, for one read and for all of them
DRAIN_BYTES = 65_536  # a read
PENDING_US = 8_000_000  # what a viewer must hear of an end is kept so long for its next connection,
MOST_PENDING = 64  # of so many peers,
MOST_PENDING_EACH = 256  # and so much for each
# Who has only just come has its first message on the way: none goes to make room before so long. At the least
# limit the places for new ones still pass on 150 a second, so hundreds that say nothing are gone within 3 s.
HEAD_START_US = 20_000
LEAST_NEW = 3  # places that busy connections leave to new ones, at least,
NEW_SHARE = 8  # and one in so many


class ClientSessions(request_validation.Counter, Protocol):
    """What viewers' connections lead to."""

    lock: threading.Lock
    clock: Clock
    connections: ConnectionTable
    descriptors: DescriptorBudget


class ClientConnection:
    """One connection. All but `run` is called with the desk's lock held."""

    def __init__(self, desk: ClientSessions, sock: socket.socket, peer: str) -> None:
        self.desk = desk
        self.sock = sock
        self.place = desk.descriptors.opened(DescriptorUse.ACCEPT, sock)
        self.peer = peer
        self.open: dict[Session, None] = {}
        self.standing: dict[Session, None] = {}
        self.inbox = ReceiveQueue()
        self.figures: dict[str, None] = {}
        self.withdrawn: set[bytes] = set()
        self.since_us = desk.clock.now_us()
        self.spoke = False
        self.busy = False  # its thread acts on what was read, and looks at `closed` before it reads again
        self.ended = False  # its viewer has closed
        self.finishing = False  # the node ends, and has shut the reading side by itself
        self.closed = False

    @property
    def bare(self) -> bool:
        """Nothing hangs on it: it may be closed."""
        return not self.open and not self.standing

    @property
    def unread(self) -> bool:
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
        if self.ended or self.closed:
            return True
        if self.finishing:  # this end of the stream is the node's own, and says nothing of its viewer
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
        if not self.busy:  # else its thread sees `closed` by itself, and a read side shut can't be drained
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def finish(self) -> None:
        """Let its thread read what has come already and then find the end."""
        self.finishing = True
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RD)

    def run(self) -> None:
        """Read until the connection ends."""
        try:
            self._read()
        except OSError:
            self.ended = True  # broken
        except ProtocolError as error:
            with self.desk.lock:
                self.send(writer.answer(error.status))
        finally:
            with self.desk.lock:
                self.closed = True
                request_validation.viewer_gone(self.desk, self)
            self._drain()
            with self.desk.lock:
                self.desk.connections.remove(self)
            self.place.close()

    def _drain(self) -> None:
        """A socket closed with bytes unread resets its connection, and the reset destroys the answer that was
        just written: say that nothing more comes, and read what still does, for a while."""
        self.busy = False  # whoever needs the room may cut it short
        until_us = self.desk.clock.now_us() + DRAIN_US
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
            receive_limit(self.sock, DRAIN_US)
            while self.sock.recv(DRAIN_BYTES) and self.desk.clock.now_us() < until_us:
                pass

    def _read(self) -> None:
        inbox = self.inbox
        limit_us = 0
        until_us = self.desk.clock.now_us() + MESSAGE_US
        while not self.closed and not self.ended:
            left_us = until_us - self.desk.clock.now_us()
            if left_us <= 0 and (not inbox.between or not self.spoke or self.bare):
                # Never said anything whole, stopped in the middle of it, or has nothing left here.
                data = self._last()
                if data is None:
                    return
            else:
                if left_us <= 0:
                    left_us = IDLE_US
                    until_us += IDLE_US
                # Set anew only where it matters: most reads find the limit that they need.
                if not left_us <= limit_us <= left_us + MESSAGE_US // 2:
                    limit_us = left_us
                    receive_limit(self.sock, limit_us)
                data = self._wait()
                if data is None:
                    continue
            if not data:
                self.ended = True
                return
            began = inbox.between
            inbox.feed(data)
            began |= self._act()
            inbox.check()
            if inbox.between:
                until_us = self.desk.clock.now_us() + IDLE_US
            elif began and self.spoke:
                until_us = self.desk.clock.now_us() + MESSAGE_US

    def _wait(self) -> bytes | None:
        """What comes next; None where nothing has in time."""
        self.busy = False  # before the look at `closed`: whoever shuts it looks after setting that
        try:
            if self.closed:
                return None
            # Only looked at: taken out before `busy` is set, what has come would be seen nowhere.
            self.sock.recv(1, socket.MSG_PEEK)
            self.busy = True
            return self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return None
        finally:
            self.busy = True

    def _last(self) -> bytes | None:
        """What has come just as the limit struck, to be acted on; None where nothing has, and then nothing
        will be: its viewer sends it once more elsewhere, and is served there."""
        with self.desk.lock:
            data = self._come()
            self.closed |= data is None
        return data

    def _come(self) -> bytes | None:
        """What has come by now; None where nothing has, and empty where the end has."""
        try:
            return self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def _act(self) -> bool:
        """Act on what has come, one message a turn of the lock: a flood on one connection must not hold up
        the others. Before each, look what has come behind it: nothing may be begun for a viewer that has
        left, or has given up, while the messages before that were acted on or waited for the lock."""
        inbox = self.inbox
        acted = False
        while inbox.messages:
            with self.desk.lock:
                more = self._behind()
                if not more:
                    acted = self.spoke = True
                    message = inbox.take()
                    gone = self.ended or self.closed or inbox.takes_back(message)
                    request_validation.hear(self.desk, self, message, gone)
            if more:
                inbox.feed(more)
        return acted

    def _behind(self) -> bytes | None:
        """What has come behind the messages that are being acted on; an end is acted on at once."""
        if self.ended or self.closed:
            return None
        more = self._come() if not self.inbox.full else b"" if self.left() else None
        if more == b"" and self.finishing:
            return None
        if more == b"":
            self.ended = True
            request_validation.viewer_gone(self.desk, self)
        return more


class ConnectionTable:
    """The open connections, oldest first, bounded."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.seats = max(1, most - max(LEAST_NEW, most // NEW_SHARE))  # for those that carry something
        self.viewers: dict[ClientConnection, None] = {}
        self.by_peer: dict[str, dict[ClientConnection, None]] = {}
        self.pending: dict[str, deque[tuple[int, bytes]]] = {}

    def add(self, viewer: ClientConnection) -> bool:
        """False where there is no room for it, even with others closed that nothing hangs on."""
        if len(self.viewers) >= self.most:
            # None but those that never stop sending: one of them goes all the same.
            out = self._out() or next((v for v in self.viewers if v.bare and not v.closed), None)
            if out is None:
                return False
            out.shut()
            self.remove(out)
        self.viewers[viewer] = None
        self.by_peer.setdefault(viewer.peer, {})[viewer] = None
        return True

    def _out(self) -> ClientConnection | None:
        """Who goes to make room: those that are only drained first, then those that have said nothing, since
        some open connections by the hundred and never do. One from which something has come is about to
        carry it, and what waits to be read would go without an answer."""
        spare = [v for v in self.viewers if v.bare and (v.closed or not v.busy)]
        spare.sort(key=lambda v: (not v.closed, v.spoke))
        # `unread` first: what is taken out meanwhile has set `busy` before.
        return next((v for v in spare if v.closed or not (v.unread or v.busy)), None)

    def spare(self) -> None:
        """Close one that may go, where there is one."""
        out = self._out()
        if out is not None:
            out.shut()
            self.remove(out)

    def wait_us(self, now_us: int) -> int:
        """How long a new connection waits before another goes for it."""
        if len(self.viewers) < self.most:
            return 0
        out = self._out()
        if out is None:  # those that carry nothing are being read just now
            return HEAD_START_US
        return 0 if out.spoke or out.closed else max(0, out.since_us + HEAD_START_US - now_us)

    def seated(self, viewer: ClientLink) -> bool:
        """Whether something may be open on this connection: were all of them busy, a new one would have to be
        closed without an answer, and so would the platform's test."""
        return bool(viewer.open or viewer.standing) or sum(not v.bare for v in self.viewers) < self.seats

    def remove(self, viewer: ClientConnection) -> None:
        self.viewers.pop(viewer, None)
        same = self.by_peer.get(viewer.peer)
        if same is not None:
            same.pop(viewer, None)
            if not same:
                del self.by_peer[viewer.peer]

    def other(self, peer: str, figure: str = "") -> ClientConnection | None:
        """Any open connection of this peer's; one on which this viewer has spoken, where there is one, or
        else one that has spoken at all: clients that share an address must not get each other's ends."""
        same = sorted(self.by_peer.get(peer, ()), key=lambda v: (figure not in v.figures, not v.spoke))
        return next((v for v in same if not v.left()), None)

    def defer(self, peer: str, data: bytes, now_us: int) -> None:
        """Keep this for the peer's next connection. With none open just then, as after a reset, the end of
        what stood was told to nobody, and its viewer waited for good."""
        if peer in self.pending or len(self.pending) < MOST_PENDING:
            self.pending.setdefault(peer, deque(maxlen=MOST_PENDING_EACH)).append((now_us, data))

    def deliver(self, viewer: ClientLink) -> None:
        """Send what is owed to this connection's peer; what it can't be sent stays for the next."""
        said = self.pending.get(viewer.peer, deque())
        while said and not viewer.left() and viewer.send(said[0][1]):
            said.popleft()
        if not said:
            self.pending.pop(viewer.peer, None)

    def expire(self, now_us: int) -> None:
        """What is owed for too long does nobody any good."""
        for peer, said in list(self.pending.items()):
            while said and now_us - said[0][0] > PENDING_US:
                said.popleft()
            if not said:
                del self.pending[peer]
