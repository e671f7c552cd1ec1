"""Turns the simulator's wire into the interface's types and effects back into lines."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

from fennelcove.interface import (
    ClientGone,
    Effect,
    Handover,
    JoinEnded,
    ListEntry,
    LoadReport,
    Note,
    NoteKind,
    Outcome,
    PeerSays,
    Probed,
    Request,
    RoomType,
    Scope,
    Settings,
    Standing,
    Started,
    TimerFired,
    TimerName,
)
from fennelcove.messages import unpack

E = TypeVar("E", bound=Enum)
Fields = dict[str, str]


class WireError(Exception):
    """The wire said something that this adapter can't read."""


def split(line: str) -> tuple[str, Fields]:
    """Part a line into its message name and its fields."""
    name, _, rest = line.partition(" ")
    fields: Fields = {}
    while rest:
        key, equals, value = rest.partition("=")
        if not equals or not key or " " in key:
            raise WireError(f"field {key!r} has no value")
        if key == "Facts":
            fields[key] = value
            break
        fields[key], _, rest = value.partition(" ")
    return name, fields


def text(fields: Fields, key: str) -> str:
    """A field that must be there."""
    try:
        return fields[key]
    except KeyError:
        raise WireError(f"field {key} is missing") from None


def number(fields: Fields, key: str, default: float | None = None) -> float:
    """A finite number."""
    if key not in fields and default is not None:
        return default
    raw = text(fields, key)
    try:
        value = float(raw)
    except ValueError:
        raise WireError(f"field {key} is no number: {raw!r}") from None
    if not math.isfinite(value):
        raise WireError(f"field {key} is no finite number: {raw!r}")
    return value


def whole(fields: Fields, key: str, default: int | None = None) -> int:
    """A whole number."""
    if key not in fields and default is not None:
        return default
    raw = text(fields, key)
    try:
        return int(raw)
    except ValueError:
        value = number(fields, key)
        if value != int(value):
            raise WireError(f"field {key} is no whole number: {raw!r}") from None
        return int(value)


def micros(fields: Fields, key: str, default: int | None = None) -> int:
    """A time, from milliseconds."""
    if key not in fields and default is not None:
        return default
    return round(number(fields, key) * 1000)


def at_least(fields: Fields, key: str, value: int, least: int = 0) -> int:
    """A value that must not lie under its least."""
    if value < least:
        raise WireError(f"field {key} is under {least}: {fields[key]!r}")
    return value


def flag(fields: Fields, key: str) -> bool:
    """A bool; absent means false."""
    raw = fields.get(key, "0")
    if raw not in ("0", "1"):
        raise WireError(f"field {key} is neither 1 nor 0: {raw!r}")
    return raw == "1"


def choice(fields: Fields, key: str, kind: Callable[[str], E]) -> E:
    """One of an enumeration's values."""
    raw = text(fields, key)
    try:
        return kind(raw)
    except ValueError:
        raise WireError(f"field {key} has an unknown value: {raw!r}") from None


def entry(fields: Fields) -> ListEntry:
    """One line of a server list."""
    return ListEntry(
        address=text(fields, "Server"),
        zone=text(fields, "FailureDomain"),
        kind=text(fields, "Hw"),
        cell=whole(fields, "Place"),
        standing=choice(fields, "State", Standing),
        weight=number(fields, "Share", 1.0),
        started_us=micros(fields, "CameUpMs", 0),
    )


def request(fields: Fields, settings: Settings) -> Request:
    """A subscription to be set up."""
    if text(fields, "TierClass") not in settings.rooms:
        raise WireError(f"field TierClass is none of the settings': {fields['TierClass']!r}")
    if not 0 <= whole(fields, "TopRung") < len(settings.ladder_kb):
        raise WireError(f"field TopRung is not on the ladder: {fields['TopRung']!r}")
    return Request(
        id=text(fields, "Job"),
        room=text(fields, "TierClass"),
        title=whole(fields, "Asset"),
        first_cell=whole(fields, "StartCell"),
        cell_count=whole(fields, "CellsInRow"),
        top_rung=whole(fields, "TopRung"),
        timeout_us=micros(fields, "BudgetMs", 0),
        tenant=fields.get("Party", ""),
        returned=flag(fields, "Returned"),
        watch_guess_us=at_least(fields, "CostGuessMs", micros(fields, "CostGuessMs", 0)) or None,
    )


def handover(fields: Fields, settings: Settings) -> Handover:
    """A subscription that plays already."""
    return Handover(request(fields, settings), text(fields, "Server"))


