"""Leases of seats: acquired once, renewed once under each key, kept through a migration, released once.

The placement policy counts seats while sessions play (rule 5). This module decides for how long a client
that does not renew may hold one: after that it is released and the session closed. Times are wall time in
microseconds, since a lease outlives the process.
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

MAX_RENEWAL_KEYS = 8  # renewals of one seat whose keys are remembered
# Seats released in one call: ten thousand at one moment must not hold the lock for a second.
MAX_EXPIRED_PER_CALL = 200


class SeatState(Enum):
    """The state of one session's seat."""

    UNHELD = auto()
    HELD = auto()
    RELEASED = auto()


class SeatEvent(Enum):
    """What happens to it."""

    ACQUIRED = auto()
    RENEWED = auto()
    RENEWED_DUPLICATE = auto()  # under a key that it was renewed under already
    MIGRATED = auto()  # its session plays at another server
    RELEASED = auto()
    EXPIRED = auto()


class SeatAction(Enum):
    """What follows; member names appear in counters."""

    COUNT = auto()
    EXTEND = auto()
    KEEP = auto()  # nothing changes
    FREE = auto()
    REFUSE = auto()


# Each transition has exactly one action.
TRANSITIONS: TransitionTable[SeatState, SeatEvent, SeatAction] = TransitionTable(
    {
        (SeatState.UNHELD, SeatEvent.ACQUIRED): Transition(SeatState.HELD, (SeatAction.COUNT,)),
        (SeatState.UNHELD, SeatEvent.RENEWED): Transition(SeatState.UNHELD, (SeatAction.REFUSE,)),
        (SeatState.UNHELD, SeatEvent.RENEWED_DUPLICATE): Transition(SeatState.UNHELD, (SeatAction.REFUSE,)),
        (SeatState.UNHELD, SeatEvent.MIGRATED): Transition(SeatState.UNHELD, (SeatAction.KEEP,)),
        (SeatState.UNHELD, SeatEvent.RELEASED): Transition(SeatState.UNHELD, (SeatAction.KEEP,)),
        (SeatState.UNHELD, SeatEvent.EXPIRED): Transition(SeatState.UNHELD, (SeatAction.KEEP,)),
        # Notified twice, as by a server that reports its sessions again: the seat is the same.
        (SeatState.HELD, SeatEvent.ACQUIRED): Transition(SeatState.HELD, (SeatAction.KEEP,)),
        (SeatState.HELD, SeatEvent.RENEWED): Transition(SeatState.HELD, (SeatAction.EXTEND,)),
        (SeatState.HELD, SeatEvent.RENEWED_DUPLICATE): Transition(SeatState.HELD, (SeatAction.KEEP,)),
        (SeatState.HELD, SeatEvent.MIGRATED): Transition(SeatState.HELD, (SeatAction.KEEP,)),
        (SeatState.HELD, SeatEvent.RELEASED): Transition(SeatState.RELEASED, (SeatAction.FREE,)),
        (SeatState.HELD, SeatEvent.EXPIRED): Transition(SeatState.RELEASED, (SeatAction.FREE,)),
        # A renewal that crosses with the release: the seat may be somebody else's by now.
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
    """Seats are counted by title and service class."""

    title: str
    service_class: str


NO_POOL = SeatPool("", "")


@dataclass(slots=True, eq=False)
class Seat:
    """One session's seat."""

    session_id: str
    pool: SeatPool
    duration_us: int
    expires_wall_us: int  # the wall time at which it expires
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
    """When to look at a seat again; the sequence number keeps seats from being compared."""

    due_us: int
    sequence: int
    seat: Seat


@dataclass(frozen=True, slots=True)
class SeatTransition:
    """One entry of a ledger that can be replayed."""

    session_id: str  # the session's
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
        """Renew a seat; under one key it is renewed once."""
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
        """Release the seats whose time is up, a bounded number; the rest with the next call."""
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
            # Counted from now and not from the old end: frequent renewals must not save up time.
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
        """What is stored."""
        return [StoredEntry(seat.session_id, seat.encode()) for seat in self.seats.values()]

    def restore(self, session_id: str, raw: bytes, duration_us: int, wall_us: int) -> bool:
        """Restore a seat stored before a restart, whose session still plays; False where it is malformed.

        It keeps its old expiry, limited to what it could have at this wall time, since the clock may have
        gone back. A seat that is held already is the same one, and is not counted twice: also False.
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
    """The seats held in each pool, counted again from the ledger."""
    counts: Counter[SeatPool] = Counter()
    for entry in ledger:
        if entry.action is SeatAction.COUNT:
            counts[entry.pool] += 1
        elif entry.action is SeatAction.FREE:
            counts[entry.pool] -= 1
    return +counts
