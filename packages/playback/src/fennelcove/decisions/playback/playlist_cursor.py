"""One player's timeline, segment by segment: a cursor that only moves forward over a title and its changes.

A segment that a manifest has listed never changes. A change applies only where the cursor has not been yet;
one that is withdrawn while its clip plays is played to its end. So sequence numbers never go back, no fetched
segment is denied later, and each segment begins exactly where the one before it ends, whatever authors do
meanwhile.
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

# Segments listed beyond the last one fetched: what a player needs to keep its buffer (RFC 8216, 6.3.3).
LOOKAHEAD_SEGMENTS = 3
WINDOW_SEGMENTS = 6  # segments listed behind the last one fetched
# Segments that may have been listed after the newest resume token: one token late, and one lost.
MAX_REPLAYED_SEGMENTS = 2 * LOOKAHEAD_SEGMENTS
RETAINED_SEGMENTS = 64  # segments that a late player may still fetch
LIVE_DELAY_SEGMENTS = 3  # target durations behind the edge at which a live player begins (RFC 8216, 6.3.3)

FIRST_PERIOD = PeriodStart(0, 0, Fraction(0))


@dataclass(frozen=True, slots=True)
class ClipProgress:
    """A spliced clip of which some segments are still to be listed."""

    change_id: str
    clip: str
    next_segment: int
    segment_count: int


@dataclass(frozen=True, slots=True)
class PlaylistCursor:
    """The position from which a player's timeline continues."""

    next_sequence_number: int = 0
    next_title_segment: int = 0  # the title's next segment
    start_s: Fraction = Fraction(0)  # seconds on the player's own timeline
    clip_progress: ClipProgress | None = None
    continuation_key: str = ""  # key of the one segment that would follow without a discontinuity
    rung: int = -1
    period: PeriodStart = FIRST_PERIOD
    applied_change_ids: frozenset[str] = frozenset()  # those at this segment, and all applied by wall time
    interstitial_ids: tuple[str, ...] = ()  # of those, the interstitials to be listed before the next segment


@dataclass(frozen=True, slots=True)
class SelectionContext:
    """What the next segment is chosen by, beside the cursor."""

    media: Mapping[str, Media]
    title: str
    service_class: str
    session_id: str
    changes: tuple[Change, ...]
    rung: int
    floor_rung: int
    wall_us: int
    began_wall_us: int
    is_clip_available: Callable[[str], bool]  # whether a server, or the slate, can serve this clip
    uses_interstitials: bool = False  # clips are listed as interstitials rather than spliced in


def fitting_rung(media: Media, rung: int, floor_rung: int) -> int:
    """The rung at which media is listed: the session's, or the next lower one that the media has.

    Where the media has none from the floor up to the session's rung, the higher of these two is listed.
    """
    fitting = [available for available in media.rungs if floor_rung <= available <= rung]
    return max(fitting) if fitting else max(rung, floor_rung)


def advance(cursor: PlaylistCursor, context: SelectionContext) -> tuple[PlaylistCursor, ListedSegment | None]:
    """Chooses the next segment.

    Returns:
        The cursor after it, and the segment; None at the title's end or at the live edge. The cursor may have
        moved then all the same: a range that is cut out at the title's end leaves no segment to list.
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
    # A change by wall time stays due at later segments: those applied are kept, so that none applies twice.
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
    """The change that applies before the title's next segment, the narrowest target first."""
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
    """Starts a change's clip and skips the range of the title that it takes out."""
    resume = change.resume_segment(context.media[context.title])
    title_segment = cursor.next_title_segment if resume is None else max(cursor.next_title_segment, resume)
    applied = replace(cursor, applied_change_ids=cursor.applied_change_ids | {change.id})
    if change.kind is ChangeKind.CUT:
        return replace(applied, next_title_segment=title_segment)
    clip = context.media.get(change.clip or "")
    if clip is None or clip.segment_count is None or not context.is_clip_available(clip.name):
        return applied  # no server can serve the clip: the title without the change is better than a gap
    if context.uses_interstitials:
        # The range that a clip replaces is left out of the title: a player that had to skip it would stop
        # fetching, and its manifest would wait for the fetch.
        return replace(
            applied, next_title_segment=title_segment, interstitial_ids=(*cursor.interstitial_ids, change.id)
        )
    progress = ClipProgress(change.id, clip.name, 0, clip.segment_count)
    return replace(applied, next_title_segment=title_segment, clip_progress=progress)


