"""The running side of releases: messages as bytes, promises before words, the settings, and a judge that can
find what it is there for."""

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
from fennelcove.daemon.rollouts import Promises
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
from fennelcove.scenarios.faults import OUT, STRUCK
from fennelcove.scenarios.outages import outs
from fennelcove.settings.checks import amiss
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings, StoreSettings
from hypothesis import given
from hypothesis import strategies as st

from tests.rig import SETTINGS, wait_for

four = st.integers(0, 0xFFFF_FFFF)
eight = st.integers(0, 0xFFFF_FFFF_FFFF_FFFF)
two = st.integers(0, 0xFFFF)
one = st.integers(0, 0xFF)
place = st.integers(0, 0x7FFF)
kind = st.sampled_from(list(PlaceKind))
flag = st.booleans()
opened = st.builds(messages.OpenRequest, kind, place, four, flag)
plans = st.builds(Plan, four, four, four, two, two, four, four, two, two, two, two, one, one)
records = st.builds(
    RolloutRecord,
    four,
    four,
    st.sampled_from(list(RolloutPhase)),
    st.sampled_from(list(HaltReason)),
    flag,
    two,
    four,
    plans,
)
words = st.builds(
    messages.Heartbeat,
    *(eight, four, eight, four, st.sampled_from(list(ServingState))),
    *(four, four, four, four, four, four, one, one, four, four, four, flag),
    st.lists(opened, max_size=messages.MAX_OPEN_REQUESTS).map(tuple),
)
held = st.lists(place, max_size=messages.MAX_PROMISED_PLACES).map(tuple)
SAID: st.SearchStrategy[RolloutMessage] = st.one_of(
    words,
    st.builds(messages.PermitRequest, eight, four, kind, place, four, four),
    st.builds(messages.PermitVote, eight, four, st.sampled_from(list(PermitVerdict)), held),
    st.builds(messages.LeaderVoteRequest, eight, four),
    st.builds(messages.LeaderVote, eight, four, flag, flag, records),
    st.builds(messages.Proposal, records, eight),
    st.builds(messages.ProposalAck, four, four),
    st.builds(messages.RolloutOrder, eight, four, four, four),
)


class MessagesTest(unittest.TestCase):
    @given(SAID)
    def test_each_comes_back_as_it_was_and_fits(self, said: RolloutMessage) -> None:
        raw = rollout_messages.encode(said)
        assert len(raw) <= rollout_messages.MAX_BYTES
        assert rollout_messages.decode(raw) == said

    @given(st.binary(max_size=260))
    def test_nothing_that_comes_is_a_fault(self, raw: bytes) -> None:
        rollout_messages.decode(raw)

    @given(SAID, st.data())
    def test_one_cut_short_is_not_another_of_its_kind(
        self, said: RolloutMessage, data: st.DataObject
    ) -> None:
        raw = rollout_messages.encode(said)
        read = rollout_messages.decode(raw[: data.draw(st.integers(0, len(raw) - 1))])
        # Rows at the end may be missing whole: what is left is a shorter message, never another figure.
        if isinstance(said, messages.Heartbeat | messages.PermitVote) and read is not None:
            name = "open_requests" if isinstance(said, messages.Heartbeat) else "promised_places"
            assert read == replace(said, **{name: getattr(read, name)})
        else:
            assert read is None


class Disk:
    """A folder that takes promises, or does not; it writes down the order of things."""

    def __init__(self) -> None:
        self.well = True
        self.log: list[str] = []

    def keep(self, memory: PersistedState) -> bool:
        self.log.append("kept" if self.well else "not kept")
        return self.well

    def post(self, front: int, said: RolloutMessage) -> None:
        self.log.append(type(said).__name__)


def book(disk: Disk, clock: ManualClock) -> RolloutCoordinator:
    limits = FleetLimits(DisruptionLimit(1, 1), DisruptionLimit(1, 1))
    known = PersistedState(sure=True, whole=True)
    agreement = RolloutAgreement(RolloutSettings(3, 0), limits, (Location(0),) * 3, 7, clock.now_us(), known)
    mine = FrontStatus(ServingState.SERVING, 1)
    found = RolloutCoordinator(
        agreement, 250_000, lambda: mine, dict, disk.keep, clock, Random(1), lambda name, **_: None
    )
    found.send = disk.post
    return found


class BookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.disk = ManualClock(10_000_000), Disk()
        self.book = book(self.disk, self.clock)
        self.clock.advance(5_000_000)  # past the time in which a new life promises nothing
        self.book._process(self.book._heartbeat)
        for other in (1, 2):
            word = messages.Heartbeat(5 + other, 1, 7, 1, ServingState.SERVING, 1)
            self.book._process(lambda now_us, o=other, w=word: self.book.agreement.on_message(o, w, now_us))
        self.disk.log.clear()

    def test_a_promise_is_in_the_folder_before_its_yes_is_sent(self) -> None:
        ask = messages.PermitRequest(6, 1, PlaceKind.FRONT, 1)
        self.book._process(lambda now_us: self.book.agreement.on_message(1, ask, now_us))
        assert self.disk.log == ["kept", "PermitVote"]

    def test_what_the_folder_does_not_take_is_not_said_until_it_does(self) -> None:
        self.disk.well = False
        ask = messages.PermitRequest(6, 1, PlaceKind.FRONT, 1)
        self.book._process(lambda now_us: self.book.agreement.on_message(1, ask, now_us))
        self.book._process(self.book._heartbeat)
        assert self.disk.log == ["not kept", "not kept"]
        assert self.book.status()["unsafe"]
        self.disk.well = True
        self.book._process(self.book._heartbeat)
        assert self.disk.log[2:] == ["kept", "Heartbeat", "Heartbeat"]

    def test_a_full_line_loses_what_comes_and_says_busy_to_an_operator(self) -> None:
        for number in range(MAX_QUEUED_EVENTS + 5):
            self.book.on_message(1, messages.ProposalAck(1, number))
        assert self.book.status()["lost"] == 5
        assert self.book.submit_command(Command(CommandKind.HALT, 0)) is CommandOutcome.BUSY

    def test_a_front_that_can_not_go_stays_and_its_permit_is_given_up(self) -> None:
        # Otherwise a file that can't be written held the only place for ever.
        self.book.agreement.request_front_drain(2, self.clock.now_us())
        self.book._process(self.book._heartbeat)
        asked = next(iter(self.book.agreement.requesters[PlaceKind.FRONT].requests.values()))
        for other in (1, 2):
            vote = messages.PermitVote(7, asked.number, PermitVerdict.GRANTED)
            self.book._process(lambda now_us, o=other, v=vote: self.book.agreement.on_message(o, v, now_us))
        assert self.book.agreement.requesters[PlaceKind.FRONT].requests == {}

    def test_an_order_is_answered_when_the_book_runs_and_no_majority_is_there(self) -> None:
        from fennelcove.clock import SystemClock

        alone = book(self.disk, ManualClock())
        alone.clock = SystemClock()
        thread = threading.Thread(target=alone.run)
        thread.start()
        try:
            wait_for(lambda: "Heartbeat" in self.disk.log, "a beat")
            assert alone.submit_command(Command(CommandKind.HALT, 0)) in (
                CommandOutcome.BUSY,
                CommandOutcome.LOST,
            )
        finally:
            alone.stop()
            thread.join()


