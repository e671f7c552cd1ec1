"""Tracks which servers drain or have left, and since when; the core's lock guards it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from fennelcove.core.context import CoreContext
from fennelcove.decisions.playback.migration import MigrationEvent
from fennelcove.interface import ServerState
from fennelcove.placement import Server


@dataclass(frozen=True, slots=True)
class DrainChange:
    """The migration event of a server's sessions that a new endpoint list causes."""

    address: str
    event: MigrationEvent


class DrainingServers:
    """The servers that should receive no new sessions.

    Attributes:
        grace_us: How long a draining server still receives commands.
    """

    def __init__(self, context: CoreContext, grace_us: int) -> None:
        self.context = context
        self.grace_us = grace_us
        self._since_us: dict[str, int] = {}
        self._departed: set[str] = set()

    def is_draining(self, server: str) -> bool:
        """Return whether a server drains or has left."""
        return server in self._since_us

    def may_command(self, server: str) -> bool:
        """Return whether commands may be sent to a server: not if it drains past its grace period."""
        since_us = self._since_us.get(server)
        return since_us is None or self.context.now_us() - since_us < self.grace_us

    def update(self, servers: Mapping[str, Server], now_us: int) -> Iterator[DrainChange]:
        """Record a new endpoint list, server by server.

        Yields:
            Each change as soon as it is recorded, while those of later servers are not recorded yet.
        """
        for address, server in servers.items():
            event = self._update_server(address, server.state, now_us)
            if event is not None:
                yield DrainChange(address, event)
        for address in [address for address in self._since_us if address not in servers]:
            del self._since_us[address]
            self._departed.discard(address)

    def _update_server(self, address: str, state: ServerState, now_us: int) -> MigrationEvent | None:
        if state is ServerState.ACTIVE:
            self._departed.discard(address)
            was_draining = self._since_us.pop(address, None) is not None
            return MigrationEvent.SERVER_IN_SERVICE if was_draining else None
        if state is ServerState.LEFT and address not in self._departed:
            self._since_us.setdefault(address, now_us)
            self._departed.add(address)
            return MigrationEvent.SERVER_DELISTED
        if address not in self._since_us:
            self._since_us[address] = now_us
            return MigrationEvent.SERVER_DRAINING
        return None
