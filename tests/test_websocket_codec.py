"""The WebSocket codec: each case class that a conformance suite tries, a peer that is not ours, and noise."""

from __future__ import annotations

import itertools
import random
import unittest
import zlib
from collections.abc import Iterable

from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, RequestHead
from fennelcove.http1.reader import Gatherer, Reader
from fennelcove.websocket import frames, handshake
from fennelcove.websocket.conversation import (
    CLOSING,
    MESSAGES,
    Closed,
    Conversation,
    Cue,
    Event,
    Gathering,
    Message,
    Pinged,
    Ponged,
    State,
)
from fennelcove.websocket.deflate import Inflater, deflate
from fennelcove.websocket.frames import masked, write
from fennelcove.websocket.terms import Bounds, CloseCode, Opcode, Violation, may_come
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.client import ClientProtocol
from websockets.extensions.permessage_deflate import ClientPerMessageDeflateFactory
from websockets.frames import Frame
from websockets.frames import Opcode as TheirOpcode
from websockets.protocol import State as TheirState
from websockets.uri import parse_uri

MASK = b"\x12\x34\x56\x78"
BOUNDS = Bounds(1000, 2000, 8)
TEXT, BINARY, MORE = Opcode.TEXT, Opcode.BINARY, Opcode.CONTINUATION
PING, PONG, CLOSE = Opcode.PING, Opcode.PONG, Opcode.CLOSE


def client(opcode: int, data: bytes = b"", fin: bool = True, compressed: bool = False) -> bytes:
    return write(Opcode(opcode), data, MASK, fin, compressed)


def raw(first: int, second: int, rest: bytes = b"") -> bytes:
    return bytes([first, second]) + rest


def code(number: int, reason: bytes = b"") -> bytes:
    return client(CLOSE, number.to_bytes(2, "big") + reason)


