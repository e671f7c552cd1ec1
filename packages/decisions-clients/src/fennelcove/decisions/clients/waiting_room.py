"""When rejected clients are to come back, and whom a front admits during a retry storm.

Each rejected client is given a ticket: a time window in a virtual queue. Windows are handed out at the rate
at which this front's set-ups have lately been served, which rises as servers warm up, so that the crowd comes
back as capacity becomes available. A ticket is a signed token: no state is kept for it, a front that restarts
with the same key accepts it, and a forged one is recognized.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec
from fennelcove.decisions.clients import signed_tokens
from fennelcove.decisions.clients.signed_tokens import Mac
from fennelcove.decisions.clients.wait_window import WaitWindow
from msgspec import Struct

MIN_WAIT_US = 1_000_000  # Retry-After counts whole seconds
# The rate may double each second, so an estimate further ahead is worth nothing. With waits of up to 30 s the
# crowd of a zone stayed away from servers that had capacity (median wait 30 s, p90 120 s).
MAX_WAIT_US = 8_000_000
# The window's length, as a fraction of the wait: it spreads clients whose clocks agree.
WINDOW_FRACTION = 0.25
MIN_WINDOW_US = 500_000
MIN_RATE_PER_S = 0.5  # set-ups a second that are handed out where nothing was served lately
# The fraction of the rate kept for first tries; the rest is for retries, so that neither starves.
FIRST_TRY_FRACTION = 0.5
MAX_BURST_S = 2.0  # seconds of its rate that a bucket may save up
GROWTH_PER_S = 2.0  # while next to nothing is rejected: capacity must not wait for a slow estimate
DECREASE_FACTOR = 0.7
HEADROOM_FACTOR = 1.25  # times what is served, so that capacity that becomes available is used at once
MAX_RATE_PER_S = 1000.0
MAX_COST = 4.0  # times a mean set-up: what the lowest priority weight costs of the rate
PRIORITY_WEIGHT_SAMPLES = 64  # requests over which the mean priority weight is taken
MAX_REJECTED_FRACTION = 0.2  # of those admitted: from here on capacity is exhausted
MIN_ADVANCE_S = 0.25
SMOOTHING_S = 2  # time constant of the served rate
MAX_QUEUES = 1024
MAX_DOUBLINGS = 3
MAX_TICKET_CHARS = 400
US_PER_S = 1e6


class QueueTicket(Struct, frozen=True, array_like=True):
    """A client's window in the queue, in wall time; encoded by the order of its fields."""

    client: str
    title: str
    room_type: str
    earliest_us: int
    latest_us: int
    vain: int = 0  # how often its holder was rejected again after its wait


class TicketStatus(Enum):
    """What a request shows about its place in the queue; member names appear in responses and counters."""

    FIRST = auto()  # a first try
    AGAIN = auto()  # a retry without a ticket
    EARLY = auto()  # a ticket whose window has not begun
    DUE = auto()  # a ticket, in its window
    LATE = auto()  # a ticket whose window has passed: better than none
    INVENTED = auto()  # a ticket not signed here, or given to another client


class AvailableCapacity(Enum):
    """How the placement policy dealt with the requests admitted lately."""

    AVAILABLE = auto()  # it rejected next to none
    EXHAUSTED = auto()


class QueueDecision(Enum):
    """What becomes of a request."""

    ADMIT = auto()  # pass it to the policy
    ADMIT_AT_RATE = auto()  # pass it to the policy where the rate allows, else decide by `TURNED_AWAY`
    UNRESERVED_TICKET = auto()  # reject it, with a window at the queue's end that is not reserved
    KEEP_TICKET = auto()  # reject it: it is to come back in its ticket's window
    NEW_TICKET = auto()  # reject it, with a window reserved at the queue's end
    EARLY_TICKET = auto()  # reject it, with an early window: it has waited before


