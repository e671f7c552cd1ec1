"""Who leads a plan, and the one record of it that all fronts share.

Any front may stand: a majority that knows of no later term gives it its voices, each with the newest record
that it took. What the new leader reads there is at least as new as anything that a majority ever took; it
writes that again under its own term before it does anything. A record counts when a majority has taken it.
Terms are no two fronts' own, so none is led twice. A leader that no majority hears any more, or that finds a
later term, follows.

A front in a new life answers nothing until whatever its last life may have answered can't be counted any
more. Without its folder it does not know what it took: it gives no voice before so many others, who do know,
have told it theirs that any majority has one of them. Where too many forgot at once, nothing moves until an
operator says so.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, auto

from fennelcove.rollouts.disruption_permits import PermitRules
from fennelcove.rollouts.messages import Phase, Reason, Record, Stand, Taken, Voice, Word

MOVING = (Phase.MOVING, Phase.SOAKING)


@dataclass(slots=True)
class Register:
    """What one front took, and its voice. `remembers`: the folder told what the last life took."""

    rules: PermitRules
    now_us: int
    term: int = 0  # the highest that it gave its voice to, or took a record of
    record: Record = field(default_factory=Record)
    sure: bool = False
    wary_until_us: int = 0
    told_us: int = 0  # when the leader was last heard
    knowing: set[int] = field(default_factory=set)  # others that know, and told nothing newer
    blank: set[int] = field(default_factory=set)  # others that know of nothing
    changed: bool = False

    def __post_init__(self) -> None:
        self.wary_until_us = self.now_us + self.rules.over_us
        self.told_us = self.now_us

    def ready(self, now_us: int) -> bool:
        """Whether it may answer."""
        return self.sure and now_us >= self.wary_until_us

    def hear_stand(self, stand: Stand, now_us: int) -> Voice:
        """A front wants to lead."""
        yes = self.ready(now_us) and stand.term > self.term
        if yes:
            self.term, self.changed = stand.term, True
            self.told_us = now_us  # it gets the time that a leader has
        return Voice(stand.life, stand.term, yes, self.sure, self.record)

    def hear_told(self, record: Record, now_us: int) -> Taken | None:
        """A record is told, and meant for this life."""
        if record.stamp < self.record.stamp:
            return None
        self._learn(record)
        # Who forgot may be told what was over long ago, and who gave its voice to a later term has told what
        # it knew: that they know more now is good, but it is not counted.
        if record.term < self.term or not self.ready(now_us):
            return None
        self.told_us = now_us
        return Taken(record.term, record.turn)

    def hear_word(self, sender: int, word: Word, as_of_us: int | None, now_us: int) -> None:
        """Another front says what it took. `as_of_us`: when what it answers was sent from here."""
        if self.sure or as_of_us is None or as_of_us < self.wary_until_us:
            return
        stamp = (word.term, word.turn)
        known = self.knowing if word.sure else self.blank
        if stamp <= self.record.stamp and (word.sure or stamp == (0, 0)):
            known.add(sender)
        # More than all but a majority: whoever took the last agreed record, one of them is among these.
        enough = len(self.knowing) > self.rules.fronts - self.rules.majority
        nobody = len(self.knowing | self.blank) == self.rules.fronts - 1 and self.record.stamp == (0, 0)
        if enough or nobody:
            self.sure = self.changed = True

    def anew(self) -> None:
        """An operator says that what is known is all there is; a plan under way is halted by it, also where
        it is known well: those who halted it may be the ones that forgot."""
        self.sure = self.changed = True
        if self.record.phase in MOVING:
            self.record = replace(self.record, phase=Phase.HALTED, reason=Reason.FORGOTTEN)

    def _learn(self, record: Record) -> None:
        if record.stamp > self.record.stamp:
            self.record, self.term, self.changed = record, max(self.term, record.term), True
            self.knowing.clear()


class Role(Enum):
    """How a front stands to the plan."""

    FOLLOWS = auto()
    STANDS = auto()
    WRITES = auto()  # it has the voices; its record is not taken by a majority yet
    LEADS = auto()


class ElectionEvent(Enum):
    """What moves it."""

    STAND = auto()
    MAJORITY = auto()
    WRITE = auto()
    TIME = auto()  # the window is over without a majority
    ALONE = auto()  # no majority is heard
    OUTBID = auto()  # there is a later term


TRANSITIONS: dict[tuple[Role, ElectionEvent], Role] = {
    (Role.FOLLOWS, ElectionEvent.STAND): Role.STANDS,
    (Role.STANDS, ElectionEvent.MAJORITY): Role.WRITES,
    (Role.WRITES, ElectionEvent.MAJORITY): Role.LEADS,
    (Role.LEADS, ElectionEvent.WRITE): Role.WRITES,
    **{(seat, ElectionEvent.TIME): Role.FOLLOWS for seat in (Role.STANDS, Role.WRITES)},
    **{(seat, ElectionEvent.OUTBID): Role.FOLLOWS for seat in (Role.STANDS, Role.WRITES, Role.LEADS)},
    **{(seat, ElectionEvent.ALONE): Role.FOLLOWS for seat in (Role.STANDS, Role.WRITES, Role.LEADS)},
}


@dataclass(slots=True)
class LeaderElection:
    """One front that stands, writes and leads. `register` is its own."""

    rules: PermitRules
    life: int
    register: Register
    seat: Role = Role.FOLLOWS
    term: int = 0
    since_us: int = 0  # of the stand or the writing
    heard: set[int] = field(default_factory=set)  # who gave a voice, or took what was written
    best: Record = field(default_factory=Record)
    writes: Record = field(default_factory=Record)

    def stand(self, now_us: int) -> Stand | None:
        """Ask all for their voices, this front's own register too; None where it can't now."""
        if self.seat is not Role.FOLLOWS or not self.register.ready(now_us):
            return None
        fronts = self.rules.fronts
        self.term = (self.register.term // fronts + 1) * fronts + self.rules.index
        self._apply(ElectionEvent.STAND)
        self.since_us, self.heard, self.best = now_us, set(), Record()
        return Stand(self.life, self.term)

    def hear_voice(self, sender: int, voice: Voice, now_us: int) -> Record | None:
        """A voice has come; the record that is to be told to all, where it makes a majority."""
        self.advance(now_us)
        if self.seat is not Role.STANDS or (voice.life, voice.term) != (self.life, self.term):
            return None
        if not voice.yes:
            return None
        self.heard.add(sender)
        halted = voice.record.phase is Phase.HALTED and voice.record.stamp == self.best.stamp
        if voice.record.stamp > self.best.stamp or halted:  # two of one stamp: an operator's `anew`
            self.best = voice.record
        if len(self.heard) < self.rules.majority:
            return None
        self._apply(ElectionEvent.MAJORITY)
        return self._tell(replace(self.best, term=self.term, turn=self.best.turn + 1), now_us)

    def write(self, record: Record, now_us: int) -> Record | None:
        """Change what is agreed; what is to be told to all. None where this front does not lead."""
        self.advance(now_us)
        if self.seat is not Role.LEADS:
            return None
        self._apply(ElectionEvent.WRITE)
        return self._tell(replace(record, term=self.term, turn=self.writes.turn + 1), now_us)

    def _tell(self, record: Record, now_us: int) -> Record:
        self.since_us, self.heard, self.writes = now_us, set(), record
        return record

    def hear_taken(self, sender: int, taken: Taken, now_us: int) -> bool:
        """A front took a record; whether a majority now has, for the first time."""
        self.advance(now_us)
        if self.seat is not Role.WRITES or (taken.term, taken.turn) != self.writes.stamp:
            return False
        self.heard.add(sender)
        if len(self.heard) < self.rules.majority:
            return False
        self._apply(ElectionEvent.MAJORITY)
        return True

    def advance(self, now_us: int, hears: int | None = None) -> None:
        """Time passes. `hears`: how many fronts serve by what this one sees, itself among them."""
        if self.register.term > self.term:
            self._apply(ElectionEvent.OUTBID)
        if self.seat in (Role.STANDS, Role.WRITES) and now_us >= self.since_us + self.rules.window_us:
            self._apply(ElectionEvent.TIME)
        if hears is not None and hears < self.rules.majority:
            self._apply(ElectionEvent.ALONE)

    def follow(self) -> None:
        """This front goes out, or can't lead for another reason."""
        self._apply(ElectionEvent.ALONE)

    def _apply(self, event: ElectionEvent) -> None:
        self.seat = TRANSITIONS.get((self.seat, event), self.seat)