SNOW = "☃ κόσμε 😀".encode()
# What a client sends, frame after frame, and what comes of it: messages, or the code it is closed with.
CASES: dict[str, tuple[list[bytes], object]] = {
    # Framing.
    "empty text": ([client(TEXT)], [""]),
    "text of 125": ([client(TEXT, b"*" * 125)], ["*" * 125]),
    "text of 126": ([client(TEXT, b"*" * 126)], ["*" * 126]),
    "binary of 1000": ([client(BINARY, b"\xfe" * 1000)], [b"\xfe" * 1000]),
    "frame over its bound": ([client(TEXT, b"*" * 1001)], 1009),
    "reserved bit 2": ([raw(0x81 | 0x20, 0x80, MASK)], 1002),
    "reserved bit 3": ([raw(0x81 | 0x10, 0x80, MASK)], 1002),
    "compressed without agreement": ([raw(0x81 | 0x40, 0x80, MASK)], 1002),
    **{
        f"reserved opcode {n}": ([raw(0x80 | n, 0x80, MASK)], 1002)
        for n in (3, 4, 5, 6, 7, 11, 12, 13, 14, 15)
    },
    "not masked": ([raw(0x81, 0x01, b"x")], 1002),
    "16 bits for a short length": ([raw(0x81, 0x80 | 126, b"\x00\x05" + MASK + b"hello")], 1002),
    "64 bits for a short length": ([raw(0x81, 0x80 | 127, (300).to_bytes(8, "big") + MASK)], 1002),
    "64 bits with the top one set": ([raw(0x81, 0x80 | 127, (1 << 63).to_bytes(8, "big"))], 1002),
    "4 GiB announced": ([raw(0x81, 0x80 | 127, (1 << 32).to_bytes(8, "big"))], 1009),
    # Pings and pongs.
    "ping of 125": ([client(PING, b"\x00\xff" * 62 + b"x")], [Pinged]),
    "ping of 126": ([client(PING, b"*" * 126)], 1002),
    "ping in fragments": ([client(PING, b"x", False)], 1002),
    "compressed ping": ([raw(0x80 | 0x40 | 9, 0x80, MASK)], 1002),
    "pong nobody asked for": ([client(PONG, b"x")], [Ponged]),
    "pong in fragments": ([client(PONG, b"x", False)], 1002),
    "close in fragments": ([client(CLOSE, b"", False)], 1002),
    # Fragments.
    "text in two": ([client(TEXT, b"a", False), client(MORE, b"b")], ["ab"]),
    "text in three, one empty": (
        [client(TEXT, b"", False), client(MORE, b"", False), client(MORE, b"b")],
        ["b"],
    ),
    "ping between fragments": (
        [client(TEXT, b"a", False), client(PING, b"p"), client(MORE, b"b")],
        [Pinged, "ab"],
    ),
    "pong between fragments": (
        [client(BINARY, b"a", False), client(PONG), client(MORE, b"b")],
        [Ponged, b"ab"],
    ),
    "close between fragments": ([client(TEXT, b"a", False), code(1000)], 1000),
    "continuation of nothing": ([client(MORE, b"a")], 1002),
    "last continuation twice": ([client(TEXT, b"a", False), client(MORE, b"b"), client(MORE, b"c")], 1002),
    "text within a text": ([client(TEXT, b"a", False), client(TEXT, b"b")], 1002),
    "binary within a text": ([client(TEXT, b"a", False), client(BINARY, b"b")], 1002),
    "text within a binary": ([client(BINARY, b"a", False), client(TEXT, b"b")], 1002),
    "too many fragments": ([client(TEXT, b"", False), *[client(MORE, b"", False)] * 8], 1009),
    "message over its bound": (
        [client(BINARY, b"*" * 900, False), client(MORE, b"*" * 900, False), client(MORE, b"*" * 900)],
        1009,
    ),
    # UTF-8.
    "utf-8": ([client(TEXT, SNOW)], [SNOW.decode()]),
    "utf-8 cut in a character": ([client(TEXT, SNOW[:2], False), client(MORE, SNOW[2:])], [SNOW.decode()]),
    "utf-8 byte by byte": (
        [client(TEXT, b"\xf0", False), client(MORE, b"\x9f", False), client(MORE, b"\x98\x80")],
        ["😀"],
    ),
    "utf-8 tail missing": ([client(TEXT, b"\xce\xba\xe1\xbd")], 1007),
    "utf-8 wrong in the first fragment": ([client(TEXT, b"\xed\xa0\x80", False)], 1007),
    "utf-8 surrogate": ([client(TEXT, b"\xed\xbf\xbf")], 1007),
    "utf-8 overlong": ([client(TEXT, b"\xc0\xaf")], 1007),
    "utf-8 over U+10FFFF": ([client(TEXT, b"\xf4\x90\x80\x80")], 1007),
    "utf-8 not asked of bytes": ([client(BINARY, b"\xc0\xaf")], [b"\xc0\xaf"]),
    # Closing.
    "close without code": ([client(CLOSE)], 1005),
    "close of one byte": ([client(CLOSE, b"\x03")], 1002),
    "close with reason": ([code(1001, b"bye")], 1001),
    "close with a reason that is not UTF-8": ([code(1000, b"\xce\xba\xe1\xbd")], 1007),
    "close of 126": ([client(CLOSE, b"\x03\xe8" + b"*" * 124)], 1002),
    **{f"code {n}": ([code(n)], n) for n in (1000, 1003, 1007, 1011, 1014, 3000, 3999, 4000, 4999)},
    **{
        f"no code {n}": ([code(n)], 1002)
        for n in (0, 999, 1004, 1005, 1006, 1015, 1016, 1100, 2000, 2999, 5000)
    },
    "text after close": ([code(1000), client(TEXT, b"late")], 1000),
    "ping after close": ([code(1000), client(PING, b"late")], 1000),
    "two closes": ([code(1000), code(1001)], 1000),
}
DEFLATED: dict[str, tuple[list[bytes], object]] = {
    "compressed": ([client(TEXT, deflate(b"a" * 300), True, True)], ["a" * 300]),
    "compressed in fragments": (
        [client(TEXT, deflate(b"a" * 300)[:3], False, True), client(MORE, deflate(b"a" * 300)[3:])],
        ["a" * 300],
    ),
    "plain beside it": ([client(TEXT, b"a"), client(TEXT, deflate(b"b"), True, True)], ["a", "b"]),
    "empty": ([client(TEXT, deflate(b""), True, True)], [""]),
    "a bomb": ([client(BINARY, deflate(bytes(5_000_000))[:990], True, True)], 1009),
    "a bomb in fragments": (
        [client(BINARY, deflate(bytes(9_000))[:10], False, True), client(MORE, deflate(bytes(9_000))[10:])],
        1009,
    ),
    "no deflated data": ([client(TEXT, b"\xff\xff\xff\xff", True, True)], 1007),
    "bit on a continuation": ([client(TEXT, b"", False), raw(0xC0, 0x80, MASK)], 1002),
    "utf-8 wrong inside": ([client(TEXT, deflate(b"\xc0\xaf"), True, True)], 1007),
}


