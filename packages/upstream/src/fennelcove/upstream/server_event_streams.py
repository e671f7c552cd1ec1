"""The feeds of boxes: one thread for each box on which this front holds something."""

from __future__ import annotations

import threading
from dataclasses import dataclass

import msgspec

from fennelcove.core.core import Core
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.servers.command_queue import CARRY_OUT_US
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
    """What the core asks of boxes: feeds opened and closed, orders sent."""

    def __init__(
        self,
        core: Core,
        senders: CommandSenders,
        hints: HintReader,
        front: str,
        silence_us: int,
        limits: DialLimits,
        notice: EventLogger,
    ) -> None:
        self.core = core
        self.senders = senders
        self.hints = hints
        self.front = front
        self.silence_us = silence_us
        self.limits = limits
        self.notice = notice
        self.feeds: dict[str, _Feed] = {}
        self.lock = threading.Lock()

    def orders_ready(self) -> None:
        self.senders.wake()

    def open_feed(self, server: str, generation: int) -> None:
        stream = EventStream(
            server, f"/v1/feed?front={self.front}", self.limits, CARRY_OUT_US, self.silence_us
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
        self.core.timers.after(
            0, lambda: self.core.server_registry.on_stream_closed(server, generation, False)
        )

    def close_feed(self, server: str) -> None:
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
        self.core.server_registry.on_stream_closed(server, generation, refused)

    def _take(self, server: str, generation: int, event: ServerEvent) -> None:
        try:
            if event.name == HELLO:
                hello = _HELLO.decode(event.data)
                self.core.server_registry.on_hello(server, generation, hello.boot, hello.held, hello.up_ms)
            elif event.name == REPORT:
                report = _REPORT.decode(event.data)
                says = self.hints.says(None, report.cmsd)
                self.core.server_registry.on_load_report(
                    server, generation, says or ServerHints(), report.delivered
                )
            elif event.name == ENDED:
                ended = _ENDED.decode(event.data)
                self.core.server_registry.on_session_ended(server, generation, ended.subscription, ended.join)
        except msgspec.MsgspecError as error:
            raise EventError(f"an event that is not as agreed: {error}") from None
