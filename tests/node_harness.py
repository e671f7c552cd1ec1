"""Stand-ins on loopback round one front node: servers, a notice board and viewers."""

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
from fennelcove.http1.reader import Gatherer
from fennelcove.http1.reader import Reader as HttpReader
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.isup.reader import Reader as ServerReader
from fennelcove.rtsp import messages as rtsp
from fennelcove.rtsp import writer as rtsp_writer
from fennelcove.rtsp.reader import Reader as ViewerReader

WAIT_S = 20.0
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


def eventually(check: Callable[[], Any], what: str) -> Any:
    """Wait for a condition; the limit only bounds a failure."""
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        if found := check():
            return found
        time.sleep(0.01)
    raise AssertionError(f"never came: {what}")


def answered(message: ServerMessage) -> bytes:
    """What a server says that takes a set-up."""
    return isup.message(MessageKind.ANSWER, message.session, (Parameter.DESCRIPTION, b"from the server"))


def released(message: ServerMessage, cause: Cause) -> bytes:
    return isup.release(message.session, cause)


def reserved() -> tuple[socket.socket, tuple[str, int]]:
    """A port that is given to nobody else while the socket is open; a node can listen there all the same."""
    place = socket.socket()
    place.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    place.bind(("127.0.0.1", 0))
    return place, ("127.0.0.1", place.getsockname()[1])


class StandInServer:
    """Answers each set-up by `reply`; None closes the connection, and empty bytes say nothing."""

    def __init__(
        self,
        name: str,
        cell: int,
        reply: Callable[[ServerMessage], bytes | None] = answered,
        address: tuple[str, int] = ("127.0.0.1", 0),
    ) -> None:
        self.name, self.cell, self.reply = name, cell, reply
        self.heard: list[ServerMessage] = []
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def row(self) -> dict[str, Any]:
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

    def of(self, kind: MessageKind) -> list[ServerMessage]:
        return [message for message in list(self.heard) if message.kind is kind]

    def say(self, data: bytes) -> None:
        self.sockets[-1].sendall(data)

    def die(self) -> None:
        """As a process that ends: its connections are reset, and new ones refused."""
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
                    self.heard.append(message)
                    said: bytes | None = b""
                    if message.kind is MessageKind.SET_UP:
                        said = self.reply(message)
                    elif message.kind is MessageKind.KEEPALIVE:
                        said = isup.message(
                            MessageKind.KEEPALIVE_ANSWER, message.session, (Parameter.CAUSE, b"\1")
                        )
                    if said is None:
                        sock.close()
                        return
                    sock.sendall(said)
        except OSError:
            pass
        sock.close()


class StandInBoard:
    """Tells the notices after the one that is asked for; an empty answer comes soon."""

    def __init__(self, notices: list[dict[str, Any]]) -> None:
        self.notices = notices
        self.polls = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        requests = Gatherer(HttpReader(True, CodecLimits()))
        with suppress(OSError):  # the node was ended
            while data := sock.recv(4096):
                requests.reader.feed(data)
                while (whole := requests.next()) is not None:
                    assert isinstance(whole.head, RequestHead)
                    self.polls += 1
                    after = int(whole.head.target.partition("watch=")[2].partition("&")[0])
                    time.sleep(0.02)
                    body = {
                        "rev": len(self.notices),
                        "notices": [n for n in self.notices if n["rev"] > after],
                    }
                    sock.sendall(http.response(200, [], json.dumps(body).encode()))


def notice(rev: int, servers: list[dict[str, Any]], whole: bool = False) -> dict[str, Any]:
    return {"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": servers}}


class Caller:
    """A viewer's connection, by hand."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, WAIT_S)
        self.reader = ViewerReader()

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def set_up(
        self, id: str, title: str = "7f3a", routing: str = "home:0;copies:4;top:2", **fields: str
    ) -> None:
        told = {"Call-Kind": "recorded", "Answer-Within": "8000", **fields}
        lines = (("CSeq", "1"), ("Session", id), ("Routing-Data", routing))
        named = tuple((name.replace("_", "-"), value) for name, value in told.items())
        self.send(
            rtsp_writer.request("SETUP", f"rtsp://media/{title}", *lines, *named, body=b"what is wanted")
        )

    def tear_down(self, id: str) -> None:
        self.send(rtsp_writer.request("TEARDOWN", "rtsp://media/x", ("CSeq", "2"), ("Session", id)))

    def next(self) -> rtsp.Message | None:
        """The next message; None where the node has closed."""
        while (message := self.reader.next()) is None:
            try:
                data = self.sock.recv(4096)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.reader.feed(data)
        return message

    def answer(self) -> rtsp.Response:
        message = self.next()
        assert isinstance(message, rtsp.Response), message
        return message

    def request(self) -> rtsp.Request:
        message = self.next()
        assert isinstance(message, rtsp.Request), message
        return message


class NodeRig:
    """One front node as a process, with what it talks to."""

    def __init__(
        self,
        *servers: StandInServer,
        sockets: int = 256,
        command: list[str] | None = None,
        cwd: str | None = None,
    ) -> None:
        self.board = StandInBoard([notice(1, [server.row for server in servers], whole=True)])
        self.place, self.address = reserved()
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": sockets},
            "board": self.board.address,
            "known": {"rev": 1, "notices": list(self.board.notices)},
            "settings": SETTINGS,
        }
        self.write()
        environment = {**os.environ, "EDGE_CONFIG": str(self.path)}
        self.process = subprocess.Popen(
            command or [sys.executable, "-m", "fennelcove.node"],
            env=environment,
            cwd=cwd,
            stdout=subprocess.DEVNULL,
        )
        eventually(self.ready, "a test that passes")

    def write(self) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.path)

    def caller(self) -> Caller:
        return Caller(self.address)

    def test(self) -> int:
        caller = self.caller()
        caller.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        with caller.sock:
            return caller.answer().status

    def ready(self) -> bool:
        try:
            return self.test() == 200
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()
        self.place.close()
