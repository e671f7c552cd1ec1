"""The states of a rollout plan, and how its record changes with what happens to it.

A plan moves in steps: some fronts as canaries, then waves. After each step forward it soaks. It is halted by
an operator or by what the leader observes, and only an operator resumes it or rolls it back. On the way back
nothing soaks.
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
    """What happens to a plan."""

    START = auto()
    CHANGE = auto()
    HALT = auto()
    RESUME = auto()
    ROLL_BACK = auto()
    STEP_COMPLETED = auto()  # as many fronts as this step's goal have the target version
    SOAKED = auto()
    COMPLETED = auto()  # all fronts have the target version
    HALT_REASON_FOUND = auto()  # by observation


class RolloutAction(Enum):
    """What a transition does to the record beside its phase."""

    NEXT_STEP = auto()
    NEW_PLAN = auto()  # with the goal of its first step
    ROLL_BACK = auto()


@dataclass(frozen=True, slots=True)
class PlanState:
    """The part of a record that decides on its transitions."""

    phase: RolloutPhase
    is_rolling_back: bool


FORWARD, BACKWARD = False, True
BOTH_DIRECTIONS = (FORWARD, BACKWARD)
FINISHED_PHASES = (RolloutPhase.NONE, RolloutPhase.DONE, RolloutPhase.UNDONE)
MOVING, SOAKING = PlanState(RolloutPhase.MOVING, FORWARD), PlanState(RolloutPhase.SOAKING, FORWARD)
MOVING_BACK = PlanState(RolloutPhase.MOVING, BACKWARD)
HALTED, DONE = PlanState(RolloutPhase.HALTED, FORWARD), PlanState(RolloutPhase.DONE, FORWARD)

# An event that is not listed for a state is refused.
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
PLAN_EVENTS = (RolloutEvent.START, RolloutEvent.CHANGE)  # that come with a plan
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
    """What a record becomes by an event.

    Args:
        record: the present record.
        event: what happens.
        updated_count: fronts that have the target version of `record`, or of `plan` where there is one.
        plan: the new plan of START and CHANGE.
        reason: why the plan is halted.

    Returns:
        The next record, without its new revision; None where the event is refused.
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
    """Whether the plan replaces any front: one that does not would stay active for ever."""
    return min(plan.canary, plan.wave, plan.wanted) >= 1 and plan.wanted != plan.before


def target_version(record: RolloutRecord) -> int:
    """The version that fronts are to have."""
    return record.plan.before if record.back else record.plan.wanted
