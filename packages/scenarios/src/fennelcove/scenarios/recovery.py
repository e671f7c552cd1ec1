"""How a fleet recovered from power losses and at what cost, from what passed on the sockets."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from fennelcove.emulators.recorder import Record

STATUS_SERVED, STATUS_THROTTLED = 201, 503
BEFORE_S = 6  # window for the service before a fault
RECOVERED_SHARE = 0.9  # share of the service before the fault that counts as recovered
AFTER_S = 3  # window for the service after it, since single seconds vary by chance
FIRST_S = 30


class Second(msgspec.Struct, frozen=True):
    """The requests and outcomes of one second; benefit is that of the sessions that were served."""

    at_s: int
    asked: int
    played: int
    refused: int  # throttled or terminated
    unanswered: int
    benefit: float = 0.0
    held: int = 0  # sessions playing at servers at the end of the second
    places: int = 0  # session capacity of all running servers


class Recovery(msgspec.Struct, frozen=True):
    """The recovery from one fault; times in seconds."""

    trouble: str
    at_s: float
    before: float  # set-ups served per second before it
    back_after_s: float | None  # until `RECOVERED_SHARE` of that was reached again; None: never in this run
    bound_s: float  # lower bound of that, from the warm-up of the servers alone
    first_share: float  # set-ups served in the first 30 s, over those in the same time before the fault


class Fleet(msgspec.Struct, frozen=True):
    """The figures of a fleet; costs are per request of a client."""

    seconds: list[Second]
    returns: list[Recovery]
    pushed_over: int
    joins: float
    connections: float  # opened by fronts to servers and the list service
    list_calls: float
    datagrams: float


def began_us(records: list[Record]) -> int:
    """When the scenario began."""
    times: dict[str, int] = {}
    for record in records:
        times.setdefault(record["what"], record["t_us"])
    return times.get("day_began", times.get("front_started", 0))


def seconds(records: list[Record]) -> list[Second]:
    """Requests and outcomes in each second of the run."""
    since_us = began_us(records)
    benefits = {
        room_type["name"]: room_type["benefit"]
        for r in records
        if r["what"] == "terms"
        for room_type in r["room_types"]
    }
    room_types = {(r["viewer"], r["number"]): r["room_type"] for r in records if r["what"] == "asked"}
    counts: dict[int, list[float]] = {}
    for record in records:
        what, at = record["what"], (record["t_us"] - since_us) // 1_000_000
        if what not in ("asked", "answered", "unanswered") or at < 0:
            continue
        row = counts.setdefault(at, [0, 0, 0, 0, 0.0])
        if what == "asked":
            row[0] += 1
        elif what == "unanswered":
            row[3] += record["how"] != "hung_up"
        elif record["status"] == STATUS_SERVED:
            row[1] += 1
            row[4] += benefits.get(room_types.get((record["viewer"], record["number"]), ""), 0.0)
        else:
            row[2] += 1
    usage = session_usage(records, since_us)
    rows = [(at, counts.get(at, [0] * 5)) for at in range(max(counts, default=-1) + 1)]
    return [
        Second(
            at,
            int(asked),
            int(played),
            int(refused),
            int(unanswered),
            round(benefit, 3),
            *usage.get(at, (0, 0)),
        )
        for at, (asked, played, refused, unanswered, benefit) in rows
    ]


def session_usage(records: list[Record], since_us: int) -> dict[int, tuple[int, int]]:
    """For each second, the sessions playing at its end and the capacity of the running servers."""
    streams = {r["box"]: r["streams"] for r in records if r["what"] == "box"}
    up = dict.fromkeys(streams, True)
    playing: dict[str, set[tuple[str, int]]] = {server: set() for server in streams}
    found: dict[int, tuple[int, int]] = {}
    at = 0
    for record in records:
        while (record["t_us"] - since_us) // 1_000_000 > at:
            found[at] = (
                sum(map(len, playing.values())),
                sum(n for server, n in streams.items() if up[server]),
            )
            at += 1
        what, server = record["what"], str(record.get("box"))
        if what == "set_up_over" and record["how"] == "started":
            playing[server].add((record["subscription"], record["join"]))
        elif what in ("released", "ended"):
            playing[server].discard((record["subscription"], record["join"]))
        elif what in ("box_died", "box_started"):
            playing[server].clear()
            up[server] = what == "box_started"
    return found


def recoveries(records: list[Record], found: list[Second]) -> Iterator[Recovery]:
    """Yield the recovery from each power loss."""
    since_us = began_us(records)
    played = [second.played for second in found]
    times = [(r["t_us"] - since_us) / 1e6 for r in records if r["what"] == "power"]
    for i, at_s in enumerate(times):
        first = int(at_s) + 1  # the second of the fault belongs to both periods
        before = played[max(0, first - 1 - BEFORE_S) : first - 1]
        mean = sum(before) / max(1, len(before))
        until = int(times[i + 1]) if i + 1 < len(times) else len(played)
        recovered_s = None
        for at in range(first, until - AFTER_S + 1):
            if mean and sum(played[at : at + AFTER_S]) / AFTER_S >= RECOVERED_SHARE * mean:
                recovered_s = float(at - at_s)
                break
        share = sum(played[first : min(until, first + FIRST_S)]) / max(1e-9, mean * FIRST_S)
        bound = warm_up_bound_s(records, at_s, mean)
        yield Recovery("power", round(at_s, 2), round(mean, 2), recovered_s, round(bound, 2), round(share, 3))


def warm_up_bound_s(records: list[Record], at_s: float, mean: float) -> float:
    """The earliest time after a fault at which restarted servers could accept enough set-ups.

    That is `RECOVERED_SHARE` of the former rate; each server accepts set-ups at the pace to which it has
    warmed up.
    """
    since_us = began_us(records)
    terms = next(r for r in records if r["what"] == "terms")
    ramp_s, cold = terms["ramp_ms"] / 1000, terms["start_capacity"]
    streams = {r["box"]: r["streams"] for r in records if r["what"] == "box"}
    down = {
        r["box"] for r in records if r["what"] == "box_died" and (r["t_us"] - since_us) / 1e6 >= at_s - 0.5
    }
    starts = {
        r["box"]: (r["t_us"] - since_us) / 1e6
        for r in records
        if r["what"] == "box_started" and (r["t_us"] - since_us) / 1e6 >= at_s
    }
    if not ramp_s or not mean:
        return 0.0

    def pace(at: float) -> float:
        total = 0.0
        for server, capacity in streams.items():
            if server not in down:
                return float("inf")
            if server in starts and at >= starts[server]:
                warmth = min(1.0, cold + (1 - cold) * (at - starts[server]) / ramp_s)
                total += capacity / ramp_s * warmth if warmth < 1 else float("inf")
        return total

    step = at_s
    while step < at_s + 600:
        if pace(step) >= RECOVERED_SHARE * mean:
            return step - at_s
        step += 0.05
    return 600.0


def fleet_figures(records: list[Record]) -> Fleet:
    """Compute the figures of the fleet."""
    found = seconds(records)
    asked = max(1, sum(second.asked for second in found))
    carried = next((r for r in records if r["what"] == "carried"), {})

    def count(*parts: str) -> int:
        return sum(n for name, n in carried.items() if isinstance(n, int) and name in parts)

    return Fleet(
        found,
        list(recoveries(records, found)),
        sum(1 for r in records if r["what"] == "fell"),
        round(sum(1 for r in records if r["what"] == "set_up") / asked, 3),
        round(count("connections fronts boxes", "connections fronts lists") / asked, 3),
        round(count("connections fronts lists") / asked, 3),
        round(count("datagrams fronts fronts") / asked, 3),
    )


def format_figures(figures: Fleet) -> Iterator[str]:
    """Format the figures for the command line, one per line."""
    for recovery in figures.returns:
        when = "not in this run" if recovery.back_after_s is None else f"after {recovery.back_after_s:.1f} s"
        yield (
            f"power loss at {recovery.at_s:.1f} s, at {recovery.before:.1f} set-ups per second; "
            f"{RECOVERED_SHARE:.0%} of that reached {when} (bound by the servers' warm-up: "
            f"{recovery.bound_s:.1f} s); share served in the first 30 s {recovery.first_share:.2f}"
        )
    if figures.connections:
        yield (
            f"per request {figures.joins:.2f} attempts, {figures.connections:.2f} connections, "
            f"{figures.list_calls:.3f} list requests, {figures.datagrams:.2f} datagrams; "
            f"{figures.pushed_over} servers crashed from overload"
        )
    yield "second: requests, served, refused, without response; sessions playing of capacity"
    for second in figures.seconds:
        parts = (second.asked, second.played, second.refused, second.unanswered)
        counted = " ".join(f"{part:4d}" for part in parts)
        yield f"{second.at_s:4d}: {counted}   {second.held:4d} of {second.places}"
