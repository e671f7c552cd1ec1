"""What one box gave to each tenant: start-time fair queueing of slot-time by weights.

A tenant's tag is the slot-time that it was given over its weight, on the clock of the box that only grants
move on (`virtual`). Whose tag is least has the next slot; who was idle begins at the clock and has saved
nothing up, so that idle parts are used by others and won back with the next slot that comes free. A hold is
charged by a guess when it begins, charged on when it lasts longer, and corrected when it ends.

Beside the tags stands what a tenant had of late, here and at other fronts. By it a tenant is within its part
of the whole fleet or over it, and who is within goes first: one that comes to all fronts gets no more than
one that comes to a single front, and one that hops finds what it had there before it. It fades, so that
nobody goes without for an hour's plenty.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp

MOST_TENANTS = 64  # with a tag of their own at one box; more share one
REST = 0  # the tag number of those that share one
ACTIVE_US = 2_000_000  # a tenant that had a slot so lately counts among those that share
LATELY_US = 500_000  # what was had longer ago fades: so long at most an hour's plenty is held against one
FORGET_US = 10_000_000  # an account that nobody added to for so long is no more


@dataclass(frozen=True, slots=True)
class TenantTerms:
    """Weights of the tenants that are named, by their numbers; what all others weigh together beside them."""

    weights: Mapping[int, float] = field(default_factory=dict)
    strangers: float = 1.0

    def known(self, tenant: int) -> int:
        """Whom it counts for. Where some are named all others are one: a new name for each set-up had no
        past, and was as good as a neighbour that had had nothing."""
        return tenant if not self.weights or tenant in self.weights else REST

    def weight(self, tenant: int) -> float:
        """A tenant's weight now."""
        if not self.weights:
            return 1.0
        return self.weights.get(tenant, self.strangers)


@dataclass(slots=True)
class Hold:
    """One slot that is out."""

    tenant: int
    account: int  # whose tag it was charged to
    since_us: int
    charged_us: int
    long: bool


@dataclass(slots=True)
class Lately:
    """Slot-time of late: what is older than `LATELY_US` fades."""

    us: float = 0.0
    at_us: int = 0

    def add(self, us: float, now_us: int) -> None:
        self.us = self.at(now_us) + us
        self.at_us = now_us

    def at(self, now_us: int) -> float:
        return self.us * exp((self.at_us - now_us) / LATELY_US)


@dataclass(slots=True)
class TenantAccount:
    """One tenant at one box."""

    tag: float
    touched_us: int
    out: int = 0
    here: Lately = field(default_factory=Lately)
    elsewhere: Lately = field(default_factory=Lately)  # by other fronts

    def charge(self, us: float, weight: float, now_us: int) -> None:
        """So much slot-time more, or less."""
        self.tag += us / weight
        self.here.add(us, now_us)


class VirtualTimeScheduler:
    """The tags of one box. The caller hands in times and holds the lock."""

    def __init__(self, terms: TenantTerms) -> None:
        self.terms = terms
        self.virtual = 0.0
        self.accounts: dict[int, TenantAccount] = {}
        self.holds: dict[tuple[str, int], Hold] = {}

    @property
    def out(self) -> int:
        """Slots that are out."""
        return len(self.holds)

    def start(self, tenant: int, now_us: int) -> float:
        """Where the next hold of a tenant would begin: the least of those that wait has the turn."""
        self._charge_on(now_us)
        account = self.accounts.get(self._key(tenant))
        return self.virtual if account is None else max(self.virtual, account.tag)

    def _key(self, tenant: int) -> int:
        return tenant if tenant in self.accounts or len(self.accounts) < MOST_TENANTS else REST

    def _charge_on(self, now_us: int) -> None:
        """A hold that lasts longer than it was charged for costs its tenant now, not when it ends: a box that
        never answers would else be free."""
        for hold in self.holds.values():
            more_us = now_us - hold.since_us - hold.charged_us
            if more_us > 0:
                hold.charged_us += more_us
                weight = self.terms.weight(hold.tenant)
                self.accounts[hold.account].charge(more_us, weight, now_us)

    def _open(self, tenant: int, now_us: int) -> int:
        """The account to charge; what carries no word any more makes room."""
        if tenant not in self.accounts and len(self.accounts) >= MOST_TENANTS:
            for key, account in list(self.accounts.items()):
                late = now_us - account.touched_us > FORGET_US
                if not account.out and (account.tag <= self.virtual or late):
                    del self.accounts[key]
        if tenant not in self.accounts and len(self.accounts) >= MOST_TENANTS:
            self._fold()
        key = self._key(tenant)
        if key not in self.accounts:
            self.accounts[key] = TenantAccount(self.virtual, now_us)
        self.accounts[key].touched_us = now_us
        return key

    def _fold(self) -> None:
        """The smallest joins those that share one tag, the greatest of theirs."""
        idle = [(account.tag, key) for key, account in self.accounts.items() if not account.out and key]
        if idle:
            tag, key = min(idle)
            del self.accounts[key]
            rest = self.accounts.setdefault(REST, TenantAccount(tag, 0))
            rest.tag = max(rest.tag, tag)

    def take(self, key: tuple[str, int], tenant: int, guess_us: int, long: bool, now_us: int) -> None:
        """A slot goes out, charged by a guess."""
        self._charge_on(now_us)
        account_key = self._open(tenant, now_us)
        account = self.accounts[account_key]
        self.virtual = account.tag = max(self.virtual, account.tag)
        account.charge(guess_us, self.terms.weight(tenant), now_us)
        account.out += 1
        self.holds[key] = Hold(tenant, account_key, now_us, guess_us, long)

    def give_back(self, key: tuple[str, int], now_us: int) -> Hold | None:
        """A slot is back, and its charge is what it was held; None for one that is not out."""
        hold = self.holds.pop(key, None)
        if hold is None:
            return None
        account = self.accounts[hold.account]
        account.out -= 1
        account.touched_us = now_us
        account.charge(now_us - hold.since_us - hold.charged_us, self.terms.weight(hold.tenant), now_us)
        return hold

    def advance(self, tenant: int, given_us: int, now_us: int) -> None:
        """Other fronts gave it so much slot-time at this box."""
        self.accounts[self._open(tenant, now_us)].elsewhere.add(given_us, now_us)

    def long(self, over_us: float, now_us: int, tenant: int | None = None) -> int:
        """How many of the holds that are out, of all or of one tenant, are long: by their guess or by now."""
        return sum(
            1
            for hold in self.holds.values()
            if (hold.long or now_us - hold.since_us > over_us) and tenant in (None, hold.tenant)
        )

    def used(self, tenant: int, now_us: int) -> float:
        """How many slots a tenant had of late, on the mean, at all fronts that are heard."""
        account = self.accounts.get(self._key(tenant))
        return (
            0.0 if account is None else (account.here.at(now_us) + account.elsewhere.at(now_us)) / LATELY_US
        )

    def active(self, now_us: int) -> list[int]:
        """The tenants that had slots here of late."""
        late_us = now_us - ACTIVE_US
        return [key for key, account in self.accounts.items() if account.out or account.touched_us > late_us]
