"""A front node's connections to servers, closed, filled or crossed at the wrong instant, each time anew."""

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
    WAIT_S,
    Caller,
    NodeRig,
    StandInServer,
    answered,
    eventually,
    notice,
    released,
)
from tests.test_node_session_manager import TREE

ID, OTHER, THIRD = "9b1f03aa5c7e2d41", "00000000000000a1", "00000000000000b2"
SINGLE_SHOT: dict[str, Any] = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "Effect": "single_shot"}]}


def waits(sock: socket.socket, what: int) -> bool:
    """Whether the kernel holds this for a socket, read by its thread or not."""
    seen = poll()
    seen.register(sock, what)
    return bool(seen.poll(0))


def reset_on_close(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def silence(message: Message) -> bytes:
    """A server that says nothing by itself."""
    return b""


def described(message: Message, what: bytes) -> bytes:
    return isup.message(MessageKind.ANSWER, message.session, (Parameter.DESCRIPTION, what))


class Peer:
    """A server whose connections are accepted and read only when the test says so."""

    def __init__(self, backlog: int = 8, buffer_bytes: int = 0) -> None:
        self.listener = socket.socket()
        if buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.settimeout(WAIT_S)
        self.address = self.listener.getsockname()

    def row(self, name: str = "s0", cell: int = 0) -> dict[str, Any]:
        dial = f"127.0.0.1:{self.address[1]}"
        told = {"host": name, "dial": dial, "site": "here", "class": "kind", "block": cell}
        return {**told, "health": "up", "share": 1, "born_ms": 0}

    def accept(self) -> socket.socket:
        sock, _ = self.listener.accept()
        sock.settimeout(WAIT_S)
        return sock


def read_all(sock: socket.socket) -> list[Message]:
    """What still comes until the connection ends; a message in part is none."""
    reader, found = Reader(), list[Message]()
    with suppress(ConnectionResetError):
        while data := sock.recv(65_536):
            reader.feed(data)
    while (message := reader.next()) is not None:
        found.append(message)
    return found


def read_one(sock: socket.socket) -> Message:
    reader = Reader()
    while (message := reader.next()) is None:
        data = sock.recv(4096)
        assert data, "the front node closed"
        reader.feed(data)
    return message


class FrontHere:
    """A front node's threads and real connections in this process: whoever holds its lock stands between
    two of its lines for as long as it takes to bring about what comes in between."""

    def __init__(self, *rows: dict[str, Any], settings: dict[str, Any]) -> None:
        known = {"rev": 1, "notices": [notice(1, list(rows), whole=True)]}
        clock = SystemClock()
        self.timers = Timers(clock)
        self.manager = session_manager.SessionManager(
            config.parse({**TREE, "known": known, "settings": settings}), clock, self.timers, silent
        )
        with self.manager.lock:
            for told in self.manager.config.initial_batch.events:
                self.manager.on_discovery_event(told)
        threading.Thread(target=self.timers.run, daemon=True).start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.caller = Caller(listener.getsockname())
            sock, peer = listener.accept()
        self.viewer = ClientConnection(self.manager, sock, peer[0])
        self.manager.connections.add(self.viewer)
        threading.Thread(target=self.viewer.run, daemon=True).start()

    def set_up(self, id: str, body: bytes = b"what") -> None:
        """As the viewer's thread once it has read this; the lock is held."""
        fields = {"cseq": "1", "session": id, "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        client_requests.on_client_message(
            self.manager, self.viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, body)
        )

    def link(self) -> ServerConnection:
        [link] = self.manager.servers["s0"].links
        assert isinstance(link, ServerConnection)
        return link

    def dialled(self) -> socket.socket | None:
        """The connection that a thread has just made, and with which it waits for the lock."""
        for frame in sys._current_frames().values():
            caller = frame.f_back
            is_waiting = frame.f_code is NodeLock.__enter__.__code__
            if is_waiting and caller and caller.f_code is ServerConnection._on_connected.__code__:
                sock = caller.f_locals.get("sock")
                with suppress(OSError):  # it has just closed it
                    if sock is not None and sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY):
                        assert isinstance(sock, socket.socket)
                        return sock
        return None

    def close(self) -> None:
        self.timers.stop()
        with self.manager.lock:
            for server in self.manager.servers.values():
                server.listed = False
        self.caller.sock.close()


