"""What the standing fleet test asks of a front node, held without its bench."""

from __future__ import annotations

import ast
import json
import socket
import subprocess
import sys
import threading
import unittest
from contextlib import suppress
from math import sqrt
from pathlib import Path
from typing import Any
from unittest import mock

from fennelcove import facts
from fennelcove.clock import ManualClock, SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.http1 import writer as http
from fennelcove.interface import (
    AttemptCompleted,
    ListEntry,
    ListMode,
    ListUpdate,
    Outcome,
    Request,
    ServerState,
)
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.log import silent
from fennelcove.node import client_requests, config, session_manager
from fennelcove.node.address import Address
from fennelcove.node.discovery_client import DiscoveryClient
from fennelcove.node.program import shutdown_wait_us
from fennelcove.node.server_connection import ConnectionState, ServerConnection
from fennelcove.placement import PlacementPolicy
from fennelcove.rtsp import messages as rtsp

from tests.helpers import SECOND, Recorder
from tests.node_harness import SETTINGS, eventually, notice
from tests.test_node_session_manager import HOST, ID, TREE, Said


class StopTest(unittest.TestCase):
    def test_the_end_comes_after_all_that_is_taken_and_before_the_kill(self) -> None:
        # Killed with an answer owed, or gone while set-ups still come: either is a lost request.
        for longest_us in (0, 50_000, 150_000, 500_000, 1_500_000, 3_000_000, 5_000_000, 3_600_000_000):
            with self.subTest(longest_us):
                counted_us = min(longest_us or 3_000_000, 3_000_000)
                assert shutdown_wait_us(longest_us) > 700000
                assert shutdown_wait_us(longest_us) >= counted_us
                assert shutdown_wait_us(longest_us) < counted_us + 700000


