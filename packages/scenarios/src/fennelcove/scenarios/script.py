"""What a day's script may say. Times in seconds from the day's start, rates in kB a second."""

from __future__ import annotations

import re
from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Annotated, ClassVar, Literal

import msgspec
from fennelcove.settings.checks import amiss
from fennelcove.settings.reader import SettingsError, parse
from fennelcove.settings.schema import (
    CompanySettings,
    Count,
    Figure,
    FrontSettings,
    Name,
    Share,
    SomeCount,
    SomeFigure,
    Strict,
)
from msgspec import Meta, field

Seconds = Annotated[float, Meta(ge=0, le=600)]
What = Literal[
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
# What a trouble waits for past its time: the plan's halt or end as fronts tell an operator, that so many
# fronts have ended by themselves, or that a place is written off.
Until = Literal["halted", "over", "out-1", "out-2", "out-3", "out-4", "off"]
Ways = Literal["silent", "reset", "refuse", "delay", "throttle", "cut", "lose", "double", "reorder"]
Parties = Annotated[str, Meta(min_length=1, max_length=400, pattern=r"^[A-Za-z0-9._|-]+$")]
Span = Annotated[list[Seconds], Meta(min_length=2, max_length=2)]


LIKE = re.compile(r'^\s*\(like "([a-z0-9-]+)"\)', re.MULTILINE)


class BoxLine(Strict, frozen=True, kw_only=True):
    """One stand-in box; its rack is its cell, modulo the racks."""

    cell: Count
    zone: Name
    kind: Name
    link_kb: SomeFigure
    knee: SomeCount | None = None  # as the rig's, of this box


class Crowd(Strict, frozen=True, kw_only=True):
    """Viewers that come at random moments between two times."""

    room_type: Name
    titles: Annotated[list[Name], Meta(min_length=1)]
    per_s: SomeFigure
    from_s: Seconds = 0.0
    to_s: Seconds
    watch_s: SomeFigure
    timeout_s: SomeFigure
    top_rung: Count | None = None
    retries: Count = 1
    honour: Share = 1.0
    hang_up: Share = 0.0
    vanish: Share = 0.0
    top_kbit: SomeCount | None = None
    tempers: list[Literal["obeys", "half", "hasty", "drops", "forges"]] = field(default_factory=list)
    plays: bool = False  # reads manifests and fetches segments
    sockets: Share = 0.0  # of those that do not play, who ask over WebSocket
    apart: Share = 0.0  # of those that play, who ask for interstitials
    tenant: Annotated[str, Meta(max_length=64)] = ""
    fronts: list[Count] = field(default_factory=list)  # that they come to; all where none is named


class TenantBar(Strict, frozen=True, kw_only=True):
    """What a day's tenants are to get beside the hog, from when it comes."""

    hog: Name
    from_s: Seconds
    served: Share  # of each neighbour's viewers
    wait_ms: SomeFigure  # of its waits the longest but one in a hundred
    fills: SomeCount = 1  # joins that must have been out at one box, or the hog was none


class ChangeLine(Strict, frozen=True, kw_only=True):
    """A change that the day's author makes, or takes back."""

    at_s: Seconds
    kind: Literal["insert", "replace", "cut", "remove"]
    id: Name | None = None
    title: Name = "-"
    clip: Name | None = None
    at: str | None = None
    until: str | None = None
    wall_in_s: Seconds | None = None  # in place of `at`: so long after it is sent


class Between(Strict, frozen=True, kw_only=True):
    """A fault of the relays: what `sender` sends to `taker`. Parties are `all`, `fronts`, `boxes`, `lists`,
    `viewers`, a hall, `front-3`, `box-2`, or several with `|` between.
    """

    sender: Parties
    taker: Parties
    how: Ways
    share: Share = 1.0
    both: bool = True  # the other direction as well


class Power(Strict, frozen=True, kw_only=True):
    """Every front, box and the list service die in one moment; when and how they return, in seconds after."""

    boxes_back_s: Span
    fronts_back_s: Span
    lists_back_s: Seconds = 0.0
    boxes_never: Count = 0  # the last ones of the script
    fronts_never: Count = 0
    boxes_spared: Count = 0  # the first ones of the script: they were never down
    # What each front finds of its folder, one after the other: as it was, with a torn tail, as it was when
    # the day began, or nothing.
    folders: list[Literal["kept", "torn", "old", "gone"]] = field(default_factory=lambda: ["kept"])
    clocks_s: list[Annotated[float, Meta(ge=-86_400, le=86_400)]] = field(default_factory=list)
    lists_before: bool = False  # the list service returns with what it knew when the day began
    lists_learn_s: Seconds = 0.0  # and learns so long after its return what there is


class Version(Strict, frozen=True, kw_only=True):
    """What fronts are like that the supervisor starts with a version; what is not stated is as in the day."""

    number: SomeCount
    held: SomeCount | None = None  # subscriptions that one holds: past it set-ups are refused
    late_ms: Figure = 0.0  # how late what it sends to boxes comes there
    hangs: list[Count] = field(default_factory=list)  # fronts that stand still in their start with it
    hangs_s: Seconds = 600.0
    refused: bool = False  # its settings are amiss: the front says so and ends


class Release(Strict, frozen=True, kw_only=True):
    """What a day's releases have to come to, as its judge sees it."""

    wanted: SomeCount = 2
    ends: Literal["all", "none", "some"] = "all"  # that run it in the end; some: one or more
    lost: list[Count] = field(default_factory=list)  # fronts that are not asked about then
    most: SomeCount | None = None  # fronts that ever ran it: whoever is halted goes no further
    restart_ms: Figure = 300.0  # what the supervisor takes
    know_ms: Figure = 4500.0  # by then a front knows who has crashed, and counts it
    know_box_ms: Figure = 8000.0  # the same of a box
    boxes: Count = 0  # how many of them have to be taken out


class SlotDay(Strict, frozen=True, kw_only=True):
    """What joins out at boxes have to come to, as the judge sees it from the boxes."""

    over: SomeFigure = 2.5  # times its knee, that may be out at a box
    learn_s: Seconds = 8.0  # after the day's begin, or a knee's change
    late: Share = 0.02  # of set-ups that boxes were given, those that fronts gave up


class Trouble(Strict, frozen=True, kw_only=True):
    """Something that goes wrong; `box` counts the boxes as the script lists them, and the fronts where it
    concerns one.
    """

    at_s: Seconds
    what: What
    box: Count | None = None
    for_s: Seconds = 0.0
    value: Figure = 0.0
    fronts: list[Count] = field(default_factory=list)  # in place of `box`, several at once
    between: Between | None = None
    power: Power | None = None
    until: Until | None = None  # it waits for that, beside its time
    leader: bool = False  # of all fronts the one that leads a plan, by what they tell an operator
    order: list[str] = field(default_factory=list)  # of an operator: words after `fennelcove fleet`


class Rig(Strict, frozen=True, kw_only=True):
    """How the stand-ins behave where the front's settings do not tell."""

    fall_multiple: SomeFigure = 2.0
    tip_after_ms: SomeFigure = 3000.0
    list_late_ms: Figure = 0.0
    hold_ms: Figure = 0.0  # a set-up takes
    slow_titles: list[Name] = field(default_factory=list)
    slow_hold_ms: Figure = 0.0  # one of these
    knee: Count = 0  # set-ups at once at a box, past which each takes longer in proportion; 0: never
    uplink_kb: SomeFigure


class Day(Strict, frozen=True, kw_only=True):
    """A whole day."""

    HEAD: ClassVar[str] = "day"

    name: Name
    like: Name | None = None  # a day of the program; what is left out here is as there
    seconds: SomeFigure
    service_floor: Share
    front: FrontSettings
    rig: Rig
    boxes: Annotated[list[BoxLine], Meta(min_length=1, max_length=200)]
    crowds: Annotated[list[Crowd], Meta(min_length=1, max_length=50)]
    troubles: list[Trouble] = field(default_factory=list)
    changes: list[ChangeLine] = field(default_factory=list)
    fronts: Annotated[int, Meta(ge=1, le=32)] = 1
    halls: list[Name] = field(default_factory=list)  # of the fronts, one after the other
    relays: bool = False  # all parties speak through relays, where faults can be put
    company: bool = False  # every front is told of the others
    settle_within_s: Figure | None = None  # after the last crowd has come
    stall_limit_ms: Figure | None = None
    tenants: TenantBar | None = None
    release: Release | None = None
    slots: SlotDay | None = None
    versions: list[Version] = field(default_factory=list)


def names() -> list[str]:
    """The days that come with the program."""
    folder = resources.files("fennelcove.scenarios") / "scripts"
    return sorted(item.name.removesuffix(".sexp") for item in folder.iterdir() if item.name.endswith(".sexp"))


def read(name: str) -> Day:
    """A day that comes with the program, or one of the user's own: a path that ends in `.sexp`.

    Raises:
        SettingsError: no such day, or one that is amiss.
    """
    if name.endswith(".sexp"):
        try:
            source, text = name, Path(name).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f"found no readable file ({error})", name) from None
    elif name not in names():
        raise SettingsError(
            "found no such day", name, f"known are {', '.join(names())}, or a file that ends in .sexp"
        )
    else:
        source = f"{name}.sexp"
        text = (resources.files("fennelcove.scenarios") / "scripts" / source).read_text("utf-8")
    base = LIKE.search(text)
    under = msgspec.to_builtins(read(base.group(1))) if base is not None else None
    day = parse(text, Day, source, under)
    for fault in day_amiss(day):
        raise SettingsError.amiss(source, fault)
    for fault in amiss(_as_told(day)):
        raise SettingsError.amiss(source, f"front.{fault}")
    return day


