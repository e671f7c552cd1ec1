"""The format of scenario scripts. Times are in seconds from the scenario's start, rates in kB per second."""

from __future__ import annotations

import re
from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, ClassVar, Literal

import msgspec
from fennelcove.settings.reader import SettingsError, parse
from fennelcove.settings.schema import (
    Count,
    FrontSettings,
    HeartbeatSettings,
    Name,
    NonNegativeNumber,
    PositiveCount,
    PositiveNumber,
    StrictStruct,
    UnitFraction,
)
from fennelcove.settings.validation import find_violations
from msgspec import Meta, field

Seconds = Annotated[float, Meta(ge=0, le=600)]
FaultKind = Literal[
    "hang",
    "slow",
    "errors",
    "reset",
    "half",
    "garbage",
    "full",
    "lies",
    "mute",
    "neighbour",
    "knee",
    "slots-lie",
    "die",
    "leave",
    "left",
    "replace",
    "list-out",
    "front-restart",
    "front-kill",
    "front-stop",
    "power",
    "between",
    "order",
]
# What a fault waits for after its time: the plan's halt or end as fronts report it to operators, a number of
# fronts that have ended by themselves, or a front that is written off.
Condition = Literal["halted", "over", "out-1", "out-2", "out-3", "out-4", "off"]
NetworkFaultKind = Literal[
    "silent", "reset", "refuse", "delay", "throttle", "cut", "lose", "double", "reorder"
]
Parties = Annotated[str, Meta(min_length=1, max_length=400, pattern=r"^[A-Za-z0-9._|-]+$")]
TimeRange = Annotated[list[Seconds], Meta(min_length=2, max_length=2)]


BASE_SCENARIO = re.compile(r'^\s*\(like "([a-z0-9-]+)"\)', re.MULTILINE)


class ServerSpec(StrictStruct, frozen=True, kw_only=True):
    """One emulated server; its rack is its cell modulo the number of racks."""

    cell: Count
    zone: Name
    kind: Name
    link_kb: PositiveNumber
    knee: PositiveCount | None = None  # overrides the rig's knee for this server


class Crowd(StrictStruct, frozen=True, kw_only=True):
    """Clients that arrive at random moments between two times."""

    room_type: Name
    titles: Annotated[list[Name], Meta(min_length=1)]
    per_s: PositiveNumber
    from_s: Seconds = 0.0
    to_s: Seconds
    watch_s: PositiveNumber
    timeout_s: PositiveNumber
    top_rung: Count | None = None
    retries: Count = 1
    honour: UnitFraction = 1.0  # share of clients that obey Retry-After
    hang_up: UnitFraction = 0.0  # share that disconnect during the set-up
    vanish: UnitFraction = 0.0  # share that leave without a release
    top_kbit: PositiveCount | None = None
    tempers: list[Literal["obeys", "half", "hasty", "drops", "forges"]] = field(default_factory=list)
    plays: bool = False  # the clients read manifests and fetch segments
    sockets: UnitFraction = 0.0  # share of non-playing clients that use WebSocket
    apart: UnitFraction = 0.0  # share of playing clients that request interstitials
    tenant: Annotated[str, Meta(max_length=64)] = ""
    fronts: list[Count] = field(default_factory=list)  # the fronts that they use; empty: all


class TenantRequirements(StrictStruct, frozen=True, kw_only=True):
    """What the other tenants must be served from when the overloading tenant (the hog) arrives."""

    hog: Name
    from_s: Seconds
    served: UnitFraction  # the least share of each other tenant's clients
    wait_ms: PositiveNumber  # limit for the 99th percentile of its waits
    fills: PositiveCount = 1  # attempts in flight at one server that show the hog's overload


class PlaylistChange(StrictStruct, frozen=True, kw_only=True):
    """A playlist change that the scenario's author submits or deletes."""

    at_s: Seconds
    kind: Literal["insert", "replace", "cut", "remove"]
    id: Name | None = None
    title: Name = "-"
    clip: Name | None = None
    at: str | None = None
    until: str | None = None
    wall_in_s: Seconds | None = None  # instead of `at`: the time from when it is sent


class NetworkFault(StrictStruct, frozen=True, kw_only=True):
    """A network fault that relays apply to what `sender` sends to `taker`.

    Parties are `all`, `fronts`, `boxes`, `lists`, `viewers`, a zone, `front-3`, `box-2`, or several separated
    by `|`.
    """

    sender: Parties
    taker: Parties
    how: NetworkFaultKind
    share: UnitFraction = 1.0
    both: bool = True  # the other direction as well


