"""How a fleet recovers from a power loss with several variants of its settings, on the same seeds.

    python -m benchmarks.power [--days power-loss] [--seeds 1,2] [--beside 3] [--variants now,today]

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
from fennelcove.scenarios.checker import Verdict, judge
from fennelcove.scenarios.player import DayFailed, DayPlayer
from fennelcove.scenarios.script import Day, read
from fennelcove.settings.schema import RecoverySettings

replace = msgspec.structs.replace


def bare(day: Day) -> Day:
    """The scenario without coordination: each front recovers as if it alone had restarted."""
    return replace(day, company=False, front=replace(day.front, recovery=None))


def without(day: Day, **recovery: bool) -> Day:
    """The scenario with parts of the recovery switched off."""
    return replace(day, front=replace(day.front, recovery=RecoverySettings(**recovery)))


VARIANTS = {
    "now": lambda day: day,
    "today": bare,
    "no-folders": lambda day: replace(day, front=replace(day.front, store=None)),
    "no-messages": lambda day: replace(day, company=False),
    "at-once": lambda day: replace(day, front=replace(day.front, recovery=None)),
    "first-come": lambda day: without(day, by_benefit=False),
    "no-kept-list": lambda day: without(day, kept_list=False),
}


def first_benefit(verdict: Verdict) -> float:
    """The benefit served per second in the 30 s after the last power loss."""
    assert verdict.fleet is not None
    at = int(verdict.fleet.returns[-1].at_s) + 1
    return sum(second.benefit for second in verdict.fleet.seconds[at : at + 30]) / 30


def played(day: Day, seed: int) -> Verdict | None:
    """Run a scenario and return its verdict; None if it could not be run."""
    try:
        return judge(DayPlayer(day, seed).play())
    except DayFailed as error:
        print(f"{day.name}, seed {seed}: {error}", flush=True)
        return None


def play(job: tuple[str, str, int]) -> Verdict | None:
    """Run a scenario, given by its name, in one of the variants."""
    day, variant, seed = job
    return played(VARIANTS[variant](read(day)), seed)


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
        (day, variant, int(seed))
        for seed in options.seeds.split(",")
        for day in options.days.split(",")
        for variant in options.variants.split(",")
    ]

    # Each scenario has its own process: five in one share its interpreter lock, and no response is in time.
    with ProcessPoolExecutor(options.beside) as pool:
        found = dict(zip(jobs, pool.map(play, jobs), strict=True))
    for day in options.days.split(","):
        for variant in options.variants.split(","):
            rows = [verdict for job, verdict in found.items() if job[:2] == (day, variant) and verdict]
            if rows:
                show(day, variant, rows)


def show(day: str, variant: str, rows: list[Verdict]) -> None:
    """Print one row of the table."""
    fleets = [row.fleet for row in rows if row.fleet is not None]
    backs = [fleet.returns[-1].back_after_s for fleet in fleets]
    known = [back for back in backs if back is not None]
    rules = sorted({broken.rule for row in rows for broken in row.broken})
    print(
        f"{day:12} {variant:13} recovered in {spread(known)} s ({len(backs) - len(known)} never), bound "
        f"{spread([fleet.returns[-1].bound_s for fleet in fleets])}; first 30 s "
        f"{spread([fleet.returns[-1].first_share for fleet in fleets])}, benefit "
        f"{spread([first_benefit(row) for row in rows])} per s; service "
        f"{spread([row.service for row in rows])}; crashed servers "
        f"{sum(fleet.pushed_over for fleet in fleets)}; attempts "
        f"{spread([fleet.joins for fleet in fleets])}, connections "
        f"{spread([fleet.connections for fleet in fleets])}, list requests "
        f"{spread([fleet.list_calls for fleet in fleets])}; rules broken {rules or 'none'}",
        flush=True,
    )


def spread(values: list[float]) -> str:
    """Format median and range."""
    if not values:
        return "-"
    return f"{statistics.median(values):.2f} [{min(values):.2f} to {max(values):.2f}]"


if __name__ == "__main__":
    main()
