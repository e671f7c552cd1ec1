"""A fleet of another shape: its settings, what the front does with them, and the watch before the switch."""

from __future__ import annotations

import socket
import unittest
from dataclasses import replace
from typing import Any

import msgspec
from fennelcove.decisions.operators.shadow_policy import DecisionKind, ShadowedPolicy
from fennelcove.interface import (
    AttemptCompleted,
    CellLoad,
    ListMode,
    ListUpdate,
    Outcome,
    PeerMessage,
    SessionStarted,
    TopRungChanged,
)
from fennelcove.messages import encode
from fennelcove.settings.checks import amiss, module_settings
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import (
    FrontSettings,
    Goal,
    Instance,
    PeerSettings,
    ProbeSettings,
    ShapeSettings,
    Tenant,
)
from fennelcove.upstream.front_messaging import FrontMessaging

from tests.helpers import SECOND_US, SETTINGS, Recorder, entry, request_session
from tests.rig import SETTINGS as FILE
from tests.rig import FrontTestCase, wait_for


def free_ports(count: int) -> list[str]:
    """Addresses on loopback that nobody listens on."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return [f"127.0.0.1:{port}" for port in ports]


class ShapeSettingsTest(unittest.TestCase):
    def test_every_default_is_as_if_no_shape_were_stated(self) -> None:
        told = module_settings(parse(FILE, FrontSettings, "test"))
        plain = {"probe_price": None, "peer_price": None, "has_unsolicited_reports": True, "quotas": {}}
        plain |= {"over_quota_utility": 1.0, "worst_class_weight": 0.0, "rung_switch_cost_us": 0}
        assert {name: getattr(told, name) for name in plain} == plain

    def test_what_the_file_states_reaches_the_module_in_microseconds(self) -> None:
        shape = """(shape (switch-cost-ms 650) (goal (whole 0.5) (worst-room-type 0.25))
          (over-quota-worth 0.1)
          (tenants (item (name "a") (quota-per-s 18))) (reports-unasked false) (probes (price 0.01))
          (peers (price 0.012) (addresses "127.0.0.1:9"))))"""
        told = module_settings(parse(FILE.rstrip()[:-1] + shape, FrontSettings, "test"))
        assert (told.rung_switch_cost_us, told.worst_class_weight, told.quotas) == (650000, 0.5, {"a": 18.0})
        assert (told.probe_price, told.peer_price, told.has_unsolicited_reports) == (0.01, 0.012, False)

    def test_each_contradiction_names_its_place(self) -> None:
        front = parse(FILE, FrontSettings, "test")
        twice = ShapeSettings(tenants=[Tenant(name="a", quota_per_s=1), Tenant(name="a", quota_per_s=2)])
        for shape, named in (
            (twice, "tenants[1].name"),
            (ShapeSettings(reports_unasked=False), "probes"),
            (ShapeSettings(peers=PeerSettings(addresses=["127.0.0.1:1", "127.0.0.1:2"])), "peers.addresses"),
        ):
            assert f"shape.{named}" in next(amiss(msgspec.structs.replace(front, shape=shape)))
            assert f"watch.{named}" in next(amiss(msgspec.structs.replace(front, watch=shape)))
        wide = msgspec.structs.replace(front.fleet, cells=70_000)  # a message names a cell in two bytes
        peers = ShapeSettings(peers=PeerSettings(addresses=["127.0.0.1:1"]))
        assert "shape.peers: found 70000" in next(
            amiss(msgspec.structs.replace(front, fleet=wide, shape=peers))
        )


class WatchTest(unittest.TestCase):
    def watched(self, **alternative: Any) -> tuple[ShadowedPolicy, Recorder]:
        effects = Recorder()
        made = ShadowedPolicy(SETTINGS, replace(SETTINGS, **alternative), 7, effects, 0)
        made.handle(ListUpdate(ListMode.FULL, tuple(entry(f"s{i}", i) for i in range(3))), 0)
        made.now_us = 100 * SECOND_US
        for front in (made, made.alternative):
            for server in front.servers.values():
                server.link.observe(0.0, made.now_us - 1)
        return made, effects

    def day(self, made: ShadowedPolicy) -> None:
        for i in range(30):
            request_session(made, str(i), at=made.now_us + SECOND_US, tenant="t")
            if str(i) in made.sessions:
                made.handle(SessionStarted(str(i), 0, 1000), made.now_us + 1000)
            if i >= 10 and str(i - 10) in made.sessions:
                made.handle(AttemptCompleted(str(i - 10), 0, Outcome.SERVED, True, None), made.now_us + 1000)

    def test_the_same_settings_never_differ(self) -> None:
        made, _ = self.watched()
        self.day(made)
        assert {kind for kind, count in made.counts.items() if count} == {DecisionKind.SAME}

    def test_what_is_decided_is_what_a_front_alone_decides(self) -> None:
        both = (
            self.watched(rung_switch_cost_us=SECOND_US, quotas={"t": 0.1}, over_quota_utility=0.1),
            self.watched(),
        )
        for made, _ in both:
            self.day(made)
        assert both[0][1].calls == both[1][1].calls

    def test_where_another_shape_would_decide_otherwise_is_counted_by_kind(self) -> None:
        made, effects = self.watched(peer_price=0.01, front_count=9, front_index=5)
        for server in made.servers.values():
            server.link.report = 0.85  # it goes by what it knows; the other by its guess of nine fronts
        for server in made.alternative.servers.values():
            server.link.report = None
        request_session(made)
        assert (made.counts[DecisionKind.WOULD_QUERY], made.counts[DecisionKind.OTHER_RUNG]) == (1, 1)
        assert effects.named("send_peer_message") == []  # counted, not carried out
        sub, theirs = made.sessions["a"], made.alternative.sessions["a"]
        assert (theirs.server.address, theirs.rung) == (sub.server.address, sub.rung)

    def test_a_box_that_has_left_since_a_join_there_failed_breaks_nothing(self) -> None:
        made, _ = self.watched()
        request_session(made)
        first = made.sessions["a"].server.address
        made.handle(AttemptCompleted("a", 0, Outcome.SERVER_ERROR, False, None), made.now_us + 1000)
        made.handle(SessionStarted("a", 1, 1000), made.now_us + 1000)
        gone = tuple(entry(f"s{i}", i) for i in range(3) if f"s{i}" != first)
        made.handle(ListUpdate(ListMode.FULL, gone), made.now_us + 60 * SECOND_US)
        assert first not in made.alternative.servers
        made.handle(TopRungChanged("a", 0), made.now_us + 1000)
        assert made.alternative.sessions["a"].rung == made.sessions["a"].rung

    def test_a_throttled_answer_that_another_shape_would_not_give(self) -> None:
        made, effects = self.watched()
        for server in made.servers.values():
            server.link.report = 2.0
        request_session(made)
        assert effects.calls[-1][0] == "reject"
        assert made.counts[DecisionKind.WOULD_ATTEMPT] == 1
        assert (made.sessions, made.alternative.sessions) == ({}, {})


class FrontSideTest(unittest.TestCase):
    def test_fronts_hear_each_other_and_nobody_else(self) -> None:
        addresses, heard = free_ports(2), list[PeerMessage]()
        sides = [FrontMessaging(addresses, i, heard.append) for i in range(2)]
        for side in sides:
            side.start()
            self.addCleanup(side.stop)
        said = PeerMessage(0, loads=(CellLoad(3, 0.5, None, 0),))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(encode(said)[0], sides[1].addresses[1])
            wait_for(lambda: sides[1].lost == 1, "the stranger's message to be passed over")
        sides[0].sock.sendto(b"\xff\xff", sides[1].addresses[1])
        wait_for(lambda: sides[1].lost == 2, "the malformed message to be passed over")
        sides[0].send_message(1, said)
        wait_for(lambda: heard, "a message")
        assert heard == [said]


class WholeShapeTest(FrontTestCase):
    def test_a_request_waits_for_probes_and_then_plays(self) -> None:
        fleet = msgspec.structs.replace(parse(FILE, FrontSettings, "test").fleet, reports_every_ms=0.0)
        shape = ShapeSettings(reports_unasked=False, probes=ProbeSettings(price=0.01))
        self.start_system(fleet=fleet, shape=shape)
        answer = self.ask("once")
        assert answer.status == 201
        counts = self.front.core.counts
        assert counts["probes"] == 2
        wait_for(lambda: counts.get("probes_served") == 2, "both probes")

    def test_a_front_whose_keeper_never_answers_still_answers_in_time(self) -> None:
        addresses = free_ports(2)
        shape = ShapeSettings(peers=PeerSettings(addresses=addresses))
        self.start_system(instance=Instance(index=1, fronts=2), shape=shape)
        answer = self.ask(tenant="a", watch_ms=5000)
        assert answer.status == 201
        assert self.front.core.counts["messages"] >= 2  # its question and its join

    def test_a_watched_front_answers_as_ever_and_tells_its_counts(self) -> None:
        self.start_system(watch=ShapeSettings(switch_cost_ms=500, goal=Goal(worst_room_type=0.5)))
        assert self.ask().status == 201
        told = self.front.core.status().to_json_fields()["watch"]
        assert isinstance(told, dict)
        assert told["same"] >= 1


if __name__ == "__main__":
    unittest.main()
