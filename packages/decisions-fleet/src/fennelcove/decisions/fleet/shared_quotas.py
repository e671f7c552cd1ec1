"""A quota of the whole fleet for each countable resource, split among its fronts, which lend spare capacity.

Each front has an equal share of the total, divided by the number of fronts that may exist, reachable or not.
A busy front requests more from the others; one with capacity to spare lends it for a stated time. The lender
does without it for longer than the borrower may use it: the borrower counts the time from when it sent its
request, by its own clock, and the lender from when it received the request. The shares therefore never add up
to more than the total, even if messages are lost, duplicated, delayed or cut off by a partition: the capacity
of a lost loan is used by no front. A front that has restarted does not know what its previous incarnation
lent, so until those loans have expired it has only the fraction that is never lent; loans that its previous
incarnation received are not valid for it.

In any period all fronts together use at most the total rate for that period, the bursts that may be saved up,
and one unit for each incarnation that started.

Times are in microseconds of one front's monotonic clock, rates in units a second.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, exp, floor
from typing import NamedTuple

LOAN_US = 2_000_000
CLOCK_DRIFT = 0.05  # by how much two clocks may differ in rate
RESERVED_FRACTION = 0.1  # of its share, which a front never lends: a new incarnation may use it at once
LENDER_HEADROOM = 0.25  # of its demand, which a lender retains in addition to the demand itself
BURST_S = 0.5  # seconds of its rate that a front may save up; at least one unit
DEMAND_WINDOW_US = 2_000_000
REQUEST_INTERVAL_US = 500_000  # between two rounds of requests by a busy front
MAX_REQUESTS_PER_ROUND = 8
MAX_PENDING_REQUESTS = 32
MICROSECONDS_PER_SECOND = 1e6
ROUNDING_TOLERANCE = 1e-9
RELEASED = 0.0  # the rate of a transfer that releases a loan


class Resource(IntEnum):
    """A resource that the fleet shares."""

    FURTHER_JOIN = 0  # a retry
    PROBE = 1
    LIST_CALL = 2  # a request to the endpoint discovery service
    SLOT = 3  # of concurrency, at one server


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """The message by which a front requests more of a resource."""

    incarnation: int  # the borrower's incarnation
    sequence: int  # the sequence number of this request within the incarnation
    resource: Resource
    rate: float


@dataclass(frozen=True, slots=True)
class QuotaTransfer:
    """The response: a rate that is lent from the time the request was sent; 0 releases the loan."""

    incarnation: int  # the borrower's incarnation
    sequence: int
    resource: Resource
    rate: float


class RequestId(NamedTuple):
    """The identity of a request; duplicates of a request share it."""

    incarnation: int
    sequence: int


@dataclass(slots=True)
class LentQuota:
    """A loan to one peer."""

    rate: float
    until_us: int
    request_id: RequestId


class BorrowedQuota(NamedTuple):
    """A loan from one peer."""

    rate: float
    until_us: int


class PendingRequest(NamedTuple):
    """A request without a response so far."""

    lender: int
    request: QuotaRequest
    sent_us: int


def _round_down(rate: float, granularity: float) -> float:
    if not granularity:
        return rate
    return floor(rate / granularity + ROUNDING_TOLERANCE) * granularity


def _other_fronts(index: int, front_count: int) -> list[int]:
    return [(index + 1 + step) % front_count for step in range(front_count - 1)]


def _recent_requests(pending: Iterable[PendingRequest], after_us: int) -> list[tuple[int, QuotaRequest]]:
    return [(request.lender, request.request) for request in pending if request.sent_us > after_us]


@dataclass(slots=True)
class Quota:
    """One front's quota of one resource. The caller supplies times and randomness, and sends messages."""

    resource: Resource
    total_rate: float  # of the whole fleet
    front_count: int
    index: int
    incarnation: int
    now_us: int
    started_us: int = 0
    tokens: float = 1.0  # one at the start: a front must not wait for its first endpoint list
    demand: float = 0.0  # units a second, averaged over `DEMAND_WINDOW_US`
    sequence: int = 0  # of the newest request
    requested_us: int = -REQUEST_INTERVAL_US
    pending_requests: OrderedDict[int, PendingRequest] = field(default_factory=OrderedDict)
    lent: dict[int, LentQuota] = field(default_factory=dict)
    borrowed: dict[int, BorrowedQuota] = field(default_factory=dict)
    spent_count: int = 0
    denied_count: int = 0
    loan_us: int = LOAN_US
    reserved_fraction: float = RESERVED_FRACTION
    granularity: float = 0.0  # loans are multiples of it, as a slot can't be divided; 0 for any rate
    request_interval_us: int = REQUEST_INTERVAL_US
    request_fanout: int = 1  # peers that are asked for each missing unit
    request_reuse_us: int = LOAN_US // 2  # how long a request is repeated before another peer is asked
    is_cleared: bool = False  # every peer has confirmed that it uses no loan of a previous incarnation
    loan_sequences: dict[int, int] = field(default_factory=dict)  # sequence number of each lender's loan

    def __post_init__(self) -> None:
        self.started_us = self.now_us

    @property
    def equal_share(self) -> float:
        """The rate that each front has without loans."""
        return self.total_rate / self.front_count

    @property
    def reserved(self) -> float:
        """The rate that is never lent."""
        return _round_down(self.equal_share * self.reserved_fraction, self.granularity)

    @property
    def recovering_until_us(self) -> int:
        """The time until which peers may still use loans of a previous incarnation."""
        if self.is_cleared:
            return self.started_us
        return self.started_us + round(self.loan_us * (1 + CLOCK_DRIFT) ** 2)

    # Spending.

    def rate(self, now_us: int) -> float:
        """The rate that this front may use now, in addition to saved tokens."""
        lent = sum(loan.rate for loan in self.lent.values() if now_us < loan.until_us)
        # After the total was lowered, loans may exceed the current share.
        own = self.reserved if now_us < self.recovering_until_us else max(0.0, self.equal_share - lent)
        return own + sum(rate for rate, until_us in self.borrowed.values() if now_us < until_us)

    def lasting_rate(self, now_us: int, end_us: int) -> float:
        """The part of the current rate that lasts until `end_us`."""
        ends = (rate for rate, until_us in self.borrowed.values() if now_us < until_us < end_us)
        return self.rate(now_us) - sum(ends)

    def advance(self, now_us: int) -> None:
        """Advance the clock; each loan counts for exactly its duration, however rarely this is called."""
        self._accrue_tokens(now_us)
        self._cap_tokens(now_us)
        self.demand *= exp(-max(0, now_us - self.now_us) / DEMAND_WINDOW_US)
        self.now_us = max(self.now_us, now_us)
        self.lent = {peer: loan for peer, loan in self.lent.items() if now_us < loan.until_us}
        self.borrowed = {peer: loan for peer, loan in self.borrowed.items() if now_us < loan.until_us}

    def _accrue_tokens(self, now_us: int) -> None:
        rate_changes_us = [self.recovering_until_us]
        rate_changes_us += [loan.until_us for loan in self.lent.values()]
        rate_changes_us += [until_us for _, until_us in self.borrowed.values()]
        at_us = self.now_us
        passed_us = sorted(change_us for change_us in rate_changes_us if at_us < change_us < now_us)
        for end_us in [*passed_us, now_us]:
            self.tokens += self.rate(at_us) * max(0, end_us - at_us) / MICROSECONDS_PER_SECOND
            at_us = max(at_us, end_us)

    def _cap_tokens(self, now_us: int) -> None:
        # Tokens saved up from a loan and used after its end would be used in addition to the lender's.
        self.tokens = min(self.tokens, max(1.0, BURST_S * self.rate(now_us)))

    def try_acquire(self, now_us: int) -> bool:
        """Acquire one unit if the quota permits it; return whether it was acquired."""
        self.advance(now_us)
        self.demand += MICROSECONDS_PER_SECOND / DEMAND_WINDOW_US
        if self.tokens < 1:
            self.denied_count += 1
            return False
        self.tokens -= 1
        self.spent_count += 1
        return True

    def wait_us(self, now_us: int) -> int:
        """The time until the next unit at the current rate, limited to the duration of a loan."""
        self.advance(now_us)
        missing = 1 - self.tokens
        if missing <= 0:
            return 0
        rate = self.rate(now_us)
        if rate <= 0:
            return round(self.loan_us)
        return round(min(self.loan_us, missing / rate * MICROSECONDS_PER_SECOND))

    # Borrowing.

    def next_requests(
        self, draw: float, now_us: int, until_us: int = 0, others: Sequence[int] | None = None
    ) -> list[tuple[int, QuotaRequest]]:
        """The requests to send now: as many as would suffice if each peer lent all that it may lend.

        Args:
            draw: a random number from 0 to 1, which selects the peers, so that idle ones are found in time.
            now_us: the current time.
            until_us: as `end_us` of `lasting_rate`.
            others: the peers that may have capacity to lend; None where that is unknown.

        Returns:
            Each request with its recipient.
        """
        if now_us < self.requested_us + self.request_interval_us:
            return []
        self.advance(now_us)
        shortfall = self.demand - self.lasting_rate(now_us, until_us)
        if others is None:
            others = _other_fronts(self.index, self.front_count)
        if not others or shortfall <= 0:
            return []
        self.requested_us = now_us
        peers_needed = (
            ceil(shortfall / max(self.equal_share - self.reserved, self.granularity)) * self.request_fanout
        )
        request_count = min(MAX_REQUESTS_PER_ROUND, len(others), peers_needed)
        # A request is repeated under the same number, so that one whose response was lost does not borrow
        # twice: without this, losing a third of all messages wasted a third of the lent capacity.
        requests = _recent_requests(self.pending_requests.values(), now_us - self.request_reuse_us)
        first = int(draw * len(others))
        for step in range(request_count - len(requests)):
            lender = others[(first + step) % len(others)]
            requests.append((lender, self._new_request(lender, shortfall, now_us)))
        while len(self.pending_requests) > MAX_PENDING_REQUESTS:
            self.pending_requests.popitem(last=False)
        return requests[:request_count]

    def _new_request(self, lender: int, rate: float, now_us: int) -> QuotaRequest:
        self.sequence += 1
        request = QuotaRequest(self.incarnation, self.sequence, self.resource, rate)
        self.pending_requests[self.sequence] = PendingRequest(lender, request, now_us)
        return request

    def on_transfer(self, sender: int, loan: QuotaTransfer, now_us: int) -> None:
        """Handle a peer's loan, which counts from when its request was sent, even if it arrives late."""
        self.advance(now_us)
        pending = self.pending_requests.get(loan.sequence)
        if loan.incarnation != self.incarnation or pending is None or pending.lender != sender:
            return
        del self.pending_requests[loan.sequence]
        until_us = pending.sent_us + self.loan_us
        if now_us < until_us:
            self.borrowed[sender] = BorrowedQuota(min(loan.rate, pending.request.rate), until_us)
            self.loan_sequences[sender] = loan.sequence

    def release(self, lender: int) -> QuotaTransfer | None:
        """Release a peer's loan, which no longer counts; return the message to send, if there was a loan."""
        loan = self.borrowed.pop(lender, None)
        if loan is None:
            return None
        return QuotaTransfer(self.incarnation, self.loan_sequences.pop(lender), self.resource, RELEASED)

    def cancel_requests(self) -> list[tuple[int, QuotaTransfer]]:
        """Cancel the pending requests; return the releases to send, since a loan may be on its way."""
        releases = [
            (pending.lender, QuotaTransfer(self.incarnation, sequence, self.resource, RELEASED))
            for sequence, pending in self.pending_requests.items()
        ]
        self.pending_requests.clear()
        return releases

    def forget_lender(self, lender: int) -> None:
        """Drop the loans of a peer that has restarted, including those that may still be on their way."""
        self.borrowed.pop(lender, None)
        self.loan_sequences.pop(lender, None)
        for sequence in [
            sequence for sequence, pending in self.pending_requests.items() if pending.lender == lender
        ]:
            del self.pending_requests[sequence]

    # Lending.

    def on_request(self, sender: int, request: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Handle a peer's request; return the loan to send, or None."""
        self.advance(now_us)
        is_peer = sender != self.index and 0 <= sender < self.front_count
        if now_us < self.recovering_until_us or not is_peer:
            return None
        request_id = RequestId(request.incarnation, request.sequence)
        known = self.lent.get(sender)
        if known is not None:
            # One loan to each peer at a time: a repeated request gets the same loan again, another one has to
            # wait until it has ended.
            is_repeated = known.request_id == request_id
            return QuotaTransfer(*request_id, request.resource, known.rate) if is_repeated else None
        lent = sum(loan.rate for loan in self.lent.values())
        spare = self.equal_share - self.reserved - lent - self.demand * (1 + LENDER_HEADROOM)
        rate = _round_down(min(spare, request.rate), self.granularity)
        if rate <= 0:
            return None
        # The loan and the tokens saved from it are deducted before the borrower is notified.
        until_us = now_us + round(self.loan_us * (1 + CLOCK_DRIFT))
        self.lent[sender] = LentQuota(rate, until_us, request_id)
        self._cap_tokens(now_us)
        return QuotaTransfer(*request_id, request.resource, rate)

    def on_release(self, sender: int, loan: QuotaTransfer) -> None:
        """Handle a borrower's release of its loan; if this message is lost, the loan simply expires."""
        known = self.lent.get(sender)
        if known is not None and known.request_id == RequestId(loan.incarnation, loan.sequence):
            del self.lent[sender]
