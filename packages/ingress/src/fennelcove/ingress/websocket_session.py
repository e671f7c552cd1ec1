"""One WebSocket: its thread reads and writes; set-ups run beside it, and news come from the core."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from dataclasses import dataclass

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.client_notifier import (
    ContentNotification,
    EndNotification,
    MigrationNotification,
    Notification,
    RungNotification,
    StormNotification,
    TakeoverNotification,
)
from fennelcove.core.core import Core
from fennelcove.core.requests import ResponseKind, SessionRequest, SessionView
from fennelcove.decisions.clients import access_tokens
from fennelcove.decisions.clients.access_tokens import PresentedToken, TokenStatus
from fennelcove.decisions.clients.admission import reconnect_window_us
from fennelcove.decisions.clients.conflating_queue import ConflatingQueue, PutResult
from fennelcove.decisions.clients.keepalive import KeepaliveAction, KeepaliveMonitor
from fennelcove.decisions.clients.rate_limit import MessageRateLimit
from fennelcove.ingress import websocket_routes
from fennelcove.ingress.connection import READ_BYTES, ConnectionLimits, take
from fennelcove.ingress.replies import playing_state
from fennelcove.ingress.session_setups import Result, SessionSetups
from fennelcove.upstream.wakeups import WakeReason, Wakeup, wait
from fennelcove.websocket.conversation import Closed, Conversation, Message, Pinged, State
from fennelcove.websocket.terms import CloseCode
from fennelcove.wire import socket as wire
from fennelcove.wire.sessions import KINDS

_ENCODER = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class Line:
    """One message that waits; `session` where it tells a player of a subscription that nobody else knows."""

    told: msgspec.Struct
    session: str = ""


class WebSocketSession:
    """Belongs to its connection's thread. `put`, `leave` and the set-ups' ends come from others."""

    def __init__(
        self,
        sock: socket.socket,
        conversation: Conversation,
        core: Core,
        clock: Clock,
        setups: SessionSetups,
        front: str,
        limits: ConnectionLimits,
        shown: PresentedToken,
    ) -> None:
        self.sock = sock
        self.conversation = conversation
        self.core = core
        self.clock = clock
        self.setups = setups
        self.front = front
        self.limits = limits
        self.shown = shown
        self.told_pass_ends = False
        self.lock = threading.Lock()
        self.outbox: ConflatingQueue[Line] = ConflatingQueue()
        self.bell = Wakeup()
        self.gone = False
        self.leaving = False
        self.under_way: dict[str, threading.Thread] = {}  # set-ups, by their ref
        now_us = clock.now_us()
        self.meter = MessageRateLimit(now_us)
        self.silence = KeepaliveMonitor(core.expiry.timeout_us, now_us)

    # From any thread.

    def say(self, told: msgspec.Struct, matter: object = None, session: str = "") -> None:
        """A message for the player; past the bound the connection is cut off."""
        with self.lock:
            kept = self.outbox.put(Line(told, session), matter)
        if kept is PutResult.OVERFLOWED:
            self.core.context.increment("sockets_cut_off")
        self._ring()

    def _ring(self) -> None:
        # Rung by others while it is closed, the descriptor could be somebody else's by then.
        with self.lock:
            if not self.gone:
                self.bell.notify()

    def put(self, news: Notification, number: int) -> None:
        """News of the core; never waits."""
        if isinstance(news, RungNotification):
            view = news.view
            self.say(
                wire.RungChanged(
                    subscription=view.id,
                    number=number,
                    rung=view.rung,
                    top_rung=view.top_rung,
                    rate_kb=view.rate_kb,
                ),
                ("rung", view.id),
            )
        elif isinstance(news, MigrationNotification):
            self._moved(news.view, number)
        elif isinstance(news, EndNotification):
            self.say(wire.Ended(subscription=news.id, number=number, detail=news.reason))
        elif isinstance(news, TakeoverNotification):
            self.say(wire.Taken(subscription=news.id, number=number))
        elif isinstance(news, ContentNotification):
            told = wire.Stitched(subscription=news.id, number=number, change=news.change_id, state=news.state)
            self.say(told, ("stitched", news.id, news.change_id))
        else:
            assert isinstance(news, StormNotification)
            self.say(wire.Weather(phase=news.state), "weather")

    def _moved(self, view: SessionView, number: int) -> None:
        told = wire.Moved(
            subscription=view.id, number=number, box=view.server, rung=view.rung, rate_kb=view.rate_kb
        )
        self.say(told, ("moved", view.id))

    def leave(self) -> None:
        """This front ends: say so, answer what is owed, close."""
        earliest_us, latest_us = reconnect_window_us(
            len(self.core.notifier.mailboxes), self.core.admission_controller.average_wait_us
        )
        self.say(
            wire.Leaving(reconnect_after_ms=earliest_us / 1000, reconnect_before_ms=latest_us / 1000),
            "leaving",
        )
        self.leaving = True
        self._ring()

    # Its own thread.

    def run(self, first: bytes) -> bool:
        """Serve until it is over; whether what the peer still sends must be read past."""
        self.core.notifier.register(self)
        self.say(self.welcome(None))
        data: bytes | None = first or None
        while True:
            if data is not None and not self._heard(data):
                return self._flush()
            if not self._flush() or self.conversation.over:
                return True
            self._may_close()
            if not self._flush():
                return False
            pulse, wait_us = self._pulse()
            if pulse is KeepaliveAction.CLOSE:
                return False
            woken = wait(self.sock, wait_us, self.bell)
            if woken is WakeReason.LATCH:
                self.bell.clear()
                data = None
                continue
            try:
                data = take(self.sock, READ_BYTES) if woken is WakeReason.READY else None
            except OSError:
                return False

    def _pulse(self) -> tuple[KeepaliveAction, int]:
        now_us = self.clock.now_us()
        pulse, wait_us = self.silence.check(now_us)
        if pulse is KeepaliveAction.PING:
            self.conversation.ping()
            if not self._flush():
                return KeepaliveAction.CLOSE, 0
        if self.conversation.state is State.CLOSING:
            # The peer has our close: it answers within the limit of a message, or is cut.
            left_us = self.closing_until_us - now_us
            return (KeepaliveAction.CLOSE, 0) if left_us <= 0 else (KeepaliveAction.WAIT, left_us)
        held = self.shown.token
        if held is not None and not self.told_pass_ends:
            until_us = access_tokens.renewal_due_us(held) - self.core.clock.wall_us()
            if until_us <= 0:
                self.told_pass_ends = True
                self.say(wire.PassEnds(in_ms=self.pass_for_ms()))
            else:
                wait_us = min(wait_us, until_us)
        return pulse, wait_us

    closing_until_us = 0

    def _close(self, code: CloseCode, reason: str) -> None:
        if self.conversation.state is State.OPEN:
            self.closing_until_us = self.clock.now_us() + self.limits.message_us
        self.conversation.close(code, reason)

    def _may_close(self) -> None:
        """A front that ends closes connections to which it owes nothing more."""
        if self.outbox.has_overflowed:
            self._close(CloseCode.TRY_LATER, "this connection reads too slowly")
        elif self.leaving and not self.under_way:
            # What says when to come back was put in line before, and may be there only since the last flush.
            self._flush()
            self._close(CloseCode.RESTART, "this front is ending")

    def _heard(self, data: bytes) -> bool:
        """Bytes of the peer; False once it is over."""
        now_us = self.clock.now_us()
        if data:
            self.silence.on_received(now_us)
            self.core.notifier.on_activity(self)
        for event in self.conversation.receive(data):
            if isinstance(event, Closed):
                return False
            if isinstance(event, Message | Pinged) and not self.meter.try_acquire(now_us):
                self._close(CloseCode.POLICY, "too many messages")
                return True
            if isinstance(event, Message):
                if isinstance(event.data, bytes):
                    self._close(CloseCode.UNSUPPORTED, "messages are JSON text")
                    return True
                websocket_routes.take(self, event.data)
        return True

    def _flush(self) -> bool:
        """Send what waits; False where the peer is gone or reads too slowly."""
        with self.lock:
            lines = self.outbox.drain()
        for line in lines:
            self.conversation.send(_ENCODER.encode(line.told).decode())
        raw = self.conversation.take()
        if not raw:
            return True
        try:
            self.sock.settimeout(self.limits.write_us / 1e6)
            self.sock.sendall(raw)
            return True
        except OSError:
            for line in lines:
                self._unheard(line)
            return False

    def _unheard(self, line: Line) -> None:
        """A subscription whose player never got its id can't be resumed by anybody."""
        if line.session:
            self.core.release(line.session, "its answer could not be written")

    def end(self) -> None:
        """Over: end what was under way, and leave the rest to whoever comes for it."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        for thread in list(self.under_way.values()):
            thread.join()
        with self.lock:
            lines = self.outbox.drain()
        for line in lines:
            self._unheard(line)
        self.core.notifier.unregister(self)
        with self.lock:
            self.gone = True
            self.bell.close()

    # What messages ask for.

    def fault(self, ref: str | None, kind: str, detail: str = "") -> None:
        """A request that can't be acted on."""
        self.say(wire.Fault(ref=ref, kind=kind, title=KINDS[kind][1], detail=detail))

    def pass_for_ms(self) -> float:
        """How long the pass is still good for."""
        held = self.shown.token
        return max(0.0, (held.until_us - self.core.clock.wall_us()) / 1000) if held is not None else 0.0

    def welcome(self, ref: str | None) -> wire.Welcome:
        """Who this front is, and what it needs."""
        held = self.shown.token
        valid = held is not None and self.shown.status in (TokenStatus.VALID, TokenStatus.EXPIRING)
        return wire.Welcome(
            front=self.front,
            boot=self.core.session_ids.boot_id,
            subscriptions_most=self.core.notifier.max_sessions,
            silent_ms=self.core.expiry.timeout_us / 1000,
            pass_needed=self.core.requires_token,
            ref=ref,
            client=held.client if held is not None and valid else None,
            pass_for_ms=self.pass_for_ms() if valid else None,
        )

    def client(self) -> str:
        """Whose pass was shown."""
        return self.shown.token.client if self.shown.token is not None else ""

    def begin(self, ref: str, ask: SessionRequest) -> None:
        """Run a set-up beside this thread, so that pings and releases go on meanwhile."""
        thread = threading.Thread(target=self._set_up, args=(ref, ask), name="set-up")
        self.under_way[ref] = thread
        try:
            thread.start()
        except RuntimeError:  # the machine gives no more threads
            del self.under_way[ref]
            wait_ms = self.core.admission.retry_after_us() / 1000
            self.say(wire.Throttled(ref=ref, detail="no thread to be had", retry_after_ms=wait_ms))

    def _set_up(self, ref: str, ask: SessionRequest) -> None:
        try:
            result = self.setups.run(ask, self.sock)
            if result is None:
                self.fault(ref, "failed")
            elif result.answered is not None:
                self._answer(ref, result)
        finally:
            self.under_way.pop(ref, None)
            self._ring()

    def _answer(self, ref: str, result: Result) -> None:
        answered, session = result.answered, result.session
        assert answered is not None
        if answered.kind in (ResponseKind.KEY_SPENT, ResponseKind.KEY_REUSED):
            self.fault(
                ref, "spent" if answered.kind is ResponseKind.KEY_SPENT else "reused-key", answered.reason
            )
            return
        tried = session.id if session is not None else None
        if answered.kind is ResponseKind.REJECTED:
            placed = bool(answered.queue_ticket)
            told: msgspec.Struct = wire.Throttled(
                ref=ref,
                detail=answered.reason,
                retry_after_ms=answered.retry_after_us / 1000,
                latest_ms=answered.retry_until_us / 1000 if placed else None,
                place=answered.queue_ticket or None,
                subscription=tried,
            )
        elif answered.kind is ResponseKind.FAILED or session is None:
            told = wire.Terminated(ref=ref, detail=answered.reason, subscription=tried)
        else:
            claimed = self.core.notifier.claim(self, session.id, self.client(), None)
            if claimed.view is None:  # it ended in this very moment
                told = wire.Terminated(ref=ref, detail=claimed.reason or "it has ended")
            else:
                state = playing_state(claimed.view, session.attempt_count)
                told = wire.ToldPlaying(
                    ref=ref, number=claimed.sequence, state=state, took_ms=result.took_us / 1000
                )
        playing = (
            isinstance(told, wire.ToldPlaying)
            and session is not None
            and not result.keyed
            and not result.repeated
        )
        self.say(told, session=session.id if playing and session is not None else "")
        self.setups.told(result, True)
