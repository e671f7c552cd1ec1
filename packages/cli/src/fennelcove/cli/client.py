"""A small HTTP client for the command line: one request and its response, with a timeout."""

from __future__ import annotations

from typing import Any

import msgspec
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import ProtocolError, ResponseHead
from fennelcove.upstream.connection_pool import DialLimits, dial

TIMEOUT_S = 5.0
MAX_BODY_BYTES = 16 * 1024 * 1024


class FrontCallError(OperatorError):
    """A front did not answer a command with a complete response."""

    code = "front-unanswered"
    advice = "Check that the front runs at this address, and whether it executed the request before a retry"


def call(address: str, method: str, path: str, key: str, body: bytes = b"") -> tuple[int, Any]:
    """Send a request to a front.

    Returns:
        The status, and the body decoded from JSON; None for an empty body.

    Raises:
        FrontCallError: connection refused, timeout, incomplete response, or not HTTP or JSON.
    """
    headers = [("Authorization", f"Bearer {key}")] if key else []
    if body:
        headers.append(("Content-Type", "application/json"))
    try:
        connection = dial(address, round(TIMEOUT_S * 1e6), DialLimits(body_bytes=MAX_BODY_BYTES))
        with connection.sock as sock:
            sock.settimeout(TIMEOUT_S)
            sock.sendall(writer.request(method, path, address, headers, body))
            message = connection.read_response()
    except TimeoutError:
        raise FrontCallError(f"got no response within {TIMEOUT_S:g} s", address) from None
    except (OSError, ValueError) as error:
        raise FrontCallError(str(error), address) from None
    except ProtocolError as error:
        raise FrontCallError(f"found a response that is not valid HTTP ({error})", address) from None
    assert isinstance(message.head, ResponseHead)
    try:
        return message.head.status, msgspec.json.decode(message.body) if message.body else None
    except msgspec.DecodeError:
        raise FrontCallError("found a response that is not JSON", address) from None
