"""Relays between parties, with each fault; and days of a whole fleet, judged."""

from __future__ import annotations

import socket
import threading
import unittest
from contextlib import suppress
from random import Random
from unittest.mock import Mock

import msgspec
from fennelcove.clock import SystemClock
from fennelcove.emulators.clients import Player
from fennelcove.emulators.fault_proxy import faults
from fennelcove.emulators.fault_proxy.faults import Fault, How
from fennelcove.emulators.fault_proxy.gauge import Gauge
from fennelcove.emulators.fault_proxy.relay import Relays
from fennelcove.emulators.media_server import StandInBox
from fennelcove.emulators.model import BoxModel, RackModel
from fennelcove.emulators.recorder import Recorder
from fennelcove.scenarios.checker import judge
from fennelcove.scenarios.fronts import DayFailed, FrontProcess
from fennelcove.scenarios.player import terms
from fennelcove.scenarios.script import read
from fennelcove.wire.boxes import JoinOrder, join_path

from tests.rig import wait_for

FRONT = frozenset({"fronts", "front-0", "hall-a"})
BOX = frozenset({"boxes", "box-0", "hall-b"})


class FaultTest(unittest.TestCase):
    def test_a_rule_names_a_party_a_group_or_several_and_one_direction(self) -> None:
        for sender, receiver, hit in (
            ("front-0", "box-0", True),
            ("hall-a", "hall-b", True),
            ("front-1|front-0", "all", True),
            ("hall-b", "hall-a", False),
            ("front-1", "boxes", False),
        ):
            assert Fault(sender, receiver, How.SILENT).applies_to(FRONT, BOX) is hit, (sender, receiver)

    def test_datagrams_are_lost_doubled_and_late_by_share(self) -> None:
        chance = Random(3).random
        lose = [
            faults.datagram_delays_us([Fault("all", "all", How.DROP, share=0.5)], chance) for _ in range(400)
        ]
        assert 120 < sum(not copies for copies in lose) < 280
        double = [
            faults.datagram_delays_us([Fault("all", "all", How.DUPLICATE, 20, 0.5)], chance)
            for _ in range(400)
        ]
        assert 120 < sum(len(copies) == 2 for copies in double) < 280
        late = [
            faults.datagram_delays_us([Fault("all", "all", How.REORDER, 50, 1.0)], chance)[0]
            for _ in range(50)
        ]
        assert all(0 <= at <= 50000 for at in late)
        assert len(set(late)) > 10
        assert faults.datagram_delays_us([Fault("all", "all", How.SILENT)], chance) == []
        assert faults.datagram_delays_us([], chance) == [0]

    def test_the_least_of_two_paces_holds_and_delays_add_up(self) -> None:
        both = [Fault("all", "all", How.THROTTLE, 50), Fault("all", "all", How.THROTTLE, 20)]
        assert faults.throttle_kb(both) == 20
        late = [Fault("all", "all", How.DELAY, 10), Fault("all", "all", How.DELAY, 20)]
        assert faults.total_delay_us(late, lambda: 0.0) == 30000


