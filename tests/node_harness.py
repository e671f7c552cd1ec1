"""A front node as a process on loopback, with fake servers, a fake discovery service and RTSP clients."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from fennelcove.http1 import writer as http
from fennelcove.http1.messages import CodecLimits, RequestHead
from fennelcove.http1.reader import MessageAssembler
from fennelcove.http1.reader import Reader as HttpReader
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.isup.reader import Reader as ServerReader
from fennelcove.rtsp import messages as rtsp
from fennelcove.rtsp import writer as rtsp_writer
from fennelcove.rtsp.reader import Reader as ClientReader

WAIT_TIMEOUT_S = 20.0
SETTINGS: dict[str, Any] = {
    "Balancers": 1,
    "Index": 0,
    "Zone": "here",
    "Kinds": ["kind"],
    "Lanes": [{"Name": "recorded", "AimMs": 4000, "HardLimitMs": 8000, "Effect": "free"}],
    "FamilyInfo": {
        "LevelKb": [100, 200, 400],
        "WorthByRung": [0.3, 0.6, 1.0],
        "KindStreams": [50],
        "KbPerWeight": 50_000,
        "AllLinksKb": 150_000,
        "Places": 4,
        "ReportsEveryMs": 1000,
        "SeenAfterMs": 100,
    },
    "LoadReport": {"Fields": ["util"], "Source": "answers"},
    "Rules": {"RampTimeMs": 1000, "StartCapacity": 0.5},
    "Allowed": {"ConnectTimeoutMs": 2000, "ConnIdleMs": 60_000, "RetryAfter": True, "MaxRetryAfterMs": 500},
}


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Wait until a condition holds and return its value; the timeout only bounds a failure."""
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if result := condition():
            return result
        time.sleep(0.01)
    raise AssertionError(f"timed out waiting for {description}")


def encode_answer(message: ServerMessage) -> bytes:
    """Encode the answer of a server that accepts a set-up."""
    return isup.message(MessageKind.ANSWER, message.session, (Parameter.DESCRIPTION, b"from the server"))


def encode_release(message: ServerMessage, cause: Cause) -> bytes:
    """Encode a release of the session that a message concerns."""
    return isup.release(message.session, cause)


