"""Waiting until many fronts have reached a state: the progress of each, and when to stop polling."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Never

from fennelcove.decisions.operators.reachability import CallOutcome, CallStatus
from fennelcove.state_machine import Transition, TransitionTable

POLL_INTERVAL_US = 500_000
# Consecutive responses that must match: a front may be empty for a moment before it gets new work.
CONFIRMATIONS = 2


class ConvergenceState(Enum):
    """Whether one front has reached the desired state; member names are printed by the command line."""

    UNSEEN = auto()
    NOT_YET = auto()
    THERE = auto()
    MUTE = auto()  # no response to the last poll


class ConvergenceEvent(Enum):
    """The result of a poll of a front."""

    MATCHED = auto()
    DIFFERED = auto()
    NO_RESPONSE = auto()


TRANSITIONS: TransitionTable[ConvergenceState, ConvergenceEvent, Never] = TransitionTable(
    {
        (ConvergenceState.UNSEEN, ConvergenceEvent.MATCHED): Transition(ConvergenceState.THERE),
        (ConvergenceState.UNSEEN, ConvergenceEvent.DIFFERED): Transition(ConvergenceState.NOT_YET),
        (ConvergenceState.UNSEEN, ConvergenceEvent.NO_RESPONSE): Transition(ConvergenceState.MUTE),
        (ConvergenceState.NOT_YET, ConvergenceEvent.MATCHED): Transition(ConvergenceState.THERE),
        (ConvergenceState.NOT_YET, ConvergenceEvent.DIFFERED): Transition(ConvergenceState.NOT_YET),
        (ConvergenceState.NOT_YET, ConvergenceEvent.NO_RESPONSE): Transition(ConvergenceState.MUTE),
        (ConvergenceState.THERE, ConvergenceEvent.MATCHED): Transition(ConvergenceState.THERE),
        (ConvergenceState.THERE, ConvergenceEvent.DIFFERED): Transition(ConvergenceState.NOT_YET),
        # A front that had converged and no longer responds may have changed, so its state is unknown.
        (ConvergenceState.THERE, ConvergenceEvent.NO_RESPONSE): Transition(ConvergenceState.MUTE),
        (ConvergenceState.MUTE, ConvergenceEvent.MATCHED): Transition(ConvergenceState.THERE),
        (ConvergenceState.MUTE, ConvergenceEvent.DIFFERED): Transition(ConvergenceState.NOT_YET),
        (ConvergenceState.MUTE, ConvergenceEvent.NO_RESPONSE): Transition(ConvergenceState.MUTE),
    }
)


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The state to wait for; a value of None matches any."""

    phase: str | None = None
    max_sessions: int | None = None

    def compare(self, outcome: CallOutcome) -> ConvergenceEvent:
        """Compare a front's status response with the desired state."""
        if outcome.status is not CallStatus.DONE:
            return ConvergenceEvent.NO_RESPONSE
        has_phase = self.phase in (None, outcome.body.get("phase"))
        if has_phase and self._allows_sessions(outcome.body.get("held")):
            return ConvergenceEvent.MATCHED
        return ConvergenceEvent.DIFFERED

    def _allows_sessions(self, sessions: object) -> bool:
        if self.max_sessions is None:
            return True
        return isinstance(sessions, int) and sessions <= self.max_sessions


@dataclass(slots=True)
class ConvergenceWait:
    """The wait for all fronts; times in microseconds."""

    desired: DesiredState
    deadline_us: int
    states: dict[str, ConvergenceState] = field(default_factory=dict)
    consecutive_matches: dict[str, int] = field(default_factory=dict)

    def observe(self, outcomes: Iterable[CallOutcome]) -> None:
        """Record one round of polls."""
        for outcome in outcomes:
            self._record(outcome.front, self.desired.compare(outcome))

    def _record(self, front: str, event: ConvergenceEvent) -> None:
        state = self.states.get(front, ConvergenceState.UNSEEN)
        self.states[front] = TRANSITIONS.apply(state, event).state
        has_matched = event is ConvergenceEvent.MATCHED
        self.consecutive_matches[front] = self.consecutive_matches.get(front, 0) + 1 if has_matched else 0

    @property
    def has_converged(self) -> bool:
        """Whether every front has matched the desired state in `CONFIRMATIONS` consecutive polls."""
        matches = self.consecutive_matches.values()
        return bool(matches) and all(count >= CONFIRMATIONS for count in matches)

    def poll_delay_us(self, now_us: int) -> int | None:
        """The time until the next round of polls; None if the wait is over."""
        if self.has_converged or now_us >= self.deadline_us:
            return None
        return min(POLL_INTERVAL_US, self.deadline_us - now_us)
