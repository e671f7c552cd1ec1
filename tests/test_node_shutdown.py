"""Starts, ends and restarts of front nodes, with signals at the moments that hurt."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.isup.messages import MessageKind
from fennelcove.log import silent
from fennelcove.node import config, session_manager
from fennelcove.node.client_connection import ClientConnection
from fennelcove.node.model import Session

from tests.node_harness import (
    SETTINGS,
    Caller,
    NodeRig,
    ServerMessage,
    StandInBoard,
    StandInServer,
    answered,
    eventually,
    notice,
    reserved,
    rtsp,
    rtsp_writer,
)
from tests.node_process_control import BRIEF_STAY_S, Gate, Rig, blocked, options, over, run

# Stands in for a module of the standard library that the node imports and the interpreter's own start does
# not: held at the gate, the process is in the middle of its imports.
SLOW_MODULE = """
import importlib.util, sys, sysconfig
with open({gate!r}) as held:
    held.read()
found = importlib.util.spec_from_file_location("heapq", sysconfig.get_path("stdlib") + "/heapq.py")
real = importlib.util.module_from_spec(found)
found.loader.exec_module(real)
sys.modules["heapq"] = real
"""


class StartTest(unittest.TestCase):
    """A signal while a node starts: by its default action a SIGHUP was the end of it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "config.json"
        server = StandInServer("s0", 0)
        self.board = StandInBoard([notice(1, [server.row], whole=True)])
        place, self.address = reserved()
        self.addCleanup(place.close)
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "board": self.board.address,
            "known": {"rev": 1, "notices": list(self.board.notices)},
            "settings": SETTINGS,
        }

    def start(self, **environment: str) -> subprocess.Popen[str]:
        process = run(self.path, **environment)
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def passes(self, process: subprocess.Popen[str]) -> bool:
        assert process.poll() is None, "the process has ended"
        try:
            caller = Caller(self.address)
        except OSError:
            return False
        with caller.sock:
            caller.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
            return caller.answer().status == 200

    def in_imports(self) -> tuple[subprocess.Popen[str], Gate, int]:
        gate = Gate(self.folder / "gate")
        (self.folder / "heapq.py").write_text(SLOW_MODULE.format(gate=str(gate.path)))
        process = self.start(PYTHONPATH=str(self.folder))
        return process, gate, gate.held()

    def test_sighup_in_the_read_of_the_configuration_reads_it_again(self) -> None:
        gate = Gate(self.path)
        process = self.start()
        held = gate.held()
        process.send_signal(signal.SIGHUP)
        gate.renew()
        gate.let(held, json.dumps(self.config))
        other = StandInBoard(self.board.notices)
        again = gate.held()  # it has opened the file once more
        gate.let(again, json.dumps({**self.config, "board": other.address}))
        eventually(lambda: other.polls > 2, "polls at the board that the second reading named")
        eventually(lambda: self.passes(process), "a test that passes")

    def test_sighup_in_the_imports_is_kept_for_later(self) -> None:
        self.path.write_text(json.dumps(self.config))
        process, gate, held = self.in_imports()
        assert blocked(process.pid) == {signal.SIGHUP}
        process.send_signal(signal.SIGHUP)
        gate.let(held, "")
        eventually(lambda: self.passes(process), "a test that passes")

    def test_sigterm_before_it_listens_ends_it_at_once_and_in_order(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest("imports", number=number):
                self.path.unlink(missing_ok=True)
                self.path.write_text(json.dumps(self.config))
                process, _, held = self.in_imports()
                process.send_signal(number)
                assert process.wait(20) == 0
                os.close(held)
            with self.subTest("configuration", number=number):
                gate = Gate(self.path)
                process = self.start()
                held = gate.held()
                process.send_signal(number)  # nothing is written: it must not wait for the file
                assert process.wait(20) == 0
                os.close(held)

    def test_several_that_start_together_are_all_ready_in_time(self) -> None:
        until = time.monotonic() + 30  # what the page gives each; it only bounds a failure
        made: list[Rig] = []
        starts = [threading.Thread(target=lambda: made.append(Rig(StandInServer("s0", 0)))) for _ in range(8)]
        for start in starts:
            start.start()
        for start in starts:
            start.join(until - time.monotonic())
        for rig in made:
            self.addCleanup(rig.close)
        assert [rig.test() for rig in made] == [200] * len(starts)


# The machine is out of threads for the first few that the node begins.
THREADLESS = """
import sys, threading
from fennelcove.node import program

start, left = threading.Thread.start, [3]

def refused(thread):
    if left[0]:
        left[0] -= 1
        raise RuntimeError("can't start new thread")
    start(thread)

threading.Thread.start = refused
sys.exit(program.main())
"""


class ThreadsTest(unittest.TestCase):
    def test_a_start_waits_for_threads_that_the_machine_has_not_got(self) -> None:
        # Of a fleet that restarted on a full machine one process ended with status 1, which is a crash.
        rig = NodeRig(StandInServer("s0", 0), command=[sys.executable, "-c", THREADLESS])
        self.addCleanup(rig.close)
        viewer = rig.caller()
        viewer.set_up("9b1f03aa5c7e2d41")
        assert viewer.answer().status == 200


class LogTest(unittest.TestCase):
    def test_a_log_that_takes_nothing_ends_nothing(self) -> None:
        # Every thread writes there: the main one ended by it, and the one that reads files.
        server = StandInServer("s0", 0)
        rig = NodeRig(
            server, command=["/bin/sh", "-c", f"exec {sys.executable} -m fennelcove.node > /dev/full"]
        )
        self.addCleanup(rig.close)
        good = rig.path.read_text()
        rig.path.write_text("{")
        rig.signal(signal.SIGHUP)
        board = StandInBoard(rig.board.notices)
        rig.path.write_text(good.replace(rig.board.address, board.address))
        rig.signal(signal.SIGHUP)
        eventually(lambda: board.polls, "a poll at the new board")
        viewer = rig.caller()
        viewer.set_up("9b1f03aa5c7e2d41")
        assert viewer.answer().status == 200
        rig.signal(signal.SIGTERM)
        assert rig.process.wait(60) == 0


class StopTest(unittest.TestCase):
    """From SIGTERM to the end of the process."""

    def rig(self, *servers: StandInServer) -> Rig:
        made = Rig(*servers)
        self.addCleanup(made.close)
        return made

    def test_sigterm_is_heeded_while_a_new_file_is_read(self) -> None:
        rig = self.rig(StandInServer("s0", 0))
        caller = rig.caller()
        assert options(caller) == 200
        rig.path.unlink()
        gate = Gate(rig.path)
        rig.signal(signal.SIGHUP)
        held = gate.held()  # the node is in the middle of reading, and nothing comes
        self.addCleanup(os.close, held)
        rig.signal(signal.SIGTERM)
        eventually(lambda: rig.told("shutdown_started"), "the log's word of the signal")
        # On a connection that stays open as on a new one.
        assert (options(caller), rig.test()) == (503, 503)
        assert rig.process.wait(20) == 0

    def test_all_that_the_kernel_took_in_before_the_end_is_answered_once(self) -> None:
        # Stopped until its stay is over, the process finds it all at the same moment as its own end.
        server = StandInServer("s0", 0, lambda message: b"")  # a set-up sent there stays out
        rig = self.rig(server)
        callers = [rig.caller() for _ in range(8)]
        for caller in callers:
            assert options(caller) == 200
        since = time.monotonic()
        rig.signal(signal.SIGTERM)
        eventually(lambda: rig.told("shutdown_started"), "the log's word of the signal")
        rig.freeze()
        callers += [rig.caller() for _ in range(8)]  # these stay in the listener's backlog
        for number, caller in enumerate(callers, 1):
            caller.set_up(f"{number:016x}")
            caller.send(rtsp_writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
        over(since, BRIEF_STAY_S)
        rig.signal(signal.SIGCONT)
        told = []
        for number, caller in enumerate(callers, 1):
            answers = []
            while (message := caller.next()) is not None:
                assert isinstance(message, rtsp.Response)
                answers.append((message.fields.get("session"), message.status))
            told.append((number, sorted(answers, key=lambda answer: answer[0] or "")))
        refused = [
            (number, [(None, 503), (f"{number:016x}", status)])
            for number, status in ((number, dict(answers).get(f"{number:016x}")) for number, answers in told)
            if status in (453, 500)
        ]
        assert told == refused
        assert rig.process.wait(20) == 0


class LastAnswerTest(unittest.TestCase):
    """A set-up that is heard after the node has given its last answers."""

    def setUp(self) -> None:
        clock = SystemClock()
        self.server = StandInServer("s0", 0, lambda message: b"")
        first = notice(1, [self.server.row], whole=True)
        tree = {"listen": "127.0.0.1:1", "board": "127.0.0.1:2", "settings": SETTINGS}
        made = config.parse({**tree, "known": {"rev": 1, "notices": [first]}})
        self.desk = session_manager.SessionManager(made, clock, Timers(clock), silent)
        for told in made.initial_batch.events:
            self.desk.on_discovery_event(told)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.caller = Caller(listener.getsockname())
            self.sock, _ = listener.accept()
        self.addCleanup(self.caller.sock.close)
        self.viewer = ClientConnection(self.desk, self.sock, "127.0.0.1")
        self.desk.connections.add(self.viewer)
        threading.Thread(target=self.viewer.run, daemon=True).start()

    def unread(self) -> int:
        return struct.unpack("i", fcntl.ioctl(self.sock, termios.FIONREAD, bytes(4)))[0]

    def test_what_was_read_but_waits_for_the_lock_is_refused_at_once(self) -> None:
        with self.desk.lock:
            self.caller.set_up("9b1f03aa5c7e2d41")  # on loopback it is in the other end's buffer on return
            eventually(lambda: self.unread() == 0, "the thread's read")
            assert self.desk.shut_down() == 0
            # As at the node's own end: that its read side is shut is no sign that the viewer has left.
            self.viewer.finish_reading()
        self.caller.sock.settimeout(5)
        answer = self.caller.answer()
        assert (answer.status, answer.fields["come-back-ms"]) == (453, "500")
        with self.desk.lock:
            assert (self.desk.sessions, self.server.of(MessageKind.SET_UP)) == ({}, [])

    def test_what_was_never_sent_may_come_again_and_nobody_knows_of_the_rest(self) -> None:
        told = []
        with self.desk.lock:
            for joins in (0, 1):
                id = bytes([joins]) * 8
                sub = Session(id, id.hex(), "1", "recorded", "7f", b"", self.viewer, "127.0.0.1")
                sub.attempts = joins
                self.desk.sessions[id] = sub
                self.viewer.open_sessions[sub] = None
            assert self.desk.shut_down() == 2
        self.caller.sock.settimeout(5)
        for _ in range(2):
            answer = self.caller.answer()
            told.append((answer.fields["session"], answer.status, answer.fields.get("come-back-ms")))
        assert told == [("00" * 8, 453, "500"), ("01" * 8, 500, None)]
        assert self.desk.sessions == {}


class RestartTest(unittest.TestCase):
    """One process ends and the next begins at its address."""

    def test_a_set_up_in_flight_has_one_answer_and_the_next_process_serves(self) -> None:
        held: list[ServerMessage] = []

        def reply(message: ServerMessage) -> bytes:
            held.append(message)
            return b"" if len(held) <= 2 else answered(message)

        server = StandInServer("s0", 0, reply)
        rig = Rig(server)
        self.addCleanup(rig.close)
        served, cut = rig.caller(), rig.caller()
        served.set_up("00000000000000a1")
        eventually(lambda: len(held) == 1, "the first set-up at the server")
        cut.set_up("00000000000000a2")
        eventually(lambda: len(held) == 2, "the second")
        rig.signal(signal.SIGTERM)
        eventually(lambda: rig.told("shutdown_started"), "the log's word of the signal")
        server.sockets[0].sendall(answered(held[0]))
        got = [served.answer(), cut.answer()]
        told = [(answer.fields["session"], answer.status) for answer in got]
        assert told == [("00000000000000a1", 200), ("00000000000000a2", 500)]
        assert (served.next(), cut.next()) == (None, None)  # no second one: its end
        assert rig.process.wait(20) == 0
        rig.begin_again()
        viewer = rig.caller()
        viewer.set_up("00000000000000a3")
        assert viewer.answer().status == 200
        assert [message.session.hex()[-2:] for message in server.of(MessageKind.SET_UP)] == ["a1", "a2", "a3"]
