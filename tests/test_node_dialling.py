"""Set-ups that wait for a connection to a server while the client leaves, the list changes or time passes."""

from __future__ import annotations

import socket
import threading
import unittest
from collections.abc import Callable
from contextlib import suppress
from select import POLLIN
from types import SimpleNamespace
from typing import Any

from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.node import client_requests
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.discovery_events import DiscoveryBatch
from fennelcove.node.model import Session

from tests.node_harness import (
    SETTINGS,
    FakeServer,
    NodeProcess,
    encode_answer,
    encode_release,
    notice,
    wait_until,
)
from tests.test_node_connections import (
    ID,
    OTHER,
    SINGLE_SHOT,
    THIRD,
    FrontTestCase,
    InProcessFront,
    ManualServer,
    has_pending_event,
    no_reply,
    read_message,
    read_messages,
    reset_on_close,
)


class DialTest(FrontTestCase):
    def apply_notice(self, front: InProcessFront, *entries: dict[str, Any]) -> None:
        """Process a discovery notice with these servers."""
        for event in DiscoveryBatch.parse({"rev": 2, "notices": [notice(2, list(entries))]}).events:
            front.manager.on_discovery_event(event)

    def set_up_and_connect(
        self, server: ManualServer, meanwhile: Callable[[InProcessFront], None]
    ) -> tuple[InProcessFront, socket.socket]:
        """Connect for a set-up; the connection's thread gets the lock only after `meanwhile` has run."""
        front = self.start_front(server.host_entry())
        with front.manager.lock:
            front.set_up(ID)
            wait_until(front.connection_awaiting_lock, "an established connection")
            meanwhile(front)
        return front, server.accept()

    def assert_no_set_up_sent(self, front: InProcessFront, server_sock: socket.socket) -> None:
        """Check that no set-up is sent on the connection before it ends."""
        with front.manager.lock:
            front.manager.is_shutting_down = True
        wait_until(lambda: front.connection_awaiting_lock() is None, "the thread to release the lock")
        server_sock.shutdown(socket.SHUT_WR)
        assert [m for m in read_messages(server_sock) if m.kind is MessageKind.SET_UP] == []

    def test_a_client_that_cancels_while_its_connection_is_established(self) -> None:
        def cancel(front: InProcessFront) -> None:
            client_requests.tear_down(front.manager, front.client_connection, bytes.fromhex(ID))

        front, server_sock = self.set_up_and_connect(ManualServer(), cancel)
        self.assert_no_set_up_sent(front, server_sock)
        assert not (front.manager.sessions or front.manager.policy.sessions)

    def test_a_client_that_closes_while_its_connection_is_established(self) -> None:
        front, server_sock = self.set_up_and_connect(
            ManualServer(),
            lambda front: client_requests.on_client_gone(front.manager, front.client_connection),
        )
        self.assert_no_set_up_sent(front, server_sock)
        assert not (front.manager.sessions or front.manager.policy.sessions)

    def test_an_attempt_that_times_out_while_its_connection_is_established(self) -> None:
        def time_out_attempt(front: InProcessFront) -> None:
            session = front.manager.sessions[bytes.fromhex(ID)]
            assert session.attempt is not None
            front.manager.on_attempt_timeout(session, session.attempt)

        front, server_sock = self.set_up_and_connect(ManualServer(), time_out_attempt)
        self.assert_no_set_up_sent(front, server_sock)
        assert front.client.receive_response().status == 453  # rejected for a retry, as it never ran

    def test_nothing_is_sent_to_the_previous_address_of_a_removed_and_relisted_server(self) -> None:
        server, moved_server = ManualServer(), ManualServer()

        def move_server(front: InProcessFront) -> None:
            self.apply_notice(front, {**server.host_entry(), "health": "removed"})
            self.apply_notice(front, moved_server.host_entry(), {**server.host_entry("s1", 1)})

        front, server_sock = self.set_up_and_connect(server, move_server)
        self.assert_no_set_up_sent(front, server_sock)

    def test_an_idle_connection_to_a_server_s_previous_address_is_not_used(self) -> None:
        server, moved_server = ManualServer(), ManualServer()
        front = self.start_front(server.host_entry())
        front.client.set_up(OTHER)
        server_sock = server.accept()
        sent = read_message(server_sock)
        server_sock.sendall(encode_answer(sent) + encode_release(sent, Cause.OK))
        assert front.client.receive_response().status == 200
        assert front.client.receive_request().method == "TEARDOWN"
        with front.manager.lock:
            self.apply_notice(front, moved_server.host_entry())
            front.set_up(ID)
        assert read_message(moved_server.accept()).session.hex() == ID

    def establish_and_dispatch(
        self, server: ManualServer
    ) -> tuple[InProcessFront, socket.socket, socket.socket]:
        """An established session and an open set-up on one connection, and an open set-up on a second one."""
        front = self.start_front(server.host_entry())
        front.client.set_up(ID)
        first_sock = server.accept()
        first_sock.sendall(encode_answer(read_message(first_sock)))
        assert front.client.receive_response().status == 200
        front.client.set_up(OTHER)
        assert read_message(first_sock).session.hex() == OTHER
        front.client.set_up(THIRD)
        second_sock = server.accept()
        assert read_message(second_sock).session.hex() == THIRD
        return front, first_sock, second_sock

    def time_out(self, front: InProcessFront) -> None:
        """Time out the attempt that is open on the first connection; the caller holds the lock."""
        session = front.manager.sessions[bytes.fromhex(OTHER)]
        assert session.attempt is not None
        front.manager.on_attempt_timeout(session, session.attempt)

    def test_a_release_received_on_a_connection_that_is_being_closed_is_processed(self) -> None:
        front, first_sock, _ = self.establish_and_dispatch(ManualServer())
        with front.manager.lock:
            first_sock.sendall(isup.release(bytes.fromhex(ID), Cause.OK))
            self.time_out(front)
        assert front.client.receive_response().fields["session"] == OTHER
        front.client.sock.settimeout(3)
        assert front.client.receive_request().fields["reason"] == "cause=16"

    def test_a_connection_closed_unread_is_replaced_while_sessions_are_established(self) -> None:
        # A server repeats releases that were in transit on its next connection, which was not opened while a
        # second one existed.
        server = ManualServer()
        front, first_sock, second_sock = self.establish_and_dispatch(server)
        with front.manager.lock:
            self.time_out(front)
            front.manager.run_maintenance()
        server.listener.settimeout(3)
        third_sock = server.accept()
        third_sock.sendall(isup.release(bytes.fromhex(ID), Cause.OK))
        assert front.client.receive_response().fields["session"] == OTHER
        assert front.client.receive_request().fields["reason"] == "cause=16"
        for sock in (first_sock, second_sock, third_sock):
            sock.close()

    def test_an_idle_connection_to_a_restarted_server_is_closed(self) -> None:
        # After a machine was lost, the old connection still looks open, but resets once data is sent on it.
        server = ManualServer()
        front = self.start_front(server.host_entry())
        front.client.set_up(OTHER)
        server_sock = server.accept()
        sent = read_message(server_sock)
        server_sock.sendall(encode_answer(sent) + encode_release(sent, Cause.OK))
        assert front.client.receive_response().status == 200
        assert front.client.receive_request().method == "TEARDOWN"
        with front.manager.lock:
            born_ms = front.manager.now_us() // 1000 + 1
            self.apply_notice(front, {**server.host_entry(), "born_ms": born_ms})
        server_sock.settimeout(3)
        assert server_sock.recv(4096) == b""

    def test_an_answer_in_transit_when_its_attempt_times_out_is_released_at_its_server(self) -> None:
        # The next attempt is open at another server by then: two would play, the client would know of one.
        servers = {"s0": ManualServer(), "s1": ManualServer()}
        entries = [server.host_entry(name, cell) for cell, (name, server) in enumerate(servers.items())]
        front = self.start_front(*entries, settings=SETTINGS)
        front.client.set_up(ID)

        def attempted_session() -> Session | None:
            with front.manager.lock:  # a session is in the table before its first attempt
                return front.manager.sessions.get(bytes.fromhex(ID))

        session = wait_until(attempted_session, "the set-up")
        first_sock = servers.pop(session.attempt.server.name).accept()
        sent = read_message(first_sock)
        [other] = servers.values()
        with front.manager.lock:
            first_sock.sendall(encode_answer(sent) + encode_answer(sent))
            front.manager.on_attempt_timeout(session, session.attempt)
        release = read_message(first_sock)
        assert (release.kind, release.session, release.cause) == (MessageKind.RELEASE, session.id, Cause.OK)
        assert read_messages(first_sock) == []
        second_sock = other.accept()
        second_set_up = read_message(second_sock)
        assert (second_set_up.kind, second_set_up.session) == (MessageKind.SET_UP, session.id)
        second_sock.sendall(
            isup.message(MessageKind.ANSWER, session.id, (Parameter.DESCRIPTION, b"of the second server"))
        )
        answer = front.client.receive_response()
        assert (answer.status, answer.body) == (200, b"of the second server")

    def test_the_connection_to_a_server_without_sessions_is_evicted(self) -> None:
        servers = [ManualServer() for _ in range(3)]
        front = self.start_front(
            *(server.host_entry(f"s{cell}", cell) for cell, server in enumerate(servers))
        )
        front.manager.descriptors.limits[DescriptorUse.SERVER] = 2
        socks = []
        for cell, id in enumerate((ID, OTHER, THIRD)):
            front.client.set_up(id, routing=f"home:{cell};copies:1;top:2")
            socks.append(servers[cell].accept())
            sent = read_message(socks[cell])
            assert sent.session.hex() == id
            socks[cell].sendall(encode_answer(sent) + (encode_release(sent, Cause.OK) if cell else b""))
            assert front.client.receive_response().status == 200
            if cell:
                assert front.client.receive_request().method == "TEARDOWN"
        socks[1].settimeout(3)
        assert socks[1].recv(4096) == b""
        with front.manager.lock:
            assert [link.is_idle for link in front.manager.servers["s0"].links] == [True]


