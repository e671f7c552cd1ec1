"""Formats exact times as decimals for manifests, without accumulating rounding errors."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from fractions import Fraction

from fennelcove.timeline.model import MICROSECONDS_PER_SECOND


def to_microseconds(time_s: Fraction) -> int:
    """Converts a time in seconds to microseconds, rounding halves to even."""
    return round(time_s * MICROSECONDS_PER_SECOND)


def to_decimal_seconds(us: int) -> str:
    """Formats microseconds as seconds with six decimals."""
    return f"{us // MICROSECONDS_PER_SECOND}.{us % MICROSECONDS_PER_SECOND:06d}"


def duration_between(start_s: Fraction, end_s: Fraction) -> str:
    """Formats the duration between two times as the difference of the rounded times.

    So the durations of adjacent segments add up to the rounded total duration.
    """
    return to_decimal_seconds(to_microseconds(end_s) - to_microseconds(start_s))


def format_wall_time(wall_us: int) -> str:
    """Formats a wall time as RFC 3339 requires, in UTC with microseconds."""
    wall_time = datetime(1970, 1, 1, tzinfo=UTC) + timedelta(microseconds=wall_us)
    return wall_time.strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def format_duration(us: int) -> str:
    """Formats a duration in microseconds as XML Schema's xs:duration."""
    return f"PT{to_decimal_seconds(us)}S"
