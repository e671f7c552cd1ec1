"""The typed transition table that all state machines share."""

from __future__ import annotations

from enum import Enum, auto

import pytest
from fennelcove.state_machine import Transition, TransitionTable, UnknownTransitionError, Unlisted


class Door(Enum):
    OPEN = auto()
    CLOSED = auto()


class Push(Enum):
    PUSHED = auto()
    LOCKED = auto()


ROWS = {(Door.OPEN, Push.PUSHED): Transition(Door.CLOSED, ("latch",))}


def test_a_listed_pair_gives_the_next_state_and_its_actions() -> None:
    assert TransitionTable(ROWS).apply(Door.OPEN, Push.PUSHED) == Transition(Door.CLOSED, ("latch",))


def test_an_unlisted_pair_is_an_error_that_names_state_and_event() -> None:
    with pytest.raises(UnknownTransitionError, match=r"Door\.CLOSED on Push\.LOCKED"):
        TransitionTable(ROWS).apply(Door.CLOSED, Push.LOCKED)


def test_a_table_that_ignores_unlisted_pairs_stays_and_does_nothing() -> None:
    table = TransitionTable(ROWS, unlisted=Unlisted.IGNORE)
    assert table.apply(Door.CLOSED, Push.LOCKED) == Transition(Door.CLOSED)
    assert table.find(Door.CLOSED, Push.LOCKED) is None


def test_a_table_lists_its_pairs() -> None:
    table = TransitionTable(ROWS)
    assert (list(table), len(table)) == ([(Door.OPEN, Push.PUSHED)], 1)
    assert (Door.OPEN, Push.PUSHED) in table and (Door.CLOSED, Push.PUSHED) not in table
