"""A discovery service whose every response is sent by the test, and a front node that polls it."""

from __future__ import annotations

import json
import queue
import socket
import sys
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any

from fennelcove.http1 import writer as http
from fennelcove.http1.messages import CodecLimits, RequestHead
from fennelcove.http1.reader import MessageAssembler
from fennelcove.http1.reader import Reader as HttpReader

from tests.node_harness import SETTINGS, WAIT_TIMEOUT_S, Client, FakeServer, NodeProcess, notice

CONNECT_TIMEOUT_S = 0.25
SHORT_CONNECT_SETTINGS = {
    **SETTINGS,
    "Allowed": {**SETTINGS["Allowed"], "ConnectTimeoutMs": 1000 * CONNECT_TIMEOUT_S},
}

HostEntry = dict[str, Any]


class Poll:
    """One request of the node, open until it is answered or its connection ends."""

    def __init__(self, sock: socket.socket, ended: threading.Event, target: str) -> None:
        self.sock, self.ended = sock, ended
        self.watch = int(target.partition("watch=")[2].partition("&")[0])
        self.linger_s = int(target.partition("linger=")[2]) / 1000

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        with suppress(OSError):  # the node may have closed this connection
            self.sock.sendall(data)

    def send_response(self, body: bytes, status: int = 200) -> None:
        """Send a response with this body."""
        self.send(http.response(status, [], body))

    def send_notices(self, rev: int, *notices: dict[str, Any]) -> None:
        """Send a valid response with these notices."""
        self.send_response(json.dumps({"rev": rev, "notices": list(notices)}).encode())

    def close(self) -> None:
        """Shut the connection down, which also wakes the thread that reads from it."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class ManualDiscovery:
    """Accepts polls and leaves each open until the test responds; ends when its listener is closed."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.polls: queue.Queue[Poll] = queue.Queue()
        self.accepted_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def next_poll(self) -> Poll:
        """Wait for the node's next request."""
        try:
            return self.polls.get(timeout=WAIT_TIMEOUT_S)
        except queue.Empty:
            raise AssertionError("timed out waiting for the next poll") from None

    def close(self) -> None:
        """Refuse further connections; open ones stay open."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.accepted_count += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        requests, ended = MessageAssembler(HttpReader(True, CodecLimits())), threading.Event()
        with suppress(OSError), sock:  # closed by the node or by the test
            while data := sock.recv(4096):
                requests.reader.feed(data)
                while (request := requests.next()) is not None:
                    assert isinstance(request.head, RequestHead)
                    self.polls.put(Poll(sock, ended, request.head.target))
        ended.set()


class LateDiscovery(ManualDiscovery):
    """Answers each poll as a service does that holds every response back for the same time."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self.delay_s = delay_s
        self.notices: list[dict[str, Any]] = []
        self.published = threading.Condition()
        threading.Thread(target=self._answer_polls, daemon=True).start()

    def publish(self, event: dict[str, Any]) -> None:
        """Add an event with the next revision, counted from 2."""
        with self.published:
            self.notices.append(event)
            self.published.notify_all()

    def _answer_polls(self) -> None:
        while True:
            threading.Thread(target=self._answer, args=(self.polls.get(),), daemon=True).start()

    def _answer(self, poll: Poll) -> None:
        with self.published:
            self.published.wait_for(lambda: self.revision > poll.watch, poll.linger_s)
            revision = self.revision
            events = [event for event in self.notices if event["rev"] > poll.watch]
        time.sleep(self.delay_s)
        poll.send_notices(revision, *events)

    @property
    def revision(self) -> int:
        """The revision of the last event."""
        return 1 + len(self.notices)


class DiscoveryNodeProcess(NodeProcess):
    """A front node whose configuration lists some servers, and that polls a `ManualDiscovery`."""

    LOG_PATH = "${EDGE_CONFIG%.json}.log"  # expanded by the shell

    def __init__(
        self, discovery: ManualDiscovery, *servers: FakeServer, rev: int = 1, **config_changes: Any
    ) -> None:
        self.polled_discovery = discovery
        self.config_changes = config_changes
        self.rev = rev
        self.host_entries = [server.host_entry for server in servers]
        command = f'exec {sys.executable} -m fennelcove.node > "{self.LOG_PATH}"'
        super().__init__(*servers, command=["/bin/sh", "-c", command])

    def log_events(self, event: str) -> list[dict[str, Any]]:
        """The log lines of one event."""
        lines = self.config_path.with_suffix(".log").read_text().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == event]

    def write_config(self) -> None:
        self.config["board"] = self.polled_discovery.address
        self.config["known"] = {"rev": self.rev, "notices": [notice(1, self.host_entries, complete=True)]}
        self.config.update(self.config_changes)
        super().write_config()


def unresponsive_listener(test: unittest.TestCase) -> tuple[socket.socket, list[socket.socket]]:
    """A listener that ignores further dials until it accepts, and the sockets that fill its backlog."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        test.addCleanup(filler.close)
    test.addCleanup(listener.close)
    return listener, fillers


def dialling_ports(listener: socket.socket, except_from: list[socket.socket]) -> set[int]:
    """The local ports of dials to the listener that are in progress, other than from the given sockets."""
    port = listener.getsockname()[1]
    excluded_ports = set()
    for sock in except_from:
        with suppress(OSError):
            excluded_ports.add(sock.getsockname()[1])
    found = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        row = line.split()
        local, remote = (int(row[column].rpartition(":")[2], 16) for column in (1, 2))
        if remote == port and row[3] == "02":
            found.add(local)
    return found - excluded_ports


def is_being_dialled(listener: socket.socket, except_from: list[socket.socket]) -> bool:
    """Whether a dial to the listener is in progress, other than from the given sockets."""
    return bool(dialling_ports(listener, except_from))


def connect_to_impatient_node(test: unittest.TestCase, server: FakeServer) -> Client:
    """Start a node that allows servers a quarter of a second for a connection; return a client of it."""
    discovery = ManualDiscovery()
    test.addCleanup(discovery.close)
    node = DiscoveryNodeProcess(discovery, server, settings=SHORT_CONNECT_SETTINGS)
    test.addCleanup(node.close)
    client = node.connect_client()
    test.addCleanup(client.sock.close)
    return client
