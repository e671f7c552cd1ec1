"""What all fronts together spend, in simulated time: budgets lent and not, watchers and each front alone.

    python -m benchmarks.fleet_sums [--fronts 50,200,1000] [--seed 1]

The decision modules of `decisions/fleet` as they are, with messages that take 1 to 30 ms, a third of them
lost and a tenth doubled, and a partition into halves from the 10th to the 20th of 30 seconds. Budgets: a
tenth of the fronts has nine tenths of the need, which is 0.8 of the whole. Watchers: 60 boxes, 6 of which die
at 5 s.
"""

from __future__ import annotations

import argparse
from functools import partial
from random import Random
from statistics import median

from fennelcove.decisions.fleet import health_checks
from fennelcove.decisions.fleet.health_checks import HealthCheckAssignment, ProbeResult
from fennelcove.decisions.fleet.shared_quotas import Quota, QuotaRequest, Resource

from benchmarks.events import Call, Events

END_US = 30_000_000
CUT = (10_000_000, 20_000_000)


class Sea(Events):
    """Events in order, and messages that may be lost, late, doubled or cut off."""

    def __init__(self, seed: int, fronts: int) -> None:
        super().__init__()
        self.chance = Random(seed)
        self.fronts = fronts
        self.messages = 0

    def send(self, sender: int, taker: int, call: Call) -> None:
        self.messages += 1
        halves = (sender < self.fronts // 2) != (taker < self.fronts // 2)
        if (halves and CUT[0] <= self.now_us < CUT[1]) or self.chance.random() < 1 / 3:
            return
        for _ in range(2 if self.chance.random() < 0.1 else 1):
            self.after(self.chance.randrange(1_000, 30_000), call)


def spend(fronts: int, seed: int, lends: bool) -> tuple[float, float, float]:
    """Need that was met, most spent in a second for the whole, messages a front a second."""
    sea, whole = Sea(seed, fronts), 2.0 * fronts
    purses = [Quota(Resource.FURTHER_JOIN, whole, fronts, i, 1, 0) for i in range(fronts)]
    busy = max(1, fronts // 10)
    wanted, met, seconds = [0], [0], [0] * (END_US // 1_000_000)

    def want(i: int, rate: float) -> None:
        wanted[0] += 1
        if purses[i].try_acquire(sea.now_us):
            met[0] += 1
            seconds[sea.now_us // 1_000_000] += 1
        sea.after(round(sea.chance.expovariate(rate) * 1e6), lambda: want(i, rate))

    def ask(i: int) -> None:
        sea.after(250_000, lambda: ask(i))
        for to, asked in purses[i].next_requests(sea.chance.random(), sea.now_us) if lends else ():
            sea.send(i, to, partial(lend, i, to, asked))

    def lend(i: int, to: int, asked: QuotaRequest) -> None:
        loan = purses[to].on_request(i, asked, sea.now_us)
        if loan is not None:
            sea.send(to, i, lambda: purses[i].on_transfer(to, loan, sea.now_us))

    for i in range(fronts):
        rate = 0.8 * whole * (0.9 / busy if i < busy else 0.1 / (fronts - busy))
        sea.at(round(sea.chance.expovariate(rate) * 1e6), partial(want, i, rate))
        sea.at(sea.chance.randrange(250_000), partial(ask, i))
    sea.run(END_US)
    return met[0] / wanted[0], max(seconds) / whole, sea.messages / fronts / (END_US / 1e6)


def watch(fronts: int, seed: int, shared: bool) -> tuple[float, float, float, float]:
    """Probes a second at a box that is well and at one that died, seconds until half of all fronts
    call a dead one gone, and the share of the boxes that are well and called gone by some."""
    sea = Sea(seed, fronts)
    boxes = [f"box-{i}" for i in range(60)]
    dead = set(boxes[:6])
    books = [HealthCheckAssignment(i, fronts) for i in range(fronts)]
    living = {i: range(fronts) if shared else (i,) for i in range(fronts)}
    probes = dict.fromkeys(boxes, 0)
    found: dict[str, dict[int, int]] = {box: {} for box in dead}
    wrong: set[tuple[int, str]] = set()
    own = {
        (box, i): i in health_checks.chosen_checkers(box, living[i]) for box in boxes for i in range(fronts)
    }
    mine = [[box for box in boxes if own[box, i]] for i in range(fronts)]

    def look(i: int) -> None:
        sea.after(250_000, lambda: look(i))
        for box in books[i].due_probes(mine[i], living[i], sea.chance.random(), sea.now_us):
            probes[box] += 1
            ill = box in dead and sea.now_us >= 5_000_000
            # One path in fifty is bad all day: that alone must shut a box for nobody else.
            path = Random(f"{seed} {i} {box}").random() < 0.02
            seen = ProbeResult.FAILED if ill or path else ProbeResult.ANSWERED
            report = books[i].on_probe_completed(box, seen, sea.now_us)
            judge(i, box)
            if shared:
                for to in range(fronts):
                    if to != i:
                        sea.send(i, to, partial(hear, to, i, box, report.is_unhealthy, report.sequence))

    def hear(to: int, sender: int, box: str, ill: bool, number: int) -> None:
        books[to].on_report(sender, box, ill, number, sea.now_us)
        judge(to, box)

    def judge(i: int, box: str) -> None:
        if books[i].is_down(box, living[i], sea.now_us):
            if box in dead and sea.now_us >= 5_000_000:
                found[box].setdefault(i, sea.now_us)
            elif box not in dead:
                wrong.add((i, box))

    for i in range(fronts):
        sea.at(sea.chance.randrange(250_000), partial(look, i))
    sea.run(END_US)
    well = [probes[box] / 30 for box in boxes if box not in dead]
    ill = [probes[box] / 30 for box in dead]
    known = [sorted(told.values()) for told in found.values() if len(told) > fronts // 2]
    times = [told[fronts // 2] / 1e6 - 5 for told in known]
    late = median(times) if times else float("inf")
    return median(well), median(ill), late, len({box for _, box in wrong}) / (len(boxes) - len(dead))


def main() -> None:
    """A row for each size and variant."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="50,200,1000")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--watched", default="50,200")
    options = parser.parse_args()
    for fronts in map(int, options.fronts.split(",")):
        for lends in (False, True):
            met, most, said = spend(fronts, options.seed, lends)
            name = "lent" if lends else "equal parts"
            print(
                f"budget {fronts:5} fronts, {name:11}: {met:.3f} of the need met, at most {most:.3f} of the "
                f"whole in a second, {said:.2f} messages a front a second",
                flush=True,
            )
    for fronts in map(int, options.watched.split(",")):
        for shared in (False, True):
            well, ill, late, wrong = watch(fronts, options.seed, shared)
            name = "watchers" if shared else "each alone"
            print(
                f"probes {fronts:5} fronts, {name:11}: {well:.2f} a second at a box that is well, "
                f"{ill:.2f} at one that died; half of all know after {late:.1f} s; "
                f"{wrong:.3f} of the well called gone by some",
                flush=True,
            )


if __name__ == "__main__":
    main()
