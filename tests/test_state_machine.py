"""The typed transition table of all state machines."""

from __future__ import annotations

from enum import Enum, auto

import pytest
from fennelcove.state_machine import Transition, TransitionTable, UnknownTransitionError, Unlisted


class State(Enum):
    OPEN = auto()
    CLOSED = auto()


class Event(Enum):
    CLOSE = auto()
    LOCK = auto()


ROWS = {(State.OPEN, Event.CLOSE): Transition(State.CLOSED, ("notify",))}


def test_a_listed_pair_gives_the_next_state_and_its_actions() -> None:
    assert TransitionTable(ROWS).apply(State.OPEN, Event.CLOSE) == Transition(State.CLOSED, ("notify",))


def test_an_unlisted_pair_is_an_error_that_names_state_and_event() -> None:
    with pytest.raises(UnknownTransitionError, match=r"State\.CLOSED on Event\.LOCK"):
        TransitionTable(ROWS).apply(State.CLOSED, Event.LOCK)


def test_a_table_that_ignores_unlisted_pairs_stays_in_the_state_without_actions() -> None:
    table = TransitionTable(ROWS, unlisted=Unlisted.IGNORE)
    assert table.apply(State.CLOSED, Event.LOCK) == Transition(State.CLOSED)
    assert table.find(State.CLOSED, Event.LOCK) is None


def test_a_table_lists_its_pairs() -> None:
    table = TransitionTable(ROWS)
    assert (list(table), len(table)) == ([(State.OPEN, Event.CLOSE)], 1)
    assert (State.OPEN, Event.CLOSE) in table and (State.CLOSED, Event.CLOSE) not in table
