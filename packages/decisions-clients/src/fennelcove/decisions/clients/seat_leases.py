"""Leases of seats: acquired once, renewed once under each key, retained in a migration, released once.

The placement policy counts seats while sessions play (rule 5). This module decides how long a client that
does not renew its lease may hold a seat: after that time the seat is released and the session closed. Times
are wall time in microseconds, since a lease outlives the process.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

import msgspec
from fennelcove.state_machine import Transition, TransitionTable
from msgspec import Struct

MAX_RENEWAL_KEYS = 8  # stored for each seat
# Seats released in one call: ten thousand expiring at one moment must not hold the lock for a second.
MAX_EXPIRED_PER_CALL = 200


class SeatState(Enum):
    """The state of one session's seat."""

    UNHELD = auto()
    HELD = auto()
    RELEASED = auto()


class SeatEvent(Enum):
    """An event of a seat."""

    ACQUIRED = auto()
    RENEWED = auto()
    RENEWED_DUPLICATE = auto()  # under a key that was already used to renew it
    MIGRATED = auto()  # its session plays at another server
    RELEASED = auto()
    EXPIRED = auto()


class SeatAction(Enum):
    """The action to carry out; member names appear in counters."""

    COUNT = auto()  # count the seat as held
    EXTEND = auto()  # extend the lease
    KEEP = auto()  # change nothing
    FREE = auto()  # count the seat as free
    REFUSE = auto()  # refuse the renewal


# Each transition has exactly one action.
TRANSITIONS: TransitionTable[SeatState, SeatEvent, SeatAction] = TransitionTable(
    {
        (SeatState.UNHELD, SeatEvent.ACQUIRED): Transition(SeatState.HELD, (SeatAction.COUNT,)),
        (SeatState.UNHELD, SeatEvent.RENEWED): Transition(SeatState.UNHELD, (SeatAction.REFUSE,)),
        (SeatState.UNHELD, SeatEvent.RENEWED_DUPLICATE): Transition(SeatState.UNHELD, (SeatAction.REFUSE,)),
        (SeatState.UNHELD, SeatEvent.MIGRATED): Transition(SeatState.UNHELD, (SeatAction.KEEP,)),
        (SeatState.UNHELD, SeatEvent.RELEASED): Transition(SeatState.UNHELD, (SeatAction.KEEP,)),
        (SeatState.UNHELD, SeatEvent.EXPIRED): Transition(SeatState.UNHELD, (SeatAction.KEEP,)),
        # A repeated notification, as from a server that reports its sessions again, is about the same seat.
        (SeatState.HELD, SeatEvent.ACQUIRED): Transition(SeatState.HELD, (SeatAction.KEEP,)),
        (SeatState.HELD, SeatEvent.RENEWED): Transition(SeatState.HELD, (SeatAction.EXTEND,)),
        (SeatState.HELD, SeatEvent.RENEWED_DUPLICATE): Transition(SeatState.HELD, (SeatAction.KEEP,)),
        (SeatState.HELD, SeatEvent.MIGRATED): Transition(SeatState.HELD, (SeatAction.KEEP,)),
        (SeatState.HELD, SeatEvent.RELEASED): Transition(SeatState.RELEASED, (SeatAction.FREE,)),
        (SeatState.HELD, SeatEvent.EXPIRED): Transition(SeatState.RELEASED, (SeatAction.FREE,)),
        # A renewal that arrives after the release: another session may have the seat by now.
        **{
            (SeatState.RELEASED, event): Transition(SeatState.RELEASED, (SeatAction.REFUSE,))
            for event in SeatEvent
        },
    }
)


class StoredSeat(Struct, frozen=True, array_like=True):
    """A seat as it is stored; encoded by the order of its fields."""

    title: str
    service_class: str
    until_us: int
    renewal_keys: list[str]


class SeatPool(NamedTuple):
    """The title and service class by which seats are counted."""

    title: str
    service_class: str


NO_POOL = SeatPool("", "")


@dataclass(slots=True, eq=False)
class Seat:
    """One session's seat."""

    session_id: str
    pool: SeatPool
    duration_us: int
    expires_wall_us: int
    state: SeatState = SeatState.UNHELD
    renewal_keys: list[str] = field(default_factory=list)

    def encode(self) -> bytes:
        """The bytes that are stored."""
        return msgspec.msgpack.encode(StoredSeat(*self.pool, self.expires_wall_us, self.renewal_keys))


class StoredEntry(NamedTuple):
    """One seat as it is stored."""

    session_id: str
    raw: bytes


class SeatDeadline(NamedTuple):
    """When to check a seat again; the sequence number prevents comparisons between seats."""

    due_us: int
    sequence: int
    seat: Seat


@dataclass(frozen=True, slots=True)
class SeatTransition:
    """An entry of a ledger that can be replayed."""

    session_id: str
    pool: SeatPool
    event: SeatEvent
    action: SeatAction


