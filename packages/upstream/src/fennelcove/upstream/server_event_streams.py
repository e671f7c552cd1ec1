"""The feeds of boxes: one thread for each box on which this front holds something."""

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
from fennelcove.upstream.event_stream import Broken, EventStream, Refused
from fennelcove.wire.boxes import ENDED, HELLO, REPORT, Ended, Hello, Report
from fennelcove.wire.events import EventError, ServerEvent

MOST_FEEDS = 4096
_HELLO: msgspec.json.Decoder[Hello] = msgspec.json.Decoder(Hello)
_REPORT: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)
_ENDED: msgspec.json.Decoder[Ended] = msgspec.json.Decoder(Ended)


@dataclass(slots=True, eq=False)
class _Feed:
    stream: EventStream
    thread: threading.Thread


class ServerEventStreams:
    """Event streams and commands of servers; implements `fennelcove.core.ports.ServerGateway`.

    Attach the server registry before the first stream is opened.
    """

    def __init__(
        self,
        timers: Timers,
        senders: CommandSenders,
        hints: HintReader,
        front: str,
        silence_us: int,
        limits: DialLimits,
        notice: EventLogger,
    ) -> None:
        self.registry: ServerRegistry
        self.timers = timers
        self.senders = senders
        self.hints = hints
        self.front = front
        self.silence_us = silence_us
        self.limits = limits
        self.notice = notice
        self.feeds: dict[str, _Feed] = {}
        self.lock = threading.Lock()

    def attach(self, registry: ServerRegistry) -> None:
        """Report the events of servers to this registry."""
        self.registry = registry

    def on_command_queued(self) -> None:
        """A command may be ready to be sent."""
        self.senders.wake()

    def open_stream(self, server: str, generation: int) -> None:
        """Open a server's event stream on a thread of its own."""
        stream = EventStream(
            server, f"/v1/feed?front={self.front}", self.limits, COMMAND_TIMEOUT_US, self.silence_us
        )
        thread = threading.Thread(target=self._run, args=(server, generation, stream), name=f"feed-{server}")
        with self.lock:
            full = len(self.feeds) >= MOST_FEEDS
            if not full:
                self.feeds[server] = _Feed(stream, thread)
        try:
            if not full:
                thread.start()
                return
        except RuntimeError:  # the machine gives no more threads
            with self.lock:
                del self.feeds[server]
        # The core is in the middle of a step: it hears of it as of any other feed that broke, a moment later.
        self.notice("feeds_full", box=server)
        self.timers.after(0, lambda: self.registry.on_stream_closed(server, generation, is_refused=False))

    def close_stream(self, server: str) -> None:
        """Close a server's event stream, if one is open."""
        with self.lock:
            feed = self.feeds.get(server)
        if feed is not None:
            feed.stream.shut()

    def stop(self) -> None:
        """End every feed and wait for its thread."""
        with self.lock:
            feeds = list(self.feeds.values())
        for feed in feeds:
            feed.stream.shut()
        for feed in feeds:
            feed.thread.join()

    def _run(self, server: str, generation: int, stream: EventStream) -> None:
        refused = False
        try:
            stream.run(lambda event: self._take(server, generation, event))
        except Refused:
            refused = True
        except Broken as error:
            if not stream.is_shut:
                self.notice("feed_broken", box=server, **error.fields())
        with self.lock:
            if server in self.feeds and self.feeds[server].stream is stream:
                del self.feeds[server]
        self.registry.on_stream_closed(server, generation, is_refused=refused)

    def _take(self, server: str, generation: int, event: ServerEvent) -> None:
        try:
            if event.name == HELLO:
                hello = _HELLO.decode(event.data)
                self.registry.on_hello(server, generation, hello.boot, hello.held, hello.up_ms)
            elif event.name == REPORT:
                report = _REPORT.decode(event.data)
                says = self.hints.says(None, report.cmsd)
                self.registry.on_load_report(server, generation, says or ServerHints(), report.delivered)
            elif event.name == ENDED:
                ended = _ENDED.decode(event.data)
                self.registry.on_session_ended(server, generation, ended.subscription, ended.join)
        except msgspec.MsgspecError as error:
            raise EventError(f"an event that is not as agreed: {error}") from None
