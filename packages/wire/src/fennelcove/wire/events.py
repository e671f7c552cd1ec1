"""Codec for server-sent events (WHATWG HTML, section 9.2), without I/O: the name and data of each event."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventError(Exception):
    """The stream is invalid and can't be read further."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """A server-sent event."""

    name: str
    data: bytes


class EventReader:
    """Assembles events from the bytes of a stream; comments are skipped, they only keep the stream alive."""

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Add received bytes, and return the events that are now complete.

        Raises:
            EventError: An event is too long, or the stream contains a carriage return.
        """
        self.buffer += data
        if b"\r" in data:
            raise EventError("the stream contains a carriage return; lines must end with a line feed")
        events = []
        while (end := self.buffer.find(b"\n\n")) >= 0:
            event = _parse_event(bytes(self.buffer[:end]))
            del self.buffer[: end + 2]
            if event is not None:
                events.append(event)
        if len(self.buffer) > self.max_bytes:
            raise EventError(f"an event exceeds {self.max_bytes} bytes")
        return events


def _parse_event(raw: bytes) -> ServerEvent | None:
    name, data = "message", list[bytes]()
    for line in raw.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"event":
            name = value.decode("utf-8", "replace")
        elif field == b"data":
            data.append(value)
    return ServerEvent(name, b"\n".join(data)) if data else None


def write_event(name: str, data: bytes) -> bytes:
    """Encode an event; data must not contain a line break, which compact JSON never does.

    Raises:
        ValueError: The name or the data contains a line break.
    """
    if b"\n" in data or b"\r" in data or "\n" in name:
        raise ValueError("a line break would end the event's data early")
    return b"event: %b\ndata: %b\n\n" % (name.encode(), data)


HEARTBEAT = b": beat\n\n"
