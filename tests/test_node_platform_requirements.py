"""Requirements that the platform's fleet test checks, tested here without its bench."""

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

from fennelcove import platform_settings as settings_reader
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

from tests.helpers import SECOND_US, Recorder
from tests.node_harness import SETTINGS, notice, wait_until
from tests.session_manager_harness import HOST_ENTRY, ID, NODE_CONFIG, RecordingConnection


class StopTest(unittest.TestCase):
    def test_a_shutdown_ends_after_all_accepted_requests_and_before_the_kill(self) -> None:
        # A kill before an answer and an end while set-ups still arrive both lose requests.
        for longest_timeout_us in (
            0,
            50_000,
            150_000,
            500_000,
            1_500_000,
            3_000_000,
            5_000_000,
            3_600_000_000,
        ):
            with self.subTest(longest_timeout_us):
                expected_wait_us = min(longest_timeout_us or 3_000_000, 3_000_000)
                assert shutdown_wait_us(longest_timeout_us) > 700000
                assert shutdown_wait_us(longest_timeout_us) >= expected_wait_us
                assert shutdown_wait_us(longest_timeout_us) < expected_wait_us + 700000


class WarmUpTest(unittest.TestCase):
    def test_all_fronts_together_stay_below_the_limit_of_a_server_that_warms_up(self) -> None:
        # A few attempts of one front are harmless, but those of all fronts together overloaded servers.
        warm_up_us, window_us, fronts, overload_factor = 8 * SECOND_US, 3 * SECOND_US, 60, 2.0
        rules = {
            "RampTimeMs": warm_up_us // 1000,
            "StartCapacity": 0.5,
            "FallMultiple": overload_factor,
            "TipAfterMs": window_us // 1000,
        }
        family = {**SETTINGS["FamilyInfo"], "KindStreams": [40], "KbPerWeight": 1e9, "AllLinksKb": 1e9}
        policies = []
        for index in range(fronts):
            settings = {**SETTINGS, "Balancers": fronts, "Index": index, "Rules": rules, "FamilyInfo": family}
            front = PlacementPolicy(settings_reader.read_settings(settings)[0], index, Recorder(), 0)
            front.handle(ListUpdate(ListMode.FULL, (entry("cold", 100 * SECOND_US),)), 100 * SECOND_US)
            policies.append(front)
        sent: list[int] = []
        for now_us in range(100 * SECOND_US, 100 * SECOND_US + warm_up_us, SECOND_US // 10):
            for front in policies:
                front.handle(Request(str(now_us), "recorded", 5, 0, 1, 0, 3 * SECOND_US), now_us)
                if str(now_us) in front.sessions:
                    sent.append(now_us)
                    front.handle(AttemptCompleted(str(now_us), 0, Outcome.CANCELLED, True, None), now_us)
        assert len(sent) > 20
        for at_us in sent:
            capacity_share = 0.5 + 0.5 * (at_us - 100 * SECOND_US) / warm_up_us
            allowed = overload_factor * 40 / warm_up_us * capacity_share * window_us
            within = sum(at_us - window_us < other <= at_us for other in sent)
            assert within <= allowed + 3 * sqrt(allowed) + 3


def entry(name: str, started_us: int) -> ListEntry:
    """The list entry of a server with this start time."""
    return ListEntry(name, "here", "kind", 0, ServerState.ACTIVE, 1.0, started_us)


class SingleShotTest(unittest.TestCase):
    """Set-ups that must not be repeated: only one that provably never ran is retried or rejected."""

    def create_manager(self) -> None:
        """Create a session manager with two servers that store every title."""
        service_class = {**SETTINGS["Lanes"][0], "Effect": "single_shot"}
        entries = [HOST_ENTRY, {**HOST_ENTRY, "host": "s1", "block": 1}]
        node_config: dict[str, Any] = {
            **NODE_CONFIG,
            "settings": {**SETTINGS, "Lanes": [service_class]},
            "known": {"rev": 1, "notices": [notice(1, entries, complete=True)]},
        }
        self.clock = ManualClock(wall_start_us=1_000_000_000)
        self.timers = Timers(self.clock)
        self.manager = session_manager.SessionManager(
            config.parse(node_config), self.clock, self.timers, silent
        )
        for event in self.manager.config.initial_batch.events:
            self.manager.on_discovery_event(event)
        self.connection = RecordingConnection(self.manager)
        self.addCleanup(self.connection.sock.close)

    def open_link(self) -> ServerConnection | None:
        """The connection with an open attempt."""
        return next(
            (
                link
                for server in self.manager.servers.values()
                for link in server.links
                if link.dispatched_session
            ),
            None,
        )

    def attempts_after(self, end: str) -> int:
        """The number of attempts for one set-up if each of them ends in this way."""
        self.create_manager()
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        attempts = 0
        with (
            mock.patch("threading.Thread"),
            mock.patch("fennelcove.node.server_connection.send_now", return_value=True),
        ):
            client_requests.on_client_message(
                self.manager, self.connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
            )
            while (link := self.open_link()) is not None:
                attempts += 1
                self.end_attempt(link, end)
        return attempts

    def end_attempt(self, link: ServerConnection, end: str) -> None:
        """End the attempt on a connection in one of the ways of the test."""
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
        elif end == "invalid answer":
            self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {}))
        else:
            self.manager.on_server_message(
                link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause[end]])})
            )

    def test_each_way_in_which_an_attempt_ends(self) -> None:
        for end, attempts, status in (
            ("not connected", 2, 453),
            ("FULL", 2, 453),
            ("NOT_EXECUTED", 2, 453),
            ("ERROR", 1, 500),
            ("RESET", 1, 500),
            ("CANCELLED", 1, 500),
            ("closed", 1, 500),
            ("silent", 1, 500),
            ("invalid answer", 1, 500),
        ):
            with self.subTest(end):
                assert self.attempts_after(end) == attempts
                [answer] = self.connection.sent
                assert answer.startswith(b"RTSP/1.0 %d " % status), answer
                assert not self.manager.sessions

    def test_a_node_that_shuts_down_does_not_reject_it_for_a_retry(self) -> None:
        self.create_manager()
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        with mock.patch("threading.Thread"):
            client_requests.on_client_message(
                self.manager, self.connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
            )
        assert self.manager.shut_down() == 1
        [answer] = self.connection.sent
        assert answer.startswith(b"RTSP/1.0 500 ")


