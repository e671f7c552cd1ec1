"""Applies updates of the discovery service to the node's table of servers."""

from __future__ import annotations

from collections.abc import Iterable

from fennelcove.interface import ListMode, ServerState
from fennelcove.node.discovery_events import DiscoveryEvent
from fennelcove.node.handovers import HandoverManager
from fennelcove.node.model import Server
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_monitor import ServerMonitor
from fennelcove.node.server_pool import ServerPool
from fennelcove.node.session_states import SessionActions


class DiscoveryUpdateHandler:
    """Applies updates of the server list; used with the node's lock held."""

    def __init__(
        self,
        context: NodeContext,
        pool: ServerPool,
        monitor: ServerMonitor,
        handovers: HandoverManager,
        actions: SessionActions,
    ) -> None:
        """Apply updates to the context's table of servers."""
        self._context = context
        self._pool = pool
        self._monitor = monitor
        self._handovers = handovers
        self._actions = actions

    def on_event(self, event: DiscoveryEvent) -> None:
        """Apply a full or an incremental update."""
        self.on_events((event,))

    def on_events(self, events: Iterable[DiscoveryEvent]) -> None:
        """Apply events in order, then update connections and sessions once for all of them.

        The rollout of a release brings hundreds of events at a time, and all requests wait for the lock.
        """
        for event in events:
            self._apply(event)
        self._handovers.resolve_waiting()
        for server in self._context.server_table.supervised():
            successor = self._context.server_table.successor_of(server)
            if successor is not None:
                self._monitor.on_replaced(server, successor)
            self._monitor.forget_if_removed(server)

    def _apply(self, event: DiscoveryEvent) -> None:
        # The table is complete before any session ends: the policy may then start attempts at any server.
        moved = self._update_table(event)
        self._actions.notify_policy(event.update)
        for server in moved:
            self._pool.close_outdated(server)
        for entry in event.update.entries:
            self._monitor.on_started(self._context.servers[entry.address], entry.started_us)

    def _update_table(self, event: DiscoveryEvent) -> list[Server]:
        """Update the table, and return the servers whose address has changed."""
        table = self._context.server_table
        if event.update.mode is not ListMode.INCREMENTAL:
            table.delist_all()
        moved = []
        for entry in event.update.entries:
            address = event.addresses[entry.address]
            server = table.get_or_add(entry.address, address)
            if server.address != address:
                moved.append(server)
            table.update(server, address, is_listed=entry.state is not ServerState.LEFT)
        return moved
