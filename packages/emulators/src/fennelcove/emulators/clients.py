"""Emulated clients: they set up a session with CMCD headers, watch, retry, or cancel.

The HTTP client of the emulators is here too.
"""

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
from fennelcove.hints.structured_fields import BareItem, Token
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ProtocolError, ResponseHead
from fennelcove.http1.reader import MessageAssembler, Reader

JSON = ("Content-Type", "application/json")
LIMITS = CodecLimits(body_bytes=1_000_000)  # a front's API description is larger than any request


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """The behavior of one client; times in seconds, rates in kilobits per second.

    `temper` is the reaction to Retry-After: "obeys" waits as long as asked, "half" waits half of
    that, "hasty" ignores it, "drops" loses the queue token and "forges" sends an invented token.
    """

    room_type: str
    title: str
    timeout_s: float
    watch_s: float
    top_rung: int | None = None
    retries: int = 0
    respects_retry_after: bool = True  # waits for the time given in Retry-After
    hangs_up_after_s: float | None = None  # closes the connection while the set-up is in progress
    vanishes: bool = False  # disappears without releasing its session
    top_kbit: int | None = None
    measured_kbit: int | None = None
    temper: str = "obeys"
    socket: bool = False  # uses the WebSocket API
    apart: bool = False  # plays inserted clips as interstitials, separate from the main content
    tenant: str = ""
    fronts: tuple[int, ...] = ()  # indexes of the fronts it uses; empty for all
    retry_pause_s: float = 0.2  # delay before a retry without a Retry-After, or when it is ignored


@dataclass(slots=True)
class Response:
    """A response: status, header, decoded JSON body, and the body as text."""

    status: int
    head: ResponseHead
    body: dict[str, Any]
    text: str = ""


class Unanswered(Exception):
    """No complete response was received; `how` is written to the recording.

    `how` is for example `refused`, `reset`, `timeout` or `hung_up`.
    """

    def __init__(self, how: str) -> None:
        super().__init__(how)
        self.how = how


class ResponseObserver(Protocol):
    """Receives every response and message of a front, over HTTP and WebSocket."""

    def answer(self, method: str, path: str, status: int, media: str, body: Any) -> object:
        """Handle an HTTP response; `media` is its content type, `body` its decoded JSON or None."""

    def message(self, content: dict[str, Any]) -> object:
        """Handle a WebSocket message."""


