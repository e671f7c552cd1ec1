"""Simulates concurrency limits of servers that slow down under load, for several limit policies.

    python -m benchmarks.concurrency_limits_simulation [--fronts 12] [--boxes 3] [--seeds 5]
                                   [--days steady,shift,skew,surge] [--rules learned,8,16,32,alone]

Policies: `learned` is the fleet's learned limit; a number is a fixed limit for each front and server; with
`alone` each front learns a limit for itself, without messages to others.

A server runs up to `knee` attempts at full speed. With more in flight each gets slower, by a little more
than in proportion, and a server with more than four times its knee in flight for three seconds crashes and is
back after ten seconds. Nine attempts in ten are short (median 120 ms); one in ten is long (900 ms, its title
is not loaded); both are heavy-tailed. The client timeout of a set-up is 5 s; one that got no slot at its
front within 3 s is rejected.

Scenarios last 150 s, of which the first 30 s are not counted. `steady`: 0.7 of the servers' capacity.
`shift`: as `steady`, but the capacity of every third server changes to half at 50 s and to twice its original
value at 100 s. `skew`: a quarter of the fronts receives the whole load. `surge`: twice the load from 50 to
80 s. Messages between fronts take 1 to 30 ms; one in ten is lost, one in twenty duplicated. All figures are
simulated.
"""

from __future__ import annotations

import argparse
import heapq
import math
import multiprocessing
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from statistics import median

from fennelcove.concurrency_limits import quota_loans
from fennelcove.concurrency_limits.adaptive_limit import LimitSettings
from fennelcove.concurrency_limits.latency_histogram import WINDOW_US
from fennelcove.concurrency_limits.replica import LimitReport, Replica
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer

from benchmarks.event_scheduler import EventScheduler

