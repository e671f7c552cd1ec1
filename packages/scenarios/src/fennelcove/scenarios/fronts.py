"""The fronts of a day, each in a process of its own: started, stopped, killed, paused, started again."""

from __future__ import annotations

import random
import shutil
import signal
import socket
import ssl
import subprocess
import sys
import threading
from collections.abc import Callable, Sequence
from pathlib import Path

import blake3
import msgspec
from fennelcove.daemon.key_file import rotate
from fennelcove.emulators.clients import Player, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.errors import OperatorError
from fennelcove.scenarios import authors
from fennelcove.scenarios.rig import Rig, front_host
from fennelcove.scenarios.script import Day, Version
from fennelcove.settings.schema import (
    Author,
    CompanySettings,
    ControlSettings,
    Instance,
    Limits,
    OperatorKey,
    ReleaseSettings,
    Rules,
)
from fennelcove.settings.writer import write
from fennelcove.store.directory import verify_folder

START_S = 30.0
TORN_BYTES = 40  # off the end of a journal: what a disk had not written when its power went
AT_ONCE = 6  # fronts that are started side by side: more would measure how fast this machine imports


class DayFailed(OperatorError):
    """A day could not be played: a front did not start, or did not end."""

    code = "day-not-played"
    advice = "Read the front's last lines above, and play the day again with nothing else running"


