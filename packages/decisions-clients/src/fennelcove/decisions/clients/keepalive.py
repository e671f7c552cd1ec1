"""Keepalive of connections: when a silent one is pinged, and when it is closed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

PINGS_PER_TIMEOUT = 3
NEVER_US = -1


class KeepaliveAction(Enum):
    """What to do about a silent connection."""

    WAIT = auto()
    PING = auto()
    CLOSE = auto()


class KeepaliveCheck(NamedTuple):
    """The action that is due now, and the time until the next check in microseconds."""

    action: KeepaliveAction
    delay_us: int


@dataclass(slots=True)
class KeepaliveMonitor:
    """The times of the last received bytes and of the last ping of one connection."""

    timeout_us: int
    last_received_us: int
    last_ping_us: int = NEVER_US

    def on_received(self, now_us: int) -> None:
        """Record that bytes were received."""
        self.last_received_us = now_us
        self.last_ping_us = NEVER_US

    def check(self, now_us: int) -> KeepaliveCheck:
        """Decide what is due; a ping that is due counts as sent."""
        interval_us = max(1, self.timeout_us // PINGS_PER_TIMEOUT)
        deadline_us = self.last_received_us + self.timeout_us
        if now_us >= deadline_us:
            return KeepaliveCheck(KeepaliveAction.CLOSE, 0)
        ping_due_us = max(self.last_received_us, self.last_ping_us) + interval_us
        if now_us >= ping_due_us:
            self.last_ping_us = now_us
            return KeepaliveCheck(KeepaliveAction.PING, min(interval_us, deadline_us - now_us))
        return KeepaliveCheck(KeepaliveAction.WAIT, min(ping_due_us, deadline_us) - now_us)
