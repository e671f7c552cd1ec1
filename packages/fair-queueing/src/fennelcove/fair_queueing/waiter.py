"""State machine of one session request that needs a slot.

A request waits before it is passed to the placement policy, so nothing has been sent to a server while it
waits: dropping it requires no release at any server, and its final response can be sent at once.
"""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable, Unlisted


class WaiterState(Enum):
    """State of a request that needs a slot."""

    NEW = auto()
    WAITING = auto()
    PLACING = auto()  # a slot was granted: the placement policy picks a server
    HOLDING = auto()  # its attempt is in flight and holds the slot
    CLOSED = auto()


class WaiterEvent(Enum):
    """Event of a request that needs a slot."""

    NO_SLOT = auto()  # every slot that it could use is in use
    NO_TIME = auto()  # wait, attempt and response would not fit before its deadline
    CROWDED = auto()  # the queue is full, and its tenant has the most requests in it
    SLOT_GRANTED = auto()  # it may acquire a free slot
    PLACED = auto()  # the placement policy picked a server, and the slot there is acquired
    NO_SERVER = auto()  # the placement policy rejects all servers with a free slot
    REQUEUED = auto()  # it is queued again, for the servers whose slots are all in use
    HUNG_UP = auto()  # the client disconnected
    STOPPED = auto()  # the front shuts down
    SLOT_RELEASED = auto()  # its attempt completed and released the slot


class WaiterAction(Enum):
    """What the caller has to do after an event."""

    WAIT = auto()
    PLACE = auto()  # pass the request to the placement policy now
    REJECT = auto()  # send the final response at once, with Retry-After
    DROP = auto()  # send nothing, as the client is gone
    CHARGE = auto()  # charge the expected service time to the tenant
    CORRECT = auto()  # replace the charge by the measured service time
    NOTHING = auto()


_STATE, _EVENT, _ACTION = WaiterState, WaiterEvent, WaiterAction

# A request that holds a slot leaves that state only when its attempt completes, not when the client
# disconnects or the front shuts down: the server is busy with it until then. Late and duplicate events are
# not in the table and change nothing.
TRANSITIONS: TransitionTable[WaiterState, WaiterEvent, WaiterAction] = TransitionTable(
    {
        (_STATE.NEW, _EVENT.SLOT_GRANTED): Transition(_STATE.PLACING, (_ACTION.PLACE,)),
        (_STATE.NEW, _EVENT.NO_SLOT): Transition(_STATE.WAITING, (_ACTION.WAIT,)),
        (_STATE.NEW, _EVENT.NO_TIME): Transition(_STATE.CLOSED, (_ACTION.REJECT,)),
        (_STATE.NEW, _EVENT.CROWDED): Transition(_STATE.CLOSED, (_ACTION.REJECT,)),
        (_STATE.WAITING, _EVENT.SLOT_GRANTED): Transition(_STATE.PLACING, (_ACTION.PLACE,)),
        (_STATE.WAITING, _EVENT.NO_TIME): Transition(_STATE.CLOSED, (_ACTION.REJECT,)),
        (_STATE.WAITING, _EVENT.CROWDED): Transition(_STATE.CLOSED, (_ACTION.REJECT,)),
        (_STATE.WAITING, _EVENT.STOPPED): Transition(_STATE.CLOSED, (_ACTION.REJECT,)),
        (_STATE.WAITING, _EVENT.HUNG_UP): Transition(_STATE.CLOSED, (_ACTION.DROP,)),
        (_STATE.PLACING, _EVENT.PLACED): Transition(_STATE.HOLDING, (_ACTION.CHARGE,)),
        (_STATE.PLACING, _EVENT.NO_SERVER): Transition(_STATE.CLOSED),
        (_STATE.CLOSED, _EVENT.REQUEUED): Transition(_STATE.NEW),
        (_STATE.HOLDING, _EVENT.SLOT_RELEASED): Transition(_STATE.PLACING, (_ACTION.CORRECT,)),
    },
    unlisted=Unlisted.IGNORE,
)


def transition(state: WaiterState, event: WaiterEvent) -> tuple[WaiterState, WaiterAction]:
    """Return the next state and the action to carry out, `NOTHING` if there is none."""
    following = TRANSITIONS.apply(state, event)
    action = following.actions[0] if following.actions else WaiterAction.NOTHING
    return following.state, action
