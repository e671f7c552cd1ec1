"""Measures the decisions in a retry storm: a hundred thousand distinct clients at one front, no sockets.

    python -m benchmarks.retry_storm_cost [--viewers 100000]

Prints the time of a decision and the memory retained, in a calm and in a storm; the time to sign and to
verify a queue ticket; and how many requests are admitted if many clients show one ticket.
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
from fennelcove.settings.schema import RetryStormSettings

from benchmarks.core_cost import NullPorts


def make_core(phase: StormState) -> tuple[Core, ManualClock]:
    """A core in the given phase of the storm detector, with damping."""
    front = msgspec.structs.replace(read("storm-hall").front, storm=RetryStormSettings(damping=True))
    clock = ManualClock(10_000_000, 10**15)
    ports = CorePorts(NullPorts(), NullPorts(), NullPorts())
    core = Core(front, clock, Timers(clock), lambda event, **fields: None, ports, SessionIds(b"n" * 32))
    core.retry_storms.detector.state = phase
    return core, clock


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--viewers", type=int, default=100_000)
    client_count = parser.parse_args().viewers
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {client_count} distinct clients")
    for phase in (StormState.CALM, StormState.STORM):
        core, clock = make_core(phase)
        requests = [
            SessionRequest("knee-1", "recorded", client=f"viewer-{i}", is_retry=bool(i % 3))
            for i in range(client_count)
        ]
        tracemalloc.start()
        traced_before = tracemalloc.get_traced_memory()[0]
        started_s = time.perf_counter()
        refused_count = 0
        for i, request in enumerate(requests):
            if i % 200 == 0:
                clock.advance(10_000)
                core.retry_storms.detector.state = phase
            refused_count += core.retry_storms.check_request(request, clock.now_us()) is not None
        traced_run_s = time.perf_counter() - started_s
        retained_bytes = tracemalloc.get_traced_memory()[0] - traced_before
        tracemalloc.stop()
        core, clock = make_core(phase)
        started_s = time.perf_counter()
        for request in requests:
            core.retry_storms.check_request(request, clock.now_us())
        us_per_decision = (time.perf_counter() - started_s) / client_count * 1e6
        print(
            f"{phase.name.lower()}: {us_per_decision:.1f} us a decision "
            f"({traced_run_s / client_count * 1e6:.1f} traced), "
            f"{refused_count} got a queue ticket, {retained_bytes} bytes retained, "
            f"{retained_bytes / client_count:.2f} a client"
        )
    key, rng = keyed_mac(b"k" * 32), Random(1)
    ticket = QueueTicket("viewer", "knee-1", "recorded", rng.randrange(10**15), 10**15)
    token = waiting_room.sign_ticket(ticket, key)
    for name, call in (
        ("signed", lambda: waiting_room.sign_ticket(ticket, key)),
        ("verified", lambda: waiting_room.verify_ticket(token, [key])),
    ):
        started_s = time.perf_counter()
        for _ in range(20_000):
            call()
        print(f"a queue ticket {name}: {(time.perf_counter() - started_s) / 20_000 * 1e6:.1f} us")
    core, clock = make_core(StormState.STORM)
    due_token = waiting_room.sign_ticket(
        QueueTicket("viewer", "knee-1", "recorded", 0, 2 * 10**15), keyed_mac(b"k" * 32)
    )
    core.retry_storms.use_keys([b"k" * 32])
    results = [
        core.retry_storms.check_request(
            SessionRequest("knee-1", "recorded", client="viewer", queue_ticket=due_token), clock.now_us()
        )
        for _ in range(1000)
    ]
    print(
        f"one queue ticket shown a thousand times: {sum(item is None for item in results)} requests admitted"
    )


if __name__ == "__main__":
    main()
