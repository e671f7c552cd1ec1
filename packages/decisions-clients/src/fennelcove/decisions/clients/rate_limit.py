"""A token bucket for the messages of one connection."""

from __future__ import annotations

from dataclasses import dataclass

# A player sends one report a segment and a few requests; ten times that is no player.
MESSAGES_PER_S = 20.0
MAX_BURST_MESSAGES = 100.0


@dataclass(slots=True)
class MessageRateLimit:
    """One connection's bucket; times in microseconds."""

    updated_us: int
    tokens: float = MAX_BURST_MESSAGES

    def try_acquire(self, now_us: int) -> bool:
        """Count one more message or control frame; False where it exceeds the rate."""
        gained = max(0, now_us - self.updated_us) / 1e6 * MESSAGES_PER_S
        self.tokens = min(MAX_BURST_MESSAGES, self.tokens + gained)
        self.updated_us = max(now_us, self.updated_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
