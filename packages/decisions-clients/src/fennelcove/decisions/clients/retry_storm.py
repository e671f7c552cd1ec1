"""Detection of a retry storm from the requests of a single front: a state table with hysteresis.

A load peak is not a retry storm. In a storm many requests are retries: there are significantly more requests
than this front's usual rate, and a large part of the responses are rejections. Many requests without
rejections are an ordinary evening peak, and rejections without more requests are due to a lost server.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import sqrt

WINDOW_US = 500_000
# The weight of each calm window in the baseline: half a minute, longer than the onset of a storm.
BASELINE_WEIGHT = 1 / 64
CROWD_FACTOR = 2.0  # smallest integer above the ordinary variation of an evening, as in the policy's quotas
STANDARD_DEVIATIONS = 3.0  # of a count, whose standard deviation is its square root
HIGH_REJECTED_FRACTION = 0.2
LOW_REJECTED_FRACTION = 0.05
RISING_WINDOWS = 2  # consecutive windows after which a rise counts as a storm
CALM_WINDOWS = 6  # consecutive windows after which a storm has ended; a brief pause does not end it
SETTLING_WINDOWS = 6


class StormState(Enum):
    """Whether the front is in a retry storm; member names appear in the status response and in logs."""

    CALM = auto()
    RISING = auto()
    STORM = auto()
    SETTLING = auto()


class StormSignal(Enum):
    """The classification of one window; member names appear in the status response."""

    HOT = auto()  # many more requests than usual, and many rejections
    CROWD = auto()  # many more requests than usual
    FULL = auto()  # many rejections
    COOL = auto()  # neither


@dataclass(frozen=True, slots=True)
class StormTransition:
    """The next state, after a signal in this number of consecutive windows."""

    after_windows: int
    state: StormState


TRANSITIONS: dict[tuple[StormState, StormSignal], StormTransition] = {
    (StormState.CALM, StormSignal.HOT): StormTransition(1, StormState.RISING),
    (StormState.RISING, StormSignal.HOT): StormTransition(RISING_WINDOWS, StormState.STORM),
    (StormState.RISING, StormSignal.CROWD): StormTransition(CALM_WINDOWS, StormState.CALM),
    (StormState.RISING, StormSignal.FULL): StormTransition(CALM_WINDOWS, StormState.CALM),
    (StormState.RISING, StormSignal.COOL): StormTransition(RISING_WINDOWS, StormState.CALM),
    # While there are many more requests than usual, the damping that prevents rejections must stay active.
    (StormState.STORM, StormSignal.FULL): StormTransition(CALM_WINDOWS, StormState.SETTLING),
    (StormState.STORM, StormSignal.COOL): StormTransition(CALM_WINDOWS, StormState.SETTLING),
    # The storm has started again within a minute: a single window is enough.
    (StormState.SETTLING, StormSignal.HOT): StormTransition(1, StormState.STORM),
    # Rejections without additional requests are overload and not a storm: the state must end nevertheless.
    (StormState.SETTLING, StormSignal.FULL): StormTransition(4 * SETTLING_WINDOWS, StormState.CALM),
    (StormState.SETTLING, StormSignal.COOL): StormTransition(SETTLING_WINDOWS, StormState.CALM),
}

# The weight of a window in the baseline, by state. None is zero: a rate that persists becomes the usual rate,
# so that no state lasts indefinitely.
BASELINE_WEIGHTS = {
    StormState.CALM: BASELINE_WEIGHT,
    StormState.RISING: BASELINE_WEIGHT / 4,
    StormState.STORM: BASELINE_WEIGHT / 4,
    StormState.SETTLING: BASELINE_WEIGHT,
}


@dataclass(slots=True)
class RetryWindow:
    """The counts of the current window."""

    request_count: int = 0
    admitted_count: int = 0
    # Admitted requests that the policy rejected. Rejections by damping are left out: damping would otherwise
    # prolong itself.
    rejected_count: int = 0

    @property
    def rejected_fraction(self) -> float:
        """The fraction of the admitted requests that the policy rejected."""
        return self.rejected_count / self.admitted_count if self.admitted_count else 0.0


@dataclass(slots=True)
class RetryStormDetector:
    """Detects a retry storm at one front. The caller supplies the time and holds the lock."""

    window_started_us: int
    state: StormState = StormState.CALM
    window: RetryWindow = field(default_factory=RetryWindow)
    baseline: float = 0.0  # the usual number of requests in a window
    calm_window_count: int = 0  # since the start
    signal: StormSignal = StormSignal.COOL  # of the latest window
    consecutive_windows: int = 0  # with this signal
    transition_count: int = 0  # since the start
    entered_us: int = 0  # when the state was entered

    def advance(self, now_us: int) -> None:
        """Close the windows that have passed; after a stall, only a bounded number of empty ones."""
        passed = (now_us - self.window_started_us) // WINDOW_US
        for _ in range(min(passed, CALM_WINDOWS + SETTLING_WINDOWS)):
            self._close_window(now_us)
        if passed > 0:
            self.window_started_us += passed * WINDOW_US

    def _close_window(self, now_us: int) -> None:
        window = self.window
        self.window = RetryWindow()
        signal = self.classify(window)
        self.consecutive_windows = self.consecutive_windows + 1 if signal is self.signal else 1
        self.signal = signal
        self._update_baseline(window.request_count)
        transition = TRANSITIONS.get((self.state, signal))
        if transition is not None and self.consecutive_windows >= transition.after_windows:
            self.state = transition.state
            self.consecutive_windows = 0
            self.entered_us = now_us
            self.transition_count += 1

    def _update_baseline(self, requests: int) -> None:
        weight = BASELINE_WEIGHTS[self.state]
        if self.state is StormState.CALM and self.signal is not StormSignal.HOT:
            # The first windows have more weight, because a front that has just started has no history.
            self.calm_window_count += 1
            weight = max(weight, 1 / (self.calm_window_count + 1))
        self.baseline += (requests - self.baseline) * weight

    def classify(self, window: RetryWindow) -> StormSignal:
        """The signal of a window."""
        has_crowd = window.request_count > CROWD_FACTOR * self.baseline + STANDARD_DEVIATIONS * sqrt(
            self.baseline + 1
        )
        has_rejections = (
            window.rejected_count >= STANDARD_DEVIATIONS
            and window.rejected_fraction > self._rejected_threshold()
        )
        if has_crowd:
            return StormSignal.HOT if has_rejections else StormSignal.CROWD
        return StormSignal.FULL if has_rejections else StormSignal.COOL

    def _rejected_threshold(self) -> float:
        """The threshold is lower during a storm, so that it ends only once rejections have become rare."""
        if self.state in (StormState.CALM, StormState.RISING):
            return HIGH_REJECTED_FRACTION
        return LOW_REJECTED_FRACTION

    def is_damping(self) -> bool:
        """Whether tickets are issued and required."""
        return self.state in (StormState.STORM, StormState.SETTLING)
