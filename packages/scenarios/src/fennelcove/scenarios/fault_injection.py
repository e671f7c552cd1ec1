"""Injects faults into fronts or the whole fleet: kills, pauses, network partitions and power losses."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from zlib import crc32

from fennelcove.emulators.dishonest_front import DishonestFront
from fennelcove.scenarios.fronts import FrontProcess, Fronts, ScenarioError, run_in_parallel
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import FaultSpec, PowerLoss
from fennelcove.scenarios.supervisor import Supervisor
from msgspec.structs import replace as replace_struct


@dataclass(frozen=True, slots=True)
class ScheduledAction:
    """An action at a time of the scenario."""

    at_s: float
    call: Callable[[], None]


class FaultInjector:
    """Turns a scenario's faults into scheduled actions.

    Long actions run on their own threads; a failure of one fails the run.
    """

    def __init__(
        self, rig: Rig, fronts: Fronts, seed: int, stop_event: threading.Event, supervisor: Supervisor
    ) -> None:
        self.rig = rig
        self.fronts = fronts
        self.supervisor = supervisor
        self.rng = Random(f"{seed}/troubles")
        self.stop_event = stop_event
        self.threads: list[threading.Thread] = []
        self.failures: list[ScenarioError] = []

    def schedule(self, number: int, fault_spec: FaultSpec) -> Iterator[ScheduledAction]:
        """Return the scheduled actions of one fault."""
        if fault_spec.until is not None or fault_spec.leader:
            yield ScheduledAction(
                fault_spec.at_s, self._on_thread(lambda: self._inject_on_condition(number, fault_spec))
            )
        elif fault_spec.what == "order":
            yield ScheduledAction(
                fault_spec.at_s, self._on_thread(lambda: self.supervisor.run_command(fault_spec))
            )
        elif fault_spec.what in ("front-restart", "front-kill"):
            yield ScheduledAction(fault_spec.at_s, self._on_thread(lambda: self._restart(fault_spec)))
        elif fault_spec.what == "front-stop":
            yield ScheduledAction(fault_spec.at_s, lambda: self._pause(fault_spec, True))
            yield ScheduledAction(fault_spec.at_s + fault_spec.for_s, lambda: self._pause(fault_spec, False))
        elif fault_spec.what == "slots-lie":
            yield ScheduledAction(
                fault_spec.at_s, self._on_thread(lambda: self._send_false_messages(fault_spec))
            )
        elif fault_spec.what == "between":
            yield ScheduledAction(
                fault_spec.at_s, lambda: self.rig.set_network_fault(number, fault_spec, True)
            )
            if fault_spec.for_s:
                yield ScheduledAction(
                    fault_spec.at_s + fault_spec.for_s,
                    lambda: self.rig.set_network_fault(number, fault_spec, False),
                )
        elif fault_spec.what == "power":
            assert fault_spec.power is not None
            yield from self._schedule_power_loss(fault_spec.at_s, fault_spec.power)
        else:
            yield ScheduledAction(fault_spec.at_s, lambda: self.rig.apply(fault_spec, True))
            if fault_spec.for_s:
                yield ScheduledAction(
                    fault_spec.at_s + fault_spec.for_s, lambda: self.rig.apply(fault_spec, False)
                )

    def wait(self) -> None:
        """Wait for all running actions.

        Raises:
            ScenarioError: a front did not restart.
        """
        for thread in self.threads:
            thread.join()
        if self.failures:
            raise self.failures[0]

    def _on_thread(self, call: Callable[[], None]) -> Callable[[], None]:
        def run() -> None:
            try:
                call()
            except ScenarioError as error:
                self.failures.append(error)

        thread = threading.Thread(target=run, name="trouble")
        self.threads.append(thread)
        return thread.start

    def _inject_on_condition(self, number: int, fault_spec: FaultSpec) -> None:
        """Wait for the fault's condition, resolve its target, then inject it."""
        if not self.supervisor.wait(fault_spec):
            return
        if fault_spec.leader:
            leader = self.supervisor.leader()
            if leader is None:
                return  # the checker reports that the fault did not occur
            fault_spec = replace_struct(fault_spec, fronts=[leader.index])
        began_us = self.rig.clock.now_us()
        for action in self.schedule(number, replace_struct(fault_spec, at_s=0.0, until=None, leader=False)):
            elapsed_s = (self.rig.clock.now_us() - began_us) / 1e6
            self.stop_event.wait(max(0.0, action.at_s - elapsed_s))
            action.call()

    def _target_fronts(self, fault_spec: FaultSpec) -> list[FrontProcess]:
        numbers = fault_spec.fronts or [(fault_spec.box or 0) % len(self.fronts.all)]
        return [self.fronts.all[number] for number in numbers]

    def _restart(self, fault_spec: FaultSpec) -> None:
        targets = self._target_fronts(fault_spec)
        if fault_spec.what == "front-restart":
            run_in_parallel([front.stop for front in targets])
        else:
            for front in [front for front in targets if front.send_kill()]:
                front.reap()
        self.stop_event.wait(fault_spec.for_s)
        if not self.stop_event.is_set():
            run_in_parallel([front.start for front in targets])

    def _pause(self, fault_spec: FaultSpec, on: bool) -> None:
        for front in self._target_fronts(fault_spec):
            front.pause(on)

    def _send_false_messages(self, fault_spec: FaultSpec) -> None:
        """Kill a front for good and send false messages from its address."""
        for front in self._target_fronts(fault_spec):
            if not front.send_kill():
                continue
            front.reap()
            assert front.peer_addresses is not None
            rig = self.rig
            peers = [address for i, address in enumerate(front.peer_addresses) if i != front.index]
            server_hashes = [
                crc32(f"{endpoint.address} {endpoint.kind}".encode()) for endpoint in rig.endpoints
            ]
            liar = DishonestFront(
                rig.clock, front.peer_addresses[front.index], peers, server_hashes, self.rng
            )
            liar.start()
            self.stop_event.wait(fault_spec.for_s)
            liar.stop()
            rig.recorder.note("lies", front=front.name, sent=liar.sent)

    # Power.

    def _schedule_power_loss(self, at_s: float, power: PowerLoss) -> Iterator[ScheduledAction]:
        """Stop everything at once; each component restarts at its own time, drawn from the seed."""
        yield ScheduledAction(at_s, lambda: self._cut_power(power))
        lists = at_s + power.lists_back_s
        yield ScheduledAction(lists, lambda: self._restore_list_service(power))
        count = len(self.rig.servers)
        for number in range(power.boxes_spared, count):
            restart_s = self.rng.uniform(*power.boxes_back_s)  # drawn also for servers that never restart
            if number < count - power.boxes_never:
                yield ScheduledAction(at_s + restart_s, lambda number=number: self._restart_server(number))  # type: ignore[misc]
        if power.lists_before and power.lists_learn_s:
            yield ScheduledAction(
                lists + power.lists_learn_s, lambda: self.rig.lists.publish(*self.rig.endpoints)
            )
        for front in self.fronts.all:
            restart_s = self.rng.uniform(*power.fronts_back_s)
            if front.index < len(self.fronts.all) - power.fronts_never:
                restart = self._on_thread(lambda front=front: self._restart_front(front, power))  # type: ignore[misc]
                yield ScheduledAction(at_s + restart_s, restart)

    def _cut_power(self, power: PowerLoss) -> None:
        recorder = self.rig.recorder
        recorder.note("power", on=False)
        killed = [front for front in self.fronts.all if front.send_kill()]
        self.rig.lists.server.down()
        self.rig.set_unreachable(self.rig.lists_for_fronts)
        for server in self.rig.servers[power.boxes_spared :]:
            server.crash()
            self.rig.set_unreachable(server.address)
        for front in killed:
            front.reap()
        if power.lists_before:
            self.rig.lists.restore_first_version()
        else:
            # The list service observes that no process runs and lists no server until one does.
            number = power.boxes_spared
            self.rig.endpoints[number:] = [
                replace(endpoint, state="left") for endpoint in self.rig.endpoints[number:]
            ]

    def _restore_list_service(self, power: PowerLoss) -> None:
        rig = self.rig
        if not power.lists_before:
            rig.lists.publish(*rig.endpoints)
        rig.lists.server.up()
        rig.set_unreachable(rig.lists_for_fronts, unreachable=False)
        rig.recorder.note("lists_back", before=power.lists_before)

    def _restart_server(self, number: int) -> None:
        rig = self.rig
        server = rig.servers[number]
        server.restart()
        rig.set_unreachable(server.address, unreachable=False)
        rig.endpoints[number] = replace(rig.endpoints[number], state="active", started_us=rig.clock.now_us())
        publishes = not any(
            fault_spec.power and fault_spec.power.lists_before for fault_spec in rig.scenario.troubles
        )
        if publishes:
            rig.lists.publish(rig.endpoints[number])

    def _restart_front(self, front: FrontProcess, power: PowerLoss) -> None:
        front.damage_store(power.folders[front.index % len(power.folders)] if power.folders else "kept")
        if power.clocks_s:
            front.clock_offset_s = power.clocks_s[front.index % len(power.clocks_s)]
        front.launch()
        while not front.up():
            if front.killed_by_script or self.stop_event.wait(0.02):
                return
