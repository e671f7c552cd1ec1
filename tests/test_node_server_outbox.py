"""Releases that a server has not read are kept while it may hold their sessions."""

from __future__ import annotations

import socket
import struct
import threading
import time
import unittest

from fennelcove.interface import Outcome
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.node import client_requests, server_outbox
from fennelcove.node.metrics import DropReason, Metric
from fennelcove.node.server_connection import ServerConnection
from fennelcove.node.server_monitor import PROBE_AFTER_US
from fennelcove.node.server_outbox import ServerOutbox, SessionMessage, UnconfirmedMessages

from tests.discovery_harness import connect_to_impatient_node
from tests.node_harness import FakeServer, wait_until
from tests.session_manager_harness import HOST_ENTRY, ID, SessionManagerTestCase
from tests.test_node_connections import FrontTestCase

SESSIONS = ("00000000000000a1", "00000000000000a2")
CUT_S = 9.0  # longer than a listed server may be silent until its sessions count as lost
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def session_message(number: int, queued_us: int = 0) -> SessionMessage:
    """A message about the session of this number."""
    return SessionMessage(number.to_bytes(8, "big"), b"message %d" % number, queued_us)


class CutServer(FakeServer):
    """A server that can be cut off: open connections stay open and silent, and new ones never come up."""

    def __init__(self, name: str, cell: int) -> None:
        self.is_reachable = threading.Event()
        self.is_reachable.set()
        self.fillers: list[socket.socket] = []
        super().__init__(name, cell, self._answer)

    def cut(self) -> None:
        """Cut the server off."""
        self.is_reachable.clear()
        self.listener.listen(0)
        for _ in range(4):  # with its backlog full, no further connection comes up
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def heal(self) -> None:
        """Let everything through again."""
        self.listener.listen(64)
        self.is_reachable.set()
        for filler in self.fillers:
            filler.close()

    def _answer(self, message: Message) -> bytes:
        return isup.message(MessageKind.ANSWER, message.session, (Parameter.DESCRIPTION, b"from the server"))

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            self.is_reachable.wait()
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        super()._serve(CutSocket(sock, self.is_reachable))


class CutSocket:
    """A connection whose data is read only while its server is reachable."""

    def __init__(self, sock: socket.socket, is_reachable: threading.Event) -> None:
        self._sock = sock
        self._is_reachable = is_reachable

    def recv(self, size: int) -> bytes:
        data = self._sock.recv(size)
        self._is_reachable.wait()
        return data

    def sendall(self, data: bytes) -> None:
        self._sock.sendall(data)

    def close(self) -> None:
        self._sock.close()


class CutTest(unittest.TestCase):
    def test_sessions_that_end_during_a_cut_are_released_at_their_server_after_it(self) -> None:
        # Releases were dropped when a silent server counted as lost, and none was sent for what then ended.
        server = CutServer("s0", 0)
        client = connect_to_impatient_node(self, server)
        for session in SESSIONS:
            client.set_up(session)
            assert client.receive_response().status == 200
        server.cut()
        cut_at_s = time.monotonic()
        time.sleep(4.0)  # the silent connection has been closed
        client.tear_down(SESSIONS[0])
        assert client.receive_response().status == 200
        release = client.receive_request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", SESSIONS[1])
        time.sleep(max(0.0, cut_at_s + CUT_S - time.monotonic()))
        server.heal()
        released = set(SESSIONS)
        wait_until(
            lambda: released <= {m.session.hex() for m in server.messages(MessageKind.RELEASE)},
            "the releases of both sessions",
        )


class ResetTest(FrontTestCase):
    def test_a_release_that_a_reset_connection_has_lost_is_sent_again(self) -> None:
        # It counted as sent once the kernel had accepted it, so the session went on without a client.
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        front = self.start_front({**HOST_ENTRY, "dial": f"127.0.0.1:{listener.getsockname()[1]}"})
        front.client.set_up(SESSIONS[0])
        sock, _ = listener.accept()
        assert sock.recv(4096)
        session = bytes.fromhex(SESSIONS[0])
        sock.sendall(isup.message(MessageKind.ANSWER, session, (Parameter.DESCRIPTION, b"from the server")))
        assert front.client.receive_response().status == 200
        front.client.tear_down(SESSIONS[0])
        assert front.client.receive_response().status == 200
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()  # with the release unread
        wait_until(lambda: not front.manager.servers["s0"].links, "the end of the connection")
        with front.manager.lock:
            front.manager.run_maintenance()
        listener.settimeout(5.0)
        sock, _ = listener.accept()
        self.addCleanup(sock.close)
        assert sock.recv(4096) == isup.release(session, Cause.OK)


