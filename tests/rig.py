"""A whole front in this process between stand-ins on loopback, with waits for conditions instead of
sleeps."""

from __future__ import annotations

import threading
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from fennelcove import log
from fennelcove.clock import SystemClock
from fennelcove.core.ports import CorePorts
from fennelcove.daemon.front_daemon import FrontDaemon
from fennelcove.emulators.clients import Heard, Player
from fennelcove.emulators.endpoint_list_service import Known, StandInLists
from fennelcove.emulators.media_server import StandInBox
from fennelcove.emulators.model import BoxModel, RackModel
from fennelcove.emulators.recorder import Record, Recorder
from fennelcove.http1.messages import CodecLimits, ResponseHead
from fennelcove.http1.reader import Gatherer, Reader
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings

from tests.helpers import Recorder as EffectRecorder

LONGEST_S = 20.0
SETTINGS = """
(front (name "front-t") (listen "127.0.0.1:0") (lists (address "127.0.0.1:1"))
  (room-types
    (item (name "free") (objective-ms 2000) (client-timeout-ms 4000))
    (item (name "keyed") (objective-ms 2000) (client-timeout-ms 4000) (effect "guarded") (key-ttl-ms 60000))
    (item (name "once") (objective-ms 2000) (client-timeout-ms 4000) (effect "single_shot"))
    (item (name "few") (objective-ms 2000) (client-timeout-ms 4000) (seats 2))
    (item (name "high") (objective-ms 2000) (client-timeout-ms 4000) (floor 1)))
  (ladder (item (kb 100) (worth 0.4)) (item (kb 200) (worth 0.7)) (item (kb 400) (worth 1)))
  (fleet (kinds (item (name "k") (streams 50))) (cells 3) (racks 1) (kb-per-weight 5000) (all-links-kb 15000)
         (uplink-kb 15000) (seen-after-ms 50) (reports-every-ms 50))
  (titles (item (name "t1") (first-cell 0) (cells 3)))
  (rules (ramp-ms 1000) (start-capacity 0.5) (join-cap 5) (drain-grace-ms 500))
  (limits (silent-ms 60000) (stop-ms 3000)))
"""


def recorded_ports() -> CorePorts:
    """Ports of a core whose calls reach nothing."""
    port: Any = EffectRecorder()
    return CorePorts(port, port, port)


def wait_for(condition: Callable[[], Any], what: str) -> Any:
    """Wait until the condition holds; the limit only ends a test that would never end."""
    pause = threading.Event()
    for _ in range(round(LONGEST_S / 0.005)):
        found = condition()
        if found:
            return found
        pause.wait(0.005)
    raise AssertionError(f"not within {LONGEST_S:.0f} s: {what}")


class WholePath(unittest.TestCase):
    """Starts a front, three boxes and a list service for each test, and ends them."""

    BOXES = 3

    def begin(self, start: bool = True, **changes: Any) -> None:
        self.clock = SystemClock()
        self.recorder = Recorder(self.clock)
        self.lists = StandInLists(self.clock, self.recorder)
        rack = RackModel(15_000)
        self.boxes: list[StandInBox] = []
        for i in range(self.BOXES):
            model = BoxModel(5000, 50, rack, 1_000_000, 0.5, 2.0, 1_000_000)
            rack.boxes.append(model)
            self.boxes.append(StandInBox(f"box-{i}", model, self.clock, self.recorder, 0.05))
        for box in self.boxes:
            box.start()
            self.addCleanup(box.stop)
        self.known = [Known(box.address, "zone", "k", i, 1.0) for i, box in enumerate(self.boxes)]
        self.lists.publish(*self.known)
        self.lists.start()
        self.addCleanup(self.lists.stop)
        self.settings = self.changed(**changes)
        self.programs: list[FrontDaemon] = []
        self.addCleanup(self.stop_fronts)
        if start:
            self.front = self.new_front()

    def changed(self, **changes: Any) -> FrontSettings:
        settings = parse(SETTINGS, FrontSettings, "test")
        lists = msgspec.structs.replace(settings.lists, address=self.lists.address)
        for group in ("limits", "rules"):
            if group in changes:
                changes[group] = msgspec.structs.replace(getattr(settings, group), **changes[group])
        return msgspec.structs.replace(settings, lists=lists, **changes)

    def new_front(self) -> FrontDaemon:
        front = FrontDaemon(self.settings, log.silent)
        self.programs.append(front)
        front.start()
        wait_for(lambda: front.core.endpoint_tracker.version is not None, "a list")
        return front

    def stop_fronts(self) -> None:
        for front in self.programs:
            front.stop()

    def player(self) -> Player:
        player = Player(self.front.door.address, self.clock)
        self.addCleanup(player.close)
        return player

    def ask(self, room: str = "free", player: Player | None = None, headers: Any = (), **body: Any) -> Heard:
        """One set-up, answered."""
        content = msgspec.json.encode({"room_type": room, "title": "t1", **body})
        fields = [("Content-Type", "application/json"), *headers]
        return (player or self.player()).ask("POST", "/v1/subscriptions", fields, content, LONGEST_S)

    def together(self, count: int, **body: Any) -> list[Heard]:
        """So many set-ups at once, all answered."""
        responses: list[Heard] = []
        threads = [threading.Thread(target=lambda: responses.append(self.ask(**body))) for _ in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return responses

    def most_out(self) -> int:
        """The most joins that were out at once, as boxes saw them."""
        in_flight = maximum = 0
        for record in list(self.recorder.records):
            in_flight += (record["what"] == "set_up") - (record["what"] == "set_up_over")
            maximum = max(maximum, in_flight)
        return maximum

    def get(self, path: str, headers: Any = (), method: str = "GET") -> Heard:
        return self.player().ask(method, path, list(headers), b"", LONGEST_S)

    def seen(self, what: str, **fields: Any) -> list[Record]:
        """The records of one kind with these values."""
        with self.recorder.lock:
            records = list(self.recorder.records)
        return [
            record
            for record in records
            if record["what"] == what and all(record.get(key) == value for key, value in fields.items())
        ]

    def wait_seen(self, what: str, count: int = 1, **fields: Any) -> list[Record]:
        wait_for(lambda: len(self.seen(what, **fields)) >= count, f"{count} records of {what} {fields}")
        return self.seen(what, **fields)

    def only(self, index: int) -> None:
        """Leave the front one box to choose."""
        self.lists.publish(
            *[
                Known(known.address, "zone", "k", i, 1.0, "active" if i == index else "leaving")
                for i, known in enumerate(self.known)
            ]
        )
        version = self.lists.version
        wait_for(lambda: self.front.core.endpoint_tracker.version == version, "the new list")


def read_answers(sock: Any, count: int) -> list[tuple[int, bytes]]:
    """Status and body of so many answers, read off a bare socket."""
    gatherer = Gatherer(Reader(False, CodecLimits()))
    responses: list[tuple[int, bytes]] = []
    sock.settimeout(LONGEST_S)
    while len(responses) < count:
        while len(responses) < count and (message := gatherer.next()) is not None:
            assert isinstance(message.head, ResponseHead)
            responses.append((message.head.status, message.body))
        if len(responses) < count:
            data = sock.recv(65_536)
            if not data:
                break
            gatherer.reader.feed(data)
    return responses
