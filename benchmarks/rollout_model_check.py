"""Model check of the package `rollouts` on fleets of 3 to 5 fronts.

    python -m benchmarks.rollout_model_check [--steps 5] [--most 6000] [--walks 300] [--first 0]
                                  [--fault NAME]

First a breadth-first search over the states of three fronts. A step is one heartbeat interval under one of
four network partitions, with messages in time or late; before it front 0 may crash, front 1 may pause or
resume, or the drain of one front may be requested. Then random walks, one for each seed: crashes, restarts
with and without persisted state, pauses, partitions, lost, late and duplicate messages, clocks that differ by
hours and in rate, operators' commands for plans and for single fronts and servers, restarts that hang and
versions that are rejected. At the end of a walk all faults end and the plan has to settle. Violations of
invariants are collected in `FleetModel.violations`. Prints the numbers of states, steps and walks, the time
and the violations; the exit status is 1 if there are any. `--fault` plants a fault first, `--most` bounds the
number of states, `--first` is the first seed.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from random import Random

from fennelcove.rollouts import leader_election
from fennelcove.rollouts.coordinator import CommandKind
from fennelcove.rollouts.disruption_budget import DisruptionLimit, FleetLimits
from fennelcove.rollouts.front_permits import FrontPermits
from fennelcove.rollouts.leader_election import Role
from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    LeaderVote,
    PermitVerdict,
    ProposalAck,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.permit_entry import PermitState
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_requester import Requester
from fennelcove.rollouts.record_acceptor import Acceptor

from benchmarks.rollout_model import HEARTBEAT_US, LIMITS, PLAN, SERVERS, FleetModel


def search_states(steps: int, max_states: int, limits: FleetLimits = LIMITS) -> tuple[int, int, list[str]]:
    """Search the states of three fronts breadth first, until the first violation.

    Returns the number of distinct states, the number of completed steps, and the violations.
    """
    model = FleetModel(3, now_us=1_000_000, limits=limits)
    model.start()
    for _ in range(12):
        model.step()
    visited, frontier = {model.state_key()}, [model]
    for depth in range(steps):
        following = []
        for current in frontier:
            for successor in current.successors():
                if successor.violations or len(visited) >= max_states:
                    return len(visited), depth, successor.violations
                key = successor.state_key()
                if key not in visited:
                    visited.add(key)
                    following.append(successor)
        frontier = following
    return len(visited), steps, []


@dataclass(frozen=True)
class FaultProfile:
    """Probabilities of a random walk, per heartbeat interval or per message."""

    fault_probability: float  # per interval
    command_probability: float  # of an operator's command, per interval
    loss_probability: float  # per message
    delay_probability: float  # by a few intervals, per copy of a message
    duplicate_probability: float = 0.06
    manual_fraction: float = 0.45  # fraction of the commands that belong to no plan


FAULT_PROFILES = (
    # Few faults, so that plans advance far.
    FaultProfile(
        fault_probability=0.1, command_probability=0.25, loss_probability=0.02, delay_probability=0.05
    ),
    FaultProfile(
        fault_probability=0.4, command_probability=0.25, loss_probability=0.15, delay_probability=0.25
    ),
    # Many concurrent drain requests, replies out of order.
    FaultProfile(
        fault_probability=0.25,
        command_probability=0.9,
        loss_probability=0.02,
        delay_probability=0.6,
        manual_fraction=0.85,
    ),
    # Many concurrent commands for one plan.
    FaultProfile(
        fault_probability=0.25,
        command_probability=0.6,
        loss_probability=0.05,
        delay_probability=0.5,
        manual_fraction=0.1,
    ),
    # Heavy loss: fronts have different knowledge.
    FaultProfile(
        fault_probability=0.3,
        command_probability=0.95,
        loss_probability=0.4,
        delay_probability=0.3,
        manual_fraction=0.95,
    ),
    FaultProfile(
        fault_probability=0.5,
        command_probability=0.7,
        loss_probability=0.3,
        delay_probability=0.3,
        manual_fraction=0.05,
    ),
)


def random_walk(seed: int, size: int, steps: int = 300) -> FleetModel:
    """Run one random walk: a number of steps with faults, then steps without until the plan settles."""
    rng = Random(seed)
    profile = FAULT_PROFILES[seed % len(FAULT_PROFILES)]
    total_limit = rng.choice((1, 2))
    limits = FleetLimits(DisruptionLimit(total_limit, total_limit, capacity_margin=0.0), LIMITS.servers)
    model = FleetModel(size, seed, now_us=1_000_000, limits=limits, zones=rng.choice((1, 2)))
    model.start(drift=True)
    partition: frozenset[int] = frozenset()
    for _ in range(16):
        model.step(rng.random())
    model.delays_actions = profile.delay_probability > 0.3
    for _ in range(steps):
        if rng.random() < profile.fault_probability:
            partition = inject_fault(model, rng, partition)
        if rng.random() < profile.command_probability:
            issue_command(model, rng, profile)
        for front in model.fronts:
            if not front.paused and rng.random() < 0.35:
                model.carry_out_actions(front)
        model.step(rng.random(), partition, lambda sender, receiver: copy_delays_us(rng, profile))
        if model.violations:
            return model
    recover(model, rng)
    return model


def copy_delays_us(rng: Random, profile: FaultProfile) -> list[int]:
    """Draw the delay of each copy of a message: none, one or two copies, some delayed by a minute."""
    if rng.random() < profile.loss_probability:
        return []
    delay_intervals = (
        rng.choice((1, 1, 2, 2, 3, 4, 9, 240)) if rng.random() < profile.delay_probability else 0
    )
    return [
        delay_intervals * HEARTBEAT_US,
        *([rng.randrange(8) * HEARTBEAT_US] if rng.random() < profile.duplicate_probability else []),
    ]


def inject_fault(model: FleetModel, rng: Random, partition: frozenset[int]) -> frozenset[int]:
    """Inject or end one fault; return the fronts that are cut off from now on."""
    front = rng.choice(model.fronts)
    draw = rng.random()
    if draw < 0.25:
        cut_off = frozenset(i for i in range(model.size) if rng.random() < 0.4)
        return cut_off if rng.random() < 0.5 else frozenset()
    if draw < 0.4 and front.coordinator is not None:
        model.crash(front)
        front.next_version = front.version
        front.next_change_us = model.now_us + rng.choice((1, 1, 2, 4, 20)) * HEARTBEAT_US
    elif draw < 0.75:
        front.paused = not front.paused and front.coordinator is not None and rng.random() < 0.5
    elif draw < 0.82:
        model.restarts_hang = not model.restarts_hang
    elif draw < 0.87:
        model.rejects_new_version = not model.rejects_new_version
    return partition


def issue_command(model: FleetModel, rng: Random, profile: FaultProfile) -> None:
    """Issue a random operator's command, not always a sensible one."""
    front = rng.choice(model.fronts)
    draw = rng.random()
    fence = rng.randrange(6) if rng.random() < 0.1 else None
    if rng.random() < profile.manual_fraction:
        for requester in rng.sample(model.fronts, rng.choice((1, 1, 2, 3))):
            model.request_drain(requester, rng.choice(list(SERVERS)) if draw < 0.5 else None)
    elif draw < 0.5:
        plan = replace(PLAN, wanted=rng.choice((2, 3)), before=front.version)
        model.command(front, CommandKind.START, plan, fence)
    else:
        command_kind = rng.choice(
            (
                CommandKind.HALT,
                CommandKind.RESUME,
                CommandKind.RESUME,
                CommandKind.ROLL_BACK,
                CommandKind.CHANGE,
            )
        )
        changed_plan = replace(PLAN, wanted=4, before=front.version)
        model.command(
            front, command_kind, changed_plan if command_kind is CommandKind.CHANGE else None, fence
        )


