"""One budget of the whole fleet for each thing that adds up, split among its fronts and lent by the idle.

Every front has an equal part of the whole, counted by the fronts that there may be, heard or not. A busy one
asks others for more; whoever has some to spare lends it for a stated time and goes without it for longer than
the borrower may use it: the borrower counts from when it asked, by its own clock, the lender from when it
heard. So the parts never add up to more than the whole, whether messages are lost, doubled, late or cut off
by a partition: what is lost is spent by nobody. A front in a new life does not know what its last one lent,
and until that has lapsed it has only the part that is never lent; what its last life borrowed is not its own.

In any time all fronts together spend at most the whole for so long, what may be saved up, and one for each
life that began.

Times are in microseconds of one front's monotonic clock, rates in things a second.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, exp, floor

LOAN_US = 2_000_000
CLOCK_DRIFT = 0.05  # by how much two clocks may differ in pace
RESERVED_FRACTION = 0.1  # of its part, what a front never lends: a new life has that at once
LENDER_HEADROOM = 0.25  # of what it needs, what a lender keeps beside it
BURST_S = 0.5  # of its rate, what may be saved up; one thing at least
DEMAND_WINDOW_US = 2_000_000  # over which need is counted
REQUEST_INTERVAL_US = 500_000  # how often a busy front asks
MAX_REQUESTS_PER_ROUND = 8  # others at a time
MAX_PENDING_REQUESTS = 32


class Resource(IntEnum):
    """What adds up."""

    FURTHER_JOIN = 0
    PROBE = 1
    LIST_CALL = 2
    SLOT = 3  # at one box


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A front asks another for so much more of a thing."""

    life: int
    number: int  # of this ask in this life
    thing: Resource
    rate: float


@dataclass(frozen=True, slots=True)
class QuotaTransfer:
    """The answer: so much, from when the ask of this number was sent."""

    life: int  # the borrower's
    number: int
    thing: Resource
    rate: float


@dataclass(slots=True)
class LentQuota:
    """What is out, with one peer."""

    rate: float
    until_us: int
    request_id: tuple[int, int]  # the life and number it answers: a doubled ask is the same loan


