"""How many set-ups a box may have under way from this front: additive increase, multiplicative decrease.

A gradient on delays was weighed (docs/design/12-retry-storms.md); a set-up's delay at a box says little until
its places run out, while a time-out or a refusal says it at once, so what is learned from is the outcome.
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
OVERLOAD_OUTCOMES = (Outcome.NO_ANSWER, Outcome.TURNED_AWAY, Outcome.SERVER_ERROR, Outcome.CONNECTION_LOST)


@dataclass(slots=True)
class AimdLimit:
    """One box: how many may be out, how many are."""

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    decreased_at_us: int = -1


class AimdLimits:
    """All boxes' limits; times in microseconds. A box not heard of for long is forgotten, the longest
    first."""

    def __init__(self) -> None:
        self.servers: OrderedDict[str, AimdLimit] = OrderedDict()

    def enter(self, server: str) -> bool:
        """One more set-up; False where it must not be sent now."""
        held = self.servers.get(server)
        if held is None:
            held = self.servers[server] = AimdLimit()
            self._evict_idle()
        self.servers.move_to_end(server)
        if held.in_flight >= int(held.limit):
            return False
        held.in_flight += 1
        return True

    def leave(self, server: str, outcome: Outcome, sent_us: int, now_us: int) -> None:
        """One has ended. Those sent before the last cut don't cut again: they tell of the same trouble."""
        held = self.servers.get(server)
        if held is None:
            return
        held.in_flight = max(0, held.in_flight - 1)
        if outcome is Outcome.SERVED:
            # Until the first cut it grows with each: a front that has just started must not crawl.
            step = 1.0 if held.decreased_at_us < 0 else 1 / max(1.0, held.limit)
            held.limit = min(MAX_LIMIT, held.limit + step)
        elif outcome in OVERLOAD_OUTCOMES and sent_us > held.decreased_at_us:
            held.limit = max(MIN_LIMIT, held.limit * DECREASE_FACTOR)
            held.decreased_at_us = now_us

    def _evict_idle(self) -> None:
        if len(self.servers) > MAX_SERVERS:
            for server, held in self.servers.items():
                if held.in_flight == 0:
                    del self.servers[server]
                    return
