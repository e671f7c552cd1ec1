"""Test fixture: a complete front in this process, with emulated servers and an emulated list service.

All of them listen on loopback; tests wait for conditions instead of sleeping.
"""

from __future__ import annotations

import threading
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from fennelcove import log
from fennelcove.clock import SystemClock
from fennelcove.core.ports import CorePorts
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.emulators.clients import HttpClient, Response
from fennelcove.emulators.endpoint_list_service import EmulatedListService, ListedServer
from fennelcove.emulators.media_server import EmulatedServer
from fennelcove.emulators.model import RackModel, ServerModel
from fennelcove.emulators.recorder import Record, Recorder
from fennelcove.http1.messages import CodecLimits, ResponseHead
from fennelcove.http1.reader import MessageAssembler, Reader
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings

from tests.helpers import Recorder as EffectRecorder

WAIT_TIMEOUT_S = 20.0
SETTINGS = """
(front (name "front-t") (listen "127.0.0.1:0") (lists (address "127.0.0.1:1"))
  (room-types
    (item (name "free") (objective-ms 2000) (client-timeout-ms 4000))
    (item (name "keyed") (objective-ms 2000) (client-timeout-ms 4000) (effect "guarded") (key-ttl-ms 60000))
    (item (name "once") (objective-ms 2000) (client-timeout-ms 4000) (effect "single_shot"))
    (item (name "few") (objective-ms 2000) (client-timeout-ms 4000) (seats 2))
    (item (name "high") (objective-ms 2000) (client-timeout-ms 4000) (floor 1)))
  (ladder (item (kb 100) (worth 0.4)) (item (kb 200) (worth 0.7)) (item (kb 400) (worth 1)))
  (fleet (kinds (item (name "k") (streams 50))) (cells 3) (racks 1) (kb-per-weight 5000) (all-links-kb 15000)
         (uplink-kb 15000) (seen-after-ms 50) (reports-every-ms 50))
  (titles (item (name "t1") (first-cell 0) (cells 3)))
  (rules (ramp-ms 1000) (start-capacity 0.5) (join-cap 5) (drain-grace-ms 500))
  (limits (silent-ms 60000) (stop-ms 3000)))
"""


def recorded_ports() -> CorePorts:
    """Return ports of a core that only record the calls made to them."""
    port: Any = EffectRecorder()
    return CorePorts(port, port, port)


def wait_for(condition: Callable[[], Any], description: str) -> Any:
    """Wait until a condition is true and return its value; the time limit ends a test that would hang."""
    pause = threading.Event()
    for _ in range(round(WAIT_TIMEOUT_S / 0.005)):
        value = condition()
        if value:
            return value
        pause.wait(0.005)
    raise AssertionError(f"timed out waiting for {description}")


