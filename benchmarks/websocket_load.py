"""Measures the WebSocket server under many connections, beside HTTP.

    python -m benchmarks.websocket_load [--idle 5000] [--resume 1000] [--seconds 3]

Runs one front in a separate process. Prints its memory and threads per idle connection, the time to send one
event to all connections, the set-ups per second over HTTP and over WebSocket in the same run, the cost of
masking, deflate and TLS, and the time to resume all sessions after a restart.
"""

from __future__ import annotations

import argparse
import os
import random
import ssl
import sys
import tempfile
import threading
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.clock import SystemClock
from fennelcove.daemon import certificates
from fennelcove.daemon.key_file import rotate
from fennelcove.emulators.clients import HttpClient, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.scenarios.fronts import FrontProcess
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import Scenario, read
from fennelcove.settings.schema import TlsSettings
from fennelcove.websocket.deflate import Inflater, deflate
from fennelcove.websocket.frames import apply_mask

JSON = ("Content-Type", "application/json")
CONNECTIONS_PER_THREAD = 30


def load_script(tls: TlsSettings | None) -> Scenario:
    """Return the script of a test system with capacity for all connections and sessions."""
    script = read("drain")
    kinds = [msgspec.structs.replace(kind, streams=5000) for kind in script.front.fleet.kinds]
    front = msgspec.structs.replace(
        script.front,
        tls=tls,
        rules=msgspec.structs.replace(
            script.front.rules, budget_free=None, budget_span_ms=0.0, ramp_ms=0.0, start_capacity=1.0
        ),
        fleet=msgspec.structs.replace(script.front.fleet, all_links_kb=9e6, uplink_kb=3e6, kinds=kinds),
        limits=msgspec.structs.replace(
            script.front.limits, connections=9000, waiting=2000, silent_ms=60_000.0, buffered_bytes=1_000_000
        ),
    )
    servers = [msgspec.structs.replace(spec, link_kb=1e6) for spec in script.boxes]
    rig = msgspec.structs.replace(script.rig, uplink_kb=3e6)
    return msgspec.structs.replace(script, front=front, boxes=servers, rig=rig, troubles=[])


