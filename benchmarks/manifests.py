"""Measures manifests per second and their sizes at 1, 20 and 200 insertions, in one thread without sockets.

python benchmarks/manifests.py
"""

from __future__ import annotations

import sys
import time
from fractions import Fraction

from fennelcove.decisions.playback import playlist_cursor, resume_tokens
from fennelcove.decisions.playback.playlist_cursor import SelectionContext
from fennelcove.decisions.playback.splices import ChangeLedger
from fennelcove.manifests import dash, hls
from fennelcove.timeline.model import Change, ChangeKind, ChangeTarget, Media

LESSON = Media("lesson", 30_000, 60_060, 450, (0, 1, 2), "avc1")
REST = Media("rest", 90_000, 120_007, 3, (0, 1, 2), "avc1")
MEDIA = {"lesson": LESSON, "rest": REST}
KBIT = {0: 800, 1: 1600, 2: 3200}


def main() -> None:
    """Run a player through the title for each number of insertions, and print the mean costs."""
    print(f"Python {sys.version.split()[0]}; a title of 450 segments of 2.002 s, clips of 3")
    for count in (1, 20, 200):
        ledger = ChangeLedger()
        for i in range(count):
            at = Fraction(450 * (2 * i + 1), 2 * count) * LESSON.segment_duration_s
            ledger.add(Change(f"c{i}", "a", ChangeTarget("lesson"), ChangeKind.INSERT, "rest", at))
        track, rounds, hls_bytes, mpd_bytes, token_bytes = playlist_cursor.new_track(LESSON, 0), 0, 0, 0, 0
        elapsed_s = {"extend": 0.0, "hls": 0.0, "dash": 0.0}
        while not track.is_ended:
            started_s = time.perf_counter()
            changes = tuple(ledger.active_changes("lesson"))
            context = SelectionContext(MEDIA, "lesson", "room", "s", changes, 1, 0, 0, 0, lambda name: True)
            track.extend(context, ledger.version)
            listed, discontinuity_sequence = track.window()
            listing = hls.MediaListing(listed, discontinuity_sequence, track.is_ended, False, 0, MEDIA)
            extended_s = time.perf_counter()
            hls_bytes += len(hls.media_playlist(listing, 3))
            written_s = time.perf_counter()
            mpd_bytes += len(dash.media_presentation(listing, 3, KBIT, 4))
            elapsed_s["dash"] += time.perf_counter() - written_s
            elapsed_s["hls"] += written_s - extended_s
            elapsed_s["extend"] += extended_s - started_s
            token_bytes = max(token_bytes, len(resume_tokens.encode(track)))
            track.on_segment_requested(track.last_fetched + 1)
            rounds += 1
        mean_us = {name: seconds / rounds * 1e6 for name, seconds in elapsed_s.items()}
        hls_rate = 1e6 / (mean_us["extend"] + mean_us["hls"])
        print(
            f"{count:3} insertions: {hls_rate:6.0f} HLS manifests/s (track {mean_us['extend']:.0f} us, "
            f"HLS {mean_us['hls']:.0f} us, DASH {mean_us['dash']:.0f} us); "
            f"bytes HLS {hls_bytes / rounds:.0f}, DASH {mpd_bytes / rounds:.0f}, "
            f"resume token at most {token_bytes}"
        )


if __name__ == "__main__":
    main()
