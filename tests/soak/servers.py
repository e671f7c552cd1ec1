"""Emulated servers of one node: thousands of them in one process."""

from __future__ import annotations

import math
import socket
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

from fennelcove.isup import writer
from fennelcove.isup.messages import Cause, Message, MessageKind, Parameter, ProtocolError
from fennelcove.isup.reader import Reader

from tests.soak.loop import Loop, reset
from tests.soak.plan import IDLE_TIMEOUT_S, ListChange, Plan, ServerFault
from tests.soak.recording import Recorder

BACKLOG = 64
NORMAL_DELAY_S = (0.002, 0.03)
SLOW_DELAY_S = (0.3, 1.2)
EXIT_DELAY_S = 0.5
REPORT_S = 1.0
SERVERS_PER_BATCH = 20  # servers at which a fault begins or ends in one loop iteration
FRAGMENT_BYTES, FRAGMENT_INTERVAL_S = 7, 0.015  # an answer sent in fragments
FAULT_SHARE = 0.5  # fraction of set-ups affected while an answer fault is active
SILENT_FAULTS = ("hang", "cut", "vanish", "late_connect")
REFUSALS = {"full": Cause.FULL, "error": Cause.ERROR, "moot": Cause.NOT_EXECUTED}


class Connection:
    """A connection of the node to one server."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.reader = Reader()
        self.open: set[bytes] = set()  # set-ups without an answer
        self.used = time.time()
        self.is_closed = False
        self.is_forgotten = False  # the next received data is answered with a reset
        self.is_unusable = False  # a malformed answer was sent on it
        self.queued: list[bytes] | None = None  # messages queued behind an answer sent in fragments


class Server:
    """One server; it has at most one process at a time."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.address = address
        self.listener: socket.socket | None = None
        self.fillers: list[socket.socket] = []
        self.connections: dict[Connection, None] = {}
        self.playing: dict[bytes, Connection] = {}
        self.ended: dict[bytes, Cause] = {}  # ended sessions, released on each new connection
        self.deferred: list[tuple[Connection, bytes]] = []
        self.silent: set[int] = set()  # numbers of the faults that keep it silent
        self.answer_faults: dict[int, str] = {}