class PromisesTest(unittest.TestCase):
    def test_the_next_life_is_later_and_knows_them_also_where_its_clock_went_back(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            told = FrontSettings(**{**fields(), "store": StoreSettings(folder=folder)})
            first = Promises(told, 5_000_000_000, lambda name, **_: None)
            memory = PersistedState(term=4, off=((PlaceKind.BOX, 3),))
            assert first.keep(memory)
            first.close()
            then = Promises(told, 1_000_000_000, lambda name, **_: None)
            assert (then.life, then.memory) == (5000001, memory)
            then.close()


def fields() -> dict[str, Any]:
    front = parse(SETTINGS, FrontSettings, "test")
    return {name: getattr(front, name) for name in front.__struct_fields__}


class SettingsTest(unittest.TestCase):
    def faults(self, releases: str) -> list[str]:
        more = f"""(instance (index 0) (fronts 3))
          (company (addresses "127.0.0.1:1" "127.0.0.1:2" "127.0.0.1:3")) {releases})"""
        text = SETTINGS.rstrip().removesuffix(")") + more
        return list(amiss(parse(text, FrontSettings, "test")))

    def test_what_could_not_work_is_refused_with_what_would(self) -> None:
        assert self.faults('(releases (version 1) (wanted "w"))') == []
        for more, word in (
            ("(fronts-out 2)", "use at most 1"),
            ('(halls "a" "b")', "state one for each"),
            ("(window-ms 500)", "four beats"),
        ):
            faults = self.faults(f'(releases (version 1) (wanted "w") {more})')
            assert any(word in fault for fault in faults), (more, faults)


def day(**told: Any) -> list[dict[str, Any]]:
    """A recording of three fronts, begun at second 1."""
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
    found: list[dict[str, Any]] = [{"t_us": 0, "what": "terms", "ramp_ms": 2000.0, "release": release | told}]
    found += [{"t_us": 0, "what": "box", "box": f"b:{i}", "zone": "ab"[i % 2], "cell": i} for i in range(3)]
    for i in range(3):
        found.append({"t_us": 1, "what": "front_launched", "front": f"front-{i}", "version": 1})
        found.append({"t_us": 2, "what": "front_started", "front": f"front-{i}", "address": f"a:{i}"})
    return [*found, {"t_us": 1_000_000, "what": "day_began"}]


def at(second: float, what: str, front: int = 0, **more: Any) -> dict[str, Any]:
    return {"t_us": round(second * 1e6), "what": what, "front": f"front-{front}", **more}


def gone(front: int, since: float, until: float, version: int = 2) -> list[dict[str, Any]]:
    return [
        at(since, "front_ended", front, status=0),
        at(since + 0.1, "front_launched", front, version=version),
        at(until, "front_started", front, address=f"a:{front}"),
    ]


def judged(records: list[dict[str, Any]]) -> list[tuple[int, str]]:
    over = [at(30, "carried")]
    found = outs(sorted([*records, *over], key=lambda record: record["t_us"]))
    return [(fault.rule, fault.reason) for fault in found.faults]


class JudgeTest(unittest.TestCase):
    def test_one_after_another_is_well(self) -> None:
        assert judged([*day(), *gone(0, 3, 5), *gone(1, 6, 8)]) == []

    def test_two_at_once_are_found_also_where_the_second_drains_before_it_ends(self) -> None:
        assert [rule for rule, _ in judged([*day(), *gone(0, 3, 5), *gone(1, 4, 8)])] == [OUT]
        turned = {"t_us": 4_500_000, "what": "answered", "front": "a:1", "status": 503}
        assert [r for r, _ in judged([*day(), *gone(0, 3, 5), turned, *gone(1, 6, 8)])] == [OUT]
        # One that lets somebody in after it turned one away has not begun to go.
        served = {"t_us": 5_500_000, "what": "answered", "front": "a:1", "status": 201}
        assert judged([*day(), *gone(0, 3, 5), turned, served, *gone(1, 6, 8)]) == []

    def test_what_crashed_counts_once_it_can_be_known(self) -> None:
        crash = [at(3, "front_killed", 2)]
        back = [at(14, "front_launched", 2, version=1), at(15, "front_started", 2, address="a:2")]
        late = judged([*day(), *crash, *gone(0, 9, 11), *back])
        assert [rule for rule, _ in late] == [OUT, OUT]  # in all, and in its hall
        assert judged([*day(), *crash, *gone(0, 5, 8), *back]) == []

    def test_a_day_whose_fault_has_not_struck_fails(self) -> None:
        well = [*day(strikes=["front-kill"]), *gone(0, 3, 5)]
        assert [rule for rule, _ in judged(well)] == [STRUCK]
        assert [rule for rule, _ in judged(day())][-1] == STRUCK
        order = at(2, "order", words=["release", "start"], status=1)
        assert [r for r, _ in judged([*day(orders=1), order, *gone(0, 3, 5)])] == [STRUCK]
        assert [r for r, _ in judged([*day(bad=[3]), *gone(0, 3, 5)])] == [STRUCK]

    def test_a_box_is_out_until_it_is_warm_and_the_last_holder_is_never_taken(self) -> None:
        def box(number: int, second: float) -> list[dict[str, Any]]:
            told = {"what": "box_taken", "box": f"b:{number}"}
            back = {"what": "box_started", "box": f"b:{number}"}
            return [{"t_us": round(second * 1e6), **told}, {"t_us": round((second + 1) * 1e6), **back}]

        well = [*day(boxes=2), *gone(0, 3, 5)]
        assert judged([*well, *box(0, 6), *box(1, 9.5)]) == []
        cold = judged(
            [*well, *box(0, 6), *box(1, 8)]
        )  # in all, and of the holders of t; the last of them too
        assert [rule for rule, _ in cold] == [OUT, OUT, OUT]
        assert any("the last warm box with t" in reason for _, reason in cold)
        assert [rule for rule, _ in judged([*well, *box(0, 6)])] == [STRUCK]
        last = judged([*day(boxes=1), *gone(0, 3, 5), *box(2, 6)])
        assert ["the last warm box with u" in reason for _, reason in last] == [True]

    def test_how_it_ends_and_how_many_ran_it(self) -> None:
        assert [r for r, _ in judged([*day(ends="all"), *gone(0, 3, 5)])] == [STRUCK]
        assert [r for r, _ in judged([*day(ends="none"), *gone(0, 3, 5)])] == [STRUCK]
        assert [r for r, _ in judged([*day(most=1), *gone(0, 3, 5), *gone(1, 6, 8)])] == [OUT]


if __name__ == "__main__":
    unittest.main()
