"""The concurrency limit that one front proposes for one server, by the measurements of the whole fleet.

Two forces act on it. From below: enough slots that no more than one set-up in a hundred waits longer than the
configured part of its client timeout, at the present arrival rate (`erlang`). From above: the knee, beyond
which more attempts in flight only make each one slower. It is found by the gradient, the ratio of present
service times to a recent baseline (`latency_samples`).

A rise is a trial: it is small, in force for a whole row's span before it counts, reverted where service times
grew by it, and no other begins before it is confirmed. So is a fall: where service times stay as long with
fewer attempts in flight, these were not the cause (another program on the server, a slow disk), and the
baseline is learned again instead of lowering the limit for ever. A baseline that is never measured again
would creep up under constant overload, so now and then the limit of a full server is lowered by a quarter for
a while.

A proposal has no effect until a majority of the server's panel proposes it (`quorum`): a trial is judged only
when it is in force.
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

KNEE_GRADIENT = 1.5  # beyond it service times are long for want of capacity
HEALTHY_GRADIENT = 1.25  # up to it a rise has done no harm
FAR_FROM_KNEE_GRADIENT = 1.1
FAR_RISE_DIVISOR, NEAR_RISE_DIVISOR = 3, 8  # a rise adds a third or an eighth of the limit, at least one
PROBE_RATIO = 0.75  # its inverse must be above HEALTHY_GRADIENT, or a creeping baseline is not noticed
MAX_SAMPLING_US = 12_000_000  # for which samples are collected until they are conclusive
MAX_UNANSWERED_SHARE = 0.2  # of all completed attempts
MAX_LATE_SHARE = 0.01  # of set-ups, that may wait longer than configured
SPLIT_FACTOR = 1.5  # slots split among many fronts: some are always idle where nobody requests one
IMPROVED_RATIO = 0.92  # a fall that left more than this part of the gradient has not helped
GENTLEST_FALL_RATIO, STEEPEST_FALL_RATIO = 0.85, 0.5  # of the limit, what a fall leaves
PROBE_INTERVAL_US = 30_000_000
MAX_SETTLE_US = 4_000_000  # the longest service time that is waited for
SETTLE_FACTOR = 1.5  # of the longest median service time
AGREEMENT_TIMEOUT_US = 6_000_000  # after which a proposal that is not in force is given up
MIN_BACKOFF_US, MAX_BACKOFF_US = 8_000_000, 32_000_000  # after a rise that was reverted


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """The settings of all adaptive limits."""

    start: int = 8  # the initial limit, where nothing is known
    min_limit: int = 2
    max_limit: int = 256
    max_wait_us: int = 100_000  # the configured part of the shortest client timeout


@dataclass(slots=True)
class AdaptiveLimit:
    """One front's proposal for one server. The caller passes in measurements, the agreed limit, and times."""

    settings: LimitSettings
    limit: int
    now_us: int
    state: LimitState = LimitState.STEADY
    previous_limit: int = 0  # from which a rise or a probe began
    last_action_us: int = 0
    in_force_since_us: int = 0  # when the last proposal came into force, 0 where it has not
    backoff_us: int = MIN_BACKOFF_US
    gradient_at_fall: float = 1.0
    last_gradient: float = 1.0  # the last gradient
    baseline_confirmed_us: int = 0  # when the server was last healthy, or its baseline was measured
    last_conclusive_us: int = 0  # when measurements were last conclusive
    sampled_us: int = 0  # the end of the last samples; in the future, while a proposal settles
    samples: LatencySamples = field(default_factory=LatencySamples)
    shape_limits: dict[int, int] = field(default_factory=dict)  # the slots that each shape requires
    is_measured: bool = False  # measurements of this server were conclusive once
    action_counts: dict[LimitAction, int] = field(
        default_factory=dict
    )  # how often each action was carried out

    def __post_init__(self) -> None:
        """Start all timers now."""
        self.last_action_us = self.baseline_confirmed_us = self.last_conclusive_us = self.now_us

    def on_window_closed(
        self, observed: Mapping[int, ObservedLatency], agreed_limit: int, now_us: int
    ) -> LimitAction:
        """Update the proposal at the end of a window.

        Args:
            observed: the fleet's measurements of the server, by shape.
            agreed_limit: the limit in force at the server.
            now_us: the time.

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
        """What follows from the limit in force and from time alone."""
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
        """Ignore attempts in flight, which were sent under the earlier limit, until they have ended."""
        longest_us = max(self.samples.median_service_us.values(), default=0.0)
        self.sampled_us = now_us + round(min(float(MAX_SETTLE_US), SETTLE_FACTOR * longest_us))

    def _sample_signal(self, agreed_limit: int, now_us: int) -> LimitSignal | None:
        """What the samples signal; None while there are too few."""
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
        # More than the formula requires only where set-ups are seen to wait.
        if self.samples.late_share(self.settings.max_wait_us) > MAX_LATE_SHARE:
            required = ceil(SPLIT_FACTOR * required)
        return LimitSignal.SLOTS_SHORT if required > agreed_limit else LimitSignal.HEALTHY

    # Actions. Each takes the limit in force and the time.

    def _record_action(self, now_us: int) -> None:
        self.last_action_us = now_us
        self.in_force_since_us = 0
        if self.state not in STATES_AWAITING_AGREEMENT:
            self._settle(now_us)

    def decay(self, agreed_limit: int, now_us: int) -> None:
        """Let the limit decay for want of conclusive measurements."""
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
        """End the trial of a higher limit, or a probe, and return to the limit before."""
        if self.state is LimitState.RESTING:  # after a rise
            self.backoff_us = min(MAX_BACKOFF_US, 2 * self.backoff_us)
            self.limit = min(agreed_limit, self.previous_limit)
        else:  # after a probe
            self.samples.close_bucket(now_us)
            self.limit = self.previous_limit
            self.baseline_confirmed_us = now_us
        self._record_action(now_us)

    def fall(self, agreed_limit: int, now_us: int) -> None:
        """Lower the limit by how far the gradient is beyond the healthy one."""
        ratio = min(GENTLEST_FALL_RATIO, HEALTHY_GRADIENT / self.gradient_at_fall)
        self._fall_to(max(STEEPEST_FALL_RATIO, ratio), agreed_limit, now_us)

    def halve(self, agreed_limit: int, now_us: int) -> None:
        """Lower the limit as far as one fall may."""
        self._fall_to(STEEPEST_FALL_RATIO, agreed_limit, now_us)

    def _fall_to(self, ratio: float, agreed_limit: int, now_us: int) -> None:
        self.limit = max(self.settings.min_limit, round(agreed_limit * ratio))
        self.previous_limit = max(self.previous_limit, agreed_limit)
        self._record_action(now_us)

    def relearn_baseline(self, agreed_limit: int, now_us: int) -> None:
        """Undo the falls and discard the baseline: fewer attempts did not help."""
        self.samples.discard_baseline(now_us)
        self.limit = max(agreed_limit, self.previous_limit)
        self.backoff_us = MIN_BACKOFF_US
        self._record_action(now_us)

    def probe(self, agreed_limit: int, now_us: int) -> None:
        """Lower the limit for a while, to measure the baseline."""
        self.samples.close_bucket(now_us)
        self.previous_limit = agreed_limit
        self.limit = max(self.settings.min_limit, round(agreed_limit * PROBE_RATIO))
        self._record_action(now_us)

    def follow(self, agreed_limit: int, now_us: int) -> None:
        """Adopt the limit in force."""
        self.limit = agreed_limit
        self._record_action(now_us)


def _keep(_limit: AdaptiveLimit, _agreed: int, _now_us: int) -> None:
    """Leave the limit: only the state changes."""


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
