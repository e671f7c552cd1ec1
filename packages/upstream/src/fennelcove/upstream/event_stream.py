"""Reads one long answer of server-sent events, until it ends, falls silent or is shut from outside."""

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
    """A connection for a stream was refused: nothing listens there."""

    code = "peer-refused"
    advice = "Start what should listen there, or take its address off the list or out of the settings"


class StreamBrokenError(OperatorError):
    """A stream of a box or of the list service ended, fell silent or can't be read on."""

    code = "peer-stream-broken"
    advice = "Wait: it is opened again by itself; where it goes on, look at the peer and the way to it"


class EventStream:
    """One stream. `run` belongs to the thread that owns it; `shut` ends it from any other."""

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
        """Open the stream and hand each event on.

        Raises:
            Refused: nothing listens there.
            Broken: anything else that ends it.
        """
        try:
            connection = dial(self.address, self.connect_timeout_us, self.limits, stream=True)
        except ConnectionRefusedError:
            raise PeerRefusedError("refused", self.address) from None
        except OSError as error:
            raise StreamBrokenError(str(error), self.address) from None
        with self.lock:
            self.sock = connection.sock
            if self.is_closed:
                connection.sock.close()
                raise StreamBrokenError("shut", self.address)
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
                    raise StreamBrokenError(f"answered {event.status}", self.address)
                if isinstance(event, Data):
                    for item in events.feed(event.body):
                        on_event(item)
                if isinstance(event, End):
                    raise StreamBrokenError("ended", self.address)
            data = sock.recv(READ_BYTES)
            reader.feed(data)
            if not data and reader.between:
                raise StreamBrokenError("closed", self.address)

    def close(self) -> None:
        """End the stream; `run` raises soon."""
        with self.lock:
            self.is_closed = True
            if self.sock is not None:
                with suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)
