"""Many players of one live title cross a splice at the same time: do their fetches cause a retry storm?

    python benchmarks/live_splice.py [--players 200] [--seconds 40]

Inserts three clips into a live title, each at a moment that all its players reach together; the only fast
server with one of the clips goes down just before the second splice. Prints segments, retried fetches and
splices in each second, stalls by cause, and when the last player received the change.
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
from fennelcove.scenarios.script import Crowd, FaultSpec, PlaylistChange, Scenario, ServerSpec, read
from fennelcove.settings.schema import MediaSettings, Title

from benchmarks.session_migration import change_latency, stall_causes

ARRIVE_S = 10.0
SPLICES_S = (16.0, 24.0, 32.0)


def build_scenario(players: int, seconds: float) -> Scenario:
    """Build the scenario."""
    scenario = read("stitch-drain")
    front = msgspec.structs.replace(
        scenario.front,
        titles=[
            Title(name="lesson", cells=6, media=MediaSettings(segment_ticks=2000)),
            Title(name="rest", cells=2, media=MediaSettings(timescale=7, segment_ticks=6, segments=2)),
            Title(name="slate", cells=6, media=MediaSettings(segment_ticks=1000, segments=1)),
        ],
        fleet=msgspec.structs.replace(scenario.front.fleet, all_links_kb=144_000.0, uplink_kb=96_000.0),
        rules=msgspec.structs.replace(scenario.front.rules, budget_free=None, budget_span_ms=0.0),
        limits=msgspec.structs.replace(
            scenario.front.limits, connections=4000, waiting=2000, silent_ms=12_000.0
        ),
    )
    server_specs = [
        ServerSpec(cell=i % 6, zone="hall-a", kind="four-core", link_kb=12_000.0) for i in range(12)
    ]
    crowd = Crowd(
        room_type="live",
        titles=["lesson"],
        per_s=players / (ARRIVE_S - 2),
        to_s=ARRIVE_S - 2,
        watch_s=seconds - 4,
        timeout_s=2.0,
        retries=1,
        plays=True,
        top_rung=1,
    )
    changes = [
        PlaylistChange(at_s=at_s - 4, kind="insert", id=f"c{i}", title="lesson", clip="rest", wall_in_s=4.0)
        for i, at_s in enumerate(SPLICES_S)
    ]
    server_crash = FaultSpec(at_s=SPLICES_S[1] - 0.5, what="die", box=0)
    return msgspec.structs.replace(
        scenario,
        name="live-seam",
        seconds=seconds,
        service_floor=0.0,
        stall_limit_ms=None,
        front=front,
        boxes=server_specs,
        crowds=[crowd],
        troubles=[server_crash],
        changes=changes,
        rig=msgspec.structs.replace(scenario.rig, uplink_kb=96_000.0),
    )


def main() -> None:
    """Run the scenario and print its figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--players", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args()
    scenario = build_scenario(options.players, options.seconds)
    records: list[dict[str, Any]] = ScenarioRunner(scenario, 1).play()
    verdict = check_recording(records)
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {options.players} players")
    began_us = min(r["t_us"] for r in records if r["what"] == "asked")
    # Segments served and fetches retried in each second; each segment follows one request to a front.
    served = Counter((r["t_us"] - began_us) // 1_000_000 for r in records if r["what"] == "media")
    retries = Counter((r["t_us"] - began_us) // 1_000_000 for r in records if r["what"] == "tried_again")
    splices = Counter((r["t_us"] - began_us) // 1_000_000 for r in records if r["what"] == "seam")
    print("second: segments served / fetches retried / splices crossed")
    for second in range(int(options.seconds)):
        print(f"{second:3}: {served[second]:4} / {retries[second]:4} / {splices[second]:4}")
    for i in range(len(SPLICES_S)):
        count, median_s, longest_s = change_latency(records, f"c{i}")
        print(f"c{i}: received by {count}, median after {median_s:.2f} s, the last after {longest_s:.2f} s")
    print(
        f"{verdict.requests} requests, {verdict.seams} splices, migrations {verdict.moves}, lost "
        f"{verdict.lost}, stalls {dict(stall_causes(records))}, longest {verdict.longest_stall_ms:.0f} ms, "
        f"rules broken {len([b for b in verdict.broken if b.rule < 7])}, listed and not served "
        f"{len([b for b in verdict.broken if b.rule == 7])}"
    )


if __name__ == "__main__":
    main()
