"""Exact times as the decimals that manifests hold, so that rounding never adds up."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from fractions import Fraction

MICROSECONDS_PER_SECOND = 1_000_000


def to_microseconds(time_s: Fraction) -> int:
    """A point in time rounded to whole microseconds, halves to even."""
    return round(time_s * MICROSECONDS_PER_SECOND)


def to_decimal_seconds(us: int) -> str:
    """Microseconds as seconds with six decimals."""
    return f"{us // MICROSECONDS_PER_SECOND}.{us % MICROSECONDS_PER_SECOND:06d}"


def duration_between(start_s: Fraction, end_s: Fraction) -> str:
    """A duration as the difference of its rounded ends: a thousand of them sum to their rounded whole."""
    return to_decimal_seconds(to_microseconds(end_s) - to_microseconds(start_s))


def iso(wall_us: int) -> str:
    """A wall time as RFC 3339 has it, in UTC with microseconds."""
    wall_time = datetime(1970, 1, 1, tzinfo=UTC) + timedelta(microseconds=wall_us)
    return wall_time.strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def format_duration(us: int) -> str:
    """A duration as XML schema's xs:duration."""
    return f"PT{to_decimal_seconds(us)}S"
