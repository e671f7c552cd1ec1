"""A client's HTTP connection: reads complete requests, writes complete responses, and bounds every wait."""

from __future__ import annotations

import socket
import ssl
import threading
from collections import deque
from contextlib import suppress
from dataclasses import dataclass

from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ProtocolError, RequestHead
from fennelcove.http1.reader import MessageAssembler, Reader
from fennelcove.ingress.tls import TlsKeys
from fennelcove.upstream.wakeups import CancellationLatch, WakeReason, wait

READ_BYTES = 16_384
LINGER_US = 250_000
CLOSE_GRACE_US = 50_000  # time for a request that was already in transit when the connection began to close
LINGER_BYTES = 262_144
MAX_LINGERING = 128


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Timeouts of a connection, in microseconds."""

    idle_us: int
    message_us: int
    write_us: int


@dataclass(slots=True)
class ReceivedRequest:
    """A complete request and the time at which it was received."""

    head: RequestHead
    body: bytes
    at_us: int


class TooSlow(Exception):
    """A request that was started but not completed within its time limit."""


def receive_available(sock: socket.socket, max_bytes: int) -> bytes | None:
    """Read what is available now; None if nothing is, as after a TLS record without application data.

    Raises:
        OSError: The connection is broken.
    """
    sock.settimeout(0)
    try:
        return sock.recv(max_bytes)
    except (BlockingIOError, ssl.SSLWantReadError):
        return None
    except ssl.SSLZeroReturnError:
        return b""


class Connection:
    """A connection, used by one thread only; `close` releases its reserved buffer space."""

    def __init__(
        self,
        sock: socket.socket,
        core: Core,
        clock: Clock,
        codec: CodecLimits,
        limits: ConnectionLimits,
        closing: CancellationLatch,
    ) -> None:
        self.sock = sock
        self.core = core
        self.clock = clock
        self.limits = limits
        self.closing: CancellationLatch | None = closing
        self.requests = MessageAssembler(Reader(True, codec))
        self.reserved_bytes = 0
        self.continue_sent = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self) -> ReceivedRequest | None:
        """Read the next request; None if the connection ended between two requests.

        Raises:
            ProtocolError: The request is invalid, or there is no buffer space for it.
            TooSlow: The request was started but not completed in time.
        """
        started_us: int | None = None
        while True:
            message = self.requests.next()
            if message is not None:
                self._adjust_reservation(-self.reserved_bytes)
                self.continue_sent = False
                assert isinstance(message.head, RequestHead)
                return ReceivedRequest(message.head, message.body, self.clock.now_us())
            self._send_continue_if_expected()
            started = not self.requests.reader.is_between_messages or self.requests.head is not None
            now_us = self.clock.now_us()
            if started and started_us is None:
                started_us = now_us
            if started_us is None:
                left_us = self.core.admission.effective_timeout_us(self.limits.idle_us)
            else:
                left_us = (
                    started_us + self.core.admission.effective_timeout_us(self.limits.message_us) - now_us
                )
            wake_reason = WakeReason.TIMEOUT if left_us <= 0 else wait(self.sock, left_us, self.closing)
            if wake_reason is not WakeReason.READY:
                if started and wake_reason is WakeReason.TIMEOUT:
                    raise TooSlow
                if wake_reason is WakeReason.TIMEOUT or (
                    not started and wait(self.sock, CLOSE_GRACE_US, None) is not WakeReason.READY
                ):
                    return None
                # While the front closes, a request in transit or half read may still be completed in time.
                self.closing = None
                continue
            try:
                data = receive_available(self.sock, READ_BYTES)
            except OSError:
                return None
            if data is None:
                continue
            if not data and not started:
                return None
            if not self._adjust_reservation(len(data)):
                raise ProtocolError(503, "no room for more bytes")
            self.requests.reader.feed(data)

    def perform_tls_handshake(self, tls: TlsKeys) -> bool:
        """Perform the handshake with the newest certificate; False if it fails or times out."""
        try:
            self.sock = tls.wrap(self.sock, self.limits.message_us)
            return True
        except (OSError, ValueError):
            return False

    def unread_bytes(self) -> bytes:
        """Return the bytes after the last request: the first ones of the protocol that was switched to."""
        return bytes(self.requests.reader.buffer)

    def _send_continue_if_expected(self) -> None:
        """Answer `Expect: 100-continue` if the head is here without its body (RFC 9110, 10.1.1)."""
        head = self.requests.head
        if isinstance(head, RequestHead) and head.expects_continue and not self.continue_sent:
            self.continue_sent = True
            self.write(writer.CONTINUE)

    def _adjust_reservation(self, delta_bytes: int) -> bool:
        if delta_bytes and not self.core.admission.reserve_buffer(delta_bytes):
            return False
        self.reserved_bytes += delta_bytes
        return True

    def write(self, raw: bytes) -> bool:
        """Send all bytes within the time limit; False if the client has disconnected or reads too slowly."""
        try:
            self.sock.settimeout(self.limits.write_us / 1e6)
            self.sock.sendall(raw)
            return True
        except OSError:
            return False

    def close(self, linger: bool = False) -> None:
        """Close the connection.

        With `linger`, first discard what the peer still sends: unread data would cause a TCP reset, which can
        destroy the response before the peer has read it.
        """
        self._adjust_reservation(-self.reserved_bytes)
        if linger:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
                deadline_us = self.clock.now_us() + LINGER_US
                discarded_bytes = 0
                while discarded_bytes < LINGER_BYTES and (left_us := deadline_us - self.clock.now_us()) > 0:
                    self.sock.settimeout(left_us / 1e6)
                    data = self.sock.recv(READ_BYTES)
                    if not data:
                        break
                    discarded_bytes += len(data)
        self.sock.close()


class ConnectionRejecter:
    """Answers connections that exceed the limits, without delaying the next one.

    The response is sent at once. One thread then discards what those clients still send, for a short time
    each, from a queue of bounded length. Connections beyond that length are closed at once, and their clients
    may see a reset instead of the response.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lingering: deque[tuple[int, socket.socket]] = deque()
        self.condition = threading.Condition()
        self.stopped = False
        self.thread = threading.Thread(target=self._run, name="refuser")

    def reject(self, sock: socket.socket, raw: bytes) -> None:
        """Send the response, and hand the socket to the thread that discards further input."""
        with suppress(OSError):
            sock.setblocking(False)
            sock.send(raw)
            sock.shutdown(socket.SHUT_WR)
        with self.condition:
            if len(self.lingering) >= MAX_LINGERING or self.stopped:
                sock.close()
                return
            self.lingering.append((self.clock.now_us() + LINGER_US, sock))
            self.condition.notify()

    def stop(self) -> None:
        """Close all lingering connections and stop the thread."""
        with self.condition:
            self.stopped = True
            self.condition.notify()
        self.thread.join()

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.stopped:
                    if not self.lingering:
                        self.condition.wait(1.0)
                    elif (left_us := self.lingering[0][0] - self.clock.now_us()) > 0:
                        self.condition.wait(left_us / 1e6)
                    else:
                        break
                due = [self.lingering.popleft() for _ in range(len(self.lingering) if self.stopped else 1)]
            for _, sock in due:
                with suppress(OSError):
                    sock.recv(LINGER_BYTES)
                sock.close()
            if self.stopped:
                return
