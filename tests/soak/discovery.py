"""Emulated discovery service; each node has addresses of its own, and gets a new one with SIGHUP."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from fennelcove.http1 import writer as http
from fennelcove.http1.messages import CodecLimits, RequestHead
from fennelcove.http1.reader import MessageAssembler, Reader

from tests.soak.loop import reset
from tests.soak.plan import DISCOVERY_DELAY_S, LATE, Plan
from tests.soak.recording import Recorder

POLL_S = 0.01
OLD_ADDRESS_LINGER_S = 1.5  # time for which a replaced address keeps its open connections
SLOW_CHUNK_BYTES, SLOW_PAUSE_S = 20_000, 0.05


class DiscoveryServer:
    """One address of the discovery service of one node."""

    def __init__(self, plan: Plan, node: int, sequence: int, record: Recorder) -> None:
        self.plan, self.node, self.sequence, self.record = plan, node, sequence, record
        self.address = discovery_address(plan, node, sequence)
        self.connections: set[socket.socket] = set()
        self.listener: socket.socket | None = None
        moves = [signal.at for signal in plan.signals if signal.node == node and signal.kind == "move"]
        self.opens_at = moves[sequence - 1] - 0.1 if sequence else -100.0
        self.closes_at = moves[sequence] if sequence < len(moves) else 1e9
        threading.Thread(target=self._supervise, daemon=True).start()

    @property
    def now(self) -> float:
        return time.time() - self.plan.start

    def fault(self) -> str:
        """Return the kind of the active fault, or ""."""
        return next((each.kind for each in self.plan.discovery if each.at <= self.now < each.until), "")

    def _supervise(self) -> None:
        """Listen while the address is in use and no fault has the service down."""
        while True:
            is_open = self.opens_at <= self.now < self.closes_at and self.fault() != "down"
            if is_open and self.listener is None:
                self._listen()
            elif not is_open and self.listener is not None:
                self._stop()
            time.sleep(POLL_S)

    def _listen(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.address)
        self.listener.listen(64)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def _stop(self) -> None:
        listener, self.listener = self.listener, None
        assert listener is not None
        with suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        if self.now >= self.closes_at:
            time.sleep(OLD_ADDRESS_LINGER_S)
        for sock in list(self.connections):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        requests = MessageAssembler(Reader(True, CodecLimits()))
        with suppress(OSError):
            while data := sock.recv(4096):
                requests.reader.feed(data)
                while (request := requests.next()) is not None:
                    assert isinstance(request.head, RequestHead)
                    self._answer(sock, request.head.target)
        self.connections.discard(sock)
        sock.close()

    def _answer(self, sock: socket.socket, target: str) -> None:
        fields = dict(part.split("=") for part in target.partition("?")[2].split("&"))
        watch, until = int(fields["watch"]), time.time() + int(fields["linger"]) / 1000
        self.record("polled", node=self.node, watch=watch, board=self.sequence)
        if self.fault() == "crowded":
            time.sleep(0.8)
        while time.time() < until and self.plan.start > 0:
            if self.plan.revision(self.now) > watch or self.now >= self.closes_at:
                break
            time.sleep(POLL_S)
        while self.fault() == "silent" or self.now >= self.closes_at:
            time.sleep(POLL_S)
            if self.now >= self.closes_at + OLD_ADDRESS_LINGER_S:
                raise OSError("address is no longer in use")
        if self.fault() == LATE:
            time.sleep(DISCOVERY_DELAY_S)
        now = self.now
        body = {"rev": self.plan.revision(now), "notices": self.plan.notices(self.node, now, after=watch)}
        self._send(sock, http.response(200, [], json.dumps(body).encode()))

    def _send(self, sock: socket.socket, data: bytes) -> None:
        fault = self.fault()
        if fault == "broken":
            sock.sendall(data[: len(data) * 2 // 3])
            reset(sock)
            raise OSError("reset by a fault")
        if fault != "slow":
            sock.sendall(data)
            return
        for at in range(0, len(data), SLOW_CHUNK_BYTES):
            sock.sendall(data[at : at + SLOW_CHUNK_BYTES])
            time.sleep(SLOW_PAUSE_S)


def discovery_address(plan: Plan, node: int, sequence: int) -> tuple[str, int]:
    return f"127.{plan.octet + node}.250.{10 + sequence}", plan.port


def main(folder: Path) -> None:
    plan = Plan.load(folder / "plan.json")
    record = Recorder(folder / "discovery.rec", "discovery")
    for node in range(plan.nodes):
        moves = sum(signal.node == node and signal.kind == "move" for signal in plan.signals)
        for sequence in range(moves + 1):
            DiscoveryServer(plan, node, sequence, record)
    time.sleep(0.1)
    (folder / "discovery.ready").touch()
    while time.time() < plan.start + plan.duration + 60:
        time.sleep(0.5)
        record.flush()


if __name__ == "__main__":
    main(Path(sys.argv[1]))
