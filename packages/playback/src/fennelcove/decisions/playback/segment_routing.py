"""Where a shown segment is fetched from, and what stands in when its server drains, dies or lacks it.

The lesson comes from the subscription's own box, where its place is. A stitched segment comes from there too
if the box holds the clip; else from another holder, a lower rendition, the slate that every box holds, in
that order. The unstitched lesson, last of all, can only be chosen before a segment is shown
(`tracks.advance`).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto


class Source(Enum):
    """Where a segment comes from, the best first."""

    HOME = auto()
    OTHER = auto()
    LOWER = auto()
    SLATE = auto()
    WAIT = auto()  # its home is being made; ask again in a moment
    NONE = auto()


class Fault(Enum):
    """What speaks against a source."""

    NOT_HELD = auto()  # no usable box holds the media at this rung
    OUT = auto()  # the home is gone, or has left the list
    TRIED = auto()  # the player comes again for the same segment: it got nothing whole there


# For stitched segments; for those of the lesson there is no other place than a home.
TABLE: dict[tuple[Source, Fault], Source] = {
    **{(Source.HOME, fault): Source.OTHER for fault in Fault},
    **{(Source.OTHER, fault): Source.LOWER for fault in Fault},
    **{(Source.LOWER, fault): Source.SLATE for fault in Fault},
    **{(Source.SLATE, fault): Source.NONE for fault in Fault},
}


@dataclass(frozen=True, slots=True)
class Offer:
    """What could serve a segment now; boxes by address."""

    home: str | None  # None while a home is being made
    home_holds: bool
    others: Sequence[str]  # usable holders at this rung, the first to be taken first
    lower: Sequence[str]  # usable holders at a lower rung that the clip has
    slate: str | None  # a usable box for the slate, where there is a slate


@dataclass(frozen=True, slots=True)
class Pick:
    """The source and its box."""

    source: Source
    server: str = ""


def pick_lesson(offer: Offer) -> Pick:
    """Where the lesson's segment is fetched."""
    return Pick(Source.HOME, offer.home) if offer.home is not None else Pick(Source.WAIT)


def pick_clip(offer: Offer, tried: Sequence[str]) -> Pick:
    """Where a stitched segment is fetched by a player that got nothing whole from the boxes tried."""
    source = Source.HOME
    while source is not Source.NONE:
        server, fault = _ask(source, offer, tried)
        if server is not None:
            return Pick(source, server)
        source = TABLE[source, fault]
    return Pick(Source.WAIT if offer.home is None else Source.NONE)


def _ask(source: Source, offer: Offer, tried: Sequence[str]) -> tuple[str | None, Fault]:
    if source is Source.HOME:
        if offer.home is None:
            return None, Fault.OUT
        if not offer.home_holds:
            return None, Fault.NOT_HELD
        return (None, Fault.TRIED) if offer.home in tried else (offer.home, Fault.TRIED)
    if source is Source.SLATE:
        return offer.slate, Fault.NOT_HELD
    servers = offer.others if source is Source.OTHER else offer.lower
    left = [server for server in servers if server not in tried]
    return (left[0] if left else None), (Fault.TRIED if servers else Fault.NOT_HELD)
