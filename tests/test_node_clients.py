"""Clients that leave, cancel or repeat a request at a critical moment, over real connections."""

from __future__ import annotations

import copy
import re
import socket
import sys
import threading
import time
import unittest
from unittest import mock

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.node.model import ConnectionState, SessionState
from fennelcove.rtsp import messages as rtsp
from fennelcove.rtsp import writer

from tests import node_harness
from tests.client_connection_harness import (
    InProcessNode,
    Paused,
    close_with_reset,
    connection_inodes,
    has_socket,
    is_ended_by_peer,
    read_to_end,
    wait_until_accepted,
    wait_until_acknowledged,
)
from tests.node_harness import (
    SETTINGS,
    Client,
    FakeServer,
    NodeProcess,
    encode_answer,
    encode_release,
    wait_until,
)
from tests.node_process_control import LoggedNodeProcess

ID, OTHER = "9b1f03aa5c7e2d41", "00000000000000a1"


def session_ids(count: int) -> list[str]:
    """Distinct session ids."""
    return [f"{number:016x}" for number in range(1, count + 1)]


def no_reply(_: ServerMessage) -> bytes:
    """The reply of a server that sends nothing."""
    return b""


class BufferingClient(Client):
    """A client that buffers its messages and sends them together."""

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address)
        self.buffer = bytearray()

    def send(self, data: bytes) -> None:
        self.buffer += data

    def flush(self) -> None:
        """Send all buffered messages at once."""
        self.sock.sendall(self.buffer)
        self.buffer.clear()


class NodeTestCase(unittest.TestCase):
    def start_node(
        self, *servers: FakeServer, sockets: int = 256, command: list[str] | None = None
    ) -> NodeProcess:
        """Start a node that ends with the test."""
        node = NodeProcess(*servers, sockets=sockets, command=command)
        self.addCleanup(node.close)
        return node

    def connect_buffering_client(self, node: NodeProcess) -> BufferingClient:
        client = BufferingClient(node.address)
        self.addCleanup(client.sock.close)
        return client


