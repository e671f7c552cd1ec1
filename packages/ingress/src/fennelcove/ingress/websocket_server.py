"""Opens WebSockets on connections of the HTTP server, and closes them when the front stops."""

from __future__ import annotations

import threading

import msgspec
from fennelcove.clock import Clock
from fennelcove.core.core import Core
from fennelcove.core.requests import EventLogger
from fennelcove.http1 import writer
from fennelcove.ingress import replies
from fennelcove.ingress.connection import Connection, ConnectionLimits, ReceivedRequest
from fennelcove.ingress.routes import presented_token
from fennelcove.ingress.session_setups import SessionSetups
from fennelcove.ingress.websocket_session import WebSocketSession
from fennelcove.websocket import handshake
from fennelcove.websocket.protocol import WebSocketProtocol
from fennelcove.websocket.protocol_constants import Bounds
from fennelcove.wire.websocket_messages import SUBPROTOCOL


class WebSocketServer:
    """Serves WebSockets, each on the thread of its connection."""

    def __init__(
        self,
        core: Core,
        clock: Clock,
        setups: SessionSetups,
        front: str,
        limits: ConnectionLimits,
        log_event: EventLogger,
    ) -> None:
        self.core = core
        self.clock = clock
        self.setups = setups
        self.front = front
        self.limits = limits
        self.log_event = log_event
        self.settings = core.settings.websocket
        self.lock = threading.Lock()
        self.sessions: set[WebSocketSession] = set()
        self.shutting_down = False

    def serve(self, connection: Connection, received: ReceivedRequest) -> bool:
        """Open a WebSocket and serve it until it ends; True if closing the connection must linger."""
        head = received.head
        try:
            opened = handshake.server(head, [SUBPROTOCOL], self.settings.origins, self.settings.deflate)
        except handshake.HandshakeError as error:
            reply = replies.fault("malformed", str(error), error.status)
            reply.fields += error.fields
            return connection.write(reply.to_bytes(True))
        presented = presented_token(self.core, head.get(b"authorization"))
        if not connection.write(writer.response(101, opened.fields)):
            return False
        max_bytes = self.settings.message_bytes
        conversation = WebSocketProtocol(Bounds(max_bytes, max_bytes), opened.deflates)
        session = WebSocketSession(
            connection.sock,
            conversation,
            self.core,
            self.clock,
            self.setups,
            self.front,
            self.limits,
            presented,
        )
        with self.lock:
            self.sessions.add(session)
            shutting_down = self.shutting_down
        try:
            if shutting_down:
                session.begin_shutdown()
            return session.run(connection.unread_bytes())
        except msgspec.MsgspecError as error:  # a message that can't be encoded is an internal error
            self.log_event("connection_failed", reason=repr(error))
            return False
        finally:
            with self.lock:
                self.sessions.discard(session)
            session.shut_down()

    def begin_shutdown(self) -> None:
        """Tell all clients when to reconnect, and close each connection once its pending answers are sent."""
        with self.lock:
            self.shutting_down = True
            open_sessions = list(self.sessions)
        for session in open_sessions:
            session.begin_shutdown()