def fed(
    conversation: Conversation, parts: Iterable[bytes], one_by_one: bool = False
) -> tuple[list[Event], list[object]]:
    events: list[Event] = []
    for part in parts:
        for data in [bytes([byte]) for byte in part] if one_by_one else [part]:
            events += conversation.receive(data)
    plain = [event.data if isinstance(event, Message) else type(event) for event in events]
    return events, plain


class ConformanceTest(unittest.TestCase):
    def test_each_case_whole_and_byte_by_byte(self) -> None:
        for deflates, table in ((False, CASES), (True, DEFLATED)):
            for (name, (parts, expected)), one_by_one in itertools.product(table.items(), (False, True)):
                with self.subTest(name, one_by_one=one_by_one):
                    server = Conversation(BOUNDS, deflates)
                    events, plain = fed(server, parts, one_by_one)
                    if isinstance(expected, int):
                        last = events[-1]
                        assert isinstance(last, Closed), events
                        assert last.code == expected
                        assert sum(isinstance(event, Closed) for event in events) == 1
                        assert server.state is State.CLOSED
                        answer = server.take()
                        assert answer[0] == 128 | CLOSE, "each way out is told with a close"
                    else:
                        assert plain == expected
                        assert server.state is State.OPEN

    def test_the_tables_are_total(self) -> None:
        data = (TEXT, BINARY, MORE)
        assert set(MESSAGES) == set(itertools.product(Gathering, data))
        assert set(CLOSING) == set(itertools.product(State, Cue))
        for cue in Cue:
            assert CLOSING[State.CLOSED, cue] == (State.CLOSED, ())
        assert [n for n in (1004, 1005, 1006, 1015, 2999) if may_come(n)] == []

    def test_a_server_that_masks_and_a_client_that_does_not(self) -> None:
        us = Conversation(BOUNDS, mask=lambda: MASK)
        (event,) = us.receive(client(TEXT, b"x"))
        assert isinstance(event, Closed)
        assert event.code == CloseCode.PROTOCOL_ERROR

    def test_a_ping_is_answered_and_a_close_that_crosses_ends_both(self) -> None:
        one, two = Conversation(BOUNDS), Conversation(BOUNDS, mask=lambda: MASK)
        two.ping(b"here")
        assert one.receive(two.take()) == [Pinged(b"here")]
        assert two.receive(one.take()) == [Ponged(b"here")]
        one.close(CloseCode.RESTART, "we restart")
        two.close(CloseCode.NORMAL, "done")
        one.send("never sent")
        first, second = one.take(), two.take()
        assert two.receive(first) == [Closed(CloseCode.RESTART, "we restart", True)]
        assert one.receive(second) == [Closed(CloseCode.NORMAL, "done", True)]
        assert (one.take(), two.take()) == (b"", b"")
        one.close()
        assert (one.receive(b"x"), one.receive(b""), one.take()) == ([], [], b"")

    def test_messages_that_cross_with_our_close_are_read_past(self) -> None:
        server = Conversation(BOUNDS)
        server.close(CloseCode.GOING_AWAY)
        events, _ = fed(server, [client(TEXT, b"late"), client(PING, b"x"), code(1001)])
        assert [type(event) for event in events] == [Pinged, Closed]

    def test_a_peer_that_hangs_up_without_a_word(self) -> None:
        server = Conversation(BOUNDS)
        server.receive(client(TEXT, b"half", False))
        (event,) = server.receive(b"")
        assert event == Closed(CloseCode.ABNORMAL, "the peer hung up without a close", False)

    def test_a_long_reason_is_cut_between_characters(self) -> None:
        server = Conversation(BOUNDS)
        server.close(CloseCode.NORMAL, "é" * 200)
        frame = server.take()
        assert frame[1] <= 125
        frame[4:].decode()

    @given(st.binary(max_size=300), st.integers(0, 7), st.integers(0, 300))
    @settings(max_examples=200, deadline=None)
    def test_masking_is_its_own_inverse_wherever_it_is_cut(self, data: bytes, at: int, cut: int) -> None:
        whole = masked(data, MASK, at)
        assert masked(whole, MASK, at) == data
        cut = min(cut, len(data))
        assert masked(data[:cut], MASK, at) + masked(data[cut:], MASK, at + cut) == whole

    @given(st.binary(max_size=3000))
    @settings(max_examples=100, deadline=None)
    def test_what_is_deflated_comes_back_and_never_past_the_bound(self, data: bytes) -> None:
        inflater = Inflater(2000)
        if len(data) > 2000:
            with self.assertRaises(Violation):
                inflater.add(deflate(data)) + inflater.end()
        else:
            assert inflater.add(deflate(data)) + inflater.end() == data
        assert zlib.decompress(deflate(data) + b"\x00\x00\xff\xff\x03\x00", -15) == data


