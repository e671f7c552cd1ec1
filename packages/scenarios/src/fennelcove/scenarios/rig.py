"""The emulated peers of a scenario, the relays between them, and the faults that are switched on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from fennelcove.clock import Clock
from fennelcove.emulators.endpoint_list_service import EmulatedListService, ListedServer, ListingState
from fennelcove.emulators.fault_proxy.faults import Fault, FaultKind, Party
from fennelcove.emulators.fault_proxy.latency_probe import LatencyProbe
from fennelcove.emulators.fault_proxy.relay import Relays
from fennelcove.emulators.media_server import EmulatedServer, SetUpTimes
from fennelcove.emulators.model import RackModel, ServerModel
from fennelcove.emulators.recorder import Recorder
from fennelcove.scenarios.script import FaultSpec, Scenario


@dataclass(frozen=True, slots=True)
class FaultAction:
    """The actions at the start and at the end of a fault."""

    begin: Callable[[Rig, FaultSpec], None]
    end: Callable[[Rig, FaultSpec], None] | None = None


def front_host(index: int) -> str:
    """The source address of a front's connections, by which relays identify it."""
    return f"127.0.1.{index + 1}"


class Rig:
    """The servers and the list service of a scenario, and its relays if it has them."""

    def __init__(self, scenario: Scenario, clock: Clock, recorder: Recorder, seed: int = 1) -> None:
        self.scenario = scenario
        self.relays = Relays(clock, Random(f"{seed}/relays").random) if scenario.relays else None
        self.gauge = LatencyProbe(clock, recorder, self.relays) if self.relays is not None else None
        self.faults: dict[int, list[Fault]] = {}  # by the number of the scenario's fault
        self.clock = clock
        self.recorder = recorder
        racks = scenario.front.fleet.racks
        self.racks = [RackModel(scenario.rig.uplink_kb) for _ in range(racks)]
        self.lists = EmulatedListService(clock, recorder)
        self.lists_for_fronts = self.lists.address
        if self.relays is not None:
            self.lists_for_fronts = self.relays.add_listener(self.lists.address, frozenset({"lists"}))
            for i in range(scenario.fronts):
                self.relays.assign_party(front_host(i), self.front_party(i))
        self.servers: list[EmulatedServer] = []
        self.endpoints: list[ListedServer] = []
        for i in range(len(scenario.boxes)):
            self._add_server(i)

    def _add_server(self, index: int) -> EmulatedServer:
        # A replacement takes the configuration of the server it replaces, also if that was a replacement.
        settings, spec = self.scenario.front, self.scenario.boxes[index % len(self.scenario.boxes)]
        streams = {kind.name: kind.streams for kind in settings.fleet.kinds}[spec.kind]
        rack = self.racks[spec.cell % len(self.racks)]
        model = ServerModel(
            spec.link_kb,
            streams,
            rack,
            round(settings.rules.ramp_ms * 1000),
            settings.rules.start_capacity,
            self.scenario.rig.fall_multiple,
            round(self.scenario.rig.tip_after_ms * 1000),
            settings.fleet.guard,
        )
        rack.servers.append(model)
        server = EmulatedServer(
            f"box-{len(self.servers)}",
            model,
            self.clock,
            self.recorder,
            settings.fleet.reports_every_ms / 1000,
        )
        rig_spec = self.scenario.rig
        knee = rig_spec.knee if spec.knee is None else spec.knee
        server.set_up_times = SetUpTimes(
            rig_spec.hold_ms, rig_spec.slow_hold_ms, frozenset(rig_spec.slow_titles), knee
        )
        if self.relays is not None:
            name = f"box-{len(self.servers)}"
            server.address = self.relays.add_listener(server.address, frozenset({"boxes", name, spec.zone}))
        weight = spec.link_kb / (settings.fleet.kb_per_weight or spec.link_kb)
        self.servers.append(server)
        self.endpoints.append(ListedServer(server.address, spec.zone, spec.kind, spec.cell, weight))
        self.recorder.note(
            "box", box=server.address, cell=spec.cell, zone=spec.zone, kind=spec.kind, streams=streams
        )
        if knee:
            self.recorder.note("knee", box=server.address, knee=knee)
        return server

    def start(self) -> None:
        """Start all emulated peers and publish the first list."""
        for server in self.servers:
            server.start()
        self.lists.publish(*self.endpoints)
        self.lists.start()
        if self.relays is not None:
            self.relays.start()
        if self.gauge is not None:
            self.gauge.start()

    def stop(self) -> None:
        """Stop all emulated peers."""
        if self.gauge is not None:
            self.gauge.stop()
        self.lists.stop()
        if self.relays is not None:
            self.relays.stop()
        for server in self.servers:
            server.stop()

    def front_party(self, front: int) -> Party:
        """The names of a front in faults: the group of fronts, its number and its zone."""
        zones = self.scenario.halls or [self.scenario.front.instance.zone]
        return frozenset({"fronts", f"front-{front}", zones[front % len(zones)]})

    def client_address(self, front: int, address: str) -> str:
        """The address at which clients reach a front that listens there."""
        return (
            self.relays.add_listener(address, self.front_party(front)) if self.relays is not None else address
        )

    def peer_addresses(self, addresses: list[str]) -> list[list[str]]:
        """For fronts with these peer addresses: the addresses of all peers as each front has to know them."""
        if self.relays is None:
            return [addresses for _ in addresses]
        return self.relays.add_datagram_relays(
            addresses, [self.front_party(i) for i in range(len(addresses))]
        )

    def set_network_fault(self, number: int, fault_spec: FaultSpec, on: bool) -> None:
        """Start or end a network fault between parties."""
        spec = fault_spec.between
        assert spec is not None and self.relays is not None
        directions = [(spec.sender, spec.taker)] + ([(spec.taker, spec.sender)] if spec.both else [])
        if on:
            self.faults[number] = [
                Fault(a, b, FaultKind(spec.how), fault_spec.value, spec.share) for a, b in directions
            ]
        else:
            self.faults.pop(number, None)
        for a, b in directions:
            self.recorder.note("fault", sender=a, taker=b, how=spec.how, on=on, number=number)
        self.relays.set(*[fault for faults in self.faults.values() for fault in faults])

    def delay_messages(self, front: int, late_ms: float) -> None:
        """Delay what this front sends to servers from now on; 0 ends the delay."""
        if self.relays is None or bool(late_ms) is (-1 - front in self.faults):
            return
        front_party = f"front-{front}"
        if late_ms:
            self.faults[-1 - front] = [Fault(front_party, "boxes", FaultKind.DELAY, late_ms)]
        else:
            del self.faults[-1 - front]
        self.recorder.note(
            "fault", sender=front_party, taker="boxes", how="delay", on=bool(late_ms), number=-1 - front
        )
        self.relays.set(*[fault for faults in self.faults.values() for fault in faults])

    def set_unreachable(self, address: str, unreachable: bool = True) -> None:
        """Make the relay at this address refuse connections, or accept them again."""
        if self.relays is not None:
            (self.relays.shut if unreachable else self.relays.open)(address)

    def record_traffic(self) -> None:
        """Record what the relays carried."""
        if self.relays is not None:
            self.recorder.note("carried", **self.relays.traffic_counts())

    def delivered_share(self, address: str) -> float:
        """The share of its rate that a player at this server gets."""
        for server in self.servers:
            if server.address == address:
                return server.model.delivered() if server.model.up and not server.faults.hang else 0.0
        return 1.0

    def apply(self, fault_spec: FaultSpec, on: bool) -> None:
        """Start or end a fault."""
        action = FAULT_ACTIONS[fault_spec.what]
        self.recorder.note("trouble", kind=fault_spec.what, box=fault_spec.box, on=on)
        if on:
            action.begin(self, fault_spec)
        elif action.end is not None:
            action.end(self, fault_spec)

    def target_server(self, fault_spec: FaultSpec) -> EmulatedServer:
        """The server that a fault concerns."""
        return self.servers[fault_spec.box or 0]

    def publish_state(self, fault_spec: FaultSpec, state: ListingState) -> None:
        """Publish a new state for the server of a fault."""
        number = fault_spec.box or 0
        self.endpoints[number] = replace(self.endpoints[number], state=state)
        self.lists.publish(self.endpoints[number])


