"""One front's share of a server's slots, which idle fronts lend to busy ones like other shared quotas.

A front's share is the slots whose home is this front. Loans, their expiry and what a restarted front may do
follow `fennelcove.decisions.fleet.shared_quotas`, with three differences. Slots are indivisible. An attempt
occupies a slot until it ends, so a borrowed slot is used only for attempts that end before the loan does, and
a slot in use is never lent. A borrowed slot is returned as soon as nothing waits for it; otherwise the twelve
slots of a server and twelve fronts would become twelve queues of one slot each.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import floor

from fennelcove.concurrency_limits.quorum import home_slots, other_homes
from fennelcove.decisions.fleet.shared_quotas import Quota, QuotaRequest, QuotaTransfer, Resource

LOAN_US = 10_000_000  # must be longer than an attempt may last, or no attempt could use a borrowed slot
RESERVED_FRACTION = 0.2  # of the home slots, never lent; a restarted front may use it until others answer
REQUEST_INTERVAL_US = 100_000
RESPONSE_TIMEOUT_US = 150_000  # after this, a request is sent to another front
REQUEST_FANOUT = 3  # fronts asked for each missing slot, as a front without free slots does not answer
RETURN_ATTEMPTS = 3  # if the message of a return is lost, the slot stays idle until the loan ends
MAX_PENDING_RETURNS = 64
ROUNDING = 1e-9  # tolerance for sums of slots, which are floats


@dataclass(frozen=True, slots=True)
class PendingReturn:
    """A return of slots that is sent repeatedly, as its message may be lost."""

    lender: int
    transfer: QuotaTransfer
    attempts_left: int


@dataclass(slots=True)
class QuotaLoans:
    """One front's share of one server's slots.

    The caller passes in times and random numbers, and sends the messages.
    """

    server: int
    fronts: int
    index: int
    incarnation: int
    now_us: int
    loan_us: int = LOAN_US
    in_flight: int = 0  # attempts in flight
    waiting: int = 0  # attempts that wait for a slot
    last_end_us: int = 0  # latest possible end of all attempts in flight
    max_duration_us: int = 0  # of the most recent attempt that needed a slot
    other_homes: tuple[int, ...] = ()  # the other fronts that have slots of the server
    pending_returns: deque[PendingReturn] = field(default_factory=lambda: deque(maxlen=MAX_PENDING_RETURNS))
    quota: Quota = field(init=False)

    def __post_init__(self) -> None:
        """Create the quota so that it may send requests immediately."""
        self.quota = Quota(
            Resource.SLOT,
            0.0,
            self.fronts,
            self.index,
            self.incarnation,
            self.now_us,
            loan_us=self.loan_us,
            reserved_fraction=RESERVED_FRACTION,
            granularity=1.0,
            request_interval_us=REQUEST_INTERVAL_US,
            request_reuse_us=RESPONSE_TIMEOUT_US,
            request_fanout=REQUEST_FANOUT,
        )
        self.quota.requested_us = self.now_us - REQUEST_INTERVAL_US

    def set_limit(self, limit: int, now_us: int) -> None:
        """Set the server's limit in force.

        The number of home slots changes immediately; loans continue until they expire.
        """
        # Quota divides its total by the number of fronts to get the share of this front.
        total_rate = float(home_slots(self.server, limit, self.fronts, self.index) * self.fronts)
        self.other_homes = other_homes(self.server, limit, self.fronts, self.index)
        if total_rate != self.quota.total_rate:
            self.quota.advance(now_us)
            self.quota.total_rate = total_rate

    def max_in_flight(self, now_us: int, max_duration_us: int = 0) -> int:
        """How many attempts may be in flight, if the next one lasts at most `max_duration_us`."""
        self.max_duration_us = max_duration_us or self.max_duration_us
        return floor(self.quota.lasting_rate(now_us, now_us + max_duration_us) + ROUNDING)

    def on_attempt_started(self, now_us: int, max_duration_us: int) -> None:
        """Count an attempt in flight that lasts at most `max_duration_us`."""
        self.in_flight += 1
        self.last_end_us = max(self.last_end_us, now_us + max_duration_us)

    def on_attempt_ended(self) -> None:
        """Count the end of an attempt."""
        self.in_flight = max(0, self.in_flight - 1)
        if not self.in_flight:
            self.last_end_us = 0

    def _update_demand(self, now_us: int) -> None:
        self.quota.advance(now_us)
        self.quota.demand = float(self.in_flight + self.waiting)

    def request_slots(self, draw: float, now_us: int) -> list[tuple[int, QuotaRequest]]:
        """The requests to send now, each with its recipient; `draw` is a random number from 0 to 1."""
        if not self.waiting:
            return []
        self._update_demand(now_us)
        # A front grants one loan at a time. If slots were requested singly, a busy front would get only one
        # slot from each lender.
        missing = max(self.waiting, (self.in_flight + 1) // 2)
        self.quota.demand = float(self.in_flight + missing)
        return self.quota.next_requests(draw, now_us, now_us + self.max_duration_us, self.other_homes)

    def return_slots(self, now_us: int) -> list[tuple[int, QuotaTransfer]]:
        """The returns to send now, each with its recipient.

        A loan is returned if it ends too soon for another attempt or is not required, provided that the
        attempts in flight have enough slots without it until they have ended.
        """
        repeated_returns = list(self.pending_returns)
        new_returns = [] if self.waiting else self.quota.cancel_requests()
        for lender in sorted(self.quota.borrowed):
            if not self._should_return(lender, now_us):
                continue
            transfer = self.quota.release(lender)
            if transfer is not None:
                new_returns.append((lender, transfer))
        self._schedule_repetition(repeated_returns, new_returns)
        return [(pending.lender, pending.transfer) for pending in repeated_returns] + new_returns

    def _schedule_repetition(
        self, repeated_returns: list[PendingReturn], new_returns: list[tuple[int, QuotaTransfer]]
    ) -> None:
        pending = [
            PendingReturn(pending_return.lender, pending_return.transfer, pending_return.attempts_left - 1)
            for pending_return in repeated_returns
            if pending_return.attempts_left > 1
        ]
        pending += [PendingReturn(lender, transfer, RETURN_ATTEMPTS - 1) for lender, transfer in new_returns]
        self.pending_returns = deque(pending, MAX_PENDING_RETURNS)

    def _should_return(self, lender: int, now_us: int) -> bool:
        next_end_us = now_us + self.max_duration_us
        _, loan_end_us = self.quota.borrowed[lender]
        ends_too_soon = loan_end_us < next_end_us
        is_required = self._lasting_without(lender, now_us, next_end_us) < self.in_flight + self.waiting
        return (ends_too_soon or not is_required) and self._is_dispensable(lender, now_us)

    @property
    def may_return(self) -> bool:
        """Whether `return_slots` may have something to return."""
        return bool(self.quota.borrowed or self.quota.pending_requests or self.pending_returns)

    def _lasting_without(self, lender: int, now_us: int, until_us: int) -> float:
        """The number of slots that this front has until `until_us` without those of a lender."""
        loan = self.quota.borrowed.pop(lender)
        lasting = self.quota.lasting_rate(now_us, until_us)
        self.quota.borrowed[lender] = loan
        return lasting

    def _is_dispensable(self, lender: int, now_us: int) -> bool:
        """Whether the attempts in flight have enough slots without a lender's until they have ended."""
        end_us = max(now_us, self.last_end_us)
        return self._lasting_without(lender, now_us, end_us) >= self.in_flight

    def on_incarnation_started(self, lender: int, now_us: int) -> bool:
        """Handle the restart of another front, which does not know what it lent before.

        Returns:
            Whether this front no longer uses any slots of it.
        """
        self.quota.advance(now_us)
        if lender in self.quota.borrowed and not self._is_dispensable(lender, now_us):
            return False
        self.quota.forget_lender(lender)
        return True

    def on_request(self, sender: int, request: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Handle another front's request; returns the loan to send, or None."""
        self._update_demand(now_us)
        return self.quota.on_request(sender, request, now_us)

    def on_transfer(self, sender: int, transfer: QuotaTransfer, now_us: int) -> bool:
        """Handle another front's loan or return; returns whether this front may have more slots now."""
        if not transfer.rate:
            self.quota.on_release(sender, transfer)
            return True
        known = self.quota.borrowed.get(sender)
        self.quota.on_transfer(sender, transfer, now_us)
        return self.quota.borrowed.get(sender) != known
