"""Hung servers, detected by fleet-wide health checks and by each front alone; same scenarios and seeds.

    python -m benchmarks.health_checks [--day watch-hang] [--seeds 1,2,3,4,5] [--beside 1]

Each front runs in its own process. Prints a row per variant with median and range over the seeds: attempts
sent to a server while it hung (all, and those later than `DETECTION_S` after it began to hang), set-ups
completed after the set-up objective, service, connections per request, and rules broken.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import Verdict, check_recording
from fennelcove.scenarios.player import ScenarioError, ScenarioRunner
from fennelcove.scenarios.recovery import began_us
from fennelcove.scenarios.script import Scenario, read

from benchmarks.power_loss import median_range

replace = msgspec.structs.replace
DETECTION_S = 2.5  # detection time: two failed probes half a second apart, and messages that may be late
VARIANTS = {
    "watched": lambda scenario: scenario,
    "alone": lambda scenario: replace(scenario, front=replace(scenario.front, watchers=None)),
}


def count_attempts_at_hung_servers(scenario: Scenario, records: list[Record]) -> tuple[int, int]:
    """Count attempts sent to a server while the script let it hang, and those of them after `DETECTION_S`."""
    began = began_us(records)
    servers = [record["box"] for record in records if record["what"] == "box"]
    attempts = late = 0
    for fault_spec in scenario.troubles:
        if fault_spec.what != "hang" or fault_spec.box is None:
            continue
        for record in records:
            if record["what"] == "set_up" and record["box"] == servers[fault_spec.box]:
                after_s = (record["t_us"] - began) / 1e6 - fault_spec.at_s
                attempts += 0 <= after_s < fault_spec.for_s
                late += DETECTION_S <= after_s < fault_spec.for_s
    return attempts, late


def count_late_setups(records: list[Record]) -> int:
    """Count set-ups that completed after their room type's set-up objective."""
    terms = next(record for record in records if record["what"] == "terms")
    objectives_us = {item["name"]: item["objective_ms"] * 1000 for item in terms["room_types"]}
    requests = {(r["viewer"], r["number"]): r for r in records if r["what"] == "asked"}
    plays = [r for r in records if r["what"] == "answered" and r["status"] == 201]
    pairs = [(requests[r["viewer"], r["number"]], r) for r in plays if (r["viewer"], r["number"]) in requests]
    return sum(
        answer["t_us"] - request["t_us"] > objectives_us[request["room_type"]] for request, answer in pairs
    )


def run_variant(job: tuple[str, str, int]) -> tuple[Verdict, int, int, int] | None:
    """Run a scenario, given by its name, in one of the variants."""
    name, variant, seed = job
    scenario = VARIANTS[variant](read(name))
    try:
        records = ScenarioRunner(scenario, seed).play()
    except ScenarioError as error:
        print(f"{name}, seed {seed}: {error}", flush=True)
        return None
    return (
        check_recording(records),
        *count_attempts_at_hung_servers(scenario, records),
        count_late_setups(records),
    )


def main() -> None:
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--day", default="watch-hang")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--beside", type=int, default=1)
    options = parser.parse_args()
    jobs = [(options.day, variant, int(seed)) for seed in options.seeds.split(",") for variant in VARIANTS]
    with ProcessPoolExecutor(options.beside) as pool:
        results = dict(zip(jobs, pool.map(run_variant, jobs), strict=True))
    for variant in VARIANTS:
        rows = [row for job, row in results.items() if job[1] == variant and row is not None]
        fleets = [row[0].fleet for row in rows if row[0].fleet is not None]
        print(
            f"{variant:8} attempts at hung servers {median_range([float(row[1]) for row in rows])}, late "
            f"ones {median_range([float(row[2]) for row in rows])}; after the objective "
            f"{median_range([float(row[3]) for row in rows])}; service "
            f"{median_range([row[0].service for row in rows])}; connections "
            f"{median_range([fleet.connections for fleet in fleets])} per request; rules broken "
            f"{sorted({b.rule for row in rows for b in row[0].broken}) or 'none'}",
            flush=True,
        )


if __name__ == "__main__":
    main()
