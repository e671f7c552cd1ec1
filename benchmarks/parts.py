"""What one set-up costs in codec, hints and decisions, each alone on one thread, without sockets.

python benchmarks/parts.py
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import http_sfv
from fennelcove import log
from fennelcove.clock import SystemClock
from fennelcove.clock.timers import Timers
from fennelcove.core.core import Core
from fennelcove.core.ports import CorePorts
from fennelcove.core.requests import AttemptResult, SendAttempt, SessionRequest
from fennelcove.decisions.servers.endpoint_list import EndpointListUpdate
from fennelcove.decisions.servers.load_signals import ServerHints
from fennelcove.hints import cmcd, cmsd
from fennelcove.http1 import writer
from fennelcove.http1.messages import CodecLimits
from fennelcove.http1.reader import Gatherer, Reader
from fennelcove.interface import ListEntry, Outcome, ServerState
from fennelcove.settings.reader import parse
from fennelcove.settings.schema import FrontSettings

SETTINGS = """(front (name "f") (listen "127.0.0.1:0") (lists (address "127.0.0.1:1"))
  (room-types (item (name "free") (objective-ms 5000) (client-timeout-ms 9000)))
  (ladder (item (kb 10) (worth 0.5)) (item (kb 20) (worth 1)))
  (fleet (kinds (item (name "k") (streams 100000))) (cells 1) (racks 1) (kb-per-weight 10000000)
    (all-links-kb 30000000) (uplink-kb 30000000))
  (titles (item (name "t"))) (rules (ramp-ms 12000)))"""
HEADERS = {
    "cmcd-request": "bl=4000,mtp=25400,su",
    "cmcd-object": "tb=9000",
    "cmcd-session": 'cid="t",sf=h,sid="6e2fb550-c457",v=1',
}
DYNAMIC = '"box-1";fennelcove-link=0.412;fennelcove-uplink=0.3, "front-1";mb=1600;rd=4'
BODY = b'{"room_type":"free","title":"t","client_timeout_ms":9000}'


class NoPorts:
    """The sides towards boxes and list, which nothing reaches here."""

    def open_stream(self, server: str, generation: int) -> None: ...

    def close_stream(self, server: str) -> None: ...

    def on_command_queued(self) -> None: ...

    def send(self, step: SendAttempt) -> bool:
        return True

    def fetch(self) -> None: ...

    def watch(self) -> None: ...


def timed(name: str, call: Callable[[], object], rounds: int = 5000) -> float:
    best = float("inf")
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(rounds):
            call()
        best = min(best, (time.perf_counter() - began) / rounds * 1e6)
    print(f"{name:64} {best:8.2f} us")
    return best


def reading(raw: bytes, requests: bool) -> Callable[[], object]:
    reader = Gatherer(Reader(requests, CodecLimits()))

    def read() -> object:
        reader.reader.feed(raw)
        return reader.next()

    return read


def deciding() -> Callable[[], object]:
    clock = SystemClock()
    ports = CorePorts(NoPorts(), NoPorts(), NoPorts())
    core = Core(parse(SETTINGS, FrontSettings, "bench"), clock, Timers(clock), log.silent, ports)
    entries = tuple(ListEntry(f"b{i}:1", "zone", "k", 0, ServerState.ACTIVE, 1.0, 0) for i in range(3))
    core.discovery.on_list(EndpointListUpdate(1, None, entries))
    says = ServerHints(0.4, 0.3)

    def decide() -> None:
        outcome = core.request_session(SessionRequest("t", "free"))
        session, step = outcome.session, outcome.step
        assert session is not None and isinstance(step, SendAttempt)
        core.on_attempt_completed(session, 0, AttemptResult(Outcome.SERVED, says, 1000))
        core.on_response_ready(session)
        core.release(session.id, "done")
        while (command := core.commands.next_command()[0]) is not None:
            core.commands.on_command_completed(command, is_successful=True)

    return decide


def main() -> None:
    print(f"Python {sys.version.split()[0]}, best of 5 x 5000")
    fields = [("Content-Type", "application/json"), *HEADERS.items()]
    ask = writer.request("POST", "/v1/subscriptions", "front", fields, BODY)
    answer = writer.response(201, [("CMSD-Dynamic", DYNAMIC)], BODY)
    codec = timed("codec: read a viewer's request", reading(ask, True))
    codec += timed("codec: read a box's answer", reading(answer, False))
    codec += timed(
        "codec: write a request", lambda: writer.request("PUT", "/v1/joins/1/0", "b", fields, BODY)
    )
    codec += timed("codec: write an answer", lambda: writer.response(201, [("CMSD-Dynamic", DYNAMIC)], BODY))
    hints = timed("hints: a viewer's CMCD, three headers", lambda: cmcd.read(HEADERS, {}))
    memo = cmsd.Memo()
    timed("hints: a box's CMSD, read anew", lambda: cmsd.read(None, DYNAMIC))
    hints += timed("hints: a box's CMSD, out of memory", lambda: memo.read(None, DYNAMIC))
    hints += timed("hints: write the front's hop", lambda: cmsd.write_hop("front-1", {"mb": 1600, "rd": 4}))
    decisions = timed("decisions: ask, join over, release, with module and lock", deciding(), 2000)
    print(f"together: codec {codec:.0f}, hints {hints:.0f}, decisions {decisions:.0f} us")

    def theirs_list() -> object:
        found = http_sfv.List()
        found.parse(DYNAMIC.encode())
        return found

    def theirs_dictionaries() -> object:
        for value in HEADERS.values():
            found = http_sfv.Dictionary()
            found.parse(value.encode())
        return found

    timed("beside: http_sfv, the same CMSD list", theirs_list)
    timed("beside: http_sfv, the same three CMCD dictionaries, untyped", theirs_dictionaries)


if __name__ == "__main__":
    main()
