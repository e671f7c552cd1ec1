"""Messages between a node and servers: a kind, a session id and parameters."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

MAX_MESSAGE_BYTES = 16_384  # of one message: the platform's bound
SESSION_BYTES = 8


class ProtocolError(Exception):
    """Bytes that are no message; the connection can't be read any further."""


class Kind(IntEnum):
    """Types of message."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_HEARD = 16
    NOTE = 44
    MOVE = 51
    TEST = 52
    TESTED = 53
    RUNG = 60


class Code(IntEnum):
    """Parameters; values are text, but for the cause (one byte) and the description (bytes)."""

    ROOM = 100
    WAIT_MS = 103
    TITLE = 112
    NOTE_NAME = 121
    REPORT = 127
    RUNG = 133
    FIGURE = 136
    CAUSE = 142
    DESCRIPTION = 145


class Cause(IntEnum):
    """The reason for which a set-up or a session ends."""

    OK = 16  # from a node before the answer: the set-up is abandoned
    CALLED_OFF = 31
    FULL = 34
    RESET = 41
    ERROR = 47
    MOOT = 102


@dataclass(frozen=True, slots=True, eq=False)
class Message:
    """One message; a parameter is given once at most."""

    kind: Kind
    session: bytes
    parameters: dict[int, bytes]

    @property
    def cause(self) -> int | None:
        """The cause, or None if it is absent or not one byte."""
        value = self.parameters.get(Code.CAUSE, b"")
        return value[0] if len(value) == 1 else None

    def text(self, code: Code) -> str:
        """Return a text parameter, with non-ASCII bytes replaced; empty if it is absent."""
        return self.parameters.get(code, b"").decode("ascii", "replace")
