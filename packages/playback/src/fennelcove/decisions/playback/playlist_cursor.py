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

from fennelcove.timeline.model import Change, Kind, Media, Shown, Stretch

AHEAD = (
    3  # segments shown beyond the last one fetched: what a player needs to keep its buffer (RFC 8216, 6.3.3)
)
WINDOW = 6  # segments kept in manifests behind the last one fetched
REPLAYED = 2 * AHEAD  # segments that may have been shown past a mark: one mark late, and one lost
KEPT = 64  # segments that a late player may still fetch
LIVE_BEHIND = 3  # target durations behind the edge at which a live player begins (RFC 8216, 6.3.3)

BEGINNING = Stretch(0, 0, Fraction(0))


@dataclass(frozen=True, slots=True)
class Run:
    """A clip under way."""

    change: str
    media: str
    next: int
    count: int


@dataclass(frozen=True, slots=True)
class PlaylistCursor:
    """Where a player's timeline goes on."""

    seq: int = 0
    lesson: int = 0  # the lesson's next segment
    start: Fraction = Fraction(0)
    run: Run | None = None
    source: str = ""  # of the segment that would go on without a joint: change, media and number
    rung: int = -1
    stretch: Stretch = BEGINNING
    done: frozenset[str] = frozenset()  # changes met at this boundary, and moments met anywhere
    breaks: tuple[str, ...] = ()  # of those, the ones told apart before the next segment


@dataclass(frozen=True, slots=True)
class Viewpoint:
    """What the choice of the next segment needs beside the cursor."""

    media: Mapping[str, Media]
    title: str
    service_class: str
    session: str
    changes: tuple[Change, ...]
    rung: int
    floor: int
    wall_us: int
    began_wall_us: int
    playable: Callable[[str], bool]  # whether any box, or the slate, can serve this clip
    apart: bool = False  # clips are told apart from the lesson, as interstitials


def rung_of(media: Media, rung: int, floor: int) -> int:
    """The rung at which a media is shown: the one in force, or the next lower that it has, never under the
    floor."""
    fitting = [have for have in media.rungs if floor <= have <= rung]
    return max(fitting) if fitting else max(rung, floor)


def _due(cursor: PlaylistCursor, view: Viewpoint) -> Change | None:
    """The change that acts before the lesson's next segment, the narrowest target first."""
    lesson = view.media[view.title]
    found = []
    for change in view.changes:
        if change.id in cursor.done or not change.target.meets(view.title, view.service_class, view.session):
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


def _enter(cursor: PlaylistCursor, change: Change, view: Viewpoint) -> PlaylistCursor:
    """Begin a change: its clip, and past the stretch that it takes out."""
    lesson = view.media[view.title]
    after = change.after(lesson)
    moved = cursor.lesson if after is None else max(cursor.lesson, after)
    done = cursor.done | {change.id}
    if change.kind is Kind.CUT:
        return replace(cursor, lesson=moved, done=done)
    clip = view.media.get(change.clip or "")
    if clip is None or clip.count is None or not view.playable(clip.name):
        # Nothing can serve the clip: the unstitched lesson is better than a hole.
        return replace(cursor, done=done)
    if view.apart:
        # What a clip replaces is left out of the lesson: a player that had to skip it would stop fetching,
        # and its manifest would wait for the fetch.
        return replace(cursor, lesson=moved, done=done, breaks=(*cursor.breaks, change.id))
    return replace(cursor, lesson=moved, done=done, run=Run(change.id, clip.name, 0, clip.count))


def advance(cursor: PlaylistCursor, view: Viewpoint) -> tuple[PlaylistCursor, Shown | None]:
    """The next segment, or none at the end of the lesson or at the live edge; the cursor may go on all the
    same.

    A stretch cut out at the lesson's end leaves nothing to show: the cursor that was past it must not be
    lost.
    """
    lesson = view.media[view.title]
    while cursor.run is None and (change := _due(cursor, view)) is not None:
        cursor = _enter(cursor, change, view)
    if cursor.run is not None:
        run = cursor.run
        shown = _show(cursor, view.media[run.media], run.next, run.change, view)
        later = replace(run, next=run.next + 1) if run.next + 1 < run.count else None
        return replace(_past(cursor, shown), run=later), shown
    if cursor.lesson >= lesson.ready(view.wall_us):
        return cursor, None
    shown = _show(cursor, lesson, cursor.lesson, "", view)
    moments = frozenset(c.id for c in view.changes if c.id in cursor.done and c.first(lesson) is None)
    return replace(_past(cursor, shown), lesson=cursor.lesson + 1, done=moments), shown


