"""Encodes messages."""

from __future__ import annotations

from fennelcove.isup.messages import MAX_MESSAGE_BYTES, SESSION_BYTES, Cause, MessageKind, Parameter


def message(kind: MessageKind, session: bytes, *parameters: tuple[Parameter, bytes]) -> bytes:
    """Encode a message.

    Raises:
        ValueError: the session id is not 8 bytes long, or the message is too long.
    """
    if len(session) != SESSION_BYTES:
        raise ValueError(f"session id of {len(session)} bytes, expected {SESSION_BYTES}")
    body = b"".join(bytes([code]) + len(value).to_bytes(2, "big") + value for code, value in parameters)
    length = 1 + SESSION_BYTES + len(body)
    if length + 2 > MAX_MESSAGE_BYTES:
        raise ValueError(f"message of {length + 2} bytes, at most {MAX_MESSAGE_BYTES} are allowed")
    return length.to_bytes(2, "big") + bytes([kind]) + session + body


def release(session: bytes, cause: Cause) -> bytes:
    """Encode a release: the end of a session, or of a set-up that is abandoned."""
    return message(MessageKind.RELEASE, session, (Parameter.CAUSE, bytes([cause])))