def process_status(process: FrontProcess) -> dict[str, int]:
    """Read the resident memory, in KiB, and the thread count of the front."""
    assert process.process is not None
    values = {}
    for line in Path(f"/proc/{process.process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "Threads"):
            values[name] = int(value.split()[0])
    return values


def open_connections(
    process: FrontProcess, count: int, clock: SystemClock, threads: int = 8
) -> list[WebSocketClient]:
    """Open connections from several threads."""
    players: list[WebSocketClient] = []
    lock = threading.Lock()

    def worker(number: int) -> None:
        rng = random.Random(number)
        for _ in range(count // threads):
            try:
                player = WebSocketClient(process.address, clock, rng, timeout_s=30.0)
            except Unanswered as error:
                print(f"  stopped after {len(players)} connections: {error.how}")
                return
            with lock:
                players.append(player)

    workers = [threading.Thread(target=worker, args=(i,)) for i in range(threads)]
    for thread in workers:
        thread.start()
    for thread in workers:
        thread.join()
    return players


def measure_idle(process: FrontProcess, count: int, clock: SystemClock) -> None:
    """Measure the memory of idle connections, and the time to send one event to all of them."""
    before = process_status(process)
    started_s = time.perf_counter()
    players = open_connections(process, count, clock)
    elapsed_s = time.perf_counter() - started_s
    after = process_status(process)
    kib_per_connection = (after["VmRSS"] - before["VmRSS"]) / max(1, len(players))
    print(
        f"{len(players)} idle connections in {elapsed_s:.1f} s: {kib_per_connection:.1f} KiB each, "
        f"threads {before['Threads']} -> {after['Threads']}",
        flush=True,
    )
    for player in players:
        player.next_of_type("welcome", 10.0)
    started_s = time.perf_counter()
    assert process.process is not None
    process.process.terminate()
    times_s = []
    for player in players:
        try:
            message = player.next(30.0)
            while message is not None and message["type"] != "leaving":
                message = player.next(30.0)
            times_s.append(time.perf_counter() - started_s)
        except Unanswered:
            pass
    print(
        f"one event (leaving) was read on {len(times_s)} of them, the last after {max(times_s):.2f} s",
        flush=True,
    )
    for player in players:
        player.hang_up()
    process.process.wait(60)


def measure_load(
    process: FrontProcess, clock: SystemClock, seconds: float, tls: ssl.SSLContext | None
) -> None:
    """Measure set-ups, each followed by a release, over HTTP and over WebSocket from eight client threads."""
    set_up = {"room_type": "recorded", "title": "knee-1", "client_timeout_ms": 5000}
    for name in ("http", "websocket", "websocket deflated"):
        if tls is not None and name != "websocket":
            continue
        counts: list[int] = []
        ready = threading.Barrier(8)

        def generate_load(
            number: int, name: str = name, counts: list[int] = counts, ready: threading.Barrier = ready
        ) -> None:
            count = 0
            player: HttpClient | None = None
            sockets: list[WebSocketClient] = []
            if name == "http":
                player = HttpClient(process.address, clock)
            else:
                # Used in turn, because a connection may send only 20 messages per second.
                sockets = [
                    WebSocketClient(
                        process.address,
                        clock,
                        random.Random(number),
                        context=tls,
                        deflates="deflated" in name,
                    )
                    for _ in range(CONNECTIONS_PER_THREAD)
                ]
            ready.wait()
            end_s = time.perf_counter() + seconds
            while time.perf_counter() < end_s:
                if player is not None:
                    response = player.ask(
                        "POST", "/v1/subscriptions", [JSON], msgspec.json.encode(set_up), 5.0
                    )
                    if response.status == 201:
                        player.ask("DELETE", f"/v1/subscriptions/{response.body['id']}", [], b"", 5.0)
                        count += 1
                else:
                    socket = sockets[count % CONNECTIONS_PER_THREAD]
                    message: dict[str, Any] = socket.ask("set-up", ask=set_up)
                    if message["type"] == "playing":
                        socket.ask("release", subscription=message["state"]["id"])
                        count += 1
                    else:
                        time.sleep(0.001)
            counts.append(count)

        threads = [threading.Thread(target=generate_load, args=(i,)) for i in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        suffix = " over TLS" if tls is not None else ""
        print(f"{name}{suffix}: {sum(counts) / seconds:.0f} set-ups with release per second", flush=True)


def measure_resumption(process: FrontProcess, clock: SystemClock, count: int, recorder: Recorder) -> None:
    """Measure how long all players take to resume after their front is killed and restarted."""
    players = open_connections(process, count, clock)
    ids = []
    set_up = {"room_type": "recorded", "title": "knee-1", "client_timeout_ms": 5000, "top_rung": 0}
    for player in players:
        message = player.ask("set-up", 10.0, ask=set_up)
        if message["type"] == "playing":
            ids.append(message["state"]["id"])
    before = sum(1 for record in recorder.records if record["what"] == "set_up")
    process.kill()
    started_s = time.perf_counter()
    process.start()
    start_duration_s = time.perf_counter() - started_s
    remaining, times_s = list(ids), []
    lock = threading.Lock()

    def worker(number: int) -> None:
        rng = random.Random(number)
        while True:
            with lock:
                if not remaining:
                    return
                id = remaining.pop()
            while True:
                try:
                    player = WebSocketClient(process.address, clock, rng)
                    message = player.ask("resume", 5.0, subscription=id)
                    player.close()
                except Unanswered:
                    message = {"type": "none"}
                if message["type"] == "resumed":
                    times_s.append(time.perf_counter() - started_s)
                    break
                if time.perf_counter() - started_s > 30:
                    return
                time.sleep(0.02)

    threads = [threading.Thread(target=worker, args=(i,)) for i in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    repeated = sum(1 for record in recorder.records if record["what"] == "set_up") - before
    print(
        f"restart: {len(times_s)} of {len(ids)} resumed, front started after {start_duration_s:.2f} s, "
        f"the last resumed after {max(times_s, default=0):.2f} s, set up a second time: {repeated}",
        flush=True,
    )
    for player in players:
        player.hang_up()


def measure_codec() -> None:
    """Measure masking and deflate of one message without sockets."""
    message = {"type": "rung", "subscription": "1-" + "a" * 24, "number": 7, "rung": 2, "x": "y" * 200}
    text = msgspec.json.encode(message)
    compressed = deflate(text)
    for name, function in (
        ("masking", lambda: apply_mask(text, b"abcd")),
        ("deflating", lambda: deflate(text)),
        ("inflating", lambda: Inflater(65_536).add(compressed)),
    ):
        started_s = time.perf_counter()
        for _ in range(20_000):
            function()
        print(
            f"{name} {len(text)} bytes: {(time.perf_counter() - started_s) / 20_000 * 1e6:.1f} us", flush=True
        )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--idle", type=int, default=5000)
    parser.add_argument("--resume", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}")
    measure_codec()
    clock = SystemClock()
    with tempfile.TemporaryDirectory() as folder:
        certificates.make(folder, ("localhost", "127.0.0.1"), datetime.now(UTC), timedelta(days=1))
        pem = str(Path(folder) / certificates.CERTIFICATE)
        tls = TlsSettings(certificate=pem, key=str(Path(folder) / certificates.KEY))
        for tls_settings in (None, tls):
            recorder = Recorder(clock)
            script = load_script(tls_settings)
            rig = Rig(script, clock, recorder)
            (Path(folder) / "places.keys").unlink(missing_ok=True)
            rotate(str(Path(folder) / "places.keys"), clock.wall_us() // 1000)
            process = FrontProcess(script, 0, rig.lists.address, 1, recorder, Path(folder))
            rig.start()
            try:
                if tls_settings is not None:
                    process.context = ssl.create_default_context(cafile=pem)
                process.start()
                context = ssl.create_default_context(cafile=pem) if tls_settings is not None else None
                measure_load(process, clock, options.seconds, context)
                if tls_settings is None:
                    measure_resumption(process, clock, options.resume, recorder)
                    measure_idle(process, options.idle, clock)
            finally:
                process.kill()
                rig.stop()


if __name__ == "__main__":
    main()
