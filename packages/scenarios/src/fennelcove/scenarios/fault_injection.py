"""Injects faults into fronts or the whole fleet: kills, pauses, network partitions and power losses."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from random import Random
from zlib import crc32

from fennelcove.emulators.dishonest_front import SlotLiar
from fennelcove.scenarios.fronts import DayFailed, FrontProcess, Fronts, side_by_side
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import Power, Trouble
from fennelcove.scenarios.supervisor import Supervisor
from msgspec.structs import replace as replace_struct


@dataclass(frozen=True, slots=True)
class Due:
    """An action at a time of the scenario."""

    at_s: float
    call: Callable[[], None]


class Troubles:
    """Turns a scenario's faults into scheduled actions.

    Long actions run on their own threads; a failure of one fails the run.
    """

    def __init__(
        self, rig: Rig, fronts: Fronts, seed: int, leaving: threading.Event, supervisor: Supervisor
    ) -> None:
        self.rig = rig
        self.fronts = fronts
        self.supervisor = supervisor
        self.chance = Random(f"{seed}/troubles")
        self.leaving = leaving
        self.threads: list[threading.Thread] = []
        self.failures: list[DayFailed] = []

    def due(self, number: int, trouble: Trouble) -> Iterator[Due]:
        """Return the scheduled actions of one fault."""
        if trouble.until is not None or trouble.leader:
            yield Due(trouble.at_s, self._apart(lambda: self._when(number, trouble)))
        elif trouble.what == "order":
            yield Due(trouble.at_s, self._apart(lambda: self.supervisor.order(trouble)))
        elif trouble.what in ("front-restart", "front-kill"):
            yield Due(trouble.at_s, self._apart(lambda: self._again(trouble)))
        elif trouble.what == "front-stop":
            yield Due(trouble.at_s, lambda: self._pause(trouble, True))
            yield Due(trouble.at_s + trouble.for_s, lambda: self._pause(trouble, False))
        elif trouble.what == "slots-lie":
            yield Due(trouble.at_s, self._apart(lambda: self._lie(trouble)))
        elif trouble.what == "between":
            yield Due(trouble.at_s, lambda: self.rig.fault(number, trouble, True))
            if trouble.for_s:
                yield Due(trouble.at_s + trouble.for_s, lambda: self.rig.fault(number, trouble, False))
        elif trouble.what == "power":
            assert trouble.power is not None
            yield from self._power(trouble.at_s, trouble.power)
        else:
            yield Due(trouble.at_s, lambda: self.rig.switch(trouble, True))
            if trouble.for_s:
                yield Due(trouble.at_s + trouble.for_s, lambda: self.rig.switch(trouble, False))

    def end(self) -> None:
        """Wait for all running actions.

        Raises:
            DayFailed: a front did not restart.
        """
        for thread in self.threads:
            thread.join()
        if self.failures:
            raise self.failures[0]

    def _apart(self, call: Callable[[], None]) -> Callable[[], None]:
        def run() -> None:
            try:
                call()
            except DayFailed as error:
                self.failures.append(error)

        thread = threading.Thread(target=run, name="trouble")
        self.threads.append(thread)
        return thread.start

    def _when(self, number: int, trouble: Trouble) -> None:
        """Wait for the fault's condition, resolve its target, then inject it."""
        if not self.supervisor.wait(trouble):
            return
        if trouble.leader:
            leader = self.supervisor.leader()
            if leader is None:
                return  # the checker reports that the fault did not occur
            trouble = replace_struct(trouble, fronts=[leader.index])
        began_us = self.rig.clock.now_us()
        for due in self.due(number, replace_struct(trouble, at_s=0.0, until=None, leader=False)):
            gone_s = (self.rig.clock.now_us() - began_us) / 1e6
            self.leaving.wait(max(0.0, due.at_s - gone_s))
            due.call()

    def _some(self, trouble: Trouble) -> list[FrontProcess]:
        numbers = trouble.fronts or [(trouble.box or 0) % len(self.fronts.all)]
        return [self.fronts.all[number] for number in numbers]

    def _again(self, trouble: Trouble) -> None:
        some = self._some(trouble)
        if trouble.what == "front-restart":
            side_by_side([front.stop for front in some])
        else:
            for front in [front for front in some if front.strike()]:
                front.bury()
        self.leaving.wait(trouble.for_s)
        if not self.leaving.is_set():
            side_by_side([front.start for front in some])

    def _pause(self, trouble: Trouble, on: bool) -> None:
        for front in self._some(trouble):
            front.pause(on)

    def _lie(self, trouble: Trouble) -> None:
        """Kill a front for good and send false messages from its address."""
        for front in self._some(trouble):
            if not front.strike():
                continue
            front.bury()
            assert front.company is not None
            rig = self.rig
            others = [address for i, address in enumerate(front.company) if i != front.index]
            boxes = [crc32(f"{known.address} {known.kind}".encode()) for known in rig.known]
            liar = SlotLiar(rig.clock, front.company[front.index], others, boxes, self.chance)
            liar.start()
            self.leaving.wait(trouble.for_s)
            liar.stop()
            rig.recorder.note("lies", front=front.name, sent=liar.sent)

    # Power.

    def _power(self, at_s: float, power: Power) -> Iterator[Due]:
        """Stop everything at once; each component restarts at its own time, drawn from the seed."""
        yield Due(at_s, lambda: self._dark(power))
        lists = at_s + power.lists_back_s
        yield Due(lists, lambda: self._lists_back(power))
        last = len(self.rig.boxes)
        for number in range(power.boxes_spared, last):
            back_s = self.chance.uniform(*power.boxes_back_s)  # drawn also for servers that never restart
            if number < last - power.boxes_never:
                yield Due(at_s + back_s, lambda number=number: self._box_back(number))  # type: ignore[misc]
        if power.lists_before and power.lists_learn_s:
            yield Due(lists + power.lists_learn_s, lambda: self.rig.lists.publish(*self.rig.known))
        for front in self.fronts.all:
            back_s = self.chance.uniform(*power.fronts_back_s)
            if front.index < len(self.fronts.all) - power.fronts_never:
                back = self._apart(lambda front=front: self._front_back(front, power))  # type: ignore[misc]
                yield Due(at_s + back_s, back)

    def _dark(self, power: Power) -> None:
        recorder = self.rig.recorder
        recorder.note("power", on=False)
        struck = [front for front in self.fronts.all if front.strike()]
        self.rig.lists.server.down()
        self.rig.shut(self.rig.lists_for_fronts)
        for box in self.rig.boxes[power.boxes_spared :]:
            box.die()
            self.rig.shut(box.address)
        for front in struck:
            front.bury()
        if power.lists_before:
            self.rig.lists.forget()
        else:
            # The list service observes that no process runs and lists no server until one does.
            number = power.boxes_spared
            self.rig.known[number:] = [replace(known, state="left") for known in self.rig.known[number:]]

    def _lists_back(self, power: Power) -> None:
        rig = self.rig
        if not power.lists_before:
            rig.lists.publish(*rig.known)
        rig.lists.server.up()
        rig.shut(rig.lists_for_fronts, gone=False)
        rig.recorder.note("lists_back", before=power.lists_before)

    def _box_back(self, number: int) -> None:
        rig = self.rig
        box = rig.boxes[number]
        box.restart()
        rig.shut(box.address, gone=False)
        rig.known[number] = replace(rig.known[number], state="active", started_us=rig.clock.now_us())
        told = not any(trouble.power and trouble.power.lists_before for trouble in rig.day.troubles)
        if told:
            rig.lists.publish(rig.known[number])

    def _front_back(self, front: FrontProcess, power: Power) -> None:
        front.spoil(power.folders[front.index % len(power.folders)] if power.folders else "kept")
        if power.clocks_s:
            front.clock_s = power.clocks_s[front.index % len(power.clocks_s)]
        front.launch()
        while not front.up():
            if front.struck or self.leaving.wait(0.02):
                return
