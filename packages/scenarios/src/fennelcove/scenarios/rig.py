"""The emulated peers of a scenario, the relays between them, and the faults that are switched on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from fennelcove.clock import Clock
from fennelcove.emulators.endpoint_list_service import Known, StandInLists, State
from fennelcove.emulators.fault_proxy.faults import Fault, How, Party
from fennelcove.emulators.fault_proxy.gauge import Gauge
from fennelcove.emulators.fault_proxy.relay import Relays
from fennelcove.emulators.media_server import Pace, StandInBox
from fennelcove.emulators.model import BoxModel, RackModel
from fennelcove.emulators.recorder import Recorder
from fennelcove.scenarios.script import Day, Trouble


@dataclass(frozen=True, slots=True)
class Switch:
    """The actions at the start and at the end of a fault."""

    begin: Callable[[Rig, Trouble], None]
    end: Callable[[Rig, Trouble], None] | None = None


def front_host(index: int) -> str:
    """The source address of a front's connections, by which relays identify it."""
    return f"127.0.1.{index + 1}"


class Rig:
    """The servers and the list service of a scenario, and its relays if it has them."""

    def __init__(self, day: Day, clock: Clock, recorder: Recorder, seed: int = 1) -> None:
        self.day = day
        self.relays = Relays(clock, Random(f"{seed}/relays").random) if day.relays else None
        self.gauge = Gauge(clock, recorder, self.relays) if self.relays is not None else None
        self.faults: dict[int, list[Fault]] = {}  # by the number of the scenario's fault
        self.clock = clock
        self.recorder = recorder
        racks = day.front.fleet.racks
        self.racks = [RackModel(day.rig.uplink_kb) for _ in range(racks)]
        self.lists = StandInLists(clock, recorder)
        self.lists_for_fronts = self.lists.address
        if self.relays is not None:
            self.lists_for_fronts = self.relays.door(self.lists.address, frozenset({"lists"}))
            for i in range(day.fronts):
                self.relays.name(front_host(i), self.party(i))
        self.boxes: list[StandInBox] = []
        self.known: list[Known] = []
        for i in range(len(day.boxes)):
            self._add(i)

    def _add(self, line: int) -> StandInBox:
        # A replacement takes the configuration of the server it replaces, also if that was a replacement.
        settings, spec = self.day.front, self.day.boxes[line % len(self.day.boxes)]
        streams = {kind.name: kind.streams for kind in settings.fleet.kinds}[spec.kind]
        rack = self.racks[spec.cell % len(self.racks)]
        model = BoxModel(
            spec.link_kb,
            streams,
            rack,
            round(settings.rules.ramp_ms * 1000),
            settings.rules.start_capacity,
            self.day.rig.fall_multiple,
            round(self.day.rig.tip_after_ms * 1000),
            settings.fleet.guard,
        )
        rack.boxes.append(model)
        box = StandInBox(
            f"box-{len(self.boxes)}", model, self.clock, self.recorder, settings.fleet.reports_every_ms / 1000
        )
        told = self.day.rig
        knee = told.knee if spec.knee is None else spec.knee
        box.pace = Pace(told.hold_ms, told.slow_hold_ms, frozenset(told.slow_titles), knee)
        if self.relays is not None:
            number = f"box-{len(self.boxes)}"
            box.address = self.relays.door(box.address, frozenset({"boxes", number, spec.zone}))
        weight = spec.link_kb / (settings.fleet.kb_per_weight or spec.link_kb)
        self.boxes.append(box)
        self.known.append(Known(box.address, spec.zone, spec.kind, spec.cell, weight))
        self.recorder.note(
            "box", box=box.address, cell=spec.cell, zone=spec.zone, kind=spec.kind, streams=streams
        )
        if knee:
            self.recorder.note("knee", box=box.address, knee=knee)
        return box

    def start(self) -> None:
        """Start all emulated peers and publish the first list."""
        for box in self.boxes:
            box.start()
        self.lists.publish(*self.known)
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
        for box in self.boxes:
            box.stop()

    def party(self, front: int) -> Party:
        """The names of a front in faults: the group of fronts, its number and its zone."""
        halls = self.day.halls or [self.day.front.instance.zone]
        return frozenset({"fronts", f"front-{front}", halls[front % len(halls)]})

    def front_door(self, front: int, address: str) -> str:
        """The address at which clients reach a front that listens there."""
        return self.relays.door(address, self.party(front)) if self.relays is not None else address

    def company(self, addresses: list[str]) -> list[list[str]]:
        """For fronts with these peer addresses: the addresses of all peers as each front has to know them."""
        if self.relays is None:
            return [addresses for _ in addresses]
        return self.relays.post(addresses, [self.party(i) for i in range(len(addresses))])

    def fault(self, number: int, trouble: Trouble, on: bool) -> None:
        """Start or end a network fault between parties."""
        told = trouble.between
        assert told is not None and self.relays is not None
        ways = [(told.sender, told.taker)] + ([(told.taker, told.sender)] if told.both else [])
        if on:
            self.faults[number] = [Fault(a, b, How(told.how), trouble.value, told.share) for a, b in ways]
        else:
            self.faults.pop(number, None)
        for a, b in ways:
            self.recorder.note("fault", sender=a, taker=b, how=told.how, on=on, number=number)
        self.relays.set(*[fault for faults in self.faults.values() for fault in faults])

    def late(self, front: int, late_ms: float) -> None:
        """Delay what this front sends to servers from now on; 0 ends the delay."""
        if self.relays is None or bool(late_ms) is (-1 - front in self.faults):
            return
        party = f"front-{front}"
        if late_ms:
            self.faults[-1 - front] = [Fault(party, "boxes", How.DELAY, late_ms)]
        else:
            del self.faults[-1 - front]
        self.recorder.note(
            "fault", sender=party, taker="boxes", how="delay", on=bool(late_ms), number=-1 - front
        )
        self.relays.set(*[fault for faults in self.faults.values() for fault in faults])

    def shut(self, address: str, gone: bool = True) -> None:
        """Make the relay at this address refuse connections, or accept them again."""
        if self.relays is not None:
            (self.relays.shut if gone else self.relays.open)(address)

    def carried(self) -> None:
        """Record what the relays carried."""
        if self.relays is not None:
            self.recorder.note("carried", **self.relays.told())

    def share_of(self, address: str) -> float:
        """The share of its rate that a player at this server gets."""
        for box in self.boxes:
            if box.address == address:
                return box.model.delivered() if box.model.up and not box.faults.hang else 0.0
        return 1.0

    def switch(self, trouble: Trouble, on: bool) -> None:
        """Start or end a fault."""
        switch = SWITCHES[trouble.what]
        self.recorder.note("trouble", kind=trouble.what, box=trouble.box, on=on)
        if on:
            switch.begin(self, trouble)
        elif switch.end is not None:
            switch.end(self, trouble)

    def box(self, trouble: Trouble) -> StandInBox:
        """The server that a fault concerns."""
        return self.boxes[trouble.box or 0]

    def list_state(self, trouble: Trouble, state: State) -> None:
        """Publish a new state for the server of a fault."""
        number = trouble.box or 0
        self.known[number] = replace(self.known[number], state=state)
        self.lists.publish(self.known[number])


