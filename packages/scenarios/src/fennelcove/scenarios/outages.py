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
from fennelcove.scenarios.server_outages import check_server_outages
from fennelcove.scenarios.violations import MISSING_FAULT_RULE, TOO_MANY_OUT_RULE, Violation

STATUS_SERVED = 201
NEVER = 1 << 62
OUTAGE_CAUSES = {"front_killed": "killed", "front_paused": "paused", "front_stopping": "stopped"}


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
class Outage:
    """An interval in which one front was out of service."""

    front: str
    since_us: int
    cause: str
    until_us: int = NEVER
    written_off_us: int = NEVER  # when an operator wrote it off, which frees its permit

    @property
    def by_rollout(self) -> bool:
        """Whether a rollout took it out."""
        return self.cause == "taken"

    def is_out_at(self, t_us: int) -> bool:
        """Whether it counts as out of service at that time."""
        return self.since_us <= t_us < min(self.until_us, self.written_off_us)


@dataclass(slots=True)
class InjectedFault:
    """A fault of the script, from its start until its end."""

    what: str
    since_us: int
    key: object = None  # identifies the record of its end
    until_us: int = NEVER


@dataclass(slots=True)
class Recording:
    """The outages, versions, faults and orders of a recording."""

    release: Record
    outages: list[Outage] = field(default_factory=list)
    front_by_address: dict[str, str] = field(default_factory=dict)  # name of a front by its address
    last_accepted_us: dict[str, int] = field(default_factory=dict)  # when each last accepted a session
    first_rejected_us: dict[str, int] = field(default_factory=dict)  # the first rejection since then
    launched_version: dict[str, int] = field(default_factory=dict)  # the version last started
    serving_version: dict[str, int] = field(default_factory=dict)  # the version last serving
    started_versions: set[tuple[str, int]] = field(default_factory=set)
    orders: dict[tuple[str, ...], int] = field(default_factory=dict)
    injected_faults: list[InjectedFault] = field(default_factory=list)


def _index_records(records: list[Record], release: Record) -> Recording:
    recording = Recording(release)
    for record in records:
        what, t_us = record["what"], record["t_us"]
        front = str(record.get("front"))
        if what == "answered":
            _on_response(recording, record)
        elif what == "front_launched":
            recording.launched_version[front] = record["version"]
            recording.started_versions.add((front, record["version"]))
        elif what in ("front_started", "front_continued"):
            if "address" in record:
                recording.front_by_address[record["address"]] = front
                recording.serving_version[front] = recording.launched_version[front]
                recording.last_accepted_us[front] = t_us
                recording.first_rejected_us.pop(front, None)
            _end_outage(recording, front, t_us)
        elif what == "front_ended":
            recording.outages.append(Outage(front, recording.first_rejected_us.get(front, t_us), "taken"))
        elif what in OUTAGE_CAUSES:
            recording.outages.append(Outage(front, t_us, OUTAGE_CAUSES[what]))
        elif what == "order":
            recording.orders[tuple(record["words"])] = record["status"]
            _on_operator_command(recording, record)
        is_fault = what in ("front_killed", "front_paused", "front_hangs", "front_refused")
        if is_fault:
            recording.injected_faults.append(InjectedFault(what, t_us, until_us=t_us))
        elif what in ("fault", "trouble"):
            _on_fault(recording, record)
    return recording


def _on_fault(recording: Recording, record: Record) -> None:
    # A fault in both directions is recorded twice but counts once.
    key = (record["what"], record.get("number"), record.get("kind"), record.get("box"))
    here = [fault for fault in recording.injected_faults if fault.key == key and fault.until_us == NEVER]
    if record["on"] and not here:
        recording.injected_faults.append(InjectedFault(record["what"], record["t_us"], key))
    elif not record["on"]:
        for fault in here:
            fault.until_us = record["t_us"]


def _on_response(recording: Recording, record: Record) -> None:
    front = recording.front_by_address.get(record["front"], "")
    if record["status"] == STATUS_SERVED:
        recording.last_accepted_us[front] = record["t_us"]
        recording.first_rejected_us.pop(front, None)
    else:
        recording.first_rejected_us.setdefault(front, record["t_us"])


def _on_operator_command(recording: Recording, record: Record) -> None:
    if record["words"][:2] == ["write-off", "front"] and record["status"] == 0:
        name = list(recording.release["halls"])[int(record["words"][2])]
        for outage in recording.outages:
            if outage.front == name and outage.until_us == NEVER:
                outage.written_off_us = record["t_us"]


def _end_outage(recording: Recording, front: str, t_us: int) -> None:
    for outage in recording.outages:
        if outage.front == front and outage.until_us == NEVER:
            outage.until_us = t_us


def check_outages(records: list[Record]) -> OutageResult:
    """Derive the outages and check them against the rollout's limits."""
    release = next(record["release"] for record in records if record["what"] == "terms")
    began_us = next((r["t_us"] for r in records if r["what"] == "day_began"), 0)
    over_us = next((r["t_us"] for r in records if r["what"] == "carried"), records[-1]["t_us"])
    recording = _index_records([record for record in records if record["t_us"] <= over_us], release)
    # The fronts start before the scenario begins and are stopped after its end.
    recording.outages = [outage for outage in recording.outages if outage.since_us >= began_us]
    servers = check_server_outages(records, release, over_us)
    faults = [
        *_check_limits(recording),
        *_check_final_versions(recording, over_us),
        *_check_faults_occurred(recording, over_us),
        *servers.violations,
    ]
    taken = [outage for outage in recording.outages if outage.by_rollout]
    shown = Outs(
        len(taken),
        max((_count_out_at(taken, outage.since_us) for outage in taken), default=0),
        max((_count_out_at(recording.outages, outage.since_us) for outage in recording.outages), default=0),
        round(max((min(a.until_us, over_us) - a.since_us for a in recording.outages), default=0) / 1e6, 2),
        dict(sorted(recording.serving_version.items())),
        servers.taken,
        servers.most_out,
    )
    return OutageResult(faults, shown)


