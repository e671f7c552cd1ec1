"""The second door on real sockets: asking, news, resumption, claims, passes, TLS, leave-taking, abuse."""

from __future__ import annotations

import json
import random
import tempfile
import threading
from pathlib import Path
from typing import Any

import msgspec
from fennelcove.core.requests import SessionRequest
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.daemon import key_file
from fennelcove.decisions.clients import access_tokens
from fennelcove.decisions.clients.access_tokens import AccessToken
from fennelcove.emulators.clients import Unanswered
from fennelcove.emulators.endpoint_list_service import Known
from fennelcove.emulators.sockets import SocketPlayer
from fennelcove.ingress.websocket_session import QueuedMessage
from fennelcove.settings.schema import (
    Author,
    MediaSettings,
    StitchSettings,
    Title,
    ViewerSettings,
    WebSocketSettings,
)
from fennelcove.websocket.frames import write
from fennelcove.websocket.terms import Opcode
from fennelcove.wire.socket import PATH, SUBPROTOCOL
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from tests.rig import FrontTestCase, wait_for
from tests.test_lessons import hashed


class SocketPath(FrontTestCase):
    def connect(self, **options: Any) -> SocketPlayer:
        chance = random.Random(1)
        player = SocketPlayer(self.front.door.address, self.clock, chance, **options)
        self.addCleanup(player.close)
        assert player.news("welcome")["front"] == "front-t"
        return player

    def plays(self, player: SocketPlayer, room: str = "free", **more: Any) -> dict[str, Any]:
        told = player.ask("set-up", ask={"room_type": room, "title": "t1", **more})
        assert told["type"] == "playing", told
        return told

    def owners(self) -> dict[str, Any]:
        return self.front.core.notifier.ownerships.by_session


