"""Model check of the membership of three fronts (`fennelcove.decisions.fleet.membership`), breadth first.

    python -m benchmarks.membership_model_check [--steps 6] [--most 20000] [--fault hasty|trusting]

A step is two heartbeat intervals in which no front is isolated, front 0 is, front 1 is, or all are;
heartbeats arrive at once or two intervals late. Before a step front 0 may crash or start, or front 1 may be
paused or resumed with the state that it had. States that differ only in sequence numbers, incarnation numbers
and the time are treated as one. `--most` limits the number of states, `--fault` selects a planted fault.
Prints the number of states, the completed steps and the largest sum of shares; exits with status 1 where that
exceeds the whole, which the planted faults are expected to show.
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

HEARTBEAT_US = 500_000
SETTINGS = {
    "fronts": 3,
    "heartbeat_interval_us": HEARTBEAT_US,
    "lease_us": 2 * HEARTBEAT_US,
    "departure_report_us": 2 * HEARTBEAT_US,
}
HORIZON_US = 12 * HEARTBEAT_US  # greater ages make no difference
ISOLATED_FRONTS: tuple[frozenset[int], ...] = (
    frozenset(),
    frozenset({0}),
    frozenset({1}),
    frozenset({0, 1, 2}),
)


class AcknowledgesTooEarly(Membership):
    """A planted fault: it acknowledges a peer while its own departure report may still be valid."""

    def _may_acknowledge(self, peer: Peer, now_us: int) -> bool:
        return True


class NeverExpiresReports(Membership):
    """A planted fault: departure reports never expire."""

    def departed_fronts(self, now_us: int) -> frozenset[int]:
        reported = [index for peer in self.peers.values() for index in peer.departed]
        return frozenset(
            index
            for index in self.peers
            if reported.count(index) + 1 >= self.settings.majority and index in reported
        )


MEMBER_TYPES: dict[str, type[Membership]] = {
    "": Membership,
    "hasty": AcknowledgesTooEarly,
    "trusting": NeverExpiresReports,
}


@dataclass
class FleetModel:
    """The running fronts, the paused ones, and the heartbeats in flight."""

    member_type: type[Membership]
    now_us: int = 10 * HORIZON_US
    incarnation_count: int = 0
    members: dict[int, Membership] = field(default_factory=dict)
    paused: dict[int, Membership] = field(default_factory=dict)
    in_flight: list[tuple[int, int, int, Heartbeat]] = field(default_factory=list)  # due, sender, recipient
    largest: float = 0.0

    def start_front(self, index: int) -> None:
        self.incarnation_count += 1
        self.members[index] = self.member_type(
            MembershipSettings(index=index, **SETTINGS), self.incarnation_count, self.now_us
        )

    def run_interval(self, isolated: frozenset[int], delay_us: int) -> None:
        """Send the heartbeats of all running fronts, and deliver those that are due."""
        self.now_us += HEARTBEAT_US
        for sender, member in self.members.items():
            for recipient, heartbeat in member.next_heartbeats(self.now_us).items():
                if sender not in isolated and recipient not in isolated:
                    self.in_flight.append((self.now_us + delay_us, sender, recipient, heartbeat))
        due = [item for item in self.in_flight if item[0] <= self.now_us]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now_us]
        for _, sender, recipient, heartbeat in due:
            self.record_sum()
            if recipient in self.members:
                self.members[recipient].on_heartbeat(sender, heartbeat, self.now_us)
        self.record_sum()

    def record_sum(self) -> None:
        """Record the sum of all shares; a paused front counts, as it may resume at any time."""
        all_members = [*self.members.values(), *self.paused.values()]
        self.largest = max(self.largest, sum(member.allowed_share(self.now_us) for member in all_members))

    def next_states(self) -> Iterator[FleetModel]:
        for fault, isolated, delay_us in product(
            ("", "crash", "pause"), ISOLATED_FRONTS, (0, 2 * HEARTBEAT_US)
        ):
            after = copy.deepcopy(self)
            after.largest = 0.0
            if fault == "crash":
                if 0 in after.members:
                    del after.members[0]
                else:
                    after.start_front(0)
            elif fault == "pause":
                source, destination = (
                    (after.members, after.paused) if 1 in after.members else (after.paused, after.members)
                )
                destination[1] = source.pop(1)
            after.record_sum()
            for _ in range(2):
                after.run_interval(isolated, delay_us)
            yield after

    def key(self) -> object:
        """The state with relative numbers and ages, so that equivalent states have equal keys."""
        all_members = {**self.members, **self.paused}
        incarnations = {index: member.incarnation for index, member in all_members.items()}
        sequences = {index: member.sequence for index, member in all_members.items()}

        def age_us(at_us: int) -> int:
            return min(HORIZON_US, self.now_us - at_us)

        def member_key(index: int, member: Membership) -> object:
            peers = tuple(
                (
                    other,
                    peer.state.value,
                    peer.incarnation - incarnations.get(other, 0),
                    peer.sequence - sequences.get(other, 0),
                    age_us(peer.last_heartbeat_us),
                    age_us(peer.incarnation_seen_us),
                    age_us(peer.reported_departed_us),
                    age_us(member.heartbeat_sent_us.get(peer.acknowledged_sequence, -HORIZON_US)),
                    tuple(sorted(peer.departed)),
                    age_us(member.heartbeat_sent_us.get(peer.departed_sequence, -HORIZON_US)),
                    peer.rejoin_count,
                    age_us(peer.rejoined_us),
                )
                for other, peer in sorted(member.peers.items())
            )
            return index, index in self.paused, max(0, member.quiet_until_us - self.now_us), peers

        in_flight = tuple(
            (
                due_us - self.now_us,
                sender,
                recipient,
                heartbeat.incarnation - incarnations.get(sender, 0),
                heartbeat.sequence - sequences.get(sender, 0),
                heartbeat.acknowledged_incarnation - incarnations.get(recipient, 0),
                heartbeat.acknowledged_sequence - sequences.get(recipient, 0),
                heartbeat.departed,
            )
            for due_us, sender, recipient, heartbeat in self.in_flight
        )
        return tuple(member_key(index, member) for index, member in sorted(all_members.items())), in_flight


def search(member_type: type[Membership], steps: int, max_states: int) -> tuple[int, int, float]:
    """Search states breadth first; ends early where the sum of shares exceeds the whole.

    Returns:
        The number of states, the completed steps, and the largest sum of shares.
    """
    model = FleetModel(member_type)
    for index in range(3):
        model.start_front(index)
    for _ in range(12):
        model.run_interval(frozenset(), 0)
    seen, frontier, largest = {model.key()}, [model], model.largest
    for completed in range(steps):
        next_frontier = []
        for state in frontier:
            for after in state.next_states():
                largest = max(largest, after.largest)
                if largest > 1 + 1e-9 or len(seen) >= max_states:
                    return len(seen), completed, largest
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    next_frontier.append(after)
        frontier = next_frontier
    return len(seen), steps, largest


def main() -> None:
    """Run the search and print its result."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--steps", type=int, default=6)
    parser.add_argument("--most", type=int, default=20_000)
    parser.add_argument("--fault", choices=[name for name in MEMBER_TYPES if name], default="")
    options = parser.parse_args()
    started = time.monotonic()
    states, steps, largest = search(MEMBER_TYPES[options.fault], options.steps, options.most)
    print(
        f"{states} states, {steps} steps completed, {time.monotonic() - started:.0f} s: "
        f"largest sum of shares {largest:.3f}"
    )
    sys.exit(largest > 1 + 1e-9)


if __name__ == "__main__":
    main()
