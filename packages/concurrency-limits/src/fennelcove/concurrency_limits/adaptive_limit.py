"""The concurrency limit that one front proposes for one server, from the measurements of the whole fleet.

The limit has a lower and an upper constraint. The lower one: enough slots that, at the current arrival rate,
no more than one set-up in a hundred waits longer than the configured part of its client timeout (`erlang`).
The upper one is the knee, beyond which more attempts in flight only make each of them slower. It is found by
the gradient, the ratio of current service times to a recent baseline (`latency_samples`).

A higher limit is first put on trial. The increase is small and must be in force for the span of a whole
histogram row before it is evaluated; it is reverted if service times grew, and the next one starts only after
it is confirmed. A lower limit is verified in the same way: if service times stay as long with fewer attempts
in flight, these attempts were not the cause (but another program on the server, or a slow disk), and the
baseline is learned again instead of lowering the limit without end. Under constant overload a baseline that
is never measured again would drift upwards, so the limit of a full server is occasionally lowered by a
quarter for a while (a probe).

A proposal has no effect until a majority of the server's voters propose it (`quorum`), so measurements of a
trial count only from when it is in force.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import ceil

from fennelcove.concurrency_limits.latency_histogram import ROW_SPAN_US, ObservedLatency
from fennelcove.concurrency_limits.latency_samples import MIN_SAMPLES, LatencySamples
from fennelcove.concurrency_limits.limit_decay import decayed_limit
from fennelcove.concurrency_limits.limit_transitions import (
    STATES_AWAITING_AGREEMENT,
    TRANSITIONS,
    LimitAction,
    LimitSignal,
    LimitState,
)

__all__ = ["ACTIONS", "AdaptiveLimit", "LimitAction", "LimitSettings"]

KNEE_GRADIENT = 1.5  # above this, service times are long because the server lacks capacity
HEALTHY_GRADIENT = 1.25  # up to this, a higher limit does no harm
FAR_FROM_KNEE_GRADIENT = 1.1
FAR_RISE_DIVISOR, NEAR_RISE_DIVISOR = 3, 8  # a rise adds a third or an eighth of the limit, at least one
PROBE_RATIO = 0.75  # its inverse must exceed HEALTHY_GRADIENT, or a drifting baseline is not detected
MAX_SAMPLING_US = 12_000_000  # after this, samples that are still inconclusive count as too few
MAX_UNANSWERED_SHARE = 0.2  # of all completed attempts
MAX_LATE_SHARE = 0.01  # of set-ups, that may wait longer than configured
SPLIT_FACTOR = 1.5  # with slots split among many fronts, some are always idle at a front without requests
IMPROVED_RATIO = 0.92  # lowering the limit did not help if the gradient stays above this part of its value
GENTLEST_FALL_RATIO, STEEPEST_FALL_RATIO = 0.85, 0.5  # new limit after a fall, relative to the old one
PROBE_INTERVAL_US = 30_000_000
MAX_SETTLE_US = 4_000_000  # longest time to wait for attempts that began under the earlier limit
SETTLE_FACTOR = 1.5  # time to wait for them, in units of the longest median service time
AGREEMENT_TIMEOUT_US = 6_000_000  # after this, a proposal that is not in force is withdrawn
MIN_BACKOFF_US, MAX_BACKOFF_US = 8_000_000, 32_000_000  # after a higher limit was reverted


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Settings of all adaptive limits."""

    start: int = 8  # initial limit of a server without any history
    min_limit: int = 2
    max_limit: int = 256
    max_wait_us: int = 100_000  # the configured part of the shortest client timeout


