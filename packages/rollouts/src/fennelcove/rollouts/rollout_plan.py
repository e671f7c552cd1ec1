"""A plan, step by step: what becomes of it by what happens, and whose turn it is to go out.

A plan moves in steps: some fronts as canaries, then waves. After each step forth it soaks. It is halted by an
operator or by evidence, and only an operator moves it again, on or back. On the way back the newest go first
and nothing soaks. Nothing here is sent; who leads is `leading`, who may be out is `permits`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from zlib import crc32

from fennelcove.rollouts.canary_analysis import CanaryAnalysis
from fennelcove.rollouts.messages import (
    Kind,
    RolloutPhase,
    Plan,
    HaltReason,
    RolloutRecord,
    ServingState,
    Heartbeat,
)

ORDER_TIMEOUT_US = 4_000_000  # after which one that was ordered and has not got out lets another go first
ORDER_EXPIRY_US = 2_000_000  # for which a front asks on after its last order
SETTLE_US = 4_500_000  # in which what another leader ordered, or this one before, has lapsed and been counted


class RolloutEvent(Enum):
    """What happens to a plan."""

    START = auto()
    CHANGE = auto()
    HALT = auto()
    RESUME = auto()
    ROLL_BACK = auto()
    STEP_COMPLETED = auto()  # as many as this step was for have what they are to have
    SOAKED = auto()
    COMPLETED = auto()  # all have it
    HALT_REASON_FOUND = auto()  # evidence


class RolloutAction(Enum):
    """What follows of it."""

    NONE = auto()
    NEXT_STEP = auto()  # the next step is reckoned
    NEW_PLAN = auto()  # another plan, with its first step
    ROLL_BACK = auto()
    REPLACE_PLAN = auto()  # another plan, halted


ACTIVE_PHASES = (RolloutPhase.MOVING, RolloutPhase.SOAKING)
FINISHED_PHASES = (RolloutPhase.NONE, RolloutPhase.DONE, RolloutPhase.UNDONE)
TRANSITIONS: dict[tuple[RolloutPhase, bool, RolloutEvent], tuple[RolloutPhase, RolloutAction]] = {
    # (phase, on the way back, cue). What stands in no row is refused.
    **{
        (phase, has_returned, RolloutEvent.START): (RolloutPhase.MOVING, RolloutAction.NEW_PLAN)
        for phase in FINISHED_PHASES
        for has_returned in (False, True)
    },
    **{
        (phase, False, RolloutEvent.CHANGE): (RolloutPhase.HALTED, RolloutAction.REPLACE_PLAN)
        for phase in (*ACTIVE_PHASES, RolloutPhase.HALTED)
    },
    **{
        (phase, has_returned, event): (RolloutPhase.HALTED, RolloutAction.NONE)
        for phase in ACTIVE_PHASES
        for has_returned in (False, True)
        for event in (RolloutEvent.HALT, RolloutEvent.HALT_REASON_FOUND)
    },
    **{
        (RolloutPhase.HALTED, has_returned, RolloutEvent.RESUME): (RolloutPhase.MOVING, RolloutAction.NONE)
        for has_returned in (False, True)
    },
    **{
        (phase, False, RolloutEvent.ROLL_BACK): (RolloutPhase.MOVING, RolloutAction.ROLL_BACK)
        for phase in (*ACTIVE_PHASES, RolloutPhase.HALTED, RolloutPhase.DONE)
    },
    (RolloutPhase.MOVING, False, RolloutEvent.STEP_COMPLETED): (RolloutPhase.SOAKING, RolloutAction.NONE),
    (RolloutPhase.MOVING, True, RolloutEvent.STEP_COMPLETED): (RolloutPhase.MOVING, RolloutAction.NEXT_STEP),
    (RolloutPhase.SOAKING, False, RolloutEvent.SOAKED): (RolloutPhase.MOVING, RolloutAction.NEXT_STEP),
    (RolloutPhase.SOAKING, False, RolloutEvent.COMPLETED): (RolloutPhase.DONE, RolloutAction.NONE),
    (RolloutPhase.MOVING, True, RolloutEvent.COMPLETED): (RolloutPhase.UNDONE, RolloutAction.NONE),
}
FENCED_EVENTS = (
    RolloutEvent.START,
    RolloutEvent.CHANGE,
    RolloutEvent.HALT,
    RolloutEvent.RESUME,
    RolloutEvent.ROLL_BACK,
    RolloutEvent.HALT_REASON_FOUND,
)


def next_record(
    record: RolloutRecord,
    event: RolloutEvent,
    have: int,
    plan: Plan | None = None,
    why: HaltReason = HaltReason.NONE,
) -> RolloutRecord | None:
    """What a record becomes; None where the table has no such row. `have`: fronts that have what they are to
    have by `record`, or by `plan` where that is another."""
    row = TRANSITIONS.get((record.phase, record.back, event))
    if row is None or (plan is None) is not (event not in (RolloutEvent.START, RolloutEvent.CHANGE)):
        return None
    if plan is not None and (min(plan.canary, plan.wave, plan.wanted) < 1 or plan.wanted == plan.before):
        return None  # it would take nobody out, for ever
    phase, then = row
    fence = record.fence + (event in FENCED_EVENTS)
    now = replace(record, phase=phase, reason=why, fence=fence)
    if then is RolloutAction.NEXT_STEP:
        return replace(now, goal=have + now.plan.wave)
    if then is RolloutAction.ROLL_BACK:
        return replace(now, back=True, goal=have + now.plan.wave)
    if plan is not None:
        first = replace(plan, number=record.plan.number + 1)
        return replace(now, plan=first, back=False, goal=have + first.canary)
    return now


def target_version(record: RolloutRecord) -> int:
    """The version that fronts are to have."""
    return record.plan.before if record.back else record.plan.wanted


@dataclass(frozen=True, slots=True)
class FleetView:
    """What a leader sees of all fronts at one moment."""

    size: int
    leader_index: int  # the leader's own
    heartbeats: Mapping[int, Heartbeat]  # the newest of each front, its own too
    unavailable: frozenset[int]  # that don't serve; those written off apart
    written_off: frozenset[int]
    unavailable_since_us: Mapping[int, int]  # since when each that is dark is so

    def fronts_with(self, version: int) -> list[int]:
        """Those that serve with a version."""
        return [
            i
            for i, heartbeat in self.heartbeats.items()
            if self._is_counted(i) and heartbeat.version == version
        ]

    def fronts_without(self, version: int) -> list[int]:
        """Those that serve with another."""
        return [
            i
            for i, heartbeat in self.heartbeats.items()
            if self._is_counted(i) and heartbeat.version != version
        ]

    def _is_counted(self, index: int) -> bool:
        return index not in self.unavailable and index not in self.written_off

    @property
    def expected_count(self) -> int:
        """How many fronts there are to be."""
        return self.size - len(self.written_off)


@dataclass(slots=True)
class PlanExecution:
    """What a front that leads does for one state of a plan: whom it orders out, and what it finds."""

    record: RolloutRecord
    zones: Mapping[int, int]
    began_us: int  # when a majority had taken the record
    analysis: CanaryAnalysis = field(init=False)
    ordered_incarnations: dict[int, int] = field(default_factory=dict)  # the life in which each was ordered
    seen_leaving: set[int] = field(default_factory=set)  # those of them that were seen on their way out
    first_ordered_us: dict[int, int] = field(
        default_factory=dict
    )  # when the one whose turn it is was first ordered
    postponed: list[int] = field(default_factory=list)  # who has not got out in time, longest ago first
    no_orders_until_us: int = (
        0  # until then nobody is ordered: two that ask at once may both go, past the step
    )

    def __post_init__(self) -> None:
        self.analysis = CanaryAnalysis(self.zones, self.began_us)
        self.no_orders_until_us = self.began_us + SETTLE_US

    def on_record_agreed(self, record: RolloutRecord, now_us: int) -> None:
        """Another state of the plan is agreed."""
        same = (record.plan.number, record.back) == (self.record.plan.number, self.record.back)
        if not same or record.phase not in ACTIVE_PHASES:
            self.analysis = CanaryAnalysis(self.zones, now_us)
            self.ordered_incarnations.clear()
            self.seen_leaving.clear()
        if record.phase is not self.record.phase:
            self.first_ordered_us.clear()
            self.postponed.clear()
        self.record, self.began_us = record, now_us

    def evaluate(self, fleet: FleetView, now_us: int) -> tuple[RolloutEvent, HaltReason] | None:
        """What has happened by what is seen now."""
        record = self.record
        if record.phase not in ACTIVE_PHASES:
            return None
        why = self._halt_reason(fleet, now_us)
        if why is not HaltReason.NONE:
            return RolloutEvent.HALT_REASON_FOUND, why
        have = len(fleet.fronts_with(target_version(record)))
        if record.phase is RolloutPhase.MOVING:
            everyone = have >= fleet.expected_count
            if record.back and everyone:
                return RolloutEvent.COMPLETED, HaltReason.NONE
            return (RolloutEvent.STEP_COMPLETED, HaltReason.NONE) if everyone or have >= record.goal else None
        if now_us < self.began_us + record.plan.soak_ms * 1000:
            return None
        return (
            RolloutEvent.COMPLETED if have >= fleet.expected_count else RolloutEvent.SOAKED
        ), HaltReason.NONE

    def _halt_reason(self, fleet: FleetView, now_us: int) -> HaltReason:
        record = self.record
        for index, incarnation in self.ordered_incarnations.items():
            heartbeat = fleet.heartbeats.get(index)
            if heartbeat is None or (
                heartbeat.incarnation == incarnation and not self._is_leaving(heartbeat)
            ):
                continue
            if heartbeat.incarnation == incarnation:
                self.seen_leaving.add(index)
            # One that crashed before it went comes back as it was, and is no cause.
            elif (
                index in self.seen_leaving
                and heartbeat.serving_state is ServingState.SERVING
                and heartbeat.version != target_version(record)
            ):
                return HaltReason.WRONG
        since = [
            max(at_us, self.began_us) if record.back else at_us
            for index, at_us in fleet.unavailable_since_us.items()
            # On the way back those that never came up with the new version are no cause to stop it.
            if index in fleet.unavailable and (not record.back or index in self.ordered_incarnations)
        ]
        if since and now_us - min(since) > record.plan.out_ms * 1000:
            return HaltReason.OUT_LONG
        if record.back:
            return HaltReason.NONE
        is_serving = {i: heartbeat for i, heartbeat in fleet.heartbeats.items() if i not in fleet.unavailable}
        return self.analysis.evaluate(is_serving, record.plan, now_us)

    @staticmethod
    def _is_leaving(heartbeat: Heartbeat) -> bool:
        """Whether a front is on its way out."""
        permit = any(one.kind is Kind.FRONT and one.is_granted for one in heartbeat.open_requests)
        return permit or heartbeat.serving_state is ServingState.DRAINING

    def fronts_to_order(self, fleet: FleetView, now_us: int) -> list[int]:
        """Whom to tell now that it is its turn: one that serves, at a time, so that their asks for permits
        don't meet; on the way back also all that don't serve and still speak."""
        record = self.record
        if record.phase is not RolloutPhase.MOVING:
            return []
        version = target_version(record)
        have = fleet.fronts_with(version)
        count = record.goal - len(have) - len(fleet.unavailable - fleet.written_off)
        going = self._next_front(fleet, version, count, now_us)
        if record.back:
            speak = [
                i
                for i in fleet.unavailable
                if i in fleet.heartbeats and fleet.heartbeats[i].version != version
            ]
            going += [i for i in speak if fleet.heartbeats[i].serving_state is not ServingState.SERVING]
        for index in going:
            self.ordered_incarnations.setdefault(index, fleet.heartbeats[index].incarnation)
        return going

    def _next_front(self, fleet: FleetView, version: int, count: int, now_us: int) -> list[int]:
        lack = self._by_priority(fleet, version)
        # One that has its permit and still serves is on its way.
        away = [i for i in lack if self._is_leaving(fleet.heartbeats[i])]
        left = [i for i in lack if i not in away]
        if count <= len(away) or not left or now_us < self.no_orders_until_us:
            return []
        first = left[0]
        if now_us > self.first_ordered_us.setdefault(first, now_us) + ORDER_TIMEOUT_US:
            # Its hall may be full, or its path bad: the others need not wait for that.
            self.first_ordered_us.pop(first)
            self.postponed = [i for i in self.postponed if i != first] + [first]
            self.no_orders_until_us = now_us + SETTLE_US
            return []
        return [first]

    def _by_priority(self, fleet: FleetView, version: int) -> list[int]:
        number = self.record.plan.number

        def rank(index: int) -> tuple[int, bool, int]:
            # Who leads goes last: another has to carry the plan on then.
            late = self.postponed.index(index) + 1 if index in self.postponed else 0
            newest = fleet.heartbeats[index].serving_for_s
            rng = crc32(f"{number}/{index}".encode())
            return late, index == fleet.leader_index, newest if self.record.back else rng

        return sorted(fleet.fronts_without(version), key=rank)
