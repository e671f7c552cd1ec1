"""The opening handshake (RFC 6455, section 4) of both sides, with permessage-deflate (RFC 7692)."""

from __future__ import annotations

import base64
import binascii
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from fennelcove.http1.messages import RequestHead, ResponseHead
from fennelcove.websocket.protocol_constants import GUID

VERSION = "13"
DEFLATE = "permessage-deflate"
DEFLATE_WITHOUT_TAKEOVER = f"{DEFLATE}; server_no_context_takeover; client_no_context_takeover"
# Offers with other parameters are declined: server_max_window_bits asks for a smaller window than the fixed
# maximum that this codec compresses with (section 7.1.2).
ACCEPTABLE_PARAMETERS = {"server_no_context_takeover", "client_no_context_takeover", "client_max_window_bits"}

Fields = list[tuple[str, str]]


class HandshakeError(Exception):
    """The handshake failed.

    Attributes:
        status: the HTTP status code of the response.
        fields: header fields that the response must contain.
    """

    def __init__(self, status: int, reason: str, fields: Sequence[tuple[str, str]] = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.fields = list(fields)


@dataclass(frozen=True, slots=True)
class HandshakeResult:
    """The result of a negotiation, and on the server the header fields of its response."""

    fields: Fields
    protocol: str
    deflates: bool


def accept_key(key: str) -> str:
    """Return the value of Sec-WebSocket-Accept for a key (section 4.2.2)."""
    return base64.b64encode(hashlib.sha1(key.encode() + GUID, usedforsecurity=False).digest()).decode()


def is_upgrade_request(head: RequestHead) -> bool:
    """Return whether a request asks for an upgrade to WebSocket."""
    return "websocket" in _list_items(head.get(b"upgrade"))


def _list_items(value: bytes | None) -> list[str]:
    if value is None:
        return []
    return [item.strip().lower() for item in value.decode("latin-1").split(",")]


def server(
    head: RequestHead, protocols: Sequence[str], origins: Sequence[str], allow_deflate: bool
) -> HandshakeResult:
    """Negotiate as a server.

    Args:
        head: the request.
        protocols: the supported subprotocols, the preferred one first; the client must request one of them.
        origins: the allowed origins of web pages, in lower case (section 10.2); empty to allow all. A request
            without an origin, as of a program that is not a browser, is always allowed.
        allow_deflate: whether an offer of permessage-deflate may be accepted.

    Raises:
        HandshakeError: the request can't be accepted.
    """
    if head.method != "GET":
        raise HandshakeError(405, "a WebSocket opens with GET", [("Allow", "GET")])
    version = (head.get(b"sec-websocket-version") or b"").decode("latin-1").strip()
    if version != VERSION:
        raise HandshakeError(
            426, "this is version 13", [("Sec-WebSocket-Version", VERSION), ("Upgrade", "websocket")]
        )
    if "upgrade" not in _list_items(head.get(b"connection")):
        raise HandshakeError(400, "Connection: Upgrade is missing")
    key = (head.get(b"sec-websocket-key") or b"").decode("latin-1").strip()
    try:
        is_valid_key = len(base64.b64decode(key, validate=True)) == 16
    except (binascii.Error, ValueError):
        is_valid_key = False
    if not is_valid_key:
        raise HandshakeError(400, "Sec-WebSocket-Key must be 16 bytes in base64")
    origin = head.get(b"origin")
    if origins and origin is not None and origin.decode("latin-1").strip().lower() not in origins:
        raise HandshakeError(403, "not from this origin")
    requested = [
        item.strip() for item in (head.get(b"sec-websocket-protocol") or b"").decode("latin-1").split(",")
    ]
    protocol = next((name for name in protocols if name in requested), "")
    if protocols and not protocol:
        raise HandshakeError(400, f"ask for a subprotocol of {', '.join(protocols)}")
    deflates = allow_deflate and _has_acceptable_offer(head.get(b"sec-websocket-extensions"))
    fields: Fields = [("Upgrade", "websocket"), ("Connection", "Upgrade")]
    fields.append(("Sec-WebSocket-Accept", accept_key(key)))
    if protocol:
        fields.append(("Sec-WebSocket-Protocol", protocol))
    if deflates:
        fields.append(("Sec-WebSocket-Extensions", DEFLATE_WITHOUT_TAKEOVER))
    return HandshakeResult(fields, protocol, deflates)


def _has_acceptable_offer(value: bytes | None) -> bool:
    """Return whether one of the offers can be accepted without changes."""
    for offer in (value or b"").decode("latin-1").split(","):
        name, *rest = [part.strip() for part in offer.split(";")]
        names = [part.partition("=")[0].strip() for part in rest]
        if name == DEFLATE and len(set(names)) == len(names) and ACCEPTABLE_PARAMETERS.issuperset(names):
            return True
    return False


def client(key: bytes, protocols: Sequence[str], deflates: bool) -> Fields:
    """Return the header fields of a client's request; the key is 16 random bytes."""
    fields: Fields = [("Upgrade", "websocket"), ("Connection", "Upgrade")]
    fields.append(("Sec-WebSocket-Key", base64.b64encode(key).decode()))
    fields.append(("Sec-WebSocket-Version", VERSION))
    if protocols:
        fields.append(("Sec-WebSocket-Protocol", ", ".join(protocols)))
    if deflates:
        fields.append(("Sec-WebSocket-Extensions", DEFLATE_WITHOUT_TAKEOVER))
    return fields


def opened(head: ResponseHead, key: bytes, protocols: Sequence[str], deflates: bool) -> HandshakeResult:
    """Check the response to a request with the header fields of `client` (section 4.1).

    Raises:
        HandshakeError: the server rejected the request, or its response doesn't match it.
    """
    if head.status != 101:
        raise HandshakeError(head.status, "the server rejected the upgrade to WebSocket")
    accept = (head.get(b"sec-websocket-accept") or b"").decode("latin-1").strip()
    upgraded = is_upgrade_response(head)
    if not upgraded or accept != accept_key(base64.b64encode(key).decode()):
        raise HandshakeError(
            502, "the response lacks the upgrade or the Sec-WebSocket-Accept value of this request"
        )
    protocol = (head.get(b"sec-websocket-protocol") or b"").decode("latin-1").strip()
    if protocol and protocol not in protocols:
        raise HandshakeError(502, f"the server chose the subprotocol {protocol!r}, which was not requested")
    extensions = (head.get(b"sec-websocket-extensions") or b"").decode("latin-1")
    if extensions and not (deflates and extensions.split(";")[0].strip() == DEFLATE):
        raise HandshakeError(502, "the server chose an extension that was not requested")
    return HandshakeResult([], protocol, bool(extensions))


def is_upgrade_response(head: ResponseHead) -> bool:
    """Return whether the header fields of a response accept the upgrade to WebSocket."""
    return "websocket" in _list_items(head.get(b"upgrade")) and "upgrade" in _list_items(
        head.get(b"connection")
    )
