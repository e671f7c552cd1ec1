"""Measures whether the machine itself stood still while a scenario ran.

A process of its own does nothing but sleep and write down each wake that came late. It shares neither the
interpreter nor the sockets of the scenario, so that what it measures is the machine's and nobody else's.
"""

from __future__ import annotations

import select
import subprocess
import sys
import time

from fennelcove.emulators.recorder import Recorder

SLEEP_S = 0.01
STALL_S = 0.1  # a wake this late: the machine stood still, or gave an idle process no time at all
STOP_S = 5.0


class StallMonitor:
    """Owns the sleeping process from `start` to `stop`, and records its stalls at the end."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Begin to measure."""
        command = [sys.executable, "-m", __name__]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def stop(self) -> None:
        """End the process and record each stall, in microseconds since the recording began."""
        if self.process is None:
            return
        process, self.process = self.process, None
        try:
            output, _ = process.communicate(timeout=STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            output, _ = process.communicate()
        for line in output.split(b"\n")[:-1]:
            from_us, until_us = (int(word) - self.recorder.began_us for word in line.split())
            self.recorder.note("machine_stalled", from_us=from_us, until_us=until_us)


def measure() -> None:
    """Sleep until standard input is closed; print a line a stall: begin and end on the monotonic clock."""
    slept_ns = time.monotonic_ns()
    while not select.select([sys.stdin], [], [], SLEEP_S)[0]:
        woken_ns = time.monotonic_ns()
        if woken_ns - slept_ns >= (SLEEP_S + STALL_S) * 1e9:
            print(slept_ns // 1000, woken_ns // 1000, flush=True)
        slept_ns = woken_ns


if __name__ == "__main__":
    measure()
