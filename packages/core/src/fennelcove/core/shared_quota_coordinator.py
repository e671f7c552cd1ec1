"""Acquires from quotas that all fronts share, and exchanges quota with them; acquires the core's lock."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from random import Random

from fennelcove.clock import Clock
from fennelcove.decisions.fleet.shared_quotas import Quota, QuotaRequest, QuotaTransfer, Resource
from fennelcove.settings.schema import Instance

EXCHANGE_INTERVAL_US = 250_000  # interval at which `exchange_quota` is called


@dataclass(frozen=True, slots=True)
class QuotaStatus:
    """One resource in the `budgets` section of the status; the field names are keys of the status JSON.

    Attributes:
        rate: The rate that this front may use now, including loans.
        spent: The number of units acquired.
        denied: The number of units denied.
        lent_to: The number of fronts to which quota is lent.
        borrowed_from: The number of fronts from which quota is borrowed.
    """

    rate: float
    spent: int
    denied: int
    lent_to: int
    borrowed_from: int


class SharedQuotaCoordinator:
    """One front's shares of the quotas.

    The owner assigns `send` (sends a message to a front) and calls `exchange_quota` every
    `EXCHANGE_INTERVAL_US`.
    """

    def __init__(
        self,
        total_rates: Mapping[Resource, float],
        instance: Instance,
        incarnation: int,
        clock: Clock,
        rng: Random,
        lock: threading.RLock,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._lock = lock
        now_us = clock.now_us()
        self._quotas = {
            resource: Quota(resource, total_rate, instance.fronts, instance.index, incarnation, now_us)
            for resource, total_rate in total_rates.items()
        }
        self.send: Callable[[int, QuotaRequest | QuotaTransfer], None] = lambda _front, _message: None

    def try_acquire(self, resource: Resource) -> bool:
        """Acquire one unit of a resource; return False if it is short. One without a quota is unlimited."""
        with self._lock:
            quota = self._quotas.get(resource)
            return quota is None or quota.try_acquire(self._clock.now_us())

    def acquire_wait_us(self, resource: Resource) -> int:
        """Acquire one unit of a resource and return 0, or return how long to wait before a retry."""
        with self._lock:
            quota, now_us = self._quotas.get(resource), self._clock.now_us()
            if quota is None or quota.try_acquire(now_us):
                return 0
            return max(1, quota.wait_us(now_us))

    def exchange_quota(self) -> None:
        """Request quota that is short from other fronts without waiting for their answers."""
        with self._lock:
            now_us = self._clock.now_us()
            requests = [
                addressed
                for quota in self._quotas.values()
                for addressed in quota.next_requests(self._rng.random(), now_us)
            ]
        for front, request in requests:
            self.send(front, request)

    def on_message(self, sender: int, message: QuotaRequest | QuotaTransfer) -> None:
        """Handle another front's request for quota, or its transfer."""
        with self._lock:
            quota, now_us = self._quotas.get(message.resource), self._clock.now_us()
            if quota is None:
                return
            if isinstance(message, QuotaTransfer):
                quota.on_transfer(sender, message, now_us)
                return
            transfer = quota.on_request(sender, message, now_us)
        if transfer is not None:
            self.send(sender, transfer)

    def status(self) -> dict[str, object]:
        """Return the figures of the `budgets` section of the status JSON, by resource."""
        with self._lock:
            now_us = self._clock.now_us()
            return {
                resource.name.lower(): asdict(_quota_status(quota, now_us))
                for resource, quota in self._quotas.items()
            }


def _quota_status(quota: Quota, now_us: int) -> QuotaStatus:
    return QuotaStatus(
        rate=round(quota.rate(now_us), 3),
        spent=quota.spent_count,
        denied=quota.denied_count,
        lent_to=len(quota.lent),
        borrowed_from=len(quota.borrowed),
    )
