"""Migration of an established session to another server, and what happens where none is found.

Make before break: the new server is set up while the old one plays, then the player's next segment comes from
the new one. The placement policy selects the server and keeps every guard of a retry; this module keeps the
order of migrations, their number at once, and their deadline: after the drain grace the front sends nothing
more to the old server.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from fennelcove.interface import Effect
from fennelcove.state_machine import Transition, TransitionTable


class MigrationState(Enum):
    """Whether a session is being moved to another server."""

    SETTLED = auto()
    PENDING = auto()  # it should move and waits for its turn
    MAKING = auto()  # an attempt on another server is under way
    CLOSED = auto()


class MigrationEvent(Enum):
    """What happens to a session or its server."""

    TOLD = auto()  # the endpoint list: its server is draining
    GONE = auto()  # the endpoint list: its server was removed; no player may be sent there any more
    CALM = auto()  # the endpoint list: its server is in service again
    LOST = auto()  # its server failed, and the session's playback with it
    TURN = auto()  # the queue gave it a turn
    MADE = auto()  # it is established on another server
    FAILED = auto()  # the attempt failed; the policy decides what follows
    REFUSED = auto()  # the policy finds no server now
    TIME = auto()  # the grace has expired
    ENDED = auto()  # the session ended meanwhile


class MigrationAction(Enum):
    """What the caller must do."""

    QUEUE = auto()  # add it to the queue
    ASK_MODULE = auto()  # have the policy select a server
    SWITCH = auto()  # send the player to the new server
    TELL_FAILED = auto()  # notify the policy of the failed attempt
    TELL_LOST = auto()  # notify the policy of the lost server
    PAUSE = auto()  # add it to the queue again for a later retry
    STAY = auto()  # it plays on where it is; the server will end it when it stops
    END = auto()  # end the session: nothing plays and no server was found


TRANSITIONS: TransitionTable[MigrationState, MigrationEvent, MigrationAction] = TransitionTable(
    {
        (MigrationState.SETTLED, MigrationEvent.TOLD): Transition(
            MigrationState.PENDING, (MigrationAction.QUEUE,)
        ),
        # The policy selects a server first and is notified of the loss second: it copies the session's state
        # before it discards it. Both happen in the same instant, or the policy would take a server that
        # restarts under its old address for a warmed-up one.
        (MigrationState.SETTLED, MigrationEvent.LOST): Transition(
            MigrationState.MAKING, (MigrationAction.ASK_MODULE, MigrationAction.TELL_LOST)
        ),
        (MigrationState.SETTLED, MigrationEvent.GONE): Transition(
            MigrationState.PENDING, (MigrationAction.QUEUE,)
        ),
        (MigrationState.SETTLED, MigrationEvent.ENDED): Transition(MigrationState.CLOSED),
        (MigrationState.PENDING, MigrationEvent.GONE): Transition(MigrationState.PENDING),
        (MigrationState.PENDING, MigrationEvent.TURN): Transition(
            MigrationState.MAKING, (MigrationAction.ASK_MODULE,)
        ),
        (MigrationState.PENDING, MigrationEvent.CALM): Transition(MigrationState.SETTLED),
        (MigrationState.PENDING, MigrationEvent.LOST): Transition(
            MigrationState.MAKING, (MigrationAction.ASK_MODULE, MigrationAction.TELL_LOST)
        ),
        (MigrationState.PENDING, MigrationEvent.TIME): Transition(
            MigrationState.SETTLED, (MigrationAction.STAY,)
        ),
        (MigrationState.PENDING, MigrationEvent.ENDED): Transition(MigrationState.CLOSED),
        (MigrationState.MAKING, MigrationEvent.GONE): Transition(MigrationState.MAKING),
        (MigrationState.MAKING, MigrationEvent.MADE): Transition(
            MigrationState.SETTLED, (MigrationAction.SWITCH,)
        ),
        (MigrationState.MAKING, MigrationEvent.LOST): Transition(
            MigrationState.MAKING, (MigrationAction.TELL_LOST,)
        ),
        (MigrationState.MAKING, MigrationEvent.FAILED): Transition(
            MigrationState.MAKING, (MigrationAction.TELL_FAILED,)
        ),
        (MigrationState.MAKING, MigrationEvent.REFUSED): Transition(
            MigrationState.PENDING, (MigrationAction.PAUSE,)
        ),
        # The attempt under way is cancelled by whoever receives its result.
        (MigrationState.MAKING, MigrationEvent.ENDED): Transition(MigrationState.CLOSED),
    }
)

RETRY_US = 200_000
GRACE_FRACTION = 0.9  # the rest of the drain grace is left for the last attempt to complete in


def may_rescue(effect: Effect, *, adopted: bool = False) -> bool:
    """Whether a session lost with its server may be established on another one.

    Args:
        effect: what a repeated set-up of its service class does; a single-shot one must not be repeated.
        adopted: the session was recovered after a restart of the front. Its set-up time is unknown then, so
            its idempotency key may have expired.
    """
    if effect is Effect.FREE:
        return True
    return effect is Effect.GUARDED and not adopted


@dataclass(slots=True, eq=False)
class SessionMigration:
    """The migration state of one session; times in microseconds of the monotonic clock."""

    id: str
    priority_weight: float
    stage: MigrationState = MigrationState.SETTLED
    lost: bool = False
    gone: bool = False
    deadline_us: int = 0
    retry_at_us: int = 0
    since_us: int = 0

    def apply(self, event: MigrationEvent) -> tuple[MigrationAction, ...]:
        """Moves to the next state; returns the actions to carry out, in order."""
        transition = TRANSITIONS.find(self.stage, event)
        if transition is None:
            return ()
        self._record_server_state(event)
        if self._has_nothing_to_play(event):
            self.stage = MigrationState.CLOSED
            return (MigrationAction.END,)
        self.stage = transition.state
        if event is MigrationEvent.MADE:
            self.lost = False
            self.deadline_us = 0
        return transition.actions

    def _record_server_state(self, event: MigrationEvent) -> None:
        if event is MigrationEvent.LOST:
            self.lost = True
        elif event is MigrationEvent.GONE:
            self.gone = True
        elif event in (MigrationEvent.MADE, MigrationEvent.CALM):
            self.gone = False

    def _has_nothing_to_play(self, event: MigrationEvent) -> bool:
        """Whether the session must end, as no server is left that its player may be sent to."""
        if event is MigrationEvent.REFUSED:
            return self.lost  # nothing plays any more: to wait for a server would only look like playing
        if event is MigrationEvent.TIME:
            return self.gone  # its player would request segments that no server may be named for
        return False


class _QueueEntry(NamedTuple):
    """Ordered by deadline, then by falling priority weight, then by time of entry."""

    deadline_us: int
    negative_weight: float
    sequence: int
    migration: SessionMigration


class ReadyMigrations(NamedTuple):
    """The migrations that may start now, and those whose grace has expired."""

    ready: list[SessionMigration]
    expired: list[SessionMigration]


class MigrationTurns:
    """The pending migrations, earliest deadline first, of which a limited number run at once."""

    def __init__(self, max_concurrent: int, grace_us: int) -> None:
        """A queue of which up to `max_concurrent` migrations run at once, each within `grace_us` of entry."""
        self.at_once = max_concurrent
        self.grace_us = round(grace_us * GRACE_FRACTION)
        self.active_count = 0
        self._entry_count = 0
        self._entries: list[_QueueEntry] = []

    def add(self, migration: SessionMigration, now_us: int) -> None:
        """Adds a migration, whose grace begins now."""
        migration.deadline_us = now_us + self.grace_us
        migration.since_us = now_us
        self._push(migration)

    def put_back(self, migration: SessionMigration, now_us: int) -> None:
        """Adds a migration again that found no server, for a retry a little later; its deadline stays."""
        migration.retry_at_us = now_us + RETRY_US
        self._push(migration)

    def take(self, now_us: int) -> ReadyMigrations:
        """Removes and returns the migrations that may start now and those whose grace has expired."""
        ready: list[SessionMigration] = []
        expired: list[SessionMigration] = []
        deferred: list[_QueueEntry] = []
        while self._entries:
            entry = heapq.heappop(self._entries)
            migration = entry.migration
            if migration.stage is not MigrationState.PENDING:
                continue
            is_full = self.active_count + len(ready) >= self.at_once
            if migration.deadline_us <= now_us:
                expired.append(migration)
            elif is_full or migration.retry_at_us > now_us:
                deferred.append(entry)
            else:
                ready.append(migration)
        for entry in deferred:
            heapq.heappush(self._entries, entry)
        self.active_count += len(ready)
        return ReadyMigrations(ready, expired)

    def finished(self) -> None:
        """Ends the turn of one migration that was returned as ready."""
        self.active_count -= 1

    def _push(self, migration: SessionMigration) -> None:
        self._entry_count += 1
        entry = _QueueEntry(migration.deadline_us, -migration.priority_weight, self._entry_count, migration)
        heapq.heappush(self._entries, entry)