class NoiseTest(unittest.TestCase):
    @given(st.binary(max_size=400), st.booleans())
    @settings(max_examples=300, deadline=None)
    def test_any_bytes_end_in_events_or_a_close_and_never_in_an_error(
        self, data: bytes, deflates: bool
    ) -> None:
        self.bounded(data, deflates)

    def test_recorded_traffic_changed_in_places(self) -> None:
        chance = random.Random(7)
        parts = [*CASES.values(), *DEFLATED.values()]
        for _ in range(3000):
            traffic = bytearray(b"".join(b"".join(chance.choice(parts)[0]) for _ in range(3)))
            for _ in range(chance.randint(1, 4)):
                if traffic:
                    traffic[chance.randrange(len(traffic))] = chance.randrange(256)
            self.bounded(bytes(traffic), True)

    def bounded(self, data: bytes, deflates: bool) -> None:
        server = Conversation(BOUNDS, deflates)
        at = 0
        for size in itertools.cycle((1, 7, 50)):
            for event in server.receive(data[at : at + size] or b""):
                if isinstance(event, Message):
                    assert len(event.data) <= BOUNDS.message_bytes
            assert len(server.reader.buffer) <= BOUNDS.frame_bytes + 64
            if at >= len(data):
                break
            at += size
        assert server.state is State.CLOSED


def request(fields: list[tuple[str, str]], method: str = "GET") -> RequestHead:
    gatherer = Gatherer(Reader(True, CodecLimits()))
    gatherer.reader.feed(writer.request(method, "/v1/session", "here", fields))
    whole = gatherer.next()
    assert whole is not None and isinstance(whole.head, RequestHead)
    return whole.head


