"""The fault proxy between emulated parties, early releases at an emulated server, and killed fronts."""

from __future__ import annotations

import socket
import threading
import unittest
from contextlib import suppress
from random import Random
from unittest.mock import Mock

import msgspec
from fennelcove.clock import SystemClock
from fennelcove.emulators.clients import HttpClient
from fennelcove.emulators.fault_proxy import faults
from fennelcove.emulators.fault_proxy.faults import Fault, FaultKind
from fennelcove.emulators.fault_proxy.latency_probe import LatencyProbe
from fennelcove.emulators.fault_proxy.relay import Relays
from fennelcove.emulators.media_server import EmulatedServer
from fennelcove.emulators.model import RackModel, ServerModel
from fennelcove.emulators.recorder import Recorder
from fennelcove.scenarios.checker import check_recording
from fennelcove.scenarios.fronts import FrontProcess, ScenarioError
from fennelcove.scenarios.player import terms
from fennelcove.scenarios.script import read
from fennelcove.wire.servers import JoinOrder, join_path

from tests.front_case import wait_for

FRONT_PARTY = frozenset({"fronts", "front-0", "zone-a"})
SERVER_PARTY = frozenset({"boxes", "box-0", "zone-b"})


class FaultTest(unittest.TestCase):
    def test_a_rule_names_a_party_a_group_or_several_and_one_direction(self) -> None:
        for sender, receiver, applies in (
            ("front-0", "box-0", True),
            ("zone-a", "zone-b", True),
            ("front-1|front-0", "all", True),
            ("zone-b", "zone-a", False),
            ("front-1", "boxes", False),
        ):
            assert (
                Fault(sender, receiver, FaultKind.SILENT).applies_to(FRONT_PARTY, SERVER_PARTY) is applies
            ), (
                sender,
                receiver,
            )

    def test_datagrams_are_lost_duplicated_and_delayed_by_share(self) -> None:
        chance = Random(3).random
        dropped = [
            faults.datagram_delays_us([Fault("all", "all", FaultKind.DROP, share=0.5)], chance)
            for _ in range(400)
        ]
        assert 120 < sum(not copies for copies in dropped) < 280
        duplicated = [
            faults.datagram_delays_us([Fault("all", "all", FaultKind.DUPLICATE, 20, 0.5)], chance)
            for _ in range(400)
        ]
        assert 120 < sum(len(copies) == 2 for copies in duplicated) < 280
        delayed = [
            faults.datagram_delays_us([Fault("all", "all", FaultKind.REORDER, 50, 1.0)], chance)[0]
            for _ in range(50)
        ]
        assert all(0 <= at <= 50000 for at in delayed)
        assert len(set(delayed)) > 10
        assert faults.datagram_delays_us([Fault("all", "all", FaultKind.SILENT)], chance) == []
        assert faults.datagram_delays_us([], chance) == [0]

    def test_the_lowest_of_two_throttles_applies_and_delays_add_up(self) -> None:
        throttles = [Fault("all", "all", FaultKind.THROTTLE, 50), Fault("all", "all", FaultKind.THROTTLE, 20)]
        assert faults.throttle_kb(throttles) == 20
        delays = [Fault("all", "all", FaultKind.DELAY, 10), Fault("all", "all", FaultKind.DELAY, 20)]
        assert faults.total_delay_us(delays, lambda: 0.0) == 30000


