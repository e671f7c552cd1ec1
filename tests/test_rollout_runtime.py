"""Tests of the runtime side of rollouts: codec, persistence before sending, settings, outage checks."""

from __future__ import annotations

import tempfile
import threading
import unittest
from dataclasses import replace
from random import Random
from typing import Any

from fennelcove import rollout_messages
from fennelcove.clock import ManualClock
from fennelcove.core.rollout_coordinator import MAX_QUEUED_EVENTS, RolloutCoordinator
from fennelcove.daemon.rollouts import RolloutStateStore
from fennelcove.rollouts import messages
from fennelcove.rollouts.coordinator import (
    Command,
    CommandKind,
    CommandOutcome,
    FrontStatus,
    PersistedState,
    RolloutAgreement,
    RolloutSettings,
)
from fennelcove.rollouts.disruption_budget import DisruptionLimit, FleetLimits, Location
from fennelcove.rollouts.messages import (
    HaltReason,
    PermitVerdict,
    PlaceKind,
    Plan,
    RolloutMessage,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)
from fennelcove.scenarios import outages
from fennelcove.scenarios.violations import MISSING_FAULT_RULE, TOO_MANY_OUT_RULE
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings, StoreSettings
from fennelcove.settings.validation import find_violations
from hypothesis import given
from hypothesis import strategies as st

from tests.front_case import SETTINGS, wait_for

uint32 = st.integers(0, 0xFFFF_FFFF)
uint64 = st.integers(0, 0xFFFF_FFFF_FFFF_FFFF)
uint16 = st.integers(0, 0xFFFF)
uint8 = st.integers(0, 0xFF)
place = st.integers(0, 0x7FFF)
kind = st.sampled_from(list(PlaceKind))
flag = st.booleans()
open_requests = st.builds(messages.OpenRequest, kind, place, uint32, flag)
plans = st.builds(
    Plan, uint32, uint32, uint32, uint16, uint16, uint32, uint32, uint16, uint16, uint16, uint16, uint8, uint8
)
records = st.builds(
    RolloutRecord,
    uint32,
    uint32,
    st.sampled_from(list(RolloutPhase)),
    st.sampled_from(list(HaltReason)),
    flag,
    uint16,
    uint32,
    plans,
)
heartbeats = st.builds(
    messages.Heartbeat,
    *(uint64, uint32, uint64, uint32, st.sampled_from(list(ServingState))),
    *(uint32, uint32, uint32, uint32, uint32, uint32, uint8, uint8, uint32, uint32, uint32, flag),
    st.lists(open_requests, max_size=messages.MAX_OPEN_REQUESTS).map(tuple),
)
promised_places = st.lists(place, max_size=messages.MAX_PROMISED_PLACES).map(tuple)
ALL_MESSAGES: st.SearchStrategy[RolloutMessage] = st.one_of(
    heartbeats,
    st.builds(messages.PermitRequest, uint64, uint32, kind, place, uint32, uint32),
    st.builds(messages.PermitVote, uint64, uint32, st.sampled_from(list(PermitVerdict)), promised_places),
    st.builds(messages.LeaderVoteRequest, uint64, uint32),
    st.builds(messages.LeaderVote, uint64, uint32, flag, flag, records),
    st.builds(messages.Proposal, records, uint64),
    st.builds(messages.ProposalAck, uint32, uint32),
    st.builds(messages.RolloutOrder, uint64, uint32, uint32, uint32),
)


class MessagesTest(unittest.TestCase):
    @given(ALL_MESSAGES)
    def test_each_message_round_trips_within_the_size_limit(self, message: RolloutMessage) -> None:
        encoded = rollout_messages.encode(message)
        assert len(encoded) <= rollout_messages.MAX_BYTES
        assert rollout_messages.decode(encoded) == message

    @given(st.binary(max_size=260))
    def test_decoding_arbitrary_bytes_raises_nothing(self, encoded: bytes) -> None:
        rollout_messages.decode(encoded)

    @given(ALL_MESSAGES, st.data())
    def test_a_truncated_message_is_not_decoded_as_another_one(
        self, message: RolloutMessage, data: st.DataObject
    ) -> None:
        encoded = rollout_messages.encode(message)
        decoded = rollout_messages.decode(encoded[: data.draw(st.integers(0, len(encoded) - 1))])
        # Complete rows at the end may be missing: the result is a shorter list, never a different value.
        if isinstance(message, messages.Heartbeat | messages.PermitVote) and decoded is not None:
            field = "open_requests" if isinstance(message, messages.Heartbeat) else "promised_places"
            assert decoded == replace(message, **{field: getattr(decoded, field)})
        else:
            assert decoded is None


