"""Sends attempts: one HTTP request to a server each, whose socket events go to the attempt's state table."""

from __future__ import annotations

import socket
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.requests import AttemptResult, SendAttempt
from fennelcove.decisions.servers.attempt_exchange import (
    AttemptExchange,
    ExchangeEvent,
    attempt_timeouts,
    may_reuse_connection,
)
from fennelcove.decisions.servers.load_signals import ServerHints
from fennelcove.hints import cmsd
from fennelcove.http1 import writer
from fennelcove.http1.messages import CompleteMessage, ProtocolError, ResponseHead
from fennelcove.interface import Effect, Outcome
from fennelcove.upstream.connection_pool import READ_BYTES, ConnectionPool, DialLimits, ServerConnection, dial
from fennelcove.upstream.wakeups import CancellationLatch, WakeReason, wait
from fennelcove.wire.servers import TURNED_AWAY, JoinOrder, join_path
from fennelcove.wire.sessions import Problem

_PROBLEM: msgspec.json.Decoder[Problem] = msgspec.json.Decoder(Problem)


@dataclass(frozen=True, slots=True)
class CompletedAttempt:
    """The result of an attempt; `interrupted` is set if the client's disconnect or the shutdown ended it."""

    result: AttemptResult
    interrupted: WakeReason | None = None
    hops: str = ""  # the server's CMSD-Dynamic header, to which the front appends its own hop


class HintReader:
    """Parses servers' CMSD headers, with a cache that all threads share."""

    def __init__(self) -> None:
        self.cache = cmsd.CmsdCache()
        self.lock = threading.Lock()
        self.dropped_count = 0

    def read(self, static: str | None, dynamic: str | None) -> ServerHints | None:
        """The load signals of a server, from the first of several hops: the one nearest the server."""
        if not dynamic:
            return None
        with self.lock:
            found = self.cache.read(static, dynamic)
            self.dropped_count += found.dropped
        if not found.hops:
            return None
        hop = found.hops[0]
        link_load, uplink_load = hop.number(cmsd.LINK_KEY), hop.number(cmsd.UPLINK_KEY)
        return ServerHints(link_load, uplink_load, hop.in_duress, hop.number("mb"))


def header_text(head: ResponseHead, name: bytes) -> str | None:
    """The value of a header field as text, or None."""
    value = head.get(name)
    return None if value is None else value.decode("latin-1")


class AttemptSlots(Protocol):
    """Limits the attempts in flight at each server; no call blocks."""

    def workload_shape(self, service_class: str, rung: int, server: str) -> int:
        """The workload shape whose latency an attempt of this kind is compared with."""
        ...

    def try_acquire(self, server: str, shape: int, timeout_us: int) -> bool:
        """Take a slot for an attempt; False if none is free."""
        ...

    def on_attempt_ended(self, server: str, shape: int, held_us: int, answered: bool | None) -> None:
        """Release the slot. `answered` is None if the result says nothing about the server's latency."""
        ...


# Whether the server answered in time; other outcomes say nothing about its latency.
ANSWERED_BY_OUTCOME = {Outcome.SERVED: True, Outcome.NO_ANSWER: False, Outcome.CONNECTION_LOST: False}


