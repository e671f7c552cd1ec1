"""Messages between a node and servers; each has a kind, a session id and parameters."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

MAX_MESSAGE_BYTES = 16_384  # of one message; a limit of the platform
SESSION_BYTES = 8


class ProtocolError(Exception):
    """A malformed message; the rest of the connection's stream can't be parsed."""


class MessageKind(IntEnum):
    """The kind of a message; the values are sent on the wire."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    SESSION_REPORT = 44
    MOVE = 51
    KEEPALIVE = 52
    KEEPALIVE_ANSWER = 53
    RUNG = 60


class Parameter(IntEnum):
    """Parameters of a message. Values are text, except the cause (one byte) and the description (bytes)."""

    SERVICE_CLASS = 100
    TIMEOUT_MS = 103
    TITLE = 112
    REPORT_NAME = 121
    LOAD_REPORT = 127
    RUNG = 133
    REPORT_VALUE = 136
    CAUSE = 142
    DESCRIPTION = 145


class Cause(IntEnum):
    """Why a set-up or a session ends; the values are sent on the wire."""

    OK = 16  # sent by a node before the answer, it abandons the set-up
    CANCELLED = 31
    FULL = 34
    RESET = 41
    ERROR = 47
    NOT_EXECUTED = 102  # the server has not executed the set-up


@dataclass(frozen=True, slots=True, eq=False)
class Message:
    """One message; each parameter occurs at most once."""

    kind: MessageKind
    session: bytes
    parameters: dict[int, bytes]

    @property
    def cause(self) -> int | None:
        """The release cause, or None if it is absent or not one byte long."""
        value = self.parameters.get(Parameter.CAUSE, b"")
        return value[0] if len(value) == 1 else None

    def text(self, code: Parameter) -> str:
        """Return a text parameter, with non-ASCII bytes replaced; empty if it is absent."""
        return self.parameters.get(code, b"").decode("ascii", "replace")
