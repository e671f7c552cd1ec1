"""The budget of descriptors: the share of each use, from the opening of a descriptor to its close."""

from __future__ import annotations

import json
import mmap
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest import mock

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.interface import Outcome
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.log import silent
from fennelcove.node import config, program
from fennelcove.node.client_connection import EVICTION_GRACE_US, ClientConnection
from fennelcove.node.model import ConnectionState
from fennelcove.node.server_connection import ServerConnection
from fennelcove.node.session_manager import SessionManager
from fennelcove.rtsp import writer as rtsp_writer

from tests.node_harness import (
    WAIT_TIMEOUT_S,
    Client,
    FakeDiscovery,
    FakeServer,
    NodeProcess,
    encode_answer,
    encode_release,
    notice,
    wait_until,
)
from tests.session_manager_harness import NODE_CONFIG

MIN_DESCRIPTORS = 32  # the smallest limit that a configuration may name
OBSERVATION_S = 0.5  # how long a test checks that something does not happen


def session_ids(count: int, first: int = 1) -> list[str]:
    """Distinct session ids, counted from `first`."""
    return [f"{number:016x}" for number in range(first, first + count)]


class WatchedNodeProcess(NodeProcess):
    """A node whose log and descriptors are recorded; `limit` is the process's descriptor limit, if any."""

    def __init__(self, *servers: FakeServer, sockets: int, limit: int | None = None) -> None:
        self.log_directory = tempfile.TemporaryDirectory()
        self.log_path = Path(self.log_directory.name) / "log"
        limit_command = f"ulimit -n {limit}; " if limit else ""
        shell_command = (
            f"{limit_command}FENNELCOVE_TRACE=100 exec {sys.executable} -m fennelcove.node > {self.log_path}"
        )
        super().__init__(*servers, sockets=sockets, command=["/bin/sh", "-c", shell_command])
        self.max_descriptor_count, self.is_watching = 0, True
        self.watcher = threading.Thread(target=self._watch)
        self.watcher.start()

    def log_events(self, event: str) -> list[dict[str, Any]]:
        """The complete log lines of one event."""
        complete_lines = self.log_path.read_text().rpartition("\n")[0]
        return [
            fields for line in complete_lines.splitlines() if (fields := json.loads(line))["event"] == event
        ]

    def descriptor_count(self) -> int:
        """The number of descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _watch(self) -> None:
        while self.is_watching:
            self.max_descriptor_count = max(self.max_descriptor_count, self.descriptor_count())
            time.sleep(0.002)

    def change_discovery(self, address: str) -> None:
        """Reload the configuration with another discovery address."""
        before = len(self.log_events("config_reloaded"))
        self.config["board"] = address
        self.write_config()
        self.send_signal(signal.SIGHUP)
        wait_until(lambda: len(self.log_events("config_reloaded")) > before, "the reloaded configuration")

    def close(self) -> None:
        self.is_watching = False
        self.watcher.join()
        super().close()
        self.log_directory.cleanup()


def unused_address() -> str:
    """An address on which no process listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def is_closed_by_node(client: Client) -> bool:
    """Whether the node has closed the client's connection."""
    client.sock.setblocking(False)
    try:
        return not client.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
    finally:
        client.sock.settimeout(WAIT_TIMEOUT_S)


