"""Loads a front on loopback beside a bare blocking echo server with the same threads, in one run.

    python benchmarks/front_load.py [--seconds 4] [--connections 50,200,1000]

Closed loop: each connection sets up, reads the answer, releases, and begins again. Paced: set-ups on a
schedule that does not wait for answers, each timed from when it was due. Prints a table; figures are of the
machine it ran on.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from fennelcove.clock import SystemClock
from fennelcove.emulators.endpoint_list_service import EmulatedListService, ListedServer
from fennelcove.emulators.recorder import Recorder
from hdrh.histogram import HdrHistogram

CLIENTS, BOXES = 3, 3
BODY = b'{"room_type":"free","title":"t","client_timeout_ms":9000}'
ASK = (
    b"POST /v1/subscriptions HTTP/1.1\r\nHost: front\r\nContent-Type: application/json\r\n"
    b"CMCD-Request: bl=4000,mtp=25400,su\r\nCMCD-Object: tb=9000\r\n"
    b'CMCD-Session: cid="t",sf=h,sid="6e2fb550-c457",v=1\r\nContent-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
)
FRONT = """(front (name "f") (listen "127.0.0.1:0") (lists (address "{lists}"))
  (room-types (item (name "free") (objective-ms 5000) (client-timeout-ms 9000)))
  (ladder (item (kb 10) (worth 0.5)) (item (kb 20) (worth 1)))
  (fleet (kinds (item (name "k") (streams 100000))) (cells 1) (racks 1) (kb-per-weight 10000000)
    (all-links-kb 30000000) (uplink-kb 30000000) (reports-every-ms 1000))
  (titles (item (name "t")))
  (limits (connections 4000) (waiting 4000) (box-connections 1500) (silent-ms 600000) (stop-ms 5000)))"""
BOX = '(box (name "b{}") (streams 100000) (link-kb 10000000) (uplink-kb 30000000))'


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_kib(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


def echo(port_out: Any) -> None:
    """The baseline: one thread a connection, same stacks, a constant answer to each whole request."""
    threading.stack_size(256 * 1024)
    answer = (
        b"HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nLocation: /v1/subscriptions/0\r\n"
        + (b"X: " + b"x" * 180 + b"\r\nContent-Length: 190\r\n\r\n" + b"y" * 190)
    )

    def serve(sock: socket.socket) -> None:
        with sock, suppress(OSError):
            while data := sock.recv(16_384):
                while b"\r\n\r\n" not in data or (data.startswith(b"POST") and not data.endswith(b"}")):
                    data += sock.recv(16_384)
                sock.sendall(answer if data.startswith(b"POST") else b"HTTP/1.1 204 No Content\r\n\r\n")

    listener = socket.create_server(("127.0.0.1", 0), backlog=2048)
    port_out.send(listener.getsockname()[1])
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


class Link:
    """One connection of the load."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.data = b""
        self.due = 0.0
        self.setting_up = False

    def whole(self) -> tuple[int, bytes] | None:
        head, mark, rest = self.data.partition(b"\r\n\r\n")
        if not mark:
            return None
        length = 0
        for line in head.split(b"\r\n")[1:]:
            if line.lower().startswith(b"content-length:"):
                length = int(line[15:])
        if len(rest) < length:
            return None
        self.data = rest[length:]
        return int(head[9:12]), head


def load(port: int, count: int, seconds: float, pace: float, out: Any) -> None:
    """One client process: closed loop, or with a pace in set-ups a second on a schedule."""
    links = [Link(port) for _ in range(count)]
    chosen = selectors.DefaultSelector()
    for link in links:
        chosen.register(link.sock, selectors.EVENT_READ, link)
    times = HdrHistogram(1, 60_000_000, 3)
    statuses: dict[int, int] = {}
    lost = 0
    out.send("ready")
    out.recv()
    began = time.monotonic()
    idle, sent = list(links), 0
    while (now := time.monotonic()) < began + seconds:
        while idle and (not pace or sent < (now - began) * pace):
            link = idle.pop()
            link.due = began + sent / pace if pace else now
            link.setting_up = True
            sent += 1
            link.sock.send(ASK)
        for key, _ in chosen.select(0.001 if pace else 0.05):
            link = key.data
            try:
                data = link.sock.recv(65_536)
            except OSError:
                data = b""
            if not data:
                lost += 1
                chosen.unregister(link.sock)
                continue
            link.data += data
            answer = link.whole()
            if answer is None:
                continue
            status, head = answer
            if link.setting_up:
                times.record_value(max(1, round((time.monotonic() - link.due) * 1e6)))
                statuses[status] = statuses.get(status, 0) + 1
                link.setting_up = False
                where = head.partition(b"Location: ")[2].partition(b"\r\n")[0]
                if status == 201 and b"Connection: close" not in head:
                    link.sock.send(b"DELETE %b HTTP/1.1\r\nHost: front\r\n\r\n" % where)
                    continue
            if b"Connection: close" in head:
                chosen.unregister(link.sock)  # what is sent on it now would be nobody's
            elif pace:
                idle.append(link)
            else:
                link.due, link.setting_up = time.monotonic(), True
                sent += 1
                link.sock.send(ASK)
    out.send(
        {
            "encoded": times.encode().decode(),
            "statuses": statuses,
            "seconds": time.monotonic() - began,
            "lost": lost,
            "open": sum(link.setting_up for link in links),
        }
    )