def _flag(name: str, on: object = True, off: object = False) -> FaultAction:
    return FaultAction(
        lambda rig, fault_spec: setattr(rig.target_server(fault_spec).faults, name, on),
        lambda rig, fault_spec: setattr(rig.target_server(fault_spec).faults, name, off),
    )


def _set_slow(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.target_server(fault_spec).faults.slow_ms = fault_spec.value


def _clear_slow(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.target_server(fault_spec).faults.slow_ms = 0.0


def _report_false_load(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.target_server(fault_spec).faults.lies = fault_spec.value


def _set_knee(rig: Rig, fault_spec: FaultSpec, knee: int) -> None:
    server = rig.target_server(fault_spec)
    server.set_up_times = replace(server.set_up_times, knee=knee)
    rig.recorder.note("knee", box=server.address, knee=knee)


def _change_knee(rig: Rig, fault_spec: FaultSpec) -> None:
    _set_knee(rig, fault_spec, max(1, round(fault_spec.value)))


def _restore_knee(rig: Rig, fault_spec: FaultSpec) -> None:
    own_knee = rig.scenario.boxes[fault_spec.box or 0].knee
    _set_knee(rig, fault_spec, rig.scenario.rig.knee if own_knee is None else own_knee)


def _add_link_load(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.target_server(fault_spec).model.competing_kb = fault_spec.value


def _clear_link_load(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.target_server(fault_spec).model.competing_kb = 0.0


def _crash(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.target_server(fault_spec).crash()
    rig.set_unreachable(rig.target_server(fault_spec).address)


def _restart(rig: Rig, fault_spec: FaultSpec) -> None:
    number = fault_spec.box or 0
    rig.servers[number].restart()
    rig.set_unreachable(rig.servers[number].address, unreachable=False)
    rig.endpoints[number] = replace(rig.endpoints[number], started_us=rig.clock.now_us())
    rig.lists.publish(rig.endpoints[number])


def _replace(rig: Rig, fault_spec: FaultSpec) -> None:
    """Drain a server and add a cold one with another address in its place."""
    number = fault_spec.box or 0
    replacement = rig._add_server(number)
    replacement.model.start(rig.clock.now_us())
    rig.recorder.note("box_started", box=replacement.address)
    replacement.start()
    rig.endpoints[-1] = replace(rig.endpoints[-1], started_us=rig.clock.now_us())
    rig.endpoints[number] = replace(rig.endpoints[number], state="leaving")
    rig.lists.publish(rig.endpoints[number], rig.endpoints[-1])


def _remove(rig: Rig, fault_spec: FaultSpec) -> None:
    rig.publish_state(fault_spec, "left")
    rig.target_server(fault_spec).crash()


FAULT_ACTIONS: dict[str, FaultAction] = {
    "hang": _flag("hang"),
    "slow": FaultAction(_set_slow, _clear_slow),
    "errors": _flag("errors"),
    "reset": _flag("reset"),
    "half": _flag("half"),
    "garbage": _flag("garbage"),
    "full": _flag("full"),
    "lies": FaultAction(_report_false_load, _flag("lies", None, None).begin),
    "mute": _flag("mute"),
    "neighbour": FaultAction(_add_link_load, _clear_link_load),
    "knee": FaultAction(_change_knee, _restore_knee),
    "die": FaultAction(_crash, _restart),
    "leave": FaultAction(
        lambda rig, fault_spec: rig.publish_state(fault_spec, "leaving"),
        lambda rig, fault_spec: rig.publish_state(fault_spec, "active"),
    ),
    "left": FaultAction(lambda rig, fault_spec: rig.publish_state(fault_spec, "left")),
    "replace": FaultAction(_replace, _remove),
    "list-out": FaultAction(
        lambda rig, fault_spec: rig.lists.server.down(), lambda rig, fault_spec: rig.lists.server.up()
    ),
}
