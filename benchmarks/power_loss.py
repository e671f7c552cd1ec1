"""How a fleet recovers from a power loss with several variants of its settings, on the same seeds.

    python -m benchmarks.power_loss [--days power-loss] [--seeds 1,2] [--beside 3] [--variants now,today]

Each front runs in its own process. Prints a row per variant and scenario with median and range over the
seeds: seconds until 90% of the service is restored, the share served in the first 30 s, the benefit per
second in them, servers crashed from overload, and costs per request.
"""

from __future__ import annotations

import argparse
import os
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec
from fennelcove.scenarios.checker import Verdict, check_recording
from fennelcove.scenarios.player import ScenarioError, ScenarioRunner
from fennelcove.scenarios.script import Scenario, read
from fennelcove.settings.schema import RecoverySettings

replace = msgspec.structs.replace


def without_coordination(scenario: Scenario) -> Scenario:
    """The scenario without coordination: each front recovers as if it alone had restarted."""
    return replace(scenario, company=False, front=replace(scenario.front, recovery=None))


def without_recovery_parts(scenario: Scenario, **recovery: bool) -> Scenario:
    """The scenario with parts of the recovery switched off."""
    return replace(scenario, front=replace(scenario.front, recovery=RecoverySettings(**recovery)))


VARIANTS = {
    "now": lambda scenario: scenario,
    "today": without_coordination,
    "no-folders": lambda scenario: replace(scenario, front=replace(scenario.front, store=None)),
    "no-messages": lambda scenario: replace(scenario, company=False),
    "at-once": lambda scenario: replace(scenario, front=replace(scenario.front, recovery=None)),
    "first-come": lambda scenario: without_recovery_parts(scenario, by_benefit=False),
    "no-kept-list": lambda scenario: without_recovery_parts(scenario, kept_list=False),
}


def first_benefit(verdict: Verdict) -> float:
    """The benefit served per second in the 30 s after the last power loss."""
    assert verdict.fleet is not None
    at = int(verdict.fleet.returns[-1].at_s) + 1
    return sum(second.benefit for second in verdict.fleet.seconds[at : at + 30]) / 30


def run_scenario(scenario: Scenario, seed: int) -> Verdict | None:
    """Run a scenario and return its verdict; None if it could not be run."""
    try:
        return check_recording(ScenarioRunner(scenario, seed).play())
    except ScenarioError as error:
        print(f"{scenario.name}, seed {seed}: {error}", flush=True)
        return None


def run_variant(job: tuple[str, str, int]) -> Verdict | None:
    """Run a scenario, given by its name, in one of the variants."""
    scenario, variant, seed = job
    return run_scenario(VARIANTS[variant](read(scenario)), seed)


def main() -> None:
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", default="power-loss,power-split,power-lists,power-twice")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--beside", type=int, default=3)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, {options.beside} scenarios in parallel")
    jobs = [
        (scenario, variant, int(seed))
        for seed in options.seeds.split(",")
        for scenario in options.days.split(",")
        for variant in options.variants.split(",")
    ]

    # Each scenario has its own process: five in one share its interpreter lock, and no response is in time.
    with ProcessPoolExecutor(options.beside) as pool:
        verdicts = dict(zip(jobs, pool.map(run_variant, jobs), strict=True))
    for scenario in options.days.split(","):
        for variant in options.variants.split(","):
            rows = [
                verdict for job, verdict in verdicts.items() if job[:2] == (scenario, variant) and verdict
            ]
            if rows:
                print_row(scenario, variant, rows)


def print_row(scenario: str, variant: str, rows: list[Verdict]) -> None:
    """Print one row of the table."""
    fleets = [row.fleet for row in rows if row.fleet is not None]
    recovery_times = [fleet.returns[-1].back_after_s for fleet in fleets]
    known_times = [recovery_s for recovery_s in recovery_times if recovery_s is not None]
    rules = sorted({broken.rule for row in rows for broken in row.broken})
    print(
        f"{scenario:12} {variant:13} recovered in {median_range(known_times)} s "
        f"({len(recovery_times) - len(known_times)} never), bound "
        f"{median_range([fleet.returns[-1].bound_s for fleet in fleets])}; first 30 s "
        f"{median_range([fleet.returns[-1].first_share for fleet in fleets])}, benefit "
        f"{median_range([first_benefit(row) for row in rows])} per s; service "
        f"{median_range([row.service for row in rows])}; crashed servers "
        f"{sum(fleet.pushed_over for fleet in fleets)}; attempts "
        f"{median_range([fleet.joins for fleet in fleets])}, connections "
        f"{median_range([fleet.connections for fleet in fleets])}, list requests "
        f"{median_range([fleet.list_calls for fleet in fleets])}; rules broken {rules or 'none'}",
        flush=True,
    )


def median_range(values: list[float]) -> str:
    """Format median and range."""
    if not values:
        return "-"
    return f"{statistics.median(values):.2f} [{min(values):.2f} to {max(values):.2f}]"


if __name__ == "__main__":
    main()
