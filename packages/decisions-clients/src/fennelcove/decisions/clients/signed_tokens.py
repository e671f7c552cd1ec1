"""Tokens signed with a keyed MAC, which need no stored state and can't be forged."""

from __future__ import annotations

import base64
import hmac
from collections.abc import Callable, Sequence

BASE64_GROUP = 4

Mac = Callable[[bytes], bytes]


def sign(raw: bytes, mac: Mac) -> str:
    """A token of the bytes and their MAC; it consists of letters, digits, `-`, `_` and one full stop."""
    return f"{_encode(raw)}.{_encode(mac(raw))}"


def verify(token: str, macs: Sequence[Mac], max_chars: int) -> bytes | None:
    """The bytes of a token signed with one of these keys; None for any other text.

    Every key is tried and compared in constant time, so that the duration reveals nothing about a MAC.
    """
    if len(token) > max_chars:
        return None
    body, _, signature = token.partition(".")
    try:
        raw = _decode(body)
        signed = _decode(signature)
    except ValueError:
        return None
    is_known = False
    for mac in macs:
        is_known |= hmac.compare_digest(mac(raw), signed)
    return raw if is_known else None


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % BASE64_GROUP))
