"""Searches small worlds of three fronts that know of each other by `decisions/fleet/company`, breadth first.

    python -m benchmarks.worlds [--steps 6] [--most 20000] [--fault hasty|trusting]

A step is two beats under one of: all hear all, front 0 cut off, front 1 cut off, nobody hears anybody;
messages in time or two beats late; before it front 0 dies or begins anew, or front 1 stands still or goes on
with what it believed. Worlds that differ in nothing but names of beats and the hour are one. Prints worlds,
steps and the largest sum of shares; ends with 1 where it is above the whole, which the planted faults are to
show.
"""

from __future__ import annotations

import argparse
import copy
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import product

from fennelcove.decisions.fleet.membership import Heartbeat, Membership, MembershipSettings, Peer

BEAT_US = 500_000
TERMS = {
    "fronts": 3,
    "heartbeat_interval_us": BEAT_US,
    "lease_us": 2 * BEAT_US,
    "departure_report_us": 2 * BEAT_US,
}
HORIZON_US = 12 * BEAT_US  # times further back differ in nothing
CUTS: tuple[frozenset[int], ...] = (frozenset(), frozenset({0}), frozenset({1}), frozenset({0, 1, 2}))


class Hasty(Membership):
    """A planted fault: it repeats beats while its own word may still be acted on."""

    def _may_acknowledge(self, peer: Peer, now_us: int) -> bool:
        return True


class Trusting(Membership):
    """A planted fault: a word that somebody is gone stands for ever."""

    def departed_fronts(self, now_us: int) -> frozenset[int]:
        words = [index for peer in self.peers.values() for index in peer.departed]
        return frozenset(i for i in self.peers if words.count(i) + 1 >= self.settings.majority and i in words)


KINDS: dict[str, type[Membership]] = {"": Membership, "hasty": Hasty, "trusting": Trusting}


@dataclass
class World:
    """What runs, what stands still, and what is on its way."""

    kind: type[Membership]
    now_us: int = 10 * HORIZON_US
    lives: int = 0
    members: dict[int, Membership] = field(default_factory=dict)
    still: dict[int, Membership] = field(default_factory=dict)
    air: list[tuple[int, int, int, Heartbeat]] = field(default_factory=list)  # when, from, to
    largest: float = 0.0

    def born(self, index: int) -> None:
        self.lives += 1
        self.members[index] = self.kind(MembershipSettings(index=index, **TERMS), self.lives, self.now_us)

    def beat(self, apart: frozenset[int], late_us: int) -> None:
        """One beat of all that run, and what comes of it."""
        self.now_us += BEAT_US
        for sender, member in self.members.items():
            for to, said in member.next_heartbeats(self.now_us).items():
                if sender not in apart and to not in apart:
                    self.air.append((self.now_us + late_us, sender, to, said))
        due = [item for item in self.air if item[0] <= self.now_us]
        self.air = [item for item in self.air if item[0] > self.now_us]
        for _, sender, to, said in due:
            self.sum()
            if to in self.members:
                self.members[to].on_heartbeat(sender, said, self.now_us)
        self.sum()

    def sum(self) -> None:
        """One that stands still may go on at any moment with what it believes."""
        everyone = [*self.members.values(), *self.still.values()]
        self.largest = max(self.largest, sum(member.allowed_share(self.now_us) for member in everyone))

    def next(self) -> Iterator[World]:
        for fault, apart, late_us in product(("", "dies", "stands"), CUTS, (0, 2 * BEAT_US)):
            after = copy.deepcopy(self)
            after.largest = 0.0
            if fault == "dies":
                if 0 in after.members:
                    del after.members[0]
                else:
                    after.born(0)
            elif fault == "stands":
                here, there = (
                    (after.members, after.still) if 1 in after.members else (after.still, after.members)
                )
                there[1] = here.pop(1)
            after.sum()
            for _ in range(2):
                after.beat(apart, late_us)
            yield after

    def key(self) -> object:
        """Without names of beats and lives, and without the hour."""
        everyone = {**self.members, **self.still}
        lives = {index: member.incarnation for index, member in everyone.items()}
        numbers = {index: member.sequence for index, member in everyone.items()}

        def ago(at_us: int) -> int:
            return min(HORIZON_US, self.now_us - at_us)

        def one(index: int, member: Membership) -> object:
            peers = tuple(
                (
                    other,
                    peer.state.value,
                    peer.incarnation - lives.get(other, 0),
                    peer.sequence - numbers.get(other, 0),
                    ago(peer.last_heartbeat_us),
                    ago(peer.incarnation_seen_us),
                    ago(peer.reported_departed_us),
                    ago(member.heartbeat_sent_us.get(peer.acknowledged_sequence, -HORIZON_US)),
                    tuple(sorted(peer.departed)),
                    ago(member.heartbeat_sent_us.get(peer.departed_sequence, -HORIZON_US)),
                    peer.rejoin_count,
                    ago(peer.rejoined_us),
                )
                for other, peer in sorted(member.peers.items())
            )
            return index, index in self.still, max(0, member.quiet_until_us - self.now_us), peers

        air = tuple(
            (
                at_us - self.now_us,
                sender,
                to,
                said.incarnation - lives.get(sender, 0),
                said.sequence - numbers.get(sender, 0),
                said.acknowledged_incarnation - lives.get(to, 0),
                said.acknowledged_sequence - numbers.get(to, 0),
                said.departed,
            )
            for at_us, sender, to, said in self.air
        )
        return tuple(one(index, member) for index, member in sorted(everyone.items())), air


def search(kind: type[Membership], steps: int, most: int) -> tuple[int, int, float]:
    """Worlds seen, whole steps done, and the largest sum; ends early where that is above the whole."""
    world = World(kind)
    for index in range(3):
        world.born(index)
    for _ in range(12):
        world.beat(frozenset(), 0)
    seen, edge, largest = {world.key()}, [world], world.largest
    for done in range(steps):
        following = []
        for at in edge:
            for after in at.next():
                largest = max(largest, after.largest)
                if largest > 1 + 1e-9 or len(seen) >= most:
                    return len(seen), done, largest
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    following.append(after)
        edge = following
    return len(seen), steps, largest


def main() -> None:
    """The search, and what it found."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--steps", type=int, default=6)
    parser.add_argument("--most", type=int, default=20_000)
    parser.add_argument("--fault", choices=[name for name in KINDS if name], default="")
    options = parser.parse_args()
    began = time.monotonic()
    worlds, steps, largest = search(KINDS[options.fault], options.steps, options.most)
    print(
        f"{worlds} worlds, all of {steps} steps and those begun after, {time.monotonic() - began:.0f} s: "
        f"at most {largest:.3f} of the whole"
    )
    sys.exit(largest > 1 + 1e-9)


if __name__ == "__main__":
    main()
