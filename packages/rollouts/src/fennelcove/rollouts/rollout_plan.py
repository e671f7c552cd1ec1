"""A plan, step by step: what becomes of it by what happens, and whose turn it is to go out.

A plan moves in steps: some fronts as canaries, then waves. After each step forth it soaks. It is halted by an
operator or by evidence, and only an operator moves it again, on or back. On the way back the newest go first
and nothing soaks. Nothing here is sent; who leads is `leading`, who may be out is `permits`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from zlib import crc32

from fennelcove.rollouts.canary_analysis import CanaryAnalysis
from fennelcove.rollouts.messages import Kind, Phase, Plan, Reason, Record, Stands, Word

ORDER_US = 4_000_000  # after which one that was ordered and has not got out lets another go first
LAPSE_US = 2_000_000  # for which a front asks on after its last order
QUIET_US = 4_500_000  # in which what another leader ordered, or this one before, has lapsed and been counted


class RolloutEvent(Enum):
    """What happens to a plan."""

    START = auto()
    CHANGE = auto()
    HALT = auto()
    ON = auto()
    BACK = auto()
    STEPPED = auto()  # as many as this step was for have what they are to have
    SOAKED = auto()
    ENDED = auto()  # all have it
    CAUSE = auto()  # evidence


class RolloutDecision(Enum):
    """What follows of it."""

    NOTHING = auto()
    STEP = auto()  # the next step is reckoned
    ANEW = auto()  # another plan, with its first step
    TURN_BACK = auto()
    REPLACE = auto()  # another plan, halted


UNDER_WAY = (Phase.MOVING, Phase.SOAKING)
OVER = (Phase.NONE, Phase.DONE, Phase.UNDONE)
TRANSITIONS: dict[tuple[Phase, bool, RolloutEvent], tuple[Phase, RolloutDecision]] = {
    # (phase, on the way back, cue). What stands in no row is refused.
    **{
        (phase, back, RolloutEvent.START): (Phase.MOVING, RolloutDecision.ANEW)
        for phase in OVER
        for back in (False, True)
    },
    **{
        (phase, False, RolloutEvent.CHANGE): (Phase.HALTED, RolloutDecision.REPLACE)
        for phase in (*UNDER_WAY, Phase.HALTED)
    },
    **{
        (phase, back, event): (Phase.HALTED, RolloutDecision.NOTHING)
        for phase in UNDER_WAY
        for back in (False, True)
        for event in (RolloutEvent.HALT, RolloutEvent.CAUSE)
    },
    **{
        (Phase.HALTED, back, RolloutEvent.ON): (Phase.MOVING, RolloutDecision.NOTHING)
        for back in (False, True)
    },
    **{
        (phase, False, RolloutEvent.BACK): (Phase.MOVING, RolloutDecision.TURN_BACK)
        for phase in (*UNDER_WAY, Phase.HALTED, Phase.DONE)
    },
    (Phase.MOVING, False, RolloutEvent.STEPPED): (Phase.SOAKING, RolloutDecision.NOTHING),
    (Phase.MOVING, True, RolloutEvent.STEPPED): (Phase.MOVING, RolloutDecision.STEP),
    (Phase.SOAKING, False, RolloutEvent.SOAKED): (Phase.MOVING, RolloutDecision.STEP),
    (Phase.SOAKING, False, RolloutEvent.ENDED): (Phase.DONE, RolloutDecision.NOTHING),
    (Phase.MOVING, True, RolloutEvent.ENDED): (Phase.UNDONE, RolloutDecision.NOTHING),
}
FENCED = (
    RolloutEvent.START,
    RolloutEvent.CHANGE,
    RolloutEvent.HALT,
    RolloutEvent.ON,
    RolloutEvent.BACK,
    RolloutEvent.CAUSE,
)


def after(
    record: Record, event: RolloutEvent, have: int, plan: Plan | None = None, why: Reason = Reason.NONE
) -> Record | None:
    """What a record becomes; None where the table has no such row. `have`: fronts that have what they are to
    have by `record`, or by `plan` where that is another."""
    row = TRANSITIONS.get((record.phase, record.back, event))
    if row is None or (plan is None) is not (event not in (RolloutEvent.START, RolloutEvent.CHANGE)):
        return None
    if plan is not None and (min(plan.canary, plan.wave, plan.wanted) < 1 or plan.wanted == plan.before):
        return None  # it would take nobody out, for ever
    phase, then = row
    fence = record.fence + (event in FENCED)
    now = replace(record, phase=phase, reason=why, fence=fence)
    if then is RolloutDecision.STEP:
        return replace(now, goal=have + now.plan.wave)
    if then is RolloutDecision.TURN_BACK:
        return replace(now, back=True, goal=have + now.plan.wave)
    if plan is not None:
        first = replace(plan, number=record.plan.number + 1)
        return replace(now, plan=first, back=False, goal=have + first.canary)
    return now


def target(record: Record) -> int:
    """The version that fronts are to have."""
    return record.plan.before if record.back else record.plan.wanted


@dataclass(frozen=True, slots=True)
class FleetSet:
    """What a leader sees of all fronts at one moment."""

    size: int
    index: int  # the leader's own
    words: Mapping[int, Word]  # the newest of each front, its own too
    dark: frozenset[int]  # that don't serve; those written off apart
    off: frozenset[int]
    out_us: Mapping[int, int]  # since when each that is dark is so

    def have(self, version: int) -> list[int]:
        """Those that serve with a version."""
        return [i for i, word in self.words.items() if self._counts(i) and word.version == version]

    def lack(self, version: int) -> list[int]:
        """Those that serve with another."""
        return [i for i, word in self.words.items() if self._counts(i) and word.version != version]

    def _counts(self, index: int) -> bool:
        return index not in self.dark and index not in self.off

    @property
    def counted(self) -> int:
        """How many fronts there are to be."""
        return self.size - len(self.off)


@dataclass(slots=True)
class RolloutPlan:
    """What a front that leads does for one state of a plan: whom it orders out, and what it finds."""

    record: Record
    halls: Mapping[int, int]
    began_us: int  # when a majority had taken the record
    judge: CanaryAnalysis = field(init=False)
    ordered: dict[int, int] = field(default_factory=dict)  # the life in which each was ordered
    left: set[int] = field(default_factory=set)  # those of them that were seen on their way out
    first_us: dict[int, int] = field(default_factory=dict)  # when the one whose turn it is was first ordered
    waits: list[int] = field(default_factory=list)  # who has not got out in time, longest ago first
    quiet_us: int = 0  # until then nobody is ordered: two that ask at once may both go, past the step

    def __post_init__(self) -> None:
        self.judge = CanaryAnalysis(self.halls, self.began_us)
        self.quiet_us = self.began_us + QUIET_US

    def goes_on(self, record: Record, now_us: int) -> None:
        """Another state of the plan is agreed."""
        same = (record.plan.number, record.back) == (self.record.plan.number, self.record.back)
        if not same or record.phase not in UNDER_WAY:
            self.judge = CanaryAnalysis(self.halls, now_us)
            self.ordered.clear()
            self.left.clear()
        if record.phase is not self.record.phase:
            self.first_us.clear()
            self.waits.clear()
        self.record, self.began_us = record, now_us

    def apply(self, fleet: FleetSet, now_us: int) -> tuple[RolloutEvent, Reason] | None:
        """What has happened by what is seen now."""
        record = self.record
        if record.phase not in UNDER_WAY:
            return None
        why = self._cause(fleet, now_us)
        if why is not Reason.NONE:
            return RolloutEvent.CAUSE, why
        have = len(fleet.have(target(record)))
        if record.phase is Phase.MOVING:
            everyone = have >= fleet.counted
            if record.back and everyone:
                return RolloutEvent.ENDED, Reason.NONE
            return (RolloutEvent.STEPPED, Reason.NONE) if everyone or have >= record.goal else None
        if now_us < self.began_us + record.plan.soak_ms * 1000:
            return None
        return (RolloutEvent.ENDED if have >= fleet.counted else RolloutEvent.SOAKED), Reason.NONE

    def _cause(self, fleet: FleetSet, now_us: int) -> Reason:
        record = self.record
        for index, life in self.ordered.items():
            word = fleet.words.get(index)
            if word is None or (word.life == life and not self._goes(word)):
                continue
            if word.life == life:
                self.left.add(index)
            # One that crashed before it went comes back as it was, and is no cause.
            elif index in self.left and word.stands is Stands.SERVING and word.version != target(record):
                return Reason.WRONG
        since = [
            max(at_us, self.began_us) if record.back else at_us
            for index, at_us in fleet.out_us.items()
            # On the way back those that never came up with the new version are no cause to stop it.
            if index in fleet.dark and (not record.back or index in self.ordered)
        ]
        if since and now_us - min(since) > record.plan.out_ms * 1000:
            return Reason.OUT_LONG
        if record.back:
            return Reason.NONE
        serving = {i: word for i, word in fleet.words.items() if i not in fleet.dark}
        return self.judge.look(serving, record.plan, now_us)

    @staticmethod
    def _goes(word: Word) -> bool:
        """Whether a front is on its way out."""
        permit = any(one.kind is Kind.FRONT and one.granted for one in word.open)
        return permit or word.stands is Stands.LEAVING

    def orders(self, fleet: FleetSet, now_us: int) -> list[int]:
        """Whom to tell now that it is its turn: one that serves, at a time, so that their asks for permits
        don't meet; on the way back also all that don't serve and still speak."""
        record = self.record
        if record.phase is not Phase.MOVING:
            return []
        version = target(record)
        have = fleet.have(version)
        many = record.goal - len(have) - len(fleet.dark - fleet.off)
        going = self._first(fleet, version, many, now_us)
        if record.back:
            speak = [i for i in fleet.dark if i in fleet.words and fleet.words[i].version != version]
            going += [i for i in speak if fleet.words[i].stands is not Stands.SERVING]
        for index in going:
            self.ordered.setdefault(index, fleet.words[index].life)
        return going

    def _first(self, fleet: FleetSet, version: int, many: int, now_us: int) -> list[int]:
        lack = self._sorted(fleet, version)
        # One that has its permit and still serves is on its way.
        away = [i for i in lack if self._goes(fleet.words[i])]
        left = [i for i in lack if i not in away]
        if many <= len(away) or not left or now_us < self.quiet_us:
            return []
        first = left[0]
        if now_us > self.first_us.setdefault(first, now_us) + ORDER_US:
            # Its hall may be full, or its path bad: the others need not wait for that.
            self.first_us.pop(first)
            self.waits = [i for i in self.waits if i != first] + [first]
            self.quiet_us = now_us + QUIET_US
            return []
        return [first]

    def _sorted(self, fleet: FleetSet, version: int) -> list[int]:
        number = self.record.plan.number

        def rank(index: int) -> tuple[int, bool, int]:
            # Who leads goes last: another has to carry the plan on then.
            late = self.waits.index(index) + 1 if index in self.waits else 0
            newest = fleet.words[index].since_s
            rng = crc32(f"{number}/{index}".encode())
            return late, index == fleet.index, newest if self.record.back else rng

        return sorted(fleet.lack(version), key=rank)
