"""Cold servers fall under the sum of what all processes send: the ramp has to hold for the fleet."""

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

from tests.helpers import SECOND
from tests.node_harness import NodeRig, StandInServer, answered, eventually, notice
from tests.warm_up_simulation import Case, Fleet, Terms

EIGHT_S = Terms()
SHORT_WINDOW = Terms(5000, 0.6, 2.0, 1000, 60)
LONG_WINDOW = Terms(5000, 0.6, 3.0, 3000, 60)
MIDDLE = Terms(12_000, 0.4, 2.5, 2000, 60)
SMALL = Terms(12_000, 0.6, 3.0, 3000, 6)
SMALL_AND_STEEP = Terms(5000, 0.3, 3.0, 2000, 6)
WINDOW_PAST_RAMP = Terms(1000, 0.5, 2.0, 3000, 60)
MINUTE = Terms(60_000, 0.3, 2.5, 2000, 60)
ALL = (EIGHT_S, SHORT_WINDOW, LONG_WINDOW, MIDDLE, SMALL, SMALL_AND_STEEP, WINDOW_PAST_RAMP, MINUTE)


class ColdFleetTest(unittest.TestCase):
    def check(self, case: Case, at_least: float = 0.25) -> None:
        with self.subTest(str(case)):
            fleet = Fleet(case).play()
            worst = fleet.worst()
            assert worst.told <= worst.allowed + 2 * sqrt(worst.allowed) + 2, worst.text
            broken = fleet.broken()
            assert broken is None, broken and broken.text
            # A ramp that lets nothing through would hold as well: most turns come to somebody who has a use.
            turns = case.terms.places * (1 + case.terms.start_capacity) / 2 * case.cold
            assert sum(map(len, (s.at_us for s in fleet.sent.values()))) > at_least * turns - 1

    def test_fleets_of_all_sizes_under_settings_far_apart(self) -> None:
        for number, terms in enumerate(ALL):
            for fronts in (2, 7, 20, 30, 200)[number % 2 :: 2]:
                self.check(Case(terms, fronts, asks=1200), 0.0 if fronts > 30 else 0.25)

    def test_uneven_load_and_dials_that_bring_a_second_of_joins_at_once(self) -> None:
        for terms in (EIGHT_S, SHORT_WINDOW, SMALL_AND_STEEP, WINDOW_PAST_RAMP):
            for fronts, dial in ((7, "lumped"), (20, "drawn"), (30, "held"), (200, "held")):
                quiet_us = 400 * terms.ramp_ms if dial == "held" else 0
                self.check(Case(terms, fronts, asks=1200, dial=dial, quiet_us=quiet_us, uneven=True), 0.0)
        # Every front with something to send at each moment, after a quiet that has left them all their turns.
        for quiet_ms in (1500, 3000):
            self.check(Case(SHORT_WINDOW, 200, asks=5000, dial="held", quiet_us=1000 * quiet_ms, seed=2), 0.1)

    def test_a_tenth_restarts_again_and_again(self) -> None:
        for terms, fronts in ((EIGHT_S, 20), (SHORT_WINDOW, 30), (LONG_WINDOW, 200), (SMALL, 7)):
            for dial in ("drawn", "held"):
                case = Case(
                    terms, fronts, asks=2500, dial=dial, restart_part=0.1, quiet_us=300 * terms.ramp_ms
                )
                self.check(case, 0.1)

    def test_most_of_the_fleet_restarts_at_once(self) -> None:
        # A fresh instance took the turns that its earlier life had used a moment ago: as much again.
        terms = Terms(5000, 0.6, 3.0, 1000, 150)
        for fronts, asks in ((20, 1500), (30, 1500), (200, 4000)):
            for down_us in (0, SECOND // 2):
                case = Case(terms, fronts, asks=asks, dial="held", quiet_us=300 * terms.ramp_ms)
                self.check(replace(case, restart_part=0.7, restart_us=SECOND // 2, down_us=down_us), 0.1)

    def test_a_server_that_resets_what_comes(self) -> None:
        # Each lost connection gave the turn back, and the front that had it sent without an end.
        for terms in (EIGHT_S, SHORT_WINDOW, SMALL_AND_STEEP):
            for fronts in (2, 7, 20):
                lost = (Outcome.CONNECTION_LOST,)
                self.check(Case(terms, fronts, asks=1500, fail_part=1.0, failures=lost), 0.02)

    def test_a_third_of_the_fleet_is_replaced_while_joins_fail_and_come_again(self) -> None:
        for terms, fronts in ((EIGHT_S, 7), (SHORT_WINDOW, 30), (SMALL_AND_STEEP, 20)):
            case = Case(terms, fronts, cold=4, warm=8, spread_us=7 * SECOND, asks=2500, fail_part=0.3)
            self.check(case, 0.0)

    def test_fronts_that_have_not_been_told(self) -> None:
        # They send as to a warm server, so it may fall; those that were told must not be most of the cause.
        for terms in (EIGHT_S, SHORT_WINDOW, SMALL_AND_STEEP):
            for fronts, part, asks in ((7, 0.15, 600), (20, 0.1, 300), (30, 0.3, 1500), (200, 0.1, 1500)):
                for dial in ("none", "lumped"):
                    self.check(Case(terms, fronts, asks=asks, late_part=part, dial=dial), 0.0)


class ColdServer(StandInServer):
    """Counts each set-up as it arrives. Where it is late, its backlog is full until it is told to accept;
    where it resets, each connection ends under its first set-up."""

    def __init__(self, late: bool = False, resets: bool = False) -> None:
        self.arrived = list[float]()
        self.open = threading.Event()
        if not late:
            self.open.set()
        self.born_ms = 0
        self.resets = resets
        super().__init__("cold", 0, self.arrives)
        if late:
            self.listener.listen(0)  # one connection waits in the backlog, and what comes after it is dropped
            self.filler = socket.create_connection(self.listener.getsockname())

    def arrives(self, message: ServerMessage) -> bytes:
        self.arrived.append(time.time())
        return answered(message)

    def _serve(self, sock: socket.socket) -> None:
        if not self.resets:
            super()._serve(sock)
            return
        reader = ServerReader()
        with suppress(OSError):
            while self.arrived_on(reader, sock.recv(4096)):
                pass
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    def arrived_on(self, reader: ServerReader, data: bytes) -> bool:
        """Whether the connection goes on: until a set-up has been read whole, or its peer ends it."""
        reader.feed(data)
        while (message := reader.next()) is not None:
            if message.kind is MessageKind.SET_UP:
                self.arrives(message)
                return False
        return bool(data)

    def _accept(self) -> None:
        self.open.wait()
        super()._accept()

    def end(self) -> None:
        for sock in [self.listener, *self.sockets]:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that waits on it
            sock.close()

    @property
    def row(self) -> dict[str, Any]:
        return {**super().row, "born_ms": self.born_ms}


class FleetNode(NodeRig):
    """One process of several, told its number."""

    def __init__(self, server: ColdServer, terms: Terms, fronts: int, index: int, told: bool) -> None:
        self.settings = terms.tree(fronts, index)
        super().__init__(*([server] if told else []))

    def write(self) -> None:
        self.config["settings"] = self.settings
        super().write()


class ColdProcessesTest(unittest.TestCase):
    def play(self, server: ColdServer, terms: Terms, fronts: int, restart: bool = False) -> None:
        """Each process is asked for far more than the ramp lets through, from the start to its end."""
        nodes = [FleetNode(server, terms, fronts, index, told=False) for index in range(fronts)]
        for node in nodes:
            self.addCleanup(node.close)
        over = threading.Event()
        server.born_ms = int(time.time() * 1000)
        row = server.row
        for node in nodes:
            node.board.notices.append(notice(2, [row]))
        askers = [
            threading.Thread(target=self.ask, args=(node, index, over), daemon=True)
            for index, node in enumerate(nodes)
        ]
        for asker in askers:
            asker.start()
        time.sleep(1)
        if not server.open.is_set():
            assert not server.arrived  # the dials of the first second have waited in vain
        server.open.set()
        if restart:
            nodes[0].process.kill()
            nodes[0].process.wait()
            fresh = FleetNode(server, terms, fronts, 0, told=True)
            self.addCleanup(fresh.close)
            threading.Thread(target=self.ask, args=(fresh, fronts, over), daemon=True).start()
        end_s = (server.born_ms + terms.ramp_ms) / 1000
        eventually(lambda: time.time() > end_s, "the end of the warm-up")
        over.set()
        cold = sorted(at_s for at_s in server.arrived if at_s < end_s)
        assert len(cold) > 1
        for i, at_s in enumerate(cold):
            allowed = terms.allowed(round(at_s * 1e6) - 1000 * server.born_ms)
            within = i + 1 - bisect_right(cold, at_s - terms.tip_ms / 1000)
            assert within <= allowed + 2 * sqrt(allowed) + 2, f"at {at_s - end_s:.3f} s"

    def ask(self, node: NodeRig, number: int, over: threading.Event) -> None:
        caller, count = node.caller(), 0
        with suppress(OSError), caller.sock:  # the process was ended
            while not over.wait(0.01):
                count += 1
                caller.set_up(f"{number:08x}{count:08x}", routing="home:0;copies:1;top:0")

    def test_a_listener_that_accepts_late_and_a_process_restarted_in_the_ramp(self) -> None:
        server = ColdServer(late=True)
        self.addCleanup(server.end)
        self.addCleanup(lambda: server.filler.close())
        self.play(server, Terms(4000, 0.5, 2.0, 1000, 40), 4, restart=True)

    def test_a_server_that_resets_each_connection(self) -> None:
        server = ColdServer(resets=True)
        self.addCleanup(server.end)
        self.play(server, Terms(3000, 0.5, 2.0, 1000, 20), 2)

    def test_what_was_lost_with_the_last_life_says_nothing_of_the_start_that_the_board_tells(self) -> None:
        # Each front took the server for started when it ended what had stood there, not when it had started.
        server = ColdServer()
        self.addCleanup(server.end)
        node = FleetNode(server, Terms(ramp_ms=1000), 200, 7, told=True)
        self.addCleanup(node.close)
        viewer = node.caller()
        self.addCleanup(viewer.sock.close)
        viewer.set_up("0" * 16, routing="home:0;copies:1;top:0")
        assert viewer.answer().status == 200
        server.born_ms = round(time.time() * 1000) + 1
        eventually(lambda: time.time() * 1000 > server.born_ms + 1000, "the end of its warm-up")
        node.board.notices.append(notice(2, [server.row]))
        assert viewer.request().method == "TEARDOWN"
        viewer.set_up("1" * 16, routing="home:0;copies:1;top:0")
        assert viewer.answer().status == 200


if __name__ == "__main__":
    unittest.main()
