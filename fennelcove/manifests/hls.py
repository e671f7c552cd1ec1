"""HLS playlists (RFC 8216 and its successor draft): one variant whose segments come at the rung in force.

The front shapes the session, so a player is not offered rungs: each segment is shown at the rung in force
when it was first listed, with EXT-X-MAP where the rendition changes and EXT-X-DISCONTINUITY where the source
does.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import ceil

from fennelcove.manifests.clockwork import iso, micros, span
from fennelcove.timeline.model import Media, Shown

STITCH_CLASS = "urn:fennelcove:stitch"


@dataclass(frozen=True, slots=True)
class Listing:
    """What a manifest is written from: the window of a track, and what stays the same for its life."""

    shown: list[Shown]
    joints: int  # the discontinuity sequence number of the first
    ended: bool
    live: bool
    began_wall_us: int
    media: Mapping[str, Media]


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
        if i == 0 or item.joint:
            lines.append(f"#EXT-X-PROGRAM-DATE-TIME:{iso(listing.began_wall_us + micros(item.start))}")
        if item.change and (item.number == 0 or i == 0):
            lines.append(_date_range(item, listing))
        lines.append(f"#EXTINF:{span(item.start, item.end)},")
        lines.append(f"seg/{item.seq}.m4s")
    if listing.ended:
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


@dataclass(frozen=True, slots=True)
class Interstitial:
    """A clip told apart from the lesson, for players that keep two timelines; times on the lesson's."""

    change: str
    at_us: int
    duration_us: int
    resume_us: int


def interstitial_tag(item: Interstitial, began_wall_us: int, asset: str) -> str:
    """EXT-X-DATERANGE of an interstitial (successor draft of RFC 8216, appendix D)."""
    at = iso(began_wall_us + item.at_us)
    seconds, resume = item.duration_us / 1e6, item.resume_us / 1e6
    return (
        f'#EXT-X-DATERANGE:ID="{item.change}",CLASS="com.apple.hls.interstitial",START-DATE="{at}",'
        f'DURATION={seconds:.6f},X-ASSET-URI="{asset}",X-RESUME-OFFSET={resume:.6f}'
    )
