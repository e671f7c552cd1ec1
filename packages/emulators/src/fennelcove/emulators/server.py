"""A small threaded HTTP server for the emulators, based on the project's own HTTP/1.1 codec."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress

from fennelcove.http1.messages import CodecLimits, ProtocolError, RequestHead
from fennelcove.http1.reader import MessageAssembler, Reader

Handler = Callable[[RequestHead, bytes, "Peer"], bool]


class Peer:
    """One connection, for use by a request handler."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def send(self, raw: bytes) -> bool:
        """Send data; return False if the connection is closed."""
        try:
            self.sock.sendall(raw)
            return True
        except OSError:
            return False

    def wait_closed(self, seconds: float) -> bool:
        """Wait until the peer closes the connection or sends data, and return whether it did so in time."""
        self.sock.settimeout(seconds)
        try:
            self.sock.recv(1, socket.MSG_PEEK)
            return True
        except TimeoutError:
            return False
        except OSError:
            return True

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        with suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class LoopbackServer:
    """Listens on a loopback port until `stop`; `down` and `up` stop and resume listening on the same port.

    The handler returns whether the connection stays open.
    """

    def __init__(self, handler: Handler, name: str) -> None:
        self.handler = handler
        self.name = name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port: int = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.lock = threading.Lock()
        self.peers: set[socket.socket] = set()
        self.threads: list[threading.Thread] = []
        self.acceptor: threading.Thread | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self.acceptor = threading.Thread(target=self._accept, args=(self.listener,), name=self.name)
        self.acceptor.start()

    def up(self) -> None:
        """Listen again on the same port."""
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=512)
        self.start()

    def down(self) -> None:
        """Stop listening and shut down every connection, as when a process crashes."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        if self.acceptor is not None:
            self.acceptor.join()
        with self.lock:
            peers = list(self.peers)
        for sock in peers:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Stop listening, shut down every connection and wait for the threads."""
        self.down()
        with self.lock:
            threads = list(self.threads)
        for thread in threads:
            thread.join()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            thread = threading.Thread(target=self._serve, args=(sock,), name=f"{self.name}-peer")
            with self.lock:
                self.peers.add(sock)
                self.threads = [old for old in self.threads if old.is_alive()] + [thread]
            thread.start()

    def _serve(self, sock: socket.socket) -> None:
        requests = MessageAssembler(Reader(True, CodecLimits(body_bytes=1_000_000)))
        peer = Peer(sock)
        try:
            while True:
                while (request := requests.next()) is None:
                    sock.settimeout(60.0)
                    data = sock.recv(16_384)
                    requests.reader.feed(data)
                    if not data:
                        return
                assert isinstance(request.head, RequestHead)
                if not self.handler(request.head, request.body, peer):
                    return
        except (OSError, ProtocolError):
            return
        finally:
            with self.lock:
                self.peers.discard(sock)
            sock.close()
