"""Front node processes that are stopped at a step: reading the configuration, importing, shutting down."""

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

from tests.node_harness import SETTINGS, Client, FakeServer, NodeProcess, wait_until

# A node runs on after SIGTERM for the longest client timeout, so a short one keeps tests short.
SHORT_TIMEOUT_SETTINGS: dict[str, Any] = {**SETTINGS, "Lanes": [{**SETTINGS["Lanes"][0], "HardLimitMs": 500}]}
SHUTDOWN_WAIT_S = 1.0


class LoggedNodeProcess(NodeProcess):
    """A node that runs on for one second after SIGTERM, and whose log can be read."""

    def __init__(self, *servers: FakeServer, settings: dict[str, Any] = SHORT_TIMEOUT_SETTINGS) -> None:
        self.settings = settings
        self.log_file = tempfile.NamedTemporaryFile("r", suffix=".log")  # noqa: SIM115: closed by `close`
        shell_command = f'exec {sys.executable} -m fennelcove.node >> "{self.log_file.name}"'
        self.command = ["/bin/sh", "-c", shell_command]
        super().__init__(*servers, command=self.command)

    def restart(self) -> None:
        """Start the next process, with the same address and configuration file."""
        self.process = subprocess.Popen(
            self.command, env={**os.environ, "EDGE_CONFIG": str(self.config_path)}
        )
        wait_until(self.is_healthy, "a successful health check")

    def write_config(self) -> None:
        self.config["settings"] = self.settings
        super().write_config()

    def log_events(self, *events: str) -> list[dict[str, Any]]:
        """The complete log lines of these events."""
        lines = Path(self.log_file.name).read_text().split("\n")[:-1]
        return [line for line in map(json.loads, lines) if line["event"] in events]

    def pause(self) -> None:
        """Stop the process; the kernel still accepts connections and data for it."""
        self.send_signal(signal.SIGSTOP)
        stat_path = Path(f"/proc/{self.process.pid}/stat")
        wait_until(lambda: stat_path.read_text().rpartition(")")[2].split()[0] == "T", "a stopped process")

    def close(self) -> None:
        super().close()
        self.log_file.close()


def health_status(client: Client) -> int:
    """The status of a health check on a connection that is already open."""
    client.send(writer.request("OPTIONS", "rtsp://media/ping", ("CSeq", "3")))
    return client.receive_response().status


class BlockingPipe:
    """A named pipe: a process that reads it blocks until the test writes to it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.replace()

    def wait_for_reader(self) -> int:
        """Wait until a process reads it; return the descriptor for writing, which blocks the process."""

        def open_for_writing() -> int | None:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                return None  # no process reads it yet

        descriptor: int = wait_until(open_for_writing, f"a reader of {self.path.name}")
        return descriptor

    def replace(self) -> None:
        """Replace the pipe under the same name, so that its reader is not mistaken for the next one."""
        self.path.unlink(missing_ok=True)
        os.mkfifo(self.path)

    @staticmethod
    def write_and_close(descriptor: int, text: str) -> None:
        """Send the text and the end of the file to the reader."""
        os.set_blocking(descriptor, True)
        with open(descriptor, "w", encoding="utf-8") as file:
            file.write(text)


def start_node_process(path: Path, **environment: str) -> subprocess.Popen[str]:
    """Start a front node with this configuration file; its output is piped."""
    return subprocess.Popen(
        [sys.executable, "-m", "fennelcove.node"],
        env={**os.environ, "EDGE_CONFIG": str(path), **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def blocked_signals(pid: int) -> set[int]:
    """The signals that the main thread of a process blocks."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("SigBlk:"))
    mask = int(line.split()[1], 16)
    return {number for number in range(1, 65) if mask >> (number - 1) & 1}


def sleep_through_shutdown(since: float, shutdown_wait_s: float) -> None:
    """Sleep until a node that has been shutting down since then must end; it uses the same clock."""
    while (remaining_s := since + shutdown_wait_s + 0.1 - time.monotonic()) > 0:
        time.sleep(remaining_s)
