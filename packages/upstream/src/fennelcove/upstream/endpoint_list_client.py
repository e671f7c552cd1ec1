"""The list service's client: a stream of changes, and single calls for the whole list."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

import msgspec

from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.servers import endpoint_list
from fennelcove.decisions.servers.command_queue import CARRY_OUT_US
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import ProtocolError, ResponseHead
from fennelcove.upstream.connection_pool import DialLimits, dial
from fennelcove.upstream.event_stream import Broken, EventStream, Refused
from fennelcove.wire.events import EventError, ServerEvent
from fennelcove.wire.lists import ListMessage, news

LIST_BYTES = 4 * 1024 * 1024
_MESSAGE: msgspec.json.Decoder[ListMessage] = msgspec.json.Decoder(ListMessage)


class EndpointListUnreachedError(OperatorError):
    """No whole answer of the list service came."""

    code = "list-service-unreached"
    advice = "See that the list service runs and can be reached; the front asks again and goes on by its list"


class EndpointListUnreadableError(OperatorError):
    """A list is not as agreed; nothing of it was used."""

    code = "list-unreadable"
    advice = "See what the list service sends (docs/operate/front.md); the front goes on by the list before"


class EndpointListClient:
    """Owns two threads: one reads the stream, one makes calls. With `must_ask` the stream opens when asked
    for."""

    def __init__(
        self,
        core: Core,
        clock: Clock,
        address: str,
        must_ask: bool,
        rng: Random,
        notice: EventLogger,
        source: str = "",
    ) -> None:
        self.core = core
        self.clock = clock
        self.address = address
        self.must_ask = must_ask
        self.rng = rng
        self.notice = notice
        self.limits = DialLimits(body_bytes=LIST_BYTES, source=source)
        self.changed = threading.Condition()
        self.stream_due = not must_ask
        self.fetch_due = False
        self.stopped = False
        self.stream: EventStream | None = None
        self.turn_us: Callable[[], int] = lambda: 0  # how long to wait before a call; 0 where it is counted
        self.threads = [
            threading.Thread(target=self._streams, name="list-stream"),
            threading.Thread(target=self._fetches, name="list-fetch"),
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """End the threads."""
        with self.changed:
            self.stopped = True
            if self.stream is not None:
                self.stream.shut()
            self.changed.notify_all()
        for thread in self.threads:
            thread.join()

    def watch(self) -> None:
        with self.changed:
            self.stream_due = True
            self.changed.notify_all()

    def fetch(self) -> None:
        with self.changed:
            self.fetch_due = True
            self.changed.notify_all()

    def _wait_turn(self) -> None:
        """Where the fleet's calls have a budget, wait for this front's turn."""
        while (left_us := self.turn_us()) > 0:
            with self.changed:
                if self.changed.wait_for(lambda: self.stopped, left_us / 1e6):
                    return

    def _streams(self) -> None:
        failures = 0
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.stream_due or self.stopped)
                if self.stopped:
                    return
            self._wait_turn()
            with self.changed:
                if self.stopped:
                    return
                version = self.core.endpoint_tracker.version
                path = "/v1/list/stream" if version is None else f"/v1/list/stream?since={version}"
                self.stream = EventStream(
                    self.address, path, self.limits, CARRY_OUT_US, endpoint_list.SILENCE_US
                )
            try:
                self.stream.run(self._take)
            except (Refused, Broken) as error:
                failures = 0 if self.core.endpoint_tracker.version != version else failures + 1
                if not self.stopped:
                    self.notice("list_stream_broken", **error.fields(), failures=failures)
            if self.must_ask:
                with self.changed:
                    self.stream_due = False
                self.core.discovery.on_list_unavailable()
            with self.changed:
                pause_us = endpoint_list.pause_us(failures, self.rng.random())
                self.changed.wait_for(lambda: self.stopped, pause_us / 1e6)

    def _take(self, event: ServerEvent) -> None:
        if event.name == "list":
            try:
                message = _MESSAGE.decode(event.data)
            except msgspec.MsgspecError as error:
                self.notice("list_refused", **EndpointListUnreadableError(str(error), self.address).fields())
                raise EventError(f"a list that is not as agreed: {error}") from None
            self.core.discovery.on_list(news(message, self.clock.now_us()))

    def _fetches(self) -> None:
        failures = 0
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.fetch_due or self.stopped)
                if self.stopped:
                    return
                self.fetch_due = False
            self._wait_turn()
            if self.stopped:
                return
            try:
                message = self._fetch()
                self.core.discovery.on_list(news(message, self.clock.now_us()))
                failures = 0
            except (OSError, ProtocolError, msgspec.MsgspecError) as error:
                failures += 1
                told = EndpointListUnreachedError(str(error) or type(error).__name__, self.address)
                self.notice("list_call_failed", **told.fields(), failures=failures)
                self.core.discovery.on_list_unavailable()
                with self.changed:
                    pause_us = endpoint_list.pause_us(failures, self.rng.random())
                    self.changed.wait_for(lambda: self.stopped, pause_us / 1e6)

    def _fetch(self) -> ListMessage:
        link = dial(self.address, CARRY_OUT_US, self.limits)
        with link.sock as sock:
            sock.settimeout(CARRY_OUT_US / 1e6)
            sock.sendall(writer.request("GET", "/v1/list", self.address))
            whole = link.answer()
        assert isinstance(whole.head, ResponseHead)
        if whole.head.status == 200:
            return _MESSAGE.decode(whole.body)
        raise ConnectionError(f"answered {whole.head.status}")
