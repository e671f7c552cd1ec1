"""Sessions over WebSocket: requests, notifications, resumption, claims, access tokens, shutdown and abuse."""

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
from fennelcove.emulators.endpoint_list_service import ListedServer
from fennelcove.emulators.websocket_client import WebSocketClient
from fennelcove.ingress.websocket_session import QueuedMessage
from fennelcove.settings.schema import (
    AccessTokenSettings,
    Author,
    MediaSettings,
    StitchSettings,
    Title,
    WebSocketSettings,
)
from fennelcove.websocket.frames import write
from fennelcove.websocket.protocol_constants import Opcode
from fennelcove.wire.websocket_messages import PATH, SUBPROTOCOL
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from tests.front_case import FrontTestCase, wait_for
from tests.test_content_insertion import hash_key


class WebSocketTestCase(FrontTestCase):
    def connect(self, **options: Any) -> WebSocketClient:
        rng = random.Random(1)
        player = WebSocketClient(self.front.http_server.address, self.clock, rng, **options)
        self.addCleanup(player.close)
        assert player.next_of_type("welcome")["front"] == "front-t"
        return player

    def set_up(self, player: WebSocketClient, service_class: str = "free", **options: Any) -> dict[str, Any]:
        answer = player.ask("set-up", ask={"room_type": service_class, "title": "t1", **options})
        assert answer["type"] == "playing", answer
        return answer

    def owners(self) -> dict[str, Any]:
        return self.front.core.notifier.ownerships.by_session


