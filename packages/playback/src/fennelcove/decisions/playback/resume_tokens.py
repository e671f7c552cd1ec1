"""Resume tokens: a player's track as a short text that a media server stores for the front.

After a restart, the front gets the token back and continues the player's timeline where it was. A token is a
JSON array: the order of the fields below is part of the stored format, their names are not.
"""

from __future__ import annotations

from collections import deque
from fractions import Fraction

import msgspec
from fennelcove.decisions.playback.playlist_cursor import (
    WINDOW_SEGMENTS,
    ClipProgress,
    PlaylistCursor,
    PlaylistTrack,
    ReplayLimit,
)
from fennelcove.timeline.model import ListedSegment, PeriodStart
from msgspec import Struct

MAX_TOKEN_CHARS = 8192

_PeriodRecord = tuple[int, int, str]  # sequence number, segment number, start in seconds
_ClipRecord = tuple[str, str, int, int]  # change, clip, next segment, segment count


class _SegmentRecord(Struct, frozen=True, array_like=True):
    sequence_number: int
    media: str
    segment_number: int
    rung: int
    start_s: str
    duration_s: str
    period: _PeriodRecord
    change_id: str
    is_discontinuity: bool
    interstitial_ids: tuple[str, ...] = ()


class _TrackRecord(Struct, frozen=True, array_like=True):
    ledger_version: int
    began_wall_us: int
    last_fetched: int
    dropped_discontinuities: int
    is_ended: bool
    next_sequence_number: int
    next_title_segment: int
    start_s: str
    clip_progress: _ClipRecord | None
    continuation_key: str
    rung: int
    period: _PeriodRecord
    applied_change_ids: list[str]
    segments: list[_SegmentRecord]
    uses_interstitials: bool = False
    interstitial_rungs: dict[str, int] = {}
    interstitial_ids: tuple[str, ...] = ()


_DECODER: msgspec.json.Decoder[_TrackRecord] = msgspec.json.Decoder(_TrackRecord)


def encode(track: PlaylistTrack) -> str:
    """Encodes a track as a token, without the segments that have left the playlist's window."""
    cursor = track.cursor
    oldest = track.last_fetched - WINDOW_SEGMENTS
    window_segments = [segment for segment in track.segments if segment.sequence_number > oldest]
    dropped = sum(segment.is_discontinuity for segment in track.segments if segment.sequence_number <= oldest)
    record = _TrackRecord(
        ledger_version=track.ledger_version,
        began_wall_us=track.began_wall_us,
        last_fetched=track.last_fetched,
        dropped_discontinuities=track.dropped_discontinuities + dropped,
        is_ended=track.is_ended,
        next_sequence_number=cursor.next_sequence_number,
        next_title_segment=cursor.next_title_segment,
        start_s=str(cursor.start_s),
        clip_progress=_encode_clip_progress(cursor.clip_progress),
        continuation_key=cursor.continuation_key,
        rung=cursor.rung,
        period=_encode_period(cursor.period),
        applied_change_ids=sorted(cursor.applied_change_ids),
        segments=[_encode_segment(segment) for segment in window_segments],
        uses_interstitials=track.uses_interstitials,
        interstitial_rungs=track.interstitial_rungs,
        interstitial_ids=cursor.interstitial_ids,
    )
    return msgspec.json.encode(record).decode()


def decode(text: str) -> PlaylistTrack | None:
    """Decodes a token; None if it is empty or malformed, so that no server can make a front fail."""
    if not text or len(text) > MAX_TOKEN_CHARS:
        return None
    try:
        record = _DECODER.decode(text)
        return _decode_track(record)
    except (msgspec.MsgspecError, ValueError, ZeroDivisionError):
        return None


def _encode_period(period: PeriodStart) -> _PeriodRecord:
    return period.sequence_number, period.segment_number, str(period.start_s)


def _decode_period(record: _PeriodRecord) -> PeriodStart:
    sequence_number, segment_number, start_s = record
    return PeriodStart(sequence_number, segment_number, Fraction(start_s))


def _encode_clip_progress(progress: ClipProgress | None) -> _ClipRecord | None:
    if progress is None:
        return None
    return progress.change_id, progress.clip, progress.next_segment, progress.segment_count


def _encode_segment(segment: ListedSegment) -> _SegmentRecord:
    return _SegmentRecord(
        sequence_number=segment.sequence_number,
        media=segment.media,
        segment_number=segment.segment_number,
        rung=segment.rung,
        start_s=str(segment.start_s),
        duration_s=str(segment.duration_s),
        period=_encode_period(segment.period),
        change_id=segment.change_id,
        is_discontinuity=segment.is_discontinuity,
        interstitial_ids=segment.interstitial_ids,
    )


def _decode_segment(record: _SegmentRecord) -> ListedSegment:
    return ListedSegment(
        record.sequence_number,
        record.media,
        record.segment_number,
        record.rung,
        Fraction(record.start_s),
        Fraction(record.duration_s),
        _decode_period(record.period),
        record.change_id,
        record.is_discontinuity,
        record.interstitial_ids,
    )


def _decode_cursor(record: _TrackRecord) -> PlaylistCursor:
    progress = ClipProgress(*record.clip_progress) if record.clip_progress is not None else None
    return PlaylistCursor(
        record.next_sequence_number,
        record.next_title_segment,
        Fraction(record.start_s),
        progress,
        record.continuation_key,
        record.rung,
        _decode_period(record.period),
        frozenset(record.applied_change_ids),
        record.interstitial_ids,
    )


def _decode_track(record: _TrackRecord) -> PlaylistTrack:
    track = PlaylistTrack(
        record.began_wall_us,
        _decode_cursor(record),
        deque(_decode_segment(segment) for segment in record.segments),
        record.last_fetched,
        record.dropped_discontinuities,
        record.is_ended,
        record.ledger_version,
    )
    track.replay = ReplayLimit(record.next_sequence_number, record.ledger_version)
    track.uses_interstitials = record.uses_interstitials
    track.interstitial_rungs = dict(record.interstitial_rungs)
    return track
