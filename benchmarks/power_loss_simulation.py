"""Simulates how a fleet of any size recovers from a power loss, with the decision modules unchanged.

    python -m benchmarks.power_loss_simulation [--fronts 12,50,200] [--variants turns,leases]
                                  [--few] [--cut] [--seed 1]

The scenario power-loss is scaled up in proportion to the fronts (servers, titles and clients), without
sockets, stores or listeners. Measured is how the fronts' turns at servers in warm-up add up.

Variants:
    turns: a front's turns follow from the configured number of fronts.
    leases: turns by `Membership`; heartbeats take 1 to 30 ms, and one in twenty is lost.
    steady: as `leases`, but a front's equal share needs no lease, so that no turn moves when a front arrives.
    halves: as `turns`, but the fronts know of the partition (`--cut`) and share a server's turns among those
        that reach it.

With `--few` five of twelve fronts do not restart. With `--cut` the fronts of each zone reach neither the
fronts nor the servers of the other zone from one second after the power loss on, for 16 s, as in scenario
power-split.

Printed are the seconds until 90% of the service is restored, beside the bound that the servers' warm-up alone
sets, the share served in the first 30 s, the share of the turns at servers in warm-up that was used, servers
crashed from overload and attempts per request.
"""

from __future__ import annotations

import argparse
import dataclasses
from dataclasses import dataclass
from functools import partial
from itertools import count
from random import Random

import msgspec
from fennelcove.decisions.fleet.membership import Heartbeat, Membership, MembershipSettings
from fennelcove.emulators.model import RackModel, ServerModel, SetUpResult
from fennelcove.interface import (
    AttemptCompleted,
    ListEntry,
    ListMode,
    ListUpdate,
    LoadReport,
    Outcome,
    PeerMessage,
    ReportKind,
    Request,
    ServerState,
    SessionReport,
    SessionStarted,
    TimerFired,
)
from fennelcove.placement import PlacementPolicy
from fennelcove.scenarios.script import Scenario, read
from fennelcove.settings.validation import to_policy_settings

from benchmarks.event_scheduler import EventScheduler

START_US = 1_000_000
POWER_LOSS_S, END_S, MEAN_WATCH_US = 16, 60, 12_000_000
PARTITION_S = (POWER_LOSS_S + 1, POWER_LOSS_S + 17)
ATTEMPT_TIMEOUT_US = 262_000  # across the partition: seven eighths of half the objective
HEARTBEAT_INTERVAL_US, LEASE_US = 200_000, 1_000_000
RESERVED_FRACTIONS = {"leases": 0.75, "steady": 1.0}  # by variant; the others have no leases
replace = msgspec.structs.replace


@dataclass
class SimulatedServer:
    """An emulated server and its entry in the endpoint list."""

    entry: ListEntry
    model: ServerModel

    def list_entry(self) -> ListEntry:
        state = ServerState.ACTIVE if self.model.up else ServerState.LEFT
        return dataclasses.replace(self.entry, state=state, started_us=self.model.started_us or 0)


@dataclass
class SimulatedClient:
    """A client that requests a session of a title."""

    id: int
    room_type: str
    title: int
    is_hasty: bool  # retries without obeying Retry-After
    tries: int = 0


class SimulatedFront:
    """One front: its policy, its membership, and the effects of the policy."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        self.simulation = simulation
        self.index = index
        self.policy: PlacementPolicy | None = None
        self.membership: Membership | None = None
        self.rungs: dict[str, int] = {}
        self.waiting_clients: dict[str, SimulatedClient] = {}
        zones = simulation.zones
        self.zone = zones[index % len(zones)]

    def start_attempt(self, id: str, server: str, timeout_us: int) -> None:
        policy = self.policy
        assert policy is not None
        attempt = len(policy.sessions[id].attempts) - 1
        zone = self.simulation.servers[server].entry.zone
        if self.simulation.is_partitioned() and zone != self.zone:
            self.simulation.after(
                ATTEMPT_TIMEOUT_US, partial(self.simulation.time_out_attempt, self, policy, id, attempt)
            )
        else:
            self.simulation.after(
                5_000, partial(self.simulation.complete_attempt, self, policy, id, attempt, server)
            )

    def set_rung(self, id: str, rung: int) -> None:
        self.rungs[id] = rung

    def reject(self, id: str, retry_after_us: int) -> None:
        self.simulation.on_rejected(self.waiting_clients.pop(id), retry_after_us)

    def fail(self, id: str) -> None:
        self.simulation.on_rejected(self.waiting_clients.pop(id), 0)

    def migrate(self, id: str) -> None:
        """Does nothing: sessions do not migrate in this simulation."""

    def probe(self, server: str) -> None:
        """Does nothing: servers are not probed in this simulation."""

    def send_peer_message(self, front: int, message: PeerMessage) -> None:
        """Does nothing: the policy's peer messages are not simulated."""

    def set_timer(self, name: int, delay_us: int) -> None:
        policy = self.policy
        self.simulation.after(delay_us, partial(self.fire_timer, policy, name))

    def fire_timer(self, policy: PlacementPolicy, name: int) -> None:
        if policy is self.policy:
            policy.handle(TimerFired(name), self.simulation.now_us)

    def watch_list(self) -> None:
        """Does nothing: the simulation publishes the list unasked."""

    def fetch_list(self) -> None:
        """Does nothing: the simulation publishes the list unasked."""