class FrontProcess:
    """One front in a process of its own; it can be stopped, killed and started again on the same port."""

    def __init__(
        self,
        day: Day,
        index: int,
        lists: str,
        seed: int,
        recorder: Recorder,
        folder: Path,
        company: list[str] | None = None,
    ) -> None:
        self.day = day
        self.index = index
        self.name = f"{day.front.name}-{index}" if day.fronts > 1 else day.front.name
        self.lists = lists
        self.seed = seed
        self.recorder = recorder
        self.company = company
        self.clock_s = 0.0  # how far its wall clock is off
        self.config = folder / f"front-{index}.sexp"
        self.log = folder / f"front-{index}.log"
        self.ledger = folder / f"ledger-{index}"
        self.keys = folder / "places.keys"
        self.store = folder / f"store-{index}"
        self.copy = folder / f"store-{index}-before"
        self.operator = folder / "operator.keys"
        self.wanted = folder / f"wanted-{index}"  # the version that it asks its supervisor for
        self.version = 1
        self.served = 1  # the last version that it has served with
        self.tended = True  # the day itself stops, kills and starts it
        self.struck = False  # killed by the script: its supervisor leaves it to that
        self.lock = threading.Lock()  # round its start and its end
        self.hangs = self.told = False
        self.listen = "127.0.0.1:0"
        self.address = "127.0.0.1:0"  # where viewers find it
        self.rig: Rig | None = None  # where there are relays
        self.process: subprocess.Popen[bytes] | None = None
        self.context: ssl.SSLContext | None = None  # where the front speaks TLS

    def start(self) -> None:
        """Start and wait until it listens and has a list.

        Raises:
            DayFailed: it ended, or did not get so far in time.
        """
        self.launch()
        waited = threading.Event()
        for _ in range(round(START_S / 0.02)):
            if self.up() and self._has_list():
                return
            waited.wait(0.02)
        raise DayFailed(f"the front did not start in {START_S:g} s: {self.tail()}", self.name)

    def launch(self) -> None:
        """Start with the version that it asked for, and wait for nothing."""
        with self.lock:
            self.struck = False
            self._launch()

    def launch_again(self) -> bool:
        """As `launch`, by its supervisor: not where it was struck meanwhile."""
        with self.lock:
            if not self.struck:
                self._launch()
            return not self.struck

    def _launch(self) -> None:
        if self.wanted.exists():
            self.version = int(self.wanted.read_text("ascii"))
        self.config.write_text(write(self._settings()), "utf-8")
        command = [sys.executable, "-m", "fennelcove", "front", str(self.config), "--log-level", "debug"]
        if self.clock_s:
            command += ["--wall-offset-s", f"{self.clock_s:g}"]
        self.already = self.log.stat().st_size if self.log.exists() else 0
        self.told = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stderr=log)
        self.recorder.note("front_launched", front=self.name, version=self.version)
        if self.index in self.like().hangs:
            self.recorder.note("front_hangs", front=self.name)
            self.hangs = True
            self.process.send_signal(signal.SIGSTOP)

    def like(self) -> Version:
        """What its present version is like."""
        found = (version for version in self.day.versions if version.number == self.version)
        return next(found, Version(number=self.version))

    def goes_on(self) -> None:
        """One that hung in its start goes on."""
        if self.hangs and self.process is not None:
            self.hangs = False
            self.process.send_signal(signal.SIGCONT)

    def serves(self) -> bool:
        """Whether it has come up in this life, and runs."""
        return self.told and self.process is not None and self.process.poll() is None

    def ended(self) -> bool:
        """Whether its process has ended by itself."""
        return not self.tended and self.process is not None and self.process.poll() is not None

    def up(self) -> bool:
        """Whether it listens by now, in this life.

        Raises:
            DayFailed: it has ended, and not by the script: a power that went again while fronts began failed
                a day that had gone as it should.
        """
        assert self.process is not None
        if self.process.poll() is not None:
            if self.struck:
                return False
            raise DayFailed(
                f"the front ended with status {self.process.returncode}: {self.tail()}", self.name
            )
        if self.told:
            return True
        for line in self.log.read_bytes()[self.already :].splitlines():
            if b'"front_started"' in line and line.endswith(b"}"):
                self.listen = msgspec.json.decode(line)["address"]
                if self.rig is None:
                    self.address = self.listen
                elif self.address.endswith(":0"):
                    self.address = self.rig.front_door(self.index, self.listen)
                self.shut(gone=False)
                self.recorder.note("front_started", front=self.name, address=self.address)
                self.told, self.tended, self.served = True, False, self.version
        return self.told

    def _settings(self) -> msgspec.Struct:
        told = self.day.front
        store = told.store
        if store is not None:
            store = msgspec.structs.replace(store, folder=str(self.store))
        return msgspec.structs.replace(
            told,
            store=store,
            name=self.name,
            listen=self.listen,
            seed=self.seed + self.index,
            instance=self._instance(),
            lists=msgspec.structs.replace(told.lists, address=self.lists),
            rules=self._rules(),
            source=front_host(self.index) if self.rig is not None else told.source,
            company=self._company(),
            releases=self._releases(),
            control=self._control(),
            limits=self._limits(),
            storm=msgspec.structs.replace(told.storm, key_file=str(self.keys)),
            stitch=msgspec.structs.replace(
                told.stitch,
                authors=[Author(name="author", key_hash=blake3.blake3(authors.KEY.encode()).hexdigest())],
                ledger=str(self.ledger),
            ),
        )

    def _rules(self) -> Rules:
        """With how a cold box of this day falls over, where the script does not say that apart."""
        told, rig = self.day.front.rules, self.day.rig
        if told.tip_after_ms:
            return told
        return msgspec.structs.replace(told, fall_multiple=rig.fall_multiple, tip_after_ms=rig.tip_after_ms)

    def _releases(self) -> ReleaseSettings | None:
        told, halls = self.day.front.releases, self.day.halls
        if told is None:
            return None
        zones = [halls[i % len(halls)] for i in range(self.day.fronts)] if halls else []
        return msgspec.structs.replace(
            told,
            version=self.version,
            wanted=str(self.wanted),
            halls=zones,
            # A limit that can't be is refused as any front's settings are.
            fronts_out=self.day.fronts if self.like().refused else told.fronts_out,
        )

    def _control(self) -> ControlSettings:
        if self.day.front.releases is None:
            return self.day.front.control
        return ControlSettings(keys=[OperatorKey(name="ops", key_file=str(self.operator))])

    def _limits(self) -> Limits:
        held = self.like().held
        told = self.day.front.limits
        return told if held is None else msgspec.structs.replace(told, held=held)

    def _company(self) -> CompanySettings | None:
        told = self.day.front.company
        if self.company is None:
            return None
        if told is None:
            return CompanySettings(addresses=self.company)
        return msgspec.structs.replace(told, addresses=self.company)

    def _instance(self) -> Instance:
        told, halls = self.day.front.instance, self.day.halls
        if self.day.fronts == 1:
            return told
        zone = halls[self.index % len(halls)] if halls else told.zone
        return msgspec.structs.replace(told, index=self.index, fronts=self.day.fronts, zone=zone)

    def _has_list(self) -> bool:
        player = Player(self.listen, self.recorder.clock, None, self.context)
        try:
            heard = player.ask("GET", "/v1/status", [], b"", 1.0)
            return heard.body.get("list_version") is not None
        except Unanswered:
            return False
        finally:
            player.close()

    def tail(self) -> str:
        """The end of its log."""
        return self.log.read_text("utf-8", "replace")[-600:]

    def stop(self) -> None:
        """Ask it to end and wait for it.

        Raises:
            DayFailed: it did not end within its stated time, and was killed.
        """
        if self.process is None or self.process.poll() is not None:
            return
        self.tended = True
        self.recorder.note("front_stopping", front=self.name)
        if self.hangs:
            self.kill()
            return
        self.process.send_signal(signal.SIGTERM)
        self.end()

    def end(self) -> None:
        """Wait for the end of one that was asked to end.

        Raises:
            DayFailed: it did not end within its stated time, and was killed.
        """
        if self.process is None:
            return
        try:
            self.process.wait(self.day.front.limits.stop_ms / 1000 + START_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise DayFailed(f"the front did not end: {self.tail()}", self.name) from None
        self.shut()
        self.recorder.note("front_stopped", front=self.name, status=self.process.returncode)

    def kill(self) -> None:
        """End it without warning, and look at what it leaves."""
        if self.strike():
            self.bury()

    def bury(self) -> None:
        """Wait for the end of one that was struck, and look at what it leaves."""
        assert self.process is not None
        self.process.wait()
        self.check_store()

    def strike(self) -> bool:
        """Kill it and wait for nothing; whether it ran. One that is down already stays so."""
        with self.lock:
            self.struck = True
            return self._strike()

    def _strike(self) -> bool:
        if self.process is None or self.process.poll() is not None:
            return False
        self.tended = True
        self.recorder.note("front_killed", front=self.name)
        self.process.kill()
        self.shut()
        return True

    def shut(self, gone: bool = True) -> None:
        """Where it listens nobody does any more, or somebody again."""
        if self.rig is not None:
            self.rig.shut(self.address, gone)

    def pause(self, on: bool) -> None:
        """Stop the process where it is, or let it go on."""
        if self.process is not None and self.process.poll() is None:
            self.recorder.note("front_paused" if on else "front_continued", front=self.name)
            self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def check_store(self) -> None:
        """Write down what is amiss with its store while nobody holds it."""
        if self.store.exists():
            for fault in verify_folder(str(self.store)):
                self.recorder.note("store_fault", front=self.name, fault=fault)

    def spoil(self, how: str) -> None:
        """What its folder is like after the power went; only while nobody holds it."""
        if how == "kept" or not self.store.exists():
            return
        self.recorder.note("folder", front=self.name, how=how)
        if how == "torn":
            for journal in sorted(self.store.glob("journal*")):
                raw = journal.read_bytes()
                journal.write_bytes(raw[: max(0, len(raw) - TORN_BYTES)])
        else:
            shutil.rmtree(self.store)
            if how == "old" and self.copy.exists():
                shutil.copytree(self.copy, self.store)

    def keep_copy(self) -> None:
        """A copy of its folder as it is now, for a day that restores an old one."""
        if self.store.exists():
            shutil.copytree(self.store, self.copy, dirs_exist_ok=True)


class Fronts:
    """All fronts of a day, each in a process of its own."""

    def __init__(self, day: Day, rig: Rig, seed: int, recorder: Recorder, folder: Path) -> None:
        # One key for all: without it a place was known only at the front that gave it, and viewers, who come
        # to any of them, were turned away as forgers (142 of 200 watched).
        for name in ("places.keys", "operator.keys"):
            rotate(str(folder / name), recorder.clock.wall_us() // 1000)
        company: list[list[str] | None] = [None] * day.fronts
        if day.company:
            company = list(rig.company([_free_port(i) for i in range(day.fronts)]))
        self.all = [
            FrontProcess(day, i, rig.lists_for_fronts, seed, recorder, folder, company[i])
            for i in range(day.fronts)
        ]
        if day.relays:
            for front in self.all:
                front.rig = rig

    def start(self) -> None:
        """Start each and wait for it, a few at a time."""
        for at in range(0, len(self.all), AT_ONCE):
            side_by_side([front.start for front in self.all[at : at + AT_ONCE]])

    def stop(self) -> None:
        """Stop all and wait for them."""
        side_by_side([front.stop for front in self.all])

    def kill(self) -> None:
        """End what still runs."""
        for front in self.all:
            front.kill()

    def chooser(self, name: str, some: Sequence[int] = ()) -> Callable[[], str]:
        """A viewer's way to a front: another one, of all or of some, at each try, by its name, the same in
        every run.
        """
        chance, among = random.Random(name), [self.all[number] for number in some] or self.all
        return lambda: chance.choice(among).address


def side_by_side(calls: list[Callable[[], None]]) -> None:
    """All calls at once; the first failure is raised when all have ended."""
    failures: list[DayFailed] = []

    def run(call: Callable[[], None]) -> None:
        try:
            call()
        except DayFailed as error:
            failures.append(error)

    threads = [threading.Thread(target=run, args=(call,), name="fronts") for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise failures[0]


def _free_port(index: int) -> str:
    """A free address for datagrams. Below the ports that the system hands out by itself: one of those was
    taken by another socket before its front could bind it.
    """
    while True:
        address = (front_host(index), random.randrange(20_000, 32_000))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind(address)
            except OSError:
                continue
            return "{}:{}".format(*address)