class PowerLoss(StrictStruct, frozen=True, kw_only=True):
    """A loss of power for all fronts, servers and the list service; restarts are in seconds after it."""

    boxes_back_s: TimeRange
    fronts_back_s: TimeRange
    lists_back_s: Seconds = 0.0
    boxes_never: Count = 0  # servers that never restart, from the end of the script's list
    fronts_never: Count = 0
    boxes_spared: Count = 0  # servers that stay up, from the start of the script's list
    # The store of each front in turn after the loss: unchanged, with a truncated tail, as it was when the
    # scenario began, or deleted.
    folders: list[Literal["kept", "torn", "old", "gone"]] = field(default_factory=lambda: ["kept"])
    clocks_s: list[Annotated[float, Meta(ge=-86_400, le=86_400)]] = field(default_factory=list)
    lists_before: bool = False  # the list service restarts with its initial list
    lists_learn_s: Seconds = 0.0  # and publishes the current one this long after its restart


class VersionSpec(StrictStruct, frozen=True, kw_only=True):
    """The behaviour of fronts that run a version; what is left out is as in the scenario's settings."""

    number: PositiveCount
    held: PositiveCount | None = None  # limit of sessions per front; further set-ups are rejected
    late_ms: NonNegativeNumber = 0.0  # delay of what it sends to servers
    hangs: list[Count] = field(default_factory=list)  # fronts that hang during startup with it
    hangs_s: Seconds = 600.0
    refused: bool = False  # its settings are invalid, so the front exits with an error


class RolloutRequirements(StrictStruct, frozen=True, kw_only=True):
    """The outcome that the checker expects of a scenario's rollouts."""

    wanted: PositiveCount = 2
    ends: Literal["all", "none", "some"] = "all"  # fronts that run it in the end; some: at least one
    lost: list[Count] = field(default_factory=list)  # fronts excluded from that
    most: PositiveCount | None = None  # limit of fronts that ever ran it, as a halt stops it
    restart_ms: NonNegativeNumber = 300.0  # delay of a restart by the supervisor
    know_ms: NonNegativeNumber = 4500.0  # time by which fronts have detected a crashed front and count it
    know_box_ms: NonNegativeNumber = 8000.0  # the same for a server
    boxes: Count = 0  # servers that have to be taken out


class SlotRequirements(StrictStruct, frozen=True, kw_only=True):
    """The limits for attempts in flight at servers."""

    over: PositiveNumber = 2.5  # limit in flight at a server, as a multiple of its knee
    learn_s: Seconds = 8.0  # unchecked time after the scenario's start or a change of the knee
    late: UnitFraction = 0.02  # limit for the share of attempts that fronts cancel


class FaultSpec(StrictStruct, frozen=True, kw_only=True):
    """A scheduled fault; `box` is the index of a server in the script, or of the front that it concerns."""

    at_s: Seconds
    what: FaultKind
    box: Count | None = None
    for_s: Seconds = 0.0
    value: NonNegativeNumber = 0.0
    fronts: list[Count] = field(default_factory=list)  # several fronts at once, instead of `box`
    between: NetworkFault | None = None
    power: PowerLoss | None = None
    until: Condition | None = None  # a condition it waits for after its time
    leader: bool = False  # the target is the front that leads a plan, as fronts report it to operators
    order: list[str] = field(default_factory=list)  # an operator's arguments to `fennelcove fleet`


class RigSpec(StrictStruct, frozen=True, kw_only=True):
    """The behaviour of the emulated peers, beside what the front's settings define."""

    fall_multiple: PositiveNumber = 2.0
    tip_after_ms: PositiveNumber = 3000.0
    list_late_ms: NonNegativeNumber = 0.0
    hold_ms: NonNegativeNumber = 0.0  # duration of a set-up
    slow_titles: list[Name] = field(default_factory=list)
    slow_hold_ms: NonNegativeNumber = 0.0  # duration of a set-up of a slow title
    knee: Count = 0  # concurrent set-ups at a server beyond which each takes proportionally longer; 0: none
    uplink_kb: PositiveNumber


