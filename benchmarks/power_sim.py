"""Power comes back to a fleet of any size, in simulated time: the decision module and `company` as they are.

    python -m benchmarks.power_sim [--fronts 12,50,200] [--variants turns,leases] [--few] [--cut] [--seed 1]

Day power-loss made larger in proportion (boxes, titles and viewers by front), without sockets, stores or
doors: what is measured is how the fronts' turns at cold boxes add up. `turns`: by the settings' number of
fronts; `leases`: by `company`, beats that take 1 to 30 ms, a twentieth lost; `steady`: the same, but a front
keeps its equal part without a lease, so that no turn shifts when it comes. `--few`: five of twelve fronts
stay away. `--cut`: from one second after the loss on, for 16 s, the fronts of each hall reach neither the
other hall's fronts nor its boxes, as on day power-split; `halves` then knows of the cut, and shares the turns
of a box among the fronts that reach it. Prints seconds until nine tenths of the service before is back,
beside what the boxes' warm-up alone allows, the part of the first 30 s, the part of cold boxes' turns that
was used, boxes pushed over and joins a request.
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
from fennelcove.settings.checks import module_settings

from benchmarks.events import EventScheduler

BEGAN_US = 1_000_000
POWER_S, END_S, WATCH_US = 16, 60, 12_000_000
CUT_S = (POWER_S + 1, POWER_S + 17)
GIVEN_UP_US = 262_000  # what a join into the cut takes: seven eighths of half the objective
BEAT_US, LEASE_US = 200_000, 1_000_000
KEPT = {"leases": 0.75, "steady": 1.0}  # by variant; in no other are there leases
replace = msgspec.structs.replace


@dataclass
class Box:
    """A box of the stand-ins, as the list names it."""

    entry: ListEntry
    model: ServerModel

    def listed(self) -> ListEntry:
        standing = ServerState.ACTIVE if self.model.up else ServerState.LEFT
        return dataclasses.replace(self.entry, state=standing, started_us=self.model.started_us or 0)


@dataclass
class Viewer:
    """One that wants to play."""

    name: int
    room: str
    title: int
    hasty: bool
    tries: int = 0


class Side:
    """One front's effects."""

    def __init__(self, sea: Sea, index: int) -> None:
        self.sea = sea
        self.index = index
        self.front: PlacementPolicy | None = None
        self.company: Membership | None = None
        self.rungs: dict[str, int] = {}
        self.asking: dict[str, Viewer] = {}
        halls = sea.halls
        self.hall = halls[index % len(halls)]

    def join(self, id: str, server: str, allow_us: int) -> None:
        front = self.front
        assert front is not None
        number = len(front.sessions[id].attempts) - 1
        zone = self.sea.boxes[server].entry.zone
        if self.sea.is_cut() and zone != self.hall:
            self.sea.after(GIVEN_UP_US, partial(self.sea.given_up, self, front, id, number))
        else:
            self.sea.after(5_000, partial(self.sea.joined, self, front, id, number, server))

    def set_rung(self, id: str, rung: int) -> None:
        self.rungs[id] = rung

    def throttle(self, id: str, wait_us: int) -> None:
        self.sea.turned_away(self.asking.pop(id), wait_us)

    def terminate(self, id: str) -> None:
        self.sea.turned_away(self.asking.pop(id), 0)

    def move(self, id: str) -> None:
        """Nothing moves here."""

    def probe(self, server: str) -> None:
        """Nothing is probed here."""

    def tell(self, front: int, said: PeerMessage) -> None:
        """Nothing is told here."""

    def timer(self, name: int, delay_us: int) -> None:
        front = self.front
        self.sea.after(delay_us, partial(self.due, front, name))

    def due(self, front: PlacementPolicy, name: int) -> None:
        if front is self.front:
            front.handle(TimerFired(name), self.sea.now_us)

    def watch_list(self) -> None:
        """The list comes by itself."""

    def fetch_list(self) -> None:
        """The list comes by itself."""


