"""The session manager and its tables, without a process or a network."""

from __future__ import annotations

import errno
import socket
import unittest
from collections import deque
from enum import Enum
from unittest import mock

from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.interface import Outcome
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter
from fennelcove.log import silent
from fennelcove.node import (
    client_requests,
    config,
    handovers,
    pending_notifications,
    server_messages,
    server_monitor,
    server_pool,
    session_admission,
    session_manager,
    session_states,
    state_dump,
)
from fennelcove.node.address import Address
from fennelcove.node.client_connection import EVICTION_GRACE_US, ConnectionTable
from fennelcove.node.config import ConfigError
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError
from fennelcove.node.model import ConnectionState, Server, Session, SessionState
from fennelcove.node.server_connection import ServerConnection
from fennelcove.rtsp import messages as rtsp

from tests.node_harness import notice
from tests.session_manager_harness import (
    HOST_ENTRY,
    ID,
    NODE_CONFIG,
    SERVER_ADDRESS,
    BrokenConnection,
    RecordingConnection,
    SessionManagerTestCase,
)


def collection_sizes(root: object) -> dict[str, int]:
    """The size of each collection that is reachable from an object, by its path; `[]` stands for any key."""
    sizes: dict[str, int] = {}
    seen: set[int] = set()
    pending: list[tuple[str, object]] = [("manager", root)]
    while pending:
        path, value = pending.pop()
        if id(value) in seen or isinstance(value, str | bytes | int | float | Enum):
            continue
        seen.add(id(value))
        if isinstance(value, dict | list | deque | set | tuple):
            if not isinstance(value, tuple) and getattr(value, "maxlen", None) is None:  # others are bounded
                sizes[path] = sizes.get(path, 0) + len(value)
            pending.extend(
                (path + "[]", element) for element in (value.values() if isinstance(value, dict) else value)
            )
            pending.extend(
                (path + "[key]", element) for element in (value if isinstance(value, dict) else ())
            )
        elif type(value).__module__.startswith("fennelcove"):
            names = [*getattr(value, "__dict__", ()), *getattr(type(value), "__slots__", ())]
            pending.extend((f"{path}.{name}", getattr(value, name, None)) for name in names)
    return sizes


