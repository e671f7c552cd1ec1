"""When those who are turned away should come back, and who may come in while a storm lasts.

Each one turned away gets a place: a time span in a queue that exists only as a promise. Places are given out
at the pace at which this front's set-ups have lately been served, which rises as cold boxes warm up, so that
the crowd comes back as room comes free. A place is a token with a MAC over what it promises to whom: no state
is kept for it, a front that restarts with the same key honours it, and an invented one is known.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec
from msgspec import Struct

from fennelcove.decisions.clients import signed_tokens
from fennelcove.decisions.clients.signed_tokens import Mac

LEAST_WAIT_US = 1_000_000  # Retry-After counts whole seconds
# The pace may double each second: what it says of a time further off is worth nothing. Told up to 30 s, a
# hall's crowd stayed away from boxes that had room (median wait 30 s, p90 120 s).
MAX_WAIT_US = 8_000_000
WINDOW_FRACTION = (
    0.25  # of the wait is the span in which the holder may come: it spreads those whose clocks agree
)
SPAN_LEAST_US = 500_000
MIN_RATE_PER_S = 0.5  # set-ups a second that are promised where nothing was served lately
FIRST_TRY_FRACTION = (
    0.5  # of the pace is kept for first tries, the rest for those who come back: neither starves
)
MAX_BURST_S = 2.0  # seconds of its pace that a class may save up
GROWTH_PER_S = 2.0  # a second, while nothing is refused: room that is there must not wait for a slow guess
DECREASE_FACTOR = 0.7
HEADROOM_FACTOR = 1.25  # times what is served, so that room that comes free is asked for at once
MAX_RATE_PER_S = 1000.0
MAX_COST = 4.0  # times a mean set-up: what the least benefit costs of the pace
PRIORITY_WEIGHT_SAMPLES = 64  # requests over which the mean benefit is taken
MAX_REJECTED_FRACTION = 0.2  # of those let in: from here on there is no room
MAX_QUEUES = 1024
MAX_DOUBLINGS = 3
MAX_TICKET_CHARS = 400


class QueueTicket(Struct, frozen=True, array_like=True):
    """What was promised: whom, for what, and between which wall times in microseconds."""

    client: str
    title: str
    room_type: str
    earliest_us: int
    latest_us: int
    vain: int = 0  # how often its holder has waited its time in vain


class TicketStatus(Enum):
    """How one that asks stands."""

    FIRST = auto()  # a first try
    AGAIN = auto()  # a further try without a place
    EARLY = auto()  # a place whose time has not come
    DUE = auto()  # a place, in its time
    LATE = auto()  # a place whose time has passed: better than none
    INVENTED = auto()  # a token that nobody here made, or made for another


class AvailableCapacity(Enum):
    """What the module made of those let in lately."""

    AVAILABLE = auto()  # it refused next to nobody
    EXHAUSTED = auto()


class QueueDecision(Enum):
    """What the door does."""

    LET_IN = auto()  # ask the module
    BY_PACE = auto()  # ask the module where the pace has room for one more, else as TURNED_AWAY says
    GUEST_PLACE = auto()  # refused, with a place behind all others that nobody waits behind
    KEEP_PLACE = auto()  # come back when the place says
    NEW_PLACE = auto()  # refused, with a place behind all others
    NEXT_PLACE = auto()  # refused, with a place among the next: it has waited its time


# While places are kept. Where there is room nobody waits but who can do it without harm: held to the pace
# then, first tries were turned away for whom boxes had room (147 of 200 watched, 191 without any damping).
TRANSITIONS: dict[tuple[TicketStatus, AvailableCapacity], QueueDecision] = {
    (TicketStatus.FIRST, AvailableCapacity.AVAILABLE): QueueDecision.LET_IN,
    (TicketStatus.AGAIN, AvailableCapacity.AVAILABLE): QueueDecision.BY_PACE,
    (TicketStatus.EARLY, AvailableCapacity.AVAILABLE): QueueDecision.KEEP_PLACE,
    (TicketStatus.DUE, AvailableCapacity.AVAILABLE): QueueDecision.LET_IN,
    (TicketStatus.LATE, AvailableCapacity.AVAILABLE): QueueDecision.LET_IN,
    (TicketStatus.INVENTED, AvailableCapacity.AVAILABLE): QueueDecision.GUEST_PLACE,
    (TicketStatus.FIRST, AvailableCapacity.EXHAUSTED): QueueDecision.BY_PACE,
    # One that comes again without its place has most likely been given one: a further one each time would
    # hold places for nobody.
    (TicketStatus.AGAIN, AvailableCapacity.EXHAUSTED): QueueDecision.GUEST_PLACE,
    (TicketStatus.EARLY, AvailableCapacity.EXHAUSTED): QueueDecision.KEEP_PLACE,
    # The module is asked for each whose time has come: it knows best what has room.
    (TicketStatus.DUE, AvailableCapacity.EXHAUSTED): QueueDecision.LET_IN,
    (TicketStatus.LATE, AvailableCapacity.EXHAUSTED): QueueDecision.LET_IN,
    (TicketStatus.INVENTED, AvailableCapacity.EXHAUSTED): QueueDecision.GUEST_PLACE,
}

# For whom the pace has no room, and whom the module refuses.
TURNED_AWAY: dict[TicketStatus, QueueDecision] = {
    TicketStatus.FIRST: QueueDecision.NEW_PLACE,
    TicketStatus.AGAIN: QueueDecision.GUEST_PLACE,
    TicketStatus.DUE: QueueDecision.NEXT_PLACE,
    TicketStatus.LATE: QueueDecision.NEXT_PLACE,
}


def sign_ticket(place: QueueTicket, mac: Mac) -> str:
    """A place as a token."""
    return signed_tokens.sign(msgspec.json.encode(place), mac)


def verify_ticket(token: str, macs: list[Mac]) -> QueueTicket | None:
    """The place of a token made under one of these keys; None for any other text."""
    raw = signed_tokens.verify(token, macs, MAX_TICKET_CHARS)
    if raw is None:
        return None
    try:
        return msgspec.json.decode(raw, type=QueueTicket)
    except msgspec.MsgspecError:
        return None


def ticket_status(
    place: QueueTicket | None, token: bool, again: bool, asked: tuple[str, str, str], wall_us: int
) -> TicketStatus:
    """How one stands that asks for (client, title, room type)."""
    if place is None:
        return TicketStatus.INVENTED if token else TicketStatus.AGAIN if again else TicketStatus.FIRST
    if (place.client, place.title, place.room_type) != asked:
        return TicketStatus.INVENTED
    if wall_us < place.earliest_us:
        return TicketStatus.EARLY
    return TicketStatus.DUE if wall_us <= place.latest_us else TicketStatus.LATE


@dataclass(slots=True)
class TokenBucket:
    """What one class may still take, in set-ups; never below nothing."""

    tokens: float = 0.0

    def fill(self, more: float, most: float) -> float:
        """Add; what is over is handed back."""
        self.tokens += more
        over = max(0.0, self.tokens - most)
        self.tokens -= over
        return over

    def try_acquire(self, cost: float) -> bool:
        """One set-up, at what it costs of the pace."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


