"""Model check of slot sharing: random walks of three to five fronts that share the slots of one server.

    python -m benchmarks.concurrency_limits_model_check [--walks 2000] [--steps 300] [--seed 1] [--fault NAME]

The model runs the modules of `packages/concurrency-limits` unchanged. In each step one thing happens. Time
passes. A message is delivered, duplicated or lost. A front starts or stops waiting for slots, sends requests
and returns, starts attempts, crashes, restarts, pauses or continues. A part of the fronts is partitioned off
or reconnected. A voter votes for another limit; the last front is dishonest and votes for a false one.

After each step two invariants are checked: the attempts in flight, and those that all fronts together could
have in flight at that moment, do not exceed the largest limit that was in force anywhere within the time of a
loan; and no limit in force exceeds what a majority of the voters has voted for. The exit status is 1 if an
invariant is violated. Every planted fault (`--fault`) must be detected.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest import mock

from fennelcove.concurrency_limits.adaptive_limit import LimitSettings
from fennelcove.concurrency_limits.quorum import QuorumAgreement, QuorumVote
from fennelcove.concurrency_limits.quota_loans import LOAN_US, QuotaLoans
from fennelcove.concurrency_limits.replica import LimitReport, Replica
from fennelcove.decisions.fleet.shared_quotas import (
    CLOCK_DRIFT,
    BorrowedQuota,
    Quota,
    QuotaRequest,
    QuotaTransfer,
)

SERVER = 7
INITIAL_LIMIT = 4
MAX_ATTEMPT_US = LOAN_US // 3
MAX_IN_TRANSIT = 12
HONEST_LIMITS = (2, 3, 5, 6, 8)
FALSE_LIMIT = 60

# A positive number announces an incarnation; a negative one acknowledges it.
Message = QuotaRequest | QuotaTransfer | LimitReport | int


@dataclass
class FleetModel:
    """State of the model: the fronts, their attempts in flight, and the messages in transit."""

    size: int
    rng: Random
    actions: tuple[str, ...]
    now_us: int = 10 * LOAN_US
    incarnations: int = 0
    replicas: dict[int, Replica] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    partitioned: frozenset[int] = frozenset()
    attempts: list[tuple[int, int]] = field(default_factory=list)  # front, end time
    # Sender, recipient, incarnation, sequence number, message.
    in_transit: list[tuple[int, int, int, int, Message]] = field(default_factory=list)
    highest_votes: dict[int, int] = field(default_factory=dict)  # by front
    sequence: int = 0
    majority_limit: int = (
        INITIAL_LIMIT  # the largest limit that a majority has voted for, or for a higher one
    )
    # Time, largest limit in force at any front.
    limits_in_force: list[tuple[int, int]] = field(default_factory=list)
    violation: str = ""

    def __post_init__(self) -> None:
        for index in range(self.size):
            self.start_front(index)
        for replica in self.replicas.values():
            replica.unacknowledged.clear()
            replica.servers[SERVER].loans.quota.is_cleared = True

    def start_front(self, index: int) -> None:
        self.incarnations += 1
        replica = Replica(
            LimitSettings(start=INITIAL_LIMIT), self.size, index, self.incarnations, self.now_us
        )
        replica.on_server_listed(SERVER, "kind", 0, self.now_us)
        self.replicas[index] = replica

    def send(self, sender: int, recipient: int, message: Message) -> None:
        self.sequence += 1
        if len(self.in_transit) < MAX_IN_TRANSIT and (sender in self.partitioned) == (
            recipient in self.partitioned
        ):
            self.in_transit.append(
                (sender, recipient, self.replicas[sender].incarnation, self.sequence, message)
            )

    def exchange_slots(self, index: int) -> None:
        for recipient, _, message in self.replicas[index].exchange_slots(self.rng.random(), self.now_us):
            self.send(index, recipient, message)

    def deliver(self) -> None:
        if not self.in_transit:
            return
        position = self.rng.randrange(len(self.in_transit))
        sender, recipient, incarnation, sequence, message = self.in_transit[position]
        if self.rng.random() < 0.85:
            self.in_transit.pop(position)  # otherwise it is delivered again later
        replica = self.replicas.get(recipient)
        if replica is None or recipient in self.paused or self.rng.random() < 0.1:
            return
        now_us = self.now_us
        if isinstance(message, LimitReport):
            replica.on_report(sender, incarnation, sequence, message, now_us)
        elif isinstance(message, QuotaRequest):
            loan = replica.on_request(sender, SERVER, message, now_us)
            if loan is not None:
                self.send(recipient, sender, loan)
        elif isinstance(message, QuotaTransfer):
            replica.on_transfer(sender, SERVER, message, now_us)
        elif message < 0:
            replica.on_incarnation_acknowledged(sender, -message)
        elif replica.on_incarnation_started(sender, now_us):
            self.send(recipient, sender, -message)

    def cast_vote(self, index: int) -> None:
        """Vote for another limit; the last front always votes for the false one."""
        limit = FALSE_LIMIT if index == self.size - 1 else self.rng.choice(HONEST_LIMITS)
        self.highest_votes[index] = max(limit, self.highest_votes.get(index, 0))
        vote, replica = QuorumVote(limit), self.replicas[index]
        self.sequence += 1
        agreement = replica.servers[SERVER].agreement
        agreement.on_vote(index, replica.incarnation, self.sequence, vote, self.now_us)
        replica.servers[SERVER].update_limit(self.now_us)
        self.update_majority()
        for recipient in self.replicas:
            if recipient != index:
                self.send(index, recipient, LimitReport((recipient,), SERVER, 0, vote=vote))

    def update_majority(self) -> None:
        votes = sorted(self.highest_votes.values(), reverse=True)
        if len(votes) > self.size // 2:
            self.majority_limit = max(self.majority_limit, votes[self.size // 2])

    def step(self) -> None:
        action = self.rng.choice(self.actions)
        running = [index for index in self.replicas if index not in self.paused]
        if action == "advance_time":
            self.now_us += self.rng.choice(TIME_STEPS_US)
            for front, end_us in self.attempts:
                if end_us <= self.now_us and front in self.replicas:
                    self.replicas[front].on_attempt_ended(SERVER, 0, MAX_ATTEMPT_US, True)
            self.attempts = [attempt for attempt in self.attempts if attempt[1] > self.now_us]
        elif action == "deliver":
            self.deliver()
        elif action == "partition":
            size = self.rng.randrange(self.size)
            self.partitioned = (
                frozenset(self.rng.sample(range(self.size), size)) if not self.partitioned else frozenset()
            )
        elif action == "crash_or_restart" and self.rng.random() < 0.3:
            index = self.rng.randrange(self.size)
            if index in self.replicas:
                del self.replicas[index]
                self.paused.discard(index)
                self.attempts = [attempt for attempt in self.attempts if attempt[0] != index]
            else:
                self.start_front(index)
                self.perform("announce_incarnation", index)
        elif action == "pause_or_continue":
            self.paused ^= {self.rng.randrange(self.size)} & set(self.replicas)
        elif running:
            self.perform(action, self.rng.choice(running))
        self.check()

    def perform(self, action: str, index: int) -> None:
        replica = self.replicas[index]
        if action == "request_slots":
            replica.set_waiting(SERVER, self.rng.choice((0, 0, 1, 4)))
            self.exchange_slots(index)
        elif action == "start_attempts":
            # Starts as many attempts as possible, whether or not that many were waiting.
            while replica.servers[SERVER].loans.in_flight < replica.max_in_flight(
                SERVER, self.now_us, MAX_ATTEMPT_US
            ):
                replica.on_attempt_started(SERVER, 0, self.now_us, MAX_ATTEMPT_US)
                self.attempts.append((index, self.now_us + MAX_ATTEMPT_US))
        elif action == "cast_vote":
            self.cast_vote(index)
        elif action == "announce_incarnation":
            for recipient in replica.incarnation_recipients():
                self.send(index, recipient, replica.incarnation)
        else:
            replica.servers[SERVER].update_limit(self.now_us)

    def check(self) -> None:
        """Check both invariants and record the first violation."""
        max_limit_in_force = max(
            (m.servers[SERVER].agreement.limit for m in self.replicas.values()), default=0
        )
        self.limits_in_force.append((self.now_us, max_limit_in_force))
        since_us = self.now_us - round(LOAN_US * (1 + CLOCK_DRIFT) ** 2)
        while (
            self.limits_in_force[0][0] < since_us
            and self.limits_in_force[1:]
            and self.limits_in_force[1][0] <= since_us
        ):
            self.limits_in_force.pop(0)
        allowed = max(limit for _, limit in self.limits_in_force)
        in_flight = [sum(front == index for front, _ in self.attempts) for index in range(self.size)]
        possible = sum(
            max(in_flight[i], replica.max_in_flight(SERVER, self.now_us))
            for i, replica in self.replicas.items()
        )
        if possible > allowed:
            self.violation = (
                self.violation or f"{possible} attempts could be in flight, the limit was {allowed}"
            )
        if max_limit_in_force > max(self.majority_limit, INITIAL_LIMIT):
            self.violation = (
                self.violation
                or f"limit {max_limit_in_force} in force, a majority voted for {self.majority_limit}"
            )


TIME_STEPS_US = (LOAN_US // 40, LOAN_US // 8, LOAN_US // 3, LOAN_US // 3)
ACTIONS = (
    *["deliver"] * 8,
    *["request_slots", "start_attempts"] * 4,
    *["advance_time"] * 3,
    *["cast_vote", "update_limit", "announce_incarnation"] * 2,
    *["partition", "crash_or_restart", "pause_or_continue"],
)
ACTIONS_WITHOUT_VOTES = tuple(action for action in ACTIONS if action not in ("cast_vote", "partition"))


def expire_loan_after_receipt(self: Quota, sender: int, loan: QuotaTransfer, now_us: int) -> None:
    if loan.incarnation == self.incarnation and self.pending_requests.pop(loan.sequence, None) is not None:
        self.borrowed[sender] = BorrowedQuota(loan.rate, now_us + self.loan_us)
        self.loan_sequences[sender] = loan.sequence


def ignore_loan_end(self: QuotaLoans, now_us: int, max_duration_us: int = 0) -> int:
    return int(self.quota.rate(now_us) + 1e-9)


def adopt_highest_vote(self: QuorumAgreement, now_us: int) -> int:
    self.limit = max([self.limit, *(vote.limit for vote in self.valid_votes(now_us))])
    return self.limit


def acknowledge_early(self: QuotaLoans, lender: int, now_us: int) -> bool:
    return True


def always_dispensable(self: QuotaLoans, lender: int, now_us: int) -> bool:
    return True


FAULTS: dict[str, tuple[type, str, Any]] = {
    # A loan lasts from the time of its receipt instead of the time of the request.
    "from-receipt": (Quota, Quota.on_transfer.__name__, expire_loan_after_receipt),
    # A restarted front uses its whole share at once.
    "unwary": (Quota, "recovering_until_us", property(lambda self: self.started_us)),
    # A borrowed slot is used for attempts that last longer than the loan.
    "past-end": (QuotaLoans, QuotaLoans.max_in_flight.__name__, ignore_loan_end),
    # A single vote raises the limit.
    "any-word": (QuorumAgreement, QuorumAgreement.advance.__name__, adopt_highest_vote),
    # A front acknowledges an incarnation but still uses slots that the previous one lent.
    "clears-early": (QuotaLoans, QuotaLoans.on_incarnation_started.__name__, acknowledge_early),
    # A front returns a slot that an attempt still uses.
    "backs-used": (QuotaLoans, QuotaLoans._is_dispensable.__name__, always_dispensable),
}


@contextmanager
def planted_fault(name: str) -> Iterator[None]:
    """Plant a fault by its name; an empty name plants none."""
    if not name:
        yield
        return
    target, attribute, replacement = FAULTS[name]
    with mock.patch.object(target, attribute, replacement):
        yield


def walk(size: int, steps: int, seed: int) -> tuple[int, str]:
    """Walk at random; returns the number of steps and the violation, empty if there was none."""
    # Every other walk leaves the limit unchanged, so that exceeding it by one is not hidden by an earlier,
    # higher limit.
    actions = ACTIONS_WITHOUT_VOTES if seed % 2 else ACTIONS
    model = FleetModel(size, Random(seed), actions)
    for steps_done in range(steps):
        model.step()
        if model.violation:
            return steps_done + 1, model.violation
    return steps, ""


def search(walks: int, steps: int, seed: int, sizes: tuple[int, ...] = (3, 4, 5)) -> tuple[int, str]:
    """Run random walks; returns the number of states checked and the first violation, empty if none."""
    states = 0
    for walk_number in range(walks):
        size = sizes[walk_number % len(sizes)]
        steps_done, violation = walk(size, steps, seed * 1_000_003 + walk_number)
        states += steps_done
        if violation:
            return states, f"{violation} ({size} fronts, walk {walk_number}, step {steps_done})"
    return states, ""


def main() -> None:
    """Run the search and print the result."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--steps", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", choices=list(FAULTS), default="")
    options = parser.parse_args()
    started = time.monotonic()
    with planted_fault(options.fault):
        states, violation = search(options.walks, options.steps, options.seed)
    print(
        f"{states} states of 3 to 5 fronts, {time.monotonic() - started:.0f} s: "
        f"{violation or 'no violation found'}"
    )
    sys.exit(bool(violation))


if __name__ == "__main__":
    main()
