"""Media, changes and listed segments; times are exact rational seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from fractions import Fraction

MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Media:
    """A title's segments, all of one duration."""

    name: str  # the title
    timescale: int  # ticks a second
    segment_ticks: int  # a segment's duration
    count: int | None  # the number of segments; None for a live title
    rungs: tuple[int, ...]  # the rungs of the bitrate ladder that it is available at
    codecs: str  # as in RFC 6381
    live_from_us: int = 0  # wall time at which a live title began

    @property
    def live(self) -> bool:
        """Whether segments are added as time passes."""
        return self.count is None

    @property
    def each(self) -> Fraction:
        """A segment's duration, in seconds."""
        return Fraction(self.segment_ticks, self.timescale)

    def start(self, number: int) -> Fraction:
        """Where a segment begins, in seconds of media time."""
        return Fraction(number * self.segment_ticks, self.timescale)

    def first_segment_at_or_after(self, media_time_s: Fraction) -> int:
        """The first segment that begins at or after a media time."""
        return -(-media_time_s // self.each)

    def ready(self, wall_us: int) -> int:
        """The number of segments available at a wall time."""
        if self.count is not None:
            return self.count
        elapsed_s = self.live_time_s(wall_us)
        return int(elapsed_s // self.each)

    def live_time_s(self, wall_us: int) -> Fraction:
        """The media time of a live title at a wall time, in seconds."""
        return Fraction(max(0, wall_us - self.live_from_us), MICROSECONDS_PER_SECOND)


class Kind(Enum):
    """What a change does; the values are part of the HTTP interface and of the ledger."""

    INSERT = "insert"  # splice the clip in between two segments
    REPLACE = "replace"  # splice the clip in place of a range of the title
    CUT = "cut"  # leave a range of the title out


@dataclass(frozen=True, slots=True)
class Target:
    """The sessions that a change applies to: all of a title, those of one service class, or a single one."""

    title: str
    room_type: str | None = None
    subscription: str | None = None

    def meets(self, title: str, service_class: str, session_id: str) -> bool:
        """Whether the change applies to this session."""
        return (
            self.title == title
            and self.room_type in (None, service_class)
            and self.subscription in (None, session_id)
        )

    def may_overlap(self, other: Target) -> bool:
        """Whether changes with these two targets could apply to the same session."""
        return (
            self.title == other.title
            and _is_compatible(self.room_type, other.room_type)
            and _is_compatible(self.subscription, other.subscription)
        )


def _is_compatible(one: str | None, other: str | None) -> bool:
    return one is None or other is None or one == other


@dataclass(frozen=True, slots=True)
class Change:
    """One author's change to a title."""

    id: str  # chosen by the author, never used twice
    author: str  # the name that belongs to the author's key
    target: Target  # the sessions that it applies to
    kind: Kind  # what it does
    clip: str | None  # the title that is spliced in; None for a cut
    # Media time from which on it applies, in seconds; None where a wall time is given.
    at: Fraction | None = None
    # Media time at which the title continues, in seconds; None for an insertion.
    until: Fraction | None = None
    wall_us: int | None = None  # wall time at which it applies, to each player where it is then

    def first(self, media: Media) -> int | None:
        """The title's segment before which it applies; None where that differs between players."""
        if self.at is not None:
            return media.first_segment_at_or_after(self.at)
        if media.live and self.wall_us is not None:
            return media.first_segment_at_or_after(media.live_time_s(self.wall_us))
        return None

    def after(self, media: Media) -> int | None:
        """The title's segment with which it continues; None where that differs between players."""
        first = self.first(media)
        if first is None or self.until is None:
            return first
        return max(first, media.first_segment_at_or_after(self.until))


@dataclass(frozen=True, slots=True)
class PeriodStart:
    """Where a period began: a run of segments of one source at one rung. Manifests name the period by it."""

    sequence_number: int
    number: int
    start: Fraction


@dataclass(frozen=True, slots=True)
class Shown:
    """One segment as it was listed for a player."""

    sequence_number: int  # its number in the player's manifests
    media: str  # the title that it is a segment of
    number: int  # its number in that title
    rung: int  # the rung of the bitrate ladder that it is listed at
    start: Fraction  # its start on the player's own timeline, in seconds from 0
    duration: Fraction  # in seconds
    period: PeriodStart  # where the run of segments that it belongs to began
    change: str = ""  # the id of the change that spliced it in; empty for a segment of the session's title
    is_discontinuity: bool = False  # it comes from another source than the segment before
    breaks: tuple[str, ...] = ()  # ids of the changes whose clips are played as interstitials before it

    @property
    def end(self) -> Fraction:
        """Where the next segment begins, in seconds."""
        return self.start + self.duration
