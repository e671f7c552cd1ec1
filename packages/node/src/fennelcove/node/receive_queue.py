"""Queue of a client connection's received messages that have not been processed yet, in order."""

from __future__ import annotations

from collections import Counter, deque
from contextlib import suppress

from fennelcove.rtsp.messages import Message, ProtocolError, Request
from fennelcove.rtsp.reader import Reader

MAX_UNPROCESSED_BYTES = 65_536  # read ahead of the message being processed


class ReceiveQueue:
    """The queue of one connection; it knows which queued set-ups a later message withdraws."""

    def __init__(self) -> None:
        self.reader = Reader()
        self.messages: deque[Message] = deque()
        self.teardown_counts: Counter[str] = Counter()  # among the messages, by session id
        self.unprocessed_bytes = 0  # fed since the queue was last empty

    @property
    def is_empty(self) -> bool:
        """Whether nothing is queued, not even a part of a message."""
        return self.reader.is_between_messages and not self.messages

    @property
    def is_full(self) -> bool:
        """Whether no more may be read before queued messages have been processed."""
        return self.unprocessed_bytes >= MAX_UNPROCESSED_BYTES

    def feed(self, data: bytes) -> None:
        """Add what was read; `raise_failure` raises what is unreadable, after all messages before it."""
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
        """Whether a message that is still queued tears this message's session down."""
        return bool(self.teardown_counts) and _session_name(message) in self.teardown_counts

    def raise_failure(self) -> None:
        """Raise the reader's failure, if there is one.

        Raises:
            ProtocolError: the stream can't be read any further.
        """
        if self.reader.failure is not None:
            raise self.reader.failure


def _is_teardown(message: Message) -> bool:
    return isinstance(message, Request) and message.method == "TEARDOWN"


def _session_name(message: Message) -> str:
    return message.fields.get("session", "").lower()