class SessionManagerTest(SessionManagerTestCase):
    def test_a_connection_established_after_a_drain_carries_no_set_up(self) -> None:
        # A dial may take longer than the grace period after a list change, if the settings permit it.
        link, listener = self.start_dial()
        dial = f"127.0.0.1:{listener.getsockname()[1]}"
        self.apply_notice(2, {**HOST_ENTRY, "dial": dial, "health": "draining"})
        sock = link._connect()
        assert sock is not None
        self.addCleanup(sock.close)
        server_sock, _ = listener.accept()
        self.addCleanup(server_sock.close)
        sock.shutdown(socket.SHUT_WR)
        assert server_sock.recv(4096) == b""
        [answer] = self.connection.sent
        assert answer.startswith(b"RTSP/1.0 453 ")
        assert self.manager.servers["s0"].outcome_counts == {Outcome.NOT_SENT: 1}

    def test_a_connection_established_in_time_carries_its_set_up(self) -> None:
        link, listener = self.start_dial()
        sock = link._connect()
        assert sock is not None
        self.addCleanup(sock.close)
        server_sock, _ = listener.accept()
        self.addCleanup(server_sock.close)
        assert [message.kind for message in self.receive_messages(server_sock)] == [MessageKind.SET_UP]

    def test_a_dial_without_a_descriptor_leaves_no_connection_behind(self) -> None:
        # Its connection stayed in the tables as dialling, so that no other was ever opened to its server.
        link, _ = self.start_dial()
        with mock.patch.object(socket, "socket", side_effect=OSError(errno.EMFILE, "too many open files")):
            assert link._connect() is None
        assert not (self.manager.servers["s0"].links or self.manager.server_connection_count)
        assert self.manager.servers["s0"].outcome_counts == {Outcome.NOT_SENT: 1}

    def test_an_abandoned_dial_is_counted_until_it_ends(self) -> None:
        # It has a descriptor: with silent servers, dials exceeded the servers' share of the descriptors.
        link, listener = self.start_dial()
        self.advance_time(8_000_000)
        assert link.state is ConnectionState.CLOSED
        assert self.manager.server_connection_count == 1
        assert link._connect() is None
        assert self.manager.server_connection_count == 0

    def test_an_idle_connection_is_closed_before_the_server_closes_it(self) -> None:
        # A set-up in transit at the server's own close would be a lost connection, and suspend the server.
        link, _ = self.link()
        self.clock.advance(44_000_000)
        self.manager.run_maintenance()
        assert link.state is ConnectionState.OPEN
        self.clock.advance(2_000_000)
        self.manager.run_maintenance()
        assert link.state is ConnectionState.CLOSED

    def test_a_connection_with_established_sessions_is_probed_and_closed_without_an_answer(self) -> None:
        # A lost machine sends nothing: its connection looks open forever, and its clients would wait.
        link, server_sock = self.link()
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        self.clock.advance(server_monitor.PROBE_AFTER_US + 1)
        self.manager.run_maintenance()
        assert [message.kind for message in self.receive_messages(server_sock)] == [
            MessageKind.SET_UP,
            MessageKind.KEEPALIVE,
        ]
        self.clock.advance(server_monitor.PROBE_TIMEOUT_US + 1)
        with mock.patch("threading.Thread"):
            self.manager.run_maintenance()
        assert link.state is ConnectionState.CLOSED
        assert self.manager.servers["s0"].connection_loss.is_suspected

    def test_servers_that_may_have_ended_are_dialled_before_others(self) -> None:
        # Each waited a full rotation for each of two dials, so that its clients were notified after 8 s.
        waiting = [Server(f"s{i}", Address("127.0.0.1", 9), last_closed_us=i) for i in range(5)]
        waiting[2].connection_loss.on_keepalive_timeout()
        waiting[4].is_interrupted = True
        dialled: list[str] = []
        with mock.patch.object(ServerConnection, "start", lambda link: dialled.append(link.server.name)):
            self.manager.pool.connect_waiting(waiting)
        assert dialled == ["s2", "s4", "s0", "s1", "s3"]

    def test_a_server_that_has_just_reset_its_connection_is_dialled_within_a_second_at_the_limit(
        self,
    ) -> None:
        # It waited for a full rotation and had restarted by then, so its lost sessions were never released.
        connections = [
            ServerConnection(self.manager, Server(f"s{i}", SERVER_ADDRESS))
            for i in range(self.manager.max_server_connections)
        ]
        for connection in connections:
            connection.state = ConnectionState.OPEN
            connection.server.established[mock.Mock()] = None
        self.clock.advance(server_pool.MIN_CONNECTION_AGE_US)
        reset = Server("reset", SERVER_ADDRESS, is_interrupted=True)
        others = [Server(f"other{i}", SERVER_ADDRESS) for i in range(100)]
        dialled: list[str] = []
        with mock.patch.object(ServerConnection, "start", lambda link: dialled.append(link.server.name)):
            self.manager.pool.connect_waiting([*others, reset])
        assert dialled == ["reset"]

    def test_an_established_session_may_be_handed_over_again(self) -> None:
        link, _ = self.link()
        session = self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        sent_count = len(self.connection.sent)
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded"}
        fields["routing-data"] = "home:0;copies:4;top:2;at:s0"
        client_requests.on_client_message(
            self.manager, self.connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"")
        )
        assert self.manager.sessions[ID] is session
        assert (session.state, len(self.connection.sent)) == (SessionState.ESTABLISHED, sent_count)

    def test_an_attempt_without_a_timer_is_not_sent(self) -> None:
        # Without its timeout it would outlast its client at a server that sends nothing.
        _, server_sock = self.link()
        with mock.patch("fennelcove.clock.timers.MAX_TIMERS", 0):
            self.request_session()
        [answer] = self.connection.sent
        assert answer.startswith(b"RTSP/1.0 453 ")
        server_sock.setblocking(False)
        with self.assertRaises(BlockingIOError):
            server_sock.recv(1)

    def test_a_session_whose_answer_cannot_be_sent_is_released(self) -> None:
        # It stayed established and loaded the server's link, though its client had never been notified.
        link, server_sock = self.link()
        self.connection = BrokenConnection(self.manager)
        self.addCleanup(self.connection.sock.close)
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        assert [message.kind for message in self.receive_messages(server_sock)] == [
            MessageKind.SET_UP,
            MessageKind.RELEASE,
        ]
        assert not (
            self.manager.sessions or self.manager.policy.sessions or self.manager.servers["s0"].established
        )

    def test_an_end_without_an_open_connection_is_notified_on_the_next(self) -> None:
        # After a reset its client was never notified, and waited forever.
        link, _ = self.link()
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        self.connection.is_closed = True
        client_requests.on_client_gone(self.manager, self.connection)
        self.manager.on_server_message(
            link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause.OK])})
        )
        probe, new = RecordingConnection(self.manager), RecordingConnection(self.manager)
        for connection, method in ((probe, "OPTIONS"), (new, "TEARDOWN")):
            self.addCleanup(connection.sock.close)
            fields = {"cseq": "2", "session": "00000000000000a1"}
            client_requests.on_client_message(
                self.manager, connection, rtsp.Request(method, "rtsp://media/x", fields, b"")
            )
        assert len(probe.sent) == 1
        release, _ = new.sent
        assert release.startswith(b"TEARDOWN ") and ID.hex().encode() in release
        assert not self.manager.connections.pending_notifications.by_peer

    def test_pending_notifications_are_bounded_and_expire(self) -> None:
        table, maximum = self.manager.connections, pending_notifications.MAX_NOTIFICATIONS
        assert maximum >= session_admission.MAX_SESSIONS
        deferred = [
            table.defer(str(number % 100), b"x", self.manager.now_us()) for number in range(maximum + 1)
        ]
        assert deferred == [True] * maximum + [False]
        assert sum(map(len, table.pending_notifications.by_peer.values())) == maximum
        self.clock.advance(pending_notifications.NOTIFICATION_TTL_US + 1)
        self.manager.run_maintenance()
        assert not table.pending_notifications.by_peer
        assert table.defer("1", b"x", self.manager.now_us())

    def test_the_pending_releases_of_all_sessions_of_one_address_are_retained(self) -> None:
        # Beyond 256 of one address, or 64 addresses, each further one was dropped: its client waited forever.
        for number in range(300):
            assert self.manager.connections.defer("127.0.0.1", b"%d" % number, self.manager.now_us())
            assert self.manager.connections.defer(f"127.0.1.{number}", b"x", self.manager.now_us())
        connection = RecordingConnection(self.manager)
        self.manager.connections.deliver(connection)
        assert connection.sent == [b"%d" % number for number in range(300)]

    def test_no_table_grows_with_ended_sessions(self) -> None:
        # Memory growth is charged for. Each round creates sessions, servers and peers, and ends them all.
        def run_all_endings() -> None:
            entries = [
                {**HOST_ENTRY, "host": f"s{self.manager.context.last_us}-{number}"} for number in range(4)
            ]
            rev = self.manager.context.last_us
            self.apply_notice(rev, *entries)
            for number, end in enumerate((Cause.OK, Cause.RESET, Cause.FULL, Cause.ERROR, None)):
                id = (self.manager.context.last_us * 8 + number).to_bytes(8, "big")
                connection = RecordingConnection(self.manager, f"peer {self.manager.context.last_us}")
                self.addCleanup(connection.sock.close)
                self.manager.connections.add(connection)
                fields = {"cseq": "1", "session": id.hex(), "call-kind": "recorded", "answer-within": "8000"}
                fields["routing-data"] = "home:0;copies:4;top:2"
                with mock.patch("threading.Thread"):
                    client_requests.on_client_message(
                        self.manager, connection, rtsp.Request("SETUP", "rtsp://media/7f", fields, b"")
                    )
                    self.end_attempts(id, number, end)
                self.manager.on_server_message(
                    self.link()[0], Message(MessageKind.SESSION_REPORT, bytes(reversed(id)), {})
                )
                connection.is_closed = number % 2 == 0
                self.manager.connections.remove(connection)
                client_requests.on_client_gone(self.manager, connection)
                for session in list(self.manager.sessions.values()):
                    self.manager.on_attempt_completed(session, Outcome.SERVED, None)
            self.apply_notice(rev + 1, *({**entry, "health": "removed"} for entry in entries))
            self.advance_time(20_000_000)
            self.manager.run_maintenance()
            for server in self.manager.servers.values():
                for link in list(server.links):
                    link.close(Outcome.CONNECTION_LOST)
                    link._on_dial_finished()

        for _ in range(20):
            run_all_endings()
        before = collection_sizes(self.manager)
        for _ in range(20):
            run_all_endings()
        assert {
            path: (before.get(path), n)
            for path, n in collection_sizes(self.manager).items()
            if n > before.get(path, 0)
        } == {}

    def end_attempts(self, id: bytes, number: int, end: Cause | None) -> None:
        """The server's messages on open attempts: an answer and a release, or only a release, or nothing."""
        session = self.manager.sessions.get(id)
        while (
            session is not None
            and session.attempt is not None
            and session.attempt.link is not None
            and end is not None
        ):
            link = session.attempt.link
            if number < 2:
                self.manager.on_server_message(
                    link, Message(MessageKind.ANSWER, id, {Parameter.DESCRIPTION: b"x"})
                )
            self.manager.on_server_message(
                link, Message(MessageKind.RELEASE, id, {Parameter.CAUSE: bytes([end])})
            )
            session = self.manager.sessions.get(id)

    def test_an_attempt_that_times_out_is_released_before_its_connection_is_closed(self) -> None:
        link, server_sock = self.link()
        session = self.set_up()
        assert session.state is SessionState.ATTEMPTING
        self.advance_time(8_000_000)
        sent, release = self.receive_messages(server_sock)
        assert (sent.kind, release.kind, release.cause) == (
            MessageKind.SET_UP,
            MessageKind.RELEASE,
            Cause.OK,
        )
        assert link.state is ConnectionState.CLOSED
        assert self.manager.servers["s0"].outcome_counts == {Outcome.NO_ANSWER: 1}
        [answer] = self.connection.sent
        assert answer.startswith(b"RTSP/1.0 453 ")
        assert not self.manager.sessions

    def test_an_answer_after_the_timeout_is_not_forwarded(self) -> None:
        link, _ = self.link()
        self.set_up()
        self.advance_time(8_000_000)
        late = Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"late"})
        self.manager.on_server_message(link, late)
        assert len(self.connection.sent) == 1
        assert not self.manager.messages.early

    def test_an_answer_without_a_description_is_invalid(self) -> None:
        link, _ = self.link()
        self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {}))
        assert link.state is ConnectionState.CLOSED
        assert not any(data.startswith(b"RTSP/1.0 200") for data in self.connection.sent)

    def test_a_fault_of_the_policy_is_answered_to_its_client(self) -> None:
        def broken(*_: object) -> None:
            raise KeyError("s0")

        self.manager.policy.handle = broken  # type: ignore[method-assign]
        self.request_session()
        [answer] = self.connection.sent
        assert answer.startswith(b"RTSP/1.0 500 ")

    def test_early_messages_are_bounded_and_expire(self) -> None:
        link, _ = self.link()
        for number in range(server_messages.MAX_EARLY_SESSIONS + 10):
            for _ in range(server_messages.MAX_EARLY_MESSAGES + 1 if number == 0 else 1):
                self.manager.on_server_message(
                    link, Message(MessageKind.SESSION_REPORT, number.to_bytes(8, "big"), {})
                )
        assert len(self.manager.messages.early) == server_messages.MAX_EARLY_SESSIONS
        assert len(self.manager.messages.early[bytes(8)]) == server_messages.MAX_EARLY_MESSAGES
        self.clock.advance(server_messages.EARLY_MESSAGE_US + 1)
        self.manager.run_maintenance()
        assert not self.manager.messages.early

    def test_server_connections_stay_within_their_share_of_the_descriptors(self) -> None:
        links = [self.link()[0] for _ in range(self.manager.max_server_connections)]
        for link in links:
            link.dispatched_session = Session(bytes(8), "", "", "", "", b"", None, "")
        self.request_session()
        assert self.manager.server_connection_count == self.manager.max_server_connections
        assert self.manager.servers["s0"].outcome_counts == {Outcome.NOT_SENT: 1}

    def test_an_ended_session_is_removed_from_all_tables(self) -> None:
        link, _ = self.link()
        session = self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        assert session in self.connection.established_sessions
        self.manager.on_server_message(
            link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause.OK])})
        )
        server = self.manager.servers["s0"]
        assert not (
            self.manager.sessions
            or self.connection.established_sessions
            or self.connection.open_sessions
            or server.established
        )
        assert not self.manager.policy.sessions

    def test_a_removed_server_is_forgotten_with_its_connections(self) -> None:
        link, _ = self.link()
        removal = DiscoveryBatch.parse(
            {"rev": 2, "notices": [notice(2, [{**HOST_ENTRY, "health": "removed"}])]}
        )
        self.clock.advance(5_000_000)
        for event in removal.events:
            self.manager.on_discovery_event(event)
        assert not self.manager.servers
        assert link.state is ConnectionState.CLOSED

    def test_a_successor_at_its_address_is_not_mistaken_for_a_removed_server(self) -> None:
        link, _ = self.link()
        session = self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        entries = [{**HOST_ENTRY, "health": "removed"}, {**HOST_ENTRY, "host": "s1"}]
        for event in DiscoveryBatch.parse({"rev": 2, "notices": [notice(2, entries)]}).events:
            self.manager.on_discovery_event(event)
        self.manager.run_maintenance()
        assert session.state is SessionState.ESTABLISHED  # its connection is still open
        link.close(Outcome.CONNECTION_LOST)
        self.manager.run_maintenance()
        assert session.state is SessionState.CLOSED
        assert b"Reason: cause=41" in self.connection.sent[-1]
        assert self.manager.server_connection_count == 0

    def establish_and_lose_connection(self) -> tuple[Server, Session]:
        """A session established at a server that has sent data and then lost its only connection."""
        link, _ = self.link()
        session = self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        server = self.manager.servers["s0"]
        server.connection_loss.on_received(self.manager.now_us())
        link.close(Outcome.CONNECTION_LOST)
        return server, session

    def test_sessions_at_an_unreachable_server_stay_established_for_a_time(self) -> None:
        # Two timed-out dials counted as the server's end: 571 clients in a disconnected zone were released.
        server, session = self.establish_and_lose_connection()
        server.next_dial_us = 1 << 62
        for _ in range(3):
            self.manager.on_dial_failed(server, refused=False)
        server.next_dial_us = 1 << 62
        self.clock.advance(6_900_000)
        self.manager.run_maintenance()
        assert session.state is SessionState.ESTABLISHED
        self.clock.advance(200_000)
        self.manager.run_maintenance()
        assert session.state is SessionState.CLOSED

    def assert_lost_after_silence(self, session: Session, *, refused: bool = False) -> None:
        """Check that failed dials end a session after 7 s of silence, and not before."""
        server = self.manager.servers["s0"]
        for _ in range(3):
            self.manager.on_dial_failed(server, refused)
        for link in list(server.links):
            link.close(Outcome.NO_CONNECTION)
        server.next_dial_us = 1 << 62
        self.clock.advance(6_900_000)
        self.manager.run_maintenance()
        assert session.state is SessionState.ESTABLISHED
        self.clock.advance(200_000)
        self.manager.run_maintenance()
        assert session.state is SessionState.CLOSED

    def test_sessions_handed_over_at_a_server_never_reached_are_lost_after_silence(self) -> None:
        # They were closed with the second dial that timed out, while they went on at the server.
        self.assert_lost_after_silence(self.hand_over())

    def test_sessions_handed_over_at_a_server_reached_long_ago_are_lost_after_silence(self) -> None:
        # The silence was counted from a time at which the server had no session and was not listened to.
        self.manager.servers["s0"].connection_loss.on_received(self.manager.now_us())
        self.clock.advance(60_000_000)
        self.assert_lost_after_silence(self.hand_over())

    def test_sessions_handed_over_at_a_removed_server_never_reached_are_lost_after_silence(self) -> None:
        # A server that drains and is taken off the list still holds its sessions.
        session = self.hand_over()
        self.apply_notice(2, {**HOST_ENTRY, "health": "removed"})
        self.assert_lost_after_silence(session)

    def test_a_session_told_over_before_its_server_is_listed_is_released_there(self) -> None:
        # Closed 6 s after its hand-over, it stood on at a server that a late list named only then.
        fields = {"cseq": "1", "session": ID.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2;at:s9"
        request = rtsp.Request("SETUP", "rtsp://media/7f", fields, b"what")
        client_requests.on_client_message(self.manager, self.connection, request)
        self.clock.advance(handovers.UNKNOWN_SERVER_TIMEOUT_US)
        self.manager.run_maintenance()
        assert b"Reason: cause=41" in self.connection.sent[-1]
        with mock.patch("threading.Thread"):
            self.apply_notice(2, {**HOST_ENTRY, "host": "s9", "dial": "127.0.0.1:10"})
            self.manager.run_maintenance()
        assert [message.data for message in self.manager.servers["s9"].outbox] == [isup.release(ID, Cause.OK)]
        assert not self.manager.handovers.unlisted

    def test_sessions_at_a_server_that_only_refuses_connections_are_lost_after_silence(self) -> None:
        # A server that holds all the connections it takes refuses further ones, and its sessions go on.
        server, session = self.establish_and_lose_connection()
        self.assert_lost_after_silence(session, refused=True)
        assert [message.session for message in server.outbox] == [ID]

    def test_sessions_at_a_server_that_resets_and_refuses_connections_are_closed(self) -> None:
        server, session = self.establish_and_lose_connection()
        server.connection_loss.on_reset()
        self.manager.on_dial_failed(server, refused=True)
        assert session.state is SessionState.ESTABLISHED
        self.manager.on_dial_failed(server, refused=True)
        assert session.state is SessionState.CLOSED

    def test_sessions_at_a_removed_and_unreachable_server_are_closed(self) -> None:
        server, session = self.establish_and_lose_connection()
        for _ in range(2):
            self.manager.on_dial_failed(server, refused=False)
        server.next_dial_us = 1 << 62
        assert session.state is SessionState.ESTABLISHED
        for event in DiscoveryBatch.parse(
            {"rev": 2, "notices": [notice(2, [{**HOST_ENTRY, "health": "removed"}])]}
        ).events:
            self.manager.on_discovery_event(event)
        self.manager.run_maintenance()
        assert session.state is SessionState.CLOSED

    def test_a_node_that_shuts_down_answers_open_requests(self) -> None:
        _, server_sock = self.link()
        self.set_up()
        assert self.manager.shut_down() == 1
        [answer] = self.connection.sent
        assert answer.startswith(b"RTSP/1.0 500 ")
        assert [message.kind for message in self.receive_messages(server_sock)] == [
            MessageKind.SET_UP,
            MessageKind.RELEASE,
        ]

    def test_a_migration_redirects_the_client_and_releases_the_session_at_the_server(self) -> None:
        link, server_sock = self.link()
        session = self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        session_states.apply_event(self.manager, session, session_states.SessionEvent.MIGRATED)
        assert self.connection.sent[-1].startswith(b"REDIRECT rtsp://media/7f RTSP/1.0")
        assert [message.kind for message in self.receive_messages(server_sock)] == [
            MessageKind.SET_UP,
            MessageKind.RELEASE,
        ]
        assert not self.manager.sessions

    def test_a_release_without_a_connection_is_queued_for_the_next(self) -> None:
        link, _ = self.link()
        session = self.set_up()
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        link.close(Outcome.CONNECTION_LOST)
        session_states.apply_event(self.manager, session, session_states.SessionEvent.CLIENT_GONE)
        assert [m.data for m in self.manager.servers["s0"].outbox] == [isup.release(ID, Cause.OK)]

    def test_the_trace_shows_assumed_health_and_counted_outcomes(self) -> None:
        link, _ = self.link()
        self.set_up()
        self.manager.on_server_message(
            link, Message(MessageKind.RELEASE, ID, {Parameter.CAUSE: bytes([Cause.FULL])})
        )
        [line] = state_dump.server_states(self.manager)
        assert (line["server"], line["health"], line["seen"]) == ("s0", "SHUT", {"REJECTED": 1})


class ConnectionTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.manager = session_manager.SessionManager(
            config.parse(NODE_CONFIG), self.clock, Timers(self.clock), silent
        )

    def create_connections(self, count: int) -> list[RecordingConnection]:
        """Create connections, the first of which has been answered, and the second has an open session."""
        connections = [RecordingConnection(self.manager, str(i)) for i in range(count)]
        for connection in connections:
            self.addCleanup(connection.sock.close)
        answered, busy = connections[:2]
        answered.has_sent_message = busy.has_sent_message = True
        busy.open_sessions[Session(bytes(8), "", "", "", "", b"", None, "")] = None
        return connections

    def test_silent_connections_are_evicted_first_and_those_with_sessions_never(self) -> None:
        answered, busy, unused, new = self.create_connections(4)
        table = ConnectionTable(3)
        assert all(table.add(connection) for connection in (answered, busy, unused))
        self.clock.advance(EVICTION_GRACE_US)
        assert table.admission_delay_us(self.clock.now_us()) == 0
        assert table.add(new)
        assert list(table.connections) == [answered, busy, new]
        assert table.find_connection("0") is answered
        assert table.find_connection("2") is None

    def test_no_new_connection_waits_while_an_answered_one_is_idle(self) -> None:
        # Silent clients that came again at once kept all others in the backlog for seconds (review case 2).
        answered, busy, silent_one, new = self.create_connections(4)
        table = ConnectionTable(3)
        assert all(table.add(connection) for connection in (answered, busy, silent_one))
        assert table.admission_delay_us(self.clock.now_us()) == 0
        assert table.add(new)
        assert list(table.connections) == [busy, silent_one, new]
        assert table.admission_delay_us(self.clock.now_us()) == EVICTION_GRACE_US


class ConfigTest(unittest.TestCase):
    def test_an_invalid_configuration_is_rejected(self) -> None:
        for change in (
            {"listen": "nowhere"},
            {"board": None},
            {"settings": {}},
            {"known": {"rev": "x", "notices": []}},
            {"known": {"rev": 1, "notices": [notice(1, [{**HOST_ENTRY, "health": "undefined"}])]}},
            {"known": {"rev": 1, "notices": [notice(1, [{**HOST_ENTRY, "dial": "x"}])]}},
        ):
            with (
                self.subTest(change),
                self.assertRaises((ConfigError, ValueError, DiscoveryError, config.PlatformSettingsError)),
            ):
                config.parse({**NODE_CONFIG, **change})
        with self.assertRaises(ConfigError):
            config.load("/nowhere/config.json")
