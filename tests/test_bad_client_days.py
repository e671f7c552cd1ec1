"""Usual clients among hundreds of bad ones that hold connections and open them again at once."""

from __future__ import annotations

import selectors
import socket
import threading
import time
import unittest
from contextlib import suppress

from fennelcove.rtsp import writer

from tests.node_harness import FakeServer, NodeProcess

ASKING_CLIENTS = 150
SILENT_CLIENTS = 420
MAX_LATENESS_S = 0.5  # a later answer counts as none
TIMEOUT_S = 1.5
REQUEST_COUNT = 20


class BadClients:
    """Some clients ask once for an unknown class and stay, others say nothing; all come again when closed."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.selector = selectors.DefaultSelector()
        self.is_stopped = False
        self.closed_count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Close all connections."""
        self.is_stopped = True
        self.thread.join()
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()

    def _run(self) -> None:
        for is_asking in [True] * ASKING_CLIENTS + [False] * SILENT_CLIENTS:
            self._open(is_asking=is_asking)
        while not self.is_stopped:
            for key, events in self.selector.select(0.05):
                assert isinstance(key.fileobj, socket.socket)
                self._on_event(key.fileobj, events, is_asking=key.data)

    def _open(self, *, is_asking: bool) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if is_asking else 0)
        self.selector.register(sock, events, data=is_asking)

    def _on_event(self, sock: socket.socket, events: int, *, is_asking: bool) -> None:
        if events & selectors.EVENT_WRITE:
            fields = (("CSeq", "1"), ("Session", "00000000000000ff"), ("Call-Kind", "unknown"))
            with suppress(OSError):
                sock.send(writer.request("SETUP", "rtsp://media/7", *fields))
            self.selector.modify(sock, selectors.EVENT_READ, data=is_asking)
            return
        data = b""
        with suppress(OSError):
            data = sock.recv(65_536)
        if not data:
            self.closed_count += 1
            self.selector.unregister(sock)
            sock.close()
            self._open(is_asking=is_asking)


class BadClientTest(unittest.TestCase):
    def test_usual_clients_are_answered_in_time_among_clients_that_hold_connections(self) -> None:
        # The accepting thread waited for silent clients although answered ones were idle (review case 2).
        node = NodeProcess(FakeServer("s0", 0))
        self.addCleanup(node.close)
        bad_clients = BadClients(node.address)
        self.addCleanup(bad_clients.stop)
        time.sleep(2.0)  # until they fill the table
        for number in range(REQUEST_COUNT):
            client = node.connect_client()
            sent_s = time.monotonic()
            client.set_up(f"{number + 1:016x}", **{"Answer-Within": f"{TIMEOUT_S * 1000:.0f}"})
            client.receive_response()
            assert time.monotonic() - sent_s < TIMEOUT_S + MAX_LATENESS_S
            client.sock.close()
        assert bad_clients.closed_count > ASKING_CLIENTS  # they were there all the time
