"""The HTTP door: one listener, one thread a connection, each set-up run to its answer on the thread that
asked.
"""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.core.requests import EventLogger, ResponseKind, SessionRequest, SessionResponse
from fennelcove.decisions.clients.admission import AdmissionRequest
from fennelcove.http1.messages import CodecLimits, ProtocolError
from fennelcove.ingress import replies
from fennelcove.ingress.connection import Connection, ConnectionLimits, ConnectionRejecter, TooSlow
from fennelcove.ingress.control import OperatorCommands
from fennelcove.ingress.routes import Keep, Routes
from fennelcove.ingress.session_setups import SessionSetups
from fennelcove.ingress.tls import TlsKeys
from fennelcove.ingress.websocket_server import WebSocketServer
from fennelcove.upstream.wakeups import CancellationLatch, WakeReason, wait
from fennelcove.websocket import handshake
from fennelcove.wire.socket import PATH

KEYED = {ResponseKind.KEY_SPENT: "spent", ResponseKind.KEY_REUSED: "reused-key"}
ACCEPT_PAUSE_US = 50_000  # keeps a failing accept from spinning


class HttpServer:
    """Owns its listener and all its threads: `start`, then `stop_accepting`, then `close`."""

    def __init__(
        self,
        core: Core,
        clock: Clock,
        setups: SessionSetups,
        sockets: WebSocketServer,
        tls: TlsKeys | None,
        front: str,
        address: str,
        codec: CodecLimits,
        limits: ConnectionLimits,
        notice: EventLogger,
        keep: Keep,
        control: OperatorCommands,
    ) -> None:
        self.core = core
        self.clock = clock
        self.setups = setups
        self.sockets = sockets
        self.tls = tls
        self.front = front
        self.codec = codec
        self.limits = limits
        self.notice = notice
        self.routes = Routes(core, front, keep, control)
        self.closing = CancellationLatch()
        self.refuser = ConnectionRejecter(clock)
        self.lock = threading.Lock()
        self.idle = threading.Condition(self.lock)
        self.connections: dict[threading.Thread, Connection] = {}
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=1024, reuse_port=False)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.acceptor = threading.Thread(target=self._accept, name="acceptor")

    def start(self) -> None:
        """Start to accept."""
        self.refuser.thread.start()
        self.acceptor.start()

    def stop_accepting(self) -> None:
        """Close the listener; idle connections end, requests in hand go on to their answers."""
        self.closing.set()
        self.sockets.leave()
        self.acceptor.join()
        self.listener.close()

    def wait_idle(self, timeout_us: int) -> bool:
        """Wait until no connection is left; False when time is up first."""
        with self.idle:
            return self.idle.wait_for(lambda: not self.connections, timeout_us / 1e6)

    def close(self) -> None:
        """Cut what is left and wait for every thread."""
        with self.lock:
            left = dict(self.connections)
        for connection in left.values():
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
        for thread in left:
            thread.join()
        self.refuser.stop()
        self.closing.close()

    def _accept(self) -> None:
        while wait(self.listener, 60_000_000, self.closing) is not WakeReason.LATCH:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                # Out of descriptors, mostly: those that wait are served as others leave.
                self.notice("accept_failed", reason=str(error))
                if self.closing.wait(ACCEPT_PAUSE_US):
                    return
                continue
            refusal = self.core.admission.try_admit(AdmissionRequest.CONNECTION)
            if refusal is not None:
                self._refuse(sock, refusal)
                continue
            self._begin(sock)
        self._turn_away_queued()

    def _turn_away_queued(self) -> None:
        """Answer those that connected before the listener closes: a reset would tell them nothing."""
        self.listener.setblocking(False)
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                refusal = self.core.admission.try_admit(AdmissionRequest.CONNECTION)
                if refusal is None:
                    self.core.admission.on_connection_closed()
                    sock.close()
                else:
                    self._refuse(sock, refusal)

    def _refuse(self, sock: socket.socket, refusal: SessionResponse) -> None:
        if self.tls is not None:
            sock.close()  # a handshake would cost more than what it would tell
            return
        self.refuser.refuse(sock, replies.refused(refusal, self.front, None, False).raw(True))

    def _begin(self, sock: socket.socket) -> None:
        connection = Connection(sock, self.core, self.clock, self.codec, self.limits, self.closing)
        thread = threading.Thread(target=self._serve, args=(connection,), name="viewer")
        with self.lock:
            self.connections[thread] = connection
        try:
            thread.start()
        except RuntimeError:  # the machine gives no more threads: the same answer as past our own bound
            self._end(thread)
            self._refuse(
                sock,
                SessionResponse(
                    ResponseKind.REJECTED, "no thread to be had", self.core.admission.retry_after_us()
                ),
            )

    def _end(self, thread: threading.Thread) -> None:
        with self.idle:
            self.connections.pop(thread, None)
            self.idle.notify_all()
        self.core.admission.on_connection_closed()

    def _serve(self, connection: Connection) -> None:
        linger = False
        try:
            if self.tls is None or connection.secure(self.tls):
                linger = self._requests(connection)
        except Exception as error:  # a fault of ours: told, and never a thread that dies unseen
            self.notice("connection_failed", reason=repr(error))
        finally:
            connection.close(linger)
            self._end(threading.current_thread())

    def _requests(self, connection: Connection) -> bool:
        """Serve until the connection is over; whether what the viewer still sends must be read past."""
        while True:
            try:
                received = connection.read()
            except ProtocolError as error:
                if error.status == 503:
                    full = SessionResponse(
                        ResponseKind.REJECTED, str(error), self.core.admission.retry_after_us()
                    )
                    reply = replies.refused(full, self.front, None, False)
                else:
                    reply = replies.fault("malformed", str(error), error.status)
                return connection.write(reply.raw(True))
            except TooSlow:
                return connection.write(replies.fault("too-slow").raw(True))
            if received is None:
                return False
            close = not received.head.keep_alive or self.closing.is_set
            if handshake.wanted(received.head) and received.head.target.partition("?")[0] == PATH:
                return self.sockets.serve(connection, received)
            taken = self.routes.take(received)
            if isinstance(taken, SessionRequest):
                if not self._set_up(connection, taken, close):
                    return False
            elif not connection.write(taken.raw(close)):
                return False
            if close:
                return True

    def _set_up(self, connection: Connection, ask: SessionRequest, close: bool) -> bool:
        """Run one subscription to its answer; False where the viewer is gone."""
        result = self.setups.run(ask, connection.sock)
        if result is None:
            return connection.write(replies.fault("failed", close=True).raw(True))
        if result.answered is None:
            return False
        session = result.session
        kind = KEYED.get(result.answered.kind)
        if kind is not None:
            return connection.write(replies.fault(kind, result.answered.reason).raw(close))
        if session is not None and result.answered.kind is ResponseKind.PLAYING:
            view = self.core.views.view_of(session)
            reply = replies.playing(session, view, result.hops, self.front, result.took_us)
        else:
            reply = replies.refused(result.answered, self.front, session, result.timed_out)
        written = connection.write(reply.raw(close))
        self.setups.told(result, written)
        return written
