"""A pool of connections to servers, limited in number per server and in idle time."""

from __future__ import annotations

import select
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fennelcove.clock import Clock
from fennelcove.http1.messages import CodecLimits, CompleteMessage
from fennelcove.http1.reader import MessageAssembler, Reader

READ_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class DialLimits(CodecLimits):
    """Limits on what is read from a peer, and the local address that connections are made from."""

    source_address: str = ""  # empty: the operating system chooses


@dataclass(slots=True, eq=False)
class ServerConnection:
    """A connection to a server, with its buffered responses."""

    server: str
    sock: socket.socket
    responses: MessageAssembler
    idle_since_us: int = 0

    def read_response(self) -> CompleteMessage:
        """Read the next complete response, within the timeout of the socket.

        Raises:
            OSError: the read timed out, or the connection was reset or closed before a response.
            ProtocolError: the response is malformed, over a limit or truncated.
        """
        while (response := self.responses.next()) is None:
            data = self.sock.recv(READ_BYTES)
            self.responses.reader.feed(data)
            if not data and self.responses.reader.is_between_messages:
                raise ConnectionResetError("connection closed before a response")
        return response


@dataclass(slots=True, eq=False)
class _Server:
    in_use_count: int = 0
    idle: deque[ServerConnection] = field(default_factory=deque)


def dial(address: str, timeout_us: int, limits: DialLimits, stream: bool = False) -> ServerConnection:
    """Open a new connection.

    Raises:
        OSError: the connection was refused, the peer is unreachable, or the timeout passed.
    """
    host, _, port = address.rpartition(":")
    source_address = (limits.source_address, 0) if limits.source_address else None
    sock = socket.create_connection((host, int(port)), max(0.001, timeout_us / 1e6), source_address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return ServerConnection(address, sock, MessageAssembler(Reader(False, limits, stream)))


class ConnectionPool:
    """Idle connections and the number in use, at most `max_connections` per server in all."""

    def __init__(self, clock: Clock, max_connections: int, idle_us: int) -> None:
        self.clock = clock
        self.max_connections = max_connections
        self.idle_us = idle_us
        self.servers: dict[str, _Server] = {}
        self.lock = threading.Lock()
        self.closed = False
        # How many connections to a server to retain.
        self.target_count: Callable[[str], int] = lambda address: max_connections

    def reserve(self, address: str) -> bool:
        """Reserve a connection for one request; False if the server's limit is reached."""
        with self.lock:
            server = self.servers.setdefault(address, _Server())
            if self.closed or server.in_use_count >= self.max_connections:
                return False
            server.in_use_count += 1
            return True

    def release(self, address: str, connection: ServerConnection | None) -> None:
        """End a reservation; a connection that can be reused is passed in, and retained within the limits."""
        idle_limit = min(self.max_connections, self.target_count(address)) if connection is not None else 0
        with self.lock:
            server = self.servers[address]
            server.in_use_count -= 1
            if connection is not None:
                if not self.closed and len(server.idle) + server.in_use_count < idle_limit:
                    connection.idle_since_us = self.clock.now_us()
                    server.idle.append(connection)
                else:
                    connection.sock.close()
            if not server.in_use_count and not server.idle:
                del self.servers[address]

    def take_idle_connection(self, address: str) -> ServerConnection | None:
        """Take an idle connection that the peer has not closed, the most recently used first."""
        with self.lock:
            server = self.servers.get(address)
            while server is not None and server.idle:
                connection = server.idle.pop()
                if self.clock.now_us() - connection.idle_since_us < self.idle_us and _is_usable(connection):
                    return connection
                connection.sock.close()
            return None

    def close_stale(self) -> None:
        """Close connections past the idle timeout; otherwise those to removed servers would stay open."""
        with self.lock:
            now_us = self.clock.now_us()
            for address in list(self.servers):
                server = self.servers[address]
                while server.idle and now_us - server.idle[0].idle_since_us >= self.idle_us:
                    server.idle.popleft().sock.close()
                if not server.in_use_count and not server.idle:
                    del self.servers[address]

    def close(self) -> None:
        """Close all idle connections and retain none from now on."""
        with self.lock:
            self.closed = True
            for server in self.servers.values():
                for connection in server.idle:
                    connection.sock.close()
                server.idle.clear()


def _is_usable(connection: ServerConnection) -> bool:
    """Whether nothing is readable: a close or an unrequested response makes a connection unusable."""
    poll = select.poll()
    poll.register(connection.sock, select.POLLIN)
    return not poll.poll(0)