class WebSocketSessionTest(WebSocketTestCase):
    def setUp(self) -> None:
        self.start_system()

    def test_session_from_set_up_to_release(self) -> None:
        player = self.connect()
        answer = self.set_up(player)
        id = answer["state"]["id"]
        assert (answer["number"], answer["state"]["state"]) == (0, "playing")
        self.wait_for_records("set_up", subscription=id)
        limited = player.ask("set-top", subscription=id, top_rung=1)
        assert (limited["type"], limited["state"]["top_rung"]) == ("state", 1)
        assert player.ask("release", subscription=id)["type"] == "released"
        self.wait_for_records("released", subscription=id)
        assert player.ask("release", subscription=id)["kind"] == "ended"
        assert [item for item in player.inbox if item["type"] == "ended"] == []

    def test_rejections_and_invalid_requests(self) -> None:
        player = self.connect()
        for fields, kind in (
            ({"room_type": "free", "title": "none"}, "unknown-title"),
            ({"room_type": "none", "title": "t1"}, "unknown-room-type"),
            ({"room_type": "free", "title": "t1", "x": 1}, "malformed"),
        ):
            answer = player.ask("set-up", ask=fields)
            assert (answer["type"], answer["kind"]) == ("fault", kind)
        assert player.ask("nonsense")["kind"] == "malformed"
        player.conversation.send("{")
        player.flush()
        assert player.next_of_type("fault").get("ref") is None
        for media_server in self.listed_servers:
            self.list_service.publish(
                ListedServer(
                    media_server.address, "zone", "k", self.listed_servers.index(media_server), 1.0, "leaving"
                )
            )
        wait_for(lambda: self.front.core.endpoint_tracker.version == self.list_service.version, "the list")
        answer = player.ask("set-up", ask={"room_type": "free", "title": "t1"})
        assert answer["type"] == "throttled"
        assert answer["retry_after_ms"] >= 0

    def test_notifications_of_rung_migration_and_end_carry_sequence_numbers(self) -> None:
        player = self.connect()
        id = self.set_up(player)["state"]["id"]
        session = self.front.core.sessions[id]
        with self.front.core.lock:
            self.front.core.effects.set_rung(id, 1 if session.rung != 1 else 0)
        first = player.next_of_type("rung")
        assert (first["subscription"], first["number"]) == (id, 1)
        source = session.server
        self.list_service.publish(
            ListedServer(
                source,
                "zone",
                "k",
                [server.address for server in self.listed_servers].index(source),
                1.0,
                "leaving",
            )
        )
        moved = player.next_of_type("moved")
        assert moved["number"] == 2
        assert moved["box"] != source
        self.front.core.release(id, "released by the test")
        ended = player.next_of_type("ended")
        assert (ended["number"], ended["detail"]) == (3, "released by the test")

    def test_resuming_client_learns_how_much_it_missed_and_is_not_set_up_twice(self) -> None:
        first = self.connect()
        id = self.set_up(first)["state"]["id"]
        first.hang_up()
        wait_for(lambda: self.owners()[id].owner is None, "the session to lose its owner")
        with self.front.core.lock:
            self.front.core.effects.set_rung(id, 1)
            self.front.core.effects.set_rung(id, 0)
        second = self.connect()
        answer = second.ask("resume", subscription=id, seen=0)
        assert (answer["type"], answer["missed"], answer["state"]["rung"]) == ("resumed", 2, 0)
        assert "missed" not in second.ask("resume", subscription=id, seen=99)
        assert len(self.find_records("set_up", subscription=id)) == 1
        assert second.ask("resume", subscription="1-" + "0" * 24)["kind"] == "unknown-subscription"

    def test_later_claim_of_a_session_wins(self) -> None:
        first, second = self.connect(), self.connect()
        id = self.set_up(first)["state"]["id"]
        assert second.ask("resume", subscription=id)["type"] == "resumed"
        assert first.next_of_type("taken")["subscription"] == id
        assert first.ask("release", subscription=id)["kind"] == "unknown-subscription"
        assert second.ask("release", subscription=id)["type"] == "released"

    def test_session_set_up_over_http_is_claimed_by_its_id(self) -> None:
        id = self.request_session().body["id"]
        player = self.connect()
        assert player.ask("resume", subscription=id)["type"] == "resumed"
        self.get(f"/v1/subscriptions/{id}", method="DELETE")
        assert player.next_of_type("ended")["subscription"] == id

    def test_session_is_released_if_its_client_disconnects_during_the_attempt(self) -> None:
        self.leave_one_active(0)
        self.servers[0].faults.slow_ms = 300.0
        player = self.connect()
        player.send_message("set-up", ask={"room_type": "free", "title": "t1"})
        self.wait_for_records("set_up")
        player.hang_up()
        self.wait_for_records("released")
        wait_for(lambda: self.front.core.admission_controller.sessions == 0, "the session to be released")
        assert self.front.core.admission_controller.pending_requests == 0

    def test_other_requests_are_served_while_an_attempt_is_in_flight(self) -> None:
        player = self.connect()
        id = self.set_up(player)["state"]["id"]
        for media_server in self.servers:
            media_server.faults.slow_ms = 400.0
        ref = player.send_message("set-up", ask={"room_type": "free", "title": "t1"})
        assert player.ask("release", subscription=id)["type"] == "released"
        assert player.answer(ref, 5.0)["type"] == "playing"

    def test_connection_owns_a_limited_number_of_sessions(self) -> None:
        self.front.core.notifier.max_sessions = 2
        player = self.connect()
        ids = [self.set_up(player)["state"]["id"] for _ in range(2)]
        assert player.ask("set-up", ask={"room_type": "free", "title": "t1"})["kind"] == "not-permitted"
        other = self.request_session().body["id"]
        assert player.ask("resume", subscription=other)["kind"] == "not-yours"
        player.ask("release", subscription=ids[0])
        assert player.ask("resume", subscription=other)["type"] == "resumed"

    def test_stopping_front_announces_when_to_reconnect_and_closes(self) -> None:
        players = [self.connect() for _ in range(5)]
        ids = [self.set_up(player)["state"]["id"] for player in players]
        self.front.stop()
        for player in players:
            leaving = player.next_of_type("leaving")
            assert leaving["reconnect_after_ms"] < leaving["reconnect_before_ms"]
            assert player.wait_closed().code == 1012
        self.front = self.start_front()
        wait_for(lambda: all(id in self.front.core.sessions for id in ids), "the sessions to be adopted")
        for id in ids:
            answer = self.connect().ask("resume", subscription=id, seen=3)
            assert answer["type"] == "resumed"
            assert len(self.find_records("set_up", subscription=id)) == 1

    def test_attempt_in_flight_when_the_front_stops_is_answered_before_the_close(self) -> None:
        for media_server in self.servers:
            media_server.faults.slow_ms = 300.0
        player = self.connect()
        ref = player.send_message("set-up", ask={"room_type": "free", "title": "t1"})
        self.wait_for_records("set_up")
        self.front.stop()
        assert player.answer(ref, 5.0)["type"] == "playing"
        assert player.wait_closed().code == 1012

    def test_connection_with_binary_or_too_many_messages_is_closed(self) -> None:
        for number, code in ((0, 1003), (1, 1008)):
            player = self.connect()
            if number == 0:
                player.conversation.send(b"bytes")
                player.flush()
            else:
                with self.assertRaises(Unanswered):
                    for _ in range(400):
                        player.ask("resume", subscription="x")
            assert player.wait_closed().code == code

    def test_invalid_messages_close_the_connection_with_the_matching_code(self) -> None:
        for raw, code in (
            (write(Opcode.TEXT, b"x" * 20_000, b"abcd"), 1009),
            (write(Opcode.TEXT, b"{}", None), 1002),
            (write(Opcode.TEXT, b"\xff", b"abcd"), 1007),
        ):
            player = self.connect()
            player.sock.sendall(raw)
            assert player.wait_closed().code == code
        wait_for(lambda: not self.front.websocket_server.sessions, "the connections to close")
        wait_for(lambda: not self.front.core.notifier.mailboxes, "the mailboxes to be unregistered")

    def test_client_that_does_not_read_is_disconnected_and_can_resume(self) -> None:
        player = self.connect()
        id = self.set_up(player)["state"]["id"]
        (session,) = self.front.websocket_server.sessions
        with session.lock:  # more messages than fit into the outbox, queued while its thread waits
            for number in range(100):
                session.outbox.put(QueuedMessage(session.welcome(str(number))))
        session.wakeup.notify()
        assert player.wait_closed().code == 1013
        wait_for(lambda: not self.front.websocket_server.sessions, "the connection to close")
        assert self.connect().ask("resume", subscription=id)["type"] == "resumed"

    def test_half_open_connection_is_closed_after_the_idle_timeout_and_its_session_released(self) -> None:
        self.stop_fronts()
        self.settings = self.make_settings(limits={"silent_ms": 400})
        self.front = self.start_front()
        alive, dead = self.connect(), self.connect()
        ids = [self.set_up(player)["state"]["id"] for player in (alive, dead)]
        stop_answering = threading.Event()

        def answer() -> None:
            while not stop_answering.is_set():
                alive.next(0.05)  # answers pings as they come

        thread = threading.Thread(target=answer)
        thread.start()
        self.wait_for_records("released", subscription=ids[1])
        stop_answering.set()
        thread.join()
        assert ids[0] in self.front.core.sessions

    def test_third_party_websocket_client(self) -> None:
        url = f"ws://{self.front.http_server.address}{PATH}"
        for compression in ("deflate", None):
            with connect(url, subprotocols=[SUBPROTOCOL], compression=compression) as connection:  # type: ignore[list-item, arg-type]
                assert json.loads(connection.recv())["type"] == "welcome"
                ask = {
                    "type": "set-up",
                    "ref": "a",
                    "ask": {"room_type": "free", "title": "t1", "cmcd": {"sid": "v" * 600}},
                }
                connection.send(json.dumps(ask))
                answer = json.loads(connection.recv())
                assert (answer["type"], answer["ref"]) == ("playing", "a")
                connection.ping().wait(5)
                connection.send(
                    ["{", '"type":"release","ref":"b",', f'"subscription":"{answer["state"]["id"]}"}}']
                )
                assert json.loads(connection.recv())["type"] == "released"
        with connect(url, subprotocols=[SUBPROTOCOL]) as connection:  # type: ignore[list-item]
            connection.recv()
            connection.send("x" * 100_000)
            with self.assertRaises(ConnectionClosed) as caught:
                connection.recv()
            assert caught.exception.rcvd is not None
            assert caught.exception.rcvd.code == 1009

    def test_invalid_handshake_gets_an_http_error(self) -> None:
        for fields, status in (({"Sec-WebSocket-Version": "8"}, 426), ({"Upgrade": "websocket"}, 426)):
            assert self.get(PATH, headers=[("Upgrade", "websocket"), *fields.items()][-2:]).status == status
        assert self.get(PATH).status == 404

    def test_http_and_websocket_build_the_same_session_request(self) -> None:
        requests: list[SessionRequest] = []
        request_session = self.front.core.request_session

        def record_request(request: SessionRequest) -> Any:
            requests.append(request)
            return request_session(request)

        self.front.core.request_session = record_request  # type: ignore[method-assign]
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
            self.new_client().ask("POST", "/v1/subscriptions", fields, raw, 5.0)
            player.ask("set-up", ask=body)
        assert len(requests) == 2 * len(bodies)
        assert requests[::2] == requests[1::2]


