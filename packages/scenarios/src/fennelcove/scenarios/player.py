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
from fennelcove.emulators.clients import Habits, StandInViewer
from fennelcove.emulators.recorder import Record, Recorder
from fennelcove.emulators.stall_monitor import StallMonitor
from fennelcove.emulators.websocket_clients import StandInSocketViewer
from fennelcove.scenarios import authors
from fennelcove.scenarios.fault_injection import Due, Troubles
from fennelcove.scenarios.fronts import DayFailed, FrontProcess, Fronts
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.schema_conformance import DescribedWitness
from fennelcove.scenarios.script import ChangeLine, Crowd, Day
from fennelcove.scenarios.supervisor import Supervisor

__all__ = ["DayFailed", "DayPlayer", "arrivals", "terms"]

MOST_VIEWERS = 5000
MOST_MORE_US = 60_000_000  # how far a run with rollouts may exceed its stated duration


def arrivals(crowd: Crowd, number: int, seed: int) -> Iterator[tuple[float, Habits]]:
    """Draw the arrival times and habits of a crowd's clients from a seed of its own."""
    chance = random.Random(f"{seed}/{number}")
    at_s = crowd.from_s
    while (at_s := at_s + chance.expovariate(crowd.per_s)) < crowd.to_s:
        hang_up = chance.random() < crowd.hang_up
        yield (
            at_s,
            Habits(
                room_type=crowd.room_type,
                title=chance.choice(crowd.titles),
                timeout_s=crowd.timeout_s,
                watch_s=crowd.watch_s * (0.5 + chance.random()),
                top_rung=crowd.top_rung,
                retries=crowd.retries,
                honours=chance.random() < crowd.honour,
                hangs_up_after_s=chance.uniform(0.0, 0.05) if hang_up else None,
                vanishes=chance.random() < crowd.vanish,
                top_kbit=crowd.top_kbit,
                temper=chance.choice(crowd.tempers) if crowd.tempers else "obeys",
                socket=bool(crowd.sockets) and chance.random() < crowd.sockets,
                apart=bool(crowd.apart) and chance.random() < crowd.apart,
                tenant=crowd.tenant,
                fronts=tuple(crowd.fronts),
            ),
        )


def _player() -> type[StandInViewer]:
    """Import the emulated player, which needs a manifest parser of the development tools.

    Raises:
        DayFailed: the parser is not installed.
    """
    try:
        from fennelcove.emulators.players import StandInPlayer
    except ImportError as error:
        raise DayFailed(
            f"the scenario's players need the package {error.name}",
            suggestion="install the development tools",
        ) from None
    return StandInPlayer


class DayPlayer:
    """Runs one scenario and returns its recording."""

    def __init__(
        self,
        day: Day,
        seed: int,
        clock: Clock | None = None,
        arrivals: list[tuple[float, str, Habits]] | None = None,
    ) -> None:
        self.day = day
        self.arrivals = arrivals
        self.seed = seed
        self.clock = clock or SystemClock()
        self.recorder = Recorder(self.clock)
        self.leaving = threading.Event()
        self.viewers: list[StandInViewer] = []

    def play(self) -> list[Record]:
        """Run the scenario and return its records.

        Raises:
            DayFailed: a front did not start or end.
        """
        with tempfile.TemporaryDirectory(prefix="fennelcove-day-") as folder:
            self.recorder.note("terms", **terms(self.day))
            rig = Rig(self.day, self.clock, self.recorder, self.seed)
            fronts = Fronts(self.day, rig, self.seed, self.recorder, Path(folder))
            supervisor = Supervisor(rig, fronts, Path(folder), self.leaving)
            troubles = Troubles(rig, fronts, self.seed, self.leaving, supervisor)
            stall_monitor = StallMonitor(self.recorder)
            try:
                stall_monitor.start()
                rig.start()
                fronts.start()
                for front in fronts.all:
                    front.keep_copy()
                supervisor.start()
                self.recorder.note("day_began")
                self._run(self._plan(rig, fronts, troubles))
                for viewer in self.viewers:
                    viewer.thread.join()
                self._left(supervisor)
                supervisor.over = True
                troubles.end()
                supervisor.stop()
                rig.carried()
                fronts.stop()
            finally:
                self.leaving.set()
                supervisor.stopped = True
                fronts.kill()
                rig.stop()
                stall_monitor.stop()
        return self.recorder.records

    def _arrivals(self) -> list[tuple[float, str, Habits, bool]]:
        """The given arrivals or else those of the script's crowds, up to `MOST_VIEWERS`."""
        found: list[tuple[float, str, Habits, bool]] = []
        if self.arrivals is not None:
            found = [(at_s, name, habits, False) for at_s, name, habits in self.arrivals]
        for number, crowd in enumerate(self.day.crowds if self.arrivals is None else ()):
            for at_s, habits in arrivals(crowd, number, self.seed):
                found.append((at_s, f"v{number}-{len(found)}", habits, crowd.plays))
        return found[:MOST_VIEWERS]

    def _plan(self, rig: Rig, fronts: Fronts, troubles: Troubles) -> list[Due]:
        due: list[Due] = []
        witness = DescribedWitness(self.recorder)
        for at_s, name, habits, plays in self._arrivals():
            kind = _player() if plays else StandInSocketViewer if habits.socket else StandInViewer
            way = fronts.chooser(name, habits.fronts)
            viewer = kind(name, habits, way, self.clock, self.recorder, rig.share_of, self.leaving)
            viewer.witness = witness
            self.viewers.append(viewer)
            due.append(Due(at_s, viewer.thread.start))
        for number, line in enumerate(self.day.changes):
            due.append(Due(line.at_s, partial(self._change, line, number, fronts.all[0])))
        for number, trouble in enumerate(self.day.troubles):
            due += troubles.due(number, trouble)
        return sorted(due, key=lambda item: item.at_s)

    def _change(self, line: ChangeLine, number: int, front: FrontProcess) -> None:
        authors.send(line, number, lambda: front.address, self.clock, self.recorder)

    def _left(self, supervisor: Supervisor) -> None:
        """Wait until a scenario with rollouts has reached its stated duration and its plan has ended.

        How long a plan takes depends on how fast the host starts processes; the verdict must not.
        """
        began_us = next(r["t_us"] for r in self.recorder.records if r["what"] == "day_began")
        until_us = self.recorder.began_us + began_us + round(self.day.seconds * 1e6)
        if self.day.release is not None:
            self.leaving.wait(max(0.0, (until_us - self.clock.now_us()) / 1e6))
            until_us += MOST_MORE_US
            while not supervisor.settled(self.day.release) and self.clock.now_us() < until_us:
                self.leaving.wait(0.1)

    def _run(self, due: list[Due]) -> None:
        began_us = self.clock.now_us()
        for item in due:
            left_s = item.at_s - (self.clock.now_us() - began_us) / 1e6
            if left_s > 0:
                self.leaving.wait(left_s)
            item.call()


