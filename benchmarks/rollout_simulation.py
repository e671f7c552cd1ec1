"""Simulation of a rollout to a whole fleet: coordinated by the fronts, one by one, and in blind waves.

    python -m benchmarks.rollout_simulation [--fronts 12,50,200] [--seeds 1,2,3,4,5] [--day plain|bad]

`Grantor`, `Requester`, `PlanExecution`, `CanaryAnalysis` and the state machine of plans are the production
modules. Messages are exchanged in one round per second, and a twentieth of them is lost; heartbeats,
requests and votes are repeated. Sockets, listeners and leader elections are not simulated: a leader that
stops serving is replaced after 3 s. A front drains for 30 s and restarts in 20 to 60 s, one in a hundred in
20 minutes. Each front crashes once in five hours on average, for 1 to 3 minutes. One of four zones fails
for 2 to 5 minutes. All of this is drawn from the seed, alike for the three methods. The load is 0.8 of the
capacity of all fronts.

`agreed` is the coordinated rollout. `by hand` restarts one front after another, at an interval that gives
the same pace as the coordinated waves without faults. `waves` restarts as many fronts at once as the limit
permits. Neither of these two checks whether other fronts serve. With `--day bad` the new version serves
nine of ten requests. Once a minute an operator of the coordinated rollout checks whether it is halted,
writes off fronts that are unavailable for five minutes, and resumes it when all other fronts serve; with
`--day bad` the operator rolls it back.

Prints medians and ranges over the seeds: the maximum number of fronts that are unavailable at once (drained
by the rollout, excluding those written off, and for all reasons), the lost service in seconds of the whole
fleet's service, until ten minutes after the end of the coordinated rollout, and the minutes until the
rollout is complete (360: not complete within the simulated time).
"""

from __future__ import annotations

import argparse
import sys
import time
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from itertools import count
from random import Random
from statistics import median

from fennelcove.rollouts import plan_execution, rollout_plan
from fennelcove.rollouts.disruption_budget import DisruptionLimit, DisruptionMap, Location
from fennelcove.rollouts.fleet_view import FleetView
from fennelcove.rollouts.messages import (
    HaltReason,
    Heartbeat,
    PlaceKind,
    Plan,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)
from fennelcove.rollouts.permit_grantor import Grantor
from fennelcove.rollouts.permit_requester import Requester, RequestState
from fennelcove.rollouts.permit_settings import PermitSettings
from fennelcove.rollouts.plan_execution import PlanExecution
from fennelcove.rollouts.rollout_plan import RolloutEvent

US_PER_S = 1_000_000
ZONE_COUNT = 4
LOAD_RATIO = 0.8
DRAIN_S, SOAK_S, STEP_INTERVAL_S = 30, 30, 100
LOSS_PROBABILITY = 0.05
MAX_DURATION_S = 6 * 3600


class FrontState(Enum):
    """The state of a simulated front."""

    SERVING = auto()
    DRAINING = auto()
    RESTARTING = auto()
    CRASHED = auto()


@dataclass
class SimulatedFront:
    """The true state of one front."""

    index: int
    state: FrontState = FrontState.SERVING
    until_s: int = 0  # end of the current state
    since_s: int = 0  # when it last began to serve
    version: int = 1
    next_version: int = 1
    incarnation: int = 1


