"""The list service's client: a stream of changes, and single calls for the whole list."""

from __future__ import annotations

import threading
from collections.abc import Callable
from random import Random

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.endpoint_discovery import EndpointDiscovery
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.servers import endpoint_list
from fennelcove.decisions.servers.command_queue import COMMAND_TIMEOUT_US
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import ProtocolError, ResponseHead
from fennelcove.upstream.connection_pool import DialLimits, dial
from fennelcove.upstream.event_stream import Broken, EventStream, Refused
from fennelcove.wire.events import EventError, ServerEvent
from fennelcove.wire.lists import ListMessage, to_endpoint_list_update

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
    """Owns two threads: one reads the stream of updates, one makes calls.

    With `must_ask` the stream opens on request. Implements `fennelcove.core.ports.EndpointListSource`.
    """

    def __init__(
        self,
        clock: Clock,
        address: str,
        must_ask: bool,
        rng: Random,
        notice: EventLogger,
        source: str = "",
    ) -> None:
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
        self.threads: list[threading.Thread] = []

    def start(self, discovery: EndpointDiscovery) -> None:
        """Start the threads, once; they report lists to the discovery."""
        self.threads = [
            threading.Thread(target=self._streams, args=(discovery,), name="list-stream"),
            threading.Thread(target=self._fetches, args=(discovery,), name="list-fetch"),
        ]
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
        """Keep the stream open."""
        with self.changed:
            self.stream_due = True
            self.changed.notify_all()

    def fetch(self) -> None:
        """Request the whole list once."""
        with self.changed:
            self.fetch_due = True
            self.changed.notify_all()

    def _wait_turn(self) -> None:
        """Where the fleet's calls have a budget, wait for this front's turn."""
        while (left_us := self.turn_us()) > 0:
            with self.changed:
                if self.changed.wait_for(lambda: self.stopped, left_us / 1e6):
                    return

    def _streams(self, discovery: EndpointDiscovery) -> None:
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
                version = discovery.version
                path = "/v1/list/stream" if version is None else f"/v1/list/stream?since={version}"
                self.stream = EventStream(
                    self.address, path, self.limits, COMMAND_TIMEOUT_US, endpoint_list.STREAM_IDLE_TIMEOUT_US
                )
            try:
                self.stream.run(lambda event: self._take(event, discovery))
            except (Refused, Broken) as error:
                failures = 0 if discovery.version != version else failures + 1
                if not self.stopped:
                    self.notice("list_stream_broken", **error.fields(), failures=failures)
            if self.must_ask:
                with self.changed:
                    self.stream_due = False
                discovery.on_list_unavailable()
            with self.changed:
                pause_us = endpoint_list.backoff_us(failures, self.rng.random())
                self.changed.wait_for(lambda: self.stopped, pause_us / 1e6)

    def _take(self, event: ServerEvent, discovery: EndpointDiscovery) -> None:
        if event.name == "list":
            try:
                message = _MESSAGE.decode(event.data)
            except msgspec.MsgspecError as error:
                self.notice(
                    "endpoint_list_rejected", **EndpointListUnreadableError(str(error), self.address).fields()
                )
                raise EventError(f"a list that is not as agreed: {error}") from None
            discovery.on_list(to_endpoint_list_update(message, self.clock.now_us()))

    def _fetches(self, discovery: EndpointDiscovery) -> None:
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
                discovery.on_list(to_endpoint_list_update(message, self.clock.now_us()))
                failures = 0
            except (OSError, ProtocolError, msgspec.MsgspecError) as error:
                failures += 1
                told = EndpointListUnreachedError(str(error) or type(error).__name__, self.address)
                self.notice("list_call_failed", **told.fields(), failures=failures)
                discovery.on_list_unavailable()
                with self.changed:
                    pause_us = endpoint_list.backoff_us(failures, self.rng.random())
                    self.changed.wait_for(lambda: self.stopped, pause_us / 1e6)

    def _fetch(self) -> ListMessage:
        link = dial(self.address, COMMAND_TIMEOUT_US, self.limits)
        with link.sock as sock:
            sock.settimeout(COMMAND_TIMEOUT_US / 1e6)
            sock.sendall(writer.request("GET", "/v1/list", self.address))
            whole = link.answer()
        assert isinstance(whole.head, ResponseHead)
        if whole.head.status == 200:
            return _MESSAGE.decode(whole.body)
        raise ConnectionError(f"answered {whole.head.status}")
