"""Decodes lines of the simulator's protocol into the types of the interface."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from fennelcove import platform_settings as settings_reader
from fennelcove.errors import OperatorError
from fennelcove.interface import (
    AttemptCompleted,
    ClientGone,
    Handover,
    ListEntry,
    LoadReport,
    Outcome,
    PeerMessage,
    ProbeCompleted,
    ReportKind,
    Request,
    ServerState,
    SessionReport,
    SessionStarted,
    Settings,
    TimerFired,
    TimerName,
)
from fennelcove.messages import decode

E = TypeVar("E", bound=Enum)
Fields = dict[str, str]


class WireError(OperatorError):
    """A line of the simulator that this adapter can't decode."""

    code = "simulator-line-unreadable"
    advice = "Look at the line named: the simulator and this adapter must be of one version"


def split_line(line: str) -> tuple[str, Fields]:
    """Split a line into its message name and its fields."""
    name, _, rest = line.partition(" ")
    fields: Fields = {}
    while rest:
        key, equals, value = rest.partition("=")
        if not equals or not key or " " in key:
            raise WireError("missing value", f"field {key!r}")
        if key == "Facts":
            fields[key] = value
            break
        fields[key], _, rest = value.partition(" ")
    return name, fields


def text(fields: Fields, key: str) -> str:
    """A required field."""
    try:
        return fields[key]
    except KeyError:
        raise WireError("missing", f"field {key}") from None


def number(fields: Fields, key: str, default: float | None = None) -> float:
    """A finite number."""
    if key not in fields and default is not None:
        return default
    raw = text(fields, key)
    try:
        value = float(raw)
    except ValueError:
        raise WireError(f"not a number: {raw!r}", f"field {key}") from None
    if not math.isfinite(value):
        raise WireError(f"not a finite number: {raw!r}", f"field {key}")
    return value


def integer(fields: Fields, key: str, default: int | None = None) -> int:
    """An integer."""
    if key not in fields and default is not None:
        return default
    raw = text(fields, key)
    try:
        return int(raw)
    except ValueError:
        value = number(fields, key)
        if value != int(value):
            raise WireError(f"not an integer: {raw!r}", f"field {key}") from None
        return int(value)


def microseconds(fields: Fields, key: str, default: int | None = None) -> int:
    """A time in microseconds, from a value in milliseconds."""
    if key not in fields and default is not None:
        return default
    return round(number(fields, key) * 1000)


def at_least(fields: Fields, key: str, value: int, min_value: int = 0) -> int:
    """A value that must not be below a minimum."""
    if value < min_value:
        raise WireError(f"value below {min_value}: {fields[key]!r}", f"field {key}")
    return value


def flag(fields: Fields, key: str) -> bool:
    """A flag, 0 or 1; absent means 0."""
    raw = fields.get(key, "0")
    if raw not in ("0", "1"):
        raise WireError(f"neither 0 nor 1: {raw!r}", f"field {key}")
    return raw == "1"


def choice(fields: Fields, key: str, kind: Callable[[str], E]) -> E:
    """One of an enumeration's values."""
    raw = text(fields, key)
    try:
        return kind(raw)
    except ValueError:
        raise WireError(f"unknown value: {raw!r}", f"field {key}") from None


def list_entry(fields: Fields) -> ListEntry:
    """One line of a server list."""
    return ListEntry(
        address=text(fields, "Server"),
        zone=text(fields, "FailureDomain"),
        kind=text(fields, "Hw"),
        cell=integer(fields, "Place"),
        state=choice(fields, "State", ServerState),
        weight=number(fields, "Share", 1.0),
        started_us=microseconds(fields, "CameUpMs", 0),
    )


def request(fields: Fields, settings: Settings) -> Request:
    """A client's request for a session."""
    if text(fields, "TierClass") not in settings.service_classes:
        raise WireError(f"unknown service class: {fields['TierClass']!r}", "field TierClass")
    if not 0 <= integer(fields, "TopRung") < len(settings.ladder_kb):
        raise WireError(f"rung outside of the bitrate ladder: {fields['TopRung']!r}", "field TopRung")
    return Request(
        id=text(fields, "Job"),
        service_class=text(fields, "TierClass"),
        title=integer(fields, "Asset"),
        first_cell=integer(fields, "StartCell"),
        cell_count=integer(fields, "CellsInRow"),
        top_rung=integer(fields, "TopRung"),
        timeout_us=microseconds(fields, "BudgetMs", 0),
        tenant=fields.get("Party", ""),
        is_repeat=flag(fields, "Returned"),
        expected_play_us=at_least(fields, "CostGuessMs", microseconds(fields, "CostGuessMs", 0)) or None,
    )


