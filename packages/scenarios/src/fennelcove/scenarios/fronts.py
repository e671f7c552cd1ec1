"""The fronts of a scenario, each in its own process, with operations to start, stop, kill and pause them."""

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
from fennelcove.emulators.clients import HttpClient, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.errors import OperatorError
from fennelcove.scenarios import authors
from fennelcove.scenarios.rig import Rig, front_host
from fennelcove.scenarios.script import Scenario, VersionSpec
from fennelcove.settings.schema import (
    Author,
    ControlSettings,
    HeartbeatSettings,
    Instance,
    Limits,
    OperatorKey,
    ReleaseSettings,
    Rules,
)
from fennelcove.settings.writer import write
from fennelcove.store.directory import verify_folder

START_TIMEOUT_S = 30.0
TORN_BYTES = 40  # removed from the end of a journal, as if not yet on disk at the power loss
MAX_PARALLEL_STARTS = 6  # fronts started in parallel; with more, the import speed of the host dominates


class ScenarioError(OperatorError):
    """A scenario could not be run: a front did not start, or did not end."""

    code = "day-not-played"
    advice = "Read the front's last log lines above, and run the scenario again on an otherwise idle machine"


class FrontProcess:
    """One front in its own process; it can be stopped, killed and restarted on the same port."""

    def __init__(
        self,
        scenario: Scenario,
        index: int,
        list_address: str,
        seed: int,
        recorder: Recorder,
        folder: Path,
        peer_addresses: list[str] | None = None,
    ) -> None:
        self.scenario = scenario
        self.index = index
        self.name = f"{scenario.front.name}-{index}" if scenario.fronts > 1 else scenario.front.name
        self.list_address = list_address
        self.seed = seed
        self.recorder = recorder
        self.peer_addresses = peer_addresses
        self.clock_offset_s = 0.0  # offset of its wall clock
        self.config = folder / f"front-{index}.sexp"
        self.log = folder / f"front-{index}.log"
        self.ledger = folder / f"ledger-{index}"
        self.waiting_room_keys = folder / "places.keys"
        self.store = folder / f"store-{index}"
        self.store_copy = folder / f"store-{index}-before"
        self.operator_keys = folder / "operator.keys"
        self.wanted_version_file = folder / f"wanted-{index}"  # names the version it requests
        self.version = 1
        self.served_version = 1  # the last version that started serving
        self.end_expected = True  # started, stopped or killed by the scenario, not ended by itself
        self.killed_by_script = False  # killed by the script; its supervisor does not restart it
        self.lock = threading.Lock()  # guards start and kill
        self.is_hung = self.has_started = False
        self.listen = "127.0.0.1:0"
        self.address = "127.0.0.1:0"  # the address for clients
        self.rig: Rig | None = None  # only with relays
        self.process: subprocess.Popen[bytes] | None = None
        self.context: ssl.SSLContext | None = None  # only where the front uses TLS

    def start(self) -> None:
        """Start and wait until it listens and has received a server list.

        Raises:
            ScenarioError: it ended, or was not ready in time.
        """
        self.launch()
        poll_timer = threading.Event()
        for _ in range(round(START_TIMEOUT_S / 0.02)):
            if self.up() and self._has_list():
                return
            poll_timer.wait(0.02)
        raise ScenarioError(f"the front was not ready within {START_TIMEOUT_S:g} s: {self.tail()}", self.name)

    def launch(self) -> None:
        """Start the requested version without waiting."""
        with self.lock:
            self.killed_by_script = False
            self._launch()

    def relaunch(self) -> bool:
        """Restart as its supervisor, unless the script has killed it; whether it was started."""
        with self.lock:
            if not self.killed_by_script:
                self._launch()
            return not self.killed_by_script

    def _launch(self) -> None:
        if self.wanted_version_file.exists():
            self.version = int(self.wanted_version_file.read_text("ascii"))
        self.config.write_text(write(self._settings()), "utf-8")
        command = [sys.executable, "-m", "fennelcove", "front", str(self.config), "--log-level", "debug"]
        if self.clock_offset_s:
            command += ["--wall-offset-s", f"{self.clock_offset_s:g}"]
        self.log_offset = self.log.stat().st_size if self.log.exists() else 0
        self.has_started = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stderr=log)
        self.recorder.note("front_launched", front=self.name, version=self.version)
        if self.index in self.version_spec().hangs:
            self.recorder.note("front_hangs", front=self.name)
            self.is_hung = True
            self.process.send_signal(signal.SIGSTOP)

    def version_spec(self) -> VersionSpec:
        """Return the specification of its current version."""
        found = (version for version in self.scenario.versions if version.number == self.version)
        return next(found, VersionSpec(number=self.version))

    def resume(self) -> None:
        """Resume a front that hung during startup."""
        if self.is_hung and self.process is not None:
            self.is_hung = False
            self.process.send_signal(signal.SIGCONT)

    def serves(self) -> bool:
        """Whether this process has started serving and still runs."""
        return self.has_started and self.process is not None and self.process.poll() is None

    def ended(self) -> bool:
        """Whether its process has ended by itself."""
        return not self.end_expected and self.process is not None and self.process.poll() is not None

    def up(self) -> bool:
        """Whether this process listens.

        Raises:
            ScenarioError: it has ended without being killed by the script. A front that the script kills
                during startup, as in a second power loss, is no failure of the run.
        """
        assert self.process is not None
        if self.process.poll() is not None:
            if self.killed_by_script:
                return False
            raise ScenarioError(
                f"the front ended with status {self.process.returncode}: {self.tail()}", self.name
            )
        if self.has_started:
            return True
        for line in self.log.read_bytes()[self.log_offset :].splitlines():
            if b'"front_started"' in line and line.endswith(b"}"):
                self.listen = msgspec.json.decode(line)["address"]
                if self.rig is None:
                    self.address = self.listen
                elif self.address.endswith(":0"):
                    self.address = self.rig.client_address(self.index, self.listen)
                self.set_unreachable(unreachable=False)
                self.recorder.note("front_started", front=self.name, address=self.address)
                self.has_started, self.end_expected, self.served_version = True, False, self.version
        return self.has_started

    def _settings(self) -> msgspec.Struct:
        template = self.scenario.front
        store = template.store
        if store is not None:
            store = msgspec.structs.replace(store, folder=str(self.store))
        return msgspec.structs.replace(
            template,
            store=store,
            name=self.name,
            listen=self.listen,
            seed=self.seed + self.index,
            instance=self._instance(),
            lists=msgspec.structs.replace(template.lists, address=self.list_address),
            rules=self._rules(),
            source=front_host(self.index) if self.rig is not None else template.source,
            company=self._company(),
            releases=self._releases(),
            control=self._control(),
            limits=self._limits(),
            storm=msgspec.structs.replace(template.storm, key_file=str(self.waiting_room_keys)),
            stitch=msgspec.structs.replace(
                template.stitch,
                authors=[
                    Author(name="author", key_hash=blake3.blake3(authors.AUTHOR_KEY.encode()).hexdigest())
                ],
                ledger=str(self.ledger),
            ),
        )

    def _rules(self) -> Rules:
        """Return the rules, with the overload limits of the rig's servers unless the script sets its own."""
        template, rig = self.scenario.front.rules, self.scenario.rig
        if template.tip_after_ms:
            return template
        return msgspec.structs.replace(
            template, fall_multiple=rig.fall_multiple, tip_after_ms=rig.tip_after_ms
        )

    def _releases(self) -> ReleaseSettings | None:
        template, zone_names = self.scenario.front.releases, self.scenario.halls
        if template is None:
            return None
        zones = [zone_names[i % len(zone_names)] for i in range(self.scenario.fronts)] if zone_names else []
        return msgspec.structs.replace(
            template,
            version=self.version,
            wanted=str(self.wanted_version_file),
            halls=zones,
            # An impossible limit makes the front reject its settings.
            fronts_out=self.scenario.fronts if self.version_spec().refused else template.fronts_out,
        )

    def _control(self) -> ControlSettings:
        if self.scenario.front.releases is None:
            return self.scenario.front.control
        return ControlSettings(keys=[OperatorKey(name="ops", key_file=str(self.operator_keys))])

    def _limits(self) -> Limits:
        session_limit = self.version_spec().held
        template = self.scenario.front.limits
        return template if session_limit is None else msgspec.structs.replace(template, held=session_limit)

    def _company(self) -> HeartbeatSettings | None:
        template = self.scenario.front.company
        if self.peer_addresses is None:
            return None
        if template is None:
            return HeartbeatSettings(addresses=self.peer_addresses)
        return msgspec.structs.replace(template, addresses=self.peer_addresses)

    def _instance(self) -> Instance:
        template, zone_names = self.scenario.front.instance, self.scenario.halls
        if self.scenario.fronts == 1:
            return template
        zone = zone_names[self.index % len(zone_names)] if zone_names else template.zone
        return msgspec.structs.replace(template, index=self.index, fronts=self.scenario.fronts, zone=zone)

    def _has_list(self) -> bool:
        player = HttpClient(self.listen, self.recorder.clock, None, self.context)
        try:
            response = player.ask("GET", "/v1/status", [], b"", 1.0)
            return response.body.get("list_version") is not None
        except Unanswered:
            return False
        finally:
            player.close()

    def tail(self) -> str:
        """Return the end of its log."""
        return self.log.read_text("utf-8", "replace")[-600:]

    def stop(self) -> None:
        """Send SIGTERM and wait for the end of the process.

        Raises:
            ScenarioError: it did not end within its stop time, and was killed.
        """
        if self.process is None or self.process.poll() is not None:
            return
        self.end_expected = True
        self.recorder.note("front_stopping", front=self.name)
        if self.is_hung:
            self.kill()
            return
        self.process.send_signal(signal.SIGTERM)
        self.wait_for_end()

    def wait_for_end(self) -> None:
        """Wait for the end of a process that was sent SIGTERM.

        Raises:
            ScenarioError: it did not end within its stop time, and was killed.
        """
        if self.process is None:
            return
        try:
            self.process.wait(self.scenario.front.limits.stop_ms / 1000 + START_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise ScenarioError(f"the front did not stop and was killed: {self.tail()}", self.name) from None
        self.set_unreachable()
        self.recorder.note("front_stopped", front=self.name, status=self.process.returncode)

    def kill(self) -> None:
        """Kill the process, wait for it and verify its store."""
        if self.send_kill():
            self.reap()

    def reap(self) -> None:
        """Wait for the end of a killed process and verify its store."""
        assert self.process is not None
        self.process.wait()
        self.check_store()

    def send_kill(self) -> bool:
        """Kill the process without waiting and prevent restarts by the supervisor; whether it ran."""
        with self.lock:
            self.killed_by_script = True
            return self._send_kill()

    def _send_kill(self) -> bool:
        if self.process is None or self.process.poll() is not None:
            return False
        self.end_expected = True
        self.recorder.note("front_killed", front=self.name)
        self.process.kill()
        self.set_unreachable()
        return True

    def set_unreachable(self, unreachable: bool = True) -> None:
        """Make the relay to this front refuse connections, or accept them again."""
        if self.rig is not None:
            self.rig.set_unreachable(self.address, unreachable)

    def pause(self, on: bool) -> None:
        """Send SIGSTOP or SIGCONT to the process."""
        if self.process is not None and self.process.poll() is None:
            self.recorder.note("front_paused" if on else "front_continued", front=self.name)
            self.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    def check_store(self) -> None:
        """Record the faults of its store; only while no process has it open."""
        if self.store.exists():
            for fault in verify_folder(str(self.store)):
                self.recorder.note("store_fault", front=self.name, fault=fault)

    def damage_store(self, how: str) -> None:
        """Change its store as after a power loss; only while no process has it open."""
        if how == "kept" or not self.store.exists():
            return
        self.recorder.note("folder", front=self.name, how=how)
        if how == "torn":
            for journal in sorted(self.store.glob("journal*")):
                raw = journal.read_bytes()
                journal.write_bytes(raw[: max(0, len(raw) - TORN_BYTES)])
        else:
            shutil.rmtree(self.store)
            if how == "old" and self.store_copy.exists():
                shutil.copytree(self.store_copy, self.store)

    def copy_store(self) -> None:
        """Copy its store, for scenarios that restore an old one."""
        if self.store.exists():
            shutil.copytree(self.store, self.store_copy, dirs_exist_ok=True)


class Fronts:
    """All fronts of a scenario, each in its own process."""

    def __init__(self, scenario: Scenario, rig: Rig, seed: int, recorder: Recorder, folder: Path) -> None:
        # All fronts share the keys: with separate ones a waiting-room token was valid only at the front that
        # issued it, and clients, who use any front, were rejected as forgers (only 142 of 200 were served).
        for name in ("places.keys", "operator.keys"):
            rotate(str(folder / name), recorder.clock.wall_us() // 1000)
        peer_addresses: list[list[str] | None] = [None] * scenario.fronts
        if scenario.company:
            peer_addresses = list(rig.peer_addresses([_free_port(i) for i in range(scenario.fronts)]))
        self.all = [
            FrontProcess(scenario, i, rig.lists_for_fronts, seed, recorder, folder, peer_addresses[i])
            for i in range(scenario.fronts)
        ]
        if scenario.relays:
            for front in self.all:
                front.rig = rig

    def start(self) -> None:
        """Start all fronts and wait for them, a few at a time."""
        for start_index in range(0, len(self.all), MAX_PARALLEL_STARTS):
            run_in_parallel(
                [front.start for front in self.all[start_index : start_index + MAX_PARALLEL_STARTS]]
            )

    def stop(self) -> None:
        """Stop all fronts and wait for them."""
        run_in_parallel([front.stop for front in self.all])

    def kill(self) -> None:
        """Kill all fronts that still run."""
        for front in self.all:
            front.kill()

    def chooser(self, name: str, numbers: Sequence[int] = ()) -> Callable[[], str]:
        """Return a function that chooses a front for each try of a client, from all or some fronts.

        The choices are drawn from the client's name and are the same in each run.
        """
        rng, candidates = random.Random(name), [self.all[number] for number in numbers] or self.all
        return lambda: rng.choice(candidates).address


def run_in_parallel(calls: list[Callable[[], None]]) -> None:
    """Run all calls in parallel; the first failure is raised when all have ended."""
    failures: list[ScenarioError] = []

    def run(call: Callable[[], None]) -> None:
        try:
            call()
        except ScenarioError as error:
            failures.append(error)

    threads = [threading.Thread(target=run, args=(call,), name="fronts") for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failures:
        raise failures[0]


def _free_port(index: int) -> str:
    """Return a free address for datagrams.

    It lies below the ephemeral ports: another socket could take one of those before its front binds it.
    """
    while True:
        address = (front_host(index), random.randrange(20_000, 32_000))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind(address)
            except OSError:
                continue
            return "{}:{}".format(*address)
