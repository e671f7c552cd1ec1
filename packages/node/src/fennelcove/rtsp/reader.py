"""Incremental parser: feed bytes to it, then call `next` until it returns None."""

from __future__ import annotations

import re

from fennelcove.rtsp.messages import (
    MAX_FIELDS,
    MAX_MESSAGE_BYTES,
    Fields,
    Message,
    ProtocolError,
    Request,
    Response,
)

_REQUEST_LINE = re.compile(rb"([A-Z_]{1,32}) ([\x21-\x7e]{1,512}) RTSP/1\.0")
_STATUS_LINE = re.compile(rb"RTSP/1\.0 ([1-5][0-9]{2})(?: [\t\x20-\x7e]*)?")
_FIELD = re.compile(rb"([A-Za-z][A-Za-z0-9-]{0,63}):[ \t]*([\t\x20-\x7e]*)")
_LENGTH = re.compile(r"[0-9]{1,9}")
_BARE_LINE_BREAK = re.compile(rb"(?:^|[^\r])\n|\r[^\n]")


class Reader:
    """Parses one direction of one connection; after a ProtocolError each further call raises it again."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.head: tuple[bytes, Fields] | None = None
        self.body_length = 0
        self.scanned_bytes = 0
        self.failure: ProtocolError | None = None

    @property
    def is_between_messages(self) -> bool:
        """Whether no part of a message is buffered."""
        return self.head is None and not self.buffer

    def feed(self, data: bytes) -> None:
        """Add received data."""
        self.buffer += data

    def next(self) -> Message | None:
        """Return the next message, or None while more bytes are needed.

        Raises:
            ProtocolError: the message is malformed or too long; nothing more can be parsed.
        """
        if self.failure is not None:
            raise self.failure
        try:
            if self.head is None and not self._read_head():
                return None
            return self._read_body()
        except ProtocolError as error:
            self.failure = error
            self.buffer.clear()
            raise

    def _read_head(self) -> bool:
        end = self.buffer.find(b"\r\n\r\n", max(0, self.scanned_bytes - 3))
        head_length = len(self.buffer) if end < 0 else end
        # Some parsers accept a bare line feed as the end of a line and some do not, which would allow
        # one message to be smuggled inside another.
        if _BARE_LINE_BREAK.search(self.buffer, max(0, self.scanned_bytes - 2), head_length):
            raise ProtocolError(400, "a line does not end with CR LF")
        if head_length > MAX_MESSAGE_BYTES:
            raise ProtocolError(413, f"message head longer than {MAX_MESSAGE_BYTES} bytes")
        if end < 0:
            self.scanned_bytes = len(self.buffer)
            return False
        lines = bytes(self.buffer[:end]).split(b"\r\n")
        del self.buffer[: end + 4]
        self.scanned_bytes = 0
        if _REQUEST_LINE.fullmatch(lines[0]) is None and _STATUS_LINE.fullmatch(lines[0]) is None:
            raise ProtocolError(400, "the first line is neither a request line nor a status line")
        fields = _parse_fields(lines[1:])
        length = fields.get("content-length", "0")
        # The declared length is checked before any of the body is buffered.
        if _LENGTH.fullmatch(length) is None:
            raise ProtocolError(400, "Content-Length is not a valid number")
        self.body_length = int(length)
        if head_length + self.body_length > MAX_MESSAGE_BYTES:
            raise ProtocolError(413, f"message longer than {MAX_MESSAGE_BYTES} bytes")
        self.head = (lines[0], fields)
        return True

    def _read_body(self) -> Message | None:
        if len(self.buffer) < self.body_length or self.head is None:
            return None
        (start_line, fields), self.head = self.head, None
        body = bytes(self.buffer[: self.body_length])
        del self.buffer[: self.body_length]
        if match := _REQUEST_LINE.fullmatch(start_line):
            return Request(match[1].decode(), match[2].decode(), fields, body)
        match = _STATUS_LINE.fullmatch(start_line)
        assert match is not None
        return Response(int(match[1]), fields, body)


def _parse_fields(lines: list[bytes]) -> Fields:
    if len(lines) > MAX_FIELDS:
        raise ProtocolError(400, f"more than {MAX_FIELDS} header fields")
    fields: Fields = {}
    for line in lines:
        match = _FIELD.fullmatch(line)
        if match is None:
            raise ProtocolError(400, "malformed header field")
        name = match[1].decode().lower()
        if name in fields:
            raise ProtocolError(400, f"duplicate header field {name}")
        fields[name] = match[2].decode().rstrip(" \t")
    return fields
