"""Each tenant's share of the servers' slots, checked against the scenario's limits.

It is derived from what passed on the sockets of servers and clients, not from what fronts report.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from statistics import median
from typing import Any

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.exemptions import SLACK_US

# Beside the six rules: attempts in flight at a server over all fronts; waits of other tenants; the share of
# their clients that is served; a fault that the scenario requires did not occur.
SLOTS = 10
WAITS = 11
PARTS = 12
STRUCK = 13
PLAYS = 201
TIMES = 3  # the hog must send at least this multiple of another tenant's requests


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one tenant, from when the hog arrives."""

    name: str
    asked: int
    served: float  # the share of its clients that were served, at the first try or a retry
    wait_p50_ms: float  # from the request until the attempt reaches its server
    wait_p99_ms: float
    slot_s: float


class Tenants(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of all tenants."""

    tenants: list[Tenant]
    most_out: int  # most attempts in flight at one server, over all fronts
    slots: int


@dataclass(slots=True)
class Fault:
    """One violation; `name` is a session or a tenant."""

    rule: int
    t_us: int
    name: str
    reason: str


@dataclass(slots=True)
class Found:
    """The figures and the violations."""

    shown: Tenants
    faults: list[Fault] = field(default_factory=list)


@dataclass(slots=True)
class _Join:
    box: str
    front: str
    began: int
    over: int | None = None
    how: str = ""


def tenants(records: list[Record]) -> Found:
    """Compute and check the figures of all tenants."""
    terms = next(record for record in records if record["what"] == "terms")["tenants"]
    began_us = next(record["t_us"] for record in records if record["what"] == "day_began")
    from_us = began_us + round(terms["from_s"] * 1e6)
    asked = {(r["viewer"], r["number"]): r for r in records if r["what"] == "asked"}
    whose, joins = _joins(records, asked)
    rows = _rows(records, asked, whose, joins, from_us)
    most, crowded = _out(joins, terms["slots"])
    found = Found(Tenants(tenants=rows, most_out=most, slots=terms["slots"]), crowded)
    _bounds(found, terms, from_us)
    _struck(found, terms, records, joins, asked)
    return found


def _joins(
    records: list[Record], asked: dict[tuple[str, int], Record]
) -> tuple[dict[str, Record], dict[str, list[_Join]]]:
    whose: dict[str, Record] = {}
    joins: dict[str, list[_Join]] = defaultdict(list)
    for record in records:
        if record["what"] == "answered" and record.get("subscription"):
            whose[record["subscription"]] = asked[record["viewer"], record["number"]]
        elif record["what"] == "set_up":
            joins[record["subscription"]].append(_Join(record["box"], record["front"], record["t_us"]))
        elif record["what"] == "set_up_over":
            for join in reversed(joins[record["subscription"]]):
                if join.box == record["box"] and join.over is None:
                    join.over, join.how = record["t_us"], record["how"]
                    break
    return whose, joins


def _stopped(records: list[Record]) -> dict[str, list[tuple[int, int]]]:
    """When each front was paused, by its address for clients; requests to it then wait for no slot."""
    addresses = {r["front"]: r["address"] for r in records if r["what"] == "front_started"}
    found: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for record in records:
        if record["what"] == "front_paused":
            found[addresses[record["front"]]].append((record["t_us"], records[-1]["t_us"]))
        elif record["what"] == "front_continued":
            spans = found[addresses[record["front"]]]
            spans[-1] = spans[-1][0], record["t_us"] + SLACK_US
    return found


def _rows(
    records: list[Record],
    asked: dict[tuple[str, int], Record],
    whose: dict[str, Record],
    joins: dict[str, list[_Join]],
    from_us: int,
) -> list[Tenant]:
    stopped = _stopped(records)
    waits, slot_us = defaultdict[str, list[int]](list), defaultdict[str, int](int)
    for id, found in joins.items():
        ask = whose.get(id)
        if ask is None:
            continue  # its client received no response, so its tenant is unknown
        tenant = ask["tenant"]
        still = any(
            since < found[0].began and ask["t_us"] < until for since, until in stopped.get(ask["front"], ())
        )
        if ask["t_us"] >= from_us and not still:
            waits[tenant].append(found[0].began - ask["t_us"])
        slot_us[tenant] += sum(
            max(0, join.over - max(join.began, from_us)) for join in found if join.over is not None
        )
    viewers, played = defaultdict[str, set[str]](set), defaultdict[str, set[str]](set)
    hung = {r["viewer"] for r in records if r["what"] == "unanswered" and r["how"] == "hung_up"}
    for (viewer, number), ask in asked.items():
        if number == 0 and ask["t_us"] >= from_us and viewer not in hung:
            viewers[ask["tenant"]].add(viewer)
    for record in records:
        if record["what"] == "answered" and record["status"] == PLAYS:
            tenant = asked[record["viewer"], record["number"]]["tenant"]
            if record["viewer"] in viewers[tenant]:
                played[tenant].add(record["viewer"])
    rows = []
    for tenant in sorted(viewers):
        times = sorted(waits[tenant]) or [0]
        rows.append(
            Tenant(
                name=tenant,
                asked=sum(1 for ask in asked.values() if ask["tenant"] == tenant and ask["t_us"] >= from_us),
                served=round(len(played[tenant]) / len(viewers[tenant]), 4),
                wait_p50_ms=times[len(times) // 2] / 1000,
                wait_p99_ms=times[min(len(times) - 1, len(times) * 99 // 100)] / 1000,
                slot_s=round(slot_us[tenant] / 1e6, 3),
            )
        )
    return rows


def _out(joins: dict[str, list[_Join]], slots: int) -> tuple[int, list[Fault]]:
    """The most attempts in flight at one server, and a violation for each moment with more than its slots."""
    moves: dict[str, list[tuple[int, int, str]]] = defaultdict(list)
    for id, found in joins.items():
        for join in found:
            over = join.over if join.over is not None else join.began
            if join.how == "front_closed":
                over -= SLACK_US  # the server notices the cancellation late
            moves[join.box].append((join.began, 1, id))
            moves[join.box].append((max(join.began, over), -1, id))
    most, faults = 0, []
    for box, changes in moves.items():
        out = 0
        for t_us, change, id in sorted(changes):
            out += change
            most = max(most, out)
            if change > 0 and out > slots:
                faults.append(
                    Fault(SLOTS, t_us, id, f"{out} attempts in flight at {box}, which has {slots} slots")
                )
    return most, faults


def _bounds(found: Found, terms: dict[str, Any], from_us: int) -> None:
    for row in found.shown.tenants:
        if row.name == terms["hog"]:
            continue
        if row.served < terms["served"]:
            found.faults.append(
                Fault(
                    PARTS, from_us, row.name, f"served {row.served}, at least {terms['served']} is required"
                )
            )
        if row.wait_p99_ms > terms["wait_ms"]:
            found.faults.append(
                Fault(
                    WAITS,
                    from_us,
                    row.name,
                    f"waits of {row.wait_p99_ms} ms (p99), at most {terms['wait_ms']} are allowed",
                )
            )


def _struck(
    found: Found,
    terms: dict[str, Any],
    records: list[Record],
    joins: dict[str, list[_Join]],
    asked: dict[tuple[str, int], Record],
) -> None:
    """Check that the overload and the faults of the scenario occurred."""
    end_us = records[-1]["t_us"]

    def missing(reason: str) -> None:
        found.faults.append(Fault(STRUCK, end_us, terms["hog"], reason))

    hog = next((row.asked for row in found.shown.tenants if row.name == terms["hog"]), 0)
    others = [row.asked for row in found.shown.tenants if row.name != terms["hog"]]
    if not others or hog < TIMES * median(others):
        missing(f"the hog sent {hog} requests, the other tenants {others}")
    if found.shown.most_out < min(terms["slots"], terms["fills"]):
        missing(
            f"never more than {found.shown.most_out} of {found.shown.slots} slots of a server were in use"
        )
    if terms["cut"]:
        carried = [record for record in records if record["what"] == "fault" and record["on"]]
        if not carried:
            missing("no network fault was injected")
    if terms["hops"]:
        fronts = {ask["front"] for ask in asked.values() if ask["tenant"] == terms["hog"]}
        if len(fronts) < 2:
            missing("the hog used one front only")
    if terms["stopped"]:
        stops = [record for record in records if record["what"] == "front_paused"]
        held = [
            join
            for all_ in joins.values()
            for join in all_
            for stop in stops
            if join.front == stop["front"] and join.began <= stop["t_us"] <= (join.over or end_us)
        ]
        if not held:
            missing("no front was paused while it used slots")
