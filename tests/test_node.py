"""The front node as a process on loopback, between fake clients, servers and discovery services."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
import unittest
from pathlib import Path

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter

from tests.node_harness import (
    FakeDiscovery,
    FakeServer,
    NodeProcess,
    encode_answer,
    encode_release,
    notice,
    wait_until,
)

ID, OTHER = "9b1f03aa5c7e2d41", "00000000000000a1"


def report_overloaded_link(server: FakeServer, id: str) -> None:
    """The server reports a session's rung, 2, and that the demand on its link exceeds the capacity."""
    for name, figure in ((b"profile", b"2"), (b"nic", b"1.6")):
        parameters = ((Parameter.REPORT_NAME, name), (Parameter.REPORT_VALUE, figure))
        server.send(isup.message(MessageKind.SESSION_REPORT, bytes.fromhex(id), *parameters))


class NodeTest(unittest.TestCase):
    def start_node(self, *servers: FakeServer, sockets: int = 256) -> NodeProcess:
        """Start a node that ends with the test."""
        node = NodeProcess(*servers, sockets=sockets)
        self.addCleanup(node.close)
        return node

    def test_a_set_up_is_answered_and_the_end_of_its_session_reported(self) -> None:
        server = FakeServer("s0", 0)
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        answer = client.receive_response()
        assert (answer.status, answer.body) == (200, b"from the server")
        assert (answer.fields["cseq"], answer.fields["session"]) == ("1", ID)
        [sent] = server.messages(MessageKind.SET_UP)
        assert sent.session == bytes.fromhex(ID)
        assert (sent.text(Parameter.SERVICE_CLASS), sent.text(Parameter.TITLE)) == ("recorded", "7f3a")
        assert (sent.text(Parameter.RUNG), sent.parameters[Parameter.DESCRIPTION]) == ("2", b"what is wanted")
        assert 0 < int(sent.text(Parameter.TIMEOUT_MS)) <= 8000
        server.send(encode_release(sent, Cause.OK))
        release = client.receive_request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", ID)
        assert release.fields["reason"] == "cause=16"

    def test_another_replica_is_tried_after_each_kind_of_failure(self) -> None:
        invalid = b"\xff\xff\x09 an answer that claims more than there is"
        for name in ("noise", "error", "half"):
            with self.subTest(name):
                replies = {
                    "noise": lambda message: invalid,
                    "error": lambda message: encode_release(message, Cause.ERROR),
                    "half": lambda message: None,
                }
                bad = FakeServer("s0", 0, replies[name])
                working = FakeServer("s1", 1)
                client = self.start_node(bad, working).connect_client()
                # Both are replicas of the title, and the random choice may fall on the working one first.
                for number in range(1, 40):
                    client.set_up(f"{number:016x}")
                    assert client.receive_response().status == 200
                    if bad.messages(MessageKind.SET_UP):
                        break
                assert bad.messages(MessageKind.SET_UP)

    def test_extra_messages_close_neither_session_nor_connection(self) -> None:
        def twice(message: object) -> bytes:
            unknown_session = isup.message(
                MessageKind.ANSWER, bytes(8), (Parameter.DESCRIPTION, b"unexpected")
            )
            return encode_answer(message) + encode_answer(message) + unknown_session  # type: ignore[arg-type]

        server = FakeServer("s0", 0, twice)
        client = self.start_node(server).connect_client()
        for id in (ID, OTHER):
            client.set_up(id)
            answer = client.receive_response()
            assert (answer.status, answer.fields["session"]) == (200, id)
        assert len(server.sockets) == 1

    def test_a_set_up_that_all_servers_reject_is_throttled_at_once(self) -> None:
        server = FakeServer("s0", 0, lambda message: encode_release(message, Cause.FULL))
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        answer = client.receive_response()
        assert (answer.status, answer.fields["come-back-ms"]) == (453, "500")

    def test_a_set_up_that_is_cancelled_is_released_at_its_server(self) -> None:
        server = FakeServer("s0", 0, lambda message: b"")
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up")
        client.tear_down(ID)
        assert client.receive_response().fields["cseq"] == "2"
        [release] = wait_until(lambda: server.messages(MessageKind.RELEASE), "the release")
        assert (release.session.hex(), release.cause) == (ID, Cause.OK)

    def test_an_established_session_is_ended_from_any_connection(self) -> None:
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        client, another = node.connect_client(), node.connect_client()
        client.set_up(ID)
        client.receive_response()
        another.tear_down(ID)
        assert another.receive_response().status == 200
        [release] = wait_until(lambda: server.messages(MessageKind.RELEASE), "the release")
        assert release.session.hex() == ID

    def test_clients_of_a_terminated_server_are_notified(self) -> None:
        server = FakeServer("s0", 0)
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        client.receive_response()
        server.terminate()
        assert client.receive_request().fields["reason"] == "cause=41"

    def test_a_session_that_plays_already_is_taken_over_and_its_rung_changed(self) -> None:
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        wait_until(lambda: server.sockets, "a connection for the session")
        report_overloaded_link(server, ID)
        [change, *_] = wait_until(
            lambda: server.messages(MessageKind.RUNG), "a lower rung because of the overloaded link"
        )
        assert change.session.hex() == ID
        assert int(change.text(Parameter.RUNG)) < 2
        server.send(isup.release(bytes.fromhex(ID), Cause.RESET))
        assert client.receive_request().fields["reason"] == "cause=41"

    def test_server_messages_that_precede_a_handover_are_not_lost(self) -> None:
        # After a node's start, most rung reports were lost, and the lowest rung was assumed.
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        wait_until(lambda: server.sockets, "a connection")
        report_overloaded_link(server, OTHER)
        server.send(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        wait_until(
            lambda: server.messages(MessageKind.KEEPALIVE_ANSWER),
            "the answer to a probe that follows the reports",
        )
        client.set_up(OTHER, routing="home:0;copies:4;top:2;at:s0")
        [change, *_] = wait_until(
            lambda: server.messages(MessageKind.RUNG), "a lower rung because of the overloaded link"
        )
        assert change.session.hex() == OTHER

    def test_invalid_requests_get_an_error_or_a_close(self) -> None:
        node = self.start_node(FakeServer("s0", 0))
        head = f"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: {ID}\r\n"
        valid = head + "Call-Kind: recorded\r\nAnswer-Within: 9\r\nRouting-Data: home:0;copies:1;top:0\r\n"
        for name, data in {
            "noise": bytes(range(1, 256)) * 40,
            "an endless line": b"SETUP " + b"x" * 60_000,
            "a negative length": (valid + "Content-Length: -5\r\n\r\n").encode(),
            "a huge length": (valid + "Content-Length: 60000000\r\n\r\n").encode(),
            "an unknown class": valid.replace("recorded", "undefined").encode() + b"\r\n",
            "not a number": valid.replace("Within: 9", "Within: nan").encode() + b"\r\n",
            "out of range": valid.replace("top:0", "top:9").encode() + b"\r\n",
            "no session id": valid.replace(f"Session: {ID}\r\n", "").encode() + b"\r\n",
            "an incomplete message": valid.encode(),
            "no data": b"",
        }.items():
            with self.subTest(name):
                client = node.connect_client()
                client.send(data)
                message = client.receive()
                assert message is None or message.status >= 400, message  # type: ignore[union-attr]
        assert node.health_status() == 200

    def test_a_duplicate_of_an_open_set_up_is_rejected_without_effect_on_it(self) -> None:
        server = FakeServer("s0", 0, lambda message: b"")
        node = self.start_node(server)
        client, duplicate = node.connect_client(), node.connect_client()
        client.set_up(ID)
        [sent] = wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up")
        duplicate.set_up(ID)
        assert duplicate.receive_response().status == 455
        server.send(encode_answer(sent))
        assert client.receive_response().status == 200

    def test_a_hundred_silent_connections_do_not_keep_out_other_clients(self) -> None:
        node = self.start_node(FakeServer("s0", 0), sockets=64)
        silent_clients = [node.connect_client() for _ in range(100)]
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        assert silent_clients[0].receive() is None

    def test_a_new_configuration_names_another_discovery_service(self) -> None:
        first, second = FakeServer("s0", 0), FakeServer("s1", 0)
        node = self.start_node(first)
        removed = {**first.host_entry, "health": "removed"}
        discovery = FakeDiscovery([node.discovery.notices[0], notice(2, [second.host_entry, removed])])
        node.config["board"] = discovery.address
        node.write_config()
        node.send_signal(signal.SIGHUP)
        wait_until(lambda: discovery.poll_count > 2, "polls at the new discovery service")
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (0, 1)

    def test_sessions_at_a_restarted_server_are_closed(self) -> None:
        # The server was reachable again before two dials had failed, and its clients were never notified.
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        restarted = {**server.host_entry, "born_ms": round(time.time() * 1000)}
        node.discovery.notices.append(notice(2, [restarted]))
        release = client.receive_request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", ID)
        client.set_up(OTHER)
        assert client.receive_response().status == 200
        node.discovery.notices.append(notice(3, [restarted]))
        poll_count = node.discovery.poll_count
        wait_until(
            lambda: node.discovery.poll_count > poll_count + 2,
            "two polls after the same start time was published again",
        )
        client.tear_down(OTHER)
        assert client.receive_response().status == 200

    def test_a_rejected_configuration_leaves_the_previous_one_in_force(self) -> None:
        first, second = FakeServer("s0", 0), FakeServer("s1", 0)
        node = self.start_node(first)
        valid = dict(node.config)
        for invalid in (
            "{",
            "[]",
            json.dumps({**valid, "board": "nowhere"}),
            json.dumps({**valid, "settings": 7}),
        ):
            node.config_path.write_text(invalid)
            node.send_signal(signal.SIGHUP)
            poll_count = node.discovery.poll_count
            wait_until(
                lambda poll_count=poll_count: node.discovery.poll_count > poll_count + 2,
                "polls at the same discovery service",
            )
            assert node.process.poll() is None
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        removed = {**first.host_entry, "health": "removed"}
        discovery = FakeDiscovery([node.discovery.notices[0], notice(2, [second.host_entry, removed])])
        node.config["board"] = discovery.address
        node.write_config()
        node.send_signal(signal.SIGHUP)
        wait_until(lambda: discovery.poll_count > 2, "polls at the new discovery service")

    def test_after_sigterm_health_checks_fail_and_set_ups_are_still_answered(self) -> None:
        node = self.start_node(FakeServer("s0", 0))
        node.send_signal(signal.SIGTERM)
        wait_until(lambda: node.health_status() == 503, "a failed health check")
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        assert node.process.wait(60) == 0


class DeployTest(unittest.TestCase):
    """The platform's requirements on the `run` command: a single process, always the same, and only IPv4."""

    def test_run_ends_in_one_process_without_children_or_other_sockets(self) -> None:
        root = Path(__file__).parents[1]
        run = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
        server = FakeServer("s0", 0)
        node = NodeProcess(server, command=["/bin/sh", "-c", run], cwd=str(root))
        self.addCleanup(node.close)
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        process_path = Path("/proc") / str(node.process.pid)
        assert "python" in (process_path / "exe").readlink().name
        children = [path.read_text().split() for path in process_path.glob("task/*/children")]
        assert [child for task_children in children for child in task_children] == []
        maps = (process_path / "maps").read_text()
        assert re.search("/(libc\\.so|libc-|ld-musl)", maps)  # linked dynamically against the C library
        targets = [os.readlink(path) for path in (process_path / "fd").iterdir()]
        own_inodes = {target[8:-1] for target in targets if target.startswith("socket:[")}
        assert own_inodes
        tcp_rows = [line.split() for line in (process_path / "net" / "tcp").read_text().splitlines()[1:]]
        listening = [row[1] for row in tcp_rows if row[3] == "0A" and row[9] in own_inodes]
        assert listening == [f"0100007F:{node.address[1]:04X}"]  # only on its configured address
        for table, column in (("unix", 6), ("tcp6", 9), ("udp6", 9)):
            rows = [line.split() for line in (process_path / "net" / table).read_text().splitlines()[1:]]
            assert own_inodes & {row[column] for row in rows if len(row) > column} == set(), table


class ImportTest(unittest.TestCase):
    def test_the_node_needs_the_standard_library_only(self) -> None:
        code = (
            "import sys\n"
            "before = set(sys.modules)\n"  # modules that the environment itself loads are ignored
            "import fennelcove.node.program\n"
            "files = [getattr(sys.modules[n], '__file__', '') or '' for n in set(sys.modules) - before]\n"
            "print([name for name in files if 'site-packages' in name])"
        )
        result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        assert result.stdout.strip() == "[]"
