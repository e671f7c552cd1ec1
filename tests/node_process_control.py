"""Front nodes as processes that are held at a step: reading their file, importing, staying after SIGTERM."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from fennelcove.rtsp import writer

from tests.node_harness import SETTINGS, Caller, NodeRig, StandInServer, eventually

# The longest client timeout sets how long a node stays after SIGTERM: a short one, for a short test.
BRIEF: dict[str, Any] = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "HardLimitMs": 500}]}
BRIEF_STAY_S = 1.0


class Rig(NodeRig):
    """A rig whose node stays a second after SIGTERM, and whose log can be read."""

    def __init__(self, *servers: StandInServer, settings: dict[str, Any] = BRIEF) -> None:
        self.settings = settings
        self.log = tempfile.NamedTemporaryFile("r", suffix=".log")  # noqa: SIM115: closed by `close`
        shell = f'exec {sys.executable} -m fennelcove.node >> "{self.log.name}"'
        self.command = ["/bin/sh", "-c", shell]
        super().__init__(*servers, command=self.command)

    def begin_again(self) -> None:
        """The next process, at the same address with the same file."""
        self.process = subprocess.Popen(self.command, env={**os.environ, "EDGE_CONFIG": str(self.path)})
        eventually(self.ready, "a test that passes")

    def write(self) -> None:
        self.config["settings"] = self.settings
        super().write()

    def told(self, *events: str) -> list[dict[str, Any]]:
        """The log's whole lines of these events."""
        lines = Path(self.log.name).read_text().split("\n")[:-1]
        return [line for line in map(json.loads, lines) if line["event"] in events]

    def freeze(self) -> None:
        """Stop the process between two of its steps; the kernel goes on taking in for it."""
        self.signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        eventually(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "a stopped process")

    def close(self) -> None:
        super().close()
        self.log.close()


def options(caller: Caller) -> int:
    """What the health test says on a connection that is open already."""
    caller.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
    return caller.answer().status


class Gate:
    """A named pipe: whoever reads it is held until told."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.renew()

    def held(self) -> int:
        """Wait until a process has opened it to read; the descriptor that holds it there."""

        def opened() -> int | None:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                return None  # nobody reads yet

        found: int = eventually(opened, f"a reader of {self.path.name}")
        return found

    def renew(self) -> None:
        """Another pipe under the same name: who reads the one before can't be taken for who reads next."""
        self.path.unlink(missing_ok=True)
        os.mkfifo(self.path)

    @staticmethod
    def let(held: int, text: str) -> None:
        """Hand the reader its text, and the end of it."""
        os.set_blocking(held, True)
        with open(held, "w", encoding="utf-8") as file:
            file.write(text)


def run(path: Path, **environment: str) -> subprocess.Popen[str]:
    """One front node by this configuration; its output is piped."""
    return subprocess.Popen(
        [sys.executable, "-m", "fennelcove.node"],
        env={**os.environ, "EDGE_CONFIG": str(path), **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def blocked(pid: int) -> set[int]:
    """The signals that the process's main thread holds back."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("SigBlk:"))
    mask = int(line.split()[1], 16)
    return {number for number in range(1, 65) if mask >> (number - 1) & 1}


def over(since: float, stay_s: float) -> None:
    """Wait until a node's stay since then is over; its clock is the machine's."""
    while (left := since + stay_s + 0.1 - time.monotonic()) > 0:
        time.sleep(left)
