"""The queue of actions that a front has to carry out."""

from __future__ import annotations

from dataclasses import dataclass, field

from fennelcove.rollouts.types import Action, ActionKind


@dataclass(slots=True)
class ActionQueue:
    """Collects actions in order until they are taken; shared by the components of a coordinator."""

    _pending: list[Action] = field(default_factory=list)

    def add(self, action: Action) -> None:
        """Append an action to the queue."""
        self._pending.append(action)

    def log(self, text: str) -> None:
        """Append an action that writes a line to the log."""
        self._pending.append(Action(ActionKind.LOG, text=text))

    def take(self) -> list[Action]:
        """Remove and return all queued actions."""
        actions, self._pending = self._pending, []
        return actions