class RigTest(unittest.TestCase):
    def front(self, *rows: dict[str, Any], settings: dict[str, Any] = SINGLE_SHOT) -> FrontHere:
        made = FrontHere(*rows, settings=settings)
        self.addCleanup(made.close)
        return made

    def node(self, *servers: StandInServer) -> NodeRig:
        made = NodeRig(*servers)
        self.addCleanup(made.close)
        return made


class IdleTest(RigTest):
    """A set-up of a room type that may not be repeated, handed to a connection that is ending."""

    def idle(self, server: StandInServer) -> FrontHere:
        """A front node with one idle connection to this server."""
        front = self.front(server.row)
        front.caller.set_up(OTHER)
        assert front.caller.answer().status == 200
        server.say(isup.release(bytes.fromhex(OTHER), Cause.OK))
        assert front.caller.request().method == "TEARDOWN"
        return front

    def answer_after(self, reset: bool) -> None:
        server = StandInServer("s0", 0)
        front = self.idle(server)
        with front.manager.lock:  # the connection's thread does not get to read its end
            link = front.link()
            if reset:
                reset_on_close(server.sockets[0])
            server.sockets[0].shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            sock = link.sock
            assert sock is not None
            eventually(lambda: waits(sock, POLLRDHUP), "the end of the connection")
            front.set_up(ID)
        assert front.caller.answer().status == 200
        assert [m.session.hex() for m in server.of(MessageKind.SET_UP)] == [OTHER, ID]
        assert len(server.sockets) == 2

    def test_a_closed_idle_connection_carries_no_set_up(self) -> None:
        self.answer_after(reset=False)

    def test_a_reset_idle_connection_carries_no_set_up(self) -> None:
        self.answer_after(reset=True)

    def test_a_connection_near_its_idle_limit_carries_no_set_up(self) -> None:
        # Its server closes it while the set-up is on its way, and nothing proves then that it never ran.
        server = StandInServer("s0", 0)
        front = self.idle(server)
        with front.manager.lock:
            front.link().last_received_us -= front.manager.config.connection_settings.idle_us * 3 // 4 + 1
            front.set_up(ID)
        assert front.caller.answer().status == 200
        assert len(server.sockets) == 2

    def test_of_idle_connections_the_one_heard_last_is_taken(self) -> None:
        server = StandInServer("s0", 0, silence)
        front = self.front(server.row)
        for number, id in enumerate((ID, OTHER), 1):
            front.caller.set_up(id)
            eventually(lambda number=number: len(server.of(MessageKind.SET_UP)) == number, "a set-up")
        first, second = server.of(MessageKind.SET_UP)
        for sock, sent in ((server.sockets[1], second), (server.sockets[0], first)):
            sock.sendall(answered(sent) + released(sent, Cause.OK))
            assert front.caller.answer().status == 200
            assert front.caller.request().method == "TEARDOWN"
        with front.manager.lock:
            front.set_up(THIRD)
            older, newer = front.manager.servers["s0"].links
            assert older.last_received_us > newer.last_received_us
            assert older.dispatched_session is not None


class ProofTest(RigTest):
    """What a broken connection proves of the set-up that was to go out on it."""

    def new_connection_ends(self, reset: bool) -> None:
        peer = Peer()
        front = self.front(peer.row())
        with front.manager.lock:
            front.set_up(ID)
            sock = eventually(front.dialled, "a connection that is made")
            far = peer.accept()
            if reset:
                reset_on_close(far)
            far.close()
            eventually(lambda: waits(sock, POLLRDHUP), "the end of the connection")
        assert front.caller.answer().status == 453

    def test_a_connection_reset_while_new_has_carried_no_set_up(self) -> None:
        self.new_connection_ends(reset=True)

    def test_a_connection_closed_while_new_has_carried_no_set_up(self) -> None:
        self.new_connection_ends(reset=False)

    def test_a_set_up_written_in_part_never_ran(self) -> None:
        peer = Peer(buffer_bytes=2048)
        front = self.front(peer.row())
        front.caller.set_up(OTHER)
        far = peer.accept()
        sent = read_one(far)
        far.sendall(answered(sent) + released(sent, Cause.OK))
        assert front.caller.answer().status == 200
        assert front.caller.request().method == "TEARDOWN"
        with front.manager.lock:
            sock = front.link().sock
            assert sock is not None
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            front.set_up(ID, b"x" * 15_000)
        assert front.caller.answer().status == 453
        assert read_all(far) == []  # neither then nor later is it there whole

    def test_a_release_outlives_a_connection_reset_while_new(self) -> None:
        # It was taken off the queue for a connection that had ended, and its session stood on for nobody.
        peer = Peer()
        front = self.front(peer.row())
        front.caller.set_up(ID)
        far = peer.accept()
        far.sendall(answered(read_one(far)))
        assert front.caller.answer().status == 200
        far.close()
        eventually(lambda: not front.manager.servers["s0"].links, "the end of the connection")
        front.caller.tear_down(ID)
        assert front.caller.answer().status == 200
        with front.manager.lock:
            front.manager.run_maintenance()
            sock = eventually(front.dialled, "a connection that is made")
            far = peer.accept()
            reset_on_close(far)
            far.close()
            eventually(lambda: waits(sock, POLLRDHUP), "the end of the connection")
        eventually(lambda: not front.manager.servers["s0"].links, "the end of the new connection")
        with front.manager.lock:
            front.manager.run_maintenance()
        sent = read_one(peer.accept())
        assert (sent.kind, sent.session.hex(), sent.cause) == (MessageKind.RELEASE, ID, Cause.OK)


