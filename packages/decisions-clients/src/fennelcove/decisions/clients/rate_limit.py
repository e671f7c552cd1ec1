"""How much a connection may say, and when it must be asked whether it is still there."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

# A player has a report a segment and a few requests; ten times that is none we know.
MESSAGES_PER_S = 20.0
MESSAGES_AT_ONCE = 100.0
PINGS_IN_SILENCE = 3


@dataclass(slots=True)
class MessageRateLimit:
    """A bucket of messages; times in microseconds."""

    now_us: int
    level: float = MESSAGES_AT_ONCE

    def take(self, now_us: int) -> bool:
        """One message or control frame more; False where it is too much."""
        gained = max(0, now_us - self.now_us) / 1e6 * MESSAGES_PER_S
        self.level = min(MESSAGES_AT_ONCE, self.level + gained)
        self.now_us = max(now_us, self.now_us)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class KeepaliveAction(Enum):
    """What to do about a connection that says nothing."""

    WAIT = auto()
    PING = auto()
    CUT = auto()


@dataclass(slots=True)
class KeepaliveMonitor:
    """One connection's last sign of life, and when it was last asked for one."""

    silent_us: int
    heard_us: int
    asked_us: int = -1

    def hear(self, now_us: int) -> None:
        """Bytes came."""
        self.heard_us = now_us
        self.asked_us = -1

    def check(self, now_us: int) -> tuple[KeepaliveAction, int]:
        """What is due now, and in how long to look again, in microseconds."""
        every_us = max(1, self.silent_us // PINGS_IN_SILENCE)
        if now_us - self.heard_us >= self.silent_us:
            return KeepaliveAction.CUT, 0
        last_us = max(self.heard_us, self.asked_us)
        due_us = min(last_us + every_us, self.heard_us + self.silent_us)
        if now_us >= last_us + every_us:
            self.asked_us = now_us
            return KeepaliveAction.PING, min(every_us, self.heard_us + self.silent_us - now_us)
        return KeepaliveAction.WAIT, due_us - now_us
