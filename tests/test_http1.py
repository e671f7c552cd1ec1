"""The HTTP/1.1 codec: framing, limits, and each known form of request smuggling."""

from __future__ import annotations

import unittest

from fennelcove.http1 import writer
from fennelcove.http1.messages import (
    CodecLimits,
    CompleteMessage,
    Data,
    End,
    ProtocolError,
    RequestHead,
    ResponseHead,
)
from fennelcove.http1.reader import Event, MessageAssembler, Reader
from hypothesis import given, settings
from hypothesis import strategies as st

LIMITS = CodecLimits(head_bytes=512, head_count=8, body_bytes=64)
HOST = b"Host: a\r\n"


def read(raw: bytes, reads_requests: bool = True, stream: bool = False) -> list[Event]:
    reader = Reader(reads_requests, LIMITS, stream)
    reader.feed(raw)
    events = []
    while (event := reader.next()) is not None:
        events.append(event)
    return events


def post(fields: bytes, body: bytes = b"") -> bytes:
    return b"POST /x HTTP/1.1\r\n" + HOST + fields + b"\r\n" + body


class FramingTest(unittest.TestCase):
    def test_a_request_with_a_body_of_known_length(self) -> None:
        head, body, end = read(post(b"Content-Length: 3\r\n", b"abc"))
        assert isinstance(head, RequestHead) and isinstance(body, Data)
        assert (head.method, head.target, body.body) == ("POST", "/x", b"abc")
        assert isinstance(end, End)

    def test_chunks_with_extension_and_trailer(self) -> None:
        raw = post(b"Transfer-Encoding: chunked\r\n", b"3;q=1\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n")
        events = read(raw)
        assert b"".join(e.body for e in events if isinstance(e, Data)) == b"abcde"
        assert isinstance(events[-1], End)

    def test_pipelined_requests_are_separated(self) -> None:
        events = read(post(b"Content-Length: 2\r\n", b"ab") + b"GET /y HTTP/1.1\r\n" + HOST + b"\r\n")
        assert [e.target for e in events if isinstance(e, RequestHead)] == ["/x", "/y"]

    def test_a_response_without_a_length_ends_when_the_peer_closes(self) -> None:
        reader = Reader(False, LIMITS)
        reader.feed(b"HTTP/1.1 200 OK\r\n\r\nab")
        head = reader.next()
        assert isinstance(head, ResponseHead)
        assert not head.keep_alive
        assert reader.next() == Data(b"ab")
        assert reader.next() is None
        reader.feed(b"")
        assert reader.next() == End()

    def test_responses_to_head_204_304_and_interim_responses_have_no_body(self) -> None:
        reader = MessageAssembler(Reader(False, LIMITS))
        reader.reader.expect_response_to("HEAD")
        reader.reader.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        message = reader.next()
        assert isinstance(message, CompleteMessage) and isinstance(message.head, ResponseHead)
        assert (message.head.status, message.body) == (200, b"")
        assert isinstance(read(b"HTTP/1.1 204 No Content\r\n\r\n", reads_requests=False)[-1], End)

    def test_expect_continue_is_reported_and_other_expectations_are_rejected(self) -> None:
        head = read(post(b"Expect: 100-continue\r\nContent-Length: 1\r\n"))[0]
        assert isinstance(head, RequestHead)
        assert head.expects_continue
        self.assert_rejected(post(b"Expect: the-best\r\n"), 417)

    def assert_rejected(self, raw: bytes, status: int, reads_requests: bool = True) -> None:
        with self.assertRaises(ProtocolError) as caught:
            read(raw, reads_requests)
        assert caught.exception.status == status, raw

    def test_every_form_of_request_smuggling_is_rejected(self) -> None:
        for fields in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: 3\r\nContent-Length: 4\r\n",
            b"Content-Length: +3\r\n",
            b"Content-Length: 3, 3\r\n",
            b"Content-Length: 0x3\r\n",
            b"Content-Length:\r\n",
            b"Transfer-Encoding: chunked, chunked\r\n",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length : 3\r\n",
            b"A: b\r\n folded\r\n",
            b"A: b\nContent-Length: 3\r\n",
            b"A: b\rC: d\r\n",
            b"A: \x00\r\n",
            b"Host: b\r\n",
            b"no colon\r\n",
        ):
            self.assert_rejected(post(fields, b"abc"), 400)
        self.assert_rejected(post(b"Transfer-Encoding: gzip\r\n"), 501)
        self.assert_rejected(post(b"Transfer-Encoding: xchunked\r\n"), 501)
        self.assert_rejected(b"GET / HTTP/1.1\r\n\r\n", 400)  # no Host
        self.assert_rejected(b"GET / HTTP/2.0\r\n" + HOST + b"\r\n", 505)
        self.assert_rejected(b"GET  / HTTP/1.1\r\n" + HOST + b"\r\n", 400)
        self.assert_rejected(b"GET /\n\n", 400)

    def test_every_limit_is_enforced(self) -> None:
        self.assert_rejected(post(b"A: " + b"b" * 600 + b"\r\n"), 431)
        self.assert_rejected(b"GET /" + b"a" * 600, 431)
        self.assert_rejected(post(b"A: b\r\n" * 9), 431)
        self.assert_rejected(post(b"Content-Length: 65\r\n"), 413)
        chunked = post(b"Transfer-Encoding: chunked\r\n")
        self.assert_rejected(chunked + b"41\r\n", 413)
        self.assert_rejected(chunked + b"40\r\n" + b"a" * 64 + b"\r\n1\r\n", 413)
        self.assert_rejected(chunked + b"3" * 2000, 400)
        self.assert_rejected(chunked + b"zz\r\n", 400)
        self.assert_rejected(chunked + b"1\r\nabc\r\n", 400)

    def test_too_many_trailers_are_rejected_without_recursion(self) -> None:
        # A recursive reader used one stack frame for each trailer; a few thousand trailers ended the thread.
        self.assert_rejected(post(b"Transfer-Encoding: chunked\r\n", b"0\r\n" + b"a:\r\n" * 5000), 431)

    def test_a_reader_raises_again_after_a_protocol_error(self) -> None:
        reader = Reader(True, LIMITS)
        reader.feed(b"\x00\n")
        for _ in range(2):
            with self.assertRaises(ProtocolError):
                reader.next()

    def test_the_peer_closes_in_the_middle_of_a_message(self) -> None:
        reader = Reader(True, LIMITS)
        reader.feed(post(b"Content-Length: 3\r\n", b"a"))
        reader.next()
        reader.next()
        reader.feed(b"")
        with self.assertRaises(ProtocolError):
            reader.next()


