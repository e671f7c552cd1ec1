"""One front's part of a server's slots, lent by the idle to the busy as budgets are.

The slots at home here are this front's part; loans, their ends and what a new life may do are
`decisions/fleet/budgets`' own. Three things differ. A slot has no halves. A join holds it until its end, so a
borrowed slot carries only a join that ends before the loan does, and what is out is never lent. And it is
given back as soon as nobody waits: a box of twelve slots and twelve fronts would else be twelve lines of one.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import floor

from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Quota, Resource
from fennelcove.concurrency_limits.quorum import home_slots, other_homes

LOAN_US = 10_000_000  # longer than a join may take, or a loan carries none
UNLENT_SHARE = 0.2  # of the slots at home, what is never lent: a new life that nobody answers has that
ASK_US = 100_000
RESPONSE_TIMEOUT_US = 150_000  # an answer that is not there by then is lost, or there is none
REQUESTS_PER_SLOT = 3  # homes asked for each slot that is missing: one that has none says nothing
RETURN_ATTEMPTS = 3  # times that something is said to be given back: lost, it stands idle for a loan's time
MAX_PENDING_RETURNS = 64


@dataclass(slots=True)
class QuotaLoans:
    """One front's part of one box. The caller hands in times and chance, and carries messages."""

    server: int
    fronts: int
    index: int
    incarnation: int
    now_us: int
    loan_us: int = LOAN_US
    out: int = 0
    waiting: int = 0
    last_end_us: int = 0  # when the last of what is out ends at the latest
    max_duration_us: int = 0  # how long the last join may last
    other_homes: tuple[int, ...] = ()  # the other fronts that have slots
    pending_returns: deque[tuple[int, QuotaTransfer, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_PENDING_RETURNS)
    )
    purse: Quota = field(init=False)

    def __post_init__(self) -> None:
        self.purse = Quota(
            Resource.SLOT,
            0.0,
            self.fronts,
            self.index,
            self.incarnation,
            self.now_us,
            loan_us=self.loan_us,
            kept=UNLENT_SHARE,
            grain=1.0,
            ask_us=ASK_US,
            again_us=RESPONSE_TIMEOUT_US,
            tries=REQUESTS_PER_SLOT,
        )
        self.purse.asked_us = self.now_us - ASK_US

    def set_limit(self, whole: int, now_us: int) -> None:
        """Another number counts here: what is at home follows at once, loans end when they end."""
        home = float(home_slots(self.server, whole, self.fronts, self.index) * self.fronts)
        self.other_homes = other_homes(self.server, whole, self.fronts, self.index)
        if home != self.purse.whole:
            self.purse.advance(now_us)
            self.purse.whole = home

    def most(self, now_us: int, allow_us: int = 0) -> int:
        """How many joins may be out, where the next would last so long at most."""
        self.max_duration_us = allow_us or self.max_duration_us
        return floor(self.purse.lasting(now_us, now_us + allow_us) + 1e-9)

    def on_attempt_started(self, now_us: int, allow_us: int) -> None:
        """A join has left; it lasts so long at most."""
        self.out += 1
        self.last_end_us = max(self.last_end_us, now_us + allow_us)

    def on_attempt_ended(self) -> None:
        """One is over."""
        self.out = max(0, self.out - 1)
        if not self.out:
            self.last_end_us = 0

    def _update_need(self, now_us: int) -> None:
        self.purse.advance(now_us)
        self.purse.need = float(self.out + self.waiting)

    def request_slots(self, draw: float, now_us: int) -> list[tuple[int, QuotaRequest]]:
        """Whom to ask for more now, if anybody."""
        if not self.waiting:
            return []
        self._update_need(now_us)
        # One loan at a time from each: asked for one at a time, a busy front would get one from each.
        self.purse.need = float(self.out + max(self.waiting, (self.out + 1) // 2))
        return self.purse.ask(draw, now_us, now_us + self.max_duration_us, self.other_homes)

    def return_slots(self, now_us: int) -> list[tuple[int, QuotaTransfer]]:
        """What to give back, and to whom: loans that carry no join any more, and those that nobody needs.
        What is out stays within the rest until its end."""
        found = [(to, back) for to, back, _ in self.pending_returns]
        again = [(to, back, left - 1) for to, back, left in self.pending_returns if left > 1]
        found += (cancelled := self.purse.cancel() if not self.waiting else [])
        again += [(to, back, RETURN_ATTEMPTS - 1) for to, back in cancelled]
        for lender, (_, until_us) in sorted(self.purse.borrowed.items()):
            useless = until_us < now_us + self.max_duration_us
            left = self._lasting_without(lender, now_us, now_us + self.max_duration_us)
            if (useless or left >= self.out + self.waiting) and self._is_dispensable(lender, now_us):
                given = self.purse.give_back(lender)
                assert given is not None
                found.append((lender, given))
                again.append((lender, given, RETURN_ATTEMPTS - 1))
        self.pending_returns = deque(again, MAX_PENDING_RETURNS)
        return found

    @property
    def may_return(self) -> bool:
        """Whether there may be something to give back."""
        return bool(self.purse.borrowed or self.purse.sent or self.pending_returns)

    def _lasting_without(self, lender: int, now_us: int, until_us: int) -> float:
        loan = self.purse.borrowed.pop(lender)
        found = self.purse.lasting(now_us, until_us)
        self.purse.borrowed[lender] = loan
        return found

    def _is_dispensable(self, lender: int, now_us: int) -> bool:
        return self._lasting_without(lender, now_us, max(now_us, self.last_end_us)) >= self.out

    def on_incarnation_started(self, lender: int, now_us: int) -> bool:
        """Another has begun anew and does not know what it lent: whether nothing of that is used here, from
        now on."""
        self.purse.advance(now_us)
        if lender in self.purse.borrowed and not self._is_dispensable(lender, now_us):
            return False
        self.purse.forget(lender)
        return True

    def on_request(self, sender: int, ask: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Another asks: what it is lent."""
        self._update_need(now_us)
        return self.purse.hear_ask(sender, ask, now_us)

    def on_transfer(self, sender: int, loan: QuotaTransfer, now_us: int) -> bool:
        """Another lends, or gives back; whether there may be more here now."""
        if not loan.rate:
            self.purse.hear_back(sender, loan)
            return True
        known = self.purse.borrowed.get(sender)
        self.purse.hear_loan(sender, loan, now_us)
        return self.purse.borrowed.get(sender) != known
