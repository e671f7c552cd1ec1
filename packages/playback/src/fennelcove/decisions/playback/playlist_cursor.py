"""What one player is shown, segment by segment: a cursor that only goes forward over lesson and changes.

Each segment that a manifest has named is shown for good. A change acts where the cursor has not been; one
taken back while its clip plays is played to its end. So sequence numbers never go back, nothing fetched is
denied, and each segment begins exactly where its neighbour ends, whatever authors do meanwhile.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from fractions import Fraction
from typing import NamedTuple

from fennelcove.timeline.model import Change, Kind, Media, Shown, PeriodStart

LOOKAHEAD_SEGMENTS = (
    3  # segments shown beyond the last one fetched: what a player needs to keep its buffer (RFC 8216, 6.3.3)
)
WINDOW_SEGMENTS = 6  # segments kept in manifests behind the last one fetched
MAX_REPLAYED_SEGMENTS = (
    2 * LOOKAHEAD_SEGMENTS
)  # segments that may have been shown past a mark: one mark late, and one lost
KEPT = 64  # segments that a late player may still fetch
LIVE_DELAY_SEGMENTS = 3  # target durations behind the edge at which a live player begins (RFC 8216, 6.3.3)

BEGINNING = PeriodStart(0, 0, Fraction(0))


@dataclass(frozen=True, slots=True)
class ClipProgress:
    """A clip under way."""

    change_id: str
    clip: str
    next_segment: int
    segment_count: int


@dataclass(frozen=True, slots=True)
class PlaylistCursor:
    """Where a player's timeline goes on."""

    next_sequence_number: int = 0
    lesson: int = 0  # the lesson's next segment
    start: Fraction = Fraction(0)
    clip_progress: ClipProgress | None = None
    source: str = ""  # of the segment that would go on without a joint: change, media and number
    rung: int = -1
    period: PeriodStart = BEGINNING
    applied_change_ids: frozenset[str] = frozenset()  # changes met at this boundary, and moments met anywhere
    breaks: tuple[str, ...] = ()  # of those, the ones told apart before the next segment


@dataclass(frozen=True, slots=True)
class Viewpoint:
    """What the choice of the next segment needs beside the cursor."""

    media: Mapping[str, Media]
    title: str
    service_class: str
    session_id: str
    changes: tuple[Change, ...]
    rung: int
    floor_rung: int
    wall_us: int
    began_wall_us: int
    is_clip_available: Callable[[str], bool]  # whether any box, or the slate, can serve this clip
    uses_interstitials: bool = False  # clips are told apart from the lesson, as interstitials


def fitting_rung(media: Media, rung: int, floor: int) -> int:
    """The rung at which a media is shown: the one in force, or the next lower that it has, never under the
    floor."""
    fitting = [have for have in media.rungs if floor <= have <= rung]
    return max(fitting) if fitting else max(rung, floor)


def _due_change(cursor: PlaylistCursor, view: Viewpoint) -> Change | None:
    """The change that acts before the lesson's next segment, the narrowest target first."""
    lesson = view.media[view.title]
    found = []
    for change in view.changes:
        if change.id in cursor.applied_change_ids or not change.target.meets(
            view.title, view.service_class, view.session_id
        ):
            continue
        first = change.first(lesson)
        if first is None:
            assert change.wall_us is not None
            met_us = view.began_wall_us + int(cursor.start * 1_000_000)
            due = view.began_wall_us <= change.wall_us <= met_us
        else:
            due = first == cursor.lesson
        if due:
            found.append(change)
    if not found:
        return None
    return min(
        found,
        key=lambda change: (change.target.subscription is None, change.target.room_type is None, change.id),
    )


