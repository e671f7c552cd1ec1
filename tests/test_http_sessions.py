"""Sessions over HTTP: a front between emulated clients, servers and list service, with injected faults.

Each fault is observed on both sides: in the front's responses and in the emulators' records.
"""

from __future__ import annotations

import socket
import threading
import unittest
from itertools import pairwise

import httpx
from fennelcove.emulators.clients import Unanswered
from fennelcove.emulators.endpoint_list_service import ListedServer, ListingState
from fennelcove.emulators.media_server import EmulatedServer
from fennelcove.interface import Outcome
from fennelcove.settings.schema import OverloadSettings

from tests.front_case import WAIT_TIMEOUT_S, FrontTestCase, read_responses, wait_for

SET_UP_REQUEST = (
    b"POST /v1/subscriptions HTTP/1.1\r\nHost: f\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%b"
)
SET_UP_BODY = b'{"room_type":"free","title":"t1"}'


class SessionTest(FrontTestCase):
    def setUp(self) -> None:
        self.start_system()

    def raw_socket(self) -> socket.socket:
        host, _, port = self.front.http_server.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        self.addCleanup(sock.close)
        return sock

    def test_session_is_set_up_queried_limited_and_released(self) -> None:
        response = self.request_session(top_rung=1, headers=[("CMCD-Request", "mtp=9000")])
        assert (response.status, response.body["rung"], response.body["rate_kb"]) == (201, 1, 200.0)
        hints = response.head.get(b"cmsd-dynamic") or b""
        assert b"fennelcove-link" in hints
        assert hints.startswith(b'"box-') and b'"front-t"' in hints
        assert response.head.get(b"cmsd-static") == b"br=1600"
        path = (response.head.get(b"location") or b"").decode()
        assert self.get(path).body["state"] == "playing"
        assert self.get(f"{path}/rung").body["rung"] == 1
        assert self.get(path, method="DELETE").status == 204
        self.wait_for_records("released", held=True)
        assert self.get(path).status == 410
        assert self.get("/v1/subscriptions/1-" + "0" * 24).status == 404

    def test_third_party_http_client(self) -> None:
        with httpx.Client(base_url=f"http://{self.front.http_server.address}", trust_env=False) as client:
            created = client.post(
                "/v1/subscriptions", json={"room_type": "free"}, headers={"CMCD-Session": 'cid="t1",sid="s"'}
            )
            assert (created.status_code, created.json()["title"]) == (201, "t1")
            path = created.headers["location"]
            lowered = client.put(f"{path}/rung", json={"top_rung": 0})
            assert (lowered.status_code, lowered.json()["rung"]) == (200, 0)
            self.wait_for_records("rung", rung=0)
            assert client.delete(path).status_code == 204
            for reply, status, kind in (
                (client.post("/v1/subscriptions", json={"room_type": "no", "title": "t1"}), 422, "room-type"),
                (client.post("/v1/subscriptions", json={"room_type": "free", "title": "x"}), 404, "title"),
                (client.post("/v1/subscriptions", json={"room_type": "free", "extra": 1}), 400, "malformed"),
                (client.post("/v1/subscriptions", content=b"{}"), 415, "json"),
                (client.get("/nowhere"), 404, "path"),
                (client.put("/v1/subscriptions"), 405, "method"),
            ):
                assert reply.status_code == status
                assert reply.headers["content-type"] == "application/problem+json"
                assert kind in reply.json()["type"]

    def test_hints_limit_the_rung_and_malformed_hints_are_ignored(self) -> None:
        response = self.request_session(headers=[("CMCD-Object", "tb=1700,br=;;"), ("CMCD-Request", "mtp=x")])
        assert (response.status, response.body["rung"]) == (201, 1)
        assert self.front.http_server.routes.dropped_hint_count > 0
        limited = self.request_session(cmcd={"mtp": 900})
        assert limited.body["rung"] == 0

    def test_pipelined_requests_and_request_sent_byte_by_byte_with_expect(self) -> None:
        sock = self.raw_socket()
        sock.sendall(SET_UP_REQUEST % (len(SET_UP_BODY), SET_UP_BODY) * 2)
        assert [status for status, _ in read_responses(sock, 2)] == [201, 201]
        slow_socket = self.raw_socket()
        head, body = (SET_UP_REQUEST % (len(SET_UP_BODY), SET_UP_BODY)).split(b"\r\n\r\n")
        for byte in head + b"\r\nExpect: 100-continue\r\n\r\n":
            slow_socket.sendall(bytes([byte]))
        slow_socket.settimeout(WAIT_TIMEOUT_S)
        assert slow_socket.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        slow_socket.sendall(body)
        assert read_responses(slow_socket, 1)[0][0] == 201

    def test_request_smuggling_gets_one_response_and_the_connection_is_closed(self) -> None:
        sock = self.raw_socket()
        sock.sendall(
            b"POST /v1/subscriptions HTTP/1.1\r\nHost: f\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /v1/status HTTP/1.1\r\nHost: f\r\n\r\n"
        )
        assert [status for status, _ in read_responses(sock, 2)] == [400]

    def test_server_that_reports_overload_but_accepts_gets_no_new_sessions(self) -> None:
        for _ in range(6):
            assert self.request_session(top_rung=0).status == 201
        overloaded = self.servers[0]
        overloaded.faults.full = True
        reached_servers = {record["box"] for record in self.find_records("set_up")}
        assert overloaded.address in reached_servers
        server = self.front.core.policy.servers[overloaded.address]
        wait_for(lambda: (server.link.report or 0) >= 1.0, "the report of overload")
        before = len(self.find_records("set_up", box=overloaded.address))
        for _ in range(20):
            assert self.request_session(top_rung=0).status == 201
        assert len(self.find_records("set_up", box=overloaded.address)) == before

    def test_client_disconnects_while_its_attempt_is_in_flight(self) -> None:
        for media_server in self.servers:
            media_server.faults.slow_ms = 400
        with self.assertRaises(Unanswered):
            self.new_client().ask(
                "POST", "/v1/subscriptions", [("Content-Type", "application/json")], SET_UP_BODY, 0.1
            )
        self.wait_for_records("set_up_over", how="front_closed")
        self.wait_for_records("released")
        wait_for(
            lambda: not self.front.core.sessions and not self.front.core.policy.sessions,
            "the sessions to be released",
        )
        assert len(self.find_records("set_up")) == 1

    def test_server_that_responds_after_the_timeout_gets_a_release(self) -> None:
        self.servers[0].faults.slow_ms = 1500
        self.leave_one_active(0)
        response = self.request_session(client_timeout_ms=600)
        assert response.status == 503
        assert response.head.get(b"retry-after")
        self.wait_for_records("released")
        self.wait_for_records("set_up_over", how="front_closed")
        wait_for(lambda: not self.servers[0].model.playing, "the sessions to be released")

    def test_seats_are_never_assigned_twice(self) -> None:
        statuses = [self.request_session("few").status for _ in range(4)]
        assert statuses == [201, 201, 503, 503]

    def test_lowest_rung_of_a_class_holds_against_a_low_measured_throughput(self) -> None:
        assert self.request_session("high", cmcd={"mtp": 100}).body["rung"] == 1
        assert self.request_session("high", top_rung=0).status == 503

    def test_endpoint_lists_that_are_empty_invalid_or_name_a_server_twice(self) -> None:
        core = self.front.core
        version = self.list_service.version
        self.list_service.send_raw(b'{"version":%d,"boxes":[]}' % (version + 1))
        wait_for(lambda: core.counts.get("lists_refused"), "the list to be rejected")
        stream = self.front.endpoint_list_client.stream
        self.list_service.send_raw(b"not json")
        entry = b'{"address":"%s","zone":"zone","kind":"k","cell":0,"state":"%s"}'
        address = self.servers[0].address.encode()
        wait_for(lambda: self.front.endpoint_list_client.stream is not stream, "a new list stream")
        self.leave_one_active(1)
        entries = b",".join(entry % (address, state) for state in (b"leaving", b"active"))
        self.list_service.send_raw(
            b'{"version":%d,"base":%d,"boxes":[%b]}' % (version + 2, version + 1, entries)
        )
        wait_for(lambda: core.endpoint_tracker.version == version + 2, "the list that names a server twice")
        assert self.request_session().body["box"] == self.servers[1].address

    def test_clients_that_starve_together_mark_their_server_as_short(self) -> None:
        self.leave_one_active(0)
        paths = [f"/v1/subscriptions/{self.request_session(top_rung=0).body['id']}" for _ in range(2)]
        link = self.front.core.policy.servers[self.servers[0].address].link
        for path in paths:
            assert self.get(path, [("CMCD-Status", "bs"), ("CMCD-Request", "mtp=400")]).status == 200
        assert link.full_until_us > self.clock.now_us()
        assert self.front.core.counts["boxes_blamed_by_viewers"] == 1

    def server_of(self, id: str) -> EmulatedServer:
        address = self.front.core.sessions[id].server
        return next(media_server for media_server in self.servers if media_server.address == address)

    def test_crashed_server_loses_only_sessions_that_must_not_be_set_up_twice(self) -> None:
        once_id, free_id = self.request_session("once").body["id"], self.request_session("free").body["id"]
        crashed = {self.server_of(id) for id in (once_id, free_id)}
        for media_server in crashed:
            media_server.crash()
        wait_for(lambda: once_id not in self.front.core.sessions, "the session to be lost")
        ended = self.get(f"/v1/subscriptions/{once_id}")
        assert (ended.status, ended.body["type"].rpartition(":")[2]) == (410, "ended")
        assert len(self.find_records("set_up", subscription=once_id)) == 1
        wait_for(lambda: self.front.core.counts.get("moves_made"), "the migration")
        migrated = self.get(f"/v1/subscriptions/{free_id}")
        assert migrated.status == 200
        assert migrated.body["box"] not in {media_server.address for media_server in crashed}

    def drain(self, media_server: EmulatedServer, state: ListingState = "leaving") -> None:
        number = self.servers.index(media_server)
        self.list_service.publish(ListedServer(media_server.address, "zone", "k", number, 1.0, state))

    def test_drain_migrates_sessions_before_their_server_releases_them(self) -> None:
        id = self.request_session().body["id"]
        source = self.server_of(id)
        self.drain(source)
        self.wait_for_records("released", subscription=id, box=source.address, held=True)
        view = self.get(f"/v1/subscriptions/{id}")
        assert view.status == 200
        assert view.body["box"] != source.address
        first, second = self.find_records("set_up", subscription=id)
        assert (first["join"], second["join"]) == (0, 1)
        completed = self.find_records("set_up_over", subscription=id, join=1)[0]
        released = self.find_records("released", subscription=id, box=source.address)[0]
        assert completed["t_us"] < released["t_us"], "released before the new server had the session"
        assert self.get(f"/v1/subscriptions/{id}", method="DELETE").status == 204
        self.wait_for_records("released", subscription=id, box=view.body["box"], held=True)
        wait_for(
            lambda: not self.front.core.policy.sessions and not self.front.core.lifecycle.by_policy_id,
            "the sessions to be released",
        )

    def test_drain_leaves_a_session_that_may_be_set_up_only_once(self) -> None:
        id = self.request_session("once").body["id"]
        source = self.server_of(id)
        self.drain(source)
        wait_for(lambda: self.front.core.counts.get("moves_given_up"), "the migration to be abandoned")
        assert len(self.find_records("set_up", subscription=id)) == 1
        assert self.get(f"/v1/subscriptions/{id}").body["box"] == source.address
        wait_for(
            lambda: not self.front.core.draining.may_command(source.address), "the end of the grace period"
        )
        # After the drain's grace period the front sends the old server nothing more, not even a release.
        assert self.get(f"/v1/subscriptions/{id}", method="DELETE").status == 204
        assert self.front.core.commands.queue.count == 0
        assert self.find_records("released", subscription=id) == []

    def test_session_that_may_be_set_up_only_once_ends_when_its_server_leaves_the_list(self) -> None:
        id = self.request_session("once").body["id"]
        self.drain(self.server_of(id), "left")
        wait_for(lambda: id not in self.front.core.sessions, "the session to end")
        ended = self.get(f"/v1/subscriptions/{id}")
        assert (ended.status, ended.body["detail"]) == (410, "its box has left, and no other may take it")
        assert len(self.find_records("set_up", subscription=id)) == 1

    def test_session_released_during_its_migration_leaves_nothing_on_either_server(self) -> None:
        id = self.request_session().body["id"]
        source = self.server_of(id)
        for media_server in self.servers:
            media_server.faults.slow_ms = 200
        self.drain(source)
        self.wait_for_records("set_up", 2, subscription=id)
        assert self.get(f"/v1/subscriptions/{id}", method="DELETE").status == 204
        self.wait_for_records("released", 2, subscription=id)
        for media_server in self.servers:
            wait_for(
                lambda media_server=media_server: not media_server.model.playing,
                "the sessions to be released",
            )

    def test_migration_retries_another_server_and_never_has_two_attempts_in_flight(self) -> None:
        id = self.request_session().body["id"]
        source = self.server_of(id)
        other_servers = [media_server for media_server in self.servers if media_server is not source]
        other_servers[0].faults.errors = other_servers[1].faults.errors = True
        self.drain(source)
        self.wait_for_records("set_up_over", 2, subscription=id, how="error")
        for media_server in other_servers:
            media_server.faults.errors = False
        attempts = self.find_records("set_up", subscription=id)
        completed_us = {
            (record["join"]): record["t_us"] for record in self.find_records("set_up_over", subscription=id)
        }
        for before, after in pairwise(attempts):
            assert completed_us[before["join"]] <= after["t_us"]
        assert self.get(f"/v1/subscriptions/{id}").status == 200

    def test_server_whose_drain_is_cancelled_keeps_its_remaining_sessions(self) -> None:
        ids = [self.request_session("once").body["id"] for _ in range(3)]
        source = self.server_of(ids[0])
        self.drain(source)
        wait_for(lambda: self.front.core.draining.is_draining(source.address), "the drain to start")
        self.drain(source, "active")
        wait_for(lambda: not self.front.core.draining.is_draining(source.address), "the drain to end")
        assert self.get(f"/v1/subscriptions/{ids[0]}", method="DELETE").status == 204
        self.wait_for_records("released", subscription=ids[0], held=True)


