"""A session manager without a process or a network, and a recorded connection of a client."""

from __future__ import annotations

import socket
import unittest
from typing import Any
from unittest import mock

from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.isup.messages import Message
from fennelcove.isup.reader import Reader
from fennelcove.log import silent
from fennelcove.node import client_requests, config, session_manager
from fennelcove.node.address import Address
from fennelcove.node.client_connection import ClientConnection
from fennelcove.node.discovery_events import DiscoveryBatch
from fennelcove.node.model import ConnectionState, Session
from fennelcove.node.server_connection import ServerConnection
from fennelcove.rtsp import messages as rtsp

from tests.node_harness import SETTINGS, notice

ID = bytes.fromhex("9b1f03aa5c7e2d41")
HOST_ENTRY = {
    "host": "s0",
    "dial": "127.0.0.1:9",
    "site": "here",
    "class": "kind",
    "block": 0,
    "health": "up",
    "share": 1,
    "born_ms": 0,
}
NODE_CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "seed": "0a",
    "limits": {"sockets": 60},
    "board": "127.0.0.1:2",
    "known": {"rev": 1, "notices": [notice(1, [HOST_ENTRY], complete=True)]},
    "settings": SETTINGS,
}
SERVER_ADDRESS = Address("127.0.0.1", 9)


class RecordingConnection(ClientConnection):
    """A client's connection that records what is sent on it."""

    def __init__(self, manager: session_manager.SessionManager, peer: str = "127.0.0.1") -> None:
        super().__init__(manager, socket.socket(), peer)
        self.sent: list[bytes] = []

    def send(self, data: bytes) -> bool:
        self.sent.append(data)
        return True


class BrokenConnection(RecordingConnection):
    """A client's connection that fails on every send."""

    def send(self, data: bytes) -> bool:
        self.is_closed = True
        return False


class SessionManagerTestCase(unittest.TestCase):
    """A session manager with one server, `s0`, and a recorded connection of a client."""

    def setUp(self) -> None:
        self.clock = ManualClock(wall_start_us=1_000_000_000)
        self.timers = Timers(self.clock)
        self.manager = session_manager.SessionManager(
            config.parse(NODE_CONFIG), self.clock, self.timers, silent
        )
        for event in self.manager.config.initial_batch.events:
            self.manager.on_discovery_event(event)
        self.connection = RecordingConnection(self.manager)
        self.addCleanup(self.connection.sock.close)

    def link(self) -> tuple[ServerConnection, socket.socket]:
        """An open connection to the only server, and the server's end of it."""
        link = ServerConnection(self.manager, self.manager.servers["s0"])
        link.sock, server_sock = socket.socketpair()
        link.state = ConnectionState.OPEN
        self.addCleanup(link.sock.close)
        self.addCleanup(server_sock.close)
        return link, server_sock

    def set_up(self) -> Session:
        """Process a set-up; return its session."""
        self.request_session()
        return self.manager.sessions[ID]

    def request_session(self) -> None:
        """Process a set-up on the recorded connection."""
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        client_requests.on_client_message(
            self.manager, self.connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
        )

    def receive_messages(self, server_sock: socket.socket) -> list[Message]:
        """The messages that the server has received by now."""
        reader, messages = Reader(), list[Message]()
        reader.feed(server_sock.recv(65_536))
        while (message := reader.next()) is not None:
            messages.append(message)
        return messages

    def advance_time(self, by_us: int) -> None:
        """Advance the clock, and call the timers that are due."""
        self.clock.advance(by_us)
        for call in self.timers.ready():
            call()

    def start_dial(self) -> tuple[ServerConnection, socket.socket]:
        """Start a set-up whose connection the test itself dials, and the listener that it reaches."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.manager.servers["s0"].address = Address("127.0.0.1", listener.getsockname()[1])
        with mock.patch("threading.Thread"):
            self.request_session()
        [link] = self.manager.servers["s0"].links
        return link, listener

    def apply_notice(self, rev: int, *entries: dict[str, Any]) -> None:
        """Process a discovery notice with these servers."""
        for event in DiscoveryBatch.parse({"rev": rev, "notices": [notice(rev, list(entries))]}).events:
            self.manager.on_discovery_event(event)

    def hand_over(self) -> Session:
        """Hand a session over at `s0`, without a connection."""
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2;at:s0"
        request = rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
        with mock.patch("threading.Thread"):
            client_requests.on_client_message(self.manager, self.connection, request)
        return self.manager.sessions[ID]
