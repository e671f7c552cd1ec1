"""When rejected clients should retry, and which requests a front admits during a retry storm.

Each rejected client gets a ticket: a time window in a virtual queue. Windows are assigned at the rate at
which this front's set-ups have recently been served, which rises as servers warm up, so that clients retry
as capacity becomes available. A ticket is a signed token: it needs no stored state, it can't be forged, and a
front that restarts with the same key accepts it.
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
# The rate may double each second, so an estimate further ahead is meaningless. With waits of up to 30 s the
# clients of a zone stayed away from servers that had capacity (median wait 30 s, p90 120 s).
MAX_WAIT_US = 8_000_000
# The window's length, as a fraction of the wait: it spreads the retries of clients with the same wait.
WINDOW_FRACTION = 0.25
MIN_WINDOW_US = 500_000
MIN_RATE_PER_S = 0.5  # set-ups a second that are assigned even if nothing was served recently
# The fraction of the rate reserved for first tries; the rest is for retries, so that neither starves.
FIRST_TRY_FRACTION = 0.5
MAX_BURST_S = 2.0  # seconds of its rate that a bucket may save up
GROWTH_PER_S = 2.0  # while there are hardly any rejections: a slow estimate must not leave capacity unused
DECREASE_FACTOR = 0.7
HEADROOM_FACTOR = 1.25  # of the served rate, so that capacity that becomes available is used at once
MAX_RATE_PER_S = 1000.0
MAX_COST = 4.0  # of a set-up with the lowest priority weight; a mean set-up costs 1
PRIORITY_WEIGHT_SAMPLES = 64  # requests over which the priority weight is averaged
MAX_REJECTED_FRACTION = 0.2  # of the admitted requests; above it, capacity counts as exhausted
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
    room_type: str  # the service class
    earliest_us: int
    latest_us: int
    vain: int = 0  # how often its holder was rejected again after waiting


class TicketStatus(Enum):
    """The ticket status of a request; member names appear in responses and counters."""

    FIRST = auto()  # a first try
    AGAIN = auto()  # a retry without a ticket
    EARLY = auto()  # a ticket whose window has not begun
    DUE = auto()  # a ticket within its window
    LATE = auto()  # a ticket whose window has passed, which still counts for more than none
    INVENTED = auto()  # a ticket not signed with these keys, or issued to another client


class AvailableCapacity(Enum):
    """Whether there is capacity, judged by the policy's decisions on recently admitted requests."""

    AVAILABLE = auto()  # the policy rejected hardly any
    EXHAUSTED = auto()


class QueueDecision(Enum):
    """The decision on a request."""

    ADMIT = auto()  # pass it to the policy
    ADMIT_AT_RATE = auto()  # pass it to the policy if the rate allows, else decide by `REJECTED_DECISIONS`
    UNRESERVED_TICKET = auto()  # reject it, with a window at the queue's end that is not reserved
    KEEP_TICKET = auto()  # reject it until the window of its ticket
    NEW_TICKET = auto()  # reject it, with a window reserved at the queue's end
    EARLY_TICKET = auto()  # reject it, with an early window, because it has already waited


