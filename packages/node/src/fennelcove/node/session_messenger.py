"""Sends sessions' messages to clients and servers, and removes closed sessions."""

from __future__ import annotations

from fennelcove.node.deadlines import Deadlines
from fennelcove.node.metrics import Metric
from fennelcove.node.model import ConnectionState, Session
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_outbox import SessionMessage
from fennelcove.node.session_guard import SessionGuard


class SessionMessenger:
    """Sends messages without waiting; used with the node's lock held."""

    def __init__(self, context: NodeContext, deadlines: Deadlines, guard: SessionGuard) -> None:
        """Send on the context's connections; `deadlines` has the unanswered set-up requests."""
        self._context = context
        self._deadlines = deadlines
        self._guard = guard

    def answer_setup(self, session: Session, data: bytes) -> bool:
        """Answer the set-up request, on its own connection only.

        Returns:
            False if it could not be delivered in full. A closed connection is checked for first: the kernel
            accepts data even after the client has closed, and the session would load the server unused.
        """
        self._deadlines.drop(session)
        return session.client is not None and not session.client.has_left() and session.client.send(data)

    def send_to_client(self, session: Session, data: bytes) -> None:
        """Send on the set-up's connection or another one of the client; else queue for its next one."""
        client = session.client
        if client is None or client.has_left():
            client = self._context.connections.find_connection(session.peer, session.client_id)
        if client is None or not client.send(data):
            self._context.metrics.count(Metric.RELEASE_DEFERRED, "client")
            is_queued = self._context.connections.defer(session.peer, data, self._context.now_us())
            self._guard.check_release(session, is_queued=is_queued)

    def send_to_server(self, session: Session, data: bytes) -> None:
        """Send on an open connection to the session's server; else queue for the next one."""
        if session.attempt is None:
            return
        server = session.attempt.server
        message = SessionMessage(session.id, data, self._context.now_us())
        for link in list(server.links):
            # On a connection that the server has ended, the message would be lost: after a lost release,
            # the session stays established and loads the server unused.
            if link.state is ConnectionState.OPEN and not link.is_ended_by_server() and link.deliver(message):
                return
        self._context.metrics.count(Metric.RELEASE_DEFERRED, "server")
        self._context.server_table.queue_message(server, message)

    def remember_abandoned(self, session: Session) -> None:
        """Remember the id of a session that its client has left, so that it is not executed again."""
        self._context.abandoned_ids.add(session.id, self._context.now_us())

    def drop_description(self, session: Session) -> None:
        """Drop the description of a set-up request that needs no further attempt."""
        self._context.description_bytes -= len(session.description)
        session.description = b""

    def forget_session(self, session: Session) -> None:
        """Remove a closed session from every table."""
        self.drop_description(session)
        self._context.sessions.pop(session.id, None)
        self._deadlines.drop(session)
        if session.client is not None:
            session.client.open_sessions.pop(session, None)
            session.client.established_sessions.pop(session, None)
        if session.attempt is not None:
            session.attempt.server.established.pop(session, None)
