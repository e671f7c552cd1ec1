"""Parsers of message heads (RFC 9112 sections 2 to 7).

They are strict where leniency would let two parsers disagree about the length of a message, which is how one
request is smuggled inside another (section 11.2).
"""

from __future__ import annotations

import re

from fennelcove.http1.messages import CodecLimits, Headers, ProtocolError, RequestHead, ResponseHead

_TCHAR = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
_FIELD = re.compile(rb"(" + _TCHAR + rb"+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
_REQUEST = re.compile(rb"(" + _TCHAR + rb"{1,32}) ([\x21-\x7e]+) HTTP/1\.([01])")
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?")
_OTHER_VERSION_REQUEST = re.compile(rb".* HTTP/[0-9.]+")
BARE_LF = re.compile(rb"(?:^|[^\r])\n")
_DIGITS = re.compile(rb"[0-9]{1,18}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?")


def parse_fields(lines: list[bytes], limits: CodecLimits) -> Headers:
    """Parse header lines; the names are returned in lower case.

    Raises:
        ProtocolError: 400 for a bare CR or LF, a folded line or a space before the colon; 431 for too many
            fields.
    """
    if len(lines) > limits.head_count:
        raise ProtocolError(431, f"more than {limits.head_count} header fields")
    headers: Headers = []
    for line in lines:
        match = _FIELD.fullmatch(line)
        if match is None:
            if line[:1] in (b" ", b"\t"):
                raise ProtocolError(400, "a folded header field")
            raise ProtocolError(400, "a header field that is no `name: value`")
        headers.append((match[1].lower(), match[2].rstrip(b" \t")))
    return headers


def parse_request_head(raw: bytes, limits: CodecLimits) -> RequestHead:
    """Parse the head of a request, without the empty line at its end.

    Raises:
        ProtocolError: 400 if it is malformed, 505 for an unsupported HTTP version, 417 for an unknown
            expectation, 431 for too many fields.
    """
    lines = raw.split(b"\r\n")
    match = _REQUEST.fullmatch(lines[0])
    if match is None:
        if _OTHER_VERSION_REQUEST.fullmatch(lines[0]) and not lines[0].endswith((b"HTTP/1.0", b"HTTP/1.1")):
            raise ProtocolError(505, "a version other than HTTP/1.0 and 1.1")
        raise ProtocolError(400, "a request line that is no `method target version`")
    headers = parse_fields(lines[1:], limits)
    host_count = sum(1 for name, _ in headers if name == b"host")
    if host_count > 1 or (host_count == 0 and match[3] == b"1"):
        raise ProtocolError(400, f"{host_count} Host fields where one is due")
    head = RequestHead(match[1].decode(), match[2].decode(), headers, _keeps_alive(headers, match[3]))
    expect = head.get(b"expect")
    if expect is not None:
        if expect.lower() != b"100-continue":
            raise ProtocolError(417, "an expectation other than 100-continue")
        head.expects_continue = match[3] == b"1"
    return head


def parse_response_head(raw: bytes, limits: CodecLimits) -> ResponseHead:
    """Parse the head of a response, without the empty line at its end.

    Raises:
        ProtocolError: it is malformed or has too many fields.
    """
    lines = raw.split(b"\r\n")
    match = _STATUS.fullmatch(lines[0])
    if match is None:
        raise ProtocolError(502, "the status line is not of the form `version status reason`")
    headers = parse_fields(lines[1:], limits)
    return ResponseHead(int(match[2]), headers, _keeps_alive(headers, match[1]))


def _keeps_alive(headers: Headers, minor_version: bytes) -> bool:
    options = {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
    return minor_version == b"1" and b"close" not in options


# Values of `body_length` for a body whose length is not known in advance.
CHUNKED = -1
UNTIL_CLOSE = -2


def body_length(headers: Headers, default: int, keep_alive: bool) -> int:
    """Return the length of the body in bytes, CHUNKED, or the default if no field states it.

    Raises:
        ProtocolError: 400 for both Content-Length and Transfer-Encoding, for a repeated or malformed
            Content-Length and for several transfer codings; 501 for a coding other than chunked. Each of them
            can be used for request smuggling (RFC 9112 section 11.2).
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if lengths and codings:
        raise ProtocolError(400, "both Content-Length and Transfer-Encoding")
    if codings:
        if len(codings) > 1 or b"," in codings[0]:
            raise ProtocolError(400, "several transfer codings")
        if codings[0].lower() != b"chunked":
            raise ProtocolError(501, "a transfer coding other than chunked")
        return CHUNKED
    if len(lengths) > 1:
        raise ProtocolError(400, "a repeated Content-Length")
    if lengths:
        if _DIGITS.fullmatch(lengths[0]) is None:
            raise ProtocolError(400, "a Content-Length that is no count")
        return int(lengths[0])
    return default
