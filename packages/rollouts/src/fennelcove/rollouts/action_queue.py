"""The actions that a front has to carry out, in order."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.rollouts.types import Action, ActionKind


@dataclass(slots=True)
class ActionQueue:
    """Collects actions between two calls of `take`; shared by the parts of a coordinator."""

    _pending: list[Action] = field(default_factory=list)

    def add(self, action: Action) -> None:
        """Append an action."""
        self._pending.append(action)

    def log(self, text: str) -> None:
        """Append a line for the log."""
        self._pending.append(Action(ActionKind.LOG, text=text))

    def take(self) -> list[Action]:
        """Remove all actions and return them."""
        actions, self._pending = self._pending, []
        return actions
