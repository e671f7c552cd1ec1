"""What a storm's decisions cost: a hundred thousand distinct viewers at one door, no sockets.

    python -m benchmarks.storm_parts [--viewers 100000]

Prints microseconds a decision and bytes kept, in a calm and in a storm; what a place costs to make and to
know; and one place shown by many clients.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
import tracemalloc
from random import Random

import msgspec
from fennelcove.clock import ManualClock
from fennelcove.clock.timers import Timers
from fennelcove.core.core import Core
from fennelcove.core.ports import CorePorts
from fennelcove.core.requests import SessionRequest
from fennelcove.core.retry_storm_guard import keyed_mac
from fennelcove.core.session_ids import SessionIds
from fennelcove.decisions.clients import waiting_room
from fennelcove.decisions.clients.retry_storm import StormState
from fennelcove.decisions.clients.waiting_room import QueueTicket
from fennelcove.scenarios.script import read
from fennelcove.settings.schema import StormSettings

from benchmarks.parts import NoPorts


def made(phase: StormState) -> tuple[Core, ManualClock]:
    """A core in a phase, with damping."""
    front = msgspec.structs.replace(read("storm-hall").front, storm=StormSettings(damping=True))
    clock = ManualClock(10_000_000, 10**15)
    ports = CorePorts(NoPorts(), NoPorts(), NoPorts())
    core = Core(front, clock, Timers(clock), lambda event, **fields: None, ports, SessionIds(b"n" * 32))
    core.retry_storms.detector.state = phase
    return core, clock


def main() -> None:
    """All of it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--viewers", type=int, default=100_000)
    viewers = parser.parse_args().viewers
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {viewers} distinct viewers")
    for phase in (StormState.CALM, StormState.STORM):
        core, clock = made(phase)
        asks = [
            SessionRequest("knee-1", "recorded", client=f"viewer-{i}", is_retry=bool(i % 3))
            for i in range(viewers)
        ]
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        began = time.perf_counter()
        refused = 0
        for i, ask in enumerate(asks):
            if i % 200 == 0:
                clock.advance(10_000)
                core.retry_storms.detector.state = phase
            refused += core.retry_storms.check_request(ask, clock.now_us()) is not None
        traced_s = time.perf_counter() - began
        kept = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        core, clock = made(phase)
        began = time.perf_counter()
        for ask in asks:
            core.retry_storms.check_request(ask, clock.now_us())
        us = (time.perf_counter() - began) / viewers * 1e6
        print(
            f"{phase.name.lower()}: {us:.1f} us a decision ({traced_s / viewers * 1e6:.1f} traced), "
            f"{refused} answered with a place, {kept} bytes kept in all, {kept / viewers:.2f} a viewer"
        )
    key, chance = keyed_mac(b"k" * 32), Random(1)
    place = QueueTicket("viewer", "knee-1", "recorded", chance.randrange(10**15), 10**15)
    token = waiting_room.sign_ticket(place, key)
    for name, call in (
        ("made", lambda: waiting_room.sign_ticket(place, key)),
        ("known", lambda: waiting_room.verify_ticket(token, [key])),
    ):
        began = time.perf_counter()
        for _ in range(20_000):
            call()
        print(f"a place {name}: {(time.perf_counter() - began) / 20_000 * 1e6:.1f} us")
    core, clock = made(StormState.STORM)
    due = waiting_room.sign_ticket(
        QueueTicket("viewer", "knee-1", "recorded", 0, 2 * 10**15), keyed_mac(b"k" * 32)
    )
    core.retry_storms.use_keys([b"k" * 32])
    shown = [
        core.retry_storms.check_request(
            SessionRequest("knee-1", "recorded", client="viewer", queue_ticket=due), clock.now_us()
        )
        for _ in range(1000)
    ]
    print(f"one place shown a thousand times: let in {sum(item is None for item in shown)}")


if __name__ == "__main__":
    main()
