"""MPEG-DASH manifests (ISO/IEC 23009-1): a Period for each stretch of one source at one rung, exact in its
ticks."""

from __future__ import annotations

from itertools import groupby
from xml.sax.saxutils import quoteattr

from fennelcove.manifests.exact_time import iso, micros, period
from fennelcove.manifests.hls import Listing
from fennelcove.timeline.model import Shown


def _stretches(shown: list[Shown]) -> list[list[Shown]]:
    return [list(group) for _, group in groupby(shown, lambda item: item.stretch.seq)]


def manifest(listing: Listing, target: int, kbit: dict[int, int], buffer_s: int) -> str:
    """The MPD of one player: dynamic while it may grow, with its whole length once it has ended.

    Args:
        listing: the window of the player's track.
        target: seconds that no segment exceeds.
        kbit: each rung's rate in kilobits a second.
        buffer_s: seconds of media that players keep at least.
    """
    shown = listing.shown
    end_us = micros(shown[-1].end) if shown else 0
    head = [
        '<?xml version="1.0" encoding="UTF-8"?>',
        '<MPD xmlns="urn:mpeg:dash:schema:mpd:2011" profiles="urn:mpeg:dash:profile:isoff-live:2011"',
        f' type="dynamic" availabilityStartTime="{iso(listing.began_wall_us)}"',
        f' publishTime="{iso(listing.began_wall_us + end_us)}"',
        f' minBufferTime="PT{buffer_s}S" suggestedPresentationDelay="PT0S" maxSegmentDuration="PT{target}S"',
    ]
    if listing.ended:
        head.append(f' mediaPresentationDuration="{period(end_us)}">')
    else:
        head.append(f' minimumUpdatePeriod="PT{target}S">')
    # An absolute start for each Period, and ticks inside it: neither is a sum that could drift.
    stretches = _stretches(shown)
    for i, stretch in enumerate(stretches):
        last = i + 1 == len(stretches)
        closed = None if last and not listing.ended else stretch[-1]
        head.append(_period(stretch, listing, kbit, closed))
    head.append("</MPD>")
    return "\n".join(head) + "\n"


def _period(stretch: list[Shown], listing: Listing, kbit: dict[int, int], closed: Shown | None) -> str:
    first = stretch[0]
    media, began = listing.media[first.media], first.stretch
    # Named by where the stretch began, also once its first segments have left the window.
    start_us = micros(began.start)
    length = f' duration="{period(micros(closed.end) - start_us)}"' if closed is not None else ""
    timeline = f'<S t="{first.number * media.ticks}" d="{media.ticks}" r="{len(stretch) - 1}"/>'
    offset = began.number * media.ticks
    init = quoteattr(f"init/{first.media}/{first.rung}.mp4")
    return (
        f'<Period id="p{began.seq}" start="{period(start_us)}"{length}>'
        '<AdaptationSet contentType="video" mimeType="video/mp4" segmentAlignment="true" startWithSAP="1">'
        f'<SegmentTemplate timescale="{media.timescale}" presentationTimeOffset="{offset}"'
        f' startNumber="{first.seq}" initialization={init} media="seg/$Number$.m4s">'
        f"<SegmentTimeline>{timeline}</SegmentTimeline></SegmentTemplate>"
        f'<Representation id="r{first.rung}" bandwidth="{kbit[first.rung] * 1000}"'
        f" codecs={quoteattr(media.codecs)}/></AdaptationSet></Period>"
    )