def terms(day: Day) -> Record:
    """The `terms` record: the parameters that the checker needs."""
    front = day.front
    return {
        "day": day.name,
        "service_floor": day.service_floor,
        "stall_limit_ms": day.stall_limit_ms,
        "company": day.company,
        "fronts": day.fronts if day.fronts > 1 else front.instance.fronts,
        "settle_within_s": day.settle_within_s,
        "release": _release(day),
        "slot_wait_ms": front.fair.wait_ms if front.fair is not None else 0.0,
        "tenants": _tenants(day),
        "slots": msgspec.to_builtins(day.slots) if day.slots is not None else None,
        "troubles": [trouble.what for trouble in day.troubles],
        "last_crowd_s": max(crowd.to_s for crowd in day.crowds),
        "stop_ms": front.limits.stop_ms,
        "drain_grace_ms": front.rules.drain_grace_ms,
        "ramp_ms": front.rules.ramp_ms,
        "start_capacity": front.rules.start_capacity,
        "fall_multiple": day.rig.fall_multiple,
        "tip_after_ms": day.rig.tip_after_ms,
        "budget_free": front.rules.budget_free,
        "budget_ratio": front.rules.budget_ratio,
        "budget_span_ms": front.rules.budget_span_ms,
        "room_types": [msgspec.to_builtins(room) for room in front.room_types],
    }


def _tenants(day: Day) -> Record | None:
    """The requirements for tenants, if any."""
    told, fair = day.tenants, day.front.fair
    if told is None:
        return None
    return {
        **msgspec.to_builtins(told),
        "slots": fair.slots if fair is not None else day.front.limits.box_connections * day.fronts,
        "cut": any(trouble.what == "between" for trouble in day.troubles),
        "stopped": any(trouble.what == "front-stop" for trouble in day.troubles),
        "hops": any(crowd.tenant == told.hog and crowd.fronts for crowd in day.crowds),
    }


def _release(day: Day) -> Record | None:
    """The limits and expected outcome of rollouts, if any."""
    told, limits = day.release, day.front.releases
    if told is None or limits is None:
        return None
    halls = day.halls or [day.front.instance.zone]
    return {
        **msgspec.to_builtins(told),
        "fronts_out": limits.fronts_out,
        "fronts_out_hall": limits.fronts_out_hall,
        "boxes_out": limits.boxes_out,
        "boxes_out_hall": limits.boxes_out_hall,
        "boxes_out_title": limits.boxes_out_title,
        "titles": {
            title.name: [(title.first_cell + i) % day.front.fleet.cells for i in range(title.cells)]
            for title in day.front.titles
        },
        "halls": {f"{day.front.name}-{i}": halls[i % len(halls)] for i in range(day.fronts)},
        "strikes": [trouble.what for trouble in day.troubles if trouble.what != "order"],
        "orders": sum(trouble.what == "order" for trouble in day.troubles),
        "hangs": any(version.hangs for version in day.versions),
        "bad": [version.number for version in day.versions],
    }
