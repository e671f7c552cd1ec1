"""Messages between clients and a node, and the error raised for a malformed one."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16_384  # of one message, head and body together; a limit of the platform
MAX_FIELDS = 32

Fields = dict[str, str]


class ProtocolError(Exception):
    """A malformed or oversized message; the rest of the connection's stream can't be parsed.

    Attributes:
        status: the status code of the response to it (RFC 2326, section 11).
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True, eq=False)
class Request:
    """A request. Names of header fields are in lower case."""

    method: str
    uri: str
    fields: Fields
    body: bytes


@dataclass(frozen=True, slots=True, eq=False)
class Response:
    """A response. Names of header fields are in lower case."""

    status: int
    fields: Fields
    body: bytes


Message = Request | Response