@dataclass(slots=True)
class Quota:
    """One front's part of one thing. The caller hands in times and chance, and carries messages."""

    resource: Resource
    whole: float
    front_count: int
    index: int
    incarnation: int
    now_us: int
    started_us: int = 0
    tokens: float = 1.0  # a front that starts must not wait for its first list
    need: float = 0.0
    sequence: int = 0
    asked_us: int = -REQUEST_INTERVAL_US
    sent: OrderedDict[int, tuple[int, QuotaRequest, int]] = field(default_factory=OrderedDict)  # unanswered
    lent: dict[int, LentQuota] = field(default_factory=dict)
    borrowed: dict[int, tuple[float, int]] = field(default_factory=dict)
    spent: int = 0
    denied: int = 0
    loan_us: int = LOAN_US
    kept: float = RESERVED_FRACTION
    grain: float = 0.0  # what is lent is this or a multiple of it: a slot has no halves; 0: anything
    ask_us: int = REQUEST_INTERVAL_US
    tries: int = 1  # others asked for each that is missing
    again_us: int = LOAN_US // 2  # for how long the same others are asked before new ones are
    cleared: bool = False  # every other front has said that it uses nothing of a last life's
    loan_sequences: dict[int, int] = field(default_factory=dict)  # the number of the ask by which each lends

    def __post_init__(self) -> None:
        self.started_us = self.now_us

    @property
    def equal_share(self) -> float:
        """The equal share."""
        return self.whole / self.front_count

    @property
    def reserved(self) -> float:
        """What is never lent."""
        return self._round_down(self.equal_share * self.kept)

    def _round_down(self, rate: float) -> float:
        return floor(rate / self.grain + 1e-9) * self.grain if self.grain else rate

    @property
    def recovering_until_us(self) -> int:
        """Until then a last life's loans may still be spent by others."""
        return (
            self.started_us
            if self.cleared
            else self.started_us + round(self.loan_us * (1 + CLOCK_DRIFT) ** 2)
        )

    def rate(self, now_us: int) -> float:
        """What this front may spend a second now, saved things apart."""
        lent = sum(loan.rate for loan in self.lent.values() if now_us < loan.until_us)
        # With a whole that was lowered more may be out than the part is now.
        own = self.reserved if now_us < self.recovering_until_us else max(0.0, self.equal_share - lent)
        return own + sum(rate for rate, until_us in self.borrowed.values() if now_us < until_us)

    def lasting(self, now_us: int, end_us: int) -> float:
        """What of that it has until then."""
        ends = (rate for rate, until_us in self.borrowed.values() if now_us < until_us < end_us)
        return self.rate(now_us) - sum(ends)

    def advance(self, now_us: int) -> None:
        """Time passes; each loan counts for as long as it lasts, however seldom this is called."""
        ends = [self.recovering_until_us, *(loan.until_us for loan in self.lent.values())]
        ends += [until_us for _, until_us in self.borrowed.values()]
        at_us = self.now_us
        for end_us in [*sorted(end for end in ends if at_us < end < now_us), now_us]:
            self.tokens += self.rate(at_us) * max(0, end_us - at_us) / 1e6
            at_us = max(at_us, end_us)
        # Saved up by a loan and spent after its end, things would come on top of the lender's.
        self._cap_tokens(now_us)
        self.need *= exp(-max(0, now_us - self.now_us) / DEMAND_WINDOW_US)
        self.now_us = max(self.now_us, now_us)
        self.lent = {peer: loan for peer, loan in self.lent.items() if now_us < loan.until_us}
        self.borrowed = {peer: loan for peer, loan in self.borrowed.items() if now_us < loan[1]}

    def _cap_tokens(self, now_us: int) -> None:
        self.tokens = min(self.tokens, max(1.0, BURST_S * self.rate(now_us)))

    def take(self, now_us: int) -> bool:
        """One more is wanted; whether it may be."""
        self.advance(now_us)
        self.need += 1e6 / DEMAND_WINDOW_US
        if self.tokens < 1:
            self.denied += 1
            return False
        self.tokens -= 1
        self.spent += 1
        return True

    def wait_us(self, now_us: int) -> int:
        """How long until the next may be, as things stand; at most a loan's time, then ask again."""
        self.advance(now_us)
        missing = 1 - self.tokens
        rate = self.rate(now_us)
        return (
            0
            if missing <= 0
            else round(min(self.loan_us, missing / rate * 1e6 if rate > 0 else self.loan_us))
        )

    def ask(
        self, draw: float, now_us: int, until_us: int = 0, others: Sequence[int] | None = None
    ) -> list[tuple[int, QuotaRequest]]:
        """Whom to ask for more now, if anybody: others by chance, so that the idle are found by and by, as
        many as would do if each lent all that it may. `until_us` as in `lasting`; `others` who may have some,
        where that is known."""
        if now_us < self.asked_us + self.ask_us:
            return []
        self.advance(now_us)
        short = self.need - self.lasting(now_us, until_us)
        if others is None:
            others = [(self.index + 1 + step) % self.front_count for step in range(self.front_count - 1)]
        if not others or short <= 0:
            return []
        self.asked_us = now_us
        many = ceil(short / max(self.equal_share - self.reserved, self.grain)) * self.tries
        many = min(MAX_REQUESTS_PER_ROUND, len(others), many)
        # Asked again under the same number, one whose answer was lost does not lend twice: a third of all
        # messages lost cost a third of what had been lent.
        found = [(to, said) for to, said, at_us in self.sent.values() if now_us - at_us < self.again_us]
        first = int(draw * len(others))
        for step in range(many - len(found)):
            other = others[(first + step) % len(others)]
            self.sequence += 1
            said = QuotaRequest(self.incarnation, self.sequence, self.resource, short)
            self.sent[self.sequence] = other, said, now_us
            found.append((other, said))
        while len(self.sent) > MAX_PENDING_REQUESTS:
            self.sent.popitem(last=False)
        return found[:many]

    def hear_ask(self, sender: int, ask: QuotaRequest, now_us: int) -> QuotaTransfer | None:
        """Another asks: what it is lent."""
        self.advance(now_us)
        if now_us < self.recovering_until_us or sender == self.index or not 0 <= sender < self.front_count:
            return None
        known = self.lent.get(sender)
        if known is not None:
            # One loan to each at a time. The same ask again is the same loan; another waits for its end.
            same = known.request_id == (ask.life, ask.number)
            return QuotaTransfer(ask.life, ask.number, ask.thing, known.rate) if same else None
        lent = sum(loan.rate for loan in self.lent.values())
        spare = self.equal_share - self.reserved - lent - self.need * (1 + LENDER_HEADROOM)
        rate = self._round_down(min(spare, ask.rate))
        if rate <= 0:
            return None
        until_us = now_us + round(self.loan_us * (1 + CLOCK_DRIFT))
        # What is lent is given up before it is told, with what was saved of it.
        self.lent[sender] = LentQuota(rate, until_us, (ask.life, ask.number))
        self._cap_tokens(now_us)
        return QuotaTransfer(ask.life, ask.number, ask.thing, rate)

    def hear_loan(self, sender: int, loan: QuotaTransfer, now_us: int) -> None:
        """Another lends. Late or doubled, it counts from the ask that it answers."""
        self.advance(now_us)
        asked = self.sent.get(loan.number)
        if loan.life != self.incarnation or asked is None or asked[0] != sender:
            return
        del self.sent[loan.number]
        until_us = asked[2] + self.loan_us
        if now_us < until_us:
            self.borrowed[sender] = (min(loan.rate, asked[1].rate), until_us)
            self.loan_sequences[sender] = loan.number

    def give_back(self, lender: int) -> QuotaTransfer | None:
        """What another lends is not needed any more: what to tell it. From now on it is not counted here."""
        loan = self.borrowed.pop(lender, None)
        return (
            QuotaTransfer(self.incarnation, self.loan_sequences.pop(lender), self.resource, 0.0)
            if loan is not None
            else None
        )

    def cancel(self) -> list[tuple[int, QuotaTransfer]]:
        """What was asked for is not needed any more: what to tell, as an answer may have been lost."""
        found = [
            (to, QuotaTransfer(self.incarnation, number, self.resource, 0.0))
            for number, (to, _, _) in self.sent.items()
        ]
        self.sent.clear()
        return found

    def forget(self, lender: int) -> None:
        """It has begun anew: what it lent before, and may still be on its way, is not used any more."""
        self.borrowed.pop(lender, None)
        self.loan_sequences.pop(lender, None)
        for number in [number for number, (to, _, _) in self.sent.items() if to == lender]:
            del self.sent[number]

    def hear_back(self, sender: int, loan: QuotaTransfer) -> None:
        """A borrower needs no more what it was lent by that ask. Lost, the loan lapses in its time."""
        known = self.lent.get(sender)
        if known is not None and known.request_id == (loan.life, loan.number):
            del self.lent[sender]
