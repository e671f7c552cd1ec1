"""Stand-in viewers: players that ask for a subscription with CMCD, watch, come again, or lose patience."""

from __future__ import annotations

import socket
import ssl
import threading
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from fennelcove.clock import Clock
from fennelcove.emulators.recorder import Recorder
from fennelcove.hints import cmcd
from fennelcove.hints.fields import Bare, Token
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ProtocolError, ResponseHead
from fennelcove.http1.reader import Gatherer, Reader

JSON = ("Content-Type", "application/json")
LIMITS = CodecLimits(body_bytes=1_000_000)  # a front's description is longer than any request


@dataclass(frozen=True, slots=True)
class Habits:
    """How one viewer behaves; times in seconds, rates in kilobits a second."""

    room_type: str
    title: str
    timeout_s: float
    watch_s: float
    top_rung: int | None = None
    retries: int = 0
    honours: bool = True  # waits as long as it is told to
    hangs_up_after_s: float | None = None  # leaves while its join is out
    vanishes: bool = False  # leaves without a release
    top_kbit: int | None = None
    measured_kbit: int | None = None
    temper: str = "obeys"  # obeys, half, hasty, drops, forges
    socket: bool = False  # asks over WebSocket
    apart: bool = False  # plays stitched clips as interstitials, apart from the lesson
    tenant: str = ""
    fronts: tuple[int, ...] = ()  # that it comes to; all where none is named
    pause_s: float = 0.2  # before a further try, where nothing was said or heeded


@dataclass(slots=True)
class Heard:
    """What a viewer read: status, header fields, body."""

    status: int
    head: ResponseHead
    body: dict[str, Any]
    text: str = ""


class Unanswered(Exception):
    """No whole answer came: `refused`, `reset` or `timeout`."""

    def __init__(self, how: str) -> None:
        super().__init__(how)
        self.how = how


class Witness(Protocol):
    """Sees everything that a front says, through either door."""

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> object: ...

    def message(self, told: dict[str, Any]) -> object: ...


