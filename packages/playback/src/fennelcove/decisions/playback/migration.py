"""When a playing subscription moves to another box, and what becomes of it where none is found.

Make before break: the new home is set up while the old one plays, then the player's next segment comes from
there. The module chooses the home by the design's factors and keeps every guard of a further join; this
module keeps the order, the number under way, and the time: past the drain grace the old box hears nothing
more from this front.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum, auto

from fennelcove.interface import Effect


class MigrationState(Enum):
    """How a subscription stands towards its box."""

    SETTLED = auto()
    DUE = auto()  # it should move and waits for its turn
    MAKING = auto()  # a join elsewhere is out
    OVER = auto()


class MigrationEvent(Enum):
    """What happens."""

    TOLD = auto()  # the list: its box drains
    GONE = auto()  # the list: its box has left; no player may be sent there any more
    CALM = auto()  # the list: its box is in service again
    LOST = auto()  # its box is gone, with its play
    TURN = auto()
    MADE = auto()
    FAILED = auto()  # the join elsewhere failed; the module says what next
    REFUSED = auto()  # the module finds no place now
    TIME = auto()  # the grace is over
    ENDED = auto()  # the subscription ended meanwhile


class MigrationAction(Enum):
    """What follows."""

    QUEUE = auto()
    ASK_MODULE = auto()
    SWITCH = auto()
    TELL_FAILED = auto()
    TELL_LOST = auto()
    PAUSE = auto()
    STAY = auto()  # it plays on where it is; the box will end it when it goes
    END = auto()  # nothing plays and no home was found


Row = tuple[MigrationState, tuple[MigrationAction, ...]]

TABLE: dict[tuple[MigrationState, MigrationEvent], Row] = {
    (MigrationState.SETTLED, MigrationEvent.TOLD): (MigrationState.DUE, (MigrationAction.QUEUE,)),
    # Asked first and told then: the module copies what plays before it forgets it. It is told in the same
    # instant, or it would take the box that comes back under its old address for a warm one.
    (MigrationState.SETTLED, MigrationEvent.LOST): (
        MigrationState.MAKING,
        (MigrationAction.ASK_MODULE, MigrationAction.TELL_LOST),
    ),
    (MigrationState.SETTLED, MigrationEvent.GONE): (MigrationState.DUE, (MigrationAction.QUEUE,)),
    (MigrationState.DUE, MigrationEvent.GONE): (MigrationState.DUE, ()),
    (MigrationState.MAKING, MigrationEvent.GONE): (MigrationState.MAKING, ()),
    (MigrationState.DUE, MigrationEvent.TURN): (MigrationState.MAKING, (MigrationAction.ASK_MODULE,)),
    (MigrationState.DUE, MigrationEvent.CALM): (MigrationState.SETTLED, ()),
    (MigrationState.DUE, MigrationEvent.LOST): (
        MigrationState.MAKING,
        (MigrationAction.ASK_MODULE, MigrationAction.TELL_LOST),
    ),
    (MigrationState.DUE, MigrationEvent.TIME): (MigrationState.SETTLED, (MigrationAction.STAY,)),
    (MigrationState.DUE, MigrationEvent.ENDED): (MigrationState.OVER, ()),
    (MigrationState.MAKING, MigrationEvent.MADE): (MigrationState.SETTLED, (MigrationAction.SWITCH,)),
    (MigrationState.MAKING, MigrationEvent.LOST): (MigrationState.MAKING, (MigrationAction.TELL_LOST,)),
    (MigrationState.MAKING, MigrationEvent.FAILED): (MigrationState.MAKING, (MigrationAction.TELL_FAILED,)),
    (MigrationState.MAKING, MigrationEvent.REFUSED): (MigrationState.DUE, (MigrationAction.PAUSE,)),
    # The join that is out is taken back by whoever hears of its end.
    (MigrationState.MAKING, MigrationEvent.ENDED): (MigrationState.OVER, ()),
    (MigrationState.SETTLED, MigrationEvent.ENDED): (MigrationState.OVER, ()),
}

RETRY_US = 200_000


def may_rescue(effect: Effect, adopted: bool = False) -> bool:
    """Whether what a dead box played may be set up elsewhere: a single-shot room type is paid for once. Of
    one that an earlier life of this front set up nobody knows when: its key may be recognised no more."""
    return effect is Effect.FREE or (effect is Effect.GUARDED and not adopted)


@dataclass(slots=True, eq=False)
class SessionMigration:
    """One subscription's standing; times in microseconds."""

    id: str
    priority_weight: float
    stage: MigrationState = MigrationState.SETTLED
    lost: bool = False
    gone: bool = False
    until_us: int = 0
    not_before_us: int = 0
    since_us: int = 0

    def apply(self, event: MigrationEvent) -> tuple[MigrationAction, ...]:
        """Move on; what follows, in order."""
        row = TABLE.get((self.stage, event))
        if row is None:
            return ()
        self.lost = self.lost or event is MigrationEvent.LOST
        self.gone = (self.gone or event is MigrationEvent.GONE) and event not in (
            MigrationEvent.MADE,
            MigrationEvent.CALM,
        )
        self.stage, acts = row
        if self.lost and event is MigrationEvent.REFUSED:
            # Nothing plays any more and there is no place: waiting would only look like playing.
            self.stage = MigrationState.OVER
            return (MigrationAction.END,)
        if self.gone and event is MigrationEvent.TIME:
            # Staying would leave its player asking for segments that nobody may name to it.
            self.stage = MigrationState.OVER
            return (MigrationAction.END,)
        if event is MigrationEvent.MADE:
            self.lost, self.until_us = False, 0
        return acts


class MigrationTurns:
    """Who moves next: those whose time ends first, of them those of most benefit; so many at once."""

    def __init__(self, at_once: int, grace_us: int) -> None:
        self.at_once = at_once
        # A tenth of the grace is kept, as everywhere: the last join must end inside it.
        self.grace_us = round(grace_us * 0.9)
        self.making = 0
        self.count = 0
        self.queue: list[tuple[int, float, int, SessionMigration]] = []

    def add(self, move: SessionMigration, now_us: int) -> None:
        """A move is due from now on."""
        move.until_us, move.since_us = now_us + self.grace_us, now_us
        self.count += 1
        heapq.heappush(self.queue, (move.until_us, -move.priority_weight, self.count, move))

    def put_back(self, move: SessionMigration, now_us: int) -> None:
        """No place now: try again a little later, within its time."""
        move.not_before_us = now_us + RETRY_US
        self.count += 1
        heapq.heappush(self.queue, (move.until_us, -move.priority_weight, self.count, move))

    def take(self, now_us: int) -> tuple[list[SessionMigration], list[SessionMigration]]:
        """Those whose turn it is, and those whose time is over."""
        turn, over, later = (
            list[SessionMigration](),
            list[SessionMigration](),
            list[tuple[int, float, int, SessionMigration]](),
        )
        while self.queue:
            item = heapq.heappop(self.queue)
            move = item[3]
            if move.stage is not MigrationState.DUE:
                continue
            if move.until_us <= now_us:
                over.append(move)
            elif move.not_before_us > now_us or self.making + len(turn) >= self.at_once:
                later.append(item)
            else:
                turn.append(move)
        for item in later:
            heapq.heappush(self.queue, item)
        self.making += len(turn)
        return turn, over

    def finished(self) -> None:
        """One that had its turn is done with it."""
        self.making -= 1
