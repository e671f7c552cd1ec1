"""Runs a scenario: emulated peers on loopback, fronts in their own processes, clients and faults on time."""

from __future__ import annotations

import random
import tempfile
import threading
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import msgspec
from fennelcove.clock import Clock, SystemClock
from fennelcove.emulators.clients import ClientBehavior, EmulatedClient
from fennelcove.emulators.recorder import Record, Recorder
from fennelcove.emulators.stall_monitor import StallMonitor
from fennelcove.emulators.websocket_clients import EmulatedWebSocketClient
from fennelcove.scenarios import authors
from fennelcove.scenarios.fault_injection import FaultInjector, ScheduledAction
from fennelcove.scenarios.fronts import FrontProcess, Fronts, ScenarioError
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.schema_conformance import ConformanceWitness
from fennelcove.scenarios.script import Crowd, PlaylistChange, Scenario
from fennelcove.scenarios.supervisor import Supervisor

__all__ = ["ScenarioError", "ScenarioRunner", "arrivals", "terms"]

MAX_CLIENTS = 5000
MAX_OVERRUN_US = 60_000_000  # how far a run with rollouts may exceed its stated duration


def arrivals(crowd: Crowd, number: int, seed: int) -> Iterator[tuple[float, ClientBehavior]]:
    """Draw the arrival times and habits of a crowd's clients from a seed of its own."""
    rng = random.Random(f"{seed}/{number}")
    at_s = crowd.from_s
    while (at_s := at_s + rng.expovariate(crowd.per_s)) < crowd.to_s:
        hang_up = rng.random() < crowd.hang_up
        yield (
            at_s,
            ClientBehavior(
                room_type=crowd.room_type,
                title=rng.choice(crowd.titles),
                timeout_s=crowd.timeout_s,
                watch_s=crowd.watch_s * (0.5 + rng.random()),
                top_rung=crowd.top_rung,
                retries=crowd.retries,
                respects_retry_after=rng.random() < crowd.honour,
                hangs_up_after_s=rng.uniform(0.0, 0.05) if hang_up else None,
                vanishes=rng.random() < crowd.vanish,
                top_kbit=crowd.top_kbit,
                temper=rng.choice(crowd.tempers) if crowd.tempers else "obeys",
                socket=bool(crowd.sockets) and rng.random() < crowd.sockets,
                apart=bool(crowd.apart) and rng.random() < crowd.apart,
                tenant=crowd.tenant,
                fronts=tuple(crowd.fronts),
            ),
        )


def _player_type() -> type[EmulatedClient]:
    """Import the emulated player, which needs a manifest parser of the development tools.

    Raises:
        ScenarioError: the parser is not installed.
    """
    try:
        from fennelcove.emulators.players import EmulatedPlayer
    except ImportError as error:
        raise ScenarioError(
            f"the scenario's players need the package {error.name}",
            suggestion="install the development tools",
        ) from None
    return EmulatedPlayer


class ScenarioRunner:
    """Runs one scenario and returns its recording."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        clock: Clock | None = None,
        arrivals: list[tuple[float, str, ClientBehavior]] | None = None,
    ) -> None:
        self.scenario = scenario
        self.arrivals = arrivals
        self.seed = seed
        self.clock = clock or SystemClock()
        self.recorder = Recorder(self.clock)
        self.stop_event = threading.Event()
        self.clients: list[EmulatedClient] = []

    def play(self) -> list[Record]:
        """Run the scenario and return its records.

        Raises:
            ScenarioError: a front did not start or end.
        """
        with tempfile.TemporaryDirectory(prefix="fennelcove-day-") as folder:
            self.recorder.note("terms", **terms(self.scenario))
            rig = Rig(self.scenario, self.clock, self.recorder, self.seed)
            fronts = Fronts(self.scenario, rig, self.seed, self.recorder, Path(folder))
            supervisor = Supervisor(rig, fronts, Path(folder), self.stop_event)
            fault_injector = FaultInjector(rig, fronts, self.seed, self.stop_event, supervisor)
            stall_monitor = StallMonitor(self.recorder)
            try:
                stall_monitor.start()
                rig.start()
                fronts.start()
                for front in fronts.all:
                    front.copy_store()
                supervisor.start()
                self.recorder.note("day_began")
                self._run(self._schedule(rig, fronts, fault_injector))
                for client in self.clients:
                    client.thread.join()
                self._wait_for_rollout(supervisor)
                supervisor.scenario_ended = True
                fault_injector.wait()
                supervisor.stop()
                rig.record_traffic()
                fronts.stop()
            finally:
                self.stop_event.set()
                supervisor.stopped = True
                fronts.kill()
                rig.stop()
                stall_monitor.stop()
        return self.recorder.records

    def _arrivals(self) -> list[tuple[float, str, ClientBehavior, bool]]:
        """The given arrivals or else those of the script's crowds, up to `MAX_CLIENTS`."""
        found: list[tuple[float, str, ClientBehavior, bool]] = []
        if self.arrivals is not None:
            found = [(at_s, name, habits, False) for at_s, name, habits in self.arrivals]
        for number, crowd in enumerate(self.scenario.crowds if self.arrivals is None else ()):
            for at_s, habits in arrivals(crowd, number, self.seed):
                found.append((at_s, f"v{number}-{len(found)}", habits, crowd.plays))
        return found[:MAX_CLIENTS]

    def _schedule(self, rig: Rig, fronts: Fronts, fault_injector: FaultInjector) -> list[ScheduledAction]:
        actions: list[ScheduledAction] = []
        observer = ConformanceWitness(self.recorder)
        for at_s, name, habits, plays in self._arrivals():
            client_type = (
                _player_type() if plays else EmulatedWebSocketClient if habits.socket else EmulatedClient
            )
            choose_front = fronts.chooser(name, habits.fronts)
            client = client_type(
                name, habits, choose_front, self.clock, self.recorder, rig.delivered_share, self.stop_event
            )
            client.observer = observer
            self.clients.append(client)
            actions.append(ScheduledAction(at_s, client.thread.start))
        for number, change in enumerate(self.scenario.changes):
            actions.append(ScheduledAction(change.at_s, partial(self._change, change, number, fronts.all[0])))
        for number, fault_spec in enumerate(self.scenario.troubles):
            actions += fault_injector.schedule(number, fault_spec)
        return sorted(actions, key=lambda action: action.at_s)

    def _change(self, change: PlaylistChange, number: int, front: FrontProcess) -> None:
        authors.send_change(change, number, lambda: front.address, self.clock, self.recorder)

    def _wait_for_rollout(self, supervisor: Supervisor) -> None:
        """Wait until a scenario with rollouts has reached its stated duration and its plan has ended.

        How long a plan takes depends on how fast the host starts processes; the verdict must not.
        """
        began_us = next(r["t_us"] for r in self.recorder.records if r["what"] == "day_began")
        until_us = self.recorder.began_us + began_us + round(self.scenario.seconds * 1e6)
        if self.scenario.release is not None:
            self.stop_event.wait(max(0.0, (until_us - self.clock.now_us()) / 1e6))
            until_us += MAX_OVERRUN_US
            while not supervisor.settled(self.scenario.release) and self.clock.now_us() < until_us:
                self.stop_event.wait(0.1)

    def _run(self, actions: list[ScheduledAction]) -> None:
        began_us = self.clock.now_us()
        for action in actions:
            left_s = action.at_s - (self.clock.now_us() - began_us) / 1e6
            if left_s > 0:
                self.stop_event.wait(left_s)
            action.call()


