"""Manifests a second and their bytes at 1, 20 and 200 insertions, one thread, no sockets.

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
    print(f"Python {sys.version.split()[0]}; a lesson of 450 segments of 2.002 s, clips of 3")
    for count in (1, 20, 200):
        ledger = ChangeLedger()
        for i in range(count):
            at = Fraction(450 * (2 * i + 1), 2 * count) * LESSON.segment_duration_s
            ledger.add(Change(f"c{i}", "a", ChangeTarget("lesson"), ChangeKind.INSERT, "rest", at))
        track, rounds, size, mpd_size, mark_size = playlist_cursor.new_track(LESSON, 0), 0, 0, 0, 0
        spent = {"extend": 0.0, "hls": 0.0, "dash": 0.0}
        while not track.is_ended:
            began = time.perf_counter()
            changes = tuple(ledger.active_changes("lesson"))
            view = SelectionContext(MEDIA, "lesson", "room", "s", changes, 1, 0, 0, 0, lambda name: True)
            track.extend(view, ledger.version)
            shown, joints = track.window()
            listing = hls.MediaListing(shown, joints, track.is_ended, False, 0, MEDIA)
            extended = time.perf_counter()
            size += len(hls.media_playlist(listing, 3))
            written = time.perf_counter()
            mpd_size += len(dash.media_presentation(listing, 3, KBIT, 4))
            spent["dash"] += time.perf_counter() - written
            spent["hls"] += written - extended
            spent["extend"] += extended - began
            mark_size = max(mark_size, len(resume_tokens.encode(track)))
            track.on_segment_requested(track.last_fetched + 1)
            rounds += 1
        each = {name: seconds / rounds * 1e6 for name, seconds in spent.items()}
        both = 1e6 / (each["extend"] + each["hls"])
        print(
            f"{count:3} insertions: {both:6.0f} HLS manifests/s (track {each['extend']:.0f} us, HLS "
            f"{each['hls']:.0f} us, DASH {each['dash']:.0f} us); bytes HLS {size / rounds:.0f}, "
            f"DASH {mpd_size / rounds:.0f}, mark at most {mark_size}"
        )


if __name__ == "__main__":
    main()