def create_program(node_config: dict[str, Any]) -> program.NodeProgram:
    """A node in this process that has not been started."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "config.json"
        path.write_text(json.dumps(node_config))
        return program.NodeProgram(str(path))


class NodeTestCase(unittest.TestCase):
    def start_node(self, *servers: FakeServer, sockets: int, limit: int | None = None) -> WatchedNodeProcess:
        """Start a node that ends with the test."""
        node = WatchedNodeProcess(*servers, sockets=sockets, limit=limit)
        self.addCleanup(node.close)
        return node

    def connect_client(self, node: NodeProcess) -> Client:
        """Connect a client whose connection is closed with the test."""
        client = node.connect_client()
        self.addCleanup(client.sock.close)
        return client


class CloseTest(NodeTestCase):
    """A descriptor counts until its thread has closed it, also after the connection was shut down."""

    def test_a_server_is_not_dialled_before_the_connection_closed_for_it_has_released_its_descriptor(
        self,
    ) -> None:
        server = FakeServer("s0", 0)
        self.addCleanup(server.listener.close)
        node_config = {**NODE_CONFIG, "limits": {"sockets": MIN_DESCRIPTORS}}
        node_config["known"] = {"rev": 1, "notices": [notice(1, [server.host_entry], complete=True)]}
        clock = SystemClock()
        manager = SessionManager(config.parse(node_config), clock, Timers(clock), silent)
        with manager.lock:
            for event in manager.config.initial_batch.events:
                manager.on_discovery_event(event)
            server_record = manager.servers["s0"]
            for _ in range(manager.max_server_connections):
                ServerConnection(manager, server_record).start()
        wait_until(
            lambda: [link.state for link in server_record.links]
            == [ConnectionState.OPEN] * manager.max_server_connections,
            "the connections",
        )
        wait_until(
            lambda: len(server.sockets) == manager.max_server_connections,
            "the server's ends of the connections",
        )
        # A closed connection's thread needs the lock, which is held here, to release its descriptor.
        with manager.lock:
            manager.close_idle_connection()
            ServerConnection(manager, server_record).start()
            time.sleep(OBSERVATION_S)
            assert (
                len(server.sockets) == manager.max_server_connections
            ), "dialled before the other was closed"
        wait_until(
            lambda: len(server.sockets) == manager.max_server_connections + 1,
            "the dial once a descriptor is free",
        )
        with manager.lock:
            for link in list(server_record.links):
                link.close(Outcome.CONNECTION_LOST)

    def test_a_client_is_not_admitted_before_the_one_evicted_for_it_is_closed(self) -> None:
        node = create_program({**NODE_CONFIG, "limits": {"sockets": MIN_DESCRIPTORS}})
        self.addCleanup(node.listener.sock.close)
        thread_targets: list[Callable[[], None]] = []  # of client threads; the test itself runs them
        max_connections = node.manager.connections.max_connections
        thread_class = threading.Thread

        def create_thread(target: Callable[[], None], name: str = "", daemon: bool = True) -> Any:
            created = thread_class(target=target, name=name, daemon=daemon)
            if name != "client":
                return created
            thread_targets.append(target)
            return mock.Mock()

        def admit_client() -> None:
            node_sock, client_sock = socket.socketpair()
            self.addCleanup(client_sock.close)
            with mock.patch.object(socket.socket, "setsockopt"):
                node.listener.admit(node_sock, "127.0.0.1")

        with mock.patch.object(threading, "Thread", create_thread):
            for _ in range(max_connections):
                admit_client()
            assert len(thread_targets) == max_connections
            last = thread_class(target=admit_client)
            last.start()
            last.join(OBSERVATION_S)
            assert len(thread_targets) == max_connections, "admitted before the other client was closed"
            thread_targets[0]()  # the evicted connection's thread closes it
            last.join()
            assert len(thread_targets) == max_connections + 1
        for connection in list(node.manager.connections.connections):
            connection.disconnect()
            connection.run()


class ShareTest(NodeTestCase):
    """Clients that keep their connections open do not use the descriptors reserved for other uses."""

    def test_a_health_check_is_answered_while_the_clients_share_is_in_use(self) -> None:
        # A new connection was closed without a response, and the platform considered the process dead.
        server = FakeServer("s0", 0)
        node = self.start_node(server, sockets=MIN_DESCRIPTORS, limit=MIN_DESCRIPTORS)
        clients, statuses = list[Client](), list[int]()
        for id in session_ids(MIN_DESCRIPTORS):
            clients.append(self.connect_client(node))
            clients[-1].set_up(id)
            answer = clients[-1].receive_response()
            statuses.append(answer.status)
            if answer.status != 200:
                assert (answer.status, answer.fields["come-back-ms"]) == (503, "500")
            assert node.health_status() == 200
        assert statuses.count(200) >= MIN_DESCRIPTORS // 3  # the guaranteed share of clients
        assert len(server.messages(MessageKind.SET_UP)) == statuses.count(200)
        clients[0].tear_down(session_ids(1)[0])
        assert clients[0].receive_response().status == 200
        client = self.connect_client(node)
        client.set_up(session_ids(1, 1000)[0])
        assert client.receive_response().status == 200
        assert not node.log_events("accept_failed")
        assert node.max_descriptor_count <= MIN_DESCRIPTORS

    def test_a_lowered_process_limit_evicts_idle_clients_and_does_not_flood_the_log(self) -> None:
        # Without a free descriptor, the node logged a line every 50 ms and health checks waited.
        node = self.start_node(FakeServer("s0", 0), sockets=64)
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (14, 64))
        established_client = self.connect_client(node)
        established_client.set_up(session_ids(1)[0])
        assert established_client.receive_response().status == 200
        for _ in range(3):
            idle_clients = [self.connect_client(node) for _ in range(14)]
            assert node.health_status() == 200
        assert idle_clients
        wait_until(lambda: node.log_events("accept_failed"), "the logged failure")
        assert len(node.log_events("accept_failed")) <= 2
        established_client.tear_down(session_ids(1)[0])
        assert established_client.receive_response().status == 200

    def test_established_sessions_may_outnumber_the_clients_share(self) -> None:
        node = self.start_node(FakeServer("s0", 0), sockets=MIN_DESCRIPTORS, limit=MIN_DESCRIPTORS)
        for id in session_ids(MIN_DESCRIPTORS):
            self.connect_client(node).set_up(id, routing="home:0;copies:4;top:2;at:s0")
        assert node.health_status() == 200
        for id in session_ids(MIN_DESCRIPTORS):
            client = self.connect_client(node)
            client.tear_down(id)
            assert client.receive_response().status == 200
            client.sock.close()

    def test_idle_clients_do_not_block_discovery_servers_health_checks_and_configuration(self) -> None:
        unanswered_title, answered_title = f"{1:x}", f"{2:x}"

        def reply(message: ServerMessage) -> bytes:
            return b"" if message.text(Parameter.TITLE) == unanswered_title else encode_answer(message)

        first, second = FakeServer("s0", 0, reply), FakeServer("s1", 1)
        node = self.start_node(first, sockets=MIN_DESCRIPTORS, limit=MIN_DESCRIPTORS)
        node.change_discovery(unused_address())
        wait_until(lambda: node.log_events("discovery_poll_failed"), "a failed poll")
        busy = list[Client]()
        for number, id in enumerate(session_ids(MIN_DESCRIPTORS // 3)):  # the guaranteed share of clients
            busy.append(self.connect_client(node))
            busy[-1].set_up(
                id, title=unanswered_title if number < 5 else answered_title, **{"Answer-Within": "60000"}
            )
            if number >= 5:
                assert busy[-1].receive_response().status == 200
            wait_until(lambda: len(first.messages(MessageKind.SET_UP)) >= len(busy), "an open set-up")
        for id in session_ids(MIN_DESCRIPTORS, 100):  # further clients get either answer and stay connected
            client = self.connect_client(node)
            client.set_up(id, title=answered_title)
            assert client.receive_response().status in (200, 503)
        for _ in range(MIN_DESCRIPTORS):  # these send one message and stay connected
            client = self.connect_client(node)
            client.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
            assert client.receive_response().status == 200
        silent_clients = [self.connect_client(node) for _ in range(300)]
        assert node.health_status() == 200
        discovery = FakeDiscovery([*node.discovery.notices, notice(2, [second.host_entry])])
        node.change_discovery(discovery.address)
        wait_until(lambda: discovery.poll_count > 1, "polls at the new discovery service")
        assert not [client for client in busy if is_closed_by_node(client)]
        busy[-1].tear_down(session_ids(len(busy))[-1])
        assert busy[-1].receive_response().status == 200
        client = self.connect_client(node)
        client.set_up(session_ids(1, 1000)[0], title=answered_title)
        assert client.receive_response().status == 200
        assert node.health_status() == 200
        assert is_closed_by_node(silent_clients[0])
        assert not node.log_events("accept_failed")
        assert node.max_descriptor_count <= MIN_DESCRIPTORS

    def test_a_connection_with_received_bytes_is_not_evicted(self) -> None:
        node, client_socks = self.create_full_program()
        client_socks[0].sendall(b"OPTIONS")  # the oldest connection; no thread has read the data yet
        with node.manager.lock:
            assert node.manager.connections.add(self.accept_connection(node))
        client_socks[0].setblocking(False)
        self.assertRaises(BlockingIOError, client_socks[0].recv, 1)  # still open
        assert client_socks[1].recv(1) == b""

    def test_a_connection_whose_message_has_been_read_is_not_evicted(self) -> None:
        # Its thread has read the bytes and waits for the lock: they are in neither the kernel nor any table.
        node, client_socks = self.create_full_program()
        first = next(iter(node.manager.connections.connections))
        client_socks[0].sendall(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        wait_until(lambda: first.has_unread_data, "a received message")
        reader_thread = threading.Thread(target=first.run)
        with node.manager.lock:
            reader_thread.start()
            wait_until(lambda: not first.has_unread_data, "a message that has been read")
            node.manager.connections.add(self.accept_connection(node))
        assert client_socks[0].recv(12) == b"RTSP/1.0 200"
        assert client_socks[1].recv(1) == b""
        client_socks[0].close()
        reader_thread.join()

    def test_a_connection_whose_message_is_being_read_is_not_evicted(self) -> None:
        # Its thread has the bytes and waits in recv for the interpreter lock, held by the evicting thread.
        node, client_socks = self.create_full_program()
        first = next(iter(node.manager.connections.connections))
        reader_thread = threading.Thread(target=first.run)
        reader_thread.start()
        sender_code = (
            "import mmap, socket, sys\n"
            "flags = mmap.mmap(int(sys.argv[1]), 2)\n"
            "flags[0] = 1\n"
            "while flags[0] != 2: pass\n"
            "socket.socket(fileno=int(sys.argv[2])).sendall(sys.argv[3].encode())\n"
            "flags[1] = 1\n"
        )
        health_check = rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")).decode()
        with tempfile.TemporaryFile() as file:
            file.truncate(2)
            flags = mmap.mmap(file.fileno(), 2)
            command = [
                sys.executable,
                "-c",
                sender_code,
                str(file.fileno()),
                str(client_socks[0].fileno()),
                health_check,
            ]
            sender_process = subprocess.Popen(command, pass_fds=(file.fileno(), client_socks[0].fileno()))
            wait_until(lambda: flags[0] == 1, "the sender process")
            new_connection = self.accept_connection(node)
            self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
            sys.setswitchinterval(WAIT_TIMEOUT_S)
            with node.manager.lock:
                # From here on this thread keeps the interpreter lock, until it makes a call that may block.
                flags[0] = 2
                while not flags[1]:
                    pass
                deadline_s = time.perf_counter() + OBSERVATION_S
                while time.perf_counter() < deadline_s:
                    pass
                node.manager.connections.add(new_connection)
            sys.setswitchinterval(0.005)
            sender_process.wait()
            flags.close()
        assert client_socks[0].recv(12) == b"RTSP/1.0 200"
        assert client_socks[1].recv(1) == b""
        client_socks[0].close()
        reader_thread.join()

    def test_a_new_connection_is_given_time_to_send_its_message(self) -> None:
        node, _ = self.create_full_program()
        oldest = next(iter(node.manager.connections.connections))
        with node.manager.lock:
            for age_us, wait_us in (
                (0, EVICTION_GRACE_US),
                (EVICTION_GRACE_US, 0),
                (EVICTION_GRACE_US - 1, 1),
            ):
                assert node.manager.connections.admission_delay_us(oldest.accepted_us + age_us) == wait_us

    def accept_connection(self, node: program.NodeProgram) -> ClientConnection:
        """Accept a new connection."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.enterContext(socket.create_connection(listener.getsockname()))
            connection = ClientConnection(node.manager, listener.accept()[0], "127.0.0.1")
        self.addCleanup(connection.descriptor.close)
        return connection

    def create_full_program(self) -> tuple[program.NodeProgram, list[socket.socket]]:
        """A node whose client share is used up by connections that no thread reads; the clients' ends."""
        node, client_socks = (
            create_program({**NODE_CONFIG, "limits": {"sockets": MIN_DESCRIPTORS}}),
            list[socket.socket](),
        )
        self.addCleanup(node.listener.sock.close)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            for _ in range(node.manager.connections.max_connections):
                client_socks.append(self.enterContext(socket.create_connection(listener.getsockname())))
                connection = ClientConnection(node.manager, listener.accept()[0], "127.0.0.1")
                self.addCleanup(connection.descriptor.close)
                with node.manager.lock:
                    assert node.manager.connections.add(connection)
        return node, client_socks