class HttpClient:
    """An HTTP client with one connection, opened when needed and reused between requests."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        observer: ResponseObserver | None = None,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self.context = context
        self.clock = clock
        self.observer = observer
        self.sock: socket.socket | None = None
        self.answers = MessageAssembler(Reader(False, LIMITS))

    def ask(
        self,
        method: str,
        path: str,
        fields: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        hangs_up: bool = False,
    ) -> Response:
        """Send a request and return the response; a time-out with `hangs_up` is reported as `hung_up`.

        Raises:
            Unanswered: The connection was refused or reset, or the request timed out.
        """
        until_us = self.clock.now_us() + round(timeout_s * 1e6)
        try:
            if self.sock is None:
                host, _, port = self.address.rpartition(":")
                self.sock = socket.create_connection((host, int(port)), timeout_s)
                if self.context is not None:
                    self.sock = self.context.wrap_socket(self.sock, server_hostname="localhost")
                self.answers = MessageAssembler(Reader(False, LIMITS))
            self.sock.settimeout(timeout_s)
            self.sock.sendall(writer.request(method, path, self.address, fields, body))
            while (received := self.answers.next()) is None:
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
        assert isinstance(received.head, ResponseHead)
        if not received.head.keep_alive:
            self.close()
        try:
            decoded = msgspec.json.decode(received.body) if received.body else {}
        except msgspec.DecodeError:
            decoded = {}
        text = received.body.decode("utf-8", "replace")
        if self.observer is not None:
            media = (received.head.get(b"content-type") or b"").decode("latin-1")
            self.observer.answer(
                method, path, received.head.status, media, decoded if received.body else None
            )
        return Response(
            received.head.status, received.head, decoded if isinstance(decoded, dict) else {}, text
        )

    def has_unread_data(self) -> bool:
        """Whether unrequested data was received on the connection."""
        if self.sock is None:
            return False
        self.sock.setblocking(False)
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class EmulatedClient:
    """One client on a thread of its own: its set-up attempts, then its session.

    `address` returns the front to use for the next attempt, and `share_of` the fraction of its rate
    that a server delivers.
    """

    def __init__(
        self,
        name: str,
        behavior: ClientBehavior,
        address: Callable[[], str],
        clock: Clock,
        recorder: Recorder,
        share_of: Callable[[str], float],
        stopping: threading.Event,
    ) -> None:
        self.name = name
        self.behavior = behavior
        self.address = address
        self.clock = clock
        self.recorder = recorder
        self.share_of = share_of
        self.stopping = stopping
        self.queue_token: str | None = None
        self.observer: ResponseObserver | None = None
        self.thread = threading.Thread(target=self.run, name=name)

    def run(self) -> None:
        """Set up a session and watch it, with retries after a failed set-up."""
        behavior = self.behavior
        for number in range(behavior.retries + 1):
            if self.stopping.is_set():
                return
            response = self._attempt(number)
            if response is not None and response.status == 201:
                return
            wait_s = self._retry_delay_s(response)
            if number < behavior.retries and self.stopping.wait(wait_s):
                return

    def _retry_delay_s(self, response: Response | None) -> float:
        """Return the delay before the next attempt, and keep the queue token for it."""
        behavior, self.queue_token = self.behavior, None
        if behavior.temper == "forges":
            self.queue_token = "aW52ZW50ZWQ.aW52ZW50ZWQ"
        if (
            response is None
            or response.status != 503
            or not behavior.respects_retry_after
            or behavior.temper in ("hasty", "forges")
        ):
            return behavior.retry_pause_s
        suggested_s = float(response.body.get("retry_after_ms", behavior.retry_pause_s * 1000)) / 1000
        latest_s = float(response.body.get("latest_ms", suggested_s * 1000)) / 1000
        if behavior.temper != "drops":
            self.queue_token = response.body.get("place")
        spread = hash_share(self.name)
        return (
            suggested_s * 0.5
            if behavior.temper == "half"
            else suggested_s + spread * max(0.0, latest_s - suggested_s)
        )

    def cmcd_headers(
        self, starved: bool = False, measured_kbit: int | None = None, startup: bool = False
    ) -> list[tuple[str, str]]:
        """Return the CMCD headers of one request."""
        behavior = self.behavior
        values: dict[str, BareItem] = {"sid": self.name, "cid": behavior.title, "sf": Token("h"), "v": 1}
        if behavior.top_kbit is not None:
            values["tb"] = behavior.top_kbit
        measured = measured_kbit if measured_kbit is not None else behavior.measured_kbit
        if measured is not None:
            values["mtp"] = measured // 100 * 100
        values["bl"] = 0 if starved else 4000
        values["bs"], values["su"] = starved, startup
        return cmcd.write_headers(values)

    def _attempt(self, number: int) -> Response | None:
        behavior = self.behavior
        player = HttpClient(self.address(), self.clock, self.observer)
        body: dict[str, Any] = {
            "room_type": behavior.room_type,
            "client_timeout_ms": behavior.timeout_s * 1000,
        }
        if behavior.top_rung is not None:
            body["top_rung"] = behavior.top_rung
        if number:
            body["retry"] = True
        if behavior.tenant:
            body["tenant"] = behavior.tenant
        if self.queue_token is not None:
            body["place"] = self.queue_token
        record_fields = {"viewer": self.name, "number": number, "front": player.address}
        temper = behavior.temper
        self.recorder.note(
            "asked",
            **record_fields,
            room_type=behavior.room_type,
            title=behavior.title,
            tenant=behavior.tenant,
            timeout_ms=behavior.timeout_s * 1000,
            temper=temper,
        )
        hangs_up = behavior.hangs_up_after_s is not None and number == 0
        wait_s = min(behavior.timeout_s, behavior.hangs_up_after_s or behavior.timeout_s)
        try:
            response = player.ask(
                "POST",
                "/v1/subscriptions",
                [JSON, *self.cmcd_headers(startup=True)],
                msgspec.json.encode(body),
                wait_s if hangs_up else behavior.timeout_s,
                hangs_up,
            )
        except Unanswered as error:
            self.recorder.note("unanswered", **record_fields, how=error.how)
            return None
        session = response.body
        self.recorder.note(
            "answered",
            **record_fields,
            status=response.status,
            subscription=session.get("id") or _last_path_segment(session.get("instance")),
            rung=session.get("rung"),
            box=session.get("box"),
            retry_after=response.head.get(b"retry-after") is not None,
            cmsd=response.head.get(b"cmsd-dynamic") is not None,
            detail=session.get("detail"),
            wait_ms=session.get("retry_after_ms"),
        )
        if response.status == 201:
            self._watch(player, session)
        if player.has_unread_data():
            self.recorder.note("stray", **record_fields)
        player.close()
        return response

    def _watch(self, player: HttpClient, session: dict[str, Any]) -> None:
        """Poll the session for its current rung until the watch time is over or the session is lost."""
        behavior, path = self.behavior, f"/v1/subscriptions/{session['id']}"
        until_us = self.clock.now_us() + round(behavior.watch_s * 1e6)
        record_fields = {"viewer": self.name, "subscription": session["id"]}
        while (left_s := (until_us - self.clock.now_us()) / 1e6) > 0:
            if self.stopping.wait(min(left_s, session.get("poll_after_ms", 1000) / 1000)):
                break
            share = self.share_of(session["box"])
            starved = share < 0.98
            measured = round(session["rate_kb"] * 8 * share) if starved else None
            try:
                response = player.ask("GET", path, self.cmcd_headers(starved, measured), b"", 2.0)
            except Unanswered as error:
                self.recorder.note("poll_unanswered", **record_fields, how=error.how)
                continue
            if response.status != 200:
                self.recorder.note(
                    "lost", **record_fields, status=response.status, detail=response.body.get("detail")
                )
                return
            session = response.body
            self.recorder.note("watches", **record_fields, rung=session["rung"], share=round(share, 3))
        if behavior.vanishes:
            return
        self.recorder.note("releases", **record_fields)
        try:
            player.ask("DELETE", path, [], b"", 2.0)
        except Unanswered as error:
            self.recorder.note("poll_unanswered", **record_fields, how=error.how)


def hash_share(name: str) -> float:
    """Map a name to a fraction between 0 and 1, the same in every run."""
    return zlib.crc32(name.encode()) / 2**32


def _last_path_segment(path: str | None) -> str | None:
    return path.rpartition("/")[2] if path else None
