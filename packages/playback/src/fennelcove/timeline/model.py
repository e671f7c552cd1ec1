"""Media, changes and listed segments; times are exact rational seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from fractions import Fraction

MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Media:
    """A title's segments, all of one duration."""

    name: str  # the name of the title
    timescale: int  # ticks per second
    segment_ticks: int  # the duration of a segment, in ticks
    segment_count: int | None  # the number of segments; None for a live title
    rungs: tuple[int, ...]  # the rungs of the bitrate ladder at which it is available
    codecs: str  # as in RFC 6381
    live_from_us: int = 0  # the wall time at which a live title began

    @property
    def is_live(self) -> bool:
        """Whether the title is live: its segments become available as time passes."""
        return self.segment_count is None

    @property
    def segment_duration_s(self) -> Fraction:
        """The duration of a segment, in seconds."""
        return Fraction(self.segment_ticks, self.timescale)

    def segment_start_s(self, number: int) -> Fraction:
        """The start of a segment, in seconds of media time."""
        return Fraction(number * self.segment_ticks, self.timescale)

    def first_segment_at_or_after(self, media_time_s: Fraction) -> int:
        """The number of the first segment that begins at or after a media time."""
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
    """The effect of a change; the values are part of the HTTP interface and of the ledger."""

    INSERT = "insert"  # splice the clip in between two segments of the title
    REPLACE = "replace"  # splice the clip in place of a range of the title
    CUT = "cut"  # leave out a range of the title


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
    """A change to a title, submitted by an author."""

    id: str  # chosen by the author and never reused
    author: str  # the author's name in the settings, found by the key of the request
    target: ChangeTarget  # the sessions to which it applies
    kind: ChangeKind  # what it does
    clip: str | None  # the title that is spliced in; None for a cut
    # The media time at which it begins to apply, in seconds; None if a wall time is given.
    start_s: Fraction | None = None
    # The media time at which the title continues, in seconds; None for an insertion.
    end_s: Fraction | None = None
    wall_us: int | None = None  # the wall time at which it applies, at the current position of each player

    def first_segment(self, media: Media) -> int | None:
        """The title's segment before which it applies; None if that differs between players."""
        if self.start_s is not None:
            return media.first_segment_at_or_after(self.start_s)
        if media.is_live and self.wall_us is not None:
            return media.first_segment_at_or_after(media.live_time_s(self.wall_us))
        return None

    def resume_segment(self, media: Media) -> int | None:
        """The segment with which the title continues; None if that differs between players."""
        first = self.first_segment(media)
        if first is None or self.end_s is None:
            return first
        return max(first, media.first_segment_at_or_after(self.end_s))


@dataclass(frozen=True, slots=True)
class PeriodStart:
    """The start of a period: a run of segments of one source at one rung. It identifies the period."""

    sequence_number: int
    segment_number: int
    start_s: Fraction


@dataclass(frozen=True, slots=True)
class ListedSegment:
    """A segment as it was listed for a player."""

    sequence_number: int  # the segment's number in the player's manifests
    media: str  # the title that the segment belongs to
    segment_number: int  # the segment's number in that title
    rung: int  # the rung of the bitrate ladder at which it is listed
    start_s: Fraction  # the start on the player's timeline, which begins at 0, in seconds
    duration_s: Fraction  # in seconds
    period: PeriodStart  # the start of the period that it belongs to
    change_id: str = ""  # the change that spliced it in; empty for a segment of the session's title
    is_discontinuity: bool = False  # it does not continue the media of the segment before
    # The ids of the changes whose clips are played as interstitials before it.
    interstitial_ids: tuple[str, ...] = ()

    @property
    def end_s(self) -> Fraction:
        """The end, in seconds, at which the next segment begins."""
        return self.start_s + self.duration_s