def join_number(fields: Fields) -> int:
    """Which join of its subscription."""
    number = whole(fields, "Try")
    if number < 0:
        raise WireError(f"field Try is negative: {number}")
    return number


def started(fields: Fields) -> Started:
    """A viewer watches."""
    return Started(text(fields, "Job"), join_number(fields), micros(fields, "TookMs"))


def join_ended(fields: Fields, report_fields: tuple[str, ...]) -> JoinEnded:
    """A join's outcome, with the report that came along."""
    return JoinEnded(
        id=text(fields, "Job"),
        join=join_number(fields),
        outcome=choice(fields, "Reason", Outcome),
        finished=flag(fields, "DoneFlag"),
        report=load_report(fields, report_fields),
    )


def probed(fields: Fields, report_fields: tuple[str, ...]) -> Probed:
    """The end of a probe, with the report that came along."""
    return Probed(
        server=text(fields, "Server"),
        outcome=choice(fields, "Reason", Outcome),
        took_us=micros(fields, "TookMs", 0),
        report=load_report(fields, report_fields),
    )


def peer_says(fields: Fields) -> PeerSays | None:
    """Another front's message; one that does not read as any is passed over: its sender is not ours."""
    raw = text(fields, "Msg")
    try:
        return unpack(whole(fields, "Neighbour"), b"" if raw == "-" else bytes.fromhex(raw))
    except ValueError:
        raise WireError(f"field Msg is no hex: {raw!r}") from None


def load_report(fields: Fields, names: tuple[str, ...]) -> LoadReport | None:
    """The values that the server sent, by name."""
    raw = fields.get("Feedback", "")
    if raw in ("", "-"):
        return None
    parts = raw.split(",")
    if len(parts) != len(names):
        raise WireError(f"field Feedback has {len(parts)} values, not {len(names)}")
    values = {name: number({"Feedback": part}, "Feedback") for name, part in zip(names, parts, strict=True)}
    return LoadReport(values.get("x0", values.get("util")), values.get("x1"))


def note(fields: Fields, settings: Settings) -> Note | None:
    """A note; kinds that the interface doesn't know are skipped."""
    kind, level = whole(fields, "Kind"), number(fields, "Level")
    job, server = text(fields, "Job"), text(fields, "Server")
    if kind not in NoteKind.__members__.values():
        return None
    if kind == NoteKind.RUNG and not 0 <= level < len(settings.ladder_kb):
        raise WireError(f"field Level is not on the ladder: {fields['Level']!r}")
    return Note(job, server, NoteKind(kind), level)


def client_gone(fields: Fields) -> ClientGone:
    """Nobody waits any more."""
    return ClientGone(text(fields, "Job"))


def timer_fired(fields: Fields) -> TimerFired:
    """A timer's time has come."""
    name = whole(fields, "Name")
    if name not in TimerName.__members__.values():
        raise WireError(f"field Name names no timer of a front: {name}")
    return TimerFired(name)


class Facts:
    """Reads typed values out of the start message's settings, naming what is amiss."""

    def __init__(self, tree: Any, path: str = "Facts") -> None:
        if not isinstance(tree, dict):
            raise WireError(f"field {path} is no object")
        self.tree: dict[str, Any] = tree
        self.path = path

    def sub(self, key: str) -> Facts:
        return Facts(self.tree.get(key, {}), f"{self.path}.{key}")

    def subs(self, key: str) -> list[Facts]:
        return [Facts(item, f"{self.path}.{key}[{i}]") for i, item in enumerate(self.items(key))]

    def items(self, key: str) -> list[Any]:
        value = self.tree.get(key, [])
        if not isinstance(value, list):
            raise WireError(f"field {self.path}.{key} is no list")
        return value

    def maybe(self, key: str) -> float | None:
        value = self.tree.get(key)
        if value is None:
            return None
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise WireError(f"field {self.path}.{key} is no number")
        return float(value)

    def number(self, key: str, default: float | None = None) -> float:
        value = self.maybe(key)
        if value is None:
            value = default
        if value is None:
            raise WireError(f"field {self.path}.{key} is missing")
        return value

    def numbers(self, key: str) -> tuple[float, ...]:
        return tuple(Facts({key: item}, self.path).number(key) for item in self.items(key))

    def micros(self, key: str) -> int:
        return round(self.number(key, 0.0) * 1000)

    def text(self, key: str, default: str) -> str:
        value = self.tree.get(key, default)
        if not isinstance(value, str):
            raise WireError(f"field {self.path}.{key} is no text")
        return value


