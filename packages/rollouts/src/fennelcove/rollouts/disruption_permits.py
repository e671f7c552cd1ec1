"""Who may be out: permits that a majority of all fronts grants, one place at a time.

Each front is a voter. For each place it holds what it promised, and a promise is never forgotten by time: it
ends when the place's own word says that the ask is over, when a new life of the place serves, when a box is
seen to serve so late that its ask can't have been meant for later, or when an operator writes it off. While
the asker may still be counting voices, the voter gives no other ask a yes. So permits come one after another,
as if one front gave them all: of two that are granted one was settled at a common voter before the other
was asked for there, and that voter names it in its answer. The asker counts all places that any of its
majority names, its own sights of what is out, and itself; it goes out where that is within the limits.

A majority alone would not do: with a limit of two, three voters can each know of another two of three.

A voter in a new life says no until no ask that it may have forgotten can be counted or begun any more.
Without its folder it then takes each place for promised until a word or sight from after that time says
otherwise.

Times are in microseconds of one front's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from fennelcove.rollouts.disruption_budget import Limit, DisruptionMap
from fennelcove.rollouts.messages import MOST_HELD, Ask, Kind, Open, Stands, Verdict, Vote, Word

DRIFT = 0.05  # by how much two clocks may differ in pace, and a process be held up between look and act
MOST_WANTED = 15  # all asks in hand of both kinds have to fit into a word
MOST_DOUBLINGS = 3  # of the pause between two asks


@dataclass(frozen=True, slots=True)
class PermitRules:
    """The figures of permits for one kind."""

    kind: Kind
    fronts: int
    index: int
    limit: Limit
    window_us: int = 2_000_000  # from an ask, how long voices are counted and the way out may begin
    silent_us: int = 2_000_000  # a place without a sight for so long is out
    show_us: int = 0  # in which a box that was told to drain is seen to drain, by all

    @property
    def majority(self) -> int:
        """How many of all fronts are more than half."""
        return self.fronts // 2 + 1

    @property
    def over_us(self) -> int:
        """So long after its voice a voter knows that the asker counts and begins no more."""
        return round(self.window_us * (1 + DRIFT))


class PermitState(Enum):
    """What a voter holds of a place."""

    FREE = auto()
    PROMISED = auto()  # the asker may be counting voices
    HELD = auto()  # granted, or nobody knows
    UNKNOWN = auto()  # this life does not know what the last one promised
    OFF = auto()  # written off: it counts no more until it is seen to serve


class PermitEvent(Enum):
    """What happens to it."""

    ASKED = auto()  # and the answer is yes
    SETTLED = auto()  # the asker has its majority, or counts no more
    OVER = auto()  # the ask is given up, or the place is back
    SEEN = auto()  # it serves, by a sight from after all that this voter may have promised
    WRITTEN_OFF = auto()


TRANSITIONS: dict[tuple[PermitState, PermitEvent], PermitState] = {
    **{(hold, PermitEvent.ASKED): PermitState.PROMISED for hold in PermitState},
    **{(hold, PermitEvent.WRITTEN_OFF): PermitState.OFF for hold in PermitState},
    (PermitState.PROMISED, PermitEvent.SETTLED): PermitState.HELD,
    (PermitState.PROMISED, PermitEvent.OVER): PermitState.FREE,
    (PermitState.HELD, PermitEvent.OVER): PermitState.FREE,
    (PermitState.HELD, PermitEvent.SEEN): PermitState.FREE,
    (PermitState.UNKNOWN, PermitEvent.SEEN): PermitState.FREE,
    (PermitState.OFF, PermitEvent.SEEN): PermitState.FREE,
}
COUNTED = (PermitState.PROMISED, PermitState.HELD, PermitState.UNKNOWN)


@dataclass(slots=True)
class Entry:
    """A place in a voter's book, and the ask that it is promised to."""

    hold: PermitState
    asker: int = 0
    life: int = 0
    number: int = 0
    since_us: int = 0  # when it was promised, written off, or this life began

    def same(self, asker: int, ask: Ask) -> bool:
        """Whether it is this very ask."""
        return (self.asker, self.life, self.number) == (asker, ask.life, ask.number)


@dataclass(slots=True)
class HealthView:
    """How a place was last seen: not earlier than `as_of_us`."""

    serving: bool
    as_of_us: int


