"""Compares seat counts after ten thousand set-ups, renewals, retries, releases and expiries on loopback.

    python -m benchmarks.seat_leases [--steps 10000]

One front and eight clients that take random steps: some are repeated with the same idempotency key, some are
idle. Afterwards, while the seats expire, the front's count is compared with the sessions that the emulated
servers record as playing, which the front has no part in counting.
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
ROOM_TYPE, TITLE, SEATS, SEAT_MS = "keyed", "knee-1", 40, 400.0
CLIENTS = 8


class Clients:
    """The clients of the run, and the number of responses by step and status."""

    def __init__(self, address: str, clock: SystemClock, steps: int) -> None:
        self.address = address
        self.clock = clock
        self.steps_left = steps
        self.lock = threading.Lock()
        self.pause = threading.Barrier(CLIENTS + 1)
        self.response_counts: dict[str, int] = {}

    def take_step(self) -> bool:
        """Whether there is a step left to take."""
        with self.lock:
            self.steps_left -= 1
            return self.steps_left >= 0

    def count_response(self, step: str, status: int) -> None:
        """Count a response."""
        with self.lock:
            name = f"{step} {status}"
            self.response_counts[name] = self.response_counts.get(name, 0) + 1

    def run(self, number: int) -> None:
        """Run one client until all steps are taken."""
        rng, session_ids = Random(number), list[str]()
        http_client = HttpClient(self.address, self.clock)

        def send_request(step: str, method: str, path: str, body: dict[str, Any] | None) -> dict[str, Any]:
            encoded_body = msgspec.json.encode(body) if body is not None else b""
            try:
                response = http_client.ask(method, path, [JSON], encoded_body, 5.0)
            except Unanswered:
                return {}
            self.count_response(step, response.status)
            return response.body if response.status in (200, 201) else {}

        count = 0
        while self.take_step():
            count += 1
            step = rng.choice(["set-up", "set-up", "twice", "renew", "renew twice", "release", "idle"])
            if step in ("set-up", "twice"):
                body = {
                    "room_type": ROOM_TYPE,
                    "title": TITLE,
                    "key": f"k{number}-{count}",
                    "cmcd": {"sid": f"c{number}"},
                }
                for _ in range(1 + (step == "twice")):
                    response_body = send_request("set-up", "POST", "/v1/subscriptions", body)
                    if response_body and response_body["id"] not in session_ids:
                        session_ids.append(response_body["id"])
            elif step == "idle":
                time.sleep(0.002)
            elif session_ids:
                session_id = rng.choice(session_ids)
                if step == "release":
                    send_request(step, "DELETE", f"/v1/subscriptions/{session_id}", None)
                    session_ids.remove(session_id)
                else:
                    for _ in range(1 + (step == "renew twice")):
                        send_request(
                            "renew", "POST", f"/v1/subscriptions/{session_id}/seat", {"key": f"r{count}"}
                        )
        http_client.close()


def count_played(recorder: Recorder) -> int:
    """The number of sessions of the room type that the emulated servers play, by their own records."""
    playing: set[tuple[str, str, int]] = set()
    room_types: dict[str, str] = {}
    with recorder.lock:
        records = list(recorder.records)
    for record in records:
        if record["what"] == "set_up":
            room_types[record["subscription"]] = record["room_type"]
        elif record["what"] == "set_up_over" and record["how"] == "started":
            playing.add((record["box"], record["subscription"], record["join"]))
        elif record["what"] in ("released", "ended"):
            playing.discard((record["box"], record["subscription"], record["join"]))
    return sum(1 for _, session_id, _ in playing if room_types[session_id] == ROOM_TYPE)


def main() -> None:
    """Make one run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--steps", type=int, default=10_000)
    steps = parser.parse_args().steps
    scenario, clock = read("drain"), SystemClock()
    room_types = [
        msgspec.structs.replace(room, seats=SEATS, seat_ms=SEAT_MS) if room.name == ROOM_TYPE else room
        for room in scenario.front.room_types
    ]
    recorder = Recorder(clock)
    rig = Rig(scenario, clock, recorder)
    front = msgspec.structs.replace(
        scenario.front,
        room_types=room_types,
        lists=msgspec.structs.replace(scenario.front.lists, address=rig.lists.address),
        rules=msgspec.structs.replace(
            scenario.front.rules, budget_free=None, budget_span_ms=0.0, ramp_ms=0.0
        ),
        limits=msgspec.structs.replace(scenario.front.limits, silent_ms=60_000.0),
    )
    rig.start()
    daemon = FrontDaemon(front, log.silent, clock)
    daemon.start()
    seats = daemon.core.seat_leases.leases
    while daemon.core.endpoint_tracker.version is None:
        time.sleep(0.01)
    clients = Clients(daemon.http_server.address, clock, steps)
    threads = [threading.Thread(target=clients.run, args=(i,)) for i in range(CLIENTS)]
    started_s = time.perf_counter()
    for thread in threads:
        thread.start()
    max_seats = 0
    while any(thread.is_alive() for thread in threads):
        time.sleep(0.05)
        max_seats = max(max_seats, seats.counts[TITLE, ROOM_TYPE])
    elapsed_s = time.perf_counter() - started_s
    front_and_servers = []
    for _ in range(40):
        front_and_servers.append((seats.counts[TITLE, ROOM_TYPE], count_played(recorder)))
        if front_and_servers[-1] == (0, 0):
            break
        time.sleep(0.1)
    counts = daemon.core.counts
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; {steps} steps in {elapsed_s:.1f} s")
    print(", ".join(f"{name}: {count}" for name, count in sorted(clients.response_counts.items())))
    print(
        f"seats at most {max_seats} of {SEATS}, expired {counts.get('seats_expired', 0)}, renewed "
        f"{counts.get('seats_extend', 0)}, repeated renewals {counts.get('seats_keep', 0)}; front and "
        f"servers while seats expired: {front_and_servers[0]} ... {front_and_servers[-1]}"
    )
    daemon.stop()
    rig.stop()


if __name__ == "__main__":
    main()