class ContentNotificationTest(WebSocketTestCase):
    def test_clients_are_notified_of_an_authors_change_to_their_content(self) -> None:
        self.start_system(
            titles=[
                Title(name="t1", cells=3, media=MediaSettings(segment_ticks=400, segments=20)),
                Title(name="rest", cells=3, media=MediaSettings(segment_ticks=400, segments=1)),
            ],
            stitch=StitchSettings(authors=[Author(name="amal", key_hash=hash_key("k1"))]),
        )
        player, other = self.connect(), self.connect()
        id = self.set_up(player)["state"]["id"]
        self.set_up(other, "few")
        fields = [("Content-Type", "application/json"), ("Authorization", "Bearer k1")]
        order = {"id": "c", "kind": "insert", "title": "t1", "clip": "rest", "at": "4", "room_type": "free"}
        self.new_client().ask("POST", "/v1/changes", fields, json.dumps(order).encode(), 5.0)
        answer = player.next_of_type("stitched")
        assert (answer["subscription"], answer["change"], answer["state"]) == (id, "c", "made")
        self.new_client().ask("DELETE", "/v1/changes/c", fields, b"", 5.0)
        assert player.next_of_type("stitched")["state"] == "withdrawn"
        other.ask("set-top", subscription="x", top_rung=1)
        assert [item for item in other.inbox if item["type"] == "stitched"] == []