class ClientGoneTest(NodeTestCase):
    """No attempt is started for a client that has left or cancelled its set-up."""

    def test_the_end_of_a_connection_is_processed_before_the_set_ups_that_precede_it(self) -> None:
        for name in ("half-closed", "reset"):
            with self.subTest(name):
                server = FakeServer("s0", 0, no_reply)
                node = self.start_node(server)
                client = self.connect_buffering_client(node)
                inode = wait_until_accepted(node, client)
                for id in session_ids(150):
                    client.set_up(id)
                with Paused(node):
                    client.flush()
                    wait_until_acknowledged(client.sock)
                    if name == "half-closed":
                        client.sock.shutdown(socket.SHUT_WR)
                        wait_until_acknowledged(client.sock)
                    else:
                        close_with_reset(client.sock)
                wait_until(
                    lambda node=node, inode=inode: not has_socket(node, inode), "the end of the connection"
                )
                assert len(server.messages(MessageKind.SET_UP)) == 0

    def test_a_set_up_cancelled_in_the_same_read_is_not_started(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        node = self.start_node(server)
        client = self.connect_buffering_client(node)
        for id in session_ids(60):
            client.set_up(id)
        for id in session_ids(60):
            client.tear_down(id)
        client.set_up(session_ids(1)[0])  # an id whose session has just ended may be used again
        with Paused(node):
            client.flush()
            wait_until_acknowledged(client.sock)
        answers = [client.receive_response() for _ in session_ids(60)]
        assert {(a.status, a.fields["cseq"]) for a in answers} == {(200, "2")}
        [sent] = wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up that was not cancelled")
        assert sent.session.hex() == session_ids(1)[0]
        server.send(encode_answer(sent))
        assert client.receive_response().fields["cseq"] == "1"

    def test_an_end_that_follows_more_data_than_is_read_ahead_is_detected(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        node = InProcessNode(self, server)
        client, connection = node.accept_client()
        buffering_client = BufferingClient(node.listener.getsockname())
        buffering_client.sock.close()
        buffering_client.sock = client.sock
        for id in session_ids(1500):
            buffering_client.set_up(id)
        assert len(buffering_client.buffer) > 4 * 65536
        buffering_client.flush()
        client.sock.shutdown(socket.SHUT_WR)
        wait_until_acknowledged(client.sock)
        node.start_reading(connection).join(node_harness.WAIT_TIMEOUT_S)
        assert not (node.manager.servers["s0"].links or node.manager.sessions)

    def test_handovers_and_releases_are_processed_though_their_client_has_left(self) -> None:
        server = FakeServer("s0", 0)
        node = self.start_node(server)
        client = node.connect_client()
        for id in session_ids(40):
            client.set_up(id)
            assert client.receive_response().status == 200
        leaving_client = self.connect_buffering_client(node)
        leaving_client.set_up(OTHER, routing="home:0;copies:4;top:2;at:s0")
        for id in (OTHER, *session_ids(40)):
            leaving_client.tear_down(id)
        with Paused(node):
            leaving_client.flush()
            wait_until_acknowledged(leaving_client.sock)
            close_with_reset(leaving_client.sock)  # no answer can be sent; later requests are still processed
        wait_until(lambda: len(server.messages(MessageKind.RELEASE)) == 41, "the release of each session")
        assert {message.session.hex() for message in server.messages(MessageKind.RELEASE)} == {
            OTHER,
            *session_ids(40),
        }

    def test_a_set_up_whose_client_left_while_it_waited_for_the_lock(self) -> None:
        node = InProcessNode(self, FakeServer("s0", 0, no_reply))
        client, connection = node.accept_client()
        node.lock.block("client")
        thread = node.start_reading(connection)
        client.set_up(ID)
        wait_until(lambda: node.lock.is_blocking("client"), "the set-up that was read")
        client.sock.close()
        wait_until(
            lambda: is_ended_by_peer(connection.sock), "the end of the connection in the node's kernel"
        )
        node.lock.unblock("client")
        thread.join(node_harness.WAIT_TIMEOUT_S)
        assert not (node.manager.servers["s0"].links or node.manager.sessions)

    def test_a_set_up_whose_client_left_while_it_waited_for_a_dial(self) -> None:
        for name in ("closed", "reset", "cancelled"):
            with self.subTest(name):
                server = FakeServer("s0", 0, no_reply)
                server.listener.close()
                server.listener = listener = socket.create_server(("127.0.0.1", 0), backlog=1)
                self.addCleanup(listener.close)
                backlog_fillers = [socket.socket() for _ in range(8)]
                # While the backlog is full, a dial succeeds only once its kernel retries.
                for sock in backlog_fillers:
                    self.addCleanup(sock.close)
                    sock.setblocking(False)
                    sock.connect_ex(listener.getsockname())
                node = self.start_node(server)
                client = node.connect_client()
                inode = wait_until_accepted(node, client)
                client.set_up(ID)
                port = listener.getsockname()[1]
                wait_until(lambda node=node, port=port: connection_inodes(node, None, port), "the dial")
                if name == "cancelled":
                    client.tear_down(ID)
                    assert client.receive_response().status == 200
                elif name == "closed":
                    client.sock.close()
                else:
                    close_with_reset(client.sock)
                if name != "cancelled":
                    wait_until(
                        lambda node=node, inode=inode: not has_socket(node, inode),
                        "the end of the connection",
                    )
                for sock in backlog_fillers:
                    sock.close()
                threading.Thread(target=server._accept, daemon=True).start()
                # The new connection, no longer needed, carries the next set-up: nothing has been sent on it.
                wait_until(lambda server=server: len(server.sockets) > 0, "an accepted connection")
                next_client = node.connect_client()
                next_client.set_up(OTHER)
                wait_until(lambda server=server: server.messages(MessageKind.SET_UP), "the next set-up")
                assert [m.session.hex() for m in server.received] == [OTHER]

    def test_a_set_up_whose_client_left_while_the_policy_delayed_it(self) -> None:
        settings = copy.deepcopy(node_harness.SETTINGS)
        settings["LoadReport"]["Source"] = "probes"
        settings["Allowed"]["MayProbe"] = True
        server = FakeServer("s0", 0, no_reply)
        with mock.patch.object(node_harness, "SETTINGS", settings):
            node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID)
        client.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert client.receive_response().fields["cseq"] == "3"
        assert not server.received  # it is delayed
        client.sock.close()
        next_client = node.connect_client()
        next_client.set_up(OTHER)
        wait_until(lambda: server.messages(MessageKind.SET_UP), "the next set-up, which was delayed as long")
        assert [message.session.hex() for message in server.messages(MessageKind.SET_UP)] == [OTHER]

    def test_no_further_attempt_for_a_client_whose_end_was_not_processed_yet(self) -> None:
        servers = [FakeServer("s0", 0, no_reply), FakeServer("s1", 1, no_reply)]
        node = InProcessNode(self, *servers)
        client, connection = node.accept_client()
        thread = node.start_reading(connection)
        client.set_up(ID)
        tried = wait_until(
            lambda: [s for s in servers if s.messages(MessageKind.SET_UP)], "the first attempt"
        )[0]
        other = next(server for server in servers if server is not tried)
        node.lock.block("client")
        client.sock.close()
        wait_until(lambda: node.lock.is_blocking("client"), "the end that was read but not processed")
        tried.send(encode_release(tried.messages(MessageKind.SET_UP)[0], Cause.FULL))
        wait_until(lambda: node.manager.servers[tried.name].outcome_counts, "the rejection")
        with node.lock:
            assert not (node.manager.servers[other.name].links or node.manager.sessions)
        node.lock.unblock("client")
        thread.join(node_harness.WAIT_TIMEOUT_S)
        assert not node.manager.policy.sessions

    def test_a_connection_that_opens_while_its_client_leaves_carries_no_set_up(self) -> None:
        server = FakeServer("s0", 0)
        node = InProcessNode(self, server)
        client, connection = node.accept_client()
        node.lock.block("server")
        thread = node.start_reading(connection)
        client.set_up(ID)
        wait_until(lambda: node.lock.is_blocking("server"), "an established connection")
        node.lock.block("client")
        client.sock.close()
        wait_until(lambda: node.lock.is_blocking("client"), "the end that was read but not processed")
        node.lock.unblock("server")
        [link] = node.manager.servers["s0"].links
        wait_until(lambda: link.state is ConnectionState.OPEN, "the open connection")
        with node.lock:
            assert not (node.manager.sessions or link.dispatched_session)
            assert not node.manager.policy.sessions
        node.lock.unblock("client")
        thread.join(node_harness.WAIT_TIMEOUT_S)
        server.send(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        wait_until(
            lambda: server.messages(MessageKind.KEEPALIVE_ANSWER),
            "the answer to a probe that follows everything else",
        )
        assert [message.kind for message in server.received] == [MessageKind.KEEPALIVE_ANSWER]

    def test_an_answer_to_a_client_whose_end_was_not_processed_yet_leaves_no_session(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        node = InProcessNode(self, server)
        client, connection = node.accept_client()
        thread = node.start_reading(connection)
        client.set_up(ID)
        [sent] = wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up")
        session = node.manager.sessions[bytes.fromhex(ID)]
        node.lock.block("client")
        client.sock.close()
        wait_until(lambda: node.lock.is_blocking("client"), "the end that was read but not processed")
        server.send(encode_answer(sent))
        wait_until(
            lambda: session.state in (SessionState.ESTABLISHED, SessionState.CLOSED), "the processed answer"
        )
        node.lock.unblock("client")
        thread.join(node_harness.WAIT_TIMEOUT_S)
        [release] = wait_until(lambda: server.messages(MessageKind.RELEASE), "the release at the server")
        assert release.session.hex() == ID
        assert not node.manager.sessions


class CloseTest(NodeTestCase):
    """What the node sends before it closes can be read, and requests in transit at its close are answered."""

    def test_an_error_response_can_be_read_after_megabytes_of_unread_data(self) -> None:
        node = self.start_node(FakeServer("s0", 0))
        head = f"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSeq: 1\r\nSession: {ID}\r\n"
        for status, broken in {
            400: "no line at all\r\n\r\n",
            413: f"{head}Content-Length: 60000000\r\n\r\n",
        }.items():
            with self.subTest(status):
                client = node.connect_client()
                client.send(broken.encode() + b"x" * (4 << 20))
                client.sock.shutdown(socket.SHUT_WR)
                received = read_to_end(client)
                assert received.startswith(b"RTSP/1.0 %d " % status), received[:80]
                assert received.endswith(b"\r\n\r\n"), received

    def test_responses_sent_before_a_connection_is_closed_can_be_read(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        node = self.start_node(server)
        client = self.connect_buffering_client(node)
        client.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        client.set_up(ID)
        client.set_up(ID)  # the first one is answered, once, before the connection is closed
        client.buffer += b"x" * (1 << 20)
        client.flush()
        client.sock.shutdown(socket.SHUT_WR)
        received = read_to_end(client)
        statuses = re.findall(rb"RTSP/1\.0 (\d+) [^\r]*\r\nCSeq: (\d)", received)
        assert statuses == [(b"200", b"3"), (b"500", b"1")]
        assert received.count(b"RTSP/1.0 ") == 2

    def test_an_open_request_is_answered_before_its_connection_is_closed_for_invalid_data(self) -> None:
        # When invalid or incomplete data closed the connection, the open request was never answered.
        long_timeout = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "AimMs": 20_000}]}
        for broken in (b"no line at all\r\n\r\n", b"SETUP rtsp://media/7f3a RTSP/1.0\r\nCSe"):
            with self.subTest(broken):
                node = LoggedNodeProcess(FakeServer("s0", 0, no_reply), settings=long_timeout)
                self.addCleanup(node.close)
                client = node.connect_client()
                client.set_up(ID)
                client.send(broken)
                answer = client.receive_response()
                assert (answer.status, answer.fields["session"]) == (500, ID)
                read_to_end(client)

    def test_a_connection_that_the_client_never_closes_is_closed(self) -> None:
        node = self.start_node(FakeServer("s0", 0))
        client = node.connect_client()
        inode = wait_until_accepted(node, client)
        client.send(b"no line at all\r\n\r\n")
        assert client.receive_response().status == 400
        assert client.receive() is None
        wait_until(
            lambda: not has_socket(node, inode), "the released descriptor, with the client's side still open"
        )

    def test_a_set_up_that_arrives_as_the_connection_times_out_is_served(self) -> None:
        server = FakeServer("s0", 0)
        node = InProcessNode(self, server)
        client, connection = node.accept_client()
        node.lock.block("client")
        node.start_reading(connection)
        wait_until(lambda: node.lock.is_blocking("client"), "the timeout")
        client.set_up(ID)
        wait_until_acknowledged(client.sock)
        node.lock.unblock("client")
        assert client.receive_response().status == 200

    def test_a_set_up_read_as_its_connection_is_closed_is_served_on_the_next(self) -> None:
        server = FakeServer("s0", 0)
        node = InProcessNode(self, server)
        first = node.connect_client()
        first.set_up(OTHER)
        assert first.receive_response().status == 200  # its server connection is now idle and is used next
        client, connection = node.accept_client()
        node.lock.block("client")
        thread = node.start_reading(connection)
        client.set_up(ID)
        wait_until(lambda: node.lock.is_blocking("client"), "the set-up that was read")
        with node.lock:
            connection.disconnect()
        node.lock.unblock("client")
        assert client.receive() is None
        client.sock.close()
        thread.join(node_harness.WAIT_TIMEOUT_S)
        again = node.connect_client()
        again.set_up(ID)
        assert again.receive_response().status == 200
        assert [m.session.hex() for m in server.messages(MessageKind.SET_UP)] == [OTHER, ID]

    def test_a_connection_with_a_new_message_is_not_evicted(self) -> None:
        server = FakeServer("s0", 0)
        node = InProcessNode(self, server, sockets=32)
        pairs = [node.accept_client() for _ in range(node.manager.connections.max_connections)]
        unread, read, idle = (connection for _, connection in pairs[:3])
        node.lock.block("client")
        node.start_reading(read)
        pairs[1][0].set_up(OTHER)
        wait_until(lambda: node.lock.is_blocking("client"), "a set-up that was read but not processed")
        pairs[0][0].set_up(ID)
        wait_until_acknowledged(pairs[0][0].sock)
        node.accept_client()
        assert [connection.is_closed for connection in (unread, read, idle)] == [False, False, True]
        node.lock.unblock("client")
        node.start_reading(unread)
        for client, _ in pairs[:2]:
            assert client.receive_response().status == 200


class OneAnswerTest(NodeTestCase):
    """Each set-up has one final answer, whatever servers send and whatever requests are in transit."""

    def receive_messages(self, client: Client, server: FakeServer) -> list[str]:
        """All that the client was sent so far; the response to a health check marks the end."""
        server.send(isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        wait_until(
            lambda: server.messages(MessageKind.KEEPALIVE_ANSWER),
            "the answer to a probe that follows all server messages",
        )
        client.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        received = list[str]()
        while (message := client.receive()) is not None and message.fields.get("cseq") != "3":
            kind = message.status if isinstance(message, rtsp.Response) else message.method
            received.append(f"{kind} {message.fields['cseq']}")
        return received

    def test_messages_that_follow_the_first_answer_of_a_server(self) -> None:
        full, error = Cause.FULL, Cause.ERROR
        for name, reply, expected in (
            ("answers", lambda m: encode_answer(m) * 3, ["200 1"]),
            (
                "answer and rejection",
                lambda m: encode_answer(m) + encode_release(m, full),
                ["200 1", "TEARDOWN 2"],
            ),
            ("rejection and answer", lambda m: encode_release(m, full) + encode_answer(m), ["453 1"]),
            (
                "rejections",
                lambda m: encode_release(m, error) + encode_release(m, full) + encode_answer(m),
                ["453 1"],
            ),
        ):
            with self.subTest(name):
                server = FakeServer("s0", 0, reply)
                client = self.start_node(server).connect_client()
                client.set_up(ID)
                answer = client.receive_response()  # by now the server has sent everything
                received = [
                    f"{answer.status} {answer.fields['cseq']}",
                    *self.receive_messages(client, server),
                ]
                assert received == expected

    def test_a_teardown_in_transit_together_with_the_answer(self) -> None:
        server = FakeServer("s0", 0, no_reply)
        node = self.start_node(server)
        client = node.connect_client()
        client.set_up(ID)
        [sent] = wait_until(lambda: server.messages(MessageKind.SET_UP), "the set-up")
        with Paused(node):
            server.send(encode_answer(sent))
            client.tear_down(ID)
            wait_until_acknowledged(server.sockets[-1])
            wait_until_acknowledged(client.sock)
        [release] = wait_until(lambda: server.messages(MessageKind.RELEASE), "the release at the server")
        assert (release.session.hex(), release.cause) == (ID, Cause.OK)
        assert self.receive_messages(client, server) in (["200 1", "200 2"], ["200 2"])
        assert len(server.messages(MessageKind.RELEASE)) == 1

    def test_the_id_of_a_session_that_has_just_ended_may_be_used_again(self) -> None:
        replies = [encode_answer]
        server = FakeServer("s0", 0, lambda message: replies[-1](message))
        client = self.start_node(server).connect_client()
        client.set_up(ID)
        client.tear_down(ID)  # ended by its client, possibly before it was answered
        client.set_up(ID)
        answers = [client.receive_response(), client.receive_response()]
        if answers[-1].fields["cseq"] == "2":
            answers.append(client.receive_response())
        assert (answers[-1].status, answers[-1].fields["cseq"]) == (200, "1")
        server.send(encode_release(server.messages(MessageKind.SET_UP)[-1], Cause.OK))  # ended by its server
        assert client.receive_request().method == "TEARDOWN"
        replies.append(lambda message: encode_release(message, Cause.FULL))
        for _ in range(2):  # rejected
            client.set_up(ID)
            assert client.receive_response().status == 453


# A front node whose policy fails at every event of one kind, so that it answers no request itself.
FAULTY_POLICY_PROGRAM = """
import sys
from fennelcove.node import program, session_manager

class Faulty(session_manager.PlacementPolicy):
    def handle(self, event, now_us):
        if type(event).__name__ == {event!r}:
            raise KeyError("a fault in the policy")
        super().handle(event, now_us)

session_manager.PlacementPolicy = Faulty
sys.exit(program.main())
"""


class PolicyFaultTest(NodeTestCase):
    """Each accepted set-up is answered by its client timeout, whatever faults the policy has."""

    def start_faulty_node(self, server: FakeServer, event: str) -> NodeProcess:
        """Start a node whose policy fails at every event of the given type."""
        return self.start_node(
            server, command=[sys.executable, "-c", FAULTY_POLICY_PROGRAM.format(event=event)]
        )

    def test_a_fault_when_an_attempt_completes(self) -> None:
        server = FakeServer("s0", 0, lambda message: encode_release(message, Cause.FULL))
        client = self.start_faulty_node(server, "AttemptCompleted").connect_client()
        started_s = time.monotonic()
        client.set_up(ID, **{"Answer-Within": "700"})
        client.set_up(OTHER, **{"Answer-Within": "400"})
        answers = [client.receive_response(), client.receive_response()]
        assert time.monotonic() - started_s >= 0.7
        assert [(a.status, a.fields["session"]) for a in answers] == [(500, OTHER), (500, ID)]
        client.tear_down(ID)
        # The session is unknown, and there is no second answer.
        assert client.receive_response().status == 454

    def test_a_fault_when_a_timer_fires(self) -> None:
        settings = copy.deepcopy(node_harness.SETTINGS)
        settings["LoadReport"]["Source"] = "probes"
        settings["Allowed"]["MayProbe"] = True
        with mock.patch.object(node_harness, "SETTINGS", settings):
            node = self.start_faulty_node(FakeServer("s0", 0), "TimerFired")
        client = node.connect_client()
        client.set_up(ID, **{"Answer-Within": "700"})
        answer = client.receive_response()
        assert (answer.status, answer.fields["session"]) == (500, ID)

    def test_a_fault_when_a_request_is_accepted_and_then_the_same_id_again(self) -> None:
        client = self.start_faulty_node(FakeServer("s0", 0), "Request").connect_client()
        for _ in range(2):
            client.set_up(ID)
            assert client.receive_response().status == 500

    def test_answered_requests_leave_no_deadlines(self) -> None:
        node = InProcessNode(self, FakeServer("s0", 0))
        client = node.connect_client()
        for number, id in enumerate(session_ids(200)):
            client.set_up(id, **{"Answer-Within": str(3_600_000 - number)})
            assert client.receive_response().status in (200, 453)
        deadlines = node.manager.deadlines
        with node.lock:
            assert not deadlines.entries
            timer_times = [at for at, _, call in node.timers.due if call is deadlines.on_timer]
        assert len(timer_times) <= 1


if __name__ == "__main__":
    unittest.main()
