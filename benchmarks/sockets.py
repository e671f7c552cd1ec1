"""The second door at size: idle connections, one event for all, messages beside HTTP, resumption.

    python -m benchmarks.sockets [--idle 5000] [--resume 1000] [--seconds 3]

One front in a process of its own. Prints memory and threads an idle connection, the time to push one event to
all, set-ups a second through either door in the same run, what masking, deflate and TLS cost, and the time to
resume after a restart.
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
from fennelcove.emulators.clients import Player, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.sockets import SocketPlayer
from fennelcove.scenarios.fronts import FrontProcess
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import Day, read
from fennelcove.settings.schema import TlsSettings
from fennelcove.websocket.deflate import Inflater, deflate
from fennelcove.websocket.frames import masked

JSON = ("Content-Type", "application/json")
CONNECTIONS = 30  # a thread of a client


def day(tls: TlsSettings | None) -> Day:
    """A day's rig with room for all."""
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
    boxes = [msgspec.structs.replace(box, link_kb=1e6) for box in script.boxes]
    rig = msgspec.structs.replace(script.rig, uplink_kb=3e6)
    return msgspec.structs.replace(script, front=front, boxes=boxes, rig=rig, troubles=[])


def status(process: FrontProcess) -> dict[str, int]:
    """Memory in KiB and threads of the front."""
    assert process.process is not None
    found = {}
    for line in Path(f"/proc/{process.process.pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "Threads"):
            found[name] = int(value.split()[0])
    return found


def opened(process: FrontProcess, count: int, clock: SystemClock, threads: int = 8) -> list[SocketPlayer]:
    """So many connections."""
    found: list[SocketPlayer] = []
    lock = threading.Lock()

    def some(number: int) -> None:
        chance = random.Random(number)
        for _ in range(count // threads):
            try:
                player = SocketPlayer(process.address, clock, chance, timeout_s=30.0)
            except Unanswered as error:
                print(f"  ended at {len(found)}: {error.how}")
                return
            with lock:
                found.append(player)

    run = [threading.Thread(target=some, args=(i,)) for i in range(threads)]
    for thread in run:
        thread.start()
    for thread in run:
        thread.join()
    return found


def idle(process: FrontProcess, count: int, clock: SystemClock) -> None:
    """Connections that say nothing, and one event for all of them."""
    before = status(process)
    began = time.perf_counter()
    players = opened(process, count, clock)
    took = time.perf_counter() - began
    after = status(process)
    grown = (after["VmRSS"] - before["VmRSS"]) / max(1, len(players))
    print(
        f"{len(players)} idle connections in {took:.1f} s: {grown:.1f} KiB each, "
        f"threads {before['Threads']} -> {after['Threads']}",
        flush=True,
    )
    for player in players:
        player.news("welcome", 10.0)
    began = time.perf_counter()
    assert process.process is not None
    process.process.terminate()
    times = []
    for player in players:
        try:
            told = player.next(30.0)
            while told is not None and told["type"] != "leaving":
                told = player.next(30.0)
            times.append(time.perf_counter() - began)
        except Unanswered:
            pass
    print(
        f"one event (leaving) reached {len(times)} of them, the last read after {max(times):.2f} s",
        flush=True,
    )
    for player in players:
        player.hang_up()
    process.process.wait(60)


def loads(process: FrontProcess, clock: SystemClock, seconds: float, tls: ssl.SSLContext | None) -> None:
    """Set-ups with their releases through either door, eight at a time."""
    body = {"room_type": "recorded", "title": "knee-1", "client_timeout_ms": 5000}
    for name in ("http", "websocket", "websocket deflated"):
        if tls is not None and name != "websocket":
            continue
        counts: list[int] = []
        ready = threading.Barrier(8)

        def run(
            number: int, name: str = name, counts: list[int] = counts, ready: threading.Barrier = ready
        ) -> None:
            count = 0
            player: Player | None = None
            sockets: list[SocketPlayer] = []
            if name == "http":
                player = Player(process.address, clock)
            else:
                # Many, used in turn: a connection may say twenty messages a second.
                sockets = [
                    SocketPlayer(
                        process.address,
                        clock,
                        random.Random(number),
                        context=tls,
                        deflates="deflated" in name,
                    )
                    for _ in range(CONNECTIONS)
                ]
            ready.wait()
            until = time.perf_counter() + seconds
            while time.perf_counter() < until:
                if player is not None:
                    heard = player.ask("POST", "/v1/subscriptions", [JSON], msgspec.json.encode(body), 5.0)
                    if heard.status == 201:
                        player.ask("DELETE", f"/v1/subscriptions/{heard.body['id']}", [], b"", 5.0)
                        count += 1
                else:
                    socket = sockets[count % CONNECTIONS]
                    told: dict[str, Any] = socket.ask("set-up", ask=body)
                    if told["type"] == "playing":
                        socket.ask("release", subscription=told["state"]["id"])
                        count += 1
                    else:
                        time.sleep(0.001)
            counts.append(count)

        threads = [threading.Thread(target=run, args=(i,)) for i in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        over = " over TLS" if tls is not None else ""
        print(f"{name}{over}: {sum(counts) / seconds:.0f} set-ups with release a second", flush=True)


def resumed(process: FrontProcess, clock: SystemClock, count: int, recorder: Recorder) -> None:
    """Players whose front is killed and started again."""
    players = opened(process, count, clock)
    ids = []
    body = {"room_type": "recorded", "title": "knee-1", "client_timeout_ms": 5000, "top_rung": 0}
    for player in players:
        told = player.ask("set-up", 10.0, ask=body)
        if told["type"] == "playing":
            ids.append(told["state"]["id"])
    before = sum(1 for record in recorder.records if record["what"] == "set_up")
    process.kill()
    began = time.perf_counter()
    process.start()
    up = time.perf_counter() - began
    left, times = list(ids), []
    lock = threading.Lock()

    def some(number: int) -> None:
        chance = random.Random(number)
        while True:
            with lock:
                if not left:
                    return
                id = left.pop()
            while True:
                try:
                    player = SocketPlayer(process.address, clock, chance)
                    told = player.ask("resume", 5.0, subscription=id)
                    player.close()
                except Unanswered:
                    told = {"type": "none"}
                if told["type"] == "resumed":
                    times.append(time.perf_counter() - began)
                    break
                if time.perf_counter() - began > 30:
                    return
                time.sleep(0.02)

    threads = [threading.Thread(target=some, args=(i,)) for i in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    again = sum(1 for record in recorder.records if record["what"] == "set_up") - before
    print(
        f"restart: {len(times)} of {len(ids)} resumed, front up after {up:.2f} s, the last resumed after "
        f"{max(times, default=0):.2f} s, set up a second time: {again}",
        flush=True,
    )
    for player in players:
        player.hang_up()


def parts() -> None:
    """Masking and deflate of one message, no sockets."""
    told = {"type": "rung", "subscription": "1-" + "a" * 24, "number": 7, "rung": 2, "x": "y" * 200}
    text = msgspec.json.encode(told)
    packed = deflate(text)
    for name, call in (
        ("masking", lambda: masked(text, b"abcd")),
        ("deflating", lambda: deflate(text)),
        ("inflating", lambda: Inflater(65_536).add(packed)),
    ):
        began = time.perf_counter()
        for _ in range(20_000):
            call()
        print(f"{name} {len(text)} bytes: {(time.perf_counter() - began) / 20_000 * 1e6:.1f} us", flush=True)


def main() -> None:
    """All of it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--idle", type=int, default=5000)
    parser.add_argument("--resume", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}")
    parts()
    clock = SystemClock()
    with tempfile.TemporaryDirectory() as folder:
        certificates.make(folder, ("localhost", "127.0.0.1"), datetime.now(UTC), timedelta(days=1))
        pem = str(Path(folder) / certificates.CERTIFICATE)
        tls = TlsSettings(certificate=pem, key=str(Path(folder) / certificates.KEY))
        for use in (None, tls):
            recorder = Recorder(clock)
            script = day(use)
            rig = Rig(script, clock, recorder)
            (Path(folder) / "places.keys").unlink(missing_ok=True)
            rotate(str(Path(folder) / "places.keys"), clock.wall_us() // 1000)
            process = FrontProcess(script, 0, rig.lists.address, 1, recorder, Path(folder))
            rig.start()
            try:
                if use is not None:
                    process.context = ssl.create_default_context(cafile=pem)
                process.start()
                context = ssl.create_default_context(cafile=pem) if use is not None else None
                loads(process, clock, options.seconds, context)
                if use is None:
                    resumed(process, clock, options.resume, recorder)
                    idle(process, options.idle, clock)
            finally:
                process.kill()
                rig.stop()


if __name__ == "__main__":
    main()
