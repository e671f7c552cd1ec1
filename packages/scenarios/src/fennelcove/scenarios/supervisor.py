"""Emulates the supervisor of all fronts, which restarts ended ones, and their operator, who runs commands."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from fennelcove.fleet.front_calls import Call, CallTimeouts, call_fronts
from fennelcove.fleet.inventory import FrontEntry, Inventory
from fennelcove.scenarios.fronts import START_TIMEOUT_S, FrontProcess, Fronts, ScenarioError
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import FaultSpec, RolloutRequirements
from fennelcove.settings.writer import write

POLL_INTERVAL_S = 0.05
COMMAND_TIMEOUT_S = 30.0
SETTINGS_REFUSED = 2  # exit status of a front whose settings are invalid
SERVER_DRAIN_S = 3.0
SERVER_DOWN_S = 0.5
TIMEOUTS = CallTimeouts(300_000, 600_000, 1_500_000)
PLAN_ENDED_PHASES = ("done", "undone")


class Supervisor:
    """The supervisor of all fronts. `start` it after they have started; `stop` it before they are stopped."""

    def __init__(self, rig: Rig, fronts: Fronts, folder: Path, stop_event: threading.Event) -> None:
        self.rig = rig
        self.fronts = fronts
        self.folder = folder
        self.stop_event = stop_event
        self.recorder = rig.recorder
        self.stopped = False
        self.scenario_ended = False  # the scenario has ended, so waits are abandoned
        self.ended_count = 0  # fronts that have ended by themselves
        self.commands_run = 0
        self.inventory = folder / "fleet.sexp"
        self.thread = threading.Thread(target=self._run, name="supervisor")
        self.restart_threads: list[threading.Thread] = []
        self.failures: list[ScenarioError] = []

    def start(self) -> None:
        """Start supervising."""
        lines = [FrontEntry(name=front.name, address=front.address) for front in self.fronts.all]
        self.lines = lines
        self.inventory.write_text(write(Inventory(fronts=lines)), "utf-8")
        self.thread.start()

    def stop(self) -> None:
        """Stop supervising.

        Raises:
            ScenarioError: a front did not restart.
        """
        self.stopped = True
        if self.thread.ident is not None:
            self.thread.join()
        for thread in self.restart_threads:
            thread.join()
        if self.failures:
            raise self.failures[0]

    def _run(self) -> None:
        poll_timer = threading.Event()
        while not self.stopped:
            for front in self.fronts.all:
                if front.ended():
                    self._on_ended(front)
                self._poll_server_permit(front)
            poll_timer.wait(POLL_INTERVAL_S)

    def _on_ended(self, front: FrontProcess) -> None:
        assert front.process is not None
        front.end_expected = True
        self.ended_count += 1
        self.recorder.note("front_ended", front=front.name, status=front.process.returncode)
        front.set_unreachable()
        thread = threading.Thread(target=self._restart_later, args=(front,), name="supervisor")
        self.restart_threads.append(thread)
        thread.start()

    def _restart_later(self, front: FrontProcess) -> None:
        requirements = self.rig.scenario.release
        threading.Event().wait(requirements.restart_ms / 1000 if requirements is not None else 0.0)
        try:
            self._restart(front)
        except ScenarioError as error:
            self.failures.append(error)

    def _restart(self, front: FrontProcess) -> None:
        if not front.relaunch():
            return
        hung_s, poll_timer = 0.0, threading.Event()
        while not self.stopped and not front.killed_by_script:
            process = front.process
            assert process is not None
            if process.poll() == SETTINGS_REFUSED:
                self.recorder.note("front_refused", front=front.name, version=front.version)
                front.wanted_version_file.unlink(missing_ok=True)
                front.version = front.served_version
                front.relaunch()
            elif not front.killed_by_script and self._is_up(front):
                self.rig.delay_messages(front.index, front.version_spec().late_ms)
                return
            poll_timer.wait(POLL_INTERVAL_S)
            hung_s += POLL_INTERVAL_S
            if front.is_hung and hung_s >= front.version_spec().hangs_s:
                front.resume()
            if not front.is_hung and hung_s > START_TIMEOUT_S + front.version_spec().hangs_s:
                raise ScenarioError(f"the front did not restart: {front.tail()}")

    def _is_up(self, front: FrontProcess) -> bool:
        try:
            return front.up()
        except ScenarioError:
            if front.killed_by_script:  # since the check above
                return False
            raise

    # Server replacement.

    def _poll_server_permit(self, front: FrontProcess) -> None:
        request_file = Path(f"{front.wanted_version_file}.box")
        if not request_file.exists():
            return
        address = request_file.read_text("ascii").strip()
        request_file.unlink()
        number = next(i for i, server in enumerate(self.rig.servers) if server.address == address)
        thread = threading.Thread(target=self._replace_server, args=(number,), name="supervisor")
        self.restart_threads.append(thread)
        thread.start()

    def _replace_server(self, number: int) -> None:
        """Drain a server that a front has a permit for, stop it and restart it cold."""
        rig, server, poll_timer = self.rig, self.rig.servers[number], threading.Event()
        self.recorder.note("box_taken", box=server.address)
        rig.publish_state(FaultSpec(at_s=0, what="leave", box=number), "leaving")
        poll_timer.wait(SERVER_DRAIN_S)
        server.crash()
        rig.set_unreachable(server.address)
        poll_timer.wait(SERVER_DOWN_S)
        server.restart()
        rig.set_unreachable(server.address, unreachable=False)
        rig.endpoints[number] = replace(
            rig.endpoints[number], state="active", started_us=self.rig.clock.now_us()
        )
        rig.lists.publish(rig.endpoints[number])

    # The operator.

    def settled(self, release: RolloutRequirements) -> bool:
        """Whether all operator commands have run and all fronts serve the expected version."""
        orders = sum(fault_spec.what == "order" for fault_spec in self.rig.scenario.troubles)
        counted = [front for front in self.fronts.all if front.index not in release.lost]
        updated = [front for front in counted if front.version == release.wanted]
        is_expected = {"all": updated == counted, "none": not updated, "some": bool(updated)}[release.ends]
        return is_expected and self.commands_run >= orders and all(front.serves() for front in counted)

    def newest_plan(self) -> dict[str, Any]:
        """The newest state of the plan that any front reports; empty if none responds."""
        call = Call("GET", "/v1/status")
        found: list[dict[str, Any]] = []
        for outcome in call_fronts(self.lines, call, TIMEOUTS, self.rig.clock, len(self.lines)):
            plan = outcome.body.get("releases")
            if isinstance(plan, dict) and "fence" in plan:
                found.append(plan)
        return max(found, key=lambda plan: (plan["fence"], bool(plan["leads"])), default={})

    def leader(self) -> FrontProcess | None:
        """The front that leads a plan."""
        plan = self.newest_plan()
        return self.fronts.all[plan["leader"]] if plan.get("leader") is not None else None

    def wait(self, fault_spec: FaultSpec) -> bool:
        """Wait for a fault's condition; False if the scenario ends before."""
        return fault_spec.until is None or self._wait_until(self._condition(fault_spec.until))

    def _condition(self, until: str) -> Callable[[], bool]:
        if until.startswith("out-"):
            return lambda: self.ended_count >= int(until.removeprefix("out-"))
        if until == "off":
            return lambda: bool(self.newest_plan().get("out", {}).get("front", {}).get("off"))
        wanted = ("halted",) if until == "halted" else PLAN_ENDED_PHASES
        return lambda: self.newest_plan().get("phase") in wanted

    def _wait_until(self, holds: Callable[[], bool]) -> bool:
        while not holds():
            if self.scenario_ended or self.stopped or self.stop_event.wait(POLL_INTERVAL_S):
                return False
        return True

    def run_command(self, fault_spec: FaultSpec) -> None:
        """Run an operator's command, and retry a failed one for `for_s`."""
        began_us = self.rig.clock.now_us()
        command = [sys.executable, "-m", "fennelcove", "fleet", *fault_spec.order]
        files = {"FENNELCOVE_FLEET": self.inventory, "FENNELCOVE_OPERATOR_KEY": self.folder / "operator.keys"}
        environment = os.environ | {name: str(path) for name, path in files.items()}
        while True:
            try:
                done = subprocess.run(
                    command,
                    capture_output=True,
                    text=True,
                    timeout=COMMAND_TIMEOUT_S,
                    env=environment,
                    check=False,
                )
                status, output = done.returncode, (done.stdout + done.stderr).splitlines()
            except subprocess.TimeoutExpired:
                status, output = -1, ["no end"]
            self.recorder.note("order", words=fault_spec.order, status=status, said=output)
            elapsed_s = (self.rig.clock.now_us() - began_us) / 1e6
            if status == 0 or elapsed_s >= fault_spec.for_s or self.stop_event.wait(0.5):
                self.commands_run += 1
                return
