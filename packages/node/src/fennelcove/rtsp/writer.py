"""Encodes messages; a header field with a line break or other control characters is rejected."""

from __future__ import annotations

import re

_SINGLE_LINE = re.compile(r"[\t\x20-\x7e]*")

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    451: "Parameter Not Understood",
    453: "Not Enough Bandwidth",
    454: "Session Not Found",
    455: "Method Not Valid in This State",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}


def _message(start_line: str, fields: tuple[tuple[str, str], ...], body: bytes) -> bytes:
    lines = [start_line, *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
    if not all(_SINGLE_LINE.fullmatch(line) for line in lines):
        raise ValueError("a header field or the request line contains a line break or an invalid character")
    return "\r\n".join([*lines, "", ""]).encode() + body


def response(status: int, *fields: tuple[str, str], body: bytes = b"") -> bytes:
    """Encode a response.

    Raises:
        ValueError: a header field contains a line break or an invalid character.
    """
    return _message(f"RTSP/1.0 {status} {REASON_PHRASES.get(status, 'Unknown')}", fields, body)


def request(method: str, address: str, *fields: tuple[str, str], body: bytes = b"") -> bytes:
    """Encode a request.

    Raises:
        ValueError: the address or a header field contains a line break or an invalid character.
    """
    return _message(f"{method} {address} RTSP/1.0", fields, body)
