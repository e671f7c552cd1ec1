"""The client of the list service, against a service that is late by a constant amount."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from contextlib import suppress
from random import Random
from typing import Any

from fennelcove.clock import SystemClock
from fennelcove.core.endpoint_discovery import EndpointDiscovery
from fennelcove.decisions.servers.endpoint_list import (
    MAX_FETCH_TIMEOUT_US,
    MIN_FETCH_TIMEOUT_US,
    EndpointListUpdate,
    FetchTimeout,
)
from fennelcove.http1 import writer
from fennelcove.log import silent
from fennelcove.upstream.endpoint_list_client import EndpointListClient

from tests.node_harness import wait_until

LIST = b'{"version":7,"boxes":[]}'


class RecordingDiscovery:
    """Records lists, and requests the list again after each failure, as the policy does."""

    def __init__(self) -> None:
        self.client: EndpointListClient | None = None
        self.lists: list[EndpointListUpdate] = []

    def on_list(self, message: EndpointListUpdate) -> None:
        """Record a list."""
        self.lists.append(message)

    def on_list_unavailable(self) -> None:
        """Request the list again."""
        assert self.client is not None
        self.client.fetch()


class LateListService:
    """Answers each request for the list after the same delay, on as many connections as come."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.request_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """End the accepting thread."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            sock.recv(4096)
            self.request_count += 1
            time.sleep(self.delay_s)
            sock.sendall(writer.response(200, [], LIST))


class LateListServiceTest(unittest.TestCase):
    def start_client(self, delay_s: float) -> tuple[EndpointListClient, RecordingDiscovery, LateListService]:
        """Start a client that opens streams on request only."""
        service, discovery = LateListService(delay_s), RecordingDiscovery()
        self.addCleanup(service.close)
        client = EndpointListClient(SystemClock(), service.address, True, Random(1), silent)
        discovery.client = client
        stand_in: Any = discovery
        assert {"on_list", "on_list_unavailable"} <= set(dir(EndpointDiscovery))
        client.start(stand_in)
        self.addCleanup(client.stop)
        return client, discovery, service

    def test_a_service_whose_every_answer_is_late_is_heard(self) -> None:
        # Each request was given up after 1 s, and repeated with the same limit.
        client, discovery, _ = self.start_client(1.5)
        client.fetch()
        wait_until(lambda: discovery.lists, "the list")

    def test_the_client_stops_while_a_request_with_a_long_limit_is_open(self) -> None:
        client, _, service = self.start_client(60.0)
        while client.fetch_timeout.current_us < MAX_FETCH_TIMEOUT_US:
            client.fetch_timeout.on_timed_out()
        client.fetch()
        wait_until(lambda: service.request_count, "a request with the longest limit")
        started_s = time.monotonic()
        client.stop()
        assert time.monotonic() - started_s < 1.0


class FetchTimeoutTest(unittest.TestCase):
    def test_it_exceeds_any_delay_up_to_its_maximum_and_returns_to_the_minimum(self) -> None:
        for delay_us in (MIN_FETCH_TIMEOUT_US, 7 * MIN_FETCH_TIMEOUT_US, MAX_FETCH_TIMEOUT_US - 1):
            timeout = FetchTimeout()
            calls = 0
            while timeout.current_us <= delay_us:
                timeout.on_timed_out()
                calls += 1
            assert calls <= 5
            timeout.on_answered(delay_us)
            assert timeout.current_us > delay_us  # the next answer will be as late
            timeout.on_answered(MIN_FETCH_TIMEOUT_US - 1)
            assert timeout.current_us == MIN_FETCH_TIMEOUT_US
        for _ in range(100):
            timeout.on_timed_out()
        assert timeout.current_us == MAX_FETCH_TIMEOUT_US
