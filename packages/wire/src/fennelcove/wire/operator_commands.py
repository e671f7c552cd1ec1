"""Bodies of operator commands about rollouts; ratios are in thousandths, times in milliseconds."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

COMMANDS = (
    "drain",
    "undrain",
    "release-start",
    "release-change",
    "release-halt",
    "release-on",
    "release-back",
    "release-anew",
    "out",
    "box-out",
    "write-off",
)
UInt32 = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
PerMille = Annotated[int, Meta(ge=0, le=1000)]
PositiveInt16 = Annotated[int, Meta(ge=1, le=0x7FFF)]
PositiveUInt8 = Annotated[int, Meta(ge=1, le=255)]
NonNegativeInt16 = Annotated[int, Meta(ge=0, le=0x7FFF)]


class PlanOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`release-start`, `release-change`: the target version, the steps to it, and what halts the rollout.

    `fence` is the value that the operator saw last; a stale one is rejected. `before` is the version to roll
    back to, `canary` the number of fronts in the first step, `wave` in each further one.

    The rollout halts if a front is unavailable for longer than `out_ms`, if less than `floor` of the set-ups
    are served, more than `refused` are rejected or more than `failed` have a failed attempt, if the new
    version is behind its neighbours by more than `worse`, or at load-shedding level `level` or retry-storm
    phase `storm`.
    """

    fence: UInt32
    wanted: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)]
    before: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)]
    canary: PositiveInt16 = 1
    wave: PositiveInt16 = 1
    soak_ms: UInt32 = 30_000
    out_ms: UInt32 = 60_000
    floor: PerMille = 900
    refused: PerMille = 100
    failed: PerMille = 50
    worse: PerMille = 20
    level: PositiveUInt8 = 2
    storm: PositiveUInt8 = 2


class FenceOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`release-halt`, `release-on` and `release-back`: halt, resume or roll back."""

    fence: UInt32


class OutOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The body of `out`, `box-out` and `write-off`.

    `out` takes this front out of service, to restart with a version. `box-out` takes out the server of a
    cell. `write-off` declares that a front, by its index, or a server, by its cell, will not return.
    """

    kind: Literal["front", "box"] = "front"
    place: NonNegativeInt16 = 0
    version: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)] = 1