def _apply_change(cursor: PlaylistCursor, change: Change, view: Viewpoint) -> PlaylistCursor:
    """Begin a change: its clip, and past the stretch that it takes out."""
    lesson = view.media[view.title]
    after = change.after(lesson)
    moved = cursor.lesson if after is None else max(cursor.lesson, after)
    done = cursor.applied_change_ids | {change.id}
    if change.kind is Kind.CUT:
        return replace(cursor, lesson=moved, applied_change_ids=done)
    clip = view.media.get(change.clip or "")
    if clip is None or clip.count is None or not view.is_clip_available(clip.name):
        # Nothing can serve the clip: the unstitched lesson is better than a hole.
        return replace(cursor, applied_change_ids=done)
    if view.uses_interstitials:
        # What a clip replaces is left out of the lesson: a player that had to skip it would stop fetching,
        # and its manifest would wait for the fetch.
        return replace(cursor, lesson=moved, applied_change_ids=done, breaks=(*cursor.breaks, change.id))
    return replace(
        cursor,
        lesson=moved,
        applied_change_ids=done,
        clip_progress=ClipProgress(change.id, clip.name, 0, clip.count),
    )


def advance(cursor: PlaylistCursor, view: Viewpoint) -> tuple[PlaylistCursor, Shown | None]:
    """The next segment, or none at the end of the lesson or at the live edge; the cursor may go on all the
    same.

    A stretch cut out at the lesson's end leaves nothing to show: the cursor that was past it must not be
    lost.
    """
    lesson = view.media[view.title]
    while cursor.clip_progress is None and (change := _due_change(cursor, view)) is not None:
        cursor = _apply_change(cursor, change, view)
    if cursor.clip_progress is not None:
        run = cursor.clip_progress
        shown = _next_segment(cursor, view.media[run.clip], run.next_segment, run.change_id, view)
        later = (
            replace(run, next_segment=run.next_segment + 1)
            if run.next_segment + 1 < run.segment_count
            else None
        )
        return replace(_cursor_after(cursor, shown), clip_progress=later), shown
    if cursor.lesson >= lesson.ready(view.wall_us):
        return cursor, None
    shown = _next_segment(cursor, lesson, cursor.lesson, "", view)
    moments = frozenset(
        c.id for c in view.changes if c.id in cursor.applied_change_ids and c.first(lesson) is None
    )
    return replace(_cursor_after(cursor, shown), lesson=cursor.lesson + 1, applied_change_ids=moments), shown


def _next_segment(cursor: PlaylistCursor, media: Media, number: int, change: str, view: Viewpoint) -> Shown:
    # A lesson that goes on after a stretch was taken out jumps in its own time: that is a joint as well.
    follows = cursor.source == f"{change}/{media.name}@{number}"
    rung = fitting_rung(media, view.rung, view.floor_rung)
    same = follows and rung == cursor.rung
    return Shown(
        sequence_number=cursor.next_sequence_number,
        media=media.name,
        number=number,
        rung=rung,
        start=cursor.start,
        duration=media.each,
        period=cursor.period if same else PeriodStart(cursor.next_sequence_number, number, cursor.start),
        change=change,
        is_discontinuity=bool(cursor.source) and not follows,
        breaks=cursor.breaks,
    )


