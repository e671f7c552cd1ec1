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

from fennelcove.fleet.asker import Call, Times, ask_all
from fennelcove.fleet.inventory import FrontLine, Inventory
from fennelcove.scenarios.fronts import START_S, DayFailed, FrontProcess, Fronts
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import Release, Trouble
from fennelcove.settings.writer import write

LOOK_S = 0.05
ORDER_S = 30.0
REFUSED = 2  # exit status of a front whose settings are invalid
BOX_DRAINS_S = 3.0
BOX_DOWN_S = 0.5
TIMES = Times(300_000, 600_000, 1_500_000)
OVER = ("done", "undone")


class Supervisor:
    """The supervisor of all fronts. `start` it after they have started; `stop` it before they are stopped."""

    def __init__(self, rig: Rig, fronts: Fronts, folder: Path, leaving: threading.Event) -> None:
        self.rig = rig
        self.fronts = fronts
        self.folder = folder
        self.leaving = leaving
        self.recorder = rig.recorder
        self.stopped = False
        self.over = False  # the scenario has ended, so waits are abandoned
        self.ends = 0  # fronts that have ended by themselves
        self.ordered = 0
        self.inventory = folder / "fleet.sexp"
        self.thread = threading.Thread(target=self._run, name="supervisor")
        self.starts: list[threading.Thread] = []
        self.failures: list[DayFailed] = []

    def start(self) -> None:
        """Start supervising."""
        lines = [FrontLine(name=front.name, address=front.address) for front in self.fronts.all]
        self.lines = lines
        self.inventory.write_text(write(Inventory(fronts=lines)), "utf-8")
        self.thread.start()

    def stop(self) -> None:
        """Stop supervising.

        Raises:
            DayFailed: a front did not restart.
        """
        self.stopped = True
        if self.thread.ident is not None:
            self.thread.join()
        for thread in self.starts:
            thread.join()
        if self.failures:
            raise self.failures[0]

    def _run(self) -> None:
        look = threading.Event()
        while not self.stopped:
            for front in self.fronts.all:
                if front.ended():
                    self._ended(front)
                self._look_for_box(front)
            look.wait(LOOK_S)

    def _ended(self, front: FrontProcess) -> None:
        assert front.process is not None
        front.tended = True
        self.ends += 1
        self.recorder.note("front_ended", front=front.name, status=front.process.returncode)
        front.shut()
        thread = threading.Thread(target=self._again, args=(front,), name="supervisor")
        self.starts.append(thread)
        thread.start()

    def _again(self, front: FrontProcess) -> None:
        told = self.rig.day.release
        threading.Event().wait(told.restart_ms / 1000 if told is not None else 0.0)
        try:
            self._start(front)
        except DayFailed as error:
            self.failures.append(error)

    def _start(self, front: FrontProcess) -> None:
        if not front.launch_again():
            return
        hung_s, look = 0.0, threading.Event()
        while not self.stopped and not front.struck:
            process = front.process
            assert process is not None
            if process.poll() == REFUSED:
                self.recorder.note("front_refused", front=front.name, version=front.version)
                front.wanted.unlink(missing_ok=True)
                front.version = front.served
                front.launch_again()
            elif not front.struck and self._is_up(front):
                self.rig.late(front.index, front.like().late_ms)
                return
            look.wait(LOOK_S)
            hung_s += LOOK_S
            if front.hangs and hung_s >= front.like().hangs_s:
                front.goes_on()
            if not front.hangs and hung_s > START_S + front.like().hangs_s:
                raise DayFailed(f"the front did not restart: {front.tail()}")

    def _is_up(self, front: FrontProcess) -> bool:
        try:
            return front.up()
        except DayFailed:
            if front.struck:  # since the check above
                return False
            raise

    # Server replacement.

    def _look_for_box(self, front: FrontProcess) -> None:
        told = Path(f"{front.wanted}.box")
        if not told.exists():
            return
        address = told.read_text("ascii").strip()
        told.unlink()
        number = next(i for i, box in enumerate(self.rig.boxes) if box.address == address)
        thread = threading.Thread(target=self._drain_box, args=(number,), name="supervisor")
        self.starts.append(thread)
        thread.start()

    def _drain_box(self, number: int) -> None:
        """Drain a server that a front has a permit for, stop it and restart it cold."""
        rig, box, look = self.rig, self.rig.boxes[number], threading.Event()
        self.recorder.note("box_taken", box=box.address)
        rig.list_state(Trouble(at_s=0, what="leave", box=number), "leaving")
        look.wait(BOX_DRAINS_S)
        box.die()
        rig.shut(box.address)
        look.wait(BOX_DOWN_S)
        box.restart()
        rig.shut(box.address, gone=False)
        rig.known[number] = replace(rig.known[number], state="active", started_us=self.rig.clock.now_us())
        rig.lists.publish(rig.known[number])

    # The operator.

    def settled(self, release: Release) -> bool:
        """Whether all operator commands have run and all fronts serve the expected version."""
        orders = sum(trouble.what == "order" for trouble in self.rig.day.troubles)
        asked = [front for front in self.fronts.all if front.index not in release.lost]
        have = [front for front in asked if front.version == release.wanted]
        came = {"all": have == asked, "none": not have, "some": bool(have)}[release.ends]
        return came and self.ordered >= orders and all(front.serves() for front in asked)

    def state(self) -> dict[str, Any]:
        """The newest state of the plan that any front reports; empty if none responds."""
        call = Call("GET", "/v1/status")
        found: list[dict[str, Any]] = []
        for outcome in ask_all(self.lines, call, TIMES, self.rig.clock, len(self.lines)):
            told = outcome.body.get("releases")
            if isinstance(told, dict) and "fence" in told:
                found.append(told)
        return max(found, key=lambda told: (told["fence"], bool(told["leads"])), default={})

    def leader(self) -> FrontProcess | None:
        """The front that leads a plan."""
        state = self.state()
        return self.fronts.all[state["leader"]] if state.get("leader") is not None else None

    def wait(self, trouble: Trouble) -> bool:
        """Wait for a fault's condition; False if the scenario ends before."""
        return trouble.until is None or self._until(self._holds(trouble.until))

    def _holds(self, until: str) -> Callable[[], bool]:
        if until.startswith("out-"):
            return lambda: self.ends >= int(until.removeprefix("out-"))
        if until == "off":
            return lambda: bool(self.state().get("out", {}).get("front", {}).get("off"))
        wanted = ("halted",) if until == "halted" else OVER
        return lambda: self.state().get("phase") in wanted

    def _until(self, holds: Callable[[], bool]) -> bool:
        while not holds():
            if self.over or self.stopped or self.leaving.wait(LOOK_S):
                return False
        return True

    def order(self, trouble: Trouble) -> None:
        """Run an operator's command, and retry a failed one for `for_s`."""
        began_us = self.rig.clock.now_us()
        words = [sys.executable, "-m", "fennelcove", "fleet", *trouble.order]
        files = {"FENNELCOVE_FLEET": self.inventory, "FENNELCOVE_OPERATOR_KEY": self.folder / "operator.keys"}
        environment = os.environ | {name: str(path) for name, path in files.items()}
        while True:
            try:
                done = subprocess.run(
                    words, capture_output=True, text=True, timeout=ORDER_S, env=environment, check=False
                )
                status, said = done.returncode, (done.stdout + done.stderr).splitlines()
            except subprocess.TimeoutExpired:
                status, said = -1, [f"the command did not end within {ORDER_S:g} s"]
            self.recorder.note("order", words=trouble.order, status=status, said=said)
            gone_s = (self.rig.clock.now_us() - began_us) / 1e6
            if status == 0 or gone_s >= trouble.for_s or self.leaving.wait(0.5):
                self.ordered += 1
                return