class DiscoveryTest(unittest.TestCase):
    def test_after_a_partial_response_and_after_none_discovery_is_polled_again(self) -> None:
        # Changes count as known soon after their publication; a front that misses one ignores a drain.
        drain_notice = notice(2, [{**HOST_ENTRY, "health": "draining"}])
        body = json.dumps({"rev": 2, "notices": [drain_notice]}).encode()
        responses = iter(("partial", "silent", "complete"))
        requests: list[bytes] = []

        def serve(listener: socket.socket) -> None:
            with suppress(OSError):
                for response in responses:
                    sock, _ = listener.accept()
                    self.addCleanup(sock.close)
                    requests.append(sock.recv(4096))
                    data = http.response(200, [], body)
                    sock.sendall(
                        {"partial": data[: len(data) // 2], "silent": b"", "complete": data}[response]
                    )
                    if response == "partial":
                        sock.close()

        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        clock = SystemClock()
        manager = session_manager.SessionManager(config.parse(NODE_CONFIG), clock, Timers(clock), silent)
        for event in manager.config.initial_batch.events:
            manager.on_discovery_event(event)
        client = DiscoveryClient(manager, clock, Address("127.0.0.1", listener.getsockname()[1]), 1)
        self.addCleanup(client.stop)
        threading.Thread(target=client.run, daemon=True).start()
        wait_until(lambda: manager.policy.servers["s0"].state is ServerState.LEAVING, "the drain")
        assert len(requests) == 3
        assert all(b"/board/poll?watch=1&" in request for request in requests)


class NamesTest(unittest.TestCase):
    def messages_to_client(self, service_class: str, kind: str, zone: str, tenant: str) -> list[bytes]:
        """All messages to a client if the settings use these names; the last requests are rejected."""
        settings = {
            **SETTINGS,
            "Zone": zone,
            "Kinds": [kind],
            "Lanes": [{**SETTINGS["Lanes"][0], "Name": service_class}],
            "Tenants": [{"Name": tenant, "QuotaPerS": 3}],
            "FamilyInfo": {**SETTINGS["FamilyInfo"], "KindStreams": [6]},
        }
        entries = [{**HOST_ENTRY, "host": f"s{i}", "block": i, "site": zone, "class": kind} for i in range(3)]
        node_config = {
            **NODE_CONFIG,
            "settings": settings,
            "known": {"rev": 1, "notices": [notice(1, entries, complete=True)]},
        }
        clock = ManualClock(wall_start_us=1_000_000_000)
        manager = session_manager.SessionManager(config.parse(node_config), clock, Timers(clock), silent)
        for event in manager.config.initial_batch.events:
            manager.on_discovery_event(event)
        connection = RecordingConnection(manager)
        self.addCleanup(connection.sock.close)
        with (
            mock.patch("threading.Thread"),
            mock.patch("fennelcove.node.server_connection.send_now", return_value=True),
        ):
            for number in range(30):
                id = number.to_bytes(8, "big")
                fields = {
                    "cseq": "1",
                    "session": id.hex(),
                    "call-kind": service_class,
                    "answer-within": "8000",
                }
                fields["routing-data"] = "home:0;copies:3;top:2"
                client_requests.on_client_message(
                    manager, connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"")
                )
                for server in manager.servers.values():
                    for link in [link for link in server.links if link.dispatched_session]:
                        link.state = ConnectionState.OPEN
                        answer = Message(
                            MessageKind.ANSWER, id, {Parameter.DESCRIPTION: server.name.encode()}
                        )
                        manager.on_server_message(link, answer)
        return connection.sent

    def test_other_names_in_the_settings_change_nothing(self) -> None:
        # No behaviour may depend on a deployment's names of service classes, kinds, zones and customers.
        expected = self.messages_to_client("recorded", "kind", "here", "north")
        assert {data[9:12] for data in expected} == {b"200", b"453"}
        assert self.messages_to_client("x9", "another", "hall-z", "nobody") == expected


class CallsTest(unittest.TestCase):
    # The bench forbids these; DeployTest detects libraries that call them, by the child processes.
    FORBIDDEN = frozenset(
        "fork forkpty vfork posix_spawn posix_spawnp system popen Popen spawnv spawnl sendfile splice "
        "subprocess multiprocessing asyncio concurrent AF_UNIX AF_INET6 socketpair".split()
    )

    def test_no_imported_module_makes_a_forbidden_call(self) -> None:
        code = (
            "import sys, fennelcove.node.program\n"
            "print(*(m.__file__ for n, m in sys.modules.items() if n.startswith('fennelcove')"
            " and getattr(m, '__file__', None)), sep='\\n')"
        )
        result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        files = [Path(line) for line in result.stdout.split()]
        assert "program.py" in {path.name for path in files}
        forbidden_names = []
        for path in files:
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                names = [
                    getattr(node, "id", ""),
                    getattr(node, "attr", ""),
                    getattr(node, "module", "") or "",
                ]
                if isinstance(node, ast.Import | ast.ImportFrom):
                    names += [alias.name for alias in node.names]
                forbidden_names += [f"{path.name}: {n}" for n in names if set(n.split(".")) & self.FORBIDDEN]
        assert forbidden_names == []
