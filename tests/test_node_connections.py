"""A front node's connections to servers: ends, full buffers and messages in transit at critical moments."""

from __future__ import annotations

import socket
import struct
import sys
import threading
import unittest
from collections.abc import Callable
from contextlib import suppress
from select import POLLRDHUP, poll
from typing import Any

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.isup.reader import Reader
from fennelcove.log import silent
from fennelcove.node import client_requests, config, server_messages, session_manager
from fennelcove.node.client_connection import ClientConnection
from fennelcove.node.node_lock import NodeLock
from fennelcove.node.server_connection import ServerConnection
from fennelcove.rtsp import messages as rtsp
from fennelcove.rtsp import writer as rtsp_writer

from tests.node_harness import (
    SETTINGS,
    WAIT_TIMEOUT_S,
    Client,
    FakeServer,
    NodeProcess,
    encode_answer,
    encode_release,
    notice,
    wait_until,
)
from tests.session_manager_harness import NODE_CONFIG

ID, OTHER, THIRD = "9b1f03aa5c7e2d41", "00000000000000a1", "00000000000000b2"
SINGLE_SHOT: dict[str, Any] = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "Effect": "single_shot"}]}


def has_pending_event(sock: socket.socket, events: int) -> bool:
    """Whether the kernel reports one of these poll events for a socket, without reading from it."""
    poller = poll()
    poller.register(sock, events)
    return bool(poller.poll(0))


def reset_on_close(sock: socket.socket) -> None:
    """Let the socket's next close reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def no_reply(message: Message) -> bytes:
    """The reply of a server that sends nothing."""
    return b""


def encode_described_answer(message: Message, description: bytes) -> bytes:
    """Encode a server's answer with this description."""
    return isup.message(MessageKind.ANSWER, message.session, (Parameter.DESCRIPTION, description))


class ManualServer:
    """A server whose connections the test itself accepts and reads."""

    def __init__(self, backlog: int = 8, buffer_bytes: int = 0) -> None:
        self.listener = socket.socket()
        if buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.settimeout(WAIT_TIMEOUT_S)
        self.address = self.listener.getsockname()

    def host_entry(self, name: str = "s0", cell: int = 0) -> dict[str, Any]:
        """The entry of this server in a discovery notice."""
        dial = f"127.0.0.1:{self.address[1]}"
        entry = {"host": name, "dial": dial, "site": "here", "class": "kind", "block": cell}
        return {**entry, "health": "up", "share": 1, "born_ms": 0}

    def accept(self) -> socket.socket:
        """Accept the node's next connection."""
        sock, _ = self.listener.accept()
        sock.settimeout(WAIT_TIMEOUT_S)
        return sock


def read_messages(sock: socket.socket) -> list[Message]:
    """All further messages until the connection ends; an incomplete one is ignored."""
    reader, messages = Reader(), list[Message]()
    with suppress(ConnectionResetError):
        while data := sock.recv(65_536):
            reader.feed(data)
    while (message := reader.next()) is not None:
        messages.append(message)
    return messages


def read_message(sock: socket.socket) -> Message:
    """Receive one complete message."""
    reader = Reader()
    while (message := reader.next()) is None:
        data = sock.recv(4096)
        assert data, "the front node has closed the connection"
        reader.feed(data)
    return message


