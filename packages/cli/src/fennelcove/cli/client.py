"""A small HTTP client for the command line: one request, one answer, within a time."""

from __future__ import annotations

from typing import Any

import msgspec
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import ProtocolError, ResponseHead
from fennelcove.upstream.connection_pool import DialLimits, dial

TIMEOUT_S = 5.0
BODY_BYTES = 16 * 1024 * 1024


class Failed(OperatorError):
    """A front gave the command no whole answer."""

    code = "front-unanswered"
    advice = "See that the front runs there; it may have done what was asked, so look before asking again"


def call(address: str, method: str, path: str, key: str, body: bytes = b"") -> tuple[int, Any]:
    """The status, and the body read as JSON.

    Raises:
        Failed: refused, silent, cut short, or no HTTP.
    """
    fields = [("Authorization", f"Bearer {key}")] if key else []
    if body:
        fields.append(("Content-Type", "application/json"))
    try:
        link = dial(address, round(TIMEOUT_S * 1e6), DialLimits(body_bytes=BODY_BYTES))
        with link.sock as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(writer.request(method, path, address, fields, body))
            whole = link.answer()
    except TimeoutError:
        raise Failed(f"no answer in {TIMEOUT_S:g} s", address) from None
    except (OSError, ValueError) as error:
        raise Failed(str(error), address) from None
    except ProtocolError as error:
        raise Failed(f"an answer that is no HTTP ({error})", address) from None
    assert isinstance(whole.head, ResponseHead)
    try:
        return whole.head.status, msgspec.json.decode(whole.body) if whole.body else None
    except msgspec.DecodeError:
        raise Failed("an answer that is no JSON", address) from None
