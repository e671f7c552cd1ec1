"""Stitched timelines: any mix of changes, withdrawals, rungs, fetches and polls, read by parsers that are not
ours."""

from __future__ import annotations

import unittest
from dataclasses import replace
from fractions import Fraction
from itertools import pairwise
from typing import Any

import m3u8
from fennelcove.decisions.playback import playlist_cursor, resume_tokens, splices
from fennelcove.decisions.playback.playlist_cursor import PlaylistTrack, SelectionContext
from fennelcove.decisions.playback.splices import (
    ChangeLedger,
    ChangeStatus,
    RejectionReason,
    ValidationContext,
)
from fennelcove.manifests import dash, hls
from fennelcove.manifests.exact_time import to_microseconds
from fennelcove.timeline.model import Change, ChangeKind, ChangeTarget, ListedSegment, Media
from hypothesis import given, settings
from hypothesis import strategies as st
from mpegdash.parser import MPEGDASHParser

WALL = 1_800_000_000_000_000
LESSON = Media("lesson", 30_000, 60_060, 40, (0, 1, 2), "avc1")
REST = Media("rest", 90_000, 120_007, 3, (0, 2), "avc1")
NOTE = Media("note", 7, 5, 1, (0, 1, 2), "avc1")
LIVE = Media("live", 1000, 2000, None, (0, 1), "avc1", WALL - 100_000_000)
ODD = Media("odd", 1000, 1000, 2, (0,), "hvc1")
HIGH = Media("high", 1000, 1000, 2, (2,), "avc1")
MEDIA = {item.name: item for item in (LESSON, REST, NOTE, LIVE, ODD, HIGH)}
TARGET = hls.target_duration(MEDIA.values())


def change(
    id: str,
    at: Any = 10,
    clip: str | None = "rest",
    kind: ChangeKind = ChangeKind.INSERT,
    until: Any = None,
    target: ChangeTarget | None = None,
    **more: Any,
) -> Change:
    return Change(
        id,
        "author",
        target or ChangeTarget("lesson"),
        kind,
        clip,
        None if at is None else Fraction(at),
        None if until is None else Fraction(until),
        **more,
    )


def scene(**changes: Any) -> ValidationContext:
    return replace(ValidationContext(MEDIA, 0, WALL), **changes)


def view(ledger: ChangeLedger, title: str = "lesson", rung: int = 1, **changes: Any) -> SelectionContext:
    base = SelectionContext(
        MEDIA,
        title,
        "room",
        "s1",
        tuple(ledger.active_changes(title)),
        rung,
        0,
        WALL,
        WALL,
        lambda name: True,
    )
    return replace(base, **changes)


def whole(ledger: ChangeLedger, track: PlaylistTrack | None = None, **changes: Any) -> list[ListedSegment]:
    """Everything a player is shown that fetches as it goes."""
    track = track or playlist_cursor.new_track(LESSON, WALL)
    found: list[ListedSegment] = []
    for _ in range(400):
        track.extend(view(ledger, **changes), ledger.version)
        found += [item for item in track.segments if item.sequence_number == len(found)][:1]
        if track.is_ended and len(found) == track.cursor.next_sequence_number:
            return found
        track.on_segment_requested(len(found) - 1)
    raise AssertionError("never ended")


class SeamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ChangeLedger()

    def refused(self, made: Change, **changes: Any) -> RejectionReason | None:
        verdict = self.ledger.submit(made, scene(**changes))
        if verdict.status is ChangeStatus.REJECTED:
            assert verdict.remedy
            if verdict.reason is not RejectionReason.ID_TAKEN:
                assert made.id not in [item.id for item in self.ledger.active_changes("lesson")]
        return verdict.reason

    def test_each_refusal_has_its_reason_and_leaves_nothing(self) -> None:
        live = ChangeTarget("live")
        for made, refusal in (
            (change("a", target=ChangeTarget("nowhere")), RejectionReason.UNKNOWN_TITLE),
            (change("a", clip="nothing"), RejectionReason.UNKNOWN_CLIP),
            (change("a", clip="live"), RejectionReason.UNKNOWN_CLIP),
            (change("a", at=None), RejectionReason.INVALID_TIME),
            (change("a", wall_us=WALL), RejectionReason.INVALID_TIME),
            (change("a", at=-1), RejectionReason.INVALID_TIME),
            (change("a", until=20), RejectionReason.INVALID_TIME),
            (change("a", kind=ChangeKind.REPLACE), RejectionReason.INVALID_TIME),
            (change("a", kind=ChangeKind.CUT, at="2.1", until="2.5"), RejectionReason.EMPTY_RANGE),
            (change("a", kind=ChangeKind.CUT, at=10, until=900), RejectionReason.PAST_END),
            (change("a", at="80.2"), RejectionReason.PAST_END),
            (change("a", at=None, wall_us=WALL - 1), RejectionReason.BEFORE_LIVE_EDGE),
            (change("a", at=100, target=live), RejectionReason.BEFORE_LIVE_EDGE),
            (change("a", clip="odd"), RejectionReason.INCOMPATIBLE_RENDITIONS),
            (change("a", clip="high"), RejectionReason.INCOMPATIBLE_RENDITIONS),
        ):
            assert self.refused(made) is refusal, made
        assert self.ledger.version == 0
        assert self.refused(change("a"), next_title_segment=6) is RejectionReason.ALREADY_LISTED
        assert self.refused(change("a"), is_session_known=False) is RejectionReason.UNKNOWN_SESSION

    def test_a_live_change_keeps_one_whole_segment_clear_of_the_edge(self) -> None:
        # Fifty segments are ready at 100 s; the one now being written must not be touched either.
        target = ChangeTarget("live")
        assert self.refused(change("a", at=102 - Fraction(1, 10**9), target=target)) is None
        assert self.refused(change("b", at=100, target=target)) is RejectionReason.BEFORE_LIVE_EDGE

    def test_a_repeat_stands_and_an_id_is_never_given_twice(self) -> None:
        assert self.refused(change("a")) is None
        again = self.ledger.submit(change("a"), scene())
        assert (again.status, again.version, self.ledger.version) == (ChangeStatus.UNCHANGED, 1, 1)
        assert self.refused(change("a", at=30)) is RejectionReason.ID_TAKEN
        self.ledger.withdraw("a")
        assert self.refused(change("a")) is RejectionReason.ID_TAKEN
        assert self.ledger.withdraw("a").status is ChangeStatus.WITHDRAWN
        assert self.ledger.version == 2
        assert self.ledger.withdraw("zz").status is ChangeStatus.UNKNOWN

    def test_two_authors_whose_changes_meet(self) -> None:
        assert self.refused(change("a", at=20, until=30, kind=ChangeKind.REPLACE)) is None
        for other, refusal in (
            (change("b", at=20), RejectionReason.OVERLAPS),
            (change("b", at=25), RejectionReason.OVERLAPS),
            (change("b", at=28, until=40, kind=ChangeKind.CUT), RejectionReason.OVERLAPS),
            (change("b", at=25, target=ChangeTarget("lesson", "room")), RejectionReason.OVERLAPS),
            (change("b", at=25, target=ChangeTarget("lesson", None, "s9")), RejectionReason.OVERLAPS),
        ):
            assert self.refused(other) is refusal, other
        assert self.refused(change("c", at="30.03")) is None
        assert self.refused(change("d", at=50, target=ChangeTarget("lesson", "one"))) is None
        assert self.refused(change("e", at=50, target=ChangeTarget("lesson", "two"))) is None

    def test_bounded(self) -> None:
        for i in range(splices.MAX_CHANGES_PER_TITLE):
            self.ledger.add(change(f"x{i}", at=None, wall_us=WALL + i))
        assert self.refused(change("a")) is RejectionReason.TOO_MANY

    def test_times_as_authors_write_them(self) -> None:
        for text, value in (
            ("12.5", Fraction(25, 2)),
            ("37/3", Fraction(37, 3)),
            ("1:02:03.25", Fraction(14893, 4)),
        ):
            assert splices.parse_media_time(text) == value
        for text in ("", "x", "1:2:3:4", "1e9", ":", "9" * 50):
            with self.assertRaises(ValueError):
                splices.parse_media_time(text)


class TracksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ChangeLedger()

    def test_insert_replace_and_cut(self) -> None:
        self.ledger.add(change("a", at=4, clip="note"))
        self.ledger.add(change("b", at=20, until=30, kind=ChangeKind.REPLACE))
        self.ledger.add(change("c", at=40, until=60, kind=ChangeKind.CUT, clip=None))
        shown = whole(self.ledger)
        lesson = [item.segment_number for item in shown if not item.change_id]
        assert lesson == [*range(10), *range(15, 20), *range(30, 40)]
        assert [item.change_id for item in shown[:4]] == ["", "", "a", ""]
        assert [item.media for item in shown if item.is_discontinuity] == [
            "note",
            "lesson",
            "rest",
            "lesson",
            "lesson",
        ]

    def test_a_change_taken_back_while_half_the_players_watch_its_clip(self) -> None:
        self.ledger.add(change("a", at=4))
        ahead, behind = playlist_cursor.new_track(LESSON, WALL), playlist_cursor.new_track(LESSON, WALL)
        ahead.extend(view(self.ledger), 1)
        assert [item.change_id for item in ahead.segments] == ["", "", "a"]
        self.ledger.withdraw("a")
        assert [item.change_id for item in whole(self.ledger, ahead)][:6] == ["", "", "a", "a", "a", ""]
        assert all(not item.change_id for item in whole(self.ledger, behind))

    def test_a_rendition_that_the_clip_lacks_falls_to_the_next_lower(self) -> None:
        self.ledger.add(change("a", at=4))
        assert {item.rung for item in whole(self.ledger, rung=1) if item.change_id} == {0}
        assert {item.rung for item in whole(self.ledger, rung=2) if item.change_id} == {2}
        assert playlist_cursor.fitting_rung(HIGH, 1, 1) == 1

    def test_a_clip_that_nothing_can_serve_leaves_the_lesson_unstitched(self) -> None:
        self.ledger.add(change("a", at=4))
        shown = whole(self.ledger, is_clip_available=lambda name: False)
        assert [item.segment_number for item in shown] == list(range(40))
        assert not any(item.is_discontinuity for item in shown)

    def test_a_moment_meets_each_player_where_it_is_and_once(self) -> None:
        self.ledger.add(change("a", at=None, clip="note", wall_us=WALL + 10_000_000))
        shown = whole(self.ledger)
        assert [item.sequence_number for item in shown if item.change_id] == [5]
        late = playlist_cursor.new_track(LESSON, WALL + 11_000_000)
        assert not any(item.change_id for item in whole(self.ledger, late, began_wall_us=late.began_wall_us))

    def test_a_live_player_begins_near_the_edge_and_waits_there(self) -> None:
        track = playlist_cursor.new_track(LIVE, WALL)
        track.extend(view(self.ledger, "live"), 0)
        assert [item.segment_number for item in track.segments] == [47, 48, 49]
        for seq in range(3):
            track.on_segment_requested(seq)
        assert track.extend(view(self.ledger, "live"), 0) == 0
        assert not track.is_ended
        assert track.extend(view(self.ledger, "live", wall_us=WALL + 2000000), 0) == 1

    def test_the_narrowest_target_wins_where_two_meet_by_moment_and_time(self) -> None:
        self.ledger.add(change("wide", at=4))
        self.ledger.add(change("own", at=4, clip="note", target=ChangeTarget("lesson", None, "s1")))
        assert [item.change_id for item in whole(self.ledger)][2:6] == ["own", "wide", "wide", "wide"]


steps = st.lists(
    st.one_of(
        st.tuples(st.just("insert"), st.integers(0, 85), st.sampled_from(["rest", "note"])),
        st.tuples(st.just("replace"), st.integers(0, 85), st.integers(1, 20)),
        st.tuples(st.just("cut"), st.integers(0, 85), st.integers(1, 20)),
        st.tuples(st.just("withdraw"), st.integers(0, 20), st.just(0)),
        st.tuples(st.just("rung"), st.integers(0, 2), st.just(0)),
        st.tuples(st.just("fetch"), st.integers(1, 3), st.just(0)),
        st.tuples(st.just("poll"), st.just(0), st.just(0)),
    ),
    max_size=60,
)


