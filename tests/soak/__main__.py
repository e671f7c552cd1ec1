"""Run the soak test for many seeds, for example `python -m tests.soak --seeds 1..50 --jobs 3`.

The exit status is 1 if a rule was violated.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, replace
from pathlib import Path

from tests.soak.checker import Checker, Verdict
from tests.soak.plan import Plan, draw, with_late_discovery
from tests.soak.trial import play

OCTETS_PER_JOB = 8
FIRST_OCTET = 16
START_DELAY_S = 3.5
MAX_SHOWN_VIOLATIONS = 5


def run(plan: Plan, folder: Path) -> Verdict:
    """Execute a plan now and check its recordings."""
    plan = replace(plan, start=time.time() + START_DELAY_S)
    play(plan, folder)
    return Checker(folder).check()


def free_port() -> int:
    """Return a port for this process's emulators, below the kernel's ephemeral range."""
    return 20_000 + os.getpid() % 10_000


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1..50")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--duration", type=float, default=20.0)
    parser.add_argument("--servers", type=int)
    parser.add_argument("--late-discovery", action="store_true", help="every answer of discovery is late")
    parser.add_argument("--keep", type=Path, help="folder for the recordings of failed seeds")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("..")
    seeds = range(int(first), int(last or first) + 1)
    root = options.keep or Path(tempfile.mkdtemp(prefix="soak-"))
    slots = list(range(options.jobs))

    def play_seed(seed: int) -> bool:
        slot = slots.pop()
        try:
            octet = FIRST_OCTET + slot * OCTETS_PER_JOB
            plan = draw(seed, octet, free_port(), options.duration, options.servers)
            plan = with_late_discovery(plan) if options.late_discovery else plan
            verdict = run(plan, root / f"seed-{seed}")
        finally:
            slots.append(slot)
        report(seed, plan, verdict)
        path = root / f"seed-{seed}" / "verdict.json"
        path.write_text(json.dumps(asdict(verdict), indent=1), encoding="utf-8")
        return not verdict.violations

    with ThreadPoolExecutor(options.jobs) as pool:
        passed = list(pool.map(play_seed, seeds))
    failed = [seed for seed, is_passed in zip(seeds, passed, strict=True) if not is_passed]
    print(f"{sum(passed)} passed, {len(failed)} failed: {failed}; recordings in {root}")
    return 1 if failed else 0


def report(seed: int, plan: Plan, verdict: Verdict) -> None:
    """Print one line for a seed, and its first violations."""
    kinds = sorted({fault.kind for fault in plan.faults} | {each.kind for each in plan.discovery})
    print(
        f"seed {seed}: {plan.nodes} nodes, {plan.servers} servers, {plan.sockets} descriptors, "
        f"{len(plan.changes)} changes, {'+'.join(kinds)}: {verdict.by_rule() or 'passed'} {verdict.figures}",
        flush=True,
    )
    for each in verdict.violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"    {each.rule} at {each.at}: {each.what} {each.session}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
