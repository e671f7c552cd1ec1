"""Seats that expire: taken once, renewed once for each key, kept through a move, given back once.

The module counts seats while subscriptions play (rule 5). What is ruled on here is for how long one may be
kept by a viewer that does not renew it: past its time it is given back and the subscription ends. Times are
wall time in microseconds, since a seat outlives the process.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec
from msgspec import Struct

MAX_RENEWAL_KEYS = 8  # renewals of one seat whose keys are known
MAX_EXPIRED_PER_CALL = (
    200  # seats given back in one go: ten thousand in a moment must not hold the lock for a second
)


class SeatState(Enum):
    """Where one subscription's seat stands."""

    UNHELD = auto()
    HELD = auto()
    RELEASED = auto()


class SeatEvent(Enum):
    """What happens to it."""

    ACQUIRED = auto()
    RENEWED = auto()
    RENEWED_DUPLICATE = auto()  # under a key that it was renewed under already
    MIGRATED = auto()  # its subscription plays on another box
    RELEASED = auto()
    EXPIRED = auto()


class SeatAction(Enum):
    """What follows."""

    COUNT = auto()
    EXTEND = auto()
    KEEP = auto()
    FREE = auto()
    REFUSE = auto()


TRANSITIONS: dict[tuple[SeatState, SeatEvent], tuple[SeatState, SeatAction]] = {
    (SeatState.UNHELD, SeatEvent.ACQUIRED): (SeatState.HELD, SeatAction.COUNT),
    (SeatState.UNHELD, SeatEvent.RENEWED): (SeatState.UNHELD, SeatAction.REFUSE),
    (SeatState.UNHELD, SeatEvent.RENEWED_DUPLICATE): (SeatState.UNHELD, SeatAction.REFUSE),
    (SeatState.UNHELD, SeatEvent.MIGRATED): (SeatState.UNHELD, SeatAction.KEEP),
    (SeatState.UNHELD, SeatEvent.RELEASED): (SeatState.UNHELD, SeatAction.KEEP),
    (SeatState.UNHELD, SeatEvent.EXPIRED): (SeatState.UNHELD, SeatAction.KEEP),
    # Told twice, as by a box that greets after a restart: the seat is the same.
    (SeatState.HELD, SeatEvent.ACQUIRED): (SeatState.HELD, SeatAction.KEEP),
    (SeatState.HELD, SeatEvent.RENEWED): (SeatState.HELD, SeatAction.EXTEND),
    (SeatState.HELD, SeatEvent.RENEWED_DUPLICATE): (SeatState.HELD, SeatAction.KEEP),
    (SeatState.HELD, SeatEvent.MIGRATED): (SeatState.HELD, SeatAction.KEEP),
    (SeatState.HELD, SeatEvent.RELEASED): (SeatState.RELEASED, SeatAction.FREE),
    (SeatState.HELD, SeatEvent.EXPIRED): (SeatState.RELEASED, SeatAction.FREE),
    # A renewal that crosses with the end: the seat may be somebody else's by now.
    **{(SeatState.RELEASED, event): (SeatState.RELEASED, SeatAction.REFUSE) for event in SeatEvent},
}


class StoredSeat(Struct, frozen=True, array_like=True):
    """A seat as a store keeps it."""

    title: str
    room: str
    until_us: int
    keys: list[str]


@dataclass(slots=True, eq=False)
class Seat:
    """One subscription's seat."""

    session_id: str
    pool: tuple[str, str]  # title and room type
    duration_us: int
    until_us: int
    state: SeatState = SeatState.UNHELD
    renewal_keys: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SeatTransition:
    """One thing that happened, for a ledger that can be read again."""

    id: str
    pool: tuple[str, str]
    event: SeatEvent
    act: SeatAction


