"""What a store costs those who wait: set-ups without one, with one, and with a sync that takes two seconds.

    python -m benchmarks.store_cost [--seconds 6] [--rate 100]

One front in this process, four clients at a fixed rate; each set-up is followed by its release.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
import threading
import time
from statistics import quantiles

import msgspec
from fennelcove import log
from fennelcove.clock import SystemClock
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.emulators.clients import HttpClient
from fennelcove.emulators.recorder import Recorder
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import read
from fennelcove.settings.schema import StoreSettings
from fennelcove.store.files import LocalFiles

JSON = ("Content-Type", "application/json")
CLIENTS = 4
SLOW_S = 2.0


class SlowFiles(LocalFiles):
    """A disk whose sync takes long."""

    def sync(self, name: str) -> None:
        time.sleep(SLOW_S)
        super().sync(name)


def measured(folder: str | None, slow: bool, seconds: float, rate: float) -> list[float]:
    """How long set-ups took, in milliseconds."""
    day, clock = read("drain"), SystemClock()
    rig = Rig(day, clock, Recorder(clock, retain=False))
    front = msgspec.structs.replace(
        day.front,
        lists=msgspec.structs.replace(day.front.lists, address=rig.lists.address),
        rules=msgspec.structs.replace(day.front.rules, budget_free=None, budget_span_ms=0.0, ramp_ms=0.0),
        store=StoreSettings(folder=folder) if folder is not None else None,
    )
    rig.start()
    program = FrontDaemon(front, log.silent, clock)
    if slow and program.keeper is not None:
        program.keeper.store.journal.files = program.keeper.store.files = SlowFiles(folder or "")
    program.start()
    while program.core.endpoint_tracker.version is None:
        time.sleep(0.01)
    times: list[float] = []

    def client() -> None:
        player, due = HttpClient(program.door.address, clock), time.perf_counter()
        until = due + seconds
        body = msgspec.json.encode({"room_type": "recorded", "title": "knee-1"})
        while due < until:
            due += CLIENTS / rate
            time.sleep(max(0.0, due - time.perf_counter()))
            began = time.perf_counter()
            heard = player.ask("POST", "/v1/subscriptions", [JSON], body, 5.0)
            times.append((time.perf_counter() - began) * 1000)
            if heard.status == 201:
                player.ask("DELETE", f"/v1/subscriptions/{heard.body['id']}", [], b"", 5.0)
        player.close()

    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    program.stop()
    rig.stop()
    return times


def main() -> None:
    """The three, one after another, twice."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rate", type=float, default=100.0)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {options.rate:g} set-ups a second")
    for name, kept, slow in (("none", False, False), ("store", True, False), ("slow disk", True, True)) * 2:
        with tempfile.TemporaryDirectory() as folder:
            times = measured(folder if kept else None, slow, options.seconds, options.rate)
        cuts = quantiles(times, n=100)
        print(f"{name}: {len(times)} set-ups, p50 {cuts[49]:.2f} ms, p99 {cuts[98]:.2f} ms", flush=True)


if __name__ == "__main__":
    main()
