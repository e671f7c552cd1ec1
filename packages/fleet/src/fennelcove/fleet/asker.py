"""Asks many fronts at once: a bounded number of threads, and a time for each step and for the whole."""

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
from fennelcove.fleet.inventory import FrontLine
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits, ProtocolError, ResponseHead
from fennelcove.http1.reader import Gatherer, Reader

READ_BYTES = 65_536
LIMITS = CodecLimits(body_bytes=1_000_000)

Fields = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Times:
    """In microseconds; `answer` is for one whole exchange from its first byte sent."""

    connect_us: int = 2_000_000
    answer_us: int = 5_000_000
    whole_us: int = 60_000_000


@dataclass(frozen=True, slots=True)
class Call:
    """One request; its header fields may differ from front to front."""

    method: str
    path: str
    body: bytes = b""
    fields: Callable[[FrontLine], Fields] = lambda line: []


class _Ended(Exception):
    def __init__(self, seen: CallProgress, failure: CallFailure, detail: str) -> None:
        super().__init__(detail)
        self.seen = seen
        self.failure = failure


def ask(line: FrontLine, call: Call, times: Times, clock: Clock, until_us: int) -> CallOutcome:
    """One front; never raises, never takes longer than its times."""
    began_us = clock.now_us()
    try:
        status, body = _exchange(line, call, times, clock, min(until_us, began_us + times.whole_us))
    except _Ended as error:
        word = reachability.STATUS_BY_FAILURE[error.seen, error.failure]
        return CallOutcome(line.name, word, str(error), {}, clock.now_us() - began_us)
    return reachability.outcome_of_response(line.name, status, body, clock.now_us() - began_us)


def _resolved(address: str, limit_us: int) -> Any:
    """Where an address is. The system's resolver takes no time limit: past ours it is left to its own."""
    host, _, port = address.rpartition(":")
    found: list[Any] = []
    wrong: list[str] = []

    def resolve() -> None:
        try:
            found.extend(socket.getaddrinfo(host, int(port), type=socket.SOCK_STREAM))
        except (OSError, UnicodeError) as error:
            wrong.append(str(error))

    thread = threading.Thread(target=resolve, name="resolver", daemon=True)
    thread.start()
    thread.join(max(0.001, limit_us / 1e6))
    if thread.is_alive():
        raise _Ended(CallProgress.RESOLVING, CallFailure.TIMED_OUT, "no address in its time")
    if not found:
        raise _Ended(CallProgress.RESOLVING, CallFailure.HOST_NOT_FOUND, wrong[0] if wrong else "no address")
    return found[0]


def _exchange(
    line: FrontLine, call: Call, times: Times, clock: Clock, until_us: int
) -> tuple[int, dict[str, object]]:
    left_us = min(times.connect_us, until_us - clock.now_us())
    family, kind, protocol, _, where = _resolved(line.address, left_us)
    sock = socket.socket(family, kind, protocol)
    seen = CallProgress.CONNECTING
    try:
        sock.settimeout(max(0.001, min(times.connect_us, until_us - clock.now_us()) / 1e6))
        sock.connect(where)
        seen = CallProgress.SENT
        limit_us = min(until_us, clock.now_us() + times.answer_us)
        fields = [*call.fields(line)]
        if call.body:
            fields.append(("Content-Type", "application/json"))
        sock.settimeout(max(0.001, (limit_us - clock.now_us()) / 1e6))
        sock.sendall(writer.request(call.method, call.path, line.address, fields, call.body))
        gatherer = Gatherer(Reader(False, LIMITS))
        while (whole := gatherer.next()) is None:
            left_us = limit_us - clock.now_us()
            if left_us <= 0:
                raise TimeoutError
            sock.settimeout(left_us / 1e6)
            data = sock.recv(READ_BYTES)
            if not data:
                raise _Ended(seen, CallFailure.CONNECTION_CLOSED, "it hung up")
            seen = CallProgress.RESPONSE_STARTED
            gatherer.reader.feed(data)
    except TimeoutError:
        raise _Ended(seen, CallFailure.TIMED_OUT, "in its time") from None
    except ConnectionRefusedError:
        raise _Ended(seen, CallFailure.CONNECTION_REFUSED, "nobody listens") from None
    except ProtocolError as error:
        raise _Ended(CallProgress.RESPONSE_STARTED, CallFailure.MALFORMED_RESPONSE, str(error)) from None
    except OSError as error:
        raise _Ended(seen, CallFailure.CONNECTION_CLOSED, str(error)) from None
    finally:
        sock.close()
    assert isinstance(whole.head, ResponseHead)
    try:
        body = msgspec.json.decode(whole.body) if whole.body else {}
    except msgspec.DecodeError:
        raise _Ended(
            CallProgress.RESPONSE_STARTED, CallFailure.MALFORMED_RESPONSE, "an answer that is no JSON"
        ) from None
    return whole.head.status, body if isinstance(body, dict) else {}


def ask_all(
    lines: Sequence[FrontLine], call: Call, times: Times, clock: Clock, at_once: int
) -> Iterator[CallOutcome]:
    """Every front, so many at once; each outcome as it comes, exactly one for each front."""
    until_us = clock.now_us() + times.whole_us
    todo: queue.SimpleQueue[FrontLine] = queue.SimpleQueue()
    done: queue.SimpleQueue[CallOutcome] = queue.SimpleQueue()
    for line in lines:
        todo.put(line)

    def work() -> None:
        while True:
            try:
                line = todo.get_nowait()
            except queue.Empty:
                return
            if clock.now_us() >= until_us:
                done.put(
                    CallOutcome(line.name, CallStatus.NOT_ASKED, "the whole time was over before its turn")
                )
            else:
                done.put(ask(line, call, times, clock, until_us))

    threads = [threading.Thread(target=work, name=f"ask-{i}") for i in range(min(at_once, len(lines)))]
    for thread in threads:
        thread.start()
    for _ in lines:
        yield done.get()
    for thread in threads:
        thread.join()
