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
    ESTABLISHING = auto()  # an attempt on another server is under way
    CLOSED = auto()


class MigrationEvent(Enum):
    """What happens to a session or its server."""

    SERVER_DRAINING = auto()  # the endpoint list: its server is draining
    SERVER_DELISTED = (
        auto()
    )  # the endpoint list: its server was removed; no player may be sent there any more
    SERVER_IN_SERVICE = auto()  # the endpoint list: its server is in service again
    SERVER_LOST = auto()  # its server failed, and the session's playback with it
    TURN_GRANTED = auto()  # the queue gave it a turn
    ESTABLISHED = auto()  # it is established on another server
    ATTEMPT_FAILED = auto()  # the attempt failed; the policy decides what follows
    NO_SERVER_FOUND = auto()  # the policy finds no server now
    GRACE_EXPIRED = auto()  # the grace has expired
    SESSION_ENDED = auto()  # the session ended meanwhile


class MigrationAction(Enum):
    """What the caller must do."""

    ENQUEUE = auto()  # add it to the queue
    SELECT_SERVER = auto()  # have the policy select a server
    SWITCH_SERVER = auto()  # send the player to the new server
    REPORT_ATTEMPT_FAILED = auto()  # notify the policy of the failed attempt
    REPORT_SERVER_LOST = auto()  # notify the policy of the lost server
    RETRY_LATER = auto()  # add it to the queue again for a later retry
    KEEP_SERVER = auto()  # it plays on where it is; the server will end it when it stops
    END_SESSION = auto()  # end the session: nothing plays and no server was found


TRANSITIONS: TransitionTable[MigrationState, MigrationEvent, MigrationAction] = TransitionTable(
    {
        (MigrationState.SETTLED, MigrationEvent.SERVER_DRAINING): Transition(
            MigrationState.PENDING, (MigrationAction.ENQUEUE,)
        ),
        # The policy selects a server first and is notified of the loss second: it copies the session's state
        # before it discards it. Both happen in the same instant, or the policy would take a server that
        # restarts under its old address for a warmed-up one.
        (MigrationState.SETTLED, MigrationEvent.SERVER_LOST): Transition(
            MigrationState.ESTABLISHING, (MigrationAction.SELECT_SERVER, MigrationAction.REPORT_SERVER_LOST)
        ),
        (MigrationState.SETTLED, MigrationEvent.SERVER_DELISTED): Transition(
            MigrationState.PENDING, (MigrationAction.ENQUEUE,)
        ),
        (MigrationState.SETTLED, MigrationEvent.SESSION_ENDED): Transition(MigrationState.CLOSED),
        (MigrationState.PENDING, MigrationEvent.SERVER_DELISTED): Transition(MigrationState.PENDING),
        (MigrationState.PENDING, MigrationEvent.TURN_GRANTED): Transition(
            MigrationState.ESTABLISHING, (MigrationAction.SELECT_SERVER,)
        ),
        (MigrationState.PENDING, MigrationEvent.SERVER_IN_SERVICE): Transition(MigrationState.SETTLED),
        (MigrationState.PENDING, MigrationEvent.SERVER_LOST): Transition(
            MigrationState.ESTABLISHING, (MigrationAction.SELECT_SERVER, MigrationAction.REPORT_SERVER_LOST)
        ),
        (MigrationState.PENDING, MigrationEvent.GRACE_EXPIRED): Transition(
            MigrationState.SETTLED, (MigrationAction.KEEP_SERVER,)
        ),
        (MigrationState.PENDING, MigrationEvent.SESSION_ENDED): Transition(MigrationState.CLOSED),
        (MigrationState.ESTABLISHING, MigrationEvent.SERVER_DELISTED): Transition(
            MigrationState.ESTABLISHING
        ),
        (MigrationState.ESTABLISHING, MigrationEvent.ESTABLISHED): Transition(
            MigrationState.SETTLED, (MigrationAction.SWITCH_SERVER,)
        ),
        (MigrationState.ESTABLISHING, MigrationEvent.SERVER_LOST): Transition(
            MigrationState.ESTABLISHING, (MigrationAction.REPORT_SERVER_LOST,)
        ),
        (MigrationState.ESTABLISHING, MigrationEvent.ATTEMPT_FAILED): Transition(
            MigrationState.ESTABLISHING, (MigrationAction.REPORT_ATTEMPT_FAILED,)
        ),
        (MigrationState.ESTABLISHING, MigrationEvent.NO_SERVER_FOUND): Transition(
            MigrationState.PENDING, (MigrationAction.RETRY_LATER,)
        ),
        # The attempt under way is cancelled by whoever receives its result.
        (MigrationState.ESTABLISHING, MigrationEvent.SESSION_ENDED): Transition(MigrationState.CLOSED),
    }
)

