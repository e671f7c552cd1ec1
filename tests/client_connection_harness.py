"""A front node's parts in this process, on loopback sockets; its lock blocks chosen threads."""

from __future__ import annotations

import fcntl
import os
import select
import signal
import socket
import struct
import termios
import threading
import unittest
from contextlib import suppress
from types import TracebackType
from typing import Any

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.log import silent
from fennelcove.node import config, session_manager
from fennelcove.node.client_connection import MESSAGE_TIMEOUT_US, ClientConnection
from fennelcove.node.socket_calls import set_receive_timeout

from tests.node_harness import SETTINGS, WAIT_TIMEOUT_S, Client, FakeServer, NodeProcess, notice, wait_until


class SelectiveLock:
    """A lock that blocks threads with chosen names, so that a test determines the order of events."""

    def __init__(self) -> None:
        self.inner = threading.Lock()
        self.changed = threading.Condition()
        self.blocked_names: set[str] = set()
        self.waiting_names: list[str] = []

    def __enter__(self) -> None:
        name = threading.current_thread().name
        with self.changed:
            self.waiting_names.append(name)
            self.changed.notify_all()
            self.changed.wait_for(lambda: name not in self.blocked_names)
            self.waiting_names.remove(name)
        self.inner.acquire()

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self.inner.release()

    def block(self, name: str) -> None:
        """Let threads of this name wait for `unblock` before they acquire the lock."""
        with self.changed:
            self.blocked_names.add(name)

    def is_blocking(self, name: str) -> bool:
        """Whether a thread of this name waits for `unblock`."""
        with self.changed:
            return name in self.blocked_names and name in self.waiting_names

    def unblock(self, name: str) -> None:
        """Let threads of this name acquire the lock again."""
        with self.changed:
            self.blocked_names.discard(name)
            self.changed.notify_all()


class InProcessNode:
    """A session manager with its timers and client threads, and a listener that belongs to the test."""

    def __init__(self, test: unittest.TestCase, *servers: FakeServer, sockets: int = 256) -> None:
        node_config: dict[str, Any] = {
            "listen": "127.0.0.1:1",
            "limits": {"sockets": sockets},
            "board": "127.0.0.1:2",
            "known": {
                "rev": 1,
                "notices": [notice(1, [server.host_entry for server in servers], complete=True)],
            },
            "settings": SETTINGS,
        }
        clock = SystemClock()
        self.timers = Timers(clock)
        self.manager = session_manager.SessionManager(config.parse(node_config), clock, self.timers, silent)
        self.lock = SelectiveLock()
        self.manager.lock = self.lock  # type: ignore[assignment]
        for event in self.manager.config.initial_batch.events:
            self.manager.on_discovery_event(event)
        self.listener = socket.create_server(("127.0.0.1", 0))
        # Accepted connections inherit the buffer size.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        threading.Thread(target=self.timers.run, daemon=True).start()
        test.addCleanup(self.listener.close)
        test.addCleanup(self.timers.stop)

    def accept_client(self) -> tuple[Client, ClientConnection]:
        """A client and the node's end of its connection, which is in the table but not read yet."""
        client = Client(self.listener.getsockname())
        sock, peer = self.listener.accept()
        set_receive_timeout(sock, MESSAGE_TIMEOUT_US)
        connection = ClientConnection(self.manager, sock, peer[0])
        with self.lock:
            assert self.manager.connections.add(connection)
        return client, connection

    def start_reading(self, connection: ClientConnection) -> threading.Thread:
        """Start the thread that reads from a connection."""
        thread = threading.Thread(target=connection.run, name="client", daemon=True)
        thread.start()
        return thread

    def connect_client(self) -> Client:
        """A client whose connection the node reads."""
        client, connection = self.accept_client()
        self.start_reading(connection)
        return client


class Paused:
    """Stops a node process while the block runs; it then finds all that was sent meanwhile at once."""

    def __init__(self, node: NodeProcess) -> None:
        self.node = node

    def __enter__(self) -> None:
        self.node.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.node.process.pid, os.WSTOPPED | os.WNOWAIT)

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self.node.send_signal(signal.SIGCONT)


def wait_until_acknowledged(sock: socket.socket) -> None:
    """Wait until the peer's kernel has received all that was sent, including the end of the stream."""

    def unacknowledged_bytes() -> int:
        return int(struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0])

    wait_until(lambda: not unacknowledged_bytes(), "the acknowledgement of all sent data")


def is_ended_by_peer(sock: socket.socket) -> bool:
    """Whether the kernel has received the end of the peer's stream."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def close_with_reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def connection_inodes(node: NodeProcess, local: int | None, remote: int) -> list[str]:
    """The inodes of the node's connections between these ports; None stands for any local port."""
    with open(f"/proc/{node.process.pid}/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table][1:]
    ports = [(int(columns[1][9:], 16), int(columns[2][9:], 16), columns[9]) for columns in rows]
    inodes = [
        inode
        for local_port, remote_port, inode in ports
        if remote_port == remote and local in (None, local_port)
    ]
    return [inode for inode in inodes if has_socket(node, inode)]


def wait_until_accepted(node: NodeProcess, client: Client) -> str:
    """Wait until the node has accepted a client's connection; return the inode of its socket."""
    port = client.sock.getsockname()[1]
    [inode] = wait_until(lambda: connection_inodes(node, node.address[1], port), "the accepted connection")
    return str(inode)


def has_socket(node: NodeProcess, inode: str) -> bool:
    """Whether the node has an open descriptor for the socket with this inode."""
    directory = f"/proc/{node.process.pid}/fd"
    targets = set()
    for name in os.listdir(directory):
        with suppress(FileNotFoundError):  # closed meanwhile
            targets.add(os.readlink(f"{directory}/{name}"))
    return f"socket:[{inode}]" in targets


def read_to_end(client: Client) -> bytes:
    """Read until the end of the stream; a reset raises an exception."""
    client.sock.settimeout(WAIT_TIMEOUT_S)
    received = bytearray()
    while data := client.sock.recv(65_536):
        received += data
    return bytes(received)