class Echo:
    """A server that echoes what it receives, until its listener is closed."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.received: list[bytes] = []
        self.threads = [threading.Thread(target=self.accept)]
        self.threads[0].start()

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            thread = threading.Thread(target=self.serve, args=(sock,))
            self.threads.append(thread)
            thread.start()

    def serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            while data := sock.recv(4096):
                self.received.append(data)
                sock.sendall(data)

    def stop(self) -> None:
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for thread in self.threads:
            thread.join()


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.echo = Echo()
        self.relays = Relays(SystemClock(), Random(1).random)
        self.relays.assign_party("127.0.1.1", FRONT_PARTY)
        self.address = self.relays.add_listener(self.echo.address, SERVER_PARTY)
        self.relays.start()
        self.addCleanup(self.echo.stop)
        self.addCleanup(self.relays.stop)

    def connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), 10, ("127.0.1.1", 0))
        self.addCleanup(sock.close)
        return sock

    def echoed(self, sock: socket.socket, data: bytes = b"hello") -> bytes:
        sock.sendall(data)
        received = b""
        while len(received) < len(data) and (part := sock.recv(4096)):
            received += part
        return received

    def test_bytes_are_relayed_completely_and_connections_are_counted(self) -> None:
        sent = bytes(range(256)) * 2000
        sock = self.connect()
        threading.Thread(target=sock.sendall, args=(sent,)).start()
        received = b""
        while len(received) < len(sent):
            received += sock.recv(65_536)
        assert received == sent
        assert self.relays.traffic_counts() == {"connections fronts boxes": 1}

    def test_a_half_close_is_relayed_after_the_data_sent_before_it(self) -> None:
        sock = self.connect()
        sock.sendall(b"last bytes")
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while part := sock.recv(100):
            received += part
        assert received == b"last bytes"

    def test_a_silent_partition_holds_back_data_until_it_ends(self) -> None:
        sock = self.connect()
        assert self.echoed(sock) == b"hello"
        self.relays.set(Fault("zone-a", "zone-b", FaultKind.SILENT))
        sock.sendall(b"during partition")
        sock.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            sock.recv(100)
        self.relays.set()
        sock.settimeout(10)
        assert sock.recv(100) == b"during partition"

    def test_data_of_a_connection_made_and_abandoned_during_a_partition_never_arrives(self) -> None:
        # Guards against all attempts made during a partition reaching the servers at its end, long after
        # their fronts abandoned them: in a real network those connections would never have been established.
        self.relays.set(Fault("zone-a", "zone-b", FaultKind.SILENT))
        connected, abandoned = self.connect(), self.connect()
        for sock in (connected, abandoned):
            sock.sendall(b"during partition")
        wait_for(
            lambda: self.relays.traffic_counts() == {"connections fronts boxes": 2},
            "both connections at the relay",
        )
        abandoned.close()
        self.relays.set()
        connected.settimeout(10)
        assert connected.recv(100) == b"during partition"
        assert self.echoed(self.connect()) == b"hello"  # everything relayed has arrived by now
        assert self.echo.received == [b"during partition", b"hello"]

    def test_a_reset_fault_ends_open_and_new_connections_until_it_ends(self) -> None:
        sock = self.connect()
        self.echoed(sock)
        self.relays.set(Fault("fronts", "boxes", FaultKind.RESET))
        with self.assertRaises(ConnectionError):
            while True:
                sock.sendall(b"x")
                if not sock.recv(1):
                    raise ConnectionError
        with self.assertRaises(ConnectionError):
            if not self.echoed(self.connect()):
                raise ConnectionError
        self.relays.set()
        assert self.echoed(self.connect()) == b"hello"

    def test_a_cut_resets_the_connection_in_the_middle_of_a_message(self) -> None:
        sock = self.connect()
        self.relays.set(Fault("boxes", "front-0", FaultKind.CUT))
        received = b""
        with suppress(ConnectionError):
            received = self.echoed(sock, b"0123456789")
        assert received in (b"", b"01234")

    def test_connections_to_a_closed_listener_are_refused(self) -> None:
        self.relays.shut(self.address)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        self.relays.open(self.address)
        assert self.echoed(self.connect()) == b"hello"

    def test_all_waiting_connections_are_accepted_in_one_turn(self) -> None:
        # Guards against an accept queue at the relays that is mistaken for slow fronts.
        relays = Relays(SystemClock(), Random(1).random)
        address = relays.add_listener(self.echo.address, SERVER_PARTY)
        host, _, port = address.rpartition(":")
        socks = [socket.create_connection((host, int(port)), 10) for _ in range(20)]
        relays._accept(relays.listeners[address])
        assert relays.traffic_counts() == {"connections viewers boxes": 20}
        relays.start()
        self.addCleanup(relays.stop)
        for sock in socks:
            self.addCleanup(sock.close)
            assert self.echoed(sock) == b"hello"

    def test_the_latency_of_the_rig_is_measured_separately_from_the_fronts(self) -> None:
        # Guards against an overloaded machine that is mistaken for slow fronts, and against a probe that sees
        # nothing.
        clock = SystemClock()
        recorder = Recorder(clock)
        gauge = LatencyProbe(clock, recorder, self.relays)
        self.relays.set(Fault("gauge", "viewers", FaultKind.DELAY, 300))
        gauge.start()
        self.addCleanup(gauge.stop)
        wait_for(lambda: recorder.count("rig_late") > 1, "two late responses")
        assert min(record["ms"] for record in recorder.records) >= 300
        self.relays.set()
        probes_sent = gauge.probes_sent
        wait_for(lambda: gauge.probes_sent > probes_sent + 2, "responses in time")
        verdict = check_recording(
            [terms(read("power-short")) | {"t_us": 0, "what": "terms"}, *recorder.records]
        )
        assert verdict.rig_late_ms >= 300
        assert verdict.rig_late_s >= 0.6

    def test_datagrams_come_from_the_address_under_which_the_receiver_knows_the_sender(self) -> None:
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(10)
            self.addCleanup(sock.close)
        addresses = ["{}:{}".format(*sock.getsockname()) for sock in socks]
        relay_addresses = self.relays.add_datagram_relays(addresses, [FRONT_PARTY, SERVER_PARTY])
        host, _, port = relay_addresses[0][1].rpartition(":")
        socks[0].sendto(b"beat", (host, int(port)))
        raw, source = socks[1].recvfrom(100)
        assert (raw, "{}:{}".format(*source)) == (b"beat", relay_addresses[1][0])
        self.relays.set(Fault("front-0", "all", FaultKind.DROP))
        socks[0].sendto(b"lost", (host, int(port)))
        counter = "datagrams fronts boxes"
        wait_for(lambda: self.relays.traffic_counts().get(counter) == 2, "the second datagram")
        self.relays.set()
        socks[0].sendto(b"again", (host, int(port)))
        assert socks[1].recv(100) == b"again"


class MediaServerTest(unittest.TestCase):
    def test_an_attempt_whose_release_came_first_is_not_started(self) -> None:
        # Guards against servers full of sessions without a client after a partition: requests on two
        # connections arrive in any order, and a release that succeeded is not sent again.
        clock = SystemClock()
        model = ServerModel(5000, 10, RackModel(5000), 0, 1.0, 2.0, 1_000_000)
        server = EmulatedServer("box-0", model, clock, Recorder(clock), 0.05)
        server.start()
        self.addCleanup(server.stop)
        player = HttpClient(server.address, clock)
        self.addCleanup(player.close)
        order = JoinOrder(front="f", title="t", room_type="free", rung=0, rate_kb=100)
        requests = (("DELETE", 0, 204), ("PUT", 0, 410), ("PUT", 1, 201), ("DELETE", 1, 204), ("PUT", 1, 410))
        for method, attempt, status in requests:
            body = msgspec.json.encode(order) if method == "PUT" else b""
            response = player.ask(method, join_path("s", attempt), [], body, 10)
            assert response.status == status, (method, attempt)
            assert list(model.playing) == ([("s", 1)] if status == 201 else [])


class KilledFrontTest(unittest.TestCase):
    def test_a_front_killed_by_the_script_while_starting_does_not_fail_the_scenario(self) -> None:
        # Guards against a scenario that fails because a second power failure kills a front that is starting
        # after the first one.
        front = object.__new__(FrontProcess)
        front.process, front.killed_by_script, front.name = Mock(returncode=-9), True, "front-1"
        front.log = Mock(read_text=lambda *_: "")
        assert not front.up()
        front.killed_by_script = False
        with self.assertRaises(ScenarioError):
            front.up()


if __name__ == "__main__":
    unittest.main()
