"""A model of a small fleet that coordinates drains and rollouts, with the invariants that must hold.

The coordinators are those of the package `rollouts`; processes, servers, stores, clocks and the network are
simulated. The state search and the random walks are in `rollout_model_check`; `tests/test_rollouts.py` runs
them.
"""

from __future__ import annotations

import copy
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, is_dataclass
from enum import Enum
from random import Random

from fennelcove.rollouts.coordinator import (
    Action,
    ActionKind,
    Command,
    CommandKind,
    FrontStatus,
    PersistedState,
    RolloutAgreement,
    RolloutSettings,
)
from fennelcove.rollouts.disruption_budget import DisruptionLimit, DisruptionMap, FleetLimits, Location
from fennelcove.rollouts.leader_election import Role
from fennelcove.rollouts.messages import (
    ACTIVE_PHASES,
    PlaceKind,
    Plan,
    RolloutMessage,
    RolloutPhase,
    RolloutRecord,
    ServingState,
)

HEARTBEAT_US = 250_000
PERMIT_WINDOW_US = 1_000_000
DRAIN_VISIBLE_US = 2_000_000
FRONT_TIMEOUT_US = 1_000_000
LIMITS = FleetLimits(
    DisruptionLimit(total=2, per_zone=2, capacity_margin=0.0),
    DisruptionLimit(total=2, per_zone=2, per_title=1, capacity_margin=0.0),
)
PLAN = Plan(wanted=2, before=1, canary=1, wave=2, soak_ms=1_000, out_ms=8_000)
SERVERS = {cell: Location(cell % 2, titles=frozenset({cell // 2, 9})) for cell in range(4)}


@dataclass
class SimulatedServer:
    """The true state of a server. Each front observes a drain with a delay of its own."""

    drain_began_us: int | None = None
    serving_from_us: int = 0
    drained_by: int = -1  # index of the front whose permit drained it; -1 for none

    def is_observed_serving(self, at_us: int, observation_delay_us: int) -> bool:
        """Return whether a front with this observation delay sees the server as serving."""
        return (
            self.drain_began_us is None
            or at_us < self.drain_began_us + observation_delay_us
            or at_us >= self.serving_from_us
        )


@dataclass
class SimulatedFront:
    """The true state of a front, apart from what its coordinator knows."""

    index: int
    coordinator: RolloutAgreement | None = None
    version: int = 1
    next_version: int = 1
    serving_state: ServingState = ServingState.SERVING
    paused: bool = False
    is_out_by_permit: bool = False  # drained by a permit and not serving again yet
    next_change_us: int = 0  # when its current serving state ends
    incarnation: int = 0
    has_store: bool = True
    persisted: PersistedState | None = None
    offset_us: int = 0
    clock_rate: float = 1.0
    is_written_off: bool = False
    pending: list[Action] = field(default_factory=list)  # actions that it has not carried out yet

    def local_time_us(self, now_us: int) -> int:
        """Return the time of this front's own clock."""
        return self.offset_us + round(now_us * self.clock_rate)


@dataclass
class FleetModel:
    """Fronts, the messages in flight between them, and the violations of invariants."""

    size: int
    seed: int = 0
    now_us: int = 0
    limits: FleetLimits = LIMITS
    zones: int = 1
    fronts: list[SimulatedFront] = field(default_factory=list)
    servers: dict[int, SimulatedServer] = field(default_factory=dict)
    # Arrival time, sender, receiver.
    in_flight: list[tuple[int, int, int, RolloutMessage]] = field(default_factory=list)
    # All records that were ever accepted.
    records_by_revision: dict[tuple[int, int], RolloutRecord] = field(default_factory=dict)
    # Accepted by a majority, with the time.
    agreed_records: list[tuple[int, RolloutRecord]] = field(default_factory=list)
    # Fence and kind of each command that was given.
    commands: set[tuple[int, CommandKind]] = field(default_factory=set)
    leaders_by_term: dict[int, tuple[int, int]] = field(default_factory=dict)  # front and incarnation
    begun_permits: set[tuple[int, int, int, int]] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    max_disrupted: int = 0
    drain_count: int = 0
    active_record_count: int = 0
    delays_actions: bool = False  # whether fronts carry out actions only when a random walk lets them
    agreed_revisions: set[tuple[int, int]] = field(default_factory=set)
    restarts_hang: bool = False  # drained fronts do not start again
    rejects_new_version: bool = False  # fronts restart with their old version

    def start(self, drift: bool = False) -> None:
        """Start all fronts with an empty persisted state; `drift` randomizes their clocks and stores."""
        rng = Random(self.seed)
        for index in range(self.size):
            front = SimulatedFront(index)
            if drift:
                front.offset_us = rng.randrange(3_600_000_000)
                front.clock_rate = 1 + rng.uniform(-0.02, 0.02)
                front.has_store = rng.random() < 0.7
            front.persisted = PersistedState()
            self.fronts.append(front)
            self.start_front(front)
        self.servers = {cell: SimulatedServer() for cell in SERVERS}

    def start_front(self, front: SimulatedFront) -> None:
        """Start the front's process with a new incarnation."""
        front.incarnation += 1
        settings = RolloutSettings(
            self.size,
            front.index,
            HEARTBEAT_US,
            PERMIT_WINDOW_US,
            FRONT_TIMEOUT_US,
            8 * HEARTBEAT_US,
            DRAIN_VISIBLE_US,
        )
        locations = tuple(Location(index % self.zones) for index in range(self.size))
        now_us = front.local_time_us(self.now_us)
        front.coordinator = RolloutAgreement(
            settings, self.limits, locations, front.incarnation, now_us, front.persisted
        )
        front.coordinator.update_servers(SERVERS, now_us)
        front.paused = False

    def crash(self, front: SimulatedFront) -> None:
        """End the front's process; without a store its persisted state is lost too."""
        front.coordinator = None
        front.pending.clear()
        front.serving_state = ServingState.STARTING
        if not front.has_store:
            front.persisted = None

    # One heartbeat interval.

    def call(
        self,
        front: SimulatedFront,
        function: Callable[[RolloutAgreement, int], list[tuple[int, RolloutMessage]]],
    ) -> list[tuple[int, RolloutMessage]]:
        """Call a front's coordinator, persist its state, carry out its actions and check its record."""
        coordinator, now_us = front.coordinator, front.local_time_us(self.now_us)
        assert coordinator is not None
        outbox = function(coordinator, now_us)
        state = coordinator.state_to_persist()
        if state is not None:
            front.persisted = state
        front.pending += coordinator.take_actions()
        if not self.delays_actions:
            self.carry_out_actions(front)
        self.check_record(front)
        return outbox

    def carry_out_actions(self, front: SimulatedFront) -> None:
        """Carry out the pending actions of a front."""
        coordinator, now_us = front.coordinator, front.local_time_us(self.now_us)
        pending, front.pending = front.pending, []
        if coordinator is None:
            return
        for action in pending:
            if action.action_kind is ActionKind.DRAIN_FRONT and coordinator.begin(
                action.kind, action.place, now_us
            ):
                self.drain_front(front, action.version)
            elif action.action_kind is ActionKind.DRAIN_SERVER and coordinator.begin(
                action.kind, action.place, now_us
            ):
                self.drain_server(front, action.place)

    def drain_front(self, front: SimulatedFront, version: int) -> None:
        """Begin the drain of a front."""
        front.next_version = version or front.version
        if front.serving_state is not ServingState.SERVING:
            front.next_change_us = min(front.next_change_us, self.now_us + HEARTBEAT_US)
            return
        assert front.coordinator is not None
        request = front.coordinator.requesters[PlaceKind.FRONT].requests[front.index]
        key = (0, front.index, front.incarnation, request.number)
        if key in self.begun_permits:
            self.violations.append(f"permit {key} begun twice")
        self.begun_permits.add(key)
        self.drain_count += 1
        self.check_halt(request.revision)
        front.serving_state, front.is_out_by_permit = ServingState.DRAINING, True
        front.next_change_us = self.now_us + 2 * HEARTBEAT_US
        self.check_limits()

    def drain_server(self, front: SimulatedFront, cell: int) -> None:
        """Begin the drain of a server."""
        server = self.servers[cell]
        if server.drain_began_us is None or self.now_us >= server.serving_from_us:
            server.drain_began_us, server.serving_from_us = (
                self.now_us,
                self.now_us + DRAIN_VISIBLE_US + 6 * HEARTBEAT_US,
            )
            server.drained_by = front.index
            self.drain_count += 1
            self.check_limits()

    def check_limits(self) -> None:
        """Check that the permitted drains are within the limits: in total, per zone and per title."""
        disrupted = [front for front in self.fronts if front.is_out_by_permit and not front.is_written_off]
        zones = Counter(front.index % self.zones for front in disrupted)
        self.max_disrupted = max(self.max_disrupted, len(disrupted))
        if (
            len(disrupted) > self.limits.fronts.total
            or max(zones.values(), default=0) > self.limits.fronts.per_zone
        ):
            self.violations.append(f"limit exceeded: {len(disrupted)} fronts drained by permits")
        cells = [
            c
            for c, s in self.servers.items()
            if s.drain_began_us is not None and self.now_us < s.serving_from_us
        ]
        titles = Counter(title for cell in cells for title in SERVERS[cell].titles if title != 9)
        if len(cells) > self.limits.servers.total or max(titles.values(), default=0) > 1:
            self.violations.append(f"limit exceeded: {len(cells)} servers drained by permits")

    def check_halt(self, revision: tuple[int, int]) -> None:
        """Check that no permit requested before a halt is begun more than a permit window after it."""
        for at_us, record in self.agreed_records:
            late = self.now_us > at_us + 1.06 * PERMIT_WINDOW_US + HEARTBEAT_US
            if (
                revision != (0, 0)
                and revision < record.revision
                and record.phase is RolloutPhase.HALTED
                and late
            ):
                self.violations.append(
                    f"drain ordered by {revision} begun after the halt in {record.revision}"
                )

    def check_record(self, front: SimulatedFront) -> None:
        """Check that records have unique revisions and terms one leader each; check new agreed records."""
        coordinator = front.coordinator
        assert coordinator is not None
        record = coordinator.acceptor.record
        known = self.records_by_revision.setdefault(record.revision, record)
        if known != record and record.reason.name != "FORGOTTEN":
            self.violations.append(f"two records with revision {record.revision}")
        if coordinator.election.role is Role.LEADER:
            term = coordinator.election.term
            if self.leaders_by_term.setdefault(term, (front.index, front.incarnation)) != (
                front.index,
                front.incarnation,
            ):
                self.violations.append(f"two leaders in term {term}")
            proposal = coordinator.election.proposal
            if proposal.revision not in self.agreed_revisions:
                self.agreed_revisions.add(proposal.revision)
                self.on_record_agreed(proposal)

    def on_record_agreed(self, record: RolloutRecord) -> None:
        """Check a record that a majority accepted: only a command may reactivate a halted plan."""
        before = max((r for _, r in self.agreed_records), key=lambda r: r.revision, default=RolloutRecord())
        self.agreed_records.append((self.now_us, record))
        moving = record.phase in ACTIVE_PHASES
        if record.revision < before.revision and moving:
            self.violations.append(f"{record.revision} agreed after {before.revision}")
        if before.phase is RolloutPhase.HALTED and moving and record.revision > before.revision:
            moves = {CommandKind.RESUME, CommandKind.ROLL_BACK, CommandKind.START, CommandKind.CHANGE}
            fences = {fence for fence, command_kind in self.commands if command_kind in moves}
            if record.fence <= before.fence or record.fence - 1 not in fences:
                self.violations.append(
                    f"plan halted in {before.revision} is active in {record.revision} without a command"
                )
        self.active_record_count += moving

    def is_revision_known(self, revision: tuple[int, int]) -> bool:
        """Return whether any front or store has a record that is at least as new."""
        known = [front.persisted.record.revision for front in self.fronts if front.persisted is not None]
        known += [
            front.coordinator.record().revision for front in self.fronts if front.coordinator is not None
        ]
        return max(known, default=(0, 0)) >= revision

    def advance_process(self, front: SimulatedFront) -> None:
        """Advance the front's process to its next serving state when that is due."""
        if front.next_change_us > self.now_us:
            return
        if front.coordinator is not None and front.serving_state is ServingState.DRAINING:
            self.crash(front)
            front.serving_state, front.next_change_us = ServingState.STARTING, self.now_us + 4 * HEARTBEAT_US
        elif (
            front.coordinator is None
            and front.serving_state is ServingState.STARTING
            and not (self.restarts_hang and front.is_out_by_permit)
        ):
            front.version = front.version if self.rejects_new_version else front.next_version
            front.next_version = front.version
            self.start_front(front)
            front.next_change_us = self.now_us + 2 * HEARTBEAT_US
        elif front.coordinator is not None and front.serving_state is ServingState.STARTING:
            front.serving_state, front.is_out_by_permit, front.is_written_off = (
                ServingState.SERVING,
                False,
                False,
            )

    def step(
        self,
        jitter: float = 0.0,
        partition: frozenset[int] = frozenset(),
        delays: Callable[[int, int], list[int]] = lambda sender, receiver: [0],
    ) -> None:
        """Advance all fronts by one heartbeat interval and deliver the messages that are due.

        `delays` returns the delay of each copy of a message from a sender to a receiver.
        """
        self.now_us += HEARTBEAT_US
        if self.agreed_records and not self.is_revision_known(
            max(record.revision for _, record in self.agreed_records)
        ):
            # All fronts that knew the record lost their state, so earlier agreements bind no one any more.
            self.agreed_records.clear()
            self.leaders_by_term.clear()
            self.records_by_revision.clear()
        pending: list[tuple[int, list[tuple[int, RolloutMessage]]]] = []
        for front in self.fronts:
            self.advance_process(front)
            if front.coordinator is not None and not front.paused:
                self.observe_servers(front)
                status = FrontStatus(
                    front.serving_state, front.version, serving_for_s=self.now_us // 1_000_000
                )
                pending.append((front.index, self.call(front, lambda a, t, m=status: a.tick(m, t, jitter))))
        due = [item for item in self.in_flight if item[0] <= self.now_us]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now_us]
        for _, sender, receiver, message in due:
            pending.append((receiver, self.deliver(sender, receiver, message)))
        for _ in range(12):  # replies are delivered in the same interval, up to a bound
            following = []
            for sender, outbox in pending:
                for receiver, message in outbox:
                    if (sender in partition) != (receiver in partition):
                        continue
                    for delay_us in delays(sender, receiver):
                        if delay_us:
                            self.in_flight.append((self.now_us + delay_us, sender, receiver, message))
                        else:
                            following.append((receiver, self.deliver(sender, receiver, message)))
            pending = following
        self.check_limits()

    def deliver(
        self, sender: int, receiver: int, message: RolloutMessage
    ) -> list[tuple[int, RolloutMessage]]:
        """Deliver a message if the receiver is running."""
        front = self.fronts[receiver]
        if front.coordinator is None or front.paused:
            return []
        return self.call(front, lambda coordinator, now_us: coordinator.on_message(sender, message, now_us))

    def observe_servers(self, front: SimulatedFront) -> None:
        """Observe all servers; each front sees a drain after its own delay, within `DRAIN_VISIBLE_US`."""
        assert front.coordinator is not None
        observation_delay_us = (front.index + 1) * DRAIN_VISIBLE_US // (self.size + 1)
        now_us = front.local_time_us(self.now_us)
        for cell, server in self.servers.items():
            front.coordinator.observe_server(
                cell, server.is_observed_serving(self.now_us, observation_delay_us), now_us, now_us
            )

    def command(
        self,
        front: SimulatedFront,
        command_kind: CommandKind,
        plan: Plan | None = None,
        fence: int | None = None,
    ) -> None:
        """Issue an operator's command to a front, with the fence that it knows or a given one."""
        if front.coordinator is None or front.paused:
            return
        known_fence = front.coordinator.record().fence if fence is None else fence
        self.commands.add((known_fence, command_kind))
        operator_command = Command(command_kind, known_fence, plan)
        outbox = self.call(
            front, lambda coordinator, now_us: coordinator.command(operator_command, now_us)[2]
        )
        self.in_flight += [(self.now_us, front.index, receiver, message) for receiver, message in outbox]

    def request_drain(self, front: SimulatedFront, cell: int | None = None) -> None:
        """Request the drain of the front itself or of a server, as an operator."""
        if front.coordinator is None or front.paused:
            return
        if cell is None:
            self.call(
                front, lambda coordinator, now_us: coordinator.request_front_drain(front.version, now_us)
            )
        else:
            self.call(front, lambda coordinator, now_us: coordinator.request_server_drain(cell, now_us))

    # Breadth-first search.

    def successors(self) -> Iterator[FleetModel]:
        """Yield every possible successor state."""
        partitions: tuple[frozenset[int], ...] = (frozenset(), frozenset({0}), frozenset({1}), frozenset({2}))
        for event in ("", "crash", "pause", "drain 0", "drain 1", "drain 2"):
            for partition in partitions:
                for delay_us in (0, 2 * HEARTBEAT_US):
                    successor = copy.deepcopy(self)
                    if not successor.inject_event(event):
                        continue
                    successor.step(0.0, partition, lambda sender, receiver, delay_us=delay_us: [delay_us])
                    yield successor

    def inject_event(self, event: str) -> bool:
        """Apply an event before a step: front 0 crashes, front 1 pauses or resumes, or a drain is requested.

        Returns False if the event is not possible.
        """
        zero, one = self.fronts[0], self.fronts[1]
        if event == "crash":
            if zero.coordinator is None:
                return False
            self.crash(zero)
            zero.next_change_us = self.now_us + 2 * HEARTBEAT_US
        elif event == "pause":
            if one.coordinator is None:
                return False
            one.paused = not one.paused
        elif event:
            front = self.fronts[int(event[-1])]
            if (
                front.coordinator is None
                or front.paused
                or front.coordinator.requesters[PlaceKind.FRONT].requests
            ):
                return False
            self.request_drain(front)
        return True

    def state_key(self) -> object:
        """Return a hashable key of the state, with times relative to the present."""
        return tuple(
            normalized(front, front.local_time_us(self.now_us)) for front in self.fronts
        ), normalized(self.in_flight, self.now_us)


def normalized(value: object, now_us: int) -> object:
    """Convert a value so that states which differ only in absolute time compare equal."""
    if isinstance(value, Enum | str | bool | type(None)):
        return value
    if isinstance(value, int):
        # Times are far larger than all other numbers of the model, so the size shows which value is a time.
        return ("t", max(-8 * HEARTBEAT_US, value - now_us)) if value > 100_000 else value
    if isinstance(value, float):
        return value
    if isinstance(value, RolloutAgreement):
        excluded = {"handlers", "persisted", "settings", "heartbeats"}
        return tuple((k, normalized(v, now_us)) for k, v in sorted(vars(value).items()) if k not in excluded)
    if isinstance(value, DisruptionMap):
        return None
    if isinstance(value, dict):
        return tuple(sorted(((repr(k), normalized(v, now_us)) for k, v in value.items()), key=repr))
    if isinstance(value, set | frozenset):
        return tuple(sorted(map(repr, value)))
    if isinstance(value, list | tuple):
        return tuple(normalized(one, now_us) for one in value)
    if is_dataclass(value):
        return tuple(normalized(getattr(value, one.name), now_us) for one in fields(value))
    return repr(value)
