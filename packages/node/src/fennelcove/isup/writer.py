"""Writes messages as bytes."""

from __future__ import annotations

from fennelcove.isup.messages import MAX_MESSAGE_BYTES, SESSION_BYTES, Cause, MessageKind, Parameter


def message(kind: MessageKind, session: bytes, *parameters: tuple[Parameter, bytes]) -> bytes:
    """Encode a message.

    Raises:
        ValueError: a session that is not 8 bytes, or a message past its bound.
    """
    if len(session) != SESSION_BYTES:
        raise ValueError(f"a session of {len(session)} bytes")
    body = b"".join(bytes([code]) + len(value).to_bytes(2, "big") + value for code, value in parameters)
    length = 1 + SESSION_BYTES + len(body)
    if length + 2 > MAX_MESSAGE_BYTES:
        raise ValueError(f"a message of {length + 2} bytes")
    return length.to_bytes(2, "big") + bytes([kind]) + session + body


def release(session: bytes, cause: Cause) -> bytes:
    """Encode the end of a session, or the abandonment of a set-up."""
    return message(MessageKind.RELEASE, session, (Parameter.CAUSE, bytes([cause])))
