"""The leader's execution of a plan: which front to order next, and when the plan changes its phase.

Times are in microseconds of the leader's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from zlib import crc32

from fennelcove.rollouts.canary_analysis import CanaryAnalysis
from fennelcove.rollouts.fleet_view import FleetView
from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    HaltReason,
    Heartbeat,
    PlaceKind,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.rollout_plan import RolloutEvent, target_version

ORDER_TIMEOUT_US = 4_000_000  # an ordered front that has not begun to drain by then is postponed
ORDER_EXPIRY_US = 2_000_000  # how long after the last order a front keeps requesting its permit
# After this time all earlier orders, of this leader or another, have expired or shown their effect.
SETTLE_US = 4_500_000


@dataclass(frozen=True, slots=True)
class Finding:
    """An event of the plan that the leader has observed."""

    event: RolloutEvent
    reason: HaltReason = HaltReason.NONE


@dataclass(slots=True)
class PlanExecution:
    """A leader's orders and observations for its plan."""

    record: RolloutRecord
    zones: Mapping[int, int]  # by front
    began_us: int  # when a majority had accepted the record
    analysis: CanaryAnalysis = field(init=False)
    ordered_incarnations: dict[int, int] = field(default_factory=dict)  # incarnation of each ordered front
    seen_leaving: set[int] = field(default_factory=set)  # ordered fronts that have begun to drain
    first_ordered_us: dict[int, int] = field(default_factory=dict)  # of the front that is next in order
    postponed: list[int] = field(default_factory=list)  # fronts that timed out, longest ago first
    # Two fronts that request permits at the same time may both drain and overshoot the step's goal, so new
    # orders wait until earlier ones have settled.
    no_orders_until_us: int = 0

    def __post_init__(self) -> None:
        self.analysis = CanaryAnalysis(self.zones, self.began_us)
        self.no_orders_until_us = self.began_us + SETTLE_US

    def on_record_agreed(self, record: RolloutRecord, now_us: int) -> None:
        """Continue with a record that a majority has accepted."""
        is_same_plan = record.plan.number == self.record.plan.number
        is_same_direction = record.back == self.record.back
        if not (is_same_plan and is_same_direction) or record.phase not in ACTIVE_PHASES:
            self.analysis = CanaryAnalysis(self.zones, now_us)
            self.ordered_incarnations.clear()
            self.seen_leaving.clear()
        if record.phase is not self.record.phase:
            self.first_ordered_us.clear()
            self.postponed.clear()
        self.record, self.began_us = record, now_us

    def evaluate(self, fleet: FleetView, now_us: int) -> Finding | None:
        """Return the event that the current observations show, or None."""
        if self.record.phase not in ACTIVE_PHASES:
            return None
        reason = self._halt_reason(fleet, now_us)
        if reason is not HaltReason.NONE:
            return Finding(RolloutEvent.HALT_REASON_FOUND, reason)
        updated_count = len(fleet.fronts_with(target_version(self.record)))
        is_complete = updated_count >= fleet.expected_count
        if self.record.phase is RolloutPhase.MOVING:
            if self.record.back and is_complete:
                return Finding(RolloutEvent.COMPLETED)
            is_step_complete = is_complete or updated_count >= self.record.goal
            return Finding(RolloutEvent.STEP_COMPLETED) if is_step_complete else None
        if now_us < self.began_us + self.record.plan.soak_ms * 1000:
            return None
        event = RolloutEvent.COMPLETED if is_complete else RolloutEvent.SOAKED
        return Finding(event)

    def _halt_reason(self, fleet: FleetView, now_us: int) -> HaltReason:
        if self._has_returned_with_wrong_version(fleet):
            return HaltReason.WRONG
        if self._has_long_outage(fleet, now_us):
            return HaltReason.OUT_LONG
        if self.record.back:
            return HaltReason.NONE
        serving = {i: one for i, one in fleet.heartbeats.items() if i not in fleet.unavailable}
        return self.analysis.evaluate(serving, self.record.plan, now_us)

    def _has_returned_with_wrong_version(self, fleet: FleetView) -> bool:
        """Return whether an ordered front has drained and serves again without the target version."""
        target = target_version(self.record)
        for index, incarnation in self.ordered_incarnations.items():
            heartbeat = fleet.heartbeats.get(index)
            if heartbeat is None:
                continue
            if heartbeat.incarnation == incarnation:
                if self._is_leaving(heartbeat):
                    self.seen_leaving.add(index)
                continue
            # A front that crashed before it drained restarts with its old version: no reason to halt.
            is_serving = heartbeat.serving_state is ServingState.SERVING
            if index in self.seen_leaving and is_serving and heartbeat.version != target:
                return True
        return False

    def _has_long_outage(self, fleet: FleetView, now_us: int) -> bool:
        """Return whether a front has been unavailable for longer than the plan allows."""
        is_back = self.record.back
        since_us = [
            max(at_us, self.began_us) if is_back else at_us
            for index, at_us in fleet.unavailable_since_us.items()
            # Fronts that never started with the new version must not stop the rollback.
            if index in fleet.unavailable and (not is_back or index in self.ordered_incarnations)
        ]
        return bool(since_us) and now_us - min(since_us) > self.record.plan.out_ms * 1000

    @staticmethod
    def _is_leaving(heartbeat: Heartbeat) -> bool:
        """Return whether a front drains or has a permit to drain."""
        has_permit = any(one.kind is PlaceKind.FRONT and one.is_granted for one in heartbeat.open_requests)
        return has_permit or heartbeat.serving_state is ServingState.DRAINING

    def fronts_to_order(self, fleet: FleetView, now_us: int) -> list[int]:
        """Return the fronts to order to drain now.

        Serving fronts are ordered one at a time, so that their permit requests don't compete. In a rollback
        all fronts that do not serve but still send heartbeats are ordered too.
        """
        record = self.record
        if record.phase is not RolloutPhase.MOVING:
            return []
        version = target_version(record)
        unavailable_count = len(fleet.unavailable - fleet.written_off)
        missing_count = record.goal - len(fleet.fronts_with(version)) - unavailable_count
        ordered = self._next_front(fleet, version, missing_count, now_us)
        if record.back:
            ordered += self._not_serving(fleet, version)
        for index in ordered:
            self.ordered_incarnations.setdefault(index, fleet.heartbeats[index].incarnation)
        return ordered

    @staticmethod
    def _not_serving(fleet: FleetView, version: int) -> list[int]:
        known = [index for index in fleet.unavailable if index in fleet.heartbeats]
        outdated = [index for index in known if fleet.heartbeats[index].version != version]
        serving = ServingState.SERVING
        return [index for index in outdated if fleet.heartbeats[index].serving_state is not serving]

    def _next_front(self, fleet: FleetView, version: int, missing_count: int, now_us: int) -> list[int]:
        candidates = self._by_priority(fleet, version)
        # A front that has a permit but still serves is about to drain.
        leaving = [index for index in candidates if self._is_leaving(fleet.heartbeats[index])]
        waiting = [index for index in candidates if index not in leaving]
        if missing_count <= len(leaving) or not waiting or now_us < self.no_orders_until_us:
            return []
        first = waiting[0]
        if now_us > self.first_ordered_us.setdefault(first, now_us) + ORDER_TIMEOUT_US:
            # Its zone may be at its limit or its connection faulty: the other fronts need not wait for it.
            self.first_ordered_us.pop(first)
            self.postponed = [index for index in self.postponed if index != first] + [first]
            self.no_orders_until_us = now_us + SETTLE_US
            return []
        return [first]

    def _by_priority(self, fleet: FleetView, version: int) -> list[int]:
        plan_number = self.record.plan.number

        def rank(index: int) -> tuple[int, bool, int]:
            # The leader is ordered last, because another front has to take over the lead when it drains.
            postponed = self.postponed.index(index) + 1 if index in self.postponed else 0
            if self.record.back:
                order = fleet.heartbeats[index].serving_for_s  # most recently started first
            else:
                order = crc32(f"{plan_number}/{index}".encode())
            return postponed, index == fleet.leader_index, order

        return sorted(fleet.fronts_without(version), key=rank)
