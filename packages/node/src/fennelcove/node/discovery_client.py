"""Client of the discovery service: a thread that long-polls for events after the last one applied."""

from __future__ import annotations

import json
import socket
import threading
from contextlib import nullcontext, suppress
from dataclasses import dataclass
from random import Random

from fennelcove.clock import Clock
from fennelcove.errors import OperatorError
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, CompleteMessage, ResponseHead
from fennelcove.http1.reader import MessageAssembler, Reader
from fennelcove.node.address import Address
from fennelcove.node.descriptor_budget import Descriptor, DescriptorUse
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError
from fennelcove.node.metrics import Metric, PollFailure
from fennelcove.node.session_manager import SessionManager

LONG_POLL_MS = 1_000  # how long the service may delay its response; a silent one is detected soon after
RESPONSE_GRACE_US = 400_000  # from then until the response begins, and between two parts of it
MAX_RESPONSE_US = 4_000_000  # of a response once begun; a change counts as delivered 6 s after a failed poll
CONNECT_TIMEOUT_US = 500_000
# The backoff doubles with each failure, so that a fleet does not overload a service that recovers.
BACKOFF_BASE_US = 100_000
BACKOFF_MAX_US = 500_000  # low enough that events of a service that has recovered arrive in time
BACKOFF_MAX_DOUBLINGS = 10
BACKOFF_MIN_FACTOR, BACKOFF_MAX_FACTOR = 0.5, 1.5  # jitter
MAX_RESPONSE_BYTES = 8 << 20  # about 200 bytes for each of thousands of servers, and for each change
READ_BYTES = 65_536
HTTP_OK = 200


class DiscoveryUnreachableError(OperatorError):
    """The discovery service (the platform's notice board) sent no complete response."""

    code = "board-unreached"
    advice = "Check that the discovery service is up; the node retries and keeps its current list"


def backoff_us(failures: int, rng: Random) -> int:
    """Return the backoff after `failures` consecutive failures, in microseconds.

    It has a jitter of half to one and a half times the nominal backoff, since all nodes of a fleet lose the
    same service at the same moment.
    """
    doublings = min(failures - 1, BACKOFF_MAX_DOUBLINGS)
    nominal_us = min(BACKOFF_BASE_US << doublings, BACKOFF_MAX_US)
    return round(nominal_us * rng.uniform(BACKOFF_MIN_FACTOR, BACKOFF_MAX_FACTOR))


def _failure_of(error: Exception) -> PollFailure:
    if isinstance(error, TimeoutError):
        return PollFailure.OVERDUE
    return PollFailure.UNREACHABLE if isinstance(error, OSError) else PollFailure.INVALID


@dataclass(frozen=True, slots=True)
class _Poll:
    """Address and revision of one poll, and the generation in which it was started."""

    generation: int
    address: Address
    revision: int


@dataclass(frozen=True, slots=True, eq=False)
class _Connection:
    """The connection that polls are sent on."""

    descriptor: Descriptor
    sock: socket.socket
    responses: MessageAssembler