class FakeStore:
    """A store that can be made to fail; logs the order of writes and sent messages."""

    def __init__(self) -> None:
        self.is_writable = True
        self.log: list[str] = []

    def persist(self, state: PersistedState) -> bool:
        self.log.append("persisted" if self.is_writable else "not persisted")
        return self.is_writable

    def send(self, front: int, message: RolloutMessage) -> None:
        self.log.append(type(message).__name__)


def make_coordinator(store: FakeStore, clock: ManualClock) -> RolloutCoordinator:
    limits = FleetLimits(DisruptionLimit(1, 1), DisruptionLimit(1, 1))
    persisted = PersistedState(sure=True, whole=True)
    agreement = RolloutAgreement(
        RolloutSettings(3, 0), limits, (Location(0),) * 3, 7, clock.now_us(), persisted
    )
    status = FrontStatus(ServingState.SERVING, 1)
    coordinator = RolloutCoordinator(
        agreement, 250_000, lambda: status, dict, store.persist, clock, Random(1), lambda name, **_: None
    )
    coordinator.send = store.send
    return coordinator


class RolloutCoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.store = ManualClock(10_000_000), FakeStore()
        self.coordinator = make_coordinator(self.store, self.clock)
        self.clock.advance(5_000_000)  # past the recovery time of a new incarnation
        self.coordinator._process(self.coordinator._heartbeat)
        for peer in (1, 2):
            heartbeat = messages.Heartbeat(5 + peer, 1, 7, 1, ServingState.SERVING, 1)
            self.coordinator._process(
                lambda now_us, p=peer, h=heartbeat: self.coordinator.agreement.on_message(p, h, now_us)
            )
        self.store.log.clear()

    def test_a_promise_is_persisted_before_its_vote_is_sent(self) -> None:
        request = messages.PermitRequest(6, 1, PlaceKind.FRONT, 1)
        self.coordinator._process(lambda now_us: self.coordinator.agreement.on_message(1, request, now_us))
        assert self.store.log == ["persisted", "PermitVote"]

    def test_nothing_is_sent_until_the_state_is_persisted(self) -> None:
        self.store.is_writable = False
        request = messages.PermitRequest(6, 1, PlaceKind.FRONT, 1)
        self.coordinator._process(lambda now_us: self.coordinator.agreement.on_message(1, request, now_us))
        self.coordinator._process(self.coordinator._heartbeat)
        assert self.store.log == ["not persisted", "not persisted"]
        assert self.coordinator.status()["unsafe"]
        self.store.is_writable = True
        self.coordinator._process(self.coordinator._heartbeat)
        assert self.store.log[2:] == ["persisted", "Heartbeat", "Heartbeat"]

    def test_a_full_queue_drops_messages_and_reports_busy_to_an_operator(self) -> None:
        for number in range(MAX_QUEUED_EVENTS + 5):
            self.coordinator.on_message(1, messages.ProposalAck(1, number))
        assert self.coordinator.status()["lost"] == 5
        assert self.coordinator.submit_command(Command(CommandKind.HALT, 0)) is CommandOutcome.BUSY

    def test_a_front_that_cannot_drain_releases_its_permit(self) -> None:
        # Otherwise a file that can't be written would use up the only permit for ever.
        self.coordinator.agreement.request_front_drain(2, self.clock.now_us())
        self.coordinator._process(self.coordinator._heartbeat)
        request = next(iter(self.coordinator.agreement.requesters[PlaceKind.FRONT].requests.values()))
        for peer in (1, 2):
            vote = messages.PermitVote(7, request.number, PermitVerdict.GRANTED)
            self.coordinator._process(
                lambda now_us, p=peer, v=vote: self.coordinator.agreement.on_message(p, v, now_us)
            )
        assert self.coordinator.agreement.requesters[PlaceKind.FRONT].requests == {}

    def test_a_command_is_answered_when_there_is_no_majority(self) -> None:
        from fennelcove.clock import SystemClock

        coordinator = make_coordinator(self.store, ManualClock())
        coordinator.clock = SystemClock()
        thread = threading.Thread(target=coordinator.run)
        thread.start()
        try:
            wait_for(lambda: "Heartbeat" in self.store.log, "a heartbeat")
            assert coordinator.submit_command(Command(CommandKind.HALT, 0)) in (
                CommandOutcome.BUSY,
                CommandOutcome.LOST,
            )
        finally:
            coordinator.stop()
            thread.join()