class Echo:
    """Sends back what comes; ends with its listener."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.heard: list[bytes] = []
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
                self.heard.append(data)
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
        self.relays.name("127.0.1.1", FRONT)
        self.door = self.relays.door(self.echo.address, BOX)
        self.relays.start()
        self.addCleanup(self.echo.stop)
        self.addCleanup(self.relays.stop)

    def dial(self) -> socket.socket:
        host, _, port = self.door.rpartition(":")
        sock = socket.create_connection((host, int(port)), 10, ("127.0.1.1", 0))
        self.addCleanup(sock.close)
        return sock

    def said(self, sock: socket.socket, data: bytes = b"hello") -> bytes:
        sock.sendall(data)
        found = b""
        while len(found) < len(data) and (part := sock.recv(4096)):
            found += part
        return found

    def test_bytes_pass_whole_and_connections_are_counted(self) -> None:
        big = bytes(range(256)) * 2000
        sock = self.dial()
        threading.Thread(target=sock.sendall, args=(big,)).start()
        found = b""
        while len(found) < len(big):
            found += sock.recv(65_536)
        assert found == big
        assert self.relays.told() == {"connections fronts boxes": 1}

    def test_an_end_passes_and_so_does_what_was_sent_before_it(self) -> None:
        sock = self.dial()
        sock.sendall(b"last words")
        sock.shutdown(socket.SHUT_WR)
        found = b""
        while part := sock.recv(100):
            found += part
        assert found == b"last words"

    def test_a_silent_cut_holds_bytes_until_it_heals(self) -> None:
        sock = self.dial()
        assert self.said(sock) == b"hello"
        self.relays.set(Fault("hall-a", "hall-b", How.SILENT))
        sock.sendall(b"into the dark")
        sock.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            sock.recv(100)
        self.relays.set()
        sock.settimeout(10)
        assert sock.recv(100) == b"into the dark"

    def test_what_was_dialled_across_a_cut_and_given_up_never_arrives(self) -> None:
        # Guards against joins of a whole cut at boxes in the moment it heals, long given up by their fronts:
        # in a network no connection was ever made for them.
        self.relays.set(Fault("hall-a", "hall-b", How.SILENT))
        waits, gave_up = self.dial(), self.dial()
        for sock in (waits, gave_up):
            sock.sendall(b"into the dark")
        wait_for(lambda: self.relays.told() == {"connections fronts boxes": 2}, "both calls at the cut")
        gave_up.close()
        self.relays.set()
        waits.settimeout(10)
        assert waits.recv(100) == b"into the dark"
        assert self.said(self.dial()) == b"hello"  # whatever was to come over has come
        assert self.echo.heard == [b"into the dark", b"hello"]

    def test_a_reset_ends_what_is_open_and_what_is_new_until_it_heals(self) -> None:
        sock = self.dial()
        self.said(sock)
        self.relays.set(Fault("fronts", "boxes", How.RESET))
        with self.assertRaises(ConnectionError):
            while True:
                sock.sendall(b"x")
                if not sock.recv(1):
                    raise ConnectionError
        with self.assertRaises(ConnectionError):
            if not self.said(self.dial()):
                raise ConnectionError
        self.relays.set()
        assert self.said(self.dial()) == b"hello"

    def test_a_cut_breaks_off_in_the_middle_of_a_message(self) -> None:
        sock = self.dial()
        self.relays.set(Fault("boxes", "front-0", How.CUT))
        found = b""
        with suppress(ConnectionError):
            found = self.said(sock, b"0123456789")
        assert found in (b"", b"01234")

    def test_what_is_behind_a_shut_door_is_refused(self) -> None:
        self.relays.shut(self.door)
        with self.assertRaises(ConnectionRefusedError):
            self.dial()
        self.relays.open(self.door)
        assert self.said(self.dial()) == b"hello"

    def test_all_that_wait_at_a_door_are_let_in_at_one_turn(self) -> None:
        # Guards against a queue at the relays' doors that passes for slow fronts.
        relays = Relays(SystemClock(), Random(1).random)
        door = relays.door(self.echo.address, BOX)
        host, _, port = door.rpartition(":")
        socks = [socket.create_connection((host, int(port)), 10) for _ in range(20)]
        relays._accept(relays.listeners[door])
        assert relays.told() == {"connections viewers boxes": 20}
        relays.start()
        self.addCleanup(relays.stop)
        for sock in socks:
            self.addCleanup(sock.close)
            assert self.said(sock) == b"hello"

    def test_the_rig_is_measured_beside_the_fronts(self) -> None:
        # Guards against a full machine that passes for late fronts, and against a gauge that sees nothing.
        clock = SystemClock()
        recorder = Recorder(clock)
        gauge = Gauge(clock, recorder, self.relays)
        self.relays.set(Fault("gauge", "viewers", How.DELAY, 300))
        gauge.start()
        self.addCleanup(gauge.stop)
        wait_for(lambda: recorder.count("rig_late") > 1, "two late ones")
        assert min(record["ms"] for record in recorder.records) >= 300
        self.relays.set()
        asked = gauge.probes_sent
        wait_for(lambda: gauge.probes_sent > asked + 2, "others in time")
        verdict = judge([terms(read("power-short")) | {"t_us": 0, "what": "terms"}, *recorder.records])
        assert verdict.rig_late_ms >= 300
        assert verdict.rig_late_s >= 0.6

    def test_datagrams_come_from_who_sent_them_as_the_taker_knows_it(self) -> None:
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(10)
            self.addCleanup(sock.close)
        addresses = ["{}:{}".format(*sock.getsockname()) for sock in socks]
        known = self.relays.post(addresses, [FRONT, BOX])
        host, _, port = known[0][1].rpartition(":")
        socks[0].sendto(b"beat", (host, int(port)))
        raw, source = socks[1].recvfrom(100)
        assert (raw, "{}:{}".format(*source)) == (b"beat", known[1][0])
        self.relays.set(Fault("front-0", "all", How.DROP))
        socks[0].sendto(b"lost", (host, int(port)))
        count = "datagrams fronts boxes"
        wait_for(lambda: self.relays.told().get(count) == 2, "the second datagram")
        self.relays.set()
        socks[0].sendto(b"again", (host, int(port)))
        assert socks[1].recv(100) == b"again"


class BoxTest(unittest.TestCase):
    def test_a_join_whose_release_came_first_is_not_begun(self) -> None:
        # Guards against boxes full of joins that nobody watches after a cut: what was sent on two connections
        # arrives in any order, and a release that was carried out is not sent again.
        clock = SystemClock()
        model = BoxModel(5000, 10, RackModel(5000), 0, 1.0, 2.0, 1_000_000)
        box = StandInBox("box-0", model, clock, Recorder(clock), 0.05)
        box.start()
        self.addCleanup(box.stop)
        player = Player(box.address, clock)
        self.addCleanup(player.close)
        order = JoinOrder(front="f", title="t", room_type="free", rung=0, rate_kb=100)
        asked = (("DELETE", 0, 204), ("PUT", 0, 410), ("PUT", 1, 201), ("DELETE", 1, 204), ("PUT", 1, 410))
        for method, join, status in asked:
            body = msgspec.json.encode(order) if method == "PUT" else b""
            heard = player.ask(method, join_path("s", join), [], body, 10)
            assert heard.status == status, (method, join)
            assert list(model.playing) == ([("s", 1)] if status == 201 else [])


class StruckTest(unittest.TestCase):
    def test_one_that_the_script_killed_while_it_began_fails_no_day(self) -> None:
        # The second loss of power came while a front of the first began, and the day could not be played.
        front = object.__new__(FrontProcess)
        front.process, front.struck, front.name = Mock(returncode=-9), True, "front-1"
        front.log = Mock(read_text=lambda *_: "")
        assert not front.up()
        front.struck = False
        with self.assertRaises(DayFailed):
            front.up()


if __name__ == "__main__":
    unittest.main()
