"""Hand-over of sessions that are established at a server, for example after a restart of a node."""

from __future__ import annotations

from dataclasses import dataclass

from fennelcove.interface import Handover, Outcome, Request
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause
from fennelcove.node.address import Address
from fennelcove.node.attempt_dispatcher import AttemptDispatcher
from fennelcove.node.model import Attempt, Server, Session, SessionState
from fennelcove.node.node_context import NodeContext
from fennelcove.node.server_messages import ServerMessageHandler
from fennelcove.node.server_monitor import ServerMonitor
from fennelcove.node.server_outbox import ServerOutbox, SessionMessage
from fennelcove.node.server_pool import ServerPool
from fennelcove.node.session_states import SessionActions, release_message

# For a server list that names the session's server. Within 6 s a change counts as delivered, and within 8 s
# the client of a session that has ended must be notified.
UNKNOWN_SERVER_TIMEOUT_US = 6_000_000
MAX_WAITING = 1_024  # sessions whose server is not known yet
MAX_LATE_RELEASES = 4_096  # kept for servers that no list names; clients may invent their names


@dataclass(frozen=True, slots=True)
class WaitingHandover:
    """The hand-over of a session whose server is not known yet."""

    deadline_us: int
    request: Request


class HandoverManager:
    """Takes over established sessions; used with the node's lock held."""

    def __init__(
        self,
        context: NodeContext,
        pool: ServerPool,
        monitor: ServerMonitor,
        attempts: AttemptDispatcher,
        messages: ServerMessageHandler,
        actions: SessionActions,
    ) -> None:
        """Start with no session waiting."""
        self._context = context
        self._pool = pool
        self._monitor = monitor
        self._attempts = attempts
        self._messages = messages
        self._actions = actions
        self.waiting: dict[Session, WaitingHandover] = {}
        # Releases of sessions that have waited too long, for a list that names their server even later.
        self.unlisted: dict[str, ServerOutbox] = {}

    def take_over(self, session: Session, request: Request, server: str) -> bool:
        """Take over a session; False if its server is not known yet."""
        is_known = self._monitor.is_known(server)
        if not is_known and len(self.waiting) >= MAX_WAITING:
            self._actions.send_to_client(session, release_message(session, Cause.RESET))
            return False
        # Also a session at an unknown server is taken over: if it were ignored and no list named its server,
        # the client would never be notified of its end.
        owner = self._context.servers[server] if is_known else Server(server, Address("", 0), listed=False)
        self._establish(session, owner)
        if not is_known:
            deadline_us = self._context.now_us() + UNKNOWN_SERVER_TIMEOUT_US
            self.waiting[session] = WaitingHandover(deadline_us, request)
            return False
        self._attach(session, request, owner)
        return True

    def resolve_waiting(self) -> None:
        """Attach sessions whose server has become known, and close those that have waited too long."""
        self._queue_late_releases()
        for session, handover in list(self.waiting.items()):
            attempt = session.current_attempt
            placeholder = attempt.server
            if self._monitor.is_known(placeholder.name):
                del self.waiting[session]
                server = self._context.servers[placeholder.name]
                self._context.server_table.supervise(server)
                for message in placeholder.outbox:  # a session closed meanwhile is still released there
                    self._context.server_table.queue_message(server, message)
                if session.state is SessionState.ESTABLISHED:
                    attempt.server = server
                    self._attach(session, handover.request, server)
            elif self._context.now_us() >= handover.deadline_us:
                del self.waiting[session]
                release = SessionMessage(
                    session.id, isup.release(session.id, Cause.OK), self._context.now_us()
                )
                self._keep_late_release(placeholder.name, release)
                if session.state is SessionState.ESTABLISHED:
                    self._attempts.on_completed(session, Outcome.CONNECTION_LOST, None)

    def _keep_late_release(self, server: str, release: SessionMessage) -> None:
        """Keep a release for a server that no list names yet; it may hold the session all the same."""
        if sum(map(len, self.unlisted.values())) < MAX_LATE_RELEASES:
            self.unlisted.setdefault(server, ServerOutbox()).add(release)

    def _queue_late_releases(self) -> None:
        """Queue the releases for servers that have become known, and drop those that are too old."""
        for name, outbox in list(self.unlisted.items()):
            if self._monitor.is_known(name):
                for release in outbox:
                    self._context.server_table.queue_message(self._context.servers[name], release)
                outbox.clear()
            outbox.expire(self._context.now_us())
            if not outbox:
                del self.unlisted[name]

    def _establish(self, session: Session, server: Server) -> None:
        # It began before this process did: a server that has started later no longer has it.
        session.attempt = Attempt(server, 0, self._context.created_us, 0)
        session.attempts = 1
        session.state = SessionState.ESTABLISHED
        session.description = b""
        self._context.sessions[session.id] = session
        if session.client is not None:
            session.client.established_sessions[session] = None

    def _attach(self, session: Session, request: Request, server: Server) -> None:
        """Attach a session to its server, and handle the server's cached messages about it."""
        if not server.established:
            server.connection_loss.on_first_handover(self._context.now_us())
        server.established[session] = None
        self._context.server_table.supervise(server)
        self._actions.notify_policy(Handover(request, server.name))
        self._messages.replay(session)
        if server.started_us > self._context.created_us:
            self._attempts.on_completed(session, Outcome.NO_ANSWER, None)
        if not server.prompt_links and not self._pool.is_full:
            self._pool.create(server).start()