class ColdTest(unittest.TestCase):
    def test_all_fronts_together_stay_under_the_bound_of_a_cold_server(self) -> None:
        # One front's few are harmless; the sum of all of them pushed cold servers over.
        ramp_us, tip_us, fronts, fall = 8 * SECOND, 3 * SECOND, 60, 2.0
        rules = {
            "RampTimeMs": ramp_us // 1000,
            "StartCapacity": 0.5,
            "FallMultiple": fall,
            "TipAfterMs": tip_us // 1000,
        }
        family = {**SETTINGS["FamilyInfo"], "KindStreams": [40], "KbPerWeight": 1e9, "AllLinksKb": 1e9}
        made = []
        for index in range(fronts):
            tree = {**SETTINGS, "Balancers": fronts, "Index": index, "Rules": rules, "FamilyInfo": family}
            front = PlacementPolicy(facts.read_settings(tree)[0], index, Recorder(), 0)
            front.handle(ListUpdate(ListMode.FULL, (entry("cold", 100 * SECOND),)), 100 * SECOND)
            made.append(front)
        sent: list[int] = []
        for now_us in range(100 * SECOND, 100 * SECOND + ramp_us, SECOND // 10):
            for front in made:
                front.handle(Request(str(now_us), "recorded", 5, 0, 1, 0, 3 * SECOND), now_us)
                if str(now_us) in front.sessions:
                    sent.append(now_us)
                    front.handle(AttemptCompleted(str(now_us), 0, Outcome.CANCELLED, True, None), now_us)
        assert len(sent) > 20
        for at_us in sent:
            warmed = 0.5 + 0.5 * (at_us - 100 * SECOND) / ramp_us
            allowed = fall * 40 / ramp_us * warmed * tip_us
            within = sum(at_us - tip_us < other <= at_us for other in sent)
            assert within <= allowed + 3 * sqrt(allowed) + 3


def entry(name: str, started_us: int) -> ListEntry:
    return ListEntry(name, "here", "kind", 0, ServerState.ACTIVE, 1.0, started_us)


class SingleShotTest(unittest.TestCase):
    """A room type that may be set up once: only what provably never ran is sent again or refused."""

    def rig(self) -> None:
        lane = {**SETTINGS["Lanes"][0], "Effect": "single_shot"}
        rows = [HOST, {**HOST, "host": "s1", "block": 1}]
        tree: dict[str, Any] = {
            **TREE,
            "settings": {**SETTINGS, "Lanes": [lane]},
            "known": {"rev": 1, "notices": [notice(1, rows, whole=True)]},
        }
        self.clock = ManualClock(wall_start_us=1_000_000_000)
        self.timers = Timers(self.clock)
        self.desk = session_manager.SessionManager(config.parse(tree), self.clock, self.timers, silent)
        for told in self.desk.config.initial_batch.events:
            self.desk.on_discovery_event(told)
        self.viewer = Said(self.desk)
        self.addCleanup(self.viewer.sock.close)

    def out(self) -> ServerConnection | None:
        """The link on which a set-up is out."""
        return next(
            (
                link
                for server in self.desk.servers.values()
                for link in server.links
                if link.dispatched_session
            ),
            None,
        )

    def joins_after(self, end: str) -> int:
        """How many joins one set-up takes when each of them ends like this."""
        self.rig()
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        joins = 0
        with (
            mock.patch("threading.Thread"),
            mock.patch("fennelcove.node.server_connection.send_now", return_value=True),
        ):
            client_requests.on_client_message(
                self.desk, self.viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
            )
            while (link := self.out()) is not None:
                joins += 1
                self.finish(link, end)
        return joins

    def finish(self, link: ServerConnection, end: str) -> None:
        if end == "not connected":
            link.close(Outcome.NO_CONNECTION)
            return
        link.state = ConnectionState.OPEN
        if end == "closed":
            link.close(Outcome.CONNECTION_LOST)
        elif end == "silent":
            self.clock.advance(8_000_000)
            for call in self.timers.ready():
                call()
        elif end == "answer that can't be used":
            self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {}))
        else:
            self.desk.on_server_message(
                link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause[end]])})
            )

    def test_each_end_of_a_join(self) -> None:
        for end, joins, status in (
            ("not connected", 2, 453),
            ("FULL", 2, 453),
            ("NOT_EXECUTED", 2, 453),
            ("ERROR", 1, 500),
            ("RESET", 1, 500),
            ("CANCELLED", 1, 500),
            ("closed", 1, 500),
            ("silent", 1, 500),
            ("answer that can't be used", 1, 500),
        ):
            with self.subTest(end):
                assert self.joins_after(end) == joins
                [answer] = self.viewer.said
                assert answer.startswith(b"RTSP/1.0 %d " % status), answer
                assert not self.desk.sessions

    def test_a_node_that_ends_does_not_call_it_harmless(self) -> None:
        self.rig()
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        with mock.patch("threading.Thread"):
            client_requests.on_client_message(
                self.desk, self.viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
            )
        assert self.desk.shut_down() == 1
        [answer] = self.viewer.said
        assert answer.startswith(b"RTSP/1.0 500 ")


