"""Links to servers: one thread each, one set-up out on each, and what a link's end proves.

A server's answer may be spoilt, cut off or never come, and then the link is of no further use for whatever
else is out on it: with one set-up to a link, the one that was spoilt is the only one that is lost.
"""

from __future__ import annotations

import select
import socket
import struct
import threading
from contextlib import suppress
from typing import Protocol

from fennelcove.decisions.servers.connection_loss import DialResult
from fennelcove.interface import LoadReport, Outcome
from fennelcove.isup import writer
from fennelcove.isup.messages import Cause, Code, Kind, Message, ProtocolError
from fennelcove.isup.reader import Reader
from fennelcove.node.config import Config
from fennelcove.node.descriptor_budget import DescriptorBudget, DescriptorUse
from fennelcove.node.model import ServerLink, ConnectionState, Server, Session

READ_BYTES = 16_384
DIAL_AGAIN_US = 300_000  # between two dials for what stands at a server
NO_SESSION_ID = bytes(8)


class ConnectionOwner(Protocol):
    """Who is told what comes over a link, and what has become of it."""

    config: Config
    lock: threading.Lock
    descriptors: DescriptorBudget

    def now_us(self) -> int: ...

    def hear(self, link: ServerLink, message: Message) -> None: ...

    def on_attempt_completed(self, session: Session, outcome: Outcome, report: LoadReport | None) -> None: ...

    def takes_attempts(self, server: Server) -> bool: ...

    def wanted(self, session: Session) -> bool: ...

    def dial_failed(self, server: Server, refused: bool) -> None: ...


def set_receive_timeout(sock: socket.socket, limit_us: int) -> None:
    """Bound each read by the kernel, and leave sends to say at once that they would wait."""
    seconds, micros = divmod(max(1000, limit_us), 1_000_000)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", seconds, micros))


def send_now(sock: socket.socket, data: bytes) -> bool:
    """Hand all of it to the kernel; False where it would have to wait, or the connection is broken."""
    try:
        return sock.send(data, socket.MSG_DONTWAIT) == len(data)
    except OSError:
        return False


