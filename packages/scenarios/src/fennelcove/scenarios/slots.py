"""Attempts in flight at each server over all fronts, from the servers' records alone.

An attempt is in flight from when a server has read it until the server has finished it. The cancellation of
one may be noticed after the next one arrives, so a cancelled attempt counts as finished `CANCEL_NOTICE_US`
earlier.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from fennelcove.emulators.recorder import Record

# Beside the six rules: more attempts in flight at a server than its knee allows; a fault that the scenario
# requires did not occur; too many attempts were cancelled.
KNEE_RULE = 12
MISSING_FAULT_RULE = 11
CANCELLED_SHARE_RULE = 13
CANCEL_NOTICE_US = 100_000
CANCELLED_OUTCOMES = ("front_closed", "silent")


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation."""

    rule: int
    t_us: int
    server: str
    reason: str


class Slots(msgspec.Struct, frozen=True):
    """The attempts of a run and how far they exceeded the servers' knees."""

    joins: int
    late: float  # the share that fronts cancelled
    most: dict[str, int]  # in flight at once at each server, after the learning time
    over: float  # the largest ratio of these to the server's knee at the time


def _changes(records: list[Record]) -> Iterator[tuple[int, int, str, int]]:
    """Yield time, order within one moment, server, and the change of attempts in flight or the new knee."""
    for record in records:
        if record["what"] == "set_up":
            yield record["t_us"], 1, record["box"], 1
        elif record["what"] == "set_up_over":
            notice_us = CANCEL_NOTICE_US if record["how"] in CANCELLED_OUTCOMES else 0
            yield record["t_us"] - notice_us, 0, record["box"], -1
        elif record["what"] == "knee":
            yield record["t_us"], 2, record["box"], record["knee"]


def check_attempt_slots(records: list[Record]) -> tuple[Slots, list[Violation]]:
    """Count the attempts in flight at each server and check them against its knee."""
    terms = next(record for record in records if record["what"] == "terms")
    limits, names = terms["slots"], terms["troubles"]
    learn_us = round(limits["learn_s"] * 1e6)
    in_flight: dict[str, int] = {}
    knee: dict[str, int] = {}
    knee_set_us: dict[str, int] = {}
    most: dict[str, int] = {}
    violations: list[Violation] = []
    worst_ratio = 0.0
    began_us = next((record["t_us"] for record in records if record["what"] == "day_began"), 0)
    for t_us, what, server, number in sorted(_changes(records)):
        if what == 2:
            knee[server], knee_set_us[server] = number, t_us
            continue
        in_flight[server] = max(0, in_flight.get(server, 0) + number)
        if server not in knee or t_us < max(began_us, knee_set_us[server]) + learn_us:
            continue
        most[server] = max(most.get(server, 0), in_flight[server])
        over = in_flight[server] / knee[server]
        if number > 0 and over > limits["over"] and over > worst_ratio:
            reason = (
                f"{in_flight[server]} attempts in flight at a server with a knee of {knee[server]}, "
                f"at most {limits['over']:g} times that are allowed"
            )
            violations.append(Violation(KNEE_RULE, t_us, server, reason))
        worst_ratio = max(worst_ratio, over)
    outcomes = [record["how"] for record in records if record["what"] == "set_up_over"]
    late = sum(how in CANCELLED_OUTCOMES for how in outcomes) / max(1, len(outcomes))
    if late > limits["late"]:
        violations.append(
            Violation(
                CANCELLED_SHARE_RULE,
                0,
                "",
                f"{late:.3f} of the attempts were cancelled, at most {limits['late']:g} may be",
            )
        )
    violations += _check_faults_occurred(records, names)
    return Slots(len(outcomes), round(late, 4), most, round(worst_ratio, 2)), violations


def _check_faults_occurred(records: list[Record], names: list[str]) -> Iterator[Violation]:
    """Check that each fault of the script occurred."""
    if "knee" in names:
        shifts = [record for record in records if record["what"] == "trouble" and record["kind"] == "knee"]
        after = [
            record
            for record in records
            for shift in shifts
            if record["what"] == "set_up" and record["t_us"] > shift["t_us"]
        ]
        if not shifts or not after:
            yield Violation(MISSING_FAULT_RULE, 0, "", "no knee changed while attempts arrived")
    if "between" in names:
        lost = sum(
            number
            for record in records
            if record["what"] == "carried"
            for key, number in record.items()
            if key.startswith("lost fronts fronts") or key.startswith("lost datagrams")
        )
        if not any(record["what"] == "fault" and record["on"] for record in records) or not lost:
            yield Violation(MISSING_FAULT_RULE, 0, "", "no message between fronts was lost")
    if "slots-lie" in names and not any(r["what"] == "lies" and r["sent"] > 0 for r in records):
        yield Violation(MISSING_FAULT_RULE, 0, "", "no false message was sent")


def format_figures(found: Slots) -> str:
    """Format the figures for the command line."""
    most = ", ".join(str(number) for number in found.most.values())
    return (
        f"{found.joins} attempts at servers, {found.late:.3f} cancelled; most in flight at once per server: "
        f"{most}; at most {found.over:g} times the knee"
    )