class WriterTest(unittest.TestCase):
    def test_fields_with_line_breaks_are_rejected(self) -> None:
        for name, value in (("A", "b\r\nC: d"), ("A\r\n", "b"), ("A", "b\n"), ("A b", "c"), ("A", "\x00")):
            with self.assertRaises(ValueError):
                writer.response(200, [(name, value)])
        with self.assertRaises(ValueError):
            writer.request("GET", "/a b", "h")
        with self.assertRaises(ValueError):
            writer.chunk(b"")


names = st.text("abcdefXYZ-_", min_size=1, max_size=8).filter(lambda name: name.lower() not in RESERVED)
RESERVED = ("host", "content-length", "transfer-encoding", "expect", "connection")
values = st.text(st.characters(min_codepoint=0x21, max_codepoint=0x7E), max_size=20)
fields = st.lists(st.tuples(names, values), max_size=4)


class FuzzTest(unittest.TestCase):
    @given(fields, st.binary(max_size=64), st.lists(st.integers(1, 30), max_size=40))
    @settings(max_examples=150, deadline=None)
    def test_written_messages_are_read_whatever_the_sizes_of_the_received_parts(
        self, fields: list[tuple[str, str]], body: bytes, part_sizes: list[int]
    ) -> None:
        raw = writer.request("POST", "/p", "h", fields, body) * 2
        reader = MessageAssembler(Reader(True, LIMITS))
        messages: list[CompleteMessage] = []
        position = 0
        for size in [*part_sizes, len(raw)]:
            reader.reader.feed(raw[position : position + size] or b"")
            position += size
            while (message := reader.next()) is not None:
                messages.append(message)
            if position >= len(raw):
                break
        assert [message.body for message in messages] == [body, body]
        head = messages[0].head
        for name, value in fields:
            assert (name.lower().encode(), value.encode()) in head.headers

    @given(st.binary(max_size=300), st.booleans(), st.booleans())
    @settings(max_examples=400, deadline=None)
    def test_arbitrary_bytes_give_events_or_a_protocol_error(
        self, raw: bytes, reads_requests: bool, stream: bool
    ) -> None:
        for prefix in (b"", b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"):
            reader = Reader(reads_requests, LIMITS, stream)
            reader.feed(prefix + raw)
            reader.feed(b"")
            try:
                for _ in range(1000):
                    if reader.next() is None:
                        break
                else:
                    self.fail("the reader returned 1000 events without an end")
            except ProtocolError:
                pass


if __name__ == "__main__":
    unittest.main()
