"""MPEG-DASH manifests (ISO/IEC 23009-1): a Period for each run of segments of one source at one rung."""

from __future__ import annotations

from itertools import groupby
from xml.sax.saxutils import quoteattr

from fennelcove.manifests.exact_time import format_duration, format_wall_time, to_microseconds
from fennelcove.manifests.hls import MediaListing
from fennelcove.timeline.model import ListedSegment


def _group_by_period(segments: list[ListedSegment]) -> list[list[ListedSegment]]:
    return [list(group) for _, group in groupby(segments, lambda item: item.period.sequence_number)]


def media_presentation(
    listing: MediaListing, target_duration_s: int, rung_kbit: dict[int, int], buffer_s: int
) -> str:
    """The MPD of one player; it has a duration once the timeline has ended, and is to be updated until then.

    Args:
        listing: the content to list.
        target_duration_s: an upper bound of the segment durations, in seconds.
        rung_kbit: the bitrate of each rung, in kilobits per second.
        buffer_s: the minimum that players should buffer, in seconds of media.
    """
    segments = listing.segments
    end_us = to_microseconds(segments[-1].end_s) if segments else 0
    lines = [
        '<?xml version="1.0" encoding="UTF-8"?>',
        '<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" profiles="urn:mpeg:dash:profile:isoff-live:2011"',
        f' type="dynamic" availabilityStartTime="{format_wall_time(listing.began_wall_us)}"',
        f' publishTime="{format_wall_time(listing.began_wall_us + end_us)}"',
        f' minBufferTime="PT{buffer_s}S" suggestedPresentationDelay="PT0S"'
        f' maxSegmentDuration="PT{target_duration_s}S"',
    ]
    if listing.is_ended:
        lines.append(f' mediaPresentationDuration="{format_duration(end_us)}">')
    else:
        lines.append(f' minimumUpdatePeriod="PT{target_duration_s}S">')
    # Each Period has an absolute start and counts ticks from there, so that rounding errors don't add up.
    periods = _group_by_period(segments)
    for index, period_segments in enumerate(periods):
        is_last = index + 1 == len(periods)
        last_segment = None if is_last and not listing.is_ended else period_segments[-1]
        lines.append(_period(period_segments, listing, rung_kbit, last_segment))
    lines.append("</MPD>")
    return "\n".join(lines) + "\n"


def _period(
    segments: list[ListedSegment],
    listing: MediaListing,
    rung_kbit: dict[int, int],
    last_segment: ListedSegment | None,
) -> str:
    first = segments[0]
    media, period_start = listing.media[first.media], first.period
    # Id and start stay those of the period's first segment, even after it has left the window.
    start_us = to_microseconds(period_start.start_s)
    length = (
        f' duration="{format_duration(to_microseconds(last_segment.end_s) - start_us)}"'
        if last_segment is not None
        else ""
    )
    start_ticks = first.segment_number * media.segment_ticks
    timeline = f'<S t="{start_ticks}" d="{media.segment_ticks}" r="{len(segments) - 1}"/>'
    offset = period_start.segment_number * media.segment_ticks
    init = quoteattr(f"init/{first.media}/{first.rung}.mp4")
    return (
        f'<Period id="p{period_start.sequence_number}" start="{format_duration(start_us)}"{length}>'
        '<AdaptationSet contentType="video" mimeType="video/mp4" segmentAlignment="true" startWithSAP="1">'
        f'<SegmentTemplate timescale="{media.timescale}" presentationTimeOffset="{offset}"'
        f' startNumber="{first.sequence_number}" initialization={init} media="seg/$Number$.m4s">'
        f"<SegmentTimeline>{timeline}</SegmentTimeline></SegmentTemplate>"
        f'<Representation id="r{first.rung}" bandwidth="{rung_kbit[first.rung] * 1000}"'
        f" codecs={quoteattr(media.codecs)}/></AdaptationSet></Period>"
    )