class SocketDoorTest(SocketPath):
    def setUp(self) -> None:
        self.start_system()

    def test_a_subscription_from_set_up_to_release(self) -> None:
        player = self.connect()
        told = self.plays(player)
        id = told["state"]["id"]
        assert (told["number"], told["state"]["state"]) == (0, "playing")
        self.wait_for_records("set_up", subscription=id)
        again = player.ask("set-top", subscription=id, top_rung=1)
        assert (again["type"], again["state"]["top_rung"]) == ("state", 1)
        assert player.ask("release", subscription=id)["type"] == "released"
        self.wait_for_records("released", subscription=id)
        assert player.ask("release", subscription=id)["kind"] == "ended"
        assert [item for item in player.heard if item["type"] == "ended"] == []

    def test_refusals_and_what_is_amiss(self) -> None:
        player = self.connect()
        for fields, kind in (
            ({"room_type": "free", "title": "none"}, "unknown-title"),
            ({"room_type": "none", "title": "t1"}, "unknown-room-type"),
            ({"room_type": "free", "title": "t1", "x": 1}, "malformed"),
        ):
            told = player.ask("set-up", ask=fields)
            assert (told["type"], told["kind"]) == ("fault", kind)
        assert player.ask("nonsense")["kind"] == "malformed"
        player.conversation.send("{")
        player._send()
        assert player.news("fault").get("ref") is None
        for box in self.known:
            self.lists.publish(Known(box.address, "zone", "k", self.known.index(box), 1.0, "leaving"))
        wait_for(lambda: self.front.core.endpoint_tracker.version == self.lists.version, "the drains")
        told = player.ask("set-up", ask={"room_type": "free", "title": "t1"})
        assert told["type"] == "throttled"
        assert told["retry_after_ms"] >= 0

    def test_rungs_moves_changes_and_ends_are_pushed_with_numbers(self) -> None:
        player = self.connect()
        id = self.plays(player)["state"]["id"]
        session = self.front.core.sessions[id]
        with self.front.core.lock:
            self.front.core.effects.set_rung(id, 1 if session.rung != 1 else 0)
        first = player.news("rung")
        assert (first["subscription"], first["number"]) == (id, 1)
        old = session.server
        self.lists.publish(
            Known(old, "zone", "k", [known.address for known in self.known].index(old), 1.0, "leaving")
        )
        moved = player.news("moved")
        assert moved["number"] == 2
        assert moved["box"] != old
        self.front.core.release(id, "a test ends it")
        ended = player.news("ended")
        assert (ended["number"], ended["detail"]) == (3, "a test ends it")

    def test_one_that_comes_back_knows_what_it_missed_and_is_never_set_up_twice(self) -> None:
        first = self.connect()
        id = self.plays(first)["state"]["id"]
        first.hang_up()
        wait_for(lambda: self.owners()[id].owner is None, "the orphan")
        with self.front.core.lock:
            self.front.core.effects.set_rung(id, 1)
            self.front.core.effects.set_rung(id, 0)
        second = self.connect()
        told = second.ask("resume", subscription=id, seen=0)
        assert (told["type"], told["missed"], told["state"]["rung"]) == ("resumed", 2, 0)
        assert "missed" not in second.ask("resume", subscription=id, seen=99)
        assert len(self.seen("set_up", subscription=id)) == 1
        assert second.ask("resume", subscription="1-" + "0" * 24)["kind"] == "unknown-subscription"

    def test_of_two_that_claim_one_the_later_has_it(self) -> None:
        first, second = self.connect(), self.connect()
        id = self.plays(first)["state"]["id"]
        assert second.ask("resume", subscription=id)["type"] == "resumed"
        assert first.news("taken")["subscription"] == id
        assert first.ask("release", subscription=id)["kind"] == "unknown-subscription"
        assert second.ask("release", subscription=id)["type"] == "released"

    def test_one_set_up_over_http_is_claimed_by_its_id(self) -> None:
        id = self.ask().body["id"]
        player = self.connect()
        assert player.ask("resume", subscription=id)["type"] == "resumed"
        self.get(f"/v1/subscriptions/{id}", method="DELETE")
        assert player.news("ended")["subscription"] == id

    def test_a_viewer_that_hangs_up_while_its_join_is_out_is_released(self) -> None:
        self.leave_one_active(0)
        self.boxes[0].faults.slow_ms = 300.0
        player = self.connect()
        player.tell("set-up", ask={"room_type": "free", "title": "t1"})
        self.wait_for_records("set_up")
        player.hang_up()
        self.wait_for_records("released")
        wait_for(lambda: self.front.core.admission_controller.sessions == 0, "nothing held")
        assert self.front.core.admission_controller.pending_requests == 0

    def test_pings_and_releases_go_on_while_a_join_is_out(self) -> None:
        player = self.connect()
        id = self.plays(player)["state"]["id"]
        for box in self.boxes:
            box.faults.slow_ms = 400.0
        ref = player.tell("set-up", ask={"room_type": "free", "title": "t1"})
        assert player.ask("release", subscription=id)["type"] == "released"
        assert player.answer(ref, 5.0)["type"] == "playing"

    def test_a_connection_holds_no_more_than_it_may(self) -> None:
        self.front.core.notifier.max_sessions = 2
        player = self.connect()
        ids = [self.plays(player)["state"]["id"] for _ in range(2)]
        assert player.ask("set-up", ask={"room_type": "free", "title": "t1"})["kind"] == "not-permitted"
        other = self.ask().body["id"]
        assert player.ask("resume", subscription=other)["kind"] == "not-yours"
        player.ask("release", subscription=ids[0])
        assert player.ask("resume", subscription=other)["type"] == "resumed"

    def test_a_front_that_ends_tells_when_to_come_back_and_closes(self) -> None:
        players = [self.connect() for _ in range(5)]
        ids = [self.plays(player)["state"]["id"] for player in players]
        self.front.stop()
        for player in players:
            leaving = player.news("leaving")
            assert leaving["reconnect_after_ms"] < leaving["reconnect_before_ms"]
            assert player.wait_closed().code == 1012
        self.front = self.start_front()
        wait_for(lambda: all(id in self.front.core.sessions for id in ids), "what its boxes play")
        for id in ids:
            told = self.connect().ask("resume", subscription=id, seen=3)
            assert told["type"] == "resumed"
            assert len(self.seen("set_up", subscription=id)) == 1

    def test_a_join_out_when_the_front_ends_is_answered_before_the_close(self) -> None:
        for box in self.boxes:
            box.faults.slow_ms = 300.0
        player = self.connect()
        ref = player.tell("set-up", ask={"room_type": "free", "title": "t1"})
        self.wait_for_records("set_up")
        self.front.stop()
        assert player.answer(ref, 5.0)["type"] == "playing"
        assert player.wait_closed().code == 1012

    def test_a_connection_that_says_too_much_or_speaks_bytes_is_closed(self) -> None:
        for number, code in ((0, 1003), (1, 1008)):
            player = self.connect()
            if number == 0:
                player.conversation.send(b"bytes")
                player._send()
            else:
                with self.assertRaises(Unanswered):
                    for _ in range(400):
                        player.ask("resume", subscription="x")
            assert player.wait_closed().code == code

    def test_a_message_over_its_bound_and_a_frame_not_masked(self) -> None:
        for raw, code in (
            (write(Opcode.TEXT, b"x" * 20_000, b"abcd"), 1009),
            (write(Opcode.TEXT, b"{}", None), 1002),
            (write(Opcode.TEXT, b"\xff", b"abcd"), 1007),
        ):
            player = self.connect()
            player.sock.sendall(raw)
            assert player.wait_closed().code == code
        wait_for(lambda: not self.front.sockets.sessions, "no session left")
        wait_for(lambda: not self.front.core.notifier.mailboxes, "no mailbox left")

    def test_one_that_reads_nothing_is_cut_off_and_its_subscription_waits_for_it(self) -> None:
        player = self.connect()
        id = self.plays(player)["state"]["id"]
        (session,) = self.front.sockets.sessions
        with session.lock:  # as many as come while its thread waits for the socket
            for number in range(100):
                session.outbox.put(QueuedMessage(session.welcome(str(number))))
        session.wakeup.notify()
        assert player.wait_closed().code == 1013
        wait_for(lambda: not self.front.sockets.sessions, "the cut")
        assert self.connect().ask("resume", subscription=id)["type"] == "resumed"

    def test_a_half_open_connection_is_cut_after_the_silence_and_what_it_owned_ends(self) -> None:
        self.stop_fronts()
        self.settings = self.changed(limits={"silent_ms": 400})
        self.front = self.start_front()
        alive, dead = self.connect(), self.connect()
        ids = [self.plays(player)["state"]["id"] for player in (alive, dead)]
        answering = threading.Event()

        def answer() -> None:
            while not answering.is_set():
                alive.next(0.05)  # answers pings as they come

        thread = threading.Thread(target=answer)
        thread.start()
        self.wait_for_records("released", subscription=ids[1])
        answering.set()
        thread.join()
        assert ids[0] in self.front.core.sessions

    def test_the_foreign_client_passes_the_same_way(self) -> None:
        url = f"ws://{self.front.door.address}{PATH}"
        for compression in ("deflate", None):
            with connect(url, subprotocols=[SUBPROTOCOL], compression=compression) as theirs:  # type: ignore[list-item, arg-type]
                assert json.loads(theirs.recv())["type"] == "welcome"
                ask = {
                    "type": "set-up",
                    "ref": "a",
                    "ask": {"room_type": "free", "title": "t1", "cmcd": {"sid": "v" * 600}},
                }
                theirs.send(json.dumps(ask))
                told = json.loads(theirs.recv())
                assert (told["type"], told["ref"]) == ("playing", "a")
                theirs.ping().wait(5)
                theirs.send(["{", '"type":"release","ref":"b",', f'"subscription":"{told["state"]["id"]}"}}'])
                assert json.loads(theirs.recv())["type"] == "released"
        with connect(url, subprotocols=[SUBPROTOCOL]) as theirs:  # type: ignore[list-item]
            theirs.recv()
            theirs.send("x" * 100_000)
            with self.assertRaises(ConnectionClosed) as caught:
                theirs.recv()
            assert caught.exception.rcvd is not None
            assert caught.exception.rcvd.code == 1009

    def test_an_opening_that_is_amiss_gets_its_status(self) -> None:
        for fields, status in (({"Sec-WebSocket-Version": "8"}, 426), ({"Upgrade": "websocket"}, 426)):
            assert self.get(PATH, headers=[("Upgrade", "websocket"), *fields.items()][-2:]).status == status
        assert self.get(PATH).status == 404

    def test_both_doors_ask_the_one_core_alike(self) -> None:
        asked: list[SessionRequest] = []
        ask = self.front.core.request_session

        def listening(what: SessionRequest) -> Any:
            asked.append(what)
            return ask(what)

        self.front.core.request_session = listening  # type: ignore[method-assign]
        bodies: list[dict[str, Any]] = [
            {"room_type": "free", "title": "t1"},
            {"room_type": "keyed", "title": "t1", "top_rung": 1, "client_timeout_ms": 900.0, "retry": True},
            {"room_type": "few", "cmcd": {"sid": "v1", "cid": "t1", "tb": 900, "mtp": 1200, "bs": True}},
            {"room_type": "high", "title": "t1", "place": "bWFkZQ.dXA", "cmcd": {"sid": "v2"}},
        ]
        player = self.connect()
        for body in bodies:
            raw = msgspec.json.encode(body)
            fields = [("Content-Type", "application/json")]
            self.player().ask("POST", "/v1/subscriptions", fields, raw, 5.0)
            player.ask("set-up", ask=body)
        assert len(asked) == 2 * len(bodies)
        assert asked[::2] == asked[1::2]


