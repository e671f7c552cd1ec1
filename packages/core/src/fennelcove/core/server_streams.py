"""Runs the state machine of each server's event stream; the caller holds the core's lock."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from fennelcove.core.context import CoreContext
from fennelcove.core.ports import ServerGateway
from fennelcove.core.server_record import ServerRecord
from fennelcove.decisions.servers import event_stream
from fennelcove.decisions.servers.event_stream import StreamAction, StreamEvent


class StreamLossHandler(Protocol):
    """Handles losses that an event stream reveals."""

    def on_all_lost(self, server: ServerRecord) -> None:
        """Handle the loss of a server with all its sessions."""

    def on_unreported_lost(self, server: ServerRecord) -> None:
        """Handle the restart of a server, which has lost the sessions that it does not report."""


class ServerStreams:
    """Opens, reopens and closes the event streams of the known servers."""

    def __init__(
        self,
        context: CoreContext,
        gateway: ServerGateway,
        records: dict[str, ServerRecord],
        loss_handler: StreamLossHandler,
    ) -> None:
        self.context = context
        self.gateway = gateway
        self.records = records
        self.generation_count = 0
        self._handlers: Mapping[StreamAction, Callable[[ServerRecord], None]] = {
            StreamAction.OPEN_STREAM: self._open,
            StreamAction.CLOSE_STREAM: self._close,
            StreamAction.SCHEDULE_RETRY: self._schedule_reopen,
            StreamAction.SCHEDULE_CLOSE: self._schedule_expiry,
            StreamAction.DISCARD: self._remove,
            StreamAction.FAIL_ALL_SESSIONS: loss_handler.on_all_lost,
            StreamAction.FAIL_UNLISTED_SESSIONS: loss_handler.on_unreported_lost,
        }

    def apply(self, server: ServerRecord, event: StreamEvent) -> None:
        """Apply an event to a server's stream."""
        self._run(server, server.stream.apply(event, self.context.now_us()))

    def on_hello(self, server: ServerRecord, boot: str) -> None:
        """Handle the first message of a server's stream, with the server's boot id."""
        self._run(server, server.stream.on_hello(boot, self.context.now_us()))

    def _run(self, server: ServerRecord, actions: Iterable[StreamAction]) -> None:
        for action in actions:
            self._handlers[action](server)

    def _open(self, server: ServerRecord) -> None:
        self.generation_count += 1
        server.generation = self.generation_count
        server.stream_opened_us = self.context.now_us()
        self.gateway.open_stream(server.address, server.generation)

    def _close(self, server: ServerRecord) -> None:
        self.gateway.close_stream(server.address)

    def _schedule_reopen(self, server: ServerRecord) -> None:
        def reopen() -> None:
            with self.context.lock:
                if self.records.get(server.address) is server:
                    self.apply(server, StreamEvent.RETRY_DUE)

        self.context.timers.after(server.stream.backoff_us(self.context.rng.random()), reopen)

    def _schedule_expiry(self, server: ServerRecord) -> None:
        server.idle_count += 1
        idle_count = server.idle_count

        def expire() -> None:
            with self.context.lock:
                is_current = self.records.get(server.address) is server and server.idle_count == idle_count
                if is_current and not server.sessions:
                    self.apply(server, StreamEvent.EXPIRED)

        self.context.timers.after(event_stream.LINGER_US, expire)

    def _remove(self, server: ServerRecord) -> None:
        self.records.pop(server.address, None)
