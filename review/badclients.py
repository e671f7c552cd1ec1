"""Bad clients: some ask once for a class that does not exist and stay, the others say nothing.

Each opens its connection again the moment it is closed, and reads whatever it is sent. Arguments: host, port,
how many that ask, how many that say nothing, seconds.
"""
# ruff: noqa: PLR2004

from __future__ import annotations

import secrets
import selectors
import socket
import sys
import time
from contextlib import suppress


def question() -> bytes:
    """Return a set-up for a class that does not exist."""
    lines = (
        "SETUP rtsp://media/7 RTSP/1.0",
        "CSeq: 1",
        f"Session: {secrets.token_hex(8)}",
        "Call-Kind: nope",
        "Answer-Within: 3000",
        f"Routing-Data: home:0;copies:3;top:2;viewer:{secrets.token_hex(8)}",
        "Content-Length: 0",
    )
    return "\r\n".join([*lines, "", ""]).encode()


class BadClients:
    """All of them, on one event loop."""

    def __init__(self, host: str, port: int) -> None:
        """Remember where the front node listens."""
        self.address = (host, port)
        self.selector = selectors.DefaultSelector()
        self.opened = self.answered = self.closed = 0

    def open(self, *, asks: bool) -> None:
        """Open one connection."""
        sock = socket.socket()
        sock.settimeout(0)
        sock.connect_ex(self.address)
        self.opened += 1
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if asks else 0)
        self.selector.register(sock, events, data=asks)

    def run(self, until: float) -> None:
        """Ask, read, and open again what was closed."""
        while time.time() < until:
            for key, events in self.selector.select(0.05):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if events & selectors.EVENT_WRITE:
                    with suppress(OSError):
                        sock.send(question())
                    self.selector.modify(sock, selectors.EVENT_READ, data=key.data)
                    continue
                try:
                    data = sock.recv(65_536)
                except BlockingIOError:
                    continue
                except OSError:
                    data = b""
                if data:
                    self.answered += 1
                    continue
                self.closed += 1
                self.selector.unregister(sock)
                sock.close()
                self.open(asks=key.data)


def main() -> None:
    """Open those that ask, a second later those that say nothing."""
    host, port, asking, silent, seconds = sys.argv[1:6]
    clients = BadClients(host, int(port))
    until = time.time() + float(seconds)
    for _ in range(int(asking)):
        clients.open(asks=True)
    clients.run(min(until, time.time() + 1.0))
    for _ in range(int(silent)):
        clients.open(asks=False)
    clients.run(until)
    print(f"opened={clients.opened} answered={clients.answered} closed={clients.closed}", flush=True)


if __name__ == "__main__":
    main()
