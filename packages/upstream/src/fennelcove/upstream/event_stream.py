"""Reads a stream of server-sent events until it ends, times out or is closed by another thread."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress

from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import Data, End, ProtocolError, ResponseHead
from fennelcove.http1.reader import Reader
from fennelcove.upstream.connection_pool import READ_BYTES, DialLimits, dial
from fennelcove.wire.events import EventError, EventReader, ServerEvent


class PeerRefusedError(OperatorError):
    """The connection for an event stream was refused: nothing listens at the address."""

    code = "peer-refused"
    advice = "Start the server or service at the address, or remove the address from the list or the settings"


class StreamBrokenError(OperatorError):
    """An event stream of a server or of the list service ended, timed out or is malformed."""

    code = "peer-stream-broken"
    advice = "The front reconnects automatically; if it recurs, check the peer and the network path to it"


class EventStream:
    """One event stream. The owning thread calls `run`; any other thread can end it with `close`."""

    def __init__(
        self, address: str, path: str, limits: DialLimits, connect_timeout_us: int, idle_timeout_us: int
    ) -> None:
        self.address = address
        self.path = path
        self.limits = limits
        self.connect_timeout_us = connect_timeout_us
        self.idle_timeout_us = idle_timeout_us
        self.sock: socket.socket | None = None
        self.is_closed = False
        self.lock = threading.Lock()

    def run(self, on_event: Callable[[ServerEvent], None]) -> None:
        """Open the stream and pass each event to `on_event`, until the stream ends.

        Raises:
            PeerRefusedError: nothing listens at the address.
            StreamBrokenError: the stream ended for any other reason.
        """
        try:
            connection = dial(self.address, self.connect_timeout_us, self.limits, stream=True)
        except ConnectionRefusedError:
            raise PeerRefusedError("connection refused", self.address) from None
        except OSError as error:
            raise StreamBrokenError(str(error), self.address) from None
        with self.lock:
            self.sock = connection.sock
            if self.is_closed:
                connection.sock.close()
                raise StreamBrokenError("closed by this front", self.address)
        try:
            connection.sock.settimeout(self.idle_timeout_us / 1e6)
            accept = [("Accept", "text/event-stream")]
            connection.sock.sendall(writer.request("GET", self.path, self.address, accept))
            self._read(connection.sock, connection.responses.reader, on_event)
        except (OSError, ProtocolError, EventError) as error:
            raise StreamBrokenError(str(error) or type(error).__name__, self.address) from None
        finally:
            with self.lock:
                connection.sock.close()
                self.sock = None

    def _read(self, sock: socket.socket, reader: Reader, on_event: Callable[[ServerEvent], None]) -> None:
        events = EventReader()
        while True:
            while (event := reader.next()) is not None:
                if isinstance(event, ResponseHead) and event.status != 200:
                    raise StreamBrokenError(f"response status {event.status}", self.address)
                if isinstance(event, Data):
                    for item in events.feed(event.body):
                        on_event(item)
                if isinstance(event, End):
                    raise StreamBrokenError("end of the response", self.address)
            data = sock.recv(READ_BYTES)
            reader.feed(data)
            if not data and reader.is_between_messages:
                raise StreamBrokenError("connection closed by the peer", self.address)

    def close(self) -> None:
        """End the stream: `run` raises `StreamBrokenError` soon after."""
        with self.lock:
            self.is_closed = True
            if self.sock is not None:
                with suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)
