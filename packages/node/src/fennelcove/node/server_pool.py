"""The pool of connections to servers: selects one for each set-up, and closes idle ones at the limit."""

from __future__ import annotations

from fennelcove.interface import Outcome
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.model import ConnectionState, Server, ServerLink, Session
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_connection import ConnectionOwner, ServerConnection

# If connections are scarce, each server with established sessions is connected once in this time, well
# within 8 s of a session's end.
ROTATION_PERIOD_US = 4_000_000
MIN_CONNECTION_AGE_US = 500_000  # before a connection is closed in favour of an urgent one
MAX_ABANDONED = 64  # abandoned set-ups in succession on a connection whose server answers none of them


def _is_urgent(server: Server) -> bool:
    """Whether its process may have ended: a late dial would reach the server that replaced it."""
    return server.is_interrupted or server.connection_loss.is_suspected


class ServerPool:
    """The connections from one node to servers; used with its lock held."""

    def __init__(self, context: NodeContext, owner: ConnectionOwner) -> None:
        """Start without connections; `owner` receives the events of those that are created."""
        self._context = context
        self._owner = owner

    @property
    def connection_count(self) -> int:
        """The number of connections that are not closed."""
        return self._context.descriptors.reserved_counts[DescriptorUse.SERVER]

    @property
    def max_connections(self) -> int:
        """The servers' share of the node's descriptors."""
        return self._context.descriptors.limits[DescriptorUse.SERVER]

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be opened."""
        return self.connection_count >= self.max_connections

    def create(self, server: Server) -> ServerConnection:
        """Create a connection; the caller starts it."""
        return ServerConnection(self._owner, server)

    def find_idle(self, server: Server, session: Session) -> list[ServerLink]:
        """Connections on which the session's set-up may be sent, ordered by when data was last received.

        A connection that the server has closed, or is about to close as idle, is left out: a set-up that is
        lost there fails permanently if it must not be repeated.
        """
        since_us = self._context.now_us() - self._context.config.connection_settings.idle_us * 3 // 4
        idle = [link for link in server.links if link.is_idle and link.address == server.address]
        live = [link for link in idle if link.last_received_us >= since_us and not link.is_ended_by_server()]
        # If a set-up with this id was abandoned on a connection, its answer may still be in transit there.
        usable = [
            link
            for link in live
            if session.id not in link.abandoned_ids and len(link.abandoned_ids) < MAX_ABANDONED
        ]
        return sorted(usable, key=lambda link: link.last_received_us)

    def close_idle(self, min_age_us: int = 0) -> bool:
        """Close an idle connection so that another may be opened.

        An overdue dial goes first. Of the connections that their server does not need, the one that has been
        silent longest is closed; if there is none, the oldest one, if it has been open for `min_age_us`.

        Returns:
            Whether one was closed.
        """
        now_us = self._context.now_us()
        links = [link for server in self._context.server_table.supervised() for link in server.links]
        overdue = next((link for link in links if link.is_overdue), None)
        if overdue is not None:
            overdue.close(Outcome.NO_CONNECTION)
            return True
        idle = [link for link in links if link.is_idle]
        unneeded = [link for link in idle if not (link.server.needs_link and len(link.server.links) == 1)]
        if unneeded:
            min(unneeded, key=lambda link: link.last_received_us).close(Outcome.CONNECTION_LOST)
            return True
        oldest = min(idle, key=lambda link: link.opened_us, default=None)
        if oldest is None or now_us - oldest.opened_us < min_age_us:
            return False
        oldest.close(Outcome.CONNECTION_LOST)
        return True

    def may_stay_overdue(self, server: Server) -> bool:
        """Whether a dial to this server may go on after its timeout, beside the next one.

        A server whose connections are late by a constant amount would otherwise never be reached. It is worth
        a connection only if sessions or messages wait for it, and one such dial is enough.
        """
        return server.needs_link and len(server.prompt_links) == len(server.links) and not self.is_full

    def ensure_capacity(self) -> bool:
        """Whether a connection may be opened; an idle one is closed first if that is necessary."""
        if self.is_full:
            self.close_idle()
        return not self.is_full

    def connect_waiting(self, waiting: list[Server]) -> None:
        """Connect to servers that need it, in rotation if they outnumber the allowed connections.

        On its next connection a server repeats which sessions have ended. Servers whose process may have
        ended come first, without waiting for their place in the rotation: otherwise their clients would be
        notified too late.
        """
        turn_us = ROTATION_PERIOD_US * self.max_connections // (self.max_connections + len(waiting))
        for server in sorted(waiting, key=lambda server: (not _is_urgent(server), server.last_closed_us)):
            if self.is_full and not self.close_idle(MIN_CONNECTION_AGE_US if _is_urgent(server) else turn_us):
                return
            self.create(server).start()

    def close_outdated(self, server: Server) -> None:
        """Close idle and dialling connections to the server's previous address."""
        for link in list(server.links):
            if link.state is ConnectionState.DIALLING:
                link.close(Outcome.NOT_SENT)
            elif link.is_idle:
                link.close(Outcome.CONNECTION_LOST)

    def close_links_to_successor(self, server: Server, successor: Server) -> None:
        """Close connections of a server that has gone if they lead to its successor at the same address.

        Otherwise messages of the successor would keep sessions of the first server open. A dial in progress
        reaches the successor, and so does a connection that was opened after the successor's start, even if
        the list did not name it yet.
        """
        for link in list(server.links):
            if link.state is ConnectionState.DIALLING:
                link.close(Outcome.NOT_SENT)
            elif 0 < successor.started_us <= link.opened_us:
                link.close(Outcome.CONNECTION_LOST)
