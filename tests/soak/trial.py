"""Executes one plan: starts the emulators and the nodes, sends the signals and samples the resource usage."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from tests.soak.clients import tail_s
from tests.soak.discovery import discovery_address
from tests.soak.plan import Plan
from tests.soak.recording import Recorder

SAMPLE_S = 0.25
STALL_S = 0.1
START_LIMIT_S = 20.0
POLL_S = 0.005
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


class Node:
    """A front node: its successive processes at one address."""

    def __init__(self, plan: Plan, index: int, folder: Path, record: Recorder) -> None:
        self.plan = plan
        self.index = index
        self.folder = folder
        self.record = record
        self.address = (f"127.{plan.octet + index}.252.1", plan.port)
        self.path = folder / f"node-{index}.json"
        self.discovery_sequence = 0
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.is_expected_to_end = False

    def write_config(self, revision_at: float) -> None:
        host, port = discovery_address(self.plan, self.index, self.discovery_sequence)
        notices = self.plan.notices(self.index, revision_at)
        document = {
            "name": f"n{self.index}",
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": f"{self.plan.seed * 100 + self.index * 10 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.plan.sockets},
            "board": f"{host}:{port}",
            "known": {"rev": notices[-1]["rev"], "notices": notices},
            "settings": self.plan.settings() | {"Index": self.index},
        }
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(document), encoding="utf-8")
        temporary.replace(self.path)

    def start(self) -> None:
        """Start a process that knows the current list of the discovery service."""
        self.write_config(time.time() - self.plan.start)
        self.starts += 1
        with (self.folder / f"node-{self.index}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "fennelcove.node"],
                env={**os.environ, "EDGE_CONFIG": str(self.path), "MALLOC_ARENA_MAX": "1"},
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.is_expected_to_end = False
        self.record("started", node=self.index)

    def move_discovery(self) -> None:
        """Write a configuration with the next address of the discovery service, and send SIGHUP."""
        self.discovery_sequence += 1
        self.write_config(time.time() - self.plan.start)
        self._send(signal.SIGHUP)

    def repeat_signals(self) -> None:
        """Send a redundant SIGHUP and SIGTERM."""
        if self.process is not None and self.process.poll() is None:
            self._send(signal.SIGHUP)
            self._send(signal.SIGTERM)

    def kill(self) -> None:
        if self.is_expected_to_end:
            return  # it is being stopped already
        self.is_expected_to_end = True
        self._send(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()
        self.start()

    def terminate(self) -> None:
        """Send SIGTERM, then SIGKILL as early as the platform allows, and start a new process."""
        if self.is_expected_to_end:
            return
        self.is_expected_to_end = True
        began = time.time()
        self._send(signal.SIGTERM)
        process = self.process
        assert process is not None
        while process.poll() is None and time.time() < began + self.plan.kill_after:
            time.sleep(POLL_S)
        code = process.poll()
        if code is None:
            self._send(signal.SIGKILL)
            process.wait()
        self.record("stopped", node=self.index, after=time.time() - began, code=code)
        while time.time() < began + self.plan.kill_after:
            time.sleep(POLL_S)
        self.start()

    def sample(self) -> None:
        """Record the memory, descriptors and CPU time of the process, or that it crashed."""
        process = self.process
        if process is None:
            return
        if process.poll() is not None:
            if not self.is_expected_to_end:
                self.record("crashed", node=self.index, code=process.returncode)
                self.process = None
            return
        with suppress(OSError, IndexError, ValueError):
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
            ticks = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            cpu_s = (int(ticks[11]) + int(ticks[12])) / os.sysconf("SC_CLK_TCK")
            self.record(
                "sample",
                node=self.index,
                memory_mb=pages * PAGE_KB / 1024,
                descriptors=descriptors,
                cpu_s=cpu_s,
            )

    def _send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record("signal", node=self.index, signal=number.name)
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            self.is_expected_to_end = True
            self.process.kill()
            self.process.wait()


def play(plan: Plan, folder: Path) -> None:
    """Execute the plan and write the recordings to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    plan.save(folder / "plan.json")
    record = Recorder(folder / "runner.rec", "runner")
    nodes = [Node(plan, index, folder, record) for index in range(plan.nodes)]
    emulators: list[subprocess.Popen[bytes]] = []
    done = threading.Event()
    try:
        for index in range(plan.nodes):
            emulators.append(_start("tests.soak.servers", folder, str(index)))
        emulators.append(_start("tests.soak.discovery", folder))
        _wait_for(folder, [*(f"servers-{i}.ready" for i in range(plan.nodes)), "discovery.ready"])
        for node in nodes:
            node.start()
        addresses = [f"{host}:{port}" for host, port in (node.address for node in nodes)]
        clients = _start("tests.soak.clients", folder, *addresses)
        emulators.append(clients)
        sampler = threading.Thread(target=_sample_until_done, args=(nodes, record, done))
        sampler.start()
        _send_signals(plan, nodes)
        clients.wait(timeout=plan.duration + tail_s(plan) + 30)
        done.set()
        sampler.join()
    finally:
        done.set()
        for process in emulators:
            process.terminate()
        for process in emulators:
            process.wait()
        for node in nodes:
            node.end()
        record("end")
        record.flush()


def _start(module: str, folder: Path, *arguments: str) -> subprocess.Popen[bytes]:
    with (folder / "stand-ins.log").open("ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", module, str(folder), *arguments], stdout=log, stderr=log
        )


def _wait_for(folder: Path, names: list[str]) -> None:
    until = time.monotonic() + START_LIMIT_S
    while not all((folder / name).exists() for name in names):
        if time.monotonic() > until:
            raise TimeoutError(f"emulators did not start within {START_LIMIT_S} s: {folder}")
        time.sleep(POLL_S)


def _send_signals(plan: Plan, nodes: list[Node]) -> None:
    threads = []
    for each in plan.signals:
        time.sleep(max(0.0, plan.start + each.at - time.time()))
        node = nodes[each.node]
        actions = {"move": node.move_discovery, "kill": node.kill, "restart": node.terminate}
        if each.kind == "move":
            node.move_discovery()
        elif each.kind == "again":
            node.repeat_signals()
        else:
            threads.append(threading.Thread(target=actions[each.kind]))
            threads[-1].start()
    for thread in threads:
        thread.join()


def _sample_until_done(nodes: list[Node], record: Recorder, done: threading.Event) -> None:
    """Sample the nodes, and record when this thread was woken late by the machine."""
    while not done.is_set():
        for node in nodes:
            node.sample()
        before = time.time()
        time.sleep(SAMPLE_S)
        late_s = time.time() - before - SAMPLE_S
        if late_s > STALL_S:
            record("machine_stalled", begin=before + SAMPLE_S, seconds=late_s)
