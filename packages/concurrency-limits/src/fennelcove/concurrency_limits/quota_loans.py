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
from fennelcove.concurrency_limits.quorum import home_slots, homes_of

LOAN_US = 10_000_000  # longer than a join may take, or a loan carries none
KEPT = 0.2  # of the slots at home, what is never lent: a new life that nobody answers has that
ASK_US = 100_000
AGAIN_US = 150_000  # an answer that is not there by then is lost, or there is none
TRIES = 3  # homes asked for each slot that is missing: one that has none says nothing
SAID = 3  # times that something is said to be given back: lost, it stands idle for a loan's time
MOST_BACKS = 64


@dataclass(slots=True)
class QuotaLoans:
    """One front's part of one box. The caller hands in times and chance, and carries messages."""

    server: int
    fronts: int
    index: int
    life: int
    now_us: int
    loan_us: int = LOAN_US
    out: int = 0
    waiting: int = 0
    ends_us: int = 0  # when the last of what is out ends at the latest
    allow_us: int = 0  # how long the last join may last
    homes: tuple[int, ...] = ()  # the other fronts that have slots
    given: deque[tuple[int, QuotaTransfer, int]] = field(default_factory=lambda: deque(maxlen=MOST_BACKS))
    purse: Quota = field(init=False)

    def __post_init__(self) -> None:
        self.purse = Quota(
            Resource.SLOT,
            0.0,
            self.fronts,
            self.index,
            self.life,
            self.now_us,
            loan_us=self.loan_us,
            reserved_fraction=KEPT,
            granularity=1.0,
            request_interval_us=ASK_US,
            request_reuse_us=AGAIN_US,
            request_fanout=TRIES,
        )
        self.purse.requested_us = self.now_us - ASK_US

    def set_whole(self, whole: int, now_us: int) -> None:
        """Another number counts here: what is at home follows at once, loans end when they end."""
        home = float(home_slots(self.server, whole, self.fronts, self.index) * self.fronts)
        self.homes = homes_of(self.server, whole, self.fronts, self.index)
        if home != self.purse.total_rate:
            self.purse.advance(now_us)
            self.purse.total_rate = home

    def most(self, now_us: int, allow_us: int = 0) -> int:
        """How many joins may be out, where the next would last so long at most."""
        self.allow_us = allow_us or self.allow_us
        return floor(self.purse.lasting_rate(now_us, now_us + allow_us) + 1e-9)

    def sent(self, now_us: int, allow_us: int) -> None:
        """A join has left; it lasts so long at most."""
        self.out += 1
        self.ends_us = max(self.ends_us, now_us + allow_us)

    def ended(self) -> None:
        """One is over."""
        self.out = max(0, self.out - 1)
        if not self.out:
            self.ends_us = 0

    def _need(self, now_us: int) -> None:
        self.purse.advance(now_us)
        self.purse.demand = float(self.out + self.waiting)

    def ask(self, draw: float, now_us: int) -> list[tuple[int, QuotaRequest]]:
        """Whom to ask for more now, if anybody."""
        if not self.waiting:
            return []
        self._need(now_us)
        # One loan at a time from each: asked for one at a time, a busy front would get one from each.
        self.purse.demand = float(self.out + max(self.waiting, (self.out + 1) // 2))
        return self.purse.next_requests(draw, now_us, now_us + self.allow_us, self.homes)

    def backs(self, now_us: int) -> list[tuple[int, QuotaTransfer]]:
        """What to give back, and to whom: loans that carry no join any more, and those that nobody needs.
        What is out stays within the rest until its end."""
        found = [(to, back) for to, back, _ in self.given]
        again = [(to, back, left - 1) for to, back, left in self.given if left > 1]
        found += (cancelled := self.purse.cancel_requests() if not self.waiting else [])
        again += [(to, back, SAID - 1) for to, back in cancelled]
        for lender, (_, until_us) in sorted(self.purse.borrowed.items()):
            useless = until_us < now_us + self.allow_us
            left = self._without(lender, now_us, now_us + self.allow_us)
            if (useless or left >= self.out + self.waiting) and self._spares(lender, now_us):
                given = self.purse.release(lender)
                assert given is not None
                found.append((lender, given))
                again.append((lender, given, SAID - 1))
        self.given = deque(again, MOST_BACKS)
        return found

    @property
    def owes(self) -> bool:
        """Whether there may be something to give back."""
        return bool(self.purse.borrowed or self.purse.pending_requests or self.given)

    def _without(self, lender: int, now_us: int, until_us: int) -> float:
        loan = self.purse.borrowed.pop(lender)
        found = self.purse.lasting_rate(now_us, until_us)
        self.purse.borrowed[lender] = loan
        return found

    def _spares(self, lender: int, now_us: int) -> bool:
        return self._without(lender, now_us, max(now_us, self.ends_us)) >= self.out

    def hear_begun(self, lender: int, now_us: int) -> bool:
        """Another has begun anew and does not know what it lent: whether nothing of that is used here, from
        now on."""
        self.purse.advance(now_us)
        if lender in self.purse.borrowed and not self._spares(lender, now_us):
            return False
        self.purse.forget_lender(lender)
        return True

    def hear_ask(self, sender: int, ask: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Another asks: what it is lent."""
        self._need(now_us)
        return self.purse.on_request(sender, ask, now_us)

    def hear_loan(self, sender: int, loan: QuotaTransfer, now_us: int) -> bool:
        """Another lends, or gives back; whether there may be more here now."""
        if not loan.rate:
            self.purse.on_release(sender, loan)
            return True
        known = self.purse.borrowed.get(sender)
        self.purse.on_transfer(sender, loan, now_us)
        return self.purse.borrowed.get(sender) != known
