"""How many set-ups a server may have in flight from this front: additive increase, multiplicative decrease.

The limit follows outcomes and not delays (docs/design/12-retry-storms.md compares both): the delay of a
set-up hardly changes until the server has no capacity left, while a time-out or a rejection shows it at once.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from fennelcove.interface import Outcome

INITIAL_LIMIT = 16.0
MIN_LIMIT = 1.0
MAX_LIMIT = 256.0
DECREASE_FACTOR = 0.7
MAX_SERVERS = 10_000
NEVER_DECREASED_US = -1
OVERLOAD_OUTCOMES = (Outcome.NO_ANSWER, Outcome.REJECTED, Outcome.SERVER_ERROR, Outcome.CONNECTION_LOST)


@dataclass(slots=True)
class AimdLimit:
    """One server's concurrency limit and its set-ups in flight."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    decreased_at_us: int = NEVER_DECREASED_US

    def increase(self) -> None:
        """Raise the limit after a success.

        Until the first decrease it grows by one for each success, so that a front that has just started
        reaches its rate soon; after that it grows by one for each full window.
        """
        is_first_growth = self.decreased_at_us == NEVER_DECREASED_US
        step = 1.0 if is_first_growth else 1 / max(1.0, self.limit)
        self.limit = min(MAX_LIMIT, self.limit + step)

    def decrease(self, now_us: int) -> None:
        """Lower the limit after an outcome that indicates overload."""
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
        self.decreased_at_us = now_us


class AimdLimits:
    """The limits of all servers; times in microseconds.

    The number of servers is bounded: beyond it, the least recently used idle server is evicted.
    """

    def __init__(self) -> None:
        self.servers: OrderedDict[str, AimdLimit] = OrderedDict()

    def try_acquire(self, server: str) -> bool:
        """Count another set-up in flight; False where the limit is reached and it must not be sent."""
        server_limit = self.servers.get(server)
        if server_limit is None:
            server_limit = self.servers[server] = AimdLimit()
            self._evict_idle()
        self.servers.move_to_end(server)
        if server_limit.in_flight >= int(server_limit.limit):
            return False
        server_limit.in_flight += 1
        return True

    def release(self, server: str, outcome: Outcome, sent_us: int, now_us: int) -> None:
        """Count a set-up as completed, and adjust the limit by its outcome.

        A set-up sent before the last decrease does not decrease the limit again: its cause is the same
        overload.
        """
        server_limit = self.servers.get(server)
        if server_limit is None:
            return
        server_limit.in_flight = max(0, server_limit.in_flight - 1)
        if outcome is Outcome.SERVED:
            server_limit.increase()
        elif outcome in OVERLOAD_OUTCOMES and sent_us > server_limit.decreased_at_us:
            server_limit.decrease(now_us)

    def _evict_idle(self) -> None:
        if len(self.servers) <= MAX_SERVERS:
            return
        for server, server_limit in self.servers.items():
            if server_limit.in_flight == 0:
                del self.servers[server]
                return
