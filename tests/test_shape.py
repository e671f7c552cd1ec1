"""Settings of fleets with optional features, the front's use of them, and the comparison of two shapes."""

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
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import (
    FrontSettings,
    Instance,
    PeerSettings,
    ProbeSettings,
    ShapeSettings,
    TenantQuota,
    UtilityWeights,
)
from fennelcove.settings.validation import find_violations, to_policy_settings
from fennelcove.upstream.front_messaging import FrontMessaging

from tests.front_case import SETTINGS as SETTINGS_TEXT
from tests.front_case import FrontTestCase, wait_for
from tests.helpers import SECOND_US, SETTINGS, Recorder, list_entry, request_session


def unused_addresses(count: int) -> list[str]:
    """Addresses on loopback on which no process listens."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return [f"127.0.0.1:{port}" for port in ports]


class ShapeSettingsTest(unittest.TestCase):
    def test_every_default_turns_its_feature_off(self) -> None:
        policy_settings = to_policy_settings(parse(SETTINGS_TEXT, FrontSettings, "test"))
        defaults = {"probe_price": None, "peer_price": None, "has_unsolicited_reports": True, "quotas": {}}
        defaults |= {"over_quota_utility": 1.0, "worst_class_weight": 0.0, "rung_switch_cost_us": 0}
        assert {name: getattr(policy_settings, name) for name in defaults} == defaults

    def test_the_policy_gets_the_settings_in_microseconds(self) -> None:
        shape = """(shape (switch-cost-ms 650) (goal (whole 0.5) (worst-room-type 0.25))
          (over-quota-worth 0.1)
          (tenants (item (name "a") (quota-per-s 18))) (reports-unasked false) (probes (price 0.01))
          (peers (price 0.012) (addresses "127.0.0.1:9"))))"""
        policy_settings = to_policy_settings(
            parse(SETTINGS_TEXT.rstrip()[:-1] + shape, FrontSettings, "test")
        )
        assert (
            policy_settings.rung_switch_cost_us,
            policy_settings.worst_class_weight,
            policy_settings.quotas,
        ) == (650000, 0.5, {"a": 18.0})
        assert (
            policy_settings.probe_price,
            policy_settings.peer_price,
            policy_settings.has_unsolicited_reports,
        ) == (0.01, 0.012, False)

    def test_each_violated_constraint_states_its_path(self) -> None:
        front = parse(SETTINGS_TEXT, FrontSettings, "test")
        duplicate_tenants = ShapeSettings(
            tenants=[TenantQuota(name="a", quota_per_s=1), TenantQuota(name="a", quota_per_s=2)]
        )
        for shape, path in (
            (duplicate_tenants, "tenants[1].name"),
            (ShapeSettings(reports_unasked=False), "probes"),
            (ShapeSettings(peers=PeerSettings(addresses=["127.0.0.1:1", "127.0.0.1:2"])), "peers.addresses"),
        ):
            assert f"shape.{path}" in next(find_violations(msgspec.structs.replace(front, shape=shape)))
            assert f"watch.{path}" in next(find_violations(msgspec.structs.replace(front, watch=shape)))
        many_cells = msgspec.structs.replace(
            front.fleet, cells=70_000
        )  # a message encodes a cell in two bytes
        peers = ShapeSettings(peers=PeerSettings(addresses=["127.0.0.1:1"]))
        assert "shape.peers: found 70000" in next(
            find_violations(msgspec.structs.replace(front, fleet=many_cells, shape=peers))
        )


class ShadowPolicyTest(unittest.TestCase):
    def shadowed_policy(self, **alternative: Any) -> tuple[ShadowedPolicy, Recorder]:
        effects = Recorder()
        policy = ShadowedPolicy(SETTINGS, replace(SETTINGS, **alternative), 7, effects, 0)
        policy.handle(ListUpdate(ListMode.FULL, tuple(list_entry(f"s{i}", i) for i in range(3))), 0)
        policy.now_us = 100 * SECOND_US
        for front in (policy, policy.alternative):
            for server in front.servers.values():
                server.link.observe(0.0, policy.now_us - 1)
        return policy, effects

    def run_sessions(self, policy: ShadowedPolicy) -> None:
        for i in range(30):
            request_session(policy, str(i), time_us=policy.now_us + SECOND_US, tenant="t")
            if str(i) in policy.sessions:
                policy.handle(SessionStarted(str(i), 0, 1000), policy.now_us + 1000)
            if i >= 10 and str(i - 10) in policy.sessions:
                policy.handle(
                    AttemptCompleted(str(i - 10), 0, Outcome.SERVED, True, None), policy.now_us + 1000
                )

    def test_equal_settings_make_the_same_decisions(self) -> None:
        policy, _ = self.shadowed_policy()
        self.run_sessions(policy)
        assert {kind for kind, count in policy.counts.items() if count} == {DecisionKind.SAME}

    def test_the_alternative_does_not_change_decisions(self) -> None:
        cases = (
            self.shadowed_policy(rung_switch_cost_us=SECOND_US, quotas={"t": 0.1}, over_quota_utility=0.1),
            self.shadowed_policy(),
        )
        for policy, _ in cases:
            self.run_sessions(policy)
        assert cases[0][1].calls == cases[1][1].calls

    def test_different_decisions_are_counted_by_kind(self) -> None:
        policy, effects = self.shadowed_policy(peer_price=0.01, front_count=9, front_index=5)
        for server in policy.servers.values():
            server.link.report = 0.85  # known here; the alternative estimates it for nine fronts
        for server in policy.alternative.servers.values():
            server.link.report = None
        request_session(policy)
        assert (policy.counts[DecisionKind.WOULD_QUERY], policy.counts[DecisionKind.OTHER_RUNG]) == (1, 1)
        assert effects.named("send_peer_message") == []  # counted, not executed
        session, alternative_session = policy.sessions["a"], policy.alternative.sessions["a"]
        assert (alternative_session.server.address, alternative_session.rung) == (
            session.server.address,
            session.rung,
        )

    def test_a_server_that_left_after_a_failed_attempt_is_tolerated(self) -> None:
        policy, _ = self.shadowed_policy()
        request_session(policy)
        first = policy.sessions["a"].server.address
        policy.handle(AttemptCompleted("a", 0, Outcome.SERVER_ERROR, False, None), policy.now_us + 1000)
        policy.handle(SessionStarted("a", 1, 1000), policy.now_us + 1000)
        remaining = tuple(list_entry(f"s{i}", i) for i in range(3) if f"s{i}" != first)
        policy.handle(ListUpdate(ListMode.FULL, remaining), policy.now_us + 60 * SECOND_US)
        assert first not in policy.alternative.servers
        policy.handle(TopRungChanged("a", 0), policy.now_us + 1000)
        assert policy.alternative.sessions["a"].rung == policy.sessions["a"].rung

    def test_a_rejection_that_the_alternative_would_not_make_is_counted(self) -> None:
        policy, effects = self.shadowed_policy()
        for server in policy.servers.values():
            server.link.report = 2.0
        request_session(policy)
        assert effects.calls[-1][0] == "reject"
        assert policy.counts[DecisionKind.WOULD_ATTEMPT] == 1
        assert (policy.sessions, policy.alternative.sessions) == ({}, {})


class FrontMessagingTest(unittest.TestCase):
    def test_fronts_receive_messages_of_other_fronts_only(self) -> None:
        addresses, received = unused_addresses(2), list[PeerMessage]()
        messaging = [FrontMessaging(addresses, i, received.append) for i in range(2)]
        for endpoint in messaging:
            endpoint.start()
            self.addCleanup(endpoint.stop)
        message = PeerMessage(0, loads=(CellLoad(3, 0.5, None, 0),))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_sender:
            unknown_sender.sendto(encode(message)[0], messaging[1].addresses[1])
            wait_for(lambda: messaging[1].lost_count == 1, "the message of an unknown sender to be ignored")
        messaging[0].sock.sendto(b"\xff\xff", messaging[1].addresses[1])
        wait_for(lambda: messaging[1].lost_count == 2, "the malformed message to be ignored")
        messaging[0].send_message(1, message)
        wait_for(lambda: received, "a message")
        assert received == [message]


class FrontWithShapeTest(FrontTestCase):
    def test_a_request_waits_for_probes_and_then_plays(self) -> None:
        fleet = msgspec.structs.replace(
            parse(SETTINGS_TEXT, FrontSettings, "test").fleet, reports_every_ms=0.0
        )
        shape = ShapeSettings(reports_unasked=False, probes=ProbeSettings(price=0.01))
        self.start_system(fleet=fleet, shape=shape)
        response = self.request_session("once")
        assert response.status == 201
        counts = self.front.core.counts
        assert counts["probes"] == 2
        wait_for(lambda: counts.get("probes_served") == 2, "both probes")

    def test_a_front_responds_in_time_if_its_peer_is_silent(self) -> None:
        addresses = unused_addresses(2)
        shape = ShapeSettings(peers=PeerSettings(addresses=addresses))
        self.start_system(instance=Instance(index=1, fronts=2), shape=shape)
        response = self.request_session(tenant="a", watch_ms=5000)
        assert response.status == 201
        assert self.front.core.counts["messages"] >= 2  # the query and the attempt

    def test_a_front_with_an_alternative_shape_responds_and_reports_counts(self) -> None:
        self.start_system(watch=ShapeSettings(switch_cost_ms=500, goal=UtilityWeights(worst_room_type=0.5)))
        assert self.request_session().status == 201
        counts = self.front.core.status().to_json_fields()["watch"]
        assert isinstance(counts, dict)
        assert counts["same"] >= 1


if __name__ == "__main__":
    unittest.main()
