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


class Refused(OperatorError):
    """A connection for a stream was refused: nothing listens there."""

    code = "peer-refused"
    advice = "Start what should listen there, or take its address off the list or out of the settings"


class Broken(OperatorError):
    """A stream of a box or of the list service ended, fell silent or can't be read on."""

    code = "peer-stream-broken"
    advice = "Wait: it is opened again by itself; where it goes on, look at the peer and the way to it"


class EventStream:
    """One stream. `run` belongs to the thread that owns it; `shut` ends it from any other."""

    def __init__(self, address: str, path: str, limits: DialLimits, connect_us: int, silence_us: int) -> None:
        self.address = address
        self.path = path
        self.limits = limits
        self.connect_us = connect_us
        self.silence_us = silence_us
        self.sock: socket.socket | None = None
        self.is_shut = False
        self.lock = threading.Lock()

    def run(self, take: Callable[[ServerEvent], None]) -> None:
        """Open the stream and hand each event on.

        Raises:
            Refused: nothing listens there.
            Broken: anything else that ends it.
        """
        try:
            link = dial(self.address, self.connect_us, self.limits, stream=True)
        except ConnectionRefusedError:
            raise Refused("refused", self.address) from None
        except OSError as error:
            raise Broken(str(error), self.address) from None
        with self.lock:
            self.sock = link.sock
            if self.is_shut:
                link.sock.close()
                raise Broken("shut", self.address)
        try:
            link.sock.settimeout(self.silence_us / 1e6)
            accept = [("Accept", "text/event-stream")]
            link.sock.sendall(writer.request("GET", self.path, self.address, accept))
            self._read(link.sock, link.answers.reader, take)
        except (OSError, ProtocolError, EventError) as error:
            raise Broken(str(error) or type(error).__name__, self.address) from None
        finally:
            with self.lock:
                link.sock.close()
                self.sock = None

    def _read(self, sock: socket.socket, reader: Reader, take: Callable[[ServerEvent], None]) -> None:
        events = EventReader()
        while True:
            while (event := reader.next()) is not None:
                if isinstance(event, ResponseHead) and event.status != 200:
                    raise Broken(f"answered {event.status}", self.address)
                if isinstance(event, Data):
                    for item in events.feed(event.body):
                        take(item)
                if isinstance(event, End):
                    raise Broken("ended", self.address)
            data = sock.recv(READ_BYTES)
            reader.feed(data)
            if not data and reader.between:
                raise Broken("closed", self.address)

    def shut(self) -> None:
        """End the stream; `run` raises soon."""
        with self.lock:
            self.is_shut = True
            if self.sock is not None:
                with suppress(OSError):
                    self.sock.shutdown(socket.SHUT_RDWR)
