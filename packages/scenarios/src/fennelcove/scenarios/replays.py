"""Replays of retry storms from recordings, and explanations of a front's decisions from its log."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from fennelcove.emulators.clients import ClientBehavior
from fennelcove.emulators.recorder import Record

EXPLANATIONS = {
    "first": "a first try beyond the admission rate",
    "again": "a retry without a place in the waiting room",
    "early": "it came before its place was due, and keeps it",
    "due": "its place was due, but the admission rate was used up",
    "late": "its place had expired, and the admission rate was used up",
    "invented": "its place was made up, issued to another client, or used before",
}


def arrivals(
    records: Iterable[Record], retries: int, watch_s: float
) -> Iterator[tuple[float, str, ClientBehavior]]:
    """Yield time, client and habits of each first try of a recording; the clients retry by themselves."""
    began_us: int | None = None
    for record in records:
        if record["what"] == "front_started" and began_us is None:
            began_us = record["t_us"]
        if record["what"] == "asked" and record["number"] == 0:
            at_s = max(0.0, (record["t_us"] - (began_us or 0)) / 1e6)
            yield (
                at_s,
                str(record["viewer"]),
                ClientBehavior(
                    room_type=record["room_type"],
                    title=record["title"],
                    timeout_s=record["timeout_ms"] / 1000,
                    watch_s=watch_s,
                    retries=retries,
                ),
            )


def explained(lines: Iterable[dict[str, Any]]) -> Iterator[str]:
    """Explain a front's log: a line for each phase change of a storm and each client rejected by it."""
    rejections: Counter[str] = Counter()
    for line in lines:
        event, at = line.get("event"), str(line.get("timestamp", ""))[11:23]
        if event == "storm_phase":
            asked, usual, refused = (line.get(name) for name in ("asked", "usual", "refused"))
            yield (
                f"{at} {line.get('was')} -> {line.get('phase')}: {asked} asked in the last window "
                f"(usual {usual}), {refused} refused; set-ups served per second {line.get('pace')}"
            )
        elif event == "subscription_turned_away" and line.get("standing"):
            standing = str(line["standing"])
            rejections[standing] += 1
            wait_s = float(line.get("wait_ms", 0)) / 1000
            client = line.get("client") or "a client without a name"
            yield f"{at} {client}: {EXPLANATIONS.get(standing, standing)}; retry after {wait_s:.1f} s"
    total = sum(rejections.values())
    if total:
        parts = ", ".join(
            f"{count} {EXPLANATIONS.get(name, name)}" for name, count in rejections.most_common()
        )
        yield f"turned away at the door with a place: {total} ({parts})"


def series(records: list[Record]) -> dict[str, list[tuple[float, float]]]:
    """The data series of a storm's plots, each as points of second and value."""
    asked: Counter[int] = Counter()
    answers: dict[str, Counter[int]] = {"played": Counter(), "throttled": Counter(), "terminated": Counter()}
    load: Counter[int] = Counter()
    waits: list[tuple[float, float]] = []
    for record in records:
        second, what = record["t_us"] // 1_000_000, record["what"]
        if what == "asked":
            asked[second] += 1
        elif what == "answered":
            name = {201: "played", 503: "throttled"}.get(record["status"], "terminated")
            answers[name][second] += 1
            if record.get("wait_ms") is not None:
                waits.append((record["t_us"] / 1e6, record["wait_ms"] / 1000))
        elif what == "set_up":
            load[second] += 1
    last = max([*asked, *load, 0])

    def points(counted: Counter[int]) -> list[tuple[float, float]]:
        return [(float(second), float(counted[second])) for second in range(last + 1)]

    found = {"asked": points(asked), "set-ups at boxes": points(load), "come-back times told": waits}
    found |= {name: points(counted) for name, counted in answers.items()}
    return found
