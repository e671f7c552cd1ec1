"""Queue of the received messages of a client connection that have not been processed yet."""

from __future__ import annotations

from collections import Counter, deque
from contextlib import suppress
from dataclasses import dataclass

from fennelcove.rtsp.messages import Message, ProtocolError, Request
from fennelcove.rtsp.reader import Reader

MAX_BYTES_AHEAD = 65_536  # of one connection, read ahead of the message that is processed
MIN_BYTES_AHEAD = 16_384
TOTAL_BYTES_AHEAD = 8_388_608  # of all connections, unless each has the minimum
MAX_MESSAGES_AHEAD = 512  # of one connection; parsed, a short message takes many times its bytes
MIN_MESSAGES_AHEAD = 16
TOTAL_MESSAGES_AHEAD = 16_384


@dataclass(frozen=True, slots=True)
class ReadAheadLimit:
    """How much one connection may read ahead of the message that is processed."""

    bytes: int
    messages: int  # parsed ones; further ones stay unparsed


def read_ahead_limit(connection_count: int) -> ReadAheadLimit:
    """The limit of each of this many connections: hundreds that flood the node must not fill its memory."""
    count = max(1, connection_count)
    return ReadAheadLimit(
        bytes=min(MAX_BYTES_AHEAD, max(MIN_BYTES_AHEAD, TOTAL_BYTES_AHEAD // count)),
        messages=min(MAX_MESSAGES_AHEAD, max(MIN_MESSAGES_AHEAD, TOTAL_MESSAGES_AHEAD // count)),
    )


class ReceiveQueue:
    """Queue of one connection; it tracks which queued set-ups a later queued message cancels."""

    def __init__(self) -> None:
        self.reader = Reader()
        self.messages: deque[Message] = deque()
        self.teardown_counts: Counter[str] = Counter()  # in `messages`, by session id
        self.unprocessed_bytes = 0  # fed since the queue was last empty
        self.limit = read_ahead_limit(1)

    @property
    def is_empty(self) -> bool:
        """Whether neither a message nor a part of one is queued."""
        return self.reader.is_between_messages and not self.messages

    @property
    def is_full(self) -> bool:
        """Whether queued messages must be processed before more is read."""
        return self.unprocessed_bytes >= self.limit.bytes

    def feed(self, data: bytes) -> None:
        """Add received data. A protocol error is kept for `raise_failure`; messages before it are kept."""
        self.unprocessed_bytes += len(data)
        if self.reader.failure is None:
            self.reader.feed(data)
        self._parse_ahead()

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
        self._parse_ahead()
        if not self.messages:
            self.unprocessed_bytes = 0
        return message

    def _parse_ahead(self) -> None:
        with suppress(ProtocolError):
            while len(self.messages) < self.limit.messages:
                message = self.reader.next()
                if message is None:
                    return
                self.messages.append(message)
                if _is_teardown(message):
                    self.teardown_counts[_session_name(message)] += 1

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
