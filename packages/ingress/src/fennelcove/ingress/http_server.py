"""The HTTP listener: one accepting thread, and one thread per connection.

A session is set up on the thread of the connection that requested it.
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
from fennelcove.ingress.operator_commands import OperatorCommands
from fennelcove.ingress.routes import ChangePersister, Routes
from fennelcove.ingress.session_setups import SessionSetups
from fennelcove.ingress.tls import TlsKeys
from fennelcove.ingress.websocket_server import WebSocketServer
from fennelcove.upstream.wakeups import CancellationLatch, WakeReason, wait
from fennelcove.websocket import handshake
from fennelcove.wire.websocket_messages import PATH

KEY_PROBLEM_KINDS = {ResponseKind.KEY_SPENT: "spent", ResponseKind.KEY_REUSED: "reused-key"}
ACCEPT_RETRY_DELAY_US = 50_000  # prevents a busy loop while accept keeps failing


class HttpServer:
    """Owns the listening socket and all its threads; call `start`, then `stop_accepting`, then `close`."""

    def __init__(
        self,
        core: Core,
        clock: Clock,
        setups: SessionSetups,
        websocket_server: WebSocketServer,
        tls: TlsKeys | None,
        front: str,
        address: str,
        codec: CodecLimits,
        limits: ConnectionLimits,
        log_event: EventLogger,
        persist_change: ChangePersister,
        operator_commands: OperatorCommands,
    ) -> None:
        self.core = core
        self.clock = clock
        self.setups = setups
        self.websocket_server = websocket_server
        self.tls = tls
        self.front = front
        self.codec = codec
        self.limits = limits
        self.log_event = log_event
        self.routes = Routes(core, front, persist_change, operator_commands)
        self.closing = CancellationLatch()
        self.rejecter = ConnectionRejecter(clock)
        self.lock = threading.Lock()
        self.drained = threading.Condition(self.lock)
        self.connections: dict[threading.Thread, Connection] = {}
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=1024, reuse_port=False)
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])
        self.accept_thread = threading.Thread(target=self._accept, name="acceptor")

    def start(self) -> None:
        """Start accepting connections."""
        self.rejecter.thread.start()
        self.accept_thread.start()

    def stop_accepting(self) -> None:
        """Close the listener and idle connections; requests in progress are still answered."""
        self.closing.set()
        self.websocket_server.begin_shutdown()
        self.accept_thread.join()
        self.listener.close()

    def wait_idle(self, timeout_us: int) -> bool:
        """Wait until all connections are closed; False if the time runs out first."""
        with self.drained:
            return self.drained.wait_for(lambda: not self.connections, timeout_us / 1e6)

    def close(self) -> None:
        """Close the remaining connections and join every thread."""
        with self.lock:
            remaining = dict(self.connections)
        for connection in remaining.values():
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
        for thread in remaining:
            thread.join()
        self.rejecter.stop()
        self.closing.close()

    def _accept(self) -> None:
        while wait(self.listener, 60_000_000, self.closing) is not WakeReason.LATCH:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                # Usually out of file descriptors: waiting connections are accepted as others close.
                self.log_event("accept_failed", reason=str(error))
                if self.closing.wait(ACCEPT_RETRY_DELAY_US):
                    return
                continue
            rejection = self.core.admission.try_admit(AdmissionRequest.CONNECTION)
            if rejection is not None:
                self._reject(sock, rejection)
                continue
            self._start_connection(sock)
        self._reject_queued()

    def _reject_queued(self) -> None:
        """Answer connections still in the backlog before the listener closes, which would reset them."""
        self.listener.setblocking(False)
        with suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                rejection = self.core.admission.try_admit(AdmissionRequest.CONNECTION)
                if rejection is None:
                    self.core.admission.on_connection_closed()
                    sock.close()
                else:
                    self._reject(sock, rejection)

    def _reject(self, sock: socket.socket, rejection: SessionResponse) -> None:
        if self.tls is not None:
            sock.close()  # a handshake would cost more than the rejection is worth
            return
        self.rejecter.reject(sock, replies.rejected(rejection, self.front, None, False).to_bytes(True))

    def _start_connection(self, sock: socket.socket) -> None:
        connection = Connection(sock, self.core, self.clock, self.codec, self.limits, self.closing)
        thread = threading.Thread(target=self._serve, args=(connection,), name="viewer")
        with self.lock:
            self.connections[thread] = connection
        try:
            thread.start()
        except RuntimeError:  # no more threads available: same response as for too many connections
            self._connection_ended(thread)
            self._reject(
                sock,
                SessionResponse(
                    ResponseKind.REJECTED, "no thread to be had", self.core.admission.retry_after_us()
                ),
            )

    def _connection_ended(self, thread: threading.Thread) -> None:
        with self.drained:
            self.connections.pop(thread, None)
            self.drained.notify_all()
        self.core.admission.on_connection_closed()

    def _serve(self, connection: Connection) -> None:
        linger = False
        try:
            if self.tls is None or connection.perform_tls_handshake(self.tls):
                linger = self._serve_requests(connection)
        except Exception as error:  # an internal error: logged, so that the thread does not die silently
            self.log_event("connection_failed", reason=repr(error))
        finally:
            connection.close(linger)
            self._connection_ended(threading.current_thread())

    def _serve_requests(self, connection: Connection) -> bool:
        """Serve requests until the connection ends; True if closing must linger."""
        while True:
            try:
                received = connection.read()
            except ProtocolError as error:
                if error.status == 503:
                    rejection = SessionResponse(
                        ResponseKind.REJECTED, str(error), self.core.admission.retry_after_us()
                    )
                    reply = replies.rejected(rejection, self.front, None, False)
                else:
                    reply = replies.fault("malformed", str(error), error.status)
                return connection.write(reply.to_bytes(True))
            except TooSlow:
                return connection.write(replies.fault("too-slow").to_bytes(True))
            if received is None:
                return False
            close = not received.head.keep_alive or self.closing.is_set
            if handshake.is_upgrade_request(received.head) and received.head.target.partition("?")[0] == PATH:
                return self.websocket_server.serve(connection, received)
            handled = self.routes.handle(received)
            if isinstance(handled, SessionRequest):
                if not self._set_up(connection, handled, close):
                    return False
            elif not connection.write(handled.to_bytes(close)):
                return False
            if close:
                return True

    def _set_up(self, connection: Connection, request: SessionRequest, close: bool) -> bool:
        """Set up a session and write the response; False if the client has disconnected."""
        result = self.setups.run(request, connection.sock)
        if result is None:
            return connection.write(replies.fault("failed", close=True).to_bytes(True))
        if result.response is None:
            return False
        session = result.session
        kind = KEY_PROBLEM_KINDS.get(result.response.kind)
        if kind is not None:
            return connection.write(replies.fault(kind, result.response.reason).to_bytes(close))
        if session is not None and result.response.kind is ResponseKind.PLAYING:
            view = self.core.views.view_of(session)
            reply = replies.playing(session, view, result.hops, self.front, result.took_us)
        else:
            reply = replies.rejected(result.response, self.front, session, result.timed_out)
        written = connection.write(reply.to_bytes(close))
        self.setups.on_response_written(result, written)
        return written
