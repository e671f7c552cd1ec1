"""The `slots` section of a front's status."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from fennelcove.concurrency_limits.replica import Replica
from fennelcove.concurrency_limits.server_limits import ServerLimits
from fennelcove.concurrency_limits.workload_shape import shape_name

MAX_SERVERS_SHOWN = 64


@dataclass(frozen=True, slots=True)
class ServerLimitStatus:
    """One server's concurrency limit; the field names are keys of the status JSON.

    Attributes:
        whole: The limit for all fronts together.
        stands: The state of the fronts' agreement on the limit.
        phase: The state of the adaptive limit; None if this front does not evaluate the server.
        gradient: The last latency gradient; None if this front does not evaluate the server.
        here: How many attempts this front may have in flight.
        out: How many attempts it has in flight.
        waiting: The number of requests that wait for a slot.
        borrowed: The number of loans of quota from other fronts.
        lent: The number of loans of quota to other fronts.
        links: The number of connections to keep open.
        holds_ms: The median service time of each workload shape.
    """

    whole: int
    stands: str
    phase: str | None
    gradient: float | None
    here: int
    out: int
    waiting: int
    borrowed: int
    lent: int
    links: int
    holds_ms: dict[str, int]


@dataclass(frozen=True, slots=True)
class LimitStatus:
    """The limits of the listed servers; the field names are keys of the status JSON.

    Attributes:
        uncleared: The number of fronts that have not acknowledged this front's incarnation.
        boxes: The limit of each server by address.
    """

    uncleared: int
    boxes: dict[str, ServerLimitStatus]


def limit_status(
    replica: Replica, server_keys: Mapping[str, int], service_classes: tuple[str, ...], now_us: int
) -> LimitStatus:
    """Collect the limits of the first `MAX_SERVERS_SHOWN` servers by address."""
    shown = sorted(server_keys.items())[:MAX_SERVERS_SHOWN]
    servers = {
        address: _server_status(replica.servers[server_key], replica, service_classes, now_us)
        for address, server_key in shown
    }
    return LimitStatus(len(replica.unacknowledged), servers)


def _server_status(
    server: ServerLimits, replica: Replica, service_classes: tuple[str, ...], now_us: int
) -> ServerLimitStatus:
    adaptive_limit, loans = server.adaptive_limit, server.loans
    return ServerLimitStatus(
        whole=server.agreement.limit,
        stands=server.agreement.state.name.lower(),
        phase=adaptive_limit.state.name.lower() if adaptive_limit is not None else None,
        gradient=round(adaptive_limit.last_gradient, 2) if adaptive_limit is not None else None,
        here=loans.max_in_flight(now_us),
        out=loans.in_flight,
        waiting=loans.waiting,
        borrowed=len(loans.quota.borrowed),
        lent=len(loans.quota.lent),
        links=replica.connection_target(server.key, now_us),
        holds_ms={
            shape_name(shape, service_classes): round(service_us / 1000)
            for shape, service_us in sorted(server.median_service_us.items())
        },
    )
