"""The servers that play sessions: their event streams and their reports on sessions."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.ports import ServerGateway
from fennelcove.core.requests import Session
from fennelcove.core.server_record import ServerRecord
from fennelcove.core.server_reports import ServerReports
from fennelcove.core.server_streams import ServerStreams
from fennelcove.core.session_adoption import SessionAdoption
from fennelcove.core.session_lifecycle import SessionLifecycle
from fennelcove.decisions.clients.session_lifecycle import SessionEvent
from fennelcove.decisions.fleet import recovery_admission
from fennelcove.decisions.servers.event_stream import StreamEvent
from fennelcove.decisions.servers.load_signals import ServerHints
from fennelcove.interface import ListUpdate, ReportKind, ServerState
from fennelcove.wire.servers import Held

RECOVERY_POLL_S = 0.05


class ServerLossHandler(Protocol):
    """Handles sessions whose server is lost."""

    def on_server_lost(self, session: Session) -> None:
        """Handle that the session's server is lost or no longer plays the session."""


class ServerRegistry:
    """Keeps a record of each server in use. The loss handler must be bound before any event.

    The core's lock guards it.

    Attributes:
        recovery: The recovery of this front's sessions after its start.
        records: The servers in use, by address.
        synced_servers: The servers that have reported their sessions to this incarnation.
        on_uptime: Called with a server's address and its uptime in milliseconds, None if it reports none.
        reported_attempts: Session ids and attempts in the session report that is being processed.
    """

    def __init__(
        self,
        context: CoreContext,
        gateway: ServerGateway,
        recovery: recovery_admission.RecoveryAdmission,
        lifecycle: SessionLifecycle,
        adoption: SessionAdoption,
        reports: ServerReports,
    ) -> None:
        self.context = context
        self.recovery = recovery
        self.lifecycle = lifecycle
        self.adoption = adoption
        self.reports = reports
        self.records: dict[str, ServerRecord] = {}
        self.streams = ServerStreams(context, gateway, self.records, self)
        self.reported_attempts: frozenset[tuple[str, int]] = frozenset()
        self.synced_servers: set[str] = set()
        self.on_uptime: Callable[[str, float | None], None] = lambda address, up_ms: None
        self.recovery_finished = threading.Event()
        self._loss_handler: ServerLossHandler

    def bind_loss_handler(self, handler: ServerLossHandler) -> None:
        """Set the handler of lost sessions."""
        self._loss_handler = handler

    def active_count(self) -> int:
        """Return how many servers play sessions of this front."""
        return sum(1 for server in self.records.values() if server.sessions)

    # Events from this front.

    def on_session_established(self, session: Session) -> None:
        """Add a session to its server, which now plays it."""
        server = self.records.setdefault(session.server, ServerRecord(session.server))
        server.sessions[session.id] = session
        if len(server.sessions) == 1:
            self.streams.apply(server, StreamEvent.SESSIONS_HELD)

    def on_session_closed(self, session: Session) -> None:
        """Remove a session from its server, if the server plays it."""
        server = self.records.get(session.server)
        if server is None or server.sessions.pop(session.id, None) is None:
            return
        server.delivery.forget(session.id)
        if not server.sessions:
            self.streams.apply(server, StreamEvent.NO_SESSIONS_HELD)

    def request_session_reports(self, update: ListUpdate, now_us: int) -> None:
        """Open the streams of all listed servers, so that each reports the sessions it has for this front."""
        addresses = {entry.address for entry in update.entries if entry.state is not ServerState.LEFT}
        self.recovery.on_endpoints_listed(addresses, now_us)
        for address in sorted(addresses):
            server = self.records.setdefault(address, ServerRecord(address))
            self.streams.apply(server, StreamEvent.SESSIONS_HELD)

    def wait_until_recovered(self) -> None:
        """Block until every server has reported its sessions or the recovery times out."""
        while True:
            with self.context.lock:
                left_us = self.recovery.remaining_us(self.context.now_us())
                if self.recovery.is_settled:
                    return
                if left_us == 0:
                    self.recovery.apply(recovery_admission.RecoveryEvent.TIMED_OUT, self.context.now_us())
                    continue
            self.recovery_finished.wait(min(RECOVERY_POLL_S, left_us / 1e6))

    # Events from servers; the generation identifies the stream that they arrived on.

    def on_hello(
        self, address: str, generation: int, boot: str, reported: Sequence[Held], up_ms: float | None = None
    ) -> None:
        """Handle the first message of a server's stream: its boot id, attempts of this front, and uptime."""
        with self.context.lock:
            server = self._record_of_stream(address, generation)
            if server is None:
                return
            now_us = self.context.now_us()
            self.synced_servers.add(address)
            self.on_uptime(address, up_ms)
            self.reported_attempts = frozenset((item.subscription, item.join) for item in reported)
            self.streams.on_hello(server, boot)
            for item in reported:
                session = self.adoption.reconcile(address, item)
                if session is not None:
                    server.sessions[session.id] = session
            self._finish_sync(server, now_us)

    def on_load_report(
        self, address: str, generation: int, hints: ServerHints, delivered_share: float | None
    ) -> None:
        """Handle a server's report of its load and of the delivered share of its sessions' rates."""
        with self.context.lock:
            server = self._record_of_stream(address, generation)
            session = server.any_session() if server is not None else None
            if session is None:
                return
            self.reports.forward_hints(session, hints)
            if delivered_share is not None:
                self.reports.forward(session, ReportKind.DELIVERED, delivered_share)

    def on_session_ended(self, address: str, generation: int, session_id: str, attempt: int) -> None:
        """Handle a server's report that it no longer plays a session."""
        with self.context.lock:
            if self._record_of_stream(address, generation) is None:
                return
            session = self.lifecycle.sessions.get(session_id)
            if session is None or session.current_target is None or session.current_target.attempt != attempt:
                return
            session.close_reason = "ended at its box"
            session.may_exist_on_server = False
            self.lifecycle.apply(session, SessionEvent.RELEASED)

    def on_stream_closed(self, address: str, generation: int, *, is_refused: bool) -> None:
        """Handle a stream that broke or timed out, or that the server refused to open."""
        with self.context.lock:
            server = self._record_of_stream(address, generation)
            if server is None:
                return
            now_us = self.context.now_us()
            event = StreamEvent.REFUSED if is_refused else StreamEvent.DISCONNECTED
            self.streams.apply(server, event)
            if is_refused:
                self._finish_sync(server, now_us)

    def _record_of_stream(self, address: str, generation: int) -> ServerRecord | None:
        server = self.records.get(address)
        return server if server is not None and server.generation == generation else None

    def _finish_sync(self, server: ServerRecord, now_us: int) -> None:
        self.recovery.on_server_settled(server.address, now_us)
        if not server.sessions and self.records.get(server.address) is server:
            self.streams.apply(server, StreamEvent.NO_SESSIONS_HELD)
        if self.recovery.is_settled:
            self.recovery_finished.set()

    # Losses detected by the streams.

    def on_all_lost(self, server: ServerRecord) -> None:
        """Handle the loss of a server with all its sessions."""
        if server.sessions:
            self.context.log_event("server_lost", box=server.address, subscriptions=len(server.sessions))
        else:
            self._finish_sync(server, self.context.now_us())
        for session in list(server.sessions.values()):
            self._loss_handler.on_server_lost(session)

    def on_unreported_lost(self, server: ServerRecord) -> None:
        """Handle the restart of a server, which has lost the sessions that it does not report."""
        for session in list(server.sessions.values()):
            target = session.current_target
            is_unknown = target is None or (session.id, target.attempt) not in self.reported_attempts
            # One established after the stream was opened may be missing from the report without being lost.
            if is_unknown and session.established_us < server.stream_opened_us:
                session.close_reason = "its box knows it no more"
                self._loss_handler.on_server_lost(session)
