"""An emulated front that sends false slot messages: arbitrary limits, latencies and unrequested loans."""

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

SEND_INTERVAL_S = 0.2
MAX_SLOTS = 4096
SLOW_HISTOGRAM, FAST_HISTOGRAM = ((55, 250),), ((1, 250),)  # all attempts took 10 s, or 1 ms


class DishonestFront:
    """Sends false messages from the address of a front to all others until it is stopped."""

    def __init__(
        self,
        clock: Clock,
        own_address: str,
        other_addresses: Sequence[str],
        servers: Sequence[int],
        rng: Random,
    ) -> None:
        self.clock = clock
        self.other_addresses = [
            (host, int(port)) for host, _, port in (a.rpartition(":") for a in other_addresses)
        ]
        self.servers = servers
        self.rng = rng
        self.incarnation = clock.wall_us()  # higher than that of the real front that used this address
        self.sent = 0
        self.stopping = threading.Event()
        host, _, port = own_address.rpartition(":")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, int(port)))
        self.thread = threading.Thread(target=self._run, name="liar")

    def start(self) -> None:
        """Start sending."""
        self.thread.start()

    def stop(self) -> None:
        """Stop sending and close the socket."""
        self.stopping.set()
        self.thread.join()
        self.sock.close()

    def _run(self) -> None:
        for number in count(1):
            if self.stopping.wait(SEND_INTERVAL_S):
                return
            for raw in self._false_messages(number):
                for address in self.other_addresses:
                    try:
                        self.sock.sendto(raw, address)
                        self.sent += 1
                    except OSError:
                        continue  # nothing listens on that address now

    def _false_messages(self, number: int) -> list[bytes]:
        reports = [
            LimitReport(
                (),
                server,
                0,
                (
                    HistogramRow(
                        shape, 60_000, 60_000, 0, self.rng.choice((SLOW_HISTOGRAM, FAST_HISTOGRAM)), ()
                    ),
                ),
                QuorumVote(self.rng.choice((1, MAX_SLOTS))),
            )
            for server in self.servers
            for shape in (self.rng.randrange(12),)
        ]
        messages = limit_messages.encode(self.incarnation, number, reports, self.clock.now_us())
        for server in self.servers:
            messages.append(
                limit_messages.encode_slot_message(
                    server, QuotaTransfer(self.incarnation, number, Resource.SLOT, float(MAX_SLOTS))
                )
            )
            messages.append(
                limit_messages.encode_slot_message(
                    server, QuotaRequest(self.incarnation, number, Resource.SLOT, float(MAX_SLOTS))
                )
            )
        return messages
