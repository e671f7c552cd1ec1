"""The `fair` section of a front's status."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.core.slot_requests import TenantNames
from fennelcove.fair_queueing.wait_queue import WaitQueue

MAX_TENANTS_SHOWN = 8


@dataclass(frozen=True, slots=True)
class SlotStatus:
    """Slots in use and waiting requests; the field names are keys of the status JSON.

    Attributes:
        out: The number of slots in use.
        waiting: The number of waiting requests.
        heard: The number of other fronts that have reported their usage recently.
        long_ms: The service time above which a slot counts as occupied for long.
        tenants: The mean number of slots in use by each tenant shown.
    """

    out: int
    waiting: int
    heard: int
    long_ms: float
    tenants: dict[str, float]


def slot_status(queue: WaitQueue, names: TenantNames, now_us: int) -> SlotStatus:
    """Collect the figures, with those of the `MAX_TENANTS_SHOWN` tenants that use the most slots."""
    used: dict[str, float] = {}
    for server_usage in queue.schedulers.values():
        for tenant in server_usage.active_tenants(now_us):
            name = names.name_of(tenant)
            used[name] = used.get(name, 0.0) + server_usage.mean_slots_used(tenant, now_us)
    largest = sorted(used.items(), key=lambda item: -item[1])[:MAX_TENANTS_SHOWN]
    return SlotStatus(
        out=sum(server_usage.slots_in_use for server_usage in queue.schedulers.values()),
        waiting=queue.waiting_count,
        heard=queue.reporting_front_count,
        long_ms=round(queue.service_times.long_threshold_us() / 1000, 1),
        tenants={name: round(slots, 2) for name, slots in largest},
    )
