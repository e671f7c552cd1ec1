"""Migration of an established session to another server, also if its own server fails or none is available.

Make before break: the session is set up on the new server while the old one serves it; then the player's
next segment comes from the new one. The placement policy selects the server, under the same limits as for a
retry. This module decides the order of the migrations, how many run at once, and their deadline: after the
drain grace the front sends nothing more to the old server.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from fennelcove.interface import Effect
from fennelcove.state_machine import Transition, TransitionTable


class MigrationState(Enum):
    """The progress of a session's migration to another server."""

    SETTLED = auto()  # no migration is needed
    PENDING = auto()  # it should be migrated and waits for its turn
    ESTABLISHING = auto()  # an attempt on another server is under way
    CLOSED = auto()  # the session has ended


class MigrationEvent(Enum):
    """An event of a session or its server."""

    SERVER_DRAINING = auto()  # the endpoint list: its server is draining
    # The endpoint list: its server was removed, and no player may be sent there any more.
    SERVER_DELISTED = auto()
    SERVER_IN_SERVICE = auto()  # the endpoint list: its server is in service again
    SERVER_LOST = auto()  # its server failed, so the session's playback stopped
    TURN_GRANTED = auto()  # the queue allows it to start
    ESTABLISHED = auto()  # it is established on another server
    ATTEMPT_FAILED = auto()  # the attempt failed; the policy decides on the next one
    NO_SERVER_FOUND = auto()  # the policy finds no suitable server now
    GRACE_EXPIRED = auto()  # the drain grace has expired
    SESSION_ENDED = auto()  # the session ended during the migration or before


class MigrationAction(Enum):
    """An action for the caller to carry out."""

    ENQUEUE = auto()  # add it to the queue
    SELECT_SERVER = auto()  # have the policy select a server
    SWITCH_SERVER = auto()  # send the player to the new server
    REPORT_ATTEMPT_FAILED = auto()  # notify the policy of the failed attempt
    REPORT_SERVER_LOST = auto()  # notify the policy of the lost server
    RETRY_LATER = auto()  # add it to the queue again for a later retry
    KEEP_SERVER = auto()  # leave it on its server, which ends it when it shuts down
    END_SESSION = auto()  # end the session: no server is left that may serve it


TRANSITIONS: TransitionTable[MigrationState, MigrationEvent, MigrationAction] = TransitionTable(
    {
        (MigrationState.SETTLED, MigrationEvent.SERVER_DRAINING): Transition(
            MigrationState.PENDING, (MigrationAction.ENQUEUE,)
        ),
        # The policy selects a server before it is notified of the loss, as it discards the session's state on
        # that notification and has to copy it first. Both happen at the same time: otherwise the policy would
        # treat a server that restarts under its old address as warmed up.
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
        # The caller that receives the result of the attempt under way cancels it.
        (MigrationState.ESTABLISHING, MigrationEvent.SESSION_ENDED): Transition(MigrationState.CLOSED),
    }
)

RETRY_DELAY_US = 200_000
GRACE_FRACTION = 0.9  # the rest of the drain grace is left for the last attempt to complete


def may_reestablish(effect: Effect, *, is_adopted: bool = False) -> bool:
    """Whether a session whose server was lost may be established on another one.

    Args:
        effect: the effect of a repeated set-up in its service class; a single-shot one must not be repeated.
        is_adopted: the session was recovered after a restart of the front. Its set-up time is then unknown,
            so its idempotency key may have expired.
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
        """Moves to the next state, and returns the actions for the caller in order."""
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
        """Whether the session must end because no server is left that may serve its player."""
        if event is MigrationEvent.NO_SERVER_FOUND:
            # Playback has stopped: a session that waits for a server would falsely count as playing.
            return self.is_server_lost
        if event is MigrationEvent.GRACE_EXPIRED:
            # Its player would request segments for which no server may be named.
            return self.is_server_delisted
        return False


class _QueueEntry(NamedTuple):
    """An entry of the queue; sorts by deadline, then by descending priority weight, then by time of entry."""

    deadline_us: int
    negative_weight: float
    sequence: int
    migration: SessionMigration


class ReadyMigrations(NamedTuple):
    """The migrations that may start now, and those whose drain grace has expired."""

    ready: list[SessionMigration]
    expired: list[SessionMigration]


class MigrationQueue:
    """The pending migrations in order of their deadlines; limits how many run at once."""

    def __init__(self, max_concurrent: int, grace_us: int) -> None:
        """Lets up to `max_concurrent` migrations run at once, each within `grace_us` of its entry."""
        self.max_concurrent = max_concurrent
        self.grace_us = round(grace_us * GRACE_FRACTION)
        self.active_count = 0
        self._entry_count = 0
        self._entries: list[_QueueEntry] = []

    def add(self, migration: SessionMigration, now_us: int) -> None:
        """Adds a migration, whose drain grace begins now."""
        migration.deadline_us = now_us + self.grace_us
        migration.enqueued_at_us = now_us
        self._push(migration)

    def retry_later(self, migration: SessionMigration, now_us: int) -> None:
        """Re-adds a migration that found no server, for a retry after a delay; its deadline is unchanged."""
        migration.retry_at_us = now_us + RETRY_DELAY_US
        self._push(migration)

    def take_ready(self, now_us: int) -> ReadyMigrations:
        """Removes and returns the migrations that may start now, and those whose drain grace has expired."""
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
        """Frees the place of a migration that was returned as ready."""
        self.active_count -= 1

    def _push(self, migration: SessionMigration) -> None:
        self._entry_count += 1
        entry = _QueueEntry(migration.deadline_us, -migration.priority_weight, self._entry_count, migration)
        heapq.heappush(self._entries, entry)
