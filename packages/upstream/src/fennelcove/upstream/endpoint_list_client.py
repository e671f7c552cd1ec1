"""Client of the list service: a stream of updates, and single requests for the complete list."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from random import Random

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.endpoint_discovery import EndpointDiscovery
from fennelcove.core.requests import EventLogger
from fennelcove.decisions.servers import endpoint_list
from fennelcove.decisions.servers.command_queue import COMMAND_TIMEOUT_US
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import CompleteMessage, ProtocolError, ResponseHead
from fennelcove.upstream.connection_pool import DialLimits, ServerConnection, dial
from fennelcove.upstream.event_stream import EventStream, PeerRefusedError, StreamBrokenError
from fennelcove.wire.endpoint_list import ListMessage, to_endpoint_list_update
from fennelcove.wire.events import EventError, ServerEvent

MAX_LIST_BYTES = 4 * 1024 * 1024
_MESSAGE: msgspec.json.Decoder[ListMessage] = msgspec.json.Decoder(ListMessage)


class EndpointListUnreachedError(OperatorError):
    """The list service sent no complete response."""

    code = "list-service-unreached"
    advice = "Check that the list service runs and is reachable; the front retries and keeps its current list"


class EndpointListUnreadableError(OperatorError):
    """An endpoint list is malformed, and no part of it was used."""

    code = "list-unreadable"
    advice = (
        "Check what the list service sends (docs/operate/front.md); the front keeps using the previous list"
    )


class EndpointListClient:
    """Owns two threads: one reads the stream of updates, one requests complete lists.

    With `on_request_only` each stream is opened on request.
    Implements `fennelcove.core.ports.EndpointListSource`.
    """

    def __init__(
        self,
        clock: Clock,
        address: str,
        on_request_only: bool,
        rng: Random,
        log_event: EventLogger,
        source_address: str = "",
    ) -> None:
        self.clock = clock
        self.address = address
        self.on_request_only = on_request_only
        self.rng = rng
        self.log_event = log_event
        self.limits = DialLimits(body_bytes=MAX_LIST_BYTES, source_address=source_address)
        self.state_changed = threading.Condition()
        self.stream_requested = not on_request_only
        self.fetch_requested = False
        self.is_stopped = False
        self.stream: EventStream | None = None
        self.fetch_connection: ServerConnection | None = None
        self.fetch_timeout = endpoint_list.FetchTimeout()  # used by the thread that requests lists
        self.turn_wait_us: Callable[[], int] = lambda: 0  # the wait before the next call; 0 counts the call
        self.threads: list[threading.Thread] = []

    def start(self, discovery: EndpointDiscovery) -> None:
        """Start the threads, once; they report lists to the discovery."""
        self.threads = [
            threading.Thread(target=self._run_stream, args=(discovery,), name="list-stream"),
            threading.Thread(target=self._run_fetches, args=(discovery,), name="list-fetch"),
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """End the threads."""
        with self.state_changed:
            self.is_stopped = True
            if self.stream is not None:
                self.stream.close()
            if self.fetch_connection is not None:
                with suppress(OSError):
                    self.fetch_connection.sock.shutdown(socket.SHUT_RDWR)
            self.state_changed.notify_all()
        for thread in self.threads:
            thread.join()

    def watch(self) -> None:
        """Open the stream of updates, and keep it open unless `on_request_only` is set."""
        with self.state_changed:
            self.stream_requested = True
            self.state_changed.notify_all()

    def fetch(self) -> None:
        """Request the complete list once."""
        with self.state_changed:
            self.fetch_requested = True
            self.state_changed.notify_all()

    def _wait_turn(self) -> None:
        """Wait until the quota of list calls that the fronts share admits a call."""
        while (wait_us := self.turn_wait_us()) > 0:
            with self.state_changed:
                if self.state_changed.wait_for(lambda: self.is_stopped, wait_us / 1e6):
                    return

    def _run_stream(self, discovery: EndpointDiscovery) -> None:
        failures = 0
        while True:
            with self.state_changed:
                self.state_changed.wait_for(lambda: self.stream_requested or self.is_stopped)
                if self.is_stopped:
                    return
            self._wait_turn()
            with self.state_changed:
                if self.is_stopped:
                    return
                version = discovery.version
                path = "/v1/list/stream" if version is None else f"/v1/list/stream?since={version}"
                self.stream = EventStream(
                    self.address, path, self.limits, COMMAND_TIMEOUT_US, endpoint_list.STREAM_IDLE_TIMEOUT_US
                )
            try:
                self.stream.run(lambda event: self._on_event(event, discovery))
            except (PeerRefusedError, StreamBrokenError) as error:
                failures = 0 if discovery.version != version else failures + 1
                if not self.is_stopped:
                    self.log_event("list_stream_broken", **error.fields(), failures=failures)
            if self.on_request_only:
                with self.state_changed:
                    self.stream_requested = False
                discovery.on_list_unavailable()
            with self.state_changed:
                delay_us = endpoint_list.backoff_us(failures, self.rng.random())
                self.state_changed.wait_for(lambda: self.is_stopped, delay_us / 1e6)

    def _on_event(self, event: ServerEvent, discovery: EndpointDiscovery) -> None:
        if event.name == "list":
            try:
                message = _MESSAGE.decode(event.data)
            except msgspec.MsgspecError as error:
                self.log_event(
                    "endpoint_list_rejected", **EndpointListUnreadableError(str(error), self.address).fields()
                )
                raise EventError(f"malformed list: {error}") from None
            discovery.on_list(to_endpoint_list_update(message, self.clock.now_us()))

    def _run_fetches(self, discovery: EndpointDiscovery) -> None:
        failures = 0
        while True:
            with self.state_changed:
                self.state_changed.wait_for(lambda: self.fetch_requested or self.is_stopped)
                if self.is_stopped:
                    return
                self.fetch_requested = False
            self._wait_turn()
            if self.is_stopped:
                return
            try:
                message = self._fetch()
                discovery.on_list(to_endpoint_list_update(message, self.clock.now_us()))
                failures = 0
            except (OSError, ProtocolError, msgspec.MsgspecError) as error:
                if self.is_stopped:
                    return
                failures += 1
                unreached = EndpointListUnreachedError(str(error) or type(error).__name__, self.address)
                self.log_event("list_call_failed", **unreached.fields(), failures=failures)
                discovery.on_list_unavailable()
                with self.state_changed:
                    delay_us = endpoint_list.backoff_us(failures, self.rng.random())
                    self.state_changed.wait_for(lambda: self.is_stopped, delay_us / 1e6)

    def _fetch(self) -> ListMessage:
        connection = dial(self.address, COMMAND_TIMEOUT_US, self.limits)
        with connection.sock as sock:
            with self.state_changed:
                if self.is_stopped:
                    raise ConnectionError("closed by this front")
                self.fetch_connection = connection
            try:
                sock.settimeout(COMMAND_TIMEOUT_US / 1e6)
                sock.sendall(writer.request("GET", "/v1/list", self.address))
                response = self._read_response(connection)
            finally:
                with self.state_changed:
                    self.fetch_connection = None
        assert isinstance(response.head, ResponseHead)
        if response.head.status == 200:
            return _MESSAGE.decode(response.body)
        raise ConnectionError(f"response status {response.head.status}")

    def _read_response(self, connection: ServerConnection) -> CompleteMessage:
        begun_us = self.clock.now_us()
        connection.sock.settimeout(self.fetch_timeout.current_us / 1e6)
        try:
            response = connection.read_response()
        except TimeoutError:
            self.fetch_timeout.on_timed_out()
            raise
        self.fetch_timeout.on_answered(self.clock.now_us() - begun_us)
        return response
