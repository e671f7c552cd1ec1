"""Serializes HTTP/1.1 messages.

A field that contains a line break is an error wherever it comes from: it would inject header fields.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

_SAFE_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_SAFE_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_SAFE_TARGET = re.compile(r"[\x21-\x7e]+")

REASONS = {
    100: "Continue",
    101: "Switching Protocols",
    200: "OK",
    201: "Created",
    204: "No Content",
    307: "Temporary Redirect",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    411: "Length Required",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    417: "Expectation Failed",
    422: "Unprocessable Content",
    426: "Upgrade Required",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

Fields = Iterable[tuple[str, str]]


def _lines(fields: Fields) -> str:
    lines = []
    for name, value in fields:
        if _SAFE_NAME.fullmatch(name) is None or _SAFE_VALUE.fullmatch(value) is None:
            raise ValueError(f"header field {name!r} contains an invalid character")
        lines.append(f"{name}: {value}\r\n")
    return "".join(lines)


def response(status: int, fields: Fields, body: bytes = b"", close: bool = False) -> bytes:
    """Serialize a complete response with a Content-Length.

    Raises:
        ValueError: a field contains an invalid character.
    """
    length = "" if status in (101, 204) else f"Content-Length: {len(body)}\r\n"
    closing = "Connection: close\r\n" if close else ""
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n{_lines(fields)}{length}{closing}\r\n"
    return head.encode("latin-1") + body


def stream_head(status: int, fields: Fields) -> bytes:
    """Serialize the head of a response with a chunked body.

    Raises:
        ValueError: a field contains an invalid character.
    """
    lines = _lines(fields)
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n{lines}Transfer-Encoding: chunked\r\n\r\n"
    return head.encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Serialize one chunk of a body.

    Raises:
        ValueError: the data is empty, which would end the body.
    """
    if not data:
        raise ValueError("an empty chunk would end the body; use LAST_CHUNK for that")
    return b"%x\r\n%b\r\n" % (len(data), data)


def request(method: str, target: str, host: str, fields: Fields = (), body: bytes = b"") -> bytes:
    """Serialize a complete request with a Content-Length.

    Raises:
        ValueError: a field, the target or the method contains an invalid character.
    """
    if _SAFE_TARGET.fullmatch(target) is None or _SAFE_NAME.fullmatch(method) is None:
        raise ValueError(f"request target {target!r} or its method contains an invalid character")
    length = f"Content-Length: {len(body)}\r\n" if body or method in ("POST", "PUT", "PATCH") else ""
    head = f"{method} {target} HTTP/1.1\r\n{_lines([('Host', host), *fields])}{length}\r\n"
    return head.encode("latin-1") + body
