"""A stand-in for a front that lies about slots: any number, any figures, loans that nobody asked for."""

from __future__ import annotations

import socket
import threading
from collections.abc import Sequence
from itertools import count
from random import Random

from fennelcove import limit_messages
from fennelcove.clock import Clock
from fennelcove.concurrency_limits.latency_histogram import HistogramRow
from fennelcove.concurrency_limits.quorum import QuorumVote
from fennelcove.concurrency_limits.replica import LimitReport
from fennelcove.decisions.fleet.shared_quotas import QuotaRequest, QuotaTransfer, Resource

EVERY_S = 0.2
MOST = 4096
SLOW, FAST = ((55, 250),), ((1, 250),)  # classes: all joins took ten seconds, or a millisecond


class SlotLiar:
    """Speaks from a front's address to all others until it is stopped."""

    def __init__(
        self, clock: Clock, own: str, others: Sequence[str], boxes: Sequence[int], chance: Random
    ) -> None:
        self.clock = clock
        self.others = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in others)]
        self.boxes = boxes
        self.chance = chance
        self.life = clock.wall_us()  # above that of the process that stood here
        self.sent = 0
        self.leaving = threading.Event()
        host, _, port = own.rpartition(":")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, int(port)))
        self.thread = threading.Thread(target=self._run, name="liar")

    def start(self) -> None:
        """Begin to lie."""
        self.thread.start()

    def stop(self) -> None:
        """End it."""
        self.leaving.set()
        self.thread.join()
        self.sock.close()

    def _run(self) -> None:
        for number in count(1):
            if self.leaving.wait(EVERY_S):
                return
            for raw in self._lies(number):
                for other in self.others:
                    try:
                        self.sock.sendto(raw, other)
                        self.sent += 1
                    except OSError:
                        continue  # nobody listens there now

    def _lies(self, number: int) -> list[bytes]:
        told = [
            LimitReport(
                (),
                box,
                0,
                (HistogramRow(shape, 60_000, 60_000, 0, self.chance.choice((SLOW, FAST)), ()),),
                QuorumVote(self.chance.choice((1, MOST))),
            )
            for box in self.boxes
            for shape in (self.chance.randrange(12),)
        ]
        found = limit_messages.encode(self.life, number, told, self.clock.now_us())
        for box in self.boxes:
            found.append(
                limit_messages.encode_slot_message(
                    box, QuotaTransfer(self.life, number, Resource.SLOT, float(MOST))
                )
            )
            found.append(
                limit_messages.encode_slot_message(
                    box, QuotaRequest(self.life, number, Resource.SLOT, float(MOST))
                )
            )
        return found
