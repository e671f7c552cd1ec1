"""Messages about sessions for one server, kept until the server is known to have read them.

A release that is lost leaves its session established at the server, without a client. So a message waits here
while no connection is open, and it returns here if its connection ends before the server has confirmed it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

# A server that is cut off for longer keeps the sessions that were released meanwhile.
MESSAGE_TTL_US = 300_000_000
MAX_MESSAGES = 10_000  # per server, and per connection: as many as sessions


@dataclass(frozen=True, slots=True)
class SessionMessage:
    """An encoded message about a session."""

    session: bytes  # the session's id
    data: bytes
    queued_us: int  # when it was first to be sent; it may have been sent and lost since


class ServerOutbox:
    """The messages that wait for a connection: the latest one of each session, oldest first."""

    def __init__(self) -> None:
        """Start with no message."""
        self._messages: dict[bytes, SessionMessage] = {}

    def __len__(self) -> int:
        """The number of messages that wait."""
        return len(self._messages)

    def __iter__(self) -> Iterator[SessionMessage]:
        """Iterate over the messages in the order in which they are to be sent."""
        return iter(self._messages.values())

    def add(self, message: SessionMessage) -> bool:
        """Queue a message in place of an earlier one of its session; False if the limit is reached."""
        if self._messages.pop(message.session, None) is None and len(self._messages) >= MAX_MESSAGES:
            return False
        self._messages[message.session] = message
        return True

    def take_first(self) -> SessionMessage:
        """Remove and return the oldest message.

        Raises:
            StopIteration: no message waits.
        """
        return self._messages.pop(next(iter(self._messages)))

    def take(self, session: bytes) -> SessionMessage | None:
        """Remove and return the message about a session, if there is one."""
        return self._messages.pop(session, None)

    def clear(self) -> None:
        """Drop all messages."""
        self._messages.clear()

    def expire(self, now_us: int) -> int:
        """Drop the messages whose time to live has passed; return how many there were."""
        expired = [each for each in self if now_us - each.queued_us > MESSAGE_TTL_US]
        for message in expired:
            del self._messages[message.session]
        return len(expired)


class UnconfirmedMessages:
    """The messages sent on one connection that the server has not confirmed.

    A server confirms a release with a release-complete message, which is optional, and all that precedes a
    keepalive request with the answer to it.
    """

    def __init__(self) -> None:
        """Start with no message."""
        self._messages: dict[bytes, SessionMessage] = {}
        self._before_keepalive: tuple[SessionMessage, ...] = ()

    def __len__(self) -> int:
        """The number of messages without a confirmation."""
        return len(self._messages)

    @property
    def waiting_since_us(self) -> int | None:
        """When the oldest message was queued, in microseconds.

        None if there is no message, or a keepalive request without an answer will confirm some.
        """
        if self._before_keepalive:
            return None
        return next((message.queued_us for message in self._messages.values()), None)

    def on_sent(self, message: SessionMessage) -> None:
        """Record that a message was sent; the oldest one gives way at the limit."""
        self._messages.pop(message.session, None)
        if len(self._messages) >= MAX_MESSAGES:
            del self._messages[next(iter(self._messages))]
        self._messages[message.session] = message

    def on_keepalive_sent(self) -> None:
        """Record that a keepalive request was sent; an earlier one without an answer still counts."""
        if not self._before_keepalive:
            self._before_keepalive = tuple(self._messages.values())

    def on_keepalive_answered(self) -> None:
        """Record that the server has read everything that preceded the keepalive request."""
        confirmed, self._before_keepalive = self._before_keepalive, ()
        for message in confirmed:
            if self._messages.get(message.session) is message:
                del self._messages[message.session]

    def take(self, session: bytes) -> SessionMessage | None:
        """Remove and return the message about a session, which the server has read or is sent again."""
        return self._messages.pop(session, None)

    def take_all(self) -> list[SessionMessage]:
        """Remove and return all messages, oldest first."""
        messages = list(self._messages.values())
        self._messages.clear()
        return messages
