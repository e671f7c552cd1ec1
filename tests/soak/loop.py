"""A single-threaded event loop with sockets and timers, for emulators with thousands of sockets."""

from __future__ import annotations

import heapq
import selectors
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress

MAX_POLL_S = 0.05


class Loop:
    """Runs callbacks for ready sockets and at given Unix times."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_count = 0

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at a Unix time; callbacks of the same time run in the order of the calls."""
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        self.at(time.time() + delay, callback)

    def watch(self, sock: socket.socket, callback: Callable[[], None], write: bool = False) -> None:
        """Run a callback whenever the socket is readable, or writable with `write`."""
        self.selector.register(sock, selectors.EVENT_WRITE if write else selectors.EVENT_READ, callback)

    def unwatch(self, sock: socket.socket) -> None:
        """Stop watching a socket; no error if it is not watched."""
        with suppress(KeyError, ValueError):
            self.selector.unregister(sock)

    def run(self, until: float) -> None:
        while (now := time.time()) < until:
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
            next_due = self.timers[0][0] if self.timers else now + MAX_POLL_S
            for key, _ in self.selector.select(max(0.0, min(MAX_POLL_S, next_due - time.time()))):
                # An earlier callback of this iteration may have closed the socket.
                if key.fd >= 0 and self.selector.get_map().get(key.fd) is key:
                    key.data()


def reset(sock: socket.socket) -> None:
    """Close the connection with a TCP reset."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