class DiscoveryClient:
    """Owns the connection to the discovery service. All methods but `run` may be called from any thread.

    Shared state is guarded by `changed`. Lock order: `changed` may be acquired with the manager's lock held,
    never the other way round. Each change of address and each request for a full update begins a generation;
    responses to polls of earlier generations are dropped.
    """

    def __init__(self, manager: SessionManager, clock: Clock, address: Address, revision: int) -> None:
        self.manager = manager
        self.clock = clock
        self.address = address
        self.revision = revision  # of the last applied event; 0 to request a full update
        self.generation = 0
        self.rng = Random(manager.config.seed)
        # If a full update leaves revisions out, one that is missing later does not indicate a lost event.
        self.is_feed_gapless = not manager.config.initial_batch.has_gap_after(0)
        self.changed = threading.Condition()
        self.is_stopped = False
        self.connection: _Connection | None = None

    def change_address(self, address: Address) -> None:
        """Continue at another address from the same revision; the same address leaves the open poll alone."""
        with self.changed:
            if address != self.address:
                self.address = address
                self._begin_generation()
            self.changed.notify_all()

    def resync(self) -> None:
        """Request a full update."""
        with self.changed:
            self.revision = 0
            self._begin_generation()

    def stop(self) -> None:
        """End `run` and the open poll."""
        with self.changed:
            self.is_stopped = True
            self._interrupt()
            self.changed.notify_all()

    def _begin_generation(self) -> None:
        self.generation += 1
        self._interrupt()
        self.changed.notify_all()

    def _interrupt(self) -> None:
        """Wake the thread if it waits on the connection; the thread closes the descriptor."""
        if self.connection is not None:
            with suppress(OSError):
                self.connection.sock.shutdown(socket.SHUT_RDWR)

    def _is_superseded(self, poll: _Poll) -> bool:
        return self.generation != poll.generation

    def run(self) -> None:
        """Poll until stopped; the body of the client's thread."""
        failures = 0
        while not self.is_stopped:
            with self.changed:
                poll = _Poll(self.generation, self.address, self.revision)
            try:
                self._execute(poll)
                if failures:
                    self._log("discovery_poll_recovered", failures=failures)
                failures = 0
            # Without this thread the server list would never change again.
            except Exception as error:  # noqa: BLE001 - top of a thread, logged
                self._close()
                failures = self._on_poll_failed(poll, error, failures)
        self._close()

    def _on_poll_failed(self, poll: _Poll, error: Exception, earlier_failures: int) -> int:
        """Log the first of consecutive failures, and wait for the backoff.

        Returns:
            The number of consecutive failures at the address of the next poll.
        """
        with self.changed:
            if self.is_stopped or self._is_superseded(poll):
                return 0  # this client has interrupted the poll itself
        failures = earlier_failures + 1
        with self.manager.lock:
            self.manager.metrics.count(Metric.DISCOVERY_POLL, _failure_of(error).value)
        if failures == 1:  # a long outage must not fill the log
            self._log_failure(error, poll.address)
        with self.changed:
            if not self.is_stopped and not self._is_superseded(poll):
                self.changed.wait(backoff_us(failures, self.rng) / 1e6)
            return 0 if self._is_superseded(poll) else failures

    def _log_failure(self, error: Exception, address: Address) -> None:
        where = f"{address.host}:{address.port}"
        unreachable = DiscoveryUnreachableError(f"{type(error).__name__}: {error}", where)
        reported = error if isinstance(error, DiscoveryError) else unreachable
        self._log("discovery_poll_failed", **reported.fields())

    def _log(self, event: str, **fields: object) -> None:
        with suppress(OSError, ValueError):  # polling continues if the reader of the log has gone
            self.manager.logger(event, **fields)

    def _execute(self, poll: _Poll) -> None:
        """Send one poll and apply the response.

        Raises:
            OSError: the service is unreachable, does not answer in time, or not with status 200.
            DiscoveryError: the response is invalid.
        """
        connection = self._open_connection(poll)
        self._send_request(connection, poll)
        response = self._receive_response(connection)
        assert isinstance(response.head, ResponseHead)
        if response.head.status != HTTP_OK:
            raise ConnectionError(f"the discovery service answered with status {response.head.status}")
        self._apply(poll, DiscoveryBatch.parse(json.loads(response.body)))
        if not response.head.keep_alive or self._is_superseded(poll):
            self._close()

    def _open_connection(self, poll: _Poll) -> _Connection:
        """Return the connection of the previous poll if it can be reused, or else a new one."""
        connection = self.connection
        if connection is not None and _is_clean(connection):
            return connection
        if connection is not None:
            self._close()
        return self._connect(poll)

    def _connect(self, poll: _Poll) -> _Connection:
        descriptor = self.manager.descriptors.reserve(DescriptorUse.DISCOVERY)
        try:
            sock = descriptor.open_socket(CONNECT_TIMEOUT_US)
        except OSError:
            descriptor.close()
            raise
        responses = MessageAssembler(Reader(False, CodecLimits(body_bytes=MAX_RESPONSE_BYTES)))
        connection = _Connection(descriptor, sock, responses)
        with self.changed:
            # Registered before it connects, so that a change of address can interrupt a connect that hangs.
            self.connection = connection
            if self.is_stopped or self._is_superseded(poll):
                raise ConnectionError("the discovery address has changed")
        sock.settimeout(CONNECT_TIMEOUT_US / 1e6)
        sock.connect((poll.address.host, poll.address.port))
        return connection

    def _send_request(self, connection: _Connection, poll: _Poll) -> None:
        target = f"/board/poll?watch={poll.revision}&linger={LONG_POLL_MS}"
        request = writer.request("GET", target, f"{poll.address.host}:{poll.address.port}")
        connection.sock.settimeout(CONNECT_TIMEOUT_US / 1e6)
        connection.sock.sendall(request)

    def _receive_response(self, connection: _Connection) -> CompleteMessage:
        sock, responses = connection.sock, connection.responses
        receive_deadline_us = self.clock.now_us() + LONG_POLL_MS * 1000 + RESPONSE_GRACE_US
        deadline_us = receive_deadline_us + MAX_RESPONSE_US
        while (response := responses.next()) is None:
            now_us = self.clock.now_us()
            remaining_us = min(receive_deadline_us, deadline_us) - now_us
            if remaining_us <= 0:
                raise TimeoutError("the discovery service did not answer completely in time")
            sock.settimeout(remaining_us / 1e6)
            data = sock.recv(READ_BYTES)
            # A large list on a slow path takes longer than a poll may wait; it only has to make progress.
            receive_deadline_us = max(receive_deadline_us, self.clock.now_us() + RESPONSE_GRACE_US)
            responses.reader.feed(data)
            if not data and responses.reader.is_between_messages:
                raise ConnectionResetError("the discovery service closed the connection before its response")
        return response

    def _apply(self, poll: _Poll, batch: DiscoveryBatch) -> None:
        """Apply a response, unless the poll has been superseded, with the manager's lock held throughout.

        If it were released between two events, a request could see a server removed without its replacement.
        """
        events = batch.events_after(poll.revision, self.is_feed_gapless)
        if poll.revision == 0:
            self.is_feed_gapless = not batch.has_gap_after(0)
        with self.manager.lock if events else nullcontext(), self.changed:
            if self._is_superseded(poll):
                raise ConnectionError("the discovery address has changed")
            if events is None:  # polling after its revision again might never return another change
                self.revision = 0
                raise DiscoveryError(
                    f"events up to revision {batch.last_revision} do not continue revision {poll.revision}",
                    "field rev",
                )
            self.manager.on_discovery_events(events)
            if not self._is_superseded(poll):  # the placement policy may have requested a full update
                self.revision = batch.last_revision

    def _close(self) -> None:
        with self.changed:
            connection, self.connection = self.connection, None
        if connection is not None:
            connection.descriptor.close()


def _is_clean(connection: _Connection) -> bool:
    """Whether nothing has arrived since the last response.

    A duplicate of it would be taken for the response to the next poll, and each later response for that of
    the poll after its own.
    """
    connection.sock.settimeout(0)
    try:
        connection.sock.recv(1)
    except BlockingIOError:
        return connection.responses.reader.is_between_messages
    except OSError:
        pass
    return False
