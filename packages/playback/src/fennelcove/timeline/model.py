"""Media, changes and shown segments, in exact rational seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from fractions import Fraction


@dataclass(frozen=True, slots=True)
class Media:
    """A title's segments: each `ticks` long on its own timescale; `count` None is live from a wall time
    on."""

    name: str
    timescale: int
    segment_ticks: int
    count: int | None
    rungs: tuple[int, ...]
    codecs: str
    live_from_us: int = 0

    @property
    def live(self) -> bool:
        """Segments come as time passes."""
        return self.count is None

    @property
    def each(self) -> Fraction:
        """A segment's duration in seconds."""
        return Fraction(self.segment_ticks, self.timescale)

    def start(self, number: int) -> Fraction:
        """Where a segment begins in its own media, in seconds."""
        return Fraction(number * self.segment_ticks, self.timescale)

    def first_segment_at_or_after(self, at: Fraction) -> int:
        """The first segment that begins at or after this time."""
        return -(-at // self.each)

    def ready(self, wall_us: int) -> int:
        """How many segments there are by now."""
        if self.count is not None:
            return self.count
        since = Fraction(max(0, wall_us - self.live_from_us), 1_000_000)
        return int(since // self.each)


class Kind(Enum):
    """What a change does."""

    INSERT = "insert"  # the clip between two segments
    REPLACE = "replace"  # the clip in place of a stretch
    CUT = "cut"  # a stretch left out


@dataclass(frozen=True, slots=True)
class Target:
    """Whom a change concerns: a title, of it one room type, or one subscription."""

    title: str
    room_type: str | None = None
    subscription: str | None = None

    def meets(self, title: str, room_type: str, subscription: str) -> bool:
        """Whether this subscription sees the change."""
        return (
            self.title == title
            and self.room_type in (None, room_type)
            and self.subscription in (None, subscription)
        )

    def may_overlap(self, other: Target) -> bool:
        """Whether some subscription might see changes to both."""

        def both(mine: str | None, theirs: str | None) -> bool:
            return mine is None or theirs is None or mine == theirs

        return (
            self.title == other.title
            and both(self.room_type, other.room_type)
            and both(self.subscription, other.subscription)
        )


@dataclass(frozen=True, slots=True)
class Change:
    """One author's change. `at` and `until` are media seconds; `wall_us` in place of `at` is a moment."""

    id: str
    author: str
    target: Target
    kind: Kind
    clip: str | None
    at: Fraction | None = None
    until: Fraction | None = None
    wall_us: int | None = None

    def first(self, media: Media) -> int | None:
        """The lesson's segment before which it acts; None for a moment that each player meets elsewhere."""
        if self.at is not None:
            return media.first_segment_at_or_after(self.at)
        if media.live and self.wall_us is not None:
            return media.first_segment_at_or_after(
                Fraction(max(0, self.wall_us - media.live_from_us), 1_000_000)
            )
        return None

    def after(self, media: Media) -> int | None:
        """The lesson's segment with which it goes on; None as for `first`, or where nothing is left out."""
        first = self.first(media)
        if first is None or self.until is None:
            return first
        return max(first, media.first_segment_at_or_after(self.until))


@dataclass(frozen=True, slots=True)
class PeriodStart:
    """Where a run of segments of one source at one rung began: manifests must name it alike from then on."""

    sequence_number: int
    number: int
    start: Fraction


@dataclass(frozen=True, slots=True)
class Shown:
    """One segment as a player was told of it; its start is on the player's own timeline, from 0."""

    sequence_number: int
    media: str
    number: int
    rung: int
    start: Fraction
    duration: Fraction
    period: PeriodStart
    change: str = ""
    is_discontinuity: bool = False  # another source than the segment before: a discontinuity
    breaks: tuple[str, ...] = ()  # changes whose clips are told apart, and play before this segment

    @property
    def end(self) -> Fraction:
        """Where the next one begins."""
        return self.start + self.duration
