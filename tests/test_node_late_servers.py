"""Servers that are late by a constant amount: their connections, and the lists that name them."""

from __future__ import annotations

import socket
import struct
import threading
import time
import unittest
from contextlib import suppress
from unittest import mock

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind
from fennelcove.node import server_connection, socket_calls
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.model import ConnectionState, ServerLink
from fennelcove.node.server_connection import ServerConnection
from fennelcove.node.server_outbox import SessionMessage

from tests.discovery_harness import (
    SHORT_CONNECT_SETTINGS,
    DiscoveryNodeProcess,
    LateDiscovery,
    connect_to_impatient_node,
    dialling_ports,
    unresponsive_listener,
)
from tests.node_harness import FakeServer, notice, wait_until
from tests.test_node_connections import FrontTestCase, InProcessFront

SESSION = "00000000000000a1"
RETRANSMISSION_S = 1.0  # until the kernel repeats the first packet of a dial
MIN_DIAL_AGE_S = 0.8
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LateServer(FakeServer):
    """A server whose connections come up at once, or each about a second after its dial began.

    While it is late its backlog is full, so that the kernel drops the first packet of a dial. There is room
    only for a dial that is old enough to repeat that packet; others that get in meanwhile are reset.
    """

    def __init__(self, name: str, cell: int) -> None:
        self.is_late = False
        self.is_closed = False
        self.fillers: list[socket.socket] = []
        self.ended_sessions: list[bytes] = []  # released on each new connection, as servers do
        super().__init__(name, cell)

    def become_late(self) -> None:
        """Let connections come up late from now on, and reset those that are open."""
        self.is_late = True
        self.listener.listen(0)
        time.sleep(0.1)  # the accepting thread has seen it
        self._fill()
        for sock in self.sockets:
            self._reset(sock)

    def close(self) -> None:
        """End the thread that accepts connections."""
        self.is_closed = True
        for sock in self.fillers:
            sock.close()

    def _fill(self) -> None:
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def _reset(self, sock: socket.socket) -> None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        self.listener.settimeout(0.02)
        dial_began: dict[int, float] = {}
        while not self.is_closed:
            if not self.is_late:
                self._accept_one()
                continue
            now_s = time.monotonic()
            ports = dialling_ports(self.listener, self.fillers)
            dial_began = {port: dial_began.get(port, now_s) for port in ports}
            due = {port for port, began_s in dial_began.items() if now_s - began_s >= MIN_DIAL_AGE_S}
            if due:
                self._admit(due)
                self._fill()
            time.sleep(0.02)

    def _admit(self, ports: set[int]) -> None:
        deadline_s = time.monotonic() + RETRANSMISSION_S
        while time.monotonic() < deadline_s and ports & dialling_ports(self.listener, self.fillers):
            self._accept_one(ports)
        while self._accept_one(ports):
            pass

    def _accept_one(self, ports: set[int] | None = None) -> bool:
        try:
            sock, (_, port) = self.listener.accept()
        except OSError:
            return False
        if ports is not None and port not in ports:
            self._reset(sock)
            return True
        sock.settimeout(None)
        self.sockets.append(sock)
        for session in self.ended_sessions:
            sock.sendall(isup.release(session, Cause.OK))
        threading.Thread(target=self._serve, args=(sock,), daemon=True).start()
        return True


class OverdueDialTest(FrontTestCase):
    """Dials that go on after their timeout, to a server that answers none of them."""

    def start_overdue_dial(self) -> tuple[InProcessFront, ServerConnection, FakeServer]:
        """A front with an overdue dial to `s0`, which a message waits for, and a server `s1`."""
        listener, _ = unresponsive_listener(self)
        server = FakeServer("s1", 1)
        silent_entry = {**FakeServer("s0", 0).host_entry, "dial": f"127.0.0.1:{listener.getsockname()[1]}"}
        front = self.start_front(silent_entry, server.host_entry, settings=SHORT_CONNECT_SETTINGS)
        with front.manager.lock:
            silent = front.manager.servers["s0"]
            silent.connection_loss.on_received(front.manager.now_us())  # it was reached before
            release = isup.release(bytes(8), Cause.OK)
            silent.outbox.add(SessionMessage(bytes(8), release, front.manager.now_us()))
            front.manager.supervise(silent)
            front.manager.run_maintenance()
            link = front.link()
        wait_until(lambda: link.is_overdue, "an overdue dial")
        return front, link, server

    def test_a_set_up_gets_the_descriptor_of_an_overdue_dial(self) -> None:
        # Dials to servers that have vanished must not keep set-ups from those that are there.
        front, link, server = self.start_overdue_dial()
        front.manager.descriptors.limits[DescriptorUse.SERVER] = 1
        started_s = time.monotonic()
        front.client.set_up(SESSION, routing="home:1;copies:1;top:2")
        assert front.client.receive_response().status == 200
        assert time.monotonic() - started_s < 1.0
        assert link.state is ConnectionState.CLOSED
        wait_until(lambda: not link.is_dialling, "the end of its thread")

    def test_the_next_dial_does_not_wait_for_an_overdue_one(self) -> None:
        front, link, _ = self.start_overdue_dial()
        dials = set[ServerLink]()
        while len(dials) < 3:
            with front.manager.lock:
                front.manager.run_maintenance()
                links = front.manager.servers["s0"].links
                assert sum(each.is_overdue for each in links) == 1
                assert len(links) <= 2
                dials.update(links)
            time.sleep(0.02)
        assert link.is_overdue  # the first of them is connected first by a server that is late

    def test_an_overdue_dial_ends_with_its_limit(self) -> None:
        with mock.patch.object(server_connection, "MAX_DIAL_US", 500_000):
            front, link, _ = self.start_overdue_dial()
            wait_until(lambda: not link.is_dialling, "the end of its thread")
        with front.manager.lock:
            assert link.state is ConnectionState.CLOSED
            assert front.manager.descriptors.open_counts[DescriptorUse.SERVER] == 0

    def test_a_dial_that_nothing_waits_for_ends_with_its_timeout(self) -> None:
        listener, _ = unresponsive_listener(self)
        entry = {**FakeServer("s0", 0).host_entry, "dial": f"127.0.0.1:{listener.getsockname()[1]}"}
        front = self.start_front(entry, settings=SHORT_CONNECT_SETTINGS)
        front.client.set_up(SESSION)
        assert front.client.receive_response().status != 200
        with front.manager.lock:
            assert not any(link.is_overdue for link in front.manager.servers["s0"].links)


