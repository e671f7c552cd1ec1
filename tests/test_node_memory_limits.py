"""What clients can make a node hold in memory is limited, however many connect."""

from __future__ import annotations

from fennelcove.isup.messages import Message, MessageKind, Parameter
from fennelcove.node import client_requests
from fennelcove.node.receive_queue import ReceiveQueue, read_ahead_limit
from fennelcove.node.session_admission import MAX_DESCRIPTION_BYTES
from fennelcove.rtsp import messages as rtsp

from tests.session_manager_harness import ID, RecordingConnection, SessionManagerTestCase

SHORT_MESSAGE = b"A rtsp://media/x RTSP/1.0\r\n\r\n"
READ_BYTES = 16_384
CONNECTIONS = 950
DESCRIPTION = b"x" * 15_000
SETUPS_PER_CONNECTION = 200


class DescriptionLimitTest(SessionManagerTestCase):
    """Set-up requests with large descriptions."""

    def request(self, connection: RecordingConnection, id: bytes) -> None:
        """Process a set-up with a large description."""
        fields = {"cseq": "1", "session": id.hex(), "call-kind": "recorded", "answer-within": "8000"}
        fields["routing-data"] = "home:0;copies:4;top:2"
        request = rtsp.Request("SETUP", "rtsp://media/7f", fields, DESCRIPTION)
        client_requests.on_client_message(self.manager, connection, request)

    def test_the_descriptions_of_unanswered_requests_are_limited_together(self) -> None:
        # Hundreds of connections with hundreds of large requests each filled more than the memory limit.
        self.manager.notify_policy = lambda event: None  # no request is answered
        for number in range(2 * MAX_DESCRIPTION_BYTES // len(DESCRIPTION)):
            if number % SETUPS_PER_CONNECTION == 0:
                connection = RecordingConnection(self.manager)
                self.addCleanup(connection.sock.close)
            self.request(connection, number.to_bytes(8, "big"))
        held = sum(len(session.description) for session in self.manager.sessions.values())
        assert held <= MAX_DESCRIPTION_BYTES
        assert connection.sent[-1].startswith(b"RTSP/1.0 503 ")
        assert b"Come-Back-Ms: 500" in connection.sent[-1]

    def test_what_is_answered_no_longer_counts(self) -> None:
        link, _ = self.link()
        self.request(self.connection, ID)
        assert self.manager.context.description_bytes == len(DESCRIPTION)
        self.manager.on_server_message(link, Message(MessageKind.ANSWER, ID, {Parameter.DESCRIPTION: b"x"}))
        assert self.manager.context.description_bytes == 0


def test_many_connections_may_each_read_ahead_little() -> None:
    # Each parsed thousands of short messages ahead: 950 connections took nearly the whole memory limit.
    queue = ReceiveQueue()
    queue.limit = read_ahead_limit(CONNECTIONS)
    while not queue.is_full:
        queue.feed(SHORT_MESSAGE * (READ_BYTES // len(SHORT_MESSAGE)))
    assert len(queue.messages) <= 20
    assert len(queue.reader.buffer) <= 2 * READ_BYTES


def test_messages_that_are_not_parsed_ahead_are_processed_in_order() -> None:
    queue = ReceiveQueue()
    queue.limit = read_ahead_limit(CONNECTIONS)
    for number in range(200):
        queue.feed(f"A rtsp://media/{number} RTSP/1.0\r\n\r\n".encode())
    uris = []
    while queue.messages:
        message = queue.pop()
        assert isinstance(message, rtsp.Request)
        uris.append(message.uri)
    assert uris == [f"rtsp://media/{number}" for number in range(200)]
    assert queue.is_empty


def test_a_malformed_message_is_noticed_behind_those_that_are_not_parsed_ahead() -> None:
    queue = ReceiveQueue()
    queue.limit = read_ahead_limit(CONNECTIONS)
    queue.feed(SHORT_MESSAGE * 100 + b"malformed\r\n\r\n")
    count = 0
    while queue.messages:
        queue.pop()
        count += 1
    assert count == 100
    assert queue.reader.failure is not None
