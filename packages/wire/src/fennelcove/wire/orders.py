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
Number = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
Thousandths = Annotated[int, Meta(ge=0, le=1000)]
Few = Annotated[int, Meta(ge=1, le=0x7FFF)]
Step = Annotated[int, Meta(ge=1, le=255)]
Place = Annotated[int, Meta(ge=0, le=0x7FFF)]


class PlanOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`release-start`, `release-change`: what is wanted, in which steps, and what halts it. `fence` is what
    the operator saw last.
    """

    fence: Number
    wanted: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)]
    before: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)]
    canary: Few = 1
    wave: Few = 1
    soak_ms: Number = 30_000
    out_ms: Number = 60_000
    floor: Thousandths = 900
    refused: Thousandths = 100
    failed: Thousandths = 50
    worse: Thousandths = 20
    level: Step = 2
    storm: Step = 2


class FenceOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`release-halt`, `release-on`, `release-back`."""

    fence: Number


class OutOrder(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`out`: this front, to come back with a version. `box-out`: the box of a cell. `write-off`: a front by
    its index or a box by its cell does not come back.
    """

    kind: Literal["front", "box"] = "front"
    place: Place = 0
    version: Annotated[int, Meta(ge=1, le=0xFFFF_FFFF)] = 1
