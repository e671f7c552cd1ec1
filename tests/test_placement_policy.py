"""Each decision of the placement policy, on a state that the test builds."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from math import inf
from random import Random
from typing import Any, ClassVar

from fennelcove.interface import (
    AttemptCompleted,
    CellLoad,
    ClientGone,
    Effect,
    Handover,
    ListMode,
    ListUpdate,
    LoadReport,
    Outcome,
    PeerMessage,
    ProbeCompleted,
    ReportKind,
    Request,
    Scope,
    ServerState,
    SessionStarted,
    TimerFired,
    TimerName,
)
from fennelcove.messages import decode, encode
from fennelcove.placement import Health, LinkLoad, PlacementPolicy, SessionEvent, SessionState
from fennelcove.placement.bitrate_adaptation import lower_rungs, raise_rungs, set_rungs
from fennelcove.placement.health import record_outcome
from fennelcove.placement.quotas import quota_share
from fennelcove.placement.server_selection import utilization_factor
from fennelcove.placement.session_transitions import apply_event
from fennelcove.placement.slow_start import has_slow_start_turn

from tests.helpers import (
    SECOND_US,
    Recorder,
    complete_attempt,
    establish_session,
    list_entry,
    make_policy,
    report_measurement,
    request_session,
)


class UtilizationTest(unittest.TestCase):
    def test_falls_with_free_capacity_and_is_infinite_without(self) -> None:
        assert utilization_factor(0.25) == 2.0
        assert utilization_factor(0.0) == inf
        assert utilization_factor(-0.1) == inf

    def test_server_takes_its_scarcest_resource(self) -> None:
        policy, _ = make_policy()
        server = policy.servers["s0"]
        policy.update_residuals([server])
        by_link, _ = policy.utilization_factors(server, 500.0)
        self.assertAlmostEqual(by_link, (1 - 0.1 - 0.5) ** -0.5)
        server.max_streams = 2
        policy.update_residuals([server])
        self.assertAlmostEqual(policy.utilization_factors(server, 0.0)[0], 0.5**-0.5)

    def test_estimated_loads_fill_no_streams(self) -> None:
        # At low rates, the load assumed for links without a report filled all streams: a front that had just
        # started rejected every request.
        policy, effects = make_policy(3, streams_by_kind={"kind": 4})
        for server in policy.servers.values():
            server.link.report = None
        request_session(policy)
        assert effects.calls[-1][0] == "start_attempt"

    def test_network_takes_the_uplink(self) -> None:
        policy, _ = make_policy()
        policy.racks[0].uplink.observe(0.5, policy.now_us)
        policy.update_residuals([policy.servers["s0"]])
        self.assertAlmostEqual(policy.utilization_factors(policy.servers["s0"], 250.0)[1], 0.3**-0.5)


class HostHookTest(unittest.TestCase):
    def test_a_host_may_exclude_a_server(self) -> None:
        # Otherwise a host that knows of full slots or an unreachable server has to refuse the attempt itself.
        policy, effects = make_policy(3)
        policy.may_use = lambda id, address: address == "s2"
        request_session(policy)
        assert [call[2] for call in effects.named("start_attempt")] == ["s2"]
        policy.may_use = lambda id, address: False
        request_session(policy, "b")
        assert effects.calls[-1][:2] == ("reject", "b")


class DrawTest(unittest.TestCase):
    def test_uniform_when_the_network_is_the_bottleneck(self) -> None:
        policy, _ = make_policy()
        rows = [(policy.servers["s0"], 1.0, 9.0), (policy.servers["s1"], 8.0, 9.0)]
        drawn = Counter(policy.draw_server(rows).address for _ in range(2000))
        self.assertAlmostEqual(drawn["s0"] / 2000, 0.5, delta=0.05)

    def test_weighted_by_the_inverse_factor_when_servers_are(self) -> None:
        policy, _ = make_policy()
        rows = [(policy.servers["s0"], 1.0, 0.5), (policy.servers["s1"], 3.0, 0.5)]
        drawn = Counter(policy.draw_server(rows).address for _ in range(2000))
        self.assertAlmostEqual(drawn["s0"] / 2000, 0.75, delta=0.05)


class RungTest(unittest.TestCase):
    def test_highest_rung_that_leaves_a_replica_feasible(self) -> None:
        policy, effects = make_policy()
        for server in policy.servers.values():
            server.link.observe(0.6, policy.now_us)
        request_session(policy)
        assert effects.named("set_rung") == [("set_rung", "a", 1)]

    def test_rung_is_limited_by_the_top_rung_of_the_client(self) -> None:
        policy, effects = make_policy()
        request_session(policy, top_rung=0)
        assert effects.named("set_rung") == [("set_rung", "a", 0)]

    def test_one_front_one_server_and_an_uplink_without_a_stated_capacity(self) -> None:
        policy, effects = make_policy(1, front_count=1, uplink_kb=0.0)
        request_session(policy)
        assert effects.named("set_rung") == [("set_rung", "a", 2)]
        request_session(policy, "no-replica", first_cell=3, cell_count=1)
        assert effects.calls[-1][0] == "reject"

    def test_rejected_at_once_without_capacity(self) -> None:
        policy, effects = make_policy()
        for server in policy.servers.values():
            server.link.observe(1.0, policy.now_us)
        request_session(policy)
        assert effects.calls == [("reject", "a", 2 * SECOND_US)]

    def test_new_session_leaves_out_steps_while_others_wait_for_better_ones(self) -> None:
        policy, effects = make_policy(1, rung_utilities=(0.5, 0.9, 1.0))
        establish_session(policy)
        policy.sessions["a"].rung = 0
        request_session(policy, "b")
        assert effects.named("set_rung")[-1] == ("set_rung", "b", 1)

    def test_crosses_zones_only_for_more_than_the_price(self) -> None:
        for price, zone in ((0.2, "there"), (0.9, "here")):
            policy, effects = make_policy(2, cross_zone_price=price)
            policy.servers["s1"].zone = "there"
            policy.servers["s0"].link.observe(0.7, policy.now_us)
            policy.mean_offered_utility = 1.0
            request_session(policy)
            assert policy.servers[effects.named("start_attempt")[0][2]].zone == zone


class TitleSurgeTest(unittest.TestCase):
    def test_three_requests_for_a_title_count_for_other_fronts_and_retries_do_not(self) -> None:
        # Where servers failed, the retries of one request counted as a surge and kept its title at low rungs.
        policy, _ = make_policy(3, front_count=10)
        sent_kb = lambda: sum(s.link.unreported_kb - s.own_kb for s in policy.servers.values())  # noqa: E731
        request_session(policy)
        for attempt in range(2):
            complete_attempt(policy, Outcome.SERVER_ERROR, attempt=attempt, delay_us=SECOND_US // 100)
        assert len(policy.sessions["a"].attempts) == 3
        self.assertAlmostEqual(sent_kb(), 0.0)
        request_session(policy, "b")
        self.assertAlmostEqual(sent_kb(), 0.0)
        request_session(policy, "c")
        assert sent_kb() > 100.0


class ResidualCapacityTest(unittest.TestCase):
    def test_own_attempts_count_until_a_report_shows_them(self) -> None:
        link = LinkLoad(1000.0)
        link.observe(0.2, 10)
        link.record_sent(300.0, 20)
        self.assertAlmostEqual(link.utilization(), 0.5)
        link.observe(0.5, 20)
        self.assertAlmostEqual(link.utilization(), 0.5)

    def test_an_older_report_does_not_replace_a_newer_one(self) -> None:
        link = LinkLoad(1000.0)
        link.observe(0.7, 20)
        link.observe(0.1, 10)
        assert link.utilization() == 0.7

    def test_the_first_report_does_not_include_the_new_session(self) -> None:
        policy, _ = make_policy(1)
        establish_session(policy)
        report_measurement(policy, ReportKind.LINK, 0.3, delay_us=0)
        self.assertAlmostEqual(policy.servers["s0"].link.utilization(), 0.3 + 400 / 3000)

    def test_a_link_without_a_report_counts_as_average_and_above_it_if_servers_never_reject(self) -> None:
        # If servers never reject: the mean of 0.2, 0.6, 0.25 and 0.75, plus their mean deviation.
        for threshold, free_share in ((1.0, 0.9 - 0.4), (0.0, 0.9 - 0.45 - 0.225)):
            policy, _ = make_policy(3, rejects_at=threshold)
            for i, reported_share in enumerate((0.2, 0.6, None)):
                policy.servers[f"s{i}"].link.report = reported_share
            self.assertAlmostEqual(policy.residual_link(policy.servers["s2"]), free_share)

    def test_events_handled_late_use_the_list_update_and_the_time_left(self) -> None:
        policy, effects = make_policy(2)  # a front that stalled handles both at once
        update = (list_entry("s0", 0, state=ServerState.LEAVING),)
        policy.handle(ListUpdate(ListMode.INCREMENTAL, update), policy.now_us)
        request_session(policy, timeout_us=SECOND_US // 10)
        ((_, _, server, timeout_us),) = effects.named("start_attempt")
        assert (server, timeout_us) == ("s1", SECOND_US // 10)

    def test_servers_that_left_the_list_are_deleted(self) -> None:
        policy, _ = make_policy(3)
        establish_session(policy, first_cell=1, cell_count=1)
        departed = tuple(list_entry(f"s{i}", i, state=ServerState.LEFT) for i in (0, 1))
        policy.handle(ListUpdate(ListMode.INCREMENTAL, departed), policy.now_us)
        assert list(policy.servers) == ["s1", "s2"]  # its session must still be able to end
        assert policy.replicas[0] == []

    def test_handed_over_session_uses_capacity_at_its_rung(self) -> None:
        policy, _ = make_policy()
        policy.handle(Handover(Request("old", "standard", 5, 0, 3, 2, 0), "s0"), policy.now_us)
        report_measurement(policy, ReportKind.RUNG, 2.0, "old")
        self.assertAlmostEqual(policy.residual_link(policy.servers["s0"]), 0.9 - 0.4)

    def test_short_delivery_marks_the_link_full_until_delivery_is_full(self) -> None:
        policy, _ = make_policy()
        establish_session(policy)
        server = policy.sessions["a"].server
        report_measurement(policy, ReportKind.DELIVERED, 0.9)
        assert policy.residual_link(server) == 0.0
        report_measurement(policy, ReportKind.DELIVERED, 0.99)
        assert policy.residual_link(server) > 0.0


class RungChangeTest(unittest.TestCase):
    def test_short_delivery_counts_as_a_report_while_reports_are_missing(self) -> None:
        policy, _ = make_policy(1)
        establish_session(policy)
        policy.servers["s0"].link.observe(0.95, policy.now_us)
        report_measurement(policy, ReportKind.DELIVERED, 0.8)
        assert policy.sessions["a"].rung == 2  # the recent report takes precedence
        report_measurement(policy, ReportKind.DELIVERED, 0.8, delay_us=6 * SECOND_US)
        assert policy.sessions["a"].rung < 2

    def test_short_delivery_on_a_link_with_capacity_counts_as_a_full_uplink(self) -> None:
        # Without reports on uplinks, racks delivered short for good while their links had capacity.
        for is_reported, rung in ((False, 1), (True, 2)):
            policy, _ = make_policy(1, reports_uplinks=is_reported)
            establish_session(policy)
            policy.servers["s0"].link.observe(0.5, policy.now_us)
            report_measurement(policy, ReportKind.DELIVERED, 0.6)
            assert policy.sessions["a"].rung == rung
            assert (policy.servers["s0"].rack.uplink.report is not None) == (not is_reported)

    def test_short_delivery_of_one_server_does_not_count_against_its_rack(self) -> None:
        # Bursts of another workload on a few servers kept all sessions in their racks at low rungs.
        policy, _ = make_policy(6, reports_uplinks=False)
        establish_session(policy)
        server = policy.sessions["a"].server
        assert len(server.rack.servers) == 3
        server.link.observe(0.5, policy.now_us)
        report_measurement(policy, ReportKind.DELIVERED, 0.6)
        assert server.rack.uplink.report is None
        another = next(s for s in server.rack.servers if s is not server)
        another.link.full_until_us = policy.now_us + 10 * SECOND_US
        another.link.observe(0.5, policy.now_us)
        report_measurement(policy, ReportKind.DELIVERED, 0.6)
        assert server.rack.uplink.report is not None

    def test_a_full_uplink_without_reports_recovers_with_time(self) -> None:
        # One moment of short delivery kept a rack at low rungs for the rest of a scenario: no report showed
        # that it was over.
        policy, _ = make_policy(1, reports_uplinks=False)
        establish_session(policy)
        server = policy.servers["s0"]
        server.link.observe(0.5, policy.now_us)
        report_measurement(policy, ReportKind.DELIVERED, 0.6)
        own_share = server.own_kb / server.rack.uplink.capacity_kb
        assert policy.uplink_utilization(server.rack) > 0.8
        policy.now_us += 1000 * SECOND_US
        self.assertAlmostEqual(policy.uplink_utilization(server.rack), own_share, places=3)

    def test_estimated_loads_of_links_fill_no_uplink(self) -> None:
        policy, _ = make_policy(6)
        for server in policy.servers.values():
            server.link.report = None
        establish_session(policy, first_cell=0, cell_count=1)
        self.assertAlmostEqual(policy.uplink_utilization(policy.racks[0]), policy.servers["s0"].own_kb / 2500)

    def test_a_full_link_lowers_the_rung_of_its_session(self) -> None:
        policy, effects = make_policy(1)
        establish_session(policy)
        report_measurement(policy, ReportKind.LINK, 1.3)
        assert ("set_rung", "a", 1) in effects.calls

    def test_an_overload_reported_to_all_fronts_is_not_relieved_twice(self) -> None:
        policy, effects = make_policy(1)
        establish_session(policy)
        policy.sessions["a"].has_report = True
        report_measurement(policy, ReportKind.LINK, 1.3)
        lowered = len(effects.named("set_rung"))
        report_measurement(policy, ReportKind.LINK, 1.3, delay_us=SECOND_US // 2)
        assert len(effects.named("set_rung")) == lowered

    def test_capacity_beyond_the_margin_raises_the_rung(self) -> None:
        policy, effects = make_policy(1)
        establish_session(policy)
        policy.sessions["a"].rung = 0
        report_measurement(policy, ReportKind.LINK, 0.75)
        assert policy.sessions["a"].rung == 0
        report_measurement(policy, ReportKind.LINK, 0.1)
        assert policy.sessions["a"].rung == 2  # in one change, since each has a cost

    def test_a_step_larger_than_the_excess_is_taken_with_a_probability(self) -> None:
        lowered = 0
        for seed in range(200):
            policy, _ = make_policy(1)
            policy.draw_uniform = Random(seed).random
            establish_session(policy)
            lower_rungs(policy, [policy.sessions["a"].server], 0.125)  # 50 kB/s of a step of 200 kB/s
            lowered += policy.sessions["a"].rung < 2
        self.assertAlmostEqual(lowered / 200, 0.25, delta=0.08)

    def test_the_step_of_most_utility_among_all_sessions_is_lowered_last(self) -> None:
        policy, _ = make_policy(2, rung_utilities=(0.1, 0.8, 1.0))
        establish_session(policy, "low-utility", first_cell=0, cell_count=1)
        establish_session(policy, "high-utility", first_cell=1, cell_count=1)
        policy.sessions["high-utility"].rung = 1
        lower_rungs(policy, [policy.servers["s1"]], 0.2)
        assert policy.sessions["high-utility"].rung == 1
        lower_rungs(policy, [policy.servers["s0"]], 1 / 3)
        assert policy.sessions["low-utility"].rung == 1

    def test_the_report_of_a_failed_attempt_is_recorded(self) -> None:
        policy, _ = make_policy(1)
        policy.servers["s0"].link.as_of_us = 0
        request_session(policy)
        policy.handle(
            AttemptCompleted("a", 0, Outcome.REJECTED, False, LoadReport(1.2, 0.8)), policy.now_us + 1000
        )
        server = policy.servers["s0"]
        assert (server.link.report, server.rack.uplink.report) == (1.2, 0.8)

    def test_one_attempt_at_a_time_and_each_replica_once(self) -> None:
        policy, effects = make_policy(2)
        request_session(policy)
        complete_attempt(policy, Outcome.SERVER_ERROR)
        assert {call[2] for call in effects.named("start_attempt")} == {"s0", "s1"}
        complete_attempt(policy, Outcome.SERVER_ERROR, attempt=1)
        assert len(effects.named("reject")) == 1

    def test_an_attempt_leaves_time_for_another_and_ends_by_the_client_timeout(self) -> None:
        policy, effects = make_policy()
        request_session(policy)
        assert effects.named("start_attempt")[0][3] == SECOND_US // 2
        request_session(policy, "b", timeout_us=SECOND_US // 10)
        assert effects.named("start_attempt")[1][3] == SECOND_US // 10

    def test_a_single_shot_that_may_have_run_is_neither_repeated_nor_rejected(self) -> None:
        for outcome, call in ((Outcome.NO_ANSWER, "fail"), (Outcome.NO_CONNECTION, "start_attempt")):
            policy, effects = make_policy(service_class={"effect": Effect.SINGLE_SHOT})
            request_session(policy)
            effects.calls.clear()
            complete_attempt(policy, outcome)
            assert effects.calls[-1][0] == call

    def test_a_guarded_repeat_stays_in_the_scope_and_lifetime_of_its_key(self) -> None:
        guarded = {"effect": Effect.GUARDED, "scope": Scope.CELL}
        policy, effects = make_policy(service_class=guarded)
        request_session(policy)
        complete_attempt(policy, Outcome.NO_ANSWER)
        assert effects.calls[-1] == ("fail", "a")
        policy, effects = make_policy(service_class={**guarded, "scope": Scope.ALL})
        request_session(policy)
        complete_attempt(policy, Outcome.NO_ANSWER, delay_us=6 * SECOND_US)
        assert effects.calls[-1][0] == "reject"

    def test_no_attempt_is_sent_to_a_draining_or_delisted_server(self) -> None:
        policy, effects = make_policy(2)
        leaving = list_entry("s0", 0, state=ServerState.LEAVING)
        policy.handle(ListUpdate(ListMode.INCREMENTAL, (leaving,)), policy.now_us)
        request_session(policy)
        assert effects.named("start_attempt")[0][2] == "s1"
        policy.handle(ListUpdate(ListMode.FULL, ()), policy.now_us)
        request_session(policy, "b")
        assert effects.calls[-1][0] == "reject"

    def test_a_warming_server_gets_at_most_one_fronts_share_of_its_pace(self) -> None:
        policy, effects = make_policy(1)
        policy.servers["s0"].started_us = policy.now_us - 1
        start_us, sent = policy.now_us, 0
        for tick in range(100):
            request_session(policy, str(tick), start_us + tick * SECOND_US // 10, top_rung=0)
            sent = len(effects.named("start_attempt"))
            if str(tick) in policy.sessions:
                complete_attempt(policy, Outcome.CANCELLED, str(tick), delay_us=0, finished=True)
        assert sent > 3
        assert sent <= 20 / 2

    def test_unused_turns_at_a_warming_server_are_not_all_used_at_once(self) -> None:
        # Twelve fronts had each saved one turn during the warm-up. Six used theirs within 3 s, and the server
        # failed under the load.
        fronts, streams, slack_us = 12, 10, 3 * SECOND_US
        for age_us in range(SECOND_US, 9 * SECOND_US, SECOND_US // 2):
            open_turns = 0
            for index in range(fronts):
                policy, _ = make_policy(
                    1,
                    front_count=fronts,
                    front_index=index,
                    streams_by_kind={"kind": streams},
                    slow_start_slack_us=slack_us,
                )
                server = policy.servers["s0"]
                server.started_us = policy.now_us - age_us
                open_turns += has_slow_start_turn(policy, server)
            pace = streams / (10 * SECOND_US) * (0.5 + 0.5 * age_us / (10 * SECOND_US))
            assert open_turns <= pace * slack_us + 1
            assert open_turns > 0

    def test_repeated_requests_for_a_title_before_a_report_count_for_the_other_fronts(self) -> None:
        # 198 fronts placed one or two sessions each on its few replicas before a report showed the load.
        def added_utilization(title: int) -> list[float]:
            policy, _ = make_policy(3, front_count=10)
            added = []
            for number, id in enumerate("abc"):
                before = sum(server.link.utilization() for server in policy.servers.values())
                establish_session(policy, id, title=5 if number < 2 else title)
                added.append(sum(server.link.utilization() for server in policy.servers.values()) - before)
            return added

        first, second, third = added_utilization(title=5)
        assert second < 2 * first
        assert third > 3 * first
        assert added_utilization(title=6)[2] < 2 * first

    def test_a_server_that_lost_a_connection_warms_up_before_the_list_shows_a_restart(self) -> None:
        policy, _ = make_policy()
        establish_session(policy)
        server = policy.sessions["a"].server
        complete_attempt(policy, Outcome.CONNECTION_LOST, finished=True)
        assert policy.is_warming_up(server)
        assert server.link.report is None

    def test_start_times_on_a_saved_list_are_not_trusted(self) -> None:
        policy, effects = make_policy(1, warm=False)
        policy.list_is_fresh, policy.created_us = False, 1
        policy.handle(ListUpdate(ListMode.SAVED, (list_entry("s0", 0),)), 1)
        assert effects.calls == [("fetch_list",)]
        assert policy.is_warming_up(policy.servers["s0"])

    def test_lowest_rung_and_seats(self) -> None:
        policy, effects = make_policy(service_class={"min_rung": 1, "seats": 1})
        request_session(policy, "low", top_rung=0)
        assert effects.calls[-1][0] == "reject"
        establish_session(policy)
        report_measurement(policy, ReportKind.LINK, 5.0)
        assert policy.sessions["a"].rung == 1
        request_session(policy, "b")
        assert effects.calls[-1] == ("reject", "b", 2 * SECOND_US)
        complete_attempt(policy, Outcome.SERVED, finished=True)
        policy.servers["s0"].link.observe(0.0, policy.now_us)
        request_session(policy, "c")
        assert effects.calls[-1][0] == "start_attempt"

    def test_retry_budget(self) -> None:
        policy, effects = make_policy(retry_base=1.0, retry_window_us=10 * SECOND_US)
        for id in ("a", "b"):
            request_session(policy, id)
            complete_attempt(policy, Outcome.SERVER_ERROR, id)
        assert len(effects.named("start_attempt")) == 3
        assert effects.calls[-1] == ("reject", "b", 2 * SECOND_US)

    def test_attempt_limit(self) -> None:
        policy, effects = make_policy(max_attempts=1)
        request_session(policy)
        complete_attempt(policy, Outcome.SERVER_ERROR)
        assert effects.calls[-1][0] == "reject"

    def test_a_failed_list_poll_is_repeated_after_a_pause(self) -> None:
        policy, effects = make_policy(must_poll_list=True, list_poll_window_us=8 * SECOND_US)
        policy.handle(ListUpdate(ListMode.FAILED, ()), policy.now_us)
        assert effects.calls == [("set_timer", TimerName.POLL_LIST, SECOND_US)]
        policy.handle(TimerFired(TimerName.POLL_LIST), policy.now_us + SECOND_US)
        assert effects.calls[-1] == ("watch_list",)


class HealthTest(unittest.TestCase):
    def test_each_fault_suspends_the_server_for_a_pause(self) -> None:
        for outcome in (
            Outcome.SERVER_ERROR,
            Outcome.NO_ANSWER,
            Outcome.REJECTED,
            Outcome.NO_CONNECTION,
            Outcome.CONNECTION_LOST,
        ):
            policy, _ = make_policy()
            server = policy.servers["s0"]
            record_outcome(policy, server, outcome)
            assert not policy.is_healthy(server), outcome
            policy.now_us = server.suspended_until_us
            assert policy.is_healthy(server), outcome
            assert server.health is Health.TRIAL
            record_outcome(policy, server, Outcome.SERVED)
            assert server.health is Health.WELL

    def test_pause_grows_with_strikes(self) -> None:
        policy, _ = make_policy()
        server = policy.servers["s0"]
        record_outcome(policy, server, Outcome.SERVER_ERROR)
        first = server.suspended_until_us - policy.now_us
        server.health = Health.TRIAL
        record_outcome(policy, server, Outcome.SERVER_ERROR)
        assert server.suspended_until_us - policy.now_us == 2 * first

    def test_a_request_that_every_server_answers_with_an_error_suspends_none(self) -> None:
        # A few clients with requests that no server can serve had all servers suspended for everybody else.
        policy, _ = make_policy(2)
        request_session(policy)
        complete_attempt(policy, Outcome.SERVER_ERROR)
        complete_attempt(policy, Outcome.SERVER_ERROR, attempt=1)
        assert [server.health for server in policy.servers.values()] == [Health.WELL] * 2

    def test_an_error_suspends_its_server_once_another_has_served_the_request(self) -> None:
        policy, effects = make_policy(2)
        request_session(policy)
        complete_attempt(policy, Outcome.SERVER_ERROR)
        policy.handle(SessionStarted("a", 1, SECOND_US // 10), policy.now_us + SECOND_US // 10)
        first, second = (policy.servers[call[2]] for call in effects.named("start_attempt"))
        assert (first.health, second.health) == (Health.SHUT, Health.WELL)

    def test_a_replica_is_tried_if_none_is_healthy(self) -> None:
        policy, effects = make_policy(1)
        record_outcome(policy, policy.servers["s0"], Outcome.SERVER_ERROR)
        request_session(policy)
        assert effects.calls[-1][0] == "start_attempt"

    def test_an_ended_session_releases_its_capacity(self) -> None:
        policy, _ = make_policy(1)
        establish_session(policy)
        complete_attempt(policy, Outcome.SERVED, finished=True)
        self.assertAlmostEqual(policy.residual_link(policy.servers["s0"]), 0.9)
        assert policy.sessions == {}

    def test_a_client_that_disconnects_during_an_attempt_gets_no_answer(self) -> None:
        policy, effects = make_policy()
        request_session(policy)
        policy.handle(ClientGone("a"), policy.now_us)
        effects.calls.clear()
        complete_attempt(policy, Outcome.NO_ANSWER)
        assert effects.calls == []
        policy.handle(ClientGone("a"), policy.now_us)

    def test_an_event_without_a_transition_changes_nothing(self) -> None:
        policy, effects = make_policy()
        establish_session(policy)
        effects.calls.clear()
        apply_event(policy, policy.sessions["a"], SessionEvent.CLIENT_GONE)
        assert policy.sessions["a"].state is SessionState.PLAYING
        assert effects.calls == []


class LoadPollingTest(unittest.TestCase):
    PROBE_SETTINGS: ClassVar[dict[str, Any]] = {"probe_price": 0.01, "has_unsolicited_reports": False}

    def complete_probe(
        self, policy: PlacementPolicy, server: str, link: float, outcome: Outcome = Outcome.SERVED
    ) -> None:
        policy.handle(ProbeCompleted(server, outcome, 1000, LoadReport(link, None)), policy.now_us + 2000)

    def front_without_reports(self, **settings: Any) -> tuple[PlacementPolicy, Recorder]:
        policy, effects = make_policy(**settings)
        for server in policy.servers.values():
            server.link.report = None
        return policy, effects

    def test_two_replicas_are_probed_and_the_request_waits_for_both(self) -> None:
        policy, effects = self.front_without_reports(**self.PROBE_SETTINGS)
        request_session(policy)
        probed = [call[1] for call in effects.named("probe")]
        assert (len(set(probed)), effects.named("start_attempt")) == (2, [])
        self.complete_probe(policy, probed[0], 0.85)
        assert effects.named("start_attempt") == []
        self.complete_probe(policy, probed[1], 0.0)
        assert len(effects.named("start_attempt")) == 1
        self.complete_probe(policy, probed[1], 0.0)  # a duplicate result sends nothing more
        assert len(effects.named("start_attempt")) == 1

    def test_a_lost_reply_delays_nobody_by_more_than_an_eighth_of_the_shorter_limit(self) -> None:
        # With an eighth of the objective alone, a client with a timeout of 50 ms was answered after it.
        policy, effects = self.front_without_reports(**self.PROBE_SETTINGS)
        request_session(policy, timeout_us=SECOND_US // 20)
        ((_, name, delay_us),) = effects.named("set_timer")
        assert (name, delay_us) == (TimerName.POLL_DEADLINE, SECOND_US // 160)
        policy.handle(TimerFired(name), policy.now_us + delay_us)
        assert len(effects.named("start_attempt")) == 1

    def test_a_client_that_disconnects_while_it_waits_gets_no_answer(self) -> None:
        policy, effects = self.front_without_reports(**self.PROBE_SETTINGS)
        request_session(policy)
        policy.handle(ClientGone("a"), policy.now_us)
        for _, server in effects.named("probe"):
            self.complete_probe(policy, server, 0.0)
        policy.handle(TimerFired(TimerName.POLL_DEADLINE), policy.now_us + SECOND_US)
        assert (policy.sessions, effects.named("start_attempt")) == ({}, [])

    def test_none_is_probed_while_all_recent_reports_are_full(self) -> None:
        policy, effects = make_policy(**self.PROBE_SETTINGS)
        for server in policy.servers.values():
            server.link.report, server.link.as_of_us = 1.2, policy.now_us - 2 * SECOND_US
        request_session(policy)
        assert [call[0] for call in effects.calls] == ["reject"]

    def test_capacity_found_by_a_probe_is_used_by_the_front_that_sent_it(self) -> None:
        policy, effects = make_policy(front_count=50, **self.PROBE_SETTINGS)
        establish_session(policy, top_rung=2)
        session = policy.sessions["a"]
        set_rungs(policy, {session: 0})
        effects.calls.clear()
        self.complete_probe(policy, session.server.address, 0.2)
        assert effects.named("set_rung") == [("set_rung", "a", 2)]
        interval_us = session.server.probe_interval_us
        self.complete_probe(policy, session.server.address, 1.0)
        assert session.server.probe_interval_us == 2 * interval_us

    def test_a_probe_that_does_not_pay_now_is_scheduled_again(self) -> None:
        # Scheduled only once, a session whose link was marked full at that time was never raised again.
        for price, probe_count in ((0.01, 1), (9.0, 0)):
            policy, effects = make_policy(probe_price=price, has_unsolicited_reports=False)
            establish_session(policy)
            set_rungs(policy, {policy.sessions["a"]: 0})
            server = policy.sessions["a"].server
            server.link.full_until_us = policy.now_us + 60 * SECOND_US
            for full_until_us, probes in ((server.link.full_until_us, 0), (0, probe_count)):
                server.link.full_until_us = full_until_us
                assert server.next_probe_us is not None
                policy.handle(TimerFired(TimerName.PROBE), server.next_probe_us)
                assert len(effects.named("probe")) == probes

    def test_a_shard_owner_adds_announced_rates_and_answers_with_unknown_loads(self) -> None:
        policy, effects = self.front_without_reports(front_count=3, peer_price=0.01)
        policy.servers["s1"].link.observe(0.3, policy.now_us)
        policy.handle(PeerMessage(2, sent_rates=((1, 200), (9, 200))), policy.now_us + 1000)
        policy.handle(PeerMessage(2, polled_cells=(1, 2, 9)), policy.now_us)
        ((_, receiver, message),) = effects.named("send_peer_message")
        assert receiver == 2
        assert [(load.cell, load.link) for load in message.loads] == [(1, 0.5), (2, None)]

    def test_a_request_waits_for_the_shard_owner_and_then_uses_its_loads(self) -> None:
        policy, effects = self.front_without_reports(front_count=9, front_index=5, peer_price=0.01)
        request_session(policy)
        poll = ("send_peer_message", 0, PeerMessage(5, polled_cells=(0, 1, 2)))
        assert effects.named("send_peer_message") == [poll]
        loads = tuple(CellLoad(cell, link, None, 0) for cell, link in enumerate((0.9, 0.0, 0.9)))
        policy.handle(PeerMessage(0, loads=loads), policy.now_us + 10_000)
        ((_, _, server, _),) = effects.named("start_attempt")
        assert server == "s1"
        sent = ("send_peer_message", 0, PeerMessage(5, sent_rates=((1, 400),)))
        assert effects.named("send_peer_message")[-1] == sent

    def test_a_title_stored_on_all_servers_is_polled_for_at_a_few(self) -> None:
        # 6,000 requests at once took over 10 s: each polled all cells and searched for its replies among all.
        policy, effects = self.front_without_reports(
            servers=60, front_count=90, front_index=80, cell_count=60, peer_price=0.01
        )
        request_session(policy, cell_count=60)
        polled = [
            cell for _, _, message in effects.named("send_peer_message") for cell in message.polled_cells
        ]
        assert len(polled) == 8
        assert sum(len(server.waiting_sessions) for server in policy.servers.values()) == 8
        policy.handle(TimerFired(TimerName.POLL_DEADLINE), policy.now_us + SECOND_US)
        assert policy.polling_sessions == {}
        assert not any(server.waiting_sessions for server in policy.servers.values())
        effects.calls.clear()
        policy.handle(PeerMessage(3, polled_cells=tuple(range(60))), policy.now_us)
        assert [len(message.loads) for _, _, message in effects.named("send_peer_message")] == [8]

    def test_a_fault_is_reported_to_the_shard_owner_as_a_full_server(self) -> None:
        policy, effects = make_policy(front_count=9, front_index=5, peer_price=0.01)
        request_session(policy)
        complete_attempt(policy, Outcome.NO_ANSWER)
        sent = [message.loads for _, _, message in effects.named("send_peer_message") if message.loads]
        assert [load.link for loads in sent for load in loads] == [inf]

    def test_a_load_from_before_the_restart_of_a_server_is_ignored(self) -> None:
        policy, _ = self.front_without_reports(front_count=9, front_index=5, peer_price=0.01)
        policy.servers["s0"].started_us = policy.now_us - SECOND_US
        policy.handle(PeerMessage(0, loads=(CellLoad(0, 0.5, None, 2 * SECOND_US),)), policy.now_us)
        assert policy.servers["s0"].link.report is None

    def test_encoded_messages_are_decoded_and_malformed_ones_are_not(self) -> None:
        message = PeerMessage(3, loads=tuple(CellLoad(cell, 0.5, None, 300_000) for cell in range(60)))
        parts = encode(message)
        assert max(map(len, parts)) <= 256
        decoded = [decode(3, part) for part in parts]
        assert tuple(load for part in decoded if part for load in part.loads) == message.loads
        largest = PeerMessage(1, sent_rates=((7, 65_535),))
        assert decode(1, encode(PeerMessage(1, sent_rates=((7, 99999),)))[0]) == largest
        for raw in (b"", b"\x01", b"\x02abc", b"\x09ab", bytes(257)):
            assert decode(3, raw) is None, raw


class UtilityTest(unittest.TestCase):
    def test_a_raise_must_repay_its_switch_in_the_time_left(self) -> None:
        policy, effects = make_policy(rung_switch_cost_us=SECOND_US)
        establish_session(policy, expected_play_us=SECOND_US)
        set_rungs(policy, {policy.sessions["a"]: 0})
        effects.calls.clear()
        raise_rungs(policy, policy.sessions["a"].server, 0)
        assert effects.named("set_rung") == []
        policy.sessions["a"].expected_play_us = 60 * SECOND_US
        raise_rungs(policy, policy.sessions["a"].server, None)
        assert effects.named("set_rung") == [("set_rung", "a", 2)]  # both steps in one change

    def test_an_exceeded_estimate_of_the_playing_time_leaves_half_of_it(self) -> None:
        policy, _ = make_policy()
        establish_session(policy, expected_play_us=10 * SECOND_US)
        policy.now_us += 60 * SECOND_US
        assert policy.remaining_play_us(policy.sessions["a"]) == 5 * SECOND_US

    def test_a_request_over_its_tenants_quota_counts_less(self) -> None:
        policy, _ = make_policy(
            quotas={"t": 0.2}, over_quota_utility=0.1
        )  # one request in ten seconds for this front of two
        shares = [
            quota_share(policy, Request(str(i), "standard", 5, 0, 3, 2, SECOND_US, "t")) for i in range(4)
        ]
        assert (shares[0], round(shares[3], 2)) == (1.0, 0.46)
        repeated = quota_share(policy, Request("r", "standard", 5, 0, 3, 2, SECOND_US, "t", is_repeat=True))
        assert repeated == shares[3]
        assert quota_share(policy, Request("n", "standard", 5, 0, 3, 2, SECOND_US)) == 1.0

    def test_the_worst_served_class_counts_a_second_time(self) -> None:
        policy, _ = make_policy(worst_class_weight=0.5)
        other = replace(policy.settings.service_classes["standard"], priority_weight=2.0)
        policy.settings.service_classes["other"] = other
        establish_session(policy, "a")
        establish_session(policy, "b", service_class="other")
        set_rungs(policy, {policy.sessions["a"]: 0})
        policy.class_utilities_at_us = -1
        assert policy.class_utility(policy.sessions["b"].service_class) == 2.0
        assert policy.class_utility(policy.sessions["a"].service_class) == 1 + 0.5 * 3

    def test_the_lowest_rung_may_use_the_reserve(self) -> None:
        policy, effects = make_policy()
        for server in policy.servers.values():
            server.link.observe(0.85, policy.now_us)
        request_session(policy)
        assert effects.named("set_rung") == [("set_rung", "a", 0)]


class DeterminismTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_effects(self) -> None:
        calls = []
        for _ in range(2):
            policy, effects = make_policy(3)
            for i in range(20):
                request_session(policy, str(i), title=i)
            calls.append(effects.calls)
        self.assertEqual(*calls)


if __name__ == "__main__":
    unittest.main()


class SeatTableTest(unittest.TestCase):
    def test_a_title_without_sessions_has_no_entry_in_the_seat_table(self) -> None:
        # Otherwise each title that was ever requested stays in memory until the process ends.
        policy, _ = make_policy()
        for title in range(50):
            establish_session(policy, f"session-{title}", title=title)
            complete_attempt(policy, Outcome.SERVED, f"session-{title}", finished=True)
        establish_session(policy, "last", title=7)
        assert {title for title, _ in policy.seats} == {7}