@dataclass(slots=True)
class Grantor:
    """One front's voice, and what it promised. `remembers`: the folder told all of the last life's."""

    rules: PermitRules
    map: DisruptionMap
    now_us: int
    remembers: bool = False
    entries: dict[int, Entry] = field(default_factory=dict)
    sights: dict[int, HealthView] = field(default_factory=dict)
    words: dict[int, Word] = field(default_factory=dict)  # the newest of each front
    wary_until_us: int = 0
    changed: bool = False  # since the folder was told
    _settles_us: int = 0  # when the promise that is not settled is so by time
    _dark: set[int] = field(default_factory=set)
    _dark_until_us: int = 0  # none of the others falls silent before

    def __post_init__(self) -> None:
        self.wary_until_us = self.now_us + self.rules.over_us
        self.entries = {
            place: Entry(entry.hold, entry.asker, entry.life, entry.number, self.now_us)
            for place, entry in self.entries.items()
        }
        self.take_map(self.map)

    def take_map(self, new: DisruptionMap) -> None:
        """The settings or the list name these places."""
        if not self.remembers:
            fresh = new.places.keys() - self.entries.keys() - self.sights.keys()
            # A box that is listed later than this may be new, or one that the last life promised.
            for place in fresh:
                self.entries[place] = Entry(PermitState.UNKNOWN, since_us=self.wary_until_us)
        for place in self.sights.keys() - new.places.keys():
            del self.sights[place]
        self.map = new
        self._dark_until_us = 0

    # What is promised.

    def held(self) -> set[int]:
        """All places that count as promised."""
        return {place for place, entry in self.entries.items() if entry.hold in COUNTED}

    def out(self, now_us: int) -> set[int]:
        """All places that do not serve, as far as this front sees, or may be on their way out."""
        self.advance(now_us)
        return self.held() | self.dark(now_us)

    def dark(self, now_us: int) -> set[int]:
        """All places that do not serve, as far as this front sees; those written off apart."""
        if now_us >= self._dark_until_us:
            silent_us = self.rules.silent_us
            seen = [sight.as_of_us for sight in self.sights.values() if sight.serving]
            fresh = [at_us + silent_us for at_us in seen if now_us < at_us + silent_us]
            self._dark = {place for place in self.map.places if not self._serves(place, now_us)}
            self._dark_until_us = min(fresh, default=now_us + silent_us)
        off = {place for place, entry in self.entries.items() if entry.hold is PermitState.OFF}
        return self._dark - off

    def _serves(self, place: int, now_us: int) -> bool:
        sight = self.sights.get(place)
        return sight is not None and sight.serving and now_us < sight.as_of_us + self.rules.silent_us

    def hear_ask(self, asker: int, ask: Ask, now_us: int, stale: bool = False) -> Vote:
        """A front asks for a permit; `stale`: its plan is no more what this front knows."""
        self.advance(now_us)
        verdict = Verdict.STALE if stale or self._is_over(asker, ask) else self._weigh(asker, ask, now_us)
        if verdict is not Verdict.YES:
            return Vote(ask.life, ask.number, verdict)
        entry = self.entries.get(ask.place)
        if entry is None or not entry.same(asker, ask):
            self._promise(asker, ask, now_us)
        return Vote(ask.life, ask.number, verdict, tuple(sorted(self.held() - {ask.place})))

    def _weigh(self, asker: int, ask: Ask, now_us: int) -> Verdict:
        if now_us < self.wary_until_us:
            return Verdict.WARY
        entry = self.entries.get(ask.place)
        if (
            entry is not None
            and entry.same(asker, ask)
            and entry.hold in (PermitState.PROMISED, PermitState.HELD)
        ):
            return Verdict.YES  # asked twice, or the answer was lost
        if entry is not None and not self._may_replace(asker, ask, entry):
            return Verdict.BUSY
        others = {place for place in self.held() if place != ask.place}
        if any(self.entries[place].hold is PermitState.PROMISED for place in others):
            return Verdict.BUSY
        everyone = others | self.dark(now_us)
        full = len(others) >= MOST_HELD or self.map.past(self.rules.limit, ask.place, everyone) is not None
        return Verdict.FULL if full else Verdict.YES

    def _may_replace(self, asker: int, ask: Ask, entry: Entry) -> bool:
        """Whether what is held of the place is over since this is asked for."""
        if entry.hold in (PermitState.FREE, PermitState.OFF):
            return True
        if self.rules.kind is Kind.FRONT:  # it asks for itself, while it serves, one ask at a time
            return entry.hold is PermitState.UNKNOWN or (entry.life, entry.number) < (ask.life, ask.number)
        # Another front, or another life of this one, may have told the list to drain it a moment ago.
        same = (entry.asker, entry.life) == (asker, ask.life)
        return entry.hold is not PermitState.UNKNOWN and same and entry.number < ask.number

    def _is_over(self, asker: int, ask: Ask) -> bool:
        word = self.words.get(asker)
        if word is None or word.life < ask.life:
            return False
        if word.life > ask.life:
            return True
        return ask.number <= word.asks and not any(one.number == ask.number for one in word.open)

    def _promise(self, asker: int, ask: Ask, now_us: int) -> None:
        self._apply(ask.place, PermitEvent.ASKED)
        entry = self.entries[ask.place]
        entry.asker, entry.life, entry.number, entry.since_us = asker, ask.life, ask.number, now_us
        self._settles_us = now_us + self.rules.over_us  # there is one at a time

    # What is heard and seen.

    def hear_word(self, sender: int, word: Word, as_of_us: int | None, now_us: int) -> None:
        """A front says what it is and holds. `as_of_us`: when what it answers was sent from here; None: it
        answers nothing, or what nobody remembers."""
        known = self.words.get(sender)
        if known is not None and (word.life, word.number) <= (known.life, known.number):
            return
        self.words[sender] = word
        self.advance(now_us)
        for place in [sender] if self.rules.kind is Kind.FRONT else list(self.entries):
            entry = self.entries.get(place)
            if (
                entry is not None
                and entry.asker == sender
                and entry.hold in (PermitState.PROMISED, PermitState.HELD)
            ):
                self._hear_of(place, entry, word)
        if self.rules.kind is Kind.FRONT and as_of_us is not None:
            self.see(sender, word.stands is Stands.SERVING, as_of_us, now_us)

    def _hear_of(self, place: int, entry: Entry, word: Word) -> None:
        front, serves = self.rules.kind is Kind.FRONT, word.stands is Stands.SERVING
        if entry.life < word.life:
            # The life that asked is over. Of a front that is all; a box may have been told to drain by it.
            if front and serves:
                self._apply(place, PermitEvent.OVER)
        elif entry.life == word.life and entry.number <= word.asks:
            mine = [one for one in word.open if one.number == entry.number]
            if not mine:
                if serves or not front:  # one that is out for another reason is not free by what it gives up
                    self._apply(place, PermitEvent.OVER)
            elif mine[0].granted:
                self._apply(place, PermitEvent.SETTLED)

    def see(self, place: int, serving: bool, as_of_us: int, now_us: int) -> None:
        """A place is seen to serve or not, as it was at that time or later. Of fronts their words tell."""
        self.advance(now_us)
        sight = self.sights.get(place)
        if place not in self.map.places or (sight is not None and as_of_us < sight.as_of_us):
            return
        self.sights[place] = HealthView(serving, as_of_us)
        if now_us >= as_of_us + self.rules.silent_us or not serving:
            self._dark.add(place)
        else:
            self._dark.discard(place)
            self._dark_until_us = min(self._dark_until_us, as_of_us + self.rules.silent_us)
        entry = self.entries.get(place)
        if serving and entry is not None and as_of_us >= self._free_from_us(place, entry):
            self._apply(place, PermitEvent.SEEN)

    def _free_from_us(self, place: int, entry: Entry) -> int:
        """From when on a sight of the place serving says that it is not on its way out."""
        show_us = self.rules.show_us
        if entry.hold is PermitState.UNKNOWN:
            word = self.words.get(place)
            front = self.rules.kind is Kind.FRONT
            if front and (word is None or any(one.kind is Kind.FRONT for one in word.open)):
                return 1 << 62
            return max(entry.since_us, self.wary_until_us) + show_us
        if entry.hold is PermitState.HELD:
            # Of a front its own word alone says that an ask is over; a box has none.
            return 1 << 62 if self.rules.kind is Kind.FRONT else entry.since_us + self.rules.over_us + show_us
        return entry.since_us

    def write_off(self, place: int, now_us: int) -> None:
        """An operator says that it is not coming back."""
        self.advance(now_us)
        self._apply(place, PermitEvent.WRITTEN_OFF)
        self.entries[place].since_us = now_us

    def advance(self, now_us: int) -> None:
        """Time passes."""
        self.now_us = max(self.now_us, now_us)
        if self.now_us < self._settles_us:
            return
        for place, entry in list(self.entries.items()):
            if entry.hold is PermitState.PROMISED:
                self._apply(place, PermitEvent.SETTLED)

    def _apply(self, place: int, event: PermitEvent) -> None:
        entry = self.entries.setdefault(place, Entry(PermitState.FREE))
        after = TRANSITIONS.get((entry.hold, event), entry.hold)
        self.changed |= after is not entry.hold or event is PermitEvent.ASKED
        entry.hold = after
        if after is PermitState.FREE:
            del self.entries[place]


