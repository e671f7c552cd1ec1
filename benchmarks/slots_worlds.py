"""Walks small worlds of three to five fronts that share the slots of one box, looking for one too many.

    python -m benchmarks.slots_worlds [--walks 2000] [--steps 300] [--seed 1] [--fault NAME]

The modules of `packages/concurrency-limits` as they are. In a step: time passes; a message comes, comes again
or is lost;
a front wants slots or none, asks, gives back, sends a join, dies, begins anew, stands still or goes on; a
part of the fronts is cut off or hears again; a front of the panel says another number, and the last front
says any number at all. After each step joins out, and what all might send at that moment, are held against
the largest number that counted anywhere in a loan's time, and each such number against what a majority of the
panel has said. Ends with 1 where something is above; each planted fault must be found.
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

BOX = 7
START = 4
ALLOW_US = LOAN_US // 3
MOST_AIR = 12
HONEST = (2, 3, 5, 6, 8)
LIE = 60

Message = (
    QuotaRequest | QuotaTransfer | LimitReport | int
)  # a number is a life that begins, or is answered where negative


@dataclass
class World:
    """A few fronts, their joins, and what is on its way between them."""

    size: int
    chance: Random
    acts: tuple[str, ...]
    now_us: int = 10 * LOAN_US
    lives: int = 0
    members: dict[int, Replica] = field(default_factory=dict)
    still: set[int] = field(default_factory=set)
    cut: frozenset[int] = frozenset()
    joins: list[tuple[int, int]] = field(default_factory=list)  # front, end
    air: list[tuple[int, int, int, int, Message]] = field(default_factory=list)  # from, to, life, number
    said: dict[int, int] = field(default_factory=dict)  # the most that each has said
    numbers: int = 0
    backed: int = START  # the largest number that a majority has said at least
    counted: list[tuple[int, int]] = field(default_factory=list)  # time, the largest that counted
    worst: str = ""

    def __post_init__(self) -> None:
        for index in range(self.size):
            self.born(index)
        for member in self.members.values():
            member.unacknowledged.clear()
            member.servers[BOX].loans.quota.is_cleared = True

    def born(self, index: int) -> None:
        self.lives += 1
        member = Replica(LimitSettings(start=START), self.size, index, self.lives, self.now_us)
        member.on_server_listed(BOX, "kind", 0, self.now_us)
        self.members[index] = member

    def send(self, sender: int, taker: int, said: Message) -> None:
        self.numbers += 1
        if len(self.air) < MOST_AIR and (sender in self.cut) == (taker in self.cut):
            self.air.append((sender, taker, self.members[sender].incarnation, self.numbers, said))

    def trade(self, index: int) -> None:
        for to, _, said in self.members[index].exchange_slots(self.chance.random(), self.now_us):
            self.send(index, to, said)

    def deliver(self) -> None:
        if not self.air:
            return
        at = self.chance.randrange(len(self.air))
        sender, to, life, number, said = self.air[at]
        if self.chance.random() < 0.85:
            self.air.pop(at)  # else it comes again
        member = self.members.get(to)
        if member is None or to in self.still or self.chance.random() < 0.1:
            return
        now_us = self.now_us
        if isinstance(said, LimitReport):
            member.on_report(sender, life, number, said, now_us)
        elif isinstance(said, QuotaRequest):
            loan = member.on_request(sender, BOX, said, now_us)
            if loan is not None:
                self.send(to, sender, loan)
        elif isinstance(said, QuotaTransfer):
            member.on_transfer(sender, BOX, said, now_us)
        elif said < 0:
            member.on_incarnation_acknowledged(sender, -said)
        elif member.on_incarnation_started(sender, now_us):
            self.send(to, sender, -said)

    def say(self, index: int) -> None:
        """A front of the panel has another opinion; the last one lies."""
        whole = LIE if index == self.size - 1 else self.chance.choice(HONEST)
        self.said[index] = max(whole, self.said.get(index, 0))
        word, member = QuorumVote(whole), self.members[index]
        self.numbers += 1
        agreed = member.servers[BOX].agreement
        agreed.on_vote(index, member.incarnation, self.numbers, word, self.now_us)
        member.servers[BOX].update_limit(self.now_us)
        self.back()
        for to in self.members:
            if to != index:
                self.send(index, to, LimitReport((to,), BOX, 0, vote=word))

    def back(self) -> None:
        said = sorted(self.said.values(), reverse=True)
        if len(said) > self.size // 2:
            self.backed = max(self.backed, said[self.size // 2])

    def step(self) -> None:
        act = self.chance.choice(self.acts)
        awake = [index for index in self.members if index not in self.still]
        if act == "time":
            self.now_us += self.chance.choice(TICKS)
            for front, end_us in self.joins:
                if end_us <= self.now_us and front in self.members:
                    self.members[front].on_attempt_ended(BOX, 0, ALLOW_US, True)
            self.joins = [join for join in self.joins if join[1] > self.now_us]
        elif act == "comes":
            self.deliver()
        elif act == "cut":
            size = self.chance.randrange(self.size)
            self.cut = frozenset(self.chance.sample(range(self.size), size)) if not self.cut else frozenset()
        elif act == "lives" and self.chance.random() < 0.3:
            index = self.chance.randrange(self.size)
            if index in self.members:
                del self.members[index]
                self.still.discard(index)
                self.joins = [join for join in self.joins if join[0] != index]
            else:
                self.born(index)
                self.one("begun", index)
        elif act == "stands":
            self.still ^= {self.chance.randrange(self.size)} & set(self.members)
        elif awake:
            self.one(act, self.chance.choice(awake))
        self.check()

    def one(self, act: str, index: int) -> None:
        member = self.members[index]
        if act == "wants":
            member.set_waiting(BOX, self.chance.choice((0, 0, 1, 4)))
            self.trade(index)
        elif act == "sends":
            # To those that waited it is all one: as many as may be.
            while member.servers[BOX].loans.in_flight < member.max_in_flight(BOX, self.now_us, ALLOW_US):
                member.on_attempt_started(BOX, 0, self.now_us, ALLOW_US)
                self.joins.append((index, self.now_us + ALLOW_US))
        elif act == "says":
            self.say(index)
        elif act == "begun":
            for to in member.incarnation_recipients():
                self.send(index, to, member.incarnation)
        else:
            member.servers[BOX].update_limit(self.now_us)

    def check(self) -> None:
        """What is out and what might be, against what counted; and that against the majority's."""
        counts = max((m.servers[BOX].agreement.limit for m in self.members.values()), default=0)
        self.counted.append((self.now_us, counts))
        since_us = self.now_us - round(LOAN_US * (1 + CLOCK_DRIFT) ** 2)
        while self.counted[0][0] < since_us and self.counted[1:] and self.counted[1][0] <= since_us:
            self.counted.pop(0)
        limit = max(counted for _, counted in self.counted)
        out = [sum(front == index for front, _ in self.joins) for index in range(self.size)]
        might = sum(max(out[i], member.max_in_flight(BOX, self.now_us)) for i, member in self.members.items())
        if might > limit:
            self.worst = self.worst or f"{might} might be out, {limit} counted"
        if counts > max(self.backed, START):
            self.worst = self.worst or f"{counts} counts, a majority said {self.backed}"