@dataclass(slots=True)
class WaitingQueue:
    """The promise of one front for one title: its pace, and the time up to which places are given out.

    A queue for each title: held in one, those who wanted a title with room waited for those who did not (p90
    of the wait 12.7 s, 6.0 s without damping). Times in microseconds.
    """

    updated_us: int
    pace: float = MIN_RATE_PER_S  # set-ups a second that are let in and promised
    next_slot_us: int = 0
    served: int = 0
    let_in: float = 0.0
    refused: float = 0.0  # of those let in, by the module
    is_rejecting: bool = False
    served_per_s: float = 0.0  # set-ups served a second, smoothed
    first_tries: TokenBucket = field(default_factory=TokenBucket)
    retries: TokenBucket = field(default_factory=TokenBucket)
    mean_priority_weight: float = 0.0  # of those who ask, the mean
    request_count: int = 0

    def cost(self, priority_weight: float) -> float:
        """What a set-up of this benefit costs of the pace; one of the mean benefit costs one.

        So room types share the pace as their benefits are to each other, and none is shut out.
        """
        self.request_count += 1
        self.mean_priority_weight += (priority_weight - self.mean_priority_weight) / min(
            self.request_count, PRIORITY_WEIGHT_SAMPLES
        )
        return min(
            MAX_COST,
            max(
                1 / MAX_COST, self.mean_priority_weight / priority_weight if priority_weight > 0 else MAX_COST
            ),
        )

    @property
    def room(self) -> AvailableCapacity:
        """What the module made of those let in lately."""
        return AvailableCapacity.EXHAUSTED if self.is_rejecting else AvailableCapacity.AVAILABLE

    def advance(self, now_us: int) -> None:
        """Time passes: the pace follows what can be served, and both classes' buckets fill.

        What was served is no measure of what could be: in a calm it is what was asked for. So the pace
        doubles each second while the module refuses next to nobody, and falls towards what was served while
        it refuses.
        """
        seconds = (now_us - self.updated_us) / 1e6
        if seconds < 0.25:
            return
        rate = self.served / seconds
        if self.let_in or self.refused or seconds >= MAX_BURST_S:
            self.is_rejecting = self.refused > MAX_REJECTED_FRACTION * self.let_in
        self.served_per_s += (rate - self.served_per_s) * min(1.0, seconds / 2)
        grown = self.pace * GROWTH_PER_S ** min(seconds, MAX_BURST_S)
        self.pace = (
            max(self.served_per_s * HEADROOM_FACTOR, self.pace * DECREASE_FACTOR)
            if self.is_rejecting
            else grown
        )
        self.pace = min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, self.pace))
        # One title is seldom asked for twice in such a span: what was before it counts on, by half.
        self.updated_us, self.served = now_us, 0
        self.let_in, self.refused = self.let_in / 2, self.refused / 2
        gained, most = self.pace * min(seconds, MAX_BURST_S), max(MAX_COST, self.pace * MAX_BURST_S)
        over = self.first_tries.fill(gained * FIRST_TRY_FRACTION, most)
        over = self.retries.fill(gained * (1 - FIRST_TRY_FRACTION) + over, most)
        # What one class leaves the other may have: no pace is lost while anybody waits.
        self.first_tries.fill(over, most)

    def admit(self, who: TicketStatus, cost: float = 1.0) -> bool:
        """Whether the pace still has room for one of this standing."""
        own, other = (
            (self.first_tries, self.retries)
            if who is TicketStatus.FIRST
            else (self.retries, self.first_tries)
        )
        if own.try_acquire(cost):
            return True
        # Of the other class only what it has saved up over a second of its share is free to take.
        return other.tokens > self.pace * FIRST_TRY_FRACTION + cost and other.try_acquire(cost)

    def soon(self, draw: float, vain: int) -> tuple[int, int]:
        """The wait of one that has waited its time in vain, so many times: the least, doubled each time, the
        half of it by chance.

        Sent to the end of the queue, those who did as they were told lost to those who had not; told the
        least each time, they used up their tries (293 of 410 watched, 358 without damping).
        """
        most_us = min(MAX_WAIT_US, LEAST_WAIT_US << min(vain, MAX_DOUBLINGS))
        wait_us = max(LEAST_WAIT_US, round(most_us * (0.5 + draw / 2)))
        return wait_us, wait_us + SPAN_LEAST_US

    def promise(
        self, now_us: int, most_us: int | None, draw: float, reserves: bool = True
    ) -> tuple[int, int]:
        """The earliest and latest wait of the next place, from now; without `reserves` it is nobody's.

        One place after another at the pace. A client that heeds no wait beyond `most_us` is told a time
        within it, spread over its upper half, since a longer one would be taken for none.
        """
        next_us = max(self.next_slot_us + round(1e6 / self.pace), now_us + LEAST_WAIT_US)
        wait_us = next_us - now_us
        if reserves:
            self.next_slot_us = min(next_us, now_us + MAX_WAIT_US)
        if wait_us > MAX_WAIT_US:
            wait_us = round(MAX_WAIT_US * (0.5 + draw / 2))
        if most_us is not None and wait_us > max(most_us, LEAST_WAIT_US):
            wait_us = round(max(most_us, LEAST_WAIT_US) * (0.5 + draw / 2))
            wait_us = max(LEAST_WAIT_US, wait_us)
        span_us = max(SPAN_LEAST_US, round(wait_us * WINDOW_FRACTION))
        return wait_us, wait_us + span_us


class WaitingRoom:
    """A queue for each title asked for lately, a bounded number; the one longest unused goes first."""

    def __init__(self) -> None:
        self.by_title: OrderedDict[str, WaitingQueue] = OrderedDict()

    def of(self, title: str, now_us: int) -> WaitingQueue:
        """The queue of a title, brought up to now."""
        queue = self.by_title.get(title)
        if queue is None:
            queue = self.by_title[title] = WaitingQueue(now_us)
            if len(self.by_title) > MAX_QUEUES:
                self.by_title.popitem(last=False)
        self.by_title.move_to_end(title)
        queue.advance(now_us)
        return queue

    def waiting(self, now_us: int) -> dict[str, float]:
        """For titles whose places reach past now, the pace."""
        return {title: queue.pace for title, queue in self.by_title.items() if queue.next_slot_us > now_us}
