"""Waiting for many fronts to come to a state: who is there, who is not yet, and when to stop asking."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.decisions.operators.reachability import CallOutcome, ReachStatus

POLL_INTERVAL_US = 500_000
CONFIRMATIONS = 2  # answers in a row that say so: a front about to be handed work may be empty for a moment


class ConvergenceState(Enum):
    """How one front stands towards what is waited for."""

    UNSEEN = auto()
    NOT_YET = auto()
    THERE = auto()
    MUTE = auto()  # its last answer did not come


class ConvergenceEvent(Enum):
    """What its newest answer says."""

    MATCHED = auto()
    DIFFERED = auto()
    NO_RESPONSE = auto()


TRANSITIONS: dict[tuple[ConvergenceState, ConvergenceEvent], ConvergenceState] = {
    (ConvergenceState.UNSEEN, ConvergenceEvent.MATCHED): ConvergenceState.THERE,
    (ConvergenceState.UNSEEN, ConvergenceEvent.DIFFERED): ConvergenceState.NOT_YET,
    (ConvergenceState.UNSEEN, ConvergenceEvent.NO_RESPONSE): ConvergenceState.MUTE,
    (ConvergenceState.NOT_YET, ConvergenceEvent.MATCHED): ConvergenceState.THERE,
    (ConvergenceState.NOT_YET, ConvergenceEvent.DIFFERED): ConvergenceState.NOT_YET,
    (ConvergenceState.NOT_YET, ConvergenceEvent.NO_RESPONSE): ConvergenceState.MUTE,
    (ConvergenceState.THERE, ConvergenceEvent.MATCHED): ConvergenceState.THERE,
    (ConvergenceState.THERE, ConvergenceEvent.DIFFERED): ConvergenceState.NOT_YET,
    # One that was there and says nothing any more is not there: nobody knows.
    (ConvergenceState.THERE, ConvergenceEvent.NO_RESPONSE): ConvergenceState.MUTE,
    (ConvergenceState.MUTE, ConvergenceEvent.MATCHED): ConvergenceState.THERE,
    (ConvergenceState.MUTE, ConvergenceEvent.DIFFERED): ConvergenceState.NOT_YET,
    (ConvergenceState.MUTE, ConvergenceEvent.NO_RESPONSE): ConvergenceState.MUTE,
}


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The state waited for; None where it does not matter."""

    phase: str | None = None
    max_sessions: int | None = None

    def compare(self, outcome: CallOutcome) -> ConvergenceEvent:
        """What an answer says about it."""
        if outcome.word is not ReachStatus.DONE:
            return ConvergenceEvent.NO_RESPONSE
        phase, held = outcome.said.get("phase"), outcome.said.get("held")
        fits = self.phase in (None, phase)
        fits &= self.max_sessions is None or (isinstance(held, int) and held <= self.max_sessions)
        return ConvergenceEvent.MATCHED if fits else ConvergenceEvent.DIFFERED


@dataclass(slots=True)
class ConvergenceWait:
    """All fronts that are waited for; times in microseconds."""

    desired: DesiredState
    deadline_us: int
    stages: dict[str, ConvergenceState] = field(default_factory=dict)
    consecutive_matches: dict[str, int] = field(default_factory=dict)

    def hear(self, outcomes: Iterable[CallOutcome]) -> None:
        """One round of answers."""
        for outcome in outcomes:
            event, name = self.desired.compare(outcome), outcome.name
            self.stages[name] = TRANSITIONS[self.stages.get(name, ConvergenceState.UNSEEN), event]
            self.consecutive_matches[name] = (
                self.consecutive_matches.get(name, 0) + 1 if event is ConvergenceEvent.MATCHED else 0
            )

    @property
    def there(self) -> bool:
        """Whether every front is, and said so often enough."""
        return bool(self.consecutive_matches) and all(
            count >= CONFIRMATIONS for count in self.consecutive_matches.values()
        )

    def pause_us(self, now_us: int) -> int | None:
        """How long until the next round; None where there is no use or no time for one."""
        if self.there or now_us >= self.deadline_us:
            return None
        return min(POLL_INTERVAL_US, self.deadline_us - now_us)