def run(port: int, pid: int, connections: int, seconds: float, pace: float = 0.0) -> dict[str, Any]:
    """One load from several processes; totals, with the server's CPU."""
    pipes, processes = [], []
    for i in range(CLIENTS):
        here, there = multiprocessing.Pipe()
        count = connections // CLIENTS + (i < connections % CLIENTS)
        process = multiprocessing.Process(target=load, args=(port, count, seconds, pace / CLIENTS, there))
        process.start()
        pipes.append(here)
        processes.append(process)
    for pipe in pipes:
        pipe.recv()
    time.sleep(0.3)
    memory = rss_kib(pid)
    before = cpu_s(pid)
    for pipe in pipes:
        pipe.send("go")
    results = [pipe.recv() for pipe in pipes]
    used = cpu_s(pid) - before
    for process in processes:
        process.join()
    times = HdrHistogram(1, 60_000_000, 3)
    statuses: dict[int, int] = {}
    for result in results:
        times.decode_and_add(result["encoded"])
        for status, count in result["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    done = sum(statuses.values())
    return {
        "per_s": done / max(result["seconds"] for result in results),
        "cpu_us": used / max(1, done) * 1e6,
        "p50": times.get_value_at_percentile(50) / 1000,
        "p99": times.get_value_at_percentile(99) / 1000,
        "statuses": statuses,
        "rss_kib": memory,
        "lost": sum(result["lost"] for result in results),
    }


class Rig:
    """A front, its boxes and its list, each in a process of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        clock = SystemClock()
        self.lists = EmulatedListService(clock, Recorder(clock, retain=False))
        addresses = []
        for i in range(BOXES):
            config = folder / f"box-{i}.sexp"
            config.write_text(BOX.format(i))
            process = subprocess.Popen(
                [sys.executable, "-m", "fennelcove", "box", str(config)], stdout=subprocess.PIPE
            )
            self.processes.append(process)
            assert process.stdout is not None
            addresses.append(process.stdout.readline().decode().strip())
        self.lists.publish(*[ListedServer(address, "zone", "k", 0, 1.0) for address in addresses])
        self.lists.start()
        config = folder / "front.sexp"
        config.write_text(FRONT.format(lists=self.lists.address))
        self.log = folder / "front.log"
        self.front = subprocess.Popen(
            [sys.executable, "-m", "fennelcove", "front", str(config)], stderr=self.log.open("wb")
        )
        self.processes.append(self.front)
        self.port = 0
        for _ in range(500):
            time.sleep(0.02)
            for line in self.log.read_bytes().splitlines():
                if b"front_started" in line:
                    self.port = int(json.loads(line)["address"].rpartition(":")[2])
            if self.port:
                return
        raise SystemExit(f"the front did not start: {self.log.read_text()}")

    def stop(self) -> None:
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.wait(30)
        self.lists.stop()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--connections", default="50,200,1000")
    options = parser.parse_args()
    here, there = multiprocessing.Pipe()
    baseline = multiprocessing.Process(target=echo, args=(there,), daemon=True)
    baseline.start()
    echo_port = here.recv()
    assert baseline.pid is not None
    print(
        f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, {CLIENTS} client processes, {BOXES} boxes"
    )
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder))
        idle = {"front": rss_kib(rig.front.pid), "echo": rss_kib(baseline.pid)}
        servers = {"front": (rig.port, rig.front.pid), "echo": (echo_port, baseline.pid)}
        for connections in map(int, options.connections.split(",")):
            for name, (port, pid) in servers.items():
                paced = run(port, pid, connections, options.seconds, 200.0)
                full = run(port, pid, connections, options.seconds)
                each = (full["rss_kib"] - idle[name]) / connections
                rates = f"{full['per_s']:7.0f} set-ups/s, {full['cpu_us']:6.0f} us CPU each"
                delays = f"at 200/s p50 {paced['p50']:.2f} ms p99 {paced['p99']:.2f} ms"
                answers = f"answers {full['statuses']} {paced['statuses']}, lost {full['lost']}"
                print(
                    f"{name:5} {connections:5}: {rates}; {delays}; {each:.1f} KiB each; {answers}", flush=True
                )
        stopper = threading.Timer(1.5, lambda: rig.front.send_signal(signal.SIGTERM))
        stopper.start()
        ended = _stop_under_load(rig)
        rig.front.wait(30)
        last = json.loads(rig.log.read_bytes().splitlines()[-1])
        print(
            f"SIGTERM under 200 connections: ended in {last['took_ms']:.0f} ms; answers {ended['statuses']}, "
            f"closed unanswered {ended['open']}"
        )
        rig.stop()


def _stop_under_load(rig: Rig) -> dict[str, Any]:
    here, there = multiprocessing.Pipe()
    process = multiprocessing.Process(target=load, args=(rig.port, 200, 6.0, 0.0, there))
    process.start()
    here.recv()
    here.send("go")
    result: dict[str, Any] = here.recv()
    process.join()
    return result


if __name__ == "__main__":
    main()
