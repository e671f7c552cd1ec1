"""Probes of servers: opens an event stream, reads one load report and closes it.

A few threads take the probes from a bounded queue.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import msgspec
from fennelcove.clock import Clock
from fennelcove.decisions.servers import load_signals
from fennelcove.interface import LoadReport, Outcome, ProbeCompleted
from fennelcove.upstream.attempts import HintReader
from fennelcove.upstream.connection_pool import DialLimits
from fennelcove.upstream.event_stream import EventStream, PeerRefusedError, StreamBrokenError
from fennelcove.wire.events import ServerEvent
from fennelcove.wire.servers import REPORT, Report

MAX_QUEUED_PROBES = 256
THREAD_COUNT = 4
_REPORT: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)


class HealthChecker:
    """Probes servers and reports each result once to `on_probe_completed`."""

    def __init__(
        self,
        clock: Clock,
        hints: HintReader,
        front: str,
        timeout_us: int,
        limits: DialLimits,
        on_probe_completed: Callable[[ProbeCompleted], None],
    ) -> None:
        self.clock = clock
        self.hints = hints
        self.front = front
        self.timeout_us = timeout_us
        self.limits = limits
        self.on_probe_completed = on_probe_completed
        self.queued: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_PROBES)
        self.threads = [threading.Thread(target=self._run, name=f"probe-{i}") for i in range(THREAD_COUNT)]

    def start(self) -> None:
        """Start the probe threads."""
        for thread in self.threads:
            thread.start()

    def start_probe(self, server: str) -> bool:
        """Queue a probe of a server; False if the queue is full, in which case no result is reported."""
        try:
            self.queued.put_nowait(server)
        except queue.Full:
            return False
        return True

    def stop(self) -> None:
        """Drop the queued probes and end the threads after the running ones, each of which has a timeout."""
        while not self.queued.empty():
            try:
                self.queued.get_nowait()
            except queue.Empty:
                break
        for _ in self.threads:
            self.queued.put(None)
        for thread in self.threads:
            thread.join()

    def _run(self) -> None:
        while (server := self.queued.get()) is not None:
            self.on_probe_completed(self.probe(server))

    def probe(self, server: str) -> ProbeCompleted:
        """Probe a server on the calling thread, within the timeout."""
        started_us, reports = self.clock.now_us(), list[LoadReport]()
        path = f"/v1/feed?front={self.front}"
        stream = EventStream(server, path, self.limits, self.timeout_us, self.timeout_us)

        def on_event(event: ServerEvent) -> None:
            if event.name == REPORT:
                server_hints = self.hints.read(None, _REPORT.decode(event.data).cmsd)
                report = load_signals.load_report(server_hints) if server_hints is not None else None
                reports.append(report or LoadReport(None, None))
            if reports or self.clock.now_us() - started_us > self.timeout_us:
                raise StreamBrokenError("probe finished")

        outcome = Outcome.NO_ANSWER
        try:
            stream.run(on_event)
        except PeerRefusedError:
            outcome = Outcome.NO_CONNECTION
        except (StreamBrokenError, msgspec.MsgspecError):
            outcome = Outcome.SERVED if reports else Outcome.NO_ANSWER
        duration_us = self.clock.now_us() - started_us
        return ProbeCompleted(server, outcome, duration_us, reports[0] if reports else None)
