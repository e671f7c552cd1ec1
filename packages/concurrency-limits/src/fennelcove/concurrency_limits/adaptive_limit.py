"""A box's whole number of joins, out of the fleet's figures, as a state table.

Two forces. From below: enough slots that no more than one set-up in a hundred waits longer than the stated
part of its client timeout at the arrivals of now (`erlang`). From above: the knee, past which more joins out
only make each slower. It is found by the gradient: the median hold time of each shape over the least of late,
so that neither a change of what is asked nor one slow shape among fast looks like a box that is pushed.

A rise is an experiment: small, in force for a whole summary's time before it counts, taken back where holds
grew by it, and no other begins before it is proven. So is a fall: where holds stay as long with fewer joins
out, these were not the cause (another program on the box, a slow disk), and the least is learned anew in
place of falling for ever. A least that is never seen again would creep up with a fleet that pushes all day,
so every now and then a full box is looked at with a quarter fewer joins.

What one front wants counts for nothing until a majority of the box's panel wants it (`agreeing`): an act is
judged only when it is in force.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from math import ceil, log, sqrt

from fennelcove.concurrency_limits import erlang
from fennelcove.concurrency_limits.latency_histogram import COVER_US, ObservedLatency, class_of, quantile_us

KNEE = 1.5  # of the gradient: past it holds are long for want of room
EASY = 1.25  # up to it a rise has done no harm
FAR = 1.1  # under it the knee is not near
FAR_STEP, NEAR_STEP = 3, 8  # of the number, what a rise adds: a third or an eighth, at least one
DIP = 0.75  # the part that a look leaves: its inverse must be above EASY, or a creeping least is not seen
FEW_OF_SHAPE = 4
FEW = 12  # joins ended, under which figures say nothing
PATIENCE_US = 12_000_000  # for how long figures are gathered until there are so many
MUCH_LOST = 0.2  # of all joins that ended
LATE_SHARE = 0.01  # of set-ups, that may wait longer than stated
SPLIT = 1.5  # a whole in parts of many fronts has always some that idle where nobody asks
HELPED = 0.92  # a fall that left the gradient above this part of it has not helped
LEAST_FALL, MOST_FALL = 0.85, 0.5  # what a fall leaves
BUCKET_US = 6_000_000
BUCKETS = 10  # of late: a minute
LOOK_US = 30_000_000
LONGEST_US = 4_000_000  # a hold time that is waited for
FOLLOW_US = 6_000_000  # for how long the others are given to want the same
REST_US, MOST_REST_US = 8_000_000, 32_000_000  # after a rise that was taken back
AGE_US = 600_000_000  # in which half of what is above the first number is given up, with nothing seen


class LimitState(Enum):
    """What goes on at the box."""

    STEADY = auto()
    PROVING = auto()  # a rise
    FELL = auto()
    RESTING = auto()  # no rise for a while
    LOOKING = auto()  # at the holds with fewer out


class LimitSignal(Enum):
    """What the figures say."""

    QUIET = auto()  # too few
    EASY = auto()  # nobody waits for long
    WAITS = auto()  # more slots are needed, and there seems to be room
    FULL = auto()  # near the knee
    OLD = auto()  # near a knee that was not looked at for long
    SLOW = auto()
    STUCK = auto()  # as slow as before a fall
    LOSES = auto()  # many joins are not answered
    ALONE = auto()  # the others do not want the same
    RESTED = auto()


class LimitAction(Enum):
    """What follows."""

    KEEP = auto()
    AGE = auto()
    RISE = auto()
    TAKE_BACK = auto()
    FALL = auto()
    HALVE = auto()
    LEARN_ANEW = auto()
    DIP = auto()
    FOLLOW = auto()


P, S, A = LimitState, LimitSignal, LimitAction
TRANSITIONS: dict[tuple[LimitState, LimitSignal], tuple[LimitState, LimitAction]] = {
    (P.STEADY, S.QUIET): (P.STEADY, A.AGE),
    (P.STEADY, S.EASY): (P.STEADY, A.KEEP),
    (P.STEADY, S.WAITS): (P.PROVING, A.RISE),
    (P.STEADY, S.FULL): (P.STEADY, A.KEEP),
    (P.STEADY, S.OLD): (P.LOOKING, A.DIP),
    (P.STEADY, S.SLOW): (P.FELL, A.FALL),
    (P.STEADY, S.LOSES): (P.FELL, A.HALVE),
    (P.STEADY, S.ALONE): (P.STEADY, A.FOLLOW),
    # A rise that nothing was seen of is not proven.
    (P.PROVING, S.QUIET): (P.RESTING, A.TAKE_BACK),
    (P.PROVING, S.EASY): (P.STEADY, A.KEEP),
    (P.PROVING, S.WAITS): (P.PROVING, A.RISE),
    (P.PROVING, S.FULL): (P.STEADY, A.KEEP),
    (P.PROVING, S.OLD): (P.STEADY, A.KEEP),
    (P.PROVING, S.SLOW): (P.RESTING, A.TAKE_BACK),
    (P.PROVING, S.LOSES): (P.FELL, A.HALVE),
    (P.PROVING, S.ALONE): (P.RESTING, A.FOLLOW),
    (P.FELL, S.QUIET): (P.RESTING, A.KEEP),
    (P.FELL, S.EASY): (P.RESTING, A.KEEP),
    (P.FELL, S.WAITS): (P.RESTING, A.KEEP),
    (P.FELL, S.FULL): (P.RESTING, A.KEEP),
    (P.FELL, S.OLD): (P.RESTING, A.KEEP),
    (P.FELL, S.SLOW): (P.FELL, A.FALL),
    (P.FELL, S.STUCK): (P.RESTING, A.LEARN_ANEW),
    (P.FELL, S.LOSES): (P.FELL, A.HALVE),
    (P.FELL, S.ALONE): (P.RESTING, A.FOLLOW),
    (P.RESTING, S.QUIET): (P.RESTING, A.KEEP),
    (P.RESTING, S.EASY): (P.RESTING, A.KEEP),
    (P.RESTING, S.WAITS): (P.RESTING, A.KEEP),
    (P.RESTING, S.FULL): (P.RESTING, A.KEEP),
    (P.RESTING, S.OLD): (P.RESTING, A.KEEP),
    (P.RESTING, S.SLOW): (P.FELL, A.FALL),
    (P.RESTING, S.LOSES): (P.FELL, A.HALVE),
    (P.RESTING, S.RESTED): (P.STEADY, A.KEEP),
    (P.LOOKING, S.QUIET): (P.STEADY, A.TAKE_BACK),
    (P.LOOKING, S.EASY): (P.STEADY, A.TAKE_BACK),
    (P.LOOKING, S.WAITS): (P.STEADY, A.TAKE_BACK),
    (P.LOOKING, S.FULL): (P.STEADY, A.TAKE_BACK),
    (P.LOOKING, S.OLD): (P.STEADY, A.TAKE_BACK),
    (P.LOOKING, S.SLOW): (P.FELL, A.FALL),
    (P.LOOKING, S.LOSES): (P.FELL, A.HALVE),
    (P.LOOKING, S.ALONE): (P.STEADY, A.FOLLOW),
}
MUST_BE_IN_FORCE = (LimitState.PROVING, LimitState.FELL, LimitState.LOOKING)


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What the settings say."""

    start: int = 8  # where nothing is known
    least: int = 2
    most: int = 256
    wait_us: int = 100_000  # the stated part of the shortest client timeout