def recover(model: FleetModel, rng: Random) -> None:
    """End all faults; the plan has to complete, halt or be rolled back."""
    model.restarts_hang = model.rejects_new_version = model.delays_actions = False
    for front in model.fronts:
        front.paused = False
        front.next_change_us = min(front.next_change_us, model.now_us)
    settled_steps = 0
    for step in range(700):
        if step % 100 == 99:
            # If too many fronts lost their state, only an operator can declare that no newer record exists.
            for front in model.fronts:
                if front.coordinator is not None:
                    front.coordinator.accept_record_as_complete()
        model.step(rng.random())
        records = [front.coordinator.record() for front in model.fronts if front.coordinator is not None]
        is_settled = all(r == records[0] and r.phase not in ACTIVE_PHASES for r in records)
        all_serving = all(front.serving_state is ServingState.SERVING for front in model.fronts)
        settled_steps = settled_steps + 1 if is_settled and all_serving and len(records) == model.size else 0
        if settled_steps >= 8 or model.violations:
            return
    front_states = [
        (
            f.index,
            f.serving_state.name,
            f.version,
            f.coordinator and (f.coordinator.record().phase.name, f.coordinator.acceptor.is_record_known),
        )
        for f in model.fronts
    ]
    model.violations.append(f"the plan does not settle: {front_states}")


# Faults that are planted to verify that the checks detect them.


def _expire_promises_by_time(self: Grantor, now_us: int) -> None:
    self.now_us = max(self.now_us, now_us)
    for place, entry in list(self.entries.items()):
        if (
            entry.state is PermitState.PROMISED
            and self.now_us >= entry.since_us + self.settings.permit_expiry_us
        ):
            del self.entries[place]


def _skip_recovery(self: Grantor) -> None:
    self.recovering_until_us = self.now_us
    self.has_full_history = True


