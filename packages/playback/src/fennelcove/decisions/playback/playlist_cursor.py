"""The timeline of one player, built segment by segment by a cursor that moves forward over a title.

A listed segment never changes. A change applies only ahead of the cursor, and a clip whose change is
withdrawn while it is being listed is listed to its end. So sequence numbers never decrease, no fetched
segment is denied later, and each segment begins exactly where the one before it ends, whatever changes
authors submit or withdraw meanwhile.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from fractions import Fraction
from typing import NamedTuple

from fennelcove.timeline.model import (
    MICROSECONDS_PER_SECOND,
    Change,
    ChangeKind,
    ListedSegment,
    Media,
    PeriodStart,
)

# Segments listed after the last one fetched, so that a player can fill its buffer (RFC 8216, section 6.3.3).
LOOKAHEAD_SEGMENTS = 3
WINDOW_SEGMENTS = 6  # segments listed up to and including the last one fetched
# Segments that may have been listed since the newest stored resume token: one token late, and one lost.
MAX_REPLAYED_SEGMENTS = 2 * LOOKAHEAD_SEGMENTS
RETAINED_SEGMENTS = 64  # segments that remain available to a player that lags behind
# Distance from the live edge at which a player begins, in segments (RFC 8216, section 6.3.3).
LIVE_DELAY_SEGMENTS = 3

FIRST_PERIOD = PeriodStart(0, 0, Fraction(0))


@dataclass(frozen=True, slots=True)
class ClipProgress:
    """A spliced clip that is not yet listed completely."""

    change_id: str
    clip: str
    next_segment: int
    segment_count: int


@dataclass(frozen=True, slots=True)
class PlaylistCursor:
    """The position at which a player's timeline continues."""

    next_sequence_number: int = 0
    next_title_segment: int = 0  # number of the title's next segment
    start_s: Fraction = Fraction(0)  # start of the next segment on the player's timeline, in seconds
    clip_progress: ClipProgress | None = None
    continuation_key: str = ""  # key of the only segment that can follow without a discontinuity
    rung: int = -1  # of the last segment
    period: PeriodStart = FIRST_PERIOD  # of the last segment
    applied_change_ids: frozenset[str] = frozenset()  # applied before this segment, or at a wall time
    interstitial_ids: tuple[str, ...] = ()  # changes whose interstitials are listed before the next segment


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """The inputs, other than the cursor, by which the next segment is selected."""

    media: Mapping[str, Media]
    title: str
    service_class: str
    session_id: str
    changes: tuple[Change, ...]
    rung: int
    floor_rung: int
    wall_us: int
    began_wall_us: int
    # Whether a server can serve this clip, or the slate in its place.
    is_clip_available: Callable[[str], bool]
    uses_interstitials: bool = False  # clips are listed as interstitials rather than spliced in


def fitting_rung(media: Media, rung: int, floor_rung: int) -> int:
    """The rung at which media is listed: the session's rung, or the next lower one at which the media exists.

    If the media exists at none from the floor to the session's rung, the higher of these two is returned.
    """
    fitting = [available for available in media.rungs if floor_rung <= available <= rung]
    return max(fitting) if fitting else max(rung, floor_rung)


def advance(cursor: PlaylistCursor, context: SelectionContext) -> tuple[PlaylistCursor, ListedSegment | None]:
    """Selects the next segment.

    Returns:
        The cursor after the segment, and the segment, or None at the title's end or at the live edge. The
        cursor may have moved even then: after a cut at the title's end, no segment is left to list.
    """
    cursor = _apply_due_changes(cursor, context)
    if cursor.clip_progress is not None:
        return _advance_in_clip(cursor, cursor.clip_progress, context)
    title_media = context.media[context.title]
    if cursor.next_title_segment >= title_media.available_segments(context.wall_us):
        return cursor, None
    return _advance_in_title(cursor, title_media, context)


def _advance_in_clip(
    cursor: PlaylistCursor, progress: ClipProgress, context: SelectionContext
) -> tuple[PlaylistCursor, ListedSegment]:
    clip = context.media[progress.clip]
    segment = _next_segment(cursor, clip, progress.next_segment, progress.change_id, context)
    next_number = progress.next_segment + 1
    remaining = replace(progress, next_segment=next_number) if next_number < progress.segment_count else None
    return replace(_cursor_after(cursor, segment), clip_progress=remaining), segment


def _advance_in_title(
    cursor: PlaylistCursor, title_media: Media, context: SelectionContext
) -> tuple[PlaylistCursor, ListedSegment]:
    segment = _next_segment(cursor, title_media, cursor.next_title_segment, "", context)
    # A change at a wall time stays due at later segments: its id is retained, so that it never applies twice.
    applied_by_wall_time = frozenset(
        change.id
        for change in context.changes
        if change.id in cursor.applied_change_ids and change.first_segment(title_media) is None
    )
    next_cursor = replace(
        _cursor_after(cursor, segment),
        next_title_segment=cursor.next_title_segment + 1,
        applied_change_ids=applied_by_wall_time,
    )
    return next_cursor, segment


