"""The protocol of one side of a WebSocket connection, without I/O.

It assembles messages from frames, answers control frames and performs the closing handshake. Its two state
machines are total tables: `MESSAGES` for data frames (RFC 6455, section 5.4) and `CLOSING` for the connection
(section 7). The owner passes received bytes to `receive`, handles the events that it returns, and
sends the bytes that `take` returns.
"""

from __future__ import annotations

import codecs
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.websocket import frames
from fennelcove.websocket.deflate import Inflater, deflate
from fennelcove.websocket.frames import FramePart, FrameReader
from fennelcove.websocket.protocol_constants import (
    MAX_CONTROL_BYTES,
    Bounds,
    CloseCode,
    Opcode,
    ProtocolViolationError,
    is_valid_close_code,
)

MIN_DEFLATE_BYTES = 256  # deflate makes shorter messages longer


@dataclass(frozen=True, slots=True)
class Message:
    """A complete message: text, or bytes."""

    data: str | bytes


@dataclass(frozen=True, slots=True)
class PingReceived:
    """The peer sent a ping; if the connection is open, the pong is in `outgoing`."""

    data: bytes


@dataclass(frozen=True, slots=True)
class PongReceived:
    """The peer sent a pong."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """The last event: the connection is closed; `clean` if the peer sent a close frame."""

    code: int
    reason: str
    clean: bool


Event = Message | PingReceived | PongReceived | Closed


class MessageState(Enum):
    """The kind of the message that is being received."""

    NONE = auto()
    TEXT = auto()
    BINARY = auto()


class DataAction(Enum):
    """What to do with a data frame."""

    BEGIN_TEXT = auto()
    BEGIN_BINARY = auto()
    CONTINUE = auto()
    REJECT = auto()


MESSAGES: dict[tuple[MessageState, Opcode], DataAction] = {
    (MessageState.NONE, Opcode.TEXT): DataAction.BEGIN_TEXT,
    (MessageState.NONE, Opcode.BINARY): DataAction.BEGIN_BINARY,
    (MessageState.NONE, Opcode.CONTINUATION): DataAction.REJECT,
    (MessageState.TEXT, Opcode.TEXT): DataAction.REJECT,
    (MessageState.TEXT, Opcode.BINARY): DataAction.REJECT,
    (MessageState.TEXT, Opcode.CONTINUATION): DataAction.CONTINUE,
    (MessageState.BINARY, Opcode.TEXT): DataAction.REJECT,
    (MessageState.BINARY, Opcode.BINARY): DataAction.REJECT,
    (MessageState.BINARY, Opcode.CONTINUATION): DataAction.CONTINUE,
}


class State(Enum):
    """The state of the connection on this side."""

    OPEN = auto()
    CLOSING = auto()  # this side has sent a close frame and waits for that of the peer
    CLOSED = auto()  # after both close frames, a protocol violation, or the end of the transport connection


class CloseEvent(Enum):
    """An event of the closing state machine."""

    CLOSE_RECEIVED = auto()
    CLOSE_REQUESTED = auto()
    PROTOCOL_VIOLATED = auto()
    CONNECTION_ENDED = auto()  # the transport connection ended without a close frame


class CloseAction(Enum):
    """An action of the closing state machine."""

    SEND_CLOSE = auto()
    ECHO_CLOSE = auto()
    EMIT_CLOSED = auto()


CLOSING: dict[tuple[State, CloseEvent], tuple[State, tuple[CloseAction, ...]]] = {
    (State.OPEN, CloseEvent.CLOSE_RECEIVED): (
        State.CLOSED,
        (CloseAction.ECHO_CLOSE, CloseAction.EMIT_CLOSED),
    ),
    (State.OPEN, CloseEvent.CLOSE_REQUESTED): (State.CLOSING, (CloseAction.SEND_CLOSE,)),
    (State.OPEN, CloseEvent.PROTOCOL_VIOLATED): (
        State.CLOSED,
        (CloseAction.SEND_CLOSE, CloseAction.EMIT_CLOSED),
    ),
    (State.OPEN, CloseEvent.CONNECTION_ENDED): (State.CLOSED, (CloseAction.EMIT_CLOSED,)),
    # If both sides close at once, each takes the close frame of the other as the answer to its own.
    (State.CLOSING, CloseEvent.CLOSE_RECEIVED): (State.CLOSED, (CloseAction.EMIT_CLOSED,)),
    (State.CLOSING, CloseEvent.CLOSE_REQUESTED): (State.CLOSING, ()),
    (State.CLOSING, CloseEvent.PROTOCOL_VIOLATED): (State.CLOSED, (CloseAction.EMIT_CLOSED,)),
    (State.CLOSING, CloseEvent.CONNECTION_ENDED): (State.CLOSED, (CloseAction.EMIT_CLOSED,)),
    (State.CLOSED, CloseEvent.CLOSE_RECEIVED): (State.CLOSED, ()),
    (State.CLOSED, CloseEvent.CLOSE_REQUESTED): (State.CLOSED, ()),
    (State.CLOSED, CloseEvent.PROTOCOL_VIOLATED): (State.CLOSED, ()),
    (State.CLOSED, CloseEvent.CONNECTION_ENDED): (State.CLOSED, ()),
}


class WebSocketProtocol:
    """One side of a connection.

    Args:
        bounds: the limits on received frames and messages.
        deflates: whether permessage-deflate was negotiated.
        mask: for a client, returns four random bytes for each frame; None for a server.
    """

    def __init__(
        self, bounds: Bounds, deflates: bool = False, mask: Callable[[], bytes] | None = None
    ) -> None:
        self.bounds = bounds
        self.deflates = deflates
        self.mask = mask
        self.reader = FrameReader(mask is None, deflates, bounds)
        self.outgoing = bytearray()
        self.state = State.OPEN
        self.events: list[Event] = []
        self._reset_message()

    def _reset_message(self) -> None:
        self.message_state = MessageState.NONE
        self.text_parts: list[str] = []
        self.payload = bytearray()
        self.size = self.fragments = 0
        self.inflater: Inflater | None = None
        self.decoder: codecs.IncrementalDecoder | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed: no event follows, and nothing more is sent."""
        return self.state is State.CLOSED

    # Receiving.

    def receive(self, data: bytes) -> list[Event]:
        """Handle received bytes, or empty bytes for the end of the transport connection.

        Returns:
            The events, in order.
        """
        self.events = []
        if self.is_closed:
            return []
        if not data:
            self._apply(
                CloseEvent.CONNECTION_ENDED,
                CloseCode.ABNORMAL,
                "the peer disconnected without a close frame",
                False,
            )
            return self.events
        self.reader.feed(data)
        try:
            while not self.is_closed and (part := self.reader.next()) is not None:
                self._on_frame_part(part)
        except ProtocolViolationError as error:
            self._apply(CloseEvent.PROTOCOL_VIOLATED, error.code, str(error), False)
        return self.events

    def _on_frame_part(self, part: FramePart) -> None:
        opcode = part.header.opcode
        if opcode is Opcode.PING:
            if self.state is State.OPEN:
                self._write(Opcode.PONG, part.data)
            self.events.append(PingReceived(part.data))
        elif opcode is Opcode.PONG:
            self.events.append(PongReceived(part.data))
        elif opcode is Opcode.CLOSE:
            code, reason = _decode_close(part.data)
            self._apply(CloseEvent.CLOSE_RECEIVED, code, reason, True)
        else:
            self._on_data(part)

    def _on_data(self, part: FramePart) -> None:
        header = part.header
        is_first_part = self.reader.received == len(part.data)  # of its frame
        if is_first_part:
            action = MESSAGES[self.message_state, header.opcode]
            if action is DataAction.REJECT:
                phrase = "goes on with" if header.opcode is Opcode.CONTINUATION else "breaks into"
                raise ProtocolViolationError(
                    CloseCode.PROTOCOL_ERROR, f"a frame {phrase} no message or another one"
                )
            if action is not DataAction.CONTINUE:
                self._begin_message(action, header.compressed)
            self.fragments += 1
            if self.fragments > self.bounds.fragments:
                raise ProtocolViolationError(
                    CloseCode.TOO_BIG, f"a message of over {self.bounds.fragments} frames"
                )
        data = self.inflater.add(part.data) if self.inflater is not None else part.data
        is_complete = part.is_last and header.fin
        if is_complete and self.inflater is not None:
            data += self.inflater.end()
        self.size += len(data)
        if self.size > self.bounds.message_bytes:
            raise ProtocolViolationError(
                CloseCode.TOO_BIG, f"a message of over {self.bounds.message_bytes} bytes"
            )
        self._add_payload(data, is_complete)
        if is_complete:
            self._end_message()

    def _begin_message(self, action: DataAction, compressed: bool) -> None:
        is_text = action is DataAction.BEGIN_TEXT
        self.message_state = MessageState.TEXT if is_text else MessageState.BINARY
        self.decoder = codecs.getincrementaldecoder("utf-8")() if is_text else None
        self.inflater = Inflater(self.bounds.message_bytes) if compressed else None

    def _add_payload(self, data: bytes, is_complete: bool) -> None:
        if self.decoder is None:
            self.payload += data
            return
        try:
            self.text_parts.append(self.decoder.decode(data, is_complete))
        except UnicodeDecodeError:
            raise ProtocolViolationError(CloseCode.BAD_DATA, "a text is not UTF-8") from None

    def _end_message(self) -> None:
        data = bytes(self.payload) if self.decoder is None else "".join(self.text_parts)
        self._reset_message()
        if self.state is State.OPEN:  # messages after a close frame of this side are ignored (section 1.4)
            self.events.append(Message(data))

    # Sending.

    def send(self, data: str | bytes) -> None:
        """Send a complete message; ignored unless the connection is open."""
        if self.state is not State.OPEN:
            return
        opcode = Opcode.TEXT if isinstance(data, str) else Opcode.BINARY
        payload = data.encode() if isinstance(data, str) else data
        if self.deflates and len(payload) >= MIN_DEFLATE_BYTES:
            self._write(opcode, deflate(payload), True)
        else:
            self._write(opcode, payload)

    def ping(self, data: bytes = b"") -> None:
        """Send a ping; the pong of the peer is reported as an event."""
        if self.state is State.OPEN:
            self._write(Opcode.PING, data[:MAX_CONTROL_BYTES])

    def close(self, code: CloseCode = CloseCode.NORMAL, reason: str = "") -> None:
        """Begin the closing handshake; ignored if the connection is closing or closed."""
        self._apply(CloseEvent.CLOSE_REQUESTED, code, reason, True)

    def take(self) -> bytes:
        """Return the bytes to be sent, and remove them from `outgoing`."""
        raw = bytes(self.outgoing)
        self.outgoing.clear()
        return raw

    def _apply(self, event: CloseEvent, code: int, reason: str, clean: bool) -> None:
        self.state, actions = CLOSING[self.state, event]
        for action in actions:
            if action is CloseAction.EMIT_CLOSED:
                self.events.append(Closed(code, reason, clean))
            else:
                self._write(
                    Opcode.CLOSE, _encode_close(code, reason if action is CloseAction.SEND_CLOSE else "")
                )

    def _write(self, opcode: Opcode, data: bytes, compressed: bool = False) -> None:
        mask = self.mask() if self.mask is not None else None
        self.outgoing += frames.write(opcode, data, mask, True, compressed)


def _encode_close(code: int, reason: str) -> bytes:
    """Return the payload of a close frame; a reason that is too long is cut at a character boundary."""
    if code == CloseCode.NO_STATUS:
        return b""
    text = reason.encode()[: MAX_CONTROL_BYTES - 2].decode("utf-8", "ignore")
    return code.to_bytes(2, "big") + text.encode()


def _decode_close(data: bytes) -> tuple[int, str]:
    if not data:
        return CloseCode.NO_STATUS, ""
    code = int.from_bytes(data[:2], "big")
    if len(data) == 1 or not is_valid_close_code(code):
        raise ProtocolViolationError(CloseCode.PROTOCOL_ERROR, "a close with no valid code")
    try:
        return code, data[2:].decode()
    except UnicodeDecodeError:
        raise ProtocolViolationError(CloseCode.BAD_DATA, "a close's reason is not UTF-8") from None
