"""Carries out one join: one HTTP set-up at a box, each socket event told to the table that knows what it
proves.
"""

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
from fennelcove.http1.messages import ProtocolError, ResponseHead, Whole
from fennelcove.interface import Effect, Outcome
from fennelcove.upstream.connection_pool import READ_BYTES, ConnectionPool, DialLimits, ServerConnection, dial
from fennelcove.upstream.wakeups import CancellationLatch, WakeReason, wait
from fennelcove.wire.boxes import TURNED_AWAY, JoinOrder, join_path
from fennelcove.wire.sessions import Problem

_PROBLEM: msgspec.json.Decoder[Problem] = msgspec.json.Decoder(Problem)


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """A join's end, and whether the viewer's hanging up or this front's stopping brought it."""

    end: AttemptResult
    interrupted: WakeReason | None = None
    hops: str = ""


class HintReader:
    """Reads boxes' CMSD for all threads, out of memory where it came lately."""

    def __init__(self) -> None:
        self.memo = cmsd.Memo()
        self.lock = threading.Lock()
        self.dropped = 0

    def says(self, static: str | None, dynamic: str | None) -> ServerHints | None:
        """What a box tells; of several hops the one nearest the box counts, which is the first."""
        if not dynamic:
            return None
        with self.lock:
            found = self.memo.read(static, dynamic)
            self.dropped += found.dropped
        if not found.hops:
            return None
        hop = found.hops[0]
        link, uplink = hop.number(cmsd.LINK_KEY), hop.number(cmsd.UPLINK_KEY)
        return ServerHints(link, uplink, hop.in_duress, hop.number("mb"))


def text(head: ResponseHead, name: bytes) -> str | None:
    """A field's value as text."""
    value = head.get(name)
    return None if value is None else value.decode("latin-1")


class Slots(Protocol):
    """What a joiner asks where the joins at a box have a number of their own; none of it waits."""

    def workload_shape(self, service_class: str, rung: int, server: str) -> int: ...

    def try_acquire(self, server: str, shape: int, allow_us: int) -> bool: ...

    def on_attempt_ended(self, server: str, shape: int, held_us: int, answered: bool | None) -> None: ...


# What an end says of a box's pace: it answered, or did not; the rest says nothing of it.
ANSWERED = {Outcome.SERVED: True, Outcome.NO_ANSWER: False, Outcome.CONNECTION_LOST: False}


