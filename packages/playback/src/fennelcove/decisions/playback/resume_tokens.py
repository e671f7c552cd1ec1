"""A track as a short text that a box keeps for the front: what a restarted front needs to go on without a
break."""

from __future__ import annotations

from collections import deque
from fractions import Fraction

import msgspec
from msgspec import Struct

from fennelcove.decisions.playback.playlist_cursor import WINDOW, PlaylistCursor, Run, PlaylistTrack
from fennelcove.timeline.model import Shown, Stretch

MOST_CHARS = 8192


class _Shown(Struct, frozen=True, array_like=True):
    seq: int
    media: str
    number: int
    rung: int
    start: str
    duration: str
    stretch: tuple[int, int, str]
    change: str
    joint: bool
    breaks: tuple[str, ...] = ()


class _Mark(Struct, frozen=True, array_like=True):
    version: int
    began_wall_us: int
    fetched: int
    joints_gone: int
    ended: bool
    seq: int
    lesson: int
    start: str
    run: tuple[str, str, int, int] | None
    source: str
    rung: int
    stretch: tuple[int, int, str]
    done: list[str]
    shown: list[_Shown]
    apart: bool = False
    begun: dict[str, int] = {}
    breaks: tuple[str, ...] = ()


_DECODER: msgspec.json.Decoder[_Mark] = msgspec.json.Decoder(_Mark)


def _stretch(held: Stretch) -> tuple[int, int, str]:
    return held.seq, held.number, str(held.start)


def write(track: PlaylistTrack) -> str:
    """The mark of a track; what is long fetched is left out."""
    cursor = track.cursor
    kept = [item for item in track.shown if item.seq > track.fetched - WINDOW]
    gone = track.joints_gone + sum(item.joint for item in track.shown if item.seq <= track.fetched - WINDOW)
    run = None
    if cursor.run is not None:
        run = (cursor.run.change, cursor.run.media, cursor.run.next, cursor.run.count)
    shown = [
        _Shown(
            item.seq,
            item.media,
            item.number,
            item.rung,
            str(item.start),
            str(item.duration),
            _stretch(item.stretch),
            item.change,
            item.joint,
            item.breaks,
        )
        for item in kept
    ]
    mark = _Mark(
        track.version,
        track.began_wall_us,
        track.fetched,
        gone,
        track.ended,
        cursor.seq,
        cursor.lesson,
        str(cursor.start),
        run,
        cursor.source,
        cursor.rung,
        _stretch(cursor.stretch),
        sorted(cursor.done),
        shown,
        track.apart,
        track.begun,
        cursor.breaks,
    )
    return msgspec.json.encode(mark).decode()


def read(text: str) -> PlaylistTrack | None:
    """The track of a mark; None for what is none of ours, so that a box can't make a front fail."""
    if not text or len(text) > MOST_CHARS:
        return None
    try:
        mark = _DECODER.decode(text)
        stretch = Stretch(mark.stretch[0], mark.stretch[1], Fraction(mark.stretch[2]))
        run = Run(*mark.run) if mark.run is not None else None
        cursor = PlaylistCursor(
            mark.seq,
            mark.lesson,
            Fraction(mark.start),
            run,
            mark.source,
            mark.rung,
            stretch,
            frozenset(mark.done),
            mark.breaks,
        )
        shown = deque(
            Shown(
                item.seq,
                item.media,
                item.number,
                item.rung,
                Fraction(item.start),
                Fraction(item.duration),
                Stretch(item.stretch[0], item.stretch[1], Fraction(item.stretch[2])),
                item.change,
                item.joint,
                item.breaks,
            )
            for item in mark.shown
        )
    except (msgspec.MsgspecError, ValueError, ZeroDivisionError):
        return None
    track = PlaylistTrack(
        mark.began_wall_us, cursor, shown, mark.fetched, mark.joints_gone, mark.ended, mark.version
    )
    track.replay = (cursor.seq, mark.version)
    track.apart, track.begun = mark.apart, dict(mark.begun)
    return track
