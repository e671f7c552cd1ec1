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
    segment_count: int | None  # the number of segments; None for a live title
    rungs: tuple[int, ...]  # the rungs of the bitrate ladder that it is available at
    codecs: str  # as in RFC 6381
    live_from_us: int = 0  # wall time at which a live title began

    @property
    def is_live(self) -> bool:
        """Whether segments are added as time passes."""
        return self.segment_count is None

    @property
    def segment_duration_s(self) -> Fraction:
        """A segment's duration, in seconds."""
        return Fraction(self.segment_ticks, self.timescale)

    def segment_start_s(self, number: int) -> Fraction:
        """Where a segment begins, in seconds of media time."""
        return Fraction(number * self.segment_ticks, self.timescale)

    def first_segment_at_or_after(self, media_time_s: Fraction) -> int:
        """The first segment that begins at or after a media time."""
        return -(-media_time_s // self.segment_duration_s)

    def available_segments(self, wall_us: int) -> int:
        """The number of segments available at a wall time."""
        if self.segment_count is not None:
            return self.segment_count
        elapsed_s = self.live_time_s(wall_us)
        return int(elapsed_s // self.segment_duration_s)

    def live_time_s(self, wall_us: int) -> Fraction:
        """The media time of a live title at a wall time, in seconds."""
        return Fraction(max(0, wall_us - self.live_from_us), MICROSECONDS_PER_SECOND)


class ChangeKind(Enum):
    """What a change does; the values are part of the HTTP interface and of the ledger."""

    INSERT = "insert"  # splice the clip in between two segments
    REPLACE = "replace"  # splice the clip in place of a range of the title
    CUT = "cut"  # leave a range of the title out


@dataclass(frozen=True, slots=True)
class ChangeTarget:
    """The sessions that a change applies to: all of a title, those of one service class, or a single one."""

    title: str
    service_class: str | None = None
    session_id: str | None = None

    def matches(self, title: str, service_class: str, session_id: str) -> bool:
        """Whether the change applies to this session."""
        return (
            self.title == title
            and self.service_class in (None, service_class)
            and self.session_id in (None, session_id)
        )

    def may_overlap(self, other: ChangeTarget) -> bool:
        """Whether changes with these two targets could apply to the same session."""
        return (
            self.title == other.title
            and _is_compatible(self.service_class, other.service_class)
            and _is_compatible(self.session_id, other.session_id)
        )


def _is_compatible(one: str | None, other: str | None) -> bool:
    return one is None or other is None or one == other


@dataclass(frozen=True, slots=True)
class Change:
    """One author's change to a title."""

    id: str  # chosen by the author, never used twice
    author: str  # the name that belongs to the author's key
    target: ChangeTarget  # the sessions that it applies to
    kind: ChangeKind  # what it does
    clip: str | None  # the title that is spliced in; None for a cut
    # Media time from which on it applies, in seconds; None where a wall time is given.
    start_s: Fraction | None = None
    # Media time at which the title continues, in seconds; None for an insertion.
    end_s: Fraction | None = None
    wall_us: int | None = None  # wall time at which it applies, to each player where it is then

    def first_segment(self, media: Media) -> int | None:
        """The title's segment before which it applies; None where that differs between players."""
        if self.start_s is not None:
            return media.first_segment_at_or_after(self.start_s)
        if media.is_live and self.wall_us is not None:
            return media.first_segment_at_or_after(media.live_time_s(self.wall_us))
        return None

    def resume_segment(self, media: Media) -> int | None:
        """The title's segment with which it continues; None where that differs between players."""
        first = self.first_segment(media)
        if first is None or self.end_s is None:
            return first
        return max(first, media.first_segment_at_or_after(self.end_s))


@dataclass(frozen=True, slots=True)
class PeriodStart:
    """Where a period began: a run of segments of one source at one rung. Manifests name the period by it."""

    sequence_number: int
    segment_number: int
    start_s: Fraction


@dataclass(frozen=True, slots=True)
class ListedSegment:
    """One segment as it was listed for a player."""

    sequence_number: int  # its number in the player's manifests
    media: str  # the title that it is a segment of
    segment_number: int  # its number in that title
    rung: int  # the rung of the bitrate ladder that it is listed at
    start_s: Fraction  # its start on the player's own timeline, in seconds from 0
    duration_s: Fraction  # in seconds
    period: PeriodStart  # where the run of segments that it belongs to began
    change_id: str = ""  # the id of the change that spliced it in; empty for a segment of the session's title
    is_discontinuity: bool = False  # it comes from another source than the segment before
    interstitial_ids: tuple[
        str, ...
    ] = ()  # ids of the changes whose clips are played as interstitials before it

    @property
    def end_s(self) -> Fraction:
        """Where the next segment begins, in seconds."""
        return self.start_s + self.duration_s