class Sea(EventScheduler):
    """The day."""

    def __init__(
        self, day: Scenario, fronts: int, variant: str, few: bool, seed: int, cut: bool = False
    ) -> None:
        super().__init__(BEGAN_US)
        self.halls = day.halls
        self.cut = cut
        self.halves = variant == "halves"
        self.used, self.late_s = 0, 6e6 if cut else 8e6
        self.chance = Random(seed)
        self.times = max(1, round(fronts / 12))
        self.fronts = fronts
        self.kept = KEPT.get(variant)
        self.few = few
        front = day.front
        fleet, k = front.fleet, self.times
        titles = [
            replace(title, name=f"{title.name}-{i}", first_cell=title.first_cell + i * fleet.cells)
            for i in range(k)
            for title in front.titles
        ]
        self.settings = replace(
            front,
            fleet=replace(
                fleet, cells=k * fleet.cells, racks=k * fleet.racks, all_links_kb=k * fleet.all_links_kb
            ),
            titles=titles,
            instance=replace(front.instance, fronts=fronts),
        )
        self.titles = {title.name: (i, title) for i, title in enumerate(titles)}
        self.rate_kb = [rung.kb for rung in front.ladder]
        self.ramp_us = round(front.rules.ramp_ms * 1000)
        self.cold = front.rules.start_capacity
        streams = {kind.name: kind.streams for kind in fleet.kinds}
        self.boxes = {
            f"b{i}-{n}": Box(
                ListEntry(
                    f"b{i}-{n}", line.zone, line.kind, line.cell + i * fleet.cells, ServerState.ACTIVE, 1, 0
                ),
                ServerModel(
                    line.link_kb,
                    streams[line.kind],
                    RackModel(1e12),
                    self.ramp_us,
                    self.cold,
                    day.rig.fall_multiple,
                    round(day.rig.tip_after_ms * 1000),
                ),
            )
            for i in range(k)
            for n, line in enumerate(day.boxes)
        }
        self.crowds = day.crowds
        self.sides = [Side(self, i) for i in range(fronts)]
        self.played = [0] * END_S
        self.requests = self.joins = self.pushed = 0
        self.names = count()

    def is_cut(self) -> bool:
        return self.cut and CUT_S[0] <= (self.now_us - BEGAN_US) / 1e6 < CUT_S[1]

    def second(self) -> int:
        return min(END_S - 1, (self.now_us - BEGAN_US) // 1_000_000)

    # Fronts.

    def start(self, side: Side) -> None:
        told = module_settings(
            replace(self.settings, instance=replace(self.settings.instance, index=side.index))
        )
        front = side.front = PlacementPolicy(told, side.index + self.now_us, side, self.now_us)
        side.rungs.clear()
        side.asking.clear()
        if self.kept is not None:
            terms = MembershipSettings(self.fronts, side.index, BEAT_US, LEASE_US, LEASE_US, self.kept)
            company = side.company = Membership(terms, self.now_us, self.now_us)
            front.owns_turn = lambda turn: company.owns_turn(turn, self.now_us)
            self.after(self.chance.randrange(BEAT_US), partial(self.beat, side, company))
        if self.halves:
            many, own, all_ = len(self.halls), side.index // len(self.halls), front.owns_turn
            front.owns_turn = lambda turn: (
                turn % (self.fronts // many) == own if self.is_cut() else all_(turn)
            )
        self.tell_list(side)

    def beat(self, side: Side, company: Membership) -> None:
        if side.company is not company:
            return
        self.after(BEAT_US, partial(self.beat, side, company))
        for to, said in company.next_heartbeats(self.now_us).items():
            across = self.is_cut() and self.sides[to].hall != side.hall
            if self.chance.random() >= 0.05 and not across:
                self.after(self.chance.randrange(1_000, 30_000), partial(self.hear, to, side.index, said))

    def hear(self, to: int, sender: int, said: Heartbeat) -> None:
        company = self.sides[to].company
        if company is not None:
            company.on_heartbeat(sender, said, self.now_us)

    def tell_list(self, side: Side) -> None:
        if side.front is not None:
            entries = tuple(box.listed() for box in self.boxes.values())
            side.front.handle(ListUpdate(ListMode.FULL, entries), self.now_us)

    # Viewers.

    def arrive(self, at: int) -> None:
        crowd = self.crowds[at]
        self.after(self.chance.expovariate(crowd.per_s * self.times) * 1e6, partial(self.arrive, at))
        title = f"{self.chance.choice(crowd.titles)}-{self.chance.randrange(self.times)}"
        hasty = self.chance.random() < 0.75
        self.ask(Viewer(next(self.names), crowd.room_type, self.titles[title][0], hasty))

    def ask(self, viewer: Viewer) -> None:
        viewer.tries += 1
        self.requests += 1
        side = self.chance.choice(self.sides)
        if side.front is None:
            self.come_again(viewer, 500_000)
            return
        title = self.settings.titles[viewer.title]
        id = f"{viewer.name}/{viewer.tries}"
        side.asking[id] = viewer
        request = Request(
            id, viewer.room, viewer.title, title.first_cell, title.cells, len(self.rate_kb) - 1, 1_500_000
        )
        side.front.handle(request, self.now_us)

    def come_again(self, viewer: Viewer, wait_us: float) -> None:
        if viewer.tries < 11:
            self.after(wait_us, partial(self.ask, viewer))

    def turned_away(self, viewer: Viewer, wait_us: int) -> None:
        own_us = 300_000 + self.chance.random() * 400_000
        self.come_again(viewer, own_us if viewer.hasty else max(wait_us, 2_000_000))

    # Boxes.

    def joined(self, side: Side, front: PlacementPolicy, id: str, join: int, server: str) -> None:
        if side.front is not front or id not in front.sessions:
            return
        self.joins += 1
        box = self.boxes[server].model
        found = SetUpResult.CRASHED
        if box.up:
            self.used += box.is_warming_up(self.now_us)
            rate_kb = front.rate_kb(front.sessions[id], side.rungs[id])
            found = box.set_up((id, join), rate_kb, self.now_us)
            if found is SetUpResult.CRASHED:
                box.stop()
                self.pushed += 1
        if found is not SetUpResult.STARTED:
            outcome = Outcome.REJECTED if found is SetUpResult.REJECTED else Outcome.NO_CONNECTION
            front.handle(AttemptCompleted(id, join, outcome, False, None), self.now_us)
            return
        side.asking.pop(id, None)
        self.played[self.second()] += 1
        front.handle(SessionStarted(id, join, 20_000), self.now_us)
        front.handle(SessionReport(id, server, ReportKind.LINK, box.utilization()), self.now_us)
        self.after(self.chance.expovariate(1 / WATCH_US), partial(self.over, side, front, id, join, box))

    def given_up(self, side: Side, front: PlacementPolicy, id: str, join: int) -> None:
        if side.front is front and id in front.sessions:
            self.joins += 1
            front.handle(AttemptCompleted(id, join, Outcome.NO_ANSWER, False, None), self.now_us)

    def over(self, side: Side, front: PlacementPolicy, id: str, join: int, box: ServerModel) -> None:
        if box.playing.pop((id, join), None) is not None and side.front is front and id in front.sessions:
            report = LoadReport(box.utilization(), None)
            front.handle(AttemptCompleted(id, join, Outcome.SERVED, True, report), self.now_us)

    # The loss.

    def power(self) -> None:
        for side in self.sides:
            side.front = side.company = None
        away = {i for i in range(self.fronts) if self.few and i % 12 < 5}
        for side in self.sides:
            if side.index not in away:
                self.after(self.chance.uniform(1e6, self.late_s), partial(self.start, side))
        for box in self.boxes.values():
            box.model.stop()
            self.after(self.chance.uniform(1e6, self.late_s), partial(self.back, box))

    def back(self, box: Box) -> None:
        box.model.start(self.now_us)
        for side in self.sides:
            self.after(self.chance.randrange(50_000, 500_000), partial(self.tell_box, side, box))

    def tell_box(self, side: Side, box: Box) -> None:
        if side.front is not None:
            side.front.handle(ListUpdate(ListMode.INCREMENTAL, (box.listed(),)), self.now_us)

    def play(self) -> None:
        for side in self.sides:
            self.start(side)
        for at in range(len(self.crowds)):
            self.after(0, partial(self.arrive, at))
        self.after(POWER_S * 1e6, self.power)
        self.run(BEGAN_US + END_S * 1_000_000)

    def turns_used(self) -> float:
        """The part of the turns that came at cold boxes which brought a set-up."""
        turns = sum(box.model.streams * (1 + self.cold) / 2 for box in self.boxes.values())
        return self.used / turns

    def bound_s(self, mean: float) -> float:
        """How soon the boxes' warm-up alone allows nine tenths of the set-ups before."""
        at_us = BEGAN_US + POWER_S * 1_000_000
        for step in range(0, 40_000_000, 100_000):
            pace = 0.0
            for box in self.boxes.values():
                age = (at_us + step - (box.model.started_us or 0)) / self.ramp_us
                if box.model.started_us and age >= 0:
                    warmth = self.cold + (1 - self.cold) * age
                    pace += box.model.streams * 1e6 / self.ramp_us * warmth if age < 1 else float("inf")
            if pace >= 0.9 * mean:
                return step / 1e6
        return float("inf")


def main() -> None:
    """A row for each size and variant."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12,50,200")
    parser.add_argument("--variants", default="turns,leases")
    parser.add_argument("--few", action="store_true")
    parser.add_argument("--cut", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    day = read("power-loss")
    for fronts in map(int, options.fronts.split(",")):
        for variant in options.variants.split(","):
            sea = Sea(day, fronts, variant, options.few, options.seed, options.cut)
            sea.play()
            before = sea.played[POWER_S - 6 : POWER_S]
            mean = sum(before) / 6
            back = next(
                (at - POWER_S for at in range(POWER_S + 1, END_S - 3)
                 if sum(sea.played[at : at + 3]) / 3 >= 0.9 * mean), None)  # fmt: skip
            share = sum(sea.played[POWER_S + 1 : POWER_S + 31]) / (30 * mean)
            print(
                f"{fronts:4} fronts, {len(sea.boxes):4} boxes, {variant:7}{', few' if options.few else ''}"
                f"{', cut' if options.cut else ''}: "
                f"{mean:.0f} set-ups a second before, 90% back after {back} s (warm-up alone "
                f"{sea.bound_s(mean):.1f}), {share:.2f} of the first 30 s, {sea.turns_used():.2f} of cold "
                f"turns used, {sea.pushed} pushed over, "
                f"{sea.joins / sea.requests:.2f} joins a request",
                flush=True,
            )


if __name__ == "__main__":
    main()
