"""Tests of disruption limits, permits, rollout plans and drains, with a model check and planted faults."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from unittest import mock

from fennelcove.rollouts import plan_execution, rollout_plan
from fennelcove.rollouts.available_capacity import AvailableCapacity
from fennelcove.rollouts.canary_analysis import WINDOW_US, CanaryAnalysis
from fennelcove.rollouts.coordinator import Command, CommandKind, CommandOutcome, PersistedState
from fennelcove.rollouts.disruption_budget import DisruptionLimit, DisruptionMap, ExceededLimit, Location
from fennelcove.rollouts.drain_states import DrainAction, DrainState
from fennelcove.rollouts.draining import Drain, DrainTimes
from fennelcove.rollouts.fleet_view import FleetView
from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    HaltReason,
    Heartbeat,
    LeaderVoteRequest,
    OpenRequest,
    PermitRequest,
    PermitVerdict,
    PermitVote,
    PlaceKind,
    ProposalAck,
    RolloutMessage,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_requester import Requester
from fennelcove.rollouts.permit_settings import PermitSettings
from fennelcove.rollouts.place_health import PlaceHealth
from fennelcove.rollouts.record_acceptor import Acceptor
from fennelcove.rollouts.rollout_plan import RolloutEvent
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.rollout_model import HEARTBEAT_US, PLAN, FleetModel
from benchmarks.rollout_model_check import planted_fault, random_walk, search_states

LIMIT = DisruptionLimit(total=1, per_zone=1, capacity_margin=0.0)
RECOVERED_US = 10_000_000  # the recovery time of all grantors and acceptors is over


def make_grantor(
    kind: PlaceKind = PlaceKind.FRONT,
    limit: DisruptionLimit = LIMIT,
    front_count: int = 5,
    has_full_history: bool = True,
) -> Grantor:
    permit_settings = PermitSettings(
        kind,
        front_count,
        0,
        limit,
        drain_visible_us=0 if kind is PlaceKind.FRONT else 3_000_000,
        health_timeout_us=1 << 40,
    )
    grantor = Grantor(
        permit_settings, DisruptionMap({i: Location(i) for i in range(front_count)}), 0, has_full_history
    )
    for place in range(front_count if has_full_history else 0):
        grantor.observe(place, 1, 1, is_serving=True)
    return grantor


def make_request(
    place: int, number: int = 1, incarnation: int = 1, kind: PlaceKind = PlaceKind.FRONT
) -> PermitRequest:
    return PermitRequest(incarnation, number, kind, place)


class DisruptionLimitTest(unittest.TestCase):
    def test_each_limit_applies_only_to_places_that_it_concerns(self) -> None:
        places = {
            0: Location(0, 10, 4, frozenset({1, 2})),
            1: Location(0, 10, 4, frozenset({1})),
            2: Location(1, 10, 4, frozenset({1})),
            3: Location(1, 10, 4, frozenset({3}), is_warm=False),
        }
        disruption_map = DisruptionMap(places)
        wide_limit = DisruptionLimit(4, 4, capacity_margin=0.0)
        assert disruption_map.exceeded_limit(wide_limit, 1, ()) is None
        assert disruption_map.exceeded_limit(DisruptionLimit(1, 4), 1, (2,)) is ExceededLimit.TOTAL
        assert disruption_map.exceeded_limit(DisruptionLimit(4, 1), 1, (0,)) is ExceededLimit.ZONE
        assert disruption_map.exceeded_limit(replace(wide_limit, per_zone=1), 1, (3,)) is None
        assert (
            disruption_map.exceeded_limit(replace(wide_limit, per_title=1), 1, (2,))
            is ExceededLimit.TITLE_REPLICAS
        )
        # Place 0 has the last replica of title 2.
        assert disruption_map.exceeded_limit(wide_limit, 0, ()) is ExceededLimit.LAST_WARM_REPLICA
        assert disruption_map.exceeded_limit(wide_limit, 3, ()) is None  # a cold replica serves no sessions
        assert (
            disruption_map.exceeded_limit(replace(wide_limit, capacity_margin=0.5), 1, ())
            is ExceededLimit.LOAD
        )


class GrantorTest(unittest.TestCase):
    def test_promises_are_serialized_and_freed_only_by_heartbeats_of_the_place(self) -> None:
        grantor = make_grantor()
        assert grantor.on_permit_request(1, make_request(1), RECOVERED_US).verdict is PermitVerdict.GRANTED
        assert grantor.on_permit_request(2, make_request(2), RECOVERED_US).verdict is PermitVerdict.BUSY
        granted_heartbeat = Heartbeat(
            1, 1, last_request_number=1, open_requests=(OpenRequest(PlaceKind.FRONT, 1, 1, True),)
        )
        grantor.on_heartbeat(1, granted_heartbeat, RECOVERED_US, RECOVERED_US)
        late_us = RECOVERED_US + 1_000_000_000
        assert grantor.on_permit_request(2, make_request(2), late_us).verdict is PermitVerdict.LIMIT_REACHED
        # A new incarnation that does not serve yet.
        grantor.on_heartbeat(1, Heartbeat(2, 1, serving_state=ServingState.STARTING), late_us, late_us)
        assert grantor.on_permit_request(2, make_request(2), late_us).verdict is PermitVerdict.LIMIT_REACHED
        grantor.on_heartbeat(1, Heartbeat(2, 2), late_us, late_us)
        # A late duplicate.
        assert grantor.on_permit_request(1, make_request(1), late_us).verdict is PermitVerdict.STALE
        assert grantor.on_permit_request(2, make_request(2), late_us).verdict is PermitVerdict.GRANTED

    def test_a_released_request_frees_its_place_and_a_repeated_request_gets_the_same_vote(self) -> None:
        grantor = make_grantor()
        first = grantor.on_permit_request(1, make_request(1), RECOVERED_US)
        assert grantor.on_permit_request(1, make_request(1), RECOVERED_US + 1) == first
        grantor.on_heartbeat(
            1,
            Heartbeat(1, 1, serving_state=ServingState.DRAINING, last_request_number=1),
            RECOVERED_US,
            RECOVERED_US,
        )
        assert grantor.promised_places() == {1}  # drained without a permit in the meantime
        grantor.on_heartbeat(1, Heartbeat(1, 2, last_request_number=1), RECOVERED_US, RECOVERED_US)
        assert grantor.promised_places() == set()

    def test_a_promise_does_not_expire_while_the_grantor_is_paused(self) -> None:
        grantor = make_grantor()
        grantor.on_permit_request(1, make_request(1), RECOVERED_US)
        assert (
            grantor.on_permit_request(2, make_request(2), RECOVERED_US + 3600000000).verdict
            is PermitVerdict.LIMIT_REACHED
        )

    def test_a_new_incarnation_treats_all_places_as_promised_until_heartbeats_arrive(
        self,
    ) -> None:
        grantor = make_grantor(has_full_history=False)
        assert grantor.on_permit_request(1, make_request(1), 1000).verdict is PermitVerdict.RECOVERING
        assert (
            grantor.on_permit_request(1, make_request(1), RECOVERED_US).verdict is PermitVerdict.LIMIT_REACHED
        )
        for place in range(5):
            # Acknowledges a heartbeat that was sent before the recovery time was over.
            grantor.on_heartbeat(place, Heartbeat(1, 1), 1_000, RECOVERED_US)
        assert len(grantor.promised_places()) == 5
        for place in range(5):
            grantor.on_heartbeat(place, Heartbeat(1, 2), RECOVERED_US, RECOVERED_US)
        assert grantor.on_permit_request(1, make_request(1), RECOVERED_US).verdict is PermitVerdict.GRANTED

    def test_a_server_observed_serving_before_its_drain_is_visible_stays_promised(self) -> None:
        """Guards against a promise that ends before all fronts can observe the drain."""
        grantor = make_grantor(PlaceKind.BOX)
        grantor.on_permit_request(1, make_request(3, kind=PlaceKind.BOX), RECOVERED_US)
        grantor.observe(3, RECOVERED_US + 2_200_000, RECOVERED_US + 2_200_000, is_serving=True)
        assert (
            grantor.on_permit_request(2, make_request(4, kind=PlaceKind.BOX), RECOVERED_US + 2200000).verdict
            is PermitVerdict.LIMIT_REACHED
        )
        grantor.observe(3, RECOVERED_US + 6_000_000, RECOVERED_US + 6_000_000, is_serving=True)
        assert (
            grantor.on_permit_request(2, make_request(4, kind=PlaceKind.BOX), RECOVERED_US + 6000000).verdict
            is PermitVerdict.GRANTED
        )

    def test_crashed_places_count_towards_limits_and_written_off_places_do_not(self) -> None:
        grantor = make_grantor()
        grantor.observe(4, RECOVERED_US, RECOVERED_US, is_serving=False)
        assert (
            grantor.on_permit_request(1, make_request(1), RECOVERED_US).verdict is PermitVerdict.LIMIT_REACHED
        )
        grantor.write_off(4, RECOVERED_US)
        assert grantor.on_permit_request(1, make_request(1), RECOVERED_US).verdict is PermitVerdict.GRANTED

    def test_three_crossing_requests_do_not_exceed_a_limit_of_two(self) -> None:
        """Each of three grantors receives two of the three requests, in different orders."""

        def count_granted() -> int:
            permit_settings = [
                PermitSettings(
                    PlaceKind.FRONT,
                    3,
                    i,
                    DisruptionLimit(2, 3, capacity_margin=0.0),
                    health_timeout_us=1 << 40,
                )
                for i in range(3)
            ]
            grantors = [
                Grantor(front_settings, DisruptionMap({i: Location(0) for i in range(3)}), 0, True)
                for front_settings in permit_settings
            ]
            for grantor in grantors:
                for place in range(3):
                    grantor.observe(place, 1, 1, is_serving=True)
            requesters = [
                Requester(front_settings, 1, iter(range(1, 9))) for front_settings in permit_settings
            ]
            for i in range(3):
                requesters[i].request_permit(i, RECOVERED_US)
            requests = [requester.next_request(RECOVERED_US) for requester in requesters]
            granted_count = 0
            for first, second in ((0, 1), (1, 2), (2, 0)):  # requests received by grantor `first`
                for index in (first, second):
                    request = requests[index]
                    assert request is not None
                    vote = grantors[first].on_permit_request(index, request, RECOVERED_US)
                    local_grantor = Grantor(
                        permit_settings[index],
                        grantors[index].disruption_map,
                        0,
                        True,
                        health=PlaceHealth(dict(grantors[index].health.views)),
                    )
                    granted_count += (
                        requesters[index].on_vote(first, vote, local_grantor, 0.5, RECOVERED_US) is not None
                    )
            return granted_count

        assert count_granted() <= 2
        with planted_fault("open"):
            assert count_granted() == 3

    def test_a_permit_is_not_begun_after_its_window_or_beyond_the_places_named_in_votes(self) -> None:
        permit_settings = PermitSettings(PlaceKind.FRONT, 3, 0, LIMIT, health_timeout_us=1 << 40)
        for begun_us, promised_places, expected in ((0, (), True), (3_000_000, (), False), (0, (1,), False)):
            requester = Requester(permit_settings, 1, iter(range(1, 9)))
            requester.request_permit(0, RECOVERED_US)
            assert requester.next_request(RECOVERED_US) is not None
            for sender in (1, 2):
                requester.on_vote(
                    sender,
                    PermitVote(1, 1, PermitVerdict.GRANTED, promised_places),
                    make_grantor(front_count=3),
                    0.5,
                    RECOVERED_US,
                )
            assert requester.begin(0, RECOVERED_US + begun_us) is expected

    def test_planted_faults_are_detected(self) -> None:
        cases = (
            ("forgets", self.test_a_promise_does_not_expire_while_the_grantor_is_paused),
            (
                "trusts",
                self.test_a_new_incarnation_treats_all_places_as_promised_until_heartbeats_arrive,
            ),
            (
                "careless",
                self.test_a_permit_is_not_begun_after_its_window_or_beyond_the_places_named_in_votes,
            ),
        )
        for name, test in cases:
            with self.subTest(name), planted_fault(name), self.assertRaises(AssertionError):
                test()


def start_fleet(size: int = 5, zones: int = 1) -> FleetModel:
    model = FleetModel(size, now_us=1_000_000, zones=zones)
    model.start()
    run_steps(model, 16)
    return model


def run_steps(model: FleetModel, steps: int, partition: frozenset[int] = frozenset()) -> None:
    for step in range(steps):
        model.step(step * 0.37 % 1, partition)


def run_until_settled(model: FleetModel, steps: int = 400) -> RolloutRecord:
    """Run until all fronts have the same record and its phase is not active."""
    for _ in range(steps):
        run_steps(model, 1)
        records = {front.coordinator.record() for front in model.fronts if front.coordinator is not None}
        if len(records) == 1 and next(iter(records)).phase not in ACTIVE_PHASES:
            return records.pop()
    raise AssertionError([front.coordinator and front.coordinator.record() for front in model.fronts])


def leader_index(model: FleetModel) -> int:
    return (
        max(front.coordinator.record().term for front in model.fronts if front.coordinator is not None)
        % model.size
    )


class RolloutTest(unittest.TestCase):
    def tearDown(self) -> None:
        assert (self.model.violations if hasattr(self, "model") else []) == []

    def test_a_plan_completes_on_all_fronts_and_rolls_back_on_all_fronts(self) -> None:
        model = self.model = start_fleet()
        model.command(model.fronts[2], CommandKind.START, PLAN)
        assert run_until_settled(model).phase is RolloutPhase.DONE
        assert {front.version for front in model.fronts} == {2}
        model.command(model.fronts[0], CommandKind.ROLL_BACK)
        assert run_until_settled(model).phase is RolloutPhase.UNDONE
        assert {front.version for front in model.fronts} == {1}

    def test_a_plan_settles_when_the_leader_crashes_at_any_step(self) -> None:
        for at in range(0, 60, 4):
            with self.subTest(at):
                model = self.model = start_fleet()
                model.command(model.fronts[2], CommandKind.START, PLAN)
                run_steps(model, 2 + at)
                crashed = model.fronts[leader_index(model)]
                model.crash(crashed)
                crashed.next_version = crashed.version
                crashed.next_change_us = model.now_us + 10 * HEARTBEAT_US
                record = run_until_settled(model)
                # An ordered front that crashed and restarted unchanged seems to have rejected the version.
                assert record.phase is RolloutPhase.DONE or record.reason is HaltReason.WRONG, record
                assert model.violations == []

    def test_a_partitioned_minority_drains_nothing_and_the_majority_continues(self) -> None:
        model = self.model = start_fleet()
        model.command(model.fronts[2], CommandKind.START, replace(PLAN, out_ms=60_000))
        run_steps(model, 8)
        partition = frozenset({leader_index(model), (leader_index(model) + 1) % 5})
        states_before = {front.index: front.serving_state for front in model.fronts}
        run_steps(model, 40, partition)
        for index in partition:
            if states_before[index] is ServingState.SERVING:
                assert model.fronts[index].serving_state is ServingState.SERVING
        assert leader_index(model) not in partition
        assert run_until_settled(model).phase is RolloutPhase.DONE

    def test_of_concurrent_commands_one_wins_and_a_late_command_is_stale(self) -> None:
        model = self.model = start_fleet()
        model.command(model.fronts[0], CommandKind.START, PLAN)
        model.command(model.fronts[1], CommandKind.START, replace(PLAN, wanted=3))
        record = run_until_settled(model)
        assert (record.phase, record.plan.number) == (RolloutPhase.DONE, 1)
        coordinator = model.fronts[3].coordinator
        assert coordinator is not None
        number, _, outbox = coordinator.command(
            Command(CommandKind.ROLL_BACK, 0), model.fronts[3].local_time_us(model.now_us)
        )
        model.in_flight += [(model.now_us, 3, receiver, message) for receiver, message in outbox]
        run_steps(model, 8)
        assert coordinator.command_outcome(number) is CommandOutcome.STALE
        assert {front.version for front in model.fronts} == {record.plan.wanted}

    def test_a_hanging_restart_halts_the_plan_until_the_front_is_written_off(self) -> None:
        model = self.model = start_fleet()
        model.command(model.fronts[2], CommandKind.START, PLAN)
        while not any(front.is_out_by_permit for front in model.fronts):
            run_steps(model, 1)
        model.restarts_hang = True
        record = run_until_settled(model)
        assert (record.phase, record.reason) == (RolloutPhase.HALTED, HaltReason.OUT_LONG)
        run_steps(model, 80)
        assert sum(front.is_out_by_permit for front in model.fronts) == 1
        hung_front = next(front for front in model.fronts if front.is_out_by_permit)
        hung_front.is_written_off = True
        for front in model.fronts:
            if front.coordinator is not None:
                front.coordinator.write_off(
                    PlaceKind.FRONT, hung_front.index, front.local_time_us(model.now_us)
                )
        model.restarts_hang, hung_front.next_change_us = False, 1 << 60
        running = next(front for front in model.fronts if front.coordinator is not None)
        model.command(running, CommandKind.RESUME)
        assert run_until_settled(model).phase is RolloutPhase.DONE

    def test_a_rejected_version_halts_the_plan_and_can_be_rolled_back(self) -> None:
        model = self.model = start_fleet()
        model.rejects_new_version = True
        model.command(model.fronts[2], CommandKind.START, PLAN)
        assert run_until_settled(model).reason is HaltReason.WRONG
        model.command(model.fronts[1], CommandKind.ROLL_BACK)
        assert run_until_settled(model).phase is RolloutPhase.UNDONE

    def test_a_zone_outage_during_a_wave_halts_the_plan_and_stops_drains(self) -> None:
        model = self.model = start_fleet(size=7, zones=3)
        model.command(model.fronts[2], CommandKind.START, PLAN)
        run_steps(model, 12)
        for front in model.fronts:
            if front.index % 3 == 1 and front.coordinator is not None:
                model.crash(front)
                front.next_change_us = 1 << 60
        drains_before = model.drain_count
        assert run_until_settled(model).reason is HaltReason.OUT_LONG
        assert model.drain_count - drains_before <= 1

    def test_a_changed_plan_is_halted_and_resumes_with_the_new_version(self) -> None:
        model = self.model = start_fleet()
        model.command(model.fronts[2], CommandKind.START, PLAN)
        run_steps(model, 12)
        model.command(model.fronts[4], CommandKind.CHANGE, replace(PLAN, wanted=3))
        assert (run_until_settled(model).phase, run_until_settled(model).plan.wanted) == (
            RolloutPhase.HALTED,
            3,
        )
        model.command(model.fronts[4], CommandKind.RESUME)
        assert run_until_settled(model).phase is RolloutPhase.DONE
        assert {front.version for front in model.fronts} == {3}

    def test_an_order_from_before_a_halt_permits_no_drain(self) -> None:
        """A front is paused when it has received an order, the plan is halted, and the front continues."""

        def count_grants() -> int:
            model = self.model = start_fleet()
            # The limit is used up by crashed fronts, so that no front drains before the halt.
            model.crash(model.fronts[4])
            model.crash(model.fronts[3])
            model.fronts[4].next_change_us = model.fronts[3].next_change_us = 1 << 60
            run_steps(model, 8)
            model.command(model.fronts[2], CommandKind.START, PLAN)
            run_steps(model, 3)
            record = max(
                (f.coordinator.record() for f in model.fronts if f.coordinator), key=lambda r: r.revision
            )
            paused_front = next(f for f in model.fronts[:3] if f.index != leader_index(model))
            coordinator = paused_front.coordinator
            assert coordinator is not None
            model.command(model.fronts[leader_index(model)], CommandKind.HALT)
            paused_front.paused = True
            for front in model.fronts[3:]:
                front.next_change_us = model.now_us
            run_steps(model, 24)
            paused_front.paused = False
            order = RolloutOrder(coordinator.incarnation, record.term, record.turn, 2)
            model.call(
                paused_front,
                lambda coordinator, now_us: coordinator.on_message(record.term % 5, order, now_us),
            )
            # Its permit request reaches the grantors before it learns of the halt.
            request = PermitRequest(
                coordinator.incarnation, 1, PlaceKind.FRONT, paused_front.index, record.term, record.turn
            )
            grantor_fronts = [front for front in model.fronts if front is not paused_front]
            votes: list[tuple[int, RolloutMessage]] = []
            for front in grantor_fronts:
                votes += model.call(
                    front,
                    lambda coordinator, now_us: coordinator.on_message(paused_front.index, request, now_us),
                )
            run_steps(model, 16)
            assert model.drain_count == 0
            return sum(
                isinstance(message, PermitVote) and message.verdict is PermitVerdict.GRANTED
                for _, message in votes
            )

        assert count_grants() == 0
        with planted_fault("stale"):
            assert count_grants() > 2

    def test_a_record_of_an_earlier_term_is_adopted_but_not_acknowledged(self) -> None:
        """An acknowledgement would count for a leader that has been replaced."""
        for name, expected_ack in (("", None), ("anything", ProposalAck(8, 1))):
            with planted_fault(name):
                acceptor = Acceptor(PermitSettings(PlaceKind.FRONT, 3, 0, LIMIT), 0, is_record_known=True)
                assert acceptor.on_vote_request(LeaderVoteRequest(1, 10), RECOVERED_US).is_granted
                assert acceptor.on_proposal(RolloutRecord(8, 1), RECOVERED_US) == expected_ack
                assert acceptor.record.revision == (8, 1)

    def test_declaring_a_record_complete_after_a_lost_halt_keeps_the_plan_halted(self) -> None:
        """The front that kept its state knows an active plan; the two that accepted the halt lost theirs."""
        model = self.model = start_fleet(size=3)
        model.command(model.fronts[0], CommandKind.START, PLAN)
        run_steps(model, 2)
        old_state = model.fronts[1].persisted
        assert old_state is not None and old_state.record.phase is RolloutPhase.MOVING
        model.command(model.fronts[0], CommandKind.HALT)
        run_steps(model, 4)
        for front in model.fronts:
            model.crash(front)
            front.persisted = old_state if front.index == 1 else None
            model.start_front(front)
        model.agreed_records.clear()  # all fronts that knew the record lost their state
        model.leaders_by_term.clear()
        model.records_by_revision.clear()
        run_steps(model, 40)
        for front in model.fronts:
            if front.coordinator is not None:
                front.coordinator.accept_record_as_complete()
        drains_before = model.drain_count
        record = run_until_settled(model)
        run_steps(model, 40)
        assert (record.phase, record.reason) == (RolloutPhase.HALTED, HaltReason.FORGOTTEN)
        assert model.drain_count == drains_before

    def test_a_superseded_process_neither_votes_nor_begins_drains(self) -> None:
        model = self.model = start_fleet(size=3)
        old_coordinator = model.fronts[1].coordinator
        assert old_coordinator is not None
        model.crash(model.fronts[1])
        model.start_front(model.fronts[1])
        run_steps(model, 8)
        now_us = model.fronts[1].local_time_us(model.now_us)
        request = PermitRequest(1, 99, PlaceKind.FRONT, 0)
        assert old_coordinator.on_message(0, request, now_us) != []
        old_coordinator.on_message(0, Heartbeat(1, 1 << 20, acked_incarnation=2), now_us)
        assert old_coordinator.on_message(0, request, now_us) == []
        assert not old_coordinator.begin(PlaceKind.FRONT, 1, now_us)

    def test_only_operator_commands_leave_the_halted_phase(self) -> None:
        for is_rolling_back in (False, True):
            halted = rollout_plan.PlanState(RolloutPhase.HALTED, is_rolling_back)
            allowed_events = {event for state, event in rollout_plan.TRANSITIONS if state == halted}
            assert allowed_events <= {RolloutEvent.RESUME, RolloutEvent.ROLL_BACK, RolloutEvent.CHANGE}

    def test_a_rollback_orders_the_newest_front_first_and_fronts_that_do_not_serve_at_once(self) -> None:
        heartbeats = {i: Heartbeat(1, 1, version=2, serving_for_s=10 * i + 5) for i in range(4)}
        heartbeats[3] = replace(heartbeats[3], serving_state=ServingState.STARTING)
        record = RolloutRecord(5, 1, RolloutPhase.MOVING, back=True, goal=1, plan=PLAN)
        execution = plan_execution.PlanExecution(record, {}, 0)
        fleet = FleetView(4, 1, heartbeats, frozenset({3}), frozenset(), {3: 0})
        # The unavailable front already uses up the goal.
        assert execution.fronts_to_order(fleet, 1 + plan_execution.SETTLE_US) == [3]
        wider_step = plan_execution.PlanExecution(replace(record, goal=3), {}, 0)
        assert wider_step.fronts_to_order(fleet, 1 + plan_execution.SETTLE_US) == [0, 3]

    def test_a_front_that_lost_its_state_votes_only_after_enough_reports(self) -> None:
        model = self.model = start_fleet(size=3)
        model.command(model.fronts[0], CommandKind.START, PLAN)
        record = run_until_settled(model)
        front = model.fronts[1]
        model.crash(front)
        front.persisted = None
        model.start_front(front)
        coordinator = front.coordinator
        assert coordinator is not None
        assert not coordinator.acceptor.is_record_known
        vote_request = LeaderVoteRequest(1, 1 << 20)
        later_us = front.local_time_us(model.now_us) + RECOVERED_US
        assert not coordinator.acceptor.on_vote_request(vote_request, later_us).is_granted
        with planted_fault("gullible"):
            assert coordinator.acceptor.on_vote_request(vote_request, later_us).is_granted
        coordinator.acceptor.term = record.term
        run_steps(model, 16)
        assert coordinator.acceptor.is_record_known
        assert coordinator.record() == record
        assert PersistedState().record == RolloutRecord()


class CanaryAnalysisTest(unittest.TestCase):
    def halt_reason(self, new: tuple[int, int], old: tuple[int, int], windows: int = 4) -> HaltReason:
        """Return the halt reason for these (requested, served) counts of two new and six old fronts."""
        analysis = CanaryAnalysis({i: i % 2 for i in range(8)}, 0)
        plan = replace(PLAN, floor=0, refused=1000)
        for window in range(windows + 1):
            heartbeats = {}
            for i in range(8):
                requested, served = new if i < 2 else old
                version = 2 if i < 2 else 1
                heartbeats[i] = Heartbeat(
                    1, window + 1, version=version, requested=requested * window, served=served * window
                )
            reason = analysis.evaluate(heartbeats, plan, (window + 1) * WINDOW_US)
            if reason is not HaltReason.NONE:
                return reason
        return HaltReason.NONE

    def test_a_canary_worse_than_its_zone_halts_and_a_drop_in_load_does_not(self) -> None:
        assert self.halt_reason((200, 170), (200, 198)) is HaltReason.WORSE
        assert self.halt_reason((200, 120), (200, 120)) is HaltReason.NONE  # both versions are equally bad
        assert self.halt_reason((20, 20), (200, 200)) is HaltReason.NONE
        assert self.halt_reason((3, 2), (200, 200)) is HaltReason.NONE  # not significant

    def test_each_fleet_wide_halt_reason(self) -> None:
        baseline = Heartbeat(1, 1, version=1)
        cases = {
            HaltReason.SERVED: replace(baseline, sequence=2, requested=100, served=80),
            HaltReason.REFUSED: replace(baseline, sequence=2, requested=100, served=95, refused=20),
            HaltReason.FAILED: replace(baseline, sequence=2, requested=100, served=95, failed=9),
            HaltReason.LADDER: replace(baseline, sequence=2, shedding_level=2),
            HaltReason.STORM: replace(baseline, sequence=2, storm_phase=2),
            HaltReason.NONE: replace(baseline, sequence=2, requested=100, served=95),
        }
        for reason, latest in cases.items():
            with self.subTest(reason.name):
                analysis = CanaryAnalysis({}, 0)
                assert (
                    analysis.evaluate(dict.fromkeys(range(4), baseline), PLAN, WINDOW_US) is HaltReason.NONE
                )
                assert analysis.evaluate(dict.fromkeys(range(4), latest), PLAN, 2 * WINDOW_US) is reason


class DrainTest(unittest.TestCase):
    def check(self, seed: int) -> None:
        """Run one drain with random capacities, failing moves and clients that leave on their own."""
        rng = Random(seed)
        times = DrainTimes(4_000_000, 12_000_000, 200_000)
        drain = Drain(times, moves_sessions=rng.random() < 0.5)
        client_ids = [f"v{i}" for i in range(rng.randrange(1, 60))]
        capacities = {target: rng.uniform(0.5, 8) for target in range(rng.randrange(4))}
        pending = {f"r{i}": rng.randrange(400_000, 9_000_000) for i in range(5)}
        answered_ids: list[str] = []
        assigned_us: dict[int, list[int]] = {target: [] for target in capacities}
        for request_id, until_us in pending.items():
            drain.on_request_pending(request_id, until_us)
        drain.begin(client_ids, capacities, 0, rng.random())
        gone: set[str] = set()
        for now_us in range(0, 13_000_000, 100_000):
            for step in drain.due_steps(now_us):
                if step.action is DrainAction.REJECT:
                    answered_ids.append(step.id)
                    assert now_us <= pending[step.id]
                elif step.action is DrainAction.CLOSE:
                    assert now_us >= times.deadline_us
                    assert step.id not in gone
                    gone.add(step.id)
                else:
                    assert step.target is not None
                    assert step.action is (DrainAction.MOVE if drain.moves_sessions else DrainAction.NOTIFY)
                    assigned_us[step.target].append(now_us)
                    if rng.random() < 0.2:
                        drain.on_failed(step.id, now_us)
                    elif rng.random() < 0.8:
                        drain.on_left(step.id)
                        gone.add(step.id)
            for _ in range(2 if rng.random() < 0.1 else 0):  # a duplicate set-up request
                reply = drain.on_request(f"n{now_us}", now_us)
                if reply is not None:
                    answered_ids.append(f"n{now_us}")
                    if reply.target is not None:
                        assigned_us[reply.target].append(now_us + reply.retry_after_us)
            if rng.random() < 0.05 and pending:
                request_id = rng.choice(sorted(pending))
                if drain.on_request_answered(request_id):
                    answered_ids.append(request_id)
        assert len(answered_ids) == len(set(answered_ids))
        assert set(pending) <= set(answered_ids)
        assert gone == set(client_ids)
        assert drain.state is DrainState.EMPTY
        for target, times_us in assigned_us.items():
            for from_us in times_us:
                assigned_count = sum(from_us <= at_us < from_us + 2_000_000 for at_us in times_us)
                assert assigned_count <= 2 * capacities[target] + 2

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_a_drain_ends_by_its_deadline_with_one_answer_per_request_within_capacity(
        self, seed: int
    ) -> None:
        self.check(seed)

    def test_planted_faults_are_detected(self) -> None:
        faults = {
            "answers twice": (Drain, "_record_answer", lambda self, request_id: True),
            "ignores capacities": (AvailableCapacity, "reserve", lambda self, target, at_us: None),
            "closes no client": (Drain, "_close_remaining", lambda self, now_us: []),
        }
        for name, (owner, attribute, replacement) in faults.items():
            with self.subTest(name), mock.patch.object(owner, attribute, replacement):
                assert any(self.finds_fault(seed) for seed in range(20))

    def finds_fault(self, seed: int) -> bool:
        try:
            self.check(seed)
        except AssertionError:
            return True
        return False

    def test_a_drain_can_be_cancelled(self) -> None:
        drain = Drain(DrainTimes())
        drain.begin(["a", "b"], {1: 5.0}, 0, 0.0)
        drain.cancel()
        assert drain.state is DrainState.OPEN
        assert drain.on_request("c", 1) is None
        assert drain.due_steps(60000000) == []


class ModelCheckTest(unittest.TestCase):
    def test_the_state_search_finds_no_violation(self) -> None:
        state_count, _, violations = search_states(2, 120)
        assert violations == []
        assert state_count >= 120

    def test_planted_faults_are_detected(self) -> None:
        for name, first_seed in (("restless", 2), ("alone", 12), ("open", 20)):
            with self.subTest(name), planted_fault(name):
                seeds = range(first_seed, first_seed + 60)
                assert any(random_walk(seed, 3 + seed // 6 % 3, 160).violations for seed in seeds)

    def test_random_walks_find_no_violation(self) -> None:
        drain_count = 0
        for seed in range(18):
            model = random_walk(seed, 3 + seed // 6 % 3, 160)
            assert model.violations == [], f"seed {seed}"
            drain_count += model.drain_count
        assert drain_count > 50


if __name__ == "__main__":
    unittest.main()
