"""An emulated media server: serves set-ups, commands and event streams according to its capacity model.

Faults are switched on and off by tests and scenarios.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec
from fennelcove.clock import Clock
from fennelcove.emulators.model import ServerModel, SetUpResult
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.server import LoopbackServer, Peer
from fennelcove.hints import cmsd
from fennelcove.http1 import writer
from fennelcove.http1.messages import RequestHead
from fennelcove.wire.events import write_event
from fennelcove.wire.servers import (
    ENDED,
    HELLO,
    REPORT,
    TURNED_AWAY,
    Ended,
    Held,
    Hello,
    JoinOrder,
    Mark,
    Report,
    RungOrder,
)
from fennelcove.wire.sessions import Problem
from msgspec.structs import replace

JSON = ("Content-Type", "application/json")
MAX_HANG_S = 30.0
MAX_RELEASED = 1000  # remembered releases
_SETUP_DECODER: msgspec.json.Decoder[JoinOrder] = msgspec.json.Decoder(JoinOrder)
_MARK_DECODER: msgspec.json.Decoder[Mark] = msgspec.json.Decoder(Mark)
_RUNG_DECODER: msgspec.json.Decoder[RungOrder] = msgspec.json.Decoder(RungOrder)


@dataclass(slots=True)
class ServerFaults:
    """The active faults of a server; all are off by default."""

    hang: bool = False  # accepts requests and never responds
    slow_ms: float = 0.0
    errors: bool = False  # responds with status 500 at once
    reset: bool = False  # resets the connection after reading the request
    half: bool = False  # sends half of a response, then closes
    garbage: bool = False  # responds with bytes that are not HTTP
    full: bool = False  # reports overload, but still accepts set-ups
    lies: float | None = None  # the load reported instead of the actual one
    mute: bool = False  # sends no load reports


@dataclass(frozen=True, slots=True)
class SetUpTimes:
    """The duration of set-ups at a server; times in milliseconds."""

    usual_ms: float = 0.0
    slow_ms: float = 0.0
    slow_titles: frozenset[str] = frozenset()
    knee: int = 0  # concurrent set-ups above which the duration grows in proportion; 0 for no limit

    def duration_ms(self, title: str, at_once: int) -> float:
        """Return the duration of a set-up that is one of `at_once` concurrent ones."""
        delay_ms = self.slow_ms if title in self.slow_titles else self.usual_ms
        return delay_ms * max(1.0, at_once / self.knee) if self.knee else delay_ms


class EmulatedServer:
    """One server on a loopback port.

    `address` is the address used in the server list and in recordings; it may be that of a relay in front.
    """

    def __init__(
        self, name: str, model: ServerModel, clock: Clock, recorder: Recorder, report_interval_s: float
    ) -> None:
        self.name = name
        self.model = model
        self.clock = clock
        self.recorder = recorder
        self.report_interval_s = report_interval_s
        self.faults = ServerFaults()
        self.set_up_times = SetUpTimes()
        self.setups_in_progress = 0
        self.incarnation = 1
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.orders: dict[tuple[str, int], JoinOrder] = {}
        # a release may arrive before its set-up
        self.released_keys: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.marks: dict[tuple[str, int], str] = {}
        self.has_title: Callable[[str], bool] = lambda title: True
        self.stopped = False
        self.server = LoopbackServer(self._handle, f"box-{name}")
        self.address = self.server.address

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def stop(self) -> None:
        """Close all connections and stop listening."""
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        self.server.stop()

    def crash(self) -> None:
        """Emulate a process crash: stop listening, cut all connections and lose all sessions."""
        with self.lock:
            if not self.model.up:
                return
            self.model.up = False
        # Close the listener first, so that no new event stream gets a hello from a crashed process.
        self.server.down()
        with self.changed:
            self.model.stop()
            self.orders.clear()
            self.changed.notify_all()
        self.recorder.note("box_died", box=self.address)

    def restart(self) -> None:
        """Start a new, cold process on the same port."""
        with self.lock:
            self.incarnation += 1
            self.model.start(self.clock.now_us())
        self.recorder.note("box_started", box=self.address)
        self.server.up()

    def cmsd_value(self) -> str:
        """Return the CMSD-Dynamic value of a response."""
        link = self.model.utilization() if self.faults.lies is None else self.faults.lies
        values: dict[str, int | float | str | bool | bytes] = {
            cmsd.LINK_KEY: round(link, 3),
            cmsd.UPLINK_KEY: round(self.model.rack.utilization(), 3),
        }
        if self.faults.full:
            values["du"] = True
            values[cmsd.LINK_KEY] = 1.0
        return cmsd.write_hop(self.name, values)

    def _reply(self, status: int, body: bytes = b"") -> bytes:
        fields = [("CMSD-Dynamic", self.cmsd_value())]
        if body:
            fields.append(JSON if status < 400 else ("Content-Type", "application/problem+json"))
        return writer.response(status, fields, body)

    def _handle(self, head: RequestHead, body: bytes, peer: Peer) -> bool:
        path, _, query = head.target.partition("?")
        parts = path.strip("/").split("/")
        if parts[:2] == ["v1", "joins"] and len(parts) >= 4:
            key = (parts[2], int(parts[3]))
            if head.method == "PUT" and len(parts) == 4:
                return self._set_up(key, _SETUP_DECODER.decode(body), peer)
            if self.faults.hang:
                peer.wait_closed(MAX_HANG_S)
                return False
            if head.method == "PUT" and parts[-1] == "mark":
                with self.lock:
                    self.marks[key] = _MARK_DECODER.decode(body).mark
                return peer.send(self._reply(204))
            if head.method == "PUT":
                return self._rung(key, _RUNG_DECODER.decode(body), peer)
            return self._release(key, peer)
        if parts[0] == "media" and len(parts) == 4:
            return self._media(parts, parse_qs(query), peer)
        if path == "/v1/feed":
            self._feed(parse_qs(query).get("front", [""])[0], peer)
            return False
        return peer.send(self._reply(404))

    def _set_up(self, key: tuple[str, int], order: JoinOrder, peer: Peer) -> bool:
        record_fields = {"box": self.address, "front": order.front, "subscription": key[0], "join": key[1]}
        self.recorder.note(
            "set_up", **record_fields, room_type=order.room_type, title=order.title, rung=order.rung
        )
        if self.faults.hang:
            closed = peer.wait_closed(MAX_HANG_S)
            self.recorder.note("set_up_over", **record_fields, how="front_closed" if closed else "silent")
            return False
        with self.lock:
            self.setups_in_progress += 1
            delay_ms = self.faults.slow_ms + self.set_up_times.duration_ms(
                order.title, self.setups_in_progress
            )
        is_abandoned = bool(delay_ms) and peer.wait_closed(delay_ms / 1000)
        with self.lock:
            self.setups_in_progress -= 1
        if is_abandoned:
            # The front has cancelled the request, but a slow server still completes the set-up.
            with self.lock:
                if key not in self.released_keys:
                    self.model.set_up(key, order.rate_kb, self.clock.now_us())
                    self.orders[key] = order
            self.recorder.note("set_up_over", **record_fields, how="front_closed")
            return False
        if self.faults.errors:
            self.recorder.note("set_up_over", **record_fields, how="error")
            return peer.send(self._reply(500))
        with self.lock:
            result = None
            if key not in self.released_keys:
                result = self.model.set_up(key, order.rate_kb, self.clock.now_us())
            if result is SetUpResult.STARTED:
                self.orders[key] = order
        if result is None:
            # The release came first: a session started now would have no client and never be released.
            self.recorder.note("set_up_over", **record_fields, how="taken_back")
            return peer.send(self._reply(410))
        if result is SetUpResult.CRASHED:
            self.recorder.note("set_up_over", **record_fields, how="reset")
            self.recorder.note("fell", box=self.address, front=order.front)
            threading.Thread(target=self.crash, name="fall").start()
            peer.reset()
            return False
        if result is SetUpResult.REJECTED:
            self.recorder.note("set_up_over", **record_fields, how="turned_away")
            problem = Problem(type=TURNED_AWAY, title="Full", status=503)
            return peer.send(self._reply(503, msgspec.json.encode(problem)))
        return self._answer_started(record_fields, peer)

    def _answer_started(self, record_fields: dict[str, object], peer: Peer) -> bool:
        raw = self._reply(201, b'{"state":"playing"}')
        if self.faults.reset:
            self.recorder.note("set_up_over", **record_fields, how="reset")
            peer.reset()
            return False
        if self.faults.half:
            self.recorder.note("set_up_over", **record_fields, how="half")
            peer.send(raw[: len(raw) // 2])
            return False
        if self.faults.garbage:
            self.recorder.note("set_up_over", **record_fields, how="garbage")
            peer.send(b"\x16\x03\x01 not http\n\n\n")
            return False
        self.recorder.note("set_up_over", **record_fields, how="started")
        return peer.send(raw)

    def _rung(self, key: tuple[str, int], order: RungOrder, peer: Peer) -> bool:
        with self.lock:
            is_playing = key in self.model.playing
            if is_playing:
                self.model.playing[key] = order.rate_kb
                self.orders[key] = replace(self.orders[key], rung=order.rung)
        if is_playing:
            self.recorder.note("rung", box=self.address, subscription=key[0], join=key[1], rung=order.rung)
        return peer.send(self._reply(204 if is_playing else 404))

    def _release(self, key: tuple[str, int], peer: Peer) -> bool:
        with self.lock:
            was_playing = self.model.playing.pop(key, None) is not None
            self.orders.pop(key, None)
            self.released_keys[key] = None
            if len(self.released_keys) > MAX_RELEASED:
                self.released_keys.popitem(last=False)
            self.marks.pop(key, None)
        self.recorder.note("released", box=self.address, subscription=key[0], join=key[1], held=was_playing)
        return peer.send(self._reply(204))

    def _media(self, parts: list[str], query: dict[str, list[str]], peer: Peer) -> bool:
        """Serve a segment or an initialization segment: a few bytes of placeholder content."""
        _, title, rung, name = parts
        record_fields = {"box": self.address, "media": title, "rung": int(rung), "name": name}
        session = query.get("subscription", [""])[0]
        is_stored = self.has_title(title)
        self.recorder.note("media", **record_fields, subscription=session, held=is_stored)
        if self.faults.hang:
            peer.wait_closed(MAX_HANG_S)
            return False
        if self.faults.slow_ms:
            peer.wait_closed(self.faults.slow_ms / 1000)
        if self.faults.half:
            peer.send(self._reply(200, b"x" * 64)[:-32])
            return False
        if self.faults.errors or not is_stored:
            return peer.send(self._reply(500 if is_stored else 404))
        return peer.send(self._reply(200, f"{title}/{rung}/{name}".encode()))

    def end_session(self, key: tuple[str, int]) -> None:
        """End a session whose player has disappeared, and report it on the event streams."""
        with self.changed:
            if self.model.playing.pop(key, None) is not None:
                self.orders.pop(key, None)
                self.recorder.note("ended", box=self.address, subscription=key[0], join=key[1])
                self.changed.notify_all()

    def _up_ms(self) -> float | None:
        since_us = self.model.started_us
        return None if since_us is None else max(0, self.clock.now_us() - since_us) / 1000

    def _feed(self, front: str, peer: Peer) -> None:
        if self.faults.hang:
            peer.wait_closed(MAX_HANG_S)
            return
        with self.lock:
            previous = {key for key, order in self.orders.items() if order.front == front}
            playing = [(*key, self.orders[key]) for key in sorted(previous)]
            hello = Hello(
                f"{self.name}-{self.incarnation}",
                [
                    Held(
                        id,
                        attempt,
                        order.title,
                        order.room_type,
                        order.rung,
                        self.marks.get((id, attempt), ""),
                    )
                    for id, attempt, order in playing
                ],
                self._up_ms(),
            )
        if not peer.send(writer.stream_head(200, [("Content-Type", "text/event-stream")])):
            return
        events = write_event(HELLO, msgspec.json.encode(hello))
        while peer.send(writer.chunk(events)):
            with self.changed:
                self.changed.wait(self.report_interval_s)
                if self.stopped or not self.model.up:
                    return
                current = {key for key, order in self.orders.items() if order.front == front}
            ended, previous = previous - current, current
            events = b"".join(write_event(ENDED, msgspec.json.encode(Ended(*key))) for key in sorted(ended))
            if not self.faults.mute and not self.faults.hang:
                share = self.model.delivered()
                report = Report(self.cmsd_value(), round(share, 3) if share < 1 else None)
                events += write_event(REPORT, msgspec.json.encode(report))
            events = events or b": beat\n\n"