class InProcessFront:
    """A front node in this process, with its threads and real connections.

    A test that holds its lock stops its threads at a known point, and can make events happen meanwhile.
    """

    def __init__(self, *entries: dict[str, Any], settings: dict[str, Any]) -> None:
        known = {"rev": 1, "notices": [notice(1, list(entries), complete=True)]}
        clock = SystemClock()
        self.timers = Timers(clock)
        self.manager = session_manager.SessionManager(
            config.parse({**NODE_CONFIG, "known": known, "settings": settings}), clock, self.timers, silent
        )
        with self.manager.lock:
            for event in self.manager.config.initial_batch.events:
                self.manager.on_discovery_event(event)
        threading.Thread(target=self.timers.run, daemon=True).start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.client = Client(listener.getsockname())
            sock, peer_address = listener.accept()
        self.client_connection = ClientConnection(self.manager, sock, peer_address[0])
        self.manager.connections.add(self.client_connection)
        threading.Thread(target=self.client_connection.run, daemon=True).start()

    def set_up(self, id: str, body: bytes = b"what") -> None:
        """Process a set-up as the client's thread does once it has read one; the caller holds the lock."""
        fields = {"cseq": "1", "session": id, "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        client_requests.on_client_message(
            self.manager, self.client_connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, body)
        )

    def link(self) -> ServerConnection:
        """The only connection to the server."""
        [link] = self.manager.servers["s0"].links
        assert isinstance(link, ServerConnection)
        return link

    def connection_awaiting_lock(self) -> socket.socket | None:
        """The connection that a thread has just established, while that thread waits for the lock."""
        for frame in sys._current_frames().values():
            outer_frame = frame.f_back
            is_waiting = frame.f_code is NodeLock.__enter__.__code__
            if is_waiting and outer_frame and outer_frame.f_code is ServerConnection._on_connected.__code__:
                sock = outer_frame.f_locals.get("sock")
                with suppress(OSError):  # the thread has just closed it
                    if sock is not None and sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY):
                        assert isinstance(sock, socket.socket)
                        return sock
        return None

    def close(self) -> None:
        """Stop the timers, and let the connection threads end."""
        self.timers.stop()
        with self.manager.lock:
            for server in self.manager.servers.values():
                server.listed = False
        self.client.sock.close()


class FrontTestCase(unittest.TestCase):
    def start_front(self, *entries: dict[str, Any], settings: dict[str, Any] = SINGLE_SHOT) -> InProcessFront:
        """Start a front that ends with the test."""
        front = InProcessFront(*entries, settings=settings)
        self.addCleanup(front.close)
        return front

    def start_node(self, *servers: FakeServer) -> NodeProcess:
        """Start a node process that ends with the test."""
        node = NodeProcess(*servers)
        self.addCleanup(node.close)
        return node


