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

from fennelcove.rollouts.messages import Plan, Reason, Word

WINDOW_US = 5_000_000
FEW = 60  # set-ups of a window that say nothing
SURE = 2.5  # standard errors by which the new has to be behind


@dataclass(slots=True)
class OutcomeCounts:
    """What was counted."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0

    def add(self, before: Word, after: Word) -> None:
        """What a front counted between two words of one life; one that counts wrongly counts for nothing."""
        asked, served = after.asked - before.asked, after.served - before.served
        refused, failed = after.refused - before.refused, after.failed - before.failed
        if min(asked, served, refused, failed) < 0 or served > asked:
            return
        self.asked += asked
        self.served += served
        self.refused += refused
        self.failed += failed

    @property
    def good(self) -> float:
        """The part of set-ups that was served, and by joins that did not fail."""
        return max(0.0, (self.served - self.failed) / self.asked) if self.asked else 1.0


@dataclass(slots=True)
class PairedOutcomes:
    """How far the new are behind their neighbours, over all windows."""

    weight: float = 0.0
    behind: float = 0.0
    variance: float = 0.0

    def add(self, new: OutcomeCounts, old: OutcomeCounts) -> None:
        """One hall in one window."""
        if not new.asked or not old.asked:
            return
        share = (new.good * new.asked + old.good * old.asked) / (new.asked + old.asked)
        self.weight += new.asked
        self.behind += new.asked * (old.good - new.good)
        self.variance += new.asked**2 * share * (1 - share) * (1 / new.asked + 1 / old.asked)

    def worse(self, by: float) -> bool:
        """Whether the new are behind by more than so much, and not by chance."""
        if self.weight < FEW:
            return False
        mean, error = self.behind / self.weight, sqrt(self.variance) / self.weight
        return mean > by and mean > SURE * error


@dataclass(slots=True)
class CanaryAnalysis:
    """Watches one step of a plan; begun anew with each plan, each way and each leader."""

    halls: Mapping[int, int]  # of each front
    began_us: int
    words: dict[int, Word] = field(default_factory=dict)  # at the begin of the window
    pairs: PairedOutcomes = field(default_factory=PairedOutcomes)

    def look(self, words: Mapping[int, Word], plan: Plan, now_us: int) -> Reason:
        """The cause to halt that a window shows which ends now, if it does. `words`: the newest of all fronts
        that serve."""
        if now_us < self.began_us + WINDOW_US:
            return Reason.NONE
        whole, new, old = OutcomeCounts(), self._tallies(), self._tallies()
        for index, after in words.items():
            before = self.words.get(index)
            if before is None or before.life != after.life or before.number > after.number:
                continue
            whole.add(before, after)
            side = new if after.version == plan.wanted else old
            side.setdefault(self.halls.get(index, 0), OutcomeCounts()).add(before, after)
        self.began_us, self.words = now_us, dict(words)
        everywhere = OutcomeCounts()
        for one in old.values():
            everywhere.asked += one.asked
            everywhere.served += one.served
            everywhere.failed += one.failed
        for zone, tally in new.items():
            beside = old.get(zone)
            self.pairs.add(tally, beside if beside is not None and beside.asked else everywhere)
        return self._cause(whole, words, plan)

    def _cause(self, whole: OutcomeCounts, words: Mapping[int, Word], plan: Plan) -> Reason:
        if self.pairs.worse(plan.worse / 1000):
            return Reason.WORSE
        if words and median_low(word.storm for word in words.values()) >= plan.storm:
            return Reason.STORM
        if words and median_low(word.level for word in words.values()) >= plan.level:
            return Reason.LADDER
        if whole.asked < FEW:
            return Reason.NONE
        return next((reason for reason, past in self._shares(whole, plan) if past), Reason.NONE)

    @staticmethod
    def _shares(whole: OutcomeCounts, plan: Plan) -> list[tuple[Reason, bool]]:
        asked = whole.asked
        return [
            (Reason.FAILED, whole.failed * 1000 > plan.failed * asked),
            (Reason.REFUSED, whole.refused * 1000 > plan.refused * asked),
            (Reason.SERVED, whole.served * 1000 < plan.floor * asked),
        ]

    @staticmethod
    def _tallies() -> dict[int, OutcomeCounts]:
        return {}
