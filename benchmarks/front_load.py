"""Compares a front under load on loopback with a plain blocking echo server that has as many threads.

    python benchmarks/front_load.py [--seconds 4] [--connections 50,200,1000]

Closed loop: each connection sets up a session, reads the response, releases the session and repeats. Paced:
set-ups on a schedule that does not wait for responses, each timed from when it was due. Prints a table, which
holds for the machine that it ran on.
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

CLIENT_PROCESS_COUNT, SERVER_COUNT = 3, 3
SETUP_BODY = b'{"room_type":"free","title":"t","client_timeout_ms":9000}'
SETUP_REQUEST = (
    b"POST /v1/subscriptions HTTP/1.1\r\nHost: front\r\nContent-Type: application/json\r\n"
    b"CMCD-Request: bl=4000,mtp=25400,su\r\nCMCD-Object: tb=9000\r\n"
    b'CMCD-Session: cid="t",sf=h,sid="6e2fb550-c457",v=1\r\nContent-Length: %d\r\n\r\n%b'
    % (len(SETUP_BODY), SETUP_BODY)
)
FRONT_SETTINGS = """(front (name "f") (listen "127.0.0.1:0") (lists (address "{lists}"))
  (room-types (item (name "free") (objective-ms 5000) (client-timeout-ms 9000)))
  (ladder (item (kb 10) (worth 0.5)) (item (kb 20) (worth 1)))
  (fleet (kinds (item (name "k") (streams 100000))) (cells 1) (racks 1) (kb-per-weight 10000000)
    (all-links-kb 30000000) (uplink-kb 30000000) (reports-every-ms 1000))
  (titles (item (name "t")))
  (limits (connections 4000) (waiting 4000) (box-connections 1500) (silent-ms 600000) (stop-ms 5000)))"""
SERVER_SETTINGS = '(box (name "b{}") (streams 100000) (link-kb 10000000) (uplink-kb 30000000))'


def cpu_time_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_kib(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


def run_echo_server(port_pipe: Any) -> None:
    """The baseline: one thread per connection, equal stack sizes, a constant response to each request."""
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
    port_pipe.send(listener.getsockname()[1])
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


class LoadConnection:
    """One connection of a load client."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.data = b""
        self.due_s = 0.0
        self.setting_up = False

    def next_response(self) -> tuple[int, bytes] | None:
        head, separator, remainder = self.data.partition(b"\r\n\r\n")
        if not separator:
            return None
        length = 0
        for line in head.split(b"\r\n")[1:]:
            if line.lower().startswith(b"content-length:"):
                length = int(line[15:])
        if len(remainder) < length:
            return None
        self.data = remainder[length:]
        return int(head[9:12]), head


def run_client(port: int, count: int, seconds: float, setups_per_s: float, pipe: Any) -> None:
    """One client process: a closed loop, or a schedule of set-ups per second."""
    connections = [LoadConnection(port) for _ in range(count)]
    selector = selectors.DefaultSelector()
    for connection in connections:
        selector.register(connection.sock, selectors.EVENT_READ, connection)
    latencies_us = HdrHistogram(1, 60_000_000, 3)
    statuses: dict[int, int] = {}
    lost_count = 0
    pipe.send("ready")
    pipe.recv()
    started_s = time.monotonic()
    idle_connections, sent_count = list(connections), 0
    while (now_s := time.monotonic()) < started_s + seconds:
        while idle_connections and (not setups_per_s or sent_count < (now_s - started_s) * setups_per_s):
            connection = idle_connections.pop()
            connection.due_s = started_s + sent_count / setups_per_s if setups_per_s else now_s
            connection.setting_up = True
            sent_count += 1
            connection.sock.send(SETUP_REQUEST)
        for key, _ in selector.select(0.001 if setups_per_s else 0.05):
            connection = key.data
            try:
                data = connection.sock.recv(65_536)
            except OSError:
                data = b""
            if not data:
                lost_count += 1
                selector.unregister(connection.sock)
                continue
            connection.data += data
            answer = connection.next_response()
            if answer is None:
                continue
            status, head = answer
            if connection.setting_up:
                latencies_us.record_value(max(1, round((time.monotonic() - connection.due_s) * 1e6)))
                statuses[status] = statuses.get(status, 0) + 1
                connection.setting_up = False
                location = head.partition(b"Location: ")[2].partition(b"\r\n")[0]
                if status == 201 and b"Connection: close" not in head:
                    connection.sock.send(b"DELETE %b HTTP/1.1\r\nHost: front\r\n\r\n" % location)
                    continue
            if b"Connection: close" in head:
                selector.unregister(connection.sock)  # the server would not read another request
            elif setups_per_s:
                idle_connections.append(connection)
            else:
                connection.due_s, connection.setting_up = time.monotonic(), True
                sent_count += 1
                connection.sock.send(SETUP_REQUEST)
    pipe.send(
        {
            "encoded": latencies_us.encode().decode(),
            "statuses": statuses,
            "seconds": time.monotonic() - started_s,
            "lost": lost_count,
            "open": sum(connection.setting_up for connection in connections),
        }
    )