def _apply_due_changes(cursor: PlaylistCursor, context: SelectionContext) -> PlaylistCursor:
    while cursor.clip_progress is None:
        change = _due_change(cursor, context)
        if change is None:
            break
        cursor = _apply_change(cursor, change, context)
    return cursor


def _due_change(cursor: PlaylistCursor, context: SelectionContext) -> Change | None:
    """The next change that applies before the title's next segment; the narrowest target takes precedence."""
    due = [change for change in context.changes if _is_due(change, cursor, context)]
    return min(due, key=_precedence) if due else None


def _precedence(change: Change) -> tuple[bool, bool, str]:
    target = change.target
    return target.session_id is None, target.service_class is None, change.id


def _is_due(change: Change, cursor: PlaylistCursor, context: SelectionContext) -> bool:
    if change.id in cursor.applied_change_ids:
        return False
    if not change.target.matches(context.title, context.service_class, context.session_id):
        return False
    first = change.first_segment(context.media[context.title])
    if first is not None:
        return first == cursor.next_title_segment
    if change.wall_us is None:
        raise ValueError(f"change {change.id!r} has neither a media time nor a wall time")
    position_wall_us = context.began_wall_us + int(cursor.start_s * MICROSECONDS_PER_SECOND)
    return context.began_wall_us <= change.wall_us <= position_wall_us


def _apply_change(cursor: PlaylistCursor, change: Change, context: SelectionContext) -> PlaylistCursor:
    """Starts the clip of a change, and skips the range of the title that the change removes."""
    resume = change.resume_segment(context.media[context.title])
    title_segment = cursor.next_title_segment if resume is None else max(cursor.next_title_segment, resume)
    applied = replace(cursor, applied_change_ids=cursor.applied_change_ids | {change.id})
    if change.kind is ChangeKind.CUT:
        return replace(applied, next_title_segment=title_segment)
    clip = context.media.get(change.clip or "")
    if clip is None or clip.segment_count is None or not context.is_clip_available(clip.name):
        return applied  # no server can serve the clip: to skip the change is better than a gap
    if context.uses_interstitials:
        # The range that a clip replaces is not listed. If the player had to skip it, it would not fetch those
        # segments, and the manifest is only extended as the player fetches.
        return replace(
            applied, next_title_segment=title_segment, interstitial_ids=(*cursor.interstitial_ids, change.id)
        )
    progress = ClipProgress(change.id, clip.name, 0, clip.segment_count)
    return replace(applied, next_title_segment=title_segment, clip_progress=progress)


def _segment_key(change_id: str, media_name: str, segment_number: int) -> str:
    """Identifies a segment of one source; resume tokens contain it, so its format must not change."""
    return f"{change_id}/{media_name}@{segment_number}"


def _next_segment(
    cursor: PlaylistCursor, media: Media, number: int, change_id: str, context: SelectionContext
) -> ListedSegment:
    # A title that continues after a removed range is a discontinuity as well, as its media time jumps.
    is_continuous = cursor.continuation_key == _segment_key(change_id, media.name, number)
    rung = fitting_rung(media, context.rung, context.floor_rung)
    is_same_period = is_continuous and rung == cursor.rung
    new_period = PeriodStart(cursor.next_sequence_number, number, cursor.start_s)
    return ListedSegment(
        sequence_number=cursor.next_sequence_number,
        media=media.name,
        segment_number=number,
        rung=rung,
        start_s=cursor.start_s,
        duration_s=media.segment_duration_s,
        period=cursor.period if is_same_period else new_period,
        change_id=change_id,
        is_discontinuity=bool(cursor.continuation_key) and not is_continuous,
        interstitial_ids=cursor.interstitial_ids,
    )


def _cursor_after(cursor: PlaylistCursor, segment: ListedSegment) -> PlaylistCursor:
    return replace(
        cursor,
        next_sequence_number=segment.sequence_number + 1,
        start_s=segment.end_s,
        continuation_key=_segment_key(segment.change_id, segment.media, segment.segment_number + 1),
        rung=segment.rung,
        period=segment.period,
        interstitial_ids=(),
    )


@dataclass(frozen=True, slots=True)
class ReplayLimit:
    """The limit up to which a restored track is extended by the changes of an earlier ledger version.

    Segments that were listed after the resume token was written are unknown to the front. There are at most
    MAX_REPLAYED_SEGMENTS of them, and the same changes result in the same segments again.
    """

    next_sequence_number: int
    ledger_version: int


class PlaylistWindow(NamedTuple):
    """The segments that a manifest lists, and the discontinuity sequence number of the first one."""

    segments: list[ListedSegment]
    discontinuity_sequence: int