def _as_told(day: Day) -> FrontSettings:
    """The settings as the first front is told them, where the day adds the others."""
    front = day.front
    if day.fronts == 1 or front.releases is None:
        return front
    replace = msgspec.structs.replace
    some = [f"127.0.0.1:{i + 1}" for i in range(day.fronts)]
    company = replace(front.company, addresses=some) if front.company is not None else None
    if company is None and day.company:
        company = CompanySettings(addresses=some)
    return replace(front, instance=replace(front.instance, fronts=day.fronts), company=company)


def day_amiss(day: Day) -> Iterator[str]:
    """What no single type can refuse in a day."""
    for i, trouble in enumerate(day.troubles):
        at, concerns_front = f"troubles[{i}]", trouble.what.startswith("front-")
        if trouble.box is not None and not concerns_front and trouble.box >= len(day.boxes):
            yield f"{at}.box: found {trouble.box} of {len(day.boxes)} boxes"
        if any(number >= day.fronts for number in trouble.fronts):
            yield f"{at}.fronts: found {max(trouble.fronts)} of {day.fronts} fronts; count from 0"
        if trouble.what == "between" and (trouble.between is None or not day.relays):
            yield f"{at}.between: state who from whom and how, in a day with (relays true)"
        if trouble.what == "order" and not trouble.order:
            yield f"{at}.order: found no words; state what follows `fennelcove fleet`"
        if trouble.what == "power":
            if trouble.power is None:
                yield f"{at}.power: found none; state when boxes and fronts return"
            elif trouble.power.boxes_never + trouble.power.boxes_spared >= len(day.boxes):
                yield f"{at}.power: found no box that returns; there are {len(day.boxes)}"
            elif trouble.power.fronts_never >= day.fronts:
                yield f"{at}.power: found no front that returns; there are {day.fronts}"
