"""The state machine of an adaptive limit: its states, signals, actions and transitions."""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable


class LimitState(Enum):
    """What is being tried at the server. The names are part of the status page."""

    STEADY = auto()
    PROVING = auto()  # a higher limit is on trial
    FELL = auto()  # the limit was lowered
    RESTING = auto()  # no rise until the back-off has ended
    LOOKING = auto()  # a lower limit is in force for a while, to measure the baseline


class LimitSignal(Enum):
    """What the measurements, the agreement of the panel and the time signal."""

    TOO_FEW_SAMPLES = auto()
    HEALTHY = auto()  # and nobody waits for long
    SLOTS_SHORT = auto()  # more slots are required, and the server seems to have the capacity
    NEAR_KNEE = auto()
    BASELINE_STALE = auto()  # near the knee by a baseline that was not measured for long
    OVERLOADED = auto()
    FALL_DID_NOT_HELP = auto()  # as slow as before the limit fell
    UNANSWERED = auto()  # many attempts get no answer
    NOT_AGREED = auto()  # the panel does not adopt this front's limit
    BACKOFF_ENDED = auto()


class LimitAction(Enum):
    """What to do with the limit. The names are part of log events."""

    KEEP = auto()
    AGE = auto()  # let it decay
    RISE = auto()
    TAKE_BACK = auto()  # end a trial
    FALL = auto()
    HALVE = auto()
    LEARN_ANEW = auto()  # discard the baseline
    DIP = auto()  # lower it for a while, to measure the baseline
    FOLLOW = auto()  # adopt the limit in force


_STATE, _SIGNAL, _ACTION = LimitState, LimitSignal, LimitAction
TRANSITIONS: TransitionTable[LimitState, LimitSignal, LimitAction] = TransitionTable(
    {
        (_STATE.STEADY, _SIGNAL.TOO_FEW_SAMPLES): Transition(_STATE.STEADY, (_ACTION.AGE,)),
        (_STATE.STEADY, _SIGNAL.HEALTHY): Transition(_STATE.STEADY, (_ACTION.KEEP,)),
        (_STATE.STEADY, _SIGNAL.SLOTS_SHORT): Transition(_STATE.PROVING, (_ACTION.RISE,)),
        (_STATE.STEADY, _SIGNAL.NEAR_KNEE): Transition(_STATE.STEADY, (_ACTION.KEEP,)),
        (_STATE.STEADY, _SIGNAL.BASELINE_STALE): Transition(_STATE.LOOKING, (_ACTION.DIP,)),
        (_STATE.STEADY, _SIGNAL.OVERLOADED): Transition(_STATE.FELL, (_ACTION.FALL,)),
        (_STATE.STEADY, _SIGNAL.UNANSWERED): Transition(_STATE.FELL, (_ACTION.HALVE,)),
        (_STATE.STEADY, _SIGNAL.NOT_AGREED): Transition(_STATE.STEADY, (_ACTION.FOLLOW,)),
        # A rise without measurements is not confirmed.
        (_STATE.PROVING, _SIGNAL.TOO_FEW_SAMPLES): Transition(_STATE.RESTING, (_ACTION.TAKE_BACK,)),
        (_STATE.PROVING, _SIGNAL.HEALTHY): Transition(_STATE.STEADY, (_ACTION.KEEP,)),
        (_STATE.PROVING, _SIGNAL.SLOTS_SHORT): Transition(_STATE.PROVING, (_ACTION.RISE,)),
        (_STATE.PROVING, _SIGNAL.NEAR_KNEE): Transition(_STATE.STEADY, (_ACTION.KEEP,)),
        (_STATE.PROVING, _SIGNAL.BASELINE_STALE): Transition(_STATE.STEADY, (_ACTION.KEEP,)),
        (_STATE.PROVING, _SIGNAL.OVERLOADED): Transition(_STATE.RESTING, (_ACTION.TAKE_BACK,)),
        (_STATE.PROVING, _SIGNAL.UNANSWERED): Transition(_STATE.FELL, (_ACTION.HALVE,)),
        (_STATE.PROVING, _SIGNAL.NOT_AGREED): Transition(_STATE.RESTING, (_ACTION.FOLLOW,)),
        (_STATE.FELL, _SIGNAL.TOO_FEW_SAMPLES): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.FELL, _SIGNAL.HEALTHY): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.FELL, _SIGNAL.SLOTS_SHORT): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.FELL, _SIGNAL.NEAR_KNEE): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.FELL, _SIGNAL.BASELINE_STALE): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.FELL, _SIGNAL.OVERLOADED): Transition(_STATE.FELL, (_ACTION.FALL,)),
        (_STATE.FELL, _SIGNAL.FALL_DID_NOT_HELP): Transition(_STATE.RESTING, (_ACTION.LEARN_ANEW,)),
        (_STATE.FELL, _SIGNAL.UNANSWERED): Transition(_STATE.FELL, (_ACTION.HALVE,)),
        (_STATE.FELL, _SIGNAL.NOT_AGREED): Transition(_STATE.RESTING, (_ACTION.FOLLOW,)),
        (_STATE.RESTING, _SIGNAL.TOO_FEW_SAMPLES): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.RESTING, _SIGNAL.HEALTHY): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.RESTING, _SIGNAL.SLOTS_SHORT): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.RESTING, _SIGNAL.NEAR_KNEE): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.RESTING, _SIGNAL.BASELINE_STALE): Transition(_STATE.RESTING, (_ACTION.KEEP,)),
        (_STATE.RESTING, _SIGNAL.OVERLOADED): Transition(_STATE.FELL, (_ACTION.FALL,)),
        (_STATE.RESTING, _SIGNAL.UNANSWERED): Transition(_STATE.FELL, (_ACTION.HALVE,)),
        (_STATE.RESTING, _SIGNAL.BACKOFF_ENDED): Transition(_STATE.STEADY, (_ACTION.KEEP,)),
        (_STATE.LOOKING, _SIGNAL.TOO_FEW_SAMPLES): Transition(_STATE.STEADY, (_ACTION.TAKE_BACK,)),
        (_STATE.LOOKING, _SIGNAL.HEALTHY): Transition(_STATE.STEADY, (_ACTION.TAKE_BACK,)),
        (_STATE.LOOKING, _SIGNAL.SLOTS_SHORT): Transition(_STATE.STEADY, (_ACTION.TAKE_BACK,)),
        (_STATE.LOOKING, _SIGNAL.NEAR_KNEE): Transition(_STATE.STEADY, (_ACTION.TAKE_BACK,)),
        (_STATE.LOOKING, _SIGNAL.BASELINE_STALE): Transition(_STATE.STEADY, (_ACTION.TAKE_BACK,)),
        (_STATE.LOOKING, _SIGNAL.OVERLOADED): Transition(_STATE.FELL, (_ACTION.FALL,)),
        (_STATE.LOOKING, _SIGNAL.UNANSWERED): Transition(_STATE.FELL, (_ACTION.HALVE,)),
        (_STATE.LOOKING, _SIGNAL.NOT_AGREED): Transition(_STATE.STEADY, (_ACTION.FOLLOW,)),
    }
)
# The states whose limit is judged only once it is in force at the server.
STATES_AWAITING_AGREEMENT = (LimitState.PROVING, LimitState.FELL, LimitState.LOOKING)
