"""Measures how late a day's rig is itself: a request through the relays to a server that does nothing.

Viewers, relays and boxes of a day share one interpreter, and that shares the machine. Where either is full,
an answer that a front gave in time is heard late, and joins are given up that a box had begun: without a
measure beside them nobody can tell such a day from one on which fronts were late.
"""

from __future__ import annotations

import threading
from contextlib import suppress

from fennelcove.clock import Clock
from fennelcove.emulators.clients import Player, Unanswered
from fennelcove.emulators.fault_proxy.relay import Relays
from fennelcove.emulators.recorder import Recorder
from fennelcove.emulators.server import Peer, StandInServer
from fennelcove.http1 import writer
from fennelcove.http1.messages import RequestHead

PROBE_INTERVAL_S = 0.1
TIMEOUT_S = 5.0
REPORT_THRESHOLD_MS = 100.0  # what is shorter is the usual time of a loaded rig


class Gauge:
    """Asks again and again, one request at a time; writes down what took long."""

    def __init__(self, clock: Clock, recorder: Recorder, relays: Relays) -> None:
        self.clock = clock
        self.recorder = recorder
        self.probes_sent = 0
        self.stopping = threading.Event()
        self.server = StandInServer(_answer_empty, "gauge")
        self.address = relays.door(self.server.address, frozenset({"gauge"}))
        self.thread = threading.Thread(target=self._run, name="gauge-asks")

    def start(self) -> None:
        """Begin to ask."""
        self.server.start()
        self.thread.start()

    def stop(self) -> None:
        """End it; before the relays."""
        self.stopping.set()
        self.thread.join()
        self.server.stop()

    def _run(self) -> None:
        player = Player(self.address, self.clock)
        while not self.stopping.wait(PROBE_INTERVAL_S):
            began_us = self.clock.now_us()
            with suppress(Unanswered):  # for as long as it waited it was late, which is what counts here
                player.ask("GET", "/", [], b"", TIMEOUT_S)
            player.close()  # viewers dial anew for each set-up, and so is this one's way
            self.probes_sent += 1
            elapsed_ms = (self.clock.now_us() - began_us) / 1000
            if elapsed_ms >= REPORT_THRESHOLD_MS:
                self.recorder.note("rig_late", ms=round(elapsed_ms, 1))


def _answer_empty(head: RequestHead, body: bytes, peer: Peer) -> bool:
    return peer.send(writer.response(204, []))