class BoardTest(unittest.TestCase):
    def test_a_board_that_breaks_off_and_one_that_goes_silent_are_asked_again(self) -> None:
        # What it would have told counts as told soon after: a front that hears nothing breaks the grace.
        told = notice(2, [{**HOST, "health": "draining"}])
        whole = json.dumps({"rev": 2, "notices": [told]}).encode()
        turns = iter(("half", "silent", "whole"))
        asked: list[bytes] = []

        def serve(listener: socket.socket) -> None:
            with suppress(OSError):
                for turn in turns:
                    sock, _ = listener.accept()
                    self.addCleanup(sock.close)
                    asked.append(sock.recv(4096))
                    data = http.response(200, [], whole)
                    sock.sendall({"half": data[: len(data) // 2], "silent": b"", "whole": data}[turn])
                    if turn == "half":
                        sock.close()

        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        clock = SystemClock()
        made = session_manager.SessionManager(config.parse(TREE), clock, Timers(clock), silent)
        for first in made.config.initial_batch.events:
            made.on_discovery_event(first)
        watch = DiscoveryClient(made, clock, Address("127.0.0.1", listener.getsockname()[1]), 1)
        self.addCleanup(watch.stop)
        threading.Thread(target=watch.run, daemon=True).start()
        eventually(lambda: made.policy.servers["s0"].state is ServerState.LEAVING, "the news")
        assert len(asked) == 3
        assert all(b"/board/poll?watch=1&" in request for request in asked)


class NamesTest(unittest.TestCase):
    def said(self, room: str, kind: str, zone: str, tenant: str) -> list[bytes]:
        """What a viewer is told where the settings use these names; the last requests are refused."""
        settings = {
            **SETTINGS,
            "Zone": zone,
            "Kinds": [kind],
            "Lanes": [{**SETTINGS["Lanes"][0], "Name": room}],
            "Tenants": [{"Name": tenant, "QuotaPerS": 3}],
            "FamilyInfo": {**SETTINGS["FamilyInfo"], "KindStreams": [6]},
        }
        rows = [{**HOST, "host": f"s{i}", "block": i, "site": zone, "class": kind} for i in range(3)]
        tree = {
            **TREE,
            "settings": settings,
            "known": {"rev": 1, "notices": [notice(1, rows, whole=True)]},
        }
        clock = ManualClock(wall_start_us=1_000_000_000)
        made = session_manager.SessionManager(config.parse(tree), clock, Timers(clock), silent)
        for told in made.config.initial_batch.events:
            made.on_discovery_event(told)
        viewer = Said(made)
        self.addCleanup(viewer.sock.close)
        with (
            mock.patch("threading.Thread"),
            mock.patch("fennelcove.node.server_connection.send_now", return_value=True),
        ):
            for number in range(30):
                id = number.to_bytes(8, "big")
                fields = {"cseq": "1", "session": id.hex(), "call-kind": room, "answer-within": "8000"}
                fields["routing-data"] = "home:0;copies:3;top:2"
                client_requests.on_client_message(
                    made, viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"")
                )
                for server in made.servers.values():
                    for link in [link for link in server.links if link.dispatched_session]:
                        link.state = ConnectionState.OPEN
                        answer = Message(
                            MessageKind.ANSWER, id, {Parameter.DESCRIPTION: server.name.encode()}
                        )
                        made.on_server_message(link, answer)
        return viewer.said

    def test_other_names_in_the_settings_change_nothing(self) -> None:
        # Nothing may be fitted to one deployment: classes, kinds, zones and customers are the settings'.
        here = self.said("recorded", "kind", "here", "north")
        assert {data[9:12] for data in here} == {b"200", b"453"}
        assert self.said("x9", "another", "hall-z", "nobody") == here


class CallsTest(unittest.TestCase):
    # Refused by the bench; a library that calls them by itself is seen by the deploy test's look at children.
    REFUSED = frozenset(
        "fork forkpty vfork posix_spawn posix_spawnp system popen Popen spawnv spawnl sendfile splice "
        "subprocess multiprocessing asyncio concurrent AF_UNIX AF_INET6 socketpair".split()
    )

    def test_what_run_imports_makes_no_call_that_is_refused(self) -> None:
        code = (
            "import sys, fennelcove.node.program\n"
            "print(*(m.__file__ for n, m in sys.modules.items() if n.startswith('fennelcove')"
            " and getattr(m, '__file__', None)), sep='\\n')"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        files = [Path(line) for line in done.stdout.split()]
        assert "program.py" in {path.name for path in files}
        found = []
        for path in files:
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                names = [
                    getattr(node, "id", ""),
                    getattr(node, "attr", ""),
                    getattr(node, "module", "") or "",
                ]
                if isinstance(node, ast.Import | ast.ImportFrom):
                    names += [alias.name for alias in node.names]
                found += [f"{path.name}: {n}" for n in names if set(n.split(".")) & self.REFUSED]
        assert found == []