END_S = 150.0
WARM_UP_US = 30_000_000
CLIENT_TIMEOUT_US, MAX_WAIT_US = 5_000_000, 3_000_000
OVERLOAD_FACTOR, OVERLOAD_TIME_S, RESTART_S = 4.0, 3.0, 10.0
KNEES = (12, 24, 48)
LONG_SHARE = 0.1
SHORT_MEDIAN_S, LONG_MEDIAN_S, SERVICE_TIME_SIGMA = 0.12, 0.9, 0.6
DEFAULT_LIMIT = 16  # `limits.box_connections`
INITIAL_LIMIT = 16  # of the whole fleet
SCENARIOS = ("steady", "shift", "skew", "surge")


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt, from its arrival at the front until it ends."""

    front: int
    server: int
    shape: int
    work_s: float
    arrived_us: int
    sent_us: int = -1  # -1 while not in flight
    has_timer: bool = False  # whether its rejection is scheduled


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """A server that divides its speed equally among the attempts in flight.

    `progress_s` is the work done for each attempt that has been in flight since the start of the scenario;
    `in_flight` is a heap by the progress at which an attempt is complete.
    """

    knee: int
    in_flight: list[tuple[float, int, SimulatedAttempt]] = field(default_factory=list)
    progress_s: float = 0.0
    updated_us: int = 0
    revision: int = 0  # incremented with each change, so that outdated completion events are ignored
    overloaded_since_us: int = -1  # -1 while not overloaded
    is_down: bool = False
    crashes: int = 0

    def speed(self) -> float:
        relative_load = len(self.in_flight) / self.knee
        return 1.0 if relative_load <= 1 else 1 / (relative_load * (1 + 0.25 * (relative_load - 1)))

    def advance(self, now_us: int) -> None:
        self.progress_s += self.speed() * (now_us - self.updated_us) / 1e6
        self.updated_us = now_us


class Simulation(EventScheduler):
    """One scenario with one limit policy."""

    def __init__(self, policy: str, scenario: str, fronts: int, servers: int, seed: int) -> None:
        super().__init__()
        self.policy, self.scenario, self.fronts = policy, scenario, fronts
        self.arrival_rng = Random(f"{seed}/{scenario}")  # the same arrivals for every policy
        self.message_rng = Random(f"{seed}/messages")
        self.servers = [SimulatedServer(KNEES[i % len(KNEES)]) for i in range(servers)]
        self.knees = [server.knee for server in self.servers]
        self.queues: dict[tuple[int, int], deque[SimulatedAttempt]] = {}
        self.in_flight_counts: dict[tuple[int, int], int] = {}
        self.ids = iter(range(1 << 60))
        self.wait_times_us: list[int] = []
        self.timed_out = self.answered = self.requested = self.denied = self.lost = self.messages = 0
        self.converged_us: dict[int, int] = {}  # by server: when its limit converged
        self.replicas: list[Replica] = []
        if policy in ("learned", "alone"):
            alone = policy == "alone"
            start = max(1, INITIAL_LIMIT // fronts) if alone else INITIAL_LIMIT
            settings = LimitSettings(
                start=start, min_limit=1 if alone else 2, max_wait_us=CLIENT_TIMEOUT_US // 50
            )
            for front_index in range(fronts):
                self.replicas.append(
                    Replica(settings, 1 if alone else fronts, 0 if alone else front_index, 1, 0)
                )
                for server_key in range(servers):
                    self.replicas[front_index].on_server_listed(
                        server_key, f"kind-{server_key % len(KNEES)}", 0, 0
                    )
                self.at(self.message_rng.randrange(WINDOW_US), self._window_timer(front_index))
                self.at(
                    self.message_rng.randrange(quota_loans.REQUEST_INTERVAL_US),
                    partial(self._exchange_periodically, front_index),
                )
        self.at(0, self._on_arrival)
        self.at(WARM_UP_US, self._reset_counters)
        if scenario == "shift":
            self.at(50_000_000, lambda: self._scale_capacity(0.5))
            self.at(100_000_000, lambda: self._scale_capacity(2.0))

    def _reset_counters(self) -> None:
        """Discard the warm-up, in which each policy starts to learn."""
        self.wait_times_us = []
        self.timed_out = self.answered = self.requested = self.denied = self.lost = 0
        for server in self.servers:
            server.crashes = 0

    # Load.

    def _arrivals_per_s(self) -> float:
        mean_service_time_s = (SHORT_MEDIAN_S * (1 - LONG_SHARE) + LONG_MEDIAN_S * LONG_SHARE) * math.exp(
            SERVICE_TIME_SIGMA**2 / 2
        )
        utilization = 1.4 if self.scenario == "surge" and 50e6 <= self.now_us < 80e6 else 0.7
        return utilization * sum(self.knees) / mean_service_time_s

    def _on_arrival(self) -> None:
        self.after(self.arrival_rng.expovariate(self._arrivals_per_s()) * 1e6, self._on_arrival)
        busy = max(1, self.fronts // 4) if self.scenario == "skew" else self.fronts
        front, server_index = (
            self.arrival_rng.randrange(busy),
            self.arrival_rng.choices(range(len(self.servers)), self.knees)[0],
        )
        is_long = self.arrival_rng.random() < LONG_SHARE
        work_s = self.arrival_rng.lognormvariate(
            math.log(LONG_MEDIAN_S if is_long else SHORT_MEDIAN_S), SERVICE_TIME_SIGMA
        )
        self.requested += 1
        self.queues.setdefault((front, server_index), deque()).append(
            SimulatedAttempt(front, server_index, 0 if is_long else 1, work_s, self.now_us)
        )
        self._start_waiting(front, server_index)

    def _scale_capacity(self, factor: float) -> None:
        if factor < 1:
            self.converged_us.clear()
        for server_index in range(0, len(self.servers), 3):
            server = self.servers[server_index]
            server.advance(self.now_us)
            server.knee = max(1, round(self.knees[server_index] * factor))
            self._schedule_completion(server_index)

    # Slots.

    def _max_in_flight(self, front: int, server_index: int) -> int:
        if self.policy == "learned" or self.policy == "alone":
            return self.replicas[front].max_in_flight(server_index, self.now_us, CLIENT_TIMEOUT_US)
        return int(self.policy)

    def _start_waiting(self, front: int, server_index: int) -> None:
        queue = self.queues[front, server_index]
        while queue and self.in_flight_counts.get((front, server_index), 0) < self._max_in_flight(
            front, server_index
        ):
            self._start_attempt(queue.popleft())
        if self.replicas:
            self.replicas[front].set_waiting(server_index, len(queue))
        if queue and not queue[0].has_timer:
            queue[0].has_timer = True
            remaining_us = max(0, queue[0].arrived_us + MAX_WAIT_US - self.now_us)
            self.after(remaining_us, lambda: self._reject_expired(front, server_index))
            self._exchange_slots(front, (server_index,))

    def _reject_expired(self, front: int, server_index: int) -> None:
        queue = self.queues[front, server_index]
        while queue and self.now_us - queue[0].arrived_us >= MAX_WAIT_US:
            attempt = queue.popleft()
            self.denied += 1
            self.wait_times_us.append(CLIENT_TIMEOUT_US)
            if self.replicas:
                self.replicas[front].on_attempt_denied(server_index, attempt.shape)
        self._start_waiting(front, server_index)

    def _start_attempt(self, attempt: SimulatedAttempt) -> None:
        attempt.sent_us = self.now_us
        waited_us = self.now_us - attempt.arrived_us
        self.wait_times_us.append(waited_us)
        key = attempt.front, attempt.server
        self.in_flight_counts[key] = self.in_flight_counts.get(key, 0) + 1
        if self.replicas:
            max_duration_us = attempt.arrived_us + CLIENT_TIMEOUT_US - self.now_us
            self.replicas[attempt.front].on_attempt_started(
                attempt.server, attempt.shape, self.now_us, max_duration_us, waited_us
            )
        server = self.servers[attempt.server]
        if not server.is_down:
            server.advance(self.now_us)
            heapq.heappush(server.in_flight, (server.progress_s + attempt.work_s, next(self.ids), attempt))
            self._check_overload(attempt.server)
            self._schedule_completion(attempt.server)
        remaining_us = attempt.arrived_us + CLIENT_TIMEOUT_US - self.now_us
        self.after(remaining_us, lambda: self._on_client_timeout(attempt))

    def _on_client_timeout(self, attempt: SimulatedAttempt) -> None:
        """The client timeout has passed: the front cancels the attempt if it is still in flight."""
        if attempt.sent_us < 0:
            return
        server = self.servers[attempt.server]
        server.advance(self.now_us)
        server.in_flight = [item for item in server.in_flight if item[2] is not attempt]
        heapq.heapify(server.in_flight)
        self._check_overload(attempt.server)
        self.timed_out += 1
        self._finish(attempt, False)
        self._schedule_completion(attempt.server)

    def _finish(self, attempt: SimulatedAttempt, answered: bool) -> None:
        service_us, attempt.sent_us = self.now_us - attempt.sent_us, -1
        self.in_flight_counts[attempt.front, attempt.server] -= 1
        self.answered += answered
        if self.replicas:
            self.replicas[attempt.front].on_attempt_ended(attempt.server, attempt.shape, service_us, answered)
        self._start_waiting(attempt.front, attempt.server)

    # Servers.

    def _schedule_completion(self, server_index: int) -> None:
        server = self.servers[server_index]
        server.revision += 1
        revision = server.revision
        if server.in_flight:
            remaining_us = max(0.0, server.in_flight[0][0] - server.progress_s) / server.speed() * 1e6
            self.after(remaining_us + 1, lambda: self._on_completion(server_index, revision))

    def _on_completion(self, server_index: int, revision: int) -> None:
        server = self.servers[server_index]
        if revision != server.revision:
            return
        server.advance(self.now_us)
        ended = []
        while server.in_flight and server.in_flight[0][0] <= server.progress_s + 1e-9:
            ended.append(heapq.heappop(server.in_flight)[2])
        self._check_overload(server_index)
        self._schedule_completion(server_index)
        for attempt in ended:
            self._finish(attempt, True)

    def _check_overload(self, server_index: int) -> None:
        server = self.servers[server_index]
        if len(server.in_flight) <= OVERLOAD_FACTOR * server.knee:
            server.overloaded_since_us = -1
        elif server.overloaded_since_us < 0:
            server.overloaded_since_us = self.now_us
            overload_began_us = self.now_us
            self.after(OVERLOAD_TIME_S * 1e6, lambda: self._crash(server_index, overload_began_us))

    def _crash(self, server_index: int, overload_began_us: int) -> None:
        server = self.servers[server_index]
        if server.overloaded_since_us != overload_began_us:
            return
        server.is_down, server.crashes, server.overloaded_since_us = True, server.crashes + 1, -1
        in_flight, server.in_flight = [item[2] for item in server.in_flight], []
        self.after(RESTART_S * 1e6, lambda: setattr(server, "is_down", False))
        self.lost += len(in_flight)
        for attempt in in_flight:
            self._finish(attempt, False)

    # Messages between fronts.

    def _send_message(self, call: Callable[[], None]) -> None:
        self.messages += 1
        if self.message_rng.random() < 0.1:
            return
        for _ in range(2 if self.message_rng.random() < 0.05 else 1):
            self.after(self.message_rng.randrange(1_000, 30_000), call)

    def _window_timer(self, front_index: int) -> Callable[[], None]:
        def close_window() -> None:
            self.after(WINDOW_US, close_window)
            replica = self.replicas[front_index]
            reports = replica.close_windows(self.now_us)
            if self.policy == "learned":
                for recipient in replica.incarnation_recipients():
                    self._send_message(partial(self._on_incarnation_started, front_index, recipient))
                sequence = replica.sequence
                for recipient in sorted({recipient for report in reports for recipient in report.recipients}):
                    own_reports = [report for report in reports if recipient in report.recipients]
                    for start in range(0, len(own_reports), 6):  # as many as fit in a datagram
                        self._send_message(
                            partial(
                                self._on_reports,
                                recipient,
                                front_index,
                                sequence,
                                own_reports[start : start + 6],
                            )
                        )
            self._start_waiting_everywhere(front_index)
            if front_index == 0:
                self._record_convergence()

        return close_window

    def _on_incarnation_started(self, sender: int, recipient: int) -> None:
        if self.replicas[recipient].on_incarnation_started(sender, self.now_us):
            self._send_message(lambda: self._on_incarnation_acknowledged(recipient, sender))

    def _on_incarnation_acknowledged(self, sender: int, recipient: int) -> None:
        if self.replicas[recipient].on_incarnation_acknowledged(sender, 1):
            self._start_waiting_everywhere(recipient)

    def _on_reports(self, recipient: int, sender: int, sequence: int, reports: list[LimitReport]) -> None:
        if any(
            [
                self.replicas[recipient].on_report(sender, 1, sequence, report, self.now_us)
                for report in reports
            ]
        ):
            self._start_waiting_everywhere(recipient)

    def _exchange_periodically(self, front_index: int) -> None:
        self.after(quota_loans.REQUEST_INTERVAL_US, lambda: self._exchange_periodically(front_index))
        self._exchange_slots(front_index)

    def _exchange_slots(self, front_index: int, server_keys: tuple[int, ...] | None = None) -> None:
        if self.policy != "learned":
            return
        for recipient, server_key, message in self.replicas[front_index].exchange_slots(
            self.message_rng.random(), self.now_us, server_keys
        ):
            if isinstance(message, QuotaRequest):
                self._send_message(partial(self._on_request, front_index, recipient, server_key, message))
            else:
                self._send_message(partial(self._on_transfer, front_index, recipient, server_key, message))

    def _on_request(self, sender: int, recipient: int, server_key: int, request: QuotaRequest) -> None:
        loan = self.replicas[recipient].on_request(sender, server_key, request, self.now_us)
        if loan is not None:
            self._send_message(partial(self._on_transfer, recipient, sender, server_key, loan))

    def _on_transfer(self, sender: int, recipient: int, server_key: int, loan: QuotaTransfer) -> None:
        if (
            self.replicas[recipient].on_transfer(sender, server_key, loan, self.now_us)
            and (recipient, server_key) in self.queues
        ):
            self._start_waiting(recipient, server_key)

    def _start_waiting_everywhere(self, front_index: int) -> None:
        for server_index in range(len(self.servers)):
            if (front_index, server_index) in self.queues:
                self._start_waiting(front_index, server_index)

    def total_limit(self, server_index: int) -> float:
        """The limit of attempts in flight at a server, of all fronts together."""
        if self.policy == "learned":
            return median(replica.servers[server_index].agreement.limit for replica in self.replicas)
        if self.policy == "alone":
            return sum(replica.servers[server_index].agreement.limit for replica in self.replicas)
        return int(self.policy) * self.fronts

    def _record_convergence(self) -> None:
        """Record when each changed server first has a limit between its load and twice its knee."""
        if self.scenario != "shift" or self.now_us < 50e6:
            return
        for server_index in range(0, len(self.servers), 3):
            server = self.servers[server_index]
            is_converged = 0.75 * server.knee <= self.total_limit(server_index) <= 1.75 * server.knee
            if self.now_us < 100e6 and is_converged:
                self.converged_us.setdefault(server_index, self.now_us)


@dataclass(frozen=True, slots=True)
class ScenarioResult:
    """Results of one scenario."""

    p99_s: float
    failed: float  # share of set-ups that timed out or were lost in a crash
    unserved: float
    crashes: int
    converged_after_s: float
    messages: float


def run_scenario(task: tuple[str, str, int, int, int]) -> ScenarioResult:
    """Run one scenario."""
    policy, scenario, fronts, servers, seed = task
    sim = Simulation(*task)
    sim.run(round(END_S * 1e6))
    wait_times_us = sorted(sim.wait_times_us)
    shifted = range(0, servers, 3)
    converged_after_s = (
        [sim.converged_us.get(server_index, 100_000_000) / 1e6 - 50 for server_index in shifted]
        if scenario == "shift"
        else [0.0]
    )
    return ScenarioResult(
        wait_times_us[len(wait_times_us) * 99 // 100] / 1e6,
        (sim.timed_out + sim.lost) / sim.requested,
        1 - sim.answered / sim.requested,
        sum(server.crashes for server in sim.servers),
        median(converged_after_s),
        sim.messages / fronts / END_S,
    )


def median_and_range(values: list[float], digits: int = 3) -> str:
    """Format the median and the range of values."""
    return f"{median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def main() -> None:
    """Print a row for each scenario and policy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12")
    parser.add_argument("--boxes", type=int, default=3)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--days", default=",".join(SCENARIOS))
    parser.add_argument(
        "--rules", default=f"learned,{DEFAULT_LIMIT // 2},{DEFAULT_LIMIT},{2 * DEFAULT_LIMIT},alone"
    )
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    policies = options.rules.split(",")
    with multiprocessing.Pool(options.processes) as pool:
        for fronts in map(int, options.fronts.split(",")):
            for scenario in options.days.split(","):
                seeds = range(1, options.seeds + 1)
                tasks = [
                    (policy, scenario, fronts, options.boxes, seed) for policy in policies for seed in seeds
                ]
                results = pool.map(run_scenario, tasks, chunksize=1)
                for index, policy in enumerate(policies):
                    of_policy = results[index * len(seeds) : (index + 1) * len(seeds)]
                    print(
                        f"{fronts:5} fronts {scenario:7} {policy:8}: "
                        f"p99 wait {median_and_range([r.p99_s for r in of_policy], 2)} s, "
                        f"timed out or lost {median_and_range([r.failed for r in of_policy])}, "
                        f"not served {median_and_range([r.unserved for r in of_policy])}, "
                        f"servers crashed {median_and_range([float(r.crashes) for r in of_policy], 0)}, "
                        f"converged after {median_and_range([r.converged_after_s for r in of_policy], 1)} s, "
                        f"{median(r.messages for r in of_policy):.1f} messages per front and second",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