def handover(fields: Fields, settings: Settings) -> Handover:
    """A session that is already playing."""
    return Handover(request(fields, settings), text(fields, "Server"))


def attempt_number(fields: Fields) -> int:
    """Index of an attempt within its session."""
    number = integer(fields, "Try")
    if number < 0:
        raise WireError(f"negative number: {number}", "field Try")
    return number


def session_started(fields: Fields) -> SessionStarted:
    """A session that has started to play."""
    return SessionStarted(text(fields, "Job"), attempt_number(fields), microseconds(fields, "TookMs"))


def attempt_completed(fields: Fields, report_fields: tuple[str, ...]) -> AttemptCompleted:
    """The outcome of an attempt, with the load report in the same message."""
    return AttemptCompleted(
        id=text(fields, "Job"),
        attempt=attempt_number(fields),
        outcome=choice(fields, "Reason", Outcome),
        is_finished=flag(fields, "DoneFlag"),
        report=load_report(fields, report_fields),
    )


def probe_completed(fields: Fields, report_fields: tuple[str, ...]) -> ProbeCompleted:
    """The outcome of a probe, with the load report in the same message."""
    return ProbeCompleted(
        server=text(fields, "Server"),
        outcome=choice(fields, "Reason", Outcome),
        duration_us=microseconds(fields, "TookMs", 0),
        report=load_report(fields, report_fields),
    )


def peer_message(fields: Fields) -> PeerMessage | None:
    """Another front's message; None for bytes that are not in this project's format."""
    raw = text(fields, "Msg")
    try:
        return decode(integer(fields, "Neighbour"), b"" if raw == "-" else bytes.fromhex(raw))
    except ValueError:
        raise WireError(f"not hexadecimal: {raw!r}", "field Msg") from None


def load_report(fields: Fields, names: tuple[str, ...]) -> LoadReport | None:
    """The load report in a message, whose values are named by the settings; None if it has none."""
    raw = fields.get("Feedback", "")
    if raw in ("", "-"):
        return None
    parts = raw.split(",")
    if len(parts) != len(names):
        raise WireError(f"{len(parts)} values instead of {len(names)}", "field Feedback")
    values = {name: number({"Feedback": part}, "Feedback") for name, part in zip(names, parts, strict=True)}
    return settings_reader.load_report(values)


def session_report(fields: Fields, settings: Settings) -> SessionReport | None:
    """A report on a playing session; None for an unknown kind."""
    kind, level = integer(fields, "Kind"), number(fields, "Level")
    session_id, server = text(fields, "Job"), text(fields, "Server")
    if kind not in ReportKind.__members__.values():
        return None
    if kind == ReportKind.RUNG and not 0 <= level < len(settings.ladder_kb):
        raise WireError(f"rung outside of the bitrate ladder: {fields['Level']!r}", "field Level")
    return SessionReport(session_id, server, ReportKind(kind), level)


def client_gone(fields: Fields) -> ClientGone:
    """The disconnect of a session's client."""
    return ClientGone(text(fields, "Job"))


def timer_fired(fields: Fields) -> TimerFired:
    """A timer that has fired."""
    name = integer(fields, "Name")
    if name not in TimerName.__members__.values():
        raise WireError(f"unknown timer: {name}", "field Name")
    return TimerFired(name)


def read_settings(fields: Fields) -> tuple[Settings, tuple[str, ...]]:
    """The settings, and the names of a load report's values."""
    try:
        return settings_reader.read_settings(json.loads(text(fields, "Facts")))
    except json.JSONDecodeError as error:
        raise WireError(f"not JSON: {error}", "field Facts") from None
    except settings_reader.PlatformSettingsError as error:
        raise WireError(error.happened, error.where) from None
