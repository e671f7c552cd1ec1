"""Which fronts are out of service at each moment of a rollout, derived from relays and processes alone.

A front is out of service from when it was killed, stopped or paused, or ended by itself, until it listens
again. A front that ends by itself was taken out by a rollout; its outage began with the first request that it
rejected after the last that it accepted. What the front reports about itself is not used.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.exemptions import SLACK_US
from fennelcove.scenarios.faults import OUT, STRUCK, Fault
from fennelcove.scenarios.server_outages import boxed

PLAYS = 201
NEVER = 1 << 62
GOES = {"front_killed": "killed", "front_paused": "paused", "front_stopping": "stopped"}


class Outs(msgspec.Struct, frozen=True):
    """The outages of a run with rollouts; times in seconds."""

    taken: int  # fronts taken out by rollouts
    most_taken: int  # at the same time
    most_out: int  # at the same time, including those that the script took out
    longest_out_s: float
    versions: dict[str, int]  # the version of each front when the run ends
    boxes_taken: int = 0
    most_boxes_out: int = 0  # servers out or cold at the same time, when another was taken out


@dataclass(slots=True)
class Away:
    """An interval in which one front was out of service."""

    front: str
    since: int
    why: str
    until: int = NEVER
    off: int = NEVER  # when an operator wrote it off, which frees its permit

    @property
    def taken(self) -> bool:
        """Whether a rollout took it out."""
        return self.why == "taken"

    def covers(self, t_us: int) -> bool:
        """Whether it counts as out of service at that time."""
        return self.since <= t_us < min(self.until, self.off)


@dataclass(slots=True)
class Strike:
    """A fault of the script, from its start until its end."""

    what: str
    since: int
    mark: object = None  # identifies the record of its end
    until: int = NEVER


@dataclass(slots=True)
class Seen:
    """The outages, versions, faults and orders of a recording."""

    release: Record
    aways: list[Away] = field(default_factory=list)
    ports: dict[str, str] = field(default_factory=dict)  # name of a front by its address
    let_in: dict[str, int] = field(default_factory=dict)  # when each last accepted a session
    turned: dict[str, int] = field(default_factory=dict)  # the first rejection since then
    launched: dict[str, int] = field(default_factory=dict)  # the version last started
    runs: dict[str, int] = field(default_factory=dict)  # the version last serving
    ran: set[tuple[str, int]] = field(default_factory=set)
    orders: dict[tuple[str, ...], int] = field(default_factory=dict)
    strikes: list[Strike] = field(default_factory=list)


def _read(records: list[Record], release: Record) -> Seen:
    seen = Seen(release)
    for record in records:
        what, t_us = record["what"], record["t_us"]
        front = str(record.get("front"))
        if what == "answered":
            _answered(seen, record)
        elif what == "front_launched":
            seen.launched[front] = record["version"]
            seen.ran.add((front, record["version"]))
        elif what in ("front_started", "front_continued"):
            if "address" in record:
                seen.ports[record["address"]] = front
                seen.runs[front] = seen.launched[front]
                seen.let_in[front] = t_us
                seen.turned.pop(front, None)
            _back(seen, front, t_us)
        elif what == "front_ended":
            seen.aways.append(Away(front, seen.turned.get(front, t_us), "taken"))
        elif what in GOES:
            seen.aways.append(Away(front, t_us, GOES[what]))
        elif what == "order":
            seen.orders[tuple(record["words"])] = record["status"]
            _ordered(seen, record)
        struck = what in ("front_killed", "front_paused", "front_hangs", "front_refused")
        if struck:
            seen.strikes.append(Strike(what, t_us, until=t_us))
        elif what in ("fault", "trouble"):
            _strike(seen, record)
    return seen


def _strike(seen: Seen, record: Record) -> None:
    # A fault in both directions is recorded twice but counts once.
    mark = (record["what"], record.get("number"), record.get("kind"), record.get("box"))
    here = [strike for strike in seen.strikes if strike.mark == mark and strike.until == NEVER]
    if record["on"] and not here:
        seen.strikes.append(Strike(record["what"], record["t_us"], mark))
    elif not record["on"]:
        for strike in here:
            strike.until = record["t_us"]


def _answered(seen: Seen, record: Record) -> None:
    front = seen.ports.get(record["front"], "")
    if record["status"] == PLAYS:
        seen.let_in[front] = record["t_us"]
        seen.turned.pop(front, None)
    else:
        seen.turned.setdefault(front, record["t_us"])


def _ordered(seen: Seen, record: Record) -> None:
    if record["words"][:2] == ["write-off", "front"] and record["status"] == 0:
        name = list(seen.release["halls"])[int(record["words"][2])]
        for away in seen.aways:
            if away.front == name and away.until == NEVER:
                away.off = record["t_us"]


def _back(seen: Seen, front: str, t_us: int) -> None:
    for away in seen.aways:
        if away.front == front and away.until == NEVER:
            away.until = t_us


def outs(records: list[Record]) -> Found:
    """Derive the outages and check them against the rollout's limits."""
    release = next(record["release"] for record in records if record["what"] == "terms")
    began_us = next((r["t_us"] for r in records if r["what"] == "day_began"), 0)
    over_us = next((r["t_us"] for r in records if r["what"] == "carried"), records[-1]["t_us"])
    seen = _read([record for record in records if record["t_us"] <= over_us], release)
    # The fronts start before the scenario begins and are stopped after its end.
    seen.aways = [away for away in seen.aways if away.since >= began_us]
    boxes = boxed(records, release, over_us)
    faults = [*_limits(seen), *_ends(seen, over_us), *_struck(seen, over_us), *boxes.faults]
    taken = [away for away in seen.aways if away.taken]
    shown = Outs(
        len(taken),
        max((_at_once(taken, away.since) for away in taken), default=0),
        max((_at_once(seen.aways, away.since) for away in seen.aways), default=0),
        round(max((min(a.until, over_us) - a.since for a in seen.aways), default=0) / 1e6, 2),
        dict(sorted(seen.runs.items())),
        boxes.taken,
        boxes.most_out,
    )
    return Found(faults, shown)


