"""Incremental parser of HTTP/1.1 messages: feed bytes, then take events until `next` returns None."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from fennelcove.http1 import head_parser
from fennelcove.http1.messages import (
    CodecLimits,
    CompleteMessage,
    Data,
    End,
    ProtocolError,
    RequestHead,
    ResponseHead,
)

Event = RequestHead | ResponseHead | Data | End

State = Enum("State", "HEAD LENGTH CHUNK_SIZE CHUNK CHUNK_END TRAILERS UNTIL_CLOSE FAILED")
MAX_LINE_BYTES = 1024  # of a chunk size line or a trailer field; no supported peer sends a longer one
NO_BODY_STATUSES = (204, 304)
# A final response although it is a 1xx: the bytes after it are of another protocol (RFC 9110 section 15.2.2).
SWITCHING_PROTOCOLS = 101


class Reader:
    """Parses the messages of one direction of one connection.

    After a ProtocolError, which is also raised if the peer closes in the middle of a message, every further
    call of `next` raises it again.

    Args:
        reads_requests: whether the messages are requests; else they are responses.
        limits: the limits on each message.
        stream: whether a body may be endless; it is returned in parts, and `limits.body_bytes` doesn't apply.
    """

    def __init__(self, reads_requests: bool, limits: CodecLimits, stream: bool = False) -> None:
        self.reads_requests = reads_requests
        self.limits = limits
        self.stream = stream
        self.buffer = bytearray()
        self.state = State.HEAD
        self.is_peer_closed = False
        self.remaining = 0
        self.body_size = 0
        self.scanned = 0
        self.trailer_count = 0
        self.no_body_expected = False
        self.error: ProtocolError | None = None

    def expect_response_to(self, method: str) -> None:
        """Set the method of the request that the next response answers (RFC 9112 section 6.3)."""
        self.no_body_expected = method == "HEAD"

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty bytes mean that the peer has closed the connection."""
        if data:
            self.buffer += data
        else:
            self.is_peer_closed = True

    @property
    def is_between_messages(self) -> bool:
        """Whether no part of the next message has been received."""
        return self.state is State.HEAD and not self.buffer

    def next(self) -> Event | None:
        """Return the next event, or None if more bytes are needed.

        Raises:
            ProtocolError: the message is malformed or exceeds a limit; nothing more can be read.
        """
        if self.error is not None:
            raise self.error
        try:
            return HANDLERS[self.state](self)
        except ProtocolError as error:
            self.state, self.error = State.FAILED, error
            self.buffer.clear()
            raise

    def _check_peer_open(self) -> None:
        """Raise a ProtocolError if the peer has closed in the middle of a message."""
        if self.is_peer_closed and not self.is_between_messages:
            raise ProtocolError(400, "closed in mid-message")

    def _read_head(self) -> Event | None:
        if self.reads_requests and self.buffer.startswith(b"\r\n"):
            del self.buffer[:2]  # one empty line before a request is ignored (RFC 9112 section 2.2)
        end = self.buffer.find(b"\r\n\r\n", max(0, self.scanned - 3))
        length = len(self.buffer) if end < 0 else end
        if head_parser.BARE_LF.search(self.buffer, max(0, self.scanned - 1), length):
            raise ProtocolError(400, "a line feed without its carriage return")
        if length > self.limits.head_bytes:
            raise ProtocolError(431, f"a head longer than {self.limits.head_bytes} bytes")
        if end < 0:
            self.scanned = len(self.buffer)
            self._check_peer_open()
            return None
        raw = bytes(self.buffer[:end])
        del self.buffer[: end + 4]
        self.scanned = self.body_size = self.trailer_count = 0
        return self._start_request(raw) if self.reads_requests else self._start_response(raw)

    def _start_request(self, raw: bytes) -> RequestHead:
        head = head_parser.parse_request_head(raw, self.limits)
        self._set_body_length(head_parser.body_length(head.headers, 0, head.keep_alive))
        return head

    def _start_response(self, raw: bytes) -> ResponseHead:
        head = head_parser.parse_response_head(raw, self.limits)
        if head.status < 200 and head.status != SWITCHING_PROTOCOLS:
            self.state = State.HEAD  # an interim response has no body; the final response follows
            return head
        if self.no_body_expected or head.status in (*NO_BODY_STATUSES, SWITCHING_PROTOCOLS):
            self._set_body_length(0)
        else:
            self._set_body_length(
                head_parser.body_length(head.headers, head_parser.UNTIL_CLOSE, head.keep_alive)
            )
        if self.state is State.UNTIL_CLOSE:
            head.keep_alive = False
        return head

    def _set_body_length(self, length: int) -> None:
        if length > self.limits.body_bytes and not self.stream:
            raise ProtocolError(413, f"a body longer than {self.limits.body_bytes} bytes")
        body_states = {head_parser.CHUNKED: State.CHUNK_SIZE, head_parser.UNTIL_CLOSE: State.UNTIL_CLOSE}
        self.state = body_states.get(length, State.LENGTH)
        self.remaining = max(0, length)

    def _count_body_bytes(self, size: int) -> None:
        self.body_size += size
        if self.body_size > self.limits.body_bytes and not self.stream:
            raise ProtocolError(413, f"a body longer than {self.limits.body_bytes} bytes")

    def _take_data(self) -> Data:
        piece = bytes(self.buffer[: self.remaining])
        del self.buffer[: self.remaining]
        self.remaining -= len(piece)
        return Data(piece)

    def _read_body(self) -> Event | None:
        if self.remaining == 0:
            self.state = State.HEAD
            return End()
        if not self.buffer:
            self._check_peer_open()
            return None
        return self._take_data()

    def _read_line(self) -> bytes | None:
        end = self.buffer.find(b"\r\n")
        length = len(self.buffer) if end < 0 else end
        if head_parser.BARE_LF.search(self.buffer, 0, length):
            raise ProtocolError(400, "a line feed without its carriage return")
        if length > MAX_LINE_BYTES:
            raise ProtocolError(400, "a chunk line without end")
        if end < 0:
            self._check_peer_open()
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return line

    def _read_chunk_size(self) -> Event | None:
        line = self._read_line()
        if line is None:
            return None
        match = head_parser.CHUNK_SIZE_LINE.fullmatch(line)
        if match is None:
            raise ProtocolError(400, "a chunk size that is no hexadecimal number")
        self.remaining = int(match[1], 16)
        self._count_body_bytes(self.remaining)
        self.state = State.CHUNK if self.remaining else State.TRAILERS
        return self.next()

    def _read_chunk(self) -> Event | None:
        if not self.buffer:
            self._check_peer_open()
            return None
        data = self._take_data()
        if self.remaining == 0:
            self.state = State.CHUNK_END
        return data

    def _read_chunk_end(self) -> Event | None:
        if len(self.buffer) < 2:
            self._check_peer_open()
            return None
        if not self.buffer.startswith(b"\r\n"):
            raise ProtocolError(400, "a chunk longer than its size")
        del self.buffer[:2]
        self.state = State.CHUNK_SIZE
        return self.next()

    def _read_trailers(self) -> Event | None:
        # Trailers are validated and dropped: no decision may depend on a field that follows the body.
        while (line := self._read_line()) is not None:
            if not line:
                self.state = State.HEAD
                return End()
            head_parser.parse_fields([line], self.limits)
            self.trailer_count += 1
            if self.trailer_count > self.limits.head_count:
                raise ProtocolError(431, f"more than {self.limits.head_count} trailer fields")
        return None

    def _read_until_close(self) -> Event | None:
        if self.buffer:
            self.remaining = len(self.buffer)
            self._count_body_bytes(self.remaining)
            return self._take_data()
        if self.is_peer_closed:
            self.state = State.HEAD
            return End()
        return None

    def _raise_after_error(self) -> Event | None:
        raise ProtocolError(400, "the connection can't be read after a protocol error")