@dataclass(slots=True)
class AdaptiveLimit:
    """One front's proposal for one server. The caller passes in measurements, the agreed limit and times."""

    settings: LimitSettings
    limit: int
    now_us: int
    state: LimitState = LimitState.STEADY
    previous_limit: int = 0  # limit before the current rise, probe or series of falls
    last_action_us: int = 0
    in_force_since_us: int = 0  # when the current proposal came into force, 0 if it has not
    backoff_us: int = MIN_BACKOFF_US
    gradient_at_fall: float = 1.0
    last_gradient: float = 1.0
    baseline_confirmed_us: int = 0  # when the server was last healthy, or a probe last ended
    last_conclusive_us: int = 0  # when there were last enough samples
    sampled_us: int = 0  # end of the last samples; in the future while a new limit settles
    samples: LatencySamples = field(default_factory=LatencySamples)
    shape_limits: dict[int, int] = field(default_factory=dict)  # number of slots that each shape requires
    is_measured: bool = False  # whether there were ever enough samples of this server
    action_counts: dict[LimitAction, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start all timers now."""
        self.last_action_us = self.baseline_confirmed_us = self.last_conclusive_us = self.now_us

    def on_window_closed(
        self, observed: Mapping[int, ObservedLatency], agreed_limit: int, now_us: int
    ) -> LimitAction:
        """Update the proposal at the end of a window.

        Args:
            observed: the fleet's measurements of the server, by shape.
            agreed_limit: limit in force at the server.
            now_us: current time.

        Returns:
            The action that was carried out.
        """
        signal = self._agreement_signal(agreed_limit, now_us)
        if signal is None and self._is_sampling() and now_us - self.sampled_us >= ROW_SPAN_US:
            self.sampled_us = now_us
            self.samples.add(observed, now_us)
            signal = self._sample_signal(agreed_limit, now_us)
        if signal is None:
            return LimitAction.KEEP
        transition = TRANSITIONS.apply(self.state, signal)
        self.state = transition.state
        (action,) = transition.actions
        ACTIONS[action](self, agreed_limit, now_us)
        self.action_counts[action] = self.action_counts.get(action, 0) + 1
        self.samples.clear()
        return action

    # Signals.

    def _is_sampling(self) -> bool:
        return self.state not in STATES_AWAITING_AGREEMENT or bool(self.in_force_since_us)

    def _is_in_force(self, agreed_limit: int) -> bool:
        return agreed_limit >= self.limit if self.state is LimitState.PROVING else agreed_limit <= self.limit

    def _agreement_signal(self, agreed_limit: int, now_us: int) -> LimitSignal | None:
        """The signal that follows from the limit in force and from elapsed time, without measurements."""
        has_timed_out = now_us - self.last_action_us >= AGREEMENT_TIMEOUT_US
        not_agreed = LimitSignal.NOT_AGREED if has_timed_out else None
        if self.state is LimitState.STEADY and agreed_limit != self.limit:
            return not_agreed
        if not self._is_sampling():
            if not self._is_in_force(agreed_limit):
                return not_agreed
            self.in_force_since_us = now_us
            self._settle(now_us)
        if self.state is LimitState.RESTING and now_us - self.last_action_us >= self.backoff_us:
            return LimitSignal.BACKOFF_ENDED
        return None

    def _settle(self, now_us: int) -> None:
        """Start sampling only after the attempts in flight, sent under the earlier limit, have ended."""
        longest_us = max(self.samples.median_service_us.values(), default=0.0)
        self.sampled_us = now_us + round(min(float(MAX_SETTLE_US), SETTLE_FACTOR * longest_us))

    def _sample_signal(self, agreed_limit: int, now_us: int) -> LimitSignal | None:
        """The signal that follows from the samples; None while there are too few to tell."""
        completed = self.samples.completed
        if completed < MIN_SAMPLES:
            has_timed_out = self.samples.span_us >= MAX_SAMPLING_US
            return LimitSignal.TOO_FEW_SAMPLES if has_timed_out else None
        self.is_measured = True
        self.last_conclusive_us = now_us
        if self.samples.unanswered > MAX_UNANSWERED_SHARE * completed:
            return LimitSignal.UNANSWERED
        required = self.samples.required_slots(self.settings.max_wait_us, MAX_LATE_SHARE)
        self.shape_limits = required.by_shape
        gradient = self.samples.gradient()
        if gradient is None:
            return None
        self.last_gradient = gradient
        if gradient > KNEE_GRADIENT * (1 + self.samples.uncertainty()):
            return self._overload_signal(gradient)
        if gradient > HEALTHY_GRADIENT:
            is_stale = now_us - self.baseline_confirmed_us >= PROBE_INTERVAL_US
            return LimitSignal.BASELINE_STALE if is_stale else LimitSignal.NEAR_KNEE
        self.baseline_confirmed_us = now_us
        return self._capacity_signal(required.total, agreed_limit)

    def _overload_signal(self, gradient: float) -> LimitSignal:
        has_fallen = self.state is LimitState.FELL
        has_not_helped = has_fallen and gradient > IMPROVED_RATIO * self.gradient_at_fall
        self.gradient_at_fall = gradient
        return LimitSignal.FALL_DID_NOT_HELP if has_not_helped else LimitSignal.OVERLOADED

    def _capacity_signal(self, required: int, agreed_limit: int) -> LimitSignal:
        if agreed_limit >= self.settings.max_limit:
            return LimitSignal.HEALTHY
        # More slots than the formula requires are requested only if set-ups were measured to wait too long.
        if self.samples.late_share(self.settings.max_wait_us) > MAX_LATE_SHARE:
            required = ceil(SPLIT_FACTOR * required)
        return LimitSignal.SLOTS_SHORT if required > agreed_limit else LimitSignal.HEALTHY

    # Actions. Each takes the limit in force and the current time.

    def _record_action(self, now_us: int) -> None:
        self.last_action_us = now_us
        self.in_force_since_us = 0
        if self.state not in STATES_AWAITING_AGREEMENT:
            self._settle(now_us)

    def decay(self, agreed_limit: int, now_us: int) -> None:
        """Let the limit decay while there are too few measurements to confirm it."""
        unconfirmed_us = now_us - max(self.last_action_us, self.last_conclusive_us)
        decayed = decayed_limit(agreed_limit, self.settings.start, unconfirmed_us)
        if decayed < agreed_limit:
            self.limit = decayed
            self._record_action(now_us)

    def rise(self, agreed_limit: int, now_us: int) -> None:
        """Start the trial of a higher limit."""
        self.previous_limit = agreed_limit
        divisor = FAR_RISE_DIVISOR if self.last_gradient < FAR_FROM_KNEE_GRADIENT else NEAR_RISE_DIVISOR
        self.limit = min(self.settings.max_limit, agreed_limit + max(1, agreed_limit // divisor))
        self.backoff_us = MIN_BACKOFF_US
        self._record_action(now_us)

    def end_trial(self, agreed_limit: int, now_us: int) -> None:
        """End the trial of a higher limit, or a probe, and restore the previous limit."""
        if self.state is LimitState.RESTING:  # after a rise
            self.backoff_us = min(MAX_BACKOFF_US, 2 * self.backoff_us)
            self.limit = min(agreed_limit, self.previous_limit)
        else:  # after a probe
            self.samples.close_bucket(now_us)
            self.limit = self.previous_limit
            self.baseline_confirmed_us = now_us
        self._record_action(now_us)

    def fall(self, agreed_limit: int, now_us: int) -> None:
        """Lower the limit in proportion to how far the gradient exceeds the healthy one."""
        ratio = min(GENTLEST_FALL_RATIO, HEALTHY_GRADIENT / self.gradient_at_fall)
        self._fall_to(max(STEEPEST_FALL_RATIO, ratio), agreed_limit, now_us)

    def halve(self, agreed_limit: int, now_us: int) -> None:
        """Lower the limit by the largest step."""
        self._fall_to(STEEPEST_FALL_RATIO, agreed_limit, now_us)

    def _fall_to(self, ratio: float, agreed_limit: int, now_us: int) -> None:
        self.limit = max(self.settings.min_limit, round(agreed_limit * ratio))
        self.previous_limit = max(self.previous_limit, agreed_limit)
        self._record_action(now_us)

    def relearn_baseline(self, agreed_limit: int, now_us: int) -> None:
        """Restore the limit before the falls and discard the baseline, as fewer attempts did not help."""
        self.samples.discard_baseline(now_us)
        self.limit = max(agreed_limit, self.previous_limit)
        self.backoff_us = MIN_BACKOFF_US
        self._record_action(now_us)

    def probe(self, agreed_limit: int, now_us: int) -> None:
        """Lower the limit for a while to measure the baseline."""
        self.samples.close_bucket(now_us)
        self.previous_limit = agreed_limit
        self.limit = max(self.settings.min_limit, round(agreed_limit * PROBE_RATIO))
        self._record_action(now_us)

    def follow(self, agreed_limit: int, now_us: int) -> None:
        """Adopt the limit in force."""
        self.limit = agreed_limit
        self._record_action(now_us)


def _keep(_limit: AdaptiveLimit, _agreed: int, _now_us: int) -> None:
    """Leave the limit as it is; only the state changes."""


ACTIONS: dict[LimitAction, Callable[[AdaptiveLimit, int, int], None]] = {
    LimitAction.KEEP: _keep,
    LimitAction.AGE: AdaptiveLimit.decay,
    LimitAction.RISE: AdaptiveLimit.rise,
    LimitAction.TAKE_BACK: AdaptiveLimit.end_trial,
    LimitAction.FALL: AdaptiveLimit.fall,
    LimitAction.HALVE: AdaptiveLimit.halve,
    LimitAction.LEARN_ANEW: AdaptiveLimit.relearn_baseline,
    LimitAction.DIP: AdaptiveLimit.probe,
    LimitAction.FOLLOW: AdaptiveLimit.follow,
}
