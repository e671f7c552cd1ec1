"""Measures set-up times without a store, with a store, and with a store whose syncs take two seconds.

    python -m benchmarks.store_cost [--seconds 6] [--rate 100]

One front in this process, four clients at a fixed total rate; each set-up is followed by its release.
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
SYNC_DELAY_S = 2.0


class SlowSyncFiles(LocalFiles):
    """Local files with slow syncs."""

    def sync(self, name: str) -> None:
        time.sleep(SYNC_DELAY_S)
        super().sync(name)


def measure_setup_times(folder: str | None, has_slow_sync: bool, seconds: float, rate: float) -> list[float]:
    """Measure the times of set-ups, in milliseconds."""
    scenario, clock = read("drain"), SystemClock()
    rig = Rig(scenario, clock, Recorder(clock, retain=False))
    front = msgspec.structs.replace(
        scenario.front,
        lists=msgspec.structs.replace(scenario.front.lists, address=rig.lists.address),
        rules=msgspec.structs.replace(
            scenario.front.rules, budget_free=None, budget_span_ms=0.0, ramp_ms=0.0
        ),
        store=StoreSettings(folder=folder) if folder is not None else None,
    )
    rig.start()
    daemon = FrontDaemon(front, log.silent, clock)
    if has_slow_sync and daemon.store_writer is not None:
        daemon.store_writer.store.journal.files = daemon.store_writer.store.files = SlowSyncFiles(
            folder or ""
        )
    daemon.start()
    while daemon.core.endpoint_tracker.version is None:
        time.sleep(0.01)
    times_ms: list[float] = []

    def client() -> None:
        http_client, due_s = HttpClient(daemon.http_server.address, clock), time.perf_counter()
        end_s = due_s + seconds
        body = msgspec.json.encode({"room_type": "recorded", "title": "knee-1"})
        while due_s < end_s:
            due_s += CLIENTS / rate
            time.sleep(max(0.0, due_s - time.perf_counter()))
            started_s = time.perf_counter()
            response = http_client.ask("POST", "/v1/subscriptions", [JSON], body, 5.0)
            times_ms.append((time.perf_counter() - started_s) * 1000)
            if response.status == 201:
                http_client.ask("DELETE", f"/v1/subscriptions/{response.body['id']}", [], b"", 5.0)
        http_client.close()

    threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    daemon.stop()
    rig.stop()
    return times_ms


def main() -> None:
    """Run the three variants one after another, twice."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rate", type=float, default=100.0)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {options.rate:g} set-ups per second")
    for name, has_store, has_slow_sync in (
        ("none", False, False),
        ("store", True, False),
        ("slow disk", True, True),
    ) * 2:
        with tempfile.TemporaryDirectory() as folder:
            times_ms = measure_setup_times(
                folder if has_store else None, has_slow_sync, options.seconds, options.rate
            )
        percentiles = quantiles(times_ms, n=100)
        print(
            f"{name}: {len(times_ms)} set-ups, p50 {percentiles[49]:.2f} ms, p99 {percentiles[98]:.2f} ms",
            flush=True,
        )


if __name__ == "__main__":
    main()
