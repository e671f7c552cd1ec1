"""Whether a front is in a retry storm, from what it alone sees: phases with hysteresis, as a state table.

A peak is not a storm. What tells them apart is that a storm's arrivals come back: many more than this front's
usual pace and chance explain, while a good part of the answers are refusals. Arrivals alone, or refusals
alone, are an evening's start or a lost box.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import sqrt

WINDOW_US = 500_000
BASELINE_WEIGHT = (
    1 / 64
)  # of each calm window in the usual pace: half a minute, longer than a storm's first rise
CROWD_FACTOR = 2.0  # the least whole factor past an evening's own swing, as in the module's rationing
STANDARD_DEVIATIONS = 3.0  # chance in a count: three times the root of it
HIGH_REJECTED_FRACTION = 0.2
LOW_REJECTED_FRACTION = 0.05
RISING_WINDOWS = 2  # windows in a row that make a rise a storm
CALM_WINDOWS = 6  # windows in a row that make it over: a storm that pauses for a breath has not ended
SETTLING_WINDOWS = 6


class StormState(Enum):
    """How the front stands towards those who ask."""

    CALM = auto()
    RISING = auto()
    STORM = auto()
    SETTLING = auto()


class StormSignal(Enum):
    """What one window shows."""

    HOT = auto()  # far more than usual, and many refused
    CROWD = auto()  # far more than usual
    FULL = auto()  # many refused
    COOL = auto()  # neither


@dataclass(frozen=True, slots=True)
class StormTransition:
    """The next phase, once the sign has come so many windows in a row."""

    after_windows: int
    state: StormState


TRANSITIONS: dict[tuple[StormState, StormSignal], StormTransition] = {
    (StormState.CALM, StormSignal.HOT): StormTransition(1, StormState.RISING),
    (StormState.RISING, StormSignal.HOT): StormTransition(RISING_WINDOWS, StormState.STORM),
    (StormState.RISING, StormSignal.CROWD): StormTransition(CALM_WINDOWS, StormState.CALM),
    (StormState.RISING, StormSignal.FULL): StormTransition(CALM_WINDOWS, StormState.CALM),
    (StormState.RISING, StormSignal.COOL): StormTransition(RISING_WINDOWS, StormState.CALM),
    # While the crowd comes the damping that keeps it from being refused must stay: its rest is no calm.
    (StormState.STORM, StormSignal.FULL): StormTransition(CALM_WINDOWS, StormState.SETTLING),
    (StormState.STORM, StormSignal.COOL): StormTransition(CALM_WINDOWS, StormState.SETTLING),
    # It starts again within a minute: no second rise is waited for.
    (StormState.SETTLING, StormSignal.HOT): StormTransition(1, StormState.STORM),
    # Refusals that go on without a crowd are overload, and no storm: they must not hold the phase for ever.
    (StormState.SETTLING, StormSignal.FULL): StormTransition(4 * SETTLING_WINDOWS, StormState.CALM),
    (StormState.SETTLING, StormSignal.COOL): StormTransition(SETTLING_WINDOWS, StormState.CALM),
}

# How fast each phase takes arrivals for usual. None is zero: what never ends becomes the usual pace, so that
# no phase lasts for ever.
BASELINE_WEIGHTS = {
    StormState.CALM: BASELINE_WEIGHT,
    StormState.RISING: BASELINE_WEIGHT / 4,
    StormState.STORM: BASELINE_WEIGHT / 4,
    StormState.SETTLING: BASELINE_WEIGHT,
}


@dataclass(slots=True)
class RetryWindow:
    """What was counted since the window began."""

    asked: int = 0
    let_in: int = 0
    refused: int = 0  # of those let in, by the module: what damping turns away must not feed itself


@dataclass(slots=True)
class RetryStormDetector:
    """One front's phase. The caller hands in the time and holds the lock."""

    window_started_us: int
    phase: StormState = StormState.CALM
    window: RetryWindow = field(default_factory=RetryWindow)
    usual: float = 0.0  # arrivals in a window
    seen: int = 0
    sign: StormSignal = StormSignal.COOL
    consecutive_windows: int = 0
    changes: int = 0
    entered_us: int = 0

    def advance(self, now_us: int) -> None:
        """Close the windows that have passed; many at once after a stall count as empty ones, a bounded
        few."""
        passed = (now_us - self.window_started_us) // WINDOW_US
        for _ in range(min(passed, CALM_WINDOWS + SETTLING_WINDOWS)):
            self._close(now_us)
        if passed > 0:
            self.window_started_us += passed * WINDOW_US

    def _close(self, now_us: int) -> None:
        window, self.window = self.window, RetryWindow()
        sign = self.classify(window)
        self.consecutive_windows = self.consecutive_windows + 1 if sign is self.sign else 1
        self.sign = sign
        weight = BASELINE_WEIGHTS[self.phase]
        if self.phase is StormState.CALM and sign is not StormSignal.HOT:
            # The first windows count for more: a new front knows no past.
            self.seen += 1
            weight = max(weight, 1 / (self.seen + 1))
        self.usual += (window.asked - self.usual) * weight
        rule = TRANSITIONS.get((self.phase, sign))
        if rule is not None and self.consecutive_windows >= rule.after_windows:
            self.phase, self.consecutive_windows, self.entered_us = rule.state, 0, now_us
            self.changes += 1

    def classify(self, window: RetryWindow) -> StormSignal:
        """What a window shows."""
        crowd = window.asked > CROWD_FACTOR * self.usual + STANDARD_DEVIATIONS * sqrt(self.usual + 1)
        share = window.refused / window.let_in if window.let_in else 0.0
        limit = (
            HIGH_REJECTED_FRACTION
            if self.phase in (StormState.CALM, StormState.RISING)
            else LOW_REJECTED_FRACTION
        )
        refused = window.refused >= STANDARD_DEVIATIONS and share > limit
        if crowd and refused:
            return StormSignal.HOT
        return StormSignal.CROWD if crowd else StormSignal.FULL if refused else StormSignal.COOL

    def damped(self) -> bool:
        """Whether places are given out and kept."""
        return self.phase in (StormState.STORM, StormState.SETTLING)
