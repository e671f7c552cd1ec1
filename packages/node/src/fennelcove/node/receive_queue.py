"""What has come over a viewer's connection and was not acted on yet, in order, with what takes it back."""

from __future__ import annotations

from collections import Counter, deque
from contextlib import suppress

from fennelcove.rtsp.messages import Message, ProtocolError, Request
from fennelcove.rtsp.reader import Reader

MAX_UNPROCESSED_BYTES = 65_536  # read ahead of what is acted on


class ReceiveQueue:
    """One connection's."""

    def __init__(self) -> None:
        self.reader = Reader()
        self.messages: deque[Message] = deque()
        self.teardown_counts: Counter[str] = Counter()  # among the messages, by session
        self.unprocessed_bytes = 0  # bytes fed since nothing was left to act on

    @property
    def is_empty(self) -> bool:
        """Nothing is left here, not even a part of a message."""
        return self.reader.is_between_messages and not self.messages

    @property
    def is_full(self) -> bool:
        """No more may be read before some of it was acted on."""
        return self.unprocessed_bytes >= MAX_UNPROCESSED_BYTES

    def feed(self, data: bytes) -> None:
        """Add what was read; what can't be read is raised by `check`, after all that came before it."""
        self.unprocessed_bytes += len(data)
        if self.reader.failure is None:
            self.reader.feed(data)
        with suppress(ProtocolError):
            while (message := self.reader.next()) is not None:
                self.messages.append(message)
                if _is_teardown(message):
                    self.teardown_counts[_session_name(message)] += 1

    def pop(self) -> Message:
        """The next message."""
        message = self.messages.popleft()
        if _is_teardown(message):
            session = _session_name(message)
            self.teardown_counts[session] -= 1
            if not self.teardown_counts[session]:
                del self.teardown_counts[session]
        if not self.messages:
            self.unprocessed_bytes = 0
        return message

    def is_withdrawn(self, message: Message) -> bool:
        """Whether the session of this message is given up by one that has come after it."""
        return bool(self.teardown_counts) and _session_name(message) in self.teardown_counts

    def raise_failure(self) -> None:
        """Raises:
        ProtocolError: nothing that comes can be read any more.
        """
        if self.reader.failure is not None:
            raise self.reader.failure


def _is_teardown(message: Message) -> bool:
    return isinstance(message, Request) and message.method == "TEARDOWN"


def _session_name(message: Message) -> str:
    return message.fields.get("session", "").lower()
