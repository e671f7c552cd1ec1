"""Rolling replacement of servers, with session migration and without, which breaks sessions when drained.

    python benchmarks/session_migration.py [--boxes 12] [--players 200] [--seconds 60] [--replace-every 1.0]

Runs one generated scenario twice with the same seed, with migrations and without: titles with a splice every
second segment; one server after another drains, is unlisted and down two seconds later, and a cold one
replaces it. Prints splices, migrations, stalls by cause, lost sessions, and the delivered share: the utility
of the segments served over the utility of complete titles at the top rung.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections import Counter
from typing import Any

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import check_recording
from fennelcove.scenarios.player import ScenarioRunner
from fennelcove.scenarios.script import Crowd, FaultSpec, PlaylistChange, Scenario, ServerSpec, read
from fennelcove.settings.schema import MediaSettings, Title

ARRIVE_S = 10.0
SEGMENT_S = 2.002
CLIP_S = 6 / 7


def build_scenario(server_count: int, players: int, seconds: float, every_s: float, moves: int) -> Scenario:
    """Build the scenario: titles that last to its end, replacements once all clients have arrived."""
    scenario = read("stitch-drain")
    front = scenario.front
    count = int((seconds - ARRIVE_S) / (SEGMENT_S + CLIP_S / 2))
    media = MediaSettings(timescale=30_000, segment_ticks=60_060, segments=count)
    clip = MediaSettings(timescale=7, segment_ticks=6, segments=1)
    front = msgspec.structs.replace(
        front,
        titles=[
            Title(name="lesson", cells=6, media=media),
            Title(name="rest", cells=6, media=clip),
            Title(name="slate", cells=6, media=clip),
        ],
        fleet=msgspec.structs.replace(
            front.fleet, all_links_kb=12_000.0 * server_count, uplink_kb=8000.0 * server_count
        ),
        stitch=msgspec.structs.replace(front.stitch, moves_at_once=moves),
        # The attempt budget would be the first limit; the built-in scenarios measure it.
        rules=msgspec.structs.replace(front.rules, budget_free=None, budget_span_ms=0.0),
        limits=msgspec.structs.replace(front.limits, connections=4000, waiting=2000, silent_ms=12_000.0),
    )
    server_specs = [
        ServerSpec(cell=i % 6, zone="hall-a", kind="four-core", link_kb=12_000.0) for i in range(server_count)
    ]
    crowd = Crowd(
        room_type="recorded",
        titles=["lesson"],
        per_s=players / (ARRIVE_S - 2),
        to_s=ARRIVE_S - 2,
        watch_s=2 * seconds,
        timeout_s=1.5,
        retries=1,
        plays=True,
        top_rung=1,
    )
    replaced = int((seconds - ARRIVE_S - 5) / every_s)
    fault_specs = [
        FaultSpec(at_s=ARRIVE_S + every_s * i, what="replace", box=i, for_s=2.0) for i in range(replaced)
    ]
    changes = [
        PlaylistChange(
            at_s=0.2, kind="insert", id=f"c{i}", title="lesson", clip="rest", at=str((2 + 2 * i) * SEGMENT_S)
        )
        for i in range(count // 2 - 1)
    ]
    late_change = PlaylistChange(
        at_s=ARRIVE_S + 5, kind="insert", id="late", title="lesson", clip="rest", wall_in_s=0.5
    )
    return msgspec.structs.replace(
        scenario,
        name=f"moving-{server_count}",
        seconds=seconds,
        service_floor=0.0,
        stall_limit_ms=None,
        front=front,
        boxes=server_specs,
        crowds=[crowd],
        troubles=fault_specs,
        changes=[*changes, late_change],
        rig=msgspec.structs.replace(scenario.rig, uplink_kb=8000.0 * server_count),
    )


def stall_causes(records: list[Record]) -> Counter[str]:
    """Count stalls by their cause, and apart those over a frame interval of 40 ms."""
    found: Counter[str] = Counter()
    for record in records:
        if record["what"] == "stall":
            cause = "splice" if record["seam"] else "migration" if record["moved"] else "between splices"
            found[cause + (" over a frame" if record["ms"] > 40 else "")] += 1
    return found


def delivered_share(records: list[Record], scenario: Scenario) -> float:
    """The utility of the segments served over that of complete titles at the top rung requested."""
    utilities = [rung.worth for rung in scenario.front.ladder]
    lengths = {"lesson": SEGMENT_S, "rest": CLIP_S, "slate": CLIP_S}
    served_utility = sum(
        utilities[r["rung"]] * lengths[r["media"]] for r in records if r["what"] == "media" and r["held"]
    )
    players = sum(1 for r in records if r["what"] == "asked" and r["number"] == 0)
    lesson = scenario.front.titles[0].media
    assert lesson is not None and lesson.segments is not None
    clips = sum(1 for change in scenario.changes if change.clip)
    return served_utility / (players * utilities[1] * (lesson.segments * SEGMENT_S + clips * CLIP_S))


def change_latency(records: list[Record], change: str) -> tuple[int, float, float]:
    """How many players received a change; median and longest latency from its submission, in seconds."""
    submitted_us = next((r["t_us"] for r in records if r["what"] == "change" and r["id"] == change), None)
    times = sorted(r["t_us"] for r in records if r["what"] == "sees" and r["change"] == change)
    if submitted_us is None or not times:
        return 0, 0.0, 0.0
    return len(times), (times[len(times) // 2] - submitted_us) / 1e6, (times[-1] - submitted_us) / 1e6


def main() -> None:
    """Run the scenario with and without migrations."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--boxes", type=int, default=12)
    parser.add_argument("--players", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--replace-every", type=float, default=1.0)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {options.boxes} servers")
    for moves in (8, 0):
        scenario = build_scenario(
            options.boxes, options.players, options.seconds, options.replace_every, moves
        )
        records: list[dict[str, Any]] = ScenarioRunner(scenario, 1).play()
        verdict = check_recording(records)
        repeated = [r for r in records if r["what"] == "set_up" and r["join"] > 0]
        ended = sum(r["ended"] for r in records if r["what"] == "played")
        receivers, median_s, longest_s = change_latency(records, "late")
        print(
            f"{'migrations' if moves else 'none':10}: {verdict.requests} requests, service "
            f"{verdict.service:.3f}, delivered {delivered_share(records, scenario):.3f}, "
            f"lost {verdict.lost}, titles played to the end {ended}, splices {verdict.seams}, "
            f"second set-ups {len(repeated)}, migrations {verdict.moves}, "
            f"stalls {dict(stall_causes(records))}, longest {verdict.longest_stall_ms:.0f} ms, "
            f"rules broken {len([b for b in verdict.broken if b.rule < 7])}, listed and not served "
            f"{len([b for b in verdict.broken if b.rule == 7])}; an immediate change was received by "
            f"{receivers} players, median after {median_s:.2f} s, the last after {longest_s:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
