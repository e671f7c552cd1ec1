"""What stands behind the node's lock, without a process or a network."""

from __future__ import annotations

import errno
import socket
import unittest
from collections import deque
from enum import Enum
from typing import Any
from unittest import mock

from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.interface import Outcome
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.isup.reader import Reader
from fennelcove.log import silent
from fennelcove.node import (
    client_requests,
    config,
    pending_notifications,
    server_messages,
    server_monitor,
    server_pool,
    session_manager,
    session_states,
    state_dump,
)
from fennelcove.node.address import Address
from fennelcove.node.client_connection import ClientConnection, ConnectionTable
from fennelcove.node.config import ConfigError
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError
from fennelcove.node.model import ConnectionState, Server, Session, SessionState
from fennelcove.node.server_connection import ServerConnection
from fennelcove.rtsp import messages as rtsp

from tests.node_harness import SETTINGS, notice

ID = bytes.fromhex("9b1f03aa5c7e2d41")
HOST = {
    "host": "s0",
    "dial": "127.0.0.1:9",
    "site": "here",
    "class": "kind",
    "block": 0,
    "health": "up",
    "share": 1,
    "born_ms": 0,
}
TREE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "seed": "0a",
    "limits": {"sockets": 60},
    "board": "127.0.0.1:2",
    "known": {"rev": 1, "notices": [notice(1, [HOST], whole=True)]},
    "settings": SETTINGS,
}


HERE = Address("127.0.0.1", 9)


class Said(ClientConnection):
    """A viewer's connection that writes down what it is sent."""

    def __init__(self, made: session_manager.SessionManager, peer: str = "127.0.0.1") -> None:
        super().__init__(made, socket.socket(), peer)
        self.said: list[bytes] = []

    def send(self, data: bytes) -> bool:
        self.said.append(data)
        return True


class Cut(Said):
    """A viewer's connection that breaks under whatever is sent."""

    def send(self, data: bytes) -> bool:
        self.is_closed = True
        return False


def sizes(root: object) -> dict[str, int]:
    """How much each table holds that can be reached from here, by the way to it; keys count as one."""
    found: dict[str, int] = {}
    seen: set[int] = set()
    todo: list[tuple[str, object]] = [("desk", root)]
    while todo:
        path, item = todo.pop()
        if id(item) in seen or isinstance(item, str | bytes | int | float | Enum):
            continue
        seen.add(id(item))
        if isinstance(item, dict | list | deque | set | tuple):
            if not isinstance(item, tuple) and getattr(item, "maxlen", None) is None:  # else it is bounded
                found[path] = found.get(path, 0) + len(item)
            todo.extend((path + "[]", inner) for inner in (item.values() if isinstance(item, dict) else item))
            todo.extend((path + "[key]", inner) for inner in (item if isinstance(item, dict) else ()))
        elif type(item).__module__.startswith("fennelcove"):
            names = [*getattr(item, "__dict__", ()), *getattr(type(item), "__slots__", ())]
            todo.extend((f"{path}.{name}", getattr(item, name, None)) for name in names)
    return found


class DeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(wall_start_us=1_000_000_000)
        self.timers = Timers(self.clock)
        self.desk = session_manager.SessionManager(config.parse(TREE), self.clock, self.timers, silent)
        for told in self.desk.config.initial_batch.events:
            self.desk.on_discovery_event(told)
        self.viewer = Said(self.desk)
        self.addCleanup(self.viewer.sock.close)

    def link(self) -> tuple[ServerConnection, socket.socket]:
        """An open link to the one server, and the server's end of it."""
        made = ServerConnection(self.desk, self.desk.servers["s0"])
        made.sock, far = socket.socketpair()
        made.state = ConnectionState.OPEN
        self.addCleanup(made.sock.close)
        self.addCleanup(far.close)
        return made, far

    def set_up(self) -> Session:
        self.ask()
        return self.desk.sessions[ID]

    def ask(self) -> None:
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        client_requests.on_client_message(
            self.desk, self.viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
        )

    def heard(self, far: socket.socket) -> list[Message]:
        reader, found = Reader(), list[Message]()
        reader.feed(far.recv(65_536))
        while (message := reader.next()) is not None:
            found.append(message)
        return found

    def pass_time(self, by_us: int) -> None:
        self.clock.advance(by_us)
        for call in self.timers.ready():
            call()

    def dialling(self) -> tuple[ServerConnection, socket.socket]:
        """A set-up that waits for its link to be dialled, by hand, to a listener of ours."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.desk.servers["s0"].address = Address("127.0.0.1", listener.getsockname()[1])
        with mock.patch("threading.Thread"):
            self.ask()
        [link] = self.desk.servers["s0"].links
        return link, listener

    def told(self, rev: int, *rows: dict[str, Any]) -> None:
        """The board tells of servers."""
        for event in DiscoveryBatch.parse({"rev": rev, "notices": [notice(rev, list(rows))]}).events:
            self.desk.on_discovery_event(event)

    def test_a_dial_that_outlasts_a_drain_carries_no_set_up(self) -> None:
        # Guards the grace after a list change where the settings let a dial take longer than it.
        link, listener = self.dialling()
        dial = f"127.0.0.1:{listener.getsockname()[1]}"
        self.told(2, {**HOST, "dial": dial, "health": "draining"})
        sock = link._connect()
        assert sock is not None
        self.addCleanup(sock.close)
        far, _ = listener.accept()
        self.addCleanup(far.close)
        sock.shutdown(socket.SHUT_WR)
        assert far.recv(4096) == b""
        [answer] = self.viewer.said
        assert answer.startswith(b"RTSP/1.0 453 ")
        assert self.desk.servers["s0"].outcome_counts == {Outcome.NOT_SENT: 1}

    def test_a_dial_that_is_in_time_carries_its_set_up(self) -> None:
        link, listener = self.dialling()
        sock = link._connect()
        assert sock is not None
        self.addCleanup(sock.close)
        far, _ = listener.accept()
        self.addCleanup(far.close)
        assert [message.kind for message in self.heard(far)] == [MessageKind.SET_UP]

    def test_a_dial_without_a_descriptor_leaves_nothing_behind(self) -> None:
        # Its link stayed in the tables as one that dials: no other was ever opened to its server.
        link, _ = self.dialling()
        with mock.patch.object(socket, "socket", side_effect=OSError(errno.EMFILE, "too many open files")):
            assert link._connect() is None
        assert not (self.desk.servers["s0"].links or self.desk.server_connection_count)
        assert self.desk.servers["s0"].outcome_counts == {Outcome.NOT_SENT: 1}

    def test_a_dial_that_was_given_up_counts_until_it_ends(self) -> None:
        # It holds its descriptor: with silent servers, dials went past the node's part of the descriptors.
        link, listener = self.dialling()
        self.pass_time(8_000_000)
        assert link.state is ConnectionState.CLOSED
        assert self.desk.server_connection_count == 1
        assert link._connect() is None
        assert self.desk.server_connection_count == 0

    def test_a_link_ends_before_the_server_ends_it_and_stays_for_what_stands(self) -> None:
        # A set-up that met the server's own close would be a lost connection, and shut its server.
        link, _ = self.link()
        self.clock.advance(44_000_000)
        self.desk.run_maintenance()
        assert link.state is ConnectionState.OPEN
        self.clock.advance(2_000_000)
        self.desk.run_maintenance()
        assert link.state is ConnectionState.CLOSED

    def test_a_link_behind_which_something_stands_is_tested_and_closed_when_silent(self) -> None:
        # A machine that vanished says nothing: its link looks open for good, and its viewers would wait.
        link, far = self.link()
        self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        self.clock.advance(server_monitor.PROBE_AFTER_US + 1)
        self.desk.run_maintenance()
        assert [message.kind for message in self.heard(far)] == [MessageKind.SET_UP, MessageKind.KEEPALIVE]
        self.clock.advance(server_monitor.PROBE_TIMEOUT_US + 1)
        with mock.patch("threading.Thread"):
            self.desk.run_maintenance()
        assert link.state is ConnectionState.CLOSED
        assert self.desk.servers["s0"].connection_loss.is_suspected

    def test_servers_that_may_be_gone_are_dialled_before_the_others_that_wait(self) -> None:
        # Each waited a whole turn for each of two dials, and its clients heard of the end after 8 s.
        waiting = [Server(f"s{i}", Address("127.0.0.1", 9), last_closed_us=i) for i in range(5)]
        waiting[2].connection_loss.on_keepalive_timeout()
        waiting[4].is_interrupted = True
        dialled: list[str] = []
        with mock.patch.object(ServerConnection, "start", lambda link: dialled.append(link.server.name)):
            self.desk.pool.connect_waiting(waiting)
        assert dialled == ["s2", "s4", "s0", "s1", "s3"]

    def test_a_server_that_has_just_reset_its_connection_is_dialled_within_a_second_by_a_full_node(
        self,
    ) -> None:
        # It waited a whole turn of all servers, was back by then, and what had been cut was never released.
        connections = [
            ServerConnection(self.desk, Server(f"s{i}", HERE))
            for i in range(self.desk.max_server_connections)
        ]
        for connection in connections:
            connection.state = ConnectionState.OPEN
            connection.server.established[mock.Mock()] = None
        self.clock.advance(server_pool.MIN_CONNECTION_AGE_US)
        reset = Server("reset", HERE, is_interrupted=True)
        others = [Server(f"other{i}", HERE) for i in range(100)]
        dialled: list[str] = []
        with mock.patch.object(ServerConnection, "start", lambda link: dialled.append(link.server.name)):
            self.desk.pool.connect_waiting([*others, reset])
        assert dialled == ["reset"]

    def test_what_is_held_already_may_be_named_again(self) -> None:
        link, _ = self.link()
        sub = self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        said = len(self.viewer.said)
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded"}
        fields["routing-data"] = "home:0;copies:4;top:2;at:s0"
        client_requests.on_client_message(
            self.desk, self.viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"")
        )
        assert self.desk.sessions[ID] is sub
        assert (sub.state, len(self.viewer.said)) == (SessionState.ESTABLISHED, said)

    def test_a_join_that_can_t_be_timed_is_not_sent(self) -> None:
        # Without its limit it would outlast its viewer on a server that says nothing.
        _, far = self.link()
        with mock.patch("fennelcove.clock.timers.MAX_TIMERS", 0):
            self.ask()
        [answer] = self.viewer.said
        assert answer.startswith(b"RTSP/1.0 453 ")
        far.setblocking(False)
        with self.assertRaises(BlockingIOError):
            far.recv(1)

    def test_what_was_answered_to_a_broken_connection_is_released(self) -> None:
        # It stood on, and filled the server's link for a viewer who had never heard of it.
        link, far = self.link()
        self.viewer = Cut(self.desk)
        self.addCleanup(self.viewer.sock.close)
        self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        assert [message.kind for message in self.heard(far)] == [MessageKind.SET_UP, MessageKind.RELEASE]
        assert not (self.desk.sessions or self.desk.policy.sessions or self.desk.servers["s0"].established)

    def test_an_end_with_no_connection_open_waits_for_the_next(self) -> None:
        # After a reset its viewer was never told, and waited for good.
        link, _ = self.link()
        self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        self.viewer.is_closed = True
        client_requests.on_client_gone(self.desk, self.viewer)
        self.desk.on_server_message(
            link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause.OK])})
        )
        test, fresh = Said(self.desk), Said(self.desk)
        for viewer, method in ((test, "OPTIONS"), (fresh, "TEARDOWN")):
            self.addCleanup(viewer.sock.close)
            fields = {"cseq": "2", "session": "00000000000000a1"}
            client_requests.on_client_message(
                self.desk, viewer, rtsp.Request(method, "rtsp://media/x", fields, b"")
            )
        assert len(test.said) == 1
        release, _ = fresh.said
        assert release.startswith(b"TEARDOWN ") and ID.hex().encode() in release
        assert not self.desk.connections.pending_notifications.by_peer

    def test_what_is_owed_is_bounded_and_forgiven(self) -> None:
        table, most = self.desk.connections, pending_notifications.MAX_NOTIFICATIONS
        assert most >= client_requests.MAX_SESSIONS
        kept = [table.defer(str(number % 100), b"x", self.desk.now_us()) for number in range(most + 1)]
        assert kept == [True] * most + [False]
        assert sum(map(len, table.pending_notifications.by_peer.values())) == most
        self.clock.advance(pending_notifications.NOTIFICATION_TTL_US + 1)
        self.desk.run_maintenance()
        assert not table.pending_notifications.by_peer
        assert table.defer("1", b"x", self.desk.now_us())

    def test_the_releases_of_all_sessions_of_one_address_are_kept(self) -> None:
        # Past 256 of one address, or 64 addresses, each one more was dropped, and its client waited for good.
        for number in range(300):
            assert self.desk.connections.defer("127.0.0.1", b"%d" % number, self.desk.now_us())
            assert self.desk.connections.defer(f"127.0.1.{number}", b"x", self.desk.now_us())
        viewer = Said(self.desk)
        self.desk.connections.deliver(viewer)
        assert viewer.said == [b"%d" % number for number in range(300)]

    def test_no_table_grows_with_what_has_passed(self) -> None:
        # Memory that grows is priced. Each round brings new sessions, servers and peers, and ends them all.
        def everything() -> None:
            rows = [{**HOST, "host": f"s{self.desk.context.last_us}-{number}"} for number in range(4)]
            rev = self.desk.context.last_us
            self.told(rev, *rows)
            for number, end in enumerate((Cause.OK, Cause.RESET, Cause.FULL, Cause.ERROR, None)):
                id = (self.desk.context.last_us * 8 + number).to_bytes(8, "big")
                viewer = Said(self.desk, f"peer {self.desk.context.last_us}")
                self.addCleanup(viewer.sock.close)
                self.desk.connections.add(viewer)
                fields = {"cseq": "1", "session": id.hex(), "call-kind": "recorded", "answer-within": "8000"}
                fields["routing-data"] = "home:0;copies:4;top:2"
                with mock.patch("threading.Thread"):
                    client_requests.on_client_message(
                        self.desk, viewer, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"")
                    )
                    self.say(id, number, end)
                self.desk.on_server_message(
                    self.link()[0], Message(MessageKind.SESSION_REPORT, bytes(reversed(id)), {})
                )
                viewer.is_closed = number % 2 == 0
                self.desk.connections.remove(viewer)
                client_requests.on_client_gone(self.desk, viewer)
                for sub in list(self.desk.sessions.values()):
                    self.desk.on_attempt_completed(sub, Outcome.SERVED, None)
            self.told(rev + 1, *({**row, "health": "removed"} for row in rows))
            self.pass_time(20_000_000)
            self.desk.run_maintenance()
            for server in self.desk.servers.values():
                for link in list(server.links):
                    link.close(Outcome.CONNECTION_LOST)
                    link._on_dial_finished()

        for _ in range(20):
            everything()
        before = sizes(self.desk)
        for _ in range(20):
            everything()
        assert {
            path: (before.get(path), n) for path, n in sizes(self.desk).items() if n > before.get(path, 0)
        } == {}

    def say(self, id: bytes, number: int, end: Cause | None) -> None:
        """A server's words on a join that is out: an answer and its end, or an end alone, or nothing."""
        sub = self.desk.sessions.get(id)
        while (
            sub is not None and sub.attempt is not None and sub.attempt.link is not None and end is not None
        ):
            link = sub.attempt.link
            if number < 2:
                self.desk.on_server_message(
                    link, Message(MessageKind.ANSWER, id, {Parameter.DESCRIPTION: b"x"})
                )
            self.desk.on_server_message(
                link, Message(MessageKind.RELEASE, id, {Parameter.CAUSE: bytes([end])})
            )
            sub = self.desk.sessions.get(id)

    def test_a_join_whose_wait_is_over_is_given_up_on_the_wire_first(self) -> None:
        link, far = self.link()
        sub = self.set_up()
        assert sub.state is SessionState.ATTEMPTING
        self.pass_time(8_000_000)
        sent, given_up = self.heard(far)
        assert (sent.kind, given_up.kind, given_up.cause) == (
            MessageKind.SET_UP,
            MessageKind.RELEASE,
            Cause.OK,
        )
        assert link.state is ConnectionState.CLOSED
        assert self.desk.servers["s0"].outcome_counts == {Outcome.NO_ANSWER: 1}
        [answer] = self.viewer.said
        assert answer.startswith(b"RTSP/1.0 453 ")
        assert not self.desk.sessions

    def test_an_answer_after_its_time_reaches_nobody(self) -> None:
        link, _ = self.link()
        self.set_up()
        self.pass_time(8_000_000)
        late = Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"late"})
        self.desk.on_server_message(link, late)
        assert len(self.viewer.said) == 1
        assert not self.desk.messages.early

    def test_an_answer_without_its_description_is_none(self) -> None:
        link, _ = self.link()
        self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {}))
        assert link.state is ConnectionState.CLOSED
        assert not any(said.startswith(b"RTSP/1.0 200") for said in self.viewer.said)

    def test_a_fault_of_the_module_answers_its_viewer(self) -> None:
        def broken(*_: object) -> None:
            raise KeyError("s0")

        self.desk.policy.handle = broken  # type: ignore[method-assign]
        self.ask()
        [answer] = self.viewer.said
        assert answer.startswith(b"RTSP/1.0 500 ")

    def test_early_messages_are_bounded_and_forgotten(self) -> None:
        link, _ = self.link()
        for number in range(server_messages.MAX_EARLY_SESSIONS + 10):
            for _ in range(server_messages.MAX_EARLY_MESSAGES + 1 if number == 0 else 1):
                self.desk.on_server_message(
                    link, Message(MessageKind.SESSION_REPORT, number.to_bytes(8, "big"), {})
                )
        assert len(self.desk.messages.early) == server_messages.MAX_EARLY_SESSIONS
        assert len(self.desk.messages.early[bytes(8)]) == server_messages.MAX_EARLY_MESSAGES
        self.clock.advance(server_messages.EARLY_MESSAGE_US + 1)
        self.desk.run_maintenance()
        assert not self.desk.messages.early

    def test_links_stay_within_their_part_of_the_descriptors(self) -> None:
        links = [self.link()[0] for _ in range(self.desk.max_server_connections)]
        for link in links:
            link.dispatched_session = Session(bytes(8), "", "", "", "", b"", None, "")
        self.ask()
        assert self.desk.server_connection_count == self.desk.max_server_connections
        assert self.desk.servers["s0"].outcome_counts == {Outcome.NOT_SENT: 1}

    def test_nothing_is_left_of_what_is_over(self) -> None:
        link, _ = self.link()
        sub = self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        assert sub in self.viewer.established_sessions
        self.desk.on_server_message(
            link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause.OK])})
        )
        server = self.desk.servers["s0"]
        assert not (
            self.desk.sessions
            or self.viewer.established_sessions
            or self.viewer.open_sessions
            or server.established
        )
        assert not self.desk.policy.sessions

    def test_a_gone_server_is_forgotten_with_its_links(self) -> None:
        link, _ = self.link()
        gone = DiscoveryBatch.parse({"rev": 2, "notices": [notice(2, [{**HOST, "health": "removed"}])]})
        self.clock.advance(5_000_000)
        for told in gone.events:
            self.desk.on_discovery_event(told)
        assert not self.desk.servers
        assert link.state is ConnectionState.CLOSED

    def test_a_successor_at_its_address_is_not_taken_for_a_vanished_server(self) -> None:
        link, _ = self.link()
        sub = self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        rows = [{**HOST, "health": "removed"}, {**HOST, "host": "s1"}]
        for told in DiscoveryBatch.parse({"rev": 2, "notices": [notice(2, rows)]}).events:
            self.desk.on_discovery_event(told)
        self.desk.run_maintenance()
        assert sub.state is SessionState.ESTABLISHED  # its link stands yet
        link.close(Outcome.CONNECTION_LOST)
        self.desk.run_maintenance()
        assert sub.state is SessionState.CLOSED
        assert b"Reason: cause=41" in self.viewer.said[-1]
        assert self.desk.server_connection_count == 0

    def standing_without_a_link(self) -> tuple[Server, Session]:
        """A subscription that stands at a server which was heard and whose one link has just broken."""
        link, _ = self.link()
        sub = self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        server = self.desk.servers["s0"]
        server.connection_loss.on_received(self.desk.now_us())
        link.close(Outcome.CONNECTION_LOST)
        return server, sub

    def test_a_server_that_is_only_cut_off_keeps_what_stands_there(self) -> None:
        # Two dials that timed out passed for a death: 571 viewers of a zone that was cut off were sent away.
        server, sub = self.standing_without_a_link()
        server.next_dial_us = 1 << 62
        for _ in range(3):
            self.desk.on_dial_failed(server, refused=False)
        server.next_dial_us = 1 << 62
        self.clock.advance(6_900_000)
        self.desk.run_maintenance()
        assert sub.state is SessionState.ESTABLISHED
        self.clock.advance(200_000)
        self.desk.run_maintenance()
        assert sub.state is SessionState.CLOSED

    def test_a_server_whose_machine_refuses_is_gone(self) -> None:
        server, sub = self.standing_without_a_link()
        self.desk.on_dial_failed(server, refused=True)
        assert sub.state is SessionState.ESTABLISHED
        self.desk.on_dial_failed(server, refused=True)
        assert sub.state is SessionState.CLOSED

    def test_a_server_off_the_list_that_is_silent_is_gone(self) -> None:
        server, sub = self.standing_without_a_link()
        for _ in range(2):
            self.desk.on_dial_failed(server, refused=False)
        server.next_dial_us = 1 << 62
        assert sub.state is SessionState.ESTABLISHED
        for told in DiscoveryBatch.parse(
            {"rev": 2, "notices": [notice(2, [{**HOST, "health": "removed"}])]}
        ).events:
            self.desk.on_discovery_event(told)
        self.desk.run_maintenance()
        assert sub.state is SessionState.CLOSED

    def test_a_node_that_ends_answers_what_is_open(self) -> None:
        _, far = self.link()
        self.set_up()
        assert self.desk.shut_down() == 1
        [answer] = self.viewer.said
        assert answer.startswith(b"RTSP/1.0 500 ")
        assert [message.kind for message in self.heard(far)] == [MessageKind.SET_UP, MessageKind.RELEASE]

    def test_a_move_is_told_to_the_viewer_and_ends_at_the_server(self) -> None:
        link, far = self.link()
        sub = self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        session_states.apply_event(self.desk, sub, session_states.SessionEvent.MIGRATED)
        assert self.viewer.said[-1].startswith(b"REDIRECT rtsp://media/7f RTSP/1.0")
        assert [message.kind for message in self.heard(far)] == [MessageKind.SET_UP, MessageKind.RELEASE]
        assert not self.desk.sessions

    def test_a_release_finds_the_next_link(self) -> None:
        link, _ = self.link()
        sub = self.set_up()
        self.desk.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        link.close(Outcome.CONNECTION_LOST)
        session_states.apply_event(self.desk, sub, session_states.SessionEvent.CLIENT_GONE)
        assert list(self.desk.servers["s0"].unsent) == [isup.release(ID, Cause.OK)]

    def test_the_trace_sets_belief_beside_what_was_seen(self) -> None:
        link, _ = self.link()
        self.set_up()
        self.desk.on_server_message(
            link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause.FULL])})
        )
        [line] = state_dump.server_states(self.desk)
        assert (line["server"], line["health"], line["seen"]) == ("s0", "SHUT", {"REJECTED": 1})