class SingleShotNode(NodeProcess):
    """A front node whose set-ups must not be repeated, with a short connect timeout."""

    aim_ms = 8000

    def write_config(self) -> None:
        service_class = {**SINGLE_SHOT["Lanes"][0], "AimMs": self.aim_ms}
        allowed = {**SINGLE_SHOT["Allowed"], "ConnectTimeoutMs": 200}
        self.config["settings"] = {**SINGLE_SHOT, "Lanes": [service_class], "Allowed": allowed}
        super().write_config()


class ShortTimeoutNode(SingleShotNode):
    """Also with a short answer timeout."""

    aim_ms = 800


class SingleShotTest(unittest.TestCase):
    """A set-up that must not be repeated, and two servers that both end each attempt in the same way.

    Checks how many servers it reaches, and that it is rejected for a retry only if it never ran.
    """

    def answer_status(self, *servers: Any, kind: type[SingleShotNode] = SingleShotNode) -> int:
        """The status that the client receives if these two servers are the title's replicas."""
        node = kind(*servers)
        self.addCleanup(node.close)
        client = node.connect_client()
        client.set_up(ID)
        answer = client.receive_response()
        assert answer.fields["session"] == ID
        return answer.status

    def start_servers(self, backlog: int = 8) -> list[ManualServer]:
        servers = [ManualServer(backlog), ManualServer(backlog)]
        for server in servers:
            self.addCleanup(server.listener.close)
        return servers

    def list_servers(self, servers: list[ManualServer]) -> list[Any]:
        """Servers for the configuration, each with only its list entry."""
        return [SimpleNamespace(host_entry=server.host_entry(f"s{i}", i)) for i, server in enumerate(servers)]

    def test_refused_connections_prove_that_it_never_ran(self) -> None:
        servers = self.start_servers()
        for server in servers:
            server.listener.close()
        assert self.answer_status(*self.list_servers(servers)) == 453

    def test_connections_not_established_in_time_prove_that_it_never_ran(self) -> None:
        servers = self.start_servers(backlog=0)
        for server in servers:  # the backlog of one is full: the kernel answers no further dial
            filler = socket.create_connection(server.address)
            self.addCleanup(filler.close)
        assert self.answer_status(*self.list_servers(servers)) == 453
        for server in servers:
            queued, _ = server.listener.accept()
            server.listener.setblocking(False)
            queued.close()

    def test_a_reset_with_the_set_up_unread_proves_nothing(self) -> None:
        servers, reached_servers = self.start_servers(), list[int]()

        def reset(number: int) -> None:
            with suppress(OSError):  # the server that is never dialled
                sock = servers[number].accept()
                wait_until(lambda: has_pending_event(sock, POLLIN), "a set-up")
                reached_servers.append(number)
                reset_on_close(sock)
                sock.close()

        for number in range(2):
            threading.Thread(target=reset, args=(number,), daemon=True).start()
        assert self.answer_status(*self.list_servers(servers)) == 500
        assert len(reached_servers) == 1

    def status_and_attempt_count(
        self, reply: Callable[[Message], bytes | None], kind: type[SingleShotNode] = SingleShotNode
    ) -> tuple[int, int]:
        """The client's status, and how many attempts reached the two servers."""
        servers = [FakeServer(f"s{i}", i, reply) for i in range(2)]
        status = self.answer_status(*servers, kind=kind)
        return status, sum(len(server.messages(MessageKind.SET_UP)) for server in servers)

    def test_a_close_after_the_set_up_proves_nothing(self) -> None:
        assert self.status_and_attempt_count(lambda message: None) == (500, 1)

    def test_silence_proves_nothing(self) -> None:
        assert self.status_and_attempt_count(no_reply, ShortTimeoutNode) == (500, 1)

    def test_invalid_answers_prove_nothing(self) -> None:
        for name, data in (
            ("noise", b"\xff\xff\x09 an answer that claims more than there is"),
            ("no description", b"\0\x09\x09" + bytes.fromhex(ID)),
            ("a parameter longer than its message", b"\0\x0c\x09" + bytes.fromhex(ID) + b"\x91\xff\xff"),
        ):
            with self.subTest(name):
                assert self.status_and_attempt_count(lambda message, data=data: data) == (500, 1)

    def test_full_and_not_executed_prove_that_it_never_ran(self) -> None:
        for cause in (Cause.FULL, Cause.NOT_EXECUTED):
            with self.subTest(cause):
                assert self.status_and_attempt_count(
                    lambda message, cause=cause: encode_release(message, cause)
                ) == (453, 2)


if __name__ == "__main__":
    unittest.main()
