"""Ten thousand mixed set-ups, renewals, retries, releases and expiries on loopback: are the seats exact?

    python -m benchmarks.seats [--steps 10000]

One front; eight clients do at random what players do, some steps twice under one key and some not at all.
When they are done and as the seats run out, the front's count is held against what the boxes say that they
play, which nobody of the front counted.
"""

from __future__ import annotations

import argparse
import os
import sys
import threading
import time
from random import Random
from typing import Any

import msgspec
from fennelcove import log
from fennelcove.clock import SystemClock
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.emulators.clients import HttpClient, Unanswered
from fennelcove.emulators.recorder import Recorder
from fennelcove.scenarios.rig import Rig
from fennelcove.scenarios.script import read

JSON = ("Content-Type", "application/json")
ROOM, TITLE, SEATS, SEAT_MS = "keyed", "knee-1", 40, 400.0
CLIENTS = 8


class Clients:
    """What eight clients do, and what they were told."""

    def __init__(self, address: str, clock: SystemClock, steps: int) -> None:
        self.address = address
        self.clock = clock
        self.left = steps
        self.lock = threading.Lock()
        self.pause = threading.Barrier(CLIENTS + 1)
        self.told: dict[str, int] = {}

    def step(self) -> bool:
        """One more step, if there is one."""
        with self.lock:
            self.left -= 1
            return self.left >= 0

    def note(self, what: str, status: int) -> None:
        """Count an answer."""
        with self.lock:
            name = f"{what} {status}"
            self.told[name] = self.told.get(name, 0) + 1

    def run(self, number: int) -> None:
        """One client."""
        chance, mine = Random(number), list[str]()
        player = HttpClient(self.address, self.clock)

        def ask(what: str, method: str, path: str, body: dict[str, Any] | None) -> dict[str, Any]:
            raw = msgspec.json.encode(body) if body is not None else b""
            try:
                heard = player.ask(method, path, [JSON], raw, 5.0)
            except Unanswered:
                return {}
            self.note(what, heard.status)
            return heard.body if heard.status in (200, 201) else {}

        count = 0
        while self.step():
            count += 1
            what = chance.choice(["set-up", "set-up", "twice", "renew", "renew twice", "release", "idle"])
            if what in ("set-up", "twice"):
                body = {
                    "room_type": ROOM,
                    "title": TITLE,
                    "key": f"k{number}-{count}",
                    "cmcd": {"sid": f"c{number}"},
                }
                for _ in range(1 + (what == "twice")):
                    found = ask("set-up", "POST", "/v1/subscriptions", body)
                    if found and found["id"] not in mine:
                        mine.append(found["id"])
            elif what == "idle":
                time.sleep(0.002)
            elif mine:
                id = chance.choice(mine)
                if what == "release":
                    ask(what, "DELETE", f"/v1/subscriptions/{id}", None)
                    mine.remove(id)
                else:
                    for _ in range(1 + (what == "renew twice")):
                        ask("renew", "POST", f"/v1/subscriptions/{id}/seat", {"key": f"r{count}"})
        player.close()


def played(recorder: Recorder) -> int:
    """What boxes play in the room type, by the boxes' own records."""
    live: set[tuple[str, str, int]] = set()
    rooms: dict[str, str] = {}
    with recorder.lock:
        records = list(recorder.records)
    for record in records:
        if record["what"] == "set_up":
            rooms[record["subscription"]] = record["room_type"]
        elif record["what"] == "set_up_over" and record["how"] == "started":
            live.add((record["box"], record["subscription"], record["join"]))
        elif record["what"] in ("released", "ended"):
            live.discard((record["box"], record["subscription"], record["join"]))
    return sum(1 for _, id, _ in live if rooms[id] == ROOM)


def main() -> None:
    """One run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--steps", type=int, default=10_000)
    steps = parser.parse_args().steps
    day, clock = read("drain"), SystemClock()
    rooms = [
        msgspec.structs.replace(room, seats=SEATS, seat_ms=SEAT_MS) if room.name == ROOM else room
        for room in day.front.room_types
    ]
    recorder = Recorder(clock)
    rig = Rig(day, clock, recorder)
    front = msgspec.structs.replace(
        day.front,
        room_types=rooms,
        lists=msgspec.structs.replace(day.front.lists, address=rig.lists.address),
        rules=msgspec.structs.replace(day.front.rules, budget_free=None, budget_span_ms=0.0, ramp_ms=0.0),
        limits=msgspec.structs.replace(day.front.limits, silent_ms=60_000.0),
    )
    rig.start()
    program = FrontDaemon(front, log.silent, clock)
    program.start()
    seats = program.core.seat_leases.leases
    while program.core.endpoint_tracker.version is None:
        time.sleep(0.01)
    clients = Clients(program.door.address, clock, steps)
    threads = [threading.Thread(target=clients.run, args=(i,)) for i in range(CLIENTS)]
    began = time.perf_counter()
    for thread in threads:
        thread.start()
    most = 0
    while any(thread.is_alive() for thread in threads):
        time.sleep(0.05)
        most = max(most, seats.counts[TITLE, ROOM])
    took = time.perf_counter() - began
    apart = []
    for _ in range(40):
        apart.append((seats.counts[TITLE, ROOM], played(recorder)))
        if apart[-1] == (0, 0):
            break
        time.sleep(0.1)
    counts = program.core.counts
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {steps} steps in {took:.1f} s")
    print(", ".join(f"{name}: {count}" for name, count in sorted(clients.told.items())))
    print(
        f"seats at most {most} of {SEATS}, expired {counts.get('seats_expired', 0)}, renewed "
        f"{counts.get('seats_extend', 0)}, renewals found made {counts.get('seats_keep', 0)}; front and "
        f"boxes as it emptied: {apart[0]} ... {apart[-1]}"
    )
    program.stop()
    rig.stop()


if __name__ == "__main__":
    main()
