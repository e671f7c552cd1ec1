"""A few fronts that agree on who is out, what is on its way between them, and what must not be.

The objects are those of the package `releases`; processes, boxes, folders and clocks are played here. Who
looks for a world in which something is found is `release_worlds` and `tests/test_releases.py`.
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

BEAT_US = 250_000
WINDOW_US = 1_000_000
SHOW_US = 2_000_000
SILENT_US = 1_000_000
LIMITS = FleetLimits(
    DisruptionLimit(total=2, per_zone=2, capacity_margin=0.0),
    DisruptionLimit(total=2, per_zone=2, per_title=1, capacity_margin=0.0),
)
PLAN = Plan(wanted=2, before=1, canary=1, wave=2, soak_ms=1_000, out_ms=8_000)
BOXES = {cell: Location(cell % 2, titles=frozenset({cell // 2, 9})) for cell in range(4)}


@dataclass
class Box:
    """A box as it is: from when it is told to drain it is seen to, by each front after a while of its own."""

    told_us: int | None = None
    back_us: int = 0
    taken_by: int = -1  # whose permit it is out by; -1: nobody's

    def serves(self, at_us: int, after_us: int) -> bool:
        """Whether it is seen to serve by one that hears of a drain so late."""
        return self.told_us is None or at_us < self.told_us + after_us or at_us >= self.back_us


@dataclass
class Front:
    """A front as it is, whatever it believes."""

    index: int
    agreed: RolloutAgreement | None = None
    version: int = 1
    next_version: int = 1
    stands: ServingState = ServingState.SERVING
    paused: bool = False
    by_permit: bool = False  # it is out by a permit, until it serves again
    ends_us: int = 0  # when what it is doing is over
    life: int = 0
    folder: bool = True
    memory: PersistedState | None = None
    offset_us: int = 0
    pace: float = 1.0
    off: bool = False
    todo: list[Action] = field(default_factory=list)  # what it was told to do and has not got to

    def clock(self, now_us: int) -> int:
        """Its own time."""
        return self.offset_us + round(now_us * self.pace)


@dataclass
class World:
    """Fronts, what is on its way between them, and what must not be."""

    size: int
    seed: int = 0
    now_us: int = 0
    limits: FleetLimits = LIMITS
    halls: int = 1
    fronts: list[Front] = field(default_factory=list)
    boxes: dict[int, Box] = field(default_factory=dict)
    air: list[tuple[int, int, int, RolloutMessage]] = field(default_factory=list)  # when, from, to
    records: dict[tuple[int, int], RolloutRecord] = field(default_factory=dict)  # all that were ever told
    agreed: list[tuple[int, RolloutRecord]] = field(default_factory=list)  # those a majority took, and when
    wished: set[tuple[int, CommandKind]] = field(default_factory=set)  # fences of commands that were given
    led: dict[int, tuple[int, int]] = field(default_factory=dict)  # front and life of each term
    begun: set[tuple[int, int, int, int]] = field(default_factory=set)
    found: list[str] = field(default_factory=list)
    most_out: int = 0
    granted: int = 0
    moved: int = 0
    slow: bool = False  # fronts get to what they are to do when a walk lets them
    agreed_stamps: set[tuple[int, int]] = field(default_factory=set)
    hang: bool = False  # restarts don't come back
    refuse: bool = False  # a new version is refused, and the old one comes back

    def start(self, drift: bool = False) -> None:
        """All begin at once, their folders empty and whole."""
        chance = Random(self.seed)
        for index in range(self.size):
            front = Front(index)
            if drift:
                front.offset_us = chance.randrange(3_600_000_000)
                front.pace = 1 + chance.uniform(-0.02, 0.02)
                front.folder = chance.random() < 0.7
            front.memory = PersistedState()
            self.fronts.append(front)
            self.born(front)
        self.boxes = {cell: Box() for cell in BOXES}

    def born(self, front: Front) -> None:
        """Its process begins."""
        front.life += 1
        terms = RolloutSettings(self.size, front.index, BEAT_US, WINDOW_US, SILENT_US, 8 * BEAT_US, SHOW_US)
        places = tuple(Location(index % self.halls) for index in range(self.size))
        now_us = front.clock(self.now_us)
        front.agreed = RolloutAgreement(terms, self.limits, places, front.life, now_us, front.memory)
        front.agreed.update_servers(BOXES, now_us)
        front.paused = False

    def crash(self, front: Front) -> None:
        """Its process ends; without a folder so does what it knew."""
        front.agreed = None
        front.todo.clear()
        front.stands = ServingState.STARTING
        if not front.folder:
            front.memory = None

    # One beat.

    def call(
        self, front: Front, what: Callable[[RolloutAgreement, int], list[tuple[int, RolloutMessage]]]
    ) -> list[tuple[int, RolloutMessage]]:
        """A call of a front's, and all that follows of it."""
        agreed, now_us = front.agreed, front.clock(self.now_us)
        assert agreed is not None
        post = what(agreed, now_us)
        kept = agreed.state_to_persist()
        if kept is not None:
            front.memory = kept
        front.todo += agreed.take_actions()
        if not self.slow:
            self.do(front)
        self.look(front)
        return post

    def do(self, front: Front) -> None:
        """It gets to what it was told to do."""
        agreed, now_us = front.agreed, front.clock(self.now_us)
        todo, front.todo = front.todo, []
        if agreed is None:
            return
        for act in todo:
            if act.action_kind is ActionKind.DRAIN_FRONT and agreed.begin(act.kind, act.place, now_us):
                self.leave(front, act.version)
            elif act.action_kind is ActionKind.DRAIN_SERVER and agreed.begin(act.kind, act.place, now_us):
                self.take_box(front, act.place)

    def leave(self, front: Front, version: int) -> None:
        """It goes out."""
        front.next_version = version or front.version
        if front.stands is not ServingState.SERVING:
            front.ends_us = min(front.ends_us, self.now_us + BEAT_US)
            return
        assert front.agreed is not None
        asked = front.agreed.requesters[PlaceKind.FRONT].requests[front.index]
        key = (0, front.index, front.life, asked.number)
        if key in self.begun:
            self.found.append(f"permit {key} twice")
        self.begun.add(key)
        self.granted += 1
        self.check_halt(asked.revision)
        front.stands, front.by_permit = ServingState.DRAINING, True
        front.ends_us = self.now_us + 2 * BEAT_US
        self.count()

    def take_box(self, front: Front, cell: int) -> None:
        """The list is told to drain it."""
        box = self.boxes[cell]
        if box.told_us is None or self.now_us >= box.back_us:
            box.told_us, box.back_us = self.now_us, self.now_us + SHOW_US + 6 * BEAT_US
            box.taken_by = front.index
            self.granted += 1
            self.count()

    def count(self) -> None:
        """Never more out by permits than allowed, in all and in a hall and among holders."""
        out = [front for front in self.fronts if front.by_permit and not front.off]
        halls = Counter(front.index % self.halls for front in out)
        self.most_out = max(self.most_out, len(out))
        if (
            len(out) > self.limits.fronts.total
            or max(halls.values(), default=0) > self.limits.fronts.per_zone
        ):
            self.found.append(f"{len(out)} fronts out by permits")
        cells = [c for c, b in self.boxes.items() if b.told_us is not None and self.now_us < b.back_us]
        titles = Counter(title for cell in cells for title in BOXES[cell].titles if title != 9)
        if len(cells) > self.limits.servers.total or max(titles.values(), default=0) > 1:
            self.found.append(f"{len(cells)} boxes out by permits")

    def check_halt(self, stamp: tuple[int, int]) -> None:
        """What was asked under a state before a halt is counted no more a window after that."""
        for at_us, record in self.agreed:
            late = self.now_us > at_us + 1.06 * WINDOW_US + BEAT_US
            if stamp != (0, 0) and stamp < record.revision and record.phase is RolloutPhase.HALTED and late:
                self.found.append(f"{stamp} begun after {record.revision} was halted")

    def look(self, front: Front) -> None:
        """Records: none twice under one stamp, none moved but by a command."""
        agreed = front.agreed
        assert agreed is not None
        record = agreed.acceptor.record
        known = self.records.setdefault(record.revision, record)
        if known != record and record.reason.name != "FORGOTTEN":
            self.found.append(f"two records of {record.revision}")
        if agreed.election.role is Role.LEADER:
            term = agreed.election.term
            if self.led.setdefault(term, (front.index, front.life)) != (front.index, front.life):
                self.found.append(f"term {term} led twice")
            written = agreed.election.proposal
            if written.revision not in self.agreed_stamps:
                self.agreed_stamps.add(written.revision)
                self.agree(written)

    def agree(self, record: RolloutRecord) -> None:
        """A majority has taken it."""
        before = max((r for _, r in self.agreed), key=lambda r: r.revision, default=RolloutRecord())
        self.agreed.append((self.now_us, record))
        moving = record.phase in ACTIVE_PHASES
        if record.revision < before.revision and moving:
            self.found.append(f"{record.revision} agreed after {before.revision}")
        if before.phase is RolloutPhase.HALTED and moving and record.revision > before.revision:
            moves = {CommandKind.RESUME, CommandKind.ROLL_BACK, CommandKind.START, CommandKind.CHANGE}
            fences = {fence for fence, wish in self.wished if wish in moves}
            if record.fence <= before.fence or record.fence - 1 not in fences:
                self.found.append(f"{before.revision} was halted and moved as {record.revision}")
        self.moved += moving

    def remembered(self, stamp: tuple[int, int]) -> bool:
        """Whether anybody, or a folder, knows of a record as new."""
        known = [front.memory.record.revision for front in self.fronts if front.memory is not None]
        known += [front.agreed.record().revision for front in self.fronts if front.agreed is not None]
        return max(known, default=(0, 0)) >= stamp

    def act(self, front: Front) -> None:
        """What its process does by itself."""
        if front.ends_us > self.now_us:
            return
        if front.agreed is not None and front.stands is ServingState.DRAINING:
            self.crash(front)
            front.stands, front.ends_us = ServingState.STARTING, self.now_us + 4 * BEAT_US
        elif (
            front.agreed is None
            and front.stands is ServingState.STARTING
            and not (self.hang and front.by_permit)
        ):
            front.version = front.version if self.refuse else front.next_version
            front.next_version = front.version
            self.born(front)
            front.ends_us = self.now_us + 2 * BEAT_US
        elif front.agreed is not None and front.stands is ServingState.STARTING:
            front.stands, front.by_permit, front.off = ServingState.SERVING, False, False

    def beat(
        self,
        draw: float = 0.0,
        apart: frozenset[int] = frozenset(),
        delays: Callable[[int, int], list[int]] = lambda sender, taker: [0],
    ) -> None:
        """One beat of all that run, and all that comes of it at once. `delays`: of each copy of a message."""
        self.now_us += BEAT_US
        if self.agreed and not self.remembered(max(record.revision for _, record in self.agreed)):
            # All that knew have lost their folders: there is nothing left to hold on to.
            self.agreed.clear()
            self.led.clear()
            self.records.clear()
        todo: list[tuple[int, list[tuple[int, RolloutMessage]]]] = []
        for front in self.fronts:
            self.act(front)
            if front.agreed is not None and not front.paused:
                self.sights(front)
                mine = FrontStatus(front.stands, front.version, serving_for_s=self.now_us // 1_000_000)
                todo.append((front.index, self.call(front, lambda a, t, m=mine: a.tick(m, t, draw))))
        due = [item for item in self.air if item[0] <= self.now_us]
        self.air = [item for item in self.air if item[0] > self.now_us]
        for _, sender, to, said in due:
            todo.append((to, self.hear(sender, to, said)))
        for _ in range(12):  # what is answered at once is heard in the same beat, to a bound
            following = []
            for sender, post in todo:
                for to, said in post:
                    if (sender in apart) != (to in apart):
                        continue
                    for delay_us in delays(sender, to):
                        if delay_us:
                            self.air.append((self.now_us + delay_us, sender, to, said))
                        else:
                            following.append((to, self.hear(sender, to, said)))
            todo = following
        self.count()

    def hear(self, sender: int, to: int, said: RolloutMessage) -> list[tuple[int, RolloutMessage]]:
        """A message comes, where somebody is there."""
        front = self.fronts[to]
        if front.agreed is None or front.paused:
            return []
        return self.call(front, lambda agreed, now_us: agreed.on_message(sender, said, now_us))

    def sights(self, front: Front) -> None:
        """It looks at all boxes; a drain is seen after a while that differs by front, within `SHOW_US`."""
        assert front.agreed is not None
        after_us = (front.index + 1) * SHOW_US // (self.size + 1)
        now_us = front.clock(self.now_us)
        for cell, box in self.boxes.items():
            front.agreed.observe_server(cell, box.serves(self.now_us, after_us), now_us, now_us)

    def command(
        self, front: Front, wish: CommandKind, plan: Plan | None = None, fence: int | None = None
    ) -> None:
        """An operator's word, by the fence that this front knows, or an old one."""
        if front.agreed is None or front.paused:
            return
        seen = front.agreed.record().fence if fence is None else fence
        self.wished.add((seen, wish))
        told = Command(wish, seen, plan)
        post = self.call(front, lambda agreed, now_us: agreed.command(told, now_us)[2])
        self.air += [(self.now_us, front.index, to, said) for to, said in post]

    def want(self, front: Front, cell: int | None = None) -> None:
        """An operator wants a front or a box out."""
        if front.agreed is None or front.paused:
            return
        if cell is None:
            self.call(front, lambda agreed, now_us: agreed.request_front_drain(front.version, now_us))
        else:
            self.call(front, lambda agreed, now_us: agreed.request_server_drain(cell, now_us))

    # Breadth first.

    def next(self) -> Iterator[World]:
        """Every world that may come next."""
        cuts: tuple[frozenset[int], ...] = (frozenset(), frozenset({0}), frozenset({1}), frozenset({2}))
        for before in ("", "dies", "stands", "want 0", "want 1", "want 2"):
            for apart in cuts:
                for late_us in (0, 2 * BEAT_US):
                    after = copy.deepcopy(self)
                    if not after.prepare(before):
                        continue
                    after.beat(0.0, apart, lambda sender, taker, us=late_us: [us])
                    yield after

    def prepare(self, what: str) -> bool:
        """Something happens before a beat; whether it can."""
        zero, one = self.fronts[0], self.fronts[1]
        if what == "dies":
            if zero.agreed is None:
                return False
            self.crash(zero)
            zero.ends_us = self.now_us + 2 * BEAT_US
        elif what == "stands":
            if one.agreed is None:
                return False
            one.paused = not one.paused
        elif what:
            front = self.fronts[int(what[-1])]
            if front.agreed is None or front.paused or front.agreed.requesters[PlaceKind.FRONT].requests:
                return False
            self.want(front)
        return True

    def key(self) -> object:
        """All of it, with times as they are seen from now."""
        return tuple(plain(front, front.clock(self.now_us)) for front in self.fronts), plain(
            self.air, self.now_us
        )


def plain(thing: object, now_us: int) -> object:
    """A value that is equal for what differs in nothing but the hour."""
    if isinstance(thing, Enum | str | bool | type(None)):
        return thing
    if isinstance(thing, int):
        # Times lie so far from all numbers here that a value tells what it is.
        return ("t", max(-8 * BEAT_US, thing - now_us)) if thing > 100_000 else thing
    if isinstance(thing, float):
        return thing
    if isinstance(thing, RolloutAgreement):
        left = {"handlers", "persisted", "settings", "heartbeats"}
        return tuple((k, plain(v, now_us)) for k, v in sorted(vars(thing).items()) if k not in left)
    if isinstance(thing, DisruptionMap):
        return None
    if isinstance(thing, dict):
        return tuple(sorted(((repr(k), plain(v, now_us)) for k, v in thing.items()), key=repr))
    if isinstance(thing, set | frozenset):
        return tuple(sorted(map(repr, thing)))
    if isinstance(thing, list | tuple):
        return tuple(plain(one, now_us) for one in thing)
    if is_dataclass(thing):
        return tuple(plain(getattr(thing, one.name), now_us) for one in fields(thing))
    return repr(thing)
