"""Incremental parser: feed bytes to it, then call `next` until it returns None."""

from __future__ import annotations

from fennelcove.isup.messages import MAX_MESSAGE_BYTES, SESSION_BYTES, Message, MessageKind, ProtocolError

_KINDS = {int(kind): kind for kind in MessageKind}

HEADER_BYTES = 3  # the length (two bytes) and the kind (one byte)


class Reader:
    """Parses one direction of one connection; after a ProtocolError each further call raises it again."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.failure: ProtocolError | None = None

    def feed(self, data: bytes) -> None:
        """Add received data."""
        self.buffer += data

    def next(self) -> Message | None:
        """Return the next message, or None while more bytes are needed.

        Raises:
            ProtocolError: the message is malformed; nothing more can be parsed.
        """
        if self.failure is not None:
            raise self.failure
        try:
            return self._read_message()
        except ProtocolError as error:
            self.failure = error
            self.buffer.clear()
            raise

    def _read_message(self) -> Message | None:
        if len(self.buffer) < HEADER_BYTES:
            return None
        length = int.from_bytes(self.buffer[:2], "big")
        # Length and kind are checked as soon as the header is there: corrupted data must not make the reader
        # wait for the rest of a message that never comes.
        if not 1 + SESSION_BYTES <= length <= MAX_MESSAGE_BYTES - 2:
            raise ProtocolError(f"invalid message length: {length} bytes")
        kind = _KINDS.get(self.buffer[2])
        if kind is None:
            raise ProtocolError(f"unknown message kind {self.buffer[2]}")
        if len(self.buffer) < 2 + length:
            return None
        raw = bytes(self.buffer[3 : 2 + length])
        del self.buffer[: 2 + length]
        return Message(kind, raw[:SESSION_BYTES], _parse_parameters(raw, SESSION_BYTES))


def _parse_parameters(raw: bytes, at: int) -> dict[int, bytes]:
    parameters: dict[int, bytes] = {}
    while at < len(raw):
        end = at + 3 + int.from_bytes(raw[at + 1 : at + 3], "big")
        if at + 3 > len(raw) or end > len(raw):
            raise ProtocolError("a parameter extends past the end of its message")
        if raw[at] in parameters:
            raise ProtocolError(f"duplicate parameter {raw[at]}")
        parameters[raw[at]] = raw[at + 3 : end]
        at = end
    return parameters