def measure_load(
    port: int, pid: int, connections: int, seconds: float, setups_per_s: float = 0.0
) -> dict[str, Any]:
    """Run the load from several processes; return the totals, and the CPU time of the server."""
    pipes, processes = [], []
    for i in range(CLIENT_PROCESS_COUNT):
        parent_end, child_end = multiprocessing.Pipe()
        count = connections // CLIENT_PROCESS_COUNT + (i < connections % CLIENT_PROCESS_COUNT)
        process = multiprocessing.Process(
            target=run_client, args=(port, count, seconds, setups_per_s / CLIENT_PROCESS_COUNT, child_end)
        )
        process.start()
        pipes.append(parent_end)
        processes.append(process)
    for pipe in pipes:
        pipe.recv()
    time.sleep(0.3)
    idle_rss_kib = rss_kib(pid)
    cpu_before_s = cpu_time_s(pid)
    for pipe in pipes:
        pipe.send("go")
    results = [pipe.recv() for pipe in pipes]
    used_cpu_s = cpu_time_s(pid) - cpu_before_s
    for process in processes:
        process.join()
    latencies_us = HdrHistogram(1, 60_000_000, 3)
    statuses: dict[int, int] = {}
    for result in results:
        latencies_us.decode_and_add(result["encoded"])
        for status, count in result["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    response_count = sum(statuses.values())
    return {
        "per_s": response_count / max(result["seconds"] for result in results),
        "cpu_us": used_cpu_s / max(1, response_count) * 1e6,
        "p50": latencies_us.get_value_at_percentile(50) / 1000,
        "p99": latencies_us.get_value_at_percentile(99) / 1000,
        "statuses": statuses,
        "rss_kib": idle_rss_kib,
        "lost": sum(result["lost"] for result in results),
    }


class System:
    """A front and its servers in a process each, and a list service in this process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        clock = SystemClock()
        self.lists = EmulatedListService(clock, Recorder(clock, retain=False))
        addresses = []
        for i in range(SERVER_COUNT):
            config = folder / f"box-{i}.sexp"
            config.write_text(SERVER_SETTINGS.format(i))
            process = subprocess.Popen(
                [sys.executable, "-m", "fennelcove", "box", str(config)], stdout=subprocess.PIPE
            )
            self.processes.append(process)
            assert process.stdout is not None
            addresses.append(process.stdout.readline().decode().strip())
        self.lists.publish(*[ListedServer(address, "zone", "k", 0, 1.0) for address in addresses])
        self.lists.start()
        config = folder / "front.sexp"
        config.write_text(FRONT_SETTINGS.format(lists=self.lists.address))
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
    parent_end, child_end = multiprocessing.Pipe()
    baseline = multiprocessing.Process(target=run_echo_server, args=(child_end,), daemon=True)
    baseline.start()
    echo_port = parent_end.recv()
    assert baseline.pid is not None
    print(
        f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, "
        f"{CLIENT_PROCESS_COUNT} client processes, {SERVER_COUNT} servers"
    )
    with tempfile.TemporaryDirectory() as folder:
        system = System(Path(folder))
        idle_rss = {"front": rss_kib(system.front.pid), "echo": rss_kib(baseline.pid)}
        servers = {"front": (system.port, system.front.pid), "echo": (echo_port, baseline.pid)}
        for connections in map(int, options.connections.split(",")):
            for name, (port, pid) in servers.items():
                paced = measure_load(port, pid, connections, options.seconds, 200.0)
                closed_loop = measure_load(port, pid, connections, options.seconds)
                rss_per_connection_kib = (closed_loop["rss_kib"] - idle_rss[name]) / connections
                rates = f"{closed_loop['per_s']:7.0f} set-ups/s, {closed_loop['cpu_us']:6.0f} us CPU each"
                delays = f"at 200/s p50 {paced['p50']:.2f} ms p99 {paced['p99']:.2f} ms"
                responses = (
                    f"responses {closed_loop['statuses']} {paced['statuses']}, lost {closed_loop['lost']}"
                )
                print(
                    f"{name:5} {connections:5}: {rates}; {delays}; "
                    f"{rss_per_connection_kib:.1f} KiB each; {responses}",
                    flush=True,
                )
        shutdown_timer = threading.Timer(1.5, lambda: system.front.send_signal(signal.SIGTERM))
        shutdown_timer.start()
        shutdown_result = _run_load_during_shutdown(system)
        system.front.wait(30)
        last_event = json.loads(system.log.read_bytes().splitlines()[-1])
        print(
            f"SIGTERM under 200 connections: ended in {last_event['took_ms']:.0f} ms; "
            f"responses {shutdown_result['statuses']}, "
            f"closed without a response {shutdown_result['open']}"
        )
        system.stop()


def _run_load_during_shutdown(system: System) -> dict[str, Any]:
    parent_end, child_end = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_client, args=(system.port, 200, 6.0, 0.0, child_end))
    process.start()
    parent_end.recv()
    parent_end.send("go")
    result: dict[str, Any] = parent_end.recv()
    process.join()
    return result


if __name__ == "__main__":
    main()
