"""Player timelines and their manifests, under random changes, withdrawals, rung switches, fetches and polls.

The manifests are read by third-party parsers.
"""

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


def validation_context(**changes: Any) -> ValidationContext:
    return replace(ValidationContext(MEDIA, 0, WALL), **changes)


def selection_context(
    ledger: ChangeLedger, title: str = "lesson", rung: int = 1, **changes: Any
) -> SelectionContext:
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


def play_to_end(
    ledger: ChangeLedger, track: PlaylistTrack | None = None, **changes: Any
) -> list[ListedSegment]:
    """All segments listed for a player that fetches each segment as soon as it is listed."""
    track = track or playlist_cursor.new_track(LESSON, WALL)
    found: list[ListedSegment] = []
    for _ in range(400):
        track.extend(selection_context(ledger, **changes), ledger.version)
        found += [item for item in track.segments if item.sequence_number == len(found)][:1]
        if track.is_ended and len(found) == track.cursor.next_sequence_number:
            return found
        track.on_segment_requested(len(found) - 1)
    raise AssertionError("the track did not end within 400 segments")


class ChangeLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ChangeLedger()

    def rejection_reason(self, submitted: Change, **changes: Any) -> RejectionReason | None:
        result = self.ledger.submit(submitted, validation_context(**changes))
        if result.status is ChangeStatus.REJECTED:
            assert result.remedy
            if result.reason is not RejectionReason.ID_TAKEN:
                assert submitted.id not in [item.id for item in self.ledger.active_changes("lesson")]
        return result.reason

    def test_each_rejection_has_its_reason_and_leaves_the_ledger_unchanged(self) -> None:
        live = ChangeTarget("live")
        for submitted, expected_reason in (
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
            assert self.rejection_reason(submitted) is expected_reason, submitted
        assert self.ledger.version == 0
        assert self.rejection_reason(change("a"), next_title_segment=6) is RejectionReason.ALREADY_LISTED
        assert self.rejection_reason(change("a"), is_session_known=False) is RejectionReason.UNKNOWN_SESSION

    def test_a_live_change_must_start_a_complete_segment_after_the_live_edge(self) -> None:
        # Fifty segments are available at 100 s; the one that is being written must not be changed either.
        target = ChangeTarget("live")
        assert self.rejection_reason(change("a", at=102 - Fraction(1, 10**9), target=target)) is None
        assert self.rejection_reason(change("b", at=100, target=target)) is RejectionReason.BEFORE_LIVE_EDGE

    def test_a_repeated_submission_has_no_effect_and_an_id_is_never_reused(self) -> None:
        assert self.rejection_reason(change("a")) is None
        resubmitted = self.ledger.submit(change("a"), validation_context())
        assert (resubmitted.status, resubmitted.version, self.ledger.version) == (
            ChangeStatus.UNCHANGED,
            1,
            1,
        )
        assert self.rejection_reason(change("a", at=30)) is RejectionReason.ID_TAKEN
        self.ledger.withdraw("a")
        assert self.rejection_reason(change("a")) is RejectionReason.ID_TAKEN
        assert self.ledger.withdraw("a").status is ChangeStatus.WITHDRAWN
        assert self.ledger.version == 2
        assert self.ledger.withdraw("zz").status is ChangeStatus.UNKNOWN

    def test_overlapping_changes_are_rejected(self) -> None:
        assert self.rejection_reason(change("a", at=20, until=30, kind=ChangeKind.REPLACE)) is None
        for other, expected_reason in (
            (change("b", at=20), RejectionReason.OVERLAPS),
            (change("b", at=25), RejectionReason.OVERLAPS),
            (change("b", at=28, until=40, kind=ChangeKind.CUT), RejectionReason.OVERLAPS),
            (change("b", at=25, target=ChangeTarget("lesson", "room")), RejectionReason.OVERLAPS),
            (change("b", at=25, target=ChangeTarget("lesson", None, "s9")), RejectionReason.OVERLAPS),
        ):
            assert self.rejection_reason(other) is expected_reason, other
        assert self.rejection_reason(change("c", at="30.03")) is None
        assert self.rejection_reason(change("d", at=50, target=ChangeTarget("lesson", "one"))) is None
        assert self.rejection_reason(change("e", at=50, target=ChangeTarget("lesson", "two"))) is None

    def test_the_number_of_changes_is_bounded(self) -> None:
        for i in range(splices.MAX_CHANGES_PER_TITLE):
            self.ledger.add(change(f"x{i}", at=None, wall_us=WALL + i))
        assert self.rejection_reason(change("a")) is RejectionReason.TOO_MANY

    def test_media_times_are_parsed(self) -> None:
        for text, value in (
            ("12.5", Fraction(25, 2)),
            ("37/3", Fraction(37, 3)),
            ("1:02:03.25", Fraction(14893, 4)),
        ):
            assert splices.parse_media_time(text) == value
        for text in ("", "x", "1:2:3:4", "1e9", ":", "9" * 50):
            with self.assertRaises(ValueError):
                splices.parse_media_time(text)


class PlaylistTrackTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ChangeLedger()

    def test_insert_replace_and_cut(self) -> None:
        self.ledger.add(change("a", at=4, clip="note"))
        self.ledger.add(change("b", at=20, until=30, kind=ChangeKind.REPLACE))
        self.ledger.add(change("c", at=40, until=60, kind=ChangeKind.CUT, clip=None))
        listed = play_to_end(self.ledger)
        lesson = [item.segment_number for item in listed if not item.change_id]
        assert lesson == [*range(10), *range(15, 20), *range(30, 40)]
        assert [item.change_id for item in listed[:4]] == ["", "", "a", ""]
        assert [item.media for item in listed if item.is_discontinuity] == [
            "note",
            "lesson",
            "rest",
            "lesson",
            "lesson",
        ]

    def test_a_clip_withdrawn_while_playing_is_played_to_its_end_but_not_started(self) -> None:
        self.ledger.add(change("a", at=4))
        ahead, behind = playlist_cursor.new_track(LESSON, WALL), playlist_cursor.new_track(LESSON, WALL)
        ahead.extend(selection_context(self.ledger), 1)
        assert [item.change_id for item in ahead.segments] == ["", "", "a"]
        self.ledger.withdraw("a")
        assert [item.change_id for item in play_to_end(self.ledger, ahead)][:6] == ["", "", "a", "a", "a", ""]
        assert all(not item.change_id for item in play_to_end(self.ledger, behind))

    def test_a_clip_without_the_rung_is_listed_at_the_next_lower_rung(self) -> None:
        self.ledger.add(change("a", at=4))
        assert {item.rung for item in play_to_end(self.ledger, rung=1) if item.change_id} == {0}
        assert {item.rung for item in play_to_end(self.ledger, rung=2) if item.change_id} == {2}
        assert playlist_cursor.fitting_rung(HIGH, 1, 1) == 1

    def test_a_clip_that_no_server_can_serve_is_not_spliced_in(self) -> None:
        self.ledger.add(change("a", at=4))
        listed = play_to_end(self.ledger, is_clip_available=lambda name: False)
        assert [item.segment_number for item in listed] == list(range(40))
        assert not any(item.is_discontinuity for item in listed)

    def test_a_change_at_a_wall_time_applies_once_at_each_players_position(self) -> None:
        self.ledger.add(change("a", at=None, clip="note", wall_us=WALL + 10_000_000))
        listed = play_to_end(self.ledger)
        assert [item.sequence_number for item in listed if item.change_id] == [5]
        late = playlist_cursor.new_track(LESSON, WALL + 11_000_000)
        assert not any(
            item.change_id for item in play_to_end(self.ledger, late, began_wall_us=late.began_wall_us)
        )

    def test_a_live_player_begins_near_the_live_edge_and_waits_there(self) -> None:
        track = playlist_cursor.new_track(LIVE, WALL)
        track.extend(selection_context(self.ledger, "live"), 0)
        assert [item.segment_number for item in track.segments] == [47, 48, 49]
        for seq in range(3):
            track.on_segment_requested(seq)
        assert track.extend(selection_context(self.ledger, "live"), 0) == 0
        assert not track.is_ended
        assert track.extend(selection_context(self.ledger, "live", wall_us=WALL + 2000000), 0) == 1

    def test_of_two_changes_at_one_segment_the_narrowest_target_applies_first(self) -> None:
        self.ledger.add(change("wide", at=4))
        self.ledger.add(change("own", at=4, clip="note", target=ChangeTarget("lesson", None, "s1")))
        assert [item.change_id for item in play_to_end(self.ledger)][2:6] == ["own", "wide", "wide", "wide"]


step_lists = st.lists(
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
    @given(step_lists)
    @settings(max_examples=120, deadline=None)
    def test_each_manifest_is_consistent_with_the_one_before(
        self, script: list[tuple[str, Any, Any]]
    ) -> None:
        ledger, track, rung = ChangeLedger(), playlist_cursor.new_track(LESSON, WALL), 1
        listed_before: dict[int, tuple[str, str]] = {}
        sequence_numbers_before = (0, 0)
        for i, (step, argument, clip_or_length) in enumerate([*script, *[("fetch", 3, 0)] * 60]):
            rung = self.apply_step(ledger, track, i, step, argument, clip_or_length, rung)
            track.extend(selection_context(ledger, rung=rung), ledger.version)
            sequence_numbers_before = self.check_manifests(track, listed_before, sequence_numbers_before)
        assert track.is_ended
        for seq in range(max(0, track.last_fetched - 20), track.last_fetched + 1):
            assert track.on_segment_requested(seq) is not None, "a fetched segment is denied later"

    def apply_step(
        self,
        ledger: ChangeLedger,
        track: PlaylistTrack,
        number: int,
        step: str,
        argument: Any,
        clip_or_length: Any,
        rung: int,
    ) -> int:
        """Apply one step of a script; returns the rung from then on."""
        if step == "insert":
            ledger.submit(change(f"c{number}", at=argument, clip=clip_or_length), validation_context())
        elif step in ("replace", "cut"):
            ledger.submit(
                change(f"c{number}", argument, kind=ChangeKind(step), until=argument + clip_or_length),
                validation_context(),
            )
        elif step == "withdraw":
            ledger.withdraw(f"c{argument}")
        elif step == "fetch":
            for seq in range(
                track.last_fetched + 1,
                min(track.cursor.next_sequence_number, track.last_fetched + 1 + argument),
            ):
                assert track.on_segment_requested(seq) is not None
        return argument if step == "rung" else rung

    def check_manifests(
        self,
        track: PlaylistTrack,
        listed_before: dict[int, tuple[str, str]],
        sequence_numbers_before: tuple[int, int],
    ) -> tuple[int, int]:
        listed, discontinuity_sequence = track.window()
        listing = hls.MediaListing(listed, discontinuity_sequence, track.is_ended, False, WALL, MEDIA)
        text = hls.media_playlist(listing, TARGET)
        parsed = m3u8.loads(text)
        assert parsed.target_duration == TARGET
        assert parsed.is_endlist == track.is_ended
        first, discontinuity = parsed.media_sequence, parsed.discontinuity_sequence or 0
        assert first >= sequence_numbers_before[0]
        assert discontinuity >= sequence_numbers_before[1]
        for i, segment in enumerate(parsed.segments):
            assert segment.duration <= TARGET
            uri_and_init = (segment.uri, str(segment.init_section.uri))
            assert (
                listed_before.setdefault(first + i, uri_and_init) == uri_and_init
            ), "a listed segment changed"
        for segment_before, segment_after in pairwise(listed):
            assert segment_before.end_s == segment_after.start_s
        self.check_durations(text, listed)
        self.check_periods(dash.media_presentation(listing, TARGET, {0: 800, 1: 1600, 2: 3200}, 4), listed)
        return first, discontinuity

    @given(step_lists)
    @settings(max_examples=120, deadline=None)
    def test_interstitials_leave_the_title_complete_and_are_listed_once(
        self, script: list[tuple[str, Any, Any]]
    ) -> None:
        ledger, track, rung = (
            ChangeLedger(),
            playlist_cursor.new_track(LESSON, WALL, uses_interstitials=True),
            1,
        )
        numbers: dict[int, int] = {}
        first_positions: dict[str, tuple[str, ...]] = {}
        first_rungs: dict[str, int] = {}
        for i, (step, argument, clip_or_length) in enumerate([*script, *[("fetch", 3, 0)] * 60]):
            rung = self.apply_step(ledger, track, i, step, argument, clip_or_length, rung)
            track.extend(selection_context(ledger, rung=rung, uses_interstitials=True), ledger.version)
            track = resume_tokens.decode(resume_tokens.encode(track)) or self.fail(
                "a resume token that can't be decoded"
            )
            track.replay = None
            for item in track.segments:
                numbers[item.sequence_number] = item.segment_number
                assert (item.media, item.change_id) == ("lesson", "")
                for id in item.interstitial_ids:
                    at = first_positions.setdefault(id, (str(item.start_s), str(item.segment_number)))
                    assert at == (
                        str(item.start_s),
                        str(item.segment_number),
                    ), "an interstitial is listed at two positions"
                    clip = MEDIA[ledger.entries[id].change.clip or ""]
                    is_withdrawn = ledger.entries[id].withdrawn_version is not None
                    rung_served = track.interstitial_rung(id, clip, rung, 0, is_withdrawn)
                    assert (rung_served is None) == (
                        is_withdrawn and id not in first_rungs
                    ), "a clip that was started is denied later"
                    if rung_served is not None:
                        assert first_rungs.setdefault(id, rung_served) == rung_served
        assert track.is_ended
        listed = [numbers[seq] for seq in sorted(numbers)]
        left_out = {
            number
            for entry in ledger.entries.values()
            if entry.change.kind is not ChangeKind.INSERT
            for number in range(
                entry.change.first_segment(LESSON) or 0, entry.change.resume_segment(LESSON) or 0
            )
        }
        assert listed == sorted(set(listed))
        assert set(range(40)) - set(listed) <= left_out
        assert track.interstitial_rung("never-listed", REST, 1, 0, False) is None

    def test_an_interstitial_is_read_by_a_third_party_parser(self) -> None:
        ledger = ChangeLedger()
        ledger.add(change("a", at=4))
        ledger.add(change("b", at=4 * 2.002, kind=ChangeKind.REPLACE, until=8 * 2.002, clip="note"))
        track = playlist_cursor.new_track(LESSON, WALL, uses_interstitials=True)
        track.extend(selection_context(ledger, uses_interstitials=True), 1)
        track.on_segment_requested(2)
        track.extend(selection_context(ledger, uses_interstitials=True), 1)
        listed, discontinuity_sequence = track.window()
        interstitials = {"a": hls.Interstitial("a", REST), "b": hls.Interstitial("b", NOTE)}
        listing = hls.MediaListing(listed, discontinuity_sequence, False, False, WALL, MEDIA, interstitials)
        parsed = m3u8.loads(hls.media_playlist(listing, TARGET))
        found = {
            date_range.id: (i, date_range)
            for i, item in enumerate(parsed.segments)
            for date_range in item.dateranges or ()
        }
        assert {id: at for id, (at, _) in found.items()} == {"a": 2, "b": 4}
        date_range = found["a"][1]
        assert date_range.class_ == "com.apple.hls.interstitial"
        assert dict(date_range.x_client_attrs)["x_asset_uri"] == '"asset/a.m3u8"'
        self.assertAlmostEqual(float(date_range.duration), 3 * 120_007 / 90_000, places=5)
        assert parsed.segments[4].discontinuity, "the replaced range is not listed"
        asset = m3u8.loads(hls.interstitial_playlist("a", REST, 2))
        assert [item.uri for item in asset.segments] == ["a/0.m4s", "a/1.m4s", "a/2.m4s"]
        assert asset.is_endlist
        assert max(item.duration for item in asset.segments) <= asset.target_duration

    def check_durations(self, text: str, listed: list[ListedSegment]) -> None:
        """Check that the decimal durations add up to the difference of the rounded times."""
        total = sum(Fraction(line[8:-1]) for line in text.splitlines() if line.startswith("#EXTINF:"))
        if listed:
            assert total * 1000000 == to_microseconds(listed[-1].end_s) - to_microseconds(listed[0].start_s)

    def check_periods(self, text: str, listed: list[ListedSegment]) -> None:
        mpd = MPEGDASHParser.parse(text)
        numbers: list[int] = []
        period_end: str | None = None
        for period in mpd.periods:
            template = period.adaptation_sets[0].segment_templates[0]
            timeline = template.segment_timelines[0].Ss[0]
            numbers += range(template.start_number, template.start_number + timeline.r + 1)
            if period_end is not None:
                assert period_end == period.start, "a period does not begin where the one before it ends"
            if period.duration:
                start, duration = Fraction(period.start[2:-1]), Fraction(period.duration[2:-1])
                period_end = f"PT{float(start + duration):.6f}S"
        assert numbers == [item.sequence_number for item in listed]

    def test_periods_keep_their_ids_as_the_window_moves(self) -> None:
        ledger = ChangeLedger()
        ledger.add(change("a", at=10))
        track = playlist_cursor.new_track(LESSON, WALL)
        period_starts: dict[str, str] = {}
        for _ in range(30):
            track.extend(selection_context(ledger), 1)
            listed, discontinuity_sequence = track.window()
            listing = hls.MediaListing(listed, discontinuity_sequence, track.is_ended, False, WALL, MEDIA)
            for period in MPEGDASHParser.parse(
                dash.media_presentation(listing, TARGET, {0: 1, 1: 1}, 4)
            ).periods:
                assert period_starts.setdefault(period.id, period.start) == period.start
            track.on_segment_requested(track.cursor.next_sequence_number - 1)
        assert list(period_starts) == ["p0", "p5", "p8"]

    def test_spliced_clips_have_date_ranges_of_their_own_class(self) -> None:
        ledger = ChangeLedger()
        ledger.add(change("a", at=4))
        track = playlist_cursor.new_track(LESSON, WALL)
        track.extend(selection_context(ledger), 1)
        listed, discontinuity_sequence = track.window()
        parsed = m3u8.loads(
            hls.media_playlist(
                hls.MediaListing(listed, discontinuity_sequence, False, False, WALL, MEDIA), TARGET
            )
        )
        date_ranges = [item for segment in parsed.segments for item in segment.dateranges]
        assert [(item.id, item.class_) for item in date_ranges] == [("a", hls.SPLICE_CLASS)]
        self.assertAlmostEqual(float(date_ranges[0].duration), 3 * 120_007 / 90_000, places=5)
        variants = m3u8.loads(hls.multivariant_playlist(2_000_000, 1_600_000, "avc1.64001f,mp4a.40.2"))
        assert variants.playlists[0].stream_info.bandwidth == 2000000


if __name__ == "__main__":
    unittest.main()