class RequestState(Enum):
    """How far an ask is."""

    WANTED = auto()  # not asked, or to be asked again
    ASKING = auto()
    GRANTED = auto()
    OUT = auto()
    GONE = auto()  # over


class RequestEvent(Enum):
    """What moves it on."""

    ASK = auto()
    MAJORITY = auto()
    DENIED = auto()
    TIME = auto()  # the window is over
    BEGIN = auto()
    CALLED_OFF = auto()
    BACK = auto()


REQUEST_TRANSITIONS: dict[tuple[RequestState, RequestEvent], RequestState] = {
    (RequestState.WANTED, RequestEvent.ASK): RequestState.ASKING,
    (RequestState.ASKING, RequestEvent.MAJORITY): RequestState.GRANTED,
    (RequestState.ASKING, RequestEvent.DENIED): RequestState.WANTED,
    (RequestState.ASKING, RequestEvent.TIME): RequestState.WANTED,
    (RequestState.GRANTED, RequestEvent.BEGIN): RequestState.OUT,
    (RequestState.GRANTED, RequestEvent.TIME): RequestState.WANTED,
    **{
        (stage, RequestEvent.CALLED_OFF): RequestState.GONE
        for stage in (RequestState.WANTED, RequestState.ASKING, RequestState.GRANTED)
    },
    **{(stage, RequestEvent.BACK): RequestState.GONE for stage in RequestState},
}
IN_HAND = (RequestState.ASKING, RequestState.GRANTED, RequestState.OUT)


