"""What has come over a viewer's connection and was not acted on yet, in order, with what takes it back."""

from __future__ import annotations

from collections import Counter, deque
from contextlib import suppress

from fennelcove.rtsp.messages import Message, ProtocolError, Request
from fennelcove.rtsp.reader import Reader

MOST_BYTES = 65_536  # read ahead of what is acted on


class ReceiveQueue:
    """One connection's."""

    def __init__(self) -> None:
        self.reader = Reader()
        self.messages: deque[Message] = deque()
        self.teardowns: Counter[str] = Counter()  # among the messages, by session
        self.size = 0  # bytes fed since nothing was left to act on

    @property
    def between(self) -> bool:
        """Nothing is left here, not even a part of a message."""
        return self.reader.between and not self.messages

    @property
    def full(self) -> bool:
        """No more may be read before some of it was acted on."""
        return self.size >= MOST_BYTES

    def feed(self, data: bytes) -> None:
        """Add what was read; what can't be read is raised by `check`, after all that came before it."""
        self.size += len(data)
        if self.reader.failure is None:
            self.reader.feed(data)
        with suppress(ProtocolError):
            while (message := self.reader.next()) is not None:
                self.messages.append(message)
                if _tears_down(message):
                    self.teardowns[_session(message)] += 1

    def take(self) -> Message:
        """The next message."""
        message = self.messages.popleft()
        if _tears_down(message):
            session = _session(message)
            self.teardowns[session] -= 1
            if not self.teardowns[session]:
                del self.teardowns[session]
        if not self.messages:
            self.size = 0
        return message

    def takes_back(self, message: Message) -> bool:
        """Whether the session of this message is given up by one that has come after it."""
        return bool(self.teardowns) and _session(message) in self.teardowns

    def check(self) -> None:
        """Raises:
        ProtocolError: nothing that comes can be read any more.
        """
        if self.reader.failure is not None:
            raise self.reader.failure


def _tears_down(message: Message) -> bool:
    return isinstance(message, Request) and message.method == "TEARDOWN"


def _session(message: Message) -> str:
    return message.fields.get("session", "").lower()