class AttemptOutcomeTest(FrontTestCase):
    """Attempts to a server that loses them.

    Without a ramp: during it, a server that lost an attempt would get only one at a time.
    """

    def setUp(self) -> None:
        self.start_system(rules={"ramp_ms": 0.0})

    def test_retry_after_an_attempt_that_may_have_run_depends_on_the_service_class(self) -> None:
        self.servers[0].faults.reset = True
        self.leave_one_active(0)
        assert self.request_session("free").status == 503
        assert self.request_session("keyed").status == 503
        interrupted = self.request_session("once")
        assert (interrupted.status, interrupted.body["may_have_run"]) == (502, True)
        self.servers[0].faults.reset = False
        self.servers[0].server.down()
        refused = self.request_session("once")
        assert refused.status == 503
        assert self.front.core.counts["joins_" + Outcome.NO_CONNECTION.value] == 1

    def test_each_kind_of_server_response_has_its_outcome(self) -> None:
        media_server = self.servers[0]
        self.leave_one_active(0)
        for fault, outcome in (
            ("errors", Outcome.SERVER_ERROR),
            ("garbage", Outcome.SERVER_ERROR),
            ("half", Outcome.CONNECTION_LOST),
            ("reset", Outcome.CONNECTION_LOST),
        ):
            before = self.front.core.counts.get(f"joins_{outcome.value}", 0)
            setattr(media_server.faults, fault, True)
            assert self.request_session().status == 503
            setattr(media_server.faults, fault, False)
            assert self.front.core.counts[f"joins_{outcome.value}"] == before + 1, fault
        media_server.model.streams = 0
        assert self.request_session().status == 503
        assert self.front.core.counts["joins_turned_away"] == 1


