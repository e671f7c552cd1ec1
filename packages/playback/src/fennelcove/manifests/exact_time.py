"""Exact times as the decimals that manifests hold, so that rounding never adds up."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from fractions import Fraction

MICRO = 1_000_000


def micros(at: Fraction) -> int:
    """A point in time rounded to whole microseconds, halves to even."""
    return round(at * MICRO)


def decimal(us: int) -> str:
    """Microseconds as seconds with six decimals."""
    return f"{us // MICRO}.{us % MICRO:06d}"


def span(start: Fraction, end: Fraction) -> str:
    """A duration as the difference of its rounded ends: a thousand of them sum to their rounded whole."""
    return decimal(micros(end) - micros(start))


def iso(wall_us: int) -> str:
    """A wall time as RFC 3339 has it, in UTC with microseconds."""
    at = datetime(1970, 1, 1, tzinfo=UTC) + timedelta(microseconds=wall_us)
    return at.strftime("%Y-%m-%dT%H:%M:%S.%fZ")


def period(us: int) -> str:
    """A duration as XML schema's xs:duration."""
    return f"PT{decimal(us)}S"
