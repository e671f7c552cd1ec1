"""A front killed repeatedly under load, with a store and without; the costs of the store.

    python -m benchmarks.restarts [--kills 100] [--without 40]

Kills are at random moments about 2.6 s apart. Prints the store's writes per second and recovery times; then
altered records, sessions set up twice or lost, and service in the two seconds after each restart.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
import time
from random import Random

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import check_recording
from fennelcove.scenarios.player import ScenarioRunner
from fennelcove.scenarios.script import FaultSpec, Scenario, read
from fennelcove.store.directory import Store

AFTER_US = 2_000_000


def build_scenario(kills: int, has_store: bool) -> Scenario:
    """Extend the scenario front-kill to the given number of kills."""
    scenario, rng = read("front-kill"), Random(5)
    at_s, fault_specs = 3.0, []
    for _ in range(kills):
        fault_specs.append(FaultSpec(at_s=at_s, what="front-kill", for_s=0.1))
        at_s += 2.2 + 0.8 * rng.random()
    crowds = [msgspec.structs.replace(crowd, to_s=min(600.0, at_s)) for crowd in scenario.crowds]
    front = scenario.front if has_store else msgspec.structs.replace(scenario.front, store=None)
    return msgspec.structs.replace(
        scenario, front=front, troubles=fault_specs, crowds=crowds, seconds=at_s + 4
    )


def after_restarts(records: list[Record]) -> tuple[int, float, int]:
    """Responses within two seconds of a restart, the share of them served, and set-ups at servers then."""
    starts = [r["t_us"] for r in records if r["what"] == "front_started"][1:]

    def is_after_restart(t_us: int) -> bool:
        return any(start <= t_us < start + AFTER_US for start in starts)

    found = [r for r in records if r["what"] == "answered" and is_after_restart(r["t_us"])]
    played = sum(r["status"] == 201 for r in found)
    attempts = sum(1 for r in records if r["what"] == "set_up" and is_after_restart(r["t_us"]))
    return len(found), played / max(1, len(found)), attempts


def run_kills(kills: int, has_store: bool) -> None:
    """Run the scenario and print its figures."""
    records = ScenarioRunner(build_scenario(kills, has_store), 1).play()
    verdict = check_recording(records)
    faults = [r["fault"] for r in records if r["what"] == "store_fault"]
    altered = sum("cut short" not in fault for fault in faults)
    count, share, attempts = after_restarts(records)
    rules = sorted({item.rule for item in verdict.broken})
    kill_count = sum(r["what"] == "front_killed" for r in records)
    print(
        f"{'with' if has_store else 'without'} a store: {kill_count} kills, "
        f"records altered {altered}, truncated {len(faults) - altered}, requests {verdict.requests}, lost "
        f"{verdict.lost}, rules broken {len(verdict.broken)} {rules or ''}, service {verdict.service:.3f}; "
        f"within two seconds of a restart {count} responses, {share:.3f} of them served, {attempts} set-ups",
        flush=True,
    )


def measure_store() -> None:
    """Measure the store alone."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store(folder, 256, "benchmark")
        value, count = os.urandom(100), 0
        began = time.perf_counter()
        while time.perf_counter() - began < 2:
            store.commit([(b"key%d" % (count % 1000), value)])
            count += 1
        print(f"{count / 2:.0f} synced batches of 1 record per second", flush=True)
        began, count = time.perf_counter(), 0
        while time.perf_counter() - began < 2:
            store.commit([(b"key%d" % i, value) for i in range(140)])
            count += 1
        print(f"{count / 2:.0f} synced batches of 140 records per second", flush=True)
        store.close()
    for size in (1000, 10_000, 100_000):
        with tempfile.TemporaryDirectory() as folder:
            store = Store(folder, 256, "benchmark")
            for start in range(0, size, 1000):
                store.commit([(b"key%d" % i, os.urandom(100)) for i in range(start, start + 1000)])
            journal_bytes = store.journal.byte_count
            store.close()
            began = time.perf_counter()
            store = Store(folder, 256, "benchmark")
            from_journal = time.perf_counter() - began
            base_bytes = store.base.byte_count()
            store.close()
            began = time.perf_counter()
            Store(folder, 256, "benchmark").close()
            from_base = time.perf_counter() - began
            print(
                f"{size} records of 100 bytes: {journal_bytes} bytes of journal, {base_bytes} of base; "
                f"opened in {from_journal * 1000:.0f} ms from the journal, "
                f"{from_base * 1000:.0f} ms from the base",
                flush=True,
            )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--without", type=int, default=40)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}")
    measure_store()
    run_kills(options.kills, True)
    run_kills(options.without, False)


if __name__ == "__main__":
    main()