@dataclass(frozen=True, slots=True)
class OutageResult:
    """The violations and the figures of a run with rollouts."""

    faults: list[Violation]
    shown: Outs


def _count_out_at(outages: list[Outage], t_us: int) -> int:
    return len({outage.front for outage in outages if outage.is_out_at(t_us)})


def _check_limits(recording: Recording) -> Iterator[Violation]:
    """Check the limits of rollouts; a crashed front counts once the other fronts can have detected it."""
    release, zone_by_front = recording.release, recording.release["halls"]
    detection_us = round(release["know_ms"] * 1000)
    for started in (outage for outage in recording.outages if outage.by_rollout):
        known = [
            outage
            for outage in recording.outages
            if outage.is_out_at(started.since_us)
            and (outage.by_rollout or outage.since_us <= started.since_us - detection_us)
        ]
        names = {outage.front for outage in known}
        zone = {name for name in names if zone_by_front[name] == zone_by_front[started.front]}
        for found, limit, where in (
            (names, release["fronts_out"], "in all"),
            (zone, release["fronts_out_hall"], f"in {zone_by_front[started.front]}"),
        ):
            if len(found) > limit:
                reason = f"taken out as one of {len(found)} {where}, but {limit} are allowed: {sorted(found)}"
                yield Violation(TOO_MANY_OUT_RULE, started.since_us, started.front, reason)


def _check_final_versions(recording: Recording, over_us: int) -> Iterator[Violation]:
    """Check which version fronts run at the end, and how many ever ran the wanted one."""
    release = recording.release
    excluded = {name for i, name in enumerate(release["halls"]) if i in release["lost"]}
    still_out = {outage.front for outage in recording.outages if outage.until_us > over_us}
    for name in sorted(still_out - excluded):
        yield Violation(MISSING_FAULT_RULE, over_us, name, "it is out of service when the scenario ends")
    versions = {name: version for name, version in recording.serving_version.items() if name not in excluded}
    wanted_fronts = [name for name, version in versions.items() if version == release["wanted"]]
    outcomes = {
        "all": len(wanted_fronts) == len(versions),
        "none": not wanted_fronts,
        "some": bool(wanted_fronts),
    }
    if not outcomes[release["ends"]]:
        reason = (
            f"expected {release['ends']} to run version {release['wanted']} at the end, found: {versions}"
        )
        yield Violation(MISSING_FAULT_RULE, over_us, "", reason)
    ever_wanted = {name for name, version in recording.started_versions if version == release["wanted"]}
    if release["most"] is not None and len(ever_wanted) > release["most"]:
        reason = f"{len(ever_wanted)} fronts ran version {release['wanted']}, at most {release['most']} may"
        yield Violation(TOO_MANY_OUT_RULE, over_us, "", reason)


def _check_faults_occurred(recording: Recording, over_us: int) -> Iterator[Violation]:
    """Check that each fault occurred while the rollout took fronts out and that each order succeeded."""
    release = recording.release
    taken = [outage for outage in recording.outages if outage.by_rollout]
    if not taken and not release["boxes"]:
        yield Violation(MISSING_FAULT_RULE, over_us, "", "no rollout took a front out")
    if not taken:
        return
    first, last = min(a.since_us for a in taken), max(min(a.until_us, over_us) for a in taken)
    kinds = {"front-kill": "front_killed", "front-stop": "front_paused", "between": "fault"}
    wanted = [kinds.get(what, "trouble") for what in release["strikes"]]
    during = [
        fault.what
        for fault in recording.injected_faults
        if fault.since_us <= last and first - SLACK_US <= fault.until_us
    ]
    for kind in sorted(set(wanted)):
        if during.count(kind) < wanted.count(kind):
            found, expected = during.count(kind), wanted.count(kind)
            reason = f"expected {expected} faults `{kind}` while fronts were taken out, found {found}"
            yield Violation(MISSING_FAULT_RULE, over_us, "", reason)
    if release["hangs"] and not any(fault.what == "front_hangs" for fault in recording.injected_faults):
        yield Violation(MISSING_FAULT_RULE, over_us, "", "no front hung during startup")
    for number in release["bad"]:
        if not any(version == number for _, version in recording.started_versions):
            yield Violation(MISSING_FAULT_RULE, over_us, "", f"no front was started with version {number}")
    if len(recording.orders) < release["orders"]:
        yield Violation(
            MISSING_FAULT_RULE,
            over_us,
            "",
            f"{len(recording.orders)} of {release['orders']} operator commands were run",
        )
    for words, status in recording.orders.items():
        if status:
            yield Violation(
                MISSING_FAULT_RULE,
                over_us,
                "",
                f"the operator command `{' '.join(words)}` ended with status {status}",
            )


def format_figures(found: Outs) -> str:
    """Format the figures for the command line."""
    versions = ", ".join(f"{name} {version}" for name, version in found.versions.items())
    return (
        f"{found.boxes_taken} servers taken out by permits, at most {found.most_boxes_out} out at once; "
        f"{found.taken} fronts taken out by rollouts, at most {found.most_taken} at once; at most "
        f"{found.most_out} out at once for any reason, the longest for {found.longest_out_s:.1f} s; versions "
        f"at the end: {versions}"
    )
