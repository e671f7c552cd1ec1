"""Whose turn it is at a box, in simulated time: the decisions of package `fair` as they are.

    python -m benchmarks.fair_sim [--fronts 12,50,200,1000] [--variants first,limit,line,fair] [--seeds 5]
                                  [--days calm,hog,spread,hop,names,slow,shift,pair] [--seconds 12]

Each front has four slots at each of six boxes (three from 200 fronts on); eight tenants ask for titles that
two boxes hold each, all together for three fifths of the slots; from the third second on one of them asks ten
times over (on day `calm` it stays away), half of it for titles whose holds are ten times as long. `spread`:
its neighbours come to a third of the fronts; `hop`: half of it comes to one front, then to the next;
`names`: under a thousand names, while the settings name its neighbours; `slow`: all titles are slow; `shift`:
its titles are slow no more in the second half; `pair`: two want more than there is, one at all fronts, one at
a third of them. `first`: as without the package, whoever comes first, and past the slots a set-up is given up
at once. `line`: the same, but it may wait. `limit`: as `first`, and no tenant has more than a quarter of a
box's slots. `fair`: the package. Fronts tell each other what they gave within groups of 50, with messages
that take 1 to 30 ms, a twentieth of them lost. Prints of the neighbours and of the hog: waits, share served,
the hog's part of all slot-time, and the share of slots that were idle; median (range) over seeds.
"""

from __future__ import annotations

import argparse
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import median

from fennelcove.fair_queueing import usage_gossip
from fennelcove.fair_queueing.usage_gossip import UsageGossip, UsageReport
from fennelcove.fair_queueing.virtual_time import TenantWeights
from fennelcove.fair_queueing.wait_queue import Waiter, WaitQueue
from fennelcove.fair_queueing.waiter import WaiterAction, WaiterEvent

from benchmarks.events import Events

PART, HOLD_US, SLOW_TIMES = 4, 100_000, 10
TENANTS, HOG, GROUP = 8, 1, 50
HOG_FROM_US, TIMEOUT_US, JOIN_MOST_US = 3_000_000, 1_500_000, 1_200_000
PLAIN_LIMIT = 0.25


@dataclass(frozen=True)
class Case:
    """What is simulated."""

    variant: str = "fair"
    day: str = "hog"
    fronts: int = 12
    seconds: float = 12.0
    seed: int = 1
    boxes: int = 6
    tell: bool = True
    lost: float = 0.05

    @property
    def rate_s(self) -> float:
        """Set-ups a second of all eight tenants without the hog: three fifths of the slots."""
        return 0.6 * self.fronts * self.boxes * PART * 1e6 / HOLD_US


@dataclass
class Score:
    """One tenant's."""

    asked: int = 0
    served: int = 0
    waits_us: list[int] = field(default_factory=list)
    slot_us: int = 0


@dataclass(slots=True, eq=False)
class Asked(Waiter):
    """A set-up, whose it is in truth, and whether its title is a slow one."""

    owner: int = 0
    slow: bool = False


@dataclass
class Front:
    """One front: its queue, what it tells, who waits in the plain queue."""

    index: int
    queue: WaitQueue
    told: UsageGossip
    plain: list[Asked] = field(default_factory=list)


