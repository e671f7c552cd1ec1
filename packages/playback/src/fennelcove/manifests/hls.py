"""HLS playlists (RFC 8216 and its successor draft): one variant whose segments come at the rung in force.

The front shapes the session, so a player is not offered rungs: each segment is shown at the rung in force
when it was first listed, with EXT-X-MAP where the rendition changes and EXT-X-DISCONTINUITY where the source
does.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from fractions import Fraction
from math import ceil

from fennelcove.manifests.exact_time import iso, micros, span
from fennelcove.timeline.model import Media, Shown

STITCH_CLASS = "urn:fennelcove:stitch"
INTERSTITIAL_CLASS = "com.apple.hls.interstitial"  # the successor draft of RFC 8216, appendix D


@dataclass(frozen=True, slots=True)
class Interstitial:
    """A clip told apart from the lesson, which goes on after it where it was left."""

    change: str
    clip: Media


@dataclass(frozen=True, slots=True)
class Listing:
    """What a manifest is written from: the window of a track, and what stays the same for its life."""

    shown: list[Shown]
    joints: int  # the discontinuity sequence number of the first
    ended: bool
    live: bool
    began_wall_us: int
    media: Mapping[str, Media]
    breaks: Mapping[str, Interstitial] = field(default_factory=dict)  # clips told apart, by change
    after: tuple[str, ...] = ()  # of those, the ones after the last segment


def target_duration(media: Iterable[Media]) -> int:
    """Whole seconds that no segment of any media exceeds: the tag must never change (RFC 8216, 4.3.3.1)."""
    return max((ceil(item.each) for item in media), default=1)


def multivariant(bandwidth: int, average: int, codecs: str) -> str:
    """The multivariant playlist; rates in bits a second."""
    return (
        "#EXTM3U\n#EXT-X-VERSION:7\n#EXT-X-INDEPENDENT-SEGMENTS\n"
        f'#EXT-X-STREAM-INF:BANDWIDTH={bandwidth},AVERAGE-BANDWIDTH={average},CODECS="{codecs}"\n'
        "media.m3u8\n"
    )


def media_playlist(listing: Listing, target: int) -> str:
    """The media playlist of one player."""
    shown = listing.shown
    lines = ["#EXTM3U", "#EXT-X-VERSION:7", f"#EXT-X-TARGETDURATION:{target}"]
    lines.append(f"#EXT-X-MEDIA-SEQUENCE:{shown[0].seq if shown else 0}")
    lines.append(f"#EXT-X-DISCONTINUITY-SEQUENCE:{listing.joints}")
    lines.append("#EXT-X-INDEPENDENT-SEGMENTS")
    if not listing.live:
        lines.append("#EXT-X-START:TIME-OFFSET=0,PRECISE=YES")
    rendition: tuple[str, int] | None = None
    for i, item in enumerate(shown):
        if item.joint and i > 0:
            lines.append("#EXT-X-DISCONTINUITY")
        if (item.media, item.rung) != rendition:
            rendition = (item.media, item.rung)
            lines.append(f'#EXT-X-MAP:URI="init/{item.media}/{item.rung}.mp4"')
        if i == 0 or item.joint or item.breaks:
            lines.append(f"#EXT-X-PROGRAM-DATE-TIME:{iso(listing.began_wall_us + micros(item.start))}")
        if item.change and (item.number == 0 or i == 0):
            lines.append(_date_range(item, listing))
        lines += _interstitials(item.breaks, item.start, listing)
        lines.append(f"#EXTINF:{span(item.start, item.end)},")
        lines.append(f"seg/{item.seq}.m4s")
    if listing.ended:
        lines += _interstitials(listing.after, shown[-1].end if shown else Fraction(0), listing)
        lines.append("#EXT-X-ENDLIST")
    return "\n".join(lines) + "\n"


def _date_range(item: Shown, listing: Listing) -> str:
    """What a stitched clip is, for players that show it apart (RFC 8216, section 4.3.2.7)."""
    clip = listing.media[item.media]
    began = item.start - clip.start(item.number)
    ends = began + clip.start(clip.count or 0)
    at = iso(listing.began_wall_us + micros(began))
    lasts = span(began, ends)
    return f'#EXT-X-DATERANGE:ID="{item.change}",CLASS="{STITCH_CLASS}",START-DATE="{at}",DURATION={lasts}'


def _interstitials(changes: Iterable[str], at: Fraction, listing: Listing) -> list[str]:
    """EXT-X-DATERANGE of each clip told apart here (the successor draft of RFC 8216, appendix D)."""
    began = iso(listing.began_wall_us + micros(at))
    return [
        f'#EXT-X-DATERANGE:ID="{item.change}",CLASS="{INTERSTITIAL_CLASS}",START-DATE="{began}",'
        f"DURATION={span(Fraction(0), item.clip.start(item.clip.count or 0))},"
        f'X-ASSET-URI="asset/{item.change}.m3u8",X-RESUME-OFFSET=0.0'
        for item in map(listing.breaks.get, changes)
        if item is not None
    ]


def asset_playlist(change: str, clip: Media, rung: int) -> str:
    """The media playlist of a clip told apart, whole; its URIs start from its own."""
    lines = ["#EXTM3U", "#EXT-X-VERSION:7", f"#EXT-X-TARGETDURATION:{ceil(clip.each)}"]
    lines += ["#EXT-X-PLAYLIST-TYPE:VOD", "#EXT-X-INDEPENDENT-SEGMENTS"]
    lines.append(f'#EXT-X-MAP:URI="../init/{clip.name}/{rung}.mp4"')
    for number in range(clip.count or 0):
        lines.append(f"#EXTINF:{span(clip.start(number), clip.start(number + 1))},")
        lines.append(f"{change}/{number}.m4s")
    return "\n".join([*lines, "#EXT-X-ENDLIST"]) + "\n"
