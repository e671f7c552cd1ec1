"""Table of the servers that a node knows, by name and by address, and of those that are supervised."""

from __future__ import annotations

from collections.abc import Iterator

from fennelcove.node.address import Address
from fennelcove.node.metrics import DropReason, Metric, NodeMetrics
from fennelcove.node.model import Server
from fennelcove.node.server_outbox import SessionMessage


class ServerTable:
    """All servers; used with the node's lock held.

    A node has connections and sessions at few of the thousands of listed servers. Only these, and servers off
    the list, are supervised: the work for an event or an interval must not visit all servers.
    """

    def __init__(self, metrics: NodeMetrics) -> None:
        """Start without servers; messages that are dropped are counted in `metrics`."""
        self._metrics = metrics
        self.by_name: dict[str, Server] = {}
        self._listed_at: dict[Address, dict[Server, None]] = {}
        self._supervised: dict[Server, None] = {}

    def get_or_add(self, name: str, address: Address) -> Server:
        """Return the server of this name, or add one at this address that is not listed yet."""
        server = self.by_name.get(name)
        if server is None:
            server = self.by_name[name] = Server(name, address, listed=False)
        return server

    def update(self, server: Server, address: Address, *, is_listed: bool) -> None:
        """Record a server's address, and whether the list names it."""
        if server.listed:
            self._remove_from_index(server)
        server.address = address
        server.listed = is_listed
        if is_listed:
            self._listed_at.setdefault(address, {})[server] = None
        else:
            self.supervise(server)

    def delist_all(self) -> None:
        """Record that the list names no server, before a full update is applied."""
        for server in self.by_name.values():
            server.listed = False
        self._listed_at.clear()
        self._supervised = dict.fromkeys(self.by_name.values())

    def successor_of(self, server: Server) -> Server | None:
        """Return the listed server that now has the address of a server off the list, or None."""
        if server.listed:
            return None
        return next(iter(self._listed_at.get(server.address, ())), None)

    def supervise(self, server: Server) -> None:
        """Supervise a server: it has connections, sessions or messages to send, or has left the list."""
        self._supervised[server] = None

    def supervised(self) -> Iterator[Server]:
        """Iterate over the supervised servers, oldest first; their set may change meanwhile.

        The supervision of a listed server without connections, sessions and queued messages ends here.
        """
        for server in list(self._supervised):
            if server.listed and not server.links and not server.needs_link:
                self._supervised.pop(server, None)
            else:
                yield server

    def queue_message(self, server: Server, message: SessionMessage) -> None:
        """Queue a message for the server's next connection."""
        if not server.outbox.add(message):
            self._metrics.count(Metric.MESSAGE_DROPPED, DropReason.LIMIT.value)
        self.supervise(server)

    def expire_messages(self, server: Server, now_us: int) -> None:
        """Drop queued messages whose time to live has passed."""
        for _ in range(server.outbox.expire(now_us)):
            self._metrics.count(Metric.MESSAGE_DROPPED, DropReason.EXPIRED.value)

    def forget(self, server: Server) -> None:
        """Remove a server that is off the list."""
        self.by_name.pop(server.name, None)
        self._supervised.pop(server, None)

    def _remove_from_index(self, server: Server) -> None:
        same_address = self._listed_at.get(server.address, {})
        same_address.pop(server, None)
        if not same_address:
            self._listed_at.pop(server.address, None)