class Scenario(StrictStruct, frozen=True, kw_only=True):
    """A scenario."""

    HEAD: ClassVar[str] = "day"

    name: Name
    like: Name | None = None  # a built-in scenario that supplies what is left out here
    seconds: PositiveNumber
    service_floor: UnitFraction
    front: FrontSettings
    rig: RigSpec
    boxes: Annotated[list[ServerSpec], Meta(min_length=1, max_length=200)]
    crowds: Annotated[list[Crowd], Meta(min_length=1, max_length=50)]
    troubles: list[FaultSpec] = field(default_factory=list)
    changes: list[PlaylistChange] = field(default_factory=list)
    fronts: Annotated[int, Meta(ge=1, le=32)] = 1
    halls: list[Name] = field(default_factory=list)  # zones of the fronts, assigned in turn
    relays: bool = False  # all traffic passes through relays that can inject faults
    company: bool = False  # every front knows its peers' addresses
    settle_within_s: NonNegativeNumber | None = None  # limit for refusals after the last crowd
    stall_limit_ms: NonNegativeNumber | None = None
    tenants: TenantRequirements | None = None
    release: RolloutRequirements | None = None
    slots: SlotRequirements | None = None
    versions: list[VersionSpec] = field(default_factory=list)


def names() -> list[str]:
    """The names of the built-in scenarios."""
    folder = resources.files("fennelcove.scenarios") / "scripts"
    return sorted(item.name.removesuffix(".sexp") for item in folder.iterdir() if item.name.endswith(".sexp"))


def read(name: str) -> Scenario:
    """Read a built-in scenario, or a file whose path ends in `.sexp`.

    Raises:
        SettingsError: the scenario does not exist or is invalid.
    """
    if name.endswith(".sexp"):
        try:
            source, text = name, Path(name).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"found no readable file ({error})", name) from None
    elif name not in names():
        raise SettingsError(
            "found no such scenario", name, f"known are {', '.join(names())}, or a file that ends in .sexp"
        )
    else:
        source = f"{name}.sexp"
        text = (resources.files("fennelcove.scenarios") / "scripts" / source).read_text("utf-8")
    base_name = BASE_SCENARIO.search(text)
    base = msgspec.to_builtins(read(base_name.group(1))) if base_name is not None else None
    scenario = parse(text, Scenario, source, base)
    for fault in invalid_settings(scenario):
        raise SettingsError.from_violation(source, fault)
    for fault in find_violations(_first_front_settings(scenario)):
        raise SettingsError.from_violation(source, f"front.{fault}")
    return scenario


def _first_front_settings(scenario: Scenario) -> FrontSettings:
    """The settings of the first front, with the peers that the scenario adds."""
    front = scenario.front
    if scenario.fronts == 1 or front.releases is None:
        return front
    replace = msgspec.structs.replace
    addresses = [f"127.0.0.1:{i + 1}" for i in range(scenario.fronts)]
    company = replace(front.company, addresses=addresses) if front.company is not None else None
    if company is None and scenario.company:
        company = HeartbeatSettings(addresses=addresses)
    return replace(front, instance=replace(front.instance, fronts=scenario.fronts), company=company)


def invalid_settings(scenario: Scenario) -> Iterator[str]:
    """Yield the faults of a scenario that its types can't reject."""
    for i, fault_spec in enumerate(scenario.troubles):
        at, concerns_front = f"troubles[{i}]", fault_spec.what.startswith("front-")
        if fault_spec.box is not None and not concerns_front and fault_spec.box >= len(scenario.boxes):
            yield (
                f"{at}.box: found index {fault_spec.box}, but there are {len(scenario.boxes)} servers; "
                "count from 0"
            )
        if any(number >= scenario.fronts for number in fault_spec.fronts):
            yield (
                f"{at}.fronts: found index {max(fault_spec.fronts)}, but there are {scenario.fronts} fronts; "
                "count from 0"
            )
        if fault_spec.what == "between" and (fault_spec.between is None or not scenario.relays):
            yield f"{at}.between: found none or no relays; state sender, taker and how, and set (relays true)"
        if fault_spec.what == "order" and not fault_spec.order:
            yield f"{at}.order: found no arguments; state the arguments to `fennelcove fleet`"
        if fault_spec.what == "power":
            if fault_spec.power is None:
                yield f"{at}.power: found none; state when servers and fronts restart"
            elif fault_spec.power.boxes_never + fault_spec.power.boxes_spared >= len(scenario.boxes):
                yield f"{at}.power: found no server that restarts; there are {len(scenario.boxes)}"
            elif fault_spec.power.fronts_never >= scenario.fronts:
                yield f"{at}.power: found no front that restarts; there are {scenario.fronts}"
