"""Queue of the received messages of a client connection that have not been processed yet."""

from __future__ import annotations

from collections import Counter, deque
from contextlib import suppress

from fennelcove.rtsp.messages import Message, ProtocolError, Request
from fennelcove.rtsp.reader import Reader

MAX_UNPROCESSED_BYTES = 65_536  # read ahead of the message that is processed


class ReceiveQueue:
    """Queue of one connection; it tracks which queued set-ups a later queued message cancels."""

    def __init__(self) -> None:
        self.reader = Reader()
        self.messages: deque[Message] = deque()
        self.teardown_counts: Counter[str] = Counter()  # in `messages`, by session id
        self.unprocessed_bytes = 0  # fed since the queue was last empty

    @property
    def is_empty(self) -> bool:
        """Whether neither a message nor a part of one is queued."""
        return self.reader.is_between_messages and not self.messages

    @property
    def is_full(self) -> bool:
        """Whether queued messages must be processed before more is read."""
        return self.unprocessed_bytes >= MAX_UNPROCESSED_BYTES

    def feed(self, data: bytes) -> None:
        """Add received data. A protocol error is kept for `raise_failure`; messages before it are queued."""
        self.unprocessed_bytes += len(data)
        if self.reader.failure is None:
            self.reader.feed(data)
        with suppress(ProtocolError):
            while (message := self.reader.next()) is not None:
                self.messages.append(message)
                if _is_teardown(message):
                    self.teardown_counts[_session_name(message)] += 1

    def pop(self) -> Message:
        """Remove and return the next message.

        Raises:
            IndexError: no message is queued.
        """
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
        """Whether a queued TEARDOWN ends the session of this message."""
        return bool(self.teardown_counts) and _session_name(message) in self.teardown_counts

    def raise_failure(self) -> None:
        """Raise the reader's failure, if there is one.

        Raises:
            ProtocolError: the stream can't be parsed any further.
        """
        if self.reader.failure is not None:
            raise self.reader.failure


def _is_teardown(message: Message) -> bool:
    return isinstance(message, Request) and message.method == "TEARDOWN"


def _session_name(message: Message) -> str:
    return message.fields.get("session", "").lower()
