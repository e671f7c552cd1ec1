"""Rolling replacement of boxes with moves beside the earlier version, which lets drained subscriptions break.

    python benchmarks/moving.py [--boxes 12] [--players 200] [--seconds 60] [--replace-every 1.0]

Plays one generated day twice, with moves and without, with the same seed: lessons stitched every second
segment; one box after another drains, is off the list and dead two seconds later, and a cold one stands in
its place. Prints seams, moves, stalls by cause, what was lost, and what was delivered: the worth of the
segments that boxes served over the worth of whole lessons at the top rung.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections import Counter
from typing import Any

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.checker import judge
from fennelcove.scenarios.player import DayPlayer
from fennelcove.scenarios.script import Crowd, Day, FaultSpec, PlaylistChange, ServerSpec, read
from fennelcove.settings.schema import MediaSettings, Title

ARRIVE_S = 10.0
SEGMENT_S = 2.002
CLIP_S = 6 / 7


def generated(boxes: int, players: int, seconds: float, every_s: float, moves: int) -> Day:
    """The day: lessons that last to its end, replacements from when all have come."""
    day = read("stitch-drain")
    front = day.front
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
        fleet=msgspec.structs.replace(front.fleet, all_links_kb=12_000.0 * boxes, uplink_kb=8000.0 * boxes),
        stitch=msgspec.structs.replace(front.stitch, moves_at_once=moves),
        # The join budget would bind before anything else: it is measured by the days.
        rules=msgspec.structs.replace(front.rules, budget_free=None, budget_span_ms=0.0),
        limits=msgspec.structs.replace(front.limits, connections=4000, waiting=2000, silent_ms=12_000.0),
    )
    lines = [ServerSpec(cell=i % 6, zone="hall-a", kind="four-core", link_kb=12_000.0) for i in range(boxes)]
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
    troubles = [
        FaultSpec(at_s=ARRIVE_S + every_s * i, what="replace", box=i, for_s=2.0) for i in range(replaced)
    ]
    changes = [
        PlaylistChange(
            at_s=0.2, kind="insert", id=f"c{i}", title="lesson", clip="rest", at=str((2 + 2 * i) * SEGMENT_S)
        )
        for i in range(count // 2 - 1)
    ]
    late = PlaylistChange(
        at_s=ARRIVE_S + 5, kind="insert", id="late", title="lesson", clip="rest", wall_in_s=0.5
    )
    return msgspec.structs.replace(
        day,
        name=f"moving-{boxes}",
        seconds=seconds,
        service_floor=0.0,
        stall_limit_ms=None,
        front=front,
        boxes=lines,
        crowds=[crowd],
        troubles=troubles,
        changes=[*changes, late],
        rig=msgspec.structs.replace(day.rig, uplink_kb=8000.0 * boxes),
    )


def causes(records: list[Record]) -> Counter[str]:
    """Stalls by what they fell on; a frame interval is 40 ms."""
    found: Counter[str] = Counter()
    for record in records:
        if record["what"] == "stall":
            cause = "seam" if record["seam"] else "move" if record["moved"] else "between"
            found[cause + (" over a frame" if record["ms"] > 40 else "")] += 1
    return found


def delivered(records: list[Record], day: Day) -> float:
    """The worth of what was served over that of whole lessons at the top rung asked for."""
    worth = [rung.worth for rung in day.front.ladder]
    lengths = {"lesson": SEGMENT_S, "rest": CLIP_S, "slate": CLIP_S}
    had = sum(worth[r["rung"]] * lengths[r["media"]] for r in records if r["what"] == "media" and r["held"])
    players = sum(1 for r in records if r["what"] == "asked" and r["number"] == 0)
    lesson = day.front.titles[0].media
    assert lesson is not None and lesson.segments is not None
    clips = sum(1 for change in day.changes if change.clip)
    return had / (players * worth[1] * (lesson.segments * SEGMENT_S + clips * CLIP_S))


def seen_after(records: list[Record], change: str) -> tuple[int, float, float]:
    """How many players saw a change, and the median and longest time from when it was made, in seconds."""
    made = next((r["t_us"] for r in records if r["what"] == "change" and r["id"] == change), None)
    times = sorted(r["t_us"] for r in records if r["what"] == "sees" and r["change"] == change)
    if made is None or not times:
        return 0, 0.0, 0.0
    return len(times), (times[len(times) // 2] - made) / 1e6, (times[-1] - made) / 1e6


def main() -> None:
    """Both runs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--boxes", type=int, default=12)
    parser.add_argument("--players", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--replace-every", type=float, default=1.0)
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {options.boxes} boxes")
    for moves in (8, 0):
        day = generated(options.boxes, options.players, options.seconds, options.replace_every, moves)
        records: list[dict[str, Any]] = DayPlayer(day, 1).play()
        verdict = judge(records)
        again = [r for r in records if r["what"] == "set_up" and r["join"] > 0]
        ended = sum(r["ended"] for r in records if r["what"] == "played")
        seen, median_s, longest_s = seen_after(records, "late")
        print(
            f"{'moves' if moves else 'none ':5}: {verdict.requests} requests, service {verdict.service:.3f}, "
            f"delivered {delivered(records, day):.3f}, lost {verdict.lost}, lessons ended {ended}, "
            f"seams {verdict.seams}, second set-ups {len(again)}, changes of box {verdict.moves}, "
            f"stalls {dict(causes(records))}, longest {verdict.longest_stall_ms:.0f} ms, "
            f"rules broken {len([b for b in verdict.broken if b.rule < 7])}, listed and not had "
            f"{len([b for b in verdict.broken if b.rule == 7])}; a change for this moment was seen by {seen} "
            f"players, median after {median_s:.2f} s, the last after {longest_s:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