class QueuedReleaseTest(SessionManagerTestCase):
    """Releases at a server that counts as lost, or whose connections end."""

    def establish(self) -> None:
        """Establish a session at `s0`, and close its connection."""
        link, _ = self.link()
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        self.manager.servers["s0"].connection_loss.on_received(self.manager.now_us())
        link.close(Outcome.CONNECTION_LOST)

    def queued(self) -> list[bytes]:
        """The ids of the sessions whose release waits for `s0`."""
        return [message.session for message in self.manager.servers["s0"].outbox]

    def test_a_release_outlives_the_loss_of_its_server(self) -> None:
        # It was dropped with the sessions that are closed, though the server may only be cut off.
        self.establish()
        client_requests.tear_down(self.manager, self.connection, ID)
        server = self.manager.servers["s0"]
        for _ in range(3):
            self.clock.advance(3_000_000)
            self.manager.on_dial_failed(server, refused=False)
        assert self.queued() == [ID]

    def test_releases_outlive_the_removal_of_their_server_from_the_list(self) -> None:
        # The server was forgotten with its queue, while its process went on with the session.
        self.establish()
        client_requests.tear_down(self.manager, self.connection, ID)
        self.apply_notice(2, {**HOST_ENTRY, "health": "removed"})
        self.manager.servers["s0"].next_dial_us = 1 << 62
        self.clock.advance(60_000_000)
        self.manager.run_maintenance()
        assert self.queued() == [ID]

    def test_a_release_is_dropped_after_its_time_to_live(self) -> None:
        # A server that never comes back must not be dialled for ever.
        self.establish()
        client_requests.tear_down(self.manager, self.connection, ID)
        self.manager.servers["s0"].next_dial_us = 1 << 62
        self.clock.advance(server_outbox.MESSAGE_TTL_US + 1)
        self.manager.run_maintenance()
        assert self.queued() == []
        assert self.manager.metrics.counts[Metric.MESSAGE_DROPPED] == {DropReason.EXPIRED.value: 1}

    def test_new_rungs_do_not_crowd_out_a_release(self) -> None:
        # The queue held 256 messages and dropped the oldest, which might be a release.
        self.establish()
        client_requests.tear_down(self.manager, self.connection, ID)
        server = self.manager.servers["s0"]
        for number in range(1_000):
            self.manager.queue_message(server, session_message(number))
        assert ID in self.queued()

    def test_a_release_precedes_the_next_set_up_under_its_id(self) -> None:
        # Sent on a connection of its own after the set-up, it would end the new session.
        self.establish()
        client_requests.tear_down(self.manager, self.connection, ID)
        _, server_sock = self.link()
        self.set_up()
        kinds = [message.kind for message in self.receive_messages(server_sock)]
        assert kinds == [MessageKind.RELEASE, MessageKind.SET_UP]
        assert self.queued() == []

    def test_a_release_without_a_confirmation_is_followed_by_a_keepalive(self) -> None:
        # On a silent connection nothing else shows whether the server still reads.
        link, server_sock = self.link()
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        client_requests.tear_down(self.manager, self.connection, ID)
        self.clock.advance(PROBE_AFTER_US + 1)
        self.manager.run_maintenance()
        kinds = [message.kind for message in self.receive_messages(server_sock)]
        assert kinds == [MessageKind.SET_UP, MessageKind.RELEASE, MessageKind.KEEPALIVE]
        link.close(Outcome.CONNECTION_LOST)
        assert self.queued() == [ID]

    def establish_and_release(self) -> tuple[ServerConnection, socket.socket]:
        """A connection on which the release of a session was sent, and the server's end of it."""
        link, server_sock = self.link()
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        client_requests.tear_down(self.manager, self.connection, ID)
        self.receive_messages(server_sock)
        return link, server_sock

    def test_a_keepalive_for_a_release_is_not_repeated_while_other_data_arrives(self) -> None:
        # Any received data counted as its answer, and each interval sent another one.
        link, server_sock = self.establish_and_release()
        for _ in range(3):
            self.clock.advance(PROBE_AFTER_US + 1)
            self.manager.run_maintenance()
            link.last_received_us, link.keepalive_sent_us = self.manager.now_us(), None
        assert [m.kind for m in self.receive_messages(server_sock)] == [MessageKind.KEEPALIVE]

    def test_no_keepalive_for_a_release_is_sent_while_a_set_up_is_in_flight(self) -> None:
        # Its answer completed an answer that had stopped short, and was passed on as its description.
        _, server_sock = self.establish_and_release()
        self.set_up()
        self.clock.advance(PROBE_AFTER_US + 1)
        self.manager.run_maintenance()
        kinds = [message.kind for message in self.receive_messages(server_sock)]
        assert MessageKind.KEEPALIVE not in kinds


class ServerOutboxTest(unittest.TestCase):
    def test_the_latest_message_of_a_session_replaces_the_earlier_one(self) -> None:
        outbox = ServerOutbox()
        outbox.add(session_message(1, 10))
        outbox.add(session_message(2, 20))
        outbox.add(session_message(1, 30))
        assert [message.queued_us for message in outbox] == [20, 30]

    def test_the_number_of_messages_is_limited(self) -> None:
        outbox = ServerOutbox()
        assert all(outbox.add(session_message(number)) for number in range(server_outbox.MAX_MESSAGES))
        assert not outbox.add(session_message(server_outbox.MAX_MESSAGES))
        assert len(outbox) == server_outbox.MAX_MESSAGES


class UnconfirmedMessagesTest(unittest.TestCase):
    def test_a_keepalive_answer_confirms_only_what_preceded_its_request(self) -> None:
        # An answer that was on its way before a release was sent says nothing about the release.
        unconfirmed = UnconfirmedMessages()
        first, second = session_message(1), session_message(2)
        unconfirmed.on_sent(first)
        unconfirmed.on_keepalive_sent()
        unconfirmed.on_sent(second)
        unconfirmed.on_keepalive_sent()  # the first request has no answer yet
        unconfirmed.on_keepalive_answered()
        assert unconfirmed.take_all() == [second]

    def test_the_number_of_unconfirmed_messages_is_limited(self) -> None:
        # A server that confirms nothing, and goes on sending, must not fill the memory.
        unconfirmed = UnconfirmedMessages()
        for number in range(server_outbox.MAX_MESSAGES + 1):
            unconfirmed.on_sent(session_message(number))
        assert len(unconfirmed) == server_outbox.MAX_MESSAGES
        assert unconfirmed.take(session_message(0).session) is None

    def test_a_release_complete_message_confirms_its_session(self) -> None:
        unconfirmed = UnconfirmedMessages()
        unconfirmed.on_sent(session_message(1))
        assert unconfirmed.take(session_message(1).session) is not None
        assert len(unconfirmed) == 0