class RetryBudgetTest(FrontTestCase):
    def count_attempts_per_setup(self, count: int) -> list[int]:
        """Return the attempts of each of `count` set-ups while every server resets its connections."""
        for media_server in self.servers:
            media_server.faults.reset = True
        attempt_counts: list[int] = []
        for _ in range(count):
            before = len(self.find_records("set_up"))
            assert self.request_session().status == 503
            attempt_counts.append(len(self.find_records("set_up")) - before)
        return attempt_counts

    def test_without_a_retry_budget_every_replica_is_tried(self) -> None:
        self.start_system()
        assert self.count_attempts_per_setup(1) == [3]

    def test_retry_budget_limits_attempts_as_counted_by_the_servers(self) -> None:
        rules = {"budget_free": 1.0, "budget_ratio": 0.0, "budget_span_ms": 60_000.0, "ramp_ms": 0.0}
        self.start_system(rules=rules)
        assert self.count_attempts_per_setup(3) == [2, 1, 1]

    def test_fleet_wide_retry_budget_limits_a_single_front(self) -> None:
        self.start_system(
            rules={"ramp_ms": 0.0}, overload=OverloadSettings(enabled=False, further_joins_s=0.001)
        )
        assert self.count_attempts_per_setup(3) == [2, 1, 1]
        budgets = self.front.core.status().to_json_fields()["budgets"]
        assert isinstance(budgets, dict)
        assert budgets["further_join"]["spent"] == 1


