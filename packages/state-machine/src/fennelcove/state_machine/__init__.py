"""Finite-state machines as typed transition tables.

A `TransitionTable` is built once, at import, from rows that map a state and an event to the next state and
the actions to carry out. It is stateless: the caller stores the current state and carries out the actions.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Generic, TypeVar

StateT = TypeVar("StateT")
EventT = TypeVar("EventT")
ActionT = TypeVar("ActionT")


class UnknownTransitionError(KeyError):
    """The table has no row for this state and event, and rejects unlisted pairs."""


class Unlisted(Enum):
    """How a table handles a pair of state and event that has no row."""

    REJECT = auto()  # raise `UnknownTransitionError`
    IGNORE = auto()  # stay in the state, without actions


@dataclass(frozen=True, slots=True)
class Transition(Generic[StateT, ActionT]):
    """The next state, and the actions to carry out, in order."""

    state: StateT
    actions: tuple[ActionT, ...] = ()


class TransitionTable(Generic[StateT, EventT, ActionT]):
    """The transitions of one finite-state machine, by state and event."""

    def __init__(
        self,
        rows: Mapping[tuple[StateT, EventT], Transition[StateT, ActionT]],
        *,
        unlisted: Unlisted = Unlisted.REJECT,
    ) -> None:
        self._rows = dict(rows)
        self._unlisted = unlisted

    def __iter__(self) -> Iterator[tuple[StateT, EventT]]:
        return iter(self._rows)

    def __contains__(self, pair: tuple[StateT, EventT]) -> bool:
        return pair in self._rows

    def __len__(self) -> int:
        return len(self._rows)

    def find(self, state: StateT, event: EventT) -> Transition[StateT, ActionT] | None:
        """The listed transition, or None if the table has no row for the pair."""
        return self._rows.get((state, event))

    def apply(self, state: StateT, event: EventT) -> Transition[StateT, ActionT]:
        """The transition for a state and an event.

        Raises:
            UnknownTransitionError: the pair has no row and the table rejects unlisted pairs.
        """
        transition = self._rows.get((state, event))
        if transition is not None:
            return transition
        if self._unlisted is Unlisted.IGNORE:
            return Transition(state)
        raise UnknownTransitionError(f"no transition from {state} on {event}")
