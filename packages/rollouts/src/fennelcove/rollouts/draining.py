"""How one front or one box goes out, once it may.

From its begin it takes no new set-ups: each is answered at once, with a time and a place to come back. Those
who are here are told to go one after another, spread over a stated time and over the room that others tell
of, each of those getting no more a second than it has room for. Who is still here at the stated end is ended.
Requests that were in hand at the begin go on, and are answered before their client timeout at the latest.
Times are in microseconds, rooms in set-ups a second.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

RETRY_US = 500_000
MOST_ANSWERED = 8192


class DrainState(Enum):
    """How far it is."""

    OPEN = auto()
    CLOSING = auto()  # some have not been told
    EMPTYING = auto()  # all have been told, some are here
    EMPTY = auto()


class DrainEvent(Enum):
    """What moves it on."""

    BEGIN = auto()
    ALL_TOLD = auto()
    SOME_LEFT = auto()  # one that was told could not go
    LAST_GONE = auto()
    CALLED_OFF = auto()


TRANSITIONS: dict[tuple[DrainState, DrainEvent], DrainState] = {
    (DrainState.OPEN, DrainEvent.BEGIN): DrainState.CLOSING,
    (DrainState.CLOSING, DrainEvent.ALL_TOLD): DrainState.EMPTYING,
    (DrainState.EMPTYING, DrainEvent.SOME_LEFT): DrainState.CLOSING,
    (DrainState.CLOSING, DrainEvent.LAST_GONE): DrainState.EMPTY,
    (DrainState.EMPTYING, DrainEvent.LAST_GONE): DrainState.EMPTY,
    **{(stage, DrainEvent.CALLED_OFF): DrainState.OPEN for stage in DrainState},
}


class Stay(Enum):
    """How one that is here stands."""

    HERE = auto()
    TOLD = auto()  # to go, or its move is under way
    GONE = auto()  # of its own, moved, or ended


class StayEvent(Enum):
    """What happens to it."""

    TOLD = auto()
    FAILED = auto()
    WENT = auto()
    END = auto()  # the stated time is over


class DrainAction(Enum):
    """What is to be done with it."""

    NOTHING = auto()
    TELL = auto()  # to come back elsewhere: of a front
    MOVE = auto()  # of a box
    END = auto()
    ANSWER = auto()  # a request in hand: refuse it now


STAY_TRANSITIONS: dict[tuple[Stay, StayEvent], tuple[Stay, DrainAction]] = {
    (Stay.HERE, StayEvent.TOLD): (Stay.TOLD, DrainAction.TELL),
    (Stay.HERE, StayEvent.WENT): (Stay.GONE, DrainAction.NOTHING),
    (Stay.HERE, StayEvent.END): (Stay.GONE, DrainAction.END),
    (Stay.TOLD, StayEvent.FAILED): (Stay.HERE, DrainAction.NOTHING),
    (Stay.TOLD, StayEvent.WENT): (Stay.GONE, DrainAction.NOTHING),
    (Stay.TOLD, StayEvent.END): (Stay.GONE, DrainAction.END),
}


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """The figures of one leaving."""

    spread_us: int = 10_000_000  # over which those here are told to go
    end_us: int = 30_000_000  # after the begin: who is here then is ended
    answer_us: int = 200_000  # before its client timeout, when a request in hand is answered at the latest


@dataclass(frozen=True, slots=True)
class DrainStep:
    """One thing to do, once."""

    id: str
    act: DrainAction
    to: int | None = None  # who has room
    after_us: int = 0  # when to come back


@dataclass(frozen=True, slots=True)
class DrainReply:
    """What a new set-up is answered, at once."""

    after_us: int
    to: int | None


@dataclass(slots=True)
class AvailableCapacity:
    """What others have room for: each is given no more a second than that."""

    free_us: dict[int, int] = field(default_factory=dict)  # when each can take the next
    gap_us: dict[int, int] = field(default_factory=dict)

    def take(self, rooms: Mapping[int, float], now_us: int) -> None:
        """What others tell of now."""
        self.gap_us = {to: round(1e6 / room) for to, room in rooms.items() if room > 0}
        self.free_us = {to: self.free_us.get(to, now_us) for to in self.gap_us}

    def next(self, now_us: int) -> tuple[int | None, int]:
        """Who has room first, and when; nobody for want of any."""
        if not self.free_us:
            return None, now_us
        to = min(self.free_us, key=lambda other: (max(now_us, self.free_us[other]), other))
        return to, max(now_us, self.free_us[to])

    def give(self, to: int, at_us: int) -> None:
        """One more goes there."""
        self.free_us[to] = at_us + self.gap_us[to]


@dataclass(slots=True)
class Draining:
    """One front or box that goes out. The caller hands in times and chance and carries out the steps."""

    times: DrainTimes
    moves: bool = False  # a box: what plays there is moved, not told to come back
    stage: DrainState = DrainState.OPEN
    begun_us: int = 0
    rooms: AvailableCapacity = field(default_factory=AvailableCapacity)
    here: dict[str, Stay] = field(default_factory=dict)  # who has not gone
    queue: OrderedDict[str, int] = field(default_factory=OrderedDict)  # not told yet, and when each may be
    waiting: dict[str, int] = field(default_factory=dict)  # requests in hand, and their client timeouts
    done: OrderedDict[str, None] = field(default_factory=OrderedDict)  # requests answered
    ended: int = 0

    def begin(self, held: Sequence[str], rooms: Mapping[int, float], now_us: int, draw: float) -> None:
        """Go out: `held` in the order in which they are to go. `draw`: chance, from 0 to below 1."""
        if self.stage is not DrainState.OPEN:
            return
        self._apply(DrainEvent.BEGIN)
        self.begun_us = now_us
        self.rooms_are(rooms, now_us)
        gap_us = self.times.spread_us / max(1, len(held))
        self.here = dict.fromkeys(held, Stay.HERE)
        self.queue = OrderedDict((id, now_us + round((at + draw) * gap_us)) for at, id in enumerate(held))
        self._look()

    def rooms_are(self, rooms: Mapping[int, float], now_us: int) -> None:
        """What others tell of has changed."""
        self.rooms.take(rooms, now_us)

    # Requests.

    def asked(self, id: str, now_us: int) -> DrainReply | None:
        """A set-up has come: what it is answered at once; None while this is open, or where it has been
        answered before."""
        if self.stage is DrainState.OPEN or not self._answers(id):
            return None
        to, at_us = self.rooms.next(now_us)
        if to is None:
            return DrainReply(self.times.spread_us, None)
        self.rooms.give(to, at_us)
        return DrainReply(at_us - now_us, to)

    def waits(self, id: str, until_us: int) -> None:
        """A request that is in hand, and its client timeout."""
        if id not in self.done:
            self.waiting[id] = until_us

    def answered(self, id: str) -> bool:
        """Its answer is there: whether it may be sent, which is so once."""
        self.waiting.pop(id, None)
        return self._answers(id)

    def _answers(self, id: str) -> bool:
        if id in self.done:
            return False
        self.done[id] = None
        if len(self.done) > MOST_ANSWERED:
            self.done.popitem(last=False)
        return True

    # Those who are here.

    def due(self, now_us: int) -> list[DrainStep]:
        """What is to be done now."""
        steps = [
            DrainStep(id, DrainAction.ANSWER, after_us=self.times.spread_us)
            for id, until_us in list(self.waiting.items())
            if now_us >= until_us - self.times.answer_us and self.answered(id)
        ]
        if self.stage in (DrainState.CLOSING, DrainState.EMPTYING):
            over = now_us >= self.begun_us + self.times.end_us
            steps += self._end(now_us) if over else self._tell(now_us)
            self._look()
        return steps

    def _tell(self, now_us: int) -> list[DrainStep]:
        steps = []
        for id, at_us in list(self.queue.items()):
            to, free_us = self.rooms.next(now_us)
            if at_us > now_us or to is None or free_us > now_us:
                break  # the queue is in order of time, and nobody has room before that
            del self.queue[id]
            self.rooms.give(to, now_us)
            steps += self._turn(id, StayEvent.TOLD, to)
        return steps

    def _end(self, now_us: int) -> list[DrainStep]:
        """Who is left is ended, with a time to come back by the room that there is."""
        steps: list[DrainStep] = []
        self.queue.clear()
        for id in list(self.here):
            to, at_us = self.rooms.next(now_us)
            if to is not None:
                self.rooms.give(to, at_us)
            steps += self._turn(id, StayEvent.END, to, at_us - now_us)
        self.ended += len(steps)
        return steps

    def gone(self, id: str) -> None:
        """It is here no more."""
        self._turn(id, StayEvent.WENT)
        self.queue.pop(id, None)
        self._look()

    def failed(self, id: str, now_us: int) -> None:
        """It could not be told, or its move has failed: another try."""
        if self.here.get(id) is Stay.TOLD:
            self._turn(id, StayEvent.FAILED)
            self.queue[id] = max(now_us + RETRY_US, next(reversed(self.queue.values()), 0))
            self._apply(DrainEvent.SOME_LEFT)

    def stay(self) -> None:
        """Called off: new set-ups are taken again, nobody else is told to go."""
        self._apply(DrainEvent.CALLED_OFF)
        self.queue.clear()
        self.here.clear()

    def next_us(self, now_us: int) -> int:
        """How long until `due` has something to do, at most half a second."""
        times = [until_us - self.times.answer_us for until_us in self.waiting.values()]
        times += [at_us for at_us in list(self.queue.values())[:1]]
        times += [self.begun_us + self.times.end_us] if self.here else []
        return max(0, min([RETRY_US, *(at_us - now_us for at_us in times)]))

    def _turn(self, id: str, turn: StayEvent, to: int | None = None, after_us: int = 0) -> list[DrainStep]:
        stays = self.here.get(id)
        row = STAY_TRANSITIONS.get((stays, turn)) if stays is not None else None
        if row is None:
            return []
        self.here[id], act = row
        if row[0] is Stay.GONE:
            del self.here[id]
        if act is DrainAction.TELL and self.moves:
            act = DrainAction.MOVE
        return [DrainStep(id, act, to, after_us)] if act is not DrainAction.NOTHING else []

    def _look(self) -> None:
        if not self.here:
            self._apply(DrainEvent.LAST_GONE)
        elif not self.queue:
            self._apply(DrainEvent.ALL_TOLD)

    def _apply(self, event: DrainEvent) -> None:
        self.stage = TRANSITIONS.get((self.stage, event), self.stage)
