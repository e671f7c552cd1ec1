"""One connection to the discovery service, with at most one poll in flight. No method waits for the service.

A poll that is not answered in time is overdue, and its client sends another one elsewhere. It stays in flight
all the same: a service that is late by a constant amount would otherwise never be heard.
"""

from __future__ import annotations

import errno
import os
import select
import socket
from collections.abc import Iterable
from dataclasses import dataclass

from fennelcove.clock import Clock
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, CompleteMessage
from fennelcove.http1.reader import MessageAssembler, Reader
from fennelcove.node.address import Address
from fennelcove.node.descriptor_budget import Descriptor

LONG_POLL_MS = 1_000  # how long the service may delay its response; a silent one is detected soon after
CONNECT_TIMEOUT_US = 500_000  # until a poll whose connection is not established is overdue
RESPONSE_GRACE_US = 400_000  # after the long poll, and between two parts of a response, until it is overdue
MAX_RESPONSE_US = 4_000_000  # of a response once begun, until it is overdue even if it makes progress
MAX_POLL_US = 60_000_000  # until a poll is given up whose response makes progress
MAX_RESPONSE_BYTES = 8 << 20  # about 200 bytes for each of thousands of servers, and for each change
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True, eq=False)
class DiscoveryPoll:
    """One poll of the discovery service.

    Attributes:
        generation: the client's generation in which it is sent.
        address: the service's address.
        revision: that of the last event which the client has applied.
        max_silence_us: how long it stays in flight while nothing arrives.
    """

    generation: int
    address: Address
    revision: int
    max_silence_us: int

    def encode(self) -> bytes:
        """Return the HTTP request."""
        target = f"/board/poll?watch={self.revision}&linger={LONG_POLL_MS}"
        return writer.request("GET", target, f"{self.address.host}:{self.address.port}")


class DiscoveryConnection:
    """A connection of the discovery client; owns its descriptor.

    Attributes:
        sock: the socket, which other threads may only shut down.
        poll: the poll in flight; None if the connection is idle.
        generation: of the latest poll.
        is_overdue: whether the poll in flight, or the one answered last, was not answered in time.
    """

    def __init__(self, descriptor: Descriptor, sock: socket.socket, clock: Clock) -> None:
        """Take over a descriptor with a socket that is not connected."""
        self.sock = sock
        self.poll: DiscoveryPoll | None = None
        self.generation = 0
        self.is_overdue = False
        self._descriptor = descriptor
        self._clock = clock
        self._is_connected = False
        self._responses = MessageAssembler(Reader(False, CodecLimits(body_bytes=MAX_RESPONSE_BYTES)))
        self._begun_us = self._overdue_us = self._max_overdue_us = self._expires_us = 0

    @property
    def poll_events(self) -> int:
        """The event of `select.poll` on which `on_ready` is to be called."""
        return select.POLLIN if self._is_connected else select.POLLOUT

    @property
    def next_deadline_us(self) -> int:
        """When the poll in flight becomes overdue, or is to be given up if it is overdue already."""
        return self._expires_us if self.is_overdue else self._overdue_us

    def connect(self, poll: DiscoveryPoll) -> None:
        """Begin to connect; the poll is sent when the connection is established.

        Raises:
            OSError: the address can't be connected to.
        """
        self._begin(poll, CONNECT_TIMEOUT_US)
        self.sock.setblocking(False)
        error = self.sock.connect_ex((poll.address.host, poll.address.port))
        if error not in (0, errno.EINPROGRESS):
            raise OSError(error, os.strerror(error))

    def send(self, poll: DiscoveryPoll) -> None:
        """Send a poll on an idle connection.

        Raises:
            OSError: the connection is broken.
        """
        self._begin(poll, 0)
        self._send_request(poll)

    def on_ready(self) -> CompleteMessage | None:
        """Handle the event that was waited for.

        Returns:
            The complete response to the poll in flight, if it has arrived.

        Raises:
            OSError: the connection can't be established, or has ended before the response.
            ProtocolError: the response is malformed.
        """
        if not self._is_connected:
            self._on_connected()
            return None
        data = self.sock.recv(READ_BYTES)
        self._extend(RESPONSE_GRACE_US)
        self._responses.reader.feed(data)
        if not data and self._responses.reader.is_between_messages:
            raise ConnectionResetError("the discovery service closed the connection before its response")
        response = self._responses.next()
        if response is not None:
            self.poll = None
        return response

    def is_clean(self) -> bool:
        """Whether nothing has arrived since the last response.

        A duplicate of it would be taken for the response to the next poll, and each later response for that
        of the poll after its own.
        """
        try:
            self.sock.recv(1)
        except BlockingIOError:
            return self._responses.reader.is_between_messages
        except OSError:
            pass
        return False

    def close(self) -> None:
        """Close the descriptor; closing again has no effect."""
        self.poll = None
        self._descriptor.close()

    def _begin(self, poll: DiscoveryPoll, connect_us: int) -> None:
        self.poll, self.generation, self.is_overdue = poll, poll.generation, False
        self._begun_us = self._clock.now_us()
        self._overdue_us = self._max_overdue_us = self._begun_us + connect_us
        self._expires_us = self._begun_us + poll.max_silence_us

    def _on_connected(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
        self._is_connected = True
        assert self.poll is not None
        self._send_request(self.poll)

    def _send_request(self, poll: DiscoveryPoll) -> None:
        request = poll.encode()
        if self.sock.send(request) != len(request):
            raise ConnectionError("the discovery service does not read its requests")
        answer_us = LONG_POLL_MS * 1000 + RESPONSE_GRACE_US
        self._max_overdue_us = self._clock.now_us() + answer_us + MAX_RESPONSE_US
        self._extend(answer_us)

    def _extend(self, allowance_us: int) -> None:
        """Allow more time for the next step: a large list on a slow path only has to make progress."""
        assert self.poll is not None
        now_us = self._clock.now_us()
        self._overdue_us = min(max(self._overdue_us, now_us + allowance_us), self._max_overdue_us)
        self._expires_us = min(now_us + self.poll.max_silence_us, self._begun_us + MAX_POLL_US)


def wait_for_events(connections: Iterable[DiscoveryConnection], timeout_us: int) -> list[DiscoveryConnection]:
    """Wait until any of the connections is ready, and return those that are."""
    poll = select.poll()
    by_descriptor = {connection.sock.fileno(): connection for connection in connections}
    for descriptor, connection in by_descriptor.items():
        poll.register(descriptor, connection.poll_events)
    return [by_descriptor[descriptor] for descriptor, _ in poll.poll(max(0, timeout_us) / 1000)]
