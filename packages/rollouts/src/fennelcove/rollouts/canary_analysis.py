"""Decides from the fronts' counters whether an active rollout has to be halted.

All figures are differences between cumulative counters of one incarnation, so a lost heartbeat loses no data.
Fronts with the new version are compared with the other fronts of the same zone in the same window, so that a
change of load affects both groups alike. Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import sqrt
from statistics import median_low

from fennelcove.rollouts.messages import HaltReason, Heartbeat, Plan

WINDOW_US = 5_000_000
MIN_REQUESTS = 60  # with fewer session set-ups no ratio is evaluated
MIN_STANDARD_ERRORS = 2.5  # the shortfall of the new version has to exceed this many
PER_MILLE = 1000  # the ratios of a plan are in thousandths


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of session set-ups, summed over a group of fronts in one window."""

    requested: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, before: Heartbeat, after: Heartbeat) -> None:
        """Add the differences between two heartbeats of a front; inconsistent counters are ignored."""
        requested, served = after.requested - before.requested, after.served - before.served
        refused, failed = after.refused - before.refused, after.failed - before.failed
        if min(requested, served, refused, failed) < 0 or served > requested:
            return
        self.requested += requested
        self.served += served
        self.refused += refused
        self.failed += failed

    @property
    def success_ratio(self) -> float:
        """The fraction of set-ups that were served without a failed attempt."""
        return max(0.0, (self.served - self.failed) / self.requested) if self.requested else 1.0


@dataclass(slots=True)
class PairedOutcomes:
    """The success ratio of the new version compared with the old one, weighted by session set-ups.

    Accumulated over all zones and windows.
    """

    weight: float = 0.0
    weighted_shortfall: float = 0.0
    variance: float = 0.0

    def add(self, new: OutcomeCounts, old: OutcomeCounts) -> None:
        """Add the counts of one zone in one window."""
        if not new.requested or not old.requested:
            return
        successes = new.success_ratio * new.requested + old.success_ratio * old.requested
        pooled_ratio = successes / (new.requested + old.requested)
        self.weight += new.requested
        self.weighted_shortfall += new.requested * (old.success_ratio - new.success_ratio)
        sampling = 1 / new.requested + 1 / old.requested
        self.variance += new.requested**2 * pooled_ratio * (1 - pooled_ratio) * sampling

    def is_worse(self, margin: float) -> bool:
        """Return whether the new version's shortfall exceeds a margin and is statistically significant."""
        if self.weight < MIN_REQUESTS:
            return False
        mean, error = self.weighted_shortfall / self.weight, sqrt(self.variance) / self.weight
        return mean > margin and mean > MIN_STANDARD_ERRORS * error


def _total(counts: Iterable[OutcomeCounts]) -> OutcomeCounts:
    total = OutcomeCounts()
    for one in counts:
        total.requested += one.requested
        total.served += one.served
        total.refused += one.refused
        total.failed += one.failed
    return total


@dataclass(slots=True)
class CanaryAnalysis:
    """Evaluates a plan window by window; a new one is used for each plan, direction and leader."""

    zones: Mapping[int, int]  # by front
    window_began_us: int
    window_start: dict[int, Heartbeat] = field(default_factory=dict)  # heartbeats at the start of the window
    comparison: PairedOutcomes = field(default_factory=PairedOutcomes)

    def evaluate(self, heartbeats: Mapping[int, Heartbeat], plan: Plan, now_us: int) -> HaltReason:
        """Evaluate the window if it has ended, and return the reason to halt or `HaltReason.NONE`.

        `heartbeats` holds the newest heartbeat of each serving front.
        """
        if now_us < self.window_began_us + WINDOW_US:
            return HaltReason.NONE
        new: dict[int, OutcomeCounts] = {}
        old: dict[int, OutcomeCounts] = {}
        for index, after in heartbeats.items():
            before = self.window_start.get(index)
            if before is None or before.incarnation != after.incarnation or before.sequence > after.sequence:
                continue
            by_zone = new if after.version == plan.wanted else old
            by_zone.setdefault(self.zones.get(index, 0), OutcomeCounts()).add(before, after)
        self.window_began_us, self.window_start = now_us, dict(heartbeats)
        self._compare(new, old)
        return self._halt_reason(_total([*new.values(), *old.values()]), heartbeats, plan)

    def _compare(self, new: Mapping[int, OutcomeCounts], old: Mapping[int, OutcomeCounts]) -> None:
        """Compare the versions by zone; a zone without the old version is compared with the whole fleet."""
        whole_fleet = _total(old.values())
        for zone, counts in new.items():
            neighbours = old.get(zone)
            if neighbours is None or not neighbours.requested:
                neighbours = whole_fleet
            self.comparison.add(counts, neighbours)

    def _halt_reason(
        self, fleet: OutcomeCounts, heartbeats: Mapping[int, Heartbeat], plan: Plan
    ) -> HaltReason:
        if self.comparison.is_worse(plan.worse / PER_MILLE):
            return HaltReason.WORSE
        if heartbeats and median_low(one.storm_phase for one in heartbeats.values()) >= plan.storm:
            return HaltReason.STORM
        if heartbeats and median_low(one.shedding_level for one in heartbeats.values()) >= plan.level:
            return HaltReason.LADDER
        if fleet.requested < MIN_REQUESTS:
            return HaltReason.NONE
        return self._exceeded_ratio(fleet, plan)

    @staticmethod
    def _exceeded_ratio(fleet: OutcomeCounts, plan: Plan) -> HaltReason:
        if fleet.failed * PER_MILLE > plan.failed * fleet.requested:
            return HaltReason.FAILED
        if fleet.refused * PER_MILLE > plan.refused * fleet.requested:
            return HaltReason.REFUSED
        if fleet.served * PER_MILLE < plan.floor * fleet.requested:
            return HaltReason.SERVED
        return HaltReason.NONE
