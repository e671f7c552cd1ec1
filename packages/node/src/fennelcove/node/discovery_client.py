"""Client of the discovery service: a thread that long-polls for events after the last one applied."""

from __future__ import annotations

import json
import socket
import threading
from contextlib import nullcontext, suppress
from random import Random

from fennelcove.clock import Clock
from fennelcove.errors import OperatorError
from fennelcove.http1.messages import CompleteMessage, ResponseHead
from fennelcove.node.address import Address
from fennelcove.node.descriptor_budget import DescriptorUse
from fennelcove.node.discovery_connection import (
    CONNECT_TIMEOUT_US,
    DiscoveryConnection,
    DiscoveryPoll,
    wait_for_events,
)
from fennelcove.node.discovery_events import DiscoveryBatch, DiscoveryError
from fennelcove.node.metrics import Metric, PollFailure
from fennelcove.node.session_manager import SessionManager

# Of an overdue poll until it is given up. Doubled each time, so that it exceeds any constant delay at last.
MIN_SILENCE_LIMIT_US = 6_000_000
MAX_SILENCE_LIMIT_US = 60_000_000
# The backoff doubles with each failure, so that a fleet does not overload a service that recovers.
BACKOFF_BASE_US = 100_000
BACKOFF_MAX_US = 500_000  # low enough that events of a service that has recovered arrive in time
BACKOFF_MAX_DOUBLINGS = 10
BACKOFF_MIN_FACTOR, BACKOFF_MAX_FACTOR = 0.5, 1.5  # jitter
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


