"""What servers' messages mean to the decision module."""

from __future__ import annotations

import math

from fennelcove.facts import load_report
from fennelcove.interface import LoadReport, ReportKind, Outcome
from fennelcove.isup.messages import Cause, Code, Message

NOTES = {
    "quality": ReportKind.DELIVERED,
    "profile": ReportKind.RUNG,
    "nic": ReportKind.LINK,
    "tor": ReportKind.UPLINK,
}
BEFORE: dict[int | None, Outcome] = {
    Cause.FULL: Outcome.TURNED_AWAY,
    Cause.ERROR: Outcome.SERVER_ERROR,
    Cause.MOOT: Outcome.NOT_SENT,
}
AFTER: dict[int | None, Outcome] = {Cause.OK: Outcome.SERVED, Cause.CALLED_OFF: Outcome.CALLED_OFF}


def load(message: Message) -> LoadReport | None:
    """The report that came along; one that can't be read is none."""
    values: dict[str, float] = {}
    for part in filter(None, message.text(Code.REPORT).split(";")):
        name, _, raw = part.partition(":")
        value = figure(raw)
        if value is None:
            return None
        values[name] = value
    return load_report(values) if values else None


def figure(raw: str) -> float | None:
    """A finite number, or None."""
    try:
        value = float(raw)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
