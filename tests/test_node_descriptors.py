"""The account of descriptors: what each use may hold, from the opening of each to its close."""

from __future__ import annotations

import json
import mmap
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from unittest import mock

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.interface import Outcome
from fennelcove.isup import writer as isup
from fennelcove.isup.messages import Cause, MessageKind, Parameter
from fennelcove.isup.messages import Message as ServerMessage
from fennelcove.log import silent
from fennelcove.node import config, program
from fennelcove.node.client_connection import EVICTION_GRACE_US, ClientConnection
from fennelcove.node.model import ConnectionState
from fennelcove.node.server_connection import ServerConnection
from fennelcove.node.session_manager import SessionManager
from fennelcove.rtsp import writer as rtsp_writer

from tests.node_harness import (
    WAIT_S,
    Caller,
    NodeRig,
    StandInBoard,
    StandInServer,
    answered,
    eventually,
    notice,
    released,
)
from tests.test_node_session_manager import TREE

LEAST = 32  # the smallest limit that a configuration may name
HELD_S = 0.5  # for how long what must not happen is watched for


def ids(count: int, first: int = 1) -> list[str]:
    return [f"{number:016x}" for number in range(first, first + count)]


class Process(NodeRig):
    """A node whose log is kept and whose descriptors are watched; `limit` is the process's own, if any."""

    def __init__(self, *servers: StandInServer, sockets: int, limit: int | None = None) -> None:
        self.log_folder = tempfile.TemporaryDirectory()
        self.log = Path(self.log_folder.name) / "log"
        own = f"ulimit -n {limit}; " if limit else ""
        start = f"{own}FENNELCOVE_TRACE=100 exec {sys.executable} -m fennelcove.node > {self.log}"
        super().__init__(*servers, sockets=sockets, command=["/bin/sh", "-c", start])
        self.highest, self.watched = 0, True
        self.watcher = threading.Thread(target=self._watch)
        self.watcher.start()

    def lines(self, event: str) -> list[dict[str, Any]]:
        raw = self.log.read_text().rpartition("\n")[0]
        return [told for line in raw.splitlines() if (told := json.loads(line))["event"] == event]

    def held(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _watch(self) -> None:
        while self.watched:
            self.highest = max(self.highest, self.held())
            time.sleep(0.002)

    def move(self, board: str) -> None:
        """A new configuration names this board."""
        before = len(self.lines("config_reloaded"))
        self.config["board"] = board
        self.write()
        self.signal(signal.SIGHUP)
        eventually(lambda: len(self.lines("config_reloaded")) > before, "the new configuration read")

    def close(self) -> None:
        self.watched = False
        self.watcher.join()
        super().close()
        self.log_folder.cleanup()


def nowhere() -> str:
    """An address at which nobody listens."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return f"127.0.0.1:{free.getsockname()[1]}"


def gone(caller: Caller) -> bool:
    """Whether the node has closed it."""
    caller.sock.setblocking(False)
    try:
        return not caller.sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except ConnectionResetError:
        return True
    finally:
        caller.sock.settimeout(WAIT_S)


def program_of(tree: dict[str, Any]) -> program.NodeProgram:
    """A node in this process; nothing of it runs."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(tree))
        return program.NodeProgram(str(path))


class Rigged(unittest.TestCase):
    def process(self, *servers: StandInServer, sockets: int, limit: int | None = None) -> Process:
        made = Process(*servers, sockets=sockets, limit=limit)
        self.addCleanup(made.close)
        return made

    def caller(self, rig: NodeRig) -> Caller:
        made = rig.caller()
        self.addCleanup(made.sock.close)
        return made


class CloseTest(Rigged):
    """What is shut down is still held until its thread has closed it."""

    def test_a_link_is_not_dialled_before_the_one_that_went_for_it_is_closed(self) -> None:
        server = StandInServer("s0", 0)
        self.addCleanup(server.listener.close)
        tree = {**TREE, "limits": {"sockets": LEAST}}
        tree["known"] = {"rev": 1, "notices": [notice(1, [server.row], whole=True)]}
        clock = SystemClock()
        desk = SessionManager(config.parse(tree), clock, Timers(clock), silent)
        with desk.lock:
            for told in desk.config.initial_batch.events:
                desk.on_discovery_event(told)
            row = desk.servers["s0"]
            for _ in range(desk.max_server_connections):
                ServerConnection(desk, row).start()
        eventually(
            lambda: [link.state for link in row.links]
            == [ConnectionState.OPEN] * desk.max_server_connections,
            "links",
        )
        eventually(lambda: len(server.sockets) == desk.max_server_connections, "the server's ends")
        # A closed link's thread needs the lock before its descriptor goes: held here, it can't.
        with desk.lock:
            desk.close_idle_connection()
            ServerConnection(desk, row).start()
            time.sleep(HELD_S)
            assert len(server.sockets) == desk.max_server_connections, "dialled beside one not yet closed"
        eventually(
            lambda: len(server.sockets) == desk.max_server_connections + 1, "the dial, once there is room"
        )
        with desk.lock:
            for link in list(row.links):
                link.close(Outcome.CONNECTION_LOST)

    def test_a_client_is_not_taken_in_before_the_one_that_went_for_it_is_closed(self) -> None:
        made = program_of({**TREE, "limits": {"sockets": LEAST}})
        self.addCleanup(made.listener.sock.close)
        threads: list[Callable[[], None]] = []  # that read connections; each is run only when told
        most = made.manager.connections.max_connections
        real = threading.Thread

        def thread(target: Callable[[], None], name: str = "", daemon: bool = True) -> Any:
            made_thread = real(target=target, name=name, daemon=daemon)
            if name != "client":
                return made_thread
            threads.append(target)
            return mock.Mock()

        def take() -> None:
            near, far = socket.socketpair()
            self.addCleanup(far.close)
            with mock.patch.object(socket.socket, "setsockopt"):
                made.listener.admit(near, "127.0.0.1")

        with mock.patch.object(threading, "Thread", thread):
            for _ in range(most):
                take()
            assert len(threads) == most
            last = real(target=take)
            last.start()
            last.join(HELD_S)
            assert len(threads) == most, "taken in beside one not yet closed"
            threads[0]()  # the one that was shut for it: its thread closes it
            last.join()
            assert len(threads) == most + 1
        for viewer in list(made.manager.connections.connections):
            viewer.disconnect()
            viewer.run()


class RoomTest(Rigged):
    """Clients that hold their connections leave everything else its descriptors."""

    def test_a_health_test_is_answered_with_the_clients_part_busy(self) -> None:
        # A new connection was closed with no answer, and the platform took the process for dead.
        server = StandInServer("s0", 0)
        rig = self.process(server, sockets=LEAST, limit=LEAST)
        callers, statuses = list[Caller](), list[int]()
        for id in ids(LEAST):
            callers.append(self.caller(rig))
            callers[-1].set_up(id)
            answer = callers[-1].answer()
            statuses.append(answer.status)
            if answer.status != 200:
                assert (answer.status, answer.fields["come-back-ms"]) == (503, "500")
            assert rig.test() == 200
        assert statuses.count(200) >= LEAST // 3  # so much the pages let clients hold
        assert len(server.of(MessageKind.SET_UP)) == statuses.count(200)
        callers[0].tear_down(ids(1)[0])
        assert callers[0].answer().status == 200
        caller = self.caller(rig)
        caller.set_up(ids(1, 1000)[0])
        assert caller.answer().status == 200
        assert not rig.lines("accept_failed")
        assert rig.highest <= LEAST

    def test_a_limit_set_lower_meanwhile_costs_the_idle_and_fills_no_log(self) -> None:
        # Without a descriptor: a line in the log each 50 ms, and tests waited until an idle client left.
        rig = self.process(StandInServer("s0", 0), sockets=64)
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (14, 64))
        standing = self.caller(rig)
        standing.set_up(ids(1)[0])
        assert standing.answer().status == 200
        for _ in range(3):
            idle = [self.caller(rig) for _ in range(14)]
            assert rig.test() == 200
        assert idle
        eventually(lambda: rig.lines("accept_failed"), "the failure in the log")
        assert len(rig.lines("accept_failed")) <= 2
        standing.tear_down(ids(1)[0])
        assert standing.answer().status == 200

    def test_what_plays_already_is_held_past_the_clients_part(self) -> None:
        rig = self.process(StandInServer("s0", 0), sockets=LEAST, limit=LEAST)
        for id in ids(LEAST):
            self.caller(rig).set_up(id, routing="home:0;copies:4;top:2;at:s0")
        assert rig.test() == 200
        for id in ids(LEAST):
            caller = self.caller(rig)
            caller.tear_down(id)
            assert caller.answer().status == 200
            caller.sock.close()

    def test_idle_clients_leave_discovery_servers_health_and_configuration_theirs(self) -> None:
        held, other = f"{1:x}", f"{2:x}"

        def reply(message: ServerMessage) -> bytes:
            return b"" if message.text(Parameter.TITLE) == held else answered(message)

        first, second = StandInServer("s0", 0, reply), StandInServer("s1", 1)
        rig = self.process(first, sockets=LEAST, limit=LEAST)
        rig.move(nowhere())
        eventually(lambda: rig.lines("discovery_poll_failed"), "discovery that is down")
        busy = list[Caller]()
        for number, id in enumerate(ids(LEAST // 3)):  # so many connections the pages let clients hold
            busy.append(self.caller(rig))
            busy[-1].set_up(id, title=held if number < 5 else other, **{"Answer-Within": "60000"})
            if number >= 5:
                assert busy[-1].answer().status == 200
            eventually(lambda: len(first.of(MessageKind.SET_UP)) >= len(busy), "a set-up that is held open")
        for id in ids(LEAST, 100):  # past these: answered one way or the other, and held as well
            caller = self.caller(rig)
            caller.set_up(id, title=other)
            assert caller.answer().status in (200, 503)
        for _ in range(LEAST):  # they speak once and then hold their connections
            caller = self.caller(rig)
            caller.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
            assert caller.answer().status == 200
        mute = [self.caller(rig) for _ in range(300)]
        assert rig.test() == 200
        board = StandInBoard([*rig.board.notices, notice(2, [second.row])])
        rig.move(board.address)
        eventually(lambda: board.polls > 1, "polls at the new board")
        assert not [caller for caller in busy if gone(caller)]
        busy[-1].tear_down(ids(len(busy))[-1])
        assert busy[-1].answer().status == 200
        caller = self.caller(rig)
        caller.set_up(ids(1, 1000)[0], title=other)
        assert caller.answer().status == 200
        assert rig.test() == 200
        assert gone(mute[0])
        assert not rig.lines("accept_failed")
        assert rig.highest <= LEAST

    def test_whose_first_bytes_have_come_is_not_closed_for_room(self) -> None:
        made, far = self.program_full_of_silent()
        far[0].sendall(b"OPTIONS")  # the oldest; no thread has read it yet
        with made.manager.lock:
            assert made.manager.connections.add(self.fresh(made))
        far[0].setblocking(False)
        self.assertRaises(BlockingIOError, far[0].recv, 1)  # open yet
        assert far[1].recv(1) == b""

    def test_whose_message_is_in_hand_is_not_closed_for_room(self) -> None:
        # Its thread has read the bytes and waits for the lock: neither the kernel nor any table shows them.
        made, far = self.program_full_of_silent()
        first = next(iter(made.manager.connections.connections))
        far[0].sendall(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        eventually(lambda: first.has_unread_data, "a message that has come")
        reading = threading.Thread(target=first.run)
        with made.manager.lock:
            reading.start()
            eventually(lambda: not first.has_unread_data, "a message that has been read")
            made.manager.connections.add(self.fresh(made))
        assert far[0].recv(12) == b"RTSP/1.0 200"
        assert far[1].recv(1) == b""
        far[0].close()
        reading.join()

    def test_whose_message_is_on_its_way_out_of_the_kernel_is_not_closed_for_room(self) -> None:
        # Its thread has the bytes and waits inside recv for the interpreter, which who makes room holds.
        made, far = self.program_full_of_silent()
        first = next(iter(made.manager.connections.connections))
        reading = threading.Thread(target=first.run)
        reading.start()
        sender = (
            "import mmap, socket, sys\n"
            "flags = mmap.mmap(int(sys.argv[1]), 2)\n"
            "flags[0] = 1\n"
            "while flags[0] != 2: pass\n"
            "socket.socket(fileno=int(sys.argv[2])).sendall(sys.argv[3].encode())\n"
            "flags[1] = 1\n"
        )
        asked = rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")).decode()
        with tempfile.TemporaryFile() as file:
            file.truncate(2)
            flags = mmap.mmap(file.fileno(), 2)
            command = [sys.executable, "-c", sender, str(file.fileno()), str(far[0].fileno()), asked]
            child = subprocess.Popen(command, pass_fds=(file.fileno(), far[0].fileno()))
            eventually(lambda: flags[0] == 1, "a sender in a process of its own")
            fresh = self.fresh(made)
            self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
            sys.setswitchinterval(WAIT_S)
            with made.manager.lock:
                # From here on this thread keeps the interpreter, until it makes a call that may wait.
                flags[0] = 2
                while not flags[1]:
                    pass
                until = time.perf_counter() + HELD_S
                while time.perf_counter() < until:
                    pass
                made.manager.connections.add(fresh)
            sys.setswitchinterval(0.005)
            child.wait()
            flags.close()
        assert far[0].recv(12) == b"RTSP/1.0 200"
        assert far[1].recv(1) == b""
        far[0].close()
        reading.join()

    def test_who_has_only_just_come_is_given_time_to_speak(self) -> None:
        made, _ = self.program_full_of_silent()
        oldest = next(iter(made.manager.connections.connections))
        with made.manager.lock:
            for age_us, wait_us in (
                (0, EVICTION_GRACE_US),
                (EVICTION_GRACE_US, 0),
                (EVICTION_GRACE_US - 1, 1),
            ):
                assert made.manager.connections.admission_delay_us(oldest.accepted_us + age_us) == wait_us

    def fresh(self, made: program.NodeProgram) -> ClientConnection:
        """A connection that has just been accepted."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.enterContext(socket.create_connection(listener.getsockname()))
            viewer = ClientConnection(made.manager, listener.accept()[0], "127.0.0.1")
        self.addCleanup(viewer.descriptor.close)
        return viewer

    def program_full_of_silent(self) -> tuple[program.NodeProgram, list[socket.socket]]:
        """A node whose clients' part is taken by connections that no thread reads, and their other ends."""
        made, far = program_of({**TREE, "limits": {"sockets": LEAST}}), list[socket.socket]()
        self.addCleanup(made.listener.sock.close)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            for _ in range(made.manager.connections.max_connections):
                far.append(self.enterContext(socket.create_connection(listener.getsockname())))
                viewer = ClientConnection(made.manager, listener.accept()[0], "127.0.0.1")
                self.addCleanup(viewer.descriptor.close)
                with made.manager.lock:
                    assert made.manager.connections.add(viewer)
        return made, far


class Leaving(StandInServer):
    """Says on each connection that is opened that its session is over, as long as that may be unheard."""

    def __init__(self, name: str, cell: int, id: str) -> None:
        self.over = isup.release(bytes.fromhex(id), Cause.OK)
        super().__init__(name, cell)

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError):
            sock.sendall(self.over)
        super()._serve(sock)


class TurnsTest(Rigged):
    """Links that must be there for what stands."""

    def test_what_stands_at_more_servers_than_there_are_links_ends_for_its_viewers(self) -> None:
        kept, leaving = ids(LEAST // 2), ids(LEAST, 100)
        servers = [StandInServer(f"s{id}", number % 4) for number, id in enumerate(kept)]
        servers += [Leaving(f"s{id}", number % 4, id) for number, id in enumerate(leaving)]
        rig = self.process(*servers, sockets=LEAST)
        viewer = self.caller(rig)
        for id in kept + leaving:  # those that stay are named first: they would hold all links there are
            viewer.set_up(id, routing=f"home:0;copies:4;top:2;at:s{id}")
        told = [viewer.request() for _ in leaving]
        assert sorted(message.fields["session"] for message in told) == leaving
        other = self.caller(rig)
        other.set_up(ids(1, 1000)[0])
        assert other.answer().status == 200
        assert rig.highest <= LEAST


class AccountTest(Rigged):
    def test_what_gets_no_thread_is_closed_and_uncounted_once(self) -> None:
        made = program_of(TREE)
        self.addCleanup(made.listener.sock.close)
        before = made.manager.descriptors.counts_by_use()
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_connection(listener.getsockname()) as far,
            mock.patch.object(threading.Thread, "start", side_effect=RuntimeError("can't start new thread")),
        ):
            near, _ = listener.accept()
            made.listener.admit(near, "127.0.0.1")
            assert far.recv(1) == b""
            with made.manager.lock:
                for told in made.config.initial_batch.events:
                    made.manager.on_discovery_event(told)
                link = ServerConnection(made.manager, made.manager.servers["s0"])
                link.start()
                link.close(Outcome.CONNECTION_LOST)
        assert near.fileno() == -1
        assert made.manager.descriptors.counts_by_use() == before
        assert not (made.manager.server_connection_count or made.manager.connections.connections)

    def test_the_account_is_what_the_process_holds(self) -> None:
        # Breaks, evictions, moves and dials that fail: whatever is forgotten or counted twice stays for good.
        broken = StandInServer("s1", 1, lambda message: None)
        full = StandInServer("s2", 2, lambda message: released(message, Cause.FULL))
        gone = StandInServer("s3", 3)
        rig = self.process(StandInServer("s0", 0), broken, full, gone, sockets=64)
        gone.die()
        board = StandInBoard(list(rig.board.notices))
        for turn in range(4):
            mute = [self.caller(rig) for _ in range(60)]
            callers = [self.caller(rig) for _ in range(10)]
            for caller, id in zip(callers, ids(10, 100 * turn + 1), strict=True):
                caller.set_up(id)
            for caller in callers:
                caller.answer()
            rig.move(nowhere())
            rig.move(board.address)
            for caller in [*callers, *mute]:
                caller.sock.close()
        polled = board.polls
        eventually(lambda: board.polls > polled + 1, "polls at the new board")
        eventually(lambda: rig.lines("descriptors")[-1]["client"] == 0, "no client left")

        def agree() -> bool:
            """The account and the system say the same, on either side of a line of the trace."""
            before = rig.held()
            count = len(rig.lines("descriptors"))
            eventually(lambda: len(rig.lines("descriptors")) > count, "a line of the trace")
            return before == rig.lines("descriptors")[-1]["all"] == rig.held()

        eventually(agree, "an account that is what the process holds")
        assert all(agree() for _ in range(3))
        assert rig.highest <= 64
