"""The WebSocket codec: the case classes of a conformance suite, an independent peer, and fuzzing."""

from __future__ import annotations

import itertools
import random
import unittest
import zlib
from collections.abc import Iterable

from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, RequestHead
from fennelcove.http1.reader import MessageAssembler, Reader
from fennelcove.websocket import frames, handshake
from fennelcove.websocket.deflate import Inflater, deflate
from fennelcove.websocket.frames import apply_mask, write
from fennelcove.websocket.protocol import (
    CLOSING,
    MESSAGES,
    Closed,
    CloseEvent,
    Event,
    Message,
    MessageState,
    PingReceived,
    PongReceived,
    State,
    WebSocketProtocol,
)
from fennelcove.websocket.protocol_constants import (
    Bounds,
    CloseCode,
    Opcode,
    ProtocolViolationError,
    is_valid_close_code,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.client import ClientProtocol
from websockets.extensions.permessage_deflate import ClientPerMessageDeflateFactory
from websockets.frames import Frame
from websockets.frames import Opcode as PeerOpcode
from websockets.protocol import State as PeerState
from websockets.uri import parse_uri

MASK = b"\x12\x34\x56\x78"
BOUNDS = Bounds(1000, 2000, 8)
TEXT, BINARY, CONTINUATION = Opcode.TEXT, Opcode.BINARY, Opcode.CONTINUATION
PING, PONG, CLOSE = Opcode.PING, Opcode.PONG, Opcode.CLOSE


def client(opcode: int, data: bytes = b"", fin: bool = True, compressed: bool = False) -> bytes:
    return write(Opcode(opcode), data, MASK, fin, compressed)


def raw_frame(first: int, second: int, rest: bytes = b"") -> bytes:
    return bytes([first, second]) + rest


def client_close(number: int, reason: bytes = b"") -> bytes:
    return client(CLOSE, number.to_bytes(2, "big") + reason)


NON_ASCII = "☃ κόσμε 😀".encode()
# The frames that a client sends, and the expected result: messages, or the code with which the server closes.
CASES: dict[str, tuple[list[bytes], object]] = {
    # Framing.
    "empty text": ([client(TEXT)], [""]),
    "text of 125": ([client(TEXT, b"*" * 125)], ["*" * 125]),
    "text of 126": ([client(TEXT, b"*" * 126)], ["*" * 126]),
    "binary of 1000": ([client(BINARY, b"\xfe" * 1000)], [b"\xfe" * 1000]),
    "frame over its limit": ([client(TEXT, b"*" * 1001)], 1009),
    "reserved bit 2": ([raw_frame(0x81 | 0x20, 0x80, MASK)], 1002),
    "reserved bit 3": ([raw_frame(0x81 | 0x10, 0x80, MASK)], 1002),
    "compressed without agreement": ([raw_frame(0x81 | 0x40, 0x80, MASK)], 1002),
    **{
        f"reserved opcode {n}": ([raw_frame(0x80 | n, 0x80, MASK)], 1002)
        for n in (3, 4, 5, 6, 7, 11, 12, 13, 14, 15)
    },
    "not masked": ([raw_frame(0x81, 0x01, b"x")], 1002),
    "16-bit field for a short length": ([raw_frame(0x81, 0x80 | 126, b"\x00\x05" + MASK + b"hello")], 1002),
    "64-bit field for a short length": ([raw_frame(0x81, 0x80 | 127, (300).to_bytes(8, "big") + MASK)], 1002),
    "64-bit length with the highest bit set": (
        [raw_frame(0x81, 0x80 | 127, (1 << 63).to_bytes(8, "big"))],
        1002,
    ),
    "4 GiB announced": ([raw_frame(0x81, 0x80 | 127, (1 << 32).to_bytes(8, "big"))], 1009),
    # Pings and pongs.
    "ping of 125": ([client(PING, b"\x00\xff" * 62 + b"x")], [PingReceived]),
    "ping of 126": ([client(PING, b"*" * 126)], 1002),
    "ping in fragments": ([client(PING, b"x", False)], 1002),
    "compressed ping": ([raw_frame(0x80 | 0x40 | 9, 0x80, MASK)], 1002),
    "unsolicited pong": ([client(PONG, b"x")], [PongReceived]),
    "pong in fragments": ([client(PONG, b"x", False)], 1002),
    "close in fragments": ([client(CLOSE, b"", False)], 1002),
    # Fragments.
    "text in two": ([client(TEXT, b"a", False), client(CONTINUATION, b"b")], ["ab"]),
    "text in three, one empty": (
        [client(TEXT, b"", False), client(CONTINUATION, b"", False), client(CONTINUATION, b"b")],
        ["b"],
    ),
    "ping between fragments": (
        [client(TEXT, b"a", False), client(PING, b"p"), client(CONTINUATION, b"b")],
        [PingReceived, "ab"],
    ),
    "pong between fragments": (
        [client(BINARY, b"a", False), client(PONG), client(CONTINUATION, b"b")],
        [PongReceived, b"ab"],
    ),
    "close between fragments": ([client(TEXT, b"a", False), client_close(1000)], 1000),
    "continuation without a message": ([client(CONTINUATION, b"a")], 1002),
    "second final continuation": (
        [client(TEXT, b"a", False), client(CONTINUATION, b"b"), client(CONTINUATION, b"c")],
        1002,
    ),
    "text within a text": ([client(TEXT, b"a", False), client(TEXT, b"b")], 1002),
    "binary within a text": ([client(TEXT, b"a", False), client(BINARY, b"b")], 1002),
    "text within a binary": ([client(BINARY, b"a", False), client(TEXT, b"b")], 1002),
    "too many fragments": ([client(TEXT, b"", False), *[client(CONTINUATION, b"", False)] * 8], 1009),
    "message over its limit": (
        [
            client(BINARY, b"*" * 900, False),
            client(CONTINUATION, b"*" * 900, False),
            client(CONTINUATION, b"*" * 900),
        ],
        1009,
    ),
    # UTF-8.
    "utf-8": ([client(TEXT, NON_ASCII)], [NON_ASCII.decode()]),
    "utf-8 character split between fragments": (
        [client(TEXT, NON_ASCII[:2], False), client(CONTINUATION, NON_ASCII[2:])],
        [NON_ASCII.decode()],
    ),
    "utf-8 byte by byte": (
        [
            client(TEXT, b"\xf0", False),
            client(CONTINUATION, b"\x9f", False),
            client(CONTINUATION, b"\x98\x80"),
        ],
        ["😀"],
    ),
    "utf-8 truncated": ([client(TEXT, b"\xce\xba\xe1\xbd")], 1007),
    "invalid utf-8 in the first fragment": ([client(TEXT, b"\xed\xa0\x80", False)], 1007),
    "utf-8 surrogate": ([client(TEXT, b"\xed\xbf\xbf")], 1007),
    "utf-8 overlong": ([client(TEXT, b"\xc0\xaf")], 1007),
    "utf-8 over U+10FFFF": ([client(TEXT, b"\xf4\x90\x80\x80")], 1007),
    "utf-8 not required in binary": ([client(BINARY, b"\xc0\xaf")], [b"\xc0\xaf"]),
    # Closing.
    "close without code": ([client(CLOSE)], 1005),
    "close of one byte": ([client(CLOSE, b"\x03")], 1002),
    "close with reason": ([client_close(1001, b"bye")], 1001),
    "close with a reason that is not UTF-8": ([client_close(1000, b"\xce\xba\xe1\xbd")], 1007),
    "close of 126": ([client(CLOSE, b"\x03\xe8" + b"*" * 124)], 1002),
    **{f"code {n}": ([client_close(n)], n) for n in (1000, 1003, 1007, 1011, 1014, 3000, 3999, 4000, 4999)},
    **{
        f"invalid code {n}": ([client_close(n)], 1002)
        for n in (0, 999, 1004, 1005, 1006, 1015, 1016, 1100, 2000, 2999, 5000)
    },
    "text after close": ([client_close(1000), client(TEXT, b"late")], 1000),
    "ping after close": ([client_close(1000), client(PING, b"late")], 1000),
    "two closes": ([client_close(1000), client_close(1001)], 1000),
}
DEFLATED: dict[str, tuple[list[bytes], object]] = {
    "compressed": ([client(TEXT, deflate(b"a" * 300), True, True)], ["a" * 300]),
    "compressed in fragments": (
        [client(TEXT, deflate(b"a" * 300)[:3], False, True), client(CONTINUATION, deflate(b"a" * 300)[3:])],
        ["a" * 300],
    ),
    "uncompressed message before it": (
        [client(TEXT, b"a"), client(TEXT, deflate(b"b"), True, True)],
        ["a", "b"],
    ),
    "empty": ([client(TEXT, deflate(b""), True, True)], [""]),
    "decompression bomb": ([client(BINARY, deflate(bytes(5_000_000))[:990], True, True)], 1009),
    "decompression bomb in fragments": (
        [
            client(BINARY, deflate(bytes(9_000))[:10], False, True),
            client(CONTINUATION, deflate(bytes(9_000))[10:]),
        ],
        1009,
    ),
    "invalid deflate data": ([client(TEXT, b"\xff\xff\xff\xff", True, True)], 1007),
    "compressed bit on a continuation": ([client(TEXT, b"", False), raw_frame(0xC0, 0x80, MASK)], 1002),
    "invalid utf-8 in compressed text": ([client(TEXT, deflate(b"\xc0\xaf"), True, True)], 1007),
}


def receive_all(
    conversation: WebSocketProtocol, parts: Iterable[bytes], byte_by_byte: bool = False
) -> tuple[list[Event], list[object]]:
    events: list[Event] = []
    for part in parts:
        for data in [bytes([byte]) for byte in part] if byte_by_byte else [part]:
            events += conversation.receive(data)
    results = [event.data if isinstance(event, Message) else type(event) for event in events]
    return events, results


class ConformanceTest(unittest.TestCase):
    def test_each_case_at_once_and_byte_by_byte(self) -> None:
        for deflates, table in ((False, CASES), (True, DEFLATED)):
            for (name, (parts, expected)), byte_by_byte in itertools.product(table.items(), (False, True)):
                with self.subTest(name, byte_by_byte=byte_by_byte):
                    server = WebSocketProtocol(BOUNDS, deflates)
                    events, results = receive_all(server, parts, byte_by_byte)
                    if isinstance(expected, int):
                        last = events[-1]
                        assert isinstance(last, Closed), events
                        assert last.code == expected
                        assert sum(isinstance(event, Closed) for event in events) == 1
                        assert server.state is State.CLOSED
                        answer = server.take()
                        assert answer[0] == 128 | CLOSE, "the server did not answer with a close frame"
                    else:
                        assert results == expected
                        assert server.state is State.OPEN

    def test_the_tables_are_total(self) -> None:
        data = (TEXT, BINARY, CONTINUATION)
        assert set(MESSAGES) == set(itertools.product(MessageState, data))
        assert set(CLOSING) == set(itertools.product(State, CloseEvent))
        for event in CloseEvent:
            assert CLOSING[State.CLOSED, event] == (State.CLOSED, ())
        assert [n for n in (1004, 1005, 1006, 1015, 2999) if is_valid_close_code(n)] == []

    def test_a_server_that_masks_and_a_client_that_does_not(self) -> None:
        connection = WebSocketProtocol(BOUNDS, mask=lambda: MASK)
        (event,) = connection.receive(client(TEXT, b"x"))
        assert isinstance(event, Closed)
        assert event.code == CloseCode.PROTOCOL_ERROR

    def test_a_ping_is_answered_and_simultaneous_closes_end_both_sides(self) -> None:
        server, client_side = WebSocketProtocol(BOUNDS), WebSocketProtocol(BOUNDS, mask=lambda: MASK)
        client_side.ping(b"here")
        assert server.receive(client_side.take()) == [PingReceived(b"here")]
        assert client_side.receive(server.take()) == [PongReceived(b"here")]
        server.close(CloseCode.RESTART, "we restart")
        client_side.close(CloseCode.NORMAL, "done")
        server.send("never sent")
        first, second = server.take(), client_side.take()
        assert client_side.receive(first) == [Closed(CloseCode.RESTART, "we restart", True)]
        assert server.receive(second) == [Closed(CloseCode.NORMAL, "done", True)]
        assert (server.take(), client_side.take()) == (b"", b"")
        server.close()
        assert (server.receive(b"x"), server.receive(b""), server.take()) == ([], [], b"")

    def test_messages_after_a_close_of_this_side_are_ignored(self) -> None:
        server = WebSocketProtocol(BOUNDS)
        server.close(CloseCode.GOING_AWAY)
        events, _ = receive_all(server, [client(TEXT, b"late"), client(PING, b"x"), client_close(1001)])
        assert [type(event) for event in events] == [PingReceived, Closed]

    def test_a_peer_that_disconnects_without_a_close_frame(self) -> None:
        server = WebSocketProtocol(BOUNDS)
        server.receive(client(TEXT, b"half", False))
        (event,) = server.receive(b"")
        assert event == Closed(CloseCode.ABNORMAL, "the peer disconnected without a close frame", False)

    def test_a_long_reason_is_cut_at_a_character_boundary(self) -> None:
        server = WebSocketProtocol(BOUNDS)
        server.close(CloseCode.NORMAL, "é" * 200)
        frame = server.take()
        assert frame[1] <= 125
        frame[4:].decode()

    @given(st.binary(max_size=300), st.integers(0, 7), st.integers(0, 300))
    @settings(max_examples=200, deadline=None)
    def test_masking_is_its_own_inverse_wherever_it_is_split(
        self, data: bytes, position: int, split: int
    ) -> None:
        masked_data = apply_mask(data, MASK, position)
        assert apply_mask(masked_data, MASK, position) == data
        split = min(split, len(data))
        assert (
            apply_mask(data[:split], MASK, position) + apply_mask(data[split:], MASK, position + split)
            == masked_data
        )

    @given(st.binary(max_size=3000))
    @settings(max_examples=100, deadline=None)
    def test_deflated_data_is_restored_and_never_exceeds_the_limit(self, data: bytes) -> None:
        inflater = Inflater(2000)
        if len(data) > 2000:
            with self.assertRaises(ProtocolViolationError):
                inflater.add(deflate(data)) + inflater.end()
        else:
            assert inflater.add(deflate(data)) + inflater.end() == data
        assert zlib.decompress(deflate(data) + b"\x00\x00\xff\xff\x03\x00", -15) == data


class FuzzTest(unittest.TestCase):
    @given(st.binary(max_size=400), st.booleans())
    @settings(max_examples=300, deadline=None)
    def test_arbitrary_bytes_give_events_or_a_close_and_no_error(self, data: bytes, deflates: bool) -> None:
        self.assert_bounded(data, deflates)

    def test_traffic_with_random_changes(self) -> None:
        rng = random.Random(7)
        parts = [*CASES.values(), *DEFLATED.values()]
        for _ in range(3000):
            traffic = bytearray(b"".join(b"".join(rng.choice(parts)[0]) for _ in range(3)))
            for _ in range(rng.randint(1, 4)):
                if traffic:
                    traffic[rng.randrange(len(traffic))] = rng.randrange(256)
            self.assert_bounded(bytes(traffic), True)

    def assert_bounded(self, data: bytes, deflates: bool) -> None:
        server = WebSocketProtocol(BOUNDS, deflates)
        position = 0
        for size in itertools.cycle((1, 7, 50)):
            for event in server.receive(data[position : position + size] or b""):
                if isinstance(event, Message):
                    assert len(event.data) <= BOUNDS.message_bytes
            assert len(server.reader.buffer) <= BOUNDS.frame_bytes + 64
            if position >= len(data):
                break
            position += size
        assert server.state is State.CLOSED


def request(fields: list[tuple[str, str]], method: str = "GET") -> RequestHead:
    gatherer = MessageAssembler(Reader(True, CodecLimits()))
    gatherer.reader.feed(writer.request(method, "/v1/session", "here", fields))
    message = gatherer.next()
    assert message is not None and isinstance(message.head, RequestHead)
    return message.head


class HandshakeTest(unittest.TestCase):
    KEY = bytes(range(16))

    def fields(self, **changes: str | None) -> list[tuple[str, str]]:
        fields = dict(handshake.client(self.KEY, ["v1"], True))
        for name, value in changes.items():
            fields.pop(name.replace("_", "-"), None)
            if value is not None:
                fields[name.replace("_", "-")] = value
        return list(fields.items())

    def test_the_example_of_the_specification(self) -> None:
        assert handshake.accept_key("dGhlIHNhbXBsZSBub25jZQ==") == "s3pPLMBiTxaQ9kYGzzhZRbK+xOo="

    def test_invalid_requests_are_rejected_with_a_status(self) -> None:
        for status, changes in (
            (426, {"Sec_WebSocket_Version": "8"}),
            (426, {"Sec_WebSocket_Version": None}),
            (400, {"Connection": "keep-alive"}),
            (400, {"Sec_WebSocket_Key": "short"}),
            (400, {"Sec_WebSocket_Key": None}),
            (400, {"Sec_WebSocket_Protocol": "other"}),
            (403, {"Origin": "https://evil.example"}),
        ):
            with self.assertRaises(handshake.HandshakeError) as caught:
                handshake.server(request(self.fields(**changes)), ["v1"], ["https://own.example"], True)
            assert caught.exception.status == status, changes
        with self.assertRaises(handshake.HandshakeError):
            handshake.server(request(self.fields(), "POST"), ["v1"], [], True)

    def test_allowed_origins_and_requests_without_an_origin(self) -> None:
        for origin in (None, "https://own.example", "HTTPS://OWN.example"):
            head = request(self.fields(Origin=origin))
            assert handshake.server(head, ["v1"], ["https://own.example"], True).protocol == "v1"

    def test_offers_of_deflate(self) -> None:
        for offer, accepted in (
            ("permessage-deflate", True),
            ("permessage-deflate; client_max_window_bits", True),
            ("permessage-deflate; server_max_window_bits=10, permessage-deflate", True),
            ("permessage-deflate; server_max_window_bits=10", False),
            ("permessage-deflate; x=1", False),
            ("permessage-deflate; client_no_context_takeover; client_no_context_takeover", False),
            ("x-other", False),
        ):
            head = request(self.fields(Sec_WebSocket_Extensions=offer))
            assert handshake.server(head, ["v1"], [], True).deflates is accepted, offer
            assert not handshake.server(head, ["v1"], [], False).deflates


class IndependentPeerTest(unittest.TestCase):
    """A complete exchange with the client protocol of the library websockets."""

    def exchange(self, compress: bool) -> None:
        extensions = [ClientPerMessageDeflateFactory()] if compress else None
        peer = ClientProtocol(
            parse_uri("ws://here/v1/session"),
            subprotocols=["v1"],  # type: ignore[list-item]
            extensions=extensions,
        )
        peer.send_request(peer.connect())
        gatherer = MessageAssembler(Reader(True, CodecLimits()))
        gatherer.reader.feed(b"".join(peer.data_to_send()))
        message = gatherer.next()
        assert message is not None and isinstance(message.head, RequestHead)
        result = handshake.server(message.head, ["v1"], [], True)
        assert result.deflates is compress
        peer.receive_data(writer.response(101, result.fields).replace(b"Content-Length: 0\r\n", b""))
        assert peer.state is PeerState.OPEN, peer.handshake_exc
        peer.events_received()
        server = WebSocketProtocol(Bounds(), result.deflates)
        for text in ("x", "lesson " * 400, "☃" * 900):
            peer.send_text(text.encode())
            (event,) = server.receive(b"".join(peer.data_to_send()))
            assert event == Message(text)
            server.send(text)
            peer.receive_data(server.take())
            (frame,) = peer.events_received()
            assert isinstance(frame, Frame)
            assert (frame.opcode, frame.data) == (PeerOpcode.TEXT, text.encode())
        server.ping(b"p")
        peer.receive_data(server.take())
        assert PongReceived(b"p") in server.receive(b"".join(peer.data_to_send()))
        server.close(CloseCode.RESTART, "again")
        peer.receive_data(server.take())
        server.receive(b"".join(peer.data_to_send()))
        peer.receive_eof()
        assert server.state is State.CLOSED
        assert (peer.close_code, peer.close_reason) == (1012, "again")

    def test_with_and_without_compression(self) -> None:
        for compress in (False, True):
            with self.subTest(compress=compress):
                self.exchange(compress)


class FramesTest(unittest.TestCase):
    def test_a_frame_received_in_parts_is_returned_in_parts(self) -> None:
        reader = frames.FrameReader(True, False, Bounds())
        message = client(BINARY, bytes(range(256)) * 4)
        found = b""
        for position in range(0, len(message), 100):
            reader.feed(message[position : position + 100])
            while (part := reader.next()) is not None:
                found += part.data
        assert found == bytes(range(256)) * 4
        assert not reader.is_mid_frame


if __name__ == "__main__":
    unittest.main()