class AttemptLimitTest(FrontTestCase):
    SERVER_COUNT = 6

    def test_client_whose_fifth_attempt_times_out_gets_one_response_in_time(self) -> None:
        self.start_system(start=False)
        self.settings = self.make_settings(
            fleet=self.settings.fleet.__class__(
                **{
                    **{
                        name: getattr(self.settings.fleet, name)
                        for name in self.settings.fleet.__struct_fields__
                    },
                    "cells": 6,
                }
            ),
            titles=[self.settings.titles[0].__class__(name="t1", first_cell=0, cells=6)],
        )
        self.front = self.start_front()
        for media_server in self.servers:
            media_server.faults.hang = True
        client = self.new_client()
        response = self.request_session(client=client)
        assert response.status == 503
        assert response.head.get(b"retry-after")
        id = response.body["instance"].rpartition("/")[2]
        attempts = self.find_records("set_up", subscription=id)
        assert [attempt["join"] for attempt in attempts] == [0, 1, 2, 3, 4]
        assert len({attempt["box"] for attempt in attempts}) == 5
        assert not client.has_unread_data()
        wait_for(lambda: not self.front.core.policy.sessions, "the sessions to be released")


class ConnectionLimitsTest(FrontTestCase):
    def test_connection_beyond_the_limit_gets_an_immediate_503(self) -> None:
        self.start_system(limits={"connections": 3, "waiting": 3})
        address = self.front.http_server.address.rpartition(":")
        connections = [socket.create_connection((address[0], int(address[2]))) for _ in range(3)]
        for sock in connections:
            self.addCleanup(sock.close)
        wait_for(lambda: self.front.core.admission_controller.connections == 3, "three connections")
        refused = self.request_session()
        assert refused.status == 503
        assert refused.head.get(b"retry-after")
        connections[0].close()
        wait_for(lambda: self.front.core.admission_controller.connections < 3, "a free connection")
        assert self.request_session().status == 201

    def test_hundreds_of_slow_senders_do_not_block_other_clients(self) -> None:
        # Long enough to accept all of them, even on a busy machine, before the first one times out.
        self.start_system(limits={"connections": 600, "waiting": 600, "head_ms": 2_000, "idle_ms": 2_000})
        address = self.front.http_server.address.rpartition(":")
        socks = [socket.create_connection((address[0], int(address[2]))) for _ in range(500)]
        done = threading.Event()

        def send_slowly() -> None:
            while not done.is_set():
                for sock in socks:
                    try:
                        sock.send(b"P")
                    except OSError:
                        continue
                done.wait(0.2)

        thread = threading.Thread(target=send_slowly)
        thread.start()
        try:
            wait_for(
                lambda: self.front.core.admission_controller.connections >= 250, "half of the connections"
            )
            assert self.request_session().status == 201
            wait_for(
                lambda: self.front.core.admission_controller.connections <= 2, "the slow senders to time out"
            )
            assert self.request_session().status == 201
        finally:
            done.set()
            thread.join()
            for sock in socks:
                sock.close()
        wait_for(
            lambda: self.front.core.admission_controller.buffered_bytes == 0,
            "the buffer space to be released",
        )