# These apply while tickets are required. With capacity available, only retries wait: when first tries were
# limited to the rate, some were rejected although servers had capacity (147 of 200 served, 191 without any
# damping).
DECISIONS: dict[tuple[TicketStatus, AvailableCapacity], QueueDecision] = {
    (TicketStatus.FIRST, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT,
    (TicketStatus.AGAIN, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT_AT_RATE,
    (TicketStatus.EARLY, AvailableCapacity.AVAILABLE): QueueDecision.KEEP_TICKET,
    (TicketStatus.DUE, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT,
    (TicketStatus.LATE, AvailableCapacity.AVAILABLE): QueueDecision.ADMIT,
    (TicketStatus.INVENTED, AvailableCapacity.AVAILABLE): QueueDecision.UNRESERVED_TICKET,
    (TicketStatus.FIRST, AvailableCapacity.EXHAUSTED): QueueDecision.ADMIT_AT_RATE,
    # A client that retries without a ticket has most likely got one before: another reserved window for each
    # retry would remain unused.
    (TicketStatus.AGAIN, AvailableCapacity.EXHAUSTED): QueueDecision.UNRESERVED_TICKET,
    (TicketStatus.EARLY, AvailableCapacity.EXHAUSTED): QueueDecision.KEEP_TICKET,
    # Requests whose window has begun are passed to the policy, which has the best knowledge of capacity.
    (TicketStatus.DUE, AvailableCapacity.EXHAUSTED): QueueDecision.ADMIT,
    (TicketStatus.LATE, AvailableCapacity.EXHAUSTED): QueueDecision.ADMIT,
    (TicketStatus.INVENTED, AvailableCapacity.EXHAUSTED): QueueDecision.UNRESERVED_TICKET,
}

# These apply to requests that exceed the rate, and to those that the policy rejects.
REJECTED_DECISIONS: dict[TicketStatus, QueueDecision] = {
    TicketStatus.FIRST: QueueDecision.NEW_TICKET,
    TicketStatus.AGAIN: QueueDecision.UNRESERVED_TICKET,
    TicketStatus.DUE: QueueDecision.EARLY_TICKET,
    TicketStatus.LATE: QueueDecision.EARLY_TICKET,
}


def sign_ticket(ticket: QueueTicket, mac: Mac) -> str:
    """The ticket as signed text."""
    return signed_tokens.sign(msgspec.json.encode(ticket), mac)


def verify_ticket(text: str, macs: list[Mac]) -> QueueTicket | None:
    """The ticket of a text signed with one of these keys; None for any other text."""
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
    """The ticket status of a request.

    Args:
        ticket: the verified ticket that it presents.
        has_token: whether it presents any text as a ticket.
        is_retry: whether it is a retry.
        requested: its client, title and service class, which must equal those of the ticket.
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
    """The tokens left for one class of requests; never below zero."""

    tokens: float = 0.0

    def fill(self, added: float, capacity: float) -> float:
        """Add tokens; return those that exceed the bucket's capacity."""
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
    """One front's virtual queue for one title: its rate, and the time up to which windows are assigned.

    Each title has its own queue: in a single queue, requests for a title with capacity waited behind those
    for titles without (p90 of the wait 12.7 s, 6.0 s without damping). Times in microseconds.
    """

    updated_us: int
    rate_per_s: float = MIN_RATE_PER_S  # set-ups a second that are admitted, or assigned to windows
    next_slot_us: int = 0
    served_count: int = 0
    admitted_count: float = 0.0
    rejected_count: float = 0.0  # admitted requests that the policy rejected
    is_rejecting: bool = False
    served_per_s: float = 0.0  # smoothed
    first_tries: TokenBucket = field(default_factory=TokenBucket)
    retries: TokenBucket = field(default_factory=TokenBucket)
    mean_priority_weight: float = 0.0
    request_count: int = 0

    def cost(self, priority_weight: float) -> float:
        """The tokens that a set-up of this priority weight costs; a set-up of the mean weight costs one.

        Service classes thus share the rate in proportion to their weights, and none starves.
        """
        self.request_count += 1
        samples = min(self.request_count, PRIORITY_WEIGHT_SAMPLES)
        self.mean_priority_weight += (priority_weight - self.mean_priority_weight) / samples
        if priority_weight <= 0:
            return MAX_COST
        return min(MAX_COST, max(1 / MAX_COST, self.mean_priority_weight / priority_weight))

    @property
    def capacity(self) -> AvailableCapacity:
        """Whether there is capacity, judged by the recently admitted requests."""
        return AvailableCapacity.EXHAUSTED if self.is_rejecting else AvailableCapacity.AVAILABLE

    def advance(self, now_us: int) -> None:
        """Advance the clock: update the rate and fill the buckets."""
        elapsed_s = (now_us - self.updated_us) / US_PER_S
        if elapsed_s < MIN_ADVANCE_S:
            return
        self._update_rate(elapsed_s)
        self.updated_us = now_us
        self.served_count = 0
        # A title may be requested less than once in this time, so earlier counts are halved and not reset.
        self.admitted_count /= 2
        self.rejected_count /= 2
        self._fill_buckets(min(elapsed_s, MAX_BURST_S))

    def _update_rate(self, elapsed_s: float) -> None:
        """Double the rate each second, or lower it towards the served rate while the policy rejects.

        Without rejections the served rate does not measure capacity: it equals the requested rate.
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
        # Tokens that do not fit into one bucket go to the other, so that no capacity is lost.
        self.first_tries.fill(excess, capacity)

    def admit(self, status: TicketStatus, cost: float = 1.0) -> bool:
        """Whether the rate allows another request of this status; if it does, its tokens are taken."""
        own, other = self.first_tries, self.retries
        if status is not TicketStatus.FIRST:
            own, other = other, own
        if own.try_acquire(cost):
            return True
        # Of the other bucket, only the tokens beyond one second of its part of the rate may be taken.
        has_surplus = other.tokens > self.rate_per_s * FIRST_TRY_FRACTION + cost
        return has_surplus and other.try_acquire(cost)

    def early_window(self, draw: float, rejections: int) -> WaitWindow:
        """An early window for a request that was rejected again after its wait.

        The wait is the minimum, doubled for each such rejection, and random over its upper half. With windows
        at the queue's end, clients that kept to their windows were served later than those that did not; with
        the minimum wait each time, they used up their tries (293 of 410 served, 358 without damping).

        Args:
            draw: a random number, from 0 up to 1.
            rejections: how often the request was rejected after its wait.
        """
        max_wait_us = min(MAX_WAIT_US, MIN_WAIT_US << min(rejections, MAX_DOUBLINGS))
        wait_us = max(MIN_WAIT_US, _jittered(max_wait_us, draw))
        return WaitWindow(wait_us, wait_us + MIN_WINDOW_US)

    def reserve_window(
        self, now_us: int, max_wait_us: int | None, draw: float, is_reserved: bool = True
    ) -> WaitWindow:
        """The window at the queue's end; windows follow one another at the queue's rate.

        Args:
            now_us: the current time.
            max_wait_us: the longest Retry-After that the client accepts; None for any. A longer wait is
                replaced by a random one in the upper half of that range, since the client would ignore it.
            draw: a random number, from 0 up to 1.
            is_reserved: whether the window is reserved for the client; else the next client may get it too.
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
    """The queues of recently requested titles, bounded in number; the least recently used is evicted."""

    def __init__(self) -> None:
        self.by_title: OrderedDict[str, WaitingQueue] = OrderedDict()

    def queue_for(self, title: str, now_us: int) -> WaitingQueue:
        """The queue of a title, advanced to the current time."""
        queue = self.by_title.get(title)
        if queue is None:
            queue = self.by_title[title] = WaitingQueue(now_us)
            if len(self.by_title) > MAX_QUEUES:
                self.by_title.popitem(last=False)
        self.by_title.move_to_end(title)
        queue.advance(now_us)
        return queue

    def backlogged_rates(self, now_us: int) -> dict[str, float]:
        """The rates of titles with windows assigned in the future."""
        return {
            title: queue.rate_per_s for title, queue in self.by_title.items() if queue.next_slot_us > now_us
        }