class ServerFleet:
    """All servers as seen by one node."""

    def __init__(self, plan: Plan, node: int, record: Recorder) -> None:
        self.plan = plan
        self.node = node
        self.record = record
        self.rng = Random(plan.seed * 1000 + node)
        self.loop = Loop()
        self.servers: dict[str, Server] = {}
        for index in range(plan.servers):
            self.start(plan.server_name(index), index)
        self.removed = {change.name: change.at for change in plan.changes if change.health == "removed"}
        for change in plan.changes:
            self._schedule(change)
        for number, fault in enumerate(plan.faults):
            if node in fault.nodes:
                self.loop.at(plan.start + fault.at, lambda n=number, f=fault: self.begin_fault(n, f))
                self.loop.at(plan.start + fault.until, lambda n=number, f=fault: self.end_fault(n, f))

    def _schedule(self, change: ListChange) -> None:
        if change.health == "up" and change.name not in self.servers:
            when = self.plan.start + (change.born or change.at)
            self.loop.at(when, lambda: self.start(change.name, change.slot))
        elif change.health == "removed":
            when = self.plan.start + change.at + EXIT_DELAY_S
            self.loop.at(when, lambda: self.stop(change.name))

    def start(self, name: str, slot: int) -> None:
        """Start the process of a server."""
        server = self.servers[name] = Server(name, self.plan.server_address(self.node, slot))
        self._listen(server)

    def _listen(self, server: Server) -> None:
        listener = server.listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(server.address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        self.loop.watch(listener, lambda: self._accept(server))

    def stop(self, name: str) -> None:
        """Stop the process of a server: reset its connections, cut its sessions, refuse new connections."""
        server = self.servers.get(name)
        if server is None or server.listener is None:
            return
        for session in [*server.playing, *server.ended]:
            self.record("cut", server=name, session=session.hex())
        server.playing.clear()
        server.ended.clear()
        server.deferred.clear()
        server.silent.clear()
        for connection in list(server.connections):
            self.close(connection, is_reset=True)
        self._drop_fillers(server)
        self.loop.unwatch(server.listener)
        server.listener.close()
        server.listener = None

    def begin_fault(self, number: int, fault: ServerFault) -> None:
        """Begin a fault."""
        self.record("fault", kind=fault.kind, servers=len(fault.servers), until=fault.until)
        self._in_batches(fault.servers, lambda name: self._begin_on_server(name, number, fault))

    def _in_batches(self, names: list[str], action: Callable[[str], None]) -> None:
        """Apply an action to a few servers per loop iteration.

        A longer iteration would record the events read after it with too late a time.
        """
        for name in names[:SERVERS_PER_BATCH]:
            action(name)
        rest = names[SERVERS_PER_BATCH:]
        if rest:
            self.loop.after(0.0, lambda: self._in_batches(rest, action))

    def _begin_on_server(self, name: str, number: int, fault: ServerFault) -> None:
        server = self.servers.get(name)
        if server is not None and server.listener is not None:
            if fault.kind in ("die", "restart"):
                self.stop(name)
            elif fault.kind in SILENT_FAULTS:
                self._silence(server, number, fault.kind)
            elif fault.kind == "reset":
                for connection in list(server.connections):
                    self.close(connection, is_reset=True)
            else:
                server.answer_faults[number] = fault.kind

    def end_fault(self, number: int, fault: ServerFault) -> None:
        """End a fault; a crashed process is restarted, a vanished machine stays unreachable."""
        self._in_batches(fault.servers, lambda name: self._end_on_server(name, number, fault))

    def _end_on_server(self, name: str, number: int, fault: ServerFault) -> None:
        server = self.servers.get(name)
        if server is not None:
            server.answer_faults.pop(number, None)
            if fault.kind in ("die", "restart") and server.listener is None and not self._is_removed(name):
                self.record("restarted", server=name)
                self._listen(server)
            elif fault.kind != "vanish" and number in server.silent:
                server.silent.discard(number)
                if not server.silent:
                    self._resume(server)

    def _is_removed(self, name: str) -> bool:
        return self.removed.get(name, math.inf) <= time.time() - self.plan.start

    def _silence(self, server: Server, number: int, kind: str) -> None:
        """Stop reading and sending; unless the fault is a hang, new connections are not completed either."""
        server.silent.add(number)
        self.record("silent", server=server.name)
        assert server.listener is not None
        self.loop.unwatch(server.listener)
        if kind != "late_connect":
            for connection in server.connections:
                self.loop.unwatch(connection.sock)
        if kind == "vanish":
            for session in [*server.playing, *server.ended]:
                self.record("cut", server=server.name, session=session.hex())
            server.playing.clear()
            server.ended.clear()
        if kind != "hang" and not server.fillers:
            self._accept(server)
            server.listener.listen(0)
            for _ in range(2):  # the accept queue of a listener with a backlog of 0 holds one connection
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(server.address)
                server.fillers.append(filler)

    def _drop_fillers(self, server: Server) -> None:
        for filler in server.fillers:
            reset(filler)
        server.fillers.clear()

    def _resume(self, server: Server) -> None:
        self.record("resumed", server=server.name)
        self._drop_fillers(server)
        assert server.listener is not None
        server.listener.listen(BACKLOG)
        self.loop.watch(server.listener, lambda: self._accept(server))
        for connection in server.connections:
            self.loop.unwatch(connection.sock)
            self.loop.watch(connection.sock, lambda c=connection: self._read(c))
        deferred, server.deferred = server.deferred, []
        for connection, data in deferred:
            self._transmit(connection, data)

    def _accept(self, server: Server) -> None:
        while server.listener is not None:
            try:
                sock, _ = server.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(server, sock)
            server.connections[connection] = None
            self.record("connected", server=server.name)
            self.loop.watch(sock, lambda c=connection: self._read(c))
            for session, cause in list(server.ended.items()):
                if self._is_open(connection):
                    self._send_release(connection, session, cause)

    def _read(self, connection: Connection) -> None:
        if connection.is_forgotten or any(
            kind == "reset_unread" and self.rng.random() < FAULT_SHARE
            for kind in connection.server.answer_faults.values()
        ):
            self.close(connection, is_reset=True)
            return
        try:
            data = connection.sock.recv(16_384)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(connection)
            return
        connection.used = time.time()
        connection.reader.feed(data)
        try:
            while not connection.is_closed and (message := connection.reader.next()) is not None:
                self._on_message(connection, message)
        except ProtocolError:
            self.close(connection)

    def _on_message(self, connection: Connection, message: Message) -> None:
        server = connection.server
        if message.kind is MessageKind.KEEPALIVE:
            self.send(
                connection,
                writer.message(MessageKind.KEEPALIVE_ANSWER, message.session, (Parameter.CAUSE, b"\1")),
            )
        elif message.kind is MessageKind.SET_UP:
            self._on_set_up(connection, message)
        elif message.kind is MessageKind.RELEASE and message.session in connection.open:
            connection.open.discard(message.session)
            self.record("given_up", server=server.name, session=message.session.hex())
        elif message.kind is MessageKind.RELEASE:
            if server.playing.pop(message.session, None) is not None:
                self.record("released_by_node", server=server.name, session=message.session.hex())
            server.ended.pop(message.session, None)

    def _on_set_up(self, connection: Connection, message: Message) -> None:
        server = connection.server
        wait_s = int(message.text(Parameter.TIMEOUT_MS)) / 1000
        self.record(
            "set_up",
            server=server.name,
            session=message.session.hex(),
            service_class=message.text(Parameter.SERVICE_CLASS),
            wait=wait_s,
        )
        connection.open.add(message.session)
        kinds = [kind for kind in server.answer_faults.values() if self.rng.random() < FAULT_SHARE]
        kind = kinds[-1] if kinds else ""
        delay = self.rng.uniform(*(SLOW_DELAY_S if kind == "slow" else NORMAL_DELAY_S))
        self.loop.after(delay, lambda: self._answer(connection, message, kind))

    def _answer(self, connection: Connection, message: Message, kind: str) -> None:
        """Answer a set-up according to the fault drawn for it."""
        server, session = connection.server, message.session
        if connection.is_closed or session not in connection.open:
            return
        if kind == "reset_under_request" or (kind == "never" and self.rng.random() < 0.3):
            self.close(connection, is_reset=True)
            return
        if kind == "never" or connection.is_unusable:
            return
        if kind in REFUSALS:
            connection.open.discard(session)
            self.record("refused", server=server.name, session=session.hex(), kind=kind)
            self.send(connection, writer.release(session, REFUSALS[kind]))
            return
        description = f"{server.name};{session.hex()};{self.rng.randrange(1 << 30):x}".encode()
        answer = writer.message(MessageKind.ANSWER, session, (Parameter.DESCRIPTION, description))
        if kind in ("noise", "truncated", "half", "huge"):
            self._send_malformed(connection, session, answer, kind)
            return
        connection.open.discard(session)
        server.playing[session] = connection
        self.record("answered", server=server.name, session=session.hex(), description=description.decode())
        if kind == "ahead":
            answer = (
                writer.message(MessageKind.ANSWER, bytes(8), (Parameter.DESCRIPTION, b"unknown")) + answer
            )
        if kind == "drip":
            self._send_in_pieces(connection, answer)
        elif kind == "bytes":
            for i in range(len(answer)):
                self.send(connection, answer[i : i + 1])
        else:
            self.send(connection, answer)
        if kind == "double":
            self.loop.after(0.003, lambda: self.send(connection, answer))
        if kind == "close_after_answer":
            self.loop.after(0.001, lambda: self.close(connection, is_reset=self.rng.random() < 0.5))
        self.loop.after(
            self.rng.expovariate(1 / self.plan.play_mean_s), lambda: self._end_session(server, session)
        )
        self.loop.after(self.rng.random() * REPORT_S, lambda: self._report_load(server, session))

    def _send_in_pieces(self, connection: Connection, answer: bytes) -> None:
        """Send an answer in fragments; other messages are queued behind it."""
        parts = [answer[at : at + FRAGMENT_BYTES] for at in range(0, len(answer), FRAGMENT_BYTES)]
        connection.queued = []

        def send_next() -> None:
            self._transmit(connection, parts.pop(0))
            if parts:
                self.loop.after(FRAGMENT_INTERVAL_S, send_next)
                return
            queued, connection.queued = connection.queued or [], None
            for each in queued:
                self.send(connection, each)

        send_next()

    def _report_load(self, server: Server, session: bytes) -> None:
        """Report the load of the server's link and of its rack's uplink, sometimes above their capacity."""
        connection = server.playing.get(session)
        if connection is None or connection.is_closed or connection.is_unusable:
            return
        for name in (b"nic", b"tor", b"quality"):
            value = b"%.2f" % self.rng.choice((0.3, 0.6, 0.9, 1.2))
            report = writer.message(
                MessageKind.SESSION_REPORT,
                session,
                (Parameter.REPORT_NAME, name),
                (Parameter.REPORT_VALUE, value),
            )
            self.send(connection, report)
        self.loop.after(REPORT_S, lambda: self._report_load(server, session))

    def _send_malformed(self, connection: Connection, session: bytes, answer: bytes, kind: str) -> None:
        """Send a malformed answer; the request was executed, and its session is lost."""
        connection.is_unusable = True
        self.record("spoilt", server=connection.server.name, session=session.hex(), kind=kind)
        malformed = {
            "noise": self.rng.randbytes(60),
            "truncated": answer[:-5],
            "half": answer[: len(answer) // 2],
            "huge": b"\xff\xf0" + answer[2:] * 4,
        }[kind]
        self.send(connection, malformed)
        if kind == "truncated":
            self.close(connection)

    def _end_session(self, server: Server, session: bytes) -> None:
        if session not in server.playing:
            return
        if server.silent:  # a hung or unreachable process reports the end later
            self.loop.after(0.2, lambda: self._end_session(server, session))
            return
        connection = server.playing.pop(session)
        cause = self.rng.choice((Cause.OK, Cause.OK, Cause.RESET))
        self.record("over", server=server.name, session=session.hex())
        server.ended[session] = cause
        if not self._is_open(connection):
            usable = (
                each for each in list(server.connections) if not each.is_unusable and self._is_open(each)
            )
            connection = next(usable, connection)
        if not connection.is_closed:
            self._send_release(connection, session, cause)

    def _is_open(self, connection: Connection) -> bool:
        """Whether the connection is open; the node may have closed it while the server was silent."""
        if connection.is_closed:
            return False
        try:
            is_ended = connection.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return True
        except OSError:
            is_ended = True
        if is_ended:
            self.close(connection)
        return not is_ended

    def _send_release(self, connection: Connection, session: bytes, cause: Cause) -> None:
        # Behind a malformed answer nothing can be read, so it counts as a release that could not be sent.
        event = "release_unreadable" if connection.is_unusable else "release_sent"
        self.record(event, server=connection.server.name, session=session.hex())
        self.send(connection, writer.release(session, cause))
        if not connection.is_closed:
            # The release is repeated on new connections for 10 s.
            self.loop.after(10.0, lambda: connection.server.ended.pop(session, None))

    def send(self, connection: Connection, data: bytes) -> None:
        if connection.queued is None:
            self._transmit(connection, data)
        else:
            connection.queued.append(data)

    def _transmit(self, connection: Connection, data: bytes) -> None:
        if connection.server.silent:
            connection.server.deferred.append((connection, data))
        elif not connection.is_closed:
            try:
                connection.sock.send(data)
            except OSError:
                self.close(connection)

    def close(self, connection: Connection, is_reset: bool = False) -> None:
        if connection.is_closed:
            return
        connection.is_closed = True
        connection.server.connections.pop(connection, None)
        for session in connection.open:
            self.record("given_up", server=connection.server.name, session=session.hex())
        connection.open.clear()
        self.loop.unwatch(connection.sock)
        if is_reset:
            reset(connection.sock)
        else:
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
            connection.sock.close()

    def close_idle(self) -> None:
        """Close, reset or forget connections after the configured idle time."""
        oldest = time.time() - IDLE_TIMEOUT_S
        for server in self.servers.values():
            for connection in list(server.connections):
                if connection.open or connection.used > oldest or server.silent:
                    continue
                if self.plan.idle_policy == "forget":
                    connection.is_forgotten = True
                else:
                    self.close(connection, is_reset=self.plan.idle_policy == "reset")
        self.record.flush()
        self.loop.after(0.25, self.close_idle)


def main(folder: Path, node: int) -> None:
    plan = Plan.load(folder / "plan.json")
    record = Recorder(folder / f"servers-{node}.rec", f"servers-{node}")
    fleet = ServerFleet(plan, node, record)
    fleet.close_idle()
    (folder / f"servers-{node}.ready").touch()
    fleet.loop.run(plan.start + plan.duration + 60)


if __name__ == "__main__":
    main(Path(sys.argv[1]), int(sys.argv[2]))