def _show(cursor: PlaylistCursor, media: Media, number: int, change: str, view: Viewpoint) -> Shown:
    # A lesson that goes on after a stretch was taken out jumps in its own time: that is a joint as well.
    follows = cursor.source == f"{change}/{media.name}@{number}"
    rung = rung_of(media, view.rung, view.floor)
    same = follows and rung == cursor.rung
    return Shown(
        seq=cursor.seq,
        media=media.name,
        number=number,
        rung=rung,
        start=cursor.start,
        duration=media.each,
        stretch=cursor.stretch if same else Stretch(cursor.seq, number, cursor.start),
        change=change,
        joint=bool(cursor.source) and not follows,
        breaks=cursor.breaks,
    )


def _past(cursor: PlaylistCursor, shown: Shown) -> PlaylistCursor:
    source = f"{shown.change}/{shown.media}@{shown.number + 1}"
    return replace(
        cursor,
        seq=shown.seq + 1,
        start=shown.end,
        source=source,
        rung=shown.rung,
        stretch=shown.stretch,
        breaks=(),
    )


@dataclass(slots=True)
class PlaylistTrack:
    """One player's timeline: what it was shown and has fetched."""

    began_wall_us: int
    cursor: PlaylistCursor = field(default_factory=PlaylistCursor)
    shown: deque[Shown] = field(default_factory=deque)
    fetched: int = -1  # the highest sequence number fetched
    joints_gone: int = 0
    ended: bool = False
    version: int = 0
    # After a restart: the mark's next segment and the ledger's version then. What was shown past the mark is
    # not known, but at most so many segments were, and under that version's changes they come out the same
    # again.
    replay: tuple[int, int] | None = None
    apart: bool = False  # for the track's life: a player can't change timelines in the middle
    begun: dict[str, int] = field(default_factory=dict)  # clips told apart that were asked for: their rungs

    def replays(self) -> int | None:
        """The ledger's version by which the next segment must be chosen, where that is not the newest."""
        if self.replay is None or self.cursor.seq >= self.replay[0] + REPLAYED:
            return None
        return self.replay[1]

    def extend(self, view: Viewpoint, version: int) -> int:
        """Show as far ahead as a player may fetch; how many segments are new."""
        count = 0
        self.version = version
        replaying = self.replays()
        while not self.ended and self.cursor.seq <= self.fetched + AHEAD:
            if replaying is not None and self.replays() is None:
                break  # from here on the newest changes count: the caller comes again with them
            self.cursor, shown = advance(self.cursor, view)
            if shown is None:
                lesson = view.media[view.title]
                self.ended = not lesson.live and self.cursor.lesson >= (lesson.count or 0)
                break
            self.shown.append(shown)
            count += 1
        while len(self.shown) > KEPT:
            self._drop()
        return count

    def _drop(self) -> None:
        gone = self.shown.popleft()
        self.joints_gone += gone.joint

    def window(self) -> tuple[list[Shown], int]:
        """What manifests name now, and the discontinuity sequence number of its first segment."""
        first = max(0, self.fetched + 1 - WINDOW)
        # A shorter list than three segments would let a player fall off its end (RFC 8216, section 6.2.2).
        first = min(first, max(0, self.cursor.seq - AHEAD))
        listed = [shown for shown in self.shown if shown.seq >= first]
        before = sum(shown.joint for shown in self.shown if shown.seq < first)
        own = int(bool(listed) and listed[0].joint)
        return listed, self.joints_gone + before + own

    def fetch(self, seq: int) -> Shown | None:
        """A player fetches a segment; None for one never shown or long gone."""
        for shown in self.shown:
            if shown.seq == seq:
                self.fetched = max(self.fetched, seq)
                return shown
        return None

    def names(self, change: str) -> bool:
        """Whether what was shown lately holds this change, stitched in or told apart."""
        return change in self.cursor.breaks or any(
            change == shown.change or change in shown.breaks for shown in self.shown
        )

    def asset(self, change: str, clip: Media, rung: int, floor: int, withdrawn: bool) -> int | None:
        """A player asks for a clip told apart: the rung at which it has it; None where it was not told of it.

        One that was withdrawn before the player asked is not begun; one begun is played to its end, at the
        rung that its playlist named first.
        """
        if change in self.begun:
            return self.begun[change]
        if withdrawn or not self.names(change):
            return None
        while len(self.begun) >= KEPT:
            del self.begun[next(iter(self.begun))]
        self.begun[change] = rung_of(clip, rung, floor)
        return self.begun[change]


def live_start(media: Media, wall_us: int) -> int:
    """Where a player that joins a live lesson begins."""
    return max(0, media.ready(wall_us) - LIVE_BEHIND)


def begin(media: Media, wall_us: int, apart: bool = False) -> PlaylistTrack:
    """A new player's track."""
    track = PlaylistTrack(wall_us, apart=apart)
    if media.live:
        track.cursor = PlaylistCursor(lesson=live_start(media, wall_us))
    return track
