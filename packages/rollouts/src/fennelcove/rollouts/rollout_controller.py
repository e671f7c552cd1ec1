"""One front's part in leading a plan: it follows, stands, writes or leads, and carries operators' words.

Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from fennelcove.rollouts import rollout_plan
from fennelcove.rollouts.leader_election import LeaderElection, Register, Role
from fennelcove.rollouts.disruption_permits import PermitState, PermitRules, Grantor
from fennelcove.rollouts.rollout_plan import UNDER_WAY, RolloutEvent, FleetSet, RolloutPlan
from fennelcove.rollouts.messages import Order, Reason, Record, Said, Stand, Stands, Taken, Told, Voice
from fennelcove.rollouts.types import Answer, Command, Memory, Mine, Post, Terms, Wish

MOST_ANSWERS = 16
COMMAND_US = 4_000_000  # after which an operator's word that no majority took is called lost
SPREAD_BEATS = 8  # over which those that miss a leader begin to stand
EVENTS = {
    Wish.START: RolloutEvent.START,
    Wish.CHANGE: RolloutEvent.CHANGE,
    Wish.HALT: RolloutEvent.HALT,
    Wish.ON: RolloutEvent.ON,
    Wish.BACK: RolloutEvent.BACK,
}


@dataclass(slots=True)
class PendingCommand:
    """An operator's word on its way."""

    number: int
    told: Command
    since_us: int
    stamp: tuple[int, int] | None = None  # of the record that has it


