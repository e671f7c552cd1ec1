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
    PENDING = auto()  # it should move and waits for its turn
    MAKING = auto()  # a join elsewhere is out
    CLOSED = auto()


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

TRANSITIONS: dict[tuple[MigrationState, MigrationEvent], Row] = {
    (MigrationState.SETTLED, MigrationEvent.TOLD): (MigrationState.PENDING, (MigrationAction.QUEUE,)),
    # Asked first and told then: the module copies what plays before it forgets it. It is told in the same
    # instant, or it would take the box that comes back under its old address for a warm one.
    (MigrationState.SETTLED, MigrationEvent.LOST): (
        MigrationState.MAKING,
        (MigrationAction.ASK_MODULE, MigrationAction.TELL_LOST),
    ),
    (MigrationState.SETTLED, MigrationEvent.GONE): (MigrationState.PENDING, (MigrationAction.QUEUE,)),
    (MigrationState.PENDING, MigrationEvent.GONE): (MigrationState.PENDING, ()),
    (MigrationState.MAKING, MigrationEvent.GONE): (MigrationState.MAKING, ()),
    (MigrationState.PENDING, MigrationEvent.TURN): (MigrationState.MAKING, (MigrationAction.ASK_MODULE,)),
    (MigrationState.PENDING, MigrationEvent.CALM): (MigrationState.SETTLED, ()),
    (MigrationState.PENDING, MigrationEvent.LOST): (
        MigrationState.MAKING,
        (MigrationAction.ASK_MODULE, MigrationAction.TELL_LOST),
    ),
    (MigrationState.PENDING, MigrationEvent.TIME): (MigrationState.SETTLED, (MigrationAction.STAY,)),
    (MigrationState.PENDING, MigrationEvent.ENDED): (MigrationState.CLOSED, ()),
    (MigrationState.MAKING, MigrationEvent.MADE): (MigrationState.SETTLED, (MigrationAction.SWITCH,)),
    (MigrationState.MAKING, MigrationEvent.LOST): (MigrationState.MAKING, (MigrationAction.TELL_LOST,)),
    (MigrationState.MAKING, MigrationEvent.FAILED): (MigrationState.MAKING, (MigrationAction.TELL_FAILED,)),
    (MigrationState.MAKING, MigrationEvent.REFUSED): (MigrationState.PENDING, (MigrationAction.PAUSE,)),
    # The join that is out is taken back by whoever hears of its end.
    (MigrationState.MAKING, MigrationEvent.ENDED): (MigrationState.CLOSED, ()),
    (MigrationState.SETTLED, MigrationEvent.ENDED): (MigrationState.CLOSED, ()),
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
    deadline_us: int = 0
    retry_at_us: int = 0
    since_us: int = 0

    def apply(self, event: MigrationEvent) -> tuple[MigrationAction, ...]:
        """Move on; what follows, in order."""
        row = TRANSITIONS.get((self.stage, event))
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
            self.stage = MigrationState.CLOSED
            return (MigrationAction.END,)
        if self.gone and event is MigrationEvent.TIME:
            # Staying would leave its player asking for segments that nobody may name to it.
            self.stage = MigrationState.CLOSED
            return (MigrationAction.END,)
        if event is MigrationEvent.MADE:
            self.lost, self.deadline_us = False, 0
        return acts


class MigrationTurns:
    """Who moves next: those whose time ends first, of them those of most benefit; so many at once."""

    def __init__(self, max_concurrent: int, grace_us: int) -> None:
        self.at_once = max_concurrent
        # A tenth of the grace is kept, as everywhere: the last join must end inside it.
        self.grace_us = round(grace_us * 0.9)
        self.active_count = 0
        self.count = 0
        self.queue: list[tuple[int, float, int, SessionMigration]] = []

    def add(self, migration: SessionMigration, now_us: int) -> None:
        """A move is due from now on."""
        migration.deadline_us, migration.since_us = now_us + self.grace_us, now_us
        self.count += 1
        heapq.heappush(self.queue, (migration.deadline_us, -migration.priority_weight, self.count, migration))

    def put_back(self, migration: SessionMigration, now_us: int) -> None:
        """No place now: try again a little later, within its time."""
        migration.retry_at_us = now_us + RETRY_US
        self.count += 1
        heapq.heappush(self.queue, (migration.deadline_us, -migration.priority_weight, self.count, migration))

    def take(self, now_us: int) -> tuple[list[SessionMigration], list[SessionMigration]]:
        """Those whose turn it is, and those whose time is over."""
        turn, over, later = (
            list[SessionMigration](),
            list[SessionMigration](),
            list[tuple[int, float, int, SessionMigration]](),
        )
        while self.queue:
            item = heapq.heappop(self.queue)
            migration = item[3]
            if migration.stage is not MigrationState.PENDING:
                continue
            if migration.deadline_us <= now_us:
                over.append(migration)
            elif migration.retry_at_us > now_us or self.active_count + len(turn) >= self.at_once:
                later.append(item)
            else:
                turn.append(migration)
        for item in later:
            heapq.heappush(self.queue, item)
        self.active_count += len(turn)
        return turn, over

    def finished(self) -> None:
        """One that had its turn is done with it."""
        self.active_count -= 1
