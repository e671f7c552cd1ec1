"""Content insertion on real sockets: author keys, fallbacks, migrations, restarts, the `stitch` command."""

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

from tests.front_case import FrontTestCase, wait_for

JSON = ("Content-Type", "application/json")


def hash_key(key: str) -> str:
    return blake3.blake3(key.encode()).hexdigest()


class ContentInsertionTest(FrontTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ledger_path = Path(folder.name) / "ledger"
        self.start_system(start=False)
        lesson = MediaSettings(timescale=30_000, segment_ticks=12_012, segments=20)
        clip = MediaSettings(timescale=7, segment_ticks=3, segments=3)
        self.settings = self.make_settings(
            titles=[
                Title(name="t1", cells=3, media=lesson),
                Title(name="rest", first_cell=1, cells=2, media=clip),
                Title(name="slate", cells=3, media=MediaSettings(segment_ticks=400, segments=1)),
            ],
            stitch=StitchSettings(
                authors=[
                    Author(name="amal", key_hash=hash_key("k1")),
                    Author(name="reader", key_hash=hash_key("k2"), may_change=False),
                ],
                ledger=str(self.ledger_path),
                slate="slate",
            ),
        )
        self.front = self.start_front()

    def send_request(self, method: str, path: str, key: str | None = "k1", **body: Any) -> Response:
        fields = [JSON] if key is None else [JSON, ("Authorization", f"Bearer {key}")]
        return self.new_client().ask(method, path, fields, json.dumps(body).encode() if body else b"", 5.0)

    def insert(self, id: str = "c1", at: str = "0.8", **more: Any) -> Response:
        return self.send_request(
            "POST", "/v1/changes", id=id, kind="insert", title="t1", clip="rest", at=at, **more
        )

    def manifest(self, id: str) -> Any:
        response = self.get(f"/v1/subscriptions/{id}/media.m3u8")
        assert response.status == 200, response.text
        return m3u8.loads(response.text)

    def segment_location(self, id: str, seq: int) -> str:
        """The address and media that a segment is redirected to."""
        response = self.get(f"/v1/subscriptions/{id}/seg/{seq}.m4s")
        assert response.status == 307, response.text
        return (response.head.get(b"location") or b"").decode().removeprefix("http://")

    def server_at(self, address: str) -> EmulatedServer:
        return next(server for server in self.servers if address.startswith(server.address))

    def test_requests_without_a_valid_key_change_nothing(self) -> None:
        for key, status in ((None, 401), ("no", 401), ("", 401), ("k2", 403)):
            response = self.send_request(
                "POST", "/v1/changes", key, id="x", kind="insert", title="t1", clip="rest", at="1"
            )
            assert response.status == status
            assert self.send_request("DELETE", "/v1/changes/x", key).status == status
        assert self.send_request("GET", "/v1/changes", None).status == 401
        assert self.send_request("GET", "/v1/changes", "k2").status == 200
        assert (self.front.core.content.ledger.version, self.ledger_path.exists()) == (0, False)

    def test_rejections_have_a_reason_and_a_detail(self) -> None:
        assert self.insert().status == 201
        assert (self.insert().status, self.insert().body["state"]) == (200, "stands")
        for response, status, reason in (
            (self.insert("c2"), 409, "overlaps"),
            (self.insert(at="3"), 409, "id-taken"),
            (self.insert("c3", at="99"), 422, "past-end"),
            (self.insert("c4", at="3", subscription="1-0"), 422, "unknown-subscription"),
        ):
            assert (response.status, response.body["reason"]) == (status, reason)
            assert response.body["detail"]
        assert self.insert("c5", at="x").status == 400
        assert self.send_request("DELETE", "/v1/changes/none").status == 404

    def test_a_clip_is_served_from_the_next_replica_when_one_fails_or_drains(self) -> None:
        self.insert(at="0")
        id = self.request_session().body["id"]
        self.manifest(id)
        first_server = self.server_at(self.segment_location(id, 0))
        second_server = self.server_at(self.segment_location(id, 0))
        assert (
            first_server is not second_server
        ), "a repeated request must not be redirected to the server that failed"
        replicas = [server for server in self.servers if self.servers.index(server) in (1, 2)]
        home_server = self.front.core.sessions[id].server
        for server in replicas:
            number = self.servers.index(server)
            self.list_service.publish(ListedServer(server.address, "zone", "k", number, 1.0, "leaving"))
        version = self.list_service.version
        wait_for(lambda: self.front.core.endpoint_tracker.version == version, "the drains to be received")
        self.get(f"/v1/subscriptions/{id}/media.m3u8")
        location = self.segment_location(id, 1)
        assert "/media/slate/" in location or location.startswith(home_server), location

    def test_a_change_before_or_after_a_migration_applies_once(self) -> None:
        for number, (change_first, at) in enumerate(((True, "3"), (False, "5"))):
            id = self.request_session().body["id"]
            self.manifest(id)
            old_server = self.server_at(self.front.core.sessions[id].server)
            steps = [
                lambda n=number, at=at: self.insert(f"m{n}", at=at),
                lambda old_server=old_server: self.drain_server(old_server),
            ]
            for step in steps if change_first else reversed(steps):
                step()
            self.wait_for_records("released", subscription=id, box=old_server.address)
            media_names = []
            for seq in range(20):
                listed = self.manifest(id)
                assert f"seg/{seq}.m4s" in [segment.uri for segment in listed.segments]
                location = self.segment_location(id, seq)
                assert not location.startswith(old_server.address), "redirected to a drained server"
                media_names.append(location.split("/")[2])
            assert media_names.count("rest") == 3 * (number + 1)
            self.list_service.publish(
                ListedServer(old_server.address, "zone", "k", self.servers.index(old_server), 1.0)
            )

    def drain_server(self, server: EmulatedServer) -> None:
        self.list_service.publish(
            ListedServer(server.address, "zone", "k", self.servers.index(server), 1.0, "leaving")
        )

    def test_a_front_that_restarts_within_a_clip_continues_the_timeline(self) -> None:
        self.insert(at="0.8")
        id = self.request_session().body["id"]
        self.manifest(id)
        self.segment_location(id, 0)
        manifest_before = self.manifest(id)
        assert self.front.core.content.players[id].track.cursor.clip_progress is not None
        wait_for(
            lambda: any(self.has_newest_token(server, id) for server in self.servers),
            "the newest resume token at the server",
        )
        wait_for(lambda: self.front.core.commands.queue.count == 0, "the last command to be sent")
        self.front.stop()
        self.front = self.start_front()
        manifest_after = self.manifest(id)
        assert manifest_after.media_sequence == manifest_before.media_sequence
        listed_after = [
            (segment.uri, segment.duration, segment.discontinuity) for segment in manifest_after.segments
        ]
        for i, segment in enumerate(manifest_before.segments):
            assert listed_after[i] == (segment.uri, segment.duration, segment.discontinuity)
        media_names = [self.segment_location(id, 3).split("/")[2]]
        for seq in range(4, 8):
            self.manifest(id)
            media_names.append(self.segment_location(id, seq).split("/")[2])
        assert media_names == ["rest", "rest", "t1", "t1", "t1"]
        assert self.send_request("GET", "/v1/changes/c1").body["state"] == "made"

    def test_a_started_interstitial_is_served_after_withdrawal_and_restart(self) -> None:
        self.insert(at="0.8")
        self.insert("c2", at="1.6")
        id = self.request_session().body["id"]
        path = f"/v1/subscriptions/{id}"
        assert self.get(f"{path}/asset/c1.m3u8").status == 404, "requested before a manifest listed it"
        first_manifest = m3u8.loads(self.get(f"{path}/media.m3u8?interstitials=1").text)
        assert not any(segment.discontinuity for segment in first_manifest.segments)
        listed_ids = [item.id for segment in first_manifest.segments for item in segment.dateranges or ()]
        assert listed_ids == ["c1"]
        clip = m3u8.loads(self.get(f"{path}/asset/c1.m3u8").text)
        assert len(clip.segments) == 3
        self.send_request("DELETE", "/v1/changes/c1")
        self.send_request("DELETE", "/v1/changes/c2")
        replicas = {self.servers[1].address, self.servers[2].address}
        media_names = []
        for segment in clip.segments:
            response = self.get(f"{path}/asset/{segment.uri}")
            assert response.status == 307, response.text
            address, _, rest = (response.head.get(b"location") or b"").decode()[7:].partition("/")
            assert address in replicas
            media_names.append(rest.split("/")[1])
        assert media_names == ["rest"] * 3
        assert self.get(f"{path}/init/rest/{self.interstitial_rung(id)}.mp4").status == 307
        for seq in (0, 1, 2):
            self.segment_location(id, seq)
            self.manifest(id)
        assert self.get(f"{path}/asset/c2.m3u8").status == 404, "withdrawn before it was requested"
        assert self.get(f"{path}/asset/c1/3.m4s").status == 404
        wait_for(
            lambda: any(self.has_newest_token(server, id) for server in self.servers),
            "the newest resume token at the server",
        )
        wait_for(lambda: self.front.core.commands.queue.count == 0, "the last command to be sent")
        self.front.stop()
        self.front = self.start_front()
        assert not any(segment.discontinuity for segment in self.manifest(id).segments)
        assert self.get(f"{path}/asset/c1/2.m4s").status == 307

    def interstitial_rung(self, id: str) -> int:
        return self.front.core.content.players[id].track.interstitial_rungs["c1"]

    def has_newest_token(self, server: EmulatedServer, id: str) -> bool:
        track = resume_tokens.decode(server.marks.get((id, 0), ""))
        return (
            track is not None
            and track.cursor.next_sequence_number
            == self.front.core.content.players[id].track.cursor.next_sequence_number
        )

    def test_changes_after_a_resume_token_do_not_affect_segments_that_may_have_been_listed(self) -> None:
        id = self.request_session().body["id"]
        self.manifest(id)
        track = self.front.core.content.players[id].track
        copy = resume_tokens.decode(resume_tokens.encode(track))
        assert copy is not None
        self.insert(at="1.2")  # right after the last segment listed for the player
        self.front.core.content.players[id].track = copy
        for seq in range(9):
            listed = self.manifest(id)
            location = self.segment_location(id, seq)
            assert "/t1/" in location
        assert not any(segment.discontinuity for segment in listed.segments)

    def test_unlisted_segments_and_ended_sessions_are_denied(self) -> None:
        id = self.request_session().body["id"]
        self.manifest(id)
        for path in ("seg/9.m4s", "init/rest/1.mp4", "init/../x"):
            assert self.get(f"/v1/subscriptions/{id}/{path}").status == 404
        self.get(f"/v1/subscriptions/{id}", method="DELETE")
        assert self.get(f"/v1/subscriptions/{id}/media.m3u8").status == 410
        assert self.front.core.content.players == {}

    def test_the_stitch_command(self) -> None:
        def run(*words: str, key: str = "k1") -> Any:
            front = ["stitch", "--front", self.front.http_server.address]
            return CliRunner(env={"FENNELCOVE_KEY": key, "COLUMNS": "200"}).invoke(main, [*front, *words])

        submitted = run("insert", "--title", "t1", "--clip", "rest", "--at", "0:02", "--id", "pause")
        assert (submitted.exit_code, submitted.output) == (0, "pause: made, version 1\n")
        assert "pause" in run("list").output
        assert "players_ahead" in run("show", "pause").output + "players_ahead"
        overlapping = run("cut", "--title", "t1", "--at", "1", "--until", "4")
        assert overlapping.exit_code == 1
        assert "overlaps" in overlapping.output
        assert run("remove", "pause").output == "pause: withdrawn, version 2\n"
        assert run("list", key="wrong").exit_code == 1
        assert run("list", key="").exit_code == 2
        self.front.stop()
        assert run("list").exit_code == 3
        with self.assertRaises(Unanswered):
            self.request_session()


class LedgerFileTest(unittest.TestCase):
    def test_truncated_and_corrupt_lines_are_skipped_and_logged(self) -> None:
        from tests.test_playback import change

        skipped_lines: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "ledger"
            file = LedgerFile(str(path), lambda event, **fields: skipped_lines.append(str(fields["line"])))
            for version in (1, 2, 3):
                file.append(change(f"c{version}", at=f"{version}/3"), True, version)
            lines = path.read_bytes().split(b"\n")
            lines[1] = lines[1].replace(b"c2", b"cX")
            path.write_bytes(b"\n".join(lines) + b"0123 {cut sho")
            file.append(change("c1"), False, 4)
            found = file.load()
        assert [(found_change.id, is_submission) for found_change, is_submission in found] == [
            ("c1", True),
            ("c3", True),
            ("c1", False),
        ]
        assert skipped_lines == ["2", "4"]
        assert found[0][0].start_s == change("c1", at="1/3").start_s

    def test_malformed_resume_tokens_are_not_decoded(self) -> None:
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