def _segment_key(change_id: str, media_name: str, segment_number: int) -> str:
    """Identifies a segment of one source; part of resume tokens, so its form is fixed."""
    return f"{change_id}/{media_name}@{segment_number}"


def _next_segment(
    cursor: PlaylistCursor, media: Media, number: int, change_id: str, context: SelectionContext
) -> ListedSegment:
    # A title that continues after a range was taken out jumps in its own time: a discontinuity as well.
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
    """Up to where a restored track must be extended by the changes of an earlier ledger version.

    Segments listed after the resume token was written are unknown to the front, but there were at most
    MAX_REPLAYED_SEGMENTS of them, and the same changes give the same segments again.
    """

    next_sequence_number: int
    ledger_version: int


class PlaylistWindow(NamedTuple):
    """The segments that a manifest lists, and the discontinuity sequence number of the first."""

    segments: list[ListedSegment]
    discontinuity_sequence: int


@dataclass(slots=True)
class PlaylistTrack:
    """One player's timeline: the segments that were listed for it, and how far it has fetched them."""

    began_wall_us: int
    cursor: PlaylistCursor = field(default_factory=PlaylistCursor)
    segments: deque[ListedSegment] = field(default_factory=deque)
    last_fetched: int = -1  # the highest sequence number fetched
    dropped_discontinuities: int = 0
    is_ended: bool = False
    ledger_version: int = 0
    replay: ReplayLimit | None = None
    uses_interstitials: bool = False  # constant for a track: a player can't change timelines in the middle
    interstitial_rungs: dict[str, int] = field(
        default_factory=dict
    )  # rung of each interstitial requested, by change

    def replay_version(self) -> int | None:
        """The ledger version that the next segment must be chosen by; None for the newest."""
        if self.replay is None:
            return None
        if self.cursor.next_sequence_number >= self.replay.next_sequence_number + MAX_REPLAYED_SEGMENTS:
            return None
        return self.replay.ledger_version

    def extend(self, context: SelectionContext, ledger_version: int) -> int:
        """Lists segments as far ahead as a player may fetch.

        Args:
            context: what the segments are chosen by; while a track is replayed, its changes must be those of
                the replayed ledger version.
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
                break  # from here on the newest changes apply: the caller extends again with them
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
        """The part of the track that manifests list now."""
        first = max(0, self.last_fetched + 1 - WINDOW_SEGMENTS)
        # A playlist of under three segments would let a player fall off its end (RFC 8216, section 6.2.2).
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
        """Records that a player fetches a segment; None for one that was never listed or was dropped."""
        for segment in self.segments:
            if segment.sequence_number == sequence_number:
                self.last_fetched = max(self.last_fetched, sequence_number)
                return segment
        return None

    def lists_change(self, change_id: str) -> bool:
        """Whether a retained segment belongs to this change, or has it as an interstitial before it."""
        if change_id in self.cursor.interstitial_ids:
            return True
        return any(
            change_id == segment.change_id or change_id in segment.interstitial_ids
            for segment in self.segments
        )

    def interstitial_rung(
        self, change_id: str, clip: Media, rung: int, floor_rung: int, is_withdrawn: bool
    ) -> int | None:
        """The rung at which a player is given an interstitial's clip; None if it was not listed for it.

        A clip that was withdrawn before the player requested it is not started. One that was started is
        played to its end, at the rung that its playlist named first.
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
    """The segment at which a player that joins a live title begins."""
    return max(0, media.available_segments(wall_us) - LIVE_DELAY_SEGMENTS)


def new_track(media: Media, wall_us: int, uses_interstitials: bool = False) -> PlaylistTrack:
    """The track of a new player.

    Args:
        media: the title's media.
        wall_us: now.
        uses_interstitials: clips are listed as interstitials rather than spliced into the title.
    """
    track = PlaylistTrack(wall_us, uses_interstitials=uses_interstitials)
    if media.is_live:
        track.cursor = PlaylistCursor(next_title_segment=live_start_segment(media, wall_us))
    return track