class StitchedNewsTest(SocketPath):
    def test_an_authors_change_is_told_to_those_it_concerns(self) -> None:
        self.start_system(
            titles=[
                Title(name="t1", cells=3, media=MediaSettings(segment_ticks=400, segments=20)),
                Title(name="rest", cells=3, media=MediaSettings(segment_ticks=400, segments=1)),
            ],
            stitch=StitchSettings(authors=[Author(name="amal", key_hash=hashed("k1"))]),
        )
        player, other = self.connect(), self.connect()
        id = self.plays(player)["state"]["id"]
        self.plays(other, "few")
        fields = [("Content-Type", "application/json"), ("Authorization", "Bearer k1")]
        order = {"id": "c", "kind": "insert", "title": "t1", "clip": "rest", "at": "4", "room_type": "free"}
        self.player().ask("POST", "/v1/changes", fields, json.dumps(order).encode(), 5.0)
        told = player.news("stitched")
        assert (told["subscription"], told["change"], told["state"]) == (id, "c", "made")
        self.player().ask("DELETE", "/v1/changes/c", fields, b"", 5.0)
        assert player.news("stitched")["state"] == "withdrawn"
        other.ask("set-top", subscription="x", top_rung=1)
        assert [item for item in other.heard if item["type"] == "stitched"] == []