HANDLERS: dict[State, Callable[[Reader], Event | None]] = {
    State.HEAD: Reader._read_head,
    State.LENGTH: Reader._read_body,
    State.CHUNK_SIZE: Reader._read_chunk_size,
    State.CHUNK: Reader._read_chunk,
    State.CHUNK_END: Reader._read_chunk_end,
    State.TRAILERS: Reader._read_trailers,
    State.UNTIL_CLOSE: Reader._read_until_close,
    State.FAILED: Reader._raise_after_error,
}


class MessageAssembler:
    """Assembles the events of a reader into complete messages; interim responses are skipped."""

    def __init__(self, reader: Reader) -> None:
        self.reader = reader
        self.head: RequestHead | ResponseHead | None = None
        self.body = bytearray()

    def next(self) -> CompleteMessage | None:
        """Return the next complete message, or None if more bytes are needed.

        Raises:
            ProtocolError: the message is malformed or exceeds a limit.
        """
        while (event := self.reader.next()) is not None:
            if isinstance(event, Data):
                self.body += event.body
            elif isinstance(event, End):
                assert self.head is not None
                message = CompleteMessage(self.head, bytes(self.body))
                self.head = None
                self.body.clear()
                return message
            elif isinstance(event, RequestHead) or event.status >= 200 or event.status == SWITCHING_PROTOCOLS:
                self.head = event
        return None