class Player:
    """One HTTP connection to a front; opened when needed, kept between requests."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        witness: Witness | None = None,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self.context = context
        self.clock = clock
        self.witness = witness
        self.sock: socket.socket | None = None
        self.answers = Gatherer(Reader(False, LIMITS))

    def ask(
        self,
        method: str,
        path: str,
        fields: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        hangs_up: bool = False,
    ) -> Heard:
        """One exchange.

        Raises:
            Unanswered: refused, reset or timed out.
        """
        until_us = self.clock.now_us() + round(timeout_s * 1e6)
        try:
            if self.sock is None:
                host, _, port = self.address.rpartition(":")
                self.sock = socket.create_connection((host, int(port)), timeout_s)
                if self.context is not None:
                    self.sock = self.context.wrap_socket(self.sock, server_hostname="localhost")
                self.answers = Gatherer(Reader(False, LIMITS))
            self.sock.settimeout(timeout_s)
            self.sock.sendall(writer.request(method, path, self.address, fields, body))
            while (whole := self.answers.next()) is None:
                left_s = (until_us - self.clock.now_us()) / 1e6
                if left_s <= 0:
                    raise TimeoutError
                self.sock.settimeout(left_s)
                data = self.sock.recv(16_384)
                self.answers.reader.feed(data)
                if not data:
                    raise ConnectionResetError
        except TimeoutError:
            self.close()
            raise Unanswered("hung_up" if hangs_up else "timeout") from None
        except ConnectionRefusedError:
            self.close()
            raise Unanswered("refused") from None
        except (OSError, ProtocolError):
            self.close()
            raise Unanswered("reset") from None
        assert isinstance(whole.head, ResponseHead)
        if not whole.head.keep_alive:
            self.close()
        try:
            tree = msgspec.json.decode(whole.body) if whole.body else {}
        except msgspec.DecodeError:
            tree = {}
        text = whole.body.decode("utf-8", "replace")
        if self.witness is not None:
            media = (whole.head.get(b"content-type") or b"").decode("latin-1")
            self.witness.answer(method, path, whole.head.status, media, tree if whole.body else None)
        return Heard(whole.head.status, whole.head, tree if isinstance(tree, dict) else {}, text)

    def stray(self) -> bool:
        """Whether more came than was asked for."""
        if self.sock is None:
            return False
        self.sock.setblocking(False)
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self) -> None:
        """Hang up."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class StandInViewer:
    """One viewer on its own thread: all its tries, and its watching."""

    def __init__(
        self,
        name: str,
        habits: Habits,
        address: Callable[[], str],
        clock: Clock,
        recorder: Recorder,
        share_of: Callable[[str], float],
        leaving: threading.Event,
    ) -> None:
        self.name = name
        self.habits = habits
        self.address = address
        self.clock = clock
        self.recorder = recorder
        self.share_of = share_of
        self.leaving = leaving
        self.place: str | None = None
        self.witness: Witness | None = None
        self.thread = threading.Thread(target=self.run, name=name)

    def run(self) -> None:
        """Ask, watch, come again."""
        habits = self.habits
        for number in range(habits.retries + 1):
            if self.leaving.is_set():
                return
            heard = self._try(number)
            if heard is not None and heard.status == 201:
                return
            wait_s = self._wait_s(heard)
            if number < habits.retries and self.leaving.wait(wait_s):
                return

    def _wait_s(self, heard: Heard | None) -> float:
        """How long this viewer waits before it asks again, and what it keeps of its place."""
        habits, self.place = self.habits, None
        if habits.temper == "forges":
            self.place = "aW52ZW50ZWQ.aW52ZW50ZWQ"
        if heard is None or heard.status != 503 or not habits.honours or habits.temper in ("hasty", "forges"):
            return habits.pause_s
        told_s = float(heard.body.get("retry_after_ms", habits.pause_s * 1000)) / 1000
        latest_s = float(heard.body.get("latest_ms", told_s * 1000)) / 1000
        if habits.temper != "drops":
            self.place = heard.body.get("place")
        spread = hash_share(self.name)
        return told_s * 0.5 if habits.temper == "half" else told_s + spread * max(0.0, latest_s - told_s)

    def hints(
        self, starved: bool = False, measured_kbit: int | None = None, startup: bool = False
    ) -> list[tuple[str, str]]:
        """The CMCD headers of one request."""
        habits = self.habits
        values: dict[str, Bare] = {"sid": self.name, "cid": habits.title, "sf": Token("h"), "v": 1}
        if habits.top_kbit is not None:
            values["tb"] = habits.top_kbit
        measured = measured_kbit if measured_kbit is not None else habits.measured_kbit
        if measured is not None:
            values["mtp"] = measured // 100 * 100
        values["bl"] = 0 if starved else 4000
        values["bs"], values["su"] = starved, startup
        return cmcd.write_headers(values)

    def _try(self, number: int) -> Heard | None:
        habits = self.habits
        player = Player(self.address(), self.clock, self.witness)
        body: dict[str, Any] = {"room_type": habits.room_type, "client_timeout_ms": habits.timeout_s * 1000}
        if habits.top_rung is not None:
            body["top_rung"] = habits.top_rung
        if number:
            body["retry"] = True
        if habits.tenant:
            body["tenant"] = habits.tenant
        if self.place is not None:
            body["place"] = self.place
        told = {"viewer": self.name, "number": number, "front": player.address}
        temper = habits.temper
        self.recorder.note(
            "asked",
            **told,
            room_type=habits.room_type,
            title=habits.title,
            tenant=habits.tenant,
            timeout_ms=habits.timeout_s * 1000,
            temper=temper,
        )
        hangs_up = habits.hangs_up_after_s is not None and number == 0
        wait_s = min(habits.timeout_s, habits.hangs_up_after_s or habits.timeout_s)
        try:
            heard = player.ask(
                "POST",
                "/v1/subscriptions",
                [JSON, *self.hints(startup=True)],
                msgspec.json.encode(body),
                wait_s if hangs_up else habits.timeout_s,
                hangs_up,
            )
        except Unanswered as error:
            self.recorder.note("unanswered", **told, how=error.how)
            return None
        fields = heard.body
        self.recorder.note(
            "answered",
            **told,
            status=heard.status,
            subscription=fields.get("id") or _last(fields.get("instance")),
            rung=fields.get("rung"),
            box=fields.get("box"),
            retry_after=heard.head.get(b"retry-after") is not None,
            cmsd=heard.head.get(b"cmsd-dynamic") is not None,
            detail=fields.get("detail"),
            wait_ms=fields.get("retry_after_ms"),
        )
        if heard.status == 201:
            self._watch(player, fields)
        if player.stray():
            self.recorder.note("stray", **told)
        player.close()
        return heard

    def _watch(self, player: Player, fields: dict[str, Any]) -> None:
        """Poll for the rung in force until the lesson is over or lost."""
        habits, path = self.habits, f"/v1/subscriptions/{fields['id']}"
        until_us = self.clock.now_us() + round(habits.watch_s * 1e6)
        told = {"viewer": self.name, "subscription": fields["id"]}
        while (left_s := (until_us - self.clock.now_us()) / 1e6) > 0:
            if self.leaving.wait(min(left_s, fields.get("poll_after_ms", 1000) / 1000)):
                break
            share = self.share_of(fields["box"])
            starved = share < 0.98
            measured = round(fields["rate_kb"] * 8 * share) if starved else None
            try:
                heard = player.ask("GET", path, self.hints(starved, measured), b"", 2.0)
            except Unanswered as error:
                self.recorder.note("poll_unanswered", **told, how=error.how)
                continue
            if heard.status != 200:
                self.recorder.note("lost", **told, status=heard.status, detail=heard.body.get("detail"))
                return
            fields = heard.body
            self.recorder.note("watches", **told, rung=fields["rung"], share=round(share, 3))
        if habits.vanishes:
            return
        self.recorder.note("releases", **told)
        try:
            player.ask("DELETE", path, [], b"", 2.0)
        except Unanswered as error:
            self.recorder.note("poll_unanswered", **told, how=error.how)


def hash_share(name: str) -> float:
    """A share between 0 and 1 that belongs to a name: the same in every run."""
    return zlib.crc32(name.encode()) / 2**32


def _last(path: str | None) -> str | None:
    return path.rpartition("/")[2] if path else None
