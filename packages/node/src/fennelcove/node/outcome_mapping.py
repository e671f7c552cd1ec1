"""Maps servers' messages to the placement policy's types."""

from __future__ import annotations

import math

from fennelcove.interface import LoadReport, Outcome, ReportKind
from fennelcove.isup.messages import Cause, Message, Parameter
from fennelcove.platform_settings import load_report

# The kind of a session report, by its name in the message.
REPORT_KINDS = {
    "quality": ReportKind.DELIVERED,
    "profile": ReportKind.RUNG,
    "nic": ReportKind.LINK,
    "tor": ReportKind.UPLINK,
}
# The outcome of an attempt, by the cause of the release that rejects it.
ATTEMPT_OUTCOMES: dict[int | None, Outcome] = {
    Cause.FULL: Outcome.REJECTED,
    Cause.ERROR: Outcome.SERVER_ERROR,
    Cause.NOT_EXECUTED: Outcome.NOT_SENT,
}
# The outcome of an established session, by the cause of the release that ends it.
SESSION_OUTCOMES: dict[int | None, Outcome] = {
    Cause.OK: Outcome.SERVED,
    Cause.CANCELLED: Outcome.CANCELLED,
}


def release_outcome(message: Message, *, is_established: bool) -> Outcome:
    """The outcome that a release reports; an unknown cause counts as a lost connection."""
    outcomes = SESSION_OUTCOMES if is_established else ATTEMPT_OUTCOMES
    return outcomes.get(message.cause, Outcome.CONNECTION_LOST)


def parse_load_report(message: Message) -> LoadReport | None:
    """The load report in a message; None if it is absent or malformed."""
    values: dict[str, float] = {}
    for part in filter(None, message.text(Parameter.LOAD_REPORT).split(";")):
        name, _, raw = part.partition(":")
        value = parse_number(raw)
        if value is None:
            return None
        values[name] = value
    return load_report(values) if values else None


def parse_number(raw: str) -> float | None:
    """A finite number, or None."""
    try:
        value = float(raw)
    except ValueError:
        return None
    return value if math.isfinite(value) else None
