"""Retry storms on real fronts with each protection switched off in turn, one after another in one run.

    python -m benchmarks.retry_storms [--seed 1] [storm-hall storm-titles storm-cold storm-restart]

Prints for each variant: service, clients served by retry behaviour, the wait from the first try until
served, requests including retries, how long refusals continued after the last crowd, servers crashed from
overload, and rules broken. "none" is the first running version.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections import Counter
from typing import Any

import msgspec
from fennelcove.scenarios.checker import check_recording
from fennelcove.scenarios.player import ScenarioRunner
from fennelcove.scenarios.script import Scenario, read

VARIANTS = {  # damping, server limits
    "all": (True, True),
    "no damping": (False, True),
    "no box limits": (True, False),
    "none": (False, False),
}


def with_protections(scenario: Scenario, damping: bool, server_limits: bool) -> Scenario:
    """The scenario with these protections."""
    storm = msgspec.structs.replace(scenario.front.storm, damping=damping, box_limits=server_limits)
    front = msgspec.structs.replace(scenario.front, storm=storm)
    return msgspec.structs.replace(scenario, front=front, settle_within_s=None)


def format_figures(records: list[dict[str, Any]]) -> str:
    """Format the figures of one variant."""
    verdict = check_recording(records)
    crashed = sum(1 for record in records if record["what"] == "fell")
    tempers = {r["viewer"]: r["temper"] for r in records if r["what"] == "asked"}
    first_try_us = {}
    for record in records:
        if record["what"] == "asked":
            first_try_us.setdefault(record["viewer"], record["t_us"])
    served_wait_us = {
        r["viewer"]: r["t_us"] - first_try_us[r["viewer"]]
        for r in records
        if r["what"] == "answered" and r["status"] == 201
    }
    client_count = Counter(tempers.values())
    served_count = Counter(tempers[client] for client in served_wait_us)
    parts = ", ".join(
        f"{temper} {served_count[temper]}/{count}" for temper, count in sorted(client_count.items())
    )
    waits = sorted(served_wait_us[client] / 1e6 for client in served_wait_us if tempers[client] == "obeys")
    median_s, p90_s = waits[len(waits) // 2], waits[len(waits) * 9 // 10]
    return (
        f"service {verdict.service:.3f}, served {len(served_wait_us)} of {len(tempers)} ({parts}), wait of "
        f"those that obey Retry-After: median {median_s:.1f} s p90 {p90_s:.1f} s, "
        f"requests {verdict.requests}, set-ups "
        f"{sum(1 for r in records if r['what'] == 'set_up')}, refusals over a twentieth for "
        f"{verdict.settled_s} s, servers crashed {crashed}, rules broken {len(verdict.broken)}"
    )


def main() -> None:
    """Run all variants of the given scenarios."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--variants", nargs="*", default=list(VARIANTS))
    parser.add_argument(
        "days", nargs="*", default=["storm-hall", "storm-titles", "storm-cold", "storm-restart"]
    )
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}, seed {options.seed}")
    for name in options.days:
        for variant in options.variants:
            scenario = with_protections(read(name), *VARIANTS[variant])
            print(
                f"{name}, {variant}: {format_figures(ScenarioRunner(scenario, options.seed).play())}",
                flush=True,
            )


if __name__ == "__main__":
    main()
