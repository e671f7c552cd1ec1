"""The servers that a node knows, by name and by address, and those that need supervision."""

from __future__ import annotations

from collections.abc import Iterator

from fennelcove.node.address import Address
from fennelcove.node.model import Server


class ServerTable:
    """All servers, used with the node's lock held.

    Of thousands of listed servers a node has connections and sessions at a few. Only these, and those off the
    list, are supervised: what is done for each event or at each interval must not visit all servers.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self.by_name: dict[str, Server] = {}
        self._listed_at: dict[Address, dict[Server, None]] = {}
        self._supervised: dict[Server, None] = {}

    def get_or_add(self, name: str, address: Address) -> Server:
        """The server of this name; a new one starts off the list, at this address."""
        server = self.by_name.get(name)
        if server is None:
            server = self.by_name[name] = Server(name, address, listed=False)
        return server

    def update(self, server: Server, address: Address, *, is_listed: bool) -> None:
        """Record where a server is, and whether the list names it."""
        if server.listed:
            self._remove_from_index(server)
        server.address = address
        server.listed = is_listed
        if is_listed:
            self._listed_at.setdefault(address, {})[server] = None
        else:
            self.supervise(server)

    def delist_all(self) -> None:
        """Record that the list names no server, before a whole list is applied."""
        for server in self.by_name.values():
            server.listed = False
        self._listed_at.clear()
        self._supervised = dict.fromkeys(self.by_name.values())

    def successor_of(self, server: Server) -> Server | None:
        """The listed server that has the address of a server off the list by now, or None."""
        if server.listed:
            return None
        return next(iter(self._listed_at.get(server.address, ())), None)

    def supervise(self, server: Server) -> None:
        """Supervise a server: it has connections, sessions or messages to send, or has left the list."""
        self._supervised[server] = None

    def supervised(self) -> Iterator[Server]:
        """The supervised servers, in the order in which their supervision began; it may change meanwhile.

        A listed server without connections, sessions and unsent messages needs no supervision any longer.
        """
        for server in list(self._supervised):
            if server.listed and not server.links and not server.needs_link:
                self._supervised.pop(server, None)
            else:
                yield server

    def forget(self, server: Server) -> None:
        """Remove a server that is off the list."""
        self.by_name.pop(server.name, None)
        self._supervised.pop(server, None)

    def _remove_from_index(self, server: Server) -> None:
        same_address = self._listed_at.get(server.address, {})
        same_address.pop(server, None)
        if not same_address:
            self._listed_at.pop(server.address, None)
