"""Measures stalls of the machine itself during a scenario.

A separate process only sleeps and reports each late wake-up. It shares neither the interpreter nor the
sockets of the scenario, so a delay that it measures is caused by the machine.
"""

from __future__ import annotations

import select
import subprocess
import sys
import time

from fennelcove.emulators.recorder import Recorder

SLEEP_S = 0.01
STALL_S = 0.1  # a wake-up this late means that the machine did not schedule even an idle process
STOP_S = 5.0


class StallMonitor:
    """Runs the sleeping process from `start` to `stop`, and then records the stalls."""

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start measuring."""
        command = [sys.executable, "-m", __name__]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def stop(self) -> None:
        """End the process and record each stall, in microseconds since the start of the recording."""
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
    """Sleep until standard input is closed, and print the start and end of each stall in microseconds."""
    slept_ns = time.monotonic_ns()
    while not select.select([sys.stdin], [], [], SLEEP_S)[0]:
        woken_ns = time.monotonic_ns()
        if woken_ns - slept_ns >= (SLEEP_S + STALL_S) * 1e9:
            print(slept_ns // 1000, woken_ns // 1000, flush=True)
        slept_ns = woken_ns


if __name__ == "__main__":
    measure()