class ShutdownTest(FrontTestCase):
    def test_front_stopped_with_attempts_in_flight_answers_each_and_exits(self) -> None:
        self.start_system(limits={"stop_ms": 400})
        for media_server in self.servers:
            media_server.faults.hang = True
        responses: list[tuple[str, int]] = []

        def set_up(service_class: str) -> None:
            responses.append((service_class, self.request_session(service_class).status))

        threads = [
            threading.Thread(target=set_up, args=(service_class,)) for service_class in ("free", "once") * 4
        ]
        for thread in threads:
            thread.start()
        self.wait_for_records("set_up", 8)
        self.front.stop()
        for thread in threads:
            thread.join()
        assert sorted(set(responses)) == [("free", 503), ("once", 502)]
        assert len(responses) == 8
        with self.assertRaises(Unanswered):
            self.request_session()
        remaining_threads = [
            thread.name for thread in threading.enumerate() if thread.name in ("viewer", "timers", "acceptor")
        ]
        assert remaining_threads == []

    def test_restarted_front_adopts_the_sessions_of_its_servers(self) -> None:
        self.start_system()
        ids = [self.request_session("few").body["id"] for _ in range(2)]
        free = self.request_session(top_rung=1).body
        self.front.stop()
        self.front = self.start_front()
        assert self.get(f"/v1/subscriptions/{free['id']}").body["rung"] == 1
        assert self.request_session("few").status == 503
        assert self.get(f"/v1/subscriptions/{ids[0]}", method="DELETE").status == 204
        self.wait_for_records("released", subscription=ids[0], held=True)
        assert self.request_session("few").status == 201

    def test_restarted_front_releases_sessions_of_an_unknown_service_class(self) -> None:
        self.start_system()
        id = self.request_session("high").body["id"]
        self.front.stop()
        service_classes = [
            service_class for service_class in self.settings.room_types if service_class.name != "high"
        ]
        self.settings = self.make_settings(room_types=service_classes)
        self.front = self.start_front()
        self.wait_for_records("released", subscription=id, held=True)
        assert self.get(f"/v1/subscriptions/{id}").status == 404


if __name__ == "__main__":
    unittest.main()