class CrossingTest(RigTest):
    """What a server says of a session crosses with its end, or with another set-up under the same id."""

    def heard(self, server: StandInServer, sock: socket.socket, data: bytes) -> None:
        """The front node has taken in what the server says here."""
        tested = len(server.of(MessageKind.KEEPALIVE_ANSWER))
        sock.sendall(data + isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        eventually(
            lambda: len(server.of(MessageKind.KEEPALIVE_ANSWER)) > tested, "the answer to a test behind it"
        )

    def of_an_earlier_join(self, say: Callable[[Message], bytes], between: bool) -> None:
        """A set-up is given up and its id set up again, as another carries the first connection or none."""
        server = StandInServer("s0", 0, silence)
        viewer = self.node(server).caller()
        viewer.set_up(ID)
        [first] = eventually(lambda: server.of(MessageKind.SET_UP), "a set-up")
        viewer.tear_down(ID)
        assert viewer.answer().status == 200
        if between:
            viewer.set_up(OTHER)
        viewer.set_up(ID)
        eventually(lambda: len(server.of(MessageKind.SET_UP)) == 2 + between, "the set-ups")
        self.heard(server, server.sockets[0], say(first))
        fresh = server.of(MessageKind.SET_UP)[-1]
        self.heard(server, server.sockets[-1], described(fresh, b"of the second"))
        answer = viewer.answer()
        assert (answer.status, answer.fields["session"]) == (200, ID)
        assert answer.body == b"of the second"

    def test_an_answer_to_an_earlier_join_on_another_connection_is_passed_over(self) -> None:
        self.of_an_earlier_join(lambda first: described(first, b"of the first"), between=True)

    def test_a_refusal_of_an_earlier_join_on_another_connection_is_passed_over(self) -> None:
        self.of_an_earlier_join(lambda first: released(first, Cause.FULL), between=True)

    def test_an_answer_to_an_earlier_join_on_the_same_connection_is_passed_over(self) -> None:
        self.of_an_earlier_join(lambda first: described(first, b"of the first"), between=False)

    def test_an_answer_after_a_refusal_and_a_second_one_are_passed_over(self) -> None:
        server = StandInServer("s0", 0, silence)
        viewer = self.node(server).caller()
        viewer.set_up(ID)
        [sent] = eventually(lambda: server.of(MessageKind.SET_UP), "a set-up")
        self.heard(server, server.sockets[0], released(sent, Cause.FULL) + answered(sent))
        assert viewer.answer().status == 453
        viewer.set_up(OTHER)
        sent = eventually(lambda: server.of(MessageKind.SET_UP)[1:], "a set-up")[0]
        first, second = described(sent, b"the first"), described(sent, b"a second")
        self.heard(server, server.sockets[-1], first + second + released(sent, Cause.FULL) + second)
        answer = viewer.answer()
        assert (answer.status, answer.body) == (200, b"the first")
        assert viewer.request().fields["reason"] == "cause=41"
        viewer.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert viewer.answer().fields["cseq"] == "3"  # and nothing else came before it

    def test_a_release_that_meets_a_closed_connection_goes_out_on_the_next(self) -> None:
        peer = Peer()
        front = self.front(peer.row())
        front.caller.set_up(ID)
        far = peer.accept()
        far.sendall(answered(read_one(far)))
        assert front.caller.answer().status == 200
        with front.manager.lock:
            sock = front.link().sock
            assert sock is not None
            far.close()
            eventually(lambda: waits(sock, POLLRDHUP), "the end of the connection")
            client_requests.tear_down(front.manager, front.viewer, bytes.fromhex(ID))
        eventually(lambda: not front.manager.servers["s0"].links, "the end of the connection")
        with front.manager.lock:
            front.manager.run_maintenance()
        sent = read_one(peer.accept())
        assert (sent.kind, sent.session.hex(), sent.cause) == (MessageKind.RELEASE, ID, Cause.OK)


class HandOverTest(RigTest):
    """A set-up for what plays already, at a server that this front node can't be sure of."""

    def hand_over(self, node: NodeRig, server: str) -> Caller:
        viewer = node.caller()
        viewer.set_up(ID, routing=f"home:0;copies:4;top:2;at:{server}")
        viewer.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        assert viewer.answer().fields["cseq"] == "3"  # it has been taken in, and wants no answer
        return viewer

    def test_at_a_server_that_no_list_names_it_is_released(self) -> None:
        viewer = self.hand_over(self.node(StandInServer("s0", 0)), "s9")
        viewer.sock.settimeout(8)  # the page's limit on an end that can't be told
        release = viewer.request()
        assert (release.method, release.fields["session"]) == ("TEARDOWN", ID)
        assert release.fields["reason"] == "cause=41"

    def late(self) -> tuple[NodeRig, StandInServer, Caller]:
        """Handed over at a server of which the list tells only then."""
        node, server = self.node(StandInServer("s0", 0)), StandInServer("s9", 1)
        viewer = self.hand_over(node, "s9")
        return node, server, viewer

    def test_before_its_server_is_on_the_list_it_is_held_until_then(self) -> None:
        node, server, viewer = self.late()
        node.board.notices.append(notice(2, [server.row]))
        eventually(lambda: server.sockets, "a connection for what stands there")
        server.say(isup.release(bytes.fromhex(ID), Cause.OK))
        assert viewer.request().fields["reason"] == "cause=16"

    def test_ended_before_its_server_is_on_the_list_it_ends_there_too(self) -> None:
        node, server, viewer = self.late()
        viewer.tear_down(ID)
        assert viewer.answer().status == 200
        node.board.notices.append(notice(2, [server.row]))
        [sent] = eventually(lambda: server.of(MessageKind.RELEASE), "its release")
        assert (sent.session.hex(), sent.cause) == (ID, Cause.OK)

    def test_what_another_server_says_of_it_counts_for_nothing(self) -> None:
        other, server = StandInServer("s0", 0, silence), StandInServer("s1", 1)
        node = self.node(other, server)
        viewer = node.caller()
        viewer.set_up(OTHER, routing="home:0;copies:1;top:2")
        eventually(lambda: other.of(MessageKind.SET_UP), "a connection to the other server")
        early = isup.release(bytes.fromhex(ID), Cause.RESET)
        other.say(early + isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0")))
        eventually(lambda: other.of(MessageKind.KEEPALIVE_ANSWER), "the answer to a test behind it")
        viewer = self.hand_over(node, "s1")
        eventually(lambda: server.sockets, "a connection for what stands there")
        server.say(isup.release(bytes.fromhex(ID), Cause.OK))
        assert viewer.request().fields["reason"] == "cause=16"

    def test_its_end_is_not_crowded_out_by_notes_that_came_before(self) -> None:
        server = StandInServer("s0", 0, silence)
        node = self.node(server)
        viewer = node.caller()
        viewer.set_up(OTHER)
        eventually(lambda: server.of(MessageKind.SET_UP), "a connection")
        note = isup.message(
            MessageKind.SESSION_REPORT,
            bytes.fromhex(ID),
            (Parameter.REPORT_NAME, b"nic"),
            (Parameter.REPORT_VALUE, b"0.5"),
        )
        test = isup.message(MessageKind.KEEPALIVE, bytes(8), (Parameter.CAUSE, b"\0"))
        server.say(
            note * server_messages.MAX_EARLY_MESSAGES + isup.release(bytes.fromhex(ID), Cause.OK) + test
        )
        eventually(lambda: server.of(MessageKind.KEEPALIVE_ANSWER), "the answer to a test behind them")
        viewer.set_up(ID, routing="home:0;copies:4;top:2;at:s0")
        assert viewer.request().fields["reason"] == "cause=16"


if __name__ == "__main__":
    unittest.main()
