"""Measures the latency of the test rig itself with requests through the relays to a server that does nothing.

Clients, relays and emulated servers of a scenario share one interpreter and one machine. When either is
overloaded, responses that a front sent in time are received late, and attempts time out that a server had
started. This measurement tells such a run from one in which the fronts were slow.
"""

from __future__ import annotations

import threading
from contextlib import suppress

from fennelcove.clock import Clock
from fennelcove.emulators.clients import HttpClient, Unanswered
from fennelcove.emulators.fault_proxy.relay import Relays
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.server import LoopbackServer, Peer
from fennelcove.http1 import writer
from fennelcove.http1.messages import RequestHead

PROBE_INTERVAL_S = 0.1
TIMEOUT_S = 5.0
REPORT_THRESHOLD_MS = 100.0  # shorter times are normal for a loaded rig


class LatencyProbe:
    """Sends one request at a time at a fixed interval and records the slow ones."""

    def __init__(self, clock: Clock, recorder: Recorder, relays: Relays) -> None:
        self.clock = clock
        self.recorder = recorder
        self.probes_sent = 0
        self.stopping = threading.Event()
        self.server = LoopbackServer(_answer_empty, "gauge")
        self.address = relays.add_listener(self.server.address, frozenset({"gauge"}))
        self.thread = threading.Thread(target=self._run, name="gauge-asks")

    def start(self) -> None:
        """Start the server and the probing thread."""
        self.server.start()
        self.thread.start()

    def stop(self) -> None:
        """Stop probing; call this before the relays are stopped."""
        self.stopping.set()
        self.thread.join()
        self.server.stop()

    def _run(self) -> None:
        player = HttpClient(self.address, self.clock)
        while not self.stopping.wait(PROBE_INTERVAL_S):
            began_us = self.clock.now_us()
            with suppress(Unanswered):  # a timeout counts with the time waited
                player.ask("GET", "/", [], b"", TIMEOUT_S)
            player.close()  # clients open a new connection for each set-up, so the probe does too
            self.probes_sent += 1
            elapsed_ms = (self.clock.now_us() - began_us) / 1000
            if elapsed_ms >= REPORT_THRESHOLD_MS:
                self.recorder.note("rig_late", ms=round(elapsed_ms, 1))


def _answer_empty(head: RequestHead, body: bytes, peer: Peer) -> bool:
    return peer.send(writer.response(204, []))