TICKS = (LOAN_US // 40, LOAN_US // 8, LOAN_US // 3, LOAN_US // 3)
ACTS = (
    *["comes"] * 8,
    *["wants", "sends"] * 4,
    *["time"] * 3,
    *["says", "settles", "begun"] * 2,
    *["cut", "lives", "stands"],
)
CALM = tuple(act for act in ACTS if act not in ("says", "cut"))


def from_receipt(self: Quota, sender: int, loan: QuotaTransfer, now_us: int) -> None:
    if loan.incarnation == self.incarnation and self.pending_requests.pop(loan.sequence, None) is not None:
        self.borrowed[sender] = BorrowedQuota(loan.rate, now_us + self.loan_us)
        self.loan_sequences[sender] = loan.sequence


def past_end(self: QuotaLoans, now_us: int, allow_us: int = 0) -> int:
    return int(self.quota.rate(now_us) + 1e-9)


def any_word(self: QuorumAgreement, now_us: int) -> int:
    self.limit = max([self.limit, *(word.limit for word in self.valid_votes(now_us))])
    return self.limit


def clears_early(self: QuotaLoans, lender: int, now_us: int) -> bool:
    return True


def spares(self: QuotaLoans, lender: int, now_us: int) -> bool:
    return True


FAULTS: dict[str, tuple[type, str, Any]] = {
    "from-receipt": (Quota, Quota.on_transfer.__name__, from_receipt),  # a loan counts from when it is heard
    "unwary": (
        Quota,
        "recovering_until_us",
        property(lambda self: self.started_us),
    ),  # a new life takes its whole part
    "past-end": (
        QuotaLoans,
        QuotaLoans.max_in_flight.__name__,
        past_end,
    ),  # a borrowed slot carries joins that outlast the loan
    "any-word": (QuorumAgreement, QuorumAgreement.advance.__name__, any_word),  # one word raises the number
    "clears-early": (
        QuotaLoans,
        QuotaLoans.on_incarnation_started.__name__,
        clears_early,
    ),  # answers a new life and goes on using its last one's
    "backs-used": (
        QuotaLoans,
        QuotaLoans._is_dispensable.__name__,
        spares,
    ),  # gives back a slot that carries a join
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """With a fault, or none."""
    if not name:
        yield
        return
    where, what, how = FAULTS[name]
    with mock.patch.object(where, what, how):
        yield


def walk(size: int, steps: int, seed: int) -> tuple[int, str]:
    """Steps done, and what was found."""
    # In every other world the number stays: what passes it by one is not hidden by a larger one of before.
    acts = CALM if seed % 2 else ACTS
    world = World(size, Random(seed), acts)
    for done in range(steps):
        world.step()
        if world.worst:
            return done + 1, world.worst
    return steps, ""


def search(walks: int, steps: int, seed: int, sizes: tuple[int, ...] = (3, 4, 5)) -> tuple[int, str]:
    """Worlds seen, and the first that is at fault."""
    seen = 0
    for number in range(walks):
        size = sizes[number % len(sizes)]
        done, worst = walk(size, steps, seed * 1_000_003 + number)
        seen += done
        if worst:
            return seen, f"{worst} ({size} fronts, walk {number}, step {done})"
    return seen, ""


def main() -> None:
    """The search, and what it found."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--walks", type=int, default=2000)
    parser.add_argument("--steps", type=int, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--fault", choices=list(FAULTS), default="")
    options = parser.parse_args()
    began = time.monotonic()
    with planted(options.fault):
        seen, worst = search(options.walks, options.steps, options.seed)
    print(
        f"{seen} worlds of 3 to 5 fronts, {time.monotonic() - began:.0f} s: {worst or 'never one too many'}"
    )
    sys.exit(bool(worst))


if __name__ == "__main__":
    main()