# While tickets are in force. With capacity available only those wait who can do so without harm: held to the
# rate, first tries were rejected that servers had capacity for (147 of 200 watched, 191 without any damping).
DECISIONS: dict[tuple[TicketStatus, AvailableCapacity], QueueDecision] = {
    (TicketStatus.FIRST, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT,
    (TicketStatus.AGAIN, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT_AT_RATE,
    (TicketStatus.EARLY, AvailableCapacity.AVAILABLE): QueueDecision.KEEP_TICKET,
    (TicketStatus.DUE, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT,
    (TicketStatus.LATE, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT,
    (TicketStatus.INVENTED, AvailableCapacity.AVAILABLE): QueueDecision.UNRESERVED_TICKET,
    (TicketStatus.FIRST, AvailableCapacity.EXHAUSTED): QueueDecision.ADMIT_AT_RATE,
    # A retry without a ticket has most likely been given one: a further one each time would reserve windows
    # for nobody.
    (TicketStatus.AGAIN, AvailableCapacity.EXHAUSTED): QueueDecision.UNRESERVED_TICKET,
    (TicketStatus.EARLY, AvailableCapacity.EXHAUSTED): QueueDecision.KEEP_TICKET,
    # The policy decides on each whose window has begun: it knows best where there is capacity.
    (TicketStatus.DUE, AvailableCapacity.EXHAUSTED): QueueDecision.ADMIT,
    (TicketStatus.LATE, AvailableCapacity.EXHAUSTED): QueueDecision.ADMIT,
    (TicketStatus.INVENTED, AvailableCapacity.EXHAUSTED): QueueDecision.UNRESERVED_TICKET,
}

# For requests that the rate does not allow, and those that the policy rejects.
REJECTED_DECISIONS: dict[TicketStatus, QueueDecision] = {
    TicketStatus.FIRST: QueueDecision.NEW_TICKET,
    TicketStatus.AGAIN: QueueDecision.UNRESERVED_TICKET,
    TicketStatus.DUE: QueueDecision.EARLY_TICKET,
    TicketStatus.LATE: QueueDecision.EARLY_TICKET,
}


def sign_ticket(ticket: QueueTicket, mac: Mac) -> str:
    """The signed text of a ticket."""
    return signed_tokens.sign(msgspec.json.encode(ticket), mac)


def verify_ticket(text: str, macs: list[Mac]) -> QueueTicket | None:
    """The ticket of a text signed under one of these keys; None for any other text."""
    raw = signed_tokens.verify(text, macs, MAX_TICKET_CHARS)
    if raw is None:
        return None
    try:
        return msgspec.json.decode(raw, type=QueueTicket)
    except msgspec.MsgspecError:
        return None


def ticket_status(
    ticket: QueueTicket | None,
    has_token: bool,
    is_retry: bool,
    requested: tuple[str, str, str],
    wall_us: int,
) -> TicketStatus:
    """The status of a request.

    Args:
        ticket: the verified ticket that it presents.
        has_token: whether it presents any text as a ticket.
        is_retry: whether it is a further try.
        requested: its client, title and service class, which a ticket must name.
        wall_us: the wall time.
    """
    if ticket is None:
        if has_token:
            return TicketStatus.INVENTED
        return TicketStatus.AGAIN if is_retry else TicketStatus.FIRST
    if (ticket.client, ticket.title, ticket.room_type) != requested:
        return TicketStatus.INVENTED
    if wall_us < ticket.earliest_us:
        return TicketStatus.EARLY
    return TicketStatus.DUE if wall_us <= ticket.latest_us else TicketStatus.LATE


@dataclass(slots=True)
class TokenBucket:
    """The set-ups that one class of requests may still make; never below zero."""

    tokens: float = 0.0

    def fill(self, added: float, capacity: float) -> float:
        """Add tokens; what exceeds the bucket's capacity is returned."""
        self.tokens += added
        excess = max(0.0, self.tokens - capacity)
        self.tokens -= excess
        return excess

    def try_acquire(self, cost: float) -> bool:
        """Take the tokens of one set-up; False where there are too few."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


@dataclass(slots=True)
class WaitingQueue:
    """One front's virtual queue for one title: its rate, and the time up to which windows are handed out.

    Each title has a queue of its own: in a single one, those who wanted a title with capacity waited for
    those who did not (p90 of the wait 12.7 s, 6.0 s without damping). Times in microseconds.
    """

    updated_us: int
    rate_per_s: float = MIN_RATE_PER_S  # set-ups a second that are admitted and handed out
    next_slot_us: int = 0
    served_count: int = 0
    admitted_count: float = 0.0
    rejected_count: float = 0.0  # of those admitted, by the policy
    is_rejecting: bool = False
    served_per_s: float = 0.0  # smoothed
    first_tries: TokenBucket = field(default_factory=TokenBucket)
    retries: TokenBucket = field(default_factory=TokenBucket)
    mean_priority_weight: float = 0.0
    request_count: int = 0

    def cost(self, priority_weight: float) -> float:
        """The tokens that a set-up of this priority weight costs; one of the mean weight costs one.

        So service classes share the rate in proportion to their weights, and none is shut out.
        """
        self.request_count += 1
        samples = min(self.request_count, PRIORITY_WEIGHT_SAMPLES)
        self.mean_priority_weight += (priority_weight - self.mean_priority_weight) / samples
        if priority_weight <= 0:
            return MAX_COST
        return min(MAX_COST, max(1 / MAX_COST, self.mean_priority_weight / priority_weight))

    @property
    def capacity(self) -> AvailableCapacity:
        """How the policy dealt with the requests admitted lately."""
        return AvailableCapacity.EXHAUSTED if self.is_rejecting else AvailableCapacity.AVAILABLE

    def advance(self, now_us: int) -> None:
        """Bring the queue up to now: the rate follows what can be served, and the buckets fill."""
        elapsed_s = (now_us - self.updated_us) / US_PER_S
        if elapsed_s < MIN_ADVANCE_S:
            return
        self._update_rate(elapsed_s)
        self.updated_us = now_us
        self.served_count = 0
        # A title may be requested less than once in such a time: what came before counts on, by half.
        self.admitted_count /= 2
        self.rejected_count /= 2
        self._fill_buckets(min(elapsed_s, MAX_BURST_S))

    def _update_rate(self, elapsed_s: float) -> None:
        """Double the rate each second, or lower it towards what was served while the policy rejects.

        What was served does not measure what could be: without a crowd it is what was requested.
        """
        if self.admitted_count or self.rejected_count or elapsed_s >= MAX_BURST_S:
            self.is_rejecting = self.rejected_count > MAX_REJECTED_FRACTION * self.admitted_count
        served_per_s = self.served_count / elapsed_s
        self.served_per_s += (served_per_s - self.served_per_s) * min(1.0, elapsed_s / SMOOTHING_S)
        if self.is_rejecting:
            rate = max(self.served_per_s * HEADROOM_FACTOR, self.rate_per_s * DECREASE_FACTOR)
        else:
            rate = self.rate_per_s * GROWTH_PER_S ** min(elapsed_s, MAX_BURST_S)
        self.rate_per_s = min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, rate))

    def _fill_buckets(self, elapsed_s: float) -> None:
        gained = self.rate_per_s * elapsed_s
        capacity = max(MAX_COST, self.rate_per_s * MAX_BURST_S)
        excess = self.first_tries.fill(gained * FIRST_TRY_FRACTION, capacity)
        excess = self.retries.fill(gained * (1 - FIRST_TRY_FRACTION) + excess, capacity)
        # What one bucket can't hold the other may have: none of the rate is lost while anybody waits.
        self.first_tries.fill(excess, capacity)

    def admit(self, status: TicketStatus, cost: float = 1.0) -> bool:
        """Whether the rate allows one more request of this status; if so its tokens are taken."""
        own, other = self.first_tries, self.retries
        if status is not TicketStatus.FIRST:
            own, other = other, own
        if own.try_acquire(cost):
            return True
        # Of the other bucket only what it has saved up beyond a second of its part is free to take.
        has_surplus = other.tokens > self.rate_per_s * FIRST_TRY_FRACTION + cost
        return has_surplus and other.try_acquire(cost)

    def early_window(self, draw: float, rejections: int) -> WaitWindow:
        """An early window for one that was rejected again after its wait.

        The minimum wait, doubled for each such rejection, its upper half at random. At the queue's end those
        who kept to their windows lost to those who had not; with the minimum each time they used up their
        tries (293 of 410 watched, 358 without damping).

        Args:
            draw: a random number, from 0 up to 1.
            rejections: how often it was rejected after its wait.
        """
        max_wait_us = min(MAX_WAIT_US, MIN_WAIT_US << min(rejections, MAX_DOUBLINGS))
        wait_us = max(MIN_WAIT_US, _jittered(max_wait_us, draw))
        return WaitWindow(wait_us, wait_us + MIN_WINDOW_US)

    def reserve_window(
        self, now_us: int, max_wait_us: int | None, draw: float, is_reserved: bool = True
    ) -> WaitWindow:
        """The window at the queue's end: one after another at the queue's rate.

        Args:
            now_us: the time.
            max_wait_us: the longest Retry-After that the client accepts; None for any. A longer wait is
                replaced by one within it, over its upper half, since the client would ignore the longer one.
            draw: a random number, from 0 up to 1.
            is_reserved: whether the window is the client's own; else the next one may get it as well.
        """
        slot_us = max(self.next_slot_us + round(US_PER_S / self.rate_per_s), now_us + MIN_WAIT_US)
        if is_reserved:
            self.next_slot_us = min(slot_us, now_us + MAX_WAIT_US)
        wait_us = slot_us - now_us
        if wait_us > MAX_WAIT_US:
            wait_us = _jittered(MAX_WAIT_US, draw)
        if max_wait_us is not None:
            accepted_us = max(max_wait_us, MIN_WAIT_US)
            if wait_us > accepted_us:
                wait_us = max(MIN_WAIT_US, _jittered(accepted_us, draw))
        length_us = max(MIN_WINDOW_US, round(wait_us * WINDOW_FRACTION))
        return WaitWindow(wait_us, wait_us + length_us)


def _jittered(wait_us: int, draw: float) -> int:
    """A wait spread at random over its upper half."""
    return round(wait_us * (0.5 + draw / 2))


class WaitingRoom:
    """A queue for each title requested lately, a bounded number; the least recently used is evicted."""

    def __init__(self) -> None:
        self.by_title: OrderedDict[str, WaitingQueue] = OrderedDict()

    def queue_for(self, title: str, now_us: int) -> WaitingQueue:
        """The queue of a title, brought up to now."""
        queue = self.by_title.get(title)
        if queue is None:
            queue = self.by_title[title] = WaitingQueue(now_us)
            if len(self.by_title) > MAX_QUEUES:
                self.by_title.popitem(last=False)
        self.by_title.move_to_end(title)
        queue.advance(now_us)
        return queue

    def backlogged_rates(self, now_us: int) -> dict[str, float]:
        """The rates of titles whose windows reach past now."""
        return {
            title: queue.rate_per_s for title, queue in self.by_title.items() if queue.next_slot_us > now_us
        }
