"""Starts, ends and restarts of front nodes, with signals at the moments that hurt."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tests.nodeprocess import Gate, Rig, blocked, options, run
from tests.noderig import SETTINGS, Caller, StandInBoard, StandInServer, eventually, notice, rtsp_writer

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
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address: tuple[str, int] = ("127.0.0.1", free.getsockname()[1])
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
        self.assertIsNone(process.poll(), "the process has ended")
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
        self.assertEqual(blocked(process.pid), {signal.SIGHUP})
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
                self.assertEqual(process.wait(20), 0)
                os.close(held)
            with self.subTest("configuration", number=number):
                gate = Gate(self.path)
                process = self.start()
                held = gate.held()
                process.send_signal(number)  # nothing is written: it must not wait for the file
                self.assertEqual(process.wait(20), 0)
                os.close(held)


class StopTest(unittest.TestCase):
    """From SIGTERM to the end of the process."""

    def rig(self, *servers: StandInServer) -> Rig:
        made = Rig(*servers)
        self.addCleanup(made.close)
        return made

    def test_sigterm_is_heeded_while_a_new_file_is_read(self) -> None:
        rig = self.rig(StandInServer("s0", 0))
        caller = rig.caller()
        self.assertEqual(options(caller), 200)
        rig.path.unlink()
        gate = Gate(rig.path)
        rig.signal(signal.SIGHUP)
        held = gate.held()  # the node is in the middle of reading, and nothing comes
        self.addCleanup(os.close, held)
        rig.signal(signal.SIGTERM)
        eventually(lambda: rig.told("stopping"), "the log's word of the signal")
        # On a connection that stays open as on a new one.
        self.assertEqual((options(caller), rig.test()), (503, 503))
        self.assertEqual(rig.process.wait(20), 0)