class PromisesTest(unittest.TestCase):
    def test_the_next_incarnation_is_higher_and_restores_promises_even_if_the_clock_went_back(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            settings = FrontSettings(**{**settings_fields(), "store": StoreSettings(folder=folder)})
            first = RolloutStateStore(settings, 5_000_000_000, lambda name, **_: None)
            state = PersistedState(term=4, off=((PlaceKind.BOX, 3),))
            assert first.persist(state)
            first.close()
            restarted = RolloutStateStore(settings, 1_000_000_000, lambda name, **_: None)
            assert (restarted.incarnation, restarted.state) == (5000001, state)
            restarted.close()


def settings_fields() -> dict[str, Any]:
    front = parse(SETTINGS, FrontSettings, "test")
    return {name: getattr(front, name) for name in front.__struct_fields__}


class SettingsTest(unittest.TestCase):
    def faults(self, releases: str) -> list[str]:
        more = f"""(instance (index 0) (fronts 3))
          (company (addresses "127.0.0.1:1" "127.0.0.1:2" "127.0.0.1:3")) {releases})"""
        text = SETTINGS.rstrip().removesuffix(")") + more
        return list(find_violations(parse(text, FrontSettings, "test")))

    def test_inconsistent_settings_are_rejected_with_advice(self) -> None:
        assert self.faults('(releases (version 1) (wanted "w"))') == []
        for more, expected in (
            ("(fronts-out 2)", "use at most 1"),
            ('(halls "a" "b")', "state one for each"),
            ("(window-ms 500)", "four beats"),
        ):
            faults = self.faults(f'(releases (version 1) (wanted "w") {more})')
            assert any(expected in fault for fault in faults), (more, faults)


def make_recording(**overrides: Any) -> list[dict[str, Any]]:
    """A recording of three fronts, whose scenario begins at second 1."""
    release: dict[str, Any] = {"fronts_out": 1, "fronts_out_hall": 1, "know_ms": 4000, "wanted": 2}
    release |= {
        "ends": "some",
        "lost": [],
        "most": None,
        "strikes": [],
        "orders": 0,
        "bad": [],
        "hangs": False,
    }
    release |= {"boxes": 0, "boxes_out": 1, "boxes_out_hall": 1, "boxes_out_title": 1, "know_box_ms": 8000}
    release["titles"] = {"t": [0, 1], "u": [2]}
    release["halls"] = {f"front-{i}": ("a", "b")[i % 2] for i in range(3)}
    events: list[dict[str, Any]] = [
        {"t_us": 0, "what": "terms", "ramp_ms": 2000.0, "release": release | overrides}
    ]
    events += [{"t_us": 0, "what": "box", "box": f"b:{i}", "zone": "ab"[i % 2], "cell": i} for i in range(3)]
    for i in range(3):
        events.append({"t_us": 1, "what": "front_launched", "front": f"front-{i}", "version": 1})
        events.append({"t_us": 2, "what": "front_started", "front": f"front-{i}", "address": f"a:{i}"})
    return [*events, {"t_us": 1_000_000, "what": "day_began"}]


def event(second: float, what: str, front: int = 0, **more: Any) -> dict[str, Any]:
    return {"t_us": round(second * 1e6), "what": what, "front": f"front-{front}", **more}


def front_restart(front: int, since: float, until: float, version: int = 2) -> list[dict[str, Any]]:
    return [
        event(since, "front_ended", front, status=0),
        event(since + 0.1, "front_launched", front, version=version),
        event(until, "front_started", front, address=f"a:{front}"),
    ]


def check_outages(records: list[dict[str, Any]]) -> list[tuple[int, str]]:
    end = [event(30, "carried")]
    found = outages.check_outages(sorted([*records, *end], key=lambda record: record["t_us"]))
    return [(fault.rule, fault.reason) for fault in found.faults]


class OutageCheckTest(unittest.TestCase):
    def test_consecutive_drains_are_no_fault(self) -> None:
        assert check_outages([*make_recording(), *front_restart(0, 3, 5), *front_restart(1, 6, 8)]) == []

    def test_overlapping_drains_are_found_from_the_first_rejection_on(self) -> None:
        assert [
            rule
            for rule, _ in check_outages(
                [*make_recording(), *front_restart(0, 3, 5), *front_restart(1, 4, 8)]
            )
        ] == [TOO_MANY_OUT_RULE]
        rejected = {"t_us": 4_500_000, "what": "answered", "front": "a:1", "status": 503}
        assert [
            r
            for r, _ in check_outages(
                [*make_recording(), *front_restart(0, 3, 5), rejected, *front_restart(1, 6, 8)]
            )
        ] == [TOO_MANY_OUT_RULE]
        # A front that accepts a session after a rejection has not begun to drain.
        served = {"t_us": 5_500_000, "what": "answered", "front": "a:1", "status": 201}
        assert (
            check_outages(
                [*make_recording(), *front_restart(0, 3, 5), rejected, served, *front_restart(1, 6, 8)]
            )
            == []
        )

    def test_a_crashed_front_counts_once_its_crash_can_be_known(self) -> None:
        crash = [event(3, "front_killed", 2)]
        restart = [event(14, "front_launched", 2, version=1), event(15, "front_started", 2, address="a:2")]
        late_faults = check_outages([*make_recording(), *crash, *front_restart(0, 9, 11), *restart])
        assert [rule for rule, _ in late_faults] == [
            TOO_MANY_OUT_RULE,
            TOO_MANY_OUT_RULE,
        ]  # in total, and in its zone
        assert check_outages([*make_recording(), *crash, *front_restart(0, 5, 8), *restart]) == []

    def test_a_scenario_whose_planned_fault_did_not_occur_fails(self) -> None:
        complete = [*make_recording(strikes=["front-kill"]), *front_restart(0, 3, 5)]
        assert [rule for rule, _ in check_outages(complete)] == [MISSING_FAULT_RULE]
        assert [rule for rule, _ in check_outages(make_recording())][-1] == MISSING_FAULT_RULE
        order = event(2, "order", words=["release", "start"], status=1)
        assert [r for r, _ in check_outages([*make_recording(orders=1), order, *front_restart(0, 3, 5)])] == [
            MISSING_FAULT_RULE
        ]
        assert [r for r, _ in check_outages([*make_recording(bad=[3]), *front_restart(0, 3, 5)])] == [
            MISSING_FAULT_RULE
        ]

    def test_a_server_counts_until_it_is_warm_and_the_last_warm_replica_is_not_drained(self) -> None:
        def server_drain(number: int, second: float) -> list[dict[str, Any]]:
            taken = {"what": "box_taken", "box": f"b:{number}"}
            restart = {"what": "box_started", "box": f"b:{number}"}
            return [{"t_us": round(second * 1e6), **taken}, {"t_us": round((second + 1) * 1e6), **restart}]

        complete = [*make_recording(boxes=2), *front_restart(0, 3, 5)]
        assert check_outages([*complete, *server_drain(0, 6), *server_drain(1, 9.5)]) == []
        overlapping = check_outages(
            [*complete, *server_drain(0, 6), *server_drain(1, 8)]
        )  # in total, per replicas of t, and the last warm replica of t
        assert [rule for rule, _ in overlapping] == [TOO_MANY_OUT_RULE, TOO_MANY_OUT_RULE, TOO_MANY_OUT_RULE]
        assert any("the last warm box with t" in reason for _, reason in overlapping)
        assert [rule for rule, _ in check_outages([*complete, *server_drain(0, 6)])] == [MISSING_FAULT_RULE]
        last_replica = check_outages([*make_recording(boxes=1), *front_restart(0, 3, 5), *server_drain(2, 6)])
        assert ["the last warm box with u" in reason for _, reason in last_replica] == [True]

    def test_the_expected_end_and_the_maximum_number_of_updated_fronts_are_checked(self) -> None:
        assert [r for r, _ in check_outages([*make_recording(ends="all"), *front_restart(0, 3, 5)])] == [
            MISSING_FAULT_RULE
        ]
        assert [r for r, _ in check_outages([*make_recording(ends="none"), *front_restart(0, 3, 5)])] == [
            MISSING_FAULT_RULE
        ]
        assert [
            r
            for r, _ in check_outages(
                [*make_recording(most=1), *front_restart(0, 3, 5), *front_restart(1, 6, 8)]
            )
        ] == [TOO_MANY_OUT_RULE]


if __name__ == "__main__":
    unittest.main()