class SeatLeases:
    """All seats of one front."""

    def __init__(self) -> None:
        self.held: dict[str, Seat] = {}
        self.counts: Counter[tuple[str, str]] = Counter()
        self.deadlines: list[tuple[int, int, Seat]] = []
        self.push_count = 0

    def take(self, id: str, pool: tuple[str, str], length_us: int, wall_us: int) -> SeatTransition:
        """A subscription plays in a room type whose seats expire."""
        seat = self.held.get(id) or Seat(id, pool, length_us, wall_us + length_us)
        return self._apply(seat, SeatEvent.ACQUIRED, wall_us)

    def renew(self, id: str, key: str, wall_us: int) -> SeatTransition:
        """Its viewer wants to keep it; under one key it is renewed once."""
        seat = self.held.get(id)
        if seat is None:
            return SeatTransition(id, ("", ""), SeatEvent.RENEWED, SeatAction.REFUSE)
        again = bool(key) and key in seat.renewal_keys
        step = self._apply(seat, SeatEvent.RENEWED_DUPLICATE if again else SeatEvent.RENEWED, wall_us)
        if step.act is SeatAction.EXTEND and key:
            seat.renewal_keys = [*seat.renewal_keys[1 - MAX_RENEWAL_KEYS :], key]
        return step

    def release(self, id: str, wall_us: int) -> SeatTransition | None:
        """Its subscription has ended."""
        seat = self.held.get(id)
        return self._apply(seat, SeatEvent.RELEASED, wall_us) if seat is not None else None

    def expired(self, wall_us: int) -> list[SeatTransition]:
        """Those whose time is up, a bounded number; the rest with the next call."""
        found: list[SeatTransition] = []
        while self.deadlines and self.deadlines[0][0] <= wall_us and len(found) < MAX_EXPIRED_PER_CALL:
            _, _, seat = heapq.heappop(self.deadlines)
            if seat.state is SeatState.HELD and seat.until_us <= wall_us:
                found.append(self._apply(seat, SeatEvent.EXPIRED, wall_us))
            elif seat.state is SeatState.HELD:
                self._schedule(seat)  # renewed since: it waits for its newer time
        return found

    def _apply(self, seat: Seat, event: SeatEvent, wall_us: int) -> SeatTransition:
        seat.state, act = TRANSITIONS[seat.state, event]
        if act is SeatAction.COUNT:
            self.held[seat.session_id] = seat
            self.counts[seat.pool] += 1
            self._schedule(seat)
        elif act is SeatAction.EXTEND:
            # Counted from now and not from the old end: asking often must not save up time.
            seat.until_us = max(seat.until_us, wall_us + seat.duration_us)
        elif act is SeatAction.FREE:
            del self.held[seat.session_id]
            self.counts[seat.pool] -= 1
            if not self.counts[seat.pool]:
                del self.counts[seat.pool]
        return SeatTransition(seat.session_id, seat.pool, event, act)

    def _schedule(self, seat: Seat) -> None:
        self.push_count += 1
        heapq.heappush(self.deadlines, (seat.until_us, self.push_count, seat))

    def kept(self) -> list[tuple[str, bytes]]:
        """What a store keeps."""
        return [
            (
                seat.session_id,
                msgspec.msgpack.encode(
                    StoredSeat(seat.pool[0], seat.pool[1], seat.until_us, seat.renewal_keys)
                ),
            )
            for seat in self.held.values()
        ]

    def restore(self, id: str, raw: bytes, length_us: int, wall_us: int) -> bool:
        """A seat of an earlier life, whose subscription plays on; it keeps its old time, and no more than a
        clock that went back could give it."""
        try:
            kept: StoredSeat = msgspec.msgpack.decode(raw, type=StoredSeat)
        except msgspec.MsgspecError:
            return False
        until_us = min(kept.until_us, wall_us + length_us)
        # One that is held already is the same seat: made anew it was counted twice.
        seat = self.held.get(id) or Seat(
            id, (kept.title, kept.room), length_us, until_us, renewal_keys=kept.keys[-MAX_RENEWAL_KEYS:]
        )
        return self._apply(seat, SeatEvent.ACQUIRED, wall_us).act is SeatAction.COUNT


def replay_counts(steps: list[SeatTransition]) -> Counter[tuple[str, str]]:
    """The totals of a ledger read again from its steps."""
    counts: Counter[tuple[str, str]] = Counter()
    for step in steps:
        counts[step.pool] += (step.act is SeatAction.COUNT) - (step.act is SeatAction.FREE)
    return +counts
