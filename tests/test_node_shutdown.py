"""Starts, shutdowns and restarts of front nodes, with signals at critical moments."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.isup.messages import MessageKind
from fennelcove.log import silent
from fennelcove.node import config, session_manager
from fennelcove.node.client_connection import ClientConnection
from fennelcove.node.model import Session

from tests.node_harness import (
    SETTINGS,
    Client,
    FakeDiscovery,
    FakeServer,
    NodeProcess,
    ServerMessage,
    encode_answer,
    notice,
    reserve_port,
    rtsp,
    rtsp_writer,
    wait_until,
)
from tests.node_process_control import (
    SHUTDOWN_WAIT_S,
    BlockingPipe,
    LoggedNodeProcess,
    blocked_signals,
    health_status,
    sleep_through_shutdown,
    start_node_process,
)

# Replaces a module of the standard library that the node imports, but the interpreter's own start does not.
# While it reads the pipe, the process is in the middle of its imports.
SLOW_MODULE = """
import importlib.util, sys, sysconfig
with open({pipe!r}) as pipe:
    pipe.read()
spec = importlib.util.spec_from_file_location("heapq", sysconfig.get_path("stdlib") + "/heapq.py")
module = importlib.util.module_from_spec(spec)
spec.loader.exec_module(module)
sys.modules["heapq"] = module
"""


class StartTest(unittest.TestCase):
    """A signal while a node starts: the default action of SIGHUP ended the process."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.config_path = self.directory / "config.json"
        server = FakeServer("s0", 0)
        self.discovery = FakeDiscovery([notice(1, [server.host_entry], complete=True)])
        reservation, self.address = reserve_port()
        self.addCleanup(reservation.close)
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "board": self.discovery.address,
            "known": {"rev": 1, "notices": list(self.discovery.notices)},
            "settings": SETTINGS,
        }

    def start_process(self, **environment: str) -> subprocess.Popen[str]:
        """Start a node process that ends with the test."""
        process = start_node_process(self.config_path, **environment)
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def is_healthy(self, process: subprocess.Popen[str]) -> bool:
        """Whether the process listens and passes the health check; it must not have ended."""
        assert process.poll() is None, "the process has ended"
        try:
            client = Client(self.address)
        except OSError:
            return False
        with client.sock:
            client.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
            return client.receive_response().status == 200

    def start_and_hold_imports(self) -> tuple[subprocess.Popen[str], BlockingPipe, int]:
        """Start a node that is held in its imports until the pipe is written."""
        pipe = BlockingPipe(self.directory / "pipe")
        (self.directory / "heapq.py").write_text(SLOW_MODULE.format(pipe=str(pipe.path)))
        process = self.start_process(PYTHONPATH=str(self.directory))
        return process, pipe, pipe.wait_for_reader()

    def test_sighup_while_the_configuration_is_read_reads_it_again(self) -> None:
        pipe = BlockingPipe(self.config_path)
        process = self.start_process()
        descriptor = pipe.wait_for_reader()
        process.send_signal(signal.SIGHUP)
        pipe.replace()
        pipe.write_and_close(descriptor, json.dumps(self.config))
        other = FakeDiscovery(self.discovery.notices)
        second_descriptor = pipe.wait_for_reader()  # the node reads the file again
        pipe.write_and_close(second_descriptor, json.dumps({**self.config, "board": other.address}))
        wait_until(lambda: other.poll_count > 2, "polls at the discovery address of the second configuration")
        wait_until(lambda: self.is_healthy(process), "a successful health check")

    def test_sighup_during_the_imports_is_deferred(self) -> None:
        self.config_path.write_text(json.dumps(self.config))
        process, pipe, descriptor = self.start_and_hold_imports()
        assert blocked_signals(process.pid) == {signal.SIGHUP}
        process.send_signal(signal.SIGHUP)
        pipe.write_and_close(descriptor, "")
        wait_until(lambda: self.is_healthy(process), "a successful health check")

    def test_sigterm_before_the_node_listens_ends_it_at_once_with_status_0(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest("imports", number=number):
                self.config_path.unlink(missing_ok=True)
                self.config_path.write_text(json.dumps(self.config))
                process, _, descriptor = self.start_and_hold_imports()
                process.send_signal(number)
                assert process.wait(20) == 0
                os.close(descriptor)
            with self.subTest("configuration", number=number):
                pipe = BlockingPipe(self.config_path)
                process = self.start_process()
                descriptor = pipe.wait_for_reader()
                process.send_signal(number)  # the file is never written, so it must not wait for it
                assert process.wait(20) == 0
                os.close(descriptor)

    def test_several_nodes_that_start_together_are_all_ready_in_time(self) -> None:
        deadline_s = time.monotonic() + 30  # the specified time for a start; it only bounds a failure
        nodes: list[LoggedNodeProcess] = []
        threads = [
            threading.Thread(target=lambda: nodes.append(LoggedNodeProcess(FakeServer("s0", 0))))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(deadline_s - time.monotonic())
        for node in nodes:
            self.addCleanup(node.close)
        assert [node.health_status() for node in nodes] == [200] * len(threads)


# A node for which the first three threads cannot be started.
THREAD_SHORTAGE_PROGRAM = """
import sys, threading
from fennelcove.node import program

start, failures_left = threading.Thread.start, [3]

def fail_first(thread):
    if failures_left[0]:
        failures_left[0] -= 1
        raise RuntimeError("can't start new thread")
    start(thread)

threading.Thread.start = fail_first
sys.exit(program.main())
"""


class ThreadsTest(unittest.TestCase):
    def test_a_start_is_retried_until_threads_are_available(self) -> None:
        # When a fleet restarted on an overloaded machine, one process ended with status 1: a crash.
        node = NodeProcess(FakeServer("s0", 0), command=[sys.executable, "-c", THREAD_SHORTAGE_PROGRAM])
        self.addCleanup(node.close)
        client = node.connect_client()
        client.set_up("9b1f03aa5c7e2d41")
        assert client.receive_response().status == 200


class LogTest(unittest.TestCase):
    def test_a_log_that_cannot_be_written_ends_no_thread(self) -> None:
        # Every thread logs: a failed write ended the main thread, and the one that reads configurations.
        server = FakeServer("s0", 0)
        node = NodeProcess(
            server, command=["/bin/sh", "-c", f"exec {sys.executable} -m fennelcove.node > /dev/full"]
        )
        self.addCleanup(node.close)
        valid_config = node.config_path.read_text()
        node.config_path.write_text("{")
        node.send_signal(signal.SIGHUP)
        discovery = FakeDiscovery(node.discovery.notices)
        node.config_path.write_text(valid_config.replace(node.discovery.address, discovery.address))
        node.send_signal(signal.SIGHUP)
        wait_until(lambda: discovery.poll_count, "a poll at the new discovery service")
        client = node.connect_client()
        client.set_up("9b1f03aa5c7e2d41")
        assert client.receive_response().status == 200
        node.send_signal(signal.SIGTERM)
        assert node.process.wait(60) == 0


class StopTest(unittest.TestCase):
    """From SIGTERM to the end of the process."""

    def start_node(self, *servers: FakeServer) -> LoggedNodeProcess:
        """Start a node that ends with the test."""
        node = LoggedNodeProcess(*servers)
        self.addCleanup(node.close)
        return node

    def test_sigterm_is_handled_while_a_new_configuration_is_read(self) -> None:
        node = self.start_node(FakeServer("s0", 0))
        client = node.connect_client()
        assert health_status(client) == 200
        node.config_path.unlink()
        pipe = BlockingPipe(node.config_path)
        node.send_signal(signal.SIGHUP)
        descriptor = pipe.wait_for_reader()  # the node reads, and no data follows
        self.addCleanup(os.close, descriptor)
        node.send_signal(signal.SIGTERM)
        wait_until(lambda: node.log_events("shutdown_started"), "the logged start of the shutdown")
        # Both on a connection that was already open and on a new one.
        assert (health_status(client), node.health_status()) == (503, 503)
        assert node.process.wait(20) == 0

    def test_all_requests_that_the_kernel_accepted_before_the_end_are_answered_once(self) -> None:
        # Paused until its shutdown is due, the process finds all requests at the same moment as its own end.
        server = FakeServer("s0", 0, lambda message: b"")  # set-ups sent there stay open
        node = self.start_node(server)
        clients = [node.connect_client() for _ in range(8)]
        for client in clients:
            assert health_status(client) == 200
        signalled_s = time.monotonic()
        node.send_signal(signal.SIGTERM)
        wait_until(lambda: node.log_events("shutdown_started"), "the logged start of the shutdown")
        node.pause()
        clients += [node.connect_client() for _ in range(8)]  # these stay in the listener's backlog
        for number, client in enumerate(clients, 1):
            client.set_up(f"{number:016x}")
            client.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        sleep_through_shutdown(signalled_s, SHUTDOWN_WAIT_S)
        node.send_signal(signal.SIGCONT)
        received = []
        for number, client in enumerate(clients, 1):
            answers = []
            while (message := client.receive()) is not None:
                assert isinstance(message, rtsp.Response)
                answers.append((message.fields.get("session"), message.status))
            received.append((number, sorted(answers, key=lambda answer: answer[0] or "")))
        expected = [
            (number, [(None, 503), (f"{number:016x}", status)])
            for number, status in (
                (number, dict(answers).get(f"{number:016x}")) for number, answers in received
            )
            if status in (453, 500)
        ]
        assert received == expected
        assert node.process.wait(20) == 0


class LastAnswerTest(unittest.TestCase):
    """A set-up that is processed after the node has answered all open requests for its shutdown."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.server = FakeServer("s0", 0, lambda message: b"")
        first_notice = notice(1, [self.server.host_entry], complete=True)
        config_tree = {"listen": "127.0.0.1:1", "board": "127.0.0.1:2", "settings": SETTINGS}
        node_config = config.parse({**config_tree, "known": {"rev": 1, "notices": [first_notice]}})
        self.manager = session_manager.SessionManager(node_config, clock, Timers(clock), silent)
        for event in node_config.initial_batch.events:
            self.manager.on_discovery_event(event)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = Client(listener.getsockname())
            self.sock, _ = listener.accept()
        self.addCleanup(self.client.sock.close)
        self.connection = ClientConnection(self.manager, self.sock, "127.0.0.1")
        self.manager.connections.add(self.connection)
        threading.Thread(target=self.connection.run, daemon=True).start()

    def unread_bytes(self) -> int:
        """The number of received bytes that the node has not read yet."""
        return struct.unpack("i", fcntl.ioctl(self.sock, termios.FIONREAD, bytes(4)))[0]

    def test_a_set_up_that_was_read_but_waits_for_the_lock_is_rejected_at_once(self) -> None:
        with self.manager.lock:
            self.client.set_up("9b1f03aa5c7e2d41")  # on loopback, it is in the peer's buffer on return
            wait_until(lambda: self.unread_bytes() == 0, "the connection's thread to read it")
            assert self.manager.shut_down() == 0
            # As in a shutdown: that the receiving side is shut down does not mean that the client has left.
            self.connection.finish_reading()
        self.client.sock.settimeout(5)
        answer = self.client.receive_response()
        assert (answer.status, answer.fields["come-back-ms"]) == (453, "500")
        with self.manager.lock:
            assert (self.manager.sessions, self.server.messages(MessageKind.SET_UP)) == ({}, [])

    def test_set_ups_that_were_never_sent_may_be_retried_and_others_have_failed(self) -> None:
        answers = []
        with self.manager.lock:
            for attempts in (0, 1):
                id = bytes([attempts]) * 8
                session = Session(id, id.hex(), "1", "recorded", "7f", b"", self.connection, "127.0.0.1")
                session.attempts = attempts
                self.manager.sessions[id] = session
                self.connection.open_sessions[session] = None
            assert self.manager.shut_down() == 2
        self.client.sock.settimeout(5)
        for _ in range(2):
            answer = self.client.receive_response()
            answers.append((answer.fields["session"], answer.status, answer.fields.get("come-back-ms")))
        assert answers == [("00" * 8, 453, "500"), ("01" * 8, 500, None)]
        assert self.manager.sessions == {}


class RestartTest(unittest.TestCase):
    """A process ends, and the next one starts at its address."""

    def test_a_set_up_in_flight_has_one_answer_and_the_next_process_serves(self) -> None:
        set_ups: list[ServerMessage] = []

        def reply(message: ServerMessage) -> bytes:
            set_ups.append(message)
            return b"" if len(set_ups) <= 2 else encode_answer(message)

        server = FakeServer("s0", 0, reply)
        node = LoggedNodeProcess(server)
        self.addCleanup(node.close)
        served, interrupted = node.connect_client(), node.connect_client()
        served.set_up("00000000000000a1")
        wait_until(lambda: len(set_ups) == 1, "the first set-up at the server")
        interrupted.set_up("00000000000000a2")
        wait_until(lambda: len(set_ups) == 2, "the second set-up at the server")
        node.send_signal(signal.SIGTERM)
        wait_until(lambda: node.log_events("shutdown_started"), "the logged start of the shutdown")
        server.sockets[0].sendall(encode_answer(set_ups[0]))
        responses = [served.receive_response(), interrupted.receive_response()]
        answers = [(answer.fields["session"], answer.status) for answer in responses]
        assert answers == [("00000000000000a1", 200), ("00000000000000a2", 500)]
        assert (served.receive(), interrupted.receive()) == (
            None,
            None,
        )  # no second answer, but the end of the connection
        assert node.process.wait(20) == 0
        node.restart()
        client = node.connect_client()
        client.set_up("00000000000000a3")
        assert client.receive_response().status == 200
        assert [message.session.hex()[-2:] for message in server.messages(MessageKind.SET_UP)] == [
            "a1",
            "a2",
            "a3",
        ]
