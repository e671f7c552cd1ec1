"""A fleet under overload with fleet-wide shedding, with damping by each front alone, and with neither.

    python -m benchmarks.load_shedding [--days flood,flood-kill] [--seeds 1,2] [--beside 2]

Runs each scenario in its own process, with the same seeds for all variants. Prints a row per variant and
scenario with median and range over the seeds: benefit served per second during the crowd and in the worst 10
s, requests, attempts and datagrams per request, seconds until no second has more than a twentieth refused,
and rules broken.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

import msgspec
from fennelcove.scenarios.checker import Verdict
from fennelcove.scenarios.script import Scenario, read
from fennelcove.settings.schema import RetryStormSettings

from benchmarks.power_loss import median_range, run_scenario

replace = msgspec.structs.replace
CROWD_INTERVAL_S = (8, 16)  # seconds of the scenario in which the crowd arrives


def without_fleet_shedding(scenario: Scenario, damping: bool = False) -> Scenario:
    """The scenario without fleet-wide shedding."""
    storm = RetryStormSettings(damping=damping)
    return replace(scenario, front=replace(scenario.front, overload=None, storm=storm))


def with_one_front(scenario: Scenario) -> Scenario:
    """The scenario with one front and no front faults: the bound for fronts that share all their state."""
    fault_specs = [
        spec
        for spec in scenario.troubles
        if spec.what not in ("front-kill", "front-restart", "front-stop", "between")
    ]
    return replace(scenario, fronts=1, halls=[], company=False, troubles=fault_specs)


VARIANTS = {
    "as-one": lambda scenario: scenario,
    "damping": lambda scenario: without_fleet_shedding(scenario, True),
    "nothing": without_fleet_shedding,
    "sees-all": with_one_front,
    "alone": lambda scenario: replace(
        scenario, company=False
    ),  # the same shedding steps, by each front's own figures
}


def run_variant(job: tuple[str, str, int]) -> Verdict | None:
    """Run a scenario, given by its name, in one of the variants."""
    scenario, variant, seed = job
    return run_scenario(VARIANTS[variant](read(scenario)), seed)


def least_benefit_in_10_s(verdict: Verdict) -> float:
    """The least benefit per second in any 10 s, from before the crowd until about 10 s after it."""
    assert verdict.fleet is not None
    benefit = [second.benefit for second in verdict.fleet.seconds[4:28]]
    return min(sum(benefit[at : at + 10]) / 10 for at in range(len(benefit) - 9))


def main() -> None:
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", default="flood,flood-kill")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--beside", type=int, default=2)
    options = parser.parse_args()
    scenario_names, variants = options.days.split(","), options.variants.split(",")
    jobs = [(d, v, int(s)) for s in options.seeds.split(",") for d in scenario_names for v in variants]
    with ProcessPoolExecutor(options.beside) as pool:
        verdicts = dict(zip(jobs, pool.map(run_variant, jobs), strict=True))
    for scenario in scenario_names:
        for variant in variants:
            rows = [
                row for job, row in verdicts.items() if job[:2] == (scenario, variant) and row is not None
            ]
            fleets = [row.fleet for row in rows if row.fleet is not None]
            crowd_benefits = [sum(s.benefit for s in f.seconds[slice(*CROWD_INTERVAL_S)]) / 8 for f in fleets]
            worst_benefits = [least_benefit_in_10_s(row) for row in rows]
            print(
                f"{scenario:11} {variant:8} crowd {median_range(crowd_benefits)}, worst 10 s "
                f"{median_range(worst_benefits)} benefit per s; service "
                f"{median_range([row.service for row in rows])}; requests "
                f"{median_range([float(row.requests) for row in rows])}, "
                f"attempts {median_range([f.joins for f in fleets])}, "
                f"datagrams {median_range([f.datagrams for f in fleets])} per request; settled "
                f"{median_range([row.settled_s or 0.0 for row in rows])} s; rules broken "
                f"{sorted({b.rule for row in rows for b in row.broken}) or 'none'}",
                flush=True,
            )


if __name__ == "__main__":
    main()
