"""Waiting for many fronts to come to a state: who is there, who is not yet, and when to stop asking."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.decisions.operators.reachability import CallOutcome, ReachStatus

PAUSE_US = 500_000
SURE = 2  # answers in a row that say so: a front about to be handed work may be empty for a moment


class ConvergenceState(Enum):
    """How one front stands towards what is waited for."""

    UNSEEN = auto()
    NOT_YET = auto()
    THERE = auto()
    MUTE = auto()  # its last answer did not come


class ConvergenceEvent(Enum):
    """What its newest answer says."""

    FITS = auto()
    DIFFERS = auto()
    NO_ANSWER = auto()


TRANSITIONS: dict[tuple[ConvergenceState, ConvergenceEvent], ConvergenceState] = {
    (ConvergenceState.UNSEEN, ConvergenceEvent.FITS): ConvergenceState.THERE,
    (ConvergenceState.UNSEEN, ConvergenceEvent.DIFFERS): ConvergenceState.NOT_YET,
    (ConvergenceState.UNSEEN, ConvergenceEvent.NO_ANSWER): ConvergenceState.MUTE,
    (ConvergenceState.NOT_YET, ConvergenceEvent.FITS): ConvergenceState.THERE,
    (ConvergenceState.NOT_YET, ConvergenceEvent.DIFFERS): ConvergenceState.NOT_YET,
    (ConvergenceState.NOT_YET, ConvergenceEvent.NO_ANSWER): ConvergenceState.MUTE,
    (ConvergenceState.THERE, ConvergenceEvent.FITS): ConvergenceState.THERE,
    (ConvergenceState.THERE, ConvergenceEvent.DIFFERS): ConvergenceState.NOT_YET,
    # One that was there and says nothing any more is not there: nobody knows.
    (ConvergenceState.THERE, ConvergenceEvent.NO_ANSWER): ConvergenceState.MUTE,
    (ConvergenceState.MUTE, ConvergenceEvent.FITS): ConvergenceState.THERE,
    (ConvergenceState.MUTE, ConvergenceEvent.DIFFERS): ConvergenceState.NOT_YET,
    (ConvergenceState.MUTE, ConvergenceEvent.NO_ANSWER): ConvergenceState.MUTE,
}


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The state waited for; None where it does not matter."""

    phase: str | None = None
    held_most: int | None = None

    def apply(self, outcome: CallOutcome) -> ConvergenceEvent:
        """What an answer says about it."""
        if outcome.word is not ReachStatus.DONE:
            return ConvergenceEvent.NO_ANSWER
        phase, held = outcome.said.get("phase"), outcome.said.get("held")
        fits = self.phase in (None, phase)
        fits &= self.held_most is None or (isinstance(held, int) and held <= self.held_most)
        return ConvergenceEvent.FITS if fits else ConvergenceEvent.DIFFERS


@dataclass(slots=True)
class ConvergenceWait:
    """All fronts that are waited for; times in microseconds."""

    wanted: DesiredState
    until_us: int
    stages: dict[str, ConvergenceState] = field(default_factory=dict)
    in_row: dict[str, int] = field(default_factory=dict)

    def hear(self, outcomes: Iterable[CallOutcome]) -> None:
        """One round of answers."""
        for outcome in outcomes:
            event, name = self.wanted.apply(outcome), outcome.name
            self.stages[name] = TRANSITIONS[self.stages.get(name, ConvergenceState.UNSEEN), event]
            self.in_row[name] = self.in_row.get(name, 0) + 1 if event is ConvergenceEvent.FITS else 0

    @property
    def there(self) -> bool:
        """Whether every front is, and said so often enough."""
        return bool(self.in_row) and all(count >= SURE for count in self.in_row.values())

    def pause_us(self, now_us: int) -> int | None:
        """How long until the next round; None where there is no use or no time for one."""
        if self.there or now_us >= self.until_us:
            return None
        return min(PAUSE_US, self.until_us - now_us)
