"""One front's part in all that fronts agree on about who is out: what a book of the core is handed.

After each call: what `keep` gives has to be safe in the folder (where there is one) before what the call gave
is sent; then `acts` says what to do. Times are in microseconds of this front's monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from fennelcove.rollouts import rollout_plan
from fennelcove.rollouts.rollout_controller import RolloutController
from fennelcove.rollouts.leader_election import Register, Role
from fennelcove.rollouts.disruption_permits import (
    PermitRequest,
    Requester,
    Entry,
    PermitState,
    PermitRules,
    RequestState,
    Grantor,
)
from fennelcove.rollouts.disruption_budget import Limits, DisruptionMap, Location
from fennelcove.rollouts.messages import (
    MOST_OPEN,
    Ask,
    Kind,
    Order,
    Phase,
    Record,
    Said,
    Stand,
    Stands,
    Taken,
    Told,
    Voice,
    Vote,
    Word,
)
from fennelcove.rollouts.types import Act, Answer, Command, Do, Memory, Mine, Post, Promise, Terms, Wish

__all__ = [
    "Act",
    "Answer",
    "Command",
    "Do",
    "Memory",
    "Mine",
    "Post",
    "Promise",
    "RolloutAgreement",
    "Terms",
    "Wish",
]

MOST_SENT = 256  # own words whose times are known


@dataclass(slots=True)
class Numbers:
    """The numbers of asks in this life, for all kinds."""

    last: int = 0

    def __iter__(self) -> Iterator[int]:
        return self

    def __next__(self) -> int:
        self.last += 1
        return self.last


class RolloutAgreement:
    """See the module's text."""

    def __init__(
        self,
        terms: Terms,
        limits: Limits,
        fronts: tuple[Location, ...],
        life: int,
        now_us: int,
        memory: Memory | None = None,
    ) -> None:
        self.terms = terms
        self.life = life
        self.halls = {index: place.zone for index, place in enumerate(fronts)}
        self.mine = Mine(Stands.STARTING)
        self.numbers = Numbers()
        told = memory or Memory(sure=False, whole=False)
        rules = {kind: terms.rules(kind, limits) for kind in Kind}
        maps = {Kind.FRONT: DisruptionMap(dict(enumerate(fronts))), Kind.BOX: DisruptionMap({})}
        self.voters = {kind: self._voter(rules[kind], maps[kind], told, now_us) for kind in Kind}
        self.askers = {kind: Requester(rules[kind], life, self.numbers) for kind in Kind}
        voter, front = self.voters[Kind.FRONT], rules[Kind.FRONT]
        self.course = RolloutController(
            terms, front, self.halls, life, told, voter, self._ordered, self._note, now_us
        )
        self.register, self.chair = self.course.register, self.course.chair
        self.number = 0
        self.sent_us: OrderedDict[int, int] = OrderedDict()
        self.doing: list[Act] = []
        self.draw = 0.5
        self.outlived = False  # another process has a later life under this index
        self.comes_as: int | None = None  # the version that this front was last told to come back with
        self.known = self.register.record  # the plan that wants were last compared with
        self.kept: Memory | None = memory
        self.hearers: dict[type, Callable[[int, Any, int], Post]] = {
            Word: self._hear_word,
            Ask: self._hear_ask,
            Vote: self._hear_vote,
            Stand: self.course.hear_stand,
            Voice: self.course.hear_voice,
            Told: self.course.hear_told,
            Taken: self.course.hear_taken,
            Order: self._hear_order,
        }

    def _note(self, text: str) -> None:
        self.doing.append(Act(Do.NOTE, text=text))

    @staticmethod
    def _voter(rules: PermitRules, places: DisruptionMap, told: Memory, now_us: int) -> Grantor:
        entries = {
            one.place: Entry(PermitState.HELD, one.asker, one.life, one.number)
            for one in told.promises
            if one.kind is rules.kind
        }
        entries |= {place: Entry(PermitState.OFF) for kind, place in told.off if kind is rules.kind}
        return Grantor(rules, places, now_us, told.whole, entries)

    # What is sent.

    def beat(self, mine: Mine, now_us: int, draw: float) -> Post:
        """What to tell; called every beat. `draw`: chance, from 0 to below 1."""
        self.mine, self.draw = mine, draw
        self._lapse(now_us)
        post = self._words(now_us)
        for kind in Kind:
            if self.outlived or (kind is Kind.FRONT and mine.stands is not Stands.SERVING):
                continue  # a front that does not serve needs no permit
            ask = self.askers[kind].due(now_us)
            if ask is not None:
                post += self._ask(ask, now_us)
        if not self.outlived:
            post += self.course.beat(mine, now_us, draw)
        self._compare()
        return post

    def _all(self, said: Said) -> Post:
        return [(index, said) for index in self.halls if index != self.terms.index]

    def _words(self, now_us: int) -> Post:
        """A word for each: at each beat, and at once where a voter waits for it."""
        self.number += 1
        self.sent_us[self.number] = now_us
        if len(self.sent_us) > MOST_SENT:
            self.sent_us.popitem(last=False)
        opened = tuple(one for asker in self.askers.values() for one in asker.open())[:MOST_OPEN]
        mine = self.mine
        own = Word(
            self.life,
            self.number,
            stands=mine.stands,
            version=mine.version,
            since_s=mine.since_s,
            asked=mine.asked,
            served=mine.served,
            refused=mine.refused,
            failed=mine.failed,
            level=mine.level,
            storm=mine.storm,
            asks=self.numbers.last,
            term=self.register.record.term,
            turn=self.register.record.turn,
            sure=self.register.sure,
            open=opened,
        )
        for voter in self.voters.values():
            voter.hear_word(self.terms.index, own, now_us, now_us)
        words = self._heard()
        post: Post = []
        for index in self.halls:
            if index != self.terms.index:
                heard = words.get(index)
                known = (heard.life, heard.number) if heard is not None else (0, 0)
                post.append((index, replace(own, heard_life=known[0], heard_number=known[1])))
        return post

    def _heard(self) -> dict[int, Word]:
        return self.voters[Kind.FRONT].words

    def _ask(self, ask: Ask, now_us: int) -> Post:
        post = self._all(ask)
        return post + self._hear_vote(self.terms.index, self._vote(self.terms.index, ask, now_us), now_us)

    def _vote(self, sender: int, ask: Ask, now_us: int) -> Vote:
        stamp, voter = (ask.term, ask.turn), self.voters[ask.kind]
        planned = stamp != (0, 0)
        # Who may have forgotten that a plan is halted lets nobody out by it.
        stale = planned and (not self.register.sure or stamp < self.register.record.stamp)
        return voter.hear_ask(sender, ask, now_us, stale)

    # What is heard.

    def hear(self, sender: int, said: Said, now_us: int) -> Post:
        """Another front says something."""
        if sender not in self.halls or sender == self.terms.index:
            return []
        if self.outlived and not isinstance(said, Word):
            return []  # two voices of one front would make two majorities that know nothing of each other
        post = self.hearers[type(said)](sender, said, now_us)
        self._compare()
        return post

    def _hear_word(self, sender: int, word: Word, now_us: int) -> Post:
        if word.heard_life > self.life and not self.outlived:
            self.outlived = True
            self._note(f"life {word.heard_life} speaks for this front")
        mine = word.heard_life == self.life
        as_of_us = self.sent_us.get(word.heard_number) if mine else None
        for voter in self.voters.values():
            voter.hear_word(sender, word, as_of_us, now_us)
        self.register.hear_word(sender, word, as_of_us, now_us)
        record = self.register.record
        behind = (word.term, word.turn) < record.stamp
        return [(sender, Told(record, word.life))] if behind and as_of_us is not None else []

    def _hear_ask(self, sender: int, ask: Ask, now_us: int) -> Post:
        return [(sender, self._vote(sender, ask, now_us))]

    def _hear_vote(self, sender: int, vote: Vote, now_us: int) -> Post:
        for kind, asker in self.askers.items():
            was = [one.place for one in asker.wanted.values() if one.stage is RequestState.ASKING]
            granted = asker.hear_vote(sender, vote, self.voters[kind], self.draw, now_us)
            if granted is not None:
                do = Do.LEAVE if kind is Kind.FRONT else Do.TAKE_BOX
                self.doing.append(Act(do, kind, granted.place, granted.version))
            if any(asker.wanted[place].stage is not RequestState.ASKING for place in was):
                return self._words(now_us)  # voters wait for this
        return []

    def _hear_order(self, sender: int, order: Order, now_us: int) -> Post:
        stamp = (order.term, order.turn)
        leads = sender == order.term % self.terms.fronts and order.life == self.life
        if not leads or stamp < self.register.record.stamp:
            return []
        self._ordered(order.version, stamp, now_us)
        return []

    def _ordered(self, version: int, stamp: tuple[int, int], now_us: int) -> None:
        here = self.terms.index
        out = self.askers[Kind.FRONT].wanted.get(here)
        if self.mine.stands is Stands.SERVING and (out is None or out.stage is not RequestState.OUT):
            self.comes_as = None
            if self.mine.version != version:
                self.askers[Kind.FRONT].want(here, now_us, version, stamp)
            return
        coming = self.comes_as or (out.version if out is not None else self.mine.version)
        if coming != version:
            # It does not serve: it takes nothing away by going, and coming back needs no permit.
            self.comes_as = version
            self.doing.append(Act(Do.LEAVE, Kind.FRONT, here, version))

    # What operators say.

    def command(self, told: Command, now_us: int) -> tuple[int, Answer, Post]:
        """An operator's word about a plan: its number, for `answer`."""
        number, post = self.course.command(told, now_us)
        self._compare()
        return number, self.course.answer(number), post

    def answer(self, number: int) -> Answer:
        """What became of it; one that is long ago is lost."""
        return self.course.answer(number)

    def want_out(self, version: int, now_us: int) -> Post:
        """An operator wants this front to go out, by hand."""
        self.askers[Kind.FRONT].want(self.terms.index, now_us, version)
        return []

    def want_server(self, cell: int, now_us: int) -> Post:
        """An operator wants a box to go out."""
        self.askers[Kind.BOX].want(cell, now_us)
        return []

    def write_off(self, kind: Kind, place: int, now_us: int) -> None:
        """An operator says that a place is not to be counted until it is seen to serve again."""
        self.voters[kind].write_off(place, now_us)

    def anew(self) -> None:
        """An operator says that nobody knows more of a plan than is known now; one under way is halted."""
        self.chair.follow()
        self.register.anew()

    # What goes out.

    def begin(self, kind: Kind, place: int, now_us: int) -> bool:
        """Whether to go out now, by a permit that is in hand; asked at once before it is done."""
        if self.outlived:
            return False
        if kind is Kind.FRONT and self.mine.stands is not Stands.SERVING:
            return True  # it does not serve anyway
        return self.askers[kind].begin(place, now_us)

    def let_go(self, kind: Kind, place: int, now_us: int) -> Post:
        """The place serves (again): its permit is given up, used or not. Needs nobody's leave."""
        return self._words(now_us) if self.askers[kind].let_go(place, back=True) else []

    def _compare(self) -> None:
        """What is wanted under a plan that is no more so is given up, unless it is out."""
        record = self.register.record
        if record.stamp == self.known.stamp:
            return
        self.known = record
        for kind, asker in self.askers.items():
            for one in list(asker.wanted.values()):
                if self._stale(one, record) and asker.let_go(one.place, back=False):
                    self.doing.append(Act(Do.STAY, kind, one.place))

    def _lapse(self, now_us: int) -> None:
        """A leader that has changed its mind, or is no more, orders no more: what it wanted is given up."""
        asker = self.askers[Kind.FRONT]
        asker.advance(now_us)
        for one in list(asker.wanted.values()):
            over = one.stamp != (0, 0) and now_us >= one.told_us + rollout_plan.LAPSE_US
            if over and one.stage in (RequestState.WANTED, RequestState.ASKING):
                asker.let_go(one.place, back=False)
                self.doing.append(Act(Do.STAY, Kind.FRONT, one.place))

    @staticmethod
    def _stale(one: PermitRequest, record: Record) -> bool:
        if one.stamp == (0, 0) or one.stamp >= record.stamp:
            return False
        return record.phase is not Phase.MOVING or one.version != rollout_plan.target(record)

    # What is seen of boxes.

    def servers_are(self, servers: Mapping[int, Location], now_us: int) -> None:
        """All boxes of the list, by first cell, with loads of now."""
        self.voters[Kind.BOX].advance(now_us)
        self.voters[Kind.BOX].take_map(DisruptionMap(servers))

    def see_server(self, cell: int, serving: bool, as_of_us: int, now_us: int) -> None:
        """A sight of a box: whether it serves, is warm and is not told to drain, as it was at `as_of_us`."""
        self.voters[Kind.BOX].see(cell, serving, as_of_us, now_us)
        if serving:
            self.askers[Kind.BOX].seen_back(cell, as_of_us)

    # What is read.

    def acts(self) -> list[Act]:
        """What to do, since the last call."""
        found, self.doing = self.doing, []
        return found

    def keep(self) -> Memory | None:
        """What the folder has to hold now; None where that has not changed since the last call."""
        books: list[Grantor | Register] = [*self.voters.values(), self.register]
        if not any(book.changed for book in books):
            return None
        for book in books:
            book.changed = False
        memory = Memory(
            self.register.term,
            self.register.record,
            self.register.sure,
            not any(
                e.hold is PermitState.UNKNOWN
                for voter in self.voters.values()
                for e in voter.entries.values()
            ),
            tuple(
                Promise(kind, place, entry.asker, entry.life, entry.number)
                for kind, voter in self.voters.items()
                for place, entry in sorted(voter.entries.items())
                if entry.hold in (PermitState.PROMISED, PermitState.HELD)
            ),
            tuple(
                (kind, place)
                for kind, voter in self.voters.items()
                for place, entry in sorted(voter.entries.items())
                if entry.hold is PermitState.OFF
            ),
        )
        if memory == self.kept:
            return None
        self.kept = memory
        return memory

    def record(self) -> Record:
        """The plan as this front knows it."""
        return self.register.record

    def status(self, now_us: int) -> dict[str, object]:
        """Figures for an operator."""
        record = self.register.record
        out = {
            kind.name.lower(): {
                "dark": sorted(voter.dark(now_us)),
                "held": sorted(voter.held()),
                "off": sorted(
                    place for place, entry in voter.entries.items() if entry.hold is PermitState.OFF
                ),
            }
            for kind, voter in self.voters.items()
        }
        return {
            "fence": record.fence,
            "plan": record.plan.number,
            "phase": record.phase.name.lower(),
            "reason": record.reason.name.lower(),
            "back": record.back,
            "wanted": rollout_plan.target(record),
            "goal": record.goal,
            "leader": record.term % self.terms.fronts if record.term else None,
            "leads": self.chair.seat is Role.LEADS,
            "sure": self.register.sure,
            "outlived": self.outlived,
            "out": out,
            "wants": [
                {"kind": kind.name.lower(), "place": one.place, "stage": one.stage.name.lower()}
                for kind, asker in self.askers.items()
                for one in asker.wanted.values()
            ],
        }