@dataclass(slots=True)
class AdaptiveLimit:
    """One front's opinion of one box. The caller hands in figures, what is agreed, and times."""

    terms: LimitSettings
    whole: int
    now_us: int
    phase: LimitState = LimitState.STEADY
    before: int = 0  # what a rise or a look began from
    acted_us: int = 0  # when the last act was, and 0 or when it came into force
    forced_us: int = 0
    rest_us: int = REST_US
    slow: float = 1.0  # the gradient at the last fall
    now: float = 1.0  # the gradient of the last figures
    looked_us: int = 0
    seen_us: int = 0  # when figures last said anything
    medians: dict[int, float] = field(default_factory=dict)
    taken_us: int = 0  # when figures were last taken
    gathered: dict[int, ObservedLatency] = field(default_factory=dict)  # since the last act came into force
    gathered_us: int = 0  # of how long
    bucket: dict[int, ObservedLatency] = field(default_factory=dict)
    bucket_us: int = 0
    late: deque[tuple[int, dict[int, float]]] = field(default_factory=lambda: deque(maxlen=BUCKETS))
    parts: dict[int, int] = field(default_factory=dict)  # what each shape needs
    own: bool = False  # it has figures of this box
    acts: dict[LimitAction, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.acted_us = self.looked_us = self.seen_us = self.now_us

    # Figures.

    def least_us(self, shape: int) -> float | None:
        """The least of late, on the sure side."""
        found = [low[shape] for _, low in self.late if shape in low]
        return min(found) if found else None

    def _take(self, seen: Mapping[int, ObservedLatency], now_us: int) -> None:
        """Figures overlap: each join counts once."""
        self.taken_us = now_us
        self.gathered_us += COVER_US
        for shape, figures in seen.items():
            self.gathered.setdefault(shape, ObservedLatency()).add(figures)
            self.bucket.setdefault(shape, ObservedLatency()).add(figures)
        found = {shape: quantile_us(figures.holds, 0.5) for shape, figures in self.gathered.items()}
        self.medians = {shape: median for shape, median in found.items() if median is not None}
        first = not self.late and sum(figures.ended for figures in self.bucket.values()) >= 2 * FEW
        if first or now_us - self.bucket_us >= BUCKET_US:
            self._close(now_us)

    def _close(self, now_us: int) -> None:
        """The open bucket becomes one of late."""
        while self.late and now_us - self.late[0][0] >= BUCKET_US * BUCKETS:
            self.late.popleft()
        low = {}
        for shape, figures in self.bucket.items():
            ended, median = figures.ended, quantile_us(figures.holds, 0.5)
            if median is not None and ended >= FEW:
                # The least of ten medians is too low by chance alone.
                low[shape] = median * (1 + doubt(figures))
        self.late.append((now_us, low))
        self.bucket, self.bucket_us = {}, now_us

    def gradient(self) -> float | None:
        """How many times longer than the least of late holds are, shape by shape, by how many ended; None
        where that is not known. By slot-time the few long ones, whose median is unsure, outweighed all."""
        total = weight = 0.0
        for shape, median in self.medians.items():
            low, ended = self.least_us(shape), self.gathered[shape].ended
            if low is not None and ended >= FEW_OF_SHAPE:
                total += ended * median / low
                weight += ended
        return total / weight if weight else None

    def waited(self) -> float:
        """The share of wishes for a slot that waited longer than stated, or got none."""
        asked = sum(figures.asked for figures in self.gathered.values())
        first = class_of(self.terms.wait_us)
        late = sum(
            figures.denied + sum(count for number, count in figures.waits.items() if number >= first)
            for figures in self.gathered.values()
        )
        return min(1.0, late / asked) if asked else 0.0

    def needed(self) -> int:
        """The slots that keep waits as short as stated; also sets `parts`."""
        over_s, late, wait_s = self.gathered_us / 1e6, LATE_SHARE, self.terms.wait_us / 1e6
        seen = {shape: figures for shape, figures in self.gathered.items() if figures.ended and figures.asked}
        rates = {shape: figures.asked / over_s for shape, figures in seen.items()}
        means = {shape: figures.mean_us / 1e6 for shape, figures in seen.items()}
        self.parts = {shape: erlang.needed(rates[shape], means[shape], wait_s, late) for shape in seen}
        rate = sum(rates.values())
        if not rate:
            return 0
        hold_s = sum(rates[shape] * means[shape] for shape in seen) / rate
        return erlang.needed(rate, hold_s, wait_s, late)

    # Decisions.

    def window(self, seen: Mapping[int, ObservedLatency], agreed: int, now_us: int) -> LimitAction:
        """A window has passed; what follows. `agreed` is what is in force at the box."""
        sign = self._standing(agreed, now_us)
        waits = self.phase in MUST_BE_IN_FORCE and not self.forced_us
        if sign is None and not waits and now_us - self.taken_us >= COVER_US:
            self._take(seen, now_us)
            sign = self._sign(agreed, now_us)
        if sign is None:
            return LimitAction.KEEP
        self.phase, act = TRANSITIONS[self.phase, sign]
        ACTIONS[act](self, agreed, now_us)
        self.acts[act] = self.acts.get(act, 0) + 1
        self._gather()
        return act

    def _gather(self) -> None:
        self.gathered, self.gathered_us = {}, 0

    def _in_force(self, agreed: int) -> bool:
        return agreed >= self.whole if self.phase is LimitState.PROVING else agreed <= self.whole

    def _standing(self, agreed: int, now_us: int) -> LimitSignal | None:
        """What follows from the others' words and from time alone."""
        alone = LimitSignal.ALONE if now_us - self.acted_us >= FOLLOW_US else None
        if self.phase is LimitState.STEADY and agreed != self.whole:
            return alone
        if self.phase in MUST_BE_IN_FORCE and not self.forced_us:
            if not self._in_force(agreed):
                return alone
            self.forced_us = now_us
            self._settle(now_us)
        if self.phase is LimitState.RESTING and now_us - self.acted_us >= self.rest_us:
            return LimitSignal.RESTED
        return None

    def _settle(self, now_us: int) -> None:
        """An act is in force from now on: what is out was sent before, and is to end first."""
        longest = min(float(LONGEST_US), 1.5 * max(self.medians.values(), default=0.0))
        self.taken_us = now_us + round(longest)

    def _sign(self, agreed: int, now_us: int) -> LimitSignal | None:
        """What the figures say; None while there are too few."""
        ended = sum(figures.ended for figures in self.gathered.values())
        if ended < FEW:
            return LimitSignal.QUIET if self.gathered_us >= PATIENCE_US else None
        self.own, self.seen_us = True, now_us
        if sum(figures.lost for figures in self.gathered.values()) > MUCH_LOST * ended:
            return LimitSignal.LOSES
        gradient, needed = self.gradient(), self.needed()
        if gradient is None:
            return None
        self.now = gradient
        unsure = sum(figures.ended * doubt(figures) for figures in self.gathered.values()) / ended
        if gradient > KNEE * (1 + unsure):
            stuck = self.phase is LimitState.FELL and gradient > HELPED * self.slow
            self.slow = gradient
            return LimitSignal.STUCK if stuck else LimitSignal.SLOW
        if gradient > EASY:
            return LimitSignal.OLD if now_us - self.looked_us >= LOOK_US else LimitSignal.FULL
        self.looked_us = now_us
        if agreed >= self.terms.most:
            return LimitSignal.EASY
        # More than the formula says only where it is seen that they wait.
        wanted = ceil(SPLIT * needed) if self.waited() > LATE_SHARE else needed
        return LimitSignal.WAITS if wanted > agreed else LimitSignal.EASY

    # Acts.

    def _acted(self, now_us: int) -> None:
        self.acted_us, self.forced_us = now_us, 0
        if self.phase not in MUST_BE_IN_FORCE:
            self._settle(now_us)

    def _keep(self, agreed: int, now_us: int) -> None:
        """Nothing, but a rest begins or a proof is over."""

    def _age(self, agreed: int, now_us: int) -> None:
        unseen_us = now_us - max(self.acted_us, self.seen_us)
        if (kept := aged(agreed, self.terms.start, unseen_us)) < agreed:
            self.whole = kept
            self._acted(now_us)

    def _rise(self, agreed: int, now_us: int) -> None:
        self.before = agreed
        step = FAR_STEP if self.now < FAR else NEAR_STEP
        self.whole = min(self.terms.most, agreed + max(1, agreed // step))
        self.rest_us = REST_US
        self._acted(now_us)

    def _take_back(self, agreed: int, now_us: int) -> None:
        if self.phase is LimitState.RESTING:
            self.rest_us = min(MOST_REST_US, 2 * self.rest_us)
            self.whole = min(agreed, self.before)
        else:
            self._close(now_us)
            self.whole, self.looked_us = self.before, now_us
        self._acted(now_us)

    def _fall(self, agreed: int, now_us: int) -> None:
        self._leave(max(MOST_FALL, min(LEAST_FALL, EASY / self.slow)), agreed, now_us)

    def _halve(self, agreed: int, now_us: int) -> None:
        self._leave(MOST_FALL, agreed, now_us)

    def _leave(self, part: float, agreed: int, now_us: int) -> None:
        self.whole = max(self.terms.least, round(agreed * part))
        self.before = max(self.before, agreed)
        self._acted(now_us)

    def _learn_anew(self, agreed: int, now_us: int) -> None:
        self.late.clear()
        self._close(now_us)
        self.whole = max(agreed, self.before)
        self.rest_us = REST_US
        self._acted(now_us)

    def _dip(self, agreed: int, now_us: int) -> None:
        self._close(now_us)
        self.before = agreed
        self.whole = max(self.terms.least, round(agreed * DIP))
        self._acted(now_us)

    def _follow(self, agreed: int, now_us: int) -> None:
        self.whole = agreed
        self._acted(now_us)


ACTIONS: dict[LimitAction, Callable[[AdaptiveLimit, int, int], None]] = {
    LimitAction.KEEP: AdaptiveLimit._keep,
    LimitAction.AGE: AdaptiveLimit._age,
    LimitAction.RISE: AdaptiveLimit._rise,
    LimitAction.TAKE_BACK: AdaptiveLimit._take_back,
    LimitAction.FALL: AdaptiveLimit._fall,
    LimitAction.HALVE: AdaptiveLimit._halve,
    LimitAction.LEARN_ANEW: AdaptiveLimit._learn_anew,
    LimitAction.DIP: AdaptiveLimit._dip,
    LimitAction.FOLLOW: AdaptiveLimit._follow,
}


def doubt(figures: ObservedLatency) -> float:
    """By what part a median is unsure, by how far the middle half is spread: as of a lognormal."""
    low, high = quantile_us(figures.holds, 0.25), quantile_us(figures.holds, 0.75)
    if not low or not high:
        return 1.0
    return 1.25 * log(high / low) / 1.35 / sqrt(figures.ended)


def aged(whole: int, start: int, age_us: int) -> int:
    """What is left of a number that nothing was seen of for so long; a careful one stays as careful."""
    if whole <= start:
        return whole
    return start + ceil((whole - start) * 2 ** -(age_us / AGE_US))


def part_of(whole: int, parts: Mapping[int, int], shape: int) -> int:
    """How many of the whole joins of one shape may be out: what the others don't need, and at least its share
    by need. So a slow shape never holds all slots while fast ones need some."""
    need = parts.get(shape, 1)
    total = sum(parts.values()) + (0 if shape in parts else need)
    left = whole - (total - need)
    return max(1, min(whole, max(left, whole * need // max(1, total))))
