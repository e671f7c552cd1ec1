"""Membership: peer states, and simulations in which the shares of all fronts must not exceed the whole."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from random import Random

from fennelcove import messages
from fennelcove.decisions.fleet import membership
from fennelcove.decisions.fleet.membership import Heartbeat, Membership, MembershipSettings
from fennelcove.decisions.fleet.peer_states import PeerState
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.membership_model_check import AcknowledgesTooEarly, NeverExpiresReports

INTERVAL_US = membership.HEARTBEAT_INTERVAL_US
EXPIRY_US = 2 * membership.LEASE_US  # leases, reports and quarantines have ended by then


@dataclass
class FleetSimulation:
    """A number of fronts on one clock, between which messages may be blocked."""

    size: int
    now_us: int = 1_000_000
    incarnation_count: int = 0
    members: dict[int, Membership] = field(default_factory=dict)  # the running fronts, by index
    duplicates: list[Membership] = field(default_factory=list)  # second processes under an index
    late: list[tuple[int, int, Heartbeat]] = field(default_factory=list)

    def start_fronts(self, *indices: int) -> None:
        for index in indices or range(self.size):
            self.members[index] = self.new_member(index)

    def new_member(self, index: int, incarnation: int | None = None) -> Membership:
        self.incarnation_count += 1
        return Membership(
            MembershipSettings(self.size, index),
            incarnation if incarnation is not None else self.incarnation_count,
            self.now_us,
        )

    def step(
        self, blocked: object = frozenset(), dropped: object = frozenset(), us: int = INTERVAL_US
    ) -> None:
        """One heartbeat of all fronts; messages between pairs in `blocked` or `dropped` do not arrive."""
        self.now_us += us
        sent = [
            (member.settings.index, recipient, heartbeat)
            for member in [*self.members.values(), *self.duplicates]
            for recipient, heartbeat in member.next_heartbeats(self.now_us).items()
        ]
        for sender, recipient, heartbeat in sent:
            if (sender, recipient) in blocked or (sender, recipient) in dropped:  # type: ignore[operator]
                continue
            for member in [*self.members.values(), *self.duplicates]:
                if member.settings.index == recipient:
                    member.on_heartbeat(sender, heartbeat, self.now_us)

    def run(self, us: int, blocked: object = frozenset()) -> None:
        for _ in range(us // INTERVAL_US):
            self.step(blocked)

    def total_share(self) -> float:
        """The sum of the shares of all running processes."""
        return sum(member.allowed_share(self.now_us) for member in [*self.members.values(), *self.duplicates])


def partition(one_side: set[int], other_side: set[int]) -> set[tuple[int, int]]:
    """The pairs of indices between which a partition blocks messages."""
    return {pair for a in one_side for b in other_side for pair in ((a, b), (b, a))}


class MembershipTest(unittest.TestCase):
    def test_with_all_fronts_alive_the_shares_are_equal_and_add_up_to_the_whole(self) -> None:
        fleet = FleetSimulation(5)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        assert {member.allowed_share(fleet.now_us) for member in fleet.members.values()} == {1 / 5}
        for turn in range(50):
            owners = [
                member.settings.index
                for member in fleet.members.values()
                if member.owns_turn(turn, fleet.now_us)
            ]
            assert owners == [turn % 5]

    def test_a_majority_divides_the_shares_of_departed_fronts_except_for_the_reserved_part(self) -> None:
        fleet = FleetSimulation(5)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        del fleet.members[1], fleet.members[4]
        fleet.run(2 * EXPIRY_US)
        for member in fleet.members.values():
            self.assertAlmostEqual(member.allowed_share(fleet.now_us), (1 - 0.5 * 2 / 5) / 3)
        owners_by_turn = [
            [
                member.settings.index
                for member in fleet.members.values()
                if member.owns_turn(turn, fleet.now_us)
            ]
            for turn in range(2000)
        ]
        assert all(len(owners) <= 1 for owners in owners_by_turn)
        # Two of five fronts have departed, and half of their turns are reserved for them.
        self.assertAlmostEqual(sum(map(len, owners_by_turn)) / 2000, 1 - 2 / 5 * 0.5, delta=0.03)

    def test_a_front_that_reaches_no_other_keeps_its_reserved_share(self) -> None:
        fleet = FleetSimulation(12)
        fleet.start_fronts(7)
        fleet.run(4 * EXPIRY_US)
        self.assertAlmostEqual(fleet.members[7].allowed_share(fleet.now_us), 0.5 / 12)

    def test_the_halves_of_a_partition_never_exceed_the_whole(self) -> None:
        fleet = FleetSimulation(6)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        blocked = partition({0, 1, 2}, {3, 4, 5})
        for _ in range(40):
            fleet.step(blocked)
            assert fleet.total_share() <= 1 + 1e-09
        self.assertAlmostEqual(fleet.total_share(), 0.5)
        for _ in range(40):
            fleet.step()
            assert fleet.total_share() <= 1 + 1e-09
        self.assertAlmostEqual(fleet.total_share(), 1.0)

    def test_a_paused_front_has_no_lease_when_it_resumes(self) -> None:
        fleet = FleetSimulation(5)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        paused = fleet.members.pop(2)
        fleet.run(2 * EXPIRY_US)
        # The moment it resumes, before it has received anything.
        total = fleet.total_share() + paused.allowed_share(fleet.now_us)
        assert total <= 1 + 1e-09
        assert not paused.has_lease(fleet.now_us)

    def test_a_new_incarnation_acknowledges_nothing_until_messages_of_the_previous_one_have_expired(
        self,
    ) -> None:
        fleet = FleetSimulation(3)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        fleet.members[0] = fleet.new_member(0)
        fleet.step()
        heartbeats = fleet.members[0].next_heartbeats(fleet.now_us)
        assert [heartbeat.acknowledged_sequence for heartbeat in heartbeats.values()] == [0, 0]
        fleet.run(EXPIRY_US)
        assert all(member.has_lease(fleet.now_us) for member in fleet.members.values())

    def test_two_processes_under_one_index_are_detected_and_share_that_front(self) -> None:
        fleet = FleetSimulation(5)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        fleet.duplicates.append(fleet.new_member(3))
        # The second process is unknown until its first heartbeat: its reserved share comes on top until the
        # lease of the first one has expired.
        for step in range(120):
            fleet.step()
            assert fleet.total_share() <= 1 + (0.5 / 5 if step * INTERVAL_US <= EXPIRY_US else 0) + 1e-09
        state = fleet.members[0].peers[3].state
        assert state is PeerState.DUPLICATE

    def test_a_clock_that_was_set_back_does_not_make_a_new_incarnation_an_old_one(self) -> None:
        fleet = FleetSimulation(3)
        fleet.incarnation_count = 100
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        fleet.members[1] = fleet.new_member(1, incarnation=7)
        fleet.run(2 * EXPIRY_US)
        assert fleet.members[1].has_lease(fleet.now_us)
        assert fleet.members[1].incarnation > 100

    def test_an_announced_departure_takes_effect_at_once_and_a_delayed_heartbeat_does_not_cancel_it(
        self,
    ) -> None:
        fleet = FleetSimulation(3)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        delayed = fleet.members[2].next_heartbeats(fleet.now_us)[0]
        fleet.members[2].is_leaving = True
        fleet.step()
        assert fleet.members[0].peers[2].state is PeerState.LEFT
        fleet.members[0].on_heartbeat(2, delayed, fleet.now_us)
        assert fleet.members[0].peers[2].state is PeerState.LEFT

    def test_a_flapping_peer_stays_in_quarantine_for_longer(self) -> None:
        quarantines_us = []
        fleet = FleetSimulation(3)
        fleet.start_fronts()
        fleet.run(EXPIRY_US)
        for _ in range(membership.MAX_FLAPS + 3):
            blocked = partition({2}, {0, 1})
            while fleet.members[0].peers[2].state is not PeerState.UNREACHABLE:
                fleet.step(blocked)
            since_us = fleet.now_us
            while fleet.members[0].peers[2].state is not PeerState.ALIVE:
                fleet.step()
            quarantines_us.append(fleet.now_us - since_us)
        assert quarantines_us[-1] > quarantines_us[0]

    def test_a_heartbeat_round_trips_and_a_truncated_one_is_rejected_or_differs(self) -> None:
        heartbeat = Heartbeat(1 << 40, 7, 1 << 41, 9, True, (3, 200))
        raw = messages.encode_heartbeat(heartbeat)
        assert messages.decode_heartbeat(raw) == heartbeat
        assert messages.decode(0, raw) is None
        for length in range(len(raw)):
            assert messages.decode_heartbeat(raw[:length]) != heartbeat

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 1 << 30), st.integers(3, 6))
    def test_shares_never_add_up_to_more_than_the_whole(self, seed: int, size: int) -> None:
        """Random loss, duplication, delay, partitions, crashes, restarts and pauses."""
        assert random_run(seed, size, 160) <= 1 + 1e-09

    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 1 << 30), st.integers(3, 6))
    def test_no_turn_ever_belongs_to_two_fronts(self, seed: int, size: int) -> None:
        assert random_run(seed, size, 160, turns=True) <= 1


def random_run(
    seed: int, size: int, steps: int, member_type: type[Membership] = Membership, turns: bool = False
) -> float:
    """The largest sum of shares in one random run, or with `turns` the largest number of owners of a turn."""
    rng, fleet, largest = Random(seed), FleetSimulation(size), 0.0
    fleet.new_member = lambda index, incarnation=None: member_type(  # type: ignore[method-assign]
        MembershipSettings(size, index), fleet.now_us, fleet.now_us
    )
    fleet.start_fronts()
    paused: dict[int, Membership] = {}
    in_flight: list[tuple[int, int, int, Heartbeat]] = []
    blocked: set[tuple[int, int]] = set()
    for _ in range(steps):
        fleet.now_us += INTERVAL_US
        draw = rng.random()
        chosen = rng.randrange(size)
        if draw < 0.06:
            side = {i for i in range(size) if rng.random() < 0.5}
            blocked = partition(side, set(range(size)) - side) if rng.random() < 0.7 else set()
        elif draw < 0.10 and chosen in fleet.members:
            del fleet.members[chosen]
        elif draw < 0.16 and chosen not in fleet.members and chosen not in paused:
            fleet.members[chosen] = fleet.new_member(chosen)
        elif draw < 0.20 and chosen in fleet.members:
            paused[chosen] = fleet.members.pop(chosen)
        elif draw < 0.26 and paused:
            index = rng.choice(sorted(paused))
            fleet.members[index] = paused.pop(index)
        for member in fleet.members.values():
            for recipient, heartbeat in member.next_heartbeats(fleet.now_us).items():
                copies = rng.choice((0, 1, 1, 1, 2))
                for _ in range(copies if (member.settings.index, recipient) not in blocked else 0):
                    delay = 0 if rng.random() < 0.7 else rng.randrange(12) * INTERVAL_US
                    in_flight.append((fleet.now_us + delay, member.settings.index, recipient, heartbeat))
        for item in [item for item in in_flight if item[0] <= fleet.now_us]:
            in_flight.remove(item)
            if item[2] in fleet.members:
                fleet.members[item[2]].on_heartbeat(item[1], item[3], fleet.now_us)
            # A paused front counts too: it may resume at any time with the state that it had.
            all_members = [*fleet.members.values(), *paused.values()]
            if turns:
                turn = rng.randrange(1000)
                total = float(sum(member.owns_turn(turn, fleet.now_us) for member in all_members))
            else:
                total = sum(member.allowed_share(fleet.now_us) for member in all_members)
            largest = max(largest, total)
    return largest


class PlantedFaultTest(unittest.TestCase):
    def test_planted_faults_are_found(self) -> None:
        for fault in (AcknowledgesTooEarly, NeverExpiresReports):
            found = any(random_run(seed, 3, 160, fault) > 1 + 1e-9 for seed in range(300))
            assert found, fault.__name__


if __name__ == "__main__":
    unittest.main()
