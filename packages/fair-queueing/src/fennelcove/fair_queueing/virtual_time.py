"""Start-time fair queueing of the slot time of one server, by tenant weights.

The finish tag of a tenant is the slot time that it was charged divided by its weight, on the server's virtual
clock, which advances only when a slot is acquired. The tenant with the lowest start tag gets the next slot. A
tenant that was idle starts at the current virtual time and has accumulated no credit, so idle shares are lent
to others and reclaimed with the next slot that becomes free. A hold is charged its expected service time when
it starts and more while it exceeds that; the charge is corrected to the measured time when it ends.

Besides the tags, the recent usage of each tenant is tracked, at this front and at others. It determines
whether the tenant is within its share of the whole fleet; tenants within their share go first. So a tenant
that sends requests to all fronts gets no more than one that uses a single front, and the usage of a tenant
that moves between fronts still counts. Usage decays exponentially, so an earlier surplus disadvantages a
tenant only for a short time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp

MAX_TENANTS = 64  # with an account of their own at one server; all other tenants share one account
OTHER_TENANTS = 0  # the number of the shared account
ACTIVE_WINDOW_US = 2_000_000  # a tenant that had a slot within this time counts as active
USAGE_DECAY_US = 500_000  # the time constant by which recent usage decays
ACCOUNT_EXPIRY_US = 10_000_000  # an account that was not used for this time may be removed


@dataclass(frozen=True, slots=True)
class TenantWeights:
    """Weights of the configured tenants by number, and one weight for all other tenants together."""

    weights: Mapping[int, float] = field(default_factory=dict)
    unlisted_weight: float = 1.0

    def accounted_tenant(self, tenant: int) -> int:
        """Return the tenant number under which usage of `tenant` is accounted.

        Where weights are configured, all unlisted tenants share one account. Otherwise a client that uses a
        new tenant name for each request would always look like a tenant without any usage.
        """
        return tenant if not self.weights or tenant in self.weights else OTHER_TENANTS

    def weight(self, tenant: int) -> float:
        """Return the weight of a tenant; all weights are equal if none is configured."""
        if not self.weights:
            return 1.0
        return self.weights.get(tenant, self.unlisted_weight)


@dataclass(slots=True)
class SlotHold:
    """One slot in use."""

    tenant: int
    account_key: int  # the account that it was charged to
    acquired_us: int
    charged_us: int
    is_long: bool


@dataclass(slots=True)
class DecayingUsage:
    """Slot time that decays exponentially with `USAGE_DECAY_US`, in microseconds."""

    usage_us: float = 0.0
    updated_us: int = 0

    def add(self, used_us: float, now_us: int) -> None:
        """Add slot time; a negative value corrects an earlier one."""
        self.usage_us = self.usage_at(now_us) + used_us
        self.updated_us = now_us

    def usage_at(self, now_us: int) -> float:
        """Return the decayed usage at a time."""
        return self.usage_us * exp((self.updated_us - now_us) / USAGE_DECAY_US)


@dataclass(slots=True)
class TenantAccount:
    """Charges and recent usage of one tenant at one server."""

    finish_tag: float
    last_used_us: int
    slots_in_use: int = 0
    local_usage: DecayingUsage = field(default_factory=DecayingUsage)
    remote_usage: DecayingUsage = field(default_factory=DecayingUsage)  # granted by other fronts

    def charge(self, used_us: float, weight: float, now_us: int) -> None:
        """Charge slot time, or refund it if it is negative."""
        self.finish_tag += used_us / weight
        self.local_usage.add(used_us, now_us)


class VirtualTimeScheduler:
    """Accounts and slots in use of one server. The caller passes in times and holds the lock."""

    def __init__(self, tenant_weights: TenantWeights) -> None:
        """Start at virtual time zero, without any account.

        Args:
            tenant_weights: the weights by which slot time is charged.
        """
        self.tenant_weights = tenant_weights
        self.virtual_time = 0.0
        self.accounts: dict[int, TenantAccount] = {}
        self.holds: dict[tuple[str, int], SlotHold] = {}

    @property
    def slots_in_use(self) -> int:
        """The number of slots in use."""
        return len(self.holds)

    def start_tag(self, tenant: int, now_us: int) -> float:
        """Return the virtual time at which the next hold of a tenant would start; the lowest goes first."""
        self._charge_elapsed(now_us)
        account = self.accounts.get(self._account_key(tenant))
        return self.virtual_time if account is None else max(self.virtual_time, account.finish_tag)

    def acquire(
        self, key: tuple[str, int], tenant: int, expected_us: int, now_us: int, *, is_long: bool
    ) -> None:
        """Mark a slot as in use and charge the expected service time to its tenant."""
        self._charge_elapsed(now_us)
        account_key = self._ensure_account(tenant, now_us)
        account = self.accounts[account_key]
        self.virtual_time = account.finish_tag = max(self.virtual_time, account.finish_tag)
        account.charge(expected_us, self.tenant_weights.weight(tenant), now_us)
        account.slots_in_use += 1
        self.holds[key] = SlotHold(tenant, account_key, now_us, expected_us, is_long)

    def release(self, key: tuple[str, int], now_us: int) -> SlotHold | None:
        """Free a slot and correct its charge to the measured time; None if the slot is not in use."""
        hold = self.holds.pop(key, None)
        if hold is None:
            return None
        account = self.accounts[hold.account_key]
        account.slots_in_use -= 1
        account.last_used_us = now_us
        correction_us = now_us - hold.acquired_us - hold.charged_us
        account.charge(correction_us, self.tenant_weights.weight(hold.tenant), now_us)
        return hold

    def add_remote_usage(self, tenant: int, used_us: int, now_us: int) -> None:
        """Record slot time that other fronts granted to a tenant at this server."""
        account_key = self._ensure_account(tenant, now_us)
        self.accounts[account_key].remote_usage.add(used_us, now_us)

    def long_hold_count(self, long_threshold_us: float, now_us: int, tenant: int | None = None) -> int:
        """Count the holds, of one tenant or of all, that were expected to be long or have become long."""
        return sum(
            1
            for hold in self.holds.values()
            if (hold.is_long or now_us - hold.acquired_us > long_threshold_us)
            and tenant in (None, hold.tenant)
        )

    def mean_slots_used(self, tenant: int, now_us: int) -> float:
        """Return the mean number of slots that a tenant had in use recently, over all known fronts."""
        account = self.accounts.get(self._account_key(tenant))
        if account is None:
            return 0.0
        usage_us = account.local_usage.usage_at(now_us) + account.remote_usage.usage_at(now_us)
        return usage_us / USAGE_DECAY_US

    def active_tenants(self, now_us: int) -> list[int]:
        """Return the tenants that use a slot here or did so recently."""
        active_since_us = now_us - ACTIVE_WINDOW_US
        return [
            key
            for key, account in self.accounts.items()
            if account.slots_in_use or account.last_used_us > active_since_us
        ]

    def _account_key(self, tenant: int) -> int:
        has_own_account = tenant in self.accounts or len(self.accounts) < MAX_TENANTS
        return tenant if has_own_account else OTHER_TENANTS

    def _charge_elapsed(self, now_us: int) -> None:
        """Charge holds that exceed their expected time while they last, not only when they end.

        Otherwise a slot at a server that never answers would cost its tenant nothing.
        """
        for hold in self.holds.values():
            uncharged_us = now_us - hold.acquired_us - hold.charged_us
            if uncharged_us > 0:
                hold.charged_us += uncharged_us
                weight = self.tenant_weights.weight(hold.tenant)
                self.accounts[hold.account_key].charge(uncharged_us, weight, now_us)

    def _ensure_account(self, tenant: int, now_us: int) -> int:
        """Return the key of the account to charge for a tenant; create it, and make room if needed."""
        if tenant not in self.accounts and len(self.accounts) >= MAX_TENANTS:
            self._remove_stale_accounts(now_us)
        if tenant not in self.accounts and len(self.accounts) >= MAX_TENANTS:
            self._merge_smallest_account()
        key = self._account_key(tenant)
        if key not in self.accounts:
            self.accounts[key] = TenantAccount(self.virtual_time, now_us)
        self.accounts[key].last_used_us = now_us
        return key

    def _remove_stale_accounts(self, now_us: int) -> None:
        """Remove idle accounts that expired, or whose tag no longer delays their tenant."""
        for key, account in list(self.accounts.items()):
            is_expired = now_us - account.last_used_us > ACCOUNT_EXPIRY_US
            if not account.slots_in_use and (account.finish_tag <= self.virtual_time or is_expired):
                del self.accounts[key]

    def _merge_smallest_account(self) -> None:
        """Merge the idle account with the lowest tag into the shared one, which gets the higher tag."""
        idle = [
            (account.finish_tag, key)
            for key, account in self.accounts.items()
            if not account.slots_in_use and key != OTHER_TENANTS
        ]
        if idle:
            finish_tag, key = min(idle)
            del self.accounts[key]
            shared = self.accounts.setdefault(OTHER_TENANTS, TenantAccount(finish_tag, 0))
            shared.finish_tag = max(shared.finish_tag, finish_tag)
