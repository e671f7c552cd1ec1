"""A WebSocket connection.

Its own thread reads and writes. Set-ups run on threads beside it, and notifications come from the core.
"""

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
from fennelcove.ingress.connection import READ_BYTES, ConnectionLimits, receive_available
from fennelcove.ingress.replies import playing_state
from fennelcove.ingress.session_setups import SessionSetups, SetUpResult
from fennelcove.upstream.wakeups import WakeReason, Wakeup, wait
from fennelcove.websocket.protocol import Closed, Message, PingReceived, State, WebSocketProtocol
from fennelcove.websocket.protocol_constants import CloseCode
from fennelcove.wire import websocket_messages as wire
from fennelcove.wire.sessions import PROBLEM_KINDS

_ENCODER = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A queued message; `session_id` is set if only this message tells the client of its new session."""

    message: msgspec.Struct
    session_id: str = ""


class WebSocketSession:
    """A client's WebSocket, owned by the thread of its connection.

    Other threads call `put`, `send` and `begin_shutdown`.
    """

    def __init__(
        self,
        sock: socket.socket,
        conversation: WebSocketProtocol,
        core: Core,
        clock: Clock,
        setups: SessionSetups,
        front: str,
        limits: ConnectionLimits,
        presented: PresentedToken,
    ) -> None:
        self.sock = sock
        self.conversation = conversation
        self.core = core
        self.clock = clock
        self.setups = setups
        self.front = front
        self.limits = limits
        self.presented = presented
        self.expiry_announced = False
        self.lock = threading.Lock()
        self.outbox: ConflatingQueue[QueuedMessage] = ConflatingQueue()
        self.wakeup = Wakeup()
        self.closed = False
        self.shutting_down = False
        self.setups_in_progress: dict[str, threading.Thread] = {}  # by the `ref` of the request
        now_us = clock.now_us()
        self.rate_limit = MessageRateLimit(now_us)
        self.keepalive = KeepaliveMonitor(core.expiry.timeout_us, now_us)

    # Called from any thread.

    def send(self, message: msgspec.Struct, conflation_key: object = None, session_id: str = "") -> None:
        """Queue a message in place of one with the same conflation key; an overflow closes the connection."""
        with self.lock:
            result = self.outbox.put(QueuedMessage(message, session_id), conflation_key)
        if result is PutResult.OVERFLOWED:
            self.core.context.increment("sockets_cut_off")
        self._wake()

    def _wake(self) -> None:
        # After the close, the file descriptor may already belong to another connection.
        with self.lock:
            if not self.closed:
                self.wakeup.notify()

    def put(self, notification: Notification, sequence: int) -> None:
        """Queue a notification of the core; never blocks."""
        if isinstance(notification, RungNotification):
            view = notification.view
            self.send(
                wire.RungChanged(
                    subscription=view.id,
                    number=sequence,
                    rung=view.rung,
                    top_rung=view.top_rung,
                    rate_kb=view.rate_kb,
                ),
                ("rung", view.id),
            )
        elif isinstance(notification, MigrationNotification):
            self._notify_migration(notification.view, sequence)
        elif isinstance(notification, EndNotification):
            self.send(wire.Ended(subscription=notification.id, number=sequence, detail=notification.reason))
        elif isinstance(notification, TakeoverNotification):
            self.send(wire.Taken(subscription=notification.id, number=sequence))
        elif isinstance(notification, ContentNotification):
            message = wire.Stitched(
                subscription=notification.id,
                number=sequence,
                change=notification.change_id,
                state=notification.state,
            )
            self.send(message, ("stitched", notification.id, notification.change_id))
        else:
            assert isinstance(notification, StormNotification)
            self.send(wire.Weather(phase=notification.state), "weather")

    def _notify_migration(self, view: SessionView, sequence: int) -> None:
        message = wire.Moved(
            subscription=view.id, number=sequence, box=view.server, rung=view.rung, rate_kb=view.rate_kb
        )
        self.send(message, ("moved", view.id))

    def begin_shutdown(self) -> None:
        """Announce that the front is stopping; the connection closes once its pending answers are sent."""
        earliest_us, latest_us = reconnect_window_us(
            len(self.core.notifier.mailboxes), self.core.admission_controller.average_wait_us
        )
        self.send(
            wire.Leaving(reconnect_after_ms=earliest_us / 1000, reconnect_before_ms=latest_us / 1000),
            "leaving",
        )
        self.shutting_down = True
        self._wake()

    # Called from the connection's thread.

    def run(self, first_bytes: bytes) -> bool:
        """Serve until the connection ends; True if closing it must linger."""
        self.core.notifier.register(self)
        self.send(self.welcome(None))
        data: bytes | None = first_bytes or None
        while True:
            if data is not None and not self._on_data(data):
                return self._flush()
            if not self._flush() or self.conversation.is_closed:
                return True
            self._close_if_finished()
            if not self._flush():
                return False
            action, wait_us = self._check_keepalive()
            if action is KeepaliveAction.CLOSE:
                return False
            wake_reason = wait(self.sock, wait_us, self.wakeup)
            if wake_reason is WakeReason.LATCH:
                self.wakeup.clear()
                data = None
                continue
            try:
                data = receive_available(self.sock, READ_BYTES) if wake_reason is WakeReason.READY else None
            except OSError:
                return False

    def _check_keepalive(self) -> tuple[KeepaliveAction, int]:
        now_us = self.clock.now_us()
        action, wait_us = self.keepalive.check(now_us)
        if action is KeepaliveAction.PING:
            self.conversation.ping()
            if not self._flush():
                return KeepaliveAction.CLOSE, 0
        if self.conversation.state is State.CLOSING:
            # The peer must answer our close frame within the message timeout, or is disconnected.
            left_us = self.close_deadline_us - now_us
            return (KeepaliveAction.CLOSE, 0) if left_us <= 0 else (KeepaliveAction.WAIT, left_us)
        token = self.presented.token
        if token is not None and not self.expiry_announced:
            until_renewal_us = access_tokens.renewal_due_us(token) - self.core.clock.wall_us()
            if until_renewal_us <= 0:
                self.expiry_announced = True
                self.send(wire.PassEnds(in_ms=self.pass_for_ms()))
            else:
                wait_us = min(wait_us, until_renewal_us)
        return action, wait_us

    close_deadline_us = 0

    def _close(self, code: CloseCode, reason: str) -> None:
        if self.conversation.state is State.OPEN:
            self.close_deadline_us = self.clock.now_us() + self.limits.message_us
        self.conversation.close(code, reason)

    def _close_if_finished(self) -> None:
        """Close after an outbox overflow, or if the front is stopping and no set-up is in progress."""
        if self.outbox.has_overflowed:
            self._close(CloseCode.TRY_LATER, "this connection reads too slowly")
        elif self.shutting_down and not self.setups_in_progress:
            # The `leaving` message may have been queued only since the last flush.
            self._flush()
            self._close(CloseCode.RESTART, "this front is ending")

    def _on_data(self, data: bytes) -> bool:
        """Process received bytes; False once the conversation is closed."""
        now_us = self.clock.now_us()
        if data:
            self.keepalive.on_received(now_us)
            self.core.notifier.on_activity(self)
        for event in self.conversation.receive(data):
            if isinstance(event, Closed):
                return False
            if isinstance(event, Message | PingReceived) and not self.rate_limit.try_acquire(now_us):
                self._close(CloseCode.POLICY, "too many messages")
                return True
            if isinstance(event, Message):
                if isinstance(event.data, bytes):
                    self._close(CloseCode.UNSUPPORTED, "messages are JSON text")
                    return True
                websocket_routes.handle_message(self, event.data)
        return True

    def _flush(self) -> bool:
        """Send queued messages; False if the peer has disconnected or reads too slowly."""
        with self.lock:
            messages = self.outbox.drain()
        for queued in messages:
            self.conversation.send(_ENCODER.encode(queued.message).decode())
        raw = self.conversation.take()
        if not raw:
            return True
        try:
            self.sock.settimeout(self.limits.write_us / 1e6)
            self.sock.sendall(raw)
            return True
        except OSError:
            for queued in messages:
                self._release_unannounced(queued)
            return False

    def _release_unannounced(self, queued: QueuedMessage) -> None:
        """Release a session whose id the client never received, as nobody could resume it."""
        if queued.session_id:
            self.core.release(queued.session_id, "its answer could not be written")

    def shut_down(self) -> None:
        """Wait for running set-ups and close; sessions stay for their clients to resume."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        for thread in list(self.setups_in_progress.values()):
            thread.join()
        with self.lock:
            messages = self.outbox.drain()
        for queued in messages:
            self._release_unannounced(queued)
        self.core.notifier.unregister(self)
        with self.lock:
            self.closed = True
            self.wakeup.close()

    # Called by the message handlers.

    def fault(self, ref: str | None, kind: str, detail: str = "") -> None:
        """Answer a request that can't be processed."""
        self.send(wire.Fault(ref=ref, kind=kind, title=PROBLEM_KINDS[kind][1], detail=detail))

    def pass_for_ms(self) -> float:
        """Return how long the access token remains valid, in milliseconds."""
        token = self.presented.token
        return max(0.0, (token.until_us - self.core.clock.wall_us()) / 1000) if token is not None else 0.0

    def welcome(self, ref: str | None) -> wire.Welcome:
        """Return the welcome message: the front's identity and limits, and the status of the access token."""
        token = self.presented.token
        valid = token is not None and self.presented.status in (TokenStatus.VALID, TokenStatus.EXPIRING)
        return wire.Welcome(
            front=self.front,
            boot=self.core.session_ids.boot_id,
            subscriptions_most=self.core.notifier.max_sessions,
            silent_ms=self.core.expiry.timeout_us / 1000,
            pass_needed=self.core.requires_token,
            ref=ref,
            client=token.client if token is not None and valid else None,
            pass_for_ms=self.pass_for_ms() if valid else None,
        )

    def client_name(self) -> str:
        """Return the client named in the access token."""
        return self.presented.token.client if self.presented.token is not None else ""

    def start_setup(self, ref: str, request: SessionRequest) -> None:
        """Run a set-up on its own thread, so that pings and other requests are served meanwhile."""
        thread = threading.Thread(target=self._set_up, args=(ref, request), name="set-up")
        self.setups_in_progress[ref] = thread
        try:
            thread.start()
        except RuntimeError:  # no more threads available
            del self.setups_in_progress[ref]
            wait_ms = self.core.admission.retry_after_us() / 1000
            self.send(wire.Throttled(ref=ref, detail="no thread to be had", retry_after_ms=wait_ms))

    def _set_up(self, ref: str, request: SessionRequest) -> None:
        try:
            result = self.setups.run(request, self.sock)
            if result is None:
                self.fault(ref, "failed")
            elif result.response is not None:
                self._send_response(ref, result)
        finally:
            self.setups_in_progress.pop(ref, None)
            self._wake()

    def _send_response(self, ref: str, result: SetUpResult) -> None:
        response, session = result.response, result.session
        assert response is not None
        if response.kind in (ResponseKind.KEY_SPENT, ResponseKind.KEY_REUSED):
            self.fault(
                ref, "spent" if response.kind is ResponseKind.KEY_SPENT else "reused-key", response.reason
            )
            return
        session_id = session.id if session is not None else None
        if response.kind is ResponseKind.REJECTED:
            has_ticket = bool(response.queue_ticket)
            message: msgspec.Struct = wire.Throttled(
                ref=ref,
                detail=response.reason,
                retry_after_ms=response.retry_after_us / 1000,
                latest_ms=response.retry_until_us / 1000 if has_ticket else None,
                place=response.queue_ticket or None,
                subscription=session_id,
            )
        elif response.kind is ResponseKind.FAILED or session is None:
            message = wire.Terminated(ref=ref, detail=response.reason, subscription=session_id)
        else:
            claimed = self.core.notifier.claim(self, session.id, self.client_name(), None)
            if claimed.view is None:  # it ended before it could be claimed
                message = wire.Terminated(ref=ref, detail=claimed.reason or "it has ended")
            else:
                state = playing_state(claimed.view, session.attempt_count)
                message = wire.ToldPlaying(
                    ref=ref, number=claimed.sequence, state=state, took_ms=result.took_us / 1000
                )
        release_if_unsent = (
            isinstance(message, wire.ToldPlaying)
            and session is not None
            and not result.has_key
            and not result.replayed
        )
        self.send(message, session_id=session.id if release_if_unsent and session is not None else "")
        self.setups.on_response_written(result, True)