class World:
    """One case, played."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.rng = Random(f"{case.seed}/{case.day}")
        self.events = Events()
        self.ids = count()
        self.scores: dict[int, Score] = {}
        self.slow_now = SLOW_TIMES
        self.busy_us = 0
        self.out: Counter[tuple[int, str]] = Counter()
        self.most_out: Counter[tuple[int, str]] = Counter()
        self.by_tenant: Counter[tuple[int, str, int]] = Counter()
        # Against invented names an operator names who is known.
        named = {tenant: 1.0 for tenant in range(2, TENANTS + 1)} if case.day == "names" else {}
        self.fronts = [
            Front(i, WaitQueue(lambda box, now_us: PART, TenantWeights(named)), UsageGossip(incarnation=1))
            for i in range(case.fronts)
        ]

    # Who asks.

    def play(self) -> World:
        """All of it."""
        case = self.case
        if case.day == "pair":
            # Two who both want more than there is: one comes to all fronts, one to a third of them.
            self._arrivals(2, case.rate_s, 0)
            self._arrivals(HOG, 3 * case.rate_s, 0, hog=True)
        for tenant in range(1, TENANTS + 1) if case.day != "pair" else ():
            rate = case.rate_s / TENANTS
            # A tenth as many slow ones, and a third as many at a third of the fronts, fill the slots as much.
            rate /= {"slow": SLOW_TIMES, "spread": 3}.get(case.day, 1)
            if tenant != HOG:
                self._arrivals(tenant, rate, 0)
        times = 0 if case.day in ("slow", "calm", "pair") else 10
        if times:
            self._arrivals(HOG, case.rate_s / TENANTS * times, HOG_FROM_US, hog=True)
        if case.tell:
            for front in self.fronts:
                self.events.after(
                    int(self.rng.random() * usage_gossip.WINDOW_US), lambda f=front: self._tell(f)
                )
        if case.day == "shift":
            self.events.after(int(case.seconds * 5e5), self._shift)
        self.events.run(int(case.seconds * 1e6))
        return self

    def _shift(self) -> None:
        self.slow_now = 1

    def _arrivals(self, tenant: int, rate_s: float, from_us: int, hog: bool = False) -> None:
        def come() -> None:
            self.events.after(max(1, round(self.rng.expovariate(rate_s) * 1e6)), come)
            self._asks(tenant, hog)

        self.events.after(from_us + round(self.rng.expovariate(rate_s) * 1e6), come)

    def _front(self, tenant: int, hog: bool) -> Front:
        case, now_us = self.case, self.events.now_us
        if case.day in ("spread", "pair") and not hog:
            return self.fronts[self.rng.randrange(max(1, case.fronts // 3))]
        if case.day == "hop" and hog:
            here = now_us // 500_000 % case.fronts  # all of it at one front, then at the next
            return self.fronts[here if self.rng.random() < 0.5 else self.rng.randrange(case.fronts)]
        return self.fronts[self.rng.randrange(case.fronts)]

    def _asks(self, tenant: int, hog: bool) -> None:
        case, now_us = self.case, self.events.now_us
        front = self._front(tenant, hog)
        queue = front.queue
        title = self.rng.randrange(case.boxes * 2)
        slow = (hog and case.day != "pair" and self.rng.random() < 0.5) or case.day == "slow"
        boxes = tuple(f"box-{(title + i) % case.boxes}" for i in range(2))
        named = tenant
        if hog and case.day == "names":
            named = 1000 + self.rng.randrange(1000)
        shape = ("room", 0, True)
        name = f"{'slow' if slow else 'title'}-{title}"
        waiter = Asked(
            str(next(self.ids)),
            queue.tenant_weights.accounted_tenant(named),
            shape,
            name,
            boxes,
            now_us,
            now_us + TIMEOUT_US,
            queue.service_times.estimate(shape, name),
            owner=tenant,
            slow=slow,
        )
        self._score(tenant).asked += now_us > HOG_FROM_US
        if case.variant == "fair":
            self._asks_fair(front, waiter)
        else:
            self._asks_plain(front, waiter)

    def _score(self, tenant: int) -> Score:
        return self.scores.setdefault(tenant, Score())

    # The package.

    def _asks_fair(self, front: Front, waiter: Asked) -> None:
        ruling = front.queue.request_slot(waiter, self.events.now_us)
        if ruling.action is WaiterAction.PLACE:
            self._place(front, waiter)
        elif ruling.action is WaiterAction.WAIT:
            due_us = front.queue.wait_deadline_us(waiter)
            self.events.after(max(0, due_us - self.events.now_us), lambda: self._due(front, waiter))

    def _due(self, front: Front, waiter: Asked) -> None:
        front.queue.cancel(waiter, WaiterEvent.NO_TIME)

    def _place(self, front: Front, waiter: Asked) -> None:
        now_us, queue = self.events.now_us, front.queue
        free = [box for box in waiter.servers if queue.may_acquire(waiter, box, now_us)]
        if not free:
            waiter.apply(WaiterEvent.NO_SERVER)
            return
        box = min(free, key=lambda name: (self.out[front.index, name], self.rng.random()))
        key = waiter.id, 0
        queue.try_acquire(box, key, waiter.tenant, waiter.estimate, now_us)
        waiter.apply(WaiterEvent.PLACED)
        held_us = self._begins(front, box, waiter)

        def over() -> None:
            hold = queue.release(box, key, self.events.now_us)
            waiter.apply(WaiterEvent.SLOT_RELEASED)
            assert hold is not None
            queue.service_times.observe(waiter.shape, waiter.title, waiter.tenant, held_us)
            front.told.record_usage(int(box[4:]), waiter.tenant, held_us)
            self._ends(front, box, waiter, held_us)
            while (following := queue.grant_next(box, self.events.now_us)) is not None:
                assert isinstance(following, Asked)
                self._place(front, following)

        self.events.after(held_us, over)

    def _tell(self, front: Front) -> None:
        self.events.after(usage_gossip.WINDOW_US, lambda: self._tell(front))
        front.queue.reporting_front_count = front.told.reporting_front_count(self.events.now_us)
        said = front.told.next_report()
        if said is None or self.case.variant != "fair":
            return
        first = front.index // GROUP * GROUP
        for other in self.fronts[first : first + GROUP]:
            if other is not front and self.rng.random() >= self.case.lost:
                late_us = int(self.rng.uniform(1_000, 30_000))
                self.events.after(late_us, lambda other=other: self._hear(other, front.index, said))

    def _hear(self, front: Front, sender: int, said: UsageReport) -> None:
        now_us = self.events.now_us
        names = [f"box-{i}" for i in range(self.case.boxes)]
        for row in front.told.on_report(sender, said, PART, now_us):
            front.queue.add_remote_usage(names[row.server], row.tenant, row.used_us, now_us)

    # Today's, with a queue and with a limit.

    def _may(self, front: Front, box: str, waiter: Asked) -> bool:
        if self.out[front.index, box] >= PART:
            return False
        if self.case.variant != "limit":
            return True
        here = sum(n for (f, b, t), n in self.by_tenant.items() if b == box and t == waiter.tenant and n)
        return here < max(1, PLAIN_LIMIT * PART * self.case.fronts)

    def _asks_plain(self, front: Front, waiter: Asked) -> None:
        if not self._place_plain(front, waiter) and self.case.variant == "line":
            front.plain.append(waiter)
            self.events.after(front.queue.max_wait_us, lambda: self._due_plain(front, waiter))

    def _due_plain(self, front: Front, waiter: Asked) -> None:
        if waiter in front.plain:
            front.plain.remove(waiter)

    def _place_plain(self, front: Front, waiter: Asked) -> bool:
        free = [box for box in waiter.servers if self._may(front, box, waiter)]
        if not free:
            return False
        box = min(free, key=lambda name: (self.out[front.index, name], self.rng.random()))
        self.by_tenant[front.index, box, waiter.tenant] += 1
        held_us = self._begins(front, box, waiter)

        def over() -> None:
            self.by_tenant[front.index, box, waiter.tenant] -= 1
            self._ends(front, box, waiter, held_us)
            for one in list(front.plain):
                if box in one.servers and self._place_plain(front, one):
                    front.plain.remove(one)
                    return

        self.events.after(held_us, over)
        return True

    # What is counted.

    def _begins(self, front: Front, box: str, waiter: Asked) -> int:
        self.out[front.index, box] += 1
        self.most_out[front.index, box] = max(self.most_out[front.index, box], self.out[front.index, box])
        if waiter.arrived_us > HOG_FROM_US:
            self._score(waiter.owner).waits_us.append(self.events.now_us - waiter.arrived_us)
        times = self.slow_now if waiter.slow else 1
        return min(JOIN_MOST_US, max(1000, round(times * HOLD_US * self.rng.lognormvariate(-0.08, 0.4))))

    def _ends(self, front: Front, box: str, waiter: Waiter, held_us: int) -> None:
        self.out[front.index, box] -= 1
        score = self._score(waiter.owner)
        if self.events.now_us > HOG_FROM_US:
            score.slot_us += held_us
        took_us = self.events.now_us - waiter.arrived_us
        score.served += waiter.arrived_us > HOG_FROM_US and took_us <= TIMEOUT_US

    def figures(self) -> dict[str, float]:
        """What the neighbours got, and the hog."""
        near = [score for tenant, score in self.scores.items() if tenant != HOG]
        waits = sorted(wait for score in near for wait in score.waits_us) or [0]
        hog = self.scores.get(HOG, Score())
        whole = (self.case.seconds * 1e6 - HOG_FROM_US) * PART * self.case.boxes * self.case.fronts
        given = sum(score.slot_us for score in self.scores.values())
        return {
            "p50_ms": waits[len(waits) // 2] / 1000,
            "p99_ms": waits[min(len(waits) - 1, len(waits) * 99 // 100)] / 1000,
            "served": sum(s.served for s in near) / max(1, sum(s.asked for s in near)),
            "hog_served": hog.served / max(1, hog.asked),
            "hog_part": hog.slot_us / max(1, given),
            "idle": 1 - given / whole,
        }


def run(case: Case) -> dict[str, float]:
    """The figures of one case."""
    return World(case).play().figures()


def spread(values: list[float], digits: int) -> str:
    """Median and range."""
    return f"{median(values):.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="12,50,200,1000")
    parser.add_argument("--variants", default="first,limit,line,fair")
    parser.add_argument("--days", default="calm,hog,spread,hop,names,slow,shift,pair")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--beside", type=int, default=2)
    told_ = parser.parse_args()
    cases = [
        Case(variant, day, int(fronts), told_.seconds, seed, 3 if int(fronts) >= 200 else 6)
        for fronts in told_.fronts.split(",")
        for day in told_.days.split(",")
        for variant in told_.variants.split(",")
        for seed in range(1, told_.seeds + 1)
    ]
    print(
        "fronts day    variant  "
        + "  ".join(f"{w:>21}" for w in ("p50 ms", "p99 ms", "served", "hog served", "hog's part", "idle"))
    )
    with ProcessPoolExecutor(told_.beside) as pool:
        found = pool.map(run, cases)
        for at in range(0, len(cases), told_.seeds):
            case, rows = cases[at], [next(found) for _ in range(told_.seeds)]
            cells = [spread([row[name] for row in rows], 0 if name.endswith("ms") else 3) for name in rows[0]]
            print(
                f"{case.fronts:6} {case.day:6} {case.variant:8} " + "  ".join(f"{c:>21}" for c in cells),
                flush=True,
            )


if __name__ == "__main__":
    main()