class ServerConnection:
    """One connection to a server. All but `run` is called with the desk's lock held."""

    def __init__(self, desk: ConnectionOwner, server: Server) -> None:
        self.manager = desk
        self.server = server
        self.address = server.address  # a server may be listed anew elsewhere while this stands
        self.phase = ConnectionState.DIALLING
        self.sock: socket.socket | None = None
        self.carried: Session | None = None  # whose set-up is out
        self.given_up: set[bytes] = set()  # ids for which an answer may still come here
        self.heard_us = self.opened_us = desk.now_us()
        self.tested_us: int | None = None
        self.is_dialling = False  # its thread is dialling: it holds a descriptor, whatever the phase
        self.descriptor = desk.descriptors.reserve(DescriptorUse.SERVER)
        self.is_read_to_end = False  # all that the server has written here has been heard
        server.links[self] = None

    @property
    def idle(self) -> bool:
        """Open, with no set-up out."""
        return self.phase is ConnectionState.OPEN and self.carried is None

    def ended(self) -> bool:
        """Whether the server's end of the stream or a reset has come in, though its thread has not read it
        yet. What is written then is lost, and a lost set-up may have run."""
        if self.sock is None:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def start(self) -> None:
        """Begin to dial; a thread that can't be had is a connection that can't be made."""
        self.is_dialling = True
        try:
            threading.Thread(target=self.run, name="server", daemon=True).start()
        except RuntimeError:
            self.is_dialling = False
            self.close(Outcome.NOT_SENT)

    def carry(self, session: Session) -> None:
        """Send this subscription's set-up, at once or as soon as the connection stands."""
        self.carried = session
        if self.phase is ConnectionState.OPEN:
            self._send_set_up(session)

    def _send_set_up(self, session: Session) -> None:
        assert session.attempt is not None
        left_us = session.attempt.sent_us + session.attempt.allow_us - self.manager.now_us()
        parameters = [
            (Code.ROOM, session.service_class.encode()),
            (Code.TITLE, session.title.encode()),
            (Code.WAIT_MS, b"%d" % max(1, left_us // 1000)),
        ]
        if session.rung is not None:
            parameters.append((Code.RUNG, b"%d" % session.rung))
        parameters.append((Code.DESCRIPTION, session.description))
        # Of a set-up that the kernel took in part or not at all no more is sent: no server gets it whole.
        self.send(writer.message(Kind.SET_UP, session.id, *parameters), Outcome.NOT_SENT)

    def send(self, data: bytes, unsent: Outcome = Outcome.CONNECTION_LOST) -> bool:
        """Send a short message; a server that takes none in is not waited for: False, and the set-up that
        the link carries has come to `unsent`."""
        if self.phase is ConnectionState.OPEN and self.sock is not None and not send_now(self.sock, data):
            self.close(unsent)
        return self.phase is ConnectionState.OPEN

    def test(self) -> None:
        """Ask for a sign of life."""
        self.tested_us = self.manager.now_us()
        self.send(writer.message(Kind.TEST, NO_SESSION_ID, (Code.CAUSE, b"\0")))

    def answer_test(self) -> None:
        """This end is alive as well."""
        self.send(writer.message(Kind.TESTED, NO_SESSION_ID, (Code.CAUSE, b"\1")))

    def give_up(self, session: Session) -> None:
        """The set-up out here is wanted no longer; what still comes for it is passed over."""
        if self.carried is session:
            self.carried = None
            self.given_up.add(session.id)
            self.send(writer.release(session.id, Cause.OK))

    def done(self) -> None:
        """The server has told of the set-up out here, and so has read all that was given up before."""
        self.carried = None
        self.given_up.clear()

    def close(self, outcome: Outcome) -> None:
        """End the link; the set-up that is out on it has come to this."""
        if self.phase is ConnectionState.CLOSED:
            return
        if self.phase is ConnectionState.OPEN and not self.is_read_to_end:
            self.server.dial_anew = True
        self.phase = ConnectionState.CLOSED
        self.server.links.pop(self, None)
        self.server.left_us = self.manager.now_us()
        if not self.is_dialling:
            self.descriptor.release_reservation()
        session, self.carried = self.carried, None
        if self.sock is not None:
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread, which closes the descriptor
        if session is not None:
            self.manager.on_attempt_completed(session, outcome, None)

    def _on_dial_finished(self) -> None:
        """A dial that was given up keeps its descriptor until it ends: not counted, dials to servers that are
        silent went past the node's part of the descriptors."""
        self.is_dialling = False
        if self.phase is ConnectionState.CLOSED:
            self.descriptor.release_reservation()

    def _on_opened(self) -> None:
        """Send what has waited for the connection."""
        unsent = self.server.unsent
        if self.ended():
            # Closed by its server while new: a set-up written now would pass for one that may have run.
            self._complete_attempt(Outcome.NO_CONNECTION)
            return
        # The set-up that is carried has not been sent either where one of these can't be.
        while unsent and self.send(unsent[0], Outcome.NOT_SENT):
            unsent.popleft()
        if not self.manager.takes_attempts(self.server) or self.address != self.server.address:
            # The list has changed while this was dialled: a slow dial may outlast the grace, and
            # behind the address may be another server by now. The link stays for what stands there.
            self._complete_attempt(Outcome.NOT_SENT)
        elif self.carried is not None:
            session, self.carried = self.carried, None
            if self.manager.wanted(session):
                self.carried = session
                self._send_set_up(session)

    def _complete_attempt(self, outcome: Outcome) -> None:
        session, self.carried = self.carried, None
        if session is not None:
            self.manager.on_attempt_completed(session, outcome, None)

    def run(self) -> None:
        """Dial, then read until the link ends."""
        sock = self._connect()
        if sock is None:
            return
        try:
            self._receive(sock)
        except (OSError, ProtocolError):
            pass  # broken, or what comes can't be read: either way nothing more can be had from it
        finally:
            with self.manager.lock:
                self.close(Outcome.CONNECTION_LOST)
                self.sock = None
            self.descriptor.close()

    def _receive(self, sock: socket.socket) -> None:
        reader = Reader()
        while data := sock.recv(READ_BYTES):
            reader.feed(data)
            with self.manager.lock:
                self.heard_us, self.tested_us = self.manager.now_us(), None
                self.server.parting.heard(self.heard_us)
                # Read out where it has been closed meanwhile as well: the end of what stands may be among it.
                while (message := reader.next()) is not None:
                    self.manager.hear(self, message)
        self.is_read_to_end = True

    def _connect(self) -> socket.socket | None:
        connect_us = self.manager.config.terms.connect_us
        try:
            sock = self.descriptor.open(lambda: socket.socket(socket.AF_INET, socket.SOCK_STREAM), connect_us)
        except OSError:
            # No descriptor: that says nothing of the server. Left as it was, the link stayed in its tables
            # for good, and while it did no other was opened to a server at which something stands.
            with self.manager.lock:
                self._on_dial_finished()
                self.server.dial_at_us = self.manager.now_us() + DIAL_AGAIN_US
                self.close(Outcome.NOT_SENT)
            return None
        address = self.address
        try:
            sock.settimeout(connect_us / 1e6)
            sock.connect((address.host, address.port))
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self.descriptor.close()
            with self.manager.lock:
                self._on_dial_finished()
                if self.phase is ConnectionState.DIALLING:
                    self.close(Outcome.NO_CONNECTION)
                    self.manager.dial_failed(self.server, isinstance(error, ConnectionRefusedError))
            return None
        with self.manager.lock:
            self._on_dial_finished()
            if self.phase is ConnectionState.DIALLING:
                self.phase, self.sock, self.heard_us = ConnectionState.OPEN, sock, self.manager.now_us()
                self.opened_us = self.heard_us
                self.server.parting.dialled(DialResult.MADE, self.heard_us)
                self._on_opened()
                return sock
        self.descriptor.close()
        return None
