"""Persists the servers' concurrency limits and restores them after a front's restart."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from fennelcove.clock import Clock
from fennelcove.concurrency_limits import persisted
from fennelcove.concurrency_limits.replica import Replica

SECOND_US = 1_000_000
MINUTE_US = 60 * SECOND_US


class LimitSnapshots:
    """Restored limits by server address; the caller holds the lock."""

    def __init__(self, replica: Replica, clock: Clock) -> None:
        self._replica = replica
        self._clock = clock
        self._unclaimed: dict[str, bytes] = {}  # restored records whose servers are not listed yet

    def restore(self, values: Mapping[bytes, bytes]) -> None:
        """Load the records of the previous incarnation; each is retained until its server is listed."""
        self._unclaimed = {
            key[len(persisted.KEY_PREFIX) :].decode("utf-8", "replace"): record
            for key, record in values.items()
            if key.startswith(persisted.KEY_PREFIX)
        }

    def claim(self, address: str, kind: str, started_us: int, now_us: int) -> int | None:
        """Remove a server's record and return its limit; None if no record still applies."""
        record = self._unclaimed.pop(address, None)
        if record is None:
            return None
        wall_us = self._clock.wall_us()
        started_wall_us = _to_wall_us(started_us, now_us, wall_us)
        return persisted.restore_limit(record, kind, started_wall_us, self._replica.settings.start, wall_us)

    def records(self, server_keys: Mapping[str, int]) -> list[tuple[bytes, bytes]]:
        """Return the store records of listed servers.

        Times are rounded so that a record changes at most once a minute while its limit is unchanged.
        """
        now_us, wall_us = self._clock.now_us(), self._clock.wall_us()
        records = []
        for address, server_key in server_keys.items():
            server = self._replica.servers[server_key]
            started_wall_us = _to_wall_us(server.started_us, now_us, wall_us)
            record = persisted.StoredLimit(
                server.kind,
                round(started_wall_us / SECOND_US) * SECOND_US,
                server.agreement.limit,
                wall_us // MINUTE_US * MINUTE_US,
            )
            records.append((persisted.KEY_PREFIX + address.encode(), msgspec.msgpack.encode(record)))
        return records


def _to_wall_us(at_us: int, now_us: int, wall_us: int) -> int:
    """Convert a time of the monotonic clock to the wall clock; 0 (unknown) stays 0."""
    return wall_us - (now_us - at_us) if at_us else 0
