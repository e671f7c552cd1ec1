"""WebSocket client of the emulators, based on the project's own codec and a blocking socket."""

from __future__ import annotations

import random
import socket
import ssl
from collections import deque
from contextlib import suppress
from typing import Any

import msgspec
from fennelcove.clock import Clock
from fennelcove.emulators.clients import ResponseObserver, Unanswered
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ProtocolError, ResponseHead
from fennelcove.http1.reader import MessageAssembler, Reader
from fennelcove.websocket import handshake
from fennelcove.websocket.protocol import Closed, Message, WebSocketProtocol
from fennelcove.websocket.protocol_constants import Bounds, CloseCode
from fennelcove.wire.websocket_messages import PATH, SUBPROTOCOL


class WebSocketClient:
    """One connection to a front; received messages are queued until they are read.

    Raises:
        Unanswered: The connection or the handshake failed.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        rng: random.Random,
        fields: list[tuple[str, str]] | None = None,
        context: ssl.SSLContext | None = None,
        deflates: bool = False,
        timeout_s: float = 5.0,
        observer: ResponseObserver | None = None,
    ) -> None:
        self.address = address
        self.observer = observer
        self.clock = clock
        self.last_ref = 0
        self.inbox: deque[dict[str, Any]] = deque()
        self.closed: Closed | None = None
        self.sock = self._connect(timeout_s, context)
        key = rng.randbytes(16)
        request_headers = [*handshake.client(key, [SUBPROTOCOL], deflates), *(fields or [])]
        gatherer = MessageAssembler(Reader(False, CodecLimits()))
        try:
            self.sock.sendall(writer.request("GET", PATH, address, request_headers))
            while (response := gatherer.next()) is None:
                data = self.sock.recv(4096)
                gatherer.reader.feed(data)
                if not data:
                    raise Unanswered("reset")
            assert isinstance(response.head, ResponseHead)
            accepted = handshake.opened(response.head, key, [SUBPROTOCOL], deflates)
        except handshake.HandshakeError as error:
            self.sock.close()
            raise Unanswered(f"refused with {error.status}") from None
        except TimeoutError:
            self.sock.close()
            raise Unanswered("timeout") from None
        except (OSError, ProtocolError):
            self.sock.close()
            raise Unanswered("reset") from None
        self.conversation = WebSocketProtocol(Bounds(), accepted.deflates, lambda: rng.randbytes(4))
        self._receive(bytes(gatherer.reader.buffer))

    def _connect(self, timeout_s: float, context: ssl.SSLContext | None) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        try:
            sock = socket.create_connection((host, int(port)), timeout_s)
            return sock if context is None else context.wrap_socket(sock, server_hostname="localhost")
        except TimeoutError:
            raise Unanswered("timeout") from None
        except OSError:
            raise Unanswered("refused") from None

    def _receive(self, data: bytes) -> None:
        for event in self.conversation.receive(data) if data else []:
            if isinstance(event, Message) and isinstance(event.data, str):
                self.inbox.append(msgspec.json.decode(event.data))
                if self.observer is not None:
                    self.observer.message(self.inbox[-1])
            elif isinstance(event, Closed):
                self.closed = event
        self.flush()

    def flush(self) -> None:
        """Send the bytes that the conversation has ready."""
        raw = self.conversation.take()
        if raw:
            self.sock.sendall(raw)

    def send_message(self, type: str, **fields: Any) -> str:
        """Send one message with a new `ref`, and return the `ref`; reports are sent without it.

        Raises:
            Unanswered: The connection is closed.
        """
        self.last_ref += 1
        ref = f"r{self.last_ref}"
        message = {"type": type, **({} if type == "report" else {"ref": ref}), **fields}
        try:
            self.conversation.send(msgspec.json.encode(message).decode())
            self.flush()
        except OSError:
            raise Unanswered("reset") from None
        return ref

    def next(self, timeout_s: float) -> dict[str, Any] | None:
        """Return the next message, or None after the time-out.

        Raises:
            Unanswered: The connection is closed and no message is left.
        """
        until_us = self.clock.now_us() + round(timeout_s * 1e6)
        while not self.inbox:
            if self.closed is not None:
                raise Unanswered(f"closed with {self.closed.code}")
            left_s = (until_us - self.clock.now_us()) / 1e6
            if left_s <= 0:
                return None
            self.sock.settimeout(left_s)
            try:
                data = self.sock.recv(16_384)
            except TimeoutError:
                return None
            except OSError:
                data = b""
            if not data:
                self.closed = self.closed or Closed(CloseCode.ABNORMAL, "", False)
                continue
            try:
                self._receive(data)
            except OSError:
                self.closed = Closed(CloseCode.ABNORMAL, "", False)
        return self.inbox.popleft()

    def ask(self, type: str, timeout_s: float = 5.0, **fields: Any) -> dict[str, Any]:
        """Send a request and return its response; events received before it stay queued.

        Raises:
            Unanswered: No response was received in time.
        """
        return self.answer(self.send_message(type, **fields), timeout_s)

    def answer(self, ref: str, timeout_s: float) -> dict[str, Any]:
        """Return the response to an earlier request.

        Raises:
            Unanswered: No response was received in time.
        """
        until_us = self.clock.now_us() + round(timeout_s * 1e6)
        deferred: list[dict[str, Any]] = []
        try:
            while True:
                message = self.next((until_us - self.clock.now_us()) / 1e6)
                if message is None:
                    raise Unanswered("timeout")
                if message.get("ref") == ref:
                    return message
                deferred.append(message)
        finally:
            self.inbox.extendleft(reversed(deferred))

    def next_of_type(self, type: str, timeout_s: float = 5.0) -> dict[str, Any]:
        """Return the next message of a type and discard the others before it.

        Raises:
            Unanswered: No such message was received in time.
        """
        until_us = self.clock.now_us() + round(timeout_s * 1e6)
        while True:
            message = self.next((until_us - self.clock.now_us()) / 1e6)
            if message is None:
                raise Unanswered("timeout")
            if message["type"] == type:
                return message

    def wait_closed(self, timeout_s: float = 5.0) -> Closed:
        """Read and discard messages until the connection is closed.

        Raises:
            TimeoutError: It was not closed in time.
        """
        until_us = self.clock.now_us() + round(timeout_s * 1e6)
        while self.closed is None:
            self.inbox.clear()
            with suppress(Unanswered):
                if self.next((until_us - self.clock.now_us()) / 1e6) is None and self.closed is None:
                    raise TimeoutError
        return self.closed

    def hang_up(self) -> None:
        """Close the TCP connection without a WebSocket close handshake."""
        self.sock.close()

    def close(self) -> None:
        """Send a WebSocket close frame and close the connection."""
        with suppress(OSError):
            self.conversation.close()
            self.flush()
        self.sock.close()
