"""A token bucket for the messages of one connection."""

from __future__ import annotations

from dataclasses import dataclass

# A player sends one report for each segment and a few requests; a client that sends ten times as much is not
# a player.
MESSAGES_PER_S = 20.0
MAX_BURST_MESSAGES = 100.0


@dataclass(slots=True)
class MessageRateLimit:
    """The token bucket of one connection; times in microseconds."""

    updated_us: int
    tokens: float = MAX_BURST_MESSAGES

    def try_acquire(self, now_us: int) -> bool:
        """Take a token for a message or control frame; False where the rate is exceeded."""
        gained = max(0, now_us - self.updated_us) / 1e6 * MESSAGES_PER_S
        self.tokens = min(MAX_BURST_MESSAGES, self.tokens + gained)
        self.updated_us = max(now_us, self.updated_us)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