class ReleasingServer(FakeServer):
    """Releases its session on each new connection, as an earlier release may have been lost."""

    def __init__(self, name: str, cell: int, id: str) -> None:
        self.release = isup.release(bytes.fromhex(id), Cause.OK)
        super().__init__(name, cell)

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError):
            sock.sendall(self.release)
        super()._serve(sock)


class RotationTest(NodeTestCase):
    """Connections to servers with established sessions, if they outnumber the connection limit."""

    def test_sessions_at_more_servers_than_connections_end_for_their_clients(self) -> None:
        remaining, leaving = session_ids(MIN_DESCRIPTORS // 2), session_ids(MIN_DESCRIPTORS, 100)
        servers = [FakeServer(f"s{id}", number % 4) for number, id in enumerate(remaining)]
        servers += [ReleasingServer(f"s{id}", number % 4, id) for number, id in enumerate(leaving)]
        node = self.start_node(*servers, sockets=MIN_DESCRIPTORS)
        client = self.connect_client(node)
        for id in remaining + leaving:  # remaining sessions first: they would occupy all connections
            client.set_up(id, routing=f"home:0;copies:4;top:2;at:s{id}")
        releases = [client.receive_request() for _ in leaving]
        assert sorted(message.fields["session"] for message in releases) == leaving
        other_client = self.connect_client(node)
        other_client.set_up(session_ids(1, 1000)[0])
        assert other_client.receive_response().status == 200
        assert node.max_descriptor_count <= MIN_DESCRIPTORS


class BudgetTest(NodeTestCase):
    def test_a_connection_without_a_thread_is_closed_and_uncounted_once(self) -> None:
        node = create_program(NODE_CONFIG)
        self.addCleanup(node.listener.sock.close)
        before = node.manager.descriptors.counts_by_use()
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as client_sock,
            mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("can't start new thread")),
        ):
            node_sock, _ = listener.accept()
            node.listener.admit(node_sock, "127.0.0.1")
            assert client_sock.recv(1) == b""
            with node.manager.lock:
                for event in node.config.initial_batch.events:
                    node.manager.on_discovery_event(event)
                link = ServerConnection(node.manager, node.manager.servers["s0"])
                link.start()
                link.close(Outcome.CONNECTION_LOST)
        assert node_sock.fileno() == -1
        assert node.manager.descriptors.counts_by_use() == before
        assert not (node.manager.server_connection_count or node.manager.connections.connections)

    def test_the_budget_agrees_with_the_open_descriptors(self) -> None:
        # A descriptor that is miscounted when a connection, a dial or an address changes stays so forever.
        broken = FakeServer("s1", 1, lambda message: None)
        full = FakeServer("s2", 2, lambda message: encode_release(message, Cause.FULL))
        terminated = FakeServer("s3", 3)
        node = self.start_node(FakeServer("s0", 0), broken, full, terminated, sockets=64)
        terminated.terminate()
        discovery = FakeDiscovery(list(node.discovery.notices))
        for turn in range(4):
            silent_clients = [self.connect_client(node) for _ in range(60)]
            clients = [self.connect_client(node) for _ in range(10)]
            for client, id in zip(clients, session_ids(10, 100 * turn + 1), strict=True):
                client.set_up(id)
            for client in clients:
                client.receive_response()
            node.change_discovery(unused_address())
            node.change_discovery(discovery.address)
            for client in [*clients, *silent_clients]:
                client.sock.close()
        poll_count = discovery.poll_count
        wait_until(lambda: discovery.poll_count > poll_count + 1, "polls at the new discovery service")
        wait_until(lambda: node.log_events("descriptors")[-1]["client"] == 0, "a count of no clients")

        def counts_agree() -> bool:
            """Whether budget and system agree, before and after a trace line."""
            before = node.descriptor_count()
            count = len(node.log_events("descriptors"))
            wait_until(lambda: len(node.log_events("descriptors")) > count, "a trace line")
            return before == node.log_events("descriptors")[-1]["all"] == node.descriptor_count()

        wait_until(counts_agree, "a budget that agrees with the open descriptors")
        assert all(counts_agree() for _ in range(3))
        assert node.max_descriptor_count <= 64
