"""The operator's command that a front has in progress, and the outcomes of recent commands."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from fennelcove.rollouts.types import Command, CommandOutcome

MAX_OUTCOMES = 16  # outcomes that are kept
COMMAND_TIMEOUT_US = 4_000_000  # a command that no majority has accepted by then counts as lost


@dataclass(slots=True)
class PendingCommand:
    """A command in progress."""

    number: int
    command: Command
    since_us: int
    revision: tuple[int, int] | None = None  # of the record that carries it, once proposed


@dataclass(slots=True)
class CommandTracker:
    """Numbers commands, tracks the one in progress and stores the latest outcomes."""

    pending: PendingCommand | None = None
    _last_number: int = 0
    _outcomes: OrderedDict[int, CommandOutcome] = field(default_factory=OrderedDict)

    def start(self, command: Command, now_us: int) -> int:
        """Start a command and return its number."""
        self._last_number += 1
        self.pending = PendingCommand(self._last_number, command, now_us)
        self._set_outcome(self._last_number, CommandOutcome.PENDING)
        return self._last_number

    def refuse(self) -> int:
        """Reject a command as busy and return its number."""
        self._last_number += 1
        self._set_outcome(self._last_number, CommandOutcome.BUSY)
        return self._last_number

    def finish(self, outcome: CommandOutcome) -> None:
        """End the command in progress, if any, with an outcome."""
        if self.pending is not None:
            self._set_outcome(self.pending.number, outcome)
        self.pending = None

    def expire(self, now_us: int) -> None:
        """End the command in progress as lost if it has timed out."""
        if self.pending is not None and now_us >= self.pending.since_us + COMMAND_TIMEOUT_US:
            self.finish(CommandOutcome.LOST)

    def outcome(self, number: int) -> CommandOutcome:
        """Return the outcome of a command; a command that is no longer recorded counts as lost."""
        return self._outcomes.get(number, CommandOutcome.LOST)

    def _set_outcome(self, number: int, outcome: CommandOutcome) -> None:
        self._outcomes[number] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
