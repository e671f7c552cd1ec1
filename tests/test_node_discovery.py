"""The front node's polls of discovery, against services whose every response the test sends."""

from __future__ import annotations

import json
import os
import signal
import socket
import tempfile
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest import mock

from fennelcove.http1 import writer as http
from fennelcove.isup.messages import Cause, MessageKind

from tests.discovery_harness import (
    DiscoveryNodeProcess,
    ManualDiscovery,
    Poll,
    is_being_dialled,
    unresponsive_listener,
)
from tests.node_harness import Client, FakeServer, NodeProcess, encode_release, notice, wait_until


def removed_entry(server: FakeServer) -> dict[str, Any]:
    """The entry that removes a server."""
    return {**server.host_entry, "health": "removed"}


def serve_listener(listener: socket.socket, server: FakeServer) -> None:
    """Let the server also serve the connections to this listener."""
    with suppress(OSError):  # closed at the end of the test
        while True:
            sock, _ = listener.accept()
            server.sockets.append(sock)
            threading.Thread(target=server._serve, args=(sock,), daemon=True).start()


class DiscoveryTest(unittest.TestCase):
    """A front node as a process."""

    def start_node(
        self, discovery: ManualDiscovery, *servers: FakeServer, rev: int = 1, **config_changes: Any
    ) -> DiscoveryNodeProcess:
        """Start a node that ends with the test."""
        self.addCleanup(discovery.close)
        node = DiscoveryNodeProcess(discovery, *servers, rev=rev, **config_changes)
        self.addCleanup(node.close)
        return node

    def assert_served(self, node: NodeProcess, number: int = 1) -> Client:
        """Check that a set-up is served; return its client."""
        client = node.connect_client()
        self.addCleanup(client.sock.close)
        client.set_up(f"{number:016x}")
        assert client.receive_response().status == 200
        return client

    def change_discovery(self, node: DiscoveryNodeProcess, discovery: ManualDiscovery) -> None:
        """Reload the configuration with another discovery address."""
        node.polled_discovery = discovery
        node.write_config()
        node.send_signal(signal.SIGHUP)

    def test_no_response_ends_the_polls(self) -> None:
        # An unexpected exception ended the polling thread: the list was never updated again.
        first, second, discovery = FakeServer("s0", 0), FakeServer("s1", 0), ManualDiscovery()
        node = self.start_node(discovery, first)

        def one_change(**changes: Any) -> bytes:
            return json.dumps({"rev": 2, "notices": [notice(2, [{**first.host_entry, **changes}])]}).encode()

        for name, body in {
            "a list nested too deeply": b"[" * 500_000,
            "an object nested too deeply": b'{"a":' * 100_000,
            "a number that is too long": one_change().replace(b'"share": 1', b'"share": 1' + b"0" * 400),
            "a start time that is too large": one_change(born_ms=1e308),
            "an address with a null byte": one_change(dial="127.0.0.1\x00:80"),
            "an address with a line break": one_change(dial="a b\r\n:80"),
            "not an object": b"null",
            "a null event": b'{"rev":2,"notices":[null]}',
            "a boolean revision": b'{"rev":true,"notices":[]}',
            "a negative revision": b'{"rev":-1,"notices":[]}',
            "not JSON": b"\xff\xfe{",
            "an incomplete body": one_change()[:-9],
        }.items():
            with self.subTest(name):
                discovery.next_poll().send_response(body)
        for status in (500, 404, 302):
            discovery.next_poll().send_response(one_change(health="removed"), status)
        poll = discovery.next_poll()
        assert poll.watch == 1
        poll.send_notices(2, notice(2, [removed_entry(first), second.host_entry]))
        assert discovery.next_poll().watch == 2
        self.assert_served(node)
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (0, 1)

    def test_a_closed_log_does_not_end_the_polls(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        pipe = Path(directory.name) / "log"
        os.mkfifo(pipe)
        reader = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
        discovery = ManualDiscovery()
        with mock.patch.object(DiscoveryNodeProcess, "LOG_PATH", str(pipe)):
            self.start_node(discovery, FakeServer("s0", 0))
        os.set_blocking(reader, True)
        assert b"node_started" in os.read(reader, 4096)  # the last line that is read
        os.close(reader)
        for _ in range(3):
            discovery.next_poll().close()
        assert discovery.next_poll().watch == 1

    def test_responses_with_a_wrong_length_are_not_applied(self) -> None:
        first, second, discovery = FakeServer("s0", 0), FakeServer("s1", 0), ManualDiscovery()
        node = self.start_node(discovery, first)
        body = json.dumps(
            {"rev": 2, "notices": [notice(2, [removed_entry(first), second.host_entry])]}
        ).encode()
        head = b"HTTP/1.1 200 OK\r\n"
        for name, data in {
            "truncated by one byte": http.response(200, [], body)[:-1],
            "a length that is too small": head + b"Content-Length: %d\r\n\r\n" % (len(body) - 1) + body,
            "a length over the limit": head + b"Content-Length: 3000000000\r\n\r\n" + body,
            "a negative length": head + b"Content-Length: -1\r\n\r\n" + body,
            "a truncated chunk": head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body) + body[:-1],
            "a missing last chunk": head
            + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
            + body
            + b"\r\n",
            "a truncated header": head,
            "no data": b"",
        }.items():
            with self.subTest(name):
                poll = discovery.next_poll()
                assert poll.watch == 1
                poll.send(data)
                poll.close()
        assert discovery.next_poll().watch == 1
        self.assert_served(node)
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (1, 0)

    def test_silent_and_very_slow_responses_do_not_delay_the_next_poll(self) -> None:
        discovery = ManualDiscovery()
        self.start_node(discovery, FakeServer("s0", 0))
        for start, limit_s in ((b"", 3.0), (b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", 7.0)):
            with self.subTest(start):
                poll, started_s = discovery.next_poll(), time.monotonic()
                poll.send(start)
                while discovery.polls.empty():  # a byte now and then does not extend the timeout
                    poll.send(b" " if start else b"")
                    time.sleep(0.05)
                assert time.monotonic() - started_s < limit_s
                next_poll = discovery.next_poll()
                assert (next_poll.watch, next_poll.sock is poll.sock) == (1, False)
                assert not poll.ended.is_set()  # it may still be answered
                next_poll.send_notices(1)
                assert poll.ended.wait(2.0)

    def test_a_duplicate_response_is_not_taken_for_the_next_one(self) -> None:
        # From then on each response was taken for that of the following poll.
        discovery = ManualDiscovery()
        self.start_node(discovery, FakeServer("s0", 0))
        poll = discovery.next_poll()
        answer = http.response(200, [], b'{"rev":1,"notices":[]}')
        poll.send(answer + answer)
        assert discovery.next_poll().sock is not poll.sock

    def test_after_a_reset_of_revisions_everything_is_requested(self) -> None:
        # The node kept its higher revision and never received a change again.
        first, second, discovery = FakeServer("s0", 0), FakeServer("s1", 0), ManualDiscovery()
        node = self.start_node(discovery, first, rev=7)
        poll = discovery.next_poll()
        assert poll.watch == 7
        poll.send_notices(2)
        poll = discovery.next_poll()
        assert poll.watch == 0
        poll.send_notices(
            2,
            notice(1, [first.host_entry], complete=True),
            notice(2, [second.host_entry, removed_entry(first)]),
        )
        assert discovery.next_poll().watch == 2
        self.assert_served(node)
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (0, 1)

    def test_a_repeated_list_does_not_undo_a_later_event(self) -> None:
        first, second, discovery = FakeServer("s0", 0), FakeServer("s1", 0), ManualDiscovery()
        node = self.start_node(discovery, first)
        events = (
            notice(1, [first.host_entry], complete=True),
            notice(2, [second.host_entry, removed_entry(first)]),
        )
        discovery.next_poll().send_notices(2, events[1])
        poll = discovery.next_poll()
        client = self.assert_served(node)
        second.send(encode_release(second.messages(MessageKind.SET_UP)[0], Cause.OK))
        client.receive_request()
        poll.send_notices(1)
        poll = discovery.next_poll()
        assert poll.watch == 0
        poll.send_notices(2, *events)
        assert discovery.next_poll().watch == 2
        self.assert_served(node, 2)
        assert (len(first.sockets), len(second.sockets)) == (0, 1)

    def test_a_complete_list_removes_servers_that_it_does_not_name(self) -> None:
        first, second, discovery = FakeServer("s0", 0), FakeServer("s1", 0), ManualDiscovery()
        node = self.start_node(discovery, first)
        discovery.next_poll().send_notices(
            3, notice(2, [first.host_entry]), notice(3, [second.host_entry], complete=True)
        )
        assert discovery.next_poll().watch == 3
        self.assert_served(node)
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (0, 1)

    def test_unordered_and_duplicate_events_are_applied_in_order_and_once(self) -> None:
        # The last event of a response prevailed, even if it was older than another.
        for order in ((3, 2), (2, 3, 2)):
            with self.subTest(order):
                server, discovery = FakeServer("s0", 0), ManualDiscovery()
                node = self.start_node(discovery, server)
                notices = {
                    2: notice(2, [{**server.host_entry, "share": 2}]),
                    3: notice(3, [removed_entry(server)]),
                }
                discovery.next_poll().send_notices(3, *(notices[rev] for rev in order))
                assert discovery.next_poll().watch == 3
                client = node.connect_client()
                self.addCleanup(client.sock.close)
                client.set_up("00000000000000a1")
                assert client.receive_response().status == 453

    def test_a_missing_event_is_requested(self) -> None:
        # Its revision counted as received, and the change was lost forever.
        first, second, discovery = FakeServer("s0", 0), FakeServer("s1", 0), ManualDiscovery()
        node = self.start_node(discovery, first)
        for notices in (
            [notice(3, [second.host_entry])],
            [],
        ):  # the event in between is missing, or the last one
            discovery.next_poll().send_notices(3, *notices)
            poll = discovery.next_poll()
            assert poll.watch == 0
            poll.send_notices(1, notice(1, [first.host_entry], complete=True))
            poll = discovery.next_poll()
            assert poll.watch == 1
            poll.close()
        all_notices = (
            notice(1, [first.host_entry], complete=True),
            notice(2, [removed_entry(first)]),
            notice(3, [second.host_entry]),
        )
        discovery.next_poll().send_notices(3, *all_notices[1:])
        assert discovery.next_poll().watch == 3
        self.assert_served(node)
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (0, 1)

    def test_revisions_that_were_always_skipped_are_not_requested_again(self) -> None:
        # Each change would cost a second poll, and polls are charged for.
        first, discovery = FakeServer("s0", 0), ManualDiscovery()
        self.start_node(discovery, first)
        discovery.next_poll().send_notices(9, notice(5, [first.host_entry]))
        poll = discovery.next_poll()
        assert poll.watch == 0
        poll.send_notices(9, notice(1, [first.host_entry], complete=True), notice(5, [first.host_entry]))
        poll = discovery.next_poll()
        assert poll.watch == 9
        poll.send_notices(20, notice(15, [first.host_entry]))
        assert discovery.next_poll().watch == 20

    def test_changes_to_an_unknown_list_are_not_applied(self) -> None:
        server, discovery = FakeServer("s0", 0), ManualDiscovery()
        node = self.start_node(discovery, known={"rev": 0, "notices": []})
        poll = discovery.next_poll()
        assert poll.watch == 0
        poll.send_notices(2, notice(2, [server.host_entry]))
        poll = discovery.next_poll()
        assert poll.watch == 0
        poll.send_notices(2, notice(1, [server.host_entry], complete=True), notice(2, [server.host_entry]))
        assert discovery.next_poll().watch == 2
        self.assert_served(node)

    def test_an_incomplete_response_from_the_previous_address_is_not_applied(self) -> None:
        first, second, old, new = (
            FakeServer("s0", 0),
            FakeServer("s1", 0),
            ManualDiscovery(),
            ManualDiscovery(),
        )
        self.addCleanup(new.close)
        node = self.start_node(old, first)
        poll = old.next_poll()
        body = json.dumps(
            {"rev": 2, "notices": [notice(2, [removed_entry(first), second.host_entry])]}
        ).encode()
        data = http.response(200, [], body)
        poll.send(data[:-1])
        self.change_discovery(node, new)
        new_poll = new.next_poll()
        assert new_poll.watch == 1
        poll.send(data[-1:])
        new_poll.send_notices(1)
        assert new.next_poll().watch == 1
        self.assert_served(node)
        assert (len(first.messages(MessageKind.SET_UP)), len(second.messages(MessageKind.SET_UP))) == (1, 0)

    def test_an_outage_is_logged_once_and_its_end_once(self) -> None:
        discovery = ManualDiscovery()
        node = self.start_node(discovery, FakeServer("s0", 0))
        for _ in range(5):
            discovery.next_poll().send_response(b"down", 503)
        discovery.next_poll().send_notices(1)
        discovery.next_poll()
        assert len(node.log_events("discovery_poll_failed")) == 1
        assert [line["failures"] for line in node.log_events("discovery_poll_recovered")] == [5]

    def test_discovery_that_is_unavailable_at_the_start_is_used_once_available(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            unused_port = listener.getsockname()[1]
        discovery = ManualDiscovery()
        self.addCleanup(discovery.close)
        discovery.address = f"127.0.0.1:{unused_port}"
        first, second = FakeServer("s0", 0), FakeServer("s1", 0)
        node = self.start_node(discovery, first)
        wait_until(lambda: node.log_events("discovery_poll_failed"), "a failed poll")
        self.assert_served(node)
        late_discovery = ManualDiscovery(unused_port)
        self.addCleanup(late_discovery.close)
        late_discovery.next_poll().send_notices(2, notice(2, [removed_entry(first), second.host_entry]))
        assert late_discovery.next_poll().watch == 2
        self.assert_served(node, 2)
        assert len(second.messages(MessageKind.SET_UP)) == 1

    def test_lost_connections_and_address_changes_leave_no_descriptor_open(self) -> None:
        discoveries = ManualDiscovery(), ManualDiscovery()
        self.addCleanup(discoveries[1].close)
        node = self.start_node(discoveries[0], FakeServer("s0", 0))
        descriptor_path = Path("/proc") / str(node.process.pid) / "fd"

        def socket_count() -> int:
            names = []
            for path in descriptor_path.iterdir():
                with suppress(OSError):
                    names.append(os.readlink(path))
            return sum(name.startswith("socket:") for name in names)

        index, poll = 0, discoveries[0].next_poll()
        wait_until(lambda: socket_count() == 2, "the listener and the open poll")
        for _ in range(4):
            for end in (Poll.close, lambda poll: poll.send_response(b"x"), lambda poll: poll.send_notices(1)):
                end(poll)
                poll = discoveries[index].next_poll()
            index = 1 - index
            self.change_discovery(node, discoveries[index])
            poll = discoveries[index].next_poll()
        wait_until(lambda: socket_count() == 2, "the listener and the open poll")

    def test_a_server_is_reached_at_its_new_address(self) -> None:
        # Set-ups were still sent to the old address on connections that were open to it.
        old, new, discovery = FakeServer("s0", 0), FakeServer("s0", 0), ManualDiscovery()
        node = self.start_node(discovery, old)
        poll = discovery.next_poll()
        client = self.assert_served(node)
        old.send(encode_release(old.messages(MessageKind.SET_UP)[0], Cause.OK))
        client.receive_request()
        poll.send_notices(2, notice(2, [new.host_entry]))
        assert discovery.next_poll().watch == 2
        self.assert_served(node, 2)
        assert (len(old.messages(MessageKind.SET_UP)), len(new.messages(MessageKind.SET_UP))) == (1, 1)

    def assert_released_after_listing(self, *, is_start_listed: bool) -> None:
        """Check that a client is released once the list names a new server at its server's address."""
        removed_server, discovery = FakeServer("s0", 0), ManualDiscovery()
        node = self.start_node(discovery, removed_server)
        poll = discovery.next_poll()
        client = self.assert_served(node)
        address = removed_server.listener.getsockname()
        removed_server.terminate()
        started_ms = time.time_ns() // 1_000_000
        successor = FakeServer("s1", 0, address=address)
        wait_until(lambda: successor.sockets, "a connection to the successor")
        entries = [
            {**successor.host_entry, "host": "s0", "health": "removed"},
            {**successor.host_entry, "born_ms": started_ms if is_start_listed else 0},
        ]
        poll.send_notices(2, notice(2, entries))
        assert discovery.next_poll().watch == 2
        release = client.receive_request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", "cause=41")

    def test_a_connection_to_an_unlisted_successor_does_not_keep_sessions_of_the_removed_server(
        self,
    ) -> None:
        # Reopened after the first server's reset, it was answered by the second, and no client was released.
        self.assert_released_after_listing(is_start_listed=True)

    def test_a_connection_to_a_successor_whose_start_is_unknown_keeps_no_sessions(self) -> None:
        # Without a start time the connection to the successor was taken for one to the removed server.
        self.assert_released_after_listing(is_start_listed=False)

    def test_a_dial_in_progress_does_not_mistake_a_successor_for_the_removed_server(self) -> None:
        # Sessions at the removed server were kept by a connection to its successor, and never released.
        listener, backlog_fillers = unresponsive_listener(self)
        removed_server, successor = FakeServer("s0", 0), FakeServer("s1", 0)
        entries = [
            {**s.host_entry, "dial": f"127.0.0.1:{listener.getsockname()[1]}"}
            for s in (removed_server, successor)
        ]
        discovery = ManualDiscovery()
        node = self.start_node(
            discovery, known={"rev": 1, "notices": [notice(1, entries[:1], complete=True)]}
        )
        client = node.connect_client()
        self.addCleanup(client.sock.close)
        client.set_up("00000000000000a1", routing="home:0;copies:4;top:2;at:s0")
        wait_until(lambda: is_being_dialled(listener, backlog_fillers), "a dial without an answer")
        discovery.next_poll().send_notices(2, notice(2, [{**entries[0], "health": "removed"}, entries[1]]))
        assert discovery.next_poll().watch == 2
        threading.Thread(target=serve_listener, args=(listener, successor), daemon=True).start()
        release = client.receive_request()
        assert (release.method, release.fields["reason"]) == ("TEARDOWN", "cause=41")