class AttemptSender:
    """Runs joins, each on the thread that waits for it. With `slots` each first takes one."""

    slots: Slots | None = None

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

    def run(self, step: SendAttempt, viewer: socket.socket | None) -> RunningAttempt:
        """Send the join and wait for its end, the viewer's hanging up, or this front's stopping."""
        if step.is_blocked or not self.pool.enter(step.server):
            return RunningAttempt(AttemptResult(Outcome.NOT_SENT, None, 0))
        if self.slots is None:
            return self._entered(step, viewer)
        shape = self.slots.workload_shape(step.session.service_class, step.rung, step.server)
        if not self.slots.try_acquire(step.server, shape, step.timeout_us):
            self.pool.leave(step.server, None)
            return RunningAttempt(AttemptResult(Outcome.NOT_SENT, None, 0))
        answered = None
        began_us = self.clock.now_us()
        try:
            run = self._entered(step, viewer)
            answered = ANSWERED.get(run.end.outcome)
            return run
        finally:
            self.slots.on_attempt_ended(step.server, shape, self.clock.now_us() - began_us, answered)

    def _entered(self, step: SendAttempt, viewer: socket.socket | None) -> RunningAttempt:
        began_us = self.clock.now_us()
        link: ServerConnection | None = None
        keep = False
        try:
            run, link, keep = self._exchange(step, viewer, began_us)
            return run
        finally:
            if link is not None and not keep:
                link.sock.close()
            self.pool.leave(step.server, link if keep else None)

    def _exchange(
        self, step: SendAttempt, viewer: socket.socket | None, began_us: int
    ) -> tuple[RunningAttempt, ServerConnection | None, bool]:
        exchange, times = AttemptExchange(), attempt_timeouts(step.timeout_us)
        session = step.session
        link = (
            self.pool.idle_link(step.server)
            if may_reuse_connection(self.effects[session.service_class])
            else None
        )
        if link is None:
            try:
                link = dial(step.server, times.connect_us, self.limits)
            except TimeoutError:
                exchange.apply(ExchangeEvent.TIMED_OUT)
            except OSError:
                exchange.apply(ExchangeEvent.CONNECT_FAILED)
        if link is None:
            return self._run(exchange, began_us), None, False
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
            link.sock.settimeout(max(0.001, (began_us + times.total_us - self.clock.now_us()) / 1e6))
            link.sock.sendall(raw)
            exchange.apply(ExchangeEvent.REQUEST_WRITTEN)
        except TimeoutError:
            exchange.apply(ExchangeEvent.TIMED_OUT)
        except OSError:
            exchange.apply(ExchangeEvent.CLOSED)
        if exchange.outcome is not None:
            return self._run(exchange, began_us), link, False
        first_us, whole_us = began_us + times.first_byte_us, began_us + times.total_us
        return self._await(link, exchange, began_us, first_us, whole_us, viewer)

    def _await(
        self,
        link: ServerConnection,
        exchange: AttemptExchange,
        began_us: int,
        first_us: int,
        whole_us: int,
        viewer: socket.socket | None,
    ) -> tuple[RunningAttempt, ServerConnection, bool]:
        limit_us = first_us
        while True:
            woken = wait(link.sock, limit_us - self.clock.now_us(), self.halt, viewer)
            if woken in (WakeReason.HUNG_UP, WakeReason.LATCH):
                end = AttemptResult(Outcome.CANCELLED, None, self.clock.now_us() - began_us)
                return RunningAttempt(end, woken), link, False
            if woken is WakeReason.TIME:
                exchange.apply(ExchangeEvent.TIMED_OUT)
                return self._run(exchange, began_us), link, False
            try:
                data = link.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if data:
                exchange.apply(ExchangeEvent.RESPONSE_STARTED)
                limit_us = whole_us
            link.answers.reader.feed(data)
            try:
                whole = link.answers.next()
            except ProtocolError:
                exchange.apply(ExchangeEvent.MALFORMED_RESPONSE if data else ExchangeEvent.CLOSED)
                return self._run(exchange, began_us), link, False
            if whole is not None:
                return self._answer(whole, link, exchange, began_us)
            if not data:
                exchange.apply(ExchangeEvent.CLOSED)
                return self._run(exchange, began_us), link, False

    def _answer(
        self, whole: Whole, link: ServerConnection, exchange: AttemptExchange, began_us: int
    ) -> tuple[RunningAttempt, ServerConnection, bool]:
        head = whole.head
        assert isinstance(head, ResponseHead)
        dynamic = text(head, cmsd.DYNAMIC.encode())
        says = self.hints.says(text(head, cmsd.STATIC.encode()), dynamic)
        exchange.apply(_meaning(head, whole.body))
        keep = head.keep_alive and link.answers.reader.between
        return self._run(exchange, began_us, says, dynamic or ""), link, keep

    def _run(
        self, exchange: AttemptExchange, began_us: int, says: ServerHints | None = None, hops: str = ""
    ) -> RunningAttempt:
        assert exchange.outcome is not None
        return RunningAttempt(
            AttemptResult(exchange.outcome, says, self.clock.now_us() - began_us), None, hops
        )


def _meaning(head: ResponseHead, body: bytes) -> ExchangeEvent:
    if head.status == 201:
        return ExchangeEvent.PLAYBACK_STARTED
    if head.status == 503:
        # A 503 alone may come from anything on the way, after the box ran it: only the box's own word proves.
        try:
            if _PROBLEM.decode(body).type == TURNED_AWAY:
                return ExchangeEvent.REJECTED
        except msgspec.MsgspecError:
            pass
    return ExchangeEvent.SERVER_ERROR
