"""The limit on attempts at a server that warms up holds for all fronts of a fleet together."""

from __future__ import annotations

import socket
import struct
import threading
import time
import unittest
from bisect import bisect_right
from contextlib import suppress
from dataclasses import replace
from math import sqrt
from typing import Any

from fennelcove.interface import Outcome
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.isup.messages import MessageKind
from fennelcove.isup.reader import Reader as ServerReader

from tests.helpers import SECOND_US
from tests.node_harness import FakeServer, NodeProcess, encode_answer, notice, wait_until
from tests.warm_up_simulation import FleetSimulation, Scenario, WarmUpSettings

DEFAULT = WarmUpSettings()
SHORT_WINDOW = WarmUpSettings(5000, 0.6, 2.0, 1000, 60)
LONG_WINDOW = WarmUpSettings(5000, 0.6, 3.0, 3000, 60)
MEDIUM_WINDOW = WarmUpSettings(12_000, 0.4, 2.5, 2000, 60)
SMALL_CAPACITY = WarmUpSettings(12_000, 0.6, 3.0, 3000, 6)
SMALL_CAPACITY_SHORT_WARM_UP = WarmUpSettings(5000, 0.3, 3.0, 2000, 6)
WINDOW_LONGER_THAN_WARM_UP = WarmUpSettings(1000, 0.5, 2.0, 3000, 60)
LONG_WARM_UP = WarmUpSettings(60_000, 0.3, 2.5, 2000, 60)
ALL_SETTINGS = (
    DEFAULT,
    SHORT_WINDOW,
    LONG_WINDOW,
    MEDIUM_WINDOW,
    SMALL_CAPACITY,
    SMALL_CAPACITY_SHORT_WARM_UP,
    WINDOW_LONGER_THAN_WARM_UP,
    LONG_WARM_UP,
)