def _grant_concurrent_requests(self: Grantor, requester: int, request: object, now_us: int) -> PermitVerdict:
    others = {place for place in self.promised_places() if place != request.place}  # type: ignore[attr-defined]
    is_exceeded = self.disruption_map.exceeded_limit(self.settings.limit, request.place, others) is not None  # type: ignore[attr-defined]
    return PermitVerdict.LIMIT_REACHED if is_exceeded else PermitVerdict.GRANTED


def _ignore_limits(self: Requester, request: object, grantor: Grantor, now_us: int) -> bool:
    return True


def _vote_without_known_record(self: Acceptor, now_us: int) -> bool:
    return True


def _accept_outdated_record(self: Acceptor, record: RolloutRecord, now_us: int) -> object:
    if record.revision < self.record.revision:
        return None
    self._learn(record)
    return ProposalAck(record.term, record.turn)


def _lead_without_majority(
    self: leader_election.LeaderElection, sender: int, vote: LeaderVote, now_us: int
) -> RolloutRecord | None:
    if self.role is not Role.CANDIDATE:
        return None
    self._apply(leader_election.ElectionEvent.MAJORITY)
    record = self.acceptor.record
    return self._begin_proposal(replace(record, term=self.term, turn=record.turn + 1), now_us)


def _accept_stale_orders(self: FrontPermits, sender: int, request: object, now_us: int) -> object:
    return self.grantors[request.kind].on_permit_request(sender, request, now_us)  # type: ignore[attr-defined, arg-type]


def _resume_halted_plan(
    self: leader_election.LeaderElection, record: RolloutRecord, now_us: int
) -> RolloutRecord:
    self.round_began_us, self.supporters = now_us, set()
    is_taken_over = record.phase is RolloutPhase.HALTED and record.term != self.proposal.term
    self.proposal = replace(record, phase=RolloutPhase.MOVING) if is_taken_over else record
    return self.proposal


PLANTED_FAULTS: dict[str, tuple[type, str, object]] = {
    "forgets": (Grantor, "advance", _expire_promises_by_time),  # a promise expires by time
    "trusts": (Grantor, "__post_init__", _skip_recovery),  # a new incarnation promises at once
    "open": (Grantor, "_verdict_on", _grant_concurrent_requests),  # several unsettled requests are granted
    "careless": (Requester, "_is_within_limits", _ignore_limits),  # the promised places in votes are ignored
    "gullible": (Acceptor, "may_vote", _vote_without_known_record),  # a front that lost its state votes
    # A record of an earlier term is acknowledged.
    "anything": (
        Acceptor,
        "on_proposal",
        _accept_outdated_record,
    ),
    # A front leads without a majority.
    "alone": (
        leader_election.LeaderElection,
        "on_vote",
        _lead_without_majority,
    ),
    "stale": (FrontPermits, "_vote_on", _accept_stale_orders),  # requests ordered before a halt are granted
    # A new leader resumes a halted plan.
    "restless": (
        leader_election.LeaderElection,
        "_begin_proposal",
        _resume_halted_plan,
    ),
}


@contextmanager
def planted_fault(name: str) -> Iterator[None]:
    """Plant a fault for the duration of the context; an empty name plants none."""
    if not name:
        yield
        return
    owner, attribute, replacement = PLANTED_FAULTS[name]
    original = getattr(owner, attribute)
    setattr(owner, attribute, replacement)
    try:
        yield
    finally:
        setattr(owner, attribute, original)


def main() -> None:
    """Run the search and the random walks, and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--steps", type=int, default=5)
    parser.add_argument("--most", type=int, default=6_000)
    parser.add_argument("--walks", type=int, default=300)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--fault", choices=list(PLANTED_FAULTS), default="")
    options = parser.parse_args()
    with planted_fault(options.fault):
        began = time.monotonic()
        state_count, steps, violations = search_states(options.steps, options.most)
        print(f"{state_count} states, {steps} steps complete, {time.monotonic() - began:.0f} s")
        began, walk_count, drain_count, active_record_count, max_disrupted = time.monotonic(), 0, 0, 0, 0
        for seed in range(options.first, options.first + options.walks):
            model, walk_count = random_walk(seed, 3 + seed // len(FAULT_PROFILES) % 3), walk_count + 1
            drain_count, active_record_count, max_disrupted = (
                drain_count + model.drain_count,
                active_record_count + model.active_record_count,
                max(max_disrupted, model.max_disrupted),
            )
            if model.violations:
                violations.append(f"seed {seed}: {model.violations}")
                if options.fault:
                    break
        print(
            f"{walk_count} walks, {drain_count} drains, {active_record_count} records of active plans, "
            f"at most {max_disrupted} fronts drained at once, {time.monotonic() - began:.0f} s: {violations}"
        )
    sys.exit(bool(violations))


if __name__ == "__main__":
    main()