class Simulation(EventScheduler):
    """One simulation of the scenario."""

    def __init__(
        self,
        scenario: Scenario,
        front_count: int,
        variant: str,
        with_absent_fronts: bool,
        seed: int,
        with_partition: bool = False,
    ) -> None:
        super().__init__(START_US)
        self.zones = scenario.halls
        self.with_partition = with_partition
        self.is_partition_known = variant == "halves"
        self.warm_up_setups, self.latest_start_us = 0, 6e6 if with_partition else 8e6
        self.rng = Random(seed)
        self.scale = max(1, round(front_count / 12))
        self.front_count = front_count
        self.reserved_fraction = RESERVED_FRACTIONS.get(variant)
        self.with_absent_fronts = with_absent_fronts
        settings = scenario.front
        fleet, k = settings.fleet, self.scale
        titles = [
            replace(title, name=f"{title.name}-{i}", first_cell=title.first_cell + i * fleet.cells)
            for i in range(k)
            for title in settings.titles
        ]
        self.settings = replace(
            settings,
            fleet=replace(
                fleet, cells=k * fleet.cells, racks=k * fleet.racks, all_links_kb=k * fleet.all_links_kb
            ),
            titles=titles,
            instance=replace(settings.instance, fronts=front_count),
        )
        self.titles = {title.name: (i, title) for i, title in enumerate(titles)}
        self.rate_kb = [rung.kb for rung in settings.ladder]
        self.ramp_us = round(settings.rules.ramp_ms * 1000)
        self.start_capacity = settings.rules.start_capacity
        streams = {kind.name: kind.streams for kind in fleet.kinds}
        self.servers = {
            f"b{i}-{n}": SimulatedServer(
                ListEntry(
                    f"b{i}-{n}", spec.zone, spec.kind, spec.cell + i * fleet.cells, ServerState.ACTIVE, 1, 0
                ),
                ServerModel(
                    spec.link_kb,
                    streams[spec.kind],
                    RackModel(1e12),
                    self.ramp_us,
                    self.start_capacity,
                    scenario.rig.fall_multiple,
                    round(scenario.rig.tip_after_ms * 1000),
                ),
            )
            for i in range(k)
            for n, spec in enumerate(scenario.boxes)
        }
        self.crowds = scenario.crowds
        self.fronts = [SimulatedFront(self, i) for i in range(front_count)]
        self.setups_by_second = [0] * END_S
        self.requests = self.attempts = self.crashed_servers = 0
        self.client_ids = count()

    def is_partitioned(self) -> bool:
        return self.with_partition and PARTITION_S[0] <= (self.now_us - START_US) / 1e6 < PARTITION_S[1]

    def second(self) -> int:
        return min(END_S - 1, (self.now_us - START_US) // 1_000_000)

    # Fronts.

    def start_front(self, front: SimulatedFront) -> None:
        settings = to_policy_settings(
            replace(self.settings, instance=replace(self.settings.instance, index=front.index))
        )
        policy = front.policy = PlacementPolicy(settings, front.index + self.now_us, front, self.now_us)
        front.rungs.clear()
        front.waiting_clients.clear()
        if self.reserved_fraction is not None:
            membership_settings = MembershipSettings(
                self.front_count,
                front.index,
                HEARTBEAT_INTERVAL_US,
                LEASE_US,
                LEASE_US,
                self.reserved_fraction,
            )
            membership = front.membership = Membership(membership_settings, self.now_us, self.now_us)
            policy.owns_turn = lambda turn: membership.owns_turn(turn, self.now_us)
            self.after(
                self.rng.randrange(HEARTBEAT_INTERVAL_US), partial(self.send_heartbeats, front, membership)
            )
        if self.is_partition_known:
            zone_count, index_in_zone, owns_turn = (
                len(self.zones),
                front.index // len(self.zones),
                policy.owns_turn,
            )
            policy.owns_turn = lambda turn: (
                turn % (self.front_count // zone_count) == index_in_zone
                if self.is_partitioned()
                else owns_turn(turn)
            )
        self.publish_list(front)

    def send_heartbeats(self, front: SimulatedFront, membership: Membership) -> None:
        if front.membership is not membership:
            return
        self.after(HEARTBEAT_INTERVAL_US, partial(self.send_heartbeats, front, membership))
        for recipient, heartbeat in membership.next_heartbeats(self.now_us).items():
            is_blocked = self.is_partitioned() and self.fronts[recipient].zone != front.zone
            if self.rng.random() >= 0.05 and not is_blocked:
                self.after(
                    self.rng.randrange(1_000, 30_000),
                    partial(self.deliver_heartbeat, recipient, front.index, heartbeat),
                )

    def deliver_heartbeat(self, recipient: int, sender: int, heartbeat: Heartbeat) -> None:
        membership = self.fronts[recipient].membership
        if membership is not None:
            membership.on_heartbeat(sender, heartbeat, self.now_us)

    def publish_list(self, front: SimulatedFront) -> None:
        if front.policy is not None:
            entries = tuple(server.list_entry() for server in self.servers.values())
            front.policy.handle(ListUpdate(ListMode.FULL, entries), self.now_us)

    # Clients.

    def add_client(self, crowd_index: int) -> None:
        crowd = self.crowds[crowd_index]
        self.after(
            self.rng.expovariate(crowd.per_s * self.scale) * 1e6, partial(self.add_client, crowd_index)
        )
        title = f"{self.rng.choice(crowd.titles)}-{self.rng.randrange(self.scale)}"
        is_hasty = self.rng.random() < 0.75
        self.send_request(
            SimulatedClient(next(self.client_ids), crowd.room_type, self.titles[title][0], is_hasty)
        )

    def send_request(self, client: SimulatedClient) -> None:
        client.tries += 1
        self.requests += 1
        front = self.rng.choice(self.fronts)
        if front.policy is None:
            self.retry_later(client, 500_000)
            return
        title = self.settings.titles[client.title]
        id = f"{client.id}/{client.tries}"
        front.waiting_clients[id] = client
        request = Request(
            id,
            client.room_type,
            client.title,
            title.first_cell,
            title.cells,
            len(self.rate_kb) - 1,
            1_500_000,
        )
        front.policy.handle(request, self.now_us)

    def retry_later(self, client: SimulatedClient, delay_us: float) -> None:
        if client.tries < 11:
            self.after(delay_us, partial(self.send_request, client))

    def on_rejected(self, client: SimulatedClient, retry_after_us: int) -> None:
        own_delay_us = 300_000 + self.rng.random() * 400_000
        self.retry_later(client, own_delay_us if client.is_hasty else max(retry_after_us, 2_000_000))

    # Servers.

    def complete_attempt(
        self, front: SimulatedFront, policy: PlacementPolicy, id: str, attempt: int, address: str
    ) -> None:
        if front.policy is not policy or id not in policy.sessions:
            return
        self.attempts += 1
        server = self.servers[address].model
        result = SetUpResult.CRASHED
        if server.up:
            self.warm_up_setups += server.is_warming_up(self.now_us)
            rate_kb = policy.rate_kb(policy.sessions[id], front.rungs[id])
            result = server.set_up((id, attempt), rate_kb, self.now_us)
            if result is SetUpResult.CRASHED:
                server.stop()
                self.crashed_servers += 1
        if result is not SetUpResult.STARTED:
            outcome = Outcome.REJECTED if result is SetUpResult.REJECTED else Outcome.NO_CONNECTION
            policy.handle(AttemptCompleted(id, attempt, outcome, False, None), self.now_us)
            return
        front.waiting_clients.pop(id, None)
        self.setups_by_second[self.second()] += 1
        policy.handle(SessionStarted(id, attempt, 20_000), self.now_us)
        policy.handle(SessionReport(id, address, ReportKind.LINK, server.utilization()), self.now_us)
        self.after(
            self.rng.expovariate(1 / MEAN_WATCH_US),
            partial(self.end_session, front, policy, id, attempt, server),
        )

    def time_out_attempt(self, front: SimulatedFront, policy: PlacementPolicy, id: str, attempt: int) -> None:
        if front.policy is policy and id in policy.sessions:
            self.attempts += 1
            policy.handle(AttemptCompleted(id, attempt, Outcome.NO_ANSWER, False, None), self.now_us)

    def end_session(
        self, front: SimulatedFront, policy: PlacementPolicy, id: str, attempt: int, server: ServerModel
    ) -> None:
        if (
            server.playing.pop((id, attempt), None) is not None
            and front.policy is policy
            and id in policy.sessions
        ):
            report = LoadReport(server.utilization(), None)
            policy.handle(AttemptCompleted(id, attempt, Outcome.SERVED, True, report), self.now_us)

    # The power loss.

    def lose_power(self) -> None:
        for front in self.fronts:
            front.policy = front.membership = None
        absent = {i for i in range(self.front_count) if self.with_absent_fronts and i % 12 < 5}
        for front in self.fronts:
            if front.index not in absent:
                self.after(self.rng.uniform(1e6, self.latest_start_us), partial(self.start_front, front))
        for server in self.servers.values():
            server.model.stop()
            self.after(self.rng.uniform(1e6, self.latest_start_us), partial(self.start_server, server))

    def start_server(self, server: SimulatedServer) -> None:
        server.model.start(self.now_us)
        for front in self.fronts:
            self.after(self.rng.randrange(50_000, 500_000), partial(self.publish_server, front, server))

    def publish_server(self, front: SimulatedFront, server: SimulatedServer) -> None:
        if front.policy is not None:
            front.policy.handle(ListUpdate(ListMode.INCREMENTAL, (server.list_entry(),)), self.now_us)

    def run_scenario(self) -> None:
        for front in self.fronts:
            self.start_front(front)
        for crowd_index in range(len(self.crowds)):
            self.after(0, partial(self.add_client, crowd_index))
        self.after(POWER_LOSS_S * 1e6, self.lose_power)
        self.run(START_US + END_S * 1_000_000)

    def used_turn_share(self) -> float:
        """The share of the turns at servers in warm-up that were used for a set-up."""
        turns = sum(server.model.streams * (1 + self.start_capacity) / 2 for server in self.servers.values())
        return self.warm_up_setups / turns

    def warm_up_bound_s(self, mean: float) -> float:
        """The earliest time at which the servers' warm-up allows 90% of the mean rate of set-ups before."""
        power_loss_us = START_US + POWER_LOSS_S * 1_000_000
        for step_us in range(0, 40_000_000, 100_000):
            rate = 0.0
            for server in self.servers.values():
                progress = (power_loss_us + step_us - (server.model.started_us or 0)) / self.ramp_us
                if server.model.started_us and progress >= 0:
                    capacity = self.start_capacity + (1 - self.start_capacity) * progress
                    rate += (
                        server.model.streams * 1e6 / self.ramp_us * capacity if progress < 1 else float("inf")
                    )
            if rate >= 0.9 * mean:
                return step_us / 1e6
        return float("inf")


def main() -> None:
    """Print a row for each size and variant."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12,50,200")
    parser.add_argument("--variants", default="turns,leases")
    parser.add_argument("--few", action="store_true")
    parser.add_argument("--cut", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    scenario = read("power-loss")
    for front_count in map(int, options.fronts.split(",")):
        for variant in options.variants.split(","):
            simulation = Simulation(scenario, front_count, variant, options.few, options.seed, options.cut)
            simulation.run_scenario()
            before = simulation.setups_by_second[POWER_LOSS_S - 6 : POWER_LOSS_S]
            mean = sum(before) / 6
            recovery_s = next(
                (
                    second - POWER_LOSS_S
                    for second in range(POWER_LOSS_S + 1, END_S - 3)
                    if sum(simulation.setups_by_second[second : second + 3]) / 3 >= 0.9 * mean
                ),
                None,
            )
            share = sum(simulation.setups_by_second[POWER_LOSS_S + 1 : POWER_LOSS_S + 31]) / (30 * mean)
            print(
                f"{front_count:4} fronts, {len(simulation.servers):4} servers, "
                f"{variant:7}{', few' if options.few else ''}{', cut' if options.cut else ''}: "
                f"{mean:.0f} set-ups per second before, 90% restored after {recovery_s} s (warm-up alone "
                f"{simulation.warm_up_bound_s(mean):.1f}), {share:.2f} in the first 30 s, "
                f"{simulation.used_turn_share():.2f} of the turns in warm-up used, "
                f"{simulation.crashed_servers} crashed servers, "
                f"{simulation.attempts / simulation.requests:.2f} attempts per request",
                flush=True,
            )


if __name__ == "__main__":
    main()