class FleetWarmUpTest(unittest.TestCase):
    def check(self, scenario: Scenario, at_least: float = 0.25) -> None:
        """Check that no server is overloaded, and that enough of the permitted attempts are sent."""
        with self.subTest(str(scenario)):
            fleet = FleetSimulation(scenario).run()
            fullest = fleet.fullest_window()
            assert fullest.informed <= fullest.allowed + 2 * sqrt(fullest.allowed) + 2, fullest.text
            overload = fleet.first_overload()
            assert overload is None, overload and overload.text
            # A limit that admits nothing would pass too; most permitted attempts are those of busy fronts.
            permitted = (
                scenario.settings.capacity * (1 + scenario.settings.start_capacity) / 2 * scenario.cold
            )
            assert sum(map(len, (s.at_us for s in fleet.sent.values()))) > at_least * permitted - 1

    def test_fleets_of_all_sizes_with_very_different_settings(self) -> None:
        for number, settings in enumerate(ALL_SETTINGS):
            for fronts in (2, 7, 20, 30, 200)[number % 2 :: 2]:
                self.check(Scenario(settings, fronts, request_count=1200), 0.0 if fronts > 30 else 0.25)

    def test_uneven_load_and_dials_that_release_a_second_of_attempts_at_once(self) -> None:
        for settings in (DEFAULT, SHORT_WINDOW, SMALL_CAPACITY_SHORT_WARM_UP, WINDOW_LONGER_THAN_WARM_UP):
            for fronts, dial_delay in ((7, "batched"), (20, "random"), (30, "delayed"), (200, "delayed")):
                quiet_us = 400 * settings.warm_up_ms if dial_delay == "delayed" else 0
                self.check(
                    Scenario(
                        settings,
                        fronts,
                        request_count=1200,
                        dial_delay=dial_delay,
                        quiet_us=quiet_us,
                        uneven=True,
                    ),
                    0.0,
                )
        # Every front always has requests, and after the quiet time none has used its permitted attempts.
        for quiet_ms in (1500, 3000):
            self.check(
                Scenario(
                    SHORT_WINDOW,
                    200,
                    request_count=5000,
                    dial_delay="delayed",
                    quiet_us=1000 * quiet_ms,
                    seed=2,
                ),
                0.1,
            )

    def test_a_tenth_of_the_fleet_restarts_repeatedly(self) -> None:
        for settings, fronts in ((DEFAULT, 20), (SHORT_WINDOW, 30), (LONG_WINDOW, 200), (SMALL_CAPACITY, 7)):
            for dial_delay in ("random", "delayed"):
                scenario = Scenario(
                    settings,
                    fronts,
                    request_count=2500,
                    dial_delay=dial_delay,
                    restart_fraction=0.1,
                    quiet_us=300 * settings.warm_up_ms,
                )
                self.check(scenario, 0.1)

    def test_most_of_the_fleet_restarts_at_once(self) -> None:
        # A restarted front used the attempts that its previous incarnation had just used: twice as many.
        settings = WarmUpSettings(5000, 0.6, 3.0, 1000, 150)
        for fronts, request_count in ((20, 1500), (30, 1500), (200, 4000)):
            for down_us in (0, SECOND_US // 2):
                scenario = Scenario(
                    settings,
                    fronts,
                    request_count=request_count,
                    dial_delay="delayed",
                    quiet_us=300 * settings.warm_up_ms,
                )
                self.check(
                    replace(scenario, restart_fraction=0.7, restart_us=SECOND_US // 2, down_us=down_us), 0.1
                )

    def test_a_server_that_loses_every_connection(self) -> None:
        # Each lost connection released the front's permitted attempt, so that it sent without limit.
        for settings in (DEFAULT, SHORT_WINDOW, SMALL_CAPACITY_SHORT_WARM_UP):
            for fronts in (2, 7, 20):
                lost = (Outcome.CONNECTION_LOST,)
                self.check(
                    Scenario(settings, fronts, request_count=1500, failure_fraction=1.0, failures=lost), 0.02
                )

    def test_a_third_of_the_servers_is_replaced_while_attempts_fail_and_are_retried(self) -> None:
        for settings, fronts in ((DEFAULT, 7), (SHORT_WINDOW, 30), (SMALL_CAPACITY_SHORT_WARM_UP, 20)):
            scenario = Scenario(
                settings,
                fronts,
                cold=4,
                warm=8,
                spread_us=7 * SECOND_US,
                request_count=2500,
                failure_fraction=0.3,
            )
            self.check(scenario, 0.0)

    def test_fronts_that_learn_late_of_a_start(self) -> None:
        # They treat the server as warm and may overload it, but informed fronts must not be the main cause.
        for settings in (DEFAULT, SHORT_WINDOW, SMALL_CAPACITY_SHORT_WARM_UP):
            for fronts, part, request_count in (
                (7, 0.15, 600),
                (20, 0.1, 300),
                (30, 0.3, 1500),
                (200, 0.1, 1500),
            ):
                for dial_delay in ("none", "batched"):
                    self.check(
                        Scenario(
                            settings,
                            fronts,
                            request_count=request_count,
                            late_fraction=part,
                            dial_delay=dial_delay,
                        ),
                        0.0,
                    )


class WarmingUpServer(FakeServer):
    """Records when each set-up arrives.

    With `accepts_late`, its backlog is full until the test lets it accept; with `resets_connections`, it
    resets each connection at the first set-up.
    """

    def __init__(self, accepts_late: bool = False, resets_connections: bool = False) -> None:
        self.arrival_times_s = list[float]()
        self.may_accept = threading.Event()
        if not accepts_late:
            self.may_accept.set()
        self.born_ms = 0
        self.resets_connections = resets_connections
        super().__init__("cold", 0, self.on_set_up)
        if accepts_late:
            self.listener.listen(0)  # the backlog holds one connection; further ones are dropped
            self.filler = socket.create_connection(self.listener.getsockname())

    def on_set_up(self, message: ServerMessage) -> bytes:
        """Record the arrival of a set-up, and answer it."""
        self.arrival_times_s.append(time.time())
        return encode_answer(message)

    def _serve(self, sock: socket.socket) -> None:
        if not self.resets_connections:
            super()._serve(sock)
            return
        reader = ServerReader()
        with suppress(OSError):
            while self.process_data(reader, sock.recv(4096)):
                pass
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def process_data(self, reader: ServerReader, data: bytes) -> bool:
        """Process received data; False if it completes a set-up or is the end of the connection."""
        reader.feed(data)
        while (message := reader.next()) is not None:
            if message.kind is MessageKind.SET_UP:
                self.on_set_up(message)
                return False
        return bool(data)

    def _accept(self) -> None:
        self.may_accept.wait()
        super()._accept()

    def close(self) -> None:
        """Close the listener and all connections."""
        for sock in [self.listener, *self.sockets]:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits on it
            sock.close()

    @property
    def host_entry(self) -> dict[str, Any]:
        return {**super().host_entry, "born_ms": self.born_ms}


class FleetNode(NodeProcess):
    """One of several node processes, with its index among them."""

    def __init__(
        self, server: WarmingUpServer, settings: WarmUpSettings, fronts: int, index: int, is_listed: bool
    ) -> None:
        self.settings = settings.platform_settings(fronts, index)
        super().__init__(*([server] if is_listed else []))

    def write_config(self) -> None:
        self.config["settings"] = self.settings
        super().write_config()


class NodeProcessesWarmUpTest(unittest.TestCase):
    def run_nodes(
        self, server: WarmingUpServer, settings: WarmUpSettings, fronts: int, restart: bool = False
    ) -> None:
        """Run node processes through a warm-up, each with far more requests than the limit permits."""
        nodes = [FleetNode(server, settings, fronts, index, is_listed=False) for index in range(fronts)]
        for node in nodes:
            self.addCleanup(node.close)
        finished = threading.Event()
        server.born_ms = int(time.time() * 1000)
        entry = server.host_entry
        for node in nodes:
            node.discovery.notices.append(notice(2, [entry]))
        client_threads = [
            threading.Thread(target=self.send_requests, args=(node, index, finished), daemon=True)
            for index, node in enumerate(nodes)
        ]
        for client_thread in client_threads:
            client_thread.start()
        time.sleep(1)
        if not server.may_accept.is_set():
            assert not server.arrival_times_s  # no dial of the first second has succeeded
        server.may_accept.set()
        if restart:
            nodes[0].process.kill()
            nodes[0].process.wait()
            restarted = FleetNode(server, settings, fronts, 0, is_listed=True)
            self.addCleanup(restarted.close)
            threading.Thread(
                target=self.send_requests, args=(restarted, fronts, finished), daemon=True
            ).start()
        end_s = (server.born_ms + settings.warm_up_ms) / 1000
        wait_until(lambda: time.time() > end_s, "the end of the warm-up")
        finished.set()
        arrivals_s = sorted(at_s for at_s in server.arrival_times_s if at_s < end_s)
        assert len(arrivals_s) > 1
        for i, at_s in enumerate(arrivals_s):
            allowed = settings.allowed_attempts(round(at_s * 1e6) - 1000 * server.born_ms)
            within = i + 1 - bisect_right(arrivals_s, at_s - settings.window_ms / 1000)
            assert within <= allowed + 2 * sqrt(allowed) + 2, f"at {at_s - end_s:.3f} s"

    def send_requests(self, node: NodeProcess, number: int, finished: threading.Event) -> None:
        """Send a set-up every 10 ms until the test has finished."""
        client, count = node.connect_client(), 0
        with suppress(OSError), client.sock:  # the process has ended
            while not finished.wait(0.01):
                count += 1
                client.set_up(f"{number:08x}{count:08x}", routing="home:0;copies:1;top:0")

    def test_a_listener_that_accepts_late_and_a_process_restarted_in_the_warm_up(self) -> None:
        server = WarmingUpServer(accepts_late=True)
        self.addCleanup(server.close)
        self.addCleanup(lambda: server.filler.close())
        self.run_nodes(server, WarmUpSettings(4000, 0.5, 2.0, 1000, 40), 4, restart=True)

    def test_a_server_that_resets_each_connection(self) -> None:
        server = WarmingUpServer(resets_connections=True)
        self.addCleanup(server.close)
        self.run_nodes(server, WarmUpSettings(3000, 0.5, 2.0, 1000, 20), 2)

    def test_lost_sessions_do_not_determine_the_start_that_discovery_reports(self) -> None:
        # Each front took the time when it closed the server's sessions for the server's start.
        server = WarmingUpServer()
        self.addCleanup(server.close)
        node = FleetNode(server, WarmUpSettings(warm_up_ms=1000), 200, 7, is_listed=True)
        self.addCleanup(node.close)
        client = node.connect_client()
        self.addCleanup(client.sock.close)
        client.set_up("0" * 16, routing="home:0;copies:1;top:0")
        assert client.receive_response().status == 200
        server.born_ms = round(time.time() * 1000) + 1
        wait_until(lambda: time.time() * 1000 > server.born_ms + 1000, "the end of its warm-up")
        node.discovery.notices.append(notice(2, [server.host_entry]))
        assert client.receive_request().method == "TEARDOWN"
        client.set_up("1" * 16, routing="home:0;copies:1;top:0")
        assert client.receive_response().status == 200


if __name__ == "__main__":
    unittest.main()
