"""State machine of an adaptive limit: its states, signals, actions and transitions."""

from __future__ import annotations

from enum import Enum, auto

from fennelcove.state_machine import Transition, TransitionTable


class LimitState(Enum):
    """Phase of the search for a server's limit. The status page shows the member names."""

    STEADY = auto()
    PROVING = auto()  # a higher limit is on trial
    FELL = auto()  # the limit was lowered, and the effect is not known yet
    RESTING = auto()  # the limit is not raised until the back-off ends
    LOOKING = auto()  # a probe: the limit is lowered for a while to measure the baseline


class LimitSignal(Enum):
    """Event derived from the measurements, from the voters' agreement or from elapsed time."""

    TOO_FEW_SAMPLES = auto()
    HEALTHY = auto()  # service times are near the baseline, and the slots suffice
    SLOTS_SHORT = auto()  # more slots are required, and the server shows no sign of overload
    NEAR_KNEE = auto()  # service times are longer than the baseline, but not enough to lower the limit
    BASELINE_STALE = auto()  # as NEAR_KNEE, but the baseline was last confirmed too long ago
    OVERLOADED = auto()
    FALL_DID_NOT_HELP = auto()  # service times are as long as before the limit was lowered
    UNANSWERED = auto()  # many attempts end without an answer
    NOT_AGREED = auto()  # the voters did not adopt this front's proposal in time
    BACKOFF_ENDED = auto()


class LimitAction(Enum):
    """What to do with the proposed limit. Log events contain the member names."""

    KEEP = auto()
    AGE = auto()  # let it decay
    RISE = auto()  # start the trial of a higher limit
    TAKE_BACK = auto()  # end a trial or a probe and restore the previous limit
    FALL = auto()
    HALVE = auto()
    LEARN_ANEW = auto()  # discard the baseline and restore the limit before the falls
    DIP = auto()  # start a probe: lower the limit for a while to measure the baseline
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
        # Without measurements a rise cannot be confirmed, so it is reverted.
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
# In these states measurements count only after the proposed limit has come into force at the server.
STATES_AWAITING_AGREEMENT = (LimitState.PROVING, LimitState.FELL, LimitState.LOOKING)
