"""One front node's inside on loopback sockets, in this process: its lock holds chosen threads until told."""

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
from fennelcove.node.server_connection import set_receive_timeout

from tests.node_harness import SETTINGS, WAIT_S, Caller, NodeRig, StandInServer, eventually, notice


class Gate:
    """A lock that holds threads of some names back, so that who comes first is not left to chance."""

    def __init__(self) -> None:
        self.inner = threading.Lock()
        self.changed = threading.Condition()
        self.held: set[str] = set()
        self.waiting: list[str] = []

    def __enter__(self) -> None:
        name = threading.current_thread().name
        with self.changed:
            self.waiting.append(name)
            self.changed.notify_all()
            self.changed.wait_for(lambda: name not in self.held)
            self.waiting.remove(name)
        self.inner.acquire()

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self.inner.release()

    def hold(self, name: str) -> None:
        with self.changed:
            self.held.add(name)

    def reached(self, name: str) -> bool:
        """Whether a thread of that name waits here."""
        with self.changed:
            return name in self.held and name in self.waiting

    def free(self, name: str) -> None:
        with self.changed:
            self.held.discard(name)
            self.changed.notify_all()


class Inside:
    """A desk with its timers and viewers' threads, and a listener of the test's."""

    def __init__(self, test: unittest.TestCase, *servers: StandInServer, sockets: int = 256) -> None:
        tree: dict[str, Any] = {
            "listen": "127.0.0.1:1",
            "limits": {"sockets": sockets},
            "board": "127.0.0.1:2",
            "known": {"rev": 1, "notices": [notice(1, [server.row for server in servers], whole=True)]},
            "settings": SETTINGS,
        }
        clock = SystemClock()
        self.timers = Timers(clock)
        self.desk = session_manager.SessionManager(config.parse(tree), clock, self.timers, silent)
        self.gate = Gate()
        self.desk.lock = self.gate  # type: ignore[assignment]
        for told in self.desk.config.initial_batch.events:
            self.desk.on_discovery_event(told)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)  # handed on to each connection
        threading.Thread(target=self.timers.run, daemon=True).start()
        test.addCleanup(self.listener.close)
        test.addCleanup(self.timers.stop)

    def meet(self) -> tuple[Caller, ClientConnection]:
        """A connection and the node's end of it, in its table; nothing is read yet."""
        caller = Caller(self.listener.getsockname())
        sock, peer = self.listener.accept()
        set_receive_timeout(sock, MESSAGE_TIMEOUT_US)
        viewer = ClientConnection(self.desk, sock, peer[0])
        with self.gate:
            assert self.desk.connections.add(viewer)
        return caller, viewer

    def read(self, viewer: ClientConnection) -> threading.Thread:
        """Begin to read from a connection."""
        thread = threading.Thread(target=viewer.run, name="viewer", daemon=True)
        thread.start()
        return thread

    def connect(self) -> Caller:
        caller, viewer = self.meet()
        self.read(viewer)
        return caller


class Stopped:
    """A node stopped while the block runs: what is sent meanwhile has come together when it goes on."""

    def __init__(self, rig: NodeRig) -> None:
        self.rig = rig

    def __enter__(self) -> None:
        self.rig.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.rig.process.pid, os.WSTOPPED | os.WNOWAIT)

    def __exit__(self, *_: type[BaseException] | BaseException | TracebackType | None) -> None:
        self.rig.signal(signal.SIGCONT)


def arrived(sock: socket.socket) -> None:
    """Wait until the far kernel has all that was sent, the end included."""

    def unacknowledged() -> int:
        return int(struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))[0])

    eventually(lambda: not unacknowledged(), "all of it at the far kernel")


def ended(sock: socket.socket) -> bool:
    """Whether the far side's end has come to the kernel."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def reset(sock: socket.socket) -> None:
    """Close with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def sockets(rig: NodeRig, local: int | None, remote: int) -> list[str]:
    """The node's descriptors for connections between these ports, each by its inode."""
    with open(f"/proc/{rig.process.pid}/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table][1:]
    ports = [(int(row[1][9:], 16), int(row[2][9:], 16), row[9]) for row in rows]
    found = [inode for here, there, inode in ports if there == remote and local in (None, here)]
    return [inode for inode in found if holds(rig, inode)]


def taken(rig: NodeRig, caller: Caller) -> str:
    """Wait until the node has taken this connection; its inode there."""
    port = caller.sock.getsockname()[1]
    [inode] = eventually(lambda: sockets(rig, rig.address[1], port), "the connection taken")
    return str(inode)


def holds(rig: NodeRig, inode: str) -> bool:
    """Whether the node has a descriptor for this inode."""
    folder = f"/proc/{rig.process.pid}/fd"
    found = set()
    for name in os.listdir(folder):
        with suppress(FileNotFoundError):  # closed since
            found.add(os.readlink(f"{folder}/{name}"))
    return f"socket:[{inode}]" in found


def rest(caller: Caller) -> bytes:
    """All that still comes, up to the end; a reset raises."""
    caller.sock.settimeout(WAIT_S)
    found = bytearray()
    while data := caller.sock.recv(65_536):
        found += data
    return bytes(found)
