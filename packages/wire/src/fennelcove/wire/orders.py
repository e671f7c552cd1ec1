"""Bodies of operators' commands about releases; shares in thousandths, times in milliseconds."""

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
    """`release-start`, `release-change`: what is wanted, in which steps, and what halts it. `fence` is what
    the operator saw last.
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
    """`release-halt`, `release-on`, `release-back`."""

    fence: UInt32


class OutOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`out`: this front, to come back with a version. `box-out`: the box of a cell. `write-off`: a front by
    its index or a box by its cell does not come back.
    """

    kind: Literal["front", "box"] = "front"
    place: NonNegativeInt16 = 0
    version: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)] = 1
