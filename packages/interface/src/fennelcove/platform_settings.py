"""Reads the platform settings of a front, sent by the simulator or stored in a node's file."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from fennelcove.errors import OperatorError
from fennelcove.interface import Effect, LoadReport, Scope, ServiceClass, Settings

E = TypeVar("E", bound=Enum)


class PlatformSettingsError(OperatorError):
    """The platform's settings hold a field that can't be used."""

    code = "platform-settings-unusable"
    advice = "Correct the field in the settings that the platform hands over; nothing of them was used"


def load_report(values: dict[str, float]) -> LoadReport:
    """The load report with these values by name; unused names are ignored."""
    return LoadReport(values.get("x0", values.get("util")), values.get("x1"))


class SettingsReader:
    """Reads typed values from nested settings; its errors name the invalid field."""

    def __init__(self, tree: Any, path: str = "Facts") -> None:
        if not isinstance(tree, dict):
            raise PlatformSettingsError("not an object", f"field {path}")
        self.tree: dict[str, Any] = tree
        self.path = path

    def section(self, key: str) -> SettingsReader:
        """The reader of a nested object; an empty one if absent."""
        return SettingsReader(self.tree.get(key, {}), f"{self.path}.{key}")

    def sections(self, key: str) -> list[SettingsReader]:
        """The readers of a list of objects."""
        return [SettingsReader(item, f"{self.path}.{key}[{i}]") for i, item in enumerate(self.items(key))]

    def items(self, key: str) -> list[Any]:
        """A list; empty if absent."""
        value = self.tree.get(key, [])
        if not isinstance(value, list):
            raise PlatformSettingsError("not a list", f"field {self.path}.{key}")
        return value

    def optional_number(self, key: str) -> float | None:
        """A finite number, or None if absent."""
        value = self.tree.get(key)
        if value is None:
            return None
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise PlatformSettingsError("not a finite number", f"field {self.path}.{key}")
        return float(value)

    def number(self, key: str, default: float | None = None) -> float:
        """A finite number; without a default it is required."""
        value = self.optional_number(key)
        if value is None:
            value = default
        if value is None:
            raise PlatformSettingsError("missing", f"field {self.path}.{key}")
        return value

    def numbers(self, key: str) -> tuple[float, ...]:
        """A list of finite numbers."""
        return tuple(SettingsReader({key: item}, self.path).number(key) for item in self.items(key))

    def microseconds(self, key: str) -> int:
        """A time in microseconds, from a value in milliseconds; 0 if absent."""
        return round(self.number(key, 0.0) * 1000)

    def text(self, key: str, default: str) -> str:
        """A string."""
        value = self.tree.get(key, default)
        if not isinstance(value, str):
            raise PlatformSettingsError("not a string", f"field {self.path}.{key}")
        return value

    def choice(self, key: str, default: str, kind: Callable[[str], E]) -> E:
        """A member of an enumeration, by its value."""
        value = self.text(key, default)
        try:
            return kind(value)
        except ValueError:
            raise PlatformSettingsError(f"unknown value: {value!r}", f"field {self.path}.{key}") from None


def value_at(values: tuple[float, ...], index: int, default: float) -> float:
    """The value at an index, or a default past the end."""
    return values[index] if index < len(values) else default


def read_service_classes(root: SettingsReader, *, rung_count: int) -> dict[str, ServiceClass]:
    """The service classes by name.

    Raises:
        PlatformSettingsError: a value is missing, of another type or out of its range.
    """
    info = root.section("FamilyInfo")
    scale, floor, seats = (info.numbers(key) for key in ("ClassScale", "ClassFloor", "ClassSeats"))
    if any(not 0 <= value < rung_count for value in floor):
        raise PlatformSettingsError("rung outside of the bitrate ladder", "field Facts.FamilyInfo.ClassFloor")
    service_classes: dict[str, ServiceClass] = {}
    for i, class_settings in enumerate(root.sections("Lanes")):
        service_classes[class_settings.text("Name", str(i))] = ServiceClass(
            latency_objective_us=round(class_settings.number("AimMs") * 1000),
            priority_weight=class_settings.number("Importance", 1.0),
            effect=class_settings.choice("Effect", "free", Effect),
            scope=class_settings.choice("DedupScope", "all", Scope),
            key_ttl_us=class_settings.microseconds("KeyTtlMs"),
            rate_scale=value_at(scale, i, 1.0),
            min_rung=int(value_at(floor, i, 0)),
            seats=int(value_at(seats, i, 0)),
        )
    if not service_classes:
        raise PlatformSettingsError("no service classes", "field Facts.Lanes")
    return service_classes


def read_settings(tree: Any) -> tuple[Settings, tuple[str, ...]]:
    """The settings, and the names of a load report's values; `tree` is parsed JSON, times in milliseconds.

    Raises:
        PlatformSettingsError: a value is missing, of another type or out of its range.
    """
    root = SettingsReader(tree)
    info, rules, allowed = root.section("FamilyInfo"), root.section("Rules"), root.section("Allowed")
    prices, goal = root.section("Prices"), root.section("Goal")
    ladder, utilities = info.numbers("LevelKb"), info.numbers("WorthByRung")
    if not ladder or len(utilities) != len(ladder):
        raise PlatformSettingsError(
            "bitrate ladder empty, or not one utility for each rung",
            "field Facts.FamilyInfo.LevelKb, WorthByRung",
        )
    service_classes = read_service_classes(root, rung_count=len(ladder))
    kinds = [item for item in root.items("Kinds") if isinstance(item, str)]
    streams = info.numbers("KindStreams")
    report_fields = tuple(str(item) for item in root.section("LoadReport").items("Fields"))
    attempt_limit = allowed.optional_number("SendCap")
    poll_window_ms = rules.optional_number("AskWithinMs")
    settings = Settings(
        service_classes=service_classes,
        front_count=max(1, int(root.number("Balancers", 1))),
        front_index=int(root.number("Index", 0)),
        zone=root.text("Zone", ""),
        ladder_kb=ladder,
        rung_utilities=utilities,
        streams_by_kind={kind: int(value_at(streams, i, 0)) for i, kind in enumerate(kinds)},
        kb_per_weight=info.number("KbPerWeight", 0.0),
        total_links_kb=info.number("AllLinksKb", 0.0),
        has_listed_sizes=root.text("Weights", "none") != "none",
        rack_count=max(1, int(info.number("Racks", 1))),
        cell_count=max(1, int(info.number("Places", 1))),
        uplink_kb=info.number("RackLinkKb", 0.0),
        reports_uplinks="x1" in report_fields,
        report_delay_us=info.microseconds("SeenAfterMs"),
        report_interval_us=info.microseconds("ReportsEveryMs"),
        rejects_at=info.number("Guard", 0.0),
        cross_zone_price=prices.number("CrossZone", 0.0),
        max_attempts=None if attempt_limit is None else int(attempt_limit),
        retry_after_us=allowed.microseconds("MaxRetryAfterMs") if allowed.tree.get("RetryAfter") else None,
        must_poll_list=root.text("Discovery", "push") == "ask",
        list_poll_window_us=None if poll_window_ms is None else round(poll_window_ms * 1000),
        start_capacity=rules.number("StartCapacity", 1.0),
        warm_up_us=rules.microseconds("RampTimeMs"),
        slow_start_slack_us=round(
            max(0.0, rules.number("FallMultiple", 1.0) - 1) * rules.microseconds("TipAfterMs")
        ),
        retry_base=rules.optional_number("BudgetFree"),
        retry_ratio=rules.number("ExtraRatio", 0.0),
        retry_window_us=rules.microseconds("ResendSpanMs"),
        probe_price=prices.number("Probe", 0.0) if allowed.tree.get("MayProbe") else None,
        peer_price=prices.number("Peer", 0.0) if allowed.tree.get("Peers") else None,
        has_unsolicited_reports=root.section("LoadReport").text("Source", "answers") == "answers",
        quotas={tenant.text("Name", ""): tenant.number("QuotaPerS") for tenant in root.sections("Tenants")},
        over_quota_utility=root.number("OverShareWorth", 1.0),
        worst_class_weight=goal.number("WorstClass", 0.0) / (goal.number("Whole", 1.0) or 1.0),
        rung_switch_cost_us=round(info.number("SwitchCostS", 0.0) * 1_000_000),
    )
    return settings, report_fields


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Time-outs of connections, and the longest client timeout, in microseconds; 0 if not set."""

    connect_us: int
    idle_us: int
    longest_us: int


def connection_settings(tree: Any) -> ConnectionSettings:
    """The settings that transports need.

    Raises:
        PlatformSettingsError: as `read_settings`.
    """
    root = SettingsReader(tree)
    allowed = root.section("Allowed")
    longest_us = max(
        (class_settings.microseconds("HardLimitMs") for class_settings in root.sections("Lanes")), default=0
    )
    return ConnectionSettings(
        allowed.microseconds("ConnectTimeoutMs"), allowed.microseconds("ConnIdleMs"), longest_us
    )
