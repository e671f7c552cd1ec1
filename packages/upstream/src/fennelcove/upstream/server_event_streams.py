"""Event streams of servers: one thread for each server on which this front has sessions."""

from __future__ import annotations

import threading
from dataclasses import dataclass

import msgspec
from fennelcove.clock.timers import Timers
from fennelcove.core.requests import EventLogger
from fennelcove.core.server_registry import ServerRegistry
from fennelcove.decisions.servers.command_queue import COMMAND_TIMEOUT_US
from fennelcove.decisions.servers.load_signals import ServerHints
from fennelcove.upstream.attempts import HintReader
from fennelcove.upstream.command_senders import CommandSenders
from fennelcove.upstream.connection_pool import DialLimits
from fennelcove.upstream.event_stream import EventStream, PeerRefusedError, StreamBrokenError
from fennelcove.wire.events import EventError, ServerEvent
from fennelcove.wire.servers import ENDED, HELLO, REPORT, Ended, Hello, Report

MAX_STREAMS = 4096
_HELLO: msgspec.json.Decoder[Hello] = msgspec.json.Decoder(Hello)
_REPORT: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)
_ENDED: msgspec.json.Decoder[Ended] = msgspec.json.Decoder(Ended)


@dataclass(slots=True, eq=False)
class _OpenStream:
    stream: EventStream
    thread: threading.Thread


class ServerEventStreams:
    """Event streams and commands of servers; implements `fennelcove.core.ports.ServerGateway`.

    Attach the server registry before the first stream is opened.
    """

    def __init__(
        self,
        timers: Timers,
        command_senders: CommandSenders,
        hints: HintReader,
        front: str,
        idle_timeout_us: int,
        limits: DialLimits,
        log_event: EventLogger,
    ) -> None:
        self.registry: ServerRegistry
        self.timers = timers
        self.command_senders = command_senders
        self.hints = hints
        self.front = front
        self.idle_timeout_us = idle_timeout_us
        self.limits = limits
        self.log_event = log_event
        self.streams: dict[str, _OpenStream] = {}
        self.lock = threading.Lock()

    def attach(self, registry: ServerRegistry) -> None:
        """Report the events of servers to this registry."""
        self.registry = registry

    def on_command_queued(self) -> None:
        """A command may be ready to be sent."""
        self.command_senders.wake()

    def open_stream(self, server: str, generation: int) -> None:
        """Open a server's event stream on a thread of its own."""
        stream = EventStream(
            server, f"/v1/feed?front={self.front}", self.limits, COMMAND_TIMEOUT_US, self.idle_timeout_us
        )
        thread = threading.Thread(target=self._run, args=(server, generation, stream), name=f"feed-{server}")
        with self.lock:
            is_full = len(self.streams) >= MAX_STREAMS
            if not is_full:
                self.streams[server] = _OpenStream(stream, thread)
        try:
            if not is_full:
                thread.start()
                return
        except RuntimeError:  # the operating system refuses another thread
            with self.lock:
                del self.streams[server]
        # The core calls this under its lock: a timer reports the failure right afterwards, in the same way as
        # any other broken stream.
        self.log_event("feeds_full", box=server)
        self.timers.after(0, lambda: self.registry.on_stream_closed(server, generation, is_refused=False))

    def close_stream(self, server: str) -> None:
        """Close a server's event stream, if one is open."""
        with self.lock:
            entry = self.streams.get(server)
        if entry is not None:
            entry.stream.close()

    def stop(self) -> None:
        """Close all streams and wait for their threads."""
        with self.lock:
            streams = list(self.streams.values())
        for entry in streams:
            entry.stream.close()
        for entry in streams:
            entry.thread.join()

    def _run(self, server: str, generation: int, stream: EventStream) -> None:
        is_refused = False
        try:
            stream.run(lambda event: self._on_event(server, generation, event))
        except PeerRefusedError:
            is_refused = True
        except StreamBrokenError as error:
            if not stream.is_closed:
                self.log_event("feed_broken", box=server, **error.fields())
        with self.lock:
            if server in self.streams and self.streams[server].stream is stream:
                del self.streams[server]
        self.registry.on_stream_closed(server, generation, is_refused=is_refused)

    def _on_event(self, server: str, generation: int, event: ServerEvent) -> None:
        try:
            if event.name == HELLO:
                hello = _HELLO.decode(event.data)
                self.registry.on_hello(server, generation, hello.boot, hello.held, hello.up_ms)
            elif event.name == REPORT:
                report = _REPORT.decode(event.data)
                server_hints = self.hints.read(None, report.cmsd)
                self.registry.on_load_report(
                    server, generation, server_hints or ServerHints(), report.delivered
                )
            elif event.name == ENDED:
                ended = _ENDED.decode(event.data)
                self.registry.on_session_ended(server, generation, ended.subscription, ended.join)
        except msgspec.MsgspecError as error:
            raise EventError(f"malformed event: {error}") from None
