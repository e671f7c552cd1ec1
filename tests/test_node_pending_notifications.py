"""Notifications of ended sessions to clients whose connection is gone, over real connections."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from unittest import mock

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.node import client_requests
from fennelcove.node.model import SessionState

from tests import node_harness
from tests.client_connection_harness import (
    InProcessNode,
    Paused,
    has_socket,
    wait_until_accepted,
    wait_until_acknowledged,
)
from tests.node_harness import FakeServer, encode_release, notice, wait_until
from tests.test_node_clients import ID, OTHER, NodeTestCase, session_ids


def answer_probes(sock: socket.socket) -> None:
    """Answer all data as if it were a probe, until the connection ends."""
    with suppress(OSError):
        while sock.recv(4096):
            sock.sendall(isup.message(MessageKind.KEEPALIVE_ANSWER, bytes(8), (Parameter.CAUSE, b"\1")))


class PendingNotificationTest(NodeTestCase):
    """The end of a session is notified on any open connection of its client, or on the next one."""

    def test_an_end_received_as_its_connection_ends_is_notified_on_the_next(self) -> None:
        server = FakeServer("s0", 0)
        node = InProcessNode(self, server)
        client, connection = node.accept_client()
        thread = node.start_reading(connection)
        client.set_up(ID)
        assert client.receive_response().status == 200
        session = node.manager.sessions[bytes.fromhex(ID)]
        node.lock.block("client")
        client.sock.close()
        wait_until(lambda: node.lock.is_blocking("client"), "the end that was read but not processed")
        server.send(encode_release(server.messages(MessageKind.SET_UP)[0], Cause.OK))
        wait_until(lambda: session.state is SessionState.CLOSED, "the processed release")
        node.lock.unblock("client")
        thread.join(node_harness.WAIT_TIMEOUT_S)
        next_client = node.connect_client()
        next_client.tear_down(OTHER)
        assert next_client.receive_request().fields["session"] == ID
        assert next_client.receive_response().status == 454

    def test_a_pending_notification_is_not_sent_to_a_connection_whose_client_has_left(self) -> None:
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        client = node.connect_client()
        inode = wait_until_accepted(node, client)
        client.set_up(ID)
        assert client.receive_response().status == 200
        client.sock.close()
        wait_until(lambda: not has_socket(node, inode), "the end of the connection")
        server.send(encode_release(server.messages(MessageKind.SET_UP)[0], Cause.OK))
        server.send(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        wait_until(
            lambda: server.messages(MessageKind.KEEPALIVE_ANSWER),
            "the answer to a probe that follows the release",
        )
        leaving_client = self.connect_buffering_client(node)
        inode = wait_until_accepted(node, leaving_client)
        leaving_client.tear_down(OTHER)
        with Paused(node):
            leaving_client.flush()
            leaving_client.sock.shutdown(socket.SHUT_WR)
            wait_until_acknowledged(leaving_client.sock)
        wait_until(lambda: not has_socket(node, inode), "the processed request and the end of the connection")
        next_client = node.connect_client()
        next_client.tear_down(OTHER)
        assert next_client.receive_request().fields["session"] == ID

    def test_clients_that_share_an_address_receive_their_own_notifications(self) -> None:
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        routing = "home:0;copies:4;top:2;viewer:{}"
        first, neighbour, second = node.connect_client(), node.connect_client(), node.connect_client()
        for client, id, client_id in (
            (neighbour, session_ids(3)[0], "b" * 16),
            (first, ID, "a" * 16),
            (second, session_ids(3)[1], "a" * 16),
        ):
            inode = wait_until_accepted(node, client)
            client.set_up(id, routing=routing.format(client_id))
            assert client.receive_response().status == 200
            if client is first:
                first.sock.close()
                wait_until(lambda inode=inode: not has_socket(node, inode), "the end of the connection")
        [sent] = [m for m in server.messages(MessageKind.SET_UP) if m.session.hex() == ID]
        server.send(encode_release(sent, Cause.OK))
        assert second.receive_request().fields["session"] == ID

    def test_the_client_ids_of_one_connection_are_bounded(self) -> None:
        node = InProcessNode(self, FakeServer("s0", 0))
        client, connection = node.accept_client()
        node.start_reading(connection)
        for number, id in enumerate(session_ids(client_requests.MAX_CLIENT_IDS + 9)):
            client.set_up(id, routing=f"home:0;copies:4;top:2;viewer:{number:016x}")
            client.receive_response()
        assert list(connection.recent_clients) == [
            f"{n:016x}" for n in range(9, client_requests.MAX_CLIENT_IDS + 9)
        ]

    def test_a_handed_over_session_is_older_than_a_server_that_started_after_this_node(self) -> None:
        # Dated by its handover, it stayed established at the server's new process, which never had it.
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        started_ms = time.time_ns() // 1_000_000 + 1
        time.sleep(0.01)
        client = node.connect_client()
        client.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        wait_until(lambda: server.sockets, "the handover")
        node.discovery.notices.append(notice(2, [{**server.host_entry, "born_ms": started_ms}]))
        release = client.receive_request()
        assert (release.fields["session"], release.fields["reason"]) == (ID, "cause=41")
        client.set_up(OTHER, routing="home:0;copies:4;top:2;at:s0")
        assert client.receive_request().fields["session"] == OTHER

    def test_a_server_that_was_unresponsive_gets_another_connection_once_it_answers(self) -> None:
        # It had sent the release on a connection that was closed unanswered. The connection opened meanwhile
        # stayed open, no other followed, and the client waited forever.
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(node_harness.WAIT_TIMEOUT_S)
        self.addCleanup(listener.close)
        server = FakeServer("s0", 0)
        entry = {**server.host_entry, "dial": f"127.0.0.1:{listener.getsockname()[1]}"}
        with mock.patch.object(FakeServer, "host_entry", entry):
            node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        first_sock, _ = listener.accept()
        second_sock, _ = listener.accept()
        with first_sock, second_sock:
            threading.Thread(target=answer_probes, args=(second_sock,), daemon=True).start()
            third_sock, _ = listener.accept()
            with third_sock:
                third_sock.sendall(isup.release(bytes.fromhex(ID), Cause.OK))
                assert client.receive_request().fields["session"] == ID
