"""Hung servers, detected by fleet-wide health checks and by each front alone; same scenarios and seeds.

    python -m benchmarks.watching [--day watch-hang] [--seeds 1,2,3,4,5] [--beside 1]

Each front runs in its own process. Prints a row per variant with median and range over the seeds: attempts
sent to a server while it hung (all, and those later than `FOUND_S` after it began to hang), set-ups
completed after the set-up objective, service, connections per request, and rules broken.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import Verdict, judge
from fennelcove.scenarios.player import DayFailed, DayPlayer
from fennelcove.scenarios.recovery import began_us
from fennelcove.scenarios.script import Day, read

from benchmarks.power import spread

replace = msgspec.structs.replace
FOUND_S = 2.5  # detection time: two failed probes half a second apart, and messages that may be late
VARIANTS = {
    "watched": lambda day: day,
    "alone": lambda day: replace(day, front=replace(day.front, watchers=None)),
}


def stood_still(day: Day, records: list[Record]) -> tuple[int, int]:
    """Count attempts sent to a server while the script let it hang, and those of them after `FOUND_S`."""
    began = began_us(records)
    boxes = [record["box"] for record in records if record["what"] == "box"]
    found = late = 0
    for trouble in day.troubles:
        if trouble.what != "hang" or trouble.box is None:
            continue
        for record in records:
            if record["what"] == "set_up" and record["box"] == boxes[trouble.box]:
                after_s = (record["t_us"] - began) / 1e6 - trouble.at_s
                found += 0 <= after_s < trouble.for_s
                late += FOUND_S <= after_s < trouble.for_s
    return found, late


def answered_late(records: list[Record]) -> int:
    """Count set-ups that completed after their room type's set-up objective."""
    terms = next(record for record in records if record["what"] == "terms")
    aims = {room["name"]: room["objective_ms"] * 1000 for room in terms["room_types"]}
    asked = {(r["viewer"], r["number"]): r for r in records if r["what"] == "asked"}
    plays = [r for r in records if r["what"] == "answered" and r["status"] == 201]
    pairs = [(asked[r["viewer"], r["number"]], r) for r in plays if (r["viewer"], r["number"]) in asked]
    return sum(answer["t_us"] - ask["t_us"] > aims[ask["room_type"]] for ask, answer in pairs)


def play(job: tuple[str, str, int]) -> tuple[Verdict, int, int, int] | None:
    """Run a scenario, given by its name, in one of the variants."""
    name, variant, seed = job
    day = VARIANTS[variant](read(name))
    try:
        records = DayPlayer(day, seed).play()
    except DayFailed as error:
        print(f"{name}, seed {seed}: {error}", flush=True)
        return None
    return judge(records), *stood_still(day, records), answered_late(records)


def main() -> None:
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--day", default="watch-hang")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--beside", type=int, default=1)
    options = parser.parse_args()
    jobs = [(options.day, variant, int(seed)) for seed in options.seeds.split(",") for variant in VARIANTS]
    with ProcessPoolExecutor(options.beside) as pool:
        found = dict(zip(jobs, pool.map(play, jobs), strict=True))
    for variant in VARIANTS:
        rows = [row for job, row in found.items() if job[1] == variant and row is not None]
        fleets = [row[0].fleet for row in rows if row[0].fleet is not None]
        print(
            f"{variant:8} attempts at hung servers {spread([float(row[1]) for row in rows])}, late ones "
            f"{spread([float(row[2]) for row in rows])}; after the objective "
            f"{spread([float(row[3]) for row in rows])}; service {spread([row[0].service for row in rows])}; "
            f"connections {spread([fleet.connections for fleet in fleets])} per request; rules broken "
            f"{sorted({b.rule for row in rows for b in row[0].broken}) or 'none'}",
            flush=True,
        )


if __name__ == "__main__":
    main()