def reserve_port() -> tuple[socket.socket, tuple[str, int]]:
    """Reserve a port: it is not assigned to others while the socket is open, but a node can listen on it."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation, ("127.0.0.1", reservation.getsockname()[1])


class FakeServer:
    """Answers each set-up with what `reply` returns; None closes the connection, empty bytes send nothing."""

    def __init__(
        self,
        name: str,
        cell: int,
        reply: Callable[[ServerMessage], bytes | None] = encode_answer,
        address: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.name, self.cell, self.reply = name, cell, reply
        self.received: list[ServerMessage] = []
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def host_entry(self) -> dict[str, Any]:
        """The entry of this server in a discovery notice."""
        port = self.listener.getsockname()[1]
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{port}",
            "site": "here",
            "class": "kind",
            "block": self.cell,
            "health": "up",
            "share": 1,
            "born_ms": 0,
        }

    def messages(self, kind: MessageKind) -> list[ServerMessage]:
        """The messages of one kind that were received so far."""
        return [message for message in list(self.received) if message.kind is kind]

    def send(self, data: bytes) -> None:
        """Send on the connection that was accepted last."""
        self.sockets[-1].sendall(data)

    def terminate(self) -> None:
        """Act like a process that ends: its connections are closed, and new ones refused."""
        for sock in [self.listener, *self.sockets]:
            sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = ServerReader()
        try:
            while data := sock.recv(4096):
                reader.feed(data)
                while (message := reader.next()) is not None:
                    self.received.append(message)
                    response: bytes | None = b""
                    if message.kind is MessageKind.SET_UP:
                        response = self.reply(message)
                    elif message.kind is MessageKind.KEEPALIVE:
                        response = isup.message(
                            MessageKind.KEEPALIVE_ANSWER, message.session, (Parameter.CAUSE, b"\1")
                        )
                    if response is None:
                        sock.close()
                        return
                    sock.sendall(response)
        except OSError:
            pass
        sock.close()


class FakeDiscovery:
    """Responds to each poll after 20 ms with the notices that follow the requested revision, if any."""

    def __init__(self, notices: list[dict[str, Any]]) -> None:
        self.notices = notices
        self.poll_count = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        requests = MessageAssembler(HttpReader(True, CodecLimits()))
        with suppress(OSError):  # the node process has ended
            while data := sock.recv(4096):
                requests.reader.feed(data)
                while (request := requests.next()) is not None:
                    assert isinstance(request.head, RequestHead)
                    self.poll_count += 1
                    revision = int(request.head.target.partition("watch=")[2].partition("&")[0])
                    time.sleep(0.02)
                    body = {
                        "rev": len(self.notices),
                        "notices": [n for n in self.notices if n["rev"] > revision],
                    }
                    sock.sendall(http.response(200, [], json.dumps(body).encode()))


def notice(rev: int, servers: list[dict[str, Any]], complete: bool = False) -> dict[str, Any]:
    """A discovery notice that lists servers; a complete one removes all servers that it does not list."""
    return {"rev": rev, "pool": {"seq": rev, "whole": complete, "hosts": servers}}


class Client:
    """The client's end of a connection to a node."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, WAIT_TIMEOUT_S)
        self.reader = ClientReader()

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.sock.sendall(data)

    def set_up(
        self, id: str, title: str = "7f3a", routing: str = "home:0;copies:4;top:2", **fields: str
    ) -> None:
        """Send a set-up request; a field name has underscores in place of hyphens."""
        values = {"Call-Kind": "recorded", "Answer-Within": "8000", **fields}
        lines = (("CSeq", "1"), ("Session", id), ("Routing-Data", routing))
        optional = tuple((name.replace("_", "-"), value) for name, value in values.items())
        self.send(
            rtsp_writer.request("SETUP", f"rtsp://media/{title}", *lines, *optional, body=b"what is wanted")
        )

    def tear_down(self, id: str) -> None:
        """Send a request that ends a session."""
        self.send(rtsp_writer.request("TEARDOWN", "rtsp://media/x", ("CSeq", "2"), ("Session", id)))

    def receive(self) -> rtsp.Message | None:
        """Receive the next message; None if the node has closed the connection."""
        while (message := self.reader.next()) is None:
            try:
                data = self.sock.recv(4096)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.reader.feed(data)
        return message

    def receive_response(self) -> rtsp.Response:
        """Receive the next message, which must be a response."""
        message = self.receive()
        assert isinstance(message, rtsp.Response), message
        return message

    def receive_request(self) -> rtsp.Request:
        """Receive the next message, which must be a request."""
        message = self.receive()
        assert isinstance(message, rtsp.Request), message
        return message


class NodeProcess:
    """One front node as a process, with a fake discovery service that lists the given servers."""

    def __init__(
        self,
        *servers: FakeServer,
        sockets: int = 256,
        command: list[str] | None = None,
        cwd: str | None = None,
    ) -> None:
        self.discovery = FakeDiscovery([notice(1, [server.host_entry for server in servers], complete=True)])
        self.reservation, self.address = reserve_port()
        self.directory = tempfile.TemporaryDirectory()
        self.config_path = Path(self.directory.name) / "config.json"
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets},
            "board": self.discovery.address,
            "known": {"rev": 1, "notices": list(self.discovery.notices)},
            "settings": SETTINGS,
        }
        self.write_config()
        environment = {**os.environ, "EDGE_CONFIG": str(self.config_path)}
        self.process = subprocess.Popen(
            command or [sys.executable, "-m", "fennelcove.node"],
            env=environment,
            cwd=cwd,
            stdout=subprocess.DEVNULL,
        )
        wait_until(self.is_healthy, "a successful health check")

    def write_config(self) -> None:
        """Replace the configuration file atomically."""
        replacement = self.config_path.with_suffix(".new")
        replacement.write_text(json.dumps(self.config))
        replacement.replace(self.config_path)

    def connect_client(self) -> Client:
        """Open a client's connection to the node."""
        return Client(self.address)

    def health_status(self) -> int:
        """The status of a health check on a new connection."""
        client = self.connect_client()
        client.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        with client.sock:
            return client.receive_response().status

    def is_healthy(self) -> bool:
        """Whether the node listens and passes the health check."""
        try:
            return self.health_status() == 200
        except OSError:
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def close(self) -> None:
        """Kill the process and remove its files."""
        self.process.kill()
        self.process.wait()
        self.directory.cleanup()
        self.reservation.close()
