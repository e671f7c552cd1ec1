"""Server-sent events (WHATWG HTML, section 9.2) as a codec without I/O: name and data of each event."""

from __future__ import annotations

from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventError(Exception):
    """A stream that can't be read on."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event."""

    name: str
    data: bytes


class EventReader:
    """Takes bytes of a stream, gives whole events; comments only show that the stream lives."""

    def __init__(self, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[ServerEvent]:
        """The events that are whole now.

        Raises:
            EventError: an event longer than the bound.
        """
        self.buffer += data
        if b"\r" in data:
            raise EventError("a carriage return; our streams end lines with a line feed")
        events = []
        while (end := self.buffer.find(b"\n\n")) >= 0:
            event = _parse_event(bytes(self.buffer[:end]))
            del self.buffer[: end + 2]
            if event is not None:
                events.append(event)
        if len(self.buffer) > self.max_bytes:
            raise EventError(f"an event longer than {self.max_bytes} bytes")
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
    """One event; data must hold no line break, as JSON written compactly does not.

    Raises:
        ValueError: a line break in name or data.
    """
    if b"\n" in data or b"\r" in data or "\n" in name:
        raise ValueError("a line break would end the event's data early")
    return b"event: %b\ndata: %b\n\n" % (name.encode(), data)


BEAT = b": beat\n\n"
