"""Stitched lessons on real sockets: keys, moves, fallbacks, a restart in mid-seam, the author's command."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import blake3
import m3u8
from click.testing import CliRunner
from fennelcove.cli.main import main
from fennelcove.daemon.ledger_file import LedgerFile
from fennelcove.decisions.playback import resume_tokens
from fennelcove.emulators.clients import Response, Unanswered
from fennelcove.emulators.endpoint_list_service import ListedServer
from fennelcove.emulators.media_server import EmulatedServer
from fennelcove.settings.schema import Author, MediaSettings, StitchSettings, Title

from tests.rig import FrontTestCase, wait_for

JSON = ("Content-Type", "application/json")


def hashed(key: str) -> str:
    return blake3.blake3(key.encode()).hexdigest()


class LessonsTest(FrontTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ledger = Path(folder.name) / "ledger"
        self.start_system(start=False)
        lesson = MediaSettings(timescale=30_000, segment_ticks=12_012, segments=20)
        clip = MediaSettings(timescale=7, segment_ticks=3, segments=3)
        self.settings = self.changed(
            titles=[
                Title(name="t1", cells=3, media=lesson),
                Title(name="rest", first_cell=1, cells=2, media=clip),
                Title(name="slate", cells=3, media=MediaSettings(segment_ticks=400, segments=1)),
            ],
            stitch=StitchSettings(
                authors=[
                    Author(name="amal", key_hash=hashed("k1")),
                    Author(name="reader", key_hash=hashed("k2"), may_change=False),
                ],
                ledger=str(self.ledger),
                slate="slate",
            ),
        )
        self.front = self.start_front()

    def call(self, method: str, path: str, key: str | None = "k1", **body: Any) -> Response:
        fields = [JSON] if key is None else [JSON, ("Authorization", f"Bearer {key}")]
        return self.player().ask(method, path, fields, json.dumps(body).encode() if body else b"", 5.0)

    def insert(self, id: str = "c1", at: str = "0.8", **more: Any) -> Response:
        return self.call("POST", "/v1/changes", id=id, kind="insert", title="t1", clip="rest", at=at, **more)

    def manifest(self, id: str) -> Any:
        heard = self.get(f"/v1/subscriptions/{id}/media.m3u8")
        assert heard.status == 200, heard.text
        return m3u8.loads(heard.text)

    def where(self, id: str, seq: int) -> str:
        """The address and media that a segment is redirected to."""
        heard = self.get(f"/v1/subscriptions/{id}/seg/{seq}.m4s")
        assert heard.status == 307, heard.text
        return (heard.head.get(b"location") or b"").decode().removeprefix("http://")

    def box(self, address: str) -> EmulatedServer:
        return next(box for box in self.boxes if address.startswith(box.address))

    def test_a_wrong_or_missing_key_changes_nothing(self) -> None:
        for key, status in ((None, 401), ("no", 401), ("", 401), ("k2", 403)):
            heard = self.call(
                "POST", "/v1/changes", key, id="x", kind="insert", title="t1", clip="rest", at="1"
            )
            assert heard.status == status
            assert self.call("DELETE", "/v1/changes/x", key).status == status
        assert self.call("GET", "/v1/changes", None).status == 401
        assert self.call("GET", "/v1/changes", "k2").status == 200
        assert (self.front.core.content.ledger.version, self.ledger.exists()) == (0, False)

    def test_refusals_carry_reason_and_cure(self) -> None:
        assert self.insert().status == 201
        assert (self.insert().status, self.insert().body["state"]) == (200, "stands")
        for heard, status, reason in (
            (self.insert("c2"), 409, "overlaps"),
            (self.insert(at="3"), 409, "id-taken"),
            (self.insert("c3", at="99"), 422, "past-end"),
            (self.insert("c4", at="3", subscription="1-0"), 422, "unknown-subscription"),
        ):
            assert (heard.status, heard.body["reason"]) == (status, reason)
            assert heard.body["detail"]
        assert self.insert("c5", at="x").status == 400
        assert self.call("DELETE", "/v1/changes/none").status == 404

    def test_a_clips_holder_that_drains_dies_or_fails_gives_way_to_the_next(self) -> None:
        self.insert(at="0")
        id = self.ask().body["id"]
        self.manifest(id)
        first = self.box(self.where(id, 0))
        again = self.box(self.where(id, 0))
        assert first is not again, "asked again, it must not name the box that failed"
        holders = [box for box in self.boxes if self.boxes.index(box) in (1, 2)]
        home = self.front.core.sessions[id].server
        for box in holders:
            number = self.boxes.index(box)
            self.lists.publish(ListedServer(box.address, "zone", "k", number, 1.0, "leaving"))
        version = self.lists.version
        wait_for(lambda: self.front.core.endpoint_tracker.version == version, "the drains")
        self.get(f"/v1/subscriptions/{id}/media.m3u8")
        where = self.where(id, 1)
        assert "/media/slate/" in where or where.startswith(home), where

    def test_a_change_that_arrives_while_a_subscription_moves_in_either_order(self) -> None:
        for number, (change_first, at) in enumerate(((True, "3"), (False, "5"))):
            id = self.ask().body["id"]
            self.manifest(id)
            old = self.box(self.front.core.sessions[id].server)
            steps = [
                lambda n=number, at=at: self.insert(f"m{n}", at=at),
                lambda old=old: self.only_without(old),
            ]
            for step in steps if change_first else reversed(steps):
                step()
            self.wait_for_records("released", subscription=id, box=old.address)
            seen = []
            for seq in range(20):
                listed = self.manifest(id)
                assert f"seg/{seq}.m4s" in [segment.uri for segment in listed.segments]
                where = self.where(id, seq)
                assert not where.startswith(old.address), "a box that was drained"
                seen.append(where.split("/")[2])
            assert seen.count("rest") == 3 * (number + 1)
            self.lists.publish(ListedServer(old.address, "zone", "k", self.boxes.index(old), 1.0))

    def only_without(self, box: EmulatedServer) -> None:
        self.lists.publish(ListedServer(box.address, "zone", "k", self.boxes.index(box), 1.0, "leaving"))

    def test_a_front_that_restarts_in_mid_seam_goes_on_where_it_was(self) -> None:
        self.insert(at="0.8")
        id = self.ask().body["id"]
        self.manifest(id)
        self.where(id, 0)
        before = self.manifest(id)
        assert self.front.core.content.players[id].track.cursor.clip_progress is not None
        wait_for(lambda: any(self.mark_of(box, id) for box in self.boxes), "the mark at its box")
        wait_for(lambda: self.front.core.commands.queue.count == 0, "the last mark sent")
        self.front.stop()
        self.front = self.start_front()
        after = self.manifest(id)
        assert after.media_sequence == before.media_sequence
        kept = [(segment.uri, segment.duration, segment.discontinuity) for segment in after.segments]
        for i, segment in enumerate(before.segments):
            assert kept[i] == (segment.uri, segment.duration, segment.discontinuity)
        seen = [self.where(id, 3).split("/")[2]]
        for seq in range(4, 8):
            self.manifest(id)
            seen.append(self.where(id, seq).split("/")[2])
        assert seen == ["rest", "rest", "t1", "t1", "t1"]
        assert self.call("GET", "/v1/changes/c1").body["state"] == "made"

    def test_a_player_may_have_clips_apart_and_keeps_them_through_withdrawal_and_restart(self) -> None:
        self.insert(at="0.8")
        self.insert("c2", at="1.6")
        id = self.ask().body["id"]
        path = f"/v1/subscriptions/{id}"
        assert self.get(f"{path}/asset/c1.m3u8").status == 404, "asked before any manifest told it"
        first = m3u8.loads(self.get(f"{path}/media.m3u8?interstitials=1").text)
        assert not any(segment.discontinuity for segment in first.segments)
        told = [item.id for segment in first.segments for item in segment.dateranges or ()]
        assert told == ["c1"]
        clip = m3u8.loads(self.get(f"{path}/asset/c1.m3u8").text)
        assert len(clip.segments) == 3
        self.call("DELETE", "/v1/changes/c1")
        self.call("DELETE", "/v1/changes/c2")
        holders = {self.boxes[1].address, self.boxes[2].address}
        seen = []
        for segment in clip.segments:
            heard = self.get(f"{path}/asset/{segment.uri}")
            assert heard.status == 307, heard.text
            address, _, rest = (heard.head.get(b"location") or b"").decode()[7:].partition("/")
            assert address in holders
            seen.append(rest.split("/")[1])
        assert seen == ["rest"] * 3
        assert self.get(f"{path}/init/rest/{self.rung_of(id)}.mp4").status == 307
        for seq in (0, 1, 2):
            self.where(id, seq)
            self.manifest(id)
        assert self.get(f"{path}/asset/c2.m3u8").status == 404, "withdrawn before it was asked for"
        assert self.get(f"{path}/asset/c1/3.m4s").status == 404
        wait_for(lambda: any(self.mark_of(box, id) for box in self.boxes), "the mark at its box")
        wait_for(lambda: self.front.core.commands.queue.count == 0, "the last mark sent")
        self.front.stop()
        self.front = self.start_front()
        assert not any(segment.discontinuity for segment in self.manifest(id).segments)
        assert self.get(f"{path}/asset/c1/2.m4s").status == 307

    def rung_of(self, id: str) -> int:
        return self.front.core.content.players[id].track.interstitial_rungs["c1"]

    def mark_of(self, box: EmulatedServer, id: str) -> bool:
        track = resume_tokens.decode(box.marks.get((id, 0), ""))
        return (
            track is not None
            and track.cursor.next_sequence_number
            == self.front.core.content.players[id].track.cursor.next_sequence_number
        )

    def test_changes_made_after_a_mark_do_not_reach_back_into_what_may_have_been_shown(self) -> None:
        id = self.ask().body["id"]
        self.manifest(id)
        track = self.front.core.content.players[id].track
        copy = resume_tokens.decode(resume_tokens.encode(track))
        assert copy is not None
        self.insert(at="1.2")  # at the very edge of what the player was shown
        self.front.core.content.players[id].track = copy
        for seq in range(9):
            listed = self.manifest(id)
            where = self.where(id, seq)
            assert "/t1/" in where
        assert not any(segment.discontinuity for segment in listed.segments)

    def test_segments_never_shown_are_denied_and_a_dead_front_hides_nothing(self) -> None:
        id = self.ask().body["id"]
        self.manifest(id)
        for path in ("seg/9.m4s", "init/rest/1.mp4", "init/../x"):
            assert self.get(f"/v1/subscriptions/{id}/{path}").status == 404
        self.get(f"/v1/subscriptions/{id}", method="DELETE")
        assert self.get(f"/v1/subscriptions/{id}/media.m3u8").status == 410
        assert self.front.core.content.players == {}

    def test_the_authors_command_from_end_to_end(self) -> None:
        def run(*words: str, key: str = "k1") -> Any:
            front = ["stitch", "--front", self.front.door.address]
            return CliRunner(env={"FENNELCOVE_KEY": key, "COLUMNS": "200"}).invoke(main, [*front, *words])

        made = run("insert", "--title", "t1", "--clip", "rest", "--at", "0:02", "--id", "pause")
        assert (made.exit_code, made.output) == (0, "pause: made, version 1\n")
        assert "pause" in run("list").output
        assert "players_ahead" in run("show", "pause").output + "players_ahead"
        clash = run("cut", "--title", "t1", "--at", "1", "--until", "4")
        assert clash.exit_code == 1
        assert "overlaps" in clash.output
        assert run("remove", "pause").output == "pause: withdrawn, version 2\n"
        assert run("list", key="wrong").exit_code == 1
        assert run("list", key="").exit_code == 2
        self.front.stop()
        assert run("list").exit_code == 3
        with self.assertRaises(Unanswered):
            self.ask()


class LedgerFileTest(unittest.TestCase):
    def test_a_line_cut_short_or_changed_is_passed_over_and_told(self) -> None:
        from tests.test_playback import change

        told: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "ledger"
            file = LedgerFile(str(path), lambda event, **fields: told.append(str(fields["line"])))
            for version in (1, 2, 3):
                file.keep(change(f"c{version}", at=f"{version}/3"), True, version)
            lines = path.read_bytes().split(b"\n")
            lines[1] = lines[1].replace(b"c2", b"cX")
            path.write_bytes(b"\n".join(lines) + b"0123 {cut sho")
            file.keep(change("c1"), False, 4)
            found = file.load()
        assert [(made.id, done) for made, done in found] == [("c1", True), ("c3", True), ("c1", False)]
        assert told == ["2", "4"]
        assert found[0][0].start_s == change("c1", at="1/3").start_s

    def test_a_mark_that_is_none_of_ours_is_no_track(self) -> None:
        for text in (
            "",
            "x",
            "[]",
            "[1,2]",
            "{" * 9000,
            '[0,0,0,0,false,0,0,"1/0",null,"",0,[0,0,"0"],[],[]]',
        ):
            assert resume_tokens.decode(text) is None


if __name__ == "__main__":
    unittest.main()
