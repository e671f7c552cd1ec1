"""Usual clients beside one client that sends set-ups on one connection at full speed."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from contextlib import suppress

from tests.discovery_harness import DiscoveryNodeProcess, ManualDiscovery
from tests.node_harness import SETTINGS, Client, FakeServer

LARGE_SETTINGS = {
    **SETTINGS,
    "FamilyInfo": {
        **SETTINGS["FamilyInfo"],
        "KindStreams": [20_000],
        "KbPerWeight": 20_000_000,
        "AllLinksKb": 60_000_000,
    },
}
FLOOD_S = 6.0
BATCH = 100  # set-ups sent at once
REQUEST_INTERVAL_S = 0.1
TIMEOUT_S = 1.5


class FloodingClient:
    """Sends set-ups under new ids as fast as they are accepted, and reads the answers."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.is_stopped = False
        self.sent_count = 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop sending."""
        self.is_stopped = True
        self.thread.join()

    def _run(self) -> None:
        while not self.is_stopped:
            with suppress(OSError), socket.create_connection(self.address, TIMEOUT_S) as sock:
                threading.Thread(target=self._read, args=(sock,), daemon=True).start()
                while not self.is_stopped:
                    sock.sendall(b"".join(self._set_up() for _ in range(BATCH)))

    def _set_up(self) -> bytes:
        self.sent_count += 1
        lines = (
            f"SETUP rtsp://media/{self.sent_count:x} RTSP/1.0",
            "CSeq: 1",
            f"Session: {self.sent_count:016x}",
            "Call-Kind: recorded",
            "Answer-Within: 8000",
            "Routing-Data: home:0;copies:4;top:2",
            "Content-Length: 0",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _read(self, sock: socket.socket) -> None:
        with suppress(OSError):
            while sock.recv(65_536):
                pass


class FloodingClientTest(unittest.TestCase):
    def test_usual_clients_are_answered_in_time_beside_a_client_that_floods_with_set_ups(self) -> None:
        # Its thread took the node's lock again and again before all others: answers came seconds late.
        server, discovery = FakeServer("s0", 0), ManualDiscovery()
        self.addCleanup(discovery.close)
        node = DiscoveryNodeProcess(discovery, server, settings=LARGE_SETTINGS)
        self.addCleanup(node.close)
        flood = FloodingClient(node.address)
        self.addCleanup(flood.stop)
        time.sleep(1.0)
        latencies = []
        until_s = time.monotonic() + FLOOD_S
        while time.monotonic() < until_s:
            latencies.append(self.ask(node.connect_client(), f"{0x99 << 56 | len(latencies):016x}"))
            time.sleep(REQUEST_INTERVAL_S)
        assert flood.sent_count > 1_000
        assert max(latencies) < TIMEOUT_S, latencies

    def ask(self, client: Client, session: str) -> float:
        """Set a session up and end it; return how long the answer took, in seconds."""
        with client.sock:
            client.sock.settimeout(5 * TIMEOUT_S)
            sent_s = time.monotonic()
            client.set_up(session)
            response = client.receive_response()
            answered_s = time.monotonic()
            assert response.status == 200
            client.tear_down(session)
            client.receive_response()
        return answered_s - sent_s
