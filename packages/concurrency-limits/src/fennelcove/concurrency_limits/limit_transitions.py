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


_S, _E, _A = LimitState, LimitSignal, LimitAction
TRANSITIONS: TransitionTable[LimitState, LimitSignal, LimitAction] = TransitionTable(
    {
        (_S.STEADY, _E.TOO_FEW_SAMPLES): Transition(_S.STEADY, (_A.AGE,)),
        (_S.STEADY, _E.HEALTHY): Transition(_S.STEADY, (_A.KEEP,)),
        (_S.STEADY, _E.SLOTS_SHORT): Transition(_S.PROVING, (_A.RISE,)),
        (_S.STEADY, _E.NEAR_KNEE): Transition(_S.STEADY, (_A.KEEP,)),
        (_S.STEADY, _E.BASELINE_STALE): Transition(_S.LOOKING, (_A.DIP,)),
        (_S.STEADY, _E.OVERLOADED): Transition(_S.FELL, (_A.FALL,)),
        (_S.STEADY, _E.UNANSWERED): Transition(_S.FELL, (_A.HALVE,)),
        (_S.STEADY, _E.NOT_AGREED): Transition(_S.STEADY, (_A.FOLLOW,)),
        # A rise without measurements is not confirmed.
        (_S.PROVING, _E.TOO_FEW_SAMPLES): Transition(_S.RESTING, (_A.TAKE_BACK,)),
        (_S.PROVING, _E.HEALTHY): Transition(_S.STEADY, (_A.KEEP,)),
        (_S.PROVING, _E.SLOTS_SHORT): Transition(_S.PROVING, (_A.RISE,)),
        (_S.PROVING, _E.NEAR_KNEE): Transition(_S.STEADY, (_A.KEEP,)),
        (_S.PROVING, _E.BASELINE_STALE): Transition(_S.STEADY, (_A.KEEP,)),
        (_S.PROVING, _E.OVERLOADED): Transition(_S.RESTING, (_A.TAKE_BACK,)),
        (_S.PROVING, _E.UNANSWERED): Transition(_S.FELL, (_A.HALVE,)),
        (_S.PROVING, _E.NOT_AGREED): Transition(_S.RESTING, (_A.FOLLOW,)),
        (_S.FELL, _E.TOO_FEW_SAMPLES): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.FELL, _E.HEALTHY): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.FELL, _E.SLOTS_SHORT): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.FELL, _E.NEAR_KNEE): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.FELL, _E.BASELINE_STALE): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.FELL, _E.OVERLOADED): Transition(_S.FELL, (_A.FALL,)),
        (_S.FELL, _E.FALL_DID_NOT_HELP): Transition(_S.RESTING, (_A.LEARN_ANEW,)),
        (_S.FELL, _E.UNANSWERED): Transition(_S.FELL, (_A.HALVE,)),
        (_S.FELL, _E.NOT_AGREED): Transition(_S.RESTING, (_A.FOLLOW,)),
        (_S.RESTING, _E.TOO_FEW_SAMPLES): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.RESTING, _E.HEALTHY): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.RESTING, _E.SLOTS_SHORT): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.RESTING, _E.NEAR_KNEE): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.RESTING, _E.BASELINE_STALE): Transition(_S.RESTING, (_A.KEEP,)),
        (_S.RESTING, _E.OVERLOADED): Transition(_S.FELL, (_A.FALL,)),
        (_S.RESTING, _E.UNANSWERED): Transition(_S.FELL, (_A.HALVE,)),
        (_S.RESTING, _E.BACKOFF_ENDED): Transition(_S.STEADY, (_A.KEEP,)),
        (_S.LOOKING, _E.TOO_FEW_SAMPLES): Transition(_S.STEADY, (_A.TAKE_BACK,)),
        (_S.LOOKING, _E.HEALTHY): Transition(_S.STEADY, (_A.TAKE_BACK,)),
        (_S.LOOKING, _E.SLOTS_SHORT): Transition(_S.STEADY, (_A.TAKE_BACK,)),
        (_S.LOOKING, _E.NEAR_KNEE): Transition(_S.STEADY, (_A.TAKE_BACK,)),
        (_S.LOOKING, _E.BASELINE_STALE): Transition(_S.STEADY, (_A.TAKE_BACK,)),
        (_S.LOOKING, _E.OVERLOADED): Transition(_S.FELL, (_A.FALL,)),
        (_S.LOOKING, _E.UNANSWERED): Transition(_S.FELL, (_A.HALVE,)),
        (_S.LOOKING, _E.NOT_AGREED): Transition(_S.STEADY, (_A.FOLLOW,)),
    }
)
# The states whose limit is judged only once it is in force at the server.
STATES_TO_AGREE = (LimitState.PROVING, LimitState.FELL, LimitState.LOOKING)