class AccessTokenTest(WebSocketTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = str(Path(folder.name) / "passes.keys")
        key_file.rotate(path, 1)
        self.mac = keyed_mac(key_file.load(path, 1)[0])
        self.start_system(
            viewers=AccessTokenSettings(key_file=path),
            websocket=WebSocketSettings(origins=["https://own.example"]),
        )

    def token(self, client: str = "v", for_s: float = 100.0, most: int = 8) -> str:
        now_us = self.clock.wall_us()
        return access_tokens.sign_access_token(
            AccessToken(client, now_us - 1_000_000, now_us + round(for_s * 1e6), most), self.mac
        )

    def bearer(self, token: str) -> list[tuple[str, str]]:
        return [("Authorization", f"Bearer {token}")]

    def test_http_and_websocket_require_an_access_token(self) -> None:
        response = self.request_session()
        assert (response.status, response.head.get(b"www-authenticate") is not None) == (401, True)
        assert self.request_session(headers=self.bearer(self.token())).status == 201
        assert self.request_session(headers=self.bearer(self.token(for_s=0))).status == 401
        assert self.request_session(headers=self.bearer(self.token() + "x")).status == 401
        player = self.connect()
        assert player.ask("set-up", ask={"room_type": "free", "title": "t1"})["kind"] == "no-pass"
        assert player.ask("hello", token="bWFkZQ.dXA")["kind"] == "no-pass"
        assert player.ask("hello", token=self.token())["client"] == "v"
        self.set_up(player)

    def test_expiring_token_is_announced_and_renewed_while_the_session_plays(self) -> None:
        player = self.connect(fields=self.bearer(self.token(for_s=0.4)))
        id = self.set_up(player)["state"]["id"]
        assert player.next_of_type("pass-ends")["in_ms"] <= 400
        wait_for(lambda: player.ask("resume", subscription=id)["type"] == "fault", "the token to expire")
        answer = player.ask("set-up", ask={"room_type": "free", "title": "t1"})
        assert (answer["type"], answer["kind"]) == ("fault", "no-pass")
        assert player.ask("set-top", subscription=id, top_rung=1)["type"] == "state"
        assert player.ask("renew", token=self.token("someone else"))["kind"] == "not-permitted"
        assert player.ask("renew", token=self.token())["type"] == "renewed"
        self.set_up(player)

    def test_session_can_not_be_claimed_with_the_token_of_another_client(self) -> None:
        player = self.connect(fields=self.bearer(self.token("one")))
        id = self.set_up(player)["state"]["id"]
        other_client = self.connect(fields=self.bearer(self.token("two")))
        assert other_client.ask("resume", subscription=id)["kind"] == "not-yours"
        second = self.connect(fields=self.bearer(self.token("one")))
        assert second.ask("resume", subscription=id)["type"] == "resumed"

    def test_token_limits_the_sessions_of_its_client(self) -> None:
        player = self.connect(fields=self.bearer(self.token(most=1)))
        self.set_up(player)
        assert player.ask("set-up", ask={"room_type": "free", "title": "t1"})["kind"] == "not-permitted"

    def test_pages_of_other_origins_are_rejected(self) -> None:
        with self.assertRaises(Unanswered) as caught:
            WebSocketClient(
                self.front.http_server.address,
                self.clock,
                random.Random(1),
                [("Origin", "https://evil.example")],
            )
        assert caught.exception.how == "refused with 403"
        self.connect(fields=[("Origin", "https://own.example")])


if __name__ == "__main__":
    import unittest

    unittest.main()
