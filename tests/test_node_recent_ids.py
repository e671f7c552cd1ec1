"""An id that comes again after its client has left: it is executed once, and forgotten in time."""

from __future__ import annotations

import time

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind
from fennelcove.node.recent_ids import MAX_IDS, RETENTION_US, RecentIds
from fennelcove.rtsp import writer as rtsp_writer

from tests.node_harness import Client, FakeServer, NodeProcess, encode_answer, wait_until
from tests.test_node_connections import FrontTestCase

ID = "00000000000000c1"
SESSION_EXISTS = 455


class ReturningClientTest(FrontTestCase):
    """A client that leaves, and comes again with the same request."""

    def leave(self, client: Client, node: NodeProcess) -> None:
        """Close a client's connection, and wait until the node can have noticed."""
        client.sock.close()
        wait_until(node.is_healthy, "a health check after the close")

    def assert_not_executed_again(self, server: FakeServer, node: NodeProcess) -> None:
        """Check that the session's request is refused as failed, and not sent to the server again."""
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == SESSION_EXISTS
        assert len(server.messages(MessageKind.SET_UP)) == 1

    def test_a_request_in_flight_as_its_client_left_is_not_executed_again(self) -> None:
        # It was sent to a server a second time, while the first may have executed it.
        server = FakeServer("s0", 0, lambda _: b"")
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID)
        wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up")
        self.leave(client, node)
        wait_until(lambda: server.messages(MessageKind.RELEASE), "the end of the abandoned attempt")
        self.assert_not_executed_again(server, node)

    def test_a_session_that_ended_after_its_client_left_is_not_executed_again(self) -> None:
        server = FakeServer("s0", 0, encode_answer)
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status == 200
        self.leave(client, node)
        time.sleep(0.2)  # nothing outside the node shows that it has noticed the close
        other = node.connect_client()
        other.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert other.receive_response().status == 200  # its connection is the one that gets the release
        server.send(isup.release(bytes.fromhex(ID), Cause.OK))
        assert other.receive_request().method == "TEARDOWN"
        self.assert_not_executed_again(server, node)

    def test_a_request_that_no_server_got_is_executed_when_its_client_comes_again(self) -> None:
        # A set-up that crosses the node's close of its connection is sent once more under its id.
        server = FakeServer("s0", 0, lambda message: isup.release(message.session, Cause.NOT_EXECUTED))
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID)
        assert client.receive_response().status != 200
        self.leave(client, node)
        server.reply = encode_answer
        again = node.connect_client()
        again.set_up(ID)
        assert again.receive_response().status == 200


def id_of(number: int) -> bytes:
    """The id of this number."""
    return number.to_bytes(8, "big")


def test_ids_are_forgotten_after_their_time() -> None:
    ids = RecentIds()
    ids.add(id_of(1), 0)
    ids.add(id_of(2), 10)
    assert ids.contains(id_of(1), RETENTION_US)
    assert not ids.contains(id_of(1), RETENTION_US + 1)
    ids.expire(RETENTION_US + 1)
    assert len(ids) == 1


def test_the_number_of_ids_is_limited() -> None:
    # Clients that leave under ever new ids must not fill the memory.
    ids = RecentIds()
    for number in range(MAX_IDS + 10):
        ids.add(id_of(number), number)
    assert len(ids) == MAX_IDS
    assert not ids.contains(id_of(9), 100)
    assert ids.contains(id_of(10), 100)
