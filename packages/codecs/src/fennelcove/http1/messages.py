"""Message types, size limits and the protocol error of the HTTP/1.1 codec."""

from __future__ import annotations

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CodecLimits:
    """Limits on one message: the size of its head and body in bytes, and the number of header fields."""

    head_bytes: int = 16_384
    head_count: int = 64
    body_bytes: int = 16_384


class ProtocolError(Exception):
    """A malformed or oversized message; it must not be processed, and the connection can't be read further.

    Attributes:
        status: the status code that RFC 9110 and 9112 require if a response is sent.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class _Head:
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a field, or None if it is absent.

        Several values are joined with commas, as RFC 9110 section 5.3 allows.

        Args:
            name: the field name, in lower case.
        """
        values = [value for key, value in self.headers if key == name]
        return b", ".join(values) if values else None


@dataclass(slots=True)
class RequestHead(_Head):
    """A request line and header fields; field names are in lower case."""

    method: str
    target: str
    headers: Headers
    keep_alive: bool = True
    expects_continue: bool = False


@dataclass(slots=True)
class ResponseHead(_Head):
    """A status line and header fields; field names are in lower case."""

    status: int
    headers: Headers
    keep_alive: bool = True


@dataclass(slots=True)
class Data:
    """A part of a message body."""

    body: bytes


@dataclass(slots=True)
class End:
    """The end of a message."""


@dataclass(slots=True)
class CompleteMessage:
    """A complete message: the head, and the body in one piece."""

    head: RequestHead | ResponseHead
    body: bytes = field(default=b"")