class SeatLeases:
    """All seats of one front."""

    def __init__(self) -> None:
        self.seats: dict[str, Seat] = {}
        self.counts: Counter[SeatPool] = Counter()
        self.deadlines: list[SeatDeadline] = []
        self.push_count = 0

    def acquire(
        self, session_id: str, pool: tuple[str, str], duration_us: int, wall_us: int
    ) -> SeatTransition:
        """Acquire a seat for a session that plays; a pool is a title and a service class, as `SeatPool`."""
        seat = self.seats.get(session_id)
        if seat is None:
            seat = Seat(session_id, SeatPool(*pool), duration_us, wall_us + duration_us)
        return self._apply(seat, SeatEvent.ACQUIRED, wall_us)

    def renew(self, session_id: str, key: str, wall_us: int) -> SeatTransition:
        """Renew a seat; a repeated renewal under the same key has no effect."""
        seat = self.seats.get(session_id)
        if seat is None:
            return SeatTransition(session_id, NO_POOL, SeatEvent.RENEWED, SeatAction.REFUSE)
        is_duplicate = bool(key) and key in seat.renewal_keys
        event = SeatEvent.RENEWED_DUPLICATE if is_duplicate else SeatEvent.RENEWED
        transition = self._apply(seat, event, wall_us)
        if transition.action is SeatAction.EXTEND and key:
            seat.renewal_keys = [*seat.renewal_keys[1 - MAX_RENEWAL_KEYS :], key]
        return transition

    def release(self, session_id: str, wall_us: int) -> SeatTransition | None:
        """Release the seat of a session that is closed; None where it has none."""
        seat = self.seats.get(session_id)
        if seat is None:
            return None
        return self._apply(seat, SeatEvent.RELEASED, wall_us)

    def pop_expired(self, wall_us: int) -> list[SeatTransition]:
        """Release a bounded number of expired seats; the others are released with the next call."""
        expired: list[SeatTransition] = []
        while self.deadlines and self.deadlines[0].due_us <= wall_us and len(expired) < MAX_EXPIRED_PER_CALL:
            seat = heapq.heappop(self.deadlines).seat
            if seat.state is not SeatState.HELD:
                continue
            if seat.expires_wall_us <= wall_us:
                expired.append(self._apply(seat, SeatEvent.EXPIRED, wall_us))
            else:
                self._schedule(seat)  # renewed since
        return expired

    def _apply(self, seat: Seat, event: SeatEvent, wall_us: int) -> SeatTransition:
        transition = TRANSITIONS.apply(seat.state, event)
        seat.state = transition.state
        (action,) = transition.actions
        if action is SeatAction.COUNT:
            self._add(seat)
        elif action is SeatAction.EXTEND:
            # The lease is extended from now and not from its previous end: frequent renewals must not add up.
            seat.expires_wall_us = max(seat.expires_wall_us, wall_us + seat.duration_us)
        elif action is SeatAction.FREE:
            self._remove(seat)
        return SeatTransition(seat.session_id, seat.pool, event, action)

    def _add(self, seat: Seat) -> None:
        self.seats[seat.session_id] = seat
        self.counts[seat.pool] += 1
        self._schedule(seat)

    def _remove(self, seat: Seat) -> None:
        del self.seats[seat.session_id]
        self.counts[seat.pool] -= 1
        if not self.counts[seat.pool]:
            del self.counts[seat.pool]

    def _schedule(self, seat: Seat) -> None:
        self.push_count += 1
        heapq.heappush(self.deadlines, SeatDeadline(seat.expires_wall_us, self.push_count, seat))

    def encode_entries(self) -> list[StoredEntry]:
        """The entries to store."""
        return [StoredEntry(seat.session_id, seat.encode()) for seat in self.seats.values()]

    def restore(self, session_id: str, raw: bytes, duration_us: int, wall_us: int) -> bool:
        """Restore a seat stored before a restart, whose session still plays; False where it is malformed.

        The seat retains its expiry, limited to a full lease from this wall time, since the clock may have
        been set back. A seat that is already held is not counted twice; the result is False as well.
        """
        try:
            stored: StoredSeat = msgspec.msgpack.decode(raw, type=StoredSeat)
        except msgspec.MsgspecError:
            return False
        seat = self.seats.get(session_id)
        if seat is None:
            pool = SeatPool(stored.title, stored.service_class)
            until_us = min(stored.until_us, wall_us + duration_us)
            renewal_keys = stored.renewal_keys[-MAX_RENEWAL_KEYS:]
            seat = Seat(session_id, pool, duration_us, until_us, renewal_keys=renewal_keys)
        return self._apply(seat, SeatEvent.ACQUIRED, wall_us).action is SeatAction.COUNT


def replay_counts(ledger: list[SeatTransition]) -> Counter[SeatPool]:
    """The number of held seats in each pool, computed from the ledger."""
    counts: Counter[SeatPool] = Counter()
    for entry in ledger:
        if entry.action is SeatAction.COUNT:
            counts[entry.pool] += 1
        elif entry.action is SeatAction.FREE:
            counts[entry.pool] -= 1
    return +counts
