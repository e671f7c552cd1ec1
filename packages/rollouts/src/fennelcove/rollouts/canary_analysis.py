"""What the fleet shows while a plan is under way, and whether that is a cause to halt.

All figures are differences of what fronts counted in one life, so a word that is lost costs nothing. Those
with the new version are compared with neighbours that do not have it, hall by hall and window by window: an
evening's ebb or a flood meets both alike. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import sqrt
from statistics import median_low

from fennelcove.rollouts.messages import Plan, HaltReason, Heartbeat

WINDOW_US = 5_000_000
MIN_REQUESTS = 60  # set-ups of a window that say nothing
MIN_STANDARD_ERRORS = 2.5  # standard errors by which the new has to be behind


@dataclass(slots=True)
class OutcomeCounts:
    """What was counted."""

    requested: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, before: Heartbeat, after: Heartbeat) -> None:
        """What a front counted between two words of one life; one that counts wrongly counts for nothing."""
        asked, served = after.requested - before.requested, after.served - before.served
        refused, failed = after.refused - before.refused, after.failed - before.failed
        if min(asked, served, refused, failed) < 0 or served > asked:
            return
        self.requested += asked
        self.served += served
        self.refused += refused
        self.failed += failed

    @property
    def success_ratio(self) -> float:
        """The part of set-ups that was served, and by joins that did not fail."""
        return max(0.0, (self.served - self.failed) / self.requested) if self.requested else 1.0


@dataclass(slots=True)
class PairedOutcomes:
    """How far the new are behind their neighbours, over all windows."""

    weight: float = 0.0
    weighted_shortfall: float = 0.0
    variance: float = 0.0

    def add(self, new: OutcomeCounts, old: OutcomeCounts) -> None:
        """One hall in one window."""
        if not new.requested or not old.requested:
            return
        share = (new.success_ratio * new.requested + old.success_ratio * old.requested) / (
            new.requested + old.requested
        )
        self.weight += new.requested
        self.weighted_shortfall += new.requested * (old.success_ratio - new.success_ratio)
        self.variance += new.requested**2 * share * (1 - share) * (1 / new.requested + 1 / old.requested)

    def is_worse(self, by: float) -> bool:
        """Whether the new are behind by more than so much, and not by chance."""
        if self.weight < MIN_REQUESTS:
            return False
        mean, error = self.weighted_shortfall / self.weight, sqrt(self.variance) / self.weight
        return mean > by and mean > MIN_STANDARD_ERRORS * error


@dataclass(slots=True)
class CanaryAnalysis:
    """Watches one step of a plan; begun anew with each plan, each way and each leader."""

    zones: Mapping[int, int]  # of each front
    window_began_us: int
    window_start: dict[int, Heartbeat] = field(default_factory=dict)  # at the begin of the window
    comparison: PairedOutcomes = field(default_factory=PairedOutcomes)

    def evaluate(self, heartbeats: Mapping[int, Heartbeat], plan: Plan, now_us: int) -> HaltReason:
        """The cause to halt that a window shows which ends now, if it does. `words`: the newest of all fronts
        that serve."""
        if now_us < self.window_began_us + WINDOW_US:
            return HaltReason.NONE
        whole, new, old = OutcomeCounts(), self._tallies(), self._tallies()
        for index, after in heartbeats.items():
            before = self.window_start.get(index)
            if before is None or before.incarnation != after.incarnation or before.sequence > after.sequence:
                continue
            whole.add(before, after)
            side = new if after.version == plan.wanted else old
            side.setdefault(self.zones.get(index, 0), OutcomeCounts()).add(before, after)
        self.window_began_us, self.window_start = now_us, dict(heartbeats)
        everywhere = OutcomeCounts()
        for one in old.values():
            everywhere.requested += one.requested
            everywhere.served += one.served
            everywhere.failed += one.failed
        for zone, tally in new.items():
            beside = old.get(zone)
            self.comparison.add(tally, beside if beside is not None and beside.requested else everywhere)
        return self._halt_reason(whole, heartbeats, plan)

    def _halt_reason(
        self, whole: OutcomeCounts, heartbeats: Mapping[int, Heartbeat], plan: Plan
    ) -> HaltReason:
        if self.comparison.is_worse(plan.worse / 1000):
            return HaltReason.WORSE
        if (
            heartbeats
            and median_low(heartbeat.storm_phase for heartbeat in heartbeats.values()) >= plan.storm
        ):
            return HaltReason.STORM
        if (
            heartbeats
            and median_low(heartbeat.shedding_level for heartbeat in heartbeats.values()) >= plan.level
        ):
            return HaltReason.LADDER
        if whole.requested < MIN_REQUESTS:
            return HaltReason.NONE
        return next((reason for reason, past in self._exceeded_ratios(whole, plan) if past), HaltReason.NONE)

    @staticmethod
    def _exceeded_ratios(whole: OutcomeCounts, plan: Plan) -> list[tuple[HaltReason, bool]]:
        asked = whole.requested
        return [
            (HaltReason.FAILED, whole.failed * 1000 > plan.failed * asked),
            (HaltReason.REFUSED, whole.refused * 1000 > plan.refused * asked),
            (HaltReason.SERVED, whole.served * 1000 < plan.floor * asked),
        ]

    @staticmethod
    def _tallies() -> dict[int, OutcomeCounts]:
        return {}
