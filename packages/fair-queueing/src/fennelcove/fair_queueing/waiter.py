"""The life of one set-up's wish for a slot: what may happen to it, and what follows.

It waits before the module hears of it, so nothing has left while it waits: giving it up needs no release, no
room type is run twice by it, and its answer is due in the same moment.
"""

from __future__ import annotations

from enum import Enum, auto


class WaiterState(Enum):
    """Where a wish stands."""

    NEW = auto()
    WAITING = auto()
    PLACING = auto()  # it has the turn: the module picks a box
    HOLDING = auto()  # its join is out
    OVER = auto()


class WaiterEvent(Enum):
    """What happens to it."""

    NO_SLOT = auto()  # every slot that it could use is out
    NO_TIME = auto()  # slot, join and answer would not fit any more
    CROWDED = auto()  # too many wait, and most of them are its tenant's
    TURN = auto()
    PLACED = auto()  # the module picked a box, and the slot there is taken
    NO_BOX = auto()  # the module finds no place at the boxes that are free
    AGAIN = auto()  # there are others, where all slots are out: it waits for those
    HUNG_UP = auto()
    STOPPED = auto()
    RETURNED = auto()  # its join is over


class WaiterAction(Enum):
    """What follows."""

    WAIT = auto()
    PLACE = auto()  # the module is asked now
    REFUSE = auto()  # a final answer, at once, with a time to come back
    DROP = auto()  # nobody waits for an answer
    CHARGE = auto()
    CORRECT = auto()
    NOTHING = auto()


TRANSITIONS: dict[tuple[WaiterState, WaiterEvent], tuple[WaiterState, WaiterAction]] = {
    (WaiterState.NEW, WaiterEvent.TURN): (WaiterState.PLACING, WaiterAction.PLACE),
    (WaiterState.NEW, WaiterEvent.NO_SLOT): (WaiterState.WAITING, WaiterAction.WAIT),
    (WaiterState.NEW, WaiterEvent.NO_TIME): (WaiterState.OVER, WaiterAction.REFUSE),
    (WaiterState.NEW, WaiterEvent.CROWDED): (WaiterState.OVER, WaiterAction.REFUSE),
    (WaiterState.WAITING, WaiterEvent.TURN): (WaiterState.PLACING, WaiterAction.PLACE),
    (WaiterState.WAITING, WaiterEvent.NO_TIME): (WaiterState.OVER, WaiterAction.REFUSE),
    (WaiterState.WAITING, WaiterEvent.CROWDED): (WaiterState.OVER, WaiterAction.REFUSE),
    (WaiterState.WAITING, WaiterEvent.STOPPED): (WaiterState.OVER, WaiterAction.REFUSE),
    (WaiterState.WAITING, WaiterEvent.HUNG_UP): (WaiterState.OVER, WaiterAction.DROP),
    (WaiterState.PLACING, WaiterEvent.PLACED): (WaiterState.HOLDING, WaiterAction.CHARGE),
    (WaiterState.PLACING, WaiterEvent.NO_BOX): (WaiterState.OVER, WaiterAction.NOTHING),
    (WaiterState.OVER, WaiterEvent.AGAIN): (WaiterState.NEW, WaiterAction.NOTHING),
    (WaiterState.HOLDING, WaiterEvent.RETURNED): (WaiterState.PLACING, WaiterAction.CORRECT),
    # One that holds a slot is told of hang-ups and stops by its join's end alone: the box has it until then.
}


def transition(stage: WaiterState, event: WaiterEvent) -> tuple[WaiterState, WaiterAction]:
    """The next stage and what to do; a cue that comes too late or twice changes nothing."""
    return TRANSITIONS.get((stage, event), (stage, WaiterAction.NOTHING))
