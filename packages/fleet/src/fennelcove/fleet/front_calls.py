"""Calls many fronts concurrently, with a bounded number of threads and with timeouts."""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from fennelcove.clock import Clock
from fennelcove.decisions.operators import reachability
from fennelcove.decisions.operators.reachability import CallFailure, CallOutcome, CallProgress, CallStatus
from fennelcove.fleet.inventory import FrontEntry
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ProtocolError, ResponseHead
from fennelcove.http1.reader import MessageAssembler, Reader

READ_BYTES = 65_536
CODEC_LIMITS = CodecLimits(body_bytes=1_000_000)

Fields = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class CallTimeouts:
    """The time limits of calls, in microseconds.

    Attributes:
        connect_us: for resolving the address, and again for connecting.
        response_us: from the start of sending the request to the complete response.
        total_us: for all calls together.
    """

    connect_us: int = 2_000_000
    response_us: int = 5_000_000
    total_us: int = 60_000_000


@dataclass(frozen=True, slots=True)
class Call:
    """A request to many fronts; `headers` makes the header fields for each of them."""

    method: str
    path: str
    body: bytes = b""
    headers: Callable[[FrontEntry], Fields] = lambda line: []


class _CallFailedError(Exception):
    """A call has failed: how far it got, and why."""

    def __init__(self, progress: CallProgress, failure: CallFailure, detail: str) -> None:
        super().__init__(detail)
        self.progress = progress
        self.failure = failure


def call_front(
    line: FrontEntry, call: Call, timeouts: CallTimeouts, clock: Clock, until_us: int
) -> CallOutcome:
    """Call one front, within the timeouts; a failure is an outcome and not an exception."""
    began_us = clock.now_us()
    try:
        status, body = _exchange(line, call, timeouts, clock, min(until_us, began_us + timeouts.total_us))
    except _CallFailedError as error:
        call_status = reachability.STATUS_BY_FAILURE[error.progress, error.failure]
        return CallOutcome(line.name, call_status, str(error), {}, clock.now_us() - began_us)
    return reachability.outcome_of_response(line.name, status, body, clock.now_us() - began_us)


def _resolve(address: str, timeout_us: int) -> Any:
    """Resolve an address.

    The system resolver has no timeout, so it runs in a thread, which is abandoned after the time limit.
    """
    host, _, port = address.rpartition(":")
    addresses: list[Any] = []
    resolver_errors: list[str] = []

    def resolve() -> None:
        try:
            addresses.extend(socket.getaddrinfo(host, int(port), type=socket.SOCK_STREAM))
        except (OSError, UnicodeError) as error:
            resolver_errors.append(str(error))

    thread = threading.Thread(target=resolve, name="resolver", daemon=True)
    thread.start()
    thread.join(max(0.001, timeout_us / 1e6))
    if thread.is_alive():
        raise _CallFailedError(
            CallProgress.RESOLVING, CallFailure.TIMED_OUT, "no address within the time limit"
        )
    if not addresses:
        raise _CallFailedError(
            CallProgress.RESOLVING,
            CallFailure.HOST_NOT_FOUND,
            resolver_errors[0] if resolver_errors else "no address",
        )
    return addresses[0]


def _exchange(
    line: FrontEntry, call: Call, timeouts: CallTimeouts, clock: Clock, until_us: int
) -> tuple[int, dict[str, object]]:
    remaining_us = min(timeouts.connect_us, until_us - clock.now_us())
    family, kind, protocol, _, socket_address = _resolve(line.address, remaining_us)
    sock = socket.socket(family, kind, protocol)
    progress = CallProgress.CONNECTING
    try:
        sock.settimeout(max(0.001, min(timeouts.connect_us, until_us - clock.now_us()) / 1e6))
        sock.connect(socket_address)
        progress = CallProgress.SENT
        deadline_us = min(until_us, clock.now_us() + timeouts.response_us)
        headers = [*call.headers(line)]
        if call.body:
            headers.append(("Content-Type", "application/json"))
        sock.settimeout(max(0.001, (deadline_us - clock.now_us()) / 1e6))
        sock.sendall(writer.request(call.method, call.path, line.address, headers, call.body))
        gatherer = MessageAssembler(Reader(False, CODEC_LIMITS))
        while (message := gatherer.next()) is None:
            remaining_us = deadline_us - clock.now_us()
            if remaining_us <= 0:
                raise TimeoutError
            sock.settimeout(remaining_us / 1e6)
            data = sock.recv(READ_BYTES)
            if not data:
                raise _CallFailedError(
                    progress, CallFailure.CONNECTION_CLOSED, "the front closed the connection"
                )
            progress = CallProgress.RESPONSE_STARTED
            gatherer.reader.feed(data)
    except TimeoutError:
        raise _CallFailedError(
            progress, CallFailure.TIMED_OUT, "not complete within the time limit"
        ) from None
    except ConnectionRefusedError:
        raise _CallFailedError(
            progress, CallFailure.CONNECTION_REFUSED, "no process listens on the address"
        ) from None
    except ProtocolError as error:
        raise _CallFailedError(
            CallProgress.RESPONSE_STARTED, CallFailure.MALFORMED_RESPONSE, str(error)
        ) from None
    except OSError as error:
        raise _CallFailedError(progress, CallFailure.CONNECTION_CLOSED, str(error)) from None
    finally:
        sock.close()
    assert isinstance(message.head, ResponseHead)
    try:
        body = msgspec.json.decode(message.body) if message.body else {}
    except msgspec.DecodeError:
        raise _CallFailedError(
            CallProgress.RESPONSE_STARTED, CallFailure.MALFORMED_RESPONSE, "the response is not JSON"
        ) from None
    return message.head.status, body if isinstance(body, dict) else {}


def call_fronts(
    lines: Sequence[FrontEntry], call: Call, timeouts: CallTimeouts, clock: Clock, at_once: int
) -> Iterator[CallOutcome]:
    """Call all fronts, at most `at_once` concurrently; yields one outcome per front as it completes."""
    until_us = clock.now_us() + timeouts.total_us
    pending: queue.SimpleQueue[FrontEntry] = queue.SimpleQueue()
    outcomes: queue.SimpleQueue[CallOutcome] = queue.SimpleQueue()
    for line in lines:
        pending.put(line)

    def call_remaining_fronts() -> None:
        while True:
            try:
                line = pending.get_nowait()
            except queue.Empty:
                return
            if clock.now_us() >= until_us:
                outcomes.put(
                    CallOutcome(
                        line.name, CallStatus.NOT_ASKED, "the total time limit passed before the call"
                    )
                )
            else:
                outcomes.put(call_front(line, call, timeouts, clock, until_us))

    threads = [
        threading.Thread(target=call_remaining_fronts, name=f"ask-{i}")
        for i in range(min(at_once, len(lines)))
    ]
    for thread in threads:
        thread.start()
    for _ in lines:
        yield outcomes.get()
    for thread in threads:
        thread.join()
