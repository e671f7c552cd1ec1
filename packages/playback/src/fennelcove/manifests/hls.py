"""HLS playlists (RFC 8216 and its successor draft) of a single variant.

The front selects the rung of the session, so a player is offered no other variants: each segment is listed
at the session's current rung, with EXT-X-MAP where the rendition changes and EXT-X-DISCONTINUITY where the
source changes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from fractions import Fraction
from math import ceil

from fennelcove.manifests.exact_time import duration_between, format_wall_time, to_microseconds
from fennelcove.timeline.model import ListedSegment, Media

SPLICE_CLASS = "urn:fennelcove:stitch"
INTERSTITIAL_CLASS = "com.apple.hls.interstitial"  # the successor draft of RFC 8216, appendix D


@dataclass(frozen=True, slots=True)
class Interstitial:
    """A clip that is played as an interstitial; the title continues afterwards where it was interrupted."""

    change_id: str
    clip: Media


@dataclass(frozen=True, slots=True)
class MediaListing:
    """The content of a manifest."""

    segments: list[ListedSegment]  # the segments to list
    discontinuity_sequence: int  # the discontinuity sequence number of the first segment
    is_ended: bool  # no segment will follow
    is_live: bool  # the title is live
    began_wall_us: int  # the wall time at which the player's timeline began
    media: Mapping[str, Media]  # by title
    interstitials: Mapping[str, Interstitial] = field(default_factory=dict)  # by change
    # The ids of the changes whose interstitials are played after the last segment.
    trailing_interstitial_ids: tuple[str, ...] = ()


def target_duration(media: Iterable[Media]) -> int:
    """The longest segment duration of all media, rounded up to whole seconds.

    It includes media not listed yet, as EXT-X-TARGETDURATION must never change (RFC 8216, section 4.3.3.1).
    """
    return max((ceil(item.segment_duration_s) for item in media), default=1)


def multivariant_playlist(bandwidth: int, average_bandwidth: int, codecs: str) -> str:
    """The multivariant playlist; bandwidths are in bits per second."""
    return (
        "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n"
        f'#EXT-X-STREAM-INF:BANDWIDTH={bandwidth},AVERAGE-BANDWIDTH={average_bandwidth},CODECS="{codecs}"\n'
        "media.m3u8\n"
    )


def media_playlist(listing: MediaListing, target_duration_s: int) -> str:
    """The media playlist of one player; `target_duration_s` is the result of `target_duration`."""
    segments = listing.segments
    lines = ["#EXTM3U", "#EXT-X-VERSION:7", f"#EXT-X-TARGETDURATION:{target_duration_s}"]
    lines.append(f"#EXT-X-MEDIA-SEQUENCE:{segments[0].sequence_number if segments else 0}")
    lines.append(f"#EXT-X-DISCONTINUITY-SEQUENCE:{listing.discontinuity_sequence}")
    lines.append("#EXT-X-INDEPENDENT-SEGMENTS")
    if not listing.is_live:
        lines.append("#EXT-X-START:TIME-OFFSET=0,PRECISE=YES")
    rendition: tuple[str, int] | None = None
    for index, segment in enumerate(segments):
        if segment.is_discontinuity and index > 0:
            lines.append("#EXT-X-DISCONTINUITY")
        if (segment.media, segment.rung) != rendition:
            rendition = (segment.media, segment.rung)
            lines.append(f'#EXT-X-MAP:URI="init/{segment.media}/{segment.rung}.mp4"')
        if index == 0 or segment.is_discontinuity or segment.interstitial_ids:
            lines.append(
                "#EXT-X-PROGRAM-DATE-TIME:"
                f"{format_wall_time(listing.began_wall_us + to_microseconds(segment.start_s))}"
            )
        if segment.change_id and (segment.segment_number == 0 or index == 0):
            lines.append(_date_range(segment, listing))
        lines += _interstitials(segment.interstitial_ids, segment.start_s, listing)
        lines.append(f"#EXTINF:{duration_between(segment.start_s, segment.end_s)},")
        lines.append(f"seg/{segment.sequence_number}.m4s")
    if listing.is_ended:
        lines += _interstitials(
            listing.trailing_interstitial_ids, segments[-1].end_s if segments else Fraction(0), listing
        )
        lines.append("#EXT-X-ENDLIST")
    return "\n".join(lines) + "\n"


def _date_range(segment: ListedSegment, listing: MediaListing) -> str:
    """The EXT-X-DATERANGE tag of a spliced clip, for players that indicate it (RFC 8216, section 4.3.2.7)."""
    clip = listing.media[segment.media]
    start_s = segment.start_s - clip.segment_start_s(segment.segment_number)
    end_s = start_s + clip.segment_start_s(clip.segment_count or 0)
    start_date = format_wall_time(listing.began_wall_us + to_microseconds(start_s))
    duration = duration_between(start_s, end_s)
    return (
        f'#EXT-X-DATERANGE:ID="{segment.change_id}",CLASS="{SPLICE_CLASS}",START-DATE="{start_date}",'
        f"DURATION={duration}"
    )


def _interstitials(change_ids: Iterable[str], start_s: Fraction, listing: MediaListing) -> list[str]:
    """The EXT-X-DATERANGE tag of each interstitial (the successor draft of RFC 8216, appendix D)."""
    start_date = format_wall_time(listing.began_wall_us + to_microseconds(start_s))
    return [
        f'#EXT-X-DATERANGE:ID="{item.change_id}",CLASS="{INTERSTITIAL_CLASS}",START-DATE="{start_date}",'
        f"DURATION={duration_between(Fraction(0), item.clip.segment_start_s(item.clip.segment_count or 0))},"
        f'X-ASSET-URI="asset/{item.change_id}.m3u8",X-RESUME-OFFSET=0.0'
        for item in map(listing.interstitials.get, change_ids)
        if item is not None
    ]


def interstitial_playlist(change_id: str, clip: Media, rung: int) -> str:
    """The complete media playlist of an interstitial's clip; the URIs are relative to the playlist's URI."""
    lines = ["#EXTM3U", "#EXT-X-VERSION:7", f"#EXT-X-TARGETDURATION:{ceil(clip.segment_duration_s)}"]
    lines += ["#EXT-X-PLAYLIST-TYPE:VOD", "#EXT-X-INDEPENDENT-SEGMENTS"]
    lines.append(f'#EXT-X-MAP:URI="../init/{clip.name}/{rung}.mp4"')
    for number in range(clip.segment_count or 0):
        lines.append(
            f"#EXTINF:{duration_between(clip.segment_start_s(number), clip.segment_start_s(number + 1))},"
        )
        lines.append(f"{change_id}/{number}.m4s")
    return "\n".join([*lines, "#EXT-X-ENDLIST"]) + "\n"