def at(values: tuple[float, ...], index: int, default: float) -> float:
    """A per-type value, where the settings give it."""
    return values[index] if index < len(values) else default


def facts(fields: Fields) -> tuple[Settings, tuple[str, ...]]:
    """The settings, and the names of a load report's values."""
    try:
        root = Facts(json.loads(text(fields, "Facts")))
    except json.JSONDecodeError as error:
        raise WireError(f"field Facts is no JSON: {error}") from None
    info, rules, allowed, prices, goal = (
        root.sub(key) for key in ("FamilyInfo", "Rules", "Allowed", "Prices", "Goal")
    )
    ladder, worth = info.numbers("LevelKb"), info.numbers("WorthByRung")
    if not ladder or len(worth) != len(ladder):
        raise WireError("field Facts.FamilyInfo.LevelKb and WorthByRung name no ladder of rungs")
    scale, floor, seats = (info.numbers(key) for key in ("ClassScale", "ClassFloor", "ClassSeats"))
    if any(not 0 <= value < len(ladder) for value in floor):
        raise WireError("field Facts.FamilyInfo.ClassFloor names rungs that the ladder lacks")
    rooms: dict[str, RoomType] = {}
    for i, lane in enumerate(root.subs("Lanes")):
        rooms[lane.text("Name", str(i))] = RoomType(
            objective_us=round(lane.number("AimMs") * 1000),
            benefit=lane.number("Importance", 1.0),
            effect=choice({"Effect": lane.text("Effect", "free")}, "Effect", Effect),
            scope=choice({"DedupScope": lane.text("DedupScope", "all")}, "DedupScope", Scope),
            key_ttl_us=lane.micros("KeyTtlMs"),
            scale=at(scale, i, 1.0),
            floor=int(at(floor, i, 0)),
            seats=int(at(seats, i, 0)),
        )
    if not rooms:
        raise WireError("field Facts.Lanes names no room types")
    kinds = [item for item in root.items("Kinds") if isinstance(item, str)]
    streams = info.numbers("KindStreams")
    fields_told = tuple(str(item) for item in root.sub("LoadReport").items("Fields"))
    send_cap = allowed.maybe("SendCap")
    ask_within = rules.maybe("AskWithinMs")
    settings = Settings(
        rooms=rooms,
        fronts=max(1, int(root.number("Balancers", 1))),
        index=int(root.number("Index", 0)),
        zone=root.text("Zone", ""),
        ladder_kb=ladder,
        ladder_worth=worth,
        kind_streams={kind: int(at(streams, i, 0)) for i, kind in enumerate(kinds)},
        kb_per_weight=info.number("KbPerWeight", 0.0),
        all_links_kb=info.number("AllLinksKb", 0.0),
        sizes_listed=root.text("Weights", "none") != "none",
        racks=max(1, int(info.number("Racks", 1))),
        cells=max(1, int(info.number("Places", 1))),
        uplink_kb=info.number("RackLinkKb", 0.0),
        uplinks_told="x1" in fields_told,
        seen_after_us=info.micros("SeenAfterMs"),
        reports_every_us=info.micros("ReportsEveryMs"),
        guard=info.number("Guard", 0.0),
        cross_zone_price=prices.number("CrossZone", 0.0),
        send_cap=None if send_cap is None else int(send_cap),
        retry_after_us=allowed.micros("MaxRetryAfterMs") if allowed.tree.get("RetryAfter") else None,
        must_ask=root.text("Discovery", "push") == "ask",
        ask_within_us=None if ask_within is None else round(ask_within * 1000),
        start_capacity=rules.number("StartCapacity", 1.0),
        ramp_us=rules.micros("RampTimeMs"),
        budget_free=rules.maybe("BudgetFree"),
        budget_ratio=rules.number("ExtraRatio", 0.0),
        budget_span_us=rules.micros("ResendSpanMs"),
        probe_price=prices.number("Probe", 0.0) if allowed.tree.get("MayProbe") else None,
        peer_price=prices.number("Peer", 0.0) if allowed.tree.get("Peers") else None,
        reports_unasked=root.sub("LoadReport").text("Source", "answers") == "answers",
        quotas={tenant.text("Name", ""): tenant.number("QuotaPerS") for tenant in root.subs("Tenants")},
        over_quota_worth=root.number("OverShareWorth", 1.0),
        worst_room_part=goal.number("WorstClass", 0.0) / (goal.number("Whole", 1.0) or 1.0),
        switch_cost_us=round(info.number("SwitchCostS", 0.0) * 1_000_000),
    )
    return settings, fields_told