class IdleConnectionTest(FrontTestCase):
    """A set-up that must not be repeated, dispatched when the idle connection is ending."""

    def start_with_idle_connection(self, server: FakeServer) -> InProcessFront:
        """A front node with one idle connection to this server."""
        front = self.start_front(server.host_entry)
        front.client.set_up(OTHER)
        assert front.client.receive_response().status == 200
        server.send(isup.release(bytes.fromhex(OTHER), Cause.OK))
        assert front.client.receive_request().method == "TEARDOWN"
        return front

    def assert_served_after_close(self, reset: bool) -> None:
        """Check that a set-up is served though the server has just closed the idle connection."""
        server = FakeServer("s0", 0)
        front = self.start_with_idle_connection(server)
        with front.manager.lock:  # the connection's thread cannot process the end
            link = front.link()
            if reset:
                reset_on_close(server.sockets[0])
            server.sockets[0].shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            sock = link.sock
            assert sock is not None
            wait_until(lambda: has_pending_event(sock, POLLRDHUP), "the end of the connection")
            front.set_up(ID)
        assert front.client.receive_response().status == 200
        assert [m.session.hex() for m in server.messages(MessageKind.SET_UP)] == [OTHER, ID]
        assert len(server.sockets) == 2

    def test_a_closed_idle_connection_carries_no_set_up(self) -> None:
        self.assert_served_after_close(reset=False)

    def test_a_reset_idle_connection_carries_no_set_up(self) -> None:
        self.assert_served_after_close(reset=True)

    def test_a_connection_near_its_idle_timeout_carries_no_set_up(self) -> None:
        # The server would close it while the set-up is in transit, which does not prove that it never ran.
        server = FakeServer("s0", 0)
        front = self.start_with_idle_connection(server)
        with front.manager.lock:
            front.link().last_received_us -= front.manager.config.connection_settings.idle_us * 3 // 4 + 1
            front.set_up(ID)
        assert front.client.receive_response().status == 200
        assert len(server.sockets) == 2

    def test_the_idle_connection_that_received_data_last_is_used(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        front = self.start_front(server.host_entry)
        for number, id in enumerate((ID, OTHER), 1):
            front.client.set_up(id)
            wait_until(lambda number=number: len(server.messages(MessageKind.SET_UP)) == number, "a set-up")
        first, second = server.messages(MessageKind.SET_UP)
        for sock, sent in ((server.sockets[1], second), (server.sockets[0], first)):
            sock.sendall(encode_answer(sent) + encode_release(sent, Cause.OK))
            assert front.client.receive_response().status == 200
            assert front.client.receive_request().method == "TEARDOWN"
        with front.manager.lock:
            front.set_up(THIRD)
            older, newer = front.manager.servers["s0"].links
            assert older.last_received_us > newer.last_received_us
            assert older.dispatched_session is not None


class ProofTest(FrontTestCase):
    """What a broken connection proves about the set-up that was dispatched on it."""

    def assert_rejected_when_new_connection_ends(self, reset: bool) -> None:
        """Check that a set-up is rejected if its new connection ends before it is sent."""
        server = ManualServer()
        front = self.start_front(server.host_entry())
        with front.manager.lock:
            front.set_up(ID)
            sock = wait_until(front.connection_awaiting_lock, "an established connection")
            server_sock = server.accept()
            if reset:
                reset_on_close(server_sock)
            server_sock.close()
            wait_until(lambda: has_pending_event(sock, POLLRDHUP), "the end of the connection")
        assert front.client.receive_response().status == 453

    def test_a_connection_reset_while_new_has_carried_no_set_up(self) -> None:
        self.assert_rejected_when_new_connection_ends(reset=True)

    def test_a_connection_closed_while_new_has_carried_no_set_up(self) -> None:
        self.assert_rejected_when_new_connection_ends(reset=False)

    def test_a_partly_written_set_up_never_ran(self) -> None:
        server = ManualServer(buffer_bytes=2048)
        front = self.start_front(server.host_entry())
        front.client.set_up(OTHER)
        server_sock = server.accept()
        sent = read_message(server_sock)
        server_sock.sendall(encode_answer(sent) + encode_release(sent, Cause.OK))
        assert front.client.receive_response().status == 200
        assert front.client.receive_request().method == "TEARDOWN"
        with front.manager.lock:
            sock = front.link().sock
            assert sock is not None
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            front.set_up(ID, b"x" * 15_000)
        assert front.client.receive_response().status == 453
        assert read_messages(server_sock) == []  # the server never receives it completely

    def test_a_release_outlives_a_connection_reset_while_new(self) -> None:
        # It was dequeued for a connection that had ended, so its session went on without a client.
        server = ManualServer()
        front = self.start_front(server.host_entry())
        front.client.set_up(ID)
        server_sock = server.accept()
        server_sock.sendall(encode_answer(read_message(server_sock)))
        assert front.client.receive_response().status == 200
        server_sock.close()
        wait_until(lambda: not front.manager.servers["s0"].links, "the end of the connection")
        front.client.tear_down(ID)
        assert front.client.receive_response().status == 200
        with front.manager.lock:
            front.manager.run_maintenance()
            sock = wait_until(front.connection_awaiting_lock, "an established connection")
            server_sock = server.accept()
            reset_on_close(server_sock)
            server_sock.close()
            wait_until(lambda: has_pending_event(sock, POLLRDHUP), "the end of the connection")
        wait_until(lambda: not front.manager.servers["s0"].links, "the end of the new connection")
        with front.manager.lock:
            front.manager.run_maintenance()
        sent = read_message(server.accept())
        assert (sent.kind, sent.session.hex(), sent.cause) == (MessageKind.RELEASE, ID, Cause.OK)


class MessageInTransitTest(FrontTestCase):
    """A server's message is in transit when its session ends, or when its id is set up again."""

    def send_and_wait(self, server: FakeServer, sock: socket.socket, data: bytes) -> None:
        """Send data on this connection, and wait until the front node has processed it."""
        answer_count = len(server.messages(MessageKind.KEEPALIVE_ANSWER))
        sock.sendall(data + isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        wait_until(
            lambda: len(server.messages(MessageKind.KEEPALIVE_ANSWER)) > answer_count,
            "the answer to a probe that follows the data",
        )

    def assert_earlier_attempt_is_ignored(
        self, encode: Callable[[Message], bytes], with_session_between: bool
    ) -> None:
        """A set-up is cancelled and its id set up again, on another connection if one is used in between."""
        server = FakeServer("s0", 0, no_reply)
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        [first] = wait_until(lambda: server.messages(MessageKind.SET_UP), "a set-up")
        client.tear_down(ID)
        assert client.receive_response().status == 200
        if with_session_between:
            client.set_up(OTHER)
        client.set_up(ID)
        wait_until(
            lambda: len(server.messages(MessageKind.SET_UP)) == 2 + with_session_between, "the set-ups"
        )
        self.send_and_wait(server, server.sockets[0], encode(first))
        last = server.messages(MessageKind.SET_UP)[-1]
        self.send_and_wait(server, server.sockets[-1], encode_described_answer(last, b"for the second"))
        answer = client.receive_response()
        assert (answer.status, answer.fields["session"]) == (200, ID)
        assert answer.body == b"for the second"

    def test_an_answer_to_an_earlier_attempt_on_another_connection_is_ignored(self) -> None:
        self.assert_earlier_attempt_is_ignored(
            lambda first: encode_described_answer(first, b"for the first"), with_session_between=True
        )

    def test_a_rejection_of_an_earlier_attempt_on_another_connection_is_ignored(self) -> None:
        self.assert_earlier_attempt_is_ignored(
            lambda first: encode_release(first, Cause.FULL), with_session_between=True
        )

    def test_an_answer_to_an_earlier_attempt_on_the_same_connection_is_ignored(self) -> None:
        self.assert_earlier_attempt_is_ignored(
            lambda first: encode_described_answer(first, b"for the first"), with_session_between=False
        )

    def test_an_answer_after_a_rejection_and_a_second_answer_are_ignored(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        [sent] = wait_until(lambda: server.messages(MessageKind.SET_UP), "a set-up")
        self.send_and_wait(server, server.sockets[0], encode_release(sent, Cause.FULL) + encode_answer(sent))
        assert client.receive_response().status == 453
        client.set_up(OTHER)
        sent = wait_until(lambda: server.messages(MessageKind.SET_UP)[1:], "a set-up")[0]
        first, second = (
            encode_described_answer(sent, b"the first"),
            encode_described_answer(sent, b"a second"),
        )
        self.send_and_wait(
            server, server.sockets[-1], first + second + encode_release(sent, Cause.FULL) + second
        )
        answer = client.receive_response()
        assert (answer.status, answer.body) == (200, b"the first")
        assert client.receive_request().fields["reason"] == "cause=41"
        client.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert client.receive_response().fields["cseq"] == "3"  # no other message precedes it

    def test_a_release_written_to_a_closed_connection_is_sent_on_the_next(self) -> None:
        server = ManualServer()
        front = self.start_front(server.host_entry())
        front.client.set_up(ID)
        server_sock = server.accept()
        server_sock.sendall(encode_answer(read_message(server_sock)))
        assert front.client.receive_response().status == 200
        with front.manager.lock:
            sock = front.link().sock
            assert sock is not None
            server_sock.close()
            wait_until(lambda: has_pending_event(sock, POLLRDHUP), "the end of the connection")
            client_requests.tear_down(front.manager, front.client_connection, bytes.fromhex(ID))
        wait_until(lambda: not front.manager.servers["s0"].links, "the end of the connection")
        with front.manager.lock:
            front.manager.run_maintenance()
        sent = read_message(server.accept())
        assert (sent.kind, sent.session.hex(), sent.cause) == (MessageKind.RELEASE, ID, Cause.OK)


class HandoverTest(FrontTestCase):
    """Handovers of sessions at servers that this front node cannot verify yet."""

    def hand_over(self, node: NodeProcess, server: str) -> Client:
        """Hand over a session at a server, and wait until the node has processed the request."""
        client = node.connect_client()
        client.set_up(ID, routing=f"home:0;copies:4;top:2;at:{server}")
        client.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert client.receive_response().fields["cseq"] == "3"  # the handover is processed, and has no answer
        return client

    def test_a_session_at_a_server_that_is_never_listed_is_released(self) -> None:
        client = self.hand_over(self.start_node(FakeServer("s0", 0)), "s9")
        client.sock.settimeout(8)  # the specified limit for notifying a client of an end
        release = client.receive_request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", ID)
        assert release.fields["reason"] == "cause=41"

    def hand_over_before_listing(self) -> tuple[NodeProcess, FakeServer, Client]:
        """A session handed over at a server that is listed only later."""
        node, server = self.start_node(FakeServer("s0", 0)), FakeServer("s9", 1)
        client = self.hand_over(node, "s9")
        return node, server, client

    def test_a_session_is_retained_until_its_server_is_listed(self) -> None:
        node, server, client = self.hand_over_before_listing()
        node.discovery.notices.append(notice(2, [server.host_entry]))
        wait_until(lambda: server.sockets, "a connection for the session")
        server.send(isup.release(bytes.fromhex(ID), Cause.OK))
        assert client.receive_request().fields["reason"] == "cause=16"

    def test_a_session_that_ends_before_its_server_is_listed_is_released_there(self) -> None:
        node, server, client = self.hand_over_before_listing()
        client.tear_down(ID)
        assert client.receive_response().status == 200
        node.discovery.notices.append(notice(2, [server.host_entry]))
        [sent] = wait_until(lambda: server.messages(MessageKind.RELEASE), "its release")
        assert (sent.session.hex(), sent.cause) == (ID, Cause.OK)

    def test_messages_of_another_server_about_the_session_are_ignored(self) -> None:
        other, server = FakeServer("s0", 0, no_reply), FakeServer("s1", 1)
        node = self.start_node(other, server)
        client = node.connect_client()
        client.set_up(OTHER, routing="home:0;copies:1;top:2")
        wait_until(lambda: other.messages(MessageKind.SET_UP), "a connection to the other server")
        early = isup.release(bytes.fromhex(ID), Cause.RESET)
        other.send(early + isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        wait_until(
            lambda: other.messages(MessageKind.KEEPALIVE_ANSWER),
            "the answer to a probe that follows the data",
        )
        client = self.hand_over(node, "s1")
        wait_until(lambda: server.sockets, "a connection for the session")
        server.send(isup.release(bytes.fromhex(ID), Cause.OK))
        assert client.receive_request().fields["reason"] == "cause=16"

    def test_the_end_of_a_session_is_not_crowded_out_by_earlier_reports(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(OTHER)
        wait_until(lambda: server.messages(MessageKind.SET_UP), "a connection")
        report = isup.message(
            MessageKind.SESSION_REPORT,
            bytes.fromhex(ID),
            (Parameter.REPORT_NAME, b"nic"),
            (Parameter.REPORT_VALUE, b"0.5"),
        )
        probe = isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0"))
        server.send(
            report * server_messages.MAX_EARLY_MESSAGES + isup.release(bytes.fromhex(ID), Cause.OK) + probe
        )
        wait_until(
            lambda: server.messages(MessageKind.KEEPALIVE_ANSWER), "the answer to a probe that follows them"
        )
        client.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        assert client.receive_request().fields["reason"] == "cause=16"


if __name__ == "__main__":
    unittest.main()
