"""How much a connection may say, and when it must be asked whether it is still there."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# A player has a report a segment and a few requests; ten times that is none we know.
MESSAGES_PER_S = 20.0
MAX_BURST_MESSAGES = 100.0
PINGS_PER_TIMEOUT = 3


@dataclass(slots=True)
class MessageRateLimit:
    """A bucket of messages; times in microseconds."""

    updated_us: int
    tokens: float = MAX_BURST_MESSAGES

    def take(self, now_us: int) -> bool:
        """One message or control frame more; False where it is too much."""
        gained = max(0, now_us - self.updated_us) / 1e6 * MESSAGES_PER_S
        self.tokens = min(MAX_BURST_MESSAGES, self.tokens + gained)
        self.updated_us = max(now_us, self.updated_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class KeepaliveAction(Enum):
    """What to do about a connection that says nothing."""

    WAIT = auto()
    PING = auto()
    CUT = auto()


@dataclass(slots=True)
class KeepaliveMonitor:
    """One connection's last sign of life, and when it was last asked for one."""

    timeout_us: int
    last_received_us: int
    last_ping_us: int = -1

    def hear(self, now_us: int) -> None:
        """Bytes came."""
        self.last_received_us = now_us
        self.last_ping_us = -1

    def check(self, now_us: int) -> tuple[KeepaliveAction, int]:
        """What is due now, and in how long to look again, in microseconds."""
        every_us = max(1, self.timeout_us // PINGS_PER_TIMEOUT)
        if now_us - self.last_received_us >= self.timeout_us:
            return KeepaliveAction.CUT, 0
        last_us = max(self.last_received_us, self.last_ping_us)
        due_us = min(last_us + every_us, self.last_received_us + self.timeout_us)
        if now_us >= last_us + every_us:
            self.last_ping_us = now_us
            return KeepaliveAction.PING, min(every_us, self.last_received_us + self.timeout_us - now_us)
        return KeepaliveAction.WAIT, due_us - now_us