@dataclass
class Scenario:
    """A fleet with its crashes, outages and restart times, which are the same for each rollout method."""

    size: int
    seed: int
    has_bad_version: bool
    now_s: int = 0
    fronts: list[SimulatedFront] = field(default_factory=list)
    max_unavailable: int = 0
    max_drained: int = 0
    lost_service_s: float = 0.0
    ended_s: int = 0
    written_off: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        rng = Random(self.seed)
        self.fronts = [SimulatedFront(i) for i in range(self.size)]
        self.limit = max(1, self.size // 20)
        self.zone_outage_s = rng.randrange(300, 1200)
        self.zone_outage_duration_s = rng.randrange(120, 300)
        self.crashes_by_second: dict[int, list[tuple[int, int]]] = {}
        for i in range(self.size):
            crash_s = 0.0
            while (crash_s := crash_s + rng.expovariate(1 / 18_000)) < MAX_DURATION_S:
                self.crashes_by_second.setdefault(round(crash_s), []).append((i, rng.randrange(60, 180)))
        self.restart_durations_s = [
            1200 if rng.random() < 0.01 else rng.randrange(20, 60) for _ in range(self.size)
        ]

    def tick(self) -> None:
        """Advance the fleet by one second."""
        self.now_s += 1
        for front in self.fronts:
            if front.state is not FrontState.SERVING and self.now_s >= front.until_s:
                self.end_state(front)
        for index, duration_s in self.crashes_by_second.get(self.now_s, ()):
            self.crash(self.fronts[index], duration_s)
        if self.now_s == self.zone_outage_s:
            for front in self.fronts[::ZONE_COUNT]:
                self.crash(front, self.zone_outage_duration_s)
        unavailable_fronts = [front for front in self.fronts if front.state is not FrontState.SERVING]
        self.max_unavailable = max(self.max_unavailable, len(unavailable_fronts))
        drained_count = sum(
            front.state is not FrontState.CRASHED and front.index not in self.written_off
            for front in unavailable_fronts
        )
        self.max_drained = max(self.max_drained, drained_count)
        serving = sum(
            0.9 if self.has_bad_version and front.version == 2 else 1.0
            for front in self.fronts
            if front.state is FrontState.SERVING
        )
        available_count = self.size - len(unavailable_fronts)
        success_ratio = serving / available_count if available_count else 0.0
        self.lost_service_s += 1 - success_ratio * min(1.0, available_count / (LOAD_RATIO * self.size))

    def end_state(self, front: SimulatedFront) -> None:
        """End the front's current state and enter the next one."""
        if front.state is FrontState.DRAINING:
            front.state, front.until_s = (
                FrontState.RESTARTING,
                self.now_s + self.restart_durations_s[front.index],
            )
        else:
            front.version = front.next_version
            front.state, front.since_s, front.incarnation = (
                FrontState.SERVING,
                self.now_s,
                front.incarnation + 1,
            )

    def crash(self, front: SimulatedFront, duration_s: int) -> None:
        """Crash a front; it restarts with its next version after a time."""
        if front.state in (FrontState.SERVING, FrontState.DRAINING):
            front.state, front.until_s = FrontState.CRASHED, self.now_s + duration_s

    def drain(self, front: SimulatedFront, version: int) -> None:
        """Drain a front, to restart it with a version."""
        if front.state is FrontState.SERVING:
            front.state, front.until_s = FrontState.DRAINING, self.now_s + DRAIN_S
            front.next_version = version

    @property
    def is_complete(self) -> bool:
        """Whether all fronts serve with the new version."""
        return all(front.version == 2 and front.state is FrontState.SERVING for front in self.fronts)


def run_uncoordinated(scenario: Scenario, batch_size: int, interval_s: float, end_s: int) -> None:
    """Restart fronts in batches at an interval, regardless of the others; missed fronts are repeated last."""
    remaining = list(range(scenario.size))
    next_s = 1.0
    while scenario.now_s < MAX_DURATION_S:
        if scenario.now_s >= next_s and remaining:
            for index in remaining[:batch_size]:
                scenario.drain(scenario.fronts[index], 2)
            remaining = remaining[batch_size:]
            next_s += interval_s
        if not remaining and not scenario.ended_s:
            remaining = [f.index for f in scenario.fronts if f.version != 2 and f.state is FrontState.SERVING]
            if scenario.is_complete:
                scenario.ended_s = scenario.now_s
        if scenario.now_s >= end_s:
            break
        scenario.tick()


class CoordinatedRollout:
    """The coordinated rollout: grantors, requesters and a leader, with one round of messages per second."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        size = scenario.size
        limit = DisruptionLimit(scenario.limit, max(1, scenario.limit // 2), capacity_margin=0.1)
        places = DisruptionMap({i: Location(i % ZONE_COUNT, 1.0, LOAD_RATIO) for i in range(size)})
        self.zones = {i: i % ZONE_COUNT for i in range(size)}
        self.rng = Random(scenario.seed + 1)
        all_settings = [
            PermitSettings(PlaceKind.FRONT, size, i, limit, health_timeout_us=1 << 60) for i in range(size)
        ]
        self.grantors = [
            Grantor(front_settings, places, -10 * US_PER_S, True) for front_settings in all_settings
        ]
        self.requesters = [Requester(front_settings, 1, count(1)) for front_settings in all_settings]
        self.heartbeats = {i: Heartbeat(1, 1, version=1) for i in range(size)}
        self.undelivered: list[tuple[int, int]] = []  # sender and receiver of lost heartbeats
        self.served_counts = [0.0] * size
        self.requested_counts = [0.0] * size
        self.unavailable_since_us: dict[int, int] = {}
        self.written_off = scenario.written_off
        self.last_request_numbers: dict[int, int] = {}  # by front
        self.leader_index, self.leaderless_s = 0, 0
        plan = Plan(1, 2, 1, 1, scenario.limit, SOAK_S * 1000, 180_000, worse=30)
        first_record = RolloutRecord(1, 1, RolloutPhase.MOVING, goal=1, plan=plan)
        self.record = first_record
        self.execution = PlanExecution(first_record, self.zones, 0)
        self.halted_s = 0
        self.halts = 0
        for i in range(size):
            self.send_heartbeat(i)

    def now_us(self) -> int:
        return self.scenario.now_s * US_PER_S

    def send_heartbeat(self, index: int) -> None:
        """Send a front's heartbeat to all; a lost one is repeated a second later."""
        front, previous = self.scenario.fronts[index], self.heartbeats[index]
        serving_state = {
            FrontState.SERVING: ServingState.SERVING,
            FrontState.DRAINING: ServingState.DRAINING,
        }.get(front.state, ServingState.STARTING)
        requester = self.requesters[index]
        number = 1 if front.incarnation > previous.incarnation else previous.sequence + 1
        self.heartbeats[index] = Heartbeat(
            front.incarnation,
            number,
            serving_state=serving_state,
            version=front.version,
            serving_for_s=self.scenario.now_s - front.since_s,
            last_request_number=self.last_request_number(requester),
            open_requests=tuple(requester.open_requests()),
        )
        for receiver in range(self.scenario.size):
            self.deliver_heartbeat(index, receiver)

    def last_request_number(self, requester: Requester) -> int:
        return max(
            (one.number for one in requester.requests.values()),
            default=self.last_request_numbers.get(requester.settings.front_index, 0),
        )

    def deliver_heartbeat(self, index: int, receiver: int) -> None:
        if receiver != index and self.rng.random() < LOSS_PROBABILITY:
            self.undelivered.append((index, receiver))
        else:
            self.grantors[receiver].on_heartbeat(index, self.heartbeats[index], self.now_us(), self.now_us())

    def tick(self) -> None:
        """Run one round of messages and decisions."""
        scenario = self.scenario
        previous = [(front.state, front.incarnation) for front in scenario.fronts]
        scenario.tick()
        undelivered, self.undelivered = self.undelivered, []
        for index, receiver in undelivered:
            self.deliver_heartbeat(index, receiver)
        for front, previous_state in zip(scenario.fronts, previous, strict=True):
            if (front.state, front.incarnation) != previous_state:
                self.on_front_changed(front, previous_state[1])
        self.count_requests()
        for index, requester in enumerate(self.requesters):
            if requester.requests and scenario.fronts[index].state is FrontState.SERVING:
                self.send_request(index, requester)
        for index, requester in enumerate(self.requesters):
            sent = self.heartbeats[index]
            if (
                not requester.requests
                and not sent.open_requests
                and sent.last_request_number == self.last_request_numbers.get(index, 0)
            ):
                continue
            has_changed = (tuple(requester.open_requests()), self.last_request_number(requester)) != (
                sent.open_requests,
                sent.last_request_number,
            )
            if has_changed and scenario.fronts[index].state is FrontState.SERVING:
                self.send_heartbeat(index)
        self.run_leader()

    def on_front_changed(self, front: SimulatedFront, incarnation: int) -> None:
        """Propagate a front's new state: by its heartbeat, or as unavailable if it can send none."""
        if front.incarnation > incarnation:
            self.requesters[front.index] = Requester(
                self.requesters[front.index].settings, front.incarnation, count(1)
            )
            self.last_request_numbers.pop(front.index, None)
            self.written_off.discard(front.index)
            self.unavailable_since_us.pop(front.index, None)
        else:
            self.unavailable_since_us.setdefault(front.index, self.now_us())
        if front.state in (FrontState.SERVING, FrontState.DRAINING):
            self.send_heartbeat(front.index)
        else:
            for grantor in self.grantors:
                grantor.observe(front.index, self.now_us(), self.now_us(), is_serving=False)

    def count_requests(self) -> None:
        """Add the requests of this second to each front's counters."""
        serving = [front for front in self.scenario.fronts if front.state is FrontState.SERVING]
        load_per_front = LOAD_RATIO * self.scenario.size / max(1, len(serving))
        for front in serving:
            success_ratio = 0.9 if self.scenario.has_bad_version and front.version == 2 else 1.0
            self.requested_counts[front.index] += 10 * load_per_front
            self.served_counts[front.index] += 10 * min(1.0, load_per_front) * success_ratio

    def send_request(self, index: int, requester: Requester) -> None:
        """Send a due permit request to all grantors, count their votes, and drain the front if permitted."""
        now_us = self.now_us()
        pending = requester.requests[index]
        if (
            pending.state in (RequestState.WANTED, RequestState.ASKING)
            and now_us >= pending.wanted_us + plan_execution.ORDER_EXPIRY_US
        ):
            requester.cancel(index)
        request = requester.next_request(now_us)
        if request is None:
            return
        self.last_request_numbers[index] = request.number
        is_stale = (request.term, request.turn) < self.record.revision
        for receiver, grantor in enumerate(self.grantors):
            is_running = self.scenario.fronts[receiver].state in (FrontState.SERVING, FrontState.DRAINING)
            if not is_running or (receiver != index and self.rng.random() < 2 * LOSS_PROBABILITY):
                continue
            vote = grantor.on_permit_request(index, request, now_us, is_stale=is_stale)
            granted = requester.on_vote(receiver, vote, self.grantors[index], self.rng.random(), now_us)
            if granted is not None and requester.begin(index, now_us):
                self.scenario.drain(self.scenario.fronts[index], granted.version)

    def run_leader(self) -> None:
        """Replace the leader if needed, evaluate the plan and send orders."""
        scenario, now_us = self.scenario, self.now_us()
        if scenario.fronts[self.leader_index].state is not FrontState.SERVING:
            self.leaderless_s += 1
            if self.leaderless_s < 3:
                return
            self.leader_index = next(
                front.index for front in scenario.fronts if front.state is FrontState.SERVING
            )
            self.agree_record(replace(self.record, term=self.record.term + 1))
            self.execution, self.leaderless_s = PlanExecution(self.record, self.zones, now_us), 0
        heartbeats = self.grantors[self.leader_index].heartbeats
        if self.execution.analysis.window_began_us + 4 * US_PER_S < now_us:
            heartbeats = {
                i: replace(
                    heartbeat,
                    requested=int(self.requested_counts[i]),
                    served=min(int(self.requested_counts[i]), int(self.served_counts[i])),
                )
                for i, heartbeat in heartbeats.items()
            }
        unavailable = frozenset(
            self.grantors[self.leader_index].unavailable_places(now_us) - self.written_off
        )
        fleet = FleetView(
            scenario.size,
            self.leader_index,
            heartbeats,
            unavailable,
            frozenset(self.written_off),
            self.unavailable_since_us,
        )
        self.run_operator(fleet)
        finding = self.execution.evaluate(fleet, now_us)
        if finding is not None:
            updated_count = len(fleet.fronts_with(rollout_plan.target_version(self.record)))
            changed_record = rollout_plan.next_record(
                self.record, finding.event, updated_count, reason=finding.reason
            )
            if changed_record is not None:
                self.agree_record(changed_record)
                return
        for index in self.execution.fronts_to_order(fleet, now_us):
            if scenario.fronts[index].state is FrontState.SERVING:
                self.requesters[index].request_permit(
                    index, now_us, rollout_plan.target_version(self.record), self.record.revision
                )

    def agree_record(self, record: RolloutRecord) -> None:
        """Make a record the current one; a majority accepts it at once in this simulation."""
        self.record = replace(record, turn=self.record.turn + 1)
        self.execution.on_record_agreed(self.record, self.now_us())
        if record.phase is RolloutPhase.HALTED:
            self.halted_s, self.halts = self.scenario.now_s, self.halts + 1
            for requester in self.requesters:
                requester.cancel(requester.settings.front_index)

    def run_operator(self, fleet: FleetView) -> None:
        """Check once a minute whether the plan is halted, as its operator, and resume it or roll it back."""
        scenario = self.scenario
        if self.record.phase is not RolloutPhase.HALTED or (scenario.now_s - self.halted_s) % 60 != 59:
            return
        if (
            scenario.has_bad_version
            and self.record.reason in (HaltReason.WORSE, HaltReason.SERVED)
            and not self.record.back
        ):
            rollback_record = rollout_plan.next_record(
                self.record, RolloutEvent.ROLL_BACK, len(fleet.fronts_with(1))
            )
            assert rollback_record is not None
            self.agree_record(rollback_record)
            return
        for index in fleet.unavailable:
            if self.now_us() - self.unavailable_since_us.get(index, self.now_us()) > 300 * US_PER_S:
                self.written_off.add(index)
                for grantor in self.grantors:
                    grantor.write_off(index, self.now_us())
        if not fleet.unavailable - self.written_off:
            resumed = rollout_plan.next_record(self.record, RolloutEvent.RESUME, 0)
            assert resumed is not None
            self.agree_record(resumed)

    @property
    def is_over(self) -> bool:
        return self.record.phase in (RolloutPhase.DONE, RolloutPhase.UNDONE)


def run_seed(size: int, seed: int, has_bad_version: bool) -> dict[str, tuple[float, ...]]:
    """Run all methods with one seed.

    Returns, by method: the most drained fronts at once, the most unavailable fronts at once, the seconds of
    lost service, the minutes until completion, and the number of halts of the coordinated rollout.
    """
    scenario = Scenario(size, seed, has_bad_version)
    coordinated = CoordinatedRollout(scenario)
    while not coordinated.is_over and scenario.now_s < MAX_DURATION_S:
        coordinated.tick()
    scenario.ended_s, end_s = scenario.now_s, scenario.now_s + 600
    while scenario.now_s < end_s:
        scenario.tick()
    scenarios = {"agreed": scenario}
    for name, batch_size, interval_s in (
        ("by hand", 1, STEP_INTERVAL_S / scenario.limit),
        ("waves", scenario.limit, float(STEP_INTERVAL_S)),
    ):
        scenarios[name] = Scenario(size, seed, has_bad_version)
        run_uncoordinated(scenarios[name], batch_size, interval_s, end_s)
    return {
        name: (
            one.max_drained,
            one.max_unavailable,
            one.lost_service_s,
            (one.ended_s or MAX_DURATION_S) / 60,
            coordinated.halts,
        )
        for name, one in scenarios.items()
    }


def main() -> None:
    """Run all fleet sizes and seeds, and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12,50,200")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--day", choices=("plain", "bad"), default="plain")
    options = parser.parse_args()
    print("| fronts | method | drained at most | unavailable at most | service lost, s | duration, min |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in map(int, options.fronts.split(",")):
        began = time.monotonic()
        results = []
        for seed in map(int, options.seeds.split(",")):
            results.append(run_seed(size, seed, options.day == "bad"))
            print(size, seed, results[-1], file=sys.stderr, flush=True)
        for name in results[0]:
            cells = []
            for column in range(4):
                figures = [one[name][column] for one in results]
                digits = 0 if column < 2 else 1
                cells.append(
                    f"{median(figures):.{digits}f} ({min(figures):.{digits}f}-{max(figures):.{digits}f})"
                )
            print(f"| {size} (limit {max(1, size // 20)}) | {name} | {' | '.join(cells)} |", flush=True)
        halts = [one["agreed"][4] for one in results]
        print(f"<!-- halts {halts}, {time.monotonic() - began:.0f} s -->", flush=True)


if __name__ == "__main__":
    main()