class HandshakeTest(unittest.TestCase):
    KEY = bytes(range(16))

    def fields(self, **changes: str | None) -> list[tuple[str, str]]:
        made = dict(handshake.client(self.KEY, ["v1"], True))
        for name, value in changes.items():
            made.pop(name.replace("_", "-"), None)
            if value is not None:
                made[name.replace("_", "-")] = value
        return list(made.items())

    def test_the_example_of_the_specification(self) -> None:
        assert handshake.accept_key("dGhlIHNhbXBsZSBub25jZQ==") == "s3pPLMBiTxaQ9kYGzzhZRbK+xOo="

    def test_what_is_amiss_is_refused_with_its_status(self) -> None:
        for status, changes in (
            (426, {"Sec_WebSocket_Version": "8"}),
            (426, {"Sec_WebSocket_Version": None}),
            (400, {"Connection": "keep-alive"}),
            (400, {"Sec_WebSocket_Key": "short"}),
            (400, {"Sec_WebSocket_Key": None}),
            (400, {"Sec_WebSocket_Protocol": "other"}),
            (403, {"Origin": "https://evil.example"}),
        ):
            with self.assertRaises(handshake.Refused) as caught:
                handshake.server(request(self.fields(**changes)), ["v1"], ["https://own.example"], True)
            assert caught.exception.status == status, changes
        with self.assertRaises(handshake.Refused):
            handshake.server(request(self.fields(), "POST"), ["v1"], [], True)

    def test_origins_and_programs_that_name_none(self) -> None:
        for origin in (None, "https://own.example", "HTTPS://OWN.example"):
            head = request(self.fields(Origin=origin))
            assert handshake.server(head, ["v1"], ["https://own.example"], True).protocol == "v1"

    def test_offers_of_deflate(self) -> None:
        for offer, taken in (
            ("permessage-deflate", True),
            ("permessage-deflate; client_max_window_bits", True),
            ("permessage-deflate; server_max_window_bits=10, permessage-deflate", True),
            ("permessage-deflate; server_max_window_bits=10", False),
            ("permessage-deflate; x=1", False),
            ("permessage-deflate; client_no_context_takeover; client_no_context_takeover", False),
            ("x-other", False),
        ):
            head = request(self.fields(Sec_WebSocket_Extensions=offer))
            assert handshake.server(head, ["v1"], [], True).deflates is taken, offer
            assert not handshake.server(head, ["v1"], [], False).deflates


class ForeignPeerTest(unittest.TestCase):
    """A whole exchange with a client's protocol that we did not write."""

    def exchange(self, compress: bool) -> None:
        extensions = [ClientPerMessageDeflateFactory()] if compress else None
        theirs = ClientProtocol(
            parse_uri("ws://here/v1/session"),
            subprotocols=["v1"],  # type: ignore[list-item]
            extensions=extensions,
        )
        theirs.send_request(theirs.connect())
        gatherer = Gatherer(Reader(True, CodecLimits()))
        gatherer.reader.feed(b"".join(theirs.data_to_send()))
        whole = gatherer.next()
        assert whole is not None and isinstance(whole.head, RequestHead)
        agreed = handshake.server(whole.head, ["v1"], [], True)
        assert agreed.deflates is compress
        theirs.receive_data(writer.response(101, agreed.fields).replace(b"Content-Length: 0\r\n", b""))
        assert theirs.state is TheirState.OPEN, theirs.handshake_exc
        theirs.events_received()
        ours = Conversation(Bounds(), agreed.deflates)
        for text in ("x", "lesson " * 400, "☃" * 900):
            theirs.send_text(text.encode())
            (event,) = ours.receive(b"".join(theirs.data_to_send()))
            assert event == Message(text)
            ours.send(text)
            theirs.receive_data(ours.take())
            (frame,) = theirs.events_received()
            assert isinstance(frame, Frame)
            assert (frame.opcode, frame.data) == (TheirOpcode.TEXT, text.encode())
        ours.ping(b"p")
        theirs.receive_data(ours.take())
        assert Ponged(b"p") in ours.receive(b"".join(theirs.data_to_send()))
        ours.close(CloseCode.RESTART, "again")
        theirs.receive_data(ours.take())
        ours.receive(b"".join(theirs.data_to_send()))
        theirs.receive_eof()
        assert ours.state is State.CLOSED
        assert (theirs.close_code, theirs.close_reason) == (1012, "again")

    def test_with_and_without_compression(self) -> None:
        for compress in (False, True):
            with self.subTest(compress=compress):
                self.exchange(compress)


class FramesTest(unittest.TestCase):
    def test_a_frame_in_pieces_is_given_as_it_comes(self) -> None:
        reader = frames.FrameReader(True, False, Bounds())
        whole = client(BINARY, bytes(range(256)) * 4)
        found = b""
        for at in range(0, len(whole), 100):
            reader.feed(whole[at : at + 100])
            while (piece := reader.next()) is not None:
                found += piece.data
        assert found == bytes(range(256)) * 4
        assert not reader.begun


if __name__ == "__main__":
    unittest.main()
