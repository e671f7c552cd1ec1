"""Constants and limits of RFC 6455, and the error for a peer that violates them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

MAX_CONTROL_BYTES = 125  # the payload of a control frame (section 5.5)
GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"  # hashed with the key of a handshake (section 1.3)


class Opcode(IntEnum):
    """Frame opcodes (section 5.2)."""

    CONTINUATION = 0
    TEXT = 1
    BINARY = 2
    CLOSE = 8
    PING = 9
    PONG = 10


class CloseCode(IntEnum):
    """Close codes (section 7.4.1 and the IANA registry)."""

    NORMAL = 1000
    GOING_AWAY = 1001
    PROTOCOL_ERROR = 1002
    UNSUPPORTED = 1003
    NO_STATUS = 1005  # never on the wire
    ABNORMAL = 1006  # never on the wire
    BAD_DATA = 1007
    POLICY = 1008
    TOO_BIG = 1009
    INTERNAL = 1011
    RESTART = 1012
    TRY_LATER = 1013


def is_valid_close_code(code: int) -> bool:
    """Return whether a peer may send this close code (section 7.4.2)."""
    return 1000 <= code <= 1003 or 1007 <= code <= 1014 or 3000 <= code <= 4999


class ProtocolViolationError(Exception):
    """The peer violated the protocol or exceeded a limit.

    Attributes:
        code: the code with which the connection must be closed.
    """

    def __init__(self, code: CloseCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits on received frames and messages; the size of a message counts after decompression."""

    frame_bytes: int = 65_536
    message_bytes: int = 65_536
    fragments: int = 64  # in one message; without it a message of empty fragments could be endless
