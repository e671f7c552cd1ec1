"""The state machine of a rollout plan, and the changes of its record.

A plan proceeds in steps: first the canary fronts, then waves. After each forward step it is observed for the
soak time. An operator or the leader's observations halt it; only an operator resumes it or rolls it back. A
rollback has no soak time.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    HaltReason,
    Plan,
    RolloutPhase,
    RolloutRecord,
)
from fennelcove.state_machine import Transition, TransitionTable


class RolloutEvent(Enum):
    """Events that change a plan."""

    START = auto()
    CHANGE = auto()
    HALT = auto()
    RESUME = auto()
    ROLL_BACK = auto()
    STEP_COMPLETED = auto()  # the step's goal number of fronts has the target version
    SOAKED = auto()  # the soak time is over
    COMPLETED = auto()  # all fronts have the target version
    HALT_REASON_FOUND = auto()  # the leader's observations require a halt


class RolloutAction(Enum):
    """Changes that a transition makes to the record apart from its phase."""

    NEXT_STEP = auto()  # set the goal of the next step
    NEW_PLAN = auto()  # store the new plan and set the goal of its first step
    ROLL_BACK = auto()


@dataclass(frozen=True, slots=True)
class PlanState:
    """The part of a record that determines its transitions."""

    phase: RolloutPhase
    is_rolling_back: bool


FORWARD, BACKWARD = False, True
BOTH_DIRECTIONS = (FORWARD, BACKWARD)
FINISHED_PHASES = (RolloutPhase.NONE, RolloutPhase.DONE, RolloutPhase.UNDONE)
MOVING, SOAKING = PlanState(RolloutPhase.MOVING, FORWARD), PlanState(RolloutPhase.SOAKING, FORWARD)
MOVING_BACK = PlanState(RolloutPhase.MOVING, BACKWARD)
HALTED, DONE = PlanState(RolloutPhase.HALTED, FORWARD), PlanState(RolloutPhase.DONE, FORWARD)

# An event that is not listed for a state is rejected.
TRANSITIONS: TransitionTable[PlanState, RolloutEvent, RolloutAction] = TransitionTable(
    {
        **{
            (PlanState(phase, direction), RolloutEvent.START): Transition(MOVING, (RolloutAction.NEW_PLAN,))
            for phase in FINISHED_PHASES
            for direction in BOTH_DIRECTIONS
        },
        **{
            (state, RolloutEvent.CHANGE): Transition(HALTED, (RolloutAction.NEW_PLAN,))
            for state in (MOVING, SOAKING, HALTED)
        },
        **{
            (PlanState(phase, direction), event): Transition(PlanState(RolloutPhase.HALTED, direction))
            for phase in ACTIVE_PHASES
            for direction in BOTH_DIRECTIONS
            for event in (RolloutEvent.HALT, RolloutEvent.HALT_REASON_FOUND)
        },
        **{
            (PlanState(RolloutPhase.HALTED, direction), RolloutEvent.RESUME): Transition(
                PlanState(RolloutPhase.MOVING, direction)
            )
            for direction in BOTH_DIRECTIONS
        },
        **{
            (state, RolloutEvent.ROLL_BACK): Transition(MOVING_BACK, (RolloutAction.ROLL_BACK,))
            for state in (MOVING, SOAKING, HALTED, DONE)
        },
        (MOVING, RolloutEvent.STEP_COMPLETED): Transition(SOAKING),
        (MOVING_BACK, RolloutEvent.STEP_COMPLETED): Transition(MOVING_BACK, (RolloutAction.NEXT_STEP,)),
        (SOAKING, RolloutEvent.SOAKED): Transition(MOVING, (RolloutAction.NEXT_STEP,)),
        (SOAKING, RolloutEvent.COMPLETED): Transition(DONE),
        (MOVING_BACK, RolloutEvent.COMPLETED): Transition(PlanState(RolloutPhase.UNDONE, BACKWARD)),
    }
)
PLAN_EVENTS = (RolloutEvent.START, RolloutEvent.CHANGE)  # events that carry a plan
# Events that increment the fence, so that commands based on the earlier state become stale.
FENCED_EVENTS = (
    RolloutEvent.START,
    RolloutEvent.CHANGE,
    RolloutEvent.HALT,
    RolloutEvent.RESUME,
    RolloutEvent.ROLL_BACK,
    RolloutEvent.HALT_REASON_FOUND,
)


def next_record(
    record: RolloutRecord,
    event: RolloutEvent,
    updated_count: int,
    plan: Plan | None = None,
    reason: HaltReason = HaltReason.NONE,
) -> RolloutRecord | None:
    """Return the record after an event.

    Args:
        record: the current record.
        event: the event to apply.
        updated_count: number of fronts with the target version of `record`, or of `plan` if there is one.
        plan: the new plan, for START and CHANGE.
        reason: why the plan is halted.

    Returns:
        The changed record, still with its old revision; None if the event is rejected.
    """
    transition = TRANSITIONS.find(PlanState(record.phase, record.back), event)
    if transition is None or (plan is not None) is not (event in PLAN_EVENTS):
        return None
    if plan is not None and not _can_end(plan):
        return None
    state = transition.state
    fence = record.fence + (event in FENCED_EVENTS)
    changed = replace(record, phase=state.phase, back=state.is_rolling_back, reason=reason, fence=fence)
    if plan is not None:
        numbered = replace(plan, number=record.plan.number + 1)
        return replace(changed, plan=numbered, goal=updated_count + numbered.canary)
    if transition.actions:
        return replace(changed, goal=updated_count + record.plan.wave)
    return changed


def _can_end(plan: Plan) -> bool:
    """Return whether the plan can complete: without fronts to update it would stay active for ever."""
    return min(plan.canary, plan.wave, plan.wanted) >= 1 and plan.wanted != plan.before


def target_version(record: RolloutRecord) -> int:
    """Return the version that fronts are to run: the wanted one, or the previous one in a rollback."""
    return record.plan.before if record.back else record.plan.wanted