def _cursor_after(cursor: PlaylistCursor, shown: Shown) -> PlaylistCursor:
    source = f"{shown.change}/{shown.media}@{shown.number + 1}"
    return replace(
        cursor,
        next_sequence_number=shown.sequence_number + 1,
        start=shown.end,
        source=source,
        rung=shown.rung,
        period=shown.period,
        breaks=(),
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

    segments: list[Shown]
    discontinuity_sequence: int


@dataclass(slots=True)
class PlaylistTrack:
    """One player's timeline: the segments that were listed for it, and how far it has fetched them."""

    began_wall_us: int
    cursor: PlaylistCursor = field(default_factory=PlaylistCursor)
    shown: deque[Shown] = field(default_factory=deque)
    fetched: int = -1  # the highest sequence number fetched
    dropped_discontinuities: int = 0
    ended: bool = False
    version: int = 0
    replay: ReplayLimit | None = None
    apart: bool = False  # constant for a track: a player can't change timelines in the middle
    begun: dict[str, int] = field(default_factory=dict)  # rung of each interstitial requested, by change

    def replays(self) -> int | None:
        """The ledger version that the next segment must be chosen by; None for the newest."""
        if self.replay is None:
            return None
        if self.cursor.next_sequence_number >= self.replay.next_sequence_number + MAX_REPLAYED_SEGMENTS:
            return None
        return self.replay.ledger_version

    def extend(self, view: Viewpoint, version: int) -> int:
        """Lists segments as far ahead as a player may fetch.

        Args:
            view: what the segments are chosen by; its changes must be those of `replays()`.
            version: the ledger's newest version.

        Returns:
            The number of new segments.
        """
        count = 0
        self.version = version
        was_replaying = self.replays() is not None
        while not self.ended and self.cursor.next_sequence_number <= self.fetched + LOOKAHEAD_SEGMENTS:
            if was_replaying and self.replays() is None:
                break  # from here on the newest changes apply: the caller extends again with them
            self.cursor, segment = advance(self.cursor, view)
            if segment is None:
                title_media = view.media[view.title]
                self.ended = not title_media.live and self.cursor.lesson >= (title_media.count or 0)
                break
            self.shown.append(segment)
            count += 1
        while len(self.shown) > KEPT:
            self._drop_oldest()
        return count

    def _drop_oldest(self) -> None:
        dropped = self.shown.popleft()
        self.dropped_discontinuities += dropped.is_discontinuity

    def window(self) -> PlaylistWindow:
        """The part of the track that manifests list now."""
        first = max(0, self.fetched + 1 - WINDOW_SEGMENTS)
        # A playlist of under three segments would let a player fall off its end (RFC 8216, section 6.2.2).
        first = min(first, max(0, self.cursor.next_sequence_number - LOOKAHEAD_SEGMENTS))
        listed = [segment for segment in self.shown if segment.sequence_number >= first]
        before = sum(segment.is_discontinuity for segment in self.shown if segment.sequence_number < first)
        own = int(bool(listed) and listed[0].is_discontinuity)
        return PlaylistWindow(listed, self.dropped_discontinuities + before + own)

    def fetch(self, sequence_number: int) -> Shown | None:
        """Records that a player fetches a segment; None for one that was never listed or was dropped."""
        for segment in self.shown:
            if segment.sequence_number == sequence_number:
                self.fetched = max(self.fetched, sequence_number)
                return segment
        return None

    def names(self, change_id: str) -> bool:
        """Whether a retained segment belongs to this change, or has it as an interstitial before it."""
        if change_id in self.cursor.breaks:
            return True
        return any(change_id == segment.change or change_id in segment.breaks for segment in self.shown)

    def asset(self, change_id: str, clip: Media, rung: int, floor: int, withdrawn: bool) -> int | None:
        """The rung at which a player is given an interstitial's clip; None if it was not listed for it.

        A clip that was withdrawn before the player requested it is not started. One that was started is
        played to its end, at the rung that its playlist named first.
        """
        if change_id in self.begun:
            return self.begun[change_id]
        if withdrawn or not self.names(change_id):
            return None
        while len(self.begun) >= KEPT:
            oldest = next(iter(self.begun))
            del self.begun[oldest]
        self.begun[change_id] = fitting_rung(clip, rung, floor)
        return self.begun[change_id]


def live_start_segment(media: Media, wall_us: int) -> int:
    """The segment at which a player that joins a live title begins."""
    return max(0, media.ready(wall_us) - LIVE_DELAY_SEGMENTS)


def begin(media: Media, wall_us: int, apart: bool = False) -> PlaylistTrack:
    """The track of a new player.

    Args:
        media: the title's media.
        wall_us: now.
        apart: clips are listed as interstitials rather than spliced into the title.
    """
    track = PlaylistTrack(wall_us, apart=apart)
    if media.live:
        track.cursor = PlaylistCursor(lesson=live_start_segment(media, wall_us))
    return track
