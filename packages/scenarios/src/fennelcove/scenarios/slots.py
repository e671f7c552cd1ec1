"""Joins out at each box over all fronts, from the boxes' own records and nothing that a front says.

A join is out from when a box has read it until the box is done with it. One that its front gave up may be
noticed a moment later than the next one comes: it counts as over a little earlier.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from fennelcove.emulators.recorder import Record

OVER = 12  # no rule of the six: more joins out at a box than its knee bears
STRUCK = 11  # what the day was played for did not happen
LATE = 13  # too many joins that were given up
NOTICE_US = 100_000
GIVEN_UP = ("front_closed", "silent")


@dataclass(frozen=True, slots=True)
class Fault:
    """What the judge has to hold against a day."""

    rule: int
    t_us: int
    box: str
    reason: str


class Slots(msgspec.Struct, frozen=True):
    """What a day of slots came to."""

    joins: int
    late: float  # the share that fronts gave up
    most: dict[str, int]  # out at once at each box, past the time to learn
    over: float  # the largest of them over the knee at the time


def _moments(records: list[Record]) -> Iterator[tuple[int, int, str, int]]:
    """When, what first of one moment, box, and the change of joins out, or the new knee."""
    for record in records:
        if record["what"] == "set_up":
            yield record["t_us"], 1, record["box"], 1
        elif record["what"] == "set_up_over":
            early_us = NOTICE_US if record["how"] in GIVEN_UP else 0
            yield record["t_us"] - early_us, 0, record["box"], -1
        elif record["what"] == "knee":
            yield record["t_us"], 2, record["box"], record["knee"]


def slots(records: list[Record]) -> tuple[Slots, list[Fault]]:
    """What the boxes saw, and what is held against it."""
    terms = next(record for record in records if record["what"] == "terms")
    told, names = terms["slots"], terms["troubles"]
    learn_us = round(told["learn_s"] * 1e6)
    out: dict[str, int] = {}
    knee: dict[str, int] = {}
    since: dict[str, int] = {}
    most: dict[str, int] = {}
    faults: list[Fault] = []
    worst = 0.0
    began_us = next((record["t_us"] for record in records if record["what"] == "day_began"), 0)
    for t_us, what, box, number in sorted(_moments(records)):
        if what == 2:
            knee[box], since[box] = number, t_us
            continue
        out[box] = max(0, out.get(box, 0) + number)
        if box not in knee or t_us < max(began_us, since[box]) + learn_us:
            continue
        most[box] = max(most.get(box, 0), out[box])
        over = out[box] / knee[box]
        if number > 0 and over > told["over"] and over > worst:
            reason = (
                f"{out[box]} joins out at a box with a knee of {knee[box]}, {told['over']:g} times will do"
            )
            faults.append(Fault(OVER, t_us, box, reason))
        worst = max(worst, over)
    ends = [record["how"] for record in records if record["what"] == "set_up_over"]
    late = sum(how in GIVEN_UP for how in ends) / max(1, len(ends))
    if late > told["late"]:
        faults.append(Fault(LATE, 0, "", f"{late:.3f} of the joins were given up, {told['late']:g} will do"))
    faults += _struck(records, names)
    return Slots(len(ends), round(late, 4), most, round(worst, 2)), faults


def _struck(records: list[Record], names: list[str]) -> Iterator[Fault]:
    """What the script has and the records have not."""
    if "knee" in names:
        shifts = [record for record in records if record["what"] == "trouble" and record["kind"] == "knee"]
        after = [
            record
            for record in records
            for shift in shifts
            if record["what"] == "set_up" and record["t_us"] > shift["t_us"]
        ]
        if not shifts or not after:
            yield Fault(STRUCK, 0, "", "no knee changed while joins came")
    if "between" in names:
        lost = sum(
            number
            for record in records
            if record["what"] == "carried"
            for key, number in record.items()
            if key.startswith("lost fronts fronts") or key.startswith("lost datagrams")
        )
        if not any(record["what"] == "fault" and record["on"] for record in records) or not lost:
            yield Fault(STRUCK, 0, "", "no message between fronts was lost")
    if "slots-lie" in names and not any(r["what"] == "lies" and r["sent"] > 0 for r in records):
        yield Fault(STRUCK, 0, "", "nobody lied")


def told(found: Slots) -> str:
    """One line for whoever played it."""
    most = ", ".join(str(number) for number in found.most.values())
    return (
        f"{found.joins} joins at boxes, {found.late:.3f} given up; most out at once {most}, "
        f"{found.over:g} times a knee at the worst"
    )