class AttemptSender:
    """Sends attempts, each on the calling thread. If `slots` is set, each attempt takes a slot first."""

    slots: AttemptSlots | None = None

    def __init__(
        self,
        front: str,
        clock: Clock,
        pool: ConnectionPool,
        hints: HintReader,
        effects: Mapping[str, Effect],
        limits: DialLimits,
        halt: CancellationLatch,
    ) -> None:
        self.front = front
        self.clock = clock
        self.pool = pool
        self.hints = hints
        self.effects = effects
        self.limits = limits
        self.halt = halt

    def run(self, step: SendAttempt, client_socket: socket.socket | None) -> CompletedAttempt:
        """Send an attempt; wait for its result, the client's disconnect or the front's shutdown."""
        if step.is_blocked or not self.pool.reserve(step.server):
            return CompletedAttempt(AttemptResult(Outcome.NOT_SENT, None, 0))
        if self.slots is None:
            return self._send_with_reservation(step, client_socket)
        shape = self.slots.workload_shape(step.session.service_class, step.rung, step.server)
        if not self.slots.try_acquire(step.server, shape, step.timeout_us):
            self.pool.release(step.server, None)
            return CompletedAttempt(AttemptResult(Outcome.NOT_SENT, None, 0))
        answered = None
        started_us = self.clock.now_us()
        try:
            run = self._send_with_reservation(step, client_socket)
            answered = ANSWERED_BY_OUTCOME.get(run.result.outcome)
            return run
        finally:
            self.slots.on_attempt_ended(step.server, shape, self.clock.now_us() - started_us, answered)

    def _send_with_reservation(
        self, step: SendAttempt, client_socket: socket.socket | None
    ) -> CompletedAttempt:
        started_us = self.clock.now_us()
        connection: ServerConnection | None = None
        is_reusable = False
        try:
            run, connection, is_reusable = self._exchange(step, client_socket, started_us)
            return run
        finally:
            if connection is not None and not is_reusable:
                connection.sock.close()
            self.pool.release(step.server, connection if is_reusable else None)

    def _exchange(
        self, step: SendAttempt, client_socket: socket.socket | None, started_us: int
    ) -> tuple[CompletedAttempt, ServerConnection | None, bool]:
        exchange, timeouts = AttemptExchange(), attempt_timeouts(step.timeout_us)
        session = step.session
        connection = (
            self.pool.take_idle_connection(step.server)
            if may_reuse_connection(self.effects[session.service_class])
            else None
        )
        if connection is None:
            try:
                connection = dial(step.server, timeouts.connect_us, self.limits)
            except TimeoutError:
                exchange.apply(ExchangeEvent.TIMED_OUT)
            except OSError:
                exchange.apply(ExchangeEvent.CONNECT_FAILED)
        if connection is None:
            return self._completed_attempt(exchange, started_us), None, False
        exchange.apply(ExchangeEvent.CONNECTED)
        order = JoinOrder(
            front=self.front,
            title=session.title,
            room_type=session.service_class,
            rung=step.rung,
            rate_kb=session.rates_kb[step.rung],
        )
        fields = [("Content-Type", "application/json"), ("Idempotency-Key", f'"{session.id}"')]
        path, body = join_path(session.id, step.attempt), msgspec.json.encode(order)
        raw = writer.request("PUT", path, step.server, fields, body)
        try:
            connection.sock.settimeout(
                max(0.001, (started_us + timeouts.total_us - self.clock.now_us()) / 1e6)
            )
            connection.sock.sendall(raw)
            exchange.apply(ExchangeEvent.REQUEST_WRITTEN)
        except TimeoutError:
            exchange.apply(ExchangeEvent.TIMED_OUT)
        except OSError:
            exchange.apply(ExchangeEvent.CLOSED)
        if exchange.outcome is not None:
            return self._completed_attempt(exchange, started_us), connection, False
        first_byte_deadline_us, total_deadline_us = (
            started_us + timeouts.first_byte_us,
            started_us + timeouts.total_us,
        )
        return self._await_response(
            connection, exchange, started_us, first_byte_deadline_us, total_deadline_us, client_socket
        )

    def _await_response(
        self,
        connection: ServerConnection,
        exchange: AttemptExchange,
        started_us: int,
        first_byte_deadline_us: int,
        total_deadline_us: int,
        client_socket: socket.socket | None,
    ) -> tuple[CompletedAttempt, ServerConnection, bool]:
        deadline_us = first_byte_deadline_us
        while True:
            wake_reason = wait(connection.sock, deadline_us - self.clock.now_us(), self.halt, client_socket)
            if wake_reason in (WakeReason.HUNG_UP, WakeReason.LATCH):
                result = AttemptResult(Outcome.CANCELLED, None, self.clock.now_us() - started_us)
                return CompletedAttempt(result, wake_reason), connection, False
            if wake_reason is WakeReason.TIMEOUT:
                exchange.apply(ExchangeEvent.TIMED_OUT)
                return self._completed_attempt(exchange, started_us), connection, False
            try:
                data = connection.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if data:
                exchange.apply(ExchangeEvent.RESPONSE_STARTED)
                deadline_us = total_deadline_us
            connection.responses.reader.feed(data)
            try:
                response = connection.responses.next()
            except ProtocolError:
                exchange.apply(ExchangeEvent.MALFORMED_RESPONSE if data else ExchangeEvent.CLOSED)
                return self._completed_attempt(exchange, started_us), connection, False
            if response is not None:
                return self._on_response(response, connection, exchange, started_us)
            if not data:
                exchange.apply(ExchangeEvent.CLOSED)
                return self._completed_attempt(exchange, started_us), connection, False

    def _on_response(
        self,
        response: CompleteMessage,
        connection: ServerConnection,
        exchange: AttemptExchange,
        started_us: int,
    ) -> tuple[CompletedAttempt, ServerConnection, bool]:
        head = response.head
        assert isinstance(head, ResponseHead)
        dynamic = header_text(head, cmsd.DYNAMIC.encode())
        server_hints = self.hints.read(header_text(head, cmsd.STATIC.encode()), dynamic)
        exchange.apply(_response_event(head, response.body))
        is_reusable = head.keep_alive and connection.responses.reader.is_between_messages
        return (
            self._completed_attempt(exchange, started_us, server_hints, dynamic or ""),
            connection,
            is_reusable,
        )

    def _completed_attempt(
        self,
        exchange: AttemptExchange,
        started_us: int,
        server_hints: ServerHints | None = None,
        hops: str = "",
    ) -> CompletedAttempt:
        assert exchange.outcome is not None
        return CompletedAttempt(
            AttemptResult(exchange.outcome, server_hints, self.clock.now_us() - started_us), None, hops
        )


def _response_event(head: ResponseHead, body: bytes) -> ExchangeEvent:
    if head.status == 201:
        return ExchangeEvent.PLAYBACK_STARTED
    if head.status == 503:
        # An intermediary may answer 503 after the server has executed the request: only the problem type
        # of the server itself proves that it rejected the attempt.
        try:
            if _PROBLEM.decode(body).type == TURNED_AWAY:
                return ExchangeEvent.REJECTED
        except msgspec.MsgspecError:
            pass
    return ExchangeEvent.SERVER_ERROR