class FrontTestCase(unittest.TestCase):
    """Starts a front, emulated servers and a list service for each test, and stops them afterwards."""

    SERVER_COUNT = 3

    def start_system(self, start: bool = True, **changes: Any) -> None:
        """Start the servers and the list service, and a front unless `start` is False."""
        self.clock = SystemClock()
        self.recorder = Recorder(self.clock)
        self.list_service = EmulatedListService(self.clock, self.recorder)
        rack = RackModel(15_000)
        self.servers: list[EmulatedServer] = []
        for i in range(self.SERVER_COUNT):
            model = ServerModel(5000, 50, rack, 1_000_000, 0.5, 2.0, 1_000_000)
            rack.servers.append(model)
            self.servers.append(EmulatedServer(f"box-{i}", model, self.clock, self.recorder, 0.05))
        for server in self.servers:
            server.start()
            self.addCleanup(server.stop)
        self.listed_servers = [
            ListedServer(server.address, "zone", "k", i, 1.0) for i, server in enumerate(self.servers)
        ]
        self.list_service.publish(*self.listed_servers)
        self.list_service.start()
        self.addCleanup(self.list_service.stop)
        self.settings = self.make_settings(**changes)
        self.started_fronts: list[FrontDaemon] = []
        self.addCleanup(self.stop_fronts)
        if start:
            self.front = self.start_front()

    def make_settings(self, **changes: Any) -> FrontSettings:
        """Return the test settings with changed groups; `limits` and `rules` are merged with the test's."""
        settings = parse(SETTINGS, FrontSettings, "test")
        lists = msgspec.structs.replace(settings.lists, address=self.list_service.address)
        for group in ("limits", "rules"):
            if group in changes:
                changes[group] = msgspec.structs.replace(getattr(settings, group), **changes[group])
        return msgspec.structs.replace(settings, lists=lists, **changes)

    def start_front(self) -> FrontDaemon:
        """Start a front and wait until it has an endpoint list."""
        front = FrontDaemon(self.settings, log.silent)
        self.started_fronts.append(front)
        front.start()
        wait_for(lambda: front.core.endpoint_tracker.version is not None, "an endpoint list")
        return front

    def stop_fronts(self) -> None:
        for front in self.started_fronts:
            front.stop()

    def new_client(self) -> HttpClient:
        """Return a new client of the front, which is closed after the test."""
        client = HttpClient(self.front.http_server.address, self.clock)
        self.addCleanup(client.close)
        return client

    def request_session(
        self, service_class: str = "free", client: HttpClient | None = None, headers: Any = (), **body: Any
    ) -> Response:
        """Request a session and return the response."""
        content = msgspec.json.encode({"room_type": service_class, "title": "t1", **body})
        fields = [("Content-Type", "application/json"), *headers]
        return (client or self.new_client()).ask("POST", "/v1/subscriptions", fields, content, WAIT_TIMEOUT_S)

    def request_concurrently(self, count: int, **body: Any) -> list[Response]:
        """Request `count` sessions concurrently and return the responses."""
        responses: list[Response] = []
        threads = [
            threading.Thread(target=lambda: responses.append(self.request_session(**body)))
            for _ in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return responses

    def max_setups_in_flight(self) -> int:
        """Return the maximum number of set-ups in flight at once, as recorded by the servers."""
        in_flight = maximum = 0
        for record in list(self.recorder.records):
            in_flight += (record["what"] == "set_up") - (record["what"] == "set_up_over")
            maximum = max(maximum, in_flight)
        return maximum

    def get(self, path: str, headers: Any = (), method: str = "GET") -> Response:
        return self.new_client().ask(method, path, list(headers), b"", WAIT_TIMEOUT_S)

    def find_records(self, what: str, **fields: Any) -> list[Record]:
        """Return the records of a kind with these field values."""
        with self.recorder.lock:
            records = list(self.recorder.records)
        return [
            record
            for record in records
            if record["what"] == what and all(record.get(key) == value for key, value in fields.items())
        ]

    def wait_for_records(self, what: str, count: int = 1, **fields: Any) -> list[Record]:
        """Wait for `count` records of a kind with these field values, and return them."""
        wait_for(
            lambda: len(self.find_records(what, **fields)) >= count, f"{count} records of {what} {fields}"
        )
        return self.find_records(what, **fields)

    def leave_one_active(self, index: int) -> None:
        """Publish a list on which only the server with this index is active."""
        self.list_service.publish(
            *[
                ListedServer(server.address, "zone", "k", i, 1.0, "active" if i == index else "leaving")
                for i, server in enumerate(self.listed_servers)
            ]
        )
        version = self.list_service.version
        wait_for(lambda: self.front.core.endpoint_tracker.version == version, "the new endpoint list")


def read_responses(sock: Any, count: int) -> list[tuple[int, bytes]]:
    """Read `count` responses from a socket; return their statuses and bodies."""
    gatherer = MessageAssembler(Reader(False, CodecLimits()))
    responses: list[tuple[int, bytes]] = []
    sock.settimeout(WAIT_TIMEOUT_S)
    while len(responses) < count:
        while len(responses) < count and (message := gatherer.next()) is not None:
            assert isinstance(message.head, ResponseHead)
            responses.append((message.head.status, message.body))
        if len(responses) < count:
            data = sock.recv(65_536)
            if not data:
                break
            gatherer.reader.feed(data)
    return responses