def _fault(name: str, on: object = True, off: object = False) -> Switch:
    return Switch(
        lambda rig, trouble: setattr(rig.box(trouble).faults, name, on),
        lambda rig, trouble: setattr(rig.box(trouble).faults, name, off),
    )


def _slow(rig: Rig, trouble: Trouble) -> None:
    rig.box(trouble).faults.slow_ms = trouble.value


def _not_slow(rig: Rig, trouble: Trouble) -> None:
    rig.box(trouble).faults.slow_ms = 0.0


def _lies(rig: Rig, trouble: Trouble) -> None:
    rig.box(trouble).faults.lies = trouble.value


def _to_knee(rig: Rig, trouble: Trouble, knee: int) -> None:
    box = rig.box(trouble)
    box.pace = replace(box.pace, knee=knee)
    rig.recorder.note("knee", box=box.address, knee=knee)


def _knee(rig: Rig, trouble: Trouble) -> None:
    _to_knee(rig, trouble, max(1, round(trouble.value)))


def _old_knee(rig: Rig, trouble: Trouble) -> None:
    told = rig.day.boxes[trouble.box or 0].knee
    _to_knee(rig, trouble, rig.day.rig.knee if told is None else told)


def _neighbour(rig: Rig, trouble: Trouble) -> None:
    rig.box(trouble).model.others_kb = trouble.value


def _no_neighbour(rig: Rig, trouble: Trouble) -> None:
    rig.box(trouble).model.others_kb = 0.0


def _die(rig: Rig, trouble: Trouble) -> None:
    rig.box(trouble).die()
    rig.shut(rig.box(trouble).address)


def _rise(rig: Rig, trouble: Trouble) -> None:
    number = trouble.box or 0
    rig.boxes[number].restart()
    rig.shut(rig.boxes[number].address, gone=False)
    rig.known[number] = replace(rig.known[number], started_us=rig.clock.now_us())
    rig.lists.publish(rig.known[number])


def _replace(rig: Rig, trouble: Trouble) -> None:
    """Drain a server and add a cold one with another address in its place."""
    number = trouble.box or 0
    successor = rig._add(number)
    successor.model.start(rig.clock.now_us())
    rig.recorder.note("box_started", box=successor.address)
    successor.start()
    rig.known[-1] = replace(rig.known[-1], started_us=rig.clock.now_us())
    rig.known[number] = replace(rig.known[number], state="leaving")
    rig.lists.publish(rig.known[number], rig.known[-1])


def _gone(rig: Rig, trouble: Trouble) -> None:
    rig.list_state(trouble, "left")
    rig.box(trouble).die()


SWITCHES: dict[str, Switch] = {
    "hang": _fault("hang"),
    "slow": Switch(_slow, _not_slow),
    "errors": _fault("errors"),
    "reset": _fault("reset"),
    "half": _fault("half"),
    "garbage": _fault("garbage"),
    "full": _fault("full"),
    "lies": Switch(_lies, _fault("lies", None, None).begin),
    "mute": _fault("mute"),
    "neighbour": Switch(_neighbour, _no_neighbour),
    "knee": Switch(_knee, _old_knee),
    "die": Switch(_die, _rise),
    "leave": Switch(
        lambda rig, trouble: rig.list_state(trouble, "leaving"),
        lambda rig, trouble: rig.list_state(trouble, "active"),
    ),
    "left": Switch(lambda rig, trouble: rig.list_state(trouble, "left")),
    "replace": Switch(_replace, _gone),
    "list-out": Switch(
        lambda rig, trouble: rig.lists.server.down(), lambda rig, trouble: rig.lists.server.up()
    ),
}
