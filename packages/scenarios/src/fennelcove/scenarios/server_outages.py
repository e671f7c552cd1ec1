"""Which servers are out at each moment (drained by a permit, down or cold), from their own records alone."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.faults import OUT, STRUCK, Fault

NEVER = 1 << 62


@dataclass(slots=True)
class Away:
    """An interval in which a server was out."""

    box: str
    since: int
    taken: bool
    until: int = NEVER


@dataclass(frozen=True, slots=True)
class Boxed:
    """The outages of servers and the violations."""

    taken: int
    most_out: int
    faults: list[Fault]


def _aways(records: list[Record], ramp_us: int) -> list[Away]:
    aways: list[Away] = []
    for record in records:
        what, t_us, box = record["what"], record["t_us"], str(record.get("box"))
        mine = [away for away in aways if away.box == box and t_us < away.until]
        if what in ("box_taken", "box_died") and not mine:
            aways.append(Away(box, t_us, what == "box_taken"))
        elif what == "box_died":
            for away in mine:
                away.until = NEVER  # it goes down while cold or draining
        elif what == "box_started":
            for away in mine:
                away.until = t_us + ramp_us
    return aways


def boxed(records: list[Record], release: Record, over_us: int) -> Boxed:
    """Check all outages against the rollout's limits."""
    terms = next(record for record in records if record["what"] == "terms")
    aways = _aways(records, round(terms.get("ramp_ms", 0.0) * 1000))
    boxes = {record["box"]: record for record in records if record["what"] == "box"}
    taken = [away for away in aways if away.taken]
    faults = [fault for away in taken for fault in _limits(away, aways, boxes, release)]
    if len(taken) < release["boxes"]:
        reason = f"{len(taken)} servers were taken out, expected {release['boxes']}"
        faults.append(Fault(STRUCK, over_us, "", reason))
    most = max((len(_out(aways, away.since)) for away in taken), default=0)
    return Boxed(len(taken), most, faults)


def _out(aways: list[Away], t_us: int, know_us: int = 0) -> set[str]:
    """The servers that were out at that time, by permit or detectable for at least `know_us`."""
    return {a.box for a in aways if a.since <= t_us < a.until and (a.taken or a.since <= t_us - know_us)}


def _limits(one: Away, aways: list[Away], boxes: dict[str, Record], release: Record) -> Iterator[Fault]:
    out = _out(aways, one.since, round(release["know_box_ms"] * 1000))
    here = boxes[one.box]
    hall = {box for box in out if boxes[box]["zone"] == here["zone"]}
    counts = [(out, release["boxes_out"], "in all"), (hall, release["boxes_out_hall"], "in its zone")]
    for title, cells in release["titles"].items():
        if here["cell"] in cells:
            holders = {box for box, told in boxes.items() if told["cell"] in cells}
            counts.append((out & holders, release["boxes_out_title"], f"of those with {title}"))
            if holders <= out:
                yield Fault(OUT, one.since, one.box, f"the last warm box with {title} was taken out")
    for found, limit, where in counts:
        if len(found) > limit:
            reason = f"taken out as one of {len(found)} servers {where}, but {limit} are allowed"
            yield Fault(OUT, one.since, one.box, reason)
