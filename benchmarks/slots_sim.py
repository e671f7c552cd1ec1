"""Joins out at boxes with a knee, in simulated time: a learned number, fixed ones, and each front alone.

    python -m benchmarks.slots_sim [--fronts 12] [--boxes 3] [--seeds 5] [--days steady,shift,skew,surge]

A box works on `knee` joins at full pace; with more out each gets slower, a little more than in proportion,
and one with more than four times its knee out for three seconds falls over and is back after ten. Nine joins
in ten are short (median 120 ms), one is long (900 ms, title not at hand), both with a heavy tail. A set-up
waits for a slot at its front while its client timeout of 5 s allows; past 3 s it is given up.

Days of 150 s, the first 30 of which are not counted: `steady` at 0.7 of what the boxes take; `shift`, where
the first third of the boxes halves at 50 s and doubles what it was at 100 s; `skew`, where a quarter of the
fronts has all the load; `surge`, twice the load from 50 to 80 s. Messages between fronts take 1 to 30 ms; one
in ten is lost, one in twenty doubled. Figures are simulated.
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

from benchmarks.events import Events

END_S = 150.0
WARM_US = 30_000_000
TIMEOUT_US, GIVE_UP_US = 5_000_000, 3_000_000
FALL, FALL_S, BACK_S = 4.0, 3.0, 10.0
KNEES = (12, 24, 48)
LONG_SHARE = 0.1
MEDIAN_S, LONG_S, SPREAD = 0.12, 0.9, 0.6
PRESENT = 16  # `limits.box_connections`
START = 16  # of the whole fleet
DAYS = ("steady", "shift", "skew", "surge")


@dataclass(slots=True, eq=False)
class Join:
    """One set-up, from its wish to its end."""

    front: int
    box: int
    shape: int
    work_s: float
    wished_us: int
    sent_us: int = -1
    timer: bool = False


@dataclass(slots=True, eq=False)
class SimBox:
    """Shares its pace among what is out; `virtual` is the work that each has got since the day began."""

    knee: int
    out: list[tuple[float, int, Join]] = field(default_factory=list)
    virtual: float = 0.0
    at_us: int = 0
    turn: int = 0
    over_us: int = -1  # since when it has far too many
    down: bool = False
    falls: int = 0

    def pace(self) -> float:
        crowd = len(self.out) / self.knee
        return 1.0 if crowd <= 1 else 1 / (crowd * (1 + 0.25 * (crowd - 1)))

    def advance(self, now_us: int) -> None:
        self.virtual += self.pace() * (now_us - self.at_us) / 1e6
        self.at_us = now_us


class Sim(Events):
    """One day under one rule."""

    def __init__(self, rule: str, day: str, fronts: int, boxes: int, seed: int) -> None:
        super().__init__()
        self.rule, self.day, self.fronts = rule, day, fronts
        self.chance = Random(f"{seed}/{day}")  # the same arrivals whatever the rule
        self.noise = Random(f"{seed}/messages")
        self.boxes = [SimBox(KNEES[i % len(KNEES)]) for i in range(boxes)]
        self.knees = [box.knee for box in self.boxes]
        self.lines: dict[tuple[int, int], deque[Join]] = {}
        self.here: dict[tuple[int, int], int] = {}
        self.numbers = iter(range(1 << 60))
        self.waits: list[int] = []
        self.late = self.answered = self.wished = self.denied = self.lost = self.messages = 0
        self.good_us: dict[int, int] = {}  # by shifted box: since when its number is good
        self.members: list[Replica] = []
        if rule in ("learned", "alone"):
            alone = rule == "alone"
            start = max(1, START // fronts) if alone else START
            terms = LimitSettings(start=start, min_limit=1 if alone else 2, max_wait_us=TIMEOUT_US // 50)
            for i in range(fronts):
                self.members.append(Replica(terms, 1 if alone else fronts, 0 if alone else i, 1, 0))
                for name in range(boxes):
                    self.members[i].on_server_listed(name, f"kind-{name % len(KNEES)}", 0, 0)
                self.at(self.noise.randrange(WINDOW_US), self._windows(i))
                self.at(self.noise.randrange(quota_loans.REQUEST_INTERVAL_US), partial(self._trading, i))
        self.at(0, self._arrive)
        self.at(WARM_US, self._count)
        if day == "shift":
            self.at(50_000_000, lambda: self._shift(0.5))
            self.at(100_000_000, lambda: self._shift(2.0))

    def _count(self) -> None:
        """The first seconds are every rule's own warm-up."""
        self.waits = []
        self.late = self.answered = self.wished = self.denied = self.lost = 0
        for box in self.boxes:
            box.falls = 0

    # Load.

    def _rate(self) -> float:
        mean = (MEDIAN_S * (1 - LONG_SHARE) + LONG_S * LONG_SHARE) * math.exp(SPREAD**2 / 2)
        load = 1.4 if self.day == "surge" and 50e6 <= self.now_us < 80e6 else 0.7
        return load * sum(self.knees) / mean

    def _arrive(self) -> None:
        self.after(self.chance.expovariate(self._rate()) * 1e6, self._arrive)
        busy = max(1, self.fronts // 4) if self.day == "skew" else self.fronts
        front, at = self.chance.randrange(busy), self.chance.choices(range(len(self.boxes)), self.knees)[0]
        long = self.chance.random() < LONG_SHARE
        work_s = self.chance.lognormvariate(math.log(LONG_S if long else MEDIAN_S), SPREAD)
        self.wished += 1
        self.lines.setdefault((front, at), deque()).append(
            Join(front, at, 0 if long else 1, work_s, self.now_us)
        )
        self._pump(front, at)

    def _shift(self, factor: float) -> None:
        if factor < 1:
            self.good_us.clear()
        for at in range(0, len(self.boxes), 3):
            box = self.boxes[at]
            box.advance(self.now_us)
            box.knee = max(1, round(self.knees[at] * factor))
            self._plan(at)

    # Slots.

    def _most(self, front: int, at: int) -> int:
        if self.rule == "learned" or self.rule == "alone":
            return self.members[front].max_in_flight(at, self.now_us, TIMEOUT_US)
        return int(self.rule)

    def _pump(self, front: int, at: int) -> None:
        line = self.lines[front, at]
        while line and self.here.get((front, at), 0) < self._most(front, at):
            self._send(line.popleft())
        if self.members:
            self.members[front].set_waiting(at, len(line))
        if line and not line[0].timer:
            line[0].timer = True
            left_us = max(0, line[0].wished_us + GIVE_UP_US - self.now_us)
            self.after(left_us, lambda: self._give_up(front, at))
            self._trade(front, (at,))

    def _give_up(self, front: int, at: int) -> None:
        line = self.lines[front, at]
        while line and self.now_us - line[0].wished_us >= GIVE_UP_US:
            join = line.popleft()
            self.denied += 1
            self.waits.append(TIMEOUT_US)
            if self.members:
                self.members[front].on_attempt_denied(at, join.shape)
        self._pump(front, at)

    def _send(self, join: Join) -> None:
        join.sent_us = self.now_us
        waited_us = self.now_us - join.wished_us
        self.waits.append(waited_us)
        key = join.front, join.box
        self.here[key] = self.here.get(key, 0) + 1
        if self.members:
            allow_us = join.wished_us + TIMEOUT_US - self.now_us
            self.members[join.front].on_attempt_started(
                join.box, join.shape, self.now_us, allow_us, waited_us
            )
        box = self.boxes[join.box]
        if not box.down:
            box.advance(self.now_us)
            heapq.heappush(box.out, (box.virtual + join.work_s, next(self.numbers), join))
            self._crowd(join.box)
            self._plan(join.box)
        left_us = join.wished_us + TIMEOUT_US - self.now_us
        self.after(left_us, lambda: self._time(join))

    def _time(self, join: Join) -> None:
        """The client timeout: the front gives up what is still out."""
        if join.sent_us < 0:
            return
        box = self.boxes[join.box]
        box.advance(self.now_us)
        box.out = [item for item in box.out if item[2] is not join]
        heapq.heapify(box.out)
        self._crowd(join.box)
        self.late += 1
        self._over(join, False)
        self._plan(join.box)

    def _over(self, join: Join, answered: bool) -> None:
        held_us, join.sent_us = self.now_us - join.sent_us, -1
        self.here[join.front, join.box] -= 1
        self.answered += answered
        if self.members:
            self.members[join.front].on_attempt_ended(join.box, join.shape, held_us, answered)
        self._pump(join.front, join.box)

    # Boxes.

    def _plan(self, at: int) -> None:
        box = self.boxes[at]
        box.turn += 1
        turn = box.turn
        if box.out:
            left_us = max(0.0, box.out[0][0] - box.virtual) / box.pace() * 1e6
            self.after(left_us + 1, lambda: self._done(at, turn))

    def _done(self, at: int, turn: int) -> None:
        box = self.boxes[at]
        if turn != box.turn:
            return
        box.advance(self.now_us)
        ended = []
        while box.out and box.out[0][0] <= box.virtual + 1e-9:
            ended.append(heapq.heappop(box.out)[2])
        self._crowd(at)
        self._plan(at)
        for join in ended:
            self._over(join, True)

    def _crowd(self, at: int) -> None:
        box = self.boxes[at]
        if len(box.out) <= FALL * box.knee:
            box.over_us = -1
        elif box.over_us < 0:
            box.over_us = self.now_us
            began_us = self.now_us
            self.after(FALL_S * 1e6, lambda: self._tip(at, began_us))

    def _tip(self, at: int, began_us: int) -> None:
        box = self.boxes[at]
        if box.over_us != began_us:
            return
        box.down, box.falls, box.over_us = True, box.falls + 1, -1
        out, box.out = [item[2] for item in box.out], []
        self.after(BACK_S * 1e6, lambda: setattr(box, "down", False))
        self.lost += len(out)
        for join in out:
            self._over(join, False)

    # Fronts among each other.

    def _send_to(self, call: Callable[[], None]) -> None:
        self.messages += 1
        if self.noise.random() < 0.1:
            return
        for _ in range(2 if self.noise.random() < 0.05 else 1):
            self.after(self.noise.randrange(1_000, 30_000), call)

    def _windows(self, i: int) -> Callable[[], None]:
        def turn() -> None:
            self.after(WINDOW_US, turn)
            member = self.members[i]
            told = member.close_windows(self.now_us)
            if self.rule == "learned":
                for to in member.incarnation_recipients():
                    self._send_to(partial(self._begun, i, to))
                number = member.sequence
                for to in sorted({taker for said in told for taker in said.recipients}):
                    mine = [said for said in told if to in said.recipients]
                    for at in range(0, len(mine), 6):  # what fits a datagram
                        self._send_to(partial(self._hear, to, i, number, mine[at : at + 6]))
            self._pump_all(i)
            if i == 0:
                self._measure()

        return turn

    def _begun(self, sender: int, to: int) -> None:
        if self.members[to].on_incarnation_started(sender, self.now_us):
            self._send_to(lambda: self._clear(to, sender))

    def _clear(self, sender: int, to: int) -> None:
        if self.members[to].on_incarnation_acknowledged(sender, 1):
            self._pump_all(to)

    def _hear(self, to: int, sender: int, number: int, told: list[LimitReport]) -> None:
        if any([self.members[to].on_report(sender, 1, number, said, self.now_us) for said in told]):
            self._pump_all(to)

    def _trading(self, i: int) -> None:
        self.after(quota_loans.REQUEST_INTERVAL_US, lambda: self._trading(i))
        self._trade(i)

    def _trade(self, i: int, names: tuple[int, ...] | None = None) -> None:
        if self.rule != "learned":
            return
        for to, name, said in self.members[i].exchange_slots(self.noise.random(), self.now_us, names):
            if isinstance(said, QuotaRequest):
                self._send_to(partial(self._asked, i, to, name, said))
            else:
                self._send_to(partial(self._lent, i, to, name, said))

    def _asked(self, sender: int, to: int, name: int, ask: QuotaRequest) -> None:
        loan = self.members[to].on_request(sender, name, ask, self.now_us)
        if loan is not None:
            self._send_to(partial(self._lent, to, sender, name, loan))

    def _lent(self, sender: int, to: int, name: int, loan: QuotaTransfer) -> None:
        if self.members[to].on_transfer(sender, name, loan, self.now_us) and (to, name) in self.lines:
            self._pump(to, name)

    def _pump_all(self, i: int) -> None:
        for at in range(len(self.boxes)):
            if (i, at) in self.lines:
                self._pump(i, at)

    def number(self, at: int) -> float:
        """How many joins may be out there."""
        if self.rule == "learned":
            return median(member.servers[at].agreement.limit for member in self.members)
        if self.rule == "alone":
            return sum(member.servers[at].agreement.limit for member in self.members)
        return int(self.rule) * self.fronts

    def _measure(self) -> None:
        """Since when the shifted boxes have a number between what their load needs and twice their knee."""
        if self.day != "shift" or self.now_us < 50e6:
            return
        for at in range(0, len(self.boxes), 3):
            box = self.boxes[at]
            good = 0.75 * box.knee <= self.number(at) <= 1.75 * box.knee
            if self.now_us < 100e6 and good:
                self.good_us.setdefault(at, self.now_us)


@dataclass(frozen=True, slots=True)
class Result:
    """A day's figures."""

    p99_s: float
    late: float
    unserved: float
    falls: int
    good_s: float
    messages: float


def play(task: tuple[str, str, int, int, int]) -> Result:
    """One day."""
    rule, day, fronts, boxes, seed = task
    sim = Sim(*task)
    sim.run(round(END_S * 1e6))
    waits = sorted(sim.waits)
    shifted = range(0, boxes, 3)
    good = [sim.good_us.get(at, 100_000_000) / 1e6 - 50 for at in shifted] if day == "shift" else [0.0]
    return Result(
        waits[len(waits) * 99 // 100] / 1e6,
        (sim.late + sim.lost) / sim.wished,
        1 - sim.answered / sim.wished,
        sum(box.falls for box in sim.boxes),
        median(good),
        sim.messages / fronts / END_S,
    )


def spread(values: list[float], digits: int = 3) -> str:
    """Median and range."""
    return f"{median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def main() -> None:
    """A row for each day and rule."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12")
    parser.add_argument("--boxes", type=int, default=3)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--days", default=",".join(DAYS))
    parser.add_argument("--rules", default=f"learned,{PRESENT // 2},{PRESENT},{2 * PRESENT},alone")
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    rules = options.rules.split(",")
    with multiprocessing.Pool(options.processes) as pool:
        for fronts in map(int, options.fronts.split(",")):
            for day in options.days.split(","):
                seeds = range(1, options.seeds + 1)
                tasks = [(rule, day, fronts, options.boxes, seed) for rule in rules for seed in seeds]
                results = pool.map(play, tasks, chunksize=1)
                for at, rule in enumerate(rules):
                    of = results[at * len(seeds) : (at + 1) * len(seeds)]
                    print(
                        f"{fronts:5} fronts {day:7} {rule:8}: p99 wait {spread([r.p99_s for r in of], 2)} s, "
                        f"late or lost {spread([r.late for r in of])}, "
                        f"not served {spread([r.unserved for r in of])}, "
                        f"boxes pushed over {spread([float(r.falls) for r in of], 0)}, "
                        f"good after {spread([r.good_s for r in of], 1)} s, "
                        f"{median(r.messages for r in of):.1f} messages a front a second",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