@dataclass(frozen=True, slots=True)
class Found:
    """The violations and the figures of a run with rollouts."""

    faults: list[Fault]
    shown: Outs


def _at_once(aways: list[Away], t_us: int) -> int:
    return len({away.front for away in aways if away.covers(t_us)})


def _limits(seen: Seen) -> Iterator[Fault]:
    """Check the limits of rollouts; a crashed front counts once the other fronts can have detected it."""
    release, halls = seen.release, seen.release["halls"]
    know_us = round(release["know_ms"] * 1000)
    for one in (away for away in seen.aways if away.taken):
        known = [
            away
            for away in seen.aways
            if away.covers(one.since) and (away.taken or away.since <= one.since - know_us)
        ]
        names = {away.front for away in known}
        hall = {name for name in names if halls[name] == halls[one.front]}
        for found, limit, where in (
            (names, release["fronts_out"], "in all"),
            (hall, release["fronts_out_hall"], f"in {halls[one.front]}"),
        ):
            if len(found) > limit:
                reason = f"taken out as one of {len(found)} {where}, but {limit} are allowed: {sorted(found)}"
                yield Fault(OUT, one.since, one.front, reason)


def _ends(seen: Seen, over_us: int) -> Iterator[Fault]:
    """Check which version fronts run at the end, and how many ever ran the wanted one."""
    release = seen.release
    lost = {name for i, name in enumerate(release["halls"]) if i in release["lost"]}
    gone = {away.front for away in seen.aways if away.until > over_us}
    for name in sorted(gone - lost):
        yield Fault(STRUCK, over_us, name, "it is out of service when the scenario ends")
    asked = {name: version for name, version in seen.runs.items() if name not in lost}
    have = [name for name, version in asked.items() if version == release["wanted"]]
    came = {"all": len(have) == len(asked), "none": not have, "some": bool(have)}
    if not came[release["ends"]]:
        reason = f"expected {release['ends']} to run version {release['wanted']} at the end, found: {asked}"
        yield Fault(STRUCK, over_us, "", reason)
    ever = {name for name, version in seen.ran if version == release["wanted"]}
    if release["most"] is not None and len(ever) > release["most"]:
        reason = f"{len(ever)} fronts ran version {release['wanted']}, at most {release['most']} may"
        yield Fault(OUT, over_us, "", reason)


def _struck(seen: Seen, over_us: int) -> Iterator[Fault]:
    """Check that each fault occurred while the rollout took fronts out and that each order succeeded."""
    release = seen.release
    taken = [away for away in seen.aways if away.taken]
    if not taken and not release["boxes"]:
        yield Fault(STRUCK, over_us, "", "no rollout took a front out")
    if not taken:
        return
    first, last = min(a.since for a in taken), max(min(a.until, over_us) for a in taken)
    kinds = {"front-kill": "front_killed", "front-stop": "front_paused", "between": "fault"}
    wanted = [kinds.get(what, "trouble") for what in release["strikes"]]
    during = [one.what for one in seen.strikes if one.since <= last and first - SLACK_US <= one.until]
    for kind in sorted(set(wanted)):
        if during.count(kind) < wanted.count(kind):
            found, many = during.count(kind), wanted.count(kind)
            reason = f"expected {many} faults `{kind}` while fronts were taken out, found {found}"
            yield Fault(STRUCK, over_us, "", reason)
    if release["hangs"] and not any(one.what == "front_hangs" for one in seen.strikes):
        yield Fault(STRUCK, over_us, "", "no front hung during startup")
    for number in release["bad"]:
        if not any(version == number for _, version in seen.ran):
            yield Fault(STRUCK, over_us, "", f"no front was started with version {number}")
    if len(seen.orders) < release["orders"]:
        yield Fault(
            STRUCK, over_us, "", f"{len(seen.orders)} of {release['orders']} operator commands were run"
        )
    for words, status in seen.orders.items():
        if status:
            yield Fault(
                STRUCK, over_us, "", f"the operator command `{' '.join(words)}` ended with status {status}"
            )


def told(found: Outs) -> str:
    """Format the figures for the command line."""
    versions = ", ".join(f"{name} {version}" for name, version in found.versions.items())
    return (
        f"{found.boxes_taken} servers taken out by permits, at most {found.most_boxes_out} out at once; "
        f"{found.taken} fronts taken out by rollouts, at most {found.most_taken} at once; at most "
        f"{found.most_out} out at once for any reason, the longest for {found.longest_out_s:.1f} s; versions "
        f"at the end: {versions}"
    )
