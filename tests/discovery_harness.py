"""A notice board that answers by hand, and a front node that asks it: each step is held until told."""

from __future__ import annotations

import json
import queue
import socket
import sys
import threading
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any

from fennelcove.http1 import writer as http
from fennelcove.http1.messages import CodecLimits, RequestHead
from fennelcove.http1.reader import Gatherer
from fennelcove.http1.reader import Reader as HttpReader

from tests.node_harness import WAIT_S, NodeRig, StandInServer, notice

Row = dict[str, Any]


class Poll:
    """One request of the node, open until it is answered or broken off."""

    def __init__(self, sock: socket.socket, ended: threading.Event, target: str) -> None:
        self.sock, self.ended = sock, ended
        self.watch = int(target.partition("watch=")[2].partition("&")[0])

    def send(self, data: bytes) -> None:
        """Any bytes at all."""
        with suppress(OSError):  # the node may have gone on without this one
            self.sock.sendall(data)

    def body(self, body: bytes, status: int = 200) -> None:
        self.send(http.response(status, [], body))

    def tell(self, rev: int, *notices: dict[str, Any]) -> None:
        """A good answer."""
        self.body(json.dumps({"rev": rev, "notices": list(notices)}).encode())

    def close(self) -> None:
        """End the connection; a reader of ours may be in it."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class HeldBoard:
    """Takes polls in and holds each until the test answers it; ends when its listener is closed."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.polls: queue.Queue[Poll] = queue.Queue()
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def next(self) -> Poll:
        """The node's next request."""
        try:
            return self.polls.get(timeout=WAIT_S)
        except queue.Empty:
            raise AssertionError("never came: the next poll") from None

    def close(self) -> None:
        """Refuse whatever comes from now on; what is open stays open."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        requests, ended = Gatherer(HttpReader(True, CodecLimits())), threading.Event()
        with suppress(OSError), sock:  # closed, by the node or by the test
            while data := sock.recv(4096):
                requests.reader.feed(data)
                while (whole := requests.next()) is not None:
                    assert isinstance(whole.head, RequestHead)
                    self.polls.put(Poll(sock, ended, whole.head.target))
        ended.set()


class BoardRig(NodeRig):
    """A front node that was told of some servers at its start and asks a board of ours from then on."""

    LOG = "${EDGE_CONFIG%.json}.log"  # as the shell names it

    def __init__(self, board: HeldBoard, *servers: StandInServer, rev: int = 1, **changes: Any) -> None:
        self.asked = board
        self.changes = changes
        self.rev = rev
        self.rows = [server.row for server in servers]
        command = f'exec {sys.executable} -m fennelcove.node > "{self.LOG}"'
        super().__init__(*servers, command=["/bin/sh", "-c", command])

    def log(self, event: str) -> list[dict[str, Any]]:
        """What the node has logged of one kind."""
        lines = self.path.with_suffix(".log").read_text().splitlines()
        return [told for told in map(json.loads, lines) if told["event"] == event]

    def write(self) -> None:
        self.config["board"] = self.asked.address
        self.config["known"] = {"rev": self.rev, "notices": [notice(1, self.rows, whole=True)]}
        self.config.update(self.changes)
        super().write()


def hung(test: unittest.TestCase) -> tuple[socket.socket, list[socket.socket]]:
    """A listener that answers no further connection until its backlog is taken in."""
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


def dialled(listener: socket.socket, but: list[socket.socket]) -> bool:
    """Whether a connection to it is under way that is none of these."""
    port = listener.getsockname()[1]
    own = set()
    for sock in but:
        with suppress(OSError):
            own.add(sock.getsockname()[1])
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        row = line.split()
        local, remote = (int(row[column].rpartition(":")[2], 16) for column in (1, 2))
        if remote == port and row[3] == "02" and local not in own:
            return True
    return False