RETRY_DELAY_US = 200_000
GRACE_FRACTION = 0.9  # the rest of the drain grace is left for the last attempt to complete in


def may_reestablish(effect: Effect, *, is_adopted: bool = False) -> bool:
    """Whether a session lost with its server may be established on another one.

    Args:
        effect: what a repeated set-up of its service class does; a single-shot one must not be repeated.
        adopted: the session was recovered after a restart of the front. Its set-up time is unknown then, so
            its idempotency key may have expired.
    """
    if effect is Effect.FREE:
        return True
    return effect is Effect.GUARDED and not is_adopted


@dataclass(slots=True, eq=False)
class SessionMigration:
    """The migration state of one session; times in microseconds of the monotonic clock."""

    session_id: str
    priority_weight: float
    state: MigrationState = MigrationState.SETTLED
    is_server_lost: bool = False
    is_server_delisted: bool = False
    deadline_us: int = 0
    retry_at_us: int = 0
    enqueued_at_us: int = 0

    def apply(self, event: MigrationEvent) -> tuple[MigrationAction, ...]:
        """Moves to the next state; returns the actions to carry out, in order."""
        transition = TRANSITIONS.find(self.state, event)
        if transition is None:
            return ()
        self._record_server_state(event)
        if self._must_end_session(event):
            self.state = MigrationState.CLOSED
            return (MigrationAction.END_SESSION,)
        self.state = transition.state
        if event is MigrationEvent.ESTABLISHED:
            self.is_server_lost = False
            self.deadline_us = 0
        return transition.actions

    def _record_server_state(self, event: MigrationEvent) -> None:
        if event is MigrationEvent.SERVER_LOST:
            self.is_server_lost = True
        elif event is MigrationEvent.SERVER_DELISTED:
            self.is_server_delisted = True
        elif event in (MigrationEvent.ESTABLISHED, MigrationEvent.SERVER_IN_SERVICE):
            self.is_server_delisted = False

    def _must_end_session(self, event: MigrationEvent) -> bool:
        """Whether the session must end, as no server is left that its player may be sent to."""
        if event is MigrationEvent.NO_SERVER_FOUND:
            return (
                self.is_server_lost
            )  # nothing plays any more: to wait for a server would only look like playing
        if event is MigrationEvent.GRACE_EXPIRED:
            return (
                self.is_server_delisted
            )  # its player would request segments that no server may be named for
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


class MigrationQueue:
    """The pending migrations, earliest deadline first, of which a limited number run at once."""

    def __init__(self, max_concurrent: int, grace_us: int) -> None:
        """A queue of which up to `max_concurrent` migrations run at once, each within `grace_us` of entry."""
        self.max_concurrent = max_concurrent
        self.grace_us = round(grace_us * GRACE_FRACTION)
        self.active_count = 0
        self._entry_count = 0
        self._entries: list[_QueueEntry] = []

    def add(self, migration: SessionMigration, now_us: int) -> None:
        """Adds a migration, whose grace begins now."""
        migration.deadline_us = now_us + self.grace_us
        migration.enqueued_at_us = now_us
        self._push(migration)

    def retry_later(self, migration: SessionMigration, now_us: int) -> None:
        """Adds a migration again that found no server, for a retry a little later; its deadline stays."""
        migration.retry_at_us = now_us + RETRY_DELAY_US
        self._push(migration)

    def take_ready(self, now_us: int) -> ReadyMigrations:
        """Removes and returns the migrations that may start now and those whose grace has expired."""
        ready: list[SessionMigration] = []
        expired: list[SessionMigration] = []
        deferred: list[_QueueEntry] = []
        while self._entries:
            entry = heapq.heappop(self._entries)
            migration = entry.migration
            if migration.state is not MigrationState.PENDING:
                continue
            is_at_limit = self.active_count + len(ready) >= self.max_concurrent
            if migration.deadline_us <= now_us:
                expired.append(migration)
            elif is_at_limit or migration.retry_at_us > now_us:
                deferred.append(entry)
            else:
                ready.append(migration)
        for entry in deferred:
            heapq.heappush(self._entries, entry)
        self.active_count += len(ready)
        return ReadyMigrations(ready, expired)

    def on_turn_finished(self) -> None:
        """Ends the turn of one migration that was returned as ready."""
        self.active_count -= 1

    def _push(self, migration: SessionMigration) -> None:
        self._entry_count += 1
        entry = _QueueEntry(migration.deadline_us, -migration.priority_weight, self._entry_count, migration)
        heapq.heappush(self._entries, entry)
