"""Retry storms on real fronts with each protection switched off in turn, one after another in one run.

    python -m benchmarks.storms [--seed 1] [storm-hall storm-titles storm-cold storm-restart]

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
from fennelcove.scenarios.checker import judge
from fennelcove.scenarios.player import DayPlayer
from fennelcove.scenarios.script import Day, read

VARIANTS = {  # damping, server limits
    "all": (True, True),
    "no damping": (False, True),
    "no box limits": (True, False),
    "none": (False, False),
}


def varied(day: Day, damping: bool, box_limits: bool) -> Day:
    """The scenario with these protections."""
    storm = msgspec.structs.replace(day.front.storm, damping=damping, box_limits=box_limits)
    front = msgspec.structs.replace(day.front, storm=storm)
    return msgspec.structs.replace(day, front=front, settle_within_s=None)


def told(records: list[dict[str, Any]]) -> str:
    """Format the figures of one variant."""
    verdict = judge(records)
    fell = sum(1 for record in records if record["what"] == "fell")
    tempers = {r["viewer"]: r["temper"] for r in records if r["what"] == "asked"}
    first = {}
    for record in records:
        if record["what"] == "asked":
            first.setdefault(record["viewer"], record["t_us"])
    watched = {
        r["viewer"]: r["t_us"] - first[r["viewer"]]
        for r in records
        if r["what"] == "answered" and r["status"] == 201
    }
    asked = Counter(tempers.values())
    came = Counter(tempers[viewer] for viewer in watched)
    parts = ", ".join(f"{temper} {came[temper]}/{count}" for temper, count in sorted(asked.items()))
    waits = sorted(watched[viewer] / 1e6 for viewer in watched if tempers[viewer] == "obeys")
    middle, late = waits[len(waits) // 2], waits[len(waits) * 9 // 10]
    return (
        f"service {verdict.service:.3f}, served {len(watched)} of {len(tempers)} ({parts}), wait of "
        f"those that obey Retry-After: median {middle:.1f} s p90 {late:.1f} s, "
        f"requests {verdict.requests}, set-ups "
        f"{sum(1 for r in records if r['what'] == 'set_up')}, refusals over a twentieth for "
        f"{verdict.settled_s} s, servers crashed {fell}, rules broken {len(verdict.broken)}"
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
            day = varied(read(name), *VARIANTS[variant])
            print(f"{name}, {variant}: {told(DayPlayer(day, options.seed).play())}", flush=True)


if __name__ == "__main__":
    main()
