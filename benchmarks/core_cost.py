"""Measures the CPU time of one session set-up in the HTTP codec, the hint parsers and the decisions.

Each part runs alone on one thread, without sockets.

    python benchmarks/core_cost.py
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
from fennelcove.http1.reader import MessageAssembler, Reader
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
SETUP_BODY = b'{"room_type":"free","title":"t","client_timeout_ms":9000}'


class NullPorts:
    """Ports of the core that do nothing: no command reaches a server or the list service."""

    def open_stream(self, server: str, generation: int) -> None: ...

    def close_stream(self, server: str) -> None: ...

    def on_command_queued(self) -> None: ...

    def send(self, step: SendAttempt) -> bool:
        return True

    def fetch(self) -> None: ...

    def watch(self) -> None: ...


def measure(name: str, call: Callable[[], object], rounds: int = 5000) -> float:
    best_us = float("inf")
    for _ in range(5):
        started_s = time.perf_counter()
        for _ in range(rounds):
            call()
        best_us = min(best_us, (time.perf_counter() - started_s) / rounds * 1e6)
    print(f"{name:64} {best_us:8.2f} us")
    return best_us


def make_reader(raw: bytes, is_request: bool) -> Callable[[], object]:
    reader = MessageAssembler(Reader(is_request, CodecLimits()))

    def read() -> object:
        reader.reader.feed(raw)
        return reader.next()

    return read


def make_decision_run() -> Callable[[], object]:
    clock = SystemClock()
    ports = CorePorts(NullPorts(), NullPorts(), NullPorts())
    core = Core(parse(SETTINGS, FrontSettings, "bench"), clock, Timers(clock), log.silent, ports)
    entries = tuple(ListEntry(f"b{i}:1", "zone", "k", 0, ServerState.ACTIVE, 1.0, 0) for i in range(3))
    core.discovery.on_list(EndpointListUpdate(1, None, entries))
    server_hints = ServerHints(0.4, 0.3)

    def run_session() -> None:
        outcome = core.request_session(SessionRequest("t", "free"))
        session, step = outcome.session, outcome.step
        assert session is not None and isinstance(step, SendAttempt)
        core.on_attempt_completed(session, 0, AttemptResult(Outcome.SERVED, server_hints, 1000))
        core.on_response_ready(session)
        core.release(session.id, "done")
        while (command := core.commands.next_command()[0]) is not None:
            core.commands.on_command_completed(command, is_successful=True)

    return run_session


def main() -> None:
    print(f"Python {sys.version.split()[0]}, best of 5 x 5000")
    fields = [("Content-Type", "application/json"), *HEADERS.items()]
    raw_request = writer.request("POST", "/v1/subscriptions", "front", fields, SETUP_BODY)
    raw_response = writer.response(201, [("CMSD-Dynamic", DYNAMIC)], SETUP_BODY)
    codec_us = measure("codec: read a client's request", make_reader(raw_request, True))
    codec_us += measure("codec: read a server's response", make_reader(raw_response, False))
    codec_us += measure(
        "codec: write a request", lambda: writer.request("PUT", "/v1/joins/1/0", "b", fields, SETUP_BODY)
    )
    codec_us += measure(
        "codec: write a response", lambda: writer.response(201, [("CMSD-Dynamic", DYNAMIC)], SETUP_BODY)
    )
    hints_us = measure("hints: a client's CMCD, three headers", lambda: cmcd.read(HEADERS, {}))
    cache = cmsd.CmsdCache()
    measure("hints: a server's CMSD, not cached", lambda: cmsd.read(None, DYNAMIC))
    hints_us += measure("hints: a server's CMSD, cached", lambda: cache.read(None, DYNAMIC))
    hints_us += measure(
        "hints: write the front's hop", lambda: cmsd.write_hop("front-1", {"mb": 1600, "rd": 4})
    )
    decisions_us = measure(
        "decisions: request, attempt result, release, with policy and lock", make_decision_run(), 2000
    )
    print(f"total: codec {codec_us:.0f}, hints {hints_us:.0f}, decisions {decisions_us:.0f} us")

    def parse_cmsd_with_http_sfv() -> object:
        found = http_sfv.List()
        found.parse(DYNAMIC.encode())
        return found

    def parse_cmcd_with_http_sfv() -> object:
        for value in HEADERS.values():
            found = http_sfv.Dictionary()
            found.parse(value.encode())
        return found

    measure("comparison: http_sfv, the same CMSD list", parse_cmsd_with_http_sfv)
    measure("comparison: http_sfv, the same three CMCD dictionaries, untyped", parse_cmcd_with_http_sfv)


if __name__ == "__main__":
    main()