class ManifestsTest(unittest.TestCase):
    @given(steps)
    @settings(max_examples=120, deadline=None)
    def test_whatever_happens_each_manifest_goes_on_from_the_last(
        self, script: list[tuple[str, Any, Any]]
    ) -> None:
        ledger, track, rung = ChangeLedger(), playlist_cursor.new_track(LESSON, WALL), 1
        seen: dict[int, tuple[str, str]] = {}
        before = (0, 0)
        for i, (what, one, two) in enumerate([*script, *[("fetch", 3, 0)] * 60]):
            rung = self.happens(ledger, track, i, what, one, two, rung)
            track.extend(view(ledger, rung=rung), ledger.version)
            before = self.check(track, seen, before)
        assert track.is_ended
        for seq in range(max(0, track.last_fetched - 20), track.last_fetched + 1):
            assert track.on_segment_requested(seq) is not None, "a segment fetched is denied later"

    def happens(
        self,
        ledger: ChangeLedger,
        track: PlaylistTrack,
        number: int,
        what: str,
        one: Any,
        two: Any,
        rung: int,
    ) -> int:
        """One step of a script; the rung from then on."""
        if what == "insert":
            ledger.submit(change(f"c{number}", at=one, clip=two), scene())
        elif what in ("replace", "cut"):
            ledger.submit(change(f"c{number}", one, kind=ChangeKind(what), until=one + two), scene())
        elif what == "withdraw":
            ledger.withdraw(f"c{one}")
        elif what == "fetch":
            for seq in range(
                track.last_fetched + 1, min(track.cursor.next_sequence_number, track.last_fetched + 1 + one)
            ):
                assert track.on_segment_requested(seq) is not None
        return one if what == "rung" else rung

    def check(
        self, track: PlaylistTrack, seen: dict[int, tuple[str, str]], before: tuple[int, int]
    ) -> tuple[int, int]:
        shown, joints = track.window()
        listing = hls.MediaListing(shown, joints, track.is_ended, False, WALL, MEDIA)
        text = hls.media_playlist(listing, TARGET)
        parsed = m3u8.loads(text)
        assert parsed.target_duration == TARGET
        assert parsed.is_endlist == track.is_ended
        first, discontinuity = parsed.media_sequence, parsed.discontinuity_sequence or 0
        assert first >= before[0]
        assert discontinuity >= before[1]
        for i, segment in enumerate(parsed.segments):
            assert segment.duration <= TARGET
            now = (segment.uri, str(segment.init_section.uri))
            assert seen.setdefault(first + i, now) == now, "a listed segment changed"
        for one, two in pairwise(shown):
            assert one.end_s == two.start_s
        self.sums(text, shown)
        self.periods(dash.media_presentation(listing, TARGET, {0: 800, 1: 1600, 2: 3200}, 4), shown)
        return first, discontinuity

    @given(steps)
    @settings(max_examples=120, deadline=None)
    def test_clips_told_apart_leave_the_lesson_whole_and_come_once(
        self, script: list[tuple[str, Any, Any]]
    ) -> None:
        ledger, track, rung = (
            ChangeLedger(),
            playlist_cursor.new_track(LESSON, WALL, uses_interstitials=True),
            1,
        )
        numbers: dict[int, int] = {}
        told: dict[str, tuple[str, ...]] = {}
        begun: dict[str, int] = {}
        for i, (what, one, two) in enumerate([*script, *[("fetch", 3, 0)] * 60]):
            rung = self.happens(ledger, track, i, what, one, two, rung)
            track.extend(view(ledger, rung=rung, uses_interstitials=True), ledger.version)
            track = resume_tokens.decode(resume_tokens.encode(track)) or self.fail(
                "a mark that can't be read"
            )
            track.replay = None
            for item in track.segments:
                numbers[item.sequence_number] = item.segment_number
                assert (item.media, item.change_id) == ("lesson", "")
                for id in item.interstitial_ids:
                    at = told.setdefault(id, (str(item.start_s), str(item.segment_number)))
                    assert at == (str(item.start_s), str(item.segment_number)), "told at two places"
                    clip = MEDIA[ledger.entries[id].change.clip or ""]
                    gone = ledger.entries[id].withdrawn_version is not None
                    had = track.interstitial_rung(id, clip, rung, 0, gone)
                    assert (had is None) == (gone and id not in begun), "a clip begun is denied later"
                    if had is not None:
                        assert begun.setdefault(id, had) == had
        assert track.is_ended
        shown = [numbers[seq] for seq in sorted(numbers)]
        left_out = {
            number
            for entry in ledger.entries.values()
            if entry.change.kind is not ChangeKind.INSERT
            for number in range(
                entry.change.first_segment(LESSON) or 0, entry.change.resume_segment(LESSON) or 0
            )
        }
        assert shown == sorted(set(shown))
        assert set(range(40)) - set(shown) <= left_out
        assert track.interstitial_rung("never-told", REST, 1, 0, False) is None

    def test_an_interstitial_is_read_by_a_parser_that_is_not_ours(self) -> None:
        ledger = ChangeLedger()
        ledger.add(change("a", at=4))
        ledger.add(change("b", at=4 * 2.002, kind=ChangeKind.REPLACE, until=8 * 2.002, clip="note"))
        track = playlist_cursor.new_track(LESSON, WALL, uses_interstitials=True)
        track.extend(view(ledger, uses_interstitials=True), 1)
        track.on_segment_requested(2)
        track.extend(view(ledger, uses_interstitials=True), 1)
        shown, joints = track.window()
        breaks = {"a": hls.Interstitial("a", REST), "b": hls.Interstitial("b", NOTE)}
        listing = hls.MediaListing(shown, joints, False, False, WALL, MEDIA, breaks)
        parsed = m3u8.loads(hls.media_playlist(listing, TARGET))
        found = {
            told.id: (i, told) for i, item in enumerate(parsed.segments) for told in item.dateranges or ()
        }
        assert {id: at for id, (at, _) in found.items()} == {"a": 2, "b": 4}
        told = found["a"][1]
        assert told.class_ == "com.apple.hls.interstitial"
        assert dict(told.x_client_attrs)["x_asset_uri"] == '"asset/a.m3u8"'
        self.assertAlmostEqual(float(told.duration), 3 * 120_007 / 90_000, places=5)
        assert parsed.segments[4].discontinuity, "what a clip replaces is left out"
        asset = m3u8.loads(hls.interstitial_playlist("a", REST, 2))
        assert [item.uri for item in asset.segments] == ["a/0.m4s", "a/1.m4s", "a/2.m4s"]
        assert asset.is_endlist
        assert max(item.duration for item in asset.segments) <= asset.target_duration

    def sums(self, text: str, shown: list[ListedSegment]) -> None:
        """The decimals add up to the rounded ends, however many there are."""
        total = sum(Fraction(line[8:-1]) for line in text.splitlines() if line.startswith("#EXTINF:"))
        if shown:
            assert total * 1000000 == to_microseconds(shown[-1].end_s) - to_microseconds(shown[0].start_s)

    def periods(self, text: str, shown: list[ListedSegment]) -> None:
        mpd = MPEGDASHParser.parse(text)
        numbers: list[int] = []
        ends: str | None = None
        for period in mpd.periods:
            template = period.adaptation_sets[0].segment_templates[0]
            timeline = template.segment_timelines[0].Ss[0]
            numbers += range(template.start_number, template.start_number + timeline.r + 1)
            if ends is not None:
                assert ends == period.start, "a period does not begin where the one before ends"
            if period.duration:
                start, length = Fraction(period.start[2:-1]), Fraction(period.duration[2:-1])
                ends = f"PT{float(start + length):.6f}S"
        assert numbers == [item.sequence_number for item in shown]

    def test_periods_keep_their_names_as_the_window_slides(self) -> None:
        ledger = ChangeLedger()
        ledger.add(change("a", at=10))
        track = playlist_cursor.new_track(LESSON, WALL)
        names: dict[str, str] = {}
        for _ in range(30):
            track.extend(view(ledger), 1)
            shown, joints = track.window()
            listing = hls.MediaListing(shown, joints, track.is_ended, False, WALL, MEDIA)
            for period in MPEGDASHParser.parse(
                dash.media_presentation(listing, TARGET, {0: 1, 1: 1}, 4)
            ).periods:
                assert names.setdefault(period.id, period.start) == period.start
            track.on_segment_requested(track.cursor.next_sequence_number - 1)
        assert list(names) == ["p0", "p5", "p8"]

    def test_clips_are_told_and_interstitials_have_their_own_form(self) -> None:
        ledger = ChangeLedger()
        ledger.add(change("a", at=4))
        track = playlist_cursor.new_track(LESSON, WALL)
        track.extend(view(ledger), 1)
        shown, joints = track.window()
        parsed = m3u8.loads(
            hls.media_playlist(hls.MediaListing(shown, joints, False, False, WALL, MEDIA), TARGET)
        )
        marked = [item for segment in parsed.segments for item in segment.dateranges]
        assert [(item.id, item.class_) for item in marked] == [("a", hls.SPLICE_CLASS)]
        self.assertAlmostEqual(float(marked[0].duration), 3 * 120_007 / 90_000, places=5)
        variants = m3u8.loads(hls.multivariant_playlist(2_000_000, 1_600_000, "avc1.64001f,mp4a.40.2"))
        assert variants.playlists[0].stream_info.bandwidth == 2000000


if __name__ == "__main__":
    unittest.main()