class PassesTest(SocketPath):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = str(Path(folder.name) / "passes.keys")
        key_file.rotate(path, 1)
        self.mac = keyed_mac(key_file.load(path, 1)[0])
        self.start_system(
            viewers=ViewerSettings(key_file=path),
            websocket=WebSocketSettings(origins=["https://own.example"]),
        )

    def made(self, client: str = "v", for_s: float = 100.0, most: int = 8) -> str:
        now_us = self.clock.wall_us()
        return access_tokens.sign_access_token(
            AccessToken(client, now_us - 1_000_000, now_us + round(for_s * 1e6), most), self.mac
        )

    def bearer(self, token: str) -> list[tuple[str, str]]:
        return [("Authorization", f"Bearer {token}")]

    def test_both_doors_ask_for_a_pass(self) -> None:
        heard = self.ask()
        assert (heard.status, heard.head.get(b"www-authenticate") is not None) == (401, True)
        assert self.ask(headers=self.bearer(self.made())).status == 201
        assert self.ask(headers=self.bearer(self.made(for_s=0))).status == 401
        assert self.ask(headers=self.bearer(self.made() + "x")).status == 401
        player = self.connect()
        assert player.ask("set-up", ask={"room_type": "free", "title": "t1"})["kind"] == "no-pass"
        assert player.ask("hello", token="bWFkZQ.dXA")["kind"] == "no-pass"
        assert player.ask("hello", token=self.made())["client"] == "v"
        self.plays(player)

    def test_one_that_ends_in_mid_session_is_told_renewed_and_what_plays_goes_on(self) -> None:
        player = self.connect(fields=self.bearer(self.made(for_s=0.4)))
        id = self.plays(player)["state"]["id"]
        assert player.news("pass-ends")["in_ms"] <= 400
        wait_for(lambda: player.ask("resume", subscription=id)["type"] == "fault", "its end")
        told = player.ask("set-up", ask={"room_type": "free", "title": "t1"})
        assert (told["type"], told["kind"]) == ("fault", "no-pass")
        assert player.ask("set-top", subscription=id, top_rung=1)["type"] == "state"
        assert player.ask("renew", token=self.made("someone else"))["kind"] == "not-permitted"
        assert player.ask("renew", token=self.made())["type"] == "renewed"
        self.plays(player)

    def test_another_clients_pass_does_not_open_what_plays(self) -> None:
        player = self.connect(fields=self.bearer(self.made("one")))
        id = self.plays(player)["state"]["id"]
        thief = self.connect(fields=self.bearer(self.made("two")))
        assert thief.ask("resume", subscription=id)["kind"] == "not-yours"
        again = self.connect(fields=self.bearer(self.made("one")))
        assert again.ask("resume", subscription=id)["type"] == "resumed"

    def test_a_pass_bounds_what_its_client_holds(self) -> None:
        player = self.connect(fields=self.bearer(self.made(most=1)))
        self.plays(player)
        assert player.ask("set-up", ask={"room_type": "free", "title": "t1"})["kind"] == "not-permitted"

    def test_pages_of_other_origins_are_kept_out(self) -> None:
        with self.assertRaises(Unanswered) as caught:
            SocketPlayer(
                self.front.door.address, self.clock, random.Random(1), [("Origin", "https://evil.example")]
            )
        assert caught.exception.how == "refused with 403"
        self.connect(fields=[("Origin", "https://own.example")])


if __name__ == "__main__":
    import unittest

    unittest.main()