class RolloutController:
    """See the module's text. `order` tells this front itself that it is its turn, `note` is for the log."""

    def __init__(
        self,
        terms: Terms,
        rules: PermitRules,
        halls: Mapping[int, int],
        life: int,
        told: Memory,
        voter: Grantor,
        order: Callable[[int, tuple[int, int], int], None],
        note: Callable[[str], None],
        now_us: int,
    ) -> None:
        self.terms = terms
        self.halls = halls
        self.life = life
        self.voter = voter
        self.order = order
        self.note = note
        self.register = Register(rules, now_us, told.term, told.record, told.sure)
        self.chair = LeaderElection(rules, life, self.register)
        self.mine = Mine(Stands.STARTING)
        self.draw = 0.5
        self.lead: RolloutPlan | None = None
        self.out_us: dict[int, int] = {}  # since when each that does not serve is so
        self.stand_us: int | None = None  # when this front stands, if no leader is heard until then
        self.pending: PendingCommand | None = None
        self.commands = 0
        self.answers: OrderedDict[int, Answer] = OrderedDict()

    def beat(self, mine: Mine, now_us: int, draw: float) -> Post:
        """What a front that stands, writes or leads has to say at a beat. `draw`: chance."""
        self.mine, self.draw = mine, draw
        dark = self.voter.dark(now_us)
        self.out_us = {index: self.out_us.get(index, now_us) for index in dark}
        self.chair.advance(now_us, self.terms.fronts - len(dark))
        if mine.stands is Stands.LEAVING:
            self.chair.follow()
        self._expire(now_us)
        seat = self.chair.seat
        if seat is not Role.LEADS and seat is not Role.WRITES:
            self.lead = None
        if seat is Role.FOLLOWS:
            return self._follow(now_us)
        if seat is Role.STANDS:
            return self._all(Stand(self.life, self.chair.term))
        if seat is Role.WRITES:
            return self._told(self.chair.writes)
        post = self._told(self.register.record)
        if self.lead is not None:
            post += self._move(self.lead, now_us)
        return post

    def _all(self, said: Said) -> Post:
        return [(index, said) for index in self.halls if index != self.terms.index]

    def _fleet(self, now_us: int) -> FleetSet:
        voter = self.voter
        off = frozenset(place for place, entry in voter.entries.items() if entry.hold is PermitState.OFF)
        dark = frozenset(voter.dark(now_us))
        return FleetSet(self.terms.fronts, self.terms.index, voter.words, dark, off, self.out_us)

    def _follow(self, now_us: int) -> Post:
        missed = now_us >= self.register.told_us + self.terms.silent_us
        wanted = self.register.record.phase in UNDER_WAY and missed
        if self.pending is not None:
            return self._stand(now_us)
        if not wanted or self.mine.stands is not Stands.SERVING:
            self.stand_us = None
            return []
        if self.stand_us is None:
            # All miss it at once: who stands at the same time as another wins nothing.
            self.stand_us = now_us + round(self.draw * SPREAD_BEATS * self.terms.beat_us)
        if now_us < self.stand_us:
            return []
        self.stand_us = None
        return self._stand(now_us)

    def _stand(self, now_us: int) -> Post:
        stand = self.chair.stand(now_us)
        if stand is None:
            return []
        voice = self.register.hear_stand(stand, now_us)
        return self._all(stand) + self.hear_voice(self.terms.index, voice, now_us)

    def _told(self, record: Record) -> Post:
        """For each of the others whose life is known."""
        words, here = self.voter.words, self.terms.index
        return [(index, Told(record, word.life)) for index, word in words.items() if index != here]

    def _tell(self, record: Record, now_us: int) -> Post:
        post = self._told(record)
        taken = self.register.hear_told(record, now_us)
        return post + (self.hear_taken(self.terms.index, taken, now_us) if taken is not None else [])

    def _agreed(self, now_us: int) -> Post:
        """A majority has taken what this front wrote."""
        record = self.chair.writes
        self.note(f"plan {record.plan.number} {record.phase.name.lower()}")
        if self.lead is None:
            self.lead = RolloutPlan(record, self.halls, now_us)
        else:
            self.lead.goes_on(record, now_us)
        pending = self.pending
        if pending is not None and pending.stamp == record.stamp:
            self._answered(pending, Answer.DONE)
        return self._apply(now_us)

    def _move(self, lead: RolloutPlan, now_us: int) -> Post:
        fleet = self._fleet(now_us)
        found = lead.apply(fleet, now_us)
        if found is not None:
            have = len(fleet.have(rollout_plan.target(lead.record)))
            record = rollout_plan.after(lead.record, found[0], have, why=found[1])
            written = self.chair.write(record, now_us) if record is not None else None
            return self._tell(written, now_us) if written is not None else []
        record, version = lead.record, rollout_plan.target(lead.record)
        going = lead.orders(fleet, now_us)
        if self.terms.index in going:
            self.order(version, record.stamp, now_us)
        lives = {index: fleet.words[index].life for index in going if index != self.terms.index}
        return [(index, Order(life, record.term, record.turn, version)) for index, life in lives.items()]

    # What operators say.

    def command(self, told: Command, now_us: int) -> tuple[int, Post]:
        """An operator's word about a plan: its number, for `answer`."""
        self.commands += 1
        number = self.commands
        ready = self.register.ready(now_us) and self.mine.stands is not Stands.LEAVING
        if self.pending is not None or not ready:
            self._answer(number, Answer.BUSY)
            return number, []
        self.pending = PendingCommand(number, told, now_us)
        self._answer(number, Answer.PENDING)
        post = self._apply(now_us) if self.chair.seat is Role.LEADS else self._stand(now_us)
        return number, post

    def _apply(self, now_us: int) -> Post:
        pending, chair = self.pending, self.chair
        if pending is None or pending.stamp is not None or chair.seat is not Role.LEADS:
            return []
        record, told = chair.writes, pending.told
        if told.fence != record.fence:
            self._answered(pending, Answer.STALE)
            return []
        plan = told.plan if told.plan is not None else record.plan
        version = plan.before if told.wish is Wish.BACK or record.back else plan.wanted
        have = len(self._fleet(now_us).have(version))
        reason = Reason.OPERATOR if told.wish in (Wish.HALT, Wish.CHANGE) else Reason.NONE
        now = rollout_plan.after(record, EVENTS[told.wish], have, told.plan, reason)
        written = chair.write(now, now_us) if now is not None else None
        if written is None:
            self._answered(pending, Answer.WRONG)
            return []
        pending.stamp = written.stamp
        return self._tell(written, now_us)

    def _expire(self, now_us: int) -> None:
        if self.pending is not None and now_us >= self.pending.since_us + COMMAND_US:
            self._answered(self.pending, Answer.LOST)

    def _answered(self, pending: PendingCommand, answer: Answer) -> None:
        self._answer(pending.number, answer)
        self.pending = None

    def _answer(self, number: int, answer: Answer) -> None:
        self.answers[number] = answer
        if len(self.answers) > MOST_ANSWERS:
            self.answers.popitem(last=False)

    def answer(self, number: int) -> Answer:
        """What became of it; one that is long ago is lost."""
        return self.answers.get(number, Answer.LOST)

    def hear_stand(self, sender: int, stand: Stand, now_us: int) -> Post:
        return [(sender, self.register.hear_stand(stand, now_us))]

    def hear_voice(self, sender: int, voice: Voice, now_us: int) -> Post:
        record = self.chair.hear_voice(sender, voice, now_us)
        return self._tell(record, now_us) if record is not None else []

    def hear_told(self, sender: int, told: Told, now_us: int) -> Post:
        if told.life != self.life:
            return []
        taken = self.register.hear_told(told.record, now_us)
        return [(sender, taken)] if taken is not None else []

    def hear_taken(self, sender: int, taken: Taken, now_us: int) -> Post:
        return self._agreed(now_us) if self.chair.hear_taken(sender, taken, now_us) else []
