"""Supervises servers: sends keepalives, detects lost servers and ends their sessions."""

from __future__ import annotations

from fennelcove.decisions.servers.connection_loss import DialResult
from fennelcove.interface import Outcome, ServerState
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause
from fennelcove.node.attempt_dispatcher import AttemptDispatcher
from fennelcove.node.model import ConnectionState, Server, ServerLink
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_outbox import SessionMessage
from fennelcove.node.server_pool import ServerPool
from fennelcove.placement import PlacementPolicy

PROBE_AFTER_US = 1_500_000  # without data from a server with established sessions, until it is probed
PROBE_TIMEOUT_US = 1_500_000  # for the answer to a probe, until the connection is closed


class ServerMonitor:
    """Tracks which servers are reachable; used with the node's lock held."""

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
        """Whether the current server list allows new sessions at this server."""
        entry = self._policy.servers.get(server.name)
        return entry is not None and entry.state is ServerState.ACTIVE

    def is_known(self, name: str) -> bool:
        """Whether both the policy and the node know a server of this name."""
        return name in self._policy.servers and name in self._context.servers

    def on_dial_failed(self, server: Server, refused: bool) -> None:
        """Record that a connection to the server could not be opened."""
        now_us = self._context.now_us()
        server.connection_loss.on_dial_completed(
            DialResult.REFUSED if refused else DialResult.TIMED_OUT, now_us
        )
        self.close_if_lost(server)
        server.next_dial_us = now_us + server.connection_loss.redial_delay_us(
            has_sessions=bool(server.established)
        )

    def close_if_lost(self, server: Server) -> None:
        """Close the sessions at a server that is lost, so that their clients are notified."""
        if any(link.state is ConnectionState.OPEN for link in server.links):
            return
        # Two dials that time out do not make a server lost: a zone that is only partitioned from this node
        # would lose all its sessions.
        if not server.connection_loss.is_lost(server.listed, self._context.now_us()):
            return
        if server.connection_loss.has_process_ended(is_listed=server.listed):
            self._close_ended(server)
        else:
            self._release_sessions(server)

    def _release_sessions(self, server: Server) -> None:
        """Close all sessions at a server that can't be reached; they are released there once it can be.

        Behind an interrupted path the server still holds them, and would do so without a client.
        """
        now_us = self._context.now_us()
        for session in list(server.established):
            message = SessionMessage(session.id, isup.release(session.id, Cause.OK), now_us)
            self._context.server_table.queue_message(server, message)
            self._attempts.on_completed(session, Outcome.CONNECTION_LOST, None)

    def _close_ended(self, server: Server) -> None:
        """Close all sessions at a server whose process has ended, and drop the messages for it."""
        for session in list(server.established):
            self._attempts.on_completed(session, Outcome.CONNECTION_LOST, None)
        server.outbox.clear()

    def on_replaced(self, server: Server, successor: Server) -> None:
        """Close what belongs to a server that has gone and whose address another one has now.

        The successor accepts connections at this address before the list names it, and answers keepalives on
        them. So a session goes on only if its server has sent something about it since it was connected.
        """
        self._pool.close_links_to_successor(server, successor)
        opened_us = [link.opened_us for link in server.links if link.state is ConnectionState.OPEN]
        for session in list(server.established):
            if not opened_us or session.current_attempt.confirmed_us < min(opened_us):
                self._attempts.on_completed(session, Outcome.CONNECTION_LOST, None)

    def on_started(self, server: Server, started_us: int) -> None:
        """Close connections and sessions older than the process start that the list now reports.

        A process that restarts before two dials have failed looks alive, and its former clients would wait
        indefinitely.
        """
        if started_us <= server.started_us:
            return
        server.started_us = started_us
        for link in list(server.links):
            # A machine that failed has not closed its connections: a set-up sent on one of them is reset.
            if link.is_idle and link.last_received_us < started_us:
                link.close(Outcome.CONNECTION_LOST)
        for session in list(server.established):
            if session.attempt is not None and session.attempt.sent_us < started_us:
                # Not CONNECTION_LOST: the policy would take the current time for the start of the new
                # process, each front a different one, and their slow-start slots would no longer match.
                self._attempts.on_completed(session, Outcome.NO_ANSWER, None)

    def forget_if_removed(self, server: Server) -> None:
        """Forget a server that is off the list, once the policy has forgotten it and nothing waits for it."""
        if server.listed or server.established or server.name in self._policy.servers:
            return
        if server.outbox and not server.connection_loss.has_process_ended(is_listed=False):
            return  # its process may go on with the sessions whose releases are queued
        for link in list(server.links):
            if link.dispatched_session is None:
                link.close(Outcome.CONNECTION_LOST)
        if not server.links:
            self._context.server_table.forget(server)

    def check_servers(self, now_us: int) -> None:
        """Probe, close and open connections as necessary; called periodically."""
        waiting = list[Server]()
        for server in self._context.server_table.supervised():
            self._check_connections(server, now_us)
            self._context.server_table.expire_messages(server, now_us)
            if server.established:
                self.close_if_lost(server)
            if self._is_dial_due(server, now_us):
                server.needs_redial = False
                # A dial would reach its successor, whose answers prove nothing about this server.
                if self._context.server_table.successor_of(server) is not None:
                    self._close_ended(server)
                else:
                    waiting.append(server)
            self.forget_if_removed(server)
        self._pool.connect_waiting(waiting)

    def _check_connections(self, server: Server, now_us: int) -> None:
        """Probe silent connections, close dead ones, and close unused ones before the server does."""
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
                continue
            if server.outbox and link.is_idle:
                link.send_queued_messages()
            if link.keepalive_sent_us is None and self._is_keepalive_due(link, now_us):
                link.send_keepalive()

    def _is_keepalive_due(self, link: ServerLink, now_us: int) -> bool:
        waiting_since_us = link.unconfirmed.waiting_since_us
        # Behind an answer that stopped short, the answer to a keepalive would be taken for its rest.
        if link.is_idle and waiting_since_us is not None and now_us - waiting_since_us > PROBE_AFTER_US:
            return True
        return bool(link.server.established) and now_us - link.last_received_us > PROBE_AFTER_US

    def _is_dial_due(self, server: Server, now_us: int) -> bool:
        # A server sends the ends of sessions on any open connection, or on the next one that opens. If a
        # connection was closed with unread data, they may have been in it, and another one must be opened
        # even if others are open.
        if 0 < server.unanswered_close_us < server.last_message_us:
            # The server is alive: messages that it has sent on the closed connection must be repeated.
            server.needs_redial, server.unanswered_close_us = True, 0
        server.needs_redial = server.needs_redial and bool(server.established)
        needs_another = server.needs_redial and not self._pool.is_full
        return (
            server.needs_link and (not server.prompt_links or needs_another) and now_us >= server.next_dial_us
        )
