"""Supervision of servers: liveness probes, lost servers and the ends of their sessions."""

from __future__ import annotations

from fennelcove.decisions.servers.connection_loss import DialResult
from fennelcove.interface import Outcome, ServerState
from fennelcove.node.attempt_dispatcher import AttemptDispatcher
from fennelcove.node.model import ConnectionState, Server
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_connection import REDIAL_DELAY_US
from fennelcove.node.server_pool import ServerPool
from fennelcove.placement import PlacementPolicy

# A connection to a server with established sessions is probed when it has been quiet for this long,
PROBE_AFTER_US = 1_500_000
PROBE_TIMEOUT_US = 1_500_000  # and closed when the probe has not been answered for this long.


class ServerMonitor:
    """Keeps track of which servers are there; used with the node's lock held."""

    def __init__(
        self,
        context: NodeContext,
        policy: PlacementPolicy,
        pool: ServerPool,
        attempts: AttemptDispatcher,
    ) -> None:
        """Supervise the servers in the context's table."""
        self._context = context
        self._policy = policy
        self._pool = pool
        self._attempts = attempts

    def accepts_attempts(self, server: Server) -> bool:
        """Whether the list, as far as it is known, lets new sessions go to this server."""
        entry = self._policy.servers.get(server.name)
        return entry is not None and entry.state is ServerState.ACTIVE

    def is_known(self, name: str) -> bool:
        """Whether both the policy and the node have a server of this name."""
        return name in self._policy.servers and name in self._context.servers

    def on_dial_failed(self, server: Server, refused: bool) -> None:
        """Record that a connection could not be made."""
        now_us = self._context.now_us()
        server.connection_loss.on_dial_completed(
            DialResult.REFUSED if refused else DialResult.TIMED_OUT, now_us
        )
        server.next_dial_us = self._context.now_us() + REDIAL_DELAY_US
        self.close_if_lost(server)

    def close_if_lost(self, server: Server) -> None:
        """Close the sessions at a server that is gone: their clients must be notified."""
        if any(link.state is ConnectionState.OPEN for link in server.links):
            return
        # Taken for gone after two dials that timed out, a zone that was only cut off lost all its clients.
        if server.connection_loss.is_lost(server.listed, self._context.now_us()):
            self.close_sessions(server)

    def close_sessions(self, server: Server) -> None:
        """Close all sessions at a server that is gone, and drop what was to be sent to it."""
        server.unsent.clear()
        for session in list(server.established):
            self._attempts.on_completed(session, Outcome.CONNECTION_LOST, None)

    def on_started(self, server: Server, started_us: int) -> None:
        """Close what was set up before the process start that the list now reports.

        A process that dies and is back before two dials have failed looks alive, and clients waited for good.
        """
        if started_us <= server.started_us:
            return
        server.started_us = started_us
        for link in list(server.links):
            # A machine that vanished ended none of its connections: a set-up on one of them is reset.
            if link.is_idle and link.last_received_us < started_us:
                link.close(Outcome.CONNECTION_LOST)
        for session in list(server.established):
            if session.attempt is not None and session.attempt.sent_us < started_us:
                # As a lost connection, it made the policy date the new process from now: each front had
                # another start, by its own clock, and the slow-start slots of all no longer fitted.
                self._attempts.on_completed(session, Outcome.NO_ANSWER, None)

    def forget_if_removed(self, server: Server) -> None:
        """Forget a server that is off the list, once the policy has and no session is left there."""
        if server.listed or server.established or server.name in self._policy.servers:
            return
        for link in list(server.links):
            if link.dispatched_session is None:
                link.close(Outcome.CONNECTION_LOST)
        if not server.links:
            self._context.server_table.forget(server)

    def check_servers(self, now_us: int) -> None:
        """Probe, close and open connections; called periodically."""
        waiting = list[Server]()
        for server in self._context.server_table.supervised():
            self._check_connections(server, now_us)
            if server.established:
                self.close_if_lost(server)
            if self._is_dial_due(server, now_us):
                server.needs_redial = False
                # A dial would reach the one that came in its place, whose answers prove nothing of it.
                if self._context.server_table.successor_of(server) is not None:
                    self.close_sessions(server)
                else:
                    waiting.append(server)
            self.forget_if_removed(server)
        self._pool.connect_waiting(waiting)

    def _check_connections(self, server: Server, now_us: int) -> None:
        """Probe quiet connections, and close dead ones, and unused ones before the server does."""
        unused_after_us = self._context.config.connection_settings.idle_us * 3 // 4
        for link in list(server.links):
            if link.state is not ConnectionState.OPEN:
                continue
            quiet_us = now_us - link.last_received_us
            is_dead = (
                link.keepalive_sent_us is not None and now_us - link.keepalive_sent_us > PROBE_TIMEOUT_US
            )
            is_unused = link.is_idle and not server.established and quiet_us > unused_after_us
            if is_dead:
                server.connection_loss.on_keepalive_timeout()
            if is_dead or is_unused:
                link.close(Outcome.CONNECTION_LOST)
            elif quiet_us > PROBE_AFTER_US and server.established and link.keepalive_sent_us is None:
                link.send_keepalive()

    def _is_dial_due(self, server: Server, now_us: int) -> bool:
        # The ends of sessions come on any open connection, or on the next that is opened. One that was
        # closed unread may have carried them, and with others open no next one ever came.
        if 0 < server.unanswered_close_us < server.last_message_us:
            # It goes on: what it tells now on the connection that was closed meanwhile must come again.
            server.needs_redial, server.unanswered_close_us = True, 0
        server.needs_redial = server.needs_redial and bool(server.established)
        needs_another = server.needs_redial and not self._pool.is_full
        return server.needs_link and (not server.links or needs_another) and now_us >= server.next_dial_us