class ConnectionTableTest(unittest.TestCase):
    def test_those_that_never_spoke_go_first_and_who_carries_something_stays(self) -> None:
        made = session_manager.SessionManager(
            config.parse(TREE), ManualClock(), Timers(ManualClock()), silent
        )
        viewers = [Said(made, str(i)) for i in range(4)]
        for viewer in viewers:
            self.addCleanup(viewer.sock.close)
        table = ConnectionTable(3)
        old, busy, mute, fresh = viewers
        old.has_sent_message = busy.has_sent_message = True
        busy.open_sessions[Session(bytes(8), "", "", "", "", b"", None, "")] = None
        assert all(table.add(viewer) for viewer in (old, busy, mute))
        assert table.add(fresh)
        assert list(table.connections) == [old, busy, fresh]
        assert table.find_connection("0") is old
        assert table.find_connection("2") is None


class ConfigTest(unittest.TestCase):
    def test_what_can_t_be_used_is_refused_whole(self) -> None:
        for change in (
            {"listen": "nowhere"},
            {"board": None},
            {"settings": {}},
            {"known": {"rev": "x", "notices": []}},
            {"known": {"rev": 1, "notices": [notice(1, [{**HOST, "health": "unheard of"}])]}},
            {"known": {"rev": 1, "notices": [notice(1, [{**HOST, "dial": "x"}])]}},
        ):
            with (
                self.subTest(change),
                self.assertRaises((ConfigError, ValueError, DiscoveryError, config.PlatformSettingsError)),
            ):
                config.parse({**TREE, **change})
        with self.assertRaises(ConfigError):
            config.load("/nowhere/config.json")