class DiscoveryClient:
    """Owns the connections to the discovery service. All methods but `run` may be called from any thread.

    A poll that is not answered in time is overdue. It stays in flight, and another one is sent on a second
    connection; whichever is answered first is applied. An answer that is late by any constant amount is
    received so, and a connection that has died delays nothing.

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
        self.connections: list[DiscoveryConnection] = []
        # These are used by the client's thread alone.
        self.failures = 0  # consecutive polls that were not answered in time
        self.unheard_polls = 0  # consecutive failures without any answer since; determines the backoff
        self.silence_limit_us = MIN_SILENCE_LIMIT_US

    def change_address(self, address: Address) -> None:
        """Continue at another address from the same revision; the same address leaves open polls alone."""
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
        """End `run` and the open polls."""
        with self.changed:
            self.is_stopped = True
            self._interrupt()
            self.changed.notify_all()

    def _begin_generation(self) -> None:
        self.generation += 1
        self._interrupt()
        self.changed.notify_all()

    def _interrupt(self) -> None:
        """Wake the thread if it waits on a connection; the thread closes the descriptors."""
        for connection in self.connections:
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)

    def _is_superseded(self, poll: DiscoveryPoll) -> bool:
        return self.is_stopped or self.generation != poll.generation

    def run(self) -> None:
        """Poll until stopped; the body of the client's thread."""
        while not self.is_stopped:
            poll = self._next_poll()
            try:
                self._back_off(poll)
                poll = self._next_poll()
                self._execute(poll)
            # Without this thread the server list would never change again.
            except Exception as error:  # noqa: BLE001 - top of a thread, logged
                self._on_poll_failed(poll, error)
        self._close_all()

    def _next_poll(self) -> DiscoveryPoll:
        with self.changed:
            return DiscoveryPoll(self.generation, self.address, self.revision, self.silence_limit_us)

    def _execute(self, poll: DiscoveryPoll) -> None:
        """Send one poll, and apply responses until it is answered.

        Raises:
            OSError: the service is unreachable, does not answer in time, or not with status 200.
            DiscoveryError: the response is invalid.
        """
        fresh = self._send(poll)
        while fresh.poll is poll and not fresh.is_overdue:
            self._receive(fresh.next_deadline_us)
        if fresh.is_overdue:
            raise TimeoutError("the discovery service did not answer completely in time")

    def _on_poll_failed(self, poll: DiscoveryPoll, error: Exception) -> None:
        """Count a failure, and log the first of consecutive ones: a long outage must not fill the log."""
        if self._is_superseded(poll):  # this client has interrupted the poll itself
            self._reset_failures()
            return
        self.failures += 1
        self.unheard_polls += 1
        self._count(_failure_of(error))
        if self.failures == 1:
            self._log_failure(error, poll.address)

    def _back_off(self, failed_poll: DiscoveryPoll) -> None:
        """Wait after a failure, until an overdue poll is answered: then the service can be heard."""
        if not self.unheard_polls:
            return
        until_us = self.clock.now_us() + backoff_us(self.unheard_polls, self.rng)
        while self.unheard_polls and self.clock.now_us() < until_us:
            if self._in_flight():
                self._receive(until_us)
            with self.changed:
                if self._is_superseded(failed_poll):
                    self._reset_failures()
                elif not self._in_flight():
                    self.changed.wait((until_us - self.clock.now_us()) / 1e6)

    def _reset_failures(self) -> None:
        self.failures = self.unheard_polls = 0
        self.silence_limit_us = MIN_SILENCE_LIMIT_US

    def _count(self, failure: PollFailure) -> None:
        with self.manager.lock:
            self.manager.metrics.count(Metric.DISCOVERY_POLL, failure.value)

    def _log_failure(self, error: Exception, address: Address) -> None:
        where = f"{address.host}:{address.port}"
        unreachable = DiscoveryUnreachableError(f"{type(error).__name__}: {error}", where)
        reported = error if isinstance(error, DiscoveryError) else unreachable
        self._log("discovery_poll_failed", **reported.fields())

    def _log(self, event: str, **fields: object) -> None:
        with suppress(OSError, ValueError):  # polling continues if the reader of the log has gone
            self.manager.logger(event, **fields)

    def _in_flight(self) -> list[DiscoveryConnection]:
        return [connection for connection in self.connections if connection.poll is not None]

    def _send(self, poll: DiscoveryPoll) -> DiscoveryConnection:
        """Send a poll on an idle connection if one can be reused, or else on a new one."""
        idle = self._take_idle(poll)
        connection = idle or self._create_connection(poll)
        try:
            if idle:
                connection.send(poll)
            else:
                connection.connect(poll)
        except Exception:
            self._close(connection)
            raise
        return connection

    def _take_idle(self, poll: DiscoveryPoll) -> DiscoveryConnection | None:
        """Return an idle connection, and close all others that are idle or of an earlier generation."""
        found: DiscoveryConnection | None = None
        for connection in list(self.connections):
            is_current = connection.generation == poll.generation
            if is_current and connection.poll is not None:
                continue
            if is_current and found is None and connection.is_clean():
                found = connection
            else:
                self._close(connection)
        return found

    def _create_connection(self, poll: DiscoveryPoll) -> DiscoveryConnection:
        descriptor = self.manager.descriptors.reserve(DescriptorUse.DISCOVERY)
        try:
            sock = descriptor.open_socket(CONNECT_TIMEOUT_US)
        except OSError:
            descriptor.close()
            raise
        connection = DiscoveryConnection(descriptor, sock, self.clock)
        with self.changed:
            # Registered before it connects, so that a change of address can interrupt a connect that hangs.
            self.connections.append(connection)
            is_superseded = self._is_superseded(poll)
        if is_superseded:
            self._close(connection)
            raise ConnectionError("the discovery address has changed")
        return connection

    def _receive(self, until_us: int) -> None:
        """Wait for responses and apply them; mark a poll that becomes overdue, and give up one that stays so.

        Raises:
            Exception: the poll that is not overdue has failed.
        """
        in_flight = self._in_flight()
        deadline_us = min([until_us, *(connection.next_deadline_us for connection in in_flight)])
        for connection in wait_for_events(in_flight, deadline_us - self.clock.now_us()):
            self._on_ready(connection)
        for connection in self._in_flight():
            if self.clock.now_us() >= connection.next_deadline_us:
                self._on_deadline(connection)

    def _on_deadline(self, connection: DiscoveryConnection) -> None:
        if connection.is_overdue:
            self._close(connection)
            self.silence_limit_us = min(2 * self.silence_limit_us, MAX_SILENCE_LIMIT_US)
        elif any(each.is_overdue for each in self._in_flight()):
            self._close(connection)  # of two that may be equally late, the earlier is answered first
        connection.is_overdue = True

    def _on_ready(self, connection: DiscoveryConnection) -> None:
        poll = connection.poll
        if poll is None:  # closed meanwhile: another response has shown that the feed begins anew
            return
        try:
            response = connection.on_ready()
            if response is not None:
                self._on_response(connection, poll, response)
        except Exception as error:
            self._close(connection)
            if not connection.is_overdue:
                raise
            if not self._is_superseded(poll):
                self._count(_failure_of(error))

    def _on_response(
        self, connection: DiscoveryConnection, poll: DiscoveryPoll, response: CompleteMessage
    ) -> None:
        assert isinstance(response.head, ResponseHead)
        if response.head.status != HTTP_OK:
            raise ConnectionError(f"the discovery service answered with status {response.head.status}")
        self._apply(poll, DiscoveryBatch.parse(json.loads(response.body)))
        if not response.head.keep_alive or self._is_superseded(poll):
            self._close(connection)
        self.unheard_polls = 0
        if connection.is_overdue:
            self._count(PollFailure.ANSWERED_LATE)
            return
        if self.failures:
            self._log("discovery_poll_recovered", failures=self.failures)
        self._reset_failures()
        self._close_in_flight()  # an earlier poll can tell nothing more

    def _apply(self, poll: DiscoveryPoll, batch: DiscoveryBatch) -> None:
        """Apply a response, unless the poll has been superseded, with the manager's lock held throughout.

        If it were released between two events, a request could see a server removed without its replacement.
        """
        applied = self.revision  # past the poll's own if a later poll was answered first
        if poll.revision < applied and batch.last_revision < applied:
            return  # sent before the events of the later response: it tells nothing new
        events = batch.events_after(applied, self.is_feed_gapless)
        if poll.revision == 0:
            self.is_feed_gapless = not batch.has_gap_after(0)
        with self.manager.lock if events else nullcontext(), self.changed:
            if self._is_superseded(poll):
                raise ConnectionError("the discovery address has changed")
            if events is None:  # polling after its revision again might never return another change
                self.revision = 0
                self._close_in_flight()  # other responses may continue a feed that has ended
                raise DiscoveryError(
                    f"events up to revision {batch.last_revision} do not continue revision {applied}",
                    "field rev",
                )
            self.manager.on_discovery_events(events)
            if not self._is_superseded(poll):  # the placement policy may have requested a full update
                self.revision = batch.last_revision

    def _close_in_flight(self) -> None:
        """Close the connections of all polls that are not answered."""
        for connection in self._in_flight():
            self._close(connection)

    def _close_all(self) -> None:
        for connection in list(self.connections):
            self._close(connection)

    def _close(self, connection: DiscoveryConnection) -> None:
        with self.changed:
            if connection in self.connections:
                self.connections.remove(connection)
        connection.close()