@dataclass(slots=True)
class PlaylistTrack:
    """The timeline of one player: the segments listed for it, and the last one that it fetched."""

    began_wall_us: int
    cursor: PlaylistCursor = field(default_factory=PlaylistCursor)
    segments: deque[ListedSegment] = field(default_factory=deque)
    last_fetched: int = -1  # the highest sequence number fetched
    dropped_discontinuities: int = 0
    is_ended: bool = False
    ledger_version: int = 0
    replay: ReplayLimit | None = None
    uses_interstitials: bool = False  # constant, as a player can't switch between the two timelines
    # The rung of each interstitial that was requested, by change.
    interstitial_rungs: dict[str, int] = field(default_factory=dict)

    def replay_version(self) -> int | None:
        """The ledger version by which the next segment must be selected; None for the newest."""
        if self.replay is None:
            return None
        if self.cursor.next_sequence_number >= self.replay.next_sequence_number + MAX_REPLAYED_SEGMENTS:
            return None
        return self.replay.ledger_version

    def extend(self, context: SelectionContext, ledger_version: int) -> int:
        """Lists further segments, up to LOOKAHEAD_SEGMENTS after the last one fetched.

        Args:
            context: the inputs of the selection; while a track is replayed, its changes must be those of the
                replayed ledger version.
            ledger_version: the ledger's newest version.

        Returns:
            The number of new segments.
        """
        count = 0
        self.ledger_version = ledger_version
        was_replaying = self.replay_version() is not None
        while (
            not self.is_ended and self.cursor.next_sequence_number <= self.last_fetched + LOOKAHEAD_SEGMENTS
        ):
            if was_replaying and self.replay_version() is None:
                break  # from here on, the newest changes apply: the caller extends again with them
            self.cursor, segment = advance(self.cursor, context)
            if segment is None:
                title_media = context.media[context.title]
                self.is_ended = not title_media.is_live and self.cursor.next_title_segment >= (
                    title_media.segment_count or 0
                )
                break
            self.segments.append(segment)
            count += 1
        while len(self.segments) > RETAINED_SEGMENTS:
            self._drop_oldest()
        return count

    def _drop_oldest(self) -> None:
        dropped = self.segments.popleft()
        self.dropped_discontinuities += dropped.is_discontinuity

    def window(self) -> PlaylistWindow:
        """The part of the track that manifests list at present."""
        first = max(0, self.last_fetched + 1 - WINDOW_SEGMENTS)
        # With fewer than three segments a player could fall off the playlist (RFC 8216, section 6.2.2).
        first = min(first, max(0, self.cursor.next_sequence_number - LOOKAHEAD_SEGMENTS))
        listed = [segment for segment in self.segments if segment.sequence_number >= first]
        earlier_discontinuities = sum(
            segment.is_discontinuity for segment in self.segments if segment.sequence_number < first
        )
        first_discontinuity = int(bool(listed) and listed[0].is_discontinuity)
        return PlaylistWindow(
            listed, self.dropped_discontinuities + earlier_discontinuities + first_discontinuity
        )

    def on_segment_requested(self, sequence_number: int) -> ListedSegment | None:
        """Records a fetch and returns the segment; None if it was never listed, or has been dropped."""
        for segment in self.segments:
            if segment.sequence_number == sequence_number:
                self.last_fetched = max(self.last_fetched, sequence_number)
                return segment
        return None

    def lists_change(self, change_id: str) -> bool:
        """Whether a retained segment belongs to this change or follows its interstitial."""
        if change_id in self.cursor.interstitial_ids:
            return True
        return any(
            change_id == segment.change_id or change_id in segment.interstitial_ids
            for segment in self.segments
        )

    def interstitial_rung(
        self, change_id: str, clip: Media, rung: int, floor_rung: int, is_withdrawn: bool
    ) -> int | None:
        """The rung at which an interstitial's clip is served; None if it was not listed for this player.

        A clip that was withdrawn before the player requested it is not started. A clip that was started is
        served to its end, at the rung that its playlist listed first.
        """
        if change_id in self.interstitial_rungs:
            return self.interstitial_rungs[change_id]
        if is_withdrawn or not self.lists_change(change_id):
            return None
        while len(self.interstitial_rungs) >= RETAINED_SEGMENTS:
            oldest = next(iter(self.interstitial_rungs))
            del self.interstitial_rungs[oldest]
        self.interstitial_rungs[change_id] = fitting_rung(clip, rung, floor_rung)
        return self.interstitial_rungs[change_id]


def live_start_segment(media: Media, wall_us: int) -> int:
    """The number of the segment at which a new player of a live title begins."""
    return max(0, media.available_segments(wall_us) - LIVE_DELAY_SEGMENTS)


def new_track(media: Media, wall_us: int, uses_interstitials: bool = False) -> PlaylistTrack:
    """The track of a new player.

    Args:
        media: the title's media.
        wall_us: the current wall time.
        uses_interstitials: clips are listed as interstitials rather than spliced into the title.
    """
    track = PlaylistTrack(wall_us, uses_interstitials=uses_interstitials)
    if media.is_live:
        track.cursor = PlaylistCursor(next_title_segment=live_start_segment(media, wall_us))
    return track