@dataclass(slots=True)
class PermitRequest:
    """A place that this front wants out."""

    place: int
    version: int = 0
    stamp: tuple[int, int] = (0, 0)  # of the plan
    stage: RequestState = RequestState.WANTED
    number: int = 0
    asked_us: int = 0
    next_us: int = 0  # not before
    told_us: int = 0  # when it was last wanted
    tries: int = 0
    yes: set[int] = field(default_factory=set)
    no: dict[int, Verdict] = field(default_factory=dict)
    named: set[int] = field(default_factory=set)  # that the voices for it hold to be promised


@dataclass(slots=True)
class Requester:
    """One front's asks for one kind; one at a time is being counted."""

    rules: PermitRules
    life: int
    numbers: Iterator[int]  # the next number of an ask in this life, for all kinds
    wanted: dict[int, PermitRequest] = field(default_factory=dict)

    def want(self, place: int, now_us: int, version: int = 0, stamp: tuple[int, int] = (0, 0)) -> bool:
        """Have a place out when it may be. False: too many are wanted, or it is under way."""
        known = self.wanted.get(place)
        if known is not None:
            known.told_us = now_us
            if known.stage is RequestState.WANTED:
                known.version, known.stamp = version, stamp
            return known.stage is RequestState.WANTED
        if len(self.wanted) >= MOST_WANTED:
            return False
        self.wanted[place] = PermitRequest(place, version, stamp, next_us=now_us, told_us=now_us)
        return True

    def due(self, now_us: int) -> Ask | None:
        """The ask that is to be sent to all now, if any: a new one, or again the one being counted."""
        self.advance(now_us)
        counting = next((one for one in self.wanted.values() if one.stage is RequestState.ASKING), None)
        if counting is None:
            counting = next(
                (
                    one
                    for one in self.wanted.values()
                    if one.stage is RequestState.WANTED and now_us >= one.next_us
                ),
                None,
            )
            if counting is None:
                return None
            self._turn(counting, RequestEvent.ASK)
            counting.number = next(self.numbers)
            counting.asked_us, counting.yes, counting.no, counting.named = now_us, set(), {}, set()
        return Ask(self.life, counting.number, self.rules.kind, counting.place, *counting.stamp)

    def hear_vote(
        self, sender: int, vote: Vote, seen: Grantor, draw: float, now_us: int
    ) -> PermitRequest | None:
        """A voice has come; the ask that it grants, if it does. `seen`: this front's own book."""
        self.advance(now_us)
        for one in self.wanted.values():
            if one.stage is RequestState.ASKING and (vote.life, vote.number) == (self.life, one.number):
                return self._count(one, sender, vote, seen, draw, now_us)
        return None

    def _count(
        self, one: PermitRequest, sender: int, vote: Vote, seen: Grantor, draw: float, now_us: int
    ) -> PermitRequest | None:
        if vote.verdict is Verdict.YES:
            one.yes.add(sender)
            one.no.pop(sender, None)
            one.named |= set(vote.held)
        elif sender not in one.yes:
            one.no[sender] = vote.verdict
        if len(one.yes) >= self.rules.majority and self._fits(one, seen, now_us):
            self._turn(one, RequestEvent.MAJORITY)
            return one
        full = len(one.yes) >= self.rules.majority
        if full or len(one.no) > self.rules.fronts - self.rules.majority:
            self._later(one, RequestEvent.DENIED, draw, now_us)
        return None

    def _fits(self, one: PermitRequest, seen: Grantor, now_us: int) -> bool:
        return seen.map.past(self.rules.limit, one.place, one.named | seen.out(now_us)) is None

    def _later(self, one: PermitRequest, why: RequestEvent, draw: float, now_us: int) -> None:
        # The number is not used again: voters hear by the next word that it is over.
        self._turn(one, why)
        pause_us = self.rules.window_us // 8 << min(one.tries, MOST_DOUBLINGS)
        one.tries += 1
        one.next_us = now_us + round(pause_us * (0.5 + draw))

    def begin(self, place: int, now_us: int) -> bool:
        """Whether it may go out now; asked directly before it does."""
        self.advance(now_us)
        one = self.wanted.get(place)
        if one is None or one.stage not in (RequestState.GRANTED, RequestState.OUT):
            return False
        self._turn(one, RequestEvent.BEGIN)
        return True

    def let_go(self, place: int, back: bool) -> bool:
        """It serves again, or is not wanted out any more; whether that was so."""
        one = self.wanted.get(place)
        if one is None:
            return False
        self._turn(one, RequestEvent.BACK if back else RequestEvent.CALLED_OFF)
        if one.stage is RequestState.GONE:
            del self.wanted[place]
        return place not in self.wanted

    def seen_back(self, place: int, as_of_us: int) -> None:
        """A box serves, as it was at that time: what is seen before a drain can show says nothing."""
        one = self.wanted.get(place)
        shown_us = self.rules.over_us + self.rules.show_us
        if one is not None and one.stage is RequestState.OUT and as_of_us >= one.asked_us + shown_us:
            self.let_go(place, back=True)

    def advance(self, now_us: int) -> None:
        """Time passes: a window that is over grants nothing, whoever was held up meanwhile."""
        for one in self.wanted.values():
            if (
                one.stage in (RequestState.ASKING, RequestState.GRANTED)
                and now_us >= one.asked_us + self.rules.window_us
            ):
                self._later(one, RequestEvent.TIME, 0.5, now_us)

    def open(self) -> list[Open]:
        """The asks that are not over, for the next word."""
        return [
            Open(
                self.rules.kind, one.place, one.number, one.stage in (RequestState.GRANTED, RequestState.OUT)
            )
            for one in self.wanted.values()
            if one.stage in IN_HAND
        ]

    def _turn(self, one: PermitRequest, turn: RequestEvent) -> None:
        one.stage = REQUEST_TRANSITIONS.get((one.stage, turn), one.stage)