def terms(scenario: Scenario) -> Record:
    """The `terms` record: the parameters that the checker needs."""
    front = scenario.front
    return {
        "day": scenario.name,
        "service_floor": scenario.service_floor,
        "stall_limit_ms": scenario.stall_limit_ms,
        "company": scenario.company,
        "fronts": scenario.fronts if scenario.fronts > 1 else front.instance.fronts,
        "settle_within_s": scenario.settle_within_s,
        "release": _rollout_terms(scenario),
        "slot_wait_ms": front.fair.wait_ms if front.fair is not None else 0.0,
        "tenants": _tenant_terms(scenario),
        "slots": msgspec.to_builtins(scenario.slots) if scenario.slots is not None else None,
        "troubles": [fault_spec.what for fault_spec in scenario.troubles],
        "last_crowd_s": max(crowd.to_s for crowd in scenario.crowds),
        "stop_ms": front.limits.stop_ms,
        "drain_grace_ms": front.rules.drain_grace_ms,
        "ramp_ms": front.rules.ramp_ms,
        "start_capacity": front.rules.start_capacity,
        "fall_multiple": scenario.rig.fall_multiple,
        "tip_after_ms": scenario.rig.tip_after_ms,
        "budget_free": front.rules.budget_free,
        "budget_ratio": front.rules.budget_ratio,
        "budget_span_ms": front.rules.budget_span_ms,
        "room_types": [msgspec.to_builtins(room) for room in front.room_types],
    }


def _tenant_terms(scenario: Scenario) -> Record | None:
    """The requirements for tenants, if any."""
    requirements, fair = scenario.tenants, scenario.front.fair
    if requirements is None:
        return None
    return {
        **msgspec.to_builtins(requirements),
        "slots": fair.slots if fair is not None else scenario.front.limits.box_connections * scenario.fronts,
        "cut": any(fault_spec.what == "between" for fault_spec in scenario.troubles),
        "stopped": any(fault_spec.what == "front-stop" for fault_spec in scenario.troubles),
        "hops": any(crowd.tenant == requirements.hog and crowd.fronts for crowd in scenario.crowds),
    }


def _rollout_terms(scenario: Scenario) -> Record | None:
    """The limits and expected outcome of rollouts, if any."""
    requirements, limits = scenario.release, scenario.front.releases
    if requirements is None or limits is None:
        return None
    zones = scenario.halls or [scenario.front.instance.zone]
    return {
        **msgspec.to_builtins(requirements),
        "fronts_out": limits.fronts_out,
        "fronts_out_hall": limits.fronts_out_hall,
        "boxes_out": limits.boxes_out,
        "boxes_out_hall": limits.boxes_out_hall,
        "boxes_out_title": limits.boxes_out_title,
        "titles": {
            title.name: [(title.first_cell + i) % scenario.front.fleet.cells for i in range(title.cells)]
            for title in scenario.front.titles
        },
        "halls": {f"{scenario.front.name}-{i}": zones[i % len(zones)] for i in range(scenario.fronts)},
        "strikes": [fault_spec.what for fault_spec in scenario.troubles if fault_spec.what != "order"],
        "orders": sum(fault_spec.what == "order" for fault_spec in scenario.troubles),
        "hangs": any(version.hangs for version in scenario.versions),
        "bad": [version.number for version in scenario.versions],
    }
