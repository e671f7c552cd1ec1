"""The pool of connections to servers: which one carries a set-up, which one is closed to make room."""

from __future__ import annotations

from fennelcove.interface import Outcome
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.model import ConnectionState, Server, ServerLink, Session
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_connection import ConnectionOwner, ServerConnection

# In this time each server with established sessions gets its turn, well within 8 s of a session's end.
ROTATION_PERIOD_US = 4_000_000
MIN_CONNECTION_AGE_US = 500_000  # how long one keeps its connection at least
MAX_ABANDONED = 64  # set-ups, one after another on a connection whose server answers none of them


def _is_urgent(server: Server) -> bool:
    """Whether its process may have ended: whoever dials it too late meets the next one in its place."""
    return server.is_interrupted or server.connection_loss.is_suspected


class ServerPool:
    """The connections from one node to servers; used with its lock held."""

    def __init__(self, context: NodeContext, owner: ConnectionOwner) -> None:
        """Start without connections; `owner` gets the events of those that are opened."""
        self._context = context
        self._owner = owner

    @property
    def connection_count(self) -> int:
        """Connections that are not closed."""
        return self._context.descriptors.reserved_counts[DescriptorUse.SERVER]

    @property
    def max_connections(self) -> int:
        """The servers' part of the node's descriptors."""
        return self._context.descriptors.limits[DescriptorUse.SERVER]

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be opened."""
        return self.connection_count >= self.max_connections

    def create(self, server: Server) -> ServerConnection:
        """A new connection, to be started by the caller."""
        return ServerConnection(self._owner, server)

    def find_idle(self, server: Server, session: Session) -> list[ServerLink]:
        """Connections on which the session's set-up may be sent, the one last heard from at the end.

        None of them is being closed by the server or is about to be: a set-up lost there fails for good
        where it may not be repeated.
        """
        since_us = self._context.now_us() - self._context.config.connection_settings.idle_us * 3 // 4
        idle = [link for link in server.links if link.is_idle and link.address == server.address]
        live = [link for link in idle if link.last_received_us >= since_us and not link.is_ended_by_server()]
        # Where a set-up under this id was abandoned, the answer to it may be on its way.
        usable = [
            link
            for link in live
            if session.id not in link.abandoned_ids and len(link.abandoned_ids) < MAX_ABANDONED
        ]
        return sorted(usable, key=lambda link: link.last_received_us)

    def close_idle(self, min_age_us: int = 0) -> bool:
        """Close an idle connection to make room for another.

        The one silent longest of those that no server needs is closed, or else the oldest, if it has been
        open for `min_age_us`.

        Returns:
            Whether one was closed.
        """
        now_us = self._context.now_us()
        servers = self._context.server_table.supervised()
        idle = [link for server in servers for link in server.links if link.is_idle]
        unneeded = [link for link in idle if not (link.server.needs_link and len(link.server.links) == 1)]
        if unneeded:
            min(unneeded, key=lambda link: link.last_received_us).close(Outcome.CONNECTION_LOST)
            return True
        oldest = min(idle, key=lambda link: link.opened_us, default=None)
        if oldest is None or now_us - oldest.opened_us < min_age_us:
            return False
        oldest.close(Outcome.CONNECTION_LOST)
        return True

    def ensure_capacity(self) -> bool:
        """Whether a connection may be opened, after an idle one was closed where that was necessary."""
        if self.is_full:
            self.close_idle()
        return not self.is_full

    def connect_waiting(self, waiting: list[Server]) -> None:
        """Connect to servers that need it, in turns where they are more than the connections allowed.

        A server repeats on the next connection which sessions have ended. Those that may be gone come first:
        with a whole turn for each dial that shows it, clients heard of the end too late.
        """
        turn_us = ROTATION_PERIOD_US * self.max_connections // (self.max_connections + len(waiting))
        for server in sorted(waiting, key=lambda server: (not _is_urgent(server), server.last_closed_us)):
            if self.is_full and not self.close_idle(MIN_CONNECTION_AGE_US if _is_urgent(server) else turn_us):
                return
            self.create(server).start()

    def close_outdated(self, server: Server) -> None:
        """Close connections that lead to another process than the list now means."""
        for link in list(server.links):
            if link.state is ConnectionState.DIALLING:
                link.close(Outcome.NOT_SENT)
            elif link.is_idle:
                link.close(Outcome.CONNECTION_LOST)

    def close_links_to_successor(self, server: Server, successor: Server) -> None:
        """Close connections of a server that has gone which lead to the one in its place.

        The signs of life of the second would keep sessions of the first open. A dial under way reaches the
        second; so has a connection that was opened after the second had started, before the list named it.
        """
        for link in list(server.links):
            if link.state is ConnectionState.DIALLING:
                link.close(Outcome.NOT_SENT)
            elif 0 < successor.started_us <= link.opened_us:
                link.close(Outcome.CONNECTION_LOST)