class LateListTest(unittest.TestCase):
    def test_a_session_is_retained_while_the_list_with_its_server_may_be_late(self) -> None:
        # It was closed 2 s after the handover, although a change may count as told only 6 s after its event.
        listed, server, discovery = FakeServer("s0", 0), FakeServer("s9", 1), LateDiscovery(3.0)
        self.addCleanup(discovery.close)
        node = DiscoveryNodeProcess(discovery, listed)
        self.addCleanup(node.close)
        client = node.connect_client()
        self.addCleanup(client.sock.close)
        client.set_up(SESSION, routing="home:0;copies:4;top:2;at:s9")
        discovery.publish(notice(2, [server.host_entry]))
        wait_until(lambda: server.sockets, "a connection for the session")
        server.send(isup.release(bytes.fromhex(SESSION), Cause.OK))
        assert client.receive_request().fields["reason"] == f"cause={Cause.OK.value}"


class LateConnectionTest(unittest.TestCase):
    """A front node as a process, whose settings allow a quarter of a second for a connection."""

    def test_the_end_of_a_session_is_heard_from_a_server_whose_connections_come_up_late(self) -> None:
        # Each dial was given up after the timeout and begun again: after 7 s the server counted as lost.
        server = LateServer("s0", 0)
        self.addCleanup(server.close)
        client = connect_to_impatient_node(self, server)
        client.set_up(SESSION)
        assert client.receive_response().status == 200
        [set_up] = server.messages(MessageKind.SET_UP)
        server.ended_sessions.append(set_up.session)
        server.become_late()
        release = client.receive_request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", f"cause={Cause.OK.value}")

    def test_a_session_handed_over_at_a_start_outlives_the_late_connection_to_its_server(self) -> None:
        # Two dials that timed out ended the sessions at a server that this process had not reached yet.
        server = LateServer("s0", 0)
        self.addCleanup(server.close)
        server.become_late()
        client = connect_to_impatient_node(self, server)
        client.set_up(SESSION, routing="home:0;copies:4;top:2;at:s0")
        wait_until(lambda: server.sockets, "the late connection")
        server.send(isup.release(bytes.fromhex(SESSION), Cause.OK))
        release = client.receive_request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", f"cause={Cause.OK.value}")


class ConnectionLimitTest(unittest.TestCase):
    """A server that closes an idle connection and refuses others, since it holds all that it takes."""

    REFUSING_S = 3.0

    def test_a_session_outlives_the_time_in_which_its_server_refuses_connections(self) -> None:
        # Two refused dials, 0.3 s apart, counted as the end of the process: its sessions were told over.
        server = FakeServer("s0", 0)
        client = connect_to_impatient_node(self, server)
        client.set_up(SESSION)
        assert client.receive_response().status == 200
        address = server.listener.getsockname()
        server.terminate()  # orderly: an ended process would reset the connection
        time.sleep(self.REFUSING_S)
        server.sockets.clear()
        server.listener = socket.create_server(address)
        threading.Thread(target=server._accept, daemon=True).start()
        wait_until(lambda: server.sockets, "the next connection")
        server.send(isup.release(bytes.fromhex(SESSION), Cause.OK))
        release = client.receive_request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", f"cause={Cause.OK.value}")


class WaitUntilConnectedTest(unittest.TestCase):
    def test_a_connect_timeout_beyond_the_limit_of_overdue_dials_leaves_no_time(self) -> None:
        # The remaining time was negative, which a poll takes for no limit at all.
        listener, _ = unresponsive_listener(self)
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
            waiter = threading.Thread(target=self.assert_times_out, args=(sock,), daemon=True)
            waiter.start()
            waiter.join(2.0)
            assert not waiter.is_alive()

    def assert_times_out(self, sock: socket.socket) -> None:
        """Check that no time is left to wait."""
        with self.assertRaises(TimeoutError):
            socket_calls.wait_until_connected(sock, -1_000_000)
